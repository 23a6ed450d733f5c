//! What the parts of the node say to each other. Every part knows these and no part knows another: clients, servers,
//! origin, discovery and peers bring an [`NodeInput`], and the node alone drives them.

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet, HashSet};
use std::rc::Rc;
use std::time::{Duration, Instant};

use brassrouter::{Request, RequestId, ServerId, Status};
use bytes::Bytes;
use mothpier_membership::ServerRecord;
use mothpier_membership::admin_drain::AdminDrainError;
use redis_protocol::resp2::types::BytesFrame;
use serde::{Deserialize, Deserializer, Serialize};
use tokio::sync::{mpsc, oneshot};

use crate::cancellation::CancelToken;
use crate::resp;

/// Parts of a value that wait between the one who reads and the one who writes.
const PARTS: usize = 3;

/// Names one attempt or probe of this node.
pub type AttemptId = u64;

/// What comes to the node from its other parts.
pub enum NodeInput {
    Client(ClientEvent),
    Server {
        server: ServerId,
        number: u64,
        event: ServerEvent,
    },
    Origin {
        attempt: AttemptId,
        ended: OriginEnded,
    },
    /// An answer of the origin has begun whose value is too large to be held; its end follows.
    OriginBegan {
        attempt: AttemptId,
        value: StreamedValue,
    },
    Discovery(ListUpdate),
    Peer {
        from: u32,
        bytes: Vec<u8>,
    },
    /// What a box of a cluster said of its slot map, with its address; `None` where nothing that can be read came.
    Topology {
        server: ServerId,
        heard: Option<mothpier_slots::table::ServerView>,
    },
    /// What DNS says of the boxes as of now.
    Names(mothpier_names::ServiceView),
    ResourceCounts(oneshot::Sender<ResourceCounts>),
    /// The process ends: every final answer is due by then.
    AnswerDeadline(Instant),
}

/// What staff want of the node: it comes by a way of its own, before all that clients ask.
pub enum AdminCommand {
    /// A cache server is out by hand, or may serve again; told whether that changed anything once it is so.
    SetServerDrained { id: String, out: bool, tell: oneshot::Sender<Result<bool, AdminDrainError>> },
    /// Who is out by hand as of now, whoever was told.
    ReplaceDrained(BTreeMap<String, u64>),
    /// Who is drained by the fleet's agreement, all of them; told once it is so.
    FleetDrained { out: BTreeSet<String>, tell: oneshot::Sender<()> },
    /// The cache servers that the sources say are ready, if these are others than the number says.
    ReadyServers { held: u64, tell: oneshot::Sender<Option<(u64, Vec<ServerRecord>)>> },
    /// This process is so much of the node.
    ProcessShare(f64),
    /// The list as it is held, if that is another one than the number says.
    ServerList { held: u64, tell: oneshot::Sender<Option<(u64, ServerList)>> },
    /// How many cache servers there are, and how many of them are avoided.
    StateCounts(oneshot::Sender<(usize, usize)>),
}

/// What clients tell the node.
pub enum ClientEvent {
    /// Read at a time from which what it waits for the node is taken off; who no longer waits has let go of the answer.
    Asked {
        request: Request,
        command: Box<Command>,
        answer: oneshot::Sender<Answer>,
        read: Instant,
    },
    Gone(RequestId),
}

/// A value on its way: too large to be held, it is passed on in parts as they come.
#[derive(Debug)]
pub struct StreamedValue {
    pub length: usize,
    /// Ends early where the rest will not come.
    pub parts: mpsc::Receiver<Bytes>,
}

impl StreamedValue {
    /// A value of a length, and where its parts are put in: the one who reads waits for the one who writes.
    pub fn of(length: usize) -> (mpsc::Sender<Bytes>, StreamedValue) {
        let (put, parts) = mpsc::channel(PARTS);
        (put, StreamedValue { length, parts })
    }
}

/// A final answer.
#[derive(Debug)]
pub enum Answer {
    Value(Bytes),
    Streamed(StreamedValue),
    /// Refused; come back after so many milliseconds.
    Busy(u64),
    Failed,
}

/// What a connection to a cache server tells the node.
pub enum ServerEvent {
    Up,
    Answer(AttemptId, BytesFrame),
    /// An answer has begun whose value is too large to be held; the rest of it follows as an answer.
    Began(AttemptId, StreamedValue),
    /// What came for this attempt can't be its answer; the end of the connection follows.
    Spoilt(AttemptId),
    /// The connection is no more; the attempts written whole, and those not.
    Down {
        refused: bool,
        written: Vec<AttemptId>,
        unwritten: Vec<AttemptId>,
    },
}

/// How a call at the origin ended.
pub struct OriginEnded {
    pub status: Status,
    pub value: Bytes,
    /// The load report, as it came.
    pub load: String,
}

/// What the node is told of the list.
pub enum ListUpdate {
    List(ServerList),
    /// A call failed, or the watch broke.
    Failed,
}

/// A list of servers as it comes, whole or only what changed.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub struct ServerList {
    pub revision: u64,
    pub complete: bool,
    #[serde(deserialize_with = "members")]
    pub members: Vec<Member>,
}

impl ServerList {
    /// Reads a list from its JSON. Its lines are taken one by one only where one of them can't be read: that takes several
    /// times as long.
    ///
    /// # Errors
    ///
    /// What is no list, whatever its lines are.
    pub fn read(json: &[u8]) -> serde_json::Result<ServerList> {
        match serde_json::from_slice(json) {
            Ok(WellFormedList { revision, complete, members }) => {
                Ok(ServerList { revision, complete, members })
            }
            Err(_) => serde_json::from_slice(json),
        }
    }
}

/// A list each of whose lines can be read.
#[derive(Deserialize)]
struct WellFormedList {
    revision: u64,
    complete: bool,
    members: Vec<Member>,
}

/// The phase of a line that can't be read.
pub const UNREADABLE: &str = "unreadable";

/// Reads lines one by one: what the others say counts all the same, or a drain would be missed for the sake of one of them.
/// Nothing new goes to a server whose line can't be read; one that names no server has no id.
fn members<'de, D: Deserializer<'de>>(from: D) -> Result<Vec<Member>, D::Error> {
    let lines = Vec::<serde_json::Value>::deserialize(from)?;
    let read = |line: serde_json::Value| {
        let id = line.get("id").and_then(|id| id.as_str()).unwrap_or_default().to_owned();
        serde_json::from_value(line).unwrap_or_else(|_| Member::unreadable(id))
    };
    Ok(lines.into_iter().map(read).collect())
}

/// One server in a list.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub struct Member {
    pub id: String,
    #[serde(default)]
    pub host_port: String,
    #[serde(default)]
    pub locality: String,
    #[serde(default)]
    pub flavor: String,
    #[serde(default)]
    pub cell: u16,
    pub phase: String,
    pub size: Option<f32>,
    #[serde(default)]
    pub up_since_ms: u64,
}

impl Member {
    fn unreadable(id: String) -> Self {
        Member {
            id,
            host_port: String::new(),
            locality: String::new(),
            flavor: String::new(),
            cell: 0,
            phase: UNREADABLE.into(),
            size: None,
            up_since_ms: 0,
        }
    }
}

/// What the module asks for where discovery must be asked.
#[derive(Clone, Copy, Default, PartialEq)]
pub struct DiscoveryRequest {
    pub watch: bool,
    /// Counts the calls that are asked for beside or at the start of a watch.
    pub calls: u32,
}

/// How much a node keeps: after quiet it is back at what it was.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ResourceCounts {
    /// Requests without a final answer.
    pub open: usize,
    /// Attempts without an outcome.
    pub flights: usize,
    /// Ids of open requests, whose repeat is an error.
    pub ids: usize,
    /// Client connections.
    pub clients: usize,
    /// Servers for which connections are kept.
    pub pools: usize,
    /// Servers known by a number.
    pub servers: usize,
}

/// A client's command as it came; what goes on to servers is made of it.
#[derive(Debug)]
pub struct Command {
    pub name: Bytes,
    pub key: Bytes,
    pub id: Bytes,
    pub extras: Bytes,
    pub value: Option<Bytes>,
    pub write: bool,
    /// Whether its client still waits.
    pub cancel: CancelToken,
    /// Given back with the command: no other request may bear its id meanwhile.
    #[allow(dead_code, reason = "held for its drop")]
    pub claim: RequestIdClaim,
}

impl Command {
    /// The request's id, for people.
    pub fn id_text(&self) -> std::borrow::Cow<'_, str> {
        String::from_utf8_lossy(&self.id)
    }
}

/// The ids of all open requests.
pub type OpenRequestIds = Rc<RefCell<HashSet<Bytes>>>;

/// An id in use.
#[derive(Debug)]
pub struct RequestIdClaim(OpenRequestIds, Bytes);

impl RequestIdClaim {
    pub fn of(ids: &OpenRequestIds, id: &Bytes) -> Option<RequestIdClaim> {
        ids.borrow_mut().insert(id.clone()).then(|| RequestIdClaim(ids.clone(), id.clone()))
    }

    pub fn id(&self) -> &Bytes {
        &self.1
    }
}

impl Drop for RequestIdClaim {
    fn drop(&mut self) {
        if crate::mutation_active(crate::Mutation::LeakedId) {
            return;
        }
        self.0.borrow_mut().remove(&self.1);
    }
}

impl Command {
    /// The command for a cache server: unchanged but for how long this attempt will be waited for.
    pub fn for_server(&self, wait: Duration) -> Bytes {
        let words =
            [self.name.clone(), self.key.clone(), self.id.clone(), self.extras_with_wait(wait).into()];
        resp::command(words.into_iter().chain(self.value.clone()))
    }

    /// The names and values as they came, in their order, with `d` (milliseconds) set to how long this attempt will be
    /// waited for. A list without `d` stays without one.
    pub fn extras_with_wait(&self, wait: Duration) -> String {
        let mut extras = String::with_capacity(self.extras.len() + 8);
        for part in String::from_utf8_lossy(&self.extras).split(',') {
            let comma = if extras.is_empty() { "" } else { "," };
            match part.split_once('=') {
                Some(("d", _)) => extras += &format!("{comma}d={}", wait.as_millis().max(1)),
                _ => extras += &format!("{comma}{part}"),
            }
        }
        extras
    }
}
