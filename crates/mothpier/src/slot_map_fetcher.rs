//! Questions to boxes of a cluster for their slot map, each on a connection of its own: an answer may be long, late or
//! endless, and must hold up no request behind it.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use brassrouter::ServerId;
use bytes::BytesMut;
use mothpier_net::{Net, ReadHalf, Stream, Task};
use mothpier_slots::view::{self, Unreadable, View};
use redis_protocol::resp2::types::BytesFrame;
use tokio::io::AsyncWriteExt;
use tokio::sync::mpsc;

use crate::messages::NodeInput;
use crate::resp::{self, Bounds};

/// A map of 16,384 ranges with two boxes each stays below this.
const MAP: Bounds = Bounds { value: 64 * 1024, elements: 400_000 };
/// Bytes of one answer.
const MOST_BYTES: usize = 4 << 20;
/// Read from a connection at once.
const READ: usize = 64 * 1024;

/// Asks boxes.
pub struct SlotMapFetcher<N: Net> {
    net: N,
    events: mpsc::Sender<NodeInput>,
    /// A box that has not answered whole within this time is not waited for.
    wait: Duration,
    /// Questions that are out: at most as many as one round has.
    out: RefCell<BTreeMap<ServerId, N::Task>>,
}

impl<N: Net> SlotMapFetcher<N> {
    pub fn new(net: N, wait: Duration, events: mpsc::Sender<NodeInput>) -> Self {
        SlotMapFetcher { net, events, wait, out: RefCell::default() }
    }

    /// Asks a box; what it said, or that nothing came, arrives as an input. Every question ends.
    pub fn ask(&self, server: ServerId, address: SocketAddr) {
        let (net, events, wait) = (self.net.clone(), self.events.clone(), self.wait);
        let task = self.net.spawn(async move {
            let said = match net.timeout(wait, question(&net, address)).await {
                Some(said) => said,
                None => Err(format!("no whole answer within {} ms", wait.as_millis())),
            };
            let heard = match said {
                Ok(view) => Some((address, view)),
                Err(e) => {
                    net.log(format_args!("the slot map of the box at {address}: {e}"));
                    None
                }
            };
            let _ = events.send(NodeInput::Topology { server, heard }).await;
        });
        self.out.borrow_mut().insert(server, task);
    }

    /// A question has ended.
    pub fn ended(&self, server: ServerId) {
        self.out.borrow_mut().remove(&server);
    }

    /// Takes back the questions to boxes that want nothing new any more: a question, too, is something new. Gives
    /// those that it took back; nothing more comes of them.
    pub fn leave(&self, ready: &dyn Fn(ServerId) -> bool) -> Vec<ServerId> {
        let left: Vec<_> = self.out.borrow_mut().extract_if(.., |id, _| !ready(*id)).collect();
        left.iter().for_each(|(_, task)| task.abort());
        left.into_iter().map(|(id, _)| id).collect()
    }
}

async fn question<N: Net>(net: &N, address: SocketAddr) -> Result<View, String> {
    let stream = net.connect(address).await.map_err(|e| format!("no connection: {e}"))?;
    stream.set_nodelay();
    let (reading, mut writing) = stream.split();
    let mut buffer = BytesMut::new();
    let words = |what: &'static str| resp::command(["CLUSTER".into(), what.into()]);
    let both = [words("INFO"), words("SHARDS")].concat();
    writing.write_all(&both).await.map_err(|e| e.to_string())?;
    let info = answer(&reading, &mut buffer).await?;
    let shards = answer(&reading, &mut buffer).await?;
    let epoch = view::epoch(&info).map_err(|e| e.to_string())?;
    let ranges = match view::shards(&shards) {
        // Servers before version 7.
        Err(Unreadable::Unknown) => {
            writing.write_all(&words("SLOTS")).await.map_err(|e| e.to_string())?;
            view::slots(&answer(&reading, &mut buffer).await?)
        }
        other => other,
    };
    Ok(View { epoch, ranges: ranges.map_err(|e| e.to_string())? })
}

async fn answer(reading: &impl ReadHalf, buffer: &mut BytesMut) -> Result<BytesFrame, String> {
    loop {
        if let Some(frame) = resp::take_within(buffer, &MAP).map_err(|e| e.to_string())? {
            return Ok(frame);
        }
        if buffer.len() > MOST_BYTES {
            return Err(format!("more than {MOST_BYTES} bytes"));
        }
        reading.readable().await.map_err(|e| e.to_string())?;
        buffer.reserve(READ);
        match reading.try_read_buf(buffer) {
            Ok(0) => return Err("the connection ended before the whole answer".into()),
            Ok(_) => {}
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
            Err(e) => return Err(e.to_string()),
        }
    }
}
