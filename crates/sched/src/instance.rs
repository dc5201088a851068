//! Instances as the cloud lists them.

use jobs::definition::Resources;
use jobs::{InstanceId, PoolName, WorkerId};

/// An instance in the cloud's list.
#[derive(Clone, Debug, PartialEq)]
pub struct Instance {
    /// Name of the instance.
    pub id: InstanceId,
    /// Pool that the instance is in, or is moving to.
    pub pool: PoolName,
    /// Present state.
    pub state: State,
    /// Data centre of the instance.
    pub data_centre: String,
    /// Labels of the instance: its kind, then its rack.
    pub labels: Vec<String>,
    /// Resources that its runs may use together.
    pub capacity: Resources,
    /// Present worker; `None` if there is none.
    pub worker: Option<WorkerId>,
}

/// State of an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// The instance is up, or is off in a standby pool.
    Up,
    /// The instance is moving to another pool.
    Moving,
    /// The instance is in maintenance.
    Upkeep,
    /// The instance is down.
    Down,
}
