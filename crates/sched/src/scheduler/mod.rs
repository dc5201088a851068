//! The scheduler: state of one leader's reign.

mod advice;
mod attend;
mod balance;
mod hold;
mod pacing;
mod placing;
mod runs;
mod upkeep;
mod work;

use crate::estimate::Estimate;
use crate::lease::Lease;
use crate::machine::Machine;
use crate::order::Order;
use crate::rank::Basis;
use crate::roster::{Report, Roster};
use crate::worker::{Run, RunState, StopReason, Worker};
use crate::{Fence, Settings};
use jobs::command::{Batch, Command};
use jobs::ledger::Event;
use jobs::{
    JobNumber, Ledger, Life, MachineId, PoolName, QueueName, RunNumber, StepKey, UnitKey, UnixMs,
    WorkerId,
};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

pub use advice::Advised;
pub use attend::{Started, Stopped};
pub use hold::Held;
pub use pacing::Paced;
pub use upkeep::{MovedMachine, UpkeptMachine};

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
pub struct Moment {
    /// Monotonic time that also counts while the machine is suspended.
    pub now: Duration,
    /// Time of day.
    pub wall: UnixMs,
}

/// What the scheduler wants done.
#[derive(Debug, Default)]
pub struct Decision {
    /// Changes to propose to the log, in this order.
    pub proposals: Vec<Command>,
    /// Orders to send.
    pub orders: Vec<Order>,
    /// What was decided, for the log of the process.
    pub notes: Vec<Note>,
}

/// A decision that someone may ask about later.
#[derive(Clone, Debug, PartialEq)]
pub struct Note {
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
    basis: Basis,
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
    estimate: Estimate,
    mean_size: BTreeMap<QueueName, f64>,
    machines: BTreeMap<MachineId, Machine>,
    /// Worker that reported last from each machine, by when it was born.
    by_machine: BTreeMap<MachineId, WorkerId>,
    advice: advice::Advice,
    upkeep: upkeep::Progress,
    balance: balance::Balance,
    moment: Moment,
    looked: Duration,
    batch: Batch,
    changes: Vec<Command>,
    orders: Vec<Order>,
    notes: Vec<Note>,
}

/// Construction and queries.
impl Scheduler {
    /// Takes over from the leader before, by what the ledger holds.
    ///
    /// ```
    /// use sched::scheduler::Moment;
    /// let ledger = jobs::Ledger::new(std::time::Duration::from_secs(120));
    /// let settings = sched::Settings::default();
    /// let roster = sched::Roster::default();
    /// let mut scheduler = sched::Scheduler::new(settings, 1, Moment::default(), &ledger, &roster);
    /// assert!(scheduler.decide(Moment::default(), &ledger).orders.is_empty());
    /// ```
    pub fn new(
        settings: Settings,
        fence: Fence,
        moment: Moment,
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
            estimate: Estimate::default(),
            mean_size: BTreeMap::new(),
            machines: BTreeMap::new(),
            by_machine: BTreeMap::new(),
            advice: advice::Advice::default(),
            upkeep: upkeep::Progress::default(),
            balance: balance::Balance::default(),
            moment,
            looked: Duration::ZERO,
            batch: Batch::default(),
            changes: Vec::new(),
            orders: Vec::new(),
            notes: Vec::new(),
        };
        scheduler.inherit(moment, ledger);
        for heard in roster.workers() {
            scheduler.report(moment, ledger, &heard.report);
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

    fn inherit(&mut self, moment: Moment, ledger: &Ledger) {
        for (number, job) in ledger.jobs() {
            let age = Duration::from_millis(moment.wall.saturating_sub(job.accepted));
            self.accepted.insert(*number, moment.now.saturating_sub(age));
            for (occurrence, state) in &job.occurrences {
                for (step, units) in state.steps.iter().enumerate() {
                    let key = StepKey { job: *number, occurrence: *occurrence, step: step as u16 };
                    for (index, unit) in units.iter().enumerate() {
                        for placement in &unit.placements {
                            let key = key.unit(index as u32);
                            self.inherit_run(moment, ledger, key, &placement.life, placement.run);
                        }
                    }
                }
            }
            if !job.state.is_final() {
                self.open_job(moment, ledger, *number);
            }
        }
        self.inherit_waves(moment, ledger);
        self.inherit_moves(moment, ledger);
    }

    fn inherit_run(
        &mut self,
        moment: Moment,
        ledger: &Ledger,
        unit: UnitKey,
        life: &Life,
        number: RunNumber,
    ) {
        let Some(job) = ledger.job(unit.job) else { return };
        let step = &job.order.steps[usize::from(unit.step)];
        let mut run = Run::new(RunState::Inherited, step, moment.now);
        run.pace = None; // the leader before may have changed it
        if job.state.is_final() || ledger.unit(&unit).is_some_and(|unit| unit.done) {
            run.stopped_for = Some(StopReason::Unwanted);
            run.state = RunState::Stopping { sent: None, acknowledged: None };
        }
        self.worker(moment, life).add(unit, number, run);
        let last = self.last_runs.entry(unit).or_default();
        *last = (*last).max(number);
    }

    fn worker(&mut self, moment: Moment, life: &Life) -> &mut Worker {
        let lease = Lease::inherited(moment.now, LEASE.min(self.settings.max_lease));
        self.workers.entry(life.worker.clone()).or_insert_with(|| Worker::new(life.clone(), lease))
    }

    fn note(&mut self, subject: impl Into<String>, text: String) {
        self.notes.push(Note { subject: subject.into(), text });
    }
}

/// Inputs.
impl Scheduler {
    /// Takes in what a worker says of itself.
    pub fn report(&mut self, moment: Moment, ledger: &Ledger, report: &Report) {
        let known = self.workers.get(&report.life.worker).map(|worker| worker.life.clone());
        match &known {
            Some(life) if life.born > report.life.born => return,
            Some(life) if life.born < report.life.born => {
                self.reborn(moment, ledger, &life.worker, report.life.born);
            }
            _ => {}
        }
        if self.workers.get(&report.life.worker).is_some_and(|worker| worker.gone) {
            return; // it was sent before the life ended
        }
        if known.is_none_or(|life| life != report.life) {
            self.new_life_reported(moment, ledger, report);
        }
        if self.workers.get(&report.life.worker).is_none_or(|worker| worker.report.is_none()) {
            self.machine_arrived(&report.machine, &report.pool);
        }
        let leaves = self.is_moving(&report.machine);
        let worker = self.worker(moment, &report.life);
        if worker.report.is_none() && leaves {
            worker.closing = true; // a move of it may still be carried out
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
        self.note_machine(report);
        if drains {
            self.leave_worker(moment, ledger, &report.life.worker);
        }
    }

    fn note_machine(&mut self, report: &Report) {
        let born = |id: &WorkerId| {
            let worker = self.workers.get(id).filter(|worker| worker.report.is_some());
            worker.map(|worker| worker.life.born)
        };
        let held = self.by_machine.get(&report.machine).and_then(born);
        if held.is_none_or(|born| born <= report.life.born) {
            self.by_machine.insert(report.machine.clone(), report.life.worker.clone());
        }
    }

    /// Takes in that a life has said that it ends. Its lease still has to end,
    /// since its last work may go on for a moment.
    pub fn left(&mut self, worker: &WorkerId) {
        if let Some(worker) = self.workers.get_mut(worker) {
            worker.closing = true;
        }
    }

    /// Takes in what the log put in force.
    pub fn event(&mut self, moment: Moment, ledger: &Ledger, event: &Event) {
        match event {
            Event::Configured => self.repool(ledger),
            Event::Accepted(number) => {
                self.accepted.insert(*number, moment.now);
                self.learn_size(ledger, *number);
                self.work_arrived(moment, ledger, *number);
                self.open_job(moment, ledger, *number);
            }
            Event::Finished(number, _) => self.close_job(moment, ledger, *number),
            Event::Placed(unit, run, life) => self.placed(moment, ledger, *unit, *run, life),
            Event::Freed(freed) => self.freed(moment, ledger, freed),
            Event::StepDone(step) => self.step_done(moment, ledger, step),
            Event::Noted(life, _) => {
                if let Some(worker) = self.workers.get_mut(&life.worker) {
                    worker.asking.next = worker.asking.next.min(moment.now);
                }
            }
            Event::Wave(_) => {}
            Event::Upkeep(wave, machine, upkeep) => {
                self.upkeep_changed(moment, *wave, machine, *upkeep);
            }
            Event::Move(machine, pool) => self.move_noted(moment, machine, pool),
        }
    }

    /// Decides what is to be done now.
    pub fn decide(&mut self, moment: Moment, ledger: &Ledger) -> Decision {
        self.moment = moment;
        if !self.superseded {
            self.open_due(moment, ledger);
            self.ask_workers(moment, ledger);
            if moment.now >= self.looked + LOOK_INTERVAL {
                self.looked = moment.now;
                self.look(moment, ledger);
                self.keep_up(moment, ledger);
                self.balance(moment, ledger);
                self.pace(moment, ledger);
            }
            self.place(moment, ledger);
        }
        let mut proposals = std::mem::take(&mut self.changes);
        let mut batch = std::mem::take(&mut self.batch);
        if !batch.is_empty() {
            batch.at = moment.wall;
            proposals.insert(0, Command::Runs(batch));
        }
        let orders = std::mem::take(&mut self.orders);
        Decision { proposals, orders, notes: std::mem::take(&mut self.notes) }
    }
}
