//! Admission with a fake clock: slots, queue, quotas of teams, callers that stop waiting.

use arc_swap::ArcSwap;
use async_std::task::{self, block_on};
use entry::clock::Clock;
use entry::gate::{Gate, Permit, Request, Result};
use route::Table;
use route::health::Health;
use route::outcome::Reason;
use route::queue::Class;
use route::table::{Pool, Target, Team};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, SystemTime};

#[derive(Default)]
struct FakeClock(AtomicU64);

impl Clock for FakeClock {
    fn now(&self) -> Duration {
        Duration::from_millis(self.0.load(Ordering::Acquire))
    }

    fn wall(&self) -> SystemTime {
        SystemTime::UNIX_EPOCH
    }
}

/// Deadline that no test reaches.
const FAR_DEADLINE: Duration = Duration::from_secs(3600);

struct Fixture {
    gate: Arc<Gate>,
    table: Arc<ArcSwap<Table>>,
    clock: Arc<FakeClock>,
}

/// Returns a gate for a pool of targets with two slots each, and a team that may hold
/// one slot.
fn fixture(targets: usize) -> Fixture {
    let target = |number: usize| Target {
        instance: format!("w{number}"),
        incarnation: 1,
        address: ([127, 0, 0, 1], 1000 + number as u16).into(),
        rack: "r".to_string(),
        in_flight: Arc::default(),
        health: Arc::new(Health::new(2)),
    };
    let targets: Vec<Target> = (0..targets).map(target).collect();
    let pool = Pool { spare: false, instance_count: targets.len() as u32, targets };
    let table = Table {
        ready: true,
        pools: [("gate".to_string(), pool)].into(),
        teams: [("small".to_string(), Team { quota_share: 1, weight: 1 })].into(),
    };
    let table = Arc::new(ArcSwap::from_pointee(table));
    let clock = Arc::new(FakeClock::default());
    let gate = Arc::new(Gate::new(clock.clone(), table.clone()));
    gate.reload_table();
    Fixture { gate, table, clock }
}

fn request(team: &str, deadline: Duration) -> Request {
    let (pool, team) = ("gate".to_string(), team.to_string());
    Request { pool, class: Class::Interactive, team, deadline }
}

impl Fixture {
    fn acquire(&self, request: Request) -> task::JoinHandle<Result<Permit>> {
        let gate = self.gate.clone();
        task::spawn(async move { gate.acquire(&request, &[]).await })
    }

    fn wait_for_waiting(&self, count: usize) {
        while self.gate.waiting()["gate"] != count {
            std::thread::yield_now();
        }
    }

    /// Returns the number of slots that are taken.
    fn in_flight(&self) -> u32 {
        let table = self.table.load();
        table.pools["gate"].targets.iter().map(|t| t.in_flight.load(Ordering::Acquire)).sum()
    }
}

#[test]
fn a_waiting_request_gets_a_freed_slot() {
    let fixture = fixture(1);
    let first = block_on(fixture.acquire(request("", FAR_DEADLINE))).unwrap();
    let second = block_on(fixture.acquire(request("", FAR_DEADLINE))).unwrap();
    let third = fixture.acquire(request("", FAR_DEADLINE));
    fixture.wait_for_waiting(1);
    assert_eq!(fixture.in_flight(), 2);
    drop(first);
    let third = block_on(third).unwrap();
    assert_eq!(fixture.in_flight(), 2);
    drop((second, third));
    assert_eq!(fixture.in_flight(), 0);
}

#[test]
fn a_caller_that_stops_waiting_leaves_the_queue() {
    let fixture = fixture(1);
    let permit = [request("", FAR_DEADLINE), request("", FAR_DEADLINE)]
        .map(|request| block_on(fixture.acquire(request)).unwrap());
    let abandoned = fixture.acquire(request("", FAR_DEADLINE));
    fixture.wait_for_waiting(1);
    block_on(abandoned.cancel());
    fixture.wait_for_waiting(0);
    drop(permit);
    assert_eq!(fixture.in_flight(), 0);
    assert!(block_on(fixture.acquire(request("", FAR_DEADLINE))).is_ok());
}

#[test]
fn a_team_at_its_quota_waits_while_others_start() {
    let fixture = fixture(2);
    let small = block_on(fixture.acquire(request("small", FAR_DEADLINE))).unwrap();
    let waits = fixture.acquire(request("small", FAR_DEADLINE));
    fixture.wait_for_waiting(1);
    let refusal = block_on(fixture.acquire(request("unheard-of", FAR_DEADLINE))).err().unwrap();
    assert_eq!(refusal.reason, Reason::Invalid);
    drop(small);
    let next = block_on(waits).unwrap();
    drop(next);
    assert_eq!(fixture.in_flight(), 0);
}

#[test]
fn a_quota_freed_in_one_pool_starts_the_team_in_another() {
    let fixture = fixture(1);
    let mut table = (**fixture.table.load()).clone();
    let mut other = table.pools["gate"].clone();
    other.targets.iter_mut().for_each(|target| target.in_flight = Arc::default());
    table.pools.insert("other".to_string(), other);
    fixture.table.store(Arc::new(table));
    fixture.gate.reload_table();
    let elsewhere = Request { pool: "other".to_string(), ..request("small", FAR_DEADLINE) };
    let permit = block_on(fixture.acquire(elsewhere)).unwrap();
    let waits = fixture.acquire(request("small", FAR_DEADLINE));
    fixture.wait_for_waiting(1);
    drop(permit);
    assert!(block_on(waits).is_ok());
}

#[test]
fn nobody_waits_past_the_deadline() {
    let fixture = fixture(1);
    let _permits = [request("", FAR_DEADLINE), request("", FAR_DEADLINE)]
        .map(|request| block_on(fixture.acquire(request)).unwrap());
    let refusal = block_on(fixture.acquire(request("", Duration::from_millis(30)))).err().unwrap();
    assert_eq!(refusal.reason, Reason::Deadline);
    assert_eq!(fixture.gate.waiting()["gate"], 0);
    // With a known service time the request is refused before it waits.
    fixture.gate.record_service_time("gate", Duration::from_secs(10));
    let refusal =
        block_on(fixture.acquire(request("", Duration::from_millis(11_000)))).err().unwrap();
    assert_eq!(refusal.reason, Reason::Deadline);
    assert!(refusal.detail.contains("it would wait"), "{}", refusal.detail);
}

#[test]
fn many_callers_never_exceed_the_slots() {
    let fixture = fixture(3);
    let callers: Vec<_> = (0..200)
        .map(|number| {
            let (gate, table) = (fixture.gate.clone(), fixture.table.clone());
            let request = request(if number % 5 == 0 { "small" } else { "" }, FAR_DEADLINE);
            task::spawn(async move {
                let permit = gate.acquire(&request, &[]).await.unwrap();
                let in_flight = permit.target().in_flight.load(Ordering::Acquire);
                task::yield_now().await;
                drop(permit);
                drop(table);
                in_flight
            })
        })
        .collect();
    for caller in callers {
        assert!(block_on(caller) <= 2);
    }
    assert_eq!(fixture.in_flight(), 0);
    assert_eq!(fixture.gate.waiting()["gate"], 0);
}

#[test]
fn a_request_that_cannot_be_served_in_time_is_refused_at_once() {
    let fixture = fixture(1);
    let permit = [request("", FAR_DEADLINE), request("", FAR_DEADLINE)]
        .map(|request| block_on(fixture.acquire(request)).unwrap());
    let late = fixture.acquire(request("", Duration::from_secs(60)));
    let waits = fixture.acquire(request("", FAR_DEADLINE));
    fixture.wait_for_waiting(2);
    fixture.gate.record_service_time("gate", Duration::from_secs(5));
    fixture.clock.0.store(56_000, Ordering::Release);
    fixture.gate.admit_waiting();
    // The fake clock is still before the deadline: the refusal does not wait for it.
    assert_eq!(block_on(late).err().unwrap().reason, Reason::Deadline);
    drop(permit);
    assert!(block_on(waits).is_ok());
}
