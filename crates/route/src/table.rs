//! Immutable routing table that requests read.

use crate::outcome::{Reason, Refusal};
use rand::Rng;
use record::{InstanceId, PoolId, Rack};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};

/// Requests that this entry has in flight at one instance.
pub type Load = Arc<AtomicU32>;

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
    /// This entry's share of its slots.
    pub limit: u32,
    /// What this entry has in flight there.
    pub load: Load,
}

/// One pool, as this data centre sees it.
#[derive(Clone, Debug, Default)]
pub struct Pool {
    /// Whether it holds replacements and takes no requests.
    pub spare: bool,
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
}

/// A slot that is held until this value is dropped.
#[derive(Debug)]
pub struct Slot {
    /// Where the request goes.
    pub target: Target,
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.target.load.fetch_sub(1, Ordering::AcqRel);
    }
}

impl Table {
    /// Picks the less loaded of two random targets, or any with a free slot,
    /// and holds one of its slots. Targets in `tried` are passed over.
    ///
    /// ```
    /// let table = route::Table::default();
    /// let refusal = table.pick("gate", &[], &mut rand::rng()).unwrap_err();
    /// assert_eq!(refusal.reason, route::outcome::Reason::NotReady);
    /// ```
    pub fn pick(&self, pool: &str, tried: &[InstanceId], rng: &mut impl Rng) -> Result<Slot> {
        if !self.ready {
            return Err(Refusal::new(Reason::NotReady, "the records are not known here yet"));
        }
        let Some(found) = self.pools.get(pool) else {
            let detail = format!("pool \"{pool}\" does not exist");
            return Err(Refusal::new(Reason::UnknownPool, detail));
        };
        if found.spare {
            let detail = format!("pool \"{pool}\" holds replacements");
            return Err(Refusal::new(Reason::SparePool, detail));
        }
        found.pick(pool, tried, rng)
    }
}

impl Pool {
    fn pick(&self, name: &str, tried: &[InstanceId], rng: &mut impl Rng) -> Result<Slot> {
        let open: Vec<&Target> =
            self.targets.iter().filter(|t| !tried.contains(&t.instance)).collect();
        if open.is_empty() {
            let detail = format!("pool \"{name}\" has no serving target in this data centre");
            return Err(Refusal::new(Reason::NoTarget, detail));
        }
        let first = open[rng.random_range(0..open.len())];
        let second = open[rng.random_range(0..open.len())];
        let better = if first.fill() <= second.fill() { first } else { second };
        let held = better.hold().or_else(|| open.iter().find_map(|target| target.hold()));
        held.ok_or_else(|| {
            let detail = format!("every target of pool \"{name}\" is at its limit");
            Refusal::new(Reason::Busy, detail)
        })
    }
}

impl Target {
    /// Share of the limit that is in use, in thousandths.
    fn fill(&self) -> u64 {
        u64::from(self.load.load(Ordering::Acquire)) * 1000 / u64::from(self.limit.max(1))
    }

    fn hold(&self) -> Option<Slot> {
        let add = |load: u32| (load < self.limit).then_some(load + 1);
        self.load.fetch_update(Ordering::AcqRel, Ordering::Acquire, add).ok()?;
        Some(Slot { target: self.clone() })
    }
}
