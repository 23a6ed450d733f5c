use super::Line;

#[test]
fn points_of_a_line_give_that_line_and_leave_nothing() {
    let points = [50.0, 200.0, 500.0, 1500.0].map(|size| (size, 3.0 + 0.25 * size));
    let line = Line::through(&points).unwrap();
    assert!((line.intercept - 3.0).abs() < 1e-9);
    assert!((line.slope - 0.25).abs() < 1e-9);
    assert!(line.residuals.iter().all(|residual| residual.abs() < 1e-9));
    assert!((line.at(6300.0) - 1578.0).abs() < 1e-9);
}

#[test]
fn what_a_line_does_not_explain_is_left_over() {
    let line = Line::through(&[(0.0, 0.0), (1.0, 3.0), (2.0, 0.0)]).unwrap();
    assert!(line.slope.abs() < 1e-9);
    assert_eq!(line.residuals.iter().map(|r| r.round()).collect::<Vec<_>>(), [-1.0, 2.0, -1.0]);
}

#[test]
fn too_few_sizes_or_one_size_alone_have_no_line() {
    assert_eq!(Line::through(&[(1.0, 1.0), (2.0, 2.0)]), None);
    assert_eq!(Line::through(&[(1.0, 1.0), (1.0, 2.0), (1.0, 3.0)]), None);
}
