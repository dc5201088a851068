//! Faults from outside, drawn from a seed, and the processes that they meet.

use super::checker::{Exit, GRACE};
use super::client::{HOST, Shared};
use super::workers::Workers;
use crate::system::{CONTROL, INTERNAL, PREFIX, System};
use async_std::future::timeout;
use async_std::task::block_on;
use futures::future::join_all;
use http_types::Method;
use platform_standin::call;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use rustix::process::{Pid, Signal, kill_process};
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::fs::File;
use std::io::Write;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::os::unix::process::ExitStatusExt;
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

const TICK: Duration = Duration::from_millis(10);
/// Time for the state of a core; ends of processes are noted that much later meanwhile.
const DUMP_TIMEOUT: Duration = Duration::from_millis(200);
/// Time for an answer of a core to an operator.
const CALL_TIMEOUT: Duration = Duration::from_millis(500);
/// Number of times that a configuration is sent, one for each [`CALL_TIMEOUT`] or pause.
const CONFIG_ATTEMPTS: usize = 80;
/// Time for which the loss of a core is put off, and how often at most.
const LOSS_DELAY: Duration = Duration::from_secs(1);
const MAX_LOSS_WAITS: u32 = 20;
/// Time after the faults in which every core has to return the newest configuration.
const CONFIG_TIME: Duration = Duration::from_secs(5);
/// Time after which a process that does not stop is killed, in addition to its grace time.
const KILL_DELAY: Duration = Duration::from_secs(8);

/// A signal or call.
#[derive(Clone, Debug)]
pub enum Fault {
    Term(u8),
    /// SIGKILL and start at once.
    Kill(u8),
    Freeze(u8),
    Thaw(u8),
    /// Freezes the leader, and thaws it after a span.
    FreezeLeader(Duration),
    Hangup(u8),
    /// A new version of the configuration.
    Configure,
    /// Kills workers at one moment; each starts again after a time, under its id, at its address
    /// or another one.
    RestartWorkers(Vec<(u64, Duration, bool)>),
    StartWorker(u64, bool),
    /// Kills a core for good; after a time another one with an empty disk starts in its place. It waits
    /// until the successor of the one before votes, but not for ever.
    ReplaceCore(u8, Duration),
    StartCore(u8),
    /// Kills a worker for good; after a time its instance has another one.
    ReplaceWorker(u64, Duration),
    StartSuccessor(u64),
    /// A share of the orders to all workers, in percent, is carried out late for a span.
    LateOrders(u32, Duration),
    OrdersInTime,
}

/// Which processes are killed and started again at one moment at the end.
#[derive(Clone, Copy, Debug)]
pub enum Final {
    All,
    Edges,
    Cores,
}

/// Edges up to which a rolling stop keeps its drawn gaps; more are stopped in the same time.
const MAX_PACED_EDGES: u32 = 12;

/// Draws faults for a span, each with its time; some begin before the ones before are over.
pub fn schedule(
    rng: &mut StdRng,
    cores: u8,
    edges: u8,
    workers: u64,
    span: Duration,
) -> Vec<(Duration, Fault)> {
    let mut faults = Vec::new();
    let mut at = Duration::from_secs(1);
    let millis = |rng: &mut StdRng, from, to| Duration::from_millis(rng.random_range(from..to));
    let roll = |at: Duration, gap: Duration| {
        let gap = gap * MAX_PACED_EDGES / MAX_PACED_EDGES.max(edges.into());
        (0..edges).map(move |edge| (at + gap * u32::from(edge), Fault::Term(cores + 1 + edge)))
    };
    while at < span {
        let core = rng.random_range(1..=cores);
        let edge = rng.random_range(cores + 1..=cores + edges);
        let any = if rng.random_bool(0.3) { core } else { edge };
        let worker = rng.random_range(0..workers);
        match rng.random_range(0..24) {
            0..2 => {
                let gap = millis(rng, 200, 2500);
                faults.extend(roll(at, gap));
                if rng.random_bool(0.6) {
                    let second = at + gap * u32::from(edges) / 2 + millis(rng, 0, 3000);
                    faults.extend(roll(second, millis(rng, 200, 2500)));
                }
            }
            2..4 => faults.push((at, Fault::Term(any))),
            4 => {
                faults.push((at, Fault::Term(any)));
                faults.push((at + millis(rng, 1, 3000), Fault::Term(any)));
            }
            5..8 => faults.push((at, Fault::Kill(any))),
            8..11 => {
                faults.push((at, Fault::Freeze(any)));
                faults.push((at + millis(rng, 100, 4000), Fault::Thaw(any)));
            }
            11 => faults.push((at, Fault::FreezeLeader(millis(rng, 300, 4000)))),
            12..14 => faults.push((at, Fault::Hangup(any))),
            14..16 => faults.push((at, Fault::Configure)),
            16..19 => faults.push((at, restart(rng, worker..=worker))),
            19..21 => faults.push((at, restart(rng, 0..=workers - 1))),
            21 => {
                let mut again = at;
                for _ in 0..rng.random_range(2..5) {
                    faults.push((again, restart(rng, worker..=worker)));
                    again += millis(rng, 300, 4000);
                }
            }
            22 => faults.push((at, Fault::ReplaceWorker(worker, millis(rng, 0, 3000)))),
            _ => {
                let percent = rng.random_range(5..50);
                faults.push((at, Fault::LateOrders(percent, millis(rng, 1000, 6000))));
            }
        }
        at += millis(rng, 50, 1200);
    }
    faults.sort_by_key(|(at, _)| *at);
    faults
}

/// Draws the times at which cores are lost for good, apart from the other faults.
pub fn core_losses(seed: u64, cores: u8, count: u64, span: Duration) -> Vec<(Duration, Fault)> {
    let mut rng = StdRng::seed_from_u64(!seed);
    let draw = |_| {
        let at = span.mul_f64(rng.random_range(0.1..1.0));
        let down = Duration::from_millis(rng.random_range(0..4000));
        (at, Fault::ReplaceCore(rng.random_range(1..=cores), down))
    };
    (0..count).map(draw).collect()
}

/// Draws for how long each of some workers is down, and whether it keeps its address.
pub fn restart(rng: &mut StdRng, workers: RangeInclusive<u64>) -> Fault {
    let draw = |number| {
        let down = Duration::from_millis(rng.random_range(0..3000));
        (number, down, rng.random_bool(0.5))
    };
    Fault::RestartWorkers(workers.map(draw).collect())
}

/// Longest time for which a signal waits until a process that has just been started handles it.
const MAX_SIGNAL_DELAY: Duration = Duration::from_secs(1);

/// Returns whether a process handles a signal; true once it has ended.
fn catches(pid: Pid, signal: Signal) -> bool {
    let path = format!("/proc/{}/status", pid.as_raw_nonzero());
    let status = std::fs::read_to_string(path).unwrap_or_default();
    let caught = status.lines().find_map(|line| line.strip_prefix("SigCgt:"));
    let mask = caught.and_then(|mask| u64::from_str_radix(mask.trim(), 16).ok());
    mask.is_none_or(|mask| mask >> (signal.as_raw() - 1) & 1 == 1)
}

/// The processes, what they were told and how they ended.
pub struct Fleet {
    pub system: System,
    pub workers: Option<Workers>,
    shared: Arc<Shared>,
    /// When each process that was told to stop was told so first.
    told: BTreeMap<u8, Duration>,
    frozen: BTreeMap<u8, Duration>,
    /// Cores without a successor so far, and when they were lost.
    lost: BTreeMap<u8, Duration>,
    /// How often the next loss was put off.
    loss_waits: u32,
    /// When each process was last seen to run.
    seen: BTreeMap<u8, Duration>,
    stopping: bool,
    version: u64,
    operators: Vec<JoinHandle<bool>>,
    pub exits: Vec<Exit>,
    pub impairments: Vec<(u8, Duration, Duration)>,
    log: Vec<String>,
}

impl Fleet {
    pub fn new(system: System, shared: Arc<Shared>) -> Fleet {
        Fleet {
            system,
            workers: None,
            shared,
            told: BTreeMap::new(),
            frozen: BTreeMap::new(),
            lost: BTreeMap::new(),
            loss_waits: 0,
            seen: BTreeMap::new(),
            stopping: false,
            version: 0,
            operators: Vec::new(),
            exits: Vec::new(),
            impairments: Vec::new(),
            log: Vec::new(),
        }
    }

    /// Returns what was done, with times.
    pub fn log(&self) -> String {
        self.log.join("\n")
    }

    /// Brings about the faults. Returns when all are over and all processes run.
    pub fn play(&mut self, mut faults: Vec<(Duration, Fault)>) {
        let start = self.shared.now();
        while !faults.is_empty() || !self.told.is_empty() {
            while faults.first().is_some_and(|(at, _)| start + *at <= self.shared.now()) {
                let (at, fault) = faults.remove(0);
                self.watch();
                let next = self.bring_about(fault);
                faults.extend(next.into_iter().map(|(span, fault)| (at + span, fault)));
                faults.sort_by_key(|(at, _)| *at);
            }
            self.watch();
            std::thread::sleep(TICK);
        }
    }

    /// Brings about a fault. Returns those that have to follow, each after a span.
    pub fn bring_about(&mut self, fault: Fault) -> Vec<(Duration, Fault)> {
        let now = self.shared.now();
        match fault {
            // A core that is lost has nothing to stop.
            Fault::Term(host) if !self.system.processes.contains_key(&host) => {}
            Fault::Term(host) => {
                self.told.entry(host).or_insert(now);
                self.signal(host, Signal::TERM);
            }
            Fault::Kill(host) => self.kill(&[host]),
            Fault::Freeze(host) => {
                self.signal(host, Signal::STOP);
                self.frozen.entry(host).or_insert(now);
            }
            Fault::Thaw(host) => {
                self.signal(host, Signal::CONT);
                self.end_freeze(host);
            }
            Fault::FreezeLeader(span) => {
                let leader = self.leader();
                self.bring_about(Fault::Freeze(leader));
                return vec![(span, Fault::Thaw(leader))];
            }
            Fault::Hangup(host) => {
                let path = self.system.folder.path().join(format!("p{host}.yaml"));
                File::options().append(true).open(path).unwrap().write_all(b"\n").unwrap();
                self.signal(host, Signal::HUP);
            }
            Fault::Configure => {
                let operator = self.configure();
                self.operators.push(operator);
            }
            Fault::ReplaceCore(core, down) => {
                let is_running = self.system.processes.contains_key(&core);
                let must_wait = self.loss_waits < MAX_LOSS_WAITS && !self.has_only_running_voters();
                if must_wait || !is_running {
                    self.loss_waits += 1;
                    return vec![(LOSS_DELAY, Fault::ReplaceCore(core, down))];
                }
                self.loss_waits = 0;
                self.end(&[core]);
                self.system.lose_disk(core);
                self.lost.insert(core, now);
                return vec![(down, Fault::StartCore(core))];
            }
            Fault::StartCore(core) => {
                self.note(format!("{} takes the place of a lost core", self.system.name(core)));
                self.system.run(core, false);
                let since = self.lost.remove(&core).unwrap_or(now);
                self.impairments.push((core, since, self.shared.now()));
            }
            fault => return self.disturb_workers(fault),
        }
        Vec::new()
    }

    fn disturb_workers(&mut self, fault: Fault) -> Vec<(Duration, Fault)> {
        self.note(format!("{fault:?}"));
        let Some(workers) = &mut self.workers else { return Vec::new() };
        match fault {
            Fault::RestartWorkers(restarts) => {
                restarts.iter().for_each(|(number, ..)| workers.kill(*number));
                let start = |(number, down, same): (u64, Duration, bool)| {
                    (down, Fault::StartWorker(number, same))
                };
                return restarts.into_iter().map(start).collect();
            }
            Fault::StartWorker(number, same_address) => workers.start_again(number, same_address),
            Fault::ReplaceWorker(number, down) => {
                workers.kill(number);
                return vec![(down, Fault::StartSuccessor(number))];
            }
            Fault::StartSuccessor(number) => workers.replace(number),
            Fault::LateOrders(percent, span) => {
                workers.set_late_percent(percent);
                return vec![(span, Fault::OrdersInTime)];
            }
            Fault::OrdersInTime => workers.set_late_percent(0),
            _ => {}
        }
        Vec::new()
    }

    fn note(&mut self, text: String) {
        self.log.push(format!("{:.3} {text}", self.shared.now().as_secs_f64()));
    }

    fn signal(&mut self, host: u8, signal: Signal) {
        let Some(process) = self.system.processes.get(&host) else { return }; // a lost core
        let pid = Pid::from_child(process);
        if matches!(signal, Signal::TERM | Signal::HUP) {
            // No program handles a signal that arrives before its first instruction.
            let until = Instant::now() + MAX_SIGNAL_DELAY;
            while !catches(pid, signal) && Instant::now() < until {
                std::thread::sleep(Duration::from_millis(1));
            }
        }
        kill_process(pid, signal).unwrap();
        self.note(format!("p{host} {signal:?}"));
    }

    fn end_freeze(&mut self, host: u8) {
        if let Some(since) = self.frozen.remove(&host) {
            self.impairments.push((host, since, self.shared.now()));
        }
    }

    /// Kills processes at one moment and starts them again.
    pub fn kill(&mut self, hosts: &[u8]) {
        let from = self.shared.now();
        let is_running = |host: &u8| self.system.processes.contains_key(host);
        let hosts: Vec<u8> = hosts.iter().copied().filter(is_running).collect();
        self.end(&hosts);
        for host in hosts {
            self.system.run(host, false);
            self.impairments.push((host, from, self.shared.now()));
        }
    }

    /// Kills processes at one moment.
    fn end(&mut self, hosts: &[u8]) {
        for host in hosts {
            self.signal(*host, Signal::KILL);
        }
        for host in hosts {
            let Some(mut process) = self.system.processes.remove(host) else { continue };
            let status = process.wait().unwrap();
            let told_at = self.told.remove(host);
            let killed = status.signal() == Some(Signal::KILL.as_raw());
            if told_at.is_some() || !killed {
                let (host, at) = (*host, self.shared.now());
                let seen = self.seen.get(&host).copied().unwrap_or(at);
                self.exits.push(Exit { host, told_at, seen, at, status: Some(status), killed });
            }
            self.end_freeze(*host);
        }
    }

    /// Records the processes that have ended, and starts them again.
    fn watch(&mut self) {
        let hosts: Vec<u8> = self.system.processes.keys().copied().collect();
        for host in hosts {
            let now = self.shared.now();
            let told_at = self.told.get(&host).copied();
            let child = self.system.processes.get_mut(&host).unwrap();
            let status = child.try_wait().unwrap();
            let overdue = told_at.is_some_and(|told| now > told + GRACE + KILL_DELAY);
            if status.is_none() {
                self.seen.insert(host, now);
                if !overdue {
                    continue;
                }
                self.system.kill(host);
            }
            self.note(format!("p{host} ended: {status:?}"));
            self.system.processes.remove(&host);
            self.told.remove(&host);
            self.end_freeze(host);
            let seen = self.seen.get(&host).copied().unwrap_or(now);
            self.exits.push(Exit { host, told_at, seen, at: now, status, killed: false });
            if !self.stopping {
                self.system.run(host, false);
                if !status.is_some_and(|status| status.success()) {
                    self.impairments.push((host, now, self.shared.now()));
                }
            }
        }
    }

    /// Tells all processes to stop and waits for their ends.
    pub fn stop(&mut self) {
        self.stopping = true;
        let hosts: Vec<u8> = self.system.processes.keys().copied().collect();
        for host in hosts {
            self.bring_about(Fault::Term(host));
        }
        while !self.system.processes.is_empty() {
            self.watch();
            std::thread::sleep(TICK);
        }
    }

    /// Returns whether a core leads, and each voter is a core that runs.
    fn has_only_running_voters(&self) -> bool {
        let running: Vec<String> = self.system.cores().map(|core| self.system.name(core)).collect();
        let leader = self.dumps().into_iter().map(|(_, dump)| dump).find(leads).unwrap_or_default();
        let voters = leader["voters"].as_array().cloned().unwrap_or_default();
        let is_running = |voter: &Value| running.iter().any(|name| voter["name"] == **name);
        self.lost.is_empty() && voters.len() >= 3 && voters.iter().all(is_running)
    }

    /// Returns the cores that don't return the newest configuration, each with its last answer.
    /// All operators must have been acknowledged before.
    pub fn cores_without_config(&self) -> Vec<(u8, String)> {
        let end = Instant::now() + CONFIG_TIME;
        let read = |core: u8| loop {
            let address = self.system.address(core, CONTROL);
            let call = call(address, Method::Get, "/api/config", None);
            let answer = block_on(timeout(CALL_TIMEOUT, call));
            match &answer {
                Ok(Ok((200, config))) if config["version"] == self.version => return None,
                _ if Instant::now() > end => return Some((core, format!("{answer:?}"))),
                _ => std::thread::sleep(TICK),
            }
        };
        self.system.cores().filter_map(read).collect()
    }

    /// Returns the core that says that it leads, or the first one.
    fn leader(&self) -> u8 {
        self.dumps().iter().find(|(_, dump)| leads(dump)).map_or(1, |(core, _)| *core)
    }

    /// Returns the states of the cores that answer in time.
    fn dumps(&self) -> Vec<(u8, Value)> {
        let dump = async |core: u8| {
            let address = self.system.address(core, INTERNAL.1);
            let dump = timeout(DUMP_TIMEOUT, call(address, Method::Get, "/dump", None)).await;
            dump.ok()?.ok().filter(|(status, _)| *status == 200).map(|(_, dump)| (core, dump))
        };
        let dumps = block_on(join_all(self.system.cores().map(dump)));
        dumps.into_iter().flatten().collect()
    }

    /// Submits another configuration in a thread, which returns whether it was acknowledged.
    pub fn configure(&mut self) -> JoinHandle<bool> {
        self.version += 1;
        self.note(format!("configuration {}", self.version));
        let config = config(self.version);
        let cores: Vec<SocketAddr> =
            self.system.cores().map(|core| self.system.address(core, CONTROL)).collect();
        std::thread::spawn(move || {
            cores.iter().cycle().take(CONFIG_ATTEMPTS).any(|core| {
                let put = call(*core, Method::Put, "/api/config", Some(config.clone()));
                let acknowledged = matches!(block_on(timeout(CALL_TIMEOUT, put)), Ok(Ok((200, _))));
                if !acknowledged {
                    std::thread::sleep(CALL_TIMEOUT);
                }
                acknowledged
            })
        })
    }

    /// Waits for the operators. Returns whether all configurations were acknowledged.
    pub fn wait_for_operators(&mut self) -> bool {
        let ends: Vec<bool> =
            self.operators.drain(..).map(|operator| operator.join().unwrap()).collect();
        ends.into_iter().all(|acknowledged| acknowledged)
    }
}

/// Returns whether a core leads by its state.
fn leads(dump: &Value) -> bool {
    !dump["reign"].is_null()
}

/// Returns a configuration whose other queues come and go with its version.
fn config(version: u64) -> Value {
    let queue = |name: String, prefix: String| {
        json!({
            "name": name, "host": HOST, "path_prefix": prefix, "service": "gate",
            "timeout_ms": 3000, "slo_ms": 600, "max_attempts": 3, "stretch": 1.6,
        })
    };
    let mut queues = vec![queue("plugs".to_string(), PREFIX.to_string())];
    queues.extend((0..version % 4).map(|n| queue(format!("other{n}"), format!("/other{n}/"))));
    json!({"version": version, "routes": queues, "services": [{"name": "gate"}], "limits": {}})
}
