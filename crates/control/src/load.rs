//! Load of the core's thread: how long inputs wait, and what the thread spends its time on.
//!
//! Tells a thread that lacks processor time from one that waits for its disk: both make inputs
//! wait, but only the second spends the time in syncs.

use log::warn;
use std::fmt;
use std::time::Duration;

/// Time between two evaluations of the load.
const WINDOW: Duration = Duration::from_secs(1);
/// Wait of an input above which the thread counts as behind. It is far above the time of a
/// sync of the disk, and below what a client notices.
const MAX_WAIT: Duration = Duration::from_millis(250);

/// What the core's thread does in a round.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum Action {
    /// Handles an input.
    #[default]
    Input,
    /// Builds the scheduler of a new leader.
    TakeOver,
    /// Lets the scheduler decide.
    Decide,
    /// Applies a committed entry to the ledger and tells the scheduler.
    Apply,
    /// Replaces the log by a snapshot.
    Compact,
}

impl fmt::Display for Action {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Action::Input => "input",
            Action::TakeOver => "take_over",
            Action::Decide => "decide",
            Action::Apply => "apply",
            Action::Compact => "compact",
        })
    }
}

/// Longest single action.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Slowest {
    /// Time that it took.
    pub time: Duration,
    /// What it was.
    pub action: Action,
}

impl Slowest {
    /// Records an action if it took longer than the longest so far.
    ///
    /// ```
    /// use control::load::{Action, Slowest};
    /// use std::time::Duration;
    /// let mut slowest = Slowest::default();
    /// slowest.record(Action::Apply, Duration::from_millis(9));
    /// slowest.record(Action::Decide, Duration::from_millis(2));
    /// assert_eq!(slowest.action, Action::Apply);
    /// ```
    pub fn record(&mut self, action: Action, time: Duration) {
        if time > self.time {
            *self = Slowest { time, action };
        }
    }
}

/// What the thread did in one window.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Window {
    /// Length of the window.
    pub duration: Duration,
    /// Time in which the thread handled inputs, with the time in which it waited for a processor
    /// meanwhile, and without `disk_time`.
    pub busy_time: Duration,
    /// Time spent in writes and syncs of the disk.
    pub disk_time: Duration,
    /// Number of inputs that were handled.
    pub inputs: u64,
    /// Longest wait of an input.
    pub longest_wait: Duration,
    /// Longest single action, in which the thread sends no heartbeat.
    pub slowest: Slowest,
}

/// Collects the load of the core's thread.
///
/// ```
/// use control::load::Meter;
/// use std::time::Duration;
/// let mut meter = Meter::new(Duration::ZERO);
/// meter.record_input(Duration::from_millis(3));
/// meter.record_round(Duration::from_millis(9), Duration::from_millis(6));
/// let window = meter.end_window(Duration::from_secs(2)).unwrap();
/// assert_eq!(window.busy_time, Duration::from_millis(3));
/// ```
#[derive(Clone, Debug)]
pub struct Meter {
    started_at: Duration,
    window: Window,
}

impl Meter {
    /// Starts the first window.
    pub fn new(now: Duration) -> Meter {
        Meter { started_at: now, window: Window::default() }
    }

    /// Records an input and how long it waited.
    pub fn record_input(&mut self, wait: Duration) {
        self.window.inputs += 1;
        self.window.longest_wait = self.window.longest_wait.max(wait);
    }

    /// Records a round of handling inputs that took `time`, `disk_time` of it in writes and
    /// syncs of the disk.
    pub fn record_round(&mut self, time: Duration, disk_time: Duration) {
        self.window.busy_time += time.saturating_sub(disk_time);
        self.window.disk_time += disk_time;
    }

    /// Records the longest action of a round.
    pub fn record_slowest(&mut self, slowest: Slowest) {
        self.window.slowest.record(slowest.action, slowest.time);
    }

    /// Ends the window if it is long enough, and starts the next one.
    pub fn end_window(&mut self, now: Duration) -> Option<Window> {
        let duration = now.saturating_sub(self.started_at);
        if duration < WINDOW {
            return None;
        }
        self.started_at = now;
        Some(Window { duration, ..std::mem::take(&mut self.window) })
    }
}

impl Window {
    /// Returns whether inputs waited too long, or one action was so long that any would have.
    pub fn is_behind(&self) -> bool {
        self.longest_wait.max(self.slowest.time) > MAX_WAIT
    }

    /// Publishes the metrics of the window, and logs a line if inputs waited too long.
    pub fn publish(&self) {
        let share = |time: Duration| time.as_secs_f64() / self.duration.as_secs_f64();
        let (busy_share, disk_share) = (share(self.busy_time), share(self.disk_time));
        metrics::gauge!("core_busy_share").set(busy_share);
        metrics::gauge!("core_disk_share").set(disk_share);
        metrics::gauge!("core_longest_input_wait_seconds").set(self.longest_wait.as_secs_f64());
        metrics::gauge!("core_slowest_action_seconds").set(self.slowest.time.as_secs_f64());
        if self.is_behind() {
            warn!(
                "core.behind longest_wait_ms={} inputs={} busy_share={busy_share:.3} \
                 disk_share={disk_share:.3} slowest={} slowest_ms={}",
                self.longest_wait.as_millis(),
                self.inputs,
                self.slowest.action,
                self.slowest.time.as_millis(),
            );
        }
    }
}
