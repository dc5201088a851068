//! Follower: receives entries and snapshots from a leader. Also holds the helpers that
//! fill the node's output.

use super::Node;
use crate::log::{Entry, Snapshot};
use crate::message::{AppendRequest, AppendResponse, Envelope, InstallSnapshot, Message};
use crate::{Id, Index, Term};
use std::time::Duration;

impl Node {
    /// Appends the leader's entries if they follow on this log, and answers.
    pub(super) fn on_append_request(&mut self, from: &Id, append: AppendRequest) {
        if append.term < self.hard_state.term {
            self.send_append_response(from, false, 0, append.sent_at);
            return;
        }
        self.follow_leader(from, append.term);
        let matches = append.prev_index <= self.log.base_index()
            || self.log.term_at(append.prev_index) == Some(append.prev_term);
        if !matches {
            let hint = self.match_hint(append.prev_index);
            self.send_append_response(from, false, hint, append.sent_at);
            return;
        }
        let last = append.prev_index + append.entries.len() as Index;
        for entry in append.entries {
            self.append_entry(entry);
        }
        self.commit_index = self.commit_index.max(append.commit_index.min(last));
        self.send_append_response(from, true, last, append.sent_at);
    }

    /// Last index up to which this log may agree with the leader's, given that it differs
    /// at `index`. Skips the whole term that this log has there, so that the leader needs
    /// one request per term instead of one per entry.
    fn match_hint(&self, index: Index) -> Index {
        let Some(term) = self.log.term_at(index) else {
            return self.log.last_index().min(index - 1);
        };
        let mut hint = index - 1;
        while hint > self.log.base_index() && self.log.term_at(hint) == Some(term) {
            hint -= 1;
        }
        hint
    }

    /// Appends one entry of the leader, replacing what follows from another leader.
    pub(super) fn append_entry(&mut self, entry: Entry) {
        if entry.index <= self.log.base_index() {
            return;
        }
        match self.log.term_at(entry.index) {
            Some(term) if term == entry.term => return,
            Some(_) => self.truncate_log(entry.index),
            None => {}
        }
        self.log.push(entry.clone());
        self.output.append.push(entry);
    }

    /// Removes entries from an index on, which the current leader's log doesn't have.
    pub(super) fn truncate_log(&mut self, from: Index) {
        assert!(from > self.commit_index, "cannot remove the committed entry at index {from}");
        self.log.truncate(from);
        self.persisted_index = self.persisted_index.min(from - 1);
        self.output.append.retain(|entry| entry.index < from);
        let earlier = self.output.truncate.unwrap_or(from);
        self.output.truncate = Some(earlier.min(from));
    }

    /// Installs the leader's snapshot unless this log already covers it, and answers.
    pub(super) fn on_install_snapshot(&mut self, from: &Id, install_snapshot: InstallSnapshot) {
        if install_snapshot.term < self.hard_state.term {
            self.send_append_response(from, false, 0, install_snapshot.sent_at);
            return;
        }
        self.follow_leader(from, install_snapshot.term);
        let index = install_snapshot.snapshot.index;
        if self.log.term_at(index) == Some(install_snapshot.snapshot.term) {
            self.commit_index = self.commit_index.max(index); // keep the entries after it, which were acknowledged
        } else if index > self.commit_index {
            self.replace_state(install_snapshot.snapshot);
        }
        self.send_append_response(from, true, index, install_snapshot.sent_at);
    }

    /// Replaces the log by a snapshot and drops output that it supersedes.
    pub(super) fn replace_state(&mut self, snapshot: Snapshot) {
        self.log.reset(&snapshot);
        self.commit_index = snapshot.index;
        self.delivered_index = snapshot.index;
        self.written_commit_index = snapshot.index;
        self.snapshot = snapshot.clone();
        self.output.append.clear();
        self.output.truncate = None;
        self.output.committed_entries.clear();
        self.output.commit_index = None;
        self.output.install_snapshot = Some(snapshot);
    }

    /// Follows the sender of a leader's message and records the contact.
    pub(super) fn follow_leader(&mut self, leader: &Id, term: Term) {
        self.become_follower(term, Some(leader.clone()));
        self.leader_contact_at = Some(self.now);
    }

    pub(super) fn send_append_response(
        &mut self,
        to: &Id,
        accepted: bool,
        match_index: Index,
        sent_at: Duration,
    ) {
        let append_response =
            AppendResponse { term: self.hard_state.term, accepted, match_index, sent_at };
        self.send(to, Message::AppendResponse(append_response));
    }

    /// Adds a message to the output.
    pub(super) fn send(&mut self, to: &Id, message: Message) {
        self.output.messages.push(Envelope { to: to.clone(), message });
    }

    /// Adds the commit index and newly committed entries to the output.
    pub(super) fn deliver_committed(&mut self) {
        let last = self.commit_index.min(self.log.last_index());
        if last > self.written_commit_index {
            self.written_commit_index = last;
            self.output.commit_index = Some(last);
        }
        while self.delivered_index < last {
            self.delivered_index += 1;
            if let Some(entry) = self.log.get(self.delivered_index) {
                self.output.committed_entries.push(entry.clone());
            }
        }
    }
}
