//! Caps, shares and rates of client accounts in the decisions of a leader.
//!
//! Nothing here has an effect while the ledger has no accounts.

use super::{Scheduler, Waiting};
use crate::place::Candidate;
use crate::quota::{self, Allowance};
use crate::rank::Rank;
use crate::share::{self, Member};
use crate::usage;
use jobs::definition::Resources;
use jobs::{AccountName, JobNumber, Ledger, RunNumber, StepKey, UnitKey, WorkerId};
use serde::Serialize;
use std::collections::BTreeMap;

/// What an account has running and waiting, for operators.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Summary {
    /// Weight of the account.
    pub weight: f64,
    /// Its cap; 0 is no limit.
    pub cap: Resources,
    /// Resources that it may have in use over all workers.
    pub used: Resources,
    /// Number of its units that wait for room, for the cap or for others to go first.
    pub waiting_units: usize,
    /// Number of its unfinished jobs beyond what it is owed service for.
    pub excess_jobs: usize,
}

impl Scheduler {
    /// Returns what each account that has jobs or runs has running and waiting.
    pub fn account_summaries(&self, ledger: &Ledger) -> BTreeMap<AccountName, Summary> {
        let mut summaries: BTreeMap<AccountName, Summary> = BTreeMap::new();
        let mut summary = |name: &AccountName, waiting_units: usize, excess_jobs: usize| {
            let account = ledger.account(name).cloned().unwrap_or_default();
            let summary = summaries.entry(name.clone()).or_insert_with(|| Summary {
                weight: account.weight,
                cap: account.cap,
                used: self.usage.of(name),
                waiting_units: 0,
                excess_jobs: 0,
            });
            summary.waiting_units += waiting_units;
            summary.excess_jobs += excess_jobs;
        };
        self.usage.accounts().for_each(|name| summary(name, 0, 0));
        for (key, waiting) in self.waiting.values().flatten() {
            if let Some(owner) = ledger.job(key.job).and_then(|job| job.owner.as_ref()) {
                summary(owner, waiting.units.len(), 0);
            }
        }
        for number in &self.excess_jobs {
            if let Some(owner) = ledger.job(*number).and_then(|job| job.owner.as_ref()) {
                summary(owner, 0, 1);
            }
        }
        summaries
    }

    /// Counts an accepted job for the rate of its account.
    pub(super) fn record_rate(&mut self, ledger: &Ledger, number: JobNumber) {
        let Some(job) = ledger.job(number) else { return };
        let Some(owner) = &job.owner else { return };
        let weight = ledger.account(owner).map_or(0.0, |account| account.weight);
        let is_excess = self.rates.record(owner, weight, job.accepted_at);
        if is_excess && !job.state.is_final() {
            self.excess_jobs.insert(number);
        }
    }

    /// Sums up again what accounts may have in use on the workers that have changed.
    pub(super) fn update_usage(&mut self, ledger: &Ledger) {
        if !ledger.uses_accounts() {
            return;
        }
        for (id, worker) in &mut self.workers {
            if std::mem::take(&mut worker.usage_changed) {
                self.usage.replace(id, usage::of_worker(worker, ledger));
            }
        }
    }

    /// Returns whether a run that was placed under an earlier configuration no longer fits under
    /// the cap of its account, so that its start must not be sent.
    pub(super) fn exceeds_new_cap(
        &mut self,
        ledger: &Ledger,
        id: &WorkerId,
        unit: UnitKey,
        number: RunNumber,
    ) -> bool {
        let Some(configured_at) = self.configured_at else { return false };
        let run = self.workers.get(id).and_then(|worker| worker.runs.get(&(unit, number)));
        if run.is_none_or(|run| run.placed_at > configured_at) {
            return false;
        }
        let Some(job) = ledger.job(unit.job) else { return false };
        let Some(owner) = &job.owner else { return false };
        self.update_usage(ledger);
        let resources = &job.definition.steps[usize::from(unit.step)].resources;
        quota::under_cap(ledger, &self.usage, owner).is_exceeded_by(resources)
    }

    /// Returns the shares that accounts have of the workers of a pool that get work; `None` if the
    /// ledger has no accounts, or if all waiting work fits.
    pub(super) fn shares(
        &self,
        ledger: &Ledger,
        steps: &BTreeMap<StepKey, Waiting>,
        ranked: &[(Rank, StepKey)],
        candidates: &[Candidate<'_>],
    ) -> Option<BTreeMap<AccountName, Allowance>> {
        if !ledger.uses_accounts() || fits_all(steps, candidates) {
            return None;
        }
        let mut capacity = Resources::default();
        let mut members: BTreeMap<AccountName, Member> = BTreeMap::new();
        for candidate in candidates {
            let report = candidate.worker.report.as_ref();
            capacity = capacity.plus(&report.map(|report| report.capacity).unwrap_or_default());
            for (account, used) in self.usage.on(candidate.id).into_iter().flatten() {
                match members.get_mut(account) {
                    Some(member) => member.used = member.used.plus(used),
                    None => {
                        _ = members.insert(account.clone(), Member { weight: 0.0, used: *used })
                    }
                }
            }
        }
        let owners = ranked.iter().filter_map(|(_, key)| steps[key].owner.as_ref());
        for owner in owners {
            if !members.contains_key(owner) {
                members.insert(owner.clone(), Member::default());
            }
        }
        for (name, member) in &mut members {
            member.weight = ledger.account(name).map_or(0.0, |account| account.weight);
        }
        Some(share::allowances(&capacity, &members))
    }
}

/// Returns whether the free processor time and memory suffice for all waiting units.
fn fits_all(steps: &BTreeMap<StepKey, Waiting>, candidates: &[Candidate<'_>]) -> bool {
    let free = candidates.iter().fold(Resources::default(), |sum, c| sum.plus(&c.free));
    let mut wanted = Resources::default();
    for Waiting { units, resources, .. } in steps.values() {
        let count = units.len() as u64;
        let all = |amount: u64| amount.saturating_mul(count);
        wanted = wanted.plus(&Resources {
            cpu_milli: all(resources.cpu_milli),
            memory_mb: all(resources.memory_mb),
            accelerators: all(resources.accelerators),
        });
    }
    free.covers(&wanted)
}
