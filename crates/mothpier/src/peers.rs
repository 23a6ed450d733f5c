//! Datagrams between the nodes of a tier.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;

use mothpier_net::{Net, Socket};
use mothpier_slots::Tier;
use tokio::sync::mpsc;

use crate::messages::NodeInput;
use crate::{Mutation, mutation_active};

/// The size of the longest message, in bytes.
const MAX_MESSAGE_BYTES: usize = 256;

/// Sends messages to the other nodes.
pub struct Peers<N: Net> {
    net: N,
    socket: Rc<N::Socket>,
    /// The nodes' addresses, indexed by node number.
    addresses: Vec<SocketAddr>,
    all: Option<SocketAddr>,
}

impl<N: Net> Peers<N> {
    /// Opens the socket and starts to receive. Messages from unknown addresses and messages that are too long
    /// are dropped.
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
        let receiver = socket.clone();
        let numbers: HashMap<SocketAddr, usize> =
            addresses.iter().enumerate().rev().map(|(number, address)| (*address, number)).collect();
        let peer_net = net.clone();
        net.spawn(async move {
            let mut buffer = [0; MAX_MESSAGE_BYTES + 1];
            loop {
                // An error here reports an earlier datagram that no process received.
                let Ok((length, sender)) = receiver.recv_from(&mut buffer).await else { continue };
                let Some(from) = numbers.get(&sender).copied() else { continue };
                if let Some(tier) = tier.as_ref().filter(|_| Tier::is_message(&buffer[..length])) {
                    if mutation_active(Mutation::TierUnheard) {
                        continue;
                    }
                    let unix_ms = peer_net.unix_time().as_millis() as u64;
                    tier.borrow_mut().handle_message(unix_ms, from, &buffer[..length.min(MAX_MESSAGE_BYTES)]);
                } else if length <= MAX_MESSAGE_BYTES {
                    let bytes = buffer[..length].to_vec();
                    // Dropped if the queue is full: senders must tolerate the loss of datagrams anyway.
                    let _ = events.try_send(NodeInput::Peer { from: from as u32, bytes });
                }
                peer_net.yield_now().await;
            }
        });
        Ok(Peers { net: net.clone(), socket, addresses, all })
    }

    /// Sends a message to all other nodes: to the shared address if there is one, otherwise to each node.
    pub fn broadcast(&self, own_index: usize, bytes: &[u8]) {
        if self.all.is_some() {
            return self.send(None, bytes);
        }
        (0..self.addresses.len()).filter(|n| *n != own_index).for_each(|n| self.send(Some(n as u32), bytes));
    }

    /// Sends a message to one node, or to the shared address for `None`. It is lost if it cannot be sent at
    /// once.
    pub fn send(&self, to: Option<u32>, bytes: &[u8]) {
        let address = match to {
            Some(number) => self.addresses.get(number as usize).copied(),
            None => self.all,
        };
        match address {
            Some(address) if bytes.len() <= MAX_MESSAGE_BYTES => {
                let _ = self.socket.try_send_to(bytes, address);
            }
            _ => self.net.log(format_args!("cannot send a message of {} bytes to {to:?}", bytes.len())),
        }
    }
}
