//! What was sent, answered and run, in the order of time.

use std::fmt::Write as _;
use std::sync::Mutex;
use std::time::Instant;

/// How a run of a work unit began, ended, or had its end taken note of.
#[derive(Clone, Debug)]
pub enum What {
    Start,
    /// The end has this number and reason.
    End(u64, &'static str),
    /// `acked_through` has reached the end, and no lease lapsed between the two.
    Noted,
}

#[derive(Clone, Debug)]
pub struct Event {
    pub at_ms: u64,
    pub worker: String,
    pub task: String,
    pub run: u64,
    pub what: What,
}

pub struct Record {
    start: Instant,
    lines: Mutex<Vec<String>>,
    events: Mutex<Vec<Event>>,
}

impl Record {
    pub fn new() -> Record {
        Record { start: Instant::now(), lines: Mutex::default(), events: Mutex::default() }
    }

    pub fn now_ms(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let line = format!("{:>7} {}", self.now_ms(), text.as_ref());
        self.lines.lock().unwrap().push(line);
    }

    pub fn event(&self, worker: &str, task: &str, run: u64, what: What) {
        self.line(match &what {
            What::Start => format!("run {task} {run} started on {worker}"),
            What::End(number, how) => {
                format!("run {task} {run} ended {how} on {worker}, end {number}")
            }
            What::Noted => format!("run {task} {run} on {worker}: the end is taken note of"),
        });
        let (worker, task) = (worker.to_string(), task.to_string());
        self.events.lock().unwrap().push(Event { at_ms: self.now_ms(), worker, task, run, what });
    }

    pub fn events(&self) -> Vec<Event> {
        self.events.lock().unwrap().clone()
    }

    pub fn text(&self) -> String {
        let mut text = String::new();
        for line in self.lines.lock().unwrap().iter() {
            let _ = writeln!(text, "{line}");
        }
        text
    }
}
