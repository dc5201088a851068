//! Sending side of a connection to one peer.

use async_std::channel::{Sender, TrySendError};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use wire::Frame;
use wire::proof::Identity;

/// Frames that wait for a slow peer before its connection is given up.
pub const QUEUE_FRAMES: usize = 1024;

/// Counters of one connection.
#[derive(Debug, Default)]
pub struct Traffic {
    /// Frames sent.
    pub frames_out: AtomicU64,
    /// Bytes of the frames sent.
    pub bytes_out: AtomicU64,
    /// Frames received.
    pub frames_in: AtomicU64,
    /// Bytes of the frames received.
    pub bytes_in: AtomicU64,
}

/// An open connection to one peer.
#[derive(Clone, Debug)]
pub struct Link {
    /// Who the peer is.
    pub identity: Identity,
    /// Distinguishes connections to the same peer.
    pub serial: u64,
    /// Since when it is open, on the monotonic clock.
    pub since: Duration,
    /// What went through it.
    pub traffic: Arc<Traffic>,
    /// When something was last received, in milliseconds of the monotonic clock.
    heard: Arc<AtomicU64>,
    queue: Sender<Frame>,
}

impl Link {
    /// Wraps the sending end of a connection's queue.
    pub fn new(identity: Identity, serial: u64, since: Duration, queue: Sender<Frame>) -> Link {
        let heard = Arc::new(AtomicU64::new(since.as_millis() as u64));
        Link { identity, serial, since, traffic: Arc::default(), heard, queue }
    }

    /// Takes in that something was received.
    pub fn record_activity(&self, now: Duration) {
        self.heard.store(now.as_millis() as u64, Ordering::Release);
    }

    /// Time since something was received; an idle peer pings twice a second.
    pub fn idle_time(&self, now: Duration) -> Duration {
        now.saturating_sub(Duration::from_millis(self.heard.load(Ordering::Acquire)))
    }

    /// Identity in the agreement.
    pub fn id(&self) -> quorum::Id {
        quorum::Id::new(self.identity.name.clone(), self.identity.incarnation)
    }

    /// Queues a frame. A full queue closes the connection: a peer that takes
    /// nothing is as good as silent.
    pub fn send(&self, frame: Frame) {
        if let Err(TrySendError::Full(_)) = self.queue.try_send(frame) {
            self.queue.close();
        }
    }

    /// Ends the connection.
    pub fn close(&self) {
        self.queue.close();
    }
}

impl Traffic {
    /// Counts a frame sent.
    pub fn record_sent(&self, bytes: usize) {
        self.frames_out.fetch_add(1, Ordering::Relaxed);
        self.bytes_out.fetch_add(bytes as u64, Ordering::Relaxed);
    }

    /// Counts a frame received.
    pub fn record_received(&self, bytes: usize) {
        self.frames_in.fetch_add(1, Ordering::Relaxed);
        self.bytes_in.fetch_add(bytes as u64, Ordering::Relaxed);
    }
}
