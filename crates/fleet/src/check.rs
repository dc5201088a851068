//! Checks across records, on the records as a batch of changes would leave them.

use record::{FieldError, Key, Kind, Spec};
use std::collections::BTreeMap;

/// Live (not withdrawn) records by key.
pub type LiveSpecs = BTreeMap<Key, Spec>;

/// Live records with the changes of a batch on top.
///
/// ```
/// use record::{Key, Kind, Spec, budget};
/// let spec = Spec::BudgetV1(budget::V1 {
///     pool: "gate".into(), max_unavailable: 1, data_centre: None, rack: None,
/// });
/// let live = fleet::check::LiveSpecs::new();
/// let mut overlay = fleet::check::Overlay::new(&live);
/// overlay.put(Key::new(Kind::Budget, "gate"), spec);
/// assert_eq!(overlay.field_errors()[0].field, "budget gate: spec.pool");
/// ```
pub struct Overlay<'a> {
    base: &'a LiveSpecs,
    /// New content by key; `None` removes the record.
    changes: BTreeMap<Key, Option<Spec>>,
}

impl<'a> Overlay<'a> {
    /// Creates an overlay without changes over the live records.
    pub fn new(base: &'a LiveSpecs) -> Overlay<'a> {
        Overlay { base, changes: BTreeMap::new() }
    }

    /// Adds or replaces a record.
    pub fn put(&mut self, key: Key, spec: Spec) {
        self.changes.insert(key, Some(spec));
    }

    /// Removes a record.
    pub fn remove(&mut self, key: Key) {
        self.changes.insert(key, None);
    }

    /// Returns every conflict between the changed records and others. Checks only the
    /// changed records and those that refer to one of them.
    pub fn field_errors(&self) -> Vec<FieldError> {
        let mut field_errors = Vec::new();
        for (key, change) in &self.changes {
            match change {
                Some(spec) => self.check_put(key, spec, &mut field_errors),
                None if key.kind == Kind::Pool => self.check_removed_pool(key, &mut field_errors),
                None => {}
            }
        }
        field_errors
    }

    /// Returns a record as the batch would leave it.
    fn get(&self, key: &Key) -> Option<&Spec> {
        match self.changes.get(key) {
            Some(change) => change.as_ref(),
            None => self.base.get(key),
        }
    }

    /// Returns the records of a kind as the batch would leave them.
    fn records_of_kind(&self, kind: Kind) -> impl Iterator<Item = (&Key, &Spec)> {
        let first = Key::new(kind, "");
        let unchanged =
            self.base.range(first.clone()..).take_while(move |(key, _)| key.kind == kind);
        let unchanged = unchanged.filter(|(key, _)| !self.changes.contains_key(key));
        let changed = self.changes.range(first..).take_while(move |(key, _)| key.kind == kind);
        unchanged.chain(changed.filter_map(|(key, change)| Some((key, change.as_ref()?))))
    }

    /// Checks that the pool of a record exists, and that no budget of 0 unavailable
    /// instances blocks a plan of its pool. A plan in the batch is checked against all
    /// budgets, so a budget in the batch is checked only against the unchanged plans.
    fn check_put(&self, key: &Key, spec: &Spec, field_errors: &mut Vec<FieldError>) {
        if let Some(pool) = pool_of(spec)
            && self.get(&Key::new(Kind::Pool, pool)).is_none()
        {
            let reason = format!("pool \"{pool}\" does not exist");
            field_errors.push(FieldError::new(format!("{key}: spec.pool"), reason));
        }
        match spec {
            Spec::PlanV1(plan) => {
                let budgets = self.records_of_kind(Kind::Budget);
                let blocking = budgets.filter(|(_, budget)| forbids_stops(budget, &plan.pool));
                field_errors
                    .extend(blocking.map(|(budget, _)| never_completes(key, budget, &plan.pool)));
            }
            Spec::BudgetV1(budget) if forbids_stops(spec, &budget.pool) => {
                let plans = self.records_of_kind(Kind::Plan);
                let unchanged = plans.filter(|(plan, _)| !self.changes.contains_key(plan));
                let blocked = unchanged.filter(|(_, plan)| pool_of(plan) == Some(&budget.pool));
                field_errors
                    .extend(blocked.map(|(plan, _)| never_completes(plan, key, &budget.pool)));
            }
            _ => {}
        }
    }

    /// Checks that no unchanged record refers to a removed pool.
    fn check_removed_pool(&self, pool: &Key, field_errors: &mut Vec<FieldError>) {
        for kind in [Kind::Instance, Kind::Budget, Kind::Plan] {
            for (key, spec) in self.records_of_kind(kind) {
                if pool_of(spec) == Some(&pool.name) && !self.changes.contains_key(key) {
                    let reason = format!("cannot be withdrawn while {key} refers to it");
                    field_errors.push(FieldError::new(pool.to_string(), reason));
                }
            }
        }
    }
}

/// Returns the pool that a record refers to.
fn pool_of(spec: &Spec) -> Option<&str> {
    match spec {
        Spec::InstanceV1(spec) => Some(&spec.pool),
        Spec::InstanceV2(spec) => Some(&spec.pool),
        Spec::BudgetV1(spec) => Some(&spec.pool),
        Spec::PlanV1(spec) => Some(&spec.pool),
        Spec::PoolV1(_) | Spec::PoolV2(_) | Spec::TeamV1(_) | Spec::VoterV1(_) => None,
    }
}

/// Returns whether a budget allows no instance of a pool to stop.
fn forbids_stops(spec: &Spec, pool: &str) -> bool {
    matches!(spec, Spec::BudgetV1(budget) if budget.pool == pool && budget.max_unavailable == 0)
}

/// Returns the error of a maintenance plan that a budget keeps from completing.
fn never_completes(plan: &Key, budget: &Key, pool: &str) -> FieldError {
    let reason = format!("{budget} lets no instance of pool \"{pool}\" stop, so it never ends");
    FieldError::new(format!("{plan}: spec.pool"), reason)
}
