//! Checks a set of configurations together: the sidecars of one machine, or a whole fleet with its shared
//! tier.

use std::collections::BTreeMap;

use crate::app::{App, FileKind, Upstream};
use crate::code;
use crate::finding::Finding;
use crate::tree::Spanned;
use crate::units::format_size;

/// One file of the set.
pub struct Member<'a> {
    /// Name of the file, as messages show it.
    pub file: &'a str,
    /// The configuration.
    pub app: &'a App,
}

/// A finding, with the index of its file in the set.
pub type FleetFinding = (usize, Finding);

/// Runs all checks of a set.
pub fn check(set: &[Member<'_>]) -> Vec<FleetFinding> {
    let mut findings = Vec::new();
    check_listeners(set, &mut findings);
    check_machines(set, &mut findings);
    check_tiers(set, &mut findings);
    check_retries(set, &mut findings);
    findings
}

/// Returns the machine that a file belongs to; files without one are taken to share a machine.
fn machine_name(app: &App) -> &str {
    app.machine.as_ref().map_or("", |m| &m.name.value)
}

/// Checks that no two nodes listen at the same address or path.
fn check_listeners(set: &[Member<'_>], findings: &mut Vec<FleetFinding>) {
    let mut taken: BTreeMap<(&str, String), usize> = BTreeMap::new();
    for (index, Member { app, .. }) in set.iter().enumerate() {
        let listen = &app.listen;
        let listeners = [
            listen.address.as_ref().map(|a| (a.value.canonical(), a.span.clone())),
            listen.unix.as_ref().map(|u| (u.value.clone(), u.span.clone())),
        ];
        for (listener, span) in listeners.into_iter().flatten() {
            // Each machine has its own loopback addresses and paths; any other address is unique across
            // machines.
            let per_machine = listen.unix.is_some()
                || listen
                    .address
                    .as_ref()
                    .and_then(|a| a.value.address())
                    .is_none_or(|a| a.ip().is_loopback());
            let key = (if per_machine { machine_name(app) } else { "" }, listener.clone());
            match taken.get(&key) {
                Some(first) => {
                    let problem = format!("{listener} is taken by {}", set[*first].file);
                    findings.push((
                        index,
                        Finding::error(
                            code::DUPLICATE_LISTENER,
                            span,
                            problem,
                            code::DUPLICATE_LISTENER.fix(),
                        ),
                    ));
                }
                None => {
                    taken.insert(key, index);
                }
            }
        }
    }
}

/// Checks that the nodes of a machine fit into its memory and sockets.
fn check_machines(set: &[Member<'_>], findings: &mut Vec<FleetFinding>) {
    let mut by_machine: BTreeMap<&str, Vec<usize>> = BTreeMap::new();
    for (index, Member { app, .. }) in set.iter().enumerate() {
        if app.machine.is_some() {
            by_machine.entry(machine_name(app)).or_default().push(index);
        }
    }
    for (name, files) in by_machine {
        type MachineLimit<'a> = (
            fn(&App) -> Option<&Spanned<u64>>,
            fn(&App) -> &Spanned<u64>,
            code::Code,
            fn(u64) -> String,
            &'a str,
        );
        let limits: [MachineLimit<'_>; 2] = [
            (
                |a| a.machine.as_ref()?.memory.as_ref(),
                |a| &a.limits.memory,
                code::MACHINE_MEMORY_EXCEEDED,
                format_size,
                "memory",
            ),
            (
                |a| a.machine.as_ref()?.sockets.as_ref(),
                |a| &a.limits.sockets,
                code::MACHINE_SOCKETS_EXCEEDED,
                |n| n.to_string(),
                "sockets",
            ),
        ];
        for (limit_of, used_by, code, format, resource) in limits {
            let Some((index, available)) =
                files.iter().find_map(|index| Some((*index, limit_of(set[*index].app)?)))
            else {
                continue;
            };
            let sum =
                files.iter().fold(0u64, |sum, index| sum.saturating_add(used_by(set[*index].app).value));
            if sum > available.value {
                let problem = format!(
                    "the {} files of machine {name:?} take {} of {resource}, and it has {}",
                    files.len(),
                    format(sum),
                    format(available.value)
                );
                findings.push((index, Finding::error(code, available.span.clone(), problem, code.fix())));
            }
        }
    }
}

/// Checks that the nodes of a tier, which send requests to the same cache servers, agree with each other.
fn check_tiers(set: &[Member<'_>], findings: &mut Vec<FleetFinding>) {
    let mut tiers: BTreeMap<String, Vec<usize>> = BTreeMap::new();
    for (index, Member { app, .. }) in set.iter().enumerate() {
        if app.upstream.value == Upstream::CacheServers {
            // The origin identifies the tier, since its nodes share the origin's limits.
            let origin = app.origin.as_ref().and_then(|o| o.endpoint.as_ref()).map(|p| p.value.canonical());
            tiers.entry(origin.unwrap_or_default()).or_default().push(index);
        }
    }
    for files in tiers.values().filter(|f| f.len() > 1) {
        let first = set[files[0]].app;
        let mut by_index: BTreeMap<u64, usize> = BTreeMap::new();
        for index in files {
            let app = set[*index].app;
            if let Some(before) = by_index.insert(app.node_index.value, *index) {
                let problem = format!("number {} is that of {}, too", app.node_index.value, set[before].file);
                findings.push((
                    *index,
                    Finding::error(
                        code::DUPLICATE_NODE_INDEX,
                        app.node_index.span.clone(),
                        problem,
                        code::DUPLICATE_NODE_INDEX.fix(),
                    ),
                ));
            }
            check_same_settings(first, app, set[files[0]].file, *index, findings);
        }
        check_origin_shares(set, files, findings);
        check_peers(set, files, findings);
    }
}

/// Checks that two nodes of a tier agree in the settings that must be the same.
fn check_same_settings(first: &App, app: &App, file: &str, index: usize, findings: &mut Vec<FleetFinding>) {
    let mut report_difference = |setting: &str, a: String, b: String, span: &crate::tree::Span| {
        if a != b {
            let problem = format!("`{setting}` is {b} here and {a} in {file}");
            findings.push((
                index,
                Finding::error(
                    code::FLEET_SETTINGS_DIFFER,
                    span.clone(),
                    problem,
                    code::FLEET_SETTINGS_DIFFER.fix(),
                ),
            ));
        }
    };
    report_difference("nodes", first.nodes.value.to_string(), app.nodes.value.to_string(), &app.nodes.span);
    let (a, b) = (&first.cold, &app.cold);
    report_difference(
        "cold.sends_at",
        a.sends_at.value.to_string(),
        b.sends_at.value.to_string(),
        &b.sends_at.span,
    );
    report_difference(
        "cold.starts_at",
        a.starts_at.value.to_string(),
        b.starts_at.value.to_string(),
        &b.starts_at.span,
    );
    for class in &app.classes {
        let Some(other) = first.classes.iter().find(|c| c.name.value == class.name.value) else { continue };
        let path = |setting| format!("class.{}.{setting}", class.name.value);
        let (a, b) = (format!("{:?}", other.effect.value), format!("{:?}", class.effect.value));
        report_difference(&path("effect"), a.to_lowercase(), b.to_lowercase(), &class.effect.span);
    }
    if let (Some(a), Some(b)) = (&first.origin, &app.origin) {
        for (setting, a, b) in
            [("outstanding", &a.outstanding, &b.outstanding), ("per_s", &a.per_s, &b.per_s)]
        {
            if let (Some(a), Some(b)) = (a, b) {
                report_difference(
                    &format!("origin.{setting}"),
                    a.value.to_string(),
                    b.value.to_string(),
                    &b.span,
                );
            }
        }
    }
}

/// Checks the shares of the origin: each node takes the limit divided by the number of nodes that its file
/// states.
fn check_origin_shares(set: &[Member<'_>], files: &[usize], findings: &mut Vec<FleetFinding>) {
    type LimitOf = fn(&App) -> Option<&Spanned<f64>>;
    let limits: [(&str, LimitOf); 2] = [
        ("outstanding", |a| a.origin.as_ref()?.outstanding.as_ref()),
        ("per_s", |a| a.origin.as_ref()?.per_s.as_ref()),
    ];
    for (setting, limit_of) in limits {
        let shares = files
            .iter()
            .filter_map(|index| Some(limit_of(set[*index].app)?.value / set[*index].app.nodes.value as f64));
        let sum: f64 = shares.sum();
        let Some((index, limit)) = files.iter().find_map(|index| Some((*index, limit_of(set[*index].app)?)))
        else {
            continue;
        };
        if sum > limit.value * (1.0 + 1e-9) {
            let problem = format!(
                "the shares of {} files add up to {sum:.1} of origin.{setting}, and the limit is {}",
                files.len(),
                limit.value
            );
            findings.push((
                index,
                Finding::error(
                    code::ORIGIN_SHARES_EXCEEDED,
                    limit.span.clone(),
                    problem,
                    code::ORIGIN_SHARES_EXCEEDED.fix(),
                ),
            ));
        }
    }
}

/// Checks that nodes that name each other as peers do so in both directions.
fn check_peers(set: &[Member<'_>], files: &[usize], findings: &mut Vec<FleetFinding>) {
    let listeners: BTreeMap<String, usize> = files
        .iter()
        .filter_map(|index| Some((set[*index].app.peers.listen.as_ref()?.value.canonical(), *index)))
        .collect();
    let peer_endpoints: BTreeMap<usize, Vec<String>> = files
        .iter()
        .map(|index| (*index, set[*index].app.peers.nodes.iter().map(|p| p.value.canonical()).collect()))
        .collect();
    for index in files {
        let Some(own) = set[*index].app.peers.listen.as_ref().map(|p| p.value.canonical()) else { continue };
        for peer in &set[*index].app.peers.nodes {
            let Some(other) = listeners.get(&peer.value.canonical()).filter(|o| *o != index) else {
                continue;
            };
            if !peer_endpoints[other].contains(&own) {
                let problem =
                    format!("{} is named as a peer here, but does not name {own}", set[*other].file);
                let fix = code::ONE_SIDED_PEER.fix();
                findings
                    .push((*index, Finding::error(code::ONE_SIDED_PEER, peer.span.clone(), problem, fix)));
            }
        }
    }
}

/// Checks that retries of sidecars do not multiply with those of the tier that they send to.
fn check_retries(set: &[Member<'_>], findings: &mut Vec<FleetFinding>) {
    let tier = set
        .iter()
        .find(|m| m.app.kind == FileKind::Node && !m.app.sidecar && m.app.retries.attempts.value > 1);
    let Some(tier) = tier else { return };
    for (index, Member { app, .. }) in set.iter().enumerate() {
        let retries = &app.retries;
        if app.upstream.value == Upstream::Tier && (retries.budget.value > 0.0 || retries.copies.value) {
            let (own, theirs) = (retries.attempts.value, tier.app.retries.attempts.value);
            let problem = format!(
                "{own} attempts here and {theirs} in {} make {} at the boxes",
                tier.file,
                own * theirs
            );
            let span = if retries.budget.value > 0.0 { &retries.budget.span } else { &retries.copies.span };
            findings.push((
                index,
                Finding::error(
                    code::FLEET_RETRIES_MULTIPLY,
                    span.clone(),
                    problem,
                    code::FLEET_RETRIES_MULTIPLY.fix(),
                ),
            ));
        }
    }
}
