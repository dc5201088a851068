//! How long units take, learnt from the ones that ended.

use jobs::QueueName;
use std::collections::BTreeMap;
use std::time::Duration;

/// Weight of one end in the running mean; a mean over about twenty.
const WEIGHT: f64 = 0.05;
/// Declared times are off by half or so; further out counts as an outlier.
const MAX_RATIO: f64 = 4.0;

/// Ratio of real to declared run times for each queue.
#[derive(Clone, Debug, Default)]
pub struct Estimator {
    ratios: BTreeMap<QueueName, f64>,
}

impl Estimator {
    /// Takes in the run time of a unit that was near its data from start to end.
    ///
    /// ```
    /// use std::time::Duration;
    /// let mut estimate = sched::estimate::Estimator::default();
    /// let declared = Duration::from_secs(1);
    /// for _ in 0..200 {
    ///     estimate.record(&"q".to_string(), declared, Duration::from_secs(2));
    /// }
    /// assert!(estimate.expected(&"q".to_string(), declared) > Duration::from_millis(1900));
    /// ```
    pub fn record(&mut self, queue: &QueueName, declared: Duration, real: Duration) {
        if declared.is_zero() {
            return;
        }
        let seen = (real.as_secs_f64() / declared.as_secs_f64()).min(MAX_RATIO);
        let ratio = self.ratios.entry(queue.clone()).or_insert(1.0);
        *ratio += WEIGHT * (seen - *ratio);
    }

    /// Expected run time of a unit.
    pub fn expected(&self, queue: &QueueName, declared: Duration) -> Duration {
        declared.mul_f64(self.ratios.get(queue).copied().unwrap_or(1.0))
    }
}
