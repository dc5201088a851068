//! Tests with slow workers and with copies of units.

mod world;

use jobs::{State, Step};
use std::time::Duration;
use world::{World, step};

fn seconds(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}

fn speculative(count: u32, millis: u64) -> Step {
    Step { speculative: true, ..step(count, 1000, millis) }
}

fn submit(world: &mut World, id: &str, run_time: f64, steps: Vec<Step>) {
    world.run_times.insert(id.to_string(), seconds(run_time));
    world.submit("q", id, steps);
}

/// Starts one unit on each worker, so that no idle instance is moved to the standby pool.
fn hold_instances(world: &mut World) {
    submit(world, "hold", 60.0, vec![Step { anti_affinity: 1, ..step(4, 1000, 60_000) }]);
    world.run(seconds(0.2));
}

fn duration(world: &World, id: &str) -> Duration {
    let job = world.ledger.find_job(&"q".to_string(), id).unwrap();
    Duration::from_millis(job.finished_at.unwrap_or(world.time().wall) - job.accepted_at)
}

/// Fills 4 workers with two units of one second of each of 4 jobs, of which those on `w0` take
/// several times as long.
fn slow_world(slowdown: f64, step: &Step) -> World {
    let mut world = World::new(4);
    world.workers.get_mut("w0").unwrap().slowdown = slowdown;
    for number in 0..4 {
        let step = Step { count: 8, anti_affinity: 2, ..step.clone() };
        submit(&mut world, &format!("a{number}"), 1.0, vec![step]);
    }
    world
}

#[test]
fn units_on_a_slow_worker_are_copied_and_the_job_ends_with_the_copies() {
    let mut world = slow_world(8.0, &speculative(8, 1000));
    world.run(seconds(4.0));
    for number in 0..4 {
        let id = format!("a{number}");
        assert_eq!(world.state("q", &id), State::Completed, "{id}");
        assert!(duration(&world, &id) <= seconds(3.2), "{id}: {:?}", duration(&world, &id));
    }
    world.run(seconds(1.0));
    let left: usize = world.workers.values().map(|worker| worker.runs.len()).sum();
    assert_eq!(left, 0, "the slower runs are stopped");
}

#[test]
fn steps_that_may_not_run_in_copies_run_once() {
    let mut world = slow_world(8.0, &step(8, 1000, 1000));
    world.run(seconds(10.0));
    assert_eq!(world.starts.len(), 32);
}

#[test]
fn units_that_are_long_by_themselves_are_not_copied() {
    let mut world = World::new(4);
    submit(&mut world, "short", 1.0, vec![speculative(24, 1000)]);
    submit(&mut world, "long", 8.0, vec![speculative(2, 1000)]);
    world.run(seconds(9.0));
    assert_eq!(world.starts.len(), 26, "their workers run other units as expected");
}

#[test]
fn units_of_a_silent_worker_are_copied_before_its_lease_is_over() {
    let mut world = World::new(4);
    hold_instances(&mut world);
    submit(&mut world, "a", 1.0, vec![speculative(7, 1000)]);
    world.run(seconds(0.5));
    let silent = world.workers_running("a.0.0.0")[0].clone();
    world.workers.get_mut(&silent).unwrap().is_down = true;
    world.run(seconds(5.0));
    assert_eq!(world.state("q", "a"), State::Completed);
    assert!(duration(&world, "a") <= seconds(4.5), "{:?}", duration(&world, "a"));
}

#[test]
fn no_copies_are_started_while_ready_units_wait_for_room() {
    let mut world = slow_world(20.0, &speculative(8, 1000));
    submit(&mut world, "b", 1.0, vec![step(200, 1000, 1000)]);
    world.run(seconds(3.0));
    let copies = world.starts.iter().filter(|start| start.run > 1 && start.name.starts_with('a'));
    assert_eq!(copies.count(), 0);
}

#[test]
fn a_copy_survives_a_change_of_leader_and_the_unit_is_done_once() {
    let mut world = slow_world(8.0, &speculative(8, 1000));
    world.run(seconds(1.8));
    world.replace_leader();
    world.run(seconds(6.0));
    for number in 0..4 {
        assert_eq!(world.state("q", &format!("a{number}")), State::Completed);
    }
    let left: usize = world.workers.values().map(|worker| worker.runs.len()).sum();
    assert_eq!(left, 0);
}

#[test]
fn new_units_go_to_sound_workers_while_one_is_slow() {
    let mut world = slow_world(8.0, &step(8, 1000, 1000));
    world.run(seconds(2.5));
    let before = world.starts.len();
    submit(&mut world, "b", 0.5, vec![step(12, 1000, 500)]);
    world.run(seconds(0.5));
    let after = &world.starts[before..];
    assert!(after.len() == 12 && after.iter().all(|start| start.worker != "w0"), "{after:?}");
}

#[test]
fn a_worker_that_was_slow_is_used_again_when_it_is_not() {
    let mut world = slow_world(4.0, &step(8, 1000, 1000));
    world.run(seconds(2.5));
    assert!(world.scheduler.workers()["w0"].is_slow);
    world.workers.get_mut("w0").unwrap().slowdown = 1.0;
    hold_instances(&mut world);
    world.run(seconds(6.0));
    submit(&mut world, "b", 0.5, vec![step(28, 1000, 500)]);
    world.run(seconds(0.5));
    assert!(world.starts.iter().any(|s| s.worker == "w0" && s.name.starts_with("b.")));
}

#[test]
fn a_step_whose_time_was_declared_too_short_makes_no_worker_slow() {
    let mut world = World::new(2);
    world.run_times.insert("a".to_string(), seconds(2.0));
    world.submit("q", "a", vec![speculative(8, 200)]);
    submit(&mut world, "b", 0.5, vec![step(4, 1000, 500)]);
    world.run(seconds(1.5));
    assert!(world.scheduler.workers().values().all(|worker| !worker.is_slow));
    world.run(seconds(3.0));
    assert_eq!(world.starts.len(), 12, "no copies");
}

#[test]
fn units_away_from_their_data_make_no_worker_slow() {
    let mut world = World::new(2);
    world.set_far_factor(4.0);
    for number in 0..4 {
        let id = format!("a{number}");
        world.run_times.insert(id.clone(), seconds(4.0));
        let affinity = Some("elsewhere".to_string());
        let away = Step { affinity, anti_affinity: 1, ..speculative(2, 1000) };
        world.submit("q", &id, vec![away]);
    }
    world.run(seconds(2.5));
    assert!(world.scheduler.workers().values().all(|worker| !worker.is_slow));
    world.run(seconds(3.0));
    assert_eq!(world.starts.len(), 8, "no copies");
    assert!(world.scheduler.workers().values().all(|worker| !worker.is_slow));
}
