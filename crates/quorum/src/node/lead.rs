//! Leading: the lease, replication and commitment.

use super::{Error, INSTALL_RETRY, MAX_ENTRIES_PER_APPEND, Node, Result};
use crate::log::{Entry, Payload};
use crate::message::{AppendRequest, AppendResponse, InstallSnapshot, Message};
use crate::progress::{Mode, Progress};
use crate::{Id, Index};
use std::time::Duration;

impl Node {
    pub(super) fn check_leadership(&self) -> Result<()> {
        if !self.is_leader() {
            return Err(Error::NotLeader { leader: self.leader.clone() });
        }
        if !self.has_lease(self.now) {
            return Err(Error::NoLease);
        }
        Ok(())
    }

    /// Clock value at which a majority is known to have followed this leader.
    pub(super) fn lease_base(&self) -> Option<Duration> {
        let membership = self.log.membership();
        let mut answers: Vec<Duration> = membership
            .voters
            .iter()
            .filter_map(|id| {
                if *id == self.id { Some(self.now) } else { self.others.get(id)?.acked_sent_at }
            })
            .collect();
        answers.sort();
        answers.into_iter().rev().nth(membership.majority() - 1)
    }

    pub(super) fn lead_on(&mut self) {
        let base = self.lease_base().unwrap_or_default().max(self.led_since);
        if self.now > base + self.timing.election_timeout {
            self.follow(self.hard_state.term, None);
            return;
        }
        let voters = self.log.membership().voters;
        let due: Vec<Id> = self
            .others
            .iter()
            .filter(|(id, progress)| {
                let span = if voters.contains(*id) {
                    self.timing.heartbeat_interval
                } else {
                    self.timing.learner_heartbeat_interval
                };
                progress.last_sent_at.is_none_or(|sent_at| self.now >= sent_at + span)
            })
            .map(|(id, _)| id.clone())
            .collect();
        for id in due {
            self.send_append(&id);
        }
    }

    pub(super) fn push(&mut self, payload: Payload) -> Index {
        let index = self.log.last_index() + 1;
        let entry = Entry { index, term: self.hard_state.term, payload };
        self.log.push(entry.clone());
        self.output.append.push(entry);
        index
    }

    pub(super) fn send_to_all(&mut self) {
        let voters = self.log.membership().voters;
        for id in &voters {
            if *id != self.id && !self.others.contains_key(id) {
                self.others.insert(id.clone(), Progress::new(self.log.last_index() + 1));
            }
        }
        let ids: Vec<Id> = self.others.keys().cloned().collect();
        for id in ids {
            self.send_append(&id);
        }
    }

    pub(super) fn send_append(&mut self, id: &Id) {
        let now = self.now;
        let Some(progress) = self.others.get_mut(id) else { return };
        if let Mode::Probing { sent_at } = &mut progress.mode {
            if sent_at.is_some_and(|at| now < at + self.timing.heartbeat_interval) {
                return;
            }
            *sent_at = Some(now);
        }
        progress.last_sent_at = Some(now);
        let prev_index = progress.next_index - 1;
        let Some(prev_term) = self.log.term_at(prev_index) else {
            self.send_install(&id.clone());
            return;
        };
        let entries = self.log.entries_from(progress.next_index, MAX_ENTRIES_PER_APPEND);
        progress.next_index += entries.len() as Index;
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

    pub(super) fn send_install(&mut self, id: &Id) {
        let now = self.now;
        let Some(progress) = self.others.get_mut(id) else { return };
        if progress.install_started_at.is_some_and(|since| now < since + INSTALL_RETRY) {
            return;
        }
        progress.install_started_at = Some(now);
        let snapshot = self.snapshot.clone();
        let install_snapshot =
            InstallSnapshot { term: self.hard_state.term, snapshot, sent_at: now };
        self.send(id, Message::InstallSnapshot(install_snapshot));
    }

    pub(super) fn on_append_response(&mut self, from: &Id, append_response: AppendResponse) {
        if append_response.term > self.hard_state.term {
            self.follow(append_response.term, None);
            return;
        }
        if !self.is_leader() || append_response.term < self.hard_state.term {
            return;
        }
        let last = self.log.last_index();
        let Some(progress) = self.others.get_mut(from) else { return };
        progress.acked_sent_at = progress.acked_sent_at.max(Some(append_response.sent_at));
        if append_response.accepted {
            progress.accept(append_response.match_index);
        } else {
            progress.reject(append_response.match_index, append_response.sent_at);
        }
        let behind = progress.next_index <= last;
        self.advance();
        if behind || !append_response.accepted {
            self.send_append(from);
        }
    }

    /// Commits what a majority holds on disk.
    pub(super) fn advance(&mut self) {
        let membership = self.log.membership();
        let mut held: Vec<Index> = membership
            .voters
            .iter()
            .map(|id| {
                if *id == self.id {
                    self.persisted
                } else {
                    self.others.get(id).map_or(0, |progress| progress.match_index)
                }
            })
            .collect();
        held.sort();
        let majority = held.len() - membership.majority();
        let index = held[majority];
        let own_term = self.log.term_at(index) == Some(self.hard_state.term);
        if index <= self.commit_index || !own_term {
            return;
        }
        self.commit_index = index;
        self.send_to_all();
        let named = self.log.membership_index() <= self.commit_index;
        if named && !membership.voters.contains(&self.id) {
            self.follow(self.hard_state.term, None); // this node was removed
        }
    }
}
