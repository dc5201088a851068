//! `skylarkwinch entry`: graceful stop, restart after a kill, lock of the data folder.

use crate::workdir::{RECORDS, Workdir, stderr, until};
use async_std::task::{block_on, spawn};
use rustix::process::Signal;
use std::time::Duration;

#[test]
fn a_graceful_stop_completes_requests_in_flight() {
    for signal in [Signal::TERM, Signal::INT] {
        let mut workdir = Workdir::running();
        workdir.write("records.yaml", RECORDS);
        workdir.succeed("a1", &["record", "submit", "records.yaml", "--wait", "30"]);
        let target = workdir.target("n1", "a1", Duration::from_millis(2000));
        workdir.wait_for_targets(&["a1", "a2"], "gate", 1);

        let in_flight_call = spawn(workdir.call("a1", "/pools/gate/assign", "box 1").send());
        until("the request runs", || target.in_flight() == 1);
        workdir.signal("a1", signal);
        let health = workdir.entry("a1").ports.callers;
        until("the health check fails", || {
            let call = standin::client::Call::new(health, "/healthz");
            block_on(call.send()).is_ok_and(|answer| answer.status == 503)
        });
        let late = block_on(workdir.call("a1", "/pools/gate/assign", "box 2").send());
        if let Ok(late) = late {
            assert_eq!(late.header("request-outcome"), "not-run");
        }
        let answer = block_on(in_flight_call).unwrap();
        assert_eq!(answer.header("request-outcome"), "answered");
        assert!(workdir.wait_for_exit("a1").success());
        assert_eq!(target.runs().len(), 1);
        // The other entries remove it from the members.
        until("a1 is not a member", || {
            let status = workdir.get("a2", "/status");
            status["entries"][0]["member"] == false
        });
        block_on(target.stop());
    }
}

#[test]
fn accepted_records_survive_a_kill_of_every_process() {
    let mut workdir = Workdir::running();
    workdir.write("records.yaml", RECORDS);
    workdir.succeed("b2", &["record", "submit", "records.yaml"]);
    let names: Vec<&'static str> = workdir.entries.iter().map(|entry| entry.name).collect();
    for name in &names {
        workdir.kill(name);
    }
    for name in &names {
        workdir.start(name);
    }
    workdir.wait_for_members(6);
    for name in &names {
        let record = workdir.get(name, "/records/pool/gate");
        assert_eq!(record["records"][0]["operator"], "ana", "{name}: {record}");
    }
}

#[test]
fn two_processes_cannot_share_a_data_folder() {
    let workdir = Workdir::running();
    let settings = workdir.settings(workdir.entry("a1"));
    let ports = workdir.entry("a1").ports;
    let moved = settings
        .replace(&format!("callers: {}", ports.callers), "callers: 127.0.0.1:0")
        .replace(&format!("targets: {}", ports.targets), "targets: 127.0.0.2:0")
        .replace(&format!("operators: {}", ports.operators), "operators: 127.0.0.3:0")
        .replace(&format!("\"{}\"", ports.peers), "\"127.0.0.4:0\"");
    workdir.write("second.yaml", &moved);
    let output = workdir.run("a1", &["entry", "second.yaml"]);
    assert_eq!(output.status.code(), Some(2));
    assert!(stderr(&output).contains("is locked by another process"), "{}", stderr(&output));
}
