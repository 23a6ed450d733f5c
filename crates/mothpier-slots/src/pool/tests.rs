use super::*;

fn lookup(address: SocketAddr) -> Option<ServerId> {
    (address.port() == 7000).then(|| match address.ip() {
        std::net::IpAddr::V4(ip) => u32::from(ip.octets()[3]),
        std::net::IpAddr::V6(_) => 6,
    })
}

#[test]
fn error_lines_are_interpreted_and_may_mark_the_map_as_stale() {
    let from: SocketAddr = "10.1.0.9:7000".parse().unwrap();
    let long_interval = Budget { idle_interval_ms: 1_000_000_000, ..Budget::default() };
    let redirected = |to, ask| Some(ErrorMeaning::Redirected { to, ask });
    for (line, meaning, stale) in [
        ("MOVED 7 10.1.0.3:7000", redirected(Some(3), false), true),
        ("MOVED 7 :7000", redirected(Some(9), false), true),
        ("MOVED 7 10.1.0.3:7001", redirected(None, false), true),
        ("MOVED 7 who.example.org:7000", redirected(None, false), true),
        ("ASK 7 ::1:7000", redirected(Some(6), true), false),
        ("MOVED 8 10.1.0.3:7000", Some(ErrorMeaning::OtherSlot(8)), false),
        ("MOVED 7 10.1.0.3:70000", Some(ErrorMeaning::Unreadable(RedirectError::Port)), false),
        ("TRYAGAIN", Some(ErrorMeaning::Rejected(UnavailableReason::TryAgain)), false),
        ("LOADING", Some(ErrorMeaning::Rejected(UnavailableReason::Loading)), false),
        (
            "CLUSTERDOWN Hash slot not served",
            Some(ErrorMeaning::Rejected(UnavailableReason::ClusterDown)),
            true,
        ),
        ("READONLY x", Some(ErrorMeaning::Rejected(UnavailableReason::ReadOnly)), true),
        ("ERR failed", None, false),
    ] {
        let mut pool = Pool::new(false, long_interval, 1, 0);
        // Complete the first round, so that the next one is far off.
        let now = pool.due().unwrap();
        for id in pool.start_round(now, &[1]) {
            pool.record_answer(now, id, Some((from, crate::view::View::default())), &lookup);
        }
        let due = pool.due().unwrap();
        assert_eq!(pool.classify_error(now, line, Some(7), from, &lookup), meaning, "{line}");
        assert_eq!(pool.due().unwrap() < due, stale, "{line}");
    }
}

#[test]
fn a_redirection_for_a_finished_request_may_name_any_slot() {
    let mut pool = Pool::new(false, Budget::default(), 1, 0);
    let from = "10.1.0.9:7000".parse().unwrap();
    let meaning = pool.classify_error(0, "MOVED 8 10.1.0.3:7000", None, from, &lookup);
    assert_eq!(meaning, Some(ErrorMeaning::Redirected { to: Some(3), ask: false }));
    assert!(!pool.refresh_lookup(&lookup), "no map has been received");
}
