//! Measures for how long a busy machine keeps threads of this process from running. A delay of that length is
//! not the node's fault: an upstream server in this process that runs late records a late arrival.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Number of measuring threads; the longest stall among them counts.
const WATCHER_THREADS: usize = 4;
const CHECK_INTERVAL: Duration = Duration::from_millis(5);
/// A sleep that exceeds its interval by less than this is not a stall.
const TOLERANCE: Duration = Duration::from_millis(5);

type Gaps = Arc<Mutex<Vec<(Instant, Instant)>>>;

/// Measures stalls until it is dropped.
pub struct Stalls {
    gaps: Vec<Gaps>,
    stop: Arc<AtomicBool>,
}

impl Drop for Stalls {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::SeqCst);
    }
}

impl Stalls {
    /// Starts measuring.
    pub fn start() -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let gaps: Vec<Gaps> = (0..WATCHER_THREADS).map(|_| Gaps::default()).collect();
        for gaps in gaps.clone() {
            let stop = stop.clone();
            thread::spawn(move || {
                while !stop.load(Ordering::SeqCst) {
                    let due = Instant::now() + CHECK_INTERVAL;
                    thread::sleep(CHECK_INTERVAL);
                    let now = Instant::now();
                    if now > due + TOLERANCE {
                        gaps.lock().unwrap().push((due, now));
                    }
                }
            });
        }
        Stalls { gaps, stop }
    }

    /// Returns the longest time for which one of the threads was kept from running between two instants.
    pub fn within(&self, from: Instant, to: Instant) -> Duration {
        let time_in_gaps = |gaps: &Gaps| -> Duration {
            let gaps = gaps.lock().unwrap();
            gaps.iter()
                .map(|(since, until)| (*until).min(to).saturating_duration_since((*since).max(from)))
                .sum()
        };
        self.gaps.iter().map(time_in_gaps).max().unwrap_or_default()
    }
}
