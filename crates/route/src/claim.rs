//! Requests that must not run twice: each key is decided by the entry that minted
//! it.
//!
//! A key names the entry and the life of its process. Only that life ever sends
//! the request, so no agreement is needed, also in a cut-off data centre. When the
//! life ends, nothing can run under its keys any more, and what they did is
//! unknown unless it was handed over.

use crate::outcome::{Outcome, Reason, Refusal};
use record::EntryId;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fmt;

/// Keys remembered by one entry; older ones are answered as unknown.
pub const WINDOW_KEYS: u64 = 100_000;
/// Bytes of answers kept for resends.
pub const KEPT_ANSWER_BYTES: usize = 16 << 20;

/// Names one request that must not run twice.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Key {
    /// Entry that minted it.
    pub entry: EntryId,
    /// Life of the entry's process.
    #[serde(rename = "life")]
    pub process_incarnation: u64,
    /// Counts the keys of this life.
    pub number: u64,
}

impl Key {
    /// Reads a key as callers send it.
    ///
    /// ```
    /// let key = route::claim::Key::parse("a1.00000000000000ff.7").unwrap();
    /// assert_eq!((key.process_incarnation, key.number), (255, 7));
    /// assert_eq!(key.to_string(), "a1.00000000000000ff.7");
    /// assert!(route::claim::Key::parse("box 17").is_none());
    /// ```
    pub fn parse(text: &str) -> Option<Key> {
        let mut parts = text.split('.');
        let entry = parts.next().filter(|entry| !entry.is_empty())?.to_string();
        let process_incarnation = u64::from_str_radix(parts.next()?, 16).ok()?;
        let number = parts.next()?.parse().ok()?;
        parts.next().is_none().then_some(Key { entry, process_incarnation, number })
    }
}

impl fmt::Display for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{:016x}.{}", self.entry, self.process_incarnation, self.number)
    }
}

/// Digest of a request's content; a resend has the same.
pub type Digest = Vec<u8>;

/// What has to be done with a request under a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum State<A> {
    /// Nothing was sent under this key: send it now, then settle it.
    New,
    /// It is under way.
    InProgress,
    /// It was decided.
    Completed(Outcome<A>),
}

#[derive(Clone, Debug, PartialEq, Eq)]
struct Claim<A> {
    digest: Digest,
    outcome: Option<Outcome<A>>,
    bytes: usize,
}

/// Claims of one life of one entry.
///
/// ```
/// use route::claim::{Claims, State};
/// use route::Outcome;
/// let mut claims: Claims<&str> = Claims::new("a1".into(), 7);
/// let key = claims.new_key();
/// assert_eq!(claims.begin(&key, vec![1]), State::New);
/// assert_eq!(claims.begin(&key, vec![1]), State::InProgress);
/// claims.complete(&key, Outcome::Answered("done"), 4);
/// assert_eq!(claims.begin(&key, vec![1]), State::Completed(Outcome::Answered("done")));
/// ```
#[derive(Debug)]
pub struct Claims<A> {
    entry: EntryId,
    process_incarnation: u64,
    next: u64,
    /// Keys below it are forgotten.
    floor: u64,
    claims: BTreeMap<u64, Claim<A>>,
    bytes: usize,
}

impl<A: Clone> Claims<A> {
    /// No claims yet.
    pub fn new(entry: EntryId, process_incarnation: u64) -> Claims<A> {
        Claims { entry, process_incarnation, next: 0, floor: 0, claims: BTreeMap::new(), bytes: 0 }
    }

    /// A new key.
    pub fn new_key(&mut self) -> Key {
        let number = self.next;
        self.next += 1;
        let lowest = self.next.saturating_sub(WINDOW_KEYS);
        self.forget_below(lowest);
        Key { entry: self.entry.clone(), process_incarnation: self.process_incarnation, number }
    }

    /// Whether this life minted the key.
    pub fn is_own(&self, key: &Key) -> bool {
        key.entry == self.entry && key.process_incarnation == self.process_incarnation
    }

    /// Claims the key for a request, unless it is claimed.
    pub fn begin(&mut self, key: &Key, digest: Digest) -> State<A> {
        if !self.is_own(key) || key.number >= self.next {
            let detail = format!("header idempotency-key: \"{key}\" was not minted here");
            return State::Completed(Outcome::NotRun(Refusal::new(Reason::Invalid, detail)));
        }
        if key.number < self.floor {
            let detail = format!("key \"{key}\" is outside the window of {WINDOW_KEYS} keys");
            return State::Completed(Outcome::Unknown(Refusal::new(Reason::KeyForgotten, detail)));
        }
        match self.claims.get(&key.number) {
            Some(claim) if claim.digest != digest => {
                let detail =
                    format!("header idempotency-key: \"{key}\" was used for another request");
                State::Completed(Outcome::NotRun(Refusal::new(Reason::Invalid, detail)))
            }
            Some(claim) => claim.outcome.clone().map_or(State::InProgress, State::Completed),
            None => {
                self.claims.insert(key.number, Claim { digest, outcome: None, bytes: 0 });
                State::New
            }
        }
    }

    /// Takes in the outcome of a claimed request. What did not run can be claimed
    /// again.
    pub fn complete(&mut self, key: &Key, outcome: Outcome<A>, bytes: usize) {
        if matches!(outcome, Outcome::NotRun(_)) {
            self.claims.remove(&key.number);
            return;
        }
        let Some(claim) = self.claims.get_mut(&key.number) else { return };
        claim.outcome = Some(outcome);
        claim.bytes = bytes;
        self.bytes += bytes;
        while self.bytes > KEPT_ANSWER_BYTES {
            let Some(oldest) = self.claims.keys().next().copied() else { break };
            self.forget_below(oldest + 1);
        }
    }

    /// Settled outcomes, to hand over at a graceful stop.
    pub fn completed(&self) -> Vec<CompletedClaim<A>> {
        let settled = |(number, claim): (&u64, &Claim<A>)| {
            let key = Key {
                entry: self.entry.clone(),
                process_incarnation: self.process_incarnation,
                number: *number,
            };
            let (digest, bytes) = (claim.digest.clone(), claim.bytes);
            claim.outcome.clone().map(|outcome| CompletedClaim { key, digest, outcome, bytes })
        };
        self.claims.iter().filter_map(settled).collect()
    }

    /// Number of keys claimed and remembered.
    pub fn len(&self) -> usize {
        self.claims.len()
    }

    /// Whether no key is claimed.
    pub fn is_empty(&self) -> bool {
        self.claims.is_empty()
    }

    fn forget_below(&mut self, floor: u64) {
        if floor <= self.floor {
            return;
        }
        self.floor = floor;
        let kept = self.claims.split_off(&floor);
        let forgotten = std::mem::replace(&mut self.claims, kept);
        self.bytes -= forgotten.values().map(|claim| claim.bytes).sum::<usize>();
    }
}

/// A settled claim as its entry hands it over.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CompletedClaim<A> {
    /// The key.
    pub key: Key,
    /// Digest of the request.
    pub digest: Digest,
    /// What became of it.
    pub outcome: Outcome<A>,
    /// Size of the answer in bytes.
    pub bytes: usize,
}

/// Settled claims of entries that have stopped; nothing runs under their keys.
#[derive(Debug)]
pub struct Inherited<A> {
    claims: BTreeMap<Key, CompletedClaim<A>>,
    bytes: usize,
}

impl<A> Default for Inherited<A> {
    fn default() -> Inherited<A> {
        Inherited { claims: BTreeMap::new(), bytes: 0 }
    }
}

impl<A: Clone> Inherited<A> {
    /// Takes over claims; the bound on bytes holds here too.
    pub fn take_over(&mut self, settled: Vec<CompletedClaim<A>>) {
        for claim in settled {
            self.bytes += claim.bytes;
            self.claims.insert(claim.key.clone(), claim);
        }
        while self.bytes > KEPT_ANSWER_BYTES {
            let Some((_, oldest)) = self.claims.pop_first() else { break };
            self.bytes -= oldest.bytes;
        }
    }

    /// What became of the request, if it is known.
    pub fn outcome(&self, key: &Key, digest: &Digest) -> Option<Outcome<A>> {
        let claim = self.claims.get(key).filter(|claim| claim.digest == *digest)?;
        Some(claim.outcome.clone())
    }
}
