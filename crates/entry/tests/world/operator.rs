//! An operator who submits until each answer is known.

use super::World;
use async_std::channel::Receiver;
use entry::agreement::Input;
use fleet::command::Withdrawal;
use fleet::{Change, Command, Outcome, Submission};
use rand::Rng;
use record::{Document, Key, Kind};
use std::time::SystemTime;
use wire::frame::Answer;

/// Wait before a resend when nothing was heard.
const PATIENCE_MS: u64 = 2500;
const RESEND_MS: u64 = 300;

/// One submission under way.
pub struct Ask {
    pub submission: Submission,
    waiting: Option<Receiver<Answer>>,
    next: u64,
    /// The outcome, once known.
    pub outcome: Option<Outcome>,
    /// Answers that were not outcomes.
    pub not_taken: u32,
    pub unknown: u32,
    once: bool,
}

impl Ask {
    pub fn new(id: &str, changes: Vec<Change>) -> Ask {
        let submission = Submission {
            operator: "ana".to_string(),
            id: id.to_string(),
            at: SystemTime::UNIX_EPOCH,
            changes,
        };
        let (waiting, next) = (None, 0);
        Ask { submission, waiting, next, outcome: None, not_taken: 0, unknown: 0, once: false }
    }

    /// A submission that is sent once and never again.
    pub fn once(id: &str, changes: Vec<Change>) -> Ask {
        Ask { once: true, ..Ask::new(id, changes) }
    }

    pub fn is_accepted(&self) -> bool {
        matches!(self.outcome, Some(Outcome::Accepted { .. }))
    }

    /// Sends, resends and takes answers.
    pub fn drive(&mut self, world: &mut World) {
        if self.outcome.is_some() {
            return;
        }
        let now = world.now();
        match self.waiting.as_ref().map(Receiver::try_recv) {
            Some(Ok(Answer::Applied(outcome))) => {
                self.outcome = outcome;
                if let Some(Outcome::Accepted { index, .. }) = self.outcome {
                    world.checks.accepted = world.checks.accepted.max(index);
                }
            }
            Some(Ok(Answer::NotTaken(_))) => {
                self.not_taken += 1;
                self.wait(now);
            }
            Some(Ok(Answer::Unknown(_))) => {
                self.unknown += 1;
                self.wait(now);
            }
            Some(Err(_)) if now < self.next => {}
            Some(Err(_)) => {
                self.unknown += 1;
                self.wait(now);
            }
            None if now >= self.next && !(self.once && self.not_taken + self.unknown > 0) => {
                self.send(world);
            }
            None => {}
        }
    }

    fn wait(&mut self, now: u64) {
        self.waiting = None;
        self.next = now + RESEND_MS;
    }

    fn send(&mut self, world: &mut World) {
        let site = world.rng.random_range(0..world.sites.len());
        let now = world.now();
        if !world.is_awake(site) {
            self.next = now + RESEND_MS;
            return;
        }
        let (reply, waiting) = async_std::channel::bounded(1);
        let command = Command::Submit(self.submission.clone());
        let life = world.sites[site].life.as_mut().unwrap();
        life.agreement.input(Input::Propose(command, reply));
        self.waiting = Some(waiting);
        self.next = now + PATIENCE_MS;
    }
}

/// A change that puts a document.
pub fn put(text: &str) -> Change {
    let document: Document = record::document::parse_all(text).unwrap().remove(0);
    Change::Put(document)
}

/// A change that withdraws a record.
pub fn withdraw(kind: Kind, name: &str, revision: u64) -> Change {
    Change::Withdraw(Withdrawal { key: Key::new(kind, name), revision })
}

/// A team with a quota.
pub fn team(name: &str, quota: u32, revision: Option<u64>) -> Change {
    let revision = revision.map_or(String::new(), |revision| format!("revision: {revision}, "));
    put(&format!(
        "{{kind: team, schema: 1, name: {name}, {revision}spec: {{quota: {quota}, weight: 1}}}}"
    ))
}

/// A pool.
pub fn pool(name: &str) -> Change {
    put(&format!("{{kind: pool, schema: 1, name: {name}, spec: {{description: {name}, size: 1}}}}"))
}

/// The instance `w` in a pool.
pub fn instance(pool: &str, revision: Option<u64>) -> Change {
    let revision = revision.map_or(String::new(), |revision| format!("revision: {revision}, "));
    put(&format!(
        "{{kind: instance, schema: 2, name: w, {revision}spec: {{pool: {pool}, data_centre: north, \
         rack: r, cores: 1, memory_mib: 1024, slots: 1, connections: 1}}}}"
    ))
}

/// The voter record of a data folder.
pub fn voter(name: &str, incarnation: u64, revision: u64) -> Change {
    put(&format!(
        "{{kind: voter, schema: 1, name: {name}, revision: {revision}, \
         spec: {{incarnation: \"{incarnation:016x}\"}}}}"
    ))
}
