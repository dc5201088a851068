//! Random schedules of workers that restart under their ids while leaders change and wall clocks are
//! wrong. A promise to run a unit once has to outlive the leader that gave it.
//!
//! `SCHEDULES` and `SCHEDULES_FROM` set the number of seeds of each test and the first one;
//! `TRACE` is the time in seconds of which starts, ends, faults and decisions before a failure are printed.

mod world;

use std::ops::Range;
use std::time::Duration;
use world::schedule::{Failure, Faults, Schedule};

/// Shortest times between two restarts of one worker: alone, and of one that goes up and down.
const RESTART_GAPS: [Duration; 2] = [Duration::from_secs(20), Duration::from_millis(500)];
/// Time without faults after which nothing may be left over from them.
const HEALED: Duration = Duration::from_secs(120);
const WALL_CLOCK_ERROR: Duration = Duration::from_secs(5);
const MAX_NAMED: usize = 5;

fn variable(name: &str, default: u64) -> u64 {
    let value = std::env::var(name).ok();
    value.map_or(default, |value| value.parse().unwrap_or_else(|_| panic!("{name}: no number")))
}

fn seeds() -> Range<u64> {
    let first = variable("SCHEDULES_FROM", 1000);
    first..first + variable("SCHEDULES", 80)
}

fn faults() -> Faults {
    Faults::new(RESTART_GAPS[0])
}

/// Plays the schedules of all seeds, with single and with repeated restarts.
fn play(faults: Faults) {
    let mut failures: Vec<(Duration, Failure)> = Vec::new();
    for restart_gap in RESTART_GAPS {
        let is_flapping = restart_gap == RESTART_GAPS[1];
        let omits_one_poll_in = is_flapping.then_some(7);
        let faults = Faults { restart_gap, omits_one_poll_in, ..faults };
        let failed = seeds().filter_map(|seed| Schedule::new(seed, faults).play(HEALED).err());
        failures.extend(failed.map(|failure| (restart_gap, failure)));
    }
    let count = |gap| failures.iter().filter(|(of, _)| *of == gap).count();
    let (single, repeated) = (count(RESTART_GAPS[0]), count(RESTART_GAPS[1]));
    let named: Vec<_> = failures.iter().take(MAX_NAMED).collect();
    assert!(
        failures.is_empty(),
        "failed: {single} with single restarts, {repeated} with repeated ones: {named:#?}"
    );
}

#[test]
fn no_unit_runs_twice_while_leaders_change() {
    play(Faults { leader_change: 0.01, ..faults() });
}

#[test]
fn no_unit_runs_twice_while_leaders_often_change() {
    play(Faults { leader_change: 0.05, ..faults() });
}

#[test]
fn no_unit_runs_twice_beside_work_that_lasts() {
    play(Faults { has_lasting_work: true, ..faults() });
}

#[test]
fn no_unit_runs_twice_beside_work_that_lasts_while_leaders_change() {
    play(Faults { leader_change: 0.01, has_lasting_work: true, ..faults() });
}

#[test]
fn no_unit_runs_twice_beside_work_that_lasts_while_leaders_often_change() {
    play(Faults { leader_change: 0.05, has_lasting_work: true, ..faults() });
}

#[test]
fn no_unit_runs_twice_while_wall_clocks_are_wrong() {
    play(Faults { wall_clock_error: WALL_CLOCK_ERROR, ..faults() });
}

#[test]
fn no_unit_runs_twice_while_wall_clocks_are_wrong_and_leaders_change() {
    let (wall_clock_error, leader_change) = (WALL_CLOCK_ERROR, 0.01);
    play(Faults { wall_clock_error, leader_change, has_lasting_work: true, ..faults() });
}

#[test]
fn no_unit_runs_twice_while_starts_are_repeated_and_leaders_change() {
    let (repeats_starts, leader_change) = (true, 0.01);
    play(Faults { repeats_starts, leader_change, has_lasting_work: true, ..faults() });
}

#[test]
fn no_unit_runs_twice_while_stops_are_late_and_leaders_change() {
    let (omits_one_stop_in, leader_change) = (Some(3), 0.01);
    play(Faults { omits_one_stop_in, leader_change, has_lasting_work: true, ..faults() });
}
