//! Maintenance plans: an action on every instance of a pool.

use crate::PoolId;
use serde::{Deserialize, Serialize};

/// Maintenance action on one instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Action {
    /// Evacuate the instance, then let it take work again.
    Drain,
    /// Evacuate the instance, restart it, then let it take work again.
    Reboot,
}

/// Schema 1: maintains every instance of a pool once.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct V1 {
    /// Pool whose instances are maintained.
    pub pool: PoolId,
    /// Action on each instance.
    pub action: Action,
    /// Maximum number of instances stopped at once; budgets can lower it.
    pub max_concurrent: u32,
    /// Whether the plan is paused: no further instance is stopped.
    #[serde(default)]
    pub paused: bool,
}
