//! A discovery agent: the list of servers as one node is told it, whole or as changes behind a revision, with
//! watches that wait for news.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::BytesMut;
use mothpier_net::{Net, Stream};
use tokio::io::AsyncWriteExt;
use tokio::sync::Notify;

use crate::fleet::Fleet;
use crate::{Seen, wire};

/// A line of the list.
#[derive(Clone, Debug, PartialEq)]
pub struct Member {
    /// Its id, the same at every node.
    pub id: String,
    /// Where it is.
    pub address: SocketAddr,
    /// Its kind.
    pub kind: &'static str,
    /// `ready`, `draining` or `gone`.
    pub phase: &'static str,
    /// When its process started, Unix milliseconds, 0 for long ago.
    pub up_since_ms: u64,
}

impl Member {
    fn json(&self) -> String {
        let Member { id, address, kind, phase, up_since_ms } = self;
        format!(
            r#"{{"id":"{id}","host_port":"{address}","locality":"a","flavor":"{kind}","cell":0,"phase":"{phase}","size":1.0,"up_since_ms":{up_since_ms}}}"#
        )
    }
}

/// An agent's state.
pub struct Agent<N> {
    net: N,
    fleet: Rc<Fleet>,
    /// Its node's number.
    pub number: usize,
    /// Each line with the revision that it came with.
    members: RefCell<BTreeMap<String, (u64, Member)>>,
    /// The revision.
    pub revision: Cell<u64>,
    changed: Notify,
    /// It takes calls and answers none, open watches included.
    pub silent: Cell<bool>,
    /// What it is asked in its silence it never answers, and open watches neither.
    loses: Cell<bool>,
    /// The last revision behind which the node asked for news, and how often it asked at all.
    pub asked: Cell<(u64, u64)>,
}

impl<N: Net> Agent<N> {
    /// An agent that knows a list.
    pub fn new(net: N, fleet: Rc<Fleet>, number: usize, members: &[Member]) -> Rc<Self> {
        let agent = Agent {
            net,
            fleet,
            number,
            members: RefCell::default(),
            revision: Cell::new(1),
            changed: Notify::new(),
            silent: Cell::new(false),
            loses: Cell::new(false),
            asked: Cell::default(),
        };
        agent.members.borrow_mut().extend(members.iter().map(|m| (m.id.clone(), (1, m.clone()))));
        Rc::new(agent)
    }

    /// Takes a change of the list.
    pub fn change(&self, member: Member) {
        self.revision.set(self.revision.get() + 1);
        self.members.borrow_mut().insert(member.id.clone(), (self.revision.get(), member));
        self.changed.notify_waiters();
    }

    /// Begins its revisions anew, as a service does that lost its memory.
    pub fn renumber(&self) {
        self.revision.set(1);
        self.members.borrow_mut().retain(|_, (_, m)| m.phase != "gone");
        self.members.borrow_mut().values_mut().for_each(|(revision, _)| *revision = 1);
        self.changed.notify_waiters();
    }

    /// Falls silent, for good to all that ask before it speaks again.
    pub fn lose(&self) {
        self.silent.set(true);
        self.loses.set(true);
        self.changed.notify_waiters();
    }

    /// Speaks again after a silence; whether calls were lost in it.
    pub fn speak(&self) -> bool {
        self.silent.set(false);
        self.changed.notify_waiters();
        self.loses.replace(false)
    }

    /// What it has counts as told, though nobody may have taken it.
    pub fn counts_as_told(&self) {
        let (_, members, complete) = self.list(None);
        self.fleet.saw(Seen::Told { agent: self.number, members, complete });
    }

    /// Listens and serves until its machine ends it; gives the address.
    ///
    /// # Errors
    ///
    /// An address that can't be listened on.
    pub async fn serve(self: Rc<Self>, at: SocketAddr) -> io::Result<SocketAddr> {
        let net = self.net.clone();
        let serve = move |stream| {
            let served = self.clone();
            async move {
                let _ = served.connection(stream).await;
            }
        };
        wire::listen(&net, at, serve).await
    }

    async fn connection(&self, stream: N::Stream) -> io::Result<()> {
        let (reading, mut writing) = stream.split();
        let mut buffer = BytesMut::new();
        while let Some(call) = wire::next_call(&reading, &mut writing, &mut buffer).await? {
            let query = call.path.split_once('?').map(|(_, q)| q.replace('&', ",")).unwrap_or_default();
            let number = |name| wire::extra(&query, name).and_then(|v| v.parse::<u64>().ok());
            let (after, wait) = (number("after"), number("wait_ms").unwrap_or(0).min(60_000));
            self.asked.set((after.unwrap_or(0), self.asked.get().1 + 1));
            let until = self.net.now() + Duration::from_millis(wait);
            while self.silent.get() || after.is_some_and(|a| a == self.revision.get()) {
                let news = self.changed.notified();
                if self.silent.get() && self.loses.get() {
                    std::future::pending::<()>().await;
                }
                if self.silent.get() {
                    news.await;
                } else if self.net.timeout_at(until, news).await.is_none() && !self.silent.get() {
                    break;
                }
            }
            let (body, told, complete) = self.list(after);
            writing.write_all(&wire::reply("200 OK", "", &body)).await?;
            self.fleet.saw(Seen::Told { agent: self.number, members: told, complete });
        }
        Ok(())
    }

    /// The list for a node that holds a revision; one that this agent never gave gets the whole list.
    fn list(&self, after: Option<u64>) -> (String, Vec<(String, String, bool)>, bool) {
        let revision = self.revision.get();
        let after = after.filter(|a| *a <= revision);
        let members = self.members.borrow();
        let lines: Vec<&Member> = members
            .values()
            .filter(|(at, m)| after.map_or(m.phase != "gone", |a| *at > a))
            .map(|(_, m)| m)
            .collect();
        let json: Vec<String> = lines.iter().map(|m| m.json()).collect();
        let complete = after.is_none();
        let body =
            format!(r#"{{"revision":{revision},"complete":{complete},"members":[{}]}}"#, json.join(","));
        let told = lines.iter().map(|m| (m.id.clone(), m.address.to_string(), m.phase == "ready")).collect();
        (body, told, complete)
    }
}
