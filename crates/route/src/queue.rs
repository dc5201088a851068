//! Requests of one pool that wait for a slot: bounded, by class, fair to teams.

use crate::outcome::{Reason, Refusal};
use record::TeamId;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// Result of asking for a place.
pub type Result<T> = std::result::Result<T, Refusal>;

/// Requests that may wait for one pool at one entry.
pub const MAX_WAITING: usize = 1024;
/// Every so many starts, the least urgent class that waits goes first, so that it
/// is not starved.
const STARTS_PER_TURN: u64 = 8;

/// How urgent a request is.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Class {
    /// Goes first.
    Urgent,
    /// A person waits.
    #[default]
    Interactive,
    /// Nobody waits.
    Background,
}

impl Class {
    /// Reads a class as callers write it.
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

/// Number of a waiting request.
pub type TicketId = u64;

/// A waiting request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Ticket {
    /// Its number.
    pub id: TicketId,
    /// How urgent it is.
    pub class: Class,
    /// Team that it counts for; empty for none.
    pub team: TeamId,
    /// Share of the team, relative to the others.
    pub weight: u32,
    /// When its caller stops waiting.
    pub deadline: Duration,
}

#[derive(Debug, Default)]
struct Lane {
    tickets: VecDeque<Ticket>,
    /// Starts so far, divided by the weight.
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
    classes: BTreeMap<Class, BTreeMap<TeamId, Lane>>,
    waiting: usize,
    starts: u64,
}

/// How fast the queue moves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Capacity {
    /// Slots of the pool.
    pub slots: u32,
    /// Observed time that a request holds a slot.
    pub service_time: Duration,
}

impl Queue {
    /// Number of waiting requests.
    pub fn len(&self) -> usize {
        self.waiting
    }

    /// Whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.waiting == 0
    }

    /// Gives a request a place, unless the queue is full or the request would
    /// end after its deadline at the observed pace.
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
        let least = class.values().filter(|lane| !lane.tickets.is_empty());
        let least = least.map(|lane| lane.pass).fold(f64::INFINITY, f64::min);
        let lane = class.entry(ticket.team.clone()).or_default();
        if lane.tickets.is_empty() && least.is_finite() {
            lane.pass = lane.pass.max(least); // idle time gives no credit
        }
        lane.tickets.push_back(ticket);
        self.waiting += 1;
        Ok(())
    }

    /// The request that starts next: by class, then by the team that had least
    /// for its weight. Teams that `may_start` refuses are passed over.
    pub fn pop(&mut self, may_start: impl Fn(&TeamId) -> bool) -> Option<Ticket> {
        self.starts += 1;
        let mut order: Vec<Class> = self.classes.keys().copied().collect();
        if self.starts.is_multiple_of(STARTS_PER_TURN) {
            order.reverse();
        }
        order.into_iter().find_map(|class| self.pop_class(class, &may_start))
    }

    /// Takes out the requests that could no longer end in time.
    pub fn expire(&mut self, now: Duration, service_time: Duration) -> Vec<TicketId> {
        let mut expired = Vec::new();
        for lane in self.classes.values_mut().flat_map(BTreeMap::values_mut) {
            lane.tickets.retain(|ticket| {
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

    /// Puts a request that was just popped back to the front of its lane.
    pub fn put_back(&mut self, ticket: Ticket) {
        let class = self.classes.entry(ticket.class).or_default();
        let lane = class.entry(ticket.team.clone()).or_default();
        lane.pass -= 1.0 / f64::from(ticket.weight.max(1));
        lane.tickets.push_front(ticket);
        self.waiting += 1;
    }

    /// Drops a request whose caller no longer waits.
    pub fn cancel(&mut self, id: TicketId) {
        for lane in self.classes.values_mut().flat_map(BTreeMap::values_mut) {
            let before = lane.tickets.len();
            lane.tickets.retain(|ticket| ticket.id != id);
            self.waiting -= before - lane.tickets.len();
        }
    }

    fn pop_class(&mut self, class: Class, may_start: &impl Fn(&TeamId) -> bool) -> Option<Ticket> {
        let lanes = self.classes.get_mut(&class)?;
        let ready =
            |(team, lane): &(&TeamId, &mut Lane)| !lane.tickets.is_empty() && may_start(team);
        let by_pass =
            |a: &(&TeamId, &mut Lane), b: &(&TeamId, &mut Lane)| a.1.pass.total_cmp(&b.1.pass);
        let (_, lane) = lanes.iter_mut().filter(ready).min_by(by_pass)?;
        let ticket = lane.tickets.pop_front()?;
        lane.pass += 1.0 / f64::from(ticket.weight.max(1));
        self.waiting -= 1;
        Some(ticket)
    }

    /// Time until a new request would start, by what goes before it.
    fn expected_wait(&self, ticket: &Ticket, capacity: Capacity) -> Duration {
        let before: usize = self
            .classes
            .range(..=ticket.class)
            .flat_map(|(_, lanes)| lanes.values())
            .map(|lane| lane.tickets.len())
            .sum();
        capacity.service_time * (before as u32 + 1) / capacity.slots.max(1)
    }
}
