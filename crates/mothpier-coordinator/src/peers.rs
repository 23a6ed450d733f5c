//! Messages to other members: one connection to each, made anew when it fails; what can't be sent now is dropped, for the
//! library sends again what still matters.

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

/// Batches that wait for a member.
pub const WAITING: usize = 64;
/// Connecting, and an answer to a batch: a link that accepts and is silent is given up.
const WITHIN: Duration = Duration::from_secs(1);
/// After a failure.
const PAUSE: Duration = Duration::from_millis(50);

/// Sends what comes to a member for as long as there is one.
pub async fn run<N: Net>(
    member: Rc<Member<N>>,
    to: u64,
    address: SocketAddr,
    mut batches: mpsc::Receiver<Vec<Message>>,
) {
    let net = member.net.clone();
    while let Some(mut batch) = batches.recv().await {
        // All that is there goes at once.
        while let Ok(more) = batches.try_recv() {
            batch.extend(more);
        }
        let Some(Ok(stream)) = net.timeout(WITHIN, net.connect(address)).await else {
            member.unreachable(to);
            net.sleep(PAUSE).await;
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
            let answered = net.timeout(WITHIN, async {
                sender.ready().await?;
                let reply = sender.send_request(request).await?;
                let good = reply.status().is_success();
                http_body_util::BodyExt::collect(reply.into_body()).await?;
                Ok::<_, hyper::Error>(good)
            });
            match answered.await {
                Some(Ok(true)) => {}
                other => {
                    if let Some(Ok(false)) = other {
                        net.log(format_args!("member {to} at {address} refuses this member's messages"));
                    }
                    member.unreachable(to);
                    net.sleep(PAUSE).await;
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
