//! Runs on workers that the ledger does not place there, and starts that may bring such runs
//! about.
//!
//! Such a run holds resources until it is certainly gone. When a worker has restarted, all
//! starts that may still be under way to it are barred at the new incarnation by stops.

use super::starts::STOP_RETRY_DELAY;
use super::{MAX_CLOCK_STEP, Scheduler, Time};
use crate::late::{LATE_ORDER_WINDOW, LateStart, SEND_WINDOW, Unplaced};
use crate::order::{Order, RunStatus, Stop};
use crate::worker::{RunState, StopReason, Worker};
use jobs::command::{EndReason, LateRun, RunKey};
use jobs::definition::Resources;
use jobs::{Ledger, RunNumber, Step, UnitKey, UnixMs, WorkerId};
use std::collections::BTreeSet;
use std::time::Duration;

/// Longest time that settled runs wait for another proposal to go with.
const SETTLED_INTERVAL: Duration = Duration::from_millis(100);
/// Time from the beginning of a leadership after which a worker that has not reported may have
/// restarted.
const MAX_UNREPORTED: Duration = Duration::from_millis(3000);
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
        worker.usage_changed |= !listed.is_empty() || !worker.unplaced.is_empty();
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

    /// Adds to the next proposal, with the runs that it releases, which of them may still be started by
    /// an incarnation of their worker. A unit is placed again only after its release is committed,
    /// so that no later leader places it without knowing.
    pub(super) fn record_late_runs(&mut self, time: Time) {
        for batch in [&mut self.batch, &mut self.adoptions] {
            let discarded = batch.discarded.iter().map(|discarded| (discarded.unit, discarded.run));
            let ends = || batch.ended.iter().flat_map(|list| &list.ends);
            let ended = ends().filter_map(|end| Some((end.unit?, end.run)));
            let failed = ends().filter(|end| end.reason == EndReason::Failed);
            let failed: BTreeSet<RunKey> =
                failed.filter_map(|end| Some((end.unit?, end.run))).collect();
            for key in discarded.chain(ended).collect::<Vec<RunKey>>() {
                let (unit, run) = key;
                for id in self.placed_on.get(&unit).into_iter().flatten() {
                    let Some(worker) = self.workers.get(id) else { continue };
                    let entry = worker.runs.get(&key);
                    let start = entry.and_then(|run| worker.late_start(time.monotonic, run));
                    let reason = entry.and_then(|run| run.stop_reason);
                    let is_barred =
                        failed.contains(&key) || reason.is_some_and(StopReason::bars_return);
                    if let Some(LateStart { holds_unit, is_refused, may_return, .. }) = start {
                        let incarnation = worker.incarnation.clone();
                        let (instance, at) = (worker.instance.clone(), time.wall);
                        batch.late.push(LateRun {
                            unit,
                            run,
                            incarnation,
                            instance,
                            holds_unit,
                            may_return: is_refused && may_return && !is_barred,
                            at,
                        });
                    }
                }
            }
        }
    }

    /// Adds settled runs to the next proposal, or to one of their own after a while.
    pub(super) fn record_settled(&mut self, time: Time) {
        if self.settled.is_empty() || self.batch.is_empty() && time.monotonic < self.settled_due_at
        {
            return;
        }
        self.settled_due_at = time.monotonic + SETTLED_INTERVAL;
        self.batch.settled.append(&mut self.settled);
    }

    /// Takes over the late starts that the ledger knows of.
    pub(super) fn inherit_late_runs(&mut self, time: Time, ledger: &Ledger) {
        for late in ledger.late_runs().values() {
            self.inherit_worker(time, ledger, &late.incarnation);
            self.inherit_instance(&late.incarnation, &late.instance);
        }
        for (key, late) in ledger.late_runs() {
            let (unit, _) = *key;
            let until = late_until(time, ledger, late.at, Duration::ZERO);
            let Some(step) = step_of(ledger, &unit) else { continue };
            let has_failed = ledger.unit(&unit).is_some_and(|unit| unit.failures > 0);
            let resources = step.reserved_resources();
            let worker = self.inherit_worker(time, ledger, &late.incarnation);
            let has_restarted = worker.incarnation.started_at > late.incarnation.started_at;
            worker.add_late_start(
                *key,
                LateStart {
                    resources,
                    until,
                    holds_unit: late.holds_unit || has_restarted,
                    is_refused: true, // by its fence
                    // The former leader may have avoided the worker, where the unit has failed.
                    may_return: late.may_return && !has_restarted && !has_failed,
                    long_running: step.long_running,
                    speculative: step.speculative,
                    uses_account: true,
                },
            );
            self.placed_on.entry(unit).or_default().insert(late.incarnation.worker.clone());
        }
    }

    /// Bars at a new incarnation the starts of removed runs that may still arrive there.
    pub(super) fn bar_late_starts(&mut self, time: Time, ledger: &Ledger, id: &WorkerId) {
        let Some(worker) = self.workers.get_mut(id) else { return };
        worker.usage_changed = true;
        worker.unplaced.clear();
        for ((unit, number), start) in &worker.late_starts {
            let Some(name) = ledger.unit_name(unit).filter(|_| time.monotonic < start.until) else {
                continue;
            };
            let run = Unplaced::new(Some(*unit), Some(start.resources));
            worker.unplaced.insert((name, *number), run);
        }
    }

    /// Suspects restarts of workers with late starts that have not reported to this leader, and so
    /// can't be polled.
    pub(super) fn suspect_unreported(&mut self, time: Time, ledger: &Ledger) {
        if time.monotonic < self.began_at + MAX_UNREPORTED {
            return;
        }
        let is_unreported = |worker: &Worker| {
            worker.address.is_none()
                && !worker.ended
                && !worker.late_starts.is_empty()
                && worker.restart_suspected_at.is_none()
        };
        let unreported = self.workers.iter().filter(|(_, worker)| is_unreported(worker));
        let unreported: Vec<WorkerId> = unreported.map(|(id, _)| id.clone()).collect();
        for id in unreported {
            self.suspect_restart(time, ledger, &id);
        }
    }

    /// Handles signs that a worker may have restarted: until it answers, or its late starts are over,
    /// units that it may begin run nowhere else. Stops reach the other workers sooner than a
    /// successor, whose first report is yet to come.
    pub(super) fn suspect_restart(&mut self, time: Time, ledger: &Ledger, id: &WorkerId) {
        let Some(worker) = self.workers.get_mut(id) else { return };
        if worker.restart_suspected_at.is_some() || !worker.can_return() {
            return;
        }
        worker.restart_suspected_at = Some(time.monotonic);
        for unit in worker.units_that_may_begin(time.monotonic) {
            self.hold_waiting(&unit);
            self.stop_elsewhere(time, ledger, id, unit);
        }
    }

    /// Handles that a worker owes an answer, so that it may have restarted: until it answers, units that
    /// it may begin are not placed. Those that run elsewhere are stopped once it is silent.
    pub(super) fn record_owed_answer(&mut self, time: Time, id: &WorkerId) {
        let Some(worker) = self.workers.get_mut(id) else { return };
        worker.answer_owed_since = Some(time.monotonic);
        for unit in worker.units_that_may_begin(time.monotonic) {
            self.hold_waiting(&unit);
        }
    }

    /// Stops the runs of a unit that are not on this worker, unless it may run in copies or too many
    /// of its step are unavailable.
    fn stop_elsewhere(&mut self, time: Time, ledger: &Ledger, id: &WorkerId, unit: UnitKey) {
        let Some(job) = ledger.job(unit.job) else { return };
        let is_done = ledger.unit(&unit).is_some_and(|unit| unit.done);
        if is_done || job.definition.steps[usize::from(unit.step)].speculative {
            return;
        }
        let mut runs = self.find_runs(unit..=unit);
        runs.retain(|(other, _, _)| other != id);
        if runs.is_empty() || !self.may_interrupt(ledger, &unit) {
            return;
        }
        let name = ledger.unit_name(&unit).unwrap_or_default();
        let text =
            format!("{id} may have restarted and may carry out a start of the unit: stopped");
        self.explain(name, text);
        for (other, unit, number) in runs {
            self.stop(time, ledger, &other, unit, number, StopReason::EarlierStart);
        }
    }

    /// Sends the stops that a new incarnation has not been sent, if its address is known.
    pub(super) fn send_first_stops(&mut self, time: Time, ledger: &Ledger, id: &WorkerId) {
        let Some(worker) = self.workers.get(id) else { return };
        let is_unsent = |state: &RunState| matches!(state, RunState::Stopping { sent: None, .. });
        let runs = worker.runs.iter().filter(|(_, run)| is_unsent(&run.state));
        let runs: Vec<(UnitKey, RunNumber)> = runs.map(|(key, _)| *key).collect();
        let unplaced: Vec<(String, RunNumber)> = worker.unplaced.keys().cloned().collect();
        for (unit, number) in runs {
            self.send_stop(time, ledger, id, unit, number);
        }
        for key in unplaced {
            self.stop_unplaced(time, id, &key);
        }
    }

    /// Sends the stops of unplaced runs that were not sent, and again those that are not confirmed.
    /// Listed runs are stopped again with each list.
    pub(super) fn retry_unplaced_stops(&mut self, time: Time) {
        let is_due = |run: &Unplaced| {
            (!run.is_listed || run.stop_sent_at.is_none())
                && run.stop_acknowledged_at.is_none()
                && run.stop_sent_at.is_none_or(|at| time.monotonic >= at + STOP_RETRY_DELAY)
        };
        let due: Vec<(WorkerId, (String, RunNumber))> = self
            .workers
            .iter()
            .flat_map(|(id, worker)| {
                let due = worker.unplaced.iter().filter(|(_, run)| is_due(run));
                due.map(|(key, _)| (id.clone(), key.clone()))
            })
            .collect();
        for (id, key) in due {
            self.stop_unplaced(time, &id, &key);
        }
    }

    /// Orders a worker to stop an unplaced run, once its address is known.
    fn stop_unplaced(&mut self, time: Time, id: &WorkerId, key: &(String, RunNumber)) {
        let Some(worker) = self.workers.get_mut(id) else { return };
        let Some(destination) = worker.destination() else { return };
        let fence = self.fences.after(worker.restarts);
        let is_silent = worker.polling.is_silent(time.monotonic);
        let Some(unplaced) = worker.unplaced.get_mut(key) else { return };
        if !self.outstanding.stops.admits(id, is_silent, 0) {
            self.has_withheld_orders |= !is_silent;
            return;
        }
        unplaced.stop_sent_at = Some(time.monotonic);
        let (name, run) = key.clone();
        let unit = unplaced.unit.unwrap_or(UNKNOWN_UNIT);
        self.outstanding.stops.record_sent(id, (unit, run), 0);
        self.orders.push(Order::Stop(destination, Stop { unit, name, run, fence }));
    }
}

/// Returns until when a start may be carried out whose run was placed or released at a time of the
/// log, and that was sent within `sent_for` after that: at most for the window from now on. The age
/// in the log allows for a step of a wall clock, as that of a leader may be wrong.
pub(super) fn late_until(time: Time, ledger: &Ledger, at: UnixMs, sent_for: Duration) -> Duration {
    let age = Duration::from_millis(time.wall.max(ledger.latest_at()).saturating_sub(at));
    let left = (LATE_ORDER_WINDOW + SEND_WINDOW + sent_for + MAX_CLOCK_STEP).saturating_sub(age);
    time.monotonic + left.min(LATE_ORDER_WINDOW)
}

/// Returns the step of a unit; `None` if its job is not known.
fn step_of<'a>(ledger: &'a Ledger, unit: &UnitKey) -> Option<&'a Step> {
    ledger.job(unit.job)?.definition.steps.get(usize::from(unit.step))
}

/// Returns the resources that runs of a unit use; `None` if its job is not known.
fn unit_resources(ledger: &Ledger, unit: &UnitKey) -> Option<Resources> {
    Some(step_of(ledger, unit)?.reserved_resources())
}
