use super::*;

#[test]
fn a_plan_is_read_as_it_was_written_and_bad_lines_say_what_is_wrong() {
    for seed in 0..200 {
        for (boxes, beside) in Boxes::ALL.into_iter().flat_map(|b| Beside::ALL.map(|s| (b, s))) {
            for fault in draw(seed, boxes, beside) {
                assert_eq!(fault.to_string().parse(), Ok(fault.clone()));
                assert!(boxes != Boxes::Plain || !fault.kind.of_clusters());
                assert!(beside.dns() || !fault.kind.of_dns());
            }
            assert_eq!(draw(seed, boxes, beside), draw(seed, boxes, beside));
        }
    }
    let bad = |line: &str| line.parse::<Fault>().unwrap_err();
    assert!(bad("crush at=1").contains("\"crush\" is no fault; there are crash, "));
    assert!(bad("crash at").contains("\"at\" is not NAME=NUMBER"));
    assert!(bad("crash at=x").contains("no whole number"));
    assert!(bad("crash when=1").contains("none of target"));
    assert!(bad("crash at=13000 len=2000").contains("after 14000 ms"));
}

#[test]
fn pairs_overlap_only_where_both_last() {
    let plan: Vec<Fault> = ["crash at=100 len=50", "hang at=149 len=9", "slow at=150 len=9"]
        .map(|l| l.parse().unwrap())
        .to_vec();
    assert_eq!(overlaps(&plan), [(Kind::Crash, Kind::Hang), (Kind::Hang, Kind::Slow)]);
}
