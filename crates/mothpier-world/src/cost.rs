//! What a request costs a node: CPU time of programs compared in one run, in rounds that take turns.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::BytesMut;
use mothpier_net::{Net, Stream, Tokio};
use tokio::io::AsyncWriteExt;

use crate::agent::{Agent, Member};
use crate::cache_box::{CacheBox, Make};
use crate::demo;
use crate::fleet::Fleet;
use crate::{Warmth, wire};

/// After so long a node that was not asked much has no reserve left.
const SETTLED: Duration = Duration::from_millis(4_000);

/// What is to be compared.
#[derive(Clone, Debug)]
pub struct Cost {
    /// The programs.
    pub nodes: Vec<PathBuf>,
    /// Rounds of each.
    pub rounds: usize,
    /// Requests of a round.
    pub requests: usize,
    /// Commands that a connection has out.
    pub depth: usize,
    /// Connections.
    pub connections: usize,
}

/// A program that ends with this value.
struct Running(Child);

impl Drop for Running {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// Seconds of CPU that a process has used, from the system's count (a hundredth of a second each).
fn cpu(pid: u32) -> Result<f64, String> {
    let path = format!("/proc/{pid}/stat");
    let text = std::fs::read_to_string(&path).map_err(|e| format!("{path}: {e}"))?;
    // The name stands in brackets and may hold spaces.
    let rest = text.rsplit(')').next().unwrap_or_default();
    let field = |at: usize| rest.split_whitespace().nth(at).and_then(|f| f.parse::<f64>().ok());
    match (field(11), field(12)) {
        (Some(user), Some(system)) => Ok((user + system) / 100.0),
        _ => Err(format!("{path}: no times of use")),
    }
}

/// Measures and prints; microseconds of CPU for a request, by program and round.
///
/// # Errors
///
/// A program that can't be started, or does not answer.
pub async fn run(cost: &Cost) -> Result<Vec<Vec<f64>>, String> {
    let fleet = Fleet::new(Rc::new(|_| {}));
    let mut members = Vec::new();
    for number in 0..4 {
        let warmth = Warmth { from: 1.0, since: None, span: Duration::from_secs(1) };
        let (work, idle) = (Duration::ZERO, Duration::from_secs(60));
        let make = Make {
            number,
            slots: 1024,
            queue: 1024,
            work,
            warmth,
            idle,
            chance: 0.0,
            cluster: None,
            through: false,
            large: 0,
        };
        let made = CacheBox::new(Tokio, fleet.clone(), make, number as u64);
        (0..1_000).for_each(|k| made.store(&format!("k{k}")));
        let at = made.serve(demo::any()).await.map_err(|e| e.to_string())?;
        let id = format!("s-{number}");
        members.push(Member { id, address: at, kind: "m", phase: "ready", up_since_ms: 0 });
    }
    let agent = Agent::new(Tokio, fleet, 0, &members);
    let list = agent.serve(demo::any()).await.map_err(|e| e.to_string())?;
    let mut figures = vec![Vec::new(); cost.nodes.len()];
    for round in 0..cost.rounds {
        // They take turns in turned order: what grows with time weighs on all alike.
        let mut order: Vec<usize> = (0..cost.nodes.len()).collect();
        if round % 2 == 1 {
            order.reverse();
        }
        for node in order {
            let figure = measure(cost, &cost.nodes[node], list).await?;
            demo::say(&format!(
                "round {} of {}: {:.1} us of CPU a request, {}",
                round + 1,
                cost.rounds,
                figure,
                cost.nodes[node].display()
            ));
            figures[node].push(figure);
        }
    }
    let middle = |of: &Vec<f64>| {
        let mut sorted = of.clone();
        sorted.sort_by(f64::total_cmp);
        sorted[sorted.len() / 2]
    };
    let first = middle(&figures[0]);
    for (node, of) in cost.nodes.iter().zip(&figures) {
        demo::say(&format!(
            "{}: median {:.1} us of CPU a request, {:.3} of the first",
            node.display(),
            middle(of),
            middle(of) / first
        ));
    }
    Ok(figures)
}

async fn measure(cost: &Cost, program: &PathBuf, list: SocketAddr) -> Result<f64, String> {
    let listen = demo::free(1)?[0];
    let path = std::env::temp_dir().join(format!("mothpier-cost-{}.json", std::process::id()));
    let text = demo::configuration(listen, list, 100_000.0);
    std::fs::write(&path, text).map_err(|e| format!("{}: {e}", path.display()))?;
    let child = Command::new(program)
        .env("ROUTER_CONFIG", &path)
        .env_remove("ROUTER_LISTEN")
        .env_remove("ROUTER_DISCOVERY")
        .stderr(Stdio::null())
        .spawn()
        .map_err(|e| format!("{}: {e}", program.display()))?;
    let running = Running(child);
    ready(listen).await?;
    // A node that has only just started turns away what a server can't be seen to bear yet.
    Tokio.sleep(SETTLED).await;
    drive(cost, listen, cost.requests / 10, "warm").await?;
    let before = cpu(running.0.id())?;
    let refused = drive(cost, listen, cost.requests, "count").await?;
    let used = cpu(running.0.id())? - before;
    if refused * 100 > cost.requests {
        return Err(format!(
            "{refused} of {} requests were refused: this is no measure of reads",
            cost.requests
        ));
    }
    let _ = std::fs::remove_file(&path);
    Ok(used * 1e6 / cost.requests as f64)
}

/// Waits until a node says that it is ready.
pub(crate) async fn ready(node: SocketAddr) -> Result<(), String> {
    let until = Instant::now() + Duration::from_secs(10);
    while Instant::now() < until {
        if let Ok(stream) = Tokio.connect(node).await {
            let (reading, mut writing) = stream.split();
            let mut buffer = BytesMut::new();
            if writing.write_all(&wire::encode(&["PING"])).await.is_ok()
                && wire::read_more(&reading, &mut buffer).await.is_ok()
                && buffer.starts_with(b"+PONG")
            {
                return Ok(());
            }
        }
        Tokio.sleep(Duration::from_millis(20)).await;
    }
    Err(format!("the node at {node} was not ready within 10 s"))
}

async fn drive(cost: &Cost, node: SocketAddr, requests: usize, name: &str) -> Result<usize, String> {
    let each = requests.div_ceil(cost.connections);
    let set = tokio::task::LocalSet::new();
    let tasks: Vec<_> = (0..cost.connections)
        .map(|c| {
            let (depth, name) = (cost.depth, format!("{name}{c}"));
            set.spawn_local(async move { connection(node, depth, each, &name).await })
        })
        .collect();
    set.await;
    let mut refused = 0;
    for task in tasks {
        refused += task.await.map_err(|e| e.to_string())??;
    }
    Ok(refused)
}

async fn connection(node: SocketAddr, depth: usize, requests: usize, name: &str) -> Result<usize, String> {
    let stream = Tokio.connect(node).await.map_err(|e| e.to_string())?;
    Stream::set_nodelay(&stream);
    let (reading, mut writing) = stream.split();
    let mut buffer = BytesMut::new();
    let mut out = VecDeque::new();
    let (mut asked, mut refused) = (0, 0);
    while asked < requests || !out.is_empty() {
        let mut batch = Vec::new();
        while out.len() < depth && asked < requests {
            let (key, id) = (format!("k{}", (asked * 7) % 1_000), format!("{name}-{asked}"));
            batch.extend(wire::encode(&["CACHE.GET", &key, &id, "c=browse,t=acme,d=1400"]));
            out.push_back(());
            asked += 1;
        }
        writing.write_all(&batch).await.map_err(|e| e.to_string())?;
        while out.len() == depth || (asked == requests && !out.is_empty()) {
            match wire::answer(&mut buffer) {
                Ok(Some(answer @ (wire::Answer::Value(_) | wire::Answer::Busy(_)))) => {
                    refused += usize::from(matches!(answer, wire::Answer::Busy(_)));
                    out.pop_front();
                }
                Ok(Some(other)) => return Err(format!("a read that every box holds was answered {other:?}")),
                Ok(None) => match wire::read_more(&reading, &mut buffer).await {
                    Ok(true) => {}
                    _ => return Err("the node closed the connection".into()),
                },
                Err(e) => return Err(e),
            }
        }
    }
    Ok(refused)
}
