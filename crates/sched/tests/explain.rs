//! Tests of the explanation of where a job would go: one that waits, one that goes elsewhere, one
//! that is only described and would be refused.

mod world;

use jobs::Step;
use jobs::account::{Account, Accounts};
use jobs::command::{Command, Submit};
use jobs::definition::{Definition, Resources};
use sched::scheduler::Placing;
use std::time::Duration;
use world::{World, step};

fn seconds(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}

fn submit(world: &mut World, owner: Option<&str>, id: &str, steps: Vec<Step>) {
    world.run_times.insert(id.to_string(), steps[0].estimate);
    world.submit_for(owner, "q", id, steps);
}

fn explain(world: &World, id: &str) -> Option<Placing> {
    let number = world.ledger.job_number(id)?;
    world.scheduler.explain_place(world.time(), &world.ledger, number)
}

/// Explains a job that is only described, on a copy of the ledger.
fn explain_described(world: &World, owner: Option<&str>, steps: Vec<Step>) -> Placing {
    let mut ledger = world.ledger.clone();
    let definition = Definition { steps, ..Definition::default() };
    let (queue, id, owner) = ("q".to_string(), "described".to_string(), owner.map(str::to_string));
    let at = world.time().wall;
    ledger.apply(Command::Submit(Submit { queue, place: None, id, definition, owner, at }));
    let number = ledger.job_number("described").unwrap();
    world.scheduler.explain_place(world.time(), &ledger, number).unwrap()
}

#[test]
fn a_job_that_waits_is_told_its_rank_and_why() {
    let mut world = World::new(2);
    submit(&mut world, None, "a", vec![step(16, 1000, 5000)]);
    world.run(seconds(0.3));
    submit(&mut world, None, "b", vec![step(8, 1000, 500)]);
    submit(&mut world, None, "c", vec![step(8, 1000, 900)]);
    world.run(seconds(0.2));
    let placing = explain(&world, "c").unwrap();
    let found = &placing.steps[0];
    assert_eq!((found.waiting, found.rank, found.candidates), (8, Some((2, 2)), 0));
    assert!((found.work_before - 4.0).abs() < 0.5, "8 units of half a second: {found:?}");
    assert!(found.reasons.iter().any(|reason| reason.contains("no worker")), "{found:?}");
    assert_eq!(found.excluded.get("too little room"), Some(&2));
    let start = found.expected_start.unwrap();
    assert!(start > seconds(4.0) && start < seconds(6.0), "units of 5 s run: {start:?}");
    let running = &explain(&world, "a").unwrap().steps[0];
    assert_eq!((running.running.len(), running.waiting), (16, 0));
    assert_eq!(explain(&world, "unknown"), None);
}

#[test]
fn a_described_job_is_placed_by_the_decisions_of_the_leader_and_nothing_changes() {
    let mut world = World::new(4);
    let near = Step { affinity: Some("rack0".to_string()), ..step(16, 1000, 9000) };
    submit(&mut world, None, "full", vec![near.clone()]);
    world.run(seconds(0.3));
    let described = explain_described(&world, None, vec![Step { count: 2, ..near }]);
    let found = &described.steps[0];
    assert_eq!((found.starting.len(), found.waiting), (2, 0), "{found:?}");
    assert!(found.starting.values().all(|worker| worker == "w2" || worker == "w3"), "{found:?}");
    let starts = world.starts.len();
    world.run(seconds(1.0));
    assert_eq!(world.starts.len(), starts, "nothing was started");
    assert_eq!(explain_described(&world, None, vec![step(1, 9000, 500)]).steps[0].waiting, 1);
}

#[test]
fn a_described_job_of_an_account_at_its_cap_waits_or_would_be_refused() {
    let mut world = World::new(4);
    let mut config = world.ledger.config().unwrap().clone();
    config.version += 1;
    let mut accounts = Accounts::default();
    let cap = Resources { cpu_milli: 2000, ..Resources::default() };
    accounts.add("a", Account { weight: 9.0, cap }, []).unwrap();
    config.accounts = Some(accounts);
    world.apply(Command::Configure(Box::new(config)));
    submit(&mut world, Some("a"), "a1", vec![step(4, 1000, 1000)]);
    world.run(seconds(0.3));
    let short = explain_described(&world, Some("a"), vec![step(1, 1000, 1000)]);
    assert_eq!(short.refused_for, None);
    assert!(short.steps[0].reasons.iter().any(|reason| reason.contains("cap")), "{short:?}");
    submit(&mut world, Some("a"), "a2", vec![step(40, 1000, 1000)]);
    world.run(seconds(0.3));
    let refused = explain_described(&world, Some("a"), vec![step(50, 1000, 1000)]);
    assert!(refused.refused_for.is_some(), "{refused:?}");
}
