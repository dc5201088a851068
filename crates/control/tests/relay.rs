//! Which process sends an order for the leader, and what happens if it does not answer.

use control::relay::Relays;
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
fn the_time_that_an_order_has_left_counts_from_the_arrival_of_its_frame() {
    let mut order = poll("w", at(0)); // may leave until 1000 ms
    order.state_time_left(at(400));
    let encoded = Frame::Orders(vec![(1, order.clone())]).encode();
    let Frame::Orders(mut orders) = Frame::decode(&encoded).unwrap() else { panic!("no orders") };
    orders[0].1.count_time_left(at(90_000));
    assert_eq!(orders[0].1.leave_by(), Some(at(90_600)));
    order.state_time_left(at(2000));
    order.count_time_left(at(90_000));
    assert_eq!(order.leave_by(), Some(at(90_000)), "none is left");
    order.count_time_left(at(1));
    assert_eq!(order.leave_by(), Some(at(1001)), "no process has more than a second");
}

/// A poll as versions before this one know it.
#[derive(serde::Serialize, serde::Deserialize)]
struct EarlierPoll {
    fence: u64,
    acknowledged_through: u64,
    lease_end_ms: Option<u64>,
    max_wait: Duration,
    sent_at: Duration,
}

#[test]
fn orders_are_read_by_earlier_versions_and_theirs_by_this_one() {
    let Order::Poll(_, poll) = poll("w", at(7)) else { panic!("no poll") };
    let mut bytes = Vec::new();
    ciborium::into_writer(&poll, &mut bytes).unwrap();
    let earlier: EarlierPoll = ciborium::from_reader(bytes.as_slice()).unwrap();
    assert_eq!(earlier.sent_at, at(7));
    bytes.clear();
    ciborium::into_writer(&earlier, &mut bytes).unwrap();
    let time_left = at(500);
    let expected = Poll { leave_by: time_left, ..poll };
    assert_eq!(ciborium::from_reader::<Poll, _>(bytes.as_slice()).unwrap(), expected);
}
