//! The node as a library: the network code around the policy of `brassrouter`, generic over [`Net`].
//!
//! Dependencies are one-way: `clients`, `servers`, `origin`, `discovery`, `dns` and `peers` depend on
//! `messages` but not on each other; `node` owns the policy and drives them; [`run`] wires everything
//! together.

mod accept_failure;
mod admin_listener;
mod binding;
mod cancellation;
mod clients;
mod clock;
pub mod config;
mod descriptors;
mod discovery;
mod dns;
mod drains;
mod event_log;
mod guards;
mod handover;
mod handover_store;
mod http;
mod id_table;
mod lease_authority;
mod loop_delay;
mod membership;
mod memory;
mod messages;
mod metrics;
mod mutations;
mod node;
mod operations;
mod origin;
mod peers;
mod phase;
mod process_handover;
mod request_ids;
mod resp;
mod retry_open;
mod segments;
mod servers;
mod slot_map_fetcher;
mod start_times;
mod streamed_value;
mod time_budget;
mod write_gate;

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use crate::lease_authority::LeaseAuthority;
use brassrouter::Micros;
use mothpier_net::{Listener, Net};
use mothpier_slots::{Pool, Tier};
use tokio::sync::{mpsc, oneshot, watch};

use clients::Clients;
use clock::Clock;
use config::{Config, Listen};
use descriptors::Descriptors;
use event_log::EventLog;
pub use handover::ProcessStatus;
pub use handover_store::{DirectoryStore, HandoverStore};
use memory::NodeMemory;
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

/// Capacity of the input queue of the event loop; senders wait while it is full.
const INPUT_QUEUE_CAPACITY: usize = 1024;
/// How long connections are accepted after SIGTERM. New ones arrive for at most 0.4 s.
const ACCEPT_GRACE: Duration = Duration::from_millis(600);
/// Upper bound of the deadline that a stopping node waits for. After SIGTERM the platform kills the process
/// once the longest deadline, or this time if it is shorter, and another 0.7 s have passed.
const MAX_DRAIN_TIME: Duration = Duration::from_secs(3);
/// Final answers are due this long before the end of the process, so that they can still be written.
const ANSWER_MARGIN: Duration = Duration::from_millis(50);
/// A node that gets no list from discovery starts to serve after this time, with the last known list.
const DISCOVERY_START_TIMEOUT: Duration = Duration::from_secs(1);
/// Interval between checks of the tier state; announcements are sent less often.
const TIER_POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Configuration warnings logged at start; `mothpierctl check` shows all of them.
const MAX_LOGGED_WARNINGS: usize = 8;
/// Capacity of the queue of administration commands.
const ADMIN_QUEUE_CAPACITY: usize = 16;

/// A command to a running node from its process or a test.
pub enum Control {
    /// SIGTERM: stop accepting, finish open requests and return.
    Stop,
    /// SIGHUP: the reloaded configuration, or why it could not be read.
    Reload(Result<Box<Config>, String>),
    /// An operator's call.
    Call(Call, oneshot::Sender<Reply>),
    /// Requests the counts of resources in use.
    ResourceCounts(oneshot::Sender<ResourceCounts>),
}

/// Runs a node until it is stopped. The error is a single line.
///
/// # Errors
///
/// Fails if an address cannot be opened, the configuration cannot be used, or the event loop ends
/// unexpectedly.
pub async fn run<N: Net>(net: N, config: Config, mut control: mpsc::Receiver<Control>) -> Result<(), String> {
    let descriptors = Descriptors::of(&config)?;
    let clock = Clock::start(net.clone());
    let (events, inputs) = mpsc::channel(INPUT_QUEUE_CAPACITY);
    let site = config.site;
    let discovery_mode = match site.policy.pull_discovery {
        true => discovery::DiscoveryMode::Service,
        false => discovery::DiscoveryMode::Agent { grace: Duration::from_micros(site.drain_grace) },
    };
    let idle_close = Duration::from_micros(site.idle_close);
    let connect_timeout = Duration::from_micros(site.policy.connect_timeout);
    let metrics = Rc::new(Metrics::new(&site.classes).map_err(|e| format!("cannot register metrics: {e}"))?);
    let share = Rc::new(Share::default());
    let event_log = Rc::new(EventLog::new(config.events));
    let memory = NodeMemory::new(config.memory, &share);
    let limits = servers::Limits {
        balancers: site.policy.balancers as usize,
        // If a request may have only one attempt at a time, giving that up closes its connection, which must
        // not carry other attempts then.
        multiplex: if site.policy.may_duplicate { site.multiplex } else { 1 },
        idle_close,
        connect_timeout,
        max_connections: descriptors.servers,
        read_copies: config.server_pool.as_ref().is_some_and(|b| b.read_copies),
        tier: config.sidecar.as_ref().is_some_and(|s| s.tier),
        metrics: metrics.clone(),
        share: share.clone(),
        memory: memory.clone(),
    };
    config.warnings.iter().take(MAX_LOGGED_WARNINGS).for_each(|line| net.log(line));
    let own_index = site.policy.own_index as usize;
    let sends_to_peers = config.peer_listen.is_some() && site.policy.may_message_peers;
    let tier = match config.cluster {
        Some(nodes) => {
            let tier = Tier::new(nodes, own_index, sends_to_peers, net.unix_time().as_millis() as u64);
            Some(Rc::new(RefCell::new(tier.map_err(|e| format!("cluster nodes: {e}"))?)))
        }
        None => None,
    };
    let peers = match config.peer_listen.filter(|_| site.policy.may_message_peers) {
        Some(listen) => {
            let opened = peers::Peers::open(
                &net,
                (listen, config.inherited_listener.is_some()),
                config.peers,
                config.peers_all,
                tier.clone(),
                events.clone(),
            )
            .await;
            opened
                .map(|peers| Some(Rc::new(peers)))
                .map_err(|e| format!("cannot open the peer socket at {listen}: {e}"))?
        }
        None => None,
    };
    let announce_tier = {
        let (net, tier, peers) = (net.clone(), tier.clone(), peers.clone());
        move || {
            let (Some(tier), Some(peers)) = (&tier, &peers) else { return };
            let message = tier.borrow_mut().tick(net.unix_time().as_millis() as u64);
            if let Some(message) = message {
                peers.broadcast(own_index, &message);
            }
        }
    };
    if tier.is_some() && peers.is_some() {
        let (net, announce) = (net.clone(), announce_tier.clone());
        let timer = net.clone();
        net.spawn(async move {
            loop {
                announce();
                timer.sleep(TIER_POLL_INTERVAL).await;
            }
        });
    }
    let initial_request = messages::DiscoveryRequest { watch: !site.policy.pull_discovery, calls: 0 };
    let (discovery_requests, requested) = watch::channel(initial_request);
    let phase = Rc::new(ServingPhase::default());
    let cluster = config.server_pool.map(|pool_config| {
        let budget = mothpier_slots::refresh::Budget { nodes: limits.balancers, ..pool_config.budget };
        let fetcher = slot_map_fetcher::SlotMapFetcher::new(net.clone(), pool_config.wait, events.clone());
        (Pool::new(pool_config.read_copies, budget, config.seed, clock.now() / 1000), fetcher)
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
            memory.clone(),
            metrics.clone(),
            events.clone(),
        ),
        peers,
        discovery_requests,
        phase: phase.clone(),
        metrics: metrics.clone(),
        event_log: event_log.clone(),
    };
    let revision = config.cached_list.as_ref().map(|l| l.revision);
    let inherits_listener = config.inherited_listener.is_some();
    let listener = match (config.inherited_listener, &config.listen) {
        (Some(inherited), _) => net.adopt_listener(inherited),
        (None, Listen::Address(address)) => {
            retry_open::retry_open(&net, async || net.listen(*address).await).await
        }
        (None, Listen::Unix(spec)) => {
            retry_open::retry_open(&net, async || net.listen_unix(spec).await).await
        }
    };
    let listener = listener.map_err(|e| format!("cannot listen on {}: {e}", config.listen))?;
    let operator = config.operator;
    let admin_socket = match operator {
        Some(address) => {
            let admin_socket = retry_open::retry_open(&net, async || net.listen(address).await)
                .await
                .map_err(|e| format!("cannot listen on {address} for operators: {e}"))?;
            net.log(format_args!(
                "operators are answered on {}",
                admin_socket.local_addr().unwrap_or(address)
            ));
            Some(admin_socket)
        }
        None => None,
    };
    // With port 0 the address is known only now.
    let listening = listener.local_addr().map_or(config.listen, Listen::Address);
    let longest_deadline: Micros = site.policy.classes.iter().map(|c| c.deadline).max().unwrap_or_default();
    let connections = config.sidecar.as_ref().and_then(|s| s.connections).unwrap_or(usize::MAX);
    let max_clients = descriptors.clients.min(connections);
    let now = clock.clone();
    let clients = Clients::new(
        net.clone(),
        site.clone(),
        Box::new(move || now.now()),
        clients::ClientContext {
            phase: phase.clone(),
            metrics: metrics.clone(),
            share: share.clone(),
            memory,
            event_log: event_log.clone(),
            tier: tier.clone(),
            membership: membership.clone(),
            binding: config.sidecar.map(|s| s.binding),
        },
        max_clients,
        events.clone(),
    );
    if let Some(dns) = config.sources.and_then(|sources| sources.dns) {
        net.spawn(dns::run(net.clone(), dns, clock.clone(), events.clone()));
    }
    let node = Node::new(net.clone(), site, config.seed, clock, parts);
    // The sender is dropped with its task, so its receiver notices the end of the task whatever caused it.
    let (node_alive, mut node_ended) = oneshot::channel::<()>();
    let (admin_commands, admin_inbox) = mpsc::channel(ADMIN_QUEUE_CAPACITY);
    let handover = config.handover_store.map(|store| {
        let request_ids = clients.request_ids().clone();
        Rc::new(ProcessHandover::open(&net, store, &config.name, config.sockets, request_ids))
    });
    if handover.is_some() {
        phase.await_processes();
    }
    // The list handed over by an earlier process is newer than the one in the configuration.
    let initial_list = handover.as_ref().and_then(|h| h.inherited_list()).or(config.cached_list);
    net.spawn(async move {
        let _node_alive = node_alive;
        node.run(initial_list, inputs, admin_inbox).await;
    });
    // Without discovery the servers of the configuration are all that there are.
    let discovery = config.discovery.map(|address| {
        let (discovery, addresses) = watch::channel(address);
        net.spawn(discovery::run(
            net.clone(),
            addresses,
            discovery_mode,
            revision,
            requested,
            events.clone(),
        ));
        discovery
    });
    if discovery.is_none() {
        phase.list_received();
    }
    let (accept_running, accept_ended) = oneshot::channel::<()>();
    let (accept_loop, accept_phase) = (clients.clone().accept(listener), phase.clone());
    net.spawn(async move {
        let _accept_running = accept_running;
        tokio::select! {
            biased;
            // With an inherited listener another process may still accept, so wait until this one can serve.
            () = accept_phase.until_able_to_serve(), if inherits_listener => {}
            // Clients that skip the readiness check wait until the drained servers are known; otherwise
            // requests could go to one of them.
            () = accept_phase.until_fleet_drains_known(), if !inherits_listener => {}
            // Stopped before any client was accepted.
            () = accept_phase.until_accepting_stopped() => return,
        }
        accept_loop.await;
    });
    let (timer, start_phase) = (net.clone(), phase.clone());
    net.spawn(async move {
        timer.sleep(DISCOVERY_START_TIMEOUT).await;
        start_phase.list_received();
    });
    let coordination = config.coordination;
    net.spawn(loop_delay::run(net.clone(), metrics.clone(), event_log.clone()));
    let lease_authority = match coordination.clone() {
        Some(settings) => Some(LeaseAuthority::new(net.clone(), settings, handover.clone())?),
        None => None,
    };
    let operations = Rc::new(Operations {
        net: net.clone(),
        phase: phase.clone(),
        metrics,
        clients: clients.clone(),
        admin_commands,
        handover: handover.clone(),
        lease_authority: lease_authority.clone(),
    });
    if let Some(lease_authority) = lease_authority {
        net.spawn(lease_authority.run());
    }
    if let Some((coordination, fleet)) = coordination.and_then(|c| Some((c.clone(), c.fleet?))) {
        let drains = drains::Drains::new(operations.clone(), &coordination, fleet, &config.name)?;
        phase.await_fleet_drains();
        net.spawn(drains.run());
    }
    if let Some(handover) = &handover {
        net.spawn(process_handover::run(operations.clone(), handover.clone(), share));
    }
    if let Some(admin_socket) = admin_socket {
        net.spawn(admin_listener::run(operations.clone(), admin_socket));
    }
    net.log(format_args!("{} listens on {listening}", config.name));
    loop {
        tokio::select! {
            biased;
            command = control.recv() => match command {
                Some(Control::Stop) | None => break,
                Some(Control::Reload(result)) => {
                    if result.as_ref().is_ok_and(|reloaded| reloaded.operator != operator) {
                        net.log("configuration read again: a new operator address needs a restart");
                    }
                    reload(&net, discovery.as_ref(), result);
                }
                Some(Control::Call(call, reply)) => {
                    let done = operations.clone().call(call, None);
                    net.spawn(async move {
                        let _ = reply.send(done.await);
                    });
                }
                Some(Control::ResourceCounts(reply)) => send_resource_counts(&clients, &events, reply).await,
            },
            _ = &mut node_ended => return Err("the event loop ended unexpectedly".into()),
        }
    }
    net.log("stopping");
    phase.stop();
    if let Some(tier) = &tier {
        // Other nodes take over its slots before its connections close.
        tier.borrow_mut().stop();
        announce_tier();
    }
    let kill_at = net.now() + Duration::from_micros(longest_deadline).min(MAX_DRAIN_TIME) + ACCEPT_GRACE;
    // Deadlines of requests that are still read, and of classes above the bound, may lie beyond this.
    let _ = events.send(messages::NodeInput::AnswerDeadline(kill_at - ANSWER_MARGIN)).await;
    // If another process serves on the same socket, pending connections are left to it.
    let leave_pending = handover.as_ref().is_some_and(|h| h.has_serving_peer());
    if !leave_pending {
        net.sleep(ACCEPT_GRACE).await;
    }
    phase.shut(net.now(), leave_pending);
    let all_closed = async {
        // Connections waiting at the limit are still accepted as others close.
        let _ = accept_ended.await;
        while clients.connection_count() > 0 && !mutation_active(Mutation::HastyStop) {
            clients.one_closed().await;
        }
    };
    if net.timeout_at(kill_at, all_closed).await.is_none() {
        net.log(format_args!("stopped with {} client connections still open", clients.connection_count()));
    }
    if let Some(handover) = &handover {
        // Lets the event loop handle the end of the last connection.
        net.yield_now().await;
        handover.store_run_ids(&net);
    }
    Ok(())
}

/// Switches to the discovery address of the reloaded configuration. All other settings take effect only at
/// start. If the file cannot be read, the node keeps its current configuration.
fn reload<N: Net>(
    net: &N,
    discovery: Option<&watch::Sender<SocketAddr>>,
    result: Result<Box<Config>, String>,
) {
    match result {
        Ok(config) => {
            let (Some(discovery), Some(configured)) = (discovery, config.discovery) else {
                return net.log("configuration read again: adding or removing discovery needs a restart");
            };
            let to =
                if mutation_active(Mutation::ReloadForgotten) { *discovery.borrow() } else { configured };
            let changed = discovery.send_if_modified(|a| std::mem::replace(a, to) != to);
            let state = if changed { "now" } else { "still" };
            net.log(format_args!("configuration read again: discovery is {state} at {configured}"));
        }
        Err(e) => net.log(format_args!("the configuration stays as it was: {e}")),
    }
}

/// Collects the resource counts of the event loop and adds those of the clients.
async fn send_resource_counts<N: Net>(
    clients: &Clients<N>,
    events: &mpsc::Sender<messages::NodeInput>,
    reply: oneshot::Sender<ResourceCounts>,
) {
    let (sender, receiver) = oneshot::channel();
    let _ = events.send(messages::NodeInput::ResourceCounts(sender)).await;
    if let Ok(counts) = receiver.await {
        let _ = reply.send(ResourceCounts {
            ids: clients.request_id_count(),
            clients: clients.connection_count(),
            ..counts
        });
    }
}
