use mothpier_net::Tokio;
use tokio::io::{AsyncReadExt, AsyncWriteExt};

use super::*;

/// The decisions may ask for a watch before the task that watches first runs: it took a service for all for an
/// agent then, and asked for the whole list after every break, which a hundred nodes never got.
#[test]
fn a_service_for_all_is_asked_for_changes_alone_also_after_a_break() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    tokio::task::LocalSet::new().block_on(&runtime, async {
        let agent = DiscoveryMode::Agent { grace: Duration::from_millis(500) };
        for (way, first) in
            [(DiscoveryMode::Service, "GET /api/targets?after=41&"), (agent, "GET /api/targets HTTP")]
        {
            let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
            let (_moved, addresses) = watch::channel(listener.local_addr().unwrap());
            let (_wanted, wishes) = watch::channel(DiscoveryRequest { watch: true, calls: 1 });
            let (events, _inputs) = mpsc::channel(8);
            let task = tokio::task::spawn_local(run(Tokio, addresses, way, Some(41), wishes, events));
            for _ in 0..2 {
                let (mut stream, _) = listener.accept().await.unwrap();
                let mut head = vec![0; 4096];
                let length = stream.read(&mut head).await.unwrap();
                let head = String::from_utf8_lossy(&head[..length]);
                assert!(head.starts_with(first), "{head}");
                let answer = b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n";
                stream.write_all(answer).await.unwrap();
            }
            task.abort();
        }
    });
}

/// What a silent watch misses counts as told 6 s after it fell silent, also where lists are asked for: it is opened
/// anew before anybody waits for anything.
#[test]
fn a_silent_watch_at_a_service_is_opened_anew_before_it_counts_as_a_failure() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    tokio::task::LocalSet::new().block_on(&runtime, async {
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
        let (_moved, addresses) = watch::channel(listener.local_addr().unwrap());
        let (_wanted, wishes) = watch::channel(DiscoveryRequest { watch: true, calls: 1 });
        let (events, mut inputs) = mpsc::channel(8);
        let task =
            tokio::task::spawn_local(run(Tokio, addresses, DiscoveryMode::Service, Some(41), wishes, events));
        let mut head = [0; 4096];
        let (mut silent, _) = listener.accept().await.unwrap();
        assert!(silent.read(&mut head).await.unwrap() > 0);
        let (mut anew, _) = listener.accept().await.unwrap();
        let length = anew.read(&mut head).await.unwrap();
        assert!(head[..length].starts_with(b"GET /api/targets?after=41&"), "not opened anew");
        assert!(inputs.try_recv().is_err(), "told as a failure, for which there is a pause");
        let list = "{\"revision\":42,\"complete\":false,\"members\":[]}";
        let list = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{list}", list.len());
        anew.write_all(list.as_bytes()).await.unwrap();
        assert!(matches!(inputs.recv().await, Some(NodeInput::Discovery(ListUpdate::List(_)))));
        task.abort();
    });
}

/// An agent that is silent from the start, or falls silent under a watch, may never answer what it was asked in its
/// silence: what it has when it is back counts at once, and that call must not stand in the way of another one.
#[test]
fn a_call_made_in_the_silence_does_not_stand_in_the_way() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    tokio::task::LocalSet::new().block_on(&runtime, async {
        for watched in [false, true] {
            let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
            let (_moved, addresses) = watch::channel(listener.local_addr().unwrap());
            let (_wanted, wishes) = watch::channel(DiscoveryRequest { watch: true, calls: 1 });
            let (events, mut inputs) = mpsc::channel(8);
            let way = DiscoveryMode::Agent { grace: Duration::from_millis(250) };
            let task = tokio::task::spawn_local(run(Tokio, addresses, way, Some(41), wishes, events));
            let list = "{\"revision\":42,\"complete\":true,\"members\":[]}";
            let list = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{list}", list.len());
            let mut head = [0; 4096];
            let (mut silent, _) = listener.accept().await.unwrap();
            assert!(silent.read(&mut head).await.unwrap() > 0);
            if watched {
                silent.write_all(list.as_bytes()).await.unwrap();
                assert!(matches!(inputs.recv().await, Some(NodeInput::Discovery(ListUpdate::List(_)))));
                assert!(silent.read(&mut head).await.unwrap() > 0, "no watch");
            }
            // More than are out at once: the first stays, in case it is answered all the same.
            let mut others = Vec::new();
            for _ in 0..CALLS + 2 {
                let (mut other, _) = listener.accept().await.unwrap();
                let length = other.read(&mut head).await.unwrap();
                assert!(head[..length].starts_with(b"GET /api/targets HTTP"), "not the whole list");
                let open = silent.try_read(&mut [0]).map_err(|e| e.kind());
                assert_eq!(
                    open,
                    Err(std::io::ErrorKind::WouldBlock),
                    "the first is given up, watched: {watched}"
                );
                others.push(other);
            }
            let closed = others.iter().filter(|o| o.try_read(&mut [0]).is_ok()).count();
            assert!(others.len() - closed < CALLS, "{closed} of {} closed", others.len());
            let last = others.last_mut().unwrap();
            last.write_all(list.as_bytes()).await.unwrap();
            assert!(matches!(inputs.recv().await, Some(NodeInput::Discovery(ListUpdate::List(_)))));
            task.abort();
        }
    });
}

/// How an answer fails that has begun.
#[derive(Clone, Copy, Debug)]
enum Broken {
    /// It ends behind its head, with an end or a reset.
    Head { reset: bool },
    /// It ends in the middle of its body.
    Body,
    /// Nothing more comes after the middle of its body.
    Silence,
    /// A byte of its body comes now and then.
    Trickle,
}

/// A list that begins and does not come: the next call is made and taken, whatever becomes of the first, with an agent
/// and with a service for all. What is taken is whole, and may be indented.
#[test]
fn a_list_that_breaks_off_trickles_or_stops_in_the_middle_is_asked_for_anew() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    let (agent, service) =
        (DiscoveryMode::Agent { grace: Duration::from_millis(250) }, DiscoveryMode::Service);
    let [end, reset] = [false, true].map(|reset| Broken::Head { reset });
    let cases = [(agent, end), (agent, reset), (agent, Broken::Body), (agent, Broken::Silence)];
    let cases = cases.into_iter().chain([(agent, Broken::Trickle), (service, end), (service, reset)]);
    let cases =
        cases.chain([(service, Broken::Body), (service, Broken::Silence), (service, Broken::Trickle)]);
    tokio::task::LocalSet::new().block_on(&runtime, async {
        let tasks: Vec<_> =
            cases.map(|(way, how)| tokio::task::spawn_local(taken_all_the_same(way, how))).collect();
        for task in tasks {
            task.await.unwrap();
        }
    });
}

async fn taken_all_the_same(way: DiscoveryMode, how: Broken) {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let (_moved, addresses) = watch::channel(listener.local_addr().unwrap());
    let (_wanted, wishes) = watch::channel(DiscoveryRequest { watch: true, calls: 1 });
    let (events, mut inputs) = mpsc::channel(8);
    let task = tokio::task::spawn_local(run(Tokio, addresses, way, Some(41), wishes, events));
    let body = "{\n  \"revision\": 42,\n  \"complete\": true,\n  \"members\": [\n  ]\n}\n";
    let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
    let (mut first, _) = listener.accept().await.unwrap();
    assert!(first.read(&mut [0; 4096]).await.unwrap() > 0);
    first.write_all(head.as_bytes()).await.unwrap();
    if !matches!(how, Broken::Head { .. }) {
        first.write_all(&body.as_bytes()[..body.len() / 2]).await.unwrap();
    }
    match how {
        Broken::Head { reset: true } => {
            socket2::SockRef::from(&first).set_linger(Some(Duration::ZERO)).unwrap()
        }
        Broken::Head { .. } | Broken::Body | Broken::Silence => {}
        Broken::Trickle => {
            let rest = body.as_bytes()[body.len() / 2..].to_owned();
            tokio::task::spawn_local(async move {
                for byte in &rest[..rest.len() - 1] {
                    tokio::time::sleep(Duration::from_millis(400)).await;
                    if first.write_all(&[*byte]).await.is_err() {
                        return;
                    }
                }
                std::future::pending::<()>().await
            });
            return answered_by_the_next(listener, &mut inputs, task, &(head + body), how).await;
        }
    }
    let _kept = matches!(how, Broken::Silence).then_some(first);
    answered_by_the_next(listener, &mut inputs, task, &(head + body), how).await;
}

async fn answered_by_the_next(
    listener: tokio::net::TcpListener,
    inputs: &mut mpsc::Receiver<NodeInput>,
    task: tokio::task::JoinHandle<()>,
    answer: &str,
    how: Broken,
) {
    let next = tokio::time::timeout(WAIT + 2 * LATE, listener.accept()).await;
    let (mut next, _) = next.unwrap_or_else(|_| panic!("{how:?}: not asked for anew")).unwrap();
    assert!(next.read(&mut [0; 4096]).await.unwrap() > 0);
    next.write_all(answer.as_bytes()).await.unwrap();
    let heard = tokio::time::timeout(LATE, async {
        loop {
            match inputs.recv().await {
                Some(NodeInput::Discovery(ListUpdate::List(list))) => return list,
                Some(_) => {}
                None => panic!("{how:?}: the watch has ended"),
            }
        }
    });
    let list = heard.await.unwrap_or_else(|_| panic!("{how:?}: not taken"));
    assert_eq!((list.revision, list.complete, list.members), (42, true, Vec::new()), "{how:?}");
    task.abort();
}
