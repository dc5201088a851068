//! Idempotency keys: state of requests that must not run twice.
//!
//! Only the process incarnation that issued a key runs the request under it. An entry
//! that stops hands its completed claims to its data centre, so that a resend still
//! gets the outcome.

use async_std::channel::{Receiver, Sender, bounded};
use route::claim::{Claims, Digest as CallDigest, Inherited, Key, State};
use route::outcome::{Reason, Refusal};
use sha2::{Digest, Sha256};
use std::collections::BTreeMap;
use std::sync::Mutex;
use wire::call::{Call, CompletedClaim, Outcome, Response as CallResponse};

/// Largest response body kept for resends.
const MAX_RETAINED_BYTES: usize = 64 << 10;

/// Claims of this process incarnation and of entries that have stopped.
pub struct Keys {
    claims: Mutex<Claims<CallResponse>>,
    inherited: Mutex<Inherited<CallResponse>>,
    /// Requests that are running, by the number of their key.
    in_progress: Mutex<BTreeMap<u64, InProgress>>,
}

/// Wakes requests that wait for another one under the same key.
struct InProgress {
    /// Dropped when the request completes, which closes the channel.
    _open: Sender<()>,
    completed: Receiver<()>,
}

impl Keys {
    /// Creates a store without claims.
    pub fn new(entry: String, process_incarnation: u64) -> Keys {
        Keys {
            claims: Mutex::new(Claims::new(entry, process_incarnation)),
            inherited: Mutex::default(),
            in_progress: Mutex::default(),
        }
    }

    /// Issues a new key.
    pub fn new_key(&self) -> Key {
        self.claims.lock().expect("no holder panics").new_key()
    }

    /// Returns the number of keys of this process that are claimed and remembered.
    pub fn len(&self) -> usize {
        self.claims.lock().expect("no holder panics").len()
    }

    /// Returns whether no key is claimed.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns the completed claims of this process incarnation, to hand over.
    pub fn completed(&self) -> Vec<CompletedClaim> {
        self.claims.lock().expect("no holder panics").completed()
    }

    /// Stores the completed claims of an entry that is stopping.
    pub fn inherit(&self, claims: Vec<CompletedClaim>) {
        self.inherited.lock().expect("no holder panics").take_over(claims);
    }

    /// Returns the outcome of a request that another entry completed before it stopped.
    pub(crate) fn inherited_outcome(&self, key: &Key, digest: &CallDigest) -> Option<Outcome> {
        self.inherited.lock().expect("no holder panics").outcome(key, digest)
    }

    /// Claims a key for a request, or returns the state of its earlier claim.
    pub(crate) fn begin(&self, key: &Key, digest: Vec<u8>) -> Begin {
        let mut in_progress = self.in_progress.lock().expect("no holder panics");
        match self.claims.lock().expect("no holder panics").begin(key, digest) {
            State::New => {
                let (open, completed) = bounded(1);
                in_progress.insert(key.number, InProgress { _open: open, completed });
                Begin::Run
            }
            State::InProgress => {
                let running = in_progress.get(&key.number);
                Begin::Wait(running.map(|running| running.completed.clone()))
            }
            State::Completed(outcome) => Begin::Completed(outcome),
        }
    }

    /// Stores the outcome of a claimed key and wakes the requests that wait for it.
    pub(crate) fn complete(&self, key: &Key, outcome: Outcome) {
        let mut in_progress = self.in_progress.lock().expect("no holder panics");
        let bytes = match &outcome {
            Outcome::Answered(response) => response.body.len(),
            _ => 0,
        };
        self.claims.lock().expect("no holder panics").complete(key, outcome, bytes);
        in_progress.remove(&key.number); // closes the channel that they wait on
    }
}

/// What the caller of [`Keys::begin`] has to do.
pub(crate) enum Begin {
    /// Run the request, then call [`Keys::complete`].
    Run,
    /// Wait until the channel closes, then begin again: another request under the key
    /// is running. None if it has completed in the meantime.
    Wait(Option<Receiver<()>>),
    /// Return this outcome: the request has completed.
    Completed(Outcome),
}

/// Returns the outcome to remember. A large response is replaced by the fact that the
/// request ran.
pub(crate) fn retained_outcome(outcome: &Outcome) -> Outcome {
    match outcome {
        Outcome::Answered(response) if response.body.len() > MAX_RETAINED_BYTES => {
            let detail = "it ran, and its answer was too large to keep";
            Outcome::Unknown(Refusal::new(Reason::KeyForgotten, detail))
        }
        other => other.clone(),
    }
}

/// Returns a digest that tells requests under the same key apart. Each part is
/// prefixed by its length, so that parts can't shift into each other.
pub(crate) fn digest(call: &Call) -> Vec<u8> {
    let mut hash = Sha256::new();
    for part in [call.pool.as_bytes(), call.method.as_bytes(), call.path.as_bytes(), &call.body] {
        hash.update((part.len() as u64).to_le_bytes());
        hash.update(part);
    }
    hash.finalize().to_vec()
}
