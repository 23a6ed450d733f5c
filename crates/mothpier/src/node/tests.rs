use std::net::SocketAddr;

use brassrouter::Load;
use bytes::Bytes;
use mothpier_net::Tokio;

use super::*;
use crate::servers;

const SITE: &str = r#"{"classes":[{"name":"read"}],"machineTypes":["m","origin"],"zones":["a"],
    "specifics":{"mode":"aside","originKind":1},"report":{"fields":["lat_ms","busy"]}}"#;

#[test]
fn figures_that_no_load_can_have_are_dropped_with_their_report() {
    let site = brassrouter::settings::read(SITE.as_bytes()).unwrap();
    assert_eq!(load(&site, "lat_ms=5,busy=0.5").values[..2], [5.0, 0.5]);
    for bad in ["lat_ms=5,busy=NaN", "lat_ms=inf,busy=0.5", "lat_ms=5,busy=-1", "busy=1e30,lat_ms=1", "x", ""]
    {
        assert_eq!(load(&site, bad), Load::default(), "{bad}");
    }
}

fn node() -> Node<Tokio> {
    let (events, _inputs) = mpsc::channel(8);
    let figures = Rc::new(crate::metrics::Metrics::new(&[]).unwrap());
    let limits = servers::Limits {
        balancers: 1,
        multiplex: 32,
        idle_close: Duration::from_secs(60),
        connect_timeout: Duration::from_secs(30),
        descriptors: 8,
        read_copies: false,
        tier: false,
        figures: figures.clone(),
        share: Rc::default(),
        held: std::sync::Arc::new(tokio::sync::Semaphore::new(0)),
    };
    let parts = Parts {
        cluster: None,
        servers: Servers::new(Tokio, limits, events.clone()),
        origins: Origins::new(
            Tokio,
            Duration::from_secs(60),
            Duration::from_secs(30),
            8,
            figures.clone(),
            events,
        ),
        peers: None,
        membership: None,
        wanted: watch::channel(DiscoveryRequest::default()).0,
        phase: Rc::default(),
        figures,
        event_log: Rc::default(),
    };
    let site = brassrouter::settings::read(SITE.as_bytes()).unwrap();
    Node::new(Tokio, site, 1, Clock::start(Tokio), parts)
}

/// What a request has waited for the node since it was read is taken off its time, for the decisions and for its answer.
#[test]
fn the_time_in_the_queue_is_taken_off_a_requests_time() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    tokio::task::LocalSet::new().block_on(&runtime, async {
        let mut node = node();
        let [name, key, id] = [&b"CACHE.GET"[..], b"k", b"i"].map(Bytes::from_static);
        let claim =
            crate::messages::RequestIdClaim::of(&crate::messages::OpenRequestIds::default(), &id).unwrap();
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
        // The loop was held up for 0.3 s behind it.
        let read = Tokio.now() - Duration::from_millis(300);
        let event = ClientEvent::Asked { request, command: Box::new(command), answer, read };
        node.input(NodeInput::Client(event));
        let left = node.open[&1].ends.saturating_duration_since(Tokio.now());
        assert!(left <= Duration::from_millis(100), "{left:?} left of 0.4 s");
        let Some(Event::Request(told)) = node.events.pop_front() else { panic!() };
        assert!(told.time_left <= 100_000, "the decisions are told of {}", told.time_left);
    });
}

/// Ids are ever new: what the list no longer names must leave nothing behind, and come back as it was.
#[test]
fn servers_that_have_left_leave_nothing_behind() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    tokio::task::LocalSet::new().block_on(&runtime, async {
        let mut node = node();
        let address = SocketAddr::from(([127, 0, 0, 1], 9));
        let mut told = |id: u32, kind, phase, list| {
            let member =
                format!(r#"{{"id":"s-{id}","host_port":"{address}","flavor":"{kind}","phase":"{phase}"}}"#);
            let text =
                format!(r#"{{"revision":1,"complete":{},"members":[{member}]}}"#, list == ListKind::Full);
            node.list(serde_json::from_str(&text).unwrap(), list);
            node.settle();
            (node.numbers.len(), node.origin_ids.len(), node.parts.servers.len(), node.parts.origins.len())
        };
        for id in 0..100 {
            // By a change, and by a whole list that names it no longer.
            for (kind, here) in [("m", (1, 0, 1, 0)), ("origin", (1, 1, 0, 1))] {
                assert_eq!(told(id, kind, "ready", ListKind::Delta), here);
                told(id, kind, "draining", ListKind::Delta);
                assert_eq!(told(id, kind, "gone", ListKind::Delta), (0, 0, 0, 0));
                assert_eq!(told(id, kind, "ready", ListKind::Full), here);
                assert_eq!(told(1000 + id, kind, "ready", ListKind::Full), here);
                assert_eq!(told(1000 + id, kind, "gone", ListKind::Full), (0, 0, 0, 0));
            }
        }
    });
}

/// What is asked by the number of the last list is told the list again only where something may have changed in it.
#[test]
fn a_watch_that_ends_with_no_change_makes_no_new_list() {
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
        node.list(list(true, &member("ready")), ListKind::Full);
        let first = node.lists;
        node.list(list(false, ""), ListKind::Delta);
        assert_eq!(node.lists, first, "nothing has changed");
        node.list(list(false, &member("draining")), ListKind::Delta);
        assert_eq!(node.lists, first + 1);
        node.list(list(true, ""), ListKind::Full);
        assert_eq!(node.lists, first + 2, "a whole list without members is a change");
    });
}
