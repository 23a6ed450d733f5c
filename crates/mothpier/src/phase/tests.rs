use super::*;

#[test]
fn an_emptied_node_says_no_at_once_closes_later_and_is_back_at_a_word() {
    let (phase, now) = (ServingPhase::default(), Instant::now());
    assert_eq!(phase.ready(), Err("no list of servers yet"));
    phase.listed();
    assert_eq!(phase.ready(), Ok(()));
    assert!(!phase.refill(DrainSource::Hand), "it was at work");
    let first = phase.empty(DrainSource::Hand).unwrap();
    assert_eq!(phase.empty(DrainSource::Hand), None, "emptied twice is emptied once");
    assert_eq!(phase.at_work(), Err("emptied by hand"));
    assert!(!phase.closing(), "a front still sends");
    // Called back in the midst: the first call closes nothing any more.
    assert!(phase.refill(DrainSource::Hand));
    phase.close_emptied(first, now);
    assert!(!phase.closing());
    let second = phase.empty(DrainSource::Hand).unwrap();
    phase.close_emptied(first, now);
    assert!(!phase.closing(), "the time of the second call is not over");
    phase.close_emptied(second, now);
    assert!(phase.closing() && !phase.is_shut());
    assert_eq!(phase.cut(), Some(now + CUT));
    assert!(phase.refill(DrainSource::Hand));
    assert!(!phase.closing() && phase.ready().is_ok());
}

#[test]
fn the_fleet_and_the_hand_each_keep_a_node_from_work() {
    let phase = ServingPhase::default();
    phase.listed();
    phase.waits_for_fleet();
    assert_eq!((phase.ready(), phase.serves()), (Err("who of the fleet is out is not known yet"), false));
    phase.told();
    assert!(phase.empty(DrainSource::Fleet).is_some() && phase.empty(DrainSource::Hand).is_none());
    assert!(!phase.refill(DrainSource::Hand));
    assert_eq!(phase.ready(), Err("drained by the fleet"));
    assert!(phase.refill(DrainSource::Fleet) && phase.ready().is_ok() && !phase.refill(DrainSource::Fleet));
}

#[test]
fn nothing_calls_back_a_node_that_ends() {
    let (phase, now) = (ServingPhase::default(), Instant::now());
    phase.listed();
    phase.stop();
    assert_eq!((phase.at_work(), phase.ready()), (Ok(()), Err("stopping")));
    phase.shut(now, false);
    let call = phase.empty(DrainSource::Hand).unwrap();
    phase.close_emptied(call, now + CUT);
    assert!(phase.refill(DrainSource::Hand));
    assert!(phase.closing() && phase.is_shut());
    assert_eq!(phase.cut(), Some(now + CUT));
}
