//! Values that are forwarded to their clients in parts while they are being received.

use std::cell::Cell;
use std::rc::Rc;

use bytes::Bytes;
use tokio::sync::mpsc;
use tokio::sync::mpsc::error::TrySendError;

use crate::memory::{MAX_UNRESERVED, NodeMemory, Reservation};

/// How much of a streamed value may be held at a time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Window {
    /// Maximum size of a part, in bytes.
    part_size: usize,
    /// Maximum number of parts between the reader and the writer.
    parts: usize,
}

impl Window {
    /// The window where memory is available.
    const FULL: Window = Window { part_size: 16 * 1024, parts: 3 };
    /// The window that fits in what each request may hold without a reservation.
    const MINIMAL: Window = Window { part_size: 4 * 1024, parts: 1 };

    /// Parts held beside those in the channel: one is being received, one is being written, and the last one
    /// is kept until the end of the value has been seen.
    const PARTS_OUTSIDE: usize = 3;

    /// Returns the maximum number of bytes held.
    const fn bytes(self) -> usize {
        self.part_size * (self.parts + Self::PARTS_OUTSIDE)
    }
}

const _: () = assert!(Window::MINIMAL.bytes() <= MAX_UNRESERVED);

/// What both sides of a value know.
#[derive(Debug, Default)]
struct State {
    /// Its writing to the client has begun.
    begun: Cell<bool>,
    /// It was given up before its writing began.
    abandoned: Cell<bool>,
    /// The sender has seen its end where its length says that it is.
    complete: Cell<bool>,
}

/// The receiving side of a value that is forwarded in parts as they arrive.
#[derive(Debug)]
pub struct StreamedValue {
    /// Length of the whole value, in bytes.
    pub length: usize,
    parts: mpsc::Receiver<Bytes>,
    state: Rc<State>,
    /// Memory for the window, unless it is the minimal one.
    _reservation: Option<Reservation>,
}

/// The sending side of a [`StreamedValue`].
#[derive(Debug)]
pub struct ValueSender {
    parts: mpsc::Sender<Bytes>,
    state: Rc<State>,
    /// Maximum size of a part, in bytes.
    pub part_size: usize,
}

impl StreamedValue {
    /// Creates a value of a given length and the sender of its parts. The bounded channel makes the reader
    /// wait for the writer; it is smaller if little memory is left.
    pub fn of(length: usize, memory: &NodeMemory) -> (ValueSender, StreamedValue) {
        let reservation = memory.reserve_answer(Window::FULL.bytes() - MAX_UNRESERVED);
        let window = if reservation.is_some() { Window::FULL } else { Window::MINIMAL };
        let (sender, parts) = mpsc::channel(window.parts);
        let state = Rc::new(State::default());
        let sender = ValueSender { parts: sender, state: state.clone(), part_size: window.part_size };
        (sender, StreamedValue { length, parts, state, _reservation: reservation })
    }

    /// Waits for the next part; returns `None` after the last one.
    pub async fn next_part(&mut self) -> Option<Bytes> {
        self.parts.recv().await
    }

    /// Returns whether the value was received completely, once [`StreamedValue::next_part`] has returned `None`.
    /// All of its bytes alone do not say so: its length may have been wrong.
    pub fn is_complete(&self) -> bool {
        self.state.complete.get()
    }

    /// Begins to write the value to its client. Returns whether it has not been abandoned; nothing may be written
    /// of it otherwise.
    pub fn begin(&self) -> bool {
        self.state.begun.set(true);
        !self.state.abandoned.get()
    }
}

/// The client of a streamed value no longer takes it.
#[derive(Debug, PartialEq, Eq)]
pub struct ClientGone;

/// Why a part was not accepted at once.
pub enum NotSent {
    /// The client has not taken the earlier parts yet; the part is returned.
    Full(Bytes),
    /// The client is gone.
    ClientGone,
}

impl ValueSender {
    /// Ends the value after all of its parts. To be called only once its end has been seen; a sender that is
    /// dropped instead tells the client that the value is incomplete.
    pub fn finish(self) {
        self.state.complete.set(true);
    }

    /// Gives the value up if its writing to the client has not begun; the client gets an error instead of it.
    /// Returns whether that was possible.
    pub fn abandon(&self) -> bool {
        let abandoned = !self.state.begun.get();
        self.state.abandoned.set(abandoned);
        abandoned
    }

    /// Waits until there is room for a part. Cancel-safe.
    ///
    /// # Errors
    ///
    /// Fails if the client is gone.
    pub async fn has_room(&self) -> Result<(), ClientGone> {
        self.parts.reserve().await.map(drop).map_err(|_| ClientGone)
    }

    /// Sends a part, and waits until there is room for it.
    ///
    /// # Errors
    ///
    /// Fails if the client is gone.
    pub async fn send(&self, part: Bytes) -> Result<(), ClientGone> {
        self.parts.send(part).await.map_err(|_| ClientGone)
    }

    /// Sends a part if there is room for it.
    ///
    /// # Errors
    ///
    /// Fails if there is no room, or the client is gone.
    pub fn try_send(&self, part: Bytes) -> Result<(), NotSent> {
        self.parts.try_send(part).map_err(|e| match e {
            TrySendError::Full(part) => NotSent::Full(part),
            TrySendError::Closed(_) => NotSent::ClientGone,
        })
    }

    /// Sends bytes of any number in parts.
    ///
    /// # Errors
    ///
    /// Fails if the client is gone.
    pub async fn send_all(&self, mut bytes: Bytes) -> Result<(), ClientGone> {
        while !bytes.is_empty() {
            self.send(bytes.split_to(bytes.len().min(self.part_size))).await?;
        }
        Ok(())
    }
}
