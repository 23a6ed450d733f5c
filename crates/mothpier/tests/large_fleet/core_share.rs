//! A process that gets a share of a core: it is stopped for as long as it has used more processor time than its share of
//! the time that has passed.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use rustix::process::{Pid, Signal, kill_process};

/// How often the process is looked at.
const LOOK: Duration = Duration::from_millis(1);
/// Processor time that a rested process may use at once.
const BURST: Duration = Duration::from_millis(4);

/// Processor time of all threads of a process so far.
pub fn processor_time(id: u32) -> Duration {
    let threads = std::fs::read_dir(format!("/proc/{id}/task")).unwrap();
    let ran = |text: String| text.split(' ').next().and_then(|ns| ns.parse::<u64>().ok());
    let each = threads.flatten().filter_map(|t| std::fs::read_to_string(t.path().join("schedstat")).ok());
    Duration::from_nanos(each.filter_map(ran).sum())
}

/// Holds a process to its share until it is dropped.
pub struct CoreShare {
    ends: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl CoreShare {
    /// Holds a process to a share of one core from now on.
    pub fn hold(id: u32, share: f64) -> Self {
        let ends = Arc::new(AtomicBool::new(false));
        let ended = ends.clone();
        let thread = thread::spawn(move || limit(id, share, &ended));
        CoreShare { ends, thread: Some(thread) }
    }
}

impl Drop for CoreShare {
    fn drop(&mut self) {
        self.ends.store(true, Ordering::Relaxed);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

fn limit(id: u32, share: f64, ended: &AtomicBool) {
    let process = Pid::from_raw(id as i32).unwrap();
    let (mut looked, mut used) = (Instant::now(), processor_time(id));
    // Processor time that it may use; less than nothing while it is stopped.
    let mut left = BURST.as_secs_f64();
    let mut stopped = false;
    while !ended.load(Ordering::Relaxed) {
        thread::sleep(LOOK);
        let (now, used_now) = (Instant::now(), processor_time(id));
        let earned = share * (now - looked).as_secs_f64();
        left = (left + earned - (used_now - used).as_secs_f64()).min(BURST.as_secs_f64());
        (looked, used) = (now, used_now);
        if (left < 0.0) != stopped {
            stopped = !stopped;
            let signal = if stopped { Signal::STOP } else { Signal::CONT };
            let _ = kill_process(process, signal);
        }
    }
    let _ = kill_process(process, Signal::CONT);
}
