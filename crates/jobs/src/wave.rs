//! Maintenance waves: operators' requests to maintain a number of instances.

use crate::{Incarnation, InstanceId, UnixMs, WaveId};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// A maintenance wave: the operator's request and its progress.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Wave {
    /// Number of the wave, given by the operator.
    pub id: WaveId,
    /// Time from acceptance within which all maintenance should be done.
    pub duration: Duration,
    /// Maximum number of instances that may be down for the wave at one time.
    #[serde(rename = "cap")]
    pub max_unavailable: u32,
    /// When the wave was accepted.
    #[serde(rename = "since")]
    pub accepted_at: UnixMs,
    /// Maintenance phase of each instance.
    #[serde(rename = "machines")]
    pub instances: BTreeMap<InstanceId, Phase>,
    /// Start of the worker's incarnation that the maintenance ends, for each instance
    /// where the leader knows it.
    #[serde(default)]
    #[serde(rename = "lives")]
    pub worker_started_at: BTreeMap<InstanceId, UnixMs>,
    /// Incarnation that was on each instance when its maintenance was about to be ordered, where the
    /// leader knew it. Any order ends it, by whichever leader.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub ends: BTreeMap<InstanceId, Incarnation>,
}

/// Maintenance phase of an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Phase {
    /// The maintenance has not begun.
    Due,
    /// The maintenance may have begun: the order is about to be sent, or its outcome is
    /// unknown.
    Ordered,
    /// The cloud has confirmed that the maintenance has begun.
    Begun,
    /// The maintenance is done.
    Done,
    /// The instance no longer exists.
    Gone,
}

impl Wave {
    /// Creates a wave with all instances due.
    ///
    /// ```
    /// let instances = ["m1".to_string()].into();
    /// let wave = jobs::Wave::new(1, instances, std::time::Duration::from_secs(20), 1, 0);
    /// assert!(!wave.is_completed());
    /// ```
    pub fn new(
        id: WaveId,
        instances: BTreeSet<InstanceId>,
        duration: Duration,
        max_unavailable: u32,
        accepted_at: UnixMs,
    ) -> Wave {
        let instances = instances.into_iter().map(|instance| (instance, Phase::Due)).collect();
        Wave {
            id,
            duration,
            max_unavailable,
            accepted_at,
            instances,
            worker_started_at: BTreeMap::new(),
            ends: BTreeMap::new(),
        }
    }

    /// Returns whether every instance that still exists has been maintained.
    pub fn is_completed(&self) -> bool {
        self.instances.values().all(|phase| matches!(phase, Phase::Done | Phase::Gone))
    }

    /// Returns the number of instances that are, or may be, down for the wave.
    pub fn down_count(&self) -> usize {
        let down = |phase: &&Phase| matches!(phase, Phase::Ordered | Phase::Begun);
        self.instances.values().filter(down).count()
    }
}
