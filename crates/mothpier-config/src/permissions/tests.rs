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
