//! Renders the JSON file that a node is started with from an application's file. The format is the
//! platform's, with a `sidecar` section that ties the node to its application.

use std::time::Duration;

use serde_json::{Map, Value, json};

use crate::app::{App, COMMANDS, Class, Effect, SCOPES, State, UPSTREAMS};

/// Zone if the file names none.
pub const DEFAULT_ZONE: &str = "local";
/// Kind of cache server if the file names none.
pub const DEFAULT_KIND: &str = "box";
/// Fields of load reports if the file names none; other fields that cache servers report are ignored.
const DEFAULT_REPORT_FIELDS: [&str; 2] = ["lat_ms", "busy"];
/// Step of the node's clock in microseconds.
const TICK_US: u64 = 5_000;

fn microseconds(time: Duration) -> u64 {
    time.as_micros() as u64
}

fn keyword_of<T: PartialEq>(keywords: &[(&'static str, T)], value: &T) -> &'static str {
    keywords.iter().find(|(_, v)| v == value).map_or("", |(keyword, _)| keyword)
}

/// Returns a list of names, or the default if it is empty.
fn names_or_default(names: &[crate::tree::Spanned<String>], default: &str) -> Vec<String> {
    if names.is_empty() { vec![default.to_owned()] } else { names.iter().map(|n| n.value.clone()).collect() }
}

/// Renders the node's configuration for an application. Endpoints without a known address are left out, which
/// happens only if the configuration was not checked first.
pub fn render(app: &App) -> Value {
    let zones = names_or_default(&app.zones, DEFAULT_ZONE);
    let mut kinds = names_or_default(&app.kinds, DEFAULT_KIND);
    let server_kind_count = kinds.len();
    if let Some(origin) = &app.origin {
        kinds.push(origin.kind.value.clone());
    }
    let classes: Vec<Value> = app.classes.iter().map(|class| render_class(class, &zones, &kinds)).collect();
    let realms: Vec<Value> =
        app.quotas.iter().map(|q| json!({"name": q.name.value, "quotaPerS": q.per_s.value})).collect();
    let realms = match (&app.tenant, realms.is_empty()) {
        // If no quotas are stated, the tenant is the only one, with a quota too high to limit it.
        (Some(tenant), true) => vec![json!({"name": tenant.value, "quotaPerS": 1e9})],
        _ => realms,
    };
    let reports = if app.reports.is_empty() {
        DEFAULT_REPORT_FIELDS.map(str::to_owned).to_vec()
    } else {
        app.reports.iter().map(|report| report.value.clone()).collect()
    };
    let (retries, cold) = (&app.retries, &app.cold);
    let mut file = json!({
        "name": format!("{}-{}", app.name.value, app.node_index.value),
        "seed": format!("{}-{}", app.name.value, app.node_index.value),
        "limits": {"memory_mb": app.limits.memory.value as f64 / 1048576.0, "sockets": app.limits.sockets.value},
        "known": {"revision": 0, "complete": true, "members": render_members(app, &zones, &kinds[..server_kind_count])},
        "settings": {
            "balancers": app.nodes.value,
            "me": app.node_index.value,
            "classes": classes,
            "realms": realms,
            "discovery": "push",
            "zones": zones,
            "machineTypes": kinds,
            "specifics": {
                "mode": if app.origin.is_some() { "aside" } else { "through" },
                "originKind": app.origin.as_ref().map_or(-1, |_| server_kind_count as i64),
            },
            "report": {"fields": reports, "via": "piggyback"},
            "weightSource": "silent",
            "periodUs": TICK_US,
            "limits": {
                "maxAttempts": retries.attempts.value,
                "mayDuplicate": retries.copies.value,
                "mayCancel": true,
                "peers": app.peers.listen.is_some(),
                "connectTimeoutUs": microseconds(retries.connect_timeout.value),
                "idleCloseUs": microseconds(retries.idle_close.value),
                "multiplex": retries.multiplex.value,
                "maxOpen": app.limits.open.value,
                "maxRetryAfterUs": 600_000,
            },
            "guarantees": {
                "coldShare": cold.starts_at.value,
                "coldUs": microseconds(cold.warm_after.value),
                "fallMultiple": cold.falls_at.value,
                "tipAfterUs": microseconds(cold.falls_after.value),
                "drainGraceUs": microseconds(app.grace.value),
            },
        },
        "sidecar": render_sidecar(app),
    });
    if let Some(file) = file.as_object_mut() {
        insert_endpoints(app, file);
    }
    file
}

fn insert_endpoints(app: &App, file: &mut Map<String, Value>) {
    let mut set = |key: &str, endpoint: Option<&crate::tree::Spanned<crate::endpoint::Endpoint>>| {
        if let Some(address) = endpoint.and_then(|p| p.value.address()) {
            file.insert(key.into(), json!(address.to_string()));
        }
    };
    set("listen", app.listen.address.as_ref());
    set("discovery", app.discovery.as_ref());
    set("operator", app.operator.as_ref());
    set("peer_listen", app.peers.listen.as_ref());
    let peers: Vec<String> =
        app.peers.nodes.iter().filter_map(|p| p.value.address()).map(|a| a.to_string()).collect();
    file.insert("peers".into(), json!(peers));
}

fn render_class(class: &Class, zones: &[String], kinds: &[String]) -> Value {
    let effect = match class.effect.value {
        Effect::Safe => "pure",
        Effect::Keyed => "token",
        Effect::Unsafe => "side_effect",
    };
    let indices = |names: &Option<crate::tree::Spanned<Vec<crate::tree::Spanned<String>>>>,
                   all: &[String]| {
        let index_of = |n: &crate::tree::Spanned<String>| all.iter().position(|a| *a == n.value);
        names.as_ref().map(|n| n.value.iter().filter_map(index_of).collect::<Vec<_>>())
    };
    json!({
        "name": class.name.value,
        "effect": effect,
        "goalTimeUs": microseconds(class.aim.value),
        "deadlineUs": microseconds(class.deadline.value),
        "gain": class.worth.value,
        "lateValue": class.late_worth.value,
        "dedupScope": class.scope.as_ref().map_or("all", |s| keyword_of(&SCOPES, &s.value)),
        "dedupWindowUs": class.window.as_ref().map_or(0, |w| microseconds(w.value)),
        "runsIn": indices(&class.zones, zones),
        "boundTo": indices(&class.kinds, kinds),
        "onlyServers": class.servers.as_ref().map(|b| b.value.iter().map(|n| n.value.clone()).collect::<Vec<_>>()),
    })
}

fn render_members(app: &App, zones: &[String], kinds: &[String]) -> Vec<Value> {
    let entry = |id: &str, address: String, zone: &str, kind: &str, phase: &str| {
        json!({"id": id, "host_port": address, "locality": zone, "flavor": kind, "cell": 0, "phase": phase,
               "size": 1.0, "up_since_ms": 0})
    };
    let name_or_first = |name: &Option<crate::tree::Spanned<String>>, all: &[String]| {
        name.as_ref().map_or_else(|| all[0].clone(), |n| n.value.clone())
    };
    let servers = app.servers.iter().filter(|b| b.state.value != State::Gone).filter_map(|b| {
        let address = b.endpoint.as_ref()?.value.address()?;
        let phase = if b.state.value == State::Ready { "ready" } else { "draining" };
        Some(entry(
            &b.id.value,
            address.to_string(),
            &name_or_first(&b.zone, zones),
            &name_or_first(&b.kind, kinds),
            phase,
        ))
    });
    let origin = app.origin.as_ref().and_then(|o| {
        let address = o.endpoint.as_ref()?.value.address()?;
        Some(entry("origin", address.to_string(), &zones[0], &o.kind.value, "ready"))
    });
    servers.chain(origin).collect()
}

fn render_sidecar(app: &App) -> Value {
    let classes: Vec<Value> = app
        .classes
        .iter()
        .filter_map(|class| {
            let command = keyword_of(&COMMANDS, &class.command.as_ref()?.value);
            Some(json!({"name": class.name.value, "command": command, "default": class.default}))
        })
        .collect();
    let mut section = Map::new();
    let mut set = |key: &str, value: Value| {
        section.insert(key.into(), value);
    };
    set("app", json!(app.name.value));
    if let Some(tenant) = &app.tenant {
        set("tenant", json!(tenant.value));
    }
    set("upstream", json!(keyword_of(&UPSTREAMS, &app.upstream.value)));
    set("classes", json!(classes));
    if let Some(path) = &app.listen.unix {
        let mut unix =
            json!({"path": path.value, "mode": app.listen.mode.as_ref().map_or(0o600, |m| m.value)});
        for (key, id) in [("owner", &app.listen.owner), ("group", &app.listen.group)] {
            if let Some(id) = id {
                unix[key] = json!(id.value);
            }
        }
        set("unix", unix);
    }
    if let Some(connections) = &app.limits.connections {
        set("connections", json!(connections.value));
    }
    if let Some(origin) = &app.origin {
        for (key, limit) in [("origin_outstanding", &origin.outstanding), ("origin_per_s", &origin.per_s)] {
            if let Some(limit) = limit {
                set(key, json!(limit.value));
            }
        }
    }
    set("retry_budget", json!(app.retries.budget.value));
    set("cold_sends_at", json!(app.cold.sends_at.value));
    let pool: Vec<String> = app
        .servers
        .iter()
        .filter(|b| app.pool.iter().any(|p| p.value == b.id.value))
        .filter_map(|b| b.endpoint.as_ref()?.value.address())
        .map(|a| a.to_string())
        .collect();
    if !pool.is_empty() {
        set("pool", json!(pool));
    }
    Value::Object(section)
}
