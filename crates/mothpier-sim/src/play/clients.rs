//! The clients of the simulated nodes and the front that deals them out.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::BytesMut;
use mothpier_net::{Net, Stream};
use mothpier_world::client::{Ask, Clients};
use mothpier_world::wire;
use tokio::io::AsyncWriteExt;

use super::world::{CLASSES, World, address};
use crate::exec::Host;
use crate::net::SimNet;
use crate::oracle::Care;

impl World {
    /// The node that the front deals the next client to.
    pub(super) fn front(&self) -> SocketAddr {
        let nodes = self.nodes.borrow();
        let up: Vec<SocketAddr> = nodes.iter().filter(|n| n.fronted).map(|n| n.address).collect();
        let all: Vec<SocketAddr> = nodes.iter().map(|n| n.address).collect();
        let among = if up.is_empty() { all } else { up };
        among[self.dice.within(0, among.len() as u64) as usize]
    }

    /// Draws a request.
    pub(super) fn draw_ask(&self) -> Ask {
        let class = match self.dice.chance(self.settings.writes) {
            true => 1 + self.dice.within(0, 2) as usize,
            false => 0,
        };
        let (name, care, _, deadline, _) = CLASSES[class];
        // A few keys are far more popular than the rest.
        let key = (self.settings.keys as f64 * self.dice.unit().powi(3)) as u64;
        let token = (care == Care::Keyed).then(|| format!("{:x}", self.dice.within(1, u64::MAX)));
        Ask {
            class: name,
            tenant: "acme",
            key: format!("k{key}"),
            write: class > 0,
            token,
            wait: Duration::from_millis(deadline).mul_f64(self.dice.between(0.5, 1.0)),
            retries: self.dice.within(0, 3) as u32,
            leaves_after: None,
        }
    }

    /// One request of a client, its front and its retries.
    pub fn ask(&self, client: usize, ask: Ask) {
        let me = self.me.clone();
        let (clients, host) = self.client(client);
        self.on(host, async move {
            let front = || me.upgrade().map_or(address(0, 0, 0, 6379), |w| w.front());
            clients.ask(&front, ask).await;
        });
    }

    /// Many commands at once on one connection of a client.
    pub fn pipeline(&self, client: usize, asks: Vec<Ask>) {
        let (clients, host) = self.client(client);
        let node = self.front();
        self.on(host, async move {
            clients.pipeline(node, &asks).await;
        });
    }

    /// The clients of one machine, and the machine.
    pub(super) fn client(&self, number: usize) -> (Rc<Clients<SimNet>>, Host) {
        let clients = self.clients.borrow();
        let at = number % clients.len();
        (clients[at].clone(), self.origin_host + 1 + self.nodes.borrow().len() * 3 + at)
    }

    /// One request of a client, and the next one some time later.
    pub(super) fn arrival(&self) {
        let rate = self.settings.rate * self.traffic.get();
        if rate <= 0.0 {
            return;
        }
        let client = self.dice.within(0, 64) as usize;
        self.ask(client, self.draw_ask());
        let pause = self.dice.exp(Duration::from_secs_f64(1.0 / rate)).as_nanos() as u64;
        let me = self.me.clone();
        self.exec.at(self.exec.nanos() + pause.max(1), move || {
            if let Some(world) = me.upgrade() {
                world.arrival();
            }
        });
    }
}

/// One command on a connection of its own.
pub(super) async fn ask_once(net: &SimNet, node: SocketAddr, words: &[&str]) -> Option<String> {
    let (reading, mut writing) = net.connect(node).await.ok()?.split();
    writing.write_all(&wire::encode(words)).await.ok()?;
    let mut buffer = BytesMut::new();
    loop {
        match wire::answer(&mut buffer) {
            Ok(Some(wire::Answer::Value(value))) => return Some(value),
            Ok(None) if matches!(wire::read_more(&reading, &mut buffer).await, Ok(true)) => {}
            _ => return None,
        }
    }
}
