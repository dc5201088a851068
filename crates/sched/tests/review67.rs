//! Units that return to the worker which may carry out an earlier start of them, and units for which
//! that worker has no place: what a further restart does to them, and how long they stand still.

mod world;

use jobs::account::{Account, Accounts};
use jobs::command::{Command, EndReason};
use jobs::definition::Resources;
use jobs::{Pool, State, Step};
use std::time::Duration;
use world::{STANDBY, TICK, World, long_running, step};

/// Time for which a unit may stand still beside room, by the platform.
const MAX_STILL: Duration = Duration::from_secs(3);
/// Time for which work that lasts may be away beside room, by the platform.
const MAX_AWAY: Duration = Duration::from_secs(6);
/// Longest time for which an order may be under way, by the platform.
const MAX_ORDER_DELAY: Duration = Duration::from_secs(12);
/// Time for which a restarted worker is down; it reports 100 ms later.
const DOWN: Duration = Duration::from_millis(200);

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

/// Lets each worker leave its next start unanswered and answer the copy of it.
fn omit_next_starts(world: &mut World) {
    for worker in world.workers.values_mut() {
        (worker.omits_one_start_in, worker.start_orders) = (Some(2), 1);
    }
}

fn answer_starts(world: &mut World) {
    for worker in world.workers.values_mut() {
        (worker.omits_one_start_in, worker.loses_start_answers) = (None, false);
    }
}

/// Runs until a unit runs, and returns its worker.
fn await_run(world: &mut World, name: &str) -> String {
    let end = world.now + seconds(5.0);
    while world.workers_running(name).is_empty() {
        run_checked(world, TICK);
        assert!(world.now < end, "{name} does not run: {:?}", world.starts);
    }
    world.workers_running(name)[0].to_string()
}

/// Starts a unit on each worker, so that no idle instance is moved to the standby pool meanwhile.
fn hold_instances(world: &mut World, run_time: Duration) {
    world.run_times.insert("hold".to_string(), run_time);
    let count = world.workers.len() as u32;
    world.submit("q", "hold", vec![Step { anti_affinity: 1, ..step(count, 1000, 60_000) }]);
    run_checked(world, seconds(0.2));
    world.workers.values_mut().for_each(|worker| worker.start_orders = 0);
}

/// Lets unit 0 of job `a` begin beside a copy of its start that stays under way. Returns its worker.
fn begin_beside_copy(world: &mut World, owner: Option<&str>, unit: Step) -> String {
    world.run_times.insert("a".to_string(), seconds(60.0));
    world.start_delay = seconds(60.0);
    omit_next_starts(world);
    world.submit_for(owner, "q", "a", vec![unit]);
    let worker = await_run(world, "a.0.0.0");
    answer_starts(world);
    worker
}

/// Cuts a worker off until the leases of its runs are over.
fn cut_off(world: &mut World, worker: &str) {
    world.workers.get_mut(worker).unwrap().partitioned = true;
    run_checked(world, seconds(6.0));
    world.workers.get_mut(worker).unwrap().partitioned = false;
}

/// Lets run 1 of unit `a.0.0.0` lapse beside a copy of its start, and run 2 begin at the same worker,
/// likewise beside a copy if `omits` is set. Returns the worker.
fn return_to_worker(world: &mut World, unit: Step, omits: bool) -> String {
    let worker = begin_beside_copy(world, None, unit);
    cut_off(world, &worker);
    if omits {
        omit_next_starts(world);
    }
    assert_eq!(await_run(world, "a.0.0.0"), worker);
    answer_starts(world);
    worker
}

fn last_run(world: &World, name: &str) -> jobs::RunNumber {
    world.starts_of(name).last().unwrap().run
}

/// Fills a worker with units of a size, as far as other workers leave it to them.
fn fill_beside(world: &mut World, worker: &str, cpu_milli: u64) {
    let others: Vec<String> = world.workers.keys().filter(|id| *id != worker).cloned().collect();
    set_draining(world, &others, true);
    world.run_times.insert("filler".to_string(), seconds(60.0));
    let count = 8000 / cpu_milli as u32;
    world.submit("q", "filler", vec![step(count, cpu_milli, 60_000)]);
    run_checked(world, seconds(0.5));
    set_draining(world, &others, false);
}

fn set_draining(world: &mut World, ids: &[String], draining: bool) {
    for id in ids {
        let report = &mut world.workers.get_mut(id).unwrap().report;
        (report.draining, report.number) = (draining, report.number + 1);
        world.report(id);
    }
}

/// Lets the runs of a unit at a worker fail.
fn fail(world: &mut World, worker: &str, name: &str) {
    let worker = world.workers.get_mut(worker).unwrap();
    let runs: Vec<_> = worker.runs.keys().filter(|(unit, _)| unit == name).cloned().collect();
    for (unit, run) in runs {
        worker.runs.remove(&(unit.clone(), run));
        worker.end(unit, run, EndReason::Failed);
    }
}

/// Runs until a unit runs, at most for 25 s, and checks that it does within a bound. Returns its worker.
fn assert_runs_within(world: &mut World, bound: Duration, name: &str) -> String {
    let since = world.now;
    while world.workers_running(name).is_empty() && world.now < since + seconds(25.0) {
        run_checked(world, TICK);
    }
    let worker = world.workers_running(name).first().map(|id| id.to_string());
    let waited = world.now - since;
    assert!(waited <= bound, "waits for {waited:?}, then runs on {worker:?}: {:?}", world.starts);
    worker.unwrap()
}

// Two copies at one worker.

/// Lets the next incarnation of the worker get copies of both runs before its first report.
fn both_copies_reach_the_next_incarnation(unit: Step) {
    let mut world = World::new(3);
    let worker = return_to_worker(&mut world, unit, true);
    let second = last_run(&world, "a.0.0.0");
    world.restart(&worker, DOWN);
    run_checked(&mut world, DOWN + TICK);
    world.start_late(&worker, "a.0.0.0", 1);
    world.start_late(&worker, "a.0.0.0", second);
    run_checked(&mut world, seconds(2.0));
}

#[test]
fn copies_of_two_runs_of_a_unit_do_not_run_beside_each_other_at_the_next_incarnation() {
    both_copies_reach_the_next_incarnation(step(1, 2000, 60_000));
}

#[test]
fn copies_of_two_runs_of_work_that_lasts_do_not_run_beside_each_other() {
    both_copies_reach_the_next_incarnation(long_running(1, 2000));
}

#[test]
fn copies_of_two_runs_do_not_overload_the_next_incarnation() {
    let mut world = World::new(3);
    let worker = return_to_worker(&mut world, step(1, 6000, 60_000), true);
    let second = last_run(&world, "a.0.0.0");
    world.restart(&worker, DOWN);
    run_checked(&mut world, DOWN + TICK);
    world.start_late(&worker, "a.0.0.0", 1);
    world.start_late(&worker, "a.0.0.0", second);
    assert_eq!(world.overloads, []);
}

#[test]
fn a_copy_of_the_first_run_does_not_start_after_the_second_one_was_done_there() {
    let mut world = World::new(3);
    let worker = return_to_worker(&mut world, step(1, 2000, 60_000), false);
    world.run_times.insert("a".to_string(), seconds(0.5));
    run_checked(&mut world, seconds(1.5));
    assert_eq!(world.state("q", "a"), State::Completed);
    assert!(world.workers[&worker].finished.is_empty(), "the end is acknowledged");
    let starts = world.starts.len();
    world.restart(&worker, DOWN);
    run_checked(&mut world, DOWN + TICK);
    world.start_late(&worker, "a.0.0.0", 1);
    assert_eq!(world.starts.len(), starts, "it starts after it was done");
}

// A unit that is placed at another worker, since the first one has no place for it.

/// Lets a start of a unit be given up at one worker, the unit run at another one, and the first one
/// carry out the start after a restart while nobody leads.
fn given_up_start_is_carried_out(unit: Step) {
    let mut world = World::new(3);
    world.run_times.insert("a".to_string(), seconds(60.0));
    world.start_delay = seconds(60.0);
    for worker in world.workers.values_mut() {
        (worker.loses_start_answers, worker.executes_lost_starts) = (true, false);
    }
    world.submit("q", "a", vec![unit]);
    while world.workers.values().all(|worker| worker.start_orders == 0) {
        run_checked(&mut world, TICK);
    }
    let first = world.workers.iter().find(|(_, worker)| worker.start_orders > 0);
    let first = first.map(|(id, _)| id.clone()).unwrap();
    for (id, worker) in &mut world.workers {
        worker.loses_start_answers = *id == first;
    }
    assert_ne!(await_run(&mut world, "a.0.0.0"), first);
    answer_starts(&mut world);
    run_checked(&mut world, seconds(1.0));
    world.end_leadership();
    world.restart(&first, DOWN);
    run_checked(&mut world, DOWN + TICK);
    world.start_late(&first, "a.0.0.0", 1);
    run_checked(&mut world, seconds(1.0));
}

#[test]
fn a_start_that_was_given_up_does_not_run_beside_the_next_run_while_there_is_no_leader() {
    given_up_start_is_carried_out(step(1, 6000, 60_000));
}

#[test]
fn a_start_of_work_that_lasts_that_was_given_up_does_not_run_beside_the_next_run() {
    given_up_start_is_carried_out(long_running(1, 6000));
}

/// Lets a leader be lost that has no answer to its start of a unit, which its worker has not carried
/// out and has no room for under the next leader.
fn first_worker_is_full(unit: Step) {
    let mut world = World::new(3);
    world.run_times.insert("a".to_string(), seconds(60.0));
    for worker in world.workers.values_mut() {
        (worker.loses_start_answers, worker.executes_lost_starts) = (true, false);
    }
    world.submit("q", "a", vec![unit]);
    while world.workers.values().all(|worker| worker.start_orders == 0) {
        world.run(TICK);
    }
    let first = world.workers.iter().find(|(_, worker)| worker.start_orders > 0);
    let first = first.map(|(id, _)| id.clone()).unwrap();
    world.end_leadership();
    answer_starts(&mut world);
    let known = world.workers.keys().cloned().collect();
    // It comes back with less room than the unit needs.
    world.workers.get_mut(&first).unwrap().report.capacity.cpu_milli = 4000;
    world.workers.get_mut(&first).unwrap().report.number += 1;
    world.report(&first);
    run_checked(&mut world, seconds(0.5));
    world.begin_leadership(&known);
    world.report(&first);
    assert_ne!(await_run(&mut world, "a.0.0.0"), first);
    run_checked(&mut world, seconds(0.5));
    world.end_leadership();
    world.restart(&first, DOWN);
    run_checked(&mut world, DOWN + TICK);
    world.start_late(&first, "a.0.0.0", 1);
    run_checked(&mut world, seconds(1.0));
}

#[test]
fn a_unit_for_which_its_former_worker_has_no_room_does_not_run_twice() {
    first_worker_is_full(step(1, 6000, 60_000));
}

#[test]
fn work_that_lasts_for_which_its_former_worker_has_no_room_does_not_run_twice() {
    first_worker_is_full(long_running(1, 6000));
}

/// Work that lasts, which was stopped beside a copy of its start, runs elsewhere as its worker leaves; that one restarts at once, and the copy comes before anybody can stop either run.
#[test]
fn work_that_lasts_does_not_run_twice_when_its_former_worker_drains_and_restarts() {
    let mut world = World::new(3);
    let worker = begin_beside_copy(&mut world, None, long_running(1, 2000));
    set_draining(&mut world, std::slice::from_ref(&worker), true);
    run_checked(&mut world, seconds(0.5));
    assert_ne!(await_run(&mut world, "a.0.0.0"), worker);
    run_checked(&mut world, seconds(0.5));
    world.end_leadership();
    world.restart(&worker, DOWN);
    run_checked(&mut world, DOWN + TICK);
    world.start_late(&worker, "a.0.0.0", 1);
    run_checked(&mut world, seconds(1.0));
}

/// The unit lapsed at a second worker beside a copy of its start there, and returns to that one though
/// the first may still carry out its start.
#[test]
fn a_unit_that_returns_to_its_second_worker_does_not_run_beside_the_start_at_the_first() {
    let mut world = World::new(3);
    hold_instances(&mut world, seconds(60.0));
    world.run_times.insert("a".to_string(), seconds(60.0));
    world.start_delay = seconds(60.0);
    for worker in world.workers.values_mut() {
        (worker.loses_start_answers, worker.executes_lost_starts) = (true, false);
    }
    world.submit("q", "a", vec![step(1, 6000, 60_000)]);
    while world.workers.values().all(|worker| worker.start_orders == 0) {
        run_checked(&mut world, TICK);
    }
    let first = world.workers.iter().find(|(_, worker)| worker.start_orders > 0);
    let first = first.map(|(id, _)| id.clone()).unwrap();
    let ordered_at = world.now;
    for (id, worker) in &mut world.workers {
        worker.loses_start_answers = *id == first;
        if *id != first {
            (worker.omits_one_start_in, worker.start_orders) = (Some(2), 1);
        }
    }
    let second = await_run(&mut world, "a.0.0.0");
    answer_starts(&mut world);
    cut_off(&mut world, &second);
    let end = world.now + MAX_STILL;
    while world.now < end && world.workers_running("a.0.0.0").is_empty() {
        run_checked(&mut world, TICK); // returns, or waits
    }
    run_checked(&mut world, seconds(0.2));
    let has_returned = !world.workers_running("a.0.0.0").is_empty();
    assert!(!has_returned || *world.workers_running("a.0.0.0")[0] == second);
    world.end_leadership();
    world.restart(&first, DOWN);
    run_checked(&mut world, DOWN + TICK);
    assert!(world.now < ordered_at + MAX_ORDER_DELAY);
    world.start_late(&first, "a.0.0.0", 1);
    run_checked(&mut world, seconds(1.0));
}

// How long a unit stands still that waits for one worker only.

#[test]
fn a_unit_does_not_stand_still_when_its_only_worker_is_full() {
    let mut world = World::new(4);
    let worker = begin_beside_copy(&mut world, None, step(1, 6000, 60_000));
    fill_beside(&mut world, &worker, 2000);
    world.workers.get_mut(&worker).unwrap().partitioned = true;
    run_checked(&mut world, seconds(6.0));
    // It has less room than the unit needs once it answers again.
    let report = &mut world.workers.get_mut(&worker).unwrap().report;
    (report.capacity.cpu_milli, report.number) = (4000, report.number + 1);
    world.workers.get_mut(&worker).unwrap().partitioned = false;
    world.report(&worker);
    assert_runs_within(&mut world, MAX_STILL + seconds(0.5), "a.0.0.0");
}

#[test]
fn a_unit_does_not_stand_still_when_its_only_worker_drains() {
    let mut world = World::new(4);
    let worker = begin_beside_copy(&mut world, None, step(1, 6000, 60_000));
    world.workers.get_mut(&worker).unwrap().partitioned = true;
    run_checked(&mut world, seconds(6.0));
    world.workers.get_mut(&worker).unwrap().partitioned = false;
    set_draining(&mut world, std::slice::from_ref(&worker), true);
    assert_runs_within(&mut world, MAX_STILL + seconds(0.5), "a.0.0.0");
}

#[test]
fn a_unit_does_not_stand_still_when_its_queue_goes_to_another_pool() {
    let mut world = World::new(4);
    world.add("w7", "other", 1);
    let worker = begin_beside_copy(&mut world, None, step(1, 6000, 60_000));
    world.workers.get_mut(&worker).unwrap().partitioned = true;
    run_checked(&mut world, seconds(6.0));
    let mut config = world.ledger.config().unwrap().clone();
    config.version += 1;
    config.pools.insert("other".to_string(), Pool::default());
    config.queues.get_mut("q").unwrap().pool = "other".to_string();
    world.apply(Command::Configure(Box::new(config)));
    world.workers.get_mut(&worker).unwrap().partitioned = false;
    let worker = assert_runs_within(&mut world, MAX_STILL + seconds(0.5), "a.0.0.0");
    assert_eq!(worker, "w7");
}

#[test]
fn a_unit_that_lapsed_beside_a_copy_does_not_stand_still_under_the_next_leader() {
    let mut world = World::new(3);
    let worker = begin_beside_copy(&mut world, None, step(1, 2000, 60_000));
    cut_off(&mut world, &worker);
    // The end of run 1 is committed, and run 2 is not placed before the leader changes.
    let all: Vec<String> = world.workers.keys().cloned().collect();
    set_draining(&mut world, &all, true);
    run_checked(&mut world, seconds(0.5));
    assert_eq!(world.ledger.late_runs().len(), 1);
    assert_eq!(world.starts_of("a.0.0.0").len(), 1);
    world.end_leadership();
    set_draining(&mut world, &all, false);
    run_checked(&mut world, seconds(0.5));
    world.begin_leadership(&all.into_iter().collect());
    assert_runs_within(&mut world, seconds(1.0) + MAX_STILL, "a.0.0.0");
}

#[test]
fn a_unit_at_the_cap_of_its_account_does_not_stand_still_beside_a_copy_of_its_start() {
    let mut world = World::new(3);
    let mut config = world.ledger.config().unwrap().clone();
    config.version += 1;
    let mut accounts = Accounts::default();
    let cap = Resources { cpu_milli: 3000, ..Resources::default() };
    accounts.add("o", Account { weight: 1.0, cap }, []).unwrap();
    config.accounts = Some(accounts);
    world.apply(Command::Configure(Box::new(config)));
    let worker = begin_beside_copy(&mut world, Some("o"), step(1, 2000, 60_000));
    cut_off(&mut world, &worker);
    assert_runs_within(&mut world, MAX_STILL + seconds(0.5), "a.0.0.0");
}

#[test]
fn a_gang_that_lapsed_beside_a_copy_does_not_stand_still() {
    let mut world = World::new(3);
    let gang = Step { gang: true, ..step(1, 2000, 60_000) };
    let worker = begin_beside_copy(&mut world, None, gang);
    cut_off(&mut world, &worker);
    assert_runs_within(&mut world, MAX_STILL + seconds(0.5), "a.0.0.0");
}

#[test]
fn a_unit_that_may_run_in_copies_runs_again_though_its_former_worker_is_cut_off() {
    let mut world = World::new(3);
    let unit = Step { speculative: true, ..step(1, 2000, 60_000) };
    let worker = begin_beside_copy(&mut world, None, unit);
    world.workers.get_mut(&worker).unwrap().partitioned = true;
    run_checked(&mut world, seconds(6.0));
    assert_ne!(assert_runs_within(&mut world, MAX_STILL, "a.0.0.0"), worker);
}

// What the wait of one unit does to others.

/// A step whose first unit waits for one worker only, and whose second has room elsewhere.
#[test]
fn a_unit_that_waits_for_one_worker_does_not_hold_up_the_others_of_its_account() {
    let mut world = World::new(3);
    let mut config = world.ledger.config().unwrap().clone();
    config.version += 1;
    let mut accounts = Accounts::default();
    let cap = Resources { cpu_milli: 12_000, ..Resources::default() };
    accounts.add("o", Account { weight: 1.0, cap }, []).unwrap();
    config.accounts = Some(accounts);
    world.apply(Command::Configure(Box::new(config)));
    world.run_times.insert("a".to_string(), seconds(60.0));
    world.start_delay = seconds(60.0);
    let first = world.workers.get_mut("w2").unwrap();
    (first.omits_one_start_in, first.start_orders) = (Some(2), 1);
    world.submit_for(Some("o"), "q", "a", vec![step(2, 5000, 60_000)]);
    let worker = await_run(&mut world, "a.0.0.0");
    let second = await_run(&mut world, "a.0.0.1");
    answer_starts(&mut world);
    assert_eq!(worker, "w2");
    assert_ne!(second, worker);
    cut_off(&mut world, &worker);
    set_draining(&mut world, std::slice::from_ref(&worker), true);
    run_checked(&mut world, seconds(0.3));
    fail(&mut world, &second, "a.0.0.1");
    assert!(world.workers_running("a.0.0.1").is_empty());
    assert_runs_within(&mut world, MAX_STILL, "a.0.0.1");
}

/// A unit of a queue with a policy waits for a worker that drains, so that no answer of the policy helps.
#[test]
fn no_advice_is_asked_for_a_unit_that_waits_for_one_worker() {
    let mut world = World::new(3);
    world.allowed = world.workers.keys().cloned().collect();
    world.run_times.insert("a".to_string(), seconds(60.0));
    world.start_delay = seconds(60.0);
    omit_next_starts(&mut world);
    world.submit("r", "a", vec![step(1, 6000, 60_000)]);
    let worker = await_run(&mut world, "a.0.0.0");
    answer_starts(&mut world);
    cut_off_and_drain(&mut world, &worker);
    let before = world.advise_calls;
    run_checked(&mut world, seconds(5.0));
    assert!(world.workers_running("a.0.0.0").is_empty());
    assert_eq!(world.advise_calls - before, 0);
}

/// A unit waits for a worker that drains, beside instances on standby.
#[test]
fn no_instance_is_fetched_for_a_unit_that_waits_for_one_worker() {
    let mut world = World::new(1);
    for number in 10..14 {
        world.add(&format!("w{number}"), STANDBY, 1);
    }
    let worker = begin_beside_copy(&mut world, None, step(1, 6000, 60_000));
    cut_off_and_drain(&mut world, &worker);
    let fetched = |world: &World| world.moves.iter().filter(|(_, _, to)| to == "p").count();
    let before = fetched(&world);
    run_checked(&mut world, seconds(5.0));
    assert!(world.workers_running("a.0.0.0").is_empty());
    assert_eq!(fetched(&world) - before, 0);
}

/// Work that lasts, which was moved beside a copy of its start off a worker that a wave is about to end,
/// may run nowhere else, and claims another worker all the same.
#[test]
fn nothing_is_stopped_for_work_that_waits_for_a_cordoned_worker() {
    let mut world = World::new(2);
    let worker = begin_beside_copy(&mut world, None, long_running(1, 4000));
    for number in 0..12 {
        let id = format!("b{number}");
        world.run_times.insert(id.clone(), seconds(60.0));
        world.submit("q", &id, vec![step(1, 1000, 60_000)]);
    }
    run_checked(&mut world, seconds(0.5));
    let instance = world.workers[&worker].report.instance.clone();
    let at = world.time().wall;
    world.apply(Command::StartWave(jobs::Wave::new(1, [instance].into(), seconds(30.0), 1, at)));
    run_checked(&mut world, seconds(1.0) + MAX_STILL);
    let displaced = world.log.iter().filter(|(_, e)| e.text.contains("has waited too long"));
    let (displaced, runs) = (displaced.count(), world.workers_running("a.0.0.0").len());
    assert!(
        displaced == 0 || runs == 1,
        "{displaced} runs are stopped for a unit that is not placed"
    );
}

/// Work that lasts was moved off a worker beside a copy of its start, and other work keeps the worker
/// from its maintenance.
#[test]
fn work_that_lasts_does_not_stay_away_while_its_worker_waits_for_maintenance() {
    let mut world = World::new(4);
    let worker = begin_beside_copy(&mut world, None, long_running(1, 2000));
    fill_beside(&mut world, &worker, 2000);
    let instance = world.workers[&worker].report.instance.clone();
    let at = world.time().wall;
    world.apply(Command::StartWave(jobs::Wave::new(1, [instance].into(), seconds(30.0), 1, at)));
    run_checked(&mut world, seconds(0.5));
    assert!(world.workers_running("a.0.0.0").is_empty(), "it is moved");
    assert_runs_within(&mut world, MAX_AWAY, "a.0.0.0");
}

/// Returns how many copies of units of slow workers are placed within 4 s, beside a unit that waits for
/// one worker only, if there is one.
fn count_copies(beside_unit: bool) -> u64 {
    let mut world = World::new(5);
    let (last, others) = ("w4".to_string(), ["w0", "w1", "w2", "w3"].map(str::to_string));
    set_draining(&mut world, std::slice::from_ref(&last), true);
    world.run_times.insert("hold".to_string(), seconds(60.0));
    world.submit("q", "hold", vec![Step { anti_affinity: 1, ..step(4, 1000, 60_000) }]);
    run_checked(&mut world, seconds(0.2));
    set_draining(&mut world, std::slice::from_ref(&last), false);
    if beside_unit {
        set_draining(&mut world, &others, true);
        assert_eq!(begin_beside_copy(&mut world, None, step(1, 6000, 60_000)), last);
        set_draining(&mut world, &others, false);
    }
    cut_off_and_drain(&mut world, &last);
    let slow = world.workers.keys().next().cloned().unwrap();
    world.workers.get_mut(&slow).unwrap().slowdown = 8.0;
    for number in 0..3 {
        let id = format!("c{number}");
        world.run_times.insert(id.clone(), seconds(1.0));
        let unit = Step { speculative: true, anti_affinity: 2, ..step(8, 1000, 1000) };
        world.submit("q", &id, vec![unit]);
    }
    world.run(seconds(4.0));
    assert_eq!(world.workers_running("a.0.0.0").len(), 0);
    world.scheduler.effort().copies
}

/// Copies of slow units are placed though another unit waits for one worker only.
#[test]
fn copies_are_placed_though_a_unit_waits_for_one_worker() {
    let (without, beside) = (count_copies(false), count_copies(true));
    assert!(without > 0);
    assert!(beside > 0, "none beside the unit, {without} without it");
}

fn cut_off_and_drain(world: &mut World, worker: &str) {
    cut_off(world, worker);
    set_draining(world, &[worker.to_string()], true);
    run_checked(world, seconds(0.3));
}

// Attempts and failures at a worker to which a unit returns.

#[test]
fn work_that_lasts_does_not_stay_away_when_it_returns_to_a_worker_that_fails_it() {
    let mut world = World::new(4);
    world.start_delay = seconds(60.0);
    omit_next_starts(&mut world);
    world.workers.values_mut().for_each(|worker| worker.fails_runs = true);
    world.submit("q", "a", vec![long_running(1, 2000)]);
    while world.starts_of("a.0.0.0").is_empty() {
        world.run(TICK);
    }
    let worker = world.starts_of("a.0.0.0")[0].worker.clone();
    for (id, other) in &mut world.workers {
        (other.omits_one_start_in, other.fails_runs) = (None, *id == worker);
    }
    run_checked(&mut world, MAX_STILL);
    assert_eq!(world.workers_running("a.0.0.0").len(), 1, "{:?}", world.starts);
}

#[test]
fn a_unit_is_not_tried_again_and_again_at_a_worker_that_fails_it() {
    let mut world = World::new(4);
    let worker = begin_beside_copy(&mut world, None, step(1, 2000, 500));
    world.run_times.insert("a".to_string(), seconds(0.5));
    world.workers.get_mut(&worker).unwrap().is_stuck = true;
    cut_off(&mut world, &worker);
    let first = world.workers.get_mut(&worker).unwrap();
    (first.is_stuck, first.fails_runs) = (false, true);
    run_checked(&mut world, seconds(1.0));
    let mut leader_changes = 0;
    while world.state("q", "a") != State::Completed && leader_changes < 8 {
        world.replace_informed_leader();
        leader_changes += 1;
        run_checked(&mut world, seconds(3.0));
    }
    assert_eq!(world.state("q", "a"), State::Completed, "{:?}", world.starts);
}

#[test]
fn a_unit_that_returns_and_crashes_its_worker_does_not_run_twice() {
    let mut world = World::new(4);
    let worker = return_to_worker(&mut world, step(1, 2000, 60_000), true);
    world.deadly.insert("a.0.0.0".to_string(), Duration::ZERO);
    run_checked(&mut world, TICK);
    assert_eq!(world.crashes.len(), 1, "{worker}");
    world.deadly.clear();
    run_checked(&mut world, seconds(6.0) + MAX_STILL);
    assert_eq!(world.workers_running("a.0.0.0").len(), 1, "{:?}", world.starts);
}

/// A unit returns, and its worker restarts before the start arrives.
#[test]
fn a_unit_that_returned_does_not_run_elsewhere_beside_its_copies_after_a_restart() {
    let mut world = World::new(4);
    let worker = return_to_worker(&mut world, step(1, 2000, 60_000), true);
    world.restart(&worker, DOWN);
    let second = last_run(&world, "a.0.0.0");
    run_checked(&mut world, seconds(1.0));
    world.restart(&worker, DOWN);
    run_checked(&mut world, DOWN + TICK);
    world.start_late(&worker, "a.0.0.0", second);
    run_checked(&mut world, seconds(12.0));
}
