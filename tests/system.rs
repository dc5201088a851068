//! Real `core` and `edge` processes, each at an address of its own.

use crate::workdir;
use async_std::task::block_on;
use http_types::Method;
use platform_standin::call;
use rustix::process::{Pid, Signal, WaitId, WaitIdOptions, kill_process, waitid};
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::fs::File;
use std::io::{BufRead, BufReader, Write};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::ops::RangeInclusive;
use std::process::{Child, ChildStdout, Command, Stdio};
use std::sync::atomic::{AtomicU8, Ordering};
use std::time::{Duration, Instant};

pub const BINARY: &str = env!("CARGO_BIN_EXE_skylarkwinch");
pub const CALLERS: u16 = 7001;
pub const HEALTH: u16 = 7002;
pub const CONTROL: u16 = 7003;
pub const INTERNAL: (u16, u16) = (7010, 7020);
/// A test fails when a condition is not met within this time; no step takes as long.
const CONDITION_TIMEOUT: Duration = Duration::from_secs(60);
pub const PREFIX: &str = "/plugs/";
/// Number of core processes that the settings name as seeds.
const SEEDS: usize = 3;

static NEXT_NETWORK: AtomicU8 = AtomicU8::new(120);

/// Core processes, numbered from 1, and then edges.
pub struct System {
    pub folder: tempfile::TempDir,
    cores: u8,
    edges: u8,
    first_network: u8,
    /// Zero of the times in front of the lines of the logs; without it, lines have none.
    pub log_start: Option<Instant>,
    /// How long the cores keep a job's state after its end, in seconds.
    pub status_s: u64,
    /// Time between a stop signal and the kill, in seconds.
    pub grace_s: u64,
    /// Limits in the settings of cores and of edges; null for the defaults.
    pub core_limits: Value,
    pub edge_limits: Value,
    /// How often the core at each address was lost for good. Each successor has another name and an
    /// empty disk.
    losses: BTreeMap<u8, u32>,
    pub processes: BTreeMap<u8, Child>,
}

impl System {
    /// Starts three core processes and an edge.
    pub fn start() -> System {
        let mut system = System::with_size(3, 1);
        system.run_all(true);
        system
    }

    /// Returns a system of which no process runs.
    pub fn with_size(cores: u8, edges: u8) -> System {
        System {
            folder: tempfile::tempdir().unwrap(),
            cores,
            edges,
            first_network: NEXT_NETWORK.fetch_add(cores + edges, Ordering::Relaxed),
            log_start: None,
            status_s: 120,
            grace_s: 6,
            core_limits: Value::Null,
            edge_limits: Value::Null,
            losses: BTreeMap::new(),
            processes: BTreeMap::new(),
        }
    }

    pub fn run_all(&mut self, founding: bool) {
        for host in self.cores().chain(self.edges()) {
            self.run(host, founding);
        }
    }

    pub fn cores(&self) -> RangeInclusive<u8> {
        1..=self.cores
    }

    pub fn edges(&self) -> RangeInclusive<u8> {
        self.cores + 1..=self.cores + self.edges
    }

    /// Returns an address in a loopback network that no other test process uses.
    pub fn ip(&self, host: u8) -> IpAddr {
        let [_, _, high, low] = std::process::id().to_be_bytes();
        Ipv4Addr::new(127, self.first_network.wrapping_add(host - 1), high, low).into()
    }

    pub fn address(&self, host: u8, port: u16) -> SocketAddr {
        SocketAddr::new(self.ip(host), port)
    }

    /// Returns the name of the process at an address.
    pub fn name(&self, host: u8) -> String {
        match self.losses.get(&host) {
            None => format!("p{host}"),
            Some(losses) => format!("p{host}-{losses}"),
        }
    }

    /// Gives the next core at an address another name and an empty disk.
    pub fn lose_disk(&mut self, core: u8) {
        *self.losses.entry(core).or_default() += 1;
    }

    pub fn settings(&self, host: u8, founding: bool) -> Value {
        let seeds: Vec<SocketAddr> =
            self.cores().take(SEEDS).map(|core| self.address(core, CONTROL)).collect();
        let mut settings = json!({
            "name": self.name(host),
            "data_centre": "north",
            "founding": founding,
            "seeds": seeds,
            "listen": {"ip": self.ip(host), "internal": [INTERNAL.0, INTERNAL.1]},
            "bounds": {"status_s": self.status_s, "grace_s": self.grace_s},
        });
        let is_edge = self.edges().contains(&host);
        let limits = if is_edge { &self.edge_limits } else { &self.core_limits };
        if !limits.is_null() {
            settings["limits"] = limits.clone();
        }
        if is_edge {
            settings["listen"]["callers"] = json!(self.address(host, CALLERS));
            settings["listen"]["health"] = json!(self.address(host, HEALTH));
        } else {
            let data = self.folder.path().join(self.name(host).replacen('p', "data", 1));
            std::fs::create_dir_all(&data).unwrap();
            settings["data_folder"] = json!(data);
            settings["listen"]["control"] = json!(self.address(host, CONTROL));
        }
        settings
    }

    /// Writes a process's settings and starts it.
    pub fn run(&mut self, host: u8, founding: bool) {
        let path = self.folder.path().join(format!("p{host}.yaml"));
        let settings = self.settings(host, founding).to_string();
        // A file that is replaced may wait for the disk.
        if !std::fs::read_to_string(&path).is_ok_and(|written| written.trim_end() == settings) {
            std::fs::write(&path, settings).unwrap();
        }
        let log = File::options().create(true).append(true).open(self.log_path(host)).unwrap();
        let role = if self.edges().contains(&host) { "edge" } else { "core" };
        let mut command = Command::new(BINARY);
        command.arg(role).arg(&path).stderr(log.try_clone().unwrap());
        let child = match self.log_start {
            None => workdir::start(command.stdout(log)),
            Some(start) => {
                let mut child = workdir::start(command.stdout(Stdio::piped()));
                let lines = child.stdout.take().unwrap();
                std::thread::spawn(move || copy_with_times(lines, log, start));
                child
            }
        };
        self.processes.insert(host, child);
    }

    pub fn log_path(&self, host: u8) -> std::path::PathBuf {
        self.folder.path().join(format!("p{host}.log"))
    }

    pub fn kill(&mut self, host: u8) {
        let mut child = self.processes.remove(&host).unwrap();
        child.kill().unwrap();
        child.wait().unwrap();
    }

    /// Freezes processes. The signal alone leaves a thread running until it is scheduled next, so
    /// that a process may still answer; this returns once all of their threads have stopped.
    pub fn freeze(&self, hosts: impl IntoIterator<Item = u8>) {
        let pids: Vec<Pid> =
            hosts.into_iter().map(|host| Pid::from_child(&self.processes[&host])).collect();
        for pid in &pids {
            kill_process(*pid, Signal::STOP).unwrap();
        }
        for pid in &pids {
            let status = waitid(WaitId::Pid(*pid), WaitIdOptions::STOPPED).unwrap();
            assert!(status.is_some_and(|status| status.stopped()), "{pid:?} has not stopped");
        }
    }

    pub fn thaw(&self, host: u8) {
        kill_process(Pid::from_child(&self.processes[&host]), Signal::CONT).unwrap();
    }

    pub fn dump(&self, host: u8) -> Option<Value> {
        let address = self.address(host, INTERNAL.1);
        block_on(call(address, Method::Get, "/dump", None)).ok().map(|(_, dump)| dump)
    }

    pub fn leader(&self) -> Option<u8> {
        self.cores().find(|core| {
            self.processes.contains_key(core)
                && self.dump(*core).is_some_and(|dump| !dump["reign"].is_null())
        })
    }

    pub fn wait_for_leader(&self) -> u8 {
        until("a core process leads", || self.leader().is_some());
        self.leader().unwrap()
    }

    /// Submits a configuration until it is acknowledged.
    pub fn configure(&self, version: u64) {
        let host = self.ip(*self.edges().start()).to_string();
        let config = json!({
            "version": version,
            "routes": [{
                "name": "plugs", "host": host, "path_prefix": PREFIX, "service": "gate",
                "timeout_ms": 3000, "slo_ms": 600, "max_attempts": 3, "stretch": 1.6,
            }],
            "services": [{"name": "gate"}],
            "limits": {},
        });
        until("the configuration is acknowledged", || {
            let address = self.address(1, CONTROL);
            let put = call(address, Method::Put, "/api/config", Some(config.clone()));
            matches!(block_on(put), Ok((200, _)))
        });
    }

    /// Sends a request to the first edge.
    pub fn call_edge(&self, method: Method, id: &str, body: Option<Value>) -> (u16, Value) {
        let path = format!("{PREFIX}{id}");
        let response = call(self.address(*self.edges().start(), CALLERS), method, &path, body);
        block_on(response).unwrap_or((0, Value::Null))
    }

    /// Submits a job until it is accepted, as clients do while the outcome is unknown.
    pub fn submit(&self, id: &str, job: &Value) {
        until("the job is accepted", || {
            self.call_edge(Method::Post, id, Some(job.clone())).0 == 200
        });
    }
}

impl Drop for System {
    fn drop(&mut self) {
        for child in self.processes.values_mut() {
            let _ = child.kill(); // it may have exited
            let _ = child.wait();
        }
        if std::thread::panicking() {
            for host in self.cores().chain(self.edges()) {
                self.print_log(host);
            }
        }
    }
}

/// Number of last lines of each process's log that a failed test prints.
const PRINTED_LINES: usize = 60;

impl System {
    /// Prints the end of a process's log, which is removed with the folder.
    pub fn print_log(&self, host: u8) {
        let log = std::fs::read_to_string(self.log_path(host)).unwrap_or_default();
        let lines: Vec<&str> = log.lines().collect();
        let last = lines.len().saturating_sub(PRINTED_LINES);
        println!("log of p{host} at {}:\n{}", self.ip(host), lines[last..].join("\n"));
    }
}

fn copy_with_times(lines: ChildStdout, mut log: File, start: Instant) {
    for line in BufReader::new(lines).lines().map_while(Result::ok) {
        let _ = writeln!(log, "{:.3} {line}", start.elapsed().as_secs_f64());
    }
}

pub fn until(what: &str, mut condition: impl FnMut() -> bool) {
    let end = Instant::now() + CONDITION_TIMEOUT;
    while !condition() {
        assert!(Instant::now() < end, "not within {CONDITION_TIMEOUT:?}: {what}");
        std::thread::sleep(Duration::from_millis(30));
    }
}
