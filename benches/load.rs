//! Load surges over faulty targets: the system compared with a baseline of round-robin with
//! fixed limits and retries after any failure. Both get the same arrivals, one after the
//! other.
//!
//! The rates of two pools rise in turn to five times their base rate, which is above their
//! capacity, and fall to a twentieth in between. In each pool one target fails every request,
//! one is four times slower, and one stops answering half-way. Requests to the pool `gate`
//! must not run twice.

#[allow(dead_code)]
#[path = "../tests/workdir.rs"]
mod workdir;

use async_std::task;
use hdrhistogram::Histogram;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use standin::client::{Call, Connection};
use standin::{Behaviour, Settings, Target};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};
use workdir::{TARGET_TOKEN, Workdir};

const LOAD_TIME: Duration = Duration::from_secs(24);
const PHASE_TIME: Duration = Duration::from_secs(4);
const DEADLINE: Duration = Duration::from_millis(1500);
const WORK_TIME: Duration = Duration::from_millis(100);
const SLOW_WORK_TIME: Duration = Duration::from_millis(400);
/// Targets of each pool.
const TARGETS: usize = 5;
/// Requests that a target runs at once; also the baseline's fixed limit.
const SLOTS: usize = 8;
/// Requests per second to a pool in a phase without surge or lull. Its five targets serve
/// 400 when none is faulty.
const BASE_RATE: f64 = 100.0;
const SURGE_FACTOR: f64 = 5.0;
const LULL_FACTOR: f64 = 0.05;
const POOLS: [&str; 2] = ["gate", "status"];
const BASELINE_ATTEMPTS: usize = 3;
const BASELINE_TIMEOUT: Duration = Duration::from_millis(500);

fn main() {
    for seed in 1..=3 {
        let arrivals = arrivals(seed);
        println!(
            "seed {seed}: {} requests in {LOAD_TIME:?}, deadline {DEADLINE:?}",
            arrivals.len()
        );
        println!(
            "{:>10} {:>7} {:>6} {:>6} {:>8} {:>8} {:>6} {:>8} {:>8}",
            "policy", "pool", "good", "late", "not-run", "unknown", "failed", "doubled", "p99 ms"
        );
        for policy in ["baseline", "system"] {
            task::block_on(run(policy, &arrivals));
        }
    }
}

/// A request of the load, and its time from the start.
#[derive(Clone)]
struct Arrival {
    at: Duration,
    pool: &'static str,
}

/// Returns the requests to both pools in order of time. Each pool passes through phases of
/// base rate, surge and lull; they are shifted, so that only one pool surges at a time.
fn arrivals(seed: u64) -> Vec<Arrival> {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut all = Vec::new();
    for (number, pool) in POOLS.into_iter().enumerate() {
        let mut at = Duration::ZERO;
        while at < LOAD_TIME {
            let phase = (at.as_secs() / PHASE_TIME.as_secs()) as usize % 3;
            let factor = match (phase + number * 2) % 3 {
                0 => 1.0,
                1 => SURGE_FACTOR,
                _ => LULL_FACTOR,
            };
            let gap = -rng.random_range(f64::EPSILON..1.0_f64).ln() / (BASE_RATE * factor);
            at += Duration::from_secs_f64(gap);
            all.push(Arrival { at, pool });
        }
    }
    all.sort_by_key(|arrival| arrival.at);
    all
}

/// How a request ended.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
enum End {
    Answered,
    NotRun,
    Unknown,
    Failed,
}

/// A request that has ended.
struct Sample {
    pool: &'static str,
    end: End,
    elapsed: Duration,
}

async fn run(policy: &'static str, arrivals: &[Arrival]) {
    let workdir = Workdir::with_shape(&[("a", "north", true), ("b", "north", false)]).run_all();
    workdir.write("records.yaml", &records());
    workdir.succeed("a", &["record", "submit", "records.yaml", "--wait", "30"]);
    let targets = start_targets(&workdir).await;
    for pool in POOLS {
        workdir.wait_for_targets(&["a", "b"], pool, TARGETS);
    }
    let client = Arc::new(Client::new(policy, &workdir, &targets));
    let start = Instant::now();
    let mut tasks = Vec::new();
    let mut is_silenced = false;
    for (number, arrival) in arrivals.iter().enumerate() {
        task::sleep(arrival.at.saturating_sub(start.elapsed())).await;
        if !is_silenced && start.elapsed() > LOAD_TIME / 2 {
            is_silenced = true;
            targets.values().for_each(|of_pool| of_pool[2].set_behaviour(Behaviour::Silent));
        }
        let (client, pool) = (client.clone(), arrival.pool);
        tasks.push(task::spawn(async move {
            let sent = Instant::now();
            let end = client.send(pool, number).await;
            Sample { pool, end, elapsed: sent.elapsed() }
        }));
    }
    let mut samples = Vec::new();
    for task in tasks {
        samples.push(task.await);
    }
    for pool in POOLS {
        report(policy, pool, &samples, &targets[pool]);
    }
    for target in targets.into_values().flatten() {
        target.stop().await;
    }
}

fn report(policy: &str, pool: &str, samples: &[Sample], targets: &[Target]) {
    let of_pool: Vec<&Sample> = samples.iter().filter(|sample| sample.pool == pool).collect();
    let count = |end| of_pool.iter().filter(|sample| sample.end == end).count();
    let mut answered = Histogram::<u64>::new(3).expect("three digits are valid");
    let mut good = 0;
    for sample in of_pool.iter().filter(|sample| sample.end == End::Answered) {
        answered.record(sample.elapsed.as_millis() as u64).expect("no bound is set");
        good += usize::from(sample.elapsed <= DEADLINE);
    }
    let mut runs: BTreeMap<String, u32> = BTreeMap::new();
    for (body, count) in targets.iter().flat_map(Target::runs) {
        *runs.entry(body).or_default() += count;
    }
    let doubled = runs.values().filter(|count| **count > 1).count();
    println!(
        "{policy:>10} {pool:>7} {good:>6} {:>6} {:>8} {:>8} {:>6} {doubled:>8} {:>8}",
        count(End::Answered) - good,
        count(End::NotRun),
        count(End::Unknown),
        count(End::Failed),
        answered.value_at_quantile(0.99)
    );
}

fn records() -> String {
    let mut text = String::new();
    for pool in POOLS {
        text += &format!(
            "kind: pool\nschema: 1\nname: {pool}\nspec: {{description: x, size: {TARGETS}}}\n---\n"
        );
        for number in 0..TARGETS {
            text += &format!(
                "kind: instance\nschema: 1\nname: {pool}-{number}\nspec: {{pool: {pool}, \
                 data_centre: north, rack: r{number}, cores: 1, memory_gb: 1, slots: {SLOTS}, \
                 connections: 64}}\n---\n"
            );
        }
    }
    text
}

async fn start_targets(workdir: &Workdir) -> BTreeMap<&'static str, Vec<Target>> {
    let mut all = BTreeMap::new();
    for pool in POOLS {
        let mut of_pool = Vec::new();
        for number in 0..TARGETS {
            let settings = Settings {
                instance: format!("{pool}-{number}"),
                listen: ([127, 0, 0, 1], 0).into(),
                entries: vec![workdir.entry("a").ports.targets],
                token: TARGET_TOKEN.to_string(),
                work: if number == 1 { SLOW_WORK_TIME } else { WORK_TIME },
                slots: SLOTS,
            };
            of_pool.push(Target::start(settings).await.expect("a port is free"));
        }
        of_pool[0].set_behaviour(Behaviour::Fail);
        all.insert(pool, of_pool);
    }
    all
}

/// Sends requests by one of the two policies, `system` or `baseline`.
struct Client {
    policy: &'static str,
    entries: Vec<SocketAddr>,
    baseline_targets: BTreeMap<&'static str, Vec<BaselineTarget>>,
    next_target: AtomicUsize,
}

/// A target as the baseline knows it: its address and the requests sent to it.
struct BaselineTarget {
    address: SocketAddr,
    in_flight: AtomicUsize,
}

impl Client {
    fn new(
        policy: &'static str,
        workdir: &Workdir,
        targets: &BTreeMap<&'static str, Vec<Target>>,
    ) -> Client {
        let baseline_target =
            |target: &Target| BaselineTarget { address: target.address(), in_flight: 0.into() };
        Client {
            policy,
            entries: workdir.entries.iter().map(|entry| entry.ports.callers).collect(),
            baseline_targets: targets
                .iter()
                .map(|(p, all)| (*p, all.iter().map(baseline_target).collect()))
                .collect(),
            next_target: AtomicUsize::new(0),
        }
    }

    async fn send(&self, pool: &'static str, number: usize) -> End {
        let body = format!("{pool} {number}");
        if self.policy == "system" {
            self.through_entry(pool, number, body).await
        } else {
            self.send_baseline(pool, body).await
        }
    }

    async fn through_entry(&self, pool: &str, number: usize, body: String) -> End {
        let entry = self.entries[number % self.entries.len()];
        let Ok(connection) = Connection::open(entry, DEADLINE).await else { return End::Failed };
        let mut call = Call::new(entry, format!("/pools/{pool}/work")).post(body);
        call.timeout = DEADLINE * 2;
        if pool == "gate" {
            let Ok(issued) = connection.send(Call::new(entry, "/keys").post("")).await else {
                return End::Failed;
            };
            let value: serde_json::Value = serde_json::from_slice(&issued.body).unwrap_or_default();
            call = call.header("idempotency-key", value["key"].as_str().unwrap_or_default());
        }
        let deadline = DEADLINE.as_millis().to_string();
        match connection.send(call.header("deadline-ms", deadline)).await {
            Ok(answer) => match answer.header("request-outcome") {
                "answered" if answer.status == 200 => End::Answered,
                "not-run" => End::NotRun,
                "unknown" => End::Unknown,
                _ => End::Failed,
            },
            Err(_) => End::Failed,
        }
    }

    /// Sends a request to the next target below its fixed limit, and to another one after any
    /// failure.
    async fn send_baseline(&self, pool: &str, body: String) -> End {
        let targets = &self.baseline_targets[pool];
        for _ in 0..BASELINE_ATTEMPTS {
            let from = self.next_target.fetch_add(1, Ordering::Relaxed);
            let below = (0..targets.len())
                .map(|step| &targets[(from + step) % targets.len()])
                .find(|target| target.in_flight.load(Ordering::Acquire) < SLOTS);
            let Some(target) = below else { continue };
            target.in_flight.fetch_add(1, Ordering::AcqRel);
            let mut call = Call::new(target.address, "/work").post(body.clone());
            call.timeout = BASELINE_TIMEOUT;
            let answer = call.send().await;
            target.in_flight.fetch_sub(1, Ordering::AcqRel);
            if answer.is_ok_and(|answer| answer.status == 200) {
                return End::Answered;
            }
        }
        End::Failed
    }
}
