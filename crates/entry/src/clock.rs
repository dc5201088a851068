//! Clock interface, so that tests can control time.

use std::time::{Duration, Instant, SystemTime};

/// Source of monotonic and wall-clock time.
pub trait Clock: Send + Sync {
    /// Monotonic time since an arbitrary start; every timeout and interval uses it.
    fn now(&self) -> Duration;
    /// Wall-clock time, only for showing to people.
    fn wall(&self) -> SystemTime;
}

/// Clocks of the operating system.
///
/// ```
/// use entry::clock::{Clock, System};
/// let clock = System::new();
/// assert!(clock.now() <= clock.now());
/// ```
#[derive(Debug)]
pub struct System {
    start: Instant,
}

impl System {
    /// Creates a clock whose monotonic time starts at zero.
    pub fn new() -> System {
        System { start: Instant::now() }
    }
}

impl Default for System {
    fn default() -> System {
        System::new()
    }
}

impl Clock for System {
    fn now(&self) -> Duration {
        self.start.elapsed()
    }

    fn wall(&self) -> SystemTime {
        SystemTime::now()
    }
}
