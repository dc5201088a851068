//! Health of a worker, by how its runs end.
//!
//! A worker whose runs fail several times in a row gets no new work for a growing backoff and then
//! one unit at a time, until a run shows that it works again. A run shows that when it is done, or
//! when it has begun after the last failure and goes on: work that lasts is never done, and a worker
//! that fails what it starts does so soon after the start.

use std::time::Duration;

/// Consecutive failures after which a worker gets one unit at a time.
const PROBATION_FAILURES: u32 = 3;
/// First backoff after [`PROBATION_FAILURES`]; doubles each time until a run shows that the worker
/// works.
const INITIAL_BACKOFF: Duration = Duration::from_secs(2);
/// Upper bound of the backoff.
const MAX_BACKOFF: Duration = Duration::from_secs(8);
/// Time that a run has to go on to show that its worker works.
pub const PROOF_TIME: Duration = Duration::from_secs(5);

/// Failures of a worker since a run showed that it works.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Health {
    failures: u32,
    backoffs: u32,
    /// When the present or last backoff began.
    backoff_since: Option<Duration>,
    backoff_until: Duration,
    failed_at: Option<Duration>,
}

impl Health {
    /// Records that a run that was placed at `placed_at` failed or hung at `now`, possibly because
    /// of the worker. Returns whether a backoff begins. Runs that were placed before the last
    /// backoff add nothing to it, since they fail together.
    ///
    /// ```
    /// use sched::health::Health;
    /// use std::time::Duration;
    /// let now = Duration::from_secs(100);
    /// let mut health = Health::default();
    /// let began: Vec<bool> = (0..5).map(|_| health.record_failure(now, now)).collect();
    /// assert_eq!(began, [false, false, true, false, false]);
    /// assert!(health.is_in_backoff(now + Duration::from_secs(1)));
    /// ```
    pub fn record_failure(&mut self, now: Duration, placed_at: Duration) -> bool {
        self.failures = self.failures.saturating_add(1);
        self.failed_at = Some(now);
        let is_old = self.backoff_since.is_some_and(|since| placed_at <= since);
        if !self.is_on_probation() || is_old {
            return false;
        }
        let backoff = INITIAL_BACKOFF * 2u32.saturating_pow(self.backoffs.min(8));
        self.backoff_since = Some(now);
        self.backoff_until = now + backoff.min(MAX_BACKOFF);
        self.backoffs += 1;
        true
    }

    /// Records that a run succeeded.
    pub fn record_success(&mut self) {
        *self = Health::default();
    }

    /// Records that a run that was placed at `placed_at` and began at `began_at` is going on at
    /// `now`, and returns whether that ends a probation. The next backoff is as long as if the
    /// probation went on, since the run may fail yet.
    ///
    /// ```
    /// use sched::health::{Health, PROOF_TIME};
    /// use std::time::Duration;
    /// let now = Duration::from_secs(100);
    /// let mut health = Health::default();
    /// (0..3).for_each(|_| _ = health.record_failure(now, now));
    /// let (before, after, later) = (now - PROOF_TIME, now + PROOF_TIME, now + PROOF_TIME * 2);
    /// assert!(!health.record_going_on(later, before, before));
    /// assert!(health.record_going_on(later, after, after));
    /// assert!(!health.is_on_probation());
    /// ```
    pub fn record_going_on(
        &mut self,
        now: Duration,
        placed_at: Duration,
        began_at: Duration,
    ) -> bool {
        let is_proof = self.is_after_failure(placed_at) && now >= began_at + PROOF_TIME;
        is_proof && self.end_probation()
    }

    /// Records that a run that lasts, and was placed at `placed_at`, is at work: it has got past the
    /// point at which it would have failed. Returns whether that ends a probation.
    pub fn record_at_work(&mut self, placed_at: Duration) -> bool {
        let was_on_probation = self.is_on_probation();
        let is_proof = self.is_after_failure(placed_at);
        if is_proof {
            self.record_success();
        }
        is_proof && was_on_probation
    }

    /// Returns the number of failures since a run showed that the worker works.
    pub fn failures(&self) -> u32 {
        self.failures
    }

    /// Returns whether no run has failed since the last one that showed that the worker works.
    pub fn is_sound(&self) -> bool {
        self.failures == 0
    }

    /// Returns whether the worker failed so often that it gets one unit at a time.
    pub fn is_on_probation(&self) -> bool {
        self.failures >= PROBATION_FAILURES
    }

    /// Returns whether the worker gets no new work at `now`.
    pub fn is_in_backoff(&self, now: Duration) -> bool {
        now < self.backoff_until
    }

    /// Returns whether a run that was placed at `placed_at` came after the last failure.
    pub fn is_after_failure(&self, placed_at: Duration) -> bool {
        self.failed_at.is_none_or(|failed_at| placed_at > failed_at)
    }

    fn end_probation(&mut self) -> bool {
        let was_on_probation = self.is_on_probation();
        self.failures = 0;
        self.backoff_until = Duration::ZERO;
        was_on_probation
    }
}
