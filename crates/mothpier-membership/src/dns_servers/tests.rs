use super::*;

fn boxes(numbers: std::ops::Range<u8>) -> Vec<DnsServer> {
    let named = |n| DnsServer { address: SocketAddr::from(([10, 1, 0, n], 6379)), priority: 0, weight: 1 };
    numbers.map(named).collect()
}

/// 40 boxes vanish in one answer and return in the next: nothing happens to them, not even to their age.
#[test]
fn a_sudden_loss_is_held_until_further_answers_say_the_same_for_long_enough() {
    let mut names = DnsServers::new(ShrinkGuard { share: 0.3, confirm: 2, hold_ms: 10_000 });
    names.heard(100, DnsTrust::Fresh, &boxes(0..60), true, 1);
    let before: Vec<_> = names.boxes().collect();
    names.heard(200, DnsTrust::Fresh, &boxes(40..60), true, 2);
    assert_eq!((names.boxes().count(), names.doubted()), (60, 40));
    names.heard(300, DnsTrust::Fresh, &boxes(0..60), true, 3);
    assert_eq!(names.boxes().collect::<Vec<_>>(), before);
    // The same answer looked at often is one; time alone is nothing, and answers without time neither.
    names.heard(400, DnsTrust::Fresh, &boxes(40..60), true, 4);
    (0..50).for_each(|n| names.heard(20_000 + n, DnsTrust::Fresh, &boxes(40..60), true, 4));
    names.heard(20_100, DnsTrust::Fresh, &boxes(40..60), true, 5);
    assert_eq!(names.boxes().count(), 60);
    names.heard(20_200, DnsTrust::Fresh, &boxes(40..60), true, 6);
    assert_eq!((names.boxes().count(), names.doubted()), (20, 0));
    names.heard(20_300, DnsTrust::Fresh, &boxes(50..60), true, 7);
    names.heard(20_400, DnsTrust::Fresh, &boxes(50..60), true, 8);
    names.heard(20_500, DnsTrust::Fresh, &boxes(50..60), true, 9);
    assert_eq!(names.boxes().count(), 20, "answers alone, within the hold");
}

#[test]
fn a_few_go_at_once_and_none_while_hosts_are_not_known() {
    let mut names = DnsServers::new(ShrinkGuard::default());
    names.heard(1, DnsTrust::Fresh, &boxes(0..10), true, 1);
    names.heard(2, DnsTrust::Fresh, &boxes(0..7), false, 2);
    assert_eq!(names.boxes().count(), 10);
    names.heard(3, DnsTrust::Fresh, &boxes(0..7), true, 2);
    assert_eq!(names.boxes().count(), 7);
    // A single box of two may go: a fleet of two is no fleet whose loss would be sudden.
    let mut two = DnsServers::new(ShrinkGuard::default());
    two.heard(1, DnsTrust::Fresh, &boxes(0..2), true, 1);
    two.heard(2, DnsTrust::Fresh, &boxes(0..1), true, 2);
    assert_eq!(two.boxes().count(), 1);
}

#[test]
fn an_empty_answer_is_doubted_and_a_long_silence_is_not() {
    let mut names = DnsServers::new(ShrinkGuard::default());
    names.heard(1, DnsTrust::Fresh, &boxes(0..1), true, 1);
    names.heard(2, DnsTrust::Nothing, &[], true, 2);
    names.heard(3, DnsTrust::Stale, &boxes(0..1), true, 2);
    assert_eq!((names.boxes().count(), names.doubted()), (1, 0));
    names.heard(4, DnsTrust::Silent, &[], true, 2);
    assert_eq!(names.boxes().count(), 0);
}
