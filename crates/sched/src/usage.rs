//! What client accounts may have running over all workers.
//!
//! Counts everything that runs or may still start: placed runs in any state, runs that workers list
//! without a placement, and starts of removed runs that hold their units, since they may be carried
//! out late. Other late starts are barred at the worker's present incarnation. The sum is kept by
//! worker, and a worker's part is computed anew when it has changed: runs enter and leave a worker
//! in many places, and a sum that is adjusted at each of them would drift with the first omission.

use crate::Worker;
use jobs::definition::Resources;
use jobs::{AccountName, Ledger, RunNumber, UnitKey, WorkerId};
use std::collections::BTreeMap;

/// Resources by account.
pub type Totals = BTreeMap<AccountName, Resources>;

/// Resources that accounts may have in use, in sum and by worker.
#[derive(Clone, Debug, Default)]
pub struct Usage {
    totals: Totals,
    by_worker: BTreeMap<WorkerId, Totals>,
}

impl Usage {
    /// Returns what an account may have in use over all workers.
    pub fn of(&self, account: &str) -> Resources {
        self.totals.get(account).copied().unwrap_or_default()
    }

    /// Returns the accounts that may have anything in use.
    pub fn accounts(&self) -> impl Iterator<Item = &AccountName> {
        self.totals.keys()
    }

    /// Returns what accounts may have in use on a worker.
    pub fn on(&self, worker: &WorkerId) -> Option<&Totals> {
        self.by_worker.get(worker)
    }

    /// Replaces what accounts may have in use on a worker.
    ///
    /// ```
    /// use jobs::definition::Resources;
    /// use sched::usage::{Totals, Usage};
    /// let worker = "w1".to_string();
    /// let cpu = |cpu_milli| Resources { cpu_milli, ..Resources::default() };
    /// let mut usage = Usage::default();
    /// usage.replace(&worker, Totals::from([("a".to_string(), cpu(300))]));
    /// usage.replace(&worker, Totals::from([("a".to_string(), cpu(200))]));
    /// assert_eq!(usage.of("a").cpu_milli, 200);
    /// usage.replace(&worker, Totals::new());
    /// assert_eq!(usage.of("a").cpu_milli, 0);
    /// ```
    pub fn replace(&mut self, worker: &WorkerId, part: Totals) {
        for (account, resources) in self.by_worker.remove(worker).unwrap_or_default() {
            let total = self.totals.entry(account.clone()).or_default();
            *total = total.minus(&resources);
            if *total == Resources::default() {
                self.totals.remove(&account);
            }
        }
        for (account, resources) in &part {
            let total = self.totals.entry(account.clone()).or_default();
            *total = total.plus(resources);
        }
        if !part.is_empty() {
            self.by_worker.insert(worker.clone(), part);
        }
    }
}

/// Returns what accounts may have in use on a worker. Units of jobs without an owner, or that the
/// ledger does not know, count for nobody.
pub fn of_worker(worker: &Worker, ledger: &Ledger) -> Totals {
    let mut totals = Totals::new();
    let mut count = |unit: &UnitKey| {
        let Some(job) = ledger.job(unit.job) else { return };
        let (Some(owner), Some(step)) =
            (&job.owner, job.definition.steps.get(usize::from(unit.step)))
        else {
            return;
        };
        match totals.get_mut(owner) {
            Some(total) => *total = total.plus(&step.resources),
            None => _ = totals.insert(owner.clone(), step.resources),
        }
    };
    let is_run = |unit: UnitKey, run: RunNumber| worker.runs.contains_key(&(unit, run));
    worker.runs.keys().for_each(|(unit, _)| count(unit));
    let is_late = |unit: UnitKey, run: RunNumber| {
        worker.late_starts.get(&(unit, run)).is_some_and(|start| start.uses_account)
    };
    for (unit, run) in worker.late_starts.keys() {
        if is_late(*unit, *run) && !is_run(*unit, *run) {
            count(unit);
        }
    }
    for ((_, run), unplaced) in &worker.unplaced {
        let Some(unit) = unplaced.unit else { continue };
        if !is_run(unit, *run) && !is_late(unit, *run) {
            count(&unit);
        }
    }
    totals
}
