//! Maintenance waves: emptying machines and ordering their upkeep.
//!
//! Answers a wave of half of the machines within its time. A machine is taken out
//! of use, its lasting work is moved within the step's budget, short work ends by
//! itself, and only then its upkeep is ordered.

use super::{Scheduler, Time};
use crate::instance::{Instance, State};
use crate::order::{Answer, Maintenance as MaintenanceOrder, Order, Refusal};
use crate::roster::Report;
use crate::worker::{RunState, StopReason};
use jobs::command::{Command, MaintenanceChange};
use jobs::wave::Phase;
use jobs::{InstanceId, Ledger, RunNumber, UnitKey, WaveId, WorkerId};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Time after which an order to the cloud without an answer is sent again.
const ORDER_AGAIN: Duration = Duration::from_millis(1000);
/// Least time between two readings of the list of machines.
const LIST_INTERVAL: Duration = Duration::from_millis(1500);
/// Lists in a row without a machine after which it is gone for good; one may have been
/// read in pages while it changed.
const GONE_AFTER: u32 = 2;
/// Part of a wave's time after which a machine no longer waits for short work.
const HASTE: f64 = 0.75;
/// Machines of one pool that are emptied at one time, as a part of the pool.
const POOL_SHARE: f64 = 0.34;

/// Answer to an order for upkeep.
#[derive(Clone, Debug, PartialEq)]
pub struct MaintenanceReply {
    /// The machine.
    pub instance: InstanceId,
    /// The wave.
    pub wave: WaveId,
    /// What came of it.
    pub answer: Answer<()>,
}

/// Answer to an order to move.
#[derive(Clone, Debug, PartialEq)]
pub struct MoveReply {
    /// The machine.
    pub instance: InstanceId,
    /// What came of it.
    pub answer: Answer<()>,
}

/// How far the leader is with the waves.
#[derive(Clone, Debug, Default)]
pub struct Progress {
    /// Machines that are being emptied, and the wave that asks for it.
    evacuating: BTreeMap<InstanceId, WaveId>,
    /// Orders that are in the log: when each is due to be sent.
    ordered: BTreeMap<InstanceId, Sending>,
    /// Machines whose upkeep has begun, and since when by this leader's clock.
    begun: BTreeMap<InstanceId, Begun>,
    /// When each wave was first seen by this leader.
    seen: BTreeMap<WaveId, Duration>,
    /// Machines that can't be had before a time.
    later: BTreeMap<InstanceId, Duration>,
    /// Machines whose upkeep the cloud refuses, and the lists since without them.
    refused: BTreeMap<InstanceId, (WaveId, u32)>,
    /// Changes that are on their way into the log.
    changing: BTreeMap<InstanceId, Phase>,
    /// When the list was last asked for.
    listed: Option<Duration>,
}

#[derive(Clone, Debug)]
struct Sending {
    wave: WaveId,
    sent: Option<Duration>,
    unanswered: bool,
}

#[derive(Clone, Debug)]
struct Begun {
    wave: WaveId,
    since: Duration,
}

/// Inputs.
impl Scheduler {
    pub(super) fn inherit_waves(&mut self, time: Time, ledger: &Ledger) {
        for (id, wave) in ledger.waves() {
            for (instance, phase) in &wave.instances {
                self.on_phase_changed(time, *id, instance, *phase);
            }
        }
        for sending in self.maintenance.ordered.values_mut() {
            sending.unanswered = true; // the leader before may have sent it
        }
    }

    pub(super) fn on_phase_changed(
        &mut self,
        time: Time,
        wave: WaveId,
        instance: &InstanceId,
        phase: Phase,
    ) {
        self.maintenance.changing.remove(instance);
        self.maintenance.ordered.remove(instance);
        self.maintenance.begun.remove(instance);
        match phase {
            Phase::Due => {}
            Phase::Ordered => {
                let sending = Sending { wave, sent: None, unanswered: false };
                self.maintenance.ordered.insert(instance.clone(), sending);
            }
            Phase::Begun => {
                let begun = Begun { wave, since: time.monotonic };
                self.maintenance.begun.insert(instance.clone(), begun);
            }
            Phase::Done | Phase::Gone => {
                self.maintenance.refused.remove(instance);
                self.maintenance.evacuating.remove(instance);
                self.uncordon(instance);
            }
        }
    }

    /// A new life has reported from a machine: if it was born after the machine's
    /// upkeep began, the upkeep is over.
    pub(super) fn new_incarnation_reported(
        &mut self,
        time: Time,
        ledger: &Ledger,
        report: &Report,
    ) {
        let Some(begun) = self.maintenance.begun.get(&report.instance) else { return };
        let ended =
            ledger.waves().get(&begun.wave).and_then(|w| w.worker_started_at.get(&report.instance));
        if ended.is_none_or(|started_at| report.incarnation.started_at <= *started_at) {
            return; // it may be the life that the upkeep ended; the list will tell
        }
        if time.monotonic < begun.since + self.settings.maintenance_duration / 2 {
            return; // a report from before, or one that the leader before had heard
        }
        self.maintenance_done(begun.wave, report.instance.clone());
    }

    /// Takes in the list of machines.
    pub fn on_instance_list(&mut self, time: Time, instances: Vec<Instance>) {
        let before = std::mem::take(&mut self.instances);
        self.instances = instances.into_iter().map(|m| (m.id.clone(), m)).collect();
        self.explain_listing_changes(&before);
        self.propose_gone();
        let over: Vec<(InstanceId, WaveId)> = self
            .maintenance
            .begun
            .iter()
            .filter(|(instance, begun)| {
                let state = self.instances.get(*instance).map(|instance| instance.state);
                time.monotonic >= begun.since + self.settings.maintenance_duration
                    && state.is_none_or(|state| state == State::Up)
            })
            .map(|(instance, begun)| (instance.clone(), begun.wave))
            .collect();
        for (instance, wave) in over {
            self.maintenance_done(wave, instance);
        }
        self.on_instances_listed(time);
    }

    /// Notes machines that went down, came back, or are not in the list any more.
    fn explain_listing_changes(&mut self, before: &BTreeMap<InstanceId, Instance>) {
        let mut changes = Vec::new();
        for (id, instance) in &self.instances {
            let held = before.get(id).map(|held| held.state);
            let down = instance.state == State::Down;
            if down != (held == Some(State::Down)) {
                changes.push((id.clone(), format!("is listed as {:?}", instance.state)));
            }
        }
        for id in before.keys().filter(|id| !self.instances.contains_key(*id)) {
            changes.push((id.clone(), "is not listed any more".to_string()));
        }
        for (instance, text) in changes {
            self.explain(instance, text);
        }
    }

    /// A machine whose upkeep is refused and that no list names is gone for good.
    fn propose_gone(&mut self) {
        let mut gone = Vec::new();
        for (instance, (wave, lists)) in &mut self.maintenance.refused {
            *lists = if self.instances.contains_key(instance) { 0 } else { *lists + 1 };
            if *lists >= GONE_AFTER {
                gone.push((instance.clone(), *wave));
            }
        }
        for (instance, wave) in gone {
            if !self.has_proposed_phase(&instance)
                && !self.maintenance.ordered.contains_key(&instance)
            {
                self.maintenance.refused.remove(&instance);
                self.propose_phase(wave, &instance, Phase::Gone);
            }
        }
    }

    /// Takes in the answer to an order for upkeep.
    pub fn on_maintenance_reply(&mut self, time: Time, reply: MaintenanceReply) {
        let MaintenanceReply { instance, wave, answer } = reply;
        let Some(sending) = self.maintenance.ordered.get_mut(&instance) else { return };
        let first = !sending.unanswered;
        match answer {
            Answer::Done(()) => {
                self.maintenance.ordered.remove(&instance);
                self.propose_phase(wave, &instance, Phase::Begun);
                self.on_instance_taken(&instance);
            }
            Answer::Refused(Refusal::Fence) => self.supersede(&instance),
            Answer::Refused(Refusal::Wave | Refusal::Invalid) => {
                self.maintenance.ordered.remove(&instance);
                self.propose_phase(wave, &instance, Phase::Gone);
            }
            Answer::Refused(Refusal::State) if first => {
                // It has certainly not begun; others may go before it.
                self.maintenance.ordered.remove(&instance);
                self.maintenance.later.insert(instance.clone(), time.monotonic + ORDER_AGAIN);
                self.maintenance.evacuating.remove(&instance);
                self.maintenance.refused.entry(instance.clone()).or_insert((wave, 0));
                self.uncordon(&instance);
                self.request_instance_list(time);
                let state = self.instances.get(&instance).map(|instance| instance.state);
                self.explain(
                    instance.clone(),
                    format!("its upkeep is refused, listed as {state:?}"),
                );
                self.propose_phase(wave, &instance, Phase::Due);
            }
            Answer::Refused(_) => {}
            Answer::Misdirected | Answer::Unknown => sending.unanswered = true,
        }
    }

    /// Takes in the answer to an order to move.
    pub fn on_move_reply(&mut self, time: Time, moved: MoveReply) {
        self.apply_move_reply(time, moved);
    }

    /// Whether a machine is being emptied for its upkeep, or has it.
    pub(super) fn is_in_maintenance(&self, instance: &InstanceId) -> bool {
        self.maintenance.evacuating.contains_key(instance)
            || self.maintenance.ordered.contains_key(instance)
            || self.maintenance.begun.contains_key(instance)
            || self.maintenance.changing.contains_key(instance)
    }
}

/// Decisions.
impl Scheduler {
    pub(super) fn run_maintenance(&mut self, time: Time, ledger: &Ledger) {
        self.evacuate_instances(time, ledger);
        self.order_maintenance(time, ledger);
        self.watch_maintenance(time);
    }

    fn evacuate_instances(&mut self, time: Time, ledger: &Ledger) {
        self.mark_due(ledger);
        for (id, wave) in ledger.waves() {
            if wave.is_completed() {
                continue;
            }
            self.maintenance.seen.entry(*id).or_insert(time.monotonic);
            let taken = self.maintenance.evacuating.values().filter(|wave| *wave == id).count();
            let mut free = (wave.max_unavailable as usize).saturating_sub(taken);
            let due: Vec<InstanceId> = wave
                .instances
                .iter()
                .filter(|(instance, phase)| {
                    **phase == Phase::Due
                        && !self.is_moving(instance)
                        && !self.maintenance.evacuating.contains_key(*instance)
                        && self
                            .maintenance
                            .later
                            .get(*instance)
                            .is_none_or(|at| time.monotonic >= *at)
                })
                .map(|(instance, _)| instance.clone())
                .collect();
            for instance in self.easiest_first(due) {
                if free == 0 {
                    break;
                }
                if self.may_evacuate(&instance) {
                    self.maintenance.evacuating.insert(instance.clone(), *id);
                    self.cordon(&instance);
                    self.explain(instance, format!("is emptied for wave {id}"));
                    free -= 1;
                }
            }
        }
        let evacuating: Vec<(InstanceId, WaveId)> =
            self.maintenance.evacuating.iter().map(|(m, w)| (m.clone(), *w)).collect();
        for (instance, wave) in evacuating {
            self.evacuate_instance(time, ledger, &instance, wave);
        }
    }

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

    /// Machines with the least work to lose come first.
    fn easiest_first(&self, mut due: Vec<InstanceId>) -> Vec<InstanceId> {
        due.sort_by_key(|instance| {
            let worker = self.worker_of(instance).and_then(|id| self.workers.get(&id));
            worker.map_or(0, |worker| worker.used.cpu_milli)
        });
        due
    }

    /// Not too much of a pool at one time.
    fn may_evacuate(&self, instance: &InstanceId) -> bool {
        let Some(id) = self.worker_of(instance) else { return true };
        let Some(report) = self.workers.get(&id).and_then(|worker| worker.report.as_ref()) else {
            return true;
        };
        let in_pool = |worker: &&crate::Worker| {
            worker.report.as_ref().is_some_and(|other| other.pool == report.pool)
        };
        let all = self.workers.values().filter(in_pool).count();
        let closed = self.workers.values().filter(in_pool).filter(|w| w.cordoned).count();
        closed < ((all as f64 * POOL_SHARE) as usize).max(1)
    }

    /// The newest worker that has reported from a machine, while it lives.
    pub(super) fn worker_of(&self, instance: &InstanceId) -> Option<WorkerId> {
        let id = self.worker_by_instance.get(instance)?;
        let report = self.workers.get(id)?.report.as_ref()?;
        (report.instance == *instance).then(|| id.clone())
    }

    pub(super) fn cordon(&mut self, instance: &InstanceId) {
        if let Some(id) = self.worker_of(instance)
            && let Some(worker) = self.workers.get_mut(&id)
        {
            worker.cordoned = true;
        }
    }

    pub(super) fn uncordon(&mut self, instance: &InstanceId) {
        if let Some(id) = self.worker_of(instance)
            && let Some(worker) = self.workers.get_mut(&id)
        {
            worker.cordoned = false;
        }
    }

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
        let seen = self.maintenance.seen.get(&wave_id).copied().unwrap_or(time.monotonic);
        let hasty = time.monotonic > seen + wave.duration.mul_f64(HASTE);
        self.cordon(instance);
        self.stop_long_running(time, ledger, instance);
        let busy = match self.worker_of(instance) {
            Some(id) => self.workers[&id].runs.values().any(|run| run.long_running || !hasty),
            None => self.has_runs_on_unknown_instance(),
        };
        if !busy
            && !self.has_proposed_phase(instance)
            && self.down(wave) < wave.max_unavailable as usize
        {
            self.propose_phase(wave_id, instance, Phase::Ordered);
        }
    }

    /// Whether runs may be on a worker whose machine is not known yet.
    fn has_runs_on_unknown_instance(&self) -> bool {
        let homeless = |worker: &crate::Worker| {
            worker.report.is_none() && !worker.ended && !worker.runs.is_empty()
        };
        self.workers.values().any(homeless)
    }

    fn has_proposed_phase(&self, instance: &InstanceId) -> bool {
        self.maintenance.changing.contains_key(instance)
    }

    /// Machines that are down for a wave, or about to be.
    fn down(&self, wave: &jobs::Wave) -> usize {
        let about = |(instance, phase): &(&InstanceId, &Phase)| {
            **phase == Phase::Ordered && wave.instances.get(*instance) == Some(&Phase::Due)
        };
        wave.down_count() + self.maintenance.changing.iter().filter(about).count()
    }

    /// Stops lasting work on a machine as far as the budgets of its steps allow.
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

    /// Whether a unit may be interrupted by an act of the system: not while as many
    /// others of its step are, or may be, away as its budget says.
    fn may_interrupt(&self, ledger: &Ledger, unit: &UnitKey) -> bool {
        let Some(job) = ledger.job(unit.job) else { return true };
        let step = &job.definition.steps[usize::from(unit.step)];
        let Some(budget) = step.max_unavailable else { return true };
        let key = unit.step_key();
        let mut at_work = BTreeSet::new();
        for worker in self.workers.values() {
            for ((other, _), run) in worker.runs.range(key.range()) {
                let known = run.state == RunState::Running && run.progress.0 >= 100;
                if known && worker.verified && worker.polling.failures == 0 {
                    at_work.insert(other.index);
                }
            }
        }
        at_work.remove(&unit.index);
        let away = (step.count - 1).saturating_sub(at_work.len() as u32);
        away < budget
    }

    fn order_maintenance(&mut self, time: Time, ledger: &Ledger) {
        let mut due = Vec::new();
        for (instance, sending) in &mut self.maintenance.ordered {
            if sending.sent.is_none_or(|at| time.monotonic >= at + ORDER_AGAIN) {
                sending.sent = Some(time.monotonic);
                due.push((instance.clone(), sending.wave));
            }
        }
        let ordered: Vec<InstanceId> = self.maintenance.ordered.keys().cloned().collect();
        for instance in ordered {
            self.cordon(&instance); // its worker may have become known since
        }
        for (instance, wave) in due {
            // What was placed on it since, or is lasting, must not be cut off.
            let long_running = match self.worker_of(&instance) {
                Some(id) => self.workers[&id].runs.values().any(|run| run.long_running),
                None => self.has_runs_on_unknown_instance(),
            };
            if long_running {
                self.stop_long_running(time, ledger, &instance);
                continue;
            }
            let order = MaintenanceOrder { instance, wave, fence: self.fence };
            self.orders.push(Order::Maintain(order));
        }
    }

    fn watch_maintenance(&mut self, time: Time) {
        let overdue = self.maintenance.begun.values().any(|begun| {
            time.monotonic >= begun.since + self.settings.maintenance_duration + ORDER_AGAIN
        });
        if overdue {
            self.request_instance_list(time);
        }
    }

    pub(super) fn request_instance_list(&mut self, time: Time) {
        if self.maintenance.listed.is_none_or(|at| time.monotonic >= at + LIST_INTERVAL) {
            self.maintenance.listed = Some(time.monotonic);
            self.orders.push(Order::ListInstances);
        }
    }

    /// The cloud has taken a machine: what its worker ran is over.
    pub(super) fn on_instance_taken(&mut self, instance: &InstanceId) {
        if let Some(id) = self.worker_of(instance) {
            self.discard_all(&id, "the cloud has taken its machine");
            if let Some(worker) = self.workers.get_mut(&id) {
                worker.report = None;
                worker.verified = false;
                worker.ended = true;
            }
        }
    }

    fn maintenance_done(&mut self, wave: WaveId, instance: InstanceId) {
        if !self.has_proposed_phase(&instance) {
            self.propose_phase(wave, &instance, Phase::Done);
        }
    }

    pub(super) fn propose_phase(&mut self, wave: WaveId, instance: &InstanceId, phase: Phase) {
        self.explain(instance.clone(), format!("wave {wave}: {phase:?}"));
        self.maintenance.changing.insert(instance.clone(), phase);
        let at = self.time.wall;
        let worker = self.worker_of(instance).and_then(|id| self.workers.get(&id));
        let worker_started_at = worker.map(|worker| worker.incarnation.started_at);
        let change =
            MaintenanceChange { wave, instance: instance.clone(), phase, worker_started_at, at };
        self.commands.push(Command::Maintenance(change));
    }
}
