//! Variants of the settings: each value left out, and each number set to zero, a negative, a fraction or a
//! huge value, and each switch inverted. A node must serve with them or report in one line why it does not
//! start.
#![allow(missing_docs)]

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::process::Stdio;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;

use mothpier_world::loopback::*;
use serde_json::{Value, json};

/// Number of nodes that run concurrently.
const CONCURRENT_NODES: usize = 8;

/// Returns the settings of the other tests with the optional values that they leave out.
fn base_settings() -> Value {
    let mut settings: Value = serde_json::from_str(SETTINGS).unwrap();
    settings["classes"][1] = json!({"name": "once", "deadlineUs": 2_000_000, "goalTimeUs": 1_000_000, "gain": 8.0,
        "effect": "token", "dedupScope": "zone", "dedupWindowUs": 3_000_000});
    for (name, value) in [
        ("askWithinUs", 1e6),
        ("coldShare", 0.2),
        ("fallMultiple", 3.0),
        ("tipAfterUs", 2e6),
        ("drainReleaseUs", 1e6),
    ] {
        settings["guarantees"][name] = json!(value);
    }
    settings
}

/// Appends the JSON pointer of every value below `value`, whose own pointer is `at`.
fn collect_pointers(value: &Value, at: &str, all: &mut Vec<String>) {
    let children: Vec<(String, &Value)> = match value {
        Value::Object(map) => map.iter().map(|(name, value)| (name.clone(), value)).collect(),
        Value::Array(list) => list.iter().enumerate().map(|(i, value)| (i.to_string(), value)).collect(),
        _ => Vec::new(),
    };
    for (name, value) in children {
        let pointer = format!("{at}/{name}");
        collect_pointers(value, &pointer, all);
        all.push(pointer);
    }
}

/// Returns the settings without the value at a pointer.
fn without(mut settings: Value, pointer: &str) -> Value {
    let (parent, name) = pointer.rsplit_once('/').unwrap();
    match settings.pointer_mut(parent).unwrap() {
        Value::Object(map) => drop(map.remove(name)),
        Value::Array(list) => drop(list.remove(name.parse().unwrap())),
        _ => unreachable!(),
    }
    settings
}

/// Returns each variant of the settings with a description of its difference.
fn variants() -> Vec<(String, Value)> {
    let base = base_settings();
    let mut all = Vec::new();
    collect_pointers(&base, "", &mut all);
    let mut variants = Vec::new();
    for pointer in all {
        variants.push((format!("{pointer} left out"), without(base.clone(), &pointer)));
        let replacements: Vec<Value> = match base.pointer(&pointer).unwrap() {
            Value::Number(_) => [0.0, -1.0, 1.0, 0.4, 1e18].map(|n| json!(n)).into(),
            Value::Bool(switch) => vec![json!(!switch)],
            _ => Vec::new(),
        };
        for replacement in replacements.into_iter().flat_map(|n| match n.as_f64() {
            // The integer form as well, for values that must be integers.
            Some(f) if f.fract() == 0.0 && f.abs() < 10.0 => vec![json!(f as i64), n],
            _ => vec![n],
        }) {
            let mut settings = base.clone();
            *settings.pointer_mut(&pointer).unwrap() = replacement.clone();
            variants.push((format!("{pointer} = {replacement}"), settings));
        }
    }
    variants
}

/// Starts a node with the settings and returns whether it served. If it did not start, checks that it logged
/// exactly one line, which names the settings.
fn serves(number: usize, variant: &str, settings: &Value, discovery: SocketAddr) -> bool {
    let name = format!("settings-{number}");
    let mut command = node_command(&name, discovery, 256, "");
    let path = config_path(&name);
    let mut config: Value = serde_json::from_str(&std::fs::read_to_string(&path).unwrap()).unwrap();
    config["settings"] = settings.clone();
    std::fs::write(&path, config.to_string()).unwrap();
    let mut child = command.stderr(Stdio::piped()).spawn().unwrap();
    let mut lines = BufReader::new(child.stderr.take().unwrap()).lines().map_while(Result::ok);
    let mut messages = Vec::new();
    let address = lines.by_ref().find_map(|line| {
        let address = line.split_once(" listens on ").and_then(|(_, at)| at.trim_end().parse().ok());
        messages.push(line);
        address
    });
    let Some(address) = address else {
        assert_eq!(child.wait().unwrap().code(), Some(2), "{variant}: {messages:?}");
        assert_eq!(messages.len(), 1, "{variant}: {messages:?}");
        assert!(messages[0].contains("unreadable settings"), "{variant}: {messages:?}");
        return false;
    };
    let log = thread::spawn(move || lines.collect::<Vec<_>>());
    let mut client = Client::connect(address);
    for arguments in [
        vec!["PING"],
        vec!["CACHE.GET", "k", "i1", "c=read,t=acme,d=300"],
        vec!["CACHE.GET", "k", "i2", "c=once,t=acme,d=300"],
        vec!["CACHE.SET", "k", "i3", "c=once,t=acme,d=300,k=7", "v"],
        vec!["CACHE.GET", "k", "i4", "c=brief,t=acme,d=300"],
        vec!["PING"],
    ] {
        let answer = client.ask(&arguments);
        let expected = ["$v", "-BUSY", "-ERR", "+PONG"].iter().any(|prefix| answer.starts_with(prefix));
        assert!(expected, "{variant}: unexpected answer to {arguments:?}: {answer:?}");
    }
    assert!(child.try_wait().unwrap().is_none(), "{variant}: the node has ended");
    child.kill().unwrap();
    child.wait().unwrap();
    let log = log.join().unwrap().join("\n");
    assert!(!log.contains("panicked"), "{variant}: {log}");
    true
}

/// Unusual settings must not make a node panic, hang or answer outside the protocol. Sites set values that no
/// other test uses, so each value is varied by itself.
#[test]
fn a_node_serves_with_any_settings_or_reports_why_it_does_not_start() {
    let now_ms = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap().as_millis();
    let server = serve(command, |_| array("v"));
    let origin = serve(call, |_| http("200 OK", "v"));
    // A server that has just started, so that the settings for cold servers apply.
    let server_entry = member("s-1", server, "m", "ready")
        .replace("\"up_since_ms\":0", &format!("\"up_since_ms\":{now_ms}"));
    let discovery = Discovery::start(&[server_entry, member("o-1", origin, "origin", "ready")].join(","));
    let at = discovery.address;
    let (variants, next, served) = (variants(), AtomicUsize::new(0), AtomicUsize::new(0));
    thread::scope(|scope| {
        for _ in 0..CONCURRENT_NODES {
            scope.spawn(|| {
                loop {
                    let number = next.fetch_add(1, Ordering::SeqCst);
                    let Some((variant, settings)) = variants.get(number) else { return };
                    served.fetch_add(serves(number, variant, settings, at).into(), Ordering::SeqCst);
                }
            });
        }
    });
    let served = served.into_inner();
    assert!(served * 10 > variants.len() * 7, "{served} of {} served", variants.len());
}
