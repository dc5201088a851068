//! Checks across records: the state that a batch would lead to.

use record::{Fault, Key, Kind, Spec};
use std::collections::BTreeMap;

/// Live records by key, as a batch would leave them.
pub type Live = BTreeMap<Key, Spec>;

/// Every fault of the records taken together.
///
/// `touched` names the records of the batch; faults between records that the
/// batch does not touch are left out, since they were accepted before.
///
/// ```
/// use record::{Key, Kind, Spec, budget};
/// let spec = Spec::BudgetV1(budget::V1 {
///     pool: "gate".into(), max_unavailable: 1, data_centre: None, rack: None,
/// });
/// let key = Key::new(Kind::Budget, "gate");
/// let live = [(key.clone(), spec)].into();
/// let faults = fleet::check::across(&live, &[key]);
/// assert_eq!(faults[0].field, "budget gate: spec.pool");
/// ```
pub fn across(live: &Live, touched: &[Key]) -> Vec<Fault> {
    let mut faults = Vec::new();
    for (key, spec) in live {
        if let Some(pool) = pool_of(spec) {
            check_reference(live, touched, key, pool, &mut faults);
        }
        if let Spec::PlanV1(plan) = spec {
            check_plan(live, touched, key, &plan.pool, &mut faults);
        }
    }
    faults
}

/// Pool that a record refers to.
fn pool_of(spec: &Spec) -> Option<&str> {
    match spec {
        Spec::InstanceV1(spec) => Some(&spec.pool),
        Spec::InstanceV2(spec) => Some(&spec.pool),
        Spec::BudgetV1(spec) => Some(&spec.pool),
        Spec::PlanV1(spec) => Some(&spec.pool),
        Spec::PoolV1(_) | Spec::PoolV2(_) | Spec::TeamV1(_) | Spec::VoterV1(_) => None,
    }
}

fn check_reference(live: &Live, touched: &[Key], key: &Key, pool: &str, faults: &mut Vec<Fault>) {
    let pool_key = Key::new(Kind::Pool, pool);
    if live.contains_key(&pool_key) {
        return;
    }
    if touched.contains(key) {
        let reason = format!("pool \"{pool}\" does not exist");
        faults.push(Fault::new(format!("{key}: spec.pool"), reason));
    } else if touched.contains(&pool_key) {
        let reason = format!("cannot be withdrawn while {key} refers to it");
        faults.push(Fault::new(pool_key.to_string(), reason));
    }
}

/// A plan can never finish when a budget lets no instance of its pool stop.
fn check_plan(live: &Live, touched: &[Key], key: &Key, pool: &str, faults: &mut Vec<Fault>) {
    for (budget_key, spec) in live {
        let Spec::BudgetV1(budget) = spec else { continue };
        let blocks = budget.pool == pool && budget.max_unavailable == 0;
        if !blocks || !(touched.contains(key) || touched.contains(budget_key)) {
            continue;
        }
        let reason =
            format!("{budget_key} lets no instance of pool \"{pool}\" stop, so it never ends");
        faults.push(Fault::new(format!("{key}: spec.pool"), reason));
    }
}
