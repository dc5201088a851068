//! Runs on workers that the ledger does not place there. They are stopped, and hold resources
//! until they are certainly gone.

use super::{Scheduler, Time};
use crate::late::Unplaced;
use crate::order::{Destination, Order, RunStatus, Stop};
use jobs::definition::Resources;
use jobs::{Ledger, RunNumber, UnitKey, WorkerId};
use std::collections::BTreeSet;
use std::time::Duration;

/// Key in stops of units that no job of the ledger has; the worker needs only the name.
const UNKNOWN_UNIT: UnitKey = UnitKey { job: 0, occurrence: 0, step: 0, index: 0 };

impl Scheduler {
    /// Records and stops the listed runs that are not placed on the worker, and forgets those
    /// that are gone.
    pub(super) fn apply_unplaced(
        &mut self,
        time: Time,
        ledger: &Ledger,
        id: &WorkerId,
        sent_at: Duration,
        running: &[RunStatus],
    ) {
        let Some(worker) = self.workers.get_mut(id) else { return };
        let is_placed = |status: &&RunStatus| {
            let unit = ledger.find_unit(&status.name);
            unit.is_some_and(|unit| worker.runs.contains_key(&(unit, status.run)))
        };
        let listed: BTreeSet<(String, RunNumber)> = running
            .iter()
            .filter(|status| !is_placed(status))
            .map(|status| (status.name.clone(), status.run))
            .collect();
        worker.unplaced.retain(|key, run| listed.contains(key) || !run.is_gone(sent_at));
        for key in &listed {
            let run = worker.unplaced.entry(key.clone()).or_insert_with(|| {
                let unit = ledger.find_unit(&key.0);
                Unplaced::new(unit, unit.and_then(|unit| unit_resources(ledger, &unit)))
            });
            run.is_listed = true;
        }
        let started_at = worker.incarnation.started_at;
        for key in listed {
            self.effort.unplaced_runs += 1;
            let (name, run) = &key;
            let text = format!(
                "incarnation {started_at} runs unit {name} run {run}, which is not placed there: \
                 stopped"
            );
            self.explain(id.clone(), text);
            self.stop_unplaced(time, id, &key);
        }
    }

    /// Orders a worker to stop an unplaced run, once its address is known.
    fn stop_unplaced(&mut self, time: Time, id: &WorkerId, key: &(String, RunNumber)) {
        let Some(worker) = self.workers.get_mut(id) else { return };
        let Some(report) = &worker.report else { return };
        let Some(unplaced) = worker.unplaced.get_mut(key) else { return };
        unplaced.stop_sent_at = Some(time.monotonic);
        let (name, run) = key.clone();
        let unit = unplaced.unit.unwrap_or(UNKNOWN_UNIT);
        let destination =
            Destination { incarnation: worker.incarnation.clone(), address: report.address };
        self.orders.push(Order::Stop(destination, Stop { unit, name, run, fence: self.fence }));
    }
}

/// Returns the resources that runs of a unit use; `None` if its job is not known.
fn unit_resources(ledger: &Ledger, unit: &UnitKey) -> Option<Resources> {
    let step = ledger.job(unit.job)?.definition.steps.get(usize::from(unit.step))?;
    Some(step.reserved_resources())
}
