//! Entry processes that are killed, frozen or lose their disks, and targets that fail.

use crate::workdir::{RECORDS, Workdir, stderr, until};
use async_std::task::block_on;
use rustix::process::Signal;
use std::io::Write;
use std::time::Duration;

fn team(name: &str) -> String {
    format!("kind: team\nschema: 1\nname: {name}\nspec: {{quota: 1, weight: 1}}\n")
}

/// Returns the leader that an entry is in contact with.
fn leader(workdir: &Workdir, seen_by: &str) -> Option<String> {
    let status = workdir.get(seen_by, "/status");
    let current = status["current"] == true;
    status["leader"].as_str().filter(|_| current).map(str::to_string)
}

fn wait_for_leader(workdir: &Workdir, seen_by: &str, not: &str) -> String {
    until("another entry leads", || leader(workdir, seen_by).is_some_and(|name| name != not));
    leader(workdir, seen_by).unwrap()
}

fn has_team(workdir: &Workdir, entry: &str, name: &str) -> bool {
    workdir.get(entry, &format!("/records/team/{name}"))["records"].is_array()
}

/// Returns an entry without a data folder in another data centre than the leader's.
fn observer(leader: &str) -> &'static str {
    if leader.starts_with('b') { "a2" } else { "b2" }
}

#[test]
fn accepted_changes_survive_a_killed_leader() {
    let mut workdir = Workdir::running();
    let first = leader(&workdir, "a2").unwrap();
    let observer = observer(&first);
    for number in 0..10 {
        let name = format!("t{number}");
        workdir.write("team.yaml", &team(&name));
        if number == 5 {
            workdir.kill(&first);
        }
        workdir.succeed(observer, &["record", "submit", "team.yaml", "--id", &name]);
    }
    wait_for_leader(&workdir, observer, &first);
    workdir.start(workdir.entry(&first).name);
    until("the restarted entry has all changes", || {
        (0..10).all(|number| has_team(&workdir, &first, &format!("t{number}")))
    });
    // A resend after the change of leader gets the first answer.
    workdir.write("team.yaml", &team("t3"));
    let resent = workdir.succeed(observer, &["record", "submit", "team.yaml", "--id", "t3"]);
    assert!(resent.contains("team t3 revision 1"), "{resent}");
}

#[test]
fn a_thawed_leader_does_not_depose_its_successor() {
    let workdir = Workdir::running();
    let old = leader(&workdir, "a2").unwrap();
    let observer = observer(&old);
    workdir.signal(&old, Signal::STOP);
    let new = wait_for_leader(&workdir, observer, &old);
    workdir.write("team.yaml", &team("while-frozen"));
    workdir.succeed(observer, &["record", "submit", "team.yaml"]);
    let term = workdir.get(observer, "/status")["term"].clone();
    workdir.signal(&old, Signal::CONT);
    until("the thawed entry has the change", || has_team(&workdir, &old, "while-frozen"));
    until("the thawed entry names the new leader", || {
        leader(&workdir, &old).as_ref() == Some(&new)
    });
    assert_eq!(
        workdir.get(observer, "/status")["term"],
        term,
        "the thawed entry deposed the new leader"
    );
}

#[test]
fn without_a_majority_changes_fail_and_requests_are_served() {
    let mut workdir = Workdir::running();
    workdir.write("records.yaml", RECORDS);
    workdir.succeed("a1", &["record", "submit", "records.yaml", "--wait", "30"]);
    let target = workdir.target("n1", "a1", Duration::from_millis(5));
    workdir.wait_for_targets(&["a1", "a2"], "gate", 1);
    workdir.kill("b1");
    workdir.kill("c1");
    until("a1 has no leader", || leader(&workdir, "a1").is_none());
    workdir.write("team.yaml", &team("lost"));
    let output = workdir.run("a1", &["record", "submit", "team.yaml", "--id", "lost"]);
    assert!(matches!(output.status.code(), Some(4 | 5)), "{}", stderr(&output));
    let output = workdir.run("a1", &["record", "get", "pool", "gate"]);
    assert!(stderr(&output).contains("may be cut off"), "{}", stderr(&output));
    for entry in ["a1", "a2"] {
        let answer = block_on(workdir.call(entry, "/pools/gate/x", "box").send()).unwrap();
        assert_eq!(answer.header("request-outcome"), "answered", "{entry}");
    }
    workdir.start("b1");
    until("a1 has a leader", || leader(&workdir, "a1").is_some());
    workdir.succeed("a1", &["record", "submit", "team.yaml", "--id", "lost"]);
    block_on(target.stop());
}

#[test]
fn two_lost_disks_are_replaced_one_after_the_other() {
    let mut workdir = Workdir::running();
    workdir.write("team.yaml", &team("kept"));
    workdir.succeed("a1", &["record", "submit", "team.yaml"]);
    for name in ["c1", "b1"] {
        let before = workdir.get(name, "/status")["incarnation"].clone();
        workdir.kill(name);
        std::fs::remove_dir_all(workdir.path(name)).unwrap();
        std::fs::create_dir(workdir.path(name)).unwrap();
        workdir.start(name);
        until("the emptied entry has the records", || has_team(&workdir, name, "kept"));
        let after = workdir.get(name, "/status")["incarnation"].as_str().unwrap().to_string();
        assert_ne!(before, after.as_str());
        let text = format!(
            "kind: voter\nschema: 1\nname: {name}\nrevision: 1\nspec: {{incarnation: \"{after}\"}}\n"
        );
        workdir.write("voter.yaml", &text);
        workdir.succeed("a1", &["record", "amend", "voter.yaml"]);
        let id = format!("{name}/{after}");
        until("the new disk votes", || {
            let voters = workdir.get("a1", "/status")["voters"].clone();
            voters.as_array().is_some_and(|v| v.len() == 3 && v.contains(&id.clone().into()))
        });
    }
    // The voters are the two new disks and a1's.
    workdir.write("team.yaml", &team("after"));
    workdir.succeed("a2", &["record", "submit", "team.yaml", "--wait", "30"]);
}

#[test]
fn a_restarted_entry_without_a_disk_gets_the_records_in_force() {
    let mut workdir = Workdir::running();
    workdir.write("records.yaml", RECORDS);
    workdir.succeed("a1", &["record", "submit", "records.yaml", "--wait", "30"]);
    let target = workdir.target("n1", "a1", Duration::from_millis(5));
    workdir.wait_for_targets(&["a1", "a2"], "gate", 1);
    workdir.kill("a2");
    workdir.start("a2");
    workdir.wait_for_members(6);
    workdir.wait_for_targets(&["a2"], "gate", 1);
    let answer = block_on(workdir.call("a2", "/pools/gate/x", "box").send()).unwrap();
    assert_eq!(answer.header("request-outcome"), "answered");
    block_on(target.stop());
}

#[test]
fn a_move_waits_for_a_killed_entry_until_it_is_dismissed() {
    let mut workdir = Workdir::running();
    workdir.write("records.yaml", RECORDS);
    workdir.succeed("b1", &["record", "submit", "records.yaml", "--wait", "30"]);
    workdir.kill("a2");
    let amended = "kind: instance\nschema: 1\nname: n1\nrevision: 1\nspec: {pool: status, \
                   data_centre: north, rack: r1, cores: 4, memory_gb: 8, slots: 8, connections: 64}\n";
    workdir.write("move.yaml", amended);
    workdir.succeed("b1", &["record", "amend", "move.yaml"]);
    until("the running entry releases the instance", || {
        let out = workdir.succeed("b1", &["explain", "instance", "n1"]);
        out.contains("entry a1 released instance n1")
    });
    let placement = workdir.get("b1", "/dump")["placements"]["n1"].clone();
    assert_eq!(placement["pool"], "gate", "{placement}");
    workdir.succeed("b1", &["record", "dismiss", "a2"]);
    until("the move ends", || workdir.get("b1", "/dump")["placements"]["n1"]["pool"] == "status");
    let output = workdir.run("b1", &["record", "dismiss", "a2"]);
    assert_eq!(output.status.code(), Some(3));
    assert!(stderr(&output).contains("entry: entry \"a2\" is not a member"));
}

#[test]
fn hundreds_of_changes_survive_restarts_in_a_small_folder() {
    let mut workdir = Workdir::running();
    let teams: String =
        (0..150).map(|number| format!("{}---\n", team(&format!("t{number}")))).collect();
    workdir.write("teams.yaml", &teams);
    workdir.succeed("a1", &["record", "submit", "teams.yaml"]);
    for revision in 1..=8 {
        let amended: String = (0..150)
            .map(|number| {
                let text = team(&format!("t{number}"));
                format!("{}---\n", text.replace("spec:", &format!("revision: {revision}\nspec:")))
            })
            .collect();
        workdir.write("teams.yaml", &amended);
        workdir.succeed("a1", &["record", "amend", "teams.yaml"]);
    }
    for name in ["a1", "b1", "c1"] {
        workdir.kill(name);
    }
    for name in ["a1", "b1", "c1"] {
        workdir.start(name);
    }
    workdir.wait_for_members(6);
    for name in ["a1", "b1", "c1"] {
        let record = workdir.get(name, "/records/team/t149");
        assert_eq!(record["records"][0]["revision"], 9, "{name}");
    }
}

#[test]
fn a_damaged_log_is_refused_with_file_and_offset() {
    let mut workdir = Workdir::running();
    workdir.write("team.yaml", &team("t"));
    workdir.succeed("a1", &["record", "submit", "team.yaml"]);
    workdir.kill("c1");
    let path = workdir.path("c1").join("log");
    let mut bytes = std::fs::read(&path).unwrap();
    bytes[20] ^= 0xff;
    std::fs::File::create(&path).unwrap().write_all(&bytes).unwrap();
    let output = workdir.run("c1", &["entry", "c1.yaml"]);
    assert_eq!(output.status.code(), Some(2));
    assert!(
        stderr(&output).contains("data_folder: file \"log\" is damaged at offset 0"),
        "{}",
        stderr(&output)
    );
}

#[test]
fn requests_to_a_faulty_target_are_retried_at_another() {
    let workdir = Workdir::running();
    workdir.write("records.yaml", RECORDS);
    workdir.succeed("a1", &["record", "submit", "records.yaml", "--wait", "30"]);
    let faulty = workdir.target("n1", "a1", Duration::from_millis(5));
    let good = workdir.target("n2", "a1", Duration::from_millis(5));
    workdir.wait_for_targets(&["a1", "a2"], "gate", 2);
    for (behaviour, outcome) in [
        (standin::Behaviour::Silent, "answered"),
        (standin::Behaviour::Truncate, "answered"),
        (standin::Behaviour::Refuse, "answered"),
    ] {
        faulty.set_behaviour(behaviour);
        for number in 0..6 {
            let call = workdir.call("a1", "/pools/gate/x", &format!("{behaviour:?} {number}"));
            let answer = block_on(call.header("deadline-ms", "1500").send()).unwrap();
            assert_eq!(answer.header("request-outcome"), outcome, "{}", answer.text());
            assert_eq!(answer.header("served-by"), "n2");
        }
    }
    block_on(async {
        faulty.stop().await;
        good.stop().await;
    });
}
