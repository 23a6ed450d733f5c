//! The drain rules, command by command.

use mothpier_coordination::fleet::Fleet;
use mothpier_coordination::fleet::limits::{Bound, Limits};
use mothpier_coordination::fleet::messages::{
    AuditNote, FleetCommand, FleetRefusal, FleetResponse, Kind, Listed, Report, Stage, Subject, Then,
};
use mothpier_coordination::fleet::timers::Timer;

type FleetResult = Result<FleetResponse, FleetRefusal>;

fn note(why: &str) -> AuditNote {
    AuditNote { by: "duty".into(), reason: why.into(), at_ms: 7 }
}

fn execute(fleet: &mut Fleet, session: &str, command: FleetCommand) -> FleetResult {
    fleet.apply(session, &command, &mut Vec::new())
}

fn start_drain(fleet: &mut Fleet, subject: Subject, wait: bool, force: bool) -> FleetResult {
    let drain = FleetCommand::Drain { subject, note: note("w"), for_ms: None, then: Then::Stay, wait, force };
    execute(fleet, "staff", drain)
}

fn end_drain(fleet: &mut Fleet, subject: Subject) -> FleetResult {
    execute(fleet, "staff", FleetCommand::Back { subject, note: note("b") })
}

fn list_of(ids: &[&str]) -> Vec<Listed> {
    ids.iter().map(|id| Listed { id: (*id).into(), zone: zone(id), up_since_ms: 5 }).collect()
}

/// Returns the letters before the number: `a1` is in zone `a`.
fn zone(id: &str) -> String {
    id.chars().take_while(|c| c.is_alphabetic()).collect()
}

fn report_as(fleet: &mut Fleet, node: &str, ready: bool, servers: Option<&[&str]>) {
    let report = Report { ready, refused_percent: 0, servers: servers.map(list_of) };
    assert_eq!(execute(fleet, node, FleetCommand::Report { report }), Ok(FleetResponse::Done));
}

const SERVERS: [&str; 6] = ["a1", "a2", "a3", "b1", "b2", "b3"];

/// Creates a fleet of three ready nodes, each with its own session, and six cache servers in two zones.
fn fleet(nodes: u32, servers: u32) -> Fleet {
    let mut fleet = Fleet::default();
    for node in ["n1", "n2", "n3"] {
        execute(&mut fleet, node, FleetCommand::Join { node: node.into(), zone: "z".into() }).unwrap();
        report_as(&mut fleet, node, true, Some(&SERVERS));
    }
    let bound = |out_most| Bound { out_most, ..Limits::default().nodes };
    let limits = Limits { nodes: bound(nodes), servers: bound(servers), ..Limits::default() };
    execute(&mut fleet, "staff", FleetCommand::Limits { limits, note: note("l") }).unwrap();
    fleet
}

fn limits(fleet: &mut Fleet, change: impl FnOnce(&mut Limits)) {
    let mut limits = fleet.limits.clone();
    change(&mut limits);
    execute(fleet, "staff", FleetCommand::Limits { limits, note: note("l") }).unwrap();
}

fn stage(fleet: &Fleet, subject: &Subject) -> Option<Stage> {
    fleet.drain_of(subject).map(|(_, d)| d.stage)
}

fn confirm(fleet: &mut Fleet, nodes: &[&str], subject: &Subject) {
    let (drain, turn) = fleet.drain_of(subject).map(|(n, d)| (n, d.turn)).unwrap();
    for node in nodes {
        execute(fleet, node, FleetCommand::Confirm { drain, turn }).unwrap();
    }
}

fn fire_timer(fleet: &mut Fleet, wanted: impl Fn(&Timer) -> bool) {
    let timer = fleet.timers().into_keys().find(wanted).expect("a timer");
    fleet.timer_fired(&timer, &mut Vec::new());
}

fn blocked(answer: FleetResult) -> String {
    match answer {
        Err(FleetRefusal::Limit { blocked }) => blocked.to_string(),
        other => panic!("{other:?}"),
    }
}

const ALL_NODES: [&str; 3] = ["n1", "n2", "n3"];

#[test]
fn a_cache_server_is_out_once_every_node_has_confirmed_and_returns_cold() {
    let (mut fleet, a1) = (fleet(1, 1), Subject::server("a1"));
    let answer = start_drain(&mut fleet, a1.clone(), false, false);
    assert!(matches!(answer, Ok(FleetResponse::Drain { stage: Stage::Leaving, .. })), "{answer:?}");
    confirm(&mut fleet, &["n1", "n2"], &a1);
    let (_, drain) = fleet.drain_of(&a1).unwrap();
    assert_eq!((drain.stage, fleet.awaited_nodes(drain)), (Stage::Leaving, vec!["n3".into()]));
    confirm(&mut fleet, &["n3"], &a1);
    assert_eq!(stage(&fleet, &a1), Some(Stage::Out));
    assert_eq!(
        blocked(start_drain(&mut fleet, Subject::server("b1"), false, false)),
        "servers.out_most is 1; not in service: a1 (drain 1, out)"
    );
    end_drain(&mut fleet, a1.clone()).unwrap();
    assert_eq!(stage(&fleet, &a1), Some(Stage::Returning));
    confirm(&mut fleet, &ALL_NODES, &a1);
    assert_eq!(stage(&fleet, &a1), Some(Stage::Cold));
    assert!(blocked(start_drain(&mut fleet, Subject::server("b1"), false, false)).contains("cold"));
    assert_eq!(fleet.timers().into_values().collect::<Vec<_>>(), [60_000]);
    fire_timer(&mut fleet, |t| matches!(t, Timer::Cold { .. }));
    assert_eq!(stage(&fleet, &a1), None);
    start_drain(&mut fleet, Subject::server("b1"), false, false).unwrap();
    let what: Vec<&str> = fleet.events.iter().map(|e| e.what.as_str()).collect();
    let expected = ["granted", "out", "back asked", "returning", "cold", "back"];
    assert!(expected.iter().all(|e| what.contains(e)), "{what:?}");
}

#[test]
fn concurrent_drains_are_granted_up_to_the_limit_and_the_rest_in_order() {
    let mut fleet = fleet(1, 2);
    let mut granted = 0;
    for i in 0..20 {
        let id = SERVERS[i % SERVERS.len()];
        let _ = start_drain(&mut fleet, Subject::server(id), true, false);
    }
    let asked: Vec<_> = fleet.drains.values().map(|d| (d.subject.id.clone(), d.stage)).collect();
    granted += asked.iter().filter(|(_, s)| *s == Stage::Leaving).count();
    assert_eq!((granted, asked.len()), (2, 6), "{asked:?}");
    // Cancel a waiting drain, and let the return of a leaving one make room for the next in the queue.
    end_drain(&mut fleet, Subject::server("a3")).unwrap();
    assert_eq!(stage(&fleet, &Subject::server("a3")), None);
    let a1 = Subject::server("a1");
    end_drain(&mut fleet, a1.clone()).unwrap();
    confirm(&mut fleet, &ALL_NODES, &a1);
    assert_eq!(
        stage(&fleet, &Subject::server("b1")),
        Some(Stage::Leaving),
        "no node had stopped using {a1}, so it is still warm"
    );
}

#[test]
fn missing_and_unready_subjects_count_against_the_limit() {
    let mut fleet = fleet(2, 1);
    fleet.session_ended("n2", &mut Vec::new());
    report_as(&mut fleet, "n3", false, None);
    let message = blocked(start_drain(&mut fleet, Subject::node("n1"), false, false));
    assert_eq!(message, "nodes.out_most is 2; not in service: n2 (missing), n3 (not ready)");
    // The drain of a missing node needs room too, because the node stays out when it comes back.
    limits(&mut fleet, |l| l.nodes.out_most = 1);
    assert!(blocked(start_drain(&mut fleet, Subject::node("n2"), false, false)).contains("n3 (not ready)"));
    report_as(&mut fleet, "n3", true, None);
    start_drain(&mut fleet, Subject::node("n2"), false, false).unwrap();
    // A cache server is missing if at least half of the live nodes do not list it, but not if one of three
    // does not.
    report_as(&mut fleet, "n1", true, Some(&SERVERS[1..]));
    assert!(!fleet.out(Kind::Server).is_empty(), "one of the two live nodes does not list it");
    execute(&mut fleet, "n2-again", FleetCommand::Join { node: "n2".into(), zone: "z".into() }).unwrap();
    report_as(&mut fleet, "n2-again", false, Some(&SERVERS));
    assert!(fleet.out(Kind::Server).is_empty(), "one of three nodes does not list it");
    report_as(&mut fleet, "n3", true, Some(&SERVERS[1..]));
    assert_eq!(fleet.out(Kind::Server)["a1"], "missing");
    assert!(blocked(start_drain(&mut fleet, Subject::server("b1"), false, false)).contains("a1 (missing)"));
}

#[test]
fn each_limit_blocks_a_drain_and_is_named_in_the_refusal() {
    let mut fleet = fleet(1, 6);
    limits(&mut fleet, |l| l.servers.out_percent = Some(34));
    start_drain(&mut fleet, Subject::server("a1"), false, false).unwrap();
    start_drain(&mut fleet, Subject::server("b1"), false, false).unwrap();
    assert!(
        blocked(start_drain(&mut fleet, Subject::server("b2"), false, false))
            .starts_with("servers.out_percent is 34")
    );
    limits(&mut fleet, |l| (l.servers.out_percent, l.servers.zone_out_most) = (None, Some(1)));
    let message = blocked(start_drain(&mut fleet, Subject::server("b2"), false, false));
    assert!(message.starts_with("servers.zone_out_most is 1") && !message.contains("a1"), "{message}");
    limits(&mut fleet, |l| (l.servers.zone_out_most, l.servers.zone_ready_fewest) = (None, 2));
    assert!(
        blocked(start_drain(&mut fleet, Subject::server("b2"), false, false))
            .starts_with("servers.zone_ready_fewest")
    );
    limits(&mut fleet, |l| (l.servers.zone_ready_fewest, l.servers.ready_fewest) = (0, 4));
    assert!(
        blocked(start_drain(&mut fleet, Subject::server("b2"), false, false))
            .starts_with("servers.ready_fewest is 4")
    );
    // After lowering a limit below what is out, nothing more is granted and nothing is returned.
    limits(&mut fleet, |l| (l.servers.ready_fewest, l.servers.out_most) = (1, 1));
    assert!(
        blocked(start_drain(&mut fleet, Subject::server("b2"), false, false))
            .starts_with("servers.out_most is 1")
    );
    assert_eq!(fleet.drains.len(), 2);
    // A forced drain is granted, and the event says that it exceeds the limits.
    start_drain(&mut fleet, Subject::server("b2"), false, true).unwrap();
    assert_eq!(stage(&fleet, &Subject::server("b2")), Some(Stage::Leaving));
    assert!(fleet.events.iter().any(|e| e.what == "granted past the limits"));
}

#[test]
fn a_silent_node_holds_up_a_drain_until_it_confirms_or_is_forgotten() {
    let (mut fleet, a1) = (fleet(1, 1), Subject::server("a1"));
    fleet.session_ended("n3", &mut Vec::new());
    start_drain(&mut fleet, a1.clone(), false, false).unwrap();
    confirm(&mut fleet, &["n1", "n2"], &a1);
    let (_, drain) = fleet.drain_of(&a1).unwrap();
    assert_eq!(fleet.awaited_nodes(drain), ["n3"]);
    let forget = |node: &str| FleetCommand::Forget { subject: Subject::node(node), note: note("burnt") };
    assert_eq!(execute(&mut fleet, "staff", forget("n1")), Err(FleetRefusal::Lives));
    execute(&mut fleet, "staff", forget("n3")).unwrap();
    assert_eq!(stage(&fleet, &a1), Some(Stage::Out));
    // A process that takes over the node's name can confirm instead.
    let (mut fleet, mut successor) = (self::fleet(1, 1), String::new());
    start_drain(&mut fleet, a1.clone(), false, false).unwrap();
    confirm(&mut fleet, &ALL_NODES[..2], &a1);
    for life in 0..2 {
        successor = format!("n3-{life}");
        execute(&mut fleet, &successor, FleetCommand::Join { node: "n3".into(), zone: "z".into() }).unwrap();
    }
    let (drain, turn) = fleet.drain_of(&a1).map(|(n, d)| (n, d.turn)).unwrap();
    let confirm = FleetCommand::Confirm { drain, turn };
    assert_eq!(
        execute(&mut fleet, "n3", confirm.clone()),
        Err(FleetRefusal::NoNode),
        "another process has taken the name"
    );
    assert_eq!(stage(&fleet, &a1), Some(Stage::Leaving));
    execute(&mut fleet, &successor, confirm).unwrap();
    assert_eq!(stage(&fleet, &a1), Some(Stage::Out));
}

#[test]
fn a_confirmation_of_an_earlier_stage_does_not_count() {
    let (mut fleet, a1) = (fleet(1, 1), Subject::server("a1"));
    start_drain(&mut fleet, a1.clone(), false, false).unwrap();
    let (drain, turn) = fleet.drain_of(&a1).map(|(n, d)| (n, d.turn)).unwrap();
    confirm(&mut fleet, &["n1"], &a1);
    assert!(matches!(start_drain(&mut fleet, a1.clone(), false, false), Err(FleetRefusal::Already { .. })));
    end_drain(&mut fleet, a1.clone()).unwrap();
    end_drain(&mut fleet, a1.clone()).unwrap();
    assert_eq!(stage(&fleet, &a1), Some(Stage::Returning));
    // Draining again during the return is granted at once, and all nodes have to confirm again.
    start_drain(&mut fleet, a1.clone(), false, false).unwrap();
    for node in ALL_NODES {
        execute(&mut fleet, node, FleetCommand::Confirm { drain, turn }).unwrap();
    }
    assert_eq!(stage(&fleet, &a1), Some(Stage::Leaving));
    confirm(&mut fleet, &ALL_NODES, &a1);
    assert_eq!(stage(&fleet, &a1), Some(Stage::Out));
    let unknown = Subject::server("zz");
    assert_eq!(
        start_drain(&mut fleet, unknown.clone(), true, true),
        Err(FleetRefusal::Unknown { subject: unknown.clone() })
    );
    assert_eq!(end_drain(&mut fleet, Subject::server("b1")), Err(FleetRefusal::NotOut));
    assert_eq!(end_drain(&mut fleet, unknown.clone()), Err(FleetRefusal::Unknown { subject: unknown }));
}

#[test]
fn a_node_is_out_once_it_has_drained_itself_and_back_once_it_serves() {
    let (mut fleet, n2) = (fleet(1, 1), Subject::node("n2"));
    start_drain(&mut fleet, n2.clone(), false, false).unwrap();
    confirm(&mut fleet, &["n1", "n3"], &n2);
    assert_eq!(stage(&fleet, &n2), Some(Stage::Leaving), "only the node itself can confirm");
    confirm(&mut fleet, &["n2"], &n2);
    assert_eq!(stage(&fleet, &n2), Some(Stage::Out));
    // A node that crashes while out and becomes ready again is still drained and counts as out.
    fleet.session_ended("n2", &mut Vec::new());
    execute(&mut fleet, "n2-b", FleetCommand::Join { node: "n2".into(), zone: "z".into() }).unwrap();
    report_as(&mut fleet, "n2-b", true, Some(&SERVERS));
    assert!(blocked(start_drain(&mut fleet, Subject::node("n1"), false, false)).contains("n2 (drain"));
    end_drain(&mut fleet, n2.clone()).unwrap();
    report_as(&mut fleet, "n2-b", false, None);
    confirm(&mut fleet, &["n2-b"], &n2);
    assert_eq!(stage(&fleet, &n2), Some(Stage::Returning), "not ready yet");
    report_as(&mut fleet, "n2-b", true, None);
    assert_eq!(stage(&fleet, &n2), None);
}

#[test]
fn a_halt_cancels_waiting_drains_and_returns_leaving_ones_latest_first() {
    let mut fleet = fleet(3, 3);
    let of = |id: &str| Subject::server(id);
    for id in ["a1", "a2", "b1", "b2"] {
        start_drain(&mut fleet, of(id), true, false).unwrap();
    }
    confirm(&mut fleet, &ALL_NODES, &of("a1"));
    confirm(&mut fleet, &["n1"], &of("a2"));
    confirm(&mut fleet, &["n1"], &of("b1"));
    // More cache servers are missing than the limits allow.
    report_as(&mut fleet, "n1", true, Some(&["a1", "a2"]));
    report_as(&mut fleet, "n2", true, Some(&["a1", "a2"]));
    assert_eq!(fleet.halt, None, "a3, b2 and b3 are missing, which the limit allows");
    limits(&mut fleet, |l| l.servers.out_most = 2);
    let halt = fleet.halt.clone().expect("a halt");
    assert!(halt.by_itself && halt.note.reason.contains("cache servers are missing"), "{halt:?}");
    assert_eq!(stage(&fleet, &of("b2")), None, "cancelled");
    assert_eq!(
        stage(&fleet, &of("b1")),
        Some(Stage::Returning),
        "latest first, and one cold server at a time"
    );
    assert_eq!(stage(&fleet, &of("a2")), Some(Stage::Leaving));
    assert_eq!(stage(&fleet, &of("a1")), Some(Stage::Out), "what is out stays out");
    assert!(matches!(start_drain(&mut fleet, of("a3"), true, false), Err(FleetRefusal::Halted { .. })));
    confirm(&mut fleet, &ALL_NODES, &of("b1"));
    fire_timer(&mut fleet, |t| matches!(t, Timer::Cold { .. }));
    assert_eq!(stage(&fleet, &of("a2")), Some(Stage::Returning));
    // The calm timer ends the halt once its cause is gone; without that timer an operator has to end it.
    limits(&mut fleet, |l| l.calm_ms = Some(1000));
    let calm = |fleet: &Fleet| fleet.timers().keys().any(|t| matches!(t, Timer::Calm { .. }));
    assert!(!calm(&fleet), "the cause is still present");
    report_as(&mut fleet, "n1", true, Some(&SERVERS));
    report_as(&mut fleet, "n2", true, Some(&SERVERS));
    assert!(calm(&fleet));
    fire_timer(&mut fleet, |t| matches!(t, Timer::Calm { .. }));
    assert_eq!(fleet.halt, None);
    let resume = FleetCommand::Resume { note: note("r") };
    assert_eq!(execute(&mut fleet, "staff", resume.clone()), Err(FleetRefusal::NotHalted));
    execute(&mut fleet, "staff", FleetCommand::Halt { note: note("storm") }).unwrap();
    assert!(!calm(&fleet), "only an operator ends an operator's halt");
    execute(&mut fleet, "staff", resume.clone()).unwrap();
    assert_eq!(fleet.halt, None);
    // An operator's halt of a fleet that has halted automatically is not ended by the calm timer.
    start_drain(&mut fleet, of("b3"), true, false).unwrap();
    report_as(&mut fleet, "n1", true, Some(&["a1"]));
    report_as(&mut fleet, "n2", true, Some(&["a1"]));
    assert!(fleet.halt.as_ref().is_some_and(|h| h.by_itself));
    execute(&mut fleet, "staff", FleetCommand::Halt { note: note("look first") }).unwrap();
    report_as(&mut fleet, "n1", true, Some(&SERVERS));
    report_as(&mut fleet, "n2", true, Some(&SERVERS));
    assert!(!calm(&fleet) && fleet.halt.as_ref().is_some_and(|h| h.note.reason == "look first"));
    execute(&mut fleet, "staff", resume).unwrap();
}

#[test]
fn a_fleet_that_refuses_too_many_requests_halts_during_a_drain() {
    let mut fleet = fleet(1, 2);
    limits(&mut fleet, |l| l.refused_percent = Some(10));
    let report = |percent| FleetCommand::Report {
        report: Report { ready: true, refused_percent: percent, servers: None },
    };
    execute(&mut fleet, "n1", report(60)).unwrap();
    assert_eq!(fleet.halt, None, "no drain is in progress");
    let _ = start_drain(&mut fleet, Subject::server("a1"), true, false);
    assert!(fleet.halt.as_ref().is_some_and(|h| h.note.reason.contains("20 percent")), "{:?}", fleet.halt);
    assert_eq!(fleet.drains.len(), 0);
}

#[test]
fn an_overdue_drain_stays_or_returns_and_a_restarted_server_is_cold() {
    let mut fleet = fleet(1, 3);
    let mut drain = |id: &str, then| {
        let subject = Subject::server(id);
        let asked = FleetCommand::Drain {
            subject,
            note: note("w"),
            for_ms: Some(900),
            then,
            wait: false,
            force: false,
        };
        execute(&mut fleet, "staff", asked).unwrap();
    };
    drain("a1", Then::Stay);
    drain("a2", Then::Back);
    let ends: Vec<Timer> = fleet.timers().into_keys().collect();
    ends.iter().for_each(|end| fleet.timer_fired(end, &mut Vec::new()));
    ends.iter().for_each(|end| fleet.timer_fired(end, &mut Vec::new()));
    assert!(fleet.drain_of(&Subject::server("a1")).is_some_and(|(_, d)| d.overdue));
    assert_eq!(stage(&fleet, &Subject::server("a2")), Some(Stage::Returning));
    // A cache server that restarts without a drain counts as cold during its warm-up.
    let mut list = list_of(&SERVERS);
    list[4].up_since_ms = 77;
    let report = Report { ready: true, refused_percent: 0, servers: Some(list) };
    execute(&mut fleet, "n1", FleetCommand::Report { report: report.clone() }).unwrap();
    execute(&mut fleet, "n2", FleetCommand::Report { report }).unwrap();
    assert_eq!(fleet.out(Kind::Server)["b2"], "cold");
    fire_timer(&mut fleet, |t| matches!(t, Timer::Start { .. }));
    assert!(!fleet.out(Kind::Server).contains_key("b2"));
}

#[test]
fn an_invalid_command_is_refused_with_a_reason_and_changes_nothing() {
    let mut fleet = fleet(1, 1);
    let before = fleet.clone();
    let none = AuditNote { by: String::new(), ..note("x") };
    let long = note(&"x".repeat(501));
    let mut limits = Limits::default();
    limits.nodes.out_percent = Some(101);
    let node = |name: &str| FleetCommand::Join { node: name.into(), zone: "z".into() };
    for (session, what, reason) in [
        ("staff", FleetCommand::Halt { note: none }, "has to be named"),
        ("staff", FleetCommand::Halt { note: note(" ") }, "a reason has to be given"),
        ("staff", FleetCommand::Halt { note: long }, "at most 500"),
        ("staff", FleetCommand::Limits { limits, note: note("l") }, "nodes.out_percent: 101"),
        ("staff", FleetCommand::Confirm { drain: 1, turn: 1 }, "belongs to no node"),
        ("x", node("n 1"), "take letters"),
        ("n1", node("n9"), "another node's"),
    ] {
        let refused = execute(&mut fleet, session, what).unwrap_err().to_string();
        assert!(refused.contains(reason), "{refused}");
    }
    let too_long = FleetCommand::Drain {
        subject: Subject::server("a1"),
        note: note("w"),
        for_ms: Some(u64::MAX),
        then: Then::Back,
        wait: false,
        force: true,
    };
    assert!(execute(&mut fleet, "staff", too_long).unwrap_err().to_string().contains("thirty days"));
    assert_eq!(fleet, before);
    let many: Vec<Listed> =
        (0..3000).map(|i| Listed { id: format!("s{i}"), zone: String::new(), up_since_ms: 0 }).collect();
    let report = Report { ready: true, refused_percent: 0, servers: Some(many) };
    assert!(execute(&mut fleet, "n1", FleetCommand::Report { report }).is_err());
    assert_eq!(fleet, before);
}
