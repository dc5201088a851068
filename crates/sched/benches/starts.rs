//! Processor time of the scheduler and the ledger for one started unit, by the number of
//! workers and of client accounts. Four pools surge in turn, each with more work than it can start
//! at once; in the last lines some thousand jobs wait all the time.
//!
//! `cargo bench -p skylarkwinch-sched --bench starts`

use jobs::account::{Account, Accounts};
use jobs::command::{Command, EndReason, Submit};
use jobs::definition::{Definition, Resources, Step};
use jobs::{Config, Incarnation, Ledger, Pool, Queue, RunNumber};
use sched::fence::Fences;
use sched::order::{Answer, Finished, Order, RunLists, RunStatus};
use sched::scheduler::{PollReply, StartReply, Time};
use sched::{Report, Roster, Scheduler, Settings};
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

const POOLS: usize = 4;
const TICK: Duration = Duration::from_millis(10);
const DURATION: Duration = Duration::from_secs(12);
/// Time for which one pool surges before the next one does.
const SURGE: Duration = Duration::from_secs(3);
const RUN_TIME: Duration = Duration::from_millis(640);
/// Units of the surging pool that arrive each second for each worker of that pool.
const UNITS_PER_WORKER: f64 = 14.0;
const UNITS_PER_JOB: u32 = 8;

/// A worker that runs everything for [`RUN_TIME`].
struct Worker {
    report: Report,
    runs: BTreeMap<(String, RunNumber), Duration>,
    finished: Vec<Finished>,
    ends: u64,
    poll: Option<(Duration, Duration, u64)>,
}

struct World {
    now: Duration,
    ledger: Ledger,
    scheduler: Scheduler,
    workers: Vec<Worker>,
    /// Number of accounts that jobs belong to in turn; 0 for none.
    accounts: usize,
    /// Time spent in the scheduler and the ledger.
    spent: Duration,
    started: u64,
}

fn config(accounts: usize) -> Config {
    let mut config = Config { version: 1, ..Config::default() };
    if accounts > 0 {
        let mut declared = Accounts::default();
        for number in 0..accounts {
            let weight = 1.0 + number as f64 % 7.0;
            let cap = Resources { cpu_milli: 100_000, ..Resources::default() };
            declared.add(account(number), Account { weight, cap }, []).expect("a new name");
        }
        config.accounts = Some(declared);
    }
    for pool in 0..POOLS {
        let queue = Queue {
            prefix: format!("/{pool}/"),
            pool: format!("p{pool}"),
            base_objective: Duration::from_millis(600),
            critical_path_factor: 1.6,
            max_attempts: 3,
            ..Queue::default()
        };
        config.queues.insert(format!("q{pool}"), queue);
        config.pools.insert(format!("p{pool}"), Pool::default());
    }
    config
}

fn account(number: usize) -> String {
    format!("account-{number:03}")
}

fn report(number: usize) -> Report {
    Report {
        incarnation: Incarnation::new(format!("i-{number:08x}"), 1),
        instance: format!("m-{number:05x}"),
        address: format!("10.{}.{}.1:80", number / 256, number % 256).parse().unwrap(),
        pool: format!("p{}", number % POOLS),
        data_centre: ["north", "south", "west"][number % 3].to_string(),
        labels: vec!["a".to_string(), format!("rack{}", number / 20)],
        capacity: Resources { cpu_milli: 32_000, memory_mb: 131_072, accelerators: 0 },
        draining: false,
        remaining: None,
        number: 1,
    }
}

impl World {
    fn new(workers: usize, accounts: usize) -> World {
        let mut ledger = Ledger::new(Duration::from_secs(120));
        ledger.apply(Command::Configure(Box::new(config(accounts))));
        let now = Duration::from_secs(100);
        let time = Time { monotonic: now, wall: 1_000_000 };
        let settings = Settings::default();
        let mut scheduler =
            Scheduler::new(settings, Fences::between(0, 1), time, &ledger, &Roster::default());
        let workers: Vec<Worker> = (0..workers)
            .map(|number| Worker {
                report: report(number),
                runs: BTreeMap::new(),
                finished: Vec::new(),
                ends: 0,
                poll: None,
            })
            .collect();
        for worker in &workers {
            scheduler.on_report(time, &ledger, &worker.report);
        }
        World { now, ledger, scheduler, workers, accounts, spent: Duration::ZERO, started: 0 }
    }

    fn time(&self) -> Time {
        Time { monotonic: self.now, wall: 900_000 + self.now.as_millis() as u64 }
    }

    /// Calls the scheduler and the ledger, and adds the time that they take.
    fn timed<T>(&mut self, call: impl FnOnce(&mut Scheduler, &mut Ledger, Time) -> T) -> T {
        let time = self.time();
        let started_at = Instant::now();
        let result = call(&mut self.scheduler, &mut self.ledger, time);
        self.spent += started_at.elapsed();
        result
    }

    fn apply(&mut self, command: Command) {
        self.timed(|scheduler, ledger, time| {
            for event in ledger.apply(command).1 {
                scheduler.on_event(time, ledger, &event);
            }
        });
    }

    fn submit(&mut self, pool: usize, number: u64) {
        let resources = Resources { cpu_milli: 3100, memory_mb: 6300, accelerators: 0 };
        let step = Step { count: UNITS_PER_JOB, resources, estimate: RUN_TIME, ..Step::default() };
        let definition = Definition { spec: "x".repeat(1000), steps: vec![step], schedule: None };
        let at = self.time().wall;
        let (queue, id) = (format!("q{pool}"), format!("{number:016x}"));
        let owner = (number as usize).checked_rem(self.accounts).map(account);
        self.apply(Command::Submit(Submit { queue, place: None, id, definition, owner, at }));
    }

    fn tick(&mut self) {
        self.now += TICK;
        for index in 0..self.workers.len() {
            self.answer_poll(index);
        }
        let mut orders = self.decide();
        while !orders.is_empty() {
            orders.into_iter().for_each(|order| self.execute(order));
            orders = self.decide();
        }
    }

    fn decide(&mut self) -> Vec<Order> {
        let output = self.timed(|scheduler, ledger, time| scheduler.decide(time, ledger));
        output.proposals.into_iter().for_each(|command| self.apply(command));
        output.orders
    }

    fn execute(&mut self, order: Order) {
        let (now, wall) = (self.now, self.time().wall);
        let index = |id: &str| usize::from_str_radix(&id[2..], 16).unwrap();
        match order {
            Order::Poll(to, poll) => {
                let worker = &mut self.workers[index(&to.incarnation.worker)];
                worker.finished.retain(|end| end.number > poll.acknowledged_through);
                worker.poll = Some((poll.sent_at, now + poll.max_wait, wall));
            }
            Order::Start(to, start) => {
                let worker = &mut self.workers[index(&to.incarnation.worker)];
                worker.runs.insert((start.name, start.run), now + RUN_TIME);
                self.started += 1;
                let (incarnation, unit, run) = (to.incarnation, start.unit, start.run);
                let reply = StartReply::new(incarnation, unit, run, Answer::Done(()).into());
                self.timed(|scheduler, ledger, time| scheduler.on_start_reply(time, ledger, reply));
            }
            _ => {}
        }
    }

    fn answer_poll(&mut self, index: usize) {
        let (now, wall) = (self.now, self.time().wall);
        let worker = &mut self.workers[index];
        let ended: Vec<_> = worker.runs.extract_if(.., |_, end| *end <= now).collect();
        for ((name, run), _) in ended {
            worker.ends += 1;
            let (number, reason, checkpoint) = (worker.ends, EndReason::Done, String::new());
            worker.finished.push(Finished { number, name, run, reason, checkpoint });
        }
        let Some((sent_at, until, _)) = worker.poll else { return };
        if worker.finished.is_empty() && now < until {
            return;
        }
        worker.poll = None;
        let status = |(name, run): &(String, RunNumber)| RunStatus {
            name: name.clone(),
            run: *run,
            checkpoint: String::new(),
            progress_percent: 50,
            measurement: 3100,
        };
        let running = worker.runs.keys().map(status).collect();
        let finished = worker.finished.clone();
        let run_lists = RunLists {
            has_more_ends: false,
            started_at: Some(1),
            clock_ms: wall,
            running,
            finished,
            ..RunLists::default()
        };
        let incarnation = worker.report.incarnation.clone();
        let reply = PollReply { incarnation, sent_at, answer: Answer::Done(run_lists) };
        self.timed(|scheduler, ledger, time| scheduler.on_poll_reply(time, ledger, reply));
    }
}

/// Plays the load and prints a line. `waiting` jobs are there from the beginning.
fn measure(workers: usize, accounts: usize, waiting: u64) {
    let mut world = World::new(workers, accounts);
    let (mut jobs, mut due) = (0, 0.0);
    while jobs < waiting {
        jobs += 1;
        world.submit(jobs as usize % POOLS, jobs);
    }
    for _ in 0..50 {
        world.tick();
    }
    (world.spent, world.started) = (Duration::ZERO, 0);
    let started_at = world.now;
    while world.now < started_at + DURATION {
        let elapsed = world.now - started_at;
        let pool = (elapsed.as_millis() / SURGE.as_millis()) as usize % POOLS;
        due += UNITS_PER_WORKER * (workers / POOLS) as f64 * TICK.as_secs_f64();
        while due >= f64::from(UNITS_PER_JOB) {
            due -= f64::from(UNITS_PER_JOB);
            jobs += 1;
            world.submit(pool, jobs);
        }
        world.tick();
    }
    println!(
        "{workers:7} {accounts:8} {waiting:7} {:9} {:11.1} {:17.3}",
        world.started,
        world.spent.as_secs_f64() * 1e6 / world.started as f64,
        world.spent.as_secs_f64() / DURATION.as_secs_f64()
    );
}

fn main() {
    println!("workers accounts waiting   started   us a unit   processor share");
    for workers in [50, 350, 1000, 3000] {
        measure(workers, 0, 0);
    }
    for accounts in [0, 20, 350] {
        measure(350, accounts, 0);
    }
    for accounts in [0, 20, 350] {
        measure(350, accounts, 5000);
    }
}
