//! Crashes of workers under units, and when they show that a unit brings its workers down.
//!
//! Answers jobs with a unit that crashes each worker that starts it, among many units that were
//! only there. A crash puts the units with recent runs on the worker under suspicion, and proves
//! nothing. A suspected unit is tried with nothing else that is recent. Only trials that end in a
//! crash count as proof, so that workers that crash for other reasons, several at once, fail no
//! job.

use crate::{Incarnation, InstanceId, RunNumber, Unit, UnixMs};
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use std::time::Duration;

/// Time for which a run is recent. Work that crashes its worker does so soon after its start, most
/// of the time.
pub const RECENT: Duration = Duration::from_millis(300);
/// Time after which a run is suspected only once it was recent at two crashes, and for which a
/// crash of a trial is proof. Short, so that few crashes for other reasons fall into it.
const JUST_BEGUN: Duration = Duration::from_millis(100);
/// Time from the start of a trial to the first order without an answer within which its crash is
/// proof. A worker that crashes closes its connections; the rest is for the answers' way.
pub const MAX_TRIAL_CRASH: Duration = Duration::from_millis(150);
/// Time that a run of a suspected unit has to go on to clear it.
pub const TRIAL_TIME: Duration = Duration::from_millis(500);
/// Difference of the times that two runs of a unit went on before a crash beyond which the crashes
/// have different causes: work that crashes its workers does so at the same point.
const MAX_DIFFERENCE: Duration = Duration::from_secs(1);
/// Time after which a crash under long-running work has nothing to do with its start.
const LONG_RUNNING_START: Duration = Duration::from_secs(5);
/// Instances on which trials of a step have to end in a crash before its job is given up.
const MAX_FAILED_TRIALS: usize = 2;
/// Crashes under one unit, all with recent runs and not all on one instance, after which its job is
/// given up without proof.
const MAX_RECENT_CRASHES: usize = 4;
/// Crashes under one unit at the same point after which its job is given up in any case. The
/// platform allows no sixth start.
const MAX_CRASHES: usize = 5;

/// A crash of a worker that had a run of the unit.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Crash {
    /// Incarnation that crashed.
    #[serde(rename = "life")]
    pub incarnation: Incarnation,
    /// Instance of the worker.
    #[serde(rename = "machine")]
    pub instance: InstanceId,
    /// Number of the run.
    #[serde(rename = "r")]
    pub run: RunNumber,
    /// When the leader learned of the crash.
    pub at: UnixMs,
    /// How long the run is known to have gone on.
    #[serde(rename = "ran")]
    pub survived: Duration,
    /// Whether the run had begun, no other step had recent runs on the worker, and it fell silent
    /// within [`MAX_TRIAL_CRASH`].
    #[serde(rename = "alone")]
    pub is_alone: bool,
}

impl Crash {
    /// Returns whether the run was recent.
    pub fn is_recent(&self) -> bool {
        self.survived < RECENT
    }
}

/// Adds a crash to those of a unit, unless it is known already, and returns whether it was added.
/// Earlier ones that have another cause are dropped.
///
/// ```
/// use jobs::crash::{Crash, record};
/// use std::time::Duration;
/// let crash = |worker: &str, seconds| Crash {
///     incarnation: jobs::Incarnation::new(worker, 1),
///     instance: "m1".to_string(),
///     run: 1,
///     at: 0,
///     survived: Duration::from_secs(seconds),
///     is_alone: false,
/// };
/// let mut crashes = Vec::new();
/// assert!(record(&mut crashes, crash("w1", 0), false));
/// assert!(!record(&mut crashes, crash("w1", 0), false)); // known already
/// assert!(record(&mut crashes, crash("w2", 9), false));
/// assert_eq!(crashes.len(), 1); // the unit had got past the point of the first
/// ```
pub fn record(crashes: &mut Vec<Crash>, crash: Crash, is_long_running: bool) -> bool {
    if crashes.iter().any(|known| known.incarnation == crash.incarnation) {
        return false;
    }
    if is_long_running && crash.survived >= LONG_RUNNING_START {
        crashes.clear();
    }
    crashes.retain(|known| known.survived.abs_diff(crash.survived) <= MAX_DIFFERENCE);
    crashes.push(crash);
    true
}

/// Returns whether a unit is under suspicion: a run of it had only just begun at a crash, or was
/// recent at two.
///
/// ```
/// assert!(!jobs::crash::is_suspect(&[]));
/// ```
pub fn is_suspect(crashes: &[Crash]) -> bool {
    let recent: Vec<&Crash> = crashes.iter().filter(|crash| crash.is_recent()).collect();
    recent.len() > 1 || recent.iter().any(|crash| crash.survived < JUST_BEGUN)
}

/// Returns whether the crashes under the units of a step show that one of them brings its workers
/// down.
///
/// ```
/// assert!(!jobs::crash::is_deadly(&[jobs::Unit::default()]));
/// ```
pub fn is_deadly(units: &[Unit]) -> bool {
    let open = || units.iter().filter(|unit| !unit.done);
    let later = open().flat_map(|unit| unit.crashes.iter().skip(1));
    let failed_trials = later.filter(|crash| crash.is_alone && crash.survived < JUST_BEGUN);
    count_instances(failed_trials) >= MAX_FAILED_TRIALS
        || open().any(|unit| has_too_many(&unit.crashes))
}

fn has_too_many(crashes: &[Crash]) -> bool {
    let are_recent = crashes.len() >= MAX_RECENT_CRASHES && crashes.iter().all(Crash::is_recent);
    crashes.len() >= MAX_CRASHES || are_recent && count_instances(crashes.iter()) > 1
}

fn count_instances<'a>(crashes: impl Iterator<Item = &'a Crash>) -> usize {
    crashes.map(|crash| &crash.instance).collect::<BTreeSet<&InstanceId>>().len()
}
