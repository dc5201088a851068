//! Proposals of this process and of peers: proposed on the leader, forwarded to it
//! from elsewhere, and answered once their outcome is known.

use super::{Agreement, ForwardedProposal, PendingProposal, Waiter, encode, id_of};
use async_std::channel::Sender;
use fleet::Command;
use quorum::{Id, Index};
use std::time::Duration;
use wire::Frame;
use wire::frame::{Answer, Propose, ProposeReply, RequestId};

impl Agreement {
    /// Proposes a command of this process, directly or through the leader.
    pub(super) fn propose(&mut self, now: Duration, command: Command, reply: Sender<Answer>) {
        match self.node.propose(now, encode(&command)) {
            Ok(index) => {
                let pending =
                    PendingProposal { term: self.node.term(), waiter: Waiter::Local(reply) };
                self.pending_proposals.insert(index, pending);
            }
            Err(quorum::Error::NotLeader { leader: Some(leader) }) => {
                self.forward(leader, command, reply);
            }
            Err(error) => {
                let _ = reply.try_send(Answer::NotTaken(format!("{error}, and none is known")));
            }
        }
    }

    /// Forwards a command to the leader.
    pub(super) fn forward(&mut self, leader: Id, command: Command, reply: Sender<Answer>) {
        if !self.environment.peers().iter().any(|peer| id_of(peer) == leader) {
            let reason = format!("no connection to the leader, entry {}", leader.name);
            let _ = reply.try_send(Answer::NotTaken(reason));
            return;
        }
        self.last_request_id += 1;
        let id = self.last_request_id;
        self.environment.send(&leader, Frame::Propose(Propose { id, command }));
        self.forwarded_proposals.retain(|_, forwarded| !forwarded.reply.is_closed());
        self.forwarded_proposals.insert(id, ForwardedProposal { leader, reply });
    }

    /// Answers a forwarded proposal; does nothing if it was answered before.
    pub(super) fn complete_forwarded(&mut self, id: RequestId, answer: Answer) {
        if let Some(forwarded) = self.forwarded_proposals.remove(&id) {
            let _ = forwarded.reply.try_send(answer);
        }
    }

    /// Proposes a command that a peer forwarded.
    pub(super) fn propose_for_peer(&mut self, now: Duration, from: Id, propose: Propose) {
        let waiter = Waiter::Remote(from, propose.id);
        match self.node.propose(now, encode(&propose.command)) {
            Ok(index) => {
                self.pending_proposals
                    .insert(index, PendingProposal { term: self.node.term(), waiter });
            }
            Err(error) => self.answer(waiter, Answer::NotTaken(error.to_string())),
        }
    }

    /// Sends the answer to the task or peer that made the proposal.
    pub(super) fn answer(&self, waiter: Waiter, answer: Answer) {
        match waiter {
            Waiter::Local(reply) => {
                let _ = reply.try_send(answer);
            }
            Waiter::Remote(to, id) => {
                self.environment.send(&to, Frame::ProposeReply(ProposeReply { id, answer }));
            }
        }
    }

    /// Answers the pending proposals of an earlier leadership: their outcome is unknown,
    /// since they may still commit under the next leader.
    pub(super) fn fail_lost_proposals(&mut self) {
        let lost_leadership = !self.node.is_leader();
        let term = self.node.term();
        let indexes: Vec<Index> = self
            .pending_proposals
            .iter()
            .filter(|(_, pending)| lost_leadership || pending.term != term)
            .map(|(index, _)| *index)
            .collect();
        for index in indexes {
            let Some(pending) = self.pending_proposals.remove(&index) else { continue };
            let reason = "the leader lost its lead; resend with the same submission id";
            self.answer(pending.waiter, Answer::Unknown(reason.to_string()));
        }
    }
}
