//! Signals of the process, for as long as it lives.
//!
//! Each is noted in a flag by its handler, and a byte in a pipe wakes whoever waits. A write to or a read from that pipe
//! may be interrupted or fail; so the flags are looked at from time to time as well, and no signal is lost by it.

use std::io::{self, ErrorKind};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook::{flag, low_level::pipe};
use tokio::net::UnixStream;

/// Between two looks at the flags where no byte of the pipe tells of a signal.
const LOOK: Duration = Duration::from_millis(250);
/// Read from the pipe at once.
const READ: usize = 64;

/// A signal that a process takes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Signal {
    /// SIGTERM.
    Terminate,
    /// SIGINT.
    Interrupt,
    /// SIGHUP.
    HangUp,
}

/// The signals of this process. From here on none of them ends it by itself.
pub struct Signals {
    flags: [(Signal, Arc<AtomicBool>); 3],
    woken: UnixStream,
}

impl Signals {
    /// Takes the signals over.
    ///
    /// # Errors
    ///
    /// No descriptors are left for the pipe, or a handler can't be set.
    pub fn take() -> io::Result<Self> {
        let (wake, woken) = std::os::unix::net::UnixStream::pair()?;
        woken.set_nonblocking(true)?;
        let taken = [(Signal::Terminate, SIGTERM), (Signal::Interrupt, SIGINT), (Signal::HangUp, SIGHUP)];
        let mut flags = Vec::new();
        for (signal, number) in taken {
            let noted = Arc::new(AtomicBool::new(false));
            // First the flag, then the byte: handlers run in the order in which they were registered.
            flag::register(number, noted.clone())?;
            pipe::register(number, wake.try_clone()?)?;
            flags.push((signal, noted));
        }
        let flags = flags.try_into().map_err(|_| io::Error::from(ErrorKind::Other))?;
        Ok(Signals { flags, woken: UnixStream::from_std(woken)? })
    }

    /// Waits for the next signal. Several of one kind that come before they are looked at are one.
    pub async fn next(&mut self) -> Signal {
        loop {
            let noted = self.flags.iter().find(|(_, noted)| noted.swap(false, Ordering::SeqCst));
            if let Some((signal, _)) = noted {
                return *signal;
            }
            let _ = tokio::time::timeout(LOOK, self.woken.readable()).await;
            // What the bytes are means nothing, nor does an error: the flags are looked at next.
            let _ = self.woken.try_read(&mut [0; READ]);
        }
    }
}
