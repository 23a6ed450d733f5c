//! How long a busy machine keeps the threads of this process from running: what comes late by that is not the node's
//! doing, and a far end that runs late writes down a late time.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Threads that look; the one that was kept longest counts.
const THREADS: usize = 4;
const PERIOD: Duration = Duration::from_millis(5);
/// A pause longer than its period by less than this is ordinary.
const ORDINARY: Duration = Duration::from_millis(5);

type Gaps = Arc<Mutex<Vec<(Instant, Instant)>>>;

/// Measures until it is dropped.
pub struct Stalls {
    gaps: Vec<Gaps>,
    over: Arc<AtomicBool>,
}

impl Drop for Stalls {
    fn drop(&mut self) {
        self.over.store(true, Ordering::SeqCst);
    }
}

impl Stalls {
    /// Begins to measure.
    pub fn watch() -> Self {
        let over = Arc::new(AtomicBool::new(false));
        let gaps: Vec<Gaps> = (0..THREADS).map(|_| Gaps::default()).collect();
        for gaps in gaps.clone() {
            let over = over.clone();
            thread::spawn(move || {
                while !over.load(Ordering::SeqCst) {
                    let due = Instant::now() + PERIOD;
                    thread::sleep(PERIOD);
                    let now = Instant::now();
                    if now > due + ORDINARY {
                        gaps.lock().unwrap().push((due, now));
                    }
                }
            });
        }
        Stalls { gaps, over }
    }

    /// How long one thread was kept from running within a span, the worst of them.
    pub fn within(&self, from: Instant, to: Instant) -> Duration {
        let of_one = |gaps: &Gaps| -> Duration {
            let gaps = gaps.lock().unwrap();
            gaps.iter()
                .map(|(since, until)| (*until).min(to).saturating_duration_since((*since).max(from)))
                .sum()
        };
        self.gaps.iter().map(of_one).max().unwrap_or_default()
    }
}
