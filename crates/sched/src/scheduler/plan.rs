//! The plan of one pool, and what it is made of.

use super::locality::{Racks, Terms};
use crate::place::Candidate;
use crate::quota::Budget;
use jobs::definition::Resources;
use jobs::{RunNumber, Step, StepKey, UnitKey, WorkerId};
use std::collections::{BTreeMap, BTreeSet};

/// Placements of one pool, decided and not carried out yet.
#[derive(Debug, Default)]
pub(super) struct Plan<'a> {
    pub(super) placements: Vec<Placement<'a>>,
    /// Number of placements that are copies of running units.
    pub(super) copies: usize,
    /// Steps of queues with a policy that have ready units left, with the workers for which they
    /// need tickets.
    pub(super) undecided_steps: BTreeMap<StepKey, Vec<WorkerId>>,
    /// Steps with units that wait for a place near their data or group.
    pub(super) held_steps: BTreeSet<StepKey>,
}

impl Plan<'_> {
    /// Returns whether units of a step wait for a near place.
    pub(super) fn holds(&self, key: &StepKey) -> bool {
        self.held_steps.contains(key)
    }
}

/// What decides whether units of a step wait for a near place, and whether some do.
pub(super) struct Locality<'r> {
    /// `None` for steps that never wait.
    pub(super) terms: Option<Terms>,
    pub(super) racks: &'r mut Racks,
    pub(super) has_held: bool,
}

/// A plan that is being made, and what is left to place on.
#[derive(Debug)]
pub(super) struct Draft<'s, 'a, 'b> {
    pub(super) candidates: Vec<Candidate<'s>>,
    /// Workers in backoff, which get only work that lasts, and that only if no candidate can take it.
    pub(super) resting: Vec<Candidate<'s>>,
    /// Largest free amount of each resource among both.
    pub(super) largest: Resources,
    /// Number of trials that may still begin.
    pub(super) free_trials: usize,
    pub(super) plan: Plan<'a>,
    pub(super) budget: &'b mut Budget,
    pub(super) racks: Racks,
}

/// Decision to run a unit on a worker.
#[derive(Clone, Debug)]
pub(super) struct Placement<'a> {
    pub(super) unit: UnitKey,
    pub(super) number: RunNumber,
    pub(super) step: &'a Step,
    pub(super) worker: WorkerId,
    pub(super) is_trial: bool,
}
