//! Bounds that the scheduler keeps to.

use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Bounds that the platform states, and those that follow from them.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Settings {
    /// Longest lease that a worker grants.
    pub max_lease: Duration,
    /// Factor on the run time of a unit that is far from its data.
    pub far_factor: f64,
    /// Time that a machine takes to join another pool.
    #[serde(rename = "move_time")]
    pub move_duration: Duration,
    /// Time that a machine's upkeep takes.
    #[serde(rename = "upkeep_time")]
    pub maintenance_duration: Duration,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            max_lease: Duration::from_secs(10),
            far_factor: 1.5,
            move_duration: Duration::from_millis(1500),
            maintenance_duration: Duration::from_secs(2),
        }
    }
}
