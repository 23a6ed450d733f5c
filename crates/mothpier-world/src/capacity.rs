//! What a node costs against the size of its fleet: processor time, memory, bytes and descriptors at several sizes, a
//! JSON line a run, and the straight line that fits each figure.
//!
//! Nothing is asserted here: the figures go to `docs/CAPACITY.md`, which names the command of each.

pub mod choice;
pub mod connections;
pub mod control;
pub mod datagrams;
pub mod fit;
pub mod merge;
mod process;
mod relay;

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::process::Command;

use serde::Serialize;

use crate::agent::Member;
use crate::demo;

/// Cache servers of a cell, as the ids and addresses of the drawn fleet have it.
const SERVERS_OF_A_SUBNET: usize = 250;

/// The figures of one run at one size.
#[derive(Clone, Debug, Serialize)]
pub struct Measured {
    /// The command that repeats it.
    pub command: String,
    /// The commit of the sources.
    pub commit: String,
    /// What was varied.
    pub sizes: BTreeMap<&'static str, f64>,
    /// What came of it.
    pub figures: BTreeMap<&'static str, f64>,
}

impl Measured {
    /// A run at these sizes.
    pub fn new(sizes: impl IntoIterator<Item = (&'static str, f64)>) -> Self {
        let arguments: Vec<String> = std::env::args().skip(1).collect();
        Measured {
            command: format!("mothpier-world {}", arguments.join(" ")),
            commit: commit(),
            sizes: sizes.into_iter().collect(),
            figures: BTreeMap::new(),
        }
    }

    /// Adds a figure.
    pub fn set(&mut self, name: &'static str, value: f64) {
        self.figures.insert(name, value);
    }

    /// Prints the run as a line of JSON.
    pub fn print(&self) {
        demo::say(&serde_json::to_string(self).unwrap_or_default());
    }
}

/// The commit that is checked out here, with a mark where sources differ from it.
fn commit() -> String {
    let told = Command::new("git").args(["describe", "--always", "--dirty", "--exclude=*"]).output();
    let told = told.map(|out| String::from_utf8_lossy(&out.stdout).trim().to_owned());
    told.ok().filter(|text| !text.is_empty()).unwrap_or_else(|| "unknown".into())
}

/// Requests a second of all tenants together that are within their quotas: a quarter more than the fleet is asked.
const QUOTAS_PER_S: usize = 7_125_000;

/// The settings of a node that is one of several, as its file has them. Cache servers get what they lack themselves where
/// `through` is set; else the node asks the origin.
pub fn settings(nodes: u32, tenants: usize, peers: bool, through: bool) -> String {
    let quota = QUOTAS_PER_S / tenants.max(1);
    let mode = if through { "through" } else { "aside" };
    let realm = |i: usize| format!(r#"{{"name":"tenant-{i}","quotaPerS":{quota}}}"#);
    let realms: Vec<String> = (0..tenants).map(realm).collect();
    format!(
        r#"{{"balancers":{nodes},"me":0,"classes":[
{{"name":"read","deadlineUs":3000000,"goalTimeUs":1000000,"lateValue":0.5,"gain":1.0,"effect":"pure"}},
{{"name":"write","deadlineUs":3000000,"goalTimeUs":1000000,"gain":8.0,"effect":"side_effect"}}],
"realms":[{}],"discovery":"push","zones":["a"],"machineTypes":["cache","origin"],
"specifics":{{"mode":"{mode}","originKind":1}},"report":{{"fields":["lat_ms","busy"]}},
"limits":{{"maxAttempts":3,"mayDuplicate":true,"mayCancel":true,"multiplex":32,"idleCloseUs":60000000,
"connectTimeoutUs":1000000,"maxOpen":20000,"maxRetryAfterUs":600000,"peers":{peers}}},
"guarantees":{{"coldUs":10000000,"drainGraceUs":500000}},"periodUs":1000}}"#,
        realms.join(",")
    )
}

/// The cache servers of a drawn fleet, and its origin behind them.
pub fn members(servers: usize) -> Vec<Member> {
    let member = |i: usize| {
        let (subnet, host) = (i / SERVERS_OF_A_SUBNET, i % SERVERS_OF_A_SUBNET);
        let address = SocketAddr::from((Ipv4Addr::new(10, 20, subnet as u8, 1 + host as u8), 6379));
        let id = format!("cache-{subnet:02}-{host:04}");
        Member { id, address, kind: "cache", phase: "ready", up_since_ms: 0 }
    };
    let mut all: Vec<Member> = (0..servers).map(member).collect();
    let address = SocketAddr::from((Ipv4Addr::new(10, 30, 0, 1), 8080));
    all.push(Member { id: "origin-0".into(), address, kind: "origin", phase: "ready", up_since_ms: 0 });
    all
}
