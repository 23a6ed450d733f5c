//! The adapter as a process: frames built by hand go in, replies are read byte by byte.
#![allow(missing_docs)]

use std::io::{Read, Write};
use std::process::{Child, Command, Output, Stdio};

const SETTINGS: &str = r#"{"balancers":1,"classes":[{"deadlineUs":1500000,"effect":"pure","goalTimeUs":750000,
 "gain":1.0,"name":"a"}],"discovery":"ask","unknown":{"x":1},"limits":{"maxAttempts":3},
 "specifics":{"mode":"aside","originKind":1},"periodUs":1000}"#;

#[derive(Default)]
struct Batch {
    records: Vec<[u8; 48]>,
    tail: Vec<u8>,
}

impl Batch {
    fn record(&mut self, code: u8, node: u16, fields: &[(usize, &[u8])]) -> &mut Self {
        let mut r = [0u8; 48];
        r[0] = code;
        r[1..3].copy_from_slice(&node.to_le_bytes());
        for (at, bytes) in fields {
            r[*at..at + bytes.len()].copy_from_slice(bytes);
        }
        self.records.push(r);
        self
    }

    fn part(&mut self, bytes: &[u8], count: usize) -> [u8; 8] {
        let mut field = [0u8; 8];
        field[..4].copy_from_slice(&(self.tail.len() as u32).to_le_bytes());
        field[4..].copy_from_slice(&(count as u32).to_le_bytes());
        self.tail.extend_from_slice(bytes);
        field
    }

    fn start(&mut self, node: u16, settings: &str) -> &mut Self {
        let part = self.part(settings.as_bytes(), settings.len());
        self.record(5, node, &[(3, &7u64.to_le_bytes()), (11, &part)])
    }

    /// A list of ready servers (id and machine kind), then its number to the instance.
    fn list(&mut self, node: u16, number: u16, how: u8, servers: &[(u32, u16)]) -> &mut Self {
        let mut lines = Vec::new();
        for (id, kind) in servers {
            lines.extend_from_slice(&[0; 9]);
            lines.push(1);
            lines.extend_from_slice(&id.to_le_bytes());
            lines.extend_from_slice(&[0; 2]);
            lines.extend_from_slice(&kind.to_le_bytes());
            lines.extend_from_slice(&1f32.to_le_bytes());
        }
        let part = self.part(&lines, servers.len());
        self.record(9, number, &[(3, &part)]);
        self.record(10, node, &[(3, &number.to_le_bytes()), (9, &[how])])
    }

    fn demand(&mut self, node: u16, id: u64, key: u64) -> &mut Self {
        let budget = 1_500_000u32.to_le_bytes();
        self.record(4, node, &[(3, &id.to_le_bytes()), (19, &key.to_le_bytes()), (31, &budget)])
    }

    fn report(&mut self, node: u16, id: u64, attempt: u16, server: u32, code: u16) -> &mut Self {
        let (id, attempt, server) = (id.to_le_bytes(), attempt.to_le_bytes(), server.to_le_bytes());
        self.record(3, node, &[(3, &id), (19, &attempt), (22, &code.to_le_bytes()), (24, &server)])
    }

    fn frame(&self, now: u64, number: u32) -> Vec<u8> {
        let length = (self.records.len() * 48 + self.tail.len()) as u32;
        let mut frame = now.to_le_bytes().to_vec();
        frame.extend_from_slice(&length.to_le_bytes());
        frame.extend_from_slice(&(self.records.len() as u32).to_le_bytes());
        frame.extend_from_slice(&number.to_le_bytes());
        self.records.iter().for_each(|r| frame.extend_from_slice(r));
        frame.extend_from_slice(&self.tail);
        frame
    }
}

fn spawn() -> Child {
    let mut command = Command::new(env!("CARGO_BIN_EXE_brassrouter-drill"));
    command.stdin(Stdio::piped()).stdout(Stdio::piped()).stderr(Stdio::piped());
    command.spawn().expect("the adapter starts")
}

fn run(input: &[u8]) -> Output {
    let mut child = spawn();
    // It may stop reading at a fault: a broken pipe is then expected.
    let _ = child.stdin.take().expect("piped").write_all(input);
    child.wait_with_output().expect("ended")
}

fn u32_at(b: &[u8], at: usize) -> u32 {
    u32::from_le_bytes(b[at..at + 4].try_into().unwrap())
}

/// The action records of the replies in an output, by batch.
fn replies(mut out: &[u8]) -> Vec<Vec<Vec<u8>>> {
    let mut replies = Vec::new();
    while !out.is_empty() {
        let (count, length) = (u32_at(out, 0) as usize, u32_at(out, 4) as usize);
        assert!(length >= count * 24);
        let body = &out[12..12 + length];
        replies.push((0..count).map(|i| body[i * 24..(i + 1) * 24].to_vec()).collect());
        out = &out[12 + length..];
    }
    replies
}

fn sends(records: &[Vec<u8>]) -> Vec<(u16, u64, u32)> {
    let node = |r: &[u8]| u16::from_le_bytes([r[1], r[2]]);
    let id = |r: &[u8]| u64::from_le_bytes(r[3..11].try_into().unwrap());
    let sent = records.iter().filter(|r| r[0] == 1);
    sent.map(|r| (node(r), id(r), u32_at(r, 11))).collect()
}

#[test]
fn an_empty_batch_has_the_reply_of_the_protocol_page() {
    let input = [0x5a, 0x5c, 0x80, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 1, 0, 0, 0];
    let output = run(&input);
    assert!(output.status.success());
    assert_eq!(output.stdout, [0, 0, 0, 0, 0, 0, 0, 0, 1, 0, 0, 0]);
}

#[test]
fn no_input_ends_well_and_says_nothing() {
    let output = run(&[]);
    assert!(output.status.success() && output.stdout.is_empty() && output.stderr.is_empty());
}

#[test]
fn a_request_is_sent_missed_fetched_and_each_reply_comes_before_the_next_batch() {
    let mut child = spawn();
    let (mut stdin, mut stdout) = (child.stdin.take().unwrap(), child.stdout.take().unwrap());
    let mut ask = |batch: &Batch, now: u64, number: u32| {
        stdin.write_all(&batch.frame(now, number)).unwrap();
        let mut header = [0u8; 12];
        stdout.read_exact(&mut header).unwrap();
        assert_eq!(u32_at(&header, 8), number);
        let mut body = vec![0u8; u32_at(&header, 4) as usize];
        stdout.read_exact(&mut body).unwrap();
        replies(&[&header[..], &body[..]].concat()).remove(0)
    };
    let mut first = Batch::default();
    first.start(3, SETTINGS).list(3, 0, 1, &[(11, 0), (500, 1)]).demand(3, 77, 9);
    let answer = ask(&first, 1_000_000, 1);
    assert_eq!(sends(&answer), [(3, 77, 11)]);
    assert!(answer.iter().any(|r| r[0] == 11 && r[3] == 1), "subscribes where discovery is asked");
    let mut second = Batch::default();
    second.report(3, 77, 0, 11, 204);
    assert_eq!(sends(&ask(&second, 1_010_000, 2)), [(3, 77, 500)]);
    let mut third = Batch::default();
    third.report(3, 77, 1, 500, 200);
    assert_eq!(sends(&ask(&third, 1_020_000, 3)), []);
    drop(stdin);
    assert!(child.wait().unwrap().success());
}

#[test]
fn list_numbers_are_resolved_in_the_order_of_events() {
    let mut batch = Batch::default();
    batch.start(0, SETTINGS).start(1, SETTINGS);
    batch.list(0, 4, 1, &[(11, 0)]).list(1, 4, 1, &[(22, 0)]);
    batch.demand(0, 1, 9).demand(1, 2, 9);
    let output = run(&batch.frame(1_000_000, 1));
    assert_eq!(sends(&replies(&output.stdout)[0]), [(0, 1, 11), (1, 2, 22)]);
}

#[test]
fn an_instance_killed_and_started_in_one_batch_begins_anew() {
    let mut batch = Batch::default();
    batch.start(0, SETTINGS).list(0, 0, 1, &[(11, 0)]);
    batch.record(7, 0, &[]).start(0, SETTINGS).list(0, 1, 1, &[(12, 0)]).demand(0, 1, 9);
    let output = run(&batch.frame(1_000_000, 1));
    assert_eq!(sends(&replies(&output.stdout)[0]), [(0, 1, 12)]);
}

#[test]
fn every_event_of_the_wire_is_read() {
    let mut batch = Batch::default();
    batch.start(0, SETTINGS).list(0, 0, 1, &[(11, 0)]).demand(0, 1, 9);
    let blob = batch.part(b"hello", 5);
    batch.record(1, 0, &[(3, &99u64.to_le_bytes())]);
    batch.record(2, 0, &[(3, &5u32.to_le_bytes())]);
    batch.record(6, 0, &[(3, &200u16.to_le_bytes()), (9, &11u32.to_le_bytes()), (13, &[4])]);
    batch.record(8, 0, &[(3, &1u64.to_le_bytes()), (11, &11u32.to_le_bytes())]);
    batch.record(10, 0, &[(9, &[2])]);
    batch.record(11, 0, &[(3, &1u32.to_le_bytes()), (7, &blob)]);
    for (attempt, code) in [200, 502, 429, 408, 521, 520, 444, 409, 204].into_iter().enumerate() {
        batch.report(0, 1, attempt as u16, 11, code);
    }
    assert!(run(&batch.frame(1_000_000, 1)).status.success());
}

#[test]
fn malformed_input_ends_with_one_plain_line_and_no_half_reply() {
    let started = |f: &dyn Fn(&mut Batch)| {
        let mut batch = Batch::default();
        batch.start(0, SETTINGS).list(0, 0, 1, &[(11, 0)]);
        f(&mut batch);
        batch.frame(1_000_000, 1)
    };
    let whole = started(&|_| {});
    let mut long = whole.clone();
    long[8..12].copy_from_slice(&u32::MAX.to_le_bytes());
    let mut many = whole.clone();
    many[12..16].copy_from_slice(&u32::MAX.to_le_bytes());
    let mut bad_settings = Batch::default();
    bad_settings.start(0, "{\"classes\": 3}");
    let mut bad_effect = Batch::default();
    bad_effect.start(0, "{\"classes\": [{\"effect\": \"maybe\"}]}");
    let far = [0xff, 0xff, 0xff, 0xff, 9, 0, 0, 0];
    let cases: Vec<(&str, Vec<u8>)> = vec![
        ("truncated frame", whole[..10].to_vec()),
        ("truncated frame", whole[..60].to_vec()),
        ("truncated frame", long),
        ("records exceed", many),
        (
            "unknown event code 77",
            started(&|b| {
                b.record(77, 0, &[]);
            }),
        ),
        (
            "unknown instance 5",
            started(&|b| {
                b.demand(5, 1, 9);
            }),
        ),
        (
            "unknown instance 5",
            started(&|b| {
                b.record(7, 5, &[]);
            }),
        ),
        (
            "unknown outcome 999",
            started(&|b| {
                b.report(0, 1, 0, 11, 999);
            }),
        ),
        (
            "leave the frame",
            started(&|b| {
                b.record(9, 0, &[(3, &far)]);
            }),
        ),
        (
            "leave the frame",
            started(&|b| {
                b.record(11, 0, &[(7, &far)]);
            }),
        ),
        (
            "out of range",
            started(&|b| {
                b.record(9, 16, &[]);
            }),
        ),
        (
            "unknown list 7",
            started(&|b| {
                b.record(10, 0, &[(3, &[7, 0])]);
            }),
        ),
        (
            "unknown kind 9",
            started(&|b| {
                b.record(10, 0, &[(9, &[9])]);
            }),
        ),
        (
            "class 3",
            started(&|b| {
                b.record(4, 0, &[(14, &[3])]);
            }),
        ),
        (
            "tenant 2",
            started(&|b| {
                b.record(4, 0, &[(11, &[2])]);
            }),
        ),
        ("unreadable settings", bad_settings.frame(1, 1)),
        ("unreadable settings", bad_effect.frame(1, 1)),
    ];
    for (expected, input) in cases {
        let output = run(&input);
        let message = String::from_utf8(output.stderr).unwrap();
        assert_eq!(output.status.code(), Some(1), "{expected}: {message}");
        assert!(message.contains(expected), "expected {expected:?} in {message:?}");
        assert_eq!(message.lines().count(), 1, "{message}");
        assert!(output.stdout.is_empty(), "{expected}: no reply half written");
    }
}

#[test]
fn odd_but_readable_settings_are_taken_safely() {
    let class = r#""effect":"pure","goalTimeUs":750000,"deadlineUs":1500000"#;
    let odd = [
        r#"{"classes":[{"effect":"pure","goalTimeUs":0,"deadlineUs":0}]}"#.to_string(),
        r#"{"classes":[{"effect":"pure","goalTimeUs":1e300,"deadlineUs":1e300,"gain":1e308}],"periodUs":1e300}"#.into(),
        format!(r#"{{"classes":[{{{class}}}],"balancers":0,"realms":[{{"quotaPerS":-5}}]}}"#),
        format!(r#"{{"classes":[{{{class}}}],"discovery":"ask","guarantees":{{"coldShare":-1,"askWithinUs":0}}}}"#),
        format!(r#"{{"classes":[{{{class}}}],"specifics":{{"mode":"aside","originKind":70000}}}}"#),
        format!(r#"{{"classes":[{{{class},"runsIn":[]}}],"limits":{{"maxAttempts":0}}}}"#),
    ];
    for settings in odd {
        let mut first = Batch::default();
        first.start(0, &settings).list(0, 0, 1, &[(11, 0), (500, 1)]).demand(0, 1, 9);
        let mut input = first.frame(1_000_000, 1);
        input.extend(Batch::default().frame(1_500_000, 2));
        let output = run(&input);
        assert!(output.status.success(), "{settings}: {}", String::from_utf8_lossy(&output.stderr));
        assert_eq!(replies(&output.stdout).len(), 2, "{settings}");
    }
}
