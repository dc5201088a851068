//! Definitions: jobs as clients describe them.

use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Maximum number of units of one job; larger jobs are rejected as invalid.
pub const MAX_UNITS: u64 = 20_000;

/// Maximum number of occurrences of a scheduled job; each of them waits in the leader's memory.
pub const MAX_OCCURRENCES: u32 = 100_000;
/// Longest declared run time and longest interval between occurrences. Sums over all units of a job
/// stay far below what a duration can hold.
pub const MAX_DURATION: Duration = Duration::from_secs(366 * 86_400);
/// Latest due time: the end of the year 9999.
pub const MAX_DUE: crate::UnixMs = 253_402_300_799_999;
/// Most of each resource that one unit may use. Sums over all units of a job stay within 64 bits.
pub const MAX_RESOURCE: u64 = 1 << 40;

/// A job as a client describes it.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Definition {
    /// Opaque text that every run receives at its start.
    pub spec: String,
    /// Steps; each may depend only on earlier ones.
    pub steps: Vec<Step>,
    /// Schedule of a recurring job; `None` for a job that runs once.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub schedule: Option<Schedule>,
}

/// Due times of a recurring job.
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

impl Schedule {
    /// Returns the first violation in the schedule, or `None` if it is valid.
    fn field_error(&self) -> Option<String> {
        if self.occurrences > MAX_OCCURRENCES {
            return Some(format!("the job repeats more than {MAX_OCCURRENCES} times"));
        }
        if self.interval > MAX_DURATION {
            let days = MAX_DURATION.as_secs() / 86_400;
            return Some(format!("the interval is more than {days} days"));
        }
        (self.first_due > MAX_DUE).then(|| "the first run is after the year 9999".to_string())
    }
}

/// A step of a job: a number of identical units of work.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Step {
    /// Number of units.
    pub count: u32,
    /// Resources that one unit uses.
    #[serde(rename = "room")]
    pub resources: Resources,
    /// Declared run time of a unit, a rough estimate by the client.
    pub estimate: Duration,
    /// Numbers of the steps that have to be done first.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub after: Vec<u16>,
    /// Whether units save checkpoints and can resume from them.
    #[serde(skip_serializing_if = "is_false")]
    pub checkpointing: bool,
    /// Whether all units have to run at the same time.
    #[serde(skip_serializing_if = "is_false")]
    pub gang: bool,
    /// Whether units are slow unless all of them run on one rack.
    #[serde(skip_serializing_if = "is_false")]
    pub same_rack: bool,
    /// Label that a worker must have; `None` for any worker.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub requires: Option<String>,
    /// Label of the rack that holds the data, away from which units are slow; `None` for no
    /// preference.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub affinity: Option<String>,
    /// Maximum number of units of the step on one worker; 0 for no limit.
    #[serde(skip_serializing_if = "is_zero")]
    pub anti_affinity: u32,
    /// Whether copies of a unit may run in parallel.
    #[serde(skip_serializing_if = "is_false")]
    pub speculative: bool,
    /// Whether units run until the job is cancelled.
    #[serde(skip_serializing_if = "is_false")]
    #[serde(rename = "lasting")]
    pub long_running: bool,
    /// Name of the program that the units run; units with the same image behave alike.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub image: Option<String>,
    /// Upper bound for the tail latency of units that serve requests; `None` for other
    /// units.
    #[serde(skip_serializing_if = "Option::is_none")]
    #[serde(rename = "tail_target")]
    pub tail_latency_target: Option<Duration>,
    /// Whether units use only otherwise idle processor time.
    #[serde(skip_serializing_if = "is_false")]
    #[serde(rename = "filling")]
    pub best_effort: bool,
    /// Maximum number of units that the system itself may keep from running at one time,
    /// for example for maintenance; `None` for no limit.
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
    /// Returns the resources that one unit reserves on a worker; best-effort units reserve
    /// no processor time.
    pub fn reserved_resources(&self) -> Resources {
        let cpu_milli = if self.best_effort { 0 } else { self.resources.cpu_milli };
        Resources { cpu_milli, ..self.resources }
    }
}

/// Processor, memory and accelerators that a worker offers or units use.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Resources {
    /// Processor time in thousandths of a core.
    pub cpu_milli: u64,
    /// Memory in MiB.
    pub memory_mb: u64,
    /// Number of accelerators.
    pub accelerators: u64,
}

impl Resources {
    /// Returns whether `other` fits into these resources.
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

    /// Subtracts `other` from each resource, stopping at 0.
    pub fn minus(&self, other: &Resources) -> Resources {
        Resources {
            cpu_milli: self.cpu_milli.saturating_sub(other.cpu_milli),
            memory_mb: self.memory_mb.saturating_sub(other.memory_mb),
            accelerators: self.accelerators.saturating_sub(other.accelerators),
        }
    }

    /// Returns the larger amount of each resource.
    ///
    /// ```
    /// use jobs::definition::Resources;
    /// let resources = |cpu_milli, memory_mb| Resources { cpu_milli, memory_mb, accelerators: 0 };
    /// assert_eq!(resources(500, 64).larger(&resources(250, 128)), resources(500, 128));
    /// ```
    pub fn larger(&self, other: &Resources) -> Resources {
        Resources {
            cpu_milli: self.cpu_milli.max(other.cpu_milli),
            memory_mb: self.memory_mb.max(other.memory_mb),
            accelerators: self.accelerators.max(other.accelerators),
        }
    }

    /// Adds `other` to each resource, stopping at the largest number.
    pub fn plus(&self, other: &Resources) -> Resources {
        Resources {
            cpu_milli: self.cpu_milli.saturating_add(other.cpu_milli),
            memory_mb: self.memory_mb.saturating_add(other.memory_mb),
            accelerators: self.accelerators.saturating_add(other.accelerators),
        }
    }
}

impl Definition {
    /// Returns the first violation in the definition with the field's path, or `None` if
    /// it is valid.
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
            if step.estimate > MAX_DURATION {
                let days = MAX_DURATION.as_secs() / 86_400;
                return Some(format!("steps.{number}: the run time is more than {days} days"));
            }
            let Resources { cpu_milli, memory_mb, accelerators } = step.resources;
            if cpu_milli.max(memory_mb).max(accelerators) > MAX_RESOURCE {
                return Some(format!("steps.{number}: a resource is more than {MAX_RESOURCE}"));
            }
        }
        self.schedule.as_ref().and_then(Schedule::field_error)
    }

    /// Returns the number of occurrences; 1 without a schedule.
    pub fn occurrences(&self) -> u32 {
        self.schedule.as_ref().map_or(1, |schedule| schedule.occurrences)
    }

    /// Returns the due time of an occurrence; `None` without a schedule.
    pub fn due(&self, occurrence: u32) -> Option<crate::UnixMs> {
        let schedule = self.schedule.as_ref()?;
        let interval = schedule.interval.as_millis() as u64;
        Some(schedule.first_due.saturating_add(u64::from(occurrence).saturating_mul(interval)))
    }
}
