//! Times against each other, and what a cold box stands.

use std::time::Duration;

use crate::app::{App, Upstream};
use crate::code;
use crate::finding::Finding;
use crate::units::show_time;

/// A node that is stopped is killed after the longest deadline, 3 s at most, and some time more.
const STOPPED_AFTER: Duration = Duration::from_secs(3);

pub fn check(app: &App, found: &mut Vec<Finding>) {
    for class in &app.classes {
        let name = &class.name.value;
        if class.aim.value > class.deadline.value {
            let (aim, deadline) = (show_time(class.aim.value), show_time(class.deadline.value));
            let what =
                format!("class {name:?} is wanted within {aim}, and nobody waits longer than {deadline}");
            found.push(
                Finding::error(
                    code::AIM_BEYOND_DEADLINE,
                    class.aim.span.clone(),
                    what,
                    format!("set aim to {deadline} or less"),
                )
                .with(class.deadline.span.clone(), "the deadline"),
            );
        }
        if class.deadline.value > STOPPED_AFTER {
            let what = format!("class {name:?} has a deadline of {}", show_time(class.deadline.value));
            found.push(Finding::warning(
                code::PATIENCE,
                class.deadline.span.clone(),
                what,
                code::PATIENCE.mend(),
            ));
        }
    }
    let r = &app.retries;
    let spent = r.connect_timeout.value * r.attempts.value.min(1000) as u32;
    if let Some(class) = app.classes.iter().min_by_key(|c| c.deadline.value)
        && spent > class.deadline.value
    {
        let what = format!(
            "{} attempts of {} each take {}, and class {:?} is waited for {}",
            r.attempts.value,
            show_time(r.connect_timeout.value),
            show_time(spent),
            class.name.value,
            show_time(class.deadline.value)
        );
        let span = if r.connect_timeout.written { &r.connect_timeout.span } else { &r.attempts.span };
        found.push(
            Finding::error(
                code::TRIES_BEYOND_DEADLINE,
                span.clone(),
                what,
                code::TRIES_BEYOND_DEADLINE.mend(),
            )
            .with(class.deadline.span.clone(), "the shortest deadline"),
        );
    }
    if let Some(class) = app.classes.iter().max_by_key(|c| c.deadline.value)
        && r.idle_close.value <= class.deadline.value
    {
        let what = format!("idle connections close after {}", show_time(r.idle_close.value));
        let mend = format!("set it longer than {}", show_time(class.deadline.value));
        found.push(
            Finding::error(code::IDLE_TOO_SHORT, r.idle_close.span.clone(), what, mend)
                .with(class.deadline.span.clone(), "the longest deadline"),
        );
    }
    // What never ran is tried again without a budget: that multiplies nothing.
    let multiplied =
        [(r.budget.value > 0.0, &r.budget.span, "retries"), (r.copies.value, &r.copies.span, "copies")];
    for (on, span, what) in multiplied {
        if on && app.upstream.value == Upstream::Tier {
            let what = format!("{what} of the sidecar, each of which the tier tries again");
            found.push(
                Finding::error(code::RETRIES_MULTIPLY, span.clone(), what, code::RETRIES_MULTIPLY.mend())
                    .with(app.upstream.span.clone(), "the tier tries again by itself"),
            );
        }
    }
    cold(app, found);
}

fn cold(app: &App, found: &mut Vec<Finding>) {
    let c = &app.cold;
    if c.sends_at.value >= c.falls_at.value {
        let what = format!(
            "a cold box is sent {} times what it can do, and falls over at {}",
            c.sends_at.value, c.falls_at.value
        );
        let span = if c.sends_at.written { &c.sends_at.span } else { &c.falls_at.span };
        let mend = format!("set `sends_at` below {}", c.falls_at.value);
        found.push(
            Finding::error(code::COLD_PUSHED, span.clone(), what, mend)
                .with(c.falls_at.span.clone(), "it falls over"),
        );
    }
}
