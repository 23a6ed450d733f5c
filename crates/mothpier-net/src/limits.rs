//! What the machine allows this process.

use rustix::process::{Resource, getrlimit};

/// File descriptors that this process may have open at once (the soft limit of `RLIMIT_NOFILE`); `None` where there is no
/// limit.
pub fn open_files() -> Option<usize> {
    let limit = getrlimit(Resource::Nofile).current?;
    usize::try_from(limit).ok()
}
