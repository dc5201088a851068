//! Admission of jobs by the work that waits in their pool.
//!
//! Applies only while the ledger has accounts. See [`crate::admission`].

use super::{Scheduler, Time, Waiting};
use crate::admission::{Backlog, Decision, Prospect, Returns};
use crate::rank::{self, Criteria, OVERDUE_FACTOR, Profile, Rank};
use jobs::definition::Resources;
use jobs::{AccountName, Definition, Job, Ledger, PoolName, Queue, QueueName, StepKey};
use std::collections::BTreeMap;
use std::time::Duration;

/// Shortest time between two looks at all waiting steps. Requests in between are judged by the last
/// one, so that their cost does not grow with the steps.
const OUTLOOK_INTERVAL: Duration = Duration::from_millis(100);

/// Waiting work in the order of rank.
#[derive(Clone, Debug, Default)]
struct Queued {
    /// Ranks of the waiting steps, ascending, each with the work up to it in core-seconds.
    work_by_rank: Vec<(Rank, f64)>,
}

impl Queued {
    /// Adds the work of a step that is ranked after all others.
    fn push(&mut self, rank: Rank, work: f64) {
        let before = self.work_by_rank.last().map_or(0.0, |(_, sum)| *sum);
        self.work_by_rank.push((rank, before + work));
    }

    /// Returns the work that is ranked before.
    fn before(&self, rank: &Rank) -> f64 {
        let count = self.work_by_rank.partition_point(|(other, _)| other < rank);
        count.checked_sub(1).map_or(0.0, |last| self.work_by_rank[last].1)
    }
}

/// Waiting work of a pool and the cores that can do it, those included that could be moved to it.
#[derive(Clone, Debug, Default)]
struct PoolOutlook {
    cores: f64,
    queued: Queued,
}

/// Sums of the waiting work and the cores that can do it, as of the last look.
#[derive(Clone, Debug, Default)]
pub(super) struct Outlook {
    updated_at: Option<Duration>,
    pools: BTreeMap<PoolName, PoolOutlook>,
    /// Waiting work of each account in all pools.
    accounts: BTreeMap<AccountName, Queued>,
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
        let mean = self.mean_job_work.get(queue).copied().unwrap_or(criteria.total_work);
        let rank = criteria.rank(time.monotonic, mean);
        let mut backlogs = Vec::new();
        if let Some(PoolOutlook { cores, queued }) = self.outlook.pools.get(&settings.pool) {
            backlogs.push(Backlog { work: queued.before(&rank), cores: *cores });
        }
        let cap = owner.and_then(|owner| ledger.account(owner)).map(|account| account.cap);
        if let Some(cap) = cap.filter(|cap| cap.cpu_milli > 0) {
            let queued = owner.and_then(|owner| self.outlook.accounts.get(owner));
            let work = queued.map_or(0.0, |queued| queued.before(&rank));
            backlogs.push(Backlog { work, cores: cores(&cap) });
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
        job: &Job,
        key: &StepKey,
        profile: &Profile,
    ) -> Criteria {
        let weight = job.owner.as_ref().and_then(|o| ledger.account(o)).map_or(0.0, |a| a.weight);
        let is_excess =
            job.owner.as_ref().is_some_and(|o| self.rates.is_exhausted(o, weight, time.wall));
        Criteria { accepted_at: time.monotonic, is_excess, ..self.criteria(job, key, profile) }
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
        let profile = Profile::new(definition);
        let critical_path = self.estimator.expected(queue, profile.whole_critical_path());
        let weight = owner.and_then(|owner| ledger.account(owner)).map_or(0.0, |a| a.weight);
        Criteria {
            priority: settings.priority,
            long_running: false,
            is_excess: owner.is_some_and(|o| self.rates.is_exhausted(o, weight, time.wall)),
            accepted_at: time.monotonic,
            objective: rank::objective(
                critical_path,
                settings.critical_path_factor,
                settings.base_objective,
            ),
            critical_path,
            remaining_work: profile.total_work() * self.estimator.ratio(queue),
            total_work: profile.total_work(),
        }
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

    /// Sums up the waiting work and the cores of all pools, if the last look is not recent.
    pub(super) fn update_outlook(&mut self, time: Time, ledger: &Ledger) {
        let is_recent = |at: Duration| time.monotonic < at + OUTLOOK_INTERVAL;
        if !ledger.uses_accounts() || self.outlook.updated_at.is_some_and(is_recent) {
            return;
        }
        let spare = self.spare_cores(time, ledger);
        let mut pools: BTreeMap<PoolName, PoolOutlook> = BTreeMap::new();
        for worker in self.workers.values().filter(|worker| worker.accepts_starts()) {
            let Some(report) = &worker.report else { continue };
            match pools.get_mut(&report.pool) {
                Some(pool) => pool.cores += cores(&report.capacity),
                None => {
                    let cores = spare + cores(&report.capacity);
                    let pool = PoolOutlook { cores, queued: Queued::default() };
                    pools.insert(report.pool.clone(), pool);
                }
            }
        }
        let mut by_account: BTreeMap<&AccountName, Vec<(Rank, f64)>> = BTreeMap::new();
        for (name, steps) in &self.waiting {
            let Some(pool) = pools.get_mut(name) else { continue };
            for (rank, key) in self.ranked_steps(time, ledger, steps.iter()) {
                let waiting = &steps[&key];
                let work = self.waiting_work(ledger, &key, waiting);
                pool.queued.push(rank, work);
                if let Some(owner) = &waiting.owner {
                    by_account.entry(owner).or_default().push((rank, work));
                }
            }
        }
        let mut accounts = BTreeMap::new();
        for (owner, mut works) in by_account {
            works.sort_by_key(|(rank, _)| *rank);
            let mut queued = Queued::default();
            works.into_iter().for_each(|(rank, work)| queued.push(rank, work));
            accounts.insert(owner.clone(), queued);
        }
        self.outlook.updated_at = Some(time.monotonic);
        self.outlook.pools = pools;
        self.outlook.accounts = accounts;
    }
}

/// Returns the number of cores in some resources.
pub(super) fn cores(resources: &Resources) -> f64 {
    resources.cpu_milli as f64 / 1000.0
}
