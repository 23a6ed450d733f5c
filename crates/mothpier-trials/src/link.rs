//! A link from one process to another: what goes through it can be cut, held up, trickled or reset.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream, tcp};
use tokio::sync::Notify;
use tokio::task::{AbortHandle, spawn_local};

use crate::plan::Way;

/// Bytes at a time through a link that trickles, and between them.
const TRICKLE: (usize, Duration) = (64, Duration::from_millis(5));

/// A link.
pub struct Link {
    /// Where it is entered.
    pub at: SocketAddr,
    way: Cell<Way>,
    changed: Notify,
    open: RefCell<Vec<AbortHandle>>,
}

impl Link {
    /// A link to an address.
    ///
    /// # Errors
    ///
    /// No port is free.
    pub async fn to(target: SocketAddr) -> std::io::Result<Rc<Link>> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let link = Rc::new(Link {
            at: listener.local_addr()?,
            way: Cell::new(Way::Open),
            changed: Notify::new(),
            open: RefCell::default(),
        });
        let own = link.clone();
        spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                if own.way.get() == Way::Reset {
                    let _ = stream.set_zero_linger();
                    continue;
                }
                let carried = spawn_local(own.clone().carry(stream, target)).abort_handle();
                let mut open = own.open.borrow_mut();
                open.retain(|c| !c.is_finished());
                open.push(carried);
            }
        });
        Ok(link)
    }

    /// From now on it behaves so.
    pub fn set(&self, way: Way) {
        self.way.set(way);
        if way == Way::Reset {
            self.open.borrow_mut().drain(..).for_each(|c| c.abort());
        }
        self.changed.notify_waiters();
    }

    async fn carry(self: Rc<Self>, near: TcpStream, target: SocketAddr) {
        self.until(|way| !matches!(way, Way::Cut | Way::NoCalls)).await;
        let Ok(far) = TcpStream::connect(target).await else {
            // Nobody is there: who called is refused in the same way.
            let _ = near.set_zero_linger();
            return;
        };
        let _ = (near.set_nodelay(true), far.set_nodelay(true));
        // What an abort drops is reset: a cut that is mended so leaves no half of an exchange.
        let _ = (near.set_zero_linger(), far.set_zero_linger());
        let ((near_read, near_write), (far_read, far_write)) = (near.into_split(), far.into_split());
        tokio::select! {
            () = self.pass(near_read, far_write, Way::NoCalls) => {}
            () = self.pass(far_read, near_write, Way::NoAnswers) => {}
        }
    }

    /// Passes one direction on until its end.
    async fn pass(&self, mut from: tcp::OwnedReadHalf, mut to: tcp::OwnedWriteHalf, held_by: Way) {
        let mut buffer = vec![0; 16 * 1024];
        loop {
            let Ok(length @ 1..) = from.read(&mut buffer).await else { return };
            self.until(|way| way != Way::Cut && way != held_by).await;
            let sent = match self.way.get() {
                Way::Late(ms) => {
                    tokio::time::sleep(Duration::from_millis(ms)).await;
                    to.write_all(&buffer[..length]).await
                }
                Way::Trickle => {
                    let mut sent = Ok(());
                    for part in buffer[..length].chunks(TRICKLE.0) {
                        tokio::time::sleep(TRICKLE.1).await;
                        sent = to.write_all(part).await;
                    }
                    sent
                }
                _ => to.write_all(&buffer[..length]).await,
            };
            if sent.is_err() {
                return;
            }
        }
    }

    async fn until(&self, open: impl Fn(Way) -> bool) {
        loop {
            let word = self.changed.notified();
            if open(self.way.get()) {
                return;
            }
            word.await;
        }
    }
}
