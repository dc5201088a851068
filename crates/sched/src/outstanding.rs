//! Orders to workers that have no reply yet, within limits for the process and for each worker.
//!
//! Each order under way costs the process that sends it memory for its call, and a start also a
//! copy of the job's text. An order beyond the limits is not sent: the state of its run says that
//! it is due, and it is sent when others have been answered.

use jobs::{RunNumber, UnitKey, WorkerId};
use std::collections::BTreeMap;

/// Maximum number of orders of one kind that have no reply, to all workers together.
pub const MAX_ORDERS: usize = 4096;
/// Maximum number of them to one worker. Several round trips' worth, so that a worker which
/// answers is kept busy.
pub const MAX_ORDERS_PER_WORKER: usize = 64;
/// Maximum number of them to a worker that answers nothing, so that many such workers leave room
/// for orders to the others.
pub const MAX_ORDERS_TO_SILENT_WORKER: usize = 8;
/// Maximum size of the texts of starts that have no reply, in bytes. A start that is larger by
/// itself is sent when no other is under way.
pub const MAX_BYTES: usize = 4 << 20;

/// The orders of one kind that have no reply.
///
/// ```
/// use jobs::UnitKey;
/// use sched::outstanding::{MAX_ORDERS_PER_WORKER, Orders};
/// let unit = |index| UnitKey { job: 1, occurrence: 0, step: 0, index };
/// let mut orders = Orders::default();
/// for index in 0..MAX_ORDERS_PER_WORKER as u32 {
///     assert!(orders.admits("w0", false, 10));
///     orders.record_sent("w0", (unit(index), 1), 10);
/// }
/// assert!(!orders.admits("w0", false, 10));
/// orders.record_reply("w0", (unit(0), 1));
/// assert!(orders.admits("w0", false, 10));
/// ```
#[derive(Clone, Debug, Default)]
pub struct Orders {
    by_worker: BTreeMap<WorkerId, Sent>,
    count: usize,
    bytes: usize,
}

/// Orders to one worker.
#[derive(Clone, Debug, Default)]
struct Sent {
    count: usize,
    /// Sizes of the orders for each run; a run has several if one was repeated.
    sizes: BTreeMap<(UnitKey, RunNumber), Vec<usize>>,
}

impl Orders {
    /// Returns whether an order with a text of `bytes` may be sent to a worker.
    pub fn admits(&self, worker: &str, is_silent: bool, bytes: usize) -> bool {
        let sent = self.by_worker.get(worker).map_or(0, |sent| sent.count);
        let limit = if is_silent { MAX_ORDERS_TO_SILENT_WORKER } else { MAX_ORDERS_PER_WORKER };
        sent < limit
            && self.count < MAX_ORDERS
            && (self.bytes == 0 || self.bytes + bytes <= MAX_BYTES)
    }

    /// Records an order for a run that is sent to a worker.
    pub fn record_sent(&mut self, worker: &str, run: (UnitKey, RunNumber), bytes: usize) {
        let sent = self.by_worker.entry(worker.to_string()).or_default();
        sent.count += 1;
        sent.sizes.entry(run).or_default().push(bytes);
        self.count += 1;
        self.bytes += bytes;
    }

    /// Records the reply to an order, or that none can arrive any more. A reply to an order of an
    /// earlier leadership of the process changes nothing.
    pub fn record_reply(&mut self, worker: &str, run: (UnitKey, RunNumber)) {
        let Some(sent) = self.by_worker.get_mut(worker) else { return };
        let Some(sizes) = sent.sizes.get_mut(&run) else { return };
        self.bytes -= sizes.pop().unwrap_or_default();
        if sizes.is_empty() {
            sent.sizes.remove(&run);
        }
        sent.count -= 1;
        self.count -= 1;
        if sent.count == 0 {
            self.by_worker.remove(worker);
        }
    }

    /// Returns the number of orders that have no reply.
    ///
    /// ```
    /// assert_eq!(sched::outstanding::Orders::default().count(), 0);
    /// ```
    pub fn count(&self) -> usize {
        self.count
    }

    /// Returns the size of their texts in bytes.
    ///
    /// ```
    /// assert_eq!(sched::outstanding::Orders::default().bytes(), 0);
    /// ```
    pub fn bytes(&self) -> usize {
        self.bytes
    }
}
