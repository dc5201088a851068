//! Room that is kept for a unit on a worker which is too full for it.
//!
//! A unit that fits nowhere is passed over when units are placed, so smaller ones can take each gap
//! as it opens. A claim keeps what becomes free on one worker until it covers the unit.

use jobs::definition::Resources;
use jobs::{RunNumber, UnitKey};
use std::time::Duration;

/// A run of a worker that frees its room, by itself or when it is stopped.
#[derive(Clone, Debug, PartialEq)]
pub struct Tenant {
    /// Unit and number of the run.
    pub run: (UnitKey, RunNumber),
    /// Room that it frees.
    pub resources: Resources,
    /// Expected time until it ends by itself.
    pub ends_after: Duration,
    /// Work that a stop would lose, in milliseconds of a core; `None` if it may not be stopped.
    pub loss: Option<u64>,
}

/// How a worker comes to cover a unit.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Clearance {
    /// Runs to be stopped, those that do not end in time.
    pub stops: Vec<(UnitKey, RunNumber)>,
    /// Work that the stops lose, in milliseconds of a core.
    pub loss: u64,
    /// Expected time until enough has ended by itself, if nothing has to be stopped.
    pub free_after: Duration,
}

/// Returns how a worker with this free room comes to cover `need` when only runs that end `within` a
/// time are waited for; `None` if it can't. The stops lose as little work as possible.
///
/// ```
/// use jobs::definition::Resources;
/// use sched::claim::{self, Tenant};
/// use std::time::Duration;
/// let cpu = |cpu_milli| Resources { cpu_milli, ..Resources::default() };
/// let unit = |index| jobs::UnitKey { job: 1, occurrence: 0, step: 0, index };
/// let tenant = |index, ms, loss| Tenant {
///     run: (unit(index), 1),
///     resources: cpu(1000),
///     ends_after: Duration::from_millis(ms),
///     loss: Some(loss),
/// };
/// let tenants = [tenant(0, 100, 900), tenant(1, 5000, 300), tenant(2, 5000, 200)];
/// let within = Duration::from_secs(1);
/// let clear = |need| claim::clear(&cpu(500), &tenants, &cpu(need), within);
/// assert_eq!(clear(1500).unwrap().free_after, Duration::from_millis(100));
/// assert_eq!(clear(2500).unwrap().stops, [(unit(2), 1)]);
/// assert_eq!(clear(4000), None);
/// ```
pub fn clear(
    free: &Resources,
    tenants: &[Tenant],
    need: &Resources,
    within: Duration,
) -> Option<Clearance> {
    let (mut ending, staying): (Vec<&Tenant>, Vec<&Tenant>) =
        tenants.iter().partition(|tenant| tenant.ends_after <= within);
    ending.sort_by_key(|tenant| tenant.ends_after);
    let (mut free, mut free_after) = (*free, Duration::ZERO);
    for tenant in ending {
        if free.covers(need) {
            break;
        }
        free = free.plus(&tenant.resources);
        free_after = tenant.ends_after;
    }
    let mut stopped: Vec<(u64, &Tenant)> = Vec::new();
    let mut order: Vec<(u64, &Tenant)> =
        staying.into_iter().filter_map(|tenant| Some((tenant.loss?, tenant))).collect();
    order.sort_by_key(|(loss, tenant)| (*loss, tenant.run));
    for (loss, tenant) in order {
        if free.covers(need) {
            break;
        }
        free = free.plus(&tenant.resources);
        stopped.push((loss, tenant));
    }
    if !free.covers(need) {
        return None;
    }
    // A larger run that was added late may make those before it unnecessary.
    for position in (0..stopped.len()).rev() {
        let without = free.minus(&stopped[position].1.resources);
        if without.covers(need) {
            free = without;
            stopped.remove(position);
        }
    }
    let loss = stopped.iter().map(|(loss, _)| loss).sum();
    let stops = stopped.into_iter().map(|(_, tenant)| tenant.run).collect();
    Some(Clearance { stops, loss, free_after })
}
