//! A leader that stands still, and goes on when another one may have taken over.

mod world;

use jobs::definition::Resources;
use jobs::{Config, Incarnation};
use mesh::LeaderRequest;
use sched::Report;
use std::time::Duration;
use world::{TICK, World};

fn configure(version: u64) -> LeaderRequest {
    LeaderRequest::Configure(Box::new(Config { version, ..Config::default() }))
}

fn report(worker: &str) -> Report {
    Report {
        incarnation: Incarnation::new(worker, 1),
        instance: format!("m-{worker}"),
        address: "10.1.0.1:1".parse().unwrap(),
        pool: "p".to_string(),
        data_centre: "north".to_string(),
        labels: Vec::new(),
        capacity: Resources::default(),
        draining: false,
        remaining: None,
        number: 1,
    }
}

/// Returns how many orders a leader sends in the round in which a worker reports and a sync of the
/// disk takes this long.
fn orders_after(freeze: Duration) -> usize {
    let mut world = World::new(1);
    world.heal();
    let leader = world.leader().unwrap();
    let name = world.cores[leader].as_ref().unwrap().process_info().name.clone();
    world.request(leader, configure(1));
    world.run(Duration::from_secs(1));
    assert_eq!(world.leader(), Some(leader));
    assert_eq!(world.orders().len(), 0);
    world.request(leader, configure(2));
    world.report(leader, report("w"));
    world.freeze_in_sync(leader, freeze);
    world.run(TICK);
    world.orders().iter().filter(|(_, sender)| sender.name == name).count()
}

#[test]
fn a_leader_sends_its_orders_after_a_short_halt() {
    assert_eq!(orders_after(Duration::from_millis(100)), 1);
}

#[test]
fn a_leader_that_stood_still_while_another_may_have_been_elected_sends_no_orders() {
    assert_eq!(orders_after(Duration::from_secs(10)), 0);
}
