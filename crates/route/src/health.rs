//! Health of one target as one entry sees it: how many requests it may have at
//! once, and whether it is in quarantine.

use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::time::Duration;

/// Failures in a row that send a target into quarantine.
const FAILURES: u32 = 5;
const FIRST_QUARANTINE: Duration = Duration::from_secs(1);
const LONGEST_QUARANTINE: Duration = Duration::from_secs(30);
/// The limit is kept in thousandths of a request.
const SCALE: u32 = 1000;

/// What a target may be given now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Allowance {
    /// Requests up to its limit.
    Open,
    /// One request that shows whether it has recovered.
    Probe,
    /// Nothing.
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
    failures: AtomicU32,
    /// End of the quarantine in milliseconds; 0 when there is none.
    until: AtomicU64,
    /// Quarantines in a row.
    quarantines: AtomicU32,
    probing: AtomicBool,
    limit: AtomicU32,
    max_limit: AtomicU32,
}

impl Health {
    /// A healthy target that may have `max_limit` requests at once.
    pub fn new(max_limit: u32) -> Health {
        Health {
            failures: AtomicU32::new(0),
            until: AtomicU64::new(0),
            quarantines: AtomicU32::new(0),
            probing: AtomicBool::new(false),
            limit: AtomicU32::new(max_limit.max(1).saturating_mul(SCALE)),
            max_limit: AtomicU32::new(max_limit.max(1)),
        }
    }

    /// Takes in another declared share; the adapted limit stays below it.
    pub fn set_max_limit(&self, max_limit: u32) {
        let max_limit = max_limit.max(1);
        if self.max_limit.swap(max_limit, Ordering::AcqRel) == max_limit {
            return;
        }
        self.limit.store(max_limit.saturating_mul(SCALE), Ordering::Release);
    }

    /// Requests that the target may have at once.
    pub fn limit(&self) -> u32 {
        (self.limit.load(Ordering::Acquire) / SCALE).max(1)
    }

    /// What the target may be given now.
    pub fn allowance(&self, now: Duration) -> Allowance {
        let until = self.until.load(Ordering::Acquire);
        if until == 0 {
            Allowance::Open
        } else if now.as_millis() as u64 >= until && !self.probing.load(Ordering::Acquire) {
            Allowance::Probe
        } else {
            Allowance::Closed
        }
    }

    /// Whether the target is in quarantine, waiting for a probe included.
    pub fn is_quarantined(&self) -> bool {
        self.until.load(Ordering::Acquire) != 0
    }

    /// Quarantines in a row without an answer between them.
    pub fn quarantines(&self) -> u32 {
        self.quarantines.load(Ordering::Acquire)
    }

    /// Takes the right to the one probe.
    pub fn begin_probe(&self) -> bool {
        !self.probing.swap(true, Ordering::AcqRel)
    }

    /// Gives the right to the probe back unused.
    pub fn cancel_probe(&self) {
        self.probing.store(false, Ordering::Release);
    }

    /// Takes in a whole answer.
    pub fn record_success(&self) {
        self.failures.store(0, Ordering::Release);
        self.until.store(0, Ordering::Release);
        self.quarantines.store(0, Ordering::Release);
        self.probing.store(false, Ordering::Release);
        let max_limit = self.max_limit.load(Ordering::Acquire).saturating_mul(SCALE);
        let grow =
            |limit: u32| Some(limit.saturating_add(SCALE * SCALE / limit.max(1)).min(max_limit));
        let _ = self.limit.fetch_update(Ordering::AcqRel, Ordering::Acquire, grow);
    }

    /// Takes in that the target refused a request it could not take.
    pub fn record_overload(&self) {
        self.probing.store(false, Ordering::Release);
        let shrink = |limit: u32| Some((limit / 10 * 7).max(SCALE));
        let _ = self.limit.fetch_update(Ordering::AcqRel, Ordering::Acquire, shrink);
    }

    /// Takes in a lost or failed request.
    pub fn record_failure(&self, now: Duration) {
        let probed = self.probing.swap(false, Ordering::AcqRel);
        let failures = self.failures.fetch_add(1, Ordering::AcqRel) + 1;
        if !probed && failures < FAILURES {
            return;
        }
        self.failures.store(0, Ordering::Release);
        let before = self.quarantines.fetch_add(1, Ordering::AcqRel).min(5);
        let span = (FIRST_QUARANTINE * (1 << before)).min(LONGEST_QUARANTINE);
        self.until.store((now + span).as_millis() as u64, Ordering::Release);
    }
}
