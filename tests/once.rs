//! Requests with idempotency keys, resent to any entry while entries are killed, frozen and
//! stopped: each runs at most once.

use crate::workdir::{RECORDS, Workdir, until};
use async_std::task::{block_on, spawn};
use rustix::process::Signal;
use standin::client::{Answer, Call};
use standin::{Behaviour, Target};
use std::time::Duration;

fn key(workdir: &Workdir, entry: &str) -> String {
    let answer = block_on(workdir.call(entry, "/keys", "").send()).unwrap();
    let value: serde_json::Value = serde_json::from_slice(&answer.body).unwrap();
    value["key"].as_str().unwrap().to_string()
}

fn keyed(workdir: &Workdir, entry: &str, key: &str, body: &str) -> Call {
    let call = workdir.call(entry, "/pools/gate/assign", body);
    call.header("idempotency-key", key).header("deadline-ms", "3000")
}

fn send(workdir: &Workdir, entry: &str, key: &str, body: &str) -> Answer {
    block_on(keyed(workdir, entry, key, body).send()).unwrap()
}

fn outcome(answer: &Answer) -> &str {
    answer.header("request-outcome")
}

/// Six entries and the targets n1 and n2 of the pool `gate`.
fn cluster(work: Duration) -> (Workdir, [Target; 2]) {
    let workdir = Workdir::running();
    workdir.write("records.yaml", RECORDS);
    workdir.succeed("a1", &["record", "submit", "records.yaml", "--wait", "30"]);
    let targets = ["n1", "n2"].map(|name| workdir.target(name, "a1", work));
    workdir.wait_for_targets(&["a1", "a2"], "gate", 2);
    (workdir, targets)
}

fn runs(targets: &[Target; 2], body: &str) -> u32 {
    targets.iter().filter_map(|target| target.runs().get(body).copied()).sum()
}

fn stop(targets: [Target; 2]) {
    block_on(async {
        for target in targets {
            target.stop().await;
        }
    });
}

#[test]
fn a_resend_to_any_entry_gets_the_first_answer() {
    let (workdir, targets) = cluster(Duration::from_millis(5));
    let key = key(&workdir, "a2");
    let first = send(&workdir, "a1", &key, "box 1");
    assert_eq!(outcome(&first), "answered", "{}", first.text());
    for entry in ["a1", "a2", "b1", "c2"] {
        let resent = send(&workdir, entry, &key, "box 1");
        assert_eq!(resent.text(), first.text(), "{entry}");
    }
    assert_eq!(runs(&targets, "box 1"), 1);
    assert_eq!(
        workdir.get("a2", "/dump")["claims"],
        1,
        "only the entry that issued the key holds its claim"
    );
    assert_eq!(workdir.get("a1", "/dump")["claims"], 0);

    let other = send(&workdir, "b1", &key, "box 2");
    assert_eq!((other.status, outcome(&other)), (400, "not-run"));
    assert!(other.text().contains("was used for another request"), "{}", other.text());
    assert_eq!(runs(&targets, "box 2"), 0);
    stop(targets);
}

#[test]
fn concurrent_sends_with_one_key_run_once() {
    let (workdir, targets) = cluster(Duration::from_millis(200));
    for round in 0..3 {
        let key = key(&workdir, "a1");
        let body = format!("box {round}");
        let sends: Vec<_> = ["a1", "a2", "b1", "a1", "a2", "c1"]
            .map(|entry| spawn(keyed(&workdir, entry, &key, &body).send()))
            .into_iter()
            .collect();
        let texts: Vec<String> =
            sends.into_iter().map(|sent| block_on(sent).unwrap().text()).collect();
        assert!(texts.iter().all(|text| *text == texts[0]), "{texts:?}");
        assert_eq!(runs(&targets, &body), 1);
    }
    stop(targets);
}

#[test]
fn a_request_in_flight_at_a_killed_entry_stays_unknown_and_never_reruns() {
    let (mut workdir, targets) = cluster(Duration::from_millis(500));
    let in_flight = key(&workdir, "a2");
    let unused = key(&workdir, "a2");
    let sent = spawn(keyed(&workdir, "a2", &in_flight, "box 1").send());
    until("the request runs", || runs(&targets, "box 1") == 1);
    workdir.kill("a2");
    assert!(block_on(sent).is_err());
    until("the loss of a2 is noticed", || {
        outcome(&send(&workdir, "a1", &unused, "box 2")) == "unknown"
    });
    workdir.start("a2");
    workdir.wait_for_members(6);
    for entry in ["a1", "a2", "b1"] {
        let resent = send(&workdir, entry, &in_flight, "box 1");
        assert_eq!(outcome(&resent), "unknown", "{entry}: {}", resent.text());
    }
    assert_eq!(runs(&targets, "box 1"), 1);
    workdir.wait_for_targets(&["a2"], "gate", 2);
    let fresh = key(&workdir, "a2");
    assert_ne!(fresh, in_flight, "a restarted entry issues other keys");
    assert_eq!(outcome(&send(&workdir, "a1", &fresh, "box 3")), "answered");
    stop(targets);
}

#[test]
fn a_thawed_entry_does_not_run_a_request_that_timed_out() {
    let (workdir, targets) = cluster(Duration::from_millis(5));
    let key = key(&workdir, "a2");
    workdir.signal("a2", Signal::STOP);
    let answer = send(&workdir, "a1", &key, "box 1");
    assert_eq!(outcome(&answer), "unknown", "{}", answer.text());
    workdir.signal("a2", Signal::CONT);
    until("the entry answers", || outcome(&send(&workdir, "a1", &key, "box 1")) == "answered");
    assert_eq!(runs(&targets, "box 1"), 1);
    stop(targets);
}

#[test]
fn a_lost_answer_is_unknown_and_a_refused_request_can_be_resent() {
    let (workdir, targets) = cluster(Duration::from_millis(5));
    targets.iter().for_each(|target| target.set_behaviour(Behaviour::Truncate));
    let lost = key(&workdir, "a1");
    for entry in ["a1", "a2"] {
        let answer = send(&workdir, entry, &lost, "box 1");
        assert_eq!((answer.status, outcome(&answer)), (502, "unknown"), "{}", answer.text());
    }
    assert_eq!(runs(&targets, "box 1"), 1);

    targets.iter().for_each(|target| target.set_behaviour(Behaviour::Refuse));
    let refused = key(&workdir, "a1");
    let answer = send(&workdir, "a1", &refused, "box 2");
    assert_eq!((answer.status, outcome(&answer)), (503, "not-run"), "{}", answer.text());
    targets[1].set_behaviour(Behaviour::Serve);
    until("the resend runs", || outcome(&send(&workdir, "a2", &refused, "box 2")) == "answered");
    assert_eq!(runs(&targets, "box 2"), 1);
    stop(targets);
}

#[test]
fn a_stopping_entry_hands_its_recorded_answers_over() {
    let (mut workdir, targets) = cluster(Duration::from_millis(300));
    let done = key(&workdir, "a2");
    let late = key(&workdir, "a2");
    let first = send(&workdir, "a1", &done, "box 1");
    let sent = spawn(keyed(&workdir, "a1", &late, "box 2").send());
    until("the request runs", || runs(&targets, "box 2") == 1);
    workdir.signal("a2", Signal::TERM);
    assert_eq!(
        outcome(&block_on(sent).unwrap()),
        "answered",
        "the stop interrupted a request in flight"
    );
    assert!(workdir.wait_for_exit("a2").success());
    assert_eq!(send(&workdir, "a1", &done, "box 1").text(), first.text());
    assert_eq!(outcome(&send(&workdir, "a1", &late, "box 2")), "answered");
    assert_eq!(runs(&targets, "box 2"), 1);
    stop(targets);
}
