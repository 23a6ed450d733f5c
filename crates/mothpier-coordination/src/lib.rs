//! What a fleet agrees on, without I/O and without a clock of its own.
//!
//! | module | what it decides |
//! | --- | --- |
//! | `agreed` | the replicated state machine: commands in their committed order make sessions, leases, fences and values |
//! | `fleet` | who is out, who may go next, halts: the rule on drains, as a part of the agreed state |
//! | `keeper` | at the leader: when a session has not been renewed for its whole time |
//! | `hold` | at a holder: until when it may act, by its own clock |
//! | `obey` | at whoever is told to act: which holder it obeys |
//! | `wire` | what goes between clients and coordinators |
//!
//! Three clocks take part, and none of them is compared with another: a holder measures from before it asked, a leader
//! from the commit on, and one that obeys from when it told its own clock. Each is right to within
//! [`hold::CLOCK_ERROR`] over the time of a lease.

pub mod agreed;
pub mod command;
pub mod fleet;
pub mod hold;
pub mod keeper;
pub mod limits;
pub mod obey;
pub mod wire;

pub use agreed::{Agreed, Unreadable};
pub use command::{Answer, Change, Command, Fence, Refusal, Request, Revision, SessionId};
pub use hold::Hold;
pub use keeper::Keeper;
pub use obey::{Act, Disobeyed, Floors, Obeyer};
