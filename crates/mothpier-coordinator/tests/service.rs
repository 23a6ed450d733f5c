//! Tests of coordinators as processes: acknowledged writes survive every kill, a leader that is cut off
//! answers no reads, and invalid input from any client changes nothing.
#![allow(missing_docs)]

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use mothpier_world::loopback::unused_address;
use serde_json::{Value, json};

/// Far longer than any step takes, so that only a hang reaches it.
const HANG_TIMEOUT: Duration = Duration::from_secs(60);

struct Member {
    child: Child,
    address: SocketAddr,
    folder: PathBuf,
}

impl Drop for Member {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn coordinator_command() -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_mothpier-coordinator"));
    command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(Stdio::null());
    command
}

impl Member {
    fn start(file: &Path, address: SocketAddr, folder: PathBuf) -> Self {
        Member { child: coordinator_command().arg("run").arg(file).spawn().unwrap(), address, folder }
    }

    fn single(folder: &Path) -> Self {
        let address = unused_address();
        let child = coordinator_command()
            .arg("run")
            .arg("--single")
            .arg(folder)
            .arg(format!("--listen={address}"))
            .spawn()
            .unwrap();
        Member { child, address, folder: folder.into() }
    }

    fn kill(&mut self) {
        self.child.kill().unwrap();
        self.child.wait().unwrap();
    }

    fn signal(&self, name: &str) {
        let pid = self.child.id().to_string();
        assert!(Command::new("kill").args([&format!("-{name}"), &pid]).status().unwrap().success());
    }
}

/// Sends a request on a new connection. Returns the status and the body; `None` without a complete response
/// head.
fn send_raw(address: SocketAddr, bytes: &[u8]) -> Option<(u16, String)> {
    let mut stream = TcpStream::connect(address).ok()?;
    stream.set_read_timeout(Some(HANG_TIMEOUT)).ok()?;
    stream.write_all(bytes).ok()?;
    let mut text = Vec::new();
    let _ = stream.read_to_end(&mut text);
    let text = String::from_utf8_lossy(&text).into_owned();
    let (head, body) = text.split_once("\r\n\r\n")?;
    Some((head.split(' ').nth(1)?.parse().ok()?, body.to_owned()))
}

fn get(address: SocketAddr, path: &str) -> Option<(u16, Value)> {
    let (status, body) =
        send_raw(address, format!("GET {path} HTTP/1.1\r\nHost: c\r\nConnection: close\r\n\r\n").as_bytes())?;
    Some((status, serde_json::from_str(&body).unwrap_or_default()))
}

fn post(address: SocketAddr, path: &str, body: &str) -> Option<(u16, Value)> {
    let head = format!(
        "POST {path} HTTP/1.1\r\nHost: c\r\nConnection: close\r\nContent-Length: {}\r\n\r\n",
        body.len()
    );
    let (status, body) = send_raw(address, format!("{head}{body}").as_bytes())?;
    Some((status, serde_json::from_str(&body).unwrap_or_default()))
}

fn command(address: SocketAddr, cluster: &str, command: Value) -> Option<(u16, Value)> {
    post(address, "/v1/command", &json!({"cluster": cluster, "command": command}).to_string())
}

fn wait_until<T>(what: &str, mut probe: impl FnMut() -> Option<T>) -> T {
    let started_at = Instant::now();
    loop {
        if let Some(found) = probe() {
            return found;
        }
        assert!(started_at.elapsed() < HANG_TIMEOUT, "{what}: not within {HANG_TIMEOUT:?}");
        std::thread::sleep(Duration::from_millis(20));
    }
}

fn commit(addresses: &[SocketAddr], cluster: &str, what: Value) -> Value {
    wait_until("a command is committed", || {
        addresses.iter().find_map(|address| {
            command(*address, cluster, what.clone())
                .filter(|(s, _)| *s == 200)
                .map(|(_, a)| a["answer"].clone())
        })
    })
}

fn put(session: &str, number: u64, key: &str) -> Value {
    let request = json!({"ask": "put", "key": key, "value": format!("v{number}"), "at": null});
    json!({"do": "ask", "session": session, "number": number, "request": request})
}

fn open(session: &str) -> Value {
    json!({"do": "open", "session": session, "ttl_ms": 600_000})
}

/// Starts a cluster of three members, with their files and folders in one directory.
fn start_three_members(directory: &Path) -> Vec<Member> {
    let addresses: Vec<SocketAddr> = (0..3).map(|_| unused_address()).collect();
    let peers: String =
        (1..=3).map(|i| format!("peer \"{i}\" {{ address = \"{}\" }}\n", addresses[i - 1])).collect();
    let member = |i: usize| {
        let (file, folder) = (directory.join(format!("{i}.hcl")), directory.join(format!("{i}")));
        let own = format!(
            "cluster = \"manila\"\nmember = {i}\nlisten = \"{}\"\nfolder = {folder:?}\ntick_ms = 20\n",
            addresses[i - 1]
        );
        std::fs::write(&file, own + &peers).unwrap();
        assert!(coordinator_command().arg("init").arg(&file).status().unwrap().success());
        Member::start(&file, addresses[i - 1], folder)
    };
    (1..=3).map(member).collect()
}

fn leader(members: &[Member]) -> usize {
    wait_until("a member leads", || {
        members.iter().position(|m| get(m.address, "/v1/leases").is_some_and(|(status, _)| status == 200))
    })
}

#[test]
fn acknowledged_writes_survive_every_kill() {
    let folder = tempfile::tempdir().unwrap();
    let mut acknowledged = 0;
    for run in 0..12u64 {
        let mut member = Member::single(folder.path());
        let session = format!("life-{run}");
        assert_eq!(commit(&[member.address], "single", open(&session))["is"], "opened");
        // Everything acknowledged in earlier runs is present.
        let (status, body) = wait_until("a read answers", || get(member.address, "/v1/values"));
        assert_eq!(status, 200);
        assert!(
            (0..acknowledged).all(|n| body["values"][format!("k{n}")].is_object()),
            "run {run}: an acknowledged value is lost"
        );
        // The kill comes during a write, after a different number of writes in each run.
        for number in 1..=(3 + run * 5 % 17) {
            let (status, _) =
                command(member.address, "single", put(&session, number, &format!("k{acknowledged}")))
                    .unwrap();
            assert_eq!(status, 200);
            acknowledged += 1;
        }
        let address = member.address;
        let writer =
            std::thread::spawn(move || command(address, "single", put(&session, 99, "in-the-midst")));
        std::thread::sleep(Duration::from_millis(run % 4));
        member.kill();
        let _ = writer.join();
    }
}

#[test]
fn a_command_repeated_at_another_leader_takes_effect_once_and_nothing_is_lost() {
    let directory = tempfile::tempdir().unwrap();
    let mut members = start_three_members(directory.path());
    let addresses: Vec<SocketAddr> = members.iter().map(|m| m.address).collect();
    assert_eq!(commit(&addresses, "manila", open("s"))["is"], "opened");
    let acquire = json!({"do": "ask", "session": "s", "number": 1, "request": {"ask": "acquire", "lease": "roll", "wait": true}});
    assert_eq!(commit(&addresses, "manila", acquire.clone()), json!({"is": "granted", "fence": 1}));
    for round in 0..3u64 {
        let leader_index = leader(&members);
        let (file, folder) = (
            directory.path().join(format!("{}.hcl", leader_index + 1)),
            members[leader_index].folder.clone(),
        );
        members[leader_index].kill();
        // As if the response was lost with the leader: the command is repeated at the others.
        assert_eq!(commit(&addresses, "manila", acquire.clone())["fence"], 1, "round {round}");
        members[leader_index] = Member::start(&file, addresses[leader_index], folder);
        wait_until("the restarted member has a leader", || {
            get(addresses[leader_index], "/v1/status").filter(|(_, s)| !s["leader"].is_null())
        });
    }
    let other = json!({"do": "ask", "session": "s", "number": 2, "request": {"ask": "acquire", "lease": "watch", "wait": true}});
    assert_eq!(commit(&addresses, "manila", other)["fence"], 2, "fences continue across leaders");
}

#[test]
fn a_leader_without_followers_answers_no_reads_and_commits_nothing() {
    let directory = tempfile::tempdir().unwrap();
    let members = start_three_members(directory.path());
    let addresses: Vec<SocketAddr> = members.iter().map(|m| m.address).collect();
    commit(&addresses, "manila", open("s"));
    let leader_index = leader(&members);
    let others: Vec<&Member> =
        members.iter().enumerate().filter(|(i, _)| *i != leader_index).map(|(_, m)| m).collect();
    others.iter().for_each(|m| m.signal("STOP"));
    for _ in 0..3 {
        let (status, _) = get(addresses[leader_index], "/v1/leases").unwrap();
        assert_eq!(status, 421, "a read that no majority confirmed");
    }
    let (status, error_body) = command(addresses[leader_index], "manila", put("s", 1, "k")).unwrap();
    assert!(status == 421 || status == 503, "{status}: {error_body}");
    others.iter().for_each(|m| m.signal("CONT"));
    // Whether that command took effect is not known; repeated, it takes effect exactly once.
    assert_eq!(commit(&addresses, "manila", put("s", 1, "k"))["is"], "stored");
    let changes_seen = wait_until("a watch answers", || {
        get(addresses[leader_index], "/v1/watch?after=0&wait_ms=5000").filter(|(s, _)| *s == 200)
    })
    .1;
    assert_eq!(changes_seen["changes"].as_array().map(Vec::len), Some(1), "{changes_seen}");
}

#[test]
fn invalid_requests_are_answered_and_change_nothing() {
    let folder = tempfile::tempdir().unwrap();
    let member = Member::single(folder.path());
    assert_eq!(commit(&[member.address], "single", open("s"))["is"], "opened");
    let valid = json!({"cluster": "single", "command": open("t")});
    let mut unknown_field = valid.clone();
    unknown_field["colour"] = json!(1);
    let expire = json!({"cluster": "single", "command": {"do": "expire", "session": "s", "renewals": 0}});
    for (path, body, status) in [
        ("/v1/command", String::new(), 400),
        ("/v1/command", "{\"cluster\":\"single\"".into(), 400),
        ("/v1/command", unknown_field.to_string(), 400),
        ("/v1/command", valid.to_string().replace("open", "shut"), 400),
        ("/v1/command", valid.to_string().replace("single", "cebu"), 403),
        ("/v1/command", expire.to_string(), 400),
        ("/v1/command", "x".repeat(100_000), 400),
        ("/raft", "no messages".into(), 403),
        ("/v1/nothing", String::new(), 404),
        ("/v1/leases", String::new(), 404),
    ] {
        let (answered_status, error) = post(member.address, path, &body).unwrap();
        assert_eq!(
            (answered_status, error["message"].as_str().is_some_and(|m| !m.is_empty())),
            (status, true),
            "{path} {body:.60}: {error}"
        );
    }
    assert_eq!(get(member.address, "/v1/watch?wait_ms=1").unwrap().0, 400);
    // A member of another cluster, and one of this cluster with a body that can't be parsed.
    for (cluster, status) in [("cebu", 403), ("single", 400)] {
        let text = format!(
            "POST /raft HTTP/1.1\r\nHost: c\r\nConnection: close\r\nx-mothpier-cluster: {cluster}\r\nContent-Length: 8\r\n\r\n\0\0\0\x04abcd"
        );
        assert_eq!(send_raw(member.address, text.as_bytes()).unwrap().0, status);
    }
    // Truncated request heads and silent connections do not block other clients.
    let idle_connections: Vec<_> = (0..40)
        .map(|i| {
            let mut stream = TcpStream::connect(member.address).unwrap();
            stream.write_all(if i % 2 == 0 { b"POST /v1/comm" } else { b"" }).unwrap();
            stream
        })
        .collect();
    let (status, body) = get(member.address, "/v1/status").unwrap();
    assert_eq!(
        (status, body["sessions"].as_u64(), body["leases"].as_u64()),
        (200, Some(1), Some(0)),
        "{body}"
    );
    drop(idle_connections);
    let (status, metrics) =
        send_raw(member.address, b"GET /metrics HTTP/1.1\r\nHost: c\r\nConnection: close\r\n\r\n").unwrap();
    assert!(status == 200 && metrics.contains("\nmothpier_coordinator_leads 1\n"), "{metrics}");
}

#[test]
fn a_full_disk_stops_acknowledgements_and_loses_no_acknowledged_write() {
    let folder = tempfile::tempdir().unwrap();
    drop({
        let member = Member::single(folder.path());
        commit(&[member.address], "single", open("s"));
        member
    });
    let size = std::fs::metadata(folder.path().join("coordinator.redb")).unwrap().len();
    // The file size limit allows little further growth; a write beyond it fails as on a full disk.
    let address = unused_address();
    let blocks = size / 512 + 8;
    let script =
        format!("trap '' XFSZ; ulimit -f {blocks}; exec \"$0\" run --single \"$1\" --listen {address}");
    let mut limited = Command::new("/bin/sh");
    limited.arg("-c").arg(script).arg(env!("CARGO_BIN_EXE_mothpier-coordinator")).arg(folder.path());
    let child = limited.stdin(Stdio::null()).stdout(Stdio::null()).stderr(Stdio::piped()).spawn().unwrap();
    let mut member = Member { child, address, folder: folder.path().into() };
    let mut number = 0;
    let mut put_next = || {
        let request =
            json!({"ask": "put", "key": format!("k{number}"), "value": "x".repeat(16_000), "at": null});
        let next = json!({"do": "ask", "session": "s", "number": number + 1, "request": request});
        let response = command(address, "single", next);
        let stored = matches!(&response, Some((200, response)) if response["answer"]["is"] == "stored");
        number += u64::from(stored);
        (stored, response)
    };
    // It reports the failure in its status and to every client, and keeps running.
    wait_until("its store fails", || {
        put_next();
        get(address, "/v1/status")
            .filter(|(status, state)| *status == 200 && state["store_failure"].is_string())
    });
    for _ in 0..20 {
        let (stored, response) = put_next();
        assert!(!stored, "acknowledged although the disk is full");
        let (status, error_body) = response.unwrap();
        assert_eq!((status, error_body["error"].as_str()), (421, Some("not_leader")), "{error_body}");
        assert!(error_body["message"].as_str().is_some_and(|error| error.contains("store")), "{error_body}");
        assert_eq!(get(address, "/v1/leases").unwrap().0, 421, "a read although the store has failed");
    }
    assert!(member.child.try_wait().unwrap().is_none(), "the coordinator exited");
    member.kill();
    let mut log = String::new();
    member.child.stderr.take().unwrap().read_to_string(&mut log).unwrap();
    assert_eq!(log.matches("the store can't be written").count(), 1, "{log}");
    let member = Member::single(folder.path());
    let (_, body) =
        wait_until("a read answers", || get(member.address, "/v1/values").filter(|(s, _)| *s == 200));
    assert!(
        (0..number).all(|n| body["values"][format!("k{n}")].is_object()),
        "one of {number} acknowledged values is lost"
    );
}

/// Starts a member that joins: its configuration file names the existing members and itself.
fn start_joining_member(directory: &Path, number: usize, peers: &[(usize, SocketAddr)]) -> Member {
    let (file, folder, address) =
        (directory.join(format!("{number}.hcl")), directory.join(format!("{number}")), unused_address());
    let mut text = format!(
        "cluster = \"manila\"\nmember = {number}\nlisten = \"{address}\"\nfolder = {folder:?}\ntick_ms = 20\n"
    );
    for (i, address) in peers.iter().copied().chain([(number, address)]) {
        text += &format!("peer \"{i}\" {{ address = \"{address}\" }}\n");
    }
    std::fs::write(&file, text).unwrap();
    assert!(coordinator_command().arg("join").arg(&file).status().unwrap().success());
    Member::start(&file, address, folder)
}

fn change(addresses: &[SocketAddr], change: Value) -> (u16, String) {
    let body = json!({"cluster": "manila", "change": change}).to_string();
    wait_until("a membership change", || {
        let response = addresses
            .iter()
            .filter_map(|address| post(*address, "/v1/members", &body))
            .find(|(s, _)| *s == 200 || *s == 400)?;
        Some((response.0, response.1["message"].as_str().unwrap_or_default().to_owned()))
    })
}

#[test]
fn members_are_replaced_one_by_one_in_service_and_a_number_is_never_reused() {
    let directory = tempfile::tempdir().unwrap();
    let mut members: Vec<(usize, Member)> =
        start_three_members(directory.path()).into_iter().enumerate().map(|(i, m)| (i + 1, m)).collect();
    let member_addresses =
        |members: &[(usize, Member)]| members.iter().map(|(_, m)| m.address).collect::<Vec<_>>();
    commit(&member_addresses(&members), "manila", open("s"));
    let mut number = 0;
    let mut write = |addresses: &[SocketAddr]| {
        number += 1;
        assert_eq!(commit(addresses, "manila", put("s", number, &format!("k{number}")))["is"], "stored");
        number
    };
    // All three founding members, the leader among them, are replaced by three others.
    for round in 0..3 {
        let addresses = member_addresses(&members);
        write(&addresses);
        let peers: Vec<(usize, SocketAddr)> = members.iter().map(|(i, m)| (*i, m.address)).collect();
        let next = start_joining_member(directory.path(), 4 + round, &peers);
        let add = json!({"add": {"member": 4 + round, "address": next.address}});
        assert_eq!(change(&addresses, add.clone()).0, 200);
        assert_eq!(change(&addresses, add).0, 200, "a repeated request for an existing member");
        members.push((4 + round, next));
        let addresses = member_addresses(&members);
        wait_until("the new member votes", || {
            addresses.iter().filter_map(|address| get(*address, "/v1/status")).find(|(_, s)| {
                let votes =
                    s["members"].as_array().is_some_and(|m| m.iter().any(|m| m[0] == 4 + round as u64));
                s["leader"] == s["member"] && votes && s["learners"] == json!([])
            })
        });
        write(&addresses);
        let removed = members[0].0;
        assert_eq!(change(&addresses, json!({"remove": {"member": removed}})).0, 200);
        drop(members.remove(0));
        write(&member_addresses(&members));
    }
    let addresses = member_addresses(&members);
    let (status, error) = change(&addresses, json!({"add": {"member": 1, "address": "127.0.0.1:9"}}));
    assert!(status == 400 && error.contains("take 7 or higher"), "{error}");
    let last = write(&addresses);
    let (_, body) = wait_until("a read answers", || {
        addresses.iter().filter_map(|address| get(*address, "/v1/values")).find(|(s, _)| *s == 200)
    });
    assert!((1..=last).all(|n| body["values"][format!("k{n}")].is_object()), "an acknowledged value is lost");
    // Three members tolerate the failure of one.
    members[0].1.kill();
    write(&member_addresses(&members)[1..]);
}

#[test]
fn an_invalid_file_and_a_store_of_another_member_are_clear_errors_and_an_exit() {
    let directory = tempfile::tempdir().unwrap();
    let members = start_three_members(directory.path());
    drop(members);
    let run_to_exit = |arguments: &[&str]| {
        let output = coordinator_command().args(arguments).stderr(Stdio::piped()).output().unwrap();
        (output.status.code(), String::from_utf8_lossy(&output.stderr).into_owned())
    };
    let file = directory.path().join("1.hcl");
    let text = std::fs::read_to_string(&file).unwrap();
    let invalid_file = directory.path().join("wrong.hcl");
    std::fs::write(&invalid_file, text.replace("member = 1", "member = 2")).unwrap();
    let (code, error) = run_to_exit(&["run", invalid_file.to_str().unwrap()]);
    assert!(code == Some(1) && error.contains("the store belongs to member 1 of manila"), "{error}");
    std::fs::write(&invalid_file, text.replace("cluster", "clutter")).unwrap();
    let (code, error) = run_to_exit(&["check", invalid_file.to_str().unwrap()]);
    assert!(
        code == Some(2) && error.contains("clutter: unknown setting") && error.contains("cluster: missing"),
        "{error}"
    );
    let (code, error) = run_to_exit(&["init", file.to_str().unwrap()]);
    assert!(code == Some(2) && error.contains("already exists"), "{error}");
    std::fs::remove_file(directory.path().join("1").join("coordinator.redb")).unwrap();
    let (code, error) = run_to_exit(&["run", file.to_str().unwrap()]);
    assert!(code == Some(1) && error.contains("must not rejoin under its old number"), "{error}");
}
