use super::*;

fn directory(name: &str) -> PathBuf {
    let directory = std::env::temp_dir().join(format!("mothpier-unix-{}-{name}", std::process::id()));
    let _ = fs::remove_dir_all(&directory);
    fs::create_dir_all(&directory).unwrap();
    directory
}

fn spec(path: PathBuf) -> UnixSocketSpec {
    UnixSocketSpec { path, mode: 0o620, owner: None, group: None }
}

#[tokio::test]
async fn a_socket_has_its_mode_replaces_a_dead_one_and_is_removed_with_its_listener() {
    let directory = directory("mode");
    let path = directory.join("app.sock");
    // A killed node leaves its socket file behind.
    drop(std::os::unix::net::UnixListener::bind(&path).unwrap());
    let bound = bind(&spec(path.clone())).unwrap();
    assert_eq!(fs::metadata(&path).unwrap().permissions().mode() & 0o777, 0o620);
    assert_eq!(fs::read_dir(&directory).unwrap().count(), 1, "no other file is left behind");
    let second = bind(&spec(path.clone())).map(|_| ()).unwrap_err();
    assert_eq!(second.kind(), ErrorKind::AddrInUse);
    drop(bound);
    assert!(!path.exists());
    fs::remove_dir_all(directory).unwrap();
}

#[tokio::test]
async fn files_that_are_not_sockets_and_sockets_of_others_are_kept() {
    let directory = directory("file");
    let path = directory.join("app.sock");
    fs::write(&path, "a person's notes").unwrap();
    assert_eq!(bind(&spec(path.clone())).map(|_| ()).unwrap_err().kind(), ErrorKind::AlreadyExists);
    assert_eq!(fs::read_to_string(&path).unwrap(), "a person's notes");
    fs::remove_file(&path).unwrap();
    let bound = bind(&spec(path.clone())).unwrap();
    fs::remove_file(&path).unwrap();
    let other = std::os::unix::net::UnixListener::bind(&path).unwrap();
    drop(bound);
    assert!(path.exists(), "the socket of the other listener is kept");
    drop(other);
    fs::remove_dir_all(directory).unwrap();
}
