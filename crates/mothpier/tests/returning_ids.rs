//! Requests whose effect must not happen twice, whose client leaves and comes again with the same id. The cache
//! server records how often it ran each.
#![allow(missing_docs)]

use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use mothpier_world::loopback::*;

/// How long the cache server takes for an answer.
const ANSWER_TIME: Duration = Duration::from_millis(150);
const RETRY_PAUSE: Duration = Duration::from_millis(20);

#[derive(Clone, Default)]
struct Runs(Arc<Mutex<HashMap<String, usize>>>);

impl Runs {
    fn of(&self, id: &str) -> usize {
        self.0.lock().unwrap().get(id).copied().unwrap_or_default()
    }

    fn add(&self, id: &str) {
        *self.0.lock().unwrap().entry(id.to_owned()).or_default() += 1;
    }

    fn wait_for_first(&self, id: &str) {
        let started = Instant::now();
        while self.of(id) == 0 {
            assert!(started.elapsed() < HUNG, "{id} did not arrive");
            thread::sleep(Duration::from_millis(1));
        }
    }
}

fn start_server(runs: &Runs) -> String {
    let runs = runs.clone();
    let server = serve(command, move |words| {
        runs.add(&words[2]);
        thread::sleep(ANSWER_TIME);
        array(&words[2])
    });
    member("s-1", server, "m", "ready")
}

fn send(client: &mut Client, class: &str, id: &str) {
    client.send(&["CACHE.GET", id, id, &format!("c={class},t=acme,d=9000")]);
}

/// When the client leaves, and for how long.
#[derive(Clone, Copy, Debug)]
enum Absence {
    /// It leaves before the answer, and comes again at once.
    Short,
    /// It leaves before the answer, and comes again after the server has answered.
    Long,
    /// It leaves once the answer has been sent, without reading it.
    AnswerUnread,
}

/// Sends a request, leaves, and returns what the same request is answered afterwards.
fn send_leave_and_send_again(node: &Node, runs: &Runs, class: &str, id: &str, absence: Absence) -> String {
    let mut leaving = node.client();
    send(&mut leaving, class, id);
    runs.wait_for_first(id);
    match absence {
        Absence::Short => drop(leaving),
        Absence::Long => {
            drop(leaving);
            thread::sleep(2 * ANSWER_TIME);
        }
        Absence::AnswerUnread => {
            thread::sleep(2 * ANSWER_TIME);
            drop(leaving);
        }
    }
    ask_until_accepted(node, class, id)
}

/// Asks again as long as that is said to be harmless.
fn ask_until_accepted(node: &Node, class: &str, id: &str) -> String {
    let mut client = node.client();
    loop {
        send(&mut client, class, id);
        let answer = client.answer();
        if !answer.starts_with("-BUSY") {
            return answer;
        }
        thread::sleep(RETRY_PAUSE);
    }
}

#[test]
fn an_unsafe_request_whose_client_left_does_not_run_again_under_its_id() {
    let runs = Runs::default();
    let node = Node::start("returning", &Discovery::start(&start_server(&runs)));
    for absence in [Absence::Short, Absence::Long, Absence::AnswerUnread] {
        let id = format!("once-{absence:?}");
        let answer = send_leave_and_send_again(&node, &runs, "once", &id, absence);
        assert_eq!((runs.of(&id), answer.starts_with("-ERR")), (1, true), "{absence:?}: {answer}");
        let id = format!("read-{absence:?}");
        let answer = send_leave_and_send_again(&node, &runs, "read", &id, absence);
        assert_eq!((runs.of(&id), answer), (2, format!("${id}")), "{absence:?}");
    }
}

/// Waits until the node has read a request beside the questions asked here, and no id is open.
fn wait_until_read_and_released(node: &Node) {
    let (mut client, started) = (node.client(), Instant::now());
    for questions in 1.. {
        let info = client.ask(&["INFO"]);
        let field = |name: &str| -> u64 {
            let value = info.lines().find_map(|line| line.strip_prefix(name)?.strip_prefix(':'));
            value.and_then(|value| value.trim().parse().ok()).unwrap()
        };
        if field("total_commands_processed") > questions && field("mothpier_open_requests") == 0 {
            return;
        }
        assert!(started.elapsed() < HUNG, "{info}");
        thread::sleep(Duration::from_millis(1));
    }
}

/// A request of which nothing was sent cannot have run.
#[test]
fn an_unsafe_request_that_never_ran_is_served_when_it_comes_again() {
    let runs = Runs::default();
    let discovery = Discovery::start(&start_server(&runs));
    let node = Node::start("returningfresh", &discovery);
    node.signal("STOP");
    let mut leaving = node.client();
    send(&mut leaving, "once", "unread");
    drop(leaving);
    thread::sleep(Duration::from_millis(50));
    node.signal("CONT");
    // Its id is open until the node has seen that the client has gone.
    wait_until_read_and_released(&node);
    assert_eq!(ask_until_accepted(&node, "once", "unread"), "$unread");
    assert_eq!(runs.of("unread"), 1);
}
