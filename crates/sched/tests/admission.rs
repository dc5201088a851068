//! Tests of the refusal of jobs that can't be done in time.

mod world;

use jobs::account::{Account, Accounts};
use jobs::command::Command;
use jobs::definition::{Definition, Resources};
use jobs::{Schedule, Step};
use sched::admission::Decision;
use std::time::Duration;
use world::{World, long_running, step};

fn seconds(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}

/// Creates 4 workers with 8 cores each, and accounts with caps in thousandths of a core.
fn world(accounts: &[(&str, u64)]) -> World {
    let mut world = World::new(4);
    let mut config = world.ledger.config().unwrap().clone();
    config.version += 1;
    let mut declared = Accounts::default();
    for (name, cpu_milli) in accounts {
        let cap = Resources { cpu_milli: *cpu_milli, ..Resources::default() };
        declared.add(*name, Account { weight: 100.0, cap }, []).unwrap();
    }
    config.accounts = (!accounts.is_empty()).then_some(declared);
    world.apply(Command::Configure(Box::new(config)));
    world
}

fn submit(world: &mut World, owner: Option<&str>, id: &str, steps: Vec<Step>) {
    world.run_times.insert(id.to_string(), steps[0].estimate);
    world.submit_for(owner, "q", id, steps);
}

fn admit(world: &mut World, owner: Option<&str>, steps: Vec<Step>) -> Decision {
    let definition = Definition { steps, ..Definition::default() };
    let (time, owner) = (world.time(), owner.map(str::to_string));
    world.scheduler.admit(time, &world.ledger, &"q".to_string(), &definition, owner.as_ref())
}

/// Lets as many jobs of 32 units of one second wait as 32 cores do in that many seconds.
fn fill(world: &mut World, owner: Option<&str>, seconds_of_work: usize) {
    for number in 0..seconds_of_work {
        submit(world, owner, &format!("f{number}x"), vec![step(32, 1000, 1000)]);
    }
    world.run(seconds(0.2));
}

#[test]
fn a_job_that_can_wait_its_turn_is_accepted() {
    let mut world = world(&[("a", 0), ("b", 0)]);
    fill(&mut world, Some("a"), 4);
    // Its objective is 2.2 s, so it has value for 6.6 s.
    assert_eq!(admit(&mut world, Some("b"), vec![step(40, 1000, 1000)]), Decision::Accept);
}

#[test]
fn a_surge_beyond_what_can_be_done_is_refused_and_its_return_is_spread() {
    let mut world = world(&[("a", 0)]);
    fill(&mut world, Some("a"), 12);
    let mut before = Duration::ZERO;
    for _ in 0..4 {
        let decision = admit(&mut world, Some("a"), vec![step(40, 1000, 1000)]);
        let Decision::Refuse(retry_after) = decision else { panic!("{decision:?}") };
        assert!(
            retry_after > before && retry_after >= seconds(1.0),
            "{retry_after:?} after {before:?}"
        );
        assert!(retry_after <= seconds(12.0), "{retry_after:?}");
        before = retry_after;
    }
    world.run(before);
    assert_eq!(admit(&mut world, Some("a"), vec![step(40, 1000, 1000)]), Decision::Accept);
}

#[test]
fn a_small_job_that_goes_before_the_backlog_is_accepted() {
    let mut world = world(&[("a", 0), ("b", 0)]);
    fill(&mut world, Some("a"), 12);
    assert_eq!(admit(&mut world, Some("b"), vec![step(2, 1000, 500)]), Decision::Accept);
}

#[test]
fn an_account_is_refused_by_its_own_cap_while_others_are_accepted() {
    let mut world = world(&[("a", 2000), ("b", 0)]);
    submit(&mut world, Some("a"), "a1", vec![step(16, 1000, 1000)]);
    world.run(seconds(0.2));
    let steps = vec![step(20, 1000, 1000)]; // it goes after the other
    assert!(matches!(admit(&mut world, Some("a"), steps.clone()), Decision::Refuse(_)));
    assert_eq!(admit(&mut world, Some("b"), steps), Decision::Accept);
}

#[test]
fn open_ended_jobs_and_all_jobs_without_accounts_are_accepted() {
    let mut with_accounts = world(&[("a", 0)]);
    fill(&mut with_accounts, Some("a"), 12);
    assert_eq!(admit(&mut with_accounts, None, vec![long_running(2, 1000)]), Decision::Accept);
    let schedule = Some(Schedule { first_due: 0, interval: seconds(1.0), occurrences: 3 });
    let definition =
        Definition { steps: vec![step(40, 1000, 1000)], schedule, ..Definition::default() };
    let (time, queue) = (with_accounts.time(), "q".to_string());
    let decision =
        with_accounts.scheduler.admit(time, &with_accounts.ledger, &queue, &definition, None);
    assert_eq!(decision, Decision::Accept);
    let mut without = world(&[]);
    fill(&mut without, None, 12);
    assert_eq!(admit(&mut without, None, vec![step(40, 1000, 1000)]), Decision::Accept);
}

#[test]
fn a_new_leader_refuses_by_the_backlog_that_it_inherits() {
    let mut world = world(&[("a", 0)]);
    fill(&mut world, Some("a"), 12);
    world.replace_informed_leader();
    assert_eq!(
        admit(&mut world, Some("a"), vec![step(40, 1000, 1000)]),
        Decision::Accept,
        "in doubt"
    );
    world.run(seconds(0.5));
    let decision = admit(&mut world, Some("a"), vec![step(40, 1000, 1000)]);
    assert!(matches!(decision, Decision::Refuse(_)), "{decision:?}");
}

#[test]
fn an_account_at_its_cap_is_not_refused_by_work_that_goes_after_the_job() {
    let mut world = world(&[("a", 4000)]);
    submit(&mut world, Some("a"), "large", vec![step(400, 1000, 1000)]);
    world.run(seconds(0.3));
    assert_eq!(admit(&mut world, Some("a"), vec![step(1, 1000, 500)]), Decision::Accept);
}
