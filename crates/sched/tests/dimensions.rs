//! Random schedules of further faults, each alone and all together: lost relays, waves, late moves,
//! crashes, failing and stuck runs, slow stops, late lists, gangs, copies, steps that wait, cancelled
//! jobs, sizes that change, orders and answers that overtake each other, a frozen leader, parked
//! instances, workers that are gone for good or drain, and cores that all restart.
//!
//! `SCHEDULES` and `SCHEDULES_FROM` set the number of seeds of each test and the first one;
//! `LEADER_CHANGES` is the number of changes of leaders in 1000 steps, and `INTENSITY` multiplies
//! the faults that come together. If `TRACE` is a number of seconds, what happened for so long
//! before each failure is printed.

mod world;

use std::collections::BTreeMap;
use std::ops::Range;
use std::time::Duration;
use world::dimension::Dimensions;
use world::schedule::{Failure, Faults, Schedule};

type Counts = BTreeMap<&'static str, usize>;

/// Shortest times between two restarts of one worker: alone, and of one that goes up and down.
const RESTART_GAPS: [Duration; 2] = [Duration::from_secs(20), Duration::from_millis(500)];
/// Time without faults after which nothing may be left over from them.
const HEALED: Duration = Duration::from_secs(120);
const MAX_NAMED: usize = 5;

fn variable(name: &str, default: u64) -> u64 {
    let value = std::env::var(name).ok();
    value.map_or(default, |value| value.parse().unwrap_or_else(|_| panic!("{name}: no number")))
}

fn seeds() -> Range<u64> {
    let first = variable("SCHEDULES_FROM", 2000);
    first..first + variable("SCHEDULES", 4)
}

/// Returns which promise a failure breaks, by a word of its text.
fn promise(failure: &Failure) -> &'static str {
    let words = [
        "run twice",
        "over capacity",
        "after it was done",
        "failures",
        "before step",
        "cancelled",
        "are away",
        "goes down",
        "completed without",
        "in vain",
        "is not completed",
        "does not run",
        "is Failed",
        "unaccounted for",
        "beyond its end",
    ];
    words.into_iter().find(|word| failure.text.contains(word)).unwrap_or("is not done")
}

/// Plays the schedule of one seed.
fn play_one(seed: u64, faults: Faults, counts: &mut Counts) -> Option<Failure> {
    let mut schedule = Schedule::new(seed, faults);
    let outcome = schedule.play(HEALED);
    *counts.entry("schedules").or_default() += 1;
    for stall in schedule.stalls.keys() {
        *counts.entry(stall.label()).or_default() += 1;
    }
    for (name, count) in schedule.world.counts().into_iter().filter(|(_, count)| *count > 0) {
        *counts.entry(name).or_default() += count;
    }
    outcome.err()
}

/// Plays the schedules of all seeds, with single and with repeated restarts.
fn play(dimensions: Dimensions) {
    let leader_change = variable("LEADER_CHANGES", 0) as f64 / 1000.0;
    let mut failures: Vec<(Duration, Failure)> = Vec::new();
    let mut totals = Counts::new();
    for restart_gap in RESTART_GAPS {
        let omits_one_poll_in = (restart_gap == RESTART_GAPS[1]).then_some(7);
        let faults = Faults {
            omits_one_poll_in,
            leader_change,
            has_lasting_work: true,
            judges_accounts: true,
            dimensions,
            ..Faults::new(restart_gap)
        };
        let failed = seeds().filter_map(|seed| play_one(seed, faults, &mut totals));
        failures.extend(failed.map(|failure| (restart_gap, failure)));
    }
    println!("{leader_change} {dimensions:?}: {totals:?}");
    let mut counts = Counts::new();
    for (_, failure) in &failures {
        *counts.entry(promise(failure)).or_default() += 1;
    }
    let mut named = BTreeMap::<&str, Vec<_>>::new();
    for failure in &failures {
        named.entry(promise(&failure.1)).or_default().push(failure);
    }
    named.values_mut().for_each(|failures| failures.truncate(MAX_NAMED));
    assert!(failures.is_empty(), "failed: {counts:?}: {named:#?}");
}

#[test]
fn promises_hold_without_further_faults() {
    play(Dimensions::default());
}

#[test]
fn promises_hold_while_relays_are_lost() {
    play(Dimensions { relay_loss: 0.01, ..Dimensions::default() });
}

#[test]
fn promises_hold_in_waves() {
    play(Dimensions { wave: 0.01, ..Dimensions::default() });
}

#[test]
fn promises_hold_while_moves_are_late() {
    play(Dimensions { late_move: 0.05, ..Dimensions::default() });
}

#[test]
fn promises_hold_while_workers_crash() {
    play(Dimensions { crash: 0.01, ..Dimensions::default() });
}

#[test]
fn promises_hold_while_runs_fail() {
    play(Dimensions { failing: 0.005, ..Dimensions::default() });
}

#[test]
fn promises_hold_while_runs_are_stuck() {
    play(Dimensions { sticking: 0.01, ..Dimensions::default() });
}

#[test]
fn promises_hold_while_stops_are_slow() {
    play(Dimensions { slow_stops: 0.02, ..Dimensions::default() });
}

#[test]
fn promises_hold_while_lists_are_late_or_missing() {
    play(Dimensions { list_fault: 0.02, ..Dimensions::default() });
}

#[test]
fn promises_hold_while_the_cloud_is_slow() {
    let late = Dimensions { late_move: 0.01, list_fault: 0.005, ..Dimensions::default() };
    play(Dimensions { slow_cloud: 0.02, wave: 0.01, ..late });
}

#[test]
fn promises_hold_under_all_faults_and_a_slow_cloud() {
    let all = Dimensions::all(variable("INTENSITY", 1) as f64);
    play(Dimensions { slow_cloud: 0.01, ..all });
}

#[test]
fn promises_hold_for_gangs() {
    play(Dimensions { gangs: 0.5, ..Dimensions::default() });
}

#[test]
fn promises_hold_for_copies() {
    play(Dimensions { copies: 0.7, sticking: 0.01, ..Dimensions::default() });
}

#[test]
fn promises_hold_for_steps_that_wait() {
    play(Dimensions { dependencies: 0.7, ..Dimensions::default() });
}

#[test]
fn promises_hold_for_cancelled_jobs() {
    play(Dimensions { cancel: 0.03, ..Dimensions::default() });
}

#[test]
fn promises_hold_while_workers_come_in_other_sizes() {
    play(Dimensions { resize: 0.05, ..Dimensions::default() });
}

#[test]
fn promises_hold_while_orders_overtake_each_other() {
    play(Dimensions { overtaking: 0.05, ..Dimensions::default() });
}

#[test]
fn promises_hold_while_answers_are_late() {
    play(Dimensions { late_answers: 0.05, ..Dimensions::default() });
}

#[test]
fn promises_hold_while_orders_without_an_answer_are_carried_out_soon() {
    play(Dimensions { soon: 0.02, ..Dimensions::default() });
}

#[test]
fn promises_hold_while_the_leader_freezes() {
    play(Dimensions { freeze: 0.02, ..Dimensions::default() });
}

#[test]
fn promises_hold_while_idle_instances_are_parked() {
    play(Dimensions { idle: 0.02, ..Dimensions::default() });
}

#[test]
fn promises_hold_while_workers_are_gone_for_good() {
    play(Dimensions { gone: 0.01, ..Dimensions::default() });
}

#[test]
fn promises_hold_while_all_cores_restart_at_once() {
    play(Dimensions { cold: 0.01, ..Dimensions::default() });
}

#[test]
fn promises_hold_while_workers_drain_and_leave() {
    play(Dimensions { drain: 0.02, ..Dimensions::default() });
}

#[test]
fn promises_hold_under_all_faults_together() {
    play(Dimensions::all(variable("INTENSITY", 1) as f64));
}
