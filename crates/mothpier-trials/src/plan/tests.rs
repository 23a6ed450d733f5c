use super::*;

#[test]
fn a_seed_draws_the_same_trial_every_time_and_all_links_are_mended_in_it() {
    let size = Size { coordinators: 5, nodes: 4, contenders: 8, ms: 8000, ttl_ms: 1500 };
    let plan = Plan::draw(7, size);
    assert_eq!(plan, Plan::draw(7, size));
    assert_ne!(plan, Plan::draw(8, size));
    let (mut cut, mut mended) = (0, 0);
    for (_, fault) in &plan.faults {
        match fault {
            Fault::Links(_, Way::Open) | Fault::Link(_, _, Way::Open) => mended += 1,
            Fault::Links(..) | Fault::Link(..) => cut += 1,
            _ => {}
        }
    }
    assert_eq!(cut, mended);
    let text = serde_json::to_string(&plan).unwrap();
    assert_eq!(serde_json::from_str::<Plan>(&text).unwrap(), plan);
}
