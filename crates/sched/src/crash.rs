//! Runs that were on a worker when it crashed, as far as its answers show.
//!
//! A worker that is only silent has not crashed. What shows a crash is a successor: another
//! incarnation under the worker's id, at its address or on its instance, without a notice to
//! leave and without an order that ends the worker.

use jobs::command::{CrashList, CrashedRun};
use jobs::{Incarnation, InstanceId, RunNumber, StepKey, UnitKey};
use std::net::SocketAddr;
use std::time::Duration;

/// Time after which runs that were lost with a worker are no longer attributed to a crash. The
/// worker may have crashed for any reason since the lease of its runs expired.
pub const MAX_LOSS_AGE: Duration = Duration::from_secs(30);

/// A run that was, or may have been, on a lost worker.
#[derive(Clone, Debug, PartialEq)]
pub struct LostRun {
    /// Key of the unit.
    pub unit: UnitKey,
    /// Number of the run.
    pub run: RunNumber,
    /// How long the worker is known to have answered after the run had begun; `None` if the run
    /// is not known to have begun.
    pub survived: Option<Duration>,
    /// Whether the worker had fallen silent by [`jobs::crash::MAX_TRIAL_CRASH`] after the run began.
    pub ended_at_start: bool,
}

/// Runs of a worker that was lost, in the order of their units.
#[derive(Clone, Debug, PartialEq)]
pub struct Loss {
    /// The lost incarnation.
    pub incarnation: Incarnation,
    /// Instance of the worker.
    pub instance: InstanceId,
    /// Address of the worker.
    pub address: SocketAddr,
    /// When the worker last answered.
    pub alive_at: Duration,
    /// When the runs were given up.
    pub lost_at: Duration,
    /// The runs.
    pub runs: Vec<LostRun>,
    /// Whether the worker also had runs that are not placed there.
    pub has_unplaced: bool,
}

impl Loss {
    /// Returns whether a worker started later than the lost one, on its instance or at its address.
    ///
    /// ```
    /// use jobs::Incarnation;
    /// use sched::crash::Loss;
    /// use std::time::Duration;
    /// let loss = Loss {
    ///     incarnation: Incarnation::new("w1", 5),
    ///     instance: "m1".to_string(),
    ///     address: "10.0.0.1:80".parse().unwrap(),
    ///     alive_at: Duration::ZERO,
    ///     lost_at: Duration::ZERO,
    ///     runs: Vec::new(),
    ///     has_unplaced: false,
    /// };
    /// let elsewhere = "10.0.0.2:80".parse().unwrap();
    /// assert!(loss.is_succeeded_by(&Incarnation::new("w2", 9), &"m1".to_string(), &elsewhere));
    /// assert!(!loss.is_succeeded_by(&Incarnation::new("w2", 4), &"m1".to_string(), &elsewhere));
    /// ```
    pub fn is_succeeded_by(
        &self,
        incarnation: &Incarnation,
        instance: &InstanceId,
        address: &SocketAddr,
    ) -> bool {
        incarnation.started_at > self.incarnation.started_at
            && (*instance == self.instance || *address == self.address)
    }

    /// Returns the runs that had begun only just before the crash, or all if there are none. Work
    /// that crashes its worker does so soon after its start, most of the time.
    pub fn recent_runs(&self) -> Vec<&LostRun> {
        let is_recent = |run: &&LostRun| run.survived.is_none_or(|at| at < jobs::crash::RECENT);
        let recent: Vec<&LostRun> = self.runs.iter().filter(is_recent).collect();
        if recent.is_empty() { self.runs.iter().collect() } else { recent }
    }

    /// Returns the crash, which a successor shows at `now`, with the runs that may have caused it.
    /// None was alone if the worker may have lost its runs before, since every lease of at most
    /// `max_lease` had expired.
    pub fn crash_list(&self, now: Duration, max_lease: Duration) -> CrashList {
        let recent = self.recent_runs();
        let is_alone = self.only_step(&recent).is_some() && now <= self.alive_at + max_lease;
        let runs = recent.iter().map(|run| CrashedRun {
            unit: run.unit,
            run: run.run,
            survived: run.survived.unwrap_or_default(),
            is_alone: is_alone && run.ended_at_start,
        });
        CrashList {
            incarnation: self.incarnation.clone(),
            instance: self.instance.clone(),
            runs: runs.collect(),
        }
    }

    /// Returns the step that all given runs belong to; `None` if there are several, or if the
    /// worker also had runs that are not placed there.
    fn only_step(&self, runs: &[&LostRun]) -> Option<StepKey> {
        let first = runs.first()?.unit.step_key();
        let is_only = runs.iter().all(|run| run.unit.step_key() == first);
        (is_only && !self.has_unplaced).then_some(first)
    }
}
