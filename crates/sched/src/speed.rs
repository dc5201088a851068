//! How slow a worker is at present, by the run times of several steps' units.

use crate::rank::scaled;
use jobs::StepKey;
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// Time after which an ended run no longer counts. Slow spells last some seconds.
const MEMORY: Duration = Duration::from_secs(3);
/// Most ended runs that are kept.
const MAX_SAMPLES: usize = 24;
/// Fewest steps whose units show a worker's speed. The declared time of a step may be far off, and
/// for all of its units alike; single units may be long by themselves.
const MIN_STEPS: usize = 3;
/// Factor from which on a worker counts as slow.
const SLOW_FACTOR: f64 = 2.5;
/// Least progress in percent from which a run's whole duration is projected.
const MIN_PERCENT: u32 = 5;

/// Ratios of actual to expected run times on a worker.
#[derive(Clone, Debug, Default)]
pub struct Speed {
    ended: VecDeque<(Duration, StepKey, f64)>,
}

impl Speed {
    /// Records a run of a step that ended at `now`.
    pub fn record(&mut self, now: Duration, step: StepKey, actual: Duration, expected: Duration) {
        if let Some(ratio) = ratio(actual, expected) {
            if self.ended.len() == MAX_SAMPLES {
                self.ended.pop_front();
            }
            self.ended.push_back((now, step, ratio));
        }
    }

    /// Returns the factor by which the worker is slower than expected: the median over steps of
    /// the mean ratio of their units, of recent runs and those under way; 1 if they are of too few
    /// steps to tell.
    ///
    /// ```
    /// use jobs::StepKey;
    /// use std::time::Duration;
    /// let step = |job| StepKey { job, occurrence: 0, step: 0 };
    /// let (now, second) = (Duration::from_secs(10), Duration::from_secs(1));
    /// let mut speed = sched::speed::Speed::default();
    /// speed.record(now, step(1), 5 * second, second);
    /// assert_eq!(speed.factor(now, [(step(1), 9.0), (step(2), 9.0)]), 1.0, "two steps don't tell");
    /// let under_way = [(step(2), 4.0), (step(3), 0.5)];
    /// assert_eq!(speed.factor(now, under_way), 4.0);
    /// assert_eq!(speed.factor(now + 4 * second, under_way), 1.0, "the first is forgotten");
    /// ```
    pub fn factor(
        &self,
        now: Duration,
        under_way: impl IntoIterator<Item = (StepKey, f64)>,
    ) -> f64 {
        let ended = self.ended.iter().filter(|(at, ..)| now < *at + MEMORY);
        let ended = ended.map(|(_, step, ratio)| (*step, *ratio));
        let mut sums: BTreeMap<StepKey, (f64, f64)> = BTreeMap::new();
        for (step, ratio) in ended.chain(under_way) {
            let (sum, count) = sums.entry(step).or_default();
            *sum += ratio;
            *count += 1.0;
        }
        if sums.len() < MIN_STEPS {
            return 1.0;
        }
        let mut means: Vec<f64> = sums.values().map(|(sum, count)| sum / count).collect();
        means.sort_by(f64::total_cmp);
        means[(means.len() - 1) / 2]
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
