//! Resource limits of this process.

use rustix::process::{Resource, getrlimit};

/// Returns the number of file descriptors that this process may have open at once (the soft limit of
/// `RLIMIT_NOFILE`), or `None` if there is no limit.
pub fn open_file_limit() -> Option<usize> {
    let limit = getrlimit(Resource::Nofile).current?;
    usize::try_from(limit).ok()
}
