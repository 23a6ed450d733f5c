//! Frames of the simulator's wire protocol: batches of event records in, replies of action records out.

use brassrouter::{
    Action, CacheLookup, Condition, ListKind, Load, Micros, Outcome, Request, ServerEntry, ServerId, Status,
};

/// Size of a batch header, in bytes.
pub const BATCH_HEADER: usize = 20;
const EVENT_SIZE: usize = 48;
const ACTION_SIZE: usize = 24;
const ENTRY_SIZE: usize = 22;

/// The header of a batch.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BatchHeader {
    /// The clock value, in microseconds.
    pub now: Micros,
    /// Number of bytes after the header.
    pub length: usize,
    /// Number of event records in them.
    pub records: usize,
    /// Number of the batch.
    pub number: u32,
}

impl BatchHeader {
    /// Reads a header and checks that its records fit into its length.
    pub fn read(bytes: &[u8; BATCH_HEADER]) -> Result<Self, String> {
        let field = |at| u32_at(bytes, at) as usize;
        let header = BatchHeader {
            now: u64_at(bytes, 0),
            length: field(8),
            records: field(12),
            number: u32_at(bytes, 16),
        };
        if header.records.saturating_mul(EVENT_SIZE) > header.length {
            return Err(format!("batch {}: records exceed the frame's length", header.number));
        }
        Ok(header)
    }
}

/// An event record, decoded as far as its own frame allows.
#[derive(Debug, Clone, PartialEq)]
pub enum Record<'a> {
    /// An instance starts with a seed and a settings text.
    Start {
        /// The instance.
        node: u16,
        /// Its seed.
        seed: u64,
        /// Its settings text.
        settings: &'a [u8],
    },
    /// A server list, stored under a number for later records.
    List {
        /// Number of the list.
        number: u16,
        /// Its entries.
        entries: Vec<ServerEntry>,
    },
    /// The simulator stops an instance.
    Stop(u16),
    /// An instance receives a stored server list.
    ListReceived {
        /// The instance.
        node: u16,
        /// How the list relates to the current one.
        kind: ListKind,
        /// Number of the list.
        number: u16,
    },
    /// Any other event of an instance.
    Event(u16, brassrouter::Event),
}

/// Reads event record `index` from the body of a frame with `records` records.
pub fn read_record(body: &[u8], records: usize, index: usize) -> Result<Record<'_>, String> {
    let record = &body[index * EVENT_SIZE..(index + 1) * EVENT_SIZE];
    let tail = &body[records * EVENT_SIZE..];
    let node = u16_at(record, 1);
    let event = match record[0] {
        1 => brassrouter::Event::ClientGone(u64_at(record, 3)),
        2 => brassrouter::Event::Timer(u32_at(record, 3)),
        3 => brassrouter::Event::Outcome(outcome(record)?),
        4 => brassrouter::Event::Request(request(record)),
        5 => {
            let settings = tail_range(tail, record, 11, 1)?;
            return Ok(Record::Start { node, seed: u64_at(record, 3), settings });
        }
        6 => brassrouter::Event::ProbeFinished {
            ok: u16_at(record, 3) == 200,
            elapsed: u32_at(record, 5).into(),
            server: u32_at(record, 9),
            load: load(record, 13),
        },
        7 => return Ok(Record::Stop(node)),
        8 => brassrouter::Event::AnswerStarted { request: u64_at(record, 3), attempt: u16_at(record, 15) },
        9 => {
            let part = tail_range(tail, record, 3, ENTRY_SIZE)?;
            let entries = part.chunks_exact(ENTRY_SIZE).map(server_entry).collect::<Result<_, _>>()?;
            return Ok(Record::List { number: node, entries });
        }
        10 => {
            let kind = match record[9] {
                0 => ListKind::Full,
                1 => ListKind::Cached,
                2 => ListKind::Failed,
                3 => ListKind::Delta,
                other => return Err(format!("roster_change of unknown kind {other}")),
            };
            return Ok(Record::ListReceived { node, kind, number: u16_at(record, 3) });
        }
        11 => {
            let bytes = tail_range(tail, record, 7, 1)?.to_vec();
            brassrouter::Event::PeerMessage { from: u32_at(record, 3), bytes }
        }
        other => return Err(format!("unknown event code {other}")),
    };
    Ok(Record::Event(node, event))
}

fn request(record: &[u8]) -> Request {
    let flags = record[13];
    Request {
        id: u64_at(record, 3),
        tenant: u16_at(record, 11).into(),
        cost: (flags & 1 != 0).then(|| u32_at(record, 15).into()),
        repeat: flags & 2 != 0,
        write: flags & 4 != 0,
        class: record[14].into(),
        key: u64_at(record, 19),
        size: f32_at(record, 27),
        time_left: u32_at(record, 31).into(),
        slot: None,
    }
}

fn outcome(record: &[u8]) -> Result<Outcome, String> {
    let status = match u16_at(record, 22) {
        200 => Status::Served,
        204 => Status::Miss,
        408 => Status::TimedOut,
        409 => Status::NotSent,
        429 => Status::Rejected,
        444 => Status::Cancelled,
        502 => Status::Error,
        520 => Status::Reset,
        521 => Status::ConnectFailed,
        other => return Err(format!("unknown outcome {other}")),
    };
    let lookup = match u32_at(record, 11) {
        1 => CacheLookup::Hit,
        2 => CacheLookup::Miss,
        3 => CacheLookup::MissFetchPending,
        _ => CacheLookup::None,
    };
    Ok(Outcome {
        request: u64_at(record, 3),
        lookup,
        elapsed: u32_at(record, 15).into(),
        attempt: u16_at(record, 19),
        request_finished: record[21] != 0,
        status,
        server: u32_at(record, 24),
        load: load(record, 28),
    })
}

fn load(record: &[u8], at: usize) -> Load {
    let values = std::array::from_fn(|i| f32_at(record, at + 1 + 4 * i));
    Load { count: record[at].min(4), values }
}

fn server_entry(record: &[u8]) -> Result<ServerEntry, String> {
    let condition = match record[9] {
        0 => Condition::Gone,
        1 => Condition::Ready,
        2 => Condition::Draining,
        other => return Err(format!("census line with unknown condition {other}")),
    };
    Ok(ServerEntry {
        zone: record[0],
        started: u64_at(record, 1),
        condition,
        id: u32_at(record, 10),
        cell: u16_at(record, 14),
        kind: u16_at(record, 16),
        weight: f32_at(record, 18),
    })
}

/// Returns the part of the tail that the record's field at `at` refers to by an offset and a count of items
/// of `size` bytes.
fn tail_range<'a>(tail: &'a [u8], record: &[u8], at: usize, size: usize) -> Result<&'a [u8], String> {
    let (offset, count) = (u32_at(record, at) as usize, u32_at(record, at + 4) as usize);
    let end = count.checked_mul(size).and_then(|n| n.checked_add(offset));
    end.and_then(|end| tail.get(offset..end)).ok_or_else(|| {
        format!("event code {}: tail offset {offset} and count {count} leave the frame", record[0])
    })
}

fn u16_at(b: &[u8], at: usize) -> u16 {
    u16::from_le_bytes(bytes_at(b, at))
}

fn u32_at(b: &[u8], at: usize) -> u32 {
    u32::from_le_bytes(bytes_at(b, at))
}

fn u64_at(b: &[u8], at: usize) -> u64 {
    u64::from_le_bytes(bytes_at(b, at))
}

fn f32_at(b: &[u8], at: usize) -> f32 {
    f32::from_le_bytes(bytes_at(b, at))
}

fn bytes_at<const N: usize>(b: &[u8], at: usize) -> [u8; N] {
    std::array::from_fn(|i| b[at + i])
}

/// A reply under construction. Its buffers are reused for the next batch.
#[derive(Debug, Default)]
pub struct Reply {
    records: Vec<u8>,
    tail: Vec<u8>,
    count: u32,
}

impl Reply {
    /// Appends an action of an instance.
    pub fn push(&mut self, node: u16, action: &Action) {
        let mut record = [0u8; ACTION_SIZE];
        record[1..3].copy_from_slice(&node.to_le_bytes());
        match action {
            Action::Send { request, server, timeout, .. } => {
                record[0] = 1;
                put(&mut record, 3, &request.to_le_bytes());
                put(&mut record, 11, &server.to_le_bytes());
                put(&mut record, 15, &duration_bytes(*timeout));
            }
            Action::Refuse { request, retry_after } => {
                record[0] = 2;
                put(&mut record, 3, &request.to_le_bytes());
                put(&mut record, 11, &duration_bytes(*retry_after));
            }
            Action::Fail(request) => {
                record[0] = 3;
                put(&mut record, 3, &request.to_le_bytes());
            }
            Action::Cancel { request, attempt } => {
                record[0] = 4;
                put(&mut record, 3, &request.to_le_bytes());
                put(&mut record, 11, &attempt.to_le_bytes());
            }
            Action::Timer { after, token } => {
                record[0] = 5;
                put(&mut record, 3, &duration_bytes(*after));
                put(&mut record, 7, &token.to_le_bytes());
            }
            Action::Probe(server) => self.put_server(&mut record, 6, *server),
            Action::CloseIdle(server) => self.put_server(&mut record, 7, *server),
            Action::SendToPeer { to, bytes } => {
                record[0] = 8;
                put(&mut record, 3, &to.unwrap_or(u32::MAX).to_le_bytes());
                self.put_tail(&mut record, 7, bytes);
            }
            Action::Log(text) => {
                record[0] = 9;
                self.put_tail(&mut record, 3, text.as_bytes());
            }
            Action::Fault(text) => {
                record[0] = 10;
                self.put_tail(&mut record, 3, text.as_bytes());
            }
            Action::Subscribe(on) => {
                record[0] = 11;
                record[3] = u8::from(*on);
            }
            Action::FetchList => record[0] = 12,
        }
        self.records.extend_from_slice(&record);
        self.count += 1;
    }

    fn put_server(&mut self, record: &mut [u8; ACTION_SIZE], code: u8, server: ServerId) {
        record[0] = code;
        put(record, 3, &server.to_le_bytes());
    }

    fn put_tail(&mut self, record: &mut [u8; ACTION_SIZE], at: usize, bytes: &[u8]) {
        put(record, at, &(self.tail.len() as u32).to_le_bytes());
        put(record, at + 4, &(bytes.len() as u32).to_le_bytes());
        self.tail.extend_from_slice(bytes);
    }

    /// Writes the reply to batch `number` to `frame` and clears itself.
    pub fn finish(&mut self, number: u32, frame: &mut Vec<u8>) {
        frame.clear();
        frame.extend_from_slice(&self.count.to_le_bytes());
        frame.extend_from_slice(&((self.records.len() + self.tail.len()) as u32).to_le_bytes());
        frame.extend_from_slice(&number.to_le_bytes());
        frame.extend_from_slice(&self.records);
        frame.extend_from_slice(&self.tail);
        self.records.clear();
        self.tail.clear();
        self.count = 0;
    }
}

fn put(record: &mut [u8; ACTION_SIZE], at: usize, bytes: &[u8]) {
    record[at..at + bytes.len()].copy_from_slice(bytes);
}

/// Encodes a duration. Durations are signed 32-bit integers in the protocol; longer ones are limited to the
/// maximum.
fn duration_bytes(duration: Micros) -> [u8; 4] {
    u32::try_from(duration).unwrap_or(u32::MAX).min(i32::MAX as u32).to_le_bytes()
}

#[cfg(test)]
mod tests;
