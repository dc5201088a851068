//! Leader: lease, replication and commit index.

use super::{
    Error, INSTALL_RETRY_INTERVAL, MAX_APPEND_BYTES, MAX_ENTRIES_PER_APPEND, MAX_IN_FLIGHT_BYTES,
    Node, Result,
};
use crate::log::{Entry, Payload};
use crate::message::{AppendRequest, AppendResponse, InstallSnapshot, Message};
use crate::progress::{Mode, Progress};
use crate::{Id, Index};
use std::time::Duration;

impl Node {
    /// Fails unless this node leads and holds a lease.
    pub(super) fn check_leadership(&self) -> Result<()> {
        if !self.is_leader() {
            return Err(Error::NotLeader { leader: self.leader.clone() });
        }
        if !self.has_lease(self.now) {
            return Err(Error::NoLease);
        }
        Ok(())
    }

    /// Latest time at which a majority is known to have followed this leader: the newest
    /// `sent_at` that a majority has answered. The lease counts from it.
    pub(super) fn lease_base(&self) -> Option<Duration> {
        let membership = self.log.membership();
        let mut acked_times: Vec<Duration> = membership
            .voters
            .iter()
            .filter_map(|id| {
                if *id == self.id {
                    Some(self.now)
                } else {
                    self.progress_by_id.get(id)?.acked_sent_at
                }
            })
            .collect();
        acked_times.sort();
        acked_times.into_iter().rev().nth(membership.majority() - 1)
    }

    /// Steps down if no majority has answered within the election timeout; else sends the
    /// heartbeats that are due.
    pub(super) fn tick_leader(&mut self) {
        let base = self.lease_base().unwrap_or_default().max(self.leader_since);
        if self.now > base + self.timing.election_timeout {
            self.become_follower(self.hard_state.term, None);
            return;
        }
        let voters = &self.log.membership().voters;
        let due: Vec<Id> = self
            .progress_by_id
            .iter()
            .filter(|(id, progress)| {
                let interval = if voters.contains(*id) {
                    self.timing.heartbeat_interval
                } else {
                    self.timing.learner_heartbeat_interval
                };
                progress.last_sent_at.is_none_or(|sent_at| self.now >= sent_at + interval)
            })
            .map(|(id, _)| id.clone())
            .collect();
        for id in due {
            self.send_append(&id);
        }
    }

    /// Sends entries that are not sent yet, and the commit index if it is due.
    pub(super) fn send_unsent(&mut self) {
        let is_commit_due = self.commit_sent_index < self.commit_index
            && self.now >= self.commit_sent_at + self.timing.commit_interval;
        if self.has_unsent_entries || is_commit_due {
            self.send_to_all();
        }
    }

    /// Appends an entry of the current term and returns its index.
    pub(super) fn append_payload(&mut self, payload: Payload) -> Index {
        let index = self.log.last_index() + 1;
        let entry = Entry { index, term: self.hard_state.term, payload };
        self.log.push(entry.clone());
        self.output.append.push(entry);
        self.has_unsent_entries = true;
        index
    }

    /// Sends an append request to every voter and connected learner.
    pub(super) fn send_to_all(&mut self) {
        self.has_unsent_entries = false;
        self.commit_sent_index = self.commit_index;
        self.commit_sent_at = self.now;
        let next = self.log.last_index() + 1;
        for id in &self.log.membership().voters {
            if *id != self.id && !self.progress_by_id.contains_key(id) {
                self.progress_by_id.insert(id.clone(), Progress::new(next));
            }
        }
        let ids: Vec<Id> = self.progress_by_id.keys().cloned().collect();
        for id in ids {
            self.send_append(&id);
        }
    }

    /// Sends the next entries to a node, or a heartbeat if there are none or too many are not
    /// answered, or the snapshot if the node lacks entries that are compacted. A node that is probed gets one request
    /// per heartbeat interval until it answers.
    pub(super) fn send_append(&mut self, id: &Id) {
        let now = self.now;
        let Some(progress) = self.progress_by_id.get_mut(id) else { return };
        if let Mode::Probing { sent_at } = &mut progress.mode {
            if sent_at.is_some_and(|at| now < at + self.timing.heartbeat_interval) {
                return;
            }
            *sent_at = Some(now);
        }
        progress.last_sent_at = Some(now);
        let prev_index = progress.next_index - 1;
        let Some(prev_term) = self.log.term_at(prev_index) else {
            self.send_snapshot(&id.clone());
            return;
        };
        let entries = if progress.in_flight_bytes() < MAX_IN_FLIGHT_BYTES {
            self.log.entries_from(progress.next_index, MAX_ENTRIES_PER_APPEND, MAX_APPEND_BYTES)
        } else {
            Vec::new()
        };
        progress.record_sent(&entries);
        let append = AppendRequest {
            term: self.hard_state.term,
            prev_index,
            prev_term,
            entries,
            commit_index: self.commit_index,
            sent_at: now,
        };
        self.send(id, Message::AppendRequest(append));
    }

    /// Sends the snapshot to a node, unless one was sent lately and isn't answered yet.
    pub(super) fn send_snapshot(&mut self, id: &Id) {
        let now = self.now;
        let Some(progress) = self.progress_by_id.get_mut(id) else { return };
        if progress.snapshot_sent_at.is_some_and(|sent_at| now < sent_at + INSTALL_RETRY_INTERVAL) {
            return;
        }
        progress.snapshot_sent_at = Some(now);
        let snapshot = self.snapshot.clone();
        let install_snapshot =
            InstallSnapshot { term: self.hard_state.term, snapshot, sent_at: now };
        self.send(id, Message::InstallSnapshot(install_snapshot));
    }

    /// Records how far a node's log agrees, advances the commit index and sends what the
    /// node still lacks.
    pub(super) fn on_append_response(&mut self, from: &Id, append_response: AppendResponse) {
        if append_response.term > self.hard_state.term {
            self.become_follower(append_response.term, None);
            return;
        }
        if !self.is_leader() || append_response.term < self.hard_state.term {
            return;
        }
        let last = self.log.last_index();
        let Some(progress) = self.progress_by_id.get_mut(from) else { return };
        progress.acked_sent_at = progress.acked_sent_at.max(Some(append_response.sent_at));
        if append_response.accepted {
            progress.accept(append_response.match_index);
        } else {
            progress.reject(append_response.match_index, append_response.sent_at);
        }
        let is_behind = progress.next_index <= last;
        self.advance_commit_index();
        if is_behind || !append_response.accepted {
            self.send_append(from);
        }
    }

    /// Commits up to the last index that a majority has stored, if that entry is of the
    /// current term. Steps down if this node is no voter in a committed change.
    pub(super) fn advance_commit_index(&mut self) {
        let membership = self.log.membership();
        let is_voter = membership.voters.contains(&self.id);
        let mut match_indexes: Vec<Index> = membership
            .voters
            .iter()
            .map(|id| {
                if *id == self.id {
                    self.persisted_index
                } else {
                    self.progress_by_id.get(id).map_or(0, |progress| progress.match_index)
                }
            })
            .collect();
        match_indexes.sort();
        let majority_position = match_indexes.len() - membership.majority();
        let index = match_indexes[majority_position];
        let own_term = self.log.term_at(index) == Some(self.hard_state.term);
        if index <= self.commit_index || !own_term {
            return;
        }
        self.commit_index = index;
        let voters_committed = self.log.membership_index() <= self.commit_index;
        if voters_committed && !is_voter {
            self.send_to_all();
            self.become_follower(self.hard_state.term, None); // this node was removed
        }
    }
}
