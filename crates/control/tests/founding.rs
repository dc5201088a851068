//! Random freezes, cut links and kills while a cluster is being founded. It has to have a leader
//! soon after they end.

mod world;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::time::Duration;
use world::World;

/// Default number of schedules; `FOUNDING_SCHEDULES` overrides it, and `FOUNDING_FROM` sets the first
/// seed.
const SCHEDULES: u64 = 300;
const STEPS_PER_SCHEDULE: usize = 12;

fn run_schedule(seed: u64, cores: usize) {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut world = World::with_cores(seed, cores);
    for _ in 0..STEPS_PER_SCHEDULE {
        world.run(Duration::from_millis(rng.random_range(10..300)));
        let core = rng.random_range(0..cores);
        let other = (core + rng.random_range(1..cores)) % cores;
        match rng.random_range(0..5) {
            0 => world.frozen[core] = true,
            1 => world.frozen[core] = false,
            2 => world.set_link(core, other, false),
            3 => world.set_link(core, other, true),
            _ if world.cores[core].is_some() => world.kill(core),
            _ => world.start(core, true),
        }
    }
    // Processes that were killed before the cluster was founded start as they did at first.
    for core in 0..cores {
        if world.cores[core].is_none() {
            world.start(core, true);
        }
    }
    world.heal();
}

#[test]
fn a_cluster_is_founded_in_spite_of_faults_at_its_first_start() {
    let number = |name: &str| std::env::var(name).ok().and_then(|text| text.parse().ok());
    let from = number("FOUNDING_FROM").unwrap_or(0);
    for seed in from..from + number("FOUNDING_SCHEDULES").unwrap_or(SCHEDULES) {
        run_schedule(seed, if seed % 4 == 0 { 5 } else { 3 });
    }
}
