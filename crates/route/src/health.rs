//! Health of one target as one entry observes it. An adaptive limit bounds the
//! concurrent requests: it falls when the target reports overload and grows with
//! successes. Repeated failures put the target into quarantine, which ends with the
//! next successful request, usually a probe.

use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::time::Duration;

/// Consecutive failures that put a target into quarantine.
const FAILURES_BEFORE_QUARANTINE: u32 = 5;
const FIRST_QUARANTINE: Duration = Duration::from_secs(1);
const MAX_QUARANTINE: Duration = Duration::from_secs(30);
/// The limit is stored in thousandths of a request, so that it can grow in fractions.
const SCALE: u32 = 1000;

/// Requests that may be sent to a target now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Allowance {
    /// Requests up to the limit.
    Open,
    /// One request, which shows whether the target has recovered.
    Probe,
    /// No requests.
    Closed,
}

/// Health of one target.
///
/// ```
/// use route::health::{Allowance, Health};
/// use std::time::Duration;
/// let health = Health::new(4);
/// let now = Duration::from_secs(100);
/// (0..5).for_each(|_| health.record_failure(now));
/// assert_eq!(health.allowance(now), Allowance::Closed);
/// let later = now + Duration::from_secs(2);
/// assert_eq!(health.allowance(later), Allowance::Probe);
/// health.record_success();
/// assert_eq!(health.allowance(later), Allowance::Open);
/// ```
#[derive(Debug)]
pub struct Health {
    /// Failures since the last success or the start of the last quarantine.
    failures: AtomicU32,
    /// End of the quarantine in milliseconds; 0 when there is none.
    quarantine_until_ms: AtomicU64,
    /// Quarantines since the last success.
    quarantines: AtomicU32,
    /// Whether a probe request is in flight.
    probing: AtomicBool,
    /// Adaptive limit, in thousandths of a request.
    limit: AtomicU32,
    /// Upper bound of the limit, in requests.
    max_limit: AtomicU32,
}

impl Health {
    /// Creates the health of a target that is not in quarantine and may have `max_limit`
    /// concurrent requests.
    pub fn new(max_limit: u32) -> Health {
        Health {
            failures: AtomicU32::new(0),
            quarantine_until_ms: AtomicU64::new(0),
            quarantines: AtomicU32::new(0),
            probing: AtomicBool::new(false),
            limit: AtomicU32::new(max_limit.max(1).saturating_mul(SCALE)),
            max_limit: AtomicU32::new(max_limit.max(1)),
        }
    }

    /// Sets the upper bound of the limit, in requests. A changed bound also resets the
    /// adaptive limit to it.
    pub fn set_max_limit(&self, max_limit: u32) {
        let max_limit = max_limit.max(1);
        if self.max_limit.swap(max_limit, Ordering::AcqRel) == max_limit {
            return;
        }
        self.limit.store(max_limit.saturating_mul(SCALE), Ordering::Release);
    }

    /// Returns the number of requests that the target may have at once, at least 1.
    pub fn limit(&self) -> u32 {
        (self.limit.load(Ordering::Acquire) / SCALE).max(1)
    }

    /// Returns which requests may be sent to the target at `now`.
    pub fn allowance(&self, now: Duration) -> Allowance {
        let quarantine_until_ms = self.quarantine_until_ms.load(Ordering::Acquire);
        if quarantine_until_ms == 0 {
            Allowance::Open
        } else if now.as_millis() as u64 >= quarantine_until_ms
            && !self.probing.load(Ordering::Acquire)
        {
            Allowance::Probe
        } else {
            Allowance::Closed
        }
    }

    /// Returns whether the target is in quarantine. A quarantine whose time has passed
    /// lasts until a request succeeds.
    pub fn is_quarantined(&self) -> bool {
        self.quarantine_until_ms.load(Ordering::Acquire) != 0
    }

    /// Returns the number of quarantines since the last success.
    pub fn quarantines(&self) -> u32 {
        self.quarantines.load(Ordering::Acquire)
    }

    /// Reserves the probe. Returns false if one is in flight already.
    pub fn begin_probe(&self) -> bool {
        !self.probing.swap(true, Ordering::AcqRel)
    }

    /// Releases a reserved probe that was not sent.
    pub fn cancel_probe(&self) {
        self.probing.store(false, Ordering::Release);
    }

    /// Records a complete response: ends the quarantine and raises the limit by about
    /// one request for each full limit of successes.
    pub fn record_success(&self) {
        self.failures.store(0, Ordering::Release);
        self.quarantine_until_ms.store(0, Ordering::Release);
        self.quarantines.store(0, Ordering::Release);
        self.probing.store(false, Ordering::Release);
        let max_limit = self.max_limit.load(Ordering::Acquire).saturating_mul(SCALE);
        let grow =
            |limit: u32| Some(limit.saturating_add(SCALE * SCALE / limit.max(1)).min(max_limit));
        let _ = self.limit.fetch_update(Ordering::AcqRel, Ordering::Acquire, grow);
    }

    /// Records that the target refused a request because it is overloaded: lowers the
    /// limit by 30 %, to no less than one request. Does not end a quarantine.
    pub fn record_overload(&self) {
        self.probing.store(false, Ordering::Release);
        let shrink = |limit: u32| Some((limit / 10 * 7).max(SCALE));
        let _ = self.limit.fetch_update(Ordering::AcqRel, Ordering::Acquire, shrink);
    }

    /// Records a lost or failed request. Any failure while a probe is in flight, or
    /// `FAILURES_BEFORE_QUARANTINE` consecutive ones, start a quarantine. Its duration
    /// doubles with each quarantine since the last success, up to `MAX_QUARANTINE`.
    pub fn record_failure(&self, now: Duration) {
        let was_probe = self.probing.swap(false, Ordering::AcqRel);
        let failures = self.failures.fetch_add(1, Ordering::AcqRel) + 1;
        if !was_probe && failures < FAILURES_BEFORE_QUARANTINE {
            return;
        }
        self.failures.store(0, Ordering::Release);
        // 5 doublings already exceed MAX_QUARANTINE; the bound keeps the shift from overflowing.
        let doublings = self.quarantines.fetch_add(1, Ordering::AcqRel).min(5);
        let duration = (FIRST_QUARANTINE * (1 << doublings)).min(MAX_QUARANTINE);
        self.quarantine_until_ms.store((now + duration).as_millis() as u64, Ordering::Release);
    }
}
