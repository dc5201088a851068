//! Why units wait: what each worker of their pool lacks, and who holds that room.

use super::waiting::ready_since;
use super::{Scheduler, Time, Waiting};
use crate::instance::State;
use crate::place::{Candidate, Request};
use crate::worker::Worker;
use jobs::definition::Resources;
use jobs::{Ledger, PoolName, StepKey, UnitKey};
use std::collections::BTreeMap;
use std::time::Duration;

/// Wait after which a unit is explained.
const EXPLAIN_AFTER: Duration = Duration::from_secs(2);
/// Time between two explanations of a pool.
const EXPLAIN_INTERVAL: Duration = Duration::from_secs(1);

/// Longest waits of units that may be placed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LongestWaits {
    /// Of units that run until their job is cancelled.
    pub long_running: Duration,
    /// Of all others.
    pub other: Duration,
}

/// Room of the workers that are too full for a unit, by who has it.
#[derive(Debug, Default)]
struct Room {
    free: Resources,
    largest_free: Resources,
    long_running: Resources,
    ending: Resources,
    stopping: Resources,
}

impl Room {
    fn add(&mut self, worker: &Worker) {
        let free = worker.free_resources();
        self.free = self.free.plus(&free);
        self.largest_free = self.largest_free.larger(&free);
        for run in worker.runs.values() {
            let holder = if run.is_stopping_or_ending() {
                &mut self.stopping
            } else if run.long_running {
                &mut self.long_running
            } else {
                &mut self.ending
            };
            *holder = holder.plus(&run.resources);
        }
    }
}

impl Scheduler {
    /// Returns the longest waits of units that may be placed.
    pub fn longest_waits(&self, now: Duration) -> LongestWaits {
        let mut longest = LongestWaits::default();
        for waiting in self.waiting.values().flat_map(BTreeMap::values) {
            let waits = if waiting.criteria.long_running {
                &mut longest.long_running
            } else {
                &mut longest.other
            };
            let since = ready_since(now, waiting).map(|(_, since)| since);
            *waits = (*waits).max(now.saturating_sub(since.unwrap_or(now)));
        }
        longest
    }

    /// Explains the unit of each pool that has waited longest, work that lasts first.
    pub(super) fn explain_shortages(&mut self, time: Time, ledger: &Ledger) {
        let now = time.monotonic;
        if now < self.shortages_explained_at + EXPLAIN_INTERVAL {
            return;
        }
        self.shortages_explained_at = now;
        let mut explanations = Vec::new();
        for (pool, steps) in &self.waiting {
            if let Some((unit, since)) = longest_waiting(now, steps)
                && now >= since + EXPLAIN_AFTER
                && let Some(text) = self.shortage(time, ledger, pool, &unit, now - since)
            {
                explanations.push((ledger.unit_name(&unit).unwrap_or_default(), text));
            }
        }
        for (name, text) in explanations {
            self.explain(name, text);
        }
    }

    /// Describes what the workers of a pool lack for a unit.
    fn shortage(
        &self,
        time: Time,
        ledger: &Ledger,
        pool: &PoolName,
        unit: &UnitKey,
        waited: Duration,
    ) -> Option<String> {
        let job = ledger.job(unit.job)?;
        let step = &job.definition.steps[usize::from(unit.step)];
        let none = BTreeMap::new();
        let request = Request {
            key: unit.step_key(),
            step,
            units_per_rack: &none,
            preferred_data_centre: None,
            trial: None,
        };
        let mut lacks: BTreeMap<String, usize> = BTreeMap::new();
        let mut room = Room::default();
        let mut claims = self.claims_by_worker();
        for (id, worker) in &self.workers {
            if worker.report.as_ref().is_none_or(|report| report.pool != *pool) {
                continue;
            }
            let lack = match self.unavailability(time, worker) {
                Some(reason) => reason.to_string(),
                None => {
                    let mut candidate = Candidate::new(time.monotonic, id, worker);
                    candidate.set_claims(claims.remove(id).unwrap_or_default());
                    let exclusion = candidate.exclusion(&request);
                    exclusion.map_or("nothing".to_string(), |exclusion| exclusion.to_string())
                }
            };
            *lacks.entry(lack).or_default() += 1;
            room.add(worker);
        }
        let standby = self.inventory.instances().filter(|instance| {
            instance.state == State::Up
                && ledger
                    .config()
                    .and_then(|config| config.pools.get(&instance.pool))
                    .is_some_and(|pool| pool.standby)
        });
        let lacks: Vec<String> =
            lacks.iter().map(|(lack, workers)| format!("{lack} {workers}")).collect();
        let Room { free, largest_free, long_running, ending, stopping } = room;
        Some(format!(
            "waits for {} ms, pool {pool}: needs {}, free {}, most on one worker {}, held by work that \
             lasts {}, by other work {}, by runs being stopped {}; workers lack: {}; instances on standby: {}",
            waited.as_millis(),
            describe(&step.reserved_resources()),
            describe(&free),
            describe(&largest_free),
            describe(&long_running),
            describe(&ending),
            describe(&stopping),
            lacks.join(", "),
            standby.count(),
        ))
    }

    /// Returns why a worker gets no new work; `None` if it may get some.
    fn unavailability(&self, time: Time, worker: &Worker) -> Option<&'static str> {
        if worker.is_closed() {
            Some("cordoned")
        } else if worker.polling.is_silent(time.monotonic) {
            Some("silent")
        } else if !worker.is_available(time.monotonic, super::placing::MAX_SILENCE) {
            Some("draining or not heard")
        } else {
            None
        }
    }
}

/// Returns the unit that has waited longest since it could be placed, work that lasts first.
fn longest_waiting(
    now: Duration,
    steps: &BTreeMap<StepKey, Waiting>,
) -> Option<(UnitKey, Duration)> {
    let waits = steps.iter().filter_map(|(key, waiting)| {
        let (index, since) = ready_since(now, waiting)?;
        Some((!waiting.criteria.long_running, since, key.unit(index)))
    });
    waits.min().map(|(_, since, unit)| (unit, since))
}

/// Formats resources as processor, memory and accelerators.
fn describe(resources: &Resources) -> String {
    let Resources { cpu_milli, memory_mb, accelerators } = resources;
    format!("{cpu_milli}m/{memory_mb}MiB/{accelerators}")
}
