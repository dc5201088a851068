//! Tombstones: names of jobs that were cancelled before they were known.
//!
//! A request to cancel a job may overtake the job's submission, which may still wait at another
//! process or in the log. The tombstone of an acknowledged cancellation lets the submission have no
//! other effect than if it had come first.

use crate::config::Place;
use crate::{AccountName, JobId, UnixMs};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::time::Duration;

/// Maximum number of tombstones. Clients choose the names, so without a bound they could make the
/// ledger as large as they like.
pub const MAX_TOMBSTONES: usize = 16_384;
/// Time between two searches for expired tombstones.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);

/// Tombstones by place, so that each place is stored once.
///
/// ```
/// use jobs::config::Place;
/// use jobs::tombstone::Tombstones;
/// let place = Place { host: "h".into(), prefix: "/q/".into() };
/// let (owner, other) = ("x".to_string(), "y".to_string());
/// let mut tombstones = Tombstones::default();
/// assert!(tombstones.add(&place, "a", Some(&owner), 1000));
/// assert!(tombstones.covers(&place, "a", Some(&owner)));
/// assert!(!tombstones.covers(&place, "a", Some(&other)));
/// ```
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tombstones {
    #[serde(rename = "at")]
    by_place: BTreeMap<Place, Names>,
    count: usize,
    /// Time of the oldest one, or earlier.
    oldest_at: UnixMs,
    swept_at: UnixMs,
}

/// Times of the latest cancellations, by name of the job and account that asked for it.
type Names = BTreeMap<JobId, BTreeMap<Option<AccountName>, UnixMs>>;

impl Tombstones {
    /// Returns whether there is none.
    pub fn is_empty(&self) -> bool {
        self.count == 0
    }

    /// Returns how many there are.
    ///
    /// ```
    /// assert_eq!(jobs::tombstone::Tombstones::default().count(), 0);
    /// ```
    pub fn count(&self) -> usize {
        self.count
    }

    /// Returns when the next one expires if there is no room for another at `now`; `None` if there
    /// is room.
    ///
    /// ```
    /// use std::time::Duration;
    /// let tombstones = jobs::tombstone::Tombstones::default();
    /// assert_eq!(tombstones.full_until(1000, Duration::from_secs(120)), None);
    /// ```
    pub fn full_until(&self, now: UnixMs, retention: Duration) -> Option<UnixMs> {
        let until = self.oldest_at.saturating_add(retention.as_millis() as u64);
        (self.count >= MAX_TOMBSTONES && now <= until).then_some(until)
    }

    /// Adds or renews a tombstone. Returns false if there is no room for it.
    pub fn add(
        &mut self,
        place: &Place,
        id: &str,
        owner: Option<&AccountName>,
        at: UnixMs,
    ) -> bool {
        let known = self.by_place.get_mut(place).and_then(|names| names.get_mut(id));
        if let Some(renewed) = known.and_then(|owners| owners.get_mut(&owner.cloned())) {
            *renewed = at.max(*renewed);
            return true;
        }
        if self.count >= MAX_TOMBSTONES {
            return false;
        }
        let owners = self.by_place.entry(place.clone()).or_default().entry(id.to_string());
        owners.or_default().insert(owner.cloned(), at);
        self.oldest_at = if self.is_empty() { at } else { self.oldest_at.min(at) };
        self.count += 1;
        true
    }

    /// Returns whether the job that an account submits was cancelled before. As for a job that is
    /// known, a call without an account may cancel any, and any may cancel one without an owner.
    pub fn covers(&self, place: &Place, id: &str, owner: Option<&AccountName>) -> bool {
        let owners = self.by_place.get(place).and_then(|names| names.get(id));
        owners.is_some_and(|owners| {
            let is_covered =
                |by: &Option<AccountName>| owner.is_none() || by.is_none() || by.as_ref() == owner;
            owners.keys().any(is_covered)
        })
    }

    /// Removes those that expired before `now`, at most once in a while.
    pub fn expire(&mut self, now: UnixMs, retention: Duration) {
        let is_due = now >= self.swept_at.saturating_add(SWEEP_INTERVAL.as_millis() as u64);
        let expired_before = now.saturating_sub(retention.as_millis() as u64);
        if !is_due || self.oldest_at >= expired_before {
            return;
        }
        self.swept_at = now;
        let (mut count, mut oldest_at) = (0, now);
        self.by_place.retain(|_, names| {
            names.retain(|_, owners| {
                owners.retain(|_, at| *at >= expired_before);
                count += owners.len();
                oldest_at = owners.values().copied().fold(oldest_at, UnixMs::min);
                !owners.is_empty()
            });
            !names.is_empty()
        });
        (self.count, self.oldest_at) = (count, oldest_at);
    }
}
