use super::*;

fn entry(id: &str, up_since_ms: u64) -> Listed {
    Listed { id: id.into(), zone: "a".into(), up_since_ms }
}

fn reporter(ids: &[&str]) -> Reporter {
    let mut reporter = Reporter::default();
    reporter.set_servers(ready_list(ids.iter().map(|id| entry(id, 1))));
    reporter
}

#[test]
fn the_whole_list_is_sent_first_and_then_only_changes() {
    let mut reporter = reporter(&["s1", "s2"]);
    let first = reporter.next(true, 0).unwrap();
    let whole = ReportedServers::Whole { listed: vec![entry("s1", 1), entry("s2", 1)] };
    assert_eq!((first.number, first.servers), (1, whole));
    reporter.accepted(1);
    assert_eq!(reporter.next(true, 0), None);
    reporter.set_servers(ready_list([entry("s2", 9), entry("s3", 1)]));
    let second = reporter.next(false, 5).unwrap();
    let listed = vec![entry("s2", 9), entry("s3", 1)];
    assert_eq!(second.servers, ReportedServers::Delta { base: 1, listed, unlisted: vec!["s1".into()] });
    assert_eq!((second.number, second.ready, second.refused_percent), (2, false, 5));
    reporter.accepted(2);
    let third = reporter.next(true, 5).unwrap();
    assert_eq!(third.servers, ReportedServers::Unchanged { base: 2 });
    reporter.accepted(3);
    reporter.set_servers(ready_list([entry("s2", 9), entry("s3", 1)]));
    let fourth = reporter.next(true, 5).unwrap();
    let no_others = ReportedServers::Delta { base: 3, listed: vec![], unlisted: vec![] };
    assert_eq!(fourth.servers, no_others, "a new list with the same servers");
}

#[test]
fn a_report_is_repeated_unchanged_until_it_is_answered() {
    let mut reporter = reporter(&["s1"]);
    let first = reporter.next(false, 0);
    reporter.set_servers(ready_list([]));
    assert_eq!(reporter.next(true, 0), first);
    reporter.accepted(7);
    assert_eq!(reporter.next(true, 0), first, "the answer was for another report");
    reporter.accepted(1);
    let second = reporter.next(true, 0).unwrap();
    let gone = ReportedServers::Delta { base: 1, listed: vec![], unlisted: vec!["s1".into()] };
    assert_eq!((second.number, second.servers), (2, gone));
}

#[test]
fn after_an_unknown_base_the_whole_list_is_sent_under_a_higher_number() {
    let mut reporter = reporter(&["s1"]);
    reporter.next(true, 0);
    reporter.accepted(1);
    reporter.next(true, 5);
    reporter.base_unknown(2, 9);
    let whole = reporter.next(true, 5).unwrap();
    assert_eq!(whole.number, 10);
    assert_eq!(whole.servers, ReportedServers::Whole { listed: vec![entry("s1", 1)] });
}

#[test]
fn rejected_contents_are_not_sent_again_until_they_change() {
    let mut reporter = reporter(&["s1"]);
    reporter.next(true, 0);
    reporter.rejected(1);
    assert_eq!(reporter.next(true, 0), None);
    reporter.set_servers(ready_list([entry("s2", 1)]));
    let next = reporter.next(true, 0).unwrap();
    assert_eq!(next.servers, ReportedServers::Whole { listed: vec![entry("s2", 1)] });
}

#[test]
fn a_node_without_a_list_reports_its_readiness_and_the_whole_list_once_it_has_one() {
    let mut reporter = Reporter::default();
    assert_eq!(reporter.next(false, 0).unwrap().servers, ReportedServers::Unknown);
    reporter.accepted(1);
    assert_eq!(reporter.next(false, 0), None);
    reporter.set_servers(ready_list([]));
    assert_eq!(reporter.next(false, 0).unwrap().servers, ReportedServers::Whole { listed: vec![] });
}
