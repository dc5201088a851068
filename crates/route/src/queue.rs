//! Queue of requests that wait for a slot of a pool. It is bounded, ordered by class,
//! and shared among teams by weighted fair queueing, so that a flood of requests from
//! one team does not starve the others.

use crate::outcome::{Reason, Refusal};
use record::TeamId;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// Result of queueing a request.
pub type Result<T> = std::result::Result<T, Refusal>;

/// Maximum number of requests that wait for one pool at one entry.
pub const MAX_WAITING: usize = 1024;
/// One call of [`Queue::pop`] in this many takes from the least urgent waiting class
/// first, so that it is not starved.
const POPS_PER_REVERSED_ORDER: u64 = 8;

/// How urgent a request is.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Class {
    /// Started before the other classes.
    Urgent,
    /// A person waits for the response.
    #[default]
    Interactive,
    /// No person waits for the response.
    Background,
}

impl Class {
    /// Parses a class from the value of the `request-class` header.
    ///
    /// ```
    /// use route::queue::Class;
    /// assert_eq!(Class::parse("urgent"), Some(Class::Urgent));
    /// assert_eq!(Class::parse("soon"), None);
    /// ```
    pub fn parse(text: &str) -> Option<Class> {
        match text {
            "urgent" => Some(Class::Urgent),
            "interactive" => Some(Class::Interactive),
            "background" => Some(Class::Background),
            _ => None,
        }
    }
}

/// Identifies a waiting request in its queue.
pub type TicketId = u64;

/// A waiting request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Ticket {
    /// Chosen by the caller of [`Queue::push`], unique in the queue.
    pub id: TicketId,
    /// Urgency class.
    pub class: Class,
    /// Team whose quota the request uses; empty for none.
    pub team: TeamId,
    /// Weight of the team, relative to the others.
    pub weight: u32,
    /// When the caller stops waiting, on the clock that is passed to the queue.
    pub deadline: Duration,
}

/// Waiting requests of one team in one class.
#[derive(Debug, Default)]
struct TeamQueue {
    tickets: VecDeque<Ticket>,
    /// Pass value of stride scheduling: starts so far divided by the weight, raised to
    /// that of the other teams after an idle time. The team with the lowest goes first.
    pass: f64,
}

/// Waiting requests of one pool.
///
/// ```
/// use route::queue::{Class, Capacity, Queue, Ticket};
/// use std::time::Duration;
/// let mut queue = Queue::default();
/// let ticket = |id, class| Ticket {
///     id, class, team: "a".into(), weight: 1, deadline: Duration::from_secs(9),
/// };
/// let capacity = Capacity { slots: 4, service_time: Duration::from_millis(20) };
/// queue.push(Duration::ZERO, ticket(1, Class::Background), capacity).unwrap();
/// queue.push(Duration::ZERO, ticket(2, Class::Urgent), capacity).unwrap();
/// assert_eq!(queue.pop(|_| true).unwrap().id, 2);
/// ```
#[derive(Debug, Default)]
pub struct Queue {
    classes: BTreeMap<Class, BTreeMap<TeamId, TeamQueue>>,
    waiting: usize,
    /// Calls of [`Queue::pop`] so far.
    pops: u64,
}

/// Capacity of a pool, from which the waiting time is estimated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Capacity {
    /// Number of slots of the pool.
    pub slots: u32,
    /// Observed time for which a request occupies a slot.
    pub service_time: Duration,
}

impl Queue {
    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        self.waiting
    }

    /// Returns whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.waiting == 0
    }

    /// Queues a request. Refuses it with [`Reason::Busy`] if the queue is full, and with
    /// [`Reason::Deadline`] if it is not expected to end before its deadline.
    pub fn push(&mut self, now: Duration, ticket: Ticket, capacity: Capacity) -> Result<()> {
        let wait = self.expected_wait(&ticket, capacity);
        if self.waiting >= MAX_WAITING {
            let detail = format!("{MAX_WAITING} requests wait already");
            return Err(Refusal { retry_after: Some(wait), ..Refusal::new(Reason::Busy, detail) });
        }
        if now + wait + capacity.service_time >= ticket.deadline {
            let detail = format!("it would wait {wait:?} and could not end in time");
            let refusal = Refusal::new(Reason::Deadline, detail);
            return Err(Refusal { retry_after: Some(wait), ..refusal });
        }
        let class = self.classes.entry(ticket.class).or_default();
        let min_pass = class.values().filter(|team| !team.tickets.is_empty());
        let min_pass = min_pass.map(|team| team.pass).fold(f64::INFINITY, f64::min);
        let team_queue = class.entry(ticket.team.clone()).or_default();
        if team_queue.tickets.is_empty() && min_pass.is_finite() {
            team_queue.pass = team_queue.pass.max(min_pass); // a team gains no priority while idle
        }
        team_queue.tickets.push_back(ticket);
        self.waiting += 1;
        Ok(())
    }

    /// Removes and returns the request that starts next: by class, then from the team
    /// with the fewest starts for its weight. Skips teams for which `may_start` returns
    /// false.
    pub fn pop(&mut self, may_start: impl Fn(&TeamId) -> bool) -> Option<Ticket> {
        self.pops += 1;
        let mut order: Vec<Class> = self.classes.keys().copied().collect();
        if self.pops.is_multiple_of(POPS_PER_REVERSED_ORDER) {
            order.reverse();
        }
        order.into_iter().find_map(|class| self.pop_class(class, &may_start))
    }

    /// Removes the requests that can no longer end before their deadline, and returns
    /// their ids.
    pub fn expire(&mut self, now: Duration, service_time: Duration) -> Vec<TicketId> {
        let mut expired = Vec::new();
        for team_queue in self.classes.values_mut().flat_map(BTreeMap::values_mut) {
            team_queue.tickets.retain(|ticket| {
                let in_time = now + service_time < ticket.deadline;
                if !in_time {
                    expired.push(ticket.id);
                }
                in_time
            });
        }
        self.waiting -= expired.len();
        expired
    }

    /// Returns a request that was just popped to the front of its team's queue.
    pub fn put_back(&mut self, ticket: Ticket) {
        let class = self.classes.entry(ticket.class).or_default();
        let team_queue = class.entry(ticket.team.clone()).or_default();
        team_queue.pass -= 1.0 / f64::from(ticket.weight.max(1));
        team_queue.tickets.push_front(ticket);
        self.waiting += 1;
    }

    /// Removes a request whose caller no longer waits.
    pub fn cancel(&mut self, id: TicketId) {
        for team_queue in self.classes.values_mut().flat_map(BTreeMap::values_mut) {
            let before = team_queue.tickets.len();
            team_queue.tickets.retain(|ticket| ticket.id != id);
            self.waiting -= before - team_queue.tickets.len();
        }
    }

    /// Removes and returns the next request of one class.
    fn pop_class(&mut self, class: Class, may_start: &impl Fn(&TeamId) -> bool) -> Option<Ticket> {
        let teams = self.classes.get_mut(&class)?;
        let ready = |(team, team_queue): &(&TeamId, &mut TeamQueue)| {
            !team_queue.tickets.is_empty() && may_start(team)
        };
        let by_pass = |a: &(&TeamId, &mut TeamQueue), b: &(&TeamId, &mut TeamQueue)| {
            a.1.pass.total_cmp(&b.1.pass)
        };
        let (_, team_queue) = teams.iter_mut().filter(ready).min_by(by_pass)?;
        let ticket = team_queue.tickets.pop_front()?;
        team_queue.pass += 1.0 / f64::from(ticket.weight.max(1));
        self.waiting -= 1;
        Some(ticket)
    }

    /// Estimates the time until a new request would start, from the number of waiting
    /// requests of its class and the more urgent ones.
    fn expected_wait(&self, ticket: &Ticket, capacity: Capacity) -> Duration {
        let ahead: usize = self
            .classes
            .range(..=ticket.class)
            .flat_map(|(_, teams)| teams.values())
            .map(|team_queue| team_queue.tickets.len())
            .sum();
        capacity.service_time * (ahead as u32 + 1) / capacity.slots.max(1)
    }
}
