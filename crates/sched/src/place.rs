//! Where a unit runs.
//!
//! Answers surges by turns, racks with data, waves and correlated loss: near its
//! data first, then in the data centre where the rest of its step runs, then where
//! the least room is left, so that machines run empty and can be moved when a surge
//! is over. A step waits for its last unit: spread over three data centres nearly
//! every step is hit when one is cut off, kept together only a third of them.
//! Lasting work is spread over racks, and goes to few machines, and to machines
//! that stay.

use crate::worker::Worker;
use jobs::{Step, StepKey};
use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::time::Duration;

/// What a choice of a worker rests on, besides the workers.
#[derive(Clone, Copy, Debug)]
pub struct Request<'a> {
    /// The step.
    pub key: StepKey,
    /// Its description.
    pub step: &'a Step,
    /// Present time.
    pub now: Duration,
    /// Silence after which a worker gets no new work.
    pub max_silence: Duration,
    /// Units of the step on each rack; counted for lasting work only.
    pub units_per_rack: &'a BTreeMap<String, u32>,
    /// Data centre in which the step's units should be; none for lasting work.
    pub preferred_data_centre: Option<&'a str>,
}

/// Whether a unit of the step may run on a worker.
pub fn is_feasible(worker: &Worker, request: &Request<'_>) -> bool {
    let Request { key, step, now, max_silence, .. } = request;
    if !worker.is_schedulable(*now, *max_silence)
        || !worker.free().covers(&step.reserved_resources())
    {
        return false;
    }
    let labels = worker.report.as_ref().map(|report| report.labels.as_slice()).unwrap_or_default();
    if step.requires.as_ref().is_some_and(|label| !labels.contains(label)) {
        return false;
    }
    step.anti_affinity == 0 || worker.count_runs(key) < step.anti_affinity
}

/// How good a worker is for a unit; the greatest wins.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Score {
    /// Its last run did not fail.
    trusted: bool,
    /// Its machine stays, or serves no users beside filling work.
    settled: bool,
    /// It has the data.
    near: bool,
    /// It is where the rest of the step runs.
    home: bool,
    /// Units of the step on its rack, or filling work beside this.
    beside: Reverse<u32>,
    /// It runs lasting work already, so its machine is not moved.
    hosts: bool,
    /// Room that is left: little for most work, much for filling work.
    resources: Reverse<(u64, u64)>,
}

/// How good a worker is for a unit of the step.
pub fn score(worker: &Worker, request: &Request<'_>) -> Score {
    let step = request.step;
    let report = worker.report.as_ref();
    let labels = report.map(|report| report.labels.as_slice()).unwrap_or_default();
    let free = worker.free();
    let score = Score {
        trusted: worker.consecutive_failures == 0,
        settled: true,
        near: step.affinity.as_ref().is_none_or(|rack| labels.contains(rack)),
        home: request
            .preferred_data_centre
            .is_none_or(|home| report.is_some_and(|r| r.data_centre == home)),
        beside: Reverse(0),
        hosts: worker.runs.values().any(|run| run.long_running),
        resources: Reverse((free.cpu_milli, free.memory_mb)),
    };
    if step.best_effort {
        let serves = worker.runs.values().any(|run| run.tail_latency_target.is_some());
        let fillers = worker.runs.values().filter(|run| run.best_effort).count() as u32;
        let resources = Reverse((worker.used.cpu_milli, worker.used.memory_mb));
        return Score {
            settled: !serves,
            beside: Reverse(fillers),
            hosts: false,
            resources,
            ..score
        };
    }
    if step.long_running {
        let rack = report.and_then(|report| report.rack());
        let alike = rack.and_then(|rack| request.units_per_rack.get(rack)).copied().unwrap_or(0);
        return Score { settled: !worker.maintenance_due, beside: Reverse(alike), ..score };
    }
    score
}
