//! The listeners of entry processes.

use crate::clients::{Crowd, ask, body_that_stops_short, chunks_that_stop_short, get, with_body};
use crate::lock_machine;
use crate::watch::Watch;
use crate::workdir::{OPERATOR_TOKEN, Workdir, until};
use std::net::SocketAddr;
use std::sync::MutexGuard;

/// Memory that the settings give to the process, in millions of bytes.
const MEMORY_MB: usize = 64;
/// Connections that the settings allow at each listener.
const CONNECTIONS: usize = 200;
/// Descriptors that the process may have open beside the connections of its three listeners.
const OTHER_DESCRIPTORS: usize = 128;
/// Size of a large body, less than is allowed.
const BODY_BYTES: usize = 1_000_000;

/// An entry that runs alone, and is watched.
struct Stage {
    workdir: Workdir,
    watch: Watch,
    _machine: MutexGuard<'static, ()>,
}

impl Stage {
    fn start() -> Stage {
        let machine = lock_machine();
        let mut workdir = Workdir::with_shape(&[("a", "north", true)]);
        let settings = workdir.settings(workdir.entry("a"));
        let limits =
            format!("max_connections: {CONNECTIONS}, idle_ms: 600000, memory_mb: {MEMORY_MB}");
        let lowered = settings.replace("max_connections: 4096", &limits);
        assert_ne!(lowered, settings);
        workdir.write("a.yaml", &lowered);
        workdir.start("a");
        workdir.wait_for_members(1);
        let watch = Watch::start(workdir.pid("a"));
        Stage { workdir, watch, _machine: machine }
    }

    fn callers(&self) -> SocketAddr {
        self.workdir.entry("a").ports.callers
    }

    fn operators(&self) -> SocketAddr {
        self.workdir.entry("a").ports.operators
    }

    fn targets(&self) -> SocketAddr {
        self.workdir.entry("a").ports.targets
    }

    fn check(mut self) {
        let status = get("h", "/status").replace(
            "Connection",
            &format!("Authorization: Bearer {OPERATOR_TOKEN}\r\nConnection"),
        );
        let announcement = with_body("POST", "h", "/announcements", "{}");
        for (listener, address, request, expected) in [
            ("callers", self.callers(), get("h", "/healthz"), 200),
            ("operators", self.operators(), status, 200),
            ("targets", self.targets(), announcement, 401),
        ] {
            until(&format!("{listener}: an ordinary request is answered"), || {
                ask(address, &request).is_some_and(|(status, _)| status == expected)
            });
        }
        assert!(self.workdir.is_running("a"), "the process has ended");
        let (memory, descriptors) = (self.watch.peak_memory(), self.watch.most_descriptors());
        println!("entry: peak memory {memory} bytes, most descriptors {descriptors}");
        assert!(memory > 0, "no memory was read");
        assert!(memory <= MEMORY_MB * 1_000_000, "peak memory {memory} bytes");
        assert!(descriptors <= 3 * CONNECTIONS + OTHER_DESCRIPTORS, "{descriptors} descriptors");
    }
}

/// Guards against bodies whose sum nothing bounds.
#[test]
fn callers_of_an_entry_whose_chunked_bodies_stop_short() {
    let stage = Stage::start();
    let bytes = chunks_that_stop_short("POST", "h", "/pools/gate/x", BODY_BYTES, 8000);
    let _crowd = Crowd::open(stage.callers(), 100, &bytes);
    stage.check();
}

/// Guards against bodies whose sum nothing bounds, where their length is known from the start.
#[test]
fn callers_of_an_entry_whose_bodies_stop_short_of_their_length() {
    let stage = Stage::start();
    let bytes = body_that_stops_short("POST", "h", "/pools/gate/x", BODY_BYTES);
    let _crowd = Crowd::open(stage.callers(), 100, &bytes);
    stage.check();
}

/// Guards against connections that take every place at each listener.
#[test]
fn clients_of_an_entry_that_send_nothing() {
    let stage = Stage::start();
    let crowds = [stage.callers(), stage.operators(), stage.targets()]
        .map(|address| Crowd::open(address, CONNECTIONS + 50, b""));
    stage.check();
    drop(crowds);
}

/// Guards against strangers at the address for other entries.
#[test]
fn strangers_at_the_links_of_an_entry() {
    let stage = Stage::start();
    let peers = stage.workdir.entry("a").ports.peers;
    let _idle = Crowd::open(peers, 600, b"");
    let _heads = Crowd::open(peers, 600, b"GET / HTTP/1.1\r\n");
    stage.check();
}
