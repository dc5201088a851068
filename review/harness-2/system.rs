//! The project's processes, started with the commands of the deploy file on loopback addresses.

use crate::http;
use crate::json::Json;
use crate::record::Record;
use std::fs::{self, File};
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

const CALLERS: u16 = 7001;
const HEALTH: u16 = 7002;
const CONTROL: u16 = 7003;
const INTERNAL: (u16, u16) = (7010, 7020);
const BINARY: &str = "target/release/skylarkwinch";
pub const HOST: &str = "pule25.example";
pub const PREFIX: &str = "/puxa400/";

pub struct System {
    folder: PathBuf,
    network: u8,
    cores: u8,
    edges: u8,
    /// Address of the policy service.
    pub advice: Option<SocketAddr>,
    processes: Vec<(u8, Child)>,
    record: Record,
}

impl System {
    pub fn new(cores: u8, edges: u8, record: &Record) -> System {
        let folder = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
        fs::create_dir_all(&folder).expect("a temporary folder");
        let mut network = (std::process::id() % 100) as u8 + 60;
        while TcpListener::bind((format!("127.{network}.9.1"), CONTROL)).is_err() {
            network += 1;
        }
        let (processes, record) = (Vec::new(), record.clone());
        System { folder, network, cores, edges, advice: None, processes, record }
    }

    fn ip(&self, host: u8) -> String {
        format!("127.{}.9.{host}", self.network)
    }

    fn address(&self, host: u8, port: u16) -> SocketAddr {
        format!("{}:{port}", self.ip(host)).parse().expect("an address")
    }

    pub fn control(&self) -> Vec<SocketAddr> {
        (1..=self.cores).map(|host| self.address(host, CONTROL)).collect()
    }

    pub fn edge(&self) -> SocketAddr {
        self.address(self.cores + 1, CALLERS)
    }

    /// Renders `deploy/settings.yaml` as the platform does. JSON is YAML.
    fn settings(&self, host: u8, founding: bool) -> String {
        let seeds: Vec<String> =
            self.control().iter().take(3).map(|seed| format!("\"{seed}\"")).collect();
        let is_edge = host > self.cores;
        let (mut data, mut listen) = ("null".to_string(), String::new());
        if is_edge {
            listen.push_str(&format!(
                ",\"callers\":\"{}\",\"health\":\"{}\"",
                self.address(host, CALLERS),
                self.address(host, HEALTH)
            ));
        } else {
            let folder = self.folder.join(format!("data{host}"));
            fs::create_dir_all(&folder).expect("a data folder");
            data = format!("\"{}\"", folder.display());
            listen.push_str(&format!(",\"control\":\"{}\"", self.address(host, CONTROL)));
        }
        let optional = |address: Option<SocketAddr>| {
            address.map_or("null".to_string(), |address| format!("\"{address}\""))
        };
        format!(
            "{{\"name\":\"p{host}\",\"data_centre\":\"north\",\"founding\":{founding},\"seeds\":[{}],\
             \"data_folder\":{data},\"listen\":{{\"ip\":\"{}\",\"internal\":[{},{}]{listen}}},\
             \"advice\":{},\"bounds\":{{\"max_lease_ms\":10000,\"far_factor\":1.5,\"move_s\":1.5,\
             \"upkeep_s\":2,\"grace_s\":6,\"status_s\":120,\"rate_window_s\":null}}}}",
            seeds.join(","),
            self.ip(host),
            INTERNAL.0,
            INTERNAL.1,
            optional(self.advice)
        )
    }

    pub fn start(&mut self) {
        for host in 1..=self.cores + self.edges {
            self.run(host, true);
        }
    }

    fn run(&mut self, host: u8, founding: bool) {
        let path = self.folder.join(format!("p{host}.yaml"));
        fs::write(&path, self.settings(host, founding)).expect("settings");
        let log = File::options().create(true).append(true).open(self.log(host)).expect("a log");
        let role = if host > self.cores { "edge" } else { "core" };
        let mut command = Command::new(BINARY);
        command.arg(role);
        command.env("SKYLARKWINCH_BOOT", &path).stdin(Stdio::null());
        command.stdout(log.try_clone().expect("a log")).stderr(log);
        let child = command.spawn().expect("the process starts");
        self.record.line(&format!("started {role} p{host} with founding={founding}"));
        self.processes.push((host, child));
    }

    fn log(&self, host: u8) -> PathBuf {
        self.folder.join(format!("p{host}.log"))
    }

    fn dump(&self, host: u8) -> Option<Json> {
        let address = self.address(host, INTERNAL.1);
        let (_, body) =
            http::call(address, "GET", "/dump", "status", None, Duration::from_secs(3))?;
        Json::parse(&body)
    }

    /// Returns the core that leads.
    pub fn leader(&self) -> Option<u8> {
        (1..=self.cores).find(|host| {
            self.dump(*host).is_some_and(|dump| !matches!(dump.get("reign"), Json::Null))
        })
    }

    pub fn wait_for_leader(&self, max_wait: Duration) -> Option<u8> {
        let end = Instant::now() + max_wait;
        while Instant::now() < end {
            if let Some(leader) = self.leader() {
                return Some(leader);
            }
            thread::sleep(Duration::from_millis(50));
        }
        None
    }

    /// Sends a config until it is acknowledged.
    pub fn configure(&self, config: &str, max_wait: Duration) -> bool {
        let end = Instant::now() + max_wait;
        while Instant::now() < end {
            for control in self.control() {
                let timeout = Duration::from_secs(2);
                let put = http::call(control, "PUT", "/api/config", "c", Some(config), timeout);
                if put.is_some_and(|(status, _)| status == 200) {
                    self.record.line(&format!("config acknowledged: {config}"));
                    return true;
                }
            }
            thread::sleep(Duration::from_millis(100));
        }
        false
    }

    /// Sends a request of a client to the edge, as often as clients do.
    pub fn client(&self, method: &str, id: &str, body: Option<&str>) -> Option<(u16, String)> {
        let path = format!("{PREFIX}{id}");
        let mut last = None;
        for _ in 0..5 {
            let timeout = Duration::from_secs(3);
            last = http::call(self.edge(), method, &path, HOST, body, timeout);
            let (status, text) = match &last {
                Some((status, text)) => (*status, text.as_str()),
                None => (0, "no answer"),
            };
            self.record.line(&format!("client {method} {path}: {status} {text}"));
            if matches!(status, 200 | 410 | 404 | 400) {
                return last;
            }
            thread::sleep(Duration::from_millis(300));
        }
        last
    }

    /// Ends all processes that were started.
    pub fn stop(&mut self) {
        for (_, child) in &mut self.processes {
            let _ = child.kill();
            let _ = child.wait();
        }
        self.processes.clear();
    }
}

impl Drop for System {
    fn drop(&mut self) {
        self.stop();
        if std::env::var("KEEP").is_err() {
            let _ = fs::remove_dir_all(&self.folder);
        } else {
            println!("logs: {}", self.folder.display());
        }
    }
}
