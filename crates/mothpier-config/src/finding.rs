//! Findings: a stable code, a position, the problem, and how to fix it.

use std::fmt;

use serde::Serialize;

use crate::code::Code;
use crate::tree::Span;

/// The severity of a finding.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Severity {
    /// A node starts with the configuration, but it should be looked at.
    Warning,
    /// A node does not start with the configuration.
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
    /// The check that reports the finding.
    pub code: Code,
    /// The severity.
    pub severity: Severity,
    /// Position in the file.
    pub span: Span,
    /// What is wrong.
    pub problem: String,
    /// How to fix it.
    pub fix: String,
    /// Related positions, each with a note.
    pub related: Vec<(Span, String)>,
}

impl Finding {
    /// Creates an error.
    pub fn error(code: Code, span: Span, problem: impl Into<String>, fix: impl Into<String>) -> Self {
        let (problem, fix) = (problem.into(), fix.into());
        Finding { code, severity: Severity::Error, span, problem, fix, related: Vec::new() }
    }

    /// Creates a warning.
    pub fn warning(code: Code, span: Span, problem: impl Into<String>, fix: impl Into<String>) -> Self {
        Finding { severity: Severity::Warning, ..Finding::error(code, span, problem, fix) }
    }

    /// Adds a related position with a note.
    #[must_use]
    pub fn with_related(mut self, span: Span, problem: impl Into<String>) -> Self {
        self.related.push((span, problem.into()));
        self
    }

    /// Formats the finding as one line, as a node logs it.
    pub fn line(&self, text: &str) -> String {
        let (line, column) = line_and_column(text, self.span.start);
        let Finding { code, severity, problem, fix, .. } = self;
        format!("{line}:{column}: {severity} {code}: {problem}. Mend: {fix}")
    }
}

/// Returns the line and column of a byte, both counted from 1; columns count characters.
pub fn line_and_column(text: &str, position: usize) -> (usize, usize) {
    let mut position = position.min(text.len());
    while !text.is_char_boundary(position) {
        position -= 1;
    }
    let before = &text[..position];
    let line = before.matches('\n').count() + 1;
    let start = before.rfind('\n').map_or(0, |n| n + 1);
    (line, before[start..].chars().count() + 1)
}

/// Returns whether any of the findings is an error, which keeps a node from starting.
pub fn has_errors(findings: &[Finding]) -> bool {
    findings.iter().any(|f| f.severity == Severity::Error)
}

#[cfg(test)]
mod tests;
