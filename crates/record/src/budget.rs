//! Availability budget specifications.

use crate::{DataCentre, PoolId, Rack};
use serde::{Deserialize, Serialize};

/// Schema 1: a bound on unavailable instances of one pool, optionally narrowed
/// to a data centre or a rack.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct V1 {
    /// Pool that the budget protects.
    pub pool: PoolId,
    /// Instances that may be unavailable at once, for whatever reason.
    pub max_unavailable: u32,
    /// Counts only instances of this data centre.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub data_centre: Option<DataCentre>,
    /// Counts only instances of this rack; needs `data_centre`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub rack: Option<Rack>,
}
