use std::future::poll_fn;
use std::io::Read;
use std::task::Poll;

use bytes::Bytes;
use mothpier_net::Tokio;

use super::line::{Line, Shared};
use super::pool::SETTLED;
use super::*;
use crate::messages::{self, OpenRequestIds, RequestIdClaim};
use crate::resp;
use crate::time_budget::TimeBudget;

/// A rule of drains: what still waits for its connection when the notice comes is never written.
/// A server leaves the list while its answer is on its way from the connection to the node: the answer counts.
#[test]
fn the_last_word_of_a_server_that_is_forgotten_still_ends_its_attempt() {
    use tokio::io::{AsyncReadExt, AsyncWriteExt};
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    tokio::task::LocalSet::new().block_on(&runtime, async {
        for answers in [true, false] {
            let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
            let (events, mut inputs) = mpsc::channel(8);
            let mut servers = Servers::new(Tokio, limits(1), events);
            servers.listed(1, listener.local_addr().ok(), true);
            assert!(servers.send(1, get(7)));
            let (mut stream, _) = listener.accept().await.unwrap();
            let Some(NodeInput::Server { number, event, .. }) = inputs.recv().await else { panic!() };
            servers.event(1, number, event);
            let mut read = [0; 64];
            assert!(stream.read(&mut read).await.unwrap() > 0);
            if answers {
                stream.write_all(b"*3\r\n$1\r\nv\r\n$3\r\nhit\r\n$-1\r\n").await.unwrap();
            } else {
                drop(stream);
            }
            let Some(NodeInput::Server { server, number, event }) = inputs.recv().await else { panic!() };
            servers.listed(1, None, false);
            assert_eq!(servers.len(), 0, "it owes nothing any more");
            let ended = servers.event(server, number, event);
            match &ended[..] {
                [(7, Ended::Answered(_))] if answers => {}
                [(7, Ended::Reset)] if !answers => {}
                _ => panic!("{} ends", ended.len()),
            }
        }
    });
}

/// Lets everything else on the runtime run, and it look at the sockets: what has been written on loopback has come.
async fn settle() {
    for _ in 0..1000 {
        tokio::task::yield_now().await;
    }
}

fn local<T>(test: impl Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    tokio::task::LocalSet::new().block_on(&runtime, test)
}

fn get(attempt: AttemptId) -> Command {
    request(attempt, None)
}

/// A client's command whose last word, where it has no value, is `k`.
fn request(attempt: AttemptId, value: Option<Bytes>) -> Command {
    let id = Bytes::from_static(b"i");
    let claim = RequestIdClaim::of(&OpenRequestIds::default(), &id).unwrap();
    let write = value.is_some();
    let command = messages::Command {
        name: "GET".into(),
        key: "k".into(),
        id,
        extras: "k".into(),
        value,
        write,
        cancel: crate::cancellation::CancelToken::default(),
        claim,
    };
    let deadline = Instant::now() + Duration::from_secs(60);
    let payload = Payload::Request(TimeBudget { command: Rc::new(command), deadline });
    Command { attempt, payload, asking: false }
}

/// A server with one connection that carries an attempt, and a queue of one place that somebody else has taken.
async fn answered_before_a_full_queue(
    ends: bool,
) -> (Servers<Tokio>, mpsc::Receiver<NodeInput>, tokio::net::TcpStream) {
    use tokio::io::{AsyncReadExt, AsyncWriteExt};
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let (events, mut inputs) = mpsc::channel(1);
    let mut servers = Servers::new(Tokio, limits(1), events.clone());
    servers.listed(1, listener.local_addr().ok(), true);
    assert!(servers.send(1, get(7)));
    let (mut stream, _) = listener.accept().await.unwrap();
    let Some(NodeInput::Server { number, event, .. }) = inputs.recv().await else { panic!() };
    servers.event(1, number, event);
    assert!(stream.read(&mut [0; 64]).await.unwrap() > 0);
    let (census, _) = tokio::sync::oneshot::channel();
    assert!(events.try_send(NodeInput::ResourceCounts(census)).is_ok());
    if ends {
        stream.shutdown().await.unwrap();
    } else {
        stream.write_all(b"*3\r\n$1\r\nv\r\n$3\r\nhit\r\n$-1\r\n").await.unwrap();
    }
    settle().await;
    (servers, inputs, stream)
}

/// The answer, or the end, has been read and its word waits for a place in the queue: nobody may conclude from its
/// record, or the want of one, that the attempt never ran.
#[test]
fn an_attempt_whose_last_word_waits_for_the_queue_may_have_run() {
    for ends in [false, true] {
        local(async {
            let (mut servers, _inputs, _stream) = answered_before_a_full_queue(ends).await;
            assert!(servers.give_up(1, 7), "taken for never sent, ends: {ends}");
            assert!(servers.give_up(1, 7), "nothing on record proves nothing, ends: {ends}");
            assert!(servers.give_up(9, 7), "nor does a server that nobody knows");
        });
    }
}

/// A connection with its last word still to say outlives the drain, the close of what is idle and the sweep.
#[test]
fn the_last_word_of_a_connection_outlives_its_drain_and_the_close_of_what_is_idle() {
    for ends in [false, true] {
        for drains in [false, true] {
            local(async {
                let (mut servers, mut inputs, _stream) = answered_before_a_full_queue(ends).await;
                servers.close_idle(1);
                if drains {
                    servers.listed(1, None, false);
                }
                settle().await;
                assert!(matches!(inputs.recv().await, Some(NodeInput::ResourceCounts(_))));
                settle().await;
                let Ok(NodeInput::Server { server, number, event }) = inputs.try_recv() else {
                    panic!("the last word is lost, ends: {ends}, drains: {drains}")
                };
                match &servers.event(server, number, event)[..] {
                    [(7, Ended::Answered(_))] if !ends => {}
                    [(7, Ended::Reset)] if ends => {}
                    other => panic!("{} ends", other.len()),
                }
            });
        }
    }
}

/// An answer stops short right behind its value, and the next command's follows: that one must not pass for the rest
/// of the first, or the command behind it would be given another's value.
#[test]
fn an_answer_that_stops_short_does_not_swallow_the_next_one() {
    use tokio::io::{AsyncReadExt, AsyncWriteExt};
    let whole = "*3\r\n$1\r\nb\r\n$3\r\nhit\r\n$-1\r\n";
    let cuts = ["*3\r\n$1\r\na\r\n", "*3\r\n$1\r\na\r\n+OK\r\n", "*3\r\n$1\r\na\r\n$3\r\nhit\r\n"];
    // The next one may be a value, or a word of failure or of being turned away.
    let nexts = [whole, "-ERR failed\r\n", "-BUSY\r\n"];
    for (short, next) in cuts.iter().flat_map(|cut| nexts.map(|next| (cut, next))) {
        local(async {
            let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
            let (events, mut inputs) = mpsc::channel(8);
            let mut servers = Servers::new(Tokio, limits(32), events);
            servers.listed(1, listener.local_addr().ok(), true);
            assert!(servers.send(1, get(7)));
            let (mut stream, _) = listener.accept().await.unwrap();
            let Some(NodeInput::Server { number, event, .. }) = inputs.recv().await else { panic!() };
            servers.event(1, number, event);
            // Behind the first on its connection, as if no other could be had.
            let pool = servers.pools.get_mut(&1).unwrap();
            assert!(pool.append(get(8), 32, Instant::now()) && pool.append(get(9), 32, Instant::now()));
            settle().await;
            assert!(stream.read(&mut [0; 256]).await.unwrap() > 0);
            stream.write_all(format!("{short}{next}{next}").as_bytes()).await.unwrap();
            let mut answered = Vec::new();
            for _ in 0..2 {
                let Some(NodeInput::Server { event, .. }) = inputs.recv().await else { panic!() };
                let down = matches!(event, Event::Down { .. });
                for (attempt, ended) in servers.event(1, number, event) {
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

/// One of hundreds of nodes, where a connection carries one attempt at a time: two requests for one server at once
/// are two connections, not one and a failure that never was.
#[test]
fn of_many_nodes_one_still_has_a_connection_for_each_attempt() {
    local(async {
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
        let (events, _inputs) = mpsc::channel(8);
        let mut servers =
            Servers::new(Tokio, Limits { balancers: 300, descriptors: 64, ..limits(1) }, events);
        servers.listed(1, listener.local_addr().ok(), true);
        assert!((1..=3).all(|attempt| servers.send(1, get(attempt))), "shut out by itself");
    });
}

/// Of two connections the one that was answered a moment ago is not written to: a second answer may be on its way.
#[test]
fn what_was_answered_a_moment_ago_rests_while_another_connection_is_free() {
    local(async {
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
        let (events, mut inputs) = mpsc::channel(8);
        let mut servers = Servers::new(Tokio, limits(1), events);
        servers.listed(1, listener.local_addr().ok(), true);
        assert!(servers.send(1, get(7)) && servers.send(1, get(8)));
        for _ in 0..2 {
            let Some(NodeInput::Server { number, event, .. }) = inputs.recv().await else { panic!() };
            servers.event(1, number, event);
        }
        let pool = servers.pools.get_mut(&1).unwrap();
        let (just, long) = (pool.connections[0].number, pool.connections[1].number);
        for c in &mut pool.connections {
            *c.shared.line.borrow_mut() = Line { up: true, ..Line::default() };
        }
        pool.connections[1].used -= SETTLED;
        servers.event(1, just, Event::Answer(7, BytesFrame::Null));
        assert!(servers.send(1, get(9)));
        let carries =
            |number| servers.pools[&1].connections.iter().any(|c| c.number == number && c.load() > 0);
        assert!(carries(long) && !carries(just));
    });
}

/// A socket that takes not one byte more: the command that is next counts as unsent, so that a drain takes it back like
/// all behind it, and nothing of it comes once the server reads again.
#[test]
fn what_a_full_socket_took_no_byte_of_can_be_taken_back() {
    use tokio::io::AsyncReadExt;
    local(async {
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
        let mut socket = tokio::net::TcpStream::connect(listener.local_addr().unwrap()).await.unwrap();
        let (mut server, _) = listener.accept().await.unwrap();
        // To its last byte: the room that is left grows while what was written is taken in.
        let (mut filled, mut quiet) = (0, 0);
        while quiet < 20 {
            match socket.try_write(if quiet == 0 { &[b'.'; 4096] } else { b"." }) {
                Ok(n) => (filled, quiet) = (filled + n, 0),
                Err(_) => quiet += 1,
            }
            tokio::task::yield_now().await;
        }
        let shared = Shared::default();
        shared.line.borrow_mut().unsent.push_back(get(7));
        let begun = poll_fn(|cx| Poll::Ready(shared.begin(cx, &mut socket, Instant::now()))).await;
        assert!(begun.is_pending(), "the socket is not full");
        let line = shared.line.take();
        assert!(line.writing.is_none() && line.sent.is_empty(), "begun, though not a byte has gone out");
        assert_eq!(line.unsent.len(), 1);
        // Taken back; the server reads all, and more of the socket's room than the command needs is free.
        let mut all = vec![0; filled];
        server.read_exact(&mut all).await.unwrap();
        let begun = poll_fn(|cx| shared.begin(cx, &mut socket, Instant::now())).await;
        assert!(begun.is_none());
        drop(socket);
        assert_eq!(server.read(&mut [0]).await.unwrap(), 0, "it came all the same");
    });
}

/// More than two sockets hold.
const LARGE: usize = 16 << 20;

/// A server that does not read, with a large command on its way to it as attempt 7.
async fn large_one_out(
    multiplex: usize,
) -> (Servers<Tokio>, tokio::net::TcpStream, mpsc::Receiver<NodeInput>) {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let (events, mut inputs) = mpsc::channel(8);
    let mut servers = Servers::new(Tokio, limits(multiplex), events);
    servers.listed(1, listener.local_addr().ok(), true);
    assert!(servers.send(1, request(7, Some(vec![b'v'; LARGE].into()))));
    let (stream, _) = listener.accept().await.unwrap();
    let Some(NodeInput::Server { number, event, .. }) = inputs.recv().await else { panic!() };
    servers.event(1, number, event);
    (servers, stream, inputs)
}

/// A server that does not read: a command given up half written must not arrive whole beside the next attempt, and
/// without its last byte it has not run.
#[test]
fn what_is_given_up_half_written_never_arrives_whole() {
    use tokio::io::AsyncReadExt;
    for give_up in [true, false] {
        local(async {
            let (mut servers, mut stream, _inputs) = large_one_out(1).await;
            settle().await;
            if give_up {
                assert!(!servers.give_up(1, 7), "half a command has not run");
            } else {
                assert!(servers.withdraw(1, 7), "half a command can be taken back");
            }
            let mut whole = Vec::new();
            let end = tokio::time::timeout(Duration::from_secs(20), stream.read_to_end(&mut whole)).await;
            assert!(end.is_ok(), "its connection stays open");
            assert!(whole.len() < LARGE, "it came whole");
        });
    }
}

/// A server that does not read, and commands behind one that is half written: the half written one is given up first,
/// the others after it. With the last of them nobody waits on the connection any more: it ends, or the half would
/// arrive whole once the server reads.
#[test]
fn a_connection_ends_with_the_last_that_was_waited_for_behind_something_half_written() {
    use tokio::io::AsyncReadExt;
    for give_up in [true, false] {
        local(async {
            let (mut servers, mut stream, _inputs) = large_one_out(32).await;
            let pool = servers.pools.get_mut(&1).unwrap();
            assert!(pool.append(get(8), 32, Instant::now()));
            settle().await;
            assert!(servers.pools[&1].connections[0].shared.line.borrow().writing.is_some());
            if give_up {
                assert!(servers.give_up(1, 7), "half a command that another one waits behind may run");
                assert!(!servers.give_up(1, 8), "it was never sent");
            } else {
                assert!(!servers.withdraw(1, 7), "another one waits behind it");
                assert!(servers.withdraw(1, 8), "it was never sent");
            }
            let mut whole = Vec::new();
            let end = tokio::time::timeout(Duration::from_secs(20), stream.read_to_end(&mut whole)).await;
            assert!(end.is_ok(), "its connection stays open, give_up: {give_up}");
            assert!(whole.len() < LARGE, "it came whole, give_up: {give_up}");
        });
    }
}

fn limits(multiplex: usize) -> Limits {
    Limits {
        balancers: 1,
        multiplex,
        idle_close: Duration::from_secs(60),
        connect_timeout: Duration::from_secs(30),
        descriptors: 8,
        read_copies: false,
        tier: false,
        figures: Rc::new(Metrics::new(&[]).unwrap()),
        share: Rc::default(),
        held: Arc::new(Semaphore::new(8 * 1024)),
    }
}

/// A server that gets another number keeps its connection and what is out on it.
#[test]
fn a_server_with_another_number_keeps_its_connection_and_its_attempts() {
    use tokio::io::{AsyncReadExt, AsyncWriteExt};
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    tokio::task::LocalSet::new().block_on(&runtime, async {
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let (events, mut inputs) = mpsc::channel(8);
        let mut servers = Servers::new(Tokio, limits(1), events);
        servers.listed(1, Some(address), true);
        assert!(servers.send(1, get(7)));
        let (mut stream, _) = listener.accept().await.unwrap();
        // The word that it is up is on its way under the old number.
        let Some(NodeInput::Server { server, number, event }) = inputs.recv().await else { panic!() };
        assert_eq!(server, 1);
        servers.renamed(1, 2);
        servers.listed(2, Some(address), true);
        assert!(servers.listed(1, Some(address), false).is_empty());
        assert!(servers.event(server, number, event).is_empty());
        let mut read = [0; 64];
        let length = stream.read(&mut read).await.unwrap();
        assert!(read[..length].ends_with(b"k\r\n"));
        stream.write_all(b"*3\r\n$1\r\nv\r\n$3\r\nhit\r\n$-1\r\n").await.unwrap();
        let Some(NodeInput::Server { server, number, event }) = inputs.recv().await else { panic!() };
        assert_eq!(server, 2);
        let ended = servers.event(server, number, event);
        assert!(matches!(&ended[..], [(7, Ended::Answered(_))]));
        // An attempt that knows it by its old number can be given up, and is written on the same connection.
        assert!(servers.send(2, get(8)));
        assert!(stream.read(&mut read).await.unwrap() > 0);
        assert!(servers.give_up(1, 8), "it may have run");
        assert_eq!(servers.address(1), Some(address));
    });
}

#[test]
fn what_waits_for_a_connection_is_not_sent_after_the_notice_of_a_drain() {
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
        assert!(servers.listed(7, Some(address), true).is_empty());
        assert!(servers.send(7, ping(1)));
        assert!(matches!(inputs.recv().await, Some(NodeInput::Server { event: Event::Up, .. })));
        // Up, but the node has not been told yet: the attempt still waits.
        assert_eq!(servers.listed(7, Some(address), false), [1]);
        assert!(!servers.send(7, ping(2)), "taken for a server that drains");
        assert!(servers.event(7, 1, Event::Up).is_empty());
    });
    let mut written = Vec::new();
    listener.accept().unwrap().0.read_to_end(&mut written).unwrap();
    assert_eq!(written, b"");
}
