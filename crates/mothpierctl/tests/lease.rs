//! `lease run` and the rest of what staff use, as processes, with a coordinator on loopback.
#![allow(missing_docs)]

use std::net::SocketAddr;
use std::path::Path;
use std::process::{Child, Command, Output, Stdio};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use mothpier_coordinator::config;
use mothpier_net::Tokio;
use mothpier_world::loopback::unused_address;
use tokio::sync::oneshot;

/// Longer than anything takes; only what hangs meets it.
const HUNG: Duration = Duration::from_secs(60);

struct Coordinator {
    at: SocketAddr,
    stop: Option<oneshot::Sender<()>>,
    runs: Option<JoinHandle<()>>,
}

impl Coordinator {
    fn start(folder: &Path) -> Self {
        let at = unused_address();
        let config = config::single(folder.join("store"), at);
        mothpier_coordinator::init(&config).unwrap();
        let (stop, stopped) = oneshot::channel();
        let runs = std::thread::spawn(move || {
            let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
            tokio::task::LocalSet::new().block_on(&runtime, async {
                tokio::select! {
                    ended = mothpier_coordinator::run(Tokio, config) => panic!("{:?}", ended.err().map(|e| e.to_string())),
                    _ = stopped => {}
                }
            });
        });
        let coordinator = Coordinator { at, stop: Some(stop), runs: Some(runs) };
        until("it leads", || coordinator.ctl(&["coordinator", "status"]).status.success().then_some(()));
        coordinator
    }

    fn stop(&mut self) {
        drop(self.stop.take());
        if let Some(runs) = self.runs.take() {
            let _ = runs.join();
        }
    }

    fn command(&self, arguments: &[&str]) -> Command {
        let mut command = Command::new(env!("CARGO_BIN_EXE_mothpierctl"));
        command.args(arguments).env("MOTHPIER_COORDINATORS", self.at.to_string()).stdin(Stdio::null());
        command
    }

    fn ctl(&self, arguments: &[&str]) -> Output {
        self.command(arguments).output().unwrap()
    }

    /// A shell's script under a lease.
    fn run(&self, ttl: &str, script: &str) -> Child {
        let mut command = self.command(&["lease", "run", "roll", "--ttl", ttl, "--", "sh", "-c", script]);
        command.stdout(Stdio::null()).stderr(Stdio::piped()).spawn().unwrap()
    }
}

impl Drop for Coordinator {
    fn drop(&mut self) {
        self.stop();
    }
}

fn until<T>(what: &str, mut look: impl FnMut() -> Option<T>) -> T {
    let began = Instant::now();
    loop {
        if let Some(found) = look() {
            return found;
        }
        assert!(began.elapsed() < HUNG, "{what}: not within {HUNG:?}");
        std::thread::sleep(Duration::from_millis(20));
    }
}

fn said(output: &Output) -> String {
    String::from_utf8_lossy(&output.stdout).into_owned() + &String::from_utf8_lossy(&output.stderr)
}

fn written(file: &Path) -> Option<String> {
    std::fs::read_to_string(file).ok().filter(|text| text.ends_with('\n'))
}

#[test]
fn a_killed_holders_command_ends_with_it_and_the_next_one_runs_under_a_higher_fence() {
    let folder = tempfile::tempdir().unwrap();
    let coordinator = Coordinator::start(folder.path());
    let (one, two) = (folder.path().join("one"), folder.path().join("two"));
    let mut first =
        coordinator.run("1s", &format!("echo $$ $MOTHPIER_FENCE > {}; exec sleep 600", one.display()));
    let first_said = until("the first runs", || written(&one));
    let (pid, fence) = first_said.trim().split_once(' ').unwrap();
    assert_eq!(fence, "1");
    // One that does not wait is told whose it is, and nothing runs.
    let refused = coordinator.ctl(&["lease", "run", "roll", "--no-wait", "--", "sh", "-c", "exit 9"]);
    assert_eq!(refused.status.code(), Some(4), "{}", said(&refused));
    let script = format!("echo $MOTHPIER_FENCE > {}; exit 7", two.display());
    let mut second = coordinator.run("1s", &script);
    let shown = until("it waits", || {
        let shown = said(&coordinator.ctl(&["lease", "show", "roll"]));
        shown.contains("next 1").then_some(shown)
    });
    assert!(shown.contains("fence    1"), "{shown}");
    assert!(written(&two).is_none(), "two run at once");
    first.kill().unwrap();
    first.wait().unwrap();
    until("its command has ended", || (!Path::new(&format!("/proc/{pid}")).exists()).then_some(()));
    assert_eq!(until("the second runs", || written(&two)), "2\n");
    assert_eq!(second.wait().unwrap().code(), Some(7), "the command's own code");
    assert!(said(&coordinator.ctl(&["lease", "list"])).contains("no lease is held"));
}

#[test]
fn without_coordinators_the_command_is_asked_to_end_and_then_ended() {
    let folder = tempfile::tempdir().unwrap();
    let mut coordinator = Coordinator::start(folder.path());
    let (began, asked) = (folder.path().join("began"), folder.path().join("asked"));
    // It hears the word and goes on: it is ended all the same.
    let (b, a) = (began.display(), asked.display());
    let script = format!("trap 'echo asked > {a}' TERM; echo $$ > {b}; while true; do sleep 0.05; done");
    let holder = coordinator.run("2s", &script);
    let pid = until("it runs", || written(&began));
    coordinator.stop();
    let output = holder.wait_with_output().unwrap();
    assert_eq!(output.status.code(), Some(3), "{}", said(&output));
    assert!(said(&output).contains("roll is lost"), "{}", said(&output));
    assert_eq!(written(&asked).as_deref(), Some("asked\n"));
    assert!(!Path::new(&format!("/proc/{}", pid.trim())).exists(), "it runs on without the lease");
}

#[test]
fn a_lease_that_staff_break_changes_hands_and_what_is_not_there_is_a_clear_error() {
    let folder = tempfile::tempdir().unwrap();
    let coordinator = Coordinator::start(folder.path());
    let began = folder.path().join("began");
    let holder = coordinator.run("1s", &format!("echo on > {}; sleep 600", began.display()));
    until("it runs", || written(&began));
    let listed = said(&coordinator.ctl(&["lease", "list", "--format", "json"]));
    let listed: serde_json::Value = serde_json::from_str(&listed).unwrap();
    assert_eq!(listed["leases"][0]["fence"], 1, "{listed}");
    let broken = coordinator.ctl(&["lease", "break", "roll"]);
    assert!(broken.status.success() && said(&broken).contains("is renewed no more"), "{}", said(&broken));
    assert_eq!(holder.wait_with_output().unwrap().status.code(), Some(3));
    until("nobody holds it", || {
        said(&coordinator.ctl(&["lease", "list"])).contains("no lease is held").then_some(())
    });
    for (arguments, error) in [
        (["lease", "show", "roll"], "nobody holds \"roll\""),
        (["lease", "break", "roll"], "nobody holds \"roll\""),
        (["coordinator", "remove", "1"], "the only voter can't be removed"),
    ] {
        let output = coordinator.ctl(&arguments);
        assert!(output.status.code() == Some(2) && said(&output).contains(error), "{}", said(&output));
    }
    let foreign = coordinator.ctl(&["lease", "run", "roll", "--cluster", "cebu", "--", "true"]);
    assert!(said(&foreign).contains("this is a coordinator of single, not of cebu"), "{}", said(&foreign));
}
