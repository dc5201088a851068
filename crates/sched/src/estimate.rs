//! Estimates of unit run times, corrected per queue by the runs that ended.

use crate::rank::scaled;
use jobs::QueueName;
use std::collections::BTreeMap;
use std::time::Duration;

/// Weight of one run in the moving average, which covers about 20 runs.
const SAMPLE_WEIGHT: f64 = 0.05;
/// Upper limit for the ratio of one run. Declared times are off by about half; larger ratios
/// are outliers.
const MAX_RATIO: f64 = 4.0;

/// Moving average of the ratio of actual to declared run time for each queue.
#[derive(Clone, Debug, Default)]
pub struct Estimator {
    ratios: BTreeMap<QueueName, f64>,
}

impl Estimator {
    /// Records the actual run time of a unit that ran near its data from start to end.
    /// A declared time of 0 is ignored.
    ///
    /// ```
    /// use std::time::Duration;
    /// let mut estimator = sched::estimate::Estimator::default();
    /// let declared = Duration::from_secs(1);
    /// for _ in 0..200 {
    ///     estimator.record(&"q".to_string(), declared, Duration::from_secs(2));
    /// }
    /// assert!(estimator.expected(&"q".to_string(), declared) > Duration::from_millis(1900));
    /// ```
    pub fn record(&mut self, queue: &QueueName, declared: Duration, actual: Duration) {
        if declared.is_zero() {
            return;
        }
        let sample = (actual.as_secs_f64() / declared.as_secs_f64()).min(MAX_RATIO);
        let ratio = self.ratios.entry(queue.clone()).or_insert(1.0);
        *ratio += SAMPLE_WEIGHT * (sample - *ratio);
    }

    /// Returns the expected run time of a unit of a queue; the declared one if no run of
    /// the queue was recorded.
    pub fn expected(&self, queue: &QueueName, declared: Duration) -> Duration {
        scaled(declared, self.ratio(queue))
    }

    /// Returns the ratio of expected to declared run time for a queue; 1 if no run of the queue was
    /// recorded.
    pub fn ratio(&self, queue: &QueueName) -> f64 {
        self.ratios.get(queue).copied().unwrap_or(1.0)
    }
}
