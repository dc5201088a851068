//! What the commands share: errors and exit codes, printing, signals.

use ::record::FieldError;
use async_std::net::TcpListener;
use async_std::task::JoinHandle;
use futures::StreamExt;
use futures::future::BoxFuture;
use http_types::{Request, Response};
use mesh::Settings;
use metrics_exporter_prometheus::PrometheusHandle;
use serde::Serialize;
use serve::{App, Limits, Listener, StopHandle};
use std::io::Write;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::Arc;
use std::time::{Duration, SystemTime};

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
    pub fn in_file(path: &Path, field_errors: &[FieldError]) -> Error {
        Error::Input(
            field_errors.iter().map(|fault| format!("{}: {fault}", path.display())).collect(),
        )
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

/// Variable that names the settings file of a core or edge process.
const SETTINGS_VARIABLE: &str = "SKYLARKWINCH_BOOT";
/// Time between two looks at the settings file, which may change without a signal.
const SETTINGS_INTERVAL: Duration = Duration::from_secs(1);
/// Connections to the status port at one time.
const STATUS_CONNECTIONS: usize = 8;
/// Time in which the log's last lines are written.
const LOG_DRAIN: Duration = Duration::from_millis(150);

/// Settings file by the argument or the environment.
pub fn settings_path(given: Option<PathBuf>) -> Result<PathBuf> {
    given.or_else(|| std::env::var_os(SETTINGS_VARIABLE).map(PathBuf::from)).ok_or_else(|| {
        Error::Input(vec![format!("SETTINGS: is missing, and {SETTINGS_VARIABLE} is not set")])
    })
}

/// Settings of a core or edge process.
pub fn load_settings(path: &Path) -> Result<Settings> {
    Settings::load(path).map_err(|error| Error::Input(vec![format!("{}: {error}", path.display())]))
}

/// Listens on an address of the settings.
pub async fn listen(field: &str, address: SocketAddr) -> Result<TcpListener> {
    TcpListener::bind(address).await.map_err(|error| {
        Error::Input(vec![format!("{field}: cannot listen on {address}: {error}")])
    })
}

/// Waits for a stop signal. Meanwhile new settings are read when the file changes
/// or SIGHUP says so.
pub async fn until_stopped(path: &Path, renew: impl Fn(&Settings)) -> Result<()> {
    use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
    let mut signals = signal_hook_async_std::Signals::new([SIGTERM, SIGINT, SIGHUP])
        .map_err(|error| Error::Io("signals".to_string(), error))?;
    let mut held = std::fs::read(path).unwrap_or_default();
    loop {
        match async_std::future::timeout(SETTINGS_INTERVAL, signals.next()).await {
            Ok(Some(SIGHUP)) => log::info!("process.signal name=SIGHUP"),
            Ok(_) => return Ok(()),
            Err(_) => {}
        }
        let Ok(found) = std::fs::read(path) else { continue }; // it is being replaced
        if found == held {
            continue;
        }
        held = found;
        match Settings::load(path) {
            Ok(settings) => {
                log::info!("settings.reloaded seeds={:?}", settings.seeds.0);
                renew(&settings);
            }
            Err(error) => log::warn!("settings.kept reason={:?}", error.to_string()),
        }
    }
}

/// Lets the log's thread write what waits.
pub async fn drain_log() {
    async_std::task::sleep(LOG_DRAIN).await;
}

/// Listeners of a process.
#[derive(Default)]
pub struct Service {
    stop_handles: Vec<StopHandle>,
    listeners: Vec<JoinHandle<()>>,
}

impl Service {
    /// Serves an application.
    pub fn serve(&mut self, socket: TcpListener, app: Arc<dyn App>, limits: Limits) {
        let (listener, stop_handle) = Listener::new(socket, app, limits);
        self.stop_handles.push(stop_handle);
        self.listeners.push(async_std::task::spawn(listener.run()));
    }

    /// Serves metrics and state; without the port, the process goes on without.
    pub async fn serve_status(&mut self, settings: &Settings, status: Arc<Status>) {
        let limits = Limits {
            process: settings.name.clone(),
            max_connections: STATUS_CONNECTIONS,
            max_body_bytes: 0,
            idle: SETTINGS_INTERVAL * 10,
        };
        match TcpListener::bind(settings.status_address()).await {
            Ok(socket) => self.serve(socket, status, limits),
            Err(error) => {
                log::warn!("status.closed address={} error={error}", settings.status_address())
            }
        }
    }

    /// Stops accepting and lets requests in flight end, for so long at most.
    pub async fn stop(self, span: Duration) {
        drop(self.stop_handles);
        let join = async {
            for listener in self.listeners {
                listener.await;
            }
        };
        if async_std::future::timeout(span, join).await.is_err() {
            log::warn!("process.cut_off: requests were still in flight");
        }
    }
}

/// Metrics and state of a process.
pub struct Status {
    metrics: PrometheusHandle,
    state: State,
}

enum State {
    Core(control::Handle),
    Edge(Arc<edge::Gateway>),
}

impl Status {
    /// Of a core process.
    pub fn core(handle: control::Handle, metrics: PrometheusHandle) -> Status {
        Status { metrics, state: State::Core(handle) }
    }

    /// Of an edge process.
    pub fn edge(gateway: Arc<edge::Gateway>, metrics: PrometheusHandle) -> Status {
        Status { metrics, state: State::Edge(gateway) }
    }

    async fn dump(&self) -> String {
        match &self.state {
            State::Core(handle) => handle.dump().await.unwrap_or_default(),
            State::Edge(gateway) => serde_json::json!({
                "ready": gateway.is_ready(),
                "waiting": gateway.waiting(),
            })
            .to_string(),
        }
    }
}

impl Status {
    async fn decisions(&self, query: Option<&str>) -> String {
        let State::Core(handle) = &self.state else { return "[]".to_string() };
        let subject = query.and_then(|query| query.strip_prefix("about=")).unwrap_or_default();
        let decisions = handle.explain(subject.replace('+', " ")).await.unwrap_or_default();
        serde_json::to_string(&decisions).expect("values serialise to memory")
    }
}

impl App for Status {
    fn respond(&self, request: Request) -> BoxFuture<'_, http_types::Result<Response>> {
        Box::pin(async move {
            let mut response = Response::new(200);
            match request.url().path() {
                "/metrics" => response.set_body(self.metrics.render()),
                "/dump" => response.set_body(self.dump().await),
                "/decisions" => response.set_body(self.decisions(request.url().query()).await),
                _ => response.set_status(http_types::StatusCode::NotFound),
            }
            Ok(response)
        })
    }
}
