//! More jobs than usual for some seconds, on a queue with a policy: are all of them run?

use crate::Verdict;
use crate::http::{self, Handler, Server};
use crate::json::{Json, quote};
use crate::record::Record;
use crate::system::{HOST, PREFIX, System};
use crate::worker::{Life, Setup};
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const WORKERS: usize = 30;
const DECISION_MS: u64 = 200;
const PER_WORKER_MS: u64 = 20;
const VALID_MS: u64 = 3000;
/// Calls that may wait at the policy service.
const MAX_WAITING: usize = 32;
/// Jobs a second, of one step each, and for how long.
const RATE: f64 = 1.0;
const BEFORE: Duration = Duration::from_secs(10);
const BURST: Duration = Duration::from_secs(4);
const BURST_FACTOR: f64 = 2.6;
const AFTER: Duration = Duration::from_secs(10);
/// Time after the traffic by which all jobs have to be done (`finish_s`).
const FINISH: Duration = Duration::from_secs(14);

/// The policy service: one call at a time, in turn, for the machine that calls.
struct Policy {
    next_free: Mutex<Instant>,
    waiting: AtomicUsize,
    tickets: Arc<Mutex<BTreeMap<String, Instant>>>,
    record: Record,
}

impl Policy {
    fn advise(&self, body: &Json) -> (u16, String) {
        let step = body.get("step").text().to_string();
        let workers: Vec<String> =
            body.get("workers").list().iter().map(|id| id.text().to_string()).collect();
        if self.waiting.fetch_add(1, Ordering::SeqCst) >= MAX_WAITING {
            self.waiting.fetch_sub(1, Ordering::SeqCst);
            self.record.line(&format!("advise {step}: 429"));
            return (429, "{}".to_string());
        }
        let length = DECISION_MS + PER_WORKER_MS * workers.len() as u64;
        let done_at = {
            let mut next_free = self.next_free.lock().unwrap();
            *next_free = (*next_free).max(Instant::now()) + Duration::from_millis(length);
            *next_free
        };
        self.record.line(&format!("advise {step} for {} workers", workers.len()));
        thread::sleep(done_at.saturating_duration_since(Instant::now()));
        self.waiting.fetch_sub(1, Ordering::SeqCst);
        let mut tickets = self.tickets.lock().unwrap();
        let until = Instant::now() + Duration::from_millis(VALID_MS);
        let rows = workers.iter().map(|id| {
            tickets.insert(format!("{step}/{id}/t-{step}"), until);
            format!("[{},{}]", quote(id), quote(&format!("t-{step}")))
        });
        let rows: Vec<String> = rows.collect();
        self.record.line(&format!("advise {step}: answered"));
        (200, format!("{{\"allowed\":[{}],\"valid_ms\":{VALID_MS}}}", rows.join(",")))
    }
}

pub fn run(record: &Record, has_trouble: bool) -> Verdict {
    let tickets: Arc<Mutex<BTreeMap<String, Instant>>> = Arc::default();
    let policy = Policy {
        next_free: Mutex::new(Instant::now()),
        waiting: AtomicUsize::new(0),
        tickets: tickets.clone(),
        record: record.clone(),
    };
    let handler: Handler = Arc::new(move |request| {
        let body = Json::parse(&request.body).unwrap_or(Json::Null);
        policy.advise(&body)
    });
    let service = Server::start("127.0.0.1", handler);
    let mut system = System::new(3, 1, record);
    system.advice = Some(service.address);
    system.start();
    system.wait_for_leader(Duration::from_secs(10)).ok_or("no leader")?;
    let config = format!(
        "{{\"version\":1,\"routes\":[{{\"name\":\"r-anu6wsj\",\"host\":\"{HOST}\",\
         \"path_prefix\":\"{PREFIX}\",\"route_type\":\"unsafe\",\"timeout_ms\":3000,\"slo_ms\":600,\
         \"priority\":0,\"service\":\"huvo11a\",\"max_attempts\":3,\"stretch\":1.6,\"advice\":\
         {{\"decision_ms\":{DECISION_MS},\"per_worker_ms\":{PER_WORKER_MS},\"valid_ms\":{VALID_MS}}}}}],\
         \"services\":[{{\"name\":\"huvo11a\",\"health_path\":\"/health\",\"max_conns\":64,\
         \"protocol\":\"h1\",\"tls\":false,\"enforces_capacity\":false,\"standby\":false}}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":262144,\
         \"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}}}"
    );
    if !system.configure(&config, Duration::from_secs(10)) {
        return Err("the config was not acknowledged".to_string());
    }
    let lives: Vec<Arc<Life>> = (0..WORKERS)
        .map(|index| {
            let setup = Arc::new(Setup {
                id: format!("i-{index:08x}"),
                machine: format!("m-{index:05x}"),
                service: "huvo11a".to_string(),
                zone: "north".to_string(),
                rack: format!("r1-{}", index / 4),
                cpu: 32_000,
                mem_mb: 131_072,
                tickets: Some(tickets.clone()),
                stop_time: Duration::ZERO,
                control: system.control(),
                record: record.clone(),
                holds: None,
                held: Mutex::default(),
                orders: Default::default(),
            });
            Life::start(&setup, "127.0.0.1")
        })
        .collect();
    thread::sleep(Duration::from_secs(3));
    let (start, mut ids, mut debt) = (Instant::now(), Vec::new(), 1.0);
    let tick = Duration::from_millis(50);
    while start.elapsed() < BEFORE + BURST + AFTER {
        let is_burst = start.elapsed() >= BEFORE && start.elapsed() < BEFORE + BURST;
        let factor = if has_trouble && is_burst { BURST_FACTOR } else { 1.0 };
        debt += RATE * factor * tick.as_secs_f64();
        while debt >= 1.0 {
            debt -= 1.0;
            let id = format!("{:016x}", ids.len() + 1);
            let job = "{\"spec\":\"640\",\"steps\":[{\"count\":4,\"cpu\":1800,\"mem_mb\":3600,\
                        \"est_runtime_ms\":640}]}";
            let reply = system.client("POST", &id, Some(job));
            match reply {
                Some((200, _)) => ids.push(id),
                other => return Err(format!("the job {id} was not accepted: {other:?}")),
            }
        }
        thread::sleep(tick);
    }
    record.say(&format!("the traffic has ended, {} jobs were accepted", ids.len()));
    thread::sleep(FINISH);
    let is_open = |id: &String| {
        let path = format!("{PREFIX}{id}");
        let reply = http::call(system.edge(), "GET", &path, HOST, None, Duration::from_secs(3));
        record.line(&format!("client GET {path}: {reply:?}"));
        !reply.is_some_and(|(_, text)| text.contains("completed"))
    };
    let mut open: Vec<String> = ids.iter().filter(|id| is_open(id)).cloned().collect();
    record.say(&format!("after {FINISH:?}: {} jobs are not completed", open.len()));
    // A job whose units are due has nothing running for 3 s though nearly all workers are idle.
    let until = Instant::now() + Duration::from_secs(3);
    let mut most_running = 0;
    while Instant::now() < until {
        most_running = most_running.max(lives.iter().map(|life| life.running()).sum::<usize>());
        thread::sleep(Duration::from_millis(20));
    }
    let room = WORKERS * (32_000 / 1800);
    record.say(&format!("in the next 3 s at most {most_running} units run, room is for {room}"));
    let still_open = open.clone();
    open.retain(|id| is_open(id));
    let is_broken = open.len() == still_open.len() && !open.is_empty() && most_running * 2 < room;
    record.say(&format!("{} jobs still have nothing running", open.len()));
    lives.iter().for_each(|life| life.crash());
    service.close();
    Ok(is_broken && most_running == 0)
}
