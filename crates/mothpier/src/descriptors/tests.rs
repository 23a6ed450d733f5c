use super::*;

/// Whatever the limit, the parts together stay within it, and none of them is empty.
#[test]
fn the_parts_never_exceed_the_limit() {
    for reserved in [RESERVE, RESERVE + admin_listener::DESCRIPTORS] {
        for limit in 0..2_000 {
            let Ok(shared) = Descriptors::divide(limit, reserved) else {
                assert!(limit < reserved + MIN_SHARED, "{limit} refused");
                continue;
            };
            let Descriptors { reserved: reserved_part, clients, servers, origins } = shared;
            assert_eq!(reserved_part, reserved);
            assert!(reserved_part + clients + servers + origins <= limit, "{limit}: {shared:?}");
            assert!(clients > 0 && servers > 0 && origins > 0, "{limit}: {shared:?}");
        }
    }
}
