//! Retry budget: a token bucket that allows ten retries at first, and then one for every
//! ten requests.

use std::sync::atomic::{AtomicI64, Ordering};

const TOKENS_PER_RETRY: i64 = 10;
const MAX_TOKENS: i64 = 100;

/// Maximum number of attempts for one request, including the first.
pub const MAX_ATTEMPTS: usize = 3;

/// Token bucket: each request adds one token, each retry takes ten.
///
/// ```
/// let budget = route::retry::Budget::new();
/// assert!((0..10).all(|_| budget.try_withdraw()), "a full bucket allows ten retries");
/// assert!(!budget.try_withdraw());
/// (0..10).for_each(|_| budget.deposit());
/// assert!(budget.try_withdraw());
/// ```
#[derive(Debug)]
pub struct Budget {
    tokens: AtomicI64,
}

impl Budget {
    /// Creates a full bucket.
    pub fn new() -> Budget {
        Budget { tokens: AtomicI64::new(MAX_TOKENS) }
    }

    /// Adds the token of one request, up to the capacity of the bucket.
    pub fn deposit(&self) {
        let add = |tokens: i64| Some((tokens + 1).min(MAX_TOKENS));
        let _ = self.tokens.fetch_update(Ordering::Relaxed, Ordering::Relaxed, add);
    }

    /// Takes the tokens of one retry. Returns false, and takes none, if there are too few.
    pub fn try_withdraw(&self) -> bool {
        let spend = |tokens: i64| (tokens >= TOKENS_PER_RETRY).then(|| tokens - TOKENS_PER_RETRY);
        self.tokens.fetch_update(Ordering::Relaxed, Ordering::Relaxed, spend).is_ok()
    }
}

impl Default for Budget {
    fn default() -> Budget {
        Budget::new()
    }
}
