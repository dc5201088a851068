//! Maintenance waves: evacuates instances and orders their maintenance.
//!
//! An instance is cordoned, its long-running work is moved within the `max_unavailable`
//! of each step, and its short work, which is all work that is not long-running, may
//! finish; only then is maintenance ordered. A wave may cover half of the instances and
//! has to be completed within its duration. After that, an instance whose long-running work may
//! not be stopped gets work again until it may.

use super::{Scheduler, Time};
use crate::instance::{Instance, State};
use crate::late::{LATE_ORDER_WINDOW, SEND_WINDOW};
use crate::order::{Answer, Maintenance as MaintenanceOrder, Order, Refusal};
use crate::worker::{Run, RunState, StopReason};
use jobs::command::{Command, MaintenanceChange};
use jobs::wave::Phase;
use jobs::{Incarnation, InstanceId, Ledger, PoolName, RunNumber, UnitKey, WaveId, WorkerId};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Delay after which an unanswered order for maintenance is sent again.
const MAINTENANCE_RETRY_DELAY: Duration = Duration::from_millis(1000);
/// Part of a wave's duration after which an instance no longer waits for its short work
/// to finish.
const SHORT_WORK_WAIT_FRACTION: f64 = 0.75;
/// Largest part of a pool's workers that may be cordoned at one time.
const MAX_CORDONED_FRACTION: f64 = 0.34;
/// Time after which an instance whose long-running work may not be stopped is blocked. A unit that
/// is moved from it is at work elsewhere within that time, and the next one may be stopped.
const MAX_BLOCKED: Duration = Duration::from_millis(4000);
/// Shortest interval between two looks at whether an instance of an overdue wave may be evacuated.
const EVACUATION_CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Number of times that the delay after a failed evacuation doubles.
const MAX_DELAY_DOUBLINGS: u32 = 6;

/// Reply to an order for maintenance.
#[derive(Clone, Debug, PartialEq)]
pub struct MaintenanceReply {
    /// Instance to be maintained.
    pub instance: InstanceId,
    /// Wave that the order belongs to.
    pub wave: WaveId,
    /// `sent_at` of the order.
    pub sent_at: Duration,
    /// `Done` if the cloud has begun the maintenance.
    pub answer: Answer<()>,
}

/// Reply to an order to move an instance to another pool.
#[derive(Clone, Debug, PartialEq)]
pub struct MoveReply {
    /// Instance to be moved.
    pub instance: InstanceId,
    /// `sent_at` of the order.
    pub sent_at: Duration,
    /// `Done` if the cloud has begun the move.
    pub answer: Answer<()>,
}

/// State of the maintenance waves as this leader knows it.
#[derive(Clone, Debug, Default)]
pub struct MaintenanceState {
    /// Instances that are being evacuated.
    evacuating: BTreeMap<InstanceId, Evacuation>,
    /// Instances that get work though their wave is overdue.
    suspended: BTreeMap<InstanceId, Suspension>,
    /// Orders that are in the log and not known to be carried out.
    pub(super) ordered: BTreeMap<InstanceId, PendingOrder>,
    /// Instances whose maintenance has begun.
    pub(super) begun: BTreeMap<InstanceId, BegunMaintenance>,
    /// When each wave was first seen by this leader.
    first_seen: BTreeMap<WaveId, Duration>,
    /// For each instance whose maintenance was refused: when it may be evacuated again.
    retry_at: BTreeMap<InstanceId, Duration>,
    /// For each instance whose maintenance was refused: its wave, and the number of
    /// consecutive instance lists without it.
    pub(super) missing_lists: BTreeMap<InstanceId, (WaveId, u32)>,
    /// Phases that are proposed and not yet committed.
    proposed_phases: BTreeMap<InstanceId, Phase>,
    /// When the instance list was last requested.
    pub(super) list_requested_at: Option<Duration>,
}

impl MaintenanceState {
    /// Forgets the maintenance of an instance in a wave. Other waves may name the instance too.
    fn forget(&mut self, instance: &InstanceId, wave: WaveId) {
        if self.ordered.get(instance).is_some_and(|order| order.wave == wave) {
            self.ordered.remove(instance);
        }
        if self.begun.get(instance).is_some_and(|begun| begun.wave == wave) {
            self.begun.remove(instance);
        }
    }

    /// Returns whether the maintenance of an instance is ordered or has begun.
    fn is_under_way(&self, instance: &InstanceId) -> bool {
        self.ordered.contains_key(instance) || self.begun.contains_key(instance)
    }
}

/// Evacuation of an instance.
#[derive(Clone, Debug)]
struct Evacuation {
    /// Wave that asks for it.
    wave: WaveId,
    /// Since when none of its long-running work may be stopped.
    blocked_since: Option<Duration>,
    /// Some of its long-running work was stopped.
    has_stopped: bool,
}

/// An instance of an overdue wave that gets work until it may be evacuated.
#[derive(Clone, Debug)]
struct Suspension {
    wave: WaveId,
    /// Evacuations that stopped some work and were blocked then.
    failures: u32,
    /// When it may be evacuated though its long-running work can't be stopped all at once.
    retry_at: Duration,
    next_check: Duration,
}

/// Number of workers of a pool.
#[derive(Clone, Copy, Debug, Default)]
struct Count {
    all: usize,
    cordoned: usize,
}

impl Count {
    /// Whether few enough workers are cordoned to evacuate another instance.
    fn allows_evacuation(&self) -> bool {
        self.cordoned < ((self.all as f64 * MAX_CORDONED_FRACTION) as usize).max(1)
    }
}

/// An order for maintenance that has to be sent or answered.
#[derive(Clone, Debug)]
pub(super) struct PendingOrder {
    wave: WaveId,
    sent_at: Option<Duration>,
    /// The last copy was refused, so it is not carried out.
    is_refused: bool,
    /// When the last copy that had no answer was sent, or the leader took the order over.
    unanswered_at: Option<Duration>,
    /// Incarnation that was on the instance before any copy of the order was sent, and which the
    /// maintenance has ended when one is answered; `None` if it is not known.
    ends: Option<Incarnation>,
}

impl PendingOrder {
    /// Returns whether no copy without an answer can be carried out any more. One that was carried out
    /// shows in a list that was asked for since.
    fn is_certain(
        &self,
        now: Duration,
        listed: Option<&Instance>,
        asked_at: Option<Duration>,
    ) -> bool {
        let Some(unanswered_at) = self.unanswered_at else { return true };
        let is_over = |at: Duration| at >= unanswered_at + LATE_ORDER_WINDOW;
        is_over(now)
            && asked_at.is_some_and(is_over)
            && listed.is_none_or(|instance| instance.state != State::Upkeep)
    }
}

/// Maintenance that has begun, and when this leader learned of it.
#[derive(Clone, Debug)]
pub(super) struct BegunMaintenance {
    pub(super) wave: WaveId,
    pub(super) learned_at: Duration,
}

/// Inputs.
impl Scheduler {
    /// Takes over the waves in the ledger from the previous leader.
    pub(super) fn inherit_waves(&mut self, time: Time, ledger: &Ledger) {
        for (id, wave) in ledger.waves() {
            for (instance, phase) in &wave.instances {
                self.on_phase_changed(time, *id, instance, *phase);
            }
        }
        for (instance, pending) in &mut self.maintenance.ordered {
            pending.unanswered_at = Some(time.monotonic); // the previous leader may have sent it
            let wave = ledger.waves().get(&pending.wave);
            pending.ends = wave.and_then(|wave| wave.ends.get(instance)).cloned();
        }
    }

    /// Applies a committed change of an instance's maintenance phase.
    pub(super) fn on_phase_changed(
        &mut self,
        time: Time,
        wave: WaveId,
        instance: &InstanceId,
        phase: Phase,
    ) {
        self.maintenance.proposed_phases.remove(instance);
        self.maintenance.forget(instance, wave);
        match phase {
            Phase::Due => {}
            // Another wave has the instance down, or is about to.
            Phase::Done | Phase::Gone if self.maintenance.is_under_way(instance) => {}
            Phase::Ordered => {
                let ends = self.incarnation_on(instance);
                let pending = PendingOrder {
                    wave,
                    sent_at: None,
                    is_refused: false,
                    unanswered_at: None,
                    ends,
                };
                self.maintenance.ordered.insert(instance.clone(), pending);
            }
            Phase::Begun => {
                let begun = BegunMaintenance { wave, learned_at: time.monotonic };
                self.maintenance.begun.insert(instance.clone(), begun);
            }
            Phase::Done | Phase::Gone => {
                self.maintenance.missing_lists.remove(instance);
                self.maintenance.evacuating.remove(instance);
                self.maintenance.suspended.remove(instance);
                self.uncordon(instance);
            }
        }
    }

    /// Proposes that the maintenance of a worker's instance is done: the worker has answered a poll that
    /// was sent after it began.
    pub(super) fn end_answered_maintenance(&mut self, id: &WorkerId, sent_at: Duration) {
        let worker = self.workers.get(id).filter(|worker| !worker.ended);
        let Some(report) = worker.and_then(|worker| worker.report.as_ref()) else { return };
        let instance = report.instance.clone();
        let Some(begun) = self.maintenance.begun.get(&instance) else { return };
        if sent_at >= begun.learned_at {
            self.propose_done(begun.wave, instance);
        }
    }

    /// Handles the reply to an order for maintenance.
    pub fn on_maintenance_reply(&mut self, time: Time, reply: MaintenanceReply) {
        let MaintenanceReply { instance, wave, sent_at, answer } = reply;
        let Some(pending) = self.maintenance.ordered.get_mut(&instance) else { return };
        if pending.wave != wave || sent_at < self.began_at {
            return;
        }
        let is_certain = pending.is_certain(
            time.monotonic,
            self.inventory.get(&instance),
            self.inventory.asked_at(),
        );
        let only_copy = pending.unanswered_at.is_none();
        match answer {
            Answer::Done(()) => {
                let ends = pending.ends.clone();
                self.explain_carried_out(time, &instance, sent_at, only_copy);
                self.maintenance.ordered.remove(&instance);
                self.propose_phase(wave, &instance, Phase::Begun);
                // The instance may be back, or an earlier copy was carried out.
                match self.incarnation_on(&instance) {
                    present if present == ends => self.on_instance_down(time, &instance),
                    _ => self.request_instance_list(time),
                }
            }
            Answer::Refused(Refusal::Fence) => self.supersede(&instance),
            Answer::Refused(Refusal::Wave | Refusal::Invalid) => {
                self.maintenance.ordered.remove(&instance);
                self.propose_phase(wave, &instance, Phase::Gone);
            }
            Answer::Refused(Refusal::State) if is_certain => {
                // No copy of the order can have been carried out, so the maintenance has
                // not begun. New work may be placed on the instance again, and the wave
                // may take other instances first.
                self.maintenance.ordered.remove(&instance);
                self.maintenance
                    .retry_at
                    .insert(instance.clone(), time.monotonic + MAINTENANCE_RETRY_DELAY);
                self.maintenance.evacuating.remove(&instance);
                self.maintenance.missing_lists.entry(instance.clone()).or_insert((wave, 0));
                self.uncordon(&instance);
                self.request_instance_list(time);
                let state = self.inventory.get(&instance).map(|instance| instance.state);
                self.explain(
                    instance.clone(),
                    format!("its maintenance is refused, listed as {state:?}"),
                );
                self.propose_phase(wave, &instance, Phase::Due);
            }
            Answer::Refused(_) => {
                pending.is_refused |= pending.sent_at == Some(sent_at);
                self.request_instance_list(time);
            }
            Answer::Misdirected | Answer::Unknown | Answer::Lost => {
                pending.unanswered_at = pending.unanswered_at.max(Some(sent_at));
            }
        }
    }

    /// Explains that the cloud has carried out an order for an instance, and which worker is there.
    pub(super) fn explain_carried_out(
        &mut self,
        time: Time,
        instance: &InstanceId,
        sent_at: Duration,
        only_copy: bool,
    ) {
        let age_ms = |at: Duration| time.monotonic.saturating_sub(at).as_millis();
        let copies = if only_copy { "" } else { ", not the first one" };
        let worker = self.worker_of(instance).and_then(|id| self.workers.get(&id));
        let worker = match worker {
            Some(worker) => format!(
                "worker {} started at {} has reported from there for {} ms",
                worker.incarnation.worker,
                worker.incarnation.started_at,
                age_ms(worker.reported_at.unwrap_or_default())
            ),
            None => "no worker is known there".to_string(),
        };
        let text = format!(
            "the cloud has carried out an order {} ms old{copies}: {worker}",
            age_ms(sent_at)
        );
        self.explain(instance.clone(), text);
    }

    /// Handles the reply to an order to move an instance.
    pub fn on_move_reply(&mut self, time: Time, reply: MoveReply) {
        self.apply_move_reply(time, reply);
    }

    /// Whether an instance is being evacuated for maintenance, or its maintenance is ordered, so that
    /// it gets no work.
    pub(super) fn awaits_maintenance(&self, instance: &InstanceId) -> bool {
        self.maintenance.evacuating.contains_key(instance)
            || self.maintenance.ordered.contains_key(instance)
    }

    /// Whether an instance is being evacuated for maintenance, or its maintenance is
    /// ordered, under way or about to change its phase.
    pub(super) fn has_open_maintenance(&self, instance: &InstanceId) -> bool {
        self.awaits_maintenance(instance)
            || self.maintenance.begun.contains_key(instance)
            || self.maintenance.proposed_phases.contains_key(instance)
    }
}

/// Decisions.
impl Scheduler {
    /// Advances all waves: evacuates instances, sends due orders and checks for maintenance
    /// that takes too long.
    pub(super) fn run_maintenance(&mut self, time: Time, ledger: &Ledger) {
        self.evacuate_instances(time, ledger);
        self.order_maintenance(time, ledger);
        self.watch_maintenance(time);
    }

    /// Chooses the next instances of each wave within the wave's limit, and continues the
    /// evacuation of those chosen before.
    fn evacuate_instances(&mut self, time: Time, ledger: &Ledger) {
        self.mark_due(ledger);
        let mut pools = self.count_cordoned();
        for (id, wave) in ledger.waves() {
            if wave.is_completed() {
                continue;
            }
            self.maintenance.first_seen.entry(*id).or_insert(time.monotonic);
            let evacuating_count =
                self.maintenance.evacuating.values().filter(|e| e.wave == *id).count();
            let mut remaining = (wave.max_unavailable as usize).saturating_sub(evacuating_count);
            let due: Vec<InstanceId> = wave
                .instances
                .iter()
                .filter(|(instance, phase)| {
                    **phase == Phase::Due
                        && !self.is_moving(instance)
                        && !self.has_open_maintenance(instance)
                        && self
                            .maintenance
                            .retry_at
                            .get(*instance)
                            .is_none_or(|at| time.monotonic >= *at)
                })
                .map(|(instance, _)| instance.clone())
                .collect();
            for instance in self.sort_by_load(due) {
                if remaining == 0 {
                    break;
                }
                let pool = self.pool_of(&instance).and_then(|pool| pools.get_mut(&pool));
                if pool.as_ref().is_none_or(|pool| pool.allows_evacuation())
                    && self.may_evacuate(time, ledger, wave, &instance)
                {
                    pool.into_iter().for_each(|pool| pool.cordoned += 1);
                    let evacuation =
                        Evacuation { wave: *id, blocked_since: None, has_stopped: false };
                    self.maintenance.evacuating.insert(instance.clone(), evacuation);
                    self.cordon(&instance);
                    self.explain(instance.clone(), format!("is evacuated for wave {id}"));
                    if self.is_overdue(time, wave) {
                        // The next instance may have units of the same steps.
                        self.stop_long_running(time, ledger, &instance);
                    }
                    remaining -= 1;
                }
            }
        }
        let evacuating: Vec<(InstanceId, WaveId)> =
            self.maintenance.evacuating.iter().map(|(m, e)| (m.clone(), e.wave)).collect();
        for (instance, wave) in evacuating {
            self.evacuate_instance(time, ledger, &instance, wave);
        }
    }

    /// Marks the workers whose instance is in phase `Due` of a wave that is not completed.
    fn mark_due(&mut self, ledger: &Ledger) {
        let waves: Vec<&jobs::Wave> =
            ledger.waves().values().filter(|wave| !wave.is_completed()).collect();
        for worker in self.workers.values_mut() {
            let instance = worker.report.as_ref().map(|report| &report.instance);
            worker.maintenance_due = instance.is_some_and(|instance| {
                waves.iter().any(|wave| wave.instances.get(instance) == Some(&Phase::Due))
            });
        }
    }

    /// Sorts instances by the processor capacity that their runs reserve, least first.
    fn sort_by_load(&self, mut due: Vec<InstanceId>) -> Vec<InstanceId> {
        due.sort_by_key(|instance| {
            let worker = self.worker_of(instance).and_then(|id| self.workers.get(&id));
            worker.map_or(0, |worker| worker.reserved.cpu_milli)
        });
        due
    }

    /// Counts the workers of each pool.
    fn count_cordoned(&mut self) -> BTreeMap<PoolName, Count> {
        self.effort.workers_examined += self.workers.len() as u64;
        let mut pools: BTreeMap<PoolName, Count> = BTreeMap::new();
        for worker in self.workers.values() {
            let Some(report) = &worker.report else { continue };
            let pool = match pools.get_mut(&report.pool) {
                Some(pool) => pool,
                None => pools.entry(report.pool.clone()).or_default(),
            };
            pool.all += 1;
            pool.cordoned += usize::from(worker.is_closed());
        }
        pools
    }

    /// Returns the pool of the latest worker that has reported from an instance.
    pub(super) fn pool_of(&self, instance: &InstanceId) -> Option<PoolName> {
        let worker = self.workers.get(&self.worker_of(instance)?)?;
        Some(worker.report.as_ref()?.pool.clone())
    }

    /// Returns the latest worker that has reported from an instance, unless it has ended.
    pub(super) fn worker_of(&self, instance: &InstanceId) -> Option<WorkerId> {
        let id = self.worker_by_instance.get(instance)?;
        let report = self.workers.get(id)?.report.as_ref()?;
        (report.instance == *instance).then(|| id.clone())
    }

    /// Returns the incarnation that has reported from an instance last, unless it has ended.
    fn incarnation_on(&self, instance: &InstanceId) -> Option<Incarnation> {
        let worker = self.workers.get(&self.worker_of(instance)?)?;
        Some(worker.incarnation.clone())
    }

    /// Stops placing new work on an instance.
    pub(super) fn cordon(&mut self, instance: &InstanceId) {
        if let Some(id) = self.worker_of(instance)
            && let Some(worker) = self.workers.get_mut(&id)
        {
            worker.cordoned = true;
        }
    }

    /// Allows new work on an instance again.
    pub(super) fn uncordon(&mut self, instance: &InstanceId) {
        if let Some(id) = self.worker_of(instance)
            && let Some(worker) = self.workers.get_mut(&id)
        {
            worker.cordoned = false;
        }
    }

    /// Moves long-running work off an instance. Proposes to order its maintenance once its
    /// short work has finished too, or late in the wave without waiting for that, and the
    /// wave allows one more instance to be down.
    fn evacuate_instance(
        &mut self,
        time: Time,
        ledger: &Ledger,
        instance: &InstanceId,
        wave_id: WaveId,
    ) {
        let Some(wave) = ledger.waves().get(&wave_id) else { return };
        if wave.instances.get(instance) != Some(&Phase::Due) {
            return;
        }
        let first_seen =
            self.maintenance.first_seen.get(&wave_id).copied().unwrap_or(time.monotonic);
        let skip_short_work =
            time.monotonic > first_seen + wave.duration.mul_f64(SHORT_WORK_WAIT_FRACTION);
        self.cordon(instance);
        self.stop_long_running(time, ledger, instance);
        if self.is_blocked(time, instance)
            && self.is_overdue(time, wave)
            && !self.has_proposed_phase(instance)
        {
            self.suspend(time, instance, wave);
            return;
        }
        let busy = match self.worker_of(instance) {
            Some(id) => {
                self.workers[&id].runs.values().any(|run| run.long_running || !skip_short_work)
            }
            None => self.has_runs_on_unknown_instance(),
        };
        if !busy
            && !self.has_proposed_phase(instance)
            && self.count_down(wave) < wave.max_unavailable as usize
        {
            self.propose_phase(wave_id, instance, Phase::Ordered);
        }
    }

    /// Records whether some long-running work of an evacuated instance may be stopped, and returns
    /// whether none could be for long.
    fn is_blocked(&mut self, time: Time, instance: &InstanceId) -> bool {
        let Some(id) = self.worker_of(instance) else { return false };
        let Some(evacuation) = self.maintenance.evacuating.get_mut(instance) else { return false };
        let runs = || self.workers[&id].runs.values().filter(|run| run.long_running);
        let is_withheld = |run: &Run| run.is_stop_open() && run.stop_withheld_at.is_some();
        let is_stopping = runs().any(|run| run.is_stopping_or_ending() && !is_withheld(run));
        evacuation.has_stopped |= is_stopping;
        // What could be stopped is being stopped by now.
        let may_be_at_work = |run: &Run| run.state == RunState::Running || is_withheld(run);
        if is_stopping || !runs().any(may_be_at_work) {
            evacuation.blocked_since = None;
            return false;
        }
        let since = *evacuation.blocked_since.get_or_insert(time.monotonic);
        time.monotonic >= since + MAX_BLOCKED
    }

    /// Gives an instance work again, since its evacuation is blocked.
    fn suspend(&mut self, time: Time, instance: &InstanceId, wave: &jobs::Wave) {
        let Some(evacuation) = self.maintenance.evacuating.remove(instance) else { return };
        let mut suspension = self.suspension(time, instance, wave.id).clone();
        if evacuation.has_stopped {
            // What was stopped in vain comes back here and would be stopped again and again.
            let doublings = suspension.failures.min(MAX_DELAY_DOUBLINGS);
            let delay = wave.duration.max(MAX_BLOCKED).saturating_mul(1 << doublings);
            suspension.retry_at = time.monotonic.saturating_add(delay);
            suspension.failures += 1;
        }
        self.maintenance.suspended.insert(instance.clone(), suspension);
        self.uncordon(instance);
        let id = wave.id;
        let text =
            format!("gets work again, wave {id} is late: long-running work may not be stopped");
        self.explain(instance.clone(), text);
    }

    /// Returns the suspension of an instance for a wave, a new one if there is none.
    fn suspension(&mut self, time: Time, instance: &InstanceId, wave: WaveId) -> &mut Suspension {
        let now = time.monotonic;
        let new = Suspension { wave, failures: 0, retry_at: now, next_check: now };
        let suspension =
            self.maintenance.suspended.entry(instance.clone()).or_insert_with(|| new.clone());
        if suspension.wave != wave {
            *suspension = new;
        }
        suspension
    }

    /// Whether the evacuation of an instance may begin, or begin again: always within the wave's
    /// duration, later only if its long-running work may be stopped.
    fn may_evacuate(
        &mut self,
        time: Time,
        ledger: &Ledger,
        wave: &jobs::Wave,
        instance: &InstanceId,
    ) -> bool {
        if !self.is_overdue(time, wave) {
            return true;
        }
        let suspension = self.suspension(time, instance, wave.id);
        if time.monotonic < suspension.next_check {
            return false;
        }
        suspension.next_check = time.monotonic + EVACUATION_CHECK_INTERVAL;
        let Suspension { failures, retry_at, .. } = *suspension;
        let Some(id) = self.worker_of(instance) else { return true };
        let runs = self.workers[&id].runs.iter().filter(|(_, run)| run.long_running);
        let runs: Vec<(UnitKey, bool)> =
            runs.map(|((unit, _), run)| (*unit, run.state == RunState::Running)).collect();
        let mut may_stop = |(unit, is_running): &(UnitKey, bool), without| {
            *is_running && self.may_interrupt_without(ledger, unit, without)
        };
        if runs.iter().all(|run| may_stop(run, Some(&id))) {
            return true; // all at once
        }
        match failures {
            0 => runs.iter().any(|run| may_stop(run, None)),
            _ => time.monotonic >= retry_at && runs.iter().all(|run| may_stop(run, None)),
        }
    }

    /// Whether a wave has taken longer than its duration, as far as this leader knows.
    fn is_overdue(&self, time: Time, wave: &jobs::Wave) -> bool {
        let first_seen = self.maintenance.first_seen.get(&wave.id);
        first_seen.is_some_and(|first_seen| time.monotonic > *first_seen + wave.duration)
    }

    /// Whether a worker that has not reported its instance yet may have runs.
    fn has_runs_on_unknown_instance(&self) -> bool {
        let on_unknown_instance = |worker: &crate::Worker| {
            worker.report.is_none() && !worker.ended && !worker.runs.is_empty()
        };
        self.workers.values().any(on_unknown_instance)
    }

    /// Whether a change of the instance's phase is proposed and not yet committed.
    pub(super) fn has_proposed_phase(&self, instance: &InstanceId) -> bool {
        self.maintenance.proposed_phases.contains_key(instance)
    }

    /// Returns the number of instances that are down for a wave or proposed to be.
    fn count_down(&self, wave: &jobs::Wave) -> usize {
        let is_proposed = |(instance, phase): &(&InstanceId, &Phase)| {
            **phase == Phase::Ordered && wave.instances.get(*instance) == Some(&Phase::Due)
        };
        wave.down_count() + self.maintenance.proposed_phases.iter().filter(is_proposed).count()
    }

    /// Stops long-running work on an instance as far as the `max_unavailable` of its steps
    /// allows.
    pub(super) fn stop_long_running(&mut self, time: Time, ledger: &Ledger, instance: &InstanceId) {
        let Some(id) = self.worker_of(instance) else { return };
        let long_running: Vec<(UnitKey, RunNumber)> = self.workers[&id]
            .runs
            .iter()
            .filter(|(_, run)| run.long_running && !run.is_stopping_or_ending())
            .map(|(key, _)| *key)
            .collect();
        for (unit, number) in long_running {
            let running = self.workers[&id]
                .runs
                .get(&(unit, number))
                .is_some_and(|run| run.state == RunState::Running);
            if running && self.may_interrupt(ledger, &unit) {
                self.stop(time, ledger, &id, unit, number, StopReason::Leaving);
            }
        }
    }

    /// Whether the scheduler may interrupt a unit: only while fewer other units of its
    /// step than `max_unavailable` are unavailable. A unit counts as available only if
    /// its worker answers and lists it at 100 percent.
    pub(super) fn may_interrupt(&mut self, ledger: &Ledger, unit: &UnitKey) -> bool {
        self.may_interrupt_without(ledger, unit, None)
    }

    /// Whether the scheduler may interrupt a unit while the runs on a worker are unavailable.
    fn may_interrupt_without(
        &mut self,
        ledger: &Ledger,
        unit: &UnitKey,
        without: Option<&WorkerId>,
    ) -> bool {
        self.may_lack(ledger, unit, |id, _, run| {
            Some(id) != without && run.state == RunState::Running
        })
    }

    /// Whether a stop without an answer may be sent again: others of the step may have gone since it was
    /// sent. Where stops of several units of a step have no answer, a unit with a higher number
    /// counts as available while it is listed, so that no two wait for each other.
    pub(super) fn may_repeat_stop(
        &mut self,
        ledger: &Ledger,
        id: &WorkerId,
        unit: UnitKey,
        number: RunNumber,
    ) -> bool {
        let Some(worker) = self.workers.get(id) else { return true };
        let Some(run) = worker.runs.get(&(unit, number)) else { return true };
        let is_draining = worker.report.as_ref().is_some_and(|report| report.draining);
        let is_wanted = ledger.job(unit.job).is_some_and(|job| !job.state.is_final());
        let may_wait = match run.stop_reason {
            Some(StopReason::Leaving | StopReason::EarlierStart) => true,
            Some(StopReason::UnansweredStart) => run.is_at_work(),
            _ => false,
        };
        let is_on_present = run.placed_on == worker.incarnation.started_at;
        if !(may_wait && run.is_stop_open() && is_on_present && is_wanted) || is_draining {
            return true;
        }
        self.may_lack(ledger, &unit, |_, other, run| {
            run.state == RunState::Running || run.is_stop_open() && other.index > unit.index
        })
    }

    /// Whether a step may lack a unit: fewer others than `max_unavailable` are unavailable. One is available
    /// only if its worker answers and lists it at 100 percent, in a run that `counts`.
    fn may_lack(
        &mut self,
        ledger: &Ledger,
        unit: &UnitKey,
        counts: impl Fn(&WorkerId, &UnitKey, &Run) -> bool,
    ) -> bool {
        let Some(job) = ledger.job(unit.job) else { return true };
        let step = &job.definition.steps[usize::from(unit.step)];
        let Some(max_unavailable) = step.max_unavailable else { return true };
        let key = unit.step_key();
        let mut available_units = BTreeSet::new();
        for (id, other, number) in self.find_runs(key.unit(0)..=key.unit(u32::MAX)) {
            let worker = &self.workers[&id];
            let run = &worker.runs[&(other, number)];
            let is_at_work = run.progress.0 >= 100 && counts(&id, &other, run);
            let is_heard =
                worker.polling.unanswered == 0 && !worker.is_unheard(self.time.monotonic);
            if is_at_work && worker.answered_under_fence && is_heard {
                available_units.insert(other.index);
            }
        }
        available_units.remove(&unit.index);
        let unavailable = (step.count - 1).saturating_sub(available_units.len() as u32);
        unavailable < max_unavailable
    }

    /// Sends the orders that are due. An order waits while long-running work is on the
    /// instance.
    fn order_maintenance(&mut self, time: Time, ledger: &Ledger) {
        let mut due = Vec::new();
        for (instance, pending) in &mut self.maintenance.ordered {
            if pending.sent_at.is_none_or(|at| time.monotonic >= at + MAINTENANCE_RETRY_DELAY) {
                // The earlier copy has no answer yet, and a refusal of this one does not tell
                // whether it was carried out.
                if !pending.is_refused {
                    pending.unanswered_at = pending.unanswered_at.max(pending.sent_at);
                }
                pending.is_refused = false;
                pending.sent_at = Some(time.monotonic);
                due.push((instance.clone(), pending.wave));
            }
        }
        let ordered: Vec<InstanceId> = self.maintenance.ordered.keys().cloned().collect();
        for instance in ordered {
            self.cordon(&instance); // its worker may have first reported after the evacuation
        }
        for (instance, wave) in due {
            // Maintenance would end long-running work that was placed here after the
            // evacuation ended.
            let long_running = match self.worker_of(&instance) {
                Some(id) => self.workers[&id].runs.values().any(|run| run.long_running),
                None => self.has_runs_on_unknown_instance(),
            };
            if long_running {
                self.stop_long_running(time, ledger, &instance);
                continue;
            }
            let (fence, sent_at) = (self.fences.term(), time.monotonic);
            let leave_by = sent_at + SEND_WINDOW;
            let order = MaintenanceOrder { instance, wave, fence, sent_at, leave_by };
            self.orders.push(Order::Maintain(order));
        }
    }

    /// Requests the instance list if some maintenance should have ended by now.
    fn watch_maintenance(&mut self, time: Time) {
        let overdue = self.maintenance.begun.values().any(|begun| {
            time.monotonic
                >= begun.learned_at + self.settings.maintenance_duration + MAINTENANCE_RETRY_DELAY
        });
        if overdue {
            self.request_instance_list(time);
        }
    }

    /// Handles that an instance is down for maintenance or a move: its worker has ended,
    /// and its runs are discarded.
    pub(super) fn on_instance_down(&mut self, time: Time, instance: &InstanceId) {
        if let Some(id) = self.worker_of(instance) {
            self.discard_all(time, &id, "its instance is down for maintenance or a move");
            let Some(worker) = self.workers.get_mut(&id) else { return };
            worker.end();
            worker.hold_late_starts(); // the next worker on the instance may have its id
            for unit in worker.late_units() {
                self.hold_waiting(&unit);
            }
        }
    }

    /// Proposes that an instance's maintenance is done, unless another change is proposed.
    pub(super) fn propose_done(&mut self, wave: WaveId, instance: InstanceId) {
        if !self.has_proposed_phase(&instance) {
            self.propose_phase(wave, &instance, Phase::Done);
        }
    }

    /// Proposes a new maintenance phase of an instance.
    pub(super) fn propose_phase(&mut self, wave: WaveId, instance: &InstanceId, phase: Phase) {
        self.explain(instance.clone(), format!("wave {wave}: {phase:?}"));
        self.maintenance.proposed_phases.insert(instance.clone(), phase);
        let at = self.time.wall;
        let present = self.incarnation_on(instance);
        let worker_started_at = present.as_ref().map(|present| present.started_at);
        let (instance, worker) = (instance.clone(), present.map(|present| present.worker));
        let change = MaintenanceChange { wave, instance, phase, worker_started_at, worker, at };
        self.commands.push(Command::Maintenance(change));
    }
}
