//! `skylarkwinch record`: concurrent changes, resends, invalid input.

use crate::workdir::{OTHER_OPERATOR_TOKEN, RECORDS, Workdir, stderr, until};

const AMENDED: &str =
    "kind: pool\nschema: 1\nname: gate\nrevision: 1\nspec: {description: Amended, size: 3}\n";

#[test]
fn concurrent_changes_and_resends_are_resolved() {
    let workdir = Workdir::running();
    workdir.write("records.yaml", RECORDS);
    workdir.write("amended.yaml", AMENDED);
    workdir.write("other.yaml", &AMENDED.replace("Amended", "Other"));
    let args = ["record", "submit", "records.yaml", "--id", "first"];
    let first = workdir.succeed("a1", &args);

    // A resend at another entry gets the first answer and changes nothing.
    assert_eq!(workdir.succeed("b2", &args), first);
    let records = workdir.get("a1", "/records?kind=pool");
    assert_eq!(records["records"][0]["revision"], 1);

    // The same id with other content is refused.
    let output = workdir.run("a1", &["record", "amend", "amended.yaml", "--id", "first"]);
    assert_eq!(output.status.code(), Some(3));
    assert!(stderr(&output).contains("submission id: \"first\" was used"), "{}", stderr(&output));

    // Of two amendments of one revision, the first is accepted; the other is refused and
    // names the operator of the first.
    let amend_as_luis = ["record", "amend", "other.yaml", "--token", OTHER_OPERATOR_TOKEN];
    workdir.succeed("c1", &amend_as_luis);
    let output = workdir.run("a2", &["record", "amend", "amended.yaml"]);
    assert_eq!(output.status.code(), Some(3));
    assert!(stderr(&output).contains("revision 2 by operator \"luis\""), "{}", stderr(&output));

    // A withdrawn record leaves a tombstone, so that an old copy can't be submitted again.
    let output = workdir.run("a1", &["record", "withdraw", "pool", "gate", "--revision", "2"]);
    assert!(stderr(&output).contains("while instance n1 refers to it"), "{}", stderr(&output));
    workdir.succeed("a1", &["record", "withdraw", "budget", "gate", "--revision", "1"]);
    let budget = "kind: budget\nschema: 1\nname: gate\nspec: {pool: gate, max_unavailable: 1}\n";
    workdir.write("budget.yaml", budget);
    let output = workdir.run("a1", &["record", "submit", "budget.yaml"]);
    assert_eq!(output.status.code(), Some(3));
    assert!(stderr(&output).contains("is withdrawn"), "{}", stderr(&output));
    let listed = workdir.succeed("a1", &["record", "list", "budget", "--withdrawn"]);
    assert!(listed.contains("budget gate schema 1 revision 2 withdrawn"), "{listed}");
}

#[test]
fn a_batch_with_invalid_records_is_refused_with_every_fault() {
    let workdir = Workdir::running();
    let bad = "kind: pool\nschema: 1\nname: Gate\nspec: {description: x, size: many}\n---\n\
               kind: instance\nschema: 9\nname: n1\nspec: {}\n";
    workdir.write("bad.yaml", bad);
    let output = workdir.run("a1", &["record", "submit", "bad.yaml"]);
    assert_eq!(output.status.code(), Some(2));
    let text = stderr(&output);
    assert!(text.contains("bad.yaml: pool Gate: name:"), "{text}");
    assert!(text.contains("bad.yaml: pool Gate: spec.size:"), "{text}");
    assert!(text.contains("bad.yaml: instance n1: schema: kind \"instance\" has no"), "{text}");

    // No record of a batch is applied when one is invalid.
    let mixed = "kind: pool\nschema: 1\nname: fine\nspec: {description: x, size: 1}\n---\n\
                 kind: budget\nschema: 1\nname: lost\nspec: {pool: nowhere, max_unavailable: 1}\n---\n\
                 kind: plan\nschema: 1\nname: p\nspec: {pool: elsewhere, action: drain, max_concurrent: 1}\n";
    workdir.write("mixed.yaml", mixed);
    let output = workdir.run("a1", &["record", "submit", "mixed.yaml"]);
    assert_eq!(output.status.code(), Some(3));
    let text = stderr(&output);
    assert!(text.contains("budget lost: spec.pool: pool \"nowhere\" does not exist"), "{text}");
    assert!(text.contains("plan p: spec.pool: pool \"elsewhere\" does not exist"), "{text}");
    let output = workdir.run("a1", &["record", "get", "pool", "fine"]);
    assert_eq!(output.status.code(), Some(6), "{}", stderr(&output));
}

/// `--wait` must also cover entries that are connected but not members yet.
#[test]
fn a_wait_covers_connected_entries_that_are_not_members() {
    let mut workdir = Workdir::new();
    for entry in workdir.entries.clone() {
        workdir.start(entry.name);
    }
    until("a1 has a leader and all entries are connected", || {
        let status = workdir.get("a1", "/status");
        let entries = status["entries"].as_array().cloned().unwrap_or_default();
        status["current"] == true && entries.iter().all(|entry| entry["connected"] == true)
    });
    workdir.write("records.yaml", RECORDS);
    let out = workdir.succeed("a1", &["record", "submit", "records.yaml", "--wait", "30"]);
    assert!(out.contains("in force at 6 entries"), "{out}");
    for entry in ["a2", "b1", "b2", "c1", "c2"] {
        let record = workdir.get(entry, "/records/instance/n1");
        assert_eq!(record["records"][0]["revision"], 1, "{entry}: {record}");
    }
}
