//! The ledger: replicated state of configuration, jobs, runs and waves.

use crate::command::{
    Batch, Cancel, Command, Discarded, End, EndList, EndReason, MaintenanceChange, MoveChange,
    Placed, Submit,
};
use crate::job::{Job, Placement, State, Unit};
use crate::wave::{Phase, Wave};
use crate::{
    Config, Decision, Incarnation, InstanceId, JobId, JobNumber, Journal, PoolName, QueueName,
    RunNumber, StepKey, UnitKey, UnixMs, WaveId, WorkerId,
};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::time::Duration;

/// What a command came to, for whoever waits for it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// It is in force.
    Done,
    /// The job is accepted, now or earlier.
    Accepted,
    /// The job exists in another queue.
    OtherQueue,
    /// No such job exists.
    Missing,
}

/// What changed, for the scheduler.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A configuration came into force.
    Configured,
    /// A job was accepted.
    Accepted(JobNumber),
    /// A job came to its end; none of its units is started any more.
    Finished(JobNumber, State),
    /// A run was placed.
    Placed(UnitKey, RunNumber, Incarnation),
    /// A run is on no worker any more.
    Released(Release),
    /// All units of a step are done.
    StepDone(StepKey),
    /// Ends of a life are noted up to a number.
    EndsAcknowledged(Incarnation, u64),
    /// A wave was taken in.
    Wave(WaveId),
    /// A machine's upkeep has come further.
    Maintenance(WaveId, InstanceId, Phase),
    /// A machine is to be ordered to another pool.
    Move(InstanceId, PoolName),
}

/// A run that is on no worker any more.
#[derive(Clone, Debug, PartialEq)]
pub struct Release {
    /// The unit.
    pub unit: UnitKey,
    /// The run.
    pub run: RunNumber,
    /// Life that it was placed on.
    pub incarnation: Incarnation,
    /// How it ended; none when no worker listed an end.
    pub reason: Option<EndReason>,
}

/// Ends that are noted of one worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Noted {
    #[serde(rename = "born")]
    started_at: UnixMs,
    through: u64,
}

/// A move of a machine whose order may still be carried out.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PendingMove {
    /// Pool that it was ordered to.
    pub pool: PoolName,
    /// When the order was last given, by the leader's time of day.
    pub at: UnixMs,
}

/// Replicated state.
///
/// ```
/// use jobs::command::{Cancel, Command};
/// use jobs::{Ledger, Outcome};
/// let mut ledger = Ledger::new(std::time::Duration::from_secs(120));
/// let cancel = Cancel { queue: "q".into(), id: "a".into(), at: 0 };
/// let (outcome, events) = ledger.apply(Command::Cancel(cancel));
/// assert_eq!(outcome, Outcome::Missing);
/// assert!(events.is_empty());
/// ```
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Ledger {
    retention: Duration,
    config: Option<Config>,
    jobs: BTreeMap<JobNumber, Job>,
    by_id: BTreeMap<JobId, JobNumber>,
    next_job: JobNumber,
    noted: BTreeMap<WorkerId, Noted>,
    waves: BTreeMap<WaveId, Wave>,
    #[serde(default)]
    moves: BTreeMap<InstanceId, PendingMove>,
    finished: BTreeMap<(UnixMs, JobNumber), ()>,
    #[serde(default)]
    journal: Journal,
    /// Latest time that a command named.
    #[serde(default)]
    latest: UnixMs,
}

/// Queries.
impl Ledger {
    /// An empty ledger that keeps jobs for some time after their end.
    pub fn new(retention: Duration) -> Ledger {
        Ledger {
            retention,
            config: None,
            jobs: BTreeMap::new(),
            by_id: BTreeMap::new(),
            next_job: 1,
            noted: BTreeMap::new(),
            waves: BTreeMap::new(),
            moves: BTreeMap::new(),
            finished: BTreeMap::new(),
            journal: Journal::default(),
            latest: 0,
        }
    }

    /// The configuration in force.
    pub fn config(&self) -> Option<&Config> {
        self.config.as_ref()
    }

    /// All jobs that are kept.
    pub fn jobs(&self) -> &BTreeMap<JobNumber, Job> {
        &self.jobs
    }

    /// A job by its number.
    pub fn job(&self, number: JobNumber) -> Option<&Job> {
        self.jobs.get(&number)
    }

    /// A job of a queue by the name that its client gave.
    pub fn find_job(&self, queue: &QueueName, id: &str) -> Option<&Job> {
        let job = self.jobs.get(self.by_id.get(id)?)?;
        (job.queue == *queue).then_some(job)
    }

    /// Number of a job by the name that its client gave.
    pub fn job_number(&self, id: &str) -> Option<JobNumber> {
        self.by_id.get(id).copied()
    }

    /// State of a unit, if it is kept.
    pub fn unit(&self, key: &UnitKey) -> Option<&Unit> {
        self.jobs.get(&key.job)?.unit(key.occurrence, key.step, key.index)
    }

    /// Name of a unit as workers know it.
    pub fn unit_name(&self, key: &UnitKey) -> Option<String> {
        let job = self.jobs.get(&key.job)?;
        Some(format!("{}.{}.{}.{}", job.id, key.occurrence, key.step, key.index))
    }

    /// Unit of a name that a worker lists.
    pub fn find_unit(&self, name: &str) -> Option<UnitKey> {
        let mut parts = name.split('.');
        let job = *self.by_id.get(parts.next()?)?;
        let occurrence = parts.next()?.parse().ok()?;
        let step = parts.next()?.parse().ok()?;
        let index = parts.next()?.parse().ok()?;
        let known = self.jobs.get(&job)?.definition.steps.get(usize::from(step));
        let known = known.is_some_and(|step| index < step.count);
        (known && parts.next().is_none()).then_some(UnitKey { job, occurrence, step, index })
    }

    /// Last end that is noted of a life.
    pub fn acknowledged_through(&self, incarnation: &Incarnation) -> u64 {
        match self.noted.get(&incarnation.worker) {
            Some(noted) if noted.started_at == incarnation.started_at => noted.through,
            _ => 0,
        }
    }

    /// Decisions that are on record.
    pub fn journal(&self) -> &Journal {
        &self.journal
    }

    /// What is known about a subject: `job NAME`, or a subject of the journal; all of
    /// the journal for none.
    ///
    /// ```
    /// let ledger = jobs::Ledger::new(std::time::Duration::from_secs(120));
    /// assert!(ledger.explain("job 1").is_empty());
    /// ```
    pub fn explain(&self, subject: &str) -> Vec<Decision> {
        let id = subject.strip_prefix("job ").and_then(|id| self.by_id.get(id));
        match id.and_then(|number| self.jobs.get(number)) {
            Some(job) => job.explain(),
            None if subject.is_empty() => self.journal.all().cloned().collect(),
            None => self.journal.by_subject(subject).cloned().collect(),
        }
    }

    /// All waves.
    pub fn waves(&self) -> &BTreeMap<WaveId, Wave> {
        &self.waves
    }

    /// Moves whose orders may still be carried out; those without an answer stay.
    pub fn moves(&self) -> &BTreeMap<InstanceId, PendingMove> {
        &self.moves
    }

    /// Accepted jobs of a queue none of whose units has been started.
    pub fn pending(&self, queue: &QueueName) -> usize {
        let queued = |job: &&Job| job.state == State::Queued && job.queue == *queue;
        self.jobs.values().filter(queued).count()
    }
}

/// Commands.
impl Ledger {
    /// Applies a command.
    pub fn apply(&mut self, command: Command) -> (Outcome, Vec<Event>) {
        let mut events = Vec::new();
        let outcome = match command {
            Command::Configure(config) => self.configure(*config, &mut events),
            Command::Submit(submit) => self.submit(submit, &mut events),
            Command::Cancel(cancel) => self.cancel(cancel, &mut events),
            Command::Runs(batch) => self.runs(batch, &mut events),
            Command::StartWave(wave) => self.start_wave(wave, &mut events),
            Command::Maintenance(change) => {
                self.latest = self.latest.max(change.at);
                self.maintenance(change, &mut events)
            }
            Command::Move(change) => self.move_instance(change, &mut events),
            Command::Note(decision) => {
                self.journal.add(decision);
                Outcome::Done
            }
        };
        (outcome, events)
    }

    fn configure(&mut self, config: Config, events: &mut Vec<Event>) -> Outcome {
        if self.config.as_ref().is_some_and(|held| held.version >= config.version) {
            return Outcome::Done;
        }
        for job in self.jobs.values_mut() {
            if let Some(queue) = config.queues.get(&job.queue) {
                job.pool = queue.pool.clone();
            }
        }
        let before = self.config.as_ref().map_or("none".to_string(), |c| c.version.to_string());
        let text = format!(
            "version {} is in force after version {before}: {} queues, {} pools",
            config.version,
            config.queues.len(),
            config.pools.len()
        );
        self.record("configuration".to_string(), text);
        self.config = Some(config);
        events.push(Event::Configured);
        Outcome::Done
    }

    fn record(&mut self, subject: String, text: String) {
        self.journal.add(Decision { at: self.latest, subject, text });
    }

    fn submit(&mut self, submit: Submit, events: &mut Vec<Event>) -> Outcome {
        self.latest = self.latest.max(submit.at);
        self.forget(submit.at);
        if let Some(number) = self.by_id.get(&submit.id) {
            let same = self.jobs.get(number).is_some_and(|job| job.queue == submit.queue);
            return if same { Outcome::Accepted } else { Outcome::OtherQueue };
        }
        let queue = self.config.as_ref().and_then(|config| config.queues.get(&submit.queue));
        let Some(queue) = queue else { return Outcome::Missing };
        let number = self.next_job;
        self.next_job += 1;
        let mut job = Job {
            id: submit.id.clone(),
            queue: submit.queue,
            pool: queue.pool.clone(),
            priority: queue.priority,
            max_attempts: queue.max_attempts.max(1),
            critical_path_factor: queue.critical_path_factor,
            base_objective: queue.base_objective,
            definition: submit.definition,
            accepted_at: submit.at,
            state: State::Queued,
            finished_at: None,
            occurrences: BTreeMap::new(),
            completed_occurrences: 0,
        };
        if job.definition.schedule.is_none() {
            job.occurrence_mut(0);
        }
        self.jobs.insert(number, job);
        self.by_id.insert(submit.id, number);
        events.push(Event::Accepted(number));
        Outcome::Accepted
    }

    fn cancel(&mut self, cancel: Cancel, events: &mut Vec<Event>) -> Outcome {
        let Some(number) = self.by_id.get(&cancel.id).copied() else { return Outcome::Missing };
        match self.jobs.get(&number) {
            Some(job) if job.queue == cancel.queue => {}
            _ => return Outcome::Missing,
        }
        self.finish(number, State::Cancelled, cancel.at, events);
        Outcome::Done
    }

    fn runs(&mut self, batch: Batch, events: &mut Vec<Event>) -> Outcome {
        self.latest = self.latest.max(batch.at);
        for EndList { incarnation, ends } in batch.ended {
            for end in ends {
                self.end(&incarnation, end, batch.at, events);
            }
        }
        for Discarded { unit, run } in batch.discarded {
            self.discard(unit, run, events);
        }
        for Placed { incarnation, runs } in batch.placed {
            for (unit, run) in runs {
                self.place(&incarnation, unit, run, events);
            }
        }
        Outcome::Done
    }

    fn end(&mut self, incarnation: &Incarnation, end: End, at: UnixMs, events: &mut Vec<Event>) {
        let noted = self
            .noted
            .entry(incarnation.worker.clone())
            .or_insert(Noted { started_at: incarnation.started_at, through: 0 });
        if noted.started_at > incarnation.started_at
            || (noted.started_at == incarnation.started_at && noted.through >= end.number)
        {
            return;
        }
        *noted = Noted { started_at: incarnation.started_at, through: end.number };
        events.push(Event::EndsAcknowledged(incarnation.clone(), end.number));
        let Some(key) = end.unit else { return };
        let Some(unit) = unit_mut(&mut self.jobs, &key) else { return };
        let placed = |p: &Placement| p.run == end.run && p.incarnation == *incarnation;
        let Some(position) = unit.placements.iter().position(placed) else { return };
        unit.placements.remove(position);
        let saved = end.checkpoint.clone();
        let was_done = unit.done; // by a copy, or by another member of its gang
        unit.end(end.reason, &end.checkpoint);
        let freed = Release {
            unit: key,
            run: end.run,
            incarnation: incarnation.clone(),
            reason: Some(end.reason),
        };
        events.push(Event::Released(freed));
        self.share_checkpoint(&key, &saved);
        match end.reason {
            EndReason::Done if !was_done => self.unit_done(key, at, events),
            EndReason::Failed => self.unit_failed(key, at, events),
            EndReason::Done
            | EndReason::Stopped
            | EndReason::Lapsed
            | EndReason::Broken
            | EndReason::Alone => {}
        }
        self.drop_units(key.job);
    }

    /// A checkpoint of one member of a gang is good for all, and all have to start
    /// from the same.
    fn share_checkpoint(&mut self, key: &UnitKey, saved: &str) {
        let Some(job) = self.jobs.get_mut(&key.job) else { return };
        if saved.is_empty() || !job.definition.steps[usize::from(key.step)].gang {
            return;
        }
        for unit in &mut job.occurrence_mut(key.occurrence).steps[usize::from(key.step)] {
            unit.checkpoint = saved.to_string();
        }
    }

    fn unit_done(&mut self, key: UnitKey, at: UnixMs, events: &mut Vec<Event>) {
        let Some(job) = self.jobs.get_mut(&key.job) else { return };
        let step = &job.definition.steps[usize::from(key.step)];
        if step.gang {
            let units = &mut job.occurrence_mut(key.occurrence).steps[usize::from(key.step)];
            units.iter_mut().for_each(|unit| unit.done = true);
        }
        if job.state.is_final() || !job.is_step_done(key.occurrence, key.step) {
            return;
        }
        events.push(Event::StepDone(key.step_key()));
        let steps = job.definition.steps.len() as u16;
        if !(0..steps).all(|step| job.is_step_done(key.occurrence, step)) {
            return;
        }
        job.completed_occurrences += 1;
        if job.completed_occurrences >= job.definition.occurrences() {
            self.finish(key.job, State::Completed, at, events);
        }
    }

    fn unit_failed(&mut self, key: UnitKey, at: UnixMs, events: &mut Vec<Event>) {
        let Some(job) = self.jobs.get(&key.job) else { return };
        let Some(step) = job.definition.steps.get(usize::from(key.step)) else { return };
        if step.long_running {
            return;
        }
        let units = &job.occurrences[&key.occurrence].steps[usize::from(key.step)];
        let failures = if step.gang {
            units.iter().map(|unit| unit.failures).sum()
        } else {
            units[key.index as usize].failures
        };
        let done = units[key.index as usize].done;
        if failures >= job.max_attempts && !done {
            self.finish(key.job, State::Failed, at, events);
        }
    }

    fn discard(&mut self, key: UnitKey, run: RunNumber, events: &mut Vec<Event>) {
        let Some(unit) = unit_mut(&mut self.jobs, &key) else { return };
        let Some(position) = unit.placements.iter().position(|p| p.run == run) else { return };
        let incarnation = unit.placements.remove(position).incarnation;
        events.push(Event::Released(Release { unit: key, run, incarnation, reason: None }));
        self.drop_units(key.job);
    }

    fn place(
        &mut self,
        incarnation: &Incarnation,
        key: UnitKey,
        run: RunNumber,
        events: &mut Vec<Event>,
    ) {
        let Some(job) = self.jobs.get_mut(&key.job) else { return };
        if job.state.is_final() {
            return;
        }
        job.state = State::Running;
        let occurrence = job.occurrence_mut(key.occurrence);
        let unit = occurrence
            .steps
            .get_mut(usize::from(key.step))
            .and_then(|units| units.get_mut(key.index as usize));
        let Some(unit) = unit.filter(|unit| !unit.done && run > unit.last_run) else { return };
        unit.last_run = run;
        let checkpoint = unit.checkpoint.clone();
        unit.placements.push(Placement { incarnation: incarnation.clone(), run, checkpoint });
        events.push(Event::Placed(key, run, incarnation.clone()));
    }

    fn finish(&mut self, number: JobNumber, state: State, at: UnixMs, events: &mut Vec<Event>) {
        let Some(job) = self.jobs.get_mut(&number) else { return };
        if job.state.is_final() {
            return;
        }
        job.state = state;
        job.finished_at = Some(at);
        self.finished.insert((at, number), ());
        events.push(Event::Finished(number, state));
        self.drop_units(number);
    }

    /// Drops the units of a job that is over once no run may be on a worker.
    fn drop_units(&mut self, number: JobNumber) {
        let Some(job) = self.jobs.get_mut(&number) else { return };
        if job.state.is_final() && !job.has_placements() {
            job.occurrences.clear();
            job.definition.spec.clear();
        }
    }

    /// Forgets jobs that have been over for long enough.
    fn forget(&mut self, now: UnixMs) {
        let before = now.saturating_sub(self.retention.as_millis() as u64);
        while let Some(((at, number), ())) = self.finished.first_key_value() {
            let (at, number) = (*at, *number);
            if at >= before {
                return;
            }
            self.finished.remove(&(at, number));
            if let Some(job) = self.jobs.remove(&number) {
                self.by_id.remove(&job.id);
            }
        }
    }

    fn start_wave(&mut self, wave: Wave, events: &mut Vec<Event>) -> Outcome {
        let id = wave.id;
        self.latest = self.latest.max(wave.accepted_at);
        if !self.waves.contains_key(&id) {
            let (instances, max_unavailable) = (wave.instances.len(), wave.max_unavailable);
            let text =
                format!("an operator asks for {instances} machines, {max_unavailable} at one time");
            self.record(format!("wave {id}"), text);
        }
        if let std::collections::btree_map::Entry::Vacant(slot) = self.waves.entry(id) {
            slot.insert(wave);
            events.push(Event::Wave(id));
        }
        Outcome::Done
    }

    fn move_instance(&mut self, change: MoveChange, events: &mut Vec<Event>) -> Outcome {
        let MoveChange { instance, pool, reason, at } = change;
        self.latest = self.latest.max(at);
        let subject = format!("machine {instance}");
        match pool {
            Some(pool) => {
                self.record(subject, format!("moves to pool {pool}: {reason}"));
                self.moves.insert(instance.clone(), PendingMove { pool: pool.clone(), at });
                events.push(Event::Move(instance, pool));
            }
            None => {
                self.record(subject, reason);
                self.moves.remove(&instance);
            }
        }
        Outcome::Done
    }

    fn maintenance(&mut self, change: MaintenanceChange, events: &mut Vec<Event>) -> Outcome {
        let MaintenanceChange { wave: id, instance, phase, worker_started_at, .. } = change;
        let Some(wave) = self.waves.get_mut(&id) else { return Outcome::Missing };
        let Some(held) = wave.instances.get_mut(&instance) else { return Outcome::Missing };
        if !matches!(held, Phase::Done | Phase::Gone) {
            *held = phase;
            if let Some(worker_started_at) = worker_started_at {
                wave.worker_started_at.insert(instance.clone(), worker_started_at);
            }
            self.record(format!("machine {instance}"), format!("wave {id}: {phase:?}"));
            events.push(Event::Maintenance(id, instance, phase));
        }
        Outcome::Done
    }
}

fn unit_mut<'a>(jobs: &'a mut BTreeMap<JobNumber, Job>, key: &UnitKey) -> Option<&'a mut Unit> {
    jobs.get_mut(&key.job)?
        .occurrences
        .get_mut(&key.occurrence)?
        .steps
        .get_mut(usize::from(key.step))?
        .get_mut(usize::try_from(key.index).ok()?)
}
