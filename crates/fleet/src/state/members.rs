//! Membership: entries that join, leave and are dismissed.

use super::{Fleet, Member};
use crate::command::{Join, Leave};
use crate::journal::Event;
use crate::{Index, Submission};
use record::EntryId;

impl Fleet {
    /// Adds an entry, or updates it. Writes no note if its incarnation is unchanged.
    pub(super) fn join(&mut self, index: Index, join: &Join) {
        let member = Member {
            data_centre: join.data_centre.clone(),
            incarnation: join.incarnation,
            data_folder_id: join.data_folder_id,
        };
        let previous = self.members.insert(join.entry.clone(), member);
        if previous.is_some_and(|member| member.incarnation == join.incarnation) {
            return;
        }
        let event = Event::Joined { entry: join.entry.clone() };
        let reason = format!("life {:016x} in data centre {}", join.incarnation, join.data_centre);
        self.note_membership(index, join.at, event, reason);
    }

    /// Removes an entry if the incarnation is its current one, and ends the moves that
    /// waited only for it.
    pub(super) fn leave(&mut self, index: Index, leave: &Leave) {
        let Some(member) = self.members.get(&leave.entry) else { return };
        if member.incarnation != leave.incarnation {
            return;
        }
        let data_centre = member.data_centre.clone();
        self.members.remove(&leave.entry);
        let event = Event::Left { entry: leave.entry.clone() };
        self.note_membership(index, leave.at, event, "it stopped gracefully".to_string());
        self.end_moves(index, leave.at, &data_centre);
    }

    /// Removes an entry on an operator's request, and ends the moves that waited only for it.
    pub(super) fn dismiss(&mut self, index: Index, submission: &Submission, entry: &EntryId) {
        let Some(member) = self.members.remove(entry) else { return };
        self.note_submitted(index, submission, Event::Left { entry: entry.clone() });
        self.end_moves(index, submission.at, &member.data_centre);
    }
}
