use super::*;

fn failure_of(errno: i32) -> AcceptFailure {
    AcceptFailure::from(&io::Error::from_raw_os_error(errno))
}

#[test]
fn errors_of_one_connection_do_not_count_as_exhausted_resources() {
    const CONNECTION_ABORTED: i32 = 103;
    const INTERRUPTED: i32 = 4;
    for errno in CONNECTION_ERRORS.into_iter().chain([CONNECTION_ABORTED, INTERRUPTED]) {
        assert_eq!(failure_of(errno), AcceptFailure::ConnectionLost, "{errno}");
    }
}

#[test]
fn exhausted_resources_are_recognised() {
    const ENOMEM: i32 = 12;
    const ENFILE: i32 = 23;
    const EMFILE: i32 = 24;
    const ENOBUFS: i32 = 105;
    for errno in [ENOMEM, ENFILE, EMFILE, ENOBUFS] {
        assert_eq!(failure_of(errno), AcceptFailure::OutOfResources, "{errno}");
    }
}
