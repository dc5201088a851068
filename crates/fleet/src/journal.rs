//! The journal: a bounded list of notes, each with a change of the replicated state, its
//! author and its reason.

use crate::Index;
use record::{EntryId, FieldError, InstanceId, Key, OperatorId, PoolId, Revision};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fmt;
use std::time::SystemTime;

/// Number of a journal note; the first is 1.
pub type NoteId = u64;

/// Maximum number of notes kept. Older ones are dropped; operators can export them
/// before that.
pub const RETAINED_NOTES: usize = 20_000; // 8 MB at 400 bytes a note

/// Who or what caused a change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Author {
    /// An operator, by name.
    Operator(OperatorId),
    /// A rule of the system, by name.
    Rule(String),
}

/// Change that a journal note describes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Event {
    /// A new revision of a record is in force.
    Recorded {
        /// The record.
        key: Key,
        /// New revision.
        revision: Revision,
    },
    /// A record was withdrawn.
    Withdrawn {
        /// The record.
        key: Key,
        /// Revision of the tombstone.
        revision: Revision,
    },
    /// An instance was assigned to a pool. This happens only when no entry can still
    /// route to it by another pool.
    Assigned {
        /// The instance.
        instance: InstanceId,
        /// Pool from now on; `None` if the instance left the fleet.
        pool: Option<PoolId>,
    },
    /// A move of an instance out of its pool started.
    MoveBegun {
        /// The instance.
        instance: InstanceId,
        /// Current pool.
        from: PoolId,
        /// Destination pool; `None` if the instance leaves the fleet.
        to: Option<PoolId>,
    },
    /// A move was cancelled before it ended.
    MoveCancelled {
        /// The instance.
        instance: InstanceId,
        /// Pool that the instance stays in.
        pool: PoolId,
    },
    /// An entry released a moving instance.
    Released {
        /// The instance.
        instance: InstanceId,
        /// The entry.
        entry: EntryId,
    },
    /// An entry process joined.
    Joined {
        /// The entry.
        entry: EntryId,
    },
    /// An entry process left or was dismissed.
    Left {
        /// The entry.
        entry: EntryId,
    },
    /// The voters of the consensus group changed.
    VotersChanged {
        /// Name and incarnation of each.
        voters: Vec<String>,
    },
    /// A submission was refused or conflicted with another.
    #[serde(rename = "turned-down")]
    SubmissionRejected {
        /// Id of the submission.
        submission: String,
        /// Every error found.
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
                for field_error in field_errors {
                    write!(f, "; {field_error}")?;
                }
                Ok(())
            }
        }
    }
}

/// A record revision that a change was based on.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordRevision {
    /// Key of the record.
    pub key: Key,
    /// Revision of the record at the time.
    pub revision: Revision,
}

/// An alternative that was considered and rejected.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Alternative {
    /// What would have been done instead.
    pub choice: String,
    /// Why it was rejected.
    pub reason: String,
}

/// Journal note: one change and its reason.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Note {
    /// Number of the note.
    pub id: NoteId,
    /// Log index of the command that made the change.
    pub index: Index,
    /// When the change was requested, by the clock of the entry that received the
    /// request.
    pub at: SystemTime,
    /// Who or what caused the change.
    pub author: Author,
    /// The change.
    pub event: Event,
    /// Records that the note concerns; [`Journal::about`] searches by them.
    pub subjects: Vec<Key>,
    /// Reason of the change, with the inputs that decided it.
    pub reason: String,
    /// Record revisions that the change was based on.
    #[serde(rename = "rests_on")]
    pub based_on: Vec<RecordRevision>,
    /// Alternatives that were considered and rejected.
    pub rejected: Vec<Alternative>,
}

/// The last [`RETAINED_NOTES`] notes.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Journal {
    /// Number of the newest note; 0 if there has been none.
    #[serde(rename = "next")]
    last_id: NoteId,
    notes: BTreeMap<NoteId, Note>,
}

impl Journal {
    /// Numbers and appends a note, and drops the oldest beyond [`RETAINED_NOTES`].
    pub(crate) fn append(&mut self, mut note: Note) {
        self.last_id += 1;
        note.id = self.last_id;
        self.notes.insert(note.id, note);
        while self.notes.len() > RETAINED_NOTES {
            self.notes.pop_first();
        }
    }

    /// Returns the note with this number, if it is still kept.
    pub fn note(&self, id: NoteId) -> Option<&Note> {
        self.notes.get(&id)
    }

    /// Returns the notes about a record, oldest first.
    pub fn about(&self, key: &Key) -> Vec<&Note> {
        self.notes.values().filter(|note| note.subjects.contains(key)).collect()
    }

    /// Returns the notes from this number on, oldest first.
    pub fn since(&self, id: NoteId) -> Vec<&Note> {
        self.notes.range(id..).map(|(_, note)| note).collect()
    }

    /// Returns the time of the newest note. It serves log entries that carry no time of
    /// their own.
    pub fn last_time(&self) -> SystemTime {
        self.notes.last_key_value().map_or(SystemTime::UNIX_EPOCH, |(_, note)| note.at)
    }

    /// Returns the number of notes kept.
    ///
    /// ```
    /// assert_eq!(fleet::Journal::default().len(), 0);
    /// ```
    pub fn len(&self) -> usize {
        self.notes.len()
    }

    /// Returns whether no note is kept.
    pub fn is_empty(&self) -> bool {
        self.notes.is_empty()
    }
}
