//! Following: taking entries and snapshots from a leader.

use super::Node;
use crate::log::{Entry, Snapshot};
use crate::message::{AppendRequest, AppendResponse, Envelope, InstallSnapshot, Message};
use crate::{Id, Index, Term};
use std::time::Duration;

impl Node {
    pub(super) fn on_append_request(&mut self, from: &Id, append: AppendRequest) {
        if append.term < self.hard_state.term {
            self.answer(from, false, 0, append.sent_at);
            return;
        }
        self.hear(from, append.term);
        let agreed = append.prev_index <= self.log.base_index()
            || self.log.term_at(append.prev_index) == Some(append.prev_term);
        if !agreed {
            let hint = self.hint(append.prev_index);
            self.answer(from, false, hint, append.sent_at);
            return;
        }
        let last = append.prev_index + append.entries.len() as Index;
        for entry in append.entries {
            self.accept(entry);
        }
        self.commit_index = self.commit_index.max(append.commit_index.min(last));
        self.answer(from, true, last, append.sent_at);
    }

    /// Last entry that may agree with a leader whose entry before `index` does not:
    /// the one before the whole term that is in its place here.
    fn hint(&self, index: Index) -> Index {
        let Some(term) = self.log.term_at(index) else {
            return self.log.last_index().min(index - 1);
        };
        let mut hint = index - 1;
        while hint > self.log.base_index() && self.log.term_at(hint) == Some(term) {
            hint -= 1;
        }
        hint
    }

    pub(super) fn accept(&mut self, entry: Entry) {
        if entry.index <= self.log.base_index() {
            return;
        }
        match self.log.term_at(entry.index) {
            Some(term) if term == entry.term => return,
            Some(_) => self.cut(entry.index),
            None => {}
        }
        self.log.push(entry.clone());
        self.output.append.push(entry);
    }

    /// Removes entries that another leader's log does not have.
    pub(super) fn cut(&mut self, from: Index) {
        assert!(from > self.commit_index, "a committed entry would be removed at index {from}");
        self.log.truncate(from);
        self.persisted = self.persisted.min(from - 1);
        self.output.append.retain(|entry| entry.index < from);
        let earlier = self.output.truncate.unwrap_or(from);
        self.output.truncate = Some(earlier.min(from));
    }

    pub(super) fn on_install_snapshot(&mut self, from: &Id, install_snapshot: InstallSnapshot) {
        if install_snapshot.term < self.hard_state.term {
            self.answer(from, false, 0, install_snapshot.sent_at);
            return;
        }
        self.hear(from, install_snapshot.term);
        let index = install_snapshot.snapshot.index;
        if self.log.term_at(index) == Some(install_snapshot.snapshot.term) {
            self.commit_index = self.commit_index.max(index); // entries behind it were acknowledged
        } else if index > self.commit_index {
            self.adopt(install_snapshot.snapshot);
        }
        self.answer(from, true, index, install_snapshot.sent_at);
    }

    pub(super) fn adopt(&mut self, snapshot: Snapshot) {
        self.log.reset(&snapshot);
        self.commit_index = snapshot.index;
        self.handed_over = snapshot.index;
        self.commit_on_disk = snapshot.index;
        self.snapshot = snapshot.clone();
        self.output.append.clear();
        self.output.truncate = None;
        self.output.committed_entries.clear();
        self.output.commit_index = None;
        self.output.install_snapshot = Some(snapshot);
    }

    pub(super) fn hear(&mut self, leader: &Id, term: Term) {
        self.follow(term, Some(leader.clone()));
        self.heard = Some(self.now);
    }

    pub(super) fn answer(
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

    pub(super) fn send(&mut self, to: &Id, message: Message) {
        self.output.messages.push(Envelope { to: to.clone(), message });
    }

    /// Adds committed entries to the output.
    pub(super) fn hand_over(&mut self) {
        let upto = self.commit_index.min(self.log.last_index());
        if upto > self.commit_on_disk {
            self.commit_on_disk = upto;
            self.output.commit_index = Some(upto);
        }
        while self.handed_over < upto {
            self.handed_over += 1;
            if let Some(entry) = self.log.get(self.handed_over) {
                self.output.committed_entries.push(entry.clone());
            }
        }
    }
}
