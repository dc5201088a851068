//! Time as an interface.

use std::time::{Duration, Instant, SystemTime};

/// Source of time.
pub trait Clock: Send + Sync {
    /// Monotonic time since an arbitrary start; spans are compared on it.
    fn now(&self) -> Duration;
    /// Time of day, for people only.
    fn wall(&self) -> SystemTime;
}

/// The clocks of the operating system.
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
    /// Starts the monotonic clock at zero.
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
