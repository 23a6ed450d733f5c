//! What it costs to merge a list into the view of several sources, whole and by one changed line.

use mothpier_membership::{Phase, ServerRecord, Settings, Sources, gossip};

use super::{Measured, members, process};
use crate::agent::Member;

/// Measures it with so many cache servers, word of mouth between nodes switched on.
///
/// # Errors
///
/// A system that does not count processor time.
pub fn measure(servers: usize) -> Result<Measured, String> {
    let mut measured = Measured::new([("servers", servers as f64)]);
    let lines: Vec<ServerRecord> = members(servers).into_iter().map(line).collect();
    let settings = Settings { gossip: Some(gossip::Settings::default()), ..Settings::default() };
    let mut sources = Sources::new(settings, 1, 0);
    let mut now = 1;
    sources.update_list(now, true, lines.clone());
    sources.changes(now);
    let change = process::each_us(|i| {
        now += 1_000;
        let phase = if i.is_multiple_of(2) { Phase::Draining } else { Phase::Ready };
        let changed = ServerRecord { phase, up_since_ms: now, ..lines[i / 2 % servers].clone() };
        sources.update_list(now, false, vec![changed]);
        sources.changes(now);
        sources.next_message(now);
    })?;
    let whole = process::each_us(|_| {
        now += 1_000;
        sources.update_list(now, true, lines.clone());
        sources.changes(now);
    })?;
    measured.set("merge_of_one_change_us", change);
    measured.set("merge_of_a_whole_list_us", whole);
    Ok(measured)
}

fn line(member: Member) -> ServerRecord {
    ServerRecord {
        id: member.id,
        host_port: member.address.to_string(),
        locality: "a".into(),
        flavor: member.kind.into(),
        cell: 0,
        size: Some(1.0),
        up_since_ms: member.up_since_ms,
        phase: Phase::Ready,
    }
}
