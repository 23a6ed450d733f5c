//! Files: read within bounds, written whole or not at all.

use std::fs::{self, File};
use std::io::{Read, Write};
use std::os::unix::fs::PermissionsExt;
use std::path::{Path, PathBuf};

use mothpier_config::{CheckReport, Form, Hosts, MAX_FILE_BYTES, check, permissions};

/// A folder's files at the most; whoever has more names their folders.
const MOST_FILES: usize = 100_000;

/// One file that was checked.
pub struct Source {
    /// As it is shown.
    pub name: String,
    /// How it is written.
    pub form: Form,
    /// What the check gave.
    pub checked: CheckReport,
}

/// Reads at most as many bytes as a configuration may have, and one more.
pub fn bytes(path: &Path) -> Result<(Vec<u8>, u32), String> {
    let cannot = |e: std::io::Error| format!("cannot read {}: {e}", path.display());
    let file = File::open(path).map_err(cannot)?;
    let about = file.metadata().map_err(cannot)?;
    if about.is_dir() {
        return Err(format!("{} is a folder; name a file in it", path.display()));
    }
    let mut bytes = Vec::new();
    file.take(MAX_FILE_BYTES as u64 + 1).read_to_end(&mut bytes).map_err(cannot)?;
    Ok((bytes, about.permissions().mode()))
}

/// Reads and checks a file, and lets the node's own reader look at what a node would be started with.
pub fn read(path: &Path, hosts: &Hosts) -> Result<Source, String> {
    let name = path.display().to_string();
    let form = Form::of(path).ok_or_else(|| {
        format!("{name}: its name ends in none of .hcl, .toml and .json, which tell how it is written")
    })?;
    let (bytes, mode) = bytes(path)?;
    let mut checked = check(&bytes, form, hosts);
    permissions::check(mode, &mut checked.findings);
    crate::check::node_reads(&mut checked, form);
    Ok(Source { name, form, checked })
}

/// The hosts file, if one is named.
pub fn hosts(path: Option<&Path>) -> Result<Hosts, String> {
    let Some(path) = path else { return Ok(Hosts::default()) };
    let (bytes, _) = bytes(path)?;
    if bytes.len() > MAX_FILE_BYTES {
        return Err(format!("{}: a hosts file of more than {MAX_FILE_BYTES} bytes", path.display()));
    }
    Ok(Hosts::parse(&String::from_utf8_lossy(&bytes)))
}

/// The files that are meant: those named, and those in the folders named, in the order of their names.
pub fn named(paths: &[PathBuf]) -> Result<Vec<PathBuf>, String> {
    let mut all = Vec::new();
    for path in paths {
        if !path.is_dir() {
            all.push(path.clone());
            continue;
        }
        let (mut folders, before) = (vec![path.clone()], all.len());
        while let Some(folder) = folders.pop() {
            let cannot = |e: std::io::Error| format!("cannot read {}: {e}", folder.display());
            for entry in fs::read_dir(&folder).map_err(cannot)? {
                let entry = entry.map_err(cannot)?;
                let hidden = entry.file_name().to_string_lossy().starts_with('.');
                // A link may lead round in a circle, or out of the folder.
                let kind = entry.file_type().map_err(cannot)?;
                if hidden || kind.is_symlink() {
                    continue;
                }
                if kind.is_dir() {
                    folders.push(entry.path());
                } else if Form::of(&entry.path()).is_some() {
                    all.push(entry.path());
                }
            }
            if all.len() > MOST_FILES {
                return Err(format!("{}: more than {MOST_FILES} files", path.display()));
            }
        }
        if all.len() == before {
            return Err(format!("{}: there is no .hcl, .toml or .json file in it", path.display()));
        }
    }
    all.sort();
    all.dedup();
    Ok(all)
}

/// Writes a file whole or not at all: to another name first, which is then given its own. A reader sees the old one or
/// the new one, also when the power goes.
pub fn write(path: &Path, text: &str, over: bool) -> Result<(), String> {
    let cannot = |e: std::io::Error| format!("cannot write {}: {e}", path.display());
    let folder = path.parent().filter(|p| !p.as_os_str().is_empty()).unwrap_or(Path::new("."));
    let mut file = tempfile::Builder::new().prefix(".mothpierctl-").tempfile_in(folder).map_err(cannot)?;
    file.write_all(text.as_bytes()).map_err(cannot)?;
    // As a new file would have it, or as the one that it stands for has.
    let mode = fs::metadata(path).map_or(0o644, |m| m.permissions().mode() & 0o777);
    file.as_file().set_permissions(fs::Permissions::from_mode(mode)).map_err(cannot)?;
    file.as_file().sync_all().map_err(cannot)?;
    if over {
        file.persist(path).map_err(|e| cannot(e.error))?;
    } else {
        file.persist_noclobber(path).map_err(|e| match e.error.kind() {
            std::io::ErrorKind::AlreadyExists => {
                format!("{} is there already; --force writes over it", path.display())
            }
            _ => cannot(e.error),
        })?;
    }
    File::open(folder).and_then(|f| f.sync_all()).map_err(cannot)
}
