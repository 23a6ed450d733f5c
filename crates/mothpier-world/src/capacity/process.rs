//! What the system says of a process: processor time, memory, descriptors.

use std::path::Path;
use std::process::{Child, Command, Stdio};

/// A figure of processor time is the mean over at least so much of it: the scheduler counts in steps of a few ms.
const LEAST_S: f64 = 0.4;
/// Steps between two looks at the time.
const BATCH: usize = 200;

/// A program that ends with this value.
pub struct Running(Child);

impl Drop for Running {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

impl Running {
    /// Starts a command; what it says goes to a log.
    pub fn start(command: &mut Command, log: &Path) -> Result<Self, String> {
        let file = std::fs::File::create(log).map_err(|e| format!("{}: {e}", log.display()))?;
        let child = command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(file).spawn();
        child.map(Running).map_err(|e| format!("{}: {e}", command.get_program().display()))
    }

    /// What the system says of it now.
    pub fn used(&self) -> Result<Used, String> {
        used(&self.0.id().to_string())
    }
}

/// What a process has used and holds.
#[derive(Clone, Copy, Debug)]
pub struct Used {
    /// Processor time of its threads, s.
    pub processor_s: f64,
    /// Resident memory, KB.
    pub memory_kb: f64,
    /// Open descriptors.
    pub descriptors: f64,
}

/// What the system says of a process by its number, or of `self`.
pub fn used(id: &str) -> Result<Used, String> {
    let folder = format!("/proc/{id}");
    let status = std::fs::read_to_string(format!("{folder}/status")).map_err(|e| format!("{folder}: {e}"))?;
    let memory = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let memory_kb = memory.and_then(|text| text.split_whitespace().next()?.parse().ok()).unwrap_or_default();
    let descriptors = std::fs::read_dir(format!("{folder}/fd")).map_or(0, Iterator::count) as f64;
    Ok(Used { processor_s: processor_s(&folder)?, memory_kb, descriptors })
}

/// Processor time of all threads, in the scheduler's own count of nanoseconds.
fn processor_s(folder: &str) -> Result<f64, String> {
    let threads = std::fs::read_dir(format!("{folder}/task")).map_err(|e| format!("{folder}: {e}"))?;
    let mut all = 0.0;
    for thread in threads.flatten() {
        let text = std::fs::read_to_string(thread.path().join("schedstat")).unwrap_or_default();
        let ran_ns: f64 = text.split(' ').next().and_then(|ns| ns.parse().ok()).unwrap_or_default();
        all += ran_ns / 1e9;
    }
    Ok(all)
}

/// Processor time of one step of a job within this process, microseconds: the mean of many.
pub fn each_us(mut step: impl FnMut(usize)) -> Result<f64, String> {
    let began = processor_s("/proc/self")?;
    let mut done = 0;
    loop {
        for _ in 0..BATCH {
            step(done);
            done += 1;
        }
        let spent = processor_s("/proc/self")? - began;
        if spent >= LEAST_S {
            return Ok(spent * 1e6 / done as f64);
        }
    }
}
