//! The simulated network: TCP with an order, a window and both ends' manners, UDP that loses, doubles and delays,
//! machines that fall silent and ways that are cut. What both ends do is told to a [`Tap`], as a capture on the wire
//! would see it.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::fmt::Display;
use std::future::{Future, poll_fn};
use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::{Rc, Weak};
use std::task::{Context, Poll, Waker};
use std::time::{Duration, Instant};

use bytes::{Buf, BytesMut};
use mothpier_net::{Listener, Net, ReadHalf, Socket, Stream};
use mothpier_world::Dice;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

use crate::exec::{EPOCH, Exec, Handle, Host, Sleep, Yield};

/// Bytes of one direction that may be on their way or unread.
const WINDOW: usize = 64 * 1024;
/// Connections that wait for their listener.
const BACKLOG: usize = 128;
/// The pause before a connection's first packet is sent again; it doubles.
const AGAIN: u64 = 1_000_000_000;

/// A connection as the tap knows it.
#[derive(Clone, Debug)]
pub struct Line {
    /// Its number.
    pub number: u64,
    /// Who opened it and who took it.
    pub hosts: [Host; 2],
    /// The address that was connected to.
    pub to: SocketAddr,
}

/// How an end was closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Close {
    /// In order: nothing that had come was left unread.
    Orderly,
    /// What had come was left unread, or it was reset on purpose.
    Reset,
    /// With its machine's process.
    Killed,
}

/// Sees what both ends of every connection do. `side` is 0 for who opened it.
pub trait Tap {
    /// An end has written.
    fn wrote(&self, line: &Line, side: usize, bytes: &[u8]);
    /// Bytes have reached an end (`side` received them).
    fn came(&self, line: &Line, side: usize, bytes: &[u8]);
    /// An end was closed.
    fn closed(&self, line: &Line, side: usize, close: Close);
    /// Word of the other end's close has reached an end.
    fn heard_close(&self, line: &Line, side: usize);
}

enum Payload {
    Data(Vec<u8>),
    Fin,
    Reset,
}

#[derive(Default)]
struct End {
    inbox: BytesMut,
    /// The other end will send no more.
    fin: bool,
    reset: bool,
    reader: Option<Waker>,
    writer: Option<Waker>,
    /// Bytes that this end sent and the other has not read.
    unread: usize,
    /// When what this end sent last arrives: nothing overtakes.
    arrives: u64,
    /// Sent while the way was cut.
    held: VecDeque<Payload>,
    reading: bool,
    writing: bool,
    closed: bool,
}

struct Conn {
    line: Line,
    ends: [End; 2],
}

type Shared = Rc<RefCell<Conn>>;

struct Door {
    host: Host,
    life: u64,
    waiting: VecDeque<SimStream>,
    waker: Option<Waker>,
}

struct Mailbox {
    mail: VecDeque<(Vec<u8>, SocketAddr)>,
    waker: Option<Waker>,
}

/// How datagrams fare.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Post {
    /// Part that is lost.
    pub lost: f64,
    /// Part that comes twice.
    pub doubled: f64,
    /// Further delay of each, at most, milliseconds.
    pub late_ms: u64,
}

/// What is told of a machine.
#[derive(Default)]
struct Machine {
    name: String,
    address: Option<std::net::IpAddr>,
    /// Counts its processes: what an earlier one left is not touched by the next.
    life: u64,
    /// It is cut off and says nothing.
    silent: bool,
    /// Further delay of what it sends, nanoseconds.
    delay: u64,
    /// Timers fire on whole milliseconds, as tokio's do.
    coarse: bool,
}

/// The network.
pub struct Network {
    me: Weak<Network>,
    exec: Rc<Exec>,
    dice: Dice,
    machines: RefCell<Vec<Machine>>,
    doors: RefCell<BTreeMap<SocketAddr, Rc<RefCell<Door>>>>,
    mail: RefCell<BTreeMap<SocketAddr, Rc<RefCell<Mailbox>>>>,
    cut: RefCell<BTreeSet<(Host, Host)>>,
    conns: RefCell<BTreeMap<u64, Weak<RefCell<Conn>>>>,
    numbers: Cell<u64>,
    ports: Cell<u16>,
    /// How datagrams fare.
    pub post: Cell<Post>,
    /// How many datagrams began with these bytes, and when the last of them was sent, milliseconds.
    pub posted: RefCell<BTreeMap<[u8; 4], (u64, u64)>>,
    /// One way, nanoseconds: least and most.
    pub latency: (u64, u64),
    /// Part of the writes that the machine takes only in part.
    pub short_writes: f64,
    tap: RefCell<Option<Rc<dyn Tap>>>,
}

impl Network {
    /// A network without machines.
    pub fn new(exec: Rc<Exec>, seed: u64, latency: (u64, u64), short_writes: f64) -> Rc<Self> {
        Rc::new_cyclic(|me| Network {
            me: me.clone(),
            exec,
            dice: Dice::part(seed, 2),
            machines: RefCell::default(),
            doors: RefCell::default(),
            mail: RefCell::default(),
            cut: RefCell::default(),
            conns: RefCell::default(),
            numbers: Cell::new(0),
            ports: Cell::new(20_000),
            post: Cell::default(),
            posted: RefCell::default(),
            latency,
            short_writes,
            tap: RefCell::default(),
        })
    }

    /// Sets who sees what is done.
    pub fn tap(&self, tap: Rc<dyn Tap>) {
        *self.tap.borrow_mut() = Some(tap);
    }

    /// Adds a machine. `coarse` rounds its timers up to whole milliseconds, as tokio does.
    pub fn machine(&self, name: &str, address: std::net::IpAddr, coarse: bool) -> Host {
        let mut machines = self.machines.borrow_mut();
        let machine = Machine { name: name.into(), address: Some(address), coarse, ..Machine::default() };
        machines.push(machine);
        machines.len() - 1
    }

    /// The machine for a program to run on.
    pub fn on(self: &Rc<Self>, host: Host) -> SimNet {
        SimNet { network: self.clone(), host, life: self.machines.borrow()[host].life }
    }

    /// A machine's name.
    pub fn name(&self, host: Host) -> String {
        self.machines.borrow()[host].name.clone()
    }

    /// Ends a machine's process: its connections are reset, new ones are refused.
    pub fn kill(&self, host: Host) {
        self.exec.trace(format_args!("killed {}", self.name(host)));
        self.machines.borrow_mut()[host].life += 1;
        self.exec.kill(host);
        let held = self.doors.borrow();
        let doors = held.iter().filter(|(_, d)| d.borrow().host == host).map(|(a, _)| *a);
        let doors: Vec<SocketAddr> = doors.collect();
        drop(held);
        for door in doors {
            let gone = self.doors.borrow_mut().remove(&door);
            drop(gone);
        }
    }

    /// Ends a machine's process as one that returns by itself: what it had not read or answered counts as lost.
    pub fn exit(&self, host: Host) {
        self.exec.kill(host);
        self.kill(host);
    }

    /// Cuts a machine off: nothing comes from it and nothing reaches it. Back, it knows no connection any more.
    pub fn silence(&self, host: Host, silent: bool) {
        self.exec.trace(format_args!("{} silent={silent}", self.name(host)));
        self.machines.borrow_mut()[host].silent = silent;
        if !silent {
            self.release();
        }
    }

    /// Further delay of what a machine sends.
    pub fn delay(&self, host: Host, nanos: u64) {
        self.machines.borrow_mut()[host].delay = nanos;
    }

    /// Cuts or heals the way from one machine to another.
    pub fn cut(&self, from: Host, to: Host, cut: bool) {
        self.exec.trace(format_args!("way {} > {} cut={cut}", self.name(from), self.name(to)));
        if cut {
            self.cut.borrow_mut().insert((from, to));
        } else {
            self.cut.borrow_mut().remove(&(from, to));
            self.release();
        }
    }

    fn passes(&self, from: Host, to: Host) -> bool {
        let machines = self.machines.borrow();
        !machines[from].silent && !machines[to].silent && !self.cut.borrow().contains(&(from, to))
    }

    fn way(&self, from: Host) -> u64 {
        self.dice.within(self.latency.0, self.latency.1) + self.machines.borrow()[from].delay
    }

    /// Sends on what was held back, where the way is free again.
    fn release(&self) {
        let conns: Vec<Shared> = self.conns.borrow().values().filter_map(Weak::upgrade).collect();
        for conn in conns {
            for side in 0..2 {
                let held: Vec<Payload> = {
                    let mut c = conn.borrow_mut();
                    let (from, to) = (c.line.hosts[side], c.line.hosts[1 - side]);
                    if c.ends[side].held.is_empty() || !self.passes(from, to) {
                        continue;
                    }
                    c.ends[side].held.drain(..).collect()
                };
                held.into_iter().for_each(|payload| self.send(&conn, side, payload));
            }
        }
    }

    fn send(&self, conn: &Shared, side: usize, payload: Payload) {
        let at = {
            let mut c = conn.borrow_mut();
            let from = c.line.hosts[side];
            let at = (self.exec.nanos() + self.way(from)).max(c.ends[side].arrives + 1);
            c.ends[side].arrives = at;
            at
        };
        let (conn, network) = (conn.clone(), self.me.clone());
        self.exec.at(at, move || {
            if let Some(network) = network.upgrade() {
                network.arrive(&conn, side, payload);
            }
        });
    }

    /// Something that `side` sent has come to the other end.
    fn arrive(&self, conn: &Shared, side: usize, payload: Payload) {
        let tap = self.tap.borrow().clone();
        let (line, wakers, answer) = {
            let mut c = conn.borrow_mut();
            let (from, to) = (c.line.hosts[side], c.line.hosts[1 - side]);
            if !c.ends[side].held.is_empty() || !self.passes(from, to) {
                c.ends[side].held.push_back(payload);
                return;
            }
            let line = c.line.clone();
            let [a, b] = &mut c.ends;
            let (sender, end) = if side == 0 { (a, b) } else { (b, a) };
            if end.closed {
                // Nobody is there: data is answered by a reset.
                let answer = matches!(payload, Payload::Data(_)).then_some(Payload::Reset);
                (line, [None, None], answer)
            } else {
                match payload {
                    Payload::Data(bytes) => {
                        end.inbox.extend_from_slice(&bytes);
                        if !end.reading {
                            sender.unread = sender.unread.saturating_sub(bytes.len());
                            end.inbox.clear();
                        }
                        if let Some(tap) = &tap {
                            tap.came(&line, 1 - side, &bytes);
                        }
                    }
                    Payload::Fin => end.fin = true,
                    Payload::Reset => end.reset = true,
                }
                if (end.fin || end.reset)
                    && let Some(tap) = &tap
                {
                    tap.heard_close(&line, 1 - side);
                }
                (line, [end.reader.take(), end.writer.take()], None)
            }
        };
        if let Some(answer) = answer {
            self.exec.trace(format_args!("#{} reset by {}", line.number, self.name(line.hosts[1 - side])));
            self.send(conn, 1 - side, answer);
        }
        wakers.into_iter().flatten().for_each(Waker::wake);
    }

    /// An end is done with a connection, in whole or with one direction.
    fn close(&self, conn: &Shared, side: usize, (reading, writing): (bool, bool), reset: bool, life: u64) {
        let (line, how, payload) = {
            let mut c = conn.borrow_mut();
            let line = c.line.clone();
            let killed = self.machines.borrow()[line.hosts[side]].life != life;
            let end = &mut c.ends[side];
            if end.closed {
                return;
            }
            let was_writing = end.writing;
            end.reading &= !reading;
            end.writing &= !writing;
            end.closed = !end.reading && !end.writing;
            let how = match (killed, reset || !end.inbox.is_empty()) {
                (true, _) => Close::Killed,
                (false, true) => Close::Reset,
                (false, false) => Close::Orderly,
            };
            if !end.closed && was_writing && !end.writing {
                (line, None, Some(Payload::Fin))
            } else if end.closed {
                let payload = match how {
                    Close::Orderly if was_writing => Some(Payload::Fin),
                    Close::Orderly => None,
                    Close::Reset | Close::Killed => Some(Payload::Reset),
                };
                end.inbox.clear();
                (line, Some(how), payload)
            } else {
                return;
            }
        };
        if let Some(how) = how {
            self.exec.trace(format_args!(
                "#{} closed by {} {how:?}",
                line.number,
                self.name(line.hosts[side])
            ));
            if let Some(tap) = self.tap.borrow().clone() {
                tap.closed(&line, side, how);
            }
            if conn.borrow().ends[1 - side].closed {
                self.conns.borrow_mut().remove(&line.number);
            }
        }
        if let Some(payload) = payload {
            self.send(conn, side, payload);
        }
    }

    /// A new process begins on a machine that came back: what others still hold towards it is reset.
    pub fn forget(&self, host: Host) {
        let conns: Vec<Shared> = self.conns.borrow().values().filter_map(Weak::upgrade).collect();
        for conn in conns {
            let side = {
                let c = conn.borrow();
                c.line.hosts.iter().position(|h| *h == host)
            };
            if let Some(side) = side {
                conn.borrow_mut().ends[side].held.clear();
                conn.borrow_mut().ends[1 - side].held.clear();
                self.send(&conn, side, Payload::Reset);
            }
        }
    }

    fn port(&self) -> u16 {
        self.ports.set(if self.ports.get() > 60_000 { 20_000 } else { self.ports.get() + 1 });
        self.ports.get()
    }
}

/// A machine, for a program to run on.
#[derive(Clone)]
pub struct SimNet {
    network: Rc<Network>,
    /// Which one.
    pub host: Host,
    life: u64,
}

impl Net for SimNet {
    type Stream = SimStream;
    type Listener = SimListener;
    type Socket = SimSocket;
    type Task = Handle;

    fn now(&self) -> Instant {
        self.network.exec.now()
    }

    fn boot_time(&self) -> Duration {
        Duration::from_nanos(self.network.exec.nanos())
    }

    fn unix_time(&self) -> Duration {
        EPOCH + Duration::from_nanos(self.network.exec.nanos())
    }

    fn sleep_until(&self, at: Instant) -> impl Future<Output = ()> {
        let exec = &self.network.exec;
        let mut nanos = exec.nanos_of(at);
        if self.network.machines.borrow()[self.host].coarse && nanos > exec.nanos() {
            nanos = nanos.div_ceil(1_000_000) * 1_000_000;
        }
        let sleep: Sleep = exec.sleep_until(nanos);
        sleep
    }

    fn yield_now(&self) -> impl Future<Output = ()> {
        let once: Yield = self.network.exec.yield_now();
        once
    }

    fn spawn(&self, task: impl Future<Output = ()> + 'static) -> Handle {
        self.network.exec.spawn(self.host, task)
    }

    async fn connect(&self, to: SocketAddr) -> io::Result<SimStream> {
        let (network, exec) = (&self.network, &self.network.exec);
        let mut again = AGAIN;
        loop {
            exec.sleep_until(exec.nanos() + network.way(self.host)).await;
            let machine = network.machines.borrow().iter().position(|m| m.address == Some(to.ip()));
            let reached = machine.filter(|m| network.passes(self.host, *m) && network.passes(*m, self.host));
            let door = network.doors.borrow().get(&to).cloned();
            let (Some(machine), Some(door)) = (reached, door.filter(|_| reached.is_some())) else {
                if let Some(machine) = reached {
                    // The machine is there and no process listens.
                    exec.sleep_until(exec.nanos() + network.way(machine)).await;
                    return Err(ErrorKind::ConnectionRefused.into());
                }
                exec.sleep_until(exec.nanos() + again).await;
                again *= 2;
                continue;
            };
            if door.borrow().waiting.len() >= BACKLOG {
                exec.sleep_until(exec.nanos() + again).await;
                again *= 2;
                continue;
            }
            let number = network.numbers.get() + 1;
            network.numbers.set(number);
            let end = || End { reading: true, writing: true, ..End::default() };
            let line = Line { number, hosts: [self.host, machine], to };
            exec.trace(format_args!("#{number} {} > {}", network.name(self.host), network.name(machine)));
            let conn = Rc::new(RefCell::new(Conn { line, ends: [end(), end()] }));
            network.conns.borrow_mut().insert(number, Rc::downgrade(&conn));
            let half = |side, life| Half { network: network.clone(), conn: conn.clone(), side, life };
            let ours = SimStream { half: Some(half(0, self.life)) };
            let theirs = SimStream { half: Some(half(1, door.borrow().life)) };
            let waker = {
                let mut door = door.borrow_mut();
                door.waiting.push_back(theirs);
                door.waker.take()
            };
            waker.into_iter().for_each(Waker::wake);
            exec.sleep_until(exec.nanos() + network.way(machine)).await;
            return Ok(ours);
        }
    }

    async fn listen(&self, at: SocketAddr) -> io::Result<SimListener> {
        let mut at = at;
        if at.port() == 0 {
            at.set_port(self.network.port());
        }
        if self.network.doors.borrow().contains_key(&at) {
            return Err(ErrorKind::AddrInUse.into());
        }
        let door = Door { host: self.host, life: self.life, waiting: VecDeque::new(), waker: None };
        let door = Rc::new(RefCell::new(door));
        self.network.doors.borrow_mut().insert(at, door.clone());
        Ok(SimListener { network: self.network.clone(), at, door })
    }

    async fn socket(&self, mut at: SocketAddr) -> io::Result<SimSocket> {
        let own = self.network.machines.borrow()[self.host].address;
        if let Some(own) = own.filter(|_| at.ip().is_unspecified()) {
            at.set_ip(own);
        }
        if at.port() == 0 {
            at.set_port(self.network.port());
        }
        if self.network.mail.borrow().contains_key(&at) {
            return Err(ErrorKind::AddrInUse.into());
        }
        let mailbox = Rc::new(RefCell::new(Mailbox { mail: VecDeque::new(), waker: None }));
        self.network.mail.borrow_mut().insert(at, mailbox.clone());
        Ok(SimSocket { net: self.clone(), at, mailbox })
    }

    fn entropy(&self) -> io::Result<[u8; 32]> {
        let mut seed = [0; 32];
        seed.fill_with(|| self.network.dice.within(0, 256) as u8);
        Ok(seed)
    }

    fn log(&self, line: impl Display) {
        self.network.exec.trace(format_args!("{} logs: {line}", self.network.name(self.host)));
    }
}

/// One end of a connection, or half of one.
struct Half {
    network: Rc<Network>,
    conn: Shared,
    side: usize,
    life: u64,
}

impl Half {
    fn close(&self, what: (bool, bool), reset: bool) {
        self.network.close(&self.conn, self.side, what, reset, self.life);
    }

    fn take(&self, most: usize, into: &mut dyn FnMut(&[u8])) -> io::Result<usize> {
        let (taken, waker) = {
            let mut c = self.conn.borrow_mut();
            let [a, b] = &mut c.ends;
            let (end, other) = if self.side == 0 { (a, b) } else { (b, a) };
            let taken = end.inbox.len().min(most);
            if taken == 0 {
                return match (end.reset, end.fin) {
                    (true, _) => Err(ErrorKind::ConnectionReset.into()),
                    (false, true) => Ok(0),
                    _ => Err(ErrorKind::WouldBlock.into()),
                };
            }
            into(&end.inbox[..taken]);
            end.inbox.advance(taken);
            other.unread = other.unread.saturating_sub(taken);
            (taken, other.writer.take())
        };
        waker.into_iter().for_each(Waker::wake);
        Ok(taken)
    }

    fn poll_readable(&self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let mut c = self.conn.borrow_mut();
        let end = &mut c.ends[self.side];
        if end.inbox.is_empty() && !end.fin && !end.reset {
            end.reader = Some(cx.waker().clone());
            return Poll::Pending;
        }
        Poll::Ready(Ok(()))
    }

    fn poll_read(&self, cx: &mut Context<'_>, buffer: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        match self.take(buffer.remaining(), &mut |bytes| buffer.put_slice(bytes)) {
            Ok(_) => Poll::Ready(Ok(())),
            Err(e) if e.kind() == ErrorKind::WouldBlock => {
                self.conn.borrow_mut().ends[self.side].reader = Some(cx.waker().clone());
                Poll::Pending
            }
            Err(e) => Poll::Ready(Err(e)),
        }
    }

    fn poll_write(&self, cx: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        let network = &self.network;
        let (line, sent) = {
            let mut c = self.conn.borrow_mut();
            let line = c.line.clone();
            let end = &mut c.ends[self.side];
            if end.reset || !end.writing {
                return Poll::Ready(Err(ErrorKind::BrokenPipe.into()));
            }
            let room = WINDOW.saturating_sub(end.unread);
            if room == 0 && !bytes.is_empty() {
                end.writer = Some(cx.waker().clone());
                return Poll::Pending;
            }
            let mut sent = bytes.len().min(room);
            if sent > 1 && network.dice.chance(network.short_writes) {
                sent = network.dice.within(1, sent as u64) as usize;
            }
            end.unread += sent;
            (line, sent)
        };
        let hash = xxhash_rust::xxh3::xxh3_64(&bytes[..sent]) as u32;
        network.exec.trace(format_args!(
            "#{} {} writes {sent} {hash:08x}",
            line.number,
            network.name(line.hosts[self.side])
        ));
        if let Some(tap) = network.tap.borrow().clone() {
            tap.wrote(&line, self.side, &bytes[..sent]);
        }
        network.send(&self.conn, self.side, Payload::Data(bytes[..sent].to_vec()));
        Poll::Ready(Ok(sent))
    }
}

/// A connection.
pub struct SimStream {
    half: Option<Half>,
}

impl SimStream {
    fn half(&self) -> io::Result<&Half> {
        self.half.as_ref().ok_or_else(|| ErrorKind::NotConnected.into())
    }
}

impl Drop for SimStream {
    fn drop(&mut self) {
        if let Some(half) = self.half.take() {
            half.close((true, true), false);
        }
    }
}

impl AsyncRead for SimStream {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        self.half()?.poll_read(cx, buffer)
    }
}

impl AsyncWrite for SimStream {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        self.half()?.poll_write(cx, bytes)
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.half()?.close((false, true), false);
        Poll::Ready(Ok(()))
    }
}

impl Stream for SimStream {
    type ReadHalf = SimReading;
    type WriteHalf = SimWriting;

    fn split(mut self) -> (SimReading, SimWriting) {
        let half = self.half.take().expect("a stream is split once");
        let other =
            Half { network: half.network.clone(), conn: half.conn.clone(), side: half.side, life: half.life };
        (SimReading(half), SimWriting(other))
    }

    fn set_nodelay(&self) {}

    fn reset(mut self) {
        if let Some(half) = self.half.take() {
            half.close((true, true), true);
        }
    }
}

/// The half that reads.
pub struct SimReading(Half);

impl Drop for SimReading {
    fn drop(&mut self) {
        self.0.close((true, false), false);
    }
}

impl ReadHalf for SimReading {
    fn readable(&self) -> impl Future<Output = io::Result<()>> {
        poll_fn(|cx| self.0.poll_readable(cx))
    }

    fn try_read_buf(&self, buffer: &mut BytesMut) -> io::Result<usize> {
        // As tokio's: into the room that there is.
        let room = (buffer.capacity() - buffer.len()).max(64);
        self.0.take(room, &mut |bytes| buffer.extend_from_slice(bytes))
    }

    fn closed(&self) -> bool {
        let end = &self.0.conn.borrow().ends[self.0.side];
        end.fin || end.reset
    }
}

/// The half that writes.
pub struct SimWriting(Half);

impl Drop for SimWriting {
    fn drop(&mut self) {
        self.0.close((false, true), false);
    }
}

impl AsyncWrite for SimWriting {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        self.0.poll_write(cx, bytes)
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.0.close((false, true), false);
        Poll::Ready(Ok(()))
    }
}

/// A listener.
pub struct SimListener {
    network: Rc<Network>,
    at: SocketAddr,
    door: Rc<RefCell<Door>>,
}

impl Drop for SimListener {
    fn drop(&mut self) {
        let ours = self.network.doors.borrow().get(&self.at).is_some_and(|d| Rc::ptr_eq(d, &self.door));
        if ours {
            self.network.doors.borrow_mut().remove(&self.at);
        }
        let waiting = std::mem::take(&mut self.door.borrow_mut().waiting);
        drop(waiting);
    }
}

impl Listener for SimListener {
    type Stream = SimStream;

    fn poll_accept(&self, cx: &mut Context<'_>) -> Poll<io::Result<(SimStream, SocketAddr)>> {
        let mut door = self.door.borrow_mut();
        match door.waiting.pop_front() {
            Some(stream) => Poll::Ready(Ok((stream, self.at))),
            None => {
                door.waker = Some(cx.waker().clone());
                Poll::Pending
            }
        }
    }

    fn local_addr(&self) -> io::Result<SocketAddr> {
        Ok(self.at)
    }
}

/// A UDP socket.
pub struct SimSocket {
    net: SimNet,
    at: SocketAddr,
    mailbox: Rc<RefCell<Mailbox>>,
}

impl Drop for SimSocket {
    fn drop(&mut self) {
        let mut mail = self.net.network.mail.borrow_mut();
        if mail.get(&self.at).is_some_and(|m| Rc::ptr_eq(m, &self.mailbox)) {
            mail.remove(&self.at);
        }
    }
}

impl Socket for SimSocket {
    fn try_send_to(&self, bytes: &[u8], to: SocketAddr) -> io::Result<usize> {
        let network = &self.net.network;
        let (post, sent) = (network.post.get(), bytes.len());
        if let Some(first) = bytes.first_chunk::<4>() {
            let mut posted = network.posted.borrow_mut();
            let of = posted.entry(*first).or_default();
            *of = (of.0 + 1, network.exec.millis());
        }
        let host = network.machines.borrow().iter().position(|m| m.address == Some(to.ip()));
        let copies = match (network.dice.chance(post.lost), network.dice.chance(post.doubled)) {
            (true, _) => 0,
            (_, true) => 2,
            _ => 1,
        };
        for _ in 0..copies {
            let late = network.dice.within(0, post.late_ms * 1_000_000 + 1);
            let at = network.exec.nanos() + network.way(self.net.host) + late;
            let (me, from, bytes) = (network.me.clone(), (self.net.host, self.at), bytes.to_vec());
            network.exec.at(at, move || {
                let Some(network) = me.upgrade() else { return };
                if host.is_some_and(|to| network.passes(from.0, to)) {
                    let mailbox = network.mail.borrow().get(&to).cloned();
                    let Some(mailbox) = mailbox else { return };
                    let waker = {
                        let mut mailbox = mailbox.borrow_mut();
                        mailbox.mail.push_back((bytes, from.1));
                        mailbox.waker.take()
                    };
                    waker.into_iter().for_each(Waker::wake);
                }
            });
        }
        Ok(sent)
    }

    async fn send_to(&self, bytes: &[u8], to: SocketAddr) -> io::Result<usize> {
        self.try_send_to(bytes, to)
    }

    fn recv_from(&self, buffer: &mut [u8]) -> impl Future<Output = io::Result<(usize, SocketAddr)>> {
        poll_fn(|cx| {
            let mut mailbox = self.mailbox.borrow_mut();
            let Some((bytes, from)) = mailbox.mail.pop_front() else {
                mailbox.waker = Some(cx.waker().clone());
                return Poll::Pending;
            };
            let length = bytes.len().min(buffer.len());
            buffer[..length].copy_from_slice(&bytes[..length]);
            Poll::Ready(Ok((length, from)))
        })
    }

    fn local_addr(&self) -> io::Result<SocketAddr> {
        Ok(self.at)
    }
}
