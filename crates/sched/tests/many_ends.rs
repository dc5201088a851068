//! Tests with more ends at a worker than it lists at a time.

mod world;

use jobs::State;
use jobs::definition::{Resources, Step};
use std::collections::BTreeMap;
use std::time::Duration;
use world::{LISTED_ENDS, World, step};

const UNITS: usize = LISTED_ENDS * 3;
const RUN_TIME: Duration = Duration::from_secs(2);

/// Starts a job of [`UNITS`] units that need no resources on one worker.
fn start_units() -> World {
    let mut world = World::new(1);
    world.run_times.insert("a".to_string(), RUN_TIME);
    let unit = Step { resources: Resources::default(), ..step(UNITS as u32, 0, 2000) };
    world.submit("q", "a", vec![unit]);
    world.run(Duration::from_secs(1));
    assert_eq!(world.starts.len(), UNITS);
    world
}

fn assert_started_once(world: &World) {
    let mut starts: BTreeMap<&str, u32> = BTreeMap::new();
    for start in &world.starts {
        *starts.entry(&start.name).or_default() += 1;
    }
    let again = starts.values().filter(|count| **count > 1).count();
    assert_eq!(again, 0, "{again} of {} units were started again", starts.len());
    assert_eq!(world.state("q", "a"), State::Completed);
}

/// Guards against a new leader that takes runs whose ends come with a later list for runs that never
/// began, and starts their units, which are done, again.
#[test]
fn ends_that_a_new_leader_reads_with_its_second_list_are_ends() {
    let mut world = start_units();
    world.workers.get_mut("w0").unwrap().polls_hang = true;
    world.run(RUN_TIME - Duration::from_millis(500));
    world.workers.get_mut("w0").unwrap().polls_hang = false;
    world.replace_informed_leader();
    world.run(Duration::from_secs(10));
    assert_started_once(&world);
}

/// Guards against a leader that stops runs whose ends are not listed yet for making no progress.
#[test]
fn runs_whose_ends_are_not_listed_yet_are_not_stuck() {
    let mut world = start_units();
    world.workers.get_mut("w0").unwrap().polls_hang = true;
    world.run(RUN_TIME - Duration::from_millis(500));
    let worker = world.workers.get_mut("w0").unwrap();
    worker.polls_hang = false;
    worker.keeps_acknowledged_ends = true;
    world.run(Duration::from_secs(4));
    world.workers.get_mut("w0").unwrap().keeps_acknowledged_ends = false;
    world.run(Duration::from_secs(10));
    assert_started_once(&world);
}
