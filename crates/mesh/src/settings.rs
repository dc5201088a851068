//! Settings file of core and edge processes.

use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use std::fmt;
use std::net::{IpAddr, SocketAddr};
use std::path::{Path, PathBuf};
use std::time::Duration;

/// Result of reading settings.
pub type Result<T> = std::result::Result<T, Error>;

/// What is wrong with a settings file.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The file cannot be read.
    #[error("cannot be read: {0}")]
    File(#[from] std::io::Error),
    /// A field is missing, unknown, of the wrong type or out of range.
    #[error("{field}: {reason}")]
    Field {
        /// Path of the field, such as `listen.internal`.
        field: String,
        /// What is wrong with its value.
        reason: String,
    },
}

/// Settings of one process.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name of the process, unique in the cluster; must not be empty.
    pub name: String,
    /// Data centre of the instance that runs the process.
    pub data_centre: String,
    /// Addresses that the process listens on.
    pub listen: Listen,
    /// Control addresses of the core processes that this process contacts first.
    pub seeds: Seeds,
    /// Whether the cluster starts for the first time, with the seeds as its first voters.
    pub founding: bool,
    /// Folder for the log and snapshots of a core process.
    #[serde(default)]
    pub data_folder: Option<PathBuf>,
    /// The cloud API that moves and maintains instances; without it, instances are
    /// neither listed, moved nor maintained.
    #[serde(default)]
    pub cloud: Option<Cloud>,
    /// Address of the policy service that decides which workers may run a step of a
    /// queue with advice.
    #[serde(default)]
    pub advice: Option<SocketAddr>,
    /// Limits and durations that the platform guarantees.
    #[serde(default)]
    pub bounds: Bounds,
    /// Limits on what clients take of this process.
    #[serde(default)]
    pub limits: Limits,
}

/// Addresses that a process listens on.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Listen {
    /// IP address of the instance.
    pub ip: IpAddr,
    /// Port range for other processes: the first port takes their links, the last
    /// serves metrics and state.
    pub internal: Ports,
    /// Address for client requests; edge processes only.
    #[serde(default)]
    pub callers: Option<SocketAddr>,
    /// Address for the health check of the load balancer; edge processes only.
    #[serde(default)]
    pub health: Option<SocketAddr>,
    /// Address for workers and operators; core processes only.
    #[serde(default)]
    pub control: Option<SocketAddr>,
}

/// First and last port of a range.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ports(pub u16, pub u16);

/// Addresses of the seeds; written as a list in the settings file.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "SeedList")]
pub struct Seeds(pub BTreeSet<SocketAddr>);

#[derive(Deserialize)]
struct SeedList(Vec<SocketAddr>);

impl From<SeedList> for Seeds {
    fn from(list: SeedList) -> Seeds {
        Seeds(list.0.into_iter().collect())
    }
}

/// Connection to the cloud API.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Cloud {
    /// Address of the API.
    pub address: SocketAddr,
}

/// Limits and durations that the platform guarantees; a missing field keeps its default.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Bounds {
    /// Maximum duration of a lease that a worker grants, in milliseconds.
    pub max_lease_ms: Option<f64>,
    /// Factor by which a unit runs longer when it is far from its data.
    pub far_factor: Option<f64>,
    /// Time that an instance takes to move to another pool, in seconds.
    pub move_s: Option<f64>,
    /// Time that the maintenance of an instance takes, in seconds.
    pub upkeep_s: Option<f64>,
    /// Time between the termination signal and the kill of this process, in seconds.
    pub grace_s: Option<f64>,
    /// How long the state of a job stays readable after its end, in seconds.
    pub status_s: Option<f64>,
    /// Time over which the rate of an account's jobs is averaged, in seconds.
    pub rate_window_s: Option<f64>,
}

/// Limits on what clients take of this process; a missing field keeps its default.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Limits {
    /// Memory that the process may use, in millions of bytes; by default all of the machine's.
    pub memory_mb: Option<f64>,
    /// Memory that requests may take together, in millions of bytes; by default a sixth of the
    /// memory, at most 33 and at least eight bodies of the largest size.
    pub request_memory_mb: Option<f64>,
    /// Maximum number of open connections of clients (edge), or of workers and operators (core).
    /// The default depends on the role.
    pub max_connections: Option<usize>,
    /// Maximum number of connections of other processes that have not said who they are.
    pub max_handshakes: Option<usize>,
    /// Maximum size of the body of a request, in bytes. The default depends on the role.
    pub max_body_bytes: Option<usize>,
    /// Time for which a connection may be idle, and in which a request has to arrive, in
    /// milliseconds.
    pub idle_ms: Option<u64>,
}

/// Minimum of [`Limits::memory_mb`].
const MIN_MEMORY_MB: f64 = 32.0;
/// Maximum of [`Limits::memory_mb`].
const MAX_MEMORY_MB: f64 = 1e9;
/// Default for [`Limits::idle_ms`].
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(60);
/// Default for [`Bounds::status_s`].
const DEFAULT_RETENTION: Duration = Duration::from_secs(120);
/// Added to the retention, so that a job is never removed before the guaranteed time.
const RETENTION_MARGIN: Duration = Duration::from_secs(30);
/// Default for [`Bounds::grace_s`].
const DEFAULT_GRACE: Duration = Duration::from_secs(6);

impl Settings {
    /// Reads and checks a settings file.
    pub fn load(path: &Path) -> Result<Settings> {
        Settings::parse(&std::fs::read_to_string(path)?)
    }

    /// Parses and checks settings in YAML.
    ///
    /// ```
    /// let error = mesh::Settings::parse("name: a\nnick: b\n").unwrap_err();
    /// assert!(error.to_string().contains("nick"));
    /// ```
    pub fn parse(text: &str) -> Result<Settings> {
        let deserializer = serde_norway::Deserializer::from_str(text);
        let settings: Settings =
            serde_path_to_error::deserialize(deserializer).map_err(|error| {
                let field = error.path().to_string();
                Error::Field { field, reason: error.into_inner().to_string() }
            })?;
        settings.check()?;
        Ok(settings)
    }

    fn check(&self) -> Result<()> {
        let invalid = |field: &str, reason: &str| {
            Err(Error::Field { field: field.to_string(), reason: reason.to_string() })
        };
        if self.name.is_empty() {
            return invalid("name", "must not be empty");
        }
        if self.listen.internal.0 > self.listen.internal.1 {
            return invalid("listen.internal", "the first port is above the last");
        }
        if self.seeds.0.is_empty() {
            return invalid("seeds", "names no address");
        }
        self.limits.check()
    }

    /// Returns `value`, the address in `field`, or an error that names the field if it is
    /// missing. Called by the roles that need the address.
    pub fn required(&self, field: &'static str, value: Option<SocketAddr>) -> Result<SocketAddr> {
        let reason = "is missing, but this role needs it".to_string();
        value.ok_or(Error::Field { field: field.to_string(), reason })
    }

    /// Returns the address for links of other processes.
    pub fn peer_address(&self) -> SocketAddr {
        SocketAddr::new(self.listen.ip, self.listen.internal.0)
    }

    /// Returns the address that serves metrics and state.
    pub fn status_address(&self) -> SocketAddr {
        SocketAddr::new(self.listen.ip, self.listen.internal.1)
    }

    /// Returns the addresses of the seeds for links of other processes. They use the
    /// port of this process, as ports are the same on all instances.
    pub fn seed_addresses(&self) -> BTreeSet<SocketAddr> {
        let port = self.listen.internal.0;
        self.seeds.0.iter().map(|seed| SocketAddr::new(seed.ip(), port)).collect()
    }
}

impl Limits {
    fn check(&self) -> Result<()> {
        let invalid = |field: &str, reason: String| {
            Err(Error::Field { field: format!("limits.{field}"), reason })
        };
        let memory_bounds = MIN_MEMORY_MB..=MAX_MEMORY_MB;
        if self.memory_mb.is_some_and(|memory_mb| !memory_bounds.contains(&memory_mb)) {
            let reason = format!("must be from {MIN_MEMORY_MB} to {MAX_MEMORY_MB}");
            return invalid("memory_mb", reason);
        }
        if self
            .request_memory_mb
            .is_some_and(|memory_mb| !(memory_mb > 0.0 && memory_mb <= MAX_MEMORY_MB))
        {
            let reason = format!("must be above 0 and at most {MAX_MEMORY_MB}");
            return invalid("request_memory_mb", reason);
        }
        for (field, is_zero) in [
            ("max_connections", self.max_connections == Some(0)),
            ("max_handshakes", self.max_handshakes == Some(0)),
            ("max_body_bytes", self.max_body_bytes == Some(0)),
            ("idle_ms", self.idle_ms == Some(0)),
        ] {
            if is_zero {
                return invalid(field, "must be at least 1".to_string());
            }
        }
        Ok(())
    }

    /// Returns the memory that the process may use, in bytes; `None` if only the machine bounds it.
    pub fn memory_bytes(&self) -> Option<usize> {
        self.memory_mb.map(|memory_mb| (memory_mb * 1e6) as usize)
    }

    /// Returns the memory that requests may take together, in bytes; `None` for the default.
    pub fn request_memory_bytes(&self) -> Option<usize> {
        self.request_memory_mb.map(|memory_mb| (memory_mb * 1e6) as usize)
    }

    /// Returns how long a connection may be idle, and a request may take to arrive.
    pub fn idle_timeout(&self) -> Duration {
        self.idle_ms.map_or(DEFAULT_IDLE_TIMEOUT, Duration::from_millis)
    }
}

impl Bounds {
    /// Returns how long jobs are kept after their end.
    pub fn retention(&self) -> Duration {
        self.status_s.map_or(DEFAULT_RETENTION, Duration::from_secs_f64) + RETENTION_MARGIN
    }

    /// Returns the time between the termination signal and the kill of this process.
    pub fn grace(&self) -> Duration {
        self.grace_s.map_or(DEFAULT_GRACE, Duration::from_secs_f64)
    }

    /// Returns the settings of the scheduler; missing bounds keep its defaults.
    pub fn sched(&self) -> sched::Settings {
        let defaults = sched::Settings::default();
        let ms = |value: Option<f64>, default: Duration| {
            value.map_or(default, |ms| Duration::from_secs_f64(ms / 1000.0))
        };
        let s =
            |value: Option<f64>, default: Duration| value.map_or(default, Duration::from_secs_f64);
        sched::Settings {
            max_lease: ms(self.max_lease_ms, defaults.max_lease),
            far_factor: self.far_factor.unwrap_or(defaults.far_factor),
            move_duration: s(self.move_s, defaults.move_duration),
            maintenance_duration: s(self.upkeep_s, defaults.maintenance_duration),
            rate_window: s(self.rate_window_s, defaults.rate_window),
        }
    }
}

impl fmt::Display for Ports {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}-{}", self.0, self.1)
    }
}
