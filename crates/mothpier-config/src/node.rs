//! Reads the JSON file that a node is started with into the same [`App`] as an application's file. The
//! platform writes such files, and [`crate::render`] does for a sidecar. Unknown keys in `settings` are
//! ignored, as a node ignores them.

use std::time::Duration;

use crate::app::{
    App, COMMANDS, CacheServer, Class, Cold, Effect, FileKind, Limits, Listen, Origin, Peers, Quota, Retries,
    SCOPES, STATES, State, UPSTREAMS, Upstream,
};
use crate::block::{self, Block};
use crate::code;
use crate::endpoint::{Host, Hosts};
use crate::finding::Finding;
use crate::tree::{Span, Spanned, TreeNode};

/// Keywords for effects in a node's settings.
const EFFECTS: [(&str, Effect); 3] =
    [("pure", Effect::Safe), ("token", Effect::Keyed), ("side_effect", Effect::Unsafe)];
/// Accepts any number: the rules check its range.
const ANY_NUMBER: std::ops::RangeInclusive<f64> = f64::MIN..=f64::MAX;

/// Reads a node's file. The caller turns findings into warnings unless the node is a sidecar: the platform is
/// responsible for the other files, and a node's own parser rejects what it can't start with.
pub fn read(node: &TreeNode, hosts: &Hosts, findings: &mut Vec<Finding>) -> Option<App> {
    let mut root = Block::from_node(node, "", findings)?;
    root.span = 0..node.span.end.min(1);
    let file = &mut root;
    let span = file.span.clone();
    let mut sidecar = file.block("sidecar", findings);
    let is_sidecar = sidecar.is_some();
    let name =
        file.string("name", findings).unwrap_or_else(|| Spanned::default_at("mothpier".into(), span.clone()));
    let operator = read_listen_address(file, "operator", hosts, findings);
    let address = read_listen_address(file, "listen", hosts, findings);
    let discovery = read_address(file, "discovery", hosts, findings);
    let peer_listen = read_address(file, "peer_listen", hosts, findings);
    let nodes = file.strings("peers", findings).map(|t| t.value).unwrap_or_default();
    let nodes =
        nodes.iter().filter_map(|t| block::parse_endpoint("peers", t, None, hosts, findings)).collect();
    let peers = Peers { listen: peer_listen, nodes };
    let _ = (read_address(file, "peers_all", hosts, findings), file.entry("seed"));
    let mut limits = file.block("limits", findings).unwrap_or(Block::empty("limits", span.clone()));
    let memory = limits
        .number("memory_mb", ANY_NUMBER, findings)
        .map(|m| Spanned::new((m.value.max(0.0) * 1048576.0) as u64, m.span));
    let memory = memory.unwrap_or_else(|| Spanned::default_at(192 << 20, limits.span.clone()));
    let sockets = limits.integer("sockets", 0..=1 << 40, findings);
    let sockets = sockets.unwrap_or_else(|| Spanned::default_at(1024, limits.span.clone()));
    let _ = limits.entry("cores");
    limits.reject_unknown_keys(findings);
    let mut settings = read_settings(file, findings)?;
    let sidecar_section = sidecar.as_mut().map(|block| read_sidecar_section(block, hosts, findings));
    if let Some(block) = sidecar {
        block.reject_unknown_keys(findings);
    }
    let members = read_known_servers(file, hosts, findings);
    root.reject_unknown_keys(findings);
    let sidecar_section = sidecar_section.unwrap_or_default();
    for class in &mut settings.classes {
        let command = sidecar_section.commands.iter().find(|(name, _)| *name == class.name.value);
        class.command = command.map(|(_, c)| c.clone());
        class.default = sidecar_section.defaults.contains(&class.name.value);
    }
    let kinds = settings.kinds;
    let origin_kind = settings.origin_kind.and_then(|k| kinds.get(k).cloned());
    let origin = origin_kind.map(|kind| {
        let endpoint = members.iter().find(|m| m.kind.as_ref().is_some_and(|k| k.value == kind.value));
        let endpoint = endpoint.and_then(|m| m.endpoint.clone());
        Origin {
            kind: kind.clone(),
            endpoint,
            outstanding: sidecar_section.outstanding,
            per_s: sidecar_section.per_s,
        }
    });
    let is_origin = |kind: Option<&Spanned<String>>| {
        kind.is_some_and(|k| origin.as_ref().is_some_and(|o| o.kind.value == k.value))
    };
    let servers = members.into_iter().filter(|m| !is_origin(m.kind.as_ref())).collect();
    let kinds = kinds.into_iter().filter(|k| !is_origin(Some(k))).collect();
    let mut cold = settings.cold;
    if let Some(sends_at) = sidecar_section.sends_at {
        cold.sends_at = sends_at;
    }
    let tier = sidecar_section.upstream.as_ref().is_some_and(|u| u.value == Upstream::Tier);
    match sidecar_section.budget {
        Some(budget) => settings.retries.budget = budget,
        None if tier => settings.retries.budget.value = 0.0,
        None => {}
    }
    Some(App {
        kind: FileKind::Node,
        sidecar: is_sidecar,
        name: sidecar_section.app.unwrap_or(name),
        tenant: sidecar_section.tenant,
        upstream: sidecar_section
            .upstream
            .unwrap_or_else(|| Spanned::default_at(Upstream::CacheServers, span.clone())),
        nodes: settings.nodes,
        node_index: settings.me,
        listen: Listen {
            span: span.clone(),
            address: address.filter(|_| sidecar_section.unix.is_none()),
            unix: sidecar_section.unix,
            mode: sidecar_section.mode,
            owner: None,
            group: None,
        },
        discovery,
        operator,
        peers,
        limits: Limits { memory, sockets, connections: sidecar_section.connections, open: settings.open },
        origin,
        cold,
        grace: settings.grace,
        retries: settings.retries,
        zones: settings.zones,
        kinds,
        classes: settings.classes,
        quotas: settings.quotas,
        servers,
        pool: sidecar_section.pool,
        machine: None,
        traffic: None,
        reports: settings.reports,
    })
}

type SpannedEndpoint = Spanned<crate::endpoint::Endpoint>;

/// Reads an endpoint that must be an IP address with a port: a node makes no look-ups.
fn read_address(
    block: &mut Block<'_>,
    key: &'static str,
    hosts: &Hosts,
    findings: &mut Vec<Finding>,
) -> Option<SpannedEndpoint> {
    let endpoint = block.endpoint(key, None, hosts, findings)?;
    if let Host::Name(name, _) = &endpoint.value.host {
        let problem =
            format!("`{}` is the name {name:?}, and a node makes no look-ups", block.full_name(key));
        findings.push(Finding::error(code::NO_ADDRESS, endpoint.span.clone(), problem, "write its address"));
    }
    Some(endpoint)
}

/// Reads the listener's address; `None` as well if its port is 0.
fn read_listen_address(
    block: &mut Block<'_>,
    key: &'static str,
    hosts: &Hosts,
    findings: &mut Vec<Finding>,
) -> Option<SpannedEndpoint> {
    let text = block.string(key, &mut Vec::new());
    // Port 0 lets the system choose a free port, as test runs do.
    if text.as_ref().and_then(|t| t.value.parse::<std::net::SocketAddr>().ok()).is_some_and(|a| a.port() == 0)
    {
        return None;
    }
    read_address(block, key, hosts, findings)
}

struct Settings {
    nodes: Spanned<u64>,
    me: Spanned<u64>,
    open: Spanned<u64>,
    classes: Vec<Class>,
    quotas: Vec<Quota>,
    zones: Vec<Spanned<String>>,
    kinds: Vec<Spanned<String>>,
    origin_kind: Option<usize>,
    cold: Cold,
    grace: Spanned<Duration>,
    retries: Retries,
    reports: Vec<Spanned<String>>,
}

fn read_settings(file: &mut Block<'_>, findings: &mut Vec<Finding>) -> Option<Settings> {
    let Some(mut block) = file.block("settings", findings) else {
        if file.entry("settings").is_none() {
            let fix = "pass a file that `mothpierctl render` writes";
            findings.push(Finding::error(code::MISSING, file.span.clone(), "`settings` is missing", fix));
        }
        return None;
    };
    let span = block.span.clone();
    let integer_or = |number: Option<Spanned<f64>>, default: u64, span: &Span| match number {
        Some(n) => Spanned::new(n.value.clamp(0.0, 1e15) as u64, n.span),
        None => Spanned::default_at(default, span.clone()),
    };
    let nodes = integer_or(block.number("balancers", ANY_NUMBER, findings), 1, &span);
    let me = integer_or(block.number("me", ANY_NUMBER, findings), 0, &span);
    let read_strings = |block: &mut Block<'_>, key, findings: &mut Vec<Finding>| {
        block.strings(key, findings).map(|t| t.value).unwrap_or_default()
    };
    let zones = read_strings(&mut block, "zones", findings);
    let kinds = read_strings(&mut block, "machineTypes", findings);
    let classes = block_list(&mut block, "classes", findings);
    let classes =
        classes.into_iter().filter_map(|c| read_class(c, &zones, &kinds, findings)).collect::<Vec<_>>();
    if classes.is_empty() {
        findings.push(Finding::error(
            code::MISSING,
            span.clone(),
            "`settings.classes` is empty",
            "name each class",
        ));
    }
    let quotas = block_list(&mut block, "realms", findings).into_iter().filter_map(|mut realm| {
        let name = realm.string("name", findings)?;
        let per_s = realm.number("quotaPerS", ANY_NUMBER, findings)?;
        Some(Quota { name, per_s })
    });
    let quotas = quotas.collect();
    let mut specifics = block.block("specifics", findings).unwrap_or(Block::empty("specifics", span.clone()));
    let aside = specifics.string("mode", findings).is_some_and(|m| m.value == "aside");
    let origin_kind =
        specifics.number("originKind", ANY_NUMBER, findings).filter(|k| aside && k.value >= 0.0);
    let mut limits = block.block("limits", findings).unwrap_or(Block::empty("limits", span.clone()));
    let limits_span = limits.span.clone();
    let attempts = integer_or(limits.number("maxAttempts", ANY_NUMBER, findings), 3, &limits_span);
    let open = integer_or(limits.number("maxOpen", ANY_NUMBER, findings), 20_000, &limits_span);
    let multiplex = integer_or(limits.number("multiplex", ANY_NUMBER, findings), 1, &limits_span);
    let copies = limits
        .boolean("mayDuplicate", findings)
        .unwrap_or_else(|| Spanned::default_at(false, limits_span.clone()));
    let budget = Spanned::default_at(crate::app::DEFAULT_RETRY_BUDGET, limits_span.clone());
    let connect_timeout = duration_us(&mut limits, "connectTimeoutUs", 120_000.0, findings);
    let idle_close = duration_us(&mut limits, "idleCloseUs", 15e6, findings);
    let mut guarantees =
        block.block("guarantees", findings).unwrap_or(Block::empty("guarantees", span.clone()));
    let guarantees_span = guarantees.span.clone();
    let or_default = |n: Option<Spanned<f64>>, default: f64| {
        n.unwrap_or_else(|| Spanned::default_at(default, guarantees_span.clone()))
    };
    let cold = Cold {
        starts_at: or_default(guarantees.number("coldShare", ANY_NUMBER, findings), 0.12),
        sends_at: Spanned::default_at(1.5, guarantees_span.clone()),
        falls_at: or_default(guarantees.number("fallMultiple", ANY_NUMBER, findings), 3.0),
        warm_after: duration_us(&mut guarantees, "coldUs", 21e6, findings),
        falls_after: duration_us(&mut guarantees, "tipAfterUs", 2e6, findings),
    };
    let grace = duration_us(&mut guarantees, "drainGraceUs", 5e5, findings);
    let mut report = block.block("report", findings).unwrap_or(Block::empty("report", span));
    let reports = report.strings("fields", findings).map(|t| t.value).unwrap_or_default();
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

/// Reads a list of blocks.
fn block_list<'a>(block: &mut Block<'a>, key: &'static str, findings: &mut Vec<Finding>) -> Vec<Block<'a>> {
    let name = block.full_name(key);
    let Some(entry) = block.entry(key) else { return Vec::new() };
    match &entry.node.value {
        crate::tree::Value::List(nodes) => {
            nodes.iter().filter_map(|n| Block::from_node(n, &name, findings)).collect()
        }
        other => {
            let problem = format!("`{name}` is {} where a list is expected", other.kind());
            findings.push(Finding::error(code::WRONG_TYPE, entry.node.span.clone(), problem, "write a list"));
            Vec::new()
        }
    }
}

fn duration_us(
    block: &mut Block<'_>,
    key: &'static str,
    default: f64,
    findings: &mut Vec<Finding>,
) -> Spanned<Duration> {
    let time = |us: f64| Duration::from_micros(us.clamp(0.0, 1e15) as u64);
    match block.number(key, ANY_NUMBER, findings) {
        Some(us) => Spanned::new(time(us.value), us.span),
        None => Spanned::default_at(time(default), block.span.clone()),
    }
}

fn read_class(
    mut block: Block<'_>,
    zones: &[Spanned<String>],
    kinds: &[Spanned<String>],
    findings: &mut Vec<Finding>,
) -> Option<Class> {
    let name = block.string("name", findings);
    let name = block.require("name", name, findings)?;
    block.path = format!("settings.classes.{}", name.value);
    block.span = name.span.clone();
    let effect = block.keyword("effect", &EFFECTS, findings);
    let effect = effect.unwrap_or_else(|| Spanned::default_at(Effect::Unsafe, block.span.clone()));
    let aim = duration_us(&mut block, "goalTimeUs", 1e6, findings);
    let deadline = duration_us(&mut block, "deadlineUs", 1e6, findings);
    let or_default = |n: Option<Spanned<f64>>, default: f64, span: &Span| {
        n.unwrap_or_else(|| Spanned::default_at(default, span.clone()))
    };
    let worth = or_default(block.number("gain", ANY_NUMBER, findings), 1.0, &block.span);
    let late_worth = or_default(block.number("lateValue", ANY_NUMBER, findings), 0.0, &block.span);
    let keyed = effect.value == Effect::Keyed;
    // The window of any other class has no meaning.
    let window = Some(duration_us(&mut block, "dedupWindowUs", 0.0, findings)).filter(|_| keyed);
    let scope = block.string("dedupScope", findings).filter(|_| keyed).and_then(|s| {
        SCOPES
            .iter()
            .find(|(word, _)| *word == s.value)
            .map(|(_, scope)| Spanned::new(*scope, s.span.clone()))
    });
    let names_by_index = |key, names: &[Spanned<String>], block: &mut Block<'_>| {
        let entry = block.entry(key)?;
        let crate::tree::Value::List(nodes) = &entry.node.value else { return None };
        let name_of = |n: &TreeNode| match n.value {
            crate::tree::Value::Number(number) => {
                let name = names
                    .get(number as usize)
                    .map_or_else(|| format!("number {number}"), |n| n.value.clone());
                Some(Spanned::new(name, n.span.clone()))
            }
            _ => None,
        };
        Some(Spanned::new(nodes.iter().filter_map(name_of).collect::<Vec<_>>(), entry.node.span.clone()))
    };
    let (zones, kinds) =
        (names_by_index("runsIn", zones, &mut block), names_by_index("boundTo", kinds, &mut block));
    let servers = block.strings("onlyServers", findings);
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
        servers,
    })
}

/// The `sidecar` section: what ties a sidecar to its application.
#[derive(Default)]
struct SidecarSection {
    app: Option<Spanned<String>>,
    tenant: Option<Spanned<String>>,
    upstream: Option<Spanned<Upstream>>,
    commands: Vec<(String, Spanned<crate::app::Command>)>,
    defaults: Vec<String>,
    unix: Option<Spanned<String>>,
    mode: Option<Spanned<u32>>,
    connections: Option<Spanned<u64>>,
    outstanding: Option<Spanned<f64>>,
    per_s: Option<Spanned<f64>>,
    sends_at: Option<Spanned<f64>>,
    budget: Option<Spanned<f64>>,
    pool: Vec<Spanned<String>>,
}

fn read_sidecar_section(block: &mut Block<'_>, hosts: &Hosts, findings: &mut Vec<Finding>) -> SidecarSection {
    let app = block.identifier("app", findings);
    let app = block.require("app", app, findings);
    let tenant = block.identifier("tenant", findings);
    let tenant = block.require("tenant", tenant, findings);
    let upstream = block.keyword("upstream", &UPSTREAMS, findings);
    let (mut commands, mut defaults) = (Vec::new(), Vec::new());
    for mut class in block_list(block, "classes", findings) {
        let name = class.identifier("name", findings);
        let name = class.require("name", name, findings);
        let command = class.keyword("command", &COMMANDS, findings);
        let command = class.require("command", command, findings);
        let default = class.boolean("default", findings).is_some_and(|d| d.value);
        class.reject_unknown_keys(findings);
        if let (Some(name), Some(command)) = (name, command) {
            if default {
                defaults.push(name.value.clone());
            }
            commands.push((name.value, command));
        }
    }
    let socket = block.block("unix", findings).map(|mut unix| {
        let path = unix.string("path", findings);
        let path = unix.require("path", path, findings);
        let mode = unix.integer("mode", 0..=0o777, findings).map(|m| Spanned::new(m.value as u32, m.span));
        let _ = (
            unix.integer("owner", 0..=u64::from(u32::MAX) - 1, findings),
            unix.integer("group", 0..=u64::from(u32::MAX) - 1, findings),
        );
        unix.reject_unknown_keys(findings);
        (path, mode)
    });
    let (unix, mode) = socket.unwrap_or_default();
    let connections = block.integer("connections", 1..=1 << 30, findings);
    let outstanding = block.number("origin_outstanding", 1.0..=1e6, findings);
    let per_s = block.number("origin_per_s", 1.0..=1e9, findings);
    let sends_at = block.number("cold_sends_at", 0.1..=100.0, findings);
    let budget = block.number("retry_budget", 0.0..=1.0, findings);
    let pool = block.strings("pool", findings).map(|t| t.value).unwrap_or_default();
    for text in &pool {
        block::parse_endpoint("sidecar.pool", text, None, hosts, findings);
    }
    SidecarSection {
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

fn read_known_servers(file: &mut Block<'_>, hosts: &Hosts, findings: &mut Vec<Finding>) -> Vec<CacheServer> {
    let Some(mut block) = file.block("known", findings) else { return Vec::new() };
    let members = block_list(&mut block, "members", findings);
    let read_member = |mut m: Block<'_>| {
        let id = m.string("id", findings);
        let id = m.require("id", id, findings)?;
        m.path = format!("known.members.{}", id.value);
        m.span = id.span.clone();
        let text = m.string("host_port", findings).filter(|t| !t.value.is_empty());
        let endpoint =
            text.and_then(|t| block::parse_endpoint(&m.full_name("host_port"), &t, None, hosts, findings));
        let phase = m.string("phase", findings);
        let state = phase.and_then(|p| {
            let keyword = STATES.iter().find(|(word, _)| *word == p.value);
            keyword.map(|(_, state)| Spanned::new(*state, p.span.clone()))
        });
        let state = state.unwrap_or_else(|| Spanned::default_at(State::Ready, m.span.clone()));
        let (zone, kind) = (m.string("locality", findings), m.string("flavor", findings));
        Some(CacheServer { id, endpoint, state, weight: None, warm_up: None, zone, kind })
    };
    members.into_iter().filter_map(read_member).collect()
}

/// Returns whether a file is a sidecar's, even if it could not be read.
pub fn is_sidecar(node: &TreeNode) -> bool {
    matches!(&node.value, crate::tree::Value::Table(entries) if entries.iter().any(|e| e.key == "sidecar"))
}
