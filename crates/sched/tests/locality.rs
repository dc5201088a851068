//! Tests of units that wait for places near their data or group. Workers `w0` and `w1` are on
//! `rack0`, `w2` and `w3` on `rack1` and so on, with 8 cores each.

mod world;

use jobs::{State, Step};
use std::time::Duration;
use world::{World, step};

fn seconds(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}

/// A step whose data is on `rack0`.
fn near(count: u32, cpu_milli: u64, millis: u64) -> Step {
    Step { affinity: Some("rack0".to_string()), ..step(count, cpu_milli, millis) }
}

fn submit(world: &mut World, id: &str, run_time: f64, steps: Vec<Step>) {
    world.run_times.insert(id.to_string(), seconds(run_time));
    world.submit("q", id, steps);
}

/// Fills `rack0` with units that take as long as they declare.
fn fill_rack(world: &mut World, run_time: f64) {
    submit(world, "full", run_time, vec![near(16, 1000, (run_time * 1000.0) as u64)]);
    world.run(seconds(0.3));
    assert_eq!(workers_of(world, "full"), ["w0", "w1"]);
}

/// Returns the workers that started units of a job, each once.
fn workers_of(world: &World, id: &str) -> Vec<String> {
    let prefix = format!("{id}.");
    let starts = world.starts.iter().filter(|start| start.name.starts_with(&prefix));
    let mut workers: Vec<String> = starts.map(|start| start.worker.clone()).collect();
    workers.sort();
    workers.dedup();
    workers
}

fn is_near(world: &World, id: &str) -> bool {
    workers_of(world, id).iter().all(|worker| worker == "w0" || worker == "w1")
}

/// Returns when a job ended, from its acceptance.
fn duration(world: &World, id: &str) -> Duration {
    let job = world.ledger.find_job(&"q".to_string(), id).unwrap();
    Duration::from_millis(job.finished_at.unwrap_or(world.time().wall) - job.accepted_at)
}

#[test]
fn a_unit_waits_for_a_near_place_that_is_free_soon() {
    let mut world = World::new(6);
    fill_rack(&mut world, 0.8);
    submit(&mut world, "a", 2.0, vec![near(2, 1000, 2000)]);
    world.run(seconds(0.3));
    assert_eq!(world.starts_of("a.0.0.0").len(), 0, "elsewhere it would take 3 s");
    world.run(seconds(3.0));
    assert!(is_near(&world, "a"), "{:?}", workers_of(&world, "a"));
    assert!(duration(&world, "a") <= seconds(2.8), "{:?}", duration(&world, "a"));
}

#[test]
fn a_unit_goes_elsewhere_at_once_when_near_places_are_free_late_or_never() {
    for run_time in [6.0, 600.0] {
        let mut world = World::new(6);
        fill_rack(&mut world, run_time);
        submit(&mut world, "a", 1.0, vec![near(2, 1000, 1000)]);
        world.run(seconds(0.2));
        assert!(!world.starts_of("a.0.0.0").is_empty() && !is_near(&world, "a"), "{run_time}");
    }
}

#[test]
fn a_wait_for_runs_that_take_four_times_as_long_as_declared_has_an_end() {
    let mut world = World::new(6);
    submit(&mut world, "full", 3.2, vec![near(16, 1000, 800)]);
    world.run(seconds(0.3));
    submit(&mut world, "a", 2.0, vec![near(1, 1000, 2000)]);
    world.run(seconds(1.5));
    let starts = world.starts_of("a.0.0.0");
    assert_eq!(starts.len(), 1, "it waits no longer than running near would save");
    assert!(!is_near(&world, "a"));
}

#[test]
fn units_that_wait_for_a_rack_go_elsewhere_when_it_is_lost() {
    let mut world = World::new(6);
    fill_rack(&mut world, 0.8);
    submit(&mut world, "a", 2.0, vec![near(2, 1000, 2000)]);
    world.run(seconds(0.1));
    for worker in ["w0", "w1"] {
        world.workers.get_mut(worker).unwrap().report.draining = true;
        world.workers.get_mut(worker).unwrap().report.number += 1;
        world.report(worker);
    }
    world.run(seconds(0.2));
    assert_eq!(world.starts_of("a.0.0.0").len(), 1);
    assert!(!is_near(&world, "a"), "nobody waits for workers that leave");
}

#[test]
fn only_as_many_units_wait_as_near_places_are_free_soon_in_the_order_of_rank() {
    let mut world = World::new(8);
    submit(&mut world, "late", 9.0, vec![near(14, 1000, 9000)]);
    world.run(seconds(0.1));
    submit(&mut world, "soon", 0.6, vec![near(2, 1000, 600)]);
    world.run(seconds(0.2));
    assert!(is_near(&world, "soon"));
    // Two places are free soon; of units with equal work the first goes first.
    for number in 0..4 {
        submit(&mut world, &format!("a{number}"), 2.0, vec![near(1, 1000, 2000)]);
    }
    world.run(seconds(1.2));
    let nearby: Vec<bool> = (0..4).map(|number| is_near(&world, &format!("a{number}"))).collect();
    assert_eq!(nearby, [true, true, false, false]);
    let started = (0..4).filter(|number| !world.starts_of(&format!("a{number}.0.0.0")).is_empty());
    assert_eq!(started.count(), 4, "the others went elsewhere");
}

#[test]
fn a_group_waits_for_a_rack_that_is_free_soon_and_never_for_one_that_is_too_small() {
    let group = |count| Step { gang: true, same_rack: true, ..step(count, 4000, 2000) };
    let mut world = World::new(4);
    let other_rack = Step { affinity: Some("rack1".to_string()), ..step(3, 1000, 20_000) };
    submit(&mut world, "long", 20.0, vec![other_rack]);
    submit(&mut world, "short", 0.7, vec![near(3, 1000, 700)]);
    world.run(seconds(0.3));
    submit(&mut world, "a", 2.0, vec![group(4)]);
    submit(&mut world, "b", 2.0, vec![group(5)]);
    world.run(seconds(4.0));
    let on_racks = |world: &World, id: &str| {
        let racks =
            workers_of(world, id).into_iter().map(|worker| &worker == "w0" || &worker == "w1");
        racks.collect::<std::collections::BTreeSet<bool>>().len()
    };
    assert_eq!(on_racks(&world, "a"), 1, "{:?}", workers_of(&world, "a"));
    world.run(seconds(30.0));
    assert_eq!(world.state("q", "b"), State::Completed, "it fits on no rack whole");
}

#[test]
fn a_hot_rack_with_a_queue_serves_callers_no_later_than_elsewhere_at_once() {
    let mut world = World::new(8);
    for number in 0..24 {
        submit(&mut world, &format!("a{number:02}"), 0.5, vec![near(4, 1000, 500)]);
        world.run(seconds(0.1));
    }
    world.run(seconds(6.0));
    for number in 0..24 {
        let took = duration(&world, &format!("a{number:02}"));
        // Elsewhere 0.75 s; a wait costs at most what running near saves.
        assert!(took <= seconds(1.3), "job {number}: {took:?}");
    }
}
