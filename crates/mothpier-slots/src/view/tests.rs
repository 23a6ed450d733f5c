use redis_protocol::resp2::decode::decode_bytes;

use super::*;

/// Builds a frame from a short notation: numbers, words, `~` for null, `''` for an empty string, and arrays
/// in brackets.
fn frame(text: &str) -> BytesFrame {
    let mut stack = vec![Vec::new()];
    for word in text.replace('[', " [ ").replace(']', " ] ").split_whitespace() {
        let parsed = match (word, word.parse::<i64>()) {
            ("[", _) => {
                stack.push(Vec::new());
                continue;
            }
            ("]", _) => BytesFrame::Array(stack.pop().unwrap()),
            ("~", _) => BytesFrame::Null,
            ("''", _) => BytesFrame::BulkString("".into()),
            (_, Ok(n)) => BytesFrame::Integer(n),
            _ => BytesFrame::BulkString(word.to_owned().into()),
        };
        stack.last_mut().unwrap().push(parsed);
    }
    stack.remove(0).remove(0)
}

fn endpoints(member: &ClusterMember) -> Vec<String> {
    member
        .endpoints
        .iter()
        .map(|endpoint| format!("{:?}:{}", endpoint.host, endpoint.port.unwrap_or(0)))
        .collect()
}

#[test]
fn shards_match_the_reference_page() {
    // The example of the reference page of CLUSTER SHARDS, with a second shard whose master accepts only TLS.
    let answer = frame(
        "[ [ slots [ 0 5460 ] nodes [
            [ id e10b port 30001 ip 127.0.0.1 endpoint 127.0.0.1 role master replication-offset 72156 health online ]
            [ id 1901 port 30004 ip 127.0.0.1 endpoint 127.0.0.1 role replica replication-offset 72156 health online ]
            [ id 1902 port 30005 ip 127.0.0.1 endpoint 127.0.0.1 role replica replication-offset 0 health loading ] ] ]
          [ slots [ 10923 11110 11113 16383 ] nodes [
            [ id fd20 tls-port 30002 ip 10.0.0.2 hostname pb7.example.org endpoint pb7.example.org role master health online new-in-9 [ 1 2 ] ] ] ]
          [ slots [ 7 7 ] nodes [ [ id aa port 1 ip 10.0.0.9 endpoint ~ role replica health online ] ] ] ]",
    );
    let ranges = shards(&answer).unwrap();
    let bounds: Vec<_> = ranges.iter().map(|range| (range.first, range.last, range.replicas.len())).collect();
    assert_eq!(bounds, [(0, 5460, 1), (10923, 11110, 0), (11113, 16383, 0)]);
    assert_eq!(endpoints(&ranges[0].owner), ["Address(127.0.0.1):30001"]);
    assert_eq!(endpoints(&ranges[1].owner), [r#"Name("pb7.example.org"):30002"#, "Address(10.0.0.2):30002"]);
    assert_eq!(ranges[1].owner.alias, Some(("pb7.example.org".into(), [10, 0, 0, 2].into())));
}

#[test]
fn slots_of_old_and_new_servers_are_parsed() {
    let answer = frame(
        "[ [ 0 5460 [ 127.0.0.1 30001 09db [ hostname pb1.example.org ] ] [ 127.0.0.1 30004 821d ] ]
           [ 5461 10922 [ ~ 30002 c9d9 [ ] ] ] [ 10923 16383 [ ? 30003 0448 [ ip 10.0.0.3 ] ] ] [ 3 3 [ '' 5 x ] ] ]",
    );
    let ranges = slots(&answer).unwrap();
    assert_eq!(ranges.len(), 4);
    let owners: Vec<_> = ranges.iter().map(|range| endpoints(&range.owner)).collect();
    assert_eq!(owners[0], ["Address(127.0.0.1):30001", r#"Name("pb1.example.org"):30001"#]);
    // Null and empty endpoints are the queried host; for an unknown one the other fields of the map count.
    assert_eq!(owners[1], ["Same:30002"]);
    assert_eq!(owners[2], ["Address(10.0.0.3):30003"]);
    assert_eq!(owners[3], ["Same:5"]);
}

#[test]
fn the_epoch_is_read_from_cluster_info() {
    let info = |text: &str| BytesFrame::BulkString(text.to_owned().into());
    assert_eq!(epoch(&info("cluster_state:ok\r\ncluster_current_epoch:6\r\ncluster_my_epoch:2\r\n")), Ok(6));
    assert!(epoch(&info("cluster_state:ok\r\n")).is_err());
    assert!(epoch(&info("cluster_current_epoch:-1\r\n")).is_err());
    let unknown = BytesFrame::Error("ERR unknown command 'CLUSTER'".into());
    assert_eq!(epoch(&unknown), Err(ViewError::UnknownCommand));
    let disabled = BytesFrame::Error("ERR This instance has cluster support disabled".into());
    assert!(matches!(epoch(&disabled), Err(ViewError::Error(_))));
}

#[test]
fn malformed_maps_are_rejected_whole() {
    for malformed in [
        "[ 1 ]",
        "[ [ 0 ] ]",
        "[ [ 0 1 ] ]",
        "[ [ 0 16384 [ 10.0.0.1 1 x ] ] ]",
        "[ [ 5 4 [ 10.0.0.1 1 x ] ] ]",
        "[ [ -1 4 [ 10.0.0.1 1 x ] ] ]",
        "[ [ 0 1 [ 10.0.0.1 0 x ] ] ]",
        "[ [ 0 1 [ 10.0.0.1 70000 x ] ] ]",
        "[ [ 0 1 [ ? 5 x ] ] ]",
        "[ [ a 1 [ 10.0.0.1 5 x ] ] ]",
    ] {
        assert!(slots(&frame(malformed)).is_err(), "{malformed}");
        assert!(shards(&frame(malformed)).is_err(), "{malformed}");
    }
    for malformed in [
        "[ [ slots [ 0 1 ] ] ]",
        "[ [ slots [ 0 ] nodes [ [ port 1 ip 10.0.0.1 role master ] ] ] ]",
        "[ [ slots [ 0 1 ] nodes [ [ port 1 ip 10.0.0.1 ] ] ] ]",
        "[ [ slots [ 0 1 ] nodes [ [ ip 10.0.0.1 role master ] ] ] ]",
        "[ [ slots [ 0 1 ] nodes [ [ port 1 ip 10.0.0.1 role master ] [ port 2 ip 10.0.0.1 role master ] ] ] ]",
    ] {
        assert!(matches!(shards(&frame(malformed)), Err(ViewError::Malformed(_))), "{malformed}");
    }
}

/// Random bytes from a server cause an error, never a panic.
#[test]
fn random_bytes_do_not_panic() {
    let mut rng = oorandom::Rand32::new(5);
    let valid = b"*1\r\n*3\r\n:0\r\n:5460\r\n*3\r\n$9\r\n127.0.0.1\r\n:30001\r\n$2\r\n09\r\n";
    for _ in 0..20_000 {
        let mut bytes = valid.to_vec();
        for _ in 0..1 + rng.rand_range(0..4) {
            let at = rng.rand_range(0..bytes.len() as u32) as usize;
            bytes[at] = b"*$:+-\r\n0129\xff"[rng.rand_range(0..12) as usize];
        }
        if let Ok(Some((frame, _))) = decode_bytes(&bytes.into()) {
            let _ = (slots(&frame), shards(&frame), epoch(&frame));
        }
    }
}
