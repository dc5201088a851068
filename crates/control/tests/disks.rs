//! Tests of cores whose disks are full for some time, one after another.

mod world;

use jobs::{Config, Pool};
use mesh::{LeaderRequest, Reply};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::time::Duration;
use world::World;

/// Time within which a change has to be acknowledged while all is well.
const ACK_TIME: Duration = Duration::from_secs(4);
const SEEDS: u64 = 12;

fn change(version: u64) -> LeaderRequest {
    let mut config =
        Config { version, document: version.to_string().into_bytes(), ..Config::default() };
    config.pools.insert("s".to_string(), Pool::default());
    LeaderRequest::Configure(Box::new(config))
}

/// Fills the disk of each core in turn, while changes come to any core, and then sends one change to
/// each core.
fn fill_in_turn(seed: u64, cores: usize) {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut world = World::with_cores(seed, cores);
    world.run(Duration::from_secs(3));
    let mut version = 0;
    for turn in 0..cores * 3 {
        world.disks[turn % cores].fill(true);
        for _ in 0..rng.random_range(2..9) {
            version += 1;
            let _ = world.request(rng.random_range(0..cores), change(version)); // no answer is awaited
            world.run(Duration::from_millis(500));
        }
        world.disks[turn % cores].fill(false);
        world.run(Duration::from_millis(rng.random_range(0..1500)));
    }
    world.run(ACK_TIME);
    for core in 0..cores {
        version += 1;
        let reply = world.request(core, change(version));
        world.run(ACK_TIME);
        let answer = reply.try_recv();
        assert_eq!(answer, Ok(Reply::Done), "seed {seed}: core {core} of {cores}");
        let applied = world.cores[core].as_ref().unwrap().ledger().config().unwrap().version;
        assert_eq!(applied, version, "seed {seed}: core {core} of {cores} is behind");
    }
}

/// Guards against cores that, after full disks have room again, refuse changes or leave them
/// unanswered.
#[test]
fn changes_are_acknowledged_after_all_disks_were_full_in_turn() {
    for seed in 0..SEEDS {
        fill_in_turn(seed, 3);
    }
}

/// The same with one learner beside five voters.
#[test]
fn changes_of_six_cores_are_acknowledged_after_all_disks_were_full_in_turn() {
    for seed in 0..SEEDS {
        fill_in_turn(seed, 6);
    }
}
