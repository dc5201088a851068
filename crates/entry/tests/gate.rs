//! The gate over a fake clock: slots, queue, teams, callers that go away.

use arc_swap::ArcSwap;
use async_std::task::{self, block_on};
use entry::clock::Clock;
use entry::gate::{Ask, Gate, Held, Result};
use route::Table;
use route::health::Health;
use route::outcome::Reason;
use route::queue::Class;
use route::table::{Pool, Target, Team};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, SystemTime};

#[derive(Default)]
struct Fake(AtomicU64);

impl Clock for Fake {
    fn now(&self) -> Duration {
        Duration::from_millis(self.0.load(Ordering::Acquire))
    }

    fn wall(&self) -> SystemTime {
        SystemTime::UNIX_EPOCH
    }
}

const FAR: Duration = Duration::from_secs(3600);

struct Fixture {
    gate: Arc<Gate>,
    table: Arc<ArcSwap<Table>>,
    clock: Arc<Fake>,
}

/// A pool of targets with two slots each, and a team that may hold one.
fn fixture(targets: usize) -> Fixture {
    let target = |number: usize| Target {
        instance: format!("w{number}"),
        incarnation: 1,
        address: ([127, 0, 0, 1], 1000 + number as u16).into(),
        rack: "r".to_string(),
        load: Arc::default(),
        health: Arc::new(Health::new(2)),
    };
    let targets: Vec<Target> = (0..targets).map(target).collect();
    let pool = Pool { spare: false, declared: targets.len() as u32, targets };
    let table = Table {
        ready: true,
        pools: [("gate".to_string(), pool)].into(),
        teams: [("small".to_string(), Team { share: 1, weight: 1 })].into(),
    };
    let table = Arc::new(ArcSwap::from_pointee(table));
    let clock = Arc::new(Fake::default());
    let gate = Arc::new(Gate::new(clock.clone(), table.clone()));
    gate.renew();
    Fixture { gate, table, clock }
}

fn ask(team: &str, deadline: Duration) -> Ask {
    let (pool, team) = ("gate".to_string(), team.to_string());
    Ask { pool, class: Class::Interactive, team, deadline }
}

impl Fixture {
    fn enter(&self, ask: Ask) -> task::JoinHandle<Result<Held>> {
        let gate = self.gate.clone();
        task::spawn(async move { gate.enter(&ask, &[]).await })
    }

    fn wait_for_waiting(&self, count: usize) {
        while self.gate.waiting()["gate"] != count {
            std::thread::yield_now();
        }
    }

    fn load(&self) -> u32 {
        let table = self.table.load();
        table.pools["gate"].targets.iter().map(|t| t.load.load(Ordering::Acquire)).sum()
    }
}

#[test]
fn who_waits_gets_the_slot_that_is_freed() {
    let fixture = fixture(1);
    let first = block_on(fixture.enter(ask("", FAR))).unwrap();
    let second = block_on(fixture.enter(ask("", FAR))).unwrap();
    let third = fixture.enter(ask("", FAR));
    fixture.wait_for_waiting(1);
    assert_eq!(fixture.load(), 2);
    drop(first);
    let third = block_on(third).unwrap();
    assert_eq!(fixture.load(), 2);
    drop((second, third));
    assert_eq!(fixture.load(), 0);
}

#[test]
fn a_caller_that_goes_away_leaves_no_trace() {
    let fixture = fixture(1);
    let held = [ask("", FAR), ask("", FAR)].map(|ask| block_on(fixture.enter(ask)).unwrap());
    let gone = fixture.enter(ask("", FAR));
    fixture.wait_for_waiting(1);
    block_on(gone.cancel());
    fixture.wait_for_waiting(0);
    drop(held);
    assert_eq!(fixture.load(), 0);
    assert!(block_on(fixture.enter(ask("", FAR))).is_ok());
}

#[test]
fn a_team_at_its_quota_waits_while_others_start() {
    let fixture = fixture(2);
    let small = block_on(fixture.enter(ask("small", FAR))).unwrap();
    let waits = fixture.enter(ask("small", FAR));
    fixture.wait_for_waiting(1);
    let refusal = block_on(fixture.enter(ask("unheard-of", FAR))).err().unwrap();
    assert_eq!(refusal.reason, Reason::Invalid);
    drop(small);
    let next = block_on(waits).unwrap();
    drop(next);
    assert_eq!(fixture.load(), 0);
}

#[test]
fn a_quota_freed_in_one_pool_starts_the_team_in_another() {
    let fixture = fixture(1);
    let mut table = (**fixture.table.load()).clone();
    let mut other = table.pools["gate"].clone();
    other.targets.iter_mut().for_each(|target| target.load = Arc::default());
    table.pools.insert("other".to_string(), other);
    fixture.table.store(Arc::new(table));
    fixture.gate.renew();
    let elsewhere = Ask { pool: "other".to_string(), ..ask("small", FAR) };
    let held = block_on(fixture.enter(elsewhere)).unwrap();
    let waits = fixture.enter(ask("small", FAR));
    fixture.wait_for_waiting(1);
    drop(held);
    assert!(block_on(waits).is_ok());
}

#[test]
fn nobody_waits_past_the_deadline() {
    let fixture = fixture(1);
    let _held = [ask("", FAR), ask("", FAR)].map(|ask| block_on(fixture.enter(ask)).unwrap());
    let refusal = block_on(fixture.enter(ask("", Duration::from_millis(30)))).err().unwrap();
    assert_eq!(refusal.reason, Reason::Deadline);
    assert_eq!(fixture.gate.waiting()["gate"], 0);
    // Observed service time makes the refusal immediate.
    fixture.gate.observe("gate", Duration::from_secs(10));
    let refusal = block_on(fixture.enter(ask("", Duration::from_millis(11_000)))).err().unwrap();
    assert_eq!(refusal.reason, Reason::Deadline);
    assert!(refusal.detail.contains("it would wait"), "{}", refusal.detail);
}

#[test]
fn many_callers_never_exceed_the_slots() {
    let fixture = fixture(3);
    let callers: Vec<_> = (0..200)
        .map(|number| {
            let (gate, table) = (fixture.gate.clone(), fixture.table.clone());
            let ask = ask(if number % 5 == 0 { "small" } else { "" }, FAR);
            task::spawn(async move {
                let held = gate.enter(&ask, &[]).await.unwrap();
                let load = held.target().load.load(Ordering::Acquire);
                task::yield_now().await;
                drop(held);
                drop(table);
                load
            })
        })
        .collect();
    for caller in callers {
        assert!(block_on(caller) <= 2);
    }
    assert_eq!(fixture.load(), 0);
    assert_eq!(fixture.gate.waiting()["gate"], 0);
}

#[test]
fn who_can_no_longer_be_served_in_time_is_told_at_once() {
    let fixture = fixture(1);
    let held = [ask("", FAR), ask("", FAR)].map(|ask| block_on(fixture.enter(ask)).unwrap());
    let late = fixture.enter(ask("", Duration::from_secs(60)));
    let waits = fixture.enter(ask("", FAR));
    fixture.wait_for_waiting(2);
    fixture.gate.observe("gate", Duration::from_secs(5));
    fixture.clock.0.store(56_000, Ordering::Release);
    fixture.gate.pump_all();
    // No real time passes: the answer does not wait for the deadline.
    assert_eq!(block_on(late).err().unwrap().reason, Reason::Deadline);
    drop(held);
    assert!(block_on(waits).is_ok());
}
