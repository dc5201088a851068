//! Settings of an entry process. A file is checked completely, so that all errors are
//! reported at once.

use crate::secret::Secret;
use record::FieldError;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Deserializer, Serialize};
use serve::budget::{self, Budget};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// Result of reading settings, with every error found.
pub type Result<T> = std::result::Result<T, Vec<FieldError>>;

/// Minimum of `limits.memory_mb`.
const MIN_MEMORY_MB: u64 = 32;
/// Shortest key or token.
const MIN_SECRET_BYTES: usize = 16;

/// Settings of one entry process.
#[derive(Clone, Debug, Serialize)]
pub struct Settings {
    /// Name of this entry, one of `entries`.
    pub name: String,
    /// Name of the cluster; peers of another cluster are refused.
    pub cluster: String,
    /// Folder for log and snapshots. A founding voter needs one; an entry without one
    /// can't vote.
    pub data_folder: Option<PathBuf>,
    /// Addresses that this entry listens on, besides the one in `entries`.
    pub listen: Listen,
    /// Shared key with which entries authenticate to each other.
    pub peer_key: Secret,
    /// Bearer token of target announcements.
    pub target_token: Secret,
    /// Operators, who may submit records and run queries.
    pub operators: Vec<Operator>,
    /// All entries of the cluster, this one included.
    pub entries: Vec<Peer>,
    /// Log level and format.
    pub log: Log,
    /// Limits on requests and connections.
    pub limits: Limits,
    /// Timing of target announcements.
    pub announce: Announce,
}

/// Addresses that an entry listens on, besides the one for its peers.
#[derive(Clone, Debug, Serialize)]
pub struct Listen {
    /// Requests of callers and the load balancer's health check.
    pub callers: SocketAddr,
    /// Announcements of targets.
    pub targets: SocketAddr,
    /// Submissions and queries of operators.
    pub operators: SocketAddr,
}

/// A person or program that may submit records and run queries.
#[derive(Clone, Debug, Serialize)]
pub struct Operator {
    /// Name recorded in the journal.
    pub name: String,
    /// Bearer token of this operator.
    pub token: Secret,
}

/// One entry of the cluster.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Peer {
    /// Name, unique in the cluster.
    pub name: String,
    /// Data centre that it runs in.
    pub data_centre: String,
    /// Address for connections of other entries.
    pub address: SocketAddr,
    /// Whether it is one of the founding voters.
    pub voter: bool,
}

/// Log level and format.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Log {
    /// Least severe level that is logged.
    pub level: Level,
    /// Format of a line.
    pub format: Format,
}

/// Severity of a log line.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Level {
    /// Failures that need an operator.
    Error,
    /// Also conditions that may soon need an operator.
    Warn,
    /// Also state changes.
    Info,
    /// Also details for development.
    Debug,
}

/// Format of a log line.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Format {
    /// Time, level and text.
    Plain,
    /// Level and text, for a log service that adds the time itself.
    Bare,
}

/// Limits on requests and connections.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Limits {
    /// Largest request body, in bytes.
    pub max_body_bytes: usize,
    /// Largest response body of a target, in bytes.
    pub max_answer_bytes: usize,
    /// Largest number of open connections of each listener.
    pub max_connections: usize,
    /// Memory that the process may use, in millions of bytes; `None` for all of the machine's.
    pub memory_mb: Option<u64>,
    /// Memory that requests may take together, in millions of bytes; `None` for a sixth of the
    /// memory, at most 33.
    pub request_memory_mb: Option<u64>,
    /// Time without a request after which a connection is closed, and which one may take to arrive.
    pub idle: Duration,
    /// Deadline of a request without a deadline header.
    pub default_deadline: Duration,
    /// Longest deadline that a request may set.
    pub max_deadline: Duration,
    /// How long the health check fails before a stopping entry closes its listeners, so
    /// that the load balancer notices.
    pub stop_notice: Duration,
}

/// Timing of target announcements.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Announce {
    /// Time between announcements of a target.
    pub interval: Duration,
    /// Time without an announcement after which a target gets no new requests; at least
    /// twice `interval`.
    pub expiry: Duration,
}

impl Limits {
    /// Returns the memory that requests may take together, in bytes.
    pub fn request_memory_bytes(&self) -> usize {
        let bytes = |mb: u64| mb.saturating_mul(1_000_000) as usize;
        let default = || Budget::default_bytes(self.memory_mb.map(bytes), self.max_body_bytes);
        self.request_memory_mb.map_or_else(default, bytes)
    }
}

impl Settings {
    /// Reads and checks a settings file. Paths in it are relative to its folder, and the
    /// data folder must exist.
    pub fn load(path: &Path) -> Result<Settings> {
        let text = std::fs::read_to_string(path)
            .map_err(|error| vec![FieldError::new("(file)", error.to_string())])?;
        let base = path.parent().unwrap_or(Path::new("."));
        let settings = Settings::parse(&text, base)?;
        settings.check_folder()?;
        Ok(settings)
    }

    /// Parses and checks settings; paths in them are relative to `base`.
    ///
    /// ```
    /// let field_errors = entry::Settings::parse("name: a\nnick: b\n", ".".as_ref()).unwrap_err();
    /// assert!(field_errors.iter().any(|error| error.field == "nick"));
    /// assert!(field_errors.iter().any(|error| error.field == "cluster"));
    /// ```
    pub fn parse(text: &str, base: &Path) -> Result<Settings> {
        let mut checker = Checker { field_errors: Vec::new() };
        let mut unknown = |path: serde_ignored::Path<'_>| {
            checker
                .field_errors
                .push(FieldError::new(strip_option_markers(&path.to_string()), "is not a setting"));
        };
        let deserializer = serde_norway::Deserializer::from_str(text);
        let raw: raw::Settings = match serde_ignored::deserialize(deserializer, &mut unknown) {
            Ok(raw) => raw,
            Err(error) => return Err(vec![FieldError::new("(file)", error.to_string())]),
        };
        let settings = checker.settings(raw, base);
        match settings {
            Some(settings) if checker.field_errors.is_empty() => Ok(settings),
            _ => Err(checker.field_errors),
        }
    }

    /// Returns the element of `entries` for this entry.
    pub fn own(&self) -> &Peer {
        self.entries
            .iter()
            .find(|peer| peer.name == self.name)
            .expect("parsing checks that the name is in entries")
    }

    fn check_folder(&self) -> Result<()> {
        match &self.data_folder {
            Some(folder) if !folder.is_dir() => {
                let reason = format!("folder \"{}\" does not exist", folder.display());
                Err(vec![FieldError::new("data_folder", reason)])
            }
            _ => Ok(()),
        }
    }
}

/// Removes the `?` parts that `serde_ignored` adds to a path for options.
fn strip_option_markers(path: &str) -> String {
    path.split('.').filter(|part| *part != "?").collect::<Vec<_>>().join(".")
}

/// A field that may be missing or of the wrong type. Reading goes on in both cases, so
/// that the errors of all fields are found.
#[derive(Default)]
enum Field<T> {
    #[default]
    Missing,
    Wrong(String),
    Given(T),
}

impl<'de, T: DeserializeOwned> Deserialize<'de> for Field<T> {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> std::result::Result<Self, D::Error> {
        let value = serde_norway::Value::deserialize(deserializer)?;
        Ok(match T::deserialize(value) {
            Ok(value) => Field::Given(value),
            Err(error) => Field::Wrong(error.to_string()),
        })
    }
}

/// Structure of the settings file before it is checked; every field may be missing.
mod raw {
    use super::{Field, Format, Level, Secret};
    use serde::Deserialize;
    use std::net::SocketAddr;
    use std::path::PathBuf;

    #[derive(Deserialize, Default)]
    #[serde(default)]
    pub struct Settings {
        pub name: Field<String>,
        pub cluster: Field<String>,
        pub data_folder: Field<PathBuf>,
        pub listen: Listen,
        pub peer_key: Field<Secret>,
        pub target_token: Field<Secret>,
        pub operators: Vec<Operator>,
        pub entries: Vec<Peer>,
        pub log: Log,
        pub limits: Limits,
        pub announce: Announce,
    }

    #[derive(Deserialize, Default)]
    #[serde(default)]
    pub struct Listen {
        pub callers: Field<SocketAddr>,
        pub targets: Field<SocketAddr>,
        pub operators: Field<SocketAddr>,
    }

    #[derive(Deserialize, Default)]
    #[serde(default)]
    pub struct Operator {
        pub name: Field<String>,
        pub token: Field<Secret>,
    }

    #[derive(Deserialize, Default)]
    #[serde(default)]
    pub struct Peer {
        pub name: Field<String>,
        pub data_centre: Field<String>,
        pub address: Field<SocketAddr>,
        pub voter: Field<bool>,
    }

    #[derive(Deserialize, Default)]
    #[serde(default)]
    pub struct Log {
        pub level: Field<Level>,
        pub format: Field<Format>,
    }

    #[derive(Deserialize, Default)]
    #[serde(default)]
    pub struct Limits {
        pub max_body_bytes: Field<u64>,
        pub max_answer_bytes: Field<u64>,
        pub max_connections: Field<u64>,
        pub memory_mb: Field<u64>,
        pub request_memory_mb: Field<u64>,
        pub idle_ms: Field<u64>,
        pub default_deadline_ms: Field<u64>,
        pub max_deadline_ms: Field<u64>,
        pub stop_notice_ms: Field<u64>,
    }

    #[derive(Deserialize, Default)]
    #[serde(default)]
    pub struct Announce {
        pub interval_ms: Field<u64>,
        pub expiry_ms: Field<u64>,
    }
}

/// Turns raw fields into settings and collects the errors.
struct Checker {
    field_errors: Vec<FieldError>,
}

impl Checker {
    fn settings(&mut self, raw: raw::Settings, base: &Path) -> Option<Settings> {
        let name = self.name("name", raw.name);
        let cluster = self.name("cluster", raw.cluster);
        let data_folder = self.optional("data_folder", raw.data_folder);
        let listen = self.listen(raw.listen);
        let peer_key = self.secret("peer_key", raw.peer_key);
        let target_token = self.secret("target_token", raw.target_token);
        let operators = self.operators(raw.operators);
        let entries = self.entries(raw.entries);
        let log = self.log(raw.log);
        let limits = self.limits(raw.limits);
        let announce = self.announce(raw.announce);
        let settings = Settings {
            name: name?,
            cluster: cluster?,
            data_folder: data_folder.map(|folder| base.join(folder)),
            listen: listen?,
            peer_key: peer_key?,
            target_token: target_token?,
            operators,
            entries,
            log,
            limits,
            announce,
        };
        self.check_consistency(&settings);
        Some(settings)
    }

    fn listen(&mut self, raw: raw::Listen) -> Option<Listen> {
        let callers = self.required("listen.callers", raw.callers);
        let targets = self.required("listen.targets", raw.targets);
        let operators = self.required("listen.operators", raw.operators);
        Some(Listen { callers: callers?, targets: targets?, operators: operators? })
    }

    fn operators(&mut self, raw: Vec<raw::Operator>) -> Vec<Operator> {
        let mut operators = Vec::new();
        if raw.is_empty() {
            self.add_error("operators", "needs at least one");
        }
        for (position, operator) in raw.into_iter().enumerate() {
            let name = self.name(&format!("operators[{position}].name"), operator.name);
            let token = self.secret(&format!("operators[{position}].token"), operator.token);
            operators.extend(name.zip(token).map(|(name, token)| Operator { name, token }));
        }
        let names = operators.iter().map(|operator| operator.name.as_str());
        self.check_unique("operators", "name", names);
        operators
    }

    fn entries(&mut self, raw: Vec<raw::Peer>) -> Vec<Peer> {
        let mut entries = Vec::new();
        if raw.is_empty() {
            self.add_error("entries", "needs at least one");
        }
        for (position, peer) in raw.into_iter().enumerate() {
            let at = |field: &str| format!("entries[{position}].{field}");
            let name = self.name(&at("name"), peer.name);
            let data_centre = self.name(&at("data_centre"), peer.data_centre);
            let address = self.required(&at("address"), peer.address);
            let voter = self.with_default(&at("voter"), peer.voter, false);
            if let (Some(name), Some(data_centre), Some(address)) = (name, data_centre, address) {
                entries.push(Peer { name, data_centre, address, voter });
            }
        }
        self.check_unique("entries", "name", entries.iter().map(|peer| peer.name.as_str()));
        let addresses: Vec<String> = entries.iter().map(|peer| peer.address.to_string()).collect();
        self.check_unique("entries", "address", addresses.iter().map(String::as_str));
        if !entries.is_empty() && !entries.iter().any(|peer| peer.voter) {
            self.add_error("entries", "needs at least one with voter: true");
        }
        entries
    }

    fn log(&mut self, raw: raw::Log) -> Log {
        Log {
            level: self.with_default("log.level", raw.level, Level::Info),
            format: self.with_default("log.format", raw.format, Format::Plain),
        }
    }

    fn limits(&mut self, raw: raw::Limits) -> Limits {
        let limits = Limits {
            max_body_bytes: self.positive("limits.max_body_bytes", raw.max_body_bytes, 1 << 20),
            max_answer_bytes: self.positive(
                "limits.max_answer_bytes",
                raw.max_answer_bytes,
                8 << 20,
            ),
            max_connections: self.positive("limits.max_connections", raw.max_connections, 1024),
            memory_mb: self.memory_mb(raw.memory_mb),
            request_memory_mb: self.optional("limits.request_memory_mb", raw.request_memory_mb),
            idle: self.millis("limits.idle_ms", raw.idle_ms, 60_000),
            default_deadline: self.millis(
                "limits.default_deadline_ms",
                raw.default_deadline_ms,
                10_000,
            ),
            max_deadline: self.millis("limits.max_deadline_ms", raw.max_deadline_ms, 60_000),
            stop_notice: self.millis("limits.stop_notice_ms", raw.stop_notice_ms, 1_000),
        };
        let min_bytes = budget::min_bytes(limits.max_body_bytes);
        if limits
            .request_memory_mb
            .is_some_and(|mb| mb.saturating_mul(1_000_000) < min_bytes as u64)
        {
            let reason = format!(
                "must be at least {:.1} for bodies of {} bytes",
                min_bytes as f64 / 1e6,
                limits.max_body_bytes
            );
            self.add_error("limits.request_memory_mb", &reason);
        }
        if limits.default_deadline > limits.max_deadline {
            self.add_error("limits.default_deadline_ms", "is longer than limits.max_deadline_ms");
        }
        limits
    }

    fn announce(&mut self, raw: raw::Announce) -> Announce {
        let announce = Announce {
            interval: self.millis("announce.interval_ms", raw.interval_ms, 5_000),
            expiry: self.millis("announce.expiry_ms", raw.expiry_ms, 16_000),
        };
        if announce.expiry < announce.interval * 2 {
            self.add_error("announce.expiry_ms", "is shorter than two announce.interval_ms");
        }
        announce
    }

    /// Checks conditions that involve several fields.
    fn check_consistency(&mut self, settings: &Settings) {
        let Some(own) = settings.entries.iter().find(|peer| peer.name == settings.name) else {
            self.add_error("name", &format!("\"{}\" is not one of entries", settings.name));
            return;
        };
        if own.voter && settings.data_folder.is_none() {
            self.add_error("data_folder", "is missing, but this entry is a voter");
        }
        let listen = &settings.listen;
        let mut addresses = BTreeSet::from([own.address]);
        for (field, address) in [
            ("listen.callers", listen.callers),
            ("listen.targets", listen.targets),
            ("listen.operators", listen.operators),
        ] {
            if !addresses.insert(address) {
                self.add_error(field, &format!("address {address} is used twice"));
            }
        }
    }

    fn add_error(&mut self, field: &str, reason: &str) {
        self.field_errors.push(FieldError::new(field, reason));
    }

    /// Returns the value of a field that may be missing; reports one of the wrong type.
    fn optional<T>(&mut self, field: &str, value: Field<T>) -> Option<T> {
        match value {
            Field::Given(value) => Some(value),
            Field::Missing => None,
            Field::Wrong(reason) => {
                self.add_error(field, &reason);
                None
            }
        }
    }

    /// Returns the value of a field; reports one that is missing or of the wrong type.
    fn required<T>(&mut self, field: &str, value: Field<T>) -> Option<T> {
        if matches!(value, Field::Missing) {
            self.add_error(field, "is missing");
        }
        self.optional(field, value)
    }

    fn with_default<T>(&mut self, field: &str, value: Field<T>, default: T) -> T {
        self.optional(field, value).unwrap_or(default)
    }

    /// Returns a required text that must not be empty.
    fn name(&mut self, field: &str, value: Field<String>) -> Option<String> {
        let name = self.required(field, value)?;
        if name.is_empty() {
            self.add_error(field, "is empty");
        }
        Some(name)
    }

    /// Returns a required secret of at least [`MIN_SECRET_BYTES`].
    fn secret(&mut self, field: &str, value: Field<Secret>) -> Option<Secret> {
        let secret = self.required(field, value)?;
        if secret.bytes().len() < MIN_SECRET_BYTES {
            self.add_error(field, &format!("is shorter than {MIN_SECRET_BYTES} bytes"));
        }
        Some(secret)
    }

    /// Returns a number that must be at least 1.
    fn positive(&mut self, field: &str, value: Field<u64>, default: u64) -> usize {
        let value = self.with_default(field, value, default);
        if value == 0 {
            self.add_error(field, "must be at least 1");
        }
        value as usize
    }

    /// Returns the memory of the process, which must be at least [`MIN_MEMORY_MB`].
    fn memory_mb(&mut self, value: Field<u64>) -> Option<u64> {
        let memory_mb = self.optional("limits.memory_mb", value);
        if memory_mb.is_some_and(|memory_mb| memory_mb < MIN_MEMORY_MB) {
            self.add_error("limits.memory_mb", &format!("must be at least {MIN_MEMORY_MB}"));
        }
        memory_mb
    }

    /// Returns a duration given in milliseconds, which must be at least 1 ms.
    fn millis(&mut self, field: &str, value: Field<u64>, default_ms: u64) -> Duration {
        Duration::from_millis(self.positive(field, value, default_ms) as u64)
    }

    /// Reports each value that occurs earlier in the list.
    fn check_unique<'a>(&mut self, list: &str, field: &str, values: impl Iterator<Item = &'a str>) {
        let mut seen = BTreeSet::new();
        for (position, value) in values.enumerate() {
            if !seen.insert(value) {
                let reason = format!("\"{value}\" is used twice");
                self.add_error(&format!("{list}[{position}].{field}"), &reason);
            }
        }
    }
}
