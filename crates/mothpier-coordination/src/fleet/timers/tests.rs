use super::*;

#[test]
fn a_timer_keeps_running_while_needed_and_fires_again_after_the_delay() {
    let (cold, end) = (Timer::Cold { drain: 1, turn: 4 }, Timer::End { drain: 2 });
    let mut timers = Timers::default();
    timers.update(100, &[(cold.clone(), 50)].into());
    timers.update(120, &[(cold.clone(), 50), (end.clone(), 10)].into());
    assert_eq!((timers.next_due(), timers.take_due(129, 30)), (Some(130), Vec::new()));
    assert_eq!(timers.take_due(150, 30), [end.clone(), cold.clone()]);
    assert_eq!((timers.take_due(179, 30), timers.take_due(180, 30)), (Vec::new(), vec![end, cold]));
    timers.update(200, &BTreeMap::new());
    assert_eq!(timers.next_due(), None);
}
