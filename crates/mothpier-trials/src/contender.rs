//! One that wants the lease: a process that takes it, gives orders to nodes in its name, and lets go, over and over.

use std::net::SocketAddr;
use std::time::Duration;

use clap::Args;
use mothpier_coordination::FencedAction;
use mothpier_coordination_client::{Client, ClockReading, Session};
use mothpier_net::{Net, Tokio};
use mothpier_world::Dice;
use serde::Deserialize;

use crate::http;
use crate::judge::GRANT_BITS;

/// The lease that all want.
pub const LEASE: &str = "roll";
/// A node's answer is waited for so long.
const CALL: Duration = Duration::from_millis(800);
/// Orders of one grant.
const ORDERS: (u64, u64) = (3, 30);

/// What a contender is told.
#[derive(Args, Debug, Clone)]
pub struct Told {
    /// The coordinators.
    #[arg(long, value_delimiter = ',')]
    coordinators: Vec<SocketAddr>,
    /// The nodes' doors.
    #[arg(long, value_delimiter = ',', required_unless_present = "keeps")]
    nodes: Vec<SocketAddr>,
    /// Of its chance.
    #[arg(long)]
    seed: u64,
    /// A session's time.
    #[arg(long)]
    ttl_ms: u64,
    /// Planted: it looks once whether it holds, and makes fences and times up.
    #[arg(long)]
    unfenced: bool,
    /// Holds until it is killed.
    #[arg(long)]
    keeps: bool,
    /// The lease.
    #[arg(long, default_value = LEASE)]
    lease: String,
}

#[derive(Deserialize)]
struct Clock {
    clock: String,
    now_ms: u64,
}

/// Wants the lease until it is killed.
///
/// # Errors
///
/// A machine without entropy.
pub async fn run(told: Told) -> Result<(), String> {
    let dice = Dice::part(told.seed, 5);
    let ttl = Duration::from_millis(told.ttl_ms);
    let client = Client::new(Tokio, "trial".into(), told.coordinators.clone())?;
    let mut life = 0;
    loop {
        life += 1;
        let name = format!("c{}:{life}:{}", told.seed, client.draw_name());
        let Ok(session) = Session::open(client.clone(), name, ttl, ttl * 2).await else { continue };
        let Ok(Some(granted)) = session.acquire(&told.lease, true).await else { continue };
        eprintln!("holds fence {} at_us={}", granted.fence, Tokio.boot_time().as_micros());
        while told.keeps && session.left().is_ok() {
            tokio::time::sleep(ttl / 10).await;
        }
        for i in 0..dice.within(ORDERS.0, ORDERS.1) {
            let node = told.nodes[dice.within(0, told.nodes.len() as u64) as usize];
            let Ok(clock) = http::ask(node, "GET", "/api/clock", None, "", CALL).await else { continue };
            let Ok(clock) = serde_json::from_str::<Clock>(&clock.1) else { continue };
            let now_ms = clock.now_ms;
            let act = session.authorize_action(&granted, ClockReading { clock: clock.clock.clone(), now_ms });
            let act = match act {
                _ if told.unfenced => FencedAction {
                    lease: told.lease.clone(),
                    fence: (Tokio.boot_time().as_millis() as u64) << GRANT_BITS | granted.fence,
                    clock: clock.clock,
                    not_after_ms: now_ms + 3_600_000,
                    number: i,
                },
                Ok(act) => act,
                Err(_) => break,
            };
            // Between the look and the act: here a stop of any length may fall.
            tokio::time::sleep(Duration::from_millis(dice.within(0, 30))).await;
            let text = serde_json::to_string(&act).unwrap_or_default();
            let path = if i % 2 == 0 { "/api/exclude" } else { "/api/include" };
            let said = http::ask(node, "POST", path, Some(&text), "s-2", CALL).await;
            if said.is_ok() {
                session.action_answered(&act);
            }
            match said {
                Ok((200, _)) => {}
                Ok((status, why)) => {
                    eprintln!("fence {}: {node} says {status}: {}", granted.fence, why.trim_end())
                }
                Err(why) => eprintln!("fence {}: {node}: {why}", granted.fence),
            }
        }
        match dice.within(0, 3) {
            0 => drop(session.release(&told.lease).await),
            1 => session.close(ttl).await,
            // Left to run out.
            _ => {}
        }
    }
}
