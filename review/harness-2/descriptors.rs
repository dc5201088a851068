//! Two queues whose demand rises and falls by turns, so that machines move between pools; then a
//! few jobs are handed in.

use crate::cloud::Cloud;
use crate::record::Record;
use crate::system::{HOST, System};
use crate::{Verdict, http};
use std::collections::BTreeSet;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const MACHINES: usize = 99;
/// Descriptors of a core machine, less the 200 that are reserved.
const MAX_FDS: u32 = 4096 - 200;
const POOLS: [&str; 2] = ["huvo11a", "kafi81c"];
const STANDBY: &str = "lohu93e";
const PREFIXES: [&str; 2] = ["/puxa400/", "/wuhu344/"];
/// Jobs a second of a queue on average.
const MEAN_RATE: f64 = 14.0;
/// Work of a job: units, cores of each, and milliseconds that one runs.
const UNITS: usize = 24;
const UNIT_CORES: usize = 5;
const UNIT_MS: u64 = 400;
const CLIENTS: usize = 24;
const TRAFFIC: Duration = Duration::from_secs(88);
const PERIOD: Duration = Duration::from_millis(3000);
/// Number of jobs, the newest ones, whose state is asked for in the end.
const MAX_ASKED: usize = 1000;
const FINISH: Duration = Duration::from_secs(14);

fn config() -> String {
    let route = |index: usize| {
        format!(
            "{{\"name\":\"r-{index}\",\"host\":\"{HOST}\",\"path_prefix\":\"{}\",\
             \"route_type\":\"unsafe\",\"timeout_ms\":3000,\"slo_ms\":600,\"priority\":0,\
             \"service\":\"{}\",\"max_attempts\":3,\"stretch\":1.6}}",
            PREFIXES[index], POOLS[index]
        )
    };
    let service = |name: &str, standby: bool| {
        format!(
            "{{\"name\":\"{name}\",\"health_path\":\"/health\",\"max_conns\":64,\"protocol\":\"h1\",\
             \"tls\":false,\"enforces_capacity\":false,\"standby\":{standby}}}"
        )
    };
    format!(
        "{{\"version\":1,\"routes\":[{},{}],\"services\":[{},{},{}],\"limits\":\
         {{\"max_header_bytes\":16384,\"max_body_bytes\":262144,\"header_timeout_ms\":3000,\
         \"idle_timeout_ms\":15000}}}}",
        route(0),
        route(1),
        service(POOLS[0], false),
        service(POOLS[1], false),
        service(STANDBY, true)
    )
}

/// Demand of a queue at a time, as a multiple of its mean.
fn factor(queue: usize, elapsed: Duration, by_turns: bool) -> f64 {
    if !by_turns {
        return 1.0;
    }
    let turn = (elapsed.as_millis() / PERIOD.as_millis()) as usize % 2;
    if turn == queue { 1.95 } else { 0.05 }
}

pub fn run(record: &Record, has_trouble: bool) -> Verdict {
    let mut system = System::new(3, 1, record);
    let cloud = Cloud::new(system.control(), record);
    let api = cloud.serve();
    system.cloud = Some(api.address);
    system.max_fds = Some(MAX_FDS);
    system.start();
    let leader = system.wait_for_leader(Duration::from_secs(10)).ok_or("no leader")?;
    if !system.configure(&config(), Duration::from_secs(10)) {
        return Err("the config was not acknowledged".to_string());
    }
    for index in 0..MACHINES {
        let pool = [POOLS[0], POOLS[1], STANDBY][index % 3];
        let rack = format!("r1-{}", index / 4);
        cloud.add(&format!("m-{index:05x}"), pool, &rack, "north");
    }
    thread::sleep(Duration::from_secs(2));
    let before = system.descriptors(leader);
    record.say(&format!("before: {before} descriptors of the leader p{leader}"));
    let stop = Arc::new(AtomicBool::new(false));
    let accepted: Arc<Mutex<Vec<String>>> = Arc::default();
    let (edge, start) = (system.edge(), Instant::now());
    for client in 0..CLIENTS {
        let (stop, accepted) = (stop.clone(), accepted.clone());
        http::spawn(move || {
            let queue = client % 2;
            let (mut number, mut debt, mut last) = (0u64, 0.0, Instant::now());
            while !stop.load(Ordering::SeqCst) {
                let now = Instant::now();
                let rate = MEAN_RATE / (CLIENTS as f64 / 2.0);
                debt +=
                    rate * factor(queue, start.elapsed(), has_trouble) * (now - last).as_secs_f64();
                last = now;
                if debt < 1.0 {
                    thread::sleep(Duration::from_millis(10));
                    continue;
                }
                debt -= 1.0;
                number += 1;
                let path =
                    format!("{}{:016x}", PREFIXES[queue], (client as u64 + 1) << 32 | number);
                let body = format!(
                    "{{\"spec\":\"{UNIT_MS}\",\"steps\":[{{\"count\":{UNITS},\"cpu\":{},\"mem_mb\":3600,\
                     \"est_runtime_ms\":{UNIT_MS}}}]}}",
                    UNIT_CORES * 1000
                );
                let reply =
                    http::call(edge, "POST", &path, HOST, Some(&body), Duration::from_secs(3));
                if reply.is_some_and(|(status, _)| status == 200) {
                    accepted.lock().unwrap().push(path);
                }
            }
        });
    }
    let mut told = Instant::now();
    while start.elapsed() < TRAFFIC {
        thread::sleep(Duration::from_millis(200));
        if told.elapsed() > Duration::from_secs(5) {
            told = Instant::now();
            let accepted = accepted.lock().unwrap().len();
            let count = system.descriptors(leader);
            record.say(&format!(
                "{} moves, {count} descriptors of the leader, {accepted} jobs accepted, {} units run, {} and {} machines up",
                cloud.moves(),
                cloud.running(),
                cloud.up_in(POOLS[0]),
                cloud.up_in(POOLS[1])
            ));
        }
    }
    stop.store(true, Ordering::SeqCst);
    thread::sleep(FINISH);
    let ids = accepted.lock().unwrap().clone();
    let newest = &ids[ids.len().saturating_sub(MAX_ASKED)..];
    let is_completed = |path: &String| {
        let reply = http::call(edge, "GET", path, HOST, None, Duration::from_secs(3));
        record.line(&format!("client GET {path}: {reply:?}"));
        reply.is_some_and(|(_, text)| text.contains("completed"))
    };
    let mut open: Vec<String> = newest.iter().filter(|path| !is_completed(path)).cloned().collect();
    record.say(&format!(
        "{FINISH:?} after the traffic: {} descriptors of p{leader}, {} jobs accepted, {} of the last {} \
         not completed",
        system.descriptors(leader),
        ids.len(),
        open.len(),
        newest.len()
    ));
    let until = Instant::now() + Duration::from_secs(3);
    let (mut at_work, mut most_running) = (BTreeSet::new(), [0; 2]);
    while Instant::now() < until {
        for (queue, pool) in POOLS.iter().enumerate() {
            let running = cloud.running_in(pool);
            most_running[queue] = most_running[queue].max(running.len());
            at_work
                .extend(running.iter().filter_map(|unit| unit.split('.').next()).map(String::from));
        }
        thread::sleep(Duration::from_millis(20));
    }
    open.retain(|path| !path.rsplit('/').next().is_some_and(|id| at_work.contains(id)));
    open.retain(|path| !is_completed(path));
    let mut is_broken = false;
    for (queue, pool) in POOLS.iter().enumerate() {
        let idle = open.iter().filter(|path| path.starts_with(PREFIXES[queue])).count();
        let (most, room) = (most_running[queue], cloud.up_in(pool) * 32 / UNIT_CORES);
        record.say(&format!(
            "pool {pool}: {idle} accepted jobs had nothing running for 3 s; at most {most} units ran at a \
             time, room is for {room}"
        ));
        is_broken |= idle > 0 && most * 2 < room && most + 2 <= room;
    }
    cloud.end();
    api.close();
    Ok(is_broken)
}
