//! Checks the listener, the tenant and the upstream, and that the node does not send requests to itself.

use crate::app::{App, FileKind, State, Upstream};
use crate::block::closest_match;
use crate::code;
use crate::endpoint::Host;
use crate::finding::Finding;

/// Longest path of a Unix socket in bytes (unix(7): 108 bytes with the terminating null byte).
const MAX_PATH_BYTES: usize = 107;

pub fn check(app: &App, findings: &mut Vec<Finding>) {
    let listen = &app.listen;
    if app.kind == FileKind::Application && listen.address.is_some() == listen.unix.is_some() {
        let problem = if listen.unix.is_some() {
            "there are two addresses to listen on"
        } else {
            "there is no address to listen on"
        };
        findings.push(Finding::error(
            code::LISTENER_COUNT,
            listen.span.clone(),
            problem,
            code::LISTENER_COUNT.fix(),
        ));
    }
    if let Some(address) = listen.address.as_ref().filter(|_| app.sidecar) {
        let endpoint = address.value.canonical();
        match &address.value.host {
            Host::Ip(ip) | Host::Name(_, Some(ip)) if ip.is_unspecified() => {
                let problem = format!("{endpoint} is every address of the machine");
                findings.push(Finding::error(
                    code::WILDCARD_LISTENER,
                    address.span.clone(),
                    problem,
                    code::WILDCARD_LISTENER.fix(),
                ));
            }
            Host::Ip(ip) | Host::Name(_, Some(ip)) if ip.is_loopback() => {}
            Host::Ip(_) | Host::Name(..) => {
                let problem = format!("{endpoint} is not a loopback address");
                findings.push(Finding::error(
                    code::LISTENER_NOT_LOOPBACK,
                    address.span.clone(),
                    problem,
                    code::LISTENER_NOT_LOOPBACK.fix(),
                ));
            }
        }
    }
    if let Some(path) = &listen.unix
        && (!path.value.starts_with('/') || path.value.len() > MAX_PATH_BYTES || path.value.contains('\0'))
    {
        let problem = format!("{:?} can't be bound", path.value);
        findings.push(Finding::error(
            code::INVALID_SOCKET_PATH,
            path.span.clone(),
            problem,
            code::INVALID_SOCKET_PATH.fix(),
        ));
    }
    if let Some(mode) = listen.mode.as_ref().filter(|m| m.value & 0o007 != 0) {
        let problem = format!("mode {:04o} lets every user of the machine connect", mode.value);
        findings.push(Finding::error(
            code::SOCKET_WORLD_ACCESSIBLE,
            mode.span.clone(),
            problem,
            code::SOCKET_WORLD_ACCESSIBLE.fix(),
        ));
    }
    check_self_reference(app, findings);
    check_tenant(app, findings);
    check_upstream(app, findings);
}

/// Checks that a sidecar follows the server list exactly if it sends requests to cache servers, and that a
/// sidecar of the shared tier names a ready node: the list contains cache servers, not nodes of the tier.
fn check_upstream(app: &App, findings: &mut Vec<Finding>) {
    if app.kind == FileKind::Node && !app.sidecar {
        return;
    }
    let tier = app.upstream.value == Upstream::Tier;
    match &app.discovery {
        Some(discovery) if tier => findings.push(
            Finding::error(
                code::TIER_UPSTREAM_CONFLICT,
                discovery.span.clone(),
                "the server list contains boxes, and requests go to the shared tier",
                "leave `discovery` out",
            )
            .with_related(app.upstream.span.clone(), "to the tier"),
        ),
        None if !tier => {
            let fix = "write `discovery { address = \"127.0.0.1:8500\" }`";
            findings.push(Finding::error(
                code::MISSING,
                app.listen.span.clone(),
                "there is no `discovery`",
                fix,
            ));
        }
        _ => {}
    }
    if tier && !app.servers.iter().any(|b| b.state.value == State::Ready) {
        let problem = "no ready node of the tier is named";
        let fix = "name each with `box`, its address and state \"ready\"";
        findings.push(Finding::error(code::TIER_UPSTREAM_CONFLICT, app.upstream.span.clone(), problem, fix));
    }
}

/// Reports other endpoints that equal the node's own listener.
fn check_self_reference(app: &App, findings: &mut Vec<Finding>) {
    let Some(own) = app.listen.address.as_ref() else { return };
    let own_endpoint = own.value.canonical();
    let servers = app.servers.iter().filter_map(|b| Some((b.endpoint.as_ref()?, "a box")));
    let discovery = app.discovery.iter().map(|d| (d, "discovery"));
    let origin = app.origin.iter().filter_map(|o| Some((o.endpoint.as_ref()?, "the origin")));
    let operator = app.operator.iter().map(|o| (o, "the operators' address"));
    for (other, role) in servers
        .chain(discovery)
        .chain(origin)
        .chain(operator)
        .filter(|(p, _)| p.value.canonical() == own_endpoint)
    {
        let problem = format!("{own_endpoint} is the node's own listener, and also {role}");
        findings.push(
            Finding::error(code::SELF_REFERENCE, other.span.clone(), problem, code::SELF_REFERENCE.fix())
                .with_related(own.span.clone(), "it listens here"),
        );
    }
}

/// Reports a tenant without a quota if other tenants have one.
fn check_tenant(app: &App, findings: &mut Vec<Finding>) {
    let Some(tenant) = &app.tenant else { return };
    if app.quotas.is_empty() || app.quotas.iter().any(|q| q.name.value == tenant.value) {
        return;
    }
    let problem = format!("tenant {:?} has no quota", tenant.value);
    let fix = match closest_match(&tenant.value, app.quotas.iter().map(|q| q.name.value.as_str())) {
        Some(suggestion) => format!("did you mean {suggestion:?}?"),
        None => format!("write `quota {:?} {{ per_s = … }}`", tenant.value),
    };
    findings.push(Finding::error(code::UNKNOWN_TENANT, tenant.span.clone(), problem, fix));
}
