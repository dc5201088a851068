//! Interface to the data folder, and its implementation on disk.

use crate::{Error, Result};
use std::fs::{self, File, OpenOptions};
use std::io::{self, Write};
use std::path::{Path, PathBuf};

const LOCK_FILE: &str = "lock";

/// Access to the files of one data folder.
pub trait Folder: Send {
    /// Returns the content of a file, or none if it doesn't exist.
    fn read(&self, name: &str) -> Result<Option<Vec<u8>>>;
    /// Appends bytes to a file, which is created if needed. Durable after
    /// [`Folder::sync`].
    fn append(&mut self, name: &str, bytes: &[u8]) -> Result<()>;
    /// Makes the appended bytes of a file durable.
    fn sync(&mut self, name: &str) -> Result<()>;
    /// Replaces the content of a file atomically and durably.
    fn replace(&mut self, name: &str, bytes: &[u8]) -> Result<()>;
    /// Truncates a file to a length in bytes, durably.
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
    append_file: Option<AppendFile>,
    _lock: File,
}

/// The file that was appended to last, kept open.
#[derive(Debug)]
struct AppendFile {
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
            .map_err(io_error("open", LOCK_FILE))?;
        lock.try_lock().map_err(|_| Error::Locked(path.to_path_buf()))?;
        let folder = DiskFolder { path: path.to_path_buf(), append_file: None, _lock: lock };
        folder.sync_folder()?; // a process that was killed may have left renames that are not durable
        Ok(folder)
    }

    /// Returns a file opened for appending.
    fn open_for_append(&mut self, name: &str) -> Result<&mut File> {
        if self.append_file.as_ref().is_none_or(|open| open.name != name) {
            let file = OpenOptions::new()
                .create(true)
                .append(true)
                .open(self.path.join(name))
                .map_err(io_error("open", name))?;
            self.append_file = Some(AppendFile { name: name.to_string(), file });
        }
        let open = self.append_file.as_mut().expect("opened above");
        Ok(&mut open.file)
    }

    /// Makes a rename in the folder durable.
    fn sync_folder(&self) -> Result<()> {
        File::open(&self.path)
            .and_then(|folder| folder.sync_all())
            .map_err(io_error("sync the data folder", "."))
    }
}

impl Folder for DiskFolder {
    fn read(&self, name: &str) -> Result<Option<Vec<u8>>> {
        match fs::read(self.path.join(name)) {
            Ok(bytes) => Ok(Some(bytes)),
            Err(error) if error.kind() == io::ErrorKind::NotFound => Ok(None),
            Err(error) => Err(io_error("read", name)(error)),
        }
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> Result<()> {
        self.open_for_append(name)?.write_all(bytes).map_err(io_error("write", name))
    }

    fn sync(&mut self, name: &str) -> Result<()> {
        self.open_for_append(name)?.sync_data().map_err(io_error("sync", name))
    }

    fn replace(&mut self, name: &str, bytes: &[u8]) -> Result<()> {
        self.append_file = None;
        let part = format!("{name}.part");
        let mut file = File::create(self.path.join(&part)).map_err(io_error("create", &part))?;
        file.write_all(bytes).map_err(io_error("write", &part))?;
        file.sync_all().map_err(io_error("sync", &part))?;
        fs::rename(self.path.join(&part), self.path.join(name))
            .map_err(io_error("rename", &part))?;
        self.sync_folder()
    }

    fn truncate(&mut self, name: &str, length: u64) -> Result<()> {
        let file = self.open_for_append(name)?;
        file.set_len(length).map_err(io_error("cut", name))?;
        file.sync_all().map_err(io_error("sync", name))
    }
}

/// Returns a function that adds the operation and the file name to an I/O error.
fn io_error(action: &'static str, file: &str) -> impl Fn(io::Error) -> Error + use<> {
    let file = file.to_string();
    move |source| Error::Io { action, file: file.clone(), source }
}
