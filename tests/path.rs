//! End to end: one record and one request through separate processes.

use crate::workdir::{RECORDS, Workdir, until};
use async_std::task::block_on;
use std::time::Duration;

#[test]
fn one_record_and_one_request_pass_end_to_end() {
    let workdir = Workdir::running();
    workdir.write("records.yaml", RECORDS);

    // Submitted at an entry without a data folder, in force at all six.
    let out = workdir.succeed("c2", &["record", "submit", "records.yaml", "--wait", "30"]);
    assert!(out.contains("instance n1 revision 1"), "{out}");
    assert!(out.contains("in force at 6 entries"), "{out}");
    for entry in ["a1", "a2", "b1", "b2", "c1", "c2"] {
        let record = workdir.get(entry, "/records/instance/n1");
        assert_eq!(record["records"][0]["revision"], 1, "{entry}: {record}");
    }

    // Each target announces itself to one entry of the data centre; both entries use it.
    let first = workdir.target("n1", "a1", Duration::from_millis(5));
    let second = workdir.target("n2", "a2", Duration::from_millis(5));
    workdir.wait_for_targets(&["a1", "a2"], "gate", 2);

    for entry in ["a1", "a2"] {
        let call = workdir.call(entry, "/pools/gate/assign?lane=4", "box 17");
        let answer = block_on(call.send()).unwrap();
        assert_eq!(answer.status, 200, "{}", answer.text());
        assert_eq!(answer.header("request-outcome"), "answered");
        assert!(answer.text().ends_with("did /assign for box 17\n"), "{}", answer.text());
    }
    // An entry of another data centre, which has no targets, forwards the request.
    until("the pool is served through an entry in the south", || {
        let answer = block_on(workdir.call("b2", "/pools/gate/assign", "box 18").send()).unwrap();
        answer.header("request-outcome") == "answered"
    });
    let runs: u32 = first.runs().values().chain(second.runs().values()).sum();
    assert_eq!(runs, 3);

    // `explain` shows the operator and the decision.
    let out = workdir.succeed("b2", &["explain", "instance", "n1"]);
    assert!(out.contains("by operator \"ana\""), "{out}");
    assert!(out.contains("instance n1 assigned to pool gate"), "{out}");

    let dump = workdir.succeed("c1", &["dump"]);
    let dump: serde_json::Value = serde_json::from_str(&dump).unwrap();
    assert_eq!(dump["settings"]["peer_key"], "(hidden)");
    assert_eq!(dump["placements"]["n1"]["pool"], "gate");
    assert_eq!(dump["links"].as_array().unwrap().len(), 5);
    assert!(!dump.to_string().contains("operator-token-of-ana"));
    block_on(async {
        first.stop().await;
        second.stop().await;
    });
}

#[test]
fn a_leaving_target_gets_no_new_work_from_any_entry() {
    let workdir = Workdir::running();
    workdir.write("records.yaml", RECORDS);
    workdir.succeed("a1", &["record", "submit", "records.yaml", "--wait", "30"]);
    let leaving = workdir.target("n1", "a1", Duration::from_millis(5));
    let staying = workdir.target("n2", "a1", Duration::from_millis(5));
    workdir.wait_for_targets(&["a1", "a2"], "gate", 2);
    leaving.leave();
    workdir.wait_for_targets(&["a1", "a2"], "gate", 1);
    for entry in ["a1", "a2"] {
        let answer = block_on(workdir.call(entry, "/pools/gate/assign", "box 1").send()).unwrap();
        assert_eq!(answer.header("served-by"), "n2");
    }
    assert!(leaving.runs().is_empty());
    block_on(async {
        leaving.stop().await;
        staying.stop().await;
    });
}

#[test]
fn a_moved_instance_serves_only_its_new_pool() {
    let workdir = Workdir::running();
    workdir.write("records.yaml", RECORDS);
    workdir.succeed("a1", &["record", "submit", "records.yaml", "--wait", "30"]);
    let moved = workdir.target("n1", "a1", Duration::from_millis(5));
    workdir.wait_for_targets(&["a1", "a2"], "gate", 1);
    let amended = "kind: instance\nschema: 1\nname: n1\nrevision: 1\nspec: {pool: status, \
                   data_centre: north, rack: r1, cores: 4, memory_gb: 8, slots: 8, connections: 64}\n";
    workdir.write("move.yaml", amended);
    workdir.succeed("b1", &["record", "amend", "move.yaml"]);
    until("the move ends", || workdir.targets("a2", "status") == ["n1"]);
    assert!(workdir.targets("a2", "gate").is_empty());
    let out = workdir.succeed("a2", &["explain", "instance", "n1"]);
    let begun = out.find("began to move from pool gate to status").unwrap();
    let released = out.find("entry a2 released instance n1").unwrap();
    let assigned = out.find("instance n1 assigned to pool status").unwrap();
    assert!(begun < released && released < assigned, "{out}");
    block_on(moved.stop());
}
