//! Tests of the scheduler with client accounts: caps, shares and rates.

mod world;

use jobs::account::{Account, Accounts};
use jobs::command::Command;
use jobs::definition::Resources;
use jobs::{Config, Incarnation, State, Step};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use sched::lease::Lease;
use sched::order::Order;
use sched::worker::{Run, RunState};
use sched::{Worker, usage};
use std::time::Duration;
use world::{World, step};

/// No limit.
const NONE: u64 = 0;
/// The platform's allowance above a cap, beside one unit.
const OVERAGE: f64 = 1.1;

fn seconds(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}

/// Returns the configuration of the world with accounts, each with a weight and a cap in
/// thousandths of a core, under the next version.
fn config(world: &World, accounts: &[(&str, f64, u64)]) -> Config {
    let mut config = world.ledger.config().unwrap().clone();
    config.version += 1;
    let mut declared = Accounts::default();
    for (name, weight, cpu_milli) in accounts {
        let cap = Resources { cpu_milli: *cpu_milli, ..Resources::default() };
        declared.add(*name, Account { weight: *weight, cap }, []).unwrap();
    }
    config.accounts = Some(declared);
    config
}

/// Creates workers with 8 cores each, and accounts.
fn world(workers: usize, accounts: &[(&str, f64, u64)]) -> World {
    let mut world = World::new(workers);
    let config = config(&world, accounts);
    world.apply(Command::Configure(Box::new(config)));
    world
}

fn submit(world: &mut World, owner: &str, id: &str, steps: Vec<Step>) {
    let millis = steps[0].estimate;
    world.run_times.insert(id.to_string(), millis);
    world.submit_for(Some(owner), "q", id, steps);
}

/// Returns the number of units of jobs that run on any worker, and whose names begin so.
fn running(world: &World, prefix: &str) -> usize {
    let runs = world.workers.values().filter(|worker| !worker.is_down).flat_map(|w| w.runs.keys());
    runs.filter(|(name, _)| name.starts_with(prefix)).count()
}

/// Runs the world, and returns the most units of jobs with this prefix that ran at one time.
fn most_running(world: &mut World, prefix: &str, duration: Duration) -> usize {
    let end = world.now + duration;
    let mut most = 0;
    while world.now < end {
        world.run(world::TICK);
        most = most.max(running(world, prefix));
    }
    most
}

/// Returns how long a job took, or has taken so far.
fn duration_ms(world: &World, id: &str) -> u64 {
    let job = world.ledger.find_job(&"q".to_string(), id).unwrap();
    job.finished_at.unwrap_or(world.time().wall) - job.accepted_at
}

#[test]
fn an_account_at_its_cap_waits_and_holds_up_nobody() {
    let mut world = world(4, &[("a", 9.0, 6000), ("b", 9.0, 4000), ("c", 9.0, NONE)]);
    submit(&mut world, "a", "a1", vec![step(20, 1000, 500)]);
    submit(&mut world, "b", "b1", vec![step(20, 1000, 500)]);
    submit(&mut world, "c", "c1", vec![step(8, 1000, 5000)]);
    world.run(seconds(0.3));
    assert_eq!((running(&world, "a"), running(&world, "b"), running(&world, "c")), (6, 4, 8));
    assert!(most_running(&mut world, "a", seconds(5.0)) <= 6, "cap of 6 cores, units of 1 core");
    assert_eq!(
        (world.state("q", "a1"), world.state("q", "b1")),
        (State::Completed, State::Completed)
    );
}

#[test]
fn memory_is_capped_as_well_as_processor_time() {
    let mut world = world(4, &[]);
    let mut config = config(&world, &[]);
    let cap = Resources { cpu_milli: 20_000, memory_mb: 300, accelerators: 0 };
    config.accounts.as_mut().unwrap().add("a", Account { weight: 9.0, cap }, []).unwrap();
    world.apply(Command::Configure(Box::new(config)));
    submit(&mut world, "a", "a1", vec![step(10, 1000, 300)]);
    assert_eq!(most_running(&mut world, "a", seconds(4.0)), 3, "units of 100 MiB");
    assert_eq!(world.state("q", "a1"), State::Completed);
}

#[test]
fn a_unit_larger_than_the_cap_runs_alone() {
    let mut world = world(4, &[("a", 9.0, 2000)]);
    submit(&mut world, "a", "a1", vec![step(3, 4000, 300)]);
    assert_eq!(most_running(&mut world, "a", seconds(3.0)), 1);
    assert_eq!(world.state("q", "a1"), State::Completed);
}

#[test]
fn a_gang_starts_as_a_whole_under_the_cap_or_waits() {
    let mut world = world(4, &[("a", 9.0, 6000), ("b", 9.0, NONE)]);
    submit(&mut world, "a", "a1", vec![step(4, 1000, 800)]);
    world.run(seconds(0.3));
    let gang = Step { gang: true, ..step(4, 1000, 400) };
    submit(&mut world, "a", "ag", vec![gang]);
    submit(&mut world, "b", "b1", vec![step(4, 1000, 400)]);
    world.run(seconds(0.3));
    assert_eq!((running(&world, "ag"), running(&world, "b")), (0, 4), "4 and 4 cores exceed 6");
    world.run(seconds(2.0));
    assert_eq!(world.state("q", "ag"), State::Completed);
}

#[test]
fn starts_that_a_lower_cap_no_longer_admits_are_not_sent() {
    let mut world = world(4, &[("a", 9.0, 8000)]);
    submit(&mut world, "a", "a1", vec![step(8, 1000, 2000)]);
    world.now += world::TICK;
    let (time, lower) = (world.time(), config(&world, &[("a", 9.0, 3000)]));
    let output = world.scheduler.decide(time, &world.ledger);
    let is_placement =
        |command: &Command| matches!(command, Command::Runs(b) if !b.placed.is_empty());
    assert!(output.proposals.iter().any(is_placement), "placements are on their way to the log");
    assert!(!output.orders.iter().any(|order| matches!(order, Order::Start(..))));
    world.apply(Command::Configure(Box::new(lower)));
    for command in output.proposals {
        world.apply(command);
    }
    assert!(most_running(&mut world, "a", seconds(1.0)) <= 3, "the cap in force is 3 cores");
    world.run(seconds(8.0));
    assert_eq!(world.state("q", "a1"), State::Completed, "the others start under the cap later");
}

#[test]
fn a_lower_cap_stops_no_run_and_lets_none_begin() {
    let mut world = world(4, &[("a", 9.0, 6000)]);
    submit(&mut world, "a", "a1", vec![step(6, 1000, 2000)]);
    world.run(seconds(0.5));
    let lower = config(&world, &[("a", 9.0, 2000)]);
    world.apply(Command::Configure(Box::new(lower)));
    submit(&mut world, "a", "a2", vec![step(4, 1000, 300)]);
    world.run(seconds(1.0));
    assert_eq!((running(&world, "a1"), running(&world, "a2")), (6, 0));
    assert!(most_running(&mut world, "a2", seconds(4.0)) <= 2);
    assert_eq!(world.starts.len(), 10, "no run was started twice");
}

#[test]
fn a_new_leader_counts_what_is_placed_before_any_worker_has_answered() {
    let mut world = world(4, &[("a", 9.0, 6000)]);
    submit(&mut world, "a", "a1", vec![step(6, 1000, 3000)]);
    world.run(seconds(0.5));
    submit(&mut world, "a", "a2", vec![step(6, 1000, 500)]);
    world.replace_leader();
    assert_eq!(most_running(&mut world, "a", seconds(2.0)), 6);
    world.run(seconds(4.0));
    assert_eq!(world.state("q", "a2"), State::Completed);
}

#[test]
fn runs_of_a_silent_worker_count_until_its_lease_is_over() {
    let mut world = world(2, &[("a", 9.0, 4000)]);
    submit(&mut world, "a", "a1", vec![step(4, 1000, 20_000)]);
    world.run(seconds(0.5));
    let silent = world.workers_running("a1.0.0.0")[0].clone();
    world.workers.get_mut(&silent).unwrap().partitioned = true;
    submit(&mut world, "a", "a2", vec![step(4, 1000, 500)]);
    assert_eq!(most_running(&mut world, "a", seconds(12.0)), 4, "runs behind the cut go on");
    assert!(running(&world, "a") > 0, "work goes on elsewhere after the lease");
}

#[test]
fn starts_that_may_be_carried_out_late_count() {
    let mut world = world(4, &[("a", 9.0, 4000)]);
    world.start_delay = seconds(9.0);
    for worker in world.workers.values_mut().take(2) {
        worker.omits_one_start_in = Some(2);
    }
    submit(&mut world, "a", "a1", vec![step(24, 1000, 1000)]);
    assert!(most_running(&mut world, "a", seconds(40.0)) <= 5, "the cap and one unit more");
    assert_eq!(world.state("q", "a1"), State::Completed);
}

#[test]
fn a_start_that_never_began_counts_until_no_successor_can_carry_it_out() {
    for ticks in 0..30 {
        let mut world = world(2, &[("a", 9.0, 6000)]);
        world.start_delay = seconds(6.0);
        for worker in world.workers.values_mut() {
            worker.omits_one_start_in = Some(1);
        }
        submit(&mut world, "a", "a1", vec![step(6, 1000, 20_000)]);
        world.run(world::TICK * 3);
        let first = world.workers.iter().find(|(_, w)| w.start_orders > 0).unwrap().0.clone();
        for (_, worker) in world.workers.iter_mut().filter(|(id, _)| **id != first) {
            worker.omits_one_start_in = None;
        }
        world.run(seconds(1.0));
        submit(&mut world, "a", "a2", vec![step(6, 1000, 20_000)]);
        world.run(seconds(4.8));
        world.restart(&first, world::TICK * ticks);
        let most = most_running(&mut world, "a", seconds(4.0));
        assert!(most <= 6, "{ticks} ticks: {most} units under a cap of 6");
        world.run(seconds(90.0));
        assert_eq!(world.state("q", "a2"), State::Completed, "{ticks} ticks");
    }
}

#[test]
fn caps_hold_over_random_restarts_cuts_lost_answers_and_leaders() {
    for seed in 0..30 {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut world = world(6, &[("a", 9.0, 8000), ("b", 9.0, NONE)]);
        for number in 0..12 {
            submit(&mut world, "a", &format!("a{number}x"), vec![step(6, 1000, 700)]);
            submit(&mut world, "b", &format!("b{number}x"), vec![step(4, 1000, 700)]);
        }
        for _ in 0..60 {
            let id = format!("w{}", rng.random_range(0..6));
            match rng.random_range(0..8) {
                0 if !world.workers[&id].is_down => world.restart(&id, seconds(0.5)),
                1 => world.workers.get_mut(&id).unwrap().partitioned = true,
                2 => world.workers.get_mut(&id).unwrap().omits_one_start_in = Some(3),
                3 => world.replace_leader(),
                _ => {
                    for worker in world.workers.values_mut() {
                        (worker.partitioned, worker.omits_one_start_in) = (false, None);
                    }
                }
            }
            let most =
                most_running(&mut world, "a", Duration::from_millis(rng.random_range(50..600)));
            assert!(most as f64 * 1000.0 <= 8000.0 * OVERAGE + 1000.0, "seed {seed}: {most} units");
        }
    }
}

/// Lets account `b` send one job of 8 short units a second for 8 s beside what `others` sends in
/// each tenth of a second, and returns how long the slowest job of `b` took, in milliseconds.
fn slowest_beside(world: &mut World, mut others: impl FnMut(&mut World, usize)) -> u64 {
    for tenth in 0..80 {
        others(world, tenth);
        if tenth % 10 == 0 {
            submit(world, "b", &format!("b{tenth}x"), vec![step(8, 1000, 400)]);
        }
        world.run(seconds(0.1));
    }
    (0..80).step_by(10).map(|tenth| duration_ms(world, &format!("b{tenth}x"))).max().unwrap()
}

#[test]
fn an_account_that_sends_ten_times_its_weight_delays_no_account_that_sends_within_it() {
    let accounts = [("a", 1.0, NONE), ("b", 1.0, NONE)];
    let alone = slowest_beside(&mut world(4, &accounts), |_, _| {});
    let mut world = world(4, &accounts);
    let beside = slowest_beside(&mut world, |world, tenth| {
        submit(world, "a", &format!("a{tenth}x"), vec![step(4, 1000, 300)]);
    });
    assert!(beside <= alone + 500, "{beside} ms beside the flood, {alone} ms alone");
    world.run(seconds(30.0));
    assert_eq!(world.state("q", "a79x"), State::Completed, "the flood gets what is left");
}

#[test]
fn a_large_account_within_its_rate_delays_no_account_below_its_share() {
    let accounts = [("a", 1.0, NONE), ("b", 1.0, NONE)];
    let alone = slowest_beside(&mut world(4, &accounts), |_, _| {});
    let mut world = world(4, &accounts);
    let beside = slowest_beside(&mut world, |world, tenth| {
        if tenth % 10 == 0 {
            submit(world, "a", &format!("a{tenth}x"), vec![step(96, 1000, 400)]);
        }
    });
    // Units of 0.4 s end all the time, so its share comes back within about that time.
    assert!(beside <= alone + 700, "{beside} ms beside large jobs, {alone} ms alone");
}

#[test]
fn twenty_small_accounts_are_served_beside_a_large_one() {
    let names: Vec<String> = (0..20).map(|number| format!("s{number:02}")).collect();
    let mut accounts = vec![("a", 4.0, NONE), ("b", 1.0, NONE)];
    accounts.extend(names.iter().map(|name| (name.as_str(), 0.2, NONE)));
    let mut world = world(6, &accounts);
    let beside = slowest_beside(&mut world, |world, tenth| {
        if tenth % 3 == 0 {
            submit(world, "a", &format!("a{tenth}x"), vec![step(30, 1000, 400)]);
        }
        if tenth == 0 {
            for name in &names {
                submit(world, name, &format!("{name}x"), vec![step(2, 1000, 400)]);
            }
        }
    });
    assert!(beside <= 2500, "{beside} ms");
    let slowest = names.iter().map(|name| duration_ms(&world, &format!("{name}x"))).max().unwrap();
    assert!(slowest <= 2500, "{slowest} ms");
}

#[test]
fn shares_that_nobody_uses_are_lent() {
    let mut world = world(4, &[("a", 1.0, NONE), ("b", 99.0, NONE)]);
    submit(&mut world, "b", "b1", vec![step(1, 1000, 3000)]);
    submit(&mut world, "a", "a1", vec![step(60, 1000, 1000)]);
    world.run(seconds(0.5));
    assert_eq!(running(&world, "a"), 31, "all cores but the one that b uses");
}

#[test]
fn a_new_leader_grants_no_fresh_rate() {
    let mut world = world(1, &[("a", 1.0, NONE), ("b", 1.0, NONE)]);
    for number in 0..40 {
        submit(&mut world, "a", &format!("a{number:02}"), vec![step(8, 1000, 500)]);
    }
    world.run(seconds(1.0));
    world.replace_informed_leader();
    submit(&mut world, "b", "b1", vec![step(8, 1000, 500)]);
    world.run(seconds(5.0));
    // Five jobs of `a` are owed service, half a second each.
    assert!(duration_ms(&world, "b1") <= 3500, "{} ms", duration_ms(&world, "b1"));
    assert_eq!(world.state("q", "b1"), State::Completed);
}

#[test]
fn an_unanswered_start_counts_while_the_next_incarnation_may_carry_it_out() {
    let mut world = world(1, &[("a", 9.0, NONE)]);
    submit(&mut world, "a", "a1", vec![step(1, 1000, 500)]);
    let now = seconds(200.0);
    let lease = Lease::inherited(now, seconds(5.0));
    let mut worker = Worker::new(Incarnation::new("x", 1), lease);
    let unit = world.ledger.find_unit("a1.0.0.0").unwrap();
    let mut run = Run::new(RunState::Starting, &step(1, 1000, 500), 1, now);
    (run.start_sent_at, run.unconfirmed_since) = (Some(now), Some(now));
    worker.add(unit, 1, run);
    let used = |worker: &Worker| usage::of_worker(worker, &world.ledger).get("a").copied();
    assert_eq!(used(&worker).map(|used| used.cpu_milli), Some(1000), "it may run");
    worker.ended = true;
    worker.usage_changed = false;
    worker.release(now + seconds(1.0), unit, 1);
    assert_eq!(used(&worker).map(|used| used.cpu_milli), Some(1000), "a successor may start it");
    assert!(worker.usage_changed);
    worker.usage_changed = false;
    worker.remove_late_starts(now + seconds(60.0), seconds(5.0));
    assert_eq!(used(&worker), None, "no order is carried out so late");
    assert!(worker.usage_changed);
}

#[test]
fn units_without_an_account_are_placed_once_beside_accounts_that_compete() {
    let mut world = world(4, &[("a", 0.0, NONE)]);
    world.run_times.insert("p".to_string(), seconds(0.5));
    world.submit_for(None, "q", "p", vec![step(20, 1000, 500)]);
    submit(&mut world, "a", "a1", vec![step(30, 1000, 500)]);
    for _ in 0..300 {
        world.run(world::TICK);
        let mut units = std::collections::BTreeSet::new();
        for worker in world.scheduler.workers().values() {
            for (unit, number) in worker.runs.keys() {
                assert!(units.insert(*unit), "{unit:?} run {number} is placed twice");
            }
        }
    }
    assert_eq!(world.starts.len(), 50);
    assert_eq!(world.state("q", "p"), State::Completed);
}
