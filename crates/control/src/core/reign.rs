//! What the leader does beyond the log: scheduling, and orders to workers.

use super::{Core, Input};
use jobs::Command;
use log::info;
use quorum::Term;
use sched::Scheduler;
use sched::order::Answer;
use sched::scheduler::Moment;
use serde_json::{Value, json};
use std::collections::BTreeMap;

/// The scheduler of one term.
pub(super) struct Reign {
    pub(super) scheduler: Scheduler,
    pub(super) term: Term,
}

impl Reign {
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
    pub(super) fn reign(&mut self, moment: Moment) {
        let term = self.node.term();
        if self.reign.as_ref().is_some_and(|reign| !self.node.leads() || reign.term != term) {
            self.end_reign("the lead is lost");
        }
        if self.reign.is_none() {
            // The lease says that everything committed before is known here.
            if !self.node.has_lease(moment.now) || self.applied < self.node.commit() {
                return;
            }
            info!("reign.began term={term} jobs={}", self.ledger.jobs().len());
            let settings = self.sched.clone();
            let scheduler = Scheduler::new(settings, term, moment, &self.ledger, &self.roster);
            self.reign = Some(Reign { scheduler, term });
            self.outbox.clear();
        }
        self.act(moment);
    }

    pub(super) fn end_reign(&mut self, reason: &str) {
        if let Some(reign) = self.reign.take() {
            info!("reign.ended term={} reason={reason:?}", reign.term);
            self.outbox.clear();
            self.told = None;
        }
    }

    fn act(&mut self, moment: Moment) {
        let Some(reign) = &mut self.reign else { return };
        let decision = reign.scheduler.decide(moment, &self.ledger);
        for note in &decision.notes {
            info!("decided subject={} term={} decision={:?}", note.subject, reign.term, note.text);
        }
        for proposal in &decision.proposals {
            self.log_placed(proposal);
        }
        self.outbox.extend(decision.proposals);
        while let Some(command) = self.outbox.front() {
            // Without a lease it is kept until the lease is back or the lead lost.
            if self.node.propose(moment.now, super::settle::encode(command)).is_err() {
                break;
            }
            self.outbox.pop_front();
        }
        for order in decision.orders {
            self.outside.order(order);
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
                    placed.life.worker,
                    units.join(",")
                );
            }
        }
    }

    /// Takes in the answer of a worker or the cloud.
    pub(super) fn answered(&mut self, moment: Moment, input: Input) {
        let Some(reign) = &mut self.reign else { return };
        let scheduler = &mut reign.scheduler;
        match input {
            Input::Held(held) => scheduler.held(moment, &self.ledger, held),
            Input::Started(started) => scheduler.started(moment, &self.ledger, started),
            Input::Stopped(stopped) => scheduler.stopped(moment, stopped),
            Input::Paced(paced) => scheduler.paced(paced),
            Input::Advised(advised) => scheduler.advised(moment, &self.ledger, advised),
            Input::Listed(Answer::Done(machines)) => scheduler.listed(moment, machines),
            Input::Moved(moved) => scheduler.moved(moment, moved),
            Input::Upkept(upkept) => scheduler.upkept(moment, upkept),
            _ => {}
        }
    }
}
