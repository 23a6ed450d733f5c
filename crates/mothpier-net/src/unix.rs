//! Unix sockets: bound where nobody else reaches them, given their mode and owner, and only then put in their place.

use std::fs::{self, DirBuilder, Permissions};
use std::io::{self, ErrorKind};
use std::os::unix::fs::{DirBuilderExt, FileTypeExt, MetadataExt, PermissionsExt, chown};
use std::os::unix::net::UnixStream;
use std::path::{Path, PathBuf};

use tokio::net::UnixListener;

/// A place in the file system, and who may connect there.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UnixSocketSpec {
    /// Its absolute path.
    pub path: PathBuf,
    /// Its mode, as 0660.
    pub mode: u32,
    /// Its owner, if another than the process's.
    pub owner: Option<u32>,
    /// Its group, likewise.
    pub group: Option<u32>,
}

/// A listener that takes its place away when it ends.
pub struct Bound {
    pub listener: UnixListener,
    path: PathBuf,
    inode: u64,
}

impl Drop for Bound {
    fn drop(&mut self) {
        // A node that was started meanwhile may have put its own there.
        if fs::symlink_metadata(&self.path).is_ok_and(|m| m.ino() == self.inode) {
            let _ = fs::remove_file(&self.path);
        }
    }
}

/// Binds a place. What a node that died left there is replaced; what somebody listens at, or what is no socket, is not.
pub fn bind(at: &UnixSocketSpec) -> io::Result<Bound> {
    match fs::symlink_metadata(&at.path) {
        Ok(there) if !there.file_type().is_socket() => {
            return Err(io::Error::new(ErrorKind::AlreadyExists, "something that is no socket stands there"));
        }
        Ok(_) if UnixStream::connect(&at.path).is_ok() => {
            return Err(io::Error::new(ErrorKind::AddrInUse, "another process listens there"));
        }
        Ok(_) | Err(_) => {}
    }
    let folder = at.path.parent().unwrap_or(Path::new("/"));
    // Until it has its mode nobody else may reach it.
    let private = folder.join(format!(".mothpier-{}", std::process::id()));
    let _ = fs::remove_dir_all(&private);
    DirBuilder::new().mode(0o700).create(&private)?;
    let bound = bind_within(&private, at);
    let _ = fs::remove_dir_all(&private);
    bound
}

fn bind_within(private: &Path, at: &UnixSocketSpec) -> io::Result<Bound> {
    let first = private.join("s");
    let listener = UnixListener::bind(&first)?;
    if at.owner.is_some() || at.group.is_some() {
        chown(&first, at.owner, at.group)?;
    }
    fs::set_permissions(&first, Permissions::from_mode(at.mode))?;
    let inode = fs::symlink_metadata(&first)?.ino();
    fs::rename(&first, &at.path)?;
    Ok(Bound { listener, path: at.path.clone(), inode })
}

#[cfg(test)]
mod tests;
