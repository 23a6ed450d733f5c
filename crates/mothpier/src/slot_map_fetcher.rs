//! Fetches the slot map from cache servers that form a cluster. Each fetch has a connection of its own, since
//! an answer may be long, late or endless and must not delay requests.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use brassrouter::ServerId;
use bytes::BytesMut;
use mothpier_net::{Net, ReadHalf, Stream, Task};
use mothpier_slots::view::{self, View, ViewError};
use redis_protocol::resp2::types::BytesFrame;
use tokio::io::AsyncWriteExt;
use tokio::sync::mpsc;

use crate::messages::NodeInput;
use crate::resp::{self, Bounds};

/// The size limits of an answer. A map of 16,384 ranges with two servers each stays below them.
const SLOT_MAP_BOUNDS: Bounds = Bounds { value: 64 * 1024, elements: 400_000, total: MAX_ANSWER_BYTES };
/// The most bytes that are buffered for one answer.
const MAX_ANSWER_BYTES: usize = 4 << 20;
/// The most bytes that are read from a connection at once.
const READ_BYTES: usize = 64 * 1024;

/// Fetches slot maps and reports them as inputs of the node.
pub struct SlotMapFetcher<N: Net> {
    net: N,
    events: mpsc::Sender<NodeInput>,
    /// How long to wait for a complete answer.
    wait: Duration,
    /// Fetches in progress: at most as many as one refresh round starts.
    pending: RefCell<BTreeMap<ServerId, N::Task>>,
}

impl<N: Net> SlotMapFetcher<N> {
    pub fn new(net: N, wait: Duration, events: mpsc::Sender<NodeInput>) -> Self {
        SlotMapFetcher { net, events, wait, pending: RefCell::default() }
    }

    /// Starts a fetch from a server. The result, or the failure, arrives as an input; every fetch ends.
    pub fn fetch(&self, server: ServerId, address: SocketAddr) {
        let (net, events, wait) = (self.net.clone(), self.events.clone(), self.wait);
        let task = self.net.spawn(async move {
            let result = match net.timeout(wait, fetch(&net, address)).await {
                Some(result) => result,
                None => Err(format!("no complete answer within {} ms", wait.as_millis())),
            };
            let view = match result {
                Ok(view) => Some((address, view)),
                Err(e) => {
                    net.log(format_args!("cannot get the slot map of the server at {address}: {e}"));
                    None
                }
            };
            let _ = events.send(NodeInput::SlotMap { server, view }).await;
        });
        self.pending.borrow_mut().insert(server, task);
    }

    /// Records that the fetch from a server has ended.
    pub fn remove(&self, server: ServerId) {
        self.pending.borrow_mut().remove(&server);
    }

    /// Cancels the fetches from servers that are not ready: a server that accepts no new requests must not be
    /// sent a fetch either. Returns these servers; no input arrives for them.
    pub fn cancel_unready(&self, ready: &dyn Fn(ServerId) -> bool) -> Vec<ServerId> {
        let cancelled: Vec<_> = self.pending.borrow_mut().extract_if(.., |id, _| !ready(*id)).collect();
        cancelled.iter().for_each(|(_, task)| task.abort());
        cancelled.into_iter().map(|(id, _)| id).collect()
    }
}

async fn fetch<N: Net>(net: &N, address: SocketAddr) -> Result<View, String> {
    let stream = net.connect(address).await.map_err(|e| format!("no connection: {e}"))?;
    stream.set_nodelay();
    let (reader, mut writer) = stream.split();
    let mut buffer = BytesMut::new();
    let command_line = |subcommand: &'static str| resp::command(["CLUSTER".into(), subcommand.into()]);
    let commands = [command_line("INFO"), command_line("SHARDS")].concat();
    writer.write_all(&commands).await.map_err(|e| e.to_string())?;
    let info = read_answer(&reader, &mut buffer).await?;
    let shards = read_answer(&reader, &mut buffer).await?;
    let epoch = view::epoch(&info).map_err(|e| e.to_string())?;
    let ranges = match view::shards(&shards) {
        // Servers older than version 7 do not know `CLUSTER SHARDS`.
        Err(ViewError::UnknownCommand) => {
            writer.write_all(&command_line("SLOTS")).await.map_err(|e| e.to_string())?;
            view::slots(&read_answer(&reader, &mut buffer).await?)
        }
        other => other,
    };
    Ok(View { epoch, ranges: ranges.map_err(|e| e.to_string())? })
}

async fn read_answer(reader: &impl ReadHalf, buffer: &mut BytesMut) -> Result<BytesFrame, String> {
    loop {
        if let Some(frame) = resp::take_frame_within(buffer, &SLOT_MAP_BOUNDS).map_err(|e| e.to_string())? {
            return Ok(frame);
        }
        if buffer.len() > MAX_ANSWER_BYTES {
            return Err(format!("answer exceeds {MAX_ANSWER_BYTES} bytes"));
        }
        reader.readable().await.map_err(|e| e.to_string())?;
        buffer.reserve(READ_BYTES);
        match reader.try_read_buf(buffer) {
            Ok(0) => return Err("connection closed before the complete answer".into()),
            Ok(_) => {}
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
            Err(e) => return Err(e.to_string()),
        }
    }
}
