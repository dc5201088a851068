//! Tests of claims: what they stop, hold and fetch, and what they cost.

mod world;

use std::time::Duration;
use world::{World, long_running, step};

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
