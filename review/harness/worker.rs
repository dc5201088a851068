//! A worker as PROTOCOL.md describes one, with `orders = "invoke"`, and the way to it.
//!
//! The text of a job says what its work units do: `work_ms=N` work that long and end `done`, with
//! `spread_ms=M` up to M milliseconds longer, each its own time; `lasts`
//! run until they are stopped, and `lasts fail_ms=N each_ms=M runs=R` lets the first R runs of work unit
//! I of its step end `failed` after N + I x M milliseconds.

use crate::http::{Handler, Request, call, serve};
use crate::json::{Json, map, num, text};
use crate::record::{Record, What};
use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime};

const MAX_HOLD_MS: u64 = 10_000;
const HEARTBEAT: Duration = Duration::from_millis(1500);
/// Ends that one answer lists at most: "The others are returned again (500 at a time)".
const MAX_LISTED_ENDS: usize = 500;
/// Startup of a work unit that lasts.
const STARTUP_MS: u64 = 700;
/// Shortest time between two checkpoints.
const CHECKPOINT_MS: u64 = 2000;

#[derive(Clone)]
pub struct Kind {
    pub id: String,
    pub machine: String,
    pub service: String,
    pub zone: String,
    pub rack: String,
    pub cpu: u64,
    pub mem_mb: u64,
}

struct Run {
    began_ms: u64,
    /// When it ends of itself, and how.
    ends: Option<(u64, &'static str)>,
    lasts: bool,
    /// Work that an earlier run has saved, and all work, in milliseconds.
    saved_ms: u64,
    work_ms: u64,
}

struct End {
    number: u64,
    key: (String, u64),
    how: &'static str,
    saved: String,
    /// The lease has lapsed since the end.
    is_lapsed: bool,
}

#[derive(Default)]
struct State {
    fence: u64,
    lease_ms: u64,
    running: BTreeMap<(String, u64), Run>,
    refused_through: BTreeMap<String, u64>,
    finished: Vec<End>,
    ends: u64,
}

struct Inner {
    kind: Kind,
    born: u64,
    clock: Instant,
    state: Mutex<State>,
    record: Arc<Record>,
    is_down: AtomicBool,
    seq: AtomicU64,
}

/// A poll that is left without an answer, and carried out later.
struct HeldBack {
    /// The first poll that acknowledges at least this end.
    acked_through: u64,
    /// Time until it is carried out, by the lifetime that there is then.
    delay: Duration,
}

/// What answers at the worker's address.
#[derive(Default)]
struct Site {
    life: Mutex<Option<Arc<Inner>>>,
    to_hold_back: Mutex<Option<HeldBack>>,
    is_held_back: AtomicBool,
}

pub struct Worker {
    kind: Kind,
    address: SocketAddr,
    controls: Vec<SocketAddr>,
    record: Arc<Record>,
    site: Arc<Site>,
}

impl Worker {
    pub fn start(
        kind: Kind,
        listener: TcpListener,
        controls: Vec<SocketAddr>,
        record: Arc<Record>,
    ) -> Worker {
        let address = listener.local_addr().expect("a bound socket has an address");
        let site = Arc::new(Site::default());
        let handled = site.clone();
        let handler: Arc<Handler> = Arc::new(move |request| Site::answer(&handled, request));
        serve(listener, handler);
        let worker = Worker { kind, address, controls, record, site };
        worker.begin_life();
        worker
    }

    /// Starts under the same id and at the same address, with nothing of before.
    pub fn begin_life(&self) {
        let born = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap().as_millis();
        let inner = Arc::new(Inner {
            kind: self.kind.clone(),
            born: born as u64,
            clock: Instant::now(),
            state: Mutex::default(),
            record: self.record.clone(),
            is_down: AtomicBool::new(false),
            seq: AtomicU64::new(0),
        });
        self.record.line(format!("worker {} starts, born {born}", self.kind.id));
        *self.site.life.lock().unwrap() = Some(inner.clone());
        let (reporting, address, controls) = (inner.clone(), self.address, self.controls.clone());
        thread::spawn(move || reporting.report(address, &controls));
        thread::spawn(move || {
            while !inner.is_down.load(Ordering::SeqCst) {
                inner.advance(&mut inner.state.lock().unwrap());
                thread::sleep(Duration::from_millis(5));
            }
        });
    }

    /// Ends at once, with all that runs on it.
    pub fn crash(&self) {
        let Some(life) = self.site.life.lock().unwrap().take() else { return };
        let state = life.state.lock().unwrap();
        life.is_down.store(true, Ordering::SeqCst);
        let count = state.running.len();
        self.record.line(format!("worker {} crashes under {count} work units", self.kind.id));
    }

    /// Leaves the next poll that acknowledges at least this end without an answer; it is carried
    /// out after the delay.
    pub fn hold_back(&self, acked_through: u64, delay: Duration) {
        *self.site.to_hold_back.lock().unwrap() = Some(HeldBack { acked_through, delay });
    }

    /// Whether that poll has come.
    pub fn is_held_back(&self) -> bool {
        self.site.is_held_back.load(Ordering::SeqCst)
    }

    fn life(&self) -> Option<Arc<Inner>> {
        self.site.life.lock().unwrap().clone()
    }

    /// Names and numbers of what runs now.
    pub fn running(&self) -> Vec<(String, u64)> {
        let life = self.life();
        life.map_or(Vec::new(), |life| life.state.lock().unwrap().running.keys().cloned().collect())
    }

    /// Number of a job's work units that run now.
    pub fn units_at_work(&self, job: &str) -> usize {
        self.running().iter().filter(|(task, _)| task.starts_with(job)).count()
    }

    /// How long the oldest run of a job has worked, in milliseconds.
    pub fn age_ms(&self, job: &str) -> Option<u64> {
        let life = self.life()?;
        let state = life.state.lock().unwrap();
        let of_job = state.running.iter().filter(|((task, _), _)| task.starts_with(job));
        of_job.map(|(_, run)| life.clock_ms() - run.began_ms).max()
    }
}

impl Site {
    fn answer(site: &Arc<Site>, request: &Request) -> Option<(u16, Json)> {
        if request.path == "/api/hold" {
            let acked_through = request.body.get("acked_through").as_u64().unwrap_or(0);
            let mut to_hold_back = site.to_hold_back.lock().unwrap();
            let held_back =
                to_hold_back.take_if(|held_back| acked_through >= held_back.acked_through);
            drop(to_hold_back);
            if let Some(HeldBack { delay, .. }) = held_back {
                Site::carry_out_later(site.clone(), request.clone(), delay);
                thread::sleep(Duration::from_secs(20));
                return None;
            }
        }
        let life = site.life.lock().unwrap().clone()?;
        let answer = life.answer(request);
        (!life.is_down.load(Ordering::SeqCst)).then_some(answer)
    }

    fn carry_out_later(site: Arc<Site>, request: Request, delay: Duration) {
        site.is_held_back.store(true, Ordering::SeqCst);
        thread::spawn(move || {
            let Some(life) = site.life.lock().unwrap().clone() else { return };
            life.record.line(format!("a poll is left without an answer: {}", request.body));
            thread::sleep(delay);
            let Some(life) = site.life.lock().unwrap().clone() else { return };
            let (status, _) = life.answer(&request);
            life.record.line(format!("the poll is carried out, {status}, the answer is lost"));
        });
    }
}

impl Inner {
    fn clock_ms(&self) -> u64 {
        self.clock.elapsed().as_millis() as u64
    }

    /// Sends a status report to the first daemon that takes it, again and again.
    fn report(&self, address: SocketAddr, controls: &[SocketAddr]) {
        let kind = &self.kind;
        while !self.is_down.load(Ordering::SeqCst) {
            for control in controls {
                let body = map([
                    ("service", text(&kind.service)),
                    ("address", text(address.to_string())),
                    ("zone", text(&kind.zone)),
                    ("version", text("v1")),
                    ("slots", num(8)),
                    ("state", text("ready")),
                    ("cold_remaining_ms", num(0)),
                    (
                        "capacity",
                        map([
                            ("cpu", num(kind.cpu)),
                            ("mem_mb", num(kind.mem_mb)),
                            ("gpus", num(0)),
                        ]),
                    ),
                    ("labels", Json::List(vec![text("a"), text(&kind.rack)])),
                    ("clock_ms", num(self.clock_ms())),
                    ("machine", text(&kind.machine)),
                    ("born", num(self.born)),
                    ("seq", num(self.seq.fetch_add(1, Ordering::SeqCst) + 1)),
                ]);
                let path = format!("/api/instances/{}", kind.id);
                let body = body.to_string();
                let timeout = Duration::from_secs(1);
                let answer = call(*control, "PUT", &path, &[], Some(&body), timeout);
                if answer.is_some_and(|(status, _)| (200..300).contains(&status)) {
                    break;
                }
            }
            thread::sleep(HEARTBEAT);
        }
    }

    /// Ends what is due, and all if the lease has lapsed.
    fn advance(&self, state: &mut State) {
        if self.is_down.load(Ordering::SeqCst) {
            return;
        }
        let now = self.clock_ms();
        let due: Vec<((String, u64), &'static str)> = state
            .running
            .iter()
            .filter_map(|(key, run)| Some((key, run.ends?)))
            .filter(|(_, (at, _))| *at <= now.min(state.lease_ms))
            .map(|(key, (_, how))| (key.clone(), how))
            .collect();
        for (key, how) in due {
            self.end(state, key, how);
        }
        if now > state.lease_ms {
            let lapsed: Vec<(String, u64)> = state.running.keys().cloned().collect();
            state.finished.iter_mut().for_each(|end| end.is_lapsed = true);
            for key in lapsed {
                self.end(state, key, "lapsed");
            }
        }
    }

    fn end(&self, state: &mut State, key: (String, u64), how: &'static str) {
        let Some(run) = state.running.remove(&key) else { return };
        state.ends += 1;
        let number = state.ends;
        let refused = state.refused_through.entry(key.0.clone()).or_default();
        *refused = key.1.max(*refused);
        let saved = match how {
            "stopped" => checkpoint(run.saved_ms + self.clock_ms().saturating_sub(run.began_ms)),
            _ => checkpoint(run.saved_at(self.clock_ms())),
        };
        self.record.event(&self.kind.id, &key.0, key.1, What::End(number, how));
        state.finished.push(End { number, key, how, saved, is_lapsed: false });
    }

    fn answer(&self, request: &Request) -> (u16, Json) {
        let target = request.headers.get("x-target-instance");
        if target.is_some_and(|target| *target != self.kind.id) {
            return (421, map([("clock_ms", num(self.clock_ms()))]));
        }
        match request.path.as_str() {
            "/api/run-start" => self.start(&request.body),
            "/api/run-stop" => self.stop(&request.body),
            "/api/hold" => self.hold(&request.body),
            "/api/pace" => (200, map([("clock_ms", num(self.clock_ms()))])),
            _ => (404, map([])),
        }
    }

    fn refusal(&self, reason: &str) -> (u16, Json) {
        (409, map([("clock_ms", num(self.clock_ms())), ("reason", text(reason))]))
    }

    /// Takes note of a fence number. Returns false if it is lower than one seen before.
    fn accepts_fence(state: &mut State, body: &Json) -> bool {
        let fence = body.get("fence_token").as_u64().unwrap_or(0);
        let is_current = fence >= state.fence;
        state.fence = state.fence.max(fence);
        is_current
    }

    fn extend_lease(&self, state: &mut State, body: &Json) {
        if let Some(expires) = body.get("expires_ms").as_u64() {
            let longest = self.clock_ms() + MAX_HOLD_MS;
            state.lease_ms = state.lease_ms.max(expires.min(longest));
        }
    }

    fn start(&self, body: &Json) -> (u16, Json) {
        let mut state = self.state.lock().unwrap();
        self.advance(&mut state);
        let (Some(task), Some(run)) = (body.get("task").as_str(), body.get("run_id").as_u64())
        else {
            return (400, map([]));
        };
        let key = (task.to_string(), run);
        if !Inner::accepts_fence(&mut state, body) {
            return self.refusal("fence");
        }
        if body.get("expires_ms").as_u64().unwrap_or(0) <= self.clock_ms() {
            return self.refusal("late");
        }
        self.extend_lease(&mut state, body);
        let done = (200, map([("clock_ms", num(self.clock_ms()))]));
        if state.running.contains_key(&key) {
            return done;
        }
        if state.refused_through.get(task).is_some_and(|refused| run <= *refused) {
            return self.refusal("old");
        }
        let spec = body.get("spec").as_str().unwrap_or_default();
        let saved_ms = body.get("checkpoint").as_str().and_then(|text| text.parse().ok());
        let run = Run::new(spec, &key, self.clock_ms(), saved_ms.unwrap_or(0));
        state.running.insert(key.clone(), run);
        self.record.event(&self.kind.id, &key.0, key.1, What::Start);
        done
    }

    fn stop(&self, body: &Json) -> (u16, Json) {
        let mut state = self.state.lock().unwrap();
        self.advance(&mut state);
        let (Some(task), Some(run)) = (body.get("task").as_str(), body.get("run_id").as_u64())
        else {
            return (400, map([]));
        };
        if !Inner::accepts_fence(&mut state, body) {
            return self.refusal("fence");
        }
        let refused = state.refused_through.entry(task.to_string()).or_default();
        *refused = run.max(*refused);
        self.end(&mut state, (task.to_string(), run), "stopped");
        (200, map([("clock_ms", num(self.clock_ms()))]))
    }

    fn hold(&self, body: &Json) -> (u16, Json) {
        let wait = Duration::from_millis(body.get("wait_ms").as_u64().unwrap_or(0).min(2000));
        let until = Instant::now() + wait;
        let mut is_first = true;
        loop {
            let mut state = self.state.lock().unwrap();
            self.advance(&mut state);
            if !Inner::accepts_fence(&mut state, body) {
                return self.refusal("fence");
            }
            if is_first {
                self.extend_lease(&mut state, body);
                // Ends that come while the answer waits are listed in it, whatever their numbers.
                self.acknowledge(&mut state, body.get("acked_through").as_u64().unwrap_or(0));
            }
            is_first = false;
            let is_over = Instant::now() >= until || self.is_down.load(Ordering::SeqCst);
            if !state.finished.is_empty() || is_over {
                return (200, self.lists(&state));
            }
            drop(state);
            thread::sleep(Duration::from_millis(4));
        }
    }

    fn acknowledge(&self, state: &mut State, through: u64) {
        for end in state.finished.iter().filter(|end| end.number <= through && !end.is_lapsed) {
            self.record.event(&self.kind.id, &end.key.0, end.key.1, What::Noted);
        }
        state.finished.retain(|end| end.number > through);
    }

    fn lists(&self, state: &State) -> Json {
        let now = self.clock_ms();
        let running = state.running.iter().map(|((task, number), run)| {
            let saved = text(checkpoint(run.saved_at(now)));
            Json::List(vec![text(task), num(*number), saved, num(run.percent(now)), num(100)])
        });
        let finished = state.finished.iter().take(MAX_LISTED_ENDS).map(|end| {
            let (task, run) = (&end.key.0, end.key.1);
            Json::List(vec![num(end.number), text(task), num(run), text(end.how), text(&end.saved)])
        });
        map([
            ("clock_ms", num(now)),
            ("born", num(self.born)),
            ("running", Json::List(running.collect())),
            ("finished", Json::List(finished.collect())),
        ])
    }
}

impl Run {
    fn new(spec: &str, key: &(String, u64), now: u64, saved_ms: u64) -> Run {
        let value = |name: &str| {
            let word = spec.split(' ').find_map(|word| word.strip_prefix(name));
            word.and_then(|text| text.parse::<u64>().ok())
        };
        let lasts = spec.starts_with("lasts");
        let index: Option<u64> = key.0.rsplit('.').next().and_then(|index| index.parse().ok());
        let spread_ms = value("spread_ms=").unwrap_or(0) + 1;
        let work_ms = value("work_ms=").unwrap_or(0) + index.unwrap_or(0) * 37 % spread_ms;
        let fails = value("fail_ms=").zip(index).filter(|_| key.1 <= value("runs=").unwrap_or(0));
        let each_ms = value("each_ms=").unwrap_or(0);
        let ends = match lasts {
            true => fails.map(|(after, index)| (now + after + index * each_ms, "failed")),
            false => Some((now + work_ms.saturating_sub(saved_ms), "done")),
        };
        Run { began_ms: now, ends, lasts, saved_ms, work_ms }
    }

    /// Work that the newest checkpoint holds, in milliseconds.
    fn saved_at(&self, now: u64) -> u64 {
        let worked = now.saturating_sub(self.began_ms);
        self.saved_ms + worked / CHECKPOINT_MS * CHECKPOINT_MS
    }

    fn percent(&self, now: u64) -> u64 {
        let worked = self.saved_ms + now.saturating_sub(self.began_ms);
        match self.lasts {
            true => (worked * 100 / STARTUP_MS).min(100),
            false => (worked * 100 / self.work_ms.max(1)).min(99),
        }
    }
}

/// A checkpoint is the saved work in milliseconds; none is an empty text.
fn checkpoint(saved_ms: u64) -> String {
    if saved_ms < CHECKPOINT_MS { String::new() } else { saved_ms.to_string() }
}
