//! Limits what a connection does at a time. All tasks of a node share one thread, and a client that sends as fast as
//! it can always has input ready: without a limit its connection would not let any other task run.

/// Maximum number of commands in a turn.
const MAX_COMMANDS: usize = 32;
/// Maximum number of bytes received in a turn, beyond which no further read begins.
const MAX_BYTES: usize = 16 * 1024;

/// The work that a connection has done since other tasks last ran.
#[derive(Debug, Default)]
pub(super) struct Turn {
    commands: usize,
    bytes: usize,
}

impl Turn {
    /// Adds a command.
    pub(super) fn add_command(&mut self) {
        self.commands += 1;
    }

    /// Adds received bytes, or those of a reply that the node made itself.
    pub(super) fn add_bytes(&mut self, bytes: usize) {
        self.bytes += bytes;
    }

    /// Returns whether other tasks must run before the connection goes on. The next turn begins then.
    pub(super) fn take_end(&mut self) -> bool {
        let has_ended = self.commands >= MAX_COMMANDS || self.bytes >= MAX_BYTES;
        if has_ended {
            *self = Turn::default();
        }
        has_ended
    }
}

#[cfg(test)]
mod tests;
