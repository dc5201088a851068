//! Orders to start and stop runs: sending them, handling the replies, and retrying. Also
//! stops runs that make no progress.
//!
//! A start without an answer may have been lost or may still arrive. It is sent again
//! under the same run number; if it stays unanswered, the run is stopped at the worker
//! before its unit is placed elsewhere.

use super::{LEASE_DURATION, Scheduler, Time};
use crate::late::SEND_WINDOW;
use crate::lease::Origin;
use crate::order::{Answer, Order, Refusal, Start, StartOutcome};
use crate::rank::scaled;
use crate::worker::{Absence, Run, RunState, StopReason};
use jobs::command::Discarded;
use jobs::{Incarnation, Ledger, RunNumber, UnitKey, WorkerId};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Unanswered starts after which the run is stopped and its unit placed elsewhere. The unit
/// then waits for the stop to be answered, so it is given up only when an answer is unlikely:
/// of a worker that leaves out a third of its answers, once in 700 starts.
const MAX_UNANSWERED_STARTS: u32 = 6;
/// Time from its placement within which a run is started, also again. Later its unit is placed anew.
pub(super) const START_WINDOW: Duration = Duration::from_secs(5);
/// Delay after which a stop is sent again while its run has not ended, whether the
/// stop was acknowledged or not.
pub(super) const STOP_RETRY_DELAY: Duration = Duration::from_millis(600);
/// Shortest time without progress, or without being listed, after which a run counts as stuck. A worker's run
/// lists are about a second old.
const MIN_STUCK_DURATION: Duration = Duration::from_millis(2500);
/// Part of a unit's expected run time without progress after which its run counts as
/// stuck. A worker that is ten times slower than expected still advances by one
/// percent within that time.
const STUCK_RUN_TIME_FRACTION: f64 = 0.1;

/// Reply to an order to start a run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StartReply {
    /// Incarnation that the order was sent to.
    pub incarnation: Incarnation,
    /// Unit of the run.
    pub unit: UnitKey,
    /// Number of the run.
    pub run: RunNumber,
    /// `Done` if the worker started the run.
    pub answer: Answer<()>,
    /// The clock of the incarnation that answered, in milliseconds; `None` if it is not known.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub clock_ms: Option<u64>,
    /// No part of the order left the process that was to send it.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub is_unsent: bool,
    /// The order was sent a second time, since the first connection closed without an answer.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub is_repeated: bool,
}

impl StartReply {
    /// Creates the reply to the start of a run.
    pub fn new(
        incarnation: Incarnation,
        unit: UnitKey,
        run: RunNumber,
        outcome: StartOutcome,
    ) -> StartReply {
        let StartOutcome { answer, clock_ms, is_unsent, is_repeated } = outcome;
        StartReply { incarnation, unit, run, answer, clock_ms, is_unsent, is_repeated }
    }
}

/// Reply to an order to stop a run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StopReply {
    /// Incarnation that the order was sent to.
    pub incarnation: Incarnation,
    /// Unit of the run.
    pub unit: UnitKey,
    /// Number of the run.
    pub run: RunNumber,
    /// `Done` if the worker stopped the run or will refuse a start of it.
    pub answer: Answer<()>,
}

impl Scheduler {
    /// Starts a run whose placement was committed, or discards it if it should no
    /// longer run on that worker.
    pub(super) fn on_placed(
        &mut self,
        time: Time,
        ledger: &Ledger,
        unit: UnitKey,
        number: RunNumber,
        incarnation: &Incarnation,
    ) {
        let Some(worker) = self.workers.get_mut(&incarnation.worker) else {
            self.batch.discarded.push(Discarded { unit, run: number });
            return;
        };
        if worker.runs.get(&(unit, number)).is_some_and(|run| run.state == RunState::Ending) {
            return; // it has been adopted with its end
        }
        let same_incarnation = worker.incarnation == *incarnation;
        let unavailable = worker.polling.is_silent(time.monotonic)
            || !worker.accepts_starts()
            || !worker.fits_its_runs();
        if !worker.runs.contains_key(&(unit, number)) {
            self.batch.discarded.push(Discarded { unit, run: number });
            return;
        }
        let over_cap = self.exceeds_new_cap(ledger, &incarnation.worker, unit, number);
        let Some(worker) = self.workers.get_mut(&incarnation.worker) else { return };
        let Some(run) = worker.runs.get_mut(&(unit, number)) else { return };
        if !same_incarnation || unavailable || over_cap || run.stop_reason.is_some() {
            run.discard(Absence::Unsent);
            self.batch.discarded.push(Discarded { unit, run: number });
            return;
        }
        run.state = RunState::Ready;
        if self.may_start_on(&unit, &incarnation.worker) {
            self.send_start(time, ledger, &incarnation.worker, unit, number);
        }
    }

    /// Orders a worker to start a placed run. Nothing is sent while the worker's clock is
    /// unknown, since no lease can be given then, or too many starts have no reply; the periodic
    /// retry sends it later.
    fn send_start(
        &mut self,
        time: Time,
        ledger: &Ledger,
        id: &WorkerId,
        unit: UnitKey,
        number: RunNumber,
    ) {
        let lease = LEASE_DURATION.min(self.settings.max_lease);
        let ticket = self.ticket(time, &unit.step_key(), id).cloned();
        let Some(worker) = self.workers.get_mut(id) else { return };
        let Some(destination) = worker.destination() else { return };
        let Some(job) = ledger.job(unit.job) else { return };
        let Some(state) = ledger.unit(&unit) else { return };
        let placement = state.placements.iter().find(|placement| placement.run == number);
        let Some(placement) = placement else { return };
        let bytes = job.definition.spec.len()
            + placement.checkpoint.len()
            + ticket.as_ref().map_or(0, String::len);
        let is_silent = worker.polling.is_silent(time.monotonic);
        if !self.outstanding.starts.admits(id, is_silent, bytes) {
            self.has_withheld_orders |= !is_silent;
            return;
        }
        let Some(lease_end_ms) = worker.lease.extend(time.monotonic, lease) else { return };
        let Some(run) = worker.runs.get_mut(&(unit, number)) else { return };
        run.state = RunState::Starting;
        run.unconfirmed_since = Some(time.monotonic);
        run.start_sent_at = Some(time.monotonic);
        let start = Start {
            unit,
            name: format!("{}.{}.{}.{}", job.id, unit.occurrence, unit.step, unit.index),
            run: number,
            spec: job.definition.spec.clone(),
            lease_end_ms,
            fence: self.fences.after(worker.restarts),
            checkpoint: placement.checkpoint.clone(),
            ticket,
            leave_by: time.monotonic + SEND_WINDOW,
        };
        self.outstanding.starts.record_sent(id, (unit, number), bytes);
        self.orders.push(Order::Start(destination, start));
    }

    /// Handles the reply to a start. Replies to other incarnations, or for runs that are
    /// no longer starting, are ignored.
    pub fn on_start_reply(&mut self, time: Time, ledger: &Ledger, reply: StartReply) {
        let StartReply { incarnation, unit, run: number, answer, clock_ms, is_unsent, is_repeated } =
            reply;
        let id = incarnation.worker.clone();
        self.outstanding.starts.record_reply(&id, (unit, number));
        let Some(worker) = self.workers.get_mut(&id) else { return };
        let Some(run) = worker.runs.get_mut(&(unit, number)) else { return };
        let sent_at = run.start_sent_at.take();
        if matches!(answer, Answer::Unknown | Answer::Lost) && !is_unsent || is_repeated {
            run.unanswered_start_at = sent_at.or(run.unanswered_start_at);
        }
        if is_repeated {
            run.unanswered_starts += 1; // the first copy
            run.unconfirmed_since = run.unconfirmed_since.max(sent_at);
        }
        if worker.incarnation != incarnation || run.state != RunState::Starting {
            return;
        }
        match clock_ms.map(|clock_ms| worker.lease.origin_of(time.monotonic, clock_ms)) {
            Some(Origin::Same) => run.confirm(),
            Some(Origin::Other) => run.unanswered_starts += 1, // the worker itself has not answered
            Some(Origin::Unknown) | None => {}
        }
        // The answer to a start names no incarnation, so it does not end a silence in which the
        // worker may have restarted.
        if matches!(answer, Answer::Done(()) | Answer::Refused(_))
            && !worker.polling.is_silent(time.monotonic)
        {
            worker.polling.record_answer(time.monotonic);
        }
        match answer {
            Answer::Done(()) => {
                run.state = RunState::Running;
                run.started_at = Some(time.monotonic);
                run.progress = (0, time.monotonic);
                let is_trial = run.is_trial;
                if run.settle(time.monotonic) {
                    self.settled.push((unit, number));
                }
                if is_trial {
                    self.observe_trial(time, &id);
                }
                self.record_begun(ledger, unit.job);
            }
            Answer::Unknown if is_unsent && run.unanswered_starts == 0 => {
                run.confirm();
                run.stop_reason = Some(StopReason::UnansweredStart);
                run.discard(Absence::Unsent);
                self.batch.discarded.push(Discarded { unit, run: number });
                self.record_unanswered(time, &id);
            }
            Answer::Unknown => {
                run.unanswered_starts += 1;
                run.state = RunState::Unclear;
                self.record_unanswered(time, &id);
            }
            Answer::Lost => {
                run.unanswered_starts = run.unanswered_starts.max(1);
                run.state = RunState::Unclear;
                self.record_lost(time, &id);
            }
            Answer::Misdirected => self.on_incarnation_ended(time, &id),
            Answer::Refused(refusal) => {
                let certain = run.unanswered_starts == 0;
                run.confirm();
                self.on_refusal(&id, refusal);
                self.start_refused(time, ledger, &id, (unit, number), refusal, certain);
            }
        }
    }

    /// Handles a refused start. `certain` means that no earlier start of the run is
    /// unanswered, so the run is not on the worker and is discarded; otherwise an earlier
    /// copy may still arrive there, and the run is stopped.
    fn start_refused(
        &mut self,
        time: Time,
        ledger: &Ledger,
        id: &WorkerId,
        key: (UnitKey, RunNumber),
        refusal: Refusal,
        certain: bool,
    ) {
        let Some(worker) = self.workers.get_mut(id) else { return };
        let Some(run) = worker.runs.get_mut(&key) else { return };
        let (unit, number) = key;
        match refusal {
            Refusal::Fence => {}
            Refusal::Old => {
                // The run was stopped or has ended there; the next run lists say which.
                run.stop_reason.get_or_insert(StopReason::UnansweredStart);
                let acknowledged = Some(time.monotonic);
                run.state = RunState::Stopping { sent: Some(time.monotonic), acknowledged };
            }
            _ if certain => {
                if refusal == Refusal::Ticket {
                    self.drop_refused_ticket(&unit, id);
                }
                let Some(worker) = self.workers.get_mut(id) else { return };
                let Some(run) = worker.runs.get_mut(&key) else { return };
                run.discard(Absence::Refused);
                self.batch.discarded.push(Discarded { unit, run: number });
                let placed_at = run.placed_at;
                if refusal == Refusal::Busy
                    && worker.health.record_failure(time.monotonic, placed_at)
                {
                    self.explain(id.clone(), "backs off: it refuses starts".to_string());
                }
                self.explain(id.clone(), format!("refuses to start a run: {refusal:?}"));
            }
            _ => self.stop(time, ledger, id, unit, number, StopReason::UnansweredStart),
        }
    }

    /// Removes the ticket that a worker has refused, so that a new one is requested.
    fn drop_refused_ticket(&mut self, unit: &UnitKey, id: &WorkerId) {
        self.drop_ticket(&unit.step_key(), id);
    }

    /// Handles the reply to a stop. A stopped run is removed only when later run lists name
    /// its end or do not name the run at all.
    pub fn on_stop_reply(&mut self, time: Time, reply: StopReply) {
        let StopReply { incarnation, unit, run: number, answer } = reply;
        let id = incarnation.worker.clone();
        self.outstanding.stops.record_reply(&id, (unit, number));
        let Some(worker) = self.workers.get_mut(&id) else { return };
        if worker.incarnation != incarnation {
            return;
        }
        match answer {
            Answer::Done(()) => {
                if let Some(run) = worker.runs.get_mut(&(unit, number))
                    && let RunState::Stopping { acknowledged, .. } = &mut run.state
                {
                    acknowledged.get_or_insert(time.monotonic);
                }
                worker.acknowledge_unplaced(time.monotonic, unit, number);
            }
            Answer::Misdirected => self.on_incarnation_ended(time, &id),
            // The stop may be of an earlier leadership of this process, or from before the worker was
            // forgotten, with a lower fence. Whether a higher one was seen shows the next poll.
            Answer::Refused(_) => {}
            Answer::Unknown | Answer::Lost if worker.polling.is_silent(time.monotonic) => {}
            Answer::Unknown | Answer::Lost => {
                if let Some(run) = worker.runs.get_mut(&(unit, number))
                    && let RunState::Stopping { sent, acknowledged: None } = &mut run.state
                {
                    *sent = None; // sent again with the next retries
                }
            }
        }
    }

    /// Sends unanswered starts and stops again, and stops runs that make no progress.
    pub(super) fn retry_orders(&mut self, time: Time, ledger: &Ledger) {
        self.has_withheld_orders = false;
        let mut starts = Vec::new();
        let mut stops = Vec::new();
        let mut open_stops = Vec::new();
        let mut stuck = Vec::new();
        let mut unlisted = Vec::new();
        let mut given_up = Vec::new();
        let mut needs_list = false;
        for (id, worker) in &self.workers {
            let silent = worker.polling.is_silent(time.monotonic);
            let is_held = |run: &Run| run.may_run_unseen(time.monotonic, self.settings.max_lease);
            let is_unheard =
                silent || worker.address.is_none() || worker.owes_answer(time.monotonic);
            let is_unheard = is_unheard && worker.can_return();
            needs_list |= is_unheard && (worker.holds_units() || worker.runs.values().any(is_held));
            let all_listed_at = worker.polling.all_listed_at.unwrap_or_default();
            for ((unit, number), run) in &worker.runs {
                let key = (id.clone(), *unit, *number);
                match run.state {
                    RunState::Ready | RunState::Unclear
                        if !worker.accepts_starts() || !worker.fits_its_runs() =>
                    {
                        stops.push(key);
                    }
                    RunState::Ready if time.monotonic >= run.placed_at + START_WINDOW => {
                        stops.push(key);
                    }
                    RunState::Ready if !silent && self.may_start_on(unit, id) => {
                        starts.push((run.placed_at, key));
                    }
                    RunState::Unclear if !silent => {
                        if run.unanswered_starts >= MAX_UNANSWERED_STARTS
                            || time.monotonic >= run.placed_at + START_WINDOW
                        {
                            given_up.push((id.clone(), run.placed_at));
                            stops.push(key);
                        } else if self.may_start_on(unit, id) {
                            starts.push((run.placed_at, key));
                        }
                    }
                    RunState::Stopping { sent, .. }
                        if run.is_stop_due(time.monotonic, STOP_RETRY_DELAY) =>
                    {
                        open_stops.push((sent, key));
                    }
                    // Work that lasts makes no progress, and an end is listed until it is acknowledged.
                    RunState::Running
                        if !silent && run.is_unlisted(all_listed_at, MIN_STUCK_DURATION) =>
                    {
                        unlisted.push(key);
                    }
                    RunState::Running if !silent && is_stuck(ledger, unit, run, all_listed_at) => {
                        stuck.push(key);
                    }
                    _ => {}
                }
            }
        }
        starts.sort(); // the oldest first, as too many may have no reply
        for (_, (id, unit, number)) in starts {
            if self.exceeds_new_cap(ledger, &id, unit, number) {
                self.stop(time, ledger, &id, unit, number, StopReason::UnansweredStart);
            } else {
                self.send_start(time, ledger, &id, unit, number);
            }
        }
        for (id, placed_at) in given_up {
            if let Some(worker) = self.workers.get_mut(&id) {
                worker.health.record_failure(time.monotonic, placed_at);
            }
        }
        for (id, unit, number) in stops {
            self.stop(time, ledger, &id, unit, number, StopReason::UnansweredStart);
        }
        open_stops.sort(); // those that were never sent first, as too many may have no reply
        for (_, (id, unit, number)) in open_stops {
            if self.may_repeat_stop(ledger, &id, unit, number) {
                self.send_stop(time, ledger, &id, unit, number);
            } else {
                self.withhold_stop(time, &id, unit, number);
            }
        }
        self.retry_unplaced_stops(time);
        self.suspect_unreported(time, ledger);
        if needs_list {
            self.request_instance_list(time); // shows whether the worker can return
        }
        let stuck = stuck.into_iter().map(|key| (key, "makes no progress on"));
        let unlisted = unlisted.into_iter().map(|key| (key, "is not listed any more by"));
        for ((id, unit, number), cause) in stuck.chain(unlisted) {
            let name = ledger.unit_name(&unit).unwrap_or_default();
            self.explain(name, format!("run {number} {cause} {id}: stopped"));
            if let Some(worker) = self.workers.get_mut(&id)
                && let Some(run) = worker.runs.get(&(unit, number))
            {
                worker.health.record_failure(time.monotonic, run.placed_at);
            }
            self.stop(time, ledger, &id, unit, number, StopReason::Stuck);
        }
    }
}

/// Whether a run has made no progress for too long, up to the worker's latest full run lists
/// at `listed_at`. The time since then does not count, since a worker that does not
/// answer reports no progress either, and a run may have ended that is not listed yet. Paused runs and long-running ones that have fully
/// started make no progress and are not stuck.
fn is_stuck(ledger: &Ledger, unit: &UnitKey, run: &Run, listed_at: Duration) -> bool {
    let (percent, since) = run.progress;
    if listed_at < since + MIN_STUCK_DURATION
        || run.started_at.is_none()
        || run.share_percent == Some(0)
        || (run.long_running && percent >= 100)
    {
        return false;
    }
    let Some(job) = ledger.job(unit.job) else { return false };
    let expected = job.definition.steps[usize::from(unit.step)].estimate;
    let max_stall = MIN_STUCK_DURATION.max(scaled(expected, STUCK_RUN_TIME_FRACTION));
    listed_at >= since + max_stall
}
