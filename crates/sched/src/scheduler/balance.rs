//! Which machines serve which pool.
//!
//! Answers queues that surge by turns, each beyond what its pool holds: idle
//! machines follow the work, and those that no pool needs are parked in a standby
//! pool, where they cost nothing. Only machines without any run are moved, since a
//! move ends what runs.

use super::{Moment, MovedMachine, Scheduler};
use crate::machine::State;
use crate::order::{Answer, Move, Order, Refusal};
use crate::rank::{Class, work};
use crate::worker::Worker;
use jobs::command::{Command, MoveChange};
use jobs::{JobNumber, Ledger, MachineId, PoolName, StepKey};
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
    moving: BTreeMap<MachineId, Moving>,
    /// Since when a machine runs nothing.
    idle: BTreeMap<MachineId, Duration>,
    /// Machines that can't be moved before a time.
    later: BTreeMap<MachineId, Duration>,
    /// Until when an order without an answer may bring a machine to the pool that
    /// it is in: until then it stays there.
    doubtful: BTreeMap<MachineId, Duration>,
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
    machines: Vec<MachineId>,
    /// Machines that it should have.
    wanted: usize,
}

/// Inputs.
impl Scheduler {
    /// Takes up moves of the leader before that may have had no answer.
    pub(super) fn inherit_moves(&mut self, moment: Moment, ledger: &Ledger) {
        for (machine, moved) in ledger.moves() {
            let age = Duration::from_millis(moment.wall.saturating_sub(moved.at));
            let Some(rest) = LATE_ORDER.checked_sub(age) else { continue };
            let pool = moved.pool.clone();
            let moving = Moving { pool, stage: Stage::Sent(Duration::ZERO), unanswered: true };
            self.balance.moving.insert(machine.clone(), moving);
            self.balance.doubtful.insert(machine.clone(), moment.now + rest);
        }
    }

    /// The log has a move: it may be ordered now.
    pub(super) fn move_noted(&mut self, moment: Moment, machine: &MachineId, pool: &PoolName) {
        let Some(moving) = self.balance.moving.get_mut(machine) else { return };
        if moving.pool == *pool && moving.stage == Stage::Noting {
            moving.stage = Stage::Sent(moment.now);
            let (machine, pool) = (machine.clone(), pool.clone());
            self.orders.push(Order::Move(Move { machine, pool, fence: self.fence }));
        }
    }

    pub(super) fn work_arrived(&mut self, moment: Moment, ledger: &Ledger, number: JobNumber) {
        let Some(job) = ledger.job(number) else { return };
        if job.order.steps.iter().any(|step| step.lasting) || job.order.schedule.is_some() {
            return;
        }
        let cores = work(&job.order, 0, &|span| self.estimate.span(&job.queue, span));
        let arrivals = self.balance.arrivals.entry(job.pool.clone()).or_default();
        arrivals.push_back((moment.now, cores));
    }

    pub(super) fn machines_listed(&mut self, moment: Moment) {
        self.balance.listed = Some(moment.now);
        let machines = &self.machines;
        self.balance.moving.retain(|id, moving| {
            let Some(machine) = machines.get(id) else { return false };
            let arrived = machine.state == State::Up && machine.pool == moving.pool;
            // The list may be older than the order.
            !arrived || !matches!(moving.stage, Stage::Accepted(_))
        });
    }

    /// A life has reported for the first time: a machine that was on its way has
    /// arrived, or has yet to leave.
    pub(super) fn machine_arrived(&mut self, machine: &MachineId, pool: &PoolName) {
        if self.balance.moving.get(machine).is_some_and(|moving| moving.pool == *pool) {
            self.balance.moving.remove(machine);
        }
        if let Some(machine) = self.machines.get_mut(machine) {
            machine.pool = pool.clone();
            machine.state = State::Up;
        }
    }

    pub(super) fn machine_moved(&mut self, moment: Moment, moved: MovedMachine) {
        let MovedMachine { machine, answer } = moved;
        let Some(moving) = self.balance.moving.get_mut(&machine) else { return };
        let in_doubt = self.balance.doubtful.get(&machine).is_some_and(|at| moment.now < *at);
        let certain = !(moving.unanswered && in_doubt);
        match answer {
            Answer::Done(()) => {
                moving.stage = Stage::Accepted(moment.now);
                let pool = moving.pool.clone();
                if certain {
                    let reason = format!("the cloud takes it to pool {pool}");
                    self.note_move(moment, machine.clone(), None, reason);
                }
                if let Some(held) = self.machines.get_mut(&machine) {
                    held.pool = pool;
                    held.state = State::Moving;
                }
                self.machine_emptied(&machine);
            }
            Answer::Refused(Refusal::Fence) => self.supersede(&machine),
            Answer::Refused(_) if certain => {
                self.balance.moving.remove(&machine);
                self.balance.later.insert(machine.clone(), moment.now + REFUSED_PAUSE);
                self.reopen(&machine);
                let reason = "the cloud refuses to move it".to_string();
                self.note(machine.clone(), reason.clone());
                self.note_move(moment, machine, None, reason);
            }
            Answer::Refused(_) => {}
            Answer::Gone | Answer::Unknown => {
                moving.unanswered = true;
                self.balance.doubtful.insert(machine, moment.now + LATE_ORDER);
            }
        }
    }
}

/// Decisions.
impl Scheduler {
    pub(super) fn balance(&mut self, moment: Moment, ledger: &Ledger) {
        let Some(standby) = standby(ledger) else { return };
        if self.balance.listed.is_none_or(|at| moment.now >= at + LIST_AGE) {
            self.ask_for_list(moment);
        }
        if self.balance.listed.is_none() {
            return;
        }
        self.watch_moves(moment);
        self.note_idle(moment);
        let shares = self.shares(moment, ledger);
        let mut spare = self.spare(moment, ledger, &shares, &standby);
        for (pool, share) in &shares {
            for _ in share.machines.len()..share.wanted {
                let Some(machine) = spare.pop() else { break };
                let (has, wants) = (share.machines.len(), share.wanted);
                let reason = format!("it has {has} machines, its work needs {wants}");
                self.order_move(moment, machine, pool, &reason);
            }
        }
        self.park(moment, &shares, &spare, &standby);
    }

    /// Machines of each pool that has queues, and how many it should have.
    fn shares(&mut self, moment: Moment, ledger: &Ledger) -> BTreeMap<PoolName, Share> {
        let Some(config) = ledger.config() else { return BTreeMap::new() };
        let pools: BTreeSet<&PoolName> = config.queues.values().map(|queue| &queue.pool).collect();
        let mut shares = BTreeMap::new();
        for pool in pools {
            if config.pools.get(pool).is_some_and(|pool| pool.standby) {
                continue;
            }
            let machines = self
                .machines
                .values()
                .filter(|machine| match self.balance.moving.get(&machine.machine) {
                    Some(moving) => moving.pool == *pool,
                    None => {
                        machine.pool == *pool
                            && machine.state != State::Down
                            && !self.is_absent(&machine.machine)
                    }
                })
                .map(|machine| machine.machine.clone())
                .collect();
            let wanted = self.wanted(moment, ledger, pool);
            shares.insert(pool.clone(), Share { machines, wanted });
        }
        shares
    }

    fn wanted(&mut self, moment: Moment, ledger: &Ledger, pool: &PoolName) -> usize {
        let cores = self.arriving(moment, pool).max(self.queued(moment, ledger, pool));
        let machine = self
            .machines
            .values()
            .map(|machine| machine.capacity.cpu_milli as f64 / 1000.0)
            .fold(0.0, f64::max)
            .max(1.0);
        let for_work = (cores / (machine * FILL)).ceil() as usize;
        self.lasting_hosts(ledger, pool).max(LEAST_MACHINES) + for_work
    }

    /// Cores that arriving work keeps busy.
    fn arriving(&mut self, moment: Moment, pool: &PoolName) -> f64 {
        let Some(arrivals) = self.balance.arrivals.get_mut(pool) else { return 0.0 };
        while arrivals.front().is_some_and(|(at, _)| *at + RATE_WINDOW < moment.now) {
            arrivals.pop_front();
        }
        arrivals.iter().map(|(_, cores)| cores).sum::<f64>() / RATE_WINDOW.as_secs_f64()
    }

    /// Cores that it takes to begin in time what waits and can be in time.
    fn queued(&self, moment: Moment, ledger: &Ledger, pool: &PoolName) -> f64 {
        let Some(steps) = self.waiting.get(pool) else { return 0.0 };
        let in_time = |(key, waiting): (&StepKey, &super::Waiting)| {
            let job = ledger.job(key.job)?;
            let step = &job.order.steps[usize::from(key.step)];
            (waiting.basis.class(moment.now) == Class::InTime).then(|| {
                let cores = step.room.cpu_milli as f64 / 1000.0;
                let span = self.estimate.span(&job.queue, step.estimate).as_secs_f64();
                waiting.units.len() as f64 * cores * span
            })
        };
        steps.iter().filter_map(in_time).sum::<f64>() / HORIZON.as_secs_f64()
    }

    /// Machines that lasting work of a pool needs, and one for a failure.
    fn lasting_hosts(&self, ledger: &Ledger, pool: &PoolName) -> usize {
        let mut hosts = 0;
        for job in ledger.jobs().values().filter(|job| job.pool == *pool && !job.state.is_final()) {
            for step in job.order.steps.iter().filter(|step| step.lasting) {
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
        moment: Moment,
        ledger: &Ledger,
        shares: &BTreeMap<PoolName, Share>,
        standby: &PoolName,
    ) -> Vec<MachineId> {
        let mut spare = Vec::new();
        for share in shares.values() {
            let surplus = share.machines.len().saturating_sub(share.wanted);
            let idle = share.machines.iter().filter(|id| self.is_idle(moment, id));
            spare.extend(idle.take(surplus).cloned());
        }
        let parked = self.machines.values().filter(|machine| {
            machine.pool == *standby
                && machine.state == State::Up
                && self.is_movable(moment, &machine.machine)
                && !is_due(ledger, &machine.machine)
        });
        spare.extend(parked.map(|machine| machine.machine.clone()));
        spare
    }

    /// Whether a machine is on its way to another pool.
    pub(super) fn is_moving(&self, machine: &MachineId) -> bool {
        self.balance.moving.contains_key(machine)
    }

    fn is_movable(&self, moment: Moment, machine: &MachineId) -> bool {
        !self.balance.moving.contains_key(machine)
            && !self.is_kept_up(machine)
            && self.balance.later.get(machine).is_none_or(|at| moment.now >= *at)
            && self.balance.doubtful.get(machine).is_none_or(|at| moment.now >= *at)
    }

    /// Whether the worker of a machine has been heard of and does not answer.
    fn is_absent(&self, machine: &MachineId) -> bool {
        let Some(id) = self.by_machine.get(machine) else { return false };
        let silent = |worker: &Worker| worker.asking.failures >= ABSENT_AFTER;
        self.workers.get(id).is_none_or(silent)
    }

    /// Whether a machine works for a pool and runs nothing.
    fn is_idle(&self, moment: Moment, machine: &MachineId) -> bool {
        let Some(worker) = self.worker_of(machine).and_then(|id| self.workers.get(&id)) else {
            return false;
        };
        let draining = worker.report.as_ref().is_some_and(|report| report.draining);
        worker.verified
            && worker.runs.is_empty()
            && worker.asking.failures == 0
            && !worker.closing
            && !draining
            && self.is_movable(moment, machine)
    }

    fn note_idle(&mut self, moment: Moment) {
        let idle: BTreeSet<MachineId> =
            self.machines.keys().filter(|id| self.is_idle(moment, id)).cloned().collect();
        self.balance.idle.retain(|id, _| idle.contains(id));
        for id in idle {
            self.balance.idle.entry(id).or_insert(moment.now);
        }
    }

    fn park(
        &mut self,
        moment: Moment,
        shares: &BTreeMap<PoolName, Share>,
        spare: &[MachineId],
        standby: &PoolName,
    ) {
        let in_pools: BTreeSet<&MachineId> =
            shares.values().flat_map(|share| &share.machines).collect();
        let long_idle: Vec<MachineId> = spare
            .iter()
            .filter(|id| in_pools.contains(id))
            .filter(|id| {
                self.balance.idle.get(*id).is_some_and(|since| moment.now >= *since + PARK_AFTER)
            })
            .cloned()
            .collect();
        for machine in long_idle {
            self.order_move(moment, machine, standby, "no pool needs the machine");
        }
    }

    fn order_move(&mut self, moment: Moment, machine: MachineId, pool: &PoolName, reason: &str) {
        let moving = Moving { pool: pool.clone(), stage: Stage::Noting, unanswered: false };
        self.balance.moving.insert(machine.clone(), moving);
        self.close(&machine);
        self.note(machine.clone(), format!("moves to pool {pool}: {reason}"));
        self.note_move(moment, machine, Some(pool.clone()), reason.to_string());
    }

    /// Puts into the log that a machine is to be ordered to a pool, or that no order
    /// to it can be carried out late.
    fn note_move(
        &mut self,
        moment: Moment,
        machine: MachineId,
        pool: Option<PoolName>,
        reason: String,
    ) {
        let at = moment.wall;
        self.changes.push(Command::Move(MoveChange { machine, pool, reason, at }));
    }

    /// Orders again what got no answer, and looks for machines that are late.
    fn watch_moves(&mut self, moment: Moment) {
        let late = self.settings.move_time + LATE_MARGIN;
        let mut overdue = false;
        let mut again = Vec::new();
        for (machine, moving) in &mut self.balance.moving {
            match moving.stage {
                Stage::Accepted(at) => overdue |= moment.now >= at + late,
                Stage::Sent(at) if moving.unanswered && moment.now >= at + ORDER_AGAIN => {
                    moving.stage = Stage::Noting;
                    again.push((machine.clone(), moving.pool.clone()));
                }
                Stage::Sent(_) | Stage::Noting => {}
            }
        }
        for (machine, pool) in again {
            self.close(&machine);
            self.note_move(moment, machine, Some(pool), "no answer to the order yet".to_string());
        }
        if overdue {
            self.ask_for_list(moment);
        }
    }
}

fn standby(ledger: &Ledger) -> Option<PoolName> {
    let pools = &ledger.config()?.pools;
    pools.iter().find(|(_, pool)| pool.standby).map(|(name, _)| name.clone())
}

fn is_due(ledger: &Ledger, machine: &MachineId) -> bool {
    ledger.waves().values().any(|wave| {
        wave.machines.get(machine).is_some_and(|upkeep| {
            !matches!(upkeep, jobs::wave::Upkeep::Done | jobs::wave::Upkeep::Gone)
        })
    })
}
