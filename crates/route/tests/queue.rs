//! Order, fairness and size limit of a pool's queue.

use quickcheck::{Arbitrary, Gen, QuickCheck};
use route::outcome::Reason;
use route::queue::{Capacity, Class, MAX_WAITING, Queue, Ticket};
use std::collections::BTreeMap;
use std::time::Duration;

const CAPACITY: Capacity = Capacity { slots: 4, service_time: Duration::from_millis(20) };
const LATE_DEADLINE: Duration = Duration::from_secs(3600);

fn ticket(id: u64, class: Class, team: &str, weight: u32) -> Ticket {
    Ticket { id, class, team: team.to_string(), weight, deadline: LATE_DEADLINE }
}

fn fill(queue: &mut Queue, first_id: u64, count: u64, class: Class, team: &str, weight: u32) {
    for id in first_id..first_id + count {
        queue.push(Duration::ZERO, ticket(id, class, team, weight), CAPACITY).unwrap();
    }
}

fn starts(queue: &mut Queue, count: usize) -> BTreeMap<String, usize> {
    let mut starts: BTreeMap<String, usize> = BTreeMap::new();
    for _ in 0..count {
        let ticket = queue.pop(|_| true).unwrap();
        *starts.entry(ticket.team).or_default() += 1;
    }
    starts
}

#[test]
fn a_flood_of_one_team_does_not_starve_another() {
    let mut queue = Queue::default();
    fill(&mut queue, 0, 500, Class::Interactive, "flood", 1);
    fill(&mut queue, 1000, 20, Class::Interactive, "small", 1);
    let starts = starts(&mut queue, 40);
    assert_eq!(starts["small"], 20, "{starts:?}");
}

#[test]
fn starts_are_proportional_to_team_weights() {
    let mut queue = Queue::default();
    fill(&mut queue, 0, 100, Class::Interactive, "three", 3);
    fill(&mut queue, 1000, 100, Class::Interactive, "one", 1);
    let starts = starts(&mut queue, 40);
    assert!((29..=31).contains(&starts["three"]), "{starts:?}");
}

#[test]
fn urgent_goes_first_and_background_is_not_starved() {
    let mut queue = Queue::default();
    fill(&mut queue, 0, 100, Class::Background, "a", 1);
    fill(&mut queue, 1000, 100, Class::Urgent, "a", 1);
    let classes: Vec<Class> = (0..16).map(|_| queue.pop(|_| true).unwrap().class).collect();
    assert_eq!(classes[0], Class::Urgent);
    let background = classes.iter().filter(|class| **class == Class::Background).count();
    assert_eq!(background, 2, "one of eight starts: {classes:?}");
}

#[test]
fn a_team_at_its_quota_is_skipped() {
    let mut queue = Queue::default();
    fill(&mut queue, 0, 5, Class::Interactive, "full", 1);
    fill(&mut queue, 10, 1, Class::Interactive, "free", 1);
    let ticket = queue.pop(|team| team != "full").unwrap();
    assert_eq!(ticket.team, "free");
    assert_eq!(queue.pop(|team| team != "full"), None);
    assert_eq!(queue.len(), 5);
}

#[test]
fn a_request_that_cannot_meet_its_deadline_is_refused_at_once() {
    let mut queue = Queue::default();
    fill(&mut queue, 0, 100, Class::Interactive, "a", 1);
    // 101 requests of 20 ms over 4 slots start after 505 ms and end after 525 ms.
    let deadline = |millis| Ticket {
        deadline: Duration::from_millis(millis),
        ..ticket(200, Class::Interactive, "a", 1)
    };
    let refusal = queue.push(Duration::ZERO, deadline(525), CAPACITY).unwrap_err();
    assert_eq!(refusal.reason, Reason::Deadline);
    assert_eq!(refusal.retry_after, Some(Duration::from_millis(505)));
    queue.push(Duration::ZERO, deadline(526), CAPACITY).unwrap();
    // An urgent request starts before the others, so it meets the same deadline.
    let urgent = Ticket { class: Class::Urgent, ..deadline(525) };
    queue.push(Duration::ZERO, urgent, CAPACITY).unwrap();
}

#[test]
fn a_full_queue_refuses_and_late_requests_expire() {
    let mut queue = Queue::default();
    fill(&mut queue, 0, MAX_WAITING as u64, Class::Interactive, "a", 1);
    let more = ticket(9999, Class::Interactive, "a", 1);
    assert_eq!(queue.push(Duration::ZERO, more, CAPACITY).unwrap_err().reason, Reason::Busy);
    assert!(
        queue.expire(LATE_DEADLINE - CAPACITY.service_time * 2, CAPACITY.service_time).is_empty()
    );
    assert_eq!(
        queue.expire(LATE_DEADLINE - CAPACITY.service_time, CAPACITY.service_time).len(),
        MAX_WAITING
    );
    assert_eq!(queue.len(), 0);
    assert_eq!(queue.pop(|_| true), None);
}

/// A random operation on the queue.
#[derive(Clone, Debug)]
enum Operation {
    Push(u8, u8),
    Pop(bool),
    PutBack,
    Cancel(u8),
}

impl Arbitrary for Operation {
    fn arbitrary(g: &mut Gen) -> Operation {
        match u8::arbitrary(g) % 6 {
            0..=2 => Operation::Push(u8::arbitrary(g) % 3, u8::arbitrary(g) % 3),
            3 => Operation::Pop(bool::arbitrary(g)),
            4 => Operation::PutBack,
            _ => Operation::Cancel(u8::arbitrary(g)),
        }
    }
}

/// Every request leaves the queue exactly once, and `len` is correct after each operation.
#[test]
fn no_request_is_lost_or_duplicated() {
    fn property(operations: Vec<Operation>) -> bool {
        let classes = [Class::Urgent, Class::Interactive, Class::Background];
        let mut queue = Queue::default();
        let mut queued: Vec<u64> = Vec::new();
        let mut popped: Option<Ticket> = None;
        for (id, operation) in operations.into_iter().enumerate() {
            match operation {
                Operation::Push(class, team) => {
                    let team = ["a", "b", "c"][team as usize];
                    let ticket = ticket(id as u64, classes[class as usize], team, 1);
                    queue.push(Duration::ZERO, ticket, CAPACITY).unwrap();
                    queued.push(id as u64);
                }
                Operation::Pop(all) => {
                    popped = queue.pop(|team| all || team != "a");
                    if let Some(ticket) = &popped {
                        let at = queued.iter().position(|id| *id == ticket.id);
                        queued.remove(at.expect("it was queued"));
                    }
                }
                Operation::PutBack => {
                    if let Some(ticket) = popped.take() {
                        queued.push(ticket.id);
                        queue.put_back(ticket);
                    }
                }
                Operation::Cancel(which) if !queued.is_empty() => {
                    let id = queued.remove(which as usize % queued.len());
                    queue.cancel(id);
                }
                Operation::Cancel(_) => {}
            }
            assert_eq!(queue.len(), queued.len());
        }
        while let Some(ticket) = queue.pop(|_| true) {
            let at = queued.iter().position(|id| *id == ticket.id);
            queued.remove(at.expect("it was queued"));
        }
        queued.is_empty()
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(200, 11))
        .tests(300)
        .quickcheck(property as fn(Vec<Operation>) -> bool);
}
