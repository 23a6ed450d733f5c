//! The decision module of a balancer in front of fleets of cache servers, as a pure and deterministic state
//! machine.
//!
//! A [`Policy`] holds the state of one balancer. It receives events ([`Event`]) with their times and returns
//! the actions to take ([`Action`]). It has no clock, no threads and no I/O: the node that embeds it owns the
//! sockets.
//!
//! ```
//! use brassrouter::{Action, Condition, Event, ListKind, Policy, Request, ServerEntry, Settings};
//!
//! let settings = Settings::default();
//! let mut policy = Policy::new(settings, 42);
//! let mut actions = Vec::new();
//!
//! // The balancer starts at some clock value (microseconds) with its latest saved server list.
//! let servers = vec![
//!     ServerEntry { id: 7, condition: Condition::Ready, ..ServerEntry::default() },
//!     ServerEntry { id: 9, condition: Condition::Ready, ..ServerEntry::default() },
//! ];
//! policy.handle(1_000_000, Event::ServerList { kind: ListKind::Cached, servers }, &mut actions);
//!
//! // A client asks for a key; the policy names the cache server to try first.
//! let request = Request { id: 1, key: 0xfeed, time_left: 500_000, ..Request::default() };
//! policy.handle(1_000_100, Event::Request(request), &mut actions);
//! assert!(actions.iter().any(|a| matches!(a, Action::Send { request: 1, server: 7 | 9, .. })));
//! ```

pub mod interface;
mod policy;
mod ready_servers;
pub mod settings;
mod state;

pub use interface::*;
pub use policy::Policy;

/// Runs the example of the README as a test.
#[cfg(doctest)]
#[doc = include_str!("../README.md")]
pub struct Readme;
