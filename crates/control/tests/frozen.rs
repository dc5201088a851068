//! A leader that stands still, and goes on when another one may have taken over.

mod world;

use jobs::definition::Resources;
use jobs::{Config, Incarnation};
use mesh::LeaderRequest;
use sched::Report;
use sched::late::SEND_WINDOW;
use std::net::SocketAddr;
use std::time::Duration;
use world::{TICK, World};

fn configure(version: u64) -> LeaderRequest {
    LeaderRequest::Configure(Box::new(Config { version, ..Config::default() }))
}

fn report(worker: u16) -> Report {
    Report {
        incarnation: Incarnation::new(format!("w{worker}"), 1),
        instance: format!("m{worker}"),
        address: SocketAddr::from(([10, 1, 0, 1], worker)),
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
    world.report(leader, report(1));
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

#[test]
fn an_order_through_another_core_states_the_time_that_it_has_left() {
    let mut world = World::new(1);
    world.heal();
    let leader = world.leader().unwrap();
    world.request(leader, configure(1));
    (0..200).for_each(|worker| world.report(leader, report(worker)));
    world.run(Duration::from_secs(1));
    let relayed = world.relayed(leader);
    let times_left = relayed.iter().filter_map(|relayed| relayed.order.leave_by());
    let times_left: Vec<Duration> = times_left.collect();
    assert!(times_left.len() >= 200, "{} orders are relayed", times_left.len());
    let is_usual = |left: &Duration| (Duration::from_millis(900)..=SEND_WINDOW).contains(left);
    assert!(times_left.iter().all(is_usual), "{times_left:?}");
}
