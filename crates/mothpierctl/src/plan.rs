//! `plan`: where keys go and what each box, the origin and this node get. The decision module itself is played, with the
//! settings that the node would be started with.

use std::collections::BTreeMap;
use std::path::{Path, PathBuf};

use brassrouter::settings::server_number;
use brassrouter::{Action, Event, ListKind, Outcome, Policy, Request, ServerEntry, Status};
use mothpier::config::{self, Precedence};
use mothpier_config::app::{Command, DEFAULT_SERVER_PORT};
use mothpier_config::endpoint::Endpoint;
use mothpier_config::render::render;
use mothpier_config::{App, Hosts};
use serde::Deserialize;
use serde_json::json;

use crate::{FOUND, GOOD, check, files, print, show};

/// What is asked.
pub struct Asked {
    /// The application's file.
    pub file: PathBuf,
    /// The list of boxes.
    pub boxes: PathBuf,
    /// Requests a second of one sidecar.
    pub per_s: Option<f64>,
    /// Keys that are played.
    pub keys: u32,
    /// Boxes that have just started.
    pub cold: Vec<String>,
}

#[derive(Deserialize)]
struct List {
    members: Vec<Line>,
}

#[derive(Deserialize)]
struct Line {
    id: String,
    #[serde(default)]
    host_port: String,
    #[serde(default)]
    flavor: String,
    #[serde(default)]
    phase: String,
}

/// The list: discovery's JSON, or lines of ID ADDRESS [KIND].
fn list(path: &Path, hosts: &Hosts) -> Result<Vec<Line>, String> {
    let (bytes, _) = files::bytes(path)?;
    let name = path.display();
    let text = String::from_utf8(bytes).map_err(|_| format!("{name} is not UTF-8"))?;
    if text.trim_start().starts_with('{') {
        let list: List = serde_json::from_str(&text).map_err(|e| format!("{name}: {e}"))?;
        return Ok(list.members);
    }
    let mut lines = Vec::new();
    for (at, line) in text.lines().enumerate() {
        let words: Vec<&str> = line.split('#').next().unwrap_or_default().split_whitespace().collect();
        let (id, address, kind) = match words[..] {
            [] => continue,
            [id, address] => (id, address, ""),
            [id, address, kind] => (id, address, kind),
            _ => return Err(format!("{name}:{}: write ID ADDRESS [KIND]", at + 1)),
        };
        Endpoint::parse(address, Some(DEFAULT_SERVER_PORT), hosts)
            .map_err(|e| format!("{name}:{}: {address:?}: {e}", at + 1))?;
        lines.push(Line {
            id: id.into(),
            host_port: address.into(),
            flavor: kind.into(),
            phase: "ready".into(),
        });
    }
    Ok(lines)
}

/// What one box gets.
#[derive(Default)]
struct Gets {
    address: String,
    keys: u32,
}

/// A clock value to begin with: boxes that started at 0 are warm.
const START_US: u64 = 1_000_000_000_000;
/// Between two keys: a pace at which nothing is over its bound.
const STEP_US: u64 = 5_000;

/// Plays each key once: the first box that the module sends it to.
fn play(text: &str, lines: &[Line], asked: &Asked) -> Result<BTreeMap<String, Gets>, String> {
    let config = config::parse(text.as_bytes(), &|_| None, Precedence::File)?;
    let site = config.site;
    let origin = site.policy.origin_kind.and_then(|k| site.kinds.get(usize::from(k)).cloned());
    let class = site.policy.classes.iter().position(|c| c.effect == brassrouter::Effect::Safe).unwrap_or(0);
    let mut gets = BTreeMap::new();
    let (mut servers, mut ids) = (Vec::new(), BTreeMap::new());
    for line in lines
        .iter()
        .filter(|l| Some(&l.flavor) != origin.as_ref() && (l.phase.is_empty() || l.phase == "ready"))
    {
        let id = server_number(&line.id, 0);
        let kind = site.kinds.iter().position(|k| *k == line.flavor).unwrap_or(0) as u16;
        let started = if asked.cold.contains(&line.id) { START_US } else { 0 };
        servers.push(ServerEntry { id, kind, started, ..ServerEntry::default() });
        ids.insert(id, line.id.clone());
        gets.insert(line.id.clone(), Gets { address: line.host_port.clone(), keys: 0 });
    }
    let mut policy = Policy::new(site.policy.clone(), 1);
    let (mut now, mut actions) = (START_US, Vec::new());
    policy.handle(now, Event::ServerList { kind: ListKind::Full, servers }, &mut actions);
    for key in 1..=u64::from(asked.keys) {
        now += STEP_US;
        actions.clear();
        // Spread as the node's own hash spreads keys: each number stands for a key.
        let spread = key.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1;
        let request = Request { id: key, class, key: spread, time_left: 1_000_000, ..Request::default() };
        policy.handle(now, Event::Request(request), &mut actions);
        let sent = actions.iter().find_map(|a| match a {
            Action::Send { server, .. } => Some(*server),
            _ => None,
        });
        let Some(server) = sent else { continue };
        if let Some(gets) = ids.get(&server).and_then(|id| gets.get_mut(id)) {
            gets.keys += 1;
        }
        let outcome = Outcome {
            request: key,
            attempt: 0,
            server,
            status: Status::Served,
            request_finished: true,
            lookup: brassrouter::CacheLookup::Hit,
            elapsed: 1_000,
            load: brassrouter::Load::default(),
        };
        policy.handle(now + 1_000, Event::Outcome(outcome), &mut actions);
    }
    Ok(gets)
}

/// What the whole fleet sends a second: reads, writes.
fn traffic(app: &App, asked: &Asked) -> Result<(f64, f64, f64), String> {
    let stated = app.traffic.as_ref();
    let per_s = asked.per_s.or(stated.map(|t| t.per_s.value));
    let per_s =
        per_s.ok_or("how much comes is not known: --per-s, or `traffic { per_s = … }` in the file")?;
    if !(0.0..=1e9).contains(&per_s) {
        return Err(format!("--per-s: {per_s} is not from 0 to 1000000000"));
    }
    let writes = app.classes.iter().any(|c| c.command.as_ref().is_some_and(|c| c.value == Command::Write));
    let part = if writes { stated.map_or(0.05, |t| t.writes.value) } else { 0.0 };
    let all = per_s * app.nodes.value as f64;
    Ok((all * (1.0 - part), all * part, stated.map_or(0.1, |t| t.misses.value)))
}

/// Prints the plan.
pub fn run(asked: &Asked, hosts: &Hosts, out: show::Out) -> Result<u8, String> {
    let read = files::read(&asked.file, hosts)?;
    if check::refuses(&read, out)? {
        return Ok(FOUND);
    }
    let Some(app) = &read.checked.app else { return Err(format!("{} could not be read", read.name)) };
    let lines = list(&asked.boxes, hosts)?;
    for id in &asked.cold {
        if !lines.iter().any(|l| l.id == *id) {
            return Err(format!("--cold: {id:?} is none of the boxes in {}", asked.boxes.display()));
        }
    }
    let (reads, writes, misses) = traffic(app, asked)?;
    let gets = play(&render(app).to_string(), &lines, asked)?;
    let played: u32 = gets.values().map(|g| g.keys).sum();
    if played == 0 {
        return Err(format!("{}: no box in it is ready, so no key goes anywhere", asked.boxes.display()));
    }
    let part = |g: &Gets| f64::from(g.keys) / f64::from(played);
    let calls = writes + reads * misses;
    let nodes = app.nodes.value as f64;
    let (out_at_once, per_s) = app.origin.as_ref().map_or((None, None), |o| {
        (o.outstanding.as_ref().map(|v| v.value), o.per_s.as_ref().map(|v| v.value))
    });
    if out.json {
        let boxes: Vec<_> = gets
            .iter()
            .map(|(id, g)| {
                json!({"id": id, "address": g.address, "keys": part(g), "reads_per_s": part(g) * reads,
                                   "cold": asked.cold.contains(id)})
            })
            .collect();
        let whole = json!({
            "keys_played": played, "boxes": boxes, "nodes": app.nodes.value,
            "origin": {"calls_per_s": calls, "takes_per_s": per_s, "takes_at_once": out_at_once},
            "this_node": {"origin_at_once": out_at_once.map(|o| o / nodes), "origin_per_s": per_s.map(|p| p / nodes),
                          "requests_per_s": (reads + writes) / nodes},
        });
        print(&format!("{whole:#}\n"))?;
        return Ok(GOOD);
    }
    let mut text = format!(
        "{played} keys played; {reads:.0} reads and {writes:.0} writes a second of {} nodes\n\n",
        app.nodes.value
    );
    text += "box                   part of keys   reads/s\n";
    for (id, g) in &gets {
        let cold = if asked.cold.contains(id) { "   has just started" } else { "" };
        text += &format!("{id:<20} {:>12.2} % {:>9.1}{cold}\n", part(g) * 100.0, part(g) * reads);
    }
    let figure = |f: Option<f64>| f.map_or("not stated".to_owned(), |f| format!("{f}"));
    text += &format!(
        "\norigin: {calls:.1} calls a second (misses {:.0} %, writes); it takes {} a second, {} at once\n",
        misses * 100.0,
        figure(per_s),
        figure(out_at_once)
    );
    text += &format!(
        "this node: {:.1} requests a second; its part of the origin: {} a second, {} at once{}\n",
        (reads + writes) / nodes,
        per_s.map_or("not stated".into(), |p| format!("{:.2}", p / nodes)),
        out_at_once.map_or("not stated".into(), |o| format!("{:.2}", o / nodes)),
        if out_at_once.is_some_and(|o| o < nodes) { ", in turns" } else { "" },
    );
    print(&text)?;
    Ok(GOOD)
}
