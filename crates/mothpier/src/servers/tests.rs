use std::future::poll_fn;
use std::io::Read;
use std::task::Poll;

use bytes::Bytes;
use mothpier_net::{Listener, Net, Stream, Tokio};

use super::pipeline::{Pipeline, SharedState};
use super::pool::RECENTLY_ANSWERED;
use super::*;
use crate::cancellation::{CancelGuard, CancelToken, ConnectionProbe};
use crate::memory::MAX_UNRESERVED;
use crate::messages;
use crate::request_ids::RequestIds;
use crate::resp;
use crate::time_budget::TimeBudget;

mod wrong_lengths;

/// An event that is already in the queue when its server is removed from the list still ends its attempt.
#[test]
fn an_event_that_arrives_after_its_server_was_removed_still_ends_the_attempt() {
    use tokio::io::{AsyncReadExt, AsyncWriteExt};
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    tokio::task::LocalSet::new().block_on(&runtime, async {
        for answers in [true, false] {
            let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
            let (events, mut inputs) = mpsc::channel(8);
            let mut servers = Servers::new(Tokio, limits(1), events);
            servers.apply_entry(1, listener.local_addr().ok(), true);
            assert!(servers.send(1, get(7)));
            let (mut stream, _) = listener.accept().await.unwrap();
            let Some(NodeInput::Server { connection, event, .. }) = inputs.recv().await else { panic!() };
            servers.event(1, connection, event);
            let mut read = [0; 64];
            assert!(stream.read(&mut read).await.unwrap() > 0);
            if answers {
                stream.write_all(b"*3\r\n$1\r\nv\r\n$3\r\nhit\r\n$-1\r\n").await.unwrap();
            } else {
                drop(stream);
            }
            let Some(NodeInput::Server { server, connection, event }) = inputs.recv().await else { panic!() };
            servers.apply_entry(1, None, false);
            assert_eq!(servers.len(), 0, "the server was not removed");
            let ended = servers.event(server, connection, event);
            match &ended[..] {
                [(7, Ended::Answered(_))] if answers => {}
                [(7, Ended::Reset)] if !answers => {}
                _ => panic!("{} attempts ended", ended.len()),
            }
        }
    });
}

/// Lets all other tasks run and the runtime poll the sockets, so that data written on loopback has arrived.
async fn let_others_run() {
    for _ in 0..1000 {
        tokio::task::yield_now().await;
    }
}

fn run_local<T>(test: impl Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    tokio::task::LocalSet::new().block_on(&runtime, test)
}

fn get(attempt: AttemptId) -> Command {
    request(attempt, None)
}

/// A client's command whose last argument is `k` if it has no value.
fn request(attempt: AttemptId, value: Option<Bytes>) -> Command {
    cancellable_request(attempt, value, CancelToken::default())
}

fn cancellable_request(attempt: AttemptId, value: Option<Bytes>, cancel: CancelToken) -> Command {
    let id = Bytes::from_static(b"i");
    let claim = RequestIds::default().claim(&id, brassrouter::Effect::Safe, Instant::now()).unwrap();
    let write = value.is_some();
    let command = messages::Command {
        name: "GET".into(),
        key: "k".into(),
        id,
        extras: "k".into(),
        value,
        write,
        cancel,
        claim,
    };
    let deadline = Instant::now() + Duration::from_secs(60);
    let payload = Payload::Request(TimeBudget { command: Rc::new(command), deadline });
    Command { attempt, payload, asking: false }
}

/// A cache server that has received commands over one connection, and its end of the connection.
async fn commands_in_flight(
    limits: Limits,
    commands: impl IntoIterator<Item = Command>,
) -> (Servers<Tokio>, mpsc::Receiver<NodeInput>, tokio::net::TcpStream) {
    use tokio::io::AsyncReadExt;
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let (events, mut inputs) = mpsc::channel(8);
    let multiplex = limits.multiplex;
    let mut commands = commands.into_iter();
    let mut servers = Servers::new(Tokio, limits, events);
    servers.apply_entry(1, listener.local_addr().ok(), true);
    assert!(servers.send(1, commands.next().unwrap()));
    let (mut stream, _) = listener.accept().await.unwrap();
    let Some(NodeInput::Server { server, connection, event }) = inputs.recv().await else { panic!() };
    assert!(servers.event(server, connection, event).is_empty());
    for command in commands {
        assert!(servers.pools.get_mut(&1).unwrap().append(command, multiplex, Instant::now()));
    }
    let_others_run().await;
    assert!(stream.read(&mut [0; 256]).await.unwrap() > 0);
    (servers, inputs, stream)
}

/// A server with one connection that carries an attempt, and an event queue whose only place is taken.
async fn answer_before_full_queue(
    ends: bool,
) -> (Servers<Tokio>, mpsc::Receiver<NodeInput>, tokio::net::TcpStream) {
    use tokio::io::{AsyncReadExt, AsyncWriteExt};
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let (events, mut inputs) = mpsc::channel(1);
    let mut servers = Servers::new(Tokio, limits(1), events.clone());
    servers.apply_entry(1, listener.local_addr().ok(), true);
    assert!(servers.send(1, get(7)));
    let (mut stream, _) = listener.accept().await.unwrap();
    let Some(NodeInput::Server { connection, event, .. }) = inputs.recv().await else { panic!() };
    servers.event(1, connection, event);
    assert!(stream.read(&mut [0; 64]).await.unwrap() > 0);
    let (resource_counts, _) = tokio::sync::oneshot::channel();
    assert!(events.try_send(NodeInput::ResourceCounts(resource_counts)).is_ok());
    if ends {
        stream.shutdown().await.unwrap();
    } else {
        stream.write_all(b"*3\r\n$1\r\nv\r\n$3\r\nhit\r\n$-1\r\n").await.unwrap();
    }
    let_others_run().await;
    (servers, inputs, stream)
}

/// The answer, or the end of the connection, has been read, and its event waits for a place in the queue.
/// Meanwhile the node must not conclude from the connection's record, or from a missing one, that the attempt
/// never ran.
#[test]
fn an_attempt_whose_final_event_waits_for_the_queue_may_have_run() {
    for ends in [false, true] {
        run_local(async {
            let (mut servers, _inputs, _stream) = answer_before_full_queue(ends).await;
            assert!(servers.give_up(1, 7), "counted as never sent, ends: {ends}");
            assert!(servers.give_up(1, 7), "a missing record counted as never sent, ends: {ends}");
            assert!(servers.give_up(9, 7), "an unknown server counted as never sent");
        });
    }
}

/// A connection whose final event still waits for the queue must not be dropped by a drain, by closing idle
/// connections or by removing unused servers.
#[test]
fn the_final_event_of_a_connection_survives_a_drain_and_the_closing_of_idle_connections() {
    for ends in [false, true] {
        for drains in [false, true] {
            run_local(async {
                let (mut servers, mut inputs, _stream) = answer_before_full_queue(ends).await;
                servers.close_idle(1);
                if drains {
                    servers.apply_entry(1, None, false);
                }
                let_others_run().await;
                assert!(matches!(inputs.recv().await, Some(NodeInput::ResourceCounts(_))));
                let_others_run().await;
                let Ok(NodeInput::Server { server, connection, event }) = inputs.try_recv() else {
                    panic!("the final event was lost, ends: {ends}, drains: {drains}")
                };
                match &servers.event(server, connection, event)[..] {
                    [(7, Ended::Answered(_))] if !ends => {}
                    [(7, Ended::Reset)] if ends => {}
                    other => panic!("{} attempts ended", other.len()),
                }
            });
        }
    }
}

/// An answer is truncated right behind its value, and the next command's answer follows. The latter must not
/// be taken for the rest of the first one, or the command behind it would receive another command's value.
#[test]
fn a_truncated_answer_does_not_consume_the_next_one() {
    use tokio::io::{AsyncReadExt, AsyncWriteExt};
    let complete_answer = "*3\r\n$1\r\nb\r\n$3\r\nhit\r\n$-1\r\n";
    let cuts = ["*3\r\n$1\r\na\r\n", "*3\r\n$1\r\na\r\n+OK\r\n", "*3\r\n$1\r\na\r\n$3\r\nhit\r\n"];
    // The next answer may be a value, an error or a refusal.
    let nexts = [complete_answer, "-ERR failed\r\n", "-BUSY\r\n"];
    for (short, next) in cuts.iter().flat_map(|cut| nexts.map(|next| (cut, next))) {
        run_local(async {
            let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
            let (events, mut inputs) = mpsc::channel(8);
            let mut servers = Servers::new(Tokio, limits(32), events);
            servers.apply_entry(1, listener.local_addr().ok(), true);
            assert!(servers.send(1, get(7)));
            let (mut stream, _) = listener.accept().await.unwrap();
            let Some(NodeInput::Server { connection, event, .. }) = inputs.recv().await else { panic!() };
            servers.event(1, connection, event);
            // Queued behind the first one on its connection, as if no other connection were available.
            let pool = servers.pools.get_mut(&1).unwrap();
            assert!(pool.append(get(8), 32, Instant::now()) && pool.append(get(9), 32, Instant::now()));
            let_others_run().await;
            assert!(stream.read(&mut [0; 256]).await.unwrap() > 0);
            stream.write_all(format!("{short}{next}{next}").as_bytes()).await.unwrap();
            let mut answered = Vec::new();
            for _ in 0..2 {
                let Some(NodeInput::Server { event, .. }) = inputs.recv().await else { panic!() };
                let down = matches!(event, Event::Down { .. });
                for (attempt, ended) in servers.event(1, connection, event) {
                    answered.extend(matches!(ended, Ended::Answered(_)).then_some(attempt));
                }
                if down {
                    break;
                }
            }
            assert!(answered.is_empty(), "{answered:?} answered from {short:?} and {next:?}");
        });
    }
}

/// One of hundreds of nodes, where a connection carries one attempt at a time: concurrent requests to one
/// server need a connection each. Limited to one connection, the node would fail the second attempt itself.
#[test]
fn one_of_many_nodes_opens_a_connection_for_each_attempt() {
    run_local(async {
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
        let (events, _inputs) = mpsc::channel(8);
        let mut servers =
            Servers::new(Tokio, Limits { balancers: 300, max_connections: 64, ..limits(1) }, events);
        servers.apply_entry(1, listener.local_addr().ok(), true);
        assert!((1..=3).all(|attempt| servers.send(1, get(attempt))), "an attempt got no connection");
    });
}

/// Of two connections, the one that was answered a moment ago is not written to: a duplicate answer may
/// follow.
#[test]
fn a_connection_answered_a_moment_ago_is_not_used_while_another_one_is_free() {
    run_local(async {
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
        let (events, mut inputs) = mpsc::channel(8);
        let mut servers = Servers::new(Tokio, limits(1), events);
        servers.apply_entry(1, listener.local_addr().ok(), true);
        assert!(servers.send(1, get(7)) && servers.send(1, get(8)));
        for _ in 0..2 {
            let Some(NodeInput::Server { connection, event, .. }) = inputs.recv().await else { panic!() };
            servers.event(1, connection, event);
        }
        let pool = servers.pools.get_mut(&1).unwrap();
        let (recent, older) = (pool.connections[0].number, pool.connections[1].number);
        for c in &mut pool.connections {
            *c.shared.pipeline.borrow_mut() = Pipeline { up: true, ..Pipeline::default() };
        }
        pool.connections[1].last_used -= RECENTLY_ANSWERED;
        servers.event(1, recent, Event::Answer(7, BytesFrame::Null));
        assert!(servers.send(1, get(9)));
        let carries = |number| {
            servers.pools[&1].connections.iter().any(|c| c.number == number && c.command_count() > 0)
        };
        assert!(carries(older) && !carries(recent));
    });
}

/// A socket that accepts not one byte more: the next command counts as unsent, so that a drain withdraws it
/// with those behind it, and no byte of it arrives once the server reads again.
#[test]
fn a_command_of_which_a_full_socket_accepted_no_byte_can_be_withdrawn() {
    use tokio::io::AsyncReadExt;
    run_local(async {
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
        let mut socket = tokio::net::TcpStream::connect(listener.local_addr().unwrap()).await.unwrap();
        let (mut server, _) = listener.accept().await.unwrap();
        // Filled to the last byte: the free space grows while the kernel processes what was written.
        let (mut filled, mut blocked_writes) = (0, 0);
        while blocked_writes < 20 {
            match socket.try_write(if blocked_writes == 0 { &[b'.'; 4096] } else { b"." }) {
                Ok(n) => (filled, blocked_writes) = (filled + n, 0),
                Err(_) => blocked_writes += 1,
            }
            tokio::task::yield_now().await;
        }
        let shared = SharedState::default();
        shared.pipeline.borrow_mut().unsent.push_back(get(7));
        let begun = poll_fn(|cx| Poll::Ready(shared.begin_write(cx, &mut socket, Instant::now()))).await;
        assert!(begun.is_pending(), "the socket is not full");
        let pipeline = shared.pipeline.take();
        assert!(
            pipeline.writing.is_none() && pipeline.sent.is_empty(),
            "marked as being written, though no byte was sent"
        );
        assert_eq!(pipeline.unsent.len(), 1);
        // Withdrawn. The server reads everything, so the socket has more free space than the command needs.
        let mut all = vec![0; filled];
        server.read_exact(&mut all).await.unwrap();
        let begun = poll_fn(|cx| shared.begin_write(cx, &mut socket, Instant::now())).await;
        assert!(begun.is_none());
        drop(socket);
        assert_eq!(server.read(&mut [0]).await.unwrap(), 0, "bytes of the withdrawn command arrived");
    });
}

/// More bytes than the buffers of both sockets hold.
const LARGE: usize = 16 << 20;

/// A server that does not read, with a large command being written to it as attempt 7.
async fn large_command_in_flight(
    multiplex: usize,
) -> (Servers<Tokio>, tokio::net::TcpStream, mpsc::Receiver<NodeInput>) {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let (events, mut inputs) = mpsc::channel(8);
    let mut servers = Servers::new(Tokio, limits(multiplex), events);
    servers.apply_entry(1, listener.local_addr().ok(), true);
    assert!(servers.send(1, request(7, Some(vec![b'v'; LARGE].into()))));
    let (stream, _) = listener.accept().await.unwrap();
    let Some(NodeInput::Server { connection, event, .. }) = inputs.recv().await else { panic!() };
    servers.event(1, connection, event);
    (servers, stream, inputs)
}

/// A server that does not read. A command that was given up while partly written must not arrive completely
/// along with the next attempt; without its last byte, it has not run.
#[test]
fn a_command_given_up_while_partly_written_never_arrives_completely() {
    use tokio::io::AsyncReadExt;
    for give_up in [true, false] {
        run_local(async {
            let (mut servers, mut stream, _inputs) = large_command_in_flight(1).await;
            let_others_run().await;
            if give_up {
                assert!(!servers.give_up(1, 7), "a partly written command counted as run");
            } else {
                assert!(servers.withdraw(1, 7), "a partly written command could not be withdrawn");
            }
            let mut received = Vec::new();
            let end = tokio::time::timeout(Duration::from_secs(20), stream.read_to_end(&mut received)).await;
            assert!(end.is_ok(), "the connection stayed open");
            assert!(received.len() < LARGE, "the command arrived completely");
        });
    }
}

/// A server that does not read, and commands behind one that is partly written. The partly written one is
/// given up first, the others after it. When the last of them is given up, the connection must close, or the
/// partly written command would arrive completely once the server reads.
#[test]
fn a_connection_closes_with_the_last_attempt_behind_a_partly_written_command() {
    use tokio::io::AsyncReadExt;
    for give_up in [true, false] {
        run_local(async {
            let (mut servers, mut stream, _inputs) = large_command_in_flight(32).await;
            let pool = servers.pools.get_mut(&1).unwrap();
            assert!(pool.append(get(8), 32, Instant::now()));
            let_others_run().await;
            assert!(servers.pools[&1].connections[0].shared.pipeline.borrow().writing.is_some());
            if give_up {
                assert!(
                    servers.give_up(1, 7),
                    "counted as not run, though it may still be written completely"
                );
                assert!(!servers.give_up(1, 8), "an unsent attempt counted as run");
            } else {
                assert!(!servers.withdraw(1, 7), "withdrawn, though another attempt waits behind it");
                assert!(servers.withdraw(1, 8), "an unsent attempt could not be withdrawn");
            }
            let mut received = Vec::new();
            let end = tokio::time::timeout(Duration::from_secs(20), stream.read_to_end(&mut received)).await;
            assert!(end.is_ok(), "the connection stayed open, give_up: {give_up}");
            assert!(received.len() < LARGE, "the command arrived completely, give_up: {give_up}");
        });
    }
}

fn limits(multiplex: usize) -> Limits {
    Limits {
        balancers: 1,
        multiplex,
        idle_close: Duration::from_secs(60),
        connect_timeout: Duration::from_secs(30),
        max_connections: 8,
        read_copies: false,
        tier: false,
        metrics: Rc::new(Metrics::new(&[]).unwrap()),
        share: Rc::default(),
        memory: NodeMemory::new(64 << 20, &Rc::default()),
    }
}

/// A server whose number changes keeps its connection and the attempts on it.
#[test]
fn a_renumbered_server_keeps_its_connection_and_its_attempts() {
    use tokio::io::{AsyncReadExt, AsyncWriteExt};
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    tokio::task::LocalSet::new().block_on(&runtime, async {
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let (events, mut inputs) = mpsc::channel(8);
        let mut servers = Servers::new(Tokio, limits(1), events);
        servers.apply_entry(1, Some(address), true);
        assert!(servers.send(1, get(7)));
        let (mut stream, _) = listener.accept().await.unwrap();
        // The event that the connection is established is in the queue under the old number.
        let Some(NodeInput::Server { server, connection, event }) = inputs.recv().await else { panic!() };
        assert_eq!(server, 1);
        servers.renumber(1, 2);
        servers.apply_entry(2, Some(address), true);
        assert!(servers.apply_entry(1, Some(address), false).is_empty());
        assert!(servers.event(server, connection, event).is_empty());
        let mut read = [0; 64];
        let length = stream.read(&mut read).await.unwrap();
        assert!(read[..length].ends_with(b"k\r\n"));
        stream.write_all(b"*3\r\n$1\r\nv\r\n$3\r\nhit\r\n$-1\r\n").await.unwrap();
        let Some(NodeInput::Server { server, connection, event }) = inputs.recv().await else { panic!() };
        assert_eq!(server, 2);
        let ended = servers.event(server, connection, event);
        assert!(matches!(&ended[..], [(7, Ended::Answered(_))]));
        // An attempt that refers to the old number can be given up; it is written on the same connection.
        assert!(servers.send(2, get(8)));
        assert!(stream.read(&mut read).await.unwrap() > 0);
        assert!(servers.give_up(1, 8), "a sent attempt counted as not run");
        assert_eq!(servers.address(1), Some(address));
    });
}

/// A command that still waits for its connection when its server starts to drain is never written.
#[test]
fn a_command_waiting_for_a_connection_is_not_sent_after_a_drain_notice() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    tokio::task::LocalSet::new().block_on(&runtime, async {
        let (events, mut inputs) = mpsc::channel(8);
        let mut servers = Servers::new(Tokio, limits(32), events);
        let ping = |attempt| Command {
            attempt,
            payload: Payload::Probe(resp::command(["PING".into()])),
            asking: false,
        };
        assert!(servers.apply_entry(7, Some(address), true).is_empty());
        assert!(servers.send(7, ping(1)));
        assert!(matches!(inputs.recv().await, Some(NodeInput::Server { event: Event::Up, .. })));
        // Established, but the event is still in the queue: the attempt still waits.
        assert_eq!(servers.apply_entry(7, Some(address), false), [1]);
        assert!(!servers.send(7, ping(2)), "sent to a draining server");
        assert!(servers.event(7, 1, Event::Up).is_empty());
    });
    let mut written = Vec::new();
    listener.accept().unwrap().0.read_to_end(&mut written).unwrap();
    assert_eq!(written, b"");
}

/// Both forms of an answer with a long value: its end is told only where it was seen. What stands behind the status
/// says nothing about the value: a client would lose a value that is whole for a load report that is cut.
#[test]
fn a_streamed_value_is_complete_only_if_its_answer_ends_where_its_length_says() {
    use tokio::io::{AsyncReadExt, AsyncWriteExt};
    const LENGTH: usize = 100_000;
    const STATUS: &str = "\r\n$3\r\nhit\r\n";
    let with_report = format!("{STATUS}$-1\r\n");
    let cut_report = format!("{STATUS}$17\r\nlat_ms=5,");
    let surplus = "v".repeat(2000);
    for (tier, behind, complete) in [
        (false, with_report.as_str(), true),
        (false, &cut_report, true),
        (false, &format!("v{with_report}"), false),
        (false, "\r\n*3\r\n$1\r\nv\r\n$3\r\nhit\r\n$-1\r\n", false),
        (false, "\r\n$3\r\nhi", false),
        (true, "\r\n", true),
        (true, "v\r\n", false),
        (true, &format!("{surplus}\r\n"), false),
    ] {
        run_local(async {
            let (_servers, mut inputs, mut stream) =
                commands_in_flight(Limits { tier, ..limits(1) }, [get(7)]).await;
            let head = if tier { "" } else { "*3\r\n" };
            let answer = format!("{head}${LENGTH}\r\n{}{behind}", "v".repeat(LENGTH));
            tokio::task::spawn_local(async move {
                let _ = stream.write_all(answer.as_bytes()).await;
                let _ = stream.shutdown().await;
                let _ = stream.read(&mut [0; 1]).await;
            });
            let Some(NodeInput::Server { event: Event::AnswerStarted(7, mut value), .. }) =
                inputs.recv().await
            else {
                panic!("no value, tier: {tier}")
            };
            let mut received = 0;
            while let Some(part) = value.next_part().await {
                received += part.len();
            }
            assert_eq!((received, value.is_complete()), (LENGTH, complete), "tier: {tier}, {behind:.40}");
        });
    }
}

/// A connection is free for other commands once the answer with a long value is whole, not once its client has the
/// value: what is put behind a load report that does not come has to wait for it, and ends with the connection.
#[test]
fn no_command_is_put_behind_a_load_report_that_is_waited_for() {
    use tokio::io::{AsyncReadExt, AsyncWriteExt};
    const LENGTH: usize = 100_000;
    run_local(async {
        // With so many balancers, each of them has one connection to a server that carries commands.
        let limits = Limits { balancers: TIER_CONNECTIONS_PER_SERVER, ..limits(32) };
        let (mut servers, mut inputs, mut stream) = commands_in_flight(limits, [get(7)]).await;
        tokio::task::spawn_local(async move {
            let value = "v".repeat(LENGTH);
            let answer = format!("*3\r\n${LENGTH}\r\n{value}\r\n$3\r\nhit\r\n$17\r\nlat_ms=5,");
            stream.write_all(answer.as_bytes()).await.unwrap();
            let _ = stream.read(&mut [0; 1]).await;
        });
        let Some(NodeInput::Server { event: Event::AnswerStarted(7, mut value), .. }) = inputs.recv().await
        else {
            panic!("no value")
        };
        while value.next_part().await.is_some() {}
        assert!(value.is_complete());
        assert!(servers.send(1, get(8)));
        assert_eq!(servers.pools[&1].connections.len(), 2, "put behind the load report");
    });
}

/// Without free memory an answer that would be buffered is streamed through the smallest window, and is whole.
#[test]
fn an_answer_without_memory_for_it_is_streamed() {
    use tokio::io::{AsyncReadExt, AsyncWriteExt};
    const LENGTH: usize = 60_000;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    tokio::task::LocalSet::new().block_on(&runtime, async {
        for (limit, streamed) in [(0, true), (1 << 20, false)] {
            let memory = NodeMemory::new(limit, &Rc::default());
            let (_servers, mut inputs, mut stream) =
                commands_in_flight(Limits { memory: memory.clone(), ..limits(1) }, [get(7)]).await;
            tokio::task::spawn_local(async move {
                let value = "v".repeat(LENGTH);
                let answer = format!("*3\r\n${LENGTH}\r\n{value}\r\n$3\r\nhit\r\n$-1\r\n");
                stream.write_all(answer.as_bytes()).await.unwrap();
                let _ = stream.read(&mut [0; 1]).await;
            });
            match inputs.recv().await {
                Some(NodeInput::Server { event: Event::AnswerStarted(7, mut value), .. }) if streamed => {
                    let (mut received, mut longest) = (0, 0);
                    while let Some(part) = value.next_part().await {
                        received += part.len();
                        longest = longest.max(part.len());
                    }
                    assert!(
                        received == LENGTH && longest <= 4096 && value.is_complete(),
                        "{received} {longest}"
                    );
                }
                Some(NodeInput::Server { event: Event::Answer(7, frame), .. }) if !streamed => {
                    assert!(memory.reserved_for_values() >= LENGTH - MAX_UNRESERVED);
                    drop(frame);
                    assert_eq!(memory.reserved_for_values(), 0);
                }
                _ => panic!("limit {limit}"),
            }
        }
    });
}

/// The guard of a request whose client is connected for as long as the returned stream.
async fn waiting_client() -> (CancelGuard, tokio::net::TcpStream) {
    let listener = Tokio.listen(SocketAddr::from(([127, 0, 0, 1], 0))).await.unwrap();
    let client = tokio::net::TcpStream::connect(listener.local_addr().unwrap()).await.unwrap();
    let (accepted, _) = listener.accept().await.unwrap();
    let (read_half, _write_half) = accepted.split();
    (CancelGuard::new(Rc::new(ConnectionProbe::new(Rc::new(read_half)))), client)
}

/// A client that takes nothing of a long answer must not hold up, until a deadline, the client that can only be sent
/// the answer behind it. Without memory for the long answer it is given up, unless its writing has begun.
#[test]
fn an_answer_that_its_client_does_not_take_is_given_up_for_the_one_behind_it() {
    use tokio::io::{AsyncReadExt, AsyncWriteExt};
    const LENGTH: usize = 200_000;
    for begun in [false, true] {
        run_local(async {
            let (guard, _client) = waiting_client().await;
            let limits = Limits { memory: NodeMemory::new(0, &Rc::default()), ..limits(32) };
            let commands = [get(7), cancellable_request(8, None, guard.token())];
            let (_servers, mut inputs, mut stream) = commands_in_flight(limits, commands).await;
            tokio::task::spawn_local(async move {
                let value = "v".repeat(LENGTH);
                let answers = format!(
                    "*3\r\n${LENGTH}\r\n{value}\r\n$3\r\nhit\r\n$-1\r\n*3\r\n$1\r\nw\r\n$3\r\nhit\r\n$-1\r\n"
                );
                stream.write_all(answers.as_bytes()).await.unwrap();
                let _ = stream.read(&mut [0; 1]).await;
            });
            let Some(NodeInput::Server { event: Event::AnswerStarted(7, mut value), .. }) =
                inputs.recv().await
            else {
                panic!("no value, begun: {begun}")
            };
            if begun {
                assert!(value.begin());
            }
            guard.set_next();
            if begun {
                let mut received = 0;
                while let Some(part) = value.next_part().await {
                    received += part.len();
                    // Long enough for the sender to look for other clients that wait.
                    tokio::time::sleep(Duration::from_millis(1)).await;
                }
                assert!(received == LENGTH && value.is_complete());
            }
            let answer_behind = async {
                while !matches!(
                    inputs.recv().await,
                    Some(NodeInput::Server { event: Event::Answer(8, _), .. })
                ) {}
            };
            let waited = tokio::time::timeout(Duration::from_secs(20), answer_behind).await;
            assert!(waited.is_ok(), "the answer behind waits, begun: {begun}");
            assert_eq!(value.begin(), begun);
        });
    }
}

/// A socket that takes a few bytes at a time, behind each of which the process gets no CPU time for a while.
struct SuspendingSocket {
    /// When the last bytes were taken, and those before them.
    last_taken: Instant,
    taken_before: Instant,
}

impl tokio::io::AsyncWrite for SuspendingSocket {
    fn poll_write(
        mut self: std::pin::Pin<&mut Self>,
        _: &mut std::task::Context<'_>,
        bytes: &[u8],
    ) -> Poll<std::io::Result<usize>> {
        self.taken_before = std::mem::replace(&mut self.last_taken, Instant::now());
        std::thread::sleep(Duration::from_millis(5));
        Poll::Ready(Ok(bytes.len().min(16)))
    }

    fn poll_flush(
        self: std::pin::Pin<&mut Self>,
        _: &mut std::task::Context<'_>,
    ) -> Poll<std::io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(
        self: std::pin::Pin<&mut Self>,
        _: &mut std::task::Context<'_>,
    ) -> Poll<std::io::Result<()>> {
        Poll::Ready(Ok(()))
    }
}

/// The time of an answer begins before its command is written: if the process was suspended after the write, the
/// answer would seem to have come too soon for the server, and its connection would be closed.
#[test]
fn a_command_counts_as_written_before_the_server_can_have_it() {
    run_local(async {
        let shared = SharedState::default();
        shared.pipeline.borrow_mut().unsent.push_back(get(7));
        let now = Instant::now();
        let mut socket = SuspendingSocket { last_taken: now, taken_before: now };
        let begun = poll_fn(|cx| shared.begin_write(cx, &mut socket, Instant::now())).await;
        let mut begun = begun.unwrap().unwrap();
        assert!(begun.written <= socket.last_taken);
        begun.write_rest(&mut socket, Instant::now).await.unwrap();
        assert!(begun.written <= socket.last_taken, "counted as written after the server has it");
        assert!(begun.written > socket.taken_before, "counted as written before its last bytes are");
    });
}
