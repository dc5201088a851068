//! Tests that workers get work again after failures that are over, also those with work that is
//! never done.

mod world;

use jobs::State;
use jobs::command::EndReason;
use jobs::definition::Step;
use std::time::Duration;
use world::{World, long_running, step};

/// Time without a run after which a unit that lasts counts as lost, from the end of its last run.
const LOST_AFTER: Duration = Duration::from_secs(9);

fn seconds(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}

fn lasting(count: u32) -> Step {
    Step { anti_affinity: 0, max_unavailable: None, ..long_running(count, 500) }
}

fn submit(world: &mut World, id: &str, steps: Vec<Step>) {
    if !steps.iter().any(|step| step.long_running) {
        world.run_times.insert(id.to_string(), seconds(0.6));
    }
    world.submit("q", id, steps);
}

/// Lets all workers fail all that they start, while jobs come in.
fn fail_all(world: &mut World, duration: Duration) {
    world.workers.values_mut().for_each(|worker| worker.fails_runs = true);
    let end = world.now + duration;
    let mut number = 0;
    while world.now < end {
        submit(world, &format!("f{}-{number}", world.now.as_millis()), vec![step(4, 1000, 600)]);
        number += 1;
        world.run(seconds(0.2));
    }
    world.workers.values_mut().for_each(|worker| worker.fails_runs = false);
}

fn at_work(world: &World, id: &str) -> usize {
    let is_of_job = |name: &str| name.split('.').next() == Some(id);
    let runs = world.workers.values().flat_map(|worker| worker.runs.keys());
    runs.filter(|(name, _)| is_of_job(name)).count()
}

/// Guards against workers that stay shut out after failures since they always run something.
#[test]
fn workers_with_work_that_lasts_get_work_again_after_failures() {
    let mut world = World::new(3);
    submit(&mut world, "watch", vec![long_running(3, 500)]); // one on each worker
    world.run(seconds(2.0));
    for _ in 0..4 {
        fail_all(&mut world, seconds(6.5));
        world.run(seconds(2.5));
    }
    world.run(seconds(8.0));
    submit(&mut world, "a", vec![step(6, 1000, 600)]);
    world.run(seconds(3.0));
    assert_eq!(world.state("q", "a"), State::Completed);
    assert_eq!(at_work(&world, "watch"), 3);
}

/// Guards against work that lasts and is not restarted, since its own failures shut its workers out.
#[test]
fn work_that_lasts_runs_again_after_failures_of_its_own() {
    let mut world = World::new(3);
    submit(&mut world, "watch", vec![lasting(12)]);
    world.run(seconds(4.0));
    for _ in 0..2 {
        for worker in world.workers.values_mut() {
            for (name, run) in std::mem::take(&mut worker.runs).into_keys() {
                worker.end(name, run, EndReason::Failed);
            }
        }
        world.run(seconds(4.0));
    }
    world.run(LOST_AFTER.saturating_sub(seconds(4.0)));
    assert_eq!(at_work(&world, "watch"), 12);
    submit(&mut world, "a", vec![step(4, 1000, 600)]);
    world.run(seconds(2.0));
    assert_eq!(world.state("q", "a"), State::Completed);
}

/// Guards against work that lasts and waits for a backoff of its workers to end.
#[test]
fn work_that_lasts_does_not_wait_until_the_backoff_of_all_workers_ends() {
    for halves in 8..20 {
        let mut world = World::new(3);
        submit(&mut world, "watch", vec![lasting(3)]);
        world.run(seconds(2.0));
        for worker in world.workers.values_mut() {
            for (name, run) in std::mem::take(&mut worker.runs).into_keys() {
                worker.end(name, run, EndReason::Failed);
            }
        }
        fail_all(&mut world, seconds(f64::from(halves) / 2.0));
        world.run(seconds(3.0));
        assert_eq!(at_work(&world, "watch"), 3, "3 s after {halves} half seconds of failures");
    }
}

/// Guards against a flood of starts of work that lasts, which no backoff limits.
#[test]
fn work_that_lasts_and_fails_at_its_start_is_started_ever_more_rarely() {
    let mut world = World::new(3);
    world.workers.values_mut().for_each(|worker| worker.fails_runs = true);
    submit(&mut world, "watch", vec![lasting(1)]);
    world.run(seconds(30.0));
    let starts = world.starts_of("watch.0.0.0").len();
    assert!((10..=24).contains(&starts), "{starts} starts");
}

/// Guards against a worker that inherits the backoff of its predecessor under its id.
#[test]
fn a_restarted_worker_is_not_in_the_backoff_of_its_predecessor() {
    let mut world = World::new(1);
    fail_all(&mut world, seconds(6.5));
    world.restart("w0", seconds(0.5));
    world.run(seconds(1.0));
    submit(&mut world, "a", vec![step(4, 1000, 600)]);
    world.run(seconds(2.0));
    assert_eq!(world.state("q", "a"), State::Completed);
}
