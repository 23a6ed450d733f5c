//! Network I/O for the DNS resolver: sends the queries that the resolver asks for and reports its view to the
//! node.

use std::net::{Ipv4Addr, Ipv6Addr, SocketAddr};
use std::time::Duration;

use mothpier_names::{Failure, Match, Query, Resolver, ServiceView, Settings, Transport};
use mothpier_net::{Net, Socket};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::sync::mpsc;

use crate::clock::Clock;
use crate::messages::NodeInput;
use crate::{Mutation, mutation_active};

/// The size of the receive buffer: larger than the size that queries allow, so that longer answers are
/// noticed.
const MAX_DATAGRAM_BYTES: usize = 2048;
/// Query results that may wait to be processed: at most one per name.
const RESULT_QUEUE: usize = 64;
/// The lifetime under [`Mutation::NoLifetimes`]: answers never expire.
const NEVER_EXPIRES_MS: u64 = 365 * 24 * 3_600_000;

type QueryResult = (u64, Result<Vec<u8>, Failure>);

/// Runs the resolver until the node ends.
pub async fn run<N: Net>(net: N, mut settings: Settings, clock: Clock<N>, events: mpsc::Sender<NodeInput>) {
    if mutation_active(Mutation::NoLifetimes) {
        (settings.lifetimes.floor, settings.lifetimes.ceiling) = (NEVER_EXPIRES_MS, NEVER_EXPIRES_MS);
    }
    let now_ms = |clock: &Clock<N>| clock.now() / 1000;
    let seed = match net.entropy() {
        Ok(seed) => seed,
        // Queries with predictable ids could be spoofed, so none are sent.
        Err(e) => {
            return net.log(format_args!("dns: no system entropy: {e}; DNS is not queried"));
        }
    };
    let mut resolver = match Resolver::new(settings, seed, now_ms(&clock)) {
        Ok(resolver) => resolver,
        Err(e) => return net.log(format_args!("dns: {e}; DNS is not queried")),
    };
    let (result_sender, mut results) = mpsc::channel::<QueryResult>(RESULT_QUEUE);
    let mut last_sent: Option<ServiceView> = None;
    let mut is_failing = false;
    loop {
        for query in resolver.due_queries(now_ms(&clock)) {
            let (query_net, result_sender) = (net.clone(), result_sender.clone());
            net.spawn(async move {
                let wait = Duration::from_millis(query.timeout_ms);
                let answer = match query.transport {
                    Transport::Udp => query_net.timeout(wait, udp(&query_net, &query)).await,
                    Transport::Tcp => query_net.timeout(wait, tcp(&query_net, &query)).await,
                };
                let _ = result_sender.send((query.ticket, answer.unwrap_or(Err(Failure::TimedOut)))).await;
            });
        }
        let view = resolver.view(now_ms(&clock));
        if last_sent.as_ref() != Some(&view) {
            last_sent = Some(view.clone());
            if events.send(NodeInput::DnsView(view)).await.is_err() {
                return;
            }
        }
        let now = now_ms(&clock);
        let pause = Duration::from_millis(resolver.due(now).saturating_sub(now));
        let answered = resolver.counts().answered;
        match net.timeout(pause, results.recv()).await {
            Some(Some((ticket, Ok(bytes)))) => resolver.handle_answer(now_ms(&clock), ticket, &bytes),
            Some(Some((ticket, Err(failure)))) => resolver.handle_failure(now_ms(&clock), ticket, failure),
            Some(None) => return,
            None => {}
        }
        if resolver.counts().answered > answered {
            is_failing = false;
        }
        if let Some(error) = resolver.take_last_error().filter(|_| !is_failing) {
            is_failing = true;
            net.log(format_args!("dns: {error}; retrying until it answers"));
        }
    }
}

/// Sends a query over UDP from a port that the operating system chooses, and returns the answer. Datagrams
/// from other addresses, or that answer another question, are ignored and do not end the wait (RFC 5452,
/// section 9).
async fn udp<N: Net>(net: &N, query: &Query) -> Result<Vec<u8>, Failure> {
    let local_address: SocketAddr = match query.server {
        SocketAddr::V4(_) => (Ipv4Addr::UNSPECIFIED, 0).into(),
        SocketAddr::V6(_) => (Ipv6Addr::UNSPECIFIED, 0).into(),
    };
    let socket = net.socket(local_address).await.map_err(|_| Failure::Broken)?;
    socket.send_to(&query.bytes, query.server).await.map_err(|_| Failure::Broken)?;
    let mut buffer = [0; MAX_DATAGRAM_BYTES];
    loop {
        let (length, from) = socket.recv_from(&mut buffer).await.map_err(|_| Failure::Broken)?;
        let mut bytes = buffer[..length].to_vec();
        if mutation_active(Mutation::ForgedAnswer) && length > 2 {
            bytes[..2].copy_from_slice(&query.question.id.to_be_bytes());
            return Ok(bytes);
        }
        if from == query.server && query.question.matches(&bytes) != Match::NoMatch {
            return Ok(bytes);
        }
    }
}

/// Sends a query over a new TCP connection and returns the answer. Each message is prefixed with its length
/// (RFC 1035, section 4.2.2).
async fn tcp<N: Net>(net: &N, query: &Query) -> Result<Vec<u8>, Failure> {
    let broken = |_| Failure::Broken;
    let mut stream = net.connect(query.server).await.map_err(broken)?;
    let length = u16::try_from(query.bytes.len()).map_err(|_| Failure::Broken)?;
    let message = [&length.to_be_bytes()[..], &query.bytes].concat();
    stream.write_all(&message).await.map_err(broken)?;
    let mut length = [0; 2];
    stream.read_exact(&mut length).await.map_err(broken)?;
    let mut bytes = vec![0; usize::from(u16::from_be_bytes(length))];
    stream.read_exact(&mut bytes).await.map_err(broken)?;
    if query.question.matches(&bytes) == Match::NoMatch { Err(Failure::Broken) } else { Ok(bytes) }
}
