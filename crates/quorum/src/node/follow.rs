//! Following: taking entries and snapshots from a leader.

use super::Node;
use crate::log::{Entry, Snapshot};
use crate::message::{Append, Appended, Envelope, Install, Message};
use crate::{Id, Index, Term};
use std::time::Duration;

impl Node {
    pub(super) fn on_append(&mut self, from: &Id, append: Append) {
        if append.term < self.hard.term {
            self.answer(from, false, 0, append.sent);
            return;
        }
        self.hear(from, append.term);
        let agreed = append.prev_index <= self.log.base_index()
            || self.log.term(append.prev_index) == Some(append.prev_term);
        if !agreed {
            let hint = self.hint(append.prev_index);
            self.answer(from, false, hint, append.sent);
            return;
        }
        let last = append.prev_index + append.entries.len() as Index;
        for entry in append.entries {
            self.accept(entry);
        }
        self.commit = self.commit.max(append.commit.min(last));
        self.answer(from, true, last, append.sent);
    }

    /// Last entry that may agree with a leader whose entry before `index` does not:
    /// the one before the whole term that is in its place here.
    fn hint(&self, index: Index) -> Index {
        let Some(term) = self.log.term(index) else { return self.log.last_index().min(index - 1) };
        let mut hint = index - 1;
        while hint > self.log.base_index() && self.log.term(hint) == Some(term) {
            hint -= 1;
        }
        hint
    }

    pub(super) fn accept(&mut self, entry: Entry) {
        if entry.index <= self.log.base_index() {
            return;
        }
        match self.log.term(entry.index) {
            Some(term) if term == entry.term => return,
            Some(_) => self.cut(entry.index),
            None => {}
        }
        self.log.push(entry.clone());
        self.output.append.push(entry);
    }

    /// Removes entries that another leader's log does not have.
    pub(super) fn cut(&mut self, from: Index) {
        assert!(from > self.commit, "a committed entry would be removed at index {from}");
        self.log.truncate(from);
        self.persisted = self.persisted.min(from - 1);
        self.output.append.retain(|entry| entry.index < from);
        let earlier = self.output.truncate.unwrap_or(from);
        self.output.truncate = Some(earlier.min(from));
    }

    pub(super) fn on_install(&mut self, from: &Id, install: Install) {
        if install.term < self.hard.term {
            self.answer(from, false, 0, install.sent);
            return;
        }
        self.hear(from, install.term);
        let index = install.snapshot.index;
        if self.log.term(index) == Some(install.snapshot.term) {
            self.commit = self.commit.max(index); // entries behind it were acknowledged
        } else if index > self.commit {
            self.adopt(install.snapshot);
        }
        self.answer(from, true, index, install.sent);
    }

    pub(super) fn adopt(&mut self, snapshot: Snapshot) {
        self.log.reset(&snapshot);
        self.commit = snapshot.index;
        self.handed_over = snapshot.index;
        self.commit_on_disk = snapshot.index;
        self.snapshot = snapshot.clone();
        self.output.append.clear();
        self.output.truncate = None;
        self.output.committed.clear();
        self.output.commit = None;
        self.output.install = Some(snapshot);
    }

    pub(super) fn hear(&mut self, leader: &Id, term: Term) {
        self.follow(term, Some(leader.clone()));
        self.heard = Some(self.now);
    }

    pub(super) fn answer(&mut self, to: &Id, accepted: bool, matched: Index, sent: Duration) {
        let appended = Appended { term: self.hard.term, accepted, matched, sent };
        self.send(to, Message::Appended(appended));
    }

    pub(super) fn send(&mut self, to: &Id, message: Message) {
        self.output.messages.push(Envelope { to: to.clone(), message });
    }

    /// Adds committed entries to the output.
    pub(super) fn hand_over(&mut self) {
        let upto = self.commit.min(self.log.last_index());
        if upto > self.commit_on_disk {
            self.commit_on_disk = upto;
            self.output.commit = Some(upto);
        }
        while self.handed_over < upto {
            self.handed_over += 1;
            if let Some(entry) = self.log.get(self.handed_over) {
                self.output.committed.push(entry.clone());
            }
        }
    }
}
