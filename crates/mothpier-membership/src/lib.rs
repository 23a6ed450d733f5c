//! Which boxes there are, by several sources that may disagree. Pure: words and times go in, changes of one view come out.
//!
//! The list has the first word on a box that it names, and the last on one that it took away: draining or gone wins for as
//! long as that word may be trusted. Other sources add boxes that the list does not have, and can only make a node more
//! careful about those that it has. No source alone empties the view. [`Sources`] has the rule; [`names`] what is held of
//! DNS, [`rumour`] what nodes tell each other.
//!
//! Times are Unix milliseconds of a clock that never goes back.

pub mod hand;
pub mod line;
pub mod names;
pub mod rumour;
pub mod sources;

pub use line::{Line, Phase};
pub use names::{NamedBox, Word};
pub use sources::{Changes, Like, Listed, Settings, Sources, Why};
