//! The node as a library: the network code round the decisions of `brassrouter`, over any [`Net`].
//!
//! Arrows point one way: `clients`, `servers`, `origin`, `discovery`, `names` and `peers` know `messages` and not each
//! other; `node` owns the decision module and drives them; [`run`] puts all together.

mod accept_failure;
mod admin_listener;
mod binding;
mod cancellation;
mod clients;
mod clock;
pub mod config;
mod descriptors;
mod discovery;
mod drains;
mod event_log;
mod guards;
mod handover;
mod handover_store;
mod http;
mod lease_authority;
mod membership;
mod messages;
mod metrics;
mod mutations;
mod names;
mod node;
mod operations;
mod origin;
mod peers;
mod phase;
mod process_handover;
mod resp;
mod retry_open;
mod servers;
mod slot_map_fetcher;
mod start_times;
mod time_budget;
mod write_gate;

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use crate::lease_authority::LeaseAuthority;
use brassrouter::Micros;
use mothpier_net::{Listener, Net};
use mothpier_slots::{Pool, Tier};
use tokio::sync::{Semaphore, mpsc, oneshot, watch};

use clients::Clients;
use clock::Clock;
use config::{Config, Listen};
use descriptors::Descriptors;
use event_log::EventLog;
pub use handover::ProcessStatus;
pub use handover_store::{DirectoryStore, HandoverStore};
use metrics::Metrics;
use node::{Node, Parts};
use operations::Operations;
pub use operations::{Call, Reply};
use phase::ServingPhase;
use process_handover::{ProcessHandover, Share};

pub use messages::ResourceCounts;
#[cfg(feature = "plants")]
pub use mutations::activate_mutation;
pub use mutations::{Mutation, mutation_active};

/// Inputs that wait for the node; who brings more waits in turn.
const QUEUE: usize = 1024;
/// After SIGTERM new connections come for 0.4 s at most; this much longer they are still taken.
const KEEP_ACCEPTING: Duration = Duration::from_millis(600);
/// After SIGTERM a process is killed no sooner than the longest deadline, but then after so long, and 0.7 s more.
const LONGEST_GRACE: Duration = Duration::from_secs(3);
/// The last answers come so long before the end, which they must not cross.
const FLUSH: Duration = Duration::from_millis(50);
/// A restarted node is used even when discovery is silent, with the list it last had.
const WITHOUT_DISCOVERY: Duration = Duration::from_secs(1);
/// How often the tier is looked at; it tells the others less often.
const TIER_LOOK: Duration = Duration::from_millis(100);
/// Findings of the checks that are logged at the start; the checker tells all.
const MOST_WARNINGS: usize = 8;
/// Part of the memory for large values that others wait behind.
const HELD: usize = 8;
/// Orders of staff that wait for the node.
const ORDERS: usize = 16;

/// What a running node is told from outside.
pub enum Control {
    /// SIGTERM: take no more, end what was taken, and return.
    Stop,
    /// SIGHUP: the configuration read anew, or why it can't be.
    Reload(Result<Box<Config>, String>),
    /// A call of the operators' staff.
    Call(Call, oneshot::Sender<Reply>),
    /// Tell how much is kept.
    ResourceCounts(oneshot::Sender<ResourceCounts>),
}

/// Runs a node until it is told to stop; the error is one plain line.
///
/// # Errors
///
/// An address that can't be opened, or an end of the node that nobody asked for.
pub async fn run<N: Net>(net: N, config: Config, mut control: mpsc::Receiver<Control>) -> Result<(), String> {
    let descriptors = Descriptors::of(&config)?;
    let clock = Clock::start(net.clone());
    let (events, inputs) = mpsc::channel(QUEUE);
    let site = config.site;
    let way = match site.policy.pull_discovery {
        true => discovery::DiscoveryMode::Service,
        false => discovery::DiscoveryMode::Agent { grace: Duration::from_micros(site.drain_grace) },
    };
    let idle_close = Duration::from_micros(site.idle_close);
    let connect_timeout = Duration::from_micros(site.policy.connect_timeout);
    let figures = Rc::new(Metrics::new(&site.classes).map_err(|e| format!("cannot count: {e}"))?);
    let share = Rc::new(Share::default());
    let event_log = Rc::new(EventLog::new(config.events));
    let limits = servers::Limits {
        balancers: site.policy.balancers as usize,
        // A request that may have one attempt out must close the connection of one given up, so that no other
        // may be on it.
        multiplex: if site.policy.may_duplicate { site.multiplex } else { 1 },
        idle_close,
        connect_timeout,
        descriptors: descriptors.servers,
        read_copies: config.boxes.as_ref().is_some_and(|b| b.read_copies),
        tier: config.sidecar.as_ref().is_some_and(|s| s.tier),
        figures: figures.clone(),
        share: share.clone(),
        held: Arc::new(Semaphore::new(config.memory / HELD / 1024)),
    };
    config.warnings.iter().take(MOST_WARNINGS).for_each(|line| net.log(line));
    let me = site.policy.own_index as usize;
    let telling = config.peer_listen.is_some() && site.policy.may_message_peers;
    let tier = match config.cluster {
        Some(nodes) => {
            let tier = Tier::new(nodes, me, telling, net.unix_time().as_millis() as u64);
            Some(Rc::new(RefCell::new(tier.map_err(|e| format!("the cluster's nodes: {e}"))?)))
        }
        None => None,
    };
    let peers = match config.peer_listen.filter(|_| site.policy.may_message_peers) {
        Some(listen) => {
            let opened = peers::Peers::open(
                &net,
                (listen, config.inherited.is_some()),
                config.peers,
                config.peers_all,
                tier.clone(),
                events.clone(),
            )
            .await;
            opened.map(|peers| Some(Rc::new(peers))).map_err(|e| format!("cannot open {listen}: {e}"))?
        }
        None => None,
    };
    let tell_tier = {
        let (net, tier, peers) = (net.clone(), tier.clone(), peers.clone());
        move || {
            let (Some(tier), Some(peers)) = (&tier, &peers) else { return };
            let message = tier.borrow_mut().tick(net.unix_time().as_millis() as u64);
            if let Some(message) = message {
                peers.tell_all(me, &message);
            }
        }
    };
    if tier.is_some() && peers.is_some() {
        let (net, tell) = (net.clone(), tell_tier.clone());
        let looking = net.clone();
        net.spawn(async move {
            loop {
                tell();
                looking.sleep(TIER_LOOK).await;
            }
        });
    }
    let watched = messages::DiscoveryRequest { watch: !site.policy.pull_discovery, calls: 0 };
    let (wanted, wishes) = watch::channel(watched);
    let phase = Rc::new(ServingPhase::default());
    let cluster = config.boxes.map(|boxes| {
        let budget = mothpier_slots::refresh::Budget { nodes: limits.balancers, ..boxes.budget };
        let asker = slot_map_fetcher::SlotMapFetcher::new(net.clone(), boxes.wait, events.clone());
        (Pool::new(boxes.read_copies, budget, config.seed, clock.now() / 1000), asker)
    });
    let membership = config.sources.as_ref().map(|sources| {
        membership::Membership::new(sources.membership.clone(), config.seed, clock.now() / 1000)
    });
    let parts = Parts {
        cluster,
        membership: membership.clone(),
        servers: servers::Servers::new(net.clone(), limits, events.clone()),
        origins: origin::Origins::new(
            net.clone(),
            idle_close,
            connect_timeout,
            descriptors.origins,
            figures.clone(),
            events.clone(),
        ),
        peers,
        wanted,
        phase: phase.clone(),
        figures: figures.clone(),
        event_log: event_log.clone(),
    };
    let revision = config.known.as_ref().map(|l| l.revision);
    let inherits = config.inherited.is_some();
    let listener = match (config.inherited, &config.listen) {
        (Some(inherited), _) => net.adopt_listener(inherited),
        (None, Listen::Address(address)) => {
            retry_open::retry_open(&net, async || net.listen(*address).await).await
        }
        (None, Listen::Unix(place)) => {
            retry_open::retry_open(&net, async || net.listen_unix(place).await).await
        }
    };
    let listener = listener.map_err(|e| format!("cannot listen on {}: {e}", config.listen))?;
    let operator = config.operator;
    let door = match operator {
        Some(at) => {
            let door = retry_open::retry_open(&net, async || net.listen(at).await)
                .await
                .map_err(|e| format!("cannot listen on {at} for operators: {e}"))?;
            net.log(format_args!("operators are answered on {}", door.local_addr().unwrap_or(at)));
            Some(door)
        }
        None => None,
    };
    // A port that the machine chose is known only now.
    let listening = listener.local_addr().map_or(config.listen, Listen::Address);
    let longest: Micros = site.policy.classes.iter().map(|c| c.deadline).max().unwrap_or_default();
    let connections = config.sidecar.as_ref().and_then(|s| s.connections).unwrap_or(usize::MAX);
    let bounds = (descriptors.clients.min(connections), config.memory / 2);
    let now = clock.clone();
    let clients = Clients::new(
        net.clone(),
        site.clone(),
        Box::new(move || now.now()),
        clients::State {
            phase: phase.clone(),
            figures: figures.clone(),
            share: share.clone(),
            event_log,
            tier: tier.clone(),
            membership: membership.clone(),
            binding: config.sidecar.map(|s| s.binding),
        },
        bounds,
        events.clone(),
    );
    if let Some(dns) = config.sources.and_then(|sources| sources.dns) {
        net.spawn(names::run(net.clone(), dns, clock.clone(), events.clone()));
    }
    let node = Node::new(net.clone(), site, config.seed, clock, parts);
    // Dropped with their tasks: whoever waits for the other end learns that they have ended, however.
    let (lives, mut node_ended) = oneshot::channel::<()>();
    let (orders, ordered) = mpsc::channel(ORDERS);
    let succession =
        config.shelf.map(|shelf| Rc::new(ProcessHandover::open(&net, shelf, &config.name, config.sockets)));
    // What the process before held is newer than what the platform wrote down.
    let known = succession.as_ref().and_then(|s| s.list()).or(config.known);
    net.spawn(async move {
        let _lives = lives;
        node.run(known, inputs, ordered).await;
    });
    // Without a list the servers that the file names are all that there are.
    let discovery = config.discovery.map(|at| {
        let (discovery, addresses) = watch::channel(at);
        net.spawn(discovery::run(net.clone(), addresses, way, revision, wishes, events.clone()));
        discovery
    });
    if discovery.is_none() {
        phase.listed();
    }
    let (accepts, accepting) = oneshot::channel::<()>();
    let (accept, listed) = (clients.clone().accept(listener), phase.clone());
    net.spawn(async move {
        let _accepts = accepts;
        tokio::select! {
            biased;
            // Beside another process nobody is let in before this one could serve as well.
            () = listed.until_listed(), if inherits => {}
            // What it does not know to be out it would send to: whoever does not ask first whether it is ready waits.
            () = listed.until_told(), if !inherits => {}
            // It ends before anybody was let in: nothing is owed.
            () = listed.until_shut() => return,
        }
        accept.await;
    });
    let (later, without) = (net.clone(), phase.clone());
    net.spawn(async move {
        later.sleep(WITHOUT_DISCOVERY).await;
        without.listed();
    });
    let coordination = config.coordination;
    let obeying = match coordination.clone() {
        Some(told) => Some(LeaseAuthority::new(net.clone(), told, succession.clone())?),
        None => None,
    };
    let operations = Rc::new(Operations {
        net: net.clone(),
        phase: phase.clone(),
        figures,
        clients: clients.clone(),
        orders,
        succession: succession.clone(),
        obeying: obeying.clone(),
    });
    if let Some(obeying) = obeying {
        net.spawn(obeying.run());
    }
    if let Some((told, settings)) = coordination.and_then(|told| Some((told.clone(), told.fleet?))) {
        let drains = drains::Drains::new(operations.clone(), &told, settings, &config.name)?;
        phase.waits_for_fleet();
        net.spawn(drains.run());
    }
    if let Some(succession) = &succession {
        net.spawn(process_handover::run(operations.clone(), succession.clone(), share));
    }
    if let Some(door) = door {
        net.spawn(admin_listener::run(operations.clone(), door));
    }
    net.log(format_args!("{} listens on {listening}", config.name));
    loop {
        tokio::select! {
            biased;
            told = control.recv() => match told {
                Some(Control::Stop) | None => break,
                Some(Control::Reload(read)) => {
                    if read.as_ref().is_ok_and(|told| told.operator != operator) {
                        net.log("configuration read again: where operators call is fixed at the start");
                    }
                    reload(&net, discovery.as_ref(), read);
                }
                Some(Control::Call(call, tell)) => {
                    let done = operations.clone().call(call, None);
                    net.spawn(async move {
                        let _ = tell.send(done.await);
                    });
                }
                Some(Control::ResourceCounts(asked)) => census(&clients, &events, asked).await,
            },
            _ = &mut node_ended => return Err("the node ended by itself".into()),
        }
    }
    net.log("stopping");
    phase.stop();
    if let Some(tier) = &tier {
        // Its slots go to others before its connections do.
        tier.borrow_mut().stop();
        tell_tier();
    }
    let kill = net.now() + Duration::from_micros(longest).min(LONGEST_GRACE) + KEEP_ACCEPTING;
    // What is read up to the cut may have longer than that, and so may a class.
    let _ = events.send(messages::NodeInput::AnswerDeadline(kill - FLUSH)).await;
    // Where another process serves at the same socket, what waits there is left to it.
    let left = succession.as_ref().is_some_and(|s| s.accompanied());
    if !left {
        net.sleep(KEEP_ACCEPTING).await;
    }
    phase.shut(net.now(), left);
    let all_closed = async {
        // Who waits at the limit is let in as others close.
        let _ = accepting.await;
        while clients.count() > 0 && !mutation_active(Mutation::HastyStop) {
            clients.one_closed().await;
        }
    };
    if net.timeout_at(kill, all_closed).await.is_none() {
        net.log(format_args!("{} client connections still open at the end", clients.count()));
    }
    Ok(())
}

/// Goes over to the discovery that the configuration, read again, names. All else is fixed at the start. A file that
/// can't be read must not cost the node what it has.
fn reload<N: Net>(net: &N, discovery: Option<&watch::Sender<SocketAddr>>, read: Result<Box<Config>, String>) {
    match read {
        Ok(config) => {
            let (Some(discovery), Some(told)) = (discovery, config.discovery) else {
                return net.log("configuration read again: whether there is a list is fixed at the start");
            };
            let to = if mutation_active(Mutation::ReloadForgotten) { *discovery.borrow() } else { told };
            let moved = discovery.send_if_modified(|a| std::mem::replace(a, to) != to);
            let what = if moved { "now" } else { "still" };
            net.log(format_args!("configuration read again: discovery is {what} at {told}"));
        }
        Err(e) => net.log(format_args!("the configuration stays as it was: {e}")),
    }
}

/// Asks the node how much it keeps and adds what only the clients know.
async fn census<N: Net>(
    clients: &Clients<N>,
    events: &mpsc::Sender<messages::NodeInput>,
    asked: oneshot::Sender<ResourceCounts>,
) {
    let (tell, told) = oneshot::channel();
    let _ = events.send(messages::NodeInput::ResourceCounts(tell)).await;
    if let Ok(census) = told.await {
        let _ = asked.send(ResourceCounts { ids: clients.ids(), clients: clients.count(), ..census });
    }
}
