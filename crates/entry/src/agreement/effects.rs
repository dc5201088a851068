//! Executes the output of the consensus node: syncs it to disk, sends its messages,
//! applies committed entries and publishes the resulting view.

use super::{Agreement, View, id_of};
use fleet::{Command, Fleet};
use log::{error, info};
use quorum::{Id, Output, Payload};
use store::Store;
use wire::Frame;
use wire::frame::{Answer, Status};

impl Agreement {
    /// Syncs, sends and applies until the node has no more output. After a disk
    /// failure nothing is sent or applied: a message could acknowledge what was not stored.
    pub(super) fn process_output(&mut self) {
        while let Some(output) = self.node.take_output() {
            if !self.save(&output) {
                break;
            }
            self.node.output_persisted();
            if let Some(snapshot) = &output.install_snapshot {
                self.restore(&snapshot.data);
            }
            for envelope in output.messages {
                self.environment.send(&envelope.to, Frame::Quorum(envelope.message));
            }
            self.apply(output.committed_entries);
        }
        self.fail_lost_proposals();
        self.compact();
        self.publish();
    }

    /// Writes an output to disk. Returns false if this or an earlier write failed; the
    /// output must then not be sent or applied.
    pub(super) fn save(&mut self, output: &Output) -> bool {
        let Some(store) = &mut self.store else { return true };
        if !output.needs_sync() {
            return !store.has_failed();
        }
        match store.save(output) {
            Ok(()) => true,
            Err(store::Error::Failed) => false,
            Err(error) => {
                error!("disk failed, this entry no longer takes part in agreement: {error}");
                self.disk_failure = Some(error.to_string());
                self.environment.count("disk_failures_total");
                false
            }
        }
    }

    /// Replaces the replicated state by the data of a snapshot. Empty data, as of a node
    /// without a snapshot, is ignored.
    pub(super) fn restore(&mut self, state: &[u8]) {
        if state.is_empty() {
            return;
        }
        match Fleet::read(state) {
            Ok(fleet) => *self.fleet.write().expect("no holder panics") = fleet,
            Err(error) => self.stop_applying(error.to_string()),
        }
        self.environment.state_changed();
    }

    /// Stops applying the log. The process keeps serving with its current state; skipping
    /// a log entry would make the state differ from that of the peers.
    pub(super) fn stop_applying(&mut self, reason: String) {
        error!("applying stopped, this entry keeps its current state: {reason}");
        self.apply_failure = Some(reason);
    }

    /// Applies committed entries and answers the proposals that wait for them.
    pub(super) fn apply(&mut self, committed: Vec<quorum::Entry>) {
        if committed.is_empty() {
            return;
        }
        let state = self.fleet.clone();
        let mut fleet = state.write().expect("no holder panics");
        let mut answers = Vec::new();
        for entry in committed {
            if self.apply_failure.is_some() {
                break;
            }
            let outcome = match apply_entry(&mut fleet, &entry) {
                Ok(outcome) => outcome,
                Err(reason) => {
                    self.stop_applying(reason);
                    break;
                }
            };
            if let Some(pending) = self.pending_proposals.remove(&entry.index) {
                answers.push((pending, entry.term, outcome));
            }
        }
        drop(fleet);
        for (pending, term, outcome) in answers {
            let answer = if pending.term == term {
                Answer::Applied(outcome)
            } else {
                Answer::NotTaken("another leader's entry took its place".to_string())
            };
            self.answer(pending.waiter, answer);
        }
        self.environment.state_changed();
    }

    /// Replaces the log by a snapshot once enough log entries were applied since the
    /// last snapshot.
    pub(super) fn compact(&mut self) {
        let fleet = self.fleet.read().expect("no holder panics");
        let applied = fleet.applied();
        if self.apply_failure.is_some() || applied < self.node.base_index() + self.compact_entries {
            return;
        }
        let data = fleet.write();
        drop(fleet);
        let Some(snapshot) = self.node.compact(data, applied) else { return };
        let Some(store) = &mut self.store else { return };
        let entries = self.node.entries_after(snapshot.index);
        if let Err(error) = store.compact(&snapshot, &entries) {
            error!("disk failed while writing a snapshot: {error}");
            self.disk_failure = Some(error.to_string());
        }
    }

    /// Publishes the view; logs a change of leader and tells the peers when the
    /// applied index has grown.
    pub(super) fn publish(&mut self) {
        let now = self.environment.now();
        let view = View {
            role: self.node.role(),
            term: self.node.term(),
            leader: self.node.leader().cloned(),
            commit_index: self.node.commit_index(),
            last_index: self.node.last_index(),
            base_index: self.node.base_index(),
            membership: self.node.membership().clone(),
            leader_silence: self.node.time_since_contact(now),
            uninitialized: self.node.is_uninitialized(),
            apply_failure: self.apply_failure.clone(),
            disk_failure: self.disk_failure.clone(),
            log_bytes: self.store.as_ref().map(Store::log_bytes),
        };
        self.environment.publish(view);
        if self.published_leader.as_ref() != self.node.leader() {
            self.published_leader = self.node.leader().cloned();
            let name = self.published_leader.as_ref().map_or("none", |leader| leader.name.as_str());
            info!("leader of term {} is {name}", self.node.term());
        }
        let applied = self.fleet.read().expect("no holder panics").applied();
        if applied > self.announced_index {
            self.announced_index = applied;
            self.environment.record_applied(&self.identity.name, applied);
            let status = self.status();
            for peer in self.environment.peers() {
                self.environment.send(&id_of(&peer), Frame::Status(status.clone()));
            }
        }
    }

    /// Returns the status that this entry sends to its peers.
    pub(super) fn status(&self) -> Status {
        Status {
            applied: self.fleet.read().expect("no holder panics").applied(),
            blank: self.node.is_uninitialized(),
            cluster: self.node.membership().cluster,
            founders: self.founders.clone(),
        }
    }
}

/// Applies one log entry. An error means that the state can't advance past it.
fn apply_entry(fleet: &mut Fleet, entry: &quorum::Entry) -> Result<Option<fleet::Outcome>, String> {
    match &entry.payload {
        Payload::Noop => {
            fleet.skip(entry.index);
            Ok(None)
        }
        Payload::Voters(membership) => {
            let voters = membership.voters.iter().map(Id::to_string).collect();
            fleet.note_voters(entry.index, voters);
            Ok(None)
        }
        Payload::Data(data) => {
            let command: Command = ciborium::from_reader(data.as_slice())
                .map_err(|error| format!("cannot read index {}: {error}", entry.index))?;
            fleet.apply(entry.index, &command).map_err(|error| error.to_string())
        }
    }
}
