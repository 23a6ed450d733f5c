//! `mothpier-coordinator`: command line and runtime of a coordinator.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;

use clap::{Args, Parser, Subcommand};
use mothpier_coordinator::config::{self, Config};
use mothpier_coordinator::store::{CoordinatorError, Store};
use mothpier_net::Tokio;
use tokio::task::LocalSet;

/// A member of the coordinator group of a fleet of mothpier nodes: one on a laptop, three or five in
/// production.
///
///   mothpier-coordinator run --single DIR
///
/// or, on each of three machines, `init` once and then `run`:
///
///   mothpier-coordinator init FILE
///   mothpier-coordinator run FILE
///
/// Exit codes: 1 failed while running, 2 could not start.
#[derive(Parser)]
#[command(name = "mothpier-coordinator", version, max_term_width = 100, verbatim_doc_comment)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Creates the store of a member of a new cluster. Fails if the folder has one already.
    Init {
        /// Configuration file of the member.
        file: PathBuf,
    },
    /// Creates the store of a member that joins an existing cluster. It stays empty until the member is added
    /// with `mothpierctl coordinator add`.
    Join {
        /// Configuration file of the member.
        file: PathBuf,
    },
    /// Runs a member.
    Run(Run),
    /// Checks a configuration file.
    Check {
        /// Configuration file to check.
        file: PathBuf,
    },
}

#[derive(Args)]
struct Run {
    /// Configuration file of the member.
    #[arg(required_unless_present = "single", conflicts_with = "single")]
    file: Option<PathBuf>,
    /// Runs as a single-member cluster, with the store in this folder, which is created if missing.
    #[arg(long, value_name = "DIR")]
    single: Option<PathBuf>,
    /// Address to listen at with --single.
    #[arg(long, default_value = "127.0.0.1:7100", requires = "single")]
    listen: SocketAddr,
}

fn read_config(file: &PathBuf) -> Result<Config, CoordinatorError> {
    let text = std::fs::read_to_string(file)
        .map_err(|e| CoordinatorError::Unusable(format!("{}: {e}", file.display())))?;
    config::parse(&text).map_err(|e| CoordinatorError::Unusable(format!("{}:\n{e}", file.display())))
}

/// Executes a subcommand other than `run`, or returns the configuration to run with.
fn prepare(command: Command) -> Result<Option<Config>, CoordinatorError> {
    match command {
        Command::Init { file } => mothpier_coordinator::init(&read_config(&file)?).map(|()| None),
        Command::Join { file } => mothpier_coordinator::join(&read_config(&file)?).map(|()| None),
        Command::Check { file } => read_config(&file).map(|_| None),
        Command::Run(Run { single: Some(folder), listen, .. }) => {
            let config = config::single(folder, listen);
            if !Store::exists_in(&config.folder) {
                mothpier_coordinator::init(&config)?;
            }
            Ok(Some(config))
        }
        Command::Run(Run { file, .. }) => read_config(&file.unwrap_or_default()).map(Some),
    }
}

fn main() -> ExitCode {
    let config = match prepare(Cli::parse().command) {
        Ok(Some(config)) => config,
        Ok(None) => return ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("mothpier-coordinator: {e}");
            return ExitCode::from(2);
        }
    };
    let runtime = match tokio::runtime::Builder::new_current_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(e) => {
            eprintln!("mothpier-coordinator: {e}");
            return ExitCode::from(2);
        }
    };
    match LocalSet::new().block_on(&runtime, mothpier_coordinator::run(Tokio, config)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("mothpier-coordinator: {e}");
            ExitCode::FAILURE
        }
    }
}
