//! Answers the commands that clients send to connect, to learn the slot map and to inspect the node. The
//! reference pages of the commands define the form of each reply in both protocol versions.

use std::fmt::Write;

use mothpier_slots::{SLOTS, Tier, slot_of};

use crate::value::{Value, Version};

/// The Redis version that is reported to clients. Clients choose by it which features they use (the form of
/// CLUSTER SLOTS, whether CLUSTER SHARDS exists); replies have the form of this version.
const REPORTED_SERVER_VERSION: &str = "7.2.0";
/// Maximum length of a connection name.
const MAX_CLIENT_NAME_BYTES: usize = 256;

fn bulk_string(content: impl Into<String>) -> Value {
    Value::bulk_string(content)
}

/// The session state of a connection.
#[derive(Clone, Debug, Default)]
pub struct Connection {
    /// The number of the connection at this node.
    number: u64,
    /// The connection name set by the client.
    name: Vec<u8>,
    /// The negotiated protocol version, in which replies to later commands are encoded.
    version: Version,
}

impl Connection {
    /// Creates the state of a new connection with its number at this node.
    pub fn new(number: u64) -> Self {
        Connection { number, ..Connection::default() }
    }

    /// Returns the negotiated protocol version.
    pub fn version(&self) -> Version {
        self.version
    }
}

/// The state of the node that is reported to clients.
#[derive(Clone, Copy, Debug, Default)]
pub struct NodeInfo<'a> {
    /// The tier that is presented to slot-aware clients, if the node serves them.
    pub tier: Option<&'a Tier>,
    /// Report lines about the sources of cache servers, if there are other sources than the server list and
    /// the client requested them.
    pub sources: Option<&'a str>,
    /// Time since the node started, in seconds.
    pub uptime_s: u64,
    /// Number of open client connections.
    pub clients: u64,
    /// Maximum number of client connections.
    pub max_clients: u64,
    /// Number of client connections accepted since the start.
    pub connections: u64,
    /// Number of client commands received since the start.
    pub commands: u64,
    /// Number of requests without a final answer.
    pub open_requests: u64,
}

/// A command as described by COMMAND.
struct CommandSpec {
    name: &'static str,
    /// Number of arguments including the name; negative for a minimum.
    arity: i64,
    flags: &'static [&'static str],
    /// Positions of the keys: first, last, step.
    keys: (i64, i64, i64),
    summary: &'static str,
}

const COMMANDS: &[CommandSpec] = &[
    CommandSpec {
        name: "cache.get",
        arity: 4,
        flags: &["readonly"],
        keys: (1, 1, 1),
        summary: "Reads a key: its id and extras behind it",
    },
    CommandSpec {
        name: "cache.set",
        arity: 5,
        flags: &["write"],
        keys: (1, 1, 1),
        summary: "Writes a key: its id, extras and value behind it",
    },
    CommandSpec {
        name: "asking",
        arity: 1,
        flags: &["fast"],
        keys: (0, 0, 0),
        summary: "Accepted; every slot is served",
    },
    CommandSpec { name: "auth", arity: -2, flags: &["fast"], keys: (0, 0, 0), summary: "Proves who asks" },
    CommandSpec {
        name: "client",
        arity: -2,
        flags: &[],
        keys: (0, 0, 0),
        summary: "Tells of the connection",
    },
    CommandSpec {
        name: "cluster",
        arity: -2,
        flags: &[],
        keys: (0, 0, 0),
        summary: "Tells of the tier and its slots",
    },
    CommandSpec { name: "command", arity: -1, flags: &[], keys: (0, 0, 0), summary: "Tells of the commands" },
    CommandSpec { name: "echo", arity: 2, flags: &["fast"], keys: (0, 0, 0), summary: "Gives a text back" },
    CommandSpec {
        name: "hello",
        arity: -1,
        flags: &["fast"],
        keys: (0, 0, 0),
        summary: "Settles the protocol: 2 or 3",
    },
    CommandSpec { name: "info", arity: -1, flags: &[], keys: (0, 0, 0), summary: "Tells of the node" },
    CommandSpec {
        name: "ping",
        arity: -1,
        flags: &["fast"],
        keys: (0, 0, 0),
        summary: "Whether the node is ready",
    },
    CommandSpec {
        name: "quit",
        arity: -1,
        flags: &["fast"],
        keys: (0, 0, 0),
        summary: "Ends the connection",
    },
    CommandSpec {
        name: "reset",
        arity: 1,
        flags: &["fast"],
        keys: (0, 0, 0),
        summary: "Makes the connection what it was at its start",
    },
    CommandSpec { name: "readonly", arity: 1, flags: &["fast"], keys: (0, 0, 0), summary: "Accepted" },
    CommandSpec { name: "readwrite", arity: 1, flags: &["fast"], keys: (0, 0, 0), summary: "Accepted" },
    CommandSpec { name: "select", arity: 2, flags: &["fast"], keys: (0, 0, 0), summary: "Only 0 is there" },
];

/// Returns the reply to a command; `None` for one that is not handled here (requests, `PING` without an
/// argument and `QUIT` are handled by the node). The reply must be encoded in the version that the connection
/// has afterwards: `HELLO` itself is answered in the version that it negotiates.
pub fn answer(arguments: &[&[u8]], node_info: &NodeInfo<'_>, connection: &mut Connection) -> Option<Value> {
    let (name, rest) = arguments.split_first()?;
    // No known command has a longer name.
    if name.len() > 16 {
        return None;
    }
    let name = String::from_utf8_lossy(name).to_ascii_lowercase();
    Some(match (name.as_str(), rest) {
        ("cluster", []) | ("client", []) => arity_error(&name),
        ("cluster", [sub, rest @ ..]) => match node_info.tier {
            Some(tier) => cluster(&printable_lowercase(sub), rest, tier),
            None => cluster_disabled_error(),
        },
        ("client", [sub, rest @ ..]) => client(&printable_lowercase(sub), rest, connection),
        ("command", []) => Value::Array(COMMANDS.iter().map(command_info).collect()),
        ("command", [sub, rest @ ..]) => command(&printable_lowercase(sub), rest),
        ("hello", rest) => hello(rest, node_info, connection),
        ("reset", []) => {
            *connection = Connection::new(connection.number);
            Value::Simple("RESET")
        }
        ("auth", [_] | [_, _]) => no_password_error(),
        ("readonly" | "readwrite" | "asking", []) if node_info.tier.is_none() => cluster_disabled_error(),
        ("readonly" | "readwrite" | "asking", []) => Value::Simple("OK"),
        ("ping", [message]) => Value::Bulk(message.to_vec()),
        ("ping", [_, _, ..]) => arity_error(&name),
        ("echo", [message]) => Value::Bulk(message.to_vec()),
        ("select", [b"0"]) => Value::Simple("OK"),
        ("select", [_]) if node_info.tier.is_some() => {
            Value::Error("ERR SELECT is not allowed in cluster mode".into())
        }
        ("select", [_]) => Value::Error("ERR DB index is out of range".into()),
        ("info", sections) => info(sections, node_info),
        ("readonly" | "readwrite" | "asking" | "echo" | "select" | "reset" | "auth", _) => arity_error(&name),
        _ => return None,
    })
}

/// Returns the error of servers without cluster support.
fn cluster_disabled_error() -> Value {
    Value::Error("ERR This instance has cluster support disabled".into())
}

fn no_password_error() -> Value {
    let message = "ERR AUTH called without any password configured for the default user: leave it out";
    Value::Error(message.into())
}

fn printable_lowercase(name: &[u8]) -> String {
    // Used for names only. Error replies quote them, so they are truncated and made printable.
    let shown = String::from_utf8_lossy(&name[..name.len().min(64)]).to_ascii_lowercase();
    shown.chars().map(|c| if c.is_ascii_graphic() { c } else { '?' }).collect()
}

fn arity_error(name: &str) -> Value {
    Value::Error(format!("ERR wrong number of arguments for '{name}' command"))
}

fn unknown_subcommand_error(sub: &str, command: &str) -> Value {
    Value::Error(format!("ERR unknown subcommand '{sub}'. Try {command} HELP."))
}

fn cluster(sub: &str, rest: &[&[u8]], tier: &Tier) -> Value {
    match (sub, rest) {
        ("slots", []) => Value::Array(
            tier.ranges()
                .into_iter()
                .map(|(range, owner)| {
                    let bounds = [range.start(), range.end()].map(|s| Value::Number(i64::from(*s)));
                    Value::Array(bounds.into_iter().chain([slots_entry(tier, owner)]).collect())
                })
                .collect(),
        ),
        ("shards", []) => Value::Array(
            (0..tier.len()).filter(|node| owns_slots(tier, *node)).map(|node| shard(tier, node)).collect(),
        ),
        ("nodes", []) => Value::Text(nodes(tier)),
        ("info", []) => Value::Text(cluster_info(tier)),
        ("myid", []) => bulk_string(tier.id(tier.own_index())),
        ("keyslot", [key]) => Value::Number(i64::from(slot_of(key))),
        ("countkeysinslot", [slot]) => {
            let slot = std::str::from_utf8(slot).ok().and_then(|s| s.parse::<i64>().ok());
            match slot {
                // The node stores no keys.
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
            arity_error(&format!("cluster|{sub}"))
        }
        _ => unknown_subcommand_error(sub, "CLUSTER"),
    }
}

fn owns_slots(tier: &Tier, node: usize) -> bool {
    tier.ranges().iter().any(|(_, owner)| *owner == node)
}

/// Returns a node as listed by CLUSTER SLOTS: address, port, id, and no further names.
fn slots_entry(tier: &Tier, node: usize) -> Value {
    let address = tier.address(node);
    let port = Value::Number(i64::from(address.port()));
    Value::Array(vec![
        bulk_string(address.ip().to_string()),
        port,
        bulk_string(tier.id(node)),
        Value::Map(Vec::new()),
    ])
}

fn shard(tier: &Tier, node: usize) -> Value {
    let ranges = tier.ranges();
    let bounds =
        ranges.iter().filter(|(_, slot_owner)| *slot_owner == node).flat_map(|(r, _)| [*r.start(), *r.end()]);
    let address = tier.address(node);
    let ip = address.ip().to_string();
    let fields = Value::map([
        ("id", bulk_string(tier.id(node))),
        ("port", Value::Number(i64::from(address.port()))),
        ("ip", bulk_string(ip.clone())),
        ("endpoint", bulk_string(ip)),
        ("role", bulk_string("master")),
        ("replication-offset", Value::Number(0)),
        ("health", bulk_string("online")),
    ]);
    let slots = bounds.map(|s| Value::Number(i64::from(s))).collect();
    Value::map([("slots", Value::Array(slots)), ("nodes", Value::Array(vec![fields]))])
}

/// Returns the lines of "CLUSTER NODES output format": id, address with the cluster bus port (0, as there is
/// none), flags, master, ping, pong, epoch, link state, ranges.
fn nodes(tier: &Tier) -> String {
    let (mut lines, ranges, epoch) = (String::new(), tier.ranges(), tier.epoch());
    for node in 0..tier.len() {
        let me_flag = if node == tier.own_index() { "myself," } else { "" };
        let (failed, link) = if tier.up(node) { ("", "connected") } else { (",fail", "disconnected") };
        let _ = write!(
            lines,
            "{} {}@0 {me_flag}master{failed} - 0 0 {epoch} {link}",
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
    let owners = (0..tier.len()).filter(|node| owns_slots(tier, *node)).count();
    format!(
        "cluster_enabled:1\r\ncluster_state:ok\r\ncluster_slots_assigned:{SLOTS}\r\ncluster_slots_ok:{SLOTS}\r\n\
         cluster_slots_pfail:0\r\ncluster_slots_fail:0\r\ncluster_known_nodes:{}\r\ncluster_size:{owners}\r\n\
         cluster_current_epoch:{}\r\ncluster_my_epoch:{}\r\n",
        tier.len(),
        tier.epoch(),
        tier.epoch()
    )
}

/// Returns the requested sections in a fixed order, or all of them if none is named. Unknown sections are
/// empty.
fn info(sections: &[&[u8]], node_info: &NodeInfo<'_>) -> Value {
    let NodeInfo { tier, sources, uptime_s, clients, max_clients, connections, commands, open_requests } =
        node_info;
    let wanted = |name: &str| {
        let all = |s: &str| matches!(s, "all" | "default" | "everything");
        sections.is_empty() || sections.iter().map(|s| printable_lowercase(s)).any(|s| s == name || all(&s))
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
            "redis_version:{REPORTED_SERVER_VERSION}\r\nredis_mode:{mode}\r\nserver_name:mothpier\r\nmothpier_version:{}\r\nuptime_in_seconds:{uptime_s}\r\n",
            env!("CARGO_PKG_VERSION")
        ),
    );
    section("Clients", format!("connected_clients:{clients}\r\nmaxclients:{max_clients}\r\n"));
    section(
        "Stats",
        format!(
            "total_connections_received:{connections}\r\ntotal_commands_processed:{commands}\r\nmothpier_open_requests:{open_requests}\r\n"
        ),
    );
    section("Replication", "role:master\r\nconnected_slaves:0\r\n".into());
    let node = tier.map(|t| format!("mothpier_node:{}\r\n", t.own_index())).unwrap_or_default();
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
        ("setinfo", [what, _]) if matches!(printable_lowercase(what).as_str(), "lib-name" | "lib-ver") => {
            Value::Simple("OK")
        }
        ("setinfo", [_, _]) => Value::Error("ERR Unrecognized option".into()),
        ("no-evict" | "no-touch", [state]) if matches!(printable_lowercase(state).as_str(), "on" | "off") => {
            Value::Simple("OK")
        }
        ("no-evict" | "no-touch", [_]) => Value::Error("ERR syntax error".into()),
        ("setname" | "getname" | "id" | "info" | "help" | "setinfo" | "no-evict" | "no-touch", _) => {
            arity_error(&format!("client|{sub}"))
        }
        _ => unknown_subcommand_error(sub, "CLIENT"),
    }
}

fn set_name(name: &[u8], connection: &mut Connection) -> Result<(), Value> {
    // The reference page of CLIENT SETNAME excludes spaces, line ends and other characters that break CLIENT
    // LIST.
    if name.len() > MAX_CLIENT_NAME_BYTES || !name.iter().all(u8::is_ascii_graphic) {
        let message = "ERR Client names cannot contain spaces, newlines or special characters.";
        return Err(Value::Error(message.into()));
    }
    connection.name = name.to_vec();
    Ok(())
}

fn command(sub: &str, rest: &[&[u8]]) -> Value {
    let find = |name: &&[u8]| COMMANDS.iter().find(|spec| spec.name == printable_lowercase(name));
    match (sub, rest) {
        ("count", []) => Value::Number(COMMANDS.len() as i64),
        ("list", []) => Value::Array(COMMANDS.iter().map(|spec| bulk_string(spec.name)).collect()),
        ("info", []) => Value::Array(COMMANDS.iter().map(command_info).collect()),
        ("info", names) => {
            Value::Array(names.iter().map(|name| find(name).map_or(Value::NullArray, command_info)).collect())
        }
        ("docs", names) => {
            let all = COMMANDS.iter().filter(|spec| {
                names.is_empty() || names.iter().any(|name| printable_lowercase(name) == spec.name)
            });
            Value::Map(all.map(|spec| (bulk_string(spec.name), command_docs(spec))).collect())
        }
        ("getkeys", [name, rest @ ..]) => match find(name) {
            Some(spec) if spec.keys.0 > 0 && rest.len() as i64 + 1 == spec.arity => {
                Value::Array(vec![Value::Bulk(rest[0].to_vec())])
            }
            Some(spec) if spec.keys.0 > 0 => {
                Value::Error("ERR Invalid number of arguments specified for command".into())
            }
            Some(_) => Value::Error("ERR The command has no key arguments".into()),
            None => Value::Error("ERR Invalid command specified".into()),
        },
        ("count" | "list" | "getkeys", _) => arity_error(&format!("command|{sub}")),
        _ => unknown_subcommand_error(sub, "COMMAND"),
    }
}

/// Returns the description of a command by COMMAND: ten elements since version 7, of which the last four are
/// empty here.
fn command_info(spec: &CommandSpec) -> Value {
    let flags = spec.flags.iter().map(|f| Value::Simple(f)).collect();
    let empty = || Value::Array(Vec::new());
    let parts = [
        bulk_string(spec.name),
        Value::Number(spec.arity),
        Value::Set(flags),
        Value::Number(spec.keys.0),
        Value::Number(spec.keys.1),
        Value::Number(spec.keys.2),
        empty(),
        empty(),
        empty(),
        empty(),
    ];
    Value::Array(parts.to_vec())
}

fn command_docs(spec: &CommandSpec) -> Value {
    Value::map([
        ("summary", bulk_string(spec.summary)),
        ("since", bulk_string("1.0.0")),
        ("group", bulk_string("generic")),
    ])
}

/// Handles HELLO as its reference page defines it: all options are applied, or none if there is an error.
fn hello(rest: &[&[u8]], node_info: &NodeInfo<'_>, connection: &mut Connection) -> Value {
    let (mut rest, mut updated) = (rest, connection.clone());
    if let [version, more @ ..] = rest {
        updated.version = match std::str::from_utf8(version).ok().and_then(|v| v.parse::<u64>().ok()) {
            Some(2) => Version::Two,
            Some(3) => Version::Three,
            Some(_) => return Value::Error("NOPROTO unsupported protocol version".into()),
            None => return Value::Error("ERR Protocol version is not an integer or out of range".into()),
        };
        rest = more;
    }
    while let [option, more @ ..] = rest {
        match (printable_lowercase(option).as_str(), more) {
            ("setname", [name, more @ ..]) => {
                if let Err(e) = set_name(name, &mut updated) {
                    return e;
                }
                rest = more;
            }
            ("auth", [_, _, ..]) => return no_password_error(),
            (option, _) => return Value::Error(format!("ERR Syntax error in HELLO option '{option}'")),
        }
    }
    *connection = updated;
    Value::map([
        ("server", bulk_string("mothpier")),
        ("version", bulk_string(REPORTED_SERVER_VERSION)),
        ("proto", Value::Number(connection.version.number())),
        ("id", Value::Number(connection.number as i64)),
        ("mode", bulk_string(if node_info.tier.is_some() { "cluster" } else { "standalone" })),
        ("role", bulk_string("master")),
        ("modules", Value::Array(Vec::new())),
    ])
}

#[cfg(test)]
mod tests;
