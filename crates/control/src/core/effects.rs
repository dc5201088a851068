//! Processes the output of the consensus node: syncs the log, sends messages, applies
//! committed entries and compacts the log. Also handles disk failures.

use super::{Core, REOPEN_INTERVAL, STATUS_INTERVAL, TERM_STEP};
use crate::load::Action;
use jobs::{Command, Event, Incarnation, Job, Ledger};
use log::{error, info, warn};
use mesh::{Frame, ProcessInfo, Status};
use quorum::{Entry, Envelope, Id, Index, Message, Node, Output, Payload};
use serde::Serialize;
use std::time::Duration;
use store::Store;

/// Size of the log file above which it is compacted into a snapshot. During a compaction,
/// the disk has to hold the log, the snapshot and the next snapshot.
const MAX_LOG_BYTES: u64 = 12 << 20;

/// Lines at most that name the crashes for which a job was given up.
const MAX_LOGGED_CRASHES: usize = 8;

impl Core {
    /// Does one round of work, after each batch of inputs and on each tick: reopens a failed
    /// disk, ticks the node, manages the voters, runs the scheduler on the leader, flushes
    /// the node's output and compacts the log.
    pub fn advance(&mut self) {
        let time = self.time();
        if self.store.is_none() && !self.reopen_disk(time.monotonic) {
            return;
        }
        self.update_peers();
        self.end_vote_wait();
        self.node.tick(time.monotonic);
        self.manage_voters(time);
        self.flush();
        self.run_leadership(time);
        self.flush();
        self.send_and_expire(time);
        self.send_roster_to_leader();
        self.compact();
        self.update_status();
    }

    /// Processes the node's output until there is none: sync, then send, then apply. A
    /// leader's append requests go out before the sync.
    pub(super) fn flush(&mut self) {
        while let Some(mut output) = self.node.take_output() {
            if self.node.is_leader() {
                // Append requests go out before the sync, so that followers write in
                // parallel. This node's own copy counts only after the sync.
                let (append_requests, others) = output
                    .messages
                    .into_iter()
                    .partition(|envelope| matches!(envelope.message, Message::AppendRequest(_)));
                output.messages = others;
                self.send(append_requests);
            }
            if !self.persist(&mut output) {
                return;
            }
            self.node.output_persisted();
            if let Some(snapshot) = &output.install_snapshot {
                self.restore_ledger(&snapshot.data, snapshot.index);
            }
            self.send(output.messages);
            self.apply(output.committed_entries);
        }
        self.abandon_pending_proposals();
    }

    /// Sends messages in order. Equal ones in a row, as append requests to several followers
    /// are, go out as one frame, which is encoded once. A message to an incarnation that is not
    /// linked is dropped: its successor at the same address would answer it for itself.
    fn send(&self, envelopes: Vec<Envelope>) {
        let is_linked = |to: &Id| {
            let is_it =
                |peer: &ProcessInfo| peer.name == to.name && peer.incarnation == to.incarnation;
            self.peers.iter().any(is_it)
        };
        let mut envelopes =
            envelopes.into_iter().filter(|envelope| is_linked(&envelope.to)).peekable();
        while let Some(Envelope { to, message }) = envelopes.next() {
            let mut receivers = vec![to];
            while let Some(next) = envelopes.next_if(|next| next.message == message) {
                receivers.push(next.to);
            }
            let names: Vec<&str> = receivers.iter().map(|id| id.name.as_str()).collect();
            self.environment.send_all(&names, Frame::Quorum(message));
        }
    }

    /// Writes and syncs an output. Returns false after a failure: this process then
    /// neither sends nor answers anything that depends on the disk until it has reopened
    /// the disk and read it again.
    fn persist(&mut self, output: &mut Output) -> bool {
        let Some(store) = &mut self.store else { return false };
        // Not stored with each output, which saves a sync: after a restart the node learns
        // the commit index from the leader.
        output.commit_index = None;
        if !output.needs_sync() {
            return true;
        }
        let started_at = self.environment.now();
        let saved = store.save(output);
        self.disk_time += self.environment.now().saturating_sub(started_at);
        match saved {
            Ok(()) => true,
            Err(reason) => {
                self.on_disk_failure(&reason);
                false
            }
        }
    }

    /// Closes the store, gives up leadership and answers pending proposals as unknown.
    fn on_disk_failure(&mut self, reason: &store::Error) {
        error!("disk.lost reason={reason:?}");
        metrics::counter!("disk_failures_total").increment(1);
        self.store = None;
        self.disk_failed_at = Some(self.environment.now());
        self.end_leadership("the disk failed");
        for (_, pending) in std::mem::take(&mut self.pending_proposals) {
            self.reply(pending.reply, mesh::Reply::Unknown("the disk failed".to_string()));
        }
        self.update_status();
    }

    /// Reopens the disk after a failure and restores all state from it, as a restart
    /// would. Returns whether the disk works.
    fn reopen_disk(&mut self, now: Duration) -> bool {
        if self.disk_failed_at.is_some_and(|failed_at| now < failed_at + REOPEN_INTERVAL) {
            return false;
        }
        self.disk_failed_at = Some(now);
        let opened = (self.open_folder)().and_then(Store::open);
        let (store, recovered) = match opened {
            Ok(opened) => opened,
            Err(reason) => {
                warn!("disk.closed reason={reason:?}");
                return false;
            }
        };
        let snapshot = recovered.state.snapshot.data.clone();
        let base = recovered.state.snapshot.index;
        self.seed = self.seed.wrapping_add(1);
        let timing = self.timing.clone();
        self.node =
            Node::restore(self.process_info.id(), true, timing, self.seed, recovered.state, now);
        self.node.set_term_step(TERM_STEP);
        for peer in self.environment.peers().iter().filter(|peer| peer.durable) {
            self.node.connect(peer.id());
        }
        self.statuses.clear(); // they count from the restart of the node on
        self.store = Some(store);
        self.disk_failed_at = None;
        self.ledger = Ledger::new(self.retention);
        self.applied_index = 0;
        self.restore_ledger(&snapshot, base);
        info!("disk.regained last_index={}", self.node.last_index());
        true
    }

    /// Replaces the ledger by the one of a snapshot that covers the log up to `index`.
    pub(super) fn restore_ledger(&mut self, state: &[u8], index: Index) {
        if state.is_empty() {
            return;
        }
        match ciborium::from_reader::<Ledger, _>(state) {
            Ok(ledger) => {
                self.ledger = ledger;
                self.applied_index = index;
                info!("ledger.restored index={index} jobs={}", self.ledger.jobs().len());
            }
            // The checksum was correct, so another version wrote the snapshot.
            Err(reason) => panic!("the snapshot at index {index} cannot be decoded: {reason}"),
        }
    }

    /// Applies committed entries to the ledger, answers their requests and hands the
    /// resulting events to the scheduler.
    fn apply(&mut self, committed: Vec<Entry>) {
        let time = self.time();
        for entry in committed {
            self.applied_index = entry.index;
            let Payload::Data(data) = &entry.payload else { continue };
            let command: Command = match ciborium::from_reader(data.as_slice()) {
                Ok(command) => command,
                Err(reason) => {
                    panic!("the log entry at index {} cannot be decoded: {reason}", entry.index)
                }
            };
            let started_at = self.environment.now();
            let (outcome, events) = self.ledger.apply(command);
            if let Some(pending) = self.pending_proposals.remove(&entry.index) {
                self.complete_proposal(pending, entry.term, outcome);
            }
            for event in events {
                self.log_event(&event, entry.index);
                if let Some(leadership) = &mut self.leadership {
                    leadership.scheduler.on_event(time, &self.ledger, &event);
                }
            }
            self.record_action(Action::Apply, started_at);
        }
    }

    /// Logs the crashes for which a job was given up, those of one unit at least.
    fn log_fatal_crashes(&self, job: &Job) {
        if job.fatal_crashes.is_empty() {
            return;
        }
        metrics::counter!("jobs_given_up_total", "queue" => job.queue.clone()).increment(1);
        for crash in job.fatal_crashes.iter().take(MAX_LOGGED_CRASHES) {
            info!("job.given_up id={} queue={} reason={:?}", job.id, job.queue, crash.text);
        }
    }

    /// Logs and counts an event of the ledger. Only the leader does so, so that each
    /// event appears once in the cluster.
    fn log_event(&self, event: &Event, index: Index) {
        let Some(leadership) = &self.leadership else { return };
        match event {
            Event::Configured => {
                let version = self.ledger.config().map_or(0, |config| config.version);
                info!("config.in_force version={version} index={index}");
            }
            Event::Accepted(number) => {
                metrics::counter!("jobs_accepted_total").increment(1);
                if let Some(job) = self.ledger.job(*number) {
                    info!("job.accepted id={} queue={} index={index}", job.id, job.queue);
                }
            }
            Event::Finished(number, state) => {
                metrics::counter!("jobs_finished_total").increment(1);
                if let Some(job) = self.ledger.job(*number) {
                    let duration_ms =
                        job.finished_at.unwrap_or_default().saturating_sub(job.accepted_at);
                    metrics::histogram!("job_seconds").record(duration_ms as f64 / 1000.0);
                    info!(
                        "job.finished id={} state={state:?} took_ms={duration_ms} index={index}",
                        job.id
                    );
                    self.log_fatal_crashes(job);
                }
            }
            Event::Released(release) => {
                metrics::counter!("runs_ended_total").increment(1);
                if release.reason != Some(jobs::command::EndReason::Done) {
                    let name = self.ledger.unit_name(&release.unit).unwrap_or_default();
                    let Incarnation { worker, started_at } = &release.incarnation;
                    let (why, start_age) = leadership.scheduler.grounds(self.time(), release);
                    info!(
                        "run.over unit={name} run={} worker={worker} born={started_at} how={:?} \
                         why={why:?} unsettled_start={start_age:?} index={index}",
                        release.run, release.reason
                    );
                }
            }
            Event::Placed(..) => metrics::counter!("runs_placed_total").increment(1),
            Event::Wave(id) => info!("wave.accepted wave={id} index={index}"),
            Event::Maintenance(wave, instance, phase) => {
                info!("wave.machine wave={wave} machine={instance} upkeep={phase:?} index={index}");
            }
            Event::Move(instance, pool) => {
                info!("machine.move machine={instance} pool={pool} index={index}");
            }
            Event::Crashed(unit) => {
                let name = self.ledger.unit_name(unit).unwrap_or_default();
                let crash = self.ledger.unit(unit).and_then(|unit| unit.crashes.last());
                if let Some(crash) = crash {
                    info!(
                        "unit.crashed unit={name} run={} worker={} survived_ms={} alone={} index={index}",
                        crash.run,
                        crash.incarnation.worker,
                        crash.survived.as_millis(),
                        crash.is_alone
                    );
                }
            }
            Event::StepDone(_) | Event::EndsAcknowledged(..) => {}
        }
    }

    /// Replaces the log by a snapshot of the ledger once the log file is too large.
    fn compact(&mut self) {
        let Some(store) = &mut self.store else { return };
        if store.log_bytes() < MAX_LOG_BYTES || self.applied_index <= self.node.base_index() {
            return;
        }
        let started_at = self.environment.now();
        let Some(snapshot) = self.node.compact(encode(&self.ledger), self.applied_index) else {
            return;
        };
        let entries = self.node.entries_after(snapshot.index);
        info!("log.compacted index={} bytes={}", snapshot.index, snapshot.data.len());
        let compacted = store.compact(&snapshot, &entries);
        self.record_action(Action::Compact, started_at);
        if let Err(reason) = compacted {
            self.on_disk_failure(&reason);
        }
    }

    /// Sends this process's status to the other processes if it has changed, and again from time
    /// to time.
    pub(super) fn update_status(&mut self) {
        let mut core_addresses: std::collections::BTreeSet<_> = self
            .peers
            .iter()
            .filter(|peer| peer.control_address.is_some())
            .map(|peer| peer.peer_address)
            .collect();
        core_addresses.insert(self.process_info.peer_address);
        let disk_failed = self.store.is_none();
        let status = Status {
            term: self.node.term(),
            leader: self.node.leader().filter(|_| !disk_failed).cloned(),
            is_leader: self.leadership.is_some(),
            uninitialized: self.node.is_uninitialized(),
            stopping: self.stopping,
            configured: self.ledger.config().is_some(),
            core_addresses,
        };
        let now = self.environment.now();
        if status == self.status {
            if now >= self.status_sent_at + STATUS_INTERVAL {
                self.send_status(now);
            }
            return;
        }
        let leader_changed = (&status.leader, status.term, status.is_leader)
            != (&self.status.leader, self.status.term, self.status.is_leader);
        if leader_changed {
            let leader = status.leader.as_ref().map_or("none", |id| id.name.as_str());
            info!("leader.changed term={} leader={leader} own={}", status.term, status.is_leader);
        }
        self.status = status.clone();
        self.environment.publish_status(&status);
        self.send_status(now);
    }

    fn send_status(&mut self, now: Duration) {
        self.status_sent_at = now;
        let peers = self.environment.peers();
        let names: Vec<&str> = peers.iter().map(|peer| peer.name.as_str()).collect();
        self.environment.send_all(&names, Frame::Status(self.status.clone()));
    }
}

pub(super) fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(256);
    ciborium::into_writer(value, &mut bytes).expect("serializing to memory cannot fail");
    bytes
}
