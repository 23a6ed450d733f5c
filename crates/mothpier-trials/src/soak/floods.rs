//! Clients that send small or unsound commands at full speed, each in a thread of its own, so that they take no time
//! from the stand-ins.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

/// Clients of a flood.
const CLIENTS: usize = 2;
/// Bytes that a client passes to the kernel at once.
const WRITE_BYTES: usize = 16 * 1024;
/// Longest time that a client waits in a call, and its pause when a node accepts no connection.
const CALL_TIMEOUT: Duration = Duration::from_millis(20);
/// What is sent over and over, by the number of the flood.
const INPUTS: [&[u8]; 5] = [
    b"\r\n",
    b"*2\r\n$7\r\nNO.SUCH\r\n$1\r\nk\r\n",
    b"*1\r\n$4\r\nPING\r\n",
    b"*3\r\n$9\r\nCACHE.GET\r\n$1\r\nk\r\n$20\r\nc=read,t=acme,d=1000\r\n",
    b"*1\r\n$4\r\nINFO\r\n",
];

/// Floods a node for a while; returns at once.
pub fn start(address: SocketAddr, number: usize, lasts: Duration) {
    let until = Instant::now() + lasts;
    let input = INPUTS[number % INPUTS.len()];
    let batch = input.repeat(WRITE_BYTES / input.len());
    for _ in 0..CLIENTS {
        let batch = batch.clone();
        thread::spawn(move || flood(address, &batch, until));
    }
}

fn flood(address: SocketAddr, batch: &[u8], until: Instant) {
    while Instant::now() < until {
        match TcpStream::connect_timeout(&address, CALL_TIMEOUT) {
            Ok(stream) => drop(send_on(stream, batch, until)),
            Err(_) => thread::sleep(CALL_TIMEOUT),
        }
    }
}

/// Sends and reads on a connection until it ends or the time is over.
fn send_on(mut stream: TcpStream, batch: &[u8], until: Instant) -> std::io::Result<()> {
    use std::io::ErrorKind::{Interrupted, WouldBlock};
    stream.set_nonblocking(true)?;
    let (mut sent, mut replies) = (0, vec![0; WRITE_BYTES]);
    while Instant::now() < until {
        let written = stream.write(&batch[sent..]);
        let read = stream.read(&mut replies);
        let is_waiting = |result: &std::io::Result<usize>| {
            result.as_ref().is_err_and(|e| matches!(e.kind(), Interrupted | WouldBlock))
        };
        if is_waiting(&written) && is_waiting(&read) {
            thread::sleep(Duration::from_millis(1));
            continue;
        }
        if !is_waiting(&written) {
            sent = (sent + written?) % batch.len();
        }
        if !is_waiting(&read) && read? == 0 {
            return Ok(());
        }
    }
    Ok(())
}
