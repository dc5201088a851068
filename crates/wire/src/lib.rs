//! Frames between entries, and the proof of the shared key that comes first.

pub mod call;
pub mod frame;
pub mod proof;

pub use frame::Frame;

/// Result of reading a frame or checking a proof.
pub type Result<T> = std::result::Result<T, Error>;

/// Why a peer is refused.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The bytes are no frame of this version.
    #[error("cannot read the frame: {0}")]
    Unreadable(String),
    /// The peer does not hold the shared key.
    #[error("entry \"{0}\" does not hold the shared key")]
    WrongKey(String),
    /// The peer belongs to another cluster.
    #[error("entry \"{name}\" belongs to cluster \"{cluster}\"")]
    WrongCluster {
        /// Name that the peer gave.
        name: String,
        /// Cluster that the peer named.
        cluster: String,
    },
}
