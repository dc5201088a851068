//! Protocol between entries: mutual authentication by a shared key, then frames.
//! Frames are encoded as CBOR.

pub mod call;
pub mod frame;
pub mod proof;

pub use frame::Frame;

/// Result of reading a frame or checking a proof.
pub type Result<T> = std::result::Result<T, Error>;

/// Reason to refuse a peer or a frame.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The bytes can't be decoded as a frame of this version.
    #[error("cannot read the frame: {0}")]
    Unreadable(String),
    /// The peer does not hold the shared key.
    #[error("entry \"{0}\" does not hold the shared key")]
    WrongKey(String),
    /// The peer belongs to another cluster.
    #[error("entry \"{name}\" belongs to cluster \"{cluster}\"")]
    WrongCluster {
        /// Entry name that the peer reported.
        name: String,
        /// Cluster that the peer reported.
        cluster: String,
    },
}
