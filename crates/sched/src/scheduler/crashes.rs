//! Crashes of workers: what shows them, and which runs they took with them.

use super::{Scheduler, Time};
use crate::crash::{Loss, LostRun, MAX_LOSS_AGE};
use crate::roster::Report;
use crate::worker::{Run, RunState};
use jobs::crash::MAX_TRIAL_CRASH;
use jobs::{Ledger, WorkerId};

/// Units that a log line about a crash names at most.
const MAX_NAMED_UNITS: usize = 4;

impl Scheduler {
    /// Records a crash of a worker, which a successor shows, with the runs that it has now. Its
    /// end is no crash if it was about to leave or its instance is wanted for something else.
    pub(super) fn record_crash(&mut self, time: Time, id: &WorkerId) {
        if let Some(loss) = self.unexplained_losses.remove(id).or_else(|| self.loss(time, id)) {
            self.crashes.push(loss);
        }
    }

    /// Remembers the runs of a silent worker whose lease has expired, until a successor or the
    /// worker itself shows what became of it.
    pub(super) fn record_loss(&mut self, time: Time, id: &WorkerId) {
        if self.unexplained_losses.contains_key(id) {
            return;
        }
        let Some(loss) = self.loss(time, id) else { return };
        if self.workers.get(id).is_some_and(|worker| worker.is_replaced) {
            self.crashes.push(loss);
        } else {
            self.unexplained_losses.insert(id.clone(), loss);
        }
    }

    /// Takes the losses of workers that a reporting worker succeeds as crashes.
    pub(super) fn explain_losses(&mut self, report: &Report) {
        let is_succeeded = |_: &WorkerId, loss: &mut Loss| {
            loss.is_succeeded_by(&report.incarnation, &report.instance, &report.address)
        };
        let crashed = self.unexplained_losses.extract_if(.., is_succeeded);
        self.crashes.extend(crashed.map(|(_, loss)| loss));
    }

    /// Forgets losses that nothing has explained for too long.
    pub(super) fn expire_losses(&mut self, time: Time) {
        self.unexplained_losses.retain(|_, loss| time.monotonic < loss.lost_at + MAX_LOSS_AGE);
    }

    /// Adds the crashes that were recorded since the last decision to the next proposal.
    pub(super) fn report_crashes(&mut self, time: Time, ledger: &Ledger) {
        for loss in std::mem::take(&mut self.crashes) {
            let recent = loss.recent_runs();
            let named = recent.iter().take(MAX_NAMED_UNITS).map(|run| {
                let name = ledger.unit_name(&run.unit).unwrap_or_default();
                match run.survived {
                    Some(survived) => format!("{name} run {} {} ms", run.run, survived.as_millis()),
                    None => format!("{name} run {} not known to have begun", run.run),
                }
            });
            let named: Vec<String> = named.collect();
            let text = format!(
                "crashed with {} runs, {} of them recent: {}",
                loss.runs.len(),
                recent.len(),
                named.join(", ")
            );
            self.effort.worker_crashes += 1;
            let list = loss.crash_list(time.monotonic, self.settings.max_lease);
            self.batch.crashed.push(list);
            self.explain(loss.incarnation.worker, text);
        }
    }

    /// Returns the runs that a worker has, or may have, now; `None` if it has none, or if its
    /// end would be no surprise.
    fn loss(&self, time: Time, id: &WorkerId) -> Option<Loss> {
        let worker = self.workers.get(id)?;
        let report = worker.report.as_ref().filter(|_| worker.accepts_starts())?;
        let alive_at = worker.last_proof_of_life();
        let silent_since = worker.polling.unanswered_since.unwrap_or(time.monotonic);
        let runs: Vec<LostRun> = worker
            .runs
            .iter()
            .filter(|(_, run)| may_be_there(run))
            .map(|((unit, number), run)| LostRun {
                unit: *unit,
                run: *number,
                survived: run.survived_until(alive_at),
                ended_at_start: run
                    .started_at
                    .is_some_and(|began| silent_since <= began + MAX_TRIAL_CRASH),
            })
            .collect();
        (!runs.is_empty()).then(|| Loss {
            incarnation: worker.incarnation.clone(),
            instance: report.instance.clone(),
            address: report.address,
            alive_at,
            lost_at: time.monotonic,
            runs,
            has_unplaced: !worker.unplaced.is_empty(),
        })
    }
}

/// Returns whether a run was sent to its worker and is not known to have ended.
fn may_be_there(run: &Run) -> bool {
    match run.state {
        RunState::Proposed | RunState::Ready | RunState::Ending => false,
        RunState::Stopping { acknowledged, .. } => acknowledged.is_none(),
        RunState::Inherited | RunState::Starting | RunState::Unclear | RunState::Running => true,
    }
}
