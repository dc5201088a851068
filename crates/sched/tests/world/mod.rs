//! A scheduler, its ledger and scripted workers on a fake clock.

use jobs::command::{Command, EndReason, Submit};
use jobs::config::Advice;
use jobs::definition::{Definition as JobDefinition, Resources, Step};
use jobs::{Config, Incarnation, Ledger, Pool, Queue, RunNumber};
use sched::instance::{self, Instance};
use sched::order::{
    Answer, Destination, Finished, Move, Order, Poll, Refusal, RunLists, RunStatus, Start,
};
use sched::scheduler::{
    AdviseReply, MaintenanceReply, MoveReply, PaceReply, PollReply, StartReply, StopReply, Time,
};
use sched::{Report, Roster, Scheduler, Settings};
use std::collections::BTreeMap;
use std::time::Duration;

/// Time of one step of the world.
pub const STEP: Duration = Duration::from_millis(10);
/// Time between two reports of a worker.
pub const REPORTS: Duration = Duration::from_millis(1500);
/// Pool whose machines are off.
pub const STANDBY: &str = "spare";
/// Time after which an order that gets no answer is carried out.
pub const LATE: Duration = Duration::from_secs(9);

/// A worker that does what it is told.
#[derive(Clone, Debug)]
pub struct Worker {
    pub report: Report,
    /// It answers nothing and runs nothing.
    pub dead: bool,
    /// It runs on but can't be reached.
    pub cut: bool,
    /// Its starts get no answer; they are carried out if `carries_out`.
    pub mute: bool,
    pub carries_out: bool,
    /// All that it starts fails at once.
    pub fails: bool,
    /// Calls for its lists stay open.
    pub slow: bool,
    /// What it runs makes no progress.
    pub stands_still: bool,
    pub fence: u64,
    pub expires: Duration,
    pub runs: BTreeMap<(String, RunNumber), Duration>,
    pub finished: Vec<Finished>,
    pub ends: u64,
    pub barred: BTreeMap<String, RunNumber>,
    /// Shares of runs that were told one.
    pub shares: BTreeMap<(String, RunNumber), u32>,
    poll: Option<(Destination, Poll, Duration)>,
}

/// A start as a worker carried it out.
#[derive(Clone, Debug, PartialEq)]
pub struct Begun {
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
    pub begun: Vec<Begun>,
    pub maintenances: Vec<(Duration, String)>,
    pub moves: Vec<(Duration, String, String)>,
    pub span: BTreeMap<String, Duration>,
    /// Workers that the policy of queue `r` allows, and how often it was asked.
    pub allowed: Vec<String>,
    pub asked: usize,
    /// Orders to move that are yet to get no answer and to be carried out late.
    pub late_moves: usize,
    /// Orders that are on their way.
    late: Vec<(Duration, Move)>,
    /// Highest fence that the cloud has seen for each machine.
    fences: BTreeMap<String, u64>,
    /// Units that a move or an upkeep ended.
    pub cut_short: Vec<(Duration, String)>,
    /// Machines that come back: when, and in which pool.
    back: BTreeMap<String, (Duration, String)>,
    started_at: u64,
    fence: u64,
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
    /// Workers `w0`.. of pool `p` with 8 cores each, and queues `q` and `r` on it.
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
        let scheduler = Scheduler::new(settings, 1, time, &ledger, &Roster::default());
        let mut world = World {
            now,
            ledger,
            scheduler,
            workers: BTreeMap::new(),
            begun: Vec::new(),
            maintenances: Vec::new(),
            moves: Vec::new(),
            span: BTreeMap::new(),
            allowed: Vec::new(),
            asked: 0,
            late_moves: 0,
            late: Vec::new(),
            fences: BTreeMap::new(),
            cut_short: Vec::new(),
            back: BTreeMap::new(),
            started_at: 1,
            fence: 1,
        };
        for number in 0..count {
            world.add(&format!("w{number}"), "p", 1);
        }
        world.run(Duration::from_millis(200));
        world
    }

    /// Adds a worker, or a new life of one.
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
        let worker = Worker {
            report: report.clone(),
            dead: false,
            cut: false,
            mute: false,
            carries_out: true,
            fails: false,
            slow: false,
            stands_still: false,
            fence: 0,
            expires: Duration::ZERO,
            runs: BTreeMap::new(),
            finished: Vec::new(),
            ends: 0,
            barred: BTreeMap::new(),
            shares: BTreeMap::new(),
            poll: None,
        };
        self.workers.insert(id.to_string(), worker);
        let time = self.time();
        self.scheduler.on_report(time, &self.ledger, &report);
    }

    pub fn time(&self) -> Time {
        Time { monotonic: self.now, wall: 900_000 + self.now.as_millis() as u64 }
    }

    /// Another leader takes over, which has heard of every other worker; the rest
    /// report to it within [`REPORTS`].
    pub fn take_over(&mut self) {
        self.fence += 1;
        let mut roster = Roster::default();
        for worker in self.workers.values().step_by(2) {
            roster.record(self.now, worker.report.clone());
        }
        let time = self.time();
        self.scheduler =
            Scheduler::new(Settings::default(), self.fence, time, &self.ledger, &roster);
        self.workers.values_mut().for_each(|worker| worker.poll = None);
    }

    pub fn submit(&mut self, queue: &str, id: &str, steps: Vec<Step>) {
        let definition = JobDefinition { spec: id.to_string(), steps, schedule: None };
        let at = self.time().wall;
        let submit = Submit { queue: queue.to_string(), id: id.to_string(), definition, at };
        self.apply(Command::Submit(submit));
    }

    pub fn apply(&mut self, command: Command) {
        let time = self.time();
        let (_, events) = self.ledger.apply(command);
        for event in events {
            self.scheduler.on_event(time, &self.ledger, &event);
        }
    }

    pub fn run(&mut self, span: Duration) {
        let end = self.now + span;
        while self.now < end {
            self.tick();
        }
    }

    fn tick(&mut self) {
        self.now += STEP;
        self.bring_back();
        let now = self.now;
        let due = |(at, _): &mut (Duration, Move)| *at <= now;
        for (_, order) in self.late.extract_if(.., due).collect::<Vec<_>>() {
            self.move_instance(&order);
        }
        if self.now.as_millis().is_multiple_of(REPORTS.as_millis()) {
            let time = self.time();
            for worker in self.workers.values().filter(|worker| !worker.dead && !worker.cut) {
                self.scheduler.on_report(time, &self.ledger, &worker.report);
            }
        }
        let ids: Vec<String> = self.workers.keys().cloned().collect();
        for id in &ids {
            self.work(id);
        }
        let time = self.time();
        let decision = self.scheduler.decide(time, &self.ledger);
        for command in decision.proposals {
            self.apply(command);
        }
        let mut orders = decision.orders;
        while !orders.is_empty() {
            for order in orders {
                self.carry_out(order);
            }
            let decision = self.scheduler.decide(time, &self.ledger);
            for command in decision.proposals {
                self.apply(command);
            }
            orders = decision.orders;
        }
        for id in &ids {
            self.answer_poll(id);
        }
    }

    fn work(&mut self, id: &str) {
        let (now, spans) = (self.now, self.span.clone());
        let Some(worker) = self.workers.get_mut(id) else { return };
        if worker.dead {
            worker.runs.clear();
            return;
        }
        if now > worker.expires {
            for (name, run) in std::mem::take(&mut worker.runs).into_keys() {
                worker.end(name, run, EndReason::Lapsed);
            }
        }
        let over: Vec<(String, RunNumber)> = worker
            .runs
            .iter()
            .filter(|((name, _), began)| {
                let id = name.split('.').next().unwrap_or_default();
                spans.get(id).is_some_and(|span| now >= **began + *span) && !worker.stands_still
            })
            .map(|(key, _)| key.clone())
            .collect();
        for (name, run) in over {
            worker.runs.remove(&(name.clone(), run));
            worker.end(name, run, EndReason::Done);
        }
    }

    fn carry_out(&mut self, order: Order) {
        let time = self.time();
        match order {
            Order::Poll(to, poll) => {
                if let Some(worker) = self.workers.get_mut(&to.incarnation.worker) {
                    worker.poll = Some((to, poll, self.now));
                }
            }
            Order::Start(to, start) => {
                let answer = self.start(&to, &start);
                let (unit, run) = (start.unit, start.run);
                let started = StartReply { incarnation: to.incarnation, unit, run, answer };
                self.scheduler.on_start_reply(time, &self.ledger, started);
            }
            Order::Stop(to, stop) => {
                let answer = match self.workers.get_mut(&to.incarnation.worker) {
                    Some(worker) if !worker.dead && !worker.cut => {
                        worker.fence = worker.fence.max(stop.fence);
                        let barred = worker.barred.entry(stop.name.clone()).or_default();
                        *barred = (*barred).max(stop.run);
                        if worker.runs.remove(&(stop.name.clone(), stop.run)).is_some() {
                            worker.end(stop.name, stop.run, EndReason::Stopped);
                        }
                        Answer::Done(())
                    }
                    _ => Answer::Unknown,
                };
                let stopped = StopReply {
                    incarnation: to.incarnation,
                    unit: stop.unit,
                    run: stop.run,
                    answer,
                };
                self.scheduler.on_stop_reply(time, stopped);
            }
            Order::Maintain(order) => {
                self.maintenances.push((self.now, order.instance.clone()));
                let answer =
                    match self.workers.values().any(|w| w.report.instance == order.instance) {
                        true => Answer::Done(()),
                        false => Answer::Refused(Refusal::State),
                    };
                self.take(&order.instance, None, Settings::default().maintenance_duration);
                let (instance, wave) = (order.instance, order.wave);
                let upkept = MaintenanceReply { instance, wave, answer };
                self.scheduler.on_maintenance_reply(time, upkept);
            }
            Order::Move(order) => {
                let answer = match self.late_moves {
                    0 => self.move_instance(&order),
                    _ => {
                        self.late_moves -= 1;
                        self.late.push((self.now + LATE, order.clone()));
                        Answer::Unknown
                    }
                };
                let moved = MoveReply { instance: order.instance, answer };
                self.scheduler.on_move_reply(time, moved);
            }
            Order::ListInstances => {
                let away = |id: &String| self.back.contains_key(id);
                let instances = self.workers.iter().map(|(id, w)| w.instance(away(id))).collect();
                self.scheduler.on_instance_list(time, instances);
            }
            Order::Pace(to, pace) => {
                if let Some(worker) = self.workers.get_mut(&to.incarnation.worker) {
                    worker.shares.insert((pace.name, pace.run), pace.percent);
                }
                let (incarnation, unit, run, percent) =
                    (to.incarnation, pace.unit, pace.run, pace.percent);
                let answer = Answer::Done(());
                self.scheduler.on_pace_reply(PaceReply { incarnation, unit, run, percent, answer });
            }
            Order::Advise(advise) => {
                self.asked += 1;
                let allowed = self.allowed.iter().map(|id| (id.clone(), format!("for {id}")));
                let answer = Answer::Done(allowed.collect());
                let advised = AdviseReply { step: advise.step, workers: advise.workers, answer };
                self.scheduler.on_advise_reply(time, &self.ledger, advised);
            }
        }
    }

    /// The cloud carries out a move, unless the machine is in that pool already.
    fn move_instance(&mut self, order: &Move) -> Answer<()> {
        let mut workers = self.workers.values();
        let Some(worker) = workers.find(|w| w.report.instance == order.instance) else {
            return Answer::Refused(Refusal::State);
        };
        let fence = self.fences.entry(order.instance.clone()).or_default();
        if order.fence < *fence {
            return Answer::Refused(Refusal::Fence);
        }
        *fence = order.fence;
        let pool = match self.back.get(&worker.report.incarnation.worker) {
            Some((_, pool)) => pool,
            None => &worker.report.pool,
        };
        if *pool != order.pool {
            self.moves.push((self.now, order.instance.clone(), order.pool.clone()));
            self.take(&order.instance, Some(order.pool.clone()), Settings::default().move_duration);
        }
        Answer::Done(())
    }

    /// The cloud takes a machine; all that ran on it is over.
    fn take(&mut self, instance: &str, pool: Option<String>, span: Duration) {
        let back = self.now + span;
        for worker in self.workers.values_mut().filter(|w| w.report.instance == instance) {
            worker.dead = true;
            let ended = std::mem::take(&mut worker.runs).into_keys();
            self.cut_short.extend(ended.map(|(name, _)| (self.now, name)));
            let pool = pool.clone().unwrap_or(worker.report.pool.clone());
            self.back.insert(worker.report.incarnation.worker.clone(), (back, pool));
        }
    }

    /// Machines come back with a new life, or stay off in the standby pool.
    fn bring_back(&mut self) {
        let now = self.now;
        let back: Vec<(String, String)> = self
            .back
            .iter()
            .filter(|(_, (at, _))| now >= *at)
            .map(|(id, (_, pool))| (id.clone(), pool.clone()))
            .collect();
        for (id, pool) in back {
            self.back.remove(&id);
            if pool == STANDBY {
                self.workers.get_mut(&id).unwrap().report.pool = pool;
            } else {
                self.started_at += 1;
                self.add(&id, &pool, self.started_at);
            }
        }
    }

    fn start(&mut self, to: &Destination, start: &Start) -> Answer<()> {
        let Some(worker) = self.workers.get_mut(&to.incarnation.worker) else {
            return Answer::Unknown;
        };
        if worker.dead || worker.cut {
            return Answer::Unknown;
        }
        if start.fence < worker.fence {
            return Answer::Refused(Refusal::Fence);
        }
        if worker.barred.get(&start.name).is_some_and(|barred| start.run <= *barred) {
            return Answer::Refused(Refusal::Old);
        }
        let restricted = self.ledger.jobs()[&start.unit.job].queue == "r";
        if restricted && start.ticket != Some(format!("for {}", to.incarnation.worker)) {
            return Answer::Refused(Refusal::Ticket);
        }
        if !worker.mute || worker.carries_out {
            worker.expires = worker.expires.max(Duration::from_millis(start.lease_expires_ms));
            let key = (start.name.clone(), start.run);
            if let std::collections::btree_map::Entry::Vacant(slot) = worker.runs.entry(key) {
                slot.insert(self.now);
                let (name, run) = (start.name.clone(), start.run);
                self.begun.push(Begun {
                    at: self.now,
                    name,
                    run,
                    worker: to.incarnation.worker.clone(),
                });
                if worker.fails {
                    worker.runs.remove(&(start.name.clone(), start.run));
                    worker.end(start.name.clone(), start.run, EndReason::Failed);
                }
            }
        }
        if worker.mute { Answer::Unknown } else { Answer::Done(()) }
    }

    fn answer_poll(&mut self, id: &str) {
        let (time, now) = (self.time(), self.now);
        let Some(worker) = self.workers.get_mut(id) else { return };
        if worker.slow {
            return;
        }
        let Some((to, poll, since)) = worker.poll.clone() else { return };
        let silent = worker.dead || worker.cut;
        let due = now >= since + poll.max_wait;
        if silent && now < since + poll.max_wait + Duration::from_millis(700) {
            return;
        }
        worker.finished.retain(|end| end.number > poll.acknowledged_through);
        if !silent && !due && worker.finished.is_empty() {
            return;
        }
        worker.poll = None;
        let answer = if silent {
            Answer::Unknown
        } else if poll.fence < worker.fence {
            Answer::Refused(Refusal::Fence)
        } else {
            worker.fence = poll.fence;
            let spans = &self.span;
            if let Some(expires) = poll.lease_expires_ms {
                worker.expires = worker.expires.max(Duration::from_millis(expires));
            }
            Answer::Done(worker.lists(now, spans))
        };
        let held = PollReply { incarnation: to.incarnation, sent_at: poll.sent_at, answer };
        self.scheduler.on_poll_reply(time, &self.ledger, held);
    }

    /// Starts of a unit, over all workers.
    pub fn starts_of(&self, name: &str) -> Vec<&Begun> {
        self.begun.iter().filter(|begun| begun.name == name).collect()
    }

    /// Workers on which a unit runs now.
    pub fn runs_of(&self, name: &str) -> Vec<&String> {
        let runs = |worker: &Worker| worker.runs.keys().any(|(unit, _)| unit == name);
        self.workers.iter().filter(|(_, w)| !w.dead && runs(w)).map(|(id, _)| id).collect()
    }

    /// State of a job.
    pub fn state(&self, queue: &str, id: &str) -> jobs::State {
        self.ledger.find_job(&queue.to_string(), id).unwrap().state
    }
}

impl Worker {
    fn instance(&self, away: bool) -> Instance {
        Instance {
            id: self.report.instance.clone(),
            pool: self.report.pool.clone(),
            state: if away { instance::State::Upkeep } else { instance::State::Up },
            data_centre: self.report.data_centre.clone(),
            labels: self.report.labels.clone(),
            capacity: self.report.capacity,
            worker: Some(self.report.incarnation.worker.clone()),
        }
    }

    fn end(&mut self, name: String, run: RunNumber, reason: EndReason) {
        self.ends += 1;
        let checkpoint = String::new();
        self.finished.push(Finished { number: self.ends, name, run, reason, checkpoint });
    }

    /// Tail of serving work: each percent of filling work beside it adds to it.
    pub fn tail(&self) -> u64 {
        let best_effort = self.runs.keys().filter(|(name, _)| name.starts_with("filling"));
        let share = |key: &(String, RunNumber)| self.shares.get(key).copied().unwrap_or(100);
        20 + best_effort.map(share).map(u64::from).sum::<u64>()
    }

    fn lists(&self, now: Duration, spans: &BTreeMap<String, Duration>) -> RunLists {
        let row = |((name, run), began): (&(String, RunNumber), &Duration)| RunStatus {
            name: name.clone(),
            run: *run,
            checkpoint: String::new(),
            progress_percent: 100.min(match self.stands_still {
                true => 1,
                false => {
                    let job = name.split('.').next().unwrap_or_default();
                    let span = spans.get(job).copied().unwrap_or(Duration::from_millis(500));
                    (now.saturating_sub(*began).as_secs_f64() / span.as_secs_f64() * 100.0) as u32
                }
            }),
            measurement: if name.starts_with("serving") { self.tail() } else { 0 },
        };
        RunLists {
            started_at: Some(self.report.incarnation.started_at),
            clock_ms: now.as_millis() as u64,
            running: self.runs.iter().map(row).collect(),
            finished: self.finished.clone(),
        }
    }
}
