//! Serving a request: under a key at most once, here or through another entry.

use crate::forward::Terms;
use crate::once::{self, Begun, Once};
use crate::shared::Shared;
use async_std::channel::bounded;
use async_std::future::timeout;
use quorum::Id;
use rand::seq::IndexedRandom;
use route::claim::Key;
use route::outcome::{Reason, Refusal};
use std::time::Duration;
use wire::Frame;
use wire::call::{Call, Outcome, Relay, Relayed};

/// Silence up to which a connection is known to be alive; twice the time between
/// two pings.
const ALIVE: Duration = Duration::from_secs(1);

/// Settles a claim as unknown if its request is dropped half-way.
struct Guard<'a> {
    once: &'a Once,
    key: &'a Key,
    ended: bool,
}

impl Drop for Guard<'_> {
    fn drop(&mut self) {
        if !self.ended {
            let refusal = Refusal::new(Reason::Silent, "it was given up while it ran");
            self.once.end(self.key, Outcome::Unknown(refusal));
        }
    }
}

/// Serves a request under a key: here if this life minted the key, through the
/// life that did otherwise.
pub async fn serve(shared: &Shared, key: &Key, call: &Call, terms: &Terms) -> Outcome {
    let identity = &shared.identity;
    if key.entry == identity.name && key.life == identity.life {
        return run(shared, key, call, terms).await;
    }
    let links = shared.links();
    let owner =
        links.iter().find(|link| link.identity.name == key.entry && link.identity.life == key.life);
    if let Some(owner) = owner {
        return send(shared, owner.id(), Some(key), call, terms).await;
    }
    shared.once.inherited(key, &once::digest(call)).unwrap_or_else(|| {
        let detail = format!("entry \"{}\" that minted the key can't be reached", key.entry);
        Outcome::Unknown(Refusal::new(Reason::KeyLost, detail))
    })
}

/// Runs a request under a key of this life at most once.
pub async fn run(shared: &Shared, key: &Key, call: &Call, terms: &Terms) -> Outcome {
    loop {
        match shared.once.begin(key, once::digest(call)) {
            Begun::Settled(outcome) => return outcome,
            Begun::Wait(settled) => {
                let left = terms.deadline.saturating_sub(shared.clock.now());
                let Some(settled) = settled else { continue };
                if timeout(left, settled.recv()).await.is_err() {
                    let detail = "it is still under way";
                    return Outcome::Unknown(Refusal::new(Reason::Silent, detail));
                }
            }
            Begun::Run => {
                let mut guard = Guard { once: &shared.once, key, ended: false };
                let outcome = dispatch(shared, call, terms).await;
                guard.ended = true;
                shared.once.end(key, once::kept(&outcome));
                return outcome;
            }
        }
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
        Some(key) => run(shared, key, &relay.call, &terms).await,
        None => shared.forwarder.call(&relay.call, &terms).await,
    };
    shared.send_to(&from, Frame::Relayed(Relayed { id: relay.id, outcome }));
}
