//! What a node is started with, from an application's file: JSON in the platform's form, with a `sidecar` section for what
//! binds it to its application.

use std::time::Duration;

use serde_json::{Map, Value, json};

use crate::app::{App, COMMANDS, Class, Effect, SCOPES, State, UPSTREAMS};

/// Zone and kind where the file names none.
pub const ZONE: &str = "local";
/// Likewise.
pub const KIND: &str = "box";
/// Names in load reports where the file names none; boxes that report others are read without.
const REPORTS: [&str; 2] = ["lat_ms", "busy"];
/// The clock's step, microseconds.
const TICK_US: u64 = 5_000;

fn us(time: Duration) -> u64 {
    time.as_micros() as u64
}

fn word<T: PartialEq>(words: &[(&'static str, T)], value: &T) -> &'static str {
    words.iter().find(|(_, v)| v == value).map_or("", |(word, _)| word)
}

/// A list of names, or its default.
fn or_one(names: &[crate::tree::At<String>], default: &str) -> Vec<String> {
    if names.is_empty() { vec![default.to_owned()] } else { names.iter().map(|n| n.value.clone()).collect() }
}

/// The node's configuration of an application. Only one that was checked has addresses for all that it names; what has
/// none is left out.
pub fn render(app: &App) -> Value {
    let zones = or_one(&app.zones, ZONE);
    let mut kinds = or_one(&app.kinds, KIND);
    let boxes = kinds.len();
    if let Some(origin) = &app.origin {
        kinds.push(origin.kind.value.clone());
    }
    let classes: Vec<Value> = app.classes.iter().map(|c| class(c, &zones, &kinds)).collect();
    let realms: Vec<Value> =
        app.quotas.iter().map(|q| json!({"name": q.name.value, "quotaPerS": q.per_s.value})).collect();
    let realms = match (&app.tenant, realms.is_empty()) {
        // Without a quota for anybody the tenant alone is known, and never held back.
        (Some(tenant), true) => vec![json!({"name": tenant.value, "quotaPerS": 1e9})],
        _ => realms,
    };
    let reports = if app.reports.is_empty() {
        REPORTS.map(str::to_owned).to_vec()
    } else {
        app.reports.iter().map(|r| r.value.clone()).collect()
    };
    let (r, c) = (&app.retries, &app.cold);
    let mut file = json!({
        "name": format!("{}-{}", app.name.value, app.me.value),
        "seed": format!("{}-{}", app.name.value, app.me.value),
        "limits": {"memory_mb": app.limits.memory.value as f64 / 1048576.0, "sockets": app.limits.sockets.value},
        "known": {"revision": 0, "complete": true, "members": members(app, &zones, &kinds[..boxes])},
        "settings": {
            "balancers": app.nodes.value,
            "me": app.me.value,
            "classes": classes,
            "realms": realms,
            "discovery": "push",
            "zones": zones,
            "machineTypes": kinds,
            "specifics": {
                "mode": if app.origin.is_some() { "aside" } else { "through" },
                "originKind": app.origin.as_ref().map_or(-1, |_| boxes as i64),
            },
            "report": {"fields": reports, "via": "piggyback"},
            "weightSource": "silent",
            "periodUs": TICK_US,
            "limits": {
                "maxAttempts": r.attempts.value,
                "mayDuplicate": r.copies.value,
                "mayCancel": true,
                "peers": app.peers.listen.is_some(),
                "connectTimeoutUs": us(r.connect_timeout.value),
                "idleCloseUs": us(r.idle_close.value),
                "multiplex": r.multiplex.value,
                "maxOpen": app.limits.open.value,
                "maxRetryAfterUs": 600_000,
            },
            "guarantees": {
                "coldShare": c.starts_at.value,
                "coldUs": us(c.warm_after.value),
                "fallMultiple": c.falls_at.value,
                "tipAfterUs": us(c.falls_after.value),
                "drainGraceUs": us(app.grace.value),
            },
        },
        "sidecar": sidecar(app),
    });
    if let Some(file) = file.as_object_mut() {
        places(app, file);
    }
    file
}

fn places(app: &App, file: &mut Map<String, Value>) {
    let mut set = |key: &str, place: Option<&crate::tree::At<crate::place::Place>>| {
        if let Some(address) = place.and_then(|p| p.value.address()) {
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

fn class(class: &Class, zones: &[String], kinds: &[String]) -> Value {
    let effect = match class.effect.value {
        Effect::Safe => "pure",
        Effect::Keyed => "token",
        Effect::Unsafe => "side_effect",
    };
    let places = |names: &Option<crate::tree::At<Vec<crate::tree::At<String>>>>, all: &[String]| {
        let at = |n: &crate::tree::At<String>| all.iter().position(|a| *a == n.value);
        names.as_ref().map(|n| n.value.iter().filter_map(at).collect::<Vec<_>>())
    };
    json!({
        "name": class.name.value,
        "effect": effect,
        "goalTimeUs": us(class.aim.value),
        "deadlineUs": us(class.deadline.value),
        "gain": class.worth.value,
        "lateValue": class.late_worth.value,
        "dedupScope": class.scope.as_ref().map_or("all", |s| word(&SCOPES, &s.value)),
        "dedupWindowUs": class.window.as_ref().map_or(0, |w| us(w.value)),
        "runsIn": places(&class.zones, zones),
        "boundTo": places(&class.kinds, kinds),
        "onlyServers": class.boxes.as_ref().map(|b| b.value.iter().map(|n| n.value.clone()).collect::<Vec<_>>()),
    })
}

fn members(app: &App, zones: &[String], kinds: &[String]) -> Vec<Value> {
    let member = |id: &str, address: String, zone: &str, kind: &str, phase: &str| {
        json!({"id": id, "host_port": address, "locality": zone, "flavor": kind, "cell": 0, "phase": phase,
               "size": 1.0, "up_since_ms": 0})
    };
    let or = |name: &Option<crate::tree::At<String>>, all: &[String]| {
        name.as_ref().map_or_else(|| all[0].clone(), |n| n.value.clone())
    };
    let boxes = app.boxes.iter().filter(|b| b.state.value != State::Gone).filter_map(|b| {
        let address = b.place.as_ref()?.value.address()?;
        let phase = if b.state.value == State::Ready { "ready" } else { "draining" };
        Some(member(&b.id.value, address.to_string(), &or(&b.zone, zones), &or(&b.kind, kinds), phase))
    });
    let origin = app.origin.as_ref().and_then(|o| {
        let address = o.place.as_ref()?.value.address()?;
        Some(member("origin", address.to_string(), &zones[0], &o.kind.value, "ready"))
    });
    boxes.chain(origin).collect()
}

fn sidecar(app: &App) -> Value {
    let classes: Vec<Value> = app
        .classes
        .iter()
        .filter_map(|c| {
            let command = word(&COMMANDS, &c.command.as_ref()?.value);
            Some(json!({"name": c.name.value, "command": command, "default": c.default}))
        })
        .collect();
    let mut part = Map::new();
    let mut set = |key: &str, value: Value| {
        part.insert(key.into(), value);
    };
    set("app", json!(app.name.value));
    if let Some(tenant) = &app.tenant {
        set("tenant", json!(tenant.value));
    }
    set("upstream", json!(word(&UPSTREAMS, &app.upstream.value)));
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
        for (key, figure) in [("origin_outstanding", &origin.outstanding), ("origin_per_s", &origin.per_s)] {
            if let Some(figure) = figure {
                set(key, json!(figure.value));
            }
        }
    }
    set("retry_budget", json!(app.retries.budget.value));
    set("cold_sends_at", json!(app.cold.sends_at.value));
    let pool: Vec<String> = app
        .boxes
        .iter()
        .filter(|b| app.pool.iter().any(|p| p.value == b.id.value))
        .filter_map(|b| b.place.as_ref()?.value.address())
        .map(|a| a.to_string())
        .collect();
    if !pool.is_empty() {
        set("pool", json!(pool));
    }
    Value::Object(part)
}
