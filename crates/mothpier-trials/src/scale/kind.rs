//! What a call to a coordinator is, told from its first bytes on the socket.

use serde::{Deserialize, Serialize};

/// The kinds of calls that are counted apart.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CallKind {
    /// Opens a session.
    Open,
    /// Renews a session.
    Renew,
    /// A node joins the fleet.
    Join,
    /// A node reports.
    Report,
    /// A node confirms a stage of a drain.
    Confirm,
    /// Any other command.
    OtherCommand,
    /// Reads the drains.
    Drains,
    /// Waits for changes.
    Watch,
    /// Reads the whole fleet.
    Fleet,
    /// Anything else.
    Other,
}

/// What marks a kind within the first bytes of a call; the first that fits counts.
const MARKS: [(&str, CallKind); 10] = [
    ("GET /v1/watch", CallKind::Watch),
    ("GET /v1/drains", CallKind::Drains),
    ("GET /v1/fleet", CallKind::Fleet),
    (r#""do":"open""#, CallKind::Open),
    (r#""do":"renew""#, CallKind::Renew),
    (r#""fleet":"join""#, CallKind::Join),
    (r#""fleet":"report""#, CallKind::Report),
    (r#""fleet":"numbered_report""#, CallKind::Report),
    (r#""fleet":"confirm""#, CallKind::Confirm),
    ("POST /v1/command", CallKind::OtherCommand),
];

/// Bytes at the beginning of a call that tell its kind.
pub const TELLING: usize = 768;

impl CallKind {
    /// The kind of a call that begins with these bytes.
    pub fn of(first: &[u8]) -> CallKind {
        let first = String::from_utf8_lossy(&first[..first.len().min(TELLING)]);
        MARKS.iter().find(|(mark, _)| first.contains(mark)).map_or(CallKind::Other, |(_, kind)| *kind)
    }

    /// Its name in records.
    pub fn name(self) -> &'static str {
        match self {
            CallKind::Open => "open",
            CallKind::Renew => "renew",
            CallKind::Join => "join",
            CallKind::Report => "report",
            CallKind::Confirm => "confirm",
            CallKind::OtherCommand => "other_command",
            CallKind::Drains => "drains",
            CallKind::Watch => "watch",
            CallKind::Fleet => "fleet",
            CallKind::Other => "other",
        }
    }
}

#[cfg(test)]
mod tests;
