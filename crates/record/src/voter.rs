//! Voters: members of the consensus group.

use serde::{Deserialize, Serialize};

/// Schema 1: the data folder of an entry that may vote. The record has the name of the
/// entry.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct V1 {
    /// Incarnation of the data folder, in hexadecimal as `skylarkwinch status` shows it.
    pub incarnation: String,
}

impl V1 {
    /// Parses the incarnation; `None` if it is not a hexadecimal number.
    ///
    /// ```
    /// let spec = record::voter::V1 { incarnation: "00000000000000ff".into() };
    /// assert_eq!(spec.parse_incarnation(), Some(255));
    /// ```
    pub fn parse_incarnation(&self) -> Option<u64> {
        u64::from_str_radix(&self.incarnation, 16).ok()
    }
}
