//! `mothpier-world`: a small fleet on this machine, to see a node serve.

use std::io::Write;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use clap::{Parser, Subcommand};
use mothpier_world::capacity::{self, Measured};
use mothpier_world::cost::{self, Cost};
use mothpier_world::demo::{self, Demo};
use mothpier_world::matrix::{self, Matrix};
use mothpier_world::resolvers;
use tokio::task::LocalSet;

/// Stand-ins for what is round a mothpier node.
#[derive(Parser)]
#[command(version, max_term_width = 100)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Starts boxes, an origin, a list and a node on loopback, serves a stream of requests, and lets a box die and
    /// come back. Ends at Ctrl-C, or by itself.
    ///
    /// Exit codes: 0 when no rule was broken, 1 when one was, 2 when it could not run.
    Demo {
        /// Ends after so many seconds.
        #[arg(long, value_parser = clap::value_parser!(u64).range(1..=86_400))]
        seconds: Option<u64>,
        /// Requests a second.
        #[arg(long, default_value_t = 200, value_parser = clap::value_parser!(u32).range(1..=5_000))]
        rate: u32,
        /// Cache boxes.
        #[arg(long, default_value_t = 4, value_parser = clap::value_parser!(u16).range(1..=64))]
        boxes: u16,
        /// Where the node listens; a free port of loopback when not told.
        #[arg(long, value_name = "ADDRESS:PORT")]
        listen: Option<SocketAddr>,
        /// Further milliseconds for an answer before it counts as lost.
        #[arg(long, default_value_t = 50)]
        grace_ms: u64,
        /// Lets a box serve values made for other requests, to show that it is noticed.
        #[arg(long)]
        liar: bool,
        /// The boxes form a cluster, whose slots change owners every two seconds.
        #[arg(long)]
        cluster: bool,
    },
    /// Plays the client libraries that people use against a node of each kind, while a box dies and the node is started
    /// again. Libraries are installed below `target/clients`; those whose tool chains are not there are left out.
    ///
    /// Exit codes: 0 when all were served, 1 when one lost something, 2 when it could not run.
    Clients {
        /// Only ways whose name, as in python/sync, holds this.
        #[arg(long)]
        only: Option<String>,
        /// The repository's root.
        #[arg(long, default_value = ".")]
        root: PathBuf,
    },
    /// Shows what other resolvers make of DNS servers that do things wrong. Those whose tool chains are not there are left
    /// out.
    Resolvers {
        /// The repository's root.
        #[arg(long, default_value = ".")]
        root: PathBuf,
    },
    /// Compares the CPU that a request costs programs of the node, in rounds that take turns.
    Cost {
        /// A program; the first is what the others are compared with.
        #[arg(long = "node", value_name = "PROGRAM", required = true)]
        nodes: Vec<PathBuf>,
        /// Rounds of each.
        #[arg(long, default_value_t = 5, value_parser = clap::value_parser!(u16).range(1..))]
        rounds: u16,
        /// Requests of a round.
        #[arg(long, default_value_t = 100_000, value_parser = clap::value_parser!(u32).range(1..))]
        requests: u32,
        /// Commands that a connection has out.
        #[arg(long, default_value_t = 4, value_parser = clap::value_parser!(u16).range(1..=64))]
        depth: u16,
        /// Connections.
        #[arg(long, default_value_t = 4, value_parser = clap::value_parser!(u16).range(1..=256))]
        connections: u16,
    },
    /// Measures what a node costs against the size of its fleet: a JSON line a size, then the line that fits each figure.
    #[command(subcommand)]
    Capacity(Capacity),
}

/// What is measured of a node.
#[derive(Subcommand)]
enum Capacity {
    /// The decision module: a request, a change of the list, a review, memory, messages to peers.
    Choice {
        /// Numbers of cache servers.
        #[arg(long, value_delimiter = ',', default_values_t = [50, 200, 500, 1_500])]
        servers: Vec<usize>,
        /// Numbers of nodes.
        #[arg(long, value_delimiter = ',', default_values_t = [6_300])]
        nodes: Vec<u32>,
        /// Requests a second at the node.
        #[arg(long, default_value_t = 905.0)]
        rate: f64,
    },
    /// The merge of the list with other sources.
    Merge {
        /// Numbers of cache servers.
        #[arg(long, value_delimiter = ',', default_values_t = [50, 200, 500, 1_500])]
        servers: Vec<usize>,
    },
    /// One real node beside real coordinators: at rest, for a change of the list, for a whole list.
    Control {
        /// The folder of the programs `mothpier` and `mothpier-coordinator`.
        #[arg(long, default_value = "target/release")]
        programs: PathBuf,
        /// Numbers of cache servers.
        #[arg(long, value_delimiter = ',', default_values_t = [50, 200, 500, 1_500])]
        servers: Vec<usize>,
        /// Coordinators; with none the node takes no part in the fleet's agreement.
        #[arg(long, default_value_t = 3)]
        coordinators: usize,
        /// Seconds at rest.
        #[arg(long, default_value_t = 20)]
        seconds: u64,
        /// The time of the node's session.
        #[arg(long, default_value = "3s")]
        ttl: String,
    },
    /// One real node under its share of the requests before many cache servers: descriptors, memory, CPU a request, refusals.
    Connections {
        /// The folder of the program `mothpier`.
        #[arg(long, default_value = "target/release")]
        programs: PathBuf,
        /// Numbers of cache servers.
        #[arg(long, value_delimiter = ',', default_values_t = [50, 200, 500, 1_500])]
        servers: Vec<usize>,
        /// Descriptors that the node may hold.
        #[arg(long, default_value_t = 8_192)]
        sockets: usize,
        /// Requests a second.
        #[arg(long, default_value_t = 905.0)]
        rate: f64,
        /// Seconds of warming up, and of measuring.
        #[arg(long, default_value_t = 15)]
        seconds: u64,
    },
    /// One real node with many peers: the datagrams between nodes.
    Datagrams {
        /// The folder of the program `mothpier`.
        #[arg(long, default_value = "target/release")]
        programs: PathBuf,
        /// Numbers of nodes.
        #[arg(long, value_delimiter = ',', default_values_t = [100, 300, 1_000, 3_000, 6_300])]
        nodes: Vec<usize>,
        /// Serves slot-aware clients, for which each node tells all others that it runs.
        #[arg(long)]
        tier: bool,
        /// Seconds of each part.
        #[arg(long, default_value_t = 10)]
        seconds: u64,
    },
}

/// Measures at each size in turn, and fits a line to each figure.
async fn measure(what: Capacity) -> Result<(), String> {
    let mut runs: Vec<Measured> = Vec::new();
    let mut take = |measured: Measured| {
        measured.print();
        runs.push(measured);
    };
    let against = match what {
        Capacity::Choice { servers, nodes, rate } => {
            let against = if servers.len() > 1 { "servers" } else { "nodes" };
            let asked = |servers: &usize, nodes: &u32| capacity::choice::Asked {
                servers: *servers,
                nodes: *nodes,
                per_s: rate,
            };
            let all: Vec<_> = servers.iter().flat_map(|s| nodes.iter().map(move |n| asked(s, n))).collect();
            let memories: Vec<_> =
                all.iter().map(|asked| capacity::choice::measure_memory(*asked)).collect::<Result<_, _>>()?;
            for (asked, (memory, _kept)) in all.iter().zip(&memories) {
                let mut measured = capacity::choice::measure(*asked)?;
                measured.figures.extend(memory.figures.clone());
                take(measured);
            }
            against
        }
        Capacity::Merge { servers } => {
            for servers in servers {
                take(capacity::merge::measure(servers)?);
            }
            "servers"
        }
        Capacity::Control { programs, servers, coordinators, seconds, ttl } => {
            for servers in servers {
                let (programs, ttl) = (programs.clone(), ttl.clone());
                let control = capacity::control::Control { programs, servers, coordinators, seconds, ttl };
                take(capacity::control::measure(&control).await?);
            }
            "servers"
        }
        Capacity::Connections { programs, servers, sockets, rate, seconds } => {
            for servers in servers {
                let (programs, per_s) = (programs.clone(), rate);
                let asked = capacity::connections::Asked { programs, servers, sockets, per_s, seconds };
                take(capacity::connections::measure(&asked).await?);
            }
            "servers"
        }
        Capacity::Datagrams { programs, nodes, tier, seconds } => {
            for nodes in nodes {
                let programs = programs.clone();
                let datagrams = capacity::datagrams::Datagrams { programs, nodes, tier, seconds };
                take(capacity::datagrams::measure(&datagrams).await?);
            }
            "nodes"
        }
    };
    capacity::fit::print(&runs, against);
    Ok(())
}

fn main() -> ExitCode {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let result = runtime.map_err(|e| e.to_string()).and_then(|r| {
        LocalSet::new().block_on(&r, async {
            match Cli::parse().command {
                Command::Demo { seconds, rate, boxes, listen, grace_ms, liar, cluster } => {
                    let demo = Demo {
                        span: seconds.map(Duration::from_secs),
                        rate: f64::from(rate),
                        boxes: usize::from(boxes),
                        listen,
                        grace: Duration::from_millis(grace_ms),
                        liar,
                        cluster,
                    };
                    demo::run(&demo).await
                }
                Command::Clients { only, root } => matrix::run(&Matrix { root, only }).await,
                Command::Capacity(what) => measure(what).await.map(|()| true),
                Command::Resolvers { root } => resolvers::run(&root).await,
                Command::Cost { nodes, rounds, requests, depth, connections } => {
                    let cost = Cost {
                        nodes,
                        rounds: usize::from(rounds),
                        requests: requests as usize,
                        depth: usize::from(depth),
                        connections: usize::from(connections),
                    };
                    cost::run(&cost).await.map(|_| true)
                }
            }
        })
    });
    match result {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(e) => {
            let _ = writeln!(std::io::stderr(), "mothpier-world: {e}");
            ExitCode::from(2)
        }
    }
}
