//! Real sockets: DNS goes on naming every box, whatever the list says of it. Over 200 drains and removals under traffic, no
//! box is begun anything new on more than the rule's grace after the node was told; counted at the boxes. Rounds are driven by
//! the count of answers and by the time since the node was told.

mod common;

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::BytesMut;
use common::{CLASSES, GRACE, configuration};
use mothpier::Control;
use mothpier::config::{self, Precedence, sources::Sources};
use mothpier_membership::{ServerTemplate, Settings};
use mothpier_names::{Lifetimes, Name};
use mothpier_net::{Net, Stream, Tokio};
use mothpier_world::agent::{Agent, Member};
use mothpier_world::cache_box::{CacheBox, Make};
use mothpier_world::client::{Ask, Clients, End};
use mothpier_world::dns::{DnsServer, Entry, Zone};
use mothpier_world::fleet::Fleet;
use mothpier_world::loopback::unused_address;
use mothpier_world::wire::{self, Answer};
use mothpier_world::{Dice, Seen, Warmth};
use tokio::io::AsyncWriteExt;
use tokio::sync::mpsc;

const BOXES: usize = 24;
/// Taken out in each round; the rest serves.
const OUT: usize = 16;
const ROUNDS: usize = 13;
const CLIENTS: u64 = 6;
const KEYS: u64 = 300;
const SERVICE: &str = "_profile._tcp.makati.example.org";
/// A round lasts so much longer than the grace, so that something that should not come has time to.
const LONGER: Duration = Duration::from_millis(150);

#[derive(Default)]
struct Watch {
    ends: RefCell<BTreeMap<End, u64>>,
    /// Since when the node knows that each box is out.
    out: RefCell<BTreeMap<usize, Instant>>,
    /// Commands that came to boxes which are out, within the grace and behind it.
    early: Cell<u64>,
    late: RefCell<Vec<String>>,
    wrong: RefCell<Vec<String>>,
}

impl Watch {
    fn saw(&self, seen: Seen) {
        match seen {
            Seen::Final { end, .. } => *self.ends.borrow_mut().entry(end).or_default() += 1,
            Seen::WrongValue { id, value } => self.wrong.borrow_mut().push(format!("{id}: {value:?}")),
            Seen::Command { server, id } => match self.out.borrow().get(&server).map(Instant::elapsed) {
                Some(since) if since > GRACE => {
                    self.late.borrow_mut().push(format!("{id} at {server}: {since:?}"))
                }
                Some(_) => self.early.set(self.early.get() + 1),
                None => {}
            },
            Seen::Told { members, .. } => {
                let mut out = self.out.borrow_mut();
                for (id, _, ready) in members {
                    let Some(number) = id.strip_prefix("s-").and_then(|n| n.parse().ok()) else { continue };
                    if ready {
                        out.remove(&number);
                    } else {
                        out.entry(number).or_insert_with(Instant::now);
                    }
                }
            }
            Seen::Effect { .. } => {}
        }
    }
}

async fn play() {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let watch = Rc::new(Watch::default());
    let record = watch.clone();
    let fleet = Fleet::new(Rc::new(move |seen| record.saw(seen)));
    let mut addresses = Vec::new();
    for number in 0..BOXES {
        let make = Make {
            number,
            slots: 8,
            queue: 256,
            work: Duration::from_micros(300),
            warmth: Warmth { from: 1.0, since: None, span: Duration::from_secs(1) },
            idle: Duration::from_secs(60),
            chance: 0.5,
            cluster: None,
            through: true,
            large: 0,
        };
        let made = CacheBox::new(Tokio, fleet.clone(), make, number as u64);
        (0..KEYS).for_each(|k| made.store(&format!("k{k}")));
        fleet.runs(number, made.clone());
        addresses.push(made.serve(any).await.unwrap());
    }
    let entries = addresses.iter().enumerate();
    let entries = entries.map(|(n, at)| Entry { host: format!("pb{n}.example.org"), at: *at, rank: (0, 1) });
    let zone = Rc::new(Zone {
        service: SERVICE.into(),
        entries: RefCell::new(entries.collect()),
        ttl: Cell::new(1),
        beside: Cell::new(true),
    });
    let dns = DnsServer::new(Tokio, zone, 1);
    let asked_at = dns.clone().serve(any).await.unwrap();
    let member = |number: usize, phase| Member {
        id: format!("s-{number}"),
        address: addresses[number],
        kind: "m",
        phase,
        up_since_ms: 0,
    };
    let members: Vec<Member> = (0..BOXES).map(|n| member(n, "ready")).collect();
    let agent = Agent::new(Tokio, fleet.clone(), 0, &members);
    let discovery = agent.clone().serve(any).await.unwrap();
    let listen = unused_address();
    let text = configuration(listen, discovery);
    let mut config = config::parse(text.as_bytes(), &|_| None, Precedence::Environment).unwrap();
    config.sources = Some(Sources {
        membership: Settings {
            template: ServerTemplate { locality: "a".into(), flavor: "m".into(), cell: 0 },
            ..Settings::default()
        },
        dns: Some(mothpier_names::Settings {
            service: Name::from_ascii(format!("{SERVICE}.")).unwrap(),
            servers: vec![asked_at],
            nodes: 1,
            tier_per_s: 50.0,
            burst: 16.0,
            lifetimes: Lifetimes { floor: 50, ceiling: 200, ..Lifetimes::default() },
            timeout_ms: 2_000,
            ipv6: false,
            networks: vec!["127.0.0.0/8".parse().unwrap()],
        }),
    });
    let (control, told) = mpsc::channel(4);
    let node = Rc::new(RefCell::new(None));
    let ended = node.clone();
    Tokio.spawn(async move { *ended.borrow_mut() = Some(mothpier::run(Tokio, config, told).await) });
    while Tokio.connect(listen).await.is_err() {
        Tokio.yield_now().await;
    }

    let stop = Rc::new(Cell::new(false));
    let (done, mut answered) = mpsc::unbounded_channel();
    for n in 0..CLIENTS {
        let client = Clients::new(Tokio, fleet.clone(), n, 3);
        client.grace.set(Duration::from_secs(30));
        let (dice, done, stop) = (Dice::new(n), done.clone(), stop.clone());
        Tokio.spawn(async move {
            while !stop.get() {
                let class = dice.within(0, 3) as usize;
                let ask = Ask {
                    class: CLASSES[class].0,
                    tenant: "acme",
                    key: format!("k{}", dice.within(0, KEYS)),
                    write: class > 0,
                    token: (class == 2).then(|| format!("t{n}-{}", dice.within(0, 1 << 60))),
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
    let mut taken_out = 0;
    for round in 0..ROUNDS {
        let out: Vec<usize> = (0..OUT).map(|n| (round * 5 + n) % BOXES).collect();
        // Every second round they are gone, by the list's word; they run on all the same, and DNS has them.
        let phase = if round % 2 == 0 { "draining" } else { "gone" };
        out.iter().for_each(|n| agent.change(member(*n, phase)));
        let over = || {
            let known = watch.out.borrow();
            out.iter().all(|n| known.get(n).is_some_and(|since| since.elapsed() > GRACE + LONGER))
        };
        while !over() {
            answered.recv().await.expect("clients go on");
        }
        taken_out += out.len();
        if phase == "gone" {
            let text = info(listen).await;
            let said = |what: &str| text.lines().filter(|l| l.ends_with(what)).count();
            assert_eq!((said(",gone,taken-away"), said(",ready,list")), (OUT, BOXES - OUT), "{text}");
            assert!(text.contains("source_list:in-reach,boxes=8\r\nsource_dns:"), "{text}");
        }
        out.iter().for_each(|n| agent.change(member(*n, "ready")));
        while !watch.out.borrow().is_empty() {
            answered.recv().await.expect("clients go on");
        }
    }
    stop.set(true);
    while answered.recv().await.is_some() {}

    let (ends, questions) = (watch.ends.borrow().clone(), dns.asked.borrow().questions);
    println!(
        "{taken_out} drains and removals, {ends:?}, {questions} questions to DNS, {} within the grace",
        watch.early.get()
    );
    assert!(taken_out >= 200);
    assert_eq!(*watch.late.borrow(), Vec::<String>::new());
    assert_eq!(*watch.wrong.borrow(), Vec::<String>::new());
    let of = |end: End| ends.get(&end).copied().unwrap_or(0);
    assert_eq!(of(End::TimedOut) + of(End::Cut) + of(End::Left), 0, "lost: {ends:?}");
    let all: u64 = ends.values().sum();
    assert!(of(End::Served) * 100 > all * 99, "too few are served: {ends:?}");
    // It was asked all the time, a few times in each round.
    assert!(questions > 2 * ROUNDS as u64, "{questions}");
    assert!(node.borrow().is_none(), "the node ended: {:?}", node.borrow());
    control.send(Control::Stop).await.unwrap();
}

/// What the node says of its sources.
async fn info(node: SocketAddr) -> String {
    let (reading, mut writing) = Tokio.connect(node).await.unwrap().split();
    writing.write_all(&wire::encode(&["INFO", "sources"])).await.unwrap();
    let mut buffer = BytesMut::new();
    loop {
        if let Some(Answer::Value(text)) = wire::answer(&mut buffer).unwrap() {
            return text;
        }
        assert!(wire::read_more(&reading, &mut buffer).await.unwrap(), "the node closes");
    }
}

#[test]
fn what_the_list_takes_out_stays_out_though_dns_names_it() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    tokio::task::LocalSet::new().block_on(&runtime, play());
}
