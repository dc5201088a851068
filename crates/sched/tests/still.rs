//! Random schedules of faults, after which no unit whose turn has come stands still beside room, and
//! no work that lasts.
//!
//! `SCHEDULES` and `SCHEDULES_FROM` set the number of seeds of each test and the first one;
//! `LEADER_CHANGES` is the number of changes of leaders in 1000 steps. If `TRACE` is a number of
//! seconds, what happened for so long before each failure is printed.

mod world;

use std::collections::BTreeMap;
use std::ops::Range;
use std::time::Duration;
use world::dimension::Dimensions;
use world::schedule::{Failure, Faults, Schedule};
use world::still::Stall;

/// Shortest times between two restarts of one worker: alone, and of one that goes up and down.
const RESTART_GAPS: [Duration; 2] = [Duration::from_secs(20), Duration::from_millis(500)];
/// Time without faults in which units are watched: twice that after which none stands still.
const HEALED: Duration = Duration::from_secs(36);
const MAX_NAMED: usize = 3;

fn variable(name: &str, default: u64) -> u64 {
    let value = std::env::var(name).ok();
    value.map_or(default, |value| value.parse().unwrap_or_else(|_| panic!("{name}: no number")))
}

fn seeds() -> Range<u64> {
    let first = variable("SCHEDULES_FROM", 2000);
    first..first + variable("SCHEDULES", 2)
}

/// Plays the schedules of all seeds, with single and with repeated restarts. What else they break is
/// judged by the tests of dimensions.
fn play(dimensions: Dimensions) {
    let leader_change = variable("LEADER_CHANGES", 0) as f64 / 1000.0;
    let mut failures: BTreeMap<Stall, Vec<(Duration, Failure)>> = BTreeMap::new();
    for restart_gap in RESTART_GAPS {
        let omits_one_poll_in = (restart_gap == RESTART_GAPS[1]).then_some(7);
        let faults = Faults {
            omits_one_poll_in,
            leader_change,
            has_lasting_work: true,
            judges_accounts: true,
            judges_stalls: true,
            dimensions,
            ..Faults::new(restart_gap)
        };
        for seed in seeds() {
            let mut schedule = Schedule::new(seed, faults);
            if let Err(failure) = schedule.play(HEALED) {
                println!("{restart_gap:?} else {seed}: {}", failure.text);
            }
            for (stall, failure) in schedule.stalls {
                println!("{restart_gap:?} {stall:?} {seed}: {}", failure.text);
                failures.entry(stall).or_default().push((restart_gap, failure));
            }
        }
    }
    let counts: BTreeMap<_, _> = failures.iter().map(|(stall, of)| (*stall, of.len())).collect();
    failures.values_mut().for_each(|of| of.truncate(MAX_NAMED));
    assert!(failures.is_empty(), "failed: {counts:?}: {failures:#?}");
}

#[test]
fn no_unit_stands_still_without_further_faults() {
    play(Dimensions::default());
}

#[test]
fn no_unit_stands_still_while_relays_are_lost() {
    play(Dimensions { relay_loss: 0.01, ..Dimensions::default() });
}

#[test]
fn no_unit_stands_still_in_waves() {
    play(Dimensions { wave: 0.01, ..Dimensions::default() });
}

#[test]
fn no_unit_stands_still_while_workers_crash() {
    play(Dimensions { crash: 0.01, ..Dimensions::default() });
}

#[test]
fn no_unit_stands_still_while_runs_fail() {
    play(Dimensions { failing: 0.005, ..Dimensions::default() });
}

#[test]
fn no_unit_stands_still_while_the_leader_freezes() {
    play(Dimensions { freeze: 0.02, ..Dimensions::default() });
}

#[test]
fn no_unit_stands_still_while_idle_instances_are_parked() {
    play(Dimensions { idle: 0.02, ..Dimensions::default() });
}

#[test]
fn no_unit_stands_still_while_workers_are_gone_for_good() {
    play(Dimensions { gone: 0.01, ..Dimensions::default() });
}

#[test]
fn no_unit_stands_still_while_all_cores_restart_at_once() {
    play(Dimensions { cold: 0.01, ..Dimensions::default() });
}

#[test]
fn no_unit_stands_still_while_workers_drain_and_leave() {
    play(Dimensions { drain: 0.02, ..Dimensions::default() });
}

#[test]
fn no_unit_stands_still_under_all_faults_together() {
    play(Dimensions::all(1.0));
}
