//! Claims of units that fit on no worker. See [`crate::claim`].
//!
//! Work that lasts has a bound for its wait: it claims a worker soon, and what does not end there in
//! time is stopped. If no worker of the pool can ever cover it, an instance is fetched.

use super::waiting::ready_since;
use super::{Scheduler, Time, advice};
use crate::claim::{self, Clearance, Tenant};
use crate::place::{Candidate, Company, Request};
use crate::quota;
use crate::worker::{Run, StopReason};
use jobs::definition::Resources;
use jobs::{Ledger, PoolName, RunNumber, Step, StepKey, UnitKey, WorkerId};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Wait after which work that lasts claims a worker. Shorter than the gaps between decisions, a
/// claim would be made for units that are placed at once.
const CLAIM_AFTER: Duration = Duration::from_millis(300);
/// Wait after which runs are stopped for work that lasts. Work that was lost with its worker has
/// waited for the lease by then, and has to run again 9 s after it was lost.
const STOP_AFTER: Duration = Duration::from_millis(2500);
/// Runs that end within this time are not stopped: a stop takes as long.
const STOP_TIME: Duration = Duration::from_millis(200);
/// Wait after which an instance is fetched for work that lasts. A new leader has heard all workers by
/// then.
const FETCH_AFTER: Duration = Duration::from_millis(500);
/// Work that a run with checkpoints loses at most when it is stopped.
const CHECKPOINT_INTERVAL: Duration = Duration::from_secs(2);

/// Room on a worker that is kept for a unit.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct Claim {
    worker: WorkerId,
    resources: Resources,
    /// Since when the unit may be placed.
    waits_since: Duration,
}

/// An instance that has to be fetched for work that lasts.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct Fetch {
    /// Label that it must have.
    pub(super) requires: Option<String>,
    /// Room that it must have.
    pub(super) resources: Resources,
    /// Number of its units of each step.
    units: BTreeMap<StepKey, u32>,
}

/// A unit that has waited for long enough to claim a worker.
#[derive(Clone, Copy, Debug)]
struct Claimant<'a> {
    unit: UnitKey,
    step: &'a Step,
    waits_since: Duration,
}

/// A worker that may be claimed, with the claims that it has.
struct Site<'s> {
    candidate: Candidate<'s>,
    tenants: Vec<Tenant>,
    claimed: Resources,
    claims: BTreeMap<StepKey, u32>,
}

impl Site<'_> {
    /// Returns how the worker comes to cover a unit beside its claims; `None` if it can't.
    fn clear(&self, request: &Request<'_>, within: Duration) -> Option<Clearance> {
        let Request { key, step, .. } = request;
        let claims = self.claims.get(key).copied().unwrap_or_default();
        if !self.candidate.would_accept(request, claims) {
            return None;
        }
        let need = self.claimed.plus(&step.reserved_resources());
        claim::clear(&self.candidate.free, &self.tenants, &need, within)
    }

    fn add(&mut self, key: StepKey, resources: &Resources) {
        self.claimed = self.claimed.plus(resources);
        *self.claims.entry(key).or_default() += 1;
    }
}

impl Scheduler {
    /// Returns the claims on each worker, the oldest wait first.
    pub(super) fn claims_by_worker(&self) -> BTreeMap<&WorkerId, Vec<(StepKey, Resources)>> {
        let mut claims: Vec<(&UnitKey, &Claim)> = self.claims.iter().collect();
        claims.sort_by_key(|(unit, claim)| (claim.waits_since, **unit));
        let mut by_worker: BTreeMap<&WorkerId, Vec<(StepKey, Resources)>> = BTreeMap::new();
        for (unit, claim) in claims {
            by_worker.entry(&claim.worker).or_default().push((unit.step_key(), claim.resources));
        }
        by_worker
    }

    /// Returns whether a unit of the step has a claim.
    pub(super) fn has_claim(&self, key: &StepKey) -> bool {
        self.claims.range(key.unit(0)..=key.unit(u32::MAX)).next().is_some()
    }

    /// Renews the claims of units that wait, finds out which instances have to be fetched, and stops
    /// runs on workers that were claimed for too long.
    pub(super) fn update_claims(&mut self, time: Time, ledger: &Ledger) {
        let before = std::mem::take(&mut self.claims);
        let mut fetches = BTreeMap::new();
        let mut stops = Vec::new();
        let pools: Vec<PoolName> = self.waiting.keys().cloned().collect();
        for pool in pools {
            let claimants = self.claimants(time, ledger, &pool);
            if !claimants.is_empty() {
                let unmet = self.claim(time, ledger, &pool, claimants, &before, &mut stops);
                fetches.insert(pool, self.fetches(&unmet));
            }
        }
        self.fetches = fetches;
        for (id, (unit, number), claimant) in stops {
            let name = ledger.unit_name(&claimant).unwrap_or_default();
            let stopped = ledger.unit_name(&unit).unwrap_or_default();
            self.explain(
                name,
                format!("has waited too long: run {number} of {stopped} is stopped"),
            );
            self.stop(time, ledger, &id, unit, number, StopReason::Displaced);
        }
    }

    /// Returns the units of a pool that last and have waited for long, the oldest wait first.
    fn claimants<'a>(&self, time: Time, ledger: &'a Ledger, pool: &PoolName) -> Vec<Claimant<'a>> {
        let mut claimants = Vec::new();
        for (key, waiting) in self.waiting.get(pool).into_iter().flatten() {
            let oldest = || ready_since(time.monotonic, waiting);
            if !waiting.criteria.long_running
                || oldest().is_none_or(|(_, since)| time.monotonic < since + CLAIM_AFTER)
                || !self.may_claim_on_trial(time, ledger, key)
            {
                continue;
            }
            let Some(job) = ledger.job(key.job) else { continue };
            let step = &job.definition.steps[usize::from(key.step)];
            let is_capped = job.owner.as_ref().is_some_and(|owner| {
                !quota::under_cap(ledger, &self.usage, owner).admits(&step.resources)
            });
            if is_capped {
                continue;
            }
            let due = waiting.units.iter().filter(|(_, since)| {
                since.checked_add(CLAIM_AFTER).is_some_and(|due| time.monotonic >= due)
            });
            let mut due: Vec<Claimant<'_>> = due
                .map(|(index, since)| Claimant {
                    unit: key.unit(*index),
                    step,
                    waits_since: *since,
                })
                .collect();
            if let Some(suspicion) = self.suspicions.get(key).filter(|_| !step.gang) {
                // One unit is tried at a time.
                due.sort_by_key(|claimant| suspicion.rank(claimant.unit.index));
                due.truncate(1);
            }
            claimants.extend(due);
        }
        claimants.sort_by_key(|claimant| (claimant.waits_since, claimant.unit));
        claimants
    }

    /// Returns whether units of a step may claim a worker as far as a suspicion goes: a trial that has
    /// to begin does so in any company.
    fn may_claim_on_trial(&self, time: Time, ledger: &Ledger, key: &StepKey) -> bool {
        self.trial(time, ledger, key)
            .is_none_or(|trial| trial.worker.is_none() && trial.company == Company::Any)
    }

    /// Lets units of a pool claim workers, and returns those that no worker can cover. A claim stays
    /// on its worker while that can cover it. Adds the runs that have to be stopped, with the worker
    /// and the unit that they are stopped for.
    fn claim<'a>(
        &mut self,
        time: Time,
        ledger: &Ledger,
        pool: &PoolName,
        claimants: Vec<Claimant<'a>>,
        before: &BTreeMap<UnitKey, Claim>,
        stops: &mut Vec<(WorkerId, (UnitKey, RunNumber), UnitKey)>,
    ) -> Vec<Claimant<'a>> {
        let mut sites = self.sites(time, ledger, pool);
        let mut claims = BTreeMap::new();
        let mut unmet = Vec::new();
        let mut racks: BTreeMap<StepKey, BTreeMap<String, u32>> = BTreeMap::new();
        for claimant in claimants {
            let Claimant { unit, step, waits_since } = claimant;
            let key = unit.step_key();
            let units_per_rack =
                racks.entry(key).or_insert_with(|| self.count_units_per_rack(&key, step));
            let trial = self.trial(time, ledger, &key);
            let trial = trial.as_ref();
            let request = Request { key, step, units_per_rack, preferred_data_centre: None, trial };
            let within = (waits_since + STOP_AFTER).saturating_sub(time.monotonic).max(STOP_TIME);
            let has_policy = advice::policy(ledger, &key).is_some();
            let may_run = |site: &Site<'_>| {
                !has_policy || self.ticket(time, &key, site.candidate.id).is_some()
            };
            let former = before.get(&unit).map(|claim| &claim.worker);
            let former = sites
                .iter()
                .position(|site| Some(site.candidate.id) == former && may_run(site))
                .and_then(|position| Some((position, sites[position].clear(&request, within)?)));
            let best = || {
                let clearances = sites.iter().enumerate().filter(|(_, site)| may_run(site));
                let clearances = clearances
                    .filter_map(|(position, site)| Some((position, site.clear(&request, within)?)));
                clearances.min_by_key(|(position, clearance)| {
                    let candidate = &sites[*position].candidate;
                    let crowding =
                        candidate.rack().and_then(|rack| request.units_per_rack.get(rack));
                    (
                        !candidate.is_open(),
                        clearance.loss,
                        crowding.copied().unwrap_or_default(),
                        clearance.free_after,
                    )
                })
            };
            let Some((position, clearance)) = former.or_else(best) else {
                unmet.push(claimant);
                continue;
            };
            let site = &mut sites[position];
            let (worker, resources) = (site.candidate.id.clone(), step.reserved_resources());
            site.add(key, &resources);
            if let Some(rack) = site.candidate.rack() {
                *units_per_rack.entry(rack.clone()).or_default() += 1;
            }
            if time.monotonic >= waits_since + STOP_AFTER {
                for run in clearance.stops {
                    site.tenants.retain(|tenant| tenant.run != run);
                    stops.push((worker.clone(), run, unit));
                }
            }
            claims.insert(unit, Claim { worker, resources, waits_since });
        }
        // A gang starts as a whole, so claims of a part of it would only hold room.
        let broken: BTreeSet<StepKey> =
            unmet.iter().filter(|c| c.step.gang).map(|c| c.unit.step_key()).collect();
        claims.retain(|unit, _| !broken.contains(&unit.step_key()));
        stops.retain(|(_, _, unit)| !broken.contains(&unit.step_key()));
        self.claims.extend(claims);
        unmet
    }

    /// Returns the workers of a pool that get new work, with the runs that free their room.
    fn sites(&self, time: Time, ledger: &Ledger, pool: &PoolName) -> Vec<Site<'_>> {
        let candidates = self.available_workers(time, pool).into_iter();
        candidates
            .map(|candidate| {
                let runs = candidate.worker.runs.iter();
                let tenants = runs
                    .filter_map(|(run, state)| self.tenant(time, ledger, *run, state))
                    .collect();
                Site { candidate, tenants, claimed: Resources::default(), claims: BTreeMap::new() }
            })
            .collect()
    }

    /// Returns what a run frees; `None` if it runs until its job is cancelled.
    fn tenant(
        &self,
        time: Time,
        ledger: &Ledger,
        run: (UnitKey, RunNumber),
        state: &Run,
    ) -> Option<Tenant> {
        let (ends_after, resources) = self.expected_end(time, ledger, &run.0, state)?;
        let job = ledger.job(run.0.job)?;
        let step = &job.definition.steps[usize::from(run.0.step)];
        let began_at = state.started_at.unwrap_or(time.monotonic);
        let mut elapsed = time.monotonic.saturating_sub(began_at);
        if step.checkpointing {
            elapsed = elapsed.min(CHECKPOINT_INTERVAL);
        }
        let may_stop = !state.is_gang && !state.is_trial && !state.is_stopping_or_ending();
        let loss = may_stop.then(|| resources.cpu_milli * elapsed.as_millis() as u64 / 1000);
        Some(Tenant { run, resources, ends_after, loss })
    }

    /// Returns the instances that units need which no worker can cover, each filled in turn. Units
    /// that no instance could hold ask for none.
    fn fetches(&self, unmet: &[Claimant<'_>]) -> Vec<Fetch> {
        let mut fetches: Vec<Fetch> = Vec::new();
        let due = unmet
            .iter()
            .filter(|claimant| self.time.monotonic >= claimant.waits_since + FETCH_AFTER);
        for Claimant { unit, step, .. } in due {
            let (key, resources) = (unit.step_key(), step.reserved_resources());
            let exists = |requires: &Option<String>, resources: &Resources| {
                self.instances.values().any(|instance| {
                    instance.capacity.covers(resources)
                        && requires.as_ref().is_none_or(|label| instance.labels.contains(label))
                })
            };
            let shared = fetches.iter_mut().find(|fetch| {
                let units = fetch.units.get(&key).copied().unwrap_or_default();
                fetch.requires == step.requires
                    && (step.anti_affinity == 0 || units < step.anti_affinity)
                    && exists(&fetch.requires, &fetch.resources.plus(&resources))
            });
            let fetch = match shared {
                Some(fetch) => fetch,
                None if exists(&step.requires, &resources) => {
                    fetches.push(Fetch {
                        requires: step.requires.clone(),
                        resources: Resources::default(),
                        units: BTreeMap::new(),
                    });
                    let last = fetches.len() - 1;
                    &mut fetches[last]
                }
                None => continue,
            };
            fetch.resources = fetch.resources.plus(&resources);
            *fetch.units.entry(key).or_default() += 1;
        }
        fetches
    }
}
