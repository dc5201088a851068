//! Waits for a service that handles one call at a time.

use sched::backlog::Backlog;
use std::time::Duration;

const COST: Duration = Duration::from_millis(800);

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

#[test]
fn a_service_that_can_not_be_reached_is_not_taken_for_slow() {
    let mut backlog = Backlog::default();
    for number in 0..100 {
        assert_eq!(backlog.add(number, ms(number * 200), COST), ms(2000));
        backlog.record_unhandled(&number);
    }
}

#[test]
fn waits_get_longer_for_a_slow_service_and_short_again() {
    let mut backlog = Backlog::default();
    let mut now = Duration::ZERO;
    let first = backlog.add(0, now, COST);
    now += first;
    backlog.record_unanswered(&0, now);
    let second = backlog.add(1, now, COST);
    assert!(second > first * 2, "the call that was given up is still handled");
    now += ms(2400);
    backlog.record_answer(&1, now);
    for number in 2..40 {
        backlog.add(number, now, COST);
        now += COST;
        backlog.record_answer(&number, now);
    }
    assert!(backlog.add(40, now, COST) < first + ms(100));
}

#[test]
fn no_wait_outlasts_its_bound() {
    let mut backlog = Backlog::default();
    let mut now = Duration::ZERO;
    for number in 0..50 {
        let wait = backlog.add(number, now, Duration::MAX);
        assert!(wait <= Duration::from_secs(30));
        now += wait;
        backlog.record_unanswered(&number, now);
    }
}
