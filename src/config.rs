//! Client for an entry's operators' port, and setup of logs and metrics.

use crate::util::{Error, Result};
use async_std::task;
use entry::http::operators::{Batch, Submitted};
use entry::settings::{Format, Level, Log};
use fleet::Outcome;
use log::LevelFilter;
use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};
use serde::de::DeserializeOwned;
use simplelog::{ColorChoice, ConfigBuilder, TermLogger, TerminalMode, WriteLogger};
use standin::client::{self, Answer, Call};
use std::io::Write;
use std::net::SocketAddr;
use std::sync::mpsc::{SyncSender, sync_channel};
use std::time::{Duration, Instant};

const RESEND_INTERVAL: Duration = Duration::from_millis(500);

/// Client for an entry's operators' port.
pub struct Client {
    address: SocketAddr,
    token: String,
}

impl Client {
    /// Creates a client. Address and token come from the options or, where one is
    /// missing, from the environment.
    pub fn new(entry: Option<String>, token: Option<String>) -> Result<Client> {
        let entry = option_or_env("--entry", "SKYLARKWINCH_ENTRY", entry)?;
        let token = option_or_env("--token", "SKYLARKWINCH_TOKEN", token)?;
        let address = entry.parse().map_err(|_| {
            Error::Input(vec![format!(
                "--entry: \"{entry}\" is not an address like 127.0.0.1:7103"
            )])
        })?;
        Ok(Client::with_token(address, token))
    }

    /// Creates a client of the entry at an address.
    pub fn with_token(address: SocketAddr, token: String) -> Client {
        Client { address, token }
    }

    /// Returns a request to the entry that carries the token.
    pub fn call(&self, path: &str) -> Call {
        Call::new(self.address, path).token(&self.token)
    }

    /// Sends a GET request and parses the JSON answer.
    pub async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T> {
        let answer = self.call(path).send().await;
        let answer =
            answer.map_err(|error| Error::NotTaken(self.with_address(&error.to_string())))?;
        parse(&answer)
    }

    /// Sends a submission, and resends it until it is decided or `max_wait` has passed. The id of
    /// the batch makes a resend safe: it is applied once.
    pub async fn submit(&self, batch: &Batch, max_wait: Duration) -> Result<Outcome> {
        let body = serde_json::to_vec(batch).expect("a batch can be serialized");
        let start = Instant::now();
        let mut maybe_applied = false;
        let mut last_reason = String::new();
        while start.elapsed() < max_wait {
            match self.call("/submissions").post(body.clone()).send().await {
                Ok(answer) => match parse_submitted(&answer)? {
                    Submitted::Decided { result } => return Ok(result),
                    Submitted::NotTaken { reason } => last_reason = reason,
                    Submitted::Unknown { reason } => {
                        maybe_applied = true;
                        last_reason = reason;
                    }
                },
                Err(client::Error::Lost(reason)) => {
                    maybe_applied = true;
                    last_reason = reason;
                }
                Err(client::Error::Unreachable(reason)) => last_reason = reason,
            }
            task::sleep(RESEND_INTERVAL).await;
        }
        let (reason, id) = (self.with_address(&last_reason), &batch.id);
        Err(if maybe_applied {
            Error::Unknown(format!("outcome unknown: {reason}; resend with --id {id}"))
        } else {
            Error::NotTaken(format!("not accepted: {reason}"))
        })
    }

    /// Prefixes a message with the entry's address.
    pub fn with_address(&self, text: &str) -> String {
        format!("entry at {}: {text}", self.address)
    }
}

fn option_or_env(option: &str, variable: &str, value: Option<String>) -> Result<String> {
    value.or_else(|| std::env::var(variable).ok()).ok_or_else(|| {
        Error::Input(vec![format!("{option}: is missing, and {variable} is not set")])
    })
}

/// Parses the JSON body of an answer with status 200; turns any other status into an error.
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

/// Parses the answer to a submission, decided or not.
fn parse_submitted(answer: &Answer) -> Result<Submitted> {
    match answer.status {
        200 | 409 | 422 | 503 | 504 => serde_json::from_slice(&answer.body)
            .map_err(|error| Error::Unknown(format!("cannot read the answer: {error}"))),
        _ => parse(answer),
    }
}

/// Starts the log of an entry process on standard error.
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
    // Fails only if this process already has a logger, which then stays in use.
    let _ = TermLogger::init(level, config.build(), TerminalMode::Stderr, ColorChoice::Never);
}

/// Maximum number of log lines queued for standard output; further lines are dropped and
/// counted.
const LOG_QUEUE_LINES: usize = 8192;
/// Maximum size of a log line, which may quote what a client sent. A longer one is cut.
const MAX_LINE_BYTES: usize = 2048;
/// End of a line that was cut.
const CUT_LINE_END: &[u8] = b"...\n";
/// Pause between two writes to standard output, so that one write carries many lines.
const LOG_FLUSH_INTERVAL: Duration = Duration::from_millis(100);

/// Writes log lines to standard output from a thread of its own, so that a reader that
/// stalls blocks no other thread.
struct LogWriter {
    queue: SyncSender<Vec<u8>>,
    partial_line: Vec<u8>,
}

impl LogWriter {
    fn start() -> Result<LogWriter> {
        let (queue, lines) = sync_channel::<Vec<u8>>(LOG_QUEUE_LINES);
        let write = move || {
            while let Ok(mut bytes) = lines.recv() {
                std::thread::sleep(LOG_FLUSH_INTERVAL);
                lines.try_iter().for_each(|line| bytes.extend(line));
                if std::io::stdout().write_all(&bytes).is_err() {
                    return; // standard output is closed
                }
            }
        };
        std::thread::Builder::new()
            .name("log".to_string())
            .spawn(write)
            .map_err(|error| Error::Io("log thread".to_string(), error))?;
        Ok(LogWriter { queue, partial_line: Vec::new() })
    }
}

impl Write for LogWriter {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        self.partial_line.extend_from_slice(bytes);
        if self.partial_line.ends_with(b"\n") {
            let mut line = std::mem::take(&mut self.partial_line);
            if line.len() > MAX_LINE_BYTES {
                line.truncate(MAX_LINE_BYTES);
                line.extend_from_slice(CUT_LINE_END);
                line.shrink_to_fit();
            }
            if self.queue.try_send(line).is_err() {
                metrics::counter!("log_lines_dropped_total").increment(1);
            }
        }
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

/// Starts the structured log of a core or edge process on standard output. Lines carry no
/// time: the log service that reads them adds it.
pub fn start_service_log() -> Result<()> {
    let mut config = ConfigBuilder::new();
    config.set_time_level(LevelFilter::Off).set_target_level(LevelFilter::Off);
    config.set_thread_level(LevelFilter::Off).set_location_level(LevelFilter::Off);
    for target in ["skylarkwinch", "control", "edge", "mesh", "platform", "sched", "serve"] {
        config.add_filter_allow_str(target);
    }
    // Fails only if this process already has a logger, which then stays in use.
    let _ = WriteLogger::init(LevelFilter::Info, config.build(), LogWriter::start()?);
    Ok(())
}

/// Installs the metrics recorder of the process; the handle renders the metrics.
pub fn start_metrics() -> Result<PrometheusHandle> {
    let recorder = PrometheusBuilder::new().build_recorder();
    let handle = recorder.handle();
    metrics::set_global_recorder(recorder)
        .map_err(|_| Error::Refused("metrics were started twice".to_string()))?;
    Ok(handle)
}
