//! Whether a copy of a running unit pays.
//!
//! Answers workers that are slow or silent with work on them, which holds up whole jobs.

use std::time::Duration;

/// Least saving for which a copy is started, as a part of the unit's expected run time.
const MIN_SAVING: f64 = 0.5;
/// Most copies for each worker of a pool that may get work, on average. It leaves most of a worker to
/// work that arrives meanwhile.
const COPIES_PER_WORKER: usize = 2;

/// Why a run is expected to end late.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Cause {
    /// Its worker is slow; the time that it still needs at the present pace.
    Slow(Duration),
    /// Its worker is silent; the time until its lease is over, after which the unit starts anew.
    Silent(Duration),
}

/// Returns whether a copy that takes `expected` ends so much earlier that it pays.
///
/// ```
/// use sched::straggler::{Cause, pays};
/// use std::time::Duration;
/// let ms = Duration::from_millis;
/// assert!(pays(Cause::Slow(ms(3000)), ms(800)));
/// assert!(!pays(Cause::Slow(ms(1000)), ms(800)));
/// assert!(pays(Cause::Silent(ms(4000)), ms(800)));
/// assert!(!pays(Cause::Silent(ms(300)), ms(800)));
/// ```
pub fn pays(cause: Cause, expected: Duration) -> bool {
    let without = match cause {
        Cause::Slow(remaining) => remaining,
        Cause::Silent(lease_left) => lease_left + expected,
    };
    without.saturating_sub(expected) > expected.mul_f64(MIN_SAVING)
}

/// Returns how many more copies a pool may start, given its workers that may get work and its
/// copies.
///
/// ```
/// assert_eq!(sched::straggler::free_copies(4, 5), 3);
/// ```
pub fn free_copies(workers: usize, copies: usize) -> usize {
    (workers * COPIES_PER_WORKER).saturating_sub(copies)
}
