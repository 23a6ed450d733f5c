//! A node as one application's sidecar, as a process: from the file that a person writes to the answers.
#![allow(missing_docs)]

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::unix::fs::PermissionsExt;
use std::os::unix::net::UnixStream;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::Mutex;
use std::sync::mpsc::{Receiver, channel};

use mothpier_config::render::render;
use mothpier_config::{Form, Hosts, check, has_errors};
use mothpier_world::loopback::*;

const FILE: &str = r#"
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

/// What a node is started with, from a person's file.
fn rendered(more: &str) -> serde_json::Value {
    let checked = check(format!("{FILE}{more}").as_bytes(), Form::Hcl, &Hosts::default());
    let lines: Vec<String> = checked.findings.iter().map(|f| f.line(&checked.text)).collect();
    assert!(!has_errors(&checked.findings), "{lines:#?}");
    render(&checked.app.unwrap())
}

/// A node's process and what it logs; killed at the end of the test.
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
    /// Waits for a line of the log that holds a text.
    fn logged(&mut self, text: &str) -> String {
        loop {
            let mut line = String::new();
            assert!(
                self.log.read_line(&mut line).unwrap() > 0,
                "the node ended and said nothing of {text:?}"
            );
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

/// Sends a command and reads the answer's first line, and the value behind it.
fn ask(stream: &mut (impl Read + Write), words: &[&str]) -> String {
    let mut bytes = format!("*{}\r\n", words.len());
    words.iter().for_each(|w| bytes += &format!("${}\r\n{w}\r\n", w.len()));
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

/// A box that serves everything and reports what it was asked.
fn cache_box() -> (SocketAddr, Receiver<Vec<String>>) {
    let (seen, commands) = channel();
    let seen = Mutex::new(seen);
    let address = serve(command, move |asked| {
        let _ = seen.lock().unwrap().send(asked.to_vec());
        array("value")
    });
    (address, commands)
}

fn folder(name: &str) -> PathBuf {
    let folder = std::env::temp_dir().join(format!("mothpier-sidecar-{}-{name}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    folder
}

fn free_port() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap()
}

/// Asks until the node has its list: `PING` says so.
fn ready(stream: &mut (impl Read + Write)) {
    while ask(stream, &["PING"]) != "+PONG" {
        std::thread::yield_now();
    }
}

#[test]
fn an_application_asks_on_its_socket_in_its_own_name_alone() {
    let (server, commands) = cache_box();
    let discovery = Discovery::start(&member("s-1", server, "m", "ready"));
    let folder = folder("unix");
    let path = folder.join("app.sock");
    let more = format!(
        "listen {{\n  unix = {path:?}\n  mode = \"0600\"\n}}\ndiscovery {{\n  address = \"{}\"\n}}\n",
        discovery.address
    );
    let mut node = start("sidecar-unix", &rendered(&more));
    node.logged("listens on");
    assert_eq!(std::fs::metadata(&path).unwrap().permissions().mode() & 0o777, 0o600);
    let mut client = UnixStream::connect(&path).unwrap();
    ready(&mut client);
    discovery.watched_after(1);
    assert_eq!(ask(&mut client, &["CACHE.GET", "k1", "id1", "d=9000"]), "$value");
    let asked = commands.recv_timeout(HUNG).unwrap();
    assert!(asked[3].starts_with("d=") && asked[3].ends_with(",t=acme,c=browse"), "{}", asked[3]);
    for (words, error) in [
        (["CACHE.GET", "k1", "id2", "t=rival,d=9000"], "-NOPERM this sidecar asks for tenant \"acme\" alone"),
        (
            ["CACHE.GET", "k1", "id3", "c=send-message,d=9000"],
            "-NOPERM class \"send-message\" goes with the other",
        ),
        (["CACHE.GET", "k1", "id4", "c=pay,d=9000"], "-NOPERM class \"pay\" is none"),
    ] {
        let answer = ask(&mut client, &words);
        assert!(answer.starts_with(error), "{answer}");
    }
    let answer = ask(&mut client, &["CACHE.SET", "k1", "id5", "d=9000", "new"]);
    assert!(answer.starts_with("-ERR no class"), "{answer}");
    assert_eq!(ask(&mut client, &["CACHE.GET", "k2", "id6", "t=acme,c=browse,d=9000"]), "$value");
    let asked = commands.recv_timeout(HUNG).unwrap();
    assert_eq!(asked[1], "k2", "nothing of what was refused has come to the box");
    // The application dies without a word; the next one is served, and the node ends in order.
    drop(client);
    let mut client = UnixStream::connect(&path).unwrap();
    assert_eq!(ask(&mut client, &["CACHE.GET", "k3", "id7", "d=9000"]), "$value");
    node.signal("TERM");
    assert!(node.child.wait().unwrap().success());
    assert!(!path.exists(), "its socket goes with it");
    std::fs::remove_dir_all(folder).unwrap();
}

#[test]
fn what_the_checker_refuses_does_not_start_and_is_not_taken_over() {
    let (server, _commands) = cache_box();
    let discovery = Discovery::start(&member("s-1", server, "m", "ready"));
    let more = format!(
        "listen {{\n  address = \"127.0.0.1:6379\"\n}}\ndiscovery {{\n  address = \"{}\"\n}}\n",
        discovery.address
    );
    let mut good = rendered(&more);
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
    ready(&mut client);
    bad["discovery"] = "127.0.0.1:1".into();
    std::fs::write(config_path("sidecar-reload"), bad.to_string()).unwrap();
    node.signal("HUP");
    let line = node.logged("the configuration stays as it was");
    assert!(line.contains("MP0202"), "{line}");
    assert_eq!(ask(&mut client, &["CACHE.GET", "k1", "id1", "d=9000"]), "$value");
}

#[test]
fn a_sidecar_hands_on_to_the_tier_and_no_box_hears_of_the_hop() {
    let (server, commands) = cache_box();
    let discovery = Discovery::start(&member("s-1", server, "m", "ready"));
    let (tier_at, sidecar_at) = (free_port(), free_port());
    // A node of the tier: the platform's form, without a section of its own.
    let more = format!(
        "listen {{\n  address = \"{tier_at}\"\n}}\ndiscovery {{\n  address = \"{}\"\n}}\n",
        discovery.address
    );
    let mut file = rendered(&more);
    file.as_object_mut().unwrap().remove("sidecar");
    let mut tier = start("sidecar-tier", &file);
    tier.logged("listens on");
    let to_tier = |listen: SocketAddr, node: SocketAddr| {
        let more = format!(
            "upstream = \"tier\"\nlisten {{\n  address = \"{listen}\"\n}}\nbox \"n-0\" {{\n  address = \"{node}\"\n}}\n"
        );
        rendered(&more)
    };
    let mut sidecar = start("sidecar-of-tier", &to_tier(sidecar_at, tier_at));
    sidecar.logged("listens on");
    ready(&mut TcpStream::connect(tier_at).unwrap());
    let mut client = TcpStream::connect(sidecar_at).unwrap();
    assert_eq!(ask(&mut client, &["PING"]), "+PONG", "without a list it is ready at once");
    assert_eq!(ask(&mut client, &["CACHE.GET", "k1", "id1", "d=9000"]), "$value");
    let asked = commands.recv_timeout(HUNG).unwrap();
    assert_eq!(asked[..3], ["CACHE.GET", "k1", "id1"]);
    assert!(
        !asked[3].contains("hop=") && asked[3].contains("c=browse") && asked[3].contains("t=acme"),
        "{}",
        asked[3]
    );
    let wait = asked[3].split(',').find_map(|p| p.strip_prefix("d=")).unwrap();
    assert!(wait.parse::<u32>().unwrap() <= 9000);
    // Two sidecars that take each other for the tier: the request comes back with an error, and goes round no more.
    let (a, b) = (free_port(), free_port());
    let mut first = start("sidecar-loop-a", &to_tier(a, b));
    let mut second = start("sidecar-loop-b", &to_tier(b, a));
    first.logged("listens on");
    second.logged("listens on");
    let mut client = TcpStream::connect(a).unwrap();
    let answer = ask(&mut client, &["CACHE.GET", "k1", "id9", "d=9000"]);
    assert!(answer.starts_with("-ERR") || answer.starts_with("-BUSY"), "{answer}");
    // The second one asked the first again, which said no.
    second.logged("passed too many nodes");
}
