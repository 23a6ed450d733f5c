//! A new process of a cache server or origin comes up at the address of one that has gone, under another id: nothing
//! unsafe runs twice, every answer belongs to its request, and what was sent for the old id is not taken for the new.
#![allow(missing_docs)]

use std::collections::HashMap;
use std::io::{BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use mothpier_world::loopback::*;

/// How long a server takes for an answer.
const ANSWER_TIME: Duration = Duration::from_millis(5);
/// The time between two steps of a replacement, longer than the settings' grace of a drain.
const STEP: Duration = Duration::from_millis(700);
const CLIENTS: usize = 6;

/// What a process ran: the request ids, in order.
type Runs = Arc<Mutex<Vec<String>>>;

#[derive(Clone, Copy, Debug, PartialEq)]
enum Role {
    Cache,
    Origin,
}

/// A process of a server, until it is killed.
struct Process {
    address: SocketAddr,
    runs: Runs,
    killed: Arc<AtomicBool>,
    connections: Arc<Mutex<Vec<TcpStream>>>,
}

impl Process {
    fn start(role: Role, address: SocketAddr) -> Self {
        let listener = TcpListener::bind(address).unwrap();
        let address = listener.local_addr().unwrap();
        let (runs, killed, connections) =
            (Runs::default(), Arc::new(AtomicBool::new(false)), Arc::<Mutex<Vec<TcpStream>>>::default());
        let (record, stop, accepted) = (runs.clone(), killed.clone(), connections.clone());
        thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                if stop.load(Ordering::SeqCst) {
                    return;
                }
                accepted.lock().unwrap().push(stream.try_clone().unwrap());
                let record = record.clone();
                thread::spawn(move || run(role, stream, &record));
            }
        });
        Process { address, runs, killed, connections }
    }

    /// Ends the process: its connections are reset or closed, and nothing listens any more.
    fn kill(&self) {
        self.killed.store(true, Ordering::SeqCst);
        // Wakes the thread that accepts, which then drops the listener.
        drop(TcpStream::connect(self.address));
        for stream in self.connections.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }
}

fn run(role: Role, mut stream: TcpStream, record: &Runs) {
    let mut reader = BufReader::new(stream.try_clone().unwrap());
    loop {
        let request = match role {
            Role::Cache => command(&mut reader),
            Role::Origin => call(&mut reader),
        };
        let Some(words) = request else { return };
        let id = match role {
            Role::Cache => words[2].clone(),
            Role::Origin => words.iter().find_map(|l| l.strip_prefix("x-request-id: ")).unwrap().to_owned(),
        };
        record.lock().unwrap().push(id.clone());
        thread::sleep(ANSWER_TIME);
        let answer = match role {
            Role::Cache => array(&id),
            Role::Origin => http("200 OK", &id),
        };
        let Reaction::Answer(bytes) = answer else { return };
        if stream.write_all(&bytes).is_err() {
            return;
        }
    }
}

/// Sends unsafe requests one by one until told to stop. Returns the answers that belong to no request.
fn ask(address: SocketAddr, number: usize, stop: &AtomicBool) -> (usize, Vec<String>) {
    let (mut client, mut served, mut wrong) = (Client::connect(address), 0, Vec::new());
    for request in 0.. {
        if stop.load(Ordering::SeqCst) {
            break;
        }
        let id = format!("c{number}n{request}");
        let sent =
            client.try_send(&["CACHE.GET", &format!("k{}", request % 40), &id, "c=once,t=acme,d=2000"]);
        match client.answer() {
            answer if answer == format!("${id}") => served += 1,
            answer if answer.starts_with('-') => thread::sleep(Duration::from_millis(2)),
            answer if answer == "end" => client = Client::connect(address),
            answer => wrong.push(format!("{id}: {answer}, sent: {sent}")),
        }
    }
    (served, wrong)
}

/// The order of the steps of a replacement.
#[derive(Clone, Copy, Debug)]
enum Order {
    /// The old process ends, the new one starts, and then the list tells.
    ListLast,
    /// The list tells, and then the old process ends and the new one starts.
    ListFirst,
}

fn replace(role: Role, order: Order) {
    let name = format!("replaced{role:?}{order:?}");
    let kind = if role == Role::Cache { "m" } else { "origin" };
    let free = SocketAddr::from(([127, 0, 0, 1], 0));
    let old = Process::start(role, free);
    // At the origin every request is a miss at the other server before.
    let other = match role {
        Role::Cache => member("s-9", Process::start(role, free).address, "m", "ready"),
        Role::Origin => member("s-9", serve(command, |_| steady(miss())), "m", "ready"),
    };
    let list = |id: &str| format!("{other},{}", member(id, old.address, kind, "ready"));
    let discovery = Discovery::start(&list("x-1"));
    let command = node_command(&name, discovery.address, 1024, "");
    lift_quota(&name);
    let node = Node::run(command, &discovery);
    let (stop, address) = (AtomicBool::new(false), node.address);
    let (mut served, mut wrong, mut after_list) = (0, Vec::new(), 0);
    let mut new = None;
    thread::scope(|scope| {
        let clients: Vec<_> = (0..CLIENTS)
            .map(|number| {
                scope.spawn({
                    let stop = &stop;
                    move || ask(address, number, stop)
                })
            })
            .collect();
        thread::sleep(STEP);
        let replace_process = || {
            old.kill();
            thread::sleep(Duration::from_millis(20));
            Process::start(role, old.address)
        };
        match order {
            Order::ListLast => {
                new = Some(replace_process());
                thread::sleep(STEP);
                discovery.change(2, &list("x-2"));
                thread::sleep(STEP);
            }
            Order::ListFirst => {
                discovery.change(2, &list("x-2"));
                thread::sleep(STEP);
                new = Some(replace_process());
                after_list = old.runs.lock().unwrap().len();
                thread::sleep(STEP);
            }
        }
        stop.store(true, Ordering::SeqCst);
        for client in clients {
            let (client_served, client_wrong) = client.join().unwrap();
            served += client_served;
            wrong.extend(client_wrong);
        }
    });
    let new = new.unwrap();
    let (old_runs, new_runs) = (old.runs.lock().unwrap(), new.runs.lock().unwrap());
    let mut counts: HashMap<&String, usize> = HashMap::new();
    old_runs.iter().chain(new_runs.iter()).for_each(|id| *counts.entry(id).or_default() += 1);
    let twice: Vec<_> = counts.iter().filter(|(_, count)| **count > 1).collect();
    println!(
        "{name}: {served} served, {} ran at the old process, {} at the new one",
        old_runs.len(),
        new_runs.len()
    );
    assert!(wrong.is_empty(), "{name}: {wrong:?}");
    assert!(twice.is_empty(), "{name}: ran twice: {twice:?}");
    assert!(served > 100 && !old_runs.is_empty() && !new_runs.is_empty(), "{name}");
    if matches!(order, Order::ListFirst) {
        assert_eq!(old_runs.len(), after_list, "{name}: the process that had gone ran requests");
    }
}

#[test]
fn a_new_process_at_the_address_of_one_that_has_gone_is_not_taken_for_it() {
    for role in [Role::Cache, Role::Origin] {
        for order in [Order::ListLast, Order::ListFirst] {
            replace(role, order);
        }
    }
}
