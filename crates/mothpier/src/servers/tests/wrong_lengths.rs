//! Answers whose value is sent under a length that is too long: what stands behind it is read into the value.

use super::*;

/// A value that is streamed to its client, and one that is buffered, in bytes.
const VALUE_LENGTHS: [usize; 2] = [70_000, 30_000];
const REPORT: &str = "$19\r\nlat_ms=12,busy=0.20\r\n";
const NULL: &str = "$-1\r\n";

/// What a client would be given for the value.
#[derive(Debug, PartialEq, Eq)]
enum Delivered {
    Whole,
    /// An error, or a value that the client sees cut off.
    NotWhole,
}

/// What stands behind the answer, and the command that it answers.
struct NextAnswer<'a> {
    bytes: &'a str,
    command: Option<fn(AttemptId) -> Command>,
}

fn probe(attempt: AttemptId) -> Command {
    Command { attempt, payload: Payload::Probe(resp::command(["INFO".into(), "load".into()])), asking: false }
}

/// Sends a value under a length that is `excess` bytes too long, with `behind` behind it.
async fn deliver(commands: Vec<Command>, length: usize, excess: usize, behind: &str) -> Delivered {
    use tokio::io::{AsyncReadExt, AsyncWriteExt};
    let (mut servers, mut inputs, mut stream) = commands_in_flight(limits(32), commands).await;
    let answer = format!("*3\r\n${}\r\n{}{behind}", length + excess, "v".repeat(length));
    tokio::task::spawn_local(async move {
        let _ = stream.write_all(answer.as_bytes()).await;
        let _ = stream.shutdown().await;
        let _ = stream.read(&mut [0; 1]).await;
    });
    while let Some(NodeInput::Server { server, connection, event }) = inputs.recv().await {
        if let Event::AnswerStarted(7, mut value) = event {
            while value.next_part().await.is_some() {}
            return if value.is_complete() { Delivered::Whole } else { Delivered::NotWhole };
        }
        for (attempt, ended) in servers.event(server, connection, event) {
            match ended {
                Ended::Answered(_) if attempt == 7 => return Delivered::Whole,
                _ if attempt == 7 => return Delivered::NotWhole,
                _ => {}
            }
        }
    }
    panic!("the attempt has no end, {length} bytes and {excess} more")
}

/// Values under a length 9 bytes too long were served as whole, with framing behind them: the load report was taken
/// for the status. Each length that ends within the rest of the answer, before each answer that may come next.
#[test]
fn a_value_under_too_long_a_length_is_never_delivered_as_whole() {
    let statuses = ["$3\r\nhit\r\n", "$4\r\nmiss\r\n", "$7\r\npending\r\n", "+hit\r\n", NULL];
    let hit = format!("*3\r\n$1\r\nw\r\n$3\r\nhit\r\n{REPORT}");
    let miss = format!("*3\r\n$-1\r\n$4\r\nmiss\r\n{REPORT}");
    let nexts = [
        NextAnswer { bytes: "", command: None },
        NextAnswer { bytes: &hit, command: Some(get) },
        NextAnswer { bytes: &miss, command: Some(get) },
        NextAnswer { bytes: "-BUSY\r\n", command: Some(get) },
        NextAnswer { bytes: REPORT, command: Some(probe) },
        NextAnswer { bytes: "-NOPERM\r\n", command: Some(probe) },
    ];
    let null_and_report = format!("\r\n{NULL}{REPORT}");
    let mut delivered = Vec::new();
    for length in VALUE_LENGTHS {
        for (status, report) in statuses.iter().flat_map(|s| [REPORT, NULL].map(|r| (s, r))) {
            for NextAnswer { bytes: next, command } in &nexts {
                let rest = format!("\r\n{status}{report}");
                let behind = format!("{rest}{next}{next}");
                for excess in 1..=(rest.len() + "*3".len()).min(behind.len()) {
                    // A null and the answer to a probe have the form of the rest of an answer.
                    if behind[excess..].starts_with(&null_and_report) {
                        continue;
                    }
                    let mut commands = vec![get(7)];
                    commands.extend(command.map(|command| command(8)));
                    if run_local(deliver(commands, length, excess, &behind)) == Delivered::Whole {
                        delivered.push((length, excess, behind.clone()));
                    }
                }
            }
        }
    }
    assert!(delivered.is_empty(), "{} as whole, the first {:?}", delivered.len(), delivered.first());
}

/// Each form of a sound answer, with commands behind it or none: the check of its parts must refuse none of them.
#[test]
fn a_value_under_its_length_is_delivered_as_whole_with_each_status_and_report() {
    let statuses = ["$3\r\nhit\r\n", "$4\r\nmiss\r\n", "$7\r\npending\r\n", "+hit\r\n", NULL];
    let reports = [REPORT, NULL, ":7\r\n", "$0\r\n\r\n", "$5\r\nnoise\r\n", "+noise\r\n", "$4\r\nmild\r\n"];
    for length in VALUE_LENGTHS {
        for (status, report) in statuses.iter().flat_map(|s| reports.map(|r| (s, r))) {
            for commands in [vec![get(7)], vec![get(7), get(8)], vec![get(7), probe(8)]] {
                let behind = format!("\r\n{status}{report}");
                let delivered = run_local(deliver(commands, length, 0, &behind));
                assert_eq!(delivered, Delivered::Whole, "{length}, {behind:?}");
            }
        }
    }
}

/// A load report that is cut says nothing about the value before it, as soon as it is seen to be a load report.
#[test]
fn a_long_value_under_a_null_status_is_whole_though_its_report_is_cut() {
    for cut in ["$1", "$19\r\nlat", "$-", "$-1\r"] {
        let behind = format!("\r\n{NULL}{cut}");
        assert_eq!(
            run_local(deliver(vec![get(7)], VALUE_LENGTHS[0], 0, &behind)),
            Delivered::Whole,
            "{cut:?}"
        );
    }
}
