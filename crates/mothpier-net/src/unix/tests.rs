use super::*;

fn folder(name: &str) -> PathBuf {
    let folder = std::env::temp_dir().join(format!("mothpier-unix-{}-{name}", std::process::id()));
    let _ = fs::remove_dir_all(&folder);
    fs::create_dir_all(&folder).unwrap();
    folder
}

fn place(path: PathBuf) -> UnixSocketSpec {
    UnixSocketSpec { path, mode: 0o620, owner: None, group: None }
}

#[tokio::test]
async fn a_socket_has_its_mode_replaces_a_dead_one_and_goes_with_its_listener() {
    let folder = folder("mode");
    let path = folder.join("app.sock");
    // A node that was killed leaves its socket behind.
    drop(std::os::unix::net::UnixListener::bind(&path).unwrap());
    let bound = bind(&place(path.clone())).unwrap();
    assert_eq!(fs::metadata(&path).unwrap().permissions().mode() & 0o777, 0o620);
    assert_eq!(fs::read_dir(&folder).unwrap().count(), 1, "nothing else is left there");
    let second = bind(&place(path.clone())).map(|_| ()).unwrap_err();
    assert_eq!(second.kind(), ErrorKind::AddrInUse);
    drop(bound);
    assert!(!path.exists());
    fs::remove_dir_all(folder).unwrap();
}

#[tokio::test]
async fn what_is_no_socket_stays_and_what_another_put_there_stays() {
    let folder = folder("file");
    let path = folder.join("app.sock");
    fs::write(&path, "a person's notes").unwrap();
    assert_eq!(bind(&place(path.clone())).map(|_| ()).unwrap_err().kind(), ErrorKind::AlreadyExists);
    assert_eq!(fs::read_to_string(&path).unwrap(), "a person's notes");
    fs::remove_file(&path).unwrap();
    let bound = bind(&place(path.clone())).unwrap();
    fs::remove_file(&path).unwrap();
    let other = std::os::unix::net::UnixListener::bind(&path).unwrap();
    drop(bound);
    assert!(path.exists(), "the other's socket");
    drop(other);
    fs::remove_dir_all(folder).unwrap();
}
