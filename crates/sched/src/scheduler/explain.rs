//! Explains where the units of a job run, or would go now, by the decision code of the leader.
//!
//! Everything here reads the state only; a job that is only described is looked up in a copy of the
//! ledger that has it.

use super::plan::Plan;
use super::{Scheduler, Time, Waiting};
use crate::admission::Decision;
use crate::place::{Candidate, Request};
use crate::quota;
use crate::rank::Profile;
use jobs::{AccountName, JobNumber, Ledger, PoolName, QueueName, RunNumber, StepKey, WorkerId};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::time::Duration;

/// Most units of a step that are listed one by one.
const MAX_LISTED_UNITS: usize = 64;
/// Most steps of a job that are explained: the answer is computed between the leader's decisions.
const MAX_LISTED_STEPS: usize = 64;

/// Where a job's units are and would go now.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Placing {
    /// Queue of the job.
    pub queue: QueueName,
    /// Pool whose workers run the units.
    pub pool: PoolName,
    /// Account that the job counts for; `None` for none.
    pub account: Option<AccountName>,
    /// Whether the account has sent more jobs than it is owed service for.
    pub is_excess: bool,
    /// Time after which a client is asked to return, if the job would be refused now.
    pub refused_for: Option<Duration>,
    /// The steps whose turn has come, the first ones if they are many.
    pub steps: Vec<StepPlacing>,
    /// Number of further steps whose turn has come.
    #[serde(default)]
    pub omitted_steps: usize,
}

/// Where the units of a step are and would go now.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StepPlacing {
    /// Number of the occurrence and of the step.
    pub step: (u32, u16),
    /// Units with their workers: those that run, then those that would start now.
    pub running: BTreeMap<u32, WorkerId>,
    /// Units that would start now, with their workers.
    pub starting: BTreeMap<u32, WorkerId>,
    /// Number of units that wait.
    pub waiting: usize,
    /// Place in the order of the pool's waiting steps, from 1, and their number; `None` if no
    /// unit waits.
    pub rank: Option<(usize, usize)>,
    /// Waiting work that goes before, in core-seconds.
    pub work_before: f64,
    /// Why the units wait; empty if none does.
    pub reasons: Vec<String>,
    /// Number of the pool's workers that could take no unit now, by reason.
    pub excluded: BTreeMap<String, usize>,
    /// Number of the pool's workers that could take a unit now.
    pub candidates: usize,
    /// Expected time until a unit that waits begins, by the ends of what runs and the work before;
    /// `None` if none waits, or no end of what runs makes room.
    pub expected_start: Option<Duration>,
    /// Expected run time of a unit.
    pub run_time: Duration,
}

/// Order of the waiting steps of a pool.
struct Ranking {
    /// Position from 0 of each step, and the waiting work that goes before it, in core-seconds.
    positions: BTreeMap<StepKey, (usize, f64)>,
}

impl Scheduler {
    /// Explains where the units of a job are and would go now; `None` if the job is not known or has
    /// ended. A job that is in `ledger` and was never accepted by this leader is judged as if it had
    /// been accepted now.
    pub fn explain_place(&self, time: Time, ledger: &Ledger, number: JobNumber) -> Option<Placing> {
        let job = ledger.job(number).filter(|job| !job.state.is_final())?;
        let is_described = !self.accepted_at.contains_key(&number);
        let mut steps = self.waiting.get(&job.pool).cloned().unwrap_or_default();
        let decision = self.judge(time, ledger, &job.queue, &job.definition, job.owner.as_ref()).0;
        let refused_for = match decision {
            Decision::Refuse(retry_after) if is_described => Some(retry_after),
            _ => None,
        };
        let mut keys = Vec::new();
        for (occurrence, state) in &job.occurrences {
            for step in 0..state.steps().len() as u16 {
                let key = StepKey { job: number, occurrence: *occurrence, step };
                if job.is_step_unblocked(*occurrence, step) && !job.is_step_done(*occurrence, step)
                {
                    keys.push(key);
                }
            }
        }
        if is_described {
            let profile = Profile::new(&job.definition);
            for key in &keys {
                let criteria = self.described_criteria(time, ledger, job, key, &profile);
                let step = &job.definition.steps[usize::from(key.step)];
                let units = (0..step.count).map(|index| (index, time.monotonic)).collect();
                let resources = step.reserved_resources();
                let owner = job.owner.clone();
                let waiting = Waiting { units, resources, owner, criteria, near_wait_since: None };
                steps.insert(*key, waiting);
            }
        }
        let plan = self.plan_steps(time, ledger, &job.pool, &steps, &[], &mut Default::default());
        let ranking = self.ranking(time, ledger, &steps);
        let listed = keys.iter().take(MAX_LISTED_STEPS);
        let placings = listed
            .map(|key| self.explain_step(time, ledger, key, &steps, &ranking, &plan))
            .collect();
        Some(Placing {
            queue: job.queue.clone(),
            pool: job.pool.clone(),
            account: job.owner.clone(),
            is_excess: self.excess_jobs.contains(&number),
            refused_for,
            steps: placings,
            omitted_steps: keys.len().saturating_sub(MAX_LISTED_STEPS),
        })
    }

    /// Ranks the waiting steps of a pool.
    fn ranking(&self, time: Time, ledger: &Ledger, steps: &BTreeMap<StepKey, Waiting>) -> Ranking {
        let mut positions = BTreeMap::new();
        let mut work_before = 0.0;
        let ranked = self.ranked_steps(time, ledger, steps.iter());
        for (position, (_, key)) in ranked.into_iter().enumerate() {
            positions.insert(key, (position, work_before));
            work_before += self.waiting_work(ledger, &key, &steps[&key]);
        }
        Ranking { positions }
    }

    /// Explains one step by a plan for all steps of its pool.
    fn explain_step(
        &self,
        time: Time,
        ledger: &Ledger,
        key: &StepKey,
        steps: &BTreeMap<StepKey, Waiting>,
        ranking: &Ranking,
        plan: &Plan<'_>,
    ) -> StepPlacing {
        let job = &ledger.jobs()[&key.job];
        let step = &job.definition.steps[usize::from(key.step)];
        let mut running = BTreeMap::new();
        for (unit, ids) in self.placed_on.range(key.unit(0)..=key.unit(u32::MAX)) {
            let runs_on = |id: &&WorkerId| {
                let worker = self.workers.get(*id);
                let runs = worker.map(|w| w.runs.range((*unit, 0)..=(*unit, RunNumber::MAX)));
                runs.is_some_and(|mut runs| runs.next().is_some())
            };
            if let Some(id) = ids.iter().find(runs_on) {
                running.insert(unit.index, id.clone());
            }
        }
        let planned = plan.placements.iter().filter(|placement| placement.unit.step_key() == *key);
        let starting: BTreeMap<u32, WorkerId> =
            planned.map(|placement| (placement.unit.index, placement.worker.clone())).collect();
        let ready = steps.get(key).map_or(0, |waiting| waiting.units.len());
        let waiting = ready.saturating_sub(starting.len());
        let place = ranking.positions.get(key);
        let work_before = place.map_or(0.0, |(_, work)| *work);
        let candidates = self.candidates(time, &job.pool);
        let none = BTreeMap::new();
        let request = Request {
            key: *key,
            step,
            units_per_rack: &none,
            preferred_data_centre: None,
            trial: None,
        };
        let (free, mut excluded) = count_exclusions(&candidates, &request);
        let of_pool = |id: &&WorkerId| {
            let report = self.workers[*id].report.as_ref();
            report.is_some_and(|report| report.pool == job.pool)
        };
        let unavailable = self.workers.keys().filter(of_pool).count() - candidates.len();
        if unavailable > 0 {
            let reason = "gets no work: silent, leaving, in maintenance or in backoff";
            excluded.insert(reason.to_string(), unavailable);
        }
        let cores = candidates.iter().filter_map(|c| c.worker.report.as_ref());
        let cores: f64 = cores.map(|report| super::admit::cores(&report.capacity)).sum();
        let free_after =
            self.rack(time, ledger, candidates.iter()).take(&step.reserved_resources());
        let behind = Duration::from_secs_f64((work_before / cores.max(1.0)).min(86_400.0));
        let expected_start = free_after.filter(|_| waiting > 0).map(|after| after + behind);
        let mut reasons = Vec::new();
        if waiting > 0 {
            reasons = self.reasons(ledger, key, plan, free);
        }
        StepPlacing {
            step: (key.occurrence, key.step),
            running: running.into_iter().take(MAX_LISTED_UNITS).collect(),
            starting: starting.into_iter().take(MAX_LISTED_UNITS).collect(),
            waiting,
            rank: place.map(|(position, _)| (position + 1, ranking.positions.len())),
            work_before,
            reasons,
            excluded,
            candidates: free,
            expected_start,
            run_time: self.estimator.expected(&job.queue, step.estimate),
        }
    }

    /// Returns why units of a step wait.
    fn reasons(&self, ledger: &Ledger, key: &StepKey, plan: &Plan<'_>, free: usize) -> Vec<String> {
        let job = &ledger.jobs()[&key.job];
        let step = &job.definition.steps[usize::from(key.step)];
        let mut reasons = Vec::new();
        if let Some(owner) = &job.owner {
            let allowance = quota::under_cap(ledger, &self.usage, owner);
            if !allowance.admits(&step.resources) {
                reasons.push(format!("account \"{owner}\" is at its cap"));
            }
        }
        if plan.holds(key) {
            reasons.push("a place near the data or the group is expected soon".to_string());
        }
        if self.suspicions.contains_key(key) {
            reasons
                .push("a unit is suspected of crashing its workers and is tried alone".to_string());
        }
        if free == 0 {
            reasons.push("no worker can take a unit".to_string());
        } else if reasons.is_empty() {
            reasons.push("the room is taken by steps that go before".to_string());
        }
        reasons
    }
}

/// Returns how many candidates could take a unit, and why the others could not.
fn count_exclusions(
    candidates: &[Candidate<'_>],
    request: &Request<'_>,
) -> (usize, BTreeMap<String, usize>) {
    let mut excluded: BTreeMap<String, usize> = BTreeMap::new();
    let mut free = 0;
    for candidate in candidates {
        match candidate.exclusion(request) {
            None => free += 1,
            Some(exclusion) => *excluded.entry(exclusion.to_string()).or_default() += 1,
        }
    }
    (free, excluded)
}
