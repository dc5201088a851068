//! Cost that an entry adds to a request, compared with calling the target directly.
//!
//! Prints throughput and latency of both, measured in alternating rounds, and the ratio of
//! the medians.

#[allow(dead_code)]
#[path = "../tests/workdir.rs"]
mod workdir;

use async_std::task;
use hdrhistogram::Histogram;
use standin::client::{Call, Connection};
use std::time::{Duration, Instant};
use workdir::{RECORDS, Workdir};

const CONCURRENCIES: [usize; 4] = [1, 4, 16, 64];
const ROUNDS: usize = 3;
const ROUND_TIME: Duration = Duration::from_secs(2);
const TIMEOUT: Duration = Duration::from_secs(10);
const WORK_TIME: Duration = Duration::from_millis(2);

/// Results of one round; latency in microseconds.
struct Round {
    latency: Histogram<u64>,
    failed: u64,
    elapsed: Duration,
}

fn main() {
    let workdir = Workdir::running();
    let records = RECORDS.replace("slots: 8", "slots: 512").replace("64}", "512}");
    workdir.write("records.yaml", &records);
    workdir.succeed("a1", &["record", "submit", "records.yaml", "--wait", "30"]);
    let target = workdir.target("n1", "a1", WORK_TIME);
    workdir.wait_for_targets(&["a1", "a2"], "gate", 1);
    let direct = Call::new(target.address(), "/assign").post("box");
    let through = workdir.call("a1", "/pools/gate/assign", "box");

    println!("target works {WORK_TIME:?}; latency in microseconds, median of {ROUNDS} rounds");
    println!("{:>4} {:>8} {:>9} {:>9} {:>9} {:>7}", "conc", "way", "req/s", "p50", "p99", "failed");
    for concurrency in CONCURRENCIES {
        let mut rows = [Vec::new(), Vec::new()];
        for _ in 0..ROUNDS {
            rows[0].push(task::block_on(round(&direct, concurrency)));
            rows[1].push(task::block_on(round(&through, concurrency)));
        }
        let p50 = ["direct", "through"].map(|way| {
            let rounds = if way == "direct" { &rows[0] } else { &rows[1] };
            print_rows(concurrency, way, rounds)
        });
        println!("{concurrency:>4}    ratio of medians {:.2}", p50[1] / p50[0]);
    }
    task::block_on(target.stop());
}

/// Prints the medians of some rounds and returns the median latency.
fn print_rows(concurrency: usize, way: &str, rounds: &[Round]) -> f64 {
    let middle = |value: &dyn Fn(&Round) -> f64| {
        let mut values: Vec<f64> = rounds.iter().map(value).collect();
        values.sort_by(f64::total_cmp);
        values[values.len() / 2]
    };
    let rate = middle(&|round| round.latency.len() as f64 / round.elapsed.as_secs_f64());
    let p50 = middle(&|round| round.latency.value_at_quantile(0.5) as f64);
    let p99 = middle(&|round| round.latency.value_at_quantile(0.99) as f64);
    let failed: u64 = rounds.iter().map(|round| round.failed).sum();
    println!("{concurrency:>4} {way:>8} {rate:>9.0} {p50:>9.0} {p99:>9.0} {failed:>7}");
    p50
}

/// Sends requests from concurrent callers for `ROUND_TIME`.
async fn round(call: &Call, concurrency: usize) -> Round {
    let start = Instant::now();
    let tasks: Vec<_> =
        (0..concurrency).map(|_| task::spawn(caller(call.clone(), start))).collect();
    let mut latency = Histogram::new(3).expect("three digits are valid");
    let mut failed = 0;
    for task in tasks {
        let (part, lost) = task.await;
        latency.add(part).expect("the same bounds");
        failed += lost;
    }
    Round { latency, failed, elapsed: start.elapsed() }
}

async fn caller(call: Call, start: Instant) -> (Histogram<u64>, u64) {
    let mut latency = Histogram::new(3).expect("three digits are valid");
    let mut failed = 0;
    let connection = Connection::open(call.address, TIMEOUT).await.expect("the server listens");
    while start.elapsed() < ROUND_TIME {
        let sent = Instant::now();
        match connection.send(call.clone()).await {
            Ok(answer) if answer.status == 200 => {
                latency.record(sent.elapsed().as_micros() as u64).expect("no bound is set");
            }
            _ => failed += 1,
        }
    }
    (latency, failed)
}
