//! Instances: their pool, location and capacity.

use crate::{DataCentre, PoolId, Rack};
use serde::{Deserialize, Serialize};

const MIB_PER_GIB: u64 = 1024;

/// Schema 1: memory in GiB, no accelerators.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct V1 {
    /// Pool that the instance belongs to.
    pub pool: PoolId,
    /// Data centre of the instance.
    pub data_centre: DataCentre,
    /// Rack of the instance, inside its data centre.
    pub rack: Rack,
    /// Number of processor cores.
    pub cores: u32,
    /// Memory in GiB.
    pub memory_gb: u32,
    /// Maximum number of concurrent requests.
    pub slots: u32,
    /// Maximum number of concurrent connections.
    pub connections: u32,
}

/// Schema 2: memory in MiB, with accelerators.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct V2 {
    /// Pool that the instance belongs to.
    pub pool: PoolId,
    /// Data centre of the instance.
    pub data_centre: DataCentre,
    /// Rack of the instance, inside its data centre.
    pub rack: Rack,
    /// Number of processor cores.
    pub cores: u32,
    /// Memory in MiB.
    pub memory_mib: u64,
    /// Number of accelerators; 0 if absent.
    #[serde(default)]
    pub accelerators: u32,
    /// Maximum number of concurrent requests.
    pub slots: u32,
    /// Maximum number of concurrent connections.
    pub connections: u32,
}

/// An instance in the newest schema; older ones are converted to it.
pub type Instance = V2;

impl From<&V1> for V2 {
    fn from(v1: &V1) -> V2 {
        V2 {
            pool: v1.pool.clone(),
            data_centre: v1.data_centre.clone(),
            rack: v1.rack.clone(),
            cores: v1.cores,
            memory_mib: u64::from(v1.memory_gb) * MIB_PER_GIB,
            accelerators: 0,
            slots: v1.slots,
            connections: v1.connections,
        }
    }
}
