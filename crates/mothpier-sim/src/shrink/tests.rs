use super::*;

#[test]
fn a_kept_run_is_read_as_it_was_written_and_bad_lines_are_named() {
    for plant in Mutation::ALL {
        let (boxes, beside) = (Boxes::Through, Beside::Both);
        let faults = crate::plan::draw(7, boxes, beside);
        let (boxes, beside) = (Some(boxes), Some(beside));
        let kept = Kept { seed: 7, plant: Some(plant), boxes, beside, faults: Some(faults) };
        assert_eq!(Kept::parse(&kept.text("two\nlines")), Ok(kept));
    }
    let (boxes, beside) = (Some(Boxes::Plain), Some(Beside::Nothing));
    let none = Kept { seed: 1, boxes, beside, faults: Some(Vec::new()), ..Kept::default() };
    assert_eq!(Kept::parse(&none.text("")), Ok(none));
    assert_eq!(Kept::parse("").unwrap_err(), "no line \"seed NUMBER\"");
    assert!(
        Kept::parse("seed 1\nfault crush at=1").unwrap_err().starts_with("line 2: \"crush\" is no fault")
    );
    assert!(Kept::parse("seed x").unwrap_err().starts_with("line 1: a seed"));
    assert!(Kept::parse("plant nothing").unwrap_err().contains("there are reset-never-ran"));
    assert!(Kept::parse("sow 1").unwrap_err().contains("none of seed"));
}
