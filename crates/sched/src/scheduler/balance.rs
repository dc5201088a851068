//! Which machines serve which pool.
//!
//! Answers queues that surge by turns, each beyond what its pool holds: idle
//! machines follow the work, and those that no pool needs are parked in a standby
//! pool, where they cost nothing. Only machines without any run are moved, since a
//! move ends what runs.

use super::{MoveReply, Scheduler, Time};
use crate::instance::State;
use crate::order::{Answer, Move, Order, Refusal};
use crate::rank::{Class, remaining_work};
use crate::worker::Worker;
use jobs::command::{Command, MoveChange};
use jobs::{InstanceId, JobNumber, Ledger, PoolName, StepKey};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

/// Span over which the rate of arriving work is measured: the first jobs of a
/// surge have to show in it, and a few that come by chance must not.
const RATE_WINDOW: Duration = Duration::from_millis(500);
/// Time in which work that can still be in time has to be begun.
const HORIZON: Duration = Duration::from_millis(1000);
/// Part of a machine that work fills on average, since units do not fit exactly.
const FILL: f64 = 0.85;
/// Least number of machines of a pool that has queues: one may fail.
const LEAST_MACHINES: usize = 2;
/// Idle time after which a machine is parked; shorter than a move there and back
/// costs, it would only be moved to and fro.
const PARK_AFTER: Duration = Duration::from_millis(2000);
/// Calls in a row without an answer after which a machine is not counted on; one may be
/// lost with its connection.
const ABSENT_AFTER: u32 = 2;
/// Time after which the list of machines is read again.
const LIST_AGE: Duration = Duration::from_secs(6);
/// Time after which a move without an answer is ordered again.
const ORDER_AGAIN: Duration = Duration::from_millis(1000);
/// Time after which a move that the cloud refused is tried again.
const REFUSED_PAUSE: Duration = Duration::from_secs(3);
/// Time beyond the span of a move after which its machine is looked up in the list.
const LATE_MARGIN: Duration = Duration::from_millis(1000);
/// Time after which an order without an answer is not carried out any more. The
/// longest delay that the platform names is 12 s; the rest is for a time of day
/// that differs between two leaders.
const LATE_ORDER: Duration = Duration::from_secs(15);

/// State of the moves.
#[derive(Clone, Debug, Default)]
pub struct Balance {
    /// Work that arrived in the window, in core-seconds.
    arrivals: BTreeMap<PoolName, VecDeque<(Duration, f64)>>,
    /// Machines on their way to another pool.
    moving: BTreeMap<InstanceId, Moving>,
    /// Since when a machine runs nothing.
    idle: BTreeMap<InstanceId, Duration>,
    /// Machines that can't be moved before a time.
    later: BTreeMap<InstanceId, Duration>,
    /// Until when an order without an answer may bring a machine to the pool that
    /// it is in: until then it stays there.
    doubtful: BTreeMap<InstanceId, Duration>,
    listed: Option<Duration>,
}

#[derive(Clone, Debug)]
struct Moving {
    pool: PoolName,
    stage: Stage,
    /// An order of it had no answer and may be carried out late.
    unanswered: bool,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Stage {
    /// It is on its way into the log.
    Noting,
    /// The order was sent.
    Sent(Duration),
    /// The cloud has taken the machine.
    Accepted(Duration),
}

/// A pool as the balance sees it.
#[derive(Clone, Debug, Default)]
struct Share {
    /// Machines in it or on their way to it.
    instances: Vec<InstanceId>,
    /// Machines that it should have.
    wanted: usize,
}

/// Inputs.
impl Scheduler {
    /// Takes up moves of the leader before that may have had no answer.
    pub(super) fn inherit_moves(&mut self, time: Time, ledger: &Ledger) {
        for (instance, moved) in ledger.moves() {
            let age = Duration::from_millis(time.wall.saturating_sub(moved.at));
            let Some(rest) = LATE_ORDER.checked_sub(age) else { continue };
            let pool = moved.pool.clone();
            let moving = Moving { pool, stage: Stage::Sent(Duration::ZERO), unanswered: true };
            self.balance.moving.insert(instance.clone(), moving);
            self.balance.doubtful.insert(instance.clone(), time.monotonic + rest);
        }
    }

    /// The log has a move: it may be ordered now.
    pub(super) fn on_move_recorded(&mut self, time: Time, instance: &InstanceId, pool: &PoolName) {
        let Some(moving) = self.balance.moving.get_mut(instance) else { return };
        if moving.pool == *pool && moving.stage == Stage::Noting {
            moving.stage = Stage::Sent(time.monotonic);
            let (instance, pool) = (instance.clone(), pool.clone());
            self.orders.push(Order::Move(Move { instance, pool, fence: self.fence }));
        }
    }

    pub(super) fn record_arrival(&mut self, time: Time, ledger: &Ledger, number: JobNumber) {
        let Some(job) = ledger.job(number) else { return };
        if job.definition.steps.iter().any(|step| step.long_running)
            || job.definition.schedule.is_some()
        {
            return;
        }
        let cores =
            remaining_work(&job.definition, 0, &|span| self.estimator.expected(&job.queue, span));
        let arrivals = self.balance.arrivals.entry(job.pool.clone()).or_default();
        arrivals.push_back((time.monotonic, cores));
    }

    pub(super) fn on_instances_listed(&mut self, time: Time) {
        self.balance.listed = Some(time.monotonic);
        let instances = &self.instances;
        self.balance.moving.retain(|id, moving| {
            let Some(instance) = instances.get(id) else { return false };
            let arrived = instance.state == State::Up && instance.pool == moving.pool;
            // The list may be older than the order.
            !arrived || !matches!(moving.stage, Stage::Accepted(_))
        });
    }

    /// A life has reported for the first time: a machine that was on its way has
    /// arrived, or has yet to leave.
    pub(super) fn on_instance_arrived(&mut self, instance: &InstanceId, pool: &PoolName) {
        if self.balance.moving.get(instance).is_some_and(|moving| moving.pool == *pool) {
            self.balance.moving.remove(instance);
        }
        if let Some(instance) = self.instances.get_mut(instance) {
            instance.pool = pool.clone();
            instance.state = State::Up;
        }
    }

    pub(super) fn apply_move_reply(&mut self, time: Time, moved: MoveReply) {
        let MoveReply { instance, answer } = moved;
        let Some(moving) = self.balance.moving.get_mut(&instance) else { return };
        let in_doubt = self.balance.doubtful.get(&instance).is_some_and(|at| time.monotonic < *at);
        let certain = !(moving.unanswered && in_doubt);
        match answer {
            Answer::Done(()) => {
                moving.stage = Stage::Accepted(time.monotonic);
                let pool = moving.pool.clone();
                if certain {
                    let reason = format!("the cloud takes it to pool {pool}");
                    self.propose_move(time, instance.clone(), None, reason);
                }
                if let Some(held) = self.instances.get_mut(&instance) {
                    held.pool = pool;
                    held.state = State::Moving;
                }
                self.on_instance_taken(&instance);
            }
            Answer::Refused(Refusal::Fence) => self.supersede(&instance),
            Answer::Refused(_) if certain => {
                self.balance.moving.remove(&instance);
                self.balance.later.insert(instance.clone(), time.monotonic + REFUSED_PAUSE);
                self.uncordon(&instance);
                let reason = "the cloud refuses to move it".to_string();
                self.explain(instance.clone(), reason.clone());
                self.propose_move(time, instance, None, reason);
            }
            Answer::Refused(_) => {}
            Answer::Misdirected | Answer::Unknown => {
                moving.unanswered = true;
                self.balance.doubtful.insert(instance, time.monotonic + LATE_ORDER);
            }
        }
    }
}

/// Decisions.
impl Scheduler {
    pub(super) fn balance(&mut self, time: Time, ledger: &Ledger) {
        let Some(standby) = standby(ledger) else { return };
        if self.balance.listed.is_none_or(|at| time.monotonic >= at + LIST_AGE) {
            self.request_instance_list(time);
        }
        if self.balance.listed.is_none() {
            return;
        }
        self.retry_moves(time);
        self.track_idle(time);
        let shares = self.shares(time, ledger);
        let mut spare = self.spare(time, ledger, &shares, &standby);
        for (pool, share) in &shares {
            for _ in share.instances.len()..share.wanted {
                let Some(instance) = spare.pop() else { break };
                let (has, wants) = (share.instances.len(), share.wanted);
                let reason = format!("it has {has} machines, its work needs {wants}");
                self.order_move(time, instance, pool, &reason);
            }
        }
        self.park(time, &shares, &spare, &standby);
    }

    /// Machines of each pool that has queues, and how many it should have.
    fn shares(&mut self, time: Time, ledger: &Ledger) -> BTreeMap<PoolName, Share> {
        let Some(config) = ledger.config() else { return BTreeMap::new() };
        let pools: BTreeSet<&PoolName> = config.queues.values().map(|queue| &queue.pool).collect();
        let mut shares = BTreeMap::new();
        for pool in pools {
            if config.pools.get(pool).is_some_and(|pool| pool.standby) {
                continue;
            }
            let instances = self
                .instances
                .values()
                .filter(|instance| match self.balance.moving.get(&instance.id) {
                    Some(moving) => moving.pool == *pool,
                    None => {
                        instance.pool == *pool
                            && instance.state != State::Down
                            && !self.is_absent(&instance.id)
                    }
                })
                .map(|instance| instance.id.clone())
                .collect();
            let wanted = self.wanted(time, ledger, pool);
            shares.insert(pool.clone(), Share { instances, wanted });
        }
        shares
    }

    fn wanted(&mut self, time: Time, ledger: &Ledger, pool: &PoolName) -> usize {
        let cores = self.arriving(time, pool).max(self.queued(time, ledger, pool));
        let instance = self
            .instances
            .values()
            .map(|instance| instance.capacity.cpu_milli as f64 / 1000.0)
            .fold(0.0, f64::max)
            .max(1.0);
        let for_work = (cores / (instance * FILL)).ceil() as usize;
        self.long_running_instances(ledger, pool).max(LEAST_MACHINES) + for_work
    }

    /// Cores that arriving work keeps busy.
    fn arriving(&mut self, time: Time, pool: &PoolName) -> f64 {
        let Some(arrivals) = self.balance.arrivals.get_mut(pool) else { return 0.0 };
        while arrivals.front().is_some_and(|(at, _)| *at + RATE_WINDOW < time.monotonic) {
            arrivals.pop_front();
        }
        arrivals.iter().map(|(_, cores)| cores).sum::<f64>() / RATE_WINDOW.as_secs_f64()
    }

    /// Cores that it takes to begin in time what waits and can be in time.
    fn queued(&self, time: Time, ledger: &Ledger, pool: &PoolName) -> f64 {
        let Some(steps) = self.waiting.get(pool) else { return 0.0 };
        let in_time = |(key, waiting): (&StepKey, &super::Waiting)| {
            let job = ledger.job(key.job)?;
            let step = &job.definition.steps[usize::from(key.step)];
            (waiting.criteria.class(time.monotonic) == Class::InTime).then(|| {
                let cores = step.resources.cpu_milli as f64 / 1000.0;
                let span = self.estimator.expected(&job.queue, step.estimate).as_secs_f64();
                waiting.units.len() as f64 * cores * span
            })
        };
        steps.iter().filter_map(in_time).sum::<f64>() / HORIZON.as_secs_f64()
    }

    /// Machines that lasting work of a pool needs, and one for a failure.
    fn long_running_instances(&self, ledger: &Ledger, pool: &PoolName) -> usize {
        let mut hosts = 0;
        for job in ledger.jobs().values().filter(|job| job.pool == *pool && !job.state.is_final()) {
            for step in job.definition.steps.iter().filter(|step| step.long_running) {
                let apart = if step.anti_affinity == 0 { step.count } else { step.anti_affinity };
                hosts = hosts.max(step.count.div_ceil(apart.max(1)) as usize + 1);
            }
        }
        hosts
    }

    /// Machines that may be moved, the best last: parked ones, then idle ones of
    /// pools that have more than they should.
    fn spare(
        &self,
        time: Time,
        ledger: &Ledger,
        shares: &BTreeMap<PoolName, Share>,
        standby: &PoolName,
    ) -> Vec<InstanceId> {
        let mut spare = Vec::new();
        for share in shares.values() {
            let surplus = share.instances.len().saturating_sub(share.wanted);
            let idle = share.instances.iter().filter(|id| self.is_idle(time, id));
            spare.extend(idle.take(surplus).cloned());
        }
        let parked = self.instances.values().filter(|instance| {
            instance.pool == *standby
                && instance.state == State::Up
                && self.is_movable(time, &instance.id)
                && !is_due(ledger, &instance.id)
        });
        spare.extend(parked.map(|instance| instance.id.clone()));
        spare
    }

    /// Whether a machine is on its way to another pool.
    pub(super) fn is_moving(&self, instance: &InstanceId) -> bool {
        self.balance.moving.contains_key(instance)
    }

    fn is_movable(&self, time: Time, instance: &InstanceId) -> bool {
        !self.balance.moving.contains_key(instance)
            && !self.is_in_maintenance(instance)
            && self.balance.later.get(instance).is_none_or(|at| time.monotonic >= *at)
            && self.balance.doubtful.get(instance).is_none_or(|at| time.monotonic >= *at)
    }

    /// Whether the worker of a machine has been heard of and does not answer.
    fn is_absent(&self, instance: &InstanceId) -> bool {
        let Some(id) = self.worker_by_instance.get(instance) else { return false };
        let silent = |worker: &Worker| worker.polling.failures >= ABSENT_AFTER;
        self.workers.get(id).is_none_or(silent)
    }

    /// Whether a machine works for a pool and runs nothing.
    fn is_idle(&self, time: Time, instance: &InstanceId) -> bool {
        let Some(worker) = self.worker_of(instance).and_then(|id| self.workers.get(&id)) else {
            return false;
        };
        let draining = worker.report.as_ref().is_some_and(|report| report.draining);
        worker.verified
            && worker.runs.is_empty()
            && worker.polling.failures == 0
            && !worker.cordoned
            && !draining
            && self.is_movable(time, instance)
    }

    fn track_idle(&mut self, time: Time) {
        let idle: BTreeSet<InstanceId> =
            self.instances.keys().filter(|id| self.is_idle(time, id)).cloned().collect();
        self.balance.idle.retain(|id, _| idle.contains(id));
        for id in idle {
            self.balance.idle.entry(id).or_insert(time.monotonic);
        }
    }

    fn park(
        &mut self,
        time: Time,
        shares: &BTreeMap<PoolName, Share>,
        spare: &[InstanceId],
        standby: &PoolName,
    ) {
        let in_pools: BTreeSet<&InstanceId> =
            shares.values().flat_map(|share| &share.instances).collect();
        let long_idle: Vec<InstanceId> = spare
            .iter()
            .filter(|id| in_pools.contains(id))
            .filter(|id| {
                self.balance
                    .idle
                    .get(*id)
                    .is_some_and(|since| time.monotonic >= *since + PARK_AFTER)
            })
            .cloned()
            .collect();
        for instance in long_idle {
            self.order_move(time, instance, standby, "no pool needs the machine");
        }
    }

    fn order_move(&mut self, time: Time, instance: InstanceId, pool: &PoolName, reason: &str) {
        let moving = Moving { pool: pool.clone(), stage: Stage::Noting, unanswered: false };
        self.balance.moving.insert(instance.clone(), moving);
        self.cordon(&instance);
        self.explain(instance.clone(), format!("moves to pool {pool}: {reason}"));
        self.propose_move(time, instance, Some(pool.clone()), reason.to_string());
    }

    /// Puts into the log that a machine is to be ordered to a pool, or that no order
    /// to it can be carried out late.
    fn propose_move(
        &mut self,
        time: Time,
        instance: InstanceId,
        pool: Option<PoolName>,
        reason: String,
    ) {
        let at = time.wall;
        self.commands.push(Command::Move(MoveChange { instance, pool, reason, at }));
    }

    /// Orders again what got no answer, and looks for machines that are late.
    fn retry_moves(&mut self, time: Time) {
        let late = self.settings.move_duration + LATE_MARGIN;
        let mut overdue = false;
        let mut again = Vec::new();
        for (instance, moving) in &mut self.balance.moving {
            match moving.stage {
                Stage::Accepted(at) => overdue |= time.monotonic >= at + late,
                Stage::Sent(at) if moving.unanswered && time.monotonic >= at + ORDER_AGAIN => {
                    moving.stage = Stage::Noting;
                    again.push((instance.clone(), moving.pool.clone()));
                }
                Stage::Sent(_) | Stage::Noting => {}
            }
        }
        for (instance, pool) in again {
            self.cordon(&instance);
            self.propose_move(time, instance, Some(pool), "no answer to the order yet".to_string());
        }
        if overdue {
            self.request_instance_list(time);
        }
    }
}

fn standby(ledger: &Ledger) -> Option<PoolName> {
    let pools = &ledger.config()?.pools;
    pools.iter().find(|(_, pool)| pool.standby).map(|(name, _)| name.clone())
}

fn is_due(ledger: &Ledger, instance: &InstanceId) -> bool {
    ledger.waves().values().any(|wave| {
        wave.instances.get(instance).is_some_and(|phase| {
            !matches!(phase, jobs::wave::Phase::Done | jobs::wave::Phase::Gone)
        })
    })
}
