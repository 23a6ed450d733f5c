//! What a failed accept says: of one connection, or of what the machine has left. Pure.

use std::io::{self, ErrorKind};

/// Errors that a connection had already before it was accepted: Linux hands them on from `accept`, and asks to be called
/// again (accept(2), "Error handling").
const OF_THE_CONNECTION: [i32; 9] = [
    1,   // EPERM: a firewall forbids it.
    64,  // ENONET
    71,  // EPROTO
    92,  // ENOPROTOOPT
    95,  // EOPNOTSUPP
    100, // ENETDOWN
    101, // ENETUNREACH
    112, // EHOSTDOWN
    113, // EHOSTUNREACH
];

/// What a failed accept says.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AcceptFailure {
    /// One connection is gone; the next one can be accepted at once.
    ConnectionLost,
    /// Descriptors, buffers or memory are used up, or something else that may pass: there has to be room first.
    OutOfResources,
}

impl From<&io::Error> for AcceptFailure {
    fn from(error: &io::Error) -> Self {
        let of_the_kind = matches!(
            error.kind(),
            ErrorKind::ConnectionAborted
                | ErrorKind::ConnectionReset
                | ErrorKind::Interrupted
                | ErrorKind::WouldBlock
                | ErrorKind::TimedOut
        );
        let by_number = error.raw_os_error().is_some_and(|number| OF_THE_CONNECTION.contains(&number));
        if of_the_kind || by_number { AcceptFailure::ConnectionLost } else { AcceptFailure::OutOfResources }
    }
}

#[cfg(test)]
mod tests;
