//! `new`: an application's file from a profile, and what its owner changed in it kept when it is written again.

use std::fs;
use std::io::{IsTerminal, Write};
use std::path::{Path, PathBuf};

use clap::{Args, Parser, ValueEnum};
use dialoguer::{Input, Select};
use mothpier_config::profile::{self, NamedServer, PROFILES, Profile, SidecarSpec};
use mothpier_config::{Form, Hosts, check};

use crate::{FOUND, GOOD, files, print, show};

/// What `new` is told.
#[derive(Args, Clone, Default)]
pub struct Options {
    /// The application's name.
    #[arg(long)]
    app: Option<String>,
    /// member-app: people at their phones; website: more connections; batch: reads in bulk that can wait.
    #[arg(long, value_parser = ["member-app", "website", "batch"])]
    profile: Option<String>,
    /// The tenant that pays.
    #[arg(long)]
    tenant: Option<String>,
    /// Where the application connects: ADDRESS:PORT of loopback, or the absolute path of a Unix socket.
    #[arg(long)]
    listen: Option<String>,
    /// Where the list of boxes is, ADDRESS:PORT.
    #[arg(long, conflicts_with = "tier")]
    discovery: Option<String>,
    /// Requests go to the shared tier, whose nodes are named with --box.
    #[arg(long)]
    tier: bool,
    /// A box known before the list, or a node of the tier. May be given again.
    #[arg(long = "box", value_name = "ID=ADDRESS")]
    boxes: Vec<String>,
    /// Sidecars of the whole fleet.
    #[arg(long, default_value_t = 1, value_parser = clap::value_parser!(u64).range(1..=10_000))]
    nodes: u64,
    /// This one's number, from 0.
    #[arg(long, default_value_t = 0)]
    me: u64,
    /// The origin's address, where the list does not tell.
    #[arg(long)]
    origin: Option<String>,
    /// Calls at once that the origin takes of all.
    #[arg(long, default_value_t = 80)]
    origin_outstanding: u32,
    /// Calls a second that the origin takes of all.
    #[arg(long, default_value_t = 400)]
    origin_per_s: u32,
    /// The tenant's requests a second, over all nodes.
    #[arg(long, default_value_t = 150)]
    quota: u32,
    /// Safe requests never have two attempts out.
    #[arg(long)]
    no_copies: bool,
    /// The machine that it runs on, to check the files of one machine together.
    #[arg(long)]
    machine: Option<String>,
    /// How the file is written.
    #[arg(long, default_value = "hcl")]
    form: People,
    /// The file; APP.hcl or APP.toml when not told, `-` for standard output.
    #[arg(long, short)]
    output: Option<PathBuf>,
    /// Writes what was shown over the file that is there.
    #[arg(long)]
    write: bool,
}

/// The forms for people.
#[derive(Clone, Copy, Default, PartialEq, Eq, ValueEnum)]
enum People {
    #[default]
    Hcl,
    Toml,
}

/// The words of an earlier command.
#[derive(Parser)]
struct Again {
    #[command(flatten)]
    options: Options,
}

/// Asks for what was not told, where somebody is there to answer.
fn ask(options: &mut Options) -> Result<(), String> {
    let there = std::io::stdin().is_terminal() && std::io::stderr().is_terminal();
    let missing = |name: &str| format!("--{name} is missing, and there is no terminal to ask at");
    let text = |name: &str, question: &str, default: &str| -> Result<String, String> {
        if !there {
            return Err(missing(name));
        }
        let input = Input::<String>::new().with_prompt(question);
        let input = if default.is_empty() { input } else { input.default(default.to_owned()) };
        input.interact_text().map_err(|e| format!("no answer: {e}"))
    };
    if options.app.is_none() {
        options.app = Some(text("app", "The application's name", "")?);
    }
    if options.profile.is_none() {
        if !there {
            return Err(missing("profile"));
        }
        let names = PROFILES.map(|(name, _)| name);
        let chosen = Select::new().with_prompt("What it is").items(names).default(0).interact();
        options.profile = Some(names[chosen.map_err(|e| format!("no answer: {e}"))?].to_owned());
    }
    if options.tenant.is_none() {
        options.tenant = Some(text("tenant", "The tenant that pays", "")?);
    }
    if options.listen.is_none() {
        options.listen = Some(text("listen", "Where it connects", "127.0.0.1:6379")?);
    }
    if options.discovery.is_none() && !options.tier {
        options.discovery = Some(text("discovery", "Where the list of boxes is", "127.0.0.1:8500")?);
    }
    Ok(())
}

fn answers(o: &Options) -> Result<SidecarSpec, String> {
    let need = |value: &Option<String>, name: &str| {
        let value = value.clone().ok_or_else(|| format!("--{name} is missing"))?;
        // The command stands in one line of the file, and is read again from there.
        let plain =
            !value.is_empty() && !value.chars().any(|c| c.is_whitespace() || c.is_control() || c == '"');
        if plain {
            Ok(value)
        } else {
            Err(format!("--{name}: {value:?} holds a blank or a quote, or is empty"))
        }
    };
    let optional = |value: &Option<String>, name: &str| value.as_ref().map(|_| need(value, name)).transpose();
    let profile = need(&o.profile, "profile")?;
    let profile = PROFILES.iter().find(|(name, _)| *name == profile).map_or(Profile::MemberApp, |(_, p)| *p);
    let named = |text: &String| match text.split_once('=') {
        Some((id, address)) if !id.is_empty() && !address.is_empty() => Ok(NamedServer {
            id: need(&Some(id.to_owned()), "box")?,
            address: need(&Some(address.to_owned()), "box")?,
        }),
        _ => Err(format!("--box: {text:?} is not ID=ADDRESS")),
    };
    Ok(SidecarSpec {
        app: need(&o.app, "app")?,
        profile,
        tenant: need(&o.tenant, "tenant")?,
        listen: need(&o.listen, "listen")?,
        discovery: if o.tier { None } else { Some(need(&o.discovery, "discovery")?) },
        nodes: o.nodes,
        me: o.me,
        servers: o.boxes.iter().map(named).collect::<Result<_, _>>()?,
        origin: optional(&o.origin, "origin")?,
        origin_limits: (f64::from(o.origin_outstanding), f64::from(o.origin_per_s)),
        quota: f64::from(o.quota),
        copies: !o.no_copies,
        machine: optional(&o.machine, "machine")?,
        form: match o.form {
            People::Hcl => Form::Hcl,
            People::Toml => Form::Toml,
        },
    })
}

/// The words that say the same, in one order, so that equal answers write equal files.
fn words(o: &Options) -> String {
    let mut words = Vec::new();
    let mut add = |name: &str, value: Option<String>| {
        if let Some(value) = value {
            words.push(format!("--{name} {value}"));
        }
    };
    add("app", o.app.clone());
    add("profile", o.profile.clone());
    add("tenant", o.tenant.clone());
    add("listen", o.listen.clone());
    add("discovery", o.discovery.clone());
    o.boxes.iter().for_each(|b| add("box", Some(b.clone())));
    add("nodes", Some(o.nodes.to_string()));
    add("me", Some(o.me.to_string()));
    add("origin", o.origin.clone());
    add("origin-outstanding", Some(o.origin_outstanding.to_string()));
    add("origin-per-s", Some(o.origin_per_s.to_string()));
    add("quota", Some(o.quota.to_string()));
    add("machine", o.machine.clone());
    add("form", Some(if o.form == People::Hcl { "hcl" } else { "toml" }.to_owned()));
    for (name, on) in [("tier", o.tier), ("no-copies", o.no_copies)] {
        if on {
            words.push(format!("--{name}"));
        }
    }
    words.join(" ")
}

fn written(o: &Options) -> Result<String, String> {
    Ok(profile::write(&answers(o)?, &words(o)))
}

/// Writes the file, or shows what would change in the one that is there.
pub fn run(options: &Options, hosts: &Hosts, out: show::Out) -> Result<u8, String> {
    let mut options = options.clone();
    ask(&mut options)?;
    let text = written(&options)?;
    let ending = if options.form == People::Hcl { "hcl" } else { "toml" };
    let app = options.app.clone().unwrap_or_default();
    let path = options.output.clone().unwrap_or_else(|| PathBuf::from(format!("{app}.{ending}")));
    let form = if options.form == People::Hcl { Form::Hcl } else { Form::Toml };
    if path.as_os_str() != "-" && Form::of(&path) != Some(form) {
        return Err(format!(
            "{}: a file of --form {ending} has a name that ends in .{ending}",
            path.display()
        ));
    }
    if path.as_os_str() != "-" && path.exists() {
        return again(&path, &text, form, options.write, hosts, out);
    }
    if bad(&path.display().to_string(), &text, form, hosts, out)? {
        return Ok(FOUND);
    }
    if path.as_os_str() == "-" {
        return print(&text);
    }
    files::write(&path, &text, false)?;
    say(&format!("wrote {}; next: mothpierctl check {0}", path.display()));
    Ok(GOOD)
}

fn say(line: &str) {
    let _ = writeln!(std::io::stderr(), "mothpierctl: {line}");
}

/// Shows what is wrong with a text that is to be written.
fn bad(name: &str, text: &str, form: Form, hosts: &Hosts, out: show::Out) -> Result<bool, String> {
    let mut checked = check(text.as_bytes(), form, hosts);
    crate::check::node_reads(&mut checked, form);
    let read = files::Source { name: name.to_owned(), form, checked };
    let bad = crate::check::refuses(&read, out)?;
    if bad {
        say("nothing was written");
    }
    Ok(bad)
}

/// Merges what is written now with what a person made of what was written then.
fn again(
    path: &Path,
    text: &str,
    form: Form,
    write: bool,
    hosts: &Hosts,
    out: show::Out,
) -> Result<u8, String> {
    let name = path.display().to_string();
    let (bytes, _) = files::bytes(path)?;
    let there = String::from_utf8(bytes).map_err(|_| format!("{name} is not UTF-8"))?;
    let foreign = || format!("{name} is there and was not written by `new`; name another with --output");
    let before = profile::command_arguments(&there).ok_or_else(foreign)?;
    let before =
        Again::try_parse_from(std::iter::once("new").chain(before.split_whitespace())).map_err(|_| {
            format!(
                "{name}: the line \"{}\" was changed and can't be read",
                profile::COMMAND_HEADER.trim_end()
            )
        })?;
    let base = written(&before.options)?;
    let merged = match diffy::merge(&base, &there, text) {
        Ok(merged) => merged,
        Err(conflict) => {
            print(&conflict)?;
            say(&format!("{name}: both you and the profile changed the marked lines; nothing was written"));
            return Ok(FOUND);
        }
    };
    if merged == there {
        say(&format!("{name} stays as it is"));
        return Ok(GOOD);
    }
    print(&diffy::create_patch(&there, &merged).to_string())?;
    if bad(&name, &merged, form, hosts, out)? {
        return Ok(FOUND);
    }
    if !write {
        say(&format!("nothing was written; --write makes these changes in {name}"));
        return Ok(FOUND);
    }
    // Whoever changed it meanwhile must not lose it.
    if fs::read(path).ok().as_deref() != Some(there.as_bytes()) {
        return Err(format!("{name} has just been changed by somebody else; nothing was written"));
    }
    files::write(path, &merged, true)?;
    say(&format!("wrote {name}"));
    Ok(GOOD)
}
