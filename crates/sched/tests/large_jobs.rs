//! Tests that no single job keeps the leader's thread from its heartbeats: the time of each of its
//! steps is bounded for the largest job that a client may send.

mod world;

use jobs::State;
use jobs::definition::{MAX_UNITS, Resources, Step};
use std::time::Duration;
use world::{World, step};

/// Time without a heartbeat after which the other cores elect another leader.
const ELECTION_TIMEOUT: Duration = Duration::from_millis(900);

/// Asserts that no action of the leader's thread has outlasted the election timeout.
fn assert_no_hold_up(world: &World, what: &str) {
    let longest = &world.longest;
    assert!(longest.values().all(|took| *took < ELECTION_TIMEOUT), "{what}: {longest:?}");
}

fn small(after: Vec<u16>) -> Step {
    Step { after, resources: Resources::default(), ..step(1, 0, 100) }
}

/// Jobs by the dependencies of their steps. Two characters of a request name a dependency, so that a
/// body of 256 KiB has at most 130,000 of them.
fn shapes() -> Vec<(&'static str, Vec<Step>)> {
    let most = MAX_UNITS as u16;
    let chain =
        (0..most).map(|number| small((number > 0).then(|| number - 1).into_iter().collect()));
    let fan_in = (0..most).map(|number| match number == most - 1 {
        true => small((0..number).collect()),
        false => small(Vec::new()),
    });
    let fan_out = (0..most).map(|number| small(if number == 0 { Vec::new() } else { vec![0] }));
    let dense = (0..500).map(|number| small((0..number).collect()));
    let repeated = vec![small(Vec::new()), small(vec![0; 130_000])];
    vec![
        ("300 steps", (0..300).map(|_| small(Vec::new())).collect()),
        ("independent steps", (0..most).map(|_| small(Vec::new())).collect()),
        ("a chain", chain.collect()),
        ("a step after all others", fan_in.collect()),
        ("all steps after the first", fan_out.collect()),
        ("each step after all earlier ones", dense.collect()),
        ("a dependency named again and again", repeated),
    ]
}

/// Guards against a leader that loses its lease over a job of many steps, as each next one does.
#[test]
fn a_job_of_many_steps_does_not_hold_up_the_leader() {
    for (shape, steps) in shapes() {
        let mut world = World::new(3);
        world.submit("q", "a", steps);
        world.replace_informed_leader();
        world.run(Duration::from_millis(100));
        assert_no_hold_up(&world, shape);
    }
}

/// Guards against a leader that loses its lease over the ends of steps that another one waits for.
#[test]
fn the_ends_of_many_steps_before_one_do_not_hold_up_the_leader() {
    let mut world = World::new(3);
    world.run_times.insert("a".to_string(), Duration::from_millis(100));
    let mut steps: Vec<Step> = (1..MAX_UNITS).map(|_| small(Vec::new())).collect();
    steps.push(small((0..MAX_UNITS as u16 - 1).collect()));
    world.submit("q", "a", steps);
    world.run(Duration::from_secs(2));
    assert_no_hold_up(&world, "ends before a step");
    assert_eq!(world.state("q", "a"), State::Completed);
}

/// Guards against a leader that loses its lease over a gang of many units that breaks.
#[test]
fn breaking_a_gang_of_many_units_does_not_hold_up_the_leader() {
    let mut world = World::new(3);
    world.crash_downtime = Duration::from_millis(100);
    world.submit("q", "a", vec![Step { count: 6000, gang: true, ..small(Vec::new()) }]);
    world.run(Duration::from_millis(300));
    world.crash("w1");
    world.run(Duration::from_secs(7));
    assert_no_hold_up(&world, "breaking a gang");
}
