//! Requests that one entry hands to another: under a key that the other minted,
//! or for a pool that has targets only in the other's data centre.

use crate::forward::Terms;
use crate::once;
use crate::shared::Shared;
use async_std::channel::{Sender, bounded};
use async_std::future::timeout;
use quorum::Id;
use rand::seq::IndexedRandom;
use route::claim::Key;
use route::outcome::{Reason, Refusal};
use std::collections::BTreeMap;
use std::sync::Mutex;
use std::time::Duration;
use wire::Frame;
use wire::call::{Call, Outcome, Relay, Relayed};

/// Silence up to which a connection is known to be alive; twice the time between
/// two pings.
const ALIVE: Duration = Duration::from_secs(1);

/// Requests handed to peers and not answered yet.
#[derive(Default)]
pub struct Relaying {
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

impl Relaying {
    /// Takes in the answer to a request.
    pub fn answered(&self, relayed: Relayed) {
        let waiting = self.inner.lock().expect("no holder panics").waiting.remove(&relayed.id);
        if let Some(waiting) = waiting {
            let _ = waiting.reply.try_send(relayed.outcome);
        }
    }

    /// Gives up on requests handed to a peer that was lost.
    pub fn lose(&self, peer: &Id) {
        let mut inner = self.inner.lock().expect("no holder panics");
        inner.waiting.retain(|_, waiting| waiting.to != *peer); // closes their channels
    }

    fn begin(&self, to: Id, reply: Sender<Outcome>) -> u64 {
        let mut inner = self.inner.lock().expect("no holder panics");
        inner.next += 1;
        let id = inner.next;
        inner.waiting.insert(id, Waiting { to, reply });
        id
    }

    fn end(&self, id: u64) {
        self.inner.lock().expect("no holder panics").waiting.remove(&id);
    }
}

/// Serves a request from the targets of this data centre, or through an entry of
/// another one when none is known here.
pub async fn dispatch(shared: &Shared, call: &Call, terms: &Terms) -> Outcome {
    let outcome = shared.forwarder.call(call, terms).await;
    match &outcome {
        Outcome::NotRun(refusal) if refusal.reason == Reason::NoTarget => {}
        _ => return outcome,
    }
    match elsewhere(shared, &call.pool) {
        Some(peer) => send(shared, peer, None, call, terms).await,
        None => outcome,
    }
}

/// A peer that has targets of the pool and was heard from a moment ago: on a
/// connection that may be dead, the request's outcome would be unknown.
fn elsewhere(shared: &Shared, pool: &str) -> Option<Id> {
    let now = shared.clock.now();
    let serving = shared.serving.lock().expect("no holder panics");
    let has_targets = |id: &Id| serving.get(id).is_some_and(|pools| pools.contains(pool));
    let links = shared.links();
    let alive: Vec<Id> = links
        .iter()
        .filter(|link| link.silence(now) < ALIVE)
        .map(|link| link.id())
        .filter(has_targets)
        .collect();
    alive.choose(&mut rand::rng()).cloned()
}

/// Hands a request to a peer and waits for its answer.
pub async fn send(
    shared: &Shared,
    to: Id,
    key: Option<&Key>,
    call: &Call,
    terms: &Terms,
) -> Outcome {
    let left = terms.deadline.saturating_sub(shared.clock.now());
    let (reply, answer) = bounded(1);
    let name = to.name.clone();
    let id = shared.relaying.begin(to.clone(), reply);
    let relay = Relay {
        id,
        key: key.cloned(),
        repeatable: terms.repeatable,
        call: call.clone(),
        left,
        class: terms.class,
        team: terms.team.clone(),
    };
    shared.send_to(&to, Frame::Relay(relay));
    let outcome = timeout(left, answer.recv()).await;
    shared.relaying.end(id);
    match outcome {
        Ok(Ok(outcome)) => outcome,
        Ok(Err(_)) => {
            let detail = format!("entry \"{name}\" was lost");
            Outcome::Unknown(Refusal::new(Reason::KeyLost, detail))
        }
        Err(_) => {
            let detail = format!("entry \"{name}\" did not answer in time");
            Outcome::Unknown(Refusal::new(Reason::Silent, detail))
        }
    }
}

/// Serves a request that another entry handed over, and answers it.
pub async fn answer(shared: &Shared, from: Id, relay: Relay) {
    let terms = Terms {
        deadline: shared.clock.now() + relay.left,
        repeatable: relay.repeatable,
        class: relay.class,
        team: relay.team,
    };
    let outcome = match &relay.key {
        _ if shared.is_stopping() => {
            Outcome::NotRun(Refusal::new(Reason::Stopping, "this entry is stopping"))
        }
        Some(key) => once::run(shared, key, &relay.call, &terms).await,
        None => shared.forwarder.call(&relay.call, &terms).await,
    };
    shared.send_to(&from, Frame::Relayed(Relayed { id: relay.id, outcome }));
}
