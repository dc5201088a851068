//! Asking workers for their lists, and what follows from the answers.

use super::{LEASE, Scheduler, Time};
use crate::lease::Sample;
use crate::order::{Answer, Destination, Order, Poll, RunLists, RunStatus, Stop};
use crate::worker::{RunState, Worker};
use jobs::command::{Discarded, End, EndList};
use jobs::{Incarnation, Ledger, RunNumber, UnitKey, WorkerId};
use std::collections::BTreeMap;
use std::time::Duration;

/// Longest wait of a call to a worker that runs something: its lease is renewed
/// at least this often, and a silent worker is noticed soon after.
const BUSY_WAIT: Duration = Duration::from_millis(800);
/// Longest wait of a call to a worker whose tails decide on filling work: a few
/// readings have to fit into the time for which a tail may be over its target.
const SHARED_WAIT: Duration = Duration::from_millis(400);
/// Longest wait of a call to an idle worker.
const IDLE_WAIT: Duration = Duration::from_millis(2000);
/// Least time between two calls to one worker; ends that come closer together
/// are noted together.
const CALL_GAP: Duration = Duration::from_millis(25);
/// Pause after a call without an answer; doubles with each further one.
const FIRST_PAUSE: Duration = Duration::from_millis(100);
/// Longest pause after a call without an answer.
const LONGEST_PAUSE: Duration = Duration::from_secs(1);
/// Calls in a row without an answer after which an idle worker is forgotten until
/// it reports again.
const GIVE_UP_AFTER: u32 = 6;
/// Time after which ends that were proposed are taken up again.
const PROPOSAL_TIMEOUT: Duration = Duration::from_millis(500);

/// Answer of a worker that was asked for its lists.
#[derive(Clone, Debug, PartialEq)]
pub struct PollReply {
    /// The life that was asked.
    pub incarnation: Incarnation,
    /// When the call was decided on.
    pub sent_at: Duration,
    /// What came of it.
    pub answer: Answer<RunLists>,
}

/// Asking.
impl Scheduler {
    pub(super) fn ask_workers(&mut self, time: Time, ledger: &Ledger) {
        let now = time.monotonic;
        let lease = LEASE.min(self.settings.max_lease);
        let mut lost = Vec::new();
        let mut unknown = Vec::new();
        for (id, worker) in &mut self.workers {
            if worker.lease.is_expired(now) {
                if !worker.runs.is_empty() {
                    lost.push(id.clone());
                }
                if worker.report.is_none() || worker.polling.failures >= GIVE_UP_AFTER {
                    unknown.push(id.clone());
                }
            }
            let Some(report) = &worker.report else { continue };
            if worker.polling.sent_at.is_some() || now < worker.polling.next_at {
                continue;
            }
            let acknowledged_through = ledger.acknowledged_through(&worker.incarnation);
            let answered = worker.polling.answered_at.unwrap_or_default();
            if worker.proposed_through > acknowledged_through && now < answered + PROPOSAL_TIMEOUT {
                continue; // the next call notes the ends that are on their way
            }
            let max_wait = match (worker.verified, worker.runs.is_empty()) {
                (false, _) => Duration::ZERO,
                (true, true) => IDLE_WAIT,
                (true, false) if worker.has_unresolved_run() => Duration::ZERO,
                (true, false) if worker.is_colocated() => SHARED_WAIT,
                (true, false) => BUSY_WAIT,
            };
            // A worker that does not answer must lose its lease at some time.
            let extends = worker.polling.failures == 0 && !worker.runs.is_empty();
            let lease_expires_ms = if extends { worker.lease.extend(now, lease) } else { None };
            worker.polling.sent_at = Some(now);
            let address =
                Destination { incarnation: worker.incarnation.clone(), address: report.address };
            let poll = Poll {
                fence: self.fence,
                acknowledged_through,
                lease_expires_ms,
                max_wait,
                sent_at: now,
            };
            self.orders.push(Order::Poll(address, poll));
        }
        for id in lost {
            self.discard_all(&id, "its lease is over");
        }
        for id in unknown {
            if self.workers.get(&id).is_some_and(|worker| worker.runs.is_empty()) {
                self.workers.remove(&id);
            }
        }
    }

    /// Takes in a worker's lists, or that it gave none.
    pub fn on_poll_reply(&mut self, time: Time, ledger: &Ledger, reply: PollReply) {
        let id = reply.incarnation.worker.clone();
        let Some(worker) = self.workers.get_mut(&id) else { return };
        if worker.incarnation != reply.incarnation || worker.polling.sent_at != Some(reply.sent_at)
        {
            return;
        }
        worker.polling.sent_at = None;
        if worker.ended {
            return; // its machine was taken while the call was open
        }
        match reply.answer {
            Answer::Done(run_lists) => {
                let started_at = run_lists.started_at.unwrap_or(reply.incarnation.started_at);
                if started_at > reply.incarnation.started_at {
                    self.on_new_incarnation(time, ledger, &id, started_at);
                    return;
                }
                worker.polling.failures = 0;
                worker.polling.answered_at = Some(time.monotonic);
                worker.polling.next_at = time.monotonic + CALL_GAP;
                let sample = Sample { clock_ms: run_lists.clock_ms, received: time.monotonic };
                worker.lease.record_clock(sample);
                self.take_lists(time, ledger, &id, reply.sent_at, run_lists);
            }
            Answer::Misdirected => self.on_incarnation_ended(&id),
            Answer::Refused(refusal) => {
                self.no_answer(time, &id);
                self.refused(&id, refusal);
            }
            Answer::Unknown => self.no_answer(time, &id),
        }
    }

    pub(super) fn no_answer(&mut self, time: Time, id: &WorkerId) {
        let Some(worker) = self.workers.get_mut(id) else { return };
        let pause = FIRST_PAUSE * 2u32.saturating_pow(worker.polling.failures.min(8));
        worker.polling.failures += 1;
        worker.polling.next_at = time.monotonic + pause.min(LONGEST_PAUSE);
        if worker.polling.failures == 1 {
            self.note(id.clone(), "does not answer: no new work".to_string());
        }
    }

    /// Another life is at the worker's address, so its own is over.
    pub(super) fn on_incarnation_ended(&mut self, id: &WorkerId) {
        self.discard_all(id, "another life is at its address");
        let Some(worker) = self.workers.get_mut(id) else { return };
        worker.report = None;
        worker.verified = false;
        worker.ended = true;
    }
}

/// Lists.
impl Scheduler {
    fn take_lists(
        &mut self,
        time: Time,
        ledger: &Ledger,
        id: &WorkerId,
        sent_at: Duration,
        run_lists: RunLists,
    ) {
        let Some(worker) = self.workers.get_mut(id) else { return };
        if !worker.verified {
            worker.verified = true;
            self.explanations.push(super::Explanation {
                subject: id.clone(),
                text: format!("answers under fence {}", self.fence),
            });
        }
        let running = rows(ledger, &run_lists.running);
        let ends = ends(
            ledger,
            &run_lists,
            worker.proposed_through.max(ledger.acknowledged_through(&worker.incarnation)),
        );
        let listed: Vec<(UnitKey, RunNumber)> = run_lists
            .finished
            .iter()
            .filter_map(|end| Some((ledger.find_unit(&end.name)?, end.run)))
            .collect();
        if let Some(last) = ends.last() {
            worker.proposed_through = last.number;
        }
        for key in &listed {
            if let Some(run) = worker.runs.get_mut(key) {
                run.state = RunState::Ending;
            }
        }
        for (key, row) in &running {
            see_running(worker, time.monotonic, key, row);
        }
        let missing =
            missing(worker, sent_at, |key| running.contains_key(key) || listed.contains(key));
        for key in missing {
            if let Some(run) = worker.runs.get_mut(&key) {
                run.state = RunState::Ending;
            }
            self.batch.discarded.push(Discarded { unit: key.0, run: key.1 });
        }
        let incarnation = worker.incarnation.clone();
        let strangers: Vec<&RunStatus> = run_lists
            .running
            .iter()
            .filter(|row| {
                let key = ledger.find_unit(&row.name).map(|unit| (unit, row.run));
                key.is_none_or(|key| !worker.runs.contains_key(&key))
            })
            .collect();
        if !ends.is_empty() {
            self.batch.ended.push(EndList { incarnation: incarnation.clone(), ends });
        }
        let address = worker.report.as_ref().map(|report| report.address);
        for row in strangers {
            let Some(address) = address else { break };
            // A start that was given up came late.
            let unit = ledger.find_unit(&row.name).unwrap_or(UnitKey {
                job: 0,
                occurrence: 0,
                step: 0,
                index: 0,
            });
            let stop = Stop { unit, name: row.name.clone(), run: row.run, fence: self.fence };
            let address = Destination { incarnation: incarnation.clone(), address };
            self.orders.push(Order::Stop(address, stop));
            let text = format!("runs {} {}, which is not placed there: stopped", row.name, row.run);
            self.explanations.push(super::Explanation { subject: id.clone(), text });
        }
    }
}

fn rows<'a>(
    ledger: &Ledger,
    rows: &'a [RunStatus],
) -> BTreeMap<(UnitKey, RunNumber), &'a RunStatus> {
    let known = |row: &'a RunStatus| Some(((ledger.find_unit(&row.name)?, row.run), row));
    rows.iter().filter_map(known).collect()
}

/// Ends that are not in the log and not on their way into it.
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

fn see_running(worker: &mut Worker, now: Duration, key: &(UnitKey, RunNumber), row: &RunStatus) {
    let Some(run) = worker.runs.get_mut(key) else { return };
    run.started_at = run.started_at.or(Some(now));
    run.measurement = row.measurement;
    if run.progress.0 != row.progress_percent {
        run.progress = (row.progress_percent, now);
    }
    match run.state {
        RunState::Inherited | RunState::Starting | RunState::Unclear { .. } => {
            run.state = RunState::Running;
        }
        _ => {}
    }
}

/// Runs that the lists would name if they were, or could still come to be, on
/// the worker.
fn missing(
    worker: &Worker,
    sent_at: Duration,
    is_listed: impl Fn(&(UnitKey, RunNumber)) -> bool,
) -> Vec<(UnitKey, RunNumber)> {
    let gone = |state: &RunState| match state {
        // The call raised the fence, so no older start is carried out any more.
        RunState::Inherited => true,
        RunState::Stopping { acknowledged, .. } => acknowledged.is_some_and(|at| at <= sent_at),
        _ => false,
    };
    worker
        .runs
        .iter()
        .filter(|(key, run)| gone(&run.state) && !is_listed(key))
        .map(|(key, _)| *key)
        .collect()
}
