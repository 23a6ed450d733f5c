//! A fleet on one screen, in words.

use std::collections::{BTreeMap, BTreeSet};

use mothpier_coordination::fleet::Fleet;
use mothpier_coordination::fleet::messages::{Kind, Stage, Subject};

/// Names in one line.
const NAMED: usize = 6;

fn named<'a>(all: impl Iterator<Item = &'a str>) -> String {
    let all: Vec<&str> = all.collect();
    let more = all.len().saturating_sub(NAMED);
    let shown = all.iter().take(NAMED).copied().collect::<Vec<_>>().join(", ");
    if more > 0 { format!("{shown} and {more} more") } else { shown }
}

/// How long ago that was, by this machine's wall clock and the one that wrote it down.
fn ago(at_ms: u64, now_ms: u64) -> String {
    if at_ms == 0 {
        return String::new();
    }
    let seconds = now_ms.saturating_sub(at_ms) / 1000;
    format!(", {} ago", humantime::format_duration(std::time::Duration::from_secs(seconds)))
}

fn kind(fleet: &Fleet, kind: Kind) -> String {
    let out = fleet.out(kind);
    let zones: BTreeMap<&str, (usize, usize)> = match kind {
        Kind::Node => {
            count(fleet.nodes.iter().map(|(id, n)| (n.zone.as_str(), out.contains_key(id.as_str()))))
        }
        Kind::Server => {
            count(fleet.servers.iter().map(|(id, s)| (s.zone.as_str(), out.contains_key(id.as_str()))))
        }
    };
    let total: usize = zones.values().map(|(all, _)| all).sum();
    let most = match kind {
        Kind::Node => fleet.limits.nodes.out_most,
        Kind::Server => fleet.limits.servers.out_most,
    };
    let mut text = format!(
        "{}: {} of {total} in service, {} not (at most {most})",
        kind.names(),
        total - out.len(),
        out.len()
    );
    if zones.len() > 1 {
        let each = zones.iter().map(|(zone, (all, out))| format!("{zone} {} of {all}", all - out));
        text += &format!("; by zone: {}", each.collect::<Vec<_>>().join(", "));
    }
    text.push('\n');
    let drained: BTreeSet<&str> =
        fleet.drains.values().filter(|d| d.subject.kind == kind).map(|d| d.subject.id.as_str()).collect();
    for (id, why) in out.iter().filter(|(id, _)| !drained.contains(*id)) {
        text += &format!("  {id}: {why}, nobody has asked for it\n");
    }
    text
}

fn count<'a>(all: impl Iterator<Item = (&'a str, bool)>) -> BTreeMap<&'a str, (usize, usize)> {
    let mut zones: BTreeMap<&str, (usize, usize)> = BTreeMap::new();
    for (zone, out) in all {
        let (total, gone) = zones.entry(zone).or_default();
        (*total, *gone) = (*total + 1, *gone + usize::from(out));
    }
    zones
}

/// What a drain waits for.
pub fn waits(fleet: &Fleet, number: u64) -> String {
    let Some(drain) = fleet.drains.get(&number) else { return "ended".into() };
    match drain.stage {
        _ if drain.back.is_some() => "waits to come back: too many are cold".into(),
        Stage::Asked => match (&fleet.halt, fleet.blocking_limit(&drain.subject)) {
            (Some(halt), _) => format!("halted by {}: {}", halt.note.by, halt.note.reason),
            (None, Some(blocked)) => blocked.to_string(),
            (None, None) => "about to be granted".into(),
        },
        Stage::Leaving => {
            let all = fleet.awaited_nodes(drain);
            let silent = |name: &&String| fleet.nodes.get(*name).is_some_and(|n| n.session.is_none());
            let gone = named(all.iter().filter(silent).map(String::as_str));
            let waits = named(all.iter().filter(|n| !silent(n)).map(String::as_str));
            let mut parts = Vec::new();
            if !waits.is_empty() {
                parts.push(format!("waits for {waits}"));
            }
            if !gone.is_empty() {
                parts.push(format!("out of reach, and may still send: {gone}"));
            }
            parts.join("; ")
        }
        Stage::Out => if drain.overdue { "overdue" } else { "nobody sends it anything" }.into(),
        Stage::Returning => "may serve again".into(),
        Stage::Cold => "serves, and is cold".into(),
    }
}

/// The whole on one screen.
pub fn status(fleet: &Fleet, now_ms: u64) -> String {
    let mut text = String::new();
    if let Some(halt) = &fleet.halt {
        let when = ago(halt.note.at_ms, now_ms);
        text += &format!("HALTED by {}{when}: {}\n", halt.note.by, halt.note.reason);
        text += if halt.by_itself && fleet.limits.calm_ms.is_some() {
            "  nothing goes out; it ends after a calm, or by `fleet resume`\n"
        } else {
            "  nothing goes out until `fleet resume`\n"
        };
    }
    text += &kind(fleet, Kind::Node);
    text += &kind(fleet, Kind::Server);
    if fleet.drains.is_empty() {
        return text + "no drains\n";
    }
    for (number, d) in &fleet.drains {
        let forced = if d.force { ", past the limits" } else { "" };
        let when = ago(d.note.at_ms, now_ms);
        text += &format!(
            "drain {number}  {}  {}{forced}  by {}{when}: {}\n",
            d.subject,
            d.stage.name(),
            d.note.by,
            d.note.reason
        );
        text += &format!("  {}\n", waits(fleet, *number));
    }
    text
}

/// What would be granted now, and what holds the rest up.
pub fn plan(fleet: &Fleet) -> String {
    let mut text = String::new();
    if fleet.halt.is_some() {
        text += "halted: nothing would be granted\n";
    }
    let asked = fleet.drains.iter().filter(|(_, d)| d.stage == Stage::Asked);
    for (place, (number, drain)) in asked.enumerate() {
        text += &format!("{}. drain {number}, {}: {}\n", place + 1, drain.subject, waits(fleet, *number));
    }
    let nodes = fleet.nodes.keys().map(|id| Subject::node(id));
    for subject in nodes.chain(fleet.servers.keys().map(|id| Subject::server(id))) {
        if fleet.drain_of(&subject).is_some() || fleet.halt.is_some() {
            continue;
        }
        text += &match fleet.blocking_limit(&subject) {
            None => format!("{subject}: would be granted\n"),
            Some(blocked) => format!("{subject}: no: {blocked}\n"),
        };
    }
    text
}

/// What happened, the latest last.
pub fn history(fleet: &Fleet) -> String {
    let line = |e: &mothpier_coordination::fleet::Event| {
        let what = e.subject.as_ref().map_or_else(|| e.what.clone(), |s| format!("{s}: {}", e.what));
        let Some(note) = &e.note else { return format!("{:20}  {what}\n", "") };
        let at = std::time::UNIX_EPOCH + std::time::Duration::from_millis(note.at_ms);
        format!("{:20}  {what}, by {}: {}\n", humantime::format_rfc3339_seconds(at), note.by, note.reason)
    };
    let lines: String = fleet.events.iter().map(line).collect();
    if lines.is_empty() { "nothing has happened\n".into() } else { lines }
}
