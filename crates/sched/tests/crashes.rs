//! Tests of the scheduler with units that crash the workers that start them, and with workers that
//! crash for other reasons.

mod world;

use jobs::State;
use jobs::definition::Step;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::time::Duration;
use world::{TICK, World, long_running, step};

/// Starts of a unit that crash their workers, after which no other may follow: three times more
/// after three crashes breaks the platform's rule.
const MAX_STARTS: usize = 5;
/// Time from the start of a deadly run to the crash.
const SOON: Duration = Duration::from_millis(10);

fn seconds(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}

fn submit(world: &mut World, id: &str, millis: u64, steps: Vec<Step>) {
    world.run_times.insert(id.to_string(), Duration::from_millis(millis));
    world.submit("q", id, steps);
}

/// Hands in a job of four units each 100 ms, for the given time.
fn run_with_load(world: &mut World, prefix: &str, duration: Duration) -> Vec<String> {
    let mut ids = Vec::new();
    let end = world.now + duration;
    while world.now < end {
        let id = format!("{prefix}{}", ids.len());
        submit(world, &id, 600, vec![step(4, 1500, 600)]);
        ids.push(id);
        world.run(Duration::from_millis(100));
    }
    ids
}

fn assert_completed(world: &World, ids: &[String]) {
    for id in ids {
        assert_eq!(world.state("q", id), State::Completed, "job {id}");
    }
}

#[test]
fn a_unit_that_crashes_its_workers_is_given_up_before_a_sixth_start() {
    let mut world = World::new(6);
    world.deadly.insert("a.".to_string(), SOON);
    submit(&mut world, "a", 600, vec![step(1, 1000, 600)]);
    world.run(seconds(60.0));
    let starts = world.starts_of("a.0.0.0");
    assert!(starts.len() <= MAX_STARTS, "{starts:?}");
    assert_eq!(world.state("q", "a"), State::Failed);
}

#[test]
fn units_beside_one_that_crashes_its_workers_complete() {
    let mut world = World::new(8);
    world.deadly.insert("bad.0.0.0".to_string(), SOON);
    let mut others = run_with_load(&mut world, "a", seconds(1.0));
    submit(&mut world, "bad", 600, vec![step(3, 1500, 600)]);
    others.extend(run_with_load(&mut world, "b", seconds(10.0)));
    world.run(seconds(40.0));
    assert_eq!(world.state("q", "bad"), State::Failed);
    assert!(world.starts_of("bad.0.0.0").len() <= MAX_STARTS);
    assert_completed(&world, &others);
}

#[test]
fn a_unit_that_crashes_its_workers_before_they_answer_is_given_up() {
    let mut world = World::new(6);
    world.deadly.insert("a.".to_string(), Duration::ZERO);
    world.workers.values_mut().for_each(|worker| worker.loses_start_answers = true);
    submit(&mut world, "a", 600, vec![step(1, 1000, 600)]);
    for _ in 0..600 {
        world.run(seconds(0.1));
        world.workers.values_mut().for_each(|worker| worker.loses_start_answers = true);
    }
    let starts = world.starts_of("a.0.0.0");
    assert!(starts.len() <= MAX_STARTS, "{starts:?}");
    assert_eq!(world.state("q", "a"), State::Failed);
}

#[test]
fn a_unit_that_crashes_its_workers_is_given_up_under_changing_leaders() {
    for seed in 0..20 {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut world = World::new(6);
        world.deadly.insert("a.".to_string(), SOON);
        submit(&mut world, "a", 600, vec![step(1, 1000, 600)]);
        for _ in 0..12 {
            world.run(Duration::from_millis(rng.random_range(3000..9000)));
            world.replace_informed_leader();
        }
        world.run(seconds(30.0));
        let starts = world.starts_of("a.0.0.0");
        assert!(starts.len() <= MAX_STARTS, "seed {seed}: {starts:?}");
        assert_eq!(world.state("q", "a"), State::Failed, "seed {seed}");
    }
}

#[test]
fn a_unit_whose_workers_crash_long_after_its_start_under_changing_leaders_is_not_given_up() {
    let mut world = World::new(2);
    world.uses_roster = true;
    world.crash_downtime = seconds(25.0); // the unit starts elsewhere before
    submit(&mut world, "a", 60_000, vec![step(1, 6000, 60_000)]);
    for crashes in 0..4 {
        for worker in world.workers.values_mut() {
            worker.loses_start_answers = true;
        }
        while world.starts_of("a.0.0.0").len() <= crashes {
            world.run(TICK);
            assert!(world.now < seconds(600.0), "{crashes} crashes: {:?}", world.state("q", "a"));
        }
        world.run(seconds(5.0));
        let id = world.workers_running("a.0.0.0")[0].clone();
        world.end_leadership();
        let known = world.workers.keys().cloned().collect();
        world.crash(&id);
        world.begin_leadership(&known);
    }
    for worker in world.workers.values_mut() {
        worker.loses_start_answers = false;
    }
    world.run(seconds(150.0));
    assert_eq!(world.state("q", "a"), State::Completed);
}

#[test]
fn a_unit_that_crashes_its_workers_under_their_ids_is_given_up() {
    let mut world = World::new(4);
    submit(&mut world, "a", 600_000, vec![step(1, 1000, 600)]);
    for _ in 0..6000 {
        world.run(world::TICK);
        for id in world.workers_running("a.0.0.0").into_iter().cloned().collect::<Vec<_>>() {
            world.restart(&id, seconds(3.3));
        }
    }
    let starts = world.starts_of("a.0.0.0");
    assert!(starts.len() <= MAX_STARTS, "{starts:?}");
    assert_eq!(world.state("q", "a"), State::Failed);
}

#[test]
fn a_unit_whose_workers_stay_down_longer_than_their_lease_is_given_up() {
    let mut world = World::new(8);
    world.crash_downtime = seconds(8.0);
    world.deadly.insert("a.".to_string(), SOON);
    submit(&mut world, "a", 600, vec![step(1, 1000, 600)]);
    world.run(seconds(120.0));
    let starts = world.starts_of("a.0.0.0");
    assert!(starts.len() <= MAX_STARTS, "{starts:?}");
    assert_eq!(world.state("q", "a"), State::Failed);
}

#[test]
fn a_step_of_many_deadly_units_does_not_take_its_pool_down() {
    let mut world = World::new(10);
    world.deadly.insert("bad.".to_string(), SOON);
    submit(&mut world, "bad", 600, vec![step(24, 1000, 600)]);
    world.run(seconds(0.5));
    let first = world.crashes.len();
    world.run(seconds(60.0));
    assert_eq!(world.state("q", "bad"), State::Failed);
    let trials = world.crashes.len() - first;
    assert!(trials <= 2, "one worker at a time is risked: {:?}", world.crashes);
}

#[test]
fn a_gang_whose_member_crashes_its_worker_is_given_up() {
    let mut world = World::new(8);
    world.deadly.insert("a.0.0.1".to_string(), SOON);
    let gang = Step { gang: true, ..step(3, 5000, 600) };
    submit(&mut world, "a", 60_000, vec![gang]);
    world.run(seconds(90.0));
    let starts = world.starts_of("a.0.0.1");
    assert!(starts.len() <= MAX_STARTS, "{starts:?}");
    assert_eq!(world.state("q", "a"), State::Failed);
}

/// Guards against a job that lasts and is shown as failed though no run of it failed, and against one
/// that takes more than one worker at a time down.
#[test]
fn long_running_work_that_crashes_its_workers_at_its_start_is_tried_on_one_at_a_time() {
    let mut world = World::new(6);
    world.deadly.insert("a.0.0.0".to_string(), SOON);
    world.submit("q", "a", vec![long_running(3, 1000)]);
    let others = run_with_load(&mut world, "b", seconds(20.0));
    world.run(seconds(40.0));
    let starts = world.starts_of("a.0.0.0").len();
    let most = (60.0 / world.crash_downtime.as_secs_f64()) as usize + 1;
    assert!(starts <= most, "{starts} starts, one on each worker that is up again would be {most}");
    assert_eq!(world.state("q", "a"), State::Running);
    assert_eq!(world.workers_running("a.0.0.1").len(), 1);
    assert_completed(&world, &others);
}

/// Guards against a job that lasts and is shown as failed since its workers crash again and again.
#[test]
fn long_running_work_outlives_crashes_of_all_workers_again_and_again() {
    let mut world = World::new(3);
    world.crash_downtime = seconds(0.7);
    world.submit("q", "a", vec![long_running(3, 1000)]);
    for _ in 0..6 {
        world.run(seconds(2.0));
        world.workers_up().iter().for_each(|id| world.crash(id));
    }
    world.run(seconds(15.0));
    assert_eq!(world.state("q", "a"), State::Running);
    for unit in ["a.0.0.0", "a.0.0.1", "a.0.0.2"] {
        assert_eq!(world.workers_running(unit).len(), 1, "{unit}");
    }
}

/// Guards against jobs that are shown as failed since all workers of their pool crash at the same
/// time, again and again, before any of the jobs is done.
#[test]
fn jobs_outlive_crashes_of_all_workers_again_and_again() {
    for seed in 0..6 {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut world = World::new(6);
        world.crash_downtime = seconds(0.7);
        let mut ids = Vec::new();
        for _ in 0..12 {
            let id = format!("a{}", ids.len());
            submit(&mut world, &id, 2000, vec![step(4, 1000, 2000)]);
            ids.push(id);
            world.run(Duration::from_millis(rng.random_range(900..1400)));
            world.workers_up().iter().for_each(|id| world.crash(id));
        }
        world.run(seconds(30.0));
        assert_completed(&world, &ids);
    }
}

#[test]
fn long_running_work_whose_worker_crashes_now_and_then_goes_on() {
    let mut world = World::new(4);
    world.submit("q", "a", vec![long_running(1, 1000)]);
    for _ in 0..12 {
        world.run(seconds(15.0));
        let id = world.workers_running("a.0.0.0")[0].clone();
        world.crash(&id);
    }
    world.run(seconds(10.0));
    assert_eq!(world.workers_running("a.0.0.0").len(), 1);
    assert_eq!(world.state("q", "a"), State::Running);
}

/// Guards against a job that is shown as failed since a poll that was open when a trial began hid how
/// long the run went on.
#[test]
fn crashes_at_different_times_after_the_start_fail_no_job_where_polls_are_open() {
    for phase in 0..16 {
        let mut world = World::new(8);
        world.submit("q", "keep", vec![long_running(8, 1000)]);
        world.run(seconds(6.0) + phase * Duration::from_millis(50));
        submit(&mut world, "a", 2000, vec![step(1, 1000, 2000)]);
        for (crashes, survived) in [0.08, 0.24, 0.44, 0.13].into_iter().enumerate() {
            while world.starts_of("a.0.0.0").len() <= crashes {
                world.run(TICK);
                assert!(world.now < seconds(300.0), "{:?}", world.state("q", "a"));
            }
            world.run(seconds(survived));
            let id = world.workers_running("a.0.0.0")[0].clone();
            world.crash(&id);
        }
        world.run(seconds(30.0));
        let job = world.ledger.find_job(&"q".to_string(), "a").unwrap();
        assert_eq!(job.state, State::Completed, "phase {phase}: {:#?}", job.explain());
    }
}

#[test]
fn a_suspected_unit_is_tried_where_every_worker_has_long_running_work() {
    let mut world = World::new(3);
    world.submit("q", "keep", vec![long_running(3, 1000)]);
    world.run(seconds(3.0));
    submit(&mut world, "a", 600, vec![step(1, 1000, 600)]);
    world.run(seconds(0.1));
    let id = world.workers_running("a.0.0.0")[0].clone();
    world.crash(&id);
    world.run(seconds(10.0));
    assert_eq!(world.state("q", "a"), State::Completed);
}

#[test]
fn nothing_starts_beside_a_suspected_unit_until_it_has_outlived_its_crash() {
    let mut world = World::new(3);
    submit(&mut world, "a", 5000, vec![step(1, 1000, 5000)]);
    world.run(seconds(0.1));
    let id = world.workers_running("a.0.0.0")[0].clone();
    world.crash(&id);
    while world.starts_of("a.0.0.0").len() < 2 {
        world.run(world::TICK);
    }
    let trial = world.workers_running("a.0.0.0")[0].clone();
    let started_at = world.now;
    for number in 0..20 {
        let id = format!("b{number}");
        submit(&mut world, &id, 1000, vec![step(2, 1500, 1000)]);
        world.run(seconds(0.05));
    }
    let beside = |world: &World| world.workers[&trial].runs.len() > 1;
    while world.now < started_at + seconds(0.9) {
        assert!(!beside(&world), "{:?}", world.workers[&trial].runs);
        world.run(world::TICK);
    }
    world.run(seconds(2.0));
    assert!(world.starts.iter().any(|start| start.worker == trial && start.name.starts_with('b')));
    world.run(seconds(10.0));
    assert_eq!(world.state("q", "a"), State::Completed);
}

#[test]
fn a_suspected_gang_is_tried_where_every_worker_has_long_running_work() {
    let mut world = World::new(4);
    world.submit("q", "keep", vec![long_running(4, 1000)]);
    world.run(seconds(3.0));
    let gang = Step { gang: true, anti_affinity: 1, ..step(3, 5000, 600) };
    submit(&mut world, "a", 5000, vec![gang]);
    world.run(seconds(0.1));
    let id = world.workers_running("a.0.0.0")[0].clone();
    world.crash(&id);
    world.run(seconds(20.0));
    assert_eq!(world.state("q", "a"), State::Completed);
}

#[test]
fn a_trial_that_no_worker_can_run_keeps_none_from_other_work() {
    let mut world = World::new(2);
    let worker = world.workers.get_mut("w0").unwrap();
    worker.report.labels.push("large".to_string());
    worker.report.number += 1;
    world.report("w0");
    let requires = Some("large".to_string());
    submit(&mut world, "a", 600, vec![Step { requires, ..step(1, 1000, 600) }]);
    world.run(seconds(0.1));
    world.workers.get_mut("w0").unwrap().report.labels.pop();
    world.crash("w0");
    world.run(seconds(10.0));
    let spread = Step { anti_affinity: 1, ..step(2, 1000, 10_000) };
    submit(&mut world, "b", 10_000, vec![spread]);
    world.run(seconds(1.0));
    submit(&mut world, "c", 10_000, vec![step(14, 1000, 10_000)]);
    world.run(seconds(1.0));
    assert_eq!(world.starts.len(), 17, "both workers are full");
}

#[test]
fn units_of_a_step_do_not_wait_for_a_trial_on_a_worker_that_is_cut_off() {
    let mut world = World::new(6);
    submit(&mut world, "a", 30_000, vec![step(2, 5000, 30_000)]);
    world.run(seconds(0.1));
    for name in ["a.0.0.0", "a.0.0.1"] {
        let id = world.workers_running(name)[0].clone();
        world.crash(&id);
    }
    for worker in world.workers.values_mut() {
        (worker.loses_start_answers, worker.executes_lost_starts) = (true, false);
        worker.start_orders = 0;
    }
    let first = loop {
        world.run(world::TICK);
        if let Some((id, _)) = world.workers.iter().find(|(_, worker)| worker.start_orders > 0) {
            break id.clone();
        }
    };
    world.workers.values_mut().for_each(|worker| worker.loses_start_answers = false);
    world.workers.get_mut(&first).unwrap().partitioned = true;
    let before = world.starts.len();
    world.run(seconds(8.0));
    assert!(world.starts.len() > before, "the other unit fits elsewhere");
}

#[test]
fn a_worker_that_is_cut_off_puts_no_unit_under_suspicion() {
    let mut world = World::new(4);
    submit(&mut world, "a", 700, vec![step(2, 1000, 700)]);
    world.run(seconds(0.1));
    let id = world.workers_running("a.0.0.0")[0].clone();
    world.workers.get_mut(&id).unwrap().partitioned = true;
    world.run(seconds(9.0));
    world.workers.get_mut(&id).unwrap().partitioned = false;
    world.run(seconds(5.0));
    assert_eq!(world.scheduler.effort().worker_crashes, 0);
    assert_eq!(world.state("q", "a"), State::Completed);
}

#[test]
fn a_worker_that_was_about_to_leave_has_not_crashed() {
    let mut world = World::new(4);
    submit(&mut world, "a", 700, vec![step(2, 1000, 700)]);
    world.run(seconds(0.1));
    let id = world.workers_running("a.0.0.0")[0].clone();
    let worker = world.workers.get_mut(&id).unwrap();
    worker.report.draining = true;
    worker.report.number += 1;
    world.report(&id);
    world.crash(&id);
    world.run(seconds(10.0));
    assert_eq!(world.scheduler.effort().worker_crashes, 0);
    assert_eq!(world.state("q", "a"), State::Completed);
}

/// Plays 30 s in which workers crash at random, alone or several at once, beside jobs of which
/// some crash their workers.
fn play_random_crashes(seed: u64) {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut world = World::new(12);
    let (mut innocent, mut deadly) = (Vec::new(), Vec::new());
    for number in 0..300 {
        if rng.random_bool(0.5) {
            let millis = rng.random_range(200..2500);
            let count = rng.random_range(1..6);
            if deadly.len() < 3 && rng.random_bool(0.03) {
                let id = format!("bad{number}");
                world.deadly.insert(format!("{id}.0.0.0"), SOON);
                submit(&mut world, &id, millis, vec![step(count, 1500, millis)]);
                deadly.push(id);
            } else {
                let id = format!("a{number}");
                submit(&mut world, &id, millis, vec![step(count, 1500, millis)]);
                innocent.push(id);
            }
        }
        let crashes = match rng.random_range(0..1000) {
            0..25 => 1,
            25..30 => 4,
            _ => 0,
        };
        for _ in 0..crashes {
            let up = world.workers_up();
            if !up.is_empty() {
                world.crash(&up[rng.random_range(0..up.len())]);
            }
        }
        world.run(Duration::from_millis(100));
    }
    world.run(seconds(60.0));
    for id in &innocent {
        let job = world.ledger.find_job(&"q".to_string(), id).unwrap();
        assert_eq!(job.state, State::Completed, "seed {seed}: {:#?}", job.explain());
    }
    for id in &deadly {
        assert_eq!(world.state("q", id), State::Failed, "seed {seed}, job {id}");
        let starts = world.starts_of(&format!("{id}.0.0.0"));
        assert!(starts.len() <= MAX_STARTS, "seed {seed}: {starts:?}");
    }
    assert_eq!(world.overloads, [], "seed {seed}");
}

#[test]
fn only_units_that_crash_their_workers_are_given_up_while_workers_crash_at_random() {
    for seed in 0..30 {
        play_random_crashes(seed);
    }
}
