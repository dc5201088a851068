//! Orders to workers that other core processes send for the leader.
//!
//! An HTTP call costs the leader more than the decision behind it. In a large fleet the calls
//! are spread over the linked core processes; a frame to one of them carries many orders. A
//! worker obeys only the highest fence and a start carries the end of its lease, so an order
//! that a process sends late is harmless, unless the worker has restarted meanwhile: see
//! [`sched::late`]. So an order carries the time that it has left to leave.

use mesh::ProcessInfo;
use mesh::frame::OrderId;
use sched::Order;
use sched::order::{Answer, Reply};
use std::collections::{BTreeMap, BTreeSet};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::time::Duration;

/// Number of workers up to which the leader sends all orders itself: for so few, the frames
/// cost more than the calls that they save.
const MAX_DIRECT_WORKERS: usize = 100;
/// Time after which a process that sends an order gives up on the worker and says so. It
/// covers the timeouts of connecting and of one call. The wait of a poll is added.
pub const CALL_TIMEOUT: Duration = Duration::from_millis(1200);
/// Time after which the leader gives up on the process: the call and a margin for the links.
/// A worker that does not answer must not make the process look lost.
const REPLY_TIMEOUT: Duration = Duration::from_millis(1800);
/// Time for which a process gets no orders after one that it did not answer.
const AVOID_AFTER_TIMEOUT: Duration = Duration::from_secs(3);
/// Time for which a process gets no orders after it said that it is about to end; longer than
/// its end takes.
const AVOID_WHILE_STOPPING: Duration = Duration::from_secs(10);

/// An order that another process was asked to send.
#[derive(Clone, Debug)]
struct Sent {
    process: String,
    /// Reply that stands for the answer if it is lost.
    lost_reply: Reply,
    deadline: Duration,
}

/// The leader's orders that other processes send.
#[derive(Clone, Debug)]
pub struct Relays {
    sent: BTreeMap<OrderId, Sent>,
    deadlines: BTreeSet<(Duration, OrderId)>,
    next_id: OrderId,
    /// Processes that get no orders before this time.
    avoided_until: BTreeMap<String, Duration>,
}

impl Relays {
    /// Starts without orders; the first one gets the id `first_id`, see
    /// [`mesh::frame::draw_first_id`].
    ///
    /// ```
    /// let mut relays = control::relay::Relays::new(7);
    /// assert!(!relays.complete(7), "no order was sent");
    /// ```
    pub fn new(first_id: OrderId) -> Relays {
        Relays {
            sent: BTreeMap::new(),
            deadlines: BTreeSet::new(),
            next_id: first_id,
            avoided_until: BTreeMap::new(),
        }
    }

    /// Chooses the process that sends the orders for a worker: one in the worker's data centre
    /// if there is one, and always the same while the processes are the same, so that it can
    /// keep its connection. `None` if the leader sends them itself.
    ///
    /// ```
    /// use std::time::Duration;
    /// let relays = control::relay::Relays::new(1);
    /// assert_eq!(relays.choose(Duration::ZERO, &[], 500, "i-1", None), None);
    /// ```
    pub fn choose<'a>(
        &self,
        now: Duration,
        peers: &'a [ProcessInfo],
        worker_count: usize,
        worker: &str,
        data_centre: Option<&str>,
    ) -> Option<&'a ProcessInfo> {
        if worker_count <= MAX_DIRECT_WORKERS {
            return None;
        }
        let is_usable = |peer: &&ProcessInfo| {
            peer.relays_orders
                && self.avoided_until.get(&peer.name).is_none_or(|until| now >= *until)
        };
        peers.iter().filter(is_usable).max_by_key(|peer| {
            let is_near = data_centre.is_some() && peer.data_centre.as_deref() == data_centre;
            (is_near, weight(&peer.name, worker))
        })
    }

    /// Records that a process is about to end and gets no more orders.
    pub fn record_stopping(&mut self, now: Duration, process: &str) {
        self.avoided_until.insert(process.to_string(), now + AVOID_WHILE_STOPPING);
    }

    /// Records that a process is asked to send an order, and returns the number of the order.
    /// `None` for orders that only the leader sends.
    pub fn record(&mut self, now: Duration, process: &str, order: &Order) -> Option<OrderId> {
        let lost_reply = order.reply_with(Answer::Lost)?;
        let id = self.next_id;
        self.next_id += 1;
        let deadline = now + order.max_wait() + REPLY_TIMEOUT;
        self.deadlines.insert((deadline, id));
        self.sent.insert(id, Sent { process: process.to_string(), lost_reply, deadline });
        Some(id)
    }

    /// Records that the answer to an order arrived. Returns whether it was still expected.
    pub fn complete(&mut self, id: OrderId) -> bool {
        let Some(sent) = self.sent.remove(&id) else { return false };
        self.deadlines.remove(&(sent.deadline, id));
        true
    }

    /// Returns the replies that stand for answers that did not arrive in time. The processes
    /// that owe them get no orders for some time.
    pub fn take_overdue(&mut self, now: Duration) -> Vec<Reply> {
        let mut overdue = Vec::new();
        while let Some((deadline, id)) = self.deadlines.first().copied() {
            if deadline > now {
                break;
            }
            self.deadlines.remove(&(deadline, id));
            if let Some(sent) = self.sent.remove(&id) {
                self.avoided_until.insert(sent.process, now + AVOID_AFTER_TIMEOUT);
                overdue.push(sent.lost_reply);
            }
        }
        overdue
    }

    /// Returns the replies that stand for the answers of a process whose link was lost.
    pub fn take_lost(&mut self, process: &str) -> Vec<Reply> {
        let ids: Vec<OrderId> = self
            .sent
            .iter()
            .filter(|(_, sent)| sent.process == process)
            .map(|(id, _)| *id)
            .collect();
        ids.into_iter()
            .filter_map(|id| {
                let sent = self.sent.remove(&id)?;
                self.deadlines.remove(&(sent.deadline, id));
                Some(sent.lost_reply)
            })
            .collect()
    }

    /// Forgets all orders at the end of a leadership.
    pub fn clear(&mut self) {
        self.sent.clear();
        self.deadlines.clear();
    }
}

/// Weight of a process for a worker; the highest one sends the worker's orders.
fn weight(process: &str, worker: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    (process, worker).hash(&mut hasher);
    hasher.finish()
}
