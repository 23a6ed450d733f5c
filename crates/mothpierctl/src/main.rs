//! `mothpierctl`: the configuration of mothpier nodes, from the first draft to the file that a node is started with.

mod check;
mod compare;
mod files;
mod fleet;
mod fleet_limits;
mod fleet_shown;
mod lease;
mod new;
mod plan;
mod show;

use std::io::{IsTerminal, Write};
use std::path::PathBuf;
use std::process::ExitCode;

use clap::{CommandFactory, Parser, Subcommand, ValueEnum};
use mothpier_config::{Code, code};

/// Nothing was found.
const GOOD: u8 = 0;
/// Something was found.
const FOUND: u8 = 1;
/// It could not run.
const CANNOT: u8 = 2;

/// Writes, checks, explains, compares and plans the configuration of mothpier nodes.
///
/// An application's configuration is a file for people, in HCL or TOML. `new` writes one, `check` tells what would hurt in
/// service, `render` makes of it the JSON that a node is started with:
///
///   mothpierctl new --app profiles --profile member-app --tenant acme \
///       --listen 127.0.0.1:6379 --discovery 127.0.0.1:8500 --output profiles.hcl
///   mothpierctl check profiles.hcl
///   mothpierctl render profiles.hcl --output profiles.json
///   ROUTER_CONFIG=profiles.json mothpier
///
/// Exit codes: 0 good, 1 something was found, 2 it could not run.
#[derive(Parser)]
#[command(name = "mothpierctl", version, max_term_width = 100, verbatim_doc_comment)]
struct Cli {
    #[command(subcommand)]
    command: Command,
    /// How findings and results are written.
    #[arg(long, global = true, default_value = "text")]
    format: Format,
    /// When to colour: `auto` does so on a terminal where NO_COLOR is not set.
    #[arg(long, global = true, default_value = "auto")]
    color: Color,
    /// Names and addresses, as a hosts file has them. Nothing is looked up: a name that is not in it has no address.
    #[arg(long, global = true, value_name = "FILE")]
    hosts: Option<PathBuf>,
}

/// How results are written.
#[derive(Clone, Copy, PartialEq, Eq, ValueEnum)]
enum Format {
    /// For people.
    Text,
    /// For programs: one JSON document.
    Json,
}

#[derive(Clone, Copy, PartialEq, Eq, ValueEnum)]
enum Color {
    Auto,
    Always,
    Never,
}

#[derive(Subcommand)]
enum Command {
    /// Writes the configuration of an application's sidecar.
    ///
    /// What is not told is asked for on a terminal, and elsewhere is an error. Where the file is there already, what you
    /// changed in it stays: the difference is shown, and nothing is written without --write.
    New(Box<new::Options>),
    /// Checks configurations: an application's (HCL, TOML) or a node's (JSON). All findings, not just the first.
    ///
    /// Folders are searched for .hcl, .toml and .json files, whose configurations are also checked together: ports, peers,
    /// memory, the parts of the origin.
    Check {
        /// Files and folders.
        #[arg(required = true, value_name = "FILE")]
        files: Vec<PathBuf>,
        /// Warnings, too, make the exit code 1.
        #[arg(long)]
        strict: bool,
    },
    /// Makes of an application's configuration the JSON that a node is started with. Refuses what `check` refuses.
    Render {
        /// The application's file.
        file: PathBuf,
        /// Where to write it, whole or not at all; standard output when not told.
        #[arg(long, short)]
        output: Option<PathBuf>,
        /// Writes over a file that is there.
        #[arg(long)]
        force: bool,
    },
    /// Says what a code means, what would have happened in service, and how it is mended.
    Explain {
        /// As MP0201; all of them, a line each, when not told.
        code: Option<String>,
    },
    /// Prints the JSON Schema of an application's file, for editors.
    Schema,
    /// Says what changes from one configuration to another, and what takes a restart.
    Diff {
        /// The present one.
        old: PathBuf,
        /// The next one.
        new: PathBuf,
    },
    /// Says where keys go and what each box, the origin and this node get, by playing the decisions themselves.
    Plan {
        /// The application's file.
        file: PathBuf,
        /// The boxes: lines of ID ADDRESS [KIND], or discovery's JSON.
        #[arg(long, value_name = "LIST")]
        boxes: PathBuf,
        /// Requests a second of one sidecar; the file's `traffic` when not told.
        #[arg(long)]
        per_s: Option<f64>,
        /// Keys that are played.
        #[arg(long, default_value_t = 20_000, value_parser = clap::value_parser!(u32).range(1..=1_000_000))]
        keys: u32,
        /// Boxes, by id, that have just started.
        #[arg(long, value_name = "ID")]
        cold: Vec<String>,
    },
    /// Leases of fleet-wide tasks: one process at a time holds each.
    #[command(subcommand)]
    Lease(lease::Lease),
    /// Who of the fleet is out, and who may go next: drains that all nodes agree on.
    ///
    /// Exit codes: 0 done; 2 it could not be asked; 4 a limit or a halt is in the way; 5 it may have been done: ask `fleet
    /// status`.
    #[command(subcommand)]
    Fleet(fleet::Call),
    /// The coordinators themselves.
    #[command(subcommand)]
    Coordinator(lease::Coordinator),
    /// Becomes a command that ends when the process that started it does.
    #[command(hide = true)]
    Bound {
        /// The command.
        #[arg(required = true, trailing_var_arg = true, allow_hyphen_values = true)]
        command: Vec<std::ffi::OsString>,
    },
    /// Prints completions for a shell.
    Completions {
        /// The shell.
        shell: clap_complete::Shell,
    },
    /// Prints the manual page.
    Man,
}

fn main() -> ExitCode {
    let cli = Cli::parse();
    let out = show::Out {
        json: cli.format == Format::Json,
        color: match cli.color {
            Color::Always => true,
            Color::Never => false,
            Color::Auto => {
                std::io::stdout().is_terminal() && std::env::var_os("NO_COLOR").is_none_or(|v| v.is_empty())
            }
        },
    };
    let ran = files::hosts(cli.hosts.as_deref()).and_then(|hosts| match cli.command {
        Command::New(options) => new::run(&options, &hosts, out),
        Command::Check { files, strict } => check::run(&files, &hosts, strict, out),
        Command::Render { file, output, force } => {
            check::render(&file, output.as_deref(), force, &hosts, out)
        }
        Command::Explain { code } => explain(code.as_deref(), out),
        Command::Schema => print(&format!("{:#}\n", mothpier_config::schema::schema())),
        Command::Diff { old, new } => compare::run(&old, &new, &hosts, out),
        Command::Plan { file, boxes, per_s, keys, cold } => {
            plan::run(&plan::Asked { file, boxes, per_s, keys, cold }, &hosts, out)
        }
        Command::Lease(call) => lease::run(call, out),
        Command::Fleet(call) => fleet::run(call, out),
        Command::Coordinator(call) => lease::coordinator(call, out),
        Command::Bound { command } => lease::bound(&command),
        Command::Completions { shell } => {
            let mut text = Vec::new();
            clap_complete::generate(shell, &mut Cli::command(), "mothpierctl", &mut text);
            print(&String::from_utf8_lossy(&text))
        }
        Command::Man => {
            let mut text = Vec::new();
            clap_mangen::Man::new(Cli::command()).render(&mut text).map_err(|e| e.to_string())?;
            print(&String::from_utf8_lossy(&text))
        }
    });
    match ran {
        Ok(code) => ExitCode::from(code),
        Err(e) => {
            let _ = writeln!(std::io::stderr(), "mothpierctl: {e}");
            ExitCode::from(CANNOT)
        }
    }
}

/// Prints a text; who reads no more, as `head`, has had enough.
fn print(text: &str) -> Result<u8, String> {
    match std::io::stdout().write_all(text.as_bytes()).and_then(|()| std::io::stdout().flush()) {
        Ok(()) => Ok(GOOD),
        Err(e) if e.kind() == std::io::ErrorKind::BrokenPipe => Ok(GOOD),
        Err(e) => Err(format!("cannot write to standard output: {e}")),
    }
}

fn explain(name: Option<&str>, out: show::Out) -> Result<u8, String> {
    let one = |c: &Code| serde_json::json!({"code": c, "title": c.title(), "in_service": c.consequence(), "mend": c.fix()});
    let Some(name) = name else {
        if out.json {
            return print(&format!("{:#}\n", serde_json::Value::from_iter(code::ALL.iter().map(one))));
        }
        let lines: String = code::ALL.iter().map(|c| format!("{c}  {}\n", c.title())).collect();
        return print(&lines);
    };
    let Some(code) = Code::from_name(name) else {
        return Err(format!("there is no code {name:?}; `mothpierctl explain` lists all of them"));
    };
    if out.json {
        return print(&format!("{:#}\n", one(&code)));
    }
    print(&format!(
        "{code}: {}\n\nIn service: {}\n\nMend: {}\n",
        code.title(),
        code.consequence(),
        code.fix()
    ))
}
