use super::*;

fn of(number: i32) -> AcceptFailure {
    AcceptFailure::from(&io::Error::from_raw_os_error(number))
}

#[test]
fn what_is_of_one_connection_needs_no_room() {
    const CONNECTION_ABORTED: i32 = 103;
    const INTERRUPTED: i32 = 4;
    for number in OF_THE_CONNECTION.into_iter().chain([CONNECTION_ABORTED, INTERRUPTED]) {
        assert_eq!(of(number), AcceptFailure::ConnectionLost, "{number}");
    }
}

#[test]
fn what_is_used_up_needs_room() {
    const ENOMEM: i32 = 12;
    const ENFILE: i32 = 23;
    const EMFILE: i32 = 24;
    const ENOBUFS: i32 = 105;
    for number in [ENOMEM, ENFILE, EMFILE, ENOBUFS] {
        assert_eq!(of(number), AcceptFailure::OutOfResources, "{number}");
    }
}
