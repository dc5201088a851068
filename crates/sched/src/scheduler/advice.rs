//! Permissions of a queue's policy.
//!
//! Answers queues whose policy allows only some workers: one call at a time
//! decides on many workers, so each step asks once for all that might run it, and
//! steps that will follow ask while earlier ones run.

use super::{Scheduler, Time};
use crate::order::{Advise, Answer, Order, Refusal};
use jobs::config;
use jobs::{Incarnation, Ledger, StepKey, WorkerId};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Most workers that one call names; the service takes a time for each.
const MAX_NAMED: usize = 30;
/// Calls on their way at one time; the service refuses beyond 32 from all.
const MAX_OPEN: usize = 8;
/// Pause after a call that was refused or got no answer.
const PAUSE: Duration = Duration::from_millis(200);
/// Part of a ticket's time in which it is used; the rest covers the way of a start.
const USED_PART: f64 = 0.8;

/// Answer of the policy.
#[derive(Clone, Debug, PartialEq)]
pub struct AdviseReply {
    /// The step.
    pub step: StepKey,
    /// The lives that were named.
    pub workers: Vec<Incarnation>,
    /// Workers that may run the step, each with its ticket.
    pub answer: Answer<Vec<(WorkerId, String)>>,
}

/// What the policy has said.
#[derive(Clone, Debug, Default)]
pub struct Advice {
    steps: BTreeMap<StepKey, Asked>,
    open: usize,
}

#[derive(Clone, Debug, Default)]
struct Asked {
    pending: bool,
    not_before: Duration,
    tickets: BTreeMap<WorkerId, Ticket>,
    /// Workers that may not run the step; that does not change.
    refused: BTreeSet<WorkerId>,
}

#[derive(Clone, Debug)]
struct Ticket {
    incarnation: Incarnation,
    text: String,
    until: Duration,
}

impl Scheduler {
    /// Workers of these that may run a step: all, where the queue has no policy.
    pub(super) fn permitted(
        &self,
        time: Time,
        ledger: &Ledger,
        key: &StepKey,
        candidates: &[WorkerId],
    ) -> Vec<WorkerId> {
        if policy(ledger, key).is_none() {
            return candidates.to_vec();
        }
        let may = |id: &&WorkerId| self.ticket(time, key, id).is_some();
        candidates.iter().filter(may).cloned().collect()
    }

    /// Ticket of a step for the present life of a worker.
    pub(super) fn ticket(&self, time: Time, key: &StepKey, id: &WorkerId) -> Option<&String> {
        let ticket = self.advice.steps.get(key)?.tickets.get(id)?;
        let incarnation = &self.workers.get(id)?.incarnation;
        (ticket.incarnation == *incarnation && time.monotonic < ticket.until)
            .then_some(&ticket.text)
    }

    /// A worker has refused a ticket.
    pub(super) fn drop_ticket(&mut self, key: &StepKey, id: &WorkerId) {
        if let Some(asked) = self.advice.steps.get_mut(key) {
            asked.tickets.remove(id);
        }
    }

    /// Asks for a step whose units found no permitted worker with room.
    pub(super) fn request_tickets(
        &mut self,
        time: Time,
        ledger: &Ledger,
        key: &StepKey,
        candidates: &[WorkerId],
    ) {
        if policy(ledger, key).is_none() || self.advice.open >= MAX_OPEN {
            return;
        }
        let Some(job) = ledger.job(key.job) else { return };
        let unknown: Vec<Incarnation> = {
            let asked = self.advice.steps.entry(*key).or_default();
            if asked.pending || time.monotonic < asked.not_before {
                return;
            }
            let refused = asked.refused.clone();
            candidates
                .iter()
                .filter(|id| !refused.contains(*id) && self.ticket(time, key, id).is_none())
                .take(MAX_NAMED)
                .map(|id| self.workers[id].incarnation.clone())
                .collect()
        };
        if unknown.is_empty() {
            return;
        }
        let name = format!("{}.{}.{}", job.id, key.occurrence, key.step);
        self.advice.open += 1;
        if let Some(asked) = self.advice.steps.get_mut(key) {
            asked.pending = true;
        }
        self.orders.push(Order::Advise(Advise { step: *key, name, workers: unknown }));
    }

    /// Takes in the policy's answer.
    pub fn on_advise_reply(&mut self, time: Time, ledger: &Ledger, reply: AdviseReply) {
        self.advice.open = self.advice.open.saturating_sub(1);
        let Some(asked) = self.advice.steps.get_mut(&reply.step) else { return };
        asked.pending = false;
        match reply.answer {
            Answer::Done(allowed) => {
                let valid = policy(ledger, &reply.step).map_or(PAUSE, |policy| policy.valid);
                let until = time.monotonic + valid.mul_f64(USED_PART);
                let allowed: BTreeMap<WorkerId, String> = allowed.into_iter().collect();
                for incarnation in reply.workers {
                    match allowed.get(&incarnation.worker) {
                        Some(text) => {
                            let id = incarnation.worker.clone();
                            asked
                                .tickets
                                .insert(id, Ticket { incarnation, text: text.clone(), until });
                        }
                        None => {
                            asked.refused.insert(incarnation.worker);
                        }
                    }
                }
            }
            Answer::Refused(Refusal::Busy) | Answer::Unknown | Answer::Misdirected => {
                asked.not_before = time.monotonic + PAUSE;
            }
            Answer::Refused(refusal) => {
                asked.not_before = time.monotonic + PAUSE * 5;
                let subject = ledger.job(reply.step.job).map(|job| job.id.clone());
                self.explain(
                    subject.unwrap_or_default(),
                    format!("its policy refuses: {refusal:?}"),
                );
            }
        }
    }

    /// Forgets what concerns a job that is over.
    pub(super) fn remove_tickets(&mut self, job: jobs::JobNumber) {
        self.advice.steps.retain(|key, _| key.job != job);
    }
}

/// The policy of a step's queue.
pub(super) fn policy<'a>(ledger: &'a Ledger, key: &StepKey) -> Option<&'a config::Advice> {
    let job = ledger.job(key.job)?;
    ledger.config()?.queues.get(&job.queue)?.advice.as_ref()
}
