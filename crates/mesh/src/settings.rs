//! Settings of core and edge processes, checked as a whole.

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
    /// The file can't be read.
    #[error("cannot be read: {0}")]
    File(#[from] std::io::Error),
    /// A field is missing, unknown or of another type.
    #[error("{field}: {reason}")]
    Field {
        /// Path of the field.
        field: String,
        /// What is wrong with it.
        reason: String,
    },
}

/// Settings of one process.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name of the process, unique in the system.
    pub name: String,
    /// Data centre that it is in.
    pub data_centre: String,
    /// Addresses that it listens on.
    pub listen: Listen,
    /// Control addresses of core processes to begin with.
    pub seeds: Seeds,
    /// Whether the whole system starts for the first time, with the seeds as
    /// founding voters.
    pub founding: bool,
    /// Where a core process keeps its log.
    #[serde(default)]
    pub data_folder: Option<PathBuf>,
    /// Where the cloud takes orders for machines.
    #[serde(default)]
    pub cloud: Option<Cloud>,
    /// Where the policy of queues is asked.
    #[serde(default)]
    pub advice: Option<SocketAddr>,
    /// Bounds that the platform states.
    #[serde(default)]
    pub bounds: Bounds,
}

/// Addresses that a process listens on.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Listen {
    /// Address of the machine.
    pub ip: IpAddr,
    /// First port for other processes, and last.
    pub internal: Ports,
    /// Requests of clients; edge only.
    #[serde(default)]
    pub callers: Option<SocketAddr>,
    /// The balancer's health check; edge only.
    #[serde(default)]
    pub health: Option<SocketAddr>,
    /// Workers and operators; core only.
    #[serde(default)]
    pub control: Option<SocketAddr>,
}

/// First and last of a range of ports.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ports(pub u16, pub u16);

/// Addresses, as a list or as text with commas.
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

/// The cloud.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Cloud {
    /// Its address.
    pub address: SocketAddr,
}

/// Bounds that the platform states; what is missing keeps its default.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Bounds {
    /// Longest lease that a worker grants, in milliseconds.
    pub max_lease_ms: Option<f64>,
    /// Factor on the run time of a unit that is far from its data.
    pub far_factor: Option<f64>,
    /// Time that a machine takes to join another pool, in seconds.
    pub move_s: Option<f64>,
    /// Time that a machine's upkeep takes, in seconds.
    pub upkeep_s: Option<f64>,
    /// Time between a stop signal and the kill, in seconds.
    pub grace_s: Option<f64>,
    /// How long a job's state is kept after its end, in seconds.
    pub status_s: Option<f64>,
}

/// Retention of a job's state where the platform states none.
const DEFAULT_STATUS: Duration = Duration::from_secs(120);
/// Added to the retention, so that a job is not forgotten at the very bound.
const STATUS_MARGIN: Duration = Duration::from_secs(30);
/// Time between a stop signal and the kill where the platform states none.
const DEFAULT_GRACE: Duration = Duration::from_secs(6);

impl Settings {
    /// Reads and checks a settings file.
    pub fn load(path: &Path) -> Result<Settings> {
        Settings::parse(&std::fs::read_to_string(path)?)
    }

    /// Reads and checks settings.
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
        let fault = |field: &str, reason: &str| {
            Err(Error::Field { field: field.to_string(), reason: reason.to_string() })
        };
        if self.name.is_empty() {
            return fault("name", "is empty");
        }
        if self.listen.internal.0 > self.listen.internal.1 {
            return fault("listen.internal", "the first port is above the last");
        }
        if self.seeds.0.is_empty() {
            return fault("seeds", "names no address");
        }
        Ok(())
    }

    /// An address for a role that the settings have to name.
    pub fn required(&self, field: &'static str, value: Option<SocketAddr>) -> Result<SocketAddr> {
        let reason = "is missing, but this role needs it".to_string();
        value.ok_or(Error::Field { field: field.to_string(), reason })
    }

    /// Where this process takes connections of other processes.
    pub fn peer_address(&self) -> SocketAddr {
        SocketAddr::new(self.listen.ip, self.listen.internal.0)
    }

    /// Where this process serves its metrics and its state.
    pub fn status_address(&self) -> SocketAddr {
        SocketAddr::new(self.listen.ip, self.listen.internal.1)
    }

    /// Where the seeds take connections of other processes; ports are the same
    /// on all machines.
    pub fn seed_addresses(&self) -> BTreeSet<SocketAddr> {
        let port = self.listen.internal.0;
        self.seeds.0.iter().map(|seed| SocketAddr::new(seed.ip(), port)).collect()
    }
}

impl Bounds {
    /// How long jobs are kept after their end.
    pub fn retention(&self) -> Duration {
        self.status_s.map_or(DEFAULT_STATUS, Duration::from_secs_f64) + STATUS_MARGIN
    }

    /// Time between a stop signal and the kill.
    pub fn grace(&self) -> Duration {
        self.grace_s.map_or(DEFAULT_GRACE, Duration::from_secs_f64)
    }

    /// Bounds of the scheduler.
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
        }
    }
}

impl fmt::Display for Ports {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}-{}", self.0, self.1)
    }
}
