//! Requests of clients and operators: answered by the leader, passed on by others.

use super::{Core, Forwarded, ReplyTo, Waiter};
use jobs::command::{Cancel, Command, Submit};
use jobs::{Outcome, QueueName, Wave};
use log::{debug, info};
use mesh::request::Location;
use mesh::{Frame, LeaderRequest, Reply};
use sched::scheduler::Time;

/// Length of a job's name; clients draw it at random.
const ID_DIGITS: usize = 16;

impl Core {
    pub(super) fn request(&mut self, time: Time, request: LeaderRequest, reply: ReplyTo) {
        if self.leadership.is_none() {
            self.forward(time, request, reply);
            return;
        }
        if !self.node.has_lease(time.monotonic) {
            self.reply(reply, Reply::NotTaken("the leader's lease is over".to_string()));
            return;
        }
        match request {
            LeaderRequest::Submit { location, definition } => match self.location(&location) {
                Ok((queue, id)) => {
                    let known = self.ledger.find_job(&queue, &id).is_some();
                    if known {
                        self.reply(reply, Reply::Done);
                        return;
                    }
                    let submit = Submit { queue, id, definition: *definition, at: time.wall };
                    self.change(time, Command::Submit(submit), reply);
                }
                Err(refusal) => self.reply(reply, refusal),
            },
            LeaderRequest::Cancel(location) => match self.location(&location) {
                Ok((queue, id)) => {
                    let job = self.ledger.find_job(&queue, &id);
                    match job.map(|job| job.state.is_final()) {
                        None => self.reply(reply, Reply::Missing),
                        Some(true) => self.reply(reply, Reply::Done),
                        Some(false) => {
                            let cancel = Cancel { queue, id, at: time.wall };
                            self.change(time, Command::Cancel(cancel), reply);
                        }
                    }
                }
                Err(refusal) => self.reply(reply, refusal),
            },
            LeaderRequest::State(location) => {
                let answer = self.state(&location);
                self.reply(reply, answer);
            }
            LeaderRequest::Configure(config) => {
                if let Err(error) = config.check() {
                    info!("config.refused version={} reason={error:?}", config.version);
                    self.reply(reply, Reply::Invalid(error.to_string()));
                    return;
                }
                let held = self.ledger.config().map(|held| held.version);
                if held.is_some_and(|held| held >= config.version) {
                    info!("config.overtaken version={} held={held:?}", config.version);
                    self.reply(reply, Reply::Done);
                    return;
                }
                info!("config.proposed version={}", config.version);
                self.change(time, Command::Configure(config), reply);
            }
            LeaderRequest::Config => {
                let answer = match self.ledger.config() {
                    Some(config) => Reply::Config(config.document.clone()),
                    None => Reply::NotTaken("no configuration is in force".to_string()),
                };
                self.reply(reply, answer);
            }
            LeaderRequest::StartWave { id, instances, duration, max_unavailable } => {
                if self.ledger.waves().contains_key(&id) {
                    self.reply(reply, Reply::Done);
                    return;
                }
                info!("wave.proposed wave={id} machines={} cap={max_unavailable}", instances.len());
                let wave = Wave::new(id, instances, duration, max_unavailable.max(1), time.wall);
                self.change(time, Command::StartWave(wave), reply);
            }
            LeaderRequest::Wave(id) => {
                let answer = match self.ledger.waves().get(&id) {
                    Some(wave) => Reply::Wave { completed: wave.is_completed() },
                    None => Reply::Missing,
                };
                self.reply(reply, answer);
            }
        }
    }

    /// Queue and job of a place.
    fn location(&self, location: &Location) -> Result<(QueueName, String), Reply> {
        let Some(config) = self.ledger.config() else {
            return Err(Reply::NotTaken("no configuration is in force".to_string()));
        };
        let Some((queue, id)) = config.route(&location.host, &location.path) else {
            return Err(Reply::NoQueue);
        };
        let digits = id.len() == ID_DIGITS && id.bytes().all(|b| b.is_ascii_hexdigit());
        if !digits {
            return Err(Reply::Invalid(format!("path: \"{id}\" is no name of a job")));
        }
        Ok((queue.clone(), id.to_string()))
    }

    fn state(&self, location: &Location) -> Reply {
        let Some(config) = self.ledger.config() else {
            return Reply::NotTaken("no configuration is in force".to_string());
        };
        match config.route(&location.host, &location.path) {
            None => Reply::NoQueue,
            Some((queue, "")) => Reply::Pending(self.ledger.pending(queue) as u64),
            Some((queue, id)) => match self.ledger.find_job(queue, id) {
                Some(job) => Reply::State(job.state),
                None => Reply::Missing,
            },
        }
    }

    /// Proposes a change; the reply comes once it is in force.
    fn change(&mut self, time: Time, command: Command, reply: ReplyTo) {
        match self.node.propose(time.monotonic, super::effects::encode(&command)) {
            Ok(index) => {
                self.waiters.insert(index, Waiter { term: self.node.term(), reply });
            }
            Err(error) => self.reply(reply, Reply::NotTaken(error.to_string())),
        }
    }

    /// Passes a request on to the leader, once.
    fn forward(&mut self, time: Time, request: LeaderRequest, reply: ReplyTo) {
        let passed_on = matches!(reply, ReplyTo::Remote { core: true, .. });
        let Some(leader) = self.leader_name().filter(|_| !passed_on) else {
            self.reply(reply, Reply::NotTaken("no leader is known here".to_string()));
            return;
        };
        let id = self.next_request;
        let changes = request.is_write();
        if !self.environment.send(&leader, Frame::Request(id, request)) {
            let reason = format!("no link to the leader {leader}");
            self.reply(reply, Reply::NotTaken(reason));
            return;
        }
        self.next_request += 1;
        let forwarded = Forwarded { leader, since: time.monotonic, reply, changes };
        self.forwarded.insert(id, forwarded);
    }

    pub(super) fn lose_forwarded(&mut self, lost: impl Fn(&Forwarded) -> bool) {
        let ids: Vec<_> =
            self.forwarded.iter().filter(|(_, f)| lost(f)).map(|(id, _)| *id).collect();
        for id in ids {
            let Some(forwarded) = self.forwarded.remove(&id) else { continue };
            let reason = format!("no reply from the leader {}", forwarded.leader);
            let reply =
                if forwarded.changes { Reply::Unknown(reason) } else { Reply::NotTaken(reason) };
            self.reply(forwarded.reply, reply);
        }
    }

    /// Answers whoever waits for a change that is in force.
    pub(super) fn in_force(&mut self, waiter: Waiter, term: quorum::Term, outcome: Outcome) {
        let reply = if waiter.term != term {
            // The entry that took its place is another leader's.
            Reply::NotTaken("another leader's change took its place".to_string())
        } else {
            match outcome {
                Outcome::Done | Outcome::Accepted => Reply::Done,
                Outcome::OtherQueue => {
                    Reply::Invalid("the job is in another queue already".to_string())
                }
                Outcome::Missing => Reply::NoQueue,
            }
        };
        self.reply(waiter.reply, reply);
    }

    /// Changes of a lost term may still come into force under the next leader.
    pub(super) fn give_up_waiters(&mut self) {
        let (is_leader, term) = (self.node.is_leader(), self.node.term());
        let lost: Vec<_> = self
            .waiters
            .iter()
            .filter(|(_, waiter)| !is_leader || waiter.term != term)
            .map(|(index, _)| *index)
            .collect();
        for index in lost {
            if let Some(waiter) = self.waiters.remove(&index) {
                let reason = "the leader lost its lead before the change was in force";
                self.reply(waiter.reply, Reply::Unknown(reason.to_string()));
            }
        }
    }

    pub(super) fn reply(&self, to: ReplyTo, reply: Reply) {
        debug!("reply to={to:?} reply={reply:?}");
        match to {
            ReplyTo::Local(sender) => {
                let _ = sender.try_send(reply); // who asked may have gone
            }
            ReplyTo::Remote { name, id, .. } => {
                self.environment.send(&name, Frame::Reply(id, reply));
            }
        }
    }
}
