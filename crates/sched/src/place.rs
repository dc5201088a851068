//! Choice of the worker for a unit.
//!
//! A unit goes to a worker near its data first, then to the data centre where the
//! rest of its step runs, then to the worker with the least free resources. Packing
//! leaves instances empty, so that they can move to another pool when a load peak is
//! over. The units of a step are kept in one data centre, because a step ends with its
//! last unit: if one of three data centres is cut off, nearly every step is delayed when
//! units are spread over all of them, but only a third when they are kept together.
//! Long-running work is spread over racks, packed on few instances, and kept off
//! instances that are due for maintenance.

use crate::outstanding::MAX_ORDERS_PER_WORKER;
use crate::worker::{Run, Worker};
use jobs::definition::Resources;
use jobs::{InstanceId, Step, StepKey, WorkerId};
use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::time::Duration;

/// Parameters of a placement, common to all candidate workers.
#[derive(Clone, Copy, Debug)]
pub struct Request<'a> {
    /// Key of the step to place.
    pub key: StepKey,
    /// Description of the step.
    pub step: &'a Step,
    /// Units of the step on each rack; empty unless the step is long-running.
    pub units_per_rack: &'a BTreeMap<String, u32>,
    /// Data centre in which the step's units should run; `None` for no preference, as
    /// for long-running steps.
    pub preferred_data_centre: Option<&'a str>,
    /// How the units are tried; `None` if the step is not suspected of crashing its workers.
    pub trial: Option<&'a Trial>,
}

/// Trial of a step whose units may have crashed their workers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Trial {
    /// Worker on which the trial goes on; `None` if it has to begin.
    pub worker: Option<WorkerId>,
    /// Crashes under units of the step on each instance.
    pub crashes: BTreeMap<InstanceId, usize>,
    /// Beside which runs of other steps it may begin.
    pub company: Company,
}

/// Runs beside which a trial may begin.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Company {
    /// None.
    None,
    /// Those that are no longer recent.
    NotRecent,
    /// Any.
    Any,
}

/// Why a worker that gets work can't take a unit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Exclusion {
    /// Too little is free.
    #[error("too little room")]
    Room,
    /// It has as many units to start as it may be ordered to start at a time.
    #[error("has {MAX_ORDERS_PER_WORKER} units that have not begun")]
    Unbegun,
    /// Its runs failed, and it gets no work for some time.
    #[error("in backoff after failures")]
    Backoff,
    /// Its runs failed, and it gets one at a time.
    #[error("on probation after failures")]
    Probation,
    /// It lacks the label that the step requires.
    #[error("lacks the required label")]
    Label,
    /// It is kept for units that may have crashed their workers.
    #[error("kept for a trial")]
    Trial,
    /// It has as many units of the step as may be on one worker.
    #[error("has the most units of the step that one worker may have")]
    AntiAffinity,
}

/// A schedulable worker, with what it runs and what was placed on it in this decision.
#[derive(Clone, Debug)]
pub struct Candidate<'a> {
    /// Name of the worker.
    pub id: &'a WorkerId,
    /// The worker as it was before this decision.
    pub worker: &'a Worker,
    /// Resources that are free.
    pub free: Resources,
    /// Resources that runs reserve.
    reserved: Resources,
    has_long_running: bool,
    serves_requests: bool,
    best_effort_runs: u32,
    /// Number of runs that have not begun.
    unbegun: usize,
    is_idle: bool,
    /// The worker gets no work for some time, since its runs failed.
    is_in_backoff: bool,
    /// A unit has yet to show whether the worker works again.
    has_probe: bool,
    /// The worker is slower than others at present.
    pub is_slow: bool,
    /// Step of which a trial goes on here.
    trial: Option<StepKey>,
    /// The worker is kept for a trial.
    is_reserved: bool,
    /// Units placed in this decision, by step.
    placed: BTreeMap<StepKey, u32>,
    /// Room that is kept for units of steps, the oldest claim first.
    claims: Vec<(StepKey, Resources)>,
}

impl<'a> Candidate<'a> {
    /// Summarizes the runs of a worker at `now`.
    pub fn new(now: Duration, id: &'a WorkerId, worker: &'a Worker) -> Candidate<'a> {
        let mut candidate = Candidate {
            id,
            worker,
            free: worker.free_resources(),
            reserved: worker.reserved,
            has_long_running: false,
            serves_requests: false,
            best_effort_runs: 0,
            unbegun: 0,
            is_idle: worker.runs.is_empty(),
            is_in_backoff: worker.health.is_in_backoff(now),
            has_probe: worker.has_probe(),
            is_slow: worker.is_slow,
            trial: None,
            is_reserved: false,
            placed: BTreeMap::new(),
            claims: Vec::new(),
        };
        worker.runs.iter().for_each(|((unit, _), run)| candidate.count(&unit.step_key(), run));
        candidate
    }

    /// Returns whether a trial goes on here.
    pub fn is_on_trial(&self) -> bool {
        self.trial.is_some()
    }

    /// Returns whether a trial of the step goes on here.
    pub fn tries(&self, key: &StepKey) -> bool {
        self.trial == Some(*key)
    }

    /// Returns whether the worker runs long-running work.
    pub fn has_long_running(&self) -> bool {
        self.has_long_running
    }

    /// Returns whether the worker gets no work for some time, since its runs failed.
    pub fn is_in_backoff(&self) -> bool {
        self.is_in_backoff
    }

    /// Returns whether the failures of the worker's runs allow it further work now.
    pub fn is_open(&self) -> bool {
        !self.is_in_backoff && !self.has_probe
    }

    /// Returns whether nothing runs on the worker, placed there or not.
    pub fn is_empty(&self) -> bool {
        self.is_idle && self.worker.unplaced.is_empty()
    }

    /// Returns the number of crashes under units of a tried step on the worker's instance.
    pub fn count_crashes(&self, trial: &Trial) -> usize {
        let instance = self.worker.report.as_ref().map(|report| &report.instance);
        instance.and_then(|instance| trial.crashes.get(instance)).copied().unwrap_or_default()
    }

    /// Keeps the worker for a trial.
    pub fn reserve_for_trial(&mut self) {
        self.is_reserved = true;
    }

    /// Keeps room for units of steps, the oldest claim first.
    pub fn set_claims(&mut self, claims: Vec<(StepKey, Resources)>) {
        self.claims = claims;
    }

    /// Returns what is free for units of a step: not what older claims of other steps keep.
    fn room(&self, key: &StepKey) -> Resources {
        let before = self.claims.iter().take_while(|(step, _)| step != key);
        before.fold(self.free, |free, (_, claimed)| free.minus(claimed))
    }

    /// Returns what is free for steps without a claim.
    pub fn unclaimed(&self) -> Resources {
        self.claims.iter().fold(self.free, |free, (_, claimed)| free.minus(claimed))
    }

    /// Adds a unit that was placed on the worker.
    pub fn place(&mut self, key: StepKey, run: &Run) {
        if let Some(position) = self.claims.iter().position(|(step, _)| *step == key) {
            self.claims.remove(position);
        }
        self.free = self.free.minus(&run.resources);
        self.reserved = self.reserved.plus(&run.resources);
        self.is_idle = false;
        self.has_probe |= self.worker.health.is_on_probation();
        self.count(&key, run);
        *self.placed.entry(key).or_default() += 1;
    }

    /// Returns the data centre of the worker.
    pub fn data_centre(&self) -> Option<&'a str> {
        self.worker.report.as_ref().map(|report| report.data_centre.as_str())
    }

    /// Returns the rack of the worker.
    pub fn rack(&self) -> Option<&'a String> {
        self.worker.report.as_ref().and_then(|report| report.rack())
    }

    /// Returns whether the worker is on the rack with this label.
    pub fn has_rack_label(&self, label: &String) -> bool {
        self.labels().contains(label)
    }

    fn labels(&self) -> &'a [String] {
        self.worker.report.as_ref().map_or(&[], |report| report.labels.as_slice())
    }

    fn count(&mut self, key: &StepKey, run: &Run) {
        if run.is_trial {
            self.trial = Some(*key);
        }
        self.has_long_running |= run.long_running;
        self.serves_requests |= run.tail_latency_target.is_some();
        self.best_effort_runs += u32::from(run.best_effort);
        self.unbegun += usize::from(run.is_unbegun());
    }

    fn has_label(&self, step: &Step) -> bool {
        step.requires.as_ref().is_none_or(|label| self.labels().contains(label))
    }

    /// Returns whether a unit of the step could run on the worker if nothing else did.
    pub fn could_run(&self, step: &Step) -> bool {
        let capacity = self.worker.report.as_ref().map(|report| report.capacity);
        self.has_label(step) && capacity.is_some_and(|room| room.covers(&step.reserved_resources()))
    }

    /// Returns whether a unit of the step may run on the worker.
    pub fn is_feasible(&self, request: &Request<'_>) -> bool {
        self.exclusion(request).is_none()
    }

    /// Returns why no unit of the step may run on the worker; `None` if one may.
    pub fn exclusion(&self, request: &Request<'_>) -> Option<Exclusion> {
        let Request { key, step, .. } = request;
        if !self.room(key).covers(&step.reserved_resources()) {
            return Some(Exclusion::Room);
        }
        // What is placed ahead of the starts that a worker has answered would wait there while work
        // that is more urgent comes. A gang is placed as a whole.
        if self.unbegun >= MAX_ORDERS_PER_WORKER && !step.gang {
            return Some(Exclusion::Unbegun);
        }
        self.exclusion_beside_room(request, 0)
    }

    /// Returns whether a unit of the step may run on the worker once it has room, beside other units
    /// of the step that have claimed it.
    pub fn would_accept(&self, request: &Request<'_>, claims: u32) -> bool {
        self.exclusion_beside_room(request, claims).is_none()
    }

    fn exclusion_beside_room(&self, request: &Request<'_>, claims: u32) -> Option<Exclusion> {
        let Request { key, step, .. } = request;
        // Work that lasts has no limit of attempts, so that a failure costs its caller less than the
        // wait for a worker that is sound.
        if !self.is_open() && !step.long_running {
            return Some(match self.is_in_backoff {
                true => Exclusion::Backoff,
                false => Exclusion::Probation,
            });
        }
        if !self.has_label(step) {
            return Some(Exclusion::Label);
        }
        let is_kept_apart = match request.trial {
            None => self.trial.is_some() || self.is_reserved,
            Some(trial) => !self.accepts_trial(key, trial),
        };
        if is_kept_apart {
            return Some(Exclusion::Trial);
        }
        let units =
            || self.worker.count_runs(key) + self.placed.get(key).copied().unwrap_or_default();
        let is_full = step.anti_affinity != 0 && units() + claims >= step.anti_affinity;
        is_full.then_some(Exclusion::AntiAffinity)
    }
}

impl Candidate<'_> {
    /// Returns whether units of a step may be tried here.
    fn accepts_trial(&self, key: &StepKey, trial: &Trial) -> bool {
        match &trial.worker {
            Some(worker) => worker == self.id,
            None if self.trial.is_some() => self.trial == Some(*key),
            None if self.is_idle => self.is_empty(),
            None => match trial.company {
                Company::None => false,
                Company::NotRecent => self.placed.is_empty() && !self.worker.has_recent_runs(),
                Company::Any => true,
            },
        }
    }
}

/// Suitability of a worker for a unit, compared field by field; the greatest wins.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Score {
    /// No run has failed since the last proof that the worker works, and the last order was answered.
    healthy: bool,
    /// The worker is not slow, or the step runs until its job is cancelled.
    sound: bool,
    /// For long-running steps: no maintenance is due. For best-effort steps: no run on
    /// the worker serves requests.
    undisturbed: bool,
    /// The worker is on the rack that holds the step's data, or the step has none.
    data_local: bool,
    /// The worker is in the preferred data centre.
    in_preferred_data_centre: bool,
    /// For long-running steps: units of the step on the rack. For best-effort steps:
    /// best-effort runs on the worker.
    crowding: Reverse<u32>,
    /// The worker has long-running work already, so its instance cannot move anyway.
    has_long_running: bool,
    /// Cores and memory in thousandths of a core and MiB: what is free, or what is used
    /// for best-effort steps. Less is better.
    resources: Reverse<(u64, u64)>,
}

/// Scores a worker for a unit of the step.
pub fn score(candidate: &Candidate<'_>, request: &Request<'_>) -> Score {
    let step = request.step;
    let free = candidate.free;
    let score = Score {
        healthy: candidate.worker.health.is_sound() && candidate.worker.polling.unanswered == 0,
        sound: !candidate.is_slow || step.long_running,
        undisturbed: true,
        data_local: step.affinity.as_ref().is_none_or(|rack| candidate.labels().contains(rack)),
        in_preferred_data_centre: request
            .preferred_data_centre
            .is_none_or(|preferred| candidate.data_centre() == Some(preferred)),
        crowding: Reverse(0),
        has_long_running: candidate.has_long_running,
        resources: Reverse((free.cpu_milli, free.memory_mb)),
    };
    if step.best_effort {
        let reserved = candidate.reserved;
        return Score {
            undisturbed: !candidate.serves_requests,
            crowding: Reverse(candidate.best_effort_runs),
            has_long_running: false,
            resources: Reverse((reserved.cpu_milli, reserved.memory_mb)),
            ..score
        };
    }
    if step.long_running {
        let units_on_rack = candidate.rack().and_then(|rack| request.units_per_rack.get(rack));
        return Score {
            undisturbed: !candidate.worker.maintenance_due,
            crowding: Reverse(units_on_rack.copied().unwrap_or(0)),
            ..score
        };
    }
    score
}
