//! The configuration: queues, pools and limits under one version.

use crate::{PoolName, QueueName};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::time::Duration;

/// Result of checking a configuration.
pub type Result<T> = std::result::Result<T, Error>;

/// Why a configuration is refused as a whole.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// A queue names a pool that is not in the configuration.
    #[error("queue \"{queue}\": pool \"{pool}\" does not exist")]
    UnknownPool {
        /// The queue.
        queue: QueueName,
        /// The pool that it names.
        pool: PoolName,
    },
    /// Two queues have the same host and path prefix.
    #[error("queue \"{queue}\": host and prefix are those of queue \"{other}\"")]
    SamePlace {
        /// The queue.
        queue: QueueName,
        /// The queue that has them already.
        other: QueueName,
    },
    /// Two queues or pools have the same name.
    #[error("\"{0}\" is declared twice")]
    Twice(String),
    /// A request would have no time.
    #[error("queue \"{0}\": the timeout must not be 0")]
    NoTimeout(QueueName),
}

/// Queues, pools and limits.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Config {
    /// The highest version is in force.
    pub version: u64,
    /// Queues by name.
    pub queues: BTreeMap<QueueName, Queue>,
    /// Pools by name.
    pub pools: BTreeMap<PoolName, Pool>,
    /// Bounds on requests.
    pub limits: Limits,
    /// The document as the operator sent it; read back byte by byte.
    #[serde(with = "serde_bytes")]
    pub document: Vec<u8>,
}

/// A queue of jobs.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Queue {
    /// Host that requests name.
    pub host: String,
    /// Start of the path; what follows is the job's name.
    pub prefix: String,
    /// Pool whose workers run the units.
    pub pool: PoolName,
    /// Time after which a request is given up.
    pub timeout: Duration,
    /// Part of a job's objective that does not depend on its work.
    #[serde(rename = "objective")]
    pub base_objective: Duration,
    /// Factor on the longest chain of a job's work in its objective.
    #[serde(rename = "stretch")]
    pub critical_path_factor: f64,
    /// Urgency; 0 comes first.
    pub priority: u32,
    /// Runs of a unit that may fail.
    pub max_attempts: u32,
    /// The queue's policy allows only some workers.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub advice: Option<Advice>,
}

/// What asking for advice costs.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Advice {
    /// Time of a decision.
    pub decision: Duration,
    /// Time more for each worker named.
    pub per_worker: Duration,
    /// How long a ticket holds.
    pub valid: Duration,
}

/// A pool of workers.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Pool {
    /// Workers refuse what does not fit.
    #[serde(rename = "guards_room")]
    pub enforces_capacity: bool,
    /// Machines of the pool are off.
    pub standby: bool,
    /// Most connections to one worker.
    pub max_connections: u32,
}

/// Bounds on requests.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Limits {
    /// Largest head of a request in bytes.
    pub max_head_bytes: usize,
    /// Largest body of a request in bytes.
    pub max_body_bytes: usize,
    /// Longest time for a head to arrive.
    pub head_timeout: Duration,
    /// Longest time that a connection may stay without a request.
    pub idle_timeout: Duration,
}

impl Config {
    /// Checks the document as a whole.
    ///
    /// ```
    /// use jobs::{Config, Queue};
    /// let mut config = Config::default();
    /// let queue = Queue { pool: "gone".into(), ..Queue::default() };
    /// config.queues.insert("q".into(), queue);
    /// assert!(config.check().is_err());
    /// ```
    pub fn check(&self) -> Result<()> {
        let mut places = BTreeMap::new();
        for (name, queue) in &self.queues {
            if !self.pools.contains_key(&queue.pool) {
                let (queue, pool) = (name.clone(), queue.pool.clone());
                return Err(Error::UnknownPool { queue, pool });
            }
            if queue.timeout.is_zero() {
                return Err(Error::NoTimeout(name.clone()));
            }
            if let Some(other) = places.insert((&queue.host, &queue.prefix), name) {
                return Err(Error::SamePlace { queue: name.clone(), other: other.clone() });
            }
        }
        Ok(())
    }

    /// The queue with the longest prefix of a path, and the rest of the path.
    ///
    /// ```
    /// use jobs::{Config, Queue};
    /// let mut config = Config::default();
    /// let queue = Queue { host: "h".into(), prefix: "/a/".into(), ..Queue::default() };
    /// config.queues.insert("q".into(), queue);
    /// assert_eq!(config.route("h", "/a/7").unwrap().1, "7");
    /// assert!(config.route("h", "/b/7").is_none());
    /// ```
    pub fn route<'a>(&self, host: &str, path: &'a str) -> Option<(&QueueName, &'a str)> {
        let host = host.split(':').next().unwrap_or_default();
        self.queues
            .iter()
            .filter(|(_, queue)| queue.host == host)
            .filter_map(|(name, queue)| {
                let rest = path.strip_prefix(queue.prefix.as_str())?;
                Some((queue.prefix.len(), name, rest))
            })
            .max_by_key(|(length, ..)| *length)
            .map(|(_, name, rest)| (name, rest))
    }
}
