use super::*;

#[test]
fn a_request_to_one_that_is_out_is_found_and_one_in_the_rules_time_is_not() {
    let out = Out { server: 1, from_us: 1000, until_us: 9000 };
    let at = |at_us, server| Sent { at_us, server, node: 0 };
    let sent = [at(500, 1), at(1400, 1), at(1600, 2), at(9001, 1)];
    assert!(sent_to_out(std::slice::from_ref(&out), &sent, 500).is_empty());
    let late = [at(1501, 1)];
    assert_eq!(sent_to_out(std::slice::from_ref(&out), &late, 500), [(out, late[0])]);
}

#[test]
fn a_time_out_ends_when_anybody_asks_back() {
    let time = |server, from_us, until_us| Out { server, from_us, until_us };
    let outs = [time(1, 100, 900), time(2, 100, 900), time(3, 100, 900)];
    let backs = [time(1, 300, 400), time(1, 10, 90), time(2, 90, 110)];
    assert_eq!(until_asked_back(&outs, &backs), [time(1, 100, 300), time(3, 100, 900)]);
}

#[test]
fn nodes_are_counted_while_two_answers_in_a_row_say_so() {
    let at = |at_us, node, drained| Asked { at_us, node, drained };
    let turn = [at(1, 0, true), at(2, 0, true), at(3, 0, false), at(2, 1, true), at(4, 1, true)];
    assert_eq!(most_drained(&turn), 1);
    let both = [at(1, 0, true), at(2, 1, true), at(5, 0, true), at(6, 1, true)];
    assert_eq!(most_drained(&both), 2);
    let log = "mothpier: drained by the fleet: []\nmothpier: drained by the fleet: [s-1,s-2]\n";
    assert_eq!((most_kept_out(log), most_kept_out("")), (2, 0));
}
