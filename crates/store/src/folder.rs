//! The data folder as an interface, and the one on a real disk.

use crate::{Error, Result};
use std::fs::{self, File, OpenOptions};
use std::io::{self, Write};
use std::path::{Path, PathBuf};

const LOCK_FILE: &str = "lock";

/// Files of one data folder.
pub trait Folder: Send {
    /// Content of a file, or none when it does not exist.
    fn read(&self, name: &str) -> Result<Option<Vec<u8>>>;
    /// Adds bytes at the end of a file; durable after [`Folder::sync`].
    fn append(&mut self, name: &str, bytes: &[u8]) -> Result<()>;
    /// Makes a file durable.
    fn sync(&mut self, name: &str) -> Result<()>;
    /// Replaces a file by new content in one durable step.
    fn replace(&mut self, name: &str, bytes: &[u8]) -> Result<()>;
    /// Cuts a file to a length, durably.
    fn truncate(&mut self, name: &str, length: u64) -> Result<()>;
}

/// A folder on disk, locked against other processes.
///
/// ```
/// use store::{DiskFolder, Folder};
/// let path = tempfile::tempdir().unwrap();
/// let mut disk = DiskFolder::open(path.path()).unwrap();
/// disk.replace("note", b"kept").unwrap();
/// assert_eq!(disk.read("note").unwrap().unwrap(), b"kept");
/// assert!(DiskFolder::open(path.path()).is_err(), "locked");
/// ```
#[derive(Debug)]
pub struct DiskFolder {
    path: PathBuf,
    appending: Option<Appending>,
    _lock: File,
}

#[derive(Debug)]
struct Appending {
    name: String,
    file: File,
}

impl DiskFolder {
    /// Opens and locks an existing folder.
    pub fn open(path: &Path) -> Result<DiskFolder> {
        let lock = OpenOptions::new()
            .create(true)
            .write(true)
            .truncate(false)
            .open(path.join(LOCK_FILE))
            .map_err(wrap("open", LOCK_FILE))?;
        lock.try_lock().map_err(|_| Error::Locked(path.to_path_buf()))?;
        Ok(DiskFolder { path: path.to_path_buf(), appending: None, _lock: lock })
    }

    fn file(&mut self, name: &str) -> Result<&mut File> {
        if self.appending.as_ref().is_none_or(|appending| appending.name != name) {
            let file = OpenOptions::new()
                .create(true)
                .append(true)
                .open(self.path.join(name))
                .map_err(wrap("open", name))?;
            self.appending = Some(Appending { name: name.to_string(), file });
        }
        let appending = self.appending.as_mut().expect("opened above");
        Ok(&mut appending.file)
    }

    fn sync_folder(&self) -> Result<()> {
        File::open(&self.path)
            .and_then(|folder| folder.sync_all())
            .map_err(wrap("sync folder of", "."))
    }
}

impl Folder for DiskFolder {
    fn read(&self, name: &str) -> Result<Option<Vec<u8>>> {
        match fs::read(self.path.join(name)) {
            Ok(bytes) => Ok(Some(bytes)),
            Err(error) if error.kind() == io::ErrorKind::NotFound => Ok(None),
            Err(error) => Err(wrap("read", name)(error)),
        }
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> Result<()> {
        self.file(name)?.write_all(bytes).map_err(wrap("write", name))
    }

    fn sync(&mut self, name: &str) -> Result<()> {
        self.file(name)?.sync_data().map_err(wrap("sync", name))
    }

    fn replace(&mut self, name: &str, bytes: &[u8]) -> Result<()> {
        self.appending = None;
        let part = format!("{name}.part");
        let mut file = File::create(self.path.join(&part)).map_err(wrap("create", &part))?;
        file.write_all(bytes).map_err(wrap("write", &part))?;
        file.sync_all().map_err(wrap("sync", &part))?;
        fs::rename(self.path.join(&part), self.path.join(name)).map_err(wrap("rename", &part))?;
        self.sync_folder()
    }

    fn truncate(&mut self, name: &str, length: u64) -> Result<()> {
        let file = self.file(name)?;
        file.set_len(length).map_err(wrap("cut", name))?;
        file.sync_all().map_err(wrap("sync", name))
    }
}

fn wrap(action: &'static str, file: &str) -> impl Fn(io::Error) -> Error + use<> {
    let file = file.to_string();
    move |source| Error::Io { action, file: file.clone(), source }
}
