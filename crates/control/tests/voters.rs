//! Voters over the life of a cluster: cores are lost one after another, with and without others that
//! take their places.

mod world;

use jobs::{Config, Pool};
use mesh::{LeaderRequest, Reply};
use quorum::Id;
use std::collections::BTreeSet;
use std::time::Duration;
use world::World;

/// Time from the start of a core by which the cluster has to bear the next losses.
const CATCH_UP_TIME: Duration = Duration::from_secs(4);
/// Time after which a voter that is lost for good has left, also where none takes its place.
const SETTLE_TIME: Duration = Duration::from_secs(20);
/// Time within which the remaining cores have to elect a leader and serve requests again.
const RECOVERY_TIME: Duration = Duration::from_secs(12);

/// Starts a cluster and configures it.
fn founded(seed: u64, cores: usize) -> World {
    let mut world = World::with_cores(seed, cores);
    world.run(Duration::from_secs(5));
    let mut config = Config { version: 1, document: b"1".to_vec(), ..Config::default() };
    config.pools.insert("p".to_string(), Pool::default());
    let ack = world.request(0, LeaderRequest::Configure(Box::new(config)));
    world.run(Duration::from_secs(1));
    assert_eq!(ack.try_recv(), Ok(Reply::Done), "seed {seed}");
    world
}

/// Checks that a core leads and returns the configuration.
fn check_service(world: &mut World, context: &str) {
    let leader = world.leader().unwrap_or_else(|| panic!("no leader: {context}"));
    let read = world.request(leader, LeaderRequest::Config);
    world.run(Duration::from_millis(100));
    assert_eq!(read.try_recv(), Ok(Reply::Config(b"1".to_vec())), "{context}");
}

fn voters(world: &World) -> BTreeSet<Id> {
    let leader = world.leader().expect("a core leads");
    world.cores[leader].as_ref().unwrap().node().membership().voters.clone()
}

/// Returns the voters that are no running cores.
fn lost_voters(world: &World) -> Vec<Id> {
    let running: BTreeSet<Id> =
        world.cores.iter().flatten().map(|core| core.process_info().id()).collect();
    voters(world).difference(&running).cloned().collect()
}

/// Loses cores at one moment. The others have to go on.
fn lose(world: &mut World, cores: &[usize], context: &str) {
    for core in cores {
        world.kill(*core);
        world.disks[*core].wipe();
    }
    world.run(RECOVERY_TIME);
    check_service(world, context);
}

/// Guards against lost voters that keep their votes at the largest number of voters, so that no
/// majority is left after some replacements.
#[test]
fn a_cluster_bears_two_losses_after_all_its_cores_were_replaced() {
    for (seed, cores) in [6, 7, 8, 9, 8, 11].into_iter().enumerate() {
        let mut world = founded(seed as u64, cores);
        for replaced in (0..cores * 2).map(|turn| (turn * 5 + seed) % cores) {
            world.replace(replaced);
            world.run(Duration::from_secs(1));
            world.start(replaced, false);
            world.run(CATCH_UP_TIME + CATCH_UP_TIME);
            check_service(&mut world, &format!("seed {seed}, {replaced} of {cores} was replaced"));
        }
        world.run(SETTLE_TIME);
        assert_eq!(lost_voters(&world), [], "seed {seed}, {cores} cores");
        let leader = world.leader().unwrap();
        let lost = [leader, (leader + 1) % cores];
        lose(&mut world, &lost, &format!("seed {seed}, {lost:?} of {cores} are lost"));
    }
}

/// Guards against the same where two cores are lost at a time.
#[test]
fn a_cluster_bears_the_replacement_of_its_cores_in_pairs() {
    for seed in 0..4 {
        let mut world = founded(seed, 8);
        for turn in 0..8 {
            let pair = [(turn * 2) % 8, (turn * 2 + 1 + 2 * seed as usize) % 8];
            let context = format!("seed {seed}, turn {turn}, {pair:?}");
            pair.iter().for_each(|core| world.replace(*core));
            world.run(RECOVERY_TIME);
            check_service(&mut world, &context);
            pair.iter().for_each(|core| world.start(*core, false));
            world.run(CATCH_UP_TIME);
        }
        world.run(SETTLE_TIME);
        assert_eq!(lost_voters(&world), [], "seed {seed}");
    }
}

/// Guards against lost voters that stay where no core takes their place: each further loss would find
/// fewer left.
#[test]
fn a_cluster_bears_losses_one_after_another_down_to_three_cores() {
    for (seed, cores) in [(0, 8), (1, 9), (2, 7), (3, 8)] {
        let mut world = founded(seed, cores);
        for lost in 0..cores - 3 {
            lose(&mut world, &[lost], &format!("seed {seed}, {lost} of {cores}"));
            world.run(SETTLE_TIME);
        }
    }
}

/// Guards against a cluster of few voters once all cores are back.
#[test]
fn voters_that_were_cut_off_vote_again() {
    for seed in 0..4 {
        let mut world = founded(seed, 8);
        let away = [seed as usize, seed as usize + 4];
        let others = || (0..8).filter(|core| !away.contains(core));
        for (a, b) in away.iter().flat_map(|a| others().map(move |b| (*a, b))) {
            world.set_link(a, b, false);
        }
        world.run(RECOVERY_TIME + SETTLE_TIME);
        assert!(world.leader().is_some(), "seed {seed}");
        world.heal();
        world.run(SETTLE_TIME);
        assert_eq!(voters(&world).len(), 7, "seed {seed}");
        check_service(&mut world, &format!("seed {seed}"));
    }
}
