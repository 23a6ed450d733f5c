use super::*;

/// Whatever the limit, all parts together stay within it, and every part has something.
#[test]
fn the_parts_never_exceed_the_limit() {
    for reserved in [RESERVE, RESERVE + admin_listener::DESCRIPTORS] {
        for all in 0..2_000 {
            let Ok(shared) = Descriptors::share(all, reserved) else {
                assert!(all < reserved + LEAST_SHARED, "{all} refused");
                continue;
            };
            let Descriptors { reserved: kept, clients, servers, origins } = shared;
            assert_eq!(kept, reserved);
            assert!(kept + clients + servers + origins <= all, "{all}: {shared:?}");
            assert!(clients > 0 && servers > 0 && origins > 0, "{all}: {shared:?}");
        }
    }
}
