//! Settings of other customers: each figure left out, at zero, below it, far too large, or broken, and each switch turned.
//! A node serves with them or says in one line why it does not start.
#![allow(missing_docs)]

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::process::Stdio;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;

use mothpier_world::loopback::*;
use serde_json::{Value, json};

/// Nodes that run at once.
const AT_ONCE: usize = 8;

/// What stands in the settings besides what tests use: figures that only some customers have.
fn base() -> Value {
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

/// The place of everything in a value, as pointers.
fn places(value: &Value, at: &str, all: &mut Vec<String>) {
    let below: Vec<(String, &Value)> = match value {
        Value::Object(map) => map.iter().map(|(name, value)| (name.clone(), value)).collect(),
        Value::Array(list) => list.iter().enumerate().map(|(i, value)| (i.to_string(), value)).collect(),
        _ => Vec::new(),
    };
    for (name, value) in below {
        let place = format!("{at}/{name}");
        places(value, &place, all);
        all.push(place);
    }
}

/// The settings without what stands at a place.
fn without(mut settings: Value, place: &str) -> Value {
    let (parent, name) = place.rsplit_once('/').unwrap();
    match settings.pointer_mut(parent).unwrap() {
        Value::Object(map) => drop(map.remove(name)),
        Value::Array(list) => drop(list.remove(name.parse().unwrap())),
        _ => unreachable!(),
    }
    settings
}

fn variants() -> Vec<(String, Value)> {
    let base = base();
    let mut all = Vec::new();
    places(&base, "", &mut all);
    let mut variants = Vec::new();
    for place in all {
        variants.push((format!("{place} left out"), without(base.clone(), &place)));
        let others: Vec<Value> = match base.pointer(&place).unwrap() {
            Value::Number(_) => [0.0, -1.0, 1.0, 0.4, 1e18].map(|n| json!(n)).into(),
            Value::Bool(is) => vec![json!(!is)],
            _ => Vec::new(),
        };
        for other in others.into_iter().flat_map(|n| match n.as_f64() {
            // Where only whole numbers are taken.
            Some(f) if f.fract() == 0.0 && f.abs() < 10.0 => vec![json!(f as i64), n],
            _ => vec![n],
        }) {
            let mut settings = base.clone();
            *settings.pointer_mut(&place).unwrap() = other.clone();
            variants.push((format!("{place} = {other}"), settings));
        }
    }
    variants
}

/// Whether it served; what is said otherwise is one line that names the settings.
fn serves(number: usize, what: &str, settings: &Value, discovery: SocketAddr) -> bool {
    let name = format!("settings-{number}");
    let mut command = node_command(&name, discovery, 256, "");
    let path = config_path(&name);
    let mut config: Value = serde_json::from_str(&std::fs::read_to_string(&path).unwrap()).unwrap();
    config["settings"] = settings.clone();
    std::fs::write(&path, config.to_string()).unwrap();
    let mut child = command.stderr(Stdio::piped()).spawn().unwrap();
    let mut lines = BufReader::new(child.stderr.take().unwrap()).lines().map_while(Result::ok);
    let mut said = Vec::new();
    let address = lines.by_ref().find_map(|line| {
        let address = line.split_once(" listens on ").and_then(|(_, at)| at.trim_end().parse().ok());
        said.push(line);
        address
    });
    let Some(address) = address else {
        assert_eq!(child.wait().unwrap().code(), Some(2), "{what}: {said:?}");
        assert_eq!(said.len(), 1, "{what}: {said:?}");
        assert!(said[0].contains("unreadable settings"), "{what}: {said:?}");
        return false;
    };
    let log = thread::spawn(move || lines.collect::<Vec<_>>());
    let mut client = Client::connect(address);
    for words in [
        vec!["PING"],
        vec!["CACHE.GET", "k", "i1", "c=read,t=acme,d=300"],
        vec!["CACHE.GET", "k", "i2", "c=once,t=acme,d=300"],
        vec!["CACHE.SET", "k", "i3", "c=once,t=acme,d=300,k=7", "v"],
        vec!["CACHE.GET", "k", "i4", "c=brief,t=acme,d=300"],
        vec!["PING"],
    ] {
        let answer = client.ask(&words);
        let known = ["$v", "-BUSY", "-ERR", "+PONG"].iter().any(|known| answer.starts_with(known));
        assert!(known, "{what}: {words:?} is answered {answer:?}");
    }
    assert!(child.try_wait().unwrap().is_none(), "{what}: it has ended");
    child.kill().unwrap();
    child.wait().unwrap();
    let log = log.join().unwrap().join("\n");
    assert!(!log.contains("panicked"), "{what}: {log}");
    true
}

#[test]
fn a_node_serves_with_any_settings_or_says_why_it_does_not_start() {
    let cold = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap().as_millis();
    let server = serve(command, |_| array("v"));
    let origin = serve(call, |_| http("200 OK", "v"));
    // One that has just started: what is reckoned from its age is reckoned, too.
    let line =
        member("s-1", server, "m", "ready").replace("\"up_since_ms\":0", &format!("\"up_since_ms\":{cold}"));
    let discovery = Discovery::start(&[line, member("o-1", origin, "origin", "ready")].join(","));
    let at = discovery.address;
    let (variants, next, served) = (variants(), AtomicUsize::new(0), AtomicUsize::new(0));
    thread::scope(|scope| {
        for _ in 0..AT_ONCE {
            scope.spawn(|| {
                loop {
                    let number = next.fetch_add(1, Ordering::SeqCst);
                    let Some((what, settings)) = variants.get(number) else { return };
                    served.fetch_add(serves(number, what, settings, at).into(), Ordering::SeqCst);
                }
            });
        }
    });
    let served = served.into_inner();
    assert!(served * 10 > variants.len() * 7, "{served} of {} served", variants.len());
}
