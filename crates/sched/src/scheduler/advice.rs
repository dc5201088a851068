//! Tickets that a queue's policy issues for running a step on a worker.
//!
//! Handles queues whose policy allows only some workers. One call decides on many workers,
//! so a waiting step has at most one open call, which asks for all candidates at once up to
//! the limit of a call. The service handles one call after the other. Steps wait here rather than
//! there, so that the next call is for the step that is the most urgent then.

use super::waiting::remove_range;
use super::{Scheduler, Time};
use crate::backlog::Backlog;
use crate::order::{Advise, Answer, Order, Refusal};
use jobs::config;
use jobs::{Incarnation, Ledger, StepKey, WorkerId};
use std::collections::{BTreeMap, BTreeSet};
use std::ops::RangeInclusive;
use std::time::Duration;

/// Most workers that one call asks for; the service takes some time for each.
const MAX_WORKERS_PER_CALL: usize = 30;
/// Delay before the next call for a step after one that got no answer or was refused as
/// too many.
const RETRY_DELAY: Duration = Duration::from_millis(200);
/// Part of a ticket's validity in which it is used. The rest covers the time that a start
/// takes to reach the worker.
const USABLE_VALIDITY_FRACTION: f64 = 0.8;

/// Reply to a call that asks a queue's policy for tickets.
#[derive(Clone, Debug, PartialEq)]
pub struct AdviseReply {
    /// Step that the tickets are for.
    pub step: StepKey,
    /// Incarnations of the workers that the call asked for.
    pub workers: Vec<Incarnation>,
    /// Ticket of each worker that may run the step; the other workers of the call may not.
    pub answer: Answer<Vec<(WorkerId, String)>>,
}

/// Tickets and refusals that the policies have given so far.
#[derive(Clone, Debug, Default)]
pub struct AdviceState {
    steps: BTreeMap<StepKey, StepTickets>,
    /// Calls to the policy service without an answer so far.
    backlog: Backlog<StepKey>,
}

/// Tickets and refusals for one step.
#[derive(Clone, Debug, Default)]
struct StepTickets {
    /// A call for the step is open.
    pending: bool,
    /// Earliest time of the next call.
    not_before: Duration,
    tickets: BTreeMap<WorkerId, Ticket>,
    /// Workers that may not run the step; the policy's refusal is final.
    refused: BTreeSet<WorkerId>,
}

/// Permission for one incarnation of a worker to run a step.
#[derive(Clone, Debug)]
struct Ticket {
    incarnation: Incarnation,
    text: String,
    usable_until: Duration,
}

impl Scheduler {
    /// Returns the usable ticket of a step for the current incarnation of a worker.
    pub(super) fn ticket(&self, time: Time, key: &StepKey, id: &WorkerId) -> Option<&String> {
        let ticket = self.advice.steps.get(key)?.tickets.get(id)?;
        let incarnation = &self.workers.get(id)?.incarnation;
        (ticket.incarnation == *incarnation && time.monotonic < ticket.usable_until)
            .then_some(&ticket.text)
    }

    /// Removes a ticket that its worker has refused.
    pub(super) fn drop_ticket(&mut self, key: &StepKey, id: &WorkerId) {
        if let Some(step_tickets) = self.advice.steps.get_mut(key) {
            step_tickets.tickets.remove(id);
        }
    }

    /// Returns whether the policy may be asked about a step now.
    pub(super) fn may_request_tickets(&self, time: Time, key: &StepKey) -> bool {
        let may_ask = |step: &StepTickets| !step.pending && time.monotonic >= step.not_before;
        !self.advice.backlog.is_full() && self.advice.steps.get(key).is_none_or(may_ask)
    }

    /// Asks the policies about steps whose units found no permitted worker with free resources, the
    /// most urgent step of all pools first. `undecided` has the candidates of each.
    pub(super) fn request_all_tickets(
        &mut self,
        time: Time,
        ledger: &Ledger,
        undecided: &BTreeMap<StepKey, Vec<WorkerId>>,
    ) {
        if undecided.is_empty() {
            return;
        }
        let steps = self.waiting.values().flatten();
        let steps = steps.filter(|(key, _)| undecided.contains_key(key));
        for (_, key) in self.ranked_steps(time, ledger, steps) {
            if self.may_request_tickets(time, &key) {
                self.request_tickets(time, ledger, &key, &undecided[&key]);
            }
        }
    }

    /// Asks the policy for tickets of candidates that have neither ticket nor refusal for a step.
    fn request_tickets(
        &mut self,
        time: Time,
        ledger: &Ledger,
        key: &StepKey,
        candidates: &[WorkerId],
    ) {
        let Some(policy) = policy(ledger, key) else { return };
        let Some(job) = ledger.job(key.job) else { return };
        let undecided: Vec<Incarnation> = {
            let refused = self.advice.steps.entry(*key).or_default().refused.clone();
            candidates
                .iter()
                .filter(|id| !refused.contains(*id) && self.ticket(time, key, id).is_none())
                .take(MAX_WORKERS_PER_CALL)
                .map(|id| self.workers[id].incarnation.clone())
                .collect()
        };
        if undecided.is_empty() {
            return;
        }
        let name = format!("{}.{}.{}", job.id, key.occurrence, key.step);
        let for_workers = policy.per_worker.saturating_mul(undecided.len() as u32);
        let cost = policy.decision.saturating_add(for_workers);
        let timeout = self.advice.backlog.add(*key, time.monotonic, cost);
        if let Some(step_tickets) = self.advice.steps.get_mut(key) {
            step_tickets.pending = true;
        }
        self.orders.push(Order::Advise(Advise { step: *key, name, workers: undecided, timeout }));
    }

    /// Handles the policy's reply: stores tickets and refusals, or delays the next call.
    pub fn on_advise_reply(&mut self, time: Time, ledger: &Ledger, reply: AdviseReply) {
        let backlog = &mut self.advice.backlog;
        match &reply.answer {
            Answer::Done(_) => backlog.record_answer(&reply.step, time.monotonic),
            Answer::Refused(_) | Answer::Misdirected | Answer::Lost => {
                backlog.record_unhandled(&reply.step);
            }
            Answer::Unknown => {
                backlog.record_unanswered(&reply.step, time.monotonic);
                let subject = ledger.job(reply.step.job).map(|job| job.id.clone());
                let text =
                    format!("its policy has not answered about {} workers", reply.workers.len());
                self.explain(subject.unwrap_or_default(), text);
            }
        }
        let Some(step_tickets) = self.advice.steps.get_mut(&reply.step) else { return };
        step_tickets.pending = false;
        match reply.answer {
            Answer::Done(allowed) => {
                let valid = policy(ledger, &reply.step).map_or(RETRY_DELAY, |policy| policy.valid);
                let usable_until = time.monotonic + valid.mul_f64(USABLE_VALIDITY_FRACTION);
                let allowed: BTreeMap<WorkerId, String> = allowed.into_iter().collect();
                for incarnation in reply.workers {
                    match allowed.get(&incarnation.worker) {
                        Some(text) => {
                            let id = incarnation.worker.clone();
                            step_tickets.tickets.insert(
                                id,
                                Ticket { incarnation, text: text.clone(), usable_until },
                            );
                        }
                        None => {
                            step_tickets.refused.insert(incarnation.worker);
                        }
                    }
                }
            }
            Answer::Refused(Refusal::Busy)
            | Answer::Unknown
            | Answer::Lost
            | Answer::Misdirected => {
                step_tickets.not_before = time.monotonic + RETRY_DELAY;
            }
            Answer::Refused(refusal) => {
                step_tickets.not_before = time.monotonic + RETRY_DELAY * 5;
                let subject = ledger.job(reply.step.job).map(|job| job.id.clone());
                self.explain(
                    subject.unwrap_or_default(),
                    format!("its policy refuses: {refusal:?}"),
                );
            }
        }
    }

    /// Removes the tickets and refusals of a finished job's steps.
    pub(super) fn remove_tickets(&mut self, steps: RangeInclusive<StepKey>) {
        remove_range(&mut self.advice.steps, steps);
    }
}

/// Returns the policy of a step's queue, if it has one.
pub(super) fn policy<'a>(ledger: &'a Ledger, key: &StepKey) -> Option<&'a config::Advice> {
    ledger.queue_of(ledger.job(key.job)?)?.advice.as_ref()
}
