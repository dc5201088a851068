//! Elections: trial rounds, polls and votes.

use super::{HardState, Node, Role};
use crate::log::Payload;
use crate::message::{Message, VoteRequest, VoteResponse};
use crate::progress::Progress;
use crate::{Id, Term};
use rand::Rng;

impl Node {
    pub(super) fn campaign(&mut self, pre_vote: bool) {
        self.role = if pre_vote { Role::PreCandidate } else { Role::Candidate };
        self.leader = None;
        let mut term = self.hard_state.term + 1;
        if !pre_vote {
            self.hard_state = HardState { term, vote: Some(self.id.clone()) };
            self.output.hard_state = Some(self.hard_state.clone());
            term = self.hard_state.term;
        }
        if pre_vote {
            // It changes nothing, so it is repeated as soon as answers are due.
            let span = self.timing.heartbeat_interval;
            self.deadline = self.now + span + span.mul_f64(self.rng.random_range(0.0..1.0));
        }
        self.grants = [self.id.clone()].into();
        let vote_request = VoteRequest {
            term,
            last_index: self.log.last_index(),
            last_term: self.log.last_term(),
            pre_vote,
            leadership_transfer: self.leadership_transfer,
        };
        for voter in self.log.membership().voters {
            if voter != self.id {
                self.send(&voter, Message::VoteRequest(vote_request.clone()));
            }
        }
        self.count_grants();
    }

    pub(super) fn count_grants(&mut self) {
        if self.grants.len() < self.log.membership().majority() {
            return;
        }
        match self.role {
            Role::PreCandidate => self.campaign(false),
            Role::Candidate => self.take_lead(),
            Role::Follower | Role::Leader => {}
        }
    }

    pub(super) fn on_vote_request(&mut self, from: &Id, vote_request: VoteRequest) {
        if !self.durable {
            return;
        }
        let led = self.is_leader()
            || self.now < self.quiet_until
            || self.heard.is_some_and(|at| self.now < at + self.timing.election_timeout);
        let newest = (vote_request.last_term, vote_request.last_index)
            >= (self.log.last_term(), self.log.last_index());
        if vote_request.pre_vote {
            let granted = !led && newest && vote_request.term > self.hard_state.term;
            let term = if granted { vote_request.term } else { self.hard_state.term };
            self.send(from, Message::VoteResponse(VoteResponse { term, pre_vote: true, granted }));
            return;
        }
        if led && !vote_request.leadership_transfer {
            return; // a node that was cut off must not unseat a live leader
        }
        if vote_request.term > self.hard_state.term {
            self.follow(vote_request.term, None);
        }
        let free = self.hard_state.vote.as_ref().is_none_or(|vote| vote == from);
        let granted = vote_request.term == self.hard_state.term && newest && free;
        if granted {
            self.hard_state.vote = Some(from.clone());
            self.output.hard_state = Some(self.hard_state.clone());
            self.reset_deadline();
        }
        let vote_response = VoteResponse { term: self.hard_state.term, pre_vote: false, granted };
        self.send(from, Message::VoteResponse(vote_response));
    }

    pub(super) fn on_vote_response(&mut self, from: &Id, vote_response: VoteResponse) {
        if !vote_response.granted {
            if vote_response.term > self.hard_state.term {
                self.follow(vote_response.term, None);
            }
            return;
        }
        let expected = match self.role {
            Role::PreCandidate => {
                vote_response.pre_vote && vote_response.term == self.hard_state.term + 1
            }
            Role::Candidate => {
                !vote_response.pre_vote && vote_response.term == self.hard_state.term
            }
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
    pub(super) fn on_timeout_now(&mut self, from: &Id, term: Term) {
        if term == self.hard_state.term && self.leader.as_ref() == Some(from) && self.votes() {
            self.leadership_transfer = true;
            self.campaign(false);
            self.leadership_transfer = false;
        }
    }

    pub(super) fn follow(&mut self, term: Term, leader: Option<Id>) {
        if term > self.hard_state.term {
            self.hard_state = HardState { term, vote: None };
            self.output.hard_state = Some(self.hard_state.clone());
        }
        self.role = Role::Follower;
        self.leader = leader;
        self.others.clear();
        self.reset_deadline();
    }

    pub(super) fn reset_deadline(&mut self) {
        let span = self.timing.election_timeout;
        self.deadline = self.now + span + span.mul_f64(self.rng.random_range(0.0..0.5));
    }
}
