//! What a client is answered as it connects, learns the slot map, or looks round. The pages of the commands are the
//! source of each answer's form in both versions of the protocol.

use std::fmt::Write;

use mothpier_slots::{SLOTS, Tier, slot_of};

use crate::value::{Value, Version};

/// The version of the protocol's server that is told where a client asks for one: what it decides by it (the form of
/// CLUSTER SLOTS, whether CLUSTER SHARDS is there) is answered as of this version.
const VERSION: &str = "7.2.0";
/// The longest name that a connection may give itself, bytes.
const MOST_NAME: usize = 256;

fn text(text: impl Into<String>) -> Value {
    Value::word(text)
}

/// What a connection has told of itself.
#[derive(Clone, Debug, Default)]
pub struct Connection {
    /// Its number at this node.
    number: u64,
    /// The name that it gave itself.
    name: Vec<u8>,
    /// The version of the protocol that was settled: answers to what is read from now on are in it.
    version: Version,
}

impl Connection {
    /// A connection that has told nothing yet, by its number at this node.
    pub fn new(number: u64) -> Self {
        Connection { number, ..Connection::default() }
    }

    /// The version of the protocol that was settled.
    pub fn version(&self) -> Version {
        self.version
    }
}

/// What a node tells of itself, as of now.
#[derive(Clone, Copy, Debug, Default)]
pub struct Facts<'a> {
    /// Where slot-aware clients are served: the tier that they are shown.
    pub tier: Option<&'a Tier>,
    /// Where there are more sources of boxes than the list, and they are asked for: lines of what they say.
    pub sources: Option<&'a str>,
    /// Seconds since its start.
    pub uptime_s: u64,
    /// Client connections that are open.
    pub clients: u64,
    /// And that it takes at the most.
    pub most_clients: u64,
    /// Connections that clients made since its start.
    pub connections: u64,
    /// Commands of clients since its start.
    pub commands: u64,
    /// Requests without a final answer.
    pub open: u64,
}

/// A command that clients may send, as COMMAND tells of it.
struct Known {
    name: &'static str,
    /// Words with the name; negative for at least so many.
    arity: i64,
    flags: &'static [&'static str],
    /// Places of its keys: first, last, step.
    keys: (i64, i64, i64),
    summary: &'static str,
}

const KNOWN: &[Known] = &[
    Known {
        name: "cache.get",
        arity: 4,
        flags: &["readonly"],
        keys: (1, 1, 1),
        summary: "Reads a key: its id and extras behind it",
    },
    Known {
        name: "cache.set",
        arity: 5,
        flags: &["write"],
        keys: (1, 1, 1),
        summary: "Writes a key: its id, extras and value behind it",
    },
    Known {
        name: "asking",
        arity: 1,
        flags: &["fast"],
        keys: (0, 0, 0),
        summary: "Accepted; every slot is served",
    },
    Known { name: "auth", arity: -2, flags: &["fast"], keys: (0, 0, 0), summary: "Proves who asks" },
    Known { name: "client", arity: -2, flags: &[], keys: (0, 0, 0), summary: "Tells of the connection" },
    Known {
        name: "cluster",
        arity: -2,
        flags: &[],
        keys: (0, 0, 0),
        summary: "Tells of the tier and its slots",
    },
    Known { name: "command", arity: -1, flags: &[], keys: (0, 0, 0), summary: "Tells of the commands" },
    Known { name: "echo", arity: 2, flags: &["fast"], keys: (0, 0, 0), summary: "Gives a text back" },
    Known {
        name: "hello",
        arity: -1,
        flags: &["fast"],
        keys: (0, 0, 0),
        summary: "Settles the protocol: 2 or 3",
    },
    Known { name: "info", arity: -1, flags: &[], keys: (0, 0, 0), summary: "Tells of the node" },
    Known {
        name: "ping",
        arity: -1,
        flags: &["fast"],
        keys: (0, 0, 0),
        summary: "Whether the node is ready",
    },
    Known { name: "quit", arity: -1, flags: &["fast"], keys: (0, 0, 0), summary: "Ends the connection" },
    Known {
        name: "reset",
        arity: 1,
        flags: &["fast"],
        keys: (0, 0, 0),
        summary: "Makes the connection what it was at its start",
    },
    Known { name: "readonly", arity: 1, flags: &["fast"], keys: (0, 0, 0), summary: "Accepted" },
    Known { name: "readwrite", arity: 1, flags: &["fast"], keys: (0, 0, 0), summary: "Accepted" },
    Known { name: "select", arity: 2, flags: &["fast"], keys: (0, 0, 0), summary: "Only 0 is there" },
];

/// The answer to a command; `None` for one that is none of these (requests, `PING` without a text and `QUIT` are the
/// node's own). The answer is in the version that the connection has behind it: `HELLO` itself is answered in the one
/// that it settles.
pub fn answer(words: &[&[u8]], facts: &Facts<'_>, connection: &mut Connection) -> Option<Value> {
    let (name, rest) = words.split_first()?;
    // No name that is known is longer.
    if name.len() > 16 {
        return None;
    }
    let name = String::from_utf8_lossy(name).to_ascii_lowercase();
    Some(match (name.as_str(), rest) {
        ("cluster", []) | ("client", []) => arity(&name),
        ("cluster", [sub, rest @ ..]) => match facts.tier {
            Some(tier) => cluster(&lower(sub), rest, tier),
            None => no_cluster(),
        },
        ("client", [sub, rest @ ..]) => client(&lower(sub), rest, connection),
        ("command", []) => Value::Array(KNOWN.iter().map(about).collect()),
        ("command", [sub, rest @ ..]) => command(&lower(sub), rest),
        ("hello", rest) => hello(rest, facts, connection),
        ("reset", []) => {
            *connection = Connection::new(connection.number);
            Value::Simple("RESET")
        }
        ("auth", [_] | [_, _]) => no_secret(),
        ("readonly" | "readwrite" | "asking", []) if facts.tier.is_none() => no_cluster(),
        ("readonly" | "readwrite" | "asking", []) => Value::Simple("OK"),
        ("ping", [text]) => Value::Bulk(text.to_vec()),
        ("ping", [_, _, ..]) => arity(&name),
        ("echo", [text]) => Value::Bulk(text.to_vec()),
        ("select", [b"0"]) => Value::Simple("OK"),
        ("select", [_]) if facts.tier.is_some() => {
            Value::Error("ERR SELECT is not allowed in cluster mode".into())
        }
        ("select", [_]) => Value::Error("ERR DB index is out of range".into()),
        ("info", sections) => info(sections, facts),
        ("readonly" | "readwrite" | "asking" | "echo" | "select" | "reset" | "auth", _) => arity(&name),
        _ => return None,
    })
}

/// As servers say it that form no cluster.
fn no_cluster() -> Value {
    Value::Error("ERR This instance has cluster support disabled".into())
}

fn no_secret() -> Value {
    let said = "ERR AUTH called without any password configured for the default user: leave it out";
    Value::Error(said.into())
}

fn lower(word: &[u8]) -> String {
    // Only for names; what an error gives back of it is kept short and printable.
    let shown = String::from_utf8_lossy(&word[..word.len().min(64)]).to_ascii_lowercase();
    shown.chars().map(|c| if c.is_ascii_graphic() { c } else { '?' }).collect()
}

fn arity(name: &str) -> Value {
    Value::Error(format!("ERR wrong number of arguments for '{name}' command"))
}

fn unknown(sub: &str, of: &str) -> Value {
    Value::Error(format!("ERR unknown subcommand '{sub}'. Try {of} HELP."))
}

fn cluster(sub: &str, rest: &[&[u8]], tier: &Tier) -> Value {
    match (sub, rest) {
        ("slots", []) => Value::Array(
            tier.ranges()
                .into_iter()
                .map(|(range, owner)| {
                    let bounds = [range.start(), range.end()].map(|s| Value::Number(i64::from(*s)));
                    Value::Array(bounds.into_iter().chain([place(tier, owner)]).collect())
                })
                .collect(),
        ),
        ("shards", []) => {
            Value::Array((0..tier.len()).filter(|n| owns(tier, *n)).map(|n| shard(tier, n)).collect())
        }
        ("nodes", []) => Value::Text(nodes(tier)),
        ("info", []) => Value::Text(cluster_info(tier)),
        ("myid", []) => text(tier.id(tier.me())),
        ("keyslot", [key]) => Value::Number(i64::from(slot_of(key))),
        ("countkeysinslot", [slot]) => {
            let slot = std::str::from_utf8(slot).ok().and_then(|s| s.parse::<i64>().ok());
            match slot {
                // The node keeps no keys.
                Some(0..=16_383) => Value::Number(0),
                Some(_) => Value::Error("ERR Invalid slot".into()),
                None => Value::Error("ERR value is not an integer or out of range".into()),
            }
        }
        ("help", []) => Value::Array(
            [
                "CLUSTER <subcommand>:",
                "COUNTKEYSINSLOT <slot>",
                "INFO",
                "KEYSLOT <key>",
                "MYID",
                "NODES",
                "SHARDS",
                "SLOTS",
            ]
            .map(Value::Simple)
            .to_vec(),
        ),
        ("slots" | "shards" | "nodes" | "info" | "myid" | "keyslot" | "countkeysinslot" | "help", _) => {
            arity(&format!("cluster|{sub}"))
        }
        _ => unknown(sub, "CLUSTER"),
    }
}

fn owns(tier: &Tier, node: usize) -> bool {
    tier.ranges().iter().any(|(_, owner)| *owner == node)
}

/// A node as CLUSTER SLOTS names it: address, port, id, and no further names.
fn place(tier: &Tier, node: usize) -> Value {
    let at = tier.address(node);
    let port = Value::Number(i64::from(at.port()));
    Value::Array(vec![text(at.ip().to_string()), port, text(tier.id(node)), Value::Map(Vec::new())])
}

fn shard(tier: &Tier, node: usize) -> Value {
    let ranges = tier.ranges();
    let bounds = ranges.iter().filter(|(_, o)| *o == node).flat_map(|(r, _)| [*r.start(), *r.end()]);
    let at = tier.address(node);
    let ip = at.ip().to_string();
    let fields = Value::map([
        ("id", text(tier.id(node))),
        ("port", Value::Number(i64::from(at.port()))),
        ("ip", text(ip.clone())),
        ("endpoint", text(ip)),
        ("role", text("master")),
        ("replication-offset", Value::Number(0)),
        ("health", text("online")),
    ]);
    let slots = bounds.map(|s| Value::Number(i64::from(s))).collect();
    Value::map([("slots", Value::Array(slots)), ("nodes", Value::Array(vec![fields]))])
}

/// Lines of "CLUSTER NODES output format": id, address with the bus's port (there is none: 0), flags, master, ping,
/// pong, epoch, link, ranges.
fn nodes(tier: &Tier) -> String {
    let (mut lines, ranges, epoch) = (String::new(), tier.ranges(), tier.epoch());
    for node in 0..tier.len() {
        let me = if node == tier.me() { "myself," } else { "" };
        let (failed, link) = if tier.up(node) { ("", "connected") } else { (",fail", "disconnected") };
        let _ = write!(
            lines,
            "{} {}@0 {me}master{failed} - 0 0 {epoch} {link}",
            tier.id(node),
            tier.address(node)
        );
        for (range, _) in ranges.iter().filter(|(_, owner)| *owner == node) {
            let _ = match range.start() == range.end() {
                true => write!(lines, " {}", range.start()),
                false => write!(lines, " {}-{}", range.start(), range.end()),
            };
        }
        lines.push('\n');
    }
    lines
}

fn cluster_info(tier: &Tier) -> String {
    let owners = (0..tier.len()).filter(|n| owns(tier, *n)).count();
    format!(
        "cluster_enabled:1\r\ncluster_state:ok\r\ncluster_slots_assigned:{SLOTS}\r\ncluster_slots_ok:{SLOTS}\r\n\
         cluster_slots_pfail:0\r\ncluster_slots_fail:0\r\ncluster_known_nodes:{}\r\ncluster_size:{owners}\r\n\
         cluster_current_epoch:{}\r\ncluster_my_epoch:{}\r\n",
        tier.len(),
        tier.epoch(),
        tier.epoch()
    )
}

/// The sections that were asked for, in their own order; all of them where none was. One that is not there is empty.
fn info(sections: &[&[u8]], facts: &Facts<'_>) -> Value {
    let Facts { tier, sources, uptime_s, clients, most_clients, connections, commands, open } = facts;
    let wanted = |name: &str| {
        let all = |s: &str| matches!(s, "all" | "default" | "everything");
        sections.is_empty() || sections.iter().map(|s| lower(s)).any(|s| s == name || all(&s))
    };
    let mode = if tier.is_some() { "cluster" } else { "standalone" };
    let mut out = String::new();
    let mut section = |name: &str, lines: String| {
        if wanted(&name.to_ascii_lowercase()) {
            let gap = if out.is_empty() { "" } else { "\r\n" };
            let _ = write!(out, "{gap}# {name}\r\n{lines}");
        }
    };
    section(
        "Server",
        format!(
            "redis_version:{VERSION}\r\nredis_mode:{mode}\r\nserver_name:mothpier\r\nmothpier_version:{}\r\nuptime_in_seconds:{uptime_s}\r\n",
            env!("CARGO_PKG_VERSION")
        ),
    );
    section("Clients", format!("connected_clients:{clients}\r\nmaxclients:{most_clients}\r\n"));
    section(
        "Stats",
        format!(
            "total_connections_received:{connections}\r\ntotal_commands_processed:{commands}\r\nmothpier_open_requests:{open}\r\n"
        ),
    );
    section("Replication", "role:master\r\nconnected_slaves:0\r\n".into());
    let node = tier.map(|t| format!("mothpier_node:{}\r\n", t.me())).unwrap_or_default();
    section("Cluster", format!("cluster_enabled:{}\r\n{node}", u8::from(tier.is_some())));
    if let Some(sources) = sources {
        section("Sources", (*sources).to_owned());
    }
    Value::Text(out)
}

fn client(sub: &str, rest: &[&[u8]], connection: &mut Connection) -> Value {
    match (sub, rest) {
        ("setname", [name]) => match set_name(name, connection) {
            Ok(()) => Value::Simple("OK"),
            Err(e) => e,
        },
        ("getname", []) if connection.name.is_empty() => Value::Null,
        ("getname", []) => Value::Bulk(connection.name.clone()),
        ("info", []) => Value::Text(format!(
            "id={} name={} db=0 resp={}\n",
            connection.number,
            String::from_utf8_lossy(&connection.name),
            connection.version.number()
        )),
        ("help", []) => Value::Array(
            ["CLIENT <subcommand>:", "GETNAME", "ID", "INFO", "NO-EVICT (ON|OFF)", "NO-TOUCH (ON|OFF)"]
                .into_iter()
                .chain(["SETINFO (LIB-NAME|LIB-VER) <value>", "SETNAME <name>"])
                .map(Value::Simple)
                .collect(),
        ),
        ("id", []) => Value::Number(connection.number as i64),
        ("setinfo", [what, _]) if matches!(lower(what).as_str(), "lib-name" | "lib-ver") => {
            Value::Simple("OK")
        }
        ("setinfo", [_, _]) => Value::Error("ERR Unrecognized option".into()),
        ("no-evict" | "no-touch", [state]) if matches!(lower(state).as_str(), "on" | "off") => {
            Value::Simple("OK")
        }
        ("no-evict" | "no-touch", [_]) => Value::Error("ERR syntax error".into()),
        ("setname" | "getname" | "id" | "info" | "help" | "setinfo" | "no-evict" | "no-touch", _) => {
            arity(&format!("client|{sub}"))
        }
        _ => unknown(sub, "CLIENT"),
    }
}

fn set_name(name: &[u8], connection: &mut Connection) -> Result<(), Value> {
    // The page of CLIENT SETNAME: no spaces, line ends or other characters that break CLIENT LIST.
    if name.len() > MOST_NAME || !name.iter().all(u8::is_ascii_graphic) {
        let said = "ERR Client names cannot contain spaces, newlines or special characters.";
        return Err(Value::Error(said.into()));
    }
    connection.name = name.to_vec();
    Ok(())
}

fn command(sub: &str, rest: &[&[u8]]) -> Value {
    let find = |name: &&[u8]| KNOWN.iter().find(|k| k.name == lower(name));
    match (sub, rest) {
        ("count", []) => Value::Number(KNOWN.len() as i64),
        ("list", []) => Value::Array(KNOWN.iter().map(|k| text(k.name)).collect()),
        ("info", []) => Value::Array(KNOWN.iter().map(about).collect()),
        ("info", names) => {
            Value::Array(names.iter().map(|n| find(n).map_or(Value::NullArray, about)).collect())
        }
        ("docs", names) => {
            let all = KNOWN.iter().filter(|k| names.is_empty() || names.iter().any(|n| lower(n) == k.name));
            Value::Map(all.map(|k| (text(k.name), docs(k))).collect())
        }
        ("getkeys", [name, rest @ ..]) => match find(name) {
            Some(k) if k.keys.0 > 0 && rest.len() as i64 + 1 == k.arity => {
                Value::Array(vec![Value::Bulk(rest[0].to_vec())])
            }
            Some(k) if k.keys.0 > 0 => {
                Value::Error("ERR Invalid number of arguments specified for command".into())
            }
            Some(_) => Value::Error("ERR The command has no key arguments".into()),
            None => Value::Error("ERR Invalid command specified".into()),
        },
        ("count" | "list" | "getkeys", _) => arity(&format!("command|{sub}")),
        _ => unknown(sub, "COMMAND"),
    }
}

/// One command as COMMAND tells of it: ten parts since version 7, of which the last four are empty here.
fn about(k: &Known) -> Value {
    let flags = k.flags.iter().map(|f| Value::Simple(f)).collect();
    let empty = || Value::Array(Vec::new());
    let parts = [
        text(k.name),
        Value::Number(k.arity),
        Value::Set(flags),
        Value::Number(k.keys.0),
        Value::Number(k.keys.1),
        Value::Number(k.keys.2),
        empty(),
        empty(),
        empty(),
        empty(),
    ];
    Value::Array(parts.to_vec())
}

fn docs(k: &Known) -> Value {
    Value::map([("summary", text(k.summary)), ("since", text("1.0.0")), ("group", text("generic"))])
}

/// The page of HELLO: what it asks for is settled whole or, at an error, not at all.
fn hello(rest: &[&[u8]], facts: &Facts<'_>, connection: &mut Connection) -> Value {
    let (mut rest, mut settled) = (rest, connection.clone());
    if let [version, more @ ..] = rest {
        settled.version = match std::str::from_utf8(version).ok().and_then(|v| v.parse::<u64>().ok()) {
            Some(2) => Version::Two,
            Some(3) => Version::Three,
            Some(_) => return Value::Error("NOPROTO unsupported protocol version".into()),
            None => return Value::Error("ERR Protocol version is not an integer or out of range".into()),
        };
        rest = more;
    }
    while let [option, more @ ..] = rest {
        match (lower(option).as_str(), more) {
            ("setname", [name, more @ ..]) => {
                if let Err(e) = set_name(name, &mut settled) {
                    return e;
                }
                rest = more;
            }
            ("auth", [_, _, ..]) => return no_secret(),
            (option, _) => return Value::Error(format!("ERR Syntax error in HELLO option '{option}'")),
        }
    }
    *connection = settled;
    Value::map([
        ("server", text("mothpier")),
        ("version", text(VERSION)),
        ("proto", Value::Number(connection.version.number())),
        ("id", Value::Number(connection.number as i64)),
        ("mode", text(if facts.tier.is_some() { "cluster" } else { "standalone" })),
        ("role", text("master")),
        ("modules", Value::Array(Vec::new())),
    ])
}

#[cfg(test)]
mod tests;
