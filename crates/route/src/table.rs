//! Immutable routing table, and selection of a target for a request from it. The table
//! is replaced as a whole when the records or the announcements change.

use crate::health::{Allowance, Health};
use crate::outcome::{Reason, Refusal};
use rand::Rng;
use record::{InstanceId, PoolId, Rack, TeamId};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

/// Number of requests that this entry has in flight at one instance.
pub type InFlight = Arc<AtomicU32>;

/// Result of picking a target.
pub type Result<T> = std::result::Result<T, Refusal>;

/// One instance that takes new work.
#[derive(Clone, Debug)]
pub struct Target {
    /// Name of the instance.
    pub instance: InstanceId,
    /// Incarnation of the target process.
    pub incarnation: u64,
    /// Address that accepts requests.
    pub address: SocketAddr,
    /// Rack of the instance.
    pub rack: Rack,
    /// Requests that this entry has in flight at the target.
    pub in_flight: InFlight,
    /// Its concurrency limit and quarantine.
    pub health: Arc<Health>,
}

/// Limits of a team at one entry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Team {
    /// This entry's share of the team's quota, in concurrent requests.
    pub quota_share: u32,
    /// Weight of the team in a contended pool, relative to the other teams.
    pub weight: u32,
}

/// A pool and its targets in this data centre.
#[derive(Clone, Debug, Default)]
pub struct Pool {
    /// Whether the pool only holds replacement instances and takes no requests.
    pub spare: bool,
    /// Instances that the records assign to it, in all data centres.
    pub instance_count: u32,
    /// Instances that take new work.
    pub targets: Vec<Target>,
}

/// Pools and their targets in one data centre.
#[derive(Clone, Debug, Default)]
pub struct Table {
    /// Whether the records have been loaded from a peer or from disk.
    pub ready: bool,
    /// Pools by name.
    pub pools: BTreeMap<PoolId, Pool>,
    /// Teams by name.
    pub teams: BTreeMap<TeamId, Team>,
}

/// A reserved slot of a target, released on drop.
#[derive(Debug)]
pub struct Slot {
    /// Target that the slot belongs to.
    pub target: Target,
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.target.in_flight.fetch_sub(1, Ordering::AcqRel);
    }
}

impl Table {
    /// Returns the pool. Refuses if the records are not loaded yet, or if the pool does not
    /// exist, is a spare pool or has no instance.
    pub fn pool(&self, name: &str) -> Result<&Pool> {
        if !self.ready {
            return Err(Refusal::new(Reason::NotReady, "the records are not known here yet"));
        }
        let Some(pool) = self.pools.get(name) else {
            let detail = format!("pool \"{name}\" does not exist");
            return Err(Refusal::new(Reason::UnknownPool, detail));
        };
        if pool.spare {
            let detail = format!("pool \"{name}\" holds replacements");
            return Err(Refusal::new(Reason::SparePool, detail));
        }
        if pool.instance_count == 0 {
            let detail = format!("the records put no instance into pool \"{name}\"");
            return Err(Refusal::new(Reason::NoInstance, detail));
        }
        Ok(pool)
    }

    /// Selects a target of the pool and reserves one of its slots. Skips the targets in
    /// `tried`.
    ///
    /// ```
    /// use std::time::Duration;
    /// let table = route::Table::default();
    /// let refusal = table.pick("gate", &[], Duration::ZERO, &mut rand::rng()).unwrap_err();
    /// assert_eq!(refusal.reason, route::outcome::Reason::NotReady);
    /// ```
    pub fn pick(
        &self,
        pool: &str,
        tried: &[InstanceId],
        now: Duration,
        rng: &mut impl Rng,
    ) -> Result<Slot> {
        self.pool(pool)?.pick(pool, tried, now, rng)
    }
}

impl Pool {
    /// Returns the total limit of the targets that are not in quarantine, in requests.
    pub fn slots(&self) -> u32 {
        let open = self.targets.iter().filter(|target| !target.health.is_quarantined());
        open.map(|target| target.health.limit()).sum()
    }

    /// Selects a target that is due for a probe, else the less loaded of two random open
    /// targets, else any open target with a free slot.
    fn pick(
        &self,
        name: &str,
        tried: &[InstanceId],
        now: Duration,
        rng: &mut impl Rng,
    ) -> Result<Slot> {
        let untried: Vec<&Target> =
            self.targets.iter().filter(|t| !tried.contains(&t.instance)).collect();
        if untried.is_empty() {
            let detail = format!("pool \"{name}\" has no serving target in this data centre");
            return Err(Refusal::new(Reason::NoTarget, detail));
        }
        if let Some(slot) = untried.iter().find_map(|target| target.reserve_probe(now)) {
            return Ok(slot);
        }
        let open = self.open_targets(&untried, now);
        let slot = less_loaded_of_two(&open, rng)
            .and_then(Target::reserve)
            .or_else(|| open.iter().find_map(|target| target.reserve()));
        slot.ok_or_else(|| {
            let detail = format!("every target of pool \"{name}\" is at its limit");
            Refusal::new(Reason::Busy, detail)
        })
    }

    /// Returns the targets outside of quarantine. When more than half of the pool is in
    /// quarantine, adds back those with the fewest quarantines in a row: the cause may
    /// lie elsewhere, and the remaining targets would be overloaded.
    fn open_targets<'a>(&self, untried: &[&'a Target], now: Duration) -> Vec<&'a Target> {
        let is_open = |target: &&Target| target.health.allowance(now) == Allowance::Open;
        let quarantined = self.targets.iter().filter(|target| !is_open(target)).count();
        let readmitted = quarantined.saturating_sub(self.targets.len() / 2);
        let mut open: Vec<&Target> = untried.iter().copied().filter(|t| is_open(t)).collect();
        if readmitted > 0 {
            let mut closed: Vec<&Target> =
                untried.iter().copied().filter(|target| !is_open(target)).collect();
            closed.sort_by_key(|target| target.health.quarantines());
            open.extend(closed.into_iter().take(readmitted));
        }
        open
    }
}

/// Power of two choices: of two random targets, returns the less loaded.
fn less_loaded_of_two<'a>(open: &[&'a Target], rng: &mut impl Rng) -> Option<&'a Target> {
    if open.is_empty() {
        return None;
    }
    let first = open[rng.random_range(0..open.len())];
    let second = open[rng.random_range(0..open.len())];
    Some(if first.utilization() <= second.utilization() { first } else { second })
}

impl Target {
    /// Returns the share of the limit that is in use, in thousandths.
    fn utilization(&self) -> u64 {
        u64::from(self.in_flight.load(Ordering::Acquire)) * 1000 / u64::from(self.health.limit())
    }

    /// Reserves a slot, unless the target is at its limit.
    fn reserve(&self) -> Option<Slot> {
        let limit = self.health.limit();
        let add = |in_flight: u32| (in_flight < limit).then_some(in_flight + 1);
        self.in_flight.fetch_update(Ordering::AcqRel, Ordering::Acquire, add).ok()?;
        Some(Slot { target: self.clone() })
    }

    /// Reserves the slot of a probe request, if one is due and none is in flight.
    fn reserve_probe(&self, now: Duration) -> Option<Slot> {
        if self.health.allowance(now) != Allowance::Probe || !self.health.begin_probe() {
            return None;
        }
        let slot = self.reserve();
        if slot.is_none() {
            self.health.cancel_probe();
        }
        slot
    }
}
