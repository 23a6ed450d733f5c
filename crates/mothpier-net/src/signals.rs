//! Handling of the process's signals, for its whole lifetime.
//!
//! The handler of each signal sets a flag and writes a byte to a pipe to wake the waiting task. A read or
//! write of that pipe may be interrupted or fail. The flags are therefore also checked periodically, so that
//! no signal is lost.

use std::io::{self, ErrorKind};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook::{flag, low_level::pipe};
use tokio::net::UnixStream;

/// Interval at which the flags are checked even without a byte in the pipe.
const FLAG_CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Maximum number of bytes read from the pipe at once.
const WAKE_BUFFER_BYTES: usize = 64;

/// A signal that the process handles.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Signal {
    /// SIGTERM.
    Terminate,
    /// SIGINT.
    Interrupt,
    /// SIGHUP.
    HangUp,
}

/// The handled signals of this process. Once handlers are installed, none of them terminates the process by
/// itself.
pub struct Signals {
    flags: [(Signal, Arc<AtomicBool>); 3],
    wake_receiver: UnixStream,
}

impl Signals {
    /// Installs the signal handlers.
    ///
    /// # Errors
    ///
    /// No descriptors are left for the pipe, or a handler can't be installed.
    pub fn install() -> io::Result<Self> {
        let (wake_sender, wake_receiver) = std::os::unix::net::UnixStream::pair()?;
        wake_receiver.set_nonblocking(true)?;
        let handled = [(Signal::Terminate, SIGTERM), (Signal::Interrupt, SIGINT), (Signal::HangUp, SIGHUP)];
        let mut flags = Vec::new();
        for (signal, number) in handled {
            let raised = Arc::new(AtomicBool::new(false));
            // Handlers run in the order of registration: the flag must be set before the byte is written.
            flag::register(number, raised.clone())?;
            pipe::register(number, wake_sender.try_clone()?)?;
            flags.push((signal, raised));
        }
        let flags = flags.try_into().map_err(|_| io::Error::from(ErrorKind::Other))?;
        Ok(Signals { flags, wake_receiver: UnixStream::from_std(wake_receiver)? })
    }

    /// Waits for the next signal. Several signals of one kind that arrive before they are noticed count as
    /// one.
    pub async fn next(&mut self) -> Signal {
        loop {
            let raised = self.flags.iter().find(|(_, raised)| raised.swap(false, Ordering::SeqCst));
            if let Some((signal, _)) = raised {
                return *signal;
            }
            let _ = tokio::time::timeout(FLAG_CHECK_INTERVAL, self.wake_receiver.readable()).await;
            // The bytes carry no information and an error does no harm: the flags are checked next.
            let _ = self.wake_receiver.try_read(&mut [0; WAKE_BUFFER_BYTES]);
        }
    }
}
