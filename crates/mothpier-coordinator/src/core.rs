//! A raft member without sockets and tasks: the raft library, the store below it and the replicated state
//! above it. The caller passes in messages and the time, and takes out messages and results.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;

use mothpier_coordination::fleet::timers::Timers;
use mothpier_coordination::wire::MemberChange;
use mothpier_coordination::{Answer, Command, ReplicatedState, Request, SessionExpiry};
use protobuf::Message as _;
use raft::eraftpb::{ConfChange, ConfChangeType, ConfState, Entry, EntryType, Message, Snapshot};
use raft::storage::MemStorage;
use raft::{Config, GetEntriesContext, RaftState, RawNode, StateRole, Storage};
use tokio::sync::oneshot;

use crate::store::{CoordinatorError, Store, StoreUpdate, StoredState};

/// Minimum number of ticks without a leader before a member starts an election. The raft library draws the
/// timeout at random between this and twice as many.
pub const ELECTION_TICKS: usize = 10;
/// Ticks between a leader's heartbeats.
const HEARTBEAT_TICKS: usize = 2;
/// Log bytes in one message between members, so that a member that was away is not sent the whole log at
/// once.
const MAX_MESSAGE_BYTES: u64 = 1024 * 1024;
/// Unacknowledged messages to one member.
const MAX_INFLIGHT_MESSAGES: usize = 64;
/// Bytes of uncommitted proposals, beyond which further proposals are rejected.
const MAX_UNCOMMITTED_BYTES: u64 = 8 * 1024 * 1024;
/// Entries applied between two snapshots.
const SNAPSHOT_INTERVAL_ENTRIES: u64 = 10_000;
/// Log entries kept before a snapshot, so that a member that lags a little does not need the snapshot.
const ENTRIES_KEPT_BEFORE_SNAPSHOT: u64 = 1_000;
/// Maximum number of members of a cluster. Each write waits for a majority of them, and an even number of
/// members tolerates no more failures than the odd number below it.
pub const MAX_MEMBERS: usize = 7;
/// A learner that lags by at most this many entries is made a voter.
const MAX_PROMOTION_LAG_ENTRIES: u64 = 100;
/// Delay before the expiry of a session, or of a timer, is proposed again, because the first proposal may
/// have been lost with its leader.
const REPROPOSE_INTERVAL_MS: u64 = 1_000;

/// The in-memory log that the raft library reads; snapshots are taken by this member.
#[derive(Clone)]
pub struct Log {
    memory: MemStorage,
    snapshot: Rc<RefCell<Snapshot>>,
    /// A follower needs a newer snapshot than the current one.
    snapshot_requested: Rc<Cell<bool>>,
}

impl Storage for Log {
    fn initial_state(&self) -> raft::Result<RaftState> {
        self.memory.initial_state()
    }

    fn entries(
        &self,
        low: u64,
        high: u64,
        max_size: impl Into<Option<u64>>,
        context: GetEntriesContext,
    ) -> raft::Result<Vec<Entry>> {
        self.memory.entries(low, high, max_size, context)
    }

    fn term(&self, index: u64) -> raft::Result<u64> {
        self.memory.term(index)
    }

    fn first_index(&self) -> raft::Result<u64> {
        self.memory.first_index()
    }

    fn last_index(&self) -> raft::Result<u64> {
        self.memory.last_index()
    }

    fn snapshot(&self, min_index: u64, _to: u64) -> raft::Result<Snapshot> {
        let snapshot = self.snapshot.borrow();
        if snapshot.get_metadata().index < min_index {
            self.snapshot_requested.set(true);
            return Err(raft::Error::Store(raft::StorageError::SnapshotTemporarilyUnavailable));
        }
        Ok(snapshot.clone())
    }
}

/// Outcome of a proposal.
#[derive(Debug, PartialEq, Eq)]
pub enum ProposalOutcome {
    /// The command was committed and applied, with this answer.
    Applied(Answer),
    /// The members are as requested.
    MembersChanged,
    /// Nothing was proposed, because this member is not the leader or can't propose now.
    NotLeading,
    /// The command was proposed and may yet be committed under another leader.
    Unknown,
}

/// A raft member with its replicated state.
pub struct Core {
    raft: RawNode<Log>,
    log: Log,
    /// `None` once the disk has failed; the member then takes part in nothing.
    store: Option<Store>,
    conf_state: ConfState,
    state: ReplicatedState,
    session_expiry: SessionExpiry,
    timers: Timers,
    /// The timers of the fleet may have changed since they were last read.
    timers_changed: bool,
    is_leader: bool,
    applied: u64,
    snapshot_index: u64,
    /// Proposals by request id, which is the context of their log entries.
    pending_proposals: BTreeMap<u64, oneshot::Sender<ProposalOutcome>>,
    pending_reads: BTreeMap<u64, oneshot::Sender<bool>>,
    /// Reads that a majority has confirmed: the log index to be applied first, and the request id.
    confirmed_reads: Vec<(u64, u64)>,
    request_count: u64,
    /// Random per start, so that request ids differ from those of earlier runs.
    incarnation: u64,
    outgoing: Vec<Message>,
    /// When the current leader became known, in ms of the clock passed to [`Core::poll`].
    pub leader_since_ms: u64,
    leader: u64,
    /// Number of changes applied; watchers wait for it to rise.
    pub change_count: u64,
}

impl Core {
    /// Creates a member from the contents of its store.
    ///
    /// # Errors
    ///
    /// Returns an error if the state is damaged or was written by a newer program.
    pub fn new(store: Store, stored: StoredState, incarnation: u64) -> Result<Core, CoordinatorError> {
        let raft_error = |e: raft::Error| {
            CoordinatorError::Unusable(format!("the log and the snapshot in the store are inconsistent: {e}"))
        };
        let metadata = stored.snapshot.get_metadata().clone();
        let is_joining = metadata.index == 0;
        let state = match is_joining {
            true => ReplicatedState::default(),
            false => ReplicatedState::from_bytes(stored.snapshot.get_data()).map_err(|e| {
                CoordinatorError::Unusable(format!("can't read the snapshot in the store: {e}"))
            })?,
        };
        let memory = MemStorage::new();
        {
            let mut memory = memory.wl();
            if !is_joining {
                memory.apply_snapshot(stored.snapshot.clone()).map_err(raft_error)?;
            }
            memory.append(&stored.entries).map_err(raft_error)?;
            memory.set_hardstate(stored.hard_state);
        }
        let log = Log {
            memory,
            snapshot: Rc::new(RefCell::new(stored.snapshot)),
            snapshot_requested: Rc::new(Cell::new(false)),
        };
        let config = Config {
            id: stored.identity.member,
            election_tick: ELECTION_TICKS,
            heartbeat_tick: HEARTBEAT_TICKS,
            applied: metadata.index,
            max_size_per_msg: MAX_MESSAGE_BYTES,
            max_inflight_msgs: MAX_INFLIGHT_MESSAGES,
            check_quorum: true,
            pre_vote: true,
            max_uncommitted_size: MAX_UNCOMMITTED_BYTES,
            ..Config::default()
        };
        let discard_logger = slog::Logger::root(slog::Discard, slog::o!());
        let raft = RawNode::new(&config, log.clone(), &discard_logger).map_err(raft_error)?;
        Ok(Core {
            raft,
            log,
            store: Some(store),
            conf_state: metadata.get_conf_state().clone(),
            state,
            session_expiry: SessionExpiry::default(),
            timers: Timers::default(),
            timers_changed: false,
            is_leader: false,
            applied: metadata.index,
            snapshot_index: metadata.index,
            pending_proposals: BTreeMap::new(),
            pending_reads: BTreeMap::new(),
            confirmed_reads: Vec::new(),
            request_count: 0,
            incarnation,
            outgoing: Vec::new(),
            leader_since_ms: 0,
            leader: 0,
            change_count: 0,
        })
    }

    /// Starts an election at once if this member is the only voter.
    pub fn lead_if_alone(&mut self) {
        if self.conf_state.voters == [self.raft.raft.id] {
            let _ = self.raft.campaign();
        }
    }

    /// Advances the election and heartbeat clock by one tick.
    pub fn tick(&mut self) {
        self.raft.tick();
    }

    /// Advances the clock by one tick with a given election timeout, from [`ELECTION_TICKS`] to below twice
    /// as many, in place of the random one of the raft library. Simulations use it to stay deterministic.
    pub fn tick_with_election_timeout(&mut self, timeout_ticks: usize) {
        self.raft.raft.set_randomized_election_timeout(timeout_ticks);
        self.raft.tick();
    }

    /// Stops the member after a disk failure: closes the store and ends pending proposals with
    /// [`ProposalOutcome::Unknown`]. Nothing is voted, granted or confirmed any more.
    pub fn halt(&mut self) {
        self.store = None;
        self.outgoing.clear();
        self.update_role(self.leader_since_ms, false, 0);
    }

    /// Writes an update to the store, unless the store is closed.
    fn persist(&self, update: &StoreUpdate<'_>) -> Result<(), CoordinatorError> {
        let store_closed =
            || CoordinatorError::DiskFailure("the store is closed because its disk failed".into());
        self.store.as_ref().ok_or_else(store_closed)?.persist(update)
    }

    /// Processes a message from another member. The raft library drops messages that do not apply.
    pub fn receive(&mut self, message: Message) {
        let _ = self.raft.step(message);
    }

    /// Reports that a member could not be reached.
    pub fn report_unreachable(&mut self, member: u64) {
        self.raft.report_unreachable(member);
    }

    /// Returns a request id that this member has not used before.
    fn next_request_id(&mut self) -> u64 {
        self.request_count += 1;
        self.incarnation.wrapping_add(self.request_count)
    }

    /// Proposes a command. The outcome is sent to the returned receiver.
    pub fn propose(&mut self, command: &Command) -> oneshot::Receiver<ProposalOutcome> {
        let (sender, receiver) = oneshot::channel();
        let request_id = self.next_request_id();
        let bytes = serde_json::to_vec(command).unwrap_or_default();
        // A follower would forward the proposal and never learn the outcome.
        if !self.is_leader || self.raft.propose(request_id.to_be_bytes().to_vec(), bytes).is_err() {
            let _ = sender.send(ProposalOutcome::NotLeading);
        } else {
            self.pending_proposals.insert(request_id, sender);
        }
        receiver
    }

    /// Proposes a change of the members. The outcome is sent to the returned receiver.
    ///
    /// # Errors
    ///
    /// Returns why the change is not allowed.
    pub fn change_members(
        &mut self,
        change: &MemberChange,
    ) -> Result<oneshot::Receiver<ProposalOutcome>, String> {
        let (sender, receiver) = oneshot::channel();
        if !self.is_leader {
            let _ = sender.send(ProposalOutcome::NotLeading);
            return Ok(receiver);
        }
        let known = |id: &u64| self.conf_state.voters.contains(id) || self.conf_state.learners.contains(id);
        let mut proposed = ConfChange::default();
        match change {
            MemberChange::Add { member, address } => {
                if known(member) && self.state.members().get(member) == Some(&address.to_string()) {
                    // A repeated request: it is a member already.
                    let _ = sender.send(ProposalOutcome::MembersChanged);
                    return Ok(receiver);
                }
                let last_used_number = self.state.last_member();
                if *member <= last_used_number {
                    return Err(format!(
                        "{member} was the number of an earlier member: take {} or higher, because the \
                         earlier one may have voted",
                        last_used_number + 1
                    ));
                }
                if self.conf_state.voters.len() + self.conf_state.learners.len() >= MAX_MEMBERS {
                    return Err(format!("at most {MAX_MEMBERS} members are allowed"));
                }
                proposed.node_id = *member;
                proposed.set_change_type(ConfChangeType::AddLearnerNode);
                proposed.set_context(address.to_string().into_bytes().into());
            }
            MemberChange::Remove { member } => {
                if !known(member) {
                    let _ = sender.send(ProposalOutcome::MembersChanged);
                    return Ok(receiver);
                }
                if self.conf_state.voters.contains(member) && self.conf_state.voters.len() == 1 {
                    return Err("the only voter can't be removed".into());
                }
                if *member == self.member() {
                    // Another member takes over leadership first and then removes this one.
                    let next = self.conf_state.voters.iter().find(|v| *v != member);
                    next.copied().into_iter().for_each(|next| self.raft.transfer_leader(next));
                    let _ = sender.send(ProposalOutcome::NotLeading);
                    return Ok(receiver);
                }
                proposed.node_id = *member;
                proposed.set_change_type(ConfChangeType::RemoveNode);
            }
        }
        self.propose_change(proposed, sender);
        Ok(receiver)
    }

    /// Proposes a configuration change to the raft library.
    fn propose_change(&mut self, change: ConfChange, sender: oneshot::Sender<ProposalOutcome>) {
        if self.raft.raft.has_pending_conf() {
            // Only one membership change at a time; the client retries a little later.
            let _ = sender.send(ProposalOutcome::NotLeading);
            return;
        }
        let request_id = self.next_request_id();
        match self.raft.propose_conf_change(request_id.to_be_bytes().to_vec(), change) {
            Ok(()) => drop(self.pending_proposals.insert(request_id, sender)),
            Err(_) => drop(sender.send(ProposalOutcome::NotLeading)),
        }
    }

    /// Makes a learner that has caught up with the log a voter.
    fn promote_learner(&mut self) {
        if !self.is_leader || self.conf_state.learners.is_empty() || self.raft.raft.has_pending_conf() {
            return;
        }
        let (committed, _) = self.log_positions();
        let ready = self.conf_state.learners.iter().copied().find(|id| {
            let matched = self.raft.raft.prs().get(*id).map_or(0, |p| p.matched);
            matched > 0 && matched + MAX_PROMOTION_LAG_ENTRIES >= committed
        });
        let Some(member) = ready else { return };
        let mut change = ConfChange { node_id: member, ..ConfChange::default() };
        change.set_change_type(ConfChangeType::AddNode);
        let address = self.state.members().get(&member).cloned().unwrap_or_default();
        change.set_context(address.into_bytes().into());
        let (sender, _) = oneshot::channel();
        self.propose_change(change, sender);
    }

    /// Asks a majority to confirm that this member still leads. Sends true once all entries committed before
    /// the call are applied here.
    pub fn confirm_leadership(&mut self) -> oneshot::Receiver<bool> {
        let (sender, receiver) = oneshot::channel();
        let request_id = self.next_request_id();
        if self.is_leader && self.raft.raft.commit_to_current_term() {
            self.raft.read_index(request_id.to_be_bytes().to_vec());
            self.pending_reads.insert(request_id, sender);
        } else {
            let _ = sender.send(false);
        }
        receiver
    }

    /// Does all work that is due: persists and applies entries and reports outcomes. Messages to send are
    /// returned by [`Core::outgoing`].
    ///
    /// # Errors
    ///
    /// Returns an error if the store failed, or if the log holds entries that this program can't read.
    pub fn poll(&mut self, now: u64) -> Result<(), CoordinatorError> {
        if self.is_leader {
            for expire in self.session_expiry.take_due(now, REPROPOSE_INTERVAL_MS) {
                drop(self.propose(&expire));
            }
            for timer in self.timers.take_due(now, REPROPOSE_INTERVAL_MS) {
                drop(self.propose(&Command::Due { timer }));
            }
        }
        self.promote_learner();
        while self.raft.has_ready() {
            self.process_ready(now)?;
        }
        if std::mem::take(&mut self.timers_changed) && self.is_leader {
            self.timers.update(now, &self.state.fleet().timers());
        }
        self.take_snapshot_if_due()
    }

    /// Processes one `Ready` of the raft library, in the order that the library requires.
    fn process_ready(&mut self, now: u64) -> Result<(), CoordinatorError> {
        let mut ready = self.raft.ready();
        self.outgoing.extend(ready.take_messages());
        if let Some(soft_state) = ready.ss() {
            let (is_leader, leader) = (soft_state.raft_state == StateRole::Leader, soft_state.leader_id);
            self.update_role(now, is_leader, leader);
        }
        let snapshot = ready.snapshot();
        let leader_snapshot = (!snapshot.is_empty()).then(|| snapshot.clone());
        if leader_snapshot.is_some() || !ready.entries().is_empty() || ready.hs().is_some() {
            self.persist(&StoreUpdate {
                hard_state: ready.hs(),
                entries: ready.entries(),
                snapshot: leader_snapshot.as_ref(),
                replaces_log: leader_snapshot.is_some(),
                first_kept_index: 0,
            })?;
            let raft_error =
                |e: raft::Error| CoordinatorError::Unusable(format!("the log is inconsistent: {e}"));
            if let Some(leader_snapshot) = leader_snapshot {
                self.install_snapshot(leader_snapshot)?;
            }
            let mut memory = self.log.memory.wl();
            memory.append(ready.entries()).map_err(raft_error)?;
            if let Some(hard_state) = ready.hs() {
                memory.set_hardstate(hard_state.clone());
            }
        }
        self.outgoing.extend(ready.take_persisted_messages());
        for read_state in ready.take_read_states() {
            if let Ok(request_id) = read_state.request_ctx.as_slice().try_into().map(u64::from_be_bytes) {
                self.confirmed_reads.push((read_state.index, request_id));
            }
        }
        let committed = ready.take_committed_entries();
        self.apply(now, committed)?;
        let mut light_ready = self.raft.advance(ready);
        if let Some(commit) = light_ready.commit_index() {
            self.log.memory.wl().mut_hard_state().commit = commit;
        }
        self.outgoing.extend(light_ready.take_messages());
        let committed = light_ready.take_committed_entries();
        self.apply(now, committed)?;
        self.raft.advance_apply();
        let applied = self.applied;
        for (_, request_id) in self.confirmed_reads.extract_if(.., |(index, _)| *index <= applied) {
            if let Some(sender) = self.pending_reads.remove(&request_id) {
                let _ = sender.send(true);
            }
        }
        Ok(())
    }

    /// Updates the role and the known leader. On loss of leadership, ends pending proposals and reads.
    fn update_role(&mut self, now: u64, is_leader: bool, leader: u64) {
        if leader != self.leader {
            (self.leader, self.leader_since_ms) = (leader, now);
        }
        if is_leader && !self.is_leader {
            let sessions = self.state.sessions().map(|(name, s)| (name, s.ttl_ms, s.renewals));
            self.session_expiry.start_leadership(now, sessions);
            (self.timers, self.timers_changed) = (Timers::default(), true);
        }
        if !is_leader && self.is_leader {
            // The next leader may commit these proposals, but this member will not learn the outcome.
            for (_, sender) in std::mem::take(&mut self.pending_proposals) {
                let _ = sender.send(ProposalOutcome::Unknown);
            }
            for (_, sender) in std::mem::take(&mut self.pending_reads) {
                let _ = sender.send(false);
            }
            self.confirmed_reads.clear();
            self.session_expiry = SessionExpiry::default();
        }
        self.is_leader = is_leader;
    }

    /// Replaces the state and the log with a leader's snapshot.
    fn install_snapshot(&mut self, snapshot: Snapshot) -> Result<(), CoordinatorError> {
        self.state = ReplicatedState::from_bytes(snapshot.get_data())
            .map_err(|e| CoordinatorError::Unusable(format!("can't read the leader's snapshot: {e}")))?;
        let metadata = snapshot.get_metadata();
        (self.applied, self.snapshot_index) = (metadata.index, metadata.index);
        self.conf_state = metadata.get_conf_state().clone();
        self.change_count += 1;
        let raft_error = |e: raft::Error| {
            CoordinatorError::Unusable(format!("the leader's snapshot does not match the log: {e}"))
        };
        self.log.memory.wl().apply_snapshot(snapshot.clone()).map_err(raft_error)?;
        *self.log.snapshot.borrow_mut() = snapshot;
        Ok(())
    }

    /// Applies committed entries to the replicated state and reports outcomes.
    fn apply(&mut self, now: u64, entries: Vec<Entry>) -> Result<(), CoordinatorError> {
        for entry in entries {
            self.applied = entry.index;
            match entry.get_entry_type() {
                EntryType::EntryNormal if !entry.data.is_empty() => {
                    let command: Command = serde_json::from_slice(&entry.data).map_err(|e| {
                        CoordinatorError::Unusable(format!(
                            "log entry {} was written by a newer program: {e}",
                            entry.index
                        ))
                    })?;
                    let answer = self.state.apply(&command);
                    self.track_deadlines(now, &command, &answer);
                    let request_id = entry.context.as_ref().try_into().map(u64::from_be_bytes);
                    if let Some(sender) = request_id.ok().and_then(|n| self.pending_proposals.remove(&n)) {
                        let _ = sender.send(ProposalOutcome::Applied(answer));
                    }
                }
                // A new leader's first entry is empty.
                EntryType::EntryNormal => {}
                EntryType::EntryConfChange => {
                    let change = raft::eraftpb::ConfChange::parse_from_bytes(&entry.data);
                    let change = change.map_err(|e| {
                        CoordinatorError::Unusable(format!("invalid membership change in the log: {e}"))
                    })?;
                    let conf_state = self.raft.apply_conf_change(&change);
                    self.conf_state = conf_state.map_err(|e| {
                        CoordinatorError::Unusable(format!("invalid membership change in the log: {e}"))
                    })?;
                    self.log.memory.wl().set_conf_state(self.conf_state.clone());
                    // An older snapshot does not list a newly added member, which would reject it.
                    self.log.snapshot_requested.set(true);
                    let address = String::from_utf8_lossy(&change.context).into_owned();
                    let is_member = change.get_change_type() != ConfChangeType::RemoveNode;
                    self.state.set_member(change.node_id, is_member.then_some(address));
                    let request_id = entry.context.as_ref().try_into().map(u64::from_be_bytes);
                    if let Some(sender) = request_id.ok().and_then(|n| self.pending_proposals.remove(&n)) {
                        let _ = sender.send(ProposalOutcome::MembersChanged);
                    }
                }
                EntryType::EntryConfChangeV2 => {
                    return Err(CoordinatorError::Unusable(
                        "the log holds a membership change that was written by a newer program".into(),
                    ));
                }
            }
            self.change_count += 1;
        }
        Ok(())
    }

    /// Updates the deadlines of sessions and timers after a commit; only at the leader.
    fn track_deadlines(&mut self, now: u64, command: &Command, answer: &Answer) {
        if !self.is_leader {
            return;
        }
        match (command, answer) {
            (Command::Open { session, .. }, Answer::Opened)
            | (Command::Renew { session }, Answer::Renewed) => {
                if let Some(s) = self.state.session(session) {
                    self.session_expiry.record_renewal(now, session, s.ttl_ms, s.renewals);
                }
            }
            (Command::Expire { session, .. } | Command::Close { session }, Answer::Closed) => {
                self.session_expiry.remove(session);
                self.timers_changed = true;
            }
            (Command::Ask { request: Request::Fleet { .. }, .. } | Command::Due { .. }, _) => {
                self.timers_changed = true
            }
            _ => {}
        }
    }

    /// Takes a snapshot if one was requested or enough entries have been applied, and compacts the log.
    fn take_snapshot_if_due(&mut self) -> Result<(), CoordinatorError> {
        let snapshot_requested = self.log.snapshot_requested.take();
        if self.applied < self.snapshot_index + SNAPSHOT_INTERVAL_ENTRIES
            && !(snapshot_requested && self.applied > self.snapshot_index)
        {
            return Ok(());
        }
        let raft_error = |e: raft::Error| CoordinatorError::Unusable(format!("the log is inconsistent: {e}"));
        let mut snapshot = Snapshot::default();
        snapshot.mut_metadata().index = self.applied;
        snapshot.mut_metadata().term = self.log.memory.term(self.applied).map_err(raft_error)?;
        snapshot.mut_metadata().set_conf_state(self.conf_state.clone());
        snapshot.set_data(self.state.to_bytes().into());
        let first_kept_index = self.applied.saturating_sub(ENTRIES_KEPT_BEFORE_SNAPSHOT);
        // The entries in a snapshot are committed: the persisted hard state's commit index must not be lower.
        let hard_state = self.log.memory.rl().hard_state().clone();
        let update = StoreUpdate {
            hard_state: Some(&hard_state),
            snapshot: Some(&snapshot),
            first_kept_index,
            ..StoreUpdate::default()
        };
        self.persist(&update)?;
        let first_index = self.log.memory.first_index().map_err(raft_error)?;
        if first_kept_index > first_index {
            self.log.memory.wl().compact(first_kept_index).map_err(raft_error)?;
        }
        self.snapshot_index = self.applied;
        *self.log.snapshot.borrow_mut() = snapshot;
        Ok(())
    }

    /// Takes the messages to send to other members.
    pub fn outgoing(&mut self) -> Vec<Message> {
        std::mem::take(&mut self.outgoing)
    }

    /// Returns the replicated state as far as this member has applied it.
    pub fn state(&self) -> &ReplicatedState {
        &self.state
    }

    /// Returns the remaining time of a session in ms; known only at the leader.
    pub fn session_time_left(&self, now: u64, session: &str) -> Option<u64> {
        self.session_expiry.remaining_ms(now, session)
    }

    /// Returns when the next session expires or timer is due, in ms of the clock passed to [`Core::poll`];
    /// only at the leader.
    pub fn next_deadline(&self) -> Option<u64> {
        self.session_expiry
            .next_expiry()
            .into_iter()
            .chain(self.timers.next_due())
            .min()
            .filter(|_| self.is_leader)
    }

    /// Returns whether this member leads, as far as it knows.
    pub fn is_leader(&self) -> bool {
        self.is_leader
    }

    /// Returns the leader as far as this member knows; 0 for none.
    pub fn leader(&self) -> u64 {
        self.leader
    }

    /// Returns this member's number.
    pub fn member(&self) -> u64 {
        self.raft.raft.id
    }

    /// Returns the current term.
    pub fn term(&self) -> u64 {
        self.raft.raft.term
    }

    /// Returns the index of the last committed entry, and of the last applied one.
    pub fn log_positions(&self) -> (u64, u64) {
        (self.raft.raft.raft_log.committed, self.applied)
    }

    /// Returns the voters with the last log index that each is known to have; the index is known only at the
    /// leader.
    pub fn members(&self) -> Vec<(u64, Option<u64>)> {
        let progress = self.raft.raft.prs();
        let matched = |id: u64| progress.get(id).map(|p| p.matched).filter(|_| self.is_leader);
        self.conf_state.voters.iter().map(|id| (*id, matched(*id))).collect()
    }

    /// Returns the members that do not vote yet.
    pub fn learners(&self) -> &[u64] {
        &self.conf_state.learners
    }

    /// Returns the number of proposals that wait for their commit.
    pub fn pending_proposal_count(&self) -> usize {
        self.pending_proposals.len()
    }
}
