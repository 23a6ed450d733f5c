//! Which frames can be the reply to a command, and each part of an answer. On a connection whose answers are shifted,
//! because one was cut or was sent under a wrong length, a part stands where another one belongs: each is looked at.

use brassrouter::CacheLookup;
use redis_protocol::resp2::types::BytesFrame;

use super::command::ExpectedReply;

/// The words for how a read went, with their meanings.
const LOOKUP_WORDS: [(&[u8], CacheLookup); 3] =
    [(b"hit", CacheLookup::Hit), (b"miss", CacheLookup::Miss), (b"pending", CacheLookup::MissFetchPending)];

/// Returns how a read went by the status of its answer. A status that holds no word for it gives `None`.
pub fn cache_lookup(status: &BytesFrame) -> CacheLookup {
    lookup_word(status).unwrap_or(CacheLookup::None)
}

fn lookup_word(frame: &BytesFrame) -> Option<CacheLookup> {
    let (BytesFrame::BulkString(text) | BytesFrame::SimpleString(text)) = frame else { return None };
    LOOKUP_WORDS.iter().find(|(word, _)| word == text).map(|(_, lookup)| *lookup)
}

/// Returns whether a frame can be the reply to a command: an array of the value or null, the status and the
/// load report, which only the policy interprets further; or an error line. A probe is answered with the
/// report alone.
pub(super) fn is_expected_frame(frame: &BytesFrame, expected_reply: ExpectedReply, tier: bool) -> bool {
    match frame {
        BytesFrame::Error(_) => true,
        BytesFrame::SimpleString(_) => {
            expected_reply == ExpectedReply::Acknowledgement && lookup_word(frame).is_none()
        }
        // A node of the tier answers with the value alone.
        BytesFrame::BulkString(_) => match expected_reply {
            ExpectedReply::Value | ExpectedReply::Receipt => tier,
            ExpectedReply::LoadReport => is_report(frame),
            ExpectedReply::Acknowledgement => false,
        },
        BytesFrame::Array(_) if tier => false,
        BytesFrame::Array(parts) if expected_reply.is_answer() => {
            let [value, status, report] = parts.as_slice() else { return false };
            matches!(value, BytesFrame::BulkString(_) | BytesFrame::Null)
                && is_status(status, expected_reply)
                && is_report(report)
        }
        _ => false,
    }
}

/// Returns whether a frame can be the status of an answer: null, or how a read went. How a write went may be told in
/// other words.
pub(super) fn is_status(frame: &BytesFrame, expected_reply: ExpectedReply) -> bool {
    match frame {
        BytesFrame::Null => true,
        BytesFrame::BulkString(_) | BytesFrame::SimpleString(_) => {
            expected_reply == ExpectedReply::Receipt || lookup_word(frame).is_some()
        }
        _ => false,
    }
}

/// Returns whether a frame can be a load report. One that is merely unreadable does not invalidate the value before
/// it; an array or an error line is the next answer, and a word for how a read went is a status.
fn is_report(frame: &BytesFrame) -> bool {
    !matches!(frame, BytesFrame::Array(_) | BytesFrame::Error(_)) && lookup_word(frame).is_none()
}

/// What the bytes behind a status show of the frame that they begin.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ReportStart {
    /// It can be a load report.
    Report,
    /// It cannot be a load report.
    Other,
    /// There are too few bytes to tell.
    Incomplete,
}

impl ReportStart {
    /// Looks at the bytes behind a status.
    pub(super) fn of(bytes: &[u8]) -> Self {
        match bytes.first() {
            None => return ReportStart::Incomplete,
            Some(b'*' | b'-') => return ReportStart::Other,
            Some(_) => {}
        }
        let mut start = ReportStart::Report;
        for (word, _) in LOOKUP_WORDS {
            let bulk_string = [format!("${}\r\n", word.len()).as_bytes(), word, b"\r\n"].concat();
            let simple_string = [b"+", word, b"\r\n"].concat();
            for encoded in [bulk_string, simple_string] {
                if bytes.starts_with(&encoded) {
                    return ReportStart::Other;
                }
                if encoded.starts_with(bytes) {
                    start = ReportStart::Incomplete;
                }
            }
        }
        start
    }
}

#[cfg(test)]
mod tests;
