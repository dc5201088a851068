//! Step-wise moves of instances between pools.
//!
//! An instance leaves its pool only when every entry of its data centre has
//! confirmed in the log that it sends no more work to it. Until then it belongs
//! to the old pool, and takes no new work.

use crate::{Incarnation, Index};
use record::{EntryId, PoolId};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// A move that has begun and not ended.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Move {
    /// Log index that began it.
    #[serde(rename = "began")]
    pub start_index: Index,
    /// Pool that the instance goes to; none when it leaves the fleet.
    pub to: Option<PoolId>,
    /// Entries that let go, with the life in which they did.
    pub released: BTreeMap<EntryId, Incarnation>,
}

impl Move {
    /// Starts a move at a log index.
    ///
    /// ```
    /// let pending_move = fleet::moves::Move::new(7, Some("gate".into()));
    /// assert!(pending_move.released.is_empty());
    /// ```
    pub fn new(start_index: Index, to: Option<PoolId>) -> Move {
        Move { start_index, to, released: BTreeMap::new() }
    }

    /// Entries of the data centre that have not let go in their present life.
    ///
    /// ```
    /// let mut pending_move = fleet::moves::Move::new(7, None);
    /// pending_move.released.insert("a".into(), 1);
    /// let entries = [("a".to_string(), 2), ("b".to_string(), 5)];
    /// assert_eq!(pending_move.missing_releases(entries.into_iter()), ["a", "b"]);
    /// ```
    pub fn missing_releases(
        &self,
        entries: impl Iterator<Item = (EntryId, Incarnation)>,
    ) -> Vec<EntryId> {
        entries
            .filter(|(entry, incarnation)| self.released.get(entry) != Some(incarnation))
            .map(|(entry, _)| entry)
            .collect()
    }
}
