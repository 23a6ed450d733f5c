//! Checks the tenant and class of requests to a sidecar, and the number of nodes that a request passes. No
//! I/O: maps the extras of an incoming request to those of the outgoing one.

use std::fmt;

/// The most nodes that a request may pass: a sidecar and a node of the tier behind it.
pub const MAX_HOPS: u32 = 2;
/// The name of the extra that counts the nodes which a request has passed.
const HOP_EXTRA: &str = "hop";

/// A class that the application may use.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Class {
    /// The name of the class.
    pub name: String,
    /// Whether its requests use `CACHE.SET` instead of `CACHE.GET`.
    pub write: bool,
    /// Whether requests without a class belong to it.
    pub default: bool,
}

/// The application of a sidecar, with the tenant and classes that it may use.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Binding {
    /// The name of the application.
    pub app: String,
    /// The only tenant that the application may use.
    pub tenant: String,
    /// The classes that the application may use.
    pub classes: Vec<Class>,
    /// Whether requests are forwarded to the tier, with the hop count added.
    pub tier: bool,
}

/// Why a request is rejected.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BindError {
    /// It names another tenant.
    Tenant {
        /// The tenant that the request names.
        asked: String,
        /// The sidecar's tenant.
        own: String,
    },
    /// It names a class that the application does not use.
    Class(String),
    /// Its class belongs to the other command.
    Command(String),
    /// It names no class, and the command has no default class.
    NoClass,
    /// It has passed too many nodes.
    Hops,
}

impl fmt::Display for BindError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            BindError::Tenant { asked, own } => {
                write!(f, "NOPERM this sidecar asks for tenant {own:?} alone, not for {asked:?}: leave t out")
            }
            BindError::Class(class) => write!(f, "NOPERM class {class:?} is none of this application's"),
            BindError::Command(class) => {
                write!(f, "NOPERM class {class:?} goes with the other of CACHE.GET and CACHE.SET")
            }
            BindError::NoClass => {
                f.write_str("ERR no class: say c=NAME, none is the default of this command")
            }
            BindError::Hops => {
                f.write_str("ERR the request has passed too many nodes: two of them name each other")
            }
        }
    }
}

/// The names and values of a request's extras; each name occurs once.
type Extras<'a> = Vec<(&'a str, &'a str)>;

/// Returns the extras with which a request is forwarded: the hop count is updated, and a sidecar adds a
/// missing tenant and class. Returns `None` if the extras are forwarded unchanged.
///
/// # Errors
///
/// Why the request is rejected.
pub fn bind(
    binding: Option<&Binding>,
    write: bool,
    extras: &Extras<'_>,
) -> Result<Option<String>, BindError> {
    let value = |name: &str| extras.iter().find(|(n, _)| *n == name).map(|(_, v)| *v);
    let hop = value(HOP_EXTRA);
    if binding.is_none() && hop.is_none() {
        return Ok(None);
    }
    // An unreadable count is treated as too high, since it might hide a loop of nodes.
    let hops = hop.map_or(0, |h| h.parse().unwrap_or(MAX_HOPS));
    if hops >= MAX_HOPS {
        return Err(BindError::Hops);
    }
    let mut bound_extras: Extras<'_> = extras.iter().filter(|(n, _)| *n != HOP_EXTRA).copied().collect();
    let next = (hops + 1).to_string();
    if let Some(binding) = binding {
        match value("t") {
            Some(tenant) if tenant != binding.tenant => {
                return Err(BindError::Tenant { asked: truncated(tenant), own: binding.tenant.clone() });
            }
            Some(_) => {}
            None => bound_extras.push(("t", &binding.tenant)),
        }
        match value("c") {
            Some(class) => match binding.classes.iter().find(|c| c.name == class) {
                None => return Err(BindError::Class(truncated(class))),
                Some(c) if c.write != write => return Err(BindError::Command(truncated(class))),
                Some(_) => {}
            },
            None => {
                let matches_command = |c: &&Class| c.write == write;
                let candidates = || binding.classes.iter().filter(matches_command);
                let only = if candidates().count() == 1 && !write { candidates().next() } else { None };
                let class = candidates().find(|c| c.default).or(only).ok_or(BindError::NoClass)?;
                bound_extras.push(("c", &class.name));
            }
        }
        if binding.tier {
            bound_extras.push((HOP_EXTRA, &next));
        }
    }
    Ok(Some(bound_extras.iter().map(|(n, v)| format!("{n}={v}")).collect::<Vec<_>>().join(",")))
}

/// Shortens text from a client for use in an error.
fn truncated(text: &str) -> String {
    text.chars().take(64).collect()
}

#[cfg(test)]
mod tests;
