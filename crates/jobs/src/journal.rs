//! The journal: decisions that changed the fleet, with their reasons.

use crate::UnixMs;
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;

/// Maximum number of decisions; the oldest are dropped first. Enough for about ten days at
/// a few hundred decisions a day.
const MAX_DECISIONS: usize = 5_000;

/// A line of the journal, which is replicated, or of the explanation of a job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Decision {
    /// Wall clock time of the leader.
    pub at: UnixMs,
    /// Subject: `configuration`, `wave N`, `machine NAME` or, in the explanation of a job,
    /// `job NAME`.
    pub subject: String,
    /// What was decided, and why; in the explanation of a job, a fact about it.
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
    /// Adds a decision and drops the oldest one if the journal is full.
    pub fn add(&mut self, decision: Decision) {
        if self.0.len() == MAX_DECISIONS {
            self.0.pop_front();
        }
        self.0.push_back(decision);
    }

    /// Returns the decisions with exactly this subject, oldest first.
    pub fn by_subject(&self, subject: &str) -> impl Iterator<Item = &Decision> {
        self.0.iter().filter(move |decision| decision.subject == subject)
    }

    /// Returns all decisions, oldest first.
    pub fn all(&self) -> impl Iterator<Item = &Decision> {
        self.0.iter()
    }
}
