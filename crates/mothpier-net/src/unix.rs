//! Listeners on Unix sockets. A socket is bound in a private directory, given its mode and owner, and only
//! then moved to its path, so that nobody can connect before the permissions are set.

use std::fs::{self, DirBuilder, Permissions};
use std::io::{self, ErrorKind};
use std::os::unix::fs::{DirBuilderExt, FileTypeExt, MetadataExt, PermissionsExt, chown};
use std::os::unix::net::UnixStream;
use std::path::{Path, PathBuf};

use tokio::net::UnixListener;

/// Path and permissions of a Unix socket.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UnixSocketSpec {
    /// Absolute path.
    pub path: PathBuf,
    /// File mode, such as 0660.
    pub mode: u32,
    /// User id of the owner, if other than that of the process.
    pub owner: Option<u32>,
    /// Group id, if other than that of the process.
    pub group: Option<u32>,
}

/// A listener that removes its socket file when dropped.
pub struct BoundUnixListener {
    pub listener: UnixListener,
    path: PathBuf,
    inode: u64,
}

impl Drop for BoundUnixListener {
    fn drop(&mut self) {
        // A node started in the meantime may have replaced the file by its own socket.
        if fs::symlink_metadata(&self.path).is_ok_and(|metadata| metadata.ino() == self.inode) {
            let _ = fs::remove_file(&self.path);
        }
    }
}

/// Binds a Unix socket. Replaces a socket file that a dead node left behind, but neither a socket with a
/// listener nor a file of another kind.
pub fn bind(spec: &UnixSocketSpec) -> io::Result<BoundUnixListener> {
    match fs::symlink_metadata(&spec.path) {
        Ok(existing) if !existing.file_type().is_socket() => {
            return Err(io::Error::new(ErrorKind::AlreadyExists, "the path exists and is not a socket"));
        }
        Ok(_) if UnixStream::connect(&spec.path).is_ok() => {
            return Err(io::Error::new(ErrorKind::AddrInUse, "another process is listening on this socket"));
        }
        Ok(_) | Err(_) => {}
    }
    let directory = spec.path.parent().unwrap_or(Path::new("/"));
    // No other user can reach the socket in here before it has its mode.
    let private_directory = directory.join(format!(".mothpier-{}", std::process::id()));
    let _ = fs::remove_dir_all(&private_directory);
    DirBuilder::new().mode(0o700).create(&private_directory)?;
    let bound = bind_in_directory(&private_directory, spec);
    let _ = fs::remove_dir_all(&private_directory);
    bound
}

fn bind_in_directory(private_directory: &Path, spec: &UnixSocketSpec) -> io::Result<BoundUnixListener> {
    let temporary_path = private_directory.join("s");
    let listener = UnixListener::bind(&temporary_path)?;
    if spec.owner.is_some() || spec.group.is_some() {
        chown(&temporary_path, spec.owner, spec.group)?;
    }
    fs::set_permissions(&temporary_path, Permissions::from_mode(spec.mode))?;
    let inode = fs::symlink_metadata(&temporary_path)?.ino();
    fs::rename(&temporary_path, &spec.path)?;
    Ok(BoundUnixListener { listener, path: spec.path.clone(), inode })
}

#[cfg(test)]
mod tests;
