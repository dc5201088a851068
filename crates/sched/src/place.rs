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

use crate::worker::Worker;
use jobs::{Step, StepKey};
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
    /// Present time on the leader's monotonic clock.
    pub now: Duration,
    /// Time without an answer after which a worker gets no new work.
    pub max_silence: Duration,
    /// Units of the step on each rack; empty unless the step is long-running.
    pub units_per_rack: &'a BTreeMap<String, u32>,
    /// Data centre in which the step's units should run; `None` for no preference, as
    /// for long-running steps.
    pub preferred_data_centre: Option<&'a str>,
}

/// Returns whether a unit of the step may run on a worker.
pub fn is_feasible(worker: &Worker, request: &Request<'_>) -> bool {
    let Request { key, step, now, max_silence, .. } = request;
    if !worker.is_schedulable(*now, *max_silence)
        || !worker.free_resources().covers(&step.reserved_resources())
    {
        return false;
    }
    let labels = worker.report.as_ref().map(|report| report.labels.as_slice()).unwrap_or_default();
    if step.requires.as_ref().is_some_and(|label| !labels.contains(label)) {
        return false;
    }
    step.anti_affinity == 0 || worker.count_runs(key) < step.anti_affinity
}

/// Suitability of a worker for a unit, compared field by field; the greatest wins.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Score {
    /// No run has failed since the last success.
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
pub fn score(worker: &Worker, request: &Request<'_>) -> Score {
    let step = request.step;
    let report = worker.report.as_ref();
    let labels = report.map(|report| report.labels.as_slice()).unwrap_or_default();
    let free = worker.free_resources();
    let score = Score {
        healthy: worker.consecutive_failures == 0,
        undisturbed: true,
        data_local: step.affinity.as_ref().is_none_or(|rack| labels.contains(rack)),
        in_preferred_data_centre: request
            .preferred_data_centre
            .is_none_or(|preferred| report.is_some_and(|r| r.data_centre == preferred)),
        crowding: Reverse(0),
        has_long_running: worker.runs.values().any(|run| run.long_running),
        resources: Reverse((free.cpu_milli, free.memory_mb)),
    };
    if step.best_effort {
        let serves_requests = worker.runs.values().any(|run| run.tail_latency_target.is_some());
        let best_effort_runs = worker.runs.values().filter(|run| run.best_effort).count() as u32;
        let resources = Reverse((worker.reserved.cpu_milli, worker.reserved.memory_mb));
        return Score {
            undisturbed: !serves_requests,
            crowding: Reverse(best_effort_runs),
            has_long_running: false,
            resources,
            ..score
        };
    }
    if step.long_running {
        let rack = report.and_then(|report| report.rack());
        let units_on_rack =
            rack.and_then(|rack| request.units_per_rack.get(rack)).copied().unwrap_or(0);
        return Score {
            undisturbed: !worker.maintenance_due,
            crowding: Reverse(units_on_rack),
            ..score
        };
    }
    score
}
