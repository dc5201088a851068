//! Where a unit runs.
//!
//! Answers wide steps, racks with data, waves and correlated loss: near its data
//! first, then where the most room is left, so that steps end together and no
//! worker carries more of a pool than it has to. Lasting work goes to machines
//! that stay.

use crate::worker::Worker;
use jobs::{Step, StepKey};
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
}

/// Whether a unit of the step may run on a worker.
pub fn fits(worker: &Worker, terms: &Terms<'_>) -> bool {
    let Terms { key, step, now, silence } = terms;
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
    let alike = if step.lasting { worker.runs_of(&terms.key) } else { 0 };
    let settled = !step.lasting || !worker.due;
    let free = worker.free();
    (trusted, settled, near, std::cmp::Reverse(alike), free.cpu_milli, free.memory_mb)
}
