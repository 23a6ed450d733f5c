//! Hosts instances of the decision module on the simulator's wire. It translates and decides nothing.

mod codec;

use std::collections::HashMap;
use std::io::{self, Read, Write};
use std::process::ExitCode;

use brassrouter::{Action, Event, ListKind, Micros, Policy, ServerEntry, settings};
use codec::{BATCH_HEADER, BatchHeader, Record, Reply};

/// Numbered lists run from 0 to this, exclusive.
const LISTS: usize = 16;

/// One module that runs under an instance number.
struct Instance {
    policy: Policy,
    classes: usize,
    tenants: usize,
}

#[derive(Default)]
struct Host {
    instances: HashMap<u16, Instance>,
    lists: [Option<Vec<ServerEntry>>; LISTS],
    actions: Vec<Action>,
    reply: Reply,
}

impl Host {
    fn batch(&mut self, header: BatchHeader, body: &[u8]) -> Result<(), String> {
        for index in 0..header.records {
            let record = codec::read_record(body, header.records, index)
                .map_err(|e| format!("batch {}, record {index}: {e}", header.number))?;
            self.record(header.now, record).map_err(|e| format!("batch {}: {e}", header.number))?;
        }
        Ok(())
    }

    fn record(&mut self, now: Micros, record: Record<'_>) -> Result<(), String> {
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
            Record::List { number, lines } => {
                let slot = self.lists.get_mut(usize::from(number));
                *slot.ok_or_else(|| format!("census with list number {number} out of range"))? = Some(lines);
                Ok(())
            }
            Record::ListHeard { node, kind, number } => {
                let servers = match kind {
                    ListKind::Failed => Vec::new(),
                    _ => {
                        let list = self.lists.get(usize::from(number)).and_then(Option::as_ref);
                        list.ok_or_else(|| format!("roster_change names unknown list {number}"))?.clone()
                    }
                };
                self.event(now, node, Event::ServerList { kind, servers })
            }
            Record::Event(node, event) => self.event(now, node, event),
        }
    }

    fn event(&mut self, now: Micros, node: u16, event: Event) -> Result<(), String> {
        let instance = self.instances.get_mut(&node);
        let instance = instance.ok_or_else(|| format!("event for unknown instance {node}"))?;
        if let Event::Request(r) = &event {
            if r.class >= instance.classes {
                return Err(format!("request of class {} that the settings do not have", r.class));
            }
            if r.tenant >= instance.tenants.max(1) {
                return Err(format!("request of tenant {} that the settings do not have", r.tenant));
            }
        }
        instance.policy.handle(now, event, &mut self.actions);
        for action in self.actions.drain(..) {
            self.reply.push(node, &action);
        }
        Ok(())
    }
}

/// Fills `buffer`; `false` where the input ended before its first byte.
fn fill(input: &mut impl Read, buffer: &mut [u8]) -> Result<bool, String> {
    let mut have = 0;
    while have < buffer.len() {
        match input.read(&mut buffer[have..]) {
            Ok(0) if have == 0 => return Ok(false),
            Ok(0) => return Err("truncated frame: input ended within it".into()),
            Ok(n) => have += n,
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
        // Read through `take`, so that a false length does not reserve memory that never fills.
        body.clear();
        let got = input.by_ref().take(header.length as u64).read_to_end(&mut body);
        let got = got.map_err(|e| format!("reading the input failed: {e}"))?;
        if got < header.length {
            return Err(format!("truncated frame: batch {} ended after {got} bytes", header.number));
        }
        host.batch(header, &body)?;
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
