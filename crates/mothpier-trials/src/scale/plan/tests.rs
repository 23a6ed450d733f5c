use super::{CUT_REGION, Plan, Size};

const SIZE: Size = Size { nodes: 60, servers: 12, region_nodes: 7, region_servers: 3, starts_per_s: 400 };

#[test]
fn a_seed_draws_one_plan_and_seeds_differ() {
    assert_eq!(Plan::draw(4, SIZE), Plan::draw(4, SIZE));
    assert_ne!(Plan::draw(4, SIZE), Plan::draw(5, SIZE));
}

#[test]
fn the_cut_region_has_as_many_as_stated() {
    let plan = Plan::draw(1, SIZE);
    assert_eq!(plan.nodes.iter().filter(|n| n.region == CUT_REGION).count(), SIZE.region_nodes);
    assert_eq!(plan.nodes_in_cut(true).count(), SIZE.region_nodes);
    assert_eq!(plan.nodes_in_cut(false).count(), SIZE.nodes - SIZE.region_nodes);
    let of_region = plan.servers().iter().filter(|s| s.zone == "region-0").count();
    assert_eq!(of_region, SIZE.region_servers);
}
