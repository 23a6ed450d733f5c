//! What a box says of its cluster, read off its answers to `CLUSTER SHARDS`, `CLUSTER SLOTS` and `CLUSTER INFO`. RESP2:
//! maps come as flat arrays. Unknown names are passed over, for later versions add some; what must be there and is not
//! makes the whole answer unreadable.
//!
//! Source: the pages of the three commands.

use std::fmt;
use std::net::IpAddr;

use redis_protocol::resp2::types::BytesFrame;

use crate::redirect::{self, Host, Place};
use crate::slot::SLOTS;

/// Ranges of one answer at the most: each slot in one of its own.
const MOST_RANGES: usize = SLOTS as usize;
/// Boxes of one range at the most: an owner and its copies.
const MOST_SEATS: usize = 64;

/// A box, as a map names it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Seat {
    /// Every way to it that the map tells, the preferred one first.
    pub places: Vec<Place>,
    /// A name and the address that it stands for, where the map tells both.
    pub alias: Option<(String, IpAddr)>,
}

/// Slots next to each other with the same boxes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Range {
    /// The first slot.
    pub first: u16,
    /// The last slot, not before the first.
    pub last: u16,
    /// Their owner.
    pub owner: Seat,
    /// Those that hold copies and are whole.
    pub copies: Vec<Seat>,
}

impl Range {
    /// All its boxes.
    pub fn seats(&self) -> impl Iterator<Item = &Seat> {
        std::iter::once(&self.owner).chain(&self.copies)
    }
}

/// What one box holds to be its cluster.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct View {
    /// Its epoch: higher where more is known.
    pub epoch: u64,
    /// Who has which slots; they may overlap and leave holes.
    pub ranges: Vec<Range>,
}

/// Why an answer is no view.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Unreadable {
    /// The box knows no such command: an older form is to be tried.
    Unknown,
    /// It answers with another error.
    Error(String),
    /// It lacks something, or something has another form.
    Form(&'static str),
}

impl fmt::Display for Unreadable {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Unreadable::Unknown => f.write_str("it knows no such command"),
            Unreadable::Error(line) => write!(f, "it answers {line:?}"),
            Unreadable::Form(what) => f.write_str(what),
        }
    }
}

impl std::error::Error for Unreadable {}

/// The epoch in an answer to `CLUSTER INFO`.
///
/// # Errors
///
/// An answer without one.
pub fn epoch(info: &BytesFrame) -> Result<u64, Unreadable> {
    let text = text(info).ok_or_else(|| error(info, "CLUSTER INFO is no text"))?;
    let lines = text.lines().filter_map(|l| l.trim_end().split_once(':'));
    let value = lines.filter(|(name, _)| *name == "cluster_current_epoch").map(|(_, value)| value).next();
    value.and_then(|v| v.parse().ok()).ok_or(Unreadable::Form("CLUSTER INFO tells no cluster_current_epoch"))
}

/// The ranges in an answer to `CLUSTER SHARDS`.
///
/// # Errors
///
/// An answer of another form.
pub fn shards(answer: &BytesFrame) -> Result<Vec<Range>, Unreadable> {
    let mut ranges = Vec::new();
    for shard in array(answer, "CLUSTER SHARDS is no array")? {
        let shard = fields(shard, "a shard is no map")?;
        let slots = array(shard.get("slots").ok_or(Unreadable::Form("a shard has no slots"))?, "bad slots")?;
        let nodes = array(shard.get("nodes").ok_or(Unreadable::Form("a shard has no nodes"))?, "bad nodes")?;
        let (mut owner, mut copies) = (None, Vec::new());
        for node in nodes {
            let node = fields(node, "a node of a shard is no map")?;
            let seat = node.seat()?;
            match node.text("role") {
                Some("master") if owner.is_none() => owner = Some(seat),
                Some("master") => return Err(Unreadable::Form("a shard has two masters")),
                // A copy that has failed or reads its data is none to read from.
                Some("replica" | "slave") if node.text("health").is_none_or(|h| h == "online") => {
                    copies.push(seat);
                }
                Some("replica" | "slave") => {}
                _ => return Err(Unreadable::Form("a node of a shard has no role")),
            }
        }
        // A shard that lost its master has slots that nobody owns now.
        let Some(owner) = owner else { continue };
        if !slots.len().is_multiple_of(2) {
            return Err(Unreadable::Form("a shard's slots come in no pairs"));
        }
        for pair in slots.chunks_exact(2) {
            let (first, last) = bounds(&pair[0], &pair[1])?;
            add(&mut ranges, Range { first, last, owner: owner.clone(), copies: copies.clone() })?;
        }
    }
    Ok(ranges)
}

/// The ranges in an answer to `CLUSTER SLOTS`.
///
/// # Errors
///
/// An answer of another form.
pub fn slots(answer: &BytesFrame) -> Result<Vec<Range>, Unreadable> {
    let mut ranges = Vec::new();
    for range in array(answer, "CLUSTER SLOTS is no array")? {
        let [first, last, owner, copies @ ..] = array(range, "a range is no array")? else {
            return Err(Unreadable::Form("a range has no owner"));
        };
        let (first, last) = bounds(first, last)?;
        if copies.len() > MOST_SEATS {
            return Err(Unreadable::Form("a range has too many boxes"));
        }
        let copies = copies.iter().map(seat_of_slots).collect::<Result<_, _>>()?;
        add(&mut ranges, Range { first, last, owner: seat_of_slots(owner)?, copies })?;
    }
    Ok(ranges)
}

/// Endpoint, port, id, and from version 7 on a map with `ip` or `hostname`: whichever is not the endpoint.
fn seat_of_slots(node: &BytesFrame) -> Result<Seat, Unreadable> {
    let node = array(node, "a box of a range is no array")?;
    let [endpoint, port, rest @ ..] = node else {
        return Err(Unreadable::Form("a box of a range has no port"));
    };
    let port = u16::try_from(number(port)?).ok().filter(|p| *p > 0);
    let port = port.ok_or(Unreadable::Form("a port is no number from 1 to 65535"))?;
    let more = rest.get(1).and_then(|m| fields(m, "").ok());
    let more = |name: &str| more.as_ref().and_then(|m| m.text(name)).map(str::to_owned);
    seat(text(endpoint).as_deref(), more("ip").as_deref(), more("hostname").as_deref(), port)
}

/// All ways to a box. An endpoint that is null or empty is the host that was asked; one that is `?` is not known.
fn seat(endpoint: Option<&str>, ip: Option<&str>, name: Option<&str>, port: u16) -> Result<Seat, Unreadable> {
    let mut seat = Seat::default();
    let named = [ip, name].into_iter().flatten().filter(|t| !t.is_empty());
    for text in std::iter::once(endpoint.unwrap_or_default()).chain(named) {
        // One way that can't be read does not spoil the others.
        let Ok(host) = redirect::host(text) else { continue };
        let place = Place { host, port: Some(port) };
        if !seat.places.contains(&place) {
            seat.places.push(place);
        }
    }
    let hosts = || seat.places.iter().map(|p| &p.host);
    let ip = hosts().find_map(|h| if let Host::Address(ip) = h { Some(*ip) } else { None });
    let name = hosts().find_map(|h| if let Host::Name(name) = h { Some(name.clone()) } else { None });
    seat.alias = name.zip(ip);
    if seat.places.is_empty() {
        return Err(Unreadable::Form("a box has no host"));
    }
    Ok(seat)
}

fn add(ranges: &mut Vec<Range>, range: Range) -> Result<(), Unreadable> {
    if ranges.len() >= MOST_RANGES {
        return Err(Unreadable::Form("it has more ranges than there are slots"));
    }
    ranges.push(range);
    Ok(())
}

fn bounds(first: &BytesFrame, last: &BytesFrame) -> Result<(u16, u16), Unreadable> {
    let slot = |frame| {
        let number = u16::try_from(number(frame)?).ok().filter(|s| *s < SLOTS);
        number.ok_or(Unreadable::Form("a slot is no number from 0 to 16383"))
    };
    let (first, last) = (slot(first)?, slot(last)?);
    if first > last { Err(Unreadable::Form("a range ends before it begins")) } else { Ok((first, last)) }
}

/// The names and values of a map that comes as a flat array.
struct Fields<'a>(&'a [BytesFrame]);

impl Fields<'_> {
    fn get(&self, name: &str) -> Option<&BytesFrame> {
        self.0.chunks_exact(2).find(|pair| raw(&pair[0]) == Some(name)).map(|pair| &pair[1])
    }

    fn text(&self, name: &str) -> Option<&str> {
        self.get(name).and_then(raw)
    }

    /// The ways to a node of a shard; where it speaks TLS alone, it has that port only.
    fn seat(&self) -> Result<Seat, Unreadable> {
        let port = self.get("port").or_else(|| self.get("tls-port"));
        let port = number(port.ok_or(Unreadable::Form("a node of a shard has no port"))?)?;
        let port = u16::try_from(port).ok().filter(|p| *p > 0);
        let port = port.ok_or(Unreadable::Form("a port is no number from 1 to 65535"))?;
        seat(self.text("endpoint"), self.text("ip"), self.text("hostname"), port)
    }
}

fn fields<'a>(frame: &'a BytesFrame, else_say: &'static str) -> Result<Fields<'a>, Unreadable> {
    Ok(Fields(array(frame, else_say)?))
}

fn array<'a>(frame: &'a BytesFrame, else_say: &'static str) -> Result<&'a [BytesFrame], Unreadable> {
    match frame {
        BytesFrame::Array(parts) => Ok(parts),
        other => Err(error(other, else_say)),
    }
}

fn error(frame: &BytesFrame, else_say: &'static str) -> Unreadable {
    match frame {
        // The words of the servers of all versions: "unknown command", "unknown subcommand".
        BytesFrame::Error(line) if line.to_ascii_lowercase().contains("unknown") => Unreadable::Unknown,
        BytesFrame::Error(line) => Unreadable::Error(line.chars().take(80).collect()),
        _ => Unreadable::Form(else_say),
    }
}

fn raw(frame: &BytesFrame) -> Option<&str> {
    match frame {
        BytesFrame::BulkString(b) | BytesFrame::SimpleString(b) => std::str::from_utf8(b).ok(),
        _ => None,
    }
}

fn text(frame: &BytesFrame) -> Option<String> {
    raw(frame).map(str::to_owned)
}

fn number(frame: &BytesFrame) -> Result<i64, Unreadable> {
    match frame {
        BytesFrame::Integer(n) => Ok(*n),
        other => {
            let number = raw(other).and_then(|t| t.parse().ok());
            number.ok_or(Unreadable::Form("text where a number belongs"))
        }
    }
}

#[cfg(test)]
mod tests {
    use redis_protocol::resp2::decode::decode_bytes;

    use super::*;

    /// A frame from a short notation: numbers, words, `~` for null, and arrays in brackets.
    fn frame(text: &str) -> BytesFrame {
        let mut out = vec![Vec::new()];
        for word in text.replace('[', " [ ").replace(']', " ] ").split_whitespace() {
            let done = match (word, word.parse::<i64>()) {
                ("[", _) => {
                    out.push(Vec::new());
                    continue;
                }
                ("]", _) => BytesFrame::Array(out.pop().unwrap()),
                ("~", _) => BytesFrame::Null,
                ("''", _) => BytesFrame::BulkString("".into()),
                (_, Ok(n)) => BytesFrame::Integer(n),
                _ => BytesFrame::BulkString(word.to_owned().into()),
            };
            out.last_mut().unwrap().push(done);
        }
        out.remove(0).remove(0)
    }

    fn places(seat: &Seat) -> Vec<String> {
        seat.places.iter().map(|p| format!("{:?}:{}", p.host, p.port.unwrap_or(0))).collect()
    }

    #[test]
    fn shards_as_the_page_shows_them() {
        // The example of the page of CLUSTER SHARDS, with a second shard whose master speaks TLS alone.
        let answer = frame(
            "[ [ slots [ 0 5460 ] nodes [
                [ id e10b port 30001 ip 127.0.0.1 endpoint 127.0.0.1 role master replication-offset 72156 health online ]
                [ id 1901 port 30004 ip 127.0.0.1 endpoint 127.0.0.1 role replica replication-offset 72156 health online ]
                [ id 1902 port 30005 ip 127.0.0.1 endpoint 127.0.0.1 role replica replication-offset 0 health loading ] ] ]
              [ slots [ 10923 11110 11113 16383 ] nodes [
                [ id fd20 tls-port 30002 ip 10.0.0.2 hostname pb7.example.org endpoint pb7.example.org role master health online new-in-9 [ 1 2 ] ] ] ]
              [ slots [ 7 7 ] nodes [ [ id aa port 1 ip 10.0.0.9 endpoint ~ role replica health online ] ] ] ]",
        );
        let ranges = shards(&answer).unwrap();
        let bounds: Vec<_> = ranges.iter().map(|r| (r.first, r.last, r.copies.len())).collect();
        assert_eq!(bounds, [(0, 5460, 1), (10923, 11110, 0), (11113, 16383, 0)]);
        assert_eq!(places(&ranges[0].owner), ["Address(127.0.0.1):30001"]);
        assert_eq!(places(&ranges[1].owner), [r#"Name("pb7.example.org"):30002"#, "Address(10.0.0.2):30002"]);
        assert_eq!(ranges[1].owner.alias, Some(("pb7.example.org".into(), [10, 0, 0, 2].into())));
    }

    #[test]
    fn slots_of_old_and_new_servers() {
        let answer = frame(
            "[ [ 0 5460 [ 127.0.0.1 30001 09db [ hostname pb1.example.org ] ] [ 127.0.0.1 30004 821d ] ]
               [ 5461 10922 [ ~ 30002 c9d9 [ ] ] ] [ 10923 16383 [ ? 30003 0448 [ ip 10.0.0.3 ] ] ] [ 3 3 [ '' 5 x ] ] ]",
        );
        let ranges = slots(&answer).unwrap();
        assert_eq!(ranges.len(), 4);
        let owners: Vec<_> = ranges.iter().map(|r| places(&r.owner)).collect();
        assert_eq!(owners[0], ["Address(127.0.0.1):30001", r#"Name("pb1.example.org"):30001"#]);
        // Null and empty: the host that was asked. Unknown: what else the map tells.
        assert_eq!(owners[1], ["Same:30002"]);
        assert_eq!(owners[2], ["Address(10.0.0.3):30003"]);
        assert_eq!(owners[3], ["Same:5"]);
    }

    #[test]
    fn the_epoch_stands_in_the_info() {
        let info = |text: &str| BytesFrame::BulkString(text.to_owned().into());
        assert_eq!(
            epoch(&info("cluster_state:ok\r\ncluster_current_epoch:6\r\ncluster_my_epoch:2\r\n")),
            Ok(6)
        );
        assert!(epoch(&info("cluster_state:ok\r\n")).is_err());
        assert!(epoch(&info("cluster_current_epoch:-1\r\n")).is_err());
        let unknown = BytesFrame::Error("ERR unknown command 'CLUSTER'".into());
        assert_eq!(epoch(&unknown), Err(Unreadable::Unknown));
        let off = BytesFrame::Error("ERR This instance has cluster support disabled".into());
        assert!(matches!(epoch(&off), Err(Unreadable::Error(_))));
    }

    #[test]
    fn what_can_not_be_a_map_is_refused_whole() {
        for bad in [
            "[ 1 ]",
            "[ [ 0 ] ]",
            "[ [ 0 1 ] ]",
            "[ [ 0 16384 [ 10.0.0.1 1 x ] ] ]",
            "[ [ 5 4 [ 10.0.0.1 1 x ] ] ]",
            "[ [ -1 4 [ 10.0.0.1 1 x ] ] ]",
            "[ [ 0 1 [ 10.0.0.1 0 x ] ] ]",
            "[ [ 0 1 [ 10.0.0.1 70000 x ] ] ]",
            "[ [ 0 1 [ ? 5 x ] ] ]",
            "[ [ a 1 [ 10.0.0.1 5 x ] ] ]",
        ] {
            assert!(slots(&frame(bad)).is_err(), "{bad}");
            assert!(shards(&frame(bad)).is_err(), "{bad}");
        }
        for bad in [
            "[ [ slots [ 0 1 ] ] ]",
            "[ [ slots [ 0 ] nodes [ [ port 1 ip 10.0.0.1 role master ] ] ] ]",
            "[ [ slots [ 0 1 ] nodes [ [ port 1 ip 10.0.0.1 ] ] ] ]",
            "[ [ slots [ 0 1 ] nodes [ [ ip 10.0.0.1 role master ] ] ] ]",
            "[ [ slots [ 0 1 ] nodes [ [ port 1 ip 10.0.0.1 role master ] [ port 2 ip 10.0.0.1 role master ] ] ] ]",
        ] {
            assert!(matches!(shards(&frame(bad)), Err(Unreadable::Form(_))), "{bad}");
        }
    }

    /// Whatever a server may send: an error, never a panic.
    #[test]
    fn noise_is_an_error() {
        let mut dice = oorandom::Rand32::new(5);
        let good = b"*1\r\n*3\r\n:0\r\n:5460\r\n*3\r\n$9\r\n127.0.0.1\r\n:30001\r\n$2\r\n09\r\n";
        for _ in 0..20_000 {
            let mut bytes = good.to_vec();
            for _ in 0..1 + dice.rand_range(0..4) {
                let at = dice.rand_range(0..bytes.len() as u32) as usize;
                bytes[at] = b"*$:+-\r\n0129\xff"[dice.rand_range(0..12) as usize];
            }
            if let Ok(Some((frame, _))) = decode_bytes(&bytes.into()) {
                let _ = (slots(&frame), shards(&frame), epoch(&frame));
            }
        }
    }
}
