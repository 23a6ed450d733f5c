//! The agreed state: the same log makes the same bytes, a command that is sent twice takes effect once, bounds hold.
#![allow(missing_docs)]

use mothpier_coordination::fleet::messages::{
    FleetCommand, FleetRefusal, FleetResponse, Kind, Listed, NumberedReport, ReportedServers,
};
use mothpier_coordination::{Answer, Change, Command, Refusal, ReplicatedState, Request, Unreadable, limits};
use proptest::prelude::*;

fn open(session: &str) -> Command {
    Command::Open { session: session.into(), ttl_ms: 5000 }
}

fn ask(session: &str, number: u64, request: Request) -> Command {
    Command::Ask { session: session.into(), number, request }
}

fn acquire(lease: &str, wait: bool) -> Request {
    Request::Acquire { lease: lease.into(), wait }
}

fn refused(answer: &Answer) -> Option<&Refusal> {
    if let Answer::Refused { why } = answer { Some(why) } else { None }
}

#[test]
fn a_lease_goes_from_holder_to_holder_in_the_order_of_asking_and_its_fence_only_rises() {
    let mut agreed = ReplicatedState::default();
    for session in ["a", "b", "c"] {
        assert_eq!(agreed.apply(&open(session)), Answer::Opened);
    }
    assert_eq!(agreed.apply(&ask("a", 1, acquire("roll", true))), Answer::Granted { fence: 1 });
    assert_eq!(agreed.apply(&ask("b", 1, acquire("roll", true))), Answer::Waiting { ahead: 1 });
    assert_eq!(agreed.apply(&ask("c", 1, acquire("roll", true))), Answer::Waiting { ahead: 2 });
    assert_eq!(agreed.apply(&ask("b", 1, acquire("roll", true))), Answer::Waiting { ahead: 1 }, "sent twice");
    let by = Refusal::Held { by: "a".into() };
    assert_eq!(refused(&agreed.apply(&ask("a", 2, acquire("watch", false)))), None);
    assert_eq!(refused(&agreed.apply(&ask("c", 2, acquire("watch", false)))), Some(&by));
    // A session that ends gives up all; who comes next has it at once.
    assert_eq!(agreed.apply(&Command::Expire { session: "a".into(), renewals: 0 }), Answer::Closed);
    assert_eq!(agreed.leases()["roll"].holder, "b");
    assert_eq!(agreed.leases()["roll"].fence, 3);
    assert!(!agreed.leases().contains_key("watch"));
    assert_eq!(agreed.apply(&ask("b", 2, Request::Release { lease: "roll".into() })), Answer::Released);
    assert_eq!(agreed.leases()["roll"].holder, "c");
    assert_eq!(agreed.floors().others, 5);
    let told: Vec<_> = agreed.changes_since(0).unwrap().map(|(_, c)| c.clone()).collect();
    let granted =
        |fence, session: &str| Change::Granted { lease: "roll".into(), session: session.into(), fence };
    assert!(
        told.contains(&granted(1, "a"))
            && told.contains(&granted(3, "b"))
            && told.ends_with(&[granted(4, "c")])
    );
}

#[test]
fn a_renewal_that_is_committed_before_an_end_wins_and_one_behind_it_is_refused() {
    let mut agreed = ReplicatedState::default();
    agreed.apply(&open("a"));
    let expire = Command::Expire { session: "a".into(), renewals: 0 };
    assert_eq!(agreed.apply(&Command::Renew { session: "a".into() }), Answer::Renewed);
    assert_eq!(refused(&agreed.apply(&expire)), Some(&Refusal::Renewed));
    // Opening again counts as a renewal: who asks again counts its time from then.
    assert_eq!(agreed.apply(&open("a")), Answer::Opened);
    let expire = |renewals| Command::Expire { session: "a".into(), renewals };
    assert_eq!(refused(&agreed.apply(&expire(1))), Some(&Refusal::Renewed));
    assert_eq!(agreed.apply(&expire(2)), Answer::Closed);
    assert_eq!(refused(&agreed.apply(&Command::Renew { session: "a".into() })), Some(&Refusal::NoSession));
    assert_eq!(refused(&agreed.apply(&open("a"))), Some(&Refusal::SessionOver), "a late copy opens nothing");
}

#[test]
fn a_lease_that_staff_break_ends_in_its_holders_time_and_not_before() {
    let mut agreed = ReplicatedState::default();
    ["a", "b"].iter().for_each(|s| drop(agreed.apply(&open(s))));
    agreed.apply(&ask("a", 1, acquire("roll", true)));
    agreed.apply(&ask("b", 1, acquire("roll", true)));
    let stop = |fence| Command::Break { lease: "roll".into(), fence };
    assert_eq!(refused(&agreed.apply(&stop(9))), Some(&Refusal::NotHeld), "another grant than was meant");
    assert_eq!(agreed.apply(&stop(1)), Answer::Broken);
    assert_eq!(agreed.leases()["roll"].holder, "a", "it may be acting");
    for command in [Command::Renew { session: "a".into() }, open("a")] {
        assert_eq!(refused(&agreed.apply(&command)), Some(&Refusal::BrokenByStaff));
    }
    agreed.apply(&Command::Expire { session: "a".into(), renewals: 0 });
    assert_eq!(agreed.leases()["roll"].holder, "b");
}

#[test]
fn values_change_only_where_nobody_else_changed_them_and_watchers_miss_nothing_or_are_told_so() {
    let mut agreed = ReplicatedState::default();
    agreed.apply(&open("a"));
    let put = |value: &str, at| Request::Put { key: "limit".into(), value: value.into(), at };
    assert_eq!(agreed.apply(&ask("a", 1, put("2", Some(0)))), Answer::Stored { revision: 1 });
    assert_eq!(agreed.apply(&ask("a", 1, put("2", Some(0)))), Answer::Stored { revision: 1 }, "sent twice");
    let changed = Refusal::Changed { at: 1 };
    assert_eq!(refused(&agreed.apply(&ask("a", 2, put("3", Some(0))))), Some(&changed));
    assert_eq!(agreed.apply(&ask("a", 3, put("3", Some(1)))), Answer::Stored { revision: 2 });
    assert_eq!(refused(&agreed.apply(&ask("a", 9, put("4", None)))), Some(&Refusal::WrongNumber { last: 3 }));
    let delete = Request::Delete { key: "limit".into(), at: Some(2) };
    assert_eq!(agreed.apply(&ask("a", 4, delete.clone())), Answer::Deleted { revision: 3 });
    assert_eq!(refused(&agreed.apply(&ask("a", 5, delete))), Some(&Refusal::Changed { at: 0 }));
    assert_eq!(agreed.changes_since(1).unwrap().count(), 2);
    assert!(agreed.changes_since(4).is_none(), "that is still to come: the watcher knows more than this one");
    for i in 0..limits::MAX_HISTORY as u64 {
        agreed.apply(&ask("a", 6 + i, put("x", None)));
    }
    assert!(agreed.changes_since(2).is_none(), "too long ago to be told one by one");
    assert_eq!(agreed.changes_since(3).unwrap().count(), limits::MAX_HISTORY);
}

#[test]
fn what_is_over_a_bound_is_refused_with_its_name() {
    let mut agreed = ReplicatedState::default();
    let over = |answer: Answer, name: &str| match refused(&answer) {
        Some(Refusal::OverLimit { limit, .. }) => assert_eq!(limit, name),
        _ => panic!("{answer:?}"),
    };
    for name in ["", "two words", &"x".repeat(limits::MAX_NAME_BYTES + 1)] {
        assert_eq!(refused(&agreed.apply(&open(name))), Some(&Refusal::BadName));
    }
    let short = agreed.apply(&Command::Open { session: "a".into(), ttl_ms: 1 });
    assert!(matches!(refused(&short), Some(Refusal::BadTtl { least_ms: 500, .. })));
    agreed.apply(&open("a"));
    for i in 0..limits::MAX_LEASES_PER_SESSION as u64 {
        agreed.apply(&ask("a", i + 1, acquire(&format!("l{i}"), true)));
    }
    let next = limits::MAX_LEASES_PER_SESSION as u64 + 1;
    over(agreed.apply(&ask("a", next, acquire("more", true))), "leases of one session");
    let large = Request::Put { key: "k".into(), value: "x".repeat(limits::MAX_VALUE_BYTES + 1), at: None };
    over(agreed.apply(&ask("a", next + 1, large)), "bytes of a value");
    for i in 1..limits::MAX_SESSIONS {
        agreed.apply(&open(&format!("s{i}")));
    }
    over(agreed.apply(&open("one-more")), "sessions");
}

#[test]
fn a_snapshot_of_a_newer_program_or_a_damaged_one_is_refused() {
    let bytes = ReplicatedState::default().to_bytes();
    let text = String::from_utf8(bytes.clone()).unwrap();
    assert_eq!(ReplicatedState::from_bytes(&bytes), Ok(ReplicatedState::default()));
    let newer = text.replace("\"format\":3", "\"format\":4");
    let refused = ReplicatedState::from_bytes(newer.as_bytes()).unwrap_err();
    assert_eq!(refused, Unreadable::Format(4));
    let said =
        "it was written in format 4, and this program reads 1 to 3: start the newer version that wrote it";
    assert_eq!(refused.to_string(), said);
    // As the first program wrote it, without a fleet.
    let (before, behind) = text.split_once("\"fleet\":").unwrap();
    let (_, behind) = behind.split_once(",\"history\"").unwrap();
    let older = format!("{before}\"history\"{behind}").replace("\"format\":3", "\"format\":1");
    assert_eq!(ReplicatedState::from_bytes(older.as_bytes()), Ok(ReplicatedState::default()));
    for cut in 0..bytes.len() {
        assert!(matches!(ReplicatedState::from_bytes(&bytes[..cut]), Err(Unreadable::Damaged(_))), "{cut}");
    }
    let foreign = text.replace("\"fences\":0", "\"fences\":0,\"colour\":1");
    assert!(matches!(ReplicatedState::from_bytes(foreign.as_bytes()), Err(Unreadable::Damaged(_))));
}

/// As the program at c010d1e wrote it: drains under way, a dead node, a cache server that one node does not list.
#[test]
fn a_snapshot_of_format_2_goes_on_and_its_nodes_begin_with_their_whole_lists() {
    let written = include_bytes!("fixtures/format-2.json");
    let mut agreed = ReplicatedState::from_bytes(written).unwrap();
    assert!(agreed.fleet().index_is_current());
    let fleet = agreed.fleet();
    let stages: Vec<_> = fleet.drains.values().map(|d| (d.subject.id.as_str(), d.stage.name())).collect();
    assert_eq!(stages, [("a1", "returning"), ("a2", "leaving"), ("b1", "asked")]);
    assert_eq!(fleet.awaited_nodes(&fleet.drains[&4]), ["n2", "n3"]);
    let out: Vec<_> = fleet.out(Kind::Server).into_keys().collect();
    assert_eq!(out, ["a1", "a2", "b1", "b2"]);
    // Read and written it is of this format, and the same state.
    let again = agreed.to_bytes();
    assert!(again.starts_with(b"{\"format\":3,"));
    assert_eq!(ReplicatedState::from_bytes(&again).unwrap(), agreed);
    // What nodes told before is no base for a delta.
    let report = |number, servers| Request::Fleet {
        what: FleetCommand::NumberedReport {
            report: NumberedReport { number, ready: true, refused_percent: 0, servers },
        },
    };
    let delta = ReportedServers::Delta { base: 1, listed: vec![], unlisted: vec!["b2".into()] };
    let unknown = Refusal::Fleet { fleet: FleetRefusal::UnknownBase { last: 0 } };
    assert_eq!(refused(&agreed.apply(&ask("n1-a", 6, report(2, delta.clone())))), Some(&unknown));
    let line = |id: &str| Listed { id: id.into(), zone: id[..1].into(), up_since_ms: 9 };
    let whole = ReportedServers::Whole { listed: ["a1", "a2", "b1", "b2"].map(line).into() };
    let done = Answer::Fleet { answer: FleetResponse::Done };
    assert_eq!(agreed.apply(&ask("n1-a", 7, report(3, whole))), done);
    assert!(agreed.fleet().out(Kind::Server).contains_key("a3"));
    let delta = ReportedServers::Delta { base: 3, listed: vec![line("a3")], unlisted: vec!["b2".into()] };
    assert_eq!(agreed.apply(&ask("n1-a", 8, report(4, delta))), done);
    let unlisted: Vec<_> = agreed.fleet().nodes["n1"].unlisted.iter().collect();
    assert_eq!(unlisted, ["b2"]);
}

/// What clients of the version before are shown of a fleet has no field that they do not know.
#[test]
fn a_fleet_is_shown_as_the_version_before_reads_it() {
    let mut agreed = ReplicatedState::from_bytes(include_bytes!("fixtures/format-2.json")).unwrap();
    let line = Listed { id: "c1".into(), zone: "c".into(), up_since_ms: 9 };
    let servers = ReportedServers::Whole { listed: vec![line] };
    let report = NumberedReport { number: 1, ready: true, refused_percent: 0, servers };
    let what = FleetCommand::NumberedReport { report };
    agreed.apply(&ask("n1-a", 6, Request::Fleet { what }));
    let keys = |value: &serde_json::Value| value.as_object().unwrap().keys().cloned().collect::<Vec<_>>();
    let shown = serde_json::to_value(agreed.fleet().shown()).unwrap();
    let before: serde_json::Value = serde_json::from_slice(include_bytes!("fixtures/format-2.json")).unwrap();
    let before = &before["fleet"];
    assert_eq!(keys(&shown), keys(before));
    assert_eq!(keys(&shown["nodes"]["n1"]), keys(&before["nodes"]["n1"]));
    assert_eq!(keys(&shown["servers"]["c1"]), keys(&before["servers"]["a1"]));
}

fn commands() -> impl Strategy<Value = Vec<Command>> {
    let session = || prop::sample::select(vec!["a", "b", "c"]).prop_map(String::from);
    let lease = || prop::sample::select(vec!["l", "m"]).prop_map(String::from);
    let request = prop_oneof![
        (lease(), any::<bool>()).prop_map(|(lease, wait)| Request::Acquire { lease, wait }),
        lease().prop_map(|lease| Request::Release { lease }),
        (lease(), prop::option::of(0..9u64)).prop_map(|(key, at)| Request::Put {
            key,
            value: "v".into(),
            at
        }),
        (lease(), prop::option::of(0..9u64)).prop_map(|(key, at)| Request::Delete { key, at }),
    ];
    let one = prop_oneof![
        session().prop_map(|session| Command::Open { session, ttl_ms: 5000 }),
        session().prop_map(|session| Command::Renew { session }),
        (session(), 1..9u64, request).prop_map(|(session, number, request)| Command::Ask {
            session,
            number,
            request
        }),
        session().prop_map(|session| Command::Close { session }),
        (session(), 0..4u64).prop_map(|(session, renewals)| Command::Expire { session, renewals }),
        (lease(), 0..9u64).prop_map(|(lease, fence)| Command::Break { lease, fence }),
    ];
    prop::collection::vec(one, 0..60)
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, failure_persistence: None, rng_seed: proptest::test_runner::RngSeed::Fixed(7), ..ProptestConfig::default() })]

    #[test]
    fn the_same_log_makes_the_same_bytes_also_through_snapshots_and_fences_only_rise(log in commands()) {
        let (mut one, mut other) = (ReplicatedState::default(), ReplicatedState::default());
        let mut floor = 0;
        for (i, command) in log.iter().enumerate() {
            let answer = one.apply(command);
            if i % 3 == 0 {
                other = ReplicatedState::from_bytes(&other.to_bytes()).unwrap();
            }
            prop_assert_eq!(&other.apply(command), &answer);
            prop_assert_eq!(one.to_bytes(), other.to_bytes());
            prop_assert!(one.floors().others >= floor);
            floor = one.floors().others;
            // A line of the log survives the wire and the store.
            let line = serde_json::to_vec(command).unwrap();
            prop_assert_eq!(&serde_json::from_slice::<Command>(&line).unwrap(), command);
            // What was asked once and comes again changes nothing but a session's life.
            if let Command::Ask { .. } = command {
                let before = one.to_bytes();
                let again = one.apply(command);
                if !matches!(again, Answer::Refused { .. }) {
                    prop_assert_eq!(&again, &answer);
                }
                prop_assert_eq!(one.to_bytes(), before);
            }
        }
    }
}
