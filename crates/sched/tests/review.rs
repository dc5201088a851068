//! Orders and answers that are taken for proof of more than they show, when workers restart under
//! their ids and leaders change.

mod world;

use std::collections::BTreeSet;
use std::time::Duration;
use world::dimension::Dimensions;
use world::schedule::{Failure, Faults, Schedule};
use world::{World, long_running, step};

fn seconds(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}

/// Advances the simulation, and checks at each tick that no unit runs on two workers.
fn run_checked(world: &mut World, duration: Duration) {
    let end = world.now + duration;
    while world.now < end {
        world.run(world::TICK);
        let twice = world.running_twice();
        assert!(twice.is_empty(), "{twice:?} run twice at {:?}: {:?}", world.now, world.starts);
    }
}

fn set_omitted_starts(world: &mut World, omits_one_in: Option<u32>) {
    for worker in world.workers.values_mut() {
        worker.omits_one_start_in = omits_one_in;
    }
}

/// Returns the only worker that was sent a start.
fn started_worker(world: &World) -> String {
    world.workers.iter().find(|(_, w)| w.start_orders > 0).unwrap().0.clone()
}

/// Carries out the second copy of a start, whose first copy is under way, and lets the worker list
/// the run before the answer to the start is overdue.
fn list_second_copy(world: &mut World, id: &str, name: &str) {
    let now = world.now;
    let worker = world.workers.get_mut(id).unwrap();
    worker.runs.insert((name.to_string(), 1), now);
    worker.lease_expiry = now + seconds(5.0);
    worker.end("unknown.0.0.0".to_string(), 1, jobs::command::EndReason::Done); // ends the poll
    world.run(world::TICK * 3);
}

/// Answers the start as the client does after it has sent it on two connections.
fn answer_repeated_start(world: &mut World, id: &str, name: &str) {
    let unit = world.ledger.find_unit(name).unwrap();
    let worker = &world.workers[id];
    let outcome = sched::order::StartOutcome {
        answer: sched::order::Answer::Done(()),
        clock_ms: Some(worker.clock_ms(world.now)),
        is_unsent: false,
        is_repeated: true,
    };
    let incarnation = worker.report.incarnation.clone();
    let reply = sched::scheduler::StartReply::new(incarnation, unit, 1, outcome);
    world.scheduler.on_start_reply(world.time(), &world.ledger, reply);
}

#[test]
fn a_copy_of_a_start_whose_run_is_listed_before_the_answer_does_not_run_beside_the_next_run() {
    for ticks in 0..20 {
        let mut world = World::new(3);
        world.start_delay = seconds(2.2) + world::TICK * ticks;
        world.run_times.insert("a".to_string(), seconds(20.0));
        set_omitted_starts(&mut world, Some(1));
        world.submit("q", "a", vec![step(1, 6000, 20_000)]);
        world.run(world::TICK * 3);
        set_omitted_starts(&mut world, None);
        let first = started_worker(&world);
        list_second_copy(&mut world, &first, "a.0.0.0");
        answer_repeated_start(&mut world, &first, "a.0.0.0");
        run_checked(&mut world, seconds(1.0));
        let report = &mut world.workers.get_mut(&first).unwrap().report;
        report.capacity = world::resources(1000); // the unit is placed on another worker
        world.restart(&first, seconds(0.1));
        run_checked(&mut world, seconds(1.0));
        world.restart(&first, seconds(0.2)); // the second successor knows no fence and no stop
        run_checked(&mut world, seconds(30.0));
    }
}

#[test]
fn a_copy_of_a_start_whose_run_is_listed_before_the_answer_is_known_to_a_new_leader() {
    for ticks in 0..20 {
        let mut world = World::new(3);
        world.start_delay = seconds(2.2) + world::TICK * ticks;
        world.run_times.insert("a".to_string(), seconds(20.0));
        set_omitted_starts(&mut world, Some(1));
        world.submit("q", "a", vec![step(1, 6000, 20_000)]);
        world.run(world::TICK * 3);
        set_omitted_starts(&mut world, None);
        let first = started_worker(&world);
        list_second_copy(&mut world, &first, "a.0.0.0");
        answer_repeated_start(&mut world, &first, "a.0.0.0");
        run_checked(&mut world, seconds(0.8));
        world.replace_informed_leader();
        run_checked(&mut world, seconds(0.2));
        let report = &mut world.workers.get_mut(&first).unwrap().report;
        report.capacity = world::resources(1000); // the unit is placed on another worker
        world.restart(&first, seconds(0.1));
        run_checked(&mut world, seconds(1.0));
        world.restart(&first, seconds(0.2)); // the second successor knows no fence and no stop
        run_checked(&mut world, seconds(30.0));
    }
}

/// Restarts a worker that has left a start unanswered, which reaches the successor, while the leader
/// changes.
fn restart_beside_lists_without_worker(is_known: bool) {
    let mut world = World::new(3);
    world.lists_only_workers_up = true;
    world.start_delay = seconds(9.0);
    world.run_times.insert("a".to_string(), seconds(20.0));
    set_omitted_starts(&mut world, Some(1));
    world.submit("q", "a", vec![step(1, 6000, 20_000)]);
    world.run(world::TICK * 3);
    set_omitted_starts(&mut world, None);
    let first = started_worker(&world);
    world.restart(&first, seconds(8.95));
    world.run(world::TICK * 3);
    let mut known: BTreeSet<String> = world.workers.keys().cloned().collect();
    if !is_known {
        known.remove(&first);
    }
    world.end_leadership();
    world.begin_leadership(&known);
    run_checked(&mut world, seconds(40.0));
    assert_eq!(world.starts_of("a.0.0.0").len(), 2, "{:?}", world.starts);
}

#[test]
fn an_instance_without_worker_does_not_show_a_new_leader_that_none_returns() {
    restart_beside_lists_without_worker(true);
}

#[test]
fn an_instance_without_worker_does_not_show_that_none_returns_to_a_leader_without_its_report() {
    restart_beside_lists_without_worker(false);
}

/// Lets a worker refuse a start that it left unanswered, and report to a new leader after all others,
/// while the unit runs on one of them.
fn report_late_to_new_leader(work: jobs::Step) {
    let mut world = World::new(3);
    world.run_times.insert("a".to_string(), seconds(60.0));
    for worker in world.workers.values_mut() {
        worker.loses_start_answers = true;
        worker.executes_lost_starts = false;
    }
    world.submit("q", "a", vec![work]);
    world.run(world::TICK * 3);
    for worker in world.workers.values_mut() {
        let was_chosen = worker.runs.is_empty() && worker.start_orders > 0;
        (worker.loses_start_answers, worker.executes_lost_starts) = (was_chosen, false);
    }
    let first = started_worker(&world);
    world.run(seconds(3.0));
    let second = world.workers_running("a.0.0.0")[0].clone();
    assert_ne!(first, second);
    while !world.now.as_millis().is_multiple_of(world::REPORT_INTERVAL.as_millis()) {
        world.run(world::TICK);
    }
    world.run(world::TICK * 2);
    let known = world.workers.keys().filter(|id| **id != first).cloned().collect();
    world.end_leadership();
    world.begin_leadership(&known);
    run_checked(&mut world, seconds(5.0));
    let why: Vec<_> = world.log.iter().filter(|(_, e)| e.text.contains("stopped")).collect();
    assert_eq!(world.starts_of("a.0.0.0").len(), 1, "{why:?}");
}

#[test]
fn work_is_not_stopped_since_a_worker_that_refuses_its_start_reports_after_others() {
    report_late_to_new_leader(step(1, 6000, 60_000));
}

#[test]
fn work_that_lasts_is_not_stopped_since_a_worker_that_refuses_its_start_reports_after_others() {
    report_late_to_new_leader(long_running(1, 6000));
}

/// Returns the failures of random schedules under changing leaders, in which the cloud names only
/// workers that are up.
fn play_with_short_lists(restart_gap: Duration, seeds: &[u64]) -> Vec<Failure> {
    let faults = Faults { leader_change: 0.01, ..Faults::new(restart_gap) };
    let play = |seed: &u64| {
        let mut schedule = Schedule::new(*seed, faults);
        schedule.world.lists_only_workers_up = true;
        schedule.play(seconds(120.0)).err()
    };
    seeds.iter().filter_map(play).collect()
}

#[test]
fn no_unit_runs_twice_while_the_cloud_names_only_workers_that_are_up_and_leaders_change() {
    for restart_gap in [seconds(20.0), seconds(0.5)] {
        let failures = play_with_short_lists(restart_gap, &[1044]);
        assert!(failures.is_empty(), "{restart_gap:?}: {failures:#?}");
    }
}

#[test]
fn no_job_is_given_up_while_workers_restart_and_leaders_change() {
    let (leader_change, omits_one_poll_in) = (0.01, Some(7));
    let faults = Faults { leader_change, omits_one_poll_in, ..Faults::new(seconds(0.5)) };
    let failure = Schedule::new(1169, faults).play(seconds(120.0)).err();
    assert_eq!(failure, None);
}

#[test]
fn a_unit_of_a_lost_worker_does_not_wait_anew_for_its_start_with_each_change_of_leader() {
    let mut world = World::new(3);
    world.run_times.insert("a".to_string(), seconds(300.0));
    set_omitted_starts(&mut world, Some(1));
    world.submit("q", "a", vec![step(1, 6000, 300_000)]);
    world.run(world::TICK * 3);
    set_omitted_starts(&mut world, None);
    let first = started_worker(&world);
    world.run(seconds(0.5));
    world.workers.get_mut(&first).unwrap().is_down = true;
    for _ in 0..4 {
        run_checked(&mut world, seconds(10.0)); // the last start ends 15 s and a lease after it was sent
        world.replace_informed_leader();
    }
    assert_eq!(world.starts_of("a.0.0.0").len(), 2, "{:?}", world.starts);
}

#[test]
fn a_unit_whose_start_was_released_does_not_wait_anew_with_each_change_of_leader() {
    let mut world = World::new(3);
    world.start_delay = seconds(60.0);
    world.run_times.insert("a".to_string(), seconds(300.0));
    set_omitted_starts(&mut world, Some(1));
    world.submit("q", "a", vec![step(1, 6000, 300_000)]);
    world.run(world::TICK * 3);
    set_omitted_starts(&mut world, None);
    let first = started_worker(&world);
    world.restart(&first, seconds(0.3)); // its start is stopped at the successor and released
    run_checked(&mut world, seconds(2.0));
    for _ in 0..6 {
        world.replace_informed_leader();
        run_checked(&mut world, seconds(10.0));
    }
    assert_eq!(world.starts_of("a.0.0.0").len(), 1, "{:?}", world.starts);
}

#[test]
fn a_start_that_its_worker_refuses_does_not_run_beside_the_next_run_while_there_is_no_leader() {
    let mut world = World::new(3);
    world.run_times.insert("a".to_string(), seconds(60.0));
    for worker in world.workers.values_mut() {
        worker.loses_start_answers = true;
        worker.executes_lost_starts = false;
    }
    world.submit("q", "a", vec![step(1, 6000, 60_000)]);
    world.run(world::TICK * 3);
    let first = started_worker(&world);
    for (id, worker) in &mut world.workers {
        worker.loses_start_answers = *id == first;
    }
    world.run(seconds(3.0)); // the start is stopped at the worker, and the unit placed on another
    assert_eq!(world.workers_running("a.0.0.0").len(), 1);
    world.end_leadership();
    world.restart(&first, seconds(0.2));
    run_checked(&mut world, seconds(0.3));
    world.start_late(&first, "a.0.0.0", 1);
    run_checked(&mut world, seconds(1.0));
}

/// Returns a world in which a worker has refused the start of a unit that no worker has room for, and
/// the worker.
fn refuse_without_room() -> (World, String) {
    let mut world = World::new(3);
    world.run_times.insert("a".to_string(), seconds(60.0));
    for worker in world.workers.values_mut() {
        (worker.loses_start_answers, worker.executes_lost_starts) = (true, false);
    }
    world.submit("q", "a", vec![step(1, 6000, 60_000)]);
    world.run(world::TICK * 3);
    let first = started_worker(&world);
    set_processors(&mut world, |_| true, 1000);
    for worker in world.workers.values_mut() {
        worker.loses_start_answers = false;
    }
    run_checked(&mut world, seconds(2.0)); // the start is stopped at the worker
    assert!(world.workers_running("a.0.0.0").is_empty());
    world.submit("q", "b", vec![long_running(3, 1000)]); // keeps the instances in the pool
    run_checked(&mut world, seconds(1.0));
    (world, first)
}

/// Lets workers report another size.
fn set_processors(world: &mut World, is_meant: impl Fn(&String) -> bool, cpu_milli: u64) {
    let ids: Vec<String> = world.workers.keys().filter(|id| is_meant(id)).cloned().collect();
    for id in ids {
        let report = &mut world.workers.get_mut(&id).unwrap().report;
        report.capacity.cpu_milli = cpu_milli;
        report.number += 1;
        world.report(&id);
    }
}

#[test]
fn a_unit_does_not_run_beside_its_refused_start_whose_worker_owes_an_answer() {
    for ticks in 0..20 {
        let (mut world, first) = refuse_without_room();
        world.workers.get_mut(&first).unwrap().omits_one_poll_in = Some(1);
        run_checked(&mut world, seconds(2.4) + world::TICK * ticks);
        set_processors(&mut world, |id| *id != first, 8000);
        run_checked(&mut world, seconds(0.3));
        world.restart(&first, seconds(0.05)); // no poll is open that could tell
        run_checked(&mut world, seconds(0.06));
        world.start_late(&first, "a.0.0.0", 1);
        run_checked(&mut world, seconds(1.0));
    }
}

#[test]
fn a_unit_whose_refused_start_is_at_a_worker_that_answers_late_does_not_wait_for_the_window() {
    let (mut world, first) = refuse_without_room();
    world.workers.get_mut(&first).unwrap().omits_one_poll_in = Some(1);
    run_checked(&mut world, seconds(2.5));
    set_processors(&mut world, |id| *id != first, 8000);
    world.workers.get_mut(&first).unwrap().omits_one_poll_in = None;
    run_checked(&mut world, seconds(2.0)); // the open poll ends, and the next one is answered
    assert_eq!(world.workers_running("a.0.0.0").len(), 1);
}

#[test]
fn no_unit_runs_twice_beside_a_late_start_while_answers_overtake_or_are_missing() {
    let overtaking = Dimensions { overtaking: 0.05, ..Dimensions::default() };
    let late_answers = Dimensions { late_answers: 0.05, ..Dimensions::default() };
    let crash = Dimensions { crash: 0.01, ..Dimensions::default() };
    let played = [(5008, overtaking), (5008, late_answers), (5080, crash)];
    let play = |(seed, dimensions)| {
        let (leader_change, omits_one_poll_in) = (0.01, Some(7));
        let has_lasting_work = true;
        let faults = Faults::new(seconds(0.5));
        let faults =
            Faults { leader_change, omits_one_poll_in, has_lasting_work, dimensions, ..faults };
        Schedule::new(seed, faults).play(seconds(120.0)).err()
    };
    let failures: Vec<Failure> = played.into_iter().filter_map(play).collect();
    assert!(failures.is_empty(), "{failures:#?}");
}
