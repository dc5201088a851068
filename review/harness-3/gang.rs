//! A gang whose members fail together on workers that fail all that they start.

#[path = "lib.rs"]
mod lib;

use lib::*;
use std::thread;
use std::time::{Duration, Instant};

const ID: &str = "5c0e7a21d94b36f8";
const PREFIX: &str = "/gate/";
/// Workers of the service; one of them (0.125) turns grey, less than the share of 0.15.
const WORKERS: usize = 8;
/// Each worker has room for two members.
const MEMBERS: usize = 16;
const GREY: Duration = Duration::from_millis(5000);
const MAX_ATTEMPTS: u64 = 2;

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let [_, program, folder, record_path] = &args[..] else { std::process::exit(2) };
    let trouble = !std::env::var("TROUBLE").is_ok_and(|value| value == "0");
    let record = Record::create(record_path);
    let code = play(program, folder, &record, trouble);
    record.note(&format!("exit {code}"));
    std::process::exit(code);
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
    locked(&world).gangs.insert(format!("{ID}.0.0"), MEMBERS);
    if trouble {
        let mut world = locked(&world);
        world.lives[3].is_grey = true;
        let id = world.lives[3].id.clone();
        world.record.note(&format!("{id} turns grey: it fails all that it starts"));
    }
    let grey_until = Instant::now() + GREY;
    let headers = format!("Host: {host}\r\nX-Deadline-Ms: 3000\r\n");
    let body = format!(
        "{{\"spec\":\"800 work\",\"steps\":[{{\"count\":{MEMBERS},\"cpu\":2000,\"mem_mb\":256,\
         \"est_runtime_ms\":800,\"gang\":true}}]}}"
    );
    let path = format!("{PREFIX}{ID}");
    let mut is_accepted = false;
    for attempt in 0..6 {
        let answer = call(
            system.front(attempt),
            "POST",
            &path,
            &headers,
            Some(&body),
            Duration::from_secs(3),
        );
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
    let end = Instant::now() + Duration::from_secs(40);
    let mut edge = 0;
    let mut state = String::new();
    while Instant::now() < end {
        if trouble && Instant::now() >= grey_until {
            let mut world = locked(&world);
            if world.lives[3].is_grey {
                world.lives[3].is_grey = false;
                world.record.note("the grey worker is sound again");
            }
        }
        let answer = call(system.front(edge), "GET", &path, &headers, None, Duration::from_secs(3));
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
    // The gang has failed once for each of its runs in which a member ended `failed`.
    let mut failed_runs: Vec<u64> = locked(&world)
        .history
        .iter()
        .filter(|(.., how)| *how == "failed")
        .map(|(_, _, run, _, _)| *run)
        .collect();
    failed_runs.sort_unstable();
    let failed_members = failed_runs.len();
    failed_runs.dedup();
    record.note(&format!(
        "the job is shown as \"{state}\"; the gang failed in {} of its runs {failed_runs:?} \
         ({failed_members} members ended failed); max_attempts {MAX_ATTEMPTS}",
        failed_runs.len()
    ));
    let ends = system.own_ends();
    if !ends.is_empty() {
        record.note(&format!("processes ended by themselves: {ends:?}"));
        return 1;
    }
    match state.as_str() {
        "200 completed" => 0,
        "200 failed" if (failed_runs.len() as u64) < MAX_ATTEMPTS => 1,
        "200 failed" => 0,
        _ => 2,
    }
}
