//! Admission of jobs by the work that waits in their pool.
//!
//! Applies only while the ledger has accounts. See [`crate::admission`].

use super::{Scheduler, Time, Waiting};
use crate::admission::{Backlog, Decision, Prospect, Returns};
use crate::rank::{self, Criteria, OVERDUE_FACTOR};
use jobs::definition::Resources;
use jobs::{AccountName, Definition, Ledger, PoolName, Queue, QueueName, StepKey};
use std::collections::BTreeMap;

/// Sums of the waiting work and the cores that can do it, as of the last periodic tasks.
#[derive(Clone, Debug, Default)]
pub(super) struct Outlook {
    /// Waiting work and cores of each pool, those included that could be moved to it.
    pools: BTreeMap<PoolName, Backlog>,
    /// Waiting work of each account in core-seconds.
    accounts: BTreeMap<AccountName, f64>,
    returns: BTreeMap<PoolName, Returns>,
}

impl Scheduler {
    /// Decides whether a job that a client submits now is accepted.
    pub fn admit(
        &mut self,
        time: Time,
        ledger: &Ledger,
        queue: &QueueName,
        definition: &Definition,
        owner: Option<&AccountName>,
    ) -> Decision {
        let (decision, returns) = self.judge(time, ledger, queue, definition, owner);
        if let (Decision::Refuse(_), Some((pool, returns))) = (decision, returns) {
            self.outlook.returns.insert(pool, returns);
        }
        decision
    }

    /// Judges a job as [`Scheduler::admit`] does, and returns the pool's times of return after a
    /// refusal. Changes nothing.
    pub(super) fn judge(
        &self,
        time: Time,
        ledger: &Ledger,
        queue: &QueueName,
        definition: &Definition,
        owner: Option<&AccountName>,
    ) -> (Decision, Option<(PoolName, Returns)>) {
        let config = ledger.config().filter(|_| ledger.uses_accounts());
        let Some(settings) = config.and_then(|config| config.queues.get(queue)) else {
            return (Decision::Accept, None);
        };
        let is_open_ended =
            definition.schedule.is_some() || definition.steps.iter().any(|step| step.long_running);
        if is_open_ended {
            return (Decision::Accept, None);
        }
        let criteria = self.prospective_criteria(time, ledger, queue, settings, definition, owner);
        let job = Prospect {
            value_time: rank::scaled(criteria.objective, OVERDUE_FACTOR),
            critical_path: criteria.critical_path,
            work: criteria.remaining_work,
        };
        let mut backlogs = Vec::new();
        if let Some(pool) = self.outlook.pools.get(&settings.pool).copied() {
            // The whole backlog is no less than the part that goes first, and costs nothing to know.
            let may_be_too_long = pool.duration() + job.critical_path > job.value_time;
            if may_be_too_long {
                let work = self.work_before(time, ledger, queue, &settings.pool, &criteria);
                backlogs.push(Backlog { work, ..pool });
            }
        }
        let cap = owner.and_then(|owner| ledger.account(owner)).map(|account| account.cap);
        if let Some(cap) = cap.filter(|cap| cap.cpu_milli > 0) {
            let work = owner.and_then(|owner| self.outlook.accounts.get(owner));
            let work = work.copied().unwrap_or_default();
            backlogs.push(Backlog { work, cores: cap.cpu_milli as f64 / 1000.0 });
        }
        let mut returns = self.outlook.returns.get(&settings.pool).copied().unwrap_or_default();
        let decision = returns.decide(time.monotonic, &job, &backlogs);
        (decision, Some((settings.pool.clone(), returns)))
    }

    /// Returns the criteria of a step of a job that is judged as if it were accepted now.
    pub(super) fn described_criteria(
        &self,
        time: Time,
        ledger: &Ledger,
        key: &StepKey,
    ) -> Criteria {
        let job = &ledger.jobs()[&key.job];
        let weight = job.owner.as_ref().and_then(|o| ledger.account(o)).map_or(0.0, |a| a.weight);
        let is_excess =
            job.owner.as_ref().is_some_and(|o| self.rates.is_exhausted(o, weight, time.wall));
        Criteria { accepted_at: time.monotonic, is_excess, ..self.criteria(ledger, key) }
    }

    /// Returns the criteria by which a job would be ranked if it were accepted now.
    fn prospective_criteria(
        &self,
        time: Time,
        ledger: &Ledger,
        queue: &QueueName,
        settings: &Queue,
        definition: &Definition,
        owner: Option<&AccountName>,
    ) -> Criteria {
        let duration = |declared| self.estimator.expected(queue, declared);
        let critical_path = rank::whole_critical_path(definition, &duration);
        let weight = owner.and_then(|owner| ledger.account(owner)).map_or(0.0, |a| a.weight);
        Criteria {
            priority: settings.priority,
            long_running: false,
            is_excess: owner.is_some_and(|o| self.rates.is_exhausted(o, weight, time.wall)),
            accepted_at: time.monotonic,
            objective: rank::scaled(critical_path, settings.critical_path_factor.max(1.0))
                + settings.base_objective,
            critical_path,
            remaining_work: rank::remaining_work(definition, 0, &duration),
            total_work: rank::remaining_work(definition, 0, &|declared| declared),
        }
    }

    /// Returns the waiting work of a pool that is ranked before a job, in core-seconds.
    fn work_before(
        &self,
        time: Time,
        ledger: &Ledger,
        queue: &QueueName,
        pool: &PoolName,
        criteria: &Criteria,
    ) -> f64 {
        let Some(steps) = self.waiting.get(pool) else { return 0.0 };
        let mean = self.mean_job_work.get(queue).copied().unwrap_or(criteria.total_work);
        let own_rank = criteria.rank(time.monotonic, mean);
        let ranked = self.ranked_steps(time, ledger, steps.iter());
        let before = ranked.iter().take_while(|(rank, _)| *rank < own_rank);
        before.map(|(_, key)| self.waiting_work(ledger, key, &steps[key])).sum()
    }

    /// Returns the expected processor time of a step's waiting units in core-seconds.
    pub(super) fn waiting_work(&self, ledger: &Ledger, key: &StepKey, waiting: &Waiting) -> f64 {
        let Some(job) = ledger.job(key.job) else { return 0.0 };
        let step = &job.definition.steps[usize::from(key.step)];
        if step.long_running {
            return 0.0;
        }
        let cores = step.resources.cpu_milli as f64 / 1000.0;
        let duration = self.estimator.expected(&job.queue, step.estimate).as_secs_f64();
        waiting.units.len() as f64 * cores * duration
    }

    /// Sums up the waiting work and the cores of all pools.
    pub(super) fn update_outlook(&mut self, time: Time, ledger: &Ledger) {
        if !ledger.uses_accounts() {
            return;
        }
        let spare = self.spare_cores(time, ledger);
        let mut pools: BTreeMap<PoolName, Backlog> = BTreeMap::new();
        for worker in self.workers.values().filter(|worker| worker.accepts_starts()) {
            let Some(report) = &worker.report else { continue };
            pools.entry(report.pool.clone()).or_default().cores += cores(&report.capacity);
        }
        let mut accounts: BTreeMap<AccountName, f64> = BTreeMap::new();
        for (pool, steps) in &self.waiting {
            let backlog = pools.entry(pool.clone()).or_default();
            for (key, waiting) in steps {
                let work = self.waiting_work(ledger, key, waiting);
                backlog.work += work;
                if let Some(owner) = ledger.job(key.job).and_then(|job| job.owner.as_ref()) {
                    *accounts.entry(owner.clone()).or_default() += work;
                }
            }
        }
        pools.values_mut().for_each(|backlog| backlog.cores += spare);
        self.outlook.pools = pools;
        self.outlook.accounts = accounts;
    }
}

/// Returns the number of cores in some resources.
pub(super) fn cores(resources: &Resources) -> f64 {
    resources.cpu_milli as f64 / 1000.0
}
