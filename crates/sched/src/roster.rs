//! The newest report of each worker.
//!
//! Reports may arrive late, twice or out of order; stale ones are ignored.

use jobs::definition::Resources;
use jobs::{Incarnation, InstanceId, PoolName, WorkerId};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// A worker's description of itself.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// Worker and incarnation that report.
    #[serde(rename = "life")]
    pub incarnation: Incarnation,
    /// Instance that the worker runs on.
    #[serde(rename = "machine")]
    pub instance: InstanceId,
    /// Address at which the worker accepts orders.
    pub address: SocketAddr,
    /// Pool that the instance belongs to.
    pub pool: PoolName,
    /// Data centre of the instance.
    pub data_centre: String,
    /// Labels of the instance: its kind, then its rack.
    pub labels: Vec<String>,
    /// Resources that its runs may use together.
    pub capacity: Resources,
    /// Whether the worker is about to leave and takes no new work.
    pub draining: bool,
    /// Shortest time until it leaves, if known; only while draining.
    pub remaining: Option<Duration>,
    /// Sequence number of the report within the incarnation.
    pub number: u64,
}

impl Report {
    /// Returns the label of the rack, which is the second label.
    pub fn rack(&self) -> Option<&String> {
        self.labels.get(1)
    }
}

/// A report with its time of arrival.
#[derive(Clone, Debug, PartialEq)]
pub struct Received {
    /// The report.
    pub report: Report,
    /// When the report arrived at this process.
    pub received_at: Duration,
}

/// Result of comparing a report with the earlier ones.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Freshness {
    /// The report is out of date and was ignored.
    Stale,
    /// The report confirms what was known.
    Unchanged,
    /// The report shows a new incarnation, draining state, address or pool.
    Changed,
}

/// Newest report of each worker.
#[derive(Clone, Debug, Default)]
pub struct Roster {
    workers: BTreeMap<WorkerId, Received>,
    /// Last incarnation of each worker that announced its end or is known to have ended,
    /// and when that was recorded.
    ended: BTreeMap<WorkerId, (Incarnation, Duration)>,
}

/// Time without a new report after which a worker is dropped; also how long ended
/// incarnations are remembered.
const REPORT_EXPIRY: Duration = Duration::from_secs(20);

impl Roster {
    /// Records a report unless it is stale. A new incarnation replaces earlier ones on
    /// the same instance or address.
    ///
    /// ```
    /// use std::time::Duration;
    /// let mut roster = sched::Roster::default();
    /// assert!(roster.workers().next().is_none());
    /// roster.expire(Duration::from_secs(1));
    /// ```
    pub fn record(&mut self, now: Duration, mut report: Report) -> Freshness {
        if self
            .ended
            .get(&report.incarnation.worker)
            .is_some_and(|(incarnation, _)| *incarnation >= report.incarnation)
        {
            return Freshness::Stale;
        }
        let previous = self.workers.get(&report.incarnation.worker);
        if let Some(Received { report: newest, .. }) = previous {
            let stale = (report.incarnation.started_at, report.number)
                <= (newest.incarnation.started_at, newest.number);
            if stale {
                return Freshness::Stale;
            }
            if newest.incarnation == report.incarnation {
                // An incarnation that drains never becomes ready again.
                report.draining |= newest.draining;
            }
        }
        let has_same_address = |received: &Received| {
            received.report.address == report.address
                && received.report.incarnation.worker != report.incarnation.worker
        };
        if self.workers.values().any(|received| {
            has_same_address(received)
                && received.report.incarnation.started_at > report.incarnation.started_at
        }) {
            return Freshness::Stale; // a later incarnation already has the address
        }
        let is_predecessor = |received: &Received| {
            received.report.instance == report.instance
                && received.report.incarnation.started_at < report.incarnation.started_at
        };
        self.workers.retain(|_, received| !has_same_address(received) && !is_predecessor(received));
        let changed = self.workers.get(&report.incarnation.worker).is_none_or(|received| {
            let newest = &received.report;
            newest.incarnation != report.incarnation
                || newest.draining != report.draining
                || newest.address != report.address
                || newest.pool != report.pool
        });
        self.workers
            .insert(report.incarnation.worker.clone(), Received { report, received_at: now });
        if changed { Freshness::Changed } else { Freshness::Unchanged }
    }

    /// Records that a worker announced the end of its present incarnation, and returns
    /// the incarnation; `None` if the worker is unknown.
    pub fn record_announced_end(
        &mut self,
        now: Duration,
        worker: &WorkerId,
    ) -> Option<Incarnation> {
        let received = self.workers.remove(worker)?;
        let incarnation = received.report.incarnation;
        self.ended.insert(worker.clone(), (incarnation.clone(), now));
        Some(incarnation)
    }

    /// Records that an incarnation is known to have ended.
    pub fn record_known_end(&mut self, now: Duration, incarnation: &Incarnation) {
        if self
            .workers
            .get(&incarnation.worker)
            .is_some_and(|received| received.report.incarnation == *incarnation)
        {
            self.workers.remove(&incarnation.worker);
        }
        self.ended.insert(incarnation.worker.clone(), (incarnation.clone(), now));
    }

    /// Drops workers that have not reported for `REPORT_EXPIRY`, and ended incarnations
    /// after the same time.
    pub fn expire(&mut self, now: Duration) {
        self.workers.retain(|_, received| now < received.received_at + REPORT_EXPIRY);
        self.ended.retain(|_, (_, ended_at)| now < *ended_at + REPORT_EXPIRY);
    }

    /// Returns all workers, ordered by name.
    pub fn workers(&self) -> impl ExactSizeIterator<Item = &Received> {
        self.workers.values()
    }

    /// Returns a worker's newest report.
    pub fn get(&self, worker: &WorkerId) -> Option<&Received> {
        self.workers.get(worker)
    }
}
