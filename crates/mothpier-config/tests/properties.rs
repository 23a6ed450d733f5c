//! Properties of the whole checker: no input panics, generated and rendered files read the same in every
//! format, and the schema has the same names as the reader.

use std::collections::BTreeSet;
use std::fs;
use std::path::Path;

use mothpier_config::changes::settings;
use mothpier_config::profile::{NamedServer, PROFILES, SidecarSpec, command_arguments, write};
use mothpier_config::render::render;
use mothpier_config::{Form, Hosts, Severity, check, code, has_errors};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

fn good_file(name: &str) -> Vec<u8> {
    fs::read(Path::new(env!("CARGO_MANIFEST_DIR")).join("corpus/good").join(name)).unwrap()
}

const FORMS: [(Form, &str); 3] =
    [(Form::Hcl, "plain.hcl"), (Form::Toml, "plain.toml"), (Form::Json, "plain.json")];

proptest! {
    #![proptest_config(ProptestConfig { cases: 1_500, rng_seed: RngSeed::Fixed(9), failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn random_bytes_do_not_panic(bytes in proptest::collection::vec(any::<u8>(), 0..300), form in 0usize..3) {
        let checked = check(&bytes, FORMS[form].0, &Hosts::default());
        prop_assert!(has_errors(&checked.findings), "random bytes are no configuration");
    }

    /// Replaces a part of a good file. Findings must lie within the text, and a file that can't be read must
    /// have an error.
    #[test]
    fn corrupted_files_do_not_panic(
        form in 0usize..3,
        from in 0usize..4_000,
        length in 0usize..60,
        inserted in prop_oneof![
            Just(Vec::new()),
            proptest::collection::vec(any::<u8>(), 0..8),
            "[\\[\\]{}()\"'=:,!?$%<>&|+*/#\\\\ \n-]{0,40}".prop_map(String::into_bytes),
            prop::sample::select(vec!["1e999", "-1", "null", "\"\"", "nan", "true", "[[", "99999999999999999999"])
                .prop_map(|s| s.as_bytes().to_vec()),
        ],
    ) {
        let mut bytes = good_file(FORMS[form].1);
        let from = from % bytes.len();
        let to = (from + length).min(bytes.len());
        bytes.splice(from..to, inserted);
        let checked = check(&bytes, FORMS[form].0, &Hosts::default());
        for f in &checked.findings {
            prop_assert!(f.span.start <= f.span.end && f.span.end <= checked.text.len().max(f.span.end.min(1)));
            let _ = f.line(&checked.text);
        }
        prop_assert!(checked.app.is_some() || has_errors(&checked.findings), "not read, and not said why");
    }
}

/// Generates files from every combination of options: neither the file nor the rendered node file may have
/// findings.
#[test]
fn generated_files_pass_and_read_the_same_in_every_format() {
    let mut count = 0;
    for (_, profile) in PROFILES {
        for form in [Form::Hcl, Form::Toml] {
            for bits in 0..64u32 {
                let bit_set = |bit: u32| bits & (1 << bit) != 0;
                let tier = bit_set(0);
                let mut servers = vec![NamedServer { id: "n1".into(), address: "10.1.0.1:6379".into() }];
                if !tier && bit_set(1) {
                    servers.clear();
                }
                let spec = SidecarSpec {
                    app: "profiles".into(),
                    profile,
                    tenant: "silverlight".into(),
                    listen: if bit_set(2) { "/run/mothpier/p.sock".into() } else { "127.0.0.1:6379".into() },
                    discovery: (!tier).then(|| "127.0.0.1:8500".into()),
                    nodes: if bit_set(3) { 200 } else { 1 },
                    me: if bit_set(3) { 199 } else { 0 },
                    servers,
                    origin: bit_set(4).then(|| "10.2.0.1:80".into()),
                    origin_limits: (80.0, 400.0),
                    quota: 150.0,
                    copies: bit_set(5),
                    machine: bit_set(1).then(|| "web-1".into()),
                    form,
                };
                let text = write(&spec, "--app profiles");
                assert_eq!(command_arguments(&text), Some("--app profiles"));
                let checked = check(text.as_bytes(), form, &Hosts::default());
                assert!(checked.findings.is_empty(), "{text}\n{:#?}", checked.findings);
                let app = checked.app.unwrap();
                let json = render(&app).to_string();
                let rendered = check(json.as_bytes(), Form::Json, &Hosts::default());
                assert!(rendered.findings.is_empty(), "{json}\n{:#?}", rendered.findings);
                // The rendered file has the same settings, except for those that only people need.
                let (written, node) = (settings(&app), settings(&rendered.app.unwrap()));
                for s in written
                    .iter()
                    .filter(|s| !s.path.starts_with("listen.mode") && s.path != "origin.address")
                {
                    let node_value = node.iter().find(|n| n.path == s.path).map(|n| &n.value);
                    assert_eq!(node_value, Some(&s.value), "{}", s.path);
                }
                count += 1;
            }
        }
    }
    assert_eq!(count, 3 * 2 * 64);
}

/// Returns the keys that a block knows, as the finding for an unknown key lists them.
fn known_keys(block: &str) -> BTreeSet<String> {
    let text = match block {
        "" => "zzzzzz = 1\n".to_owned(),
        "class" | "quota" | "box" => format!("{block} \"a\" {{\n  zzzzzz = 1\n}}\n"),
        _ => format!("{block} {{\n  zzzzzz = 1\n}}\n"),
    };
    let checked = check(text.as_bytes(), Form::Hcl, &Hosts::default());
    let findings =
        checked.findings.iter().find(|f| f.code == code::UNKNOWN_KEY && f.problem.contains("zzzzzz"));
    let fix = &findings.unwrap_or_else(|| panic!("{block}: {:?}", checked.findings)).fix;
    fix.strip_prefix("known here: ")
        .unwrap_or_else(|| panic!("{fix}"))
        .split(", ")
        .map(str::to_owned)
        .collect()
}

#[test]
fn the_schema_and_the_reader_know_the_same_names() {
    let schema = mothpier_config::schema::schema();
    let names = |part: &serde_json::Value| -> BTreeSet<String> {
        part["properties"].as_object().unwrap().keys().cloned().collect()
    };
    assert_eq!(names(&schema), known_keys(""));
    let blocks = [
        ("listen", "Listen"),
        ("discovery", "Discovery"),
        ("peers", "Peers"),
        ("limits", "Limits"),
        ("origin", "Origin"),
        ("cold", "Cold"),
        ("drain", "Drain"),
        ("retries", "Retries"),
        ("machine", "Machine"),
        ("traffic", "Traffic"),
        ("class", "Class"),
        ("quota", "Quota"),
        ("box", "BoxLine"),
    ];
    for (block, name) in blocks {
        assert_eq!(names(&schema["$defs"][name]), known_keys(block), "{block}");
    }
}

#[test]
fn changes_are_listed_with_when_they_take_effect() {
    use mothpier_config::changes::{AppliesAt, changes};
    let plain = String::from_utf8(good_file("plain.hcl")).unwrap();
    let app = |text: &str| check(text.as_bytes(), Form::Hcl, &Hosts::default()).app.unwrap();
    assert!(changes(&app(&plain), &app(&plain)).is_empty());
    let mut count = 0;
    for (old, new, path) in [
        ("127.0.0.1:8500", "127.0.0.1:8501", "discovery.address"),
        ("sockets = 512", "sockets = 513", "limits.sockets"),
        ("copies = true", "copies = false", "retries.copies"),
        ("aim = \"750ms\"", "aim = \"740ms\"", "class.browse.aim"),
        ("per_s = 150", "per_s = 151", "quota.silverlight"),
        ("10.1.0.8:6379", "10.1.0.9:6379", "box.pb8.address"),
        ("outstanding = 80", "outstanding = 81", "origin.outstanding"),
        ("class \"send-interest\"", "class \"send-hello\"", "class.send-hello.effect"),
    ] {
        let found = changes(&app(&plain), &app(&plain.replacen(old, new, 1)));
        let change = found.iter().find(|c| c.path == path).unwrap_or_else(|| panic!("{path}: {found:?}"));
        let applies_at = if path == "discovery.address" { AppliesAt::Reload } else { AppliesAt::Restart };
        assert_eq!(change.applies_at, applies_at, "{path}");
        count += 1;
    }
    assert_eq!(count, 8);
    assert!(
        check(plain.as_bytes(), Form::Hcl, &Hosts::default())
            .findings
            .iter()
            .all(|f| f.severity != Severity::Error)
    );
}
