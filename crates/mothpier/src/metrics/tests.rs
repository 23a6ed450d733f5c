use super::*;

#[test]
fn all_figures_stand_there_from_the_start_and_count_alone() {
    let figures = Metrics::new(&["browse".into(), "send-message".into()]).unwrap();
    let text = figures.text(StateMetrics::default()).unwrap();
    for class in ["browse", "send-message"] {
        for result in ["completed", "rejected", "failed"] {
            let line =
                format!("edge_router_downstream_requests_total{{lane=\"{class}\",result=\"{result}\"}} 0\n");
            assert!(text.contains(&line), "{text}");
        }
    }
    assert!(text.contains("# TYPE edge_router_downstream_requests_total counter\n"), "{text}");
    figures.ended(1, Ended::Rejected);
    figures.ended(7, Ended::Failed);
    figures.attempt();
    let text = figures.text(StateMetrics { pending: 3, members: 9, unavailable: 2 }).unwrap();
    for line in [
        "edge_router_downstream_requests_total{lane=\"send-message\",result=\"rejected\"} 1\n",
        "edge_router_upstream_requests_total 1\n",
        "edge_router_pending 3\n",
        "edge_router_members 9\n",
        "edge_router_members_unavailable 2\n",
    ] {
        assert!(text.contains(line), "{text}");
    }
    let unused = |name: &str| text.lines().filter(|l| l.starts_with(name) && l.ends_with("} 0")).count();
    assert_eq!(unused("edge_router_downstream_requests_total{"), 5, "{text}");
    assert_eq!(unused("edge_router_invariant_violations_total{"), Invariant::ALL.len(), "{text}");
    assert_eq!(unused("edge_router_downstream_connection_closes_total{"), CloseReason::ALL.len(), "{text}");
    assert_eq!(unused("edge_router_downstream_refusals_total{"), RefusalReason::ALL.len(), "{text}");
}

#[test]
fn times_within_the_node_and_closes_at_servers_are_told() {
    let figures = Metrics::new(&["read".into()]).unwrap();
    figures.turn("list", Duration::from_millis(30));
    figures.queued(Duration::from_millis(2));
    figures.server_closed(ServerCloseReason::Retired);
    let text = figures.text(StateMetrics::default()).unwrap();
    for line in [
        r#"edge_router_turn_seconds_bucket{input="list",le="0.02"} 0"#,
        r#"edge_router_turn_seconds_bucket{input="list",le="0.05"} 1"#,
        r#"edge_router_downstream_queue_seconds_bucket{le="0.005"} 1"#,
        r#"edge_router_upstream_connection_closes_total{reason="retired"} 1"#,
        r#"edge_router_upstream_connection_closes_total{reason="stale"} 0"#,
    ] {
        assert!(text.lines().any(|told| told == line), "no {line} in {text}");
    }
}
