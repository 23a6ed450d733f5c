//! The loop in which a process reads what the others of its node have stored, and stores its own state.

use std::rc::Rc;
use std::time::{Duration, Instant};

use mothpier_net::Net;
use tokio::sync::oneshot;

use super::{ProcessHandover, Share};
use crate::handover::process_share;
use crate::handover_store::OtherProcess;
use crate::messages::AdminCommand;
use crate::operations::Operations;

/// Interval between reads of the store. A drain must take effect in all processes within half a second.
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// The same while this process waits for the others before it serves.
const START_POLL_INTERVAL: Duration = Duration::from_millis(10);
/// How long this process waits for the others before it serves. One that hangs must not keep its successor out.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(2);
/// Number of polls between two writes of the server list, if it has changed.
const POLLS_PER_LIST: u32 = 10;

/// The loop's state.
struct Poll<N: Net> {
    net: N,
    operations: Rc<Operations<N>>,
    handover: Rc<ProcessHandover>,
    share: Rc<Share>,
    /// Number of polls so far.
    count: u32,
    /// Version of the server list that was stored last.
    known_list: u64,
    /// Until when this process waits for the others before it serves.
    answers_until: Instant,
}

/// Exchanges state with the other processes and applies it, for the lifetime of the node.
pub async fn run<N: Net>(operations: Rc<Operations<N>>, handover: Rc<ProcessHandover>, share: Rc<Share>) {
    let net = operations.net.clone();
    let answers_until = net.now() + ANSWER_TIMEOUT;
    let mut poll = Poll { net, operations, handover, share, count: 0, known_list: 0, answers_until };
    loop {
        poll.run_once().await;
        let is_starting = poll.operations.phase.awaits_processes();
        poll.net.sleep(if is_starting { START_POLL_INTERVAL } else { POLL_INTERVAL }).await;
    }
}

impl<N: Net> Poll<N> {
    async fn run_once(&mut self) {
        self.apply_stored_state().await;
        if self.count.is_multiple_of(POLLS_PER_LIST) {
            self.take_list().await;
        }
        self.count = self.count.wrapping_add(1);
        let others = self.handover.store.other_processes();
        self.exchange_request_ids(&others);
        self.handover.write_store(&self.net);
        let serving = self.operations.phase.accepts_clients();
        self.handover.publish_status(serving);
        self.divide_resources(serving, &others).await;
    }

    /// Applies what operators have called at any process.
    async fn apply_stored_state(&self) {
        let _command_lock = self.handover.command_lock().await;
        self.handover.read_store(&self.net);
        let (drained_servers, node_drained) = {
            let state = self.handover.state.borrow();
            (state.drained_servers(), state.is_node_drained())
        };
        self.operations.apply_handover_state(drained_servers, node_drained).await;
    }

    /// Takes the server list for the store, if it has changed.
    async fn take_list(&mut self) {
        let (reply, receiver) = oneshot::channel();
        let request = AdminCommand::ServerList { known_version: self.known_list, reply };
        let _ = self.operations.admin_commands.send(request).await;
        if let Ok(Some((version, list))) = receiver.await {
            self.known_list = version;
            let now_ms = self.net.unix_time().as_millis() as u64;
            self.handover.state.borrow_mut().set_list(now_ms, list);
        }
    }

    /// Exchanges request ids, and lets this process serve once all others take part.
    fn exchange_request_ids(&self, others: &[OtherProcess]) {
        let phase = &self.operations.phase;
        let is_followed = !others.is_empty() || phase.is_stopping();
        self.handover.follow_processes(&self.net, others);
        self.handover.exchange_run_ids(is_followed, self.net.now());
        if phase.awaits_processes() && !self.handover.must_wait_for(&self.net, others, self.answers_until) {
            phase.processes_known();
        }
    }

    /// Shares the node's resources with the other processes.
    async fn divide_resources(&self, serving: bool, others: &[OtherProcess]) {
        let part = process_share(serving, others.iter().map(|other| &other.status));
        if self.share.capacity.replace(part) != part {
            self.net.log(format_args!("this process has 1/{} of the node's capacity", (1.0 / part).round()));
            let _ = self.operations.admin_commands.send(AdminCommand::ProcessShare(part)).await;
        }
        let their_descriptors: usize = others.iter().map(|other| other.status.descriptors).sum();
        let sockets = self.handover.sockets;
        let free_share = sockets.saturating_sub(their_descriptors) as f64 / sockets.max(1) as f64;
        self.share.descriptors.set(part.min(free_share));
    }
}
