//! Asking workers for their lists, and what follows from the answers.

use super::{LEASE, Moment, Scheduler};
use crate::lease::Sample;
use crate::order::{Address, Answer, Hold, Holding, Order, Row, Stop};
use crate::worker::{RunState, Worker};
use jobs::command::{End, Ended, Voided};
use jobs::{Ledger, Life, RunNumber, UnitKey, WorkerId};
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
pub struct Held {
    /// The life that was asked.
    pub life: Life,
    /// When the call was decided on.
    pub sent: Duration,
    /// What came of it.
    pub answer: Answer<Holding>,
}

/// Asking.
impl Scheduler {
    pub(super) fn ask_workers(&mut self, moment: Moment, ledger: &Ledger) {
        let now = moment.now;
        let lease = LEASE.min(self.settings.max_lease);
        let mut lost = Vec::new();
        let mut unknown = Vec::new();
        for (id, worker) in &mut self.workers {
            if worker.lease.is_over(now) {
                if !worker.runs.is_empty() {
                    lost.push(id.clone());
                }
                if worker.report.is_none() || worker.asking.failures >= GIVE_UP_AFTER {
                    unknown.push(id.clone());
                }
            }
            let Some(report) = &worker.report else { continue };
            if worker.asking.sent.is_some() || now < worker.asking.next {
                continue;
            }
            let noted = ledger.noted(&worker.life);
            let answered = worker.asking.answered.unwrap_or_default();
            if worker.proposed > noted && now < answered + PROPOSAL_TIMEOUT {
                continue; // the next call notes the ends that are on their way
            }
            let wait = match (worker.verified, worker.runs.is_empty()) {
                (false, _) => Duration::ZERO,
                (true, true) => IDLE_WAIT,
                (true, false) if worker.has_unclear() => Duration::ZERO,
                (true, false) if worker.is_shared() => SHARED_WAIT,
                (true, false) => BUSY_WAIT,
            };
            // A worker that does not answer must lose its lease at some time.
            let extends = worker.asking.failures == 0 && !worker.runs.is_empty();
            let expires = if extends { worker.lease.extend(now, lease) } else { None };
            worker.asking.sent = Some(now);
            let address = Address { life: worker.life.clone(), address: report.address };
            let hold = Hold { fence: self.fence, noted, expires, wait, sent: now };
            self.orders.push(Order::Hold(address, hold));
        }
        for id in lost {
            self.void_all(&id, "its lease is over");
        }
        for id in unknown {
            if self.workers.get(&id).is_some_and(|worker| worker.runs.is_empty()) {
                self.workers.remove(&id);
            }
        }
    }

    /// Takes in a worker's lists, or that it gave none.
    pub fn held(&mut self, moment: Moment, ledger: &Ledger, held: Held) {
        let id = held.life.worker.clone();
        let Some(worker) = self.workers.get_mut(&id) else { return };
        if worker.life != held.life || worker.asking.sent != Some(held.sent) {
            return;
        }
        worker.asking.sent = None;
        if worker.gone {
            return; // its machine was taken while the call was open
        }
        match held.answer {
            Answer::Done(holding) => {
                let born = holding.born.unwrap_or(held.life.born);
                if born > held.life.born {
                    self.reborn(moment, ledger, &id, born);
                    return;
                }
                worker.asking.failures = 0;
                worker.asking.answered = Some(moment.now);
                worker.asking.next = moment.now + CALL_GAP;
                let sample = Sample { clock_ms: holding.clock_ms, received: moment.now };
                worker.lease.read(sample);
                self.take_lists(moment, ledger, &id, held.sent, holding);
            }
            Answer::Gone => self.life_over(&id),
            Answer::Refused(refusal) => {
                self.no_answer(moment, &id);
                self.refused(&id, refusal);
            }
            Answer::Unknown => self.no_answer(moment, &id),
        }
    }

    pub(super) fn no_answer(&mut self, moment: Moment, id: &WorkerId) {
        let Some(worker) = self.workers.get_mut(id) else { return };
        let pause = FIRST_PAUSE * 2u32.saturating_pow(worker.asking.failures.min(8));
        worker.asking.failures += 1;
        worker.asking.next = moment.now + pause.min(LONGEST_PAUSE);
        if worker.asking.failures == 1 {
            self.note(id.clone(), "does not answer: no new work".to_string());
        }
    }

    /// Another life is at the worker's address, so its own is over.
    pub(super) fn life_over(&mut self, id: &WorkerId) {
        self.void_all(id, "another life is at its address");
        let Some(worker) = self.workers.get_mut(id) else { return };
        worker.report = None;
        worker.verified = false;
        worker.gone = true;
    }
}

/// Lists.
impl Scheduler {
    fn take_lists(
        &mut self,
        moment: Moment,
        ledger: &Ledger,
        id: &WorkerId,
        sent: Duration,
        holding: Holding,
    ) {
        let Some(worker) = self.workers.get_mut(id) else { return };
        if !worker.verified {
            worker.verified = true;
            self.notes.push(super::Note {
                subject: id.clone(),
                text: format!("answers under fence {}", self.fence),
            });
        }
        let running = rows(ledger, &holding.running);
        let ends = ends(ledger, &holding, worker.proposed.max(ledger.noted(&worker.life)));
        let listed: Vec<(UnitKey, RunNumber)> = holding
            .finished
            .iter()
            .filter_map(|end| Some((ledger.unit_named(&end.name)?, end.run)))
            .collect();
        if let Some(last) = ends.last() {
            worker.proposed = last.number;
        }
        for key in &listed {
            if let Some(run) = worker.runs.get_mut(key) {
                run.state = RunState::Ending;
            }
        }
        for (key, row) in &running {
            see_running(worker, moment.now, key, row);
        }
        let missing =
            missing(worker, sent, |key| running.contains_key(key) || listed.contains(key));
        for key in missing {
            if let Some(run) = worker.runs.get_mut(&key) {
                run.state = RunState::Ending;
            }
            self.batch.voided.push(Voided { unit: key.0, run: key.1 });
        }
        let life = worker.life.clone();
        let strangers: Vec<&Row> = holding
            .running
            .iter()
            .filter(|row| {
                let key = ledger.unit_named(&row.name).map(|unit| (unit, row.run));
                key.is_none_or(|key| !worker.runs.contains_key(&key))
            })
            .collect();
        if !ends.is_empty() {
            self.batch.ended.push(Ended { life: life.clone(), ends });
        }
        let address = worker.report.as_ref().map(|report| report.address);
        for row in strangers {
            let Some(address) = address else { break };
            // A start that was given up came late.
            let unit = ledger.unit_named(&row.name).unwrap_or(UnitKey {
                job: 0,
                occurrence: 0,
                step: 0,
                index: 0,
            });
            let stop = Stop { unit, name: row.name.clone(), run: row.run, fence: self.fence };
            let address = Address { life: life.clone(), address };
            self.orders.push(Order::Stop(address, stop));
            let text = format!("runs {} {}, which is not placed there: stopped", row.name, row.run);
            self.notes.push(super::Note { subject: id.clone(), text });
        }
    }
}

fn rows<'a>(ledger: &Ledger, rows: &'a [Row]) -> BTreeMap<(UnitKey, RunNumber), &'a Row> {
    let known = |row: &'a Row| Some(((ledger.unit_named(&row.name)?, row.run), row));
    rows.iter().filter_map(known).collect()
}

/// Ends that are not in the log and not on their way into it.
fn ends(ledger: &Ledger, holding: &Holding, after: u64) -> Vec<End> {
    let mut ends: Vec<End> = holding
        .finished
        .iter()
        .filter(|end| end.number > after)
        .map(|end| End {
            number: end.number,
            unit: ledger.unit_named(&end.name),
            run: end.run,
            how: end.how,
            checkpoint: end.checkpoint.clone(),
        })
        .collect();
    ends.sort_by_key(|end| end.number);
    ends
}

fn see_running(worker: &mut Worker, now: Duration, key: &(UnitKey, RunNumber), row: &Row) {
    let Some(run) = worker.runs.get_mut(key) else { return };
    run.started = run.started.or(Some(now));
    run.reading = row.reading;
    if run.progress.0 != row.percent {
        run.progress = (row.percent, now);
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
    sent: Duration,
    is_listed: impl Fn(&(UnitKey, RunNumber)) -> bool,
) -> Vec<(UnitKey, RunNumber)> {
    let gone = |state: &RunState| match state {
        // The call raised the fence, so no older start is carried out any more.
        RunState::Inherited => true,
        RunState::Stopping { acknowledged, .. } => acknowledged.is_some_and(|at| at <= sent),
        _ => false,
    };
    worker
        .runs
        .iter()
        .filter(|(key, run)| gone(&run.state) && !is_listed(key))
        .map(|(key, _)| *key)
        .collect()
}
