//! Retries the opening of listeners and sockets at a node's start if the system is short of resources for a
//! moment.

use std::io;
use std::time::Duration;

use mothpier_net::Net;

/// How long opening an address is retried.
const RETRY_LIMIT: Duration = Duration::from_secs(5);
/// The pause between two attempts.
const RETRY_PAUSE: Duration = Duration::from_millis(50);

/// Linux error numbers that may go away without intervention: resources are used up, or the network is not up
/// yet.
const TRANSIENT_ERRORS: [i32; 6] = [
    12,  // ENOMEM
    23,  // ENFILE
    24,  // EMFILE
    99,  // EADDRNOTAVAIL
    101, // ENETUNREACH
    105, // ENOBUFS
];

fn is_transient(error: &io::Error) -> bool {
    error.kind() == io::ErrorKind::Interrupted
        || error.raw_os_error().is_some_and(|number| TRANSIENT_ERRORS.contains(&number))
}

/// Calls `open` until it succeeds, fails with an error that is not transient, or `RETRY_LIMIT` has passed.
///
/// # Errors
///
/// The first error that is not transient, or the last error when the time is up.
pub async fn retry_open<N: Net, T>(net: &N, open: impl AsyncFn() -> io::Result<T>) -> io::Result<T> {
    let deadline = net.now() + RETRY_LIMIT;
    let mut logged = false;
    loop {
        match open().await {
            Err(e) if is_transient(&e) && net.now() < deadline => {
                if !std::mem::replace(&mut logged, true) {
                    net.log(format_args!("cannot open an address: {e}; retrying for {RETRY_LIMIT:?}"));
                }
                net.sleep(RETRY_PAUSE).await;
            }
            opened => return opened,
        }
    }
}
