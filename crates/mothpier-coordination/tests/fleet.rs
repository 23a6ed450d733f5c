//! The rule on drains, command by command.

use mothpier_coordination::fleet::Fleet;
use mothpier_coordination::fleet::limits::{Bound, Limits};
use mothpier_coordination::fleet::messages::{
    AuditNote, FleetCommand, FleetRefusal, FleetResponse, Kind, Listed, Report, Stage, Subject, Then,
};
use mothpier_coordination::fleet::timers::Timer;

type Answered = Result<FleetResponse, FleetRefusal>;

fn note(why: &str) -> AuditNote {
    AuditNote { by: "duty".into(), reason: why.into(), at_ms: 7 }
}

fn ask(fleet: &mut Fleet, session: &str, ask: FleetCommand) -> Answered {
    fleet.apply(session, &ask, &mut Vec::new())
}

fn out(fleet: &mut Fleet, subject: Subject, wait: bool, force: bool) -> Answered {
    let drain = FleetCommand::Drain { subject, note: note("w"), for_ms: None, then: Then::Stay, wait, force };
    ask(fleet, "staff", drain)
}

fn back(fleet: &mut Fleet, subject: Subject) -> Answered {
    ask(fleet, "staff", FleetCommand::Back { subject, note: note("b") })
}

fn listed(ids: &[&str]) -> Vec<Listed> {
    ids.iter().map(|id| Listed { id: (*id).into(), zone: zone(id), up_since_ms: 5 }).collect()
}

/// The letter before the number: `a1` lies in zone `a`.
fn zone(id: &str) -> String {
    id.chars().take_while(|c| c.is_alphabetic()).collect()
}

fn reports(fleet: &mut Fleet, node: &str, ready: bool, servers: Option<&[&str]>) {
    let report = Report { ready, refused_percent: 0, servers: servers.map(listed) };
    assert_eq!(ask(fleet, node, FleetCommand::Report { report }), Ok(FleetResponse::Done));
}

const SERVERS: [&str; 6] = ["a1", "a2", "a3", "b1", "b2", "b3"];

/// Three nodes, each its own session, and six cache servers in two zones; all serve.
fn fleet(nodes: u32, servers: u32) -> Fleet {
    let mut fleet = Fleet::default();
    for node in ["n1", "n2", "n3"] {
        ask(&mut fleet, node, FleetCommand::Join { node: node.into(), zone: "z".into() }).unwrap();
        reports(&mut fleet, node, true, Some(&SERVERS));
    }
    let bound = |out_most| Bound { out_most, ..Limits::default().nodes };
    let limits = Limits { nodes: bound(nodes), servers: bound(servers), ..Limits::default() };
    ask(&mut fleet, "staff", FleetCommand::Limits { limits, note: note("l") }).unwrap();
    fleet
}

fn limits(fleet: &mut Fleet, change: impl FnOnce(&mut Limits)) {
    let mut limits = fleet.limits.clone();
    change(&mut limits);
    ask(fleet, "staff", FleetCommand::Limits { limits, note: note("l") }).unwrap();
}

fn stage(fleet: &Fleet, subject: &Subject) -> Option<Stage> {
    fleet.drain_of(subject).map(|(_, d)| d.stage)
}

fn confirm(fleet: &mut Fleet, nodes: &[&str], subject: &Subject) {
    let (drain, turn) = fleet.drain_of(subject).map(|(n, d)| (n, d.turn)).unwrap();
    for node in nodes {
        ask(fleet, node, FleetCommand::Confirm { drain, turn }).unwrap();
    }
}

fn due(fleet: &mut Fleet, wanted: impl Fn(&Timer) -> bool) {
    let timer = fleet.timers().into_keys().find(wanted).expect("a timer");
    fleet.timer_fired(&timer, &mut Vec::new());
}

fn blocked(answer: Answered) -> String {
    match answer {
        Err(FleetRefusal::Limit { blocked }) => blocked.to_string(),
        other => panic!("{other:?}"),
    }
}

const ALL: [&str; 3] = ["n1", "n2", "n3"];

#[test]
fn a_cache_server_goes_out_when_every_node_has_confirmed_and_comes_back_cold() {
    let (mut fleet, a1) = (fleet(1, 1), Subject::server("a1"));
    let answer = out(&mut fleet, a1.clone(), false, false);
    assert!(matches!(answer, Ok(FleetResponse::Drain { stage: Stage::Leaving, .. })), "{answer:?}");
    confirm(&mut fleet, &["n1", "n2"], &a1);
    let (_, drain) = fleet.drain_of(&a1).unwrap();
    assert_eq!((drain.stage, fleet.awaited_nodes(drain)), (Stage::Leaving, vec!["n3".into()]));
    confirm(&mut fleet, &["n3"], &a1);
    assert_eq!(stage(&fleet, &a1), Some(Stage::Out));
    assert_eq!(
        blocked(out(&mut fleet, Subject::server("b1"), false, false)),
        "servers.out_most is 1; not in service: a1 (drain 1, out)"
    );
    back(&mut fleet, a1.clone()).unwrap();
    assert_eq!(stage(&fleet, &a1), Some(Stage::Returning));
    confirm(&mut fleet, &ALL, &a1);
    assert_eq!(stage(&fleet, &a1), Some(Stage::Cold));
    assert!(blocked(out(&mut fleet, Subject::server("b1"), false, false)).contains("cold"));
    assert_eq!(fleet.timers().into_values().collect::<Vec<_>>(), [60_000]);
    due(&mut fleet, |t| matches!(t, Timer::Cold { .. }));
    assert_eq!(stage(&fleet, &a1), None);
    out(&mut fleet, Subject::server("b1"), false, false).unwrap();
    let what: Vec<&str> = fleet.events.iter().map(|e| e.what.as_str()).collect();
    let expected = ["granted", "out", "back asked", "returning", "cold", "back"];
    assert!(expected.iter().all(|e| what.contains(e)), "{what:?}");
}

#[test]
fn twenty_that_ask_at_once_get_as_many_places_as_there_are_and_the_rest_in_turn() {
    let mut fleet = fleet(1, 2);
    let mut granted = 0;
    for i in 0..20 {
        let id = SERVERS[i % SERVERS.len()];
        let _ = out(&mut fleet, Subject::server(id), true, false);
    }
    let asked: Vec<_> = fleet.drains.values().map(|d| (d.subject.id.clone(), d.stage)).collect();
    granted += asked.iter().filter(|(_, s)| *s == Stage::Leaving).count();
    assert_eq!((granted, asked.len()), (2, 6), "{asked:?}");
    // One that waits gives its place up; one that goes leaves it to the next in line.
    back(&mut fleet, Subject::server("a3")).unwrap();
    assert_eq!(stage(&fleet, &Subject::server("a3")), None);
    let a1 = Subject::server("a1");
    back(&mut fleet, a1.clone()).unwrap();
    confirm(&mut fleet, &ALL, &a1);
    assert_eq!(stage(&fleet, &Subject::server("b1")), Some(Stage::Leaving), "{a1} was never touched: warm");
}

#[test]
fn the_dead_and_the_unready_count_and_a_death_that_crosses_a_grant_leaves_no_place() {
    let mut fleet = fleet(2, 1);
    fleet.session_ended("n2", &mut Vec::new());
    reports(&mut fleet, "n3", false, None);
    let told = blocked(out(&mut fleet, Subject::node("n1"), false, false));
    assert_eq!(told, "nodes.out_most is 2; not in service: n2 (missing), n3 (not ready)");
    // A dead one takes its place too: it would stay out when it comes back.
    limits(&mut fleet, |l| l.nodes.out_most = 1);
    assert!(blocked(out(&mut fleet, Subject::node("n2"), false, false)).contains("n3 (not ready)"));
    reports(&mut fleet, "n3", true, None);
    out(&mut fleet, Subject::node("n2"), false, false).unwrap();
    // What two of three nodes do not list is missing; what one does not is that one's trouble.
    reports(&mut fleet, "n1", true, Some(&SERVERS[1..]));
    assert!(!fleet.out(Kind::Server).is_empty(), "one of the two that live");
    ask(&mut fleet, "n2-again", FleetCommand::Join { node: "n2".into(), zone: "z".into() }).unwrap();
    reports(&mut fleet, "n2-again", false, Some(&SERVERS));
    assert!(fleet.out(Kind::Server).is_empty(), "one of three");
    reports(&mut fleet, "n3", true, Some(&SERVERS[1..]));
    assert_eq!(fleet.out(Kind::Server)["a1"], "missing");
    assert!(blocked(out(&mut fleet, Subject::server("b1"), false, false)).contains("a1 (missing)"));
}

#[test]
fn zones_shares_and_the_fewest_that_serve_bind_by_name() {
    let mut fleet = fleet(1, 6);
    limits(&mut fleet, |l| l.servers.out_percent = Some(34));
    out(&mut fleet, Subject::server("a1"), false, false).unwrap();
    out(&mut fleet, Subject::server("b1"), false, false).unwrap();
    assert!(
        blocked(out(&mut fleet, Subject::server("b2"), false, false))
            .starts_with("servers.out_percent is 34")
    );
    limits(&mut fleet, |l| (l.servers.out_percent, l.servers.zone_out_most) = (None, Some(1)));
    let told = blocked(out(&mut fleet, Subject::server("b2"), false, false));
    assert!(told.starts_with("servers.zone_out_most is 1") && !told.contains("a1"), "{told}");
    limits(&mut fleet, |l| (l.servers.zone_out_most, l.servers.zone_ready_fewest) = (None, 2));
    assert!(
        blocked(out(&mut fleet, Subject::server("b2"), false, false))
            .starts_with("servers.zone_ready_fewest")
    );
    limits(&mut fleet, |l| (l.servers.zone_ready_fewest, l.servers.ready_fewest) = (0, 4));
    assert!(
        blocked(out(&mut fleet, Subject::server("b2"), false, false))
            .starts_with("servers.ready_fewest is 4")
    );
    // Lowered below what is out: nothing more goes, nothing is called back.
    limits(&mut fleet, |l| (l.servers.ready_fewest, l.servers.out_most) = (1, 1));
    assert!(
        blocked(out(&mut fleet, Subject::server("b2"), false, false)).starts_with("servers.out_most is 1")
    );
    assert_eq!(fleet.drains.len(), 2);
    // By force, with the reason kept.
    out(&mut fleet, Subject::server("b2"), false, true).unwrap();
    assert_eq!(stage(&fleet, &Subject::server("b2")), Some(Stage::Leaving));
    assert!(fleet.events.iter().any(|e| e.what == "granted past the limits"));
}

#[test]
fn a_node_that_is_silent_keeps_a_drain_at_leaving_until_it_confirms_or_staff_say_that_it_is_gone() {
    let (mut fleet, a1) = (fleet(1, 1), Subject::server("a1"));
    fleet.session_ended("n3", &mut Vec::new());
    out(&mut fleet, a1.clone(), false, false).unwrap();
    confirm(&mut fleet, &["n1", "n2"], &a1);
    let (_, drain) = fleet.drain_of(&a1).unwrap();
    assert_eq!(fleet.awaited_nodes(drain), ["n3"]);
    let gone = |node: &str| FleetCommand::Forget { subject: Subject::node(node), note: note("burnt") };
    assert_eq!(ask(&mut fleet, "staff", gone("n1")), Err(FleetRefusal::Lives));
    ask(&mut fleet, "staff", gone("n3")).unwrap();
    assert_eq!(stage(&fleet, &a1), Some(Stage::Out));
    // The same by a process that takes its place.
    let (mut fleet, mut again) = (self::fleet(1, 1), String::new());
    out(&mut fleet, a1.clone(), false, false).unwrap();
    confirm(&mut fleet, &ALL[..2], &a1);
    for life in 0..2 {
        again = format!("n3-{life}");
        ask(&mut fleet, &again, FleetCommand::Join { node: "n3".into(), zone: "z".into() }).unwrap();
    }
    let (drain, turn) = fleet.drain_of(&a1).map(|(n, d)| (n, d.turn)).unwrap();
    let confirm = FleetCommand::Confirm { drain, turn };
    assert_eq!(ask(&mut fleet, "n3", confirm.clone()), Err(FleetRefusal::NoNode), "its name is another's");
    assert_eq!(stage(&fleet, &a1), Some(Stage::Leaving));
    ask(&mut fleet, &again, confirm).unwrap();
    assert_eq!(stage(&fleet, &a1), Some(Stage::Out));
}

#[test]
fn drain_and_back_may_cross_and_an_old_confirmation_counts_no_more() {
    let (mut fleet, a1) = (fleet(1, 1), Subject::server("a1"));
    out(&mut fleet, a1.clone(), false, false).unwrap();
    let (drain, turn) = fleet.drain_of(&a1).map(|(n, d)| (n, d.turn)).unwrap();
    confirm(&mut fleet, &["n1"], &a1);
    assert!(matches!(out(&mut fleet, a1.clone(), false, false), Err(FleetRefusal::Already { .. })));
    back(&mut fleet, a1.clone()).unwrap();
    back(&mut fleet, a1.clone()).unwrap();
    assert_eq!(stage(&fleet, &a1), Some(Stage::Returning));
    // Out again in the midst: it has its place, and nodes confirm anew.
    out(&mut fleet, a1.clone(), false, false).unwrap();
    for node in ALL {
        ask(&mut fleet, node, FleetCommand::Confirm { drain, turn }).unwrap();
    }
    assert_eq!(stage(&fleet, &a1), Some(Stage::Leaving));
    confirm(&mut fleet, &ALL, &a1);
    assert_eq!(stage(&fleet, &a1), Some(Stage::Out));
    let unknown = Subject::server("zz");
    assert_eq!(
        out(&mut fleet, unknown.clone(), true, true),
        Err(FleetRefusal::Unknown { subject: unknown.clone() })
    );
    assert_eq!(back(&mut fleet, Subject::server("b1")), Err(FleetRefusal::NotOut));
    assert_eq!(back(&mut fleet, unknown.clone()), Err(FleetRefusal::Unknown { subject: unknown }));
}

#[test]
fn a_node_is_out_when_it_has_emptied_itself_and_back_when_it_serves() {
    let (mut fleet, n2) = (fleet(1, 1), Subject::node("n2"));
    out(&mut fleet, n2.clone(), false, false).unwrap();
    confirm(&mut fleet, &["n1", "n3"], &n2);
    assert_eq!(stage(&fleet, &n2), Some(Stage::Leaving), "only itself can say so");
    confirm(&mut fleet, &["n2"], &n2);
    assert_eq!(stage(&fleet, &n2), Some(Stage::Out));
    // It crashes while out, and comes back ready: it is still drained, and counts.
    fleet.session_ended("n2", &mut Vec::new());
    ask(&mut fleet, "n2-b", FleetCommand::Join { node: "n2".into(), zone: "z".into() }).unwrap();
    reports(&mut fleet, "n2-b", true, Some(&SERVERS));
    assert!(blocked(out(&mut fleet, Subject::node("n1"), false, false)).contains("n2 (drain"));
    back(&mut fleet, n2.clone()).unwrap();
    reports(&mut fleet, "n2-b", false, None);
    confirm(&mut fleet, &["n2-b"], &n2);
    assert_eq!(stage(&fleet, &n2), Some(Stage::Returning), "not ready yet");
    reports(&mut fleet, "n2-b", true, None);
    assert_eq!(stage(&fleet, &n2), None);
}

#[test]
fn a_halt_takes_back_what_is_asked_and_brings_back_what_is_leaving_the_latest_first() {
    let mut fleet = fleet(3, 3);
    let of = |id: &str| Subject::server(id);
    for id in ["a1", "a2", "b1", "b2"] {
        out(&mut fleet, of(id), true, false).unwrap();
    }
    confirm(&mut fleet, &ALL, &of("a1"));
    confirm(&mut fleet, &["n1"], &of("a2"));
    confirm(&mut fleet, &["n1"], &of("b1"));
    // Two more die than may be out.
    reports(&mut fleet, "n1", true, Some(&["a1", "a2"]));
    reports(&mut fleet, "n2", true, Some(&["a1", "a2"]));
    assert_eq!(fleet.halt, None, "three are missing: a3, b2, b3");
    limits(&mut fleet, |l| l.servers.out_most = 2);
    let halt = fleet.halt.clone().expect("a halt");
    assert!(halt.by_itself && halt.note.reason.contains("cache servers are missing"), "{halt:?}");
    assert_eq!(stage(&fleet, &of("b2")), None, "taken back");
    assert_eq!(stage(&fleet, &of("b1")), Some(Stage::Returning), "the latest first, one cold at a time");
    assert_eq!(stage(&fleet, &of("a2")), Some(Stage::Leaving));
    assert_eq!(stage(&fleet, &of("a1")), Some(Stage::Out), "what is out stays out");
    assert!(matches!(out(&mut fleet, of("a3"), true, false), Err(FleetRefusal::Halted { .. })));
    confirm(&mut fleet, &ALL, &of("b1"));
    due(&mut fleet, |t| matches!(t, Timer::Cold { .. }));
    assert_eq!(stage(&fleet, &of("a2")), Some(Stage::Returning));
    // A calm ends it once its cause is gone; without one staff do.
    limits(&mut fleet, |l| l.calm_ms = Some(1000));
    let calm = |fleet: &Fleet| fleet.timers().keys().any(|t| matches!(t, Timer::Calm { .. }));
    assert!(!calm(&fleet), "the cause is there");
    reports(&mut fleet, "n1", true, Some(&SERVERS));
    reports(&mut fleet, "n2", true, Some(&SERVERS));
    assert!(calm(&fleet));
    due(&mut fleet, |t| matches!(t, Timer::Calm { .. }));
    assert_eq!(fleet.halt, None);
    let resume = FleetCommand::Resume { note: note("r") };
    assert_eq!(ask(&mut fleet, "staff", resume.clone()), Err(FleetRefusal::NotHalted));
    ask(&mut fleet, "staff", FleetCommand::Halt { note: note("storm") }).unwrap();
    assert!(!calm(&fleet), "staff's halt ends by staff's note alone");
    ask(&mut fleet, "staff", resume.clone()).unwrap();
    assert_eq!(fleet.halt, None);
    // Staff halt a fleet that has halted itself: no calm ends that.
    out(&mut fleet, of("b3"), true, false).unwrap();
    reports(&mut fleet, "n1", true, Some(&["a1"]));
    reports(&mut fleet, "n2", true, Some(&["a1"]));
    assert!(fleet.halt.as_ref().is_some_and(|h| h.by_itself));
    ask(&mut fleet, "staff", FleetCommand::Halt { note: note("look first") }).unwrap();
    reports(&mut fleet, "n1", true, Some(&SERVERS));
    reports(&mut fleet, "n2", true, Some(&SERVERS));
    assert!(!calm(&fleet) && fleet.halt.as_ref().is_some_and(|h| h.note.reason == "look first"));
    ask(&mut fleet, "staff", resume).unwrap();
}

#[test]
fn a_fleet_that_refuses_too_much_halts_while_something_goes_out() {
    let mut fleet = fleet(1, 2);
    limits(&mut fleet, |l| l.refused_percent = Some(10));
    let report = |percent| FleetCommand::Report {
        report: Report { ready: true, refused_percent: percent, servers: None },
    };
    ask(&mut fleet, "n1", report(60)).unwrap();
    assert_eq!(fleet.halt, None, "nothing goes out");
    let _ = out(&mut fleet, Subject::server("a1"), true, false);
    assert!(fleet.halt.as_ref().is_some_and(|h| h.note.reason.contains("20 percent")), "{:?}", fleet.halt);
    assert_eq!(fleet.drains.len(), 0);
}

#[test]
fn a_latest_end_warns_or_brings_back_and_a_start_is_cold() {
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
        ask(&mut fleet, "staff", asked).unwrap();
    };
    drain("a1", Then::Stay);
    drain("a2", Then::Back);
    let ends: Vec<Timer> = fleet.timers().into_keys().collect();
    ends.iter().for_each(|end| fleet.timer_fired(end, &mut Vec::new()));
    ends.iter().for_each(|end| fleet.timer_fired(end, &mut Vec::new()));
    assert!(fleet.drain_of(&Subject::server("a1")).is_some_and(|(_, d)| d.overdue));
    assert_eq!(stage(&fleet, &Subject::server("a2")), Some(Stage::Returning));
    // One that starts by itself counts as cold for its time.
    let mut list = listed(&SERVERS);
    list[4].up_since_ms = 77;
    let report = Report { ready: true, refused_percent: 0, servers: Some(list) };
    ask(&mut fleet, "n1", FleetCommand::Report { report: report.clone() }).unwrap();
    ask(&mut fleet, "n2", FleetCommand::Report { report }).unwrap();
    assert_eq!(fleet.out(Kind::Server)["b2"], "cold");
    due(&mut fleet, |t| matches!(t, Timer::Start { .. }));
    assert!(!fleet.out(Kind::Server).contains_key("b2"));
}

#[test]
fn what_makes_no_sense_is_refused_in_words_and_changes_nothing() {
    let mut fleet = fleet(1, 1);
    let before = fleet.clone();
    let none = AuditNote { by: String::new(), ..note("x") };
    let long = note(&"x".repeat(501));
    let mut limits = Limits::default();
    limits.nodes.out_percent = Some(101);
    let node = |name: &str| FleetCommand::Join { node: name.into(), zone: "z".into() };
    for (session, what, says) in [
        ("staff", FleetCommand::Halt { note: none }, "has to be named"),
        ("staff", FleetCommand::Halt { note: note(" ") }, "a reason has to be given"),
        ("staff", FleetCommand::Halt { note: long }, "at most 500"),
        ("staff", FleetCommand::Limits { limits, note: note("l") }, "nodes.out_percent: 101"),
        ("staff", FleetCommand::Confirm { drain: 1, turn: 1 }, "belongs to no node"),
        ("x", node("n 1"), "take letters"),
        ("n1", node("n9"), "another node's"),
    ] {
        let refused = ask(&mut fleet, session, what).unwrap_err().to_string();
        assert!(refused.contains(says), "{refused}");
    }
    let endless = FleetCommand::Drain {
        subject: Subject::server("a1"),
        note: note("w"),
        for_ms: Some(u64::MAX),
        then: Then::Back,
        wait: false,
        force: true,
    };
    assert!(ask(&mut fleet, "staff", endless).unwrap_err().to_string().contains("thirty days"));
    assert_eq!(fleet, before);
    let many: Vec<Listed> =
        (0..3000).map(|i| Listed { id: format!("s{i}"), zone: String::new(), up_since_ms: 0 }).collect();
    let report = Report { ready: true, refused_percent: 0, servers: Some(many) };
    assert!(ask(&mut fleet, "n1", FleetCommand::Report { report }).is_err());
    assert_eq!(fleet, before);
}
