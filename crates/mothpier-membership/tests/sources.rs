//! The rule of the sources, case by case, and what holds for every history.

use std::net::SocketAddr;

use mothpier_membership::dns_servers::ShrinkGuard;
use mothpier_membership::{
    DnsServer, DnsTrust, Phase, ServerRecord, ServerTemplate, Settings, Sources, StateReason, gossip,
};
use proptest::prelude::*;

const NOW: u64 = 1_000_000;

fn at(n: u8) -> SocketAddr {
    SocketAddr::from(([10, 1, 0, n], 6379))
}

fn line(n: u8, phase: Phase) -> ServerRecord {
    ServerRecord {
        id: format!("s-{n}"),
        host_port: at(n).to_string(),
        locality: "a".into(),
        flavor: "m".into(),
        cell: 0,
        size: Some(1.0),
        up_since_ms: 0,
        phase,
    }
}

fn named(n: u8, priority: u16) -> DnsServer {
    DnsServer { address: at(n), priority, weight: 10 }
}

fn settings() -> Settings {
    Settings {
        gone_ms: 60_000,
        rumours: Some(gossip::Settings { trust_ms: 20_000, share: 0.5, tells: 2 }),
        like: ServerTemplate { locality: "b".into(), flavor: "m".into(), cell: 3 },
        origin: Some("origin".into()),
        ..Settings::default()
    }
}

fn sources() -> Sources {
    Sources::new(settings(), 1, NOW)
}

/// The ready ids.
fn ready(sources: &mut Sources, now: u64) -> Vec<String> {
    sources.changes(now);
    sources.shown().filter(|l| l.phase == Phase::Ready && l.flavor == "m").map(|l| l.id.clone()).collect()
}

fn dns(sources: &mut Sources, now: u64, boxes: &[DnsServer], answers: u64) {
    let word = if boxes.is_empty() { DnsTrust::Nothing } else { DnsTrust::Fresh };
    sources.names(now, word, boxes, true, answers);
}

#[test]
fn what_the_list_drains_or_takes_away_dns_does_not_bring_back() {
    let mut s = Sources::new(Settings { rumours: None, ..settings() }, 1, NOW);
    s.list(NOW, true, vec![line(1, Phase::Ready), line(2, Phase::Ready), line(3, Phase::Ready)]);
    for n in 0..50 {
        dns(&mut s, NOW + n, &[named(1, 0), named(2, 0), named(3, 0)], n);
        assert_eq!(ready(&mut s, NOW + n), ["s-1", "s-2", "s-3"]);
    }
    s.list(NOW + 100, false, vec![line(1, Phase::Draining), line(2, Phase::Gone)]);
    for n in 0..50 {
        dns(&mut s, NOW + 100 + n, &[named(1, 0), named(2, 0), named(3, 0)], 100 + n);
        assert_eq!(ready(&mut s, NOW + 100 + n), ["s-3"]);
    }
    let why = |s: &Sources, id: &str| s.listed().iter().find(|l| l.id == id).map(|l| (l.phase, l.why));
    assert_eq!(why(&s, "s-1"), Some((Phase::Draining, StateReason::List)));
    assert_eq!(why(&s, "at-10.1.0.2:6379"), Some((Phase::Gone, StateReason::TakenAway)));
    assert!(s.text().contains("box:at-10.1.0.2:6379,10.1.0.2:6379,gone,taken-away\r\n"), "{}", s.text());
    // The list itself brings it back; and so does time, where the list does not speak of it any more.
    assert_eq!(s.due(NOW + 200), Some(NOW + 100 + 60_000));
    assert_eq!(ready(&mut s, NOW + 100 + 60_000), ["at-10.1.0.2:6379", "s-3"]);
    s.list(NOW + 70_000, false, vec![line(1, Phase::Ready)]);
    assert!(ready(&mut s, NOW + 70_000).contains(&"s-1".to_owned()));
}

#[test]
fn a_whole_list_without_a_box_and_a_box_that_moves_leave_their_addresses() {
    let mut s = sources();
    s.list(NOW, true, vec![line(1, Phase::Ready), line(2, Phase::Ready)]);
    s.list(NOW + 1, true, vec![line(2, Phase::Ready)]);
    s.list(NOW + 2, false, vec![ServerRecord { host_port: at(9).to_string(), ..line(2, Phase::Ready) }]);
    dns(&mut s, NOW + 3, &[named(1, 0), named(2, 0), named(9, 0)], 1);
    assert_eq!(ready(&mut s, NOW + 3), ["s-2"]);
    // A new box at the address of one that goes in the same list stays, in whatever order they stand.
    let other = ServerRecord { id: "s-0".into(), ..line(9, Phase::Ready) };
    s.list(NOW + 4, false, vec![other, line(2, Phase::Gone)]);
    assert_eq!(ready(&mut s, NOW + 4), ["s-0"]);
}

#[test]
fn a_box_that_only_dns_names_is_cold_and_keeps_its_place_when_the_list_names_it() {
    let mut s = sources();
    s.list(NOW, true, vec![line(1, Phase::Ready)]);
    let mapped: SocketAddr = "[::ffff:10.1.0.7]:6379".parse().unwrap();
    let same = DnsServer { address: mapped, ..named(7, 0) };
    dns(&mut s, NOW + 10, &[named(1, 0), same, named(7, 0)], 1);
    let changes = s.changes(NOW + 10);
    let new = changes.lines.iter().find(|l| l.id == "at-10.1.0.7:6379").unwrap();
    assert_eq!((new.up_since_ms, new.phase, new.cell), (NOW + 10, Phase::Ready, 3));
    // It is named on and on: its start stays. The list names it: one box, renamed, with the list's word on its start.
    dns(&mut s, NOW + 20, &[named(1, 0), named(7, 0)], 2);
    assert_eq!(s.changes(NOW + 20), mothpier_membership::Changes::default());
    s.list(NOW + 30, false, vec![line(7, Phase::Ready)]);
    let changes = s.changes(NOW + 30);
    assert_eq!(changes.renamed, [("at-10.1.0.7:6379".to_owned(), "s-7".to_owned())]);
    assert_eq!(ready(&mut s, NOW + 30), ["s-1", "s-7"]);
}

#[test]
fn lower_priorities_first_and_the_next_when_none_of_them_is_left() {
    let mut s = sources();
    s.list(NOW, true, vec![line(1, Phase::Ready)]);
    dns(&mut s, NOW, &[named(1, 1), named(2, 1), named(3, 2)], 1);
    assert_eq!(ready(&mut s, NOW), ["at-10.1.0.2:6379", "s-1"]);
    assert!(s.listed().iter().any(|l| l.at == at(3).to_string() && l.why == StateReason::Standby));
    s.list(NOW, false, vec![line(1, Phase::Gone)]);
    dns(&mut s, NOW + 1, &[named(1, 1), named(3, 2)], 2);
    assert_eq!(ready(&mut s, NOW + 1), ["at-10.1.0.3:6379"]);
    // Weights become sizes against the mean of the group, within bounds.
    let heavy = |n, weight| DnsServer { weight, ..named(n, 1) };
    dns(&mut s, NOW + 2, &[heavy(4, 30), heavy(5, 10), heavy(6, 20), heavy(7, 0)], 3);
    s.changes(NOW + 2);
    let size = |n: u8| s.shown().find(|l| l.host_port == at(n).to_string()).and_then(|l| l.size);
    assert_eq!((size(4), size(6), size(7)), (Some(2.0), Some(20.0 / 15.0), Some(0.25)));
}

#[test]
fn no_source_alone_empties_the_view() {
    let mut s = Sources::new(
        Settings { doubt: ShrinkGuard { share: 0.3, confirm: 1, hold_ms: 10 }, ..settings() },
        1,
        NOW,
    );
    dns(&mut s, NOW, &[named(1, 0), named(2, 0)], 1);
    let both = ["at-10.1.0.1:6379", "at-10.1.0.2:6379"];
    assert_eq!(ready(&mut s, NOW), both);
    for n in 0..100 {
        dns(&mut s, NOW + n * 10, &[], 2 + n);
        assert_eq!(ready(&mut s, NOW + n * 10), both, "{n}");
    }
    assert!(s.listed().iter().all(|l| l.why == StateReason::LastResort));
    s.names(NOW + 2_000, DnsTrust::Silent, &[], true, 200);
    assert_eq!(ready(&mut s, NOW + 2_000), both);
    // Both out: what was holds. And the list may take away what is left.
    s.list_out();
    assert_eq!(ready(&mut s, NOW + 3_000), both);
    s.list(NOW + 4_000, false, vec![ServerRecord { phase: Phase::Gone, ..line(1, Phase::Ready) }]);
    assert_eq!(ready(&mut s, NOW + 4_000), both[1..]);
    // Real boxes come: the last resort is over.
    s.list(NOW + 5_000, true, vec![line(5, Phase::Ready)]);
    assert_eq!(ready(&mut s, NOW + 5_000), ["s-5"]);
}

#[test]
fn a_rumour_keeps_a_drain_that_the_own_list_does_not_tell_within_its_share_and_time() {
    let (mut a, mut b) = (sources(), sources());
    let all: Vec<ServerRecord> = (1..=4).map(|n| line(n, Phase::Ready)).collect();
    a.list(NOW, true, all.clone());
    b.list(NOW, true, all);
    b.list_out();
    a.list(NOW + 10, false, vec![line(1, Phase::Draining), line(2, Phase::Gone), line(3, Phase::Draining)]);
    assert!(b.heard(NOW + 12, &a.tell(NOW + 11).unwrap()));
    // Half of the four may be hushed; which of them: those heard of last, then by id.
    assert_eq!(ready(&mut b, NOW + 12), ["s-3", "s-4"]);
    assert_eq!(b.listed().iter().filter(|l| l.why == StateReason::Rumour).count(), 2);
    assert_eq!(ready(&mut b, NOW + 10 + 20_000), ["s-1", "s-2", "s-3", "s-4"]);
    // Its own list's word ends a rumour of an older process, and one of the same when it says ready after it.
    let mut c = sources();
    c.list(NOW, true, (1..=4).map(|n| line(n, Phase::Ready)).collect());
    c.heard(NOW + 12, &a.tell(NOW + 200).unwrap());
    assert_eq!(ready(&mut c, NOW + 12), ["s-3", "s-4"]);
    c.list(NOW + 13, false, vec![ServerRecord { up_since_ms: NOW + 5, ..line(1, Phase::Ready) }]);
    c.list(NOW + 14, false, vec![line(2, Phase::Draining)]);
    c.list(NOW + 15, false, vec![line(2, Phase::Ready)]);
    assert_eq!(ready(&mut c, NOW + 16), ["s-1", "s-2", "s-4"]);
}

#[test]
fn the_only_box_is_not_taken_out_by_hearsay() {
    let (mut a, mut b) = (sources(), sources());
    a.list(NOW, true, vec![line(1, Phase::Ready), line(2, Phase::Ready)]);
    b.list(NOW, true, vec![line(1, Phase::Ready)]);
    a.list(NOW, false, vec![line(1, Phase::Gone)]);
    b.heard(NOW, &a.tell(NOW).unwrap());
    assert_eq!(ready(&mut b, NOW), ["s-1"]);
}

#[test]
fn two_boxes_that_swap_addresses_are_both_kept_and_a_fixed_one_is_cold() {
    let mut s = Sources::new(Settings { fixed: vec![at(8)], ..settings() }, 1, NOW);
    s.list(NOW, true, vec![line(1, Phase::Ready), line(2, Phase::Ready)]);
    assert_eq!(ready(&mut s, NOW), ["at-10.1.0.8:6379", "s-1", "s-2"]);
    assert!(s.shown().any(|l| l.id.starts_with("at-") && l.up_since_ms == NOW));
    let swap = |n, to| ServerRecord { host_port: at(to).to_string(), ..line(n, Phase::Ready) };
    s.list(NOW + 1, false, vec![swap(1, 2), swap(2, 1)]);
    dns(&mut s, NOW + 1, &[named(1, 0), named(2, 0)], 1);
    assert_eq!(ready(&mut s, NOW + 1), ["at-10.1.0.8:6379", "s-1", "s-2"]);
    s.list(
        NOW + 2,
        false,
        vec![ServerRecord { id: "o".into(), flavor: "origin".into(), ..line(8, Phase::Ready) }],
    );
    assert_eq!(ready(&mut s, NOW + 2), ["s-1", "s-2"], "an origin is no box, whoever names it");
}

/// A word of some source.
#[derive(Clone, Debug)]
enum Said {
    List { whole: bool, lines: Vec<(u8, u8, u64)> },
    Out,
    Dns { word: u8, boxes: Vec<(u8, u8)>, all: bool },
    Rumour(Vec<u8>),
    Later(u64),
}

/// `PROPTEST_CASES` asks for more.
fn cases(usual: u32) -> u32 {
    std::env::var("PROPTEST_CASES").ok().and_then(|n| n.parse().ok()).unwrap_or(usual)
}

fn said() -> impl Strategy<Value = Said> {
    let lines = proptest::collection::btree_map(0..8u8, (0..3u8, 0..3u64), 0..6)
        .prop_map(|lines| lines.into_iter().map(|(n, (phase, up))| (n, phase, up)).collect());
    let boxes = proptest::collection::vec((0..8u8, 0..2u8), 0..6);
    prop_oneof![
        (any::<bool>(), lines).prop_map(|(whole, lines)| Said::List { whole, lines }),
        Just(Said::Out),
        (0..5u8, boxes, any::<bool>()).prop_map(|(word, boxes, all)| Said::Dns { word, boxes, all }),
        proptest::collection::vec(any::<u8>(), 0..120).prop_map(|bytes| {
            let mut message = b"MPW1".to_vec();
            message.extend(bytes);
            Said::Rumour(message)
        }),
        (1..40_000u64).prop_map(Said::Later),
    ]
}

fn take(s: &mut Sources, now: &mut u64, answers: &mut u64, said: &Said) {
    match said {
        Said::List { whole, lines } => {
            let phase = |p| [Phase::Ready, Phase::Draining, Phase::Gone][usize::from(p)];
            let lines =
                lines.iter().map(|(n, p, up)| ServerRecord { up_since_ms: *up, ..line(*n, phase(*p)) });
            s.list(*now, *whole, lines.collect());
        }
        Said::Out => s.list_out(),
        Said::Dns { word, boxes, all } => {
            *answers += 1;
            let words =
                [DnsTrust::Unknown, DnsTrust::Fresh, DnsTrust::Stale, DnsTrust::Nothing, DnsTrust::Silent];
            let word = words[usize::from(*word)];
            let told = matches!(word, DnsTrust::Fresh | DnsTrust::Stale);
            let boxes: Vec<DnsServer> =
                boxes.iter().filter(|_| told).map(|(n, p)| named(*n, u16::from(*p))).collect();
            s.names(*now, word, &boxes, *all, *answers);
        }
        Said::Rumour(bytes) => {
            s.heard(*now, bytes);
        }
        Said::Later(ms) => *now += ms,
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: cases(2_000), failure_persistence: None, ..ProptestConfig::default() })]

    /// Equal histories give equal views, however often they are looked at; changes add up to the view; what the list says of
    /// a box is never overruled upwards; DNS alone never empties the view.
    #[test]
    fn whatever_the_sources_say(history in proptest::collection::vec(said(), 1..40)) {
        let (mut often, mut once) = (sources(), sources());
        let (mut now, mut answers) = (NOW, 0);
        let (mut same, mut counted) = (NOW, 0);
        let mut built = std::collections::BTreeMap::new();
        for word in &history {
            let before = often.shown().filter(|l| l.phase == Phase::Ready).count();
            take(&mut often, &mut now, &mut answers, word);
            take(&mut once, &mut same, &mut counted, word);
            once.changes(same);
            once.changes(same);
            for l in often.changes(now).lines {
                match l.phase {
                    Phase::Gone => drop(built.remove(&l.id)),
                    _ => drop(built.insert(l.id.clone(), l)),
                }
            }
            prop_assert_eq!(built.values().collect::<Vec<_>>(), often.shown().collect::<Vec<_>>());
            let after = often.shown().filter(|l| l.phase == Phase::Ready).count();
            if matches!(word, Said::Dns { .. }) && before > 0 {
                prop_assert!(after > 0, "DNS alone emptied the view: {:?}", word);
            }
            if let Said::List { lines, .. } = word {
                for (n, phase, _) in lines {
                    let unready = *phase != 0;
                    let here = often.shown().any(|l| l.phase == Phase::Ready && l.host_port == at(*n).to_string());
                    prop_assert!(!(unready && here), "{} is ready, which the list denies", n);
                }
            }
        }
        let view = |s: &Sources| s.shown().cloned().collect::<Vec<_>>();
        prop_assert_eq!(view(&often), view(&once));
    }
}
