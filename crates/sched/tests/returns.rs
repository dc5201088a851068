//! Units of which an earlier start may still be carried out: they run again at the worker of that start
//! or wait for it, and neither run twice when it restarts nor stand still while it answers.

mod world;

use jobs::command::EndReason;
use std::time::Duration;
use world::{TICK, World, long_running, step};

/// Time for which a unit may stand still beside room, by the platform.
const MAX_STILL: Duration = Duration::from_secs(3);

fn seconds(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}

/// Runs the world and checks at each tick that no unit runs twice.
fn run_checked(world: &mut World, duration: Duration) {
    let end = world.now + duration;
    while world.now < end {
        world.run(TICK);
        assert_eq!(world.running_twice(), Vec::<String>::new(), "at {:?}", world.now);
    }
}

/// Lets each worker leave its first start unanswered and answer the copy of it, and a unit begin.
/// Returns its worker.
fn begin_beside_late_copy(world: &mut World, unit: jobs::Step) -> String {
    for worker in world.workers.values_mut() {
        worker.omits_one_start_in = Some(2);
        worker.start_orders = 1;
    }
    world.submit("q", "a", vec![unit]);
    while world.workers_running("a.0.0.0").is_empty() {
        world.run(TICK);
    }
    for worker in world.workers.values_mut() {
        worker.omits_one_start_in = None;
    }
    world.workers_running("a.0.0.0")[0].to_string()
}

#[test]
fn a_unit_whose_run_lapsed_beside_a_late_copy_of_its_start_does_not_stand_still() {
    let mut world = World::new(3);
    world.run_times.insert("a".to_string(), seconds(60.0));
    world.start_delay = seconds(60.0);
    let worker = begin_beside_late_copy(&mut world, step(1, 2000, 60_000));
    world.workers.get_mut(&worker).unwrap().partitioned = true;
    run_checked(&mut world, seconds(6.0));
    world.workers.get_mut(&worker).unwrap().partitioned = false;
    run_checked(&mut world, MAX_STILL);
    assert_eq!(world.workers_running("a.0.0.0").len(), 1, "{:?}", world.starts);
}

/// Starts long work on another worker than the one given, which makes that the fullest one with room.
fn fill_other(world: &mut World, worker: &str) {
    let rack = world.workers[worker].report.rack().cloned();
    let mut racks = world.workers.values().filter_map(|worker| worker.report.rack());
    let other = racks.find(|other| Some(*other) != rack.as_ref()).cloned();
    world.run_times.insert("b".to_string(), seconds(60.0));
    world.submit("q", "b", vec![jobs::Step { requires: other, ..step(1, 1000, 60_000) }]);
}

/// Lets a leader be lost that has no answer to its start of a unit, which its worker has not carried
/// out, and the next leader run the unit.
fn place_after_change_of_leader(unit: jobs::Step) -> (World, String) {
    let mut world = World::new(3);
    world.run_times.insert("a".to_string(), seconds(60.0));
    for worker in world.workers.values_mut() {
        (worker.loses_start_answers, worker.executes_lost_starts) = (true, false);
    }
    world.submit("q", "a", vec![unit]);
    while world.workers.values().all(|worker| worker.start_orders == 0) {
        world.run(TICK);
    }
    let worker = world.workers.iter().find(|(_, worker)| worker.start_orders > 0);
    let worker = worker.map(|(id, _)| id.clone()).unwrap();
    world.end_leadership();
    for worker in world.workers.values_mut() {
        worker.loses_start_answers = false;
    }
    fill_other(&mut world, &worker);
    let known = world.workers.keys().cloned().collect();
    world.run(seconds(0.5));
    world.begin_leadership(&known);
    run_checked(&mut world, seconds(1.0));
    assert_eq!(world.workers_running("a.0.0.0").len(), 1);
    (world, worker)
}

/// Lets the worker restart while nobody leads, and its next incarnation carry out the start.
fn restart_between_leaders(mut world: World, worker: &str) {
    world.end_leadership();
    world.restart(worker, seconds(0.2));
    run_checked(&mut world, seconds(0.3));
    world.start_late(worker, "a.0.0.0", 1);
    run_checked(&mut world, seconds(1.0));
}

#[test]
fn a_start_of_the_former_leader_does_not_run_beside_the_next_run_while_there_is_no_leader() {
    let (world, worker) = place_after_change_of_leader(step(1, 6000, 60_000));
    restart_between_leaders(world, &worker);
}

#[test]
fn work_that_lasts_does_not_run_beside_a_start_of_the_former_leader_while_there_is_no_leader() {
    let (world, worker) = place_after_change_of_leader(long_running(1, 6000));
    restart_between_leaders(world, &worker);
}

#[test]
fn a_unit_that_is_stopped_for_a_late_start_elsewhere_does_not_stand_still() {
    let mut world = World::new(3);
    world.run_times.insert("a".to_string(), seconds(60.0));
    world.start_delay = seconds(60.0);
    // The first worker refuses the start in the end, and the unit begins on another, beside a late copy.
    for worker in world.workers.values_mut() {
        (worker.loses_start_answers, worker.executes_lost_starts) = (true, false);
    }
    world.submit("q", "a", vec![step(1, 6000, 60_000)]);
    while world.workers.values().all(|worker| worker.start_orders == 0) {
        world.run(TICK);
    }
    let first = world.workers.iter().find(|(_, worker)| worker.start_orders > 0);
    let first = first.map(|(id, _)| id.clone()).unwrap();
    for (id, worker) in &mut world.workers {
        worker.loses_start_answers = *id == first;
        if *id != first {
            (worker.omits_one_start_in, worker.start_orders) = (Some(2), 1);
        }
    }
    while world.workers_running("a.0.0.0").is_empty() {
        run_checked(&mut world, TICK);
    }
    assert_ne!(*world.workers_running("a.0.0.0")[0], first);
    for worker in world.workers.values_mut() {
        (worker.loses_start_answers, worker.omits_one_start_in) = (false, None);
    }
    world.workers.get_mut(&first).unwrap().omits_one_poll_in = Some(1);
    while !world.workers_running("a.0.0.0").is_empty() {
        run_checked(&mut world, TICK); // stopped, as the first worker may have restarted
    }
    world.workers.get_mut(&first).unwrap().omits_one_poll_in = None;
    run_checked(&mut world, MAX_STILL);
    assert_eq!(world.workers_running("a.0.0.0").len(), 1, "{:?}", world.starts);
    assert!(world.starts_of("a.0.0.0").len() > 1);
}

/// Lets a run end `failed` while a copy of its start is under way.
fn fail_beside_late_copy(world: &mut World) {
    world.run_times.insert("a".to_string(), seconds(60.0));
    world.start_delay = seconds(60.0);
    let id = begin_beside_late_copy(world, step(1, 2000, 60_000));
    let worker = world.workers.get_mut(&id).unwrap();
    let run = *worker.runs.keys().map(|(_, run)| run).next().unwrap();
    worker.runs.clear();
    worker.end("a.0.0.0".to_string(), run, EndReason::Failed);
}

#[test]
fn a_unit_that_failed_beside_a_late_copy_of_its_start_does_not_stand_still() {
    let mut world = World::new(3);
    fail_beside_late_copy(&mut world);
    run_checked(&mut world, MAX_STILL);
    assert_eq!(world.workers_running("a.0.0.0").len(), 1, "{:?}", world.starts);
}

#[test]
fn a_unit_that_failed_beside_a_late_copy_does_not_stand_still_after_a_change_of_leader() {
    let mut world = World::new(3);
    fail_beside_late_copy(&mut world);
    run_checked(&mut world, seconds(0.3)); // the end is in the log
    world.end_leadership();
    let known = world.workers.keys().cloned().collect();
    world.run(seconds(0.5));
    world.begin_leadership(&known);
    run_checked(&mut world, MAX_STILL);
    assert_eq!(world.workers_running("a.0.0.0").len(), 1, "{:?}", world.starts);
}
