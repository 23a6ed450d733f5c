use std::net::SocketAddr;

use redis_protocol::{resp2, resp3};

use super::*;

fn tier() -> Tier {
    let nodes = ["10.0.0.1:6379", "[2001:db8::2]:7000"].map(|a| a.parse::<SocketAddr>().unwrap());
    Tier::new(nodes.to_vec(), 1, false, 1).unwrap()
}

fn run(line: &str, tier: Option<&Tier>, connection: &mut Connection) -> String {
    let arguments: Vec<&[u8]> = line.split(' ').map(str::as_bytes).collect();
    let node_info = NodeInfo {
        tier,
        uptime_s: 5,
        clients: 2,
        max_clients: 9,
        connections: 3,
        commands: 4,
        open_requests: 1,
        ..NodeInfo::default()
    };
    let value = answer(&arguments, &node_info, connection);
    value.map_or("none".into(), |v| String::from_utf8(v.encode(connection.version())).unwrap())
}

fn run_in_cluster(line: &str) -> String {
    run(line, Some(&tier()), &mut Connection::new(7))
}

fn run_standalone(line: &str) -> String {
    run(line, None, &mut Connection::new(7))
}

/// Every reply has the same content in both versions; only the forms of maps, sets, texts and null differ.
#[test]
fn replies_have_the_same_content_in_both_versions() {
    let flat = |line: &str, tier: Option<&Tier>| {
        let mut three = Connection::new(7);
        run("HELLO 3", tier, &mut three);
        let (two, three) = (run(line, tier, &mut Connection::new(7)), run(line, tier, &mut three));
        let two = resp2::decode::decode_bytes(&two.into()).unwrap().unwrap().0;
        let three = resp3::decode::complete::decode_bytes(&three.into()).unwrap().unwrap().0;
        (resp2_leaves(&two), resp3_leaves(&three))
    };
    for line in [
        "CLUSTER SLOTS",
        "CLUSTER SHARDS",
        "CLUSTER NODES",
        "CLUSTER INFO",
        "CLUSTER MYID",
        "CLUSTER KEYSLOT a",
        "CLUSTER WHAT",
        "COMMAND",
        "COMMAND COUNT",
        "COMMAND LIST",
        "COMMAND INFO cache.get nothing",
        "COMMAND DOCS cache.get",
        "COMMAND GETKEYS CACHE.GET k i e",
        "CLIENT ID",
        "CLIENT GETNAME",
        "CLIENT HELP",
        "INFO",
        "ECHO x",
        "SELECT 0",
        "SELECT 7",
        "AUTH x",
        "READONLY",
        "RESET",
    ] {
        for tier in [Some(&tier()), None] {
            let (mut two, mut three) = flat(line, tier);
            // The codec returns maps and sets in random order.
            two.sort();
            three.sort();
            assert_eq!(two, three, "{line}");
        }
    }
}

fn resp2_leaves(frame: &resp2::types::BytesFrame) -> Vec<String> {
    use resp2::types::BytesFrame as F;
    match frame {
        F::Array(parts) => parts.iter().flat_map(resp2_leaves).collect(),
        F::Null => vec!["nothing".into()],
        F::Integer(n) => vec![n.to_string()],
        F::BulkString(b) | F::SimpleString(b) => vec![String::from_utf8_lossy(b).into_owned()],
        F::Error(e) => vec![format!("error {e}")],
    }
}

fn resp3_leaves(frame: &resp3::types::BytesFrame) -> Vec<String> {
    use resp3::types::BytesFrame as F;
    match frame {
        F::Array { data, .. } => data.iter().flat_map(resp3_leaves).collect(),
        F::Set { data, .. } => data.iter().flat_map(resp3_leaves).collect(),
        F::Map { data, .. } => {
            data.iter().flat_map(|(n, v)| [resp3_leaves(n), resp3_leaves(v)].concat()).collect()
        }
        F::Null => vec!["nothing".into()],
        F::Number { data, .. } => vec![data.to_string()],
        F::BlobString { data, .. } | F::SimpleString { data, .. } | F::VerbatimString { data, .. } => {
            vec![String::from_utf8_lossy(data).into_owned()]
        }
        F::SimpleError { data, .. } => vec![format!("error {data}")],
        other => panic!("unexpected frame: {other:?}"),
    }
}

#[test]
fn hello_applies_all_of_its_options_or_none() {
    let mut connection = Connection::new(7);
    let mut send = |line: &str| (run(line, None, &mut connection), connection.version().number());
    assert_eq!(send("HELLO 3 AUTH default x").1, 2);
    assert_eq!(send("HELLO 3 SETNAME a b").1, 2);
    assert_eq!(send("HELLO 4"), ("-NOPROTO unsupported protocol version\r\n".into(), 2));
    let (answer, version) = send("HELLO 3 SETNAME me");
    assert!(answer.starts_with("%7\r\n$6\r\nserver\r\n") && version == 3, "{answer}");
    assert!(answer.contains("$5\r\nproto\r\n:3\r\n") && answer.contains("standalone"), "{answer}");
    assert_eq!(send("CLIENT GETNAME").0, "$2\r\nme\r\n");
    assert_eq!(send("HELLO 2 SETNAME \u{7f}").1, 3, "an error changes nothing");
    assert!(send("HELLO").0.starts_with("%7"), "without a version the negotiated one stays");
    assert_eq!(send("RESET"), ("+RESET\r\n".into(), 2));
    assert_eq!(send("CLIENT GETNAME").0, "$-1\r\n");
}

#[test]
fn a_standalone_node_reports_that_cluster_support_is_disabled() {
    for (line, answer) in [
        ("CLUSTER SLOTS", "-ERR This instance has cluster support disabled\r\n"),
        ("READONLY", "-ERR This instance has cluster support disabled\r\n"),
        ("SELECT 0", "+OK\r\n"),
        ("SELECT 1", "-ERR DB index is out of range\r\n"),
        ("CLIENT SETINFO LIB-VER 8.1.0", "+OK\r\n"),
    ] {
        assert_eq!(run_standalone(line), answer, "{line}");
    }
    assert!(run_standalone("INFO").contains("redis_mode:standalone\r\n"));
    let sections = run_standalone("INFO clients STATS nothing");
    assert!(
        sections.contains("# Clients\r\nconnected_clients:2\r\nmaxclients:9\r\n\r\n# Stats\r\n"),
        "{sections}"
    );
    assert!(!sections.contains("# Server") && run_standalone("INFO nothing") == "$0\r\n\r\n", "{sections}");
    assert!(run_in_cluster("INFO CLUSTER").contains("cluster_enabled:1\r\nmothpier_node:1\r\n"));
}

#[test]
fn slots_shards_and_nodes_describe_the_same_map() {
    let slots = run_in_cluster("CLUSTER SLOTS");
    assert!(
        slots.starts_with("*2\r\n*3\r\n:0\r\n:8191\r\n*4\r\n$8\r\n10.0.0.1\r\n:6379\r\n$40\r\n"),
        "{slots}"
    );
    assert!(slots.contains(":8192\r\n:16383\r\n*4\r\n$11\r\n2001:db8::2\r\n:7000\r\n"), "{slots}");
    let nodes = run_in_cluster("cluster nodes");
    let lines: Vec<&str> = nodes.lines().skip(1).filter(|l| !l.is_empty()).collect();
    assert!(lines[0].ends_with(" 10.0.0.1:6379@0 master - 0 0 0 connected 0-8191"), "{nodes}");
    assert!(
        lines[1].ends_with(" [2001:db8::2]:7000@0 myself,master - 0 0 0 connected 8192-16383"),
        "{nodes}"
    );
    let shards = run_in_cluster("Cluster Shards");
    assert!(shards.contains("$5\r\nslots\r\n*2\r\n:0\r\n:8191\r\n$5\r\nnodes\r\n*1\r\n*14\r\n"), "{shards}");
    let info = run_in_cluster("CLUSTER INFO");
    assert!(info.contains("cluster_state:ok\r\n") && info.contains("cluster_size:2\r\n"), "{info}");
    let id = lines[1].split(' ').next().unwrap();
    assert_eq!((id.len(), run_in_cluster("CLUSTER MYID")), (40, format!("$40\r\n{id}\r\n")));
}

#[test]
fn commands_sent_on_connect_are_answered() {
    for line in [
        "READONLY",
        "readwrite",
        "ASKING",
        "SELECT 0",
        "CLIENT SETNAME me",
        "CLIENT SETINFO LIB-NAME x",
        "client no-evict on",
    ] {
        assert_eq!(run_in_cluster(line), "+OK\r\n", "{line}");
    }
    assert!(run_in_cluster("HELLO").starts_with("*14\r\n$6\r\nserver\r\n$8\r\nmothpier\r\n"));
    assert_eq!(run_in_cluster("HELLO 2 SETNAME me"), run_in_cluster("HELLO"));
    assert_eq!(run_in_cluster("HELLO 4"), "-NOPROTO unsupported protocol version\r\n");
    assert_eq!(run_in_cluster("CLIENT ID"), ":7\r\n");
    assert_eq!(run_in_cluster("CLIENT GETNAME"), "$-1\r\n");
    assert_eq!(run_in_cluster("ECHO hi"), "$2\r\nhi\r\n");
    assert_eq!(run_in_cluster("PING hi"), "$2\r\nhi\r\n");
    assert_eq!(run_in_cluster("CLUSTER KEYSLOT somekey"), ":11058\r\n");
    assert_eq!(run_in_cluster("CLUSTER COUNTKEYSINSLOT 16383"), ":0\r\n");
    assert!(run_in_cluster("INFO server").contains("redis_mode:cluster"));
}

#[test]
fn command_reports_key_positions() {
    let get = "*10\r\n$9\r\ncache.get\r\n:4\r\n*1\r\n+readonly\r\n:1\r\n:1\r\n:1\r\n*0\r\n*0\r\n*0\r\n*0\r\n";
    assert_eq!(run_in_cluster("COMMAND INFO Cache.Get"), format!("*1\r\n{get}"));
    assert_eq!(run_in_cluster("COMMAND INFO nothing"), "*1\r\n*-1\r\n");
    let count = COMMANDS.len();
    assert_eq!(run_in_cluster("COMMAND COUNT"), format!(":{count}\r\n"));
    assert!(run_in_cluster("COMMAND").starts_with(&format!("*{count}\r\n{get}")));
    assert!(
        run_in_cluster("COMMAND DOCS cache.set")
            .starts_with("*2\r\n$9\r\ncache.set\r\n*6\r\n$7\r\nsummary\r\n")
    );
    assert_eq!(run_in_cluster("COMMAND GETKEYS CACHE.GET k i e"), "*1\r\n$1\r\nk\r\n");
}

#[test]
fn invalid_commands_get_the_documented_error() {
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
        (
            "HELLO 2 AUTH a b",
            "ERR AUTH called without any password configured for the default user: leave it out",
        ),
        ("HELLO 2 WHAT", "ERR Syntax error in HELLO option 'what'"),
        ("SELECT 1", "ERR SELECT is not allowed in cluster mode"),
        ("READONLY x", "ERR wrong number of arguments for 'readonly' command"),
        ("CLIENT SETINFO what x", "ERR Unrecognized option"),
    ] {
        assert_eq!(run_in_cluster(line), format!("-{error}\r\n"), "{line}");
    }
    // Names sent by a client are quoted truncated and without line ends.
    let arguments: [&[u8]; 2] = [b"CLUSTER", &[b'\n'; 100]];
    let (tier, mut connection) = (tier(), Connection::default());
    let node_info = NodeInfo { tier: Some(&tier), ..NodeInfo::default() };
    let reply = answer(&arguments, &node_info, &mut connection).unwrap().encode(Version::Two);
    assert_eq!(reply.iter().filter(|b| **b == b'\n').count(), 1);
    for line in ["PING", "QUIT", "CACHE.GET k i e", "GET k", ""] {
        assert_eq!(run_in_cluster(line), "none", "{line}");
    }
}
