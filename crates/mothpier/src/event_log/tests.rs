use super::*;

const GONE: Event = Event::ClientGone { request: "7f3a", attempts: 2 };

#[test]
fn nothing_is_written_unless_enabled() {
    assert_eq!(EventLog::default().format_line(Instant::now(), &GONE), None);
    assert_eq!("json".parse(), Ok(LogFormat::Json));
    assert!("yes".parse::<LogFormat>().unwrap_err().contains("neither"));
}

#[test]
fn both_formats_contain_the_request_and_the_reason() {
    let now = Instant::now();
    let refused =
        Event::Refused { request: "7f3a", reason: RefusalReason::Memory, attempts: 0, retry_after_ms: 100 };
    let json = EventLog::new(Some(LogFormat::Json)).format_line(now, &refused).unwrap();
    let read: serde_json::Value = serde_json::from_str(&json).unwrap();
    assert_eq!((&read["event"], &read["request"]), (&"refused".into(), &"7f3a".into()));
    assert_eq!(read["reason"], "memory");
    let text = EventLog::new(Some(LogFormat::Text)).format_line(now, &refused).unwrap();
    assert!(text.contains("event=refused") && text.contains("request=7f3a"), "{text}");
    assert!(text.contains("reason=memory") && text.contains("retry_after_ms=100"), "{text}");
}

#[test]
fn lines_beyond_the_limit_are_suppressed_and_counted() {
    let (log, now) = (EventLog::new(Some(LogFormat::Json)), Instant::now());
    let written = (0..MAX_LINES + 50).filter_map(|_| log.format_line(now, &GONE)).count();
    assert_eq!(written, MAX_LINES as usize);
    let next = log.format_line(now + INTERVAL, &GONE).unwrap();
    assert!(next.contains("\"left_out_before\":50"), "{next}");
    assert!(!log.format_line(now + INTERVAL, &GONE).unwrap().contains("left_out_before"));
}
