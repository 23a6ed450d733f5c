//! One trial of leases: coordinators, nodes under traffic and contenders as processes, links between all of them, faults by
//! a plan, and a verdict from what the nodes obeyed.

use std::cell::Cell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::{Duration, Instant};

use mothpier_world::loopback::{self, Discovery};
use rustix::process::Signal;
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::net::TcpStream;
use tokio::task::spawn_local;

use crate::contender::LEASE;
use crate::judge::{self, Verdict};
use crate::link::Link;
use crate::plan::{Fault, Plan, Way, Who};
use crate::process::Process;
use crate::programs::{self, address, write};

/// After everything is mended, grants in whose name something is done are waited for so long; nothing is asserted of how
/// fast they come.
const PATIENCE: Duration = Duration::from_secs(60);
/// Grants that have to come then.
const GRANTS_AFTER: usize = 2;
/// Between two looks at the nodes' logs, and between two requests of a client.
const LOOK: Duration = Duration::from_millis(200);
const REQUEST: Duration = Duration::from_millis(20);

/// How a trial is played.
#[derive(Clone, Debug)]
pub struct How {
    /// Where the programs are.
    pub programs: PathBuf,
    /// Where logs and folders go.
    pub folder: PathBuf,
    /// Planted: contenders make fences and times up.
    pub unfenced: bool,
    /// Which of the trials that run at once this is: each has addresses of its own.
    pub lane: u8,
}

/// What came of a trial.
#[derive(Debug)]
pub struct Played {
    /// What the far ends showed.
    pub verdict: Verdict,
    /// Whether it healed.
    pub healed: bool,
    /// Answers that clients got, those of them that were refused or failed, and answers not made for their request.
    pub answers: (u64, u64, u64),
    /// Processes that ended by themselves.
    pub ended: Vec<Who>,
}

/// The processes of a trial and the links between them.
pub struct Fleet {
    /// The processes.
    pub processes: BTreeMap<Who, Process>,
    /// The links.
    pub links: BTreeMap<(Who, Who), Rc<Link>>,
    /// How many nodes there are.
    pub nodes: usize,
}

impl Fleet {
    fn obeyed(&self) -> Vec<judge::Obeyed> {
        let nodes = (0..self.nodes).filter_map(|i| Some((i, self.processes.get(&Who::Node(i))?)));
        let lines = nodes.map(|(i, p)| (i, p.logged()));
        lines.flat_map(|(i, log)| log.lines().filter_map(|l| judge::read(i, l)).collect::<Vec<_>>()).collect()
    }

    /// Who is meant, now.
    fn present(&self, who: Who) -> Who {
        if who != Who::Holder {
            return who;
        }
        let last = |process: &Process| {
            let held = |line: &str| line.strip_prefix("holds fence ")?.split(' ').next()?.parse::<u64>().ok();
            process.logged().lines().filter_map(held).max()
        };
        let all = self.processes.iter().filter(|(who, _)| matches!(who, Who::Contender(_)));
        all.max_by_key(|(_, process)| last(process)).map_or(Who::Contender(0), |(who, _)| *who)
    }

    /// Links from one to another behave so from now on.
    pub fn set(&self, of: impl Fn(Who, Who) -> bool, way: Way) {
        self.links.iter().filter(|((from, to), _)| of(*from, *to)).for_each(|(_, link)| link.set(way));
    }

    async fn again(self: Rc<Self>, who: Who, after: u64) {
        if let Some(process) = self.processes.get(&who) {
            process.kill().await;
            tokio::time::sleep(Duration::from_millis(after)).await;
            if let Err(why) = process.start() {
                eprintln!("{who:?}: {why}");
            }
        }
    }

    /// Carries a fault out; what lasts is a task.
    pub fn befall(self: &Rc<Self>, fault: &Fault, tasks: &mut Vec<tokio::task::JoinHandle<()>>) {
        match *fault {
            // All links of whoever held it are mended with those of whoever holds it then.
            Fault::Links(Who::Holder, Way::Open) => {
                self.set(|from, _| matches!(from, Who::Contender(_)), Way::Open)
            }
            Fault::Links(who, way) => {
                let who = self.present(who);
                self.set(|from, to| from == who || to == who, way);
            }
            Fault::Link(one, other, way) => self.set(|from, to| (from, to) == (one, other), way),
            Fault::Kill(who, after) => {
                tasks.push(spawn_local(self.clone().again(self.present(who), after)));
            }
            Fault::KillAllCoordinators(after) => {
                let all = self.processes.keys().filter(|w| matches!(w, Who::Coordinator(_)));
                all.for_each(|who| tasks.push(spawn_local(self.clone().again(*who, after))));
            }
            Fault::Stop(who, lasts) => {
                let (fleet, who) = (self.clone(), self.present(who));
                tasks.push(spawn_local(async move {
                    let Some(process) = fleet.processes.get(&who) else { return };
                    process.signal(Signal::STOP);
                    tokio::time::sleep(Duration::from_millis(lasts)).await;
                    process.signal(Signal::CONT);
                }));
            }
        }
    }
}

/// A client of one node: each answer must name the request that it is for.
async fn client(at: SocketAddr, answers: Rc<Cell<(u64, u64, u64)>>) {
    let mut number = 0u64;
    loop {
        tokio::time::sleep(REQUEST).await;
        let Ok(stream) = TcpStream::connect(at).await else { continue };
        let (read, mut write) = stream.into_split();
        let mut lines = BufReader::new(read).lines();
        loop {
            number += 1;
            let (key, id) = (format!("k{}", number % 50), format!("i{number}"));
            let words = ["CACHE.GET", &key, &id, "c=read,t=acme,d=1500"];
            let mut text = format!("*{}\r\n", words.len());
            words.iter().for_each(|w| text += &format!("${}\r\n{w}\r\n", w.len()));
            if write.write_all(text.as_bytes()).await.is_err() {
                break;
            }
            let mut answer = Vec::new();
            while let Ok(Some(line)) = lines.next_line().await {
                let more = line.starts_with('$') && !line.starts_with("$-1");
                answer.push(line);
                if !more {
                    break;
                }
            }
            let (mut all, mut refused, mut wrong) = answers.get();
            match answer.last().map(String::as_str) {
                None => break,
                Some(value) if answer.len() == 2 && value == id => all += 1,
                Some(line) if line.starts_with('-') => (all, refused) = (all + 1, refused + 1),
                Some(_) => (all, wrong) = (all + 1, wrong + 1),
            }
            answers.set((all, refused, wrong));
            tokio::time::sleep(REQUEST).await;
        }
    }
}

/// The coordinators at these addresses, each reaching the others through its own links; not started yet.
pub fn members(
    how: &How,
    addresses: &[SocketAddr],
    links: &BTreeMap<(Who, Who), Rc<Link>>,
) -> Result<Vec<(Who, Process)>, String> {
    let one = |i: usize, own: SocketAddr| {
        let peers = (1..=addresses.len())
            .map(|j| links.get(&(Who::Coordinator(i), Who::Coordinator(j))).map_or(own, |l| l.at));
        let peers: Vec<SocketAddr> = peers.collect();
        let process = programs::coordinator(&how.programs, &how.folder, i, own, &peers)?;
        Ok((Who::Coordinator(i), process))
    };
    addresses.iter().enumerate().map(|(i, own)| one(i + 1, *own)).collect()
}

async fn started(plan: &Plan, how: &How) -> Result<(Rc<Fleet>, Vec<SocketAddr>), String> {
    let size = plan.size;
    let coordinators: Vec<SocketAddr> =
        (1..=size.coordinators).map(|i| address(how.lane, 10 + i as u8)).collect();
    let doors: Vec<SocketAddr> = (0..size.nodes).map(|i| address(how.lane, 40 + i as u8)).collect();
    let fronts: Vec<SocketAddr> = (0..size.nodes).map(|i| address(how.lane, 70 + i as u8)).collect();
    let (mut links, mut processes) = (BTreeMap::new(), BTreeMap::new());
    let link = async |from: Who, to: Who, target: SocketAddr| {
        let link = Link::to(target).await.map_err(|e| format!("a link: {e}"))?;
        Ok::<_, String>(((from, to), link))
    };
    let nodes = (0..size.nodes).map(Who::Node);
    let contenders = (0..size.contenders).map(Who::Contender);
    let members = (1..=size.coordinators).map(Who::Coordinator);
    for from in members.chain(nodes).chain(contenders) {
        for (i, target) in coordinators.iter().enumerate() {
            let to = Who::Coordinator(i + 1);
            if from != to {
                links.extend([link(from, to, *target).await?]);
            }
        }
        if let Who::Contender(_) = from {
            for (i, target) in doors.iter().enumerate() {
                links.extend([link(from, Who::Node(i), *target).await?]);
            }
        }
    }
    let through = |from: Who| -> Vec<SocketAddr> {
        (1..=size.coordinators).map(|i| links[&(from, Who::Coordinator(i))].at).collect()
    };
    let log = |name: String| how.folder.join(format!("{name}.log"));
    processes.extend(self::members(how, &coordinators, &links)?);
    // Two cache servers; the contenders take the second one out and in.
    let value = |asked: &[String]| loopback::array(asked.get(2).map_or("", |id| id));
    let boxes = [loopback::serve(loopback::command, value), loopback::serve(loopback::command, value)];
    let list = [("s-1", boxes[0]), ("s-2", boxes[1])].map(|(id, at)| loopback::member(id, at, "m", "ready"));
    for i in 0..size.nodes {
        let discovery = Discovery::start(&list.join(","));
        let node = programs::Node {
            name: format!("node-{i}"),
            front: fronts[i],
            door: doors[i],
            discovery: discovery.address,
            coordinators: &through(Who::Node(i)),
            fleet: "",
        };
        processes.insert(Who::Node(i), node.process(&how.programs, &how.folder)?);
    }
    let own = std::env::current_exe().map_err(|e| e.to_string())?;
    for i in 0..size.contenders {
        let list = |all: Vec<SocketAddr>| all.iter().map(SocketAddr::to_string).collect::<Vec<_>>().join(",");
        let nodes = (0..size.nodes).map(|j| links[&(Who::Contender(i), Who::Node(j))].at).collect();
        let mut arguments = vec![
            "contender".to_owned(),
            format!("--coordinators={}", list(through(Who::Contender(i)))),
            format!("--nodes={}", list(nodes)),
            format!("--seed={}", plan.seed.wrapping_mul(1000) + i as u64),
            format!("--ttl-ms={}", size.ttl_ms),
        ];
        if how.unfenced {
            arguments.push("--unfenced".into());
        }
        let process = Process::new(own.clone(), arguments, Vec::new(), log(format!("contender-{i}")));
        processes.insert(Who::Contender(i), process);
    }
    processes.values().try_for_each(Process::start)?;
    Ok((Rc::new(Fleet { processes, links, nodes: size.nodes }), fronts))
}

/// Plays a trial to its end.
///
/// # Errors
///
/// What keeps it from being played; that says nothing of the programs.
pub async fn play(plan: &Plan, how: &How) -> Result<Played, String> {
    std::fs::create_dir_all(&how.folder).map_err(|e| format!("{}: {e}", how.folder.display()))?;
    write(&how.folder.join("plan.json"), &serde_json::to_string_pretty(plan).unwrap_or_default())?;
    let (fleet, fronts) = started(plan, how).await?;
    let answers = Rc::new(Cell::new((0, 0, 0)));
    let clients: Vec<_> = fronts.iter().map(|at| spawn_local(client(*at, answers.clone()))).collect();
    let (began, mut tasks) = (Instant::now(), Vec::new());
    for (at, fault) in &plan.faults {
        tokio::time::sleep_until((began + Duration::from_millis(*at)).into()).await;
        fleet.befall(fault, &mut tasks);
    }
    for task in tasks {
        let _ = task.await;
    }
    // Everything is mended: what must happen in the end.
    fleet.set(|_, _| true, Way::Open);
    let ended = fleet.processes.iter().filter(|(_, p)| p.has_ended()).map(|(who, _)| *who).collect();
    let before = judge::judge(fleet.obeyed()).grants;
    let until = Instant::now() + PATIENCE;
    let mut healed = false;
    while !healed && Instant::now() < until {
        tokio::time::sleep(LOOK).await;
        healed = judge::judge(fleet.obeyed()).grants >= before + GRANTS_AFTER;
    }
    clients.iter().for_each(|c| c.abort());
    for process in fleet.processes.values() {
        process.kill().await;
    }
    let obeyed = fleet.obeyed();
    time_line(&obeyed, how)?;
    Ok(Played { verdict: judge::judge(obeyed), healed, answers: answers.get(), ended })
}

/// What every node obeyed, in the order of its time, in one file beside the logs.
fn time_line(obeyed: &[judge::Obeyed], how: &How) -> Result<(), String> {
    let mut all = obeyed.to_vec();
    all.sort();
    let lines = all.iter().map(|o| format!("{} node-{} obeys {LEASE} fence {}\n", o.at_us, o.node, o.fence));
    write(&how.folder.join("obeyed.txt"), &lines.collect::<String>())
}
