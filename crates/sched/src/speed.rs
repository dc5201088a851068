//! How slow a worker is at present, by the run times of several units.

use crate::rank::scaled;
use std::collections::VecDeque;
use std::time::Duration;

/// Time after which an ended run no longer counts. Slow spells last some seconds.
const MEMORY: Duration = Duration::from_secs(3);
/// Most ended runs that are kept.
const MAX_SAMPLES: usize = 8;
/// Fewest runs that show a worker's speed: declared times of single units are far off.
const MIN_RATIOS: usize = 3;
/// Factor from which on a worker counts as slow.
const SLOW_FACTOR: f64 = 2.0;
/// Least progress in percent from which a run's whole duration is projected.
const MIN_PERCENT: u32 = 5;

/// Ratios of actual to expected run times on a worker.
#[derive(Clone, Debug, Default)]
pub struct Speed {
    ended: VecDeque<(Duration, f64)>,
}

impl Speed {
    /// Records a run that ended at `now`.
    pub fn record(&mut self, now: Duration, actual: Duration, expected: Duration) {
        if let Some(ratio) = ratio(actual, expected) {
            if self.ended.len() == MAX_SAMPLES {
                self.ended.pop_front();
            }
            self.ended.push_back((now, ratio));
        }
    }

    /// Returns the factor by which the worker is slower than expected, by its recent runs and the
    /// ratios of those under way; 1 if they are too few to tell.
    ///
    /// ```
    /// use std::time::Duration;
    /// let mut speed = sched::speed::Speed::default();
    /// let now = Duration::from_secs(10);
    /// let second = Duration::from_secs(1);
    /// speed.record(now, 5 * second, second);
    /// assert_eq!(speed.factor(now, [4.0]), 1.0, "two runs don't tell");
    /// assert_eq!(speed.factor(now, [4.0, 0.5]), 4.0);
    /// assert_eq!(speed.factor(now + 4 * second, [4.0, 0.5]), 1.0, "the first is forgotten");
    /// ```
    pub fn factor(&self, now: Duration, under_way: impl IntoIterator<Item = f64>) -> f64 {
        let ended = self.ended.iter().filter(|(at, _)| now < *at + MEMORY).map(|(_, ratio)| *ratio);
        let mut ratios: Vec<f64> = ended.chain(under_way).collect();
        if ratios.len() < MIN_RATIOS {
            return 1.0;
        }
        ratios.sort_by(f64::total_cmp);
        ratios[ratios.len() / 2]
    }
}

/// Returns whether a worker with this factor counts as slow.
pub fn is_slow(factor: f64) -> bool {
    factor >= SLOW_FACTOR
}

/// Returns the ratio of the projected to the expected run time of a run that has made this progress;
/// `None` while it has made too little to tell.
pub fn projected_ratio(elapsed: Duration, percent: u32, expected: Duration) -> Option<f64> {
    if percent < MIN_PERCENT {
        return ratio(elapsed, expected).filter(|ratio| *ratio >= SLOW_FACTOR);
    }
    ratio(scaled(elapsed, 100.0 / f64::from(percent)), expected)
}

fn ratio(actual: Duration, expected: Duration) -> Option<f64> {
    (!expected.is_zero()).then(|| actual.as_secs_f64() / expected.as_secs_f64())
}
