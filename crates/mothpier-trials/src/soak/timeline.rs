//! The log of a seed for people: what was seen, in the order of time.

use std::time::Instant;

use super::ledger::Ledger;

/// Returns what was seen, a line each, with the time since the given one.
pub(super) fn render(began: Instant, ledger: &Ledger) -> String {
    let ms = |at: Instant| at.saturating_duration_since(began).as_millis();
    let mut lines: Vec<(u128, String)> = Vec::new();
    for (id, asked) in &ledger.asked {
        lines.push((ms(asked.at), format!("{id} asked, {} ms", asked.deadline_ms)));
        if let Some(ended) = asked.ended {
            lines.push((ms(ended), format!("{id} {:?} {}", asked.end, asked.note)));
        }
    }
    for arrival in &ledger.arrivals {
        let who = arrival.server.map_or("origin".to_owned(), |s| format!("server {s}"));
        lines.push((ms(arrival.at), format!("{} at {who}, {:?} ms told", arrival.id, arrival.told_ms)));
    }
    for told in &ledger.told {
        lines.push((
            ms(told.at),
            format!("node {} told: server {} ready {}", told.node, told.server, told.ready),
        ));
    }
    lines.extend(ledger.notes.iter().map(|(at, note)| (ms(*at), note.clone())));
    for (from, to) in &ledger.stalls {
        lines.push((ms(*from), format!("the harness did not run for {:?}", *to - *from)));
    }
    lines.sort();
    lines.into_iter().map(|(at, text)| format!("{at:>6} ms  {text}\n")).collect()
}
