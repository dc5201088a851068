//! Which core process leads, and what to do with a request while none does.
//!
//! Answers fail-overs of a few seconds: requests wait for the next leader as long
//! as one can be expected, and are refused at once when none can.

use mesh::Standing;
use quorum::Id;
use std::collections::BTreeMap;
use std::time::Duration;

/// Time without a leader within which a fail-over ends: an election takes up to
/// 1.4 s. Without one by then, this process is cut off or the core is down.
const FAIL_OVER: Duration = Duration::from_millis(2000);

/// What to do with a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Advice {
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
/// use edge::leaders::{Advice, Leaders};
/// use std::time::Duration;
/// let leaders = Leaders::new(Duration::ZERO);
/// assert_eq!(leaders.advice(Duration::from_secs(1)), Advice::Wait);
/// assert_eq!(leaders.advice(Duration::from_secs(9)), Advice::Refuse);
/// ```
#[derive(Clone, Debug)]
pub struct Leaders {
    standings: BTreeMap<Id, Standing>,
    missing: Option<Duration>,
}

impl Leaders {
    /// None is known.
    pub fn new(now: Duration) -> Leaders {
        Leaders { standings: BTreeMap::new(), missing: Some(now) }
    }

    /// Takes in where a core process stands.
    pub fn stands(&mut self, now: Duration, id: Id, standing: Standing) {
        self.standings.insert(id, standing);
        self.note(now);
    }

    /// Takes in that a core process is linked no more.
    pub fn lost(&mut self, now: Duration, id: &Id) {
        self.standings.remove(id);
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
        let term = self.standings.values().map(|standing| standing.term).max()?;
        let newest = self.standings.iter().filter(|(_, standing)| standing.term == term);
        let leads = newest.clone().find(|(_, standing)| standing.leads).map(|(id, _)| id);
        let follows = |(id, standing): &(&Id, &Standing)| {
            let linked = |leader: &Id| self.standings.contains_key(leader);
            standing.leader.as_ref().is_some_and(|leader| leader != *id && !linked(leader))
        };
        leads.or_else(|| newest.clone().find(follows).map(|(id, _)| id))
    }

    /// Whether a configuration is in force.
    pub fn is_configured(&self) -> bool {
        self.standings.values().any(|standing| standing.configured)
    }

    /// What to do with a request at present.
    pub fn advice(&self, now: Duration) -> Advice {
        match (self.leader(), self.missing) {
            (Some(leader), _) => Advice::Send(leader.name.clone()),
            (None, Some(since)) if now >= since + FAIL_OVER => Advice::Refuse,
            (None, _) => Advice::Wait,
        }
    }

    /// Whether clients should be sent here.
    pub fn is_ready(&self, now: Duration) -> bool {
        self.is_configured() && self.advice(now) != Advice::Refuse
    }
}
