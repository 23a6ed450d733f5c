//! Checks time settings against each other, and the load on a cold cache server.

use std::time::Duration;

use crate::app::{App, Upstream};
use crate::code;
use crate::finding::Finding;
use crate::units::format_duration;

/// Longest deadline that a stopping node waits for; it is killed some time after that.
const MAX_SHUTDOWN_DEADLINE: Duration = Duration::from_secs(3);

pub fn check(app: &App, findings: &mut Vec<Finding>) {
    for class in &app.classes {
        let name = &class.name.value;
        if class.aim.value > class.deadline.value {
            let (aim, deadline) = (format_duration(class.aim.value), format_duration(class.deadline.value));
            let problem = format!("class {name:?} has an aim of {aim}, beyond its deadline of {deadline}");
            findings.push(
                Finding::error(
                    code::AIM_BEYOND_DEADLINE,
                    class.aim.span.clone(),
                    problem,
                    format!("set aim to {deadline} or less"),
                )
                .with_related(class.deadline.span.clone(), "the deadline"),
            );
        }
        if class.deadline.value > MAX_SHUTDOWN_DEADLINE {
            let problem =
                format!("class {name:?} has a deadline of {}", format_duration(class.deadline.value));
            findings.push(Finding::warning(
                code::DEADLINE_BEYOND_SHUTDOWN,
                class.deadline.span.clone(),
                problem,
                code::DEADLINE_BEYOND_SHUTDOWN.fix(),
            ));
        }
    }
    let retries = &app.retries;
    let connect_total = retries.connect_timeout.value * retries.attempts.value.min(1000) as u32;
    if let Some(class) = app.classes.iter().min_by_key(|c| c.deadline.value)
        && connect_total > class.deadline.value
    {
        let problem = format!(
            "{} attempts of {} each take {}, and class {:?} has a deadline of {}",
            retries.attempts.value,
            format_duration(retries.connect_timeout.value),
            format_duration(connect_total),
            class.name.value,
            format_duration(class.deadline.value)
        );
        let span = if retries.connect_timeout.explicit {
            &retries.connect_timeout.span
        } else {
            &retries.attempts.span
        };
        findings.push(
            Finding::error(
                code::ATTEMPTS_BEYOND_DEADLINE,
                span.clone(),
                problem,
                code::ATTEMPTS_BEYOND_DEADLINE.fix(),
            )
            .with_related(class.deadline.span.clone(), "the shortest deadline"),
        );
    }
    if let Some(class) = app.classes.iter().max_by_key(|c| c.deadline.value)
        && retries.idle_close.value <= class.deadline.value
    {
        let problem = format!("idle connections close after {}", format_duration(retries.idle_close.value));
        let fix = format!("set it longer than {}", format_duration(class.deadline.value));
        findings.push(
            Finding::error(code::IDLE_CLOSE_TOO_SHORT, retries.idle_close.span.clone(), problem, fix)
                .with_related(class.deadline.span.clone(), "the longest deadline"),
        );
    }
    // Requests that never ran are retried without a budget, which does not multiply load.
    let multiplied = [
        (retries.budget.value > 0.0, &retries.budget.span, "retries"),
        (retries.copies.value, &retries.copies.span, "copies"),
    ];
    for (enabled, span, source) in multiplied {
        if enabled && app.upstream.value == Upstream::Tier {
            let problem = format!("{source} of the sidecar, each of which the tier retries");
            findings.push(
                Finding::error(code::RETRIES_MULTIPLY, span.clone(), problem, code::RETRIES_MULTIPLY.fix())
                    .with_related(app.upstream.span.clone(), "the tier retries by itself"),
            );
        }
    }
    check_cold(app, findings);
}

/// Checks that a cold cache server is sent less load than makes it fail.
fn check_cold(app: &App, findings: &mut Vec<Finding>) {
    let cold = &app.cold;
    if cold.sends_at.value >= cold.falls_at.value {
        let problem = format!(
            "a cold box is sent {} times its current capacity, and fails at {}",
            cold.sends_at.value, cold.falls_at.value
        );
        let span = if cold.sends_at.explicit { &cold.sends_at.span } else { &cold.falls_at.span };
        let fix = format!("set `sends_at` below {}", cold.falls_at.value);
        findings.push(
            Finding::error(code::COLD_SERVER_OVERLOAD, span.clone(), problem, fix)
                .with_related(cold.falls_at.span.clone(), "it fails at this load"),
        );
    }
}
