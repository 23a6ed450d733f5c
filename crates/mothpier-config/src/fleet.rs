//! A set of configurations together: the sidecars of one machine, or a whole fleet with its tier.

use std::collections::BTreeMap;

use crate::app::{App, Kind, Upstream};
use crate::code;
use crate::finding::Finding;
use crate::tree::At;
use crate::units::show_size;

/// One file of the set.
pub struct Member<'a> {
    /// Its name, as it is shown.
    pub file: &'a str,
    /// What it says.
    pub app: &'a App,
}

/// A finding in one file of the set, by its place there.
pub type Found = (usize, Finding);

/// All checks of a set.
pub fn check(set: &[Member<'_>]) -> Vec<Found> {
    let mut found = Vec::new();
    ports(set, &mut found);
    machines(set, &mut found);
    tiers(set, &mut found);
    retries(set, &mut found);
    found
}

/// The machine that a file is of; files that name none share one.
fn machine(app: &App) -> &str {
    app.machine.as_ref().map_or("", |m| &m.name.value)
}

fn ports(set: &[Member<'_>], found: &mut Vec<Found>) {
    let mut taken: BTreeMap<(&str, String), usize> = BTreeMap::new();
    for (at, Member { app, .. }) in set.iter().enumerate() {
        let listen = &app.listen;
        let places = [
            listen.address.as_ref().map(|a| (a.value.plain(), a.span.clone())),
            listen.unix.as_ref().map(|u| (u.value.clone(), u.span.clone())),
        ];
        for (place, span) in places.into_iter().flatten() {
            // An address of loopback is each machine's own; any other is one machine's alone.
            let local = listen.unix.is_some()
                || listen
                    .address
                    .as_ref()
                    .and_then(|a| a.value.address())
                    .is_none_or(|a| a.ip().is_loopback());
            let key = (if local { machine(app) } else { "" }, place.clone());
            match taken.get(&key) {
                Some(first) => {
                    let what = format!("{place} is taken by {}", set[*first].file);
                    found.push((at, Finding::error(code::PORT_TWICE, span, what, code::PORT_TWICE.mend())));
                }
                None => {
                    taken.insert(key, at);
                }
            }
        }
    }
}

fn machines(set: &[Member<'_>], found: &mut Vec<Found>) {
    let mut by: BTreeMap<&str, Vec<usize>> = BTreeMap::new();
    for (at, Member { app, .. }) in set.iter().enumerate() {
        if app.machine.is_some() {
            by.entry(machine(app)).or_default().push(at);
        }
    }
    for (name, files) in by {
        type Of<'a> =
            (fn(&App) -> Option<&At<u64>>, fn(&App) -> &At<u64>, code::Code, fn(u64) -> String, &'a str);
        let figures: [Of<'_>; 2] = [
            (
                |a| a.machine.as_ref()?.memory.as_ref(),
                |a| &a.limits.memory,
                code::MEMORY_SUM,
                show_size,
                "memory",
            ),
            (
                |a| a.machine.as_ref()?.sockets.as_ref(),
                |a| &a.limits.sockets,
                code::SOCKETS_SUM,
                |n| n.to_string(),
                "sockets",
            ),
        ];
        for (has, takes, code, show, what) in figures {
            let Some((at, has)) = files.iter().find_map(|at| Some((*at, has(set[*at].app)?))) else {
                continue;
            };
            let sum = files.iter().fold(0u64, |sum, at| sum.saturating_add(takes(set[*at].app).value));
            if sum > has.value {
                let what = format!(
                    "the {} files of machine {name:?} take {} of {what}, and it has {}",
                    files.len(),
                    show(sum),
                    show(has.value)
                );
                found.push((at, Finding::error(code, has.span.clone(), what, code.mend())));
            }
        }
    }
}

/// Files that hand on to the same boxes are one tier: they count each other.
fn tiers(set: &[Member<'_>], found: &mut Vec<Found>) {
    let mut tiers: BTreeMap<String, Vec<usize>> = BTreeMap::new();
    for (at, Member { app, .. }) in set.iter().enumerate() {
        if app.upstream.value == Upstream::Boxes {
            // Members of a tier are told by their origin: its cap is what they share.
            let origin = app.origin.as_ref().and_then(|o| o.place.as_ref()).map(|p| p.value.plain());
            tiers.entry(origin.unwrap_or_default()).or_default().push(at);
        }
    }
    for files in tiers.values().filter(|f| f.len() > 1) {
        let first = set[files[0]].app;
        let mut numbers: BTreeMap<u64, usize> = BTreeMap::new();
        for at in files {
            let app = set[*at].app;
            if let Some(before) = numbers.insert(app.me.value, *at) {
                let what = format!("number {} is that of {}, too", app.me.value, set[before].file);
                found.push((
                    *at,
                    Finding::error(code::NUMBER_TWICE, app.me.span.clone(), what, code::NUMBER_TWICE.mend()),
                ));
            }
            differs(first, app, set[files[0]].file, *at, found);
        }
        sums(set, files, found);
        peers(set, files, found);
    }
}

fn differs(first: &App, app: &App, file: &str, at: usize, found: &mut Vec<Found>) {
    let mut differ = |what: &str, a: String, b: String, span: &crate::tree::Span| {
        if a != b {
            let what = format!("`{what}` is {b} here and {a} in {file}");
            found.push((
                at,
                Finding::error(code::FLEET_DIFFERS, span.clone(), what, code::FLEET_DIFFERS.mend()),
            ));
        }
    };
    differ("nodes", first.nodes.value.to_string(), app.nodes.value.to_string(), &app.nodes.span);
    let (a, b) = (&first.cold, &app.cold);
    differ("cold.sends_at", a.sends_at.value.to_string(), b.sends_at.value.to_string(), &b.sends_at.span);
    differ("cold.starts_at", a.starts_at.value.to_string(), b.starts_at.value.to_string(), &b.starts_at.span);
    for class in &app.classes {
        let Some(other) = first.classes.iter().find(|c| c.name.value == class.name.value) else { continue };
        let name = |w| format!("class.{}.{w}", class.name.value);
        let (a, b) = (format!("{:?}", other.effect.value), format!("{:?}", class.effect.value));
        differ(&name("effect"), a.to_lowercase(), b.to_lowercase(), &class.effect.span);
    }
    if let (Some(a), Some(b)) = (&first.origin, &app.origin) {
        for (what, a, b) in [("outstanding", &a.outstanding, &b.outstanding), ("per_s", &a.per_s, &b.per_s)] {
            if let (Some(a), Some(b)) = (a, b) {
                differ(&format!("origin.{what}"), a.value.to_string(), b.value.to_string(), &b.span);
            }
        }
    }
}

/// Each node takes its part of the origin by the number of nodes that its file states.
fn sums(set: &[Member<'_>], files: &[usize], found: &mut Vec<Found>) {
    type Figure = fn(&App) -> Option<&At<f64>>;
    let figures: [(&str, Figure); 2] = [
        ("outstanding", |a| a.origin.as_ref()?.outstanding.as_ref()),
        ("per_s", |a| a.origin.as_ref()?.per_s.as_ref()),
    ];
    for (what, figure) in figures {
        let parts =
            files.iter().filter_map(|at| Some(figure(set[*at].app)?.value / set[*at].app.nodes.value as f64));
        let sum: f64 = parts.sum();
        let Some((at, most)) = files.iter().find_map(|at| Some((*at, figure(set[*at].app)?))) else {
            continue;
        };
        if sum > most.value * (1.0 + 1e-9) {
            let what = format!(
                "the parts of {} files come to {sum:.1} of origin.{what}, and it takes {}",
                files.len(),
                most.value
            );
            found.push((
                at,
                Finding::error(code::ORIGIN_SUM, most.span.clone(), what, code::ORIGIN_SUM.mend()),
            ));
        }
    }
}

fn peers(set: &[Member<'_>], files: &[usize], found: &mut Vec<Found>) {
    let listens: BTreeMap<String, usize> = files
        .iter()
        .filter_map(|at| Some((set[*at].app.peers.listen.as_ref()?.value.plain(), *at)))
        .collect();
    let names: BTreeMap<usize, Vec<String>> = files
        .iter()
        .map(|at| (*at, set[*at].app.peers.nodes.iter().map(|p| p.value.plain()).collect()))
        .collect();
    for at in files {
        let Some(own) = set[*at].app.peers.listen.as_ref().map(|p| p.value.plain()) else { continue };
        for peer in &set[*at].app.peers.nodes {
            let Some(other) = listens.get(&peer.value.plain()).filter(|o| *o != at) else { continue };
            if !names[other].contains(&own) {
                let what = format!("{} is named here, and does not name {own}", set[*other].file);
                let mend = code::PEER_ONE_SIDED.mend();
                found.push((*at, Finding::error(code::PEER_ONE_SIDED, peer.span.clone(), what, mend)));
            }
        }
    }
}

/// Sidecars that hand on to the tier, and the tier itself.
fn retries(set: &[Member<'_>], found: &mut Vec<Found>) {
    let tier =
        set.iter().find(|m| m.app.kind == Kind::Node && !m.app.sidecar && m.app.retries.attempts.value > 1);
    let Some(tier) = tier else { return };
    for (at, Member { app, .. }) in set.iter().enumerate() {
        let r = &app.retries;
        if app.upstream.value == Upstream::Tier && (r.budget.value > 0.0 || r.copies.value) {
            let (own, theirs) = (r.attempts.value, tier.app.retries.attempts.value);
            let what = format!(
                "{own} attempts here and {theirs} in {} make {} at the boxes",
                tier.file,
                own * theirs
            );
            let span = if r.budget.value > 0.0 { &r.budget.span } else { &r.copies.span };
            found.push((
                at,
                Finding::error(code::TIER_RETRIES, span.clone(), what, code::TIER_RETRIES.mend()),
            ));
        }
    }
}
