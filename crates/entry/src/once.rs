//! Requests that must not run twice, wherever they arrive.

use crate::forward::Terms;
use crate::relay;
use crate::shared::Shared;
use async_std::channel::{Receiver, Sender, bounded};
use async_std::future::timeout;
use route::claim::{Claims, Inherited, Key, Taken};
use route::outcome::{Reason, Refusal};
use sha2::{Digest, Sha256};
use std::collections::BTreeMap;
use std::sync::Mutex;
use wire::call::{Call, Outcome, Settled, Whole};

/// Largest answer that is kept for resends.
const MAX_KEPT_BYTES: usize = 64 << 10;

/// Claims of this life, claims of entries that stopped, and who waits for them.
pub struct Once {
    claims: Mutex<Claims<Whole>>,
    inherited: Mutex<Inherited<Whole>>,
    /// Closed when the request under the key is settled.
    under_way: Mutex<BTreeMap<u64, Waiting>>,
}

struct Waiting {
    _open: Sender<()>,
    settled: Receiver<()>,
}

impl Once {
    /// No claims yet.
    pub fn new(entry: String, life: u64) -> Once {
        Once {
            claims: Mutex::new(Claims::new(entry, life)),
            inherited: Mutex::default(),
            under_way: Mutex::default(),
        }
    }

    /// A new key.
    pub fn mint(&self) -> Key {
        self.claims.lock().expect("no holder panics").mint()
    }

    /// Number of keys claimed and remembered.
    pub fn len(&self) -> usize {
        self.claims.lock().expect("no holder panics").len()
    }

    /// Whether no key is claimed.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// What this life has settled, to hand over.
    pub fn settled(&self) -> Vec<Settled> {
        self.claims.lock().expect("no holder panics").settled()
    }

    /// Takes over what an entry that stops has settled.
    pub fn take_over(&self, settled: Vec<Settled>) {
        self.inherited.lock().expect("no holder panics").take_over(settled);
    }

    fn begin(&self, key: &Key, digest: Vec<u8>) -> Begun {
        let mut under_way = self.under_way.lock().expect("no holder panics");
        match self.claims.lock().expect("no holder panics").take(key, digest) {
            Taken::Run => {
                let (open, settled) = bounded(1);
                under_way.insert(key.number, Waiting { _open: open, settled });
                Begun::Run
            }
            Taken::UnderWay => {
                let waiting = under_way.get(&key.number);
                Begun::Wait(waiting.map(|waiting| waiting.settled.clone()))
            }
            Taken::Settled(outcome) => Begun::Settled(outcome),
        }
    }

    fn end(&self, key: &Key, outcome: Outcome) {
        let mut under_way = self.under_way.lock().expect("no holder panics");
        let bytes = match &outcome {
            Outcome::Answered(whole) => whole.body.len(),
            _ => 0,
        };
        self.claims.lock().expect("no holder panics").settle(key, outcome, bytes);
        under_way.remove(&key.number); // wakes those who wait
    }
}

enum Begun {
    Run,
    Wait(Option<Receiver<()>>),
    Settled(Outcome),
}

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
        return relay::send(shared, owner.id(), Some(key), call, terms).await;
    }
    let inherited = shared.once.inherited.lock().expect("no holder panics");
    inherited.outcome(key, &digest(call)).unwrap_or_else(|| {
        let detail = format!("entry \"{}\" that minted the key can't be reached", key.entry);
        Outcome::Unknown(Refusal::new(Reason::KeyLost, detail))
    })
}

/// Runs a request under a key of this life at most once.
pub async fn run(shared: &Shared, key: &Key, call: &Call, terms: &Terms) -> Outcome {
    loop {
        match shared.once.begin(key, digest(call)) {
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
                let outcome = relay::dispatch(shared, call, terms).await;
                guard.ended = true;
                shared.once.end(key, kept(&outcome));
                return outcome;
            }
        }
    }
}

/// What is remembered of an outcome: a large answer only as that it ran.
fn kept(outcome: &Outcome) -> Outcome {
    match outcome {
        Outcome::Answered(whole) if whole.body.len() > MAX_KEPT_BYTES => {
            let detail = "it ran, and its answer was too large to keep";
            Outcome::Unknown(Refusal::new(Reason::KeyForgotten, detail))
        }
        other => other.clone(),
    }
}

fn digest(call: &Call) -> Vec<u8> {
    let mut hash = Sha256::new();
    for part in [call.pool.as_bytes(), call.method.as_bytes(), call.path.as_bytes(), &call.body] {
        hash.update((part.len() as u64).to_le_bytes());
        hash.update(part);
    }
    hash.finalize().to_vec()
}
