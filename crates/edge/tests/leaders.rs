//! Which core process a request goes to, and when it is refused.

use edge::leaders::{Advice, Leaders};
use mesh::Standing;
use quorum::Id;
use std::time::Duration;

fn id(name: &str) -> Id {
    Id::new(name, 1)
}

fn at(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn standing(term: u64, leader: Option<&str>, leads: bool) -> Standing {
    Standing { term, leader: leader.map(id), leads, configured: true, ..Standing::default() }
}

fn send_to(name: &str) -> Advice {
    Advice::Send(name.to_string())
}

#[test]
fn the_leader_of_the_highest_term_wins() {
    let mut leaders = Leaders::new(at(0));
    leaders.stands(at(1), id("a"), standing(2, Some("a"), true));
    leaders.stands(at(2), id("b"), standing(3, Some("b"), true));
    assert_eq!(leaders.advice(at(3)), send_to("b"), "a was frozen and does not know yet");
}

#[test]
fn a_follower_passes_requests_on_when_the_leader_is_not_linked() {
    let mut leaders = Leaders::new(at(0));
    leaders.stands(at(1), id("b"), standing(3, Some("a"), false));
    assert_eq!(leaders.advice(at(2)), send_to("b"));
    leaders.stands(at(3), id("a"), standing(3, Some("a"), true));
    assert_eq!(leaders.advice(at(4)), send_to("a"));
}

#[test]
fn requests_wait_for_a_fail_over_and_are_refused_at_once_after_it() {
    let mut leaders = Leaders::new(at(0));
    leaders.stands(at(1), id("a"), standing(2, Some("a"), true));
    leaders.lost(at(1000), &id("a"));
    assert_eq!(leaders.advice(at(1001)), Advice::Wait);
    assert_eq!(leaders.advice(at(2900)), Advice::Wait);
    assert_eq!(leaders.advice(at(3001)), Advice::Refuse);
    leaders.stands(at(3100), id("b"), standing(3, Some("b"), true));
    assert_eq!(leaders.advice(at(3101)), send_to("b"));
}

#[test]
fn clients_are_sent_here_only_when_they_can_be_served() {
    let mut leaders = Leaders::new(at(0));
    assert!(!leaders.is_ready(at(1)), "no configuration is known");
    leaders.stands(at(1), id("a"), standing(2, Some("a"), true));
    assert!(leaders.is_ready(at(2)));
    leaders.stands(at(3), id("a"), standing(2, None, false));
    assert!(leaders.is_ready(at(4)), "a fail-over is no reason to turn clients away");
    assert!(!leaders.is_ready(at(2100)));
}
