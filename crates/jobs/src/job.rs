//! Jobs and the state of their units, as the ledger stores them.

use crate::config::Place;
use crate::crash::Crash;
use crate::{
    AccountName, Decision, Definition, Incarnation, InstanceId, JobId, PoolName, QueueName,
    RunNumber, UnixMs,
};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::time::Duration;

/// State of a job, as clients see it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum State {
    /// No run has been placed yet.
    Queued,
    /// At least one run has been placed.
    Running,
    /// All units of all occurrences are done.
    Completed,
    /// The failed runs of a unit, or of a gang together, reached the queue's `max_attempts`, or
    /// a unit crashed the workers that started it.
    Failed,
    /// A client cancelled the job.
    Cancelled,
}

impl State {
    /// Returns whether the job has ended, so that no unit is started any more.
    pub fn is_final(self) -> bool {
        matches!(self, State::Completed | State::Failed | State::Cancelled)
    }
}

/// An accepted job with the state of its units.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Job {
    /// Name of the job, given by the client.
    pub id: JobId,
    /// Name of the job's queue at acceptance. A later version may give its place to a queue with
    /// another name.
    pub queue: QueueName,
    /// Place that the client sent the job to; `None` for a job from before the field existed, which
    /// is found by the name of its queue.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub place: Option<Place>,
    /// Account that submitted the job; `None` for a public queue, or from before there were
    /// accounts.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub owner: Option<AccountName>,
    /// Pool that runs the job, from the newest configuration that has the queue.
    pub pool: PoolName,
    /// Priority of the queue at acceptance; 0 comes first.
    pub priority: u32,
    /// Number of failed runs of a unit, or of all units of a gang together, after which the
    /// job fails; at least 1. Does not apply to long-running steps.
    pub max_attempts: u32,
    /// Factor by which the duration of the critical path counts in the objective.
    #[serde(rename = "stretch")]
    pub critical_path_factor: f64,
    /// Fixed part of the objective.
    #[serde(rename = "objective")]
    pub base_objective: Duration,
    /// The client's description; its opaque text is cleared once the job is finished and
    /// all its runs are released.
    #[serde(rename = "order")]
    pub definition: Definition,
    /// When the job was accepted.
    #[serde(rename = "accepted")]
    pub accepted_at: UnixMs,
    /// Present state.
    pub state: State,
    /// When the job reached a final state; `None` before.
    #[serde(rename = "finished")]
    pub finished_at: Option<UnixMs>,
    /// The first crashes, in the order of the units, for which the job was given up.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub fatal_crashes: Vec<Decision>,
    /// Occurrences by number, each from its first placement on; without a schedule,
    /// occurrence 0 from acceptance on. Cleared once the job is finished and all its runs
    /// are released.
    pub occurrences: BTreeMap<u32, Occurrence>,
    /// Number of occurrences all of whose units are done.
    #[serde(rename = "completed")]
    pub completed_occurrences: u32,
}

/// One occurrence of a job. What is counted here answers questions about all units of a step, so that
/// the cost of the end of a unit does not grow with their number.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(from = "StoredOccurrence")]
pub struct Occurrence {
    /// Units of each step, in the order of the definition.
    steps: Vec<Vec<Unit>>,
    /// Number of units of each step that are not done.
    #[serde(skip)]
    open_units: Vec<usize>,
    /// Number of steps with a unit that is not done.
    #[serde(skip)]
    open_steps: usize,
    /// Number of runs that are, or may be, on a worker.
    #[serde(skip)]
    placements: usize,
}

/// An occurrence as it is stored.
#[derive(Deserialize)]
#[serde(rename = "Occurrence")]
struct StoredOccurrence {
    steps: Vec<Vec<Unit>>,
}

impl From<StoredOccurrence> for Occurrence {
    fn from(stored: StoredOccurrence) -> Occurrence {
        let StoredOccurrence { steps } = stored;
        let open = |units: &Vec<Unit>| units.iter().filter(|unit| !unit.done).count();
        let open_units: Vec<usize> = steps.iter().map(open).collect();
        Occurrence {
            open_steps: open_units.iter().filter(|open| **open > 0).count(),
            open_units,
            placements: steps.iter().flatten().map(|unit| unit.placements.len()).sum(),
            steps,
        }
    }
}

/// State of a unit.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Unit {
    /// Number of its last run; 0 before the first.
    #[serde(rename = "r")]
    pub last_run: RunNumber,
    /// Number of runs that failed.
    #[serde(rename = "f", skip_serializing_if = "is_zero")]
    pub failures: u32,
    /// Whether the unit is done, by one of its runs or another member of its gang.
    #[serde(rename = "d", skip_serializing_if = "is_false")]
    pub done: bool,
    /// Newest checkpoint; empty for none.
    #[serde(rename = "c", skip_serializing_if = "String::is_empty")]
    pub checkpoint: String,
    /// Runs that are, or may be, on a worker.
    #[serde(rename = "p", skip_serializing_if = "Vec::is_empty")]
    pub placements: Vec<Placement>,
    /// Crashes of workers that had a run of the unit, without those of another cause than the last.
    #[serde(rename = "x", skip_serializing_if = "Vec::is_empty")]
    pub crashes: Vec<Crash>,
}

fn is_zero(value: &u32) -> bool {
    *value == 0
}

fn is_false(value: &bool) -> bool {
    !value
}

/// A run that is, or may be, on a worker.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Placement {
    /// Incarnation that the run was placed on.
    #[serde(rename = "l")]
    pub incarnation: Incarnation,
    /// Instance of the worker; `None` if the leader that placed the run didn't know it.
    #[serde(rename = "m", default, skip_serializing_if = "Option::is_none")]
    pub instance: Option<InstanceId>,
    /// Number of the run.
    #[serde(rename = "r")]
    pub run: RunNumber,
    /// Checkpoint that the run starts from; empty for none.
    #[serde(rename = "c", default, skip_serializing_if = "String::is_empty")]
    pub checkpoint: String,
    /// Whether no start of the run can be carried out any more: its worker is known to have received it,
    /// and all copies were answered.
    #[serde(rename = "s", default, skip_serializing_if = "is_false")]
    pub is_settled: bool,
    /// Latest leader time that a command had carried when it was placed; 0 if it is not known.
    #[serde(rename = "t", default)]
    pub at: UnixMs,
}

impl Job {
    /// Returns an occurrence, and creates it with no unit started if it is new.
    pub fn occurrence_mut(&mut self, number: u32) -> &mut Occurrence {
        let steps = &self.definition.steps;
        self.occurrences.entry(number).or_insert_with(|| Occurrence::new(steps))
    }

    /// Returns whether calls of an account may see and change the job; `None` is a call to a public
    /// queue, or without accounts. A job without an owner is open to all.
    pub fn is_open_to(&self, account: Option<&AccountName>) -> bool {
        self.owner.is_none() || account.is_none() || self.owner.as_ref() == account
    }

    /// Returns a unit; `None` if its occurrence is not stored or has no such unit.
    pub fn unit(&self, occurrence: u32, step: u16, index: u32) -> Option<&Unit> {
        self.occurrences
            .get(&occurrence)?
            .steps
            .get(usize::from(step))?
            .get(usize::try_from(index).ok()?)
    }

    /// Returns whether all units of a step of an occurrence are done.
    pub fn is_step_done(&self, occurrence: u32, step: u16) -> bool {
        let occurrence = self.occurrences.get(&occurrence);
        let open = occurrence.and_then(|state| state.open_units.get(usize::from(step)));
        open.is_some_and(|open| *open == 0)
    }

    /// Returns whether all steps that a step depends on are done.
    pub fn is_step_unblocked(&self, occurrence: u32, step: u16) -> bool {
        let Some(dependent) = self.definition.steps.get(usize::from(step)) else { return false };
        dependent.after.iter().all(|before| self.is_step_done(occurrence, *before))
    }

    /// Returns whether a run was ever placed; also true for a job that was cancelled
    /// before.
    pub fn has_started(&self) -> bool {
        self.state != State::Queued
    }

    /// Returns whether a run of the job is known to have ended on a worker, done or failed, or
    /// with it.
    pub fn has_ended_run(&self) -> bool {
        let mut units = self.occurrences.values().flat_map(|o| o.steps.iter().flatten());
        units.any(|unit| {
            unit.done
                || unit.failures > 0
                || !unit.checkpoint.is_empty()
                || !unit.crashes.is_empty()
        })
    }

    /// Explains the job to an operator: when it was accepted, the progress of each step
    /// and what its units wait for, and how the job ended.
    pub fn explain(&self) -> Vec<Decision> {
        let subject = format!("job {}", self.id);
        let fact = |at, text| Decision { at, subject: subject.clone(), text };
        let mut accepted = format!("accepted in queue {} for pool {}", self.queue, self.pool);
        if let Some(owner) = &self.owner {
            accepted.push_str(&format!(", account {owner}"));
        }
        let mut facts = vec![fact(self.accepted_at, accepted)];
        for (number, occurrence) in &self.occurrences {
            for step in 0..occurrence.steps.len() as u16 {
                facts.push(fact(self.accepted_at, self.step_text(*number, step)));
            }
        }
        match self.fatal_crashes.is_empty() {
            true => facts.extend(self.crash_facts()),
            false => facts.extend(self.fatal_crashes.iter().cloned()),
        }
        if let Some(finished) = self.finished_at {
            let took = finished.saturating_sub(self.accepted_at);
            facts.push(fact(finished, format!("{:?} {took} ms after it was accepted", self.state)));
        }
        facts
    }

    /// Returns a fact for each crash under a unit of the job, in the order of the units.
    pub(crate) fn crash_facts(&self) -> Vec<Decision> {
        let mut facts = Vec::new();
        for (occurrence, state) in &self.occurrences {
            for (step, units) in state.steps.iter().enumerate() {
                for (index, unit) in units.iter().enumerate() {
                    let unit_name = format!("{occurrence}.{step}.{index}");
                    let crashes = unit.crashes.iter();
                    facts.extend(crashes.map(|crash| self.crash_fact(&unit_name, crash)));
                }
            }
        }
        facts
    }

    fn crash_fact(&self, unit_name: &str, crash: &Crash) -> Decision {
        let company = if crash.is_alone { "alone" } else { "not alone" };
        let text = format!(
            "worker {} crashed under unit {unit_name} run {}, {} ms after the run began, {company}",
            crash.incarnation.worker,
            crash.run,
            crash.survived.as_millis()
        );
        Decision { at: crash.at, subject: format!("job {}", self.id), text }
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
        let waiting = units.iter().filter(|unit| !unit.done && unit.placements.is_empty()).count();
        if waiting > 0 && self.is_step_unblocked(occurrence, step) {
            text.push_str(&format!("; {waiting} wait for room"));
        } else if waiting > 0 {
            let after = &self.definition.steps[usize::from(step)].after;
            text.push_str(&format!("; {waiting} wait for steps {after:?}"));
        }
        text
    }

    /// Returns whether a run is, or may be, on a worker.
    pub fn has_placements(&self) -> bool {
        self.occurrences.values().any(|occurrence| occurrence.placements > 0)
    }
}

impl Occurrence {
    fn new(steps: &[crate::Step]) -> Occurrence {
        let units = |step: &crate::Step| vec![Unit::default(); step.count as usize];
        StoredOccurrence { steps: steps.iter().map(units).collect() }.into()
    }

    /// Returns the units of each step, in the order of the definition.
    pub fn steps(&self) -> &[Vec<Unit>] {
        &self.steps
    }

    /// Returns whether all units of all steps are done.
    pub(crate) fn is_done(&self) -> bool {
        self.open_steps == 0
    }

    /// Returns a unit, of which neither `done` nor the placements may be changed.
    pub(crate) fn unit_mut(&mut self, step: u16, index: u32) -> Option<&mut Unit> {
        self.steps.get_mut(usize::from(step))?.get_mut(usize::try_from(index).ok()?)
    }

    /// Adds a placement to a unit, and returns whether there is such a unit.
    pub(crate) fn place(&mut self, step: u16, index: u32, placement: Placement) -> bool {
        let Some(unit) = self.unit_mut(step, index) else { return false };
        unit.placements.push(placement);
        self.placements += 1;
        true
    }

    /// Removes the first placement of a unit that fulfils a condition.
    pub(crate) fn release(
        &mut self,
        step: u16,
        index: u32,
        is_it: impl Fn(&Placement) -> bool,
    ) -> Option<Placement> {
        let unit = self.unit_mut(step, index)?;
        let position = unit.placements.iter().position(is_it)?;
        let placement = unit.placements.remove(position);
        self.placements -= 1;
        Some(placement)
    }

    /// Marks a unit as done, and returns whether its whole step is done thereby.
    pub(crate) fn complete(&mut self, step: u16, index: u32) -> bool {
        let Some(unit) = self.unit_mut(step, index).filter(|unit| !unit.done) else { return false };
        unit.done = true;
        let open = &mut self.open_units[usize::from(step)];
        *open -= 1;
        let is_step_done = *open == 0;
        self.open_steps -= usize::from(is_step_done);
        is_step_done
    }

    /// Saves a checkpoint for all units of a step.
    pub(crate) fn share_checkpoint(&mut self, step: u16, checkpoint: &str) {
        for unit in self.steps.get_mut(usize::from(step)).into_iter().flatten() {
            unit.checkpoint = checkpoint.to_string();
        }
    }
}
