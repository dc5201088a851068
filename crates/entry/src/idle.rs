//! Idle connections to targets.

use arc_swap::ArcSwap;
use async_std::net::TcpStream;
use crossbeam_queue::ArrayQueue;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Idle connections kept for each target.
const IDLE_PER_TARGET: usize = 64;
/// Idle time after which a connection may have been forgotten on its way.
const MAX_IDLE: Duration = Duration::from_secs(2);

type Queue = Arc<ArrayQueue<Idle>>;

/// A connection that waits for its next request.
#[derive(Debug)]
struct Idle {
    stream: TcpStream,
    since: Duration,
}

/// Idle connections to all targets.
#[derive(Debug, Default)]
pub struct Connections {
    queues: ArcSwap<BTreeMap<SocketAddr, Queue>>,
}

impl Connections {
    /// Keeps connections to these addresses only.
    pub fn retain(&self, addresses: impl Iterator<Item = SocketAddr>) {
        let old = self.queues.load();
        let queue = |address| {
            let known = old.get(&address).cloned();
            (address, known.unwrap_or_else(|| Arc::new(ArrayQueue::new(IDLE_PER_TARGET))))
        };
        self.queues.store(Arc::new(addresses.map(queue).collect()));
    }

    /// A connection that was in use a moment ago, if there is one.
    pub fn take(&self, address: &SocketAddr, now: Duration) -> Option<TcpStream> {
        let queues = self.queues.load();
        let queue = queues.get(address)?;
        while let Some(idle) = queue.pop() {
            if now < idle.since + MAX_IDLE {
                return Some(idle.stream);
            }
        }
        None
    }

    /// Keeps a connection for the next request.
    pub fn put(&self, address: &SocketAddr, stream: TcpStream, now: Duration) {
        if let Some(queue) = self.queues.load().get(address) {
            let _ = queue.push(Idle { stream, since: now }); // full: it is closed instead
        }
    }
}
