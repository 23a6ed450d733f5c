use super::*;

fn servers(numbers: std::ops::Range<u8>) -> Vec<DnsServer> {
    let named = |n| DnsServer { address: SocketAddr::from(([10, 1, 0, n], 6379)), priority: 0, weight: 1 };
    numbers.map(named).collect()
}

/// 40 of 60 servers missing from one answer and back in the next are kept, with the time at which they were
/// first named.
#[test]
fn a_sudden_loss_is_applied_only_once_enough_answers_confirm_it_for_long_enough() {
    let mut dns = DnsServers::new(ShrinkGuard { share: 0.3, confirm: 2, hold_ms: 10_000 });
    dns.update(100, DnsTrust::Fresh, &servers(0..60), true, 1);
    let before: Vec<_> = dns.servers().collect();
    dns.update(200, DnsTrust::Fresh, &servers(40..60), true, 2);
    assert_eq!((dns.servers().count(), dns.pending_removals()), (60, 40));
    dns.update(300, DnsTrust::Fresh, &servers(0..60), true, 3);
    assert_eq!(dns.servers().collect::<Vec<_>>(), before);
    // Repeated reads of the same answer count once: the loss needs both further answers and the hold time.
    dns.update(400, DnsTrust::Fresh, &servers(40..60), true, 4);
    (0..50).for_each(|n| dns.update(20_000 + n, DnsTrust::Fresh, &servers(40..60), true, 4));
    dns.update(20_100, DnsTrust::Fresh, &servers(40..60), true, 5);
    assert_eq!(dns.servers().count(), 60);
    dns.update(20_200, DnsTrust::Fresh, &servers(40..60), true, 6);
    assert_eq!((dns.servers().count(), dns.pending_removals()), (20, 0));
    dns.update(20_300, DnsTrust::Fresh, &servers(50..60), true, 7);
    dns.update(20_400, DnsTrust::Fresh, &servers(50..60), true, 8);
    dns.update(20_500, DnsTrust::Fresh, &servers(50..60), true, 9);
    assert_eq!(dns.servers().count(), 20, "further answers alone do not suffice within the hold time");
}

#[test]
fn a_small_loss_is_applied_at_once_but_not_while_host_addresses_are_pending() {
    let mut dns = DnsServers::new(ShrinkGuard::default());
    dns.update(1, DnsTrust::Fresh, &servers(0..10), true, 1);
    dns.update(2, DnsTrust::Fresh, &servers(0..7), false, 2);
    assert_eq!(dns.servers().count(), 10);
    dns.update(3, DnsTrust::Fresh, &servers(0..7), true, 2);
    assert_eq!(dns.servers().count(), 7);
    // The loss of one of two servers applies at once: one server alone is never a sudden loss.
    let mut two = DnsServers::new(ShrinkGuard::default());
    two.update(1, DnsTrust::Fresh, &servers(0..2), true, 1);
    two.update(2, DnsTrust::Fresh, &servers(0..1), true, 2);
    assert_eq!(two.servers().count(), 1);
}

#[test]
fn an_empty_answer_needs_confirmation_and_expired_data_is_dropped_at_once() {
    let mut dns = DnsServers::new(ShrinkGuard::default());
    dns.update(1, DnsTrust::Fresh, &servers(0..1), true, 1);
    dns.update(2, DnsTrust::Empty, &[], true, 2);
    dns.update(3, DnsTrust::Stale, &servers(0..1), true, 2);
    assert_eq!((dns.servers().count(), dns.pending_removals()), (1, 0));
    dns.update(4, DnsTrust::Expired, &[], true, 2);
    assert_eq!(dns.servers().count(), 0);
}
