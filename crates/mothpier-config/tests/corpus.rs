//! Checks the corpus. Each broken file must be rejected with the code that its name begins with and with the
//! recorded text. Good files, most of which differ little from a broken one, must have no findings.

use std::collections::BTreeSet;
use std::fs;
use std::path::{Path, PathBuf};

use mothpier_config::fleet::{self, Member};
use mothpier_config::{
    CheckReport, Code, Form, Hosts, MAX_FILE_BYTES, Severity, check, code, has_errors, permissions,
};

fn corpus_files(part: &str) -> Vec<PathBuf> {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("corpus").join(part);
    let mut all: Vec<PathBuf> = fs::read_dir(folder).unwrap().map(|e| e.unwrap().path()).collect();
    all.sort();
    all
}

fn corpus_hosts() -> Hosts {
    Hosts::parse(&fs::read_to_string(Path::new(env!("CARGO_MANIFEST_DIR")).join("corpus/hosts")).unwrap())
}

fn file_name(path: &Path) -> String {
    path.file_name().unwrap().to_string_lossy().into_owned()
}

fn check_file(path: &Path) -> CheckReport {
    check(&fs::read(path).unwrap(), Form::of(path).unwrap(), &corpus_hosts())
}

fn finding_lines(report: &CheckReport) -> String {
    report.findings.iter().map(|f| f.line(&report.text) + "\n").collect()
}

/// Returns the code that a file's name begins with.
fn expected_code(path: &Path) -> Code {
    Code::from_name(&file_name(path)[..6])
        .unwrap_or_else(|| panic!("{}: begins with no code", path.display()))
}

#[test]
fn each_broken_file_is_rejected_with_its_code_and_text() {
    let mut snapshot = String::new();
    let files = corpus_files("broken");
    assert!(files.len() >= 120, "{} broken files", files.len());
    for path in &files {
        let report = check_file(path);
        let code = expected_code(path);
        let matching = report.findings.iter().find(|f| f.code == code && f.severity == Severity::Error);
        assert!(matching.is_some(), "{}: {code} is not among\n{}", file_name(path), finding_lines(&report));
        for f in &report.findings {
            assert!(
                f.span.start <= f.span.end && f.span.end <= report.text.len(),
                "{}: {f:?}",
                file_name(path)
            );
            assert!(!f.problem.is_empty() && !f.fix.is_empty());
        }
        snapshot += &format!("{}\n{}\n", file_name(path), finding_lines(&report));
    }
    insta::assert_snapshot!("broken", snapshot);
}

#[test]
fn good_files_have_no_findings() {
    let files = corpus_files("good");
    assert!(files.len() >= 30, "{} good files", files.len());
    for path in &files {
        let report = check_file(path);
        assert!(report.findings.is_empty(), "{}:\n{}", file_name(path), finding_lines(&report));
        assert!(report.app.is_some());
    }
}

/// The reports of a folder's files, and the findings of the whole set.
type CheckedSet = (Vec<(String, CheckReport)>, Vec<(usize, mothpier_config::Finding)>);

fn check_set(folder: &Path) -> CheckedSet {
    let mut files: Vec<PathBuf> = fs::read_dir(folder).unwrap().map(|e| e.unwrap().path()).collect();
    files.sort();
    let reports: Vec<(String, CheckReport)> = files.iter().map(|f| (file_name(f), check_file(f))).collect();
    let members: Vec<Member<'_>> =
        reports.iter().map(|(file, c)| Member { file, app: c.app.as_ref().expect("readable") }).collect();
    let findings = fleet::check(&members);
    (reports, findings)
}

#[test]
fn sets_of_valid_files_with_conflicts_are_rejected() {
    let mut snapshot = String::new();
    for folder in corpus_files("fleets/broken") {
        let (reports, findings) = check_set(&folder);
        let code = expected_code(&folder);
        assert!(findings.iter().any(|(_, f)| f.code == code), "{}: {findings:?}", file_name(&folder));
        snapshot += &format!("{}\n", file_name(&folder));
        for (index, f) in findings {
            snapshot += &format!("{}:{}\n", reports[index].0, f.line(&reports[index].1.text));
        }
    }
    insta::assert_snapshot!("fleets", snapshot);
    for folder in corpus_files("fleets/good") {
        let (reports, findings) = check_set(&folder);
        assert!(findings.is_empty(), "{}: {findings:?}", file_name(&folder));
        assert!(reports.iter().all(|(_, c)| !has_errors(&c.findings)), "{}", file_name(&folder));
    }
}

/// The corpus covers errors in files; warnings, file modes and oversized files are produced here.
#[test]
fn every_code_is_reported_for_some_input() {
    let mut covered: BTreeSet<Code> = BTreeSet::new();
    for path in corpus_files("broken") {
        covered.extend(check_file(&path).findings.iter().map(|f| f.code));
    }
    for folder in corpus_files("fleets/broken") {
        covered.extend(check_set(&folder).1.iter().map(|(_, f)| f.code));
    }
    let plain =
        fs::read_to_string(corpus_files("good").into_iter().find(|p| file_name(p) == "plain.hcl").unwrap())
            .unwrap();
    let check_edited = |edits: &[(&str, &str)], appended: &str| {
        let text = edits.iter().fold(plain.clone(), |text, (old, new)| {
            assert!(text.contains(old));
            text.replacen(old, new, 1)
        });
        check((text + appended).as_bytes(), Form::Hcl, &corpus_hosts())
    };
    let traffic = "\ntraffic {\n  per_s = 0.1\n  misses = 0.01\n}\n";
    let reports_with_warnings = [
        check_edited(&[("deadline = \"1500ms\"", "deadline = \"4s\"")], ""),
        check_edited(&[("nodes = 20", "nodes = 2000")], traffic),
        check_edited(&[("\"ready\"", "\"draining\""), ("\"ready\"", "\"gone\"")], ""),
    ];
    for w in &reports_with_warnings {
        assert!(!has_errors(&w.findings), "warnings alone: {}", finding_lines(w));
        covered.extend(w.findings.iter().map(|f| f.code));
    }
    let mut modes = vec![mothpier_config::Finding::error(code::EMBEDDED_SECRET, 0..1, "a", "b")];
    permissions::check(0o666, &mut modes);
    covered.extend(modes.iter().map(|f| f.code));
    covered.extend(
        check(&vec![b' '; MAX_FILE_BYTES + 1], Form::Json, &corpus_hosts()).findings.iter().map(|f| f.code),
    );
    // Files that pass these checks but are rejected by a node's own parser are tested in mothpierctl.
    covered.insert(code::NODE_REFUSES);
    let missing: Vec<&Code> = code::ALL.iter().filter(|c| !covered.contains(c)).collect();
    assert!(missing.is_empty(), "nothing shows {missing:?}");
}

/// Files written by the platform must keep starting a node, so their findings must be warnings.
#[test]
fn findings_in_platform_files_are_warnings() {
    let good =
        fs::read_to_string(corpus_files("good").into_iter().find(|p| file_name(p) == "plain.json").unwrap())
            .unwrap();
    let mut file: serde_json::Value = serde_json::from_str(&good).unwrap();
    file.as_object_mut().unwrap().remove("sidecar");
    file["listen"] = "10.0.0.4:6379".into();
    file["limits"]["cores"] = 0.3.into();
    file["new_key"] = 7.into();
    file["settings"]["classes"][1]["effect"] = "pure".into();
    file["settings"]["guarantees"]["drainGraceUs"] = 900_000.into();
    file["settings"]["prices"] = serde_json::json!({"probe": 0.01});
    file["known"]["members"][1]["host_port"] = "10.1.0.7:6379".into();
    let report = check(file.to_string().as_bytes(), Form::Json, &corpus_hosts());
    let codes: BTreeSet<Code> = report.findings.iter().map(|f| f.code).collect();
    for code in [
        code::UNKNOWN_KEY,
        code::WRITE_NAME_MARKED_SAFE,
        code::GRACE_TOO_LONG,
        code::DUPLICATE_SERVER_ADDRESS,
    ] {
        assert!(codes.contains(&code), "{code}: {}", finding_lines(&report));
    }
    assert!(!has_errors(&report.findings), "{}", finding_lines(&report));
    assert!(!codes.contains(&code::LISTENER_NOT_LOOPBACK), "a node of the tier listens for all");
}
