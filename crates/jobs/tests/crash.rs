//! Tests of crashes of workers under units, as the ledger records them.

use jobs::command::{Batch, Command, CrashList, CrashedRun, Placed, Submit};
use jobs::definition::{Definition, Step};
use jobs::{Config, Incarnation, Ledger, Pool, Queue, State, UnitKey};
use std::time::Duration;

const UNIT: UnitKey = UnitKey { job: 1, occurrence: 0, step: 0, index: 0 };

fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Creates a ledger with job `a`, whose unit 0 has a run on worker `w1`.
fn ledger(step: Step) -> Ledger {
    let mut ledger = Ledger::new(Duration::from_secs(120));
    let mut config = Config { version: 1, ..Config::default() };
    let queue =
        Queue { pool: "p".to_string(), timeout: millis(3000), max_attempts: 9, ..Queue::default() };
    config.queues.insert("q".to_string(), queue);
    config.pools.insert("p".to_string(), Pool::default());
    ledger.apply(Command::Configure(Box::new(config)));
    let steps = vec![Step { count: 2, estimate: millis(1000), ..step }];
    let definition = Definition { spec: "s".to_string(), steps, schedule: None };
    let (queue, id) = ("q".to_string(), "a".to_string());
    let submit = Submit { queue, place: None, id, definition, owner: None, at: 1000 };
    ledger.apply(Command::Submit(submit));
    let placed = vec![Placed {
        incarnation: Incarnation::new("w1", 1),
        instance: None,
        runs: vec![(UNIT, 1)],
    }];
    ledger.apply(Command::Runs(Batch { at: 2000, placed, ..Batch::default() }));
    ledger
}

/// The crash of worker `w<number>` on an instance, under the given run of unit 0.
fn crash(number: u64, instance: &str, survived: Duration, is_alone: bool) -> Command {
    let run = CrashedRun { unit: UNIT, run: number, survived, is_alone };
    let list = CrashList {
        incarnation: Incarnation::new(format!("w{number}"), number),
        instance: instance.to_string(),
        runs: vec![run],
    };
    Command::Runs(Batch { at: 3000 + number, crashed: vec![list], ..Batch::default() })
}

fn state(ledger: &Ledger) -> State {
    ledger.job(1).unwrap().state
}

#[test]
fn trials_that_crash_workers_on_two_instances_fail_the_job() {
    let mut ledger = ledger(Step::default());
    ledger.apply(crash(1, "m1", millis(0), false));
    ledger.apply(crash(2, "m2", millis(10), true));
    assert_eq!(state(&ledger), State::Running);
    ledger.apply(crash(3, "m3", millis(0), true));
    assert_eq!(state(&ledger), State::Failed);
    let facts: Vec<String> = ledger.explain("job a").into_iter().map(|fact| fact.text).collect();
    for worker in ["w1", "w2", "w3"] {
        assert!(facts.iter().any(|fact| fact.contains(&format!("worker {worker} crashed"))));
    }
}

#[test]
fn crashes_in_company_or_on_one_instance_fail_no_job_before_the_limit() {
    for (instances, limit) in [(["m1", "m2", "m1", "m2", "m1"], 4), (["m1"; 5], 5)] {
        let mut ledger = ledger(Step::default());
        for (number, instance) in (1..).zip(instances) {
            assert_eq!(state(&ledger), State::Running, "before crash {number}");
            ledger.apply(crash(number, instance, millis(0), false));
            if number == limit {
                break;
            }
        }
        assert_eq!(state(&ledger), State::Failed, "at crash {limit}");
    }
}

#[test]
fn a_crash_that_is_reported_twice_counts_once() {
    let mut ledger = ledger(Step::default());
    for _ in 0..9 {
        ledger.apply(crash(1, "m1", millis(0), true));
        ledger.apply(crash(2, "m2", millis(0), true));
    }
    assert_eq!(state(&ledger), State::Running);
}

#[test]
fn crashes_at_different_points_of_a_unit_have_different_causes() {
    let mut ledger = ledger(Step::default());
    for (number, survived) in (1..).zip([0, 5000, 0, 3000, 9000, 0, 5000]) {
        ledger.apply(crash(number, &format!("m{number}"), millis(survived), true));
        assert_eq!(ledger.unit(&UNIT).unwrap().crashes.len(), 1);
    }
    assert_eq!(state(&ledger), State::Running);
}

#[test]
fn crashes_long_after_the_start_of_long_running_work_are_not_counted_together() {
    let mut ledger = ledger(Step { long_running: true, ..Step::default() });
    for number in 1..9 {
        ledger.apply(crash(number, &format!("m{number}"), millis(60_000), true));
    }
    assert_eq!(state(&ledger), State::Running);
}

#[test]
fn crashes_survive_a_snapshot() {
    let mut ledger = ledger(Step::default());
    ledger.apply(crash(1, "m1", millis(0), false));
    ledger.apply(crash(2, "m2", millis(0), true));
    let mut snapshot = Vec::new();
    ciborium::into_writer(&ledger, &mut snapshot).unwrap();
    let mut restored: Ledger = ciborium::from_reader(snapshot.as_slice()).unwrap();
    restored.apply(crash(3, "m3", millis(0), true));
    assert_eq!(state(&restored), State::Failed);
}

#[test]
fn a_batch_with_a_field_of_a_later_version_is_still_read() {
    let written = serde_json::json!({"Runs": {"at": 5, "later": [{"life": 1}]}});
    let command: Command = serde_json::from_value(written).unwrap();
    assert_eq!(command, Command::Runs(Batch { at: 5, ..Batch::default() }));
}

#[test]
fn a_unit_from_before_crashes_were_recorded_is_still_read() {
    let unit: jobs::Unit = serde_json::from_value(serde_json::json!({"r": 3, "f": 1})).unwrap();
    assert_eq!((unit.last_run, unit.failures, unit.crashes.len()), (3, 1, 0));
}
