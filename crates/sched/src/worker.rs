//! What the leader knows of one worker.

use crate::lease::Lease;
use crate::roster::Report;
use jobs::order::Room;
use jobs::{Life, RunNumber, Step, UnitKey};
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
    pub room: Room,
    /// The step lasts until the job is cancelled.
    pub lasting: bool,
    /// It uses only processor time that others leave.
    pub filling: bool,
    /// Bound on its tail, if it serves users of its own.
    pub tail_target: Option<Duration>,
    /// When it was placed or inherited.
    pub since: Duration,
    /// When it was first seen at work.
    pub started: Option<Duration>,
    /// Starts that got no answer.
    pub unanswered: u32,
    /// Newest progress in percent, and since when it is the same.
    pub progress: (u32, Duration),
    /// Share in percent that it was last told to work at; none when the worker may
    /// not have heard it.
    pub pace: Option<u32>,
    /// When that was told.
    pub paced: Duration,
    /// Tail or processor use that the worker last named.
    pub reading: u64,
    /// Why it is being stopped.
    pub stopped_for: Option<StopReason>,
}

/// Why a run is being stopped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StopReason {
    /// The job is over, or a copy is done.
    Unwanted,
    /// A start without an answer has to be barred.
    Unclear,
    /// The worker is about to leave or has its upkeep.
    Leaving,
    /// It makes no progress.
    Stuck,
    /// Another member of its gang does not run.
    Broken,
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
pub struct Asking {
    /// When the open call was sent.
    pub sent: Option<Duration>,
    /// When the next call is due.
    pub next: Duration,
    /// When the last answer came.
    pub answered: Option<Duration>,
    /// Calls without an answer since.
    pub failures: u32,
}

/// What the leader knows of one worker.
#[derive(Clone, Debug)]
pub struct Worker {
    /// Its present life.
    pub life: Life,
    /// Its newest report; none for a life known only by its runs.
    pub report: Option<Report>,
    /// Its lease.
    pub lease: Lease,
    /// Whether it has answered a call under this leader's fence.
    pub verified: bool,
    /// Calls that ask for its lists.
    pub asking: Asking,
    /// Runs that are, or may be, on it.
    pub runs: BTreeMap<(UnitKey, RunNumber), Run>,
    /// What the runs take.
    pub used: Room,
    /// Last end that was proposed to the log.
    pub proposed: u64,
    /// Failures in a row, without a success.
    pub strikes: u32,
    /// Series of failures in a row.
    pub series: u32,
    /// No new work before.
    pub resting: Duration,
    /// The machine is wanted for upkeep or another pool.
    pub closing: bool,
    /// The machine will be wanted for upkeep before long.
    pub due: bool,
    /// The life is known to be over.
    pub gone: bool,
}

impl Worker {
    /// A worker of which nothing is known but its life.
    pub fn new(life: Life, lease: Lease) -> Worker {
        Worker {
            life,
            report: None,
            lease,
            verified: false,
            asking: Asking::default(),
            runs: BTreeMap::new(),
            used: Room::default(),
            proposed: 0,
            strikes: 0,
            series: 0,
            resting: Duration::ZERO,
            closing: false,
            due: false,
            gone: false,
        }
    }

    /// Adds a run; its room is taken from now on.
    pub fn add(&mut self, unit: UnitKey, number: RunNumber, run: Run) {
        self.used = self.used.plus(&run.room);
        if let Some(before) = self.runs.insert((unit, number), run) {
            self.used = self.used.minus(&before.room);
        }
    }

    /// Removes a run; its room is free from now on.
    pub fn remove(&mut self, unit: UnitKey, number: RunNumber) -> Option<Run> {
        let run = self.runs.remove(&(unit, number))?;
        self.used = self.used.minus(&run.room);
        Some(run)
    }

    /// Room that is free.
    pub fn free(&self) -> Room {
        let capacity = self.report.as_ref().map(|report| report.capacity).unwrap_or_default();
        capacity.minus(&self.used)
    }

    /// Whether a start may be sent to it, be it for the first time or again.
    pub fn takes_starts(&self) -> bool {
        let draining = self.report.as_ref().is_none_or(|report| report.draining);
        !draining && !self.closing && !self.gone
    }

    /// Whether new work may go to it.
    pub fn is_open(&self, now: Duration, silence: Duration) -> bool {
        let heard = self.asking.answered.is_some_and(|at| now < at + silence);
        self.verified
            && heard
            && self.takes_starts()
            && now >= self.resting
            && (self.strikes < STRIKES_FOR_TRIAL || self.runs.is_empty())
    }

    /// Number of runs of a step.
    pub fn runs_of(&self, step: &jobs::StepKey) -> u32 {
        self.runs.range(step.range()).count() as u32
    }

    /// Whether filling work runs beside work that serves.
    pub fn is_shared(&self) -> bool {
        self.runs.values().any(|run| run.filling)
            && self.runs.values().any(|run| run.tail_target.is_some())
    }

    /// Whether its lists decide what becomes of a run.
    pub fn has_unclear(&self) -> bool {
        let barred = |run: &Run| {
            matches!(run.state, RunState::Stopping { acknowledged: Some(_), .. })
                || matches!(run.state, RunState::Unclear { .. })
        };
        self.runs.values().any(barred)
    }

    /// Takes in that a run ended well.
    pub fn succeeded(&mut self) {
        self.strikes = 0;
        self.series = 0;
    }

    /// Takes in that a run failed or hung, maybe by the worker's fault. Tells
    /// whether the worker rests for it.
    pub fn failed(&mut self, now: Duration) -> bool {
        self.strikes += 1;
        if self.strikes < STRIKES_FOR_TRIAL {
            return false;
        }
        let rest = FIRST_REST * 2u32.saturating_pow(self.series.min(8));
        self.resting = now + rest.min(LONGEST_REST);
        self.series += 1;
        true
    }
}

impl Run {
    /// A run of a step in a state.
    pub fn new(state: RunState, step: &Step, now: Duration) -> Run {
        Run {
            state,
            room: step.counted_room(),
            lasting: step.lasting,
            filling: step.filling,
            tail_target: step.tail_target,
            since: now,
            started: None,
            unanswered: 0,
            progress: (0, now),
            pace: Some(100),
            paced: now,
            reading: 0,
            stopped_for: None,
        }
    }

    /// Whether it is told to stop or has ended.
    pub fn is_over(&self) -> bool {
        matches!(self.state, RunState::Stopping { .. } | RunState::Ending)
    }
}
