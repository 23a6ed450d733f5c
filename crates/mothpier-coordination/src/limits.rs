//! Limits of the replicated state, which has to fit into each coordinator's memory and into one snapshot. A
//! command beyond a limit is refused with the name of the limit.

/// Open sessions.
pub const MAX_SESSIONS: usize = 16_384;
/// Names of ended sessions that cannot be reused yet, because delayed commands of those sessions may still
/// arrive.
pub const MAX_ENDED_SESSIONS: usize = 4_096;
/// Leases that are held or waited for.
pub const MAX_LEASES: usize = 16_384;
/// Leases that one session holds or waits for.
pub const MAX_LEASES_PER_SESSION: usize = 64;
/// Sessions that wait for one lease.
pub const MAX_WAITERS_PER_LEASE: usize = 1_024;
/// Stored values.
pub const MAX_VALUES: usize = 4_096;
/// Length of the name of a session, lease or value, in bytes.
pub const MAX_NAME_BYTES: usize = 128;
/// Size of a value, in bytes.
pub const MAX_VALUE_BYTES: usize = 16 * 1024;
/// Total size of all values, in bytes.
pub const MAX_TOTAL_VALUE_BYTES: usize = 8 * 1024 * 1024;
/// Changes kept for watchers: one that missed more has to read the whole state.
pub const MAX_HISTORY: usize = 8_192;
/// Shortest TTL of a session, in ms. A shorter one would let every lease expire during an election.
pub const MIN_TTL_MS: u64 = 500;
/// Longest TTL of a session, in ms. A longer one would let a dead holder block a task for more than ten
/// minutes.
pub const MAX_TTL_MS: u64 = 600_000;

/// Whether a name can be used in a path, a log line and a shell without quoting.
pub fn is_name(name: &str) -> bool {
    (1..=MAX_NAME_BYTES).contains(&name.len())
        && name.bytes().all(|b| b.is_ascii_alphanumeric() || b"-_.:@/".contains(&b))
}
