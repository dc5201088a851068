//! Fault matrix of forwarding: a scripted target fails at every step of a request, on a
//! new and on a reused connection, for requests that may be repeated and for requests
//! that must not run twice.

use arc_swap::ArcSwap;
use async_std::io::{ReadExt, WriteExt};
use async_std::net::{TcpListener, TcpStream};
use async_std::task::{self, block_on};
use entry::clock::{Clock, System};
use entry::forward::{Forwarder, Options};
use entry::gate::Gate;
use route::Table;
use route::health::Health;
use route::outcome::Reason;
use route::queue::Class;
use route::table::{Pool, Target};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;
use wire::call::{Call, Outcome};

/// Short, because every case with a silent target waits for it.
const DEADLINE: Duration = Duration::from_millis(400);

/// Step at which the target fails.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Step {
    /// Nothing listens.
    Connect,
    /// The connection is closed before anything is read.
    Accept,
    /// The connection is closed after the request was read.
    Read,
    /// The request is read and never answered.
    Silence,
    /// The connection is closed in the middle of the response head.
    HalfHead,
    /// The connection is closed in the middle of a body with a declared length.
    HalfBody,
    /// The connection is closed in the middle of a chunked body.
    HalfChunks,
    /// The response does not declare where it ends.
    NoLength,
    /// The response has the id of another request.
    OtherId,
    /// The target reports that it did not run the request.
    Refused,
    /// No failure: the response is complete.
    Complete,
}

const STEPS: [Step; 11] = [
    Step::Connect,
    Step::Accept,
    Step::Read,
    Step::Silence,
    Step::HalfHead,
    Step::HalfBody,
    Step::HalfChunks,
    Step::NoLength,
    Step::OtherId,
    Step::Refused,
    Step::Complete,
];

/// A target that answers `successes` requests and then fails at a step.
struct ScriptedTarget {
    address: SocketAddr,
    /// Number of requests read since then, refused ones excluded.
    runs: Arc<AtomicUsize>,
}

impl ScriptedTarget {
    async fn start(step: Step, successes: usize) -> ScriptedTarget {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let runs = Arc::new(AtomicUsize::new(0));
        if step == Step::Connect {
            return ScriptedTarget { address, runs }; // dropping the listener closes it
        }
        let (counter, seen) = (runs.clone(), Arc::new(AtomicUsize::new(0)));
        task::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let (counter, seen) = (counter.clone(), seen.clone());
                task::spawn(serve(stream, step, successes, seen, counter));
            }
        });
        ScriptedTarget { address, runs }
    }
}

async fn serve(
    mut stream: TcpStream,
    step: Step,
    successes: usize,
    seen: Arc<AtomicUsize>,
    runs: Arc<AtomicUsize>,
) {
    loop {
        let fails = seen.load(Ordering::Acquire) >= successes;
        if fails && step == Step::Accept {
            return;
        }
        let Some(id) = read_request(&mut stream).await else { return };
        let succeeds = seen.fetch_add(1, Ordering::AcqRel) < successes;
        let step = if succeeds { Step::Complete } else { step };
        if step != Step::Refused && !succeeds {
            runs.fetch_add(1, Ordering::AcqRel);
        }
        let head = |length: usize| {
            format!("HTTP/1.1 200 OK\r\nrequest-id: {id}\r\ncontent-length: {length}\r\n\r\n")
        };
        let answer = match step {
            Step::Connect | Step::Accept | Step::Read => return,
            Step::Silence => futures::future::pending().await,
            Step::HalfHead => "HTTP/1.1 200 OK\r\ncontent-le".to_string(),
            Step::HalfBody => head(10) + "whole",
            Step::HalfChunks => {
                "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\na\r\nwhole".to_string()
            }
            Step::NoLength => "HTTP/1.1 200 OK\r\n\r\nwhole".to_string(),
            Step::OtherId => {
                "HTTP/1.1 200 OK\r\nrequest-id: other\r\ncontent-length: 5\r\n\r\nwhole".to_string()
            }
            Step::Refused => "HTTP/1.1 503 Busy\r\nrequest-outcome: not-run\r\n\
                              content-length: 0\r\n\r\n"
                .to_string(),
            Step::Complete => head(5) + "whole",
        };
        stream.write_all(answer.as_bytes()).await.unwrap();
        if !matches!(step, Step::Complete | Step::Refused | Step::OtherId) {
            return;
        }
    }
}

/// Reads one request and returns its id; none if the connection ends first.
async fn read_request(stream: &mut TcpStream) -> Option<String> {
    let mut bytes = Vec::new();
    let mut buffer = [0; 1024];
    loop {
        let text = String::from_utf8_lossy(&bytes).to_lowercase();
        if let Some((head, body)) = text.split_once("\r\n\r\n")
            && body.len() == "box".len()
        {
            let line = head.lines().find(|line| line.starts_with("request-id: "))?;
            return Some(line["request-id: ".len()..].to_string());
        }
        let count = stream.read(&mut buffer).await.ok().filter(|count| *count > 0)?;
        bytes.extend(&buffer[..count]);
    }
}

fn forwarder(addresses: &[SocketAddr]) -> Forwarder {
    let target = |(number, address): (usize, &SocketAddr)| Target {
        instance: format!("w{number}"),
        incarnation: 1,
        address: *address,
        rack: "r".to_string(),
        in_flight: Arc::default(),
        health: Arc::new(Health::new(8)),
    };
    let targets: Vec<Target> = addresses.iter().enumerate().map(target).collect();
    let pool = Pool { spare: false, instance_count: targets.len() as u32, targets };
    let table =
        Table { ready: true, pools: [("gate".to_string(), pool)].into(), ..Table::default() };
    let clock: Arc<dyn Clock> = Arc::new(System::new());
    let table = Arc::new(ArcSwap::from_pointee(table));
    let gate = Arc::new(Gate::new(clock.clone(), table.clone()));
    gate.reload_table();
    let forwarder = Forwarder::new(clock, "a".to_string(), 1, 1 << 20, gate);
    forwarder.retain(&table.load());
    forwarder
}

async fn send(forwarder: &Forwarder, repeatable: bool) -> Outcome {
    let call = Call {
        pool: "gate".to_string(),
        method: "POST".to_string(),
        path: "work".to_string(),
        headers: Vec::new(),
        body: b"box".to_vec(),
    };
    let options = Options {
        deadline: forwarder.now() + DEADLINE,
        repeatable,
        class: Class::Interactive,
        team: String::new(),
    };
    forwarder.call(&call, &options).await
}

/// Checks the outcome and the number of runs when the only target fails at a step.
fn check(step: Step, repeatable: bool, outcome: &Outcome, runs: usize) {
    let case = format!("{step:?}, repeatable {repeatable}: {outcome:?}, {runs} runs");
    match outcome {
        Outcome::Answered(response) => {
            assert_eq!(step, Step::Complete, "{case}");
            assert_eq!(response.body, b"whole", "{case}");
        }
        Outcome::NotRun(_) => assert_eq!(runs, 0, "{case}"),
        Outcome::Unknown(_) => {
            assert!(!matches!(step, Step::Connect | Step::Refused | Step::Complete), "{case}");
        }
    }
    if !repeatable {
        assert!(runs <= 1, "{case}");
    }
}

#[test]
fn a_target_fails_at_every_step() {
    block_on(async {
        for step in STEPS {
            for repeatable in [true, false] {
                for successes in [0, 1] {
                    let scripted = ScriptedTarget::start(step, successes).await;
                    let forwarder = forwarder(&[scripted.address]);
                    for _ in 0..successes {
                        let first = send(&forwarder, true).await;
                        let refused = step == Step::Connect;
                        assert_eq!(matches!(first, Outcome::Answered(_)), !refused, "{first:?}");
                    }
                    let outcome = send(&forwarder, repeatable).await;
                    check(step, repeatable, &outcome, scripted.runs.load(Ordering::Acquire));
                }
            }
        }
    });
}

#[test]
fn a_good_target_takes_over_when_that_is_safe() {
    block_on(async {
        for step in STEPS {
            for repeatable in [true, false] {
                let bad = ScriptedTarget::start(step, 0).await;
                let good = ScriptedTarget::start(Step::Complete, 0).await;
                let forwarder = forwarder(&[bad.address, good.address]);
                let outcome = send(&forwarder, repeatable).await;
                let bad_runs = bad.runs.load(Ordering::Acquire);
                let runs = bad_runs + good.runs.load(Ordering::Acquire);
                let safe = repeatable || matches!(step, Step::Connect | Step::Refused);
                let case = format!("{step:?}, repeatable {repeatable}: {outcome:?}, {runs} runs");
                if safe {
                    assert!(matches!(outcome, Outcome::Answered(_)), "{case}");
                }
                if !repeatable {
                    assert!(runs <= 1, "{case}");
                    if bad_runs == 1 && step != Step::Complete {
                        assert!(matches!(outcome, Outcome::Unknown(_)), "{case}");
                    }
                }
            }
        }
    });
}

#[test]
fn retries_stop_when_the_budget_is_used_up() {
    block_on(async {
        let bad = [
            ScriptedTarget::start(Step::Read, 0).await,
            ScriptedTarget::start(Step::Read, 0).await,
        ];
        let forwarder = forwarder(&[bad[0].address, bad[1].address]);
        let requests = 60;
        for _ in 0..requests {
            let outcome = send(&forwarder, true).await;
            assert!(matches!(outcome, Outcome::Unknown(_)), "{outcome:?}");
        }
        let sent: usize = bad.iter().map(|target| target.runs.load(Ordering::Acquire)).sum();
        // The full budget allows ten retries, and each ten requests allow one more.
        assert!(sent <= requests + 10 + requests / 10, "{sent} sent for {requests} requests");
        assert!(sent > requests, "no retry was made");
    });
}

#[test]
fn an_answer_that_is_too_large_is_not_passed_on() {
    block_on(async {
        let scripted = ScriptedTarget::start(Step::Complete, 0).await;
        let forwarder = forwarder(&[scripted.address]).with_max_answer(4);
        let outcome = send(&forwarder, true).await;
        let Outcome::Unknown(refusal) = outcome else { panic!("{outcome:?}") };
        assert_eq!(refusal.reason, Reason::Truncated);
    });
}
