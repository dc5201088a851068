//! Where a unit runs.
//!
//! Answers surges by turns, racks with data, waves and correlated loss: near its
//! data first, then where the least room is left, so that machines run empty and
//! can be moved when a surge is over. Lasting work is spread over racks, and goes
//! to few machines, and to machines that stay.

use crate::worker::Worker;
use jobs::{Step, StepKey};
use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::time::Duration;

/// What a choice of a worker rests on, besides the workers.
#[derive(Clone, Copy, Debug)]
pub struct Terms<'a> {
    /// The step.
    pub key: StepKey,
    /// Its description.
    pub step: &'a Step,
    /// Present time.
    pub now: Duration,
    /// Silence after which a worker gets no new work.
    pub silence: Duration,
    /// Units of the step on each rack; counted for lasting work only.
    pub racks: &'a BTreeMap<String, u32>,
}

/// Whether a unit of the step may run on a worker.
pub fn fits(worker: &Worker, terms: &Terms<'_>) -> bool {
    let Terms { key, step, now, silence, .. } = terms;
    if !worker.is_open(*now, *silence) || !worker.free().holds(&step.counted_room()) {
        return false;
    }
    let labels = worker.report.as_ref().map(|report| report.labels.as_slice()).unwrap_or_default();
    if step.requires.as_ref().is_some_and(|label| !labels.contains(label)) {
        return false;
    }
    step.anti_affinity == 0 || worker.runs_of(key) < step.anti_affinity
}

/// How good a worker is for a unit of the step; the greatest wins.
pub fn score(worker: &Worker, terms: &Terms<'_>) -> impl Ord + use<> {
    let step = terms.step;
    let labels = worker.report.as_ref().map(|report| report.labels.as_slice()).unwrap_or_default();
    let near = step.affinity.as_ref().is_none_or(|rack| labels.contains(rack));
    let trusted = worker.strikes == 0;
    let hosts = worker.runs.values().any(|run| run.lasting);
    let free = worker.free();
    let tight = Reverse((free.cpu_milli, free.memory_mb));
    if step.filling {
        // Far from work that serves, and where the most is left over.
        let serves = worker.runs.values().any(|run| run.tail_target.is_some());
        let others = worker.runs.values().filter(|run| run.filling).count() as u32;
        return (
            trusted,
            !serves,
            near,
            Reverse(others),
            false,
            Reverse((worker.used.cpu_milli, 0)),
        );
    }
    if !step.lasting {
        return (trusted, true, near, Reverse(0), hosts, tight);
    }
    let rack = worker.report.as_ref().and_then(|report| report.rack());
    let beside = rack.and_then(|rack| terms.racks.get(rack)).copied().unwrap_or(0);
    (trusted, !worker.due, near, Reverse(beside), hosts, tight)
}
