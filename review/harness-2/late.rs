//! Starts of a work unit get no answer; the worker loses power and is back, and carries one out.

use crate::Verdict;
use crate::json::Json;
use crate::record::Record;
use crate::system::{HOST, PREFIX, System};
use crate::worker::{Holds, Life, Setup};
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Time that a worker is away.
const DOWN: Duration = Duration::from_millis(300);
const STOP_TIME: Duration = Duration::from_millis(300);
/// Delays within which an order without an answer is carried out.
const MIN_DELAY: Duration = Duration::from_secs(2);
const MAX_DELAY: Duration = Duration::from_secs(12);
const WORKERS: usize = 9;
const CPU: u64 = 32_000;
const UNITS: usize = 2;
const UNIT_CPU: u64 = 11_000;
const ID: &str = "5c0e7a21d94b36f8";

fn config() -> String {
    format!(
        "{{\"version\":1,\"routes\":[{{\"name\":\"r-anu6wsj\",\"host\":\"{HOST}\",\
         \"path_prefix\":\"{PREFIX}\",\"route_type\":\"unsafe\",\"timeout_ms\":3000,\"slo_ms\":600,\
         \"priority\":0,\"service\":\"huvo11a\",\"max_attempts\":3,\"stretch\":1.6}}],\
         \"services\":[{{\"name\":\"huvo11a\",\"health_path\":\"/health\",\"max_conns\":64,\
         \"protocol\":\"h1\",\"tls\":false,\"enforces_capacity\":false,\"standby\":false}}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":262144,\
         \"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}}}"
    )
}

pub fn run(record: &Record, has_trouble: bool) -> Verdict {
    let mut system = System::new(3, 1, record);
    system.start();
    system.wait_for_leader(Duration::from_secs(10)).ok_or("no leader")?;
    let config = config();
    if !system.configure(&config, Duration::from_secs(10)) {
        return Err("the config was not acknowledged".to_string());
    }
    let task = format!("{ID}.0.0.0");
    // The first worker that is told to start the unit leaves each of its starts unanswered.
    let chosen: Arc<Mutex<Option<String>>> = Arc::default();
    let holds: Option<Holds> = has_trouble.then(|| {
        let (chosen, task) = (chosen.clone(), task.clone());
        Arc::new(move |worker: &str, started: &str| {
            let mut chosen = chosen.lock().unwrap();
            started == task && chosen.get_or_insert_with(|| worker.to_string()) == worker
        }) as Holds
    });
    let mut lives: Vec<Arc<Life>> =
        (0..WORKERS).map(|index| start_worker(index, &system, record, holds.clone())).collect();
    thread::sleep(Duration::from_secs(3));
    let job = "{\"spec\":\"20000\",\"steps\":[{\"count\":1,\"cpu\":1800,\"mem_mb\":3600,\
               \"est_runtime_ms\":20000}]}";
    match system.client("POST", ID, Some(job)) {
        Some((200, _)) => {}
        other => return Err(format!("the job was not accepted: {other:?}")),
    }
    let wait_for_run = |max_wait: Duration| {
        let end = Instant::now() + max_wait;
        while Instant::now() < end && record.spans_of(&task).is_empty() {
            thread::sleep(Duration::from_millis(10));
        }
        !record.spans_of(&task).is_empty()
    };
    if !wait_for_run(Duration::from_secs(9)) {
        return Err("the unit did not begin within 9 s".to_string());
    }
    thread::sleep(Duration::from_millis(700));
    if has_trouble {
        let id = chosen.lock().unwrap().clone().ok_or("no start was left unanswered")?;
        let index = lives.iter().position(|life| life.setup.id == id).ok_or("no such worker")?;
        let orders = |life: &Arc<Life>| life.setup.orders.load(Ordering::SeqCst);
        let (held, all) = (lives[index].setup.held.lock().unwrap().len(), lives.iter().map(orders));
        record.say(&format!(
            "{held} of {} orders to workers got no answer; {id} loses power",
            all.sum::<u64>()
        ));
        lives[index].fall_silent();
        thread::sleep(DOWN);
        let setup = lives[index].setup.clone();
        lives[index] = Life::start(&setup, "127.0.0.1");
        record.say(&format!("{id} is back"));
        let (sent_at, late) = setup.held.lock().unwrap().remove(0);
        record.say(&format!("a start is carried out {:?} after it was sent", sent_at.elapsed()));
        lives[index].carry_out(&late);
    }
    thread::sleep(Duration::from_secs(6));
    let spans = record.spans_of(&task);
    let mut is_broken = false;
    for (index, span) in spans.iter().enumerate() {
        record.say(&format!("{span:?}"));
        for other in &spans[..index] {
            let (end, other_end) =
                (span.to.unwrap_or(record.now()), other.to.unwrap_or(record.now()));
            let overlap = end.min(other_end).saturating_sub(span.from.max(other.from));
            if overlap > Duration::ZERO {
                record.say(&format!(
                    "run {} on {} and run {} on {} run at the same time for {overlap:?}",
                    other.run, other.worker, span.run, span.worker
                ));
                is_broken = true;
            }
        }
    }
    lives.iter().for_each(|life| life.crash());
    Ok(is_broken)
}

fn start_worker(index: usize, system: &System, record: &Record, holds: Option<Holds>) -> Arc<Life> {
    let setup = Arc::new(Setup {
        id: format!("i-{index:08x}"),
        machine: format!("m-{index:05x}"),
        service: "huvo11a".to_string(),
        zone: "north".to_string(),
        rack: format!("r1-{index}"),
        cpu: CPU,
        mem_mb: 131_072,
        tickets: None,
        stop_time: STOP_TIME,
        control: system.control(),
        record: record.clone(),
        holds,
        held: Mutex::default(),
        orders: Default::default(),
    });
    Life::start(&setup, "127.0.0.1")
}

/// Two units fill a worker; copies of the starts of two runs of each come to its next life.
pub fn run_limit(record: &Record, has_trouble: bool) -> Verdict {
    let mut system = System::new(3, 1, record);
    system.start();
    system.wait_for_leader(Duration::from_secs(10)).ok_or("no leader")?;
    if !system.configure(&config(), Duration::from_secs(10)) {
        return Err("the config was not acknowledged".to_string());
    }
    let is_holding = Arc::new(AtomicBool::new(has_trouble));
    let flag = is_holding.clone();
    let holds: Holds =
        Arc::new(move |_, task: &str| task.starts_with(ID) && flag.load(Ordering::SeqCst));
    let mut lives: Vec<Arc<Life>> = (0..WORKERS)
        .map(|index| start_worker(index, &system, record, Some(holds.clone())))
        .collect();
    thread::sleep(Duration::from_secs(3));
    let submit = |id: &str, count: usize, spec: u64| {
        let job = format!(
            "{{\"spec\":\"{spec}\",\"steps\":[{{\"count\":{count},\"cpu\":{UNIT_CPU},\"mem_mb\":3600,\
             \"est_runtime_ms\":{spec}}}]}}"
        );
        match system.client("POST", id, Some(&job)) {
            Some((200, _)) => Ok(()),
            other => Err(format!("the job was not accepted: {other:?}")),
        }
    };
    let submit_small = |id: &str| {
        let job = "{\"spec\":\"300\",\"steps\":[{\"count\":6,\"cpu\":800,\"mem_mb\":500,\
                   \"est_runtime_ms\":300}]}";
        match system.client("POST", id, Some(job)) {
            Some((200, _)) => Ok(()),
            other => Err(format!("a job was not accepted: {other:?}")),
        }
    };
    // All workers but one are full.
    submit("00000000000000aa", (WORKERS - 1) * UNITS, 60_000)?;
    thread::sleep(Duration::from_secs(2));
    let idle: Vec<usize> = (0..WORKERS).filter(|index| lives[*index].running() == 0).collect();
    let [index] = idle[..] else { return Err(format!("workers {idle:?} are idle")) };
    submit(ID, UNITS, 20_000)?;
    let setup = lives[index].setup.clone();
    // By unit and run, the oldest start that may be carried out by now.
    let due = || {
        let mut due: BTreeMap<(String, u64), (Instant, Json)> = BTreeMap::new();
        for (sent_at, body) in setup.held.lock().unwrap().iter() {
            if sent_at.elapsed() > MIN_DELAY && sent_at.elapsed() < MAX_DELAY {
                let key = (body.get("task").text().to_string(), body.get("run_id").number());
                due.entry(key).or_insert((*sent_at, body.clone()));
            }
        }
        due
    };
    if has_trouble {
        let end = Instant::now() + Duration::from_secs(30);
        let mut number = 0xb000;
        while due().len() < 2 * UNITS && Instant::now() < end {
            // Other jobs, whose starts are answered.
            number += 1;
            submit_small(&format!("{number:016x}"))?;
            thread::sleep(Duration::from_millis(200));
        }
        if due().len() < 2 * UNITS {
            return Err(format!("starts of only {} runs are under way", due().len()));
        }
        let all: u64 = lives.iter().map(|life| life.setup.orders.load(Ordering::SeqCst)).sum();
        let held = setup.held.lock().unwrap().len();
        record.say(&format!("{held} of {all} orders got no answer; the worker loses power"));
        lives[index].fall_silent();
        thread::sleep(DOWN);
        is_holding.store(false, Ordering::SeqCst);
        lives[index] = Life::start(&setup, "127.0.0.1");
        record.say("it is back");
        for (sent_at, body) in due().into_values() {
            record
                .say(&format!("a start is carried out {:?} after it was sent", sent_at.elapsed()));
            lives[index].carry_out(&body);
        }
    }
    thread::sleep(Duration::from_secs(6));
    let mut changes = Vec::new();
    for unit in 0..UNITS {
        for span in record.spans_of(&format!("{ID}.0.0.{unit}")) {
            record.say(&format!("{span:?}"));
            changes.push((span.from, 1));
            changes.extend(span.to.map(|to| (to, -1)));
        }
    }
    changes.sort();
    let (mut running, mut most) = (0i64, 0i64);
    for (_, change) in changes {
        running += change;
        most = most.max(running);
    }
    let used = most as u64 * UNIT_CPU;
    record.say(&format!("at most {used} thousandths of a core were in use, the capacity is {CPU}"));
    lives.iter().for_each(|life| life.crash());
    Ok(used > CPU)
}
