//! Attempts of requests: made, given up, taken back, and how they end.

use std::collections::HashMap;
use std::time::Duration;

use brassrouter::settings::Site;
use brassrouter::{CacheLookup, Event, Load, LoadField, Micros, Outcome, RequestId, ServerId, Status};
use bytes::Bytes;
use mothpier_net::Net;
use redis_protocol::resp2::types::BytesFrame;

use super::cluster::slot_ranges;
use super::{Due, Flight, Node, Open, status_name};
use crate::event_log::Event as Logged;
use crate::guards::{self, Invariant};
use crate::messages::{Answer, AttemptId, StreamedValue};
use crate::servers::{self, Ended, Payload};
use crate::time_budget::TimeBudget;
use crate::{Mutation, mutation_active, resp};

/// A probe without answer after this time has failed.
const PROBE_WAIT: Duration = Duration::from_millis(250);

/// The largest figures of a load report that can be meant: of cores in use, and of the rest (a minute in
/// milliseconds).
const MOST_LOAD: (f32, f32) = (8.0, 60_000.0);

impl<N: Net> Node<N> {
    /// Takes back those attempts of a request that is over which have not begun to be written: nothing more is sent
    /// for it. What has begun goes on, or the connection would be lost to all that it carries.
    pub(super) fn withdraw(&mut self, attempts: Vec<AttemptId>) {
        if mutation_active(Mutation::SentAfterAnswer) {
            return;
        }
        for id in attempts {
            let Some(flight) = self.flights.get_mut(&id) else { continue };
            let unsent = match flight.call.take_if(|call| !call.begun()) {
                Some(call) => !call.give_up(),
                None => flight.call.is_none() && self.parts.servers.withdraw(flight.server, id),
            };
            if unsent {
                self.end(id, Status::NotSent, CacheLookup::None, Load::default(), None);
            }
        }
    }

    /// Nobody waits for a request any more.
    pub(super) fn gone(&mut self, request: RequestId) {
        if let Some(open) = self.open.remove(&request) {
            let (id, attempts) = (open.command.id_text(), open.attempts);
            self.log_event(&Logged::ClientGone { request: &id, attempts });
            self.events.push_back(Event::ClientGone(request));
            self.withdraw(open.out);
        }
    }

    pub(super) fn send(&mut self, request: RequestId, server: ServerId, give_up_after: Micros, asking: bool) {
        self.last_attempt += 1;
        let (id, sent) = (self.last_attempt, self.net.now());
        let Some(open) = self.open.get_mut(&request) else {
            return self.violated(Invariant::SendAfterEnd, request);
        };
        let number = open.attempts;
        let most = self.site.policy.max_attempts;
        let (may_have_run, effect) = (open.may_have_run, open.effect);
        let attempt = guards::Attempt { made: number.into(), most, may_have_run, effect };
        let allowed = guards::may_send(&attempt);
        if number > 0 && allowed.is_ok() {
            let after = if open.out.is_empty() { open.last.map_or("unknown", status_name) } else { "copy" };
            self.parts.figures.retry(after);
            let request = open.command.id_text();
            let event = Logged::Retried { request: &request, attempt: number, after, server };
            if let Some(line) = self.parts.event_log.line(sent, &event) {
                self.net.log(line);
            }
        }
        open.attempts += 1;
        open.may_have_run += 1;
        open.out.push(id);
        let (command, left) = (open.command.clone(), open.ends.saturating_duration_since(sent));
        let wait = if give_up_after == 0 { left } else { left.min(Duration::from_micros(give_up_after)) };
        let flight =
            Flight { attempt: Some((request, number)), server, sent, call: None, asking, began: false };
        self.flights.insert(id, flight);
        // The word that a client has gone comes behind all that others ask; that it no longer waits is known at once.
        let gone = open_is_left(&self.open, request) && !mutation_active(Mutation::SentAfterLeft);
        if gone {
            self.gone(request);
        }
        if let Err(invariant) = allowed {
            self.violated(invariant, request);
        }
        if gone || allowed.is_err() || wait.is_zero() {
            return self.end(id, Status::NotSent, CacheLookup::None, Load::default(), None);
        }
        let budget = TimeBudget { command, deadline: sent + wait };
        let out = if self.origin_ids.contains(&server) {
            let call = self.parts.origins.call(server, id, budget);
            let out = call.is_some();
            self.flights.entry(id).and_modify(|f| f.call = call);
            out
        } else {
            let payload = Payload::Request(budget);
            self.parts.servers.send(server, servers::Command { attempt: id, payload, asking })
        };
        if out && mutation_active(Mutation::LostGiveUp) {
            return;
        }
        if out {
            self.wake(wait, Due::GiveUp(id));
        } else {
            self.end(id, Status::ConnectFailed, CacheLookup::None, Load::default(), None);
        }
    }

    pub(super) fn probe(&mut self, server: ServerId) {
        self.last_attempt += 1;
        let (id, sent) = (self.last_attempt, self.net.now());
        let origin = self.origin_ids.contains(&server);
        let call = if origin { self.parts.origins.probe(server, id) } else { None };
        let bytes = resp::command(["INFO".into(), "load".into()]);
        let command = servers::Command { attempt: id, payload: Payload::Probe(bytes), asking: false };
        let out = call.is_some() || (!origin && self.parts.servers.send(server, command));
        self.flights.insert(id, Flight { attempt: None, server, sent, call, asking: false, began: false });
        if out {
            self.wake(PROBE_WAIT, Due::GiveUp(id));
        } else {
            self.end(id, Status::ConnectFailed, CacheLookup::None, Load::default(), None);
        }
    }

    /// Stops waiting for an attempt. One that was never written whole can't have run.
    pub(super) fn give_up(&mut self, id: AttemptId, status: Status) {
        let Some(flight) = self.flights.get_mut(&id).filter(|f| !f.began) else { return };
        let (server, call) = (flight.server, flight.call.take());
        let written = match call {
            Some(call) => call.give_up(),
            None => self.parts.servers.give_up(server, id),
        };
        let written = written && !mutation_active(Mutation::UnsentByGuess);
        let status = if written { status } else { Status::NotSent };
        self.end(id, status, CacheLookup::None, Load::default(), None);
    }

    /// Reads a cache server's answer as the protocol's table of outcomes says.
    pub(super) fn server_ended(&mut self, attempt: AttemptId, ended: Ended) {
        let frame = match ended {
            Ended::Reset => {
                let asked = self.flights.get(&attempt).is_some_and(|f| f.asking);
                let never = asked && mutation_active(Mutation::AskNeverRan);
                let status = if never { Status::ConnectFailed } else { Status::Reset };
                return self.end(attempt, status, CacheLookup::None, Load::default(), None);
            }
            Ended::NotConnected => {
                return self.end(attempt, Status::ConnectFailed, CacheLookup::None, Load::default(), None);
            }
            // It has run, whatever it was that came back.
            Ended::Spoilt => {
                return self.end(attempt, Status::Error, CacheLookup::None, Load::default(), None);
            }
            Ended::Began(value) => return self.began(attempt, value),
            Ended::Answered(frame) => frame,
        };
        match frame {
            BytesFrame::Array(parts) => {
                let mut parts = parts.into_iter();
                let value = match parts.next() {
                    Some(BytesFrame::BulkString(value)) => Some(value),
                    _ => None,
                };
                let note = match text(parts.next()).as_deref() {
                    Some("hit") => CacheLookup::Hit,
                    Some("miss") => CacheLookup::Miss,
                    Some("pending") => CacheLookup::MissFetchPending,
                    _ => CacheLookup::None,
                };
                let load = text(parts.next()).map(|l| load(&self.site, &l)).unwrap_or_default();
                let status = if value.is_some() { Status::Served } else { Status::Miss };
                self.end(attempt, status, note, load, value);
            }
            // From a node of the tier; from a server only to a probe: servers.rs lets nothing else through.
            BytesFrame::BulkString(value)
                if self.flights.get(&attempt).is_some_and(|f| f.attempt.is_some()) =>
            {
                self.end(attempt, Status::Served, CacheLookup::None, Load::default(), Some(value));
            }
            BytesFrame::BulkString(report) => {
                let load = load(&self.site, &String::from_utf8_lossy(&report));
                self.end(attempt, Status::Served, CacheLookup::None, load, None);
            }
            BytesFrame::Error(line) => {
                if let Some(status) = self.cluster_said(attempt, &line) {
                    return self.end(attempt, status, CacheLookup::None, Load::default(), None);
                }
                let load = line.rsplit(' ').next().map(|l| load(&self.site, l)).unwrap_or_default();
                let busy = line.split(' ').next() == Some("BUSY");
                if !busy && !line.starts_with("ERR failed") {
                    self.net.log(format_args!("a cache server answers {:?}", line));
                }
                self.end(
                    attempt,
                    if busy { Status::Full } else { Status::Error },
                    CacheLookup::None,
                    load,
                    None,
                );
            }
            _ => self.end(attempt, Status::Error, CacheLookup::None, Load::default(), None),
        }
    }

    /// The answer to an attempt has begun with a value too large to be held. If it is the first for its request it is the
    /// answer, from here on the client's alone: no other is made, and its time is not up while the rest comes. What nobody
    /// waits for is not taken.
    pub(super) fn began(&mut self, id: AttemptId, value: StreamedValue) {
        let Some(flight) = self.flights.get_mut(&id) else { return };
        flight.began = true;
        let (server, took) = (flight.server, self.net.since(flight.sent).as_micros() as Micros);
        let Some((request, attempt)) = flight.attempt else { return };
        let over = !self.open.contains_key(&request);
        if !over {
            self.answer(request, Answer::Streamed(value));
        }
        let (status, note, load) = (Status::Served, CacheLookup::None, Load::default());
        let outcome = Outcome {
            request,
            attempt,
            server,
            status,
            request_finished: over,
            lookup: note,
            elapsed: took,
            load,
        };
        self.events.push_back(Event::Outcome(outcome));
    }

    /// The end of an attempt or probe, whatever brought it; the first value served is the request's answer.
    pub(super) fn end(
        &mut self,
        id: AttemptId,
        status: Status,
        note: CacheLookup,
        load: Load,
        value: Option<Bytes>,
    ) {
        let may_have_run = matches!(status, Status::Reset | Status::TimedOut | Status::Error);
        let status =
            if may_have_run && mutation_active(Mutation::RepeatsUnsafe) { Status::NotSent } else { status };
        let Some(flight) = self.flights.remove(&id).filter(|f| !f.began) else { return };
        if let Some((pool, _)) = &mut self.parts.cluster
            && matches!(status, Status::Served | Status::Miss)
            && let Some(open) = flight.attempt.and_then(|(request, _)| self.open.get(&request))
            && let Some(slot) = open.slot.filter(|_| open.moved == Some(flight.server))
            && let Some(held) = pool.moved(slot, flight.server)
        {
            let ranges = slot_ranges(vec![held]);
            self.events.push_back(Event::SlotMap { whole: false, ranges });
        }
        let (server, took) = (flight.server, self.net.since(flight.sent).as_micros() as Micros);
        let Some((request, attempt)) = flight.attempt else {
            return self.events.push_back(Event::ProbeFinished {
                server,
                ok: status == Status::Served,
                took,
                load,
            });
        };
        if let Some(open) = self.open.get_mut(&request) {
            open.last = Some(status);
            open.out.retain(|out| *out != id);
            open.may_have_run -= u32::from(status.proves_not_run());
        }
        if status == Status::Served {
            self.answer(request, value.map_or(Answer::Failed, Answer::Value));
        }
        let over = !self.open.contains_key(&request);
        self.events.push_back(Event::Outcome(Outcome {
            request,
            attempt,
            server,
            status,
            request_finished: over,
            lookup: note,
            elapsed: took,
            load,
        }));
    }
}

/// Whether the client of a request has let go of its answer.
fn open_is_left(open: &HashMap<RequestId, Open>, request: RequestId) -> bool {
    open.get(&request).is_some_and(|open| open.answer.is_closed())
}

/// A load report: names and values, in the order that the settings give.
pub(super) fn load(site: &Site, report: &str) -> Load {
    let mut load = Load::default();
    for (name, field) in site.load_fields.iter().zip(&site.policy.load_fields).take(load.values.len()) {
        let most = if *field == LoadField::Busy { MOST_LOAD.0 } else { MOST_LOAD.1 };
        let value = report.split(',').filter_map(|p| p.trim().split_once('=')).find(|(n, _)| n == name);
        // Reports come spoilt, too: a figure that no load can have must not reach the module's averages.
        let value = value.and_then(|(_, v)| v.parse::<f32>().ok()).filter(|v| (0.0..=most).contains(v));
        let Some(value) = value else { return Load::default() };
        load.values[usize::from(load.count)] = value;
        load.count += 1;
    }
    load
}

fn text(frame: Option<BytesFrame>) -> Option<String> {
    match frame {
        Some(BytesFrame::BulkString(b) | BytesFrame::SimpleString(b)) => {
            Some(String::from_utf8_lossy(&b).into_owned())
        }
        _ => None,
    }
}
