//! What a check finds: a code that stays, a place, what is wrong, and how it is mended.

use std::fmt;

use serde::Serialize;

use crate::code::Code;
use crate::tree::Span;

/// How bad it is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Severity {
    /// A node starts with it, and somebody should know.
    Warning,
    /// A node does not start with it.
    Error,
}

impl fmt::Display for Severity {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Severity::Warning => "warning",
            Severity::Error => "error",
        })
    }
}

/// One finding in one file.
#[derive(Clone, Debug, PartialEq)]
pub struct Finding {
    /// Which check.
    pub code: Code,
    /// How bad.
    pub severity: Severity,
    /// Where.
    pub span: Span,
    /// What is wrong here.
    pub what: String,
    /// How this one is mended.
    pub mend: String,
    /// Further places that belong to it, with what stands there.
    pub also: Vec<(Span, String)>,
}

impl Finding {
    /// An error.
    pub fn error(code: Code, span: Span, what: impl Into<String>, mend: impl Into<String>) -> Self {
        let (what, mend) = (what.into(), mend.into());
        Finding { code, severity: Severity::Error, span, what, mend, also: Vec::new() }
    }

    /// A warning.
    pub fn warning(code: Code, span: Span, what: impl Into<String>, mend: impl Into<String>) -> Self {
        Finding { severity: Severity::Warning, ..Finding::error(code, span, what, mend) }
    }

    /// With a further place.
    #[must_use]
    pub fn with(mut self, span: Span, what: impl Into<String>) -> Self {
        self.also.push((span, what.into()));
        self
    }

    /// One line, as a node logs it.
    pub fn line(&self, text: &str) -> String {
        let (line, column) = place(text, self.span.start);
        let Finding { code, severity, what, mend, .. } = self;
        format!("{line}:{column}: {severity} {code}: {what}. Mend: {mend}")
    }
}

/// Line and column of a byte, both from 1; columns count characters.
pub fn place(text: &str, at: usize) -> (usize, usize) {
    let mut at = at.min(text.len());
    while !text.is_char_boundary(at) {
        at -= 1;
    }
    let before = &text[..at];
    let line = before.matches('\n').count() + 1;
    let start = before.rfind('\n').map_or(0, |n| n + 1);
    (line, before[start..].chars().count() + 1)
}

/// Whether any of them keeps a node from starting.
pub fn refused(findings: &[Finding]) -> bool {
    findings.iter().any(|f| f.severity == Severity::Error)
}

#[cfg(test)]
mod tests;
