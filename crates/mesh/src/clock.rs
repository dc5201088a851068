//! The clock interface; tests supply their own time through it.

use rustix::time::{ClockId, clock_gettime};
use std::time::{Duration, SystemTime};

/// A source of monotonic time and of wall-clock time.
pub trait Clock: Send + Sync {
    /// Returns monotonic time that also advances while the instance is suspended, so
    /// that a process sees after a suspension that its leases have expired.
    fn now(&self) -> Duration;
    /// Returns the wall-clock time.
    fn wall(&self) -> SystemTime;
}

/// The clocks of the operating system: `CLOCK_BOOTTIME` and the system time.
///
/// ```
/// use mesh::clock::{Clock, System};
/// assert!(System.now() <= System.now());
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct System;

impl Clock for System {
    fn now(&self) -> Duration {
        let time = clock_gettime(ClockId::Boottime);
        Duration::new(time.tv_sec.unsigned_abs(), time.tv_nsec.unsigned_abs() as u32)
    }

    fn wall(&self) -> SystemTime {
        SystemTime::now()
    }
}

/// Returns the milliseconds since the Unix epoch, or 0 for a time before it.
///
/// ```
/// let at = std::time::UNIX_EPOCH + std::time::Duration::from_secs(2);
/// assert_eq!(mesh::clock::unix_ms(at), 2000);
/// ```
pub fn unix_ms(at: SystemTime) -> u64 {
    at.duration_since(SystemTime::UNIX_EPOCH).map_or(0, |since| since.as_millis() as u64)
}
