//! A listener that stops while all threads are occupied, so that it finds requests and connections
//! that arrived before the stop.

mod harness;

use async_std::task;
use harness::{BLOCK_TIME, Server, get, read_until, send};
use std::net::TcpStream;
use std::thread;

/// Occupies all threads of the executor for [`BLOCK_TIME`].
fn block(server: &Server) -> Vec<TcpStream> {
    let threads = thread::available_parallelism().unwrap().get();
    let streams: Vec<TcpStream> = (0..threads).map(|_| server.connect()).collect();
    streams.iter().for_each(|stream| send(stream, &get("/block")));
    thread::sleep(BLOCK_TIME / 4);
    streams
}

#[test]
fn requests_that_have_arrived_when_the_listener_stops_are_answered() {
    let mut server = Server::start();
    let open: Vec<TcpStream> = (0..20).map(|_| server.connect()).collect();
    for stream in &open {
        send(stream, &get("/first"));
        assert!(read_until(stream, ">").ends_with("</first 0>"));
    }
    let blocked = block(&server);
    let waiting: Vec<TcpStream> = (0..20).map(|_| server.connect()).collect();
    for stream in open.iter().chain(&waiting) {
        send(stream, &get("/1"));
    }
    server.stop = None;
    let unanswered = |streams: &[TcpStream], end: &str| {
        streams.iter().filter(|stream| !read_until(stream, end).ends_with(end)).count()
    };
    assert_eq!(unanswered(&blocked, "</block 0>"), 0);
    assert_eq!((unanswered(&open, "</1 0>"), unanswered(&waiting, "</1 0>")), (0, 0));
    task::block_on(server.listener);
}
#[test]
fn a_stopping_listener_announces_the_end_of_a_connection() {
    let mut server = Server::start();
    let stream = server.connect();
    send(&stream, &get("/slow"));
    thread::sleep(BLOCK_TIME / 4);
    server.stop = None;
    let answer = read_until(&stream, ">");
    assert!(answer.contains("connection: close"), "{answer:?}");
    task::block_on(server.listener);
}
