//! What another configuration would change: setting by setting, with what it does and when it takes hold.

use crate::app::{App, COMMANDS, EFFECTS, SCOPES, STATES, UPSTREAMS};
use crate::units::{show_size, show_time};

/// When a change takes hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum When {
    /// At SIGHUP.
    Reload,
    /// At the next start.
    Restart,
}

/// One setting.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Setting {
    /// Its name.
    pub path: String,
    /// As it is shown.
    pub value: String,
    /// What it does.
    pub means: &'static str,
    /// When a change of it takes hold.
    pub when: When,
}

/// One change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    /// Its name.
    pub path: String,
    /// What stood there, if anything.
    pub old: Option<String>,
    /// What stands there, if anything.
    pub new: Option<String>,
    /// What it does.
    pub means: &'static str,
    /// When it takes hold.
    pub when: When,
}

fn word<T: PartialEq>(words: &[(&'static str, T)], value: &T) -> String {
    words.iter().find(|(_, v)| v == value).map_or(String::new(), |(word, _)| (*word).to_owned())
}

/// All settings of a configuration, defaults too, by their names.
pub fn settings(app: &App) -> Vec<Setting> {
    let mut all = Vec::new();
    let mut add = |path: &str, value: Option<String>, means: &'static str| {
        if let Some(value) = value {
            let when = if path == "discovery.address" { When::Reload } else { When::Restart };
            all.push(Setting { path: path.to_owned(), value, means, when });
        }
    };
    add("app", Some(app.name.value.clone()), "the name in the log");
    add("tenant", app.tenant.as_ref().map(|t| t.value.clone()), "who pays for the requests");
    add("upstream", Some(word(&UPSTREAMS, &app.upstream.value)), "what requests go to");
    add("nodes", Some(app.nodes.value.to_string()), "this node's parts of all limits that the fleet shares");
    add("me", Some(app.me.value.to_string()), "when this node's turns at the origin come");
    add(
        "listen.address",
        app.listen.address.as_ref().map(|a| a.value.plain()),
        "where the application connects",
    );
    add("listen.unix", app.listen.unix.as_ref().map(|u| u.value.clone()), "where the application connects");
    add("listen.mode", app.listen.mode.as_ref().map(|m| format!("{:04o}", m.value)), "who may connect");
    add(
        "discovery.address",
        app.discovery.as_ref().map(|d| d.value.plain()),
        "where the list of boxes comes from",
    );
    add(
        "operator.address",
        app.operator.as_ref().map(|o| o.value.plain()),
        "where staff ask for figures and take boxes out",
    );
    add("limits.memory", Some(show_size(app.limits.memory.value)), "how many requests may be open");
    add("limits.sockets", Some(app.limits.sockets.value.to_string()), "how many connections there may be");
    add(
        "limits.connections",
        app.limits.connections.as_ref().map(|c| c.value.to_string()),
        "how many clients may connect",
    );
    add("limits.open", Some(app.limits.open.value.to_string()), "requests beyond it are refused");
    if let Some(o) = &app.origin {
        add("origin.kind", Some(o.kind.value.clone()), "which lines of the list are the origin");
        add(
            "origin.address",
            o.place.as_ref().map(|p| p.value.plain()),
            "where misses and writes go until the list says",
        );
        let shown = |f: &Option<crate::tree::At<f64>>| f.as_ref().map(|f| f.value.to_string());
        add("origin.outstanding", shown(&o.outstanding), "calls at the origin at once, of the whole fleet");
        add("origin.per_s", shown(&o.per_s), "calls at the origin a second, of the whole fleet");
    }
    let c = &app.cold;
    add("cold.starts_at", Some(c.starts_at.value.to_string()), "how little a new box is sent");
    add("cold.warm_after", Some(show_time(c.warm_after.value)), "for how long");
    add("cold.sends_at", Some(c.sends_at.value.to_string()), "how much of what it can do a new box is sent");
    add("cold.falls_at", Some(c.falls_at.value.to_string()), "what a new box stands");
    add("cold.falls_after", Some(show_time(c.falls_after.value)), "how long it stands more");
    add(
        "drain.grace",
        Some(show_time(app.grace.value)),
        "how long after a notice something may still be sent",
    );
    let r = &app.retries;
    add("retries.attempts", Some(r.attempts.value.to_string()), "how often a request is tried");
    add("retries.budget", Some(r.budget.value.to_string()), "how many are tried again that may have run");
    add("retries.copies", Some(r.copies.value.to_string()), "whether a slow one is sent elsewhere, too");
    add(
        "retries.connect_timeout",
        Some(show_time(r.connect_timeout.value)),
        "how long a connection is waited for",
    );
    add("retries.idle_close", Some(show_time(r.idle_close.value)), "how long connections to boxes are kept");
    add("retries.multiplex", Some(r.multiplex.value.to_string()), "how many requests share a connection");
    let list = |names: &[crate::tree::At<String>]| {
        let names: Vec<&str> = names.iter().map(|n| n.value.as_str()).collect();
        (!names.is_empty()).then(|| names.join(", "))
    };
    add("zones", list(&app.zones), "where boxes may be");
    add("kinds", list(&app.kinds), "what boxes may be");
    add("reports", list(&app.reports), "which figures of the boxes' load are read");
    add("listen.owner", app.listen.owner.as_ref().map(|o| o.value.to_string()), "whose the socket is");
    add("listen.group", app.listen.group.as_ref().map(|o| o.value.to_string()), "whose the socket is");
    for class in &app.classes {
        let name = |setting: &str| format!("class.{}.{setting}", class.name.value);
        add(
            &name("late_worth"),
            Some(class.late_worth.value.to_string()),
            "what an answer behind the aim is worth",
        );
        add(
            &name("scope"),
            class.scope.as_ref().map(|s| word(&SCOPES, &s.value)),
            "which boxes drop a repeat",
        );
        for (setting, names) in [("zones", &class.zones), ("kinds", &class.kinds), ("boxes", &class.boxes)] {
            add(&name(setting), names.as_ref().and_then(|n| list(&n.value)), "which boxes it may go to");
        }
        add(&name("effect"), Some(word(&EFFECTS, &class.effect.value)), "whether a request may be repeated");
        let command = class.command.as_ref().map(|c| word(&COMMANDS, &c.value));
        add(&name("command"), command, "how the application sends it");
        add(&name("default"), Some(class.default.to_string()), "whether requests without a class are of it");
        add(&name("aim"), Some(show_time(class.aim.value)), "when it is tried elsewhere, and given up");
        add(&name("deadline"), Some(show_time(class.deadline.value)), "the longest that a client may wait");
        add(&name("worth"), Some(class.worth.value.to_string()), "what is turned away first");
        add(
            &name("window"),
            class.window.as_ref().map(|w| show_time(w.value)),
            "for how long a repeat is dropped",
        );
    }
    for q in &app.quotas {
        add(
            &format!("quota.{}", q.name.value),
            Some(q.per_s.value.to_string()),
            "whose requests are turned away under strain",
        );
    }
    for b in &app.boxes {
        let name = |setting: &str| format!("box.{}.{setting}", b.id.value);
        add(&name("address"), b.place.as_ref().map(|p| p.value.plain()), "boxes known before the list is");
        add(&name("state"), Some(word(&STATES, &b.state.value)), "boxes known before the list is");
    }
    let pool: Vec<&str> = app.pool.iter().map(|p| p.value.as_str()).collect();
    add("pool", (!pool.is_empty()).then(|| pool.join(", ")), "boxes that are used whatever the list says");
    let peers: Vec<String> = app.peers.nodes.iter().map(|p| p.value.plain()).collect();
    add(
        "peers.listen",
        app.peers.listen.as_ref().map(|p| p.value.plain()),
        "where word of other nodes arrives",
    );
    add(
        "peers.nodes",
        (!peers.is_empty()).then(|| peers.join(", ")),
        "whom this node tells of load and drains",
    );
    all
}

/// What the second one changes, in the order of its settings; what is taken away stands last.
pub fn changes(old: &App, new: &App) -> Vec<Change> {
    let (old, new) = (settings(old), settings(new));
    let was = |path: &str| old.iter().find(|s| s.path == path).map(|s| s.value.clone());
    let came = new.iter().filter(|s| was(&s.path).as_ref() != Some(&s.value)).map(|s| Change {
        old: was(&s.path),
        new: Some(s.value.clone()),
        path: s.path.clone(),
        means: s.means,
        when: s.when,
    });
    let went = old.iter().filter(|s| !new.iter().any(|n| n.path == s.path)).map(|s| Change {
        old: Some(s.value.clone()),
        new: None,
        path: s.path.clone(),
        means: s.means,
        when: s.when,
    });
    came.chain(went).collect()
}
