//! Large jobs, on machines whose memory has a bound: many that can never be done, or one of small
//! work units.

#[path = "lib.rs"]
mod lib;

use lib::*;
use std::thread;
use std::time::{Duration, Instant};

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, Ordering};

const PREFIX: &str = "/gate/";
const MAX_ATTEMPTS: u64 = 3;
/// Jobs with a label in `requires` that no worker has.
const HOPELESS_JOBS: u32 = 200;
/// Work units of each of them, and without the trouble.
const UNITS: u32 = 20_000;
const FEW_UNITS: u32 = 8;
/// Memory of the machine of a core, and of an edge, in MiB.
const CORE_MB: u64 = 256;
const EDGE_MB: u64 = 260;
/// Time after which the client sends no further jobs.
const SENDING: Duration = Duration::from_secs(25);
const FINISH: Duration = Duration::from_secs(14);
/// Processes of half of the core that end by themselves so often fail the day.
const MAX_ENDS: u32 = 3;

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let [_, program, folder, record_path, rest @ ..] = &args[..] else { std::process::exit(2) };
    let is_one = rest.first().is_some_and(|load| load == "one");
    let trouble = !std::env::var("TROUBLE").is_ok_and(|value| value == "0");
    let record = Record::create(record_path);
    let code = play(program, folder, &record, trouble, is_one);
    record.note(&format!("exit {code}"));
    std::process::exit(code);
}

/// Memory of a process in KiB, as the platform sees it.
fn resident_kib(pid: u32) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    line.and_then(|line| line.split_whitespace().nth(1)?.parse().ok()).unwrap_or(0)
}

/// Ends processes that use more memory than their machine has, and starts processes that have
/// ended again after a short delay, as the platform does. Returns the number of such ends by host.
fn watch(system: &Mutex<System>, ends: &Mutex<Vec<u32>>, record: &Record, over: &AtomicBool) {
    let mut peaks = vec![0; 16];
    while !over.load(Ordering::Relaxed) {
        let hosts: Vec<u8> = system.lock().expect("no panic").processes.keys().copied().collect();
        for host in hosts {
            let mut system = system.lock().expect("no panic");
            let bound = if host <= system.cores { CORE_MB } else { EDGE_MB };
            let kib = resident_kib(system.processes[&host].id());
            let peak: &mut u64 = &mut peaks[usize::from(host)];
            *peak = (*peak).max(kib);
            let has_ended = system
                .processes
                .get_mut(&host)
                .is_some_and(|child| child.try_wait().is_ok_and(|status| status.is_some()));
            if kib <= bound * 1024 && !has_ended {
                continue;
            }
            record.note(&format!("m{host} uses {} MiB of {bound}, and is ended", kib / 1024));
            system.kill(host);
            ends.lock().expect("no panic")[usize::from(host)] += 1;
            drop(system);
            thread::sleep(Duration::from_millis(300));
        }
        {
            let mut system = system.lock().expect("no panic");
            for host in 1..=system.cores + system.edges {
                if !system.processes.contains_key(&host) {
                    system.run(host, false);
                }
            }
        }
        thread::sleep(Duration::from_millis(10));
    }
    let peaks: Vec<String> = peaks
        .iter()
        .enumerate()
        .filter(|(_, peak)| **peak > 0)
        .map(|(host, kib)| format!("m{host} {} MiB", kib / 1024))
        .collect();
    record.note(&format!("most memory seen: {}", peaks.join(", ")));
}

fn play(program: &str, folder: &str, record: &Record, trouble: bool, is_one: bool) -> i32 {
    let mut system = System::new(program, folder, 3, 2);
    system.run_all();
    let world = World::new(record.clone(), system.controls());
    start_clock(&world);
    let host = "pule25.example";
    let config = format!(
        "{{\"version\":7,\"routes\":[{{\"name\":\"r-gate\",\"host\":\"{host}\",\"path_prefix\":\"{PREFIX}\",\
         \"route_type\":\"unsafe\",\"timeout_ms\":3000,\"slo_ms\":600,\"priority\":0,\"service\":\"gate\",\
         \"max_attempts\":{MAX_ATTEMPTS},\"stretch\":2.2}}],\"services\":[{{\"name\":\"gate\",\
         \"health_path\":\"/health\",\"max_conns\":64,\"protocol\":\"h1\",\"tls\":false,\
         \"enforces_capacity\":false,\"standby\":false}}],\"limits\":{{\"max_header_bytes\":16384,\
         \"max_body_bytes\":262144,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}}}"
    );
    if !system.configure(&config) {
        record.note("the config was not acknowledged");
        return 2;
    }
    record.note("config 7 acknowledged");
    let workers: usize = if is_one { 9 } else { 6 };
    for number in 0..workers {
        let (id, machine) = (format!("i-{number:08x}"), format!("m-{number:05x}"));
        let zone = ["norte", "sur", "este"][number % 3];
        start_worker(&world, &id, &machine, "gate", (32_000, 131_072), (zone, "r1", "a"));
    }
    thread::sleep(Duration::from_secs(4));
    let fronts = [system.front(0), system.front(1)];
    let system = Arc::new(Mutex::new(system));
    let ends = Arc::new(Mutex::new(vec![0u32; 16]));
    let over = Arc::new(AtomicBool::new(false));
    let watcher = {
        let (system, ends, record, over) =
            (system.clone(), ends.clone(), record.clone(), over.clone());
        thread::spawn(move || watch(&system, &ends, &record, &over))
    };
    let headers = format!("Host: {host}\r\nX-Deadline-Ms: 3000\r\n");
    let send = |method: &str, id: &str, body: Option<&str>, edge: usize| {
        let path = format!("{PREFIX}{id}");
        call(fronts[edge % 2], method, &path, &headers, body, Duration::from_secs(3))
    };
    // An ordinary job that lasts, of another client.
    let ordinary = "5c0e7a21d94b36f8";
    let body = "{\"spec\":\"lasting work\",\"steps\":[{\"count\":2,\"cpu\":1000,\"mem_mb\":256,\
                \"est_runtime_ms\":700,\"long_running\":true}]}";
    let answer = send("POST", ordinary, Some(body), 0);
    record.note(&format!("POST {ordinary}, an ordinary job: {answer:?}"));
    if answer.is_none_or(|(status, _)| status != 200) {
        return 2;
    }
    thread::sleep(Duration::from_secs(2));
    let units = if trouble { UNITS } else { FEW_UNITS };
    let (jobs, unit) = match is_one {
        true => (1, "\"cpu\":10,\"mem_mb\":16,\"est_runtime_ms\":500"),
        false => {
            (HOPELESS_JOBS, "\"cpu\":1000,\"mem_mb\":256,\"est_runtime_ms\":500,\"requires\":\"b\"")
        }
    };
    let body = format!("{{\"spec\":\"500 work\",\"steps\":[{{\"count\":{units},{unit}}}]}}");
    let (mut accepted, mut refused, mut unclear) = (0, 0, 0);
    let until = Instant::now() + SENDING;
    let mut sent = 0;
    for number in 0..jobs {
        if Instant::now() >= until {
            break;
        }
        sent += 1;
        match send("POST", &format!("{number:016x}"), Some(&body), number as usize) {
            Some((200, _)) => accepted += 1,
            Some((429 | 503, _)) => refused += 1,
            _ => unclear += 1,
        }
        thread::sleep(Duration::from_millis(20));
    }
    record.note(&format!(
        "{sent} jobs of {units} work units and {} bytes each: {accepted} accepted, {refused} refused, \
         {unclear} without a clear answer",
        body.len()
    ));
    thread::sleep(FINISH);
    let (mut answered, mut unanswered) = (0, 0);
    let until = Instant::now() + Duration::from_secs(15);
    let mut edge = 0;
    while Instant::now() < until {
        let answer = send("GET", ordinary, None, edge);
        edge += 1;
        if answer.as_ref().is_some_and(|(status, _)| *status == 200) {
            answered += 1;
        } else {
            unanswered += 1;
        }
        thread::sleep(Duration::from_millis(200));
    }
    let first = send("GET", &format!("{:016x}", 0), None, 1);
    record.note(&format!("the state of the first large job: {first:?}"));
    let answer = send("GET", ordinary, None, 0);
    let running = {
        let world = locked(&world);
        world.runs.iter().filter(|run| run.end.is_none()).count()
    };
    over.store(true, Ordering::Relaxed);
    let _ = watcher.join();
    let ends = ends.lock().expect("no panic").clone();
    let cores_over = (1..=3).filter(|core| ends[*core] >= MAX_ENDS).count();
    record.note(&format!(
        "{} s after the last job: the state of the ordinary job was asked for {} times, {answered} \
         answered; last answer {answer:?}; {running} of its 2 work units run",
        FINISH.as_secs(),
        answered + unanswered
    ));
    record.note(&format!(
        "cores that ended for want of memory: m1 {}, m2 {}, m3 {} times",
        ends[1], ends[2], ends[3]
    ));
    i32::from(answered == 0 || running == 0 || cores_over >= 2)
}
