use std::net::SocketAddr;

use redis_protocol::{resp2, resp3};

use super::*;

fn tier() -> Tier {
    let nodes = ["10.0.0.1:6379", "[2001:db8::2]:7000"].map(|a| a.parse::<SocketAddr>().unwrap());
    Tier::new(nodes.to_vec(), 1, false, 1).unwrap()
}

fn said(line: &str, tier: Option<&Tier>, connection: &mut Connection) -> String {
    let words: Vec<&[u8]> = line.split(' ').map(str::as_bytes).collect();
    let facts = Facts {
        tier,
        uptime_s: 5,
        clients: 2,
        most_clients: 9,
        connections: 3,
        commands: 4,
        open: 1,
        ..Facts::default()
    };
    let value = answer(&words, &facts, connection);
    value.map_or("none".into(), |v| String::from_utf8(v.encode(connection.version())).unwrap())
}

fn ask(line: &str) -> String {
    said(line, Some(&tier()), &mut Connection::new(7))
}

fn plain(line: &str) -> String {
    said(line, None, &mut Connection::new(7))
}

/// Every command in both versions has one meaning, frame by frame: what differs is the form of maps, sets, texts and
/// nothing.
#[test]
fn both_versions_say_the_same() {
    let flat = |line: &str, tier: Option<&Tier>| {
        let mut three = Connection::new(7);
        said("HELLO 3", tier, &mut three);
        let (two, three) = (said(line, tier, &mut Connection::new(7)), said(line, tier, &mut three));
        let two = resp2::decode::decode_bytes(&two.into()).unwrap().unwrap().0;
        let three = resp3::decode::complete::decode_bytes(&three.into()).unwrap().unwrap().0;
        (leaves2(&two), leaves3(&three))
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
            // Maps and sets have no order in the codec.
            two.sort();
            three.sort();
            assert_eq!(two, three, "{line}");
        }
    }
}

fn leaves2(frame: &resp2::types::BytesFrame) -> Vec<String> {
    use resp2::types::BytesFrame as F;
    match frame {
        F::Array(parts) => parts.iter().flat_map(leaves2).collect(),
        F::Null => vec!["nothing".into()],
        F::Integer(n) => vec![n.to_string()],
        F::BulkString(b) | F::SimpleString(b) => vec![String::from_utf8_lossy(b).into_owned()],
        F::Error(e) => vec![format!("error {e}")],
    }
}

fn leaves3(frame: &resp3::types::BytesFrame) -> Vec<String> {
    use resp3::types::BytesFrame as F;
    match frame {
        F::Array { data, .. } => data.iter().flat_map(leaves3).collect(),
        F::Set { data, .. } => data.iter().flat_map(leaves3).collect(),
        F::Map { data, .. } => data.iter().flat_map(|(n, v)| [leaves3(n), leaves3(v)].concat()).collect(),
        F::Null => vec!["nothing".into()],
        F::Number { data, .. } => vec![data.to_string()],
        F::BlobString { data, .. } | F::SimpleString { data, .. } | F::VerbatimString { data, .. } => {
            vec![String::from_utf8_lossy(data).into_owned()]
        }
        F::SimpleError { data, .. } => vec![format!("error {data}")],
        other => panic!("a form that nothing here has: {other:?}"),
    }
}

#[test]
fn hello_settles_the_version_whole_or_not_at_all() {
    let mut c = Connection::new(7);
    let mut say = |line: &str| (said(line, None, &mut c), c.version().number());
    assert_eq!(say("HELLO 3 AUTH default x").1, 2);
    assert_eq!(say("HELLO 3 SETNAME a b").1, 2);
    assert_eq!(say("HELLO 4"), ("-NOPROTO unsupported protocol version\r\n".into(), 2));
    let (answer, version) = say("HELLO 3 SETNAME me");
    assert!(answer.starts_with("%7\r\n$6\r\nserver\r\n") && version == 3, "{answer}");
    assert!(answer.contains("$5\r\nproto\r\n:3\r\n") && answer.contains("standalone"), "{answer}");
    assert_eq!(say("CLIENT GETNAME").0, "$2\r\nme\r\n");
    assert_eq!(say("HELLO 2 SETNAME \u{7f}").1, 3, "an error leaves all as it was");
    assert!(say("HELLO").0.starts_with("%7"), "without a version the one that is settled stays");
    assert_eq!(say("RESET"), ("+RESET\r\n".into(), 2));
    assert_eq!(say("CLIENT GETNAME").0, "$-1\r\n");
}

#[test]
fn a_plain_node_answers_too_and_says_that_it_is_no_cluster() {
    for (line, answer) in [
        ("CLUSTER SLOTS", "-ERR This instance has cluster support disabled\r\n"),
        ("READONLY", "-ERR This instance has cluster support disabled\r\n"),
        ("SELECT 0", "+OK\r\n"),
        ("SELECT 1", "-ERR DB index is out of range\r\n"),
        ("CLIENT SETINFO LIB-VER 8.1.0", "+OK\r\n"),
    ] {
        assert_eq!(plain(line), answer, "{line}");
    }
    assert!(plain("INFO").contains("redis_mode:standalone\r\n"));
    let some = plain("INFO clients STATS nothing");
    assert!(some.contains("# Clients\r\nconnected_clients:2\r\nmaxclients:9\r\n\r\n# Stats\r\n"), "{some}");
    assert!(!some.contains("# Server") && plain("INFO nothing") == "$0\r\n\r\n", "{some}");
    assert!(ask("INFO CLUSTER").contains("cluster_enabled:1\r\nmothpier_node:1\r\n"));
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
    assert!(shards.contains("$5\r\nslots\r\n*2\r\n:0\r\n:8191\r\n$5\r\nnodes\r\n*1\r\n*14\r\n"), "{shards}");
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
    assert_eq!(ask("HELLO 4"), "-NOPROTO unsupported protocol version\r\n");
    assert_eq!(ask("CLIENT ID"), ":7\r\n");
    assert_eq!(ask("CLIENT GETNAME"), "$-1\r\n");
    assert_eq!(ask("ECHO hi"), "$2\r\nhi\r\n");
    assert_eq!(ask("PING hi"), "$2\r\nhi\r\n");
    assert_eq!(ask("CLUSTER KEYSLOT somekey"), ":11058\r\n");
    assert_eq!(ask("CLUSTER COUNTKEYSINSLOT 16383"), ":0\r\n");
    assert!(ask("INFO server").contains("redis_mode:cluster"));
}

#[test]
fn commands_tell_where_their_keys_stand() {
    let get = "*10\r\n$9\r\ncache.get\r\n:4\r\n*1\r\n+readonly\r\n:1\r\n:1\r\n:1\r\n*0\r\n*0\r\n*0\r\n*0\r\n";
    assert_eq!(ask("COMMAND INFO Cache.Get"), format!("*1\r\n{get}"));
    assert_eq!(ask("COMMAND INFO nothing"), "*1\r\n*-1\r\n");
    let count = KNOWN.len();
    assert_eq!(ask("COMMAND COUNT"), format!(":{count}\r\n"));
    assert!(ask("COMMAND").starts_with(&format!("*{count}\r\n{get}")));
    assert!(ask("COMMAND DOCS cache.set").starts_with("*2\r\n$9\r\ncache.set\r\n*6\r\n$7\r\nsummary\r\n"));
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
        (
            "HELLO 2 AUTH a b",
            "ERR AUTH called without any password configured for the default user: leave it out",
        ),
        ("HELLO 2 WHAT", "ERR Syntax error in HELLO option 'what'"),
        ("SELECT 1", "ERR SELECT is not allowed in cluster mode"),
        ("READONLY x", "ERR wrong number of arguments for 'readonly' command"),
        ("CLIENT SETINFO what x", "ERR Unrecognized option"),
    ] {
        assert_eq!(ask(line), format!("-{error}\r\n"), "{line}");
    }
    // What a client sends comes back short and without line ends.
    let words: [&[u8]; 2] = [b"CLUSTER", &[b'\n'; 100]];
    let (tier, mut connection) = (tier(), Connection::default());
    let facts = Facts { tier: Some(&tier), ..Facts::default() };
    let said = answer(&words, &facts, &mut connection).unwrap().encode(Version::Two);
    assert_eq!(said.iter().filter(|b| **b == b'\n').count(), 1);
    for own in ["PING", "QUIT", "CACHE.GET k i e", "GET k", ""] {
        assert_eq!(ask(own), "none", "{own}");
    }
}
