//! Which step goes first when there is not room for all.
//!
//! Answers a surge of several times what a pool holds: work that can still make
//! its objective goes before work that can't, and among it what is worth most for
//! the processor time that it still needs.

use jobs::{Definition, Job};
use std::cmp::Ordering;
use std::time::Duration;

/// Part of a job's worth that does not depend on its size.
const FIXED_WORTH: f64 = 0.3;
/// Work beyond which a job's worth stays the same, in multiples of the mean.
const MAX_SIZE: f64 = 4.0;
/// Factor on the objective after which a job is worth nothing.
const LATE_FACTOR: f64 = 3.0;

/// What a step's place in the order rests on; computed once for each job.
#[derive(Clone, Debug, PartialEq)]
pub struct Criteria {
    /// Urgency of the queue; 0 comes first.
    pub priority: u32,
    /// The step runs until it is cancelled.
    pub long_running: bool,
    /// When the job was accepted, on the leader's clock.
    pub accepted_at: Duration,
    /// Time until which the job is worth most.
    pub objective: Duration,
    /// Longest chain of work from this step on.
    pub critical_path: Duration,
    /// Processor time that the job needs from this step on, in core-seconds.
    pub remaining_work: f64,
    /// Work of the whole job in core-seconds.
    pub total_work: f64,
}

/// Place in the order; the least goes first.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rank {
    class: Class,
    priority: u32,
    cost: f64,
    accepted_at: Duration,
}

/// How urgent a step is at present.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Class {
    /// Lasting work earns from the first moment on.
    LongRunning,
    /// It can make its objective.
    InTime,
    /// It will be late, but not too late to be worth something.
    Late,
    /// It is worth nothing any more, and still owed.
    Overdue,
}

impl Criteria {
    /// Class of the step at a time.
    pub fn class(&self, now: Duration) -> Class {
        let end = now + self.critical_path;
        if self.long_running {
            Class::LongRunning
        } else if end <= self.accepted_at + self.objective {
            Class::InTime
        } else if end <= self.accepted_at + self.objective.mul_f64(LATE_FACTOR) {
            Class::Late
        } else {
            Class::Overdue
        }
    }

    /// Place in the order at a time, given the mean size of the queue's jobs.
    pub fn rank(&self, now: Duration, mean_size: f64) -> Rank {
        let relative = (self.total_work / mean_size.max(f64::MIN_POSITIVE)).min(MAX_SIZE);
        let worth = FIXED_WORTH + (1.0 - FIXED_WORTH) * relative;
        let class = self.class(now);
        let cost = match class {
            Class::LongRunning | Class::Overdue => 0.0,
            Class::InTime | Class::Late => self.remaining_work / worth,
        };
        Rank { class, priority: self.priority, cost, accepted_at: self.accepted_at }
    }
}

impl Eq for Rank {}

impl Ord for Rank {
    fn cmp(&self, other: &Rank) -> Ordering {
        self.class
            .cmp(&other.class)
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

/// Longest chain of work from a step on, by expected run times.
pub fn critical_path(
    definition: &Definition,
    from: u16,
    span: &dyn Fn(Duration) -> Duration,
) -> Duration {
    let count = definition.steps.len();
    let mut longest = vec![Duration::ZERO; count];
    for number in (0..count).rev() {
        let follows = (number + 1..count)
            .filter(|later| definition.steps[*later].after.contains(&(number as u16)))
            .map(|later| longest[later])
            .max()
            .unwrap_or_default();
        longest[number] = span(definition.steps[number].estimate) + follows;
    }
    longest.get(usize::from(from)).copied().unwrap_or_default()
}

/// Longest chain of work of the whole job.
pub fn whole_critical_path(
    definition: &Definition,
    span: &dyn Fn(Duration) -> Duration,
) -> Duration {
    (0..definition.steps.len() as u16)
        .map(|step| critical_path(definition, step, span))
        .max()
        .unwrap_or_default()
}

/// Processor time of the steps from one on, in core-seconds.
pub fn remaining_work(
    definition: &Definition,
    from: u16,
    span: &dyn Fn(Duration) -> Duration,
) -> f64 {
    let steps = definition.steps.iter().skip(usize::from(from));
    steps
        .map(|step| {
            let cores = step.resources.cpu_milli as f64 / 1000.0;
            f64::from(step.count) * cores * span(step.estimate).as_secs_f64()
        })
        .sum()
}

/// Time from acceptance until which a job is worth most.
pub fn objective(job: &Job, span: &dyn Fn(Duration) -> Duration) -> Duration {
    whole_critical_path(&job.definition, span).mul_f64(job.critical_path_factor.max(1.0))
        + job.base_objective
}
