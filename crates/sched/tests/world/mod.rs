#![allow(dead_code, reason = "each test binary uses a part of it")]

//! Simulation of a scheduler, its ledger, scripted workers and a cloud on a fake clock.

use jobs::command::{Command, EndReason, Submit};
use jobs::config::Advice;
use jobs::definition::{Definition as JobDefinition, Resources, Step};
use jobs::{Config, Incarnation, Ledger, Pool, Queue, RunNumber};
use sched::fence::Fences;
use sched::order::{
    Answer, Destination, Move, Order, Poll, Refusal, Reply, Start, StartOutcome, Stop,
};
use sched::roster::Freshness;
use sched::scheduler::{
    AdviseReply, MaintenanceReply, MoveReply, PaceReply, PollReply, StartReply, StopReply, Time,
};
use sched::{Report, Roster, Scheduler, Settings};
use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};
pub use worker::Worker;

mod cloud;
pub mod schedule;
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
    /// Number of coming move orders that get no answer and are carried out after
    /// [`MOVE_DELAY`].
    pub moves_to_delay: usize,
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
    /// Answers of the cloud that are under way, with the time when they arrive.
    overdue_maintenance: Vec<(Duration, MaintenanceReply)>,
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
            moves_to_delay: 0,
            delayed_moves: Vec::new(),
            start_delay: START_DELAY,
            wall_clocks_set_back: false,
            repeats_starts: false,
            loses_reports: false,
            lists_only_workers_up: false,
            uses_roster: false,
            roster: Roster::default(),
            has_leader: true,
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
            overdue_maintenance: Vec::new(),
            relay_is_gone: false,
            fences: BTreeMap::new(),
            interrupted: Vec::new(),
            returning: BTreeMap::new(),
            started_at: 1,
            stated_starts: BTreeSet::new(),
            term: TERM_STEP,
        };
        for number in 0..count {
            let id = format!("w{number}");
            world.add(&id, "p", 1);
            world.workers.get_mut(&id).unwrap().clock_origin = now - FIRST_UPTIME;
        }
        world.run(Duration::from_millis(200));
        world
    }

    /// Adds a worker, or a new incarnation of one.
    pub fn add(&mut self, id: &str, pool: &str, started_at: u64) {
        let number: u8 = id.trim_start_matches(|c: char| !c.is_ascii_digit()).parse().unwrap_or(0);
        let report = Report {
            incarnation: Incarnation::new(id, started_at),
            instance: format!("m{number}"),
            address: format!("10.0.0.{}:80", number + 1).parse().unwrap(),
            pool: pool.to_string(),
            data_centre: ["north", "south", "west"][usize::from(number) % 3].to_string(),
            labels: vec!["a".to_string(), format!("rack{}", number / 2)],
            capacity: Resources { cpu_milli: 8000, memory_mb: 8000, accelerators: 0 },
            draining: false,
            remaining: None,
            number: 1,
        };
        let worker = Worker::new(report.clone(), self.now);
        self.workers.insert(id.to_string(), worker);
        self.pass_on(&report);
    }

    /// Passes a report on to the leader.
    fn pass_on(&mut self, report: &Report) {
        let is_stale = self.roster.record(self.now, report.clone()) == Freshness::Stale;
        if self.has_leader && !(self.uses_roster && is_stale) {
            let time = self.time();
            self.scheduler.on_report(time, &self.ledger, report);
        }
    }

    pub fn time(&self) -> Time {
        Time { monotonic: self.now, wall: 900_000 + self.now.as_millis() as u64 }
    }

    /// Ends the process that sends the leader's orders, with all polls that are open there.
    pub fn lose_relay(&mut self) {
        self.relay_is_gone = true;
        let time = self.time();
        for worker in self.workers.values_mut() {
            let Some((to, poll, _)) = worker.poll.take() else { continue };
            let (incarnation, sent_at) = (to.incarnation, poll.sent_at);
            let reply = PollReply { incarnation, sent_at, answer: Answer::Lost };
            self.scheduler.on_poll_reply(time, &self.ledger, reply);
        }
    }

    /// Returns the fences of a leader whose term is higher by `step` than that of the present one.
    fn begin_term(&mut self, step: u64) -> Fences {
        let preceding_term = self.term;
        self.term += step;
        Fences::between(preceding_term, self.term)
    }

    /// Replaces the leader. The new one has the reports of every second worker; the
    /// others report to it within [`REPORT_INTERVAL`].
    pub fn replace_leader(&mut self) {
        self.replace_leader_with_term_step(TERM_STEP);
    }

    /// Replaces the leader, like [`World::replace_leader`], by one whose term is higher by `step`; 1
    /// is that of a leader of an earlier version.
    pub fn replace_leader_with_term_step(&mut self, step: u64) {
        let fences = self.begin_term(step);
        let mut roster = Roster::default();
        for worker in self.workers.values().step_by(2) {
            roster.record(self.now, worker.report.clone());
        }
        let time = self.time();
        self.scheduler = Scheduler::new(Settings::default(), fences, time, &self.ledger, &roster);
        self.workers.values_mut().for_each(|worker| worker.poll = None);
    }

    /// Ends the leadership. Answers that are under way are lost; the orders themselves are not.
    pub fn end_leadership(&mut self) {
        self.has_leader = false;
        self.overdue_replies.clear();
        self.workers.values_mut().for_each(|worker| worker.poll = None);
    }

    /// Begins the next leadership, with the last reports of some workers.
    pub fn begin_leadership(&mut self, known: &BTreeSet<String>) {
        let fences = self.begin_term(TERM_STEP);
        let reports: Vec<Report> = self.roster.workers().map(|r| r.report.clone()).collect();
        self.roster = Roster::default();
        for report in reports.into_iter().filter(|r| known.contains(&r.incarnation.worker)) {
            self.roster.record(self.now, report);
        }
        let time = self.time();
        let settings = Settings::default();
        self.scheduler = Scheduler::new(settings, fences, time, &self.ledger, &self.roster);
        self.has_leader = true;
    }

    /// Replaces the leader by one that expects units away from their data to take longer by a factor.
    pub fn set_far_factor(&mut self, far_factor: f64) {
        let fences = self.begin_term(TERM_STEP);
        let settings = Settings { far_factor, ..Settings::default() };
        let mut roster = Roster::default();
        for worker in self.workers.values() {
            roster.record(self.now, worker.report.clone());
        }
        let time = self.time();
        self.scheduler = Scheduler::new(settings, fences, time, &self.ledger, &roster);
        self.workers.values_mut().for_each(|worker| worker.poll = None);
        self.run(Duration::from_millis(200));
    }

    /// Replaces the leader by one to which all reports were passed on.
    pub fn replace_informed_leader(&mut self) {
        let fences = self.begin_term(TERM_STEP);
        let mut reports: Vec<Report> = self.workers.values().map(|w| w.report.clone()).collect();
        reports.sort_by_key(|report| report.incarnation.started_at);
        let mut roster = Roster::default();
        for report in reports {
            roster.record(self.now, report);
        }
        let time = self.time();
        let started_at = Instant::now();
        self.scheduler = Scheduler::new(Settings::default(), fences, time, &self.ledger, &roster);
        self.record_time("take over", started_at);
        self.workers.values_mut().for_each(|worker| worker.poll = None);
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
        for command in output.proposals {
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

    /// Ends the process of a worker, whose open poll is answered by a closed connection. It
    /// starts again under its id after `down_for`, and reports 100 ms later.
    pub fn restart(&mut self, id: &str, down_for: Duration) {
        self.restarting.insert(id.to_string(), self.now + down_for);
        self.end_process(id);
    }

    /// Ends the process of a worker, whose open poll is answered by a closed connection.
    fn end_process(&mut self, id: &str) {
        let time = self.time();
        let worker = self.workers.get_mut(id).unwrap();
        worker.is_down = true;
        worker.runs.clear();
        let Some((to, poll, _)) = worker.poll.take() else { return };
        let reply = PollReply {
            incarnation: to.incarnation,
            sent_at: poll.sent_at,
            answer: Answer::Unknown,
        };
        self.scheduler.on_poll_reply(time, &self.ledger, reply);
    }

    /// Crashes a worker. After `crash_downtime` another one, with an id of its own, is on its
    /// instance and at its address.
    pub fn crash(&mut self, id: &str) {
        self.crashes.push((self.now, id.to_string()));
        self.crashed.insert(id.to_string(), self.now + self.crash_downtime);
        self.end_process(id);
    }

    /// Crashes the workers that run deadly units, and starts the successors of crashed workers.
    fn run_crashes(&mut self) {
        let now = self.now;
        let is_due = |(name, _): &(String, RunNumber), started_at: &Duration| {
            let mut deadly = self.deadly.iter();
            deadly.any(|(prefix, delay)| name.starts_with(prefix) && now >= *started_at + *delay)
        };
        let crashing: Vec<String> = self
            .workers
            .iter()
            .filter(|(_, worker)| worker.runs.iter().any(|(key, at)| is_due(key, at)))
            .map(|(id, _)| id.clone())
            .collect();
        for id in crashing {
            self.crash(&id);
        }
        let due: Vec<_> = self.crashed.extract_if(.., |_, at| now >= *at).collect();
        for (id, _) in due {
            let worker = self.workers.get_mut(&id).unwrap();
            worker.is_succeeded = true;
            let pool = worker.report.pool.clone();
            let (next, started_at) = (format!("w{id}"), self.next_start());
            self.add(&next, &pool, started_at);
        }
    }

    /// Returns the workers that are up.
    pub fn workers_up(&self) -> Vec<String> {
        let up = self.workers.iter().filter(|(_, worker)| !worker.is_down);
        up.map(|(id, _)| id.clone()).collect()
    }

    /// Lets a start that was under way since before the worker's last restart arrive there now.
    pub fn start_late(&mut self, id: &str, name: &str, run: RunNumber) {
        let unit = self.ledger.find_unit(name).unwrap();
        let report = self.workers[id].report.clone();
        let to = Destination { incarnation: report.incarnation, address: report.address };
        let (name, spec) = (name.to_string(), String::new());
        let lease_end_ms = Settings::default().max_lease.as_millis() as u64;
        let (checkpoint, ticket, fence) = (String::new(), None, self.workers[id].fence);
        let leave_by = Duration::MAX;
        let start =
            Start { unit, name, run, spec, lease_end_ms, fence, checkpoint, ticket, leave_by };
        self.start(&to, &start);
    }

    /// Passes a worker's present report to the leader, if the worker can reach it.
    pub fn report(&mut self, id: &str) {
        let worker = &self.workers[id];
        if !worker.is_down && !worker.partitioned && !self.loses_reports {
            let report = worker.report.clone();
            self.pass_on(&report);
        }
    }

    /// Ends a worker for good; its instance no longer exists.
    pub fn delete(&mut self, id: &str) {
        self.workers.remove(id);
    }

    /// Returns the start that the next incarnation of a worker states. No two state the same one.
    fn next_start(&mut self) -> u64 {
        let Some(error_ms) = self.wall_clock_error_ms else {
            self.started_at += 1;
            return self.started_at;
        };
        let mut started_at = self.time().wall.saturating_add_signed(error_ms);
        while !self.stated_starts.insert(started_at) {
            started_at += 1;
        }
        started_at
    }

    /// Starts the new incarnations of workers that are restarting, and passes on their first
    /// reports.
    fn start_restarted(&mut self) {
        let now = self.now;
        let reports: Vec<_> = self.first_reports.extract_if(.., |_, at| now >= *at).collect();
        for (id, _) in reports {
            self.report(&id);
        }
        let due: Vec<_> = self.restarting.extract_if(.., |_, at| now >= *at).collect();
        for (id, _) in due {
            if self.returning.contains_key(&id) || self.workers[&id].report.pool == STANDBY {
                continue; // its instance was taken down meanwhile
            }
            self.first_reports.insert(id.clone(), now + FIRST_REPORT_DELAY);
            let started_at = self.next_start();
            let before = &self.workers[&id];
            let (partitioned, mut report) = (before.partitioned, before.report.clone());
            let omits_one_start_in = before.omits_one_start_in;
            let omits_one_poll_in = before.omits_one_poll_in;
            let omits_one_stop_in = before.omits_one_stop_in;
            report.number = 1;
            report.incarnation.started_at = match self.wall_clocks_set_back {
                true => report.incarnation.started_at - 1,
                false => started_at,
            };
            let worker = Worker {
                partitioned,
                omits_one_start_in,
                omits_one_poll_in,
                omits_one_stop_in,
                ..Worker::new(report, now)
            };
            self.workers.insert(id, worker);
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
        self.carry_out_delayed_orders();
        self.answer_maintenance();
        let is_report_due = self.now.as_millis().is_multiple_of(REPORT_INTERVAL.as_millis());
        let ids: Vec<String> = self.workers.keys().cloned().collect();
        if is_report_due {
            self.roster.expire(self.now);
            self.number_reports();
            ids.iter().for_each(|id| self.report(id));
        }
        for id in &ids {
            self.run_worker(id);
        }
        if !self.has_leader {
            return;
        }
        let mut orders = self.decide();
        while !orders.is_empty() {
            for order in orders {
                self.execute(order);
            }
            orders = self.decide();
        }
        for id in &ids {
            self.answer_poll(id);
        }
    }

    /// Numbers the next reports of all workers.
    fn number_reports(&mut self) {
        self.workers.values_mut().for_each(|worker| worker.report.number += 1);
    }

    fn carry_out_delayed_orders(&mut self) {
        let (now, time) = (self.now, self.time());
        let polls: Vec<_> = self.delayed_polls.extract_if(.., |(at, _, _)| *at <= now).collect();
        for (_, to, poll) in polls {
            let worker = self.workers.get_mut(&to.incarnation.worker);
            let obeys = |worker: &&mut Worker| !worker.is_down && poll.fence >= worker.fence;
            if let Some(worker) = worker.filter(obeys) {
                worker.apply_poll(now, &poll, Settings::default().max_lease);
            }
        }
        let starts: Vec<_> = self.delayed_starts.extract_if(.., |(at, _, _)| *at <= now).collect();
        for (_, to, start) in starts {
            self.start(&to, &start);
        }
        let stops: Vec<_> = self.delayed_stops.extract_if(.., |(at, _, _)| *at <= now).collect();
        for (_, to, stop) in stops {
            let worker = self.workers.get_mut(&to.incarnation.worker);
            let obeys = |w: &&mut Worker| !w.is_down && !w.partitioned && stop.fence >= w.fence;
            if let Some(worker) = worker.filter(obeys) {
                worker.stop(stop);
            }
        }
        let replies: Vec<_> = self.overdue_replies.extract_if(.., |(at, _)| *at <= now).collect();
        for (_, reply) in replies {
            self.scheduler.on_worker_reply(time, &self.ledger, reply);
        }
    }

    fn run_worker(&mut self, id: &str) {
        let (now, run_times) = (self.now, &self.run_times);
        let Some(worker) = self.workers.get_mut(id) else { return };
        if worker.is_down {
            worker.runs.clear();
            return;
        }
        if now > worker.lease_expiry {
            for (name, run) in std::mem::take(&mut worker.runs).into_keys() {
                worker.end(name, run, EndReason::Lapsed);
            }
        }
        let done: Vec<(String, RunNumber)> = worker
            .runs
            .iter()
            .filter(|((name, _), started_at)| {
                let id = name.split('.').next().unwrap_or_default();
                let slowdown = worker.slowdown;
                let is_over =
                    |duration: &Duration| now >= **started_at + duration.mul_f64(slowdown);
                run_times.get(id).is_some_and(is_over) && !worker.is_stuck
            })
            .map(|(key, _)| key.clone())
            .collect();
        for (name, run) in done {
            worker.runs.remove(&(name.clone(), run));
            worker.end(name, run, EndReason::Done);
        }
    }

    fn execute(&mut self, order: Order) {
        let time = self.time();
        match order {
            Order::Poll(to, poll) if self.relay_is_gone => {
                let (incarnation, sent_at) = (to.incarnation, poll.sent_at);
                let reply = PollReply { incarnation, sent_at, answer: Answer::Lost };
                self.scheduler.on_poll_reply(time, &self.ledger, reply);
            }
            Order::Poll(to, poll) if self.omits_poll(&to) => {
                let (incarnation, sent_at) = (to.incarnation.clone(), poll.sent_at);
                let reply = PollReply { incarnation, sent_at, answer: Answer::Unknown };
                let due = self.now + poll.max_wait + ORDER_TIMEOUT;
                self.overdue_replies.push((due, Reply::Poll(reply)));
                self.delayed_polls.push((self.now + self.start_delay, to, poll));
            }
            Order::Poll(to, poll) => {
                if let Some(worker) = self.workers.get_mut(&to.incarnation.worker) {
                    worker.poll = Some((to, poll, self.now));
                }
            }
            Order::Start(to, start) if self.omits_start(&to) => {
                let (incarnation, unit, run) = (to.incarnation.clone(), start.unit, start.run);
                let reply = StartReply::new(incarnation, unit, run, Answer::Unknown.into());
                self.overdue_replies.push((self.now + ORDER_TIMEOUT, Reply::Start(reply)));
                self.delayed_starts.push((self.now + self.start_delay, to, start));
            }
            Order::Start(to, start) => {
                let answer = match self.relay_is_gone {
                    true => Answer::Lost,
                    false => self.start(&to, &start),
                };
                let (unit, run) = (start.unit, start.run);
                let is_repeated = self.repeats_starts;
                if is_repeated {
                    self.delayed_starts.push((self.now + self.start_delay, to.clone(), start));
                }
                let worker = self.workers.get(&to.incarnation.worker);
                let clock_ms = worker.filter(|_| answer != Answer::Unknown);
                let clock_ms = clock_ms.map(|worker| worker.clock_ms(self.now));
                let outcome = StartOutcome { answer, clock_ms, is_unsent: false, is_repeated };
                let reply = StartReply::new(to.incarnation, unit, run, outcome);
                self.scheduler.on_start_reply(time, &self.ledger, reply);
            }
            Order::Stop(to, stop) if self.omits_stop(&to) => {
                let (incarnation, unit, run) = (to.incarnation.clone(), stop.unit, stop.run);
                let reply = StopReply { incarnation, unit, run, answer: Answer::Unknown };
                self.overdue_replies.push((self.now + ORDER_TIMEOUT, Reply::Stop(reply)));
                self.delayed_stops.push((self.now + self.start_delay, to, stop));
            }
            Order::Stop(to, stop) => {
                let (incarnation, unit, run) = (to.incarnation.clone(), stop.unit, stop.run);
                let answer = match self.workers.get_mut(&to.incarnation.worker) {
                    Some(worker) if !worker.is_down && !worker.partitioned => {
                        if !worker.ignores_stops {
                            worker.stop(stop);
                        }
                        if worker.loses_stop_answers { Answer::Unknown } else { Answer::Done(()) }
                    }
                    Some(worker) if worker.is_succeeded => Answer::Misdirected,
                    _ => Answer::Unknown,
                };
                let reply = StopReply { incarnation, unit, run, answer };
                self.scheduler.on_stop_reply(time, reply);
            }
            Order::Maintain(order) => {
                let (answer, delay) = self.maintain(&order);
                let (instance, wave) = (order.instance, order.wave);
                let reply = MaintenanceReply { instance, wave, answer };
                self.overdue_maintenance.push((self.now + delay, reply));
                self.answer_maintenance();
            }
            Order::Move(order) => {
                let answer = match self.moves_to_delay {
                    0 => self.move_instance(&order),
                    _ => {
                        self.moves_to_delay -= 1;
                        self.delayed_moves.push((self.now + MOVE_DELAY, order.clone()));
                        Answer::Unknown
                    }
                };
                let reply = MoveReply { instance: order.instance, answer };
                self.scheduler.on_move_reply(time, reply);
            }
            Order::ListInstances => {
                let in_maintenance = |id: &String| self.returning.contains_key(id);
                let present = self.workers.iter().filter(|(_, worker)| !worker.is_succeeded);
                let mut instances: Vec<_> =
                    present.map(|(id, w)| w.instance(in_maintenance(id))).collect();
                if self.lists_only_workers_up {
                    let is_up = |id: &String| !self.workers[id].is_down;
                    instances.iter_mut().for_each(|i| _ = i.worker.take_if(|id| !is_up(id)));
                }
                self.scheduler.on_instance_list(time, instances);
            }
            Order::Pace(to, pace) => {
                if let Some(worker) = self.workers.get_mut(&to.incarnation.worker) {
                    worker.paces.insert((pace.name, pace.run), pace.percent);
                }
                let (incarnation, unit, run, percent) =
                    (to.incarnation, pace.unit, pace.run, pace.percent);
                let answer = Answer::Done(());
                self.scheduler.on_pace_reply(PaceReply { incarnation, unit, run, percent, answer });
            }
            Order::Advise(advise) => {
                self.advise_calls += 1;
                let allowed = self.allowed.iter().map(|id| (id.clone(), format!("for {id}")));
                let answer = Answer::Done(allowed.collect());
                let reply = AdviseReply { step: advise.step, workers: advise.workers, answer };
                self.scheduler.on_advise_reply(time, &self.ledger, reply);
            }
        }
    }

    /// Counts a start order to a worker, and returns whether the worker leaves it unanswered.
    fn omits_start(&mut self, to: &Destination) -> bool {
        let Some(worker) = self.workers.get_mut(&to.incarnation.worker) else { return false };
        worker.start_orders += 1;
        worker.omits_one_start_in.is_some_and(|share| worker.start_orders.is_multiple_of(share))
    }

    /// Counts a stop order to a worker, and returns whether the worker leaves it unanswered.
    fn omits_stop(&mut self, to: &Destination) -> bool {
        let Some(worker) = self.workers.get_mut(&to.incarnation.worker) else { return false };
        worker.stop_orders += 1;
        worker.omits_one_stop_in.is_some_and(|share| worker.stop_orders.is_multiple_of(share))
    }

    /// Counts a poll of a worker, and returns whether the worker leaves it unanswered.
    fn omits_poll(&mut self, to: &Destination) -> bool {
        let Some(worker) = self.workers.get_mut(&to.incarnation.worker) else { return false };
        worker.polls += 1;
        worker.omits_one_poll_in.is_some_and(|share| worker.polls.is_multiple_of(share))
    }

    fn start(&mut self, to: &Destination, start: &Start) -> Answer<()> {
        let Some(worker) = self.workers.get_mut(&to.incarnation.worker) else {
            return Answer::Unknown;
        };
        if worker.is_succeeded {
            return Answer::Misdirected;
        }
        if worker.is_down || worker.partitioned {
            return Answer::Unknown;
        }
        if start.fence < worker.fence {
            return Answer::Refused(Refusal::Fence);
        }
        if worker.stopped_runs.get(&start.name).is_some_and(|run| start.run <= *run) {
            return Answer::Refused(Refusal::Old);
        }
        if worker.clock_origin + Duration::from_millis(start.lease_end_ms) <= self.now {
            return Answer::Refused(Refusal::Late);
        }
        let restricted = self.ledger.jobs()[&start.unit.job].queue == "r";
        if restricted && start.ticket != Some(format!("for {}", to.incarnation.worker)) {
            return Answer::Refused(Refusal::Ticket);
        }
        if !worker.loses_start_answers || worker.executes_lost_starts {
            worker.extend_lease(self.now, start.lease_end_ms, Settings::default().max_lease);
            let key = (start.name.clone(), start.run);
            if let std::collections::btree_map::Entry::Vacant(slot) = worker.runs.entry(key) {
                slot.insert(self.now);
                let (name, run) = (start.name.clone(), start.run);
                self.starts.push(RecordedStart {
                    at: self.now,
                    name,
                    run,
                    worker: to.incarnation.worker.clone(),
                });
                if worker.fails_runs {
                    worker.runs.remove(&(start.name.clone(), start.run));
                    worker.end(start.name.clone(), start.run, EndReason::Failed);
                }
            }
        }
        let answer = if worker.loses_start_answers { Answer::Unknown } else { Answer::Done(()) };
        let step =
            &self.ledger.jobs()[&start.unit.job].definition.steps[usize::from(start.unit.step)];
        if step.reserved_resources().cpu_milli > 0 {
            self.record_overload(&to.incarnation.worker);
        }
        answer
    }

    /// Records the worker if its runs together need more than its capacity.
    fn record_overload(&mut self, id: &str) {
        let worker = &self.workers[id];
        let cpu_milli = |name: &String| {
            let unit = self.ledger.find_unit(name).unwrap();
            let steps = &self.ledger.jobs()[&unit.job].definition.steps;
            steps[usize::from(unit.step)].reserved_resources().cpu_milli
        };
        let used: u64 = worker.runs.keys().map(|(name, _)| cpu_milli(name)).sum();
        if used > worker.report.capacity.cpu_milli {
            self.overloads.push((self.now, id.to_string()));
        }
    }

    fn answer_poll(&mut self, id: &str) {
        let (time, now) = (self.time(), self.now);
        let Some(worker) = self.workers.get_mut(id) else { return };
        if worker.polls_hang {
            return;
        }
        let Some((to, poll, since)) = worker.poll.clone() else { return };
        let silent = (worker.is_down || worker.partitioned) && !worker.is_succeeded;
        let due = now >= since + poll.max_wait;
        if silent && now < since + poll.max_wait + Duration::from_millis(700) {
            return;
        }
        if !worker.is_down && !silent && poll.fence >= worker.fence {
            worker.apply_poll(now, &poll, Settings::default().max_lease);
        }
        if !silent && !due && worker.finished.is_empty() && !worker.is_succeeded {
            return;
        }
        worker.poll = None;
        let answer = if worker.is_succeeded {
            Answer::Misdirected
        } else if silent {
            Answer::Unknown
        } else if poll.fence < worker.fence {
            Answer::Refused(Refusal::Fence)
        } else {
            Answer::Done(worker.run_lists(now, &self.run_times))
        };
        let reply = PollReply { incarnation: to.incarnation, sent_at: poll.sent_at, answer };
        let started_at = Instant::now();
        self.scheduler.on_poll_reply(time, &self.ledger, reply);
        self.record_time("read a poll", started_at);
    }

    /// Returns the starts of a unit on all workers.
    pub fn starts_of(&self, name: &str) -> Vec<&RecordedStart> {
        self.starts.iter().filter(|start| start.name == name).collect()
    }

    /// Returns the units that are running on more than one worker.
    pub fn running_twice(&self) -> Vec<String> {
        let mut counts: BTreeMap<&String, u32> = BTreeMap::new();
        for worker in self.workers.values().filter(|worker| !worker.is_down) {
            for (name, _) in worker.runs.keys() {
                *counts.entry(name).or_default() += 1;
            }
        }
        counts.into_iter().filter(|(_, count)| *count > 1).map(|(name, _)| name.clone()).collect()
    }

    /// Returns the workers on which a unit is running.
    pub fn workers_running(&self, name: &str) -> Vec<&String> {
        let runs = |worker: &Worker| worker.runs.keys().any(|(unit, _)| unit == name);
        self.workers.iter().filter(|(_, w)| !w.is_down && runs(w)).map(|(id, _)| id).collect()
    }

    /// Returns the state of a job.
    pub fn state(&self, queue: &str, id: &str) -> jobs::State {
        self.ledger.find_job(&queue.to_string(), id).unwrap().state
    }
}
