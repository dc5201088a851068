//! What tests look at.

use super::{RecordedStart, Worker, World};
use std::collections::BTreeMap;

impl World {
    /// Records the worker if its runs together need more than its capacity.
    pub(super) fn record_overload(&mut self, id: &str) {
        let worker = &self.workers[id];
        let cpu_milli = |name: &String| {
            let unit = self.ledger.find_unit(name).unwrap();
            let steps = &self.ledger.jobs()[&unit.job].definition.steps;
            steps[usize::from(unit.step)].reserved_resources().cpu_milli
        };
        let used: u64 = worker.runs.keys().map(|(name, _)| cpu_milli(name)).sum();
        if used > worker.report.capacity.cpu_milli {
            self.overloads.push((self.now, id.to_string()));
        }
    }

    /// Returns the starts of a unit on all workers.
    pub fn starts_of(&self, name: &str) -> Vec<&RecordedStart> {
        self.starts.iter().filter(|start| start.name == name).collect()
    }

    /// Returns the units that are running on more than one worker.
    pub fn running_twice(&self) -> Vec<String> {
        let mut counts: BTreeMap<&String, u32> = BTreeMap::new();
        for worker in self.workers.values().filter(|worker| !worker.is_down) {
            for (name, _) in worker.runs.keys() {
                *counts.entry(name).or_default() += 1;
            }
        }
        let is_single = |name: &String| {
            let unit = self.ledger.find_unit(name);
            unit.is_none_or(|unit| !self.step_of(unit).speculative)
        };
        let twice = counts.into_iter().filter(|(name, count)| *count > 1 && is_single(name));
        twice.map(|(name, _)| name.clone()).collect()
    }

    /// Returns the workers on which a unit is running.
    pub fn workers_running(&self, name: &str) -> Vec<&String> {
        let runs = |worker: &Worker| worker.runs.keys().any(|(unit, _)| unit == name);
        self.workers.iter().filter(|(_, w)| !w.is_down && runs(w)).map(|(id, _)| id).collect()
    }

    /// Returns the state of a job.
    pub fn state(&self, queue: &str, id: &str) -> jobs::State {
        self.ledger.find_job(&queue.to_string(), id).unwrap().state
    }
}
