//! The demonstration as a newcomer starts it.

use std::net::TcpListener;
use std::process::{Command, Output};

fn demo(args: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_mothpier-world"));
    // No verdict of time here: a machine at work elsewhere may be slow.
    command.arg("demo").args(["--grace-ms", "20000"]).args(args).output().unwrap()
}

#[test]
fn it_serves_shows_a_death_and_ends_by_itself_with_totals() {
    let output = demo(&["--seconds", "6", "--rate", "100"]);
    let text = String::from_utf8_lossy(&output.stdout);
    assert_eq!(output.status.code(), Some(0), "{text}");
    assert!(text.contains("CACHE.GET k7 my-id-1 c=browse,t=acme,d=1000"), "{text}");
    assert!(text.contains("box 1 dies") && text.contains("box 1 is back"), "{text}");
    let totals = text.lines().find(|l| l.contains(" requests in ")).unwrap();
    let served = totals.split(" served").next().and_then(|t| t.rsplit(' ').next()).unwrap();
    assert!(served.parse::<u64>().unwrap() > 0, "{totals}");
    assert!(text.ends_with("0 rules broken\n"), "{text}");
}

#[test]
fn a_broken_rule_is_told_by_the_exit_code() {
    let output = demo(&["--seconds", "2", "--rate", "100", "--liar"]);
    let text = String::from_utf8_lossy(&output.stdout);
    assert_eq!(output.status.code(), Some(1), "{text}");
    assert!(text.contains("BROKEN rule 1: request "), "{text}");
}

#[test]
fn an_address_in_use_is_named() {
    let taken = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = taken.local_addr().unwrap().to_string();
    let output = demo(&["--seconds", "5", "--listen", &address]);
    assert_eq!(output.status.code(), Some(2));
    let said = String::from_utf8_lossy(&output.stderr);
    assert!(said.contains(&format!("cannot listen on {address}")), "{said}");
}
