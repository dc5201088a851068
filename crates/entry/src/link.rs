//! Handle on a connection to one peer: its send queue, counters and activity.

use async_std::channel::{Sender, TrySendError};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use wire::Frame;
use wire::proof::Identity;

/// Largest number of frames queued for a peer. A full queue closes the connection.
pub const MAX_QUEUED_FRAMES: usize = 1024;

/// Traffic counters of one connection.
#[derive(Debug, Default)]
pub struct Traffic {
    /// Number of frames sent.
    pub frames_out: AtomicU64,
    /// Total size of the frames sent, in bytes.
    pub bytes_out: AtomicU64,
    /// Number of frames received.
    pub frames_in: AtomicU64,
    /// Total size of the frames received, in bytes.
    pub bytes_in: AtomicU64,
}

/// An open connection to one peer.
#[derive(Clone, Debug)]
pub struct Link {
    /// Identity that the peer has proved.
    pub identity: Identity,
    /// Distinguishes connections to the same peer.
    pub serial: u64,
    /// When it was opened, on the monotonic clock.
    pub opened_at: Duration,
    /// Frames and bytes in both directions.
    pub traffic: Arc<Traffic>,
    /// When data was last received, in milliseconds of the monotonic clock.
    last_received_ms: Arc<AtomicU64>,
    queue: Sender<Frame>,
}

impl Link {
    /// Creates a link that sends through `queue`.
    pub fn new(identity: Identity, serial: u64, opened_at: Duration, queue: Sender<Frame>) -> Link {
        let last_received_ms = Arc::new(AtomicU64::new(opened_at.as_millis() as u64));
        Link { identity, serial, opened_at, traffic: Arc::default(), last_received_ms, queue }
    }

    /// Records that data was received.
    pub fn record_activity(&self, now: Duration) {
        self.last_received_ms.store(now.as_millis() as u64, Ordering::Release);
    }

    /// Returns the time since data was last received. A live peer sends a ping after
    /// half a second without another frame.
    pub fn idle_time(&self, now: Duration) -> Duration {
        now.saturating_sub(Duration::from_millis(self.last_received_ms.load(Ordering::Acquire)))
    }

    /// Returns the peer's identity in the agreement.
    pub fn id(&self) -> quorum::Id {
        quorum::Id::new(self.identity.name.clone(), self.identity.incarnation)
    }

    /// Queues a frame. A full queue closes the connection: a peer that no longer reads
    /// is treated like one that no longer sends.
    pub fn send(&self, frame: Frame) {
        if let Err(TrySendError::Full(_)) = self.queue.try_send(frame) {
            self.queue.close();
        }
    }

    /// Closes the send queue, which ends the connection.
    pub fn close(&self) {
        self.queue.close();
    }
}

impl Traffic {
    /// Counts a sent frame of `bytes` bytes.
    pub fn record_sent(&self, bytes: usize) {
        self.frames_out.fetch_add(1, Ordering::Relaxed);
        self.bytes_out.fetch_add(bytes as u64, Ordering::Relaxed);
    }

    /// Counts a received frame of `bytes` bytes.
    pub fn record_received(&self, bytes: usize) {
        self.frames_in.fetch_add(1, Ordering::Relaxed);
        self.bytes_in.fetch_add(bytes as u64, Ordering::Relaxed);
    }
}
