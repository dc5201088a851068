//! What a request without a reply is told, and how often it is sent.

use edge::Leaders;
use edge::attempts::{Attempts, Step};
use mesh::{Reply, Status};
use quorum::Id;
use std::time::Duration;

const DEADLINE: Duration = Duration::from_secs(3);

fn at(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Leader `a` and followers of the other names, all linked.
fn leaders(followers: &[&str]) -> Leaders {
    let mut leaders = Leaders::new(at(0));
    for name in ["a"].iter().chain(followers) {
        let leader = Some(Id::new("a", 1));
        let status = Status { term: 2, leader, is_leader: *name == "a", ..Status::default() };
        leaders.record_status(at(0), Id::new(*name, 1), status);
    }
    leaders
}

fn refusal() -> Reply {
    Reply::NotTaken("the leader's lease is over".to_string())
}

#[test]
fn a_leader_that_is_slow_gets_a_request_once_for_each_timeout() {
    let leaders = leaders(&[]);
    let mut attempts = Attempts::new(false, DEADLINE);
    let mut sent_at = Vec::new();
    for millis in (0..3000).step_by(10) {
        if let Step::Send(peer) = attempts.next(at(millis), &leaders) {
            attempts.record_sent(at(millis), sent_at.len() as u64, &peer);
            sent_at.push(millis);
        }
    }
    assert_eq!(sent_at, [0, 1200, 2400]);
}

#[test]
fn a_leader_that_refuses_is_asked_ever_more_rarely_until_another_one_leads() {
    let mut leaders = leaders(&[]);
    let mut attempts = Attempts::new(false, DEADLINE);
    let mut sent_at = Vec::new();
    for millis in 0..3000 {
        if millis == 2000 {
            let leader = Some(Id::new("b", 1));
            let status = Status { term: 3, leader, is_leader: true, ..Status::default() };
            leaders.record_status(at(2000), Id::new("b", 1), status);
        }
        if let Step::Send(peer) = attempts.next(at(millis), &leaders) {
            attempts.record_sent(at(millis), sent_at.len() as u64, &peer);
            attempts.record_reply(at(millis), sent_at.len() as u64, refusal());
            sent_at.push(millis);
        }
    }
    assert_eq!(sent_at[..6], [0, 25, 75, 175, 375, 775]);
    assert!(sent_at.contains(&2000), "a new leader is asked at once: {sent_at:?}");
    assert!(sent_at.len() <= 16, "{sent_at:?}");
}

#[test]
fn a_write_with_an_attempt_that_may_run_is_not_said_to_have_no_queue() {
    let mut attempts = Attempts::new(true, DEADLINE);
    attempts.record_sent(at(0), 1, "a");
    attempts.record_sent(at(1200), 2, "b");
    let reply = attempts.record_reply(at(1210), 2, Reply::NoQueue);
    assert!(matches!(reply, Some(Reply::Unknown(_))), "{reply:?}");
}

#[test]
fn a_write_is_said_not_to_be_taken_only_if_every_attempt_was_refused() {
    let leaders = leaders(&["b"]);
    let mut attempts = Attempts::new(true, DEADLINE);
    assert_eq!(attempts.next(at(0), &leaders), Step::Send("a".to_string()));
    attempts.record_sent(at(0), 1, "a");
    assert!(matches!(attempts.give_up("test"), Reply::Unknown(_)), "it may still be carried out");
    assert_eq!(attempts.record_reply(at(10), 1, refusal()), None);
    assert!(matches!(attempts.give_up("test"), Reply::NotTaken(_)));
    assert_eq!(attempts.next(at(20), &leaders), Step::Wait(at(35)));
    assert_eq!(attempts.next(at(35), &leaders), Step::Send("a".to_string()));
    attempts.record_sent(at(35), 2, "a");
    attempts.record_lost(2);
    assert!(matches!(attempts.give_up("test"), Reply::Unknown(_)), "its link was lost");
}

#[test]
fn a_reply_to_any_attempt_settles_a_request() {
    let leaders = leaders(&["b"]);
    let mut attempts = Attempts::new(true, DEADLINE);
    attempts.record_sent(at(0), 1, "a");
    assert_eq!(attempts.next(at(1200), &leaders), Step::Send("b".to_string()));
    attempts.record_sent(at(1200), 2, "b");
    assert_eq!(attempts.record_reply(at(1210), 2, refusal()), None, "the first one is waited for");
    assert_eq!(attempts.record_reply(at(1300), 1, Reply::Done), Some(Reply::Done));
    assert_eq!(attempts.record_reply(at(1310), 1, Reply::Done), None, "a second reply");
}
