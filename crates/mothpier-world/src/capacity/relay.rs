//! A relay between a process and a server, which counts connections and the bytes that cross it.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;

use crate::demo;

/// Read at once.
const READ: usize = 64 * 1024;

/// What has crossed a relay, without the headers of TCP and IP.
#[derive(Clone, Copy, Debug, Default)]
pub struct Crossed {
    /// Connections.
    pub connections: f64,
    /// Bytes towards the server.
    pub out: f64,
    /// Bytes from the server.
    pub back: f64,
}

impl Crossed {
    /// What has crossed since an earlier look.
    pub fn since(self, before: Crossed) -> Crossed {
        Crossed {
            connections: self.connections - before.connections,
            out: self.out - before.out,
            back: self.back - before.back,
        }
    }

    /// Both together.
    pub fn with(self, other: Crossed) -> Crossed {
        Crossed {
            connections: self.connections + other.connections,
            out: self.out + other.out,
            back: self.back + other.back,
        }
    }
}

/// A relay.
#[derive(Clone)]
pub struct Relay {
    /// Where it listens.
    pub at: SocketAddr,
    crossed: Rc<Cell<Crossed>>,
}

impl Relay {
    /// Listens, and passes everything on to a server.
    pub async fn open(server: SocketAddr) -> Result<Self, String> {
        let listener = TcpListener::bind(demo::any()).await.map_err(|e| e.to_string())?;
        let at = listener.local_addr().map_err(|e| e.to_string())?;
        let crossed: Rc<Cell<Crossed>> = Rc::default();
        let relay = Relay { at, crossed: crossed.clone() };
        spawn_local(async move {
            while let Ok((near, _)) = listener.accept().await {
                let mut all = crossed.get();
                all.connections += 1.0;
                crossed.set(all);
                spawn_local(pass(near, server, crossed.clone()));
            }
        });
        Ok(relay)
    }

    /// What has crossed it.
    pub fn crossed(&self) -> Crossed {
        self.crossed.get()
    }
}

async fn pass(near: TcpStream, server: SocketAddr, crossed: Rc<Cell<Crossed>>) {
    let Ok(far) = TcpStream::connect(server).await else { return };
    let _ = (near.set_nodelay(true), far.set_nodelay(true));
    let ((near_read, near_write), (far_read, far_write)) = (near.into_split(), far.into_split());
    let there = crossed.clone();
    let out = one_way(near_read, far_write, move |bytes| {
        let mut all = there.get();
        all.out += bytes as f64;
        there.set(all);
    });
    let back = one_way(far_read, near_write, move |bytes| {
        let mut all = crossed.get();
        all.back += bytes as f64;
        crossed.set(all);
    });
    // Where one side has closed the connection is of no more use: HTTP closes no half alone.
    tokio::select! { () = out => {}, () = back => {} }
}

async fn one_way(mut from: OwnedReadHalf, mut to: OwnedWriteHalf, count: impl Fn(usize)) {
    let mut buffer = vec![0; READ];
    while let Ok(read) = from.read(&mut buffer).await {
        if read == 0 || to.write_all(&buffer[..read]).await.is_err() {
            return;
        }
        count(read);
    }
}
