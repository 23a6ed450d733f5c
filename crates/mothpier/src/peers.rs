//! Datagrams between the nodes of the tier.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;

use mothpier_net::{Net, Socket};
use mothpier_slots::Tier;
use tokio::sync::mpsc;

use crate::messages::NodeInput;
use crate::{Mutation, mutation_active};

/// The longest message that may be sent.
const MAX_MESSAGE: usize = 256;

/// The way to the other nodes.
pub struct Peers<N: Net> {
    net: N,
    socket: Rc<N::Socket>,
    /// By their numbers.
    addresses: Vec<SocketAddr>,
    all: Option<SocketAddr>,
}

impl<N: Net> Peers<N> {
    /// Opens the socket and begins to listen. Messages of strangers and overlong ones are dropped.
    pub async fn open(
        net: &N,
        (listen, shared): (SocketAddr, bool),
        addresses: Vec<SocketAddr>,
        all: Option<SocketAddr>,
        tier: Option<Rc<RefCell<Tier>>>,
        events: mpsc::Sender<NodeInput>,
    ) -> std::io::Result<Self> {
        let socket = if shared { net.shared_socket(listen).await? } else { net.socket(listen).await? };
        let socket = Rc::new(socket);
        let inbox = socket.clone();
        let numbers: HashMap<SocketAddr, usize> =
            addresses.iter().enumerate().rev().map(|(number, address)| (*address, number)).collect();
        let machine = net.clone();
        net.spawn(async move {
            let mut buffer = [0; MAX_MESSAGE + 1];
            loop {
                // An error here is that of an earlier datagram which found no listener.
                let Ok((length, sender)) = inbox.recv_from(&mut buffer).await else { continue };
                let Some(from) = numbers.get(&sender).copied() else { continue };
                if let Some(tier) = tier.as_ref().filter(|_| Tier::is_message(&buffer[..length])) {
                    if mutation_active(Mutation::TierUnheard) {
                        continue;
                    }
                    let unix_ms = machine.unix_time().as_millis() as u64;
                    tier.borrow_mut().heard(unix_ms, from, &buffer[..length.min(MAX_MESSAGE)]);
                } else if length <= MAX_MESSAGE {
                    let bytes = buffer[..length].to_vec();
                    // One that finds the queue full is dropped, as it might have been on its way.
                    let _ = events.try_send(NodeInput::Peer { from: from as u32, bytes });
                }
                machine.yield_now().await;
            }
        });
        Ok(Peers { net: net.clone(), socket, addresses, all })
    }

    /// Sends a message to all other nodes, each by its own address where there is none for all.
    pub fn tell_all(&self, me: usize, bytes: &[u8]) {
        if self.all.is_some() {
            return self.tell(None, bytes);
        }
        (0..self.addresses.len()).filter(|n| *n != me).for_each(|n| self.tell(Some(n as u32), bytes));
    }

    /// Sends a message to one node, or to all; one that can't go at once is lost.
    pub fn tell(&self, to: Option<u32>, bytes: &[u8]) {
        let address = match to {
            Some(number) => self.addresses.get(number as usize).copied(),
            None => self.all,
        };
        match address {
            Some(address) if bytes.len() <= MAX_MESSAGE => {
                let _ = self.socket.try_send_to(bytes, address);
            }
            _ => self.net.log(format_args!("a message of {} bytes to {to:?} can't be sent", bytes.len())),
        }
    }
}
