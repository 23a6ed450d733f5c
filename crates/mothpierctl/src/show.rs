//! Findings for people, each with its place and a mark, and for programs.

use ariadne::{Config, IndexType, Label, Report, ReportKind, Source};
use mothpier_config::finding::line_and_column;
use mothpier_config::{Finding, Severity};
use serde_json::{Value, json};

/// How results are written.
#[derive(Clone, Copy)]
pub struct Out {
    /// As JSON.
    pub json: bool,
    /// With colours.
    pub color: bool,
}

/// One finding for a person.
pub fn finding(file: &str, text: &str, f: &Finding, out: Out) -> String {
    let kind = match f.severity {
        Severity::Error => ReportKind::Error,
        Severity::Warning => ReportKind::Warning,
    };
    let span = within(text, &f.span);
    let config = Config::default().with_color(out.color).with_index_type(IndexType::Byte);
    let mut report = Report::build(kind, (file, span.clone()))
        .with_config(config)
        .with_code(f.code)
        .with_message(f.code.title())
        .with_label(Label::new((file, span)).with_message(&f.problem))
        .with_note(f.code.consequence())
        .with_help(&f.fix);
    for (span, problem) in &f.related {
        report.add_label(Label::new((file, within(text, span))).with_message(problem));
    }
    let mut shown = Vec::new();
    let written = report.finish().write((file, Source::from(text)), &mut shown);
    match written {
        Ok(()) => String::from_utf8_lossy(&shown).lines().map(|l| format!("{}\n", l.trim_end())).collect(),
        // Nothing of a finding may be lost with its picture.
        Err(_) => format!("{file}:{}\n", f.line(text)),
    }
}

/// A place within the text, on the borders of its characters.
fn within(text: &str, span: &std::ops::Range<usize>) -> std::ops::Range<usize> {
    let border = |at: usize| (0..=at.min(text.len())).rev().find(|i| text.is_char_boundary(*i)).unwrap_or(0);
    let start = border(span.start);
    // A block's mark is its first line: the rest says nothing more.
    let line = text[start..].find('\n').map_or(text.len(), |n| start + n);
    start..border(span.end).min(line).max(start)
}

/// One finding for a program.
pub fn value(file: &str, text: &str, f: &Finding) -> Value {
    let (line, column) = line_and_column(text, f.span.start);
    let related: Vec<Value> = f
        .related
        .iter()
        .map(|(span, problem)| {
            let (line, column) = line_and_column(text, span.start);
            json!({"line": line, "column": column, "what": problem})
        })
        .collect();
    json!({
        "file": file, "code": f.code, "severity": f.severity, "line": line, "column": column,
        "title": f.code.title(), "what": f.problem, "in_service": f.code.consequence(), "mend": f.fix, "also": related,
    })
}
