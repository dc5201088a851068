//! Caps of client accounts: what may still be started for each of them.

use crate::usage::Usage;
use jobs::definition::Resources;
use jobs::{AccountName, Ledger};
use std::collections::BTreeMap;

/// A limit and what is in use under it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Allowance {
    limit: Resources,
    used: Resources,
}

impl Allowance {
    /// Creates an allowance; a resource with the limit 0 is not limited.
    ///
    /// ```
    /// use jobs::definition::Resources;
    /// use sched::quota::Allowance;
    /// let cpu = |cpu_milli| Resources { cpu_milli, ..Resources::default() };
    /// let mut allowance = Allowance::new(cpu(500), cpu(200));
    /// assert!(allowance.admits(&cpu(300)));
    /// allowance.take(&cpu(300));
    /// assert!(!allowance.admits(&cpu(1)));
    /// ```
    pub fn new(limit: Resources, used: Resources) -> Allowance {
        Allowance { limit, used }
    }

    /// Returns whether more may be taken into use. A unit that is larger than the limit is admitted
    /// when nothing else is in use: it could never run otherwise.
    pub fn admits(&self, more: &Resources) -> bool {
        let fits = |limit: u64, used: u64, more: u64| {
            limit == 0 || more == 0 || used == 0 || used.saturating_add(more) <= limit
        };
        fits(self.limit.cpu_milli, self.used.cpu_milli, more.cpu_milli)
            && fits(self.limit.memory_mb, self.used.memory_mb, more.memory_mb)
            && fits(self.limit.accelerators, self.used.accelerators, more.accelerators)
    }

    /// Returns whether less than the limit is in use.
    pub fn is_open(&self) -> bool {
        let is_open = |limit: u64, used: u64| limit == 0 || used < limit;
        is_open(self.limit.cpu_milli, self.used.cpu_milli)
            && is_open(self.limit.memory_mb, self.used.memory_mb)
            && is_open(self.limit.accelerators, self.used.accelerators)
    }

    /// Takes resources into use.
    pub fn take(&mut self, more: &Resources) {
        self.used = self.used.plus(more);
    }

    /// Returns whether a part of what is in use would not be admitted again without it.
    pub fn is_exceeded_by(&self, part: &Resources) -> bool {
        !Allowance { used: self.used.minus(part), ..*self }.admits(part)
    }

    /// Returns whether as many units of one gang can be in use at the same time.
    pub fn can_hold(&self, unit: &Resources, count: u32) -> bool {
        let fits = |limit: u64, unit: u64| {
            limit == 0 || count <= 1 || unit.saturating_mul(u64::from(count)) <= limit
        };
        fits(self.limit.cpu_milli, unit.cpu_milli)
            && fits(self.limit.memory_mb, unit.memory_mb)
            && fits(self.limit.accelerators, unit.accelerators)
    }
}

/// Allowances under the caps of all accounts, as placements of one decision take from them.
#[derive(Clone, Debug, Default)]
pub struct Budget {
    allowances: BTreeMap<AccountName, Allowance>,
}

impl Budget {
    /// Returns what an account may still start. Jobs without an owner, and accounts without a
    /// cap, are not limited.
    pub fn allowance(
        &mut self,
        ledger: &Ledger,
        usage: &Usage,
        owner: Option<&AccountName>,
    ) -> Allowance {
        let Some(owner) = owner else { return Allowance::default() };
        if let Some(allowance) = self.allowances.get(owner) {
            return *allowance;
        }
        let allowance = under_cap(ledger, usage, owner);
        self.allowances.insert(owner.clone(), allowance);
        allowance
    }

    /// Records what an account may still start after placements.
    pub fn set(&mut self, owner: Option<&AccountName>, allowance: Allowance) {
        if let Some(owner) = owner {
            self.allowances.insert(owner.clone(), allowance);
        }
    }
}

/// Returns an account's allowance under its cap.
pub fn under_cap(ledger: &Ledger, usage: &Usage, owner: &AccountName) -> Allowance {
    let cap = ledger.account(owner).map(|account| account.cap).unwrap_or_default();
    Allowance::new(cap, usage.of(owner))
}
