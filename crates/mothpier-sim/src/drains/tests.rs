use super::*;

#[test]
fn a_world_takes_things_out_and_back_the_same_way_every_time() {
    let one = play(1, small(1), false, None);
    assert_eq!(format!("{one:?}"), format!("{:?}", play(1, small(1), false, None)));
    assert!(one.broken.is_empty() && one.outs > 0 && one.done_at > 0, "{one:?}");
}
