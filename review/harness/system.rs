//! The project's own processes, an operator and clients.

use crate::http::call;
use crate::json::{Json, map, num, text};
use crate::record::Record;
use std::fs::{self, File};
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const FRONT: u16 = 7001;
const READINESS: u16 = 7002;
const CONTROL: u16 = 7003;
const INTERNAL: (u16, u16) = (7010, 7020);
pub const HOST: &str = "pule25.example";
/// Time budget of a client's call.
pub const BUDGET: Duration = Duration::from_millis(3000);
/// Time between two calls of a client that asks again.
pub const CLIENT_PAUSE: Duration = Duration::from_millis(300);
const ZONES: [&str; 3] = ["callao-norte", "callao-sur", "ventanilla"];

/// Three core processes, numbered 0 to 2, and two edges, 3 and 4.
pub struct System {
    binary: PathBuf,
    folder: PathBuf,
    network: [u8; 2],
    processes: Mutex<Vec<Option<Child>>>,
    pub record: Arc<Record>,
}

pub const CORES: usize = 3;
pub const EDGES: usize = 2;

impl System {
    /// Starts all processes. `None` if that can't be done here.
    pub fn start(binary: PathBuf, record: Arc<Record>) -> Option<System> {
        let seed = std::process::id() as u64 * 7919 + record_seed();
        let network = (0..50)
            .map(|n| seed + n * 131)
            .map(|n| [(n % 100 + 30) as u8, (n / 100 % 250 + 1) as u8]);
        let is_free = |network: &[u8; 2]| {
            (0..CORES + EDGES).all(|host| {
                [FRONT, READINESS, CONTROL, INTERNAL.0, INTERNAL.1]
                    .iter()
                    .all(|port| TcpListener::bind(address(*network, host, *port)).is_ok())
            })
        };
        let network = network.into_iter().find(is_free)?;
        let folder = std::env::temp_dir().join(format!("review-{}-{seed}", std::process::id()));
        fs::create_dir_all(&folder).ok()?;
        let processes = Mutex::new((0..CORES + EDGES).map(|_| None).collect());
        let system = System { binary, folder, network, processes, record };
        for process in 0..CORES + EDGES {
            system.run(process, true)?;
        }
        Some(system)
    }

    fn address(&self, process: usize, port: u16) -> SocketAddr {
        address(self.network, process, port)
    }

    pub fn control(&self, core: usize) -> SocketAddr {
        self.address(core, CONTROL)
    }

    pub fn controls(&self) -> Vec<SocketAddr> {
        (0..CORES).map(|core| self.control(core)).collect()
    }

    /// Addresses for stand-ins lie in the same network.
    pub fn bind_standin(&self, host: usize) -> Option<TcpListener> {
        TcpListener::bind(address(self.network, 20 + host, 8080)).ok()
    }

    /// Starts a process with the command of the deploy file and the settings of its template.
    pub fn run(&self, process: usize, is_first_start: bool) -> Option<()> {
        let is_core = process < CORES;
        let role = if is_core { "core" } else { "edge" };
        let seeds = self.controls().iter().map(|seed| text(seed.to_string())).collect();
        let data = self.folder.join(format!("data{process}"));
        fs::create_dir_all(&data).ok()?;
        let listen = |port| text(self.address(process, port).to_string());
        let (callers, health, control) = match is_core {
            true => (Json::Null, Json::Null, listen(CONTROL)),
            false => (listen(FRONT), listen(READINESS), Json::Null),
        };
        let settings = map([
            ("name", text(format!("{role}-{}-{process}", ZONES[process % 3]))),
            ("data_centre", text(ZONES[process % 3])),
            ("founding", Json::Bool(is_first_start)),
            ("seeds", Json::List(seeds)),
            ("data_folder", if is_core { text(data.to_string_lossy()) } else { Json::Null }),
            (
                "listen",
                map([
                    ("ip", text(self.address(process, 1).ip().to_string())),
                    ("internal", Json::List(vec![num(INTERNAL.0.into()), num(INTERNAL.1.into())])),
                    ("callers", callers),
                    ("health", health),
                    ("control", control),
                ]),
            ),
            ("advice", Json::Null),
            (
                "bounds",
                map([
                    ("max_lease_ms", num(10_000)),
                    ("far_factor", Json::Num(1.5)),
                    ("move_s", Json::Num(1.5)),
                    ("upkeep_s", num(2)),
                    ("grace_s", num(6)),
                    ("status_s", num(120)),
                ]),
            ),
        ]);
        let path = self.folder.join(format!("p{process}.yaml"));
        fs::write(&path, settings.to_string()).ok()?;
        let log_path = self.folder.join(format!("p{process}.log"));
        let log = File::options().create(true).append(true).open(log_path).ok()?;
        let child = Command::new(&self.binary)
            .arg(role)
            .env("SKYLARKWINCH_BOOT", &path)
            .stdin(Stdio::null())
            .stdout(log.try_clone().ok()?)
            .stderr(log)
            .spawn()
            .ok()?;
        self.record.line(format!("process {role} {process} started"));
        self.processes.lock().unwrap()[process] = Some(child);
        Some(())
    }

    /// Kills a process at once.
    pub fn kill(&self, process: usize) {
        if let Some(mut child) = self.processes.lock().unwrap()[process].take() {
            let _ = child.kill();
            let _ = child.wait();
            self.record.line(format!("process {process} killed"));
        }
    }

    /// Numbers of the processes that have ended by themselves.
    pub fn ended(&self) -> Vec<usize> {
        let mut processes = self.processes.lock().unwrap();
        let has_ended = |child: &mut Option<Child>| {
            child.as_mut().is_some_and(|child| matches!(child.try_wait(), Ok(Some(_))))
        };
        (0..CORES + EDGES).filter(|process| has_ended(&mut processes[*process])).collect()
    }

    /// Ends all processes at once and removes their files.
    pub fn stop(&self) {
        for process in 0..CORES + EDGES {
            if let Some(mut child) = self.processes.lock().unwrap()[process].take() {
                let _ = child.kill();
                let _ = child.wait();
            }
        }
        if std::env::var_os("KEEP").is_none() {
            let _ = fs::remove_dir_all(&self.folder);
        } else {
            println!("logs in {}", self.folder.display());
        }
    }

    /// The core process that leads, by its own state.
    pub fn leader(&self) -> Option<usize> {
        (0..CORES).find(|core| {
            let at = self.address(*core, INTERNAL.1);
            let dump = call(at, "GET", "/dump", &[], None, Duration::from_secs(1));
            dump.is_some_and(|(_, dump)| *dump.get("reign") != Json::Null)
        })
    }

    /// Sends a config until it is acknowledged, as an operator does.
    pub fn configure(&self, config: &Json) -> bool {
        let version = config.get("version").as_u64().unwrap_or(0);
        let body = config.to_string();
        let acknowledged = until(Duration::from_secs(30), || {
            self.controls().into_iter().any(|control| {
                let timeout = Duration::from_secs(1);
                let answer = call(control, "PUT", "/api/config", &[], Some(&body), timeout);
                answer.is_some_and(|(status, _)| status == 200)
            })
        });
        self.record.line(format!("config {version} acknowledged: {acknowledged}"));
        acknowledged
    }

    /// Sends one call of a client to an edge. `None` if it got no answer within the time budget.
    pub fn ask(
        &self,
        edge: usize,
        method: &str,
        path: &str,
        body: Option<&str>,
    ) -> Option<(u16, Json)> {
        let budget = BUDGET.as_millis().to_string();
        let headers = [("Host", HOST), ("X-Deadline-Ms", budget.as_str())];
        let front = self.address(CORES + edge % EDGES, FRONT);
        let answer = call(front, method, path, &headers, body, BUDGET);
        let shown = answer
            .as_ref()
            .map_or("no answer".to_string(), |(status, body)| format!("{status} {body}"));
        self.record.line(format!("client {method} {path} at edge {}: {shown}", edge % EDGES));
        answer
    }

    /// Hands a job in, again after no answer, 502 or 504 and, later, after 429 or 503. Returns
    /// whether it was accepted within the time.
    pub fn submit(&self, path: &str, job: &Json, within: Duration) -> bool {
        let body = job.to_string();
        let mut edge = 0;
        until_every(CLIENT_PAUSE, within, || {
            edge += 1;
            let answer = self.ask(edge, "POST", path, Some(&body));
            answer.is_some_and(|(status, _)| (200..300).contains(&status))
        })
    }

    /// The state of a job; `Err` with the status of another answer, 0 for none.
    pub fn state(&self, edge: usize, path: &str) -> Result<String, u16> {
        match self.ask(edge, "GET", path, None) {
            Some((200, body)) => Ok(body.get("state").as_str().unwrap_or_default().to_string()),
            Some((status, _)) => Err(status),
            None => Err(0),
        }
    }
}

fn record_seed() -> u64 {
    let since = std::time::SystemTime::now().duration_since(std::time::SystemTime::UNIX_EPOCH);
    since.map_or(0, |since| since.subsec_nanos() as u64 / 1000)
}

fn address(network: [u8; 2], host: usize, port: u16) -> SocketAddr {
    SocketAddr::from(([127, network[0], network[1], host as u8 + 1], port))
}

/// Looks every 40 ms until the condition holds. Returns whether it did within the time.
pub fn until(within: Duration, condition: impl FnMut() -> bool) -> bool {
    until_every(Duration::from_millis(40), within, condition)
}

/// Tries with a pause in between until the condition holds. Returns whether it did within the time.
pub fn until_every(pause: Duration, within: Duration, mut condition: impl FnMut() -> bool) -> bool {
    let end = Instant::now() + within;
    while !condition() {
        if Instant::now() >= end {
            return false;
        }
        thread::sleep(pause);
    }
    true
}

pub struct Route<'a> {
    pub name: &'a str,
    pub prefix: &'a str,
    pub service: &'a str,
    pub max_attempts: u64,
}

/// A config with the limits of the example in PROTOCOL.md.
pub fn config(version: u64, routes: &[Route<'_>], services: &[&str]) -> Json {
    let routes = routes.iter().map(|route| {
        map([
            ("name", text(route.name)),
            ("host", text(HOST)),
            ("path_prefix", text(route.prefix)),
            ("route_type", text("unsafe")),
            ("timeout_ms", num(3000)),
            ("slo_ms", num(600)),
            ("priority", num(0)),
            ("service", text(route.service)),
            ("max_attempts", num(route.max_attempts)),
            ("stretch", Json::Num(1.6)),
        ])
    });
    let services = services.iter().map(|name| {
        map([
            ("name", text(*name)),
            ("health_path", text("/health")),
            ("max_conns", num(64)),
            ("protocol", text("h1")),
            ("tls", Json::Bool(false)),
            ("enforces_capacity", Json::Bool(false)),
            ("standby", Json::Bool(false)),
        ])
    });
    map([
        ("version", num(version)),
        ("routes", Json::List(routes.collect())),
        ("services", Json::List(services.collect())),
        (
            "limits",
            map([
                ("max_header_bytes", num(16_384)),
                ("max_body_bytes", num(262_144)),
                ("header_timeout_ms", num(3000)),
                ("idle_timeout_ms", num(15_000)),
            ]),
        ),
    ])
}
