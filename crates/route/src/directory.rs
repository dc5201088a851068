//! Targets that were heard of, and the routing table that follows from them and
//! from the records.

use crate::health::Health;
use crate::table::{InFlight, Pool, Table, Target, Team};
use crate::target::{Announcement, Sighting, State};
use fleet::Fleet;
use record::{DataCentre, EntryId, InstanceId, Key, Kind, PoolId, TeamId};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

/// Instance that this entry no longer sends work to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Releasable {
    /// The instance.
    pub instance: InstanceId,
    /// Log index that began its move.
    pub start_index: fleet::Index,
}

#[derive(Debug)]
struct Known {
    announcement: Announcement,
    heard: Duration,
}

/// What one entry knows of the targets of its data centre.
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
    interval: Duration,
    expiry: Duration,
    /// Entries that share the announcements of this data centre.
    sharing: u32,
    known: BTreeMap<InstanceId, Known>,
    loads: BTreeMap<InstanceId, InFlight>,
    health: BTreeMap<InstanceId, Watched>,
    withdrawn: BTreeMap<InstanceId, Withdrawn>,
}

/// Health of one life of a target.
#[derive(Debug)]
struct Watched {
    incarnation: u64,
    health: Arc<Health>,
}

/// A moving instance that is in no table any more.
#[derive(Debug)]
struct Withdrawn {
    start_index: fleet::Index,
    since: Duration,
}

/// Announcements that one entry hears; each costs it about 0.7 ms.
pub const ANNOUNCEMENTS_PER_SECOND: f64 = 5.0;
/// Announcements that a target may miss in a row.
const MISSED_ANNOUNCEMENTS: u32 = 3;

/// Time for which a request may hold a table that was replaced.
const TABLE_GRACE: Duration = Duration::from_millis(500);

impl Directory {
    /// An empty directory. Targets announce themselves every `interval`; those that
    /// are silent for `expiry` get no new work. Both are stretched when there are
    /// so many targets that announcements would cost too much.
    pub fn new(data_centre: DataCentre, interval: Duration, expiry: Duration) -> Directory {
        Directory {
            data_centre,
            interval,
            expiry,
            sharing: 1,
            known: BTreeMap::new(),
            loads: BTreeMap::new(),
            health: BTreeMap::new(),
            withdrawn: BTreeMap::new(),
        }
    }

    /// Time between two announcements of a target: stretched so that an entry
    /// hears no more than [`ANNOUNCEMENTS_PER_SECOND`].
    pub fn announce_interval(&self) -> Duration {
        let share = self.known.len() as f64 / f64::from(self.sharing);
        self.interval.max(Duration::from_secs_f64(share / ANNOUNCEMENTS_PER_SECOND))
    }

    /// Silence after which a target gets no new work.
    fn silence(&self) -> Duration {
        self.expiry.max(self.announce_interval() * MISSED_ANNOUNCEMENTS)
    }

    /// Number of targets heard of and not expired.
    pub fn len(&self) -> usize {
        self.known.len()
    }

    /// Whether no target is known.
    pub fn is_empty(&self) -> bool {
        self.known.is_empty()
    }

    /// Takes in an announcement; tells whether it was new and changed what the
    /// table says.
    pub fn record_announcement(
        &mut self,
        now: Duration,
        age: Duration,
        announcement: Announcement,
    ) -> bool {
        let heard = now.saturating_sub(age);
        let fresh = age < self.silence();
        let Some(known) = self.known.get_mut(&announcement.instance) else {
            if fresh {
                let instance = announcement.instance.clone();
                self.known.insert(instance, Known { announcement, heard });
            }
            return fresh;
        };
        if !announcement.is_newer(&known.announcement) {
            return false;
        }
        let changed = known.announcement.state != announcement.state
            || known.announcement.address != announcement.address
            || known.announcement.incarnation != announcement.incarnation;
        *known = Known { announcement, heard };
        changed
    }

    /// Forgets targets that have been silent too long; tells whether any was.
    pub fn expire(&mut self, now: Duration) -> bool {
        let before = self.known.len();
        let expiry = self.silence();
        self.known.retain(|_, known| now < known.heard + expiry);
        self.known.len() != before
    }

    /// Everything known, for a peer of the same data centre.
    pub fn sightings(&self, now: Duration) -> Vec<Sighting> {
        self.known
            .values()
            .map(|known| Sighting {
                announcement: known.announcement.clone(),
                age: now.saturating_sub(known.heard),
            })
            .collect()
    }

    /// Targets heard of since a moment, for a peer of the same data centre.
    pub fn sightings_since(&self, now: Duration, since: Duration) -> Vec<Sighting> {
        let mut sightings = self.sightings(now);
        sightings.retain(|sighting| now.saturating_sub(sighting.age) >= since);
        sightings
    }

    /// Last announcement of an instance.
    pub fn announcement(&self, instance: &str) -> Option<&Announcement> {
        self.known.get(instance).map(|known| &known.announcement)
    }

    /// Pool that an instance serves here, by the records.
    pub fn pool(&self, fleet: &Fleet, instance: &str) -> Option<PoolId> {
        let placement = fleet.placements().get(instance)?;
        let here = placement.data_centre == self.data_centre;
        here.then(|| placement.pool.clone())
    }

    /// Builds the routing table: serving targets that the records put into a
    /// pool of this data centre and that are not about to leave it.
    pub fn table(&mut self, fleet: &Fleet, ready: bool) -> Table {
        let sharing = self.sharing(fleet);
        self.sharing = sharing;
        let mut table = Table { ready, pools: pools(fleet), teams: teams(fleet, sharing) };
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
            let max_limit = (spec.slots.min(spec.connections) / sharing).max(1);
            pool.targets.push(Target {
                instance: instance.clone(),
                incarnation: announcement.incarnation,
                address: announcement.address,
                rack: spec.rack,
                in_flight: self.loads.entry(instance.clone()).or_default().clone(),
                health: watch(&mut self.health, announcement, max_limit),
            });
        }
        table
    }

    /// Takes in that the table in use no longer has the moving instances.
    pub fn record_withdrawn(&mut self, fleet: &Fleet, now: Duration) {
        let mut moving = BTreeMap::new();
        for (instance, placement) in fleet.placements() {
            let Some(step) = &placement.pending_move else { continue };
            let known = self.withdrawn.remove(instance);
            let same = known.filter(|withdrawn| withdrawn.start_index == step.start_index);
            let fresh = Withdrawn { start_index: step.start_index, since: now };
            moving.insert(instance.clone(), same.unwrap_or(fresh));
        }
        self.withdrawn = moving;
    }

    /// Moving instances that this entry can confirm: they have been out of the
    /// table for a while, nothing of this entry is in flight there, and the
    /// target itself has since said that it runs nothing, or is gone.
    pub fn releasable(&self, fleet: &Fleet, entry: &EntryId, now: Duration) -> Vec<Releasable> {
        let mut released = Vec::new();
        for (instance, withdrawn) in &self.withdrawn {
            let settled = now >= withdrawn.since + TABLE_GRACE;
            if settled
                && self.is_idle(instance, withdrawn.since + TABLE_GRACE)
                && fleet.missing_releases(instance).contains(entry)
            {
                let start_index = withdrawn.start_index;
                released.push(Releasable { instance: instance.clone(), start_index });
            }
        }
        released
    }

    fn is_idle(&self, instance: &str, since: Duration) -> bool {
        let load = self.loads.get(instance);
        let own = load.is_none_or(|load| load.load(Ordering::Acquire) == 0);
        let target = self
            .known
            .get(instance)
            .is_none_or(|known| known.heard >= since && known.announcement.in_flight == 0);
        own && target
    }

    /// Entries that share the slots of this data centre's targets.
    fn sharing(&self, fleet: &Fleet) -> u32 {
        let members = fleet.members().values();
        let here = members.filter(|member| member.data_centre == self.data_centre).count();
        (here as u32).max(1)
    }
}

/// Health of the present life of a target; a new life begins healthy.
fn watch(
    all: &mut BTreeMap<InstanceId, Watched>,
    announcement: &Announcement,
    max_limit: u32,
) -> Arc<Health> {
    let incarnation = announcement.incarnation;
    let fresh = || Watched { incarnation, health: Arc::new(Health::new(max_limit)) };
    let watched = all.entry(announcement.instance.clone()).or_insert_with(fresh);
    if watched.incarnation != incarnation {
        *watched = fresh();
    }
    watched.health.set_max_limit(max_limit);
    watched.health.clone()
}

fn teams(fleet: &Fleet, sharing: u32) -> BTreeMap<TeamId, Team> {
    let mut teams = BTreeMap::new();
    for key in fleet.records().keys().filter(|key| key.kind == Kind::Team) {
        if let Some(record::Spec::TeamV1(spec)) = fleet.spec(key) {
            let quota_share = (spec.quota / sharing).max(1);
            teams.insert(key.name.clone(), Team { quota_share, weight: spec.weight });
        }
    }
    teams
}

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
