use super::*;

#[test]
fn a_drained_node_is_not_ready_at_once_closes_later_and_can_return() {
    let (phase, now) = (ServingPhase::default(), Instant::now());
    assert_eq!(phase.ready(), Err("no list of servers yet"));
    phase.list_received();
    assert_eq!(phase.ready(), Ok(()));
    assert!(!phase.end_drain(DrainSource::Operator), "it was not drained");
    let first = phase.begin_drain(DrainSource::Operator).unwrap();
    assert_eq!(
        phase.begin_drain(DrainSource::Operator),
        None,
        "a second drain by the same source changes nothing"
    );
    assert_eq!(phase.in_service(), Err("emptied by hand"));
    assert!(!phase.closing(), "load balancers still send new connections");
    // The drain ends before connections close: its delayed close has no effect.
    assert!(phase.end_drain(DrainSource::Operator));
    phase.close_drained(first, now);
    assert!(!phase.closing());
    let second = phase.begin_drain(DrainSource::Operator).unwrap();
    phase.close_drained(first, now);
    assert!(!phase.closing(), "the delay of the second drain is not over");
    phase.close_drained(second, now);
    assert!(phase.closing() && !phase.accepting_stopped());
    assert_eq!(phase.read_cutoff(), Some(now + READ_CUTOFF_DELAY));
    assert!(phase.end_drain(DrainSource::Operator));
    assert!(!phase.closing() && phase.ready().is_ok());
}

#[test]
fn an_operator_and_the_fleet_drain_a_node_independently() {
    let phase = ServingPhase::default();
    phase.list_received();
    phase.await_fleet_drains();
    assert_eq!(
        (phase.ready(), phase.accepts_clients()),
        (Err("who of the fleet is out is not known yet"), false)
    );
    phase.fleet_drains_known();
    assert!(
        phase.begin_drain(DrainSource::Fleet).is_some() && phase.begin_drain(DrainSource::Operator).is_none()
    );
    assert!(!phase.end_drain(DrainSource::Operator));
    assert_eq!(phase.ready(), Err("drained by the fleet"));
    assert!(
        phase.end_drain(DrainSource::Fleet) && phase.ready().is_ok() && !phase.end_drain(DrainSource::Fleet)
    );
}

#[test]
fn ending_a_drain_does_not_revive_a_stopping_node() {
    let (phase, now) = (ServingPhase::default(), Instant::now());
    phase.list_received();
    phase.stop();
    assert_eq!((phase.in_service(), phase.ready()), (Ok(()), Err("stopping")));
    phase.shut(now, false);
    let drain = phase.begin_drain(DrainSource::Operator).unwrap();
    phase.close_drained(drain, now + READ_CUTOFF_DELAY);
    assert!(phase.end_drain(DrainSource::Operator));
    assert!(phase.closing() && phase.accepting_stopped());
    assert_eq!(phase.read_cutoff(), Some(now + READ_CUTOFF_DELAY));
}
