//! What the control part of one real node costs beside real coordinators: at rest, for a change of the list and for a
//! whole list. Bytes are counted by relays on the node's ways, without the headers of TCP and IP.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::rc::Rc;
use std::time::{Duration, Instant};

use mothpier_net::Tokio;
use tokio::time::sleep;

use super::process::Running;
use super::relay::{Crossed, Relay};
use super::{Measured, members};
use crate::agent::{Agent, Member};
use crate::demo;
use crate::fleet::Fleet;

/// Descriptors that the node may hold.
const SOCKETS: usize = 4_096;
/// What has not happened by then will not.
const PATIENCE: Duration = Duration::from_secs(30);
/// After its start a node is let settle.
const SETTLED: Duration = Duration::from_secs(4);
/// Changes of the list, one after another, and the time between two.
const CHANGES: usize = 50;
const BETWEEN_CHANGES: Duration = Duration::from_millis(200);
/// Whole lists, each behind a change.
const WHOLE_LISTS: usize = 10;
const BETWEEN_LISTS: Duration = Duration::from_millis(500);
/// The node may still work on the last one for so long.
const LAST_ONE: Duration = Duration::from_secs(1);

/// What is measured.
#[derive(Clone, Debug)]
pub struct Control {
    /// The folder of the programs.
    pub programs: PathBuf,
    /// Cache servers.
    pub servers: usize,
    /// Coordinators; with none the node has no block `fleet`.
    pub coordinators: usize,
    /// Seconds at rest.
    pub seconds: u64,
    /// The time of the node's session, as its file has it.
    pub ttl: String,
}

/// What runs round the node.
struct World {
    agent: Rc<Agent<Tokio>>,
    list: Relay,
    ways: Vec<Relay>,
    node: Running,
    _coordinators: Vec<Running>,
}

/// A look at the node and its ways.
struct Look {
    at: Instant,
    processor_s: f64,
    list: Crossed,
    coordinators: Crossed,
    calls: f64,
}

impl World {
    fn look(&self) -> Result<Look, String> {
        let coordinators = self.ways.iter().map(Relay::crossed).fold(Crossed::default(), Crossed::with);
        Ok(Look {
            at: Instant::now(),
            processor_s: self.node.used()?.processor_s,
            list: self.list.crossed(),
            coordinators,
            calls: self.agent.asked.get().1 as f64,
        })
    }
}

/// Measures a node at one size.
///
/// # Errors
///
/// A program that can't be started or does not serve.
pub async fn measure(control: &Control) -> Result<Measured, String> {
    let sizes = [("servers", control.servers as f64), ("coordinators", control.coordinators as f64)];
    let mut measured = Measured::new(sizes);
    let folder = tempfile::tempdir().map_err(|e| e.to_string())?;
    let world = start(control, folder.path()).await?;
    let first = world.look()?;
    measured.set("first_list_bytes", first.list.back);
    measured.set("start_to_coordinators_bytes", first.coordinators.out);
    sleep(SETTLED).await;

    let began = world.look()?;
    sleep(Duration::from_secs(control.seconds)).await;
    let rested = world.look()?;
    let used = world.node.used()?;
    let seconds = (rested.at - began.at).as_secs_f64();
    let rest_s = (rested.processor_s - began.processor_s) / seconds;
    let (list, coordinators) = (rested.list.since(began.list), rested.coordinators.since(began.coordinators));
    measured.set("rest_processor_percent", rest_s * 100.0);
    measured.set("rest_memory_kb", used.memory_kb);
    measured.set("rest_descriptors", used.descriptors);
    measured.set("rest_list_calls_a_second", (rested.calls - began.calls) / seconds);
    measured.set("rest_list_in_bytes_a_second", list.back / seconds);
    measured.set("rest_list_out_bytes_a_second", list.out / seconds);
    measured.set("rest_coordinators_connections_a_second", coordinators.connections / seconds);
    measured.set("rest_coordinators_in_bytes_a_second", coordinators.back / seconds);
    measured.set("rest_coordinators_out_bytes_a_second", coordinators.out / seconds);

    let all = members(control.servers);
    let began = world.look()?;
    for i in 0..CHANGES {
        world.agent.change(changed(&all, i));
        sleep(BETWEEN_CHANGES).await;
    }
    sleep(LAST_ONE).await;
    let told = world.look()?;
    let one = |of: f64, rest: f64| (of - rest * (told.at - began.at).as_secs_f64()) / CHANGES as f64;
    let list = told.list.since(began.list);
    let out = told.coordinators.since(began.coordinators).out;
    measured.set("change_processor_us", one(told.processor_s - began.processor_s, rest_s) * 1e6);
    measured.set("change_list_in_bytes", list.back / CHANGES as f64);
    measured.set("change_list_calls", (told.calls - began.calls) / CHANGES as f64);
    measured.set("change_to_coordinators_bytes", one(out, coordinators.out / seconds));

    let began = world.look()?;
    for i in 0..WHOLE_LISTS {
        world.agent.change(changed(&all, i));
        sleep(BETWEEN_LISTS).await;
        world.agent.renumber();
        sleep(BETWEEN_LISTS).await;
    }
    sleep(LAST_ONE).await;
    let whole = world.look()?;
    let span = (whole.at - began.at).as_secs_f64();
    let used = whole.processor_s - began.processor_s - rest_s * span;
    let change_us = measured.figures.get("change_processor_us").copied().unwrap_or_default();
    measured.set("whole_list_processor_us", used * 1e6 / WHOLE_LISTS as f64 - change_us);
    measured.set("whole_list_in_bytes", whole.list.since(began.list).back / WHOLE_LISTS as f64);
    measured.set("memory_after_lists_kb", world.node.used()?.memory_kb);
    Ok(measured)
}

/// A cache server of the list drains, or is ready again under a new start.
fn changed(all: &[Member], number: usize) -> Member {
    let phase = if number.is_multiple_of(2) { "draining" } else { "ready" };
    let mut member = all[number / 2 % (all.len() - 1)].clone();
    (member.phase, member.up_since_ms) = (phase, 1 + number as u64);
    member
}

async fn start(control: &Control, folder: &Path) -> Result<World, String> {
    let agent = Agent::new(Tokio, Fleet::new(Rc::new(|_| {})), 0, &members(control.servers));
    let list = agent.clone().serve(demo::any()).await.map_err(|e| e.to_string())?;
    let list = Relay::open(list).await?;
    let (coordinators, addresses) = start_coordinators(control, folder)?;
    let mut ways = Vec::new();
    for address in addresses {
        ways.push(Relay::open(address).await?);
    }
    let file = folder.join("node.json");
    let text = format!(
        r#"{{"name":"node-0001","listen":"127.0.0.1:0","discovery":"{}","seed":"1","limits":{{"memory_mb":192,
"sockets":{SOCKETS}}},"settings":{}}}"#,
        list.at,
        super::settings(6_300, 20, false, false)
    );
    write(&file, &text)?;
    let mut command = Command::new(control.programs.join("mothpier"));
    command.env("ROUTER_CONFIG", &file);
    if !ways.is_empty() {
        let told = folder.join("node.hcl");
        let at: Vec<String> = ways.iter().map(|way| format!("{:?}", way.at.to_string())).collect();
        let text = format!(
            "cluster = \"capacity\"\ncoordinators = [{}]\nfleet {{\n  zone = \"a\"\n  ttl = {:?}\n}}\n",
            at.join(", "),
            control.ttl
        );
        write(&told, &text)?;
        command.env("MOTHPIER_COORDINATION", &told);
    }
    let log = folder.join("node.log");
    let node = Running::start(&mut command, &log)?;
    let wanted = if ways.is_empty() { " listens on " } else { "who of the fleet is out is known" };
    let began = Instant::now();
    loop {
        let said = std::fs::read_to_string(&log).unwrap_or_default();
        if said.contains(wanted) && agent.asked.get().0 > 0 {
            break;
        }
        if began.elapsed() > PATIENCE {
            return Err(format!("the node does not come up: {said}"));
        }
        sleep(Duration::from_millis(50)).await;
    }
    Ok(World { agent, list, ways, node, _coordinators: coordinators })
}

fn start_coordinators(control: &Control, folder: &Path) -> Result<(Vec<Running>, Vec<SocketAddr>), String> {
    let program = control.programs.join("mothpier-coordinator");
    let addresses = demo::free(control.coordinators)?;
    let peer = |(i, at): (usize, &SocketAddr)| format!("peer \"{}\" {{ address = \"{at}\" }}\n", i + 1);
    let peers: String = addresses.iter().enumerate().map(peer).collect();
    let mut running = Vec::new();
    for (i, at) in addresses.iter().enumerate() {
        let member = i + 1;
        let own = folder.join(format!("coordinator-{member}"));
        let file = folder.join(format!("coordinator-{member}.hcl"));
        let text = format!(
            "cluster = \"capacity\"\nmember = {member}\nlisten = \"{at}\"\nfolder = {own:?}\n{peers}"
        );
        write(&file, &text)?;
        let init = Command::new(&program).arg("init").arg(&file).output();
        let init = init.map_err(|e| format!("{}: {e}", program.display()))?;
        if !init.status.success() {
            return Err(String::from_utf8_lossy(&init.stderr).into_owned());
        }
        let log = folder.join(format!("coordinator-{member}.log"));
        running.push(Running::start(Command::new(&program).arg("run").arg(&file), &log)?);
    }
    Ok((running, addresses))
}

/// Writes a file, or says which could not be.
pub(super) fn write(path: &Path, text: &str) -> Result<(), String> {
    std::fs::write(path, text).map_err(|e| format!("{}: {e}", path.display()))
}
