//! Tests of the scheduler with workers whose capacity changes while they run.

mod world;

use jobs::State;
use std::time::Duration;
use world::{World, step};

fn seconds(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}

/// Changes the capacity of a worker, which reports it at once.
fn resize(world: &mut World, id: &str, cpu_milli: u64) {
    let report = &mut world.workers.get_mut(id).unwrap().report;
    report.capacity.cpu_milli = cpu_milli;
    report.number += 1;
    world.report(id);
}

fn submit(world: &mut World, id: &str, count: u32, millis: u64) {
    world.run_times.insert(id.to_string(), Duration::from_millis(millis));
    world.submit("q", id, vec![step(count, 2000, millis)]);
}

#[test]
fn a_worker_that_has_shrunk_gets_no_more_than_fits() {
    let mut world = World::new(1);
    submit(&mut world, "a", 1, 10_000);
    world.run(seconds(1.0));
    resize(&mut world, "w0", 4000);
    world.run(seconds(1.0));
    submit(&mut world, "b", 3, 1000);
    world.run(seconds(0.5));
    assert_eq!(world.overloads, []);
    assert_eq!(world.workers["w0"].runs.len(), 2, "4 cores fit two units of 2 cores");
    world.run(seconds(15.0));
    assert_eq!(world.overloads, []);
    assert_eq!(
        (world.state("q", "a"), world.state("q", "b")),
        (State::Completed, State::Completed)
    );
}

#[test]
fn a_worker_that_has_grown_again_gets_what_fits() {
    let mut world = World::new(1);
    resize(&mut world, "w0", 2000);
    world.run(seconds(1.0));
    submit(&mut world, "a", 6, 3000);
    world.run(seconds(0.5));
    assert_eq!(world.workers["w0"].runs.len(), 1);
    resize(&mut world, "w0", 12_000);
    world.run(seconds(0.5));
    assert_eq!(world.workers["w0"].runs.len(), 6, "12 cores fit six units of 2 cores");
    assert_eq!(world.overloads, []);
}

#[test]
fn runs_of_a_worker_that_has_shrunk_below_them_go_on() {
    let mut world = World::new(1);
    submit(&mut world, "a", 4, 3000);
    world.run(seconds(1.0));
    resize(&mut world, "w0", 2000);
    world.run(seconds(1.0));
    assert_eq!(world.workers["w0"].runs.len(), 4);
    world.run(seconds(3.0));
    assert_eq!(world.starts.len(), 4, "each unit runs once");
    assert_eq!(world.state("q", "a"), State::Completed);
}

#[test]
fn a_placement_is_not_started_at_a_worker_that_has_shrunk_before_it_is_committed() {
    let mut world = World::new(2);
    submit(&mut world, "a", 4, 1000);
    world.now += world::TICK;
    let time = world.time();
    let output = world.scheduler.decide(time, &world.ledger);
    assert!(
        output
            .proposals
            .iter()
            .any(|p| matches!(p, jobs::Command::Runs(b) if !b.placed.is_empty()))
    );
    for id in ["w0", "w1"] {
        resize(&mut world, id, 4000);
    }
    for command in output.proposals {
        world.apply(command);
    }
    world.run(seconds(0.5));
    assert_eq!(world.overloads, []);
    assert_eq!(world.starts.len(), 4, "two on each worker");
    world.run(seconds(5.0));
    assert_eq!(world.state("q", "a"), State::Completed);
}

#[test]
fn a_start_without_an_answer_is_not_repeated_at_a_worker_that_has_shrunk() {
    let mut world = World::new(1);
    submit(&mut world, "a", 1, 4000);
    world.run(seconds(0.5));
    let worker = world.workers.get_mut("w0").unwrap();
    (worker.loses_start_answers, worker.executes_lost_starts) = (true, false);
    submit(&mut world, "b", 2, 1000);
    while world.workers["w0"].start_orders < 3 {
        world.run(world::TICK); // until both starts were sent and not answered
    }
    world.workers.get_mut("w0").unwrap().loses_start_answers = false;
    resize(&mut world, "w0", 4000);
    world.run(seconds(3.0));
    assert_eq!(world.overloads, []);
    world.run(seconds(60.0));
    assert_eq!(world.state("q", "b"), State::Completed);
}
