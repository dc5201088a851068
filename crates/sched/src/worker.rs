//! What the leader knows of one worker.

use crate::lease::Lease;
use crate::roster::Report;
use jobs::definition::Resources;
use jobs::{Incarnation, RunNumber, Step, UnitKey};
use std::collections::BTreeMap;
use std::time::Duration;

/// Failures in a row after which a worker gets one unit at a time.
const STRIKES_FOR_TRIAL: u32 = 3;
/// Time without new work after a series of failures; doubles with each series.
const FIRST_REST: Duration = Duration::from_secs(2);
/// Longest time without new work after a series of failures.
const LONGEST_REST: Duration = Duration::from_secs(8);

/// A run that is, or may be, on a worker.
#[derive(Clone, Debug, PartialEq)]
pub struct Run {
    /// What the leader knows of it.
    pub state: RunState,
    /// What it takes of the worker.
    pub resources: Resources,
    /// The step lasts until the job is cancelled.
    pub long_running: bool,
    /// It uses only processor time that others leave.
    pub best_effort: bool,
    /// Bound on its tail, if it serves users of its own.
    pub tail_latency_target: Option<Duration>,
    /// When it was placed or inherited.
    pub placed_at: Duration,
    /// When it was first seen at work.
    pub started_at: Option<Duration>,
    /// Starts that got no answer.
    pub unanswered_starts: u32,
    /// Newest progress in percent, and since when it is the same.
    pub progress: (u32, Duration),
    /// Share in percent that it was last told to work at; none when the worker may
    /// not have heard it.
    pub pace: Option<u32>,
    /// When that was told.
    pub paced_at: Duration,
    /// Tail or processor use that the worker last named.
    pub measurement: u64,
    /// Why it is being stopped.
    pub stop_reason: Option<StopReason>,
}

/// Why a run is being stopped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StopReason {
    /// The job is over, or a copy is done.
    Unneeded,
    /// A start without an answer has to be barred.
    UnresolvedStart,
    /// The worker is about to leave or has its upkeep.
    Leaving,
    /// It makes no progress.
    Stuck,
    /// Another member of its gang does not run.
    GangBroken,
}

/// What the leader knows of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunState {
    /// Placed by an earlier leader; the worker has not been asked.
    Inherited,
    /// Proposed to the log.
    Proposed,
    /// In the log, not sent.
    Ready,
    /// Sent, not answered.
    Starting,
    /// The start got no answer; it may come later.
    Unclear {
        /// When the start was given up.
        since: Duration,
    },
    /// At work.
    Running,
    /// Told, or about to be told, to stop.
    Stopping {
        /// When the stop was last sent.
        sent: Option<Duration>,
        /// When the worker said that the run is stopped or barred.
        acknowledged: Option<Duration>,
    },
    /// Its end is listed and proposed to the log.
    Ending,
}

/// Calls that ask a worker for its lists.
#[derive(Clone, Debug, Default)]
pub struct Polling {
    /// When the open call was sent.
    pub sent_at: Option<Duration>,
    /// When the next call is due.
    pub next_at: Duration,
    /// When the last answer came.
    pub answered_at: Option<Duration>,
    /// Calls without an answer since.
    pub failures: u32,
}

/// What the leader knows of one worker.
#[derive(Clone, Debug)]
pub struct Worker {
    /// Its present life.
    pub incarnation: Incarnation,
    /// Its newest report; none for a life known only by its runs.
    pub report: Option<Report>,
    /// Its lease.
    pub lease: Lease,
    /// Whether it has answered a call under this leader's fence.
    pub verified: bool,
    /// Calls that ask for its lists.
    pub polling: Polling,
    /// Runs that are, or may be, on it.
    pub runs: BTreeMap<(UnitKey, RunNumber), Run>,
    /// What the runs take.
    pub used: Resources,
    /// Last end that was proposed to the log.
    pub proposed_through: u64,
    /// Failures in a row, without a success.
    pub consecutive_failures: u32,
    /// Series of failures in a row.
    pub backoffs: u32,
    /// No new work before.
    pub backoff_until: Duration,
    /// The machine is wanted for upkeep or another pool.
    pub cordoned: bool,
    /// The machine will be wanted for upkeep before long.
    pub maintenance_due: bool,
    /// The life is known to be over.
    pub ended: bool,
}

impl Worker {
    /// A worker of which nothing is known but its life.
    pub fn new(incarnation: Incarnation, lease: Lease) -> Worker {
        Worker {
            incarnation,
            report: None,
            lease,
            verified: false,
            polling: Polling::default(),
            runs: BTreeMap::new(),
            used: Resources::default(),
            proposed_through: 0,
            consecutive_failures: 0,
            backoffs: 0,
            backoff_until: Duration::ZERO,
            cordoned: false,
            maintenance_due: false,
            ended: false,
        }
    }

    /// Adds a run; its room is taken from now on.
    pub fn add(&mut self, unit: UnitKey, number: RunNumber, run: Run) {
        self.used = self.used.plus(&run.resources);
        if let Some(before) = self.runs.insert((unit, number), run) {
            self.used = self.used.minus(&before.resources);
        }
    }

    /// Removes a run; its room is free from now on.
    pub fn remove(&mut self, unit: UnitKey, number: RunNumber) -> Option<Run> {
        let run = self.runs.remove(&(unit, number))?;
        self.used = self.used.minus(&run.resources);
        Some(run)
    }

    /// Room that is free.
    pub fn free(&self) -> Resources {
        let capacity = self.report.as_ref().map(|report| report.capacity).unwrap_or_default();
        capacity.minus(&self.used)
    }

    /// Whether a start may be sent to it, be it for the first time or again.
    pub fn accepts_starts(&self) -> bool {
        let draining = self.report.as_ref().is_none_or(|report| report.draining);
        !draining && !self.cordoned && !self.ended
    }

    /// Whether new work may go to it.
    pub fn is_schedulable(&self, now: Duration, silence: Duration) -> bool {
        let received = self.polling.answered_at.is_some_and(|at| now < at + silence);
        self.verified
            && received
            && self.accepts_starts()
            && now >= self.backoff_until
            && (self.consecutive_failures < STRIKES_FOR_TRIAL || self.runs.is_empty())
    }

    /// Number of runs of a step.
    pub fn count_runs(&self, step: &jobs::StepKey) -> u32 {
        self.runs.range(step.range()).count() as u32
    }

    /// Whether filling work runs beside work that serves.
    pub fn is_colocated(&self) -> bool {
        self.runs.values().any(|run| run.best_effort)
            && self.runs.values().any(|run| run.tail_latency_target.is_some())
    }

    /// Whether its lists decide what becomes of a run.
    pub fn has_unresolved_run(&self) -> bool {
        let barred = |run: &Run| {
            matches!(run.state, RunState::Stopping { acknowledged: Some(_), .. })
                || matches!(run.state, RunState::Unclear { .. })
        };
        self.runs.values().any(barred)
    }

    /// Takes in that a run ended well.
    pub fn record_success(&mut self) {
        self.consecutive_failures = 0;
        self.backoffs = 0;
    }

    /// Takes in that a run failed or hung, maybe by the worker's fault. Tells
    /// whether the worker rests for it.
    pub fn record_failure(&mut self, now: Duration) -> bool {
        self.consecutive_failures += 1;
        if self.consecutive_failures < STRIKES_FOR_TRIAL {
            return false;
        }
        let rest = FIRST_REST * 2u32.saturating_pow(self.backoffs.min(8));
        self.backoff_until = now + rest.min(LONGEST_REST);
        self.backoffs += 1;
        true
    }
}

impl Run {
    /// A run of a step in a state.
    pub fn new(state: RunState, step: &Step, now: Duration) -> Run {
        Run {
            state,
            resources: step.reserved_resources(),
            long_running: step.long_running,
            best_effort: step.best_effort,
            tail_latency_target: step.tail_latency_target,
            placed_at: now,
            started_at: None,
            unanswered_starts: 0,
            progress: (0, now),
            pace: Some(100),
            paced_at: now,
            measurement: 0,
            stop_reason: None,
        }
    }

    /// Whether it is told to stop or has ended.
    pub fn is_stopping_or_ending(&self) -> bool {
        matches!(self.state, RunState::Stopping { .. } | RunState::Ending)
    }
}
