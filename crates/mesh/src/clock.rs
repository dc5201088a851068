//! Time as an interface.

use rustix::time::{ClockId, clock_gettime};
use std::time::{Duration, SystemTime};

/// Source of time.
pub trait Clock: Send + Sync {
    /// Monotonic time that also counts while the machine is suspended, so that a
    /// process that wakes sees its leases expired.
    fn now(&self) -> Duration;
    /// Time of day.
    fn wall(&self) -> SystemTime;
}

/// The clocks of the operating system.
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

/// Milliseconds since 1970.
///
/// ```
/// let at = std::time::UNIX_EPOCH + std::time::Duration::from_secs(2);
/// assert_eq!(mesh::clock::unix_ms(at), 2000);
/// ```
pub fn unix_ms(at: SystemTime) -> u64 {
    at.duration_since(SystemTime::UNIX_EPOCH).map_or(0, |since| since.as_millis() as u64)
}
