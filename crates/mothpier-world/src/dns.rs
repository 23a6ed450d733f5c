//! A DNS server: one service with its boxes, over UDP and TCP, and what such servers do wrong. Messages are written here
//! byte by byte from RFC 1035 and RFC 2782, apart from the node's codec on purpose.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;

use mothpier_net::{Listener, Net, Socket};
use tokio::io::{AsyncReadExt, AsyncWriteExt};

use crate::Dice;

/// What fits a datagram without EDNS, and the most that is sent in one with it.
const FITS: (usize, usize) = (512, 1232);
/// An answer that is late comes so long after the question.
const LATE: Duration = Duration::from_millis(1_700);

/// Ports that are tried until one is free for both.
const TRIES: u32 = 16;

const SRV: u16 = 33;
const A: u16 = 1;
const CNAME: u16 = 5;
const SOA: u16 = 6;

/// A box as DNS names it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// Its host's name.
    pub host: String,
    /// Where it is; only version 4.
    pub at: SocketAddr,
    /// SRV's priority and weight.
    pub rank: (u16, u16),
}

/// The service and its boxes: shared by the servers of one world.
pub struct Zone {
    /// The service's name, without the last dot.
    pub service: String,
    /// Its boxes.
    pub entries: RefCell<Vec<Entry>>,
    /// Lifetime of all records, seconds.
    pub ttl: Cell<u32>,
    /// Addresses come beside the records that name their hosts.
    pub beside: Cell<bool>,
}

/// What a server does wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Bend {
    /// It answers nothing, over UDP and TCP.
    Silent,
    /// SERVFAIL.
    Fails,
    /// There is no such name.
    NoName,
    /// There is the name, and nothing under it.
    Empty,
    /// Every answer is cut short, and TCP is refused.
    CutNoTcp,
    /// Every answer is cut short, and ends half-way over TCP.
    CutHalf,
    /// Before each answer come others that nobody asked for: another id, another name, from another port; all of
    /// them name a stranger.
    Forged(SocketAddr),
    /// A lifetime of 0 on every record.
    NoLife,
    /// A lifetime of 2³¹ on every record.
    LongLife,
    /// The service's name stands for another, which stands for it.
    Circle,
    /// An answer that can't be read: names that point at themselves.
    Noise,
    /// It goes on with the records that it had, whatever they are now.
    Old,
    /// Another half of the boxes for each who asks.
    Part,
    /// It answers after the next question.
    Late,
}

impl Bend {
    /// All ways, with a stranger for the answers that are forged.
    pub fn all(stranger: SocketAddr) -> impl Iterator<Item = Bend> {
        [
            Bend::Silent,
            Bend::Fails,
            Bend::NoName,
            Bend::Empty,
            Bend::CutNoTcp,
            Bend::CutHalf,
            Bend::Forged(stranger),
            Bend::NoLife,
            Bend::LongLife,
            Bend::Circle,
            Bend::Noise,
            Bend::Old,
            Bend::Part,
            Bend::Late,
        ]
        .into_iter()
    }

    /// In words.
    pub fn about(self) -> &'static str {
        match self {
            Bend::Silent => "says nothing",
            Bend::Fails => "answers SERVFAIL",
            Bend::NoName => "answers NXDOMAIN",
            Bend::Empty => "answers NOERROR without records",
            Bend::CutNoTcp => "cuts its answers short and refuses TCP",
            Bend::CutHalf => "cuts its answers short and ends half-way over TCP",
            Bend::Forged(_) => "is outrun by forged answers",
            Bend::NoLife => "gives a lifetime of 0",
            Bend::LongLife => "gives a lifetime of 2³¹",
            Bend::Circle => "has a name that stands for itself",
            Bend::Noise => "answers names that point at themselves",
            Bend::Old => "goes on with the records that it had",
            Bend::Part => "gives each who asks another half",
            Bend::Late => "answers after 1.7 s",
        }
    }
}

/// Figures.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Asked {
    /// Questions.
    pub questions: u64,
    /// Of each who asked: how many, and when last (by the machine's clock since the Unix epoch).
    pub by: BTreeMap<IpAddr, (u64, Duration)>,
}

/// A server.
pub struct DnsServer<N> {
    net: N,
    zone: Rc<Zone>,
    bend: Cell<Option<Bend>>,
    /// The records that it had when it began to be old.
    old: RefCell<Vec<Entry>>,
    /// What it was asked.
    pub asked: RefCell<Asked>,
    dice: Dice,
}

struct Question {
    id: [u8; 2],
    name: String,
    kind: u16,
    /// The bytes of the question itself.
    bytes: Vec<u8>,
    edns: bool,
}

impl<N: Net> DnsServer<N> {
    /// A server of a zone.
    pub fn new(net: N, zone: Rc<Zone>, seed: u64) -> Rc<Self> {
        Rc::new(DnsServer {
            net,
            zone,
            bend: Cell::new(None),
            old: RefCell::default(),
            asked: RefCell::default(),
            dice: Dice::part(seed, 12),
        })
    }

    /// What it does wrong from now on.
    pub fn bend(&self, bend: Option<Bend>) {
        *self.old.borrow_mut() = self.zone.entries.borrow().clone();
        self.bend.set(bend);
    }

    /// What it does wrong.
    pub fn bent(&self) -> Option<Bend> {
        self.bend.get()
    }

    /// Serves on UDP and TCP until its machine ends it; gives the address. Port 0 is one that both have free.
    ///
    /// # Errors
    ///
    /// An address that can't be listened on.
    pub async fn serve(self: Rc<Self>, at: SocketAddr) -> io::Result<SocketAddr> {
        let mut tries = TRIES;
        let (listener, socket, at) = loop {
            let listener = self.net.listen(at).await?;
            let here = listener.local_addr()?;
            match self.net.socket(here).await {
                Ok(socket) => break (listener, Rc::new(socket), here),
                Err(e) if at.port() != 0 || tries == 0 => return Err(e),
                Err(_) => tries -= 1,
            }
        };
        let server = self.clone();
        self.net.spawn(async move {
            while let Ok((stream, from)) = listener.accept().await {
                let served = server.clone();
                server.net.spawn(async move {
                    let _ = served.connection(stream, from).await;
                });
            }
        });
        let server = self.clone();
        self.net.spawn(async move {
            let mut buffer = [0; 1024];
            loop {
                let Ok((length, from)) = socket.recv_from(&mut buffer).await else { continue };
                let Some(question) = read(&buffer[..length]) else { continue };
                let (served, socket) = (server.clone(), socket.clone());
                server.net.spawn(async move { served.datagram(&socket, &question, from).await });
            }
        });
        Ok(at)
    }

    fn count(&self, from: IpAddr) {
        let mut asked = self.asked.borrow_mut();
        asked.questions += 1;
        let by = asked.by.entry(from).or_default();
        *by = (by.0 + 1, self.net.unix_time());
    }

    async fn datagram(&self, socket: &N::Socket, question: &Question, from: SocketAddr) {
        self.count(from.ip());
        let bend = self.bend.get();
        match bend {
            Some(Bend::Silent) => return,
            Some(Bend::Late) => self.net.sleep(LATE).await,
            Some(Bend::Forged(stranger)) => self.forge(socket, question, from, stranger).await,
            _ => {}
        }
        let mut answer = self.answer(question, bend, from.ip());
        let most = if question.edns { FITS.1 } else { FITS.0 };
        if answer.len() > most || matches!(bend, Some(Bend::CutNoTcp | Bend::CutHalf)) {
            answer = message(question, Flags { cut: true, ..Flags::default() }, &[], &[], &[]);
        }
        let _ = socket.send_to(&answer, from).await;
    }

    async fn connection(&self, mut stream: N::Stream, from: SocketAddr) -> io::Result<()> {
        loop {
            let mut length = [0; 2];
            stream.read_exact(&mut length).await?;
            let mut asked = vec![0; usize::from(u16::from_be_bytes(length))];
            stream.read_exact(&mut asked).await?;
            let Some(question) = read(&asked) else { return Ok(()) };
            self.count(from.ip());
            let bend = self.bend.get();
            if bend == Some(Bend::CutNoTcp) {
                return Ok(());
            }
            if bend == Some(Bend::Silent) {
                self.net.sleep(Duration::from_secs(3600)).await;
            }
            let answer = self.answer(&question, bend, from.ip());
            let length = (answer.len() as u16).to_be_bytes();
            let whole = [&length[..], &answer].concat();
            if bend == Some(Bend::CutHalf) {
                return stream.write_all(&whole[..whole.len() / 2]).await;
            }
            stream.write_all(&whole).await?;
        }
    }

    /// Answers that nobody asked for, all of which name a stranger as the only box.
    async fn forge(&self, socket: &N::Socket, question: &Question, from: SocketAddr, stranger: SocketAddr) {
        let host = "stranger.example.net";
        let entry = Entry { host: host.into(), at: stranger, rank: (0, 1) };
        let records = [srv(&self.zone.service, &entry, 3600)];
        let beside = [address(host, stranger, 3600)];
        let forged = |question: &Question| message(question, Flags::default(), &records, &[], &beside);
        let other = Question {
            id: u16::from_be_bytes(question.id)
                .wrapping_add(1 + self.dice.within(0, 60_000) as u16)
                .to_be_bytes(),
            name: question.name.clone(),
            bytes: question.bytes.clone(),
            ..*question
        };
        let _ = socket.send_to(&forged(&other), from).await;
        let other = Question {
            name: "other.example.org".into(),
            bytes: [&encode("other.example.org")[..], &question.kind.to_be_bytes(), &[0, 1]].concat(),
            ..*question
        };
        let _ = socket.send_to(&forged(&other), from).await;
        // The right id, even, but from elsewhere.
        let any = SocketAddr::from((Ipv4Addr::UNSPECIFIED, 0));
        if let Ok(elsewhere) = self.net.socket(any).await {
            let _ = elsewhere.send_to(&forged(question), from).await;
        }
    }

    fn answer(&self, question: &Question, bend: Option<Bend>, from: IpAddr) -> Vec<u8> {
        let zone = &self.zone;
        let ttl = match bend {
            Some(Bend::NoLife) => 0,
            Some(Bend::LongLife) => 1 << 31,
            _ => zone.ttl.get(),
        };
        let soa = [soa(ttl)];
        match bend {
            Some(Bend::Fails) => {
                return message(question, Flags { code: 2, ..Flags::default() }, &[], &[], &[]);
            }
            Some(Bend::NoName) => {
                return message(question, Flags { code: 3, ..Flags::default() }, &[], &soa, &[]);
            }
            Some(Bend::Empty) => return message(question, Flags::default(), &[], &soa, &[]),
            Some(Bend::Circle) => {
                let other = format!("other.{}", question.name);
                let links = [cname(&question.name, &other, ttl), cname(&other, &question.name, ttl)];
                return message(question, Flags::default(), &links, &[], &[]);
            }
            Some(Bend::Noise) => {
                let mut bytes = message(question, Flags { records: 3, ..Flags::default() }, &[], &[], &[]);
                // A name that points at itself, and then whatever.
                let here = 0xc000 | bytes.len() as u16;
                bytes.extend(here.to_be_bytes());
                bytes.extend((0..40).map(|_| self.dice.within(0, 256) as u8));
                return bytes;
            }
            _ => {}
        }
        let entries = match bend {
            Some(Bend::Old) => self.old.borrow().clone(),
            Some(Bend::Part) => {
                let IpAddr::V4(from) = from else { return Vec::new() };
                let half = usize::from(from.octets()[3] % 2);
                zone.entries.borrow().iter().skip(half).step_by(2).cloned().collect()
            }
            _ => zone.entries.borrow().clone(),
        };
        if question.kind == SRV && question.name.eq_ignore_ascii_case(&zone.service) {
            let records: Vec<Vec<u8>> = entries.iter().map(|e| srv(&question.name, e, ttl)).collect();
            let beside: Vec<Vec<u8>> = match zone.beside.get() {
                true => entries.iter().map(|e| address(&e.host, e.at, ttl)).collect(),
                false => Vec::new(),
            };
            let authority = if records.is_empty() { &soa[..] } else { &[] };
            return message(question, Flags::default(), &records, authority, &beside);
        }
        let here: Vec<&Entry> =
            entries.iter().filter(|e| e.host.eq_ignore_ascii_case(&question.name)).collect();
        let code = if here.is_empty() { 3 } else { 0 };
        let records: Vec<Vec<u8>> =
            here.iter().filter(|_| question.kind == A).map(|e| address(&e.host, e.at, ttl)).collect();
        let authority = if records.is_empty() { &soa[..] } else { &[] };
        message(question, Flags { code, ..Flags::default() }, &records, authority, &[])
    }
}

#[derive(Default)]
struct Flags {
    code: u8,
    cut: bool,
    /// Records that are said to be there beside those that are.
    records: u16,
}

fn read(bytes: &[u8]) -> Option<Question> {
    let id = bytes.get(..2)?.try_into().ok()?;
    let edns = u16::from_be_bytes(bytes.get(10..12)?.try_into().ok()?) > 0;
    let (mut at, mut labels) = (12, Vec::new());
    loop {
        let length = usize::from(*bytes.get(at)?);
        at += 1;
        if length == 0 {
            break;
        }
        labels.push(String::from_utf8_lossy(bytes.get(at..at + length)?).into_owned());
        at += length;
    }
    let kind = u16::from_be_bytes(bytes.get(at..at + 2)?.try_into().ok()?);
    Some(Question { id, name: labels.join("."), kind, bytes: bytes.get(12..at + 4)?.to_vec(), edns })
}

fn message(
    question: &Question,
    flags: Flags,
    answers: &[Vec<u8>],
    authorities: &[Vec<u8>],
    beside: &[Vec<u8>],
) -> Vec<u8> {
    let count = |records: &[Vec<u8>]| records.len() as u16;
    // An answer, to a question that wished recursion, from one that recurses.
    let first = 0x81 | if flags.cut { 2 } else { 0 };
    let mut bytes = [&question.id[..], &[first, 0x80 | flags.code], &1u16.to_be_bytes()].concat();
    bytes.extend((count(answers) + flags.records).to_be_bytes());
    bytes.extend(count(authorities).to_be_bytes());
    bytes.extend(count(beside).to_be_bytes());
    bytes.extend(&question.bytes);
    [answers, authorities, beside].into_iter().flatten().for_each(|record| bytes.extend(record));
    bytes
}

fn encode(name: &str) -> Vec<u8> {
    let mut bytes = Vec::new();
    for label in name.split('.').filter(|l| !l.is_empty()) {
        bytes.push(label.len() as u8);
        bytes.extend(label.as_bytes());
    }
    bytes.push(0);
    bytes
}

fn record(name: &str, kind: u16, ttl: u32, data: &[u8]) -> Vec<u8> {
    let head = [&encode(name)[..], &kind.to_be_bytes(), &[0, 1], &ttl.to_be_bytes()].concat();
    [&head[..], &(data.len() as u16).to_be_bytes(), data].concat()
}

fn srv(service: &str, entry: &Entry, ttl: u32) -> Vec<u8> {
    let figures = [entry.rank.0, entry.rank.1, entry.at.port()].map(u16::to_be_bytes).concat();
    record(service, SRV, ttl, &[&figures[..], &encode(&entry.host)].concat())
}

fn address(host: &str, at: SocketAddr, ttl: u32) -> Vec<u8> {
    match at.ip() {
        IpAddr::V4(ip) => record(host, A, ttl, &ip.octets()),
        IpAddr::V6(ip) => record(host, 28, ttl, &ip.octets()),
    }
}

fn cname(from: &str, to: &str, ttl: u32) -> Vec<u8> {
    record(from, CNAME, ttl, &encode(to))
}

fn soa(ttl: u32) -> Vec<u8> {
    let figures = [1, 60, 60, 60, ttl].map(u32::to_be_bytes).concat();
    let data = [&encode("ns.example.org")[..], &encode("root.example.org"), &figures].concat();
    record("example.org", SOA, ttl, &data)
}
