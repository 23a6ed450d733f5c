//! One real node under its share of the requests, before as many real cache servers as the fleet has: what it holds and
//! what a request costs it as a whole.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::Command;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::BytesMut;
use mothpier_net::{Net, Stream, Tokio};
use tokio::io::AsyncWriteExt;
use tokio::task::spawn_local;
use tokio::time::{sleep, sleep_until};

use super::control::write;
use super::process::Running;
use super::{Measured, members};
use crate::agent::{Agent, Member};
use crate::cache_box::{CacheBox, Make};
use crate::fleet::Fleet;
use crate::{Dice, Warmth, cost, demo, wire};

/// Nodes that share the cache servers, as the node is told.
const NODES: u32 = 6_300;
/// Tenants.
const TENANTS: usize = 20;
/// Clients' connections, each with one request out at a time.
const CLIENTS: usize = 64;
/// Keys that are asked for.
const KEYS: u64 = 1_000_000;
/// Commands that a cache server has at work and in its queue.
const AT_WORK: usize = 1_024;
/// A node that has only just started turns away what a server can't be seen to bear yet.
const SETTLED: Duration = Duration::from_secs(5);

/// What is measured.
#[derive(Clone, Debug)]
pub struct Asked {
    /// The folder of the programs.
    pub programs: PathBuf,
    /// Cache servers.
    pub servers: usize,
    /// Descriptors that the node may hold.
    pub sockets: usize,
    /// Requests a second.
    pub per_s: f64,
    /// Seconds of warming up, and of measuring.
    pub seconds: u64,
}

/// How requests ended.
#[derive(Clone, Copy, Debug, Default)]
struct Ended {
    served: f64,
    refused: f64,
    failed: f64,
}

/// Measures a node at one size.
///
/// # Errors
///
/// A program that can't be started or does not serve.
pub async fn measure(asked: &Asked) -> Result<Measured, String> {
    let sizes =
        [("servers", asked.servers as f64), ("sockets", asked.sockets as f64), ("per_s", asked.per_s)];
    let mut measured = Measured::new(sizes);
    let folder = tempfile::tempdir().map_err(|e| e.to_string())?;
    let list = serve_fleet(asked.servers).await?;
    let listen = demo::free(1)?[0];
    let file = folder.path().join("node.json");
    let text = format!(
        r#"{{"name":"node-0001","listen":"{listen}","discovery":"{list}","seed":"1","limits":{{"memory_mb":192,
"sockets":{}}},"settings":{}}}"#,
        asked.sockets,
        super::settings(NODES, TENANTS, false, true)
    );
    write(&file, &text)?;
    let mut command = Command::new(asked.programs.join("mothpier"));
    command.env("ROUTER_CONFIG", &file);
    let node = Running::start(&mut command, &folder.path().join("node.log"))?;
    cost::ready(listen).await?;
    sleep(SETTLED).await;
    drive(asked, listen, "warm").await?;
    let (before, began) = (node.used()?, Instant::now());
    let ended = drive(asked, listen, "count").await?;
    let (after, seconds) = (node.used()?, began.elapsed().as_secs_f64());
    let processor_s = after.processor_s - before.processor_s;
    let all = ended.served + ended.refused + ended.failed;
    measured.set("requests_a_second", all / seconds);
    measured.set("refused_percent", 100.0 * ended.refused / all.max(1.0));
    measured.set("failed_percent", 100.0 * ended.failed / all.max(1.0));
    measured.set("processor_percent", processor_s / seconds * 100.0);
    measured.set("request_processor_us", processor_s * 1e6 / all.max(1.0));
    measured.set("descriptors", after.descriptors);
    measured.set("memory_kb", after.memory_kb);
    Ok(measured)
}

/// Cache servers that serve every key, and a list of them; gives where it is.
async fn serve_fleet(servers: usize) -> Result<SocketAddr, String> {
    let fleet = Fleet::new(Rc::new(|_| {}));
    let mut all: Vec<Member> = members(servers);
    all.pop();
    for (number, member) in all.iter_mut().enumerate() {
        let warmth = Warmth { from: 1.0, since: None, span: Duration::from_secs(1) };
        let make = Make {
            number,
            slots: AT_WORK,
            queue: AT_WORK,
            work: Duration::ZERO,
            warmth,
            idle: Duration::from_secs(60),
            chance: 0.0,
            cluster: None,
            through: true,
            large: 0,
        };
        let made = CacheBox::new(Tokio, fleet.clone(), make, number as u64);
        member.address = made.serve(demo::any()).await.map_err(|e| e.to_string())?;
    }
    Agent::new(Tokio, fleet, 0, &all).serve(demo::any()).await.map_err(|e| e.to_string())
}

/// Asks at the rate, over all clients, and counts how requests end.
async fn drive(asked: &Asked, node: SocketAddr, name: &str) -> Result<Ended, String> {
    let ended: Rc<RefCell<Ended>> = Rc::default();
    let gap = Duration::from_secs_f64(CLIENTS as f64 / asked.per_s);
    let until = Instant::now() + Duration::from_secs(asked.seconds);
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let first = Instant::now() + gap.mul_f64(number as f64 / CLIENTS as f64);
            spawn_local(client(node, format!("{name}{number}"), (first, gap, until), ended.clone()))
        })
        .collect();
    for client in clients {
        client.await.map_err(|e| e.to_string())??;
    }
    let ended = *ended.borrow();
    Ok(ended)
}

async fn client(
    node: SocketAddr,
    name: String,
    (mut next, gap, until): (Instant, Duration, Instant),
    ended: Rc<RefCell<Ended>>,
) -> Result<(), String> {
    let dice = Dice::new(name.bytes().fold(7, |seed, byte| seed * 31 + u64::from(byte)));
    let stream = Tokio.connect(node).await.map_err(|e| e.to_string())?;
    Stream::set_nodelay(&stream);
    let (reading, mut writing) = stream.split();
    let mut buffer = BytesMut::new();
    let mut number = 0;
    while next < until {
        sleep_until(next.into()).await;
        next += gap;
        number += 1;
        let (key, id) = (format!("k{}", dice.within(0, KEYS)), format!("{name}-{number}"));
        let extras = format!("c=read,t=tenant-{},d=2000", number % TENANTS);
        let call = wire::encode(&["CACHE.GET", &key, &id, &extras]);
        writing.write_all(&call).await.map_err(|e| e.to_string())?;
        let answer = loop {
            match wire::answer(&mut buffer)? {
                Some(answer) => break answer,
                None => match wire::read_more(&reading, &mut buffer).await {
                    Ok(true) => {}
                    _ => return Err("the node closed the connection".into()),
                },
            }
        };
        let mut ended = ended.borrow_mut();
        match answer {
            wire::Answer::Value(_) => ended.served += 1.0,
            wire::Answer::Busy(_) => ended.refused += 1.0,
            _ => ended.failed += 1.0,
        }
    }
    Ok(())
}
