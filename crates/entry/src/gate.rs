//! Admission: a slot at once, or a place in the pool's queue until one is free.

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

/// Result of asking for a slot.
pub type Result<T> = std::result::Result<T, Refusal>;

/// Who asks for a slot, and until when.
#[derive(Clone, Debug)]
pub struct Request {
    /// Pool that serves the request.
    pub pool: PoolId,
    /// How urgent it is.
    pub class: Class,
    /// Team that it counts for; empty for none.
    pub team: TeamId,
    /// When its caller stops waiting, on the monotonic clock.
    pub deadline: Duration,
}

/// Waiting requests of one pool.
#[derive(Default)]
struct Lane {
    queue: Mutex<Line>,
    /// Length of the queue, to see without the lock that nobody waits.
    waiting: AtomicUsize,
    /// Observed time that a request holds a slot, in microseconds.
    service_time: AtomicU64,
}

#[derive(Default)]
struct Line {
    queue: Queue,
    callers: BTreeMap<TicketId, Caller>,
}

struct Caller {
    tried: Vec<InstanceId>,
    start: Sender<Result<Permit>>,
}

/// A caller that starts, or whose request can't run any more.
struct Start {
    to: Sender<Result<Permit>>,
    permit: Result<Permit>,
}

/// Gives out the slots of all pools.
pub struct Gate {
    clock: Arc<dyn Clock>,
    table: Arc<ArcSwap<Table>>,
    lanes: ArcSwap<BTreeMap<PoolId, Arc<Lane>>>,
    /// Requests of each team that hold a slot; teams come and go with records.
    teams: ArcSwap<BTreeMap<TeamId, Arc<AtomicUsize>>>,
    next: AtomicU64,
}

/// A slot that is held until this value is dropped; the next in the queue then
/// gets it.
pub struct Permit {
    slot: Option<Slot>,
    gate: Arc<Gate>,
    pool: PoolId,
    team: Option<Arc<AtomicUsize>>,
}

impl Permit {
    /// Where the request goes.
    pub fn target(&self) -> &route::table::Target {
        &self.slot.as_ref().expect("held until dropped").target
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.slot = None;
        self.gate.start_waiting_in(&self.pool);
        if let Some(team) = self.team.take() {
            team.fetch_sub(1, Ordering::AcqRel);
            self.gate.start_waiting(); // the team may wait for another pool
        }
    }
}

/// Takes a caller that no longer waits out of the queue.
struct Place<'a> {
    lane: &'a Lane,
    id: TicketId,
}

impl Drop for Place<'_> {
    fn drop(&mut self) {
        let mut line = self.lane.lock();
        if line.callers.remove(&self.id).is_some() {
            line.queue.cancel(self.id);
        }
        self.lane.count(&line);
    }
}

impl Lane {
    fn lock(&self) -> MutexGuard<'_, Line> {
        self.queue.lock().expect("no holder panics")
    }

    fn count(&self, line: &Line) {
        self.waiting.store(line.queue.len(), Ordering::Release);
    }

    /// Moves the observed service time an eighth of the way.
    fn record_service_time(&self, elapsed: Duration) {
        let new = elapsed.as_micros() as u64;
        let smooth = |old: u64| Some(if old == 0 { new } else { (old * 7 + new) / 8 });
        let _ = self.service_time.fetch_update(Ordering::AcqRel, Ordering::Acquire, smooth);
    }

    fn service_time(&self) -> Duration {
        Duration::from_micros(self.service_time.load(Ordering::Acquire))
    }
}

impl Gate {
    /// A gate over the routing table in use.
    pub fn new(clock: Arc<dyn Clock>, table: Arc<ArcSwap<Table>>) -> Gate {
        Gate {
            clock,
            table,
            lanes: ArcSwap::default(),
            teams: ArcSwap::default(),
            next: AtomicU64::new(0),
        }
    }

    /// Takes in a new routing table; those who wait may start on it.
    pub fn reload_table(self: &Arc<Self>) {
        let table = self.table.load_full();
        let lanes = self.lanes.load();
        let lane = |pool: &PoolId| (pool.clone(), lanes.get(pool).cloned().unwrap_or_default());
        self.lanes.store(Arc::new(table.pools.keys().map(lane).collect()));
        let teams = self.teams.load();
        let team = |team: &TeamId| (team.clone(), teams.get(team).cloned().unwrap_or_default());
        self.teams.store(Arc::new(table.teams.keys().map(team).collect()));
        self.start_waiting();
    }

    /// Starts waiting requests of every pool; call it now and then, since the end
    /// of a quarantine wakes nobody.
    pub fn start_waiting(self: &Arc<Self>) {
        for (pool, lane) in self.lanes.load().iter() {
            if lane.waiting.load(Ordering::Acquire) > 0 {
                self.start_waiting_in(pool);
            }
        }
    }

    /// Requests that wait, by pool.
    pub fn waiting(&self) -> BTreeMap<PoolId, usize> {
        let lanes = self.lanes.load();
        let count = |(pool, lane): (&PoolId, &Arc<Lane>)| {
            (pool.clone(), lane.waiting.load(Ordering::Acquire))
        };
        lanes.iter().map(count).collect()
    }

    /// A slot of the pool: at once if one is free and nobody waits, else when the
    /// queue comes to it. Targets in `tried` are passed over.
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
        let lane = self.lanes.load().get(&request.pool).cloned();
        let Some(lane) = lane else {
            return Err(Refusal::new(Reason::NotReady, "the pool is being set up"));
        };
        if lane.waiting.load(Ordering::Acquire) == 0 && self.may_start(&table, &request.team) {
            match self.hold(&table, &request.pool, &request.team, tried, &mut rand::rng()) {
                Err(refusal) if refusal.reason == Reason::Busy => {}
                other => return other,
            }
        }
        let slots = pool.slots();
        drop(table);
        self.wait(&lane, request, tried, slots).await
    }

    async fn wait(
        self: &Arc<Self>,
        lane: &Lane,
        request: &Request,
        tried: &[InstanceId],
        slots: u32,
    ) -> Result<Permit> {
        let now = self.clock.now();
        let id = self.next.fetch_add(1, Ordering::Relaxed);
        let weight = self.table.load().teams.get(&request.team).map_or(1, |team| team.weight);
        let ticket = Ticket {
            id,
            class: request.class,
            team: request.team.clone(),
            weight,
            deadline: request.deadline,
        };
        let (start, started) = bounded(1);
        let place = Place { lane, id };
        {
            let mut line = lane.lock();
            line.queue.push(now, ticket, Capacity { slots, service_time: lane.service_time() })?;
            line.callers.insert(id, Caller { tried: tried.to_vec(), start });
            lane.count(&line);
        }
        self.start_waiting_in(&request.pool); // a slot may have been freed since it was tried
        let permit = timeout(request.deadline.saturating_sub(now), started.recv()).await;
        drop(place);
        match permit {
            Ok(Ok(permit)) => permit,
            _ => started.try_recv().unwrap_or_else(|_| {
                let detail = "no slot was free before the deadline";
                Err(Refusal::new(Reason::Deadline, detail))
            }),
        }
    }

    /// Takes in how long a request took that was answered.
    pub fn record_service_time(&self, pool: &str, took: Duration) {
        if let Some(lane) = self.lanes.load().get(pool) {
            lane.record_service_time(took);
        }
    }

    /// Observed time of a request of the pool; zero before the first answer.
    pub fn service_time(&self, pool: &str) -> Duration {
        self.lanes.load().get(pool).map_or(Duration::ZERO, |lane| lane.service_time())
    }

    /// Starts waiting requests while there are slots for them.
    fn start_waiting_in(self: &Arc<Self>, pool: &PoolId) {
        let Some(lane) = self.lanes.load().get(pool).cloned() else { return };
        while lane.waiting.load(Ordering::Acquire) > 0 {
            let table = self.table.load_full();
            self.refuse_late(&lane);
            let Some(start) = self.start_next(&table, &lane, pool) else { return };
            // Outside of the lock: a caller that has gone gives its slot back.
            let _ = start.to.try_send(start.permit);
        }
    }

    /// Answers those at once who could no longer be served in time.
    fn refuse_late(&self, lane: &Lane) {
        let mut line = lane.lock();
        let late = line.queue.expire(self.clock.now(), lane.service_time());
        for id in late {
            let Some(caller) = line.callers.remove(&id) else { continue };
            let detail = "no slot was free in time";
            let _ = caller.start.try_send(Err(Refusal::new(Reason::Deadline, detail)));
        }
        lane.count(&line);
    }

    fn start_next(self: &Arc<Self>, table: &Table, lane: &Lane, pool: &PoolId) -> Option<Start> {
        let mut line = lane.lock();
        let start = loop {
            let Some(ticket) = line.queue.pop(|team| self.may_start(table, team)) else {
                break None;
            };
            let Some(caller) = line.callers.remove(&ticket.id) else { continue };
            let permit = self.hold(table, pool, &ticket.team, &caller.tried, &mut rand::rng());
            match permit {
                Err(refusal) if refusal.reason == Reason::Busy => {
                    line.callers.insert(ticket.id, caller);
                    line.queue.put_back(ticket);
                    break None;
                }
                permit => break Some(Start { to: caller.start, permit }),
            }
        };
        lane.count(&line);
        start
    }

    fn may_start(&self, table: &Table, team: &TeamId) -> bool {
        let Some(limits) = table.teams.get(team) else { return true };
        let in_flight = self.teams.load().get(team).map_or(0, |c| c.load(Ordering::Acquire));
        in_flight < limits.quota_share as usize
    }

    fn hold(
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
