//! Rates of client accounts: which jobs an account is owed service for.
//!
//! An account is owed service for `weight` jobs a second on average over the platform's window. A
//! token bucket for each account classifies its jobs in the order of their acceptance. The
//! outcome depends on nothing but the accepted jobs, so that each leader comes to the same one.

use jobs::{AccountName, UnixMs};
use std::collections::BTreeMap;
use std::time::Duration;

/// Token buckets of all accounts.
#[derive(Clone, Debug)]
pub struct Rates {
    window: Duration,
    buckets: BTreeMap<AccountName, Bucket>,
}

#[derive(Clone, Copy, Debug)]
struct Bucket {
    tokens: f64,
    filled_at: UnixMs,
}

impl Rates {
    /// Creates full buckets that hold what an account may send in `window`.
    pub fn new(window: Duration) -> Rates {
        Rates { window, buckets: BTreeMap::new() }
    }

    /// Counts a job of an account that was accepted at `at`, and returns whether it is beyond what
    /// the account is owed.
    ///
    /// ```
    /// use std::time::Duration;
    /// let mut rates = sched::rate::Rates::new(Duration::from_secs(1));
    /// let account = "a".to_string();
    /// let excess = (0..5).filter(|_| rates.record(&account, 2.0, 1_000)).count();
    /// assert_eq!(excess, 3);
    /// assert!(!rates.record(&account, 2.0, 1_500));
    /// ```
    pub fn record(&mut self, account: &AccountName, weight: f64, at: UnixMs) -> bool {
        let mut bucket = self.filled(account, weight, at);
        let is_excess = bucket.tokens < 1.0;
        if !is_excess {
            bucket.tokens -= 1.0;
        }
        self.buckets.insert(account.clone(), bucket);
        is_excess
    }

    /// Returns whether a job of an account would be beyond what the account is owed at a time.
    pub fn is_exhausted(&self, account: &AccountName, weight: f64, at: UnixMs) -> bool {
        self.filled(account, weight, at).tokens < 1.0
    }

    /// Returns the bucket of an account at a time.
    fn filled(&self, account: &AccountName, weight: f64, at: UnixMs) -> Bucket {
        // An account with any weight is owed one job at least.
        let least = if weight > 0.0 { 1.0 } else { 0.0 };
        let capacity = (weight * self.window.as_secs_f64()).max(least);
        let full = Bucket { tokens: capacity, filled_at: at };
        let bucket = self.buckets.get(account).copied().unwrap_or(full);
        let elapsed = Duration::from_millis(at.saturating_sub(bucket.filled_at));
        let tokens = (bucket.tokens + weight * elapsed.as_secs_f64()).min(capacity);
        Bucket { tokens, filled_at: bucket.filled_at.max(at) }
    }
}
