//! Requests that were handed to other entries and wait for their answers.

use async_std::channel::Sender;
use quorum::Id;
use std::collections::BTreeMap;
use std::sync::Mutex;
use wire::call::{Outcome, RelayReply};

/// Requests handed to peers and not answered yet.
#[derive(Default)]
pub struct Pending {
    inner: Mutex<Inner>,
}

#[derive(Default)]
struct Inner {
    next: u64,
    waiting: BTreeMap<u64, Waiting>,
}

struct Waiting {
    to: Id,
    reply: Sender<Outcome>,
}

impl Pending {
    /// Takes in the answer to a request.
    pub fn on_reply(&self, relayed: RelayReply) {
        let waiting = self.inner.lock().expect("no holder panics").waiting.remove(&relayed.id);
        if let Some(waiting) = waiting {
            let _ = waiting.reply.try_send(relayed.outcome);
        }
    }

    /// Gives up on requests handed to a peer that was lost.
    pub fn on_peer_lost(&self, peer: &Id) {
        let mut inner = self.inner.lock().expect("no holder panics");
        inner.waiting.retain(|_, waiting| waiting.to != *peer); // closes their channels
    }

    pub(crate) fn begin(&self, to: Id, reply: Sender<Outcome>) -> u64 {
        let mut inner = self.inner.lock().expect("no holder panics");
        inner.next += 1;
        let id = inner.next;
        inner.waiting.insert(id, Waiting { to, reply });
        id
    }

    pub(crate) fn end(&self, id: u64) {
        self.inner.lock().expect("no holder panics").waiting.remove(&id);
    }
}
