//! Where a node listens, for whom, and that it does not talk to itself.

use crate::app::{App, Kind, State, Upstream};
use crate::code;
use crate::finding::Finding;
use crate::place::Host;
use crate::take::like;

/// The longest path of a Unix socket (unix(7): 108 bytes with the end mark).
const LONGEST_PATH: usize = 107;

pub fn check(app: &App, found: &mut Vec<Finding>) {
    let l = &app.listen;
    if app.kind == Kind::Application && l.address.is_some() == l.unix.is_some() {
        let what = if l.unix.is_some() {
            "there are two places to listen at"
        } else {
            "there is no place to listen at"
        };
        found.push(Finding::error(code::LISTEN_ONE, l.span.clone(), what, code::LISTEN_ONE.mend()));
    }
    if let Some(address) = l.address.as_ref().filter(|_| app.sidecar) {
        let shown = address.value.plain();
        match &address.value.host {
            Host::Ip(ip) | Host::Name(_, Some(ip)) if ip.is_unspecified() => {
                let what = format!("{shown} is every address of the machine");
                found.push(Finding::error(code::WILDCARD, address.span.clone(), what, code::WILDCARD.mend()));
            }
            Host::Ip(ip) | Host::Name(_, Some(ip)) if ip.is_loopback() => {}
            Host::Ip(_) | Host::Name(..) => {
                let what = format!("{shown} is no address of loopback");
                found.push(Finding::error(
                    code::NOT_LOOPBACK,
                    address.span.clone(),
                    what,
                    code::NOT_LOOPBACK.mend(),
                ));
            }
        }
    }
    if let Some(path) = &l.unix
        && (!path.value.starts_with('/') || path.value.len() > LONGEST_PATH || path.value.contains('\0'))
    {
        let what = format!("{:?} can't be bound", path.value);
        found.push(Finding::error(code::UNIX_PATH, path.span.clone(), what, code::UNIX_PATH.mend()));
    }
    if let Some(mode) = l.mode.as_ref().filter(|m| m.value & 0o007 != 0) {
        let what = format!("mode {:04o} lets every user of the machine connect", mode.value);
        found.push(Finding::error(code::SOCKET_OPEN, mode.span.clone(), what, code::SOCKET_OPEN.mend()));
    }
    itself(app, found);
    tenant(app, found);
    upstream(app, found);
}

/// The list names boxes: a sidecar of the tier has no use for it, and one of the boxes needs it.
fn upstream(app: &App, found: &mut Vec<Finding>) {
    if app.kind == Kind::Node && !app.sidecar {
        return;
    }
    let tier = app.upstream.value == Upstream::Tier;
    match &app.discovery {
        Some(discovery) if tier => found.push(
            Finding::error(
                code::TIER_LIST,
                discovery.span.clone(),
                "the list names boxes, and requests go to the shared tier",
                "leave `discovery` out",
            )
            .with(app.upstream.span.clone(), "to the tier"),
        ),
        None if !tier => {
            let mend = "write `discovery { address = \"127.0.0.1:8500\" }`";
            found.push(Finding::error(
                code::MISSING,
                app.listen.span.clone(),
                "there is no `discovery`",
                mend,
            ));
        }
        _ => {}
    }
    if tier && !app.boxes.iter().any(|b| b.state.value == State::Ready) {
        let what = "no node of the tier is named that is ready";
        let mend = "name each with `box`, its address and state \"ready\"";
        found.push(Finding::error(code::TIER_LIST, app.upstream.span.clone(), what, mend));
    }
}

fn itself(app: &App, found: &mut Vec<Finding>) {
    let Some(own) = app.listen.address.as_ref() else { return };
    let plain = own.value.plain();
    let boxes = app.boxes.iter().filter_map(|b| Some((b.place.as_ref()?, "a box")));
    let discovery = app.discovery.iter().map(|d| (d, "discovery"));
    let origin = app.origin.iter().filter_map(|o| Some((o.place.as_ref()?, "the origin")));
    let operator = app.operator.iter().map(|o| (o, "where its operators call"));
    for (other, what) in
        boxes.chain(discovery).chain(origin).chain(operator).filter(|(p, _)| p.value.plain() == plain)
    {
        let what = format!("{plain} is where the node listens, and {what}");
        found.push(
            Finding::error(code::TALKS_TO_ITSELF, other.span.clone(), what, code::TALKS_TO_ITSELF.mend())
                .with(own.span.clone(), "it listens here"),
        );
    }
}

fn tenant(app: &App, found: &mut Vec<Finding>) {
    let Some(tenant) = &app.tenant else { return };
    if app.quotas.is_empty() || app.quotas.iter().any(|q| q.name.value == tenant.value) {
        return;
    }
    let what = format!("tenant {:?} has no quota", tenant.value);
    let mend = match like(&tenant.value, app.quotas.iter().map(|q| q.name.value.as_str())) {
        Some(alike) => format!("did you mean {alike:?}?"),
        None => format!("write `quota {:?} {{ per_s = … }}`", tenant.value),
    };
    found.push(Finding::error(code::TENANT_UNKNOWN, tenant.span.clone(), what, mend));
}
