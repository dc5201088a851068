//! Tracks which core process is the leader, and decides what happens to a request
//! while there is none.
//!
//! During a failover, requests wait for the next leader. Once the failover takes longer
//! than an election can, they are refused at once.

use mesh::Status;
use quorum::Id;
use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::time::Duration;

/// How long requests wait for a new leader. An election takes up to 1.4 s; without a
/// leader by then, this process is partitioned from the core or the core is down.
const MAX_FAILOVER: Duration = Duration::from_millis(2000);

/// What to do with a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send it to the core process of this name.
    Send(String),
    /// Wait: a leader is expected soon.
    Wait,
    /// Refuse it: no leader is expected soon.
    Refuse,
}

/// The last status of each core process that is linked.
///
/// ```
/// use edge::leaders::{Action, Leaders};
/// use std::time::Duration;
/// let leaders = Leaders::new(Duration::ZERO);
/// assert_eq!(leaders.action(Duration::from_secs(1)), Action::Wait);
/// assert_eq!(leaders.action(Duration::from_secs(9)), Action::Refuse);
/// ```
#[derive(Clone, Debug)]
pub struct Leaders {
    statuses: BTreeMap<Id, Status>,
    /// Since when no leader is known; `None` while one is.
    leaderless_since: Option<Duration>,
}

impl Leaders {
    /// Starts without a known leader.
    pub fn new(now: Duration) -> Leaders {
        Leaders { statuses: BTreeMap::new(), leaderless_since: Some(now) }
    }

    /// Records the status of a core process.
    pub fn record_status(&mut self, now: Duration, id: Id, status: Status) {
        self.statuses.insert(id, status);
        self.update_leaderless_since(now);
    }

    /// Removes a core process whose last link was lost.
    pub fn record_link_lost(&mut self, now: Duration, id: &Id) {
        self.statuses.remove(id);
        self.update_leaderless_since(now);
    }

    fn update_leaderless_since(&mut self, now: Duration) {
        self.leaderless_since = match self.leader() {
            Some(_) => None,
            None => self.leaderless_since.or(Some(now)),
        };
    }

    /// Returns the leader of the highest term that has one. Without a link to it, returns a
    /// follower of that term, which forwards requests to it.
    pub fn leader(&self) -> Option<&Id> {
        // A process that is cut off from the leader may be of a higher term, without a leader.
        let knows_leader = |status: &&Status| status.is_leader || status.leader.is_some();
        let term = self.statuses.values().filter(knows_leader).map(|status| status.term).max()?;
        let of_highest_term = self.statuses.iter().filter(|(_, status)| status.term == term);
        let leader = of_highest_term.clone().find(|(_, status)| status.is_leader).map(|(id, _)| id);
        let follows_unlinked_leader = |(id, status): &(&Id, &Status)| {
            let is_linked = |leader: &Id| self.statuses.contains_key(leader);
            status.leader.as_ref().is_some_and(|leader| leader != *id && !is_linked(leader))
        };
        leader.or_else(|| of_highest_term.clone().find(follows_unlinked_leader).map(|(id, _)| id))
    }

    /// Returns whether the process of this name says that it leads.
    pub fn leads(&self, name: &str) -> bool {
        self.statuses.iter().any(|(id, status)| id.name == name && status.is_leader)
    }

    /// Returns the names of the processes that forward requests to a leader, those of the highest
    /// term first.
    pub fn followers(&self) -> Vec<&str> {
        let follows = |(id, status): &(&Id, &Status)| {
            status.leader.as_ref().is_some_and(|leader| leader != *id)
        };
        let mut followers: Vec<_> = self.statuses.iter().filter(follows).collect();
        followers.sort_by_key(|(_, status)| Reverse(status.term));
        followers.into_iter().map(|(id, _)| id.name.as_str()).collect()
    }

    /// Returns whether any linked core process has applied a configuration.
    pub fn is_configured(&self) -> bool {
        self.statuses.values().any(|status| status.configured)
    }

    /// Returns what to do with a request at time `now`.
    pub fn action(&self, now: Duration) -> Action {
        match (self.leader(), self.leaderless_since) {
            (Some(leader), _) => Action::Send(leader.name.clone()),
            (None, Some(since)) if now >= since + MAX_FAILOVER => Action::Refuse,
            (None, _) => Action::Wait,
        }
    }

    /// Returns whether the load balancer should send clients to this process: it stays
    /// ready during a failover.
    pub fn is_ready(&self, now: Duration) -> bool {
        self.is_configured() && self.action(now) != Action::Refuse
    }
}
