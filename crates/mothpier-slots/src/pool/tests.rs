use super::*;

fn listed(address: SocketAddr) -> Option<ServerId> {
    (address.port() == 7000).then(|| match address.ip() {
        std::net::IpAddr::V4(ip) => u32::from(ip.octets()[3]),
        std::net::IpAddr::V6(_) => 6,
    })
}

#[test]
fn what_a_line_means_and_when_it_makes_the_map_doubtful() {
    let from: SocketAddr = "10.1.0.9:7000".parse().unwrap();
    let calm = Budget { calm: 1_000_000_000, ..Budget::default() };
    let redirected = |to, ask| Some(ErrorMeaning::Redirected { to, ask });
    for (line, word, doubts) in [
        ("MOVED 7 10.1.0.3:7000", redirected(Some(3), false), true),
        ("MOVED 7 :7000", redirected(Some(9), false), true),
        ("MOVED 7 10.1.0.3:7001", redirected(None, false), true),
        ("MOVED 7 who.example.org:7000", redirected(None, false), true),
        ("ASK 7 ::1:7000", redirected(Some(6), true), false),
        ("MOVED 8 10.1.0.3:7000", Some(ErrorMeaning::OtherSlot(8)), false),
        ("MOVED 7 10.1.0.3:70000", Some(ErrorMeaning::Unreadable(RedirectError::Port)), false),
        ("TRYAGAIN", Some(ErrorMeaning::TurnedAway(UnavailableReason::TryAgain)), false),
        ("LOADING", Some(ErrorMeaning::TurnedAway(UnavailableReason::Loading)), false),
        (
            "CLUSTERDOWN Hash slot not served",
            Some(ErrorMeaning::TurnedAway(UnavailableReason::ClusterDown)),
            true,
        ),
        ("READONLY x", Some(ErrorMeaning::TurnedAway(UnavailableReason::ReadOnly)), true),
        ("ERR failed", None, false),
    ] {
        let mut pool = Pool::new(false, calm, 1, 0);
        // The first round is over, and nothing is due for long.
        let now = pool.due().unwrap();
        for id in pool.begin(now, &[1]) {
            pool.answered(now, id, Some((from, crate::view::View::default())), &listed);
        }
        let due = pool.due().unwrap();
        assert_eq!(pool.said(now, line, Some(7), from, &listed), word, "{line}");
        assert_eq!(pool.due().unwrap() < due, doubts, "{line}");
    }
}

#[test]
fn of_a_request_that_is_over_any_slot_will_do() {
    let mut pool = Pool::new(false, Budget::default(), 1, 0);
    let from = "10.1.0.9:7000".parse().unwrap();
    let word = pool.said(0, "MOVED 8 10.1.0.3:7000", None, from, &listed);
    assert_eq!(word, Some(ErrorMeaning::Redirected { to: Some(3), ask: false }));
    assert!(!pool.relist(&listed), "no map has come");
}
