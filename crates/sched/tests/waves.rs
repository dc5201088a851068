//! Waves whose leader is lost while an instance is down.

mod world;

use std::collections::BTreeSet;
use std::time::Duration;
use world::World;

fn seconds(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}

fn start_wave(world: &mut World, id: u32, instances: &[&str]) {
    let instances = instances.iter().map(|id| id.to_string()).collect();
    let wave = jobs::Wave::new(id.into(), instances, seconds(15.0), 1, world.time().wall);
    world.apply(jobs::command::Command::StartWave(wave));
}

/// Lets the leader be lost while `m0` is down, and the next one take over after it is back.
fn change_leader_while_down(world: &mut World, down_for: f64, knows_all: bool) {
    start_wave(world, 1, &["m0"]);
    world.run(seconds(1.0));
    assert_eq!(world.maintenances_begun.len(), 1);
    world.end_leadership();
    world.run(seconds(down_for));
    let known: BTreeSet<String> = world.workers.keys().cloned().collect();
    world.begin_leadership(&if knows_all { known } else { BTreeSet::new() });
}

fn assert_completed(world: &World, id: u32) {
    let wave = &world.ledger.waves()[&id.into()];
    assert!(wave.is_completed(), "{wave:?}");
    assert_eq!(world.audit.violations, [""; 0]);
}

#[test]
fn a_wave_ends_when_the_instance_is_back_before_the_next_leader() {
    for knows_all in [false, true] {
        for down_for in [0.5, 1.5, 3.0] {
            let mut world = World::new(3);
            world.audit.is_on = true;
            world.uses_roster = true;
            change_leader_while_down(&mut world, down_for, knows_all);
            world.run(seconds(60.0));
            assert_completed(&world, 1);
        }
    }
}

#[test]
fn a_wave_ends_though_a_later_one_names_the_same_instance() {
    let mut world = World::new(3);
    world.audit.is_on = true;
    start_wave(&mut world, 1, &["m0", "m1"]);
    world.run(seconds(1.0));
    start_wave(&mut world, 2, &["m0", "m2"]);
    world.run(seconds(60.0));
    assert_completed(&world, 1);
    assert_completed(&world, 2);
}

#[test]
fn a_wave_ends_under_the_next_leader_though_a_later_one_names_the_same_instance() {
    for knows_all in [false, true] {
        for down_for in [0.5, 3.0] {
            let mut world = World::new(3);
            world.audit.is_on = true;
            world.uses_roster = true;
            change_leader_while_down(&mut world, down_for, knows_all);
            start_wave(&mut world, 2, &["m0", "m2"]);
            world.run(seconds(60.0));
            assert_completed(&world, 1);
            assert_completed(&world, 2);
        }
    }
}
