//! The configuration of a mothpier node: as a person writes it for an application (HCL or TOML), as a node is started
//! with it (JSON), and every check of it. No I/O: bytes come in, findings go out; the node, the tool and tests all call
//! [`check`].
//!
//! Arrows point one way: `read` makes a `tree` of bytes, `app` and `node` make an [`App`] of a tree, `rules` and `fleet`
//! look at it, `render`, `changes` and `profile` write. Every finding has a [`code`] that stays.

pub mod app;
pub mod changes;
pub mod code;
pub mod finding;
pub mod fleet;
mod node;
pub mod permissions;
pub mod place;
pub mod profile;
pub mod read;
pub mod render;
mod rules;
pub mod schema;
pub mod take;
pub mod tree;
pub mod units;

pub use app::App;
pub use code::Code;
pub use finding::{Finding, Severity, refused};
pub use place::Hosts;
pub use read::{Form, MOST_BYTES};
pub use rules::sizes::{CONNECTION_BYTES, LEAST_SOCKETS, OWN_SOCKETS, REQUEST_BYTES};

/// What a check of one file gave.
#[derive(Clone, Debug)]
pub struct Checked {
    /// The file's text, in which findings have their places.
    pub text: String,
    /// What it says, where it could be read.
    pub app: Option<App>,
    /// All that was found, in the order of the file.
    pub findings: Vec<Finding>,
}

/// Checks one file.
pub fn check(bytes: &[u8], form: Form, hosts: &Hosts) -> Checked {
    let (text, tree) = match read::read(bytes, form) {
        Ok(read) => read,
        Err((text, findings)) => return Checked { text, app: None, findings },
    };
    let mut findings = Vec::new();
    let app = match form {
        Form::Json => node::read(&tree, hosts, &mut findings),
        Form::Hcl | Form::Toml => app::read(&tree, hosts, &mut findings),
    };
    // What could not be read at all is nobody's configuration.
    let of_the_platform = app.as_ref().is_some_and(|a| !a.sidecar) && !node::is_sidecar(&tree);
    if form == Form::Json && of_the_platform {
        // The platform wrote it and answers for it; what a node can't start with its own reader refuses.
        findings.iter_mut().for_each(|f| f.severity = Severity::Warning);
    }
    if let Some(app) = &app {
        rules::check(app, &mut findings);
    }
    findings.sort_by_key(|f| (f.span.start, f.code));
    Checked { text, app, findings }
}
