//! What is known of the cloud's instances, and since when.
//!
//! The cloud's lists, its answers to orders and the reports of workers arrive in any order. Each
//! tells of an instance as it was at some time after it was asked for, or when it arrived; what is
//! known from a later time holds.

use crate::instance::{Instance, State};
use jobs::{InstanceId, PoolName, WorkerId};
use std::collections::BTreeMap;
use std::time::Duration;

/// Instances by the newest of what was told of each.
#[derive(Clone, Debug, Default)]
pub struct Inventory {
    instances: BTreeMap<InstanceId, Instance>,
    /// What reports and answers have told since the newest list was asked for, also of instances
    /// that no list has shown yet.
    changes: BTreeMap<InstanceId, Change>,
    /// When the newest list was asked for; `None` before the first one.
    asked_at: Option<Duration>,
}

/// What a report or an answer tells of an instance.
#[derive(Clone, Debug)]
struct Change {
    at: Duration,
    pool: PoolName,
    state: State,
    worker: Option<WorkerId>,
}

impl Change {
    fn apply(&self, instance: &mut Instance) {
        instance.pool = self.pool.clone();
        instance.state = self.state;
        instance.worker = self.worker.clone();
    }
}

impl Inventory {
    /// Takes over a list that was asked for at `asked_at`, except for what is known from a later
    /// time. Returns the former instances; `None` if a newer list is known.
    ///
    /// ```
    /// use std::time::Duration;
    /// let mut inventory = sched::inventory::Inventory::default();
    /// assert!(inventory.record_list(Duration::from_secs(2), Vec::new()).is_some());
    /// assert!(inventory.record_list(Duration::from_secs(1), Vec::new()).is_none());
    /// ```
    pub fn record_list(
        &mut self,
        asked_at: Duration,
        list: Vec<Instance>,
    ) -> Option<BTreeMap<InstanceId, Instance>> {
        if self.asked_at.is_some_and(|newest| asked_at < newest) {
            return None;
        }
        self.asked_at = Some(asked_at);
        self.changes.retain(|_, change| change.at > asked_at);
        let listed = list.into_iter().map(|instance| (instance.id.clone(), instance)).collect();
        let former = std::mem::replace(&mut self.instances, listed);
        for (id, change) in &self.changes {
            if let Some(known) = former.get(id) {
                self.instances.entry(id.clone()).or_insert_with(|| known.clone());
            }
            if let Some(instance) = self.instances.get_mut(id) {
                change.apply(instance);
            }
        }
        Some(former)
    }

    /// Records that an instance is on its way to a pool, by an answer that arrives at `now`.
    pub fn record_move(&mut self, now: Duration, id: &InstanceId, pool: &PoolName) {
        let (pool, state) = (pool.clone(), State::Moving);
        self.record(id, Change { at: now, pool, state, worker: None });
    }

    /// Records that a worker reports from an instance, by a report that arrives at `now`.
    pub fn record_worker(
        &mut self,
        now: Duration,
        id: &InstanceId,
        pool: &PoolName,
        worker: &WorkerId,
    ) {
        let (pool, worker) = (pool.clone(), Some(worker.clone()));
        self.record(id, Change { at: now, pool, state: State::Up, worker });
    }

    fn record(&mut self, id: &InstanceId, change: Change) {
        if let Some(instance) = self.instances.get_mut(id) {
            change.apply(instance);
        }
        self.changes.insert(id.clone(), change);
    }

    /// Returns when the newest list was asked for; `None` before the first one.
    ///
    /// ```
    /// assert_eq!(sched::inventory::Inventory::default().asked_at(), None);
    /// ```
    pub fn asked_at(&self) -> Option<Duration> {
        self.asked_at
    }

    /// Returns whether a report or an answer has told of an instance since the newest list was asked
    /// for.
    pub fn has_changed(&self, id: &InstanceId) -> bool {
        self.changes.contains_key(id)
    }

    /// Returns the instances of which a report or an answer has told since the newest list was asked
    /// for, in order.
    pub fn changed(&self) -> impl Iterator<Item = &InstanceId> {
        self.changes.keys()
    }

    /// Returns an instance; `None` if it is not known.
    pub fn get(&self, id: &InstanceId) -> Option<&Instance> {
        self.instances.get(id)
    }

    /// Returns whether an instance is known.
    pub fn contains(&self, id: &InstanceId) -> bool {
        self.instances.contains_key(id)
    }

    /// Returns the ids of all instances, in order.
    pub fn ids(&self) -> impl Iterator<Item = &InstanceId> {
        self.instances.keys()
    }

    /// Returns all instances, ordered by id.
    pub fn instances(&self) -> impl Iterator<Item = &Instance> {
        self.instances.values()
    }
}
