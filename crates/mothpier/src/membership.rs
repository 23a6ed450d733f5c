//! The sources of boxes as the node's parts share them: the list's form on one side, the view's on the other. What
//! they are together is decided in `mothpier-membership`.

use std::cell::RefCell;
use std::rc::Rc;

use mothpier_membership::gossip::Gossip;
use mothpier_membership::{DnsTrust, Phase, ServerRecord, Settings, Sources};
use mothpier_names::ServiceView;

use crate::messages::{Member, ServerList};
use crate::{Mutation, mutation_active};

/// The sources of one node.
#[derive(Clone)]
pub struct Membership(Rc<RefCell<Sources>>);

impl Membership {
    pub fn new(mut settings: Settings, seed: u64, now: u64) -> Self {
        if mutation_active(Mutation::StaleRecord) {
            settings.gone_ms = 0;
        }
        if let Some(rumours) = settings.rumours.as_mut().filter(|_| mutation_active(Mutation::EndlessRumour))
        {
            rumours.tells = u32::MAX;
        }
        Membership(Rc::new(RefCell::new(Sources::new(settings, seed, now))))
    }

    /// Takes the list, whole or changes only.
    pub fn list(&self, now: u64, list: ServerList) {
        let lines = list.members.into_iter().map(line).collect();
        self.0.borrow_mut().list(now, list.complete, lines);
    }

    pub fn list_out(&self) {
        self.0.borrow_mut().list_out();
    }

    /// Takes what DNS says.
    pub fn names(&self, now: u64, view: &ServiceView) {
        let mut sources = self.0.borrow_mut();
        if view.word == DnsTrust::Nothing && mutation_active(Mutation::EmptyAnswer) {
            sources.list(now, true, Vec::new());
        }
        sources.names(now, view.word, &view.named, view.pending == 0, view.answers);
    }

    /// Whether a message of another node is for the sources.
    pub fn is_message(bytes: &[u8]) -> bool {
        Gossip::is_message(bytes)
    }

    pub fn heard(&self, now: u64, bytes: &[u8]) {
        self.0.borrow_mut().heard(now, bytes);
    }

    pub fn tell(&self, now: u64) -> Option<Vec<u8>> {
        self.0.borrow_mut().tell(now)
    }

    pub fn due(&self, now: u64) -> Option<u64> {
        self.0.borrow().due(now)
    }

    /// What changed in the view, as changes of a list, and which ids became others.
    pub fn changes(&self, now: u64) -> (ServerList, Vec<(String, String)>) {
        let changes = self.0.borrow_mut().changes(now);
        let members = changes.lines.into_iter().map(member).collect();
        (ServerList { revision: 0, complete: false, members }, changes.renamed)
    }

    /// What the sources say, for people.
    pub fn text(&self) -> String {
        self.0.borrow().text()
    }
}

/// A line of the list as the sources know it.
pub fn line(m: Member) -> ServerRecord {
    let phase = match m.phase.as_str() {
        "ready" => Phase::Ready,
        "draining" => Phase::Draining,
        _ => Phase::Gone,
    };
    ServerRecord {
        id: m.id,
        host_port: m.host_port,
        locality: m.locality,
        flavor: m.flavor,
        cell: m.cell,
        size: m.size,
        up_since_ms: m.up_since_ms,
        phase,
    }
}

/// A line of the sources as the list has it.
pub fn member(l: ServerRecord) -> Member {
    Member {
        id: l.id,
        host_port: l.host_port,
        locality: l.locality,
        flavor: l.flavor,
        cell: l.cell,
        phase: l.phase.name().into(),
        size: l.size,
        up_since_ms: l.up_since_ms,
    }
}
