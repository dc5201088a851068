//! Teams: groups of callers that share a quota.

use serde::{Deserialize, Serialize};

/// Schema 1: a quota and a weight, which apply in every pool that the team uses.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct V1 {
    /// Maximum number of requests that the team has in flight at once in a data centre.
    pub quota: u32,
    /// Weight of the team in a contended pool, relative to the other teams.
    pub weight: u32,
}
