//! `skylarkwinch check`: reports all faults at once, each with the path of its field.

use crate::workdir::{RECORDS, Workdir, stderr};

#[test]
fn every_fault_of_the_settings_is_reported() {
    let workdir = Workdir::new();
    let bad = "name: a9\ncluster: test\nnick: x\nlisten:\n  callers: here\n  targets: 127.0.0.1:1\n  \
               operators: 127.0.0.1:1\npeer_key: short\ntarget_token: long-enough-for-targets\n\
               operators:\n  - {name: ana, token: operator-token-of-ana}\n  \
               - {name: ana, token: operator-token-of-luis, rank: 1}\nentries:\n  \
               - {name: a1, data_centre: north, address: \"127.0.0.1:2\", voter: true}\n  \
               - {name: a1, data_centre: north, address: \"127.0.0.1:2\", voter: perhaps}\n\
               limits: {default_deadline_ms: 90000, max_connections: 0, memory_mb: 1}\n\
               announce: {interval_ms: 5000, expiry_ms: 6000}\nlog: {level: loud}\n";
    workdir.write("bad.yaml", bad);
    let output = workdir.run("a1", &["check", "bad.yaml"]);
    assert_eq!(output.status.code(), Some(2));
    let text = stderr(&output);
    for expected in [
        "bad.yaml: nick: is not a setting",
        "bad.yaml: operators.1.rank: is not a setting",
        "bad.yaml: listen.callers: ",
        "bad.yaml: peer_key: is shorter than 16 bytes",
        "bad.yaml: operators[1].name: \"ana\" is used twice",
        "bad.yaml: entries[1].voter: ",
        "bad.yaml: entries[1].name: \"a1\" is used twice",
        "bad.yaml: entries[1].address: \"127.0.0.1:2\" is used twice",
        "bad.yaml: limits.max_connections: must be at least 1",
        "bad.yaml: limits.memory_mb: must be at least 32",
        "bad.yaml: limits.default_deadline_ms: is longer than limits.max_deadline_ms",
        "bad.yaml: announce.expiry_ms: is shorter than two announce.interval_ms",
        "bad.yaml: log.level: ",
    ] {
        assert!(text.contains(expected), "missing {expected:?} in\n{text}");
    }
}

#[test]
fn contradictions_between_fields_are_reported() {
    let workdir = Workdir::new();
    let own = workdir.entry("a1").clone();
    let good = workdir.settings(&own);
    let targets = format!("targets: {}", own.ports.targets);
    let cases = [
        (good.replace("name: a1\n", "name: a9\n"), "name: \"a9\" is not one of entries"),
        (
            good.replace("data_folder: a1\n", ""),
            "data_folder: is missing, but this entry is a voter",
        ),
        (good.replace("data_folder: a1", "data_folder: gone"), "data_folder: folder \""),
        (
            good.replace(&targets, &format!("targets: {}", own.ports.callers)),
            "listen.targets: address",
        ),
    ];
    for (text, expected) in cases {
        workdir.write("bad.yaml", &text);
        let output = workdir.run("a1", &["check", "bad.yaml"]);
        assert_eq!(output.status.code(), Some(2), "{expected}");
        assert!(stderr(&output).contains(expected), "{expected}: {}", stderr(&output));
        let output = workdir.run("a1", &["entry", "bad.yaml"]);
        assert_eq!(output.status.code(), Some(2), "{expected}");
    }
    workdir.write("good.yaml", &good);
    workdir.succeed("a1", &["check", "good.yaml"]);
}

#[test]
fn records_are_checked_together() {
    let workdir = Workdir::new();
    workdir.write("good.yaml", RECORDS);
    workdir.succeed("a1", &["check", "good.yaml"]);
    let blocked = "kind: budget\nschema: 1\nname: b\nspec: {pool: gate, max_unavailable: 0}\n---\n\
                   kind: plan\nschema: 1\nname: p\nspec: {pool: gate, action: reboot, max_concurrent: 1}\n";
    workdir.write("blocked.yaml", blocked);
    let output = workdir.run("a1", &["check", "good.yaml", "blocked.yaml"]);
    assert_eq!(output.status.code(), Some(2));
    let text = stderr(&output);
    assert!(text.contains("plan p: spec.pool: budget b lets no instance of pool"), "{text}");
}

#[test]
fn a_syntax_error_is_the_only_fault_and_has_line_and_column() {
    let workdir = Workdir::new();
    workdir.write("torn.yaml", &format!("{RECORDS}\n---\n: : [\n"));
    let output = workdir.run("a1", &["check", "torn.yaml"]);
    assert_eq!(output.status.code(), Some(2));
    let text = stderr(&output);
    assert_eq!(text.lines().count(), 1, "{text}");
    assert!(text.contains("torn.yaml: document ") && text.contains(" line "), "{text}");
    assert!(text.contains(" column "), "{text}");
}

#[test]
fn a_file_without_records_is_refused() {
    let workdir = Workdir::new();
    for (name, content) in [("empty.yaml", ""), ("bare.yaml", "---\n---\n")] {
        workdir.write(name, content);
        let output = workdir.run("a1", &["check", name]);
        assert_eq!(output.status.code(), Some(2), "{name}");
        assert!(stderr(&output).contains(&format!("{name}: holds no record")), "{name}");
    }
}

#[test]
fn settings_of_the_other_roles_are_checked_too() {
    let workdir = Workdir::new();
    let good = "name: p1\ndata_centre: north\nfounding: true\nseeds: [\"127.0.0.1:1\"]\n\
                listen: {ip: 127.0.0.1, internal: [7, 9]}\n";
    workdir.write("good.yaml", good);
    workdir.succeed("a1", &["check", "good.yaml"]);
    workdir.write("bad.yaml", &good.replace("[7, 9]", "[9, 7]"));
    let output = workdir.run("a1", &["check", "bad.yaml"]);
    assert_eq!(output.status.code(), Some(2));
    let text = stderr(&output);
    assert!(text.contains("bad.yaml: listen.internal: the first port is above"), "{text}");
}
