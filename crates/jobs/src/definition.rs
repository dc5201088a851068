//! Orders: jobs as clients describe them.

use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Most units of one job; a larger one is refused as invalid.
pub const MAX_UNITS: u64 = 20_000;

/// A job as a client describes it.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Definition {
    /// Opaque text that every run is started with.
    pub spec: String,
    /// Steps, in the client's order.
    pub steps: Vec<Step>,
    /// Schedule of a job that occurs more than once.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub schedule: Option<Schedule>,
}

/// When a scheduled job occurs.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Schedule {
    /// Due time of the first occurrence.
    #[serde(rename = "first")]
    pub first_due: crate::UnixMs,
    /// Time between occurrences.
    pub interval: Duration,
    /// Number of occurrences.
    #[serde(rename = "times")]
    pub occurrences: u32,
}

/// A step of a job: units of work that are alike.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Step {
    /// Number of units.
    pub count: u32,
    /// What one unit takes of a worker.
    #[serde(rename = "room")]
    pub resources: Resources,
    /// The client's rough estimate of a unit's run time.
    pub estimate: Duration,
    /// Steps that have to be done before.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub after: Vec<u16>,
    /// Units save their progress.
    #[serde(skip_serializing_if = "is_false")]
    pub checkpointing: bool,
    /// All units run together or not at all.
    #[serde(skip_serializing_if = "is_false")]
    pub gang: bool,
    /// Units are slow when they are not all on one rack.
    #[serde(skip_serializing_if = "is_false")]
    pub same_rack: bool,
    /// Label that a worker must have.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub requires: Option<String>,
    /// Label of the rack where the data is; units are slow elsewhere.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub affinity: Option<String>,
    /// Most units of the step on one worker; 0 for no bound.
    #[serde(skip_serializing_if = "is_zero")]
    pub anti_affinity: u32,
    /// Copies of a unit may run in parallel.
    #[serde(skip_serializing_if = "is_false")]
    pub speculative: bool,
    /// Units run until the job is cancelled.
    #[serde(skip_serializing_if = "is_false")]
    #[serde(rename = "lasting")]
    pub long_running: bool,
    /// Name of what the units run; units of one image behave alike.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub image: Option<String>,
    /// Units serve users of their own, whose response times have to stay below.
    #[serde(skip_serializing_if = "Option::is_none")]
    #[serde(rename = "tail_target")]
    pub tail_latency_target: Option<Duration>,
    /// Units use only processor time that others leave.
    #[serde(skip_serializing_if = "is_false")]
    #[serde(rename = "filling")]
    pub best_effort: bool,
    /// Units that may be away at one time by the system's own acts.
    #[serde(skip_serializing_if = "Option::is_none")]
    #[serde(rename = "may_miss")]
    pub max_unavailable: Option<u32>,
}

fn is_false(value: &bool) -> bool {
    !value
}

fn is_zero(value: &u32) -> bool {
    *value == 0
}

impl Step {
    /// What one unit counts against a worker's capacity.
    pub fn reserved_resources(&self) -> Resources {
        let cpu_milli = if self.best_effort { 0 } else { self.resources.cpu_milli };
        Resources { cpu_milli, ..self.resources }
    }
}

/// Processor, memory and accelerators: of a worker, or taken by units.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Resources {
    /// Thousandths of a core.
    pub cpu_milli: u64,
    /// Mebibytes of memory.
    pub memory_mb: u64,
    /// Accelerators.
    pub accelerators: u64,
}

impl Resources {
    /// Whether something of size `other` fits.
    ///
    /// ```
    /// let resources = jobs::definition::Resources { cpu_milli: 500, memory_mb: 64, accelerators: 0 };
    /// assert!(resources.covers(&resources));
    /// assert!(!resources.minus(&resources).covers(&resources));
    /// ```
    pub fn covers(&self, other: &Resources) -> bool {
        self.cpu_milli >= other.cpu_milli
            && self.memory_mb >= other.memory_mb
            && self.accelerators >= other.accelerators
    }

    /// What is left after `other` is taken; nothing goes below zero.
    pub fn minus(&self, other: &Resources) -> Resources {
        Resources {
            cpu_milli: self.cpu_milli.saturating_sub(other.cpu_milli),
            memory_mb: self.memory_mb.saturating_sub(other.memory_mb),
            accelerators: self.accelerators.saturating_sub(other.accelerators),
        }
    }

    /// Both together.
    pub fn plus(&self, other: &Resources) -> Resources {
        Resources {
            cpu_milli: self.cpu_milli + other.cpu_milli,
            memory_mb: self.memory_mb + other.memory_mb,
            accelerators: self.accelerators + other.accelerators,
        }
    }
}

impl Definition {
    /// What is wrong with the order, if anything.
    ///
    /// ```
    /// assert!(jobs::Definition::default().field_error().unwrap().contains("steps"));
    /// ```
    pub fn field_error(&self) -> Option<String> {
        if self.steps.is_empty() {
            return Some("steps: is empty".to_string());
        }
        let units: u64 = self.steps.iter().map(|step| u64::from(step.count)).sum();
        if units > MAX_UNITS {
            return Some(format!("steps: {units} units are more than {MAX_UNITS}"));
        }
        for (number, step) in self.steps.iter().enumerate() {
            if step.count == 0 {
                return Some(format!("steps.{number}.count: must be at least 1"));
            }
            if step.after.iter().any(|before| usize::from(*before) >= number) {
                return Some(format!("steps.{number}.after: names a step that is not earlier"));
            }
        }
        None
    }

    /// Number of occurrences.
    pub fn occurrences(&self) -> u32 {
        self.schedule.as_ref().map_or(1, |schedule| schedule.occurrences)
    }

    /// Due time of an occurrence, if the job is scheduled.
    pub fn due(&self, occurrence: u32) -> Option<crate::UnixMs> {
        let schedule = self.schedule.as_ref()?;
        let interval = schedule.interval.as_millis() as u64;
        Some(schedule.first_due + u64::from(occurrence) * interval)
    }
}
