//! Polling workers for their run lists, and applying the lists.
//!
//! Each poll also renews the worker's lease and acknowledges the ends that are in the
//! log. A worker that does not answer gets no new work, and its runs are discarded when
//! its lease has expired.

use super::{LEASE_DURATION, Scheduler, Time};
use crate::late::SEND_WINDOW;
use crate::lease::ClockReading;
use crate::order::{Answer, Order, Poll, RunLists, RunStatus};
use crate::usage::Totals;
use crate::worker::{Absence, RunState, Worker};
use jobs::command::{Discarded, End, EndList, RunKey};
use jobs::{Incarnation, Ledger, RunNumber, UnitKey, WorkerId};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Longest wait of a poll to a worker with runs. It bounds the interval between lease
/// renewals and the time until a silent worker is noticed.
const MAX_WAIT_WITH_RUNS: Duration = Duration::from_millis(800);
/// Longest wait of a poll to a worker that runs best-effort work beside work with a
/// tail latency target. Several measurements have to arrive within the time for which
/// the latency may exceed its target.
const MAX_WAIT_MIXED: Duration = Duration::from_millis(400);
/// Longest wait of a poll to a worker with a trial, so that a crash soon after a start is told from
/// a later one.
const MAX_WAIT_ON_TRIAL: Duration = Duration::from_millis(100);
/// Longest wait of a poll to a worker without runs.
const MAX_WAIT_IDLE: Duration = Duration::from_millis(2000);
/// Shortest time from an answer to the next poll of the same worker. Ends that come
/// closer together are acknowledged together.
const MIN_POLL_GAP: Duration = Duration::from_millis(25);
/// Delay after the first unanswered poll; doubles with each further one.
const FIRST_RETRY_DELAY: Duration = Duration::from_millis(100);
/// Longest delay after an unanswered poll.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(1);
/// Consecutive polls and starts without a usable answer after which a worker with an
/// expired lease and no runs is removed until it reports again.
const REMOVE_AFTER_UNANSWERED: u32 = 6;
/// Longest time that the next poll waits for proposed ends to be acknowledged.
const PROPOSAL_TIMEOUT: Duration = Duration::from_millis(500);

/// Reply to a poll for a worker's run lists.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PollReply {
    /// Incarnation that was polled.
    pub incarnation: Incarnation,
    /// `sent_at` of the poll, on the leader's monotonic clock.
    pub sent_at: Duration,
    /// The run lists, or why there are none.
    pub answer: Answer<RunLists>,
}

/// Polling.
impl Scheduler {
    /// Sends the polls that are due, discards the runs of workers whose lease has
    /// expired, and removes workers that no longer report or answer.
    pub(super) fn poll_workers(&mut self, time: Time, ledger: &Ledger) {
        let now = time.monotonic;
        self.effort.workers_examined += self.workers.len() as u64;
        let lease = LEASE_DURATION.min(self.settings.max_lease);
        let mut lost = Vec::new();
        let mut unreachable = Vec::new();
        let mut over = Vec::new();
        let mut silent = Vec::new();
        let mut owing = Vec::new();
        for (id, worker) in &mut self.workers {
            // The usual lease is waited for in any case: a crash is recorded by then, before its units
            // run again.
            let heard_at = worker.polling.heard_at.max(worker.reported_at);
            let is_unheard = now >= heard_at.unwrap_or(self.began_at) + LEASE_DURATION;
            let is_lost = || {
                worker.lease.is_expired(now)
                    || is_unheard && (worker.is_gone(now) || worker.is_vacated(now))
            };
            if !worker.runs.is_empty() && is_lost() {
                lost.push(id.clone());
            }
            if worker.lease.is_expired(now) {
                let is_unknown = worker.report.is_none()
                    && (worker.address.is_none() || worker.polling.unanswered > 0);
                if is_unknown || worker.polling.unanswered >= REMOVE_AFTER_UNANSWERED {
                    unreachable.push(id.clone());
                }
            }
            over.extend(worker.remove_late_starts(now, self.settings.max_lease));
            if worker.falls_silent(now) {
                silent.push(id.clone());
            } else if worker.comes_to_owe_answer(now) {
                owing.push(id.clone());
            }
            worker.polling.replace_long_poll(now, MAX_WAIT_ON_TRIAL);
            if worker.polling.sent_at.is_some() || now < worker.polling.next_at {
                continue;
            }
            let Some(destination) = worker.destination() else { continue };
            let committed_through = ledger.acknowledged_through(&worker.incarnation);
            let answered_at = worker.polling.answered_at.unwrap_or_default();
            if worker.proposed_through > committed_through && now < answered_at + PROPOSAL_TIMEOUT {
                continue; // wait, so that the next poll acknowledges the proposed ends
            }
            let longest_wait = match (worker.answered_under_fence, worker.runs.is_empty()) {
                (false, _) => Duration::ZERO,
                (true, _) if !worker.claims.is_empty() => Duration::ZERO,
                (true, true) if worker.unplaced.is_empty() => MAX_WAIT_IDLE,
                (true, _) if worker.next_poll_settles_run() => Duration::ZERO,
                (true, _) if worker.has_trial() => MAX_WAIT_ON_TRIAL,
                (true, _) if worker.mixes_best_effort_and_serving() => MAX_WAIT_MIXED,
                (true, _) => MAX_WAIT_WITH_RUNS,
            };
            let max_wait = worker.max_wait_beside_late_starts(now, longest_wait);
            // Extending the lease of a worker that does not answer would keep it from
            // ever expiring.
            let extend_lease =
                worker.polling.unanswered == 0 && !worker.runs.is_empty() && !worker.ended;
            let lease_end_ms = if extend_lease { worker.lease.extend(now, lease) } else { None };
            let acknowledged_through = worker.acknowledge(committed_through);
            worker.polling.sent_at = Some(now);
            worker.polling.replace_at = None;
            worker.polling.max_wait = max_wait;
            worker.polling.grants_lease = lease_end_ms.is_some();
            let poll = Poll {
                fence: self.fences.after(worker.restarts),
                acknowledged_through,
                lease_end_ms,
                max_wait,
                sent_at: now,
                leave_by: now + SEND_WINDOW,
            };
            self.orders.push(Order::Poll(destination, poll));
        }
        silent.iter().for_each(|id| self.suspect_restart(time, ledger, id));
        owing.iter().for_each(|id| self.record_owed_answer(time, id));
        self.settled.extend(over.into_iter().filter(|key| ledger.late_runs().contains_key(key)));
        for id in lost {
            self.discard_lost(time, &id);
        }
        for id in unreachable {
            let is_idle = |worker: &Worker| worker.runs.is_empty() && worker.late_starts.is_empty();
            if self.workers.get(&id).is_some_and(is_idle) {
                if let Some(worker) = self.workers.remove(&id) {
                    self.least_restarts = self.least_restarts.max(worker.restarts + 1);
                }
                self.usage.replace(&id, Totals::new());
            }
        }
    }

    /// Handles the reply to a poll. Replies to other incarnations or earlier polls are
    /// ignored.
    pub fn on_poll_reply(&mut self, time: Time, ledger: &Ledger, reply: PollReply) {
        let id = reply.incarnation.worker.clone();
        let Some(worker) = self.workers.get_mut(&id) else { return };
        if worker.incarnation != reply.incarnation || worker.polling.sent_at != Some(reply.sent_at)
        {
            return;
        }
        worker.polling.sent_at = None;
        let is_answered =
            matches!(&reply.answer, Answer::Done(run_lists) if !run_lists.is_repeated);
        if worker.polling.grants_lease && !is_answered {
            worker.polling.unanswered_grant_at = Some(reply.sent_at);
        }
        let answered = match &reply.answer {
            Answer::Done(run_lists) => Some(worker.answered_start(run_lists)),
            _ => None,
        };
        if worker.ended && answered.is_none_or(|start| start == worker.stated_start) {
            worker.address = None;
            return; // the incarnation ended while the poll was open
        }
        match reply.answer {
            Answer::Done(run_lists) => {
                let stated_start = worker.answered_start(&run_lists);
                let is_news = !worker.answered_under_fence
                    || !worker.claims.is_empty()
                    || stated_start != worker.stated_start;
                if is_news {
                    self.answered.push(Incarnation::new(id.clone(), stated_start));
                }
                let report = worker.settle_claims(stated_start);
                if stated_start != worker.stated_start {
                    self.on_new_incarnation(time, ledger, &id, stated_start);
                    match report {
                        Some(report) => self.on_report(time, ledger, &report),
                        None => self.send_first_stops(time, ledger, &id),
                    }
                    return;
                }
                self.unexplained_losses.remove(&id);
                worker.restart_suspected_at.take_if(|at| reply.sent_at >= *at);
                worker.answer_owed_since.take_if(|at| reply.sent_at >= *at);
                worker.polling.record_answer(time.monotonic);
                worker.lists_without = 0;
                (worker.is_replaced, worker.is_succeeded_elsewhere) = (false, false);
                worker.polling.record_listed_ends(&run_lists);
                worker.polling.unanswered_polls = 0;
                worker.polling.answered_at = Some(time.monotonic);
                if !run_lists.has_more_ends {
                    worker.polling.all_listed_at = Some(time.monotonic);
                }
                worker.polling.next_at = time.monotonic + MIN_POLL_GAP;
                let reading =
                    ClockReading { clock_ms: run_lists.clock_ms, received_at: time.monotonic };
                worker.lease.record_clock(reading);
                self.apply_run_lists(time, ledger, &id, reply.sent_at, run_lists);
                self.end_answered_maintenance(&id, reply.sent_at);
                if let Some(worker) = self.workers.get_mut(&id) {
                    worker.update_speed(time.monotonic);
                }
            }
            Answer::Misdirected => self.on_incarnation_ended(time, &id),
            Answer::Refused(refusal) => {
                self.record_unanswered_poll(time, &id);
                self.on_refusal(&id, refusal);
            }
            Answer::Unknown => {
                // A worker that does not answer is waited for; a connection that ends earlier shows
                // that a process has.
                let is_closed = time.monotonic < reply.sent_at + worker.polling.max_wait;
                self.record_unanswered_poll(time, &id);
                let worker = self.workers.get(&id);
                if is_closed || worker.is_some_and(|w| w.polling.is_silent(time.monotonic)) {
                    self.suspect_restart(time, ledger, &id);
                }
            }
            Answer::Lost => {
                worker.polling.unanswered_polls = worker.polling.unanswered_polls.max(1);
                self.record_lost(time, &id);
            }
        }
    }

    /// Limits the wait of an open poll to a worker on which a trial has begun. A later crash would look
    /// like one at the start of the trial. The poll is not replaced at once, as the end of its connection
    /// is what shows a crash at the start.
    pub(super) fn observe_trial(&mut self, time: Time, id: &WorkerId) {
        let Some(worker) = self.workers.get_mut(id) else { return };
        worker.polling.replace_at = Some(time.monotonic + MAX_WAIT_ON_TRIAL);
    }

    /// Records a poll without a usable answer and delays the next one.
    fn record_unanswered_poll(&mut self, time: Time, id: &WorkerId) {
        self.record_unanswered(time, id);
        let Some(worker) = self.workers.get_mut(id) else { return };
        let delay = FIRST_RETRY_DELAY * 2u32.saturating_pow(worker.polling.unanswered_polls.min(8));
        worker.polling.unanswered_polls += 1;
        worker.polling.next_at = time.monotonic + delay.min(MAX_RETRY_DELAY);
    }

    /// Records an order without a usable answer. The next poll is sent soon.
    pub(super) fn record_unanswered(&mut self, time: Time, id: &WorkerId) {
        let Some(worker) = self.workers.get_mut(id) else { return };
        worker.polling.unanswered += 1;
        worker.polling.unanswered_since.get_or_insert(time.monotonic);
        worker.polling.next_at = time.monotonic + FIRST_RETRY_DELAY;
        if worker.polling.is_silent(time.monotonic) && !worker.polling.silence_explained {
            worker.polling.silence_explained = true;
            self.explain(id.clone(), "does not answer: no new work".to_string());
        }
    }

    /// Records an order that was lost with the process that was to send it, which says nothing
    /// about the worker. The next poll is sent soon, by another process.
    pub(super) fn record_lost(&mut self, time: Time, id: &WorkerId) {
        let Some(worker) = self.workers.get_mut(id) else { return };
        worker.polling.next_at = time.monotonic + FIRST_RETRY_DELAY;
        worker.polling.unanswered = worker.polling.unanswered.max(1);
    }

    /// Handles an answer from another incarnation at the worker's address, which means
    /// that the known one has ended.
    pub(super) fn on_incarnation_ended(&mut self, time: Time, id: &WorkerId) {
        self.record_crash(time, id);
        self.discard_all(time, id, "another incarnation is at its address");
        let Some(worker) = self.workers.get_mut(id) else { return };
        worker.end();
        self.on_replaced(id);
    }

    /// Handles that another worker has answered at the worker's address or reported from its
    /// instance: units no longer wait for starts that it may carry out late.
    pub(super) fn on_replaced(&mut self, id: &WorkerId) {
        let Some(worker) = self.workers.get_mut(id) else { return };
        worker.is_replaced = true;
    }
}

/// Run lists.
impl Scheduler {
    /// Applies a worker's run lists: proposes new ends, updates the state of listed
    /// runs, discards runs that should be listed and are not, and stops runs that are
    /// not placed on the worker.
    fn apply_run_lists(
        &mut self,
        time: Time,
        ledger: &Ledger,
        id: &WorkerId,
        sent_at: Duration,
        run_lists: RunLists,
    ) {
        let Some(worker) = self.workers.get_mut(id) else { return };
        if !worker.answered_under_fence {
            worker.answered_under_fence = true;
            let fence = self.fences.after(worker.restarts);
            self.explanations.push(super::Explanation {
                subject: id.clone(),
                text: format!("answered its first poll with fence {fence}"),
            });
        }
        let running = statuses_by_run(ledger, &run_lists.running);
        let after = worker.proposed_through.max(ledger.acknowledged_through(&worker.incarnation));
        let mut ends = ends(ledger, &run_lists, after);
        let finished_runs: BTreeSet<(UnitKey, RunNumber)> = run_lists
            .finished
            .iter()
            .filter_map(|end| Some((ledger.find_unit(&end.name)?, end.run)))
            .collect();
        if let Some(last) = ends.last() {
            worker.proposed_through = last.number;
        }
        self.adopt_ended_runs(ledger, id, &mut ends);
        let Some(worker) = self.workers.get_mut(id) else { return };
        worker.refuse_ended(&finished_runs);
        for key in &finished_runs {
            if let Some(run) = worker.runs.get_mut(key) {
                run.confirm();
                run.has_ended = true;
                run.state = RunState::Ending;
            }
        }
        let mut outlived = Vec::new();
        for (key, status) in &running {
            update_running(worker, time.monotonic, key, status);
            let run = worker.runs.get_mut(key);
            if run.is_some_and(|run| run.end_trial(time.monotonic)) {
                outlived.push(key.0);
            }
        }
        self.settled.extend(settled_runs(worker, time.monotonic, running.keys()));
        let works_again = running.keys().any(|key| worker.shows_health(time.monotonic, key));
        let missing_runs = match run_lists.has_more_ends {
            true => Vec::new(),
            false => missing_runs(worker, sent_at, |key| {
                running.contains_key(key) || finished_runs.contains(key)
            }),
        };
        for key in missing_runs {
            if let Some(run) = worker.runs.get_mut(&key) {
                run.discard(Absence::Unlisted);
            }
            self.batch.discarded.push(Discarded { unit: key.0, run: key.1 });
        }
        if !ends.is_empty() {
            let incarnation = worker.incarnation.clone();
            self.batch.ended.push(EndList { incarnation, ends });
        }
        for unit in outlived {
            self.clear_unit(&unit);
        }
        if works_again {
            self.explain(id.clone(), "works again after failures".to_string());
        }
        for (unit, _) in running.keys().chain(&finished_runs) {
            self.record_begun(ledger, unit.job);
        }
        self.apply_unplaced(time, ledger, id, sent_at, &run_lists.running);
    }
}

/// Indexes the statuses of known units by unit and run number.
fn statuses_by_run<'a>(
    ledger: &Ledger,
    statuses: &'a [RunStatus],
) -> BTreeMap<(UnitKey, RunNumber), &'a RunStatus> {
    let by_run =
        |status: &'a RunStatus| Some(((ledger.find_unit(&status.name)?, status.run), status));
    statuses.iter().filter_map(by_run).collect()
}

/// Returns the ends numbered above `after`, the last one that is in the log or proposed.
fn ends(ledger: &Ledger, run_lists: &RunLists, after: u64) -> Vec<End> {
    let mut ends: Vec<End> = run_lists
        .finished
        .iter()
        .filter(|end| end.number > after)
        .map(|end| End {
            number: end.number,
            unit: ledger.find_unit(&end.name),
            run: end.run,
            reason: end.reason,
            checkpoint: end.checkpoint.clone(),
        })
        .collect();
    ends.sort_by_key(|end| end.number);
    ends
}

/// Updates a run from its entry in the worker's list of running work.
fn update_running(
    worker: &mut Worker,
    now: Duration,
    key: &(UnitKey, RunNumber),
    status: &RunStatus,
) {
    let Some(run) = worker.runs.get_mut(key) else { return };
    run.started_at = run.started_at.or(Some(now));
    run.listed_at = Some(now);
    run.confirm();
    run.measurement = status.measurement;
    if run.progress.0 != status.progress_percent {
        run.progress = (status.progress_percent, now);
    }
    match run.state {
        RunState::Inherited | RunState::Starting | RunState::Unclear => {
            run.state = RunState::Running;
        }
        _ => {}
    }
}

/// Returns the listed runs that are settled since the last list.
fn settled_runs<'a>(
    worker: &mut Worker,
    now: Duration,
    listed: impl Iterator<Item = &'a RunKey>,
) -> Vec<RunKey> {
    let mut settled = Vec::new();
    for key in listed {
        if worker.runs.get_mut(key).is_some_and(|run| run.settle(now)) {
            settled.push(*key);
        }
    }
    settled
}

/// Returns the unlisted runs that are not on the worker and can no longer start there.
fn missing_runs(
    worker: &Worker,
    sent_at: Duration,
    is_listed: impl Fn(&(UnitKey, RunNumber)) -> bool,
) -> Vec<(UnitKey, RunNumber)> {
    let is_gone = |state: &RunState| match state {
        // The poll raised the worker's fence, so it refuses starts from earlier leaders.
        RunState::Inherited => true,
        RunState::Stopping { acknowledged, .. } => acknowledged.is_some_and(|at| at <= sent_at),
        _ => false,
    };
    worker
        .runs
        .iter()
        .filter(|(key, run)| is_gone(&run.state) && !is_listed(key))
        .map(|(key, _)| *key)
        .collect()
}
