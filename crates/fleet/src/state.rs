//! The state itself and how commands change it.

use crate::check::{Live, Overlay};
use crate::command::{Join, Leave, Release, Withdrawal};
use crate::journal::{Author, Basis, Event, Note, Rejected};
use crate::moves::Move;
use crate::outcome::{Revised, Winner};
use crate::{Change, Command, Incarnation, Index, Journal, Outcome, Submission};
use record::{
    DataCentre, Document, EntryId, Fault, InstanceId, Key, Kind, OperatorId, PoolId, Revision, Spec,
};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::time::SystemTime;

/// Result of applying a command.
pub type Result<T> = std::result::Result<T, Error>;

/// Answers kept for resends; an older resend meets the revision check instead.
pub const RETAINED_ANSWERS: usize = 10_000; // three days at 3,000 changes a day

const MOVE_RULE: &str = "one-pool";
const MEMBERSHIP_RULE: &str = "entry-membership";

/// A command that this version cannot apply.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// Going on would let this entry differ from the others.
    #[error("{key} at index {index} has schema {schema}, which this version does not know")]
    UnknownSchema {
        /// The record.
        key: Key,
        /// Log index of the command.
        index: Index,
        /// Its schema version.
        schema: u32,
    },
    /// The bytes are no state of this version.
    #[error("cannot read the state: {0}")]
    Unreadable(String),
}

/// One record with its last accepted document.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Slot {
    /// Last accepted document.
    pub document: Document,
    /// Revision; counts withdrawals too.
    pub revision: Revision,
    /// Whether the record is a tombstone.
    pub withdrawn: bool,
    /// Who made the last change.
    pub operator: OperatorId,
    /// When the last change was made.
    pub at: SystemTime,
    /// Log index of the last change.
    pub index: Index,
}

/// Where an instance sits.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Placement {
    /// The one pool that it belongs to.
    pub pool: PoolId,
    /// Data centre that it is in.
    pub data_centre: DataCentre,
    /// A move that has not ended.
    pub step: Option<Move>,
}

/// An entry process that routes requests.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Member {
    /// Its data centre.
    pub data_centre: DataCentre,
    /// Its present life.
    pub incarnation: Incarnation,
    /// Identity of its data folder, if it has one.
    pub disk: Option<u64>,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct Answer {
    index: Index,
    digest: Vec<u8>,
    outcome: Outcome,
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
struct SubmissionKey {
    operator: OperatorId,
    id: String,
}

/// Records in force, placements, entries and the journal.
///
/// ```
/// use fleet::{Change, Command, Fleet, Outcome, Submission};
/// let text = "{kind: team, schema: 1, name: gate, spec: {quota: 3, weight: 1}}";
/// let documents = record::document::parse_all(text).unwrap();
/// let submission = Submission {
///     operator: "ana".into(),
///     id: "1".into(),
///     at: std::time::SystemTime::UNIX_EPOCH,
///     changes: documents.into_iter().map(Change::Put).collect(),
/// };
/// let mut fleet = Fleet::default();
/// let outcome = fleet.apply(1, &Command::Submit(submission)).unwrap();
/// assert!(matches!(outcome, Some(Outcome::Accepted { .. })));
/// assert_eq!(fleet.journal().len(), 1);
/// ```
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Fleet {
    applied: Index,
    records: BTreeMap<Key, Slot>,
    /// Typed content of the live records.
    #[serde(skip)]
    live: Live,
    placements: BTreeMap<InstanceId, Placement>,
    members: BTreeMap<EntryId, Member>,
    answers: BTreeMap<SubmissionKey, Answer>,
    answer_order: BTreeMap<Index, SubmissionKey>,
    journal: Journal,
}

/// Queries.
impl Fleet {
    /// Log index of the last command applied.
    pub fn applied(&self) -> Index {
        self.applied
    }

    /// All records, withdrawn ones included.
    pub fn records(&self) -> &BTreeMap<Key, Slot> {
        &self.records
    }

    /// One record, also when it is withdrawn.
    pub fn record(&self, key: &Key) -> Option<&Slot> {
        self.records.get(key)
    }

    /// Where every instance sits.
    pub fn placements(&self) -> &BTreeMap<InstanceId, Placement> {
        &self.placements
    }

    /// Entry processes that have joined.
    pub fn members(&self) -> &BTreeMap<EntryId, Member> {
        &self.members
    }

    /// The journal.
    pub fn journal(&self) -> &Journal {
        &self.journal
    }

    /// Typed content of a live record.
    pub fn spec(&self, key: &Key) -> Option<&Spec> {
        self.live.get(key)
    }

    /// Entries that have not let go of a moving instance.
    pub fn missing_releases(&self, instance: &str) -> Vec<EntryId> {
        let Some(placement) = self.placements.get(instance) else { return Vec::new() };
        let Some(step) = &placement.step else { return Vec::new() };
        let entries = self
            .members
            .iter()
            .filter(|(_, member)| member.data_centre == placement.data_centre)
            .map(|(entry, member)| (entry.clone(), member.incarnation));
        step.missing(entries)
    }
}

/// Snapshots.
impl Fleet {
    /// Serialises the state.
    ///
    /// ```
    /// let fleet = fleet::Fleet::default();
    /// assert_eq!(fleet::Fleet::read(&fleet.write()).unwrap(), fleet);
    /// ```
    pub fn write(&self) -> Vec<u8> {
        let mut bytes = Vec::new();
        ciborium::into_writer(self, &mut bytes).expect("a state serialises to memory");
        bytes
    }

    /// Reads a serialised state.
    pub fn read(bytes: &[u8]) -> Result<Fleet> {
        let mut fleet: Fleet =
            ciborium::from_reader(bytes).map_err(|error| Error::Unreadable(error.to_string()))?;
        let live = fleet.records.iter().filter(|(_, slot)| !slot.withdrawn);
        let typed = |(key, slot): (&Key, &Slot)| Some((key.clone(), slot.document.check().ok()?));
        fleet.live = live.filter_map(typed).collect();
        Ok(fleet)
    }
}

/// Commands.
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

    fn submit(&mut self, index: Index, submission: &Submission) -> Outcome {
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

    fn remember(&mut self, key: SubmissionKey, answer: Answer) {
        self.answer_order.insert(answer.index, key.clone());
        self.answers.insert(key, answer);
        while self.answers.len() > RETAINED_ANSWERS {
            let Some((_, oldest)) = self.answer_order.pop_first() else { break };
            self.answers.remove(&oldest);
        }
    }

    fn decide(&mut self, index: Index, submission: &Submission) -> Outcome {
        let mut faults = doubled(&submission.changes);
        for change in &submission.changes {
            match self.stale(change) {
                Some(conflict) => return conflict,
                None => faults.extend(self.faults(change)),
            }
        }
        if faults.is_empty() {
            faults = self.faults_across(&submission.changes);
        }
        if !faults.is_empty() {
            return Outcome::Refused { faults };
        }
        let revisions =
            submission.changes.iter().filter_map(|c| self.change(index, submission, c)).collect();
        Outcome::Accepted { index, revisions }
    }

    /// The conflict, if the change does not rest on the revision in force.
    fn stale(&self, change: &Change) -> Option<Outcome> {
        let (key, stated) = match change {
            Change::Put(document) => (document.key(), document.revision),
            Change::Withdraw(withdrawal) => (withdrawal.key.clone(), Some(withdrawal.revision)),
            Change::Dismiss(_) => return None,
        };
        let slot = self.records.get(&key);
        if slot.map(|slot| slot.revision) == stated {
            return None;
        }
        let winner = Winner {
            operator: slot.map(|slot| slot.operator.clone()),
            revision: slot.map_or(0, |slot| slot.revision),
            withdrawn: slot.is_some_and(|slot| slot.withdrawn),
            at: slot.map(|slot| slot.at),
        };
        Some(Outcome::Conflict { key, stated, winner })
    }

    /// Faults of one change on its own.
    fn faults(&self, change: &Change) -> Vec<Fault> {
        match change {
            Change::Put(document) => self.document_faults(document),
            Change::Withdraw(withdrawal) => self.withdrawal_faults(withdrawal),
            Change::Dismiss(entry) if !self.members.contains_key(entry) => {
                vec![Fault::new("entry", format!("entry \"{entry}\" is not a member"))]
            }
            Change::Dismiss(_) => Vec::new(),
        }
    }

    fn document_faults(&self, document: &Document) -> Vec<Fault> {
        let key = document.key();
        let prefixed = |fault: Fault| Fault::new(format!("{key}: {}", fault.field), fault.reason);
        let spec = match document.check() {
            Ok(spec) => spec,
            Err(faults) => return faults.into_iter().map(prefixed).collect(),
        };
        let Some(instance) = spec.instance() else { return Vec::new() };
        match self.placements.get(&document.name) {
            Some(placement) if placement.data_centre != instance.data_centre => {
                let reason = format!(
                    "is \"{}\" and cannot change; withdraw the instance first",
                    placement.data_centre
                );
                vec![prefixed(Fault::new("spec.data_centre", reason))]
            }
            _ => Vec::new(),
        }
    }

    fn withdrawal_faults(&self, withdrawal: &Withdrawal) -> Vec<Fault> {
        let withdrawn = self.records.get(&withdrawal.key).is_some_and(|slot| slot.withdrawn);
        if withdrawn {
            vec![Fault::new(withdrawal.key.to_string(), "is withdrawn already")]
        } else {
            Vec::new()
        }
    }

    fn faults_across(&self, changes: &[Change]) -> Vec<Fault> {
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
        overlay.faults()
    }

    fn change(&mut self, index: Index, from: &Submission, change: &Change) -> Option<Revised> {
        match change {
            Change::Put(document) => Some(self.put(index, from, document)),
            Change::Withdraw(withdrawal) => Some(self.withdraw(index, from, withdrawal)),
            Change::Dismiss(entry) => {
                self.dismiss(index, from, entry);
                None
            }
        }
    }

    fn put(&mut self, index: Index, from: &Submission, document: &Document) -> Revised {
        let key = document.key();
        let revision = self.records.get(&key).map_or(0, |slot| slot.revision) + 1;
        let slot = Slot {
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
            let basis = Basis { key: key.clone(), revision };
            self.place(index, from.at, &key.name, instance, basis);
        }
        Revised { key, revision }
    }

    fn withdraw(&mut self, index: Index, from: &Submission, withdrawal: &Withdrawal) -> Revised {
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
            let basis = Basis { key: key.clone(), revision };
            self.begin_move(index, from.at, &key.name, None, basis);
        }
        Revised { key, revision }
    }
}

/// Moves.
impl Fleet {
    fn place(
        &mut self,
        index: Index,
        at: SystemTime,
        name: &str,
        spec: record::instance::Instance,
        basis: Basis,
    ) {
        let Some(placement) = self.placements.get(name) else {
            let placement =
                Placement { pool: spec.pool.clone(), data_centre: spec.data_centre, step: None };
            self.placements.insert(name.to_string(), placement);
            let event = Event::Assigned { instance: name.to_string(), pool: Some(spec.pool) };
            self.note_move(index, at, name, event, "it was in no pool before", basis);
            return;
        };
        let goal = placement.step.as_ref().map_or(Some(&placement.pool), |step| step.to.as_ref());
        if goal == Some(&spec.pool) {
            return;
        }
        if placement.pool == spec.pool {
            self.cancel_move(index, at, name, basis);
        } else {
            self.begin_move(index, at, name, Some(spec.pool), basis);
        }
    }

    fn begin_move(
        &mut self,
        index: Index,
        at: SystemTime,
        name: &str,
        to: Option<PoolId>,
        basis: Basis,
    ) {
        let Some(placement) = self.placements.get_mut(name) else { return };
        placement.step = Some(Move::begin(index, to.clone()));
        let from = placement.pool.clone();
        let event = Event::MoveBegun { instance: name.to_string(), from, to };
        let reason = "the record names another pool; every entry of its data centre must release \
                      it first";
        self.note_move(index, at, name, event, reason, basis);
        self.end_move(index, at, name);
    }

    fn cancel_move(&mut self, index: Index, at: SystemTime, name: &str, basis: Basis) {
        let Some(placement) = self.placements.get_mut(name) else { return };
        placement.step = None;
        let pool = placement.pool.clone();
        let event = Event::MoveCancelled { instance: name.to_string(), pool };
        self.note_move(index, at, name, event, "the record names the old pool again", basis);
    }

    /// Ends a move once no entry is missing.
    fn end_move(&mut self, index: Index, at: SystemTime, name: &str) {
        let missing = self.missing_releases(name);
        let Some(placement) = self.placements.get_mut(name) else { return };
        if !missing.is_empty() {
            return;
        }
        let Some(step) = placement.step.take() else { return };
        let event = Event::Assigned { instance: name.to_string(), pool: step.to.clone() };
        match step.to {
            Some(pool) => placement.pool = pool,
            None => {
                self.placements.remove(name);
            }
        }
        let released: Vec<&str> = step.released.keys().map(String::as_str).collect();
        let reason = format!("released by every entry of its data centre: {released:?}");
        let key = Key::new(Kind::Instance, name);
        let revision = self.records.get(&key).map_or(0, |slot| slot.revision);
        self.note_move(index, at, name, event, &reason, Basis { key, revision });
    }

    fn end_moves(&mut self, index: Index, at: SystemTime, data_centre: &str) {
        let moving: Vec<InstanceId> = self
            .placements
            .iter()
            .filter(|(_, place)| place.step.is_some() && place.data_centre == data_centre)
            .map(|(name, _)| name.clone())
            .collect();
        for name in moving {
            self.end_move(index, at, &name);
        }
    }

    fn release(&mut self, index: Index, release: &Release) {
        let current = self.members.get(&release.entry).map(|member| member.incarnation);
        if current != Some(release.incarnation) {
            return;
        }
        let Some(placement) = self.placements.get_mut(&release.instance) else { return };
        let Some(step) = placement.step.as_mut() else { return };
        if step.began != release.began {
            return;
        }
        let known = step.released.insert(release.entry.clone(), release.incarnation);
        if known == Some(release.incarnation) {
            return;
        }
        let event =
            Event::Released { instance: release.instance.clone(), entry: release.entry.clone() };
        let key = Key::new(Kind::Instance, release.instance.clone());
        let revision = self.records.get(&key).map_or(0, |slot| slot.revision);
        let reason = "it sends no new work there and has none in flight";
        let basis = Basis { key, revision };
        self.note_move(index, release.at, &release.instance, event, reason, basis);
        self.end_move(index, release.at, &release.instance);
    }
}

/// Membership of entries.
impl Fleet {
    fn join(&mut self, index: Index, join: &Join) {
        let member = Member {
            data_centre: join.data_centre.clone(),
            incarnation: join.incarnation,
            disk: join.disk,
        };
        let known = self.members.insert(join.entry.clone(), member);
        if known.is_some_and(|member| member.incarnation == join.incarnation) {
            return;
        }
        let event = Event::Joined { entry: join.entry.clone() };
        let reason = format!("life {:016x} in data centre {}", join.incarnation, join.data_centre);
        self.note_member(index, join.at, event, reason);
    }

    fn leave(&mut self, index: Index, leave: &Leave) {
        let Some(member) = self.members.get(&leave.entry) else { return };
        if member.incarnation != leave.incarnation {
            return;
        }
        let data_centre = member.data_centre.clone();
        self.members.remove(&leave.entry);
        let event = Event::Left { entry: leave.entry.clone() };
        self.note_member(index, leave.at, event, "it stopped gracefully".to_string());
        self.end_moves(index, leave.at, &data_centre);
    }

    fn dismiss(&mut self, index: Index, from: &Submission, entry: &EntryId) {
        let Some(member) = self.members.remove(entry) else { return };
        self.note_submitted(index, from, Event::Left { entry: entry.clone() });
        self.end_moves(index, from.at, &member.data_centre);
    }
}

/// Journal notes.
impl Fleet {
    fn note_submitted(&mut self, index: Index, from: &Submission, event: Event) {
        let subjects = match &event {
            Event::Recorded { key, .. } | Event::Withdrawn { key, .. } => self.subjects(key),
            _ => Vec::new(),
        };
        let rests_on = match &event {
            Event::Recorded { key, revision } | Event::Withdrawn { key, revision } => {
                vec![Basis { key: key.clone(), revision: revision - 1 }]
            }
            _ => Vec::new(),
        };
        self.journal.append(Note {
            id: 0,
            index,
            at: from.at,
            author: Author::Operator(from.operator.clone()),
            event,
            subjects,
            reason: format!("submission {}", from.id),
            rests_on,
            rejected: Vec::new(),
        });
    }

    /// A record and the pool that it speaks of.
    fn subjects(&self, key: &Key) -> Vec<Key> {
        let mut subjects = vec![key.clone()];
        let spec = self.records.get(key).and_then(|slot| slot.document.spec.get("pool"));
        if let Some(pool) = spec.and_then(|pool| pool.as_str()) {
            subjects.push(Key::new(Kind::Pool, pool));
        }
        subjects
    }

    fn note_move(
        &mut self,
        index: Index,
        at: SystemTime,
        name: &str,
        event: Event,
        reason: &str,
        basis: Basis,
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
            Event::MoveBegun { .. } => vec![Rejected {
                choice: "assign it at once".to_string(),
                reason: "an entry that has not released it could still send it work".to_string(),
            }],
            _ => Vec::new(),
        };
        self.journal.append(Note {
            id: 0,
            index,
            at,
            author: Author::Rule(MOVE_RULE.to_string()),
            event,
            subjects,
            reason: reason.to_string(),
            rests_on: vec![basis],
            rejected,
        });
    }

    fn note_member(&mut self, index: Index, at: SystemTime, event: Event, reason: String) {
        self.journal.append(Note {
            id: 0,
            index,
            at,
            author: Author::Rule(MEMBERSHIP_RULE.to_string()),
            event,
            subjects: Vec::new(),
            reason,
            rests_on: Vec::new(),
            rejected: Vec::new(),
        });
    }

    fn note_refusal(&mut self, index: Index, from: &Submission, outcome: &Outcome) {
        let faults = match outcome {
            Outcome::Refused { faults } => faults.clone(),
            other => vec![Fault::new("revision", other.to_string())],
        };
        let subjects = from.changes.iter().filter_map(change_key).collect();
        self.journal.append(Note {
            id: 0,
            index,
            at: from.at,
            author: Author::Operator(from.operator.clone()),
            event: Event::TurnedDown { submission: from.id.clone(), faults },
            subjects,
            reason: "the batch is applied whole or not at all".to_string(),
            rests_on: Vec::new(),
            rejected: Vec::new(),
        });
    }
}

fn change_key(change: &Change) -> Option<Key> {
    match change {
        Change::Put(document) => Some(document.key()),
        Change::Withdraw(withdrawal) => Some(withdrawal.key.clone()),
        Change::Dismiss(_) => None,
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

fn doubled(changes: &[Change]) -> Vec<Fault> {
    let mut seen = Vec::new();
    let mut faults = Vec::new();
    for key in changes.iter().filter_map(change_key) {
        if seen.contains(&key) {
            faults.push(Fault::new(key.to_string(), "is changed twice in one batch"));
        }
        seen.push(key);
    }
    faults
}

fn reused(id: &str) -> Outcome {
    let reason = format!("\"{id}\" was used for another submission");
    Outcome::Refused { faults: vec![Fault::new("submission id", reason)] }
}
