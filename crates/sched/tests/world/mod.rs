#![allow(dead_code, reason = "each test binary uses a part of it")]

//! Simulation of a scheduler, its ledger, scripted workers and a cloud on a fake clock.

use audit::Audit;
use cloud::Cloud;
use gang::Gangs;
use jobs::command::{Command, Submit};
use jobs::config::Advice;
use jobs::definition::{Definition as JobDefinition, Resources, Step};
use jobs::{Config, Ledger, Pool, Queue, RunNumber};
use sched::fence::Fences;
use sched::order::{Destination, Move, Order, Poll, Reply, Start, Stop};
use sched::scheduler::Time;
use sched::{Roster, Scheduler, Settings};
use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};
use still::Still;
use trouble::Trouble;
pub use worker::{Gone, Worker};

mod audit;
mod checks;
mod cloud;
pub mod dimension;
mod gang;
mod leaders;
mod orders;
mod policy;
mod processes;
pub mod schedule;
pub mod still;
mod trouble;
mod worker;

/// Time between two steps of the simulation.
pub const TICK: Duration = Duration::from_millis(10);
/// Time between two reports of a worker.
pub const REPORT_INTERVAL: Duration = Duration::from_millis(1500);
/// Difference between the terms of two leaders.
pub const TERM_STEP: u64 = 100;
/// Standby pool: its instances are switched off.
pub const STANDBY: &str = "spare";
/// Delay with which a move order without an answer is carried out.
pub const MOVE_DELAY: Duration = Duration::from_secs(9);

/// Most ends that a worker lists at a time, the first ones first.
pub const LISTED_ENDS: usize = 500;
/// Time for which the first workers run when the simulation begins.
const FIRST_UPTIME: Duration = Duration::from_secs(60);
/// Time from the start of a restarted worker to its first report.
pub const FIRST_REPORT_DELAY: Duration = Duration::from_millis(100);
/// Delay with which a start order that a worker leaves unanswered is carried out, unless a
/// test sets another one.
pub const START_DELAY: Duration = Duration::from_secs(3);
/// Time after which the sender of a start order gives up on the answer.
pub const ORDER_TIMEOUT: Duration = Duration::from_millis(150);

/// Time for which a worker is down after a crash, unless a test sets another one.
pub const CRASH_DOWNTIME: Duration = Duration::from_millis(3300);

/// A start that a worker carried out.
#[derive(Clone, Debug, PartialEq)]
pub struct RecordedStart {
    pub at: Duration,
    pub name: String,
    pub run: RunNumber,
    pub worker: String,
}

pub struct World {
    pub now: Duration,
    pub ledger: Ledger,
    pub scheduler: Scheduler,
    pub workers: BTreeMap<String, Worker>,
    /// Longest time that the leader's thread needed for one action of each kind.
    pub longest: BTreeMap<&'static str, Duration>,
    /// Explanations of decisions, with their time.
    pub log: Vec<(Duration, sched::scheduler::Explanation)>,
    /// Starts on all workers, in order.
    pub starts: Vec<RecordedStart>,
    /// Maintenance orders, with the time and the instance.
    pub maintenances: Vec<(Duration, String)>,
    /// Moves that were carried out, with the time, the instance and the pool.
    pub moves: Vec<(Duration, String, String)>,
    /// Run time of the units of each job, by job name.
    pub run_times: BTreeMap<String, Duration>,
    /// Workers that the policy of queue `r` allows.
    pub allowed: Vec<String>,
    /// Number of calls to that policy.
    pub advise_calls: usize,
    pub policy: policy::Policy,
    /// Number of coming move orders that get no answer and are carried out after
    /// [`MOVE_DELAY`].
    pub moves_to_delay: usize,
    /// Number of coming move orders that get no answer and are not carried out.
    pub moves_to_lose: usize,
    /// Delayed move orders, each with the time when it is carried out.
    delayed_moves: Vec<(Duration, Move)>,
    /// Delay with which start orders without an answer are carried out.
    pub start_delay: Duration,
    /// Wall clocks were set back, so that a restarted worker names an earlier start than before.
    pub wall_clocks_set_back: bool,
    /// Starts are repeated on a new connection; the first copy is carried out late.
    pub repeats_starts: bool,
    /// Reports do not reach the leader.
    pub loses_reports: bool,
    /// The cloud's list names no worker for an instance whose worker is down.
    pub lists_only_workers_up: bool,
    /// Reports pass through the leader's list of the newest ones, which ignores old ones.
    pub uses_roster: bool,
    /// Newest report of each worker, as the cores have them.
    roster: Roster,
    /// Between two leaders nothing is decided, polled or reported.
    has_leader: bool,
    /// Proposals are committed only once this is not set any more.
    pub holds_commits: bool,
    /// Proposals that are not committed yet.
    uncommitted: Vec<Command>,
    /// The leadership ends before the first proposal for which this holds is committed.
    pub ends_before: Option<fn(&Command) -> bool>,
    /// Restarted workers state their start by a wall clock that is wrong by this much; `None` for a
    /// count of all starts.
    pub wall_clock_error_ms: Option<i64>,
    /// Workers whose process is restarting, with the time of its start.
    restarting: BTreeMap<String, Duration>,
    /// Restarted workers that have not reported, with the time of their first report.
    first_reports: BTreeMap<String, Duration>,
    /// Runs of the units whose names begin so crash their workers this long after their start.
    pub deadly: BTreeMap<String, Duration>,
    /// Time for which a worker is down after a crash.
    pub crash_downtime: Duration,
    /// Crashes of workers, with the time and the worker.
    pub crashes: Vec<(Duration, String)>,
    /// Crashed workers, with the time at which their successors start.
    crashed: BTreeMap<String, Duration>,
    /// Starts that brought a worker over its capacity, with the time and the worker.
    pub overloads: Vec<(Duration, String)>,
    /// Start orders without an answer, each with the time when it is carried out.
    delayed_starts: Vec<(Duration, Destination, Start)>,
    /// Polls without an answer, each with the time when it is carried out.
    delayed_polls: Vec<(Duration, Destination, Poll)>,
    /// Stop orders without an answer, each with the time when it is carried out.
    delayed_stops: Vec<(Duration, Destination, Stop)>,
    /// Replies that stand for answers that did not come, with the time when they are due.
    overdue_replies: Vec<(Duration, Reply)>,
    /// Instances that were maintained, with the wave.
    maintained: BTreeSet<(String, jobs::WaveId)>,
    /// When the maintenance of each instance began, in order.
    pub maintenances_begun: Vec<(Duration, String)>,
    /// Time by which maintenance takes longer than expected.
    pub maintenance_overrun: Duration,
    /// Time that the cloud takes to answer a maintenance order that it has carried out.
    pub maintenance_answer_delay: Duration,
    /// Orders that the cloud has yet to carry out, and its answers under way.
    cloud: Cloud,
    /// The process that sends the leader's orders is gone; polls and starts are lost with it.
    pub relay_is_gone: bool,
    /// Highest fence that the cloud has seen for each instance.
    fences: BTreeMap<String, u64>,
    /// Units that were running when their instance was moved or maintained.
    pub interrupted: Vec<(Duration, String)>,
    /// Workers whose instances are down: when they return, and to which pool.
    returning: BTreeMap<String, (Duration, String)>,
    /// Start time of the newest incarnation.
    started_at: u64,
    /// Start times that restarted workers have stated by their wall clocks.
    stated_starts: BTreeSet<u64>,
    /// Term of the present leader.
    term: u64,
    /// Faults of messages and processes.
    pub trouble: Trouble,
    /// Gangs at the workers.
    pub gangs: Gangs,
    /// What was seen, and the promises that it breaks.
    pub audit: Audit,
    /// Units that run nowhere though their turn has come.
    pub still: Still,
}

pub fn resources(cpu_milli: u64) -> Resources {
    Resources { cpu_milli, memory_mb: 100, accelerators: 0 }
}

pub fn step(count: u32, cpu_milli: u64, millis: u64) -> Step {
    let estimate = Duration::from_millis(millis);
    Step { count, resources: resources(cpu_milli), estimate, ..Step::default() }
}

pub fn long_running(count: u32, cpu_milli: u64) -> Step {
    Step {
        long_running: true,
        max_unavailable: Some(1),
        anti_affinity: 1,
        ..step(count, cpu_milli, 500)
    }
}

impl World {
    /// Creates `count` workers `w0`, `w1`, ... of pool `p` with 8 cores each, and queues
    /// `q` and `r` on that pool.
    pub fn new(count: usize) -> World {
        let mut ledger = Ledger::new(Duration::from_secs(120));
        let mut config = Config { version: 1, ..Config::default() };
        let queue = |prefix: &str| Queue {
            prefix: prefix.to_string(),
            pool: "p".to_string(),
            timeout: Duration::from_secs(3),
            base_objective: Duration::from_millis(600),
            critical_path_factor: 1.6,
            max_attempts: 3,
            ..Queue::default()
        };
        config.queues.insert("q".to_string(), queue("/q/"));
        let valid = Duration::from_secs(20);
        let advice = Some(Advice { valid, ..Advice::default() });
        config.queues.insert("r".to_string(), Queue { advice, ..queue("/r/") });
        config.pools.insert("p".to_string(), Pool::default());
        config.pools.insert(STANDBY.to_string(), Pool { standby: true, ..Pool::default() });
        ledger.apply(Command::Configure(Box::new(config)));
        let now = Duration::from_secs(100);
        let time = Time { monotonic: now, wall: 1_000_000 };
        let settings = Settings::default();
        let scheduler = Scheduler::new(
            settings,
            Fences::between(0, TERM_STEP),
            time,
            &ledger,
            &Roster::default(),
        );
        let mut world = World {
            now,
            ledger,
            scheduler,
            workers: BTreeMap::new(),
            longest: BTreeMap::new(),
            log: Vec::new(),
            starts: Vec::new(),
            maintenances: Vec::new(),
            moves: Vec::new(),
            run_times: BTreeMap::new(),
            allowed: Vec::new(),
            advise_calls: 0,
            policy: policy::Policy::default(),
            moves_to_delay: 0,
            moves_to_lose: 0,
            delayed_moves: Vec::new(),
            start_delay: START_DELAY,
            wall_clocks_set_back: false,
            repeats_starts: false,
            loses_reports: false,
            lists_only_workers_up: false,
            uses_roster: false,
            roster: Roster::default(),
            has_leader: true,
            holds_commits: false,
            uncommitted: Vec::new(),
            ends_before: None,
            wall_clock_error_ms: None,
            restarting: BTreeMap::new(),
            first_reports: BTreeMap::new(),
            deadly: BTreeMap::new(),
            crash_downtime: CRASH_DOWNTIME,
            crashes: Vec::new(),
            crashed: BTreeMap::new(),
            overloads: Vec::new(),
            delayed_starts: Vec::new(),
            delayed_polls: Vec::new(),
            delayed_stops: Vec::new(),
            overdue_replies: Vec::new(),
            maintained: BTreeSet::new(),
            maintenances_begun: Vec::new(),
            maintenance_overrun: Duration::ZERO,
            maintenance_answer_delay: Duration::ZERO,
            cloud: Cloud::default(),
            relay_is_gone: false,
            fences: BTreeMap::new(),
            interrupted: Vec::new(),
            returning: BTreeMap::new(),
            started_at: 1,
            stated_starts: BTreeSet::new(),
            term: TERM_STEP,
            trouble: Trouble::default(),
            gangs: Gangs::default(),
            audit: Audit::default(),
            still: Still::default(),
        };
        for number in 0..count {
            let id = format!("w{number}");
            world.add(&id, "p", 1);
            world.workers.get_mut(&id).unwrap().clock_origin = now - FIRST_UPTIME;
        }
        world.run(Duration::from_millis(200));
        world
    }

    pub fn time(&self) -> Time {
        Time { monotonic: self.now, wall: 900_000 + self.now.as_millis() as u64 }
    }

    pub fn submit(&mut self, queue: &str, id: &str, steps: Vec<Step>) {
        self.submit_for(None, queue, id, steps);
    }

    /// Submits a job of an account.
    pub fn submit_for(&mut self, owner: Option<&str>, queue: &str, id: &str, steps: Vec<Step>) {
        let definition = JobDefinition { spec: id.to_string(), steps, schedule: None };
        let at = self.time().wall;
        let owner = owner.map(str::to_string);
        let (queue, id) = (queue.to_string(), id.to_string());
        let submit = Submit { queue, place: None, id, definition, owner, at };
        self.apply(Command::Submit(submit));
    }

    /// Commits a command and passes its events to the scheduler.
    pub fn apply(&mut self, command: Command) {
        let time = self.time();
        let kind = match command {
            Command::Submit(_) => "accept",
            Command::Cancel(_) => "cancel",
            Command::Runs(_) => "apply runs",
            _ => "apply others",
        };
        let started_at = Instant::now();
        let (_, events) = self.ledger.apply(command);
        for event in events {
            self.scheduler.on_event(time, &self.ledger, &event);
        }
        self.record_time(kind, started_at);
    }

    /// Records the time that the leader's thread has needed for an action.
    fn record_time(&mut self, kind: &'static str, started_at: Instant) {
        let longest = self.longest.entry(kind).or_default();
        *longest = (*longest).max(started_at.elapsed());
    }

    /// Lets the scheduler decide, and commits its proposals. Returns its orders.
    fn decide(&mut self) -> Vec<Order> {
        let time = self.time();
        let started_at = Instant::now();
        let output = self.scheduler.decide(time, &self.ledger);
        self.record_time("decide", started_at);
        self.log.extend(output.explanations.into_iter().map(|e| (self.now, e)));
        for answered in &output.answered {
            self.roster.record_answer(self.now, answered);
        }
        self.uncommitted.extend(output.proposals);
        if self.holds_commits {
            return output.orders;
        }
        for command in std::mem::take(&mut self.uncommitted) {
            if self.ends_before.take_if(|is_lost| is_lost(&command)).is_some() {
                self.end_leadership();
                return Vec::new();
            }
            self.apply(command);
        }
        output.orders
    }

    /// Advances the simulation by `duration`.
    pub fn run(&mut self, duration: Duration) {
        let end = self.now + duration;
        while self.now < end {
            self.tick();
        }
    }

    fn tick(&mut self) {
        self.now += TICK;
        self.start_restarted();
        self.run_crashes();
        self.return_instances();
        let now = self.now;
        let is_due = |(at, _): &mut (Duration, Move)| *at <= now;
        for (_, order) in self.delayed_moves.extract_if(.., is_due).collect::<Vec<_>>() {
            self.move_instance(&order);
        }
        self.receive_orders();
        self.carry_out_delayed_orders();
        self.deliver_advice();
        self.run_cloud();
        self.deliver_unread();
        let is_report_due = self.now.as_millis().is_multiple_of(REPORT_INTERVAL.as_millis());
        let ids: Vec<String> = self.workers.keys().cloned().collect();
        if is_report_due {
            self.roster.expire(self.now);
            self.number_reports();
            ids.iter().for_each(|id| self.report(id));
        }
        self.run_gangs();
        for id in &ids {
            self.run_worker(id);
        }
        self.audit();
        if !self.has_leader {
            return;
        }
        while !self.is_frozen() {
            let orders = self.decide();
            if orders.is_empty() {
                break;
            }
            self.send(orders);
        }
        self.judge_still();
        for id in &ids {
            self.answer_poll(id);
        }
    }

    /// Numbers the next reports of all workers.
    fn number_reports(&mut self) {
        self.workers.values_mut().for_each(|worker| worker.report.number += 1);
    }
}
