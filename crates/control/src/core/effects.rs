//! Carrying out what the node decides: sync, send, apply, compact.

use super::{Core, REOPEN_AFTER};
use jobs::{Command, Event, Ledger};
use log::{error, info, warn};
use mesh::{Frame, Status};
use quorum::{Entry, Index, Message, Node, Output, Payload};
use serde::Serialize;
use std::time::Duration;
use store::Store;

/// Size of the log file beyond which a snapshot takes its place. The disk holds
/// log, snapshot and the next snapshot at one time.
const COMPACT_BYTES: u64 = 12 << 20;

impl Core {
    /// Syncs, sends and applies until nothing is left to do.
    pub fn advance(&mut self) {
        let time = self.time();
        if self.store.is_none() && !self.reopen(time.monotonic) {
            return;
        }
        self.node.tick(time.monotonic);
        self.keep_voters(time);
        self.flush();
        self.run_leadership(time);
        self.flush();
        self.sweep(time);
        self.tell_leader();
        self.compact();
        self.update_status();
    }

    /// Carries out the node's output.
    pub(super) fn flush(&mut self) {
        while let Some(mut output) = self.node.take_output() {
            if self.node.is_leader() {
                // Followers may write while this disk does; only what this node
                // itself holds counts after the sync.
                let (early, late) = output
                    .messages
                    .into_iter()
                    .partition(|envelope| matches!(envelope.message, Message::AppendRequest(_)));
                output.messages = late;
                self.send(early);
            }
            if !self.save(&mut output) {
                return;
            }
            self.node.output_persisted();
            if let Some(snapshot) = &output.install_snapshot {
                self.restore(&snapshot.data, snapshot.index);
            }
            self.send(output.messages);
            self.apply(output.committed_entries);
        }
        self.give_up_waiters();
    }

    fn send(&self, envelopes: Vec<quorum::message::Envelope>) {
        for envelope in envelopes {
            self.environment.send(&envelope.to.name, Frame::Quorum(envelope.message));
        }
    }

    /// Makes an output durable. After a failure nothing that rests on the disk
    /// is said any more, until the disk has been read anew.
    fn save(&mut self, output: &mut Output) -> bool {
        let Some(store) = &mut self.store else { return false };
        // Which entries are committed is learnt again from the leader.
        output.commit_index = None;
        if !output.needs_sync() {
            return true;
        }
        match store.save(output) {
            Ok(()) => true,
            Err(reason) => {
                self.lose_disk(&reason);
                false
            }
        }
    }

    fn lose_disk(&mut self, reason: &store::Error) {
        error!("disk.lost reason={reason:?}");
        metrics::counter!("disk_failures_total").increment(1);
        self.store = None;
        self.broken_since = Some(self.environment.now());
        self.end_leadership("the disk failed");
        for (_, waiter) in std::mem::take(&mut self.waiters) {
            self.reply(waiter.reply, mesh::Reply::Unknown("the disk failed".to_string()));
        }
        self.update_status();
    }

    /// Reads the disk anew, as a restart would. Tells whether it works.
    fn reopen(&mut self, now: Duration) -> bool {
        if self.broken_since.is_some_and(|since| now < since + REOPEN_AFTER) {
            return false;
        }
        self.broken_since = Some(now);
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
        self.node = Node::restore(self.hello.id(), true, timing, self.seed, recovered.state);
        self.node.tick(now);
        for peer in self.environment.peers().iter().filter(|peer| peer.durable) {
            self.node.connect(peer.id());
        }
        self.store = Some(store);
        self.broken_since = None;
        self.ledger = Ledger::new(self.retention);
        self.applied = 0;
        self.restore(&snapshot, base);
        info!("disk.regained last_index={}", self.node.last_index());
        true
    }

    pub(super) fn restore(&mut self, state: &[u8], index: Index) {
        if state.is_empty() {
            return;
        }
        match ciborium::from_reader::<Ledger, _>(state) {
            Ok(ledger) => {
                self.ledger = ledger;
                self.applied = index;
                info!("ledger.restored index={index} jobs={}", self.ledger.jobs().len());
            }
            // A snapshot that passed its checksum was written by another version.
            Err(reason) => panic!("the snapshot at index {index} cannot be read: {reason}"),
        }
    }

    fn apply(&mut self, committed: Vec<Entry>) {
        let time = self.time();
        for entry in committed {
            self.applied = entry.index;
            let Payload::Data(data) = &entry.payload else { continue };
            let command: Command = match ciborium::from_reader(data.as_slice()) {
                Ok(command) => command,
                Err(reason) => panic!("index {} cannot be read: {reason}", entry.index),
            };
            let (outcome, events) = self.ledger.apply(command);
            if let Some(waiter) = self.waiters.remove(&entry.index) {
                self.in_force(waiter, entry.term, outcome);
            }
            for event in events {
                self.log_event(&event, entry.index);
                if let Some(leadership) = &mut self.leadership {
                    leadership.scheduler.on_event(time, &self.ledger, &event);
                }
            }
        }
    }

    /// One line for each change that concerns a request, at the process that
    /// leads; the others only count.
    fn log_event(&self, event: &Event, index: Index) {
        if self.leadership.is_none() {
            return;
        }
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
                    let took = job.finished_at.unwrap_or_default().saturating_sub(job.accepted_at);
                    metrics::histogram!("job_seconds").record(took as f64 / 1000.0);
                    info!(
                        "job.finished id={} state={state:?} took_ms={took} index={index}",
                        job.id
                    );
                }
            }
            Event::Released(freed) => {
                metrics::counter!("runs_ended_total").increment(1);
                if freed.reason != Some(jobs::command::EndReason::Done) {
                    let name = self.ledger.unit_name(&freed.unit).unwrap_or_default();
                    info!(
                        "run.over unit={name} run={} worker={} how={:?} index={index}",
                        freed.run, freed.incarnation.worker, freed.reason
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
            Event::StepDone(_) | Event::EndsAcknowledged(..) => {}
        }
    }

    fn compact(&mut self) {
        let Some(store) = &mut self.store else { return };
        if store.log_bytes() < COMPACT_BYTES || self.applied <= self.node.base_index() {
            return;
        }
        let Some(snapshot) = self.node.compact(encode(&self.ledger), self.applied) else { return };
        let entries = self.node.entries_after(snapshot.index);
        info!("log.compacted index={} bytes={}", snapshot.index, snapshot.data.len());
        if let Err(reason) = store.compact(&snapshot, &entries) {
            self.lose_disk(&reason);
        }
    }

    /// Tells the other processes where this one stands, when that has changed.
    pub(super) fn update_status(&mut self) {
        let mut core_addresses: std::collections::BTreeSet<_> = self
            .environment
            .peers()
            .into_iter()
            .filter(|peer| peer.control_address.is_some())
            .map(|peer| peer.peer_address)
            .collect();
        core_addresses.insert(self.hello.peer_address);
        let broken = self.store.is_none();
        let status = Status {
            term: self.node.term(),
            leader: self.node.leader().filter(|_| !broken).cloned(),
            is_leader: self.leadership.is_some(),
            uninitialized: self.node.is_uninitialized(),
            configured: self.ledger.config().is_some(),
            core_addresses,
        };
        if status == self.status {
            return;
        }
        let changed = (&status.leader, status.term, status.is_leader)
            != (&self.status.leader, self.status.term, self.status.is_leader);
        if changed {
            let leader = status.leader.as_ref().map_or("none", |id| id.name.as_str());
            info!("leader.changed term={} leader={leader} own={}", status.term, status.is_leader);
        }
        self.status = status.clone();
        self.environment.publish_status(&status);
        for peer in self.environment.peers() {
            self.environment.send(&peer.name, Frame::Status(status.clone()));
        }
    }
}

pub(super) fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(256);
    ciborium::into_writer(value, &mut bytes).expect("values serialise to memory");
    bytes
}
