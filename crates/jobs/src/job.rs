//! Jobs as the ledger keeps them.

use crate::command::EndReason;
use crate::{Decision, Definition, Incarnation, JobId, PoolName, QueueName, RunNumber, UnixMs};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::time::Duration;

/// State of a job, as clients see it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum State {
    /// No unit has been started.
    Queued,
    /// Units have been started.
    Running,
    /// All units are done.
    Completed,
    /// A unit has failed too often.
    Failed,
    /// A client cancelled it.
    Cancelled,
}

impl State {
    /// Whether no unit is started any more.
    pub fn is_final(self) -> bool {
        matches!(self, State::Completed | State::Failed | State::Cancelled)
    }
}

/// A job.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Job {
    /// Name that the client gave.
    pub id: JobId,
    /// Queue that it is in.
    pub queue: QueueName,
    /// Pool that runs it, by the newest configuration that has the queue.
    pub pool: PoolName,
    /// Urgency; 0 comes first.
    pub priority: u32,
    /// Runs of a unit that may fail.
    pub max_attempts: u32,
    /// Factor on the longest chain in the objective.
    #[serde(rename = "stretch")]
    pub critical_path_factor: f64,
    /// Part of the objective that does not depend on the work.
    #[serde(rename = "objective")]
    pub base_objective: Duration,
    /// The client's description; without steps once the job is over.
    #[serde(rename = "order")]
    pub definition: Definition,
    /// When it was accepted.
    #[serde(rename = "accepted")]
    pub accepted_at: UnixMs,
    /// Its state.
    pub state: State,
    /// When it reached a final state.
    #[serde(rename = "finished")]
    pub finished_at: Option<UnixMs>,
    /// Occurrences with a unit that was started, and the others once due.
    pub occurrences: BTreeMap<u32, Occurrence>,
    /// Occurrences of which all units are done.
    #[serde(rename = "completed")]
    pub completed_occurrences: u32,
}

/// One occurrence of a job.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Occurrence {
    /// Units of each step.
    pub steps: Vec<Vec<Unit>>,
}

/// State of a unit.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Unit {
    /// Number of its last run; 0 before the first.
    #[serde(rename = "r")]
    pub last_run: RunNumber,
    /// Runs that failed.
    #[serde(rename = "f", skip_serializing_if = "is_zero")]
    pub failures: u32,
    /// Whether a run has ended done.
    #[serde(rename = "d", skip_serializing_if = "is_false")]
    pub done: bool,
    /// Newest checkpoint; empty for none.
    #[serde(rename = "c", skip_serializing_if = "String::is_empty")]
    pub checkpoint: String,
    /// Runs that may be on a worker.
    #[serde(rename = "p", skip_serializing_if = "Vec::is_empty")]
    pub placements: Vec<Placement>,
}

fn is_zero(value: &u32) -> bool {
    *value == 0
}

fn is_false(value: &bool) -> bool {
    !value
}

/// A run that may be on a worker.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Placement {
    /// The life that it was placed on.
    #[serde(rename = "l")]
    pub incarnation: Incarnation,
    /// The run.
    #[serde(rename = "r")]
    pub run: RunNumber,
    /// Checkpoint that it started from.
    #[serde(rename = "c", default, skip_serializing_if = "String::is_empty")]
    pub checkpoint: String,
}

impl Job {
    /// An occurrence, with no unit started if it is new.
    pub fn occurrence_mut(&mut self, number: u32) -> &mut Occurrence {
        let steps = &self.definition.steps;
        self.occurrences.entry(number).or_insert_with(|| Occurrence::new(steps))
    }

    /// A unit, if it is kept.
    pub fn unit(&self, occurrence: u32, step: u16, index: u32) -> Option<&Unit> {
        self.occurrences
            .get(&occurrence)?
            .steps
            .get(usize::from(step))?
            .get(usize::try_from(index).ok()?)
    }

    /// Whether all units of a step of an occurrence are done.
    pub fn is_step_done(&self, occurrence: u32, step: u16) -> bool {
        self.occurrences
            .get(&occurrence)
            .and_then(|occurrence| occurrence.steps.get(usize::from(step)))
            .is_some_and(|units| units.iter().all(|unit| unit.done))
    }

    /// Whether the steps that a step waits for are done.
    pub fn is_step_unblocked(&self, occurrence: u32, step: u16) -> bool {
        let Some(wanted) = self.definition.steps.get(usize::from(step)) else { return false };
        wanted.after.iter().all(|before| self.is_step_done(occurrence, *before))
    }

    /// Whether a unit was ever started.
    pub fn has_started(&self) -> bool {
        self.state != State::Queued
    }

    /// What is known of the job, for someone who asks after it: when it was accepted,
    /// how far each step is, and how it ended.
    pub fn explain(&self) -> Vec<Decision> {
        let subject = format!("job {}", self.id);
        let fact = |at, text| Decision { at, subject: subject.clone(), text };
        let accepted = format!("accepted in queue {} for pool {}", self.queue, self.pool);
        let mut facts = vec![fact(self.accepted_at, accepted)];
        for (number, occurrence) in &self.occurrences {
            for step in 0..occurrence.steps.len() as u16 {
                facts.push(fact(self.accepted_at, self.step_text(*number, step)));
            }
        }
        if let Some(finished) = self.finished_at {
            let took = finished.saturating_sub(self.accepted_at);
            facts.push(fact(finished, format!("{:?} {took} ms after it was accepted", self.state)));
        }
        facts
    }

    fn step_text(&self, occurrence: u32, step: u16) -> String {
        let units = &self.occurrences[&occurrence].steps[usize::from(step)];
        let done = units.iter().filter(|unit| unit.done).count();
        let failures: u32 = units.iter().map(|unit| unit.failures).sum();
        let mut text = format!(
            "occurrence {occurrence}, step {step}: {done} of {} units done, {failures} runs failed",
            units.len()
        );
        for (index, unit) in units.iter().enumerate() {
            for Placement { incarnation, run, .. } in &unit.placements {
                text.push_str(&format!("; unit {index} run {run} is on {}", incarnation.worker));
            }
        }
        let waits = units.iter().filter(|unit| !unit.done && unit.placements.is_empty()).count();
        if waits > 0 && self.is_step_unblocked(occurrence, step) {
            text.push_str(&format!("; {waits} wait for room"));
        } else if waits > 0 {
            let after = &self.definition.steps[usize::from(step)].after;
            text.push_str(&format!("; {waits} wait for steps {after:?}"));
        }
        text
    }

    /// Whether a run may still be on a worker.
    pub fn has_placements(&self) -> bool {
        let units = self.occurrences.values().flat_map(|o| o.steps.iter().flatten());
        units.into_iter().any(|unit| !unit.placements.is_empty())
    }
}

impl Occurrence {
    fn new(steps: &[crate::Step]) -> Occurrence {
        let units = |step: &crate::Step| vec![Unit::default(); step.count as usize];
        Occurrence { steps: steps.iter().map(units).collect() }
    }
}

impl Unit {
    /// Takes in the end of a run that was placed.
    pub fn end(&mut self, reason: EndReason, checkpoint: &str) {
        if !checkpoint.is_empty() {
            self.checkpoint = checkpoint.to_string();
        }
        match reason {
            EndReason::Done => self.done = true,
            EndReason::Failed => self.failures += 1,
            EndReason::Stopped | EndReason::Lapsed | EndReason::Broken | EndReason::Alone => {}
        }
    }
}
