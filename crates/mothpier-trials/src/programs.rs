//! How the programs are started: their files, their addresses.

use std::net::{Ipv4Addr, SocketAddr};
use std::path::Path;
use std::process::Command;

use mothpier_world::loopback;

use crate::process::Process;

/// A tick of the coordinators: elections take 10 to 20 of them.
pub const TICK_MS: u64 = 20;

/// Addresses of a trial: no two trials, of this process or another, share one.
pub fn address(lane: u8, of: u8) -> SocketAddr {
    let run = std::process::id();
    let ip = Ipv4Addr::new(127, 64 + (run % 128) as u8, lane, of);
    SocketAddr::from((ip, 7100 + (run / 128 % 1000) as u16))
}

/// Writes a file, or says which could not be.
///
/// # Errors
///
/// Why not.
pub fn write(path: &Path, text: &str) -> Result<(), String> {
    std::fs::write(path, text).map_err(|e| format!("{}: {e}", path.display()))
}

/// A node, not started yet: where it listens for clients and for operators, its list, and where it reaches coordinators.
pub struct Node<'a> {
    /// Its name.
    pub name: String,
    /// Clients come here.
    pub front: SocketAddr,
    /// Operators do here.
    pub door: SocketAddr,
    /// Its list of cache servers.
    pub discovery: SocketAddr,
    /// Where it reaches coordinators.
    pub coordinators: &'a [SocketAddr],
    /// What stands behind that in its file of coordination.
    pub fleet: &'a str,
}

impl Node<'_> {
    /// The process, with its files in a folder.
    ///
    /// # Errors
    ///
    /// Why its files can't be made.
    pub fn process(&self, programs: &Path, folder: &Path) -> Result<Process, String> {
        let name = &self.name;
        let (file, told) = (folder.join(format!("{name}.json")), folder.join(format!("{name}.hcl")));
        write(&file, &loopback::config(name, self.discovery, 1024))?;
        let at: Vec<String> = self.coordinators.iter().map(|a| format!("{:?}", a.to_string())).collect();
        write(&told, &format!("cluster = \"trial\"\ncoordinators = [{}]\n{}", at.join(", "), self.fleet))?;
        let environment = [
            ("ROUTER_CONFIG", file.display().to_string()),
            ("ROUTER_LISTEN", self.front.to_string()),
            ("ROUTER_OPERATOR", self.door.to_string()),
            ("MOTHPIER_COORDINATION", told.display().to_string()),
        ];
        let environment = environment.map(|(name, value)| (name.to_owned(), value)).to_vec();
        let log = folder.join(format!("{name}.log"));
        Ok(Process::new(programs.join("mothpier"), Vec::new(), environment, log))
    }
}

/// A coordinator of the fleet `trial` with a new store, not started yet; where it reaches each member, itself among them.
///
/// # Errors
///
/// Why its files can't be made.
pub fn coordinator(
    programs: &Path,
    folder: &Path,
    member: usize,
    listen: SocketAddr,
    peers: &[SocketAddr],
) -> Result<Process, String> {
    let own = folder.join(format!("coordinator-{member}"));
    let mut text = format!(
        "cluster = \"trial\"\nmember = {member}\nlisten = \"{listen}\"\nfolder = {own:?}\ntick_ms = {TICK_MS}\n"
    );
    for (i, at) in peers.iter().enumerate() {
        text += &format!("peer \"{}\" {{ address = \"{at}\" }}\n", i + 1);
    }
    let file = folder.join(format!("coordinator-{member}.hcl"));
    write(&file, &text)?;
    let (program, file) = (programs.join("mothpier-coordinator"), file.display().to_string());
    let init = Command::new(&program).args(["init", &file]).output();
    let init = init.map_err(|e| format!("{}: {e}", program.display()))?;
    if !init.status.success() {
        return Err(String::from_utf8_lossy(&init.stderr).into_owned());
    }
    let log = folder.join(format!("coordinator-{member}.log"));
    Ok(Process::new(program, vec!["run".into(), file], Vec::new(), log))
}
