//! Classifies errors of `accept`: the loss of one connection, or exhausted resources. No I/O.

use std::io::{self, ErrorKind};

/// Errors of a connection that occurred before it was accepted. Linux returns them from `accept` and
/// recommends to call it again (accept(2), "Error handling").
const CONNECTION_ERRORS: [i32; 9] = [
    1,   // EPERM: forbidden by a firewall rule
    64,  // ENONET
    71,  // EPROTO
    92,  // ENOPROTOOPT
    95,  // EOPNOTSUPP
    100, // ENETDOWN
    101, // ENETUNREACH
    112, // EHOSTDOWN
    113, // EHOSTUNREACH
];

/// The cause of a failed `accept`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AcceptFailure {
    /// One connection was lost; the next one can be accepted at once.
    ConnectionLost,
    /// Descriptors, buffers or memory are exhausted, or there is another error that may pass; resources must
    /// be freed first.
    OutOfResources,
}

impl From<&io::Error> for AcceptFailure {
    fn from(error: &io::Error) -> Self {
        let by_kind = matches!(
            error.kind(),
            ErrorKind::ConnectionAborted
                | ErrorKind::ConnectionReset
                | ErrorKind::Interrupted
                | ErrorKind::WouldBlock
                | ErrorKind::TimedOut
        );
        let by_errno = error.raw_os_error().is_some_and(|errno| CONNECTION_ERRORS.contains(&errno));
        if by_kind || by_errno { AcceptFailure::ConnectionLost } else { AcceptFailure::OutOfResources }
    }
}

#[cfg(test)]
mod tests;
