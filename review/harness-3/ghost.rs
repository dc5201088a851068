//! A client that leaves while the leading core stands still, and cancels its job at another edge.

#[path = "lib.rs"]
mod lib;

use lib::*;
use std::thread;
use std::time::{Duration, Instant};

const ID: &str = "3e0786f04cb1d502";
const PREFIX: &str = "/gate/";
const WORKERS: usize = 6;
const MAX_ATTEMPTS: u64 = 3;
/// How long the leading core stands still.
const FREEZE: Duration = Duration::from_millis(5000);
/// After this time without an answer the client leaves: half of the objective (`slo_ms`).
const PATIENCE: Duration = Duration::from_millis(300);
const CONTACT: Duration = Duration::from_millis(3000);
const CANCEL: Duration = Duration::from_millis(3000);
const STOP_TIMEOUT: Duration = Duration::from_millis(400);
/// Time after the last bound for which the workers are watched.
const WATCH: Duration = Duration::from_secs(12);

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let [_, program, folder, record_path] = &args[..] else { std::process::exit(2) };
    let trouble = !std::env::var("TROUBLE").is_ok_and(|value| value == "0");
    let record = Record::create(record_path);
    let code = play(program, folder, &record, trouble);
    record.note(&format!("exit {code}"));
    std::process::exit(code);
}

/// Returns the core that says in its dump that it leads.
fn leader(system: &System) -> Option<u8> {
    (1..=system.cores).find(|core| {
        let address = system.at(*core, 7025);
        call(address, "GET", "/dump", "", None, Duration::from_millis(500))
            .is_some_and(|(_, dump)| *dump.get("reign") != Json::Null)
    })
}

fn play(program: &str, folder: &str, record: &Record, trouble: bool) -> i32 {
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
    for number in 0..WORKERS {
        let (id, machine) = (format!("i-{number:08x}"), format!("m-{number:05x}"));
        let zone = ["norte", "sur", "este"][number % 3];
        start_worker(&world, &id, &machine, "gate", (4000, 8192), (zone, "r1", "a"));
    }
    thread::sleep(Duration::from_secs(5));
    let Some(leading) = leader(&system) else {
        record.note("no core leads");
        return 2;
    };
    let headers = format!("Host: {host}\r\nX-Deadline-Ms: 3000\r\n");
    let body = "{\"spec\":\"lasting work\",\"steps\":[{\"count\":2,\"cpu\":1000,\"mem_mb\":256,\
                \"est_runtime_ms\":700,\"long_running\":true}]}";
    let path = format!("{PREFIX}{ID}");
    // A first request on each edge, as in any deployment that has been in use.
    for edge in 0..2 {
        let other = format!("{PREFIX}00000000000000{edge:02x}");
        let answer =
            call(system.front(edge), "GET", &other, &headers, None, Duration::from_secs(3));
        record.note(&format!("GET {other}: {answer:?}"));
    }
    if trouble {
        system.signal(leading, "STOP");
        record.note(&format!("core m{leading}, which leads, stands still"));
    }
    let thaw_at = Instant::now() + FREEZE;
    let answer = call(system.front(0), "POST", &path, &headers, Some(body), PATIENCE);
    record.note(&format!("POST {path}: {answer:?}; after at most {PATIENCE:?} the client leaves"));
    let mut acked = None;
    let mut thawed = !trouble;
    for _ in 0..100 {
        let answer = call(system.front(1), "DELETE", &path, &headers, None, Duration::from_secs(3));
        record.note(&format!("DELETE {path}: {answer:?}"));
        if answer.is_some_and(|(status, _)| status == 410 || (200..300).contains(&status)) {
            acked = Some(Instant::now());
            break;
        }
        if !thawed && Instant::now() >= thaw_at {
            system.signal(leading, "CONT");
            thawed = true;
            record.note(&format!("core m{leading} goes on"));
        }
        thread::sleep(Duration::from_millis(100));
    }
    let Some(acked) = acked else { return 2 };
    while !thawed {
        if Instant::now() >= thaw_at {
            system.signal(leading, "CONT");
            thawed = true;
            record.note(&format!("core m{leading} goes on"));
        }
        thread::sleep(Duration::from_millis(10));
    }
    let calm = Instant::now() + CONTACT;
    let bound = calm.max(acked + CANCEL) + CANCEL + STOP_TIMEOUT;
    let end = bound + WATCH;
    let mut state = String::new();
    while Instant::now() < end {
        let answer = call(system.front(1), "GET", &path, &headers, None, Duration::from_secs(3));
        let now = answer
            .map(|(status, body)| format!("{status} {}", body.get("state").text()))
            .unwrap_or("no answer".to_string());
        if now != state {
            record.note(&format!("GET {path}: {now}"));
            state = now;
        }
        thread::sleep(Duration::from_millis(200));
    }
    let (running, started) = {
        let world = locked(&world);
        let running = world.runs.iter().filter(|run| run.end.is_none()).count();
        let late = world.runs.iter().filter(|run| run.started > acked + CANCEL).count();
        (running, late)
    };
    record.note(&format!(
        "{} s after the last bound: {running} work units of the cancelled job still run; {started} started \
         later than {CANCEL:?} after the ack of the cancelling; the job is shown as \"{state}\"",
        WATCH.as_secs()
    ));
    let ends = system.own_ends();
    if !ends.is_empty() {
        record.note(&format!("processes ended by themselves: {ends:?}"));
        return 1;
    }
    i32::from(running > 0)
}
