//! Crowds of all kinds beside restarts and changes of leaders, drawn by a seed. `CROWD_FROM` and
//! `CROWD_SEEDS` choose the seeds.

use crate::clients::{Crowd, ask, chunks_that_stop_short, get, with_body};
use crate::lock_machine;
use crate::system::{CALLERS, CONTROL, HEALTH, INTERNAL, PREFIX, System, until};
use crate::watch::Watch;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use rustix::process::{Pid, Signal, kill_process};
use serde_json::json;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::thread;

/// Seeds in a run without `CROWD_SEEDS`.
const SEEDS: u64 = 2;
/// Crowds in a run of one seed.
const ROUNDS: usize = 10;
/// Crowds that stay at the same time; the oldest one leaves.
const MAX_CROWDS: usize = 6;
const EDGE_MEMORY_MB: usize = 64;
const CORE_MEMORY_MB: usize = 96;
const EDGE_CONNECTIONS: usize = 300;
const CORE_CONNECTIONS: usize = 200;
const CORE_HANDSHAKES: usize = 64;
/// Descriptors that a process may have open beside the connections of clients.
const OTHER_DESCRIPTORS: usize = 128;
/// No connection is closed for being idle while a test runs.
const IDLE_MS: u64 = 600_000;
const JOB: &str = r#"{"steps":[{"count":1,"cpu":100,"mem_mb":1,"est_runtime_ms":100}]}"#;

/// A system whose processes are all watched.
struct Stage {
    system: System,
    watches: BTreeMap<u8, Watch>,
}

impl Stage {
    fn start() -> Stage {
        let mut system = System::with_size(3, 2);
        let limits = |memory_mb, max_connections| {
            json!({
                "memory_mb": memory_mb, "max_connections": max_connections, "idle_ms": IDLE_MS,
                "max_handshakes": CORE_HANDSHAKES,
            })
        };
        system.edge_limits = limits(EDGE_MEMORY_MB, EDGE_CONNECTIONS);
        system.core_limits = limits(CORE_MEMORY_MB, CORE_CONNECTIONS);
        system.run_all(true);
        system.wait_for_leader();
        system.configure(1);
        let mut stage = Stage { system, watches: BTreeMap::new() };
        let hosts: Vec<u8> = stage.system.processes.keys().copied().collect();
        hosts.into_iter().for_each(|host| stage.watch(host));
        stage
    }

    fn watch(&mut self, host: u8) {
        self.watches.insert(host, Watch::start(self.system.processes[&host].id()));
    }

    /// Checks what a process has used, and that it lives.
    fn check_process(&mut self, host: u8) {
        let process = self.system.processes.get_mut(&host).unwrap();
        assert_eq!(process.try_wait().unwrap(), None, "process {host} has ended");
        let is_edge = self.system.edges().contains(&host);
        let (memory_mb, connections) = match is_edge {
            true => (EDGE_MEMORY_MB, EDGE_CONNECTIONS),
            false => (CORE_MEMORY_MB, CORE_CONNECTIONS),
        };
        let watch = &self.watches[&host];
        let (memory, descriptors) = (watch.peak_memory(), watch.most_descriptors());
        assert!(memory <= memory_mb * 1_000_000, "process {host}: peak memory {memory} bytes");
        let max_descriptors = connections + OTHER_DESCRIPTORS;
        assert!(descriptors <= max_descriptors, "process {host}: {descriptors} descriptors");
    }

    /// Ends a process by a signal and starts it again.
    fn restart(&mut self, host: u8, signal: Signal) {
        self.check_process(host);
        self.watches.remove(&host);
        let process = self.system.processes.get_mut(&host).unwrap();
        kill_process(Pid::from_child(process), signal).unwrap();
        until("the process has ended", || process.try_wait().unwrap().is_some());
        self.system.run(host, false);
        self.watch(host);
    }

    fn check_ordinary_requests(&self) {
        let edges = self.system.edges().map(|edge| {
            let host = self.system.ip(*self.system.edges().start()).to_string();
            let job = with_body("POST", &host, &format!("{PREFIX}0000000000000001"), JOB);
            (self.system.address(edge, CALLERS), job)
        });
        let health = self
            .system
            .edges()
            .map(|edge| (self.system.address(edge, HEALTH), get("h", "/api/ready")));
        let control = self
            .system
            .cores()
            .map(|core| (self.system.address(core, CONTROL), get("h", "/api/config")));
        for (address, request) in edges.chain(health).chain(control) {
            until(&format!("an ordinary request to {address} is answered"), || {
                ask(address, &request).is_some_and(|(status, _)| status == 200)
            });
        }
    }
}

/// A crowd that is drawn: its address, its size and what each client sends.
type Plan = (SocketAddr, usize, Vec<u8>);

fn draw_crowd(rng: &mut StdRng, system: &System) -> Plan {
    let edge = rng.random_range(system.edges());
    let core = rng.random_range(system.cores());
    let any = rng.random_range(*system.cores().start()..=*system.edges().end());
    let chunk_bytes = [1, 1000, 100_000][rng.random_range(0..3)];
    let path = format!("{PREFIX}0000000000000002");
    let job = chunks_that_stop_short("POST", "h", &path, 100_000, chunk_bytes);
    let config = chunks_that_stop_short("PUT", "h", "/api/config", 2_000_000, 100_000);
    let steps = format!("{{\"steps\":[{}{{}}]}}", "{},".repeat(50_000));
    match rng.random_range(0..10) {
        0 | 1 => (system.address(edge, CALLERS), 300, job),
        2 => (system.address(edge, CALLERS), EDGE_CONNECTIONS + 50, Vec::new()),
        3 => (system.address(edge, CALLERS), 100, with_body("POST", "h", &path, &steps).into()),
        4 => (system.address(edge, HEALTH), 100, b"GET /api/ready HTTP/1.1\r\n".to_vec()),
        5 => (system.address(core, CONTROL), 40, config),
        6 => (system.address(core, CONTROL), CORE_CONNECTIONS + 50, Vec::new()),
        7 => (system.address(core, CONTROL), 150, get("h", "/api/config").into()),
        8 => (system.address(core, INTERNAL.0), 200, b"GET / HTTP/1.1\r\n".to_vec()),
        _ => (system.address(any, INTERNAL.1), 30, Vec::new()),
    }
}

fn play(seed: u64) {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut stage = Stage::start();
    let mut crowds = Vec::new();
    for _ in 0..ROUNDS {
        let (address, count, bytes) = draw_crowd(&mut rng, &stage.system);
        let opening = thread::spawn(move || Crowd::open(address, count, &bytes));
        match rng.random_range(0..6) {
            0 => stage.restart(*stage.system.edges().start(), Signal::TERM),
            1 => stage.restart(*stage.system.edges().end(), Signal::KILL),
            2 => {
                let leader = stage.system.wait_for_leader();
                stage.restart(leader, Signal::KILL);
            }
            3 => {
                let core = rng.random_range(stage.system.cores());
                stage.restart(core, Signal::TERM);
            }
            _ => stage.check_ordinary_requests(),
        }
        crowds.push(opening.join().unwrap());
        if crowds.len() > MAX_CROWDS {
            crowds.remove(0);
        }
    }
    stage.check_ordinary_requests();
    let hosts: Vec<u8> = stage.system.processes.keys().copied().collect();
    hosts.into_iter().for_each(|host| stage.check_process(host));
    drop(stage);
    drop(crowds); // clients stay until the processes are gone
}

#[test]
fn crowds_of_all_kinds_beside_restarts() {
    let _machine = lock_machine();
    let number = |name: &str, default: u64| {
        std::env::var(name).map_or(default, |value| value.parse().expect("a number"))
    };
    let from = number("CROWD_FROM", 1);
    for seed in from..from + number("CROWD_SEEDS", SEEDS) {
        println!("seed {seed}");
        play(seed);
    }
}
