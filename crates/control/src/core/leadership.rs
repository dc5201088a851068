//! Work of the leader: runs the scheduler, proposes its commands to the log and sends
//! its orders to workers and the cloud.

use super::{Core, Input};
use crate::load::Action;
use jobs::{Command, Incarnation, Ledger};
use log::info;
use mesh::Frame;
use mesh::frame::OrderId;
use quorum::Term;
use sched::Scheduler;
use sched::fence::Fences;
use sched::order::{Answer, Order};
use sched::scheduler::Time;
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::time::Duration;

/// Scheduler of the term that this process leads.
/// Most accounts whose figures are published as metrics; `dump` has all of them.
const MAX_PUBLISHED_ACCOUNTS: usize = 50;
/// Time between two publications of the figures of accounts.
const PUBLISH_INTERVAL: Duration = Duration::from_secs(1);
/// Shortest time from its beginning after which a superseded leadership is handed on: a worker that refuses
/// every fence must not change the leader all the time.
const MIN_LEADERSHIP: Duration = Duration::from_secs(5);

/// State of the time in which this process leads.
pub(super) struct Leadership {
    pub(super) scheduler: Scheduler,
    pub(super) term: Term,
    began_at: Duration,
    /// When the figures of accounts were last published.
    published_at: Option<Duration>,
}

impl Leadership {
    /// State of the scheduler for the dump.
    pub(super) fn dump(&self, ledger: &Ledger) -> Value {
        let workers: BTreeMap<_, _> = self
            .scheduler
            .workers()
            .iter()
            .map(|(id, worker)| {
                let runs: Vec<String> = worker
                    .runs
                    .iter()
                    .map(|((unit, run), entry)| format!("{unit:?} {run} {:?}", entry.state))
                    .collect();
                let pool = worker.report.as_ref().map(|report| report.pool.clone());
                (id.clone(), json!({"pool": pool, "used": worker.reserved, "runs": runs}))
            })
            .collect();
        json!({
            "term": self.term,
            "workers": workers,
            "backlog": self.scheduler.backlog(),
            "accounts": self.scheduler.account_summaries(ledger),
        })
    }

    /// Publishes the longest waits of units that may be placed.
    fn publish_waits(&self, time: Time) {
        let waits = self.scheduler.longest_waits(time.monotonic);
        metrics::gauge!("core_longest_unit_wait_seconds", "work" => "lasting")
            .set(waits.long_running.as_secs_f64());
        metrics::gauge!("core_longest_unit_wait_seconds", "work" => "other")
            .set(waits.other.as_secs_f64());
        let stalls = self.scheduler.longest_stalls(time.monotonic);
        metrics::gauge!("core_longest_unit_stall_seconds", "unit" => "held")
            .set(stalls.held.as_secs_f64());
        metrics::gauge!("core_longest_unit_stall_seconds", "unit" => "unbegun")
            .set(stalls.unbegun.as_secs_f64());
    }

    /// Publishes how many orders to workers have no reply.
    fn publish_outstanding(&self) {
        let outstanding = self.scheduler.outstanding();
        for (kind, orders) in [
            ("start", &outstanding.starts),
            ("stop", &outstanding.stops),
            ("pace", &outstanding.paces),
        ] {
            metrics::gauge!("core_outstanding_orders", "kind" => kind).set(orders.count() as f64);
        }
        metrics::gauge!("core_outstanding_start_bytes").set(outstanding.starts.bytes() as f64);
    }

    /// Publishes what the accounts with the most in use have running and waiting.
    fn publish_accounts(&self, ledger: &Ledger) {
        let mut summaries: Vec<_> = self.scheduler.account_summaries(ledger).into_iter().collect();
        summaries.sort_by_key(|(_, summary)| std::cmp::Reverse(summary.used.cpu_milli));
        for (account, summary) in summaries.into_iter().take(MAX_PUBLISHED_ACCOUNTS) {
            let labels = [("account", account)];
            metrics::gauge!("account_used_cores", &labels)
                .set(summary.used.cpu_milli as f64 / 1000.0);
            metrics::gauge!("account_cap_cores", &labels)
                .set(summary.cap.cpu_milli as f64 / 1000.0);
            metrics::gauge!("account_waiting_units", &labels).set(summary.waiting_units as f64);
            metrics::gauge!("account_excess_jobs", &labels).set(summary.excess_jobs as f64);
        }
    }
}

impl Core {
    /// Starts the scheduler once the node leads with a lease and all committed entries
    /// are applied, ends it when leadership is lost, and runs it in between. `began` is the time at
    /// the start of the round.
    pub(super) fn run_leadership(&mut self, began: Time) {
        let time = self.time();
        if time.monotonic > began.monotonic {
            self.node.tick(time.monotonic); // the process may have stood still in a write to the disk
        }
        let term = self.node.term();
        if self
            .leadership
            .as_ref()
            .is_some_and(|leadership| !self.node.is_leader() || leadership.term != term)
        {
            self.end_leadership("leadership lost");
        }
        if self.leadership.is_none() {
            // A lease implies that the node knows every entry committed in earlier terms.
            if !self.node.has_lease(time.monotonic) || self.applied_index < self.node.commit_index()
            {
                return;
            }
            info!("reign.began term={term} jobs={}", self.ledger.jobs().len());
            let settings = self.sched_settings.clone();
            let started_at = self.environment.now();
            let fences = Fences::between(self.node.preceding_term(), term);
            let scheduler = Scheduler::new(settings, fences, time, &self.ledger, &self.roster);
            self.record_action(Action::TakeOver, started_at);
            let began_at = time.monotonic;
            self.leadership = Some(Leadership { scheduler, term, began_at, published_at: None });
            self.proposal_queue.clear();
        }
        self.run_scheduler(time);
        self.hand_on_superseded(time);
    }

    /// Hands the lead on if a worker or the cloud has seen a higher fence though this node has its lease.
    /// The scheduler sends no more orders then; the fences of the next term are higher.
    fn hand_on_superseded(&mut self, time: Time) {
        let is_over = |leadership: &Leadership| {
            leadership.scheduler.is_superseded()
                && time.monotonic >= leadership.began_at + MIN_LEADERSHIP
        };
        if self.leadership.as_ref().is_some_and(is_over) && self.node.has_lease(time.monotonic) {
            self.node.transfer_leadership();
            if !self.node.is_leader() {
                self.end_leadership("superseded");
            }
        }
    }

    /// Drops the scheduler and its commands that weren't proposed.
    pub(super) fn end_leadership(&mut self, reason: &str) {
        if let Some(leadership) = self.leadership.take() {
            info!("reign.ended term={} reason={reason:?}", leadership.term);
            self.proposal_queue.clear();
            self.relays.clear();
            self.roster_sent_to = None;
        }
    }

    /// Lets the scheduler decide, proposes its commands and dispatches its orders.
    fn run_scheduler(&mut self, time: Time) {
        self.expire_orders(time);
        let Some(leadership) = &mut self.leadership else { return };
        let started_at = self.environment.now();
        let output = leadership.scheduler.decide(time, &self.ledger);
        let decided_in = self.environment.now().saturating_sub(started_at);
        self.slowest.record(Action::Decide, decided_in);
        let is_due = |at: Duration| time.monotonic >= at + PUBLISH_INTERVAL;
        if leadership.published_at.is_none_or(is_due) {
            leadership.published_at = Some(time.monotonic);
            leadership.publish_waits(time);
            leadership.publish_outstanding();
            if self.ledger.uses_accounts() {
                leadership.publish_accounts(&self.ledger);
            }
        }
        let effort = leadership.scheduler.effort();
        metrics::counter!("scheduler_workers_examined_total").absolute(effort.workers_examined);
        metrics::counter!("scheduler_runs_examined_total").absolute(effort.runs_examined);
        metrics::counter!("scheduler_unplaced_runs_total").absolute(effort.unplaced_runs);
        metrics::counter!("scheduler_worker_crashes_total").absolute(effort.worker_crashes);
        metrics::counter!("scheduler_copies_total").absolute(effort.copies);
        metrics::counter!("scheduler_near_waits_total").absolute(effort.near_waits);
        metrics::counter!("scheduler_placed_beside_late_starts_total")
            .absolute(effort.placed_beside_late_starts);
        for answered in &output.answered {
            self.roster.record_answer(time.monotonic, answered);
        }
        for explanation in &output.explanations {
            info!(
                "decided subject={} term={} decision={:?}",
                explanation.subject, leadership.term, explanation.text
            );
        }
        for proposal in &output.proposals {
            self.log_placed(proposal);
        }
        self.proposal_queue.extend(output.proposals);
        while let Some(command) = self.proposal_queue.front() {
            // Without a lease the command stays queued until the lease is renewed or
            // leadership ends.
            if self.node.propose(time.monotonic, super::effects::encode(command)).is_err() {
                break;
            }
            self.proposal_queue.pop_front();
        }
        self.send_orders(time, output.orders);
    }

    /// Sends the orders, those to workers through other processes where that is cheaper.
    fn send_orders(&mut self, time: Time, orders: Vec<Order>) {
        if orders.is_empty() {
            return;
        }
        let worker_count = self.roster.workers().len();
        let mut relayed: BTreeMap<&str, Vec<(OrderId, Order)>> = BTreeMap::new();
        let now = self.environment.now();
        for mut order in orders {
            // One without time left is given up here.
            let has_time = order.leave_by().is_none_or(|leave_by| now < leave_by);
            let destination = order.destination().filter(|_| has_time);
            let process = destination.and_then(|to| {
                let worker = &to.incarnation.worker;
                let received = self.roster.get(worker);
                let data_centre = received.map(|received| received.report.data_centre.as_str());
                self.relays.choose(time.monotonic, &self.peers, worker_count, worker, data_centre)
            });
            let id = process.and_then(|to| self.relays.record(time.monotonic, &to.name, &order));
            match (process, id) {
                (Some(process), Some(id)) => {
                    order.state_time_left(now);
                    relayed.entry(&process.name).or_default().push((id, order));
                }
                _ => self.environment.dispatch(order),
            }
        }
        let mut unlinked = Vec::new();
        for (process, orders) in relayed {
            if !self.environment.send(process, Frame::Orders(orders)) {
                unlinked.push(process.to_string());
            }
        }
        for process in unlinked {
            self.fail_orders(time, &process);
        }
    }

    /// Takes orders as unanswered that a process without a link was asked to send.
    pub(super) fn fail_orders(&mut self, time: Time, process: &str) {
        for reply in self.relays.take_lost(process) {
            self.on_order_reply(time, Input::WorkerReply(reply));
        }
    }

    /// Takes orders as unanswered whose answer through another process is overdue.
    pub(super) fn expire_orders(&mut self, time: Time) {
        for reply in self.relays.take_overdue(time.monotonic) {
            self.on_order_reply(time, Input::WorkerReply(reply));
        }
    }

    /// Logs one line for the units of a step that are placed on one worker.
    fn log_placed(&self, proposal: &Command) {
        let Command::Runs(batch) = proposal else { return };
        for placed in &batch.placed {
            let mut steps: BTreeMap<_, Vec<String>> = BTreeMap::new();
            for (unit, run) in &placed.runs {
                steps.entry(unit.step_key()).or_default().push(format!("{}/{run}", unit.index));
            }
            for (key, units) in steps {
                let Some(job) = self.ledger.job(key.job) else { continue };
                let Incarnation { worker, started_at } = &placed.incarnation;
                let fence = self.leadership.as_ref().and_then(|l| l.scheduler.fence(worker));
                info!(
                    "run.placed step={}.{}.{} worker={worker} born={started_at} fence={} units={}",
                    job.id,
                    key.occurrence,
                    key.step,
                    fence.unwrap_or_default(),
                    units.join(",")
                );
            }
        }
    }

    /// Hands the answer of a worker or the cloud to the scheduler. Dropped if this process
    /// no longer leads.
    pub(super) fn on_order_reply(&mut self, time: Time, input: Input) {
        let Some(leadership) = &mut self.leadership else { return };
        let scheduler = &mut leadership.scheduler;
        match input {
            Input::WorkerReply(reply) => scheduler.on_worker_reply(time, &self.ledger, reply),
            Input::AdviseReply(reply) => scheduler.on_advise_reply(time, &self.ledger, reply),
            Input::InstanceList(asked_at, Answer::Done(instances)) => {
                scheduler.on_instance_list(time, asked_at, instances)
            }
            Input::MoveReply(reply) => scheduler.on_move_reply(time, reply),
            Input::MaintenanceReply(reply) => scheduler.on_maintenance_reply(time, reply),
            _ => {}
        }
    }
}
