use std::os::fd::IntoRawFd;

use super::*;

#[test]
fn only_a_listening_tcp_socket_is_accepted() {
    for (number, reason) in
        [("x", "not a descriptor number"), ("-1", "standard"), ("2", "standard"), ("987654", "not open")]
    {
        assert!(inherited_listener(number).unwrap_err().contains(reason), "{number}");
    }
    let file = std::fs::File::open("/proc/self/status").unwrap().into_raw_fd();
    assert!(inherited_listener(&file.to_string()).unwrap_err().contains("not a socket"));
    let datagrams = std::net::UdpSocket::bind("127.0.0.1:0").unwrap().into_raw_fd();
    assert!(inherited_listener(&datagrams.to_string()).unwrap_err().contains("listens for TCP"));
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let (address, number) = (listener.local_addr().unwrap(), listener.into_raw_fd());
    assert_eq!(inherited_listener(&number.to_string()).unwrap().local_addr().unwrap(), address);
}
