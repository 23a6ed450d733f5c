//! What a slot-aware client is answered when it connects and learns the map. RESP2; the pages of the commands are the
//! source of each answer's form.

use std::fmt::Write;

use crate::slot::{SLOTS, slot_of};
use crate::tier::Tier;

/// The version of the protocol's server that is told where a client asks for one: what it decides by it (the form of
/// CLUSTER SLOTS, whether CLUSTER SHARDS is there) is answered as of this version.
const VERSION: &str = "7.2.0";
/// The longest name that a connection may give itself, bytes.
const MOST_NAME: usize = 256;

/// A RESP2 value.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Value {
    /// A simple string.
    Simple(&'static str),
    /// An error line, without its dash; it must hold no line end.
    Error(String),
    /// A number.
    Number(i64),
    /// A bulk string.
    Bulk(Vec<u8>),
    /// The null array.
    Null,
    /// An array.
    Array(Vec<Value>),
}

fn text(text: impl Into<String>) -> Value {
    Value::Bulk(text.into().into_bytes())
}

impl Value {
    /// Its bytes.
    pub fn encode(&self) -> Vec<u8> {
        let mut out = Vec::new();
        self.put(&mut out);
        out
    }

    fn put(&self, out: &mut Vec<u8>) {
        match self {
            Value::Simple(s) => out.extend(format!("+{s}\r\n").bytes()),
            Value::Error(s) => out.extend(format!("-{s}\r\n").bytes()),
            Value::Number(n) => out.extend(format!(":{n}\r\n").bytes()),
            Value::Null => out.extend(b"*-1\r\n"),
            Value::Bulk(b) => {
                out.extend(format!("${}\r\n", b.len()).bytes());
                out.extend(b);
                out.extend(b"\r\n");
            }
            Value::Array(values) => {
                out.extend(format!("*{}\r\n", values.len()).bytes());
                values.iter().for_each(|v| v.put(out));
            }
        }
    }
}

/// What a connection has told of itself.
#[derive(Clone, Debug, Default)]
pub struct Connection {
    /// Its number at this node.
    number: u64,
    /// The name that it gave itself.
    name: Vec<u8>,
}

impl Connection {
    /// A connection that has told nothing yet, by its number at this node.
    pub fn new(number: u64) -> Self {
        Connection { number, name: Vec::new() }
    }
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
    Known { name: "hello", arity: -1, flags: &["fast"], keys: (0, 0, 0), summary: "Settles the protocol: 2" },
    Known { name: "info", arity: -1, flags: &[], keys: (0, 0, 0), summary: "Tells of the node" },
    Known {
        name: "ping",
        arity: -1,
        flags: &["fast"],
        keys: (0, 0, 0),
        summary: "Whether the node is ready",
    },
    Known { name: "quit", arity: -1, flags: &["fast"], keys: (0, 0, 0), summary: "Ends the connection" },
    Known { name: "readonly", arity: 1, flags: &["fast"], keys: (0, 0, 0), summary: "Accepted" },
    Known { name: "readwrite", arity: 1, flags: &["fast"], keys: (0, 0, 0), summary: "Accepted" },
    Known { name: "select", arity: 2, flags: &["fast"], keys: (0, 0, 0), summary: "Only 0 is there" },
];

/// The answer to a command; `None` for one that is none of these (requests, `PING` without a text and `QUIT` are the
/// node's own).
pub fn answer(words: &[&[u8]], tier: &Tier, connection: &mut Connection) -> Option<Value> {
    let (name, rest) = words.split_first()?;
    let name = String::from_utf8_lossy(name).to_ascii_lowercase();
    Some(match (name.as_str(), rest) {
        ("cluster", []) | ("client", []) => arity(&name),
        ("cluster", [sub, rest @ ..]) => cluster(&lower(sub), rest, tier),
        ("client", [sub, rest @ ..]) => client(&lower(sub), rest, connection),
        ("command", []) => Value::Array(KNOWN.iter().map(about).collect()),
        ("command", [sub, rest @ ..]) => command(&lower(sub), rest),
        ("hello", rest) => hello(rest, connection),
        ("readonly" | "readwrite" | "asking", []) => Value::Simple("OK"),
        ("ping", [text]) => Value::Bulk(text.to_vec()),
        ("ping", [_, _, ..]) => arity(&name),
        ("echo", [text]) => Value::Bulk(text.to_vec()),
        ("select", [b"0"]) => Value::Simple("OK"),
        ("select", [_]) => Value::Error("ERR SELECT is not allowed in cluster mode".into()),
        ("info", _) => text(info(tier)),
        ("readonly" | "readwrite" | "asking" | "echo" | "select", _) => arity(&name),
        _ => return None,
    })
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
        ("nodes", []) => text(nodes(tier)),
        ("info", []) => text(cluster_info(tier)),
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
    Value::Array(vec![text(at.ip().to_string()), port, text(tier.id(node)), Value::Array(Vec::new())])
}

fn shard(tier: &Tier, node: usize) -> Value {
    let ranges = tier.ranges();
    let bounds = ranges.iter().filter(|(_, o)| *o == node).flat_map(|(r, _)| [*r.start(), *r.end()]);
    let at = tier.address(node);
    let ip = at.ip().to_string();
    let fields = [
        ("id", text(tier.id(node))),
        ("port", Value::Number(i64::from(at.port()))),
        ("ip", text(ip.clone())),
        ("endpoint", text(ip)),
        ("role", text("master")),
        ("replication-offset", Value::Number(0)),
        ("health", text("online")),
    ];
    let fields = fields.into_iter().flat_map(|(name, value)| [text(name), value]).collect();
    let slots = bounds.map(|s| Value::Number(i64::from(s))).collect();
    Value::Array(vec![
        text("slots"),
        Value::Array(slots),
        text("nodes"),
        Value::Array(vec![Value::Array(fields)]),
    ])
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

fn info(tier: &Tier) -> String {
    format!(
        "# Server\r\nredis_version:{VERSION}\r\nredis_mode:cluster\r\n# Replication\r\nrole:master\r\n# Cluster\r\ncluster_enabled:1\r\nmothpier_node:{}\r\n",
        tier.me()
    )
}

fn client(sub: &str, rest: &[&[u8]], connection: &mut Connection) -> Value {
    match (sub, rest) {
        ("setname", [name]) => match set_name(name, connection) {
            Ok(()) => Value::Simple("OK"),
            Err(e) => e,
        },
        ("getname", []) => Value::Bulk(connection.name.clone()),
        ("id", []) => Value::Number(connection.number as i64),
        ("setinfo", [what, _]) if matches!(lower(what).as_str(), "lib-name" | "lib-ver") => {
            Value::Simple("OK")
        }
        ("setinfo", [_, _]) => Value::Error("ERR Unrecognized option".into()),
        ("no-evict" | "no-touch", [state]) if matches!(lower(state).as_str(), "on" | "off") => {
            Value::Simple("OK")
        }
        ("no-evict" | "no-touch", [_]) => Value::Error("ERR syntax error".into()),
        ("setname" | "getname" | "id" | "setinfo" | "no-evict" | "no-touch", _) => {
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
        ("info", names) => Value::Array(names.iter().map(|n| find(n).map_or(Value::Null, about)).collect()),
        ("docs", names) => {
            let all = KNOWN.iter().filter(|k| names.is_empty() || names.iter().any(|n| lower(n) == k.name));
            Value::Array(all.flat_map(|k| [text(k.name), docs(k)]).collect())
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
        Value::Array(flags),
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
    let fields = [("summary", text(k.summary)), ("since", text("1.0.0")), ("group", text("generic"))];
    Value::Array(fields.into_iter().flat_map(|(name, value)| [text(name), value]).collect())
}

/// The page of HELLO. Version 3 gets the error at which clients go on with version 2.
fn hello(rest: &[&[u8]], connection: &mut Connection) -> Value {
    let mut rest = rest;
    if let [version, more @ ..] = rest {
        match std::str::from_utf8(version).ok().and_then(|v| v.parse::<u64>().ok()) {
            Some(2) => {}
            Some(_) => return Value::Error("NOPROTO unsupported protocol version".into()),
            None => return Value::Error("ERR Protocol version is not an integer or out of range".into()),
        }
        rest = more;
    }
    while let [option, more @ ..] = rest {
        match (lower(option).as_str(), more) {
            ("setname", [name, more @ ..]) => {
                if let Err(e) = set_name(name, connection) {
                    return e;
                }
                rest = more;
            }
            ("auth", [_, _, ..]) => {
                return Value::Error("ERR AUTH called without any password configured: leave it out".into());
            }
            (option, _) => return Value::Error(format!("ERR Syntax error in HELLO option '{option}'")),
        }
    }
    let fields = [
        ("server", text("mothpier")),
        ("version", text(VERSION)),
        ("proto", Value::Number(2)),
        ("id", Value::Number(connection.number as i64)),
        ("mode", text("cluster")),
        ("role", text("master")),
        ("modules", Value::Array(Vec::new())),
    ];
    Value::Array(fields.into_iter().flat_map(|(name, value)| [text(name), value]).collect())
}

#[cfg(test)]
mod tests {
    use std::net::SocketAddr;

    use super::*;

    fn tier() -> Tier {
        let nodes = ["10.0.0.1:6379", "[2001:db8::2]:7000"].map(|a| a.parse::<SocketAddr>().unwrap());
        Tier::new(nodes.to_vec(), 1, false, 1).unwrap()
    }

    fn ask(line: &str) -> String {
        let words: Vec<&[u8]> = line.split(' ').map(str::as_bytes).collect();
        let mut connection = Connection::new(7);
        let value = answer(&words, &tier(), &mut connection);
        value.map_or("none".into(), |v| String::from_utf8(v.encode()).unwrap())
    }

    #[test]
    fn the_map_in_its_three_forms_is_one_map() {
        let slots = ask("CLUSTER SLOTS");
        assert!(
            slots.starts_with("*2\r\n*3\r\n:0\r\n:8191\r\n*4\r\n$8\r\n10.0.0.1\r\n:6379\r\n$40\r\n"),
            "{slots}"
        );
        assert!(slots.contains(":8192\r\n:16383\r\n*4\r\n$11\r\n2001:db8::2\r\n:7000\r\n"), "{slots}");
        let nodes = ask("cluster nodes");
        let lines: Vec<&str> = nodes.lines().skip(1).filter(|l| !l.is_empty()).collect();
        assert!(lines[0].ends_with(" 10.0.0.1:6379@0 master - 0 0 0 connected 0-8191"), "{nodes}");
        assert!(
            lines[1].ends_with(" [2001:db8::2]:7000@0 myself,master - 0 0 0 connected 8192-16383"),
            "{nodes}"
        );
        let shards = ask("Cluster Shards");
        assert!(
            shards.contains("$5\r\nslots\r\n*2\r\n:0\r\n:8191\r\n$5\r\nnodes\r\n*1\r\n*14\r\n"),
            "{shards}"
        );
        let info = ask("CLUSTER INFO");
        assert!(info.contains("cluster_state:ok\r\n") && info.contains("cluster_size:2\r\n"), "{info}");
        let id = lines[1].split(' ').next().unwrap();
        assert_eq!((id.len(), ask("CLUSTER MYID")), (40, format!("$40\r\n{id}\r\n")));
    }

    #[test]
    fn what_clients_send_as_they_connect_is_answered() {
        for ok in [
            "READONLY",
            "readwrite",
            "ASKING",
            "SELECT 0",
            "CLIENT SETNAME me",
            "CLIENT SETINFO LIB-NAME x",
            "client no-evict on",
        ] {
            assert_eq!(ask(ok), "+OK\r\n", "{ok}");
        }
        assert!(ask("HELLO").starts_with("*14\r\n$6\r\nserver\r\n$8\r\nmothpier\r\n"));
        assert_eq!(ask("HELLO 2 SETNAME me"), ask("HELLO"));
        assert_eq!(ask("HELLO 3"), "-NOPROTO unsupported protocol version\r\n");
        assert_eq!(ask("CLIENT ID"), ":7\r\n");
        assert_eq!(ask("CLIENT GETNAME"), "$0\r\n\r\n");
        assert_eq!(ask("ECHO hi"), "$2\r\nhi\r\n");
        assert_eq!(ask("PING hi"), "$2\r\nhi\r\n");
        assert_eq!(ask("CLUSTER KEYSLOT somekey"), ":11058\r\n");
        assert_eq!(ask("CLUSTER COUNTKEYSINSLOT 16383"), ":0\r\n");
        assert!(ask("INFO server").contains("redis_mode:cluster"));
    }

    #[test]
    fn commands_tell_where_their_keys_stand() {
        let get =
            "*10\r\n$9\r\ncache.get\r\n:4\r\n*1\r\n+readonly\r\n:1\r\n:1\r\n:1\r\n*0\r\n*0\r\n*0\r\n*0\r\n";
        assert_eq!(ask("COMMAND INFO Cache.Get"), format!("*1\r\n{get}"));
        assert_eq!(ask("COMMAND INFO nothing"), "*1\r\n*-1\r\n");
        let count = KNOWN.len();
        assert_eq!(ask("COMMAND COUNT"), format!(":{count}\r\n"));
        assert!(ask("COMMAND").starts_with(&format!("*{count}\r\n{get}")));
        assert!(
            ask("COMMAND DOCS cache.set").starts_with("*2\r\n$9\r\ncache.set\r\n*6\r\n$7\r\nsummary\r\n")
        );
        assert_eq!(ask("COMMAND GETKEYS CACHE.GET k i e"), "*1\r\n$1\r\nk\r\n");
    }

    #[test]
    fn what_is_not_there_gets_the_error_of_its_page() {
        for (line, error) in [
            ("CLUSTER", "ERR wrong number of arguments for 'cluster' command"),
            ("CLUSTER MEET", "ERR unknown subcommand 'meet'. Try CLUSTER HELP."),
            ("CLUSTER KEYSLOT", "ERR wrong number of arguments for 'cluster|keyslot' command"),
            ("CLUSTER COUNTKEYSINSLOT 16384", "ERR Invalid slot"),
            ("CLUSTER COUNTKEYSINSLOT -1", "ERR Invalid slot"),
            ("CLUSTER COUNTKEYSINSLOT x", "ERR value is not an integer or out of range"),
            ("CLIENT REPLY", "ERR unknown subcommand 'reply'. Try CLIENT HELP."),
            ("COMMAND NOTHING", "ERR unknown subcommand 'nothing'. Try COMMAND HELP."),
            ("HELLO x", "ERR Protocol version is not an integer or out of range"),
            ("HELLO 2 AUTH a b", "ERR AUTH called without any password configured: leave it out"),
            ("HELLO 2 WHAT", "ERR Syntax error in HELLO option 'what'"),
            ("SELECT 1", "ERR SELECT is not allowed in cluster mode"),
            ("READONLY x", "ERR wrong number of arguments for 'readonly' command"),
            ("CLIENT SETINFO what x", "ERR Unrecognized option"),
        ] {
            assert_eq!(ask(line), format!("-{error}\r\n"), "{line}");
        }
        // What a client sends comes back short and without line ends.
        let words: [&[u8]; 2] = [b"CLUSTER", &[b'\n'; 100]];
        let said = answer(&words, &tier(), &mut Connection::default()).unwrap().encode();
        assert_eq!(said.iter().filter(|b| **b == b'\n').count(), 1);
        for own in ["PING", "QUIT", "CACHE.GET k i e", "GET k", ""] {
            assert_eq!(ask(own), "none", "{own}");
        }
    }
}
