//! `mothpier`, a load-balancing node for a fleet of cache servers: start, runtime and signals.

use std::process::ExitCode;

use mothpier::config::{self, Config, Precedence};
use mothpier::{Control, run};
use mothpier_net::{Net, Signal, Signals, Tokio};
use tokio::sync::mpsc;
use tokio::task::LocalSet;

fn main() -> ExitCode {
    #[cfg(feature = "plants")]
    activate_mutation_from_environment();
    let config = match config::read(Precedence::Environment) {
        Ok(config) => config,
        Err(e) => {
            Tokio.log(e);
            return ExitCode::from(2);
        }
    };
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let ended = runtime.map_err(|e| e.to_string()).and_then(|r| LocalSet::new().block_on(&r, node(config)));
    match ended {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            Tokio.log(e);
            ExitCode::FAILURE
        }
    }
}

/// Activates the mutation named by `MOTHPIER_PLANT`; trials use it to show that they detect the fault.
#[cfg(feature = "plants")]
fn activate_mutation_from_environment() {
    let Ok(name) = std::env::var("MOTHPIER_PLANT") else { return };
    let all = mothpier::Mutation::ALL.into_iter().chain(mothpier::Mutation::SOAK_ONLY);
    let mutation = all.into_iter().find(|mutation| format!("{mutation:?}") == name);
    if mutation.is_none() {
        Tokio.log(format_args!("MOTHPIER_PLANT: unknown mutation {name}"));
    }
    mothpier::activate_mutation(mutation);
}

async fn node(config: Config) -> Result<(), String> {
    // Installed before anything else: an unhandled signal would end the process.
    let mut signals = Signals::install().map_err(|e| format!("cannot install signal handlers: {e}"))?;
    let (control, commands) = mpsc::channel(8);
    Tokio.spawn(async move {
        loop {
            let command = match signals.next().await {
                Signal::Terminate | Signal::Interrupt => Control::Stop,
                Signal::HangUp => Control::Reload(config::read(Precedence::File).map(Box::new)),
            };
            if control.send(command).await.is_err() {
                return;
            }
        }
    });
    run(Tokio, config, commands).await
}
