//! What became of a request. Each of the three is true when it is said.

use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Why a request was turned down.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Reason {
    /// No record declares the pool.
    UnknownPool,
    /// The pool holds replacements and takes no requests.
    SparePool,
    /// No instance of the pool is known to be serving in this data centre.
    NoTarget,
    /// The records put no instance into the pool, so it can never run.
    NoInstance,
    /// Every serving target is at its limit.
    Busy,
    /// The entry is stopping.
    Stopping,
    /// The entry has not taken the records from a peer yet.
    NotReady,
    /// The deadline passed before the request was sent.
    Deadline,
    /// No connection to a target could be made.
    Unreachable,
    /// The target stopped answering after the request was sent.
    Silent,
    /// The connection ended before the whole answer had arrived.
    Truncated,
    /// A value of the request is wrong.
    Invalid,
    /// The entry that minted the key has ended or can't be reached.
    KeyLost,
    /// The key is too old to be remembered.
    KeyForgotten,
}

/// What became of a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome<A> {
    /// The target's whole answer.
    Answered(A),
    /// It did not run, and nothing can still make it run.
    NotRun(Refusal),
    /// It may have run.
    Unknown(Refusal),
}

/// Final refusal.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// Why.
    pub reason: Reason,
    /// Details for a person.
    pub detail: String,
    /// When a new try makes sense; none when it never does.
    pub retry_after: Option<Duration>,
}

impl Refusal {
    /// Builds a refusal.
    ///
    /// ```
    /// use route::outcome::{Reason, Refusal};
    /// let refusal = Refusal::new(Reason::Busy, "pool \"gate\" is full");
    /// assert!(refusal.retry_after.is_some());
    /// assert!(Refusal::new(Reason::UnknownPool, "no pool").retry_after.is_none());
    /// ```
    pub fn new(reason: Reason, detail: impl Into<String>) -> Refusal {
        Refusal { reason, detail: detail.into(), retry_after: reason.retry_after() }
    }
}

impl Reason {
    /// When a new try makes sense.
    pub fn retry_after(self) -> Option<Duration> {
        match self {
            Reason::UnknownPool
            | Reason::SparePool
            | Reason::NoInstance
            | Reason::Invalid
            | Reason::KeyForgotten => None,
            Reason::Stopping => Some(Duration::ZERO), // another entry takes it at once
            Reason::Busy | Reason::NotReady | Reason::Unreachable => Some(Duration::from_secs(1)),
            Reason::NoTarget
            | Reason::Deadline
            | Reason::Silent
            | Reason::Truncated
            | Reason::KeyLost => Some(Duration::from_secs(2)),
        }
    }
}
