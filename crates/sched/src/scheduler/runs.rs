//! Ends of runs, removal of runs from workers, and handling of workers that restart, drain
//! or refuse orders.
//!
//! Handles committed ends, stops runs that are no longer needed, and discards the runs
//! of a worker that was lost or restarted, so that their units are placed again.

use super::{Scheduler, Time};
use crate::health::Health;
use crate::late::LATE_ORDER_WINDOW;
use crate::lease::Lease;
use crate::order::{Order, Refusal, Stop};
use crate::speed::Speed;
use crate::worker::{Absence, Polling, Run, RunState, StopReason, Worker};
use jobs::command::{Discarded, End, EndReason, Placed, Restart};
use jobs::ledger::Release;
use jobs::{Incarnation, Ledger, RunNumber, Step, UnitKey, UnixMs, WorkerId};
use std::time::Duration;

/// Wait before the third start in a row of work that lasts; doubles with each failure.
const FIRST_RESTART_DELAY: Duration = Duration::from_millis(200);
/// Longest such wait. Work that lasts may be away for 3 s beside free resources.
const MAX_RESTART_DELAY: Duration = Duration::from_secs(2);

impl Scheduler {
    /// Handles the committed end of a run: updates the worker's failure count and the
    /// run-time estimates, stops other copies of a completed unit, and enqueues a unit
    /// that has to run again.
    pub(super) fn on_released(&mut self, time: Time, ledger: &Ledger, release: &Release) {
        let Release { unit, run: number, incarnation, reason } = release;
        let Some(worker) = self.workers.get_mut(&incarnation.worker) else { return };
        let released = worker.release(time.monotonic, *unit, *number);
        let key = (*unit, *number);
        if ledger.late_runs().contains_key(&key) && !worker.late_starts.contains_key(&key) {
            self.settled.push(key); // its start was answered since the release was proposed
        }
        let Some(run) = released else {
            // Otherwise the adoption is not committed yet.
            let is_over = ledger.job(unit.job).is_none_or(|job| job.state.is_final())
                || ledger.unit(unit).is_some_and(|unit| unit.done);
            if is_over {
                self.drop_rejected_adoptions(ledger, unit, &incarnation.worker);
            }
            if *reason == Some(EndReason::Done) {
                self.on_unit_done(time, ledger, unit);
            }
            return;
        };
        match reason {
            Some(EndReason::Done) => {
                worker.health.record_success();
                self.record_run_time(time, ledger, unit, &incarnation.worker, &run);
                self.on_unit_done(time, ledger, unit);
                return;
            }
            Some(EndReason::Failed) => {
                worker.bar_return(unit);
                // Work that lasts may fail at any time; what tells of the worker is whether it starts.
                if !run.is_at_work() && worker.health.record_failure(time.monotonic, run.placed_at)
                {
                    let failures = worker.health.failures();
                    let text = format!("backs off after {failures} consecutive failures");
                    self.explain(incarnation.worker.clone(), text);
                }
                self.record_restart(unit, &run);
                self.avoided_workers.entry(*unit).or_default().insert(incarnation.worker.clone());
            }
            _ => {}
        }
        if run.stop_reason.is_some_and(StopReason::bars_return)
            && let Some(worker) = self.workers.get_mut(&incarnation.worker)
        {
            worker.bar_return(unit);
        }
        if run.stop_reason.is_some_and(StopReason::shuns_worker) {
            self.avoided_workers.entry(*unit).or_default().insert(incarnation.worker.clone());
        }
        self.mark_broken_gang(ledger, unit);
        let needs_placement =
            ledger.unit(unit).is_some_and(|state| !state.done && state.placements.is_empty());
        if needs_placement {
            self.enqueue(time, ledger, *unit, self.restart_delay(unit));
        }
    }

    /// Clears a unit that is done of suspicion, and stops its other copies.
    fn on_unit_done(&mut self, time: Time, ledger: &Ledger, unit: &UnitKey) {
        self.clear_unit(unit);
        for (worker, unit, number) in self.find_runs(*unit..=*unit) {
            self.stop(time, ledger, &worker, unit, number, StopReason::Unneeded);
        }
    }

    /// Counts the failures of work that lasts and did not get to work, for the delay of its next start.
    fn record_restart(&mut self, unit: &UnitKey, run: &Run) {
        if run.is_at_work() {
            self.failed_starts.remove(unit);
        } else if run.long_running {
            *self.failed_starts.entry(*unit).or_default() += 1;
        }
    }

    /// Returns the time until work that lasts is started again. It has no limit of attempts and may
    /// be started on workers that fail it.
    fn restart_delay(&self, unit: &UnitKey) -> Duration {
        match self.failed_starts.get(unit).copied().unwrap_or_default() {
            0 | 1 => Duration::ZERO,
            failures => FIRST_RESTART_DELAY
                .saturating_mul(2u32.saturating_pow(failures - 2))
                .min(MAX_RESTART_DELAY),
        }
    }

    /// Places anew, on the incarnation that lists their ends, runs that the ledger places on an
    /// earlier incarnation of the worker, and those done that it does not place there: the ledger
    /// applies an end only to a run of the incarnation that lists it.
    pub(super) fn adopt_ended_runs(&mut self, ledger: &Ledger, id: &WorkerId, ends: &mut [End]) {
        let Some(incarnation) = self.workers.get(id).map(|worker| worker.incarnation.clone())
        else {
            return;
        };
        let mut runs = Vec::new();
        for end in ends {
            let Some(unit) = end.unit else { continue };
            let now = self.time.monotonic;
            let Some(worker) = self.workers.get_mut(id) else { continue };
            let is_adopted = |run: &Run| is_placed_otherwise(run, end, &incarnation);
            let mut run = match worker.runs.get(&(unit, end.run)) {
                Some(run) if is_adopted(run) => {
                    self.adoptions.discarded.push(Discarded { unit, run: end.run });
                    let Some(run) = worker.release(now, unit, end.run) else { continue };
                    run
                }
                Some(_) => continue,
                None => match unplaced_run(ledger, worker, end, now) {
                    Some(run) => run,
                    None => continue,
                },
            };
            run.placed_on = incarnation.started_at;
            run.state = RunState::Ending;
            run.absence = None;
            run.confirm();
            let number = self.next_run(ledger, &unit);
            self.last_run_numbers.insert(unit, number);
            runs.push((unit, number));
            self.placed_on.entry(unit).or_default().insert(id.clone());
            if let Some(worker) = self.workers.get_mut(id) {
                worker.add(unit, number, run);
            }
            self.end_waiting(&unit);
            end.run = number;
        }
        if !runs.is_empty() {
            let instance = self.workers.get(id).and_then(|worker| worker.instance.clone());
            self.adoptions.placed.push(Placed { incarnation, instance, runs });
        }
    }

    /// Removes a unit's adopted runs that the ledger has not placed, since the unit's job had
    /// ended by then.
    fn drop_rejected_adoptions(&mut self, ledger: &Ledger, unit: &UnitKey, id: &WorkerId) {
        let Some(worker) = self.workers.get_mut(id) else { return };
        let is_placed = |number: RunNumber| {
            let placements = ledger.unit(unit).into_iter().flat_map(|unit| &unit.placements);
            placements.into_iter().any(|placement| placement.run == number)
        };
        let rejected: Vec<RunNumber> = worker
            .runs
            .range((*unit, 0)..=(*unit, RunNumber::MAX))
            .filter(|((_, number), run)| run.state == RunState::Ending && !is_placed(*number))
            .map(|((_, number), _)| *number)
            .collect();
        for number in rejected {
            worker.remove(*unit, number);
        }
    }

    /// Remembers that a unit's gang lacks a member.
    fn mark_broken_gang(&mut self, ledger: &Ledger, unit: &UnitKey) {
        let Some(job) = ledger.job(unit.job) else { return };
        if job.definition.steps[usize::from(unit.step)].gang {
            self.broken_gangs.insert(unit.step_key());
        }
    }

    /// Stops the members of gangs that lack a member: such a gang does no work and would only hold
    /// resources. Done once for all members that ended since the last decision.
    pub(super) fn stop_broken_gangs(&mut self, time: Time, ledger: &Ledger) {
        for key in std::mem::take(&mut self.broken_gangs) {
            for (worker, unit, number) in self.find_runs(key.unit(0)..=key.unit(u32::MAX)) {
                self.stop(time, ledger, &worker, unit, number, StopReason::GangBroken);
            }
        }
    }

    /// Records the run time of a completed unit for later estimates. The time of a unit
    /// that ran far from its data is divided by `far_factor` first.
    pub(super) fn record_run_time(
        &mut self,
        time: Time,
        ledger: &Ledger,
        unit: &UnitKey,
        worker: &WorkerId,
        run: &Run,
    ) {
        let Some(job) = ledger.job(unit.job) else { return };
        let step = &job.definition.steps[usize::from(unit.step)];
        let Some(started_at) = run.started_at else { return };
        if step.long_running || step.best_effort {
            return;
        }
        let run_time = time.monotonic.saturating_sub(started_at);
        let far_factor = self.far_factor_on(worker, step);
        self.estimator.record(&job.queue, step.estimate, run_time.div_f64(far_factor));
        if let Some(worker) = self.workers.get_mut(worker).filter(|_| !run.is_gang) {
            worker.speed.record(time.monotonic, unit.step_key(), run_time, run.expected);
        }
    }

    /// Returns the factor by which units of a step take longer on a worker for being away from their
    /// data.
    pub(super) fn far_factor_on(&self, worker: &WorkerId, step: &Step) -> f64 {
        let report = self.workers.get(worker).and_then(|worker| worker.report.as_ref());
        let is_near = step
            .affinity
            .as_ref()
            .is_none_or(|rack| report.is_some_and(|report| report.labels.contains(rack)));
        if is_near { 1.0 } else { self.settings.far_factor.max(1.0) }
    }

    /// Stops a run, or discards it if its start was never sent.
    pub(super) fn stop(
        &mut self,
        time: Time,
        ledger: &Ledger,
        id: &WorkerId,
        unit: UnitKey,
        number: RunNumber,
        reason: StopReason,
    ) {
        let Some(worker) = self.workers.get_mut(id) else { return };
        let Some(run) = worker.runs.get_mut(&(unit, number)) else { return };
        match run.state {
            RunState::Proposed => {
                // A placement whose job or unit has ended is rejected when its log
                // entry is applied, so the run can be removed now. Any other placement
                // will be committed; the run is discarded then.
                run.stop_reason = Some(reason);
                let ended = ledger.job(unit.job).is_none_or(|job| job.state.is_final())
                    || ledger.unit(&unit).is_some_and(|unit| unit.done);
                if ended {
                    worker.remove(unit, number);
                }
            }
            RunState::Ready => {
                run.stop_reason = Some(reason);
                run.discard(Absence::Unsent);
                self.batch.discarded.push(Discarded { unit, run: number });
            }
            RunState::Ending => {
                let ended = ledger.job(unit.job).is_none_or(|job| job.state.is_final())
                    || ledger.unit(&unit).is_some_and(|unit| unit.done);
                if ended {
                    self.drop_rejected_adoptions(ledger, &unit, id);
                }
            }
            RunState::Stopping { .. } => {}
            RunState::Inherited | RunState::Starting | RunState::Unclear | RunState::Running => {
                run.stop_reason = Some(reason);
                run.state = RunState::Stopping { sent: None, acknowledged: None };
                self.send_stop(time, ledger, id, unit, number);
            }
        }
    }

    /// Orders a worker to stop a run that is in the state `Stopping`. Nothing is sent while too many
    /// stops have no reply; the periodic retry sends it later.
    pub(super) fn send_stop(
        &mut self,
        time: Time,
        ledger: &Ledger,
        id: &WorkerId,
        unit: UnitKey,
        run: RunNumber,
    ) {
        let Some(worker) = self.workers.get_mut(id) else { return };
        let Some(destination) = worker.destination() else { return };
        let Some(name) = ledger.unit_name(&unit) else { return };
        let fence = self.fences.after(worker.restarts);
        let is_silent = worker.polling.is_silent(time.monotonic);
        let Some(entry) = worker.runs.get_mut(&(unit, run)) else { return };
        if let RunState::Stopping { sent, .. } = &mut entry.state {
            if !self.outstanding.stops.admits(id, is_silent, 0) {
                self.has_withheld_orders |= !is_silent;
                return;
            }
            *sent = Some(time.monotonic);
            entry.stop_withheld_at = None;
            self.outstanding.stops.record_sent(id, (unit, run), 0);
            self.orders.push(Order::Stop(destination, Stop { unit, name, run, fence }));
        }
    }

    /// Leaves a stop unsent that is due again.
    pub(super) fn withhold_stop(
        &mut self,
        time: Time,
        id: &WorkerId,
        unit: UnitKey,
        run: RunNumber,
    ) {
        let Some(worker) = self.workers.get_mut(id) else { return };
        let Some(entry) = worker.runs.get_mut(&(unit, run)) else { return };
        entry.stop_withheld_at = Some(time.monotonic);
    }

    /// Discards the runs of an incarnation that has certainly ended.
    pub(super) fn discard_all(&mut self, time: Time, id: &WorkerId, reason: &str) {
        self.discard_where(time, id, Absence::Ended, reason, |_| true);
    }

    /// Discards the runs of a worker whose lease has expired, that is gone or was seen nowhere, except
    /// those that may be on a later incarnation: the lease bounds only the one that had it.
    pub(super) fn discard_lost(&mut self, time: Time, id: &WorkerId) {
        self.record_loss(time, id);
        let Some(worker) = self.workers.get(id) else { return };
        let now = time.monotonic;
        let is_lapsed = worker.lease.is_expired(now);
        let is_gone = worker.is_gone(now);
        let can_return = worker.can_return();
        let vacant_at = worker.vacant_at.filter(|_| is_lapsed || worker.is_vacated(now));
        let (absence, reason) = match (is_gone, is_lapsed) {
            (true, _) => (Absence::Ended, "its instance is gone or has another worker"),
            (false, true) => (Absence::Lapsed, "its lease has expired"),
            (false, false) => (Absence::Ended, "its instance has no worker"),
        };
        let max_lease = self.settings.max_lease;
        self.discard_where(time, id, absence, reason, |run| {
            is_gone
                || is_lapsed && (!can_return || !run.may_run_unseen(now, max_lease))
                || vacant_at.is_some_and(|at| run.has_ended_by(at))
        });
    }

    /// Discards the runs of a worker that fulfil a condition.
    fn discard_where(
        &mut self,
        time: Time,
        id: &WorkerId,
        absence: Absence,
        reason: &str,
        is_over: impl Fn(&Run) -> bool,
    ) {
        let Some(worker) = self.workers.get_mut(id) else { return };
        let mut unconfirmed = Vec::new();
        for ((unit, number), run) in &mut worker.runs {
            if !matches!(run.state, RunState::Proposed | RunState::Ending) && is_over(run) {
                run.discard(absence);
                self.batch.discarded.push(Discarded { unit: *unit, run: *number });
                unconfirmed.push(run.unconfirmed_since);
            }
        }
        if !unconfirmed.is_empty() {
            let count = unconfirmed.len();
            let unconfirmed = describe_unconfirmed(time, unconfirmed.into_iter());
            self.explain(id.clone(), format!("{count} runs discarded: {reason}{unconfirmed}"));
        }
    }

    /// Handles a restart of a worker under the same id. Runs whose starts the previous
    /// incarnation is known to have received are discarded. Any other start may have been carried
    /// out by the new incarnation, or may still reach it, so such a run is stopped there first.
    /// Inherited runs are decided by the first poll of the new incarnation, which raises its
    /// fence.
    pub(super) fn on_new_incarnation(
        &mut self,
        time: Time,
        ledger: &Ledger,
        id: &WorkerId,
        stated_start: UnixMs,
    ) {
        self.record_crash(time, id);
        let Some(worker) = self.workers.get_mut(id) else { return };
        let mut discarded = Vec::new();
        let mut unconfirmed = Vec::new();
        let mut ending = Vec::new();
        for ((unit, number), run) in &mut worker.runs {
            match run.state {
                RunState::Proposed | RunState::Inherited => {}
                RunState::Ending => ending.push((*unit, *number, run.clone())),
                _ if run.may_start_late(time.monotonic) => {
                    run.stop_reason.get_or_insert(StopReason::UnansweredStart);
                    run.state = RunState::Stopping { sent: None, acknowledged: None };
                    unconfirmed.push(run.unconfirmed_since);
                }
                _ => {
                    run.discard(Absence::Ended);
                    discarded.push(Discarded { unit: *unit, run: *number });
                }
            }
        }
        for (unit, number, run) in ending {
            worker.record_late_start(time.monotonic, unit, number, &run);
        }
        // The clock of the new incarnation reaches the end of a lease that was given to its
        // predecessor much later.
        let unanswered_grant_at = worker.last_unanswered_grant();
        let last_arrival = unanswered_grant_at.map(|at| at + LATE_ORDER_WINDOW);
        let granted_until = last_arrival.unwrap_or_default().max(time.monotonic);
        let former_fence = self.fences.after(worker.restarts);
        let former = worker.replace_incarnation(stated_start);
        let restart = Restart { incarnation: worker.incarnation.clone(), stated_start };
        self.batch.restarted.push(restart);
        worker.has_own_fence = self.fences.after(worker.restarts) > former_fence;
        worker.hold_late_starts();
        worker.report = None;
        worker.reported_at = None;
        worker.answered_under_fence = false;
        worker.lease = Lease::inherited(granted_until, self.settings.max_lease);
        worker.polling = Polling { unanswered_grant_at, ..Polling::default() };
        worker.proposed_through = 0;
        worker.speed = Speed::default();
        worker.is_slow = false;
        worker.health = Health::default();
        worker.cordoned = false;
        worker.has_left = false;
        worker.ended = false;
        worker.lists_without = 0;
        worker.unnamed_at = None;
        worker.is_replaced = false;
        worker.is_succeeded_elsewhere = false;
        worker.is_switched_off = false;
        let text = format!(
            "new incarnation started at {stated_start}, after {former}: {} runs discarded, {} starts \
             to be stopped{}",
            discarded.len(),
            unconfirmed.len(),
            describe_unconfirmed(time, unconfirmed.into_iter()),
        );
        self.batch.discarded.extend(discarded);
        self.explain(id.clone(), text);
        self.bar_late_starts(time, ledger, id);
    }

    /// Handles a worker's notice that it will leave: stops its long-running runs, which
    /// are then started elsewhere. Other runs may finish.
    pub(super) fn on_worker_draining(&mut self, time: Time, ledger: &Ledger, id: &WorkerId) {
        self.explain(id.clone(), "is draining: gets no new work".to_string());
        let Some(worker) = self.workers.get(id) else { return };
        let long_running: Vec<(UnitKey, RunNumber)> =
            worker.runs.iter().filter(|(_, run)| run.long_running).map(|(key, _)| *key).collect();
        for (unit, run) in long_running {
            self.stop(time, ledger, id, unit, run, StopReason::Leaving);
        }
    }

    /// Records that `subject` has seen a higher fence; this leader sends no more orders.
    pub(super) fn supersede(&mut self, subject: &WorkerId) {
        if !self.superseded {
            self.superseded = true;
            self.explain(
                subject.clone(),
                "has seen a higher fence: this leader sends no more orders".into(),
            );
        }
    }

    /// Handles a refused order. Only a refusal for the fence concerns the whole
    /// scheduler; the caller handles the others.
    pub(super) fn on_refusal(&mut self, subject: &WorkerId, refusal: Refusal) {
        if refusal == Refusal::Fence {
            self.supersede(subject);
        }
    }
}

/// Returns whether the ledger can't apply an end that an incarnation lists to a run: it places the run on
/// an earlier one, or its release is proposed. After such a release only an end `done` counts.
fn is_placed_otherwise(run: &Run, end: &End, incarnation: &Incarnation) -> bool {
    let is_of_predecessor = run.placed_on != incarnation.started_at;
    match run.state {
        RunState::Ending => {
            end.reason == EndReason::Done && (is_of_predecessor || run.absence.is_some())
        }
        _ => is_of_predecessor,
    }
}

/// Returns the run of an end `done` of a unit that is not done, unless that is a member of a gang, which
/// is placed as a whole. Its placement was released, or the former leader placed it anew under another
/// number and was lost before the end was in the log.
fn unplaced_run(ledger: &Ledger, worker: &Worker, end: &End, now: Duration) -> Option<Run> {
    let unit = end.unit?;
    let is_open = ledger.unit(&unit).is_some_and(|unit| !unit.done);
    let job = ledger.job(unit.job).filter(|job| !job.state.is_final())?;
    let step = &job.definition.steps[usize::from(unit.step)];
    let is_adopted = end.reason == EndReason::Done && is_open && !step.gang;
    is_adopted.then(|| Run::new(RunState::Ending, step, worker.incarnation.started_at, now))
}

/// Describes how many of some runs had a start that may still be under way, and the age of the
/// oldest; empty if none had.
fn describe_unconfirmed(time: Time, sent: impl Iterator<Item = Option<Duration>>) -> String {
    let ages: Vec<Duration> = sent.flatten().map(|at| time.monotonic.saturating_sub(at)).collect();
    match ages.iter().max() {
        None => String::new(),
        Some(oldest) => {
            let (count, oldest_ms) = (ages.len(), oldest.as_millis());
            format!(" ({count} with an unconfirmed start, the oldest of {oldest_ms} ms ago)")
        }
    }
}
