//! Pool of idle connections to targets.

use arc_swap::ArcSwap;
use async_std::net::TcpStream;
use crossbeam_queue::ArrayQueue;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Largest number of idle connections kept for each target.
const IDLE_PER_TARGET: usize = 64;
/// Idle time after which a connection is not reused: a device on the path may have
/// dropped its state.
const MAX_IDLE: Duration = Duration::from_secs(2);

type Queue = Arc<ArrayQueue<Idle>>;

/// A connection that is not in use.
#[derive(Debug)]
struct Idle {
    stream: TcpStream,
    idle_since: Duration,
}

/// Idle connections to all targets, by address.
#[derive(Debug, Default)]
pub struct Connections {
    queues: ArcSwap<BTreeMap<SocketAddr, Queue>>,
}

impl Connections {
    /// Closes idle connections to addresses that are not in `addresses`.
    pub fn retain(&self, addresses: impl Iterator<Item = SocketAddr>) {
        let old = self.queues.load();
        let queue = |address| {
            let known = old.get(&address).cloned();
            (address, known.unwrap_or_else(|| Arc::new(ArrayQueue::new(IDLE_PER_TARGET))))
        };
        self.queues.store(Arc::new(addresses.map(queue).collect()));
    }

    /// Returns a connection that has been idle for less than `MAX_IDLE`, if any.
    pub fn take(&self, address: &SocketAddr, now: Duration) -> Option<TcpStream> {
        let queues = self.queues.load();
        let queue = queues.get(address)?;
        while let Some(idle) = queue.pop() {
            if now < idle.idle_since + MAX_IDLE {
                return Some(idle.stream);
            }
        }
        None
    }

    /// Keeps a connection for a later request. Closes it if the target is unknown or
    /// has enough idle connections.
    pub fn put(&self, address: &SocketAddr, stream: TcpStream, now: Duration) {
        if let Some(queue) = self.queues.load().get(address) {
            let _ = queue.push(Idle { stream, idle_since: now });
        }
    }
}
