//! The replicated state: the same log produces the same bytes, a repeated command takes effect once, and
//! limits hold.
#![allow(missing_docs)]

use mothpier_coordination::fleet::messages::{
    FleetCommand, FleetRefusal, FleetResponse, Kind, Listed, NumberedReport, ReportedServers,
};
use mothpier_coordination::{Answer, Change, Command, Refusal, ReplicatedState, Request, Unreadable, limits};
use proptest::prelude::*;

fn open(session: &str) -> Command {
    Command::Open { session: session.into(), ttl_ms: 5000 }
}

fn session_request(session: &str, number: u64, request: Request) -> Command {
    Command::Ask { session: session.into(), number, request }
}

fn acquire(lease: &str, wait: bool) -> Request {
    Request::Acquire { lease: lease.into(), wait }
}

fn refused(answer: &Answer) -> Option<&Refusal> {
    if let Answer::Refused { why } = answer { Some(why) } else { None }
}

#[test]
fn a_lease_is_granted_in_request_order_under_rising_fences() {
    let mut state = ReplicatedState::default();
    for session in ["a", "b", "c"] {
        assert_eq!(state.apply(&open(session)), Answer::Opened);
    }
    assert_eq!(state.apply(&session_request("a", 1, acquire("roll", true))), Answer::Granted { fence: 1 });
    assert_eq!(state.apply(&session_request("b", 1, acquire("roll", true))), Answer::Waiting { ahead: 1 });
    assert_eq!(state.apply(&session_request("c", 1, acquire("roll", true))), Answer::Waiting { ahead: 2 });
    assert_eq!(
        state.apply(&session_request("b", 1, acquire("roll", true))),
        Answer::Waiting { ahead: 1 },
        "a repeated request"
    );
    let by = Refusal::Held { by: "a".into() };
    assert_eq!(refused(&state.apply(&session_request("a", 2, acquire("watch", false)))), None);
    assert_eq!(refused(&state.apply(&session_request("c", 2, acquire("watch", false)))), Some(&by));
    // A session that ends releases everything, and the next waiting session gets the lease at once.
    assert_eq!(state.apply(&Command::Expire { session: "a".into(), renewals: 0 }), Answer::Closed);
    assert_eq!(state.leases()["roll"].holder, "b");
    assert_eq!(state.leases()["roll"].fence, 3);
    assert!(!state.leases().contains_key("watch"));
    assert_eq!(
        state.apply(&session_request("b", 2, Request::Release { lease: "roll".into() })),
        Answer::Released
    );
    assert_eq!(state.leases()["roll"].holder, "c");
    assert_eq!(state.floors().others, 5);
    let changes: Vec<_> = state.changes_since(0).unwrap().map(|(_, c)| c.clone()).collect();
    let granted =
        |fence, session: &str| Change::Granted { lease: "roll".into(), session: session.into(), fence };
    assert!(
        changes.contains(&granted(1, "a"))
            && changes.contains(&granted(3, "b"))
            && changes.ends_with(&[granted(4, "c")])
    );
}

#[test]
fn a_renewal_committed_before_the_expiry_wins_and_a_later_one_is_refused() {
    let mut state = ReplicatedState::default();
    state.apply(&open("a"));
    let expire = Command::Expire { session: "a".into(), renewals: 0 };
    assert_eq!(state.apply(&Command::Renew { session: "a".into() }), Answer::Renewed);
    assert_eq!(refused(&state.apply(&expire)), Some(&Refusal::Renewed));
    // Opening again counts as a renewal, because the client counts its TTL from the second request.
    assert_eq!(state.apply(&open("a")), Answer::Opened);
    let expire = |renewals| Command::Expire { session: "a".into(), renewals };
    assert_eq!(refused(&state.apply(&expire(1))), Some(&Refusal::Renewed));
    assert_eq!(state.apply(&expire(2)), Answer::Closed);
    assert_eq!(refused(&state.apply(&Command::Renew { session: "a".into() })), Some(&Refusal::NoSession));
    assert_eq!(
        refused(&state.apply(&open("a"))),
        Some(&Refusal::SessionOver),
        "a delayed duplicate opens nothing"
    );
}

#[test]
fn a_broken_lease_ends_when_its_holders_session_expires_and_not_before() {
    let mut state = ReplicatedState::default();
    ["a", "b"].iter().for_each(|s| drop(state.apply(&open(s))));
    state.apply(&session_request("a", 1, acquire("roll", true)));
    state.apply(&session_request("b", 1, acquire("roll", true)));
    let break_lease = |fence| Command::Break { lease: "roll".into(), fence };
    assert_eq!(refused(&state.apply(&break_lease(9))), Some(&Refusal::NotHeld), "a different grant");
    assert_eq!(state.apply(&break_lease(1)), Answer::Broken);
    assert_eq!(state.leases()["roll"].holder, "a", "it may still act");
    for command in [Command::Renew { session: "a".into() }, open("a")] {
        assert_eq!(refused(&state.apply(&command)), Some(&Refusal::BrokenByStaff));
    }
    state.apply(&Command::Expire { session: "a".into(), renewals: 0 });
    assert_eq!(state.leases()["roll"].holder, "b");
}

#[test]
fn values_are_changed_conditionally_and_watchers_see_every_change_or_a_gap() {
    let mut state = ReplicatedState::default();
    state.apply(&open("a"));
    let put = |value: &str, at| Request::Put { key: "limit".into(), value: value.into(), at };
    assert_eq!(state.apply(&session_request("a", 1, put("2", Some(0)))), Answer::Stored { revision: 1 });
    assert_eq!(
        state.apply(&session_request("a", 1, put("2", Some(0)))),
        Answer::Stored { revision: 1 },
        "a repeated request"
    );
    let changed = Refusal::Changed { at: 1 };
    assert_eq!(refused(&state.apply(&session_request("a", 2, put("3", Some(0))))), Some(&changed));
    assert_eq!(state.apply(&session_request("a", 3, put("3", Some(1)))), Answer::Stored { revision: 2 });
    assert_eq!(
        refused(&state.apply(&session_request("a", 9, put("4", None)))),
        Some(&Refusal::WrongNumber { last: 3 })
    );
    let delete = Request::Delete { key: "limit".into(), at: Some(2) };
    assert_eq!(state.apply(&session_request("a", 4, delete.clone())), Answer::Deleted { revision: 3 });
    assert_eq!(refused(&state.apply(&session_request("a", 5, delete))), Some(&Refusal::Changed { at: 0 }));
    assert_eq!(state.changes_since(1).unwrap().count(), 2);
    assert!(state.changes_since(4).is_none(), "a future revision");
    for i in 0..limits::MAX_HISTORY as u64 {
        state.apply(&session_request("a", 6 + i, put("x", None)));
    }
    assert!(state.changes_since(2).is_none(), "no longer in the history");
    assert_eq!(state.changes_since(3).unwrap().count(), limits::MAX_HISTORY);
}

#[test]
fn a_command_over_a_limit_is_refused_with_the_name_of_the_limit() {
    let mut state = ReplicatedState::default();
    let over = |answer: Answer, name: &str| match refused(&answer) {
        Some(Refusal::OverLimit { limit, .. }) => assert_eq!(limit, name),
        _ => panic!("{answer:?}"),
    };
    for name in ["", "two words", &"x".repeat(limits::MAX_NAME_BYTES + 1)] {
        assert_eq!(refused(&state.apply(&open(name))), Some(&Refusal::BadName));
    }
    let short = state.apply(&Command::Open { session: "a".into(), ttl_ms: 1 });
    assert!(matches!(refused(&short), Some(Refusal::BadTtl { least_ms: 500, .. })));
    state.apply(&open("a"));
    for i in 0..limits::MAX_LEASES_PER_SESSION as u64 {
        state.apply(&session_request("a", i + 1, acquire(&format!("l{i}"), true)));
    }
    let next = limits::MAX_LEASES_PER_SESSION as u64 + 1;
    over(state.apply(&session_request("a", next, acquire("more", true))), "leases of one session");
    let large = Request::Put { key: "k".into(), value: "x".repeat(limits::MAX_VALUE_BYTES + 1), at: None };
    over(state.apply(&session_request("a", next + 1, large)), "bytes of a value");
    for i in 1..limits::MAX_SESSIONS {
        state.apply(&open(&format!("s{i}")));
    }
    over(state.apply(&open("one-more")), "sessions");
}

#[test]
fn a_newer_or_damaged_snapshot_is_refused() {
    let bytes = ReplicatedState::default().to_bytes();
    let text = String::from_utf8(bytes.clone()).unwrap();
    assert_eq!(ReplicatedState::from_bytes(&bytes), Ok(ReplicatedState::default()));
    let newer = text.replace("\"format\":3", "\"format\":4");
    let refused = ReplicatedState::from_bytes(newer.as_bytes()).unwrap_err();
    assert_eq!(refused, Unreadable::Format(4));
    let expected =
        "it was written in format 4, and this program reads 1 to 3: start the newer version that wrote it";
    assert_eq!(refused.to_string(), expected);
    // A format 1 snapshot, which has no fleet.
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

/// The fixture was written by version c010d1e: drains in progress, a dead node, and a cache server that one
/// node does not list.
#[test]
fn a_format_2_snapshot_is_loaded_and_its_nodes_start_with_whole_lists() {
    let written = include_bytes!("fixtures/format-2.json");
    let mut state = ReplicatedState::from_bytes(written).unwrap();
    assert!(state.fleet().index_is_current());
    let fleet = state.fleet();
    let stages: Vec<_> = fleet.drains.values().map(|d| (d.subject.id.as_str(), d.stage.name())).collect();
    assert_eq!(stages, [("a1", "returning"), ("a2", "leaving"), ("b1", "asked")]);
    assert_eq!(fleet.awaited_nodes(&fleet.drains[&4]), ["n2", "n3"]);
    let out: Vec<_> = fleet.out(Kind::Server).into_keys().collect();
    assert_eq!(out, ["a1", "a2", "b1", "b2"]);
    // Loading and writing converts it to the current format without changing the state.
    let again = state.to_bytes();
    assert!(again.starts_with(b"{\"format\":3,"));
    assert_eq!(ReplicatedState::from_bytes(&again).unwrap(), state);
    // Reports without a number are no base for a delta.
    let report = |number, servers| Request::Fleet {
        what: FleetCommand::NumberedReport {
            report: NumberedReport { number, ready: true, refused_percent: 0, servers },
        },
    };
    let delta = ReportedServers::Delta { base: 1, listed: vec![], unlisted: vec!["b2".into()] };
    let unknown = Refusal::Fleet { fleet: FleetRefusal::UnknownBase { last: 0 } };
    assert_eq!(refused(&state.apply(&session_request("n1-a", 6, report(2, delta.clone())))), Some(&unknown));
    let line = |id: &str| Listed { id: id.into(), zone: id[..1].into(), up_since_ms: 9 };
    let whole = ReportedServers::Whole { listed: ["a1", "a2", "b1", "b2"].map(line).into() };
    let done = Answer::Fleet { answer: FleetResponse::Done };
    assert_eq!(state.apply(&session_request("n1-a", 7, report(3, whole))), done);
    assert!(state.fleet().out(Kind::Server).contains_key("a3"));
    let delta = ReportedServers::Delta { base: 3, listed: vec![line("a3")], unlisted: vec!["b2".into()] };
    assert_eq!(state.apply(&session_request("n1-a", 8, report(4, delta))), done);
    let unlisted: Vec<_> = state.fleet().nodes["n1"].unlisted.iter().collect();
    assert_eq!(unlisted, ["b2"]);
}

/// Clients of the previous version reject unknown fields, so the shown fleet must not contain new ones.
#[test]
fn a_fleet_is_shown_without_fields_that_the_previous_version_rejects() {
    let mut state = ReplicatedState::from_bytes(include_bytes!("fixtures/format-2.json")).unwrap();
    let line = Listed { id: "c1".into(), zone: "c".into(), up_since_ms: 9 };
    let servers = ReportedServers::Whole { listed: vec![line] };
    let report = NumberedReport { number: 1, ready: true, refused_percent: 0, servers };
    let what = FleetCommand::NumberedReport { report };
    state.apply(&session_request("n1-a", 6, Request::Fleet { what }));
    let keys = |value: &serde_json::Value| value.as_object().unwrap().keys().cloned().collect::<Vec<_>>();
    let shown = serde_json::to_value(state.fleet().shown()).unwrap();
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
    let command = prop_oneof![
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
    prop::collection::vec(command, 0..60)
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, failure_persistence: None, rng_seed: proptest::test_runner::RngSeed::Fixed(7), ..ProptestConfig::default() })]

    #[test]
    fn the_same_log_produces_the_same_bytes_through_snapshots_and_fences_only_rise(log in commands()) {
        let (mut first, mut second) = (ReplicatedState::default(), ReplicatedState::default());
        let mut last_floor = 0;
        for (i, command) in log.iter().enumerate() {
            let answer = first.apply(command);
            if i % 3 == 0 {
                second = ReplicatedState::from_bytes(&second.to_bytes()).unwrap();
            }
            prop_assert_eq!(&second.apply(command), &answer);
            prop_assert_eq!(first.to_bytes(), second.to_bytes());
            prop_assert!(first.floors().others >= last_floor);
            last_floor = first.floors().others;
            // A command survives serialization.
            let line = serde_json::to_vec(command).unwrap();
            prop_assert_eq!(&serde_json::from_slice::<Command>(&line).unwrap(), command);
            // A repeated request changes nothing.
            if let Command::Ask { .. } = command {
                let before = first.to_bytes();
                let again = first.apply(command);
                if !matches!(again, Answer::Refused { .. }) {
                    prop_assert_eq!(&again, &answer);
                }
                prop_assert_eq!(first.to_bytes(), before);
            }
        }
    }
}
