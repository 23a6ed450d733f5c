//! What other resolvers make of DNS servers that do things wrong: each program of `tests/resolvers` against the stand-in.

use std::cell::{Cell, RefCell};
use std::path::PathBuf;
use std::rc::Rc;
use std::time::{Duration, Instant};

use mothpier_net::Tokio;

use crate::demo::{any, say};
use crate::dns::{Bend, DnsServer, Entry, Zone};
use crate::matrix::{Program, step};

const SERVICE: &str = "_profile._tcp.makati.example.org";
/// Boxes of the service: their records fit a datagram with EDNS and not one without.
const BOXES: u8 = 9;
/// A resolver that has said nothing by then has hung.
const HUNG: Duration = Duration::from_secs(90);

struct Chain {
    name: &'static str,
    install: &'static [&'static str],
    run: &'static [&'static str],
}

const CHAINS: [Chain; 2] = [
    Chain {
        name: "c-ares (Node)",
        install: &["node", "--version"],
        run: &["node", "tests/resolvers/resolver.js"],
    },
    Chain {
        name: "dnspython",
        install: &[
            "python3",
            "-m",
            "pip",
            "install",
            "--quiet",
            "--disable-pip-version-check",
            "--root-user-action=ignore",
            "--upgrade",
            "--target",
            "TARGET/resolvers/python",
            "-r",
            "tests/resolvers/requirements.txt",
        ],
        run: &["env", "PYTHONPATH=TARGET/resolvers/python", "python3", "tests/resolvers/resolver.py"],
    },
];

/// Asks all of them and prints a table. There is no verdict: it is only shown what they do.
///
/// # Errors
///
/// A root that is not the repository's, or an address that can't be opened.
pub async fn run(root: &std::path::Path) -> Result<bool, String> {
    let root: PathBuf = root.canonicalize().map_err(|e| format!("{}: {e}", root.display()))?;
    if !root.join("tests/resolvers/README.md").is_file() {
        return Err(format!("{} is not the repository's root: it has no tests/resolvers", root.display()));
    }
    let target = root.join("target").display().to_string();
    let words =
        |list: &[&str]| -> Vec<String> { list.iter().map(|w| w.replace("TARGET", &target)).collect() };
    let mut here = Vec::new();
    for chain in &CHAINS {
        match step(&root, &words(chain.install)).await {
            Ok(()) => here.push(chain),
            Err(e) => say(&format!("{} is left out, its tool chain is not there: {e}", chain.name)),
        }
    }
    let names: Vec<&str> = here.iter().map(|c| c.name).collect();
    say(&format!("| the server | {} |", names.join(" | ")));
    say(&format!("| --- |{}", " --- |".repeat(names.len())));
    let stranger = ([127, 0, 9, 9], 6379).into();
    let bends = [None].into_iter().chain(Bend::all(stranger).map(Some));
    for bend in bends {
        let entry = |n: u8| Entry {
            host: format!("pb{n}.makati.example.org"),
            at: ([127, 0, 0, n], 6379).into(),
            rank: (0, 1),
        };
        let zone = Rc::new(Zone {
            service: SERVICE.into(),
            entries: RefCell::new((1..=BOXES).map(entry).collect()),
            ttl: Cell::new(30),
            beside: Cell::new(true),
        });
        let server = DnsServer::new(Tokio, zone, 1);
        let at = server.clone().serve(any()).await.map_err(|e| format!("the DNS server: {e}"))?;
        server.bend(bend);
        let mut row = format!("| {} |", bend.map_or("does all well", Bend::about));
        for chain in &here {
            let mut run = words(chain.run);
            run.extend([at.ip().to_string(), at.port().to_string(), SERVICE.to_owned()]);
            let (before, began) = (server.asked.borrow().questions, Instant::now());
            let mut program = Program::start(&root, &run)?;
            let said = program.line(HUNG).await.unwrap_or_else(|| "nothing".into());
            let asked = server.asked.borrow().questions - before;
            row += &format!(" {said}; {asked} asked, {:.1} s |", began.elapsed().as_secs_f64());
        }
        say(&row);
    }
    Ok(true)
}
