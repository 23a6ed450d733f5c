//! How much is agreed on at the most. What is over a bound is refused with the bound's name: the state has to fit into
//! every coordinator's memory and into one snapshot.

/// Sessions that live.
pub const SESSIONS: usize = 16_384;
/// Ended sessions whose names can't be used again yet: a command of theirs may still be on its way.
pub const ENDED: usize = 4_096;
/// Leases that are held or waited for.
pub const LEASES: usize = 16_384;
/// Leases that one session holds or waits for.
pub const LEASES_OF_SESSION: usize = 64;
/// Sessions that wait for one lease.
pub const WAITING: usize = 1_024;
/// Values.
pub const VALUES: usize = 4_096;
/// Bytes of a session's, a lease's or a value's name.
pub const NAME: usize = 128;
/// Bytes of a value.
pub const VALUE: usize = 16 * 1024;
/// Bytes of all values together.
pub const ALL_VALUES: usize = 8 * 1024 * 1024;
/// Changes that a watcher may have missed and still be told one by one.
pub const HISTORY: usize = 8_192;
/// Shortest and longest time of a session, in ms. Under the first an election ends every lease; with the second a dead
/// holder keeps a task from everybody for ten minutes.
pub const TTL_MS: (u64, u64) = (500, 600_000);

/// Whether a name can be written in a path, a log line and a shell without quoting.
pub fn is_name(name: &str) -> bool {
    (1..=NAME).contains(&name.len())
        && name.bytes().all(|b| b.is_ascii_alphanumeric() || b"-_.:@/".contains(&b))
}
