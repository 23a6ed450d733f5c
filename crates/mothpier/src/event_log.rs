//! A line of the log for each thing that befell a request or a connection, with its id and reason: off unless the environment
//! asks for it, and bounded, so that no flood of them fills the log.

use std::cell::Cell;
use std::str::FromStr;
use std::time::{Duration, Instant};

use serde::Serialize;

use crate::metrics::{CloseReason, RefusalReason};

/// The variable of the environment that asks for events.
pub const VARIABLE: &str = "MOTHPIER_EVENTS";
/// Lines in a span at the most; those beyond are counted, and told with the next line.
const MOST_LINES: u32 = 200;
const SPAN: Duration = Duration::from_secs(1);

/// How events are written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Form {
    /// Names and values, `name=value`.
    Text,
    /// An object of JSON.
    Json,
}

impl FromStr for Form {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        match text {
            "text" => Ok(Form::Text),
            "json" => Ok(Form::Json),
            other => Err(format!("{VARIABLE}: {other:?} is neither \"text\" nor \"json\"")),
        }
    }
}

/// What befell a request, a connection or the node.
#[derive(Clone, Copy, Debug, Serialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub enum Event<'a> {
    /// An attempt behind another one of its request is made; `after` tells how that one ended.
    Retried { request: &'a str, attempt: u16, after: &'static str, server: u32 },
    /// A request was turned away; trying again is harmless.
    Refused { request: &'a str, reason: RefusalReason, attempts: u16, retry_after_ms: u64 },
    /// A request failed: it may have run.
    Failed { request: &'a str, attempts: u16, last: &'static str },
    /// The client of a request has gone.
    ClientGone { request: &'a str, attempts: u16 },
    /// A list of servers, or changes of it, was taken in.
    ListTaken { revision: u64, complete: bool, lines: usize },
    /// One input took the node so long that others had to wait for it.
    HeldUp { input: &'static str, took_ms: u64 },
    /// A client's connection was closed.
    ConnectionClosed { connection: u64, reason: CloseReason, unanswered: usize },
}

/// Writes events as lines, within a bound.
#[derive(Default)]
pub struct EventLog {
    form: Option<Form>,
    span_began: Cell<Option<Instant>>,
    lines: Cell<u32>,
    left_out: Cell<u64>,
}

impl EventLog {
    /// One that writes in a form, or nothing.
    pub fn new(form: Option<Form>) -> Self {
        EventLog { form, ..EventLog::default() }
    }

    /// The line for an event at a time; `None` where none is to be written.
    pub fn line(&self, now: Instant, event: &Event) -> Option<String> {
        let form = self.form?;
        if self.span_began.get().is_none_or(|began| now.saturating_duration_since(began) >= SPAN) {
            self.span_began.set(Some(now));
            self.lines.set(0);
        }
        if self.lines.get() >= MOST_LINES {
            self.left_out.set(self.left_out.get() + 1);
            return None;
        }
        self.lines.set(self.lines.get() + 1);
        let mut fields = serde_json::to_value(event).ok()?;
        let left_out = self.left_out.take();
        if let Some(object) = fields.as_object_mut().filter(|_| left_out > 0) {
            object.insert("left_out_before".into(), left_out.into());
        }
        Some(match form {
            Form::Json => fields.to_string(),
            Form::Text => as_words(&fields),
        })
    }
}

fn as_words(fields: &serde_json::Value) -> String {
    let word = |(name, value): (&String, &serde_json::Value)| match value {
        serde_json::Value::String(text) => format!("{name}={text}"),
        other => format!("{name}={other}"),
    };
    fields.as_object().into_iter().flatten().map(word).collect::<Vec<_>>().join(" ")
}

#[cfg(test)]
mod tests;
