//! `lease` and `coordinator`: a command that runs while a lease is held, and what the coordinators hold.

use std::ffi::OsString;
use std::io::IsTerminal;
use std::net::SocketAddr;
use std::os::unix::process::{CommandExt, ExitStatusExt};
use std::process::ExitStatus;
use std::rc::Rc;
use std::time::Duration;

use clap::{Args, Subcommand};
use mothpier_coordination::wire::MemberChange;
use mothpier_coordination::{Answer, Command as Agreed};
use mothpier_coordination_client::{Client, Outcome, Session};
use mothpier_net::{Net, Tokio};
use rustix::process::{Pid, Signal, kill_process, kill_process_group};
use serde_json::json;
use tokio::process::Command;
use tokio::signal::unix::{SignalKind, signal};

use crate::{CANNOT, GOOD, print, show};

/// The lease was lost while the command ran, and the command was ended.
const LOST: u8 = 3;
/// The lease is another's, and --no-wait was said.
const HELD: u8 = 4;
/// A command is asked to end when this part of its session's time is left, and is ended when that is.
const ASKED_TO_END: (u32, u32) = (2, 5);
const ENDED: (u32, u32) = (3, 20);
/// Between two looks at the time that is left, as a part of the session's time.
const LOOK: u32 = 40;
/// What staff wait for.
const PATIENCE: Duration = Duration::from_secs(5);

/// Where the coordinators are.
#[derive(Args)]
pub struct Where {
    /// Their addresses, in the order of their numbers.
    #[arg(
        long,
        env = "MOTHPIER_COORDINATORS",
        value_delimiter = ',',
        required = true,
        value_name = "ADDRESS"
    )]
    coordinators: Vec<SocketAddr>,
    /// The fleet's name, as the coordinators' files say it.
    #[arg(long, env = "MOTHPIER_CLUSTER", default_value = "single")]
    cluster: String,
}

#[derive(Subcommand)]
pub enum Lease {
    /// Runs a command while a lease is held.
    ///
    /// Waits until the lease is free, unless --no-wait is said. The command finds the number of the grant in MOTHPIER_FENCE:
    /// whatever it writes to should refuse a lower one than it has seen. If the lease can't be kept the command gets SIGTERM,
    /// and SIGKILL well before the lease is another's.
    ///
    /// Exit codes: the command's own; 128 and its signal's number; 2 it could not run; 3 the lease was lost; 4 it is held by
    /// another.
    Run {
        /// The lease's name.
        name: String,
        /// How long the lease outlives a holder that is gone.
        #[arg(long, default_value = "5s")]
        ttl: humantime::Duration,
        /// Gives up where another one holds it.
        #[arg(long)]
        no_wait: bool,
        #[command(flatten)]
        at: Where,
        /// The command.
        #[arg(last = true, required = true)]
        command: Vec<OsString>,
    },
    /// Lists the leases that are held.
    List {
        #[command(flatten)]
        at: Where,
    },
    /// Shows a lease: who holds it, under which fence, for how long at the least, who is next.
    Show {
        /// Its name.
        name: String,
        #[command(flatten)]
        at: Where,
    },
    /// Takes a lease from its holder, safely: the holder's session is renewed no more, and the next one has the lease when
    /// the holder's time is over, not before. All else that this session holds goes with it.
    Break {
        /// The lease's name.
        name: String,
        #[command(flatten)]
        at: Where,
    },
}

#[derive(Subcommand)]
pub enum Coordinator {
    /// Members, leader, lag, since when.
    Status {
        #[command(flatten)]
        at: Where,
    },
    /// Adds a member that runs already, with a store made by `mothpier-coordinator join`. It votes once it has what the
    /// others have.
    Add {
        /// Its number: one that was never a member's.
        member: u64,
        /// Where the others reach it.
        address: SocketAddr,
        #[command(flatten)]
        at: Where,
    },
    /// Removes a member for good: its number is not used again.
    Remove {
        /// Its number.
        member: u64,
        #[command(flatten)]
        at: Where,
    },
}

/// Runs a future on a runtime of one thread.
pub fn block<T>(future: impl Future<Output = Result<T, String>>) -> Result<T, String> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|e| e.to_string())?;
    tokio::task::LocalSet::new().block_on(&runtime, future)
}

/// A client of the coordinators.
pub fn client(at: Where) -> Result<Rc<Client<Tokio>>, String> {
    Client::new(Tokio, at.cluster, at.coordinators)
}

/// Carries out a call.
pub fn run(call: Lease, out: show::Out) -> Result<u8, String> {
    match call {
        Lease::Run { name, ttl, no_wait, at, command } => {
            block(hold(name, ttl.into(), !no_wait, at, command))
        }
        Lease::List { at } => block(async {
            let all = client(at)?.leases(Tokio.now() + PATIENCE).await?;
            if out.json {
                return print(&format!("{:#}\n", json!(all)));
            }
            let lines = all.leases.iter().map(|l| {
                let left = l.left_ms.map_or("?".into(), |left| format!("{left} ms"));
                let broken = if l.broken { ", broken by staff" } else { "" };
                format!(
                    "{}  fence {}  {}  ends in {left} unless renewed, {} waiting{broken}\n",
                    l.lease,
                    l.fence,
                    l.holder,
                    l.waiting.len()
                )
            });
            let text: String = lines.collect();
            print(if text.is_empty() { "no lease is held\n" } else { &text })
        }),
        Lease::Show { name, at } => block(async {
            let all = client(at)?.leases(Tokio.now() + PATIENCE).await?;
            let Some(l) = all.leases.iter().find(|l| l.lease == name) else {
                return Err(format!("nobody holds {name:?}"));
            };
            if out.json {
                return print(&format!("{:#}\n", json!(l)));
            }
            let mut text = format!(
                "{}\n  held by  {}\n  fence    {}\n  time     {} ms",
                l.lease, l.holder, l.fence, l.ttl_ms
            );
            if let Some(left) = l.left_ms {
                text += &format!(", {left} ms left unless it is renewed");
            }
            if l.broken {
                text += "\n  broken by staff: it is renewed no more";
            }
            let next = l.waiting.iter().enumerate().map(|(i, w)| format!("\n  next {}   {w}", i + 1));
            print(&(text + &next.collect::<String>() + "\n"))
        }),
        Lease::Break { name, at } => block(async {
            let client = client(at)?;
            let all = client.leases(Tokio.now() + PATIENCE).await?;
            let Some(l) = all.leases.iter().find(|l| l.lease == name) else {
                return Err(format!("nobody holds {name:?}"));
            };
            let command = Agreed::Break { lease: name.clone(), fence: l.fence };
            match client.command(&command, Tokio.now() + PATIENCE).await {
                Outcome::Done(Answer::Broken) => print(&format!(
                    "{name}: {} is renewed no more; the next one has it within {} ms, when this one's time is over\n",
                    l.holder, l.ttl_ms
                )),
                Outcome::Done(Answer::Refused { why }) => Err(format!("{name}: {why}")),
                Outcome::Done(other) => Err(format!("an answer to something else: {other:?}")),
                Outcome::NotDone(why) | Outcome::Refused(why) => Err(format!("not done: {why}")),
                Outcome::Indeterminate(why) => Err(format!("it may have been done: {why}")),
            }
        }),
    }
}

/// Shows the coordinators.
pub fn coordinator(call: Coordinator, out: show::Out) -> Result<u8, String> {
    let at = match call {
        Coordinator::Status { at } => at,
        Coordinator::Add { member, address, at } => {
            return change(at, MemberChange::Add { member, address }, &format!("member {member} is added"));
        }
        Coordinator::Remove { member, at } => {
            return change(at, MemberChange::Remove { member }, &format!("member {member} is removed"));
        }
    };
    let addresses = at.coordinators.clone();
    let all = block(async { Ok(client(at)?.statuses(Tokio.now() + PATIENCE).await) })?;
    let led = all.iter().flatten().any(|s| s.leader == Some(s.member));
    if out.json {
        let each = addresses.iter().zip(&all).map(|(a, s)| match s {
            Ok(status) => json!({"address": a, "status": status}),
            Err(why) => json!({"address": a, "error": why}),
        });
        print(&format!("{:#}\n", serde_json::Value::from_iter(each)))?;
    } else {
        let mut text = String::new();
        for (address, status) in addresses.iter().zip(&all) {
            text += &match status {
                Err(why) => format!("{address}  out of reach: {why}\n"),
                Ok(s) => {
                    let role = match s.leader {
                        Some(l) if l == s.member => "leads".to_owned(),
                        Some(l) => format!("follows {l}"),
                        None => "knows no leader".to_owned(),
                    };
                    let behind = s.members.iter().filter_map(|(id, lag)| {
                        lag.filter(|l| *l > 0).map(|l| format!(", {id} lags by {l}"))
                    });
                    format!(
                        "{address}  member {} of {}  {role} since {} s, term {}, committed {}, {} sessions, {} leases{}{}\n",
                        s.member,
                        s.cluster,
                        s.since_ms / 1000,
                        s.term,
                        s.committed,
                        s.sessions,
                        s.leases,
                        behind.collect::<String>(),
                        s.store_failure
                            .iter()
                            .map(|why| format!(", takes part in nothing: {why}"))
                            .collect::<String>()
                    )
                }
            };
        }
        if !led {
            text +=
                "nobody leads: nothing new is granted; who holds a lease keeps it until its time is over\n";
        }
        print(&text)?;
    }
    Ok(if led { GOOD } else { crate::FOUND })
}

fn change(at: Where, change: MemberChange, done: &str) -> Result<u8, String> {
    block(async {
        match client(at)?.change(change, Tokio.now() + PATIENCE).await {
            Outcome::Done(()) => print(&format!("{done}\n")),
            Outcome::NotDone(why) | Outcome::Refused(why) => Err(format!("not done: {why}")),
            Outcome::Indeterminate(why) => {
                Err(format!("it may have been done: {why}; asked again it is done once"))
            }
        }
    })
}

/// Becomes a command that is killed when the one that started it dies: a holder that is gone can't end it any more.
pub fn bound(command: &[OsString]) -> Result<u8, String> {
    rustix::process::set_parent_process_death_signal(Some(Signal::KILL)).map_err(|e| e.to_string())?;
    let Some((program, arguments)) = command.split_first() else { return Ok(CANNOT) };
    let error = std::process::Command::new(program).args(arguments).exec();
    Err(format!("{}: {error}", program.display()))
}

fn code(status: ExitStatus) -> u8 {
    let signalled = status.signal().map(|s| 128u8.saturating_add(s as u8));
    status.code().map(|c| c as u8).or(signalled).unwrap_or(CANNOT)
}

/// Ends the command and what it started, or the command alone where it shares a terminal.
fn end(child: Pid, group: bool, how: Signal) {
    let _ = if group { kill_process_group(child, how) } else { kill_process(child, how) };
}

async fn hold(
    name: String,
    ttl: Duration,
    wait: bool,
    at: Where,
    command: Vec<OsString>,
) -> Result<u8, String> {
    let client = client(at)?;
    let host = std::fs::read_to_string("/proc/sys/kernel/hostname").unwrap_or_default();
    let host: String =
        host.trim().chars().filter(|c| c.is_ascii_alphanumeric() || *c == '-').take(40).collect();
    let own = format!("{host}:{}:{}", std::process::id(), client.draw_name());
    let session = Session::open(client, own, ttl, PATIENCE.max(ttl)).await?;
    let granted = match session.acquire(&name, wait).await {
        Ok(Some(granted)) => granted,
        Ok(None) => {
            session.close(PATIENCE).await;
            eprintln!("mothpierctl: another one holds {name}");
            return Ok(HELD);
        }
        Err(lost) => return Err(format!("{name}: {lost}")),
    };
    let own = std::env::current_exe().map_err(|e| e.to_string())?;
    let group = !std::io::stdin().is_terminal();
    let mut starting = Command::new(own);
    starting
        .arg("bound")
        .arg("--")
        .args(&command)
        .env("MOTHPIER_FENCE", granted.fence.to_string())
        .env("MOTHPIER_LEASE", &name)
        .env("MOTHPIER_SESSION", &session.name);
    if group {
        starting.process_group(0);
    }
    // The last look before it begins: the time may have run out in between.
    if let Err(lost) = session.left() {
        return lost_before(&name, &lost);
    }
    let mut child = starting.spawn().map_err(|e| format!("{}: {e}", command[0].display()))?;
    let pid = child.id().and_then(|id| Pid::from_raw(id as i32)).ok_or("the command has no process")?;
    let (mut interrupt, mut terminate) = (
        signal(SignalKind::interrupt()).map_err(|e| e.to_string())?,
        signal(SignalKind::terminate()).map_err(|e| e.to_string())?,
    );
    let part = |(part, whole): (u32, u32)| ttl * part / whole;
    let mut asked = false;
    let (status, lost) = loop {
        tokio::select! {
            status = child.wait() => break (status.map_err(|e| e.to_string())?, false),
            _ = interrupt.recv() => end(pid, group, Signal::INT),
            _ = terminate.recv() => end(pid, group, Signal::TERM),
            () = Tokio.sleep(ttl / LOOK) => {}
        }
        let left = session.left().unwrap_or_default();
        if left <= part(ENDED) {
            eprintln!("mothpierctl: {name} is lost: the command is ended");
            end(pid, group, Signal::KILL);
            break (child.wait().await.map_err(|e| e.to_string())?, true);
        }
        if left <= part(ASKED_TO_END) && !asked {
            eprintln!("mothpierctl: {name} can't be renewed: the command is asked to end");
            end(pid, group, Signal::TERM);
            asked = true;
        }
    };
    if group && !lost {
        // What it left running would run on without the lease.
        end(pid, group, Signal::KILL);
    }
    session.close(ttl.min(PATIENCE)).await;
    Ok(if lost || asked { LOST } else { code(status) })
}

fn lost_before(name: &str, lost: &mothpier_coordination_client::SessionLost) -> Result<u8, String> {
    eprintln!("mothpierctl: {name}: {lost}; the command was not begun");
    Ok(LOST)
}
