//! Whether a unit waits for a place near its data, or a group for one rack.
//!
//! Answers racks that many units want at once. A wait pays if the place is expected to be free
//! before the time that running near saves.

use crate::rank::scaled;
use jobs::definition::Resources;
use std::time::Duration;

/// Longest time that a step passes over places elsewhere: half of the time after which work whose
/// turn has come counts as forgotten.
pub const MAX_WAIT: Duration = Duration::from_millis(1500);

/// A near place that is not free, and what it would save.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Offer {
    /// Expected time until a near place is free; `None` if none will be.
    pub free_after: Option<Duration>,
    /// Expected run time of a unit near its data.
    pub run_time: Duration,
    /// Factor by which a unit takes longer elsewhere.
    pub far_factor: f64,
    /// How long the step has passed over places elsewhere already.
    pub waited: Duration,
    /// Time left until the step has to end for its job to be in time.
    pub time_left: Duration,
}

impl Offer {
    /// Returns whether waiting is expected to end the unit earlier than running elsewhere now.
    ///
    /// ```
    /// use sched::locality::Offer;
    /// use std::time::Duration;
    /// let offer = Offer {
    ///     free_after: Some(Duration::from_millis(400)),
    ///     run_time: Duration::from_millis(800),
    ///     far_factor: 2.0,
    ///     waited: Duration::ZERO,
    ///     time_left: Duration::from_secs(3),
    /// };
    /// assert!(offer.pays());
    /// assert!(!Offer { free_after: Some(Duration::from_millis(900)), ..offer }.pays());
    /// assert!(!Offer { waited: Duration::from_millis(500), ..offer }.pays());
    /// assert!(!Offer { free_after: None, ..offer }.pays());
    /// ```
    pub fn pays(&self) -> bool {
        let Some(free_after) = self.free_after else { return false };
        let far_time = scaled(self.run_time, self.far_factor.max(1.0));
        let gain = far_time.saturating_sub(self.run_time);
        let is_in_time_near = free_after + self.run_time <= self.time_left;
        let is_in_time_far = far_time <= self.time_left;
        self.waited + free_after < gain.min(MAX_WAIT) && (is_in_time_near || !is_in_time_far)
    }
}

/// A worker of a rack: what is free, and what its runs free when they end.
#[derive(Clone, Debug, Default)]
struct Worker {
    free: Resources,
    /// Expected times from now and resources, the earliest first.
    ends: Vec<(Duration, Resources)>,
}

/// The workers of a rack that may get work.
#[derive(Clone, Debug, Default)]
pub struct Rack {
    workers: Vec<Worker>,
}

impl Rack {
    /// Adds a worker with its free resources and the expected ends of its runs.
    pub fn add(&mut self, free: Resources, mut ends: Vec<(Duration, Resources)>) {
        ends.sort_by_key(|(after, _)| *after);
        self.workers.push(Worker { free, ends });
    }

    /// Returns the expected time until a unit fits on a worker, and takes the room for it, so that
    /// the next unit is given a later one; `None` if it will not fit.
    ///
    /// ```
    /// use jobs::definition::Resources;
    /// use std::time::Duration;
    /// let cpu = |cpu_milli| Resources { cpu_milli, ..Resources::default() };
    /// let mut rack = sched::locality::Rack::default();
    /// let after = Duration::from_millis;
    /// rack.add(cpu(500), vec![(after(300), cpu(1000)), (after(100), cpu(500))]);
    /// assert_eq!(rack.take(&cpu(1000)), Some(after(100)));
    /// assert_eq!(rack.take(&cpu(1000)), Some(after(300)));
    /// assert_eq!(rack.take(&cpu(1000)), None);
    /// ```
    pub fn take(&mut self, unit: &Resources) -> Option<Duration> {
        let first =
            self.workers.iter_mut().filter_map(|worker| Some((worker.fits_after(unit)?, worker)));
        let (after, worker) = first.min_by_key(|(after, _)| *after)?;
        worker.advance(after);
        worker.free = worker.free.minus(unit);
        Some(after)
    }

    /// Returns the expected time until as many units fit at the same time; `None` if they will not.
    ///
    /// ```
    /// use jobs::definition::Resources;
    /// use std::time::Duration;
    /// let cpu = |cpu_milli| Resources { cpu_milli, ..Resources::default() };
    /// let mut rack = sched::locality::Rack::default();
    /// rack.add(cpu(1000), vec![(Duration::from_millis(300), cpu(1000))]);
    /// rack.add(cpu(1500), Vec::new());
    /// assert_eq!(rack.group_fits_after(&cpu(1000), 2), Some(Duration::ZERO));
    /// assert_eq!(rack.group_fits_after(&cpu(1000), 3), Some(Duration::from_millis(300)));
    /// assert_eq!(rack.group_fits_after(&cpu(1000), 4), None);
    /// ```
    pub fn group_fits_after(&self, unit: &Resources, count: usize) -> Option<Duration> {
        let mut workers = self.workers.clone();
        let ends = workers.iter().flat_map(|worker| &worker.ends).map(|(after, _)| *after);
        let mut times: Vec<Duration> = std::iter::once(Duration::ZERO).chain(ends).collect();
        times.sort();
        times.dedup();
        times.into_iter().find(|after| {
            workers.iter_mut().for_each(|worker| worker.advance(*after));
            workers.iter().map(|worker| units_that_fit(&worker.free, unit)).sum::<usize>() >= count
        })
    }
}

impl Worker {
    fn fits_after(&self, unit: &Resources) -> Option<Duration> {
        let mut free = self.free;
        if free.covers(unit) {
            return Some(Duration::ZERO);
        }
        self.ends.iter().find_map(|(after, freed)| {
            free = free.plus(freed);
            free.covers(unit).then_some(*after)
        })
    }

    /// Frees what ends within a time.
    fn advance(&mut self, after: Duration) {
        let ended = self.ends.iter().take_while(|(end, _)| *end <= after).count();
        for (_, freed) in self.ends.drain(..ended) {
            self.free = self.free.plus(&freed);
        }
    }
}

/// Returns how many units fit into free resources.
fn units_that_fit(free: &Resources, unit: &Resources) -> usize {
    let fits = |free: u64, unit: u64| free.checked_div(unit).map_or(usize::MAX, |n| n as usize);
    fits(free.cpu_milli, unit.cpu_milli)
        .min(fits(free.memory_mb, unit.memory_mb))
        .min(fits(free.accelerators, unit.accelerators))
        .min(1 << 20) // a unit may need nothing
}

/// Returns the expected time until a run ends, from its progress or else from its expected run
/// time. A run that has gone on for longer than expected is expected to need half of its time so
/// far once more.
///
/// ```
/// use std::time::Duration;
/// let ms = Duration::from_millis;
/// assert_eq!(sched::locality::remaining(ms(300), 75, ms(900)), ms(100));
/// assert_eq!(sched::locality::remaining(ms(300), 0, ms(900)), ms(600));
/// assert_eq!(sched::locality::remaining(ms(1000), 0, ms(900)), ms(500));
/// ```
pub fn remaining(elapsed: Duration, percent: u32, expected: Duration) -> Duration {
    if percent > 0 {
        let left = f64::from(100 - percent.min(100));
        return scaled(elapsed, left / f64::from(percent));
    }
    expected.checked_sub(elapsed).filter(|left| !left.is_zero()).unwrap_or(elapsed / 2)
}
