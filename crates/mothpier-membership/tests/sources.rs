//! Tests of the merge rules of the membership sources: single cases, and invariants over random histories.

use std::net::SocketAddr;

use mothpier_membership::dns_servers::ShrinkGuard;
use mothpier_membership::{
    DnsServer, DnsTrust, Phase, ServerRecord, ServerTemplate, Settings, Sources, StateReason, gossip,
};
use proptest::prelude::*;

const NOW: u64 = 1_000_000;

fn address(n: u8) -> SocketAddr {
    SocketAddr::from(([10, 1, 0, n], 6379))
}

fn record(n: u8, phase: Phase) -> ServerRecord {
    ServerRecord {
        id: format!("s-{n}"),
        host_port: address(n).to_string(),
        locality: "a".into(),
        flavor: "m".into(),
        cell: 0,
        size: Some(1.0),
        up_since_ms: 0,
        phase,
    }
}

fn dns_server(n: u8, priority: u16) -> DnsServer {
    DnsServer { address: address(n), priority, weight: 10 }
}

fn settings() -> Settings {
    Settings {
        tombstone_ms: 60_000,
        gossip: Some(gossip::Settings { trust_ms: 20_000, max_share: 0.5, sends: 2 }),
        template: ServerTemplate { locality: "b".into(), flavor: "m".into(), cell: 3 },
        origin: Some("origin".into()),
        ..Settings::default()
    }
}

fn sources() -> Sources {
    Sources::new(settings(), 1, NOW)
}

/// Returns the ids of the ready cache servers.
fn ready(sources: &mut Sources, now: u64) -> Vec<String> {
    sources.changes(now);
    sources
        .last_view()
        .filter(|record| record.phase == Phase::Ready && record.flavor == "m")
        .map(|record| record.id.clone())
        .collect()
}

fn update_dns(sources: &mut Sources, now: u64, servers: &[DnsServer], answers: u64) {
    let trust = if servers.is_empty() { DnsTrust::Empty } else { DnsTrust::Fresh };
    sources.update_dns(now, trust, servers, true, answers);
}

#[test]
fn dns_does_not_bring_back_what_the_list_drained_or_removed() {
    let mut sources = Sources::new(Settings { gossip: None, ..settings() }, 1, NOW);
    sources.update_list(
        NOW,
        true,
        vec![record(1, Phase::Ready), record(2, Phase::Ready), record(3, Phase::Ready)],
    );
    for n in 0..50 {
        update_dns(&mut sources, NOW + n, &[dns_server(1, 0), dns_server(2, 0), dns_server(3, 0)], n);
        assert_eq!(ready(&mut sources, NOW + n), ["s-1", "s-2", "s-3"]);
    }
    sources.update_list(NOW + 100, false, vec![record(1, Phase::Draining), record(2, Phase::Gone)]);
    for n in 0..50 {
        update_dns(
            &mut sources,
            NOW + 100 + n,
            &[dns_server(1, 0), dns_server(2, 0), dns_server(3, 0)],
            100 + n,
        );
        assert_eq!(ready(&mut sources, NOW + 100 + n), ["s-3"]);
    }
    let state = |sources: &Sources, id: &str| {
        sources.reports().iter().find(|report| report.id == id).map(|report| (report.phase, report.reason))
    };
    assert_eq!(state(&sources, "s-1"), Some((Phase::Draining, StateReason::List)));
    assert_eq!(state(&sources, "at-10.1.0.2:6379"), Some((Phase::Gone, StateReason::RemovedByList)));
    assert!(
        sources.text().contains("box:at-10.1.0.2:6379,10.1.0.2:6379,gone,taken-away\r\n"),
        "{}",
        sources.text()
    );
    // A server is back when the list says so, or when its removal by the list no longer counts.
    assert_eq!(sources.next_due(NOW + 200), Some(NOW + 100 + 60_000));
    assert_eq!(ready(&mut sources, NOW + 100 + 60_000), ["at-10.1.0.2:6379", "s-3"]);
    sources.update_list(NOW + 70_000, false, vec![record(1, Phase::Ready)]);
    assert!(ready(&mut sources, NOW + 70_000).contains(&"s-1".to_owned()));
}

#[test]
fn addresses_of_removed_and_moved_servers_stay_excluded() {
    let mut sources = sources();
    sources.update_list(NOW, true, vec![record(1, Phase::Ready), record(2, Phase::Ready)]);
    sources.update_list(NOW + 1, true, vec![record(2, Phase::Ready)]);
    sources.update_list(
        NOW + 2,
        false,
        vec![ServerRecord { host_port: address(9).to_string(), ..record(2, Phase::Ready) }],
    );
    update_dns(&mut sources, NOW + 3, &[dns_server(1, 0), dns_server(2, 0), dns_server(9, 0)], 1);
    assert_eq!(ready(&mut sources, NOW + 3), ["s-2"]);
    // A new server at the address of one removed in the same list is kept, in whatever order they are listed.
    let other = ServerRecord { id: "s-0".into(), ..record(9, Phase::Ready) };
    sources.update_list(NOW + 4, false, vec![other, record(2, Phase::Gone)]);
    assert_eq!(ready(&mut sources, NOW + 4), ["s-0"]);
}

#[test]
fn a_server_named_only_by_dns_is_cold_and_is_renamed_when_the_list_names_it() {
    let mut sources = sources();
    sources.update_list(NOW, true, vec![record(1, Phase::Ready)]);
    let mapped: SocketAddr = "[::ffff:10.1.0.7]:6379".parse().unwrap();
    let same_server = DnsServer { address: mapped, ..dns_server(7, 0) };
    update_dns(&mut sources, NOW + 10, &[dns_server(1, 0), same_server, dns_server(7, 0)], 1);
    let changes = sources.changes(NOW + 10);
    let new = changes.records.iter().find(|record| record.id == "at-10.1.0.7:6379").unwrap();
    assert_eq!((new.up_since_ms, new.phase, new.cell), (NOW + 10, Phase::Ready, 3));
    // Its start time stays the same in later answers. When the list names it, it is the same server under a
    // new id, with the start time from the list.
    update_dns(&mut sources, NOW + 20, &[dns_server(1, 0), dns_server(7, 0)], 2);
    assert_eq!(sources.changes(NOW + 20), mothpier_membership::Changes::default());
    sources.update_list(NOW + 30, false, vec![record(7, Phase::Ready)]);
    let changes = sources.changes(NOW + 30);
    assert_eq!(changes.renamed, [("at-10.1.0.7:6379".to_owned(), "s-7".to_owned())]);
    assert_eq!(ready(&mut sources, NOW + 30), ["s-1", "s-7"]);
}

#[test]
fn the_lowest_dns_priority_with_a_usable_server_is_used() {
    let mut sources = sources();
    sources.update_list(NOW, true, vec![record(1, Phase::Ready)]);
    update_dns(&mut sources, NOW, &[dns_server(1, 1), dns_server(2, 1), dns_server(3, 2)], 1);
    assert_eq!(ready(&mut sources, NOW), ["at-10.1.0.2:6379", "s-1"]);
    assert!(
        sources
            .reports()
            .iter()
            .any(|report| report.address == address(3).to_string() && report.reason == StateReason::Standby)
    );
    sources.update_list(NOW, false, vec![record(1, Phase::Gone)]);
    update_dns(&mut sources, NOW + 1, &[dns_server(1, 1), dns_server(3, 2)], 2);
    assert_eq!(ready(&mut sources, NOW + 1), ["at-10.1.0.3:6379"]);
    // A weight becomes a size relative to the mean weight of the same priority, within bounds.
    let weighted = |n, weight| DnsServer { weight, ..dns_server(n, 1) };
    update_dns(
        &mut sources,
        NOW + 2,
        &[weighted(4, 30), weighted(5, 10), weighted(6, 20), weighted(7, 0)],
        3,
    );
    sources.changes(NOW + 2);
    let size = |n: u8| {
        sources
            .last_view()
            .find(|record| record.host_port == address(n).to_string())
            .and_then(|record| record.size)
    };
    assert_eq!((size(4), size(6), size(7)), (Some(2.0), Some(20.0 / 15.0), Some(0.25)));
}

#[test]
fn the_view_stays_filled_when_dns_fails_and_the_list_is_unreachable() {
    let mut sources = Sources::new(
        Settings { shrink_guard: ShrinkGuard { share: 0.3, confirm: 1, hold_ms: 10 }, ..settings() },
        1,
        NOW,
    );
    update_dns(&mut sources, NOW, &[dns_server(1, 0), dns_server(2, 0)], 1);
    let both = ["at-10.1.0.1:6379", "at-10.1.0.2:6379"];
    assert_eq!(ready(&mut sources, NOW), both);
    for n in 0..100 {
        update_dns(&mut sources, NOW + n * 10, &[], 2 + n);
        assert_eq!(ready(&mut sources, NOW + n * 10), both, "{n}");
    }
    assert!(sources.reports().iter().all(|report| report.reason == StateReason::LastResort));
    sources.update_dns(NOW + 2_000, DnsTrust::Expired, &[], true, 200);
    assert_eq!(ready(&mut sources, NOW + 2_000), both);
    // Without list and DNS the last view is kept, but the list may still remove what is left.
    sources.mark_list_unreachable();
    assert_eq!(ready(&mut sources, NOW + 3_000), both);
    sources.update_list(
        NOW + 4_000,
        false,
        vec![ServerRecord { phase: Phase::Gone, ..record(1, Phase::Ready) }],
    );
    assert_eq!(ready(&mut sources, NOW + 4_000), both[1..]);
    // Servers kept as a last resort go as soon as others are listed.
    sources.update_list(NOW + 5_000, true, vec![record(5, Phase::Ready)]);
    assert_eq!(ready(&mut sources, NOW + 5_000), ["s-5"]);
}

#[test]
fn gossip_applies_a_drain_unknown_to_the_own_list_within_its_share_and_lifetime() {
    let (mut a, mut b) = (sources(), sources());
    let all: Vec<ServerRecord> = (1..=4).map(|n| record(n, Phase::Ready)).collect();
    a.update_list(NOW, true, all.clone());
    b.update_list(NOW, true, all);
    b.mark_list_unreachable();
    a.update_list(
        NOW + 10,
        false,
        vec![record(1, Phase::Draining), record(2, Phase::Gone), record(3, Phase::Draining)],
    );
    assert!(b.receive(NOW + 12, &a.next_message(NOW + 11).unwrap()));
    // Gossip may drain half of the four: the most recently reported ones, then in order of id.
    assert_eq!(ready(&mut b, NOW + 12), ["s-3", "s-4"]);
    assert_eq!(b.reports().iter().filter(|report| report.reason == StateReason::PeerReport).count(), 2);
    assert_eq!(ready(&mut b, NOW + 10 + 20_000), ["s-1", "s-2", "s-3", "s-4"]);
    // An item ends when the own list reports a later process, or reports the same one ready after a drain.
    let mut c = sources();
    c.update_list(NOW, true, (1..=4).map(|n| record(n, Phase::Ready)).collect());
    c.receive(NOW + 12, &a.next_message(NOW + 200).unwrap());
    assert_eq!(ready(&mut c, NOW + 12), ["s-3", "s-4"]);
    c.update_list(NOW + 13, false, vec![ServerRecord { up_since_ms: NOW + 5, ..record(1, Phase::Ready) }]);
    c.update_list(NOW + 14, false, vec![record(2, Phase::Draining)]);
    c.update_list(NOW + 15, false, vec![record(2, Phase::Ready)]);
    assert_eq!(ready(&mut c, NOW + 16), ["s-1", "s-2", "s-4"]);
}

#[test]
fn gossip_does_not_drain_the_only_server() {
    let (mut a, mut b) = (sources(), sources());
    a.update_list(NOW, true, vec![record(1, Phase::Ready), record(2, Phase::Ready)]);
    b.update_list(NOW, true, vec![record(1, Phase::Ready)]);
    a.update_list(NOW, false, vec![record(1, Phase::Gone)]);
    b.receive(NOW, &a.next_message(NOW).unwrap());
    assert_eq!(ready(&mut b, NOW), ["s-1"]);
}

#[test]
fn servers_that_swap_addresses_are_both_kept_and_a_fixed_server_is_cold() {
    let mut sources = Sources::new(Settings { fixed: vec![address(8)], ..settings() }, 1, NOW);
    sources.update_list(NOW, true, vec![record(1, Phase::Ready), record(2, Phase::Ready)]);
    assert_eq!(ready(&mut sources, NOW), ["at-10.1.0.8:6379", "s-1", "s-2"]);
    assert!(sources.last_view().any(|record| record.id.starts_with("at-") && record.up_since_ms == NOW));
    let swap = |n, to| ServerRecord { host_port: address(to).to_string(), ..record(n, Phase::Ready) };
    sources.update_list(NOW + 1, false, vec![swap(1, 2), swap(2, 1)]);
    update_dns(&mut sources, NOW + 1, &[dns_server(1, 0), dns_server(2, 0)], 1);
    assert_eq!(ready(&mut sources, NOW + 1), ["at-10.1.0.8:6379", "s-1", "s-2"]);
    sources.update_list(
        NOW + 2,
        false,
        vec![ServerRecord { id: "o".into(), flavor: "origin".into(), ..record(8, Phase::Ready) }],
    );
    assert_eq!(
        ready(&mut sources, NOW + 2),
        ["s-1", "s-2"],
        "the origin is not a cache server, whichever source names it"
    );
}

/// A report from one of the sources, or the passing of time.
#[derive(Clone, Debug)]
enum Report {
    List { whole: bool, records: Vec<(u8, u8, u64)> },
    ListUnreachable,
    Dns { trust: u8, servers: Vec<(u8, u8)>, complete: bool },
    Gossip(Vec<u8>),
    Later(u64),
}

/// Returns the number of test cases, which `PROPTEST_CASES` overrides.
fn cases(usual: u32) -> u32 {
    std::env::var("PROPTEST_CASES").ok().and_then(|n| n.parse().ok()).unwrap_or(usual)
}

fn report() -> impl Strategy<Value = Report> {
    let records = proptest::collection::btree_map(0..8u8, (0..3u8, 0..3u64), 0..6).prop_map(|records| {
        records.into_iter().map(|(n, (phase, up_since_ms))| (n, phase, up_since_ms)).collect()
    });
    let servers = proptest::collection::vec((0..8u8, 0..2u8), 0..6);
    prop_oneof![
        (any::<bool>(), records).prop_map(|(whole, records)| Report::List { whole, records }),
        Just(Report::ListUnreachable),
        (0..5u8, servers, any::<bool>()).prop_map(|(trust, servers, complete)| Report::Dns {
            trust,
            servers,
            complete
        }),
        proptest::collection::vec(any::<u8>(), 0..120).prop_map(|bytes| {
            let mut message = b"MPW1".to_vec();
            message.extend(bytes);
            Report::Gossip(message)
        }),
        (1..40_000u64).prop_map(Report::Later),
    ]
}

fn apply(sources: &mut Sources, now: &mut u64, answers: &mut u64, report: &Report) {
    match report {
        Report::List { whole, records } => {
            let phase = |p| [Phase::Ready, Phase::Draining, Phase::Gone][usize::from(p)];
            let records = records.iter().map(|(n, p, up_since_ms)| ServerRecord {
                up_since_ms: *up_since_ms,
                ..record(*n, phase(*p))
            });
            sources.update_list(*now, *whole, records.collect());
        }
        Report::ListUnreachable => sources.mark_list_unreachable(),
        Report::Dns { trust, servers, complete } => {
            *answers += 1;
            let all_trusts =
                [DnsTrust::Unknown, DnsTrust::Fresh, DnsTrust::Stale, DnsTrust::Empty, DnsTrust::Expired];
            let trust = all_trusts[usize::from(*trust)];
            let named_any = matches!(trust, DnsTrust::Fresh | DnsTrust::Stale);
            let servers: Vec<DnsServer> =
                servers.iter().filter(|_| named_any).map(|(n, p)| dns_server(*n, u16::from(*p))).collect();
            sources.update_dns(*now, trust, &servers, *complete, *answers);
        }
        Report::Gossip(bytes) => {
            sources.receive(*now, bytes);
        }
        Report::Later(ms) => *now += ms,
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: cases(2_000), failure_persistence: None, ..ProptestConfig::default() })]

    /// Equal histories give equal views, however often changes are polled. Changes add up to the view. A
    /// server that the list reports as draining or gone is never ready. DNS alone never empties the view.
    #[test]
    fn merge_invariants_hold_for_every_history(history in proptest::collection::vec(report(), 1..40)) {
        let (mut polled_once, mut polled_twice) = (sources(), sources());
        let (mut now, mut answers) = (NOW, 0);
        let (mut second_now, mut second_answers) = (NOW, 0);
        let mut rebuilt = std::collections::BTreeMap::new();
        for report in &history {
            let before = polled_once.last_view().filter(|record| record.phase == Phase::Ready).count();
            apply(&mut polled_once, &mut now, &mut answers, report);
            apply(&mut polled_twice, &mut second_now, &mut second_answers, report);
            polled_twice.changes(second_now);
            polled_twice.changes(second_now);
            for record in polled_once.changes(now).records {
                match record.phase {
                    Phase::Gone => drop(rebuilt.remove(&record.id)),
                    _ => drop(rebuilt.insert(record.id.clone(), record)),
                }
            }
            prop_assert_eq!(rebuilt.values().collect::<Vec<_>>(), polled_once.last_view().collect::<Vec<_>>());
            let after = polled_once.last_view().filter(|record| record.phase == Phase::Ready).count();
            if matches!(report, Report::Dns { .. }) && before > 0 {
                prop_assert!(after > 0, "DNS alone emptied the view: {:?}", report);
            }
            if let Report::List { records, .. } = report {
                for (n, phase, _) in records {
                    let unready = *phase != 0;
                    let is_ready = polled_once
                        .last_view()
                        .any(|record| record.phase == Phase::Ready && record.host_port == address(*n).to_string());
                    prop_assert!(!(unready && is_ready), "{} is ready, against the list", n);
                }
            }
        }
        let view = |sources: &Sources| sources.last_view().cloned().collect::<Vec<_>>();
        prop_assert_eq!(view(&polled_once), view(&polled_twice));
    }
}
