//! Who may ask a sidecar for what, and over how many nodes a request may go. No I/O: extras come in, extras go out.

use std::fmt;

/// Nodes that a request may pass: a sidecar and the tier behind it.
pub const MOST_HOPS: u32 = 2;
/// The name in extras under which nodes tell each other how many were passed.
const HOP: &str = "hop";

/// One application's class.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Class {
    /// Its name.
    pub name: String,
    /// It is sent with `CACHE.SET`.
    pub write: bool,
    /// Requests that name no class are of it.
    pub default: bool,
}

/// What binds a sidecar to its application.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Binding {
    /// The application.
    pub app: String,
    /// The one tenant that it asks for.
    pub tenant: String,
    /// The classes that it may use.
    pub classes: Vec<Class>,
    /// Requests are handed on to the tier, which is told so.
    pub tier: bool,
}

/// Why a request is not taken.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Denied {
    /// It is in another's name.
    Tenant {
        /// The tenant that it named.
        asked: String,
        /// The sidecar's.
        own: String,
    },
    /// It is of a class that the application does not use.
    Class(String),
    /// It is of a class that goes with the other command.
    Command(String),
    /// It names no class, and there is none for such requests.
    NoClass,
    /// It has passed too many nodes.
    Hops,
}

impl fmt::Display for Denied {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Denied::Tenant { asked, own } => {
                write!(f, "NOPERM this sidecar asks for tenant {own:?} alone, not for {asked:?}: leave t out")
            }
            Denied::Class(class) => write!(f, "NOPERM class {class:?} is none of this application's"),
            Denied::Command(class) => {
                write!(f, "NOPERM class {class:?} goes with the other of CACHE.GET and CACHE.SET")
            }
            Denied::NoClass => f.write_str("ERR no class: say c=NAME, none is the default of this command"),
            Denied::Hops => {
                f.write_str("ERR the request has passed too many nodes: two of them name each other")
            }
        }
    }
}

/// Names and values of extras, each name once, as the protocol has them.
type Names<'a> = Vec<(&'a str, &'a str)>;

/// The extras of a request as they go on: hops counted, and where the node is a sidecar, its tenant and class put in.
/// `None` where they go on as they came.
///
/// # Errors
///
/// Why the request is not taken.
pub fn bind(binding: Option<&Binding>, write: bool, names: &Names<'_>) -> Result<Option<String>, Denied> {
    let value = |name: &str| names.iter().find(|(n, _)| *n == name).map(|(_, v)| *v);
    let hop = value(HOP);
    if binding.is_none() && hop.is_none() {
        return Ok(None);
    }
    // What can't be read counts as too many: no loop may hide behind it.
    let passed = hop.map_or(0, |h| h.parse().unwrap_or(MOST_HOPS));
    if passed >= MOST_HOPS {
        return Err(Denied::Hops);
    }
    let mut kept: Names<'_> = names.iter().filter(|(n, _)| *n != HOP).copied().collect();
    let next = (passed + 1).to_string();
    if let Some(binding) = binding {
        match value("t") {
            Some(tenant) if tenant != binding.tenant => {
                return Err(Denied::Tenant { asked: shortened(tenant), own: binding.tenant.clone() });
            }
            Some(_) => {}
            None => kept.push(("t", &binding.tenant)),
        }
        match value("c") {
            Some(class) => match binding.classes.iter().find(|c| c.name == class) {
                None => return Err(Denied::Class(shortened(class))),
                Some(c) if c.write != write => return Err(Denied::Command(shortened(class))),
                Some(_) => {}
            },
            None => {
                let of = |c: &&Class| c.write == write;
                let all = || binding.classes.iter().filter(of);
                let only = if all().count() == 1 && !write { all().next() } else { None };
                let class = all().find(|c| c.default).or(only).ok_or(Denied::NoClass)?;
                kept.push(("c", &class.name));
            }
        }
        if binding.tier {
            kept.push((HOP, &next));
        }
    }
    Ok(Some(kept.iter().map(|(n, v)| format!("{n}={v}")).collect::<Vec<_>>().join(",")))
}

/// What a client sent, as it stands in an error.
fn shortened(text: &str) -> String {
    text.chars().take(64).collect()
}

#[cfg(test)]
mod tests;
