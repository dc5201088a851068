//! Targets known from their announcements. Builds the routing table from them and the
//! records, and finds moving instances that this entry can release.

use crate::health::Health;
use crate::table::{InFlight, Pool, Table, Target, Team};
use crate::target::{Announcement, Sighting, State};
use fleet::Fleet;
use record::{DataCentre, EntryId, InstanceId, Key, Kind, PoolId, TeamId};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

/// A moving instance that this entry can confirm it has released.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Releasable {
    /// Name of the instance.
    pub instance: InstanceId,
    /// Log index at which its move started.
    pub start_index: fleet::Index,
}

/// Last announcement of a target.
#[derive(Debug)]
struct KnownTarget {
    announcement: Announcement,
    /// When the target sent the announcement, on the clock of this entry.
    announced_at: Duration,
}

/// Targets of one data centre, as one entry knows them.
///
/// ```
/// use route::Directory;
/// use std::time::Duration;
/// let directory = Directory::new("dc1".into(), Duration::from_secs(5), Duration::from_secs(16));
/// assert_eq!(directory.len(), 0);
/// assert_eq!(directory.announce_interval(), Duration::from_secs(5));
/// ```
#[derive(Debug)]
pub struct Directory {
    data_centre: DataCentre,
    /// Shortest time between two announcements of a target.
    interval: Duration,
    /// Shortest silence after which a target expires.
    expiry: Duration,
    /// Entries of this data centre. They share the announcements and the slots of its
    /// targets.
    entry_count: u32,
    known: BTreeMap<InstanceId, KnownTarget>,
    /// Counters of this entry's requests, kept across rebuilds of the table.
    in_flight: BTreeMap<InstanceId, InFlight>,
    health: BTreeMap<InstanceId, IncarnationHealth>,
    withdrawn: BTreeMap<InstanceId, Withdrawn>,
}

/// Health of one incarnation of a target.
#[derive(Debug)]
struct IncarnationHealth {
    incarnation: u64,
    health: Arc<Health>,
}

/// A moving instance that the current routing table no longer contains.
#[derive(Debug)]
struct Withdrawn {
    /// Log index at which its move started.
    start_index: fleet::Index,
    /// When the first table without it came into use.
    since: Duration,
}

/// Maximum rate, per second, at which one entry receives announcements. Handling one
/// takes about 0.7 ms.
pub const ANNOUNCEMENTS_PER_SECOND: f64 = 5.0;
/// Announcements in a row that a target may miss before it expires.
const MAX_MISSED_ANNOUNCEMENTS: u32 = 3;

/// Longest time for which a request may still use a table that was replaced.
const TABLE_GRACE: Duration = Duration::from_millis(500);

impl Directory {
    /// Creates an empty directory. Targets announce themselves every `interval`; those
    /// that are silent for `expiry` get no new work. Both grow when there are so many
    /// targets that an entry would receive more than [`ANNOUNCEMENTS_PER_SECOND`].
    pub fn new(data_centre: DataCentre, interval: Duration, expiry: Duration) -> Directory {
        Directory {
            data_centre,
            interval,
            expiry,
            entry_count: 1,
            known: BTreeMap::new(),
            in_flight: BTreeMap::new(),
            health: BTreeMap::new(),
            withdrawn: BTreeMap::new(),
        }
    }

    /// Returns the time between two announcements of a target: the configured interval,
    /// or more to keep this entry at or below [`ANNOUNCEMENTS_PER_SECOND`].
    pub fn announce_interval(&self) -> Duration {
        let targets_per_entry = self.known.len() as f64 / f64::from(self.entry_count);
        self.interval.max(Duration::from_secs_f64(targets_per_entry / ANNOUNCEMENTS_PER_SECOND))
    }

    /// Returns the silence after which a target expires.
    fn max_silence(&self) -> Duration {
        self.expiry.max(self.announce_interval() * MAX_MISSED_ANNOUNCEMENTS)
    }

    /// Returns the number of targets that have announced themselves and not expired.
    pub fn len(&self) -> usize {
        self.known.len()
    }

    /// Returns whether no target is known.
    pub fn is_empty(&self) -> bool {
        self.known.is_empty()
    }

    /// Records an announcement that is `age` old. Returns whether the routing table
    /// must be rebuilt: the target is new, or its state, address or incarnation changed.
    /// An expired announcement, or one that is not newer than the last, is ignored.
    pub fn record_announcement(
        &mut self,
        now: Duration,
        age: Duration,
        announcement: Announcement,
    ) -> bool {
        let announced_at = now.saturating_sub(age);
        let is_current = age < self.max_silence();
        let Some(known) = self.known.get_mut(&announcement.instance) else {
            if is_current {
                let instance = announcement.instance.clone();
                self.known.insert(instance, KnownTarget { announcement, announced_at });
            }
            return is_current;
        };
        if !announcement.is_newer(&known.announcement) {
            return false;
        }
        let changed = known.announcement.state != announcement.state
            || known.announcement.address != announcement.address
            || known.announcement.incarnation != announcement.incarnation;
        *known = KnownTarget { announcement, announced_at };
        changed
    }

    /// Removes targets that have been silent too long. Returns whether there were any.
    pub fn expire(&mut self, now: Duration) -> bool {
        let before = self.known.len();
        let max_silence = self.max_silence();
        self.known.retain(|_, known| now < known.announced_at + max_silence);
        self.known.len() != before
    }

    /// Returns the last announcement of every known target with its age, for a peer in
    /// the same data centre.
    pub fn sightings(&self, now: Duration) -> Vec<Sighting> {
        self.known
            .values()
            .map(|known| Sighting {
                announcement: known.announcement.clone(),
                age: now.saturating_sub(known.announced_at),
            })
            .collect()
    }

    /// Returns the announcements made at `since` or later with their ages, for a peer in
    /// the same data centre.
    pub fn sightings_since(&self, now: Duration, since: Duration) -> Vec<Sighting> {
        let mut sightings = self.sightings(now);
        sightings.retain(|sighting| now.saturating_sub(sighting.age) >= since);
        sightings
    }

    /// Returns the last announcement of an instance, or `None` if it is not known.
    pub fn announcement(&self, instance: &str) -> Option<&Announcement> {
        self.known.get(instance).map(|known| &known.announcement)
    }

    /// Returns the pool that the records assign to an instance, or `None` if it has no
    /// pool or is in another data centre.
    pub fn pool(&self, fleet: &Fleet, instance: &str) -> Option<PoolId> {
        let placement = fleet.placements().get(instance)?;
        let is_local = placement.data_centre == self.data_centre;
        is_local.then(|| placement.pool.clone())
    }

    /// Builds the routing table from the serving targets of this data centre that the
    /// records assign to a pool and that are not being moved. The limit of each target is
    /// this entry's share of its slots or connections, whichever is lower.
    pub fn table(&mut self, fleet: &Fleet, ready: bool) -> Table {
        let entry_count = self.count_entries(fleet);
        self.entry_count = entry_count;
        let mut table = Table { ready, pools: pools(fleet), teams: teams(fleet, entry_count) };
        for known in self.known.values() {
            let announcement = &known.announcement;
            let instance = &announcement.instance;
            let Some(placement) = fleet.placements().get(instance) else { continue };
            let usable = placement.pending_move.is_none()
                && placement.data_centre == self.data_centre
                && announcement.state == State::Serving;
            if !usable {
                continue;
            }
            let Some(pool) = table.pools.get_mut(&placement.pool) else { continue };
            let key = Key::new(Kind::Instance, instance.clone());
            let Some(spec) = fleet.spec(&key).and_then(record::Spec::instance) else { continue };
            let max_limit = (spec.slots.min(spec.connections) / entry_count).max(1);
            pool.targets.push(Target {
                instance: instance.clone(),
                incarnation: announcement.incarnation,
                address: announcement.address,
                rack: spec.rack,
                in_flight: self.in_flight.entry(instance.clone()).or_default().clone(),
                health: health_of(&mut self.health, announcement, max_limit),
            });
        }
        table
    }

    /// Records that the routing table in use no longer contains the moving instances.
    /// An instance whose move started earlier keeps the time recorded for it.
    pub fn record_withdrawn(&mut self, fleet: &Fleet, now: Duration) {
        let mut moving = BTreeMap::new();
        for (instance, placement) in fleet.placements() {
            let Some(pending_move) = &placement.pending_move else { continue };
            let previous = self.withdrawn.remove(instance);
            let same_move =
                previous.filter(|withdrawn| withdrawn.start_index == pending_move.start_index);
            let new_move = Withdrawn { start_index: pending_move.start_index, since: now };
            moving.insert(instance.clone(), same_move.unwrap_or(new_move));
        }
        self.withdrawn = moving;
    }

    /// Returns the moving instances whose release this entry can confirm: they have been
    /// out of the table for `TABLE_GRACE`, this entry has no request in flight there,
    /// and the target has announced since then that it runs nothing, or has expired.
    pub fn releasable(&self, fleet: &Fleet, entry: &EntryId, now: Duration) -> Vec<Releasable> {
        let mut releasable = Vec::new();
        for (instance, withdrawn) in &self.withdrawn {
            let table_unused = now >= withdrawn.since + TABLE_GRACE;
            if table_unused
                && self.is_idle(instance, withdrawn.since + TABLE_GRACE)
                && fleet.missing_releases(instance).contains(entry)
            {
                let start_index = withdrawn.start_index;
                releasable.push(Releasable { instance: instance.clone(), start_index });
            }
        }
        releasable
    }

    /// Returns whether neither this entry nor the target, in an announcement at `since` or
    /// later, has a request in flight there. A target that is not known is idle.
    fn is_idle(&self, instance: &str, since: Duration) -> bool {
        let in_flight = self.in_flight.get(instance);
        let entry_idle = in_flight.is_none_or(|count| count.load(Ordering::Acquire) == 0);
        let target_idle = self
            .known
            .get(instance)
            .is_none_or(|known| known.announced_at >= since && known.announcement.in_flight == 0);
        entry_idle && target_idle
    }

    /// Returns the number of entries in this data centre, at least 1.
    fn count_entries(&self, fleet: &Fleet) -> u32 {
        let members = fleet.members().values();
        let local = members.filter(|member| member.data_centre == self.data_centre).count();
        (local as u32).max(1)
    }
}

/// Returns the health of the target's current incarnation. A new incarnation starts
/// healthy.
fn health_of(
    all: &mut BTreeMap<InstanceId, IncarnationHealth>,
    announcement: &Announcement,
    max_limit: u32,
) -> Arc<Health> {
    let incarnation = announcement.incarnation;
    let new_health = || IncarnationHealth { incarnation, health: Arc::new(Health::new(max_limit)) };
    let entry = all.entry(announcement.instance.clone()).or_insert_with(new_health);
    if entry.incarnation != incarnation {
        *entry = new_health();
    }
    entry.health.set_max_limit(max_limit);
    entry.health.clone()
}

/// Returns the teams by name, each with this entry's share of its quota.
fn teams(fleet: &Fleet, entry_count: u32) -> BTreeMap<TeamId, Team> {
    let mut teams = BTreeMap::new();
    for key in fleet.records().keys().filter(|key| key.kind == Kind::Team) {
        if let Some(record::Spec::TeamV1(spec)) = fleet.spec(key) {
            let quota_share = (spec.quota / entry_count).max(1);
            teams.insert(key.name.clone(), Team { quota_share, weight: spec.weight });
        }
    }
    teams
}

/// Returns the pools by name, with their number of instances and without targets.
fn pools(fleet: &Fleet) -> BTreeMap<PoolId, Pool> {
    let mut pools = BTreeMap::new();
    for key in fleet.records().keys().filter(|key| key.kind == Kind::Pool) {
        let Some(pool) = fleet.spec(key).and_then(record::Spec::pool) else { continue };
        pools.insert(key.name.clone(), Pool { spare: pool.spare, ..Pool::default() });
    }
    for placement in fleet.placements().values() {
        if let Some(pool) = pools.get_mut(&placement.pool) {
            pool.instance_count += 1;
        }
    }
    pools
}
