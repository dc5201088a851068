//! Seeded soak: real processes under faults from outside, with clients and workers that check
//! what was promised. docs/OPERATIONS.md says how to run it longer.

mod checker;
mod client;
mod faults;
mod job;
mod planted;

use crate::system::{CALLERS, CONTROL, System, until};
use async_std::task::block_on;
use checker::{History, Kind, Outcome, Run, Violation, check};
use client::{Client, Shared};
use faults::{Final, Fleet, schedule};
use platform_standin::Worker;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// Clients of the probes after the faults have numbers from here on.
const FIRST_PROBE: u64 = 1000;
/// Time for which requests go on after the last fault.
const TRAFFIC_AFTER_FAULTS: Duration = Duration::from_secs(2);
/// Number of violations of one seed that are printed.
const PRINTED_VIOLATIONS: usize = 20;

/// Sizes of a soak; a variable of the environment sets each.
#[derive(Clone, Copy, Debug)]
struct Size {
    cores: u8,
    edges: u8,
    workers: u64,
    clients: u64,
    seconds: u64,
}

fn variable(name: &str, default: u64) -> u64 {
    let value = std::env::var(name).ok();
    value.map_or(default, |value| value.parse().unwrap_or_else(|_| panic!("{name}: no number")))
}

impl Size {
    fn from_environment() -> Size {
        Size {
            cores: variable("SOAK_CORES", 3).clamp(1, 5) as u8,
            edges: variable("SOAK_EDGES", 3).clamp(1, 12) as u8,
            workers: variable("SOAK_WORKERS", 4),
            clients: variable("SOAK_CLIENTS", 12),
            seconds: variable("SOAK_SECONDS", 15),
        }
    }
}

#[test]
fn real_processes_keep_the_promises_under_faults() {
    let size = Size::from_environment();
    let first = variable("SOAK_FROM", 1);
    let seeds = first..first + variable("SOAK_SEEDS", 2);
    let failed: Vec<u64> = seeds.filter(|seed| !is_kept(*seed, size)).collect();
    assert!(failed.is_empty(), "failed seeds: {failed:?}");
}

/// Plays one seed and prints its verdict. Returns whether all promises were kept.
fn is_kept(seed: u64, size: Size) -> bool {
    let span = Duration::from_secs(size.seconds);
    let mut rng = StdRng::seed_from_u64(seed);
    let faults = schedule(&mut rng, size.cores, size.edges, span);
    let last = [Final::All, Final::Edges, Final::Cores][rng.random_range(0..3)];
    let mut system = System::with_size(size.cores, size.edges);
    let start = Instant::now();
    system.log_start = Some(start);
    system.status_s += size.seconds;
    system.run_all(true);
    let shared = Arc::new(Shared {
        start,
        edges: system.edges().map(|edge| (edge, system.address(edge, CALLERS))).collect(),
        stop: AtomicBool::new(false),
        attempts: Default::default(),
        jobs: Default::default(),
    });
    let mut fleet = Fleet::new(system, shared.clone());
    assert!(fleet.configure().join().unwrap(), "seed {seed}: no configuration was acknowledged");
    let control: Vec<_> = fleet.system.cores().map(|c| fleet.system.address(c, CONTROL)).collect();
    let worker = |number| block_on(Worker::start(&format!("w{number}"), "gate", control.clone()));
    let workers: Vec<Worker> = (0..size.workers).map(|number| worker(number).unwrap()).collect();
    let mut probe = Client::new(shared.clone(), seed, FIRST_PROBE);
    until("a job is accepted", || probe.submit(None));

    let clients = (0..size.clients).map(|number| Client::new(shared.clone(), seed, number));
    let clients = in_threads(clients.collect(), |_, client| client.run());
    fleet.play(faults.clone());
    let system = &fleet.system;
    let killed: Vec<u8> = match last {
        Final::All => system.cores().chain(system.edges()).collect(),
        Final::Edges => system.edges().collect(),
        Final::Cores => system.cores().collect(),
    };
    fleet.kill(&killed);
    let faults_end = shared.now();
    let edges: Vec<u8> = fleet.system.edges().collect();
    let probes =
        edges.iter().map(|edge| Client::new(shared.clone(), seed, FIRST_PROBE + u64::from(*edge)));
    let asked = edges.clone();
    let probes = in_threads(probes.collect(), move |number, probe| {
        while !probe.submit(Some(asked[number])) && probe.now() < faults_end + span {}
    });
    std::thread::sleep(TRAFFIC_AFTER_FAULTS);
    shared.stop.store(true, Ordering::Relaxed);
    let mut clients = join(clients);
    let mut probes = join(probes);
    probes.push(probe);

    let questions = Arc::new(questions(&shared, clients.len()));
    clients = join(in_threads(clients, move |number, client| client.ask(&questions[number])));
    clients.extend(probes);
    join(in_threads(clients, |_, client| client.wait_for_ends()));
    let configured = fleet.wait_for_operators();
    fleet.stop();

    let mut history = History {
        jobs: shared.jobs.lock().unwrap().iter().map(|(id, j)| (id.clone(), j.units(id))).collect(),
        attempts: std::mem::take(&mut *shared.attempts.lock().unwrap()),
        runs: Vec::new(),
        exits: std::mem::take(&mut fleet.exits),
        impairments: std::mem::take(&mut fleet.impairments),
        faults_end,
        edges,
    };
    for (number, worker) in workers.into_iter().enumerate() {
        let runs = worker.history().into_iter().map(|((unit, _), record)| Run {
            unit,
            worker: format!("w{number}"),
            started: record.started_at.duration_since(start),
            end: record.end.map(|(at, how)| (at.duration_since(start), how)),
            acknowledged: record.acknowledged,
        });
        history.runs.extend(runs);
        block_on(worker.stop());
    }
    let mut violations = check(&history);
    if !configured {
        let text = "a configuration was not acknowledged".to_string();
        violations.push(Violation { promise: "configuration", text, host: None });
    }
    println!("seed {seed}: {}", summary(&history, faults.len(), last));
    if !violations.is_empty() {
        explain(seed, size, &violations, &mut fleet);
        println!("schedule: {faults:?}, then {last:?} are killed");
    }
    violations.is_empty()
}

fn in_threads(
    clients: Vec<Client>,
    work: impl Fn(usize, &mut Client) + Clone + Send + 'static,
) -> Vec<JoinHandle<Client>> {
    let start = |(number, mut client): (usize, Client)| {
        let work = work.clone();
        std::thread::spawn(move || {
            work(number, &mut client);
            client
        })
    };
    clients.into_iter().enumerate().map(start).collect()
}

fn join(threads: Vec<JoinHandle<Client>>) -> Vec<Client> {
    threads.into_iter().map(|thread| thread.join().unwrap()).collect()
}

/// Returns, for each client, which accepted jobs it asks for and at which edges.
fn questions(shared: &Shared, clients: usize) -> Vec<Vec<(String, u8)>> {
    let attempts = shared.attempts.lock().unwrap();
    let accepted: BTreeSet<&String> = attempts
        .iter()
        .filter(|a| a.kind == Kind::Submit && matches!(a.outcome, Outcome::Answered(200, _)))
        .map(|attempt| &attempt.job)
        .collect();
    let mut questions = vec![Vec::new(); clients];
    let all = accepted.iter().flat_map(|job| shared.edges.iter().map(|(edge, _)| (*job, *edge)));
    for (number, (job, edge)) in all.enumerate() {
        questions[number % clients].push((job.clone(), edge));
    }
    questions
}

fn summary(history: &History, faults: usize, last: Final) -> String {
    let attempts = &history.attempts;
    let count = |kind: Kind| attempts.iter().filter(|a| a.kind == kind).count();
    let with = |test: fn(&Outcome) -> bool| attempts.iter().filter(|a| test(&a.outcome)).count();
    let questions = attempts.iter().filter(|a| a.kind == Kind::Question);
    let answered = questions.filter(|a| matches!(a.outcome, Outcome::Answered(200, _)));
    format!(
        "{} jobs, {} runs, {} submissions, {} questions (slowest answer {:.0?}), {} refused, {} without \
         answer in time, {} broken, {} not sent, {faults} faults, then {last:?} killed",
        history.jobs.len(),
        history.runs.len(),
        count(Kind::Submit),
        count(Kind::Question),
        answered.map(|a| a.ended - a.sent).max().unwrap_or_default(),
        with(|outcome| matches!(outcome, Outcome::Answered(429 | 503, _))),
        with(|outcome| matches!(outcome, Outcome::TimedOut)),
        with(|outcome| matches!(outcome, Outcome::Broken(_))),
        with(|outcome| matches!(outcome, Outcome::NotSent(_))),
    )
}

/// Prints what was broken, the logs of the processes concerned and how to play it again.
fn explain(seed: u64, size: Size, violations: &[Violation], fleet: &mut Fleet) {
    println!("seed {seed} FAILED: {} violations", violations.len());
    for violation in violations.iter().take(PRINTED_VIOLATIONS) {
        println!("  {violation}");
    }
    println!("what was done:\n{}", fleet.log());
    let cores = violations.iter().any(|v| v.host.is_none()).then(|| fleet.system.cores());
    let mut hosts: BTreeSet<u8> = cores.into_iter().flatten().collect();
    hosts.extend(violations.iter().filter_map(|violation| violation.host));
    for host in hosts {
        fleet.system.print_log(host);
    }
    fleet.system.folder.disable_cleanup(true);
    println!("logs and disks are kept in {}", fleet.system.folder.path().display());
    let Size { cores, edges, workers, clients, seconds } = size;
    println!(
        "to play it again: SOAK_FROM={seed} SOAK_SEEDS=1 SOAK_SECONDS={seconds} \
         SOAK_CORES={cores} SOAK_EDGES={edges} SOAK_WORKERS={workers} SOAK_CLIENTS={clients} \
         cargo test --locked --test tests soak::real -- --nocapture"
    );
}
