//! Maintenance waves: machines that are due for upkeep.

use crate::{MachineId, UnixMs, WaveId};
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
    pub cap: u32,
    /// When it was accepted.
    pub since: UnixMs,
    /// Its machines and how far each is.
    pub machines: BTreeMap<MachineId, Upkeep>,
    /// When the lives began that the upkeep of their machines ends.
    #[serde(default)]
    pub lives: BTreeMap<MachineId, UnixMs>,
}

/// How far a machine's upkeep is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Upkeep {
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
    /// let machines = ["m1".to_string()].into();
    /// let wave = jobs::Wave::new(1, machines, std::time::Duration::from_secs(20), 1, 0);
    /// assert!(!wave.is_completed());
    /// ```
    pub fn new(
        id: WaveId,
        machines: BTreeSet<MachineId>,
        duration: Duration,
        cap: u32,
        since: UnixMs,
    ) -> Wave {
        let machines = machines.into_iter().map(|machine| (machine, Upkeep::Due)).collect();
        Wave { id, duration, cap, since, machines, lives: BTreeMap::new() }
    }

    /// Whether every machine that stays has had its upkeep.
    pub fn is_completed(&self) -> bool {
        self.machines.values().all(|upkeep| matches!(upkeep, Upkeep::Done | Upkeep::Gone))
    }

    /// Machines that are, or may be, down for the wave.
    pub fn down(&self) -> usize {
        let down = |upkeep: &&Upkeep| matches!(upkeep, Upkeep::Ordered | Upkeep::Begun);
        self.machines.values().filter(down).count()
    }
}
