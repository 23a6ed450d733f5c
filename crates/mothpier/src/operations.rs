//! What the operators' staff can ask of a running node, however they reach it. A yes is said when the thing is in effect.

use std::rc::Rc;
use std::time::Duration;

use mothpier_membership::hand::Refused;
use mothpier_net::Net;
use tokio::sync::{mpsc, oneshot};

use crate::clients::Clients;
use crate::figures::{Figures, States};
use crate::messages::Order;
use crate::phase::Phase;

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
}

/// The parts of the node that obey.
pub struct Operations<N: Net> {
    pub net: N,
    pub phase: Rc<Phase>,
    pub figures: Rc<Figures>,
    pub clients: Rc<Clients<N>>,
    /// Before all that clients ask.
    pub orders: mpsc::Sender<Order>,
}

impl<N: Net> Operations<N> {
    /// Carries out a call.
    pub async fn call(self: Rc<Self>, call: Call) -> Reply {
        match call {
            Call::Ready => match self.phase.ready() {
                Ok(()) => Reply::Yes("ready\n".into()),
                Err(why) => Reply::No(format!("not ready: {why}\n")),
            },
            Call::Figures => self.scrape().await,
            Call::Exclude(id) => self.by_hand(id, true).await,
            Call::Include(id) => self.by_hand(id, false).await,
            Call::Evacuate => self.evacuate(),
            Call::Rejoin => {
                if self.phase.refill() {
                    self.net.log("back to work: takes requests again");
                }
                match self.phase.ready() {
                    Ok(()) => Reply::Yes("at work\n".into()),
                    Err(why) => Reply::No(format!("not at work: {why}\n")),
                }
            }
        }
    }

    async fn scrape(&self) -> Reply {
        let (tell, told) = oneshot::channel();
        let asked = self.orders.send(Order::States(tell)).await;
        let Ok((members, unavailable)) = told.await else { return ended(asked.is_err()) };
        let states = States { pending: self.clients.pending(), members, unavailable };
        match self.figures.text(states) {
            Ok(text) => Reply::Yes(text),
            Err(e) => Reply::No(format!("the figures can't be written: {e}\n")),
        }
    }

    async fn by_hand(&self, id: String, out: bool) -> Reply {
        let (tell, told) = oneshot::channel();
        let asked = self.orders.send(Order::Hand { id: id.clone(), out, tell }).await;
        let Ok(done) = told.await else { return ended(asked.is_err()) };
        let what = if out { "out by hand" } else { "may serve" };
        match done {
            Ok(changed) => {
                if changed {
                    self.net.log(format_args!("cache server {id} {what}"));
                }
                Reply::Yes(format!("{id} {what}\n"))
            }
            Err(why @ Refused::Unknown) => Reply::NotFound(format!("{id:?}: {}\n", why.name())),
            Err(why) => Reply::No(format!("{id:?}: {}\n", why.name())),
        }
    }

    fn evacuate(self: Rc<Self>) -> Reply {
        if let Some(call) = self.phase.empty() {
            self.net.log("emptied by hand: connections close, requests are answered to their ends");
            let net = self.net.clone();
            net.clone().spawn(async move {
                net.sleep(STILL_COMING).await;
                self.phase.close_emptied(call, net.now());
            });
        }
        Reply::Yes("evacuating\n".into())
    }
}

fn ended(unasked: bool) -> Reply {
    let what = if unasked { "the node has ended" } else { "the node ended meanwhile" };
    Reply::No(format!("{what}\n"))
}
