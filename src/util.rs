//! What the commands share: errors and exit codes, printing, signals.

use ::record::Fault;
use futures::StreamExt;
use serde::Serialize;
use std::io::Write;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::SystemTime;

/// Result of a command.
pub type Result<T> = std::result::Result<T, Error>;

/// Why a command failed.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// Files or arguments with wrong values.
    #[error("{}", lines(.0))]
    Input(Vec<String>),
    /// The system said no.
    #[error("{0}")]
    Refused(String),
    /// Nothing was changed.
    #[error("{0}")]
    NotTaken(String),
    /// Something may have been changed.
    #[error("{0}")]
    Unknown(String),
    /// What was asked for does not exist.
    #[error("{0}")]
    Missing(String),
    /// The operating system refused.
    #[error("{0}: {1}")]
    Io(String, std::io::Error),
}

impl Error {
    /// Faults of one file.
    pub fn in_file(path: &Path, faults: &[Fault]) -> Error {
        Error::Input(faults.iter().map(|fault| format!("{}: {fault}", path.display())).collect())
    }

    fn code(&self) -> u8 {
        match self {
            Error::Input(_) => 2,
            Error::Refused(_) => 3,
            Error::NotTaken(_) | Error::Io(..) => 4,
            Error::Unknown(_) => 5,
            Error::Missing(_) => 6,
        }
    }
}

fn lines(all: &[String]) -> String {
    all.join("\n")
}

/// Prints an error and turns the result into an exit code.
pub fn exit(result: Result<()>) -> ExitCode {
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::from(error.code())
        }
    }
}

/// Prints a value as JSON.
pub fn print_json(value: &impl Serialize) -> Result<()> {
    let text = serde_json::to_string_pretty(value).expect("values serialise to memory");
    let _ = writeln!(std::io::stdout(), "{text}"); // a reader that has gone wants no more
    Ok(())
}

/// A time of day for people.
pub fn time(at: SystemTime) -> String {
    humantime::format_rfc3339_millis(at).to_string()
}

/// Reads a file.
pub fn read(path: &Path) -> Result<String> {
    std::fs::read_to_string(path).map_err(|error| Error::Io(path.display().to_string(), error))
}

/// YAML files of a folder, by name.
pub fn yaml_files(folder: &Path) -> Result<Vec<PathBuf>> {
    let wrap = |error| Error::Io(folder.display().to_string(), error);
    let mut paths = Vec::new();
    for file in std::fs::read_dir(folder).map_err(wrap)? {
        let path = file.map_err(wrap)?.path();
        if path.extension().is_some_and(|extension| extension == "yaml") {
            paths.push(path);
        }
    }
    paths.sort();
    Ok(paths)
}

/// Waits for SIGTERM or SIGINT.
pub async fn stop_signal() -> Result<()> {
    use signal_hook::consts::{SIGINT, SIGTERM};
    let mut signals = signal_hook_async_std::Signals::new([SIGTERM, SIGINT])
        .map_err(|error| Error::Io("signals".to_string(), error))?;
    signals.next().await;
    Ok(())
}
