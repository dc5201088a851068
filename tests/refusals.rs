//! Operators, targets, peers and callers that are refused: the refusal is counted or
//! answered, and changes nothing.

use crate::workdir::{RECORDS, TARGET_TOKEN, Workdir, until};
use async_std::task::block_on;
use standin::client::Call;
use std::io::Read;
use std::net::TcpStream;
use std::time::Duration;

#[test]
fn operators_without_the_right_token_change_nothing() {
    let workdir = Workdir::running();
    let operators = workdir.entry("a1").ports.operators;
    let body = r#"{"id":"x","changes":[{"put":{"kind":"team","schema":1,"name":"t",
                   "spec":{"quota":1,"weight":1}}}]}"#;
    let before = workdir.get("a1", "/status")["applied"].clone();
    let no_token = Call::new(operators, "/submissions").post(body);
    let wrong_token = no_token.clone().token("operator-token-of-nobody");
    let with_target_token = no_token.clone().token(TARGET_TOKEN);
    for call in [no_token, wrong_token, with_target_token] {
        assert_eq!(block_on(call.send()).unwrap().status, 401);
    }
    for path in ["/records", "/journal", "/status", "/dump", "/metrics"] {
        assert_eq!(block_on(Call::new(operators, path).send()).unwrap().status, 401, "{path}");
    }
    assert_eq!(workdir.counter("a1", "operators_refused_total"), 8);
    assert_eq!(workdir.get("a1", "/status")["applied"], before);
}

#[test]
fn targets_without_the_right_token_are_not_used() {
    let workdir = Workdir::running();
    workdir.write("records.yaml", RECORDS);
    workdir.succeed("a1", &["record", "submit", "records.yaml", "--wait", "30"]);
    let body = r#"{"instance":"n1","incarnation":1,"sequence":1,"address":"127.0.0.1:9",
                   "state":"serving","in_flight":0}"#;
    let call = Call::new(workdir.entry("a1").ports.targets, "/announcements").post(body);
    assert_eq!(block_on(call.clone().send()).unwrap().status, 401);
    assert_eq!(block_on(call.clone().token("another-token").send()).unwrap().status, 401);
    assert_eq!(workdir.counter("a1", "targets_refused_total"), 2);
    assert!(workdir.targets("a1", "gate").is_empty());

    let bad = call.clone().post(body.replace("\"in_flight\":0", "\"in_flight\":-1"));
    let answer = block_on(bad.token(TARGET_TOKEN).send()).unwrap();
    assert_eq!(answer.status, 400);
    assert!(answer.text().contains("in_flight"), "{}", answer.text());
    assert_eq!(block_on(call.token(TARGET_TOKEN).send()).unwrap().status, 200);
    workdir.wait_for_targets(&["a1", "a2"], "gate", 1);
}

#[test]
fn peers_with_another_key_or_cluster_are_refused() {
    for (field, from, to) in [
        ("key", "peer_key: key-of-the-test-cluster", "peer_key: key-of-another-cluster"),
        ("cluster", "cluster: test", "cluster: other"),
    ] {
        let mut workdir = Workdir::new();
        let stranger = workdir.entry("b2").clone();
        let settings = workdir.settings(&stranger).replace(from, to);
        workdir.write("b2.yaml", &settings);
        for entry in workdir.entries.clone() {
            workdir.start(entry.name);
        }
        // The other entries form the cluster without the stranger.
        let members = |workdir: &Workdir, entry: &str| {
            let status = workdir.get(entry, "/status");
            let entries = status["entries"].as_array().cloned().unwrap_or_default();
            entries.iter().filter(|entry| entry["member"] == true).count()
        };
        until("five entries have joined", || members(&workdir, "a1") == 5);
        // The stranger connects to c1 and c2, which refuse it before they accept a frame.
        for name in ["c1", "c2"] {
            until("the refusal is counted", || workdir.counter(name, "peers_refused_total") > 0);
        }
        let status = workdir.get("b2", "/status");
        assert_eq!(status["applied"], 0, "{field}");
        assert_eq!(status["ready"], false, "{field}");
        let answer = block_on(workdir.call("b2", "/pools/gate/x", "").send()).unwrap();
        assert_eq!(answer.status, 503, "{field}");
        assert_eq!(answer.header("request-outcome"), "not-run", "{field}");
    }
}

#[test]
fn refused_requests_are_answered_with_outcome_and_reason() {
    let workdir = Workdir::running();
    workdir.write("records.yaml", RECORDS);
    workdir.succeed("a1", &["record", "submit", "records.yaml", "--wait", "30"]);
    let cases = [
        ("/pools/nowhere/x", None, 404, "unknown-pool"),
        ("/pools/gate/x", None, 503, "no-target"),
        ("/pools/gate/x", Some(("deadline-ms", "soon")), 400, "invalid"),
        ("/pools/gate/x", Some(("idempotency-key", "k")), 400, "invalid"),
        ("/pools/gate/x", Some(("idempotency-key", "b1.00000000000000ff.0")), 502, "key-lost"),
    ];
    for (path, header, status, reason) in cases {
        let mut call = workdir.call("a1", path, "body");
        call.timeout = Duration::from_secs(5);
        if let Some((name, value)) = header {
            call = call.header(name, value);
        }
        let answer = block_on(call.send()).unwrap();
        assert_eq!(answer.status, status, "{path} {header:?}");
        let outcome = if status == 502 { "unknown" } else { "not-run" };
        assert_eq!(answer.header("request-outcome"), outcome);
        assert!(answer.text().contains(reason), "{}", answer.text());
        assert_eq!(answer.header("retry-after").is_empty(), status < 500, "{path}");
    }
    let long = "x".repeat((1 << 20) + 1);
    let answer = block_on(workdir.call("a1", "/pools/gate/x", &long).send()).unwrap();
    assert_eq!(answer.status, 400);
    assert!(answer.text().contains("body: is longer than 1048576 bytes"), "{}", answer.text());
    let long = "x".repeat(20 << 10);
    let call = workdir.call("a1", "/pools/gate/x", "").header("long", long);
    assert!(block_on(call.send()).map_or(true, |answer| answer.status == 400));
}

#[test]
fn connections_are_bounded_in_number_and_idle_time() {
    let mut workdir = Workdir::with_shape(&[("a", "north", true)]);
    let entry = workdir.entry("a").clone();
    let settings = workdir.settings(&entry);
    let bounded = settings.replace("max_connections: 4096", "max_connections: 2, idle_ms: 4000");
    assert_ne!(bounded, settings);
    workdir.write("a.yaml", &bounded);
    workdir.start("a");
    workdir.wait_for_members(1);

    let callers = entry.ports.callers;
    let mut first = TcpStream::connect(callers).unwrap();
    std::thread::sleep(Duration::from_millis(50));
    let mut second = TcpStream::connect(callers).unwrap();
    std::thread::sleep(Duration::from_millis(50));
    assert_eq!(workdir.counter("a", "connections_evicted_total"), 0);
    let above_limit = block_on(Call::new(callers, "/healthz").send()).unwrap();
    assert_eq!(
        above_limit.status, 200,
        "a connection above the limit takes the place of an idle one"
    );
    assert_eq!(workdir.counter("a", "connections_evicted_total"), 1);
    first.set_read_timeout(Some(Duration::from_secs(1))).unwrap();
    assert_eq!(
        first.read(&mut [0]).unwrap(),
        0,
        "the one that has been idle for longest gives way"
    );
    assert_eq!(second.read(&mut [0]).unwrap_or(0), 0, "an idle connection is closed");
    until("a new connection is accepted", || {
        block_on(Call::new(callers, "/healthz").send()).is_ok_and(|answer| answer.status == 200)
    });
    assert_eq!(workdir.counter("a", "connections_evicted_total"), 1, "there was room for it");
}
