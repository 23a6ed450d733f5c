//! Broken files, each refused with the code that its name begins with and the text beside it; and good ones, most of them
//! a near twin of a broken one, which pass without a word.

use std::collections::BTreeSet;
use std::fs;
use std::path::{Path, PathBuf};

use mothpier_config::fleet::{self, Member};
use mothpier_config::{
    CheckReport, Code, Form, Hosts, MAX_FILE_BYTES, Severity, check, code, has_errors, permissions,
};

fn corpus(part: &str) -> Vec<PathBuf> {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("corpus").join(part);
    let mut all: Vec<PathBuf> = fs::read_dir(folder).unwrap().map(|e| e.unwrap().path()).collect();
    all.sort();
    all
}

fn hosts() -> Hosts {
    Hosts::parse(&fs::read_to_string(Path::new(env!("CARGO_MANIFEST_DIR")).join("corpus/hosts")).unwrap())
}

fn name(path: &Path) -> String {
    path.file_name().unwrap().to_string_lossy().into_owned()
}

fn checked(path: &Path) -> CheckReport {
    check(&fs::read(path).unwrap(), Form::of(path).unwrap(), &hosts())
}

fn lines(checked: &CheckReport) -> String {
    checked.findings.iter().map(|f| f.line(&checked.text) + "\n").collect()
}

/// The code that a file's name begins with.
fn expected(path: &Path) -> Code {
    Code::from_name(&name(path)[..6]).unwrap_or_else(|| panic!("{}: begins with no code", path.display()))
}

#[test]
fn each_broken_file_is_refused_with_its_code_and_text() {
    let mut shown = String::new();
    let files = corpus("broken");
    assert!(files.len() >= 120, "{} broken files", files.len());
    for path in &files {
        let checked = checked(path);
        let code = expected(path);
        let by = checked.findings.iter().find(|f| f.code == code && f.severity == Severity::Error);
        assert!(by.is_some(), "{}: {code} is not among\n{}", name(path), lines(&checked));
        for f in &checked.findings {
            assert!(f.span.start <= f.span.end && f.span.end <= checked.text.len(), "{}: {f:?}", name(path));
            assert!(!f.problem.is_empty() && !f.fix.is_empty());
        }
        shown += &format!("{}\n{}\n", name(path), lines(&checked));
    }
    insta::assert_snapshot!("broken", shown);
}

#[test]
fn good_files_pass_without_a_word() {
    let files = corpus("good");
    assert!(files.len() >= 30, "{} good files", files.len());
    for path in &files {
        let checked = checked(path);
        assert!(checked.findings.is_empty(), "{}:\n{}", name(path), lines(&checked));
        assert!(checked.app.is_some());
    }
}

/// The files of a folder, and what is found in them together.
type Set = (Vec<(String, CheckReport)>, Vec<(usize, mothpier_config::Finding)>);

fn set(folder: &Path) -> Set {
    let mut files: Vec<PathBuf> = fs::read_dir(folder).unwrap().map(|e| e.unwrap().path()).collect();
    files.sort();
    let read: Vec<(String, CheckReport)> = files.iter().map(|f| (name(f), checked(f))).collect();
    let members: Vec<Member<'_>> =
        read.iter().map(|(file, c)| Member { file, app: c.app.as_ref().expect("readable") }).collect();
    let findings = fleet::check(&members);
    (read, findings)
}

#[test]
fn sets_of_files_are_refused_together_though_each_alone_would_pass() {
    let mut shown = String::new();
    for folder in corpus("fleets/broken") {
        let (read, findings) = set(&folder);
        let code = expected(&folder);
        assert!(findings.iter().any(|(_, f)| f.code == code), "{}: {findings:?}", name(&folder));
        shown += &format!("{}\n", name(&folder));
        for (at, f) in findings {
            shown += &format!("{}:{}\n", read[at].0, f.line(&read[at].1.text));
        }
    }
    insta::assert_snapshot!("fleets", shown);
    for folder in corpus("fleets/good") {
        let (read, findings) = set(&folder);
        assert!(findings.is_empty(), "{}: {findings:?}", name(&folder));
        assert!(read.iter().all(|(_, c)| !has_errors(&c.findings)), "{}", name(&folder));
    }
}

/// Warnings, what only a program can see, and what no repository should hold are shown by tests of their own.
#[test]
fn every_code_has_something_that_it_finds() {
    let mut findings: BTreeSet<Code> = BTreeSet::new();
    for path in corpus("broken") {
        findings.extend(checked(&path).findings.iter().map(|f| f.code));
    }
    for folder in corpus("fleets/broken") {
        findings.extend(set(&folder).1.iter().map(|(_, f)| f.code));
    }
    let base =
        fs::read_to_string(corpus("good").into_iter().find(|p| name(p) == "plain.hcl").unwrap()).unwrap();
    let with = |edits: &[(&str, &str)], more: &str| {
        let text = edits.iter().fold(base.clone(), |text, (old, new)| {
            assert!(text.contains(old));
            text.replacen(old, new, 1)
        });
        check((text + more).as_bytes(), Form::Hcl, &hosts())
    };
    let traffic = "\ntraffic {\n  per_s = 0.1\n  misses = 0.01\n}\n";
    let warned = [
        with(&[("deadline = \"1500ms\"", "deadline = \"4s\"")], ""),
        with(&[("nodes = 20", "nodes = 2000")], traffic),
        with(&[("\"ready\"", "\"draining\""), ("\"ready\"", "\"gone\"")], ""),
    ];
    for w in &warned {
        assert!(!has_errors(&w.findings), "warnings alone: {}", lines(w));
        findings.extend(w.findings.iter().map(|f| f.code));
    }
    let mut modes = vec![mothpier_config::Finding::error(code::EMBEDDED_SECRET, 0..1, "a", "b")];
    permissions::check(0o666, &mut modes);
    findings.extend(modes.iter().map(|f| f.code));
    findings
        .extend(check(&vec![b' '; MAX_FILE_BYTES + 1], Form::Json, &hosts()).findings.iter().map(|f| f.code));
    // What the checks of this package let through and a node refuses is tested where the node is at hand.
    findings.insert(code::NODE_REFUSES);
    let missing: Vec<&Code> = code::ALL.iter().filter(|c| !findings.contains(c)).collect();
    assert!(missing.is_empty(), "nothing shows {missing:?}");
}

/// What the platform hands a node today must go on starting: findings are warnings there.
#[test]
fn a_file_of_the_platform_is_warned_of_and_never_refused() {
    let good =
        fs::read_to_string(corpus("good").into_iter().find(|p| name(p) == "plain.json").unwrap()).unwrap();
    let mut file: serde_json::Value = serde_json::from_str(&good).unwrap();
    file.as_object_mut().unwrap().remove("sidecar");
    file["listen"] = "10.0.0.4:6379".into();
    file["limits"]["cores"] = 0.3.into();
    file["new_key"] = 7.into();
    file["settings"]["classes"][1]["effect"] = "pure".into();
    file["settings"]["guarantees"]["drainGraceUs"] = 900_000.into();
    file["settings"]["prices"] = serde_json::json!({"probe": 0.01});
    file["known"]["members"][1]["host_port"] = "10.1.0.7:6379".into();
    let checked = check(file.to_string().as_bytes(), Form::Json, &hosts());
    let codes: BTreeSet<Code> = checked.findings.iter().map(|f| f.code).collect();
    for code in [
        code::UNKNOWN_KEY,
        code::WRITE_NAME_MARKED_SAFE,
        code::GRACE_TOO_LONG,
        code::DUPLICATE_SERVER_ADDRESS,
    ] {
        assert!(codes.contains(&code), "{code}: {}", lines(&checked));
    }
    assert!(!has_errors(&checked.findings), "{}", lines(&checked));
    assert!(!codes.contains(&code::LISTENER_NOT_LOOPBACK), "a node of the tier listens for all");
}
