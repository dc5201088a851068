//! Who the workers are, by their own reports in any order.

use jobs::order::Room;
use jobs::{Life, MachineId, PoolName, WorkerId};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// What a worker says of itself.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// The worker and its life.
    pub life: Life,
    /// Machine that it lives on.
    pub machine: MachineId,
    /// Where it takes orders.
    pub address: SocketAddr,
    /// Pool that it belongs to.
    pub pool: PoolName,
    /// Data centre that it is in.
    pub data_centre: String,
    /// Kind and rack.
    pub labels: Vec<String>,
    /// What it can run at one time.
    pub capacity: Room,
    /// Whether it is about to leave.
    pub draining: bool,
    /// Shortest time until it leaves, while it drains.
    pub remaining: Option<Duration>,
    /// Order of the reports of one life.
    pub number: u64,
}

impl Report {
    /// Label of the rack, by the order of labels.
    pub fn rack(&self) -> Option<&String> {
        self.labels.get(1)
    }
}

/// A report, and when it was heard.
#[derive(Clone, Debug, PartialEq)]
pub struct Heard {
    /// The report.
    pub report: Report,
    /// When it arrived here.
    pub at: Duration,
}

/// What a report is worth beside those before it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Hearing {
    /// It is overtaken.
    Old,
    /// It says what was known.
    Same,
    /// A new life, another state or another place.
    News,
}

/// Newest report of each worker.
#[derive(Clone, Debug, Default)]
pub struct Roster {
    workers: BTreeMap<WorkerId, Heard>,
    /// Lives that said that they end.
    left: BTreeMap<WorkerId, (Life, Duration)>,
}

/// Silence after which a worker's report is dropped.
const FORGET_AFTER: Duration = Duration::from_secs(20);

impl Roster {
    /// Takes in a report.
    ///
    /// ```
    /// use std::time::Duration;
    /// let mut roster = sched::Roster::default();
    /// assert!(roster.workers().next().is_none());
    /// roster.forget(Duration::from_secs(1));
    /// ```
    pub fn hear(&mut self, now: Duration, mut report: Report) -> Hearing {
        if self.left.get(&report.life.worker).is_some_and(|(life, _)| *life >= report.life) {
            return Hearing::Old;
        }
        let before = self.workers.get(&report.life.worker);
        if let Some(Heard { report: held, .. }) = before {
            let older = (report.life.born, report.number) <= (held.life.born, held.number);
            if older {
                return Hearing::Old;
            }
            if held.life == report.life {
                // A life that drains never becomes ready again.
                report.draining |= held.draining;
            }
        }
        let replaced = |heard: &Heard| {
            heard.report.address == report.address && heard.report.life.worker != report.life.worker
        };
        if self
            .workers
            .values()
            .any(|heard| replaced(heard) && heard.report.life.born > report.life.born)
        {
            return Hearing::Old; // a later life has the address already
        }
        let earlier = |heard: &Heard| {
            heard.report.machine == report.machine && heard.report.life.born < report.life.born
        };
        self.workers.retain(|_, heard| !replaced(heard) && !earlier(heard));
        let news = self.workers.get(&report.life.worker).is_none_or(|heard| {
            let held = &heard.report;
            held.life != report.life
                || held.draining != report.draining
                || held.address != report.address
                || held.pool != report.pool
        });
        self.workers.insert(report.life.worker.clone(), Heard { report, at: now });
        if news { Hearing::News } else { Hearing::Same }
    }

    /// Takes in that a worker's present life ends.
    pub fn leave(&mut self, now: Duration, worker: &WorkerId) -> Option<Life> {
        let heard = self.workers.remove(worker)?;
        let life = heard.report.life;
        self.left.insert(worker.clone(), (life.clone(), now));
        Some(life)
    }

    /// Takes in that a life is known to be over.
    pub fn end(&mut self, now: Duration, life: &Life) {
        if self.workers.get(&life.worker).is_some_and(|heard| heard.report.life == *life) {
            self.workers.remove(&life.worker);
        }
        self.left.insert(life.worker.clone(), (life.clone(), now));
    }

    /// Drops what has not been heard of for long.
    pub fn forget(&mut self, now: Duration) {
        self.workers.retain(|_, heard| now < heard.at + FORGET_AFTER);
        self.left.retain(|_, (_, at)| now < *at + FORGET_AFTER);
    }

    /// All workers by name.
    pub fn workers(&self) -> impl Iterator<Item = &Heard> {
        self.workers.values()
    }

    /// A worker's newest report.
    pub fn get(&self, worker: &WorkerId) -> Option<&Heard> {
        self.workers.get(worker)
    }
}
