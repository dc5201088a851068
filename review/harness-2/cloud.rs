//! The platform's machines: the list, moves between pools and upkeep, with a fence for each machine.

use crate::http::{self, Handler, Request, Server};
use crate::json::{Json, quote};
use crate::record::Record;
use crate::worker::{Life, Setup};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

pub const MOVE: Duration = Duration::from_millis(1500);
pub const CPU: u64 = 32_000;
pub const MEM_MB: u64 = 131_072;

struct Machine {
    pool: String,
    state: &'static str,
    rack: String,
    zone: String,
    fence: u64,
    life: Option<Arc<Life>>,
}

#[derive(Default)]
struct State {
    machines: BTreeMap<String, Machine>,
    workers: u64,
    moves: usize,
}

#[derive(Clone)]
pub struct Cloud {
    state: Arc<Mutex<State>>,
    control: Vec<SocketAddr>,
    record: Record,
}

impl Cloud {
    pub fn new(control: Vec<SocketAddr>, record: &Record) -> Cloud {
        Cloud { state: Arc::default(), control, record: record.clone() }
    }

    pub fn serve(&self) -> Server {
        let cloud = self.clone();
        let handler: Handler = Arc::new(move |request| cloud.answer(&request));
        Server::start("127.0.0.1", handler)
    }

    /// Adds a machine with a worker on it.
    pub fn add(&self, id: &str, pool: &str, rack: &str, zone: &str) {
        let machine = Machine {
            pool: pool.to_string(),
            state: "moving",
            rack: rack.to_string(),
            zone: zone.to_string(),
            fence: 0,
            life: None,
        };
        self.state.lock().unwrap().machines.insert(id.to_string(), machine);
        self.start_worker(id);
    }

    /// Starts a worker, with an id and an address of its own, on a machine.
    fn start_worker(&self, id: &str) {
        let mut state = self.state.lock().unwrap();
        state.workers += 1;
        let worker = format!("i-{:08x}", state.workers);
        let Some(machine) = state.machines.get_mut(id) else { return };
        let setup = Arc::new(Setup {
            id: worker,
            machine: id.to_string(),
            service: machine.pool.clone(),
            zone: machine.zone.clone(),
            rack: machine.rack.clone(),
            cpu: CPU,
            mem_mb: MEM_MB,
            tickets: None,
            stop_time: Duration::ZERO,
            control: self.control.clone(),
            record: self.record.clone(),
        });
        machine.life = Some(Life::start(&setup, "127.0.0.1"));
        machine.state = "up";
    }

    fn answer(&self, request: &Request) -> (u16, String) {
        match (request.method.as_str(), request.path.as_str()) {
            ("GET", path) if path.starts_with("/api/machines") => (200, self.list()),
            ("POST", "/api/machine-move") => {
                let body = Json::parse(&request.body).unwrap_or(Json::Null);
                self.start_move(request, &body)
            }
            _ => (404, "{}".to_string()),
        }
    }

    fn list(&self) -> String {
        let state = self.state.lock().unwrap();
        let rows = state.machines.iter().map(|(id, machine)| {
            let worker = match &machine.life {
                Some(life) => quote(&life.setup.id),
                None => "null".to_string(),
            };
            format!(
                "{{\"machine\":{},\"pool\":{},\"state\":\"{}\",\"zone\":{},\"labels\":[\"a\",{}],\
                 \"capacity\":{{\"cpu\":{CPU},\"mem_mb\":{MEM_MB},\"gpus\":0}},\"id\":{worker}}}",
                quote(id),
                quote(&machine.pool),
                machine.state,
                quote(&machine.zone),
                quote(&machine.rack)
            )
        });
        let rows: Vec<String> = rows.collect();
        format!("{{\"machines\":[{}],\"next_token\":null}}", rows.join(","))
    }

    fn start_move(&self, request: &Request, body: &Json) -> (u16, String) {
        let (id, pool) = (body.get("machine").text().to_string(), body.get("pool").text());
        let fence = request.headers.get("x-fence-token").and_then(|fence| fence.parse().ok());
        let fence: u64 = fence.unwrap_or(0);
        let mut state = self.state.lock().unwrap();
        let Some(machine) = state.machines.get_mut(&id) else { return (400, "{}".to_string()) };
        if fence < machine.fence {
            return (409, "{\"reason\":\"fence\"}".to_string());
        }
        machine.fence = fence;
        if machine.pool == pool {
            return (200, "{}".to_string());
        }
        if machine.state != "up" {
            return (409, "{\"reason\":\"busy\"}".to_string());
        }
        machine.state = "moving";
        machine.pool = pool.to_string();
        let ended = machine.life.take();
        state.moves += 1;
        drop(state);
        if let Some(life) = ended {
            life.crash();
        }
        self.record.line(&format!("machine {id} moves to {pool}"));
        let cloud = self.clone();
        http::spawn(move || {
            thread::sleep(MOVE);
            cloud.start_worker(&id);
        });
        (200, "{}".to_string())
    }

    pub fn moves(&self) -> usize {
        self.state.lock().unwrap().moves
    }

    /// Number of machines in a pool that are up.
    pub fn up_in(&self, pool: &str) -> usize {
        let state = self.state.lock().unwrap();
        state.machines.values().filter(|m| m.pool == pool && m.state == "up").count()
    }

    pub fn running(&self) -> usize {
        let state = self.state.lock().unwrap();
        state.machines.values().filter_map(|m| m.life.as_ref()).map(|life| life.running()).sum()
    }

    /// Names of the units that run in a pool.
    pub fn running_in(&self, pool: &str) -> Vec<String> {
        let state = self.state.lock().unwrap();
        let machines = state.machines.values().filter(|machine| machine.pool == pool);
        let lives = machines.filter_map(|machine| machine.life.as_ref());
        lives.flat_map(|life| life.running_units()).collect()
    }

    /// Ends all workers.
    pub fn end(&self) {
        for machine in self.state.lock().unwrap().machines.values_mut() {
            if let Some(life) = machine.life.take() {
                life.crash();
            }
        }
    }
}
