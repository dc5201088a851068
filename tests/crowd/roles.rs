//! The listeners of edge and core processes.

use crate::clients::{
    Crowd, ask, body_that_stops_short, chunked_head, chunks_that_stop_short, get, with_body,
};
use crate::lock_machine;
use crate::system::{CALLERS, CONTROL, HEALTH, INTERNAL, PREFIX, System, until};
use crate::watch::Watch;
use rustix::process::{Pid, Signal, kill_process};
use serde_json::json;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::MutexGuard;

/// Memory that the settings give to an edge, in millions of bytes.
const EDGE_MEMORY_MB: usize = 64;
/// Memory that the settings give to a core.
const CORE_MEMORY_MB: usize = 96;
/// Connections of callers that the settings of an edge allow.
const EDGE_CONNECTIONS: usize = 600;
/// Connections of workers and operators that the settings of a core allow.
const CORE_CONNECTIONS: usize = 200;
/// Connections of processes that have not said who they are that the settings of a core allow.
const CORE_HANDSHAKES: usize = 64;
/// Descriptors that a process may have open beside these connections: other listeners, links to other
/// processes, files.
const OTHER_DESCRIPTORS: usize = 128;
/// No connection is closed for being idle while a test runs.
const IDLE_MS: u64 = 600_000;
/// Size of a large body for an edge, less than it allows.
const EDGE_BODY_BYTES: usize = 500_000;
/// Size of a large body for a core, less than it allows.
const CORE_BODY_BYTES: usize = 4_000_000;
const JOB: &str = r#"{"steps":[{"count":1,"cpu":100,"mem_mb":1,"est_runtime_ms":100}]}"#;

/// A system with a configuration, of which an edge and a core are watched.
struct Stage {
    system: System,
    host: String,
    edge: u8,
    core: u8,
    edge_watch: Watch,
    core_watch: Watch,
    _machine: MutexGuard<'static, ()>,
}

impl Stage {
    fn start() -> Stage {
        let machine = lock_machine();
        let mut system = System::with_size(3, 1);
        system.edge_limits = json!({
            "memory_mb": EDGE_MEMORY_MB, "max_connections": EDGE_CONNECTIONS, "idle_ms": IDLE_MS,
        });
        system.core_limits = json!({
            "memory_mb": CORE_MEMORY_MB, "max_connections": CORE_CONNECTIONS, "idle_ms": IDLE_MS,
            "max_handshakes": CORE_HANDSHAKES,
        });
        system.run_all(true);
        system.wait_for_leader();
        system.configure(1);
        let (edge, core) = (*system.edges().start(), system.wait_for_leader());
        let edge_watch = Watch::start(system.processes[&edge].id());
        let core_watch = Watch::start(system.processes[&core].id());
        let host = system.ip(edge).to_string();
        let stage = Stage { system, host, edge, core, edge_watch, core_watch, _machine: machine };
        stage.check_ordinary_requests();
        stage
    }

    fn callers(&self) -> SocketAddr {
        self.system.address(self.edge, CALLERS)
    }

    fn control(&self) -> SocketAddr {
        self.system.address(self.core, CONTROL)
    }

    /// Replaces the configuration by one of a megabyte.
    fn configure_megabyte(&self) {
        let config = json!({
            "version": 2,
            "routes": [{
                "name": "plugs", "host": self.host, "path_prefix": PREFIX, "service": "gate",
                "timeout_ms": 3000, "slo_ms": 600, "max_attempts": 3, "stretch": 1.6,
            }],
            "services": [{"name": "gate"}],
            "limits": {},
            "notes": "x".repeat(1 << 20),
        });
        let put = with_body("PUT", &self.host, "/api/config", &config.to_string());
        until("the configuration is acknowledged", || {
            ask(self.control(), &put).is_some_and(|(status, _)| status == 200)
        });
    }

    /// Path of a job that nobody submits otherwise.
    fn path(&self, number: u32) -> String {
        format!("{PREFIX}{number:016x}")
    }

    /// Sends ordinary requests to each listener of the watched processes until each was answered.
    fn check_ordinary_requests(&self) {
        let host = &self.host;
        let status = |process: u8| self.system.address(process, INTERNAL.1);
        let health = self.system.address(self.edge, HEALTH);
        for (listener, address, request) in [
            ("callers", self.callers(), with_body("POST", host, &self.path(1), JOB)),
            ("callers", self.callers(), get(host, &self.path(1))),
            ("health", health, get(host, "/api/ready")),
            ("status of the edge", status(self.edge), get(host, "/metrics")),
            ("control", self.control(), get(host, "/api/config")),
            ("status of the core", status(self.core), get(host, "/metrics")),
        ] {
            until(&format!("{listener}: an ordinary request is answered"), || {
                ask(address, &request).is_some_and(|(status, _)| status == 200)
            });
        }
    }

    /// Checks that all processes live, and what the watched ones have used.
    fn check(mut self) {
        self.check_ordinary_requests();
        let hosts: Vec<u8> = self.system.processes.keys().copied().collect();
        for host in hosts {
            let process = self.system.processes.get_mut(&host).unwrap();
            assert_eq!(process.try_wait().unwrap(), None, "process {host} has ended");
        }
        for (role, watch, memory_mb, connections) in [
            ("edge", &self.edge_watch, EDGE_MEMORY_MB, EDGE_CONNECTIONS),
            ("core", &self.core_watch, CORE_MEMORY_MB, CORE_CONNECTIONS),
        ] {
            let (memory, descriptors) = (watch.peak_memory(), watch.most_descriptors());
            println!("{role}: peak memory {memory} bytes, most descriptors {descriptors}");
            assert!(memory > 0, "{role}: no memory was read");
            assert!(memory <= memory_mb * 1_000_000, "{role}: peak memory {memory} bytes");
            let max_descriptors = connections + OTHER_DESCRIPTORS;
            assert!(descriptors <= max_descriptors, "{role}: {descriptors} descriptors");
        }
    }
}

/// Guards against bodies whose sum nothing bounds: each is within the limit of one request.
#[test]
fn callers_whose_chunked_bodies_stop_short() {
    let stage = Stage::start();
    let (host, path) = (&stage.host, &stage.path(2));
    let bytes = chunks_that_stop_short("POST", host, path, EDGE_BODY_BYTES, EDGE_BODY_BYTES);
    let _crowd = Crowd::open(stage.callers(), 200, &bytes);
    stage.check();
}

/// Guards against the cost of chunks: buffers of a request that holds few bytes.
#[test]
fn callers_whose_bodies_come_in_chunks_of_a_byte() {
    let stage = Stage::start();
    let (host, path) = (&stage.host, &stage.path(2));
    let bytes = chunks_that_stop_short("POST", host, path, 80_000, 1);
    let _crowd = Crowd::open(stage.callers(), 600, &bytes);
    stage.check();
}

/// Guards against bodies whose sum nothing bounds, where their length is known from the start.
#[test]
fn callers_whose_bodies_stop_short_of_their_length() {
    let stage = Stage::start();
    let bytes = body_that_stops_short("POST", &stage.host, &stage.path(2), EDGE_BODY_BYTES);
    let _crowd = Crowd::open(stage.callers(), 200, &bytes);
    stage.check();
}

/// Guards against memory that is kept when a crowd has gone: the second one finds as much room as the
/// first.
#[test]
fn crowds_of_callers_that_come_again_and_again() {
    let stage = Stage::start();
    let (host, path) = (&stage.host, &stage.path(2));
    let bytes = chunks_that_stop_short("POST", host, path, EDGE_BODY_BYTES, 8000);
    for _ in 0..3 {
        drop(Crowd::open(stage.callers(), 200, &bytes));
    }
    let _crowd = Crowd::open(stage.callers(), 200, &bytes);
    stage.check();
}

/// Guards against whole bodies that are no job: they are held while many are read.
#[test]
fn callers_whose_whole_bodies_are_no_job() {
    let stage = Stage::start();
    let body = "x".repeat(EDGE_BODY_BYTES);
    let bytes = with_body("POST", &stage.host, &stage.path(2), &body);
    let _crowd = Crowd::open(stage.callers(), 400, bytes.as_bytes());
    stage.check();
}

/// Guards against bodies that take many times their size once they are parsed.
#[test]
fn callers_whose_jobs_are_lists_of_empty_steps() {
    let stage = Stage::start();
    let body = format!("{{\"steps\":[{}{{}}]}}", "{},".repeat(EDGE_BODY_BYTES / 3));
    let bytes = with_body("POST", &stage.host, &stage.path(2), &body);
    let _crowd = Crowd::open(stage.callers(), 60, bytes.as_bytes());
    stage.check();
}

/// Guards against valid jobs for a queue that does not exist, which all go to the leader.
#[test]
fn callers_whose_large_jobs_have_no_queue() {
    let stage = Stage::start();
    let step = r#"{"count":1,"cpu":100,"mem_mb":1}"#;
    let body = format!("{{\"steps\":[{}{step}]}}", format!("{step},").repeat(9000));
    let bytes = with_body("POST", &stage.host, "/nowhere/0000000000000002", &body);
    let _crowd = Crowd::open(stage.callers(), 200, bytes.as_bytes());
    stage.check();
}

/// Guards against connections that take every place and send nothing.
#[test]
fn callers_that_send_nothing() {
    let stage = Stage::start();
    let _crowd = Crowd::open(stage.callers(), EDGE_CONNECTIONS + 100, b"");
    stage.check();
}

/// Guards against requests that take every place and never arrive.
#[test]
fn callers_whose_heads_stop_short() {
    let stage = Stage::start();
    let head = format!("POST {} HTTP/1.1\r\nHost: {}\r\n", stage.path(2), stage.host);
    let _crowd = Crowd::open(stage.callers(), EDGE_CONNECTIONS + 100, head.as_bytes());
    stage.check();
}

/// Guards against requests that take every place and get on by a byte from time to time.
#[test]
fn callers_whose_bodies_trickle() {
    let stage = Stage::start();
    let head = chunked_head("POST", &stage.host, &stage.path(2));
    let mut crowd = Crowd::open(stage.callers(), EDGE_CONNECTIONS + 100, &head);
    for _ in 0..5 {
        crowd.send(b"1\r\nx\r\n");
        stage.check_ordinary_requests();
    }
    stage.check();
}

/// Guards against answers that nobody reads: they end neither a connection nor what it holds.
#[test]
fn callers_that_read_no_answer() {
    let stage = Stage::start();
    let request = format!("GET {} HTTP/1.1\r\nHost: {}\r\n\r\n", stage.path(1), stage.host);
    let requests = request.repeat(1000).into_bytes();
    let _crowd = Crowd::open_with(stage.callers(), EDGE_CONNECTIONS + 100, |stream| {
        rustix::net::sockopt::set_socket_recv_buffer_size(&*stream, 1).unwrap();
        let _ = stream.write_all(&requests);
    });
    stage.check();
}

/// Guards against a crowd that keeps a stopping process from its end.
#[test]
fn an_edge_stops_beside_crowds_that_stay() {
    let mut stage = Stage::start();
    let (host, path) = (stage.host.clone(), stage.path(2));
    let chunks = chunks_that_stop_short("POST", &host, &path, EDGE_BODY_BYTES, 8000);
    let requests = get(&host, &path).replace("Connection: close\r\n", "").repeat(1000);
    let _short = Crowd::open(stage.callers(), 100, &chunks);
    let _unread = Crowd::open_with(stage.callers(), 100, |stream| {
        rustix::net::sockopt::set_socket_recv_buffer_size(&*stream, 1).unwrap();
        let _ = stream.write_all(requests.as_bytes());
    });
    let _idle = Crowd::open(stage.system.address(stage.edge, HEALTH), 100, b"");
    stage.check_ordinary_requests();
    let edge = stage.system.processes.get_mut(&stage.edge).unwrap();
    kill_process(Pid::from_child(edge), Signal::TERM).unwrap();
    let mut status = None;
    until("the edge has ended", || {
        status = edge.try_wait().unwrap();
        status.is_some()
    });
    assert!(status.is_some_and(|status| status.success()), "{status:?}");
    stage.system.run(stage.edge, false);
    stage.edge_watch = Watch::start(stage.system.processes[&stage.edge].id());
    stage.check();
}

/// Guards against connections to the health check that take every place, and the descriptors of
/// callers as well.
#[test]
fn health_checks_beside_idle_connections() {
    let stage = Stage::start();
    let health = stage.system.address(stage.edge, HEALTH);
    let _idle = Crowd::open(health, EDGE_CONNECTIONS + 100, b"");
    let _callers = Crowd::open(stage.callers(), EDGE_CONNECTIONS + 100, b"");
    stage.check();
}

/// Guards against bodies where none is expected.
#[test]
fn health_checks_with_bodies() {
    let stage = Stage::start();
    let health = stage.system.address(stage.edge, HEALTH);
    let bytes = chunks_that_stop_short("GET", &stage.host, "/api/ready", EDGE_BODY_BYTES, 8000);
    let _crowd = Crowd::open(health, 200, &bytes);
    let other = chunks_that_stop_short("POST", &stage.host, "/", EDGE_BODY_BYTES, 1000);
    let _other = Crowd::open(health, 200, &other);
    stage.check();
}

/// Guards against connections to the status port that take its few places.
#[test]
fn status_ports_beside_idle_connections() {
    let stage = Stage::start();
    let crowds: Vec<Crowd> = [stage.edge, stage.core]
        .into_iter()
        .flat_map(|process| {
            let status = stage.system.address(process, INTERNAL.1);
            let head = format!("GET /dump HTTP/1.1\r\nHost: {}\r\n", stage.host);
            [Crowd::open(status, 100, b""), Crowd::open(status, 100, head.as_bytes())]
        })
        .collect();
    stage.check();
    drop(crowds);
}

/// Guards against dumps of the state that nobody reads.
#[test]
fn status_ports_whose_answers_nobody_reads() {
    let stage = Stage::start();
    let request = get(&stage.host, "/metrics").replace("Connection: close\r\n", "").repeat(500);
    let crowds: Vec<Crowd> = [stage.edge, stage.core]
        .into_iter()
        .map(|process| {
            Crowd::open_with(stage.system.address(process, INTERNAL.1), 50, |stream| {
                rustix::net::sockopt::set_socket_recv_buffer_size(&*stream, 1).unwrap();
                let _ = stream.write_all(request.as_bytes());
            })
        })
        .collect();
    stage.check();
    drop(crowds);
}

/// Guards against bodies whose sum nothing bounds, at the listener with the largest bodies.
#[test]
fn operators_whose_chunked_bodies_stop_short() {
    let stage = Stage::start();
    let host = &stage.host;
    let bytes =
        chunks_that_stop_short("PUT", host, "/api/config", CORE_BODY_BYTES, CORE_BODY_BYTES);
    let _crowd = Crowd::open(stage.control(), 40, &bytes);
    stage.check();
}

/// Guards against the cost of chunks, at the listener with the largest bodies.
#[test]
fn workers_whose_reports_come_in_chunks_of_a_byte() {
    let stage = Stage::start();
    let host = &stage.host;
    let bytes = chunks_that_stop_short("PUT", host, "/api/instances/w1", 600_000, 1);
    let _crowd = Crowd::open(stage.control(), 150, &bytes);
    stage.check();
}

/// Guards against whole bodies that take many times their size once they are parsed.
#[test]
fn operators_whose_whole_bodies_are_refused() {
    let stage = Stage::start();
    let bodies = [
        ("PUT", "/api/config", "[".repeat(CORE_BODY_BYTES)),
        ("PUT", "/api/instances/w1", format!("{{\"labels\":[{}\"\"]", "\"\",".repeat(1_300_000))),
        ("POST", "/api/wave-start", format!("{{\"machines\":[{}\"\"]", "\"a\",".repeat(950_000))),
    ];
    let crowds: Vec<Crowd> = bodies
        .iter()
        .map(|(method, path, body)| {
            let bytes = with_body(method, &stage.host, path, body);
            Crowd::open(stage.control(), 30, bytes.as_bytes())
        })
        .collect();
    stage.check();
    drop(crowds);
}

/// Guards against connections of workers and operators that take every place.
#[test]
fn operators_that_send_nothing() {
    let stage = Stage::start();
    let _crowd = Crowd::open(stage.control(), CORE_CONNECTIONS + 100, b"");
    stage.check();
}

/// Guards against configurations that are read by nobody who asks for them.
#[test]
fn operators_that_read_no_configuration() {
    let stage = Stage::start();
    stage.configure_megabyte();
    let request = get(&stage.host, "/api/config").replace("Connection: close\r\n", "");
    let crowds: Vec<Crowd> = stage
        .system
        .cores()
        .map(|core| {
            Crowd::open_with(stage.system.address(core, CONTROL), 150, |stream| {
                rustix::net::sockopt::set_socket_recv_buffer_size(&*stream, 1).unwrap();
                let _ = stream.write_all(request.as_bytes());
            })
        })
        .collect();
    stage.check();
    drop(crowds);
}

/// Guards against reads that cost the leader's links a copy of the configuration each: a link that is
/// full ends, and with it what else it carries.
#[test]
fn operators_that_all_read_the_configuration_end_no_link() {
    let stage = Stage::start();
    stage.configure_megabyte();
    let request = get(&stage.host, "/api/config");
    let crowds: Vec<Crowd> = stage
        .system
        .cores()
        .map(|core| Crowd::open(stage.system.address(core, CONTROL), 150, request.as_bytes()))
        .collect();
    stage.check_ordinary_requests();
    for core in stage.system.cores() {
        let status = stage.system.address(core, INTERNAL.1);
        let (_, metrics) = ask(status, &get(&stage.host, "/metrics")).unwrap();
        let full = metrics.lines().find(|line| line.starts_with("links_full_total"));
        assert_eq!(full, None, "core {core}");
    }
    stage.check();
    drop(crowds);
}
/// Guards against strangers at the address for other processes: connections without an end.
#[test]
fn links_beside_idle_connections() {
    let stage = Stage::start();
    let peers = stage.system.address(stage.core, INTERNAL.0);
    let _idle = Crowd::open(peers, 600, b"");
    let _heads = Crowd::open(peers, 600, b"GET / HTTP/1.1\r\n");
    stage.check();
}

/// Guards against strangers whose first frame is as large as a snapshot.
#[test]
fn links_whose_first_frame_is_large() {
    let stage = Stage::start();
    let peers = stage.system.address(stage.core, INTERNAL.0);
    let part = vec![0; 6 << 20];
    let _crowd = Crowd::open_with(peers, 40, |stream| {
        if upgrade(stream).is_ok() {
            let _ = stream.write_all(&frame_head(60 << 20));
            let _ = stream.write_all(&part);
        }
    });
    stage.check();
}

/// Opens a WebSocket connection.
fn upgrade(stream: &mut TcpStream) -> std::io::Result<()> {
    stream.write_all(
        b"GET / HTTP/1.1\r\nHost: h\r\nUpgrade: websocket\r\nConnection: Upgrade\r\n\
          Sec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\nSec-WebSocket-Version: 13\r\n\r\n",
    )?;
    let mut answer = Vec::new();
    let mut byte = [0];
    while !answer.ends_with(b"\r\n\r\n") {
        stream.read_exact(&mut byte)?;
        answer.push(byte[0]);
    }
    Ok(())
}

/// Returns the head of a binary WebSocket frame that is masked with zeros.
fn frame_head(bytes: u64) -> Vec<u8> {
    let mut head = vec![0x82, 0xff];
    head.extend(bytes.to_be_bytes());
    head.extend([0; 4]);
    head
}

/// Guards against log lines that quote whatever a client sends: thousands of them wait while the log's
/// reader stalls.
#[test]
fn log_lines_are_short_whatever_callers_send() {
    let stage = Stage::start();
    let request = get(&stage.host, &format!("/{}", "x".repeat(7000)));
    let _crowd = Crowd::open(stage.callers(), 20, request.as_bytes());
    let longest_line = || {
        let log = std::fs::read_to_string(stage.system.log_path(stage.edge)).unwrap();
        log.lines().map(str::len).max().unwrap()
    };
    until("the requests are logged", || longest_line() > 1000);
    assert!(longest_line() <= 2100, "{} bytes", longest_line());
    stage.check();
}
