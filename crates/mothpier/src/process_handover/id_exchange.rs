//! The exchange of request ids between the processes of a node: which processes are looked up, and what is taken over
//! from those that have ended.

use std::collections::{BTreeMap, BTreeSet};
use std::io::ErrorKind;
use std::time::{Duration, Instant};

use mothpier_net::Net;

use super::ProcessHandover;
use crate::handover_store::{OtherProcess, ProcessTag};

impl ProcessHandover {
    /// Takes over the ids of unsafe requests that ran at other processes, as stored.
    pub(super) fn take_run_ids(&self, now: Instant) {
        let state = self.state.borrow();
        for hash in &state.run_ids {
            let age = state.run_id_ages_ms.get(hash).copied().map(Duration::from_millis);
            self.request_ids.add_run_id(*hash, age.unwrap_or_default(), now);
        }
    }

    /// Takes over the ids of unsafe requests that ran at other processes. Those that ran here are stored for a process
    /// of an earlier version, which looks nothing up, if there is another process, or may be one soon.
    pub(super) fn exchange_run_ids(&self, is_followed: bool, now: Instant) {
        self.take_run_ids(now);
        let mut state = self.state.borrow_mut();
        state.run_ids = if is_followed { self.request_ids.own_run_ids(now) } else { BTreeSet::new() };
        state.run_id_ages_ms = BTreeMap::new();
    }

    /// Stores all ids that must not be used for a while, as this process ends.
    pub fn store_run_ids(&self, net: &impl Net) {
        self.read_store(net);
        self.take_run_ids(net.now());
        let ages = self.request_ids.final_run_ids(net.now());
        {
            let mut state = self.state.borrow_mut();
            state.run_ids = ages.keys().copied().collect();
            state.run_id_ages_ms =
                ages.into_iter().map(|(hash, age)| (hash, age.as_millis() as u64)).collect();
        }
        self.write_store(net);
    }

    /// Looks request ids up at the processes that have come, and takes over those of the processes that have ended.
    pub(super) fn follow_processes(&self, net: &impl Net, others: &[OtherProcess]) {
        let live: BTreeSet<&ProcessTag> = others.iter().map(|other| &other.tag).collect();
        let known = self.request_ids.processes();
        let mut failure = self.request_ids.take_failure();
        // A process may be missing only because its status cannot be read now.
        let has_ended = |tag: &&ProcessTag| !live.contains(tag) && self.store.has_ended(tag);
        let ended: Vec<_> = known.iter().filter(has_ended).collect();
        if !ended.is_empty() {
            // What a process stored as it ended tells how old its ids are.
            self.read_store(net);
            self.take_run_ids(net.now());
        }
        for tag in ended {
            failure = self.request_ids.take_over(tag, net.now()).err().or(failure);
        }
        for tag in live.into_iter().filter(|tag| !known.contains(tag)) {
            let added = match self.store.open_id_table(tag) {
                Ok(table) => self.request_ids.add_process(tag.clone(), table, net.now()),
                // Processes of earlier versions have no table.
                Err(e) if e.kind() == ErrorKind::NotFound => Ok(()),
                Err(e) => Err(e),
            };
            failure = added.err().or(failure);
        }
        if self.request_ids.processes().is_empty() {
            self.request_ids.withdraw();
        }
        self.log_exchange_failure(net, failure);
    }

    /// Logs the first of a row of failures.
    fn log_exchange_failure(&self, net: &impl Net, failure: Option<std::io::Error>) {
        let was_failing = self.exchange_failing.replace(failure.is_some());
        match failure {
            Some(e) if !was_failing => {
                net.log(format_args!("cannot exchange request ids with another process: {e}; retrying"));
            }
            None if was_failing => net.log("request ids are exchanged with other processes again"),
            _ => {}
        }
    }

    /// Returns whether a process at which this one looks up request ids does not look up those of this one yet, and has
    /// time to.
    pub(super) fn must_wait_for(&self, net: &impl Net, others: &[OtherProcess], until: Instant) -> bool {
        let known = self.request_ids.processes();
        let mut followed = others.iter().filter(|other| known.contains(&other.tag));
        let Some(silent) = followed.find(|other| !other.status.looks_up_at.contains(self.store.tag())) else {
            return false;
        };
        let has_time = net.now() < until;
        if !has_time {
            net.log(format_args!("process {} of this node does not answer: serving without it", silent.tag));
        }
        has_time
    }
}
