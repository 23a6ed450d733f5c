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
mod tests {
    use super::*;

    #[test]
    fn a_file_is_its_owners_and_a_secret_in_it_nobody_elses() {
        let codes = |mode, mut found: Vec<Finding>| {
            check(mode, &mut found);
            found.into_iter().map(|f| f.code).collect::<Vec<_>>()
        };
        let secret = || vec![Finding::error(code::SECRET_INSIDE, 0..1, "", "")];
        assert_eq!(codes(0o100644, vec![]), []);
        assert_eq!(codes(0o100600, secret()), [code::SECRET_INSIDE]);
        assert_eq!(codes(0o100640, secret()), [code::SECRET_INSIDE, code::READABLE]);
        assert_eq!(codes(0o100666, vec![]), [code::WRITABLE]);
        assert_eq!(codes(0o100620, vec![]), [code::WRITABLE]);
    }
}
