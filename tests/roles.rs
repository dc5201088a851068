//! Real `core` and `edge` processes with stand-in workers: leader changes, graceful stops
//! and refused settings.

use crate::system::{BINARY, CALLERS, CONTROL, HEALTH, INTERNAL, PREFIX, System, until};
use crate::workdir;
use async_std::task::block_on;
use http_types::Method;
use platform_standin::{RunKey, Worker, call};
use quorum::{Entry, Output, Payload};
use rustix::process::{Pid, Signal, kill_process};
use serde_json::{Value, json};
use std::collections::BTreeSet;
use std::fs::File;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::process::{Command, Stdio};
use std::time::{Duration, Instant};
use store::{DiskFolder, Store};

const CORES: [u8; 3] = [1, 2, 3];
const EDGE: u8 = 4;

fn workers(system: &System) -> Vec<Worker> {
    let control: Vec<SocketAddr> = CORES.map(|core| system.address(core, CONTROL)).to_vec();
    let start = |id: &str| block_on(Worker::start(id, "gate", control.clone())).unwrap();
    ["w0", "w1", "w2"].map(start).into()
}

fn job(steps: u32, count: u32, millis: u32) -> Value {
    let step = |number: u32| {
        let after: Vec<u32> = number.checked_sub(1).into_iter().collect();
        json!({
            "count": count, "cpu": 500, "mem_mb": 10, "est_runtime_ms": millis, "after": after,
        })
    };
    json!({"spec": millis.to_string(), "steps": (0..steps).map(step).collect::<Vec<_>>()})
}

fn id(number: u32) -> String {
    format!("{number:016x}")
}

#[test]
fn accepted_jobs_run_once_when_the_leader_is_killed() {
    let mut system = System::start();
    let first = system.wait_for_leader();
    system.configure(3);
    let workers = workers(&system);
    for number in 0..12 {
        system.submit(&id(number), &job(2, 4, 400));
        if number == 6 {
            system.kill(first);
        }
    }
    let second = system.wait_for_leader();
    assert_ne!(first, second);
    system.run(first, false);
    for number in 0..12 {
        until("the job is completed", || {
            system.call_edge(Method::Get, &id(number), None).1["state"] == "completed"
        });
    }
    let done: Vec<RunKey> = workers.iter().flat_map(Worker::done).collect();
    let units: BTreeSet<&String> = done.iter().map(|(name, _)| name).collect();
    assert_eq!(done.len(), 12 * 8, "each unit is done once");
    assert_eq!(units.len(), 12 * 8);
    until("the restarted process holds all jobs", || {
        let jobs = system.dump(first).map(|dump| dump["jobs"].clone());
        jobs.is_some_and(|jobs| jobs.as_object().is_some_and(|jobs| jobs.len() == 12))
    });
    block_on(async {
        for worker in workers {
            worker.stop().await;
        }
    });
}

#[test]
fn a_cancelled_job_stops_and_unknown_jobs_are_gone() {
    let system = System::start();
    system.wait_for_leader();
    assert_eq!(system.call_edge(Method::Get, &id(1), None).0, 503, "no configuration is in force");
    system.configure(1);
    let workers = workers(&system);
    assert_eq!(system.call_edge(Method::Get, &id(1), None).0, 410);
    assert_eq!(system.call_edge(Method::Get, "", None).1["pending"], 0);
    system.submit(&id(1), &job(1, 2, 60_000));
    until("both units run", || workers.iter().map(|w| w.started().len()).sum::<usize>() == 2);
    assert_eq!(system.call_edge(Method::Delete, &id(1), None).0, 200);
    assert_eq!(system.call_edge(Method::Get, &id(1), None).1["state"], "canceled");
    let bad = json!({"steps": [{"count": 0}]});
    let (status, answer) = system.call_edge(Method::Post, &id(2), Some(bad));
    assert_eq!(status, 400);
    assert_eq!(answer["error"], "steps.0.count: must be at least 1");
    let core = system.address(CORES[0], INTERNAL.1).to_string();
    let explain = |subject: &[&str]| {
        let mut command = Command::new(BINARY);
        workdir::output(command.arg("explain").args(subject).args(["--core", &core]))
    };
    let explanation = String::from_utf8(explain(&["configuration"]).stdout).unwrap();
    assert!(
        explanation.contains("configuration: version 1 is in force after version none"),
        "{explanation}"
    );
    assert_eq!(explain(&["wave", "9"]).status.code(), Some(6));
    let health = call(system.address(EDGE, HEALTH), Method::Get, "/api/ready", None);
    assert_eq!(block_on(health).unwrap().0, 200);
    block_on(async {
        for worker in workers {
            worker.stop().await;
        }
    });
}

#[test]
fn the_leader_explains_where_a_job_would_go_without_sending_it() {
    let system = System::start();
    let leader = system.wait_for_leader();
    system.configure(1);
    let workers = workers(&system);
    let file = system.folder.path().join("job.json");
    std::fs::write(&file, job(1, 2, 400).to_string()).unwrap();
    let file = file.to_str().unwrap();
    let explain = |core: u8, arguments: &[&str]| {
        let core = system.address(core, INTERNAL.1).to_string();
        let mut command = Command::new(BINARY);
        workdir::output(command.args(["explain", "place"]).args(arguments).args(["--core", &core]))
    };
    let queue = "plugs";
    until("both units would start at once", || {
        let out = explain(leader, &["queue", queue, "--job", file]).stdout;
        String::from_utf8(out).unwrap().contains("2 would start now, 0 wait")
    });
    let json = explain(leader, &["queue", queue, "--job", file, "--json"]).stdout;
    let json: Value = serde_json::from_slice(&json).unwrap();
    assert_eq!(json["steps"][0]["candidates"], 3, "{json}");
    assert_eq!(workers.iter().map(|worker| worker.started().len()).sum::<usize>(), 0);
    system.submit(&id(1), &job(1, 2, 60_000));
    until("both units run", || workers.iter().map(|w| w.started().len()).sum::<usize>() == 2);
    until("the leader says so", || {
        let out = explain(leader, &["job", &id(1)]).stdout;
        String::from_utf8(out).unwrap().contains("2 units run, 0 would start now, 0 wait")
    });
    let refused = |core: u8, arguments: &[&str], code: i32, text: &str| {
        let out = explain(core, arguments);
        let error = String::from_utf8(out.stderr).unwrap();
        assert_eq!(out.status.code(), Some(code), "{error}");
        assert!(error.contains(text), "{text:?} in {error:?}");
    };
    refused(leader, &["job", &id(9)], 6, "is not known or has ended");
    refused(leader, &["queue", "none", "--job", file], 6, "queue \"none\" does not exist");
    let with_account = ["queue", queue, "--job", file, "--account", "a"];
    refused(leader, &with_account, 6, "account \"a\" does not exist");
    refused(leader, &["queue", queue], 2, "with --job FILE");
    let follower = *CORES.iter().find(|core| **core != leader).unwrap();
    refused(follower, &["job", &id(1)], 6, "does not lead");
    block_on(async {
        for worker in workers {
            worker.stop().await;
        }
    });
}

/// Requests with values that are out of all bounds end no process: a limit that is missing shows as
/// a panic of the leader, and of each successor that applies the same command.
#[test]
fn requests_out_of_all_bounds_are_refused_and_end_no_process() {
    let system = System::start();
    system.wait_for_leader();
    system.configure(1);
    let workers = workers(&system);
    let most = u64::MAX;
    let step = json!({"count": 1, "cpu": 500, "mem_mb": 10, "est_runtime_ms": 100});
    let with = |field: &str, value: Value| {
        let mut step = step.clone();
        step[field] = value;
        step
    };
    let jobs = [
        json!({"steps": [step], "repeat_count": u32::MAX, "first_run_ms": 1, "interval_ms": 1}),
        json!({"steps": [step], "repeat_count": 3, "first_run_ms": most, "interval_ms": most}),
        json!({"steps": [with("est_runtime_ms", json!(most)), with("est_runtime_ms", json!(most))]}),
        json!({"steps": [with("cpu", json!(most)), with("cpu", json!(most))]}),
        json!({"steps": [with("mem_mb", json!(most))]}),
        json!({"steps": [with("count", json!(u32::MAX))]}),
    ];
    for (number, job) in jobs.into_iter().enumerate() {
        let (status, answer) = system.call_edge(Method::Post, &id(100 + number as u32), Some(job));
        assert_eq!(status, 400, "job {number}: {answer}");
    }
    let control = system.address(CORES[0], CONTROL);
    for duration in [1e300, -1.0] {
        let wave = json!({"wave": 1, "machines": ["m"], "duration_s": duration, "cap": 1});
        let (status, answer) =
            block_on(call(control, Method::Post, "/api/wave-start", Some(wave))).unwrap();
        assert_eq!((status, &answer["error"]), (400, &json!("duration_s: is no span")));
    }
    let config = json!({
        "version": 2, "services": [{"name": "gate"}], "limits": {},
        "routes": [{"name": "plugs", "host": "h", "path_prefix": "/", "service": "gate",
            "timeout_ms": 3000, "stretch": 1e300}],
    });
    let put = call(control, Method::Put, "/api/config", Some(config));
    assert_eq!(block_on(put).unwrap().0, 400);
    system.submit(&id(1), &job(1, 2, 400));
    until("the job is completed", || {
        system.call_edge(Method::Get, &id(1), None).1["state"] == "completed"
    });
    for core in CORES {
        let log = std::fs::read_to_string(system.folder.path().join(format!("p{core}.log")));
        assert!(!log.unwrap().contains("panicked"), "core {core}");
    }
    block_on(async {
        for worker in workers {
            worker.stop().await;
        }
    });
}

#[test]
fn a_stopping_leader_transfers_leadership_and_exits() {
    let mut system = System::start();
    let first = system.wait_for_leader();
    system.configure(1);
    let mut child = system.processes.remove(&first).unwrap();
    kill_process(Pid::from_child(&child), Signal::TERM).unwrap();
    until("another one leads", || system.leader().is_some());
    assert!(child.wait().unwrap().success());
    let log = std::fs::read_to_string(system.folder.path().join(format!("p{first}.log"))).unwrap();
    assert!(log.contains("reign.ended") && log.contains("process.stopped"), "{log}");
}

#[test]
fn signals_that_arrive_during_the_start_are_handled() {
    for attempt in 0..6 {
        let mut system = System::with_size(3, 1);
        let hosts = [(EDGE, CALLERS), (CORES[0], CONTROL)];
        for (host, port) in hosts {
            system.run(host, false);
            let pid = Pid::from_child(&system.processes[&host]);
            let address = system.address(host, port);
            while TcpStream::connect(address).is_err() {
                assert!(system.processes.get_mut(&host).unwrap().try_wait().unwrap().is_none());
            }
            let first = if attempt % 2 == 0 { Signal::HUP } else { Signal::TERM };
            kill_process(pid, first).unwrap();
            std::thread::sleep(Duration::from_millis(100));
            for _ in 0..2 {
                let _ = kill_process(pid, Signal::TERM); // it may have exited
                std::thread::sleep(Duration::from_millis(20));
            }
        }
        for (host, _) in hosts {
            let status = system.processes.remove(&host).unwrap().wait().unwrap();
            assert!(status.success(), "attempt {attempt}, process {host}: {status}");
            let log = std::fs::read_to_string(system.folder.path().join(format!("p{host}.log")));
            assert!(log.unwrap().contains("process.stopped"));
        }
    }
}

#[test]
fn a_core_that_waits_for_its_disk_stops_when_told() {
    let mut system = System::with_size(3, 1);
    let log = || std::fs::read_to_string(system.folder.path().join("p1.log")).unwrap_or_default();
    let mut settings = system.settings(CORES[0], true);
    let file = system.folder.path().join("file");
    std::fs::write(&file, "").unwrap();
    settings["data_folder"] = json!(file.join("data"));
    let path = system.folder.path().join("p1.yaml");
    std::fs::write(&path, settings.to_string()).unwrap();
    let output = File::create(system.folder.path().join("p1.log")).unwrap();
    let core = workdir::start(Command::new(BINARY).arg("core").arg(&path).stdout(output));
    let pid = Pid::from_child(&core);
    until("the disk is refused", || log().contains("disk.closed"));
    assert!(TcpStream::connect(system.address(CORES[0], CONTROL)).is_err(), "nobody answers yet");
    kill_process(pid, Signal::TERM).unwrap();
    let stopped = Instant::now();
    system.processes.insert(CORES[0], core);
    let status = system.processes.get_mut(&CORES[0]).unwrap().wait().unwrap();
    assert!(status.success() && stopped.elapsed() < Duration::from_secs(2), "{status}");
}

#[test]
fn a_core_whose_thread_panics_ends_with_an_error() {
    let mut system = System::start();
    system.wait_for_leader();
    system.configure(1);
    CORES.into_iter().for_each(|core| system.kill(core));
    for core in CORES {
        append_unreadable_entry(&system.folder.path().join(format!("data{core}")));
    }
    CORES.into_iter().for_each(|core| system.run(core, false));
    let log = |core| std::fs::read_to_string(system.folder.path().join(format!("p{core}.log")));
    let has_panicked = |core: &u8| log(*core).unwrap().contains("panicked");
    until("a core panics", || CORES.iter().any(has_panicked));
    // The entry can be committed no more once two of the cores have ended.
    for core in CORES.into_iter().filter(has_panicked) {
        let child = system.processes.get_mut(&core).unwrap();
        until("the core ends", || child.try_wait().unwrap().is_some());
        assert_eq!(child.wait().unwrap().code(), Some(7));
        assert!(log(core).unwrap().contains("process.failed"));
    }
}

/// Appends a log entry that no version can decode.
fn append_unreadable_entry(folder: &Path) {
    let folder = Box::new(DiskFolder::open(folder).unwrap());
    let (mut store, recovered) = Store::open(folder).unwrap();
    let last = recovered.state.entries.last().unwrap();
    let payload = Payload::Data(vec![0xff]);
    let append = vec![Entry { index: last.index + 1, term: last.term, payload }];
    store.save(&Output { append, ..Output::default() }).unwrap();
}

/// Time for which callers send requests; less than an edge serves after a stop signal.
const CALLING_TIME: Duration = Duration::from_millis(1500);

#[test]
fn a_stopping_edge_answers_every_request_it_receives() {
    let mut system = System::start();
    system.wait_for_leader();
    system.configure(1);
    system.submit(&id(0), &job(1, 1, 100));
    let address = system.address(EDGE, CALLERS);
    let callers: Vec<_> = (0..4)
        .map(|caller| {
            std::thread::spawn(move || {
                let end = Instant::now() + CALLING_TIME;
                let mut answers = Vec::new();
                while Instant::now() < end {
                    let sent = Instant::now();
                    let (written, answer) = request(address, &id(100 + caller), "");
                    answers.push((sent, written, answer));
                }
                answers
            })
        })
        .collect();
    std::thread::sleep(Duration::from_millis(100));
    let mut child = system.processes.remove(&EDGE).unwrap();
    let signalled_at = Instant::now();
    kill_process(Pid::from_child(&child), Signal::TERM).unwrap();
    let mut answered = 0;
    for caller in callers {
        for (sent, written, answer) in caller.join().unwrap() {
            assert!(is_complete(&answer) || !written, "a request got {answer:?}");
            answered += usize::from(sent > signalled_at && is_complete(&answer));
        }
    }
    assert!(answered > 0, "nothing was answered after the signal");
    assert!(child.wait().unwrap().success());
}

/// Returns how many of a process's threads are not stopped.
fn count_running_threads(pid: Pid) -> usize {
    let threads = std::fs::read_dir(format!("/proc/{}/task", pid.as_raw_pid())).unwrap();
    let is_running = |stat: &String| !stat.rsplit(") ").next().unwrap().starts_with('T');
    let stats = threads
        .filter_map(|thread| std::fs::read_to_string(thread.unwrap().path().join("stat")).ok());
    stats.filter(is_running).count()
}

#[test]
fn a_frozen_process_has_no_running_thread() {
    let system = System::start();
    system.wait_for_leader();
    for round in 0..100 {
        system.freeze(CORES);
        for core in CORES {
            let running = count_running_threads(Pid::from_child(&system.processes[&core]));
            assert_eq!(running, 0, "core {core} in round {round}");
        }
        CORES.into_iter().for_each(|core| system.thaw(core));
        std::thread::sleep(Duration::from_millis(10));
    }
}

/// Time after a stop signal at which the cores freeze, shortly before the edge stops listening.
const FREEZE_DELAY: Duration = Duration::from_millis(2300);

#[test]
fn an_edge_ends_within_its_grace_time_while_a_request_waits_for_frozen_cores() {
    let mut system = System::with_size(3, 1);
    system.grace_s = 4;
    system.run_all(true);
    system.wait_for_leader();
    system.configure(1);
    system.submit(&id(0), &job(1, 1, 100));
    let address = system.address(EDGE, CALLERS);
    let mut edge = system.processes.remove(&EDGE).unwrap();
    let signalled_at = Instant::now();
    kill_process(Pid::from_child(&edge), Signal::TERM).unwrap();
    std::thread::sleep(FREEZE_DELAY);
    system.freeze(CORES);
    let caller = std::thread::spawn(move || request(address, &id(0), ""));
    assert!(edge.wait().unwrap().success());
    let took = signalled_at.elapsed();
    assert!(took <= Duration::from_secs(system.grace_s), "{took:?}");
    caller.join().unwrap();
}

#[test]
fn a_stopping_edge_answers_requests_that_wait_for_a_leader() {
    let mut system = System::with_size(3, 1);
    system.grace_s = 4; // less than it takes to find that no core answers
    system.run_all(true);
    system.wait_for_leader();
    system.configure(1);
    until("the edge answers", || system.call_edge(Method::Get, &id(1), None).0 == 410);
    let mut child = system.processes.remove(&EDGE).unwrap();
    kill_process(Pid::from_child(&child), Signal::TERM).unwrap();
    std::thread::sleep(Duration::from_millis(2200)); // just before the listener closes
    system.freeze(CORES);
    let address = system.address(EDGE, CALLERS);
    let (written, answer) = request(address, &id(1), "X-Deadline-Ms: 20000\r\n");
    assert!(written && is_complete(&answer) && answer.contains("503"), "{answer:?}");
    assert!(child.wait().unwrap().success());
}

/// Whether the body of an answer is as long as its `content-length`.
fn is_complete(answer: &str) -> bool {
    let Some((head, body)) = answer.split_once("\r\n\r\n") else { return false };
    let length = head.lines().find_map(|line| line.strip_prefix("content-length: "));
    head.starts_with("HTTP/1.1 ") && length == Some(body.len().to_string().as_str())
}

/// Requests a job's state on a connection of its own, with further lines of the head. Returns
/// whether the whole request was written, and the answer, which is empty after a read error.
fn request(address: SocketAddr, id: &str, lines: &str) -> (bool, String) {
    let Ok(mut stream) = TcpStream::connect(address) else { return (false, String::new()) };
    let host = address.ip();
    let text =
        format!("GET {PREFIX}{id} HTTP/1.1\r\nHost: {host}\r\nConnection: close\r\n{lines}\r\n");
    let written = stream.write_all(text.as_bytes()).is_ok();
    let mut answer = String::new();
    let read = stream.read_to_string(&mut answer);
    (written, if read.is_ok() { answer } else { String::new() })
}

#[test]
fn a_stalled_log_reader_does_not_block_an_edge() {
    let mut system = System::start();
    system.wait_for_leader();
    system.configure(1);
    system.kill(EDGE);
    // Nobody reads this pipe, which holds 64 KiB; each request writes a line.
    let path = system.folder.path().join(format!("p{EDGE}.yaml"));
    let mut command = Command::new(BINARY);
    let edge = workdir::start(command.arg("edge").arg(&path).stdout(Stdio::piped()));
    system.processes.insert(EDGE, edge);
    until("the edge answers", || system.call_edge(Method::Get, "", None).0 == 200);
    for number in 0..1500 {
        assert_eq!(system.call_edge(Method::Get, &id(number), None).0, 410, "request {number}");
    }
}

#[test]
fn wrong_settings_are_refused_with_the_field() {
    let folder = tempfile::tempdir().unwrap();
    let good = json!({
        "name": "p1", "data_centre": "north", "founding": true, "seeds": ["127.0.0.1:1"],
        "listen": {"ip": "127.0.0.1", "internal": [7, 9]},
    });
    let mut cases = Vec::new();
    let mut case = |field: &str, value: Value, expected: &'static str| {
        let mut bad = good.clone();
        bad[field] = value;
        cases.push((bad, expected));
    };
    case("seeds", json!(["here"]), "seeds");
    case("seeds", json!([]), "seeds: names no address");
    case("nick", json!("x"), "nick");
    case("listen", json!({"ip": "127.0.0.1", "internal": [9, 7]}), "listen.internal: the first");
    case("founding", json!(true), "listen.control: is missing");
    for (settings, expected) in cases {
        let path = folder.path().join("settings.yaml");
        std::fs::write(&path, settings.to_string()).unwrap();
        let output = workdir::output(Command::new(BINARY).arg("core").arg(&path));
        assert_eq!(output.status.code(), Some(2), "{expected}");
        let text = String::from_utf8_lossy(&output.stderr);
        assert!(text.contains(expected), "missing {expected:?} in {text}");
    }
}
