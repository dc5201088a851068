//! Serving a request: under a key at most once, here or through another entry.

use crate::forward::Options;
use crate::idempotency::{self, Begin, Keys};
use crate::shared::Shared;
use async_std::channel::bounded;
use async_std::future::timeout;
use quorum::Id;
use rand::seq::IndexedRandom;
use route::claim::Key;
use route::outcome::{Reason, Refusal};
use std::time::Duration;
use wire::Frame;
use wire::call::{Call, Outcome, Relay, RelayReply};

/// Silence up to which a connection is known to be alive; twice the time between
/// two pings.
const ALIVE: Duration = Duration::from_secs(1);

/// Settles a claim as unknown if its request is dropped half-way.
struct Guard<'a> {
    idempotency_keys: &'a Keys,
    key: &'a Key,
    ended: bool,
}

impl Drop for Guard<'_> {
    fn drop(&mut self) {
        if !self.ended {
            let refusal = Refusal::new(Reason::Silent, "it was given up while it ran");
            self.idempotency_keys.end(self.key, Outcome::Unknown(refusal));
        }
    }
}

/// Serves a request under a key: here if this life minted the key, through the
/// life that did otherwise.
pub async fn serve_keyed(shared: &Shared, key: &Key, call: &Call, options: &Options) -> Outcome {
    let identity = &shared.identity;
    if key.entry == identity.name && key.process_incarnation == identity.process_incarnation {
        return run_once(shared, key, call, options).await;
    }
    let links = shared.links();
    let owner = links.iter().find(|link| {
        link.identity.name == key.entry
            && link.identity.process_incarnation == key.process_incarnation
    });
    if let Some(owner) = owner {
        return relay(shared, owner.id(), Some(key), call, options).await;
    }
    shared.idempotency_keys.inherited(key, &idempotency::digest(call)).unwrap_or_else(|| {
        let detail = format!("entry \"{}\" that minted the key can't be reached", key.entry);
        Outcome::Unknown(Refusal::new(Reason::KeyLost, detail))
    })
}

/// Runs a request under a key of this life at most once.
pub async fn run_once(shared: &Shared, key: &Key, call: &Call, options: &Options) -> Outcome {
    loop {
        match shared.idempotency_keys.begin(key, idempotency::digest(call)) {
            Begin::Completed(outcome) => return outcome,
            Begin::Wait(settled) => {
                let left = options.deadline.saturating_sub(shared.clock.now());
                let Some(settled) = settled else { continue };
                if timeout(left, settled.recv()).await.is_err() {
                    let detail = "it is still under way";
                    return Outcome::Unknown(Refusal::new(Reason::Silent, detail));
                }
            }
            Begin::Run => {
                let mut guard =
                    Guard { idempotency_keys: &shared.idempotency_keys, key, ended: false };
                let outcome = serve(shared, call, options).await;
                guard.ended = true;
                shared.idempotency_keys.end(key, idempotency::kept(&outcome));
                return outcome;
            }
        }
    }
}

/// Serves a request from the targets of this data centre, or through an entry of
/// another one when none is known here.
pub async fn serve(shared: &Shared, call: &Call, options: &Options) -> Outcome {
    let outcome = shared.forwarder.call(call, options).await;
    match &outcome {
        Outcome::NotRun(refusal) if refusal.reason == Reason::NoTarget => {}
        _ => return outcome,
    }
    match elsewhere(shared, &call.pool) {
        Some(peer) => relay(shared, peer, None, call, options).await,
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
        .filter(|link| link.idle_time(now) < ALIVE)
        .map(|link| link.id())
        .filter(has_targets)
        .collect();
    alive.choose(&mut rand::rng()).cloned()
}

/// Hands a request to a peer and waits for its answer.
pub async fn relay(
    shared: &Shared,
    to: Id,
    key: Option<&Key>,
    call: &Call,
    options: &Options,
) -> Outcome {
    let left = options.deadline.saturating_sub(shared.clock.now());
    let (reply, answer) = bounded(1);
    let name = to.name.clone();
    let id = shared.relaying.begin(to.clone(), reply);
    let relay = Relay {
        id,
        key: key.cloned(),
        repeatable: options.repeatable,
        call: call.clone(),
        left,
        class: options.class,
        team: options.team.clone(),
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
pub async fn serve_relay(shared: &Shared, from: Id, relay: Relay) {
    let options = Options {
        deadline: shared.clock.now() + relay.left,
        repeatable: relay.repeatable,
        class: relay.class,
        team: relay.team,
    };
    let outcome = match &relay.key {
        _ if shared.is_stopping() => {
            Outcome::NotRun(Refusal::new(Reason::Stopping, "this entry is stopping"))
        }
        Some(key) => run_once(shared, key, &relay.call, &options).await,
        None => shared.forwarder.call(&relay.call, &options).await,
    };
    shared.send_to(&from, Frame::RelayReply(RelayReply { id: relay.id, outcome }));
}
