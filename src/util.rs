//! Helpers that the commands share: errors and exit codes, output, signals, settings
//! files, listeners and the status port of core and edge processes.

use ::record::FieldError;
use async_std::net::TcpListener;
use async_std::task::JoinHandle;
use control::core::place::{self, Question};
use futures::StreamExt;
use futures::future::BoxFuture;
use http_types::{Request, Response};
use mesh::Settings;
use metrics_exporter_prometheus::PrometheusHandle;
use serde::Serialize;
use serve::budget::{self, Budget};
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
    /// Files or arguments are invalid; one message for each error.
    #[error("{}", join_lines(.0))]
    Input(Vec<String>),
    /// The request was refused, or it conflicts with the present state.
    #[error("{0}")]
    Refused(String),
    /// The request was not carried out; nothing was changed.
    #[error("{0}")]
    NotTaken(String),
    /// The outcome is unknown; something may have been changed.
    #[error("{0}")]
    Unknown(String),
    /// The requested object does not exist.
    #[error("{0}")]
    Missing(String),
    /// The process can't go on, and has to be started again.
    #[error("{0}")]
    Failed(String),
    /// A system call failed: the path or object that it concerned, and the error.
    #[error("{0}: {1}")]
    Io(String, std::io::Error),
}

impl Error {
    /// Returns the field errors of one file, each with the file's path in front.
    pub fn in_file(path: &Path, field_errors: &[FieldError]) -> Error {
        Error::Input(
            field_errors.iter().map(|error| format!("{}: {error}", path.display())).collect(),
        )
    }

    fn code(&self) -> u8 {
        match self {
            Error::Input(_) => 2,
            Error::Refused(_) => 3,
            Error::NotTaken(_) | Error::Io(..) => 4,
            Error::Unknown(_) => 5,
            Error::Missing(_) => 6,
            Error::Failed(_) => 7,
        }
    }
}

fn join_lines(messages: &[String]) -> String {
    messages.join("\n")
}

/// Prints an error and turns the result into an exit code.
pub fn to_exit_code(result: Result<()>) -> ExitCode {
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::from(error.code())
        }
    }
}

/// Prints a value to standard output as indented JSON.
pub fn print_json(value: &impl Serialize) -> Result<()> {
    let text = serde_json::to_string_pretty(value).expect("the value can be serialized");
    let _ = writeln!(std::io::stdout(), "{text}"); // the reader may have closed the pipe
    Ok(())
}

/// Formats a time for output: RFC 3339 with milliseconds, in UTC.
pub fn format_time(at: SystemTime) -> String {
    humantime::format_rfc3339_millis(at).to_string()
}

/// Reads a text file; the error names its path.
pub fn read_file(path: &Path) -> Result<String> {
    std::fs::read_to_string(path).map_err(|error| Error::Io(path.display().to_string(), error))
}

/// Returns the paths of a folder's `.yaml` files, sorted by name.
pub fn yaml_files(folder: &Path) -> Result<Vec<PathBuf>> {
    let io_error = |error| Error::Io(folder.display().to_string(), error);
    let mut paths = Vec::new();
    for file in std::fs::read_dir(folder).map_err(io_error)? {
        let path = file.map_err(io_error)?.path();
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

/// Environment variable with the path of a core or edge process's settings file.
const SETTINGS_VARIABLE: &str = "SKYLARKWINCH_BOOT";
/// Interval at which the settings file is checked, because it may change without a SIGHUP.
const SETTINGS_POLL_INTERVAL: Duration = Duration::from_secs(1);
/// Maximum number of open connections to the status port.
const MAX_STATUS_CONNECTIONS: usize = 8;
/// Time between two merges of the samples of histograms.
const METRICS_UPKEEP_INTERVAL: Duration = Duration::from_secs(5);
/// Time for the log thread to write its last lines; longer than its flush interval.
const LOG_DRAIN_TIME: Duration = Duration::from_millis(150);

/// Returns the path of the settings file: the argument or, without one, the environment
/// variable.
pub fn settings_path(given: Option<PathBuf>) -> Result<PathBuf> {
    given.or_else(|| std::env::var_os(SETTINGS_VARIABLE).map(PathBuf::from)).ok_or_else(|| {
        Error::Input(vec![format!("SETTINGS: is missing, and {SETTINGS_VARIABLE} is not set")])
    })
}

/// Loads the settings of a core or edge process.
pub fn load_settings(path: &Path) -> Result<Settings> {
    Settings::load(path).map_err(|error| Error::Input(vec![format!("{}: {error}", path.display())]))
}

/// Listens on an address; an error names the settings field that it comes from.
pub async fn listen(field: &str, address: SocketAddr) -> Result<TcpListener> {
    TcpListener::bind(address).await.map_err(|error| {
        Error::Input(vec![format!("{field}: cannot listen on {address}: {error}")])
    })
}

/// Signals to a core or edge process, and changes of its settings file.
pub struct Signals {
    signals: signal_hook_async_std::Signals,
    path: PathBuf,
    /// Content of the settings file that is in use.
    content: Vec<u8>,
}

impl Signals {
    /// Registers for SIGTERM, SIGINT and SIGHUP, whose default action ends the process. Has to
    /// be called before the settings are loaded and before any listener opens: what comes in
    /// between is handled later.
    pub fn register(path: &Path) -> Result<Signals> {
        use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
        let signals = signal_hook_async_std::Signals::new([SIGTERM, SIGINT, SIGHUP])
            .map_err(|error| Error::Io("signals".to_string(), error))?;
        let content = std::fs::read(path).unwrap_or_default();
        Ok(Signals { signals, path: path.to_path_buf(), content })
    }

    /// Waits for SIGTERM or SIGINT. Meanwhile checks the settings file at every interval and on
    /// SIGHUP, and passes changed settings to `on_reload`; invalid ones are logged and ignored.
    pub async fn wait_for_stop(&mut self, on_reload: impl Fn(&Settings)) {
        loop {
            match async_std::future::timeout(SETTINGS_POLL_INTERVAL, self.signals.next()).await {
                Ok(Some(signal_hook::consts::SIGHUP)) => log::info!("process.signal name=SIGHUP"),
                Ok(_) => return,
                Err(_) => {}
            }
            self.reload(&on_reload);
        }
    }

    /// Waits for SIGTERM or SIGINT during the start.
    pub async fn stop(&mut self) {
        while let Some(signal_hook::consts::SIGHUP) = self.signals.next().await {}
    }

    fn reload(&mut self, on_reload: &impl Fn(&Settings)) {
        let Ok(content) = std::fs::read(&self.path) else { return }; // the file is being replaced
        if content == self.content {
            return;
        }
        self.content = content;
        match Settings::load(&self.path) {
            Ok(settings) => {
                log::info!("settings.reloaded seeds={:?}", settings.seeds.0);
                on_reload(&settings);
            }
            Err(error) => log::warn!("settings.kept reason={:?}", error.to_string()),
        }
    }
}

/// Gives the log thread time to write the lines in its queue.
pub async fn drain_log() {
    async_std::task::sleep(LOG_DRAIN_TIME).await;
}

/// Returns the limits of the listener for the clients of a process. `max_connections` and
/// `max_body_bytes` are the defaults of its role.
pub fn limits(
    path: &Path,
    settings: &Settings,
    max_connections: usize,
    max_body_bytes: usize,
) -> Result<Limits> {
    let limits = &settings.limits;
    let max_body_bytes = limits.max_body_bytes.unwrap_or(max_body_bytes);
    let min_bytes = budget::min_bytes(max_body_bytes);
    let given = limits.request_memory_bytes();
    if given.is_some_and(|bytes| bytes < min_bytes) {
        return Err(Error::Input(vec![format!(
            "{}: limits.request_memory_mb: must be at least {:.1} for bodies of {max_body_bytes} bytes",
            path.display(),
            min_bytes as f64 / 1e6
        )]));
    }
    let bytes =
        given.unwrap_or_else(|| Budget::default_bytes(limits.memory_bytes(), max_body_bytes));
    Ok(Limits {
        process_name: settings.name.clone(),
        max_connections: limits.max_connections.unwrap_or(max_connections),
        max_body_bytes,
        idle_timeout: limits.idle_timeout(),
        budget: Budget::new(bytes),
    })
}

/// Running listeners of a core or edge process.
#[derive(Default)]
pub struct Service {
    stop_handles: Vec<StopHandle>,
    listeners: Vec<JoinHandle<()>>,
    metrics_upkeep: Option<JoinHandle<()>>,
}

impl Service {
    /// Starts to serve an application on a bound socket.
    pub fn serve(&mut self, socket: TcpListener, app: Arc<dyn App>, limits: Limits) {
        let (listener, stop_handle) = Listener::new(socket, app, limits);
        self.stop_handles.push(stop_handle);
        self.listeners.push(async_std::task::spawn(listener.run()));
    }

    /// Starts to serve metrics and state. If the port can't be bound, logs a warning and the
    /// process runs without it.
    pub async fn serve_status(&mut self, settings: &Settings, status: Arc<Status>, budget: Budget) {
        let limits = Limits {
            process_name: settings.name.clone(),
            max_connections: MAX_STATUS_CONNECTIONS,
            max_body_bytes: 0,
            idle_timeout: SETTINGS_POLL_INTERVAL * 10,
            budget,
        };
        match TcpListener::bind(settings.status_address()).await {
            Ok(socket) => self.serve(socket, status, limits),
            Err(error) => {
                log::warn!("status.closed address={} error={error}", settings.status_address())
            }
        }
    }

    /// Publishes the memory that the settings give to the process, if they do, and to its requests.
    pub fn publish_memory(&self, settings: &Settings, budget: &Budget) {
        metrics::gauge!("request_memory_limit_bytes").set(budget.max_bytes() as f64);
        if let Some(bytes) = settings.limits.memory_bytes() {
            metrics::gauge!("memory_limit_bytes").set(bytes as f64);
        }
    }

    /// Merges the samples of histograms from time to time. Otherwise each one is kept until the metrics
    /// are read.
    pub fn maintain_metrics(&mut self, metrics: PrometheusHandle) {
        self.metrics_upkeep = Some(async_std::task::spawn(async move {
            loop {
                async_std::task::sleep(METRICS_UPKEEP_INTERVAL).await;
                metrics.run_upkeep();
            }
        }));
    }

    /// Stops accepting connections and waits at most `max_wait` for requests in flight.
    pub async fn stop(self, max_wait: Duration) {
        drop(self.stop_handles);
        if let Some(upkeep) = self.metrics_upkeep {
            upkeep.cancel().await;
        }
        let join = async {
            for listener in self.listeners {
                listener.await;
            }
        };
        if async_std::future::timeout(max_wait, join).await.is_err() {
            log::warn!("process.cut_off: requests were still in flight");
        }
    }
}

/// Application of the status port: metrics, a dump of the state and a core's decisions.
pub struct Status {
    metrics: PrometheusHandle,
    source: Source,
}

/// The process that the status port reads its state from.
enum Source {
    Core(control::Handle),
    Edge(Arc<edge::Gateway>),
}

impl Status {
    /// Returns the status application of a core process.
    pub fn core(handle: control::Handle, metrics: PrometheusHandle) -> Status {
        Status { metrics, source: Source::Core(handle) }
    }

    /// Returns the status application of an edge process.
    pub fn edge(gateway: Arc<edge::Gateway>, metrics: PrometheusHandle) -> Status {
        Status { metrics, source: Source::Edge(gateway) }
    }

    async fn dump(&self) -> String {
        match &self.source {
            Source::Core(handle) => handle.dump().await.unwrap_or_default(),
            Source::Edge(gateway) => serde_json::json!({
                "ready": gateway.is_ready(),
                "waiting": gateway.pending_count(),
            })
            .to_string(),
        }
    }
}

impl Status {
    async fn decisions(&self, query: Option<&str>) -> String {
        let Source::Core(handle) = &self.source else { return "[]".to_string() };
        let subject = query.and_then(|query| query.strip_prefix("about=")).unwrap_or_default();
        let decisions = handle.explain(subject.replace('+', " ")).await.unwrap_or_default();
        serde_json::to_string(&decisions).expect("the value can be serialized")
    }
}

impl Status {
    /// Answers a question about a job's places: 200 with the answer, or 404 with the reason.
    async fn place(&self, body: &[u8]) -> Response {
        let with_text = |status: u16, text: String| {
            let mut response = Response::new(status);
            response.set_body(text);
            response
        };
        let Source::Core(handle) = &self.source else {
            return with_text(404, "only a core process knows places".to_string());
        };
        let question: Question = match serde_json::from_slice(body) {
            Ok(question) => question,
            Err(error) => return with_text(400, error.to_string()),
        };
        match handle.explain_place(question).await {
            Some(Ok(placing)) => {
                let text = serde_json::to_string(&placing);
                with_text(200, text.expect("the value can be serialized"))
            }
            Some(Err(error @ place::Error::Invalid(_))) => with_text(400, error.to_string()),
            Some(Err(error)) => with_text(404, error.to_string()),
            None => with_text(503, "the core does not answer".to_string()),
        }
    }
}

impl App for Status {
    fn respond(&self, mut request: Request) -> BoxFuture<'_, http_types::Result<Response>> {
        Box::pin(async move {
            let mut response = Response::new(200);
            if request.url().path() == "/place" {
                let body = request.body_bytes().await?;
                return Ok(self.place(&body).await);
            }
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
