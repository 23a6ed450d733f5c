//! Real sockets: three boxes of a cluster that take writes themselves pass their slots about under steady traffic, with
//! resets and a drain among it. Every item is answered exactly once, and no unsafe write runs twice, counted at the
//! boxes. What happens is driven by the count of answers, not by a clock.

mod common;

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use common::{CLASSES, GRACE, configuration};
use mothpier::Control;
use mothpier::config::{self, Precedence, RefreshBudget, ServerPoolConfig};
use mothpier_net::{Net, Tokio};
use mothpier_world::agent::{Agent, Member};
use mothpier_world::cache_box::{CacheBox, Make, Spoil};
use mothpier_world::client::{Ask, Clients, End};
use mothpier_world::cluster::{Cluster, SLOTS};
use mothpier_world::fleet::Fleet;
use mothpier_world::loopback::unused_address;
use mothpier_world::{Dice, Seen, Warmth};
use tokio::sync::mpsc;

/// Changes of slots' owners.
const RESHUFFLES: usize = 220;
/// Requests of each client between two of them.
const BETWEEN: usize = 2;
const CLIENTS: u64 = 6;
const KEYS: u64 = 300;
#[derive(Default)]
struct Watch {
    ends: RefCell<BTreeMap<End, u64>>,
    refused: RefCell<BTreeSet<String>>,
    effects: RefCell<BTreeMap<String, u32>>,
    tokens: RefCell<BTreeMap<String, u32>>,
    wrong: RefCell<Vec<String>>,
    /// Since when each box drains.
    draining: RefCell<BTreeMap<usize, Instant>>,
}

impl Watch {
    fn saw(&self, seen: Seen) {
        match seen {
            Seen::Final { id, end, .. } => {
                *self.ends.borrow_mut().entry(end).or_default() += 1;
                if end == End::Busy {
                    self.refused.borrow_mut().insert(id);
                }
            }
            Seen::Effect { id, token, .. } => {
                *self.effects.borrow_mut().entry(id).or_default() += 1;
                if let Some(token) = token {
                    *self.tokens.borrow_mut().entry(token).or_default() += 1;
                }
            }
            Seen::WrongValue { id, value } => {
                self.wrong.borrow_mut().push(format!("{id} was served with {value:?}"));
            }
            Seen::Command { server, id } => {
                if self.draining.borrow().get(&server).is_some_and(|since| since.elapsed() > GRACE) {
                    self.wrong.borrow_mut().push(format!("{id} came to box {server}, which drains"));
                }
            }
            Seen::Told { members, .. } => {
                for (id, _, ready) in members {
                    let Some(number) = id.strip_prefix("s-").and_then(|n| n.parse().ok()) else { continue };
                    let mut draining = self.draining.borrow_mut();
                    if ready {
                        draining.remove(&number);
                    } else {
                        draining.entry(number).or_insert_with(Instant::now);
                    }
                }
            }
        }
    }
}

async fn play() {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let watch = Rc::new(Watch::default());
    let record = watch.clone();
    let fleet = Fleet::new(Rc::new(move |seen| record.saw(seen)));
    // Ports of their own for the boxes: the cluster names them before they listen.
    let addresses = [(); 3].map(|()| unused_address());
    let cluster = Cluster::new(&addresses, Duration::from_secs(60), 5);
    let mut boxes = Vec::new();
    for (number, at) in addresses.iter().enumerate() {
        let make = Make {
            number,
            slots: 8,
            queue: 256,
            work: Duration::from_micros(300),
            warmth: Warmth { from: 1.0, since: None, span: Duration::from_secs(1) },
            idle: Duration::from_secs(60),
            chance: 0.5,
            cluster: Some(cluster.clone()),
            through: true,
            large: 0,
        };
        let made = CacheBox::new(Tokio, fleet.clone(), make, number as u64);
        (0..KEYS).for_each(|k| made.store(&format!("k{k}")));
        fleet.runs(number, made.clone());
        made.clone().serve(*at).await.unwrap();
        boxes.push(made);
    }
    let member = |number: usize, phase| Member {
        id: format!("s-{number}"),
        address: addresses[number],
        kind: "m",
        phase,
        up_since_ms: 0,
    };
    let members: Vec<Member> = (0..3).map(|n| member(n, "ready")).collect();
    let agent = Agent::new(Tokio, fleet.clone(), 0, &members);
    let discovery = agent.clone().serve(any).await.unwrap();
    let listen = unused_address();
    let text = configuration(listen, discovery);
    let mut config = config::parse(text.as_bytes(), &|_| None, Precedence::Environment).unwrap();
    let budget = RefreshBudget { tier_per_s: 30.0, ..RefreshBudget::default() };
    config.server_pool = Some(ServerPoolConfig { read_copies: false, budget, wait: Duration::from_secs(5) });
    let (control, told) = mpsc::channel(4);
    let node = Rc::new(RefCell::new(None));
    let ended = node.clone();
    Tokio.spawn(async move { *ended.borrow_mut() = Some(mothpier::run(Tokio, config, told).await) });
    while Tokio.connect(listen).await.is_err() {
        Tokio.yield_now().await;
    }

    let dice = Dice::new(11);
    let step = {
        let (cluster, agent, boxes, dice) = (cluster.clone(), agent.clone(), boxes.clone(), dice.clone());
        move |number: usize| {
            let first = dice.within(0, u64::from(SLOTS)) as u16;
            let last = first.saturating_add(dice.within(100, 6_000) as u16).min(SLOTS - 1);
            match number % 3 {
                // Some slots set out, and come there with one of the next changes.
                0 => (first..=last).for_each(|slot| cluster.migrate(slot, number % 7 % 3)),
                _ => cluster.assign(first..=last, dice.within(0, 3) as usize),
            }
            if number % 2 == 1 {
                cluster.gossip();
            }
            // Faults for a while each, at a box in turn.
            let box_ = &boxes[number / 20 % 3];
            match number % 20 {
                5 => box_.spoil.set(Some((Spoil::ResetAfter, 0.3))),
                9 => box_.spoil.set(Some((Spoil::ResetBefore, 0.3))),
                13 => box_.spoil.set(None),
                _ => {}
            }
            match number {
                100 => agent.change(member(1, "draining")),
                140 => agent.change(member(1, "ready")),
                _ => {}
            }
        }
    };
    let clients: Vec<Rc<Clients<Tokio>>> =
        (0..CLIENTS).map(|n| Clients::new(Tokio, fleet.clone(), n, 3)).collect();
    clients.iter().for_each(|c| c.grace.set(Duration::from_secs(30)));
    let (done, mut answered) = mpsc::unbounded_channel();
    let asked = Rc::new(Cell::new(0u64));
    for client in clients {
        let (dice, done, asked) = (dice.clone(), done.clone(), asked.clone());
        Tokio.spawn(async move {
            for _ in 0..RESHUFFLES * BETWEEN {
                let class = dice.within(0, 3) as usize;
                let serial = asked.replace(asked.get() + 1);
                let ask = Ask {
                    class: CLASSES[class].0,
                    tenant: "acme",
                    key: format!("k{}", dice.within(0, KEYS)),
                    write: class > 0,
                    token: (class == 2).then(|| format!("t{serial}")),
                    wait: Duration::from_secs(25),
                    retries: 0,
                    leaves_after: None,
                };
                client.ask(&|| listen, ask).await;
                let _ = done.send(());
            }
        });
    }
    drop(done);
    let (mut answers, mut reshuffles) = (0, 0);
    while answered.recv().await.is_some() {
        answers += 1;
        if answers % (BETWEEN * CLIENTS as usize) == 0 {
            step(reshuffles);
            reshuffles += 1;
        }
    }

    let ends = watch.ends.borrow().clone();
    let counts = cluster.counts.get();
    println!("{answers} requests, {reshuffles} reshuffles: {ends:?}, {counts:?}");
    assert!(reshuffles >= 200 && counts.moved > 200 && counts.asked > 20, "{counts:?}");
    assert_eq!(answers as u64, asked.get());
    let of = |end: End| ends.get(&end).copied().unwrap_or(0);
    // One answer each: none lost, and a second one would have been taken for the next request's.
    assert_eq!(of(End::TimedOut) + of(End::Cut) + of(End::Left), 0, "lost: {ends:?}");
    assert_eq!(of(End::Served) + of(End::Busy) + of(End::Failed), asked.get());
    assert!(of(End::Served) * 10 > asked.get() * 8, "too few are served: {ends:?}");
    assert_eq!(*watch.wrong.borrow(), Vec::<String>::new());
    let effects = watch.effects.borrow().clone();
    assert!(effects.values().all(|n| *n == 1), "a write ran twice");
    assert!(watch.tokens.borrow().values().all(|n| *n == 1), "a keyed write took effect twice");
    let refused = watch.refused.borrow().clone();
    assert!(refused.iter().all(|id| !effects.contains_key(id)), "refused, and ran all the same");
    assert!(node.borrow().is_none(), "the node ended: {:?}", node.borrow());
    control.send(Control::Stop).await.unwrap();
}

#[test]
fn slots_that_are_passed_about_lose_nothing_and_run_nothing_twice() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    tokio::task::LocalSet::new().block_on(&runtime, play());
}
