//! Leases under which workers run units, measured on the worker's clock.
//!
//! The leader places a unit elsewhere only after the lease has certainly expired,
//! even if the worker's clock runs slow.

use std::time::Duration;

/// Fraction by which a worker's clock may run slow.
const CLOCK_DRIFT: f64 = 0.02;
/// Time that a worker may need to kill its runs after a lease has expired.
const KILL_MARGIN: Duration = Duration::from_millis(150);

/// Longest time for which an answer that carries a reading may have been under way. Answers
/// overtake each other.
const MAX_READING_AGE: Duration = Duration::from_secs(2);

/// A reading of a worker's clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClockReading {
    /// Value of the worker's clock in milliseconds.
    pub clock_ms: u64,
    /// When the answer that carried the value arrived, on the leader's clock.
    pub received_at: Duration,
}

/// Whose clock a reading shows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Origin {
    /// The clock that was read last.
    Same,
    /// The clock of another incarnation.
    Other,
    /// Both are possible.
    Unknown,
}

/// Time for which a worker may keep running its runs.
#[derive(Clone, Debug, Default)]
pub struct Lease {
    reading: Option<ClockReading>,
    expiry: Option<Duration>,
}

impl Lease {
    /// Creates a lease that an earlier leader may have granted, of at most `duration`.
    ///
    /// ```
    /// use std::time::Duration;
    /// let lease = sched::lease::Lease::inherited(Duration::from_secs(1), Duration::from_secs(10));
    /// assert!(!lease.is_expired(Duration::from_secs(11)));
    /// assert!(lease.is_expired(Duration::from_secs(12)));
    /// ```
    pub fn inherited(now: Duration, duration: Duration) -> Lease {
        Lease { reading: None, expiry: Some(now + with_margins(duration)) }
    }

    /// Records a reading of the worker's clock.
    pub fn record_clock(&mut self, reading: ClockReading) {
        self.reading = Some(reading);
    }

    /// Compares a reading of a clock that arrives at `now` with the worker's clock. The clock of
    /// another incarnation starts anew.
    ///
    /// ```
    /// use sched::lease::{ClockReading, Lease, Origin};
    /// use std::time::Duration;
    /// let mut lease = Lease::default();
    /// lease.record_clock(ClockReading { clock_ms: 60_000, received_at: Duration::from_secs(5) });
    /// assert_eq!(lease.origin_of(Duration::from_secs(6), 61_000), Origin::Same);
    /// assert_eq!(lease.origin_of(Duration::from_secs(6), 59_900), Origin::Same); // overtaken
    /// assert_eq!(lease.origin_of(Duration::from_secs(6), 500), Origin::Other);
    /// ```
    pub fn origin_of(&self, now: Duration, clock_ms: u64) -> Origin {
        let Some(reading) = self.reading else { return Origin::Unknown };
        let elapsed = now.saturating_sub(reading.received_at).mul_f64(1.0 + CLOCK_DRIFT);
        let longest_ms = (elapsed + MAX_READING_AGE).as_millis() as u64;
        let earliest_ms = reading.clock_ms.saturating_sub(MAX_READING_AGE.as_millis() as u64);
        if !(earliest_ms..=reading.clock_ms.saturating_add(longest_ms)).contains(&clock_ms) {
            Origin::Other
        } else if clock_ms > longest_ms {
            Origin::Same // one that started since the last reading shows less
        } else {
            Origin::Unknown
        }
    }

    /// Extends the lease to `duration` from now and returns its end on the worker's
    /// clock in milliseconds; `None` before the first reading of that clock.
    pub fn extend(&mut self, now: Duration, duration: Duration) -> Option<u64> {
        let reading = self.reading?;
        let age = now.saturating_sub(reading.received_at);
        let lease_end_ms = reading.clock_ms.saturating_add((age + duration).as_millis() as u64);
        let certain_expiry = reading.received_at + with_margins(age + duration);
        self.expiry = self.expiry.max(Some(certain_expiry));
        Some(lease_end_ms)
    }

    /// Returns whether every lease that was granted has certainly expired.
    pub fn is_expired(&self, now: Duration) -> bool {
        self.expiry.is_none_or(|expiry| now > expiry)
    }

    /// Returns when the last granted lease has certainly expired; `None` if none was
    /// granted.
    pub fn expiry(&self) -> Option<Duration> {
        self.expiry
    }
}

/// Returns the longest real time that `duration` on a worker's clock can last, with
/// the margin for the kill.
fn with_margins(duration: Duration) -> Duration {
    duration.mul_f64(1.0 / (1.0 - CLOCK_DRIFT)) + KILL_MARGIN
}
