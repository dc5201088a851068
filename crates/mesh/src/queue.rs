//! Encoded frames that wait to be sent, bounded by their size.
//!
//! A peer that reads too slowly, or not at all, must not take the memory of this process: a
//! frame counts from the time it is queued until the connection has taken it. The bounds are in
//! bytes, since a frame holds anything from a ping to a snapshot.

use async_std::channel::{Receiver, Sender, unbounded};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use tokio_tungstenite::tungstenite::Bytes;

/// Size of the frames queued on one link, in bytes, from which it takes no further ones. One
/// frame may exceed it, so that a snapshot of any size can be sent.
pub const MAX_LINK_BYTES: usize = 8 << 20;
/// Size of the frames queued on all links of a process, in bytes, above which the fullest link
/// is ended; a tenth of the memory of a small instance.
pub const MAX_TOTAL_BYTES: usize = 32 << 20;
/// Bytes that a queued frame takes in addition to its content.
const FRAME_OVERHEAD_BYTES: usize = 64;

/// Result of queueing a frame.
pub type Result<T> = std::result::Result<T, Error>;

/// Why a frame was not queued.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The link holds [`MAX_LINK_BYTES`] or more.
    #[error("the link holds {MAX_LINK_BYTES} bytes or more")]
    Full,
    /// The link has ended.
    #[error("the link has ended")]
    Closed,
}

/// Size of the frames that are queued on all links of a process.
#[derive(Clone, Debug, Default)]
pub struct Total(Arc<AtomicUsize>);

impl Total {
    /// Returns the size in bytes.
    pub fn bytes(&self) -> usize {
        self.0.load(Ordering::Acquire)
    }
}

/// Counts a frame until it is dropped.
#[derive(Debug)]
struct Count {
    bytes: usize,
    link: Arc<AtomicUsize>,
    total: Total,
}

impl Drop for Count {
    fn drop(&mut self) {
        self.link.fetch_sub(self.bytes, Ordering::AcqRel);
        self.total.0.fetch_sub(self.bytes, Ordering::AcqRel);
    }
}

/// An encoded frame. It counts for its queue until it is dropped.
#[derive(Debug)]
pub struct Queued {
    content: Bytes,
    _count: Count,
}

impl Queued {
    /// Returns the encoded frame. It shares its memory with the queued one.
    pub fn content(&self) -> Bytes {
        self.content.clone()
    }
}

/// Puts frames into the queue of one link.
#[derive(Debug)]
pub struct Input {
    frames: Sender<Queued>,
    link: Arc<AtomicUsize>,
    total: Total,
}

/// Creates the queue of a link.
///
/// ```
/// let total = mesh::queue::Total::default();
/// let (input, output) = mesh::queue::new(&total);
/// input.push(vec![1, 2, 3].into()).unwrap();
/// assert!(total.bytes() >= 3);
/// drop(output.try_recv().unwrap());
/// assert_eq!(total.bytes(), 0);
/// ```
pub fn new(total: &Total) -> (Input, Receiver<Queued>) {
    let (frames, queued) = unbounded();
    (Input { frames, link: Arc::default(), total: total.clone() }, queued)
}

impl Input {
    /// Queues an encoded frame.
    pub fn push(&self, content: Bytes) -> Result<()> {
        if self.bytes() >= MAX_LINK_BYTES {
            return Err(Error::Full);
        }
        let bytes = content.len() + FRAME_OVERHEAD_BYTES;
        self.link.fetch_add(bytes, Ordering::AcqRel);
        self.total.0.fetch_add(bytes, Ordering::AcqRel);
        let count = Count { bytes, link: self.link.clone(), total: self.total.clone() };
        self.frames.try_send(Queued { content, _count: count }).map_err(|_| Error::Closed)
    }

    /// Returns the size in bytes of the frames that are queued.
    pub fn bytes(&self) -> usize {
        self.link.load(Ordering::Acquire)
    }

    /// Takes no more frames. Those that are queued can still be received.
    pub fn close(&self) {
        self.frames.close();
    }
}
