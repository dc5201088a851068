//! `skylarkwinch recover` after a majority of the voters' data folders was lost.

use crate::workdir::{RECORDS, Workdir, stderr, until};

#[test]
fn one_data_folder_becomes_the_only_voter() {
    let mut workdir = Workdir::running();
    workdir.write("records.yaml", RECORDS);
    workdir.succeed("a1", &["record", "submit", "records.yaml", "--wait", "30"]);
    for name in ["a1", "a2", "b1", "b2", "c1", "c2"] {
        workdir.kill(name);
    }
    for name in ["b1", "c1"] {
        std::fs::remove_dir_all(workdir.path(name)).unwrap();
        std::fs::create_dir(workdir.path(name)).unwrap();
    }
    // Without --yes nothing is changed, and an empty folder can't be recovered.
    let shown = workdir.succeed("a1", &["recover", "a1", "--name", "a1"]);
    assert!(shown.contains("nothing was changed"), "{shown}");
    let output = workdir.run("a1", &["recover", "b1", "--name", "b1", "--yes"]);
    assert_eq!(output.status.code(), Some(6), "{}", stderr(&output));
    let done = workdir.succeed("a1", &["recover", "a1", "--name", "a1", "--yes"]);
    assert!(done.contains("is the only voter"), "{done}");

    for name in ["a1", "a2", "b1", "b2", "c1", "c2"] {
        workdir.start(name);
    }
    workdir.wait_for_members(6);
    let team = "kind: team\nschema: 1\nname: t\nspec: {quota: 1, weight: 1}\n";
    workdir.write("team.yaml", team);
    workdir.succeed("c2", &["record", "submit", "team.yaml", "--wait", "30"]);
    let record = workdir.get("b2", "/records/pool/gate");
    assert_eq!(record["records"][0]["revision"], 1, "{record}");

    // Voter records admit the emptied folders again, one after the other.
    for name in ["b1", "c1"] {
        let voter = workdir.get(name, "/status")["incarnation"].as_str().unwrap().to_string();
        let text = format!(
            "kind: voter\nschema: 1\nname: {name}\nrevision: 1\nspec: {{incarnation: \"{voter}\"}}\n"
        );
        workdir.write("voter.yaml", &text);
        workdir.succeed("a1", &["record", "amend", "voter.yaml"]);
    }
    until("there are three voters", || {
        workdir.get("a1", "/status")["voters"].as_array().is_some_and(|v| v.len() == 3)
    });
}
