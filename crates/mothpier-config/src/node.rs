//! What a node is started with, read into the same [`App`] as an application's file: JSON as the platform writes it, and
//! as [`crate::render`] does for a sidecar. Names that are not known here are passed over in `settings`, as a node does.

use std::time::Duration;

use crate::app::{
    App, BoxLine, COMMANDS, Class, Cold, Effect, Kind, Limits, Listen, Origin, Peers, Quota, Retries, SCOPES,
    STATES, State, UPSTREAMS, Upstream,
};
use crate::code;
use crate::finding::Finding;
use crate::place::{Host, Hosts};
use crate::take::{self, Block};
use crate::tree::{At, Node, Span};

/// What the settings call effects.
const EFFECTS: [(&str, Effect); 3] =
    [("pure", Effect::Safe), ("token", Effect::Keyed), ("side_effect", Effect::Unsafe)];
/// Any figure: what it may be is judged by the rules.
const ANY: std::ops::RangeInclusive<f64> = f64::MIN..=f64::MAX;

/// Reads a node's file. Findings are errors for a sidecar's; for others they are warnings, since the platform that
/// wrote it answers for it, and what a node can't start with is refused by its own reader.
pub fn read(node: &Node, hosts: &Hosts, found: &mut Vec<Finding>) -> Option<App> {
    let mut whole = Block::of(node, "", found)?;
    whole.span = 0..node.span.end.min(1);
    let file = &mut whole;
    let span = file.span.clone();
    let mut sidecar = file.block("sidecar", found);
    let is_sidecar = sidecar.is_some();
    let name = file.text("name", found).unwrap_or_else(|| At::default_at("mothpier".into(), span.clone()));
    let operator = address(file, "operator", hosts, found);
    let address = address(file, "listen", hosts, found);
    let discovery = address_or_none(file, "discovery", hosts, found);
    let listener = address_or_none(file, "peer_listen", hosts, found);
    let nodes = file.texts("peers", found).map(|t| t.value).unwrap_or_default();
    let nodes = nodes.iter().filter_map(|t| take::place("peers", t, None, hosts, found)).collect();
    let peers = Peers { listen: listener, nodes };
    let _ = (address_or_none(file, "peers_all", hosts, found), file.entry("seed"));
    let mut limits = file.block("limits", found).unwrap_or(Block::empty("limits", span.clone()));
    let memory = limits
        .number("memory_mb", ANY, found)
        .map(|m| At::new((m.value.max(0.0) * 1048576.0) as u64, m.span));
    let memory = memory.unwrap_or_else(|| At::default_at(192 << 20, limits.span.clone()));
    let sockets = limits.count("sockets", 0..=1 << 40, found);
    let sockets = sockets.unwrap_or_else(|| At::default_at(1024, limits.span.clone()));
    let _ = limits.entry("cores");
    limits.end(found);
    let mut settings = settings(file, found)?;
    let bound = sidecar.as_mut().map(|b| bound(b, hosts, found));
    if let Some(b) = sidecar {
        b.end(found);
    }
    let members = known(file, hosts, found);
    whole.end(found);
    let bound = bound.unwrap_or_default();
    for class in &mut settings.classes {
        let said = bound.commands.iter().find(|(name, _)| *name == class.name.value);
        class.command = said.map(|(_, c)| c.clone());
        class.default = bound.defaults.contains(&class.name.value);
    }
    let kinds = settings.kinds;
    let origin_kind = settings.origin_kind.and_then(|k| kinds.get(k).cloned());
    let origin = origin_kind.map(|kind| {
        let place = members.iter().find(|m| m.kind.as_ref().is_some_and(|k| k.value == kind.value));
        let place = place.and_then(|m| m.place.clone());
        Origin { kind: kind.clone(), place, outstanding: bound.outstanding, per_s: bound.per_s }
    });
    let is_origin = |kind: Option<&At<String>>| {
        kind.is_some_and(|k| origin.as_ref().is_some_and(|o| o.kind.value == k.value))
    };
    let boxes = members.into_iter().filter(|m| !is_origin(m.kind.as_ref())).collect();
    let kinds = kinds.into_iter().filter(|k| !is_origin(Some(k))).collect();
    let mut cold = settings.cold;
    if let Some(sends_at) = bound.sends_at {
        cold.sends_at = sends_at;
    }
    let tier = bound.upstream.as_ref().is_some_and(|u| u.value == Upstream::Tier);
    match bound.budget {
        Some(budget) => settings.retries.budget = budget,
        None if tier => settings.retries.budget.value = 0.0,
        None => {}
    }
    Some(App {
        kind: Kind::Node,
        sidecar: is_sidecar,
        name: bound.app.unwrap_or(name),
        tenant: bound.tenant,
        upstream: bound.upstream.unwrap_or_else(|| At::default_at(Upstream::Boxes, span.clone())),
        nodes: settings.nodes,
        me: settings.me,
        listen: Listen {
            span: span.clone(),
            address: address.filter(|_| bound.unix.is_none()),
            unix: bound.unix,
            mode: bound.mode,
            owner: None,
            group: None,
        },
        discovery,
        operator,
        peers,
        limits: Limits { memory, sockets, connections: bound.connections, open: settings.open },
        origin,
        cold,
        grace: settings.grace,
        retries: settings.retries,
        zones: settings.zones,
        kinds,
        classes: settings.classes,
        quotas: settings.quotas,
        boxes,
        pool: bound.pool,
        machine: None,
        traffic: None,
        reports: settings.reports,
    })
}

type Place = At<crate::place::Place>;

/// A node takes addresses alone, and its port must be told.
fn address_or_none(
    b: &mut Block<'_>,
    key: &'static str,
    hosts: &Hosts,
    found: &mut Vec<Finding>,
) -> Option<Place> {
    let place = b.place(key, None, hosts, found)?;
    if let Host::Name(name, _) = &place.value.host {
        let what = format!("`{}` is the name {name:?}, and a node makes no look-ups", b.name(key));
        found.push(Finding::error(code::NO_ADDRESS, place.span.clone(), what, "write its address"));
    }
    Some(place)
}

fn address(b: &mut Block<'_>, key: &'static str, hosts: &Hosts, found: &mut Vec<Finding>) -> Option<Place> {
    let text = b.text(key, &mut Vec::new());
    // Port 0 asks the machine for a free one, which a node that is being tried does.
    if text.as_ref().and_then(|t| t.value.parse::<std::net::SocketAddr>().ok()).is_some_and(|a| a.port() == 0)
    {
        return None;
    }
    address_or_none(b, key, hosts, found)
}

struct Settings {
    nodes: At<u64>,
    me: At<u64>,
    open: At<u64>,
    classes: Vec<Class>,
    quotas: Vec<Quota>,
    zones: Vec<At<String>>,
    kinds: Vec<At<String>>,
    origin_kind: Option<usize>,
    cold: Cold,
    grace: At<Duration>,
    retries: Retries,
    reports: Vec<At<String>>,
}

fn settings(file: &mut Block<'_>, found: &mut Vec<Finding>) -> Option<Settings> {
    let Some(mut b) = file.block("settings", found) else {
        if file.entry("settings").is_none() {
            let mend = "hand over what `mothpierctl render` writes";
            found.push(Finding::error(code::MISSING, file.span.clone(), "`settings` are missing", mend));
        }
        return None;
    };
    let span = b.span.clone();
    let count = |number: Option<At<f64>>, default: u64, span: &Span| match number {
        Some(n) => At::new(n.value.clamp(0.0, 1e15) as u64, n.span),
        None => At::default_at(default, span.clone()),
    };
    let nodes = count(b.number("balancers", ANY, found), 1, &span);
    let me = count(b.number("me", ANY, found), 0, &span);
    let texts = |b: &mut Block<'_>, key, found: &mut Vec<Finding>| {
        b.texts(key, found).map(|t| t.value).unwrap_or_default()
    };
    let zones = texts(&mut b, "zones", found);
    let kinds = texts(&mut b, "machineTypes", found);
    let classes = listed(&mut b, "classes", found);
    let classes = classes.into_iter().filter_map(|c| class(c, &zones, &kinds, found)).collect::<Vec<_>>();
    if classes.is_empty() {
        found.push(Finding::error(
            code::MISSING,
            span.clone(),
            "`settings.classes` has none",
            "name each class",
        ));
    }
    let quotas = listed(&mut b, "realms", found).into_iter().filter_map(|mut r| {
        let name = r.text("name", found)?;
        let per_s = r.number("quotaPerS", ANY, found)?;
        Some(Quota { name, per_s })
    });
    let quotas = quotas.collect();
    let mut specifics = b.block("specifics", found).unwrap_or(Block::empty("specifics", span.clone()));
    let aside = specifics.text("mode", found).is_some_and(|m| m.value == "aside");
    let origin_kind = specifics.number("originKind", ANY, found).filter(|k| aside && k.value >= 0.0);
    let mut limits = b.block("limits", found).unwrap_or(Block::empty("limits", span.clone()));
    let l = limits.span.clone();
    let attempts = count(limits.number("maxAttempts", ANY, found), 3, &l);
    let open = count(limits.number("maxOpen", ANY, found), 20_000, &l);
    let multiplex = count(limits.number("multiplex", ANY, found), 1, &l);
    let copies = limits.flag("mayDuplicate", found).unwrap_or_else(|| At::default_at(false, l.clone()));
    let budget = At::default_at(crate::app::BUDGET, l.clone());
    let connect_timeout = micros(&mut limits, "connectTimeoutUs", 120_000.0, found);
    let idle_close = micros(&mut limits, "idleCloseUs", 15e6, found);
    let mut rules = b.block("guarantees", found).unwrap_or(Block::empty("guarantees", span.clone()));
    let r = rules.span.clone();
    let figure = |n: Option<At<f64>>, default: f64| n.unwrap_or_else(|| At::default_at(default, r.clone()));
    let cold = Cold {
        starts_at: figure(rules.number("coldShare", ANY, found), 0.12),
        sends_at: At::default_at(1.5, r.clone()),
        falls_at: figure(rules.number("fallMultiple", ANY, found), 3.0),
        warm_after: micros(&mut rules, "coldUs", 21e6, found),
        falls_after: micros(&mut rules, "tipAfterUs", 2e6, found),
    };
    let grace = micros(&mut rules, "drainGraceUs", 5e5, found);
    let mut report = b.block("report", found).unwrap_or(Block::empty("report", span));
    let reports = report.texts("fields", found).map(|t| t.value).unwrap_or_default();
    Some(Settings {
        nodes,
        me,
        open,
        classes,
        quotas,
        zones,
        kinds,
        origin_kind: origin_kind.map(|k| k.value as usize),
        cold,
        grace,
        retries: Retries { attempts, copies, budget, connect_timeout, idle_close, multiplex },
        reports,
    })
}

/// The blocks of a plain list.
fn listed<'a>(b: &mut Block<'a>, key: &'static str, found: &mut Vec<Finding>) -> Vec<Block<'a>> {
    let name = b.name(key);
    let Some(entry) = b.entry(key) else { return Vec::new() };
    match &entry.node.value {
        crate::tree::Value::List(nodes) => nodes.iter().filter_map(|n| Block::of(n, &name, found)).collect(),
        other => {
            let what = format!("`{name}` is {} where a list is wanted", other.kind());
            found.push(Finding::error(code::WRONG_TYPE, entry.node.span.clone(), what, "write a list"));
            Vec::new()
        }
    }
}

fn micros(b: &mut Block<'_>, key: &'static str, default: f64, found: &mut Vec<Finding>) -> At<Duration> {
    let time = |us: f64| Duration::from_micros(us.clamp(0.0, 1e15) as u64);
    match b.number(key, ANY, found) {
        Some(us) => At::new(time(us.value), us.span),
        None => At::default_at(time(default), b.span.clone()),
    }
}

fn class(
    mut b: Block<'_>,
    zones: &[At<String>],
    kinds: &[At<String>],
    found: &mut Vec<Finding>,
) -> Option<Class> {
    let name = b.text("name", found);
    let name = b.need("name", name, found)?;
    b.path = format!("settings.classes.{}", name.value);
    b.span = name.span.clone();
    let effect = b.word("effect", &EFFECTS, found);
    let effect = effect.unwrap_or_else(|| At::default_at(Effect::Unsafe, b.span.clone()));
    let aim = micros(&mut b, "goalTimeUs", 1e6, found);
    let deadline = micros(&mut b, "deadlineUs", 1e6, found);
    let number = |n: Option<At<f64>>, default: f64, span: &Span| {
        n.unwrap_or_else(|| At::default_at(default, span.clone()))
    };
    let worth = number(b.number("gain", ANY, found), 1.0, &b.span);
    let late_worth = number(b.number("lateValue", ANY, found), 0.0, &b.span);
    let keyed = effect.value == Effect::Keyed;
    // Others carry a window that means nothing.
    let window = Some(micros(&mut b, "dedupWindowUs", 0.0, found)).filter(|_| keyed);
    let scope = b.text("dedupScope", found).filter(|_| keyed).and_then(|s| {
        SCOPES.iter().find(|(word, _)| *word == s.value).map(|(_, scope)| At::new(*scope, s.span.clone()))
    });
    let among = |key, names: &[At<String>], b: &mut Block<'_>| {
        let entry = b.entry(key)?;
        let crate::tree::Value::List(nodes) = &entry.node.value else { return None };
        let one = |n: &Node| match n.value {
            crate::tree::Value::Number(number) => {
                let name = names
                    .get(number as usize)
                    .map_or_else(|| format!("number {number}"), |n| n.value.clone());
                Some(At::new(name, n.span.clone()))
            }
            _ => None,
        };
        Some(At::new(nodes.iter().filter_map(one).collect::<Vec<_>>(), entry.node.span.clone()))
    };
    let (zones, kinds) = (among("runsIn", zones, &mut b), among("boundTo", kinds, &mut b));
    let boxes = b.texts("onlyServers", found);
    Some(Class {
        name,
        effect,
        command: None,
        default: false,
        aim,
        deadline,
        worth,
        late_worth,
        repeat: None,
        copies: None,
        window,
        scope,
        zones,
        kinds,
        boxes,
    })
}

/// What binds a sidecar.
#[derive(Default)]
struct Bound {
    app: Option<At<String>>,
    tenant: Option<At<String>>,
    upstream: Option<At<Upstream>>,
    commands: Vec<(String, At<crate::app::Command>)>,
    defaults: Vec<String>,
    unix: Option<At<String>>,
    mode: Option<At<u32>>,
    connections: Option<At<u64>>,
    outstanding: Option<At<f64>>,
    per_s: Option<At<f64>>,
    sends_at: Option<At<f64>>,
    budget: Option<At<f64>>,
    pool: Vec<At<String>>,
}

fn bound(b: &mut Block<'_>, hosts: &Hosts, found: &mut Vec<Finding>) -> Bound {
    let app = b.label("app", found);
    let app = b.need("app", app, found);
    let tenant = b.label("tenant", found);
    let tenant = b.need("tenant", tenant, found);
    let upstream = b.word("upstream", &UPSTREAMS, found);
    let (mut commands, mut defaults) = (Vec::new(), Vec::new());
    for mut class in listed(b, "classes", found) {
        let name = class.label("name", found);
        let name = class.need("name", name, found);
        let command = class.word("command", &COMMANDS, found);
        let command = class.need("command", command, found);
        let default = class.flag("default", found).is_some_and(|d| d.value);
        class.end(found);
        if let (Some(name), Some(command)) = (name, command) {
            if default {
                defaults.push(name.value.clone());
            }
            commands.push((name.value, command));
        }
    }
    let socket = b.block("unix", found).map(|mut u| {
        let path = u.text("path", found);
        let path = u.need("path", path, found);
        let mode = u.count("mode", 0..=0o777, found).map(|m| At::new(m.value as u32, m.span));
        let _ = (
            u.count("owner", 0..=u64::from(u32::MAX) - 1, found),
            u.count("group", 0..=u64::from(u32::MAX) - 1, found),
        );
        u.end(found);
        (path, mode)
    });
    let (unix, mode) = socket.unwrap_or_default();
    let connections = b.count("connections", 1..=1 << 30, found);
    let outstanding = b.number("origin_outstanding", 1.0..=1e6, found);
    let per_s = b.number("origin_per_s", 1.0..=1e9, found);
    let sends_at = b.number("cold_sends_at", 0.1..=100.0, found);
    let budget = b.number("retry_budget", 0.0..=1.0, found);
    let pool = b.texts("pool", found).map(|t| t.value).unwrap_or_default();
    for text in &pool {
        take::place("sidecar.pool", text, None, hosts, found);
    }
    Bound {
        app,
        tenant,
        upstream,
        commands,
        defaults,
        unix,
        mode,
        connections,
        outstanding,
        per_s,
        sends_at,
        budget,
        pool,
    }
}

fn known(file: &mut Block<'_>, hosts: &Hosts, found: &mut Vec<Finding>) -> Vec<BoxLine> {
    let Some(mut b) = file.block("known", found) else { return Vec::new() };
    let members = listed(&mut b, "members", found);
    let line = |mut m: Block<'_>| {
        let id = m.text("id", found);
        let id = m.need("id", id, found)?;
        m.path = format!("known.members.{}", id.value);
        m.span = id.span.clone();
        let text = m.text("host_port", found).filter(|t| !t.value.is_empty());
        let place = text.and_then(|t| take::place(&m.name("host_port"), &t, None, hosts, found));
        let phase = m.text("phase", found);
        let state = phase.and_then(|p| {
            let known = STATES.iter().find(|(word, _)| *word == p.value);
            known.map(|(_, state)| At::new(*state, p.span.clone()))
        });
        let state = state.unwrap_or_else(|| At::default_at(State::Ready, m.span.clone()));
        let (zone, kind) = (m.text("locality", found), m.text("flavor", found));
        Some(BoxLine { id, place, state, weight: None, warm_up: None, zone, kind })
    };
    members.into_iter().filter_map(line).collect()
}

/// Whether a file is a sidecar's, also where it could not be read.
pub fn is_sidecar(node: &Node) -> bool {
    matches!(&node.value, crate::tree::Value::Table(entries) if entries.iter().any(|e| e.key == "sidecar"))
}
