//! Attempts and probes: sending, withdrawal, time-out and outcome.

use std::collections::HashMap;
use std::time::Duration;

use brassrouter::settings::Site;
use brassrouter::{CacheLookup, Event, Load, LoadField, Micros, Outcome, RequestId, ServerId, Status};
use bytes::Bytes;
use mothpier_net::Net;
use redis_protocol::resp2::types::BytesFrame;

use super::cluster::slot_ranges;
use super::{InFlightAttempt, Node, OpenRequest, Wakeup, status_name};
use crate::event_log::Event as Logged;
use crate::guards::{self, Invariant};
use crate::messages::{Answer, AttemptId};
use crate::servers::{self, Ended, Payload};
use crate::streamed_value::StreamedValue;
use crate::time_budget::TimeBudget;
use crate::{Mutation, mutation_active, resp};

/// A probe without an answer fails after this time.
const PROBE_TIMEOUT: Duration = Duration::from_millis(250);

/// Largest plausible number of busy cores in a load report.
const MAX_BUSY_CORES: f32 = 8.0;

/// Largest plausible value of the other fields of a load report, in milliseconds.
const MAX_LOAD_MS: f32 = 60_000.0;

impl<N: Net> Node<N> {
    /// Withdraws attempts of a finished request that have not begun to be written. Attempts that are partly
    /// written continue: aborting them would cost the connection all other attempts that it carries.
    pub(super) fn withdraw(&mut self, attempts: &[AttemptId]) {
        if mutation_active(Mutation::SentAfterAnswer) {
            return;
        }
        for id in attempts.iter().copied() {
            let Some(pending) = self.in_flight.get_mut(&id) else { continue };
            let unsent = match pending.call.take_if(|call| !call.has_started()) {
                Some(call) => !call.give_up(),
                None => pending.call.is_none() && self.parts.servers.withdraw(pending.server, id),
            };
            if unsent {
                self.end_attempt(id, Status::NotSent, CacheLookup::None, Load::default(), None);
            }
        }
    }

    /// Ends a request whose client disconnected.
    pub(super) fn client_gone(&mut self, request: RequestId) {
        if let Some(open) = self.open_requests.remove(&request) {
            let (id, attempts) = (open.command.id_text(), open.attempts);
            self.log_event(&Logged::ClientGone { request: &id, attempts });
            self.events.push_back(Event::ClientGone(request));
            self.withdraw(&open.outstanding);
            self.record_run(&open);
        }
    }

    /// Sends an attempt of a request to a server or the origin.
    pub(super) fn send(&mut self, request: RequestId, server: ServerId, timeout: Micros, asking: bool) {
        self.last_attempt += 1;
        let (id, sent_at) = (self.last_attempt, self.net.now());
        let Some(open) = self.open_requests.get_mut(&request) else {
            return self.violated(Invariant::SendAfterEnd, request);
        };
        let number = open.attempts;
        let most = self.site.policy.max_attempts;
        let (may_have_run, effect) = (open.may_have_run, open.effect);
        let attempt =
            guards::Attempt { attempts_made: number.into(), max_attempts: most, may_have_run, effect };
        let allowed = guards::may_send(&attempt);
        if number > 0 && allowed.is_ok() {
            let after = if open.outstanding.is_empty() {
                open.last_status.map_or("unknown", status_name)
            } else {
                "copy"
            };
            self.parts.metrics.count_retry(after);
            let request = open.command.id_text();
            let event = Logged::Retried { request: &request, attempt: number, after, server };
            if let Some(line) = self.parts.event_log.format_line(sent_at, &event) {
                self.net.log(line);
            }
        }
        open.attempts += 1;
        open.may_have_run += 1;
        open.outstanding.push(id);
        let (command, remaining) = (open.command.clone(), open.deadline.saturating_duration_since(sent_at));
        let attempt_timeout =
            if timeout == 0 { remaining } else { remaining.min(Duration::from_micros(timeout)) };
        let pending = InFlightAttempt {
            attempt: Some((request, number)),
            server,
            sent_at,
            call: None,
            asking,
            streaming: false,
        };
        self.in_flight.insert(id, pending);
        // The disconnect event queues behind the inputs of other clients; a dropped answer channel shows at
        // once.
        let client_gone =
            client_stopped_waiting(&self.open_requests, request) && !mutation_active(Mutation::SentAfterLeft);
        if client_gone {
            self.client_gone(request);
        }
        if let Err(invariant) = allowed {
            self.violated(invariant, request);
        }
        if client_gone || allowed.is_err() || attempt_timeout.is_zero() {
            return self.end_attempt(id, Status::NotSent, CacheLookup::None, Load::default(), None);
        }
        let budget = TimeBudget { command, deadline: sent_at + attempt_timeout };
        let dispatched = if self.origin_ids.contains(&server) {
            let call = self.parts.origins.call(server, id, budget);
            let dispatched = call.is_some();
            self.in_flight.entry(id).and_modify(|f| f.call = call);
            dispatched
        } else {
            let payload = Payload::Request(budget);
            self.parts.servers.send(server, servers::Command { attempt: id, payload, asking })
        };
        if dispatched && mutation_active(Mutation::LostGiveUp) {
            return;
        }
        if dispatched {
            self.schedule(attempt_timeout, Wakeup::AttemptTimeout(id));
        } else {
            self.end_attempt(id, Status::ConnectFailed, CacheLookup::None, Load::default(), None);
        }
    }

    /// Sends a load probe to a server or the origin.
    pub(super) fn probe(&mut self, server: ServerId) {
        self.last_attempt += 1;
        let (id, sent_at) = (self.last_attempt, self.net.now());
        let origin = self.origin_ids.contains(&server);
        let call = if origin { self.parts.origins.probe(server, id) } else { None };
        let bytes = resp::command(["INFO".into(), "load".into()]);
        let command = servers::Command { attempt: id, payload: Payload::Probe(bytes), asking: false };
        let dispatched = call.is_some() || (!origin && self.parts.servers.send(server, command));
        self.in_flight.insert(
            id,
            InFlightAttempt { attempt: None, server, sent_at, call, asking: false, streaming: false },
        );
        if dispatched {
            self.schedule(PROBE_TIMEOUT, Wakeup::AttemptTimeout(id));
        } else {
            self.end_attempt(id, Status::ConnectFailed, CacheLookup::None, Load::default(), None);
        }
    }

    /// Gives up an attempt. One that was not fully written cannot have run and ends as not sent.
    pub(super) fn give_up(&mut self, id: AttemptId, status: Status) {
        let Some(pending) = self.in_flight.get_mut(&id).filter(|f| !f.streaming) else { return };
        let (server, call) = (pending.server, pending.call.take());
        let written = match call {
            Some(call) => call.give_up(),
            None => self.parts.servers.give_up(server, id),
        };
        let written = written && !mutation_active(Mutation::UnsentByGuess);
        let status = if written { status } else { Status::NotSent };
        self.end_attempt(id, status, CacheLookup::None, Load::default(), None);
    }

    /// Maps a cache server's result to the outcome that the protocol defines for it.
    pub(super) fn handle_server_result(&mut self, attempt: AttemptId, ended: Ended) {
        let frame = match ended {
            Ended::Reset => {
                let after_asking = self.in_flight.get(&attempt).is_some_and(|f| f.asking);
                let treat_as_not_run = after_asking && mutation_active(Mutation::AskNeverRan);
                let status = if treat_as_not_run { Status::ConnectFailed } else { Status::Reset };
                return self.end_attempt(attempt, status, CacheLookup::None, Load::default(), None);
            }
            Ended::NotConnected => {
                return self.end_attempt(
                    attempt,
                    Status::ConnectFailed,
                    CacheLookup::None,
                    Load::default(),
                    None,
                );
            }
            // The command ran, whatever the answer was.
            Ended::InvalidAnswer => {
                return self.end_attempt(attempt, Status::Error, CacheLookup::None, Load::default(), None);
            }
            Ended::AnswerStarted(value) => return self.start_streaming(attempt, value),
            Ended::Answered(frame) => frame,
        };
        match frame {
            BytesFrame::Array(parts) => {
                let mut parts = parts.into_iter();
                let value = match parts.next() {
                    Some(BytesFrame::BulkString(value)) => Some(value),
                    _ => None,
                };
                let cache_lookup = parts.next().as_ref().map_or(CacheLookup::None, servers::cache_lookup);
                let load = frame_text(parts.next()).map(|l| load(&self.site, &l)).unwrap_or_default();
                let status = if value.is_some() { Status::Served } else { Status::Miss };
                self.end_attempt(attempt, status, cache_lookup, load, value);
            }
            // A bulk string answers a request only on nodes of the tier; from other servers it can only be
            // the answer to a probe, since `servers` rejects anything else.
            BytesFrame::BulkString(value)
                if self.in_flight.get(&attempt).is_some_and(|f| f.attempt.is_some()) =>
            {
                self.end_attempt(attempt, Status::Served, CacheLookup::None, Load::default(), Some(value));
            }
            BytesFrame::BulkString(report) => {
                let load = load(&self.site, &String::from_utf8_lossy(&report));
                self.end_attempt(attempt, Status::Served, CacheLookup::None, load, None);
            }
            BytesFrame::Error(line) => {
                if let Some(status) = self.interpret_cluster_error(attempt, &line) {
                    return self.end_attempt(attempt, status, CacheLookup::None, Load::default(), None);
                }
                let load = line.rsplit(' ').next().map(|l| load(&self.site, l)).unwrap_or_default();
                let busy = line.split(' ').next() == Some("BUSY");
                if !busy && !line.starts_with("ERR failed") {
                    self.net.log(format_args!("cache server returned an unexpected error: {:?}", line));
                }
                self.end_attempt(
                    attempt,
                    if busy { Status::Rejected } else { Status::Error },
                    CacheLookup::None,
                    load,
                    None,
                );
            }
            _ => self.end_attempt(attempt, Status::Error, CacheLookup::None, Load::default(), None),
        }
    }

    /// Handles the start of an answer whose value is too large to buffer. If the request is still open, the
    /// value is streamed to its client as the final answer; from then on no other attempt is made, and the
    /// deadline no longer applies while the rest arrives. Otherwise the value is dropped.
    pub(super) fn start_streaming(&mut self, id: AttemptId, value: StreamedValue) {
        let Some(pending) = self.in_flight.get_mut(&id) else { return };
        pending.streaming = true;
        let (server, took) = (pending.server, self.net.since(pending.sent_at).as_micros() as Micros);
        let Some((request, attempt)) = pending.attempt else { return };
        let is_finished = !self.open_requests.contains_key(&request);
        if !is_finished {
            self.answer(request, Answer::Streamed(value));
        }
        let (status, cache_lookup, load) = (Status::Served, CacheLookup::None, Load::default());
        let outcome = Outcome {
            request,
            attempt,
            server,
            status,
            request_finished: is_finished,
            lookup: cache_lookup,
            elapsed: took,
            load,
        };
        self.events.push_back(Event::Outcome(outcome));
    }

    /// Ends an attempt or probe and reports its outcome. The first value served becomes the answer of the
    /// request.
    pub(super) fn end_attempt(
        &mut self,
        id: AttemptId,
        status: Status,
        cache_lookup: CacheLookup,
        load: Load,
        value: Option<Bytes>,
    ) {
        let may_have_run = matches!(status, Status::Reset | Status::TimedOut | Status::Error);
        let status =
            if may_have_run && mutation_active(Mutation::RepeatsUnsafe) { Status::NotSent } else { status };
        let Some(pending) = self.in_flight.remove(&id).filter(|f| !f.streaming) else { return };
        if let Some((pool, _)) = &mut self.parts.cluster
            && matches!(status, Status::Served | Status::Miss)
            && let Some(open) = pending.attempt.and_then(|(request, _)| self.open_requests.get(&request))
            && let Some(slot) = open.slot.filter(|_| open.moved_to == Some(pending.server))
            && let Some(assignment) = pool.record_move(slot, pending.server)
        {
            let ranges = slot_ranges(vec![assignment]);
            self.events.push_back(Event::SlotMap { complete: false, ranges });
        }
        let (server, took) = (pending.server, self.net.since(pending.sent_at).as_micros() as Micros);
        let Some((request, attempt)) = pending.attempt else {
            return self.events.push_back(Event::ProbeFinished {
                server,
                ok: status == Status::Served,
                elapsed: took,
                load,
            });
        };
        if let Some(open) = self.open_requests.get_mut(&request) {
            open.last_status = Some(status);
            open.outstanding.retain(|other| *other != id);
            open.may_have_run -= u32::from(status.proves_not_run());
        }
        if status == Status::Served {
            self.answer(request, value.map_or(Answer::Failed, Answer::Value));
        }
        let is_finished = !self.open_requests.contains_key(&request);
        self.events.push_back(Event::Outcome(Outcome {
            request,
            attempt,
            server,
            status,
            request_finished: is_finished,
            lookup: cache_lookup,
            elapsed: took,
            load,
        }));
    }
}

/// Returns whether the client of a request has dropped its answer channel.
fn client_stopped_waiting(open: &HashMap<RequestId, OpenRequest>, request: RequestId) -> bool {
    open.get(&request).is_some_and(|open| open.answer.is_closed())
}

/// Parses a load report of `name=value` pairs; the values are returned in the order of the settings.
pub(super) fn load(site: &Site, report: &str) -> Load {
    let mut load = Load::default();
    for (name, field) in site.load_fields.iter().zip(&site.policy.load_fields).take(load.values.len()) {
        let max_value = if *field == LoadField::Busy { MAX_BUSY_CORES } else { MAX_LOAD_MS };
        let value = report.split(',').filter_map(|p| p.trim().split_once('=')).find(|(n, _)| n == name);
        // Reports can be corrupt: implausible values must not reach the averages of the policy.
        let value = value.and_then(|(_, v)| v.parse::<f32>().ok()).filter(|v| (0.0..=max_value).contains(v));
        let Some(value) = value else { return Load::default() };
        load.values[usize::from(load.count)] = value;
        load.count += 1;
    }
    load
}

/// Returns the text of a string frame.
fn frame_text(frame: Option<BytesFrame>) -> Option<String> {
    match frame {
        Some(BytesFrame::BulkString(b) | BytesFrame::SimpleString(b)) => {
            Some(String::from_utf8_lossy(&b).into_owned())
        }
        _ => None,
    }
}
