//! A listener on loopback sockets: requests that arrive slowly, back to back or too large, and
//! panics of the application.

mod harness;

use async_std::task;
use harness::{BLOCK_TIME, IDLE_TIMEOUT, MAX_BODY_BYTES, Server, get, post, read_until, send};
use std::io::Write;
use std::net::Shutdown;
use std::thread;
use std::time::{Duration, Instant};

#[test]
fn a_request_that_arrives_as_the_idle_timer_fires_is_answered() {
    let server = Server::start();
    for text in [get("/a"), post("/a", "body")] {
        let stream = server.connect();
        let (first, second) = text.split_at(text.len() - 2);
        thread::sleep(IDLE_TIMEOUT * 3 / 4);
        send(&stream, first);
        thread::sleep(IDLE_TIMEOUT / 2);
        let _ = (&stream).write_all(second.as_bytes()); // fails on a closed connection
        let answer = read_until(&stream, ">");
        assert!(answer.starts_with("HTTP/1.1 200") && answer.contains("</a "), "{answer:?}");
    }
}

#[test]
fn the_idle_time_counts_from_the_last_answer() {
    let server = Server::start();
    let stream = server.connect();
    for _ in 0..3 {
        send(&stream, &get("/slow"));
        assert!(read_until(&stream, ">").ends_with("</slow 0>"));
        thread::sleep(IDLE_TIMEOUT * 3 / 4);
    }
    let answered_at = Instant::now();
    assert_eq!(read_until(&stream, ">"), "", "an idle connection is closed");
    assert!(answered_at.elapsed() < IDLE_TIMEOUT);
}

#[test]
fn a_request_that_does_not_arrive_in_full_ends_with_an_answer() {
    let server = Server::start();
    for text in
        ["GET /a HTTP/1.1\r\nHo", "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\n1"]
    {
        let stream = server.connect();
        send(&stream, text);
        let answer = read_until(&stream, "\0");
        assert!(answer.starts_with("HTTP/1.1 408"), "{answer:?}");
    }
}

#[test]
fn requests_that_are_sent_back_to_back_are_all_answered() {
    let server = Server::start();
    let stream = server.connect();
    send(&stream, &[get("/1"), post("/2", "body"), get("/close"), get("/4")].concat());
    let answers = read_until(&stream, "</4 0>");
    for answer in ["</1 0>", "</2 4>", "</close 0>", "</4 0>"] {
        assert!(answers.contains(answer), "no {answer} in {answers:?}");
    }
}

#[test]
fn a_body_in_chunks_ends_wherever_it_is_split() {
    let server = Server::start();
    let head = "POST /1 HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n";
    for trailers in ["", "Digest: 1\r\n"] {
        let body = format!("4\r\nbody\r\nA\r\n0123456789\r\n0\r\n{trailers}\r\n");
        for split in 0..=body.len() {
            let stream = server.connect();
            let (first, second) = body.split_at(split);
            send(&stream, &[head, first].concat());
            thread::sleep(Duration::from_millis(5));
            send(&stream, second);
            let sent_at = Instant::now();
            let answer = read_until(&stream, "</1 14>");
            assert!(answer.starts_with("HTTP/1.1 200"), "{split}: {answer:?}");
            // No timer is needed to go on.
            assert!(sent_at.elapsed() < IDLE_TIMEOUT * 3 / 4, "{split}: {:?}", sent_at.elapsed());
            send(&stream, &[head, &body, &get("/2")].concat());
            let answers = read_until(&stream, "</2 0>");
            let is_answered = answers.contains("</1 14>") && answers.ends_with("</2 0>");
            assert!(is_answered, "{split}: {answers:?}");
        }
    }
}

#[test]
fn a_body_that_the_application_does_not_read_is_no_request() {
    let server = Server::start();
    let stream = server.connect();
    send(&stream, &[post("/unread", &get("/body")), get("/2")].concat());
    let answers = read_until(&stream, "</2 0>");
    assert!(!answers.contains("/body"), "{answers:?}");
    assert!(answers.ends_with("</2 0>") || answers.contains("connection: close"), "{answers:?}");
}

#[test]
fn continue_and_head_leave_the_connection_usable() {
    let server = Server::start();
    let stream = server.connect();
    send(
        &stream,
        "POST /1 HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\nExpect: 100-continue\r\n\r\n",
    );
    assert_eq!(read_until(&stream, "\r\n\r\n"), "HTTP/1.1 100 Continue\r\n\r\n");
    send(&stream, "body");
    assert!(read_until(&stream, ">").ends_with("</1 4>"));
    send(&stream, "HEAD /2 HTTP/1.1\r\nHost: h\r\n\r\n");
    let head = read_until(&stream, "\r\n\r\n");
    assert!(head.contains("content-length: 6\r\n"), "{head:?}");
    send(&stream, &get("/3"));
    let answer = read_until(&stream, ">");
    assert!(answer.starts_with("HTTP/1.1 200") && answer.ends_with("</3 0>"), "{answer:?}");
}

#[test]
fn a_client_that_closes_its_sending_side_is_answered() {
    let server = Server::start();
    let stream = server.connect();
    send(&stream, &get("/1"));
    stream.shutdown(Shutdown::Write).unwrap();
    assert!(read_until(&stream, ">").ends_with("</1 0>"));
}
#[test]
fn a_body_that_is_too_large_is_refused_with_an_answer_that_arrives() {
    let server = Server::start();
    let body = "x".repeat(8 * MAX_BODY_BYTES);
    let chunked = format!(
        "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n{:x}\r\n{body}\r\n0\r\n\r\n",
        body.len()
    );
    for text in [post("/a", &body), chunked] {
        let stream = server.connect();
        let _ = (&stream).write_all(text.as_bytes()); // fails on a closed connection
        let answer = read_until(&stream, "\0");
        assert!(answer.starts_with("HTTP/1.1 413"), "{answer:?}");
        assert!(!answer.contains('['), "{answer:?}");
    }
}

#[test]
fn a_panic_of_the_application_is_answered_and_cuts_no_other_request() {
    let mut server = Server::start();
    let (slow, stream) = (server.connect(), server.connect());
    send(&slow, &get("/slow"));
    send(&stream, &get("/panic"));
    let answer = read_until(&stream, "\r\n\r\n");
    assert!(answer.starts_with("HTTP/1.1 500"), "{answer:?}");
    assert!(read_until(&slow, ">").ends_with("</slow 0>"));
    let late = server.connect();
    send(&late, &get("/slow"));
    thread::sleep(BLOCK_TIME / 4);
    server.stop = None;
    assert!(read_until(&late, ">").ends_with("</slow 0>"));
    task::block_on(server.listener);
}
