//! Tests with a disk that fails for a while, and with a process killed in the middle of a write: acknowledged
//! writes are kept, a held lease is granted to nobody else, and the coordinator recovers by itself within
//! [`RECOVERY_TIMEOUT`] after the disk works again.
#![allow(missing_docs)]

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use mothpier_fault_control::{FaultControl, Setting};
use mothpier_world::loopback;
use serde_json::{Value, json};

/// How long the disk fails.
const FAILURE_DURATION: Duration = Duration::from_secs(5);
/// Longest time from when the disk works again until commands are acknowledged again.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(5);
const CALL_TIMEOUT: Duration = Duration::from_secs(4);
const TTL_MS: u64 = 3_000;
const LEASE: &str = "roll";

struct Coordinator {
    child: Child,
    address: SocketAddr,
    log: PathBuf,
    control: FaultControl,
}

impl Drop for Coordinator {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Coordinator {
    fn start(directory: &Path) -> Self {
        let (address, log, faults) =
            (loopback::unused_address(), directory.join("log"), directory.join("faults"));
        let control = FaultControl::create(&faults).unwrap();
        let log_file = std::fs::OpenOptions::new().create(true).append(true).open(&log).unwrap();
        let child = Command::new(env!("CARGO_BIN_EXE_mothpier-coordinator"))
            .args(["run", "--single"])
            .arg(directory.join("store"))
            .arg(format!("--listen={address}"))
            .envs(control.environment(&loopback::fault_library_folder()))
            .stdin(Stdio::null())
            .stderr(log_file)
            .spawn()
            .unwrap();
        let coordinator = Coordinator { child, address, log, control };
        wait_until("the coordinator answers", || {
            get(address, "/v1/leases").filter(|(status, _)| *status == 200)
        });
        coordinator
    }

    fn has_exited(&mut self) -> bool {
        self.child.try_wait().unwrap().is_some()
    }
}

fn send_raw(address: SocketAddr, bytes: &[u8]) -> Option<(u16, Value)> {
    let mut stream = TcpStream::connect(address).ok()?;
    stream.set_read_timeout(Some(CALL_TIMEOUT)).ok()?;
    stream.write_all(bytes).ok()?;
    let mut text = Vec::new();
    let _ = stream.read_to_end(&mut text);
    let text = String::from_utf8_lossy(&text).into_owned();
    let (head, body) = text.split_once("\r\n\r\n")?;
    Some((head.split(' ').nth(1)?.parse().ok()?, serde_json::from_str(body).unwrap_or_default()))
}

fn get(address: SocketAddr, path: &str) -> Option<(u16, Value)> {
    send_raw(address, format!("GET {path} HTTP/1.1\r\nHost: c\r\nConnection: close\r\n\r\n").as_bytes())
}

fn command(address: SocketAddr, command: &Value) -> Option<(u16, Value)> {
    let body = json!({"cluster": "single", "command": command}).to_string();
    let length = body.len();
    let head = format!(
        "POST /v1/command HTTP/1.1\r\nHost: c\r\nConnection: close\r\nContent-Length: {length}\r\n\r\n"
    );
    send_raw(address, format!("{head}{body}").as_bytes())
}

fn wait_until<T>(what: &str, mut probe: impl FnMut() -> Option<T>) -> T {
    let started_at = Instant::now();
    loop {
        if let Some(found) = probe() {
            return found;
        }
        assert!(started_at.elapsed() < Duration::from_secs(30), "{what}: not within 30 s");
        thread::sleep(Duration::from_millis(20));
    }
}

fn open(session: &str, ttl_ms: u64) -> Value {
    json!({"do": "open", "session": session, "ttl_ms": ttl_ms})
}

fn put(number: u64) -> Value {
    let request = json!({"ask": "put", "key": format!("k{number}"), "value": "v", "at": null});
    json!({"do": "ask", "session": "writer", "number": number, "request": request})
}

fn acquire(session: &str) -> Value {
    let request = json!({"ask": "acquire", "lease": LEASE, "wait": true});
    json!({"do": "ask", "session": session, "number": 1, "request": request})
}

fn acknowledged(address: SocketAddr, what: &Value) -> Option<Value> {
    command(address, what).filter(|(status, _)| *status == 200).map(|(_, answer)| answer["answer"].clone())
}

/// Opens a session that writes and one that holds the lease. Returns the fence of the lease.
fn prepare(address: SocketAddr) -> u64 {
    wait_until("sessions are open", || acknowledged(address, &open("writer", 600_000)));
    wait_until("sessions are open", || acknowledged(address, &open("holder", TTL_MS)));
    wait_until("the lease is granted", || acknowledged(address, &acquire("holder")))["fence"]
        .as_u64()
        .unwrap()
}

/// Writes values one after the other until `stop` is set, each repeated until it is acknowledged. Returns the
/// number of the last acknowledged value.
fn write_until_stopped(address: SocketAddr, first: u64, stop: &AtomicBool) -> u64 {
    let mut number = first;
    while !stop.load(Ordering::SeqCst) {
        if acknowledged(address, &put(number)).is_some() {
            number += 1;
        }
        thread::sleep(Duration::from_millis(10));
    }
    number - 1
}

/// Renews the holder's session, as its client does, until `stop` is set.
fn renew_until_stopped(address: SocketAddr, stop: &AtomicBool) {
    while !stop.load(Ordering::SeqCst) {
        let _ = command(address, &json!({"do": "renew", "session": "holder"}));
        thread::sleep(Duration::from_millis(TTL_MS / 6));
    }
}

fn assert_all_written(address: SocketAddr, written: u64) {
    let (_, body) =
        wait_until("the values are read", || get(address, "/v1/values").filter(|(status, _)| *status == 200));
    let missing: Vec<u64> = (1..=written).filter(|n| !body["values"][format!("k{n}")].is_object()).collect();
    assert!(missing.is_empty(), "acknowledged but lost: {missing:?} of {written}");
}

/// Asserts that if the lease is held, it is by the same session under the same fence.
fn assert_one_holder(address: SocketAddr, fence: u64) {
    let (_, body) =
        wait_until("the leases are read", || get(address, "/v1/leases").filter(|(status, _)| *status == 200));
    let lease_entry =
        body["leases"].as_array().unwrap().iter().find(|lease| lease["lease"] == LEASE).cloned();
    if let Some(lease_entry) = lease_entry {
        assert_eq!(
            (lease_entry["holder"].as_str(), lease_entry["fence"].as_u64()),
            (Some("holder"), Some(fence))
        );
    }
}

fn survive_disk_failure(failures_per_1000: i64) {
    let directory = tempfile::tempdir().unwrap();
    let mut coordinator = Coordinator::start(directory.path());
    let (address, stop) = (coordinator.address, AtomicBool::new(false));
    let fence = prepare(address);
    let written = thread::scope(|scope| {
        let writer = scope.spawn(|| write_until_stopped(address, 1, &stop));
        scope.spawn(|| renew_until_stopped(address, &stop));
        thread::sleep(Duration::from_millis(300));
        coordinator.control.set(Setting::FailingDisk, failures_per_1000).unwrap();
        thread::sleep(FAILURE_DURATION / 2);
        let state = get(address, "/v1/status").map(|(_, state)| state["store_failure"].clone());
        thread::sleep(FAILURE_DURATION / 2);
        coordinator.control.set(Setting::FailingDisk, 0).unwrap();
        let repaired_at = Instant::now();
        let exited = coordinator.has_exited();
        let recovered = (0..).find_map(|_| {
            let recovered =
                !exited && acknowledged(address, &json!({"do": "renew", "session": "writer"})).is_some();
            thread::sleep(Duration::from_millis(20));
            (recovered || repaired_at.elapsed() > RECOVERY_TIMEOUT).then_some(recovered)
        });
        let recovery_time = repaired_at.elapsed();
        thread::sleep(Duration::from_millis(200));
        stop.store(true, Ordering::SeqCst);
        let written = writer.join().unwrap();
        println!(
            "{failures_per_1000} of 1000 disk calls fail: recovered after {recovery_time:?}, {written} written, state {state:?}"
        );
        assert!(!exited, "{failures_per_1000}: the coordinator exited");
        assert_eq!(
            recovered,
            Some(true),
            "{failures_per_1000}: not recovered within {RECOVERY_TIMEOUT:?} after the disk worked again"
        );
        if failures_per_1000 == 1000 {
            assert!(state.is_some_and(|s| s.is_string()), "the status does not report the store failure");
        }
        written
    });
    assert_all_written(address, written);
    assert_one_holder(address, fence);
    let log = std::fs::read_to_string(&coordinator.log).unwrap();
    let lines = log.lines().filter(|line| line.contains("store")).count();
    if failures_per_1000 > 0 {
        assert!((1..100).contains(&lines), "{lines} log lines about the store: {log}");
    }
}

#[test]
fn a_coordinator_survives_a_disk_that_fails_for_a_while() {
    thread::scope(|scope| {
        for failures_per_1000 in [0, 100, 1000] {
            scope.spawn(move || survive_disk_failure(failures_per_1000));
        }
    });
}

/// Returns the number of kills to play, one per seed: `KILL_SEEDS`, or 6 by default.
fn kill_seeds() -> u64 {
    std::env::var("KILL_SEEDS").ok().and_then(|n| n.parse().ok()).unwrap_or(6)
}

fn kill_during_write(seed: u64) {
    let directory = tempfile::tempdir().unwrap();
    let mut coordinator = Coordinator::start(directory.path());
    let stop = AtomicBool::new(false);
    let fence = prepare(coordinator.address);
    coordinator.control.set(Setting::Seed, seed as i64).unwrap();
    coordinator.control.set(Setting::FailingDisk, if seed.is_multiple_of(2) { 0 } else { 60 }).unwrap();
    coordinator.control.set(Setting::KillInDiskWrite, 1 + (seed * 7 % 41) as i64).unwrap();
    let address = coordinator.address;
    let written = thread::scope(|scope| {
        let writer = scope.spawn(|| write_until_stopped(address, 1, &stop));
        let started_at = Instant::now();
        while !coordinator.has_exited() && started_at.elapsed() < Duration::from_secs(10) {
            thread::sleep(Duration::from_millis(5));
        }
        stop.store(true, Ordering::SeqCst);
        writer.join().unwrap()
    });
    assert!(coordinator.has_exited(), "seed {seed}: the coordinator was not killed");
    drop(coordinator);
    let started_at = Instant::now();
    let restarted = Coordinator::start(directory.path());
    assert!(
        started_at.elapsed() < RECOVERY_TIMEOUT,
        "seed {seed}: restarted after {:?}",
        started_at.elapsed()
    );
    assert_all_written(restarted.address, written);
    assert_one_holder(restarted.address, fence);
}

#[test]
fn a_coordinator_killed_during_a_write_keeps_all_acknowledged_writes() {
    for first in (0..kill_seeds()).step_by(6) {
        thread::scope(|scope| {
            for seed in first..(first + 6).min(kill_seeds()) {
                scope.spawn(move || kill_during_write(seed));
            }
        });
    }
}
