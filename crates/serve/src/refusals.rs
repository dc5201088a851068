//! Counts what a listener refuses, and logs it at a bounded rate.

use crate::budget::Budget;
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

/// Time between two log lines of a listener, whatever it refuses.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// What was refused or ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// A new connection, as no other one could give way.
    Connections,
    /// A connection that gave way to a new one.
    Evicted,
    /// A request without memory.
    Memory,
    /// A request that did not arrive in time, or whose response was not taken in time.
    Overdue,
}

impl Reason {
    fn name(self) -> &'static str {
        match self {
            Reason::Connections => "connections",
            Reason::Evicted => "evicted",
            Reason::Memory => "memory",
            Reason::Overdue => "overdue",
        }
    }
}

/// Counters of one listener.
pub struct Refusals {
    process_name: String,
    budget: Budget,
    log: Mutex<Log>,
}

#[derive(Default)]
struct Log {
    /// When the last line was written.
    at: Option<Instant>,
    /// Refusals since then.
    count: u64,
}

impl Refusals {
    /// Creates counters without refusals.
    pub fn new(process_name: String, budget: Budget) -> Refusals {
        Refusals { process_name, budget, log: Mutex::default() }
    }

    /// Counts a refusal, and logs it together with those that were not logged yet.
    pub fn record(&self, reason: Reason) {
        let (entry, name) = (self.process_name.clone(), reason.name());
        match reason {
            Reason::Connections => {
                metrics::counter!("connections_refused_total", "entry" => entry).increment(1)
            }
            Reason::Evicted => {
                metrics::counter!("connections_evicted_total", "entry" => entry).increment(1)
            }
            Reason::Memory | Reason::Overdue => {
                metrics::counter!("requests_rejected_total", "entry" => entry, "reason" => name)
                    .increment(1)
            }
        }
        let used_bytes = self.budget.used_bytes();
        metrics::gauge!("request_memory_bytes").set(used_bytes as f64);
        let now = Instant::now();
        let mut log = self.log.lock().unwrap_or_else(PoisonError::into_inner);
        log.count += 1;
        if log.at.is_some_and(|at| now.saturating_duration_since(at) < LOG_INTERVAL) {
            return;
        }
        let count = std::mem::take(&mut log.count);
        log.at = Some(now);
        let max_bytes = self.budget.max_bytes();
        log::warn!(
            "listener.refused reason={name} count={count} memory_bytes={used_bytes} \
             max_memory_bytes={max_bytes}"
        );
    }
}
