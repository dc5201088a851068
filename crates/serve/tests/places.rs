//! A listener whose places are all taken: which connection gives way to a new one.

mod harness;

use harness::{BUDGET_BYTES, Server, get, read_until, send};
use serve::budget::Budget;
use std::net::TcpStream;
use std::thread;
use std::time::Duration;

const PLACES: usize = 4;
/// Longer than a connection counts as new.
const STALLED: Duration = Duration::from_millis(1100);

fn server() -> Server {
    Server::with_idle(Budget::new(BUDGET_BYTES), PLACES, Duration::from_secs(60))
}

fn ask(stream: &TcpStream, path: &str) -> bool {
    send(stream, &get(path));
    read_until(stream, ">").ends_with(&format!("<{path} 0>"))
}

/// Guards against connections that take all places and send nothing, or not all.
#[test]
fn stalled_connections_give_way_before_those_that_were_answered() {
    for start in
        ["", "GET /a HTTP/1.1\r\nHo", "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\n1"]
    {
        let server = server();
        let kept = server.connect();
        assert!(ask(&kept, "/kept"));
        let _stalled: Vec<TcpStream> = (0..PLACES - 1)
            .map(|_| {
                let stream = server.connect();
                send(&stream, start);
                stream
            })
            .collect();
        thread::sleep(STALLED);
        let later: Vec<TcpStream> = (0..PLACES - 1)
            .map(|_| {
                let stream = server.connect();
                assert!(ask(&stream, "/later"), "{start:?}");
                stream
            })
            .collect();
        assert!(ask(&kept, "/again"), "{start:?}");
        assert!(later.iter().all(|stream| ask(stream, "/later")), "{start:?}");
    }
}

/// Guards against a connection that is cut while the application handles its request.
#[test]
fn a_request_that_is_handled_never_gives_way() {
    let server = server();
    let slow: Vec<TcpStream> = (0..PLACES).map(|_| server.connect()).collect();
    slow.iter().for_each(|stream| send(stream, &get("/slow")));
    thread::sleep(Duration::from_millis(100));
    assert_eq!(read_until(&server.connect(), "\0").len(), 0, "a further connection is closed");
    for stream in &slow {
        assert!(read_until(stream, ">").ends_with("</slow 0>"));
    }
}

/// Guards against a client that is shut out by connections which were answered once and are kept.
#[test]
fn of_kept_connections_the_one_idle_for_longest_gives_way() {
    let server = server();
    let kept: Vec<TcpStream> = (0..PLACES).map(|_| server.connect()).collect();
    assert!(kept.iter().all(|stream| ask(stream, "/first")));
    assert!(kept[1..].iter().all(|stream| ask(stream, "/again")));
    let later = server.connect();
    assert!(ask(&later, "/later"));
    assert_eq!(read_until(&kept[0], "\0").len(), 0, "the connection is closed");
    assert!(kept[1..].iter().all(|stream| ask(stream, "/more")));
}
