//! The newest report of each worker.
//!
//! Reports may arrive late, twice or out of order; stale ones are ignored. Wall clocks are set back,
//! so the start times that incarnations state don't order them: only the leader's polls show which
//! one is present.

use crate::crash::MAX_LOSS_AGE;
use jobs::definition::Resources;
use jobs::{Incarnation, InstanceId, PoolName, UnixMs, WorkerId};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
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
    /// Returns whether two reports of an incarnation agree in what may change while it runs and
    /// matters for orders to it.
    pub fn describes_same_worker(&self, other: &Report) -> bool {
        self.draining == other.draining
            && self.address == other.address
            && self.capacity == other.capacity
            && self.labels == other.labels
    }

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
    /// The report was not recorded: by its start time its incarnation is an earlier one than the
    /// newest, but it is not known to have ended. The leader has to poll the worker.
    Doubtful,
    /// The report confirms what was known.
    Unchanged,
    /// The report shows a new incarnation, draining state, address, capacity, pool or labels.
    Changed,
}

/// Which incarnation of a worker a notice of its end is of.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AnnouncedEnd {
    /// The present one, which is recorded as ended.
    OfPresent(Incarnation),
    /// An earlier one; the present one goes on.
    OfEarlier,
    /// No report of the worker is known.
    UnknownWorker,
}

/// Newest report of each worker.
#[derive(Clone, Debug, Default)]
pub struct Roster {
    workers: BTreeMap<WorkerId, Received>,
    /// Workers by their address and by their instance. Both hold at most a few for each, until
    /// the next report from there replaces the others.
    by_address: BTreeMap<SocketAddr, BTreeSet<WorkerId>>,
    by_instance: BTreeMap<InstanceId, BTreeSet<WorkerId>>,
    /// Last report of each incarnation that another one replaced, under the worker's id, at its
    /// address or on its instance, and when that was recorded.
    replaced: BTreeMap<WorkerId, Received>,
    /// Start times of the incarnations of each worker that announced their end or are known to have
    /// ended, and when that was recorded.
    ended: BTreeMap<WorkerId, BTreeMap<UnixMs, Duration>>,
    /// Start times of incarnations that have answered a poll and have not reported since, and when
    /// that was recorded.
    answered: BTreeMap<WorkerId, (UnixMs, Duration)>,
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
        if let Some(freshness) = self.compare_with_known(&report) {
            return freshness;
        }
        let previous = self.workers.get(&report.incarnation.worker);
        if let Some(Received { report: newest, .. }) = previous
            && newest.incarnation == report.incarnation
        {
            // An incarnation that drains never becomes ready again.
            report.draining |= newest.draining;
        }
        let own_id = &report.incarnation.worker;
        let started_at = report.incarnation.started_at;
        let others_at_address = ids_at(&self.by_address, &report.address, own_id);
        let is_later = |id: &WorkerId| {
            self.workers.get(id).is_some_and(|r| r.report.incarnation.started_at > started_at)
        };
        if others_at_address.iter().any(is_later) {
            return Freshness::Stale; // a later incarnation already has the address
        }
        let mut predecessors = ids_at(&self.by_instance, &report.instance, own_id);
        predecessors.retain(|id| {
            self.workers.get(id).is_some_and(|r| r.report.incarnation.started_at < started_at)
        });
        for id in others_at_address.iter().chain(&predecessors) {
            self.replace(now, id);
        }
        let changed = self.workers.get(&report.incarnation.worker).is_none_or(|received| {
            let newest = &received.report;
            newest.incarnation != report.incarnation
                || !newest.describes_same_worker(&report)
                || newest.pool != report.pool
        });
        let id = report.incarnation.worker.clone();
        match self.workers.get(&id) {
            Some(newest) if newest.report.incarnation != report.incarnation => {
                self.replace(now, &id);
            }
            _ => {
                self.remove(&id);
            }
        }
        self.by_address.entry(report.address).or_default().insert(id.clone());
        self.by_instance.entry(report.instance.clone()).or_default().insert(id.clone());
        self.answered.remove(&id);
        self.workers.insert(id, Received { report, received_at: now });
        if changed { Freshness::Changed } else { Freshness::Unchanged }
    }

    /// Compares a report with what is known under the worker's id. Returns `None` if the report is
    /// newer.
    fn compare_with_known(&self, report: &Report) -> Option<Freshness> {
        let Incarnation { worker, started_at } = &report.incarnation;
        let newest = self.workers.get(worker).map(|received| &received.report);
        let ended = self.ended.get(worker);
        if self.answered.get(worker).is_some_and(|(answered, _)| answered == started_at) {
            return None;
        }
        if ended.is_some_and(|ended| ended.contains_key(started_at)) {
            return Some(Freshness::Stale);
        }
        match newest {
            Some(newest) if newest.incarnation == report.incarnation => {
                (report.number <= newest.number).then_some(Freshness::Stale)
            }
            Some(newest) => {
                (*started_at < newest.incarnation.started_at).then_some(Freshness::Doubtful)
            }
            None => {
                let last_ended = ended.and_then(|ended| ended.last_key_value());
                last_ended.filter(|(ended, _)| started_at < *ended).map(|_| Freshness::Doubtful)
            }
        }
    }

    /// Records that an incarnation is the present one of its worker, since it has answered the
    /// leader's poll. Its next report is recorded, and those of the incarnation that was the newest
    /// are stale from now on.
    ///
    /// ```
    /// let mut roster = sched::Roster::default();
    /// let answered = jobs::Incarnation::new("w1", 5);
    /// roster.record_answer(std::time::Duration::ZERO, &answered);
    /// assert!(roster.get(&answered.worker).is_none(), "it has yet to report");
    /// ```
    pub fn record_answer(&mut self, now: Duration, answered: &Incarnation) {
        if let Some(ended) = self.ended.get_mut(&answered.worker) {
            ended.remove(&answered.started_at);
        }
        let newest = self.workers.get(&answered.worker).map(|r| r.report.incarnation.clone());
        if newest.as_ref() == Some(answered) {
            return;
        }
        self.answered.insert(answered.worker.clone(), (answered.started_at, now));
        if let Some(newest) = newest {
            self.replace(now, &newest.worker);
            self.record_end(now, &newest);
        }
    }

    /// Remembers that an incarnation has ended.
    fn record_end(&mut self, now: Duration, incarnation: &Incarnation) {
        let ended = self.ended.entry(incarnation.worker.clone()).or_default();
        ended.insert(incarnation.started_at, now);
    }

    /// Records that a worker announced the end of its present incarnation, unless the notice is of
    /// an earlier one. Notices name only the worker and may arrive late; but a worker drains before
    /// it leaves.
    ///
    /// ```
    /// use sched::roster::AnnouncedEnd;
    /// let mut roster = sched::Roster::default();
    /// let end = roster.record_announced_end(std::time::Duration::ZERO, &"w1".to_string());
    /// assert_eq!(end, AnnouncedEnd::UnknownWorker);
    /// ```
    pub fn record_announced_end(&mut self, now: Duration, worker: &WorkerId) -> AnnouncedEnd {
        if self.has_left_before(worker) {
            return AnnouncedEnd::OfEarlier;
        }
        let Some(received) = self.remove(worker) else { return AnnouncedEnd::UnknownWorker };
        let incarnation = received.report.incarnation;
        self.record_end(now, &incarnation);
        AnnouncedEnd::OfPresent(incarnation)
    }

    /// Whether an earlier incarnation of a worker was about to leave or has ended, and the present
    /// one does not drain.
    fn has_left_before(&self, worker: &WorkerId) -> bool {
        let Some(Received { report: present, .. }) = self.workers.get(worker) else { return false };
        let was_leaving = self.replaced.get(worker).is_some_and(|earlier| earlier.report.draining);
        let has_ended = self.ended.contains_key(worker);
        !present.draining && (was_leaving || has_ended)
    }

    /// Records that an incarnation is known to have ended.
    pub fn record_known_end(&mut self, now: Duration, incarnation: &Incarnation) {
        if self
            .workers
            .get(&incarnation.worker)
            .is_some_and(|received| received.report.incarnation == *incarnation)
        {
            self.remove(&incarnation.worker);
        }
        self.record_end(now, incarnation);
    }

    /// Drops workers that have not reported for `REPORT_EXPIRY`, and ended incarnations
    /// after the same time.
    pub fn expire(&mut self, now: Duration) {
        let is_expired = |received: &Received| now >= received.received_at + REPORT_EXPIRY;
        let expired: Vec<WorkerId> = self
            .workers
            .iter()
            .filter(|(_, received)| is_expired(received))
            .map(|(id, _)| id.clone())
            .collect();
        for id in expired {
            self.remove(&id);
        }
        self.replaced.retain(|_, received| now < received.received_at + MAX_LOSS_AGE);
        self.answered.retain(|_, (_, answered_at)| now < *answered_at + REPORT_EXPIRY);
        self.ended.retain(|_, ended| {
            ended.retain(|_, ended_at| now < *ended_at + REPORT_EXPIRY);
            !ended.is_empty()
        });
    }

    /// Removes a worker that another incarnation replaces.
    fn replace(&mut self, now: Duration, id: &WorkerId) {
        if let Some(Received { report, .. }) = self.remove(id) {
            self.replaced.insert(id.clone(), Received { report, received_at: now });
        }
    }

    /// Removes a worker and its entries in the indexes.
    fn remove(&mut self, id: &WorkerId) -> Option<Received> {
        let received = self.workers.remove(id)?;
        remove_id(&mut self.by_address, &received.report.address, id);
        remove_id(&mut self.by_instance, &received.report.instance, id);
        Some(received)
    }

    /// Returns all workers, ordered by name.
    pub fn workers(&self) -> impl ExactSizeIterator<Item = &Received> {
        self.workers.values()
    }

    /// Returns the last reports of incarnations that others have replaced since, ordered by name.
    ///
    /// ```
    /// assert_eq!(sched::Roster::default().replaced().count(), 0);
    /// ```
    pub fn replaced(&self) -> impl Iterator<Item = &Report> {
        self.replaced.values().map(|received| &received.report)
    }

    /// Returns a worker's newest report.
    pub fn get(&self, worker: &WorkerId) -> Option<&Received> {
        self.workers.get(worker)
    }
}

/// Returns the other workers that an index has under a key.
fn ids_at<K: Ord>(
    index: &BTreeMap<K, BTreeSet<WorkerId>>,
    key: &K,
    own: &WorkerId,
) -> Vec<WorkerId> {
    index.get(key).into_iter().flatten().filter(|id| *id != own).cloned().collect()
}

/// Removes a worker from an index.
fn remove_id<K: Ord>(index: &mut BTreeMap<K, BTreeSet<WorkerId>>, key: &K, id: &WorkerId) {
    if let Some(ids) = index.get_mut(key) {
        ids.remove(id);
        if ids.is_empty() {
            index.remove(key);
        }
    }
}
