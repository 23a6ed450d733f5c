use super::{Fit, Form, Point};

fn points(value: impl Fn(f64, f64) -> f64) -> Vec<Point> {
    let sizes = [(100.0, 50.0), (300.0, 50.0), (300.0, 200.0), (1000.0, 200.0), (1000.0, 500.0)];
    sizes.map(|(nodes, servers)| Point { nodes, servers, value: value(nodes, servers) }).to_vec()
}

#[test]
fn a_sum_is_found_with_its_slopes() {
    let fit = Fit::of(&points(|n, m| 3.0 + 0.5 * n + 2.0 * m)).expect("enough sizes");
    assert_eq!(fit.form, Form::Sum);
    for (found, true_one) in fit.coefficients.iter().zip([3.0, 0.5, 2.0]) {
        assert!((found - true_one).abs() < 1e-6, "{found} for {true_one}");
    }
    assert!(fit.residual < 1e-6);
}

#[test]
fn a_product_is_told_from_a_sum() {
    let fit = Fit::of(&points(|n, m| 1.0 + 0.1 * n + 0.01 * n * m)).expect("enough sizes");
    assert_eq!(fit.form, Form::Product);
    let large = Point { nodes: 6300.0, servers: 1500.0, value: 0.0 };
    assert!((fit.at(&large) - (1.0 + 630.0 + 94_500.0)).abs() < 1e-3);
}

#[test]
fn one_number_of_servers_leaves_a_slope_by_nodes() {
    let of_nodes: Vec<Point> =
        [10.0, 20.0, 40.0].map(|nodes| Point { nodes, servers: 5.0, value: 2.0 * nodes + 1.0 }).to_vec();
    let fit = Fit::of(&of_nodes).expect("enough sizes");
    assert!((fit.at(&Point { nodes: 100.0, servers: 5.0, value: 0.0 }) - 201.0).abs() < 1e-3);
}
