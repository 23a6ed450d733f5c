use mothpier_coordination::fleet::messages::{FleetCommand, NumberedReport, Report, ReportedServers};
use mothpier_coordination::wire::Call;
use mothpier_coordination::{Command, Request};

use super::CallKind;

fn sent(command: Command) -> Vec<u8> {
    let call = Call { cluster: "trial".into(), command };
    let mut bytes = b"POST /v1/command HTTP/1.1\r\nhost: 127.0.0.1:7100\r\n\r\n".to_vec();
    bytes.extend(serde_json::to_vec(&call).unwrap_or_default());
    bytes
}

fn asked(what: FleetCommand) -> Vec<u8> {
    sent(Command::Ask {
        session: "node:region-3/node-17:01234567".into(),
        number: 7,
        request: Request::Fleet { what },
    })
}

#[test]
fn kinds_are_told_from_what_the_client_sends() {
    assert_eq!(CallKind::of(&sent(Command::Open { session: "s".into(), ttl_ms: 3000 })), CallKind::Open);
    assert_eq!(CallKind::of(&sent(Command::Renew { session: "s".into() })), CallKind::Renew);
    assert_eq!(CallKind::of(&sent(Command::Close { session: "s".into() })), CallKind::OtherCommand);
    let report = Report { ready: true, refused_percent: 0, servers: Some(Vec::new()) };
    assert_eq!(CallKind::of(&asked(FleetCommand::Report { report })), CallKind::Report);
    let report =
        NumberedReport { number: 1, ready: true, refused_percent: 0, servers: ReportedServers::Unknown };
    assert_eq!(CallKind::of(&asked(FleetCommand::NumberedReport { report })), CallKind::Report);
    assert_eq!(CallKind::of(&asked(FleetCommand::Confirm { drain: 1, turn: 2 })), CallKind::Confirm);
    let join = FleetCommand::Join { node: "n".into(), zone: String::new() };
    assert_eq!(CallKind::of(&asked(join)), CallKind::Join);
    assert_eq!(CallKind::of(b"GET /v1/watch?after=3&wait_ms=5000 HTTP/1.1\r\n"), CallKind::Watch);
    assert_eq!(CallKind::of(b"GET /v1/drains HTTP/1.1\r\n"), CallKind::Drains);
    assert_eq!(CallKind::of(b"GET /v1/fleet HTTP/1.1\r\n"), CallKind::Fleet);
    assert_eq!(CallKind::of(b"GET /v1/status HTTP/1.1\r\n"), CallKind::Other);
}
