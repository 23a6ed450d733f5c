use std::io::Write;
use std::net::{TcpListener, TcpStream};
use std::os::fd::AsFd;
use std::os::unix::net::UnixStream;
use std::thread;
use std::time::Instant;

use super::*;

const WAIT: Duration = Duration::from_millis(200);
/// How exactly the kernel counts.
const TOLERANCE: Duration = Duration::from_millis(20);

/// The time runs while a connection waits to be accepted, and begins anew with new data.
#[test]
fn the_time_since_data_arrived_includes_the_wait_to_be_accepted() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let mut client = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    thread::sleep(WAIT);
    let first_sent_at = Instant::now();
    client.write_all(b"first").unwrap();
    thread::sleep(WAIT);
    let (accepted, _) = listener.accept().unwrap();
    let waited = since_last_received(accepted.as_fd()).unwrap();
    assert!(waited + TOLERANCE >= WAIT && waited <= first_sent_at.elapsed() + TOLERANCE, "{waited:?}");
    let second_sent_at = Instant::now();
    client.write_all(b"second").unwrap();
    let waited = since_last_received(accepted.as_fd()).unwrap();
    assert!(waited <= second_sent_at.elapsed() + TOLERANCE, "{waited:?}");
}

#[test]
fn a_unix_socket_has_no_such_time() {
    let (socket, _peer) = UnixStream::pair().unwrap();
    assert!(since_last_received(socket.as_fd()).is_err());
}
