//! One member: the consensus library over the store, and the agreed state at the end of it. No sockets and no tasks: who
//! drives it hands in messages and the clock, and takes away messages and answers.

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

use crate::store::{Found, Kept, Store, Trouble};

/// Ticks without a leader until a member stands for election: between so many and twice as many.
pub const ELECTION: usize = 10;
/// Ticks between a leader's words.
const HEARTBEAT: usize = 2;
/// Bytes of the log in one message between members: a member that was away is not sent all of it at once.
const MESSAGE: u64 = 1024 * 1024;
/// Messages under way to one member.
const INFLIGHT: usize = 64;
/// Bytes proposed and not committed: beyond them proposals are turned away.
const UNCOMMITTED: u64 = 8 * 1024 * 1024;
/// Lines applied since the last snapshot until the next one.
const SNAPSHOT_EVERY: u64 = 10_000;
/// Lines kept behind a snapshot, so that a member that is a little late needs no snapshot.
const KEPT_BEHIND: u64 = 1_000;
/// Members: an even number bears no more deaths than the odd one before it, and each write waits for most of them.
pub const MOST_MEMBERS: usize = 7;
/// One that lags by no more lines than this votes from then on.
const CAUGHT_UP: u64 = 100;
/// A proposal to end a session, or that a timer is due, is made again after this time: it may have been lost with its
/// leader.
const EXPIRE_AGAIN_MS: u64 = 1_000;

/// The log in memory, as the library reads it; snapshots are this member's own.
#[derive(Clone)]
pub struct Log {
    lines: MemStorage,
    snapshot: Rc<RefCell<Snapshot>>,
    /// Somebody needs a newer snapshot than there is.
    wanted: Rc<Cell<bool>>,
}

impl Storage for Log {
    fn initial_state(&self) -> raft::Result<RaftState> {
        self.lines.initial_state()
    }

    fn entries(
        &self,
        low: u64,
        high: u64,
        most: impl Into<Option<u64>>,
        context: GetEntriesContext,
    ) -> raft::Result<Vec<Entry>> {
        self.lines.entries(low, high, most, context)
    }

    fn term(&self, index: u64) -> raft::Result<u64> {
        self.lines.term(index)
    }

    fn first_index(&self) -> raft::Result<u64> {
        self.lines.first_index()
    }

    fn last_index(&self) -> raft::Result<u64> {
        self.lines.last_index()
    }

    fn snapshot(&self, least: u64, _to: u64) -> raft::Result<Snapshot> {
        let snapshot = self.snapshot.borrow();
        if snapshot.get_metadata().index < least {
            self.wanted.set(true);
            return Err(raft::Error::Store(raft::StorageError::SnapshotTemporarilyUnavailable));
        }
        Ok(snapshot.clone())
    }
}

/// How a proposal ended.
#[derive(Debug, PartialEq, Eq)]
pub enum Ended {
    /// It was committed, and this came of it.
    Answered(Answer),
    /// The members are as was asked.
    Changed,
    /// It was not proposed: this member does not lead.
    NotLeading,
    /// It was proposed and may yet be committed under another leader.
    Unknown,
}

/// A member.
pub struct Core {
    raft: RawNode<Log>,
    log: Log,
    /// `None` once its disk has failed: this member says nothing more.
    store: Option<Store>,
    conf: ConfState,
    agreed: ReplicatedState,
    keeper: SessionExpiry,
    timers: Timers,
    /// The fleet may want other timers than it did.
    moved: bool,
    leads: bool,
    applied: u64,
    snapshot_at: u64,
    /// Proposals by their number, which the log's lines carry.
    proposals: BTreeMap<u64, oneshot::Sender<Ended>>,
    reads: BTreeMap<u64, oneshot::Sender<bool>>,
    /// Reads that a majority has confirmed, by the line that has to be applied first.
    confirmed: Vec<(u64, u64)>,
    numbers: u64,
    /// Drawn at the start: numbers of this life are no other's.
    life: u64,
    outgoing: Vec<Message>,
    /// When the present leader was first seen, in ms of the machine's clock.
    pub since: u64,
    leader: u64,
    /// What watchers wait for: rises with each change.
    pub synced: u64,
}

impl Core {
    /// A member that goes on from what its store holds.
    ///
    /// # Errors
    ///
    /// A state that a newer program wrote, and one that is damaged.
    pub fn new(store: Store, found: Found, life: u64) -> Result<Core, Trouble> {
        let refused = |e: raft::Error| Trouble::Unusable(format!("the store's parts don't fit: {e}"));
        let meta = found.snapshot.get_metadata().clone();
        let joins = meta.index == 0;
        let agreed = match joins {
            true => ReplicatedState::default(),
            false => ReplicatedState::from_bytes(found.snapshot.get_data())
                .map_err(|e| Trouble::Unusable(format!("the snapshot in the store: {e}")))?,
        };
        let lines = MemStorage::new();
        {
            let mut lines = lines.wl();
            if !joins {
                lines.apply_snapshot(found.snapshot.clone()).map_err(refused)?;
            }
            lines.append(&found.entries).map_err(refused)?;
            lines.set_hardstate(found.vote);
        }
        let log =
            Log { lines, snapshot: Rc::new(RefCell::new(found.snapshot)), wanted: Rc::new(Cell::new(false)) };
        let config = Config {
            id: found.about.member,
            election_tick: ELECTION,
            heartbeat_tick: HEARTBEAT,
            applied: meta.index,
            max_size_per_msg: MESSAGE,
            max_inflight_msgs: INFLIGHT,
            check_quorum: true,
            pre_vote: true,
            max_uncommitted_size: UNCOMMITTED,
            ..Config::default()
        };
        let quiet = slog::Logger::root(slog::Discard, slog::o!());
        let raft = RawNode::new(&config, log.clone(), &quiet).map_err(refused)?;
        Ok(Core {
            raft,
            log,
            store: Some(store),
            conf: meta.get_conf_state().clone(),
            agreed,
            keeper: SessionExpiry::default(),
            timers: Timers::default(),
            moved: false,
            leads: false,
            applied: meta.index,
            snapshot_at: meta.index,
            proposals: BTreeMap::new(),
            reads: BTreeMap::new(),
            confirmed: Vec::new(),
            numbers: 0,
            life,
            outgoing: Vec::new(),
            since: 0,
            leader: 0,
            synced: 0,
        })
    }

    /// Alone it need not wait for anybody.
    pub fn lead_if_alone(&mut self) {
        if self.conf.voters == [self.raft.raft.id] {
            let _ = self.raft.campaign();
        }
    }

    /// A tick of the clock that elections go by.
    pub fn tick(&mut self) {
        self.raft.tick();
    }

    /// A tick in a world without chance: a member that hears of no leader waits so many ticks, from [`ELECTION`] to below
    /// twice as many, where the library would draw them.
    pub fn tick_of(&mut self, patience: usize) {
        self.raft.raft.set_randomized_election_timeout(patience);
        self.raft.tick();
    }

    /// Ends this member's part: its store is closed, who waits for something is told that it is not known, and nothing is
    /// voted, granted or confirmed any more.
    pub fn halt(&mut self) {
        self.store = None;
        self.outgoing.clear();
        self.led(self.since, false, 0);
    }

    fn keep(&self, change: &Kept<'_>) -> Result<(), Trouble> {
        let closed = || Trouble::DiskFails("the store is closed since its disk failed".into());
        self.store.as_ref().ok_or_else(closed)?.keep(change)
    }

    /// A message of another member. One that is of no use is dropped: the library's own rule.
    pub fn message(&mut self, message: Message) {
        let _ = self.raft.step(message);
    }

    /// A member could not be reached.
    pub fn unreachable(&mut self, member: u64) {
        self.raft.report_unreachable(member);
    }

    fn number(&mut self) -> u64 {
        self.numbers += 1;
        self.life.wrapping_add(self.numbers)
    }

    /// Proposes a command; what comes of it is told later.
    pub fn propose(&mut self, command: &Command) -> oneshot::Receiver<Ended> {
        let (tell, told) = oneshot::channel();
        let number = self.number();
        let bytes = serde_json::to_vec(command).unwrap_or_default();
        // A follower would pass it on and hear nothing of it.
        if !self.leads || self.raft.propose(number.to_be_bytes().to_vec(), bytes).is_err() {
            let _ = tell.send(Ended::NotLeading);
        } else {
            self.proposals.insert(number, tell);
        }
        told
    }

    /// Proposes a change of members; what comes of it is told later.
    ///
    /// # Errors
    ///
    /// Why it can't be proposed.
    pub fn change(&mut self, change: &MemberChange) -> Result<oneshot::Receiver<Ended>, String> {
        let (tell, told) = oneshot::channel();
        if !self.leads {
            let _ = tell.send(Ended::NotLeading);
            return Ok(told);
        }
        let known = |id: &u64| self.conf.voters.contains(id) || self.conf.learners.contains(id);
        let mut proposed = ConfChange::default();
        match change {
            MemberChange::Add { member, address } => {
                if known(member) && self.agreed.members().get(member) == Some(&address.to_string()) {
                    // Asked again: it is one already.
                    let _ = tell.send(Ended::Changed);
                    return Ok(told);
                }
                let last = self.agreed.last_member();
                if *member <= last {
                    return Err(format!(
                        "{member} was a member's number: take {} or higher, for who had it may have voted",
                        last + 1
                    ));
                }
                if self.conf.voters.len() + self.conf.learners.len() >= MOST_MEMBERS {
                    return Err(format!("{MOST_MEMBERS} members at the most"));
                }
                proposed.node_id = *member;
                proposed.set_change_type(ConfChangeType::AddLearnerNode);
                proposed.set_context(address.to_string().into_bytes().into());
            }
            MemberChange::Remove { member } => {
                if !known(member) {
                    let _ = tell.send(Ended::Changed);
                    return Ok(told);
                }
                if self.conf.voters.contains(member) && self.conf.voters.len() == 1 {
                    return Err("it is the only one that votes".into());
                }
                if *member == self.member() {
                    // Another one leads first, and does it.
                    let next = self.conf.voters.iter().find(|v| *v != member);
                    next.copied().into_iter().for_each(|next| self.raft.transfer_leader(next));
                    let _ = tell.send(Ended::NotLeading);
                    return Ok(told);
                }
                proposed.node_id = *member;
                proposed.set_change_type(ConfChangeType::RemoveNode);
            }
        }
        self.propose_change(proposed, tell);
        Ok(told)
    }

    fn propose_change(&mut self, change: ConfChange, tell: oneshot::Sender<Ended>) {
        if self.raft.raft.has_pending_conf() {
            // One at a time: asked again a little later.
            let _ = tell.send(Ended::NotLeading);
            return;
        }
        let number = self.number();
        match self.raft.propose_conf_change(number.to_be_bytes().to_vec(), change) {
            Ok(()) => drop(self.proposals.insert(number, tell)),
            Err(_) => drop(tell.send(Ended::NotLeading)),
        }
    }

    /// A member that has what the others have votes from now on.
    fn promote(&mut self) {
        if !self.leads || self.conf.learners.is_empty() || self.raft.raft.has_pending_conf() {
            return;
        }
        let (committed, _) = self.lines();
        let ready = self.conf.learners.iter().copied().find(|id| {
            let matched = self.raft.raft.prs().get(*id).map_or(0, |p| p.matched);
            matched > 0 && matched + CAUGHT_UP >= committed
        });
        let Some(member) = ready else { return };
        let mut change = ConfChange { node_id: member, ..ConfChange::default() };
        change.set_change_type(ConfChangeType::AddNode);
        let address = self.agreed.members().get(&member).cloned().unwrap_or_default();
        change.set_context(address.into_bytes().into());
        let (tell, _) = oneshot::channel();
        self.propose_change(change, tell);
    }

    /// Asks a majority whether this member still leads: true once all that was committed before is applied here.
    pub fn read(&mut self) -> oneshot::Receiver<bool> {
        let (tell, told) = oneshot::channel();
        let number = self.number();
        if self.leads && self.raft.raft.commit_to_current_term() {
            self.raft.read_index(number.to_be_bytes().to_vec());
            self.reads.insert(number, tell);
        } else {
            let _ = tell.send(false);
        }
        told
    }

    /// Does all that is to be done now: keeps, applies, answers. What is to be sent is in `outgoing`.
    ///
    /// # Errors
    ///
    /// The store failed, or the log holds what this program can't read: it must end.
    pub fn turn(&mut self, now: u64) -> Result<(), Trouble> {
        if self.leads {
            for expire in self.keeper.take_due(now, EXPIRE_AGAIN_MS) {
                drop(self.propose(&expire));
            }
            for timer in self.timers.take_due(now, EXPIRE_AGAIN_MS) {
                drop(self.propose(&Command::Due { timer }));
            }
        }
        self.promote();
        while self.raft.has_ready() {
            self.ready(now)?;
        }
        if std::mem::take(&mut self.moved) && self.leads {
            self.timers.update(now, &self.agreed.fleet().timers());
        }
        self.snapshot()
    }

    fn ready(&mut self, now: u64) -> Result<(), Trouble> {
        let mut ready = self.raft.ready();
        self.outgoing.extend(ready.take_messages());
        if let Some(soft) = ready.ss() {
            let (leads, leader) = (soft.raft_state == StateRole::Leader, soft.leader_id);
            self.led(now, leads, leader);
        }
        let snapshot = ready.snapshot();
        let taken = (!snapshot.is_empty()).then(|| snapshot.clone());
        if taken.is_some() || !ready.entries().is_empty() || ready.hs().is_some() {
            self.keep(&Kept {
                vote: ready.hs(),
                entries: ready.entries(),
                snapshot: taken.as_ref(),
                replaces: taken.is_some(),
                keep_from: 0,
            })?;
            let refused = |e: raft::Error| Trouble::Unusable(format!("the log's parts don't fit: {e}"));
            if let Some(taken) = taken {
                self.take_over(taken)?;
            }
            let mut lines = self.log.lines.wl();
            lines.append(ready.entries()).map_err(refused)?;
            if let Some(vote) = ready.hs() {
                lines.set_hardstate(vote.clone());
            }
        }
        self.outgoing.extend(ready.take_persisted_messages());
        for state in ready.take_read_states() {
            if let Ok(number) = state.request_ctx.as_slice().try_into().map(u64::from_be_bytes) {
                self.confirmed.push((state.index, number));
            }
        }
        let committed = ready.take_committed_entries();
        self.apply(now, committed)?;
        let mut light = self.raft.advance(ready);
        if let Some(commit) = light.commit_index() {
            self.log.lines.wl().mut_hard_state().commit = commit;
        }
        self.outgoing.extend(light.take_messages());
        let committed = light.take_committed_entries();
        self.apply(now, committed)?;
        self.raft.advance_apply();
        let applied = self.applied;
        for (_, number) in self.confirmed.extract_if(.., |(index, _)| *index <= applied) {
            if let Some(tell) = self.reads.remove(&number) {
                let _ = tell.send(true);
            }
        }
        Ok(())
    }

    fn led(&mut self, now: u64, leads: bool, leader: u64) {
        if leader != self.leader {
            (self.leader, self.since) = (leader, now);
        }
        if leads && !self.leads {
            let sessions = self.agreed.sessions().map(|(name, s)| (name, s.ttl_ms, s.renewals));
            self.keeper.start_leadership(now, sessions);
            (self.timers, self.moved) = (Timers::default(), true);
        }
        if !leads && self.leads {
            // Whoever leads now may commit them; nobody here will hear of it.
            for (_, tell) in std::mem::take(&mut self.proposals) {
                let _ = tell.send(Ended::Unknown);
            }
            for (_, tell) in std::mem::take(&mut self.reads) {
                let _ = tell.send(false);
            }
            self.confirmed.clear();
            self.keeper = SessionExpiry::default();
        }
        self.leads = leads;
    }

    fn take_over(&mut self, snapshot: Snapshot) -> Result<(), Trouble> {
        self.agreed = ReplicatedState::from_bytes(snapshot.get_data())
            .map_err(|e| Trouble::Unusable(format!("a snapshot of the leader's: {e}")))?;
        let meta = snapshot.get_metadata();
        (self.applied, self.snapshot_at) = (meta.index, meta.index);
        self.conf = meta.get_conf_state().clone();
        self.synced += 1;
        let refused =
            |e: raft::Error| Trouble::Unusable(format!("a snapshot of the leader's does not fit: {e}"));
        self.log.lines.wl().apply_snapshot(snapshot.clone()).map_err(refused)?;
        *self.log.snapshot.borrow_mut() = snapshot;
        Ok(())
    }

    fn apply(&mut self, now: u64, entries: Vec<Entry>) -> Result<(), Trouble> {
        for entry in entries {
            self.applied = entry.index;
            match entry.get_entry_type() {
                EntryType::EntryNormal if !entry.data.is_empty() => {
                    let command: Command = serde_json::from_slice(&entry.data).map_err(|e| {
                        Trouble::Unusable(format!(
                            "line {} of the log is of a newer program: {e}",
                            entry.index
                        ))
                    })?;
                    let answer = self.agreed.apply(&command);
                    self.keep_time(now, &command, &answer);
                    let number = entry.context.as_ref().try_into().map(u64::from_be_bytes);
                    if let Some(tell) = number.ok().and_then(|n| self.proposals.remove(&n)) {
                        let _ = tell.send(Ended::Answered(answer));
                    }
                }
                // An empty line is a new leader's first.
                EntryType::EntryNormal => {}
                EntryType::EntryConfChange => {
                    let change = raft::eraftpb::ConfChange::parse_from_bytes(&entry.data);
                    let change =
                        change.map_err(|e| Trouble::Unusable(format!("a change of members: {e}")))?;
                    let conf = self.raft.apply_conf_change(&change);
                    self.conf = conf.map_err(|e| Trouble::Unusable(format!("a change of members: {e}")))?;
                    self.log.lines.wl().set_conf_state(self.conf.clone());
                    // A snapshot from before does not name who has just come: that one would refuse it.
                    self.log.wanted.set(true);
                    let address = String::from_utf8_lossy(&change.context).into_owned();
                    let stays = change.get_change_type() != ConfChangeType::RemoveNode;
                    self.agreed.set_member(change.node_id, stays.then_some(address));
                    let number = entry.context.as_ref().try_into().map(u64::from_be_bytes);
                    if let Some(tell) = number.ok().and_then(|n| self.proposals.remove(&n)) {
                        let _ = tell.send(Ended::Changed);
                    }
                }
                EntryType::EntryConfChangeV2 => {
                    return Err(Trouble::Unusable(
                        "the log holds a change of members of a newer program".into(),
                    ));
                }
            }
            self.synced += 1;
        }
        Ok(())
    }

    /// A leader keeps the sessions' times from the commit on.
    fn keep_time(&mut self, now: u64, command: &Command, answer: &Answer) {
        if !self.leads {
            return;
        }
        match (command, answer) {
            (Command::Open { session, .. }, Answer::Opened)
            | (Command::Renew { session }, Answer::Renewed) => {
                if let Some(s) = self.agreed.session(session) {
                    self.keeper.record_renewal(now, session, s.ttl_ms, s.renewals);
                }
            }
            (Command::Expire { session, .. } | Command::Close { session }, Answer::Closed) => {
                self.keeper.remove(session);
                self.moved = true;
            }
            (Command::Ask { request: Request::Fleet { .. }, .. } | Command::Due { .. }, _) => {
                self.moved = true
            }
            _ => {}
        }
    }

    fn snapshot(&mut self) -> Result<(), Trouble> {
        let wanted = self.log.wanted.take();
        if self.applied < self.snapshot_at + SNAPSHOT_EVERY && !(wanted && self.applied > self.snapshot_at) {
            return Ok(());
        }
        let refused = |e: raft::Error| Trouble::Unusable(format!("the log's parts don't fit: {e}"));
        let mut snapshot = Snapshot::default();
        snapshot.mut_metadata().index = self.applied;
        snapshot.mut_metadata().term = self.log.lines.term(self.applied).map_err(refused)?;
        snapshot.mut_metadata().set_conf_state(self.conf.clone());
        snapshot.set_data(self.agreed.to_bytes().into());
        let keep_from = self.applied.saturating_sub(KEPT_BEHIND);
        // What a snapshot stands for is committed: the vote that is kept must say no less.
        let vote = self.log.lines.rl().hard_state().clone();
        let kept = Kept { vote: Some(&vote), snapshot: Some(&snapshot), keep_from, ..Kept::default() };
        self.keep(&kept)?;
        let first = self.log.lines.first_index().map_err(refused)?;
        if keep_from > first {
            self.log.lines.wl().compact(keep_from).map_err(refused)?;
        }
        self.snapshot_at = self.applied;
        *self.log.snapshot.borrow_mut() = snapshot;
        Ok(())
    }

    /// What is to be sent to other members.
    pub fn outgoing(&mut self) -> Vec<Message> {
        std::mem::take(&mut self.outgoing)
    }

    /// What is agreed, as far as this member knows.
    pub fn agreed(&self) -> &ReplicatedState {
        &self.agreed
    }

    /// What is left of a session's time, at a leader.
    pub fn left(&self, now: u64, session: &str) -> Option<u64> {
        self.keeper.remaining_ms(now, session)
    }

    /// When a session ends that is not renewed, or a timer is due, in ms of the machine's clock; at a leader.
    pub fn next_end(&self) -> Option<u64> {
        self.keeper.next_expiry().into_iter().chain(self.timers.next_due()).min().filter(|_| self.leads)
    }

    /// Whether this member leads, as far as it knows.
    pub fn leads(&self) -> bool {
        self.leads
    }

    /// The member that leads, as far as this one knows; 0 for none.
    pub fn leader(&self) -> u64 {
        self.leader
    }

    /// This member's number.
    pub fn member(&self) -> u64 {
        self.raft.raft.id
    }

    /// The term.
    pub fn term(&self) -> u64 {
        self.raft.raft.term
    }

    /// The last line that is committed, and the last that is applied.
    pub fn lines(&self) -> (u64, u64) {
        (self.raft.raft.raft_log.committed, self.applied)
    }

    /// The members that vote, and the last line that each is known to have; known to a leader.
    pub fn members(&self) -> Vec<(u64, Option<u64>)> {
        let progress = self.raft.raft.prs();
        let matched = |id: u64| progress.get(id).map(|p| p.matched).filter(|_| self.leads);
        self.conf.voters.iter().map(|id| (*id, matched(*id))).collect()
    }

    /// Those that are to vote.
    pub fn learners(&self) -> &[u64] {
        &self.conf.learners
    }

    /// Proposals that wait for their commit.
    pub fn waiting(&self) -> usize {
        self.proposals.len()
    }
}
