//! What a fleet agrees on, without I/O and without a clock of its own.
//!
//! | module | what it decides |
//! | --- | --- |
//! | `replicated_state` | the replicated state machine: commands in their committed order make sessions, leases, fences and values |
//! | `fleet` | who is out, who may go next, halts: the rule on drains, as a part of the agreed state |
//! | `session_expiry` | at the leader: when a session has not been renewed for its whole time |
//! | `lease_validity` | at a holder: until when it may act, by its own clock |
//! | `fencing` | at whoever is told to act: which holder it obeys |
//! | `wire` | what goes between clients and coordinators |
//!
//! Three clocks take part, and none of them is compared with another: a holder measures from before it asked, a leader
//! from the commit on, and one that obeys from when it told its own clock. Each is right to within
//! [`lease_validity::CLOCK_ERROR`] over the time of a lease.

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
