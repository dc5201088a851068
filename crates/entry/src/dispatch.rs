//! Serves a caller's request: from a target of this data centre or through another
//! entry. A request with an idempotency key runs at most once.

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

/// Time without received data up to which a connection counts as alive; twice the ping
/// interval.
const MAX_IDLE_TIME: Duration = Duration::from_secs(1);

/// Completes a claim as unknown if the task that runs its request is dropped.
struct ClaimGuard<'a> {
    idempotency_keys: &'a Keys,
    key: &'a Key,
    completed: bool,
}

impl Drop for ClaimGuard<'_> {
    fn drop(&mut self) {
        if !self.completed {
            let refusal = Refusal::new(Reason::Silent, "it was given up while it ran");
            self.idempotency_keys.complete(self.key, Outcome::Unknown(refusal));
        }
    }
}

/// Serves a request with a key. The process incarnation that issued the key runs it;
/// any other entry relays the request there.
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
    shared.idempotency_keys.inherited_outcome(key, &idempotency::digest(call)).unwrap_or_else(
        || {
            let detail = format!("entry \"{}\" that minted the key can't be reached", key.entry);
            Outcome::Unknown(Refusal::new(Reason::KeyLost, detail))
        },
    )
}

/// Runs a request under a key of this process incarnation at most once. Waits for the
/// outcome if another request under the key is running.
pub async fn run_once(shared: &Shared, key: &Key, call: &Call, options: &Options) -> Outcome {
    loop {
        match shared.idempotency_keys.begin(key, idempotency::digest(call)) {
            Begin::Completed(outcome) => return outcome,
            Begin::Wait(completed) => {
                let time_left = options.deadline.saturating_sub(shared.clock.now());
                let Some(completed) = completed else { continue };
                if timeout(time_left, completed.recv()).await.is_err() {
                    let detail = "it is still under way";
                    return Outcome::Unknown(Refusal::new(Reason::Silent, detail));
                }
            }
            Begin::Run => {
                let mut guard = ClaimGuard {
                    idempotency_keys: &shared.idempotency_keys,
                    key,
                    completed: false,
                };
                let outcome = serve(shared, call, options).await;
                guard.completed = true;
                shared.idempotency_keys.complete(key, idempotency::retained_outcome(&outcome));
                return outcome;
            }
        }
    }
}

/// Serves a request from a target of this data centre, or through an entry of another
/// data centre if none is known here.
pub async fn serve(shared: &Shared, call: &Call, options: &Options) -> Outcome {
    let outcome = shared.forwarder.call(call, options).await;
    match &outcome {
        Outcome::NotRun(refusal) if refusal.reason == Reason::NoTarget => {}
        _ => return outcome,
    }
    match choose_peer(shared, &call.pool) {
        Some(peer) => relay(shared, peer, None, call, options).await,
        None => outcome,
    }
}

/// Returns a random peer that has targets of the pool and whose connection is alive.
/// The outcome of a request sent on a dead connection would be unknown.
fn choose_peer(shared: &Shared, pool: &str) -> Option<Id> {
    let now = shared.clock.now();
    let peer_pools = shared.peer_pools.lock().expect("no holder panics");
    let has_targets = |id: &Id| peer_pools.get(id).is_some_and(|pools| pools.contains(pool));
    let links = shared.links();
    let alive: Vec<Id> = links
        .iter()
        .filter(|link| link.idle_time(now) < MAX_IDLE_TIME)
        .map(|link| link.id())
        .filter(has_targets)
        .collect();
    alive.choose(&mut rand::rng()).cloned()
}

/// Relays a request to a peer and waits for its reply.
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
    let id = shared.pending_relays.begin(to.clone(), reply);
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
    shared.pending_relays.end(id);
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

/// Serves a request that another entry relayed, and sends the reply. A request without
/// a key is sent to a target of this data centre and never relayed again.
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
