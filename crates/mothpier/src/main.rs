//! `mothpier`, a load-balancing node for a fleet of cache servers: start, runtime and signals.

use std::process::ExitCode;

use mothpier::config::{self, Config, Precedence};
use mothpier::{Control, run};
use mothpier_net::{Net, Signal, Signals, Tokio};
use tokio::sync::mpsc;
use tokio::task::LocalSet;

fn main() -> ExitCode {
    #[cfg(feature = "plants")]
    plant_named_in_the_environment();
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

/// Plants the mistake that `MOTHPIER_PLANT` names: trials show that they find it.
#[cfg(feature = "plants")]
fn plant_named_in_the_environment() {
    let Ok(name) = std::env::var("MOTHPIER_PLANT") else { return };
    let all = mothpier::Mutation::ALL.into_iter().chain(mothpier::Mutation::OF_THE_SOAK);
    let plant = all.into_iter().find(|plant| format!("{plant:?}") == name);
    if plant.is_none() {
        Tokio.log(format_args!("no planted mistake is called {name}"));
    }
    mothpier::activate_mutation(plant);
}

async fn node(config: Config) -> Result<(), String> {
    // Taken from the start on: unhandled, each of them would end the node.
    let mut signals = Signals::take().map_err(|e| format!("signals can't be taken: {e}"))?;
    let (control, told) = mpsc::channel(8);
    Tokio.spawn(async move {
        loop {
            let tell = match signals.next().await {
                Signal::Terminate | Signal::Interrupt => Control::Stop,
                Signal::HangUp => Control::Reload(config::read(Precedence::File).map(Box::new)),
            };
            if control.send(tell).await.is_err() {
                return;
            }
        }
    });
    run(Tokio, config, told).await
}
