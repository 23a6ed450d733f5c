//! The clients that people use, against a node: each program of `tests/clients` with a fleet of its own, a box that dies
//! and a node that is stopped and started again.

use std::cell::RefCell;
use std::io::{BufRead, BufReader, Write};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::rc::Rc;
use std::thread;
use std::time::{Duration, Instant};

use bytes::BytesMut;
use mothpier::Control;
use mothpier::config::{self, Precedence};
use mothpier_net::{Net, Stream, Tokio};
use tokio::io::AsyncWriteExt;
use tokio::sync::{Notify, mpsc};

use crate::agent::{Agent, Member};
use crate::cache_box::{CacheBox, Make};
use crate::demo::{any, configuration, free, say};
use crate::fleet::Fleet;
use crate::machine::Machine;
use crate::origin::Origin;
use crate::{Seen, Warmth, wire};

/// A program that has not said the next thing by then has hung.
const HUNG: Duration = Duration::from_secs(60);
const BOXES: usize = 4;
const KEYS: u64 = 97;
/// What each program must have been served: `tests/clients/README.md`.
const SERVED: [(&str, u64); 3] = [("served", 1_000), ("after box", 200), ("after restart", 200)];

/// A tool chain with its ways to connect.
struct Chain {
    name: &'static str,
    /// What installs it, from the repository's root; `TARGET` stands for the build folder.
    install: &'static [&'static str],
    /// What runs a way, which is added with host and port.
    run: &'static [&'static str],
    /// Ways at any node, and those at a node with slots alone.
    plain: &'static [&'static str],
    slots: &'static [&'static str],
}

const CHAINS: &[Chain] = &[
    Chain {
        name: "rust",
        install: &["cargo", "build", "--quiet", "--release", "--locked", "-p", "mothpier-clients"],
        run: &["TARGET/release/mothpier-clients"],
        plain: &["redis-sync", "redis-sync-resp3", "redis-multiplexed", "fred-plain", "fred-plain-resp3"],
        slots: &["redis-cluster", "redis-cluster-resp3", "fred-cluster"],
    },
    Chain {
        name: "python",
        install: &[
            "python3",
            "-m",
            "pip",
            "install",
            "--quiet",
            "--disable-pip-version-check",
            "--root-user-action=ignore",
            "--upgrade",
            "--target",
            "TARGET/clients/python",
            "-r",
            "tests/clients/python/requirements.txt",
        ],
        run: &["env", "PYTHONPATH=TARGET/clients/python", "python3", "tests/clients/python/client.py"],
        plain: &["sync", "sync-resp2", "sync-resp3", "async", "async-resp2"],
        slots: &["cluster", "cluster-resp2", "cluster-resp3", "async-cluster"],
    },
    Chain {
        name: "javascript",
        install: &[
            "sh",
            "-c",
            "mkdir -p TARGET/clients/js && cp tests/clients/js/* TARGET/clients/js/ && cd TARGET/clients/js && npm install --silent --no-audit --no-fund",
        ],
        run: &["node", "TARGET/clients/js/client.js"],
        plain: &["redis-plain", "redis-plain-resp3", "ioredis-plain"],
        slots: &["redis-cluster", "redis-cluster-resp3", "ioredis-cluster"],
    },
];

/// What is to be played.
pub struct Matrix {
    /// The repository's root.
    pub root: PathBuf,
    /// Only ways whose tool chain and name, as in `python/sync`, hold this.
    pub only: Option<String>,
}

/// A node with all that is round it, on loopback.
struct World {
    listen: SocketAddr,
    slots: bool,
    text: String,
    boxes: Vec<(Machine, Member)>,
    agent: Rc<Agent<Tokio>>,
    control: RefCell<Option<mpsc::Sender<Control>>>,
    ended: Rc<Notify>,
}

impl World {
    async fn start(slots: bool) -> Result<World, String> {
        let fleet = Fleet::new(Rc::new(|_: Seen| {}));
        let origin =
            Origin::new(Tokio, fleet.clone(), (16, 256), Duration::from_millis(4), Duration::from_secs(3), 1);
        let origin_at = origin.serve(any()).await.map_err(|e| format!("the origin: {e}"))?;
        let member = |id: String, address, kind| Member { id, address, kind, phase: "ready", up_since_ms: 0 };
        let mut boxes = Vec::new();
        for number in 0..BOXES {
            let machine = Machine::default();
            let make = Make {
                number,
                slots: 16,
                queue: 1_024,
                work: Duration::from_millis(1),
                warmth: Warmth { from: 1.0, since: None, span: Duration::from_secs(1) },
                idle: Duration::from_secs(30),
                chance: 0.5,
                cluster: None,
                through: false,
                large: 0,
            };
            let made = CacheBox::new(machine.clone(), fleet.clone(), make, number as u64);
            (0..KEYS).for_each(|k| made.store(&format!("k{k}")));
            fleet.runs(number, made.clone());
            let at = made.serve(any()).await.map_err(|e| format!("box {number}: {e}"))?;
            boxes.push((machine, member(format!("s-{number}"), at, "m")));
        }
        let mut members: Vec<Member> = boxes.iter().map(|(_, m)| m.clone()).collect();
        members.push(member("o-1".into(), origin_at, "origin"));
        let agent = Agent::new(Tokio, fleet, 0, &members);
        let list_at = agent.clone().serve(any()).await.map_err(|e| format!("the list: {e}"))?;
        let listen = free(1)?[0];
        let text = configuration(listen, list_at, 100_000.0);
        let (control, ended) = (RefCell::default(), Rc::default());
        let world = World { listen, slots, text, boxes, agent, control, ended };
        world.node_starts().await?;
        Ok(world)
    }

    /// Starts the node and waits until it answers that it is ready.
    async fn node_starts(&self) -> Result<(), String> {
        let mut config = config::parse(self.text.as_bytes(), &|_| None, Precedence::Environment)?;
        config.cluster = self.slots.then(|| vec![self.listen]);
        let (control, told) = mpsc::channel(4);
        *self.control.borrow_mut() = Some(control);
        let ended = self.ended.clone();
        Tokio.spawn(async move {
            if let Err(e) = mothpier::run(Tokio, config, told).await {
                Tokio.log(e);
            }
            ended.notify_one();
        });
        let until = Instant::now() + HUNG;
        while Instant::now() < until {
            if self.pings().await {
                return Ok(());
            }
            Tokio.sleep(Duration::from_millis(20)).await;
        }
        Err(format!("the node at {} does not become ready", self.listen))
    }

    async fn pings(&self) -> bool {
        let Ok(stream) = Tokio.connect(self.listen).await else { return false };
        let (reading, mut writing) = stream.split();
        let mut buffer = BytesMut::new();
        let asked = writing.write_all(&wire::encode(&["PING"])).await.is_ok();
        asked
            && matches!(wire::read_more(&reading, &mut buffer).await, Ok(true))
            && buffer.starts_with(b"+PONG")
    }

    fn box_dies(&self) {
        let (machine, member) = &self.boxes[1];
        machine.kill();
        self.agent.change(Member { phase: "gone", ..member.clone() });
    }

    async fn node_stops(&self) -> Result<(), String> {
        let control = self.control.borrow_mut().take();
        if let Some(control) = control {
            let _ = control.send(Control::Stop).await;
        }
        let stopped = Tokio.timeout(HUNG, self.ended.notified()).await;
        stopped.ok_or_else(|| "the node does not stop".into())
    }

    async fn end(&self) {
        let _ = self.node_stops().await;
        self.boxes.iter().for_each(|(machine, _)| machine.kill());
    }
}

/// A program that runs, with the lines that it says.
pub(crate) struct Program {
    child: Child,
    lines: mpsc::UnboundedReceiver<String>,
}

impl Drop for Program {
    fn drop(&mut self) {
        // Both fail where it has ended by itself.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Program {
    pub(crate) fn start(root: &Path, words: &[String]) -> Result<Program, String> {
        let mut command = Command::new(&words[0]);
        command.args(&words[1..]).current_dir(root);
        command.stdin(Stdio::piped()).stdout(Stdio::piped()).stderr(Stdio::piped());
        let mut child = command.spawn().map_err(|e| format!("{}: {e}", words[0]))?;
        let (say, lines) = mpsc::unbounded_channel();
        let out = child.stdout.take().map(|o| Box::new(o) as Box<dyn std::io::Read + Send>);
        let err = child.stderr.take().map(|e| Box::new(e) as Box<dyn std::io::Read + Send>);
        for (mark, pipe) in [("", out), ("! ", err)] {
            let (say, pipe) = (say.clone(), pipe.ok_or("no pipe to the program")?);
            thread::spawn(move || {
                BufReader::new(pipe)
                    .lines()
                    .map_while(Result::ok)
                    .for_each(|l| drop(say.send(format!("{mark}{l}"))));
            });
        }
        Ok(Program { child, lines })
    }

    /// Waits for what a phase says, and gives how many were served.
    async fn phase(&mut self, name: &str) -> Result<u64, String> {
        let mut last = String::new();
        loop {
            match Tokio.timeout(HUNG, self.lines.recv()).await {
                None => return Err(format!("says nothing for {} s before {name:?}", HUNG.as_secs())),
                Some(None) => return Err(format!("ended before {name:?}: {}", shown(&last))),
                Some(Some(line)) => match line.strip_prefix(name).map(|n| n.trim().parse()) {
                    Some(Ok(served)) => return Ok(served),
                    _ if !line.trim_start_matches('!').trim().is_empty() => last = line,
                    _ => {}
                },
            }
        }
    }

    /// The next line that it says on its standard output; `None` where none comes.
    pub(crate) async fn line(&mut self, within: Duration) -> Option<String> {
        loop {
            let line = Tokio.timeout(within, self.lines.recv()).await??;
            if !line.starts_with("! ") {
                return Some(line);
            }
        }
    }

    fn go_on(&mut self) {
        if let Some(input) = &mut self.child.stdin {
            // One that has ended shows it by its next phase.
            let _ = input.write_all(b"\n");
        }
    }
}

fn shown(line: &str) -> String {
    line.trim_start_matches("! ").chars().take(160).collect()
}

/// Plays one way; the error is what it lost, in a line.
async fn way(root: &Path, words: &[String], slots: bool) -> Result<(), String> {
    let world = World::start(slots).await?;
    let words: Vec<String> = words
        .iter()
        .cloned()
        .chain([world.listen.ip().to_string(), world.listen.port().to_string()])
        .collect();
    let played = phases(&world, Program::start(root, &words)?).await;
    world.end().await;
    played
}

async fn phases(world: &World, mut program: Program) -> Result<(), String> {
    for (at, (name, asked)) in SERVED.into_iter().enumerate() {
        let served = program.phase(name).await?;
        if served != asked {
            return Err(format!("{name}: {served} of {asked} were served"));
        }
        match at {
            0 => world.box_dies(),
            1 => {
                world.node_stops().await?;
                world.node_starts().await?;
            }
            _ => {}
        }
        program.go_on();
    }
    let until = Instant::now() + HUNG;
    while Instant::now() < until {
        match program.child.try_wait() {
            Ok(Some(code)) if code.success() => return Ok(()),
            Ok(Some(code)) => return Err(format!("ended with {code}")),
            Ok(None) => Tokio.sleep(Duration::from_millis(20)).await,
            Err(e) => return Err(e.to_string()),
        }
    }
    Err("does not end".into())
}

/// Runs a step to its end; the error is its last line.
pub(crate) async fn step(root: &Path, words: &[String]) -> Result<(), String> {
    let mut program = Program::start(root, words)?;
    let mut last = String::new();
    while let Some(line) = program.lines.recv().await {
        last = line;
    }
    match program.child.wait() {
        Ok(code) if code.success() => Ok(()),
        Ok(code) => Err(format!("{code}: {}", shown(&last))),
        Err(e) => Err(e.to_string()),
    }
}

/// Plays all ways; whether none lost anything.
///
/// # Errors
///
/// A root that is not the repository's, a name that no way has, or an address that can't be opened.
pub async fn run(matrix: &Matrix) -> Result<bool, String> {
    let root = matrix.root.canonicalize().map_err(|e| format!("{}: {e}", matrix.root.display()))?;
    if !root.join("tests/clients/README.md").is_file() {
        return Err(format!("{} is not the repository's root: it has no tests/clients", root.display()));
    }
    let target = root.join("target");
    let words = |list: &[&str]| -> Vec<String> {
        list.iter().map(|w| w.replace("TARGET", &target.display().to_string())).collect()
    };
    let wanted =
        |chain: &str, way: &str| matrix.only.as_ref().is_none_or(|o| format!("{chain}/{way}").contains(o));
    let (mut good, mut bad) = (0, 0);
    say("node    client                              served 1000, 200 after a box died, 200 after a restart");
    for chain in CHAINS {
        let all = || chain.plain.iter().chain(chain.slots);
        if !all().any(|w| wanted(chain.name, w)) {
            continue;
        }
        if let Err(e) = step(&root, &words(chain.install)).await {
            say(&format!("-       {:<34}  left out, its tool chain is not there: {e}", chain.name));
            continue;
        }
        for slots in [false, true] {
            let here = all().filter(|w| slots || chain.plain.contains(w)).filter(|w| wanted(chain.name, w));
            for name in here {
                let mut run = words(chain.run);
                run.push((*name).to_owned());
                let node = if slots { "slots" } else { "plain" };
                let label = format!("{}/{name}", chain.name);
                match way(&root, &run, slots).await {
                    Ok(()) => {
                        good += 1;
                        say(&format!("{node:<6}  {label:<34}  all"));
                    }
                    Err(e) => {
                        bad += 1;
                        say(&format!("{node:<6}  {label:<34}  LOST: {e}"));
                    }
                }
            }
        }
    }
    if good + bad == 0 && matrix.only.is_some() {
        return Err(format!("no way of that name could be played: {:?}", matrix.only));
    }
    say(&format!("{good} ways served, {bad} lost something"));
    Ok(bad == 0)
}
