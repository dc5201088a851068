//! Admission control: a request gets a slot on a target at once, or waits in its
//! pool's queue until one is free.
//!
//! A request is refused as soon as it can no longer be served before its deadline.

use crate::clock::Clock;
use arc_swap::ArcSwap;
use async_std::channel::{Sender, bounded};
use async_std::future::timeout;
use rand::Rng;
use record::{InstanceId, PoolId, TeamId};
use route::Table;
use route::outcome::{Reason, Refusal};
use route::queue::{Capacity, Class, Queue, Ticket, TicketId};
use route::table::Slot;
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

/// Result of acquiring a slot.
pub type Result<T> = std::result::Result<T, Refusal>;

/// Parameters of a request for a slot.
#[derive(Clone, Debug)]
pub struct Request {
    /// Pool whose targets serve the request.
    pub pool: PoolId,
    /// Priority class.
    pub class: Class,
    /// Team whose quota the request counts against; empty for none.
    pub team: TeamId,
    /// When its caller stops waiting, on the monotonic clock.
    pub deadline: Duration,
}

/// Queue and service time of one pool.
#[derive(Default)]
struct PoolQueue {
    waiters: Mutex<Waiters>,
    /// Length of the queue, readable without the lock.
    waiting: AtomicUsize,
    /// Moving average of the service time; 0 before the first answer.
    service_time_us: AtomicU64,
}

/// Requests that wait for a slot of one pool.
#[derive(Default)]
struct Waiters {
    queue: Queue,
    by_ticket: BTreeMap<TicketId, Waiter>,
}

struct Waiter {
    /// Instances that this request must not be sent to again.
    tried: Vec<InstanceId>,
    reply: Sender<Result<Permit>>,
}

/// Result for a waiter that has left the queue.
struct Admission {
    reply: Sender<Result<Permit>>,
    permit: Result<Permit>,
}

/// Hands out the slots of all pools.
pub struct Gate {
    clock: Arc<dyn Clock>,
    table: Arc<ArcSwap<Table>>,
    pool_queues: ArcSwap<BTreeMap<PoolId, Arc<PoolQueue>>>,
    /// Number of requests of each team that hold a slot. Teams are added and removed
    /// with each new routing table.
    teams: ArcSwap<BTreeMap<TeamId, Arc<AtomicUsize>>>,
    next_ticket: AtomicU64,
}

/// A slot on a target. Dropping it frees the slot for the next waiting request.
pub struct Permit {
    slot: Option<Slot>,
    gate: Arc<Gate>,
    pool: PoolId,
    team: Option<Arc<AtomicUsize>>,
}

impl Permit {
    /// Returns the target of the slot.
    pub fn target(&self) -> &route::table::Target {
        &self.slot.as_ref().expect("present until dropped").target
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.slot = None;
        self.gate.admit_waiting_in(&self.pool);
        if let Some(team) = self.team.take() {
            team.fetch_sub(1, Ordering::AcqRel);
            self.gate.admit_waiting(); // the team may have requests waiting in other pools
        }
    }
}

/// Removes a request from the queue when its caller stops waiting.
struct QueueGuard<'a> {
    pool_queue: &'a PoolQueue,
    id: TicketId,
}

impl Drop for QueueGuard<'_> {
    fn drop(&mut self) {
        let mut waiters = self.pool_queue.lock();
        if waiters.by_ticket.remove(&self.id).is_some() {
            waiters.queue.cancel(self.id);
        }
        self.pool_queue.update_waiting(&waiters);
    }
}

impl PoolQueue {
    fn lock(&self) -> MutexGuard<'_, Waiters> {
        self.waiters.lock().expect("no holder panics")
    }

    fn update_waiting(&self, waiters: &Waiters) {
        self.waiting.store(waiters.queue.len(), Ordering::Release);
    }

    /// Updates the moving average, in which the newest value has a weight of 1/8.
    fn record_service_time(&self, elapsed: Duration) {
        let new = elapsed.as_micros() as u64;
        let update = |old: u64| Some(if old == 0 { new } else { (old * 7 + new) / 8 });
        let _ = self.service_time_us.fetch_update(Ordering::AcqRel, Ordering::Acquire, update);
    }

    fn service_time(&self) -> Duration {
        Duration::from_micros(self.service_time_us.load(Ordering::Acquire))
    }
}

impl Gate {
    /// Creates a gate for the targets in `table`; call [`Gate::reload_table`] whenever
    /// the table was replaced.
    pub fn new(clock: Arc<dyn Clock>, table: Arc<ArcSwap<Table>>) -> Gate {
        Gate {
            clock,
            table,
            pool_queues: ArcSwap::default(),
            teams: ArcSwap::default(),
            next_ticket: AtomicU64::new(0),
        }
    }

    /// Adds queues and teams that are new in the routing table, drops those it lacks, and
    /// admits waiting requests that now have a slot.
    pub fn reload_table(self: &Arc<Self>) {
        let table = self.table.load_full();
        let old_queues = self.pool_queues.load();
        let queue =
            |pool: &PoolId| (pool.clone(), old_queues.get(pool).cloned().unwrap_or_default());
        self.pool_queues.store(Arc::new(table.pools.keys().map(queue).collect()));
        let teams = self.teams.load();
        let team = |team: &TeamId| (team.clone(), teams.get(team).cloned().unwrap_or_default());
        self.teams.store(Arc::new(table.teams.keys().map(team).collect()));
        self.admit_waiting();
    }

    /// Admits waiting requests of every pool while there are slots for them. Must be
    /// called periodically, since the end of a target's quarantine does not call it.
    pub fn admit_waiting(self: &Arc<Self>) {
        for (pool, pool_queue) in self.pool_queues.load().iter() {
            if pool_queue.waiting.load(Ordering::Acquire) > 0 {
                self.admit_waiting_in(pool);
            }
        }
    }

    /// Returns the number of waiting requests of each pool.
    pub fn waiting(&self) -> BTreeMap<PoolId, usize> {
        let pool_queues = self.pool_queues.load();
        let count = |(pool, pool_queue): (&PoolId, &Arc<PoolQueue>)| {
            (pool.clone(), pool_queue.waiting.load(Ordering::Acquire))
        };
        pool_queues.iter().map(count).collect()
    }

    /// Acquires a slot of the pool: at once if one is free and no request waits,
    /// otherwise through the queue. Skips the instances in `tried`. Fails when the
    /// deadline can't be met or the pool can't serve the request.
    pub async fn acquire(
        self: &Arc<Self>,
        request: &Request,
        tried: &[InstanceId],
    ) -> Result<Permit> {
        let table = self.table.load();
        let pool = table.pool(&request.pool)?;
        if !request.team.is_empty() && !table.teams.contains_key(&request.team) {
            let detail = format!("header request-team: team \"{}\" does not exist", request.team);
            return Err(Refusal::new(Reason::Invalid, detail));
        }
        let pool_queue = self.pool_queues.load().get(&request.pool).cloned();
        let Some(pool_queue) = pool_queue else {
            return Err(Refusal::new(Reason::NotReady, "the pool is being set up"));
        };
        if pool_queue.waiting.load(Ordering::Acquire) == 0
            && self.is_within_quota(&table, &request.team)
        {
            match self.take_slot(&table, &request.pool, &request.team, tried, &mut rand::rng()) {
                Err(refusal) if refusal.reason == Reason::Busy => {}
                result => return result,
            }
        }
        let slots = pool.slots();
        drop(table);
        self.wait(&pool_queue, request, tried, slots).await
    }

    /// Waits in the queue of a pool until a slot is free or the deadline has passed.
    async fn wait(
        self: &Arc<Self>,
        pool_queue: &PoolQueue,
        request: &Request,
        tried: &[InstanceId],
        slots: u32,
    ) -> Result<Permit> {
        let now = self.clock.now();
        let id = self.next_ticket.fetch_add(1, Ordering::Relaxed);
        let weight = self.table.load().teams.get(&request.team).map_or(1, |team| team.weight);
        let ticket = Ticket {
            id,
            class: request.class,
            team: request.team.clone(),
            weight,
            deadline: request.deadline,
        };
        let (reply, admitted) = bounded(1);
        let guard = QueueGuard { pool_queue, id };
        {
            let mut waiters = pool_queue.lock();
            waiters.queue.push(
                now,
                ticket,
                Capacity { slots, service_time: pool_queue.service_time() },
            )?;
            waiters.by_ticket.insert(id, Waiter { tried: tried.to_vec(), reply });
            pool_queue.update_waiting(&waiters);
        }
        // A slot may have been freed between the first attempt and the queueing.
        self.admit_waiting_in(&request.pool);
        let permit = timeout(request.deadline.saturating_sub(now), admitted.recv()).await;
        drop(guard);
        match permit {
            Ok(Ok(permit)) => permit,
            _ => admitted.try_recv().unwrap_or_else(|_| {
                let detail = "no slot was free before the deadline";
                Err(Refusal::new(Reason::Deadline, detail))
            }),
        }
    }

    /// Records how long a target took to answer a request.
    pub fn record_service_time(&self, pool: &str, elapsed: Duration) {
        if let Some(pool_queue) = self.pool_queues.load().get(pool) {
            pool_queue.record_service_time(elapsed);
        }
    }

    /// Returns the average service time of the pool; zero before the first answer.
    pub fn service_time(&self, pool: &str) -> Duration {
        self.pool_queues.load().get(pool).map_or(Duration::ZERO, |queue| queue.service_time())
    }

    /// Admits waiting requests of a pool while there are slots for them.
    fn admit_waiting_in(self: &Arc<Self>, pool: &PoolId) {
        let Some(pool_queue) = self.pool_queues.load().get(pool).cloned() else { return };
        while pool_queue.waiting.load(Ordering::Acquire) > 0 {
            let table = self.table.load_full();
            self.expire_waiters(&pool_queue);
            let Some(admission) = self.admit_next(&table, &pool_queue, pool) else { return };
            // Sent without holding the lock: if the caller has gone, dropping the permit
            // frees the slot, which takes the lock again.
            let _ = admission.reply.try_send(admission.permit);
        }
    }

    /// Refuses waiting requests that can no longer be served before their deadline.
    fn expire_waiters(&self, pool_queue: &PoolQueue) {
        let mut waiters = pool_queue.lock();
        let expired = waiters.queue.expire(self.clock.now(), pool_queue.service_time());
        for id in expired {
            let Some(waiter) = waiters.by_ticket.remove(&id) else { continue };
            let detail = "no slot was free in time";
            let _ = waiter.reply.try_send(Err(Refusal::new(Reason::Deadline, detail)));
        }
        pool_queue.update_waiting(&waiters);
    }

    /// Takes a slot for the next waiting request. Returns none if no request may start
    /// or no slot is free.
    fn admit_next(
        self: &Arc<Self>,
        table: &Table,
        pool_queue: &PoolQueue,
        pool: &PoolId,
    ) -> Option<Admission> {
        let mut waiters = pool_queue.lock();
        let admission = loop {
            let Some(ticket) = waiters.queue.pop(|team| self.is_within_quota(table, team)) else {
                break None;
            };
            let Some(waiter) = waiters.by_ticket.remove(&ticket.id) else { continue };
            let permit = self.take_slot(table, pool, &ticket.team, &waiter.tried, &mut rand::rng());
            match permit {
                Err(refusal) if refusal.reason == Reason::Busy => {
                    waiters.by_ticket.insert(ticket.id, waiter);
                    waiters.queue.put_back(ticket);
                    break None;
                }
                permit => break Some(Admission { reply: waiter.reply, permit }),
            }
        };
        pool_queue.update_waiting(&waiters);
        admission
    }

    /// Returns whether a team holds fewer slots here than this entry's share of its
    /// quota. A request without a team is not limited.
    fn is_within_quota(&self, table: &Table, team: &TeamId) -> bool {
        let Some(limits) = table.teams.get(team) else { return true };
        let in_flight = self.teams.load().get(team).map_or(0, |c| c.load(Ordering::Acquire));
        in_flight < limits.quota_share as usize
    }

    /// Takes a free slot of the pool and counts it for the team.
    fn take_slot(
        self: &Arc<Self>,
        table: &Table,
        pool: &PoolId,
        team: &TeamId,
        tried: &[InstanceId],
        rng: &mut impl Rng,
    ) -> Result<Permit> {
        let now = self.clock.now();
        let slot = table.pick(pool, tried, now, rng)?;
        let team = self.teams.load().get(team).cloned();
        if let Some(team) = &team {
            team.fetch_add(1, Ordering::AcqRel);
        }
        let (gate, pool) = (self.clone(), pool.clone());
        Ok(Permit { slot: Some(slot), gate, pool, team })
    }
}
