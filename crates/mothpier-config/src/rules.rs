//! The checks of one configuration. Each looks at the [`App`] alone: no file, no clock, no network.

mod boxes;
mod effects;
mod listening;
pub mod sizes;
mod times;

use crate::app::App;
use crate::finding::{Finding, Severity};

/// All checks of one configuration. What binds sidecars alone is a warning for other nodes.
pub fn check(app: &App, found: &mut Vec<Finding>) {
    let from = found.len();
    effects::check(app, found);
    boxes::check(app, found);
    times::check(app, found);
    listening::check(app, found);
    sizes::check(app, found);
    if !app.sidecar {
        found[from..].iter_mut().for_each(|f| f.severity = Severity::Warning);
    }
}
