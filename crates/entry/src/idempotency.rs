//! Requests that must not run twice, wherever they arrive.

use async_std::channel::{Receiver, Sender, bounded};
use route::claim::{Claims, Digest as CallDigest, Inherited, Key, State};
use route::outcome::{Reason, Refusal};
use sha2::{Digest, Sha256};
use std::collections::BTreeMap;
use std::sync::Mutex;
use wire::call::{Call, CompletedClaim, Outcome, Response as CallResponse};

/// Largest answer that is kept for resends.
const MAX_KEPT_BYTES: usize = 64 << 10;

/// Claims of this life, claims of entries that stopped, and who waits for them.
pub struct Keys {
    claims: Mutex<Claims<CallResponse>>,
    inherited: Mutex<Inherited<CallResponse>>,
    /// Closed when the request under the key is settled.
    under_way: Mutex<BTreeMap<u64, Waiting>>,
}

struct Waiting {
    _open: Sender<()>,
    settled: Receiver<()>,
}

impl Keys {
    /// No claims yet.
    pub fn new(entry: String, process_incarnation: u64) -> Keys {
        Keys {
            claims: Mutex::new(Claims::new(entry, process_incarnation)),
            inherited: Mutex::default(),
            under_way: Mutex::default(),
        }
    }

    /// A new key.
    pub fn new_key(&self) -> Key {
        self.claims.lock().expect("no holder panics").new_key()
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
    pub fn completed(&self) -> Vec<CompletedClaim> {
        self.claims.lock().expect("no holder panics").completed()
    }

    /// Takes over what an entry that stops has settled.
    pub fn take_over(&self, settled: Vec<CompletedClaim>) {
        self.inherited.lock().expect("no holder panics").take_over(settled);
    }

    /// Outcome of a request that an entry settled before it stopped.
    pub(crate) fn inherited(&self, key: &Key, digest: &CallDigest) -> Option<Outcome> {
        self.inherited.lock().expect("no holder panics").outcome(key, digest)
    }

    pub(crate) fn begin(&self, key: &Key, digest: Vec<u8>) -> Begin {
        let mut under_way = self.under_way.lock().expect("no holder panics");
        match self.claims.lock().expect("no holder panics").begin(key, digest) {
            State::New => {
                let (open, settled) = bounded(1);
                under_way.insert(key.number, Waiting { _open: open, settled });
                Begin::Run
            }
            State::InProgress => {
                let waiting = under_way.get(&key.number);
                Begin::Wait(waiting.map(|waiting| waiting.settled.clone()))
            }
            State::Completed(outcome) => Begin::Completed(outcome),
        }
    }

    pub(crate) fn end(&self, key: &Key, outcome: Outcome) {
        let mut under_way = self.under_way.lock().expect("no holder panics");
        let bytes = match &outcome {
            Outcome::Answered(whole) => whole.body.len(),
            _ => 0,
        };
        self.claims.lock().expect("no holder panics").complete(key, outcome, bytes);
        under_way.remove(&key.number); // wakes those who wait
    }
}

/// What to do with a request under a key.
pub(crate) enum Begin {
    /// Run it, then settle it.
    Run,
    /// Another request under the key is under way.
    Wait(Option<Receiver<()>>),
    /// It has run.
    Completed(Outcome),
}

/// What is remembered of an outcome: a large answer only as that it ran.
pub(crate) fn kept(outcome: &Outcome) -> Outcome {
    match outcome {
        Outcome::Answered(whole) if whole.body.len() > MAX_KEPT_BYTES => {
            let detail = "it ran, and its answer was too large to keep";
            Outcome::Unknown(Refusal::new(Reason::KeyForgotten, detail))
        }
        other => other.clone(),
    }
}

pub(crate) fn digest(call: &Call) -> Vec<u8> {
    let mut hash = Sha256::new();
    for part in [call.pool.as_bytes(), call.method.as_bytes(), call.path.as_bytes(), &call.body] {
        hash.update((part.len() as u64).to_le_bytes());
        hash.update(part);
    }
    hash.finalize().to_vec()
}
