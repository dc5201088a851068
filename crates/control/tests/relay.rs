//! Which process sends an order for the leader, and what happens if it does not answer.

use control::relay::{Relays, has_time};
use jobs::Incarnation;
use mesh::{Frame, ProcessInfo};
use sched::Order;
use sched::order::{Answer, Destination, Poll, Reply};
use std::collections::BTreeMap;
use std::time::Duration;

const WORKERS: usize = 500;

fn at(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn process(name: &str, data_centre: &str) -> ProcessInfo {
    ProcessInfo {
        name: name.to_string(),
        incarnation: 1,
        durable: true,
        peer_address: "10.0.0.1:1".parse().unwrap(),
        control_address: None,
        data_centre: Some(data_centre.to_string()),
        relays_orders: true,
    }
}

fn poll(worker: &str, sent_at: Duration) -> Order {
    let address = "10.0.0.2:1".parse().unwrap();
    let to = Destination { incarnation: Incarnation::new(worker, 1), address };
    let max_wait = at(800);
    let (fence, acknowledged_through, lease_end_ms) = (1, 0, None);
    let leave_by = sent_at + at(1000);
    let poll = Poll { fence, acknowledged_through, lease_end_ms, max_wait, sent_at, leave_by };
    Order::Poll(to, poll)
}

fn choose(relays: &Relays, now: Duration, peers: &[ProcessInfo], worker: usize) -> Option<String> {
    let worker = format!("w{worker}");
    let chosen = relays.choose(now, peers, WORKERS, &worker, Some("north"));
    chosen.map(|process| process.name.clone())
}

#[test]
fn orders_are_spread_over_the_processes_of_the_workers_data_centre() {
    let relays = Relays::new(1);
    let peers = [process("a", "north"), process("b", "north"), process("c", "south")];
    let mut chosen: BTreeMap<String, usize> = BTreeMap::new();
    for worker in 0..WORKERS {
        let name = choose(&relays, at(0), &peers, worker).unwrap();
        assert_eq!(choose(&relays, at(9), &peers, worker), Some(name.clone()), "it must not vary");
        *chosen.entry(name).or_default() += 1;
    }
    assert_eq!(chosen.keys().collect::<Vec<_>>(), ["a", "b"]);
    assert!(chosen.values().all(|count| *count > WORKERS / 3), "{chosen:?}");
}

#[test]
fn a_process_of_a_version_that_sends_no_orders_gets_none() {
    let old = ProcessInfo { relays_orders: false, ..process("a", "north") };
    assert_eq!(choose(&Relays::new(1), at(0), &[old], 1), None);
}

#[test]
fn an_order_without_an_answer_is_unanswered_and_its_process_gets_no_more_for_a_while() {
    let mut relays = Relays::new(1);
    let peers = [process("a", "north")];
    let id = relays.record(at(0), "a", &poll("w1", at(0))).unwrap();
    let answered = relays.record(at(0), "a", &poll("w2", at(0))).unwrap();
    assert!(relays.complete(answered));
    assert!(
        relays.take_overdue(at(2599)).is_empty(),
        "800 ms of waiting and 1,800 ms for the call"
    );
    let overdue = relays.take_overdue(at(2600));
    let [Reply::Poll(reply)] = overdue.as_slice() else { panic!("{overdue:?}") };
    assert_eq!((&reply.incarnation.worker, &reply.answer), (&"w1".to_string(), &Answer::Lost));
    assert!(!relays.complete(id), "a late answer is not taken twice");
    assert_eq!(choose(&relays, at(5599), &peers, 1), None);
    assert_eq!(choose(&relays, at(5600), &peers, 1), Some("a".to_string()));
}

#[test]
fn a_worker_that_does_not_answer_does_not_make_its_process_look_lost() {
    let mut relays = Relays::new(1);
    let order = poll("w1", at(0));
    let id = relays.record(at(0), "a", &order).unwrap();
    let given_up_at = order.max_wait() + control::relay::CALL_TIMEOUT;
    assert!(relays.take_overdue(given_up_at + at(500)).is_empty(), "the reply is on its way");
    assert!(relays.complete(id));
    assert!(choose(&relays, given_up_at, &[process("a", "north")], 1).is_some());
}

#[test]
fn a_process_that_is_about_to_end_gets_no_more_orders() {
    let mut relays = Relays::new(1);
    let peers = [process("a", "north"), process("b", "south")];
    assert_eq!(choose(&relays, at(0), &peers, 1), Some("a".to_string()));
    relays.record_stopping(at(0), "a");
    assert_eq!(choose(&relays, at(1), &peers, 1), Some("b".to_string()));
}

#[test]
fn the_orders_of_a_process_whose_link_is_lost_are_unanswered_at_once() {
    let mut relays = Relays::new(1);
    relays.record(at(0), "a", &poll("w1", at(0)));
    relays.record(at(0), "b", &poll("w2", at(0)));
    assert_eq!(relays.take_lost("a").len(), 1);
    assert_eq!(relays.take_overdue(at(9000)).len(), 1, "the order of the other process");
}

#[test]
fn an_order_with_little_time_left_is_not_sent_through_another_process() {
    let order = poll("w", at(0)); // may leave until 1000 ms
    assert!(has_time(at(500), &order));
    assert!(!has_time(at(501), &order));
}

#[test]
fn the_time_until_which_an_order_may_leave_is_not_in_frames() {
    let frame = |order: &Order| Frame::Orders(vec![(1, order.clone())]);
    let mut order = poll("w", at(0));
    let encoded = frame(&order).encode();
    order.set_leave_by(Duration::ZERO);
    assert_eq!(frame(&order).encode(), encoded);
    assert_eq!(Frame::decode(&encoded).unwrap(), frame(&order));
}
