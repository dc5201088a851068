//! Machines as the cloud lists them.

use jobs::definition::Resources;
use jobs::{InstanceId, PoolName, WorkerId};

/// A machine.
#[derive(Clone, Debug, PartialEq)]
pub struct Instance {
    /// Its name.
    pub id: InstanceId,
    /// Pool that it is in, or on its way to.
    pub pool: PoolName,
    /// What it does.
    pub state: State,
    /// Data centre that it is in.
    pub data_centre: String,
    /// Kind and rack.
    pub labels: Vec<String>,
    /// What it can run at one time.
    pub capacity: Resources,
    /// Its present worker, if it has one.
    pub worker: Option<WorkerId>,
}

/// What a machine does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// It works, or is off in a standby pool.
    Up,
    /// It is on its way to another pool.
    Moving,
    /// It has its upkeep.
    Upkeep,
    /// It is down.
    Down,
}
