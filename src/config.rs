//! Where a command finds the entry that it talks to, logs and metrics.

use crate::util::{Error, Result};
use entry::settings::{Format, Level, Log};
use log::LevelFilter;
use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};
use serde::de::DeserializeOwned;
use simplelog::{ColorChoice, ConfigBuilder, TermLogger, TerminalMode};
use standin::client::{Answer, Call};
use std::net::SocketAddr;

/// An entry's operators' port, with a token for it.
pub struct Client {
    address: SocketAddr,
    token: String,
}

impl Client {
    /// Takes address and token from the options or the environment.
    pub fn new(entry: Option<String>, token: Option<String>) -> Result<Client> {
        let entry = given("--entry", "SKYLARKWINCH_ENTRY", entry)?;
        let token = given("--token", "SKYLARKWINCH_TOKEN", token)?;
        let address = entry.parse().map_err(|_| {
            Error::Input(vec![format!("--entry: \"{entry}\" is no address like 127.0.0.1:7103")])
        })?;
        Ok(Client { address, token })
    }

    /// A request to the entry.
    pub fn call(&self, path: &str) -> Call {
        Call::new(self.address, path).token(&self.token)
    }

    /// Reads a value.
    pub async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T> {
        let answer = self.call(path).send().await;
        let answer = answer.map_err(|error| Error::NotTaken(self.name(&error.to_string())))?;
        parse(&answer)
    }

    /// A text with the entry's address in front.
    pub fn name(&self, text: &str) -> String {
        format!("entry at {}: {text}", self.address)
    }
}

fn given(option: &str, variable: &str, value: Option<String>) -> Result<String> {
    value.or_else(|| std::env::var(variable).ok()).ok_or_else(|| {
        Error::Input(vec![format!("{option}: is missing, and {variable} is not set")])
    })
}

/// Reads an answer's body, or turns its status into an error.
pub fn parse<T: DeserializeOwned>(answer: &Answer) -> Result<T> {
    let text = answer.text();
    match answer.status {
        200 => serde_json::from_slice(&answer.body)
            .map_err(|error| Error::Unknown(format!("cannot read the answer: {error}"))),
        404 => Err(Error::Missing(text)),
        400 | 413 => Err(Error::Input(vec![text])),
        401 => Err(Error::Refused(text)),
        _ => Err(Error::NotTaken(text)),
    }
}

/// Starts the log on standard error.
pub fn start_log(log: &Log) {
    let level = match log.level {
        Level::Error => LevelFilter::Error,
        Level::Warn => LevelFilter::Warn,
        Level::Info => LevelFilter::Info,
        Level::Debug => LevelFilter::Debug,
    };
    let mut config = ConfigBuilder::new();
    config.set_time_format_rfc3339().add_filter_allow_str("entry");
    config.add_filter_allow_str("skylarkwinch");
    if log.format == Format::Bare {
        config.set_time_level(LevelFilter::Off);
    }
    // A second start in one process keeps the first log.
    let _ = TermLogger::init(level, config.build(), TerminalMode::Stderr, ColorChoice::Never);
}

/// Starts counting; the handle renders what was counted.
pub fn start_metrics() -> Result<PrometheusHandle> {
    let recorder = PrometheusBuilder::new().build_recorder();
    let handle = recorder.handle();
    metrics::set_global_recorder(recorder)
        .map_err(|_| Error::Refused("metrics were started twice".to_string()))?;
    Ok(handle)
}
