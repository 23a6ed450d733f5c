//! Checks that memory, sockets and the origin suffice for the stated limits and traffic. The constants are
//! those that the node itself uses.

use crate::app::{App, Command};
use crate::code;
use crate::finding::Finding;
use crate::units::format_size;

/// File descriptors that a node reserves: listener, peers, discovery, runtime, files, standard streams.
pub const RESERVED_DESCRIPTORS: u64 = 20;
/// Smallest number of sockets with which a node starts.
pub const MIN_SOCKETS: u64 = 32;
/// Memory in bytes that an open request counts for, beside its value: half of the largest answer.
pub const REQUEST_BYTES: u64 = 32 * 1024;
/// Memory of an idle client connection in bytes.
pub const CONNECTION_BYTES: u64 = 4_608;
/// Smallest share of the origin's concurrent calls per node; with less, a call may wait long for its turn.
const MIN_ORIGIN_SHARE: f64 = 0.1;

pub fn check(app: &App, findings: &mut Vec<Finding>) {
    let limits = &app.limits;
    if limits.sockets.value < MIN_SOCKETS {
        let problem = format!("{} sockets are too few to work with", limits.sockets.value);
        findings.push(Finding::error(
            code::SOCKETS_BELOW_MINIMUM,
            limits.sockets.span.clone(),
            problem,
            "give it at least 64",
        ));
    } else if let Some(connections) = &limits.connections {
        // Half is for clients and half for cache servers and the origin, so that neither can starve the
        // other.
        let client_sockets = (limits.sockets.value - RESERVED_DESCRIPTORS) / 2;
        if connections.value > client_sockets {
            let problem = format!(
                "{} sockets leave {client_sockets} for clients, and {} connections are stated",
                limits.sockets.value, connections.value
            );
            let fix = format!("set `sockets` to {} or more", connections.value * 2 + RESERVED_DESCRIPTORS);
            findings.push(
                Finding::error(code::SOCKETS_BELOW_CONNECTIONS, limits.sockets.span.clone(), problem, fix)
                    .with_related(connections.span.clone(), "the stated connections"),
            );
        }
    }
    check_memory(app, findings);
    let Some(traffic) = &app.traffic else { return };
    if let Some(quota) =
        app.quotas.iter().find(|q| app.tenant.as_ref().is_some_and(|t| t.value == q.name.value))
    {
        let fleet_per_s = traffic.per_s.value * app.nodes.value as f64;
        if fleet_per_s > quota.per_s.value {
            let problem = format!(
                "{} nodes send {fleet_per_s:.0} requests per second, and the quota is {}",
                app.nodes.value, quota.per_s.value
            );
            findings.push(
                Finding::warning(
                    code::QUOTA_BELOW_TRAFFIC,
                    quota.per_s.span.clone(),
                    problem,
                    code::QUOTA_BELOW_TRAFFIC.fix(),
                )
                .with_related(traffic.per_s.span.clone(), "of one node"),
            );
        }
    }
    check_origin(app, findings);
}

/// Checks that half of the memory holds the open requests, and the other half the connections.
fn check_memory(app: &App, findings: &mut Vec<Finding>) {
    let limits = &app.limits;
    let connections = limits.connections.as_ref().map_or(limits.sockets.value / 2, |c| c.value);
    let (requests, idle) =
        (limits.open.value.saturating_mul(REQUEST_BYTES), connections.saturating_mul(CONNECTION_BYTES));
    let half = limits.memory.value / 2;
    let too_small = app.sidecar && (requests > half || idle > half);
    if too_small {
        let problem = if requests > half {
            format!(
                "{} open requests may need {}, and half of the memory is {}",
                limits.open.value,
                format_size(requests),
                format_size(half)
            )
        } else {
            format!(
                "{connections} connections need {} at rest, and half of the memory is {}",
                format_size(idle),
                format_size(half)
            )
        };
        let needed = (requests.max(idle).saturating_mul(2)).div_ceil(1 << 20) << 20;
        let fix = format!("set `memory` to {} or more", format_size(needed));
        findings.push(
            Finding::error(code::MEMORY_TOO_SMALL, limits.memory.span.clone(), problem, fix)
                .with_related(limits.open.span.clone(), "open requests"),
        );
    }
}

/// Checks the origin's limits against the number of nodes and the stated traffic.
fn check_origin(app: &App, findings: &mut Vec<Finding>) {
    let (Some(origin), Some(traffic)) = (&app.origin, &app.traffic) else { return };
    let nodes = app.nodes.value as f64;
    if let Some(outstanding) = origin.outstanding.as_ref().filter(|o| o.value / nodes < MIN_ORIGIN_SHARE) {
        let problem = format!(
            "{} calls for {} nodes: one node may call in {:.1} % of the time",
            outstanding.value,
            app.nodes.value,
            outstanding.value / nodes * 100.0
        );
        findings.push(
            Finding::warning(
                code::ORIGIN_SHARE_TOO_SMALL,
                outstanding.span.clone(),
                problem,
                code::ORIGIN_SHARE_TOO_SMALL.fix(),
            )
            .with_related(app.nodes.span.clone(), "the number of nodes"),
        );
    }
    let writes = if app.classes.iter().any(|c| c.command.as_ref().is_some_and(|c| c.value == Command::Write))
    {
        traffic.writes.value
    } else {
        0.0
    };
    let calls = traffic.per_s.value * nodes * (writes + (1.0 - writes) * traffic.misses.value);
    if let Some(per_s) = origin.per_s.as_ref().filter(|p| calls > p.value) {
        let problem = format!(
            "misses and writes add up to {calls:.0} calls per second, and the origin takes {}",
            per_s.value
        );
        findings.push(
            Finding::error(
                code::TRAFFIC_ABOVE_ORIGIN_LIMIT,
                per_s.span.clone(),
                problem,
                code::TRAFFIC_ABOVE_ORIGIN_LIMIT.fix(),
            )
            .with_related(traffic.per_s.span.clone(), "of one node"),
        );
    }
}
