//! Compares two configurations setting by setting, with the meaning of each setting and when a change takes
//! effect.

use crate::app::{App, COMMANDS, EFFECTS, SCOPES, STATES, UPSTREAMS};
use crate::units::{format_duration, format_size};

/// When a change takes effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AppliesAt {
    /// On reload (SIGHUP).
    Reload,
    /// At the next start of the node.
    Restart,
}

/// One setting of a configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Setting {
    /// Path, such as `limits.memory`.
    pub path: String,
    /// Value, formatted for people.
    pub value: String,
    /// What the setting controls.
    pub description: &'static str,
    /// When a change of it takes effect.
    pub applies_at: AppliesAt,
}

/// One changed setting.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    /// Path, such as `limits.memory`.
    pub path: String,
    /// The old value, if any.
    pub old: Option<String>,
    /// The new value, if any.
    pub new: Option<String>,
    /// What the setting controls.
    pub description: &'static str,
    /// When the change takes effect.
    pub applies_at: AppliesAt,
}

fn keyword_of<T: PartialEq>(keywords: &[(&'static str, T)], value: &T) -> String {
    keywords.iter().find(|(_, v)| v == value).map_or(String::new(), |(keyword, _)| (*keyword).to_owned())
}

/// Returns all settings of a configuration, including defaults.
pub fn settings(app: &App) -> Vec<Setting> {
    let mut all = Vec::new();
    let mut add = |path: &str, value: Option<String>, description: &'static str| {
        if let Some(value) = value {
            let applies_at = if path == "discovery.address" { AppliesAt::Reload } else { AppliesAt::Restart };
            all.push(Setting { path: path.to_owned(), value, description, applies_at });
        }
    };
    add("app", Some(app.name.value.clone()), "the name in the log");
    add("tenant", app.tenant.as_ref().map(|t| t.value.clone()), "which tenant the requests are charged to");
    add("upstream", Some(keyword_of(&UPSTREAMS, &app.upstream.value)), "where requests are sent");
    add("nodes", Some(app.nodes.value.to_string()), "this node's share of all limits of the fleet");
    add("me", Some(app.node_index.value.to_string()), "when it is this node's turn at the origin");
    add(
        "listen.address",
        app.listen.address.as_ref().map(|a| a.value.canonical()),
        "where the application connects",
    );
    add("listen.unix", app.listen.unix.as_ref().map(|u| u.value.clone()), "where the application connects");
    add("listen.mode", app.listen.mode.as_ref().map(|m| format!("{:04o}", m.value)), "who may connect");
    add(
        "discovery.address",
        app.discovery.as_ref().map(|d| d.value.canonical()),
        "where the server list comes from",
    );
    add(
        "operator.address",
        app.operator.as_ref().map(|operator| operator.value.canonical()),
        "where operators read metrics and drain boxes",
    );
    add("limits.memory", Some(format_size(app.limits.memory.value)), "how many requests may be open");
    add("limits.sockets", Some(app.limits.sockets.value.to_string()), "how many connections there may be");
    add(
        "limits.connections",
        app.limits.connections.as_ref().map(|count| count.value.to_string()),
        "how many clients may connect",
    );
    add("limits.open", Some(app.limits.open.value.to_string()), "requests beyond it are refused");
    if let Some(origin) = &app.origin {
        add(
            "origin.kind",
            Some(origin.kind.value.clone()),
            "which entries of the server list are the origin",
        );
        add(
            "origin.address",
            origin.endpoint.as_ref().map(|p| p.value.canonical()),
            "where misses and writes go until the server list arrives",
        );
        let shown = |f: &Option<crate::tree::Spanned<f64>>| f.as_ref().map(|f| f.value.to_string());
        add(
            "origin.outstanding",
            shown(&origin.outstanding),
            "concurrent calls to the origin, of the whole fleet",
        );
        add("origin.per_s", shown(&origin.per_s), "calls to the origin per second, of the whole fleet");
    }
    let cold = &app.cold;
    add(
        "cold.starts_at",
        Some(cold.starts_at.value.to_string()),
        "share of its capacity that a new box has at the start",
    );
    add(
        "cold.warm_after",
        Some(format_duration(cold.warm_after.value)),
        "how long a new box takes to warm up",
    );
    add(
        "cold.sends_at",
        Some(cold.sends_at.value.to_string()),
        "load sent to a new box, as a multiple of its current capacity",
    );
    add(
        "cold.falls_at",
        Some(cold.falls_at.value.to_string()),
        "load at which a new box fails, as a multiple of its current capacity",
    );
    add(
        "cold.falls_after",
        Some(format_duration(cold.falls_after.value)),
        "how long a new box withstands that load",
    );
    add(
        "drain.grace",
        Some(format_duration(app.grace.value)),
        "how long after a drain notice requests may still be sent",
    );
    let retries = &app.retries;
    add(
        "retries.attempts",
        Some(retries.attempts.value.to_string()),
        "maximum number of attempts per request",
    );
    add(
        "retries.budget",
        Some(retries.budget.value.to_string()),
        "share of requests that may be retried after they may have run",
    );
    add(
        "retries.copies",
        Some(retries.copies.value.to_string()),
        "whether a slow request is also sent to another box",
    );
    add(
        "retries.connect_timeout",
        Some(format_duration(retries.connect_timeout.value)),
        "time-out for connecting",
    );
    add(
        "retries.idle_close",
        Some(format_duration(retries.idle_close.value)),
        "how long connections to boxes are kept",
    );
    add(
        "retries.multiplex",
        Some(retries.multiplex.value.to_string()),
        "how many requests share a connection",
    );
    let list = |names: &[crate::tree::Spanned<String>]| {
        let names: Vec<&str> = names.iter().map(|n| n.value.as_str()).collect();
        (!names.is_empty()).then(|| names.join(", "))
    };
    add("zones", list(&app.zones), "zones of the boxes");
    add("kinds", list(&app.kinds), "kinds of the boxes");
    add("reports", list(&app.reports), "which fields of load reports are read");
    add(
        "listen.owner",
        app.listen.owner.as_ref().map(|id| id.value.to_string()),
        "owner and group of the socket",
    );
    add(
        "listen.group",
        app.listen.group.as_ref().map(|id| id.value.to_string()),
        "owner and group of the socket",
    );
    for class in &app.classes {
        let path = |setting: &str| format!("class.{}.{setting}", class.name.value);
        add(
            &path("late_worth"),
            Some(class.late_worth.value.to_string()),
            "worth of an answer after the target latency",
        );
        add(
            &path("scope"),
            class.scope.as_ref().map(|s| keyword_of(&SCOPES, &s.value)),
            "which boxes drop a repeat",
        );
        for (setting, names) in [("zones", &class.zones), ("kinds", &class.kinds), ("boxes", &class.servers)]
        {
            add(&path(setting), names.as_ref().and_then(|n| list(&n.value)), "which boxes it may go to");
        }
        add(
            &path("effect"),
            Some(keyword_of(&EFFECTS, &class.effect.value)),
            "whether a request may be repeated",
        );
        let command = class.command.as_ref().map(|command| keyword_of(&COMMANDS, &command.value));
        add(&path("command"), command, "how the application sends it");
        add(
            &path("default"),
            Some(class.default.to_string()),
            "whether requests without a class belong to it",
        );
        add(
            &path("aim"),
            Some(format_duration(class.aim.value)),
            "when a request is tried elsewhere or given up",
        );
        add(
            &path("deadline"),
            Some(format_duration(class.deadline.value)),
            "the longest that a client may wait",
        );
        add(&path("worth"), Some(class.worth.value.to_string()), "which requests are refused first");
        add(
            &path("window"),
            class.window.as_ref().map(|w| format_duration(w.value)),
            "for how long a repeat is dropped",
        );
    }
    for quota in &app.quotas {
        add(
            &format!("quota.{}", quota.name.value),
            Some(quota.per_s.value.to_string()),
            "whose requests are refused first under overload",
        );
    }
    for server in &app.servers {
        let path = |setting: &str| format!("box.{}.{setting}", server.id.value);
        add(
            &path("address"),
            server.endpoint.as_ref().map(|p| p.value.canonical()),
            "boxes known before the server list arrives",
        );
        add(
            &path("state"),
            Some(keyword_of(&STATES, &server.state.value)),
            "boxes known before the server list arrives",
        );
    }
    let pool: Vec<&str> = app.pool.iter().map(|p| p.value.as_str()).collect();
    add(
        "pool",
        (!pool.is_empty()).then(|| pool.join(", ")),
        "boxes that are used regardless of the server list",
    );
    let peers: Vec<String> = app.peers.nodes.iter().map(|p| p.value.canonical()).collect();
    add(
        "peers.listen",
        app.peers.listen.as_ref().map(|p| p.value.canonical()),
        "where messages of other nodes arrive",
    );
    add(
        "peers.nodes",
        (!peers.is_empty()).then(|| peers.join(", ")),
        "which nodes are informed of load and drains",
    );
    all
}

/// Returns the settings that differ, in the order of the new configuration; removed settings come last.
pub fn changes(old: &App, new: &App) -> Vec<Change> {
    let (old, new) = (settings(old), settings(new));
    let old_value = |path: &str| old.iter().find(|s| s.path == path).map(|s| s.value.clone());
    let added_or_changed =
        new.iter().filter(|s| old_value(&s.path).as_ref() != Some(&s.value)).map(|s| Change {
            old: old_value(&s.path),
            new: Some(s.value.clone()),
            path: s.path.clone(),
            description: s.description,
            applies_at: s.applies_at,
        });
    let removed = old.iter().filter(|s| !new.iter().any(|n| n.path == s.path)).map(|s| Change {
        old: Some(s.value.clone()),
        new: None,
        path: s.path.clone(),
        description: s.description,
        applies_at: s.applies_at,
    });
    added_or_changed.chain(removed).collect()
}
