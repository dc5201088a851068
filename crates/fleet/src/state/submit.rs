//! Applying commands; submissions are decided whole.

use super::{
    Answer, Error, Fleet, RETAINED_ANSWERS, Result, StoredRecord, SubmissionKey, change_key,
};
use crate::check::Overlay;
use crate::command::Withdrawal;
use crate::journal::{Event, RecordRevision};
use crate::outcome::{Revised, Winner};
use crate::{Change, Command, Index, Outcome, Submission};
use record::{Document, FieldError, Kind};

impl Fleet {
    /// Applies the command at a log index; submissions get an outcome.
    ///
    /// Fails without any change on a schema that this version does not know.
    pub fn apply(&mut self, index: Index, command: &Command) -> Result<Option<Outcome>> {
        let outcome = match command {
            Command::Submit(submission) => {
                known_schemas(index, submission)?;
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

    /// Notes that the voters of the agreement changed.
    pub fn note_voters(&mut self, index: Index, voters: Vec<String>) {
        self.applied = index;
        let at = self.journal.last_time();
        let reason = "the leader follows the voter records one step at a time".to_string();
        self.note_member(index, at, Event::VotersChanged { voters }, reason);
    }

    /// Notes that a log index without a command has passed.
    pub fn skip(&mut self, index: Index) {
        self.applied = index;
    }

    pub(super) fn submit(&mut self, index: Index, submission: &Submission) -> Outcome {
        let key =
            SubmissionKey { operator: submission.operator.clone(), id: submission.id.clone() };
        let digest = submission.digest();
        if let Some(answer) = self.answers.get(&key) {
            return if answer.digest == digest { answer.outcome.clone() } else { reused(&key.id) };
        }
        let outcome = self.decide(index, submission);
        if !matches!(outcome, Outcome::Accepted { .. }) {
            self.note_refusal(index, submission, &outcome);
        }
        self.remember(key, Answer { index, digest, outcome: outcome.clone() });
        outcome
    }

    pub(super) fn remember(&mut self, key: SubmissionKey, answer: Answer) {
        self.answer_order.insert(answer.index, key.clone());
        self.answers.insert(key, answer);
        while self.answers.len() > RETAINED_ANSWERS {
            let Some((_, oldest)) = self.answer_order.pop_first() else { break };
            self.answers.remove(&oldest);
        }
    }

    pub(super) fn decide(&mut self, index: Index, submission: &Submission) -> Outcome {
        let mut field_errors = doubled(&submission.changes);
        for change in &submission.changes {
            match self.stale(change) {
                Some(conflict) => return conflict,
                None => field_errors.extend(self.field_errors(change)),
            }
        }
        if field_errors.is_empty() {
            field_errors = self.faults_across(&submission.changes);
        }
        if !field_errors.is_empty() {
            return Outcome::Refused { field_errors };
        }
        let revisions =
            submission.changes.iter().filter_map(|c| self.change(index, submission, c)).collect();
        Outcome::Accepted { index, revisions }
    }

    /// The conflict, if the change does not rest on the revision in force.
    pub(super) fn stale(&self, change: &Change) -> Option<Outcome> {
        let (key, expected) = match change {
            Change::Put(document) => (document.key(), document.revision),
            Change::Withdraw(withdrawal) => (withdrawal.key.clone(), Some(withdrawal.revision)),
            Change::Dismiss(_) => return None,
        };
        let slot = self.records.get(&key);
        if slot.map(|slot| slot.revision) == expected {
            return None;
        }
        let winner = Winner {
            operator: slot.map(|slot| slot.operator.clone()),
            revision: slot.map_or(0, |slot| slot.revision),
            withdrawn: slot.is_some_and(|slot| slot.withdrawn),
            at: slot.map(|slot| slot.at),
        };
        Some(Outcome::Conflict { key, expected, winner })
    }

    /// Faults of one change on its own.
    pub(super) fn field_errors(&self, change: &Change) -> Vec<FieldError> {
        match change {
            Change::Put(document) => self.document_faults(document),
            Change::Withdraw(withdrawal) => self.withdrawal_faults(withdrawal),
            Change::Dismiss(entry) if !self.members.contains_key(entry) => {
                vec![FieldError::new("entry", format!("entry \"{entry}\" is not a member"))]
            }
            Change::Dismiss(_) => Vec::new(),
        }
    }

    pub(super) fn document_faults(&self, document: &Document) -> Vec<FieldError> {
        let key = document.key();
        let prefixed =
            |fault: FieldError| FieldError::new(format!("{key}: {}", fault.field), fault.reason);
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

    pub(super) fn withdrawal_faults(&self, withdrawal: &Withdrawal) -> Vec<FieldError> {
        let withdrawn = self.records.get(&withdrawal.key).is_some_and(|slot| slot.withdrawn);
        if withdrawn {
            vec![FieldError::new(withdrawal.key.to_string(), "is withdrawn already")]
        } else {
            Vec::new()
        }
    }

    pub(super) fn faults_across(&self, changes: &[Change]) -> Vec<FieldError> {
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

    pub(super) fn change(
        &mut self,
        index: Index,
        from: &Submission,
        change: &Change,
    ) -> Option<Revised> {
        match change {
            Change::Put(document) => Some(self.put(index, from, document)),
            Change::Withdraw(withdrawal) => Some(self.withdraw(index, from, withdrawal)),
            Change::Dismiss(entry) => {
                self.dismiss(index, from, entry);
                None
            }
        }
    }

    pub(super) fn put(&mut self, index: Index, from: &Submission, document: &Document) -> Revised {
        let key = document.key();
        let revision = self.records.get(&key).map_or(0, |slot| slot.revision) + 1;
        let slot = StoredRecord {
            document: document.clone(),
            revision,
            withdrawn: false,
            operator: from.operator.clone(),
            at: from.at,
            index,
        };
        self.records.insert(key.clone(), slot);
        self.note_submitted(index, from, Event::Recorded { key: key.clone(), revision });
        let Ok(spec) = document.check() else { return Revised { key, revision } };
        let instance = spec.instance();
        self.live.insert(key.clone(), spec);
        if let Some(instance) = instance {
            let basis = RecordRevision { key: key.clone(), revision };
            self.place(index, from.at, &key.name, instance, basis);
        }
        Revised { key, revision }
    }

    pub(super) fn withdraw(
        &mut self,
        index: Index,
        from: &Submission,
        withdrawal: &Withdrawal,
    ) -> Revised {
        let key = withdrawal.key.clone();
        let revision = withdrawal.revision + 1;
        let slot = self.records.get_mut(&key).expect("a withdrawal rests on a record");
        slot.revision = revision;
        slot.withdrawn = true;
        slot.operator = from.operator.clone();
        slot.at = from.at;
        slot.index = index;
        self.live.remove(&key);
        self.note_submitted(index, from, Event::Withdrawn { key: key.clone(), revision });
        if key.kind == Kind::Instance {
            let basis = RecordRevision { key: key.clone(), revision };
            self.begin_move(index, from.at, &key.name, None, basis);
        }
        Revised { key, revision }
    }
}

fn known_schemas(index: Index, submission: &Submission) -> Result<()> {
    for change in &submission.changes {
        let Change::Put(document) = change else { continue };
        if document.schema > record::spec::newest(document.kind) {
            let key = document.key();
            return Err(Error::UnknownSchema { key, index, schema: document.schema });
        }
    }
    Ok(())
}

fn doubled(changes: &[Change]) -> Vec<FieldError> {
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

fn reused(id: &str) -> Outcome {
    let reason = format!("\"{id}\" was used for another submission");
    Outcome::Refused { field_errors: vec![FieldError::new("submission id", reason)] }
}
