//! Settings of an entry process, checked as a whole.

use crate::secret::Secret;
use record::FieldError;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Deserializer, Serialize};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// Result of reading settings; all faults are reported.
pub type Result<T> = std::result::Result<T, Vec<FieldError>>;

const MIN_SECRET_BYTES: usize = 16;

/// Settings of one entry process.
#[derive(Clone, Debug, Serialize)]
pub struct Settings {
    /// Name of this entry, one of `entries`.
    pub name: String,
    /// Name of the cluster; peers of another one are refused.
    pub cluster: String,
    /// Where log and snapshots are kept; only voters have one.
    pub data_folder: Option<PathBuf>,
    /// Addresses that this entry listens on.
    pub listen: Listen,
    /// Key that entries prove to each other.
    pub peer_key: Secret,
    /// Token that targets present with their announcements.
    pub target_token: Secret,
    /// Who may submit records and read decisions.
    pub operators: Vec<Operator>,
    /// All entries of the cluster, this one included.
    pub entries: Vec<Peer>,
    /// Log level and format.
    pub log: Log,
    /// Bounds on what callers, targets and operators may use.
    pub limits: Limits,
    /// How often targets announce themselves.
    pub announce: Announce,
}

/// Addresses that an entry listens on, besides the one for its peers.
#[derive(Clone, Debug, Serialize)]
pub struct Listen {
    /// Requests of callers, and the balancer's health check.
    pub callers: SocketAddr,
    /// Announcements of targets.
    pub targets: SocketAddr,
    /// Operators.
    pub operators: SocketAddr,
}

/// Someone who may submit records.
#[derive(Clone, Debug, Serialize)]
pub struct Operator {
    /// Name that the journal shows.
    pub name: String,
    /// Token that proves it.
    pub token: Secret,
}

/// One entry of the cluster.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Peer {
    /// Its name.
    pub name: String,
    /// Its data centre.
    pub data_centre: String,
    /// Where it takes connections of other entries.
    pub address: SocketAddr,
    /// Whether it is one of the founding voters.
    pub voter: bool,
}

/// Log level and format.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Log {
    /// Least severe level that is written.
    pub level: Level,
    /// Shape of a line.
    pub format: Format,
}

/// Severity of a log line.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Level {
    /// Only what needs a person.
    Error,
    /// Also what may need one soon.
    Warn,
    /// Also changes of state.
    Info,
    /// Also details for developers.
    Debug,
}

/// Shape of a log line.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Format {
    /// Time, level and text.
    Plain,
    /// Level and text, for a log service that adds the time.
    Bare,
}

/// Bounds on what callers, targets and operators may use.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Limits {
    /// Largest body of a request.
    pub max_body_bytes: usize,
    /// Largest body of a target's answer.
    pub max_answer_bytes: usize,
    /// Open connections of each listener.
    pub max_connections: usize,
    /// Longest time that a connection may stay without a request.
    pub idle: Duration,
    /// Deadline of a request that names none.
    pub default_deadline: Duration,
    /// Longest deadline that a request may name.
    pub max_deadline: Duration,
    /// How long the health check fails before a stopping entry closes its
    /// listeners.
    pub stop_notice: Duration,
}

/// How often targets announce themselves.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Announce {
    /// Time between announcements.
    pub interval: Duration,
    /// Silence after which a target gets no new work.
    pub expiry: Duration,
}

impl Settings {
    /// Reads and checks a settings file.
    pub fn load(path: &Path) -> Result<Settings> {
        let text = std::fs::read_to_string(path)
            .map_err(|error| vec![FieldError::new("(file)", error.to_string())])?;
        let base = path.parent().unwrap_or(Path::new("."));
        let settings = Settings::parse(&text, base)?;
        settings.check_folder()?;
        Ok(settings)
    }

    /// Reads and checks settings; paths are relative to `base`.
    ///
    /// ```
    /// let field_errors = entry::Settings::parse("name: a\nnick: b\n", ".".as_ref()).unwrap_err();
    /// assert!(field_errors.iter().any(|fault| fault.field == "nick"));
    /// assert!(field_errors.iter().any(|fault| fault.field == "cluster"));
    /// ```
    pub fn parse(text: &str, base: &Path) -> Result<Settings> {
        let mut check = Check { field_errors: Vec::new() };
        let mut unknown = |path: serde_ignored::Path<'_>| {
            check
                .field_errors
                .push(FieldError::new(plain_path(&path.to_string()), "is not a setting"));
        };
        let deserializer = serde_norway::Deserializer::from_str(text);
        let raw: raw::Settings = match serde_ignored::deserialize(deserializer, &mut unknown) {
            Ok(raw) => raw,
            Err(error) => return Err(vec![FieldError::new("(file)", error.to_string())]),
        };
        let settings = check.settings(raw, base);
        match settings {
            Some(settings) if check.field_errors.is_empty() => Ok(settings),
            _ => Err(check.field_errors),
        }
    }

    /// This entry among `entries`.
    pub fn own(&self) -> &Peer {
        self.entries.iter().find(|peer| peer.name == self.name).expect("checked when parsed")
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

/// Removes the markers that `serde_ignored` adds for options.
fn plain_path(path: &str) -> String {
    path.split('.').filter(|part| *part != "?").collect::<Vec<_>>().join(".")
}

/// A field that may be missing or of the wrong type, so that reading goes on.
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

/// The file as written; every field may be missing.
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

/// Collects faults while the raw fields are turned into settings.
struct Check {
    field_errors: Vec<FieldError>,
}

impl Check {
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
        self.across(&settings);
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
            self.fault("operators", "needs at least one");
        }
        for (position, operator) in raw.into_iter().enumerate() {
            let name = self.name(&format!("operators[{position}].name"), operator.name);
            let token = self.secret(&format!("operators[{position}].token"), operator.token);
            operators.extend(name.zip(token).map(|(name, token)| Operator { name, token }));
        }
        let names = operators.iter().map(|operator| operator.name.as_str());
        self.unique("operators", "name", names);
        operators
    }

    fn entries(&mut self, raw: Vec<raw::Peer>) -> Vec<Peer> {
        let mut entries = Vec::new();
        if raw.is_empty() {
            self.fault("entries", "needs at least one");
        }
        for (position, peer) in raw.into_iter().enumerate() {
            let at = |field: &str| format!("entries[{position}].{field}");
            let name = self.name(&at("name"), peer.name);
            let data_centre = self.name(&at("data_centre"), peer.data_centre);
            let address = self.required(&at("address"), peer.address);
            let voter = self.or(&at("voter"), peer.voter, false);
            if let (Some(name), Some(data_centre), Some(address)) = (name, data_centre, address) {
                entries.push(Peer { name, data_centre, address, voter });
            }
        }
        self.unique("entries", "name", entries.iter().map(|peer| peer.name.as_str()));
        let addresses: Vec<String> = entries.iter().map(|peer| peer.address.to_string()).collect();
        self.unique("entries", "address", addresses.iter().map(String::as_str));
        if !entries.is_empty() && !entries.iter().any(|peer| peer.voter) {
            self.fault("entries", "needs at least one with voter: true");
        }
        entries
    }

    fn log(&mut self, raw: raw::Log) -> Log {
        Log {
            level: self.or("log.level", raw.level, Level::Info),
            format: self.or("log.format", raw.format, Format::Plain),
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
            idle: self.millis("limits.idle_ms", raw.idle_ms, 60_000),
            default_deadline: self.millis(
                "limits.default_deadline_ms",
                raw.default_deadline_ms,
                10_000,
            ),
            max_deadline: self.millis("limits.max_deadline_ms", raw.max_deadline_ms, 60_000),
            stop_notice: self.millis("limits.stop_notice_ms", raw.stop_notice_ms, 1_000),
        };
        if limits.default_deadline > limits.max_deadline {
            self.fault("limits.default_deadline_ms", "is longer than limits.max_deadline_ms");
        }
        limits
    }

    fn announce(&mut self, raw: raw::Announce) -> Announce {
        let announce = Announce {
            interval: self.millis("announce.interval_ms", raw.interval_ms, 5_000),
            expiry: self.millis("announce.expiry_ms", raw.expiry_ms, 16_000),
        };
        if announce.expiry < announce.interval * 2 {
            self.fault("announce.expiry_ms", "is shorter than two announce.interval_ms");
        }
        announce
    }

    fn across(&mut self, settings: &Settings) {
        let Some(own) = settings.entries.iter().find(|peer| peer.name == settings.name) else {
            self.fault("name", &format!("\"{}\" is not one of entries", settings.name));
            return;
        };
        if own.voter && settings.data_folder.is_none() {
            self.fault("data_folder", "is missing, but this entry is a voter");
        }
        let listen = &settings.listen;
        let mut addresses = BTreeSet::from([own.address]);
        for (field, address) in [
            ("listen.callers", listen.callers),
            ("listen.targets", listen.targets),
            ("listen.operators", listen.operators),
        ] {
            if !addresses.insert(address) {
                self.fault(field, &format!("address {address} is used twice"));
            }
        }
    }

    fn fault(&mut self, field: &str, reason: &str) {
        self.field_errors.push(FieldError::new(field, reason));
    }

    fn optional<T>(&mut self, field: &str, value: Field<T>) -> Option<T> {
        match value {
            Field::Given(value) => Some(value),
            Field::Missing => None,
            Field::Wrong(reason) => {
                self.fault(field, &reason);
                None
            }
        }
    }

    fn required<T>(&mut self, field: &str, value: Field<T>) -> Option<T> {
        if matches!(value, Field::Missing) {
            self.fault(field, "is missing");
        }
        self.optional(field, value)
    }

    fn or<T>(&mut self, field: &str, value: Field<T>, default: T) -> T {
        self.optional(field, value).unwrap_or(default)
    }

    fn name(&mut self, field: &str, value: Field<String>) -> Option<String> {
        let name = self.required(field, value)?;
        if name.is_empty() {
            self.fault(field, "is empty");
        }
        Some(name)
    }

    fn secret(&mut self, field: &str, value: Field<Secret>) -> Option<Secret> {
        let secret = self.required(field, value)?;
        if secret.bytes().len() < MIN_SECRET_BYTES {
            self.fault(field, &format!("is shorter than {MIN_SECRET_BYTES} bytes"));
        }
        Some(secret)
    }

    fn positive(&mut self, field: &str, value: Field<u64>, default: u64) -> usize {
        let value = self.or(field, value, default);
        if value == 0 {
            self.fault(field, "must be at least 1");
        }
        value as usize
    }

    fn millis(&mut self, field: &str, value: Field<u64>, default: u64) -> Duration {
        Duration::from_millis(self.positive(field, value, default) as u64)
    }

    fn unique<'a>(&mut self, list: &str, field: &str, values: impl Iterator<Item = &'a str>) {
        let mut seen = BTreeSet::new();
        for (position, value) in values.enumerate() {
            if !seen.insert(value) {
                let reason = format!("\"{value}\" is used twice");
                self.fault(&format!("{list}[{position}].{field}"), &reason);
            }
        }
    }
}
