//! `skylarkwinch demo`: both example deployments run from start to stop.

use crate::workdir::{output, stderr};
use std::process::Command;

#[test]
fn both_deployments_run() {
    for (folder, moved) in [("cadena-fria", "callao-w17"), ("muestras", "cdmx-w17")] {
        let mut command = Command::new(env!("CARGO_BIN_EXE_skylarkwinch"));
        command
            .args(["demo", &format!("examples/{folder}")])
            .current_dir(env!("CARGO_MANIFEST_DIR"));
        let output = output(&mut command);
        let text = String::from_utf8_lossy(&output.stdout);
        assert!(output.status.success(), "{text}\n{}", stderr(&output));
        assert!(text.contains("50 stand-in targets announced and routed to"), "{text}");
        assert!(text.contains(&format!("instance {moved} assigned to pool")), "{text}");
        assert!(text.contains("40 of 40 answered"), "{text}");
        assert!(text.ends_with("stopped gracefully\n"), "{text}");
    }
}
