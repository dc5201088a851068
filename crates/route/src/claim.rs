//! Idempotency keys: a request with a key is sent at most once.
//!
//! A key names the entry that issued it and the incarnation of that entry's process.
//! Only that incarnation sends requests under the key, so no consensus is needed,
//! even in a data centre that is cut off from the others. After the incarnation ends
//! nothing can run under its keys, and their outcomes are unknown unless it handed
//! them over when it stopped.

use crate::outcome::{Outcome, Reason, Refusal};
use record::EntryId;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fmt;

/// Number of most recently issued keys that an entry remembers. The outcome of an
/// older key is reported as [`Outcome::Unknown`].
pub const WINDOW_KEYS: u64 = 100_000;
/// Limit on the total size, in bytes, of the responses kept to answer resent
/// requests.
pub const MAX_STORED_RESPONSE_BYTES: usize = 16 << 20;

/// Idempotency key of one request.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Key {
    /// Entry that issued the key.
    pub entry: EntryId,
    /// Incarnation of the entry's process that issued the key.
    #[serde(rename = "life")]
    pub process_incarnation: u64,
    /// Sequence number within the incarnation, from 0.
    pub number: u64,
}

impl Key {
    /// Parses a key in the format that callers send,
    /// `<entry>.<incarnation in hexadecimal>.<number>`.
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

/// Digest of a request's content, equal for a request and its resends.
pub type Digest = Vec<u8>;

/// State of the request under a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum State<A> {
    /// The key was free and is now claimed. The caller must send the request and then
    /// call [`Claims::complete`].
    New,
    /// The key is claimed and the request has no outcome yet.
    InProgress,
    /// The request has a final outcome.
    Completed(Outcome<A>),
}

/// Request under a claimed key.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Claim<A> {
    digest: Digest,
    outcome: Option<Outcome<A>>,
    /// Size of the stored response in bytes.
    bytes: usize,
}

/// Claimed keys of one incarnation of an entry, with their outcomes. `A` is the type of
/// the response.
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
    next_number: u64,
    /// Lowest key number that is still remembered.
    lowest_kept: u64,
    claims: BTreeMap<u64, Claim<A>>,
    /// Total size of the stored responses in bytes.
    bytes: usize,
}

impl<A: Clone> Claims<A> {
    /// Creates an empty set of claims for this incarnation.
    pub fn new(entry: EntryId, process_incarnation: u64) -> Claims<A> {
        Claims {
            entry,
            process_incarnation,
            next_number: 0,
            lowest_kept: 0,
            claims: BTreeMap::new(),
            bytes: 0,
        }
    }

    /// Issues a new key and forgets those that fall out of the window of
    /// [`WINDOW_KEYS`].
    pub fn new_key(&mut self) -> Key {
        let number = self.next_number;
        self.next_number += 1;
        let lowest = self.next_number.saturating_sub(WINDOW_KEYS);
        self.forget_below(lowest);
        Key { entry: self.entry.clone(), process_incarnation: self.process_incarnation, number }
    }

    /// Returns whether this incarnation issued the key.
    pub fn is_own(&self, key: &Key) -> bool {
        key.entry == self.entry && key.process_incarnation == self.process_incarnation
    }

    /// Claims the key for a request and returns [`State::New`]. If the key is claimed
    /// already, returns the state of that claim. A key of another incarnation, or one
    /// that was used for a request with another digest, is refused. The outcome of a
    /// forgotten key is [`Outcome::Unknown`].
    pub fn begin(&mut self, key: &Key, digest: Digest) -> State<A> {
        if !self.is_own(key) || key.number >= self.next_number {
            let detail = format!("header idempotency-key: \"{key}\" was not minted here");
            return State::Completed(Outcome::NotRun(Refusal::new(Reason::Invalid, detail)));
        }
        if key.number < self.lowest_kept {
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

    /// Records the outcome of a claimed request and the size of its response in bytes.
    /// After [`Outcome::NotRun`] the key can be claimed again. Drops the oldest claims
    /// while the stored responses exceed [`MAX_STORED_RESPONSE_BYTES`].
    pub fn complete(&mut self, key: &Key, outcome: Outcome<A>, bytes: usize) {
        if matches!(outcome, Outcome::NotRun(_)) {
            self.claims.remove(&key.number);
            return;
        }
        let Some(claim) = self.claims.get_mut(&key.number) else { return };
        claim.outcome = Some(outcome);
        claim.bytes = bytes;
        self.bytes += bytes;
        while self.bytes > MAX_STORED_RESPONSE_BYTES {
            let Some(oldest) = self.claims.keys().next().copied() else { break };
            self.forget_below(oldest + 1);
        }
    }

    /// Returns the claims that have an outcome, for hand-over on graceful shutdown.
    pub fn completed(&self) -> Vec<CompletedClaim<A>> {
        let with_outcome = |(number, claim): (&u64, &Claim<A>)| {
            let key = Key {
                entry: self.entry.clone(),
                process_incarnation: self.process_incarnation,
                number: *number,
            };
            let (digest, bytes) = (claim.digest.clone(), claim.bytes);
            claim.outcome.clone().map(|outcome| CompletedClaim { key, digest, outcome, bytes })
        };
        self.claims.iter().filter_map(with_outcome).collect()
    }

    /// Returns the number of claimed keys that are still remembered.
    pub fn len(&self) -> usize {
        self.claims.len()
    }

    /// Returns whether no claimed key is remembered.
    pub fn is_empty(&self) -> bool {
        self.claims.is_empty()
    }

    /// Forgets the claims of keys with lower numbers.
    fn forget_below(&mut self, lowest_kept: u64) {
        if lowest_kept <= self.lowest_kept {
            return;
        }
        self.lowest_kept = lowest_kept;
        let kept = self.claims.split_off(&lowest_kept);
        let forgotten = std::mem::replace(&mut self.claims, kept);
        self.bytes -= forgotten.values().map(|claim| claim.bytes).sum::<usize>();
    }
}

/// A claim with its outcome, as a stopping entry hands it over.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CompletedClaim<A> {
    /// Idempotency key of the request.
    pub key: Key,
    /// Digest of the request.
    pub digest: Digest,
    /// Final outcome of the request.
    pub outcome: Outcome<A>,
    /// Size of the response in bytes.
    pub bytes: usize,
}

/// Completed claims handed over by entries that have stopped. Nothing runs under
/// their keys any more.
#[derive(Debug)]
pub struct Inherited<A> {
    claims: BTreeMap<Key, CompletedClaim<A>>,
    /// Total size of the stored responses in bytes.
    bytes: usize,
}

impl<A> Default for Inherited<A> {
    fn default() -> Inherited<A> {
        Inherited { claims: BTreeMap::new(), bytes: 0 }
    }
}

impl<A: Clone> Inherited<A> {
    /// Adds claims, and drops those with the lowest keys while the stored responses
    /// exceed [`MAX_STORED_RESPONSE_BYTES`].
    pub fn take_over(&mut self, completed: Vec<CompletedClaim<A>>) {
        for claim in completed {
            self.bytes += claim.bytes;
            self.claims.insert(claim.key.clone(), claim);
        }
        while self.bytes > MAX_STORED_RESPONSE_BYTES {
            let Some((_, oldest)) = self.claims.pop_first() else { break };
            self.bytes -= oldest.bytes;
        }
    }

    /// Returns the outcome of the request with this key and digest, if it is known.
    pub fn outcome(&self, key: &Key, digest: &Digest) -> Option<Outcome<A>> {
        let claim = self.claims.get(key).filter(|claim| claim.digest == *digest)?;
        Some(claim.outcome.clone())
    }
}
