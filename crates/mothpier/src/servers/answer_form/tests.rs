use bytes::Bytes;

use super::*;

fn bulk(text: &'static str) -> BytesFrame {
    BytesFrame::BulkString(Bytes::from_static(text.as_bytes()))
}

fn answer(status: BytesFrame, report: BytesFrame) -> BytesFrame {
    BytesFrame::Array(vec![bulk("value"), status, report])
}

fn is_answer(frame: &BytesFrame, expected_reply: ExpectedReply) -> bool {
    is_expected_frame(frame, expected_reply, false)
}

/// A load report in the place of the status, or a status in the place of the load report, was taken for it: the
/// value before it was read under a wrong length.
#[test]
fn an_answer_with_a_part_in_the_place_of_another_is_rejected() {
    for status in ["lat_ms=12,busy=0.20", "", "7", "hits", "OK"] {
        assert!(!is_answer(&answer(bulk(status), BytesFrame::Null), ExpectedReply::Value), "{status}");
    }
    for word in ["hit", "miss", "pending"] {
        for expected_reply in [ExpectedReply::Value, ExpectedReply::Receipt] {
            assert!(!is_answer(&answer(bulk("hit"), bulk(word)), expected_reply), "{word}");
            assert!(!is_answer(&answer(BytesFrame::Null, bulk(word)), expected_reply), "{word}");
        }
        assert!(!is_answer(&bulk(word), ExpectedReply::LoadReport), "{word}");
        let line = BytesFrame::SimpleString(Bytes::from_static(word.as_bytes()));
        assert!(!is_answer(&line, ExpectedReply::Acknowledgement), "{word}");
    }
}

#[test]
fn each_status_and_any_load_report_is_accepted_in_its_place() {
    let statuses = [bulk("hit"), bulk("miss"), bulk("pending"), BytesFrame::Null];
    let reports =
        [bulk("lat_ms=12,busy=0.20"), bulk("\0noise"), bulk(""), BytesFrame::Integer(7), BytesFrame::Null];
    for (status, report) in statuses.iter().flat_map(|s| reports.iter().map(move |r| (s, r))) {
        let frame = answer(status.clone(), report.clone());
        assert!(is_answer(&frame, ExpectedReply::Value), "{frame:?}");
        assert!(is_answer(&frame, ExpectedReply::Receipt), "{frame:?}");
    }
    assert!(is_answer(&answer(bulk("stored"), BytesFrame::Null), ExpectedReply::Receipt));
    assert!(is_answer(&bulk("\0noise"), ExpectedReply::LoadReport));
}

#[test]
fn the_beginning_of_a_load_report_is_told_from_the_rest_of_another_answer() {
    for (bytes, start) in [
        ("", ReportStart::Incomplete),
        ("$", ReportStart::Incomplete),
        ("$4\r\nmis", ReportStart::Incomplete),
        ("$4\r\nmiss\r\n", ReportStart::Other),
        ("+hit\r\n", ReportStart::Other),
        ("*3\r\n", ReportStart::Other),
        ("-BUSY\r\n", ReportStart::Other),
        ("$4\r\nmild", ReportStart::Report),
        ("$1", ReportStart::Report),
        ("$-", ReportStart::Report),
        (":7", ReportStart::Report),
    ] {
        assert_eq!(ReportStart::of(bytes.as_bytes()), start, "{bytes:?}");
    }
}
