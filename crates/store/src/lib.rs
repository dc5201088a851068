//! Durable log and snapshot of a consensus node, in the data folder.
//!
//! Every frame has a checksum. A torn tail is truncated when the store is opened; damage
//! before the tail is an error that names file and offset. After a failed write or sync
//! the store refuses all writes until it is opened again and has read the disk.

pub mod folder;
pub mod frame;
mod store;

pub use folder::{DiskFolder, Folder};
pub use store::{Recovered, Store};

use std::io;
use std::path::PathBuf;

/// Result of an operation on the data folder.
pub type Result<T> = std::result::Result<T, Error>;

/// Error of the data folder.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// Another process has locked the folder.
    #[error("data folder {} is locked by another process", .0.display())]
    Locked(PathBuf),
    /// A file is damaged and the damage is no torn tail.
    #[error("file \"{file}\" is damaged at offset {offset}: {reason}")]
    Damaged {
        /// Name of the file in the folder.
        file: String,
        /// Byte offset of the first frame that cannot be read; 0 if all frames of the log can
        /// be read but the index of an entry does not follow on the one before.
        offset: u64,
        /// What is wrong with that frame or entry.
        reason: String,
    },
    /// An operation of the operating system failed.
    #[error("{action} \"{file}\": {source}")]
    Io {
        /// Operation that failed, as a verb.
        action: &'static str,
        /// Name of the file in the folder.
        file: String,
        /// Error of the operating system.
        source: io::Error,
    },
    /// An earlier write or sync failed, so the store refuses all writes.
    #[error("the data folder accepts no writes after a failed write or sync")]
    Failed,
}
