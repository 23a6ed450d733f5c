//! Checks the mode of a file: whether other users may read or write it.

use crate::code;
use crate::finding::Finding;

/// Reports a file that others may write, and one that others may read if a secret was found in it.
pub fn check(mode: u32, findings: &mut Vec<Finding>) {
    let shown = format!("{:04o}", mode & 0o7777);
    if mode & 0o022 != 0 {
        let problem = format!("the file's mode is {shown}: others may write it");
        findings.push(Finding::error(
            code::WRITABLE_BY_OTHERS,
            0..0,
            problem,
            code::WRITABLE_BY_OTHERS.fix(),
        ));
    }
    if mode & 0o044 != 0 && findings.iter().any(|f| f.code == code::EMBEDDED_SECRET) {
        let problem = format!("the file's mode is {shown}, and it contains a secret");
        findings.push(Finding::error(
            code::SECRET_READABLE_BY_OTHERS,
            0..0,
            problem,
            code::SECRET_READABLE_BY_OTHERS.fix(),
        ));
    }
}

#[cfg(test)]
mod tests;
