//! `fleet`: what staff ask of the fleet's agreement, and how they follow it.

use std::io::IsTerminal;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

use clap::{Args, Subcommand, ValueEnum};
use mothpier_coordination::fleet::Fleet;
use mothpier_coordination::fleet::messages::{
    AuditNote, FleetCommand, FleetRefusal, FleetResponse, Kind, Stage, Subject, Then as AtTheEnd,
};
use mothpier_coordination_client::{Client, Session};
use mothpier_net::{Net, Tokio};
use serde_json::json;
use tokio::signal::unix::{SignalKind, signal};

use crate::lease::{Where, block, client};
use crate::{GOOD, fleet_limits, fleet_shown, print, show};

/// A limit, or a halt, is in the way.
const REFUSED: u8 = 4;
/// Nobody knows whether it was done.
const UNKNOWN: u8 = 5;
/// The time of the tool's own session: long enough for an election in between.
const TTL: Duration = Duration::from_secs(10);
/// One reading.
const ASK: Duration = Duration::from_secs(5);
/// Between two looks at a drain, and at the whole.
const LOOK: Duration = Duration::from_millis(250);
const WATCH: Duration = Duration::from_secs(1);

/// What can be out.
#[derive(Clone, Copy, Debug, ValueEnum)]
pub enum Of {
    /// A node.
    Node,
    /// A cache server.
    Server,
}

/// Which.
#[derive(Args, Clone)]
pub struct What {
    /// A node or a cache server.
    kind: Of,
    /// The node's name, or the cache server's id.
    id: String,
}

impl What {
    fn subject(&self) -> Subject {
        let kind = match self.kind {
            Of::Node => Kind::Node,
            Of::Server => Kind::Server,
        };
        Subject { kind, id: self.id.clone() }
    }
}

/// Who says so.
#[derive(Args, Clone)]
pub struct Who {
    /// Why: it is kept, and shown to the others.
    #[arg(long, short = 'm')]
    reason: String,
    /// In whose name.
    #[arg(long, env = "USER", default_value = "staff")]
    by: String,
}

impl Who {
    fn note(&self) -> AuditNote {
        let at_ms = Tokio.unix_time().as_millis() as u64;
        AuditNote { by: self.by.clone(), reason: self.reason.clone(), at_ms }
    }
}

/// What happens at the end of a drain's time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum Then {
    /// It stays out, and is shown as overdue.
    Stay,
    /// It comes back.
    Back,
}

#[derive(Subcommand)]
pub enum Call {
    /// Nodes, cache servers and zones; who is out, by whom and why, and what holds the next one up.
    Status {
        /// Again every second.
        #[arg(long)]
        watch: bool,
        #[command(flatten)]
        at: Where,
    },
    /// Takes a node or a cache server out, within the limits.
    ///
    /// It is out once every node of the fleet has said that it sends nothing more. Ctrl-C leaves the drain that was told.
    Drain {
        #[command(flatten)]
        what: What,
        #[command(flatten)]
        who: Who,
        /// Its latest end, as 20m.
        #[arg(long = "for")]
        lasts: Option<humantime::Duration>,
        /// What happens then.
        #[arg(long, default_value = "stay")]
        then: Then,
        /// Waits for a place where there is none, and until it is out.
        #[arg(long)]
        wait: bool,
        /// Goes past the limits and past a halt. The reason is kept and shown.
        #[arg(long)]
        force: bool,
        #[command(flatten)]
        at: Where,
    },
    /// Lets a node or a cache server come back, or takes back a drain that still waits.
    Back {
        #[command(flatten)]
        what: What,
        #[command(flatten)]
        who: Who,
        /// Waits until it is what it was.
        #[arg(long)]
        wait: bool,
        #[command(flatten)]
        at: Where,
    },
    /// Nothing more goes out, and what is on its way comes back.
    Halt {
        #[command(flatten)]
        who: Who,
        #[command(flatten)]
        at: Where,
    },
    /// Ends a halt.
    Resume {
        #[command(flatten)]
        who: Who,
        #[command(flatten)]
        at: Where,
    },
    /// Says that a node does not run any more, or that a cache server is gone for good: nothing waits for it then.
    ///
    /// Say it only when you have seen it: a node that is merely out of reach may still send to cache servers that are out.
    Forget {
        #[command(flatten)]
        what: What,
        #[command(flatten)]
        who: Who,
        #[command(flatten)]
        at: Where,
    },
    /// Shows the limits, as a file has them, or states those of a file.
    Limits {
        /// The file.
        #[arg(requires = "reason")]
        file: Option<PathBuf>,
        /// Why: it is kept, and shown to the others.
        #[arg(long, short = 'm')]
        reason: Option<String>,
        /// In whose name.
        #[arg(long, env = "USER", default_value = "staff")]
        by: String,
        #[command(flatten)]
        at: Where,
    },
    /// What would be granted now, and what holds the rest up.
    Plan {
        #[command(flatten)]
        at: Where,
    },
    /// What happened, the latest last.
    History {
        #[command(flatten)]
        at: Where,
    },
}

type Coordinators = Rc<Client<Tokio>>;

async fn read(client: &Coordinators) -> Result<Fleet, String> {
    Ok(client.fleet(Tokio.now() + ASK).await?.fleet)
}

/// Asks once, however often it has to be sent.
async fn ask(client: &Coordinators, what: FleetCommand) -> Result<Result<FleetResponse, FleetRefusal>, u8> {
    let name = format!("staff:{}", client.draw_name());
    let session = Session::open(client.clone(), name, TTL, ASK).await.map_err(|why| {
        eprintln!("mothpierctl: not done: {why}");
        crate::CANNOT
    })?;
    let answered = session.fleet(what).await;
    session.close(ASK).await;
    answered.map_err(|lost| {
        eprintln!("mothpierctl: it may have been done: {lost}; `fleet status` tells");
        UNKNOWN
    })
}

/// Asks, and says what came of it.
async fn told(client: &Coordinators, what: FleetCommand, done: &str) -> Result<u8, String> {
    match ask(client, what).await {
        Ok(Ok(_)) => print(&format!("{done}\n")),
        Ok(Err(why)) => Ok(refused(&why)),
        Err(code) => Ok(code),
    }
}

fn refused(why: &FleetRefusal) -> u8 {
    eprintln!("mothpierctl: not done: {why}");
    match why {
        FleetRefusal::Limit { .. } | FleetRefusal::Halted { .. } | FleetRefusal::Already { .. } => REFUSED,
        _ => crate::CANNOT,
    }
}

/// Follows a drain until it is as far as it was to get; says what it waits for whenever that changes.
async fn follow(client: &Coordinators, number: u64, until: Option<Stage>) -> Result<u8, String> {
    let mut interrupt = signal(SignalKind::interrupt()).map_err(|e| e.to_string())?;
    let mut last = String::new();
    loop {
        match read(client).await {
            Ok(fleet) => {
                let stage = fleet.drains.get(&number).map(|d| d.stage);
                let line = match stage {
                    Some(stage) => format!("{}: {}", stage.name(), fleet_shown::waits(&fleet, number)),
                    None => "ended".into(),
                };
                if line != last {
                    eprintln!("drain {number} {line}");
                    last = line;
                }
                match (stage, until) {
                    (None, None) => return Ok(GOOD),
                    (None, Some(_)) => {
                        eprintln!("mothpierctl: drain {number} was taken back: `fleet history` tells why");
                        return Ok(REFUSED);
                    }
                    (Some(stage), Some(until)) if stage == until => return Ok(GOOD),
                    (Some(Stage::Returning | Stage::Cold), Some(_)) => {
                        eprintln!("mothpierctl: drain {number} is on its way back");
                        return Ok(REFUSED);
                    }
                    _ => {}
                }
            }
            Err(why) => {
                let line = format!("the coordinators do not answer: {why}");
                if line != last {
                    eprintln!("{line}; the drain stays as it is");
                    last = line;
                }
            }
        }
        tokio::select! {
            _ = interrupt.recv() => {
                eprintln!("mothpierctl: drain {number} goes on without this command; `fleet back` takes it back");
                return Ok(130);
            }
            () = Tokio.sleep(LOOK) => {}
        }
    }
}

/// Carries out a call.
pub fn run(call: Call, out: show::Out) -> Result<u8, String> {
    block(async {
        match call {
            Call::Status { watch, at } => status(&client(at)?, watch, out).await,
            Call::Drain { what, who, lasts, then, wait, force, at } => {
                let (client, subject) = (client(at)?, what.subject());
                let drain = FleetCommand::Drain {
                    subject: subject.clone(),
                    note: who.note(),
                    for_ms: lasts.map(|l| l.as_millis() as u64),
                    then: if then == Then::Back { AtTheEnd::Back } else { AtTheEnd::Stay },
                    wait,
                    force,
                };
                match ask(&client, drain).await {
                    Ok(Ok(FleetResponse::Drain { number, stage })) => {
                        let line = if out.json {
                            format!("{}\n", json!({"drain": number, "stage": stage}))
                        } else {
                            format!("drain {number} of {subject}: {}\n", stage.name())
                        };
                        print(&line)?;
                        if wait { follow(&client, number, Some(Stage::Out)).await } else { Ok(GOOD) }
                    }
                    Ok(Ok(other)) => Err(format!("an answer to something else: {other:?}")),
                    Ok(Err(why)) => Ok(refused(&why)),
                    Err(code) => Ok(code),
                }
            }
            Call::Back { what, who, wait, at } => {
                let (client, subject) = (client(at)?, what.subject());
                match ask(&client, FleetCommand::Back { subject: subject.clone(), note: who.note() }).await {
                    Ok(Ok(FleetResponse::Drain { number, .. })) => {
                        print(&format!("{subject} comes back\n"))?;
                        if wait { follow(&client, number, None).await } else { Ok(GOOD) }
                    }
                    Ok(Ok(other)) => Err(format!("an answer to something else: {other:?}")),
                    Ok(Err(why)) => Ok(refused(&why)),
                    Err(code) => Ok(code),
                }
            }
            Call::Halt { who, at } => {
                let done = "halted: nothing more goes out, and what is on its way comes back";
                told(&client(at)?, FleetCommand::Halt { note: who.note() }, done).await
            }
            Call::Resume { who, at } => {
                told(&client(at)?, FleetCommand::Resume { note: who.note() }, "resumed").await
            }
            Call::Forget { what, who, at } => {
                let subject = what.subject();
                let done = format!("{subject} belongs to the fleet no more");
                told(&client(at)?, FleetCommand::Forget { subject, note: who.note() }, &done).await
            }
            Call::Limits { file: Some(file), reason, by, at } => {
                let limits = fleet_limits::read(&file)?;
                let note = Who { reason: reason.unwrap_or_default(), by }.note();
                told(&client(at)?, FleetCommand::Limits { limits, note }, "the limits are stated").await
            }
            Call::Limits { file: None, at, .. } => {
                let fleet = read(&client(at)?).await?;
                if out.json {
                    return print(&format!("{:#}\n", json!(fleet.limits)));
                }
                print(&fleet_limits::text(&fleet.limits))
            }
            Call::Plan { at } => print(&fleet_shown::plan(&read(&client(at)?).await?)),
            Call::History { at } => {
                let fleet = read(&client(at)?).await?;
                if out.json {
                    return print(&format!("{:#}\n", json!(fleet.events)));
                }
                print(&fleet_shown::history(&fleet))
            }
        }
    })
}

async fn status(client: &Coordinators, watch: bool, out: show::Out) -> Result<u8, String> {
    loop {
        let fleet = match read(client).await {
            Ok(fleet) => fleet,
            Err(why) if watch => {
                eprintln!("the coordinators do not answer: {why}; what is out stays out");
                Tokio.sleep(WATCH).await;
                continue;
            }
            Err(why) => return Err(format!("the coordinators do not answer: {why}; what is out stays out")),
        };
        if out.json {
            print(&format!("{:#}\n", json!(fleet)))?;
        } else {
            if watch && std::io::stdout().is_terminal() {
                print("\x1b[H\x1b[2J")?;
            }
            print(&fleet_shown::status(&fleet, Tokio.unix_time().as_millis() as u64))?;
        }
        if !watch {
            return Ok(GOOD);
        }
        Tokio.sleep(WATCH).await;
    }
}
