use mothpier_net::Tokio;
use tokio::io::{AsyncReadExt, AsyncWriteExt};

use super::*;

/// The policy may request a watch before the discovery task first runs. The task then took a central service
/// for an agent and requested the whole list after every failure, more than the service could deliver to a
/// hundred nodes.
#[test]
fn a_service_is_asked_only_for_changes_even_after_a_failure() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    tokio::task::LocalSet::new().block_on(&runtime, async {
        let agent = DiscoveryMode::Agent { grace: Duration::from_millis(500) };
        for (mode, first) in
            [(DiscoveryMode::Service, "GET /api/targets?after=41&"), (agent, "GET /api/targets HTTP")]
        {
            let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
            let (_address_sender, addresses) = watch::channel(listener.local_addr().unwrap());
            let (_request_sender, requests) = watch::channel(DiscoveryRequest { watch: true, calls: 1 });
            let (events, _inputs) = mpsc::channel(8);
            let task = tokio::task::spawn_local(run(Tokio, addresses, mode, Some(41), requests, events));
            for _ in 0..2 {
                let (mut stream, _) = listener.accept().await.unwrap();
                let mut header = vec![0; 4096];
                let length = stream.read(&mut header).await.unwrap();
                let header = String::from_utf8_lossy(&header[..length]);
                assert!(header.starts_with(first), "{header}");
                let answer = b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n";
                stream.write_all(answer).await.unwrap();
            }
            task.abort();
        }
    });
}

/// A change that an unanswered watch misses must be known within 6 s, also in service mode. The watch is
/// therefore reopened before the old call times out.
#[test]
fn an_unanswered_watch_at_a_service_is_reopened_before_it_counts_as_a_failure() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    tokio::task::LocalSet::new().block_on(&runtime, async {
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
        let (_address_sender, addresses) = watch::channel(listener.local_addr().unwrap());
        let (_request_sender, requests) = watch::channel(DiscoveryRequest { watch: true, calls: 1 });
        let (events, mut inputs) = mpsc::channel(8);
        let task = tokio::task::spawn_local(run(
            Tokio,
            addresses,
            DiscoveryMode::Service,
            Some(41),
            requests,
            events,
        ));
        let mut header = [0; 4096];
        let (mut unanswered, _) = listener.accept().await.unwrap();
        assert!(unanswered.read(&mut header).await.unwrap() > 0);
        let (mut reopened, _) = listener.accept().await.unwrap();
        let length = reopened.read(&mut header).await.unwrap();
        assert!(header[..length].starts_with(b"GET /api/targets?after=41&"), "the watch was not reopened");
        assert!(inputs.try_recv().is_err(), "reported as a failure, which causes a pause");
        let list = "{\"revision\":42,\"complete\":false,\"members\":[]}";
        let list = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{list}", list.len());
        reopened.write_all(list.as_bytes()).await.unwrap();
        assert!(matches!(inputs.recv().await, Some(NodeInput::Discovery(ListUpdate::List(_)))));
        task.abort();
    });
}

/// An agent that is unresponsive from the start, or becomes so during a watch, may never answer calls made in
/// that time. Once it is back its list is needed at once, so these calls must not delay a new one.
#[test]
fn an_unanswered_call_does_not_delay_later_calls() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    tokio::task::LocalSet::new().block_on(&runtime, async {
        for after_watch in [false, true] {
            let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
            let (_address_sender, addresses) = watch::channel(listener.local_addr().unwrap());
            let (_request_sender, requests) = watch::channel(DiscoveryRequest { watch: true, calls: 1 });
            let (events, mut inputs) = mpsc::channel(8);
            let mode = DiscoveryMode::Agent { grace: Duration::from_millis(250) };
            let task = tokio::task::spawn_local(run(Tokio, addresses, mode, Some(41), requests, events));
            let list = "{\"revision\":42,\"complete\":true,\"members\":[]}";
            let list = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{list}", list.len());
            let mut header = [0; 4096];
            let (mut unanswered, _) = listener.accept().await.unwrap();
            assert!(unanswered.read(&mut header).await.unwrap() > 0);
            if after_watch {
                unanswered.write_all(list.as_bytes()).await.unwrap();
                assert!(matches!(inputs.recv().await, Some(NodeInput::Discovery(ListUpdate::List(_)))));
                assert!(unanswered.read(&mut header).await.unwrap() > 0, "no watch was opened");
            }
            // More calls than may be outstanding at once: the first is kept, since it may still be answered.
            let mut others = Vec::new();
            for _ in 0..MAX_AGENT_CALLS + 2 {
                let (mut other, _) = listener.accept().await.unwrap();
                let length = other.read(&mut header).await.unwrap();
                assert!(
                    header[..length].starts_with(b"GET /api/targets HTTP"),
                    "did not request the whole list"
                );
                let open = unanswered.try_read(&mut [0]).map_err(|e| e.kind());
                assert_eq!(
                    open,
                    Err(std::io::ErrorKind::WouldBlock),
                    "the first call was dropped, after_watch: {after_watch}"
                );
                others.push(other);
            }
            let closed = others.iter().filter(|o| o.try_read(&mut [0]).is_ok()).count();
            assert!(others.len() - closed < MAX_AGENT_CALLS, "{closed} of {} closed", others.len());
            let last = others.last_mut().unwrap();
            last.write_all(list.as_bytes()).await.unwrap();
            assert!(matches!(inputs.recv().await, Some(NodeInput::Discovery(ListUpdate::List(_)))));
            task.abort();
        }
    });
}

/// How an answer is interrupted after its start.
#[derive(Clone, Copy, Debug)]
enum Interruption {
    /// The connection is closed or reset after the header.
    Head { reset: bool },
    /// The connection is closed in the middle of the body.
    Body,
    /// Nothing more arrives after the middle of the body.
    Silence,
    /// The rest of the body arrives one byte every 400 ms.
    Trickle,
}

/// A list whose transfer starts and does not finish: the next call is made and its answer used, whatever
/// happens to the first, in both modes. The list used is complete, and its JSON may be indented.
#[test]
fn an_incomplete_or_slow_list_is_requested_again() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    let (agent, service) =
        (DiscoveryMode::Agent { grace: Duration::from_millis(250) }, DiscoveryMode::Service);
    let [end, reset] = [false, true].map(|reset| Interruption::Head { reset });
    let cases = [(agent, end), (agent, reset), (agent, Interruption::Body), (agent, Interruption::Silence)];
    let cases = cases.into_iter().chain([(agent, Interruption::Trickle), (service, end), (service, reset)]);
    let cases = cases.chain([
        (service, Interruption::Body),
        (service, Interruption::Silence),
        (service, Interruption::Trickle),
    ]);
    tokio::task::LocalSet::new().block_on(&runtime, async {
        let tasks: Vec<_> = cases
            .map(|(mode, interruption)| {
                tokio::task::spawn_local(next_answer_is_used_after(mode, interruption))
            })
            .collect();
        for task in tasks {
            task.await.unwrap();
        }
    });
}

async fn next_answer_is_used_after(mode: DiscoveryMode, interruption: Interruption) {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let (_address_sender, addresses) = watch::channel(listener.local_addr().unwrap());
    let (_request_sender, requests) = watch::channel(DiscoveryRequest { watch: true, calls: 1 });
    let (events, mut inputs) = mpsc::channel(8);
    let task = tokio::task::spawn_local(run(Tokio, addresses, mode, Some(41), requests, events));
    let body = "{\n  \"revision\": 42,\n  \"complete\": true,\n  \"members\": [\n  ]\n}\n";
    let header = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
    let (mut first, _) = listener.accept().await.unwrap();
    assert!(first.read(&mut [0; 4096]).await.unwrap() > 0);
    first.write_all(header.as_bytes()).await.unwrap();
    if !matches!(interruption, Interruption::Head { .. }) {
        first.write_all(&body.as_bytes()[..body.len() / 2]).await.unwrap();
    }
    match interruption {
        Interruption::Head { reset: true } => {
            socket2::SockRef::from(&first).set_linger(Some(Duration::ZERO)).unwrap()
        }
        Interruption::Head { .. } | Interruption::Body | Interruption::Silence => {}
        Interruption::Trickle => {
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
            return answer_next_call(listener, &mut inputs, task, &(header + body), interruption).await;
        }
    }
    let _kept = matches!(interruption, Interruption::Silence).then_some(first);
    answer_next_call(listener, &mut inputs, task, &(header + body), interruption).await;
}

async fn answer_next_call(
    listener: tokio::net::TcpListener,
    inputs: &mut mpsc::Receiver<NodeInput>,
    task: tokio::task::JoinHandle<()>,
    answer: &str,
    interruption: Interruption,
) {
    let next = tokio::time::timeout(WATCH_WAIT + 2 * RESPONSE_MARGIN, listener.accept()).await;
    let (mut next, _) = next.unwrap_or_else(|_| panic!("{interruption:?}: no further call")).unwrap();
    assert!(next.read(&mut [0; 4096]).await.unwrap() > 0);
    next.write_all(answer.as_bytes()).await.unwrap();
    let received = tokio::time::timeout(RESPONSE_MARGIN, async {
        loop {
            match inputs.recv().await {
                Some(NodeInput::Discovery(ListUpdate::List(list))) => return list,
                Some(_) => {}
                None => panic!("{interruption:?}: the discovery task ended"),
            }
        }
    });
    let list = received.await.unwrap_or_else(|_| panic!("{interruption:?}: the list was not used"));
    assert_eq!((list.revision, list.complete, list.members), (42, true, Vec::new()), "{interruption:?}");
    task.abort();
}
