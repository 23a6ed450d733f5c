use super::*;

#[test]
fn all_metrics_exist_from_the_start_and_count_separately() {
    let metrics = Metrics::new(&["browse".into(), "send-message".into()]).unwrap();
    let text = metrics.text(StateMetrics::default()).unwrap();
    for class in ["browse", "send-message"] {
        for result in ["completed", "rejected", "failed"] {
            let line =
                format!("edge_router_downstream_requests_total{{lane=\"{class}\",result=\"{result}\"}} 0\n");
            assert!(text.contains(&line), "{text}");
        }
    }
    assert!(text.contains("# TYPE edge_router_downstream_requests_total counter\n"), "{text}");
    metrics.count_end(1, Ended::Rejected);
    metrics.count_end(7, Ended::Failed);
    metrics.count_attempt();
    let text = metrics
        .text(StateMetrics { pending: 3, members: 9, unavailable: 2, ..StateMetrics::default() })
        .unwrap();
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
fn durations_within_the_node_and_server_connection_closes_are_exported() {
    let metrics = Metrics::new(&["read".into()]).unwrap();
    metrics.observe_turn("list", Duration::from_millis(30));
    metrics.observe_queue_time(Duration::from_millis(2));
    metrics.count_server_close(ServerCloseReason::Retired);
    let text = metrics.text(StateMetrics::default()).unwrap();
    for line in [
        r#"edge_router_turn_seconds_bucket{input="list",le="0.02"} 0"#,
        r#"edge_router_turn_seconds_bucket{input="list",le="0.05"} 1"#,
        r#"edge_router_downstream_queue_seconds_bucket{le="0.005"} 1"#,
        r#"edge_router_upstream_connection_closes_total{reason="retired"} 1"#,
        r#"edge_router_upstream_connection_closes_total{reason="stale"} 0"#,
    ] {
        assert!(text.lines().any(|written| written == line), "no {line} in {text}");
    }
}
