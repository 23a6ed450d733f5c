//! Listeners and sockets at a node's start: where the machine has none left for a moment, they are waited for.

use std::io;
use std::time::Duration;

use mothpier_net::Net;

/// For how long an address is tried again.
const PATIENCE: Duration = Duration::from_secs(5);
/// Between two tries.
const PAUSE: Duration = Duration::from_millis(50);

/// Errors that pass by themselves: what the machine has is used up, or its network is not up yet.
const PASSING: [i32; 6] = [
    12,  // ENOMEM
    23,  // ENFILE
    24,  // EMFILE
    99,  // EADDRNOTAVAIL
    101, // ENETUNREACH
    105, // ENOBUFS
];

fn passes(error: &io::Error) -> bool {
    error.kind() == io::ErrorKind::Interrupted
        || error.raw_os_error().is_some_and(|number| PASSING.contains(&number))
}

/// Opens something, again and again while that fails for a reason that passes by itself.
///
/// # Errors
///
/// The first error that does not pass, or the last one.
pub async fn retry_open<N: Net, T>(net: &N, open: impl AsyncFn() -> io::Result<T>) -> io::Result<T> {
    let until = net.now() + PATIENCE;
    let mut said = false;
    loop {
        match open().await {
            Err(e) if passes(&e) && net.now() < until => {
                if !std::mem::replace(&mut said, true) {
                    net.log(format_args!("an address can't be opened: {e}; tried again for {PATIENCE:?}"));
                }
                net.sleep(PAUSE).await;
            }
            opened => return opened,
        }
    }
}
