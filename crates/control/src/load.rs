//! Load of the core's thread: how long inputs wait, and what the thread spends its time on.
//!
//! Tells an overloaded thread from one that waits for its disk: both make inputs wait, but
//! only the first uses processor time meanwhile.

use log::warn;
use std::time::Duration;

/// Time between two evaluations of the load.
const WINDOW: Duration = Duration::from_secs(1);
/// Wait of an input above which the thread counts as behind. It is far above the time of a
/// sync of the disk, and below what a client notices.
const MAX_WAIT: Duration = Duration::from_millis(250);

/// Clock readings of the core's thread.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Reading {
    /// Monotonic time.
    pub now: Duration,
    /// Processor time that the whole process has used so far.
    pub process_time: Duration,
}

/// What the thread did in one window.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Window {
    /// Length of the window.
    pub duration: Duration,
    /// Processor time that the whole process used.
    pub process_time: Duration,
    /// Time spent in writes and syncs of the disk.
    pub disk_time: Duration,
    /// Number of inputs that were handled.
    pub inputs: u64,
    /// Longest wait of an input.
    pub longest_wait: Duration,
}

/// Collects the load of the core's thread.
///
/// ```
/// use control::load::{Meter, Reading};
/// use std::time::Duration;
/// let mut meter = Meter::new(Reading::default());
/// meter.record_input(Duration::from_millis(3));
/// let later = Reading { now: Duration::from_secs(2), ..Reading::default() };
/// assert_eq!(meter.end_window(later).unwrap().inputs, 1);
/// ```
#[derive(Clone, Debug)]
pub struct Meter {
    started: Reading,
    window: Window,
}

impl Meter {
    /// Starts the first window.
    pub fn new(started: Reading) -> Meter {
        Meter { started, window: Window::default() }
    }

    /// Records an input and how long it waited.
    pub fn record_input(&mut self, wait: Duration) {
        self.window.inputs += 1;
        self.window.longest_wait = self.window.longest_wait.max(wait);
    }

    /// Records time spent in writes and syncs of the disk.
    pub fn record_disk_time(&mut self, time: Duration) {
        self.window.disk_time += time;
    }

    /// Ends the window if it is long enough, and starts the next one.
    pub fn end_window(&mut self, reading: Reading) -> Option<Window> {
        let duration = reading.now.saturating_sub(self.started.now);
        if duration < WINDOW {
            return None;
        }
        let process_time = reading.process_time.saturating_sub(self.started.process_time);
        self.started = reading;
        Some(Window { duration, process_time, ..std::mem::take(&mut self.window) })
    }
}

impl Window {
    /// Returns whether inputs waited too long.
    pub fn is_behind(&self) -> bool {
        self.longest_wait > MAX_WAIT
    }

    /// Returns the share of a processor that the process used.
    pub fn process_share(&self) -> f64 {
        self.process_time.as_secs_f64() / self.duration.as_secs_f64().max(f64::MIN_POSITIVE)
    }

    /// Publishes the metrics of the window, and logs a line if inputs waited too long.
    pub fn publish(&self) {
        let disk_share =
            self.disk_time.as_secs_f64() / self.duration.as_secs_f64().max(f64::MIN_POSITIVE);
        metrics::gauge!("process_processor_share").set(self.process_share());
        metrics::gauge!("core_disk_share").set(disk_share);
        metrics::gauge!("core_longest_input_wait_seconds").set(self.longest_wait.as_secs_f64());
        if self.is_behind() {
            warn!(
                "core.behind longest_wait_ms={} inputs={} processor_share={:.3} disk_share={disk_share:.3}",
                self.longest_wait.as_millis(),
                self.inputs,
                self.process_share(),
            );
        }
    }
}
