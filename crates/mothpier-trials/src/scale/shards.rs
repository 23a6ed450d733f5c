//! The threads on which the hollow nodes run, each with a scheduler of its own: the client library is made for one
//! thread.

use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::Duration;

use super::hollow::{Hollow, Told};
use super::plan::NodePlan;
use super::shared::Shared;

/// How often a thread looks whether the trial is over.
const LOOK: Duration = Duration::from_millis(50);

/// All hollow nodes of a trial.
pub struct Shards {
    shared: Arc<Shared>,
    threads: Vec<JoinHandle<Result<(), String>>>,
}

impl Shards {
    /// Starts all nodes, spread over so many threads.
    ///
    /// # Errors
    ///
    /// No thread can be had.
    pub fn start(
        nodes: &[NodePlan],
        told: &Told,
        shared: &Arc<Shared>,
        threads: usize,
    ) -> Result<Self, String> {
        let mut started = Shards { shared: shared.clone(), threads: Vec::new() };
        for thread in 0..threads {
            let own: Vec<NodePlan> = nodes.iter().skip(thread).step_by(threads).cloned().collect();
            let (told, shared) = (told.clone(), shared.clone());
            let spawned = std::thread::Builder::new()
                .name(format!("hollow-{thread}"))
                .spawn(move || run(own, &told, &shared))
                .map_err(|e| e.to_string())?;
            started.threads.push(spawned);
        }
        Ok(started)
    }

    /// Ends all nodes.
    ///
    /// # Errors
    ///
    /// Why a thread had ended before.
    pub fn end(self) -> Result<(), String> {
        self.shared.end();
        for thread in self.threads {
            thread.join().map_err(|_| "a thread of hollow nodes has panicked".to_owned())??;
        }
        Ok(())
    }
}

fn run(nodes: Vec<NodePlan>, told: &Told, shared: &Arc<Shared>) -> Result<(), String> {
    crate::block(async {
        for plan in nodes {
            let node = Hollow::new(plan, told.clone(), shared.clone())?;
            tokio::task::spawn_local(node.run());
        }
        while !shared.is_over() {
            tokio::time::sleep(LOOK).await;
        }
        Ok(())
    })
}
