//! A server that crashes several times under a work unit that only it can run.

#[path = "lib.rs"]
mod lib;

use lib::*;
use std::thread;
use std::time::{Duration, Instant};

const ID: &str = "7b1d5e3e03cb12b7";
const PREFIX: &str = "/gate/";
/// Workers of the service; one of them (0.125) crashes, less than the share of 0.15.
const WORKERS: usize = 8;
/// The only worker with the label that the work unit requires.
const FLAPPING: usize = 7;
const CRASHES: u32 = 5;
/// How long the worker is up before each crash, and down after it.
const UP: Duration = Duration::from_millis(5000);
const DOWN: Duration = Duration::from_millis(1000);
const MAX_ATTEMPTS: u64 = 3;

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let [_, program, folder, record_path] = &args[..] else { std::process::exit(2) };
    let trouble = !std::env::var("TROUBLE").is_ok_and(|value| value == "0");
    let record = Record::create(record_path);
    let code = play(program, folder, &record, trouble);
    record.note(&format!("exit {code}"));
    std::process::exit(code);
}

fn start(world: &Shared, number: usize) -> usize {
    let (id, machine) = (format!("i-{number:08x}"), format!("m-{number:05x}"));
    let zone = ["norte", "sur", "este"][number % 3];
    let kind = if number == FLAPPING { "g" } else { "a" };
    start_worker(world, &id, &machine, "gate", (4000, 8192), (zone, "r1", kind))
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
    let mut flapping = 0;
    for number in 0..WORKERS {
        flapping = start(&world, number);
    }
    thread::sleep(Duration::from_secs(5));
    let headers = format!("Host: {host}\r\nX-Deadline-Ms: 3000\r\n");
    let body = "{\"spec\":\"9000 work\",\"steps\":[{\"count\":1,\"cpu\":2000,\"mem_mb\":256,\
                \"est_runtime_ms\":9000,\"requires\":\"g\"}]}";
    let path = format!("{PREFIX}{ID}");
    let mut is_accepted = false;
    for attempt in 0..6 {
        let answer =
            call(system.front(attempt), "POST", &path, &headers, Some(body), Duration::from_secs(3));
        record.note(&format!("POST {path}: {answer:?}"));
        if answer.is_some_and(|(status, _)| status == 200) {
            is_accepted = true;
            break;
        }
        thread::sleep(Duration::from_millis(300));
    }
    if !is_accepted {
        return 2;
    }
    let end = Instant::now() + Duration::from_secs(80);
    let mut crashes = 0;
    let mut change_at = Instant::now() + UP;
    let mut is_up = true;
    let (mut edge, mut state) = (0u8, String::new());
    while Instant::now() < end {
        if trouble && Instant::now() >= change_at && (!is_up || crashes < CRASHES) {
            if is_up {
                locked(&world).crash(flapping);
                crashes += 1;
                change_at = Instant::now() + DOWN;
            } else {
                flapping = start(&world, FLAPPING);
                record.note("the worker is back, with its id, machine and label");
                change_at = Instant::now() + UP;
            }
            is_up = !is_up;
        }
        let answer =
            call(system.front(edge), "GET", &path, &headers, None, Duration::from_secs(3));
        edge = edge.wrapping_add(1);
        let now = answer
            .map(|(status, body)| format!("{status} {}", body.get("state").text()))
            .unwrap_or("no answer".to_string());
        if now != state {
            record.note(&format!("GET {path}: {now}"));
            state = now;
        }
        if state == "200 completed" || state == "200 failed" || state == "200 canceled" {
            break;
        }
        thread::sleep(Duration::from_millis(100));
    }
    let failed = locked(&world).history.iter().filter(|(.., how)| *how == "failed").count();
    record.note(&format!(
        "the job is shown as \"{state}\"; {failed} of its runs ended failed; max_attempts \
         {MAX_ATTEMPTS}; the worker crashed {crashes} times"
    ));
    let ends = system.own_ends();
    if !ends.is_empty() {
        record.note(&format!("processes ended by themselves: {ends:?}"));
        return 1;
    }
    match state.as_str() {
        "200 completed" => 0,
        "200 failed" if (failed as u64) < MAX_ATTEMPTS => 1,
        "200 failed" => 0,
        _ => 2,
    }
}
