use super::*;

#[test]
fn files_writable_by_others_and_secrets_readable_by_others_are_reported() {
    let codes = |mode, mut findings: Vec<Finding>| {
        check(mode, &mut findings);
        findings.into_iter().map(|f| f.code).collect::<Vec<_>>()
    };
    let secret = || vec![Finding::error(code::EMBEDDED_SECRET, 0..1, "", "")];
    assert_eq!(codes(0o100644, vec![]), []);
    assert_eq!(codes(0o100600, secret()), [code::EMBEDDED_SECRET]);
    assert_eq!(codes(0o100640, secret()), [code::EMBEDDED_SECRET, code::SECRET_READABLE_BY_OTHERS]);
    assert_eq!(codes(0o100666, vec![]), [code::WRITABLE_BY_OTHERS]);
    assert_eq!(codes(0o100620, vec![]), [code::WRITABLE_BY_OTHERS]);
}
