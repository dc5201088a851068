//! Records that operators submit: kinds, schema versions and per-record checks.
//!
//! A [`Document`] is what an operator wrote. [`Spec`] is its typed content, one
//! variant for each kind and schema version. Checks that need more than one
//! record live in the `fleet` crate.

pub mod budget;
pub mod document;
pub mod instance;
pub mod plan;
pub mod pool;
pub mod spec;
pub mod team;
pub mod voter;

pub use document::{Document, FieldError};
pub use spec::Spec;

use serde::{Deserialize, Serialize};
use std::fmt;

/// Name of a pool record.
pub type PoolId = String;
/// Name of an instance record.
pub type InstanceId = String;
/// Name of a data centre, as written in settings and instance records.
pub type DataCentre = String;
/// Name of a rack inside a data centre.
pub type Rack = String;
/// Name of a team record.
pub type TeamId = String;
/// Name of an entry process.
pub type EntryId = String;
/// Name of an operator, from the settings.
pub type OperatorId = String;
/// Revision of a record. The first accepted document has revision 1; every further
/// document or withdrawal adds 1.
pub type Revision = u64;

/// Kind of a record.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    /// A set of instances that serve the same requests.
    Pool,
    /// A machine that serves the requests of one pool.
    Instance,
    /// A limit on the instances of a pool that may be unavailable at once.
    Budget,
    /// Planned maintenance of a pool.
    Plan,
    /// A group of callers with a quota and a weight.
    Team,
    /// An entry process that votes in the consensus group.
    Voter,
}

impl Kind {
    /// All kinds, in the order in which operators see them.
    pub const ALL: [Kind; 6] =
        [Kind::Pool, Kind::Instance, Kind::Budget, Kind::Plan, Kind::Team, Kind::Voter];

    /// Parses a kind as written on the command line.
    ///
    /// ```
    /// assert_eq!(record::Kind::parse("pool"), Some(record::Kind::Pool));
    /// assert_eq!(record::Kind::parse("barn"), None);
    /// ```
    pub fn parse(text: &str) -> Option<Kind> {
        Kind::ALL.into_iter().find(|kind| kind.to_string() == text)
    }
}

impl fmt::Display for Kind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Kind::Pool => "pool",
            Kind::Instance => "instance",
            Kind::Budget => "budget",
            Kind::Plan => "plan",
            Kind::Team => "team",
            Kind::Voter => "voter",
        })
    }
}

/// Identifies one record among all kinds.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Key {
    /// Kind of the record.
    pub kind: Kind,
    /// Name, unique inside the kind.
    pub name: String,
}

impl Key {
    /// Creates a key.
    ///
    /// ```
    /// let key = record::Key::new(record::Kind::Pool, "gate");
    /// assert_eq!(key.to_string(), "pool gate");
    /// ```
    pub fn new(kind: Kind, name: impl Into<String>) -> Key {
        Key { kind, name: name.into() }
    }
}

impl fmt::Display for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {}", self.kind, self.name)
    }
}
