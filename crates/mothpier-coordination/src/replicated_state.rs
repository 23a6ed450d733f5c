//! The replicated state machine. The same commands in the same order produce the same state, byte for byte,
//! on every coordinator: it uses no clock, no randomness, and iterates only over collections ordered by
//! name.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use serde::{Deserialize, Serialize};

use crate::command::{Answer, Change, Command, FORMAT, Fence, Refusal, Request, Revision, SessionId};
use crate::fencing::FenceFloors;
use crate::fleet::Fleet;
use crate::fleet::messages::{FleetChange, FleetCommand};
use crate::fleet::timers::Timer;
use crate::limits;

/// An open session of a client.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Session {
    /// The session expires if it is not renewed for this long.
    pub ttl_ms: u64,
    /// Number of renewals so far.
    pub renewals: u64,
    /// An operator has broken one of its leases: the session is not renewed any more.
    pub broken: bool,
    /// Number of the last request and its answer, so that a repeated request has no further effect.
    number: u64,
    answer: Option<Answer>,
    /// Leases that the session holds or waits for.
    leases: BTreeSet<String>,
}

/// A lease that is held.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Lease {
    /// The session that holds the lease.
    pub holder: SessionId,
    /// The fence of the current grant.
    pub fence: Fence,
    /// Sessions that wait for the lease, in the order of their requests.
    pub waiting: VecDeque<SessionId>,
}

/// A stored value with the revision of its last change.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Value {
    /// The stored value.
    pub value: String,
    /// Revision of the last change of the value.
    pub revision: Revision,
}

/// The whole replicated state.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ReplicatedState {
    format: u32,
    /// Fence of the last grant of any lease.
    fences: Fence,
    /// Revision of the last change.
    revision: Revision,
    sessions: BTreeMap<SessionId, Session>,
    /// Names of ended sessions, the latest last.
    ended: VecDeque<SessionId>,
    leases: BTreeMap<String, Lease>,
    values: BTreeMap<String, Value>,
    value_bytes: usize,
    /// Addresses of the coordinators by number, and the highest number that any coordinator ever had.
    members: BTreeMap<u64, String>,
    last_member: u64,
    /// Nodes, cache servers and drains. Absent in format 1.
    #[serde(default)]
    fleet: Fleet,
    /// The last changes; the first entry has the revision `revision - history.len() + 1`.
    history: VecDeque<Change>,
}

/// Why a stored state cannot be loaded.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Unreadable {
    /// The state was written by a newer version of the program.
    Format(u32),
    /// The state is damaged, or is not a state at all.
    Damaged(String),
}

impl std::fmt::Display for Unreadable {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Unreadable::Format(format) => {
                write!(
                    f,
                    "it was written in format {format}, and this program reads 1 to {FORMAT}: start the newer version \
                     that wrote it"
                )
            }
            Unreadable::Damaged(why) => write!(f, "it is damaged: {why}"),
        }
    }
}

impl Default for ReplicatedState {
    fn default() -> Self {
        ReplicatedState {
            format: FORMAT,
            fences: 0,
            revision: 0,
            sessions: BTreeMap::new(),
            ended: VecDeque::new(),
            leases: BTreeMap::new(),
            values: BTreeMap::new(),
            value_bytes: 0,
            members: BTreeMap::new(),
            last_member: 0,
            fleet: Fleet::default(),
            history: VecDeque::new(),
        }
    }
}

fn refused(why: Refusal) -> Answer {
    Answer::Refused { why }
}

fn over_limit(limit: &str, most: usize) -> Answer {
    refused(Refusal::OverLimit { limit: limit.into(), most: most as u64 })
}

impl ReplicatedState {
    /// Applies the next committed command of the log.
    pub fn apply(&mut self, command: &Command) -> Answer {
        let answer = match command {
            Command::Open { session, ttl_ms } => self.open(session, *ttl_ms),
            Command::Renew { session } => self.renew(session),
            Command::Ask { session, number, request } => self.handle_request(session, *number, request),
            Command::Close { session } => {
                self.end_session(session);
                Answer::Closed
            }
            Command::Expire { session, renewals } => match self.sessions.get(session) {
                None => refused(Refusal::NoSession),
                Some(s) if s.renewals != *renewals => refused(Refusal::Renewed),
                Some(_) => {
                    self.end_session(session);
                    Answer::Closed
                }
            },
            Command::Break { lease, fence } => self.break_lease(lease, *fence),
            Command::Due { timer } => self.timer_fired(timer),
        };
        debug_assert!(self.is_consistent());
        answer
    }

    fn timer_fired(&mut self, timer: &Timer) -> Answer {
        let mut changes = Vec::new();
        self.fleet.timer_fired(timer, &mut changes);
        self.record_fleet_changes(changes);
        Answer::Fleet { answer: crate::fleet::messages::FleetResponse::Done }
    }

    fn fleet_command(&mut self, session: &str, what: &FleetCommand) -> Answer {
        let mut changes = Vec::new();
        let answer = self.fleet.apply(session, what, &mut changes);
        self.record_fleet_changes(changes);
        match answer {
            Ok(answer) => Answer::Fleet { answer },
            Err(fleet) => refused(Refusal::Fleet { fleet }),
        }
    }

    fn record_fleet_changes(&mut self, changes: Vec<FleetChange>) {
        for what in changes {
            self.record_change(Change::Fleet { what });
        }
    }

    /// Marks the session that holds the lease as broken, so that it is not renewed any more. The lease is
    /// not taken away at once, because its holder may still act within its TTL.
    fn break_lease(&mut self, lease: &str, fence: Fence) -> Answer {
        let holder = self.leases.get(lease).filter(|l| l.fence == fence).map(|l| l.holder.clone());
        match holder.and_then(|h| self.sessions.get_mut(&h)) {
            None => refused(Refusal::NotHeld),
            Some(session) => {
                session.broken = true;
                Answer::Broken
            }
        }
    }

    fn open(&mut self, session: &str, ttl_ms: u64) -> Answer {
        let (least_ms, most_ms) = (limits::MIN_TTL_MS, limits::MAX_TTL_MS);
        if !limits::is_name(session) {
            return refused(Refusal::BadName);
        }
        if !(least_ms..=most_ms).contains(&ttl_ms) {
            return refused(Refusal::BadTtl { least_ms, most_ms });
        }
        if let Some(s) = self.sessions.get_mut(session) {
            if s.ttl_ms != ttl_ms {
                return refused(Refusal::OtherTtl { ttl_ms: s.ttl_ms });
            }
            if s.broken {
                return refused(Refusal::BrokenByStaff);
            }
            // A client that repeats the request counts its TTL from the second one, and so must the leader.
            s.renewals += 1;
            return Answer::Opened;
        }
        if self.ended.iter().any(|e| e == session) {
            return refused(Refusal::SessionOver);
        }
        if self.sessions.len() >= limits::MAX_SESSIONS {
            return over_limit("sessions", limits::MAX_SESSIONS);
        }
        let new_session =
            Session { ttl_ms, renewals: 0, broken: false, number: 0, answer: None, leases: BTreeSet::new() };
        self.sessions.insert(session.into(), new_session);
        Answer::Opened
    }

    fn renew(&mut self, session: &str) -> Answer {
        match self.sessions.get_mut(session) {
            None => refused(Refusal::NoSession),
            Some(s) if s.broken => refused(Refusal::BrokenByStaff),
            Some(s) => {
                s.renewals += 1;
                Answer::Renewed
            }
        }
    }

    fn handle_request(&mut self, session: &str, number: u64, request: &Request) -> Answer {
        let Some(s) = self.sessions.get(session) else { return refused(Refusal::NoSession) };
        if let Some(answer) = s.answer.clone().filter(|_| s.number == number) {
            return answer;
        }
        if number != s.number + 1 {
            return refused(Refusal::WrongNumber { last: s.number });
        }
        let answer = match request {
            Request::Acquire { lease, wait } => self.acquire(session, lease, *wait),
            Request::Release { lease } => self.release(session, lease),
            Request::Put { key, value, at } => self.put(key, value, *at),
            Request::Delete { key, at } => self.delete(key, *at),
            Request::Fleet { what } => self.fleet_command(session, what),
        };
        if let Some(s) = self.sessions.get_mut(session) {
            (s.number, s.answer) = (number, Some(answer.clone()));
        }
        answer
    }

    fn acquire(&mut self, session: &str, name: &str, wait: bool) -> Answer {
        if !limits::is_name(name) {
            return refused(Refusal::BadName);
        }
        if self.sessions[session].broken {
            return refused(Refusal::BrokenByStaff);
        }
        if let Some(lease) = self.leases.get(name) {
            if lease.holder == session {
                return Answer::Granted { fence: lease.fence };
            }
            if let Some(ahead) = lease.waiting.iter().position(|w| w == session) {
                return Answer::Waiting { ahead: ahead as u64 + 1 };
            }
            if !wait {
                return refused(Refusal::Held { by: lease.holder.clone() });
            }
            if lease.waiting.len() >= limits::MAX_WAITERS_PER_LEASE {
                return over_limit("sessions that wait for one lease", limits::MAX_WAITERS_PER_LEASE);
            }
        } else if self.leases.len() >= limits::MAX_LEASES {
            return over_limit("leases", limits::MAX_LEASES);
        }
        let session_leases = self.sessions.get_mut(session).map(|s| &mut s.leases);
        let Some(session_leases) =
            session_leases.filter(|session_leases| session_leases.len() < limits::MAX_LEASES_PER_SESSION)
        else {
            return over_limit("leases of one session", limits::MAX_LEASES_PER_SESSION);
        };
        session_leases.insert(name.into());
        match self.leases.get_mut(name) {
            Some(lease) => {
                lease.waiting.push_back(session.into());
                Answer::Waiting { ahead: lease.waiting.len() as u64 }
            }
            None => Answer::Granted { fence: self.grant(name, session.into(), VecDeque::new()) },
        }
    }

    fn grant(&mut self, name: &str, holder: SessionId, waiting: VecDeque<SessionId>) -> Fence {
        self.fences += 1;
        let fence = self.fences;
        self.leases.insert(name.into(), Lease { holder: holder.clone(), fence, waiting });
        self.record_change(Change::Granted { lease: name.into(), session: holder, fence });
        fence
    }

    fn release(&mut self, session: &str, name: &str) -> Answer {
        if let Some(s) = self.sessions.get_mut(session) {
            s.leases.remove(name);
        }
        self.give_up(session, name);
        Answer::Released
    }

    /// Removes a session as holder or waiter of a lease, and grants the lease to the next waiting session.
    fn give_up(&mut self, session: &str, name: &str) {
        let Some(lease) = self.leases.get_mut(name) else { return };
        if lease.holder != session {
            return lease.waiting.retain(|w| w != session);
        }
        let (fence, mut waiting) = (lease.fence, std::mem::take(&mut lease.waiting));
        self.leases.remove(name);
        self.record_change(Change::Ended { lease: name.into(), fence });
        if let Some(next) = waiting.pop_front() {
            self.grant(name, next, waiting);
        }
    }

    fn end_session(&mut self, session: &str) {
        let Some(removed) = self.sessions.remove(session) else { return };
        for lease in &removed.leases {
            self.give_up(session, lease);
        }
        self.ended.push_back(session.into());
        if self.ended.len() > limits::MAX_ENDED_SESSIONS {
            self.ended.pop_front();
        }
        let mut changes = Vec::new();
        self.fleet.session_ended(session, &mut changes);
        self.record_fleet_changes(changes);
    }

    fn put(&mut self, key: &str, value: &str, at: Option<Revision>) -> Answer {
        if !limits::is_name(key) {
            return refused(Refusal::BadName);
        }
        if value.len() > limits::MAX_VALUE_BYTES {
            return over_limit("bytes of a value", limits::MAX_VALUE_BYTES);
        }
        let previous = self.values.get(key);
        let last = previous.map_or(0, |v| v.revision);
        if at.is_some_and(|at| at != last) {
            return refused(Refusal::Changed { at: last });
        }
        if previous.is_none() && self.values.len() >= limits::MAX_VALUES {
            return over_limit("values", limits::MAX_VALUES);
        }
        let bytes = self.value_bytes - previous.map_or(0, |v| v.value.len()) + value.len();
        if bytes > limits::MAX_TOTAL_VALUE_BYTES {
            return over_limit("bytes of all values", limits::MAX_TOTAL_VALUE_BYTES);
        }
        self.value_bytes = bytes;
        let revision = self.record_change(Change::Put { key: key.into(), value: value.into() });
        self.values.insert(key.into(), Value { value: value.into(), revision });
        Answer::Stored { revision }
    }

    fn delete(&mut self, key: &str, at: Option<Revision>) -> Answer {
        let last = self.values.get(key).map_or(0, |v| v.revision);
        if last == 0 || at.is_some_and(|at| at != last) {
            return refused(Refusal::Changed { at: last });
        }
        if let Some(removed) = self.values.remove(key) {
            self.value_bytes -= removed.value.len();
        }
        Answer::Deleted { revision: self.record_change(Change::Deleted { key: key.into() }) }
    }

    fn record_change(&mut self, change: Change) -> Revision {
        self.revision += 1;
        self.history.push_back(change);
        if self.history.len() > limits::MAX_HISTORY {
            self.history.pop_front();
        }
        self.revision
    }

    /// Returns the initial state of a new cluster with these coordinators.
    pub fn new_cluster(members: BTreeMap<u64, String>) -> Self {
        let last_member = members.keys().next_back().copied().unwrap_or_default();
        ReplicatedState { members, last_member, ..ReplicatedState::default() }
    }

    /// Adds a coordinator or changes its address; removes it if `address` is `None`.
    pub fn set_member(&mut self, number: u64, address: Option<String>) {
        self.last_member = self.last_member.max(number);
        match address {
            Some(address) => drop(self.members.insert(number, address)),
            None => drop(self.members.remove(&number)),
        }
    }

    /// Addresses of the coordinators by number.
    pub fn members(&self) -> &BTreeMap<u64, String> {
        &self.members
    }

    /// The highest number that any coordinator ever had. Numbers are not reused, because the first owner of
    /// a number may have voted under it.
    pub fn last_member(&self) -> u64 {
        self.last_member
    }

    /// Revision of the last change.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Returns the changes after a revision, in order. Returns `None` if the history no longer reaches back
    /// that far, or if the revision is still in the future; the watcher then has to read the whole state.
    pub fn changes_since(&self, after: Revision) -> Option<impl Iterator<Item = (Revision, &Change)>> {
        let first = self.revision - self.history.len() as u64;
        (first..=self.revision).contains(&after).then(|| {
            let skipped = (after - first) as usize;
            (after + 1..).zip(self.history.iter().skip(skipped))
        })
    }

    /// Returns the open sessions.
    pub fn sessions(&self) -> impl Iterator<Item = (&SessionId, &Session)> {
        self.sessions.iter()
    }

    /// Returns an open session by name.
    pub fn session(&self, name: &str) -> Option<&Session> {
        self.sessions.get(name)
    }

    /// Returns the leases that are held.
    pub fn leases(&self) -> &BTreeMap<String, Lease> {
        &self.leases
    }

    /// Returns the stored values.
    pub fn values(&self) -> &BTreeMap<String, Value> {
        &self.values
    }

    /// Returns the nodes, cache servers and drains.
    pub fn fleet(&self) -> &Fleet {
        &self.fleet
    }

    /// Returns the fences that a [`crate::FenceGuard`] needs before it may accept any action.
    pub fn floors(&self) -> FenceFloors {
        let held = self.leases.iter().map(|(name, lease)| (name.clone(), lease.fence)).collect();
        FenceFloors { others: self.fences + 1, held }
    }

    /// Serializes the state for a snapshot.
    pub fn to_bytes(&self) -> Vec<u8> {
        serde_json::to_vec(self).unwrap_or_default()
    }

    /// Loads a state from a snapshot.
    ///
    /// # Errors
    ///
    /// Fails if a newer version of the program wrote the snapshot, or if it is damaged.
    pub fn from_bytes(bytes: &[u8]) -> Result<Self, Unreadable> {
        /// The one field that every format has.
        #[derive(Deserialize)]
        struct Format {
            format: u32,
        }
        let damaged = |e: serde_json::Error| Unreadable::Damaged(e.to_string());
        let Format { format } = serde_json::from_slice(bytes).map_err(damaged)?;
        if !(1..=FORMAT).contains(&format) {
            return Err(Unreadable::Format(format));
        }
        let mut state: ReplicatedState = serde_json::from_slice(bytes).map_err(damaged)?;
        // The state of an older format is complete, but from now on it may contain what an older version
        // cannot read.
        state.format = FORMAT;
        if state.is_consistent() {
            Ok(state)
        } else {
            Err(Unreadable::Damaged("its parts are inconsistent".into()))
        }
    }

    /// Whether the parts of the state are consistent with each other and within their limits.
    fn is_consistent(&self) -> bool {
        let within_limits = self.history.len() as u64 <= self.revision
            && self.history.len() <= limits::MAX_HISTORY
            && self.sessions.len() <= limits::MAX_SESSIONS
            && self.leases.len() <= limits::MAX_LEASES
            && self.fleet.is_consistent();
        // The references between leases and sessions are checked only for the small states of tests and
        // models, where that is cheap.
        within_limits
            && (self.leases.len() > 64
                || self.leases.iter().all(|(name, lease)| {
                    let refers_to_lease =
                        |s: &SessionId| self.sessions.get(s).is_some_and(|s| s.leases.contains(name));
                    lease.fence <= self.fences
                        && refers_to_lease(&lease.holder)
                        && lease.waiting.iter().all(refers_to_lease)
                }))
    }
}
