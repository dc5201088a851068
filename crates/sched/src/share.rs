//! Shares of client accounts in a pool that can't hold all waiting work.
//!
//! Placement goes over the ranked steps twice. The first pass leaves out accounts that hold several
//! times their share; the second gives what is left to whoever is next by rank, so that shares that
//! are not used are lent. Below that the rank decides, which keeps most jobs of a surge in time.

use crate::quota::Allowance;
use jobs::AccountName;
use jobs::definition::Resources;
use std::collections::BTreeMap;

/// Multiple of its share that an account may hold before others go first. Queues surge to about five
/// times their mean, and an account with work in one of them surges with it.
const MAX_SHARES: f64 = 4.0;

/// An account with work in a pool.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Member {
    /// Weight of the account.
    pub weight: f64,
    /// What it has in use in the pool.
    pub used: Resources,
}

/// Returns what each member may hold before others go first, as an allowance: some times its share,
/// which is its weight by the sum of all weights, of each resource of the pool. Members with the
/// weight 0 have no share and are left out.
///
/// ```
/// use jobs::definition::Resources;
/// use sched::share::{self, Member};
/// let cpu = |cpu_milli| Resources { cpu_milli, ..Resources::default() };
/// let member = |weight, used| Member { weight, used: cpu(used) };
/// let members = [("a".to_string(), member(1.0, 400)), ("b".to_string(), member(9.0, 399))].into();
/// let shares = share::allowances(&cpu(1000), &members);
/// assert!(!shares["a"].is_open() && shares["b"].is_open());
/// ```
pub fn allowances(
    capacity: &Resources,
    members: &BTreeMap<AccountName, Member>,
) -> BTreeMap<AccountName, Allowance> {
    let total: f64 = members.values().map(|member| member.weight).sum();
    let part = |amount: u64, weight: f64| match amount {
        0 => 0, // the pool has none, and none can be placed
        amount => ((amount as f64 * MAX_SHARES * weight / total) as u64).max(1),
    };
    members
        .iter()
        .filter(|(_, member)| member.weight > 0.0)
        .map(|(name, Member { weight, used })| {
            let share = Resources {
                cpu_milli: part(capacity.cpu_milli, *weight),
                memory_mb: part(capacity.memory_mb, *weight),
                accelerators: part(capacity.accelerators, *weight),
            };
            (name.clone(), Allowance::new(share, *used))
        })
        .collect()
}
