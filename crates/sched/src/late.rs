//! Starts that a worker may carry out late, and runs on a worker that the ledger does not place
//! there.
//!
//! An order names a worker, not an incarnation. One without an answer may reach the worker's
//! next incarnation, which knows neither its predecessor's runs nor its fence, and whose clock
//! started anew, so that a lease given to the predecessor has not expired there.

use jobs::UnitKey;
use jobs::definition::Resources;
use std::time::Duration;

/// Time after which an order without an answer can no longer be carried out. The longest delay
/// that the platform states is 12 s; the rest allows for different wall clocks of two
/// leaders.
pub const LATE_ORDER_WINDOW: Duration = Duration::from_secs(15);

/// Time from the decision on an order until it has to have left. Later it would outlast
/// [`LATE_ORDER_WINDOW`], which counts from the decision, or from the end of the decider's lease.
pub const SEND_WINDOW: Duration = Duration::from_secs(1);

/// A start of a run that is no longer placed on the worker, but that may still reach a later
/// incarnation of it.
#[derive(Clone, Debug, PartialEq)]
pub struct LateStart {
    /// Resources that the run would use.
    pub resources: Resources,
    /// Time after which the start can no longer be carried out.
    pub until: Duration,
    /// Whether the unit is not placed again before the start is over: the worker has restarted
    /// since, or the run had begun. Otherwise the present incarnation is known to refuse the start, and
    /// the unit waits only while a later one may be there: a run that never began is stopped by a
    /// confirmed order, and its unit does not wait for a worker that leaves starts unanswered.
    pub holds_unit: bool,
    /// Whether the present incarnation, once it has obeyed this leader, is known to refuse the start:
    /// it has listed the end of the run or confirmed its stop, or the start has a lower fence.
    pub is_refused: bool,
    /// Whether no other incarnation than the present one can have carried it out so far. Once that one
    /// refuses it, the unit may run there again.
    pub may_return: bool,
    /// Whether the unit lasts until its job is cancelled.
    pub long_running: bool,
    /// Whether the unit may run in copies, so that it waits for no start.
    pub speculative: bool,
    /// Whether the start counts for the account of its job: it holds its unit, or a later incarnation
    /// may begin it. For a run of an earlier leader it is not known whether all starts were answered.
    pub uses_account: bool,
}

/// A run that is, or may come to be, on a worker's present incarnation and is not placed there.
/// It is stopped, and holds resources until it is certainly gone.
#[derive(Clone, Debug, PartialEq)]
pub struct Unplaced {
    /// Key of the unit; `None` if no job of the ledger has it.
    pub unit: Option<UnitKey>,
    /// Resources that the run uses; `None` if they are not known.
    pub resources: Option<Resources>,
    /// Whether the last run lists named the run.
    pub is_listed: bool,
    /// When the stop was last sent; `None` before the first time.
    pub stop_sent_at: Option<Duration>,
    /// When the worker confirmed that the run is stopped, or will never start.
    pub stop_acknowledged_at: Option<Duration>,
}

impl Unplaced {
    /// Creates the record of a run whose stop has not been sent.
    pub fn new(unit: Option<UnitKey>, resources: Option<Resources>) -> Unplaced {
        Unplaced {
            unit,
            resources,
            is_listed: false,
            stop_sent_at: None,
            stop_acknowledged_at: None,
        }
    }

    /// Returns whether the run is certainly gone, given that the answer to a poll sent at
    /// `sent_at` does not name it: it was listed before, or its stop was confirmed before the
    /// poll was sent.
    ///
    /// ```
    /// use std::time::Duration;
    /// let mut late = sched::late::Unplaced::new(None, None);
    /// let polled_at = Duration::from_secs(2);
    /// assert!(!late.is_gone(polled_at), "it may still start");
    /// late.stop_acknowledged_at = Some(Duration::from_secs(1));
    /// assert!(late.is_gone(polled_at));
    /// ```
    pub fn is_gone(&self, sent_at: Duration) -> bool {
        self.is_listed || self.stop_acknowledged_at.is_some_and(|at| at <= sent_at)
    }
}
