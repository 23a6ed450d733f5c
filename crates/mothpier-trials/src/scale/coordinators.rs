//! The coordinators of a trial of scale: real processes, what each has used, and who leads.

use std::cell::Cell;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::time::{Duration, Instant};

use mothpier_coordination_client::Client;
use mothpier_net::Tokio;
use serde::{Deserialize, Serialize};

use crate::measure::processor_s;
use crate::process::Process;
use crate::programs::{address, write};

/// The fleet's name.
pub const CLUSTER: &str = "trial";
/// Longer than an election takes.
const ELECTION: Duration = Duration::from_secs(20);
const LOOK: Duration = Duration::from_millis(20);

/// What a process has used since the beginning of the trial.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Usage {
    /// Processor time, s, in steps of 10 ms.
    pub cpu_s: f64,
    /// Resident memory now, KB.
    pub memory_kb: u64,
    /// The most that it ever was, KB.
    pub memory_peak_kb: u64,
    /// Bytes written by system calls on files, the store's.
    pub file_bytes: u64,
    /// Size of the store, bytes.
    pub store_bytes: u64,
}

/// A member and what its lives before used.
struct Member {
    process: Process,
    folder: PathBuf,
    before: Cell<(f64, u64)>,
}

/// All members.
pub struct Coordinators {
    members: Vec<Member>,
    /// Where they listen, by their numbers.
    pub at: Vec<SocketAddr>,
}

fn field(text: &str, name: &str) -> u64 {
    let line = text.lines().find_map(|line| line.strip_prefix(name));
    line.and_then(|rest| rest.split_whitespace().next()?.parse().ok()).unwrap_or(0)
}

/// What a process uses, as the kernel tells it.
pub fn usage(id: u32) -> Usage {
    let status = std::fs::read_to_string(format!("/proc/{id}/status")).unwrap_or_default();
    let io = std::fs::read_to_string(format!("/proc/{id}/io")).unwrap_or_default();
    Usage {
        cpu_s: processor_s(id),
        memory_kb: field(&status, "VmRSS:"),
        memory_peak_kb: field(&status, "VmHWM:"),
        file_bytes: field(&io, "wchar:"),
        store_bytes: 0,
    }
}

fn member(programs: &Path, folder: &Path, number: usize, at: &[SocketAddr]) -> Result<Member, String> {
    let own = folder.join(format!("coordinator-{number}"));
    let listen = at[number - 1];
    let mut text =
        format!("cluster = \"{CLUSTER}\"\nmember = {number}\nlisten = \"{listen}\"\nfolder = {own:?}\n");
    for (i, peer) in at.iter().enumerate() {
        text += &format!("peer \"{}\" {{ address = \"{peer}\" }}\n", i + 1);
    }
    let file = folder.join(format!("coordinator-{number}.hcl"));
    write(&file, &text)?;
    let (program, file) = (programs.join("mothpier-coordinator"), file.display().to_string());
    let init = Command::new(&program).args(["init", &file]).output();
    let init = init.map_err(|e| format!("{}: {e}", program.display()))?;
    if !init.status.success() {
        return Err(String::from_utf8_lossy(&init.stderr).into_owned());
    }
    let log = folder.join(format!("coordinator-{number}.log"));
    let process = Process::new(program, vec!["run".into(), file], Vec::new(), log);
    Ok(Member { process, folder: own, before: Cell::default() })
}

impl Coordinators {
    /// Starts a new group with the tick of service.
    ///
    /// # Errors
    ///
    /// What could not be started.
    pub fn start(programs: &Path, folder: &Path, members: usize, lane: u8) -> Result<Self, String> {
        let at: Vec<SocketAddr> = (1..=members).map(|i| address(lane, 10 + i as u8)).collect();
        let all = (1..=members).map(|number| member(programs, folder, number, &at));
        let members = all.collect::<Result<Vec<_>, _>>()?;
        members.iter().try_for_each(|m| m.process.start())?;
        Ok(Coordinators { members, at })
    }

    /// A client on this machine, without a link between.
    ///
    /// # Errors
    ///
    /// A machine without entropy.
    pub fn client(&self) -> Result<std::rc::Rc<Client<Tokio>>, String> {
        Client::new(Tokio, CLUSTER.into(), self.at.clone())
    }

    /// The one that leads, by its place, once there is one; and the lines of the log that are committed.
    ///
    /// # Errors
    ///
    /// Nobody leads in time.
    pub async fn leader(&self, client: &Client<Tokio>) -> Result<(usize, u64), String> {
        let until = Instant::now() + ELECTION;
        while Instant::now() < until {
            let all = client.statuses(until).await;
            let leads = |s: &Result<mothpier_coordination::wire::Status, String>| match s {
                Ok(status) if status.leader == Some(status.member) => Some(status.committed),
                _ => None,
            };
            if let Some(found) = all.iter().enumerate().find_map(|(place, s)| Some((place, leads(s)?))) {
                return Ok(found);
            }
            tokio::time::sleep(LOOK).await;
        }
        Err("nobody leads".into())
    }

    /// Kills a member.
    pub async fn kill(&self, place: usize) {
        let member = &self.members[place];
        let used = self.usage(place);
        member.before.set((used.cpu_s, used.file_bytes));
        member.process.kill().await;
    }

    /// Starts it again.
    ///
    /// # Errors
    ///
    /// It can't be.
    pub fn start_again(&self, place: usize) -> Result<(), String> {
        self.members[place].process.start()
    }

    /// What a member has used in all its lives.
    pub fn usage(&self, place: usize) -> Usage {
        let member = &self.members[place];
        let mut used = member.process.id().map(usage).unwrap_or_default();
        let (cpu_s, file_bytes) = member.before.get();
        used.cpu_s += cpu_s;
        used.file_bytes += file_bytes;
        used.store_bytes =
            std::fs::metadata(member.folder.join("coordinator.redb")).map_or(0, |meta| meta.len());
        used
    }

    /// What all members have used, by their places.
    pub fn usages(&self) -> Vec<Usage> {
        (0..self.members.len()).map(|place| self.usage(place)).collect()
    }

    /// Members that have ended by themselves.
    pub fn ended(&self) -> Vec<String> {
        let ended = self.members.iter().enumerate().filter(|(_, m)| m.process.has_ended());
        ended.map(|(place, _)| format!("coordinator {} has ended by itself", place + 1)).collect()
    }
}
