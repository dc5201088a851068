//! Ports that a test has found stay free for its processes.

use crate::workdir::{self, Workdir};
use std::net::TcpListener;
use std::process::Command;
use std::sync::atomic::{AtomicBool, Ordering};

/// Each takes a loopback host of its own, of which a test process has 255.
const WORKDIRS: usize = 60;

#[test]
fn a_process_that_another_test_starts_takes_no_port_that_was_given_back() {
    let over = AtomicBool::new(false);
    std::thread::scope(|scope| {
        for _ in 0..3 {
            scope.spawn(|| {
                while !over.load(Ordering::Relaxed) {
                    workdir::output(Command::new(env!("CARGO_BIN_EXE_skylarkwinch")).arg("help"));
                }
            });
        }
        let taken = (0..WORKDIRS)
            .flat_map(|_| Workdir::new().entries.clone())
            .filter(|entry| TcpListener::bind(entry.ports.callers).is_err())
            .count();
        over.store(true, Ordering::Relaxed);
        assert_eq!(taken, 0);
    });
}
