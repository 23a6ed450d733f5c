//! Memory, sockets and traffic against what they must hold. The figures are those that the node itself reckons with.

use crate::app::{App, Command};
use crate::code;
use crate::finding::Finding;
use crate::units::show_size;

/// Descriptors that a node keeps for itself: listener, peers, discovery, runtime, files, standard streams.
pub const OWN_SOCKETS: u64 = 20;
/// With fewer a node does not start.
pub const LEAST_SOCKETS: u64 = 32;
/// Memory that an open request counts for, beside its value: half of the largest answer.
pub const REQUEST_BYTES: u64 = 32 * 1024;
/// Memory of an idle client connection, as measured.
pub const CONNECTION_BYTES: u64 = 4_608;
/// A share of a call that comes in fewer turns than this is a long wait.
const LEAST_SHARE: f64 = 0.1;

pub fn check(app: &App, found: &mut Vec<Finding>) {
    let l = &app.limits;
    if l.sockets.value < LEAST_SOCKETS {
        let what = format!("{} sockets are too few to work with", l.sockets.value);
        found.push(Finding::error(
            code::TOO_FEW_SOCKETS,
            l.sockets.span.clone(),
            what,
            "give it 64 at the least",
        ));
    } else if let Some(connections) = &l.connections {
        // Half for clients, half for boxes and the origin: neither can leave the other without.
        let room = (l.sockets.value - OWN_SOCKETS) / 2;
        if connections.value > room {
            let what = format!(
                "{} sockets leave {room} for clients, and {} connections are stated",
                l.sockets.value, connections.value
            );
            let mend = format!("set `sockets` to {} or more", connections.value * 2 + OWN_SOCKETS);
            found.push(
                Finding::error(code::FEW_SOCKETS, l.sockets.span.clone(), what, mend)
                    .with(connections.span.clone(), "so many connections"),
            );
        }
    }
    memory(app, found);
    let Some(traffic) = &app.traffic else { return };
    if let Some(quota) =
        app.quotas.iter().find(|q| app.tenant.as_ref().is_some_and(|t| t.value == q.name.value))
    {
        let all = traffic.per_s.value * app.nodes.value as f64;
        if all > quota.per_s.value {
            let what = format!(
                "{} nodes send {all:.0} requests a second, and the quota is {}",
                app.nodes.value, quota.per_s.value
            );
            found.push(
                Finding::warning(
                    code::QUOTA_BELOW_TRAFFIC,
                    quota.per_s.span.clone(),
                    what,
                    code::QUOTA_BELOW_TRAFFIC.mend(),
                )
                .with(traffic.per_s.span.clone(), "of one node"),
            );
        }
    }
    origin(app, found);
}

fn memory(app: &App, found: &mut Vec<Finding>) {
    let l = &app.limits;
    // Half of the memory is for open requests; the other half must hold the connections.
    let connections = l.connections.as_ref().map_or(l.sockets.value / 2, |c| c.value);
    let (requests, idle) =
        (l.open.value.saturating_mul(REQUEST_BYTES), connections.saturating_mul(CONNECTION_BYTES));
    let half = l.memory.value / 2;
    let stated = app.sidecar && (requests > half || idle > half);
    if stated {
        let what = if requests > half {
            format!(
                "{} open requests may need {}, and half of the memory is {}",
                l.open.value,
                show_size(requests),
                show_size(half)
            )
        } else {
            format!(
                "{connections} connections need {} at rest, and half of the memory is {}",
                show_size(idle),
                show_size(half)
            )
        };
        let needed = (requests.max(idle).saturating_mul(2)).div_ceil(1 << 20) << 20;
        let mend = format!("set `memory` to {} or more", show_size(needed));
        found.push(
            Finding::error(code::LITTLE_MEMORY, l.memory.span.clone(), what, mend)
                .with(l.open.span.clone(), "open requests"),
        );
    }
}

fn origin(app: &App, found: &mut Vec<Finding>) {
    let (Some(origin), Some(traffic)) = (&app.origin, &app.traffic) else { return };
    let nodes = app.nodes.value as f64;
    if let Some(outstanding) = origin.outstanding.as_ref().filter(|o| o.value / nodes < LEAST_SHARE) {
        let what = format!(
            "{} calls for {} nodes: one node may call in {:.1} % of the time",
            outstanding.value,
            app.nodes.value,
            outstanding.value / nodes * 100.0
        );
        found.push(
            Finding::warning(code::SHARE_SMALL, outstanding.span.clone(), what, code::SHARE_SMALL.mend())
                .with(app.nodes.span.clone(), "so many nodes"),
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
        let what = format!(
            "misses and writes come to {calls:.0} calls a second, and the origin takes {}",
            per_s.value
        );
        found.push(
            Finding::error(code::ORIGIN_TOO_LITTLE, per_s.span.clone(), what, code::ORIGIN_TOO_LITTLE.mend())
                .with(traffic.per_s.span.clone(), "of one node"),
        );
    }
}
