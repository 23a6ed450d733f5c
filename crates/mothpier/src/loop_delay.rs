//! Measures how late the tasks of the node run. They share one thread, so a task that occupies it delays all others,
//! whichever task it is.

use std::rc::Rc;
use std::time::Duration;

use mothpier_net::Net;

use crate::event_log::{Event, EventLog};
use crate::metrics::Metrics;

/// Time between two observations.
const INTERVAL: Duration = Duration::from_millis(100);
/// Delays of at least this length are logged.
const LOGGED_DELAY: Duration = Duration::from_millis(15);

/// Measures the delay of a timer for the lifetime of the node.
pub async fn run<N: Net>(net: N, metrics: Rc<Metrics>, event_log: Rc<EventLog>) {
    loop {
        let due = net.now() + INTERVAL;
        net.sleep_until(due).await;
        let delay = net.since(due);
        metrics.observe_loop_delay(delay);
        if delay >= LOGGED_DELAY {
            let event = Event::TasksDelayed { late_ms: delay.as_millis() as u64 };
            if let Some(line) = event_log.format_line(net.now(), &event) {
                net.log(line);
            }
        }
    }
}
