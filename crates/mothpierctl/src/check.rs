//! `check` and `render`.

use std::path::{Path, PathBuf};

use mothpier::config::{self, Precedence};
use mothpier_config::finding::has_errors;
use mothpier_config::fleet::{self, Member};
use mothpier_config::render::render as rendered;
use mothpier_config::{CheckReport, Finding, Form, Hosts, Severity, code};
use serde_json::{Value, json};

use crate::{FOUND, GOOD, files, print, show};

/// Lets the node's own reader look at what it would be started with: what a check accepts, a node starts with.
pub fn node_reads(checked: &mut CheckReport, form: Form) {
    if has_errors(&checked.findings) {
        return;
    }
    let text = match (form, &checked.app) {
        (Form::Json, _) => checked.text.clone(),
        (_, Some(app)) => rendered(app).to_string(),
        (_, None) => return,
    };
    // Of what a node is told by its environment a file may say nothing; any address does for this look.
    let env = |name: &str| match name {
        "ROUTER_LISTEN" | "ROUTER_DISCOVERY" if form == Form::Json => Some("127.0.0.1:1".to_owned()),
        _ => None,
    };
    if let Err(e) = config::parse(text.as_bytes(), &env, Precedence::File) {
        let finding = Finding::error(code::NODE_REFUSES, 0..0, e, code::NODE_REFUSES.fix());
        checked.findings.push(finding);
    }
}

/// Checks files, and those that can be read together as a set.
pub fn run(paths: &[PathBuf], hosts: &Hosts, strict: bool, out: show::Out) -> Result<u8, String> {
    let paths = files::named(paths)?;
    let mut read: Vec<files::Source> = Vec::with_capacity(paths.len());
    for path in &paths {
        read.push(files::read(path, hosts)?);
    }
    if read.len() > 1 {
        let members = read
            .iter()
            .enumerate()
            .filter_map(|(at, r)| Some((at, Member { file: &r.name, app: r.checked.app.as_ref()? })));
        let (places, members): (Vec<usize>, Vec<Member<'_>>) = members.unzip();
        let found = fleet::check(&members);
        for (at, finding) in found {
            read[places[at]].checked.findings.push(finding);
        }
    }
    let all = || read.iter().flat_map(|r| r.checked.findings.iter().map(move |f| (r, f)));
    let errors = all().filter(|(_, f)| f.severity == Severity::Error).count();
    let warnings = all().count() - errors;
    let count = |n: usize, what: &str| format!("{n} {what}{}", if n == 1 { "" } else { "s" });
    if out.json {
        let found: Vec<Value> = all().map(|(r, f)| show::value(&r.name, &r.checked.text, f)).collect();
        let whole = json!({"files": read.len(), "errors": errors, "warnings": warnings, "findings": found});
        print(&format!("{whole:#}\n"))?;
    } else {
        let mut text: String =
            all().map(|(r, f)| show::finding(&r.name, &r.checked.text, f, out) + "\n").collect();
        text += &format!(
            "{}: {}, {}\n",
            count(read.len(), "file"),
            count(errors, "error"),
            count(warnings, "warning")
        );
        print(&text)?;
    }
    Ok(if errors > 0 || (strict && warnings > 0) { FOUND } else { GOOD })
}

/// Prints what keeps a file from being used; whether there was any.
pub fn refuses(read: &files::Source, out: show::Out) -> Result<bool, String> {
    if !has_errors(&read.checked.findings) {
        return Ok(false);
    }
    let errors = read.checked.findings.iter().filter(|f| f.severity == Severity::Error);
    if out.json {
        let found: Vec<Value> = errors.map(|f| show::value(&read.name, &read.checked.text, f)).collect();
        print(&format!("{:#}\n", json!({"findings": found})))?;
    } else {
        print(&errors.map(|f| show::finding(&read.name, &read.checked.text, f, out)).collect::<String>())?;
    }
    Ok(true)
}

/// Writes what a node is started with.
pub fn render(
    path: &Path,
    output: Option<&Path>,
    force: bool,
    hosts: &Hosts,
    out: show::Out,
) -> Result<u8, String> {
    let read = files::read(path, hosts)?;
    if read.form == Form::Json {
        return Err(format!("{} is what a node is started with already", read.name));
    }
    if refuses(&read, out)? {
        return Ok(FOUND);
    }
    let Some(app) = &read.checked.app else { return Err(format!("{} could not be read", read.name)) };
    let text = format!("{:#}\n", rendered(app));
    match output {
        None => print(&text),
        Some(output) => {
            files::write(output, &text, force)?;
            Ok(GOOD)
        }
    }
}
