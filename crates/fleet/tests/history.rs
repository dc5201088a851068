//! Property test: invariants that hold after each command of a random history.

use fleet::command::{Join, Leave, Release, Withdrawal};
use fleet::journal::Event;
use fleet::{Change, Command, Fleet, Outcome, Submission};
use quickcheck::{Arbitrary, Gen, QuickCheck};
use record::{Document, Key, Kind};
use std::collections::BTreeMap;
use std::time::SystemTime;

const POOLS: [&str; 3] = ["p", "q", "r"];
const ENTRIES: [&str; 3] = ["a", "b", "c"];
const INSTANCES: [&str; 3] = ["v", "w", "x"];

/// A random command. Names and revisions come from small ranges, so that they often
/// match and often conflict.
#[derive(Clone, Debug)]
enum Operation {
    Pool(usize, Option<u64>),
    Instance(usize, usize, Option<u64>),
    Withdraw(Kind, usize, u64),
    Batch(Vec<Operation>),
    Resend(usize),
    Join(usize, u64),
    Leave(usize, u64),
    Release(usize, usize, u64),
    Dismiss(usize),
}

impl Arbitrary for Operation {
    fn arbitrary(g: &mut Gen) -> Operation {
        let pick = |g: &mut Gen| usize::arbitrary(g) % 3;
        let revision = |g: &mut Gen| match u64::arbitrary(g) % 5 {
            0 => None,
            other => Some(other),
        };
        match usize::arbitrary(g) % 11 {
            0 | 1 => Operation::Pool(pick(g), revision(g)),
            2..=4 => Operation::Instance(pick(g), pick(g), revision(g)),
            5 => {
                let kind = if bool::arbitrary(g) { Kind::Pool } else { Kind::Instance };
                Operation::Withdraw(kind, pick(g), u64::arbitrary(g) % 5)
            }
            6 => {
                let size = usize::arbitrary(g) % 4;
                let simple = |g: &mut Gen| Operation::Instance(pick(g), pick(g), revision(g));
                Operation::Batch((0..size).map(|_| simple(g)).collect())
            }
            7 => Operation::Resend(usize::arbitrary(g) % 10),
            8 => Operation::Join(pick(g), u64::arbitrary(g) % 2),
            9 => Operation::Release(pick(g), pick(g), u64::arbitrary(g) % 2),
            _ if bool::arbitrary(g) => Operation::Leave(pick(g), u64::arbitrary(g) % 2),
            _ => Operation::Dismiss(pick(g)),
        }
    }
}

fn document(kind: Kind, name: &str, revision: Option<u64>, spec: serde_json::Value) -> Change {
    let name = name.to_string();
    Change::Put(Document { kind, schema: 1, name, revision, spec })
}

fn changes(operation: &Operation) -> Vec<Change> {
    match operation {
        Operation::Pool(pool, revision) => {
            let spec = serde_json::json!({ "description": "", "size": 1 });
            vec![document(Kind::Pool, POOLS[*pool], *revision, spec)]
        }
        Operation::Instance(instance, pool, revision) => {
            let spec = serde_json::json!({
                "pool": POOLS[*pool], "data_centre": "north", "rack": "r", "cores": 1,
                "memory_gb": 1, "slots": 1, "connections": 1,
            });
            vec![document(Kind::Instance, INSTANCES[*instance], *revision, spec)]
        }
        Operation::Withdraw(kind, name, revision) => {
            let name = if *kind == Kind::Pool { POOLS[*name] } else { INSTANCES[*name] };
            let key = Key::new(*kind, name);
            vec![Change::Withdraw(Withdrawal { key, revision: *revision })]
        }
        Operation::Batch(operations) => operations.iter().flat_map(changes).collect(),
        Operation::Dismiss(entry) => vec![Change::Dismiss(ENTRIES[*entry].to_string())],
        _ => Vec::new(),
    }
}

/// Builds the command of an operation. A release names the start index of the move in
/// progress.
fn command(fleet: &Fleet, history: &[Command], operation: &Operation) -> Command {
    let at = SystemTime::UNIX_EPOCH;
    match operation {
        Operation::Resend(back) if *back < history.len() => {
            history[history.len() - 1 - back].clone()
        }
        Operation::Join(entry, incarnation) => Command::Join(Join {
            entry: ENTRIES[*entry].to_string(),
            data_centre: "north".to_string(),
            incarnation: *incarnation,
            data_folder_id: None,
            at,
        }),
        Operation::Leave(entry, incarnation) => Command::Leave(Leave {
            entry: ENTRIES[*entry].to_string(),
            incarnation: *incarnation,
            at,
        }),
        Operation::Release(entry, instance, incarnation) => {
            let instance = INSTANCES[*instance].to_string();
            let pending_move = fleet
                .placements()
                .get(&instance)
                .and_then(|placement| placement.pending_move.as_ref());
            Command::Release(Release {
                entry: ENTRIES[*entry].to_string(),
                incarnation: *incarnation,
                start_index: pending_move.map_or(0, |pending_move| pending_move.start_index),
                instance,
                at,
            })
        }
        other => Command::Submit(Submission {
            operator: "ana".to_string(),
            id: format!("s{}", history.len()),
            at,
            changes: changes(other),
        }),
    }
}

/// Checks the invariants of one step.
fn check_step(before: &Fleet, after: &Fleet, command: &Command, outcome: Option<&Outcome>) {
    if matches!(outcome, Some(Outcome::Conflict { .. } | Outcome::Refused { .. })) {
        assert_eq!(before.records(), after.records(), "a refused batch changed records");
        assert_eq!(before.placements(), after.placements(), "a refused batch changed placements");
    }
    for (key, stored) in before.records() {
        let now = after.record(key).expect("records are never removed");
        let kept_or_next = now.revision == stored.revision || now.revision == stored.revision + 1;
        assert!(kept_or_next, "{key} went from revision {} to {}", stored.revision, now.revision);
    }
    check_notes(before, after);
    check_releases(before, after, command);
    for (instance, placement) in after.placements() {
        let pool = Key::new(Kind::Pool, placement.pool.clone());
        assert!(after.record(&pool).is_some(), "{instance} is in a pool without a record");
    }
}

/// Checks that every changed record and placement has a journal note, written by the same
/// command.
fn check_notes(before: &Fleet, after: &Fleet) {
    let notes = after.journal().since(0).into_iter().skip(before.journal().len());
    let events: Vec<&Event> = notes.map(|note| &note.event).collect();
    for (key, stored) in after.records() {
        if before.record(key).map(|old| old.revision) == Some(stored.revision) {
            continue;
        }
        let expected = if stored.withdrawn {
            Event::Withdrawn { key: key.clone(), revision: stored.revision }
        } else {
            Event::Recorded { key: key.clone(), revision: stored.revision }
        };
        assert!(events.contains(&&expected), "no note of {key} revision {}", stored.revision);
    }
    let pool = |fleet: &Fleet, name: &str| fleet.placements().get(name).map(|p| p.pool.clone());
    for name in INSTANCES {
        if pool(before, name) != pool(after, name) {
            let expected = Event::Assigned { instance: name.to_string(), pool: pool(after, name) };
            assert!(events.contains(&&expected), "no note that {name} changed its pool");
        }
    }
}

/// Checks that an instance leaves its pool only after every entry has released it.
fn check_releases(before: &Fleet, after: &Fleet, command: &Command) {
    for (name, old) in before.placements() {
        let new = after.placements().get(name);
        if new.is_some_and(|new| new.pool == old.pool) {
            continue;
        }
        let mut missing = before.missing_releases(name);
        match command {
            Command::Release(release) => missing.retain(|entry| *entry != release.entry),
            Command::Leave(leave) => missing.retain(|entry| *entry != leave.entry),
            Command::Submit(submission) => missing
                .retain(|entry| !submission.changes.contains(&Change::Dismiss(entry.clone()))),
            Command::Join(_) => {}
        }
        let moving = old.pending_move.is_some() || before.members().is_empty();
        assert!(moving && missing.is_empty(), "{name} left {} without {missing:?}", old.pool);
    }
}

#[test]
fn random_histories_keep_the_invariants() {
    fn property(operations: Vec<Operation>) -> bool {
        let mut fleet = Fleet::default();
        let mut replica = Fleet::default();
        let mut history: Vec<Command> = Vec::new();
        let mut outcomes: BTreeMap<String, Outcome> = BTreeMap::new();
        for (number, operation) in operations.iter().enumerate() {
            let index = number as u64 + 1;
            let command = command(&fleet, &history, operation);
            let before = fleet.clone();
            let outcome = fleet.apply(index, &command).unwrap();
            check_step(&before, &fleet, &command, outcome.as_ref());
            if let (Command::Submit(submission), Some(outcome)) = (&command, outcome) {
                // A resend gets the outcome of the first submission.
                let first = outcomes.entry(submission.id.clone()).or_insert(outcome.clone());
                assert_eq!(*first, outcome);
            }
            // The same commands give the same state, also after a snapshot and restore.
            replica.apply(index, &command).unwrap();
            replica = Fleet::read(&replica.write()).unwrap();
            assert_eq!(replica, fleet);
            history.push(command);
        }
        true
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(60, 7))
        .tests(400)
        .quickcheck(property as fn(Vec<Operation>) -> bool);
}

#[test]
fn a_release_of_an_earlier_move_is_ignored() {
    let at = SystemTime::UNIX_EPOCH;
    let submit = |id: &str, operation: Operation| {
        let (operator, id) = ("ana".to_string(), id.to_string());
        Command::Submit(Submission { operator, id, at, changes: changes(&operation) })
    };
    let join = Command::Join(Join {
        entry: "a".to_string(),
        data_centre: "north".to_string(),
        incarnation: 1,
        data_folder_id: None,
        at,
    });
    let commands = [
        join,
        submit("pools", Operation::Pool(0, None)),
        submit("q", Operation::Pool(1, None)),
        submit("r", Operation::Pool(2, None)),
        submit("w", Operation::Instance(1, 0, None)),
        submit("to q", Operation::Instance(1, 1, Some(1))),
        submit("back", Operation::Instance(1, 0, Some(2))),
        submit("to r", Operation::Instance(1, 2, Some(3))),
    ];
    let mut fleet = Fleet::default();
    for (number, command) in commands.iter().enumerate() {
        fleet.apply(number as u64 + 1, command).unwrap();
    }
    let release = |start_index| {
        let (entry, instance) = ("a".to_string(), "w".to_string());
        Command::Release(Release { entry, incarnation: 1, instance, start_index, at })
    };
    fleet.apply(9, &release(6)).unwrap();
    assert_eq!(fleet.placements()["w"].pool, "p", "a release of the move at index 6");
    fleet.apply(10, &release(8)).unwrap();
    assert_eq!(fleet.placements()["w"].pool, "r");
}
