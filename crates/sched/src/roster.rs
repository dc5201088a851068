//! Who the workers are, by their own reports in any order.

use jobs::definition::Resources;
use jobs::{Incarnation, InstanceId, PoolName, WorkerId};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// What a worker says of itself.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// The worker and its life.
    #[serde(rename = "life")]
    pub incarnation: Incarnation,
    /// Machine that it lives on.
    #[serde(rename = "machine")]
    pub instance: InstanceId,
    /// Where it takes orders.
    pub address: SocketAddr,
    /// Pool that it belongs to.
    pub pool: PoolName,
    /// Data centre that it is in.
    pub data_centre: String,
    /// Kind and rack.
    pub labels: Vec<String>,
    /// What it can run at one time.
    pub capacity: Resources,
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
pub struct Received {
    /// The report.
    pub report: Report,
    /// When it arrived here.
    pub received_at: Duration,
}

/// What a report is worth beside those before it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Freshness {
    /// It is overtaken.
    Stale,
    /// It says what was known.
    Unchanged,
    /// A new life, another state or another place.
    Changed,
}

/// Newest report of each worker.
#[derive(Clone, Debug, Default)]
pub struct Roster {
    workers: BTreeMap<WorkerId, Received>,
    /// Lives that said that they end.
    left: BTreeMap<WorkerId, (Incarnation, Duration)>,
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
    /// roster.expire(Duration::from_secs(1));
    /// ```
    pub fn record(&mut self, now: Duration, mut report: Report) -> Freshness {
        if self
            .left
            .get(&report.incarnation.worker)
            .is_some_and(|(incarnation, _)| *incarnation >= report.incarnation)
        {
            return Freshness::Stale;
        }
        let before = self.workers.get(&report.incarnation.worker);
        if let Some(Received { report: held, .. }) = before {
            let older = (report.incarnation.started_at, report.number)
                <= (held.incarnation.started_at, held.number);
            if older {
                return Freshness::Stale;
            }
            if held.incarnation == report.incarnation {
                // A life that drains never becomes ready again.
                report.draining |= held.draining;
            }
        }
        let replaced = |received: &Received| {
            received.report.address == report.address
                && received.report.incarnation.worker != report.incarnation.worker
        };
        if self.workers.values().any(|received| {
            replaced(received)
                && received.report.incarnation.started_at > report.incarnation.started_at
        }) {
            return Freshness::Stale; // a later life has the address already
        }
        let earlier = |received: &Received| {
            received.report.instance == report.instance
                && received.report.incarnation.started_at < report.incarnation.started_at
        };
        self.workers.retain(|_, received| !replaced(received) && !earlier(received));
        let news = self.workers.get(&report.incarnation.worker).is_none_or(|received| {
            let held = &received.report;
            held.incarnation != report.incarnation
                || held.draining != report.draining
                || held.address != report.address
                || held.pool != report.pool
        });
        self.workers
            .insert(report.incarnation.worker.clone(), Received { report, received_at: now });
        if news { Freshness::Changed } else { Freshness::Unchanged }
    }

    /// Takes in that a worker's present life ends.
    pub fn record_left(&mut self, now: Duration, worker: &WorkerId) -> Option<Incarnation> {
        let received = self.workers.remove(worker)?;
        let incarnation = received.report.incarnation;
        self.left.insert(worker.clone(), (incarnation.clone(), now));
        Some(incarnation)
    }

    /// Takes in that a life is known to be over.
    pub fn record_end(&mut self, now: Duration, incarnation: &Incarnation) {
        if self
            .workers
            .get(&incarnation.worker)
            .is_some_and(|received| received.report.incarnation == *incarnation)
        {
            self.workers.remove(&incarnation.worker);
        }
        self.left.insert(incarnation.worker.clone(), (incarnation.clone(), now));
    }

    /// Drops what has not been heard of for long.
    pub fn expire(&mut self, now: Duration) {
        self.workers.retain(|_, received| now < received.received_at + FORGET_AFTER);
        self.left.retain(|_, (_, at)| now < *at + FORGET_AFTER);
    }

    /// All workers by name.
    pub fn workers(&self) -> impl Iterator<Item = &Received> {
        self.workers.values()
    }

    /// A worker's newest report.
    pub fn get(&self, worker: &WorkerId) -> Option<&Received> {
        self.workers.get(worker)
    }
}
