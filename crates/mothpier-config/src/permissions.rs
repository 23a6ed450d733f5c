//! Who else may read or write a file, by its mode.

use crate::code;
use crate::finding::Finding;

/// What the mode of a file lets others do with what was found in it.
pub fn check(mode: u32, findings: &mut Vec<Finding>) {
    let shown = format!("{:04o}", mode & 0o7777);
    if mode & 0o022 != 0 {
        let what = format!("the file's mode is {shown}: others may write it");
        findings.push(Finding::error(code::WRITABLE, 0..0, what, code::WRITABLE.mend()));
    }
    if mode & 0o044 != 0 && findings.iter().any(|f| f.code == code::SECRET_INSIDE) {
        let what = format!("the file's mode is {shown}, and a secret stands in it");
        findings.push(Finding::error(code::READABLE, 0..0, what, code::READABLE.mend()));
    }
}

#[cfg(test)]
mod tests;
