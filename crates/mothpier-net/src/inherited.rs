//! A listening socket that the platform opened and that this process inherits by the number of its descriptor.

use std::net::TcpListener;
use std::os::fd::{FromRawFd, OwnedFd};

use socket2::{Socket, Type};

/// The standard streams are none.
const FIRST: i32 = 3;

/// Takes the listener of a descriptor's number. Called before the process opens anything itself, or the number might be
/// that of something else.
///
/// # Errors
///
/// What the descriptor is instead, in words.
pub fn inherited(number: &str) -> Result<TcpListener, String> {
    let descriptor: i32 = number.parse().map_err(|_| format!("{number:?} is no number of a descriptor"))?;
    if descriptor < FIRST {
        return Err(format!("descriptor {descriptor} is one of the standard streams"));
    }
    let what = std::fs::read_link(format!("/proc/self/fd/{descriptor}"))
        .map_err(|_| format!("descriptor {descriptor} is not open"))?;
    if !what.to_string_lossy().starts_with("socket:") {
        return Err(format!("descriptor {descriptor} is {}, not a socket", what.display()));
    }
    // SAFETY: it is open, as was just seen, and nothing else in this process has it: nothing has been opened yet.
    #[allow(unsafe_code)]
    let owned = unsafe { OwnedFd::from_raw_fd(descriptor) };
    let socket = Socket::from(owned);
    let listens = socket.r#type().is_ok_and(|t| t == Type::STREAM) && socket.is_listener().unwrap_or(false);
    let on_network = socket.local_addr().is_ok_and(|a| a.as_socket().is_some());
    if !listens || !on_network {
        return Err(format!("descriptor {descriptor} is a socket, but not one that listens for TCP"));
    }
    Ok(socket.into())
}

#[cfg(test)]
mod tests;
