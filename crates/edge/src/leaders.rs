//! Which core process leads, and what to do with a request while none does.
//!
//! Answers fail-overs of a few seconds: requests wait for the next leader as long
//! as one can be expected, and are refused at once when none can.

use mesh::Status;
use quorum::Id;
use std::collections::BTreeMap;
use std::time::Duration;

/// Time without a leader within which a fail-over ends: an election takes up to
/// 1.4 s. Without one by then, this process is cut off or the core is down.
const FAIL_OVER: Duration = Duration::from_millis(2000);

/// What to do with a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send it to the leader.
    Send(String),
    /// A leader is expected soon.
    Wait,
    /// None is expected soon.
    Refuse,
}

/// Standings of the core processes that are linked.
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
    missing: Option<Duration>,
}

impl Leaders {
    /// None is known.
    pub fn new(now: Duration) -> Leaders {
        Leaders { statuses: BTreeMap::new(), missing: Some(now) }
    }

    /// Takes in where a core process stands.
    pub fn record_status(&mut self, now: Duration, id: Id, status: Status) {
        self.statuses.insert(id, status);
        self.note(now);
    }

    /// Takes in that a core process is linked no more.
    pub fn record_link_lost(&mut self, now: Duration, id: &Id) {
        self.statuses.remove(id);
        self.note(now);
    }

    fn note(&mut self, now: Duration) {
        self.missing = match self.leader() {
            Some(_) => None,
            None => self.missing.or(Some(now)),
        };
    }

    /// The process that leads the highest term; without a link to it, one that
    /// follows it and passes requests on.
    pub fn leader(&self) -> Option<&Id> {
        let term = self.statuses.values().map(|status| status.term).max()?;
        let newest = self.statuses.iter().filter(|(_, status)| status.term == term);
        let leads = newest.clone().find(|(_, status)| status.is_leader).map(|(id, _)| id);
        let follows = |(id, status): &(&Id, &Status)| {
            let linked = |leader: &Id| self.statuses.contains_key(leader);
            status.leader.as_ref().is_some_and(|leader| leader != *id && !linked(leader))
        };
        leads.or_else(|| newest.clone().find(follows).map(|(id, _)| id))
    }

    /// Whether a configuration is in force.
    pub fn is_configured(&self) -> bool {
        self.statuses.values().any(|status| status.configured)
    }

    /// What to do with a request at present.
    pub fn action(&self, now: Duration) -> Action {
        match (self.leader(), self.missing) {
            (Some(leader), _) => Action::Send(leader.name.clone()),
            (None, Some(since)) if now >= since + FAIL_OVER => Action::Refuse,
            (None, _) => Action::Wait,
        }
    }

    /// Whether clients should be sent here.
    pub fn is_ready(&self, now: Duration) -> bool {
        self.is_configured() && self.action(now) != Action::Refuse
    }
}
