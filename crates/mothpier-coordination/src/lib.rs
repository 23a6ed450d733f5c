//! The replicated state that coordinators agree on. Performs no I/O and reads no clock.
//!
//! | module | purpose |
//! | --- | --- |
//! | `replicated_state` | the state machine: sessions, leases, fences and values |
//! | `fleet` | fleet-wide drains, their limits and halts, as part of the replicated state |
//! | `session_expiry` | at the leader: decides when a session has not been renewed within its TTL |
//! | `lease_validity` | at a lease holder: decides until when it may act, by its own clock |
//! | `fencing` | at a process that receives fenced actions: decides which holder's actions it accepts |
//! | `wire` | messages between clients and coordinators |
//!
//! Three clocks take part, and no two of them are compared: a holder counts from before it sends a request,
//! the leader counts from the commit, and a process that accepts fenced actions counts from the moment it
//! last reported its own clock. Each clock must be accurate to within
//! [`lease_validity::CLOCK_ERROR_PER_MILLE`] over a session's TTL.

pub mod command;
pub mod fencing;
pub mod fleet;
pub mod lease_validity;
pub mod limits;
pub mod replicated_state;
pub mod session_expiry;
pub mod wire;

pub use command::{Answer, Change, Command, Fence, Refusal, Request, Revision, SessionId};
pub use fencing::{FenceError, FenceFloors, FenceGuard, FencedAction};
pub use lease_validity::LeaseValidity;
pub use replicated_state::{ReplicatedState, Unreadable};
pub use session_expiry::SessionExpiry;
