//! In-memory data folder with injected faults: torn writes, a full disk, failed syncs.

use super::point::{Fault, Injector, Step};
use std::collections::BTreeMap;
use std::io;
use std::sync::{Arc, Mutex};
use store::{Error, Folder, Result};

/// Contents of a disk: durable files, and bytes that were not synced yet.
#[derive(Clone, Debug, Default)]
pub struct Disk {
    durable: BTreeMap<String, Vec<u8>>,
    unsynced: Vec<u8>,
    /// File that the unsynced bytes belong to.
    file: String,
}

impl Disk {
    /// Makes the first `kept` unsynced bytes durable and drops the rest, as a crash may.
    /// A sync keeps all.
    pub fn flush_first(&mut self, kept: usize) {
        let kept = kept.min(self.unsynced.len());
        let bytes = self.unsynced[..kept].to_vec();
        self.durable.entry(self.file.clone()).or_default().extend(bytes);
        self.unsynced.clear();
    }

    /// Returns the number of unsynced bytes.
    pub fn unsynced(&self) -> usize {
        self.unsynced.len()
    }
}

/// Handle of one process on its disk.
pub struct Handle {
    pub disk: Arc<Mutex<Disk>>,
    pub injector: Arc<Injector>,
}

impl Handle {
    /// Counts a step and fails if a fault is injected or the process was killed.
    fn check(&self, step: Step, action: &'static str, name: &str) -> Result<()> {
        let fault = self.injector.reach(step);
        let failed = match step {
            Step::Write => fault == Some(Fault::DiskFull),
            _ => fault == Some(Fault::SyncFails),
        };
        if failed || self.injector.is_dead() {
            let source = io::ErrorKind::StorageFull.into();
            return Err(Error::Io { action, file: name.to_string(), source });
        }
        Ok(())
    }
}

impl Folder for Handle {
    fn read(&self, name: &str) -> Result<Option<Vec<u8>>> {
        Ok(self.disk.lock().unwrap().durable.get(name).cloned())
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> Result<()> {
        self.check(Step::Write, "write", name)?;
        let mut disk = self.disk.lock().unwrap();
        disk.file = name.to_string();
        disk.unsynced.extend(bytes);
        Ok(())
    }

    fn sync(&mut self, name: &str) -> Result<()> {
        self.check(Step::Sync, "sync", name)?;
        let unsynced = self.disk.lock().unwrap().unsynced();
        self.disk.lock().unwrap().flush_first(unsynced);
        self.check(Step::Synced, "sync", name)
    }

    fn replace(&mut self, name: &str, bytes: &[u8]) -> Result<()> {
        self.check(Step::Write, "write", name)?;
        self.disk.lock().unwrap().durable.insert(name.to_string(), bytes.to_vec());
        self.check(Step::Synced, "sync", name)
    }

    fn truncate(&mut self, name: &str, length: u64) -> Result<()> {
        if let Some(bytes) = self.disk.lock().unwrap().durable.get_mut(name) {
            bytes.truncate(length as usize);
        }
        Ok(())
    }
}
