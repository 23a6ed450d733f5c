//! Reads a request of a client: its words, its extras and what they must be.

use brassrouter::{Micros, Request};
use bytes::Bytes;
use mothpier_net::Net;
use xxhash_rust::xxh3::xxh3_64;

use super::Clients;
use crate::binding;
use crate::cancellation::CancelToken;
use crate::messages::{Command, RequestIdClaim};
use crate::resp::MAX_VALUE;

impl<N: Net> Clients<N> {
    /// Reads a command's words; the error is answered to the client.
    pub(super) fn parse(&self, words: &[Bytes], came: Micros) -> Result<(Request, Command), String> {
        let [name, key, id, extras, value @ ..] = words else {
            return Err("ERR wrong number of arguments".into());
        };
        let write = name.as_ref() == b"CACHE.SET";
        if value.len() != usize::from(write) {
            return Err("ERR wrong number of arguments".into());
        }
        if key.is_empty() || id.is_empty() || key.len() > 1024 || id.len() > 1024 || extras.len() > 4096 {
            return Err("ERR key, id or extras of a wrong length".into());
        }
        // They go into headers at the origin, and what a cache server can't read costs all that wait there.
        if !id.iter().chain(extras.iter()).all(|b| b.is_ascii_graphic()) {
            return Err("ERR id and extras must be printable".into());
        }
        let text = String::from_utf8_lossy(extras);
        let names = names(&text)?;
        let bound = binding::bind(self.binding.as_ref(), write, &names).map_err(|e| e.to_string())?;
        let names = bound.as_deref().map(self::names).transpose()?.unwrap_or(names);
        let extra = |name: &str| names.iter().find(|(n, _)| *n == name).map(|(_, v)| *v);
        let digits = |v: &str| v.bytes().all(|b| b.is_ascii_digit() || b == b'.');
        let figure = |name: &str| match extra(name).map(|v| v.parse::<f64>().ok().filter(|_| digits(v))) {
            None => Ok(None),
            Some(Some(f)) if f.is_finite() => Ok(Some(f)),
            Some(_) => Err(format!("ERR {name} is no figure")),
        };
        let class = extra("c").and_then(|c| self.site.classes.iter().position(|n| n == c));
        let class = class.ok_or("ERR unknown class")?;
        let tenant = match extra("t") {
            _ if self.site.tenants.is_empty() => Some(0),
            tenant => tenant.and_then(|t| self.site.tenants.iter().position(|n| n == t)),
        };
        let asked_for = figure("d")?.ok_or("ERR no d: how long the answer is waited for")?;
        // No longer than the class allows: what is kept for a request must not stay for as long as anyone says.
        let deadline = self.site.policy.classes[class].deadline;
        let time_left = ((asked_for * 1000.0) as Micros).min(deadline);
        let request = Request {
            id: self.next_request.replace(self.next_request.get() + 1),
            class,
            tenant: tenant.ok_or("ERR unknown tenant")?,
            key: xxh3_64(key).max(1), // 0 would mean none.
            write,
            repeat: extra("r") == Some("1"),
            // The client's wait began before its command was read whole.
            time_left: time_left.saturating_sub((self.now)() - came),
            cost: figure("h")?.map(|us| us as Micros),
            size: figure("size")?.unwrap_or_default() as f32,
            // The node's, which knows what the boxes are.
            slot: None,
        };
        // Two open requests of one id could not be told apart by servers; the first one stays as it is.
        let claim = RequestIdClaim::of(&self.ids, &Bytes::copy_from_slice(id))
            .ok_or("ERR a request of this id is open")?;
        // Copies: a slice would keep all that was read at once for as long as the request is open.
        let command = Command {
            name: Bytes::from_static(if write { b"CACHE.SET" } else { b"CACHE.GET" }),
            key: Bytes::copy_from_slice(key),
            id: claim.id().clone(),
            extras: bound.map_or_else(|| Bytes::copy_from_slice(extras), Bytes::from),
            // A large one is nearly all that was read.
            value: value
                .first()
                .map(|v| if v.len() > MAX_VALUE { v.clone() } else { Bytes::copy_from_slice(v) }),
            write,
            cancel: CancelToken::default(),
            claim,
        };
        Ok((request, command))
    }
}

/// The names and values of extras.
fn names(text: &str) -> Result<Vec<(&str, &str)>, String> {
    let mut names: Vec<(&str, &str)> = Vec::new();
    for part in text.split(',') {
        // A name that comes twice would mean one thing here and another at a server.
        match part.split_once('=') {
            Some((name, value)) if !name.is_empty() && !names.iter().any(|(n, _)| *n == name) => {
                names.push((name, value));
            }
            _ => return Err("ERR extras are names and values, each name once".into()),
        }
    }
    Ok(names)
}
