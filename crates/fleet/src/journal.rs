//! The journal: why the fleet is as it is.

use crate::Index;
use record::{EntryId, FieldError, InstanceId, Key, OperatorId, PoolId, Revision};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fmt;
use std::time::SystemTime;

/// Number of one journal note.
pub type NoteId = u64;

/// Notes kept; older ones are dropped and can be exported before.
pub const RETAINED_NOTES: usize = 20_000; // 8 MB at 400 bytes a note

/// Who or what caused a change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Author {
    /// A named operator.
    Operator(OperatorId),
    /// A rule of the system.
    Rule(String),
}

/// What happened.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Event {
    /// A revision of a record came into force.
    Recorded {
        /// The record.
        key: Key,
        /// Its new revision.
        revision: Revision,
    },
    /// A record was withdrawn.
    Withdrawn {
        /// The record.
        key: Key,
        /// Revision of the tombstone.
        revision: Revision,
    },
    /// An instance was assigned to a pool that no entry could confuse.
    Assigned {
        /// The instance.
        instance: InstanceId,
        /// Its pool from now on; none when it left the fleet.
        pool: Option<PoolId>,
    },
    /// An instance began to leave its pool.
    MoveBegun {
        /// The instance.
        instance: InstanceId,
        /// Pool that it leaves.
        from: PoolId,
        /// Pool that it goes to; none when it leaves the fleet.
        to: Option<PoolId>,
    },
    /// A move was withdrawn before it ended.
    MoveCancelled {
        /// The instance.
        instance: InstanceId,
        /// Pool that it stays in.
        pool: PoolId,
    },
    /// An entry let go of a moving instance.
    Released {
        /// The instance.
        instance: InstanceId,
        /// The entry.
        entry: EntryId,
    },
    /// An entry process started.
    Joined {
        /// The entry.
        entry: EntryId,
    },
    /// An entry process ended.
    Left {
        /// The entry.
        entry: EntryId,
    },
    /// The voters of the agreement changed.
    VotersChanged {
        /// Name and incarnation of each.
        voters: Vec<String>,
    },
    /// A submission was turned down.
    #[serde(rename = "turned-down")]
    SubmissionRejected {
        /// Id of the submission.
        submission: String,
        /// Every reason.
        #[serde(rename = "faults")]
        field_errors: Vec<FieldError>,
    },
}

impl fmt::Display for Event {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Event::Recorded { key, revision } => write!(f, "{key} revision {revision} in force"),
            Event::Withdrawn { key, revision } => {
                write!(f, "{key} withdrawn at revision {revision}")
            }
            Event::Assigned { instance, pool: Some(pool) } => {
                write!(f, "instance {instance} assigned to pool {pool}")
            }
            Event::Assigned { instance, pool: None } => {
                write!(f, "instance {instance} left the fleet")
            }
            Event::MoveBegun { instance, from, to } => {
                let to = to.as_deref().unwrap_or("(out of the fleet)");
                write!(f, "instance {instance} began to move from pool {from} to {to}")
            }
            Event::MoveCancelled { instance, pool } => {
                write!(f, "move of instance {instance} withdrawn, it stays in pool {pool}")
            }
            Event::Released { instance, entry } => {
                write!(f, "entry {entry} released instance {instance}")
            }
            Event::Joined { entry } => write!(f, "entry {entry} joined"),
            Event::Left { entry } => write!(f, "entry {entry} left"),
            Event::VotersChanged { voters } => write!(f, "voters are {}", voters.join(", ")),
            Event::SubmissionRejected { submission, field_errors } => {
                write!(f, "submission {submission} turned down")?;
                for fault in field_errors {
                    write!(f, "; {fault}")?;
                }
                Ok(())
            }
        }
    }
}

/// A record revision that a decision rests on.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordRevision {
    /// The record.
    pub key: Key,
    /// Its revision at the time.
    pub revision: Revision,
}

/// A course that was weighed and not taken.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Alternative {
    /// What could have been done.
    pub choice: String,
    /// Why it was not.
    pub reason: String,
}

/// One change and its reason.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Note {
    /// Number of the note.
    pub id: NoteId,
    /// Log index that made the change.
    pub index: Index,
    /// When the change was asked for, by the clock of the entry that took it.
    pub at: SystemTime,
    /// Who or what caused it.
    pub author: Author,
    /// What happened.
    pub event: Event,
    /// Records that the note is about.
    pub subjects: Vec<Key>,
    /// Why, with the inputs that decided it.
    pub reason: String,
    /// Record revisions that it rests on.
    #[serde(rename = "rests_on")]
    pub based_on: Vec<RecordRevision>,
    /// What was weighed and not done.
    pub rejected: Vec<Alternative>,
}

/// Bounded series of notes.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Journal {
    next: NoteId,
    notes: BTreeMap<NoteId, Note>,
}

impl Journal {
    /// Appends a note, gives it its number and drops the oldest beyond the
    /// retention.
    pub(crate) fn append(&mut self, mut note: Note) {
        self.next += 1;
        note.id = self.next;
        self.notes.insert(note.id, note);
        while self.notes.len() > RETAINED_NOTES {
            self.notes.pop_first();
        }
    }

    /// Note with this number, if it is still kept.
    pub fn note(&self, id: NoteId) -> Option<&Note> {
        self.notes.get(&id)
    }

    /// Notes about a record, oldest first.
    pub fn about(&self, key: &Key) -> Vec<&Note> {
        self.notes.values().filter(|note| note.subjects.contains(key)).collect()
    }

    /// Notes from this number on, oldest first.
    pub fn since(&self, id: NoteId) -> Vec<&Note> {
        self.notes.range(id..).map(|(_, note)| note).collect()
    }

    /// Time of the newest note; the log itself carries no other clock.
    pub fn last_time(&self) -> SystemTime {
        self.notes.last_key_value().map_or(SystemTime::UNIX_EPOCH, |(_, note)| note.at)
    }

    /// Number of notes kept.
    ///
    /// ```
    /// assert_eq!(fleet::Journal::default().len(), 0);
    /// ```
    pub fn len(&self) -> usize {
        self.notes.len()
    }

    /// Whether no note is kept.
    pub fn is_empty(&self) -> bool {
        self.notes.is_empty()
    }
}
