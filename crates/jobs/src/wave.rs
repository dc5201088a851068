//! Maintenance waves: machines that are due for upkeep.

use crate::{InstanceId, UnixMs, WaveId};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// A wave as the operator asked for it, and how far it is.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Wave {
    /// Number that the operator gave.
    pub id: WaveId,
    /// Time in which all machines should have had their upkeep.
    pub duration: Duration,
    /// Most machines that may be down for it at one time.
    #[serde(rename = "cap")]
    pub max_unavailable: u32,
    /// When it was accepted.
    #[serde(rename = "since")]
    pub accepted_at: UnixMs,
    /// Its machines and how far each is.
    #[serde(rename = "machines")]
    pub instances: BTreeMap<InstanceId, Phase>,
    /// When the lives began that the upkeep of their machines ends.
    #[serde(default)]
    #[serde(rename = "lives")]
    pub worker_started_at: BTreeMap<InstanceId, UnixMs>,
}

/// How far a machine's upkeep is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Phase {
    /// Not begun.
    Due,
    /// May have begun; the order is about to be given, or had no clear answer.
    Ordered,
    /// Has begun, by the cloud's word.
    Begun,
    /// Over.
    Done,
    /// The machine does not exist any more.
    Gone,
}

impl Wave {
    /// A wave none of whose machines has begun.
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
        }
    }

    /// Whether every machine that stays has had its upkeep.
    pub fn is_completed(&self) -> bool {
        self.instances.values().all(|phase| matches!(phase, Phase::Done | Phase::Gone))
    }

    /// Machines that are, or may be, down for the wave.
    pub fn down_count(&self) -> usize {
        let down = |phase: &&Phase| matches!(phase, Phase::Ordered | Phase::Begun);
        self.instances.values().filter(down).count()
    }
}
