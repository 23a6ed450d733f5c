use std::net::SocketAddr;

use brassrouter::Load;
use bytes::Bytes;
use mothpier_net::Tokio;

use super::*;
use crate::servers;

const SITE: &str = r#"{"classes":[{"name":"read"}],"machineTypes":["m","origin"],"zones":["a"],
    "specifics":{"mode":"aside","originKind":1},"report":{"fields":["lat_ms","busy"]}}"#;

#[test]
fn a_load_report_with_an_implausible_value_is_ignored() {
    let site = brassrouter::settings::read(SITE.as_bytes()).unwrap();
    assert_eq!(load(&site, "lat_ms=5,busy=0.5").values[..2], [5.0, 0.5]);
    for report in
        ["lat_ms=5,busy=NaN", "lat_ms=inf,busy=0.5", "lat_ms=5,busy=-1", "busy=1e30,lat_ms=1", "x", ""]
    {
        assert_eq!(load(&site, report), Load::default(), "{report}");
    }
}

fn node() -> Node<Tokio> {
    let (events, _inputs) = mpsc::channel(8);
    let metrics = Rc::new(crate::metrics::Metrics::new(&[]).unwrap());
    let memory = crate::memory::NodeMemory::new(0, &Rc::default());
    let limits = servers::Limits {
        balancers: 1,
        multiplex: 32,
        idle_close: Duration::from_secs(60),
        connect_timeout: Duration::from_secs(30),
        max_connections: 8,
        read_copies: false,
        tier: false,
        metrics: metrics.clone(),
        share: Rc::default(),
        memory: memory.clone(),
    };
    let parts = Parts {
        cluster: None,
        servers: Servers::new(Tokio, limits, events.clone()),
        origins: Origins::new(
            Tokio,
            Duration::from_secs(60),
            Duration::from_secs(30),
            8,
            memory,
            metrics.clone(),
            events,
        ),
        peers: None,
        membership: None,
        discovery_requests: watch::channel(DiscoveryRequest::default()).0,
        phase: Rc::default(),
        metrics,
        event_log: Rc::default(),
    };
    let site = brassrouter::settings::read(SITE.as_bytes()).unwrap();
    Node::new(Tokio, site, 1, Clock::start(Tokio), parts)
}

/// The time between reading a request and handling it counts against its deadline, for the policy and for its
/// answer.
#[test]
fn time_in_the_queue_is_subtracted_from_the_time_left() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    tokio::task::LocalSet::new().block_on(&runtime, async {
        let mut node = node();
        let [name, key, id] = [&b"CACHE.GET"[..], b"k", b"i"].map(Bytes::from_static);
        let claim = crate::request_ids::RequestIds::default()
            .claim(&id, brassrouter::Effect::Safe, Instant::now())
            .unwrap();
        let command = Command {
            name,
            key,
            id,
            extras: Bytes::new(),
            value: None,
            write: false,
            cancel: crate::cancellation::CancelToken::default(),
            claim,
        };
        let (answer, _receiver) = oneshot::channel();
        let request = brassrouter::Request { id: 1, time_left: 400_000, ..Default::default() };
        // The event loop reaches it 0.3 s after it was read.
        let read = Tokio.now() - Duration::from_millis(300);
        let event = ClientEvent::Request { request, command: Box::new(command), answer, read };
        node.handle_input(NodeInput::Client(event));
        let remaining = node.open_requests[&1].deadline.saturating_duration_since(Tokio.now());
        assert!(remaining <= Duration::from_millis(100), "{remaining:?} left of 0.4 s");
        let Some(Event::Request(request)) = node.events.pop_front() else { panic!() };
        assert!(request.time_left <= 100_000, "the policy gets {} us", request.time_left);
    });
}

/// New servers have new ids, so state kept of removed servers would accumulate. A server that returns is
/// treated as new.
#[test]
fn no_state_is_kept_of_servers_that_have_left() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    tokio::task::LocalSet::new().block_on(&runtime, async {
        let mut node = node();
        let address = SocketAddr::from(([127, 0, 0, 1], 9));
        let mut apply = |id: u32, kind, phase, list| {
            let member =
                format!(r#"{{"id":"s-{id}","host_port":"{address}","flavor":"{kind}","phase":"{phase}"}}"#);
            let text =
                format!(r#"{{"revision":1,"complete":{},"members":[{member}]}}"#, list == ListKind::Full);
            node.apply_list(serde_json::from_str(&text).unwrap(), list);
            node.process_events();
            (node.numbers.len(), node.origin_ids.len(), node.parts.servers.len(), node.parts.origins.len())
        };
        for id in 0..100 {
            // Removed by a change, and by a whole list without it.
            for (kind, present) in [("m", (1, 0, 1, 0)), ("origin", (1, 1, 0, 1))] {
                assert_eq!(apply(id, kind, "ready", ListKind::Delta), present);
                apply(id, kind, "draining", ListKind::Delta);
                assert_eq!(apply(id, kind, "gone", ListKind::Delta), (0, 0, 0, 0));
                assert_eq!(apply(id, kind, "ready", ListKind::Full), present);
                assert_eq!(apply(1000 + id, kind, "ready", ListKind::Full), present);
                assert_eq!(apply(1000 + id, kind, "gone", ListKind::Full), (0, 0, 0, 0));
            }
        }
    });
}

/// Readers fetch the list again when its version changes, so a version without changes would be sent for
/// nothing.
#[test]
fn a_watch_without_changes_does_not_make_a_new_list_version() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    tokio::task::LocalSet::new().block_on(&runtime, async {
        let mut node = node();
        let list = |complete: bool, members: &str| -> ServerList {
            let text = format!(r#"{{"revision":1,"complete":{complete},"members":[{members}]}}"#);
            serde_json::from_str(&text).unwrap()
        };
        let member = |phase: &str| {
            format!(r#"{{"id":"s-1","host_port":"127.0.0.1:9","flavor":"m","phase":"{phase}"}}"#)
        };
        node.apply_list(list(true, &member("ready")), ListKind::Full);
        let first = node.list_version;
        node.apply_list(list(false, ""), ListKind::Delta);
        assert_eq!(node.list_version, first, "nothing has changed");
        node.apply_list(list(false, &member("draining")), ListKind::Delta);
        assert_eq!(node.list_version, first + 1);
        node.apply_list(list(true, ""), ListKind::Full);
        assert_eq!(node.list_version, first + 2, "a whole list without members is a change");
    });
}
