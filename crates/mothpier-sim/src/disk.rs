//! A disk that keeps what was synced, and of the rest what chance leaves: writes that are lost, torn or stand, in any
//! combination. It can be full, and, planted, it can lie about syncing.

use std::io::{Error, ErrorKind};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use mothpier_world::Dice;
use redb::StorageBackend;

#[derive(Clone, Debug)]
enum Write {
    Bytes(usize, Vec<u8>),
    Length(usize),
}

impl Write {
    fn on(&self, platter: &mut Vec<u8>) {
        match self {
            Write::Length(length) => platter.resize(*length, 0),
            Write::Bytes(at, bytes) => {
                if platter.len() < at + bytes.len() {
                    platter.resize(at + bytes.len(), 0);
                }
                platter[*at..at + bytes.len()].copy_from_slice(bytes);
            }
        }
    }
}

#[derive(Debug, Default)]
struct Platter {
    synced: Vec<u8>,
    present: Vec<u8>,
    since: Vec<Write>,
    full: bool,
    lies: bool,
}

/// A disk; what opens it shares it.
#[derive(Clone, Debug, Default)]
pub struct Disk(Arc<Mutex<Platter>>);

impl Disk {
    /// An empty one; whether it says that it has synced when it has not.
    pub fn new(lies: bool) -> Self {
        Disk(Arc::new(Mutex::new(Platter { lies, ..Platter::default() })))
    }

    fn platter(&self) -> MutexGuard<'_, Platter> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Its machine dies: of what was not synced some is lost and some torn.
    pub fn crash(&self, dice: &Dice) {
        let mut platter = self.platter();
        let mut left = std::mem::take(&mut platter.synced);
        for write in std::mem::take(&mut platter.since) {
            match (dice.within(0, 3), &write) {
                (0, _) => {}
                (1, Write::Bytes(at, bytes)) => {
                    let torn = dice.within(0, bytes.len() as u64 + 1) as usize;
                    Write::Bytes(*at, bytes[..torn].to_vec()).on(&mut left);
                }
                _ => write.on(&mut left),
            }
        }
        platter.present.clone_from(&left);
        platter.synced = left;
    }

    /// Whether nothing more can be written.
    pub fn fill(&self, full: bool) {
        self.platter().full = full;
    }

    fn change(&self, write: Write) -> Result<(), Error> {
        let mut platter = self.platter();
        if platter.full {
            return Err(ErrorKind::StorageFull.into());
        }
        write.on(&mut platter.present);
        platter.since.push(write);
        Ok(())
    }
}

impl StorageBackend for Disk {
    fn len(&self) -> Result<u64, Error> {
        Ok(self.platter().present.len() as u64)
    }

    fn read(&self, offset: u64, out: &mut [u8]) -> Result<(), Error> {
        let platter = self.platter();
        let (from, to) = (offset as usize, offset as usize + out.len());
        let part = platter.present.get(from..to).ok_or(ErrorKind::UnexpectedEof)?;
        out.copy_from_slice(part);
        Ok(())
    }

    fn set_len(&self, length: u64) -> Result<(), Error> {
        self.change(Write::Length(length as usize))
    }

    fn sync_data(&self) -> Result<(), Error> {
        let mut platter = self.platter();
        if platter.full {
            return Err(ErrorKind::StorageFull.into());
        }
        if platter.lies {
            return Ok(());
        }
        let mut synced = std::mem::take(&mut platter.synced);
        platter.since.drain(..).for_each(|w| w.on(&mut synced));
        platter.synced = synced;
        Ok(())
    }

    fn write(&self, offset: u64, data: &[u8]) -> Result<(), Error> {
        self.change(Write::Bytes(offset as usize, data.to_vec()))
    }
}

#[cfg(test)]
mod tests;
