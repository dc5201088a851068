//! Refusal of jobs that can't be done while they have value for their callers.
//!
//! Answers surges that bring more work than a pool can finish in time. A job is refused only if a
//! lower bound of its wait shows that it can't be done.

use std::time::Duration;

/// Shortest and longest time after which a refused client is asked to return.
const MIN_RETRY_AFTER: Duration = Duration::from_secs(1);
const MAX_RETRY_AFTER: Duration = Duration::from_secs(30);

/// Whether a job is accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// The job is accepted.
    Accept,
    /// The job can't be done in time. The client may return after this time.
    Refuse(Duration),
}

/// A job that a client wants to submit.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Prospect {
    /// Time from now within which the job has value.
    pub value_time: Duration,
    /// Expected duration of its longest chain of steps.
    pub critical_path: Duration,
    /// Expected processor time in core-seconds.
    pub work: f64,
}

/// Work that has to be done before a job, and the cores that can do it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Backlog {
    /// Expected processor time of the work in core-seconds.
    pub work: f64,
    /// Number of cores; 0 if it is not known.
    pub cores: f64,
}

impl Backlog {
    /// Returns the least time that the work takes; zero if the cores are not known.
    pub fn duration(&self) -> Duration {
        if self.cores > 0.0 { span(self.work / self.cores) } else { Duration::ZERO }
    }
}

/// Times at which refused clients were asked to return to one pool.
#[derive(Clone, Copy, Debug, Default)]
pub struct Returns {
    /// Room is promised until this time.
    until: Duration,
}

impl Returns {
    /// Decides about a job by the backlogs that it has to wait for, at the time `now` on any clock.
    ///
    /// ```
    /// use sched::admission::{Backlog, Decision, Prospect, Returns};
    /// use std::time::Duration;
    /// let seconds = Duration::from_secs;
    /// let job = Prospect { value_time: seconds(6), critical_path: seconds(1), work: 10.0 };
    /// let mut returns = Returns::default();
    /// let now = seconds(100);
    /// let short = Backlog { work: 50.0, cores: 10.0 };
    /// assert_eq!(returns.decide(now, &job, &[short]), Decision::Accept);
    /// let long = Backlog { work: 80.0, cores: 10.0 };
    /// assert_eq!(returns.decide(now, &job, &[short, long]), Decision::Refuse(seconds(3)));
    /// assert_eq!(returns.decide(now, &job, &[short, long]), Decision::Refuse(seconds(4)));
    /// ```
    pub fn decide(&mut self, now: Duration, job: &Prospect, backlogs: &[Backlog]) -> Decision {
        let longest = backlogs.iter().max_by_key(|backlog| backlog.duration());
        let Some(backlog) = longest else { return Decision::Accept };
        let Some(too_long) = (backlog.duration() + job.critical_path).checked_sub(job.value_time)
        else {
            return Decision::Accept;
        };
        if too_long.is_zero() {
            return Decision::Accept;
        }
        let slot = self.until.max(now + too_long);
        self.until = slot.min(now + MAX_RETRY_AFTER) + span(job.work / backlog.cores);
        Decision::Refuse((slot - now).clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER))
    }
}

/// Converts seconds, within what a duration of a day can hold.
fn span(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds.clamp(0.0, 86_400.0))
}
