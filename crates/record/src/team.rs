//! Team specifications.

use serde::{Deserialize, Serialize};

/// Schema 1: a share of every pool that the team uses.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct V1 {
    /// Requests that the team may have in flight at once in a data centre.
    pub quota: u32,
    /// Share of a contended pool, relative to the other teams.
    pub weight: u32,
}
