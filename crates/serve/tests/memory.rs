//! A listener whose requests share a small budget: who is refused, and what that says.

mod harness;

use harness::{IDLE_TIMEOUT, MAX_BODY_BYTES, Server, get, post, read_until, send};
use quickcheck::{Arbitrary, Gen, QuickCheck};
use serve::budget::{Budget, Charge, Error, MAX_DEFAULT_BYTES};
use std::thread;
use std::time::Duration;

/// Room for some large bodies that arrive.
const SMALL_BUDGET: usize = 1 << 20;

/// Returns a request of which everything but the last byte of the body is sent.
fn stopping_short(body_bytes: usize) -> String {
    let mut request = post("/a", &"x".repeat(body_bytes));
    request.pop();
    request
}

/// Guards against bodies whose sum nothing bounds.
#[test]
fn the_largest_unfinished_request_gives_way_to_others() {
    let server = Server::with_budget(Budget::new(SMALL_BUDGET));
    let large: Vec<_> = (0..20).map(|_| server.connect()).collect();
    let (small, later) = (server.connect(), server.connect());
    send(&small, &stopping_short(10));
    for stream in &large {
        send(stream, &stopping_short(MAX_BODY_BYTES / 2));
    }
    thread::sleep(IDLE_TIMEOUT / 5);
    assert!(server.budget.used_bytes() <= SMALL_BUDGET, "{}", server.budget.used_bytes());
    send(&small, "x");
    assert!(read_until(&small, ">").ends_with("</a 10>"));
    send(&later, &post("/b", "x"));
    assert!(read_until(&later, ">").ends_with("</b 1>"));
    let answers: Vec<String> = large.iter().map(|stream| read_until(stream, "\0")).collect();
    let refused: Vec<&String> =
        answers.iter().filter(|answer| answer.starts_with("HTTP/1.1 503")).collect();
    assert!(refused.len() >= large.len() - SMALL_BUDGET / MAX_BODY_BYTES, "{answers:?}");
    assert!(refused.iter().all(|answer| answer.contains("retry-after: 1")), "{refused:?}");
}

/// Guards against a count of chunks' framing as body: the body is within the limit.
#[test]
fn a_body_in_chunks_of_a_byte_may_be_as_large_as_any_other() {
    let server = Server::start();
    let stream = server.connect();
    let body = "1\r\nx\r\n".repeat(MAX_BODY_BYTES);
    let head = "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n";
    send(&stream, &[head, &body, "0\r\n\r\n"].concat());
    assert!(read_until(&stream, ">").ends_with(&format!("</a {MAX_BODY_BYTES}>")));
}

/// Guards against a request that gets on by a byte from time to time and never arrives.
#[test]
fn a_request_that_trickles_ends_with_an_answer() {
    let server = Server::start();
    let stream = server.connect();
    send(&stream, "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 99\r\n\r\n");
    for _ in 0..8 {
        thread::sleep(IDLE_TIMEOUT / 5);
        let _ = std::io::Write::write_all(&mut &stream, b"x"); // fails once it is refused
    }
    let answer = read_until(&stream, "\0");
    assert!(answer.starts_with("HTTP/1.1 408"), "{answer:?}");
}

/// Guards against a response that is never taken: the connection stayed open for good.
#[test]
fn a_connection_whose_responses_are_not_read_ends() {
    let mut server = Server::start();
    let stream = server.connect();
    let request = get(&format!("/{}", "x".repeat(4000)));
    stream.set_write_timeout(Some(Duration::from_millis(200))).unwrap();
    // Until the buffers of both sides are full.
    while std::io::Write::write_all(&mut &stream, request.as_bytes()).is_ok() {}
    server.stop = None;
    async_std::task::block_on(server.listener); // no task of a connection is left
}

/// Changes of the charges of some requests.
#[derive(Clone, Copy, Debug)]
enum Change {
    Enter,
    Grow(usize, usize),
    Handle(usize, usize),
    Respond(usize, usize),
    Drop(usize),
}

impl Arbitrary for Change {
    fn arbitrary(g: &mut Gen) -> Change {
        let (index, bytes) = (usize::arbitrary(g) % 8, usize::arbitrary(g) % 60);
        match u8::arbitrary(g) % 6 {
            0 | 1 => Change::Enter,
            2 => Change::Grow(index, bytes),
            3 => Change::Handle(index, bytes),
            4 => Change::Respond(index, bytes),
            _ => Change::Drop(index),
        }
    }
}

/// Checks that what requests hold that need not end stays within the budget, whatever they do, and that
/// all is free once they are gone.
#[test]
fn requests_that_stay_never_hold_more_than_the_budget() {
    fn check(changes: Vec<Change>) -> bool {
        let budget = Budget::new(100);
        let mut charges: Vec<(Charge, usize)> = Vec::new();
        for change in changes {
            let set = |charges: &mut Vec<(Charge, usize)>, index: usize, bytes, result| {
                if result == Ok::<(), Error>(()) {
                    charges[index].1 = bytes;
                }
            };
            match change {
                Change::Enter => charges.push((budget.charge(), 0)),
                Change::Grow(index, bytes) if index < charges.len() => {
                    let total = charges[index].1 + bytes;
                    let result = charges[index].0.grow(bytes);
                    set(&mut charges, index, total, result);
                }
                Change::Handle(index, bytes) if index < charges.len() => {
                    let result = charges[index].0.begin_handling(bytes);
                    set(&mut charges, index, bytes, result);
                }
                Change::Respond(index, bytes) if index < charges.len() => {
                    let result = charges[index].0.begin_response(bytes);
                    set(&mut charges, index, bytes, result);
                }
                Change::Drop(index) if index < charges.len() => drop(charges.remove(index)),
                _ => {}
            }
            // A request that is evicted fails whatever it does next.
            let stays = |charge: &Charge| !matches!(charge.grow(0), Err(Error::Evicted { .. }));
            let held: usize =
                charges.iter().filter(|(charge, _)| stays(charge)).map(|(_, bytes)| bytes).sum();
            if held > budget.max_bytes() {
                return false;
            }
        }
        drop(charges);
        budget.used_bytes() == 0
    }
    QuickCheck::new().tests(2000).quickcheck(check as fn(Vec<Change>) -> bool);
}

/// Guards against large requests that are handled and leave nothing for small ones.
#[test]
fn large_requests_that_are_handled_leave_room_for_small_ones() {
    let budget = Budget::new(1000);
    let handled: Vec<Charge> = (0..20)
        .map(|_| budget.charge())
        .filter(|charge| charge.begin_handling(150).is_ok())
        .collect();
    assert!(!handled.is_empty());
    let small = budget.charge();
    assert_eq!(small.grow(20), Ok(()));
    assert_eq!(small.begin_handling(20), Ok(()));
    assert_eq!(budget.charge().begin_handling(1000), Err(Error::Exhausted { max_bytes: 1000 }));
}

#[test]
fn the_default_budget_fits_small_and_large_machines() {
    for (memory, max_body, expected) in [
        (Some(180_000_000), 1 << 19, 30_000_000),
        (Some(24_000_000_000), 1 << 19, MAX_DEFAULT_BYTES),
        (Some(32_000_000), 1 << 22, 8 << 22), // eight bodies of the largest size
    ] {
        assert_eq!(Budget::default_bytes(memory, max_body), expected);
    }
}
