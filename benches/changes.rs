//! Changes with six entry processes: accepted changes per second, time until they are in
//! force everywhere, time of a restart and size of a data folder. Also the resource use of idle
//! entries.

#[allow(dead_code)]
#[path = "../tests/workdir.rs"]
mod workdir;

use async_std::task;
use hdrhistogram::Histogram;
use standin::client::{Call, Connection};
use std::path::Path;
use std::time::{Duration, Instant};
use workdir::{OPERATOR_TOKEN, Workdir, until};

const TIMEOUT: Duration = Duration::from_secs(10);
const IDLE_TIME: Duration = Duration::from_secs(20);

fn main() {
    let mut workdir = Workdir::running();
    idle(&workdir);
    in_force(&workdir);
    let mut changes = 0;
    for total in [100, 1_000, 10_000] {
        let added = total - changes;
        let start = Instant::now();
        task::block_on(submit_many(&workdir, changes, added, 32));
        let rate = added as f64 / start.elapsed().as_secs_f64();
        changes = total;
        println!("{total:>6} changes: the last {added} at {rate:.0} a second, 32 at once");
        restart(&mut workdir, total);
    }
}

/// Prints processor time, memory and traffic of each entry while there are no requests.
fn idle(workdir: &Workdir) {
    std::thread::sleep(Duration::from_secs(3));
    let before: Vec<_> = workdir.entries.iter().map(|entry| workdir.usage(entry.name)).collect();
    std::thread::sleep(IDLE_TIME);
    println!("idle over {IDLE_TIME:?}: core, resident memory, bytes of frames in and out a second");
    for (entry, before) in workdir.entries.iter().zip(before) {
        let after = workdir.usage(entry.name);
        let seconds = IDLE_TIME.as_secs_f64();
        let core = (after.processor - before.processor).as_secs_f64() / seconds * 100.0;
        let bytes = (after.frame_bytes - before.frame_bytes) / seconds;
        let role = if after.is_leader { "leader" } else { "follower" };
        println!(
            "{:>6} {role:<10} {core:>5.2} % {:>6} KiB {bytes:>7.0} B/s",
            entry.name, after.kib
        );
    }
}

/// Measures the time from sending a change until it is answered and until every entry has it
/// in force.
fn in_force(workdir: &Workdir) {
    let mut answered = Histogram::<u64>::new(3).unwrap();
    let mut applied_everywhere = Histogram::<u64>::new(3).unwrap();
    for number in 0..100 {
        let start = Instant::now();
        let index = task::block_on(submit(workdir, "a2", &format!("force-{number}")));
        answered.record(start.elapsed().as_micros() as u64).unwrap();
        for entry in ["a1", "a2", "b1", "b2", "c1", "c2"] {
            while workdir.get(entry, "/records?kind=plan")["as_of"]["index"].as_u64() < Some(index)
            {
            }
        }
        applied_everywhere.record(start.elapsed().as_micros() as u64).unwrap();
    }
    for (name, times) in [("answered", answered), ("in force at six", applied_everywhere)] {
        let (p50, p99) = (times.value_at_quantile(0.5), times.value_at_quantile(0.99));
        println!("{name}: p50 {p50} us, p99 {p99} us, one change at a time");
    }
}

/// Submits a change and returns its index.
async fn submit(workdir: &Workdir, entry: &str, name: &str) -> u64 {
    let address = workdir.entry(entry).ports.operators;
    let connection = Connection::open(address, TIMEOUT).await.unwrap();
    let answer = connection.send(change(workdir, entry, name)).await.unwrap();
    let value: serde_json::Value = serde_json::from_slice(&answer.body).unwrap();
    value["result"]["index"].as_u64().unwrap_or_else(|| panic!("{}", answer.text()))
}

fn change(workdir: &Workdir, entry: &str, name: &str) -> Call {
    let body = format!(
        r#"{{"id":"{name}","changes":[{{"put":{{"kind":"team","schema":1,"name":"{name}",
           "spec":{{"quota":1,"weight":1}}}}}}]}}"#
    );
    Call::new(workdir.entry(entry).ports.operators, "/submissions").post(body).token(OPERATOR_TOKEN)
}

/// Submits changes over `senders` connections, which share them equally.
async fn submit_many(workdir: &Workdir, from: usize, count: usize, senders: usize) {
    let mut tasks = Vec::new();
    for sender in 0..senders {
        let calls: Vec<Call> = (from..from + count)
            .filter(|number| number % senders == sender)
            .map(|number| change(workdir, "a1", &format!("many-{number}")))
            .collect();
        let address = workdir.entry("a1").ports.operators;
        tasks.push(task::spawn(async move {
            let connection = Connection::open(address, TIMEOUT).await.unwrap();
            for call in calls {
                let answer = connection.send(call).await.unwrap();
                assert_eq!(answer.status, 200, "{}", answer.text());
            }
        }));
    }
    for task in tasks {
        task.await;
    }
}

/// Kills a voter and measures the time until it has everything in force again.
fn restart(workdir: &mut Workdir, changes: usize) {
    let index = workdir.get("a1", "/status")["applied"].as_u64().unwrap();
    until("c1 has all", || workdir.get("c1", "/status")["applied"].as_u64() >= Some(index));
    let bytes = folder_bytes(&workdir.path("c1"));
    workdir.kill("c1");
    let start = Instant::now();
    workdir.start("c1");
    until("c1 is back", || {
        let status = workdir.get("c1", "/status");
        status["applied"].as_u64() >= Some(index) && status["ready"] == true
    });
    let elapsed = start.elapsed();
    println!("{changes:>6} changes: restart of a voter {elapsed:?}, its folder {bytes} bytes");
}

fn folder_bytes(path: &Path) -> u64 {
    let files = std::fs::read_dir(path).unwrap();
    files.map(|file| file.unwrap().metadata().unwrap().len()).sum()
}
