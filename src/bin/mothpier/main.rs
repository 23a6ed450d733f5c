//! `mothpier`, a load-balancing node for a fleet of cache servers: start, runtime and signals.

mod clients;
mod config;
mod discovery;
mod http;
mod node;
mod origin;
mod peers;
mod resp;
mod servers;

use std::cell::Cell;
use std::fmt::Display;
use std::io::Write;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::rc::Rc;
use std::time::Duration;

use brassrouter::Micros;
use tokio::net::TcpListener;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::{mpsc, watch};
use tokio::task::{LocalSet, spawn_local};
use tokio::time::{Instant, sleep, timeout_at};

use clients::{Clients, Phase};
use config::{Config, Precedence};
use node::{Clock, Node, Parts};

/// Inputs that wait for the node; who brings more waits in turn.
const QUEUE: usize = 1024;
/// After SIGTERM new connections come for 0.4 s at most; this much longer they are still taken.
const KEEP_ACCEPTING: Duration = Duration::from_millis(600);
/// A restarted node is used even when discovery is silent, with the list it last had.
const WITHOUT_DISCOVERY: Duration = Duration::from_secs(1);
/// Descriptors for the listener, the peers, discovery, the runtime and the standard streams.
const OWN_DESCRIPTORS: usize = 16;

/// Writes a line to the log; a log that can't be written must not end the node.
pub fn log(line: impl Display) {
    let _ = writeln!(std::io::stderr(), "mothpier: {line}");
}

fn main() -> ExitCode {
    let config = match config::read(Precedence::Environment) {
        Ok(config) => config,
        Err(e) => {
            log(e);
            return ExitCode::from(2);
        }
    };
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let ended = runtime.map_err(|e| e.to_string()).and_then(|r| LocalSet::new().block_on(&r, run(config)));
    match ended {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            log(e);
            ExitCode::FAILURE
        }
    }
}

async fn run(config: Config) -> Result<(), String> {
    let mut terminate = signal(SignalKind::terminate()).map_err(|e| e.to_string())?;
    let mut interrupt = signal(SignalKind::interrupt()).map_err(|e| e.to_string())?;
    // Taken from the start on: unhandled, this signal would end the node.
    let mut hangup = signal(SignalKind::hangup()).map_err(|e| e.to_string())?;
    let clock = Clock::start();
    let (events, inputs) = mpsc::channel(QUEUE);
    let site = config.site;
    let idle_close = Duration::from_micros(site.idle_close);
    let connect_timeout = Duration::from_micros(site.decisions.connect_timeout);
    // Half for clients, half for servers: neither can leave the other without.
    let descriptors = (config.sockets - OWN_DESCRIPTORS) / 2;
    let limits = servers::Limits {
        balancers: site.decisions.balancers as usize,
        // A request that may have one attempt out must close the connection of one given up, so that no other
        // may be on it.
        multiplex: if site.decisions.may_duplicate { site.multiplex } else { 1 },
        idle_close,
        connect_timeout,
        descriptors: descriptors * 3 / 4,
    };
    let peers = match config.peer_listen.filter(|_| site.decisions.may_tell_peers) {
        Some(listen) => peers::Peers::open(listen, config.peers, config.peers_all, events.clone())
            .await
            .map(Some)
            .map_err(|e| format!("cannot open {listen}: {e}"))?,
        None => None,
    };
    let watched = discovery::Wanted { watch: !site.decisions.ask_discovery, calls: 0 };
    let (wanted, wishes) = watch::channel(watched);
    let ready = Rc::new(Cell::new(false));
    let parts = Parts {
        servers: servers::Servers::new(limits, events.clone()),
        origins: origin::Origins::new(idle_close, connect_timeout, descriptors / 4, events.clone()),
        peers,
        wanted,
        ready: ready.clone(),
    };
    let revision = config.known.as_ref().map(|l| l.revision);
    let listener = TcpListener::bind(config.listen).await;
    let listener = listener.map_err(|e| format!("cannot listen on {}: {e}", config.listen))?;
    let listener_address = listener.local_addr();
    let (phase, phases) = watch::channel(Phase::Open);
    let longest: Micros = site.decisions.classes.iter().map(|c| c.deadline).max().unwrap_or_default();
    let bounds = (descriptors, config.memory / 2);
    let clients = Clients::new(
        site.clone(),
        Box::new(move || clock.now()),
        ready.clone(),
        bounds,
        phases,
        events.clone(),
    );
    let node = Node::new(site, config.seed, clock, parts);
    let mut node = spawn_local(node.run(config.known, inputs));
    let (discovery, addresses) = watch::channel(config.discovery);
    spawn_local(discovery::run(addresses, revision, wishes, events));
    let accepting = spawn_local(clients.clone().accept(listener));
    spawn_local(async move {
        sleep(WITHOUT_DISCOVERY).await;
        ready.set(true);
    });
    let listening = listener_address.map_err(|e| e.to_string())?;
    log(format_args!("{} listens on {listening}", config.name));
    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            _ = interrupt.recv() => break,
            Some(()) = hangup.recv() => reload(&discovery),
            ended = &mut node => return Err(format!("the node ended: {ended:?}")),
        }
    }
    log("stopping");
    let kill = Instant::now() + Duration::from_micros(longest) + KEEP_ACCEPTING;
    sleep(KEEP_ACCEPTING).await;
    let _ = phase.send(Phase::Closing);
    let _ = accepting.await;
    let all_closed = async {
        while clients.count() > 0 {
            clients.one_closed().await;
        }
    };
    if timeout_at(kill, all_closed).await.is_err() {
        log(format_args!("{} client connections still open at the end", clients.count()));
    }
    Ok(())
}

/// Reads the configuration again and goes over to the discovery that it names. All else is fixed at the start.
/// A file that can't be read must not cost the node what it has.
fn reload(discovery: &watch::Sender<SocketAddr>) {
    match config::read(Precedence::File) {
        Ok(config) => {
            let moved =
                discovery.send_if_modified(|a| std::mem::replace(a, config.discovery) != config.discovery);
            let what = if moved { "now" } else { "still" };
            log(format_args!("configuration read again: discovery is {what} at {}", config.discovery));
        }
        Err(e) => log(format_args!("the configuration stays as it was: {e}")),
    }
}
