//! The configuration of a mothpier node and its checks: the file that a person writes for an application (HCL
//! or TOML) and the file that a node is started with (JSON). The crate does no I/O: it takes bytes and
//! returns findings. The node, `mothpierctl` and tests all call [`check`].
//!
//! Data flows one way: `read` parses bytes into a `tree`, `app` and `node` turn a tree into an [`App`],
//! `rules` and `fleet` check it, and `render`, `changes` and `profile` produce output. Every finding has a
//! stable [`code`].

pub mod app;
pub mod block;
pub mod changes;
pub mod code;
pub mod endpoint;
pub mod finding;
pub mod fleet;
mod node;
pub mod permissions;
pub mod profile;
pub mod read;
pub mod render;
mod rules;
pub mod schema;
pub mod tree;
pub mod units;

pub use app::App;
pub use code::Code;
pub use endpoint::Hosts;
pub use finding::{Finding, Severity, has_errors};
pub use read::{Form, MAX_FILE_BYTES};
pub use rules::sizes::{CONNECTION_BYTES, MIN_SOCKETS, REQUEST_BYTES, RESERVED_DESCRIPTORS};

/// The result of checking one file.
#[derive(Clone, Debug)]
pub struct CheckReport {
    /// The file's text, to which the positions of findings refer.
    pub text: String,
    /// The configuration, if it could be read.
    pub app: Option<App>,
    /// All findings, in file order.
    pub findings: Vec<Finding>,
}

/// Checks one file.
pub fn check(bytes: &[u8], form: Form, hosts: &Hosts) -> CheckReport {
    let (text, tree) = match read::read(bytes, form) {
        Ok(read) => read,
        Err((text, findings)) => return CheckReport { text, app: None, findings },
    };
    let mut findings = Vec::new();
    let app = match form {
        Form::Json => node::read(&tree, hosts, &mut findings),
        Form::Hcl | Form::Toml => app::read(&tree, hosts, &mut findings),
    };
    // A file that could not be read at all does not count as the platform's.
    let is_platform_file = app.as_ref().is_some_and(|a| !a.sidecar) && !node::is_sidecar(&tree);
    if form == Form::Json && is_platform_file {
        // The platform writes and is responsible for these files; a node's own parser rejects what it can't
        // start with.
        findings.iter_mut().for_each(|f| f.severity = Severity::Warning);
    }
    if let Some(app) = &app {
        rules::check(app, &mut findings);
    }
    findings.sort_by_key(|f| (f.span.start, f.code));
    CheckReport { text, app, findings }
}
