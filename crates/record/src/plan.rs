//! Maintenance plan specifications.

use crate::PoolId;
use serde::{Deserialize, Serialize};

/// What is done to each instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Action {
    /// Take all work away, then give it back.
    Drain,
    /// Drain, restart, give work back.
    Reboot,
}

/// Schema 1: maintain every instance of a pool once.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct V1 {
    /// Pool whose instances are maintained.
    pub pool: PoolId,
    /// What is done to each instance.
    pub action: Action,
    /// Instances stopped at once, at most; budgets can lower it.
    pub max_concurrent: u32,
    /// Whether no further instance is stopped for now.
    #[serde(default)]
    pub paused: bool,
}
