//! A worker as PROTOCOL.md describes it: reports, leases, fences, starts, stops and lists of runs.
//!
//! A unit runs for the milliseconds that the `spec` of its job begins with.

use crate::http::{self, Handler, Request, Server};
use crate::json::{Json, quote};
use crate::record::Record;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

const MAX_HOLD_MS: u64 = 10_000;
const HEARTBEAT: Duration = Duration::from_millis(1500);
const LISTED_ENDS: usize = 500;

type RunKey = (String, u64);

pub struct Setup {
    pub id: String,
    pub machine: String,
    pub service: String,
    pub zone: String,
    pub rack: String,
    pub cpu: u64,
    pub mem_mb: u64,
    /// Whether starts need a ticket that the policy service gave.
    pub tickets: Option<Arc<Mutex<BTreeMap<String, Instant>>>>,
    /// How long a unit takes to stop (at most `stop_timeout_ms`), after which the stop is answered.
    pub stop_time: Duration,
    pub control: Vec<SocketAddr>,
    pub record: Record,
    /// Whether a start gets no answer; it is then kept in `held`, to be carried out late.
    pub holds: Option<Holds>,
    pub held: Mutex<Vec<(Instant, Json)>>,
    /// Orders that have come to all lives.
    pub orders: AtomicU64,
}

/// Decides by worker and work unit whether a start gets no answer.
pub type Holds = Arc<dyn Fn(&str, &str) -> bool + Send + Sync>;

/// Time for which the connection of an order without an answer, or of a silent worker, stays open.
const SILENCE: Duration = Duration::from_secs(30);

#[derive(Default)]
struct State {
    fence: u64,
    lease_ms: u64,
    running: BTreeMap<RunKey, (Instant, Instant)>,
    stopping: BTreeMap<RunKey, Instant>,
    refused_through: BTreeMap<String, u64>,
    finished: Vec<(u64, RunKey, &'static str)>,
    ends: u64,
}

/// One life of a worker.
pub struct Life {
    pub setup: Arc<Setup>,
    pub born: u64,
    start: Instant,
    state: Mutex<State>,
    is_over: AtomicBool,
    is_silent: AtomicBool,
    reports: AtomicU64,
    server: Mutex<Option<Server>>,
}

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |time| time.as_millis() as u64)
}

impl Life {
    /// Starts a life, which reports at once and then about every 1.5 s.
    pub fn start(setup: &Arc<Setup>, ip: &str) -> Arc<Life> {
        let life = Arc::new(Life {
            setup: setup.clone(),
            born: unix_ms(),
            start: Instant::now(),
            state: Mutex::default(),
            is_over: AtomicBool::new(false),
            is_silent: AtomicBool::new(false),
            reports: AtomicU64::new(0),
            server: Mutex::new(None),
        });
        let served = Arc::downgrade(&life);
        let handler: Handler = Arc::new(move |request| match served.upgrade() {
            Some(life) => life.answer(&request),
            None => (0, String::new()),
        });
        let server = Server::start(ip, handler);
        let address = server.address;
        *life.server.lock().unwrap() = Some(server);
        let reporter = life.clone();
        http::spawn(move || reporter.report(address));
        life
    }

    /// Ends the life as a crash does: without a word, its runs with it.
    pub fn crash(&self) {
        self.is_over.store(true, Ordering::SeqCst);
        if let Some(server) = self.server.lock().unwrap().take() {
            server.close();
        }
    }

    /// Ends the life as a loss of power does: what is open stays open, and nothing answers.
    pub fn fall_silent(&self) {
        self.is_silent.store(true, Ordering::SeqCst);
        self.is_over.store(true, Ordering::SeqCst);
        let now = self.setup.record.now();
        let state = self.state.lock().unwrap();
        for (task, run) in state.running.keys() {
            self.setup.record.end_span(task, *run, &self.setup.id, now);
        }
    }

    /// Carries out a start that came to an earlier life and got no answer.
    pub fn carry_out(&self, body: &Json) {
        let (status, answer) = self.order(body, |life, state| life.run(body, state));
        self.setup.record.line(&format!("{} carries out {body}: {status} {answer}", self.setup.id));
    }

    fn clock_ms(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }

    fn report(&self, address: SocketAddr) {
        let setup = &self.setup;
        while !self.is_over.load(Ordering::SeqCst) {
            let seq = self.reports.fetch_add(1, Ordering::SeqCst) + 1;
            let body = format!(
                "{{\"service\":{},\"address\":\"{address}\",\"zone\":{},\"version\":\"v1\",\"slots\":8,\
                 \"state\":\"ready\",\"cold_remaining_ms\":0,\"capacity\":{{\"cpu\":{},\"mem_mb\":{},\
                 \"gpus\":0}},\"labels\":[\"a\",{}],\"clock_ms\":{},\"seq\":{seq},\"machine\":{},\
                 \"born\":{}}}",
                quote(&setup.service),
                quote(&setup.zone),
                setup.cpu,
                setup.mem_mb,
                quote(&setup.rack),
                self.clock_ms(),
                quote(&setup.machine),
                self.born
            );
            let path = format!("/api/instances/{}", setup.id);
            // Workers turn to the next daemon after a failure or a second without an answer.
            let first = setup.id.bytes().map(usize::from).sum::<usize>();
            for offset in 0..setup.control.len() {
                let to = setup.control[(first + offset) % setup.control.len()];
                let reply =
                    http::call(to, "PUT", &path, "control", Some(&body), Duration::from_secs(1));
                if reply.is_some_and(|(status, _)| status / 100 == 2) {
                    break;
                }
            }
            let next = Instant::now() + HEARTBEAT;
            while Instant::now() < next && !self.is_over.load(Ordering::SeqCst) {
                thread::sleep(Duration::from_millis(20));
            }
        }
    }

    fn answer(&self, request: &Request) -> (u16, String) {
        if request.headers.get("x-target-instance").is_some_and(|id| *id != self.setup.id) {
            return (421, "{}".to_string());
        }
        let body = Json::parse(&request.body).unwrap_or(Json::Null);
        let answer = self.carry_out_now(request, &body);
        if self.is_silent.load(Ordering::SeqCst) {
            thread::sleep(SILENCE);
        }
        answer
    }

    fn carry_out_now(&self, request: &Request, body: &Json) -> (u16, String) {
        self.setup.orders.fetch_add(1, Ordering::SeqCst);
        if request.path == "/api/run-start" {
            let task = body.get("task").text();
            if self.setup.holds.as_ref().is_some_and(|holds| holds(&self.setup.id, task)) {
                self.setup.record.line(&format!("{} leaves {body} unanswered", self.setup.id));
                self.setup.held.lock().unwrap().push((Instant::now(), body.clone()));
                thread::sleep(SILENCE);
                return (0, String::new());
            }
        }
        match (request.method.as_str(), request.path.as_str()) {
            ("GET", "/health") => (200, "{}".to_string()),
            ("POST", "/api/run-start") => self.order(body, |life, state| life.run(body, state)),
            ("POST", "/api/run-stop") => {
                let mut until = Instant::now();
                let answer = self.order(body, |life, state| {
                    let key = run_key(body);
                    refuse(state, &key);
                    if state.running.contains_key(&key) {
                        let text = format!("stop {} run {} on {}", key.0, key.1, life.setup.id);
                        life.setup.record.line(&text);
                        until += life.setup.stop_time;
                        until = *state.stopping.entry(key).or_insert(until);
                    }
                    Ok(())
                });
                thread::sleep(until.saturating_duration_since(Instant::now()));
                answer
            }
            ("POST", "/api/pace") => self.order(body, |_, _| Ok(())),
            ("POST", "/api/hold") => self.hold(body),
            _ => (404, "{}".to_string()),
        }
    }

    /// Carries out an order unless its fence is lower than one seen before.
    fn order(
        &self,
        body: &Json,
        apply: impl FnOnce(&Life, &mut State) -> Result<(), &'static str>,
    ) -> (u16, String) {
        let clock_ms = self.clock_ms();
        let mut state = self.state.lock().unwrap();
        if self.is_over.load(Ordering::SeqCst) {
            return (0, String::new());
        }
        self.end_due(&mut state);
        let fence = body.get("fence_token").number();
        let result = if fence < state.fence {
            Err("fence")
        } else {
            state.fence = fence;
            apply(self, &mut state)
        };
        match result {
            Ok(()) => (200, format!("{{\"clock_ms\":{clock_ms}}}")),
            Err(reason) => (409, format!("{{\"clock_ms\":{clock_ms},\"reason\":\"{reason}\"}}")),
        }
    }

    fn run(&self, body: &Json, state: &mut State) -> Result<(), &'static str> {
        let (key, clock_ms) = (run_key(body), self.clock_ms());
        let expires = body.get("expires_ms").number();
        state.lease_ms = state.lease_ms.max(expires.min(clock_ms + MAX_HOLD_MS));
        if state.running.contains_key(&key) {
            return Ok(());
        }
        if state.refused_through.get(&key.0).is_some_and(|refused| key.1 <= *refused) {
            return Err("old");
        }
        if expires <= clock_ms {
            return Err("late");
        }
        if let Some(tickets) = &self.setup.tickets {
            let step = key.0.rsplit_once('.').map_or("", |(step, _)| step);
            let wanted = format!("{step}/{}/{}", self.setup.id, body.get("ticket").text());
            let tickets = tickets.lock().unwrap();
            if !tickets.get(&wanted).is_some_and(|until| Instant::now() < *until) {
                return Err("ticket");
            }
        }
        let spec = body.get("spec").text();
        let digits: String = spec.chars().take_while(char::is_ascii_digit).collect();
        let length = Duration::from_millis(digits.parse().unwrap_or(100));
        let now = Instant::now();
        self.setup.record.line(&format!("start {} run {} on {}", key.0, key.1, self.setup.id));
        self.setup.record.begin_span(&key.0, key.1, &self.setup.id);
        state.running.insert(key, (now, now + length));
        Ok(())
    }

    fn hold(&self, body: &Json) -> (u16, String) {
        let wait = Duration::from_millis(body.get("wait_ms").number().min(2000));
        let until = Instant::now() + wait;
        let answer = self.order(body, |life, state| {
            let expires = body.get("expires_ms").number();
            state.lease_ms = state.lease_ms.max(expires.min(life.clock_ms() + MAX_HOLD_MS));
            let through = body.get("acked_through").number();
            state.finished.retain(|(number, ..)| *number > through);
            Ok(())
        });
        if answer.0 != 200 {
            return answer;
        }
        loop {
            let mut state = self.state.lock().unwrap();
            if self.is_over.load(Ordering::SeqCst) {
                return (0, String::new());
            }
            self.end_due(&mut state);
            if !state.finished.is_empty() || Instant::now() >= until {
                return (200, self.lists(&state));
            }
            drop(state);
            thread::sleep(Duration::from_millis(5));
        }
    }

    fn lists(&self, state: &State) -> String {
        let running = state.running.iter().map(|((task, run), (from, to))| {
            let length = to.duration_since(*from).as_secs_f64().max(0.001);
            let percent = (from.elapsed().as_secs_f64() / length * 100.0).min(100.0) as u64;
            format!("[{},{run},\"\",{percent},0]", quote(task))
        });
        let finished = state.finished.iter().take(LISTED_ENDS).map(|(number, (task, run), how)| {
            format!("[{number},{},{run},\"{how}\",\"\"]", quote(task))
        });
        format!(
            "{{\"clock_ms\":{},\"born\":{},\"running\":[{}],\"finished\":[{}]}}",
            self.clock_ms(),
            self.born,
            running.collect::<Vec<String>>().join(","),
            finished.collect::<Vec<String>>().join(",")
        )
    }

    fn end_due(&self, state: &mut State) {
        let lease_end = self.start + Duration::from_millis(state.lease_ms);
        let now = Instant::now();
        let due: Vec<(RunKey, Instant)> =
            state.running.iter().map(|(key, (_, to))| (key.clone(), *to)).collect();
        for (key, to) in due {
            if state.stopping.get(&key).is_some_and(|until| *until <= now) {
                state.running.remove(&key);
                self.end(state, key, "stopped");
            } else if to <= now && to <= lease_end {
                state.running.remove(&key);
                self.end(state, key, "done");
            } else if now >= lease_end {
                state.running.remove(&key);
                self.end(state, key, "lapsed");
            }
        }
    }

    fn end(&self, state: &mut State, key: RunKey, how: &'static str) {
        let text = format!("end {} run {} on {}: {how}", key.0, key.1, self.setup.id);
        self.setup.record.line(&text);
        self.setup.record.end_span(&key.0, key.1, &self.setup.id, self.setup.record.now());
        refuse(state, &key);
        state.stopping.remove(&key);
        state.ends += 1;
        state.finished.push((state.ends, key, how));
    }

    /// Number of units that run.
    pub fn running(&self) -> usize {
        self.state.lock().unwrap().running.len()
    }
}

fn refuse(state: &mut State, key: &RunKey) {
    let highest = state.refused_through.entry(key.0.clone()).or_default();
    *highest = key.1.max(*highest);
}

fn run_key(body: &Json) -> RunKey {
    (body.get("task").text().to_string(), body.get("run_id").number())
}
