//! Pools: sets of instances that serve the same requests.

use crate::DataCentre;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Schema 1: the total size of the pool.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct V1 {
    /// Description of the pool, for operators to read.
    pub description: String,
    /// Declared number of instances.
    pub size: u32,
}

/// Schema 2: a size for each data centre, and spare pools.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct V2 {
    /// Description of the pool, for operators to read.
    pub description: String,
    /// Declared number of instances in each data centre.
    pub sizes: BTreeMap<DataCentre, u32>,
    /// Whether the pool only holds replacement instances and takes no requests.
    #[serde(default)]
    pub spare: bool,
}

/// A pool of any schema version.
#[derive(Clone, Debug, PartialEq)]
pub struct Pool {
    /// Description of the pool, for operators to read.
    pub description: String,
    /// Declared number of instances in all data centres together.
    pub size: u32,
    /// Whether the pool only holds replacement instances and takes no requests.
    pub spare: bool,
}

impl From<&V1> for Pool {
    fn from(v1: &V1) -> Pool {
        Pool { description: v1.description.clone(), size: v1.size, spare: false }
    }
}

impl From<&V2> for Pool {
    fn from(v2: &V2) -> Pool {
        Pool { description: v2.description.clone(), size: v2.sizes.values().sum(), spare: v2.spare }
    }
}
