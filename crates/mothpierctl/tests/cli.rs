//! The tool as a person uses it: exit codes, what is written and what is not.

use std::fs;
use std::os::unix::fs::PermissionsExt;
use std::path::{Path, PathBuf};
use std::process::{Command, Output};

struct Folder(PathBuf);

impl Folder {
    fn new(name: &str) -> Folder {
        let folder = std::env::temp_dir().join(format!("mothpierctl-{}-{name}", std::process::id()));
        let _ = fs::remove_dir_all(&folder);
        fs::create_dir_all(&folder).unwrap();
        Folder(folder)
    }

    fn run(&self, words: &str) -> Output {
        let words = words.split_whitespace();
        let tool = env!("CARGO_BIN_EXE_mothpierctl");
        Command::new(tool)
            .args(words)
            .current_dir(&self.0)
            .stdin(std::process::Stdio::null())
            .output()
            .unwrap()
    }

    fn read(&self, name: &str) -> String {
        fs::read_to_string(self.0.join(name)).unwrap()
    }

    fn write(&self, name: &str, text: &str) {
        fs::write(self.0.join(name), text).unwrap();
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

fn code(output: &Output) -> i32 {
    output.status.code().unwrap()
}

fn out(output: &Output) -> String {
    String::from_utf8(output.stdout.clone()).unwrap()
}

fn err(output: &Output) -> String {
    String::from_utf8(output.stderr.clone()).unwrap()
}

const NEW: &str = "new --app profiles --profile member-app --tenant acme --listen 127.0.0.1:6379 --discovery 127.0.0.1:8500";

fn corpus(part: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../mothpier-config/corpus").join(part)
}

#[test]
fn from_the_first_draft_to_the_file_that_a_node_is_started_with() {
    let f = Folder::new("walk");
    let made = f.run(NEW);
    assert_eq!(code(&made), 0, "{}", err(&made));
    let checked = f.run("check --strict profiles.hcl");
    assert_eq!((code(&checked), out(&checked).as_str()), (0, "1 file: 0 errors, 0 warnings\n"));
    assert_eq!(code(&f.run("render profiles.hcl --output profiles.json")), 0);
    let again = f.run("render profiles.hcl --output profiles.json");
    assert_eq!(code(&again), 2);
    assert!(err(&again).contains("profiles.json is there already"), "{}", err(&again));
    assert_eq!(code(&f.run("check profiles.json")), 0);
    // The node's own reader takes it.
    let text = f.read("profiles.json");
    let read = mothpier::config::parse(text.as_bytes(), &|_| None, mothpier::config::Precedence::File);
    let config = read.unwrap_or_else(|e| panic!("{e}"));
    assert!(config.warnings.is_empty(), "{:?}", config.warnings);
    assert!(config.sidecar.is_some());
    let left: Vec<_> = fs::read_dir(&f.0).unwrap().map(|e| e.unwrap().file_name()).collect();
    assert_eq!(left.len(), 2, "{left:?}");
}

#[test]
fn what_a_person_changed_stays_and_nothing_is_written_unasked() {
    let f = Folder::new("again");
    assert_eq!(code(&f.run(NEW)), 0);
    let mine = f.read("profiles.hcl").replace("aim = \"750ms\"", "aim = \"700ms\" # the pages got quicker");
    f.write("profiles.hcl", &mine);
    let same = f.run(NEW);
    assert_eq!(code(&same), 0, "{}", err(&same));
    assert!(err(&same).contains("stays as it is"));
    let shown = f.run(&format!("{NEW} --nodes 200 --me 7"));
    assert_eq!(code(&shown), 1);
    assert!(out(&shown).contains("+nodes = 200") && !out(&shown).contains("700ms"), "{}", out(&shown));
    assert_eq!(f.read("profiles.hcl"), mine, "shown, not written");
    let written = f.run(&format!("{NEW} --nodes 200 --me 7 --write"));
    assert_eq!(code(&written), 0, "{}", err(&written));
    let now = f.read("profiles.hcl");
    assert!(now.contains("nodes = 200") && now.contains("aim = \"700ms\" # the pages got quicker"));
    // Both changed one line.
    f.write("profiles.hcl", &now.replace("nodes = 200", "nodes = 201"));
    let conflict = f.run(&format!("{NEW} --nodes 300 --me 7 --write"));
    assert_eq!(code(&conflict), 1);
    assert!(out(&conflict).contains("<<<<<<<") && err(&conflict).contains("nothing was written"));
    assert!(f.read("profiles.hcl").contains("nodes = 201"));
    // What somebody else wrote is not touched.
    f.write("profiles.hcl", "app = \"mine\"\n");
    let foreign = f.run(&format!("{NEW} --write"));
    assert_eq!(code(&foreign), 2);
    assert_eq!(f.read("profiles.hcl"), "app = \"mine\"\n");
}

#[test]
fn what_would_be_refused_is_never_written() {
    let f = Folder::new("refused");
    let wide = f.run(&NEW.replace("127.0.0.1:6379", "0.0.0.0:6379"));
    assert_eq!(code(&wide), 1);
    assert!(out(&wide).contains("MP0601") && !f.0.join("profiles.hcl").exists());
    let missing = f.run("new --app profiles");
    assert_eq!(code(&missing), 2);
    assert!(err(&missing).contains("--profile is missing"), "{}", err(&missing));
    let blank = Command::new(env!("CARGO_BIN_EXE_mothpierctl"))
        .args(NEW.split_whitespace().map(|w| if w == "acme" { "ac me" } else { w }))
        .current_dir(&f.0)
        .output()
        .unwrap();
    assert_eq!(code(&blank), 2);
    assert!(err(&blank).contains("holds a blank"), "{}", err(&blank));
}

#[test]
fn findings_tell_place_cause_service_and_mend() {
    let f = Folder::new("shown");
    fs::copy(corpus("broken/MP0201-message-repeat.hcl"), f.0.join("app.hcl")).unwrap();
    let shown = f.run("check app.hcl");
    assert_eq!(code(&shown), 1);
    let text = out(&shown);
    for part in [
        "[MP0201] Error: an unsafe class is marked safe to repeat",
        "app.hcl:62:12",
        "repeat = true",
        "class \"send-message\" is unsafe and marked safe to repeat",
        "its effect happens once more with each repeat",
        "the member gets it twice",
        "give the class a key",
        "1 file: 1 error, 0 warnings",
    ] {
        assert!(text.contains(part), "{part:?} is not in\n{text}");
    }
    assert!(!text.contains('\u{1b}'), "no colours where no terminal is");
    let json = f.run("check --format json app.hcl");
    let value: serde_json::Value = serde_json::from_str(&out(&json)).unwrap();
    assert_eq!(value["findings"][0]["code"], "MP0201");
    assert_eq!(
        (value["findings"][0]["line"].as_u64(), value["findings"][0]["column"].as_u64()),
        (Some(62), Some(12))
    );
    let explained = f.run("explain mp0201");
    assert!(code(&explained) == 0 && out(&explained).contains("In service: A message"));
    assert_eq!(code(&f.run("explain MP9999")), 2);
}

#[test]
fn files_that_are_not_there_not_named_well_or_open_to_others() {
    let f = Folder::new("files");
    assert_eq!(code(&f.run("check nothing.hcl")), 2);
    f.write("app.conf", "");
    let odd = f.run("check app.conf");
    assert!(code(&odd) == 2 && err(&odd).contains("its name ends in none of"));
    let empty = f.run("check .");
    assert!(code(&empty) == 2 && err(&empty).contains("no .hcl, .toml or .json file"));
    assert_eq!(code(&f.run(NEW)), 0);
    fs::set_permissions(f.0.join("profiles.hcl"), fs::Permissions::from_mode(0o666)).unwrap();
    let open = f.run("check profiles.hcl");
    assert!(code(&open) == 1 && out(&open).contains("MP0902"), "{}", out(&open));
    // A file without end is not read to its end.
    let endless = f.run("check --hosts /dev/zero profiles.hcl");
    assert!(code(&endless) == 2 && err(&endless).contains("more than"), "{}", err(&endless));
}

/// What the checks let through and the node's reader does not is found all the same.
#[test]
fn what_a_node_would_refuse_is_refused() {
    let f = Folder::new("node");
    let good = fs::read_to_string(corpus("good/plain.json")).unwrap();
    assert!(good.contains("\"maxAttempts\": 3"));
    f.write("node.json", &good.replace("\"maxAttempts\": 3", "\"maxAttempts\": 3.5"));
    let refused = f.run("check node.json");
    assert!(code(&refused) == 1 && out(&refused).contains("MP0116"), "{}", out(&refused));
}

/// Whatever the checks of the corpus accept, a node's reader takes.
#[test]
fn a_node_takes_every_good_file_of_the_corpus() {
    let f = Folder::new("corpus");
    let hosts = corpus("hosts");
    let checked =
        f.run(&format!("check --format json --hosts {} {}", hosts.display(), corpus("good").display()));
    let value: serde_json::Value = serde_json::from_str(&out(&checked)).unwrap();
    // Together they are no fleet: they share ports and numbers. One by one they are good.
    let alone = value["findings"]
        .as_array()
        .unwrap()
        .iter()
        .filter(|f| !f["code"].as_str().unwrap().starts_with("MP10"));
    assert_eq!(alone.count(), 0, "{value:#}");
    assert!(value["files"].as_u64().unwrap() >= 30);
}

#[test]
fn a_diff_tells_what_takes_a_restart() {
    let f = Folder::new("diff");
    assert_eq!(code(&f.run(NEW)), 0);
    let text = f.read("profiles.hcl");
    f.write("next.hcl", &text.replace("127.0.0.1:8500", "127.0.0.1:8501"));
    let reload = f.run("diff profiles.hcl next.hcl");
    assert_eq!(code(&reload), 1);
    assert!(out(&reload).contains("discovery.address: 127.0.0.1:8500 -> 127.0.0.1:8501"));
    assert!(out(&reload).ends_with("SIGHUP is enough\n"));
    f.write("next.hcl", &text.replace("open = 512", "open = 500"));
    let restart = f.run("diff profiles.hcl next.hcl");
    assert!(out(&restart).contains("limits.open: 512 -> 500") && out(&restart).contains("restart the node"));
    assert_eq!(code(&f.run("diff profiles.hcl profiles.hcl")), 0);
    f.write("next.hcl", &text.replace("nodes = 1", "nodes = -1"));
    assert!(out(&f.run("diff profiles.hcl next.hcl")).contains("MP0112"));
}

#[test]
fn a_plan_spreads_the_keys_and_spares_a_cold_box() {
    let f = Folder::new("plan");
    assert_eq!(code(&f.run(&format!("{NEW} --nodes 20"))), 0);
    let list: String = (0..8).map(|i| format!("s-{i} 10.1.0.{} full-box\n", i + 1)).collect();
    f.write("boxes.txt", &list);
    let planned = f.run("plan profiles.hcl --boxes boxes.txt --per-s 18 --cold s-3 --format json");
    assert_eq!(code(&planned), 0, "{}{}", out(&planned), err(&planned));
    let value: serde_json::Value = serde_json::from_str(&out(&planned)).unwrap();
    let boxes = value["boxes"].as_array().unwrap();
    assert_eq!(boxes.len(), 8);
    let part = |b: &serde_json::Value| b["keys"].as_f64().unwrap();
    let sum: f64 = boxes.iter().map(part).sum();
    assert!((sum - 1.0).abs() < 1e-9);
    for b in boxes {
        let cold = b["id"] == "s-3";
        let (least, most) = if cold { (0.0, 0.12) } else { (0.09, 0.18) };
        assert!((least..most).contains(&part(b)), "{b}");
    }
    assert_eq!(value["this_node"]["origin_at_once"], 4.0);
    let unknown = f.run("plan profiles.hcl --boxes boxes.txt --per-s 18 --cold s-9");
    assert!(code(&unknown) == 2 && err(&unknown).contains("s-9"));
    f.write("boxes.txt", "s-1\n");
    let odd = f.run("plan profiles.hcl --boxes boxes.txt --per-s 18");
    assert!(code(&odd) == 2 && err(&odd).contains("boxes.txt:1: write ID ADDRESS"), "{}", err(&odd));
}

#[test]
fn help_schema_completions_and_the_page_say_all_that_there_is() {
    let f = Folder::new("help");
    let help = out(&f.run("--help"));
    for word in
        ["new", "check", "render", "explain", "schema", "diff", "plan", "completions", "man", "Exit codes"]
    {
        assert!(help.contains(word), "{word}");
    }
    let schema: serde_json::Value = serde_json::from_str(&out(&f.run("schema"))).unwrap();
    assert!(schema["properties"]["class"].is_object());
    for shell in ["bash", "zsh", "fish"] {
        assert!(out(&f.run(&format!("completions {shell}"))).contains("mothpierctl"), "{shell}");
    }
    assert!(out(&f.run("man")).starts_with(".ie") || out(&f.run("man")).contains(".TH mothpierctl"));
    let page = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/operations/sidecar.md");
    let page = fs::read_to_string(page).unwrap();
    for line in out(&f.run("explain")).lines() {
        let (code, title) = line.split_once("  ").unwrap();
        assert!(page.contains(&format!("| {code} | {title} |")), "{code} is not in the operators' page");
    }
}
