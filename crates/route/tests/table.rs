//! Selection of targets: limits, quarantine and balance; and the window of idempotency
//! keys.

use rand::SeedableRng;
use rand::rngs::StdRng;
use route::Table;
use route::claim::{Claims, State, WINDOW_KEYS};
use route::health::{Allowance, Health};
use route::outcome::{Outcome, Reason};
use route::table::{Pool, Slot, Target};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

const NOW: Duration = Duration::from_secs(1000);

fn target(number: usize, limit: u32) -> Target {
    Target {
        instance: format!("w{number}"),
        incarnation: 1,
        address: ([127, 0, 0, 1], 1000 + number as u16).into(),
        rack: "r".to_string(),
        in_flight: Arc::default(),
        health: Arc::new(Health::new(limit)),
    }
}

fn table(count: usize, limit: u32) -> Table {
    let targets: Vec<Target> = (0..count).map(|number| target(number, limit)).collect();
    let pool = Pool { spare: false, instance_count: count as u32, targets };
    Table { ready: true, pools: [("gate".to_string(), pool)].into(), teams: BTreeMap::new() }
}

fn quarantine(table: &Table, number: usize, now: Duration) {
    (0..5).for_each(|_| table.pools["gate"].targets[number].health.record_failure(now));
}

#[test]
fn limits_are_never_exceeded_and_slots_are_reused() {
    let table = table(3, 2);
    let mut rng = StdRng::seed_from_u64(1);
    let mut slots: Vec<Slot> = Vec::new();
    while let Ok(slot) = table.pick("gate", &[], NOW, &mut rng) {
        slots.push(slot);
    }
    assert_eq!(slots.len(), 6);
    let refusal = table.pick("gate", &[], NOW, &mut rng).unwrap_err();
    assert_eq!(refusal.reason, Reason::Busy);
    slots.pop();
    assert!(table.pick("gate", &[], NOW, &mut rng).is_ok());
}

#[test]
fn a_failing_target_gets_one_probe_at_a_time() {
    let table = table(4, 8);
    let mut rng = StdRng::seed_from_u64(2);
    quarantine(&table, 0, NOW);
    let picked = |rng: &mut StdRng, now| {
        let slot = table.pick("gate", &[], now, rng).unwrap();
        slot.target.instance.clone()
    };
    for _ in 0..100 {
        assert_ne!(picked(&mut rng, NOW), "w0");
    }
    let later = NOW + Duration::from_secs(2);
    let probe = table.pick("gate", &[], later, &mut rng).unwrap();
    assert_eq!(probe.target.instance, "w0", "the probe goes first");
    for _ in 0..100 {
        assert_ne!(picked(&mut rng, later), "w0", "one probe at a time");
    }
    probe.target.health.record_failure(later);
    assert_eq!(probe.target.health.allowance(later), Allowance::Closed);
    let after_first_duration = later + Duration::from_millis(1500);
    assert_eq!(
        probe.target.health.allowance(after_first_duration),
        Allowance::Closed,
        "the second quarantine is longer"
    );
}

#[test]
fn a_pool_is_never_quarantined_as_a_whole() {
    let table = table(4, 8);
    let mut rng = StdRng::seed_from_u64(3);
    (0..4).for_each(|number| quarantine(&table, number, NOW));
    assert!(table.pick("gate", &[], NOW, &mut rng).is_ok());
}

#[test]
fn the_most_quarantined_target_stays_out_when_others_are_readmitted() {
    let table = table(5, 8);
    let mut rng = StdRng::seed_from_u64(6);
    for round in 0..3 {
        quarantine(&table, 0, NOW - Duration::from_secs(100 - round));
    }
    (0..3).for_each(|number| quarantine(&table, number, NOW));
    for _ in 0..200 {
        let slot = table.pick("gate", &[], NOW, &mut rng).unwrap();
        assert_ne!(slot.target.instance, "w0");
    }
}

#[test]
fn overload_lowers_the_limit_and_successes_raise_it() {
    let health = Health::new(10);
    health.record_overload();
    assert_eq!(health.limit(), 7);
    (0..20).for_each(|_| health.record_overload());
    assert_eq!(health.limit(), 1, "overload never lowers the limit to zero");
    (0..200).for_each(|_| health.record_success());
    assert_eq!(health.limit(), 10, "the limit grows up to the declared maximum");
}

#[test]
fn load_is_balanced_over_the_targets() {
    let table = table(10, 100);
    let mut rng = StdRng::seed_from_u64(4);
    let slots: Vec<Slot> =
        (0..500).map(|_| table.pick("gate", &[], NOW, &mut rng).unwrap()).collect();
    let mut in_flight: BTreeMap<&str, u32> = BTreeMap::new();
    for slot in &slots {
        *in_flight.entry(slot.target.instance.as_str()).or_default() += 1;
    }
    assert!(in_flight.values().all(|count| (45..=55).contains(count)), "{in_flight:?}");
}

#[test]
fn a_pool_without_instances_is_refused_without_retry() {
    let mut table = table(0, 1);
    let mut rng = StdRng::seed_from_u64(5);
    let refusal = table.pick("gate", &[], NOW, &mut rng).unwrap_err();
    assert_eq!((refusal.reason, refusal.retry_after), (Reason::NoInstance, None));
    table.pools.get_mut("gate").unwrap().spare = true;
    let refusal = table.pick("gate", &[], NOW, &mut rng).unwrap_err();
    assert_eq!(refusal.reason, Reason::SparePool);
}

#[test]
fn keys_outside_the_window_are_unknown_and_never_run() {
    let mut claims: Claims<()> = Claims::new("a".to_string(), 1);
    let used = claims.new_key();
    let unused = claims.new_key();
    assert_eq!(claims.begin(&used, vec![1]), State::New);
    claims.complete(&used, Outcome::Answered(()), 10);
    for _ in 0..WINDOW_KEYS {
        claims.new_key();
    }
    for key in [used, unused] {
        let State::Completed(Outcome::Unknown(refusal)) = claims.begin(&key, vec![1]) else {
            panic!("{key} is outside the window");
        };
        assert_eq!(refusal.reason, Reason::KeyForgotten);
    }
    assert!(claims.is_empty(), "memory is bounded");
}

#[test]
fn a_late_outcome_of_a_forgotten_key_changes_nothing() {
    let mut claims: Claims<()> = Claims::new("a".to_string(), 1);
    let key = claims.new_key();
    assert_eq!(claims.begin(&key, vec![1]), State::New);
    for _ in 0..WINDOW_KEYS {
        claims.new_key();
    }
    claims.complete(&key, Outcome::Answered(()), 10);
    assert!(matches!(claims.begin(&key, vec![1]), State::Completed(Outcome::Unknown(_))));
}
