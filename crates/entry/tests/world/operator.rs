//! A client that resends each submission until its outcome is known.

use super::World;
use async_std::channel::Receiver;
use entry::agreement::Input;
use fleet::command::Withdrawal;
use fleet::{Change, Command, Outcome, Submission};
use rand::Rng;
use record::{Document, Key, Kind};
use std::time::SystemTime;
use wire::frame::Answer;

/// Wait for an answer before a resend.
const ANSWER_TIMEOUT_MS: u64 = 2500;
/// Wait between an answer without an outcome and the resend.
const RESEND_MS: u64 = 300;

/// A submission and the state of its client.
pub struct Client {
    pub submission: Submission,
    answer: Option<Receiver<Answer>>,
    next_send: u64,
    /// Outcome, once known.
    pub outcome: Option<Outcome>,
    /// Number of answers that the submission was not taken.
    pub not_taken: u32,
    /// Number of answers without a known outcome, missing answers included.
    pub unknown: u32,
    /// Whether the submission is never resent.
    once: bool,
}

impl Client {
    pub fn new(id: &str, changes: Vec<Change>) -> Client {
        let submission = Submission {
            operator: "ana".to_string(),
            id: id.to_string(),
            at: SystemTime::UNIX_EPOCH,
            changes,
        };
        let (answer, next_send) = (None, 0);
        Client {
            submission,
            answer,
            next_send,
            outcome: None,
            not_taken: 0,
            unknown: 0,
            once: false,
        }
    }

    /// Returns a client that sends its submission once and never again.
    pub fn once(id: &str, changes: Vec<Change>) -> Client {
        Client { once: true, ..Client::new(id, changes) }
    }

    pub fn is_accepted(&self) -> bool {
        matches!(self.outcome, Some(Outcome::Accepted { .. }))
    }

    /// Handles an answer that has arrived, and sends or resends when it is time.
    pub fn poll(&mut self, world: &mut World) {
        if self.outcome.is_some() {
            return;
        }
        let now = world.now();
        match self.answer.as_ref().map(Receiver::try_recv) {
            Some(Ok(Answer::Applied(outcome))) => {
                self.outcome = outcome;
                if let Some(Outcome::Accepted { index, .. }) = self.outcome {
                    world.checks.accepted = world.checks.accepted.max(index);
                }
            }
            Some(Ok(Answer::NotTaken(_))) => {
                self.not_taken += 1;
                self.schedule_resend(now);
            }
            Some(Ok(Answer::Unknown(_))) => {
                self.unknown += 1;
                self.schedule_resend(now);
            }
            Some(Err(_)) if now < self.next_send => {}
            Some(Err(_)) => {
                self.unknown += 1;
                self.schedule_resend(now);
            }
            None if now >= self.next_send && !(self.once && self.not_taken + self.unknown > 0) => {
                self.send(world);
            }
            None => {}
        }
    }

    fn schedule_resend(&mut self, now: u64) {
        self.answer = None;
        self.next_send = now + RESEND_MS;
    }

    fn send(&mut self, world: &mut World) {
        let site = world.rng.random_range(0..world.sites.len());
        let now = world.now();
        if !world.is_awake(site) {
            self.next_send = now + RESEND_MS;
            return;
        }
        let (reply, answer) = async_std::channel::bounded(1);
        let command = Command::Submit(self.submission.clone());
        let process = world.sites[site].process.as_mut().unwrap();
        process.agreement.handle(Input::Propose(command, reply));
        self.answer = Some(answer);
        self.next_send = now + ANSWER_TIMEOUT_MS;
    }
}

/// Returns a change that puts the document in `text`.
pub fn put(text: &str) -> Change {
    let document: Document = record::document::parse_all(text).unwrap().remove(0);
    Change::Put(document)
}

/// Returns a change that withdraws a record.
pub fn withdraw(kind: Kind, name: &str, revision: u64) -> Change {
    Change::Withdraw(Withdrawal { key: Key::new(kind, name), revision })
}

/// Returns a change that puts a team with a quota.
pub fn team(name: &str, quota: u32, revision: Option<u64>) -> Change {
    let revision = revision.map_or(String::new(), |revision| format!("revision: {revision}, "));
    put(&format!(
        "{{kind: team, schema: 1, name: {name}, {revision}spec: {{quota: {quota}, weight: 1}}}}"
    ))
}

/// Returns a change that puts a pool.
pub fn pool(name: &str) -> Change {
    put(&format!("{{kind: pool, schema: 1, name: {name}, spec: {{description: {name}, size: 1}}}}"))
}

/// Returns a change that puts the instance `w` into a pool.
pub fn instance(pool: &str, revision: Option<u64>) -> Change {
    let revision = revision.map_or(String::new(), |revision| format!("revision: {revision}, "));
    put(&format!(
        "{{kind: instance, schema: 2, name: w, {revision}spec: {{pool: {pool}, data_centre: north, \
         rack: r, cores: 1, memory_mib: 1024, slots: 1, connections: 1}}}}"
    ))
}

/// Returns a change that puts the voter record of a data folder.
pub fn voter(name: &str, incarnation: u64, revision: u64) -> Change {
    put(&format!(
        "{{kind: voter, schema: 1, name: {name}, revision: {revision}, \
         spec: {{incarnation: \"{incarnation:016x}\"}}}}"
    ))
}
