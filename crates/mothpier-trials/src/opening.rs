//! The figures from which agreed drains began, taken again with them: everybody told to go at once, and a node that comes
//! back from nothing. And how long a drain takes, and what it costs. No faults here: `run drains` has them.

use std::rc::Rc;
use std::sync::PoisonError;
use std::time::{Duration, Instant};

use mothpier_coordination::fleet::messages::{AuditNote, FleetCommand, FleetResponse, Stage, Subject, Then};
use mothpier_coordination_client::{Client, Session};
use mothpier_net::Tokio;
use tokio::task::spawn_local;

use crate::drains::{Line, TrialSize, World, settled, started};
use crate::measure::{figures, processor_s};
use crate::plan::{Plan, Size, Who};
use crate::trial::How;

/// What is looked at for so long after all were told.
const LOOKS: Duration = Duration::from_secs(4);
/// Longer than anything takes.
const PATIENCE: Duration = Duration::from_secs(30);
/// Requests to the node that comes back.
const REQUESTS: usize = 400;
/// Drains that are timed.
const DRAINS: usize = 30;
/// For how long costs are taken.
const SPAN: Duration = Duration::from_secs(4);

/// Takes the figures.
///
/// # Errors
///
/// What keeps them from being taken.
pub async fn measure(how: &How, nodes: usize, servers: usize, coordinators: usize) -> Result<(), String> {
    let size = Size { coordinators, nodes, contenders: 1, ms: 0, ttl_ms: 1500 };
    let plan = Plan { seed: 0, size, faults: Vec::new() };
    let trial_size = TrialSize { servers, people: 0, guesses: false };
    std::fs::create_dir_all(&how.folder).map_err(|e| e.to_string())?;
    let world = started(&plan, trial_size, how).await?;
    let mut running = Vec::new();
    for node in 0..nodes {
        running.push(spawn_local(world.clone().check_health(node)));
        running.push(spawn_local(world.clone().client(node, mothpier_world::Dice::part(7, node as u64))));
    }
    settled(&world, trial_size, how).await?;
    all_nodes(&world, nodes).await;
    all_servers(&world, servers).await;
    from_nothing(&world).await?;
    timed(&world, servers).await?;
    costs(&world, nodes, coordinators).await;
    running.iter().for_each(|task| task.abort());
    for process in world.fleet.processes.values() {
        process.kill().await;
    }
    Ok(())
}

async fn told(world: &Rc<World>, kind: &str, ids: &[String], what: &[&str]) {
    let all = ids.iter().map(|id| {
        let (world, mut words) = (world.clone(), vec![what[0].to_owned(), kind.to_owned(), id.clone()]);
        words.extend(what[1..].iter().map(|w| (*w).to_owned()));
        spawn_local(async move {
            let words: Vec<&str> = words.iter().map(String::as_str).collect();
            world.tool(&words, PATIENCE).await
        })
    });
    for one in all.collect::<Vec<_>>() {
        let _ = one.await;
    }
}

/// Waits until everybody serves again.
async fn healed(world: &World, servers: usize) {
    let until = Instant::now() + PATIENCE;
    loop {
        let since = world.clock.us();
        tokio::time::sleep(Duration::from_millis(600)).await;
        if world.all_serve(since, servers) || Instant::now() > until {
            return;
        }
    }
}

async fn all_nodes(world: &Rc<World>, nodes: usize) {
    let ids: Vec<String> = (0..nodes).map(|i| format!("node-{i}")).collect();
    told(world, "node", &ids, &["drain", "--reason", "opening"]).await;
    let (until, mut fewest) = (Instant::now() + LOOKS, nodes);
    while Instant::now() < until {
        fewest = fewest.min(world.ready.borrow().iter().filter(|r| **r).count());
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    println!("{nodes} of {nodes} nodes told to go at once: {fewest} stay ready");
    told(world, "node", &ids, &["back", "--reason", "opening"]).await;
}

async fn all_servers(world: &Rc<World>, servers: usize) {
    healed(world, servers).await;
    let ids: Vec<String> = (0..servers).map(|i| format!("s-{i}")).collect();
    told(world, "server", &ids, &["drain", "--reason", "opening"]).await;
    tokio::time::sleep(LOOKS).await;
    let since = world.clock.us() - 1_500_000;
    let heard: std::collections::BTreeSet<usize> = {
        let sent = world.sent.lock().unwrap_or_else(PoisonError::into_inner);
        sent.iter().rev().take_while(|s| s.at_us >= since).map(|s| s.server).collect()
    };
    println!("{servers} of {servers} cache servers told to go at once: {} are sent to", heard.len());
    told(world, "server", &ids, &["back", "--reason", "opening"]).await;
}

async fn from_nothing(world: &Rc<World>) -> Result<(), String> {
    healed(world, world.servers).await;
    if world.tool(&["drain", "server", "s-0", "--reason", "opening", "--wait"], PATIENCE).await != Some(0) {
        return Err("a cache server did not go out".into());
    }
    let node = Who::Node(0);
    let process = world.fleet.processes.get(&node).ok_or("no node")?;
    process.kill().await;
    process.start()?;
    let began = world.clock.us();
    // As a front does: nothing before the node says that it is ready.
    let (mut asked, until) = (0, Instant::now() + PATIENCE);
    while asked < REQUESTS && Instant::now() < until {
        let Some(mut line) = Line::to(world.fronts[0]).await else { continue };
        let pong = line.ask(&["PING"]).await.is_some_and(|a| a[0] == "+PONG");
        if !pong {
            tokio::time::sleep(Duration::from_millis(10)).await;
            continue;
        }
        while asked < REQUESTS {
            let (key, id) = (format!("k{asked}"), format!("0-opening-{asked}"));
            if line.ask(&["CACHE.GET", &key, &id, "c=read,t=acme,d=1500"]).await.is_none() {
                break;
            }
            asked += 1;
        }
    }
    let (out, all) = {
        let sent = world.sent.lock().unwrap_or_else(PoisonError::into_inner);
        let own = sent.iter().filter(|s| s.at_us >= began && s.node == 0);
        (own.clone().filter(|s| s.server == 0).count(), own.count())
    };
    println!("a node killed and back from nothing: {out} of {all} requests to the one that is out");
    world.tool(&["back", "server", "s-0", "--reason", "opening", "--wait"], PATIENCE).await;
    Ok(())
}

/// From the word to `out`, with the client library and a look every 5 ms.
async fn timed(world: &Rc<World>, servers: usize) -> Result<(), String> {
    let client = Client::new(Tokio, "trial".into(), world.desk.clone())?;
    let session = Session::open(client.clone(), "timed".into(), PATIENCE, PATIENCE).await?;
    let note = || AuditNote { by: "trial".into(), reason: "timed".into(), at_ms: 0 };
    let mut all = Vec::new();
    for i in 0..DRAINS {
        let subject = Subject::server(&format!("s-{}", i % servers));
        let drain = FleetCommand::Drain {
            subject: subject.clone(),
            note: note(),
            for_ms: None,
            then: Then::Stay,
            wait: true,
            force: false,
        };
        let began = Instant::now();
        let answer = session.fleet(drain).await.map_err(|l| l.to_string())?.map_err(|r| r.to_string())?;
        let FleetResponse::Drain { number, .. } = answer else { return Err("no drain".into()) };
        loop {
            let fleet = client.fleet(Instant::now() + PATIENCE).await?.fleet;
            if fleet.drains.get(&number).is_none_or(|d| d.stage >= Stage::Out) {
                break;
            }
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        all.push(began.elapsed().as_secs_f64() * 1000.0);
        let back = FleetCommand::Back { subject, note: note() };
        session.fleet(back).await.map_err(|l| l.to_string())?.map_err(|r| r.to_string())?;
        tokio::time::sleep(Duration::from_millis(900)).await;
    }
    println!("{}", figures("from drain to out", all));
    session.close(PATIENCE).await;
    Ok(())
}

/// Processor time at rest, but for the clients' requests.
async fn costs(world: &Rc<World>, nodes: usize, coordinators: usize) {
    let used = |who: Who| {
        let id = world.fleet.processes.get(&who).and_then(crate::process::Process::id);
        id.map_or(0.0, processor_s)
    };
    let all = || {
        let members: f64 = (1..=coordinators).map(|i| used(Who::Coordinator(i))).sum();
        let own: f64 = (0..nodes).map(|i| used(Who::Node(i))).sum();
        (members, own)
    };
    let before = all();
    tokio::time::sleep(SPAN).await;
    let after = all();
    let share = |a: f64, b: f64, among: usize| 100.0 * (b - a) / SPAN.as_secs_f64() / among as f64;
    println!(
        "no drains: a coordinator uses {:.1} % of a core, a node {:.1} % with its clients' requests",
        share(before.0, after.0, coordinators),
        share(before.1, after.1, nodes)
    );
}
