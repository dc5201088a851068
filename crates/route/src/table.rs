//! Immutable routing table that requests read.

use crate::health::{Allowance, Health};
use crate::outcome::{Reason, Refusal};
use rand::Rng;
use record::{InstanceId, PoolId, Rack, TeamId};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

/// Requests that this entry has in flight at one instance.
pub type InFlight = Arc<AtomicU32>;

/// Result of picking a target.
pub type Result<T> = std::result::Result<T, Refusal>;

/// One instance that takes new work.
#[derive(Clone, Debug)]
pub struct Target {
    /// The instance.
    pub instance: InstanceId,
    /// Life of its process.
    pub incarnation: u64,
    /// Where it takes requests.
    pub address: SocketAddr,
    /// Rack that it is in.
    pub rack: Rack,
    /// What this entry has in flight there.
    pub in_flight: InFlight,
    /// Its limit and its quarantine.
    pub health: Arc<Health>,
}

/// A team, as one entry limits it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Team {
    /// This entry's share of the quota.
    pub quota_share: u32,
    /// Share of a contended pool, relative to the other teams.
    pub weight: u32,
}

/// One pool, as this data centre sees it.
#[derive(Clone, Debug, Default)]
pub struct Pool {
    /// Whether it holds replacements and takes no requests.
    pub spare: bool,
    /// Instances that the records put into it, in all data centres.
    pub instance_count: u32,
    /// Instances that take new work.
    pub targets: Vec<Target>,
}

/// Pools and their targets in one data centre.
#[derive(Clone, Debug, Default)]
pub struct Table {
    /// Whether the records have been taken from a peer or the disk.
    pub ready: bool,
    /// Pools by name.
    pub pools: BTreeMap<PoolId, Pool>,
    /// Teams by name.
    pub teams: BTreeMap<TeamId, Team>,
}

/// A slot that is held until this value is dropped.
#[derive(Debug)]
pub struct Slot {
    /// Where the request goes.
    pub target: Target,
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.target.in_flight.fetch_sub(1, Ordering::AcqRel);
    }
}

impl Table {
    /// The pool, if requests for it make sense.
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

    /// Picks a target of the pool and holds one of its slots. Targets in `tried`
    /// are passed over.
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
    /// Slots of all targets that are not in quarantine.
    pub fn slots(&self) -> u32 {
        let open = self.targets.iter().filter(|target| !target.health.is_quarantined());
        open.map(|target| target.health.limit()).sum()
    }

    /// A target that waits for its probe goes first; then the less loaded of two
    /// random ones; then any with a free slot.
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
        if let Some(slot) = untried.iter().find_map(|target| target.hold_probe(now)) {
            return Ok(slot);
        }
        let open = self.open(&untried, now);
        let held = better_of_two(&open, rng)
            .and_then(Target::hold)
            .or_else(|| open.iter().find_map(|target| target.hold()));
        held.ok_or_else(|| {
            let detail = format!("every target of pool \"{name}\" is at its limit");
            Refusal::new(Reason::Busy, detail)
        })
    }

    /// Targets outside of quarantine. When more than half of the pool would be
    /// ejected, those that failed least in a row are let back in: the cause may lie
    /// elsewhere, and the others would be overrun.
    fn open<'a>(&self, untried: &[&'a Target], now: Duration) -> Vec<&'a Target> {
        let is_open = |target: &&Target| target.health.allowance(now) == Allowance::Open;
        let ejected = self.targets.iter().filter(|target| !is_open(target)).count();
        let too_many = ejected.saturating_sub(self.targets.len() / 2);
        let mut open: Vec<&Target> = untried.iter().copied().filter(|t| is_open(t)).collect();
        if too_many > 0 {
            let mut closed: Vec<&Target> =
                untried.iter().copied().filter(|target| !is_open(target)).collect();
            closed.sort_by_key(|target| target.health.quarantines());
            open.extend(closed.into_iter().take(too_many));
        }
        open
    }
}

fn better_of_two<'a>(open: &[&'a Target], rng: &mut impl Rng) -> Option<&'a Target> {
    if open.is_empty() {
        return None;
    }
    let first = open[rng.random_range(0..open.len())];
    let second = open[rng.random_range(0..open.len())];
    Some(if first.fill() <= second.fill() { first } else { second })
}

impl Target {
    /// Share of the limit that is in use, in thousandths.
    fn fill(&self) -> u64 {
        u64::from(self.in_flight.load(Ordering::Acquire)) * 1000 / u64::from(self.health.limit())
    }

    fn hold(&self) -> Option<Slot> {
        let limit = self.health.limit();
        let add = |load: u32| (load < limit).then_some(load + 1);
        self.in_flight.fetch_update(Ordering::AcqRel, Ordering::Acquire, add).ok()?;
        Some(Slot { target: self.clone() })
    }

    fn hold_probe(&self, now: Duration) -> Option<Slot> {
        if self.health.allowance(now) != Allowance::Probe || !self.health.begin_probe() {
            return None;
        }
        let slot = self.hold();
        if slot.is_none() {
            self.health.cancel_probe();
        }
        slot
    }
}
