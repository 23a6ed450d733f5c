//! A listening socket that the platform opened and that this process inherits by its descriptor number.

use std::net::TcpListener;
use std::os::fd::{FromRawFd, OwnedFd};

use socket2::{Socket, Type};

/// The lowest descriptor number that is not a standard stream.
const FIRST_DESCRIPTOR: i32 = 3;

/// Takes over the TCP listener with the given descriptor number. Must be called before the process opens any
/// descriptor itself, or the number may belong to that one.
///
/// # Errors
///
/// Returns a description of what the descriptor is instead.
pub fn inherited_listener(number: &str) -> Result<TcpListener, String> {
    let descriptor: i32 = number.parse().map_err(|_| format!("{number:?} is not a descriptor number"))?;
    if descriptor < FIRST_DESCRIPTOR {
        return Err(format!("descriptor {descriptor} is one of the standard streams"));
    }
    let target = std::fs::read_link(format!("/proc/self/fd/{descriptor}"))
        .map_err(|_| format!("descriptor {descriptor} is not open"))?;
    if !target.to_string_lossy().starts_with("socket:") {
        return Err(format!("descriptor {descriptor} is {}, not a socket", target.display()));
    }
    // SAFETY: the descriptor is open, as checked above, and nothing else in this process owns it, since
    // nothing has been opened yet.
    #[allow(unsafe_code)]
    let owned = unsafe { OwnedFd::from_raw_fd(descriptor) };
    let socket = Socket::from(owned);
    let is_listener =
        socket.r#type().is_ok_and(|kind| kind == Type::STREAM) && socket.is_listener().unwrap_or(false);
    let has_ip_address = socket.local_addr().is_ok_and(|address| address.as_socket().is_some());
    if !is_listener || !has_ip_address {
        return Err(format!("descriptor {descriptor} is a socket, but not one that listens for TCP"));
    }
    Ok(socket.into())
}

#[cfg(test)]
mod tests;
