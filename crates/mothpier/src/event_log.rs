//! A log line for each event of a request or connection, with its id and reason. Off unless enabled by an
//! environment variable, and limited in rate so that many events cannot flood the log.

use std::cell::Cell;
use std::str::FromStr;
use std::time::{Duration, Instant};

use serde::Serialize;

use crate::metrics::{CloseReason, RefusalReason};

/// The environment variable that enables the event log and selects its format.
pub const EVENTS_VARIABLE: &str = "MOTHPIER_EVENTS";
/// Maximum number of lines in an interval; further ones are counted and reported with the next line.
const MAX_LINES: u32 = 200;
const INTERVAL: Duration = Duration::from_secs(1);

/// The format of event lines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LogFormat {
    /// Fields as `name=value`.
    Text,
    /// A JSON object.
    Json,
}

impl FromStr for LogFormat {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        match text {
            "text" => Ok(LogFormat::Text),
            "json" => Ok(LogFormat::Json),
            other => Err(format!("{EVENTS_VARIABLE}: {other:?} is neither \"text\" nor \"json\"")),
        }
    }
}

/// An event of a request, a connection or the node.
#[derive(Clone, Copy, Debug, Serialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub enum Event<'a> {
    /// A further attempt of a request is made; `after` states how the previous one ended.
    Retried { request: &'a str, attempt: u16, after: &'static str, server: u32 },
    /// A request was refused; retrying it is safe.
    Refused { request: &'a str, reason: RefusalReason, attempts: u16, retry_after_ms: u64 },
    /// A request failed; it may have run.
    Failed { request: &'a str, attempts: u16, last: &'static str },
    /// The client of a request has closed its connection.
    ClientGone { request: &'a str, attempts: u16 },
    /// A server list, or changes to it, were applied.
    ListTaken { revision: u64, complete: bool, lines: usize },
    /// One input occupied the node for so long that others had to wait.
    HeldUp { input: &'static str, took_ms: u64 },
    /// A task occupied the node for so long that all others had to wait.
    TasksDelayed { late_ms: u64 },
    /// A client sent what cannot be read as a command; its connection will be closed.
    ProtocolError { connection: u64, error: &'static str },
    /// A client's connection was closed. It had sent that many commands, and that many of them were no requests.
    ConnectionClosed { connection: u64, reason: CloseReason, unanswered: usize, commands: u64, rejected: u64 },
}

/// Formats events as log lines, at a limited rate.
#[derive(Default)]
pub struct EventLog {
    format: Option<LogFormat>,
    interval_started: Cell<Option<Instant>>,
    lines: Cell<u32>,
    suppressed: Cell<u64>,
}

impl EventLog {
    /// Creates an event log that writes in a format, or nothing.
    pub fn new(format: Option<LogFormat>) -> Self {
        EventLog { format, ..EventLog::default() }
    }

    /// Returns the line for an event, or `None` if none is to be written.
    pub fn format_line(&self, now: Instant, event: &Event) -> Option<String> {
        let format = self.format?;
        if self.interval_started.get().is_none_or(|began| now.saturating_duration_since(began) >= INTERVAL) {
            self.interval_started.set(Some(now));
            self.lines.set(0);
        }
        if self.lines.get() >= MAX_LINES {
            self.suppressed.set(self.suppressed.get() + 1);
            return None;
        }
        self.lines.set(self.lines.get() + 1);
        let mut fields = serde_json::to_value(event).ok()?;
        let suppressed = self.suppressed.take();
        if let Some(object) = fields.as_object_mut().filter(|_| suppressed > 0) {
            object.insert("left_out_before".into(), suppressed.into());
        }
        Some(match format {
            LogFormat::Json => fields.to_string(),
            LogFormat::Text => as_text(&fields),
        })
    }
}

fn as_text(fields: &serde_json::Value) -> String {
    let field = |(name, value): (&String, &serde_json::Value)| match value {
        serde_json::Value::String(text) => format!("{name}={text}"),
        other => format!("{name}={other}"),
    };
    fields.as_object().into_iter().flatten().map(field).collect::<Vec<_>>().join(" ")
}

#[cfg(test)]
mod tests;
