//! The ledger: replicated state of configuration, jobs, runs and waves.
//!
//! Commands are applied in the order of the log, and applying the same commands gives
//! the same state on every replica, so nothing here reads a clock or other input.

use crate::account::Account;
use crate::command::{
    Batch, Cancel, Command, CrashList, Discarded, End, EndList, EndReason, LateRun,
    MaintenanceChange, MoveChange, Placed, Restart, RunKey, Submit,
};
use crate::crash::{self, Crash};
use crate::job::{Job, Occurrence, Placement, State, Unit};
use crate::tombstone::Tombstones;
use crate::wave::{Phase, Wave};
use crate::{
    AccountName, Config, Decision, Incarnation, InstanceId, JobId, JobNumber, Journal, PoolName,
    Queue, QueueName, RunNumber, StepKey, UnitKey, UnixMs, WaveId, WorkerId,
};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Crashes that a job keeps at most as the reason why it was given up.
const MAX_FATAL_CRASHES: usize = 32;

/// Result of a command, for the client that waits for it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// The command was applied, or had nothing left to change.
    Done,
    /// The job was accepted, by this command or an earlier one.
    Accepted,
    /// A job with this name exists in another queue.
    OtherQueue,
    /// A job with this name belongs to another account.
    OtherAccount,
    /// The queue, wave or instance that the command names does not exist.
    Missing,
    /// No job has the name. If one is submitted under it, it is cancelled at once.
    CancelledAhead,
    /// No job has the name, and there is no room to record the cancellation until this time.
    NoRoom(UnixMs),
}

/// A change of the ledger that the scheduler acts on.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A new configuration is in force.
    Configured,
    /// A job was accepted.
    Accepted(JobNumber),
    /// A job reached a final state; none of its units is started any more.
    Finished(JobNumber, State),
    /// A run was placed on an incarnation of a worker.
    Placed(UnitKey, RunNumber, Incarnation),
    /// A run is on no worker any more.
    Released(Release),
    /// A worker that had a run of the unit crashed.
    Crashed(UnitKey),
    /// All units of a step are done.
    StepDone(StepKey),
    /// The ends of an incarnation up to this number are in the log.
    EndsAcknowledged(Incarnation, u64),
    /// A maintenance wave was accepted.
    Wave(WaveId),
    /// The maintenance of an instance reached a new phase.
    Maintenance(WaveId, InstanceId, Phase),
    /// An instance is about to be ordered to another pool.
    Move(InstanceId, PoolName),
}

/// A run that is on no worker any more.
#[derive(Clone, Debug, PartialEq)]
pub struct Release {
    /// Key of the unit.
    pub unit: UnitKey,
    /// Number of the run.
    pub run: RunNumber,
    /// Incarnation that it was placed on.
    pub incarnation: Incarnation,
    /// How the run ended; `None` if no worker listed an end.
    pub reason: Option<EndReason>,
}

/// Highest end of a worker's incarnation that is in the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct AcknowledgedEnds {
    #[serde(rename = "born")]
    started_at: UnixMs,
    /// Number of the last acknowledged end.
    through: u64,
}

/// Start times of the last incarnation of a worker that is known to have come after another one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Restarted {
    #[serde(rename = "born")]
    started_at: UnixMs,
    /// The one that the worker states.
    #[serde(rename = "stated")]
    stated_start: UnixMs,
    /// Latest leader time that a command had carried when the restart was recorded.
    at: UnixMs,
}

/// A move of an instance whose order may still be carried out.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PendingMove {
    /// Pool that the instance is, or is about to be, ordered to.
    pub pool: PoolName,
    /// When the order was last proposed, on the leader's wall clock.
    pub at: UnixMs,
}

/// Configuration, jobs, waves and moves, as the applied commands left them.
///
/// ```
/// use jobs::command::{Cancel, Command};
/// use jobs::{Ledger, Outcome};
/// let mut ledger = Ledger::new(std::time::Duration::from_secs(120));
/// let place = Some(jobs::config::Place { host: "h".into(), prefix: "/q/".into() });
/// let cancel = Cancel { queue: "q".into(), place, id: "a".into(), owner: None, at: 0 };
/// let (outcome, events) = ledger.apply(Command::Cancel(cancel));
/// assert_eq!(outcome, Outcome::CancelledAhead);
/// assert!(events.is_empty());
/// ```
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Ledger {
    retention: Duration,
    config: Option<Config>,
    /// Accounts that the configuration in force no longer has, while they own unfinished jobs.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    former_accounts: BTreeMap<AccountName, Account>,
    /// Names under which unfinished jobs of a queue were accepted, other than its present one.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    former_names: BTreeMap<QueueName, BTreeSet<QueueName>>,
    jobs: BTreeMap<JobNumber, Job>,
    /// Numbers of the jobs by name. A name exists only once in all queues.
    by_id: BTreeMap<JobId, JobNumber>,
    next_job: JobNumber,
    #[serde(rename = "noted")]
    acknowledged_ends: BTreeMap<WorkerId, AcknowledgedEnds>,
    /// Kept apart from the ends, which processes that do not read it apply as well.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    restarts: BTreeMap<WorkerId, Restarted>,
    /// Released runs of which a start may still be carried out.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    late_runs: BTreeMap<RunKey, LateRun>,
    /// Names of jobs that were cancelled before they were known. Processes from before the field
    /// existed accept such a job.
    #[serde(default, skip_serializing_if = "Tombstones::is_empty")]
    tombstones: Tombstones,
    waves: BTreeMap<WaveId, Wave>,
    #[serde(default)]
    moves: BTreeMap<InstanceId, PendingMove>,
    /// Finished jobs in the order of their ends, to find those past the retention.
    #[serde(rename = "finished")]
    finished_jobs: BTreeMap<(UnixMs, JobNumber), ()>,
    #[serde(default)]
    journal: Journal,
    /// Latest leader time that a command carried; the time of recorded decisions.
    #[serde(default, rename = "latest")]
    latest_at: UnixMs,
}

/// Queries.
impl Ledger {
    /// Creates an empty ledger that keeps finished jobs for `retention`.
    pub fn new(retention: Duration) -> Ledger {
        Ledger {
            retention,
            config: None,
            former_accounts: BTreeMap::new(),
            former_names: BTreeMap::new(),
            jobs: BTreeMap::new(),
            by_id: BTreeMap::new(),
            next_job: 1,
            acknowledged_ends: BTreeMap::new(),
            restarts: BTreeMap::new(),
            late_runs: BTreeMap::new(),
            tombstones: Tombstones::default(),
            waves: BTreeMap::new(),
            moves: BTreeMap::new(),
            finished_jobs: BTreeMap::new(),
            journal: Journal::default(),
            latest_at: 0,
        }
    }

    /// Returns the configuration in force; `None` before the first one.
    pub fn config(&self) -> Option<&Config> {
        self.config.as_ref()
    }

    /// Returns whether client accounts limit or rank any job.
    pub fn uses_accounts(&self) -> bool {
        let config = self.config.as_ref();
        config.is_some_and(|config| config.accounts.is_some()) || !self.former_accounts.is_empty()
    }

    /// Returns an account, also one that the configuration in force no longer has while it owns
    /// unfinished jobs.
    pub fn account(&self, name: &str) -> Option<&Account> {
        let accounts = self.config.as_ref().and_then(|config| config.accounts.as_ref());
        accounts.and_then(|accounts| accounts.get(name)).or_else(|| self.former_accounts.get(name))
    }

    /// Returns all jobs, finished ones until their retention ends.
    pub fn jobs(&self) -> &BTreeMap<JobNumber, Job> {
        &self.jobs
    }

    /// Returns a job by its number.
    pub fn job(&self, number: JobNumber) -> Option<&Job> {
        self.jobs.get(&number)
    }

    /// Returns a job of a queue by the name that its client gave. The jobs of a queue are those that
    /// were accepted at its place, under whatever name, and those accepted under its name at a place
    /// that no queue has any more. A queue that is not in the configuration has none.
    pub fn find_job(&self, queue: &QueueName, id: &str) -> Option<&Job> {
        let job = self.jobs.get(self.by_id.get(id)?)?;
        self.is_in(job, queue).then_some(job)
    }

    fn is_in(&self, job: &Job, queue: &QueueName) -> bool {
        let Some(config) = &self.config else { return false };
        let Some(present) = config.queues.get(queue) else { return false };
        let is_namesake = job.queue == *queue;
        let Some(place) = &job.place else { return is_namesake };
        present.is_at(place) || (is_namesake && config.queue_at(place).is_none())
    }

    /// Returns the queue that a job is in by the configuration in force.
    pub fn queue_of(&self, job: &Job) -> Option<&Queue> {
        let config = self.config.as_ref()?;
        let namesake = config.queues.get(&job.queue);
        match &job.place {
            Some(place) if !namesake.is_some_and(|queue| queue.is_at(place)) => {
                config.queue_at(place).and_then(|name| config.queues.get(name)).or(namesake)
            }
            _ => namesake,
        }
    }

    /// Returns the unfinished jobs of a queue.
    pub fn unfinished_jobs<'a>(&'a self, queue: &'a QueueName) -> impl Iterator<Item = &'a Job> {
        let unfinished = self.jobs.values().filter(|job| !job.state.is_final());
        unfinished.filter(|job| self.is_in(job, queue))
    }

    /// Returns names under which jobs of queues were accepted, by the present name of the queue and
    /// without that. Empty unless a queue with unfinished jobs was renamed.
    ///
    /// ```
    /// let ledger = jobs::Ledger::new(std::time::Duration::from_secs(120));
    /// assert!(ledger.former_names().is_empty());
    /// ```
    pub fn former_names(&self) -> &BTreeMap<QueueName, BTreeSet<QueueName>> {
        &self.former_names
    }

    /// Returns the number of a job by the name that its client gave.
    pub fn job_number(&self, id: &str) -> Option<JobNumber> {
        self.by_id.get(id).copied()
    }

    /// Returns the state of a unit; `None` if the occurrence has not started, or the
    /// job is finished and all its runs are released.
    pub fn unit(&self, key: &UnitKey) -> Option<&Unit> {
        self.jobs.get(&key.job)?.unit(key.occurrence, key.step, key.index)
    }

    /// Returns the name of a unit at workers: `JOB.OCCURRENCE.STEP.INDEX`.
    pub fn unit_name(&self, key: &UnitKey) -> Option<String> {
        let job = self.jobs.get(&key.job)?;
        Some(format!("{}.{}.{}.{}", job.id, key.occurrence, key.step, key.index))
    }

    /// Returns the unit with a name that a worker listed; `None` if no job has it.
    pub fn find_unit(&self, name: &str) -> Option<UnitKey> {
        let mut parts = name.split('.');
        let job = *self.by_id.get(parts.next()?)?;
        let occurrence = parts.next()?.parse().ok()?;
        let step = parts.next()?.parse().ok()?;
        let index = parts.next()?.parse().ok()?;
        let known_step = self.jobs.get(&job)?.definition.steps.get(usize::from(step));
        let known = known_step.is_some_and(|step| index < step.count);
        (known && parts.next().is_none()).then_some(UnitKey { job, occurrence, step, index })
    }

    /// Returns the number of the last end of an incarnation that is in the log; 0 for
    /// none.
    pub fn acknowledged_through(&self, incarnation: &Incarnation) -> u64 {
        match self.acknowledged_ends.get(&incarnation.worker) {
            Some(ends) if ends.started_at == incarnation.started_at => ends.through,
            _ => 0,
        }
    }

    /// Returns the start of the last incarnation of a worker that has listed an end or is known to
    /// have restarted, by the time that the ledger uses for it; `None` if there is none.
    ///
    /// ```
    /// let ledger = jobs::Ledger::new(std::time::Duration::from_secs(120));
    /// assert_eq!(ledger.last_start(&"i-1".to_string()), None);
    /// ```
    pub fn last_start(&self, worker: &WorkerId) -> Option<UnixMs> {
        let last_end = self.acknowledged_ends.get(worker).map(|ends| ends.started_at);
        last_end.max(self.restarts.get(worker).map(|restart| restart.started_at))
    }

    /// Returns the start that an incarnation states, which differs from the one that the ledger uses
    /// if the worker's wall clock was set back.
    ///
    /// ```
    /// let ledger = jobs::Ledger::new(std::time::Duration::from_secs(120));
    /// assert_eq!(ledger.stated_start(&jobs::Incarnation::new("i-1", 5)), 5);
    /// ```
    pub fn stated_start(&self, incarnation: &Incarnation) -> UnixMs {
        match self.restarts.get(&incarnation.worker) {
            Some(restart) if restart.started_at == incarnation.started_at => restart.stated_start,
            _ => incarnation.started_at,
        }
    }

    /// Returns the latest leader time that a command has carried.
    ///
    /// ```
    /// assert_eq!(jobs::Ledger::new(std::time::Duration::from_secs(120)).latest_at(), 0);
    /// ```
    pub fn latest_at(&self) -> UnixMs {
        self.latest_at
    }

    /// Returns how long ago the last restart of a worker under its id was recorded, by the times that
    /// commands carry; `None` if none was.
    ///
    /// ```
    /// let ledger = jobs::Ledger::new(std::time::Duration::from_secs(120));
    /// assert_eq!(ledger.restart_age(&"i-1".to_string()), None);
    /// ```
    pub fn restart_age(&self, worker: &WorkerId) -> Option<Duration> {
        let restart = self.restarts.get(worker)?;
        Some(Duration::from_millis(self.latest_at.saturating_sub(restart.at)))
    }

    /// Returns the released runs of which a start may still be carried out.
    ///
    /// ```
    /// let ledger = jobs::Ledger::new(std::time::Duration::from_secs(120));
    /// assert!(ledger.late_runs().is_empty());
    /// ```
    pub fn late_runs(&self) -> &BTreeMap<RunKey, LateRun> {
        &self.late_runs
    }

    /// Returns the names of jobs that were cancelled before they were known.
    pub fn tombstones(&self) -> &Tombstones {
        &self.tombstones
    }

    /// Returns when there is room again to record that an unknown job is cancelled, if there is none
    /// at `now`.
    pub fn no_room_to_cancel_until(&self, now: UnixMs) -> Option<UnixMs> {
        self.tombstones.full_until(now, self.retention)
    }

    /// Returns the decisions that are on record.
    pub fn journal(&self) -> &Journal {
        &self.journal
    }

    /// Explains a subject: `job NAME`, `account NAME`, or a subject of the journal. An empty
    /// subject returns the whole journal.
    ///
    /// ```
    /// let ledger = jobs::Ledger::new(std::time::Duration::from_secs(120));
    /// assert!(ledger.explain("job 1").is_empty());
    /// ```
    pub fn explain(&self, subject: &str) -> Vec<Decision> {
        if let Some(account) = subject.strip_prefix("account ") {
            return self.explain_account(account);
        }
        let id = subject.strip_prefix("job ").and_then(|id| self.by_id.get(id));
        match id.and_then(|number| self.jobs.get(number)) {
            Some(job) => job.explain(),
            None if subject.is_empty() => self.journal.all().cloned().collect(),
            None => self.journal.by_subject(subject).cloned().collect(),
        }
    }

    /// Explains an account: what the configuration declares, with digests of the keys, and its
    /// unfinished jobs. Empty if the account is not known.
    fn explain_account(&self, name: &str) -> Vec<Decision> {
        let Some(Account { weight, cap }) = self.account(name) else { return Vec::new() };
        let fact = |text| Decision { at: self.latest_at, subject: format!("account {name}"), text };
        let config = self.config.as_ref();
        let declared = config.and_then(|config| config.accounts.as_ref());
        let origin = match (config, declared.filter(|accounts| accounts.get(name).is_some())) {
            (Some(config), Some(accounts)) => {
                let keys = accounts.key_digests(name);
                format!("declared by version {}, key digests {keys:?}", config.version)
            }
            _ => "no longer declared; kept for its unfinished jobs, without keys".to_string(),
        };
        let limits = format!(
            "weight {weight}; cap: cpu_milli {}, memory_mb {}, accelerators {} (0 is no limit)",
            cap.cpu_milli, cap.memory_mb, cap.accelerators
        );
        let mut counts: BTreeMap<String, usize> = BTreeMap::new();
        for job in self.jobs.values().filter(|job| job.owner.as_deref() == Some(name)) {
            *counts.entry(format!("{:?}", job.state)).or_default() += 1;
        }
        vec![fact(origin), fact(limits), fact(format!("jobs by state: {counts:?}"))]
    }

    /// Returns all maintenance waves.
    pub fn waves(&self) -> &BTreeMap<WaveId, Wave> {
        &self.waves
    }

    /// Returns the moves whose orders may still be carried out, among them those without
    /// an answer.
    pub fn pending_moves(&self) -> &BTreeMap<InstanceId, PendingMove> {
        &self.moves
    }
}

/// Commands.
impl Ledger {
    /// Applies a committed command and returns its result and the changes.
    pub fn apply(&mut self, command: Command) -> (Outcome, Vec<Event>) {
        let mut events = Vec::new();
        let outcome = match command {
            Command::Configure(config) => self.configure(*config, &mut events),
            Command::Submit(submit) => self.submit(submit, &mut events),
            Command::Cancel(cancel) => self.cancel(cancel, &mut events),
            Command::Runs(batch) => self.apply_batch(batch, &mut events),
            Command::StartWave(wave) => self.start_wave(wave, &mut events),
            Command::Maintenance(change) => {
                self.latest_at = self.latest_at.max(change.at);
                self.change_phase(change, &mut events)
            }
            Command::Move(change) => self.move_instance(change, &mut events),
            Command::Note(decision) => {
                self.journal.add(decision);
                Outcome::Done
            }
        };
        (outcome, events)
    }

    /// Applies a configuration unless its version is not higher than the present one.
    fn configure(&mut self, config: Config, events: &mut Vec<Event>) -> Outcome {
        if self.config.as_ref().is_some_and(|current| current.version >= config.version) {
            return Outcome::Done;
        }
        self.assign_queues(&config);
        let previous = self.config.as_ref().map_or("none".to_string(), |c| c.version.to_string());
        let text = format!(
            "version {} is in force after version {previous}: {} queues, {} pools",
            config.version,
            config.queues.len(),
            config.pools.len()
        );
        let text = match &config.accounts {
            Some(accounts) => format!("{text}, {} accounts", accounts.by_name().len()),
            None => text,
        };
        self.record_decision("configuration".to_string(), text);
        self.keep_former_accounts(&config);
        self.config = Some(config);
        events.push(Event::Configured);
        Outcome::Done
    }

    /// Sends each job to the pool of its queue, and records the former names of queues. A job whose
    /// queue a configuration drops keeps its pool.
    fn assign_queues(&mut self, config: &Config) {
        let at: BTreeMap<(&str, &str), (&QueueName, &Queue)> = config
            .queues
            .iter()
            .map(|(name, queue)| ((queue.host.as_str(), queue.prefix.as_str()), (name, queue)))
            .collect();
        self.former_names.clear();
        for job in self.jobs.values_mut() {
            let place = job.place.as_ref();
            let there = place.and_then(|place| at.get(&(&*place.host, &*place.prefix)).copied());
            let queue = there.or_else(|| config.queues.get_key_value(&job.queue));
            let Some((name, queue)) = queue else { continue };
            job.pool = queue.pool.clone();
            if *name != job.queue && !job.state.is_final() {
                self.former_names.entry(name.clone()).or_default().insert(job.queue.clone());
            }
        }
    }

    /// Keeps the accounts that a configuration drops and that own unfinished jobs: without its cap
    /// an account would be unlimited.
    fn keep_former_accounts(&mut self, config: &Config) {
        let current = self.config.as_mut().and_then(|config| config.accounts.take());
        let mut former = std::mem::take(&mut self.former_accounts);
        former.extend(current.map(|accounts| accounts.by_name().clone()).unwrap_or_default());
        let unfinished = self.jobs.values().filter(|job| !job.state.is_final());
        let owners: BTreeSet<&AccountName> =
            unfinished.filter_map(|job| job.owner.as_ref()).collect();
        let is_declared = |name: &str| {
            config.accounts.as_ref().is_some_and(|accounts| accounts.get(name).is_some())
        };
        former.retain(|name, _| owners.contains(name) && !is_declared(name));
        self.former_accounts = former;
    }

    fn record_decision(&mut self, subject: String, text: String) {
        self.journal.add(Decision { at: self.latest_at, subject, text });
    }

    /// Accepts a job unless its name is already known.
    fn submit(&mut self, submit: Submit, events: &mut Vec<Event>) -> Outcome {
        self.latest_at = self.latest_at.max(submit.at);
        self.remove_expired_jobs(submit.at);
        self.tombstones.expire(submit.at, self.retention);
        let config = self.config.as_ref();
        let Some((name, queue)) = config.and_then(|config| destination(config, &submit)) else {
            return Outcome::Missing;
        };
        if let Some(number) = self.by_id.get(&submit.id) {
            let Some(job) = self.jobs.get(number) else { return Outcome::Missing };
            return match (self.is_in(job, name), job.is_open_to(submit.owner.as_ref())) {
                (false, _) => Outcome::OtherQueue,
                (true, false) => Outcome::OtherAccount,
                (true, true) => Outcome::Accepted,
            };
        }
        let is_cancelled = submit
            .place
            .as_ref()
            .is_some_and(|place| self.tombstones.covers(place, &submit.id, submit.owner.as_ref()));
        let number = self.next_job;
        self.next_job += 1;
        let mut job = Job {
            id: submit.id.clone(),
            queue: name.clone(),
            place: submit.place,
            owner: submit.owner,
            pool: queue.pool.clone(),
            priority: queue.priority,
            max_attempts: queue.max_attempts.max(1),
            critical_path_factor: queue.critical_path_factor,
            base_objective: queue.base_objective,
            definition: submit.definition,
            accepted_at: submit.at,
            state: State::Queued,
            finished_at: None,
            fatal_crashes: Vec::new(),
            occurrences: BTreeMap::new(),
            completed_occurrences: 0,
        };
        self.by_id.insert(submit.id, number);
        if is_cancelled {
            self.jobs.insert(number, job);
            self.finish(number, State::Cancelled, submit.at, events);
            return Outcome::Accepted;
        }
        if job.definition.schedule.is_none() {
            job.occurrence_mut(0);
        }
        self.jobs.insert(number, job);
        events.push(Event::Accepted(number));
        Outcome::Accepted
    }

    /// Cancels a job. For one that is not known, records that it is cancelled if it comes.
    fn cancel(&mut self, cancel: Cancel, events: &mut Vec<Event>) -> Outcome {
        let Cancel { queue, place, id, owner, at } = cancel;
        self.tombstones.expire(at, self.retention);
        let number = self.by_id.get(&id).copied();
        let job = number.and_then(|number| self.jobs.get(&number));
        let is_there = |job: &Job| {
            let Some(place) = &place else { return job.queue == queue };
            let present = self.config.as_ref().and_then(|config| config.queue_at(place));
            job.place.as_ref() == Some(place) || present.is_some_and(|name| self.is_in(job, name))
        };
        let is_meant = |job: &&Job| is_there(job) && job.is_open_to(owner.as_ref());
        if let (Some(number), Some(_)) = (number, job.filter(is_meant)) {
            self.finish(number, State::Cancelled, at, events);
            return Outcome::Done;
        }
        let Some(place) = place else { return Outcome::Missing };
        if self.tombstones.add(&place, &id, owner.as_ref(), at) {
            return Outcome::CancelledAhead;
        }
        Outcome::NoRoom(self.tombstones.full_until(at, self.retention).unwrap_or(at))
    }

    fn apply_batch(&mut self, batch: Batch, events: &mut Vec<Event>) -> Outcome {
        self.latest_at = self.latest_at.max(batch.at);
        for EndList { incarnation, ends } in batch.ended {
            for end in ends {
                self.apply_end(&incarnation, end, batch.at, events);
            }
        }
        for CrashList { incarnation, instance, runs } in batch.crashed {
            let mut steps = BTreeSet::new();
            for run in runs {
                let crash = Crash {
                    incarnation: incarnation.clone(),
                    instance: instance.clone(),
                    run: run.run,
                    at: batch.at,
                    survived: run.survived,
                    is_alone: run.is_alone,
                };
                if self.apply_crash(run.unit, crash, events) {
                    steps.insert(run.unit.step_key());
                }
            }
            for step in steps {
                self.fail_if_deadly(step, batch.at, events);
            }
        }
        for Discarded { unit, run } in batch.discarded {
            self.discard(unit, run, events);
        }
        for late in batch.late {
            self.late_runs.insert((late.unit, late.run), late);
        }
        for key in batch.settled {
            self.settle(key);
        }
        for Placed { incarnation, instance, runs } in batch.placed {
            for (unit, run) in runs {
                self.place(&incarnation, &instance, unit, run, events);
            }
        }
        for restart in batch.restarted {
            self.record_restart(restart);
        }
        Outcome::Done
    }

    /// Records a restart of a worker unless a later one is on record.
    fn record_restart(&mut self, restart: Restart) {
        let Restart { incarnation: Incarnation { worker, started_at }, stated_start } = restart;
        if self.restarts.get(&worker).is_none_or(|last| last.started_at < started_at) {
            let at = self.latest_at;
            self.restarts.insert(worker, Restarted { started_at, stated_start, at });
        }
    }

    /// Applies the end of a run once; a repeated end, or one of an earlier incarnation, is
    /// ignored.
    fn apply_end(
        &mut self,
        incarnation: &Incarnation,
        end: End,
        at: UnixMs,
        events: &mut Vec<Event>,
    ) {
        let acknowledged = self
            .acknowledged_ends
            .entry(incarnation.worker.clone())
            .or_insert(AcknowledgedEnds { started_at: incarnation.started_at, through: 0 });
        if acknowledged.started_at > incarnation.started_at
            || (acknowledged.started_at == incarnation.started_at
                && acknowledged.through >= end.number)
        {
            return;
        }
        *acknowledged =
            AcknowledgedEnds { started_at: incarnation.started_at, through: end.number };
        events.push(Event::EndsAcknowledged(incarnation.clone(), end.number));
        let Some(key) = end.unit else { return };
        let Some(occurrence) = occurrence_mut(&mut self.jobs, &key) else { return };
        let placed = |p: &Placement| p.run == end.run && p.incarnation == *incarnation;
        if occurrence.release(key.step, key.index, placed).is_none() {
            return;
        }
        if let Some(unit) = occurrence.unit_mut(key.step, key.index) {
            if !end.checkpoint.is_empty() {
                unit.checkpoint = end.checkpoint.clone();
            }
            unit.failures += u32::from(end.reason == EndReason::Failed);
        }
        let release = Release {
            unit: key,
            run: end.run,
            incarnation: incarnation.clone(),
            reason: Some(end.reason),
        };
        events.push(Event::Released(release));
        self.share_checkpoint(&key, &end.checkpoint);
        match end.reason {
            EndReason::Done => self.unit_done(key, at, events),
            EndReason::Failed => self.unit_failed(key, at, events),
            EndReason::Stopped | EndReason::Lapsed | EndReason::Broken | EndReason::Alone => {}
        }
        self.clear_finished_job(key.job);
    }

    /// Copies a gang member's checkpoint to all members: a checkpoint covers the whole
    /// gang, and all members have to start from the same one.
    fn share_checkpoint(&mut self, key: &UnitKey, checkpoint: &str) {
        let Some(job) = self.jobs.get_mut(&key.job) else { return };
        if checkpoint.is_empty() || !job.definition.steps[usize::from(key.step)].gang {
            return;
        }
        job.occurrence_mut(key.occurrence).share_checkpoint(key.step, checkpoint);
    }

    /// Marks a unit as done, and what it completes: its whole gang, then its step, occurrence and
    /// job. Another run of the unit, or another member of its gang, may have done so before.
    fn unit_done(&mut self, key: UnitKey, at: UnixMs, events: &mut Vec<Event>) {
        let Some(job) = self.jobs.get_mut(&key.job) else { return };
        let step = &job.definition.steps[usize::from(key.step)];
        let indices = if step.gang { 0..step.count } else { key.index..key.index + 1 };
        let occurrence = job.occurrence_mut(key.occurrence);
        let mut is_step_done = false;
        for index in indices {
            is_step_done |= occurrence.complete(key.step, index);
        }
        let is_occurrence_done = occurrence.is_done();
        if !is_step_done || job.state.is_final() {
            return;
        }
        events.push(Event::StepDone(key.step_key()));
        if !is_occurrence_done {
            return;
        }
        job.completed_occurrences += 1;
        if job.completed_occurrences >= job.definition.occurrences() {
            self.finish(key.job, State::Completed, at, events);
        }
    }

    /// Fails the job once the failed runs of a unit, or of its whole gang together, reach
    /// `max_attempts`. Long-running steps have no limit.
    fn unit_failed(&mut self, key: UnitKey, at: UnixMs, events: &mut Vec<Event>) {
        let Some(job) = self.jobs.get(&key.job) else { return };
        let Some(step) = job.definition.steps.get(usize::from(key.step)) else { return };
        if step.long_running {
            return;
        }
        let units = &job.occurrences[&key.occurrence].steps()[usize::from(key.step)];
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

    /// Records a crash under a unit, and returns whether it was new.
    fn apply_crash(&mut self, key: UnitKey, crash: Crash, events: &mut Vec<Event>) -> bool {
        let Some(job) = self.jobs.get_mut(&key.job) else { return false };
        if job.state.is_final() {
            return false;
        }
        let Some(step) = job.definition.steps.get(usize::from(key.step)) else { return false };
        let is_long_running = step.long_running;
        let occurrence = job.occurrences.get_mut(&key.occurrence);
        let unit = occurrence.and_then(|state| state.unit_mut(key.step, key.index));
        let Some(unit) = unit.filter(|unit| !unit.done) else { return false };
        let is_new = crash::record(&mut unit.crashes, crash, is_long_running);
        if is_new {
            events.push(Event::Crashed(key));
        }
        is_new
    }

    /// Fails a job if the crashes so far show that a unit of the step brings its workers down.
    /// Long-running work is restarted however it ends.
    fn fail_if_deadly(&mut self, key: StepKey, at: UnixMs, events: &mut Vec<Event>) {
        let Some(job) = self.jobs.get_mut(&key.job) else { return };
        let step = job.definition.steps.get(usize::from(key.step));
        if step.is_none_or(|step| step.long_running) {
            return;
        }
        let units = job.occurrences.get(&key.occurrence).map(Occurrence::steps);
        let Some(units) = units.and_then(|steps| steps.get(usize::from(key.step))) else { return };
        if crash::is_deadly(units) {
            job.fatal_crashes = job.crash_facts();
            job.fatal_crashes.truncate(MAX_FATAL_CRASHES);
            self.finish(key.job, State::Failed, at, events);
        }
    }

    /// Records that no start of a run can be carried out any more.
    fn settle(&mut self, key: RunKey) {
        let (unit, run) = key;
        if self.late_runs.remove(&key).is_some() {
            return;
        }
        let Some(occurrence) = occurrence_mut(&mut self.jobs, &unit) else { return };
        let state = occurrence.unit_mut(unit.step, unit.index);
        let placements = state.into_iter().flat_map(|state| &mut state.placements);
        placements.filter(|p| p.run == run).for_each(|placement| placement.is_settled = true);
    }

    /// Releases a run that has no listed end.
    fn discard(&mut self, key: UnitKey, run: RunNumber, events: &mut Vec<Event>) {
        let Some(occurrence) = occurrence_mut(&mut self.jobs, &key) else { return };
        let released = occurrence.release(key.step, key.index, |placement| placement.run == run);
        let Some(Placement { incarnation, .. }) = released else { return };
        events.push(Event::Released(Release { unit: key, run, incarnation, reason: None }));
        self.clear_finished_job(key.job);
    }

    /// Places a run unless its job or unit is done or its number is not new.
    fn place(
        &mut self,
        incarnation: &Incarnation,
        instance: &Option<InstanceId>,
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
        let unit = occurrence.unit_mut(key.step, key.index);
        let Some(unit) = unit.filter(|unit| !unit.done && run > unit.last_run) else { return };
        unit.last_run = run;
        let checkpoint = unit.checkpoint.clone();
        let placed_on = incarnation.clone();
        let placement = Placement {
            incarnation: placed_on,
            instance: instance.clone(),
            run,
            checkpoint,
            is_settled: false,
            at: self.latest_at,
        };
        occurrence.place(key.step, key.index, placement);
        events.push(Event::Placed(key, run, incarnation.clone()));
    }

    fn finish(&mut self, number: JobNumber, state: State, at: UnixMs, events: &mut Vec<Event>) {
        let Some(job) = self.jobs.get_mut(&number) else { return };
        if job.state.is_final() {
            return;
        }
        job.state = state;
        job.finished_at = Some(at);
        self.finished_jobs.insert((at, number), ());
        events.push(Event::Finished(number, state));
        self.clear_finished_job(number);
    }

    /// Clears the units and the opaque text of a finished job once no run may be on a
    /// worker.
    fn clear_finished_job(&mut self, number: JobNumber) {
        let Some(job) = self.jobs.get_mut(&number) else { return };
        if job.state.is_final() && !job.has_placements() {
            job.occurrences.clear();
            job.definition.spec.clear();
        }
    }

    /// Removes jobs that finished longer ago than the retention.
    fn remove_expired_jobs(&mut self, now: UnixMs) {
        let expired_before = now.saturating_sub(self.retention.as_millis() as u64);
        while let Some(((at, number), ())) = self.finished_jobs.first_key_value() {
            let (at, number) = (*at, *number);
            if at >= expired_before {
                return;
            }
            self.finished_jobs.remove(&(at, number));
            if let Some(job) = self.jobs.remove(&number) {
                self.by_id.remove(&job.id);
            }
            let first = UnitKey { job: number, occurrence: 0, step: 0, index: 0 };
            let next = UnitKey { job: number + 1, ..first };
            self.late_runs.extract_if((first, 0)..(next, 0), |_, _| true).for_each(drop);
        }
    }

    fn start_wave(&mut self, wave: Wave, events: &mut Vec<Event>) -> Outcome {
        let id = wave.id;
        self.latest_at = self.latest_at.max(wave.accepted_at);
        if !self.waves.contains_key(&id) {
            let (instances, max_unavailable) = (wave.instances.len(), wave.max_unavailable);
            let text =
                format!("an operator asks for {instances} machines, {max_unavailable} at one time");
            self.record_decision(format!("wave {id}"), text);
        }
        if let std::collections::btree_map::Entry::Vacant(slot) = self.waves.entry(id) {
            slot.insert(wave);
            events.push(Event::Wave(id));
        }
        Outcome::Done
    }

    fn move_instance(&mut self, change: MoveChange, events: &mut Vec<Event>) -> Outcome {
        let MoveChange { instance, pool, reason, at } = change;
        self.latest_at = self.latest_at.max(at);
        let subject = format!("machine {instance}");
        match pool {
            Some(pool) => {
                self.record_decision(subject, format!("moves to pool {pool}: {reason}"));
                self.moves.insert(instance.clone(), PendingMove { pool: pool.clone(), at });
                events.push(Event::Move(instance, pool));
            }
            None => {
                self.record_decision(subject, reason);
                self.moves.remove(&instance);
            }
        }
        Outcome::Done
    }

    fn change_phase(&mut self, change: MaintenanceChange, events: &mut Vec<Event>) -> Outcome {
        let MaintenanceChange { wave: id, instance, phase, worker_started_at, worker, .. } = change;
        let Some(wave) = self.waves.get_mut(&id) else { return Outcome::Missing };
        let Some(current) = wave.instances.get_mut(&instance) else { return Outcome::Missing };
        if !matches!(current, Phase::Done | Phase::Gone) {
            *current = phase;
            if let Some(worker_started_at) = worker_started_at {
                wave.worker_started_at.insert(instance.clone(), worker_started_at);
            }
            if phase == Phase::Ordered {
                wave.ends.remove(&instance);
                if let (Some(worker), Some(started_at)) = (worker, worker_started_at) {
                    wave.ends.insert(instance.clone(), Incarnation { worker, started_at });
                }
            }
            self.record_decision(format!("machine {instance}"), format!("wave {id}: {phase:?}"));
            events.push(Event::Maintenance(id, instance, phase));
        }
        Outcome::Done
    }
}

/// Returns the queue that a job goes to.
fn destination<'a>(config: &'a Config, submit: &Submit) -> Option<(&'a QueueName, &'a Queue)> {
    let name = match &submit.place {
        Some(place) => config.queue_at(place)?,
        None => &submit.queue,
    };
    config.queues.get_key_value(name)
}

fn occurrence_mut<'a>(
    jobs: &'a mut BTreeMap<JobNumber, Job>,
    key: &UnitKey,
) -> Option<&'a mut Occurrence> {
    jobs.get_mut(&key.job)?.occurrences.get_mut(&key.occurrence)
}
