//! Maintenance waves that can't be completed in time, since work that lasts may not be stopped.

mod world;

use jobs::command::Command;
use std::time::Duration;
use world::{TICK, World};

fn seconds(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}

fn start_wave(world: &mut World, instances: &[&str], max_unavailable: u32) {
    let instances = instances.iter().map(|id| id.to_string()).collect();
    let at = world.time().wall;
    let wave = jobs::Wave::new(1, instances, seconds(12.0), max_unavailable, at);
    world.apply(Command::StartWave(wave));
}

/// Counts the evacuations of an instance that have begun.
fn evacuations(world: &World, instance: &str) -> usize {
    let of_instance = world.log.iter().filter(|(_, e)| e.subject == instance);
    of_instance.filter(|(_, e)| e.text.starts_with("is evacuated")).count()
}

fn units_running(world: &World, job: &str, count: usize) -> usize {
    let is_running = |n: &usize| !world.workers_running(&format!("{job}.0.0.{n}")).is_empty();
    (0..count).filter(is_running).count()
}

/// Runs, and checks that at least `least` units of a job do.
fn run_checked(world: &mut World, duration: Duration, job: &str, count: usize, least: usize) {
    let end = world.now + duration;
    while world.now < end {
        world.run(TICK);
        let running = units_running(world, job, count);
        assert!(running >= least, "{running} of {count} units run at {:?}", world.now);
    }
}

#[test]
fn an_instance_that_got_work_again_is_evacuated_once_its_units_may_be_stopped() {
    let mut world = World::new(3);
    world.submit("q", "a", vec![world::long_running(4, 1000)]);
    world.run(seconds(2.0));
    start_wave(&mut world, &["m0"], 1);
    run_checked(&mut world, seconds(60.0), "a", 4, 3);
    assert_eq!(evacuations(&world, "m0"), 1);
    assert!(world.maintenances.is_empty());
    assert!(!world.ledger.waves()[&1].is_completed());
    world.add("w9", "p", 1);
    run_checked(&mut world, seconds(10.0), "a", 4, 3);
    assert_eq!(evacuations(&world, "m0"), 2);
    assert_eq!(world.maintenances.len(), 1);
    assert!(world.ledger.waves()[&1].is_completed());
    world.run(seconds(5.0));
    assert_eq!(units_running(&world, "a", 4), 4);
}

/// Two units on one instance that may only be stopped one after the other, and the first one has
/// no place elsewhere.
#[test]
fn units_without_another_place_are_not_stopped_again_and_again() {
    let mut world = World::new(1);
    let step = jobs::Step { anti_affinity: 0, ..world::long_running(2, 3000) };
    world.submit("q", "a", vec![step]);
    world.run(seconds(2.0));
    start_wave(&mut world, &["m0"], 1);
    run_checked(&mut world, seconds(120.0), "a", 2, 1);
    assert!(evacuations(&world, "m0") <= 4, "{} evacuations", evacuations(&world, "m0"));
    assert!(world.maintenances.is_empty());
    assert_eq!(units_running(&world, "a", 2), 2);
    world.add("w9", "p", 1);
    run_checked(&mut world, seconds(120.0), "a", 2, 1);
    assert!(world.ledger.waves()[&1].is_completed());
}

/// Guards against a resumed evacuation that stops more than the step allows.
#[test]
fn resumed_evacuations_keep_the_limits_of_steps_and_of_the_wave() {
    let mut world = World::new(6);
    world.submit("q", "a", vec![world::long_running(7, 1000)]);
    world.run(seconds(2.0));
    start_wave(&mut world, &["m0", "m1", "m2"], 1);
    run_checked(&mut world, seconds(30.0), "a", 7, 6);
    assert!(world.maintenances.is_empty());
    let begun: usize = ["m0", "m1", "m2"].map(|id| evacuations(&world, id)).iter().sum();
    assert_eq!(begun, 1);
    world.add("w8", "p", 1);
    world.add("w9", "p", 1);
    run_checked(&mut world, seconds(60.0), "a", 7, 6);
    assert!(world.ledger.waves()[&1].is_completed());
    let down_for = sched::Settings::default().maintenance_duration;
    let begun: Vec<Duration> = world.maintenances_begun.iter().map(|(at, _)| *at).collect();
    assert_eq!(begun.len(), 3);
    assert!(begun.windows(2).all(|pair| pair[1] >= pair[0] + down_for), "{begun:?}");
}
