//! Tests of claims: what they stop, hold and fetch, and what they cost.

mod world;

use jobs::account::{Account, Accounts};
use jobs::command::Command;
use jobs::definition::Resources;
use jobs::{Pool, Queue, Step};
use std::time::Duration;
use world::{STANDBY, World, long_running, step};

/// Time without a heartbeat after which the other cores elect another leader.
const ELECTION_TIMEOUT: Duration = Duration::from_millis(900);

fn seconds(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}

/// Fills the workers with long units of one core each, which no other job of the test outlasts.
fn fill(world: &mut World, units: usize) {
    for number in 0..units {
        let id = format!("filler{number}");
        world.run_times.insert(id.clone(), seconds(60.0));
        world.submit("q", &id, vec![step(1, 1000, 60_000)]);
    }
    world.run(seconds(1.0));
}

fn displaced(world: &World) -> usize {
    let texts = world.log.iter().map(|(_, explanation)| &explanation.text);
    texts.filter(|text| text.contains("has waited too long")).count()
}

fn moves_to(world: &World, pool: &str) -> usize {
    world.moves.iter().filter(|(_, _, to)| to == pool).count()
}

/// Gives the account `a` a cap in thousandths of a core.
fn set_cap(world: &mut World, cpu_milli: u64) {
    let mut config = world.ledger.config().unwrap().clone();
    config.version += 1;
    let mut accounts = Accounts::default();
    let cap = Resources { cpu_milli, ..Resources::default() };
    accounts.add("a", Account { weight: 1.0, cap }, []).unwrap();
    config.accounts = Some(accounts);
    world.apply(Command::Configure(Box::new(config)));
}

fn gang(count: u32, cpu_milli: u64) -> Step {
    Step { gang: true, ..long_running(count, cpu_milli) }
}

#[test]
fn two_units_that_claim_one_worker_stop_no_more_than_they_need() {
    let mut world = World::new(1);
    fill(&mut world, 8);
    world.submit("q", "x", vec![long_running(1, 2000)]);
    world.submit("q", "y", vec![long_running(1, 2000)]);
    world.run(seconds(5.0));
    assert_eq!(world.workers_running("x.0.0.0").len() + world.workers_running("y.0.0.0").len(), 2);
    assert_eq!(displaced(&world), 4);
}

#[test]
fn nothing_is_stopped_for_units_beyond_a_cap() {
    let mut world = World::new(3);
    set_cap(&mut world, 4000);
    fill(&mut world, 24);
    world.submit_for(Some("a"), "q", "x", vec![long_running(3, 4000)]);
    world.run(seconds(6.0));
    assert_eq!(displaced(&world), 4);
}

#[test]
fn a_gang_beyond_a_cap_stops_and_holds_nothing() {
    let mut world = World::new(4);
    set_cap(&mut world, 7000);
    world.submit_for(Some("a"), "q", "first", vec![long_running(1, 2000)]);
    world.run(seconds(1.0));
    fill(&mut world, 30);
    world.submit_for(Some("a"), "q", "gang", vec![gang(3, 2000)]);
    world.run(seconds(6.0));
    assert_eq!(displaced(&world), 0);
}

#[test]
fn no_instance_is_fetched_for_a_unit_that_its_policy_holds() {
    let mut world = World::new(3);
    for number in 10..14 {
        world.add(&format!("w{number}"), STANDBY, 1);
    }
    world.submit("r", "x", vec![long_running(1, 2000)]);
    world.run(seconds(20.0));
    assert_eq!(moves_to(&world, "p"), 0);
}

#[test]
fn work_that_lasts_and_fits_nowhere_does_not_hold_up_the_leader() {
    let mut world = World::new(3);
    for number in 10..250 {
        world.add(&format!("w{number}"), STANDBY, 1);
    }
    for number in 0..1000 {
        world.submit("q", &format!("x{number}"), vec![long_running(5, 7000)]);
    }
    world.run(seconds(1.0));
    assert!(world.longest["decide"] < ELECTION_TIMEOUT, "{:?}", world.longest);
}

#[test]
fn work_that_lasts_beside_many_runs_does_not_hold_up_the_leader() {
    let mut world = World::new(200);
    fill(&mut world, 1600);
    world.longest.clear();
    for number in 0..400 {
        world.submit("q", &format!("x{number}"), vec![long_running(5, 7000)]);
    }
    world.run(seconds(1.0));
    assert!(world.longest["decide"] < ELECTION_TIMEOUT, "{:?}", world.longest);
}

#[test]
fn work_that_lasts_beside_busy_instances_of_others_does_not_hold_up_the_leader() {
    let mut world = World::new(2);
    let mut config = world.ledger.config().unwrap().clone();
    config.version += 1;
    let queue = Queue { prefix: "/s/".into(), pool: "busy".into(), ..config.queues["q"].clone() };
    config.queues.insert("s".to_string(), queue);
    config.pools.insert("busy".to_string(), Pool::default());
    world.apply(Command::Configure(Box::new(config)));
    for number in 10..210 {
        world.add(&format!("w{number}"), "busy", 1);
    }
    world.run(seconds(7.0));
    for number in 0..1600 {
        let id = format!("filler{number}");
        world.run_times.insert(id.clone(), seconds(60.0));
        world.submit("s", &id, vec![step(1, 1000, 60_000)]);
    }
    world.run(seconds(1.0));
    world.longest.clear();
    for number in 0..400 {
        world.submit("q", &format!("x{number}"), vec![long_running(5, 7000)]);
    }
    world.run(seconds(3.0));
    assert!(world.longest["decide"] < ELECTION_TIMEOUT, "{:?}", world.longest);
}

#[test]
fn no_unit_of_a_step_with_a_limit_of_unavailable_units_is_stopped() {
    let mut world = World::new(1);
    world.run_times.insert("limited".to_string(), seconds(60.0));
    let limited = Step { max_unavailable: Some(1), ..step(8, 1000, 60_000) };
    world.submit("q", "limited", vec![limited]);
    world.run(seconds(1.0));
    world.submit("q", "x", vec![long_running(1, 4000)]);
    world.run(seconds(5.0));
    assert_eq!(displaced(&world), 0);
}

#[test]
fn a_worker_that_carries_out_no_stops_does_not_keep_its_claims() {
    for obstinate in ["w0", "w1", "w2"] {
        let mut world = World::new(3);
        fill(&mut world, 24);
        world.workers.get_mut(obstinate).unwrap().ignores_stops = true;
        world.submit("q", "x", vec![long_running(1, 4000)]);
        world.run(seconds(5.0));
        assert_eq!(world.workers_running("x.0.0.0").len(), 1, "{obstinate} ignores stops");
    }
}

#[test]
fn a_new_leader_fetches_no_instance_before_it_has_heard_all_workers() {
    let mut world = World::new(3);
    for id in ["a9", "w10", "w11", "w12", "w13"] {
        world.add(id, STANDBY, 1);
    }
    world.submit("q", "first", vec![long_running(2, 6000)]);
    world.run(seconds(5.1));
    let before = world.moves.len();
    world.replace_leader();
    world.submit("q", "x", vec![long_running(1, 4000)]);
    world.run(seconds(8.0));
    assert_eq!(world.workers_running("x.0.0.0").len(), 1);
    let to_pool = world.moves[before..].iter().filter(|(_, _, pool)| pool == "p").count();
    assert_eq!(to_pool, 0, "{:?}", world.moves);
}
