use super::*;

const SECOND: Micros = 1_000_000;
const HOUR: Micros = 3_600 * SECOND;
/// The correct time.
const NOW: Micros = 1_000_000 * HOUR;
const WARM_UP: Micros = 20 * SECOND;

/// Returns the ages of servers with the given starts, at a node whose clock shows `clock`.
fn ages(starts: &mut StartTimes, clock: Micros, started: &[Micros]) -> Vec<Micros> {
    let entry = |(id, started): (usize, &Micros)| ServerEntry {
        id: id as ServerId,
        started: *started,
        ..ServerEntry::default()
    };
    let mut entries: Vec<ServerEntry> = started.iter().enumerate().map(entry).collect();
    starts.convert_starts(clock, &mut entries);
    entries.iter().map(|entry| if entry.started == 0 { Micros::MAX } else { clock - entry.started }).collect()
}

#[test]
fn ages_before_the_first_complete_list_are_relative_to_the_newest_start() {
    for clock in [NOW, NOW + 30 * SECOND, NOW + HOUR, NOW - 30 * SECOND, NOW - HOUR] {
        let mut starts = StartTimes::new(WARM_UP);
        let listed = [0, 0, 0, NOW - 60 * SECOND, NOW];
        let ages = ages(&mut starts, clock, &listed);
        assert_eq!(ages[0], Micros::MAX, "no stated start");
        assert!((WARM_UP..=60 * SECOND).contains(&ages[3]), "{} at {clock}", ages[3]);
        assert_eq!(ages[4], 0, "at {clock}");
    }
}

#[test]
fn a_newly_stated_start_ages_from_then_on_however_its_clock_was_stepped() {
    for stated in [NOW + SECOND, NOW + HOUR, NOW - HOUR] {
        let mut starts = StartTimes::new(WARM_UP);
        ages(&mut starts, NOW, &[0, NOW - 2 * SECOND]);
        starts.complete_list_applied();
        assert_eq!(ages(&mut starts, NOW + 10 * SECOND, &[0, stated])[1], 0);
        assert_eq!(ages(&mut starts, NOW + 15 * SECOND, &[0, stated])[1], 5 * SECOND);
    }
}

#[test]
fn a_late_list_with_an_earlier_start_makes_no_server_cold() {
    let mut starts = StartTimes::new(WARM_UP);
    ages(&mut starts, NOW, &[NOW - 300 * SECOND, NOW - 60 * SECOND]);
    starts.complete_list_applied();
    ages(&mut starts, NOW + SECOND, &[NOW - 300 * SECOND, NOW + SECOND]);
    let late = ages(&mut starts, NOW + 30 * SECOND, &[NOW - 300 * SECOND, NOW - 60 * SECOND]);
    assert!(late[1] >= 30 * SECOND);
    let again = ages(&mut starts, NOW + 31 * SECOND, &[NOW - 300 * SECOND, NOW + SECOND]);
    assert_eq!(again[1], 30 * SECOND);
}

#[test]
fn a_start_older_than_any_clock_step_is_warm() {
    let mut starts = StartTimes::new(WARM_UP);
    starts.complete_list_applied();
    assert!(ages(&mut starts, NOW, &[NOW - 3 * HOUR])[0] > 2 * HOUR);
}

#[test]
fn a_fleet_that_started_together_is_not_cold_for_a_new_node() {
    let mut starts = StartTimes::new(WARM_UP);
    let together: Vec<Micros> = (0..5).map(|n| NOW - 600 * SECOND - n * SECOND).collect();
    assert!(ages(&mut starts, NOW, &together).iter().all(|age| *age >= 600 * SECOND));
}

#[test]
fn servers_that_have_left_are_removed() {
    let mut starts = StartTimes::new(WARM_UP);
    ages(&mut starts, NOW, &[NOW, NOW]);
    starts.forget(|id| id == 0);
    assert_eq!(starts.starts_by_server.len(), 1);
}

#[test]
fn a_server_that_was_removed_and_is_listed_again_keeps_its_age() {
    let mut starts = StartTimes::new(WARM_UP);
    let listed = [NOW - 600 * SECOND, NOW - 300 * SECOND, NOW - 60 * SECOND];
    ages(&mut starts, NOW, &listed);
    starts.complete_list_applied();
    starts.forget(|id| id == 1);
    assert!(ages(&mut starts, NOW + 5 * SECOND, &listed)[1] >= 240 * SECOND);
}

#[test]
fn a_new_server_is_cold_at_a_node_whose_clock_is_ahead() {
    let mut starts = StartTimes::new(WARM_UP);
    ages(&mut starts, NOW + 30 * SECOND, &[NOW - 600 * SECOND]);
    starts.complete_list_applied();
    let joined = ages(&mut starts, NOW + 40 * SECOND, &[NOW - 600 * SECOND, NOW + 10 * SECOND]);
    assert_eq!(joined[1], 0);
}

#[test]
fn the_first_restart_of_a_long_running_server_is_recognised_whatever_its_clock_says() {
    for stated in [NOW + 2 * SECOND, NOW - 30 * SECOND, NOW - HOUR, NOW + HOUR] {
        let mut starts = StartTimes::new(WARM_UP);
        ages(&mut starts, NOW, &[0, 0]);
        starts.complete_list_applied();
        ages(&mut starts, NOW + SECOND, &[NOW + SECOND, 0]);
        assert_eq!(ages(&mut starts, NOW + 2 * SECOND, &[NOW + SECOND, stated])[1], 0, "{stated}");
        assert_eq!(ages(&mut starts, NOW + 5 * SECOND, &[NOW + SECOND, stated])[1], 3 * SECOND, "{stated}");
    }
}
