//! Requests relayed to other entries that wait for their replies.

use async_std::channel::Sender;
use quorum::Id;
use std::collections::BTreeMap;
use std::sync::Mutex;
use wire::call::{Outcome, RelayReply};

/// Requests relayed to peers and not answered yet.
pub struct Pending {
    inner: Mutex<Inner>,
}

struct Inner {
    last_id: u64,
    waiting: BTreeMap<u64, Waiting>,
}

struct Waiting {
    to: Id,
    reply: Sender<Outcome>,
}

impl Pending {
    /// Starts without requests. Their ids count on from a number of this process incarnation: a
    /// reply to an earlier process of the entry may arrive, and must match none of them.
    ///
    /// ```
    /// let pending = entry::relay::Pending::new(7);
    /// pending.on_peer_lost(&quorum::Id::new("a", 1));
    /// ```
    pub fn new(process_incarnation: u64) -> Pending {
        let last_id = process_incarnation >> 1; // at least half of all numbers lie above it
        Pending { inner: Mutex::new(Inner { last_id, waiting: BTreeMap::new() }) }
    }

    /// Passes a peer's reply to the waiting request; ignores it if none waits.
    pub fn on_reply(&self, reply: RelayReply) {
        let waiting = self.inner.lock().expect("no holder panics").waiting.remove(&reply.id);
        if let Some(waiting) = waiting {
            let _ = waiting.reply.try_send(reply.outcome);
        }
    }

    /// Drops the requests relayed to a lost peer. Their channels close, so that the
    /// waiting tasks stop at once.
    pub fn on_peer_lost(&self, peer: &Id) {
        let mut inner = self.inner.lock().expect("no holder panics");
        inner.waiting.retain(|_, waiting| waiting.to != *peer);
    }

    /// Registers a request and returns the id that its reply will carry.
    ///
    /// ```
    /// let pending = entry::relay::Pending::new(7);
    /// let (reply, answer) = async_std::channel::bounded(1);
    /// pending.begin(quorum::Id::new("a", 1), reply);
    /// assert!(answer.is_empty());
    /// ```
    pub fn begin(&self, to: Id, reply: Sender<Outcome>) -> u64 {
        let mut inner = self.inner.lock().expect("no holder panics");
        inner.last_id += 1;
        let id = inner.last_id;
        inner.waiting.insert(id, Waiting { to, reply });
        id
    }

    /// Removes a request that no longer waits.
    pub(crate) fn end(&self, id: u64) {
        self.inner.lock().expect("no holder panics").waiting.remove(&id);
    }
}
