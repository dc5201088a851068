//! Which core process a request is sent to, and when it waits or is refused.

use edge::leaders::{Action, Leaders};
use mesh::Status;
use quorum::Id;
use std::time::Duration;

fn id(name: &str) -> Id {
    Id::new(name, 1)
}

fn at(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn status(term: u64, leader: Option<&str>, is_leader: bool) -> Status {
    Status { term, leader: leader.map(id), is_leader, configured: true, ..Status::default() }
}

fn send_to(name: &str) -> Action {
    Action::Send(name.to_string())
}

#[test]
fn requests_go_to_the_leader_of_the_highest_term() {
    let mut leaders = Leaders::new(at(0));
    leaders.record_status(at(1), id("a"), status(2, Some("a"), true));
    leaders.record_status(at(2), id("b"), status(3, Some("b"), true));
    assert_eq!(
        leaders.action(at(3)),
        send_to("b"),
        "a was suspended and does not know of the new term yet"
    );
}

#[test]
fn a_process_without_a_leader_does_not_hide_the_leader_of_a_lower_term() {
    let mut leaders = Leaders::new(at(0));
    leaders.record_status(at(1), id("a"), status(5, Some("a"), true));
    leaders.record_status(at(2), id("b"), status(6, None, false));
    assert_eq!(leaders.action(at(3000)), send_to("a"), "b is cut off from the others");
}

#[test]
fn requests_go_to_a_follower_while_the_leader_is_not_linked() {
    let mut leaders = Leaders::new(at(0));
    leaders.record_status(at(1), id("b"), status(3, Some("a"), false));
    assert_eq!(leaders.action(at(2)), send_to("b"));
    leaders.record_status(at(3), id("a"), status(3, Some("a"), true));
    assert_eq!(leaders.action(at(4)), send_to("a"));
}

#[test]
fn requests_wait_during_a_failover_and_are_refused_after_it() {
    let mut leaders = Leaders::new(at(0));
    leaders.record_status(at(1), id("a"), status(2, Some("a"), true));
    leaders.record_link_lost(at(1000), &id("a"));
    assert_eq!(leaders.action(at(1001)), Action::Wait);
    assert_eq!(leaders.action(at(2900)), Action::Wait);
    assert_eq!(leaders.action(at(3001)), Action::Refuse);
    leaders.record_status(at(3100), id("b"), status(3, Some("b"), true));
    assert_eq!(leaders.action(at(3101)), send_to("b"));
}

#[test]
fn is_ready_while_requests_can_be_served() {
    let mut leaders = Leaders::new(at(0));
    assert!(!leaders.is_ready(at(1)), "no configuration is known");
    leaders.record_status(at(1), id("a"), status(2, Some("a"), true));
    assert!(leaders.is_ready(at(2)));
    leaders.record_status(at(3), id("a"), status(2, None, false));
    assert!(leaders.is_ready(at(4)), "a failover does not make the process unready");
    assert!(!leaders.is_ready(at(2100)));
}
