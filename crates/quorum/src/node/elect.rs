//! Elections: pre-votes, vote requests and votes.

use super::{HardState, Node, Role};
use crate::log::Payload;
use crate::message::{Message, VoteRequest, VoteResponse};
use crate::progress::Progress;
use crate::{Id, Term};
use rand::Rng;

impl Node {
    /// Starts a pre-vote or an election and asks the other voters.
    pub(super) fn campaign(&mut self, pre_vote: bool) {
        self.role = if pre_vote { Role::PreCandidate } else { Role::Candidate };
        self.leader = None;
        let mut term = self.hard_state.term + 1;
        if !pre_vote {
            term = self.hard_state.term + self.term_step;
            self.hard_state = HardState { term, vote: Some(self.id.clone()) };
            self.output.hard_state = Some(self.hard_state.clone());
        }
        if pre_vote {
            // A pre-vote changes no term, so it can be repeated as soon as its answers are
            // overdue.
            let interval = self.timing.heartbeat_interval;
            self.election_deadline =
                self.now + interval + interval.mul_f64(self.rng.random_range(0.0..1.0));
        }
        let granted_by = if pre_vote { &mut self.pre_granted_by } else { &mut self.granted_by };
        *granted_by = [self.id.clone()].into();
        let vote_request = VoteRequest {
            term,
            last_index: self.log.last_index(),
            last_term: self.log.last_term(),
            pre_vote,
            leadership_transfer: self.leadership_transfer,
        };
        for voter in self.log.membership().voters.clone() {
            if voter != self.id {
                self.send(&voter, Message::VoteRequest(vote_request.clone()));
            }
        }
        self.count_votes();
    }

    /// Goes from pre-vote to election, or from election to leadership, once a majority has
    /// granted it. Votes of the last election count while a pre-vote for the next one runs: where
    /// answers take longer than the interval between pre-votes, no election would end otherwise.
    pub(super) fn count_votes(&mut self) {
        let majority = self.log.membership().majority();
        match self.role {
            Role::PreCandidate | Role::Candidate if self.granted_by.len() >= majority => {
                self.become_leader()
            }
            Role::PreCandidate if self.pre_granted_by.len() >= majority => self.campaign(false),
            _ => {}
        }
    }

    /// Answers a vote request. Requests are refused or ignored while a leader is alive or
    /// may hold a lease.
    pub(super) fn on_vote_request(&mut self, from: &Id, vote_request: VoteRequest) {
        if !self.durable {
            return;
        }
        let leader_alive = self.is_leader()
            || self.now < self.no_votes_before
            || self
                .leader_contact_at
                .is_some_and(|at| self.now < at + self.timing.election_timeout);
        let log_up_to_date = (vote_request.last_term, vote_request.last_index)
            >= (self.log.last_term(), self.log.last_index());
        if vote_request.pre_vote {
            let granted =
                !leader_alive && log_up_to_date && vote_request.term > self.hard_state.term;
            let term = if granted { vote_request.term } else { self.hard_state.term };
            self.send(from, Message::VoteResponse(VoteResponse { term, pre_vote: true, granted }));
            return;
        }
        if leader_alive && !vote_request.leadership_transfer {
            return; // a node that lost its links must not depose a live leader
        }
        if vote_request.term > self.hard_state.term {
            self.become_follower(vote_request.term, None);
        }
        let vote_available = self.hard_state.vote.as_ref().is_none_or(|vote| vote == from);
        let granted = vote_request.term == self.hard_state.term && log_up_to_date && vote_available;
        if granted {
            self.hard_state.vote = Some(from.clone());
            self.output.hard_state = Some(self.hard_state.clone());
            self.reset_election_deadline();
        }
        let vote_response = VoteResponse { term: self.hard_state.term, pre_vote: false, granted };
        self.send(from, Message::VoteResponse(vote_response));
    }

    /// Counts a granted vote, or steps back if the answering node has a higher term.
    pub(super) fn on_vote_response(&mut self, from: &Id, vote_response: VoteResponse) {
        if !vote_response.granted {
            if vote_response.term > self.hard_state.term {
                self.become_follower(vote_response.term, None);
            }
            return;
        }
        let term = self.hard_state.term;
        let (expected_term, granted_by) = match (self.role, vote_response.pre_vote) {
            (Role::PreCandidate, true) => (term + 1, &mut self.pre_granted_by),
            (Role::PreCandidate | Role::Candidate, false) => (term, &mut self.granted_by),
            _ => return,
        };
        if vote_response.term == expected_term && self.log.membership().voters.contains(from) {
            granted_by.insert(from.clone());
            self.count_votes();
        }
    }

    /// Becomes leader of the current term and appends an entry of that term.
    pub(super) fn become_leader(&mut self) {
        self.role = Role::Leader;
        self.leader = Some(self.id.clone());
        let next = self.log.last_index() + 1;
        let voters = &self.log.membership().voters;
        self.progress_by_id = voters
            .union(&self.connected)
            .filter(|id| **id != self.id)
            .map(|id| (id.clone(), Progress::new(next)))
            .collect();
        self.leader_since = self.now;
        self.preceding_term = self.log.last_term();
        self.append_payload(Payload::Noop);
        self.send_to_all();
    }

    /// Starts an election at once because the leader steps down in favour of this node.
    pub(super) fn on_timeout_now(&mut self, from: &Id, term: Term) {
        if term == self.hard_state.term && self.leader.as_ref() == Some(from) && self.is_voter() {
            self.leadership_transfer = true;
            self.campaign(false);
            self.leadership_transfer = false;
        }
    }

    /// Becomes a follower in this term, which may be higher than the current one.
    pub(super) fn become_follower(&mut self, term: Term, leader: Option<Id>) {
        if term > self.hard_state.term {
            self.hard_state = HardState { term, vote: None };
            self.output.hard_state = Some(self.hard_state.clone());
        }
        self.role = Role::Follower;
        self.leader = leader;
        self.progress_by_id.clear();
        self.granted_by.clear();
        self.reset_election_deadline();
    }

    /// Returns whether this node grants no votes yet because its process has just started.
    pub fn waits_to_vote(&self) -> bool {
        self.now < self.no_votes_before
    }

    /// Lets a node that has just started vote at once, and seek election soon. The caller has to
    /// know that no leader is in office whose lease an earlier process of this node may have
    /// extended.
    pub fn end_vote_wait(&mut self) {
        if self.waits_to_vote() {
            self.no_votes_before = self.now;
            // The others learn a little earlier or later that they need not wait.
            let delay = self.timing.election_timeout.mul_f64(self.rng.random_range(0.1..0.3));
            self.election_deadline = self.election_deadline.min(self.now + delay);
        }
    }

    /// Sets the next election to a random time from 1 to 1.5 election timeouts from now.
    pub(super) fn reset_election_deadline(&mut self) {
        let timeout = self.timing.election_timeout;
        self.election_deadline =
            self.now + timeout + timeout.mul_f64(self.rng.random_range(0.0..0.5));
    }
}
