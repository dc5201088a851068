//! The configuration: queues, pools and request limits, replaced as a whole by version.

use crate::account::{Access, Accounts, Denial, Key};
use crate::{PoolName, QueueName};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::time::Duration;

/// Result of checking a configuration.
pub type Result<T> = std::result::Result<T, Error>;

/// Largest factor by which the duration of a job's critical path may count in its objective.
pub const MAX_CRITICAL_PATH_FACTOR: f64 = 1000.0;

/// Why a configuration was rejected.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// A queue names a pool that is not in the configuration.
    #[error("queue \"{queue}\": pool \"{pool}\" does not exist")]
    UnknownPool {
        /// Name of the queue.
        queue: QueueName,
        /// Missing pool that the queue names.
        pool: PoolName,
    },
    /// Two queues have the same host and path prefix.
    #[error("queue \"{queue}\": host and prefix are those of queue \"{other}\"")]
    SamePlace {
        /// Name of the queue.
        queue: QueueName,
        /// Other queue with the same host and prefix.
        other: QueueName,
    },
    /// Two queues or pools have the same name. Returned by the reader of the document, not
    /// by [`Config::check`].
    #[error("\"{0}\" is declared twice")]
    Twice(String),
    /// The factor of the critical path in a queue's objective is out of bounds.
    #[error("queue \"{0}\": the stretch must be a number from 0 to {MAX_CRITICAL_PATH_FACTOR}")]
    Stretch(QueueName),
    /// The request timeout of a queue is 0.
    #[error("queue \"{0}\": the timeout must not be 0")]
    NoTimeout(QueueName),
}

/// One version of the configuration.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Config {
    /// Version number; the configuration with the highest one is in force.
    pub version: u64,
    /// Queues by name.
    pub queues: BTreeMap<QueueName, Queue>,
    /// Pools by name.
    pub pools: BTreeMap<PoolName, Pool>,
    /// Limits for requests.
    pub limits: Limits,
    /// Client accounts; `None` if the configuration does not use them, so that calls need no key.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub accounts: Option<Accounts>,
    /// The document as the operator sent it, returned unchanged to readers.
    #[serde(with = "serde_bytes")]
    pub document: Vec<u8>,
}

/// A queue of jobs.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Queue {
    /// Host name of the queue's requests, without a port.
    pub host: String,
    /// Path prefix of the queue's requests; the rest of the path is the job's name.
    pub prefix: String,
    /// Pool whose workers run the units.
    pub pool: PoolName,
    /// Time within which a client's request to the queue has to be answered; must not be 0.
    pub timeout: Duration,
    /// Fixed part of a job's objective, the time within which it should complete.
    #[serde(rename = "objective")]
    pub base_objective: Duration,
    /// Factor by which the duration of a job's critical path counts in its objective.
    #[serde(rename = "stretch")]
    pub critical_path_factor: f64,
    /// Priority of the queue's jobs; 0 comes first.
    pub priority: u32,
    /// Number of failed runs of a unit, or of all units of a gang together, after which the
    /// job fails; 0 counts as 1. Does not apply to long-running steps.
    pub max_attempts: u32,
    /// Whether calls need no key.
    #[serde(skip_serializing_if = "std::ops::Not::not")]
    pub public: bool,
    /// Timing of the queue's policy, which allows only some workers; `None` for no policy.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub advice: Option<Advice>,
}

/// Host and path prefix at which clients reach a queue. A version may give another name to the queue
/// there; clients go on to use the place.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Place {
    /// Host name, without a port.
    pub host: String,
    /// Path prefix; the rest of the path is a job's name.
    pub prefix: String,
}

impl Queue {
    /// Returns the place of the queue.
    pub fn place(&self) -> Place {
        Place { host: self.host.clone(), prefix: self.prefix.clone() }
    }

    /// Returns whether clients reach the queue at a place.
    pub fn is_at(&self, place: &Place) -> bool {
        self.host == place.host && self.prefix == place.prefix
    }
}

/// Timing of a queue's policy service.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Advice {
    /// Time that the policy needs for one decision.
    pub decision: Duration,
    /// Additional time for each worker in the request.
    pub per_worker: Duration,
    /// How long a ticket is valid.
    pub valid: Duration,
}

/// A pool of workers.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Pool {
    /// Whether workers refuse starts that exceed their free resources.
    #[serde(rename = "guards_room")]
    pub enforces_capacity: bool,
    /// Whether the instances of the pool are switched off.
    pub standby: bool,
    /// Maximum number of connections to one worker.
    pub max_connections: u32,
}

/// Limits for requests.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Limits {
    /// Maximum size of a request head in bytes.
    pub max_head_bytes: usize,
    /// Maximum size of a request body in bytes.
    pub max_body_bytes: usize,
    /// Time within which a request head has to arrive.
    pub head_timeout: Duration,
    /// Time after which a connection without a request is closed.
    pub idle_timeout: Duration,
}

impl Config {
    /// Checks the configuration.
    ///
    /// # Errors
    ///
    /// Returns the first violation: a missing pool, a timeout of 0, a stretch out of bounds, or two
    /// queues with the same host and prefix.
    ///
    /// ```
    /// use jobs::{Config, Queue};
    /// let mut config = Config::default();
    /// let queue = Queue { pool: "missing".into(), ..Queue::default() };
    /// config.queues.insert("q".into(), queue);
    /// assert!(config.check().is_err());
    /// ```
    pub fn check(&self) -> Result<()> {
        let mut routes = BTreeMap::new();
        for (name, queue) in &self.queues {
            if !self.pools.contains_key(&queue.pool) {
                let (queue, pool) = (name.clone(), queue.pool.clone());
                return Err(Error::UnknownPool { queue, pool });
            }
            if queue.timeout.is_zero() {
                return Err(Error::NoTimeout(name.clone()));
            }
            if !(0.0..=MAX_CRITICAL_PATH_FACTOR).contains(&queue.critical_path_factor) {
                return Err(Error::Stretch(name.clone()));
            }
            if let Some(other) = routes.insert((&queue.host, &queue.prefix), name) {
                return Err(Error::SamePlace { queue: name.clone(), other: other.clone() });
            }
        }
        Ok(())
    }

    /// Returns the queue of the host whose prefix is the longest that matches the path,
    /// and the rest of the path. A port in `host` is ignored.
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
                let job_path = path.strip_prefix(queue.prefix.as_str())?;
                Some((queue.prefix.len(), name, job_path))
            })
            .max_by_key(|(length, ..)| *length)
            .map(|(_, name, job_path)| (name, job_path))
    }

    /// Returns the name of the queue at a place.
    ///
    /// ```
    /// use jobs::{Config, Queue};
    /// let mut config = Config::default();
    /// let queue = Queue { host: "h".into(), prefix: "/a/".into(), ..Queue::default() };
    /// let place = queue.place();
    /// assert_eq!(config.queue_at(&place), None);
    /// config.queues.insert("q".into(), queue);
    /// assert_eq!(config.queue_at(&place), Some(&"q".to_string()));
    /// ```
    pub fn queue_at(&self, place: &Place) -> Option<&QueueName> {
        self.queues.iter().find(|(_, queue)| queue.is_at(place)).map(|(name, _)| name)
    }

    /// Returns whom a call to a queue with this key counts for.
    ///
    /// ```
    /// use jobs::account::{Access, Account, Accounts, Key};
    /// let mut config = jobs::Config::default();
    /// config.queues.insert("q".into(), jobs::Queue::default());
    /// let queue = "q".to_string();
    /// assert_eq!(config.access(&queue, None), Access::Open);
    /// let mut accounts = Accounts::default();
    /// accounts.add("a", Account::default(), [Key::new("k")]).unwrap();
    /// config.accounts = Some(accounts);
    /// assert_eq!(config.access(&queue, Some(&Key::new("k"))), Access::Owner("a".into()));
    /// assert!(matches!(config.access(&queue, None), Access::Denied(_)));
    /// ```
    pub fn access(&self, queue: &QueueName, key: Option<&Key>) -> Access {
        let Some(accounts) = &self.accounts else { return Access::Open };
        if self.queues.get(queue).is_some_and(|queue| queue.public) {
            return Access::Open;
        }
        let Some(key) = key else { return Access::Denied(Denial::NoKey(queue.clone())) };
        match accounts.owner(key) {
            Some(owner) => Access::Owner(owner.clone()),
            None => Access::Denied(Denial::UnknownKey(key.digest())),
        }
    }
}
