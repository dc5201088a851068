//! Order in which waiting steps are placed when a pool can't hold all of them.
//!
//! Steps are ranked by class, then by the priority of the queue, then by the remaining work
//! of the job divided by its value, least first, then by the time of acceptance. The class
//! says whether the job can still meet its objective; it goes first so that a load peak of
//! several times the pool's capacity delays few jobs. Jobs beyond what their account is owed come
//! last. A job's value grows with its total
//! work up to a limit. Long-running and overdue steps are ranked without the work and the
//! value.

use jobs::{Definition, Job};
use std::cmp::Ordering;
use std::time::Duration;

/// Part of a job's value that does not depend on its total work, as a fraction of the value
/// of a job with the queue's mean work.
const FIXED_VALUE: f64 = 0.3;
/// Total work above which a job's value no longer grows, in multiples of the queue's mean.
const MAX_RELATIVE_WORK: f64 = 4.0;
/// Multiple of the objective after which a job has no value.
pub const OVERDUE_FACTOR: f64 = 3.0;

/// Inputs of a step's rank, which stay the same while the step waits.
#[derive(Clone, Debug, PartialEq)]
pub struct Criteria {
    /// Priority of the queue; 0 comes first.
    pub priority: u32,
    /// Whether the step runs until its job is cancelled.
    pub long_running: bool,
    /// Whether the job is beyond what its account is owed.
    pub is_excess: bool,
    /// When the job was accepted, on the leader's monotonic clock; for a later occurrence
    /// moved by the time between the due times.
    pub accepted_at: Duration,
    /// Time from acceptance within which the job has its full value.
    pub objective: Duration,
    /// Expected duration of the longest chain of steps that starts here.
    pub critical_path: Duration,
    /// Expected processor time of this step and those listed after it, in core-seconds.
    pub remaining_work: f64,
    /// Declared processor time of the whole job, in core-seconds.
    pub total_work: f64,
}

/// Position of a step in the placement order; the least goes first.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rank {
    is_excess: bool,
    class: Class,
    priority: u32,
    cost: f64,
    accepted_at: Duration,
}

/// Urgency of a step at a given time, most urgent first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Class {
    /// Long-running work, which is useful from its start on.
    LongRunning,
    /// The job can meet its objective.
    InTime,
    /// The job will miss its objective, but still has value.
    Late,
    /// The job has no value left, but still has to be completed.
    Overdue,
}

impl Criteria {
    /// Returns the class of the step at a time.
    pub fn class(&self, now: Duration) -> Class {
        let end = now + self.critical_path;
        if self.long_running {
            Class::LongRunning
        } else if end <= self.accepted_at + self.objective {
            Class::InTime
        } else if end <= self.accepted_at + scaled(self.objective, OVERDUE_FACTOR) {
            Class::Late
        } else {
            Class::Overdue
        }
    }

    /// Returns the rank at a time. `mean_job_work` is the mean declared work of the queue's
    /// jobs in core-seconds.
    pub fn rank(&self, now: Duration, mean_job_work: f64) -> Rank {
        let relative_work =
            (self.total_work / mean_job_work.max(f64::MIN_POSITIVE)).min(MAX_RELATIVE_WORK);
        let value = FIXED_VALUE + (1.0 - FIXED_VALUE) * relative_work;
        let class = self.class(now);
        let cost = match class {
            Class::LongRunning | Class::Overdue => 0.0,
            Class::InTime | Class::Late => self.remaining_work / value,
        };
        let is_excess = self.is_excess && class != Class::LongRunning;
        Rank { is_excess, class, priority: self.priority, cost, accepted_at: self.accepted_at }
    }
}

impl Eq for Rank {}

impl Ord for Rank {
    fn cmp(&self, other: &Rank) -> Ordering {
        self.is_excess
            .cmp(&other.is_excess)
            .then(self.class.cmp(&other.class))
            .then(self.priority.cmp(&other.priority))
            .then(self.cost.total_cmp(&other.cost))
            .then(self.accepted_at.cmp(&other.accepted_at))
    }
}

impl PartialOrd for Rank {
    fn partial_cmp(&self, other: &Rank) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

/// Longest duration of any sum below: jobs that were accepted before declared times were bounded may
/// have longer ones.
const MAX_SPAN: Duration = Duration::from_secs(100 * 366 * 86_400);

/// Multiplies a duration by a factor, up to a bound that sums of durations can hold.
///
/// ```
/// use std::time::Duration;
/// assert_eq!(sched::rank::scaled(Duration::from_secs(2), 1.5), Duration::from_secs(3));
/// assert!(sched::rank::scaled(Duration::MAX, 1e300) < Duration::MAX / 2);
/// ```
pub fn scaled(duration: Duration, factor: f64) -> Duration {
    let scaled = Duration::try_from_secs_f64(duration.as_secs_f64() * factor.max(0.0));
    scaled.unwrap_or(MAX_SPAN).min(MAX_SPAN)
}

/// Returns the duration of the longest chain of dependent steps that starts with step
/// `from`; `expected` maps a declared run time to the expected one.
pub fn critical_path(
    definition: &Definition,
    from: u16,
    expected: &dyn Fn(Duration) -> Duration,
) -> Duration {
    let step_count = definition.steps.len();
    let mut longest = vec![Duration::ZERO; step_count];
    for step in (0..step_count).rev() {
        let longest_after = (step + 1..step_count)
            .filter(|dependent| definition.steps[*dependent].after.contains(&(step as u16)))
            .map(|dependent| longest[dependent])
            .max()
            .unwrap_or_default();
        let duration = expected(definition.steps[step].estimate);
        longest[step] = duration.saturating_add(longest_after).min(MAX_SPAN);
    }
    longest.get(usize::from(from)).copied().unwrap_or_default()
}

/// Returns the duration of the longest chain of dependent steps in the whole job.
pub fn whole_critical_path(
    definition: &Definition,
    expected: &dyn Fn(Duration) -> Duration,
) -> Duration {
    (0..definition.steps.len() as u16)
        .map(|step| critical_path(definition, step, expected))
        .max()
        .unwrap_or_default()
}

/// Returns the processor time of step `from` and all steps listed after it, in
/// core-seconds.
pub fn remaining_work(
    definition: &Definition,
    from: u16,
    expected: &dyn Fn(Duration) -> Duration,
) -> f64 {
    let steps = definition.steps.iter().skip(usize::from(from));
    steps
        .map(|step| {
            let cores = step.resources.cpu_milli as f64 / 1000.0;
            f64::from(step.count) * cores * expected(step.estimate).as_secs_f64()
        })
        .sum()
}

/// Returns the time from acceptance within which a job has its full value.
pub fn objective(job: &Job, expected: &dyn Fn(Duration) -> Duration) -> Duration {
    let critical_path = whole_critical_path(&job.definition, expected);
    let objective = scaled(critical_path, job.critical_path_factor.max(1.0));
    objective.saturating_add(job.base_objective).min(MAX_SPAN)
}
