//! The scheduler of one leadership: decides which worker runs which unit.
//!
//! Its inputs are committed log events, worker reports and replies to orders. From
//! these, [`Scheduler::decide`] derives commands to propose to the log and orders to
//! send. The state is rebuilt from the ledger whenever a leader takes over.

mod accounts;
mod admit;
mod advice;
mod balance;
mod claims;
mod copies;
mod crashes;
mod explain;
mod fetch;
mod listing;
mod locality;
mod maintenance;
mod pacing;
mod placing;
mod plan;
mod poll;
mod runs;
mod shortage;
mod stall;
mod starts;
mod trials;
mod unplaced;
mod waiting;

use self::starts::START_WINDOW;
use self::unplaced::late_until;
use crate::Fence;
use crate::Settings;
use crate::crash::Loss;
use crate::estimate::Estimator;
use crate::fence::Fences;
use crate::inventory::Inventory;
use crate::late::LATE_ORDER_WINDOW;
use crate::lease::Lease;
use crate::order::{Order, Reply};
use crate::outstanding;
use crate::rank::{Criteria, Profile};
use crate::rate::Rates;
use crate::roster::{Report, Roster};
use crate::usage::Usage;
use crate::worker::{Absence, Polling, Run, RunState, StopReason, Worker};
use jobs::command::{Batch, Command, Restart, RunKey};
use jobs::definition::Resources;
use jobs::ledger::{Event, Release};
use jobs::{
    AccountName, Incarnation, InstanceId, JobNumber, Ledger, Placement, PoolName, QueueName,
    RunNumber, StepKey, UnitKey, UnixMs, WorkerId,
};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

pub use accounts::Summary;
pub use advice::AdviseReply;
pub use explain::{Placing, StepPlacing};
pub use maintenance::{MaintenanceReply, MoveReply};
pub use pacing::PaceReply;
pub use poll::PollReply;
pub use shortage::LongestWaits;
pub use stall::{LongestStalls, Wait};
pub use starts::{StartReply, StopReply};

/// Lease that a worker gets for its runs. It outlasts a change of leader, which takes
/// about 3 s, so that the runs survive it. The units of a lost worker are not placed
/// elsewhere until its lease has expired.
const LEASE_DURATION: Duration = Duration::from_secs(5);
/// Interval between two runs of the periodic tasks: retries, maintenance, balancing
/// of pools and adjustment of processor shares.
const PERIODIC_TASKS_INTERVAL: Duration = Duration::from_millis(50);
/// Shortest time between two decisions on polls and placements, so that the cost of looking
/// at all workers is not paid for each event. It is short beside the time that a unit takes
/// to start: two syncs of the log and two calls.
const DECISION_INTERVAL: Duration = Duration::from_millis(10);
/// Largest step of a leader's wall clock for which ages in the log allow.
const MAX_CLOCK_STEP: Duration = Duration::from_secs(5);
/// Weight of one job in the moving average of the declared work of a queue's jobs.
const JOB_WORK_WEIGHT: f64 = 0.05;

/// Current time on the leader's two clocks.
#[derive(Clone, Copy, Debug, Default)]
pub struct Time {
    /// Monotonic time, which also advances while the instance is suspended.
    pub monotonic: Duration,
    /// Wall-clock time.
    pub wall: UnixMs,
}

/// Result of [`Scheduler::decide`]: what the caller has to propose, send and log.
#[derive(Debug, Default)]
pub struct Output {
    /// Commands to propose to the log, in this order.
    pub proposals: Vec<Command>,
    /// Orders to send to workers, the cloud and the policy service.
    pub orders: Vec<Order>,
    /// Incarnations that polls have shown to be the present ones of their workers, with the start
    /// times that they state; for the roster.
    pub answered: Vec<Incarnation>,
    /// Decisions and their reasons, for the process log.
    pub explanations: Vec<Explanation>,
}

/// A decision and its reason, written only to the leader's process log. Decisions for the
/// replicated journal are [`jobs::Decision`]s.
#[derive(Clone, Debug, PartialEq)]
pub struct Explanation {
    /// Id of the unit, job, worker or instance that the decision concerns.
    pub subject: String,
    /// The decision and its reason.
    pub text: String,
}

/// Units of a step that wait for free resources.
#[derive(Clone, Debug)]
struct Waiting {
    /// Earliest time at which each unit may be placed, by index of the unit; `Duration::MAX` while
    /// a start of an earlier run may still be carried out.
    units: BTreeMap<u32, Duration>,
    /// Resources that one unit reserves.
    resources: Resources,
    /// Account of the job; `None` for none.
    owner: Option<AccountName>,
    /// Criteria by which the step is ranked against other waiting steps.
    criteria: Criteria,
    /// When a unit first passed over a place away from its data or group; `None` if none has.
    near_wait_since: Option<Duration>,
}

/// How much the decisions so far have looked at and met. Their cost grows with it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Effort {
    /// Workers that were looked at to poll them or to place units.
    pub workers_examined: u64,
    /// Runs that were looked at to find those of a unit, step or job.
    pub runs_examined: u64,
    /// Runs that workers listed without a placement, once for each list.
    pub unplaced_runs: u64,
    /// Workers that crashed with runs.
    pub worker_crashes: u64,
    /// Steps that waited for a place near their data or group.
    pub near_waits: u64,
    /// Copies of units that were placed.
    pub copies: u64,
    /// Units that were placed while another worker might carry out an earlier start of them.
    pub placed_beside_late_starts: u64,
}

/// Orders to workers that have no reply yet, by kind.
#[derive(Clone, Debug, Default)]
pub struct Outstanding {
    /// Orders to start runs.
    pub starts: outstanding::Orders,
    /// Orders to stop runs.
    pub stops: outstanding::Orders,
    /// Orders to set the share of runs.
    pub paces: outstanding::Orders,
}

/// Scheduler state of one leadership.
pub struct Scheduler {
    settings: Settings,
    /// Tokens of this leadership in its orders. A receiver that has seen a higher one refuses
    /// them.
    fences: Fences,
    /// A higher fence has been seen, so this leader no longer sends orders.
    superseded: bool,
    workers: BTreeMap<WorkerId, Worker>,
    /// Restarts that a worker which becomes known counts as having had: more than any forgotten
    /// worker, which may come back, and whose fence must not fall.
    least_restarts: u64,
    /// Steps with units that wait for free resources.
    waiting: BTreeMap<PoolName, BTreeMap<StepKey, Waiting>>,
    /// Units that wait for the end of a late start, and since when they are held.
    held_since: BTreeMap<UnitKey, Duration>,
    /// Steps that wait for others, with the number of those that are not done.
    blocked_steps: BTreeMap<StepKey, u32>,
    /// Profiles of unfinished jobs.
    profiles: BTreeMap<JobNumber, Arc<Profile>>,
    /// Occurrences of scheduled jobs that wait for their due time, earliest first.
    due_occurrences: BTreeSet<(UnixMs, JobNumber, u32)>,
    /// When each job was accepted, on this leader's monotonic clock.
    accepted_at: BTreeMap<JobNumber, Duration>,
    /// Workers on which each unit of an unfinished job was placed. Runs there may have ended.
    placed_on: BTreeMap<UnitKey, BTreeSet<WorkerId>>,
    /// Unfinished jobs that no worker is known to have begun, by queue. A placed run may still
    /// be on its way to its worker.
    pending_jobs: BTreeMap<QueueName, BTreeSet<JobNumber>>,
    /// Unfinished jobs that have a long-running step.
    long_running_jobs: BTreeSet<JobNumber>,
    /// Workers on which a run of the unit failed, got stuck or had an unanswered
    /// start. They are chosen only if no other worker fits.
    avoided_workers: BTreeMap<UnitKey, BTreeSet<WorkerId>>,
    /// Failures in a row of work that lasts and did not get to work.
    failed_starts: BTreeMap<UnitKey, u32>,
    /// Highest run number used for each unit, including runs that are not committed.
    last_run_numbers: BTreeMap<UnitKey, RunNumber>,
    estimator: Estimator,
    /// Moving average of the declared work of a queue's jobs, in core-seconds.
    mean_job_work: BTreeMap<QueueName, f64>,
    /// Instances by the cloud's lists and answers and by the reports of workers.
    inventory: Inventory,
    /// Most recently started worker that has reported from each instance.
    worker_by_instance: BTreeMap<InstanceId, WorkerId>,
    /// What client accounts may have running.
    usage: Usage,
    rates: Rates,
    /// Unfinished jobs beyond what their accounts are owed.
    excess_jobs: BTreeSet<JobNumber>,
    outlook: admit::Outlook,
    /// When the last configuration came into force under this leader.
    configured_at: Option<Duration>,
    advice: advice::AdviceState,
    maintenance: maintenance::MaintenanceState,
    balance: balance::BalanceState,
    /// Runs of workers that were lost without a sign of a crash so far.
    unexplained_losses: BTreeMap<WorkerId, Loss>,
    /// Units of unfinished steps that may have crashed their workers.
    suspicions: BTreeMap<StepKey, trials::Suspicion>,
    /// Crashes since the last decision.
    crashes: Vec<Loss>,
    /// Room that is kept for units which fit on no worker.
    claims: BTreeMap<UnitKey, claims::Claim>,
    /// Runs that were stopped for units with claims, with their worker and the time of the stop.
    displaced: BTreeMap<(UnitKey, RunNumber), (WorkerId, Duration)>,
    /// Instances that have to be fetched for work that lasts, by pool.
    fetches: BTreeMap<PoolName, Vec<fetch::Fetch>>,
    /// Instances that are drained for it.
    drains: BTreeMap<InstanceId, fetch::Drain>,
    /// When an instance to drain was last sought.
    donors_sought_at: Duration,
    /// Gangs of which a member ended since the last decision.
    broken_gangs: BTreeSet<StepKey>,
    effort: Effort,
    /// Time of the latest call of `decide`.
    time: Time,
    /// When this leadership began.
    began_at: Duration,
    /// Earliest time of the next polls and placements.
    next_decision: Duration,
    /// Whether `decide` was called before that time.
    is_decision_deferred: bool,
    /// When the periodic tasks last ran.
    last_periodic_tasks: Duration,
    /// When units that wait were last explained.
    shortages_explained_at: Duration,
    /// When units that are held, or placed and not begun, were last explained.
    stalls_explained_at: Duration,
    /// Run changes for the next proposal; they go before `commands`.
    batch: Batch,
    /// Runs to place anew before the ends in `batch` are applied.
    adoptions: Batch,
    /// Runs of which the log has yet to be told that no start of them can be carried out any more.
    settled: Vec<RunKey>,
    /// Time from which on they are worth a proposal of their own.
    settled_due_at: Duration,
    /// Other commands for the next proposals.
    commands: Vec<Command>,
    orders: Vec<Order>,
    /// Orders to workers that have no reply yet.
    outstanding: Outstanding,
    /// Whether an order to a worker that answers was due that the limits of outstanding orders did not
    /// admit.
    has_withheld_orders: bool,
    /// Incarnations that polls have shown to be present since the last decision.
    answered: Vec<Incarnation>,
    explanations: Vec<Explanation>,
}

/// Construction and queries.
impl Scheduler {
    /// Builds the state of a new leader from the ledger and the known worker reports.
    ///
    /// ```
    /// use sched::scheduler::Time;
    /// let ledger = jobs::Ledger::new(std::time::Duration::from_secs(120));
    /// let settings = sched::Settings::default();
    /// let roster = sched::Roster::default();
    /// let fences = sched::fence::Fences::between(0, 1);
    /// let mut scheduler =
    ///     sched::Scheduler::new(settings, fences, Time::default(), &ledger, &roster);
    /// assert!(scheduler.decide(Time::default(), &ledger).orders.is_empty());
    /// ```
    pub fn new(
        settings: Settings,
        fences: Fences,
        time: Time,
        ledger: &Ledger,
        roster: &Roster,
    ) -> Scheduler {
        let rates = Rates::new(settings.rate_window);
        let mut scheduler = Scheduler {
            settings,
            fences,
            superseded: false,
            workers: BTreeMap::new(),
            least_restarts: 0,
            waiting: BTreeMap::new(),
            held_since: BTreeMap::new(),
            blocked_steps: BTreeMap::new(),
            profiles: BTreeMap::new(),
            due_occurrences: BTreeSet::new(),
            accepted_at: BTreeMap::new(),
            placed_on: BTreeMap::new(),
            pending_jobs: BTreeMap::new(),
            long_running_jobs: BTreeSet::new(),
            avoided_workers: BTreeMap::new(),
            failed_starts: BTreeMap::new(),
            last_run_numbers: BTreeMap::new(),
            estimator: Estimator::default(),
            mean_job_work: BTreeMap::new(),
            inventory: Inventory::default(),
            worker_by_instance: BTreeMap::new(),
            usage: Usage::default(),
            rates,
            excess_jobs: BTreeSet::new(),
            outlook: admit::Outlook::default(),
            configured_at: None,
            advice: advice::AdviceState::default(),
            maintenance: maintenance::MaintenanceState::default(),
            balance: balance::BalanceState::default(),
            unexplained_losses: BTreeMap::new(),
            suspicions: BTreeMap::new(),
            crashes: Vec::new(),
            claims: BTreeMap::new(),
            displaced: BTreeMap::new(),
            fetches: BTreeMap::new(),
            drains: BTreeMap::new(),
            donors_sought_at: Duration::ZERO,
            broken_gangs: BTreeSet::new(),
            effort: Effort::default(),
            time,
            began_at: time.monotonic,
            next_decision: Duration::ZERO,
            is_decision_deferred: false,
            last_periodic_tasks: Duration::ZERO,
            shortages_explained_at: Duration::ZERO,
            stalls_explained_at: Duration::ZERO,
            batch: Batch::default(),
            adoptions: Batch::default(),
            settled: Vec::new(),
            settled_due_at: Duration::ZERO,
            commands: Vec::new(),
            orders: Vec::new(),
            outstanding: Outstanding::default(),
            has_withheld_orders: false,
            answered: Vec::new(),
            explanations: Vec::new(),
        };
        scheduler.inherit(time, ledger);
        for report in roster.replaced() {
            let worker = scheduler.workers.get(&report.incarnation.worker);
            let stated_start = report.incarnation.started_at;
            if worker.is_some_and(|worker| worker.stated_start == stated_start) {
                scheduler.on_report(time, ledger, report);
            }
        }
        for received in roster.workers() {
            scheduler.on_report(time, ledger, &received.report);
        }
        scheduler
    }

    /// Whether a worker or the cloud has reported a higher fence. This leader then
    /// sends no more orders.
    pub fn is_superseded(&self) -> bool {
        self.superseded
    }

    /// Returns how much the decisions so far have looked at.
    pub fn effort(&self) -> Effort {
        self.effort
    }

    /// Returns the orders to workers that have no reply yet.
    pub fn outstanding(&self) -> &Outstanding {
        &self.outstanding
    }

    /// Returns the time of the next decision if one was due too early; `None` if all that
    /// happened was decided on.
    pub fn deferred_decision(&self) -> Option<Duration> {
        self.is_decision_deferred.then_some(self.next_decision)
    }

    /// Returns the known workers, including those known only through their runs.
    pub fn workers(&self) -> &BTreeMap<WorkerId, Worker> {
        &self.workers
    }

    /// Returns the fence of this leader's orders to a worker; `None` if the worker is not known.
    pub fn fence(&self, worker: &WorkerId) -> Option<Fence> {
        Some(self.fences.after(self.workers.get(worker)?.restarts))
    }

    /// Returns why a run that is about to be released counts as over without a listed end, and the
    /// age of its last start that may still be carried out.
    pub fn grounds(&self, time: Time, release: &Release) -> (Option<Absence>, Option<Duration>) {
        let worker = self.workers.get(&release.incarnation.worker);
        let run = worker.and_then(|worker| worker.runs.get(&(release.unit, release.run)));
        let Some(run) = run else { return (None, None) };
        let sent_at = run.unconfirmed_since.filter(|_| run.may_start_late(time.monotonic));
        (run.absence, sent_at.map(|at| time.monotonic.saturating_sub(at)))
    }

    /// Returns the number of units that wait for free resources in each pool.
    pub fn backlog(&self) -> BTreeMap<PoolName, usize> {
        let count = |steps: &BTreeMap<StepKey, Waiting>| {
            steps.values().map(|waiting| waiting.units.len()).sum()
        };
        self.waiting.iter().map(|(pool, steps)| (pool.clone(), count(steps))).collect()
    }

    /// Returns the number of jobs of a queue that no worker is known to have begun.
    pub fn pending_count(&self, queue: &QueueName) -> usize {
        self.pending_jobs.get(queue).map_or(0, BTreeSet::len)
    }

    /// Takes over the jobs, runs, waves and moves that the ledger holds.
    fn inherit(&mut self, time: Time, ledger: &Ledger) {
        for (number, job) in ledger.jobs() {
            self.record_rate(ledger, *number);
            let age = Duration::from_millis(time.wall.saturating_sub(job.accepted_at));
            self.accepted_at.insert(*number, time.monotonic.saturating_sub(age));
            for (occurrence, state) in &job.occurrences {
                for (step, units) in state.steps().iter().enumerate() {
                    let key = StepKey { job: *number, occurrence: *occurrence, step: step as u16 };
                    for (index, unit) in units.iter().enumerate() {
                        for placement in &unit.placements {
                            let key = key.unit(index as u32);
                            self.inherit_run(time, ledger, key, placement);
                        }
                        self.review_unit(time, ledger, key.unit(index as u32));
                    }
                }
            }
        }
        self.inherit_late_runs(time, ledger);
        for (number, job) in ledger.jobs() {
            if !job.state.is_final() {
                if !job.has_ended_run() {
                    self.pending_jobs.entry(job.queue.clone()).or_default().insert(*number);
                }
                self.enqueue_job(time, ledger, *number);
            }
        }
        self.inherit_waves(time, ledger);
        self.inherit_moves(time, ledger);
    }

    /// Adds a run that an earlier leader placed. Whether it is on its worker shows only in the
    /// first poll.
    fn inherit_run(&mut self, time: Time, ledger: &Ledger, unit: UnitKey, placement: &Placement) {
        let Some(job) = ledger.job(unit.job) else { return };
        let step = &job.definition.steps[usize::from(unit.step)];
        let Placement { incarnation, instance, run: number, is_settled, at, .. } = placement;
        let (number, placed_on) = (*number, incarnation.started_at);
        let mut run = Run::new(RunState::Inherited, step, placed_on, time.monotonic);
        run.is_settled = *is_settled;
        let until = late_until(time, ledger, *at, START_WINDOW);
        let since = until.saturating_sub(LATE_ORDER_WINDOW);
        run.unconfirmed_since = (!is_settled && until > time.monotonic).then_some(since);
        run.share_percent = None; // the previous leader may have changed it
        if job.state.is_final() || ledger.unit(&unit).is_some_and(|unit| unit.done) {
            run.stop_reason = Some(StopReason::Unneeded);
            run.state = RunState::Stopping { sent: None, acknowledged: None };
        }
        self.inherit_worker(time, ledger, incarnation).add(unit, number, run);
        self.inherit_instance(incarnation, instance);
        self.placed_on.entry(unit).or_default().insert(incarnation.worker.clone());
        let highest = self.last_run_numbers.entry(unit).or_default();
        *highest = (*highest).max(number);
    }

    /// Returns the state of a worker that the ledger names, with the last incarnation that it knows of.
    fn inherit_worker(
        &mut self,
        time: Time,
        ledger: &Ledger,
        incarnation: &Incarnation,
    ) -> &mut Worker {
        let max_lease = self.settings.max_lease;
        let worker = self.worker_or_inherited(time, incarnation);
        let present = worker.incarnation.started_at.max(incarnation.started_at);
        let last = ledger.last_start(&incarnation.worker).filter(|last| *last > present);
        worker.incarnation.started_at = last.unwrap_or(present);
        worker.stated_start = ledger.stated_start(&worker.incarnation);
        let age = ledger.restart_age(&incarnation.worker);
        if age.is_some_and(|age| age < LATE_ORDER_WINDOW + max_lease + MAX_CLOCK_STEP) {
            // An order to its predecessor may still extend its lease by the longest time.
            worker.lease = Lease::inherited(time.monotonic + LATE_ORDER_WINDOW, max_lease);
        } else if last.is_some() {
            worker.lease = Lease::inherited(time.monotonic, max_lease);
        }
        worker
    }

    /// Records the instance that the ledger names for an incarnation. Of two workers on an instance the
    /// one that started later has replaced the other.
    fn inherit_instance(&mut self, incarnation: &Incarnation, instance: &Option<InstanceId>) {
        let Some(instance) = instance else { return };
        let id = &incarnation.worker;
        let Some(worker) = self.workers.get_mut(id) else { return };
        worker.instance.get_or_insert_with(|| instance.clone());
        let latest = self.worker_by_instance.get(instance).filter(|latest| *latest != id).cloned();
        let is_later = |other: &Worker| other.incarnation.started_at >= incarnation.started_at;
        let former = match latest {
            Some(latest) if self.workers.get(&latest).is_some_and(is_later) => Some(id.clone()),
            latest => {
                self.worker_by_instance.insert(instance.clone(), id.clone());
                latest
            }
        };
        if let Some(former) = former {
            self.on_replaced(&former);
            if let Some(former) = self.workers.get_mut(&former) {
                former.is_succeeded_elsewhere = true; // no address is known
            }
        }
    }

    /// Returns a worker's state, adding one with a full inherited lease if it is unknown.
    fn worker_or_inherited(&mut self, time: Time, incarnation: &Incarnation) -> &mut Worker {
        let lease = Lease::inherited(time.monotonic, LEASE_DURATION.min(self.settings.max_lease));
        let restarts = self.least_restarts;
        // An earlier leader's order may extend the lease of a successor that has not reported yet.
        let unanswered_grant_at = Some(self.began_at);
        let polling = Polling { unanswered_grant_at, ..Polling::default() };
        let worker = || Worker { restarts, polling, ..Worker::new(incarnation.clone(), lease) };
        self.workers.entry(incarnation.worker.clone()).or_insert_with(worker)
    }

    /// Adds a decision to those for the process log.
    fn explain(&mut self, subject: impl Into<String>, text: String) {
        self.explanations.push(Explanation { subject: subject.into(), text });
    }
}

/// Inputs.
impl Scheduler {
    /// Handles a worker's report. One of another incarnation than the known one is a reason to poll:
    /// stated start times don't order incarnations, since wall clocks are set back, and reports are
    /// delayed. The incarnation that answers is the present one.
    pub fn on_report(&mut self, time: Time, ledger: &Ledger, report: &Report) {
        let id = &report.incarnation.worker;
        let stated_start = report.incarnation.started_at;
        let known = self.workers.get(id).filter(|worker| worker.stated_start != stated_start);
        if let Some(worker) = known {
            if !worker.is_left_behind_by(report) {
                self.question(time, ledger, report);
                return;
            }
            self.on_new_incarnation(time, ledger, id, stated_start);
        }
        let incarnation = match self.workers.get(id) {
            Some(worker) => worker.incarnation.clone(),
            None => {
                let incarnation = successor_in_ledger(ledger, &report.incarnation);
                if ledger.stated_start(&incarnation) != stated_start {
                    self.batch
                        .restarted
                        .push(Restart { incarnation: incarnation.clone(), stated_start });
                }
                incarnation
            }
        };
        let report = &Report { incarnation, ..report.clone() };
        if self.workers.get(&report.incarnation.worker).is_some_and(|worker| worker.ended) {
            return; // the report was sent before the incarnation ended
        }
        if self.workers.get(&report.incarnation.worker).is_none_or(|worker| worker.report.is_none())
        {
            self.end_arrived_move(time, report);
            self.explain_losses(report);
        }
        // The move or maintenance may still be carried out.
        let is_wanted =
            self.is_moving(&report.instance) || self.awaits_maintenance(&report.instance);
        let worker = match self.workers.contains_key(&report.incarnation.worker) {
            true => self.worker_or_inherited(time, &report.incarnation),
            false => self.inherit_worker(time, ledger, &report.incarnation),
        };
        worker.stated_start = stated_start;
        worker.has_left = false;
        worker.cordoned |= worker.report.is_none() && is_wanted;
        if worker.report.as_ref().is_some_and(|last| last.describes_same_worker(report)) {
            // The instance's former worker may be known to have ended only since the first report.
            self.record_instance_worker(report);
            return;
        }
        let capacity = worker.report.as_ref().map(|last| last.capacity);
        let starts_draining =
            report.draining && !worker.report.as_ref().is_some_and(|r| r.draining);
        let is_first = worker.report.is_none();
        worker.report = Some(report.clone());
        worker.reported_at.get_or_insert(time.monotonic);
        worker.instance = Some(report.instance.clone());
        worker.address = Some(report.address);
        self.record_instance_worker(report);
        if capacity.is_some_and(|capacity| capacity != report.capacity) {
            let Resources { cpu_milli, memory_mb, accelerators } = report.capacity;
            let text = format!(
                "reports another capacity: cpu_milli {cpu_milli}, memory_mb {memory_mb}, \
                 accelerators {accelerators}"
            );
            self.explain(report.incarnation.worker.clone(), text);
        }
        if is_first {
            self.send_first_stops(time, ledger, &report.incarnation.worker);
        }
        if starts_draining {
            self.on_worker_draining(time, ledger, &report.incarnation.worker);
        }
    }

    /// Asks which incarnation of a worker is the present one, after a report of another than the
    /// known one.
    fn question(&mut self, time: Time, ledger: &Ledger, report: &Report) {
        let id = &report.incarnation.worker;
        let stated_start = report.incarnation.started_at;
        let Some(worker) = self.workers.get_mut(id) else { return };
        if worker.ended_starts.contains(&stated_start) {
            return;
        }
        let known = worker.stated_start;
        if worker.claim(report) {
            self.suspect_restart(time, ledger, id);
            let text = format!("reports a start at {stated_start}, not {known}: to be polled");
            self.explain(id.clone(), text);
        }
    }

    /// Records the reporting worker for its instance unless a worker that started
    /// later has reported from there.
    fn record_instance_worker(&mut self, report: &Report) {
        let started_at = |id: &WorkerId| {
            let worker = self.workers.get(id).filter(|worker| worker.report.is_some());
            worker.map(|worker| worker.incarnation.started_at)
        };
        let latest = self.worker_by_instance.get(&report.instance).and_then(started_at);
        if latest.is_none_or(|started_at| started_at <= report.incarnation.started_at) {
            let id = &report.incarnation.worker;
            let previous = self.worker_by_instance.insert(report.instance.clone(), id.clone());
            let is_earlier = |id: &WorkerId| {
                let worker = self.workers.get(id);
                worker.is_some_and(|worker| {
                    worker.incarnation.started_at < report.incarnation.started_at
                })
            };
            if let Some(previous) =
                previous.filter(|previous| previous != id && is_earlier(previous))
            {
                self.on_replaced(&previous);
                if let Some(previous) = self.workers.get_mut(&previous) {
                    previous.is_succeeded_elsewhere = previous.address != Some(report.address);
                }
            }
        }
    }

    /// Handles a worker's notice that its incarnation is ending. Its runs are kept until
    /// the lease expires, since the last of them may still be running. An incarnation that has not
    /// reported has not drained, so the notice is of an earlier one. So is one of an incarnation that
    /// reports again: its reports that were under way are not passed on.
    pub fn on_worker_left(&mut self, worker: &WorkerId) {
        if let Some(worker) = self.workers.get_mut(worker) {
            worker.has_left |= worker.report.is_some();
        }
    }

    /// Handles a worker's reply to an order.
    pub fn on_worker_reply(&mut self, time: Time, ledger: &Ledger, reply: Reply) {
        match reply {
            Reply::Poll(reply) => self.on_poll_reply(time, ledger, reply),
            Reply::Start(reply) => self.on_start_reply(time, ledger, reply),
            Reply::Stop(reply) => self.on_stop_reply(time, reply),
            Reply::Pace(reply) => self.on_pace_reply(reply),
        }
    }

    /// Applies an event of a committed log entry.
    pub fn on_event(&mut self, time: Time, ledger: &Ledger, event: &Event) {
        match event {
            Event::Configured => {
                self.configured_at = Some(time.monotonic);
                self.regroup_by_pool(ledger);
            }
            Event::Accepted(number) => {
                self.accepted_at.insert(*number, time.monotonic);
                if let Some(job) = ledger.job(*number) {
                    self.pending_jobs.entry(job.queue.clone()).or_default().insert(*number);
                }
                self.record_job_work(ledger, *number);
                self.record_rate(ledger, *number);
                self.record_arrival(time, ledger, *number);
                self.enqueue_job(time, ledger, *number);
            }
            Event::Finished(number, _) => self.on_job_finished(time, ledger, *number),
            Event::Placed(unit, run, incarnation) => {
                self.on_placed(time, ledger, *unit, *run, incarnation)
            }
            Event::Crashed(unit) => self.review_unit(time, ledger, *unit),
            Event::Released(release) => self.on_released(time, ledger, release),
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

    /// Decides what to propose and which orders to send at the given time. What events have
    /// brought about is returned at once. Polls and placements, which look at all workers, are
    /// decided at most once per `DECISION_INTERVAL`, and the periodic tasks run at most once
    /// per `PERIODIC_TASKS_INTERVAL`.
    pub fn decide(&mut self, time: Time, ledger: &Ledger) -> Output {
        self.time = time;
        self.stop_broken_gangs(time, ledger);
        self.is_decision_deferred = time.monotonic < self.next_decision;
        if !self.superseded && !self.is_decision_deferred {
            self.next_decision = time.monotonic + DECISION_INTERVAL;
            self.enqueue_due(time, ledger);
            self.poll_workers(time, ledger);
            let mut has_retried = false;
            if time.monotonic >= self.last_periodic_tasks + PERIODIC_TASKS_INTERVAL {
                self.last_periodic_tasks = time.monotonic;
                self.expire_losses(time);
                self.record_switched_off(time, ledger);
                self.retry_orders(time, ledger);
                has_retried = true;
                self.release_held(time, ledger);
                self.run_maintenance(time, ledger);
                self.update_claims(time, ledger);
                self.balance(time, ledger);
                self.adjust_shares(time, ledger);
                self.update_outlook(time, ledger);
                self.explain_shortages(time, ledger);
                self.explain_stalls(time, ledger);
            }
            if self.has_withheld_orders && !has_retried {
                self.retry_orders(time, ledger);
            }
            self.place(time, ledger);
        }
        self.report_crashes(time, ledger); // in the proposal that releases the runs
        self.record_late_runs(time);
        self.record_settled(time);
        let mut proposals = std::mem::take(&mut self.commands);
        for mut batch in [std::mem::take(&mut self.batch), std::mem::take(&mut self.adoptions)] {
            if !batch.is_empty() {
                batch.at = time.wall;
                proposals.insert(0, Command::Runs(batch));
            }
        }
        let orders = std::mem::take(&mut self.orders);
        let answered = std::mem::take(&mut self.answered);
        Output { proposals, orders, answered, explanations: std::mem::take(&mut self.explanations) }
    }
}

/// Returns an incarnation by the start time that the ledger uses for it: the one that it states, or a
/// later one if the last incarnation in the ledger is another and did not start earlier.
fn successor_in_ledger(ledger: &Ledger, stated: &Incarnation) -> Incarnation {
    let last = ledger.last_start(&stated.worker);
    let last = last.map(|start| Incarnation::new(stated.worker.clone(), start));
    match last.filter(|last| last >= stated) {
        Some(last) if ledger.stated_start(&last) == stated.started_at => last,
        Some(last) => Incarnation::new(last.worker, last.started_at.saturating_add(1)),
        None => stated.clone(),
    }
}
