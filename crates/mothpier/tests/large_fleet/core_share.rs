//! Limits a process to a share of one core: the process is stopped (`SIGSTOP`) while it has used more CPU
//! time than its share of the elapsed time.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use rustix::process::{Pid, Signal, kill_process};

/// How often the CPU time of the process is checked.
const CHECK_INTERVAL: Duration = Duration::from_millis(1);
/// CPU time that a process may use at once after it has been idle.
const MAX_BURST: Duration = Duration::from_millis(4);

/// Returns the CPU time used so far by all threads of a process.
pub fn cpu_time(process_id: u32) -> Duration {
    let threads = std::fs::read_dir(format!("/proc/{process_id}/task")).unwrap();
    let run_time = |text: String| text.split(' ').next().and_then(|ns| ns.parse::<u64>().ok());
    let schedstats =
        threads.flatten().filter_map(|thread| std::fs::read_to_string(thread.path().join("schedstat")).ok());
    Duration::from_nanos(schedstats.filter_map(run_time).sum())
}

/// Limits a process to its share until dropped.
pub struct CoreShare {
    stop: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl CoreShare {
    /// Starts limiting a process to a share of one core.
    pub fn start(process_id: u32, share: f64) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let thread_stop = stop.clone();
        let thread = thread::spawn(move || limit_process(process_id, share, &thread_stop));
        CoreShare { stop, thread: Some(thread) }
    }
}

impl Drop for CoreShare {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

fn limit_process(process_id: u32, share: f64, stop: &AtomicBool) {
    let process = Pid::from_raw(process_id as i32).unwrap();
    let (mut checked_at, mut used_before) = (Instant::now(), cpu_time(process_id));
    // CPU seconds that the process may use; negative while it is stopped.
    let mut budget = MAX_BURST.as_secs_f64();
    let mut stopped = false;
    while !stop.load(Ordering::Relaxed) {
        thread::sleep(CHECK_INTERVAL);
        let (now, used_now) = (Instant::now(), cpu_time(process_id));
        let earned = share * (now - checked_at).as_secs_f64();
        budget = (budget + earned - (used_now - used_before).as_secs_f64()).min(MAX_BURST.as_secs_f64());
        (checked_at, used_before) = (now, used_now);
        if (budget < 0.0) != stopped {
            stopped = !stopped;
            let signal = if stopped { Signal::STOP } else { Signal::CONT };
            let _ = kill_process(process, signal);
        }
    }
    let _ = kill_process(process, Signal::CONT);
}
