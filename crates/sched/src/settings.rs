//! Settings of the scheduler, given by the platform.

use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Limits and durations of the platform that the scheduler relies on.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Settings {
    /// Longest lease that a worker accepts.
    pub max_lease: Duration,
    /// Factor by which a unit takes longer when it is far from its data.
    pub far_factor: f64,
    /// Time that an instance takes to move to another pool.
    #[serde(rename = "move_time")]
    pub move_duration: Duration,
    /// Time that the maintenance of an instance takes.
    #[serde(rename = "upkeep_time")]
    pub maintenance_duration: Duration,
    /// Time over which the rate of an account's jobs is averaged.
    pub rate_window: Duration,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            max_lease: Duration::from_secs(10),
            far_factor: 1.5,
            move_duration: Duration::from_millis(1500),
            maintenance_duration: Duration::from_secs(2),
            rate_window: Duration::from_secs(5),
        }
    }
}
