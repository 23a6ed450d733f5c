//! Parses and validates a client's cache request: its arguments and its extras.

use brassrouter::{Micros, Request};
use bytes::Bytes;
use mothpier_net::Net;
use xxhash_rust::xxh3::xxh3_64;

use super::Clients;
use crate::binding;
use crate::cancellation::CancelToken;
use crate::memory::MAX_UNRESERVED_INPUT;
use crate::messages::Command;
use crate::request_ids::IdUnusable;

impl<N: Net> Clients<N> {
    /// Parses a command's arguments. The error is sent to the client.
    pub(super) fn parse_command(
        &self,
        arguments: &[Bytes],
        received_at: Micros,
    ) -> Result<(Request, Command), String> {
        let [name, key, id, extras, value @ ..] = arguments else {
            return Err("ERR wrong number of arguments".into());
        };
        let write = name.as_ref() == b"CACHE.SET";
        if value.len() != usize::from(write) {
            return Err("ERR wrong number of arguments".into());
        }
        if key.is_empty() || id.is_empty() || key.len() > 1024 || id.len() > 1024 || extras.len() > 4096 {
            return Err("ERR key, id or extras of a wrong length".into());
        }
        // They are copied into HTTP headers at the origin, and a cache server that cannot parse them closes a
        // connection that other requests wait on.
        if !id.iter().chain(extras.iter()).all(|b| b.is_ascii_graphic()) {
            return Err("ERR id and extras must be printable".into());
        }
        let text = String::from_utf8_lossy(extras);
        let extra_fields = parse_extras(&text)?;
        let bound_extras =
            binding::bind(self.binding.as_ref(), write, &extra_fields).map_err(|e| e.to_string())?;
        let extra_fields =
            bound_extras.as_deref().map(self::parse_extras).transpose()?.unwrap_or(extra_fields);
        let extra = |name: &str| extra_fields.iter().find(|(n, _)| *n == name).map(|(_, v)| *v);
        let is_decimal = |v: &str| v.bytes().all(|b| b.is_ascii_digit() || b == b'.');
        let decimal_field =
            |name: &str| match extra(name).map(|v| v.parse::<f64>().ok().filter(|_| is_decimal(v))) {
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
        let requested_ms = decimal_field("d")?.ok_or("ERR no d: how long the answer is waited for")?;
        // Limited to the deadline of the class, so that a client cannot have a request's resources held for
        // an arbitrary time.
        let deadline = self.site.policy.classes[class].deadline;
        let time_left = ((requested_ms * 1000.0) as Micros).min(deadline);
        let request = Request {
            id: self.next_request.replace(self.next_request.get() + 1),
            class,
            tenant: tenant.ok_or("ERR unknown tenant")?,
            key: xxh3_64(key).max(1), // 0 stands for no key.
            write,
            repeat: extra("r") == Some("1"),
            // The client's wait began when the first bytes of the command arrived.
            time_left: time_left.saturating_sub((self.now)() - received_at),
            cost: decimal_field("h")?.map(|us| us as Micros),
            size: decimal_field("size")?.unwrap_or_default() as f32,
            // Set by the node, which knows whether the cache servers form a cluster.
            slot: None,
        };
        // Cache servers could not tell two open requests with the same id apart; the first one stays
        // unaffected.
        let effect = self.site.policy.classes[class].effect;
        let claim = self.ids.claim(&Bytes::copy_from_slice(id), effect, self.net.now());
        let claim = claim.map_err(|e| match e {
            IdUnusable::Open => "ERR a request of this id is open",
            IdUnusable::MayHaveRun => "ERR a request of this id may have run",
        })?;
        // Copied: a slice would keep the whole read buffer alive for as long as the request is open.
        let command = Command {
            name: Bytes::from_static(if write { b"CACHE.SET" } else { b"CACHE.GET" }),
            key: Bytes::copy_from_slice(key),
            id: claim.id().clone(),
            extras: bound_extras.map_or_else(|| Bytes::copy_from_slice(extras), Bytes::from),
            // A long value is not copied, since it fills most of the read buffer.
            value: value.first().map(|v| match v.len() > MAX_UNRESERVED_INPUT {
                true => v.clone(),
                false => Bytes::copy_from_slice(v),
            }),
            write,
            cancel: CancelToken::default(),
            claim,
        };
        Ok((request, command))
    }
}

/// Splits extras into their name and value pairs.
fn parse_extras(text: &str) -> Result<Vec<(&str, &str)>, String> {
    let mut extra_fields: Vec<(&str, &str)> = Vec::new();
    for part in text.split(',') {
        // A repeated name could be interpreted differently here and at a cache server.
        match part.split_once('=') {
            Some((name, value)) if !name.is_empty() && !extra_fields.iter().any(|(n, _)| *n == name) => {
                extra_fields.push((name, value));
            }
            _ => return Err("ERR extras are names and values, each name once".into()),
        }
    }
    Ok(extra_fields)
}
