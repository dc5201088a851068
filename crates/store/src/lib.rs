//! Log and snapshots in the data folder.
//!
//! Every frame is checksummed. A torn tail is cut at start; damage before the
//! tail is refused with file and offset. After a failed write or sync the store
//! takes nothing more until the process restarts and reads the disk again.

pub mod folder;
pub mod frame;
mod store;

pub use folder::{DiskFolder, Folder};
pub use store::{Recovered, Store};

use std::io;
use std::path::PathBuf;

/// Result of work on the data folder.
pub type Result<T> = std::result::Result<T, Error>;

/// What went wrong in the data folder.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// Another process holds the folder.
    #[error("data folder {} is locked by another process", .0.display())]
    Locked(PathBuf),
    /// A file is damaged before its tail.
    #[error("file \"{file}\" is damaged at offset {offset}: {reason}")]
    Damaged {
        /// Name inside the folder.
        file: String,
        /// Byte offset of the first frame that cannot be read.
        offset: u64,
        /// What is wrong with it.
        reason: String,
    },
    /// The operating system refused.
    #[error("{action} \"{file}\": {source}")]
    Io {
        /// What was tried.
        action: &'static str,
        /// Name inside the folder.
        file: String,
        /// The operating system's reason.
        source: io::Error,
    },
    /// An earlier write or sync failed.
    #[error("the data folder takes nothing more since a write or sync failed")]
    Failed,
}
