//! Units that wait for the end of a late start: what ends the wait when the worker that may carry it
//! out answers nobody any more.

mod world;

use jobs::{State, Step};
use std::collections::BTreeSet;
use std::time::Duration;
use world::{STANDBY, TICK, World, long_running, step};

/// Time for which a unit may wait beside free resources.
const MAX_WAIT: Duration = Duration::from_secs(3);
/// Time from a start order to the last moment at which it may be carried out, as the leader counts.
const WINDOW: Duration = Duration::from_secs(15);

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

/// Returns the first worker that was sent a start.
fn started_worker(world: &World) -> String {
    world.workers.iter().find(|(_, worker)| worker.start_orders > 0).unwrap().0.clone()
}

/// Lets the unit of a job `a` fail on an idle worker that has left a copy of its start unanswered.
/// Returns that worker.
fn fail_beside_late_start(world: &mut World, unit: Step) -> String {
    world.run_times.insert("a".to_string(), seconds(1.0));
    world.start_delay = seconds(60.0);
    for worker in world.workers.values_mut().filter(|worker| worker.runs.is_empty()) {
        (worker.omits_one_start_in, worker.fails_runs) = (Some(2), true);
        worker.start_orders = 1; // the first start is left unanswered, its copy is not
    }
    world.submit("q", "a", vec![unit]);
    while world.starts_of("a.0.0.0").is_empty() {
        world.run(TICK);
    }
    for worker in world.workers.values_mut() {
        (worker.omits_one_start_in, worker.fails_runs) = (None, false);
    }
    let worker = world.starts_of("a.0.0.0")[0].worker.clone();
    world.run(seconds(0.1));
    worker
}

/// Creates four workers of which one is idle, `a` failed there, and the other one on its rack has room
/// for `a` 4 s later. Returns the idle one.
fn fail_on_spare_instance() -> (World, String) {
    let mut world = World::new(4);
    let on = |rack: &str, step: Step| Step { requires: Some(rack.to_string()), ..step };
    world.run_times.insert("b".to_string(), seconds(60.0));
    world.run_times.insert("c".to_string(), seconds(4.0));
    world.submit("q", "b", vec![on("rack0", step(2, 5000, 60_000))]);
    world.submit("q", "c", vec![on("rack1", step(1, 3000, 4000))]);
    world.run(seconds(0.5));
    let worker = fail_beside_late_start(&mut world, on("rack1", step(1, 6000, 1000)));
    (world, worker)
}

#[test]
fn a_unit_does_not_wait_for_a_worker_whose_instance_is_parked() {
    let (mut world, worker) = fail_on_spare_instance();
    let instance = world.workers[&worker].report.instance.clone();
    run_checked(&mut world, seconds(4.0));
    let is_parked = |moved: &(Duration, String, String)| moved.1 == instance && moved.2 == STANDBY;
    assert!(world.moves.iter().any(is_parked));
    run_checked(&mut world, MAX_WAIT);
    assert_eq!(world.state("q", "a"), State::Completed);
}

#[test]
fn an_instance_whose_worker_may_carry_out_a_late_start_stays_parked() {
    let (mut world, worker) = fail_on_spare_instance();
    let instance = world.workers[&worker].report.instance.clone();
    let is_back = |moved: &&(Duration, String, String)| moved.1 == instance && moved.2 == "p";
    run_checked(&mut world, seconds(4.0));
    assert!(world.moves.iter().any(|(_, moved, pool)| *moved == instance && pool == STANDBY));
    for number in 0..14 {
        let id = format!("d{number}");
        world.run_times.insert(id.clone(), seconds(20.0));
        world.submit("q", &id, vec![step(8, 1000, 20_000)]);
        run_checked(&mut world, seconds(1.0));
        if world.now < world.starts_of("a.0.0.0")[0].at + WINDOW {
            assert_eq!(world.moves.iter().find(is_back), None, "its next worker may have its id");
        }
    }
    run_checked(&mut world, seconds(2.0));
    assert!(world.moves.iter().any(|moved| is_back(&moved)), "it is fetched in the end");
}

#[test]
fn a_unit_does_not_wait_for_the_lease_of_a_worker_that_is_gone() {
    let mut world = World::new(3);
    let worker = fail_beside_late_start(&mut world, step(1, 4000, 1000));
    world.lists_only_workers_up = true;
    world.workers.get_mut(&worker).unwrap().is_down = true;
    let failed_at = world.now;
    run_checked(&mut world, WINDOW + MAX_WAIT);
    let started = world.starts_of("a.0.0.0").last().unwrap().at;
    assert!(started > failed_at, "the unit runs once the start can't be carried out any more");
}

#[test]
fn a_unit_runs_as_soon_as_its_late_start_is_over() {
    let mut world = World::new(2);
    fail_beside_late_start(&mut world, step(1, 4000, 1000));
    let sent_at = world.starts_of("a.0.0.0")[0].at;
    run_checked(&mut world, WINDOW + seconds(1.0));
    let started = world.starts_of("a.0.0.0").last().unwrap().at;
    assert!(started > sent_at && started < sent_at + WINDOW + seconds(0.5), "{started:?}");
}

#[test]
fn a_unit_does_not_wait_for_a_worker_that_a_new_leader_has_never_heard_of() {
    let mut world = World::new(3);
    world.run_times.insert("a".to_string(), seconds(60.0));
    world.start_delay = seconds(60.0);
    for worker in world.workers.values_mut() {
        worker.omits_one_start_in = Some(1);
    }
    world.submit("q", "a", vec![step(1, 3000, 60_000)]);
    world.run(TICK * 3);
    let first = started_worker(&world);
    for worker in world.workers.values_mut() {
        worker.omits_one_start_in = None;
    }
    world.crash_downtime = seconds(1.0);
    world.end_leadership();
    world.crash(&first);
    run_checked(&mut world, seconds(2.0));
    world.begin_leadership(&BTreeSet::new());
    // All reports and the lease of the former leader.
    run_checked(&mut world, world::REPORT_INTERVAL + seconds(5.5) + MAX_WAIT);
    assert_eq!(world.workers_running("a.0.0.0").len(), 1);
}

#[test]
fn a_unit_does_not_wait_for_a_worker_whose_successor_on_its_instance_has_work_by_the_log() {
    let mut world = World::new(2);
    world.run_times.insert("a".to_string(), seconds(60.0));
    world.run_times.insert("b".to_string(), seconds(8.0));
    world.start_delay = seconds(60.0);
    for worker in world.workers.values_mut() {
        worker.omits_one_start_in = Some(1);
    }
    world.submit("q", "a", vec![step(1, 3000, 60_000)]);
    world.run(TICK * 3);
    let first = started_worker(&world);
    world.crash_downtime = seconds(0.5);
    world.crash(&first);
    for worker in world.workers.values_mut() {
        worker.omits_one_start_in = None;
    }
    world.submit("q", "b", vec![step(2, 6000, 8000)]);
    run_checked(&mut world, seconds(2.0));
    assert_eq!(world.workers_running("b.0.0.0").len() + world.workers_running("b.0.0.1").len(), 2);
    world.trouble.loses_lists = true;
    world.end_leadership();
    world.begin_leadership(&BTreeSet::new());
    run_checked(&mut world, seconds(8.0) + MAX_WAIT);
    assert_eq!(world.workers_running("a.0.0.0").len(), 1);
}

#[test]
fn work_that_lasts_does_not_wait_for_a_copy_of_its_start_that_its_worker_refuses() {
    let mut world = World::new(3);
    world.start_delay = seconds(60.0);
    for worker in world.workers.values_mut() {
        worker.omits_one_start_in = Some(2);
        worker.start_orders = 1; // the first start is left unanswered, its copy is not
    }
    world.submit("q", "a", vec![long_running(1, 2000)]);
    run_checked(&mut world, seconds(2.0));
    let first = world.workers_running("a.0.0.0")[0].clone();
    for worker in world.workers.values_mut() {
        worker.omits_one_start_in = None;
    }
    world.workers.get_mut(&first).unwrap().report.draining = true;
    world.report(&first);
    run_checked(&mut world, MAX_WAIT);
    assert_eq!(world.workers_running("a.0.0.0").len(), 1, "{:?}", world.starts);
    assert_ne!(*world.workers_running("a.0.0.0")[0], first);
}
