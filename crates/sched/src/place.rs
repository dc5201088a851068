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

use crate::worker::{Run, Worker};
use jobs::definition::Resources;
use jobs::{Step, StepKey, WorkerId};
use std::cmp::Reverse;
use std::collections::BTreeMap;

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
    is_idle: bool,
    /// Units placed in this decision, by step.
    placed: BTreeMap<StepKey, u32>,
}

impl<'a> Candidate<'a> {
    /// Summarizes the runs of a worker.
    pub fn new(id: &'a WorkerId, worker: &'a Worker) -> Candidate<'a> {
        let mut candidate = Candidate {
            id,
            worker,
            free: worker.free_resources(),
            reserved: worker.reserved,
            has_long_running: false,
            serves_requests: false,
            best_effort_runs: 0,
            is_idle: worker.runs.is_empty(),
            placed: BTreeMap::new(),
        };
        worker.runs.values().for_each(|run| candidate.count(run));
        candidate
    }

    /// Adds a unit that was placed on the worker.
    pub fn place(&mut self, key: StepKey, run: &Run) {
        self.free = self.free.minus(&run.resources);
        self.reserved = self.reserved.plus(&run.resources);
        self.is_idle = false;
        self.count(run);
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

    fn labels(&self) -> &'a [String] {
        self.worker.report.as_ref().map_or(&[], |report| report.labels.as_slice())
    }

    fn count(&mut self, run: &Run) {
        self.has_long_running |= run.long_running;
        self.serves_requests |= run.tail_latency_target.is_some();
        self.best_effort_runs += u32::from(run.best_effort);
    }

    /// Returns whether a unit of the step may run on the worker.
    pub fn is_feasible(&self, request: &Request<'_>) -> bool {
        let Request { key, step, .. } = request;
        if !self.free.covers(&step.reserved_resources())
            || (self.worker.is_on_probation() && !self.is_idle)
        {
            return false;
        }
        if step.requires.as_ref().is_some_and(|label| !self.labels().contains(label)) {
            return false;
        }
        let units =
            || self.worker.count_runs(key) + self.placed.get(key).copied().unwrap_or_default();
        step.anti_affinity == 0 || units() < step.anti_affinity
    }
}

/// Suitability of a worker for a unit, compared field by field; the greatest wins.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Score {
    /// No run has failed since the last success, and the last order was answered.
    healthy: bool,
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
        healthy: candidate.worker.consecutive_failures == 0
            && candidate.worker.polling.unanswered == 0,
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
