//! The record of a case: what was sent, answered and run, each line with its time.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// A run of a work unit, and when it began and ended.
#[derive(Clone, Debug)]
pub struct Span {
    pub task: String,
    pub run: u64,
    pub worker: String,
    pub from: Duration,
    pub to: Option<Duration>,
}

#[derive(Clone)]
pub struct Record {
    pub start: Instant,
    file: Arc<Mutex<File>>,
    spans: Arc<Mutex<Vec<Span>>>,
}

impl Record {
    pub fn create(path: &Path) -> Record {
        let file = File::create(path).expect("record.txt can be written");
        Record { start: Instant::now(), file: Arc::new(Mutex::new(file)), spans: Arc::default() }
    }

    pub fn now(&self) -> Duration {
        self.start.elapsed()
    }

    pub fn begin_span(&self, task: &str, run: u64, worker: &str) {
        let (task, worker) = (task.to_string(), worker.to_string());
        let span = Span { task, run, worker, from: self.now(), to: None };
        self.spans.lock().unwrap().push(span);
    }

    pub fn end_span(&self, task: &str, run: u64, worker: &str, at: Duration) {
        let mut spans = self.spans.lock().unwrap();
        let is_it = |span: &&mut Span| {
            span.task == task && span.run == run && span.worker == worker && span.to.is_none()
        };
        if let Some(span) = spans.iter_mut().find(is_it) {
            span.to = Some(at);
        }
    }

    /// Runs of a work unit, in the order of their starts.
    pub fn spans_of(&self, task: &str) -> Vec<Span> {
        let spans = self.spans.lock().unwrap();
        spans.iter().filter(|span| span.task == task).cloned().collect()
    }

    pub fn line(&self, text: &str) {
        let line = format!("{:9.3} {text}\n", self.now().as_secs_f64());
        let _ = self.file.lock().unwrap().write_all(line.as_bytes());
    }

    /// Writes a line to the record and to standard output.
    pub fn say(&self, text: &str) {
        println!("{:9.3} {text}", self.now().as_secs_f64());
        self.line(text);
    }
}
