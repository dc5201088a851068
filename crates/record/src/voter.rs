//! Voter specifications.

use serde::{Deserialize, Serialize};

/// Schema 1: one data folder that may vote. The record's name is the entry's.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct V1 {
    /// Incarnation of the data folder, as shown by `skylarkwinch status`.
    pub incarnation: String,
}

impl V1 {
    /// Reads the incarnation as a number.
    ///
    /// ```
    /// let spec = record::voter::V1 { incarnation: "00000000000000ff".into() };
    /// assert_eq!(spec.parse_incarnation(), Some(255));
    /// ```
    pub fn parse_incarnation(&self) -> Option<u64> {
        u64::from_str_radix(&self.incarnation, 16).ok()
    }
}
