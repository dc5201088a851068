//! Elections: trial rounds, polls and votes.

use super::{Hard, Node, Role};
use crate::log::Payload;
use crate::message::{Ballot, Message, Poll};
use crate::progress::Progress;
use crate::{Id, Term};
use rand::Rng;

impl Node {
    pub(super) fn campaign(&mut self, trial: bool) {
        self.role = if trial { Role::Trial } else { Role::Candidate };
        self.leader = None;
        let mut term = self.hard.term + 1;
        if !trial {
            self.hard = Hard { term, vote: Some(self.id.clone()) };
            self.output.hard = Some(self.hard.clone());
            term = self.hard.term;
        }
        if trial {
            // It changes nothing, so it is repeated as soon as answers are due.
            let span = self.settings.heartbeat;
            self.deadline = self.now + span + span.mul_f64(self.rng.random_range(0.0..1.0));
        }
        self.grants = [self.id.clone()].into();
        let poll = Poll {
            term,
            last_index: self.log.last_index(),
            last_term: self.log.last_term(),
            trial,
            asked: self.asked,
        };
        for voter in self.log.membership().voters {
            if voter != self.id {
                self.send(&voter, Message::Poll(poll.clone()));
            }
        }
        self.count_grants();
    }

    pub(super) fn count_grants(&mut self) {
        if self.grants.len() < self.log.membership().majority() {
            return;
        }
        match self.role {
            Role::Trial => self.campaign(false),
            Role::Candidate => self.take_lead(),
            Role::Follower | Role::Leader => {}
        }
    }

    pub(super) fn on_poll(&mut self, from: &Id, poll: Poll) {
        if !self.durable {
            return;
        }
        let led = self.leads()
            || self.now < self.quiet_until
            || self.heard.is_some_and(|at| self.now < at + self.settings.election);
        let newest =
            (poll.last_term, poll.last_index) >= (self.log.last_term(), self.log.last_index());
        if poll.trial {
            let granted = !led && newest && poll.term > self.hard.term;
            let term = if granted { poll.term } else { self.hard.term };
            self.send(from, Message::Ballot(Ballot { term, trial: true, granted }));
            return;
        }
        if led && !poll.asked {
            return; // a node that was cut off must not unseat a live leader
        }
        if poll.term > self.hard.term {
            self.follow(poll.term, None);
        }
        let free = self.hard.vote.as_ref().is_none_or(|vote| vote == from);
        let granted = poll.term == self.hard.term && newest && free;
        if granted {
            self.hard.vote = Some(from.clone());
            self.output.hard = Some(self.hard.clone());
            self.reset_deadline();
        }
        let ballot = Ballot { term: self.hard.term, trial: false, granted };
        self.send(from, Message::Ballot(ballot));
    }

    pub(super) fn on_ballot(&mut self, from: &Id, ballot: Ballot) {
        if !ballot.granted {
            if ballot.term > self.hard.term {
                self.follow(ballot.term, None);
            }
            return;
        }
        let expected = match self.role {
            Role::Trial => ballot.trial && ballot.term == self.hard.term + 1,
            Role::Candidate => !ballot.trial && ballot.term == self.hard.term,
            Role::Follower | Role::Leader => false,
        };
        if expected && self.log.membership().voters.contains(from) {
            self.grants.insert(from.clone());
            self.count_grants();
        }
    }

    pub(super) fn take_lead(&mut self) {
        self.role = Role::Leader;
        self.leader = Some(self.id.clone());
        let next = self.log.last_index() + 1;
        let voters = self.log.membership().voters;
        self.others = voters
            .union(&self.connected)
            .filter(|id| **id != self.id)
            .map(|id| (id.clone(), Progress::new(next)))
            .collect();
        self.led_since = self.now;
        self.push(Payload::Noop);
        self.send_to_all();
    }

    /// Takes in that the leader leaves and wants this node in its place.
    pub(super) fn on_take_over(&mut self, from: &Id, term: Term) {
        if term == self.hard.term && self.leader.as_ref() == Some(from) && self.votes() {
            self.asked = true;
            self.campaign(false);
            self.asked = false;
        }
    }

    pub(super) fn follow(&mut self, term: Term, leader: Option<Id>) {
        if term > self.hard.term {
            self.hard = Hard { term, vote: None };
            self.output.hard = Some(self.hard.clone());
        }
        self.role = Role::Follower;
        self.leader = leader;
        self.others.clear();
        self.reset_deadline();
    }

    pub(super) fn reset_deadline(&mut self) {
        let span = self.settings.election;
        self.deadline = self.now + span + span.mul_f64(self.rng.random_range(0.0..0.5));
    }
}
