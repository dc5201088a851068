//! What the leader does beyond the log: scheduling, and orders to workers.

use super::{Core, Input};
use jobs::Command;
use log::info;
use quorum::Term;
use sched::Scheduler;
use sched::order::Answer;
use sched::scheduler::Time;
use serde_json::{Value, json};
use std::collections::BTreeMap;

/// The scheduler of one term.
pub(super) struct Leadership {
    pub(super) scheduler: Scheduler,
    pub(super) term: Term,
}

impl Leadership {
    pub(super) fn dump(&self) -> Value {
        let workers: BTreeMap<_, _> = self
            .scheduler
            .workers()
            .iter()
            .map(|(id, worker)| {
                let runs: Vec<String> = worker
                    .runs
                    .iter()
                    .map(|((unit, run), held)| format!("{unit:?} {run} {:?}", held.state))
                    .collect();
                let pool = worker.report.as_ref().map(|report| report.pool.clone());
                (id.clone(), json!({"pool": pool, "used": worker.used, "runs": runs}))
            })
            .collect();
        json!({"term": self.term, "workers": workers, "backlog": self.scheduler.backlog()})
    }
}

impl Core {
    /// Begins or ends the reign as the node's lead does, and lets it act.
    pub(super) fn run_leadership(&mut self, time: Time) {
        let term = self.node.term();
        if self
            .leadership
            .as_ref()
            .is_some_and(|leadership| !self.node.is_leader() || leadership.term != term)
        {
            self.end_leadership("the lead is lost");
        }
        if self.leadership.is_none() {
            // The lease says that everything committed before is known here.
            if !self.node.has_lease(time.monotonic) || self.applied < self.node.commit_index() {
                return;
            }
            info!("reign.began term={term} jobs={}", self.ledger.jobs().len());
            let settings = self.sched_settings.clone();
            let scheduler = Scheduler::new(settings, term, time, &self.ledger, &self.roster);
            self.leadership = Some(Leadership { scheduler, term });
            self.outbox.clear();
        }
        self.act(time);
    }

    pub(super) fn end_leadership(&mut self, reason: &str) {
        if let Some(leadership) = self.leadership.take() {
            info!("reign.ended term={} reason={reason:?}", leadership.term);
            self.outbox.clear();
            self.told = None;
        }
    }

    fn act(&mut self, time: Time) {
        let Some(leadership) = &mut self.leadership else { return };
        let decision = leadership.scheduler.decide(time, &self.ledger);
        for note in &decision.explanations {
            info!(
                "decided subject={} term={} decision={:?}",
                note.subject, leadership.term, note.text
            );
        }
        for proposal in &decision.proposals {
            self.log_placed(proposal);
        }
        self.outbox.extend(decision.proposals);
        while let Some(command) = self.outbox.front() {
            // Without a lease it is kept until the lease is back or the lead lost.
            if self.node.propose(time.monotonic, super::effects::encode(command)).is_err() {
                break;
            }
            self.outbox.pop_front();
        }
        for order in decision.orders {
            self.environment.dispatch(order);
        }
    }

    /// One line for the units of a step that go to one worker.
    fn log_placed(&self, proposal: &Command) {
        let Command::Runs(batch) = proposal else { return };
        for placed in &batch.placed {
            let mut steps: BTreeMap<_, Vec<String>> = BTreeMap::new();
            for (unit, run) in &placed.runs {
                steps.entry(unit.step_key()).or_default().push(format!("{}/{run}", unit.index));
            }
            for (key, units) in steps {
                let Some(job) = self.ledger.job(key.job) else { continue };
                info!(
                    "run.placed step={}.{}.{} worker={} units={}",
                    job.id,
                    key.occurrence,
                    key.step,
                    placed.incarnation.worker,
                    units.join(",")
                );
            }
        }
    }

    /// Takes in the answer of a worker or the cloud.
    pub(super) fn answered(&mut self, time: Time, input: Input) {
        let Some(leadership) = &mut self.leadership else { return };
        let scheduler = &mut leadership.scheduler;
        match input {
            Input::PollReply(held) => scheduler.on_poll_reply(time, &self.ledger, held),
            Input::StartReply(started) => scheduler.on_start_reply(time, &self.ledger, started),
            Input::StopReply(stopped) => scheduler.on_stop_reply(time, stopped),
            Input::PaceReply(paced) => scheduler.on_pace_reply(paced),
            Input::AdviseReply(advised) => scheduler.on_advise_reply(time, &self.ledger, advised),
            Input::InstanceList(Answer::Done(instances)) => {
                scheduler.on_instance_list(time, instances)
            }
            Input::MoveReply(moved) => scheduler.on_move_reply(time, moved),
            Input::MaintenanceReply(upkept) => scheduler.on_maintenance_reply(time, upkept),
            _ => {}
        }
    }
}
