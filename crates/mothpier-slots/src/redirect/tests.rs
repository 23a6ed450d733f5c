use super::*;

fn parse_redirection(line: &str) -> Result<Redirect, RedirectError> {
    match parse_error_line(line) {
        Some(Ok(ClusterError::Redirect(redirect))) => Ok(redirect),
        Some(Err(error)) => Err(error),
        other => panic!("{line}: {other:?}"),
    }
}

#[test]
fn endpoints_of_every_form_are_resolved() {
    let from: SocketAddr = "10.1.0.9:7000".parse().unwrap();
    let lookup = |name: &str| (name == "pb7.example.org").then(|| IpAddr::from([10, 1, 0, 7]));
    for (line, address) in [
        ("MOVED 3999 127.0.0.1:6381", Some("127.0.0.1:6381")),
        ("MOVED 3999 :6381", Some("10.1.0.9:6381")),
        ("MOVED 3999 ", Some("10.1.0.9:7000")),
        ("MOVED 3999", Some("10.1.0.9:7000")),
        ("ASK 0 ::1:6381", Some("[::1]:6381")),
        ("ASK 16383 [2001:db8::1]:6381", Some("[2001:db8::1]:6381")),
        ("MOVED 1 ::ffff:10.1.0.7:1", Some("10.1.0.7:1")),
        ("MOVED 1 PB7.example.org.:65535", Some("10.1.0.7:65535")),
        ("MOVED 1 pb8.example.org:1", None),
    ] {
        let redirect = parse_redirection(line).unwrap();
        assert_eq!(redirect.to.resolve(from, &lookup), address.map(|a| a.parse().unwrap()), "{line}");
        assert_eq!(redirect.ask, line.starts_with("ASK"), "{line}");
    }
    assert_eq!(parse_redirection("MOVED 3999 127.0.0.1:6381").unwrap().slot, 3_999);
}

#[test]
fn malformed_redirections_are_rejected_with_their_cause() {
    for (line, cause) in [
        ("MOVED", RedirectError::FieldCount),
        ("MOVED 1 a:1 b:2", RedirectError::FieldCount),
        ("MOVED 16384 10.0.0.1:1", RedirectError::Slot),
        ("MOVED 99999999999 10.0.0.1:1", RedirectError::Slot),
        ("MOVED -1 10.0.0.1:1", RedirectError::Slot),
        ("MOVED +1 10.0.0.1:1", RedirectError::Slot),
        ("MOVED  10.0.0.1:1", RedirectError::Slot),
        ("ASK 1 10.0.0.1:0", RedirectError::Port),
        ("ASK 1 10.0.0.1:70000", RedirectError::Port),
        ("ASK 1 10.0.0.1:", RedirectError::Port),
        ("ASK 1 10.0.0.1", RedirectError::Port),
        ("ASK 1 ?:6379", RedirectError::Host),
        ("ASK 1 0.0.0.0:6379", RedirectError::Host),
        ("ASK 1 10.0.0.300:6379", RedirectError::Host),
        ("ASK 1 a..b:6379", RedirectError::Host),
        ("ASK 1 \u{e9}:6379", RedirectError::Host),
        ("ASK 1 [::1:6379", RedirectError::Host),
    ] {
        assert_eq!(parse_redirection(line), Err(cause), "{line}");
    }
    let long = format!("MOVED 1 {}:1", "a.".repeat(500_000));
    assert_eq!(parse_redirection(&long), Err(RedirectError::Host));
}

#[test]
fn other_cluster_errors_are_recognized_and_unrelated_errors_are_ignored() {
    for (line, reason) in [
        ("TRYAGAIN Multiple keys request during rehashing of slot", UnavailableReason::TryAgain),
        ("CLUSTERDOWN Hash slot not served", UnavailableReason::ClusterDown),
        ("LOADING Redis is loading the dataset in memory", UnavailableReason::Loading),
        ("MASTERDOWN Link with MASTER is down", UnavailableReason::MasterDown),
        ("READONLY You can't write against a read only replica.", UnavailableReason::ReadOnly),
    ] {
        assert_eq!(parse_error_line(line), Some(Ok(ClusterError::Unavailable(reason))));
    }
    for line in ["", "ERR failed", "BUSY", "moved 1 a:1", "MOVEDX 1 a:1", "ASKING"] {
        assert_eq!(parse_error_line(line), None, "{line:?}");
    }
}
