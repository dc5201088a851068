//! Settings with limits: defaults, and values out of bounds.

use mesh::Settings;
use std::time::Duration;

/// Returns settings with these limits, in YAML.
fn with_limits(limits: &str) -> mesh::settings::Result<Settings> {
    Settings::parse(&format!(
        "name: a\ndata_centre: north\nfounding: true\nseeds: [\"10.0.0.1:7003\"]\n\
         listen: {{ip: 10.0.0.1, internal: [7010, 7020]}}\n{limits}"
    ))
}

#[test]
fn limits_may_be_left_out_or_empty() {
    for text in ["", "limits:\n  memory_mb:\n", "limits: {memory_mb: null}\n"] {
        let limits = with_limits(text).unwrap().limits;
        assert_eq!((limits.memory_bytes(), limits.max_connections), (None, None), "{text:?}");
        assert_eq!(limits.idle_timeout(), Duration::from_secs(60));
    }
    for (text, bytes) in [("260", 260_000_000), ("160.5", 160_500_000)] {
        let limits = with_limits(&format!("limits: {{memory_mb: {text}}}\n")).unwrap().limits;
        assert_eq!(limits.memory_bytes(), Some(bytes));
    }
}

#[test]
fn limits_out_of_bounds_are_refused_by_name_and_bound() {
    for (field, value, bound) in [
        ("memory_mb", "1", "must be from 32 to 1000000000"),
        ("memory_mb", ".nan", "must be from 32 to 1000000000"),
        ("memory_mb", "1e300", "must be from 32 to 1000000000"),
        ("max_connections", "0", "must be at least 1"),
        ("max_connections", "-1", "invalid"),
        ("max_handshakes", "0", "must be at least 1"),
        ("request_memory_mb", "0", "must be above 0"),
        ("max_body_bytes", "0", "must be at least 1"),
        ("idle_ms", "0", "must be at least 1"),
        ("idle_ms", "soon", "invalid type"),
        ("max_memory", "1", "unknown field"),
    ] {
        let error =
            with_limits(&format!("limits: {{{field}: {value}}}\n")).unwrap_err().to_string();
        assert!(error.contains(field) && error.contains(bound), "{field}: {error}");
    }
}
