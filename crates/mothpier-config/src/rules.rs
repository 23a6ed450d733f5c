//! The checks of one configuration. Each depends on the [`App`] alone, not on files, clocks or the network.

mod effects;
mod listening;
mod servers;
pub mod sizes;
mod times;

use crate::app::App;
use crate::finding::{Finding, Severity};

/// Runs all checks of one configuration. Violations are warnings for nodes that are not sidecars.
pub fn check(app: &App, findings: &mut Vec<Finding>) {
    let first_own = findings.len();
    effects::check(app, findings);
    servers::check(app, findings);
    times::check(app, findings);
    listening::check(app, findings);
    sizes::check(app, findings);
    if !app.sidecar {
        findings[first_own..].iter_mut().for_each(|f| f.severity = Severity::Warning);
    }
}
