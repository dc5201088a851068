//! Queues whose policy allows only some workers: renamed queues, and bursts of jobs.

mod world;

use jobs::command::{Command, Submit};
use jobs::config::Advice;
use jobs::{Definition, State};
use std::time::Duration;
use world::{World, step};

#[test]
fn units_of_a_renamed_queue_start_with_tickets_of_its_policy() {
    let mut world = World::new(4);
    world.allowed = vec!["w1".to_string(), "w3".to_string()];
    let mut config = world.ledger.config().unwrap().clone();
    let queue = config.queues.remove("r").unwrap();
    let submit = Submit {
        queue: "r".to_string(),
        place: Some(queue.place()),
        id: "a".to_string(),
        definition: Definition { steps: vec![step(4, 1000, 400)], ..Definition::default() },
        owner: None,
        at: world.time().wall,
    };
    world.run_times.insert("a".to_string(), Duration::from_millis(400));
    world.apply(Command::Submit(submit));
    config.version += 1;
    config.queues.insert("renamed".to_string(), queue);
    world.apply(Command::Configure(Box::new(config)));
    world.run(Duration::from_secs(4));
    assert!(world.starts.iter().all(|start| world.allowed.contains(&start.worker)));
    assert_eq!(world.state("renamed", "a"), State::Completed);
}

const WORKERS: usize = 30;

/// Returns a world whose policy allows all workers and declares to need 0.8 s for a call.
fn world_with_policy() -> World {
    let mut world = World::new(WORKERS);
    world.allowed = world.workers.keys().cloned().collect();
    let mut config = world.ledger.config().unwrap().clone();
    let (decision, per_worker) = (Duration::from_millis(800), Duration::ZERO);
    config.queues.get_mut("r").unwrap().advice =
        Some(Advice { decision, per_worker, valid: Duration::from_secs(3) });
    config.version += 1;
    world.apply(Command::Configure(Box::new(config)));
    world.policy.decision = decision;
    world
}

/// Submits jobs of four short units at a rate a second. Returns the number of the next job.
fn submit_jobs(world: &mut World, first: usize, rate: f64, span: Duration) -> usize {
    let count = (span.as_secs_f64() * rate) as usize;
    for number in first..first + count {
        let id = format!("a{number}");
        world.run_times.insert(id.clone(), Duration::from_millis(640));
        world.submit("r", &id, vec![step(4, 1800, 640)]);
        world.run(Duration::from_secs_f64(1.0 / rate));
    }
    first + count
}

fn count_completed(world: &World, jobs: usize) -> usize {
    let is_completed = |number: &usize| world.state("r", &format!("a{number}")) == State::Completed;
    (0..jobs).filter(is_completed).count()
}

/// Guards against a fixed wait for the policy: after a burst each answer came later than that and was
/// thrown away, and the steps asked anew behind the calls that were given up, for ever.
#[test]
fn a_queue_with_a_policy_recovers_from_a_burst() {
    let mut world = world_with_policy();
    let mut jobs = submit_jobs(&mut world, 0, 1.0, Duration::from_secs(10));
    jobs = submit_jobs(&mut world, jobs, 2.6, Duration::from_secs(4));
    jobs = submit_jobs(&mut world, jobs, 1.0, Duration::from_secs(10));
    world.run(Duration::from_secs(14));
    assert_eq!(count_completed(&world, jobs), jobs);
    assert_eq!(world.policy.given_up, 0);
}

/// Guards against the same for a policy that needs more time than it declares.
#[test]
fn a_policy_slower_than_declared_is_waited_for() {
    let mut world = world_with_policy();
    world.policy.decision *= 8;
    let jobs = submit_jobs(&mut world, 0, 1.0, Duration::from_secs(5));
    world.run(Duration::from_secs(60));
    assert_eq!(count_completed(&world, jobs), jobs);
}

/// Guards against calls that pile up behind a policy which stands still for a while.
#[test]
fn a_queue_recovers_from_a_policy_that_stood_still() {
    let mut world = world_with_policy();
    world.policy.idle_at = world.now + Duration::from_secs(20);
    let jobs = submit_jobs(&mut world, 0, 1.0, Duration::from_secs(20));
    world.run(Duration::from_secs(40));
    assert_eq!(count_completed(&world, jobs), jobs);
}

/// Guards against calls about workers that have no room, whose tickets expire unused.
#[test]
fn workers_with_room_are_asked_for_first() {
    let mut world = World::new(40);
    world.allowed = world.workers.keys().cloned().collect();
    // The workers that the short job leaves are the last ones by name.
    world.run_times.insert("short".to_string(), Duration::from_millis(200));
    world.run_times.insert("full".to_string(), Duration::from_secs(60));
    world.submit("q", "short", vec![step(5, 8000, 200)]);
    world.submit("q", "full", vec![step(35, 8000, 60_000)]);
    world.run(Duration::from_secs(1));
    world.run_times.insert("a".to_string(), Duration::from_millis(400));
    world.submit("r", "a", vec![step(5, 8000, 400)]);
    world.run(Duration::from_secs(1));
    assert_eq!(world.state("r", "a"), State::Completed);
    assert_eq!(world.advise_calls, 1);
}
