//! The policy service of queue `r`: it handles one call after the other, also one whose caller has
//! given up.

use super::World;
use sched::order::{Advise, Answer};
use sched::scheduler::AdviseReply;
use std::time::Duration;

#[derive(Debug, Default)]
pub struct Policy {
    /// Time that the service needs for a call.
    pub decision: Duration,
    /// When the service has handled all calls.
    pub idle_at: Duration,
    /// Answers, and ends of the wait for one, each with the time when it is due.
    replies: Vec<(Duration, AdviseReply)>,
    /// Calls whose answer came after the end of the wait.
    pub given_up: usize,
}

impl World {
    pub(super) fn advise(&mut self, advise: Advise) {
        self.advise_calls += 1;
        let answered_at = self.policy.idle_at.max(self.now) + self.policy.decision;
        self.policy.idle_at = answered_at;
        let given_up_at = self.now + advise.timeout;
        let allowed = self.allowed.iter().map(|id| (id.clone(), format!("for {id}")));
        let answer = match answered_at <= given_up_at {
            true => Answer::Done(allowed.collect()),
            false => Answer::Unknown,
        };
        self.policy.given_up += usize::from(answered_at > given_up_at);
        let reply = AdviseReply { step: advise.step, workers: advise.workers, answer };
        self.policy.replies.push((answered_at.min(given_up_at), reply));
        self.deliver_advice();
    }

    pub(super) fn deliver_advice(&mut self) {
        let (now, time) = (self.now, self.time());
        let due = self.policy.replies.extract_if(.., |(at, _)| *at <= now);
        for (_, reply) in due.collect::<Vec<_>>() {
            self.scheduler.on_advise_reply(time, &self.ledger, reply);
        }
    }
}
