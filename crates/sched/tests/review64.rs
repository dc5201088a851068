//! What may end a hold too early or too late: leaders that change beside a parked instance, and work
//! that lasts beside a worker that restarts.

mod world;

use jobs::command::Command;
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

/// Lets the unit of a job `a` fail on an idle worker that has left a copy of its start unanswered.
/// Returns that worker.
fn fail_beside_late_start(world: &mut World, unit: Step) -> String {
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
    world.starts_of("a.0.0.0")[0].worker.clone()
}

/// Lets the leader change `after` the instance of the worker that left a start unanswered was parked.
/// The next leader knows the last report of that worker if it `has_report`.
fn change_leader_after_parking(after: Duration, has_report: bool) {
    let mut world = World::new(4);
    let on = |rack: &str, step: Step| Step { requires: Some(rack.to_string()), ..step };
    world.run_times.insert("a".to_string(), seconds(1.0));
    world.run_times.insert("b".to_string(), seconds(60.0));
    world.run_times.insert("c".to_string(), seconds(6.0));
    world.start_delay = seconds(60.0);
    world.submit("q", "b", vec![on("rack0", step(2, 5000, 60_000))]);
    world.submit("q", "c", vec![on("rack1", step(1, 3000, 4000))]);
    world.run(seconds(0.5));
    let worker = fail_beside_late_start(&mut world, on("rack1", step(1, 6000, 1000)));
    let instance = world.workers[&worker].report.instance.clone();
    let is_parked = |moved: &(Duration, String, String)| moved.1 == instance && moved.2 == STANDBY;
    while !world.moves.iter().any(is_parked) {
        run_checked(&mut world, TICK);
    }
    run_checked(&mut world, after);
    assert_ne!(world.state("q", "a"), State::Completed);
    world.end_leadership();
    let mut known: BTreeSet<String> = world.workers.keys().cloned().collect();
    if !has_report {
        known.remove(&worker);
    }
    world.begin_leadership(&known);
    // Job `c` ends 6 s after its start and leaves room; the parked one never runs again.
    run_checked(&mut world, seconds(4.5) + MAX_WAIT);
    assert_eq!(world.state("q", "a"), State::Completed, "{after:?} {:?}", world.starts);
}

#[test]
fn a_unit_does_not_wait_for_a_parked_worker_whose_last_report_the_next_leader_knows() {
    change_leader_after_parking(seconds(1.8), true);
}

#[test]
fn a_unit_does_not_wait_for_a_parked_worker_that_the_next_leader_knows_while_it_moves() {
    change_leader_after_parking(seconds(0.5), true);
}

#[test]
fn a_unit_does_not_wait_for_a_parked_worker_that_only_the_ledger_knows() {
    change_leader_after_parking(seconds(1.8), false);
}

/// Lets work that lasts fail beside a late copy of its start, and its worker start again just before
/// the copy arrives.
fn restart_before_late_copy(stop_time: Duration) {
    let mut world = World::new(3);
    world.trouble.stop_time = stop_time;
    world.start_delay = seconds(3.0);
    let worker = fail_beside_late_start(&mut world, long_running(1, 2000));
    // The first copy left 150 ms before the second one.
    run_checked(&mut world, seconds(2.7));
    world.restart(&worker, seconds(0.05));
    run_checked(&mut world, seconds(20.0));
    assert_eq!(world.workers_running("a.0.0.0").len(), 1);
}

#[test]
fn work_that_lasts_does_not_run_twice_when_its_former_worker_restarts() {
    restart_before_late_copy(Duration::ZERO);
}

#[test]
fn work_that_lasts_does_not_run_twice_when_its_former_worker_restarts_and_stops_take_time() {
    restart_before_late_copy(seconds(0.5));
}

#[test]
fn work_that_lasts_does_not_run_twice_when_its_step_may_miss_no_more() {
    let mut world = World::new(4);
    world.start_delay = seconds(3.0);
    let worker = fail_beside_late_start(&mut world, long_running(2, 2000));
    run_checked(&mut world, seconds(2.7));
    let other = world.workers_running("a.0.0.1").first().map(|id| id.to_string());
    let other = other.expect("the other unit runs");
    assert_ne!(other, worker);
    world.crash(&other);
    world.restart(&worker, seconds(0.05));
    run_checked(&mut world, seconds(20.0));
}

#[test]
fn a_unit_does_not_wait_for_the_lease_of_a_worker_whose_instance_is_in_maintenance() {
    let mut world = World::new(4);
    world.run_times.insert("a".to_string(), seconds(1.0));
    world.start_delay = seconds(60.0);
    world.maintenance_overrun = seconds(60.0);
    let worker = fail_beside_late_start(&mut world, step(1, 4000, 1000));
    let instance = world.workers[&worker].report.instance.clone();
    let sent_at = world.now;
    let at = world.time().wall;
    world.apply(Command::StartWave(jobs::Wave::new(1, [instance].into(), seconds(30.0), 1, at)));
    run_checked(&mut world, WINDOW + MAX_WAIT);
    assert!(!world.maintenances_begun.is_empty());
    let started = world.starts_of("a.0.0.0").last().unwrap().at;
    assert!(started > sent_at, "lists after the window show that nothing runs on the instance");
}

#[test]
fn a_unit_that_may_run_in_copies_does_not_wait_for_a_late_start() {
    let mut world = World::new(4);
    world.run_times.insert("a".to_string(), seconds(1.0));
    world.start_delay = seconds(60.0);
    fail_beside_late_start(&mut world, Step { speculative: true, ..step(1, 4000, 1000) });
    let failed_at = world.now;
    world.run(MAX_WAIT);
    let started = world.starts_of("a.0.0.0").last().unwrap().at;
    assert!(started > failed_at, "two runs of it may go on at the same time");
}

/// Lets the instance of work that lasts go into maintenance by the leader's own order while a copy of
/// its start is under way, which arrives with the next worker under the same id.
#[test]
fn maintenance_does_not_let_work_that_lasts_run_twice() {
    for ticks in 100..500 {
        let mut world = World::new(3);
        world.start_delay = TICK * ticks;
        for worker in world.workers.values_mut() {
            worker.omits_one_start_in = Some(2);
            worker.start_orders = 1; // the first start is left unanswered, its copy is not
        }
        world.submit("q", "a", vec![long_running(1, 2000)]);
        while world.workers_running("a.0.0.0").is_empty() {
            run_checked(&mut world, TICK);
        }
        let worker = world.workers_running("a.0.0.0")[0].clone();
        for worker in world.workers.values_mut() {
            worker.omits_one_start_in = None;
        }
        let instances = [world.workers[&worker].report.instance.clone()].into();
        let at = world.time().wall;
        world.apply(Command::StartWave(jobs::Wave::new(1, instances, seconds(30.0), 1, at)));
        run_checked(&mut world, seconds(8.0));
    }
}
