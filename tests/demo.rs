//! `skylarkwinch demo`: both example deployments run from start to stop.

use crate::workdir::{output, start, stderr};
use rustix::process::{Pid, Signal, kill_process};
use std::io::{BufRead, BufReader, Read};
use std::process::{Command, Stdio};
use std::time::Duration;

fn demo(folder: &str) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_skylarkwinch"));
    command.args(["demo", &format!("examples/{folder}")]).current_dir(env!("CARGO_MANIFEST_DIR"));
    command
}

/// Asserts that every step of a demo was done.
fn assert_done(text: &str, moved: &str) {
    assert!(text.contains("50 stand-in targets announced and routed to"), "{text}");
    assert!(text.contains(&format!("instance {moved} assigned to pool")), "{text}");
    assert!(text.contains("40 of 40 answered"), "{text}");
    assert!(text.ends_with("stopped gracefully\n"), "{text}");
}

#[test]
fn both_deployments_run() {
    for (folder, moved) in [("cadena-fria", "callao-w17"), ("muestras", "cdmx-w17")] {
        let output = output(&mut demo(folder));
        let text = String::from_utf8_lossy(&output.stdout);
        assert!(output.status.success(), "{text}\n{}", stderr(&output));
        assert_done(&text, moved);
    }
}

/// Longer than a leader leads without an answer of the other voters.
const FREEZE_TIME: Duration = Duration::from_millis(1500);

#[test]
fn a_demo_goes_on_when_the_leader_loses_its_lead() {
    let mut child = start(demo("cadena-fria").stdout(Stdio::piped()).stderr(Stdio::piped()));
    let mut lines = BufReader::new(child.stdout.take().unwrap());
    let mut text = String::new();
    while !text.contains("submitting") {
        assert!(lines.read_line(&mut text).unwrap() > 0, "{text}");
    }
    let pid = Pid::from_child(&child);
    kill_process(pid, Signal::STOP).unwrap();
    std::thread::sleep(FREEZE_TIME);
    kill_process(pid, Signal::CONT).unwrap();
    lines.read_to_string(&mut text).unwrap();
    let output = child.wait_with_output().unwrap();
    assert!(output.status.success(), "{text}\n{}", stderr(&output));
    assert_done(&text, "callao-w17");
}
