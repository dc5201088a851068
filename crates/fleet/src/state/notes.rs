//! Writes the journal notes, within the command that makes the change.

use super::{Fleet, MEMBERSHIP_RULE, MOVE_RULE, change_key};
use crate::journal::{Alternative, Author, Event, Note, RecordRevision};
use crate::{Index, Outcome, Submission};
use record::{FieldError, Key, Kind};
use std::time::SystemTime;

/// Returns a note without subjects, revisions and alternatives. The journal numbers it.
fn note(index: Index, at: SystemTime, author: Author, event: Event, reason: String) -> Note {
    Note {
        id: 0,
        index,
        at,
        author,
        event,
        subjects: Vec::new(),
        reason,
        based_on: Vec::new(),
        rejected: Vec::new(),
    }
}

impl Fleet {
    /// Writes the note of a change that an operator submitted.
    pub(super) fn note_submitted(&mut self, index: Index, submission: &Submission, event: Event) {
        let subjects = match &event {
            Event::Recorded { key, .. } | Event::Withdrawn { key, .. } => self.subjects(key),
            _ => Vec::new(),
        };
        let based_on = match &event {
            Event::Recorded { key, revision } | Event::Withdrawn { key, revision } => {
                vec![RecordRevision { key: key.clone(), revision: revision - 1 }]
            }
            _ => Vec::new(),
        };
        let author = Author::Operator(submission.operator.clone());
        let note =
            note(index, submission.at, author, event, format!("submission {}", submission.id));
        self.journal.append(Note { subjects, based_on, ..note });
    }

    /// Returns the key of a record and of the pool that it refers to.
    pub(super) fn subjects(&self, key: &Key) -> Vec<Key> {
        let mut subjects = vec![key.clone()];
        let pool = self.records.get(key).and_then(|stored| stored.document.spec.get("pool"));
        if let Some(pool) = pool.and_then(|pool| pool.as_str()) {
            subjects.push(Key::new(Kind::Pool, pool));
        }
        subjects
    }

    /// Writes the note of an event that concerns the pool or the move of instance `name`.
    pub(super) fn note_move(
        &mut self,
        index: Index,
        at: SystemTime,
        name: &str,
        event: Event,
        reason: &str,
        based_on: RecordRevision,
    ) {
        let mut subjects = vec![Key::new(Kind::Instance, name)];
        let pools = match &event {
            Event::Assigned { pool, .. } => vec![pool.clone()],
            Event::MoveBegun { from, to, .. } => vec![Some(from.clone()), to.clone()],
            Event::MoveCancelled { pool, .. } => vec![Some(pool.clone())],
            _ => Vec::new(),
        };
        subjects.extend(pools.into_iter().flatten().map(|pool| Key::new(Kind::Pool, pool)));
        let rejected = match &event {
            Event::MoveBegun { .. } => vec![Alternative {
                choice: "assign it at once".to_string(),
                reason: "an entry that has not released it could still send it work".to_string(),
            }],
            _ => Vec::new(),
        };
        let author = Author::Rule(MOVE_RULE.to_string());
        let note = note(index, at, author, event, reason.to_string());
        self.journal.append(Note { subjects, based_on: vec![based_on], rejected, ..note });
    }

    /// Writes the note of a change of the entries or the voters.
    pub(super) fn note_membership(
        &mut self,
        index: Index,
        at: SystemTime,
        event: Event,
        reason: String,
    ) {
        let author = Author::Rule(MEMBERSHIP_RULE.to_string());
        self.journal.append(note(index, at, author, event, reason));
    }

    /// Writes the note of a submission that was not accepted.
    pub(super) fn note_rejection(
        &mut self,
        index: Index,
        submission: &Submission,
        outcome: &Outcome,
    ) {
        let field_errors = match outcome {
            Outcome::Refused { field_errors } => field_errors.clone(),
            other => vec![FieldError::new("revision", other.to_string())],
        };
        let subjects = submission.changes.iter().filter_map(change_key).collect();
        let author = Author::Operator(submission.operator.clone());
        let event = Event::SubmissionRejected { submission: submission.id.clone(), field_errors };
        let reason = "the batch is applied whole or not at all".to_string();
        let note = note(index, submission.at, author, event, reason);
        self.journal.append(Note { subjects, ..note });
    }
}
