//! The attempts to get a reply for one request: where it is sent next, and what it comes to.
//!
//! Answers the load of a leader that is slow, that is replaced, or whose replies do not arrive.
//! A reply counts whichever attempt brings it, so a slow leader is not asked again for what it is
//! about to answer; an attempt without a reply does not keep the request from the next leader.

use crate::leaders::{Action, Leaders};
use mesh::Reply;
use mesh::frame::RequestId;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::time::Duration;

/// Pause after the first refusal before a request is sent again; it doubles with each refusal.
const RETRY_INTERVAL: Duration = Duration::from_millis(25);
/// Longest pause: requests that wait must not be most of the load of a core that is behind.
const MAX_RETRY_INTERVAL: Duration = Duration::from_millis(400);
/// How often a request that waits for a leader or in a pause looks whether there is a new one.
const LEADER_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Time after which a request without a reply is sent again, on another route if there is one; a
/// disk sync and a round trip take about a tenth of it.
const REPLY_TIMEOUT: Duration = Duration::from_millis(1200);

/// What happens next with a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Send it to the core process of this name.
    Send(String),
    /// Wait for a reply or a change of leader, at most until this time.
    Wait(Duration),
    /// Give up for this reason.
    GiveUp(&'static str),
}

/// An attempt that has no reply yet.
#[derive(Clone, Debug)]
struct Attempt {
    peer: String,
    sent_at: Duration,
}

/// The attempts of one request.
///
/// ```
/// use edge::attempts::{Attempts, Step};
/// use edge::Leaders;
/// use std::time::Duration;
/// let leaders = Leaders::new(Duration::ZERO);
/// let mut attempts = Attempts::new(false, Duration::from_secs(3));
/// assert!(matches!(attempts.next(Duration::from_secs(1), &leaders), Step::Wait(_)));
/// assert_eq!(attempts.next(Duration::from_secs(2), &leaders), Step::GiveUp("no leader is known"));
/// ```
#[derive(Clone, Debug)]
pub struct Attempts {
    is_write: bool,
    deadline: Duration,
    waiting: BTreeMap<RequestId, Attempt>,
    /// The leader, or the follower that stands for it, as of the last look.
    route: Option<String>,
    /// The request is not sent on this route before this time.
    paused_until: Duration,
    /// Pause after the next refusal.
    retry_interval: Duration,
    /// Processes that have refused the request since all were tried.
    refused_by: BTreeSet<String>,
    /// An attempt ended without saying whether the request was carried out.
    is_doubtful: bool,
    sent: u32,
    refused: u32,
    lost: u32,
    /// Process and reason of the last attempt that brought no reply.
    last_failure: Option<(String, String)>,
}

impl Attempts {
    /// Starts without an attempt. `is_write` is whether carrying out the request changes anything.
    pub fn new(is_write: bool, deadline: Duration) -> Attempts {
        Attempts {
            is_write,
            deadline,
            waiting: BTreeMap::new(),
            route: None,
            paused_until: Duration::ZERO,
            retry_interval: RETRY_INTERVAL,
            refused_by: BTreeSet::new(),
            is_doubtful: false,
            sent: 0,
            refused: 0,
            lost: 0,
            last_failure: None,
        }
    }

    /// Returns what happens next at time `now`.
    pub fn next(&mut self, now: Duration, leaders: &Leaders) -> Step {
        if now >= self.deadline {
            return Step::GiveUp("no reply before the deadline");
        }
        let action = leaders.action(now);
        if let Action::Send(leader) = &action {
            self.follow_route(leader);
            if now < self.paused_until {
                return self.wait_until(self.paused_until.min(now + LEADER_CHECK_INTERVAL));
            }
        }
        let newest = self.waiting.values().map(|attempt| attempt.sent_at).max();
        match (action, newest) {
            (Action::Refuse, None) => Step::GiveUp("no leader is known"),
            (Action::Wait, None) => self.wait_until(now + LEADER_CHECK_INTERVAL),
            (Action::Send(leader), None) => self.send(leaders, leader),
            (Action::Send(leader), Some(_))
                if leaders.leads(&leader) && !self.waits_for(&leader) =>
            {
                Step::Send(leader)
            }
            (Action::Send(leader), Some(sent_at)) if now >= sent_at + REPLY_TIMEOUT => {
                self.send(leaders, leader)
            }
            (_, Some(sent_at)) => {
                let retry_at = sent_at + REPLY_TIMEOUT;
                self.wait_until(if retry_at > now { retry_at } else { now + LEADER_CHECK_INTERVAL })
            }
        }
    }

    /// Ends the pause if the request goes another way than before.
    fn follow_route(&mut self, leader: &str) {
        if self.route.as_deref() != Some(leader) {
            self.route = Some(leader.to_string());
            self.paused_until = Duration::ZERO;
            self.retry_interval = RETRY_INTERVAL;
        }
    }

    fn wait_until(&self, at: Duration) -> Step {
        Step::Wait(at.min(self.deadline))
    }

    fn waits_for(&self, process: &str) -> bool {
        self.waiting.values().any(|attempt| attempt.peer == process)
    }

    /// Sends the request to the leader, or through a follower if it has the request already or is
    /// not linked.
    fn send(&mut self, leaders: &Leaders, leader: String) -> Step {
        if leaders.leads(&leader) && !self.waits_for(&leader) {
            return Step::Send(leader);
        }
        let is_usable = |name: &&str| !self.waits_for(name) && !self.refused_by.contains(*name);
        let follower = leaders.followers().into_iter().find(is_usable).map(str::to_string);
        if follower.is_none() {
            self.refused_by.clear();
        }
        Step::Send(follower.unwrap_or(leader))
    }

    /// Records that the request was sent to a process.
    pub fn record_sent(&mut self, now: Duration, id: RequestId, peer: &str) {
        self.sent += 1;
        self.waiting.insert(id, Attempt { peer: peer.to_string(), sent_at: now });
    }

    /// Records that there is no link to a process.
    pub fn record_unlinked(&mut self, now: Duration, peer: &str) {
        self.record_refusal(now, peer.to_string(), "no link".to_string());
    }

    /// Records a reply, and returns it if it settles the request.
    pub fn record_reply(&mut self, now: Duration, id: RequestId, reply: Reply) -> Option<Reply> {
        let attempt = self.waiting.remove(&id)?;
        match reply {
            Reply::NotTaken(reason) => {
                self.record_refusal(now, attempt.peer, reason);
                None
            }
            Reply::Unknown(reason) => {
                self.is_doubtful = true;
                self.record_refusal(now, attempt.peer, reason);
                None
            }
            reply => Some(settle(reply, self.may_have_executed())),
        }
    }

    fn record_refusal(&mut self, now: Duration, peer: String, reason: String) {
        self.refused += 1;
        self.pause(now);
        self.refused_by.insert(peer.clone());
        self.last_failure = Some((peer, reason));
    }

    /// Sends the request no more for a while.
    pub fn pause(&mut self, now: Duration) {
        self.paused_until = now + self.retry_interval;
        self.retry_interval = (self.retry_interval * 2).min(MAX_RETRY_INTERVAL);
    }

    /// Records that the link was lost on which an attempt was sent.
    pub fn record_lost(&mut self, id: RequestId) {
        let Some(attempt) = self.waiting.remove(&id) else { return };
        self.lost += 1;
        self.is_doubtful = true;
        self.last_failure = Some((attempt.peer, "the link was lost".to_string()));
    }

    /// Returns the reply for a request that is given up.
    pub fn give_up(&self, reason: &str) -> Reply {
        if self.may_have_executed() {
            Reply::Unknown(reason.to_string())
        } else {
            Reply::NotTaken(reason.to_string())
        }
    }

    /// Whether an attempt without a reply may have changed something.
    fn may_have_executed(&self) -> bool {
        self.is_write && (self.is_doubtful || !self.waiting.is_empty())
    }

    /// Returns the numbers of the attempts that have no reply yet.
    pub fn waiting(&self) -> impl Iterator<Item = RequestId> {
        self.waiting.keys().copied()
    }

    /// Whether an attempt has no reply yet.
    pub fn is_waiting(&self) -> bool {
        !self.waiting.is_empty()
    }

    /// Returns how often the request was sent.
    pub fn count(&self) -> u32 {
        self.sent
    }

    /// Describes the attempts for the log.
    pub fn summary(&self, now: Duration) -> Summary<'_> {
        Summary { attempts: self, now }
    }
}

/// Attempts as fields of a log line.
pub struct Summary<'a> {
    attempts: &'a Attempts,
    now: Duration,
}

impl fmt::Display for Summary<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Attempts { sent, refused, lost, waiting, last_failure, .. } = self.attempts;
        write!(f, "sent={sent} refused={refused} lost={lost}")?;
        for attempt in waiting.values() {
            let age = self.now.saturating_sub(attempt.sent_at);
            write!(f, " waits_for={} age_ms={}", attempt.peer, age.as_millis())?;
        }
        match last_failure {
            Some((peer, reason)) => write!(f, " last_failure={peer} reason={reason:?}"),
            None => Ok(()),
        }
    }
}

/// Returns the leader's reply as the client may be told it. A refusal says that the request was not
/// carried out, which is not known if an earlier attempt of a write had no answer.
///
/// ```
/// use mesh::Reply;
/// let refusal = Reply::Unauthorized("key 0a1b2c3d is not known".to_string());
/// assert_eq!(edge::attempts::settle(refusal.clone(), false), refusal);
/// assert!(matches!(edge::attempts::settle(refusal, true), Reply::Unknown(_)));
/// assert_eq!(edge::attempts::settle(Reply::Done, true), Reply::Done);
/// ```
pub fn settle(reply: Reply, has_unanswered_attempt: bool) -> Reply {
    match reply {
        Reply::Overloaded { reason, .. } | Reply::Unauthorized(reason)
            if has_unanswered_attempt =>
        {
            Reply::Unknown(reason)
        }
        Reply::NoQueue if has_unanswered_attempt => {
            Reply::Unknown("the queue is no longer configured".to_string())
        }
        reply => reply,
    }
}
