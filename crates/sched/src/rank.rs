//! Order in which waiting steps are placed when a pool can't hold all of them.
//!
//! Steps are ranked by class, then by the priority of the queue, then by the remaining work
//! of the job divided by its value, least first, then by the time of acceptance. The class
//! says whether the job can still meet its objective; it goes first so that a load peak of
//! several times the pool's capacity delays few jobs. Jobs beyond what their account is owed come
//! last. A job's value grows with its total
//! work up to a limit. Long-running and overdue steps are ranked without the work and the
//! value.

use jobs::Definition;
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

/// Sums over the steps of a job that the ranks of its steps are taken from, by declared run times.
///
/// Computed once for a job, in time proportional to its steps and their dependencies. What is
/// expected of the job's queue later only scales the sums.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Profile {
    steps: Vec<StepProfile>,
    /// Longest chain of dependent steps in the whole job.
    longest_chain: Duration,
}

/// Sums over the steps that depend on one, or are listed after it.
#[derive(Clone, Debug, Default, PartialEq)]
struct StepProfile {
    longest_chain: Duration,
    /// Processor time of the step and all listed after it, in core-seconds.
    work: f64,
    /// Number of steps that this one depends on directly.
    dependencies: u32,
    /// Steps that depend on this one directly, each once, ascending.
    dependents: Vec<u16>,
}

impl Profile {
    /// Computes the profile of a definition.
    ///
    /// ```
    /// use jobs::{Definition, Step};
    /// use std::time::Duration;
    /// let step = |seconds, after: &[u16]| Step {
    ///     count: 1,
    ///     estimate: Duration::from_secs(seconds),
    ///     after: after.to_vec(),
    ///     ..Step::default()
    /// };
    /// let steps = vec![step(2, &[]), step(9, &[]), step(5, &[0])];
    /// let profile = sched::rank::Profile::new(&Definition { steps, ..Definition::default() });
    /// assert_eq!(profile.critical_path(0), Duration::from_secs(7));
    /// assert_eq!(profile.whole_critical_path(), Duration::from_secs(9));
    /// assert_eq!(profile.dependents(0), [2]);
    /// ```
    pub fn new(definition: &Definition) -> Profile {
        let mut steps = vec![StepProfile::default(); definition.steps.len()];
        let (mut longest_chain, mut work) = (Duration::ZERO, 0.0);
        // Steps depend only on earlier ones, so all dependents of a step come before it here.
        for (number, step) in definition.steps.iter().enumerate().rev() {
            let chain = step.estimate.saturating_add(steps[number].longest_chain).min(MAX_SPAN);
            let cores = step.resources.cpu_milli as f64 / 1000.0;
            work += f64::from(step.count) * cores * step.estimate.as_secs_f64();
            steps[number].longest_chain = chain;
            steps[number].work = work;
            longest_chain = longest_chain.max(chain);
            let mut dependencies = 0;
            for before in &step.after {
                let Some(before) = steps.get_mut(usize::from(*before)) else { continue };
                before.longest_chain = before.longest_chain.max(chain);
                if before.dependents.last() != Some(&(number as u16)) {
                    before.dependents.push(number as u16);
                    dependencies += 1;
                }
            }
            steps[number].dependencies = dependencies;
        }
        steps.iter_mut().for_each(|step| step.dependents.reverse());
        Profile { steps, longest_chain }
    }

    /// Returns the declared duration of the longest chain of dependent steps that starts with a
    /// step.
    pub fn critical_path(&self, step: u16) -> Duration {
        self.steps.get(usize::from(step)).map_or(Duration::ZERO, |step| step.longest_chain)
    }

    /// Returns the declared duration of the longest chain of dependent steps in the whole job.
    pub fn whole_critical_path(&self) -> Duration {
        self.longest_chain
    }

    /// Returns the declared processor time of a step and all steps listed after it, in
    /// core-seconds.
    pub fn remaining_work(&self, step: u16) -> f64 {
        self.steps.get(usize::from(step)).map_or(0.0, |step| step.work)
    }

    /// Returns the declared processor time of the whole job, in core-seconds.
    pub fn total_work(&self) -> f64 {
        self.remaining_work(0)
    }

    /// Returns the number of steps that a step depends on directly.
    pub fn dependency_count(&self, step: u16) -> u32 {
        self.steps.get(usize::from(step)).map_or(0, |step| step.dependencies)
    }

    /// Returns the steps that depend directly on a step, ascending.
    pub fn dependents(&self, step: u16) -> &[u16] {
        self.steps.get(usize::from(step)).map_or(&[], |step| &step.dependents)
    }
}

/// Returns the time from acceptance within which a job has its full value, by the expected duration
/// of its longest chain of steps and its queue's terms.
///
/// ```
/// use std::time::Duration;
/// let second = Duration::from_secs(1);
/// assert_eq!(sched::rank::objective(second * 4, 1.5, second), second * 7);
/// ```
pub fn objective(critical_path: Duration, factor: f64, base: Duration) -> Duration {
    scaled(critical_path, factor.max(1.0)).saturating_add(base).min(MAX_SPAN)
}
