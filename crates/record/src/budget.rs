//! Availability budgets: how many instances may be unavailable at once.

use crate::{DataCentre, PoolId, Rack};
use serde::{Deserialize, Serialize};

/// Schema 1: a limit on the unavailable instances of a pool, optionally only of those
/// in one data centre or rack.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct V1 {
    /// Pool that the budget protects.
    pub pool: PoolId,
    /// Number of instances that may be unavailable at once, for any reason. 0 allows no
    /// planned stop.
    pub max_unavailable: u32,
    /// Limits the budget to the instances of this data centre.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub data_centre: Option<DataCentre>,
    /// Limits the budget to the instances of this rack; requires `data_centre`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub rack: Option<Rack>,
}
