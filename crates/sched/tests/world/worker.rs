//! A scripted worker.

use super::{LISTED_ENDS, STANDBY};
use jobs::RunNumber;
use jobs::command::EndReason;
use sched::Report;
use sched::instance::{self, Instance};
use sched::order::{Destination, Finished, Poll, RunLists, RunStatus, Stop};
use std::collections::BTreeMap;
use std::time::Duration;

/// What is left of the instance of a worker that is gone for good.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Gone {
    /// Nothing: the cloud does not list it.
    Instance,
    /// The instance, on which the cloud names no worker.
    Process,
}

/// A scripted worker with configurable faults.
#[derive(Clone, Debug)]
pub struct Worker {
    pub report: Report,
    /// The worker answers nothing and runs nothing.
    pub is_down: bool,
    /// Another worker is at the address.
    pub is_succeeded: bool,
    /// The worker is gone for good, and no other one has come.
    pub gone: Option<Gone>,
    /// The worker keeps running but can't be reached.
    pub partitioned: bool,
    /// Start orders get no answer.
    pub loses_start_answers: bool,
    /// Whether start orders without an answer are carried out.
    pub executes_lost_starts: bool,
    /// One start order in this many gets no answer and is carried out late.
    pub omits_one_start_in: Option<u32>,
    /// Start orders so far.
    pub start_orders: u32,
    /// One poll in this many gets no answer and is carried out late.
    pub omits_one_poll_in: Option<u32>,
    /// Polls so far.
    pub polls: u32,
    /// One stop order in this many gets no answer and is carried out late.
    pub omits_one_stop_in: Option<u32>,
    /// Stop orders so far.
    pub stop_orders: u32,
    /// Stop orders get no answer.
    pub loses_stop_answers: bool,
    /// Stop orders are not carried out.
    pub ignores_stops: bool,
    /// Every run fails right after its start.
    pub fails_runs: bool,
    /// Polls get no answer while this is set.
    pub polls_hang: bool,
    /// Acknowledged ends are listed again, as while the log commits nothing.
    pub keeps_acknowledged_ends: bool,
    /// Runs make no progress and don't end.
    pub is_stuck: bool,
    /// Factor by which runs take longer here.
    pub slowdown: f64,
    /// Highest fence that the worker has seen.
    pub fence: u64,
    /// Time of the simulation at which the worker's own clock shows zero.
    pub clock_origin: Duration,
    /// End of the lease in the time of the simulation; runs lapse after it.
    pub lease_expiry: Duration,
    /// Present runs by unit name and run number, with the time of their start.
    pub runs: BTreeMap<(String, RunNumber), Duration>,
    /// Ends that the leader has not acknowledged.
    pub finished: Vec<Finished>,
    pub end_count: u64,
    /// Highest run of each unit that was stopped or has ended; runs up to it are not started.
    pub stopped_runs: BTreeMap<String, RunNumber>,
    /// Processor share in percent of each paced run.
    pub paces: BTreeMap<(String, RunNumber), u32>,
    /// Runs that are being stopped, and when they end.
    pub stopping: BTreeMap<(String, RunNumber), Duration>,
    /// Open poll and when it arrived.
    pub poll: Option<(Destination, Poll, Duration)>,
}

impl Worker {
    /// Creates an incarnation that starts now.
    pub fn new(report: Report, now: Duration) -> Worker {
        Worker {
            report,
            is_down: false,
            is_succeeded: false,
            gone: None,
            partitioned: false,
            loses_start_answers: false,
            executes_lost_starts: true,
            omits_one_start_in: None,
            start_orders: 0,
            omits_one_poll_in: None,
            polls: 0,
            omits_one_stop_in: None,
            stop_orders: 0,
            loses_stop_answers: false,
            ignores_stops: false,
            fails_runs: false,
            polls_hang: false,
            keeps_acknowledged_ends: false,
            is_stuck: false,
            slowdown: 1.0,
            fence: 0,
            clock_origin: now,
            lease_expiry: Duration::ZERO,
            runs: BTreeMap::new(),
            finished: Vec::new(),
            end_count: 0,
            stopped_runs: BTreeMap::new(),
            paces: BTreeMap::new(),
            stopping: BTreeMap::new(),
            poll: None,
        }
    }

    /// Carries out an order to stop a run, which ends at the given time.
    pub fn stop(&mut self, stop: Stop, ends_at: Duration) {
        self.fence = self.fence.max(stop.fence);
        let last_stopped = self.stopped_runs.entry(stop.name.clone()).or_default();
        *last_stopped = (*last_stopped).max(stop.run);
        self.stopping.entry((stop.name, stop.run)).or_insert(ends_at);
    }

    /// Ends the runs whose stops have taken their time.
    pub fn end_stops(&mut self, now: Duration) {
        let due: Vec<_> = self.stopping.extract_if(.., |_, at| *at <= now).collect();
        for ((name, run), _) in due {
            if self.runs.remove(&(name.clone(), run)).is_some() {
                self.end(name, run, EndReason::Stopped);
            }
        }
    }

    /// Carries out a poll: forgets the acknowledged ends, and extends the lease.
    pub fn apply_poll(&mut self, now: Duration, poll: &Poll, max_lease: Duration) {
        self.fence = self.fence.max(poll.fence);
        if !self.keeps_acknowledged_ends {
            self.finished.retain(|end| end.number > poll.acknowledged_through);
        }
        if let Some(lease_end_ms) = poll.lease_end_ms {
            self.extend_lease(now, lease_end_ms, max_lease);
        }
    }

    /// Returns the worker's clock in milliseconds.
    pub fn clock_ms(&self, now: Duration) -> u64 {
        now.saturating_sub(self.clock_origin).as_millis() as u64
    }

    /// Extends the lease to the given time of the worker's clock, at most by `max_lease` from
    /// now.
    pub fn extend_lease(&mut self, now: Duration, lease_end_ms: u64, max_lease: Duration) {
        let end = self.clock_origin + Duration::from_millis(lease_end_ms);
        self.lease_expiry = self.lease_expiry.max(end.min(now + max_lease));
    }

    /// Returns the instance as the cloud lists it, given when and in which pool it comes back if it
    /// is down.
    pub fn instance(&self, returning: Option<&(Duration, String)>) -> Instance {
        let (pool, state) = match returning {
            None => (&self.report.pool, instance::State::Up),
            Some((_, pool)) if *pool == self.report.pool => (pool, instance::State::Upkeep),
            Some((_, pool)) => (pool, instance::State::Moving),
        };
        Instance {
            id: self.report.instance.clone(),
            pool: pool.clone(),
            state,
            data_centre: self.report.data_centre.clone(),
            labels: self.report.labels.clone(),
            capacity: self.report.capacity,
            worker: (self.report.pool != STANDBY && self.gone.is_none())
                .then(|| self.report.incarnation.worker.clone()),
        }
    }

    pub fn end(&mut self, name: String, run: RunNumber, reason: EndReason) {
        let last = self.stopped_runs.entry(name.clone()).or_default();
        *last = (*last).max(run);
        self.end_count += 1;
        let checkpoint = String::new();
        self.finished.push(Finished { number: self.end_count, name, run, reason, checkpoint });
    }

    /// Tail latency of serving work in milliseconds: 20, plus 1 for each percent of
    /// processor share of the best-effort work on the worker.
    pub fn tail_latency_ms(&self) -> u64 {
        let best_effort = self.runs.keys().filter(|(name, _)| name.starts_with("background"));
        let share = |key: &(String, RunNumber)| self.paces.get(key).copied().unwrap_or(100);
        20 + best_effort.map(share).map(u64::from).sum::<u64>()
    }

    pub fn run_lists(&self, now: Duration, run_times: &BTreeMap<String, Duration>) -> RunLists {
        let row = |((name, run), started_at): (&(String, RunNumber), &Duration)| RunStatus {
            name: name.clone(),
            run: *run,
            checkpoint: String::new(),
            progress_percent: 100.min(match self.is_stuck {
                true => 1,
                false => {
                    let job = name.split('.').next().unwrap_or_default();
                    let duration =
                        run_times.get(job).copied().unwrap_or(Duration::from_millis(500));
                    let duration = duration.mul_f64(self.slowdown);
                    (now.saturating_sub(*started_at).as_secs_f64() / duration.as_secs_f64() * 100.0)
                        as u32
                }
            }),
            measurement: if name.starts_with("serving") { self.tail_latency_ms() } else { 0 },
        };
        RunLists {
            has_more_ends: self.finished.len() >= LISTED_ENDS,
            started_at: Some(self.report.incarnation.started_at),
            is_repeated: false,
            clock_ms: self.clock_ms(now),
            running: self.runs.iter().map(row).collect(),
            finished: self.finished.iter().take(LISTED_ENDS).cloned().collect(),
        }
    }
}
