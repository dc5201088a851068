//! Leases on a worker's clock, and when they are over for certain.

use std::time::Duration;

/// Part by which a worker's clock may be slow.
const CLOCK_DRIFT: f64 = 0.02;
/// Added to the end of a lease for the time that a kill takes to be carried out.
const END_MARGIN: Duration = Duration::from_millis(150);

/// A reading of a worker's clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Sample {
    /// What the worker's clock showed, in its milliseconds.
    pub clock_ms: u64,
    /// When the answer that carried it arrived.
    pub received: Duration,
}

/// Time for which a worker may run what it holds.
#[derive(Clone, Debug, Default)]
pub struct Lease {
    sample: Option<Sample>,
    expiry: Option<Duration>,
}

impl Lease {
    /// A lease that an earlier leader may have given, of at most `span`.
    ///
    /// ```
    /// use std::time::Duration;
    /// let lease = sched::lease::Lease::inherited(Duration::from_secs(1), Duration::from_secs(10));
    /// assert!(!lease.is_expired(Duration::from_secs(11)));
    /// assert!(lease.is_expired(Duration::from_secs(12)));
    /// ```
    pub fn inherited(now: Duration, span: Duration) -> Lease {
        Lease { sample: None, expiry: Some(now + stretched(span)) }
    }

    /// Takes in a reading of the worker's clock.
    pub fn record_clock(&mut self, sample: Sample) {
        self.sample = Some(sample);
    }

    /// Clock value until which the worker may run what it holds, when told now.
    /// Nothing before its clock was read.
    pub fn extend(&mut self, now: Duration, span: Duration) -> Option<u64> {
        let sample = self.sample?;
        let age = now.saturating_sub(sample.received);
        let expires = sample.clock_ms + (age + span).as_millis() as u64;
        let end = sample.received + stretched(age + span);
        self.expiry = self.expiry.max(Some(end));
        Some(expires)
    }

    /// Whether nothing that was given can hold any more.
    pub fn is_expired(&self, now: Duration) -> bool {
        self.expiry.is_none_or(|expiry| now > expiry)
    }

    /// When the last lease given is over for certain.
    pub fn expiry(&self) -> Option<Duration> {
        self.expiry
    }
}

fn stretched(span: Duration) -> Duration {
    span.mul_f64(1.0 / (1.0 - CLOCK_DRIFT)) + END_MARGIN
}
