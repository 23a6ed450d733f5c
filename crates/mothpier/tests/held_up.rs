//! A node that is held up while a request waits on an open connection: the time that the request has waited is not told
//! to the cache server as time that is left.
#![allow(missing_docs)]

use std::sync::mpsc::channel;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use mothpier_world::loopback::*;

/// How long the node is stopped.
const STOP_TIME: Duration = Duration::from_millis(400);
/// The time that a client waits.
const CLIENT_TIME: Duration = Duration::from_millis(2000);
/// An attempt may be told this much more than is left.
const SLACK: Duration = Duration::from_millis(150);
const ROUNDS: usize = 5;

#[test]
fn a_request_that_waited_on_an_open_connection_is_not_told_too_much_time() {
    let (told, received) = channel();
    let told = Arc::new(Mutex::new(told));
    let server = serve(command, move |words| {
        let milliseconds = words[3].split("d=").nth(1).unwrap().parse().unwrap();
        let _ = told.lock().unwrap().send((Duration::from_millis(milliseconds), Instant::now()));
        steady(array("v"))
    });
    let node = Node::start("heldup", &Discovery::start(&member("s-1", server, "m", "ready")));
    let mut client = node.client();
    for round in 0..ROUNDS {
        assert_eq!(client.ask(&["PING"]), "+PONG");
        node.signal("STOP");
        thread::sleep(Duration::from_millis(20));
        let (id, sent_at) = (format!("id{round}"), Instant::now());
        client.send(&["CACHE.GET", &id, &id, &format!("c=read,t=acme,d={}", CLIENT_TIME.as_millis())]);
        thread::sleep(STOP_TIME);
        node.signal("CONT");
        assert_eq!(client.answer(), "$v");
        let (told, arrived_at) = received.recv_timeout(HUNG).unwrap();
        let left = CLIENT_TIME.saturating_sub(arrived_at - sent_at);
        assert!(told <= left + SLACK, "{told:?} told, {left:?} left");
    }
}
