//! The simulation as a command: equal hashes in two processes, findings, kept runs, exit codes and errors.

use std::path::{Path, PathBuf};
use std::process::{Command, Output};

fn sim(args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_mothpier-sim")).args(args).output().unwrap()
}

fn out(output: &Output) -> String {
    String::from_utf8_lossy(&output.stdout).into_owned()
}

fn error(args: &[&str]) -> String {
    let output = sim(args);
    assert_eq!(output.status.code(), Some(2), "{args:?}");
    String::from_utf8_lossy(&output.stderr).into_owned()
}

fn kept() -> Vec<PathBuf> {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/kept");
    let mut files: Vec<_> = std::fs::read_dir(folder).unwrap().map(|f| f.unwrap().path()).collect();
    files.sort();
    files
}

/// A place for a file of this test's own.
fn place(name: &str) -> PathBuf {
    let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    let _ = std::fs::remove_file(&path);
    path
}

#[test]
fn equal_seeds_give_equal_traces_in_two_processes_and_other_seeds_others() {
    let trace = |seed: &str, more: &[&str]| {
        let output = sim(&[&["replay", seed], more].concat());
        assert_eq!(output.status.code(), Some(0));
        out(&output).lines().last().unwrap().to_owned()
    };
    let first = trace("3", &[]);
    assert!(first.starts_with("trace "), "{first}");
    assert_eq!(trace("3", &[]), first);
    // To look at a run does not change it.
    assert_eq!(trace("3", &["--trace"]), first);
    assert_ne!(trace("4", &[]), first);
    let many = |jobs| {
        let text = out(&sim(&["run", "--seeds", "0..6", "--jobs", jobs, "--quiet"]));
        assert!(text.ends_with("6 seeds, 0 broken\n"), "{text}");
        text.lines().find(|l| l.starts_with("traces ")).unwrap().to_owned()
    };
    assert_eq!(many("1"), many("3"));
}

/// Each was the least that shows a defect that the node had, or a mistake that is planted: it must break nothing, and
/// with its mistake it must break.
#[test]
fn kept_runs_break_with_their_mistake_and_not_without() {
    assert!(!kept().is_empty());
    for file in kept() {
        let path = file.to_str().unwrap();
        let text = std::fs::read_to_string(&file).unwrap();
        if text.lines().any(|l| l.starts_with("plant ")) {
            let output = sim(&["replay", path]);
            assert_eq!(output.status.code(), Some(1), "{path} shows its mistake no longer: {}", out(&output));
        }
        let without: Vec<&str> = text.lines().filter(|l| !l.starts_with("plant ")).collect();
        let clean = place(&format!("clean-{}", file.file_name().unwrap().to_str().unwrap()));
        std::fs::write(&clean, without.join("\n")).unwrap();
        let output = sim(&["replay", clean.to_str().unwrap()]);
        assert_eq!(output.status.code(), Some(0), "{path}: {}", out(&output));
    }
}

#[test]
fn a_broken_rule_is_named_cut_down_and_plays_again_from_its_file() {
    let output = sim(&["run", "--seeds", "0..2", "--plant", "bare-refusal", "--quiet"]);
    assert_eq!(output.status.code(), Some(1));
    let text = out(&output);
    assert!(text.contains("rule value broken at "), "{text}");
    let path = place("cut-down.txt");
    let output = sim(&["shrink", "0", "--plant", "bare-refusal", "-o", path.to_str().unwrap()]);
    assert_eq!(output.status.code(), Some(1));
    let output = sim(&["replay", path.to_str().unwrap()]);
    assert_eq!(output.status.code(), Some(1));
    assert!(out(&output).contains("rule value broken at "));
}

#[test]
fn a_run_goes_on_from_its_state_and_takes_no_other_runs_state() {
    let path = place("state.txt");
    let state = path.to_str().unwrap();
    let run = |seeds| sim(&["run", "--seeds", seeds, "--state", state, "--quiet"]);
    assert_eq!(run("0..4").status.code(), Some(0));
    let whole = std::fs::read_to_string(&path).unwrap();
    assert!(whole.contains("\nnext 4\n"), "{whole}");
    // As if it had been stopped: what is left is played, and all are counted.
    std::fs::write(&path, whole.replace("next 4", "next 3")).unwrap();
    let text = out(&run("0..4"));
    assert!(text.ends_with("4 seeds, 0 broken\n"), "{text}");
    assert!(!text.contains("traces "), "a hash of a part of the run");
    assert_eq!(run("0..5").status.code(), Some(2));
}

#[test]
fn errors_name_the_place_the_cause_and_the_mend() {
    assert!(error(&["replay", "no-such-file"]).contains("no-such-file: "));
    let path = place("bad.txt");
    std::fs::write(&path, "seed 1\nfault crash at=1 length=3\n").unwrap();
    let said = error(&["replay", path.to_str().unwrap()]);
    assert!(said.contains("bad.txt: line 2: \"length\" is none of target, at, len, extra"), "{said}");
    assert!(error(&["run", "--seeds", "3"]).contains("write FROM..TO, as in 0..300"));
    assert!(error(&["run", "--seeds", "3..3"]).contains("holds no seed"));
    assert!(error(&["replay", "1", "--plant", "x"]).contains("there are reset-never-ran"));
    assert!(error(&["scenarios", "nothing"]).contains("there are deadline-1ms-before"));
}

#[test]
fn a_plan_is_what_its_seed_plays() {
    let path = place("plan.txt");
    std::fs::write(&path, sim(&["plan", "5"]).stdout).unwrap();
    let last = |run: &str| out(&sim(&["replay", run])).lines().last().unwrap().to_owned();
    assert_eq!(last(path.to_str().unwrap()), last("5"));
}
