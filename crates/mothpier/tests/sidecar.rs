//! A node process as the sidecar of one application: from the configuration file that a person writes to the
//! answers.
#![allow(missing_docs)]

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::os::unix::fs::PermissionsExt;
use std::os::unix::net::UnixStream;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::Mutex;
use std::sync::mpsc::{Receiver, channel};

use mothpier_config::render::render;
use mothpier_config::{Form, Hosts, check, has_errors};
use mothpier_world::loopback::*;

/// Configuration file of the application, which the tests extend.
const APP_FILE: &str = r#"
app = "profiles"
tenant = "acme"
nodes = 1
me = 0
kinds = ["m"]
limits {
  memory = "64 MiB"
  sockets = 256
  open = 100
}
class "browse" {
  effect = "safe"
  command = "read"
  default = true
  aim = "20s"
  deadline = "20s"
}
class "send-message" {
  effect = "unsafe"
  command = "write"
  aim = "20s"
  deadline = "20s"
}
quota "acme" {
  per_s = 1000
}
"#;

/// Renders the start configuration of a node from `APP_FILE` and further lines.
fn rendered(extra: &str) -> serde_json::Value {
    let checked = check(format!("{APP_FILE}{extra}").as_bytes(), Form::Hcl, &Hosts::default());
    let lines: Vec<String> = checked.findings.iter().map(|f| f.line(&checked.text)).collect();
    assert!(!has_errors(&checked.findings), "{lines:#?}");
    render(&checked.app.unwrap())
}

/// A node process and its log; killed at the end of the test.
struct Process {
    child: Child,
    log: BufReader<std::process::ChildStderr>,
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn start(name: &str, file: &serde_json::Value) -> Process {
    let path = config_path(name);
    std::fs::write(&path, file.to_string()).unwrap();
    let mut command = Command::new(env!("CARGO_BIN_EXE_mothpier"));
    command.env("ROUTER_CONFIG", path).env_remove("ROUTER_LISTEN").env_remove("ROUTER_DISCOVERY");
    let mut child = command.stderr(Stdio::piped()).spawn().unwrap();
    let log = BufReader::new(child.stderr.take().unwrap());
    Process { child, log }
}

impl Process {
    /// Waits for a log line that contains a text.
    fn logged(&mut self, text: &str) -> String {
        loop {
            let mut line = String::new();
            assert!(self.log.read_line(&mut line).unwrap() > 0, "the node ended without logging {text:?}");
            if line.contains(text) {
                return line;
            }
        }
    }

    fn signal(&self, name: &str) {
        let pid = self.child.id().to_string();
        assert!(Command::new("kill").args([&format!("-{name}"), &pid]).status().unwrap().success());
    }
}

/// Sends a command and reads the first line of the answer, and the value that may follow it.
fn ask(stream: &mut (impl Read + Write), arguments: &[&str]) -> String {
    let mut bytes = format!("*{}\r\n", arguments.len());
    arguments.iter().for_each(|w| bytes += &format!("${}\r\n{w}\r\n", w.len()));
    stream.write_all(bytes.as_bytes()).unwrap();
    let line = |stream: &mut dyn Read| {
        let (mut line, mut byte) = (Vec::new(), [0]);
        while !line.ends_with(b"\r\n") {
            stream.read_exact(&mut byte).unwrap();
            line.push(byte[0]);
        }
        String::from_utf8(line).unwrap().trim_end().to_owned()
    };
    let first = line(stream);
    if first.starts_with('$') { format!("${}", line(stream)) } else { first }
}

/// Starts a cache server that answers every command and sends the commands to the test.
fn recording_cache_server() -> (SocketAddr, Receiver<Vec<String>>) {
    let (command_sender, commands) = channel();
    let command_sender = Mutex::new(command_sender);
    let address = serve(command, move |request| {
        let _ = command_sender.lock().unwrap().send(request.to_vec());
        array("value")
    });
    (address, commands)
}

fn create_directory(name: &str) -> PathBuf {
    let directory = std::env::temp_dir().join(format!("mothpier-sidecar-{}-{name}", std::process::id()));
    std::fs::create_dir_all(&directory).unwrap();
    directory
}

/// Sends `PING` until the node reports that it has a server list.
fn wait_until_ready(stream: &mut (impl Read + Write)) {
    while ask(stream, &["PING"]) != "+PONG" {
        std::thread::yield_now();
    }
}

/// A sidecar fills in the tenant and the default class, and refuses requests for another tenant, for a class
/// of the other command or for an unknown class before they reach a cache server.
#[test]
fn an_application_can_use_its_socket_for_its_own_tenant_and_classes_alone() {
    let (server, commands) = recording_cache_server();
    let discovery = Discovery::start(&member("s-1", server, "m", "ready"));
    let directory = create_directory("unix");
    let path = directory.join("app.sock");
    let extra = format!(
        "listen {{\n  unix = {path:?}\n  mode = \"0600\"\n}}\ndiscovery {{\n  address = \"{}\"\n}}\n",
        discovery.address
    );
    let mut node = start("sidecar-unix", &rendered(&extra));
    node.logged("listens on");
    assert_eq!(std::fs::metadata(&path).unwrap().permissions().mode() & 0o777, 0o600);
    let mut client = UnixStream::connect(&path).unwrap();
    wait_until_ready(&mut client);
    discovery.watched_after(1);
    assert_eq!(ask(&mut client, &["CACHE.GET", "k1", "id1", "d=9000"]), "$value");
    let request = commands.recv_timeout(HUNG).unwrap();
    assert!(request[3].starts_with("d=") && request[3].ends_with(",t=acme,c=browse"), "{}", request[3]);
    for (arguments, error) in [
        (["CACHE.GET", "k1", "id2", "t=rival,d=9000"], "-NOPERM this sidecar asks for tenant \"acme\" alone"),
        (
            ["CACHE.GET", "k1", "id3", "c=send-message,d=9000"],
            "-NOPERM class \"send-message\" goes with the other",
        ),
        (["CACHE.GET", "k1", "id4", "c=pay,d=9000"], "-NOPERM class \"pay\" is none"),
    ] {
        let answer = ask(&mut client, &arguments);
        assert!(answer.starts_with(error), "{answer}");
    }
    let answer = ask(&mut client, &["CACHE.SET", "k1", "id5", "d=9000", "new"]);
    assert!(answer.starts_with("-ERR no class"), "{answer}");
    assert_eq!(ask(&mut client, &["CACHE.GET", "k2", "id6", "t=acme,c=browse,d=9000"]), "$value");
    let request = commands.recv_timeout(HUNG).unwrap();
    assert_eq!(request[1], "k2", "a refused request reached the cache server");
    // The application closes its connection without `QUIT`: the next one is served, and the node stops
    // cleanly.
    drop(client);
    let mut client = UnixStream::connect(&path).unwrap();
    assert_eq!(ask(&mut client, &["CACHE.GET", "k3", "id7", "d=9000"]), "$value");
    node.signal("TERM");
    assert!(node.child.wait().unwrap().success());
    assert!(!path.exists(), "the socket file is removed at the stop");
    std::fs::remove_dir_all(directory).unwrap();
}

/// A class that writes without a key could repeat an effect: the checker refuses it at the start, and at a
/// reload the node keeps its configuration and goes on serving.
#[test]
fn a_configuration_that_the_checker_refuses_neither_starts_nor_replaces_a_running_one() {
    let (server, _commands) = recording_cache_server();
    let discovery = Discovery::start(&member("s-1", server, "m", "ready"));
    let extra = format!(
        "listen {{\n  address = \"127.0.0.1:6379\"\n}}\ndiscovery {{\n  address = \"{}\"\n}}\n",
        discovery.address
    );
    let mut good = rendered(&extra);
    good["listen"] = "127.0.0.1:0".into();
    let mut bad = good.clone();
    bad["settings"]["classes"][1]["effect"] = "pure".into();
    let mut refused = start("sidecar-refused", &bad);
    let line = refused.logged("MP0202");
    assert!(
        line.contains("class \"send-message\" writes and has no key") && line.contains("(and 1 more)"),
        "{line}"
    );
    assert_eq!(refused.child.wait().unwrap().code(), Some(2));
    let mut node = start("sidecar-reload", &good);
    let address: SocketAddr =
        node.logged("listens on").trim_end().rsplit(' ').next().unwrap().parse().unwrap();
    let mut client = TcpStream::connect(address).unwrap();
    wait_until_ready(&mut client);
    bad["discovery"] = "127.0.0.1:1".into();
    std::fs::write(config_path("sidecar-reload"), bad.to_string()).unwrap();
    node.signal("HUP");
    let line = node.logged("the configuration stays as it was");
    assert!(line.contains("MP0202"), "{line}");
    assert_eq!(ask(&mut client, &["CACHE.GET", "k1", "id1", "d=9000"]), "$value");
}

/// A sidecar marks what it forwards with `hop=`, which ends loops between nodes. Cache servers do not know
/// the field, so the tier removes it.
#[test]
fn a_sidecar_forwards_to_the_tier_and_the_hop_field_does_not_reach_a_cache_server() {
    let (server, commands) = recording_cache_server();
    let discovery = Discovery::start(&member("s-1", server, "m", "ready"));
    let (tier_address, sidecar_address) = (unused_address(), unused_address());
    // A node of the tier: the same configuration without the `sidecar` section.
    let extra = format!(
        "listen {{\n  address = \"{tier_address}\"\n}}\ndiscovery {{\n  address = \"{}\"\n}}\n",
        discovery.address
    );
    let mut file = rendered(&extra);
    file.as_object_mut().unwrap().remove("sidecar");
    let mut tier = start("sidecar-tier", &file);
    tier.logged("listens on");
    let forward_to_tier = |listen: SocketAddr, node: SocketAddr| {
        let extra = format!(
            "upstream = \"tier\"\nlisten {{\n  address = \"{listen}\"\n}}\nbox \"n-0\" {{\n  address = \"{node}\"\n}}\n"
        );
        rendered(&extra)
    };
    let mut sidecar = start("sidecar-of-tier", &forward_to_tier(sidecar_address, tier_address));
    sidecar.logged("listens on");
    wait_until_ready(&mut TcpStream::connect(tier_address).unwrap());
    let mut client = TcpStream::connect(sidecar_address).unwrap();
    assert_eq!(ask(&mut client, &["PING"]), "+PONG", "a sidecar of a tier needs no server list to be ready");
    assert_eq!(ask(&mut client, &["CACHE.GET", "k1", "id1", "d=9000"]), "$value");
    let request = commands.recv_timeout(HUNG).unwrap();
    assert_eq!(request[..3], ["CACHE.GET", "k1", "id1"]);
    assert!(
        !request[3].contains("hop=") && request[3].contains("c=browse") && request[3].contains("t=acme"),
        "{}",
        request[3]
    );
    let remaining_ms = request[3].split(',').find_map(|p| p.strip_prefix("d=")).unwrap();
    assert!(remaining_ms.parse::<u32>().unwrap() <= 9000);
    // Two sidecars that are configured as each other's tier: the request must end with an error instead of a
    // loop.
    let (a, b) = (unused_address(), unused_address());
    let mut first = start("sidecar-loop-a", &forward_to_tier(a, b));
    let mut second = start("sidecar-loop-b", &forward_to_tier(b, a));
    first.logged("listens on");
    second.logged("listens on");
    let mut client = TcpStream::connect(a).unwrap();
    let answer = ask(&mut client, &["CACHE.GET", "k1", "id9", "d=9000"]);
    assert!(answer.starts_with("-ERR") || answer.starts_with("-BUSY"), "{answer}");
    // The second sidecar forwarded the request to the first again, which refused it.
    second.logged("passed too many nodes");
}
