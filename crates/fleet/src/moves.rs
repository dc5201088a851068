//! Moves of instances between pools.
//!
//! An instance leaves its pool only after every entry of its data centre has confirmed
//! in the log that it sends no more work to the instance. Until then the instance
//! belongs to the old pool and gets no new work, so no entry can route by the wrong pool.

use crate::{Incarnation, Index};
use record::{EntryId, PoolId};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// A move in progress.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Move {
    /// Log index at which the move started; distinguishes it from earlier moves.
    #[serde(rename = "began")]
    pub start_index: Index,
    /// Destination pool; `None` if the instance leaves the fleet.
    pub to: Option<PoolId>,
    /// Entries that have released the instance, with their incarnation at the time.
    pub released: BTreeMap<EntryId, Incarnation>,
}

impl Move {
    /// Creates a move that starts at a log index and for which no entry has released the instance.
    ///
    /// ```
    /// let pending_move = fleet::moves::Move::new(7, Some("gate".into()));
    /// assert!(pending_move.released.is_empty());
    /// ```
    pub fn new(start_index: Index, to: Option<PoolId>) -> Move {
        Move { start_index, to, released: BTreeMap::new() }
    }

    /// Returns which of `entries` have not released the instance in their current
    /// incarnation.
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
