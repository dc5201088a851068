//! Claims of units that fit on no worker. See [`crate::claim`].
//!
//! Work that lasts has a bound for its wait: it claims a worker soon, and what does not end there in
//! time is stopped. If no worker of the pool can ever cover it, an instance is fetched.

use super::waiting::ready_since;
use super::{Scheduler, Time, advice};
use crate::claim::{self, Clearance, Tenant};
use crate::place::{Candidate, Company, Request};
use crate::quota::Budget;
use crate::worker::Run;
use jobs::definition::Resources;
use jobs::{AccountName, Ledger, PoolName, RunNumber, Step, StepKey, UnitKey, WorkerId};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Wait after which work that lasts claims a worker. Shorter than the gaps between decisions, a
/// claim would be made for units that are placed at once.
const CLAIM_AFTER: Duration = Duration::from_millis(300);
/// Wait after which runs are stopped for work that lasts. Work that was lost with its worker has
/// waited for the lease by then, under a new leader for a whole one, and has to run again 9 s after it
/// was lost, or 7 s after the change of leader.
const STOP_AFTER: Duration = Duration::from_millis(1500);
/// Runs that end within this time are not stopped: a stop takes as long.
const STOP_TIME: Duration = Duration::from_millis(200);
/// Time within which a stop takes effect on a worker that carries out its orders. After that, it is not
/// claimed.
const MAX_STOP_TIME: Duration = Duration::from_secs(1);
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

/// A unit that has waited for long enough to claim a worker.
#[derive(Clone, Copy, Debug)]
pub(super) struct Claimant<'a> {
    pub(super) unit: UnitKey,
    pub(super) step: &'a Step,
    owner: Option<&'a AccountName>,
    pub(super) waits_since: Duration,
}

/// A worker that may be claimed, with the claims that it has.
struct Site<'s> {
    candidate: Candidate<'s>,
    tenants: Vec<Tenant>,
    /// What would be free without them.
    reach: Resources,
    claimed: Resources,
    claims: BTreeMap<StepKey, u32>,
}

impl Site<'_> {
    /// Returns how the worker comes to cover a unit beside its claims; `None` if it can't.
    fn clear(&self, request: &Request<'_>, within: Duration) -> Option<Clearance> {
        let Request { key, step, .. } = request;
        let need = self.claimed.plus(&step.reserved_resources());
        if !self.reach.covers(&need) {
            return None;
        }
        let claims = self.claims.get(key).copied().unwrap_or_default();
        if !self.candidate.would_accept(request, claims) {
            return None;
        }
        claim::clear(&self.candidate.free, &self.tenants, &need, within)
    }

    fn add(&mut self, key: StepKey, resources: &Resources) {
        self.claimed = self.claimed.plus(resources);
        *self.claims.entry(key).or_default() += 1;
    }

    /// Counts on the room of a run that is being stopped.
    fn free_soon(&mut self, run: &(UnitKey, RunNumber)) {
        for tenant in self.tenants.iter_mut().filter(|tenant| tenant.run == *run) {
            tenant.ends_after = Duration::ZERO;
            tenant.loss = None;
        }
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
        let workers = &self.workers;
        self.displaced.retain(|run, (id, _)| {
            workers.get(id).is_some_and(|worker| worker.runs.contains_key(run))
        });
        self.update_usage(ledger);
        let mut budget = Budget::default();
        let pools: Vec<PoolName> = self.waiting.keys().cloned().collect();
        for pool in pools {
            let claimants = self.claimants(time, ledger, &pool, &mut budget);
            if !claimants.is_empty() {
                let unmet = self.claim(time, ledger, &pool, claimants, &before, &mut stops);
                fetches.insert(pool, self.fetches(time, &unmet));
            }
        }
        self.fetches = fetches;
        for (id, run, claimant) in stops {
            self.displace(time, ledger, &id, run, &claimant);
        }
    }

    /// Returns the units of a pool that last, have waited for long and could start beside each other,
    /// the oldest wait first.
    fn claimants<'a>(
        &self,
        time: Time,
        ledger: &'a Ledger,
        pool: &PoolName,
        budget: &mut Budget,
    ) -> Vec<Claimant<'a>> {
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
            let due = waiting.units.iter().filter(|(_, since)| {
                since.checked_add(CLAIM_AFTER).is_some_and(|due| time.monotonic >= due)
            });
            let mut due: Vec<Claimant<'_>> = due
                .map(|(index, since)| Claimant {
                    unit: key.unit(*index),
                    step,
                    owner: job.owner.as_ref(),
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
        claimants.retain(|claimant| {
            let mut cap = budget.allowance(ledger, &self.usage, claimant.owner);
            let is_admitted = cap.admits(&claimant.step.resources);
            if is_admitted {
                cap.take(&claimant.step.resources);
                budget.set(claimant.owner, cap);
            }
            is_admitted
        });
        retain_whole_gangs(&mut claimants);
        claimants
    }

    /// Returns whether units of a step may claim a worker as far as a suspicion goes: a trial that has
    /// to begin does so in any company.
    fn may_claim_on_trial(&self, time: Time, ledger: &Ledger, key: &StepKey) -> bool {
        self.trial(time, ledger, key)
            .is_none_or(|trial| trial.worker.is_none() && trial.company == Company::Any)
    }

    /// Lets units of a pool claim workers, and returns those that no worker has or can get room for.
    /// A claim stays on its worker while that can cover it. Adds the runs that have to be stopped, with
    /// the worker and the unit that they are stopped for.
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
        let (mut unclaimed, mut unmet) = (BTreeSet::new(), Vec::new());
        let mut racks: BTreeMap<StepKey, BTreeMap<String, u32>> = BTreeMap::new();
        for claimant in claimants {
            let Claimant { unit, step, waits_since, .. } = claimant;
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
            // The workers only get fuller from unit to unit.
            let is_futile = unclaimed.contains(&key) && !has_policy;
            if is_futile && !before.contains_key(&unit) {
                unmet.push(claimant);
                continue;
            }
            let former = before.get(&unit).map(|claim| &claim.worker);
            let former = sites
                .iter()
                .position(|site| Some(site.candidate.id) == former && may_run(site))
                .and_then(|position| Some((position, sites[position].clear(&request, within)?)));
            let best = || best_site(&sites, &request, within, may_run);
            let Some((position, clearance)) = former.or_else(best) else {
                unclaimed.insert(key);
                // Workers that only its policy keeps from it have room: another one wouldn't help.
                if !has_policy || sites.iter().all(|site| site.clear(&request, within).is_none()) {
                    unmet.push(claimant);
                }
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
                    site.free_soon(&run);
                    stops.push((worker.clone(), run, unit));
                }
            }
            claims.insert(unit, Claim { worker, resources, waits_since });
        }
        // A gang starts as a whole, so claims of a part of it would only hold room.
        let is_broken = |unit: &UnitKey| {
            let step =
                ledger.job(unit.job).map(|job| &job.definition.steps[usize::from(unit.step)]);
            unclaimed.contains(&unit.step_key()) && step.is_some_and(|step| step.gang)
        };
        claims.retain(|unit, _| !is_broken(unit));
        stops.retain(|(_, _, unit)| !is_broken(unit));
        self.claims.extend(claims);
        unmet
    }

    /// Returns the workers of a pool that get new work, with the runs that free their room; not those
    /// that have not carried out a stop.
    fn sites(&self, time: Time, ledger: &Ledger, pool: &PoolName) -> Vec<Site<'_>> {
        let is_overdue = |at: &Duration| time.monotonic >= *at + MAX_STOP_TIME;
        let overdue: BTreeSet<&WorkerId> =
            self.displaced.values().filter(|(_, at)| is_overdue(at)).map(|(id, _)| id).collect();
        let candidates = self.available_workers(time, pool).into_iter();
        candidates
            .filter(|candidate| !overdue.contains(candidate.id))
            .map(|candidate| {
                let runs = candidate.worker.runs.iter();
                let tenants: Vec<Tenant> = runs
                    .filter_map(|(run, state)| self.tenant(time, ledger, *run, state))
                    .collect();
                let reach = tenants
                    .iter()
                    .fold(candidate.free, |free, tenant| free.plus(&tenant.resources));
                let (claimed, claims) = (Resources::default(), BTreeMap::new());
                Site { candidate, tenants, reach, claimed, claims }
            })
            .collect()
    }

    /// Returns what a run frees; `None` if it runs until its job is cancelled.
    pub(super) fn tenant(
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
        let may_stop = state.may_be_displaced() && step.max_unavailable.is_none();
        let loss = may_stop.then(|| resources.cpu_milli * elapsed.as_millis() as u64 / 1000);
        Some(Tenant { run, resources, ends_after, loss })
    }
}

/// Returns the position of the site on which a unit displaces the least work, and how it gets room
/// there; `None` if none of those that the unit may run on can cover it.
fn best_site(
    sites: &[Site<'_>],
    request: &Request<'_>,
    within: Duration,
    may_run: impl Fn(&Site<'_>) -> bool,
) -> Option<(usize, Clearance)> {
    let clearances = sites
        .iter()
        .enumerate()
        .filter(|(_, site)| may_run(site))
        .filter_map(|(position, site)| Some((position, site.clear(request, within)?)));
    clearances.min_by_key(|(position, clearance)| {
        let candidate = &sites[*position].candidate;
        let crowding = candidate.rack().and_then(|rack| request.units_per_rack.get(rack));
        (
            !candidate.is_open(),
            clearance.loss,
            crowding.copied().unwrap_or_default(),
            clearance.free_after,
        )
    })
}

/// Removes members of gangs that can't start, since other members are not ready or not admitted.
fn retain_whole_gangs(claimants: &mut Vec<Claimant<'_>>) {
    let mut members: BTreeMap<StepKey, u32> = BTreeMap::new();
    for claimant in claimants.iter().filter(|claimant| claimant.step.gang) {
        *members.entry(claimant.unit.step_key()).or_default() += 1;
    }
    claimants.retain(|Claimant { unit, step, .. }| {
        members.get(&unit.step_key()).is_none_or(|count| *count >= step.count)
    });
}
