//! The memory and the descriptors of a process that a crowd visits.

use crate::system::until;
use std::fs;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread::{self, JoinHandle};
use std::time::Duration;

/// Name of the program as the system shows it.
const PROGRAM: &str = "skylarkwinch";
/// Time between two counts of the descriptors.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(5);

/// Watches a process until it is dropped.
pub struct Watch {
    pid: u32,
    most_descriptors: Arc<AtomicUsize>,
    stopping: Arc<AtomicBool>,
    sampler: Option<JoinHandle<()>>,
}

impl Watch {
    pub fn start(pid: u32) -> Watch {
        // Until a new process runs its program, it holds the descriptors of this one.
        until("the program runs", || {
            fs::read_to_string(format!("/proc/{pid}/comm"))
                .is_ok_and(|name| name.starts_with(PROGRAM))
        });
        let most_descriptors = Arc::new(AtomicUsize::new(0));
        let stopping = Arc::new(AtomicBool::new(false));
        let (most, stop) = (most_descriptors.clone(), stopping.clone());
        let sampler = thread::spawn(move || {
            while !stop.load(Ordering::Acquire) {
                most.fetch_max(open_descriptors(pid), Ordering::AcqRel);
                thread::sleep(SAMPLE_INTERVAL);
            }
        });
        Watch { pid, most_descriptors, stopping, sampler: Some(sampler) }
    }

    /// Returns the highest resident memory since the process started, in bytes; 0 if it has ended.
    pub fn peak_memory(&self) -> usize {
        let status = fs::read_to_string(format!("/proc/{}/status", self.pid)).unwrap_or_default();
        let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
        let kib = peak.and_then(|peak| peak.split_whitespace().next()?.parse::<usize>().ok());
        kib.unwrap_or(0) << 10
    }

    /// Returns the highest number of open descriptors that was seen.
    pub fn most_descriptors(&self) -> usize {
        self.most_descriptors.load(Ordering::Acquire)
    }
}

impl Drop for Watch {
    fn drop(&mut self) {
        self.stopping.store(true, Ordering::Release);
        self.sampler.take().into_iter().for_each(|sampler| sampler.join().unwrap());
    }
}

fn open_descriptors(pid: u32) -> usize {
    fs::read_dir(format!("/proc/{pid}/fd")).map_or(0, |descriptors| descriptors.count())
}
