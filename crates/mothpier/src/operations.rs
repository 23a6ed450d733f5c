//! Operations on a running node, independent of how they are called. A call succeeds once it is in effect.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use mothpier_coordination::FencedAction;
use mothpier_membership::admin_drain::AdminDrainError;
use mothpier_net::Net;
use tokio::sync::{mpsc, oneshot};

use crate::clients::Clients;
use crate::handover::HandoverState;
use crate::lease_authority::LeaseAuthority;
use crate::messages::AdminCommand;
use crate::metrics::{Metrics, StateMetrics};
use crate::phase::{DrainSource, ServingPhase};
use crate::process_handover::ProcessHandover;

/// Delay between draining the node and closing its connections. A load balancer in front may check readiness
/// only every 0.1 s and sends new connections for another 0.2 s after the first failed check; the rest covers
/// what is in transit.
const DRAIN_CLOSE_DELAY: Duration = Duration::from_millis(600);

/// An operator's call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Call {
    /// Whether this process is ready to serve.
    Ready,
    /// The metrics.
    Telemetry,
    /// The clock against which the expiry of calls on behalf of a lease is checked.
    Clock,
    /// Drains a cache server.
    Exclude(String),
    /// Returns a cache server to service.
    Include(String),
    /// Drains this node.
    Evacuate,
    /// Returns this node to service.
    Rejoin,
}

/// The result of a call, with a text for the operator.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reply {
    /// The call is in effect.
    Done(String),
    /// The named item does not exist.
    NotFound(String),
    /// The call cannot be carried out in the current state.
    Unavailable(String),
    /// The lease on whose behalf the call was made is not accepted.
    LeaseRejected(String),
}

/// The components that operations act on.
pub struct Operations<N: Net> {
    pub net: N,
    pub phase: Rc<ServingPhase>,
    pub metrics: Rc<Metrics>,
    pub clients: Rc<Clients<N>>,
    /// Commands to the event loop, which take precedence over client requests.
    pub admin_commands: mpsc::Sender<AdminCommand>,
    /// Present if this process can hand over to a successor.
    pub handover: Option<Rc<ProcessHandover>>,
    /// Present if lease holders may call operations.
    pub lease_authority: Option<Rc<LeaseAuthority<N>>>,
}

impl<N: Net> Operations<N> {
    /// Carries out a call, on behalf of a lease if `act` is given.
    pub async fn call(self: Rc<Self>, call: Call, act: Option<FencedAction>) -> Reply {
        let handover =
            self.handover.clone().filter(|_| !matches!(call, Call::Ready | Call::Telemetry | Call::Clock));
        let _command_lock = match &handover {
            Some(handover) => Some(handover.command_lock().await),
            None => None,
        };
        if let Some(act) = act {
            // Checked after the lock was taken: the lease may have expired while waiting for it.
            let allowed = match &self.lease_authority {
                Some(authority) => authority.authorize(&act),
                None => Err("this node knows no coordinators: nobody is obeyed in a lease's name".into()),
            };
            if let Err(why) = allowed {
                return Reply::LeaseRejected(format!("not done: {why}\n"));
            }
        }
        match call {
            Call::Clock => match &self.lease_authority {
                Some(authority) => Reply::Done(authority.clock_json()),
                None => Reply::NotFound("this node knows no coordinators\n".into()),
            },
            Call::Ready => match self.phase.ready() {
                Ok(()) => {
                    if let Some(handover) = &self.handover {
                        handover.publish_status(self.phase.accepts_clients());
                    }
                    Reply::Done("ready\n".into())
                }
                Err(why) => Reply::Unavailable(format!("not ready: {why}\n")),
            },
            Call::Telemetry => self.scrape().await,
            Call::Exclude(id) => self.set_server_drained(id, true).await,
            Call::Include(id) => self.set_server_drained(id, false).await,
            Call::Evacuate => {
                self.clone().drain(DrainSource::Operator);
                let kept = self.persist(|state, now| state.set_node_drained(now, true));
                Reply::Done(format!("evacuating\n{kept}"))
            }
            Call::Rejoin => {
                self.undrain(DrainSource::Operator);
                let kept = self.persist(|state, now| state.set_node_drained(now, false));
                match self.phase.ready() {
                    Ok(()) => Reply::Done(format!("at work\n{kept}")),
                    Err(why) => Reply::Unavailable(format!("not at work: {why}\n")),
                }
            }
        }
    }

    /// Collects the metrics.
    async fn scrape(&self) -> Reply {
        let (reply, receiver) = oneshot::channel();
        let sent = self.admin_commands.send(AdminCommand::StateCounts(reply)).await;
        let Ok((members, unavailable)) = receiver.await else { return node_ended(sent.is_err()) };
        let pending = self.clients.pending_request_count();
        let (reserved_for_requests, reserved_for_values) = self.clients.reserved_memory();
        let gauges =
            StateMetrics { pending, members, unavailable, reserved_for_requests, reserved_for_values };
        match self.metrics.text(gauges) {
            Ok(text) => Reply::Done(text),
            Err(e) => Reply::Unavailable(format!("the metrics cannot be written: {e}\n")),
        }
    }

    /// Stores a change for the next process. Returns a line for the operator if that fails for now.
    fn persist(&self, change: impl FnOnce(&mut HandoverState, u64)) -> String {
        let Some(handover) = &self.handover else { return String::new() };
        match handover.update(&self.net, change) {
            Ok(()) => String::new(),
            Err(not_kept) => format!("{not_kept}\n"),
        }
    }

    /// Drains a server, or returns it to service.
    async fn set_server_drained(&self, id: String, drained: bool) -> Reply {
        let (reply, receiver) = oneshot::channel();
        let sent =
            self.admin_commands.send(AdminCommand::SetServerDrained { id: id.clone(), drained, reply }).await;
        let Ok(done) = receiver.await else { return node_ended(sent.is_err()) };
        let what = if drained { "out by hand" } else { "may serve" };
        match done {
            Ok(changed) => {
                let kept = self.persist(|state, now| state.set_server_drained(now, &id, drained));
                if changed {
                    self.net.log(format_args!("cache server {id} {what}"));
                }
                Reply::Done(format!("{id} {what}\n{kept}"))
            }
            Err(why @ AdminDrainError::Unknown) => {
                Reply::NotFound(format!("{id:?}: {}\n", why.description()))
            }
            Err(why) => Reply::Unavailable(format!("{id:?}: {}\n", why.description())),
        }
    }

    /// Applies the drains by operators that the processes of this node share.
    pub async fn apply_handover_state(self: &Rc<Self>, servers: BTreeMap<String, u64>, node_drained: bool) {
        let _ = self.admin_commands.send(AdminCommand::ReplaceDrained(servers)).await;
        if node_drained {
            self.clone().drain(DrainSource::Operator);
        } else {
            self.undrain(DrainSource::Operator);
        }
    }

    /// Ends a drain of this node.
    pub fn undrain(&self, source: DrainSource) {
        if self.phase.end_drain(source) {
            self.net.log("drain ended: accepting requests again");
        }
    }

    /// Drains this node: it reports not ready at once, and closes its connections after a delay.
    pub fn drain(self: Rc<Self>, source: DrainSource) {
        if let Some(drain) = self.phase.begin_drain(source) {
            let by = if source == DrainSource::Operator {
                "drained by an operator"
            } else {
                "drained by the fleet"
            };
            self.net.log(format_args!("{by}: open requests are finished, then connections close"));
            let net = self.net.clone();
            net.clone().spawn(async move {
                net.sleep(DRAIN_CLOSE_DELAY).await;
                self.phase.close_drained(drain, net.now());
            });
        }
    }
}

/// The reply if the event loop has ended.
fn node_ended(not_sent: bool) -> Reply {
    let what = if not_sent { "the node has ended" } else { "the node ended meanwhile" };
    Reply::Unavailable(format!("{what}\n"))
}
