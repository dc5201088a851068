//! Leading: the lease, replication and commitment.

use super::{Error, INSTALL_RETRY, MAX_ENTRIES_PER_APPEND, Node, Result};
use crate::log::{Entry, Payload};
use crate::message::{Append, Appended, Install, Message};
use crate::progress::{Flow, Progress};
use crate::{Id, Index};
use std::time::Duration;

impl Node {
    pub(super) fn check_leads(&self) -> Result<()> {
        if !self.leads() {
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
        let mut answers: Vec<Duration> =
            membership
                .voters
                .iter()
                .filter_map(|id| {
                    if *id == self.id { Some(self.now) } else { self.others.get(id)?.answered }
                })
                .collect();
        answers.sort();
        answers.into_iter().rev().nth(membership.majority() - 1)
    }

    pub(super) fn lead_on(&mut self) {
        let base = self.lease_base().unwrap_or_default().max(self.led_since);
        if self.now > base + self.settings.election {
            self.follow(self.hard.term, None);
            return;
        }
        let voters = self.log.membership().voters;
        let due: Vec<Id> = self
            .others
            .iter()
            .filter(|(id, progress)| {
                let span = if voters.contains(*id) {
                    self.settings.heartbeat
                } else {
                    self.settings.learner_heartbeat
                };
                progress.sent.is_none_or(|sent| self.now >= sent + span)
            })
            .map(|(id, _)| id.clone())
            .collect();
        for id in due {
            self.send_append(&id);
        }
    }

    pub(super) fn push(&mut self, payload: Payload) -> Index {
        let index = self.log.last_index() + 1;
        let entry = Entry { index, term: self.hard.term, payload };
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
        if let Flow::Probing { sent } = &mut progress.flow {
            if sent.is_some_and(|at| now < at + self.settings.heartbeat) {
                return;
            }
            *sent = Some(now);
        }
        progress.sent = Some(now);
        let prev_index = progress.next - 1;
        let Some(prev_term) = self.log.term(prev_index) else {
            self.send_install(&id.clone());
            return;
        };
        let entries = self.log.from(progress.next, MAX_ENTRIES_PER_APPEND);
        progress.next += entries.len() as Index;
        let append = Append {
            term: self.hard.term,
            prev_index,
            prev_term,
            entries,
            commit: self.commit,
            sent: now,
        };
        self.send(id, Message::Append(append));
    }

    pub(super) fn send_install(&mut self, id: &Id) {
        let now = self.now;
        let Some(progress) = self.others.get_mut(id) else { return };
        if progress.installing.is_some_and(|since| now < since + INSTALL_RETRY) {
            return;
        }
        progress.installing = Some(now);
        let snapshot = self.snapshot.clone();
        let install = Install { term: self.hard.term, snapshot, sent: now };
        self.send(id, Message::Install(install));
    }

    pub(super) fn on_appended(&mut self, from: &Id, appended: Appended) {
        if appended.term > self.hard.term {
            self.follow(appended.term, None);
            return;
        }
        if !self.leads() || appended.term < self.hard.term {
            return;
        }
        let last = self.log.last_index();
        let Some(progress) = self.others.get_mut(from) else { return };
        progress.answered = progress.answered.max(Some(appended.sent));
        if appended.accepted {
            progress.accept(appended.matched);
        } else {
            progress.reject(appended.matched, appended.sent);
        }
        let behind = progress.next <= last;
        self.advance();
        if behind || !appended.accepted {
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
                    self.others.get(id).map_or(0, |progress| progress.matched)
                }
            })
            .collect();
        held.sort();
        let majority = held.len() - membership.majority();
        let index = held[majority];
        let own_term = self.log.term(index) == Some(self.hard.term);
        if index <= self.commit || !own_term {
            return;
        }
        self.commit = index;
        self.send_to_all();
        let named = self.log.membership_index() <= self.commit;
        if named && !membership.voters.contains(&self.id) {
            self.follow(self.hard.term, None); // this node was removed
        }
    }
}
