use super::*;

const SECOND: Micros = 1_000_000;
const HOUR: Micros = 3_600 * SECOND;
/// The right time.
const NOW: Micros = 1_000_000 * HOUR;
const WARM_UP: Micros = 20 * SECOND;

/// Ages of servers that started so long ago by the right time, at a node whose clock is off by a step.
fn ages(starts: &mut StartTimes, clock: Micros, started: &[Micros]) -> Vec<Micros> {
    let line = |(id, started): (usize, &Micros)| ServerEntry {
        id: id as ServerId,
        started: *started,
        ..ServerEntry::default()
    };
    let mut lines: Vec<ServerEntry> = started.iter().enumerate().map(line).collect();
    starts.place(clock, &mut lines);
    lines.iter().map(|line| if line.started == 0 { Micros::MAX } else { clock - line.started }).collect()
}

#[test]
fn a_start_before_the_first_list_is_as_young_as_the_newest_whatever_the_wall_says() {
    for clock in [NOW, NOW + 30 * SECOND, NOW + HOUR, NOW - 30 * SECOND, NOW - HOUR] {
        let mut starts = StartTimes::new(WARM_UP);
        let listed = [0, 0, 0, NOW - 60 * SECOND, NOW];
        let ages = ages(&mut starts, clock, &listed);
        assert_eq!(ages[0], Micros::MAX, "long ago");
        assert!((WARM_UP..=60 * SECOND).contains(&ages[3]), "{} at {clock}", ages[3]);
        assert_eq!(ages[4], 0, "at {clock}");
    }
}

#[test]
fn a_start_that_is_told_ages_from_then_on_however_its_clock_was_stepped() {
    for stated in [NOW + SECOND, NOW + HOUR, NOW - HOUR] {
        let mut starts = StartTimes::new(WARM_UP);
        ages(&mut starts, NOW, &[0, NOW - 2 * SECOND]);
        starts.listed();
        assert_eq!(ages(&mut starts, NOW + 10 * SECOND, &[0, stated])[1], 0);
        assert_eq!(ages(&mut starts, NOW + 15 * SECOND, &[0, stated])[1], 5 * SECOND);
    }
}

#[test]
fn a_late_list_that_names_an_earlier_start_again_makes_nothing_cold() {
    let mut starts = StartTimes::new(WARM_UP);
    ages(&mut starts, NOW, &[NOW - 300 * SECOND, NOW - 60 * SECOND]);
    starts.listed();
    ages(&mut starts, NOW + SECOND, &[NOW - 300 * SECOND, NOW + SECOND]);
    let late = ages(&mut starts, NOW + 30 * SECOND, &[NOW - 300 * SECOND, NOW - 60 * SECOND]);
    assert!(late[1] >= 30 * SECOND);
    let again = ages(&mut starts, NOW + 31 * SECOND, &[NOW - 300 * SECOND, NOW + SECOND]);
    assert_eq!(again[1], 30 * SECOND);
}

#[test]
fn what_started_before_any_step_is_warm() {
    let mut starts = StartTimes::new(WARM_UP);
    starts.listed();
    assert!(ages(&mut starts, NOW, &[NOW - 3 * HOUR])[0] > 2 * HOUR);
}

#[test]
fn a_fleet_that_started_together_is_not_cold_at_once_for_a_new_node() {
    let mut starts = StartTimes::new(WARM_UP);
    let together: Vec<Micros> = (0..5).map(|n| NOW - 600 * SECOND - n * SECOND).collect();
    assert!(ages(&mut starts, NOW, &together).iter().all(|age| *age >= 600 * SECOND));
}

#[test]
fn what_has_left_is_forgotten() {
    let mut starts = StartTimes::new(WARM_UP);
    ages(&mut starts, NOW, &[NOW, NOW]);
    starts.forget(|id| id == 0);
    assert_eq!(starts.known.len(), 1);
}

#[test]
fn a_server_that_was_forgotten_and_is_named_again_is_as_old_as_before() {
    let mut starts = StartTimes::new(WARM_UP);
    let listed = [NOW - 600 * SECOND, NOW - 300 * SECOND, NOW - 60 * SECOND];
    ages(&mut starts, NOW, &listed);
    starts.listed();
    starts.forget(|id| id == 1);
    assert!(ages(&mut starts, NOW + 5 * SECOND, &listed)[1] >= 240 * SECOND);
}

#[test]
fn a_new_server_is_cold_at_a_node_whose_clock_is_ahead() {
    let mut starts = StartTimes::new(WARM_UP);
    ages(&mut starts, NOW + 30 * SECOND, &[NOW - 600 * SECOND]);
    starts.listed();
    let joined = ages(&mut starts, NOW + 40 * SECOND, &[NOW - 600 * SECOND, NOW + 10 * SECOND]);
    assert_eq!(joined[1], 0);
}

#[test]
fn the_first_restart_of_a_server_that_was_up_for_long_is_news_whatever_its_clock_says() {
    for stated in [NOW + 2 * SECOND, NOW - 30 * SECOND, NOW - HOUR, NOW + HOUR] {
        let mut starts = StartTimes::new(WARM_UP);
        ages(&mut starts, NOW, &[0, 0]);
        starts.listed();
        ages(&mut starts, NOW + SECOND, &[NOW + SECOND, 0]);
        assert_eq!(ages(&mut starts, NOW + 2 * SECOND, &[NOW + SECOND, stated])[1], 0, "{stated}");
        assert_eq!(ages(&mut starts, NOW + 5 * SECOND, &[NOW + SECOND, stated])[1], 3 * SECOND, "{stated}");
    }
}
