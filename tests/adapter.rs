//! Runs the adapter as a process, writes hand-built frames to it and checks the bytes of its replies.
#![allow(missing_docs)]

use std::io::{Read, Write};
use std::process::{Child, Command, Output, Stdio};

const SETTINGS: &str = r#"{"balancers":1,"classes":[{"deadlineUs":1500000,"effect":"pure","goalTimeUs":750000,
 "gain":1.0,"name":"a"}],"discovery":"ask","unknown":{"x":1},"limits":{"maxAttempts":3},
 "specifics":{"mode":"aside","originKind":1},"periodUs":1000}"#;

/// A batch of event records, with the variable-length data (tail) that they refer to.
#[derive(Default)]
struct Batch {
    records: Vec<[u8; 48]>,
    tail: Vec<u8>,
}

impl Batch {
    /// Adds an event record with the given fields, each at its offset in the record.
    fn record(&mut self, code: u8, node: u16, fields: &[(usize, &[u8])]) -> &mut Self {
        let mut record = [0u8; 48];
        record[0] = code;
        record[1..3].copy_from_slice(&node.to_le_bytes());
        for (at, bytes) in fields {
            record[*at..at + bytes.len()].copy_from_slice(bytes);
        }
        self.records.push(record);
        self
    }

    /// Appends bytes to the tail and returns the record field that refers to them: offset and count of items.
    fn append_tail(&mut self, bytes: &[u8], count: usize) -> [u8; 8] {
        let mut field = [0u8; 8];
        field[..4].copy_from_slice(&(self.tail.len() as u32).to_le_bytes());
        field[4..].copy_from_slice(&(count as u32).to_le_bytes());
        self.tail.extend_from_slice(bytes);
        field
    }

    /// Adds the start of an instance.
    fn start(&mut self, node: u16, settings: &str) -> &mut Self {
        let tail_range = self.append_tail(settings.as_bytes(), settings.len());
        self.record(5, node, &[(3, &7u64.to_le_bytes()), (11, &tail_range)])
    }

    /// Adds a numbered list of ready servers (id and machine kind), and the instance's receipt of that list.
    fn list(&mut self, node: u16, number: u16, kind_code: u8, servers: &[(u32, u16)]) -> &mut Self {
        let mut entries = Vec::new();
        for (id, kind) in servers {
            entries.extend_from_slice(&[0; 9]);
            entries.push(1);
            entries.extend_from_slice(&id.to_le_bytes());
            entries.extend_from_slice(&[0; 2]);
            entries.extend_from_slice(&kind.to_le_bytes());
            entries.extend_from_slice(&1f32.to_le_bytes());
        }
        let tail_range = self.append_tail(&entries, servers.len());
        self.record(9, number, &[(3, &tail_range)]);
        self.record(10, node, &[(3, &number.to_le_bytes()), (9, &[kind_code])])
    }

    /// Adds a client's request.
    fn request(&mut self, node: u16, id: u64, key: u64) -> &mut Self {
        let budget = 1_500_000u32.to_le_bytes();
        self.record(4, node, &[(3, &id.to_le_bytes()), (19, &key.to_le_bytes()), (31, &budget)])
    }

    /// Adds the outcome of an attempt.
    fn outcome(&mut self, node: u16, id: u64, attempt: u16, server: u32, code: u16) -> &mut Self {
        let (id, attempt, server) = (id.to_le_bytes(), attempt.to_le_bytes(), server.to_le_bytes());
        self.record(3, node, &[(3, &id), (19, &attempt), (22, &code.to_le_bytes()), (24, &server)])
    }

    /// Returns the whole frame: header, records and tail.
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
    command.spawn().expect("failed to start the adapter")
}

/// Runs the adapter with the given input until it ends.
fn run(input: &[u8]) -> Output {
    let mut child = spawn();
    // The adapter may stop reading at an invalid frame, which breaks the pipe: a write error is accepted.
    let _ = child.stdin.take().expect("stdin is not piped").write_all(input);
    child.wait_with_output().expect("failed to wait for the adapter")
}

fn u32_at(bytes: &[u8], at: usize) -> u32 {
    u32::from_le_bytes(bytes[at..at + 4].try_into().unwrap())
}

/// Splits an output into its replies and returns the action records of each.
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

/// Returns instance, request and server of each send action.
fn sends(records: &[Vec<u8>]) -> Vec<(u16, u64, u32)> {
    let node = |r: &[u8]| u16::from_le_bytes([r[1], r[2]]);
    let id = |r: &[u8]| u64::from_le_bytes(r[3..11].try_into().unwrap());
    let sent = records.iter().filter(|r| r[0] == 1);
    sent.map(|r| (node(r), id(r), u32_at(r, 11))).collect()
}

#[test]
fn an_empty_batch_gets_the_specified_reply() {
    let input = [0x5a, 0x5c, 0x80, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 1, 0, 0, 0];
    let output = run(&input);
    assert!(output.status.success());
    assert_eq!(output.stdout, [0, 0, 0, 0, 0, 0, 0, 0, 1, 0, 0, 0]);
}

#[test]
fn empty_input_ends_successfully_without_output() {
    let output = run(&[]);
    assert!(output.status.success() && output.stdout.is_empty() && output.stderr.is_empty());
}

#[test]
fn each_reply_of_a_miss_and_fetch_is_written_before_the_next_batch() {
    let mut child = spawn();
    let (mut stdin, mut stdout) = (child.stdin.take().unwrap(), child.stdout.take().unwrap());
    let mut exchange = |batch: &Batch, now: u64, number: u32| {
        stdin.write_all(&batch.frame(now, number)).unwrap();
        let mut header = [0u8; 12];
        stdout.read_exact(&mut header).unwrap();
        assert_eq!(u32_at(&header, 8), number);
        let mut body = vec![0u8; u32_at(&header, 4) as usize];
        stdout.read_exact(&mut body).unwrap();
        replies(&[&header[..], &body[..]].concat()).remove(0)
    };
    let mut first = Batch::default();
    first.start(3, SETTINGS).list(3, 0, 1, &[(11, 0), (500, 1)]).request(3, 77, 9);
    let reply = exchange(&first, 1_000_000, 1);
    assert_eq!(sends(&reply), [(3, 77, 11)]);
    assert!(
        reply.iter().any(|r| r[0] == 11 && r[3] == 1),
        "does not subscribe although the server list has to be requested"
    );
    let mut second = Batch::default();
    second.outcome(3, 77, 0, 11, 204);
    assert_eq!(sends(&exchange(&second, 1_010_000, 2)), [(3, 77, 500)]);
    let mut third = Batch::default();
    third.outcome(3, 77, 1, 500, 200);
    assert_eq!(sends(&exchange(&third, 1_020_000, 3)), []);
    drop(stdin);
    assert!(child.wait().unwrap().success());
}

#[test]
fn a_list_number_refers_to_the_latest_list_in_event_order() {
    let mut batch = Batch::default();
    batch.start(0, SETTINGS).start(1, SETTINGS);
    batch.list(0, 4, 1, &[(11, 0)]).list(1, 4, 1, &[(22, 0)]);
    batch.request(0, 1, 9).request(1, 2, 9);
    let output = run(&batch.frame(1_000_000, 1));
    assert_eq!(sends(&replies(&output.stdout)[0]), [(0, 1, 11), (1, 2, 22)]);
}

#[test]
fn an_instance_stopped_and_restarted_in_one_batch_loses_its_state() {
    let mut batch = Batch::default();
    batch.start(0, SETTINGS).list(0, 0, 1, &[(11, 0)]);
    batch.record(7, 0, &[]).start(0, SETTINGS).list(0, 1, 1, &[(12, 0)]).request(0, 1, 9);
    let output = run(&batch.frame(1_000_000, 1));
    assert_eq!(sends(&replies(&output.stdout)[0]), [(0, 1, 12)]);
}

#[test]
fn every_event_type_is_decoded() {
    let mut batch = Batch::default();
    batch.start(0, SETTINGS).list(0, 0, 1, &[(11, 0)]).request(0, 1, 9);
    let payload = batch.append_tail(b"hello", 5);
    batch.record(1, 0, &[(3, &99u64.to_le_bytes())]);
    batch.record(2, 0, &[(3, &5u32.to_le_bytes())]);
    batch.record(6, 0, &[(3, &200u16.to_le_bytes()), (9, &11u32.to_le_bytes()), (13, &[4])]);
    batch.record(8, 0, &[(3, &1u64.to_le_bytes()), (11, &11u32.to_le_bytes())]);
    batch.record(10, 0, &[(9, &[2])]);
    batch.record(11, 0, &[(3, &1u32.to_le_bytes()), (7, &payload)]);
    for (attempt, code) in [200, 502, 429, 408, 521, 520, 444, 409, 204].into_iter().enumerate() {
        batch.outcome(0, 1, attempt as u16, 11, code);
    }
    assert!(run(&batch.frame(1_000_000, 1)).status.success());
}

#[test]
fn malformed_input_ends_with_a_one_line_error_and_no_partial_reply() {
    let frame_with = |add_records: &dyn Fn(&mut Batch)| {
        let mut batch = Batch::default();
        batch.start(0, SETTINGS).list(0, 0, 1, &[(11, 0)]);
        add_records(&mut batch);
        batch.frame(1_000_000, 1)
    };
    let valid_frame = frame_with(&|_| {});
    let mut too_long = valid_frame.clone();
    too_long[8..12].copy_from_slice(&u32::MAX.to_le_bytes());
    let mut too_many_records = valid_frame.clone();
    too_many_records[12..16].copy_from_slice(&u32::MAX.to_le_bytes());
    let mut bad_settings = Batch::default();
    bad_settings.start(0, "{\"classes\": 3}");
    let mut bad_effect = Batch::default();
    bad_effect.start(0, "{\"classes\": [{\"effect\": \"maybe\"}]}");
    let outside_frame = [0xff, 0xff, 0xff, 0xff, 9, 0, 0, 0];
    let cases: Vec<(&str, Vec<u8>)> = vec![
        ("truncated frame", valid_frame[..10].to_vec()),
        ("truncated frame", valid_frame[..60].to_vec()),
        ("truncated frame", too_long),
        ("records exceed", too_many_records),
        (
            "unknown event code 77",
            frame_with(&|batch| {
                batch.record(77, 0, &[]);
            }),
        ),
        (
            "unknown instance 5",
            frame_with(&|batch| {
                batch.request(5, 1, 9);
            }),
        ),
        (
            "unknown instance 5",
            frame_with(&|batch| {
                batch.record(7, 5, &[]);
            }),
        ),
        (
            "unknown outcome 999",
            frame_with(&|batch| {
                batch.outcome(0, 1, 0, 11, 999);
            }),
        ),
        (
            "leave the frame",
            frame_with(&|batch| {
                batch.record(9, 0, &[(3, &outside_frame)]);
            }),
        ),
        (
            "leave the frame",
            frame_with(&|batch| {
                batch.record(11, 0, &[(7, &outside_frame)]);
            }),
        ),
        (
            "out of range",
            frame_with(&|batch| {
                batch.record(9, 16, &[]);
            }),
        ),
        (
            "unknown list 7",
            frame_with(&|batch| {
                batch.record(10, 0, &[(3, &[7, 0])]);
            }),
        ),
        (
            "unknown kind 9",
            frame_with(&|batch| {
                batch.record(10, 0, &[(9, &[9])]);
            }),
        ),
        (
            "class 3",
            frame_with(&|batch| {
                batch.record(4, 0, &[(14, &[3])]);
            }),
        ),
        (
            "tenant 2",
            frame_with(&|batch| {
                batch.record(4, 0, &[(11, &[2])]);
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
        assert!(output.stdout.is_empty(), "{expected}: a partial reply was written");
    }
}

#[test]
fn extreme_but_parsable_settings_are_accepted() {
    let class = r#""effect":"pure","goalTimeUs":750000,"deadlineUs":1500000"#;
    let extreme = [
        r#"{"classes":[{"effect":"pure","goalTimeUs":0,"deadlineUs":0}]}"#.to_string(),
        r#"{"classes":[{"effect":"pure","goalTimeUs":1e300,"deadlineUs":1e300,"gain":1e308}],"periodUs":1e300}"#.into(),
        format!(r#"{{"classes":[{{{class}}}],"balancers":0,"realms":[{{"quotaPerS":-5}}]}}"#),
        format!(r#"{{"classes":[{{{class}}}],"discovery":"ask","guarantees":{{"coldShare":-1,"askWithinUs":0}}}}"#),
        format!(r#"{{"classes":[{{{class}}}],"specifics":{{"mode":"aside","originKind":70000}}}}"#),
        format!(r#"{{"classes":[{{{class},"runsIn":[]}}],"limits":{{"maxAttempts":0}}}}"#),
    ];
    for settings in extreme {
        let mut first = Batch::default();
        first.start(0, &settings).list(0, 0, 1, &[(11, 0), (500, 1)]).request(0, 1, 9);
        let mut input = first.frame(1_000_000, 1);
        input.extend(Batch::default().frame(1_500_000, 2));
        let output = run(&input);
        assert!(output.status.success(), "{settings}: {}", String::from_utf8_lossy(&output.stderr));
        assert_eq!(replies(&output.stdout).len(), 2, "{settings}");
    }
}
