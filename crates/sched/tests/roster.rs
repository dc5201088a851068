//! Which report of a worker counts when addresses and instances are used again.

use jobs::Incarnation;
use jobs::definition::Resources;
use sched::roster::Freshness;
use sched::{Report, Roster};
use std::time::Duration;

fn report(worker: &str, started_at: u64, instance: &str, port: u16) -> Report {
    Report {
        incarnation: Incarnation::new(worker, started_at),
        instance: instance.to_string(),
        address: ([10, 0, 0, 1], port).into(),
        pool: "p".to_string(),
        data_centre: "north".to_string(),
        labels: Vec::new(),
        capacity: Resources::default(),
        draining: false,
        remaining: None,
        number: 1,
    }
}

fn at(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

fn names(roster: &Roster) -> Vec<&str> {
    roster.workers().map(|received| received.report.incarnation.worker.as_str()).collect()
}

#[test]
fn a_later_incarnation_at_an_address_replaces_the_earlier_worker() {
    let mut roster = Roster::default();
    roster.record(at(0), report("a", 1, "m1", 80));
    assert_eq!(roster.record(at(1), report("b", 2, "m2", 80)), Freshness::Changed);
    assert_eq!(names(&roster), ["b"]);
    let mut late = report("a", 1, "m1", 80);
    late.number = 2;
    assert_eq!(roster.record(at(2), late), Freshness::Stale);
    assert_eq!(names(&roster), ["b"]);
}

#[test]
fn a_later_worker_of_an_instance_replaces_the_earlier_one() {
    let mut roster = Roster::default();
    roster.record(at(0), report("a", 1, "m1", 80));
    roster.record(at(1), report("b", 2, "m1", 81));
    assert_eq!(names(&roster), ["b"]);
}

#[test]
fn an_address_and_an_instance_are_free_after_their_worker_moved_on_or_expired() {
    let mut roster = Roster::default();
    roster.record(at(0), report("a", 5, "m1", 80));
    let mut moved = report("a", 6, "m2", 81);
    moved.number = 2;
    roster.record(at(1), moved);
    roster.record(at(2), report("b", 1, "m1", 80));
    assert_eq!(names(&roster), ["a", "b"], "nothing is left of the first report");
    roster.expire(at(22));
    assert!(names(&roster).is_empty());
    roster.record(at(23), report("c", 1, "m2", 81));
    assert_eq!(names(&roster), ["c"]);
}

#[test]
fn a_report_of_another_capacity_or_of_other_labels_is_a_change() {
    let mut roster = Roster::default();
    roster.record(at(0), report("a", 1, "m1", 80));
    let mut next = report("a", 1, "m1", 80);
    next.number = 2;
    assert_eq!(roster.record(at(1), next.clone()), Freshness::Unchanged);
    next.number = 3;
    next.capacity.cpu_milli = 4000;
    assert_eq!(roster.record(at(2), next.clone()), Freshness::Changed);
    next.number = 4;
    next.labels = vec!["large".to_string()];
    assert_eq!(roster.record(at(3), next), Freshness::Changed);
}

#[test]
fn a_late_notice_of_an_end_does_not_end_the_successor_under_the_same_id() {
    let notice = "a".to_string();
    let leaving = Report { draining: true, number: 2, ..report("a", 1, "m1", 80) };
    // The successor reports before the notice, or between two of them.
    for is_repeated in [false, true] {
        let mut roster = Roster::default();
        roster.record(at(0), report("a", 1, "m1", 80));
        roster.record(at(1), leaving.clone());
        if is_repeated {
            roster.record_announced_end(at(2), &notice);
        }
        roster.record(at(3), report("a", 2, "m1", 80));
        roster.record_announced_end(at(4), &notice);
        assert_eq!(names(&roster), ["a"], "repeated: {is_repeated}");
        let next = Report { number: 2, ..report("a", 2, "m1", 80) };
        assert_eq!(roster.record(at(5), next), Freshness::Unchanged);
    }
}

#[test]
fn a_successor_that_drains_is_ended_by_its_notice() {
    let mut roster = Roster::default();
    roster.record(at(0), Report { draining: true, ..report("a", 1, "m1", 80) });
    roster.record(at(1), report("a", 2, "m1", 80));
    roster.record(at(2), Report { draining: true, number: 2, ..report("a", 2, "m1", 80) });
    roster.record_announced_end(at(3), &"a".to_string());
    assert!(names(&roster).is_empty());
}

#[test]
fn an_incarnation_that_has_answered_a_poll_may_state_an_earlier_start() {
    let present = |number| Report { number, ..report("a", 1, "m1", 80) };
    let earlier = |number| Report { number, ..report("a", 5, "m1", 80) };
    let mut roster = Roster::default();
    roster.record(at(0), earlier(7));
    assert_eq!(roster.record(at(1), present(1)), Freshness::Doubtful, "it may be an old one");
    assert_eq!(roster.get(&"a".to_string()).unwrap().report, earlier(7));
    roster.record_answer(at(1), &present(1).incarnation);
    assert_eq!(roster.record(at(2), earlier(8)), Freshness::Stale);
    assert_eq!(roster.record(at(2), present(2)), Freshness::Changed);
    assert_eq!(roster.record(at(3), earlier(9)), Freshness::Stale);
    assert_eq!(roster.record(at(3), present(2)), Freshness::Stale);
    assert_eq!(roster.record(at(4), present(3)), Freshness::Unchanged);
    assert_eq!(roster.replaced().cloned().collect::<Vec<_>>(), [earlier(7)]);
}

#[test]
fn a_late_report_with_a_later_start_does_not_outlast_an_answer_of_the_present_incarnation() {
    let present = |number| Report { number, ..report("a", 1, "m1", 80) };
    let mut roster = Roster::default();
    roster.record(at(0), present(1));
    roster.record(at(1), report("a", 5, "m1", 80));
    roster.record_answer(at(1), &present(1).incarnation);
    assert_eq!(roster.record(at(2), present(2)), Freshness::Changed);
    assert_eq!(roster.get(&"a".to_string()).unwrap().report, present(2));
}

#[test]
fn a_worker_that_announced_its_end_may_come_back_with_an_earlier_start() {
    let present = |number| Report { number, ..report("a", 1, "m1", 80) };
    let mut roster = Roster::default();
    roster.record(at(0), Report { draining: true, ..report("a", 5, "m1", 80) });
    roster.record_announced_end(at(1), &"a".to_string());
    assert_eq!(roster.record(at(2), report("a", 5, "m1", 80)), Freshness::Stale);
    assert_eq!(roster.record(at(2), present(1)), Freshness::Doubtful);
    roster.record_answer(at(2), &present(1).incarnation);
    assert_eq!(roster.record(at(3), present(2)), Freshness::Changed);
    assert_eq!(roster.record(at(4), present(3)), Freshness::Unchanged);
}
