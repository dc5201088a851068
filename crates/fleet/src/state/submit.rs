//! Applies commands. A submission is accepted or refused as a whole.

use super::{
    Error, Fleet, RETAINED_OUTCOMES, Result, StoredOutcome, StoredRecord, SubmissionKey, change_key,
};
use crate::check::Overlay;
use crate::command::Withdrawal;
use crate::journal::{Event, RecordRevision};
use crate::outcome::{Revised, Winner};
use crate::{Change, Command, Index, Outcome, Submission};
use record::{Document, FieldError, Kind};

impl Fleet {
    /// Applies the command at a log index. Returns an outcome for a submission.
    ///
    /// Fails with [`Error::UnknownSchema`], without any change, if a document has a schema
    /// version that this version of the program does not know.
    pub fn apply(&mut self, index: Index, command: &Command) -> Result<Option<Outcome>> {
        let outcome = match command {
            Command::Submit(submission) => {
                check_schemas(index, submission)?;
                Some(self.submit(index, submission))
            }
            Command::Join(join) => {
                self.join(index, join);
                None
            }
            Command::Release(release) => {
                self.release(index, release);
                None
            }
            Command::Leave(leave) => {
                self.leave(index, leave);
                None
            }
        };
        self.applied = index;
        Ok(outcome)
    }

    /// Advances to a log index that changed the voters, and writes a journal note.
    pub fn note_voters(&mut self, index: Index, voters: Vec<String>) {
        self.applied = index;
        let at = self.journal.last_time();
        let reason = "the leader follows the voter records one step at a time".to_string();
        self.note_membership(index, at, Event::VotersChanged { voters }, reason);
    }

    /// Advances to a log index that has no command.
    pub fn skip(&mut self, index: Index) {
        self.applied = index;
    }

    /// Decides a submission, or returns the earlier outcome of a resend. A submission that
    /// is not accepted changes nothing but the journal and the stored outcomes.
    pub(super) fn submit(&mut self, index: Index, submission: &Submission) -> Outcome {
        let key =
            SubmissionKey { operator: submission.operator.clone(), id: submission.id.clone() };
        let digest = submission.digest();
        if let Some(stored) = self.outcomes.get(&key) {
            return if stored.digest == digest {
                stored.outcome.clone()
            } else {
                refuse_reused_id(&key.id)
            };
        }
        let outcome = self.decide(index, submission);
        if !matches!(outcome, Outcome::Accepted { .. }) {
            self.note_rejection(index, submission, &outcome);
        }
        self.store_outcome(key, StoredOutcome { index, digest, outcome: outcome.clone() });
        outcome
    }

    /// Keeps an outcome for resends and drops the oldest beyond [`RETAINED_OUTCOMES`].
    pub(super) fn store_outcome(&mut self, key: SubmissionKey, stored: StoredOutcome) {
        self.outcome_order.insert(stored.index, key.clone());
        self.outcomes.insert(key, stored);
        while self.outcomes.len() > RETAINED_OUTCOMES {
            let Some((_, oldest)) = self.outcome_order.pop_first() else { break };
            self.outcomes.remove(&oldest);
        }
    }

    /// Checks every change and applies all of them if none has an error.
    pub(super) fn decide(&mut self, index: Index, submission: &Submission) -> Outcome {
        let mut field_errors = duplicate_changes(&submission.changes);
        for change in &submission.changes {
            match self.revision_conflict(change) {
                Some(conflict) => return conflict,
                None => field_errors.extend(self.field_errors(change)),
            }
        }
        if field_errors.is_empty() {
            field_errors = self.cross_record_errors(&submission.changes);
        }
        if !field_errors.is_empty() {
            return Outcome::Refused { field_errors };
        }
        let revisions = submission
            .changes
            .iter()
            .filter_map(|c| self.apply_change(index, submission, c))
            .collect();
        Outcome::Accepted { index, revisions }
    }

    /// Returns the conflict if the change is not based on the revision in force.
    pub(super) fn revision_conflict(&self, change: &Change) -> Option<Outcome> {
        let (key, expected) = match change {
            Change::Put(document) => (document.key(), document.revision),
            Change::Withdraw(withdrawal) => (withdrawal.key.clone(), Some(withdrawal.revision)),
            Change::Dismiss(_) => return None,
        };
        let stored = self.records.get(&key);
        if stored.map(|stored| stored.revision) == expected {
            return None;
        }
        let winner = Winner {
            operator: stored.map(|stored| stored.operator.clone()),
            revision: stored.map_or(0, |stored| stored.revision),
            withdrawn: stored.is_some_and(|stored| stored.withdrawn),
            at: stored.map(|stored| stored.at),
        };
        Some(Outcome::Conflict { key, expected, winner })
    }

    /// Returns the errors of one change, without regard to other changes.
    pub(super) fn field_errors(&self, change: &Change) -> Vec<FieldError> {
        match change {
            Change::Put(document) => self.document_errors(document),
            Change::Withdraw(withdrawal) => self.withdrawal_errors(withdrawal),
            Change::Dismiss(entry) if !self.members.contains_key(entry) => {
                vec![FieldError::new("entry", format!("entry \"{entry}\" is not a member"))]
            }
            Change::Dismiss(_) => Vec::new(),
        }
    }

    /// Returns the errors of a document's content. The data centre of an instance can't
    /// change.
    pub(super) fn document_errors(&self, document: &Document) -> Vec<FieldError> {
        let key = document.key();
        let prefixed =
            |error: FieldError| FieldError::new(format!("{key}: {}", error.field), error.reason);
        let spec = match document.check() {
            Ok(spec) => spec,
            Err(field_errors) => return field_errors.into_iter().map(prefixed).collect(),
        };
        let Some(instance) = spec.instance() else { return Vec::new() };
        match self.placements.get(&document.name) {
            Some(placement) if placement.data_centre != instance.data_centre => {
                let reason = format!(
                    "is \"{}\" and cannot change; withdraw the instance first",
                    placement.data_centre
                );
                vec![prefixed(FieldError::new("spec.data_centre", reason))]
            }
            _ => Vec::new(),
        }
    }

    /// Returns an error if the record is withdrawn already.
    pub(super) fn withdrawal_errors(&self, withdrawal: &Withdrawal) -> Vec<FieldError> {
        let withdrawn = self.records.get(&withdrawal.key).is_some_and(|stored| stored.withdrawn);
        if withdrawn {
            vec![FieldError::new(withdrawal.key.to_string(), "is withdrawn already")]
        } else {
            Vec::new()
        }
    }

    /// Returns the errors between records that the changes would lead to.
    pub(super) fn cross_record_errors(&self, changes: &[Change]) -> Vec<FieldError> {
        let mut overlay = Overlay::new(&self.live);
        for change in changes {
            match change {
                Change::Put(document) => {
                    if let Ok(spec) = document.check() {
                        overlay.put(document.key(), spec);
                    }
                }
                Change::Withdraw(withdrawal) => overlay.remove(withdrawal.key.clone()),
                Change::Dismiss(_) => {}
            }
        }
        overlay.field_errors()
    }

    /// Applies a checked change. Returns the new revision, if it changes a record.
    pub(super) fn apply_change(
        &mut self,
        index: Index,
        submission: &Submission,
        change: &Change,
    ) -> Option<Revised> {
        match change {
            Change::Put(document) => Some(self.put(index, submission, document)),
            Change::Withdraw(withdrawal) => Some(self.withdraw(index, submission, withdrawal)),
            Change::Dismiss(entry) => {
                self.dismiss(index, submission, entry);
                None
            }
        }
    }

    /// Stores a new revision of a record. For an instance, updates its placement too.
    pub(super) fn put(
        &mut self,
        index: Index,
        submission: &Submission,
        document: &Document,
    ) -> Revised {
        let key = document.key();
        let revision = self.records.get(&key).map_or(0, |stored| stored.revision) + 1;
        let stored = StoredRecord {
            document: document.clone(),
            revision,
            withdrawn: false,
            operator: submission.operator.clone(),
            at: submission.at,
            index,
        };
        self.records.insert(key.clone(), stored);
        self.note_submitted(index, submission, Event::Recorded { key: key.clone(), revision });
        let Ok(spec) = document.check() else { return Revised { key, revision } };
        let instance = spec.instance();
        self.live.insert(key.clone(), spec);
        if let Some(instance) = instance {
            let based_on = RecordRevision { key: key.clone(), revision };
            self.place(index, submission.at, &key.name, instance, based_on);
        }
        Revised { key, revision }
    }

    /// Turns a record into a tombstone. An instance starts to move out of its pool.
    pub(super) fn withdraw(
        &mut self,
        index: Index,
        submission: &Submission,
        withdrawal: &Withdrawal,
    ) -> Revised {
        let key = withdrawal.key.clone();
        let revision = withdrawal.revision + 1;
        let stored = self.records.get_mut(&key).expect("a checked withdrawal names a live record");
        stored.revision = revision;
        stored.withdrawn = true;
        stored.operator = submission.operator.clone();
        stored.at = submission.at;
        stored.index = index;
        self.live.remove(&key);
        self.note_submitted(index, submission, Event::Withdrawn { key: key.clone(), revision });
        if key.kind == Kind::Instance {
            let based_on = RecordRevision { key: key.clone(), revision };
            self.begin_move(index, submission.at, &key.name, None, based_on);
        }
        Revised { key, revision }
    }
}

/// Fails if a document has a newer schema than this version of the program knows.
fn check_schemas(index: Index, submission: &Submission) -> Result<()> {
    for change in &submission.changes {
        let Change::Put(document) = change else { continue };
        if document.schema > record::spec::newest(document.kind) {
            let key = document.key();
            return Err(Error::UnknownSchema { key, index, schema: document.schema });
        }
    }
    Ok(())
}

/// Returns an error for every record that is changed more than once.
fn duplicate_changes(changes: &[Change]) -> Vec<FieldError> {
    let mut seen = Vec::new();
    let mut field_errors = Vec::new();
    for key in changes.iter().filter_map(change_key) {
        if seen.contains(&key) {
            field_errors.push(FieldError::new(key.to_string(), "is changed twice in one batch"));
        }
        seen.push(key);
    }
    field_errors
}

/// Returns the refusal of a submission id that was used with other changes.
fn refuse_reused_id(id: &str) -> Outcome {
    let reason = format!("\"{id}\" was used for another submission");
    Outcome::Refused { field_errors: vec![FieldError::new("submission id", reason)] }
}
