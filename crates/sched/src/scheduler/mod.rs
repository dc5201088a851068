//! The scheduler: state of one leader's reign.

mod advice;
mod attend;
mod balance;
mod hold;
mod pacing;
mod placing;
mod upkeep;

use crate::estimate::Estimate;
use crate::lease::Lease;
use crate::machine::Machine;
use crate::order::{Address, Order, Refusal, Stop};
use crate::rank::{self, Basis};
use crate::roster::{Report, Roster};
use crate::worker::{Run, RunState, StopReason, Worker};
use crate::{Fence, Settings};
use jobs::command::{Batch, Command, How, Voided};
use jobs::ledger::{Event, Freed};
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
            self.new_life_reported(moment, report);
            self.machine_arrived(&report.machine, &report.pool);
        }
        let worker = self.worker(moment, &report.life);
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

/// Jobs and steps.
impl Scheduler {
    fn learn_size(&mut self, ledger: &Ledger, number: JobNumber) {
        let Some(job) = ledger.job(number) else { return };
        let size = rank::work(&job.order, 0, &|span| span);
        let mean = self.mean_size.entry(job.queue.clone()).or_insert(size);
        *mean += SIZE_WEIGHT * (size - *mean);
    }

    fn open_job(&mut self, moment: Moment, ledger: &Ledger, number: JobNumber) {
        let Some(job) = ledger.job(number) else { return };
        for occurrence in 0..job.order.occurrences() {
            match job.order.due(occurrence) {
                Some(due) if !job.occurrences.contains_key(&occurrence) => {
                    self.due.insert((due, number, occurrence));
                }
                _ => self.open_occurrence(moment, ledger, number, occurrence),
            }
        }
    }

    fn open_due(&mut self, moment: Moment, ledger: &Ledger) {
        while let Some((due, number, occurrence)) = self.due.first().copied() {
            if due > moment.wall {
                return;
            }
            self.due.remove(&(due, number, occurrence));
            self.open_occurrence(moment, ledger, number, occurrence);
        }
    }

    fn open_occurrence(
        &mut self,
        moment: Moment,
        ledger: &Ledger,
        number: JobNumber,
        occurrence: u32,
    ) {
        let Some(job) = ledger.job(number) else { return };
        for step in 0..job.order.steps.len() as u16 {
            if job.step_open(occurrence, step) {
                self.open_step(moment, ledger, StepKey { job: number, occurrence, step });
            }
        }
    }

    /// Lets the units of a step wait for room that are neither done nor placed.
    fn open_step(&mut self, moment: Moment, ledger: &Ledger, key: StepKey) {
        let Some(job) = ledger.job(key.job) else { return };
        for index in 0..job.order.steps[usize::from(key.step)].count {
            let idle = job
                .unit(key.occurrence, key.step, index)
                .is_none_or(|unit| !unit.done && unit.placements.is_empty());
            if idle {
                self.enqueue(ledger, key.unit(index), moment.now);
            }
        }
    }

    fn step_done(&mut self, moment: Moment, ledger: &Ledger, done: &StepKey) {
        let Some(job) = ledger.job(done.job) else { return };
        for (number, step) in job.order.steps.iter().enumerate() {
            let number = number as u16;
            if step.after.contains(&done.step) && job.step_open(done.occurrence, number) {
                self.open_step(moment, ledger, StepKey { step: number, ..*done });
            }
        }
    }

    fn enqueue(&mut self, ledger: &Ledger, unit: UnitKey, not_before: Duration) {
        let Some(job) = ledger.job(unit.job) else { return };
        if job.state.is_final() {
            return;
        }
        let key = unit.step_key();
        let basis = self.basis(ledger, &key);
        let steps = self.waiting.entry(job.pool.clone()).or_default();
        let waiting = steps.entry(key).or_insert_with(|| Waiting { units: BTreeMap::new(), basis });
        waiting.units.insert(unit.index, not_before);
    }

    fn basis(&self, ledger: &Ledger, key: &StepKey) -> Basis {
        let job = &ledger.jobs()[&key.job];
        let span = |declared| self.estimate.span(&job.queue, declared);
        let mut accepted = self.accepted.get(&key.job).copied().unwrap_or_default();
        if let (Some(due), Some(first)) = (job.order.due(key.occurrence), job.order.due(0)) {
            accepted += Duration::from_millis(due.saturating_sub(first));
        }
        Basis {
            priority: job.priority,
            lasting: job.order.steps[usize::from(key.step)].lasting,
            accepted,
            objective: rank::objective(job, &span),
            chain: rank::chain(&job.order, key.step, &span),
            work: rank::work(&job.order, key.step, &span),
            size: rank::work(&job.order, 0, &|span| span),
        }
    }

    /// Sorts what waits anew after queues may have changed their pools.
    fn repool(&mut self, ledger: &Ledger) {
        let all = std::mem::take(&mut self.waiting);
        for (key, waiting) in all.into_values().flatten() {
            if let Some(job) = ledger.job(key.job) {
                self.waiting.entry(job.pool.clone()).or_default().insert(key, waiting);
            }
        }
    }

    fn close_job(&mut self, moment: Moment, ledger: &Ledger, number: JobNumber) {
        for steps in self.waiting.values_mut() {
            steps.retain(|key, _| key.job != number);
        }
        self.due.retain(|(_, job, _)| *job != number);
        self.avoid.retain(|unit, _| unit.job != number);
        self.last_runs.retain(|unit, _| unit.job != number);
        self.accepted.remove(&number);
        self.forget_advice(number);
        for (worker, unit, run) in self.runs_where(|unit| unit.job == number) {
            self.stop(moment, ledger, &worker, unit, run, StopReason::Unwanted);
        }
    }

    fn runs_where(&self, wanted: impl Fn(&UnitKey) -> bool) -> Vec<(WorkerId, UnitKey, RunNumber)> {
        let mut found = Vec::new();
        for (id, worker) in &self.workers {
            for (unit, run) in worker.runs.keys().filter(|(unit, _)| wanted(unit)) {
                found.push((id.clone(), *unit, *run));
            }
        }
        found
    }
}

/// Runs.
impl Scheduler {
    fn freed(&mut self, moment: Moment, ledger: &Ledger, freed: &Freed) {
        let Freed { unit, run: number, life, how } = freed;
        let Some(worker) = self.workers.get_mut(&life.worker) else { return };
        let Some(run) = worker.remove(*unit, *number) else { return };
        match how {
            Some(How::Done) => {
                worker.succeeded();
                self.learn_span(moment, ledger, unit, &life.worker, &run);
                for (worker, unit, number) in self.runs_where(|other| other == unit) {
                    self.stop(moment, ledger, &worker, unit, number, StopReason::Unwanted);
                }
                return;
            }
            Some(How::Failed) => {
                if worker.failed(moment.now) {
                    let text = format!("rests after {} failures in a row", worker.strikes);
                    self.note(life.worker.clone(), text);
                }
                self.avoid.entry(*unit).or_default().insert(life.worker.clone());
            }
            _ => {}
        }
        if run.stopped_for == Some(StopReason::Stuck)
            || run.stopped_for == Some(StopReason::Unclear)
        {
            self.avoid.entry(*unit).or_default().insert(life.worker.clone());
        }
        let idle =
            ledger.unit(unit).is_some_and(|state| !state.done && state.placements.is_empty());
        if idle {
            self.enqueue(ledger, *unit, moment.now);
        }
    }

    fn learn_span(
        &mut self,
        moment: Moment,
        ledger: &Ledger,
        unit: &UnitKey,
        worker: &WorkerId,
        run: &Run,
    ) {
        let Some(job) = ledger.job(unit.job) else { return };
        let step = &job.order.steps[usize::from(unit.step)];
        let Some(started) = run.started else { return };
        if step.lasting || step.filling {
            return;
        }
        let mut real = moment.now.saturating_sub(started);
        let report = self.workers.get(worker).and_then(|worker| worker.report.as_ref());
        let near = step
            .affinity
            .as_ref()
            .is_none_or(|rack| report.is_some_and(|report| report.labels.contains(rack)));
        if !near {
            real = real.div_f64(self.settings.far_factor.max(1.0));
        }
        self.estimate.learn(&job.queue, step.estimate, real);
    }

    /// Stops a run, or drops it if it was never sent.
    fn stop(
        &mut self,
        moment: Moment,
        ledger: &Ledger,
        id: &WorkerId,
        unit: UnitKey,
        number: RunNumber,
        reason: StopReason,
    ) {
        let Some(worker) = self.workers.get_mut(id) else { return };
        let Some(run) = worker.runs.get_mut(&(unit, number)) else { return };
        match run.state {
            RunState::Proposed => {
                // The log refuses a placement behind the end of its job or unit;
                // behind anything else it will come and is stopped then.
                run.stopped_for = Some(reason);
                let over = ledger.job(unit.job).is_none_or(|job| job.state.is_final())
                    || ledger.unit(&unit).is_some_and(|unit| unit.done);
                if over {
                    worker.remove(unit, number);
                }
            }
            RunState::Ready => {
                run.stopped_for = Some(reason);
                run.state = RunState::Ending;
                self.batch.voided.push(Voided { unit, run: number });
            }
            RunState::Stopping { .. } | RunState::Ending => {}
            RunState::Inherited
            | RunState::Starting
            | RunState::Unclear { .. }
            | RunState::Running => {
                run.stopped_for = Some(reason);
                run.state = RunState::Stopping { sent: None, acknowledged: None };
                self.send_stop(moment, ledger, id, unit, number);
            }
        }
    }

    fn send_stop(
        &mut self,
        moment: Moment,
        ledger: &Ledger,
        id: &WorkerId,
        unit: UnitKey,
        run: RunNumber,
    ) {
        let Some(worker) = self.workers.get_mut(id) else { return };
        let Some(report) = &worker.report else { return };
        let Some(name) = ledger.unit_name(&unit) else { return };
        let address = Address { life: worker.life.clone(), address: report.address };
        let Some(held) = worker.runs.get_mut(&(unit, run)) else { return };
        if let RunState::Stopping { sent, .. } = &mut held.state {
            *sent = Some(moment.now);
            self.orders.push(Order::Stop(address, Stop { unit, name, run, fence: self.fence }));
        }
    }

    /// Takes runs off a worker that can't run them any more.
    fn void_all(&mut self, id: &WorkerId, reason: &str) {
        let Some(worker) = self.workers.get_mut(id) else { return };
        let mut count = 0;
        for ((unit, number), run) in &mut worker.runs {
            if !matches!(run.state, RunState::Proposed | RunState::Ending) {
                run.state = RunState::Ending;
                self.batch.voided.push(Voided { unit: *unit, run: *number });
                count += 1;
            }
        }
        if count > 0 {
            self.note(id.clone(), format!("takes {count} runs off it: {reason}"));
        }
    }

    /// A worker's name is borne by a new life. What the old one ran is gone; a
    /// start without an answer may still reach the new life and is barred there.
    fn reborn(&mut self, moment: Moment, ledger: &Ledger, id: &WorkerId, born: UnixMs) {
        let Some(worker) = self.workers.get_mut(id) else { return };
        let mut unclear = Vec::new();
        let mut voided = Vec::new();
        for ((unit, number), run) in &mut worker.runs {
            match run.state {
                RunState::Proposed | RunState::Ending => {}
                RunState::Starting | RunState::Unclear { .. } => unclear.push((*unit, *number)),
                RunState::Stopping { .. } if run.stopped_for == Some(StopReason::Unclear) => {
                    unclear.push((*unit, *number));
                }
                _ => {
                    run.state = RunState::Ending;
                    voided.push(Voided { unit: *unit, run: *number });
                }
            }
        }
        worker.life = Life::new(id.clone(), born);
        worker.report = None;
        worker.verified = false;
        worker.lease = Lease::inherited(moment.now, self.settings.max_lease);
        worker.asking = Default::default();
        worker.proposed = 0;
        worker.strikes = 0;
        worker.closing = false;
        worker.gone = false;
        for (unit, number) in &unclear {
            if let Some(run) = worker.runs.get_mut(&(*unit, *number)) {
                run.stopped_for = Some(StopReason::Unclear);
                run.state = RunState::Stopping { sent: None, acknowledged: None };
            }
        }
        let text = format!(
            "a new life born {born}: {} runs are over, {} have to be barred",
            voided.len(),
            unclear.len()
        );
        self.batch.voided.extend(voided);
        self.note(id.clone(), text);
        for (unit, number) in unclear {
            self.send_stop(moment, ledger, id, unit, number);
        }
    }

    /// The worker is about to leave: lasting work is started anew elsewhere.
    fn leave_worker(&mut self, moment: Moment, ledger: &Ledger, id: &WorkerId) {
        self.note(id.clone(), "drains: no new work".to_string());
        let Some(worker) = self.workers.get(id) else { return };
        let lasting: Vec<(UnitKey, RunNumber)> =
            worker.runs.iter().filter(|(_, run)| run.lasting).map(|(key, _)| *key).collect();
        for (unit, run) in lasting {
            self.stop(moment, ledger, id, unit, run, StopReason::Leaving);
        }
    }

    fn supersede(&mut self, subject: &WorkerId) {
        if !self.superseded {
            self.superseded = true;
            self.note(subject.clone(), "has seen a higher fence: this leader sends no more".into());
        }
    }

    fn refused(&mut self, subject: &WorkerId, refusal: Refusal) {
        if refusal == Refusal::Fence {
            self.supersede(subject);
        }
    }
}
