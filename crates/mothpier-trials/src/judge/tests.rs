use super::*;

#[test]
fn an_order_of_an_older_grant_behind_a_newer_one_is_found_wherever_it_was_obeyed() {
    let line = "mothpier: obeys lease=roll fence=7 at_us=120";
    assert_eq!(read(3, line), Some(Obeyed { at_us: 120, node: 3, fence: 7 }));
    assert_eq!(read(3, "mothpier: n0 listens on 127.0.0.1:1"), None);
    let at = |at_us, node, fence| Obeyed { at_us, node, fence };
    let good = judge(vec![at(3, 1, 2), at(1, 0, 1), at(2, 0, 1), at(4, 0, 2)]);
    assert_eq!((good.grants, good.beside.len(), good.undercut.len()), (2, 0, 0));
    let elsewhere = judge(vec![at(1, 0, 1), at(2, 0, 2), at(3, 1, 1)]);
    assert_eq!((elsewhere.beside.len(), elsewhere.undercut.len()), (1, 0));
    let there = judge(vec![at(1, 0, 2), at(2, 0, 1)]);
    assert_eq!((there.beside.len(), there.undercut.len()), (1, 1));
    let made_up = judge(vec![at(1, 0, (5 << GRANT_BITS) | 2), at(2, 0, (6 << GRANT_BITS) | 1)]);
    assert_eq!(made_up.undercut.len(), 1);
}
