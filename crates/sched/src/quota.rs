//! Limits of one decision: what may still be started for each client account, and how many units may
//! be placed.

use crate::usage::Usage;
use jobs::definition::Resources;
use jobs::{AccountName, Ledger, Step};
use std::collections::BTreeMap;

/// Maximum number of units that one decision places, beside gangs; all of them are one log entry.
pub const MAX_PLACEMENTS: usize = 1024;

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

/// Allowances under the caps of all accounts and the number of placements, as those of one decision
/// take from them.
#[derive(Clone, Debug, Default)]
pub struct Budget {
    allowances: BTreeMap<AccountName, Allowance>,
    placements: usize,
}

impl Budget {
    /// Returns how many of `count` units of a step may still be placed. A gang is placed as a whole.
    ///
    /// ```
    /// use sched::quota::{Budget, MAX_PLACEMENTS};
    /// let mut budget = Budget::default();
    /// assert_eq!(budget.admitted(&jobs::Step::default(), 7), 7);
    /// budget.take_placements(MAX_PLACEMENTS - 2);
    /// assert_eq!(budget.admitted(&jobs::Step::default(), 7), 2);
    /// assert_eq!(budget.admitted(&jobs::Step { gang: true, ..Default::default() }, 7), 7);
    /// ```
    pub fn admitted(&self, step: &Step, count: usize) -> usize {
        if step.gang { count } else { count.min(MAX_PLACEMENTS.saturating_sub(self.placements)) }
    }

    /// Records that units are placed.
    pub fn take_placements(&mut self, count: usize) {
        self.placements += count;
    }

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
