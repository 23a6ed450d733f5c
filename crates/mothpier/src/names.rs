//! DNS on the node's sockets: asks what the resolver wants asked, and tells the node what DNS says. Decides nothing.

use std::net::{Ipv4Addr, Ipv6Addr, SocketAddr};
use std::time::Duration;

use mothpier_names::{Failure, Match, Query, Resolver, ServiceView, Settings, Transport};
use mothpier_net::{Net, Socket};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::sync::mpsc;

use crate::clock::Clock;
use crate::messages::NodeInput;
use crate::{Mutation, mutation_active};

/// A datagram may be as long as the question allows, and somewhat more to see that it is not.
const DATAGRAM: usize = 2048;
/// Ends of askings that wait to be taken: at most one for each name.
const ENDS: usize = 64;
/// For a planted mistake: no answer ever runs out.
const FOR_GOOD: u64 = 365 * 24 * 3_600_000;

type End = (u64, Result<Vec<u8>, Failure>);

/// Asks for as long as the node runs.
pub async fn run<N: Net>(net: N, mut settings: Settings, clock: Clock<N>, events: mpsc::Sender<NodeInput>) {
    if mutation_active(Mutation::NoLifetimes) {
        (settings.lifetimes.floor, settings.lifetimes.ceiling) = (FOR_GOOD, FOR_GOOD);
    }
    let ms = |clock: &Clock<N>| clock.now() / 1000;
    let seed = match net.entropy() {
        Ok(seed) => seed,
        // Questions with ids that can be guessed are worse than none.
        Err(e) => {
            return net.log(format_args!("dns: the machine has no chance to draw from: {e}; not asked"));
        }
    };
    let mut resolver = match Resolver::new(settings, seed, ms(&clock)) {
        Ok(resolver) => resolver,
        Err(e) => return net.log(format_args!("dns: {e}; not asked")),
    };
    let (ended, mut ends) = mpsc::channel::<End>(ENDS);
    let mut told: Option<ServiceView> = None;
    let mut failing = false;
    loop {
        for ask in resolver.asks(ms(&clock)) {
            let (machine, ended) = (net.clone(), ended.clone());
            net.spawn(async move {
                let wait = Duration::from_millis(ask.wait);
                let answer = match ask.transport {
                    Transport::Udp => machine.timeout(wait, udp(&machine, &ask)).await,
                    Transport::Tcp => machine.timeout(wait, tcp(&machine, &ask)).await,
                };
                let _ = ended.send((ask.ticket, answer.unwrap_or(Err(Failure::TimedOut)))).await;
            });
        }
        let view = resolver.view(ms(&clock));
        if told.as_ref() != Some(&view) {
            told = Some(view.clone());
            if events.send(NodeInput::Names(view)).await.is_err() {
                return;
            }
        }
        let now = ms(&clock);
        let pause = Duration::from_millis(resolver.due(now).saturating_sub(now));
        let answered = resolver.counts().answered;
        match net.timeout(pause, ends.recv()).await {
            Some(Some((ticket, Ok(bytes)))) => resolver.heard(ms(&clock), ticket, &bytes),
            Some(Some((ticket, Err(failure)))) => resolver.failed(ms(&clock), ticket, failure),
            Some(None) => return,
            None => {}
        }
        if resolver.counts().answered > answered {
            failing = false;
        }
        if let Some(trouble) = resolver.trouble().filter(|_| !failing) {
            failing = true;
            net.log(format_args!("dns: {trouble}; trying again until it answers"));
        }
    }
}

/// One datagram each way, from a port that the machine draws. What comes from elsewhere, or answers something else, is
/// passed over: it must not end the wait for the answer (RFC 5452, section 9).
async fn udp<N: Net>(net: &N, ask: &Query) -> Result<Vec<u8>, Failure> {
    let any: SocketAddr = match ask.server {
        SocketAddr::V4(_) => (Ipv4Addr::UNSPECIFIED, 0).into(),
        SocketAddr::V6(_) => (Ipv6Addr::UNSPECIFIED, 0).into(),
    };
    let socket = net.socket(any).await.map_err(|_| Failure::Broken)?;
    socket.send_to(&ask.bytes, ask.server).await.map_err(|_| Failure::Broken)?;
    let mut buffer = [0; DATAGRAM];
    loop {
        let (length, from) = socket.recv_from(&mut buffer).await.map_err(|_| Failure::Broken)?;
        let mut bytes = buffer[..length].to_vec();
        if mutation_active(Mutation::ForgedAnswer) && length > 2 {
            bytes[..2].copy_from_slice(&ask.question.id.to_be_bytes());
            return Ok(bytes);
        }
        if from == ask.server && ask.question.matches(&bytes) != Match::Not {
            return Ok(bytes);
        }
    }
}

/// A message each way on a connection of its own, with its length before it (RFC 1035, section 4.2.2).
async fn tcp<N: Net>(net: &N, ask: &Query) -> Result<Vec<u8>, Failure> {
    let broken = |_| Failure::Broken;
    let mut stream = net.connect(ask.server).await.map_err(broken)?;
    let length = u16::try_from(ask.bytes.len()).map_err(|_| Failure::Broken)?;
    let message = [&length.to_be_bytes()[..], &ask.bytes].concat();
    stream.write_all(&message).await.map_err(broken)?;
    let mut length = [0; 2];
    stream.read_exact(&mut length).await.map_err(broken)?;
    let mut bytes = vec![0; usize::from(u16::from_be_bytes(length))];
    stream.read_exact(&mut bytes).await.map_err(broken)?;
    if ask.question.matches(&bytes) == Match::Not { Err(Failure::Broken) } else { Ok(bytes) }
}
