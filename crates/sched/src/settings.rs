//! Bounds that the scheduler keeps to.

use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Bounds that the platform states, and those that follow from them.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Settings {
    /// Longest lease that a worker grants.
    pub max_lease: Duration,
    /// Longest time that a stopped run may go on.
    pub stop_timeout: Duration,
    /// Factor on the run time of a unit that is far from its data.
    pub far_factor: f64,
    /// Time that lasting work gets to be at work again before the next planned
    /// interruption counts on its own.
    pub notice: Duration,
    /// Time that a machine takes to join another pool.
    pub move_time: Duration,
    /// Time that a machine's upkeep takes.
    pub upkeep_time: Duration,
    /// Tail over its target for as long as this counts as harm.
    pub harm: Duration,
    /// Calls a second that the cloud takes for moves and upkeep.
    pub cloud_orders_per_s: f64,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            max_lease: Duration::from_secs(10),
            stop_timeout: Duration::from_millis(400),
            far_factor: 1.5,
            notice: Duration::from_millis(4500),
            move_time: Duration::from_millis(1500),
            upkeep_time: Duration::from_secs(2),
            harm: Duration::from_secs(4),
            cloud_orders_per_s: 64.0,
        }
    }
}
