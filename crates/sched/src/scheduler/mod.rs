//! The scheduler: state of one leader's reign.

mod advice;
mod balance;
mod maintenance;
mod pacing;
mod placing;
mod poll;
mod runs;
mod starts;
mod work;

use crate::estimate::Estimator;
use crate::instance::Instance;
use crate::lease::Lease;
use crate::order::Order;
use crate::rank::Criteria;
use crate::roster::{Report, Roster};
use crate::worker::{Run, RunState, StopReason, Worker};
use crate::{Fence, Settings};
use jobs::command::{Batch, Command};
use jobs::ledger::Event;
use jobs::{
    Incarnation, InstanceId, JobNumber, Ledger, PoolName, QueueName, RunNumber, StepKey, UnitKey,
    UnixMs, WorkerId,
};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

pub use advice::AdviseReply;
pub use maintenance::{MaintenanceReply, MoveReply};
pub use pacing::PaceReply;
pub use poll::PollReply;
pub use starts::{StartReply, StopReply};

/// Lease that runs get. A leader that dies is replaced within about 3 s, which
/// must not end its runs; until the lease is over a lost worker's units wait.
const LEASE: Duration = Duration::from_secs(5);
/// Time after which an unanswered order is looked at again.
const RETRY_AFTER: Duration = Duration::from_millis(200);
/// Time between two looks at what has to be sent again.
const LOOK_INTERVAL: Duration = Duration::from_millis(50);
/// Weight of one job in the running mean of sizes.
const SIZE_WEIGHT: f64 = 0.05;

/// Present time.
#[derive(Clone, Copy, Debug, Default)]
pub struct Time {
    /// Monotonic time that also counts while the machine is suspended.
    pub monotonic: Duration,
    /// Time of day.
    pub wall: UnixMs,
}

/// What the scheduler wants done.
#[derive(Debug, Default)]
pub struct Output {
    /// Changes to propose to the log, in this order.
    pub proposals: Vec<Command>,
    /// Orders to send.
    pub orders: Vec<Order>,
    /// What was decided, for the log of the process.
    pub explanations: Vec<Explanation>,
}

/// A decision that someone may ask about later.
#[derive(Clone, Debug, PartialEq)]
pub struct Explanation {
    /// What it concerns: a unit, a worker, a machine.
    pub subject: String,
    /// What was decided, and on what grounds.
    pub text: String,
}

/// Units of a step that wait for room.
#[derive(Clone, Debug)]
struct Waiting {
    /// Unit, and when it may be placed at the earliest.
    units: BTreeMap<u32, Duration>,
    criteria: Criteria,
}

/// State of one leader's reign.
pub struct Scheduler {
    settings: Settings,
    fence: Fence,
    superseded: bool,
    workers: BTreeMap<WorkerId, Worker>,
    waiting: BTreeMap<PoolName, BTreeMap<StepKey, Waiting>>,
    due: BTreeSet<(UnixMs, JobNumber, u32)>,
    accepted: BTreeMap<JobNumber, Duration>,
    avoid: BTreeMap<UnitKey, BTreeSet<WorkerId>>,
    last_runs: BTreeMap<UnitKey, RunNumber>,
    estimate: Estimator,
    mean_size: BTreeMap<QueueName, f64>,
    instances: BTreeMap<InstanceId, Instance>,
    /// Worker that reported last from each machine, by when it was born.
    by_instance: BTreeMap<InstanceId, WorkerId>,
    advice: advice::Advice,
    maintenance: maintenance::Progress,
    balance: balance::Balance,
    time: Time,
    looked: Duration,
    batch: Batch,
    changes: Vec<Command>,
    orders: Vec<Order>,
    explanations: Vec<Explanation>,
}

/// Construction and queries.
impl Scheduler {
    /// Takes over from the leader before, by what the ledger holds.
    ///
    /// ```
    /// use sched::scheduler::Time;
    /// let ledger = jobs::Ledger::new(std::time::Duration::from_secs(120));
    /// let settings = sched::Settings::default();
    /// let roster = sched::Roster::default();
    /// let mut scheduler = sched::Scheduler::new(settings, 1, Time::default(), &ledger, &roster);
    /// assert!(scheduler.decide(Time::default(), &ledger).orders.is_empty());
    /// ```
    pub fn new(
        settings: Settings,
        fence: Fence,
        time: Time,
        ledger: &Ledger,
        roster: &Roster,
    ) -> Scheduler {
        let mut scheduler = Scheduler {
            settings,
            fence,
            superseded: false,
            workers: BTreeMap::new(),
            waiting: BTreeMap::new(),
            due: BTreeSet::new(),
            accepted: BTreeMap::new(),
            avoid: BTreeMap::new(),
            last_runs: BTreeMap::new(),
            estimate: Estimator::default(),
            mean_size: BTreeMap::new(),
            instances: BTreeMap::new(),
            by_instance: BTreeMap::new(),
            advice: advice::Advice::default(),
            maintenance: maintenance::Progress::default(),
            balance: balance::Balance::default(),
            time,
            looked: Duration::ZERO,
            batch: Batch::default(),
            changes: Vec::new(),
            orders: Vec::new(),
            explanations: Vec::new(),
        };
        scheduler.inherit(time, ledger);
        for received in roster.workers() {
            scheduler.on_report(time, ledger, &received.report);
        }
        scheduler
    }

    /// Whether a worker or the cloud has seen a higher fence; nothing more is
    /// sent then.
    pub fn is_superseded(&self) -> bool {
        self.superseded
    }

    /// The workers that the leader knows.
    pub fn workers(&self) -> &BTreeMap<WorkerId, Worker> {
        &self.workers
    }

    /// Units that wait for room, by pool.
    pub fn backlog(&self) -> BTreeMap<PoolName, usize> {
        let count = |steps: &BTreeMap<StepKey, Waiting>| {
            steps.values().map(|waiting| waiting.units.len()).sum()
        };
        self.waiting.iter().map(|(pool, steps)| (pool.clone(), count(steps))).collect()
    }

    fn inherit(&mut self, time: Time, ledger: &Ledger) {
        for (number, job) in ledger.jobs() {
            let age = Duration::from_millis(time.wall.saturating_sub(job.accepted_at));
            self.accepted.insert(*number, time.monotonic.saturating_sub(age));
            for (occurrence, state) in &job.occurrences {
                for (step, units) in state.steps.iter().enumerate() {
                    let key = StepKey { job: *number, occurrence: *occurrence, step: step as u16 };
                    for (index, unit) in units.iter().enumerate() {
                        for placement in &unit.placements {
                            let key = key.unit(index as u32);
                            self.inherit_run(
                                time,
                                ledger,
                                key,
                                &placement.incarnation,
                                placement.run,
                            );
                        }
                    }
                }
            }
            if !job.state.is_final() {
                self.open_job(time, ledger, *number);
            }
        }
        self.inherit_waves(time, ledger);
        self.inherit_moves(time, ledger);
    }

    fn inherit_run(
        &mut self,
        time: Time,
        ledger: &Ledger,
        unit: UnitKey,
        incarnation: &Incarnation,
        number: RunNumber,
    ) {
        let Some(job) = ledger.job(unit.job) else { return };
        let step = &job.definition.steps[usize::from(unit.step)];
        let mut run = Run::new(RunState::Inherited, step, time.monotonic);
        run.pace = None; // the leader before may have changed it
        if job.state.is_final() || ledger.unit(&unit).is_some_and(|unit| unit.done) {
            run.stop_reason = Some(StopReason::Unneeded);
            run.state = RunState::Stopping { sent: None, acknowledged: None };
        }
        self.worker(time, incarnation).add(unit, number, run);
        let last = self.last_runs.entry(unit).or_default();
        *last = (*last).max(number);
    }

    fn worker(&mut self, time: Time, incarnation: &Incarnation) -> &mut Worker {
        let lease = Lease::inherited(time.monotonic, LEASE.min(self.settings.max_lease));
        self.workers
            .entry(incarnation.worker.clone())
            .or_insert_with(|| Worker::new(incarnation.clone(), lease))
    }

    fn note(&mut self, subject: impl Into<String>, text: String) {
        self.explanations.push(Explanation { subject: subject.into(), text });
    }
}

/// Inputs.
impl Scheduler {
    /// Takes in what a worker says of itself.
    pub fn on_report(&mut self, time: Time, ledger: &Ledger, report: &Report) {
        let known =
            self.workers.get(&report.incarnation.worker).map(|worker| worker.incarnation.clone());
        match &known {
            Some(incarnation) if incarnation.started_at > report.incarnation.started_at => return,
            Some(incarnation) if incarnation.started_at < report.incarnation.started_at => {
                self.on_new_incarnation(
                    time,
                    ledger,
                    &incarnation.worker,
                    report.incarnation.started_at,
                );
            }
            _ => {}
        }
        if self.workers.get(&report.incarnation.worker).is_some_and(|worker| worker.ended) {
            return; // it was sent before the life ended
        }
        if known.is_none_or(|incarnation| incarnation != report.incarnation) {
            self.new_incarnation_reported(time, ledger, report);
        }
        if self.workers.get(&report.incarnation.worker).is_none_or(|worker| worker.report.is_none())
        {
            self.instance_arrived(&report.instance, &report.pool);
        }
        let leaves = self.is_moving(&report.instance);
        let worker = self.worker(time, &report.incarnation);
        if worker.report.is_none() && leaves {
            worker.cordoned = true; // a move of it may still be carried out
        }
        let same = worker
            .report
            .as_ref()
            .is_some_and(|held| held.draining == report.draining && held.address == report.address);
        if same {
            return;
        }
        let drains = report.draining && !worker.report.as_ref().is_some_and(|r| r.draining);
        worker.report = Some(report.clone());
        self.note_instance(report);
        if drains {
            self.leave_worker(time, ledger, &report.incarnation.worker);
        }
    }

    fn note_instance(&mut self, report: &Report) {
        let started_at = |id: &WorkerId| {
            let worker = self.workers.get(id).filter(|worker| worker.report.is_some());
            worker.map(|worker| worker.incarnation.started_at)
        };
        let held = self.by_instance.get(&report.instance).and_then(started_at);
        if held.is_none_or(|started_at| started_at <= report.incarnation.started_at) {
            self.by_instance.insert(report.instance.clone(), report.incarnation.worker.clone());
        }
    }

    /// Takes in that a life has said that it ends. Its lease still has to end,
    /// since its last work may go on for a moment.
    pub fn on_worker_left(&mut self, worker: &WorkerId) {
        if let Some(worker) = self.workers.get_mut(worker) {
            worker.cordoned = true;
        }
    }

    /// Takes in what the log put in force.
    pub fn on_event(&mut self, time: Time, ledger: &Ledger, event: &Event) {
        match event {
            Event::Configured => self.repool(ledger),
            Event::Accepted(number) => {
                self.accepted.insert(*number, time.monotonic);
                self.learn_size(ledger, *number);
                self.work_arrived(time, ledger, *number);
                self.open_job(time, ledger, *number);
            }
            Event::Finished(number, _) => self.close_job(time, ledger, *number),
            Event::Placed(unit, run, incarnation) => {
                self.on_placed(time, ledger, *unit, *run, incarnation)
            }
            Event::Released(freed) => self.on_released(time, ledger, freed),
            Event::StepDone(step) => self.on_step_done(time, ledger, step),
            Event::EndsAcknowledged(incarnation, _) => {
                if let Some(worker) = self.workers.get_mut(&incarnation.worker) {
                    worker.polling.next_at = worker.polling.next_at.min(time.monotonic);
                }
            }
            Event::Wave(_) => {}
            Event::Maintenance(wave, instance, phase) => {
                self.on_phase_changed(time, *wave, instance, *phase);
            }
            Event::Move(instance, pool) => self.on_move_recorded(time, instance, pool),
        }
    }

    /// Decides what is to be done now.
    pub fn decide(&mut self, time: Time, ledger: &Ledger) -> Output {
        self.time = time;
        if !self.superseded {
            self.open_due(time, ledger);
            self.ask_workers(time, ledger);
            if time.monotonic >= self.looked + LOOK_INTERVAL {
                self.looked = time.monotonic;
                self.retry_orders(time, ledger);
                self.run_maintenance(time, ledger);
                self.balance(time, ledger);
                self.pace(time, ledger);
            }
            self.place(time, ledger);
        }
        let mut proposals = std::mem::take(&mut self.changes);
        let mut batch = std::mem::take(&mut self.batch);
        if !batch.is_empty() {
            batch.at = time.wall;
            proposals.insert(0, Command::Runs(batch));
        }
        let orders = std::mem::take(&mut self.orders);
        Output { proposals, orders, explanations: std::mem::take(&mut self.explanations) }
    }
}
