//! Measurements for docs/CAPACITY.md: processor time, memory and traffic of an entry while the
//! number of entries, announcements or records doubles twice. Arguments name the parts to
//! run (entries, announcements, records); without any, all run.

#[allow(dead_code)]
#[path = "../tests/workdir.rs"]
mod workdir;

use async_std::task;
use standin::client::{Call, Connection};
use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};
use workdir::{OPERATOR_TOKEN, TARGET_TOKEN, Usage, Workdir, until};

const MEASURING_TIME: Duration = Duration::from_secs(20);
const TIMEOUT: Duration = Duration::from_secs(10);
const SETTLING_TIME: Duration = Duration::from_secs(3);

/// Names of the entries of the largest cluster. The first three vote, or the first five of a
/// cluster of at least six.
const NAMES: [&str; 12] = ["a", "b", "c", "d", "e", "f", "g", "h", "i", "j", "k", "l"];

fn main() {
    let wanted: Vec<String> = std::env::args().skip(1).filter(|a| !a.starts_with('-')).collect();
    let wants = |part: &str| wanted.is_empty() || wanted.iter().any(|name| name == part);
    if wants("entries") {
        [3, 6, 12].into_iter().for_each(entries);
    }
    if wants("announcements") {
        announcements();
    }
    if wants("records") {
        records();
    }
}

/// Measures idle clusters with one entry in each data centre.
fn entries(size: usize) {
    let voters = if size < 6 { 3 } else { 5 };
    let shape: Vec<_> = NAMES[..size]
        .iter()
        .enumerate()
        .map(|(number, name)| (*name, *name, number < voters))
        .collect();
    let workdir = Workdir::with_shape(&shape).run_all();
    let used = measure(&workdir, || std::thread::sleep(MEASURING_TIME));
    println!("{size} entries, {voters} voters, idle for {MEASURING_TIME:?}");
    for role in ["leader", "voter", "learner"] {
        let of_role: Vec<&Measured> = used.iter().filter(|used| used.role == role).collect();
        print_mean(role, &of_role);
    }
}

/// Resource use of one entry during a measurement.
struct Measured {
    role: &'static str,
    /// Share of a core, in percent.
    core: f64,
    /// Resident memory at the end, in KiB.
    kib: f64,
    /// Bytes of frames to and from other entries per second.
    bytes: f64,
    /// Frames to and from other entries per second.
    frames: f64,
    /// Processor time, user and system.
    processor: Duration,
}

/// Lets the cluster settle, runs `work`, and returns the resource use of each entry meanwhile.
fn measure(workdir: &Workdir, work: impl FnOnce()) -> Vec<Measured> {
    std::thread::sleep(SETTLING_TIME);
    let start = Instant::now();
    let before: Vec<Usage> =
        workdir.entries.iter().map(|entry| workdir.usage(entry.name)).collect();
    work();
    let seconds = start.elapsed().as_secs_f64();
    let measured = |(entry, before): (&workdir::Entry, Usage)| {
        let after = workdir.usage(entry.name);
        let role = match (after.is_leader, entry.voter) {
            (true, _) => "leader",
            (false, true) => "voter",
            (false, false) => "learner",
        };
        Measured {
            role,
            core: (after.processor - before.processor).as_secs_f64() / seconds * 100.0,
            kib: after.kib as f64,
            bytes: (after.frame_bytes - before.frame_bytes) / seconds,
            frames: (after.frames - before.frames) / seconds,
            processor: after.processor - before.processor,
        }
    };
    workdir.entries.iter().zip(before).map(measured).collect()
}

fn print_mean(name: &str, all: &[&Measured]) {
    if all.is_empty() {
        return;
    }
    let mean = |value: fn(&Measured) -> f64| {
        all.iter().map(|measured| value(measured)).sum::<f64>() / all.len() as f64
    };
    let (core, kib) = (mean(|s| s.core), mean(|s| s.kib));
    let (bytes, frames) = (mean(|s| s.bytes), mean(|s| s.frames));
    println!(
        "  {name:<8} {core:>5.2} % of a core {kib:>7.0} KiB {bytes:>6.0} B/s in {frames:.1} frames/s"
    );
}

/// Measures announcements to one entry, which forwards them to the other one.
fn announcements() {
    let shape = [("a", "north", true), ("b", "north", false)];
    let workdir = Workdir::with_shape(&shape).run_all();
    println!("one announcement and its answer: {} bytes of HTTP", announcement_bytes(&workdir));
    for rate in [0, 25, 50, 100] {
        let used = measure(&workdir, || task::block_on(announce(&workdir, rate)));
        println!("{rate} announcements a second to entry a for {MEASURING_TIME:?}");
        print_mean("a", &[&used[0]]);
        print_mean("b", &[&used[1]]);
    }
}

fn announcement(instance: usize, sequence: u64) -> String {
    format!(
        r#"{{"instance":"north-w{instance:04}","incarnation":1764800000000,"sequence":{sequence},"address":"10.20.30.40:8080","state":"serving","in_flight":4}}"#
    )
}

/// Returns the bytes of one exchange on a new connection, without TCP and IP headers.
fn announcement_bytes(workdir: &Workdir) -> usize {
    let address = workdir.entry("a").ports.targets;
    let body = announcement(1, 1);
    let request = format!(
        "POST /announcements HTTP/1.1\r\nhost: {address}\r\ncontent-length: {}\r\n\
         authorization: Bearer {TARGET_TOKEN}\r\nconnection: close\r\n\r\n{body}",
        body.len()
    );
    let mut stream = TcpStream::connect(address).unwrap();
    stream.write_all(request.as_bytes()).unwrap();
    let mut answer = Vec::new();
    stream.read_to_end(&mut answer).unwrap();
    request.len() + answer.len()
}

/// Sends `rate` announcements per second; each instance announces itself every ten seconds.
async fn announce(workdir: &Workdir, rate: usize) {
    let start = Instant::now();
    let mut sent = 0;
    while start.elapsed() < MEASURING_TIME {
        let due = (start.elapsed().as_secs_f64() * rate as f64) as usize;
        while sent < due {
            let body = announcement(sent % (rate * 10), (sent / (rate * 10)) as u64 + 2);
            let call = Call::new(workdir.entry("a").ports.targets, "/announcements").post(body);
            let answer = call.token(TARGET_TOKEN).send().await.unwrap();
            assert_eq!(answer.status, 200, "{}", answer.text());
            sent += 1;
        }
        task::sleep(Duration::from_millis(5)).await;
    }
}

/// Measures memory and the processor time of a change while the number of instances doubles.
fn records() {
    let shape =
        [("a", "north", true), ("b", "south", true), ("c", "west", true), ("d", "west", false)];
    let workdir = Workdir::with_shape(&shape).run_all();
    let pool =
        r#"{"put":{"kind":"pool","schema":1,"name":"p","spec":{"description":"p","size":1}}}"#;
    task::block_on(submit(&workdir, "pool", pool));
    let mut count = 0;
    for goal in [775, 1550, 3100] {
        for number in count..goal {
            let text = instance(number);
            task::block_on(submit(&workdir, &format!("i{number}"), &text));
        }
        count = goal;
        let changes = 1000_i32;
        let used = measure(&workdir, || {
            for number in 0..changes {
                let name = format!("team-{goal}-{number}");
                let text = format!(
                    r#"{{"put":{{"kind":"team","schema":1,"name":"{name}","spec":{{"quota":1,"weight":1}}}}}}"#
                );
                task::block_on(submit(&workdir, &name, &text));
            }
            let index = workdir.get("a", "/status")["applied"].as_u64();
            until("all entries have applied the changes", || {
                workdir
                    .entries
                    .iter()
                    .all(|e| workdir.get(e.name, "/status")["applied"].as_u64() >= index)
            });
        });
        println!("{goal} instances; {changes} changes one after the other at entry a");
        for (entry, used) in workdir.entries.iter().zip(&used) {
            let millis = used.processor.as_secs_f64() * 1000.0 / f64::from(changes);
            println!("  {} {} {millis:.2} ms a change, {:.0} KiB", entry.name, used.role, used.kib);
        }
    }
}

fn instance(number: usize) -> String {
    format!(
        r#"{{"put":{{"kind":"instance","schema":2,"name":"w{number}","spec":{{"pool":"p","data_centre":"dc{}","rack":"r{}","cores":32,"memory_mib":131072,"accelerators":1,"slots":8,"connections":64}}}}}}"#,
        number % 11,
        number / 4
    )
}

async fn submit(workdir: &Workdir, id: &str, change: &str) {
    let address = workdir.entry("a").ports.operators;
    let body = format!(r#"{{"id":"{id}","changes":[{change}]}}"#);
    let call = Call::new(address, "/submissions").post(body).token(OPERATOR_TOKEN);
    let answer = Connection::open(address, TIMEOUT).await.unwrap().send(call).await.unwrap();
    assert_eq!(answer.status, 200, "{}", answer.text());
}
