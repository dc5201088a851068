//! Calls that wait at a service which handles one call at a time.
//!
//! Such a service goes on with a call whose caller has given up, so an answer that is not waited
//! for is time that the service loses. Few calls are open at a time, and the wait for an answer
//! covers all that the service has to do before.

use std::collections::VecDeque;
use std::time::Duration;

/// Most calls that are open at one time: one that the service handles, and one that it can go on
/// with at once.
const MAX_OPEN_CALLS: usize = 2;
/// Least time that a call is expected to take.
const MIN_COST: Duration = Duration::from_millis(50);
/// Multiple of the expected time for which an answer is waited for.
const WAIT_FACTOR: f64 = 2.0;
/// Time for the connection, in addition.
const WAIT_MARGIN: Duration = Duration::from_millis(400);
/// Longest wait for an answer. It bounds how long a lost call keeps its place.
const MAX_WAIT: Duration = Duration::from_secs(30);
/// Bound of the ratio between the time that calls take and the declared one.
const MAX_SLOWDOWN: f64 = 128.0;
/// Weight of an answer that came sooner than expected.
const RECOVERY_WEIGHT: f64 = 0.125;

/// Calls of one process to a service.
///
/// ```
/// use std::time::Duration;
/// let ms = Duration::from_millis;
/// let mut backlog = sched::backlog::Backlog::default();
/// assert_eq!(backlog.add("a", ms(0), ms(800)), ms(2000));
/// assert_eq!(backlog.add("b", ms(0), ms(800)), ms(3600));
/// assert!(backlog.is_full());
/// backlog.record_answer(&"a", ms(800));
/// assert!(!backlog.is_full());
/// ```
#[derive(Clone, Debug)]
pub struct Backlog<K> {
    /// Calls without an answer so far, in the order in which they were sent.
    open: VecDeque<OpenCall<K>>,
    /// When the service is expected to have handled all calls, those given up included.
    idle_at: Duration,
    /// Ratio between the time that calls take and the declared one.
    slowdown: f64,
}

#[derive(Clone, Debug)]
struct OpenCall<K> {
    key: K,
    sent_at: Duration,
    /// Declared time that the service needs for the call.
    cost: Duration,
    /// Time until the answer by which the call was timed, and the slowdown assumed in it.
    expected: Duration,
    slowdown: f64,
}

impl<K> Default for Backlog<K> {
    fn default() -> Backlog<K> {
        Backlog { open: VecDeque::new(), idle_at: Duration::ZERO, slowdown: 1.0 }
    }
}

impl<K: PartialEq> Backlog<K> {
    /// Returns whether no further call may be sent now.
    pub fn is_full(&self) -> bool {
        self.open.len() >= MAX_OPEN_CALLS
    }

    /// Adds a call for which the service declares to need `cost`. Returns how long to wait for the
    /// answer.
    pub fn add(&mut self, key: K, now: Duration, cost: Duration) -> Duration {
        let cost = cost.clamp(MIN_COST, MAX_WAIT);
        self.idle_at = self.idle_at.max(now) + cost.mul_f64(self.slowdown);
        let expected = self.idle_at - now;
        self.open.push_back(OpenCall {
            key,
            sent_at: now,
            cost,
            expected,
            slowdown: self.slowdown,
        });
        (expected.mul_f64(WAIT_FACTOR) + WAIT_MARGIN).min(MAX_WAIT)
    }

    /// Records that the service has handled a call, hence all that were sent before.
    pub fn record_answer(&mut self, key: &K, now: Duration) {
        let Some(call) = self.remove(key) else { return };
        let taken = now.saturating_sub(call.sent_at).as_secs_f64();
        let measured = call.slowdown * taken / call.expected.as_secs_f64();
        let weight = if measured > self.slowdown { 1.0 } else { RECOVERY_WEIGHT };
        let slowdown = self.slowdown + weight * (measured - self.slowdown);
        self.slowdown = slowdown.clamp(1.0, MAX_SLOWDOWN);
        let later = self.open.iter().filter(|other| other.sent_at >= call.sent_at);
        let remaining: Duration = later.map(|other| other.cost).sum();
        self.idle_at = now + remaining.mul_f64(self.slowdown);
    }

    /// Records that the service has not got a call, or has refused it at once.
    pub fn record_unhandled(&mut self, key: &K) {
        if let Some(call) = self.remove(key) {
            self.idle_at = self.idle_at.saturating_sub(call.cost.mul_f64(call.slowdown));
        }
    }

    /// Records that a call was given up. The service may still handle it, and may be slower than it
    /// declares, so the next answers are waited for longer.
    pub fn record_unanswered(&mut self, key: &K, now: Duration) {
        let Some(call) = self.remove(key) else { return };
        self.slowdown = (self.slowdown * 2.0).min(MAX_SLOWDOWN);
        let remaining: Duration = self.open.iter().map(|other| other.cost).sum();
        self.idle_at = now + (call.cost + remaining).mul_f64(self.slowdown);
    }

    fn remove(&mut self, key: &K) -> Option<OpenCall<K>> {
        let position = self.open.iter().position(|call| call.key == *key)?;
        self.open.remove(position)
    }
}
