//! Reads the settings text into the module's [`Settings`] and the other values that a node needs. The adapter
//! and the node share this reader, so that both decide by the same values.

use crate::interface::{Class, DedupScope, Effect, LoadField, Micros, ServerId, Settings, Tenant};
use serde::Deserialize;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// A deployment's settings: those that the module uses, and the names and limits that only a node with
/// sockets needs.
#[derive(Debug, Clone)]
pub struct Site {
    /// Settings of the decision module.
    pub policy: Settings,
    /// Names of the classes, in the order of [`Settings::classes`].
    pub classes: Vec<String>,
    /// Names of the tenants, in the order of [`Settings::tenants`].
    pub tenants: Vec<String>,
    /// Names of the zones; a zone's number is its index.
    pub zones: Vec<String>,
    /// Names of the machine kinds; a kind's number is its index.
    pub kinds: Vec<String>,
    /// Names of the values in load reports, in the order of [`Settings::load_fields`].
    pub load_fields: Vec<String>,
    /// Maximum number of attempts in flight on one connection.
    pub multiplex: usize,
    /// Time after which a server closes an idle connection.
    pub idle_close: Micros,
    /// Maximum number of open requests of a node.
    pub max_open: usize,
    /// The longest retry delay that clients honour.
    pub max_retry_after: Micros,
    /// Time after the notice that a server is draining or gone within which an attempt may still be sent to
    /// it.
    pub drain_grace: Micros,
}

/// The settings in the text that are used. Deliberately ignored: this balancer's zone, whether probes and
/// retry delays are allowed, prices, the goal, the crash of the origin, ordered answers, and the grace time
/// for answers (answers come before the deadline).
#[derive(Deserialize)]
#[serde(rename_all = "camelCase", default)]
struct WireSettings {
    balancers: u32,
    me: u32,
    classes: Vec<WireClass>,
    realms: Vec<WireTenant>,
    discovery: String,
    specifics: WireMode,
    limits: WireLimits,
    guarantees: WireGuarantees,
    report: WireReport,
    weight_source: String,
    period_us: f64,
    zones: Vec<String>,
    machine_types: Vec<String>,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase", default)]
struct WireClass {
    name: String,
    goal_time_us: f64,
    deadline_us: f64,
    gain: f64,
    late_value: f64,
    effect: String,
    dedup_scope: String,
    dedup_window_us: f64,
    runs_in: Option<Vec<u8>>,
    bound_to: Option<Vec<u16>>,
    only_servers: Option<Vec<String>>,
}

#[derive(Deserialize, Default)]
#[serde(rename_all = "camelCase", default)]
struct WireTenant {
    name: String,
    quota_per_s: f64,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase", default)]
struct WireMode {
    mode: String,
    origin_kind: i64,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase", default)]
struct WireLimits {
    max_attempts: u32,
    may_duplicate: bool,
    may_cancel: bool,
    peers: bool,
    connect_timeout_us: f64,
    multiplex: f64,
    idle_close_us: f64,
    max_open: f64,
    max_retry_after_us: f64,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase", default)]
struct WireGuarantees {
    ask_within_us: f64,
    cold_share: f64,
    cold_us: f64,
    drain_grace_us: f64,
    drain_release_us: Option<f64>,
    fall_multiple: f64,
    tip_after_us: f64,
}

#[derive(Deserialize, Default)]
#[serde(rename_all = "camelCase", default)]
struct WireReport {
    fields: Vec<String>,
}

impl Default for WireSettings {
    fn default() -> Self {
        let base = Settings::default();
        WireSettings {
            balancers: base.balancers,
            me: base.own_index,
            classes: Vec::new(),
            realms: Vec::new(),
            discovery: "push".into(),
            specifics: WireMode::default(),
            limits: WireLimits::default(),
            guarantees: WireGuarantees::default(),
            report: WireReport::default(),
            weight_source: "silent".into(),
            period_us: base.tick as f64,
            zones: Vec::new(),
            machine_types: Vec::new(),
        }
    }
}

impl Default for WireClass {
    fn default() -> Self {
        let base = Class::default();
        WireClass {
            name: String::new(),
            goal_time_us: base.target_latency as f64,
            deadline_us: base.deadline as f64,
            gain: base.worth,
            late_value: base.late_worth,
            effect: "side_effect".into(),
            dedup_scope: "cell".into(),
            dedup_window_us: 0.0,
            runs_in: None,
            bound_to: None,
            only_servers: None,
        }
    }
}

impl Default for WireMode {
    fn default() -> Self {
        WireMode { mode: "through".into(), origin_kind: -1 }
    }
}

impl Default for WireLimits {
    fn default() -> Self {
        WireLimits {
            max_attempts: Settings::default().max_attempts,
            may_duplicate: false,
            may_cancel: false,
            peers: false,
            connect_timeout_us: Settings::default().connect_timeout as f64,
            multiplex: 1.0,
            idle_close_us: 15e6,
            max_open: 20_000.0,
            max_retry_after_us: 1e6,
        }
    }
}

impl Default for WireGuarantees {
    fn default() -> Self {
        let base = Settings::default();
        WireGuarantees {
            ask_within_us: base.change_notice_limit as f64,
            cold_share: base.cold_share,
            cold_us: base.warm_up as f64,
            drain_grace_us: 1e6,
            drain_release_us: None,
            fall_multiple: base.crash_load_multiple,
            tip_after_us: base.crash_after as f64,
        }
    }
}

/// Reads a settings text. The error is a single line.
pub fn read(text: &[u8]) -> Result<Site, String> {
    let wire: WireSettings = serde_json::from_slice(text).map_err(|e| format!("unreadable settings: {e}"))?;
    let mut classes = Vec::with_capacity(wire.classes.len());
    for c in &wire.classes {
        classes.push(class(c)?);
    }
    let origin_kind =
        (wire.specifics.mode == "aside").then(|| u16::try_from(wire.specifics.origin_kind).ok());
    let limits = wire.limits;
    let module_settings = Settings {
        balancers: wire.balancers,
        own_index: wire.me,
        classes,
        tenants: wire.realms.iter().map(|r| Tenant { quota_per_s: r.quota_per_s }).collect(),
        pull_discovery: wire.discovery == "ask",
        change_notice_limit: micros(wire.guarantees.ask_within_us),
        origin_kind: origin_kind.flatten(),
        weights_are_capacities: matches!(wire.weight_source.as_str(), "nominal" | "rough"),
        load_fields: wire.report.fields.iter().map(|f| load_field(f)).collect(),
        max_attempts: limits.max_attempts,
        may_duplicate: limits.may_duplicate,
        may_cancel: limits.may_cancel,
        may_message_peers: limits.peers,
        connect_timeout: micros(limits.connect_timeout_us),
        tick: micros(wire.period_us),
        cold_share: wire.guarantees.cold_share,
        warm_up: micros(wire.guarantees.cold_us),
        crash_load_multiple: wire.guarantees.fall_multiple,
        crash_after: micros(wire.guarantees.tip_after_us),
        drain_close_limit: wire.guarantees.drain_release_us.filter(|t| *t > 0.0).map(micros),
        ..Settings::default()
    };
    Ok(Site {
        policy: module_settings,
        classes: wire.classes.into_iter().map(|c| c.name).collect(),
        tenants: wire.realms.into_iter().map(|r| r.name).collect(),
        zones: wire.zones,
        kinds: wire.machine_types,
        load_fields: wire.report.fields,
        multiplex: limits.multiplex.max(1.0) as usize,
        idle_close: micros(limits.idle_close_us),
        max_open: limits.max_open.max(1.0) as usize,
        max_retry_after: micros(limits.max_retry_after_us),
        drain_grace: micros(wire.guarantees.drain_grace_us),
    })
}

fn class(c: &WireClass) -> Result<Class, String> {
    let scope = match c.dedup_scope.as_str() {
        "all" => DedupScope::All,
        "zone" => DedupScope::Zone,
        _ => DedupScope::Cell,
    };
    let effect = match c.effect.as_str() {
        "pure" => Effect::Safe,
        "token" => Effect::Keyed { scope, window: micros(c.dedup_window_us) },
        "side_effect" => Effect::Unsafe,
        other => {
            return Err(format!("unreadable settings: unknown effect {other:?} of a class"));
        }
    };
    Ok(Class {
        target_latency: micros(c.goal_time_us),
        deadline: micros(c.deadline_us),
        worth: c.gain,
        late_worth: c.late_value,
        effect,
        only_zones: c.runs_in.clone(),
        only_kinds: c.bound_to.clone(),
        only_servers: c.only_servers.as_ref().map(|ids| ids.iter().map(|id| server_number(id, 0)).collect()),
    })
}

/// Returns the number of a server. It depends on the id alone, so that every balancer assigns the same number
/// and orders servers alike. If two ids of one list collide, the later one uses the next `attempt`.
pub fn server_number(id: &str, attempt: u64) -> ServerId {
    xxh3_64_with_seed(id.as_bytes(), attempt) as ServerId
}

fn load_field(name: &str) -> LoadField {
    match name {
        "rif" => LoadField::InFlight,
        "q" => LoadField::Queued,
        "busy" => LoadField::Busy,
        "lat_ms" => LoadField::ServiceMs,
        "rate" => LoadField::Rate,
        "fail_rate" => LoadField::ErrorRate,
        _ => LoadField::Other,
    }
}

/// Upper limit of durations, 31 years: sums with a clock value stay far from overflow.
const MAX_DURATION_US: f64 = 1e15;

/// Converts a duration, saturating: negative values become 0, and values above the limit become the limit.
fn micros(value: f64) -> Micros {
    value.min(MAX_DURATION_US) as Micros
}
