//! Sends raft messages to other members, over one connection to each that is re-established when it fails.
//! Messages that can't be sent now are dropped, because the raft library resends what is still needed.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use mothpier_coordination::wire::CLUSTER;
use mothpier_net::{Net, Stream, Task};
use protobuf::Message as _;
use raft::eraftpb::Message;
use tokio::sync::mpsc;

use crate::Member;

/// Batches of messages that may wait for one member.
pub const MAX_QUEUED_BATCHES: usize = 64;
/// Time limit for connecting and for the response to a batch, so that a peer that accepts connections but
/// does not answer is given up.
const IO_TIMEOUT: Duration = Duration::from_secs(1);
/// Pause after a failure.
const RETRY_DELAY: Duration = Duration::from_millis(50);

/// Sends batches from the queue to one member until the queue is closed.
pub async fn run<N: Net>(
    member: Rc<Member<N>>,
    to: u64,
    address: SocketAddr,
    mut batches: mpsc::Receiver<Vec<Message>>,
) {
    let net = member.net.clone();
    while let Some(mut batch) = batches.recv().await {
        // All queued batches go in one request.
        while let Ok(more) = batches.try_recv() {
            batch.extend(more);
        }
        let Some(Ok(stream)) = net.timeout(IO_TIMEOUT, net.connect(address)).await else {
            member.report_unreachable(to);
            net.sleep(RETRY_DELAY).await;
            continue;
        };
        stream.set_nodelay();
        let Ok((mut sender, connection)) = http1::handshake(TokioIo::new(stream)).await else { continue };
        let driver = net.spawn(async move { drop(connection.await) });
        loop {
            let mut bytes = Vec::new();
            for message in &batch {
                let length = message.compute_size();
                bytes.extend(length.to_be_bytes());
                if message.write_to_vec(&mut bytes).is_err() {
                    break;
                }
            }
            let request = Request::post("/raft")
                .header("host", address.to_string())
                .header(CLUSTER, &member.config.cluster)
                .body(Full::new(Bytes::from(bytes)));
            let Ok(request) = request else { break };
            let result = net.timeout(IO_TIMEOUT, async {
                sender.ready().await?;
                let reply = sender.send_request(request).await?;
                let accepted = reply.status().is_success();
                http_body_util::BodyExt::collect(reply.into_body()).await?;
                Ok::<_, hyper::Error>(accepted)
            });
            match result.await {
                Some(Ok(true)) => {}
                other => {
                    if let Some(Ok(false)) = other {
                        net.log(format_args!("member {to} at {address} rejects this member's messages"));
                    }
                    member.report_unreachable(to);
                    net.sleep(RETRY_DELAY).await;
                    break;
                }
            }
            let Some(next) = batches.recv().await else { return };
            batch = next;
            while let Ok(more) = batches.try_recv() {
                batch.extend(more);
            }
        }
        driver.abort();
    }
}
