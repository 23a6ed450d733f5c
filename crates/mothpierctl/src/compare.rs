//! `diff`: what changes from one configuration to another.

use std::path::Path;

use mothpier_config::Hosts;
use mothpier_config::changes::{AppliesAt, changes};
use serde_json::{Value, json};

use crate::{FOUND, GOOD, check, files, print, show};

/// Says what changes. Exit codes as diff(1) has them: 0 nothing, 1 something, 2 it could not run.
pub fn run(old: &Path, new: &Path, hosts: &Hosts, out: show::Out) -> Result<u8, String> {
    let (old, new) = (files::read(old, hosts)?, files::read(new, hosts)?);
    // What can't be started is no next configuration.
    if check::refuses(&new, out)? {
        return Ok(FOUND);
    }
    let app = |r: &files::Source| {
        r.checked
            .app
            .clone()
            .ok_or_else(|| format!("{}: can't be read; `mothpierctl check` says why", r.name))
    };
    let changes = changes(&app(&old)?, &app(&new)?);
    let when = |w: AppliesAt| if w == AppliesAt::Reload { "reload" } else { "restart" };
    if out.json {
        let all: Vec<Value> = changes
            .iter()
            .map(|c| json!({"setting": c.path, "old": c.old, "new": c.new, "means": c.description, "takes": when(c.applies_at)}))
            .collect();
        print(&format!("{:#}\n", json!({"changes": all})))?;
    } else {
        let none = || "(none)".to_owned();
        let mut text = String::new();
        for c in &changes {
            let (old, new) = (c.old.clone().unwrap_or_else(none), c.new.clone().unwrap_or_else(none));
            text += &format!(
                "{}: {old} -> {new}\n    {}; takes a {}\n",
                c.path,
                c.description,
                when(c.applies_at)
            );
        }
        let restart = changes.iter().any(|c| c.applies_at == AppliesAt::Restart);
        text += match (changes.is_empty(), restart) {
            (true, _) => "nothing changes\n",
            (false, true) => {
                "restart the node: what is not read anew at SIGHUP keeps its old value until then\n"
            }
            (false, false) => "SIGHUP is enough\n",
        };
        print(&text)?;
    }
    Ok(if changes.is_empty() { GOOD } else { FOUND })
}
