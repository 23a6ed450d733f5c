//! Runs instances of the decision module behind the simulator's wire protocol. It only translates and decides
//! nothing.

mod codec;

use std::collections::HashMap;
use std::io::{self, Read, Write};
use std::process::ExitCode;

use brassrouter::{Action, Event, ListKind, Micros, Policy, ServerEntry, settings};
use codec::{BATCH_HEADER, BatchHeader, Record, Reply};

/// Number of server lists that can be stored; they are numbered from 0.
const LIST_COUNT: usize = 16;

/// A decision module that runs under an instance number, and the sizes that its requests are checked against.
struct Instance {
    policy: Policy,
    classes: usize,
    tenants: usize,
}

#[derive(Default)]
struct Host {
    instances: HashMap<u16, Instance>,
    lists: [Option<Vec<ServerEntry>>; LIST_COUNT],
    actions: Vec<Action>,
    reply: Reply,
}

impl Host {
    fn handle_batch(&mut self, header: BatchHeader, body: &[u8]) -> Result<(), String> {
        for index in 0..header.records {
            let record = codec::read_record(body, header.records, index)
                .map_err(|e| format!("batch {}, record {index}: {e}", header.number))?;
            self.handle_record(header.now, record).map_err(|e| format!("batch {}: {e}", header.number))?;
        }
        Ok(())
    }

    fn handle_record(&mut self, now: Micros, record: Record<'_>) -> Result<(), String> {
        match record {
            Record::Start { node, seed, settings } => {
                let settings = settings::read(settings)?.policy;
                let (classes, tenants) = (settings.classes.len(), settings.tenants.len());
                let policy = Policy::new(settings, seed);
                self.instances.insert(node, Instance { policy, classes, tenants });
                Ok(())
            }
            Record::Stop(node) => match self.instances.remove(&node) {
                Some(_) => Ok(()),
                None => Err(format!("shutdown of unknown instance {node}")),
            },
            Record::List { number, entries } => {
                let stored = self.lists.get_mut(usize::from(number));
                *stored.ok_or_else(|| format!("census with list number {number} out of range"))? =
                    Some(entries);
                Ok(())
            }
            Record::ListReceived { node, kind, number } => {
                let servers = match kind {
                    ListKind::Failed => Vec::new(),
                    _ => {
                        let list = self.lists.get(usize::from(number)).and_then(Option::as_ref);
                        list.ok_or_else(|| format!("roster_change names unknown list {number}"))?.clone()
                    }
                };
                self.handle_event(now, node, Event::ServerList { kind, servers })
            }
            Record::Event(node, event) => self.handle_event(now, node, event),
        }
    }

    fn handle_event(&mut self, now: Micros, node: u16, event: Event) -> Result<(), String> {
        let instance = self.instances.get_mut(&node);
        let instance = instance.ok_or_else(|| format!("event for unknown instance {node}"))?;
        if let Event::Request(request) = &event {
            if request.class >= instance.classes {
                return Err(format!("request of class {} that the settings do not have", request.class));
            }
            if request.tenant >= instance.tenants.max(1) {
                return Err(format!("request of tenant {} that the settings do not have", request.tenant));
            }
        }
        instance.policy.handle(now, event, &mut self.actions);
        for action in self.actions.drain(..) {
            self.reply.push(node, &action);
        }
        Ok(())
    }
}

/// Fills `buffer`; returns `false` if the input ended before its first byte.
fn fill(input: &mut impl Read, buffer: &mut [u8]) -> Result<bool, String> {
    let mut filled = 0;
    while filled < buffer.len() {
        match input.read(&mut buffer[filled..]) {
            Ok(0) if filled == 0 => return Ok(false),
            Ok(0) => return Err("truncated frame: input ended within it".into()),
            Ok(n) => filled += n,
            Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
            Err(e) => return Err(format!("reading the input failed: {e}")),
        }
    }
    Ok(true)
}

fn run(input: &mut impl Read, output: &mut impl Write) -> Result<(), String> {
    let mut host = Host::default();
    let mut header_bytes = [0u8; BATCH_HEADER];
    let (mut body, mut frame) = (Vec::new(), Vec::new());
    while fill(input, &mut header_bytes)? {
        let header = BatchHeader::read(&header_bytes)?;
        // Reads through `take`, so that a wrong length does not allocate memory that is never filled.
        body.clear();
        let received = input.by_ref().take(header.length as u64).read_to_end(&mut body);
        let received = received.map_err(|e| format!("reading the input failed: {e}"))?;
        if received < header.length {
            return Err(format!("truncated frame: batch {} ended after {received} bytes", header.number));
        }
        host.handle_batch(header, &body)?;
        host.reply.finish(header.number, &mut frame);
        output.write_all(&frame).and_then(|()| output.flush()).map_err(|e| format!("writing failed: {e}"))?;
    }
    Ok(())
}

fn main() -> ExitCode {
    match run(&mut io::stdin().lock(), &mut io::stdout().lock()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(message) => {
            eprintln!("brassrouter-drill: {message}");
            ExitCode::FAILURE
        }
    }
}
