//! Decisions that stay on record: what changed the fleet, and why.

use crate::UnixMs;
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;

/// Decisions that are kept; the oldest go first. A day with a few hundred moves and
/// changes fits ten times.
const MAX_DECISIONS: usize = 5_000;

/// A decision.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Decision {
    /// Time of day at the leader.
    pub at: UnixMs,
    /// What it concerns: `configuration`, `wave N` or `machine NAME`.
    pub subject: String,
    /// What was decided, and why.
    pub text: String,
}

/// The newest decisions, in the order of the log.
///
/// ```
/// use jobs::journal::{Decision, Journal};
/// let mut journal = Journal::default();
/// journal.add(Decision { at: 5, subject: "wave 1".into(), text: "accepted".into() });
/// assert_eq!(journal.by_subject("wave 1").count(), 1);
/// ```
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Journal(VecDeque<Decision>);

impl Journal {
    /// Adds a decision.
    pub fn add(&mut self, decision: Decision) {
        if self.0.len() == MAX_DECISIONS {
            self.0.pop_front();
        }
        self.0.push_back(decision);
    }

    /// Decisions about a subject.
    pub fn by_subject(&self, subject: &str) -> impl Iterator<Item = &Decision> {
        self.0.iter().filter(move |decision| decision.subject == subject)
    }

    /// All decisions that are kept.
    pub fn all(&self) -> impl Iterator<Item = &Decision> {
        self.0.iter()
    }
}
