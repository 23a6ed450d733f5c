//! What the operators' staff can ask of a running node, however they reach it. A yes is said when the thing is in effect.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use mothpier_coordination::FencedAction;
use mothpier_membership::admin_drain::AdminDrainError;
use mothpier_net::Net;
use tokio::sync::{mpsc, oneshot};

use crate::clients::Clients;
use crate::handover::State;
use crate::lease_authority::LeaseAuthority;
use crate::messages::AdminCommand;
use crate::metrics::{Metrics, StateMetrics};
use crate::phase::{DrainSource, ServingPhase};
use crate::process_handover::ProcessHandover;

/// After a front has heard the first no it sends new connections for another 0.2 s, and it may ask only every 0.1 s;
/// the rest is for what is on its way.
const STILL_COMING: Duration = Duration::from_millis(600);

/// A call of the staff.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Call {
    /// Whether this process is ready to serve.
    Ready,
    /// The figures.
    Figures,
    /// What the clock says by which the time of a lease's orders is told.
    Clock,
    /// Nothing more to this cache server.
    Exclude(String),
    /// This cache server may serve again.
    Include(String),
    /// Empty the node.
    Evacuate,
    /// Back to work.
    Rejoin,
}

/// What comes of it: a yes with a text, or a no and its reason.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reply {
    /// It is so.
    Yes(String),
    /// The thing that it names is not there.
    NotFound(String),
    /// It can't be, as things stand.
    No(String),
    /// Whoever orders it in a lease's name is not obeyed.
    Disobeyed(String),
}

/// The parts of the node that obey.
pub struct Operations<N: Net> {
    pub net: N,
    pub phase: Rc<ServingPhase>,
    pub figures: Rc<Metrics>,
    pub clients: Rc<Clients<N>>,
    /// Before all that clients ask.
    pub orders: mpsc::Sender<AdminCommand>,
    /// Where another process may take this one's place.
    pub succession: Option<Rc<ProcessHandover>>,
    /// Where holders of leases may give orders.
    pub obeying: Option<Rc<LeaseAuthority<N>>>,
}

impl<N: Net> Operations<N> {
    /// Carries out a call, in the name of a lease where one is named.
    pub async fn call(self: Rc<Self>, call: Call, act: Option<FencedAction>) -> Reply {
        let succession =
            self.succession.clone().filter(|_| !matches!(call, Call::Ready | Call::Figures | Call::Clock));
        let _turn = match &succession {
            Some(succession) => Some(succession.turn().await),
            None => None,
        };
        if let Some(act) = act {
            // Now, and not when it came: it may have waited for its turn.
            let obeyed = match &self.obeying {
                Some(obeying) => obeying.obey(&act),
                None => Err("this node knows no coordinators: nobody is obeyed in a lease's name".into()),
            };
            if let Err(why) = obeyed {
                return Reply::Disobeyed(format!("not done: {why}\n"));
            }
        }
        match call {
            Call::Clock => match &self.obeying {
                Some(obeying) => Reply::Yes(obeying.clock()),
                None => Reply::NotFound("this node knows no coordinators\n".into()),
            },
            Call::Ready => match self.phase.ready() {
                Ok(()) => {
                    if let Some(succession) = &self.succession {
                        succession.tell(self.phase.serves());
                    }
                    Reply::Yes("ready\n".into())
                }
                Err(why) => Reply::No(format!("not ready: {why}\n")),
            },
            Call::Figures => self.scrape().await,
            Call::Exclude(id) => self.by_hand(id, true).await,
            Call::Include(id) => self.by_hand(id, false).await,
            Call::Evacuate => {
                self.clone().empty(DrainSource::Hand);
                let kept = self.keep(|state, now| state.empty(now, true));
                Reply::Yes(format!("evacuating\n{kept}"))
            }
            Call::Rejoin => {
                self.refill(DrainSource::Hand);
                let kept = self.keep(|state, now| state.empty(now, false));
                match self.phase.ready() {
                    Ok(()) => Reply::Yes(format!("at work\n{kept}")),
                    Err(why) => Reply::No(format!("not at work: {why}\n")),
                }
            }
        }
    }

    async fn scrape(&self) -> Reply {
        let (tell, told) = oneshot::channel();
        let asked = self.orders.send(AdminCommand::StateCounts(tell)).await;
        let Ok((members, unavailable)) = told.await else { return ended(asked.is_err()) };
        let states = StateMetrics { pending: self.clients.pending(), members, unavailable };
        match self.figures.text(states) {
            Ok(text) => Reply::Yes(text),
            Err(e) => Reply::No(format!("the figures can't be written: {e}\n")),
        }
    }

    /// Keeps what staff said for the next process; a line for them where that is not possible now.
    fn keep(&self, change: impl FnOnce(&mut State, u64)) -> String {
        let Some(succession) = &self.succession else { return String::new() };
        match succession.said(&self.net, change) {
            Ok(()) => String::new(),
            Err(not_kept) => format!("{not_kept}\n"),
        }
    }

    async fn by_hand(&self, id: String, out: bool) -> Reply {
        let (tell, told) = oneshot::channel();
        let asked = self.orders.send(AdminCommand::SetServerDrained { id: id.clone(), out, tell }).await;
        let Ok(done) = told.await else { return ended(asked.is_err()) };
        let what = if out { "out by hand" } else { "may serve" };
        match done {
            Ok(changed) => {
                let kept = self.keep(|state, now| state.hand(now, &id, out));
                if changed {
                    self.net.log(format_args!("cache server {id} {what}"));
                }
                Reply::Yes(format!("{id} {what}\n{kept}"))
            }
            Err(why @ AdminDrainError::Unknown) => Reply::NotFound(format!("{id:?}: {}\n", why.name())),
            Err(why) => Reply::No(format!("{id:?}: {}\n", why.name())),
        }
    }

    /// Does as another process of the node was told.
    pub async fn agree(self: &Rc<Self>, out: BTreeMap<String, u64>, emptied: bool) {
        let _ = self.orders.send(AdminCommand::ReplaceDrained(out)).await;
        if emptied {
            self.clone().empty(DrainSource::Hand);
        } else {
            self.refill(DrainSource::Hand);
        }
    }

    /// It is called back.
    pub fn refill(&self, whose: DrainSource) {
        if self.phase.refill(whose) {
            self.net.log("back to work: takes requests again");
        }
    }

    /// It is called off.
    pub fn empty(self: Rc<Self>, whose: DrainSource) {
        if let Some(call) = self.phase.empty(whose) {
            let by = if whose == DrainSource::Hand { "emptied by hand" } else { "drained by the fleet" };
            self.net.log(format_args!("{by}: connections close, requests are answered to their ends"));
            let net = self.net.clone();
            net.clone().spawn(async move {
                net.sleep(STILL_COMING).await;
                self.phase.close_emptied(call, net.now());
            });
        }
    }
}

fn ended(unasked: bool) -> Reply {
    let what = if unasked { "the node has ended" } else { "the node ended meanwhile" };
    Reply::No(format!("{what}\n"))
}
