//! `mothpier-coordinator`: start and runtime of a coordinator.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;

use clap::{Args, Parser, Subcommand};
use mothpier_coordinator::config::{self, Config};
use mothpier_coordinator::store::{Store, Trouble};
use mothpier_net::Tokio;
use tokio::task::LocalSet;

/// One of the programs that agree for a fleet of mothpier nodes: one on a laptop, three or five in service.
///
///   mothpier-coordinator run --single DIR
///
/// or, on each of three machines, once and then always:
///
///   mothpier-coordinator init FILE
///   mothpier-coordinator run FILE
///
/// Exit codes: 1 it failed in service, 2 it could not start.
#[derive(Parser)]
#[command(name = "mothpier-coordinator", version, max_term_width = 100, verbatim_doc_comment)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Makes the store of a new fleet's member. Refuses a folder that has one.
    Init {
        /// Its file.
        file: PathBuf,
    },
    /// Makes the store of a member that joins a fleet. It knows nothing until it is added: `mothpierctl coordinator add`.
    Join {
        /// Its file.
        file: PathBuf,
    },
    /// Runs a member.
    Run(Run),
    /// Checks a file.
    Check {
        /// It.
        file: PathBuf,
    },
}

#[derive(Args)]
struct Run {
    /// Its file.
    #[arg(required_unless_present = "single", conflicts_with = "single")]
    file: Option<PathBuf>,
    /// Alone, with its store in this folder, which is made where it is not there.
    #[arg(long, value_name = "DIR")]
    single: Option<PathBuf>,
    /// Where it listens when it is alone.
    #[arg(long, default_value = "127.0.0.1:7100", requires = "single")]
    listen: SocketAddr,
}

fn read(file: &PathBuf) -> Result<Config, Trouble> {
    let text =
        std::fs::read_to_string(file).map_err(|e| Trouble::Unusable(format!("{}: {e}", file.display())))?;
    config::parse(&text).map_err(|e| Trouble::Unusable(format!("{}:\n{e}", file.display())))
}

fn prepared(command: Command) -> Result<Option<Config>, Trouble> {
    match command {
        Command::Init { file } => mothpier_coordinator::init(&read(&file)?).map(|()| None),
        Command::Join { file } => mothpier_coordinator::join(&read(&file)?).map(|()| None),
        Command::Check { file } => read(&file).map(|_| None),
        Command::Run(Run { single: Some(folder), listen, .. }) => {
            let config = config::single(folder, listen);
            if !Store::is_in(&config.folder) {
                mothpier_coordinator::init(&config)?;
            }
            Ok(Some(config))
        }
        Command::Run(Run { file, .. }) => read(&file.unwrap_or_default()).map(Some),
    }
}

fn main() -> ExitCode {
    let config = match prepared(Cli::parse().command) {
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
