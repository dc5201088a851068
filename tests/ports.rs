//! A free port that a test finds for its processes stays free until they bind it. A process
//! that another test spawns meanwhile must not inherit the socket that found the port.

use crate::workdir::{self, Workdir};
use std::net::TcpListener;
use std::process::Command;
use std::sync::atomic::{AtomicBool, Ordering};

/// Number of scratch clusters. Each takes a loopback host of its own, of which a test
/// process has 255.
const WORKDIRS: usize = 60;

#[test]
fn a_process_of_another_test_does_not_inherit_released_ports() {
    let done = AtomicBool::new(false);
    std::thread::scope(|scope| {
        for _ in 0..3 {
            scope.spawn(|| {
                while !done.load(Ordering::Relaxed) {
                    workdir::output(Command::new(env!("CARGO_BIN_EXE_skylarkwinch")).arg("help"));
                }
            });
        }
        let occupied = (0..WORKDIRS)
            .flat_map(|_| Workdir::new().entries.clone())
            .filter(|entry| TcpListener::bind(entry.ports.callers).is_err())
            .count();
        done.store(true, Ordering::Relaxed);
        assert_eq!(occupied, 0);
    });
}
