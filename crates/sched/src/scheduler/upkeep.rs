//! Maintenance waves: emptying machines and ordering their upkeep.
//!
//! Answers a wave of half of the machines within its time. A machine is taken out
//! of use, its lasting work is moved within the step's budget, short work ends by
//! itself, and only then its upkeep is ordered.

use super::{Moment, Scheduler};
use crate::machine::{Machine, State};
use crate::order::{Answer, Order, Refusal, Upkeep as UpkeepOrder};
use crate::roster::Report;
use crate::worker::{RunState, StopReason};
use jobs::command::{Command, UpkeepChange};
use jobs::wave::Upkeep;
use jobs::{Ledger, MachineId, RunNumber, UnitKey, WaveId, WorkerId};
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
pub struct UpkeptMachine {
    /// The machine.
    pub machine: MachineId,
    /// The wave.
    pub wave: WaveId,
    /// What came of it.
    pub answer: Answer<()>,
}

/// Answer to an order to move.
#[derive(Clone, Debug, PartialEq)]
pub struct MovedMachine {
    /// The machine.
    pub machine: MachineId,
    /// What came of it.
    pub answer: Answer<()>,
}

/// How far the leader is with the waves.
#[derive(Clone, Debug, Default)]
pub struct Progress {
    /// Machines that are being emptied, and the wave that asks for it.
    emptying: BTreeMap<MachineId, WaveId>,
    /// Orders that are in the log: when each is due to be sent.
    ordered: BTreeMap<MachineId, Sending>,
    /// Machines whose upkeep has begun, and since when by this leader's clock.
    begun: BTreeMap<MachineId, Begun>,
    /// When each wave was first seen by this leader.
    seen: BTreeMap<WaveId, Duration>,
    /// Machines that can't be had before a time.
    later: BTreeMap<MachineId, Duration>,
    /// Machines whose upkeep the cloud refuses, and the lists since without them.
    refused: BTreeMap<MachineId, (WaveId, u32)>,
    /// Changes that are on their way into the log.
    changing: BTreeMap<MachineId, Upkeep>,
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
    pub(super) fn inherit_waves(&mut self, moment: Moment, ledger: &Ledger) {
        for (id, wave) in ledger.waves() {
            for (machine, upkeep) in &wave.machines {
                self.upkeep_changed(moment, *id, machine, *upkeep);
            }
        }
        for sending in self.upkeep.ordered.values_mut() {
            sending.unanswered = true; // the leader before may have sent it
        }
    }

    pub(super) fn upkeep_changed(
        &mut self,
        moment: Moment,
        wave: WaveId,
        machine: &MachineId,
        upkeep: Upkeep,
    ) {
        self.upkeep.changing.remove(machine);
        self.upkeep.ordered.remove(machine);
        self.upkeep.begun.remove(machine);
        match upkeep {
            Upkeep::Due => {}
            Upkeep::Ordered => {
                let sending = Sending { wave, sent: None, unanswered: false };
                self.upkeep.ordered.insert(machine.clone(), sending);
            }
            Upkeep::Begun => {
                let begun = Begun { wave, since: moment.now };
                self.upkeep.begun.insert(machine.clone(), begun);
            }
            Upkeep::Done | Upkeep::Gone => {
                self.upkeep.refused.remove(machine);
                self.upkeep.emptying.remove(machine);
                self.reopen(machine);
            }
        }
    }

    /// A new life has reported from a machine: if it was born after the machine's
    /// upkeep began, the upkeep is over.
    pub(super) fn new_life_reported(&mut self, moment: Moment, ledger: &Ledger, report: &Report) {
        let Some(begun) = self.upkeep.begun.get(&report.machine) else { return };
        let ended = ledger.waves().get(&begun.wave).and_then(|w| w.lives.get(&report.machine));
        if ended.is_none_or(|born| report.life.born <= *born) {
            return; // it may be the life that the upkeep ended; the list will tell
        }
        if moment.now < begun.since + self.settings.upkeep_time / 2 {
            return; // a report from before, or one that the leader before had heard
        }
        self.upkeep_done(begun.wave, report.machine.clone());
    }

    /// Takes in the list of machines.
    pub fn listed(&mut self, moment: Moment, machines: Vec<Machine>) {
        let before = std::mem::take(&mut self.machines);
        self.machines = machines.into_iter().map(|m| (m.machine.clone(), m)).collect();
        self.note_listed(&before);
        self.note_gone();
        let over: Vec<(MachineId, WaveId)> = self
            .upkeep
            .begun
            .iter()
            .filter(|(machine, begun)| {
                let state = self.machines.get(*machine).map(|machine| machine.state);
                moment.now >= begun.since + self.settings.upkeep_time
                    && state.is_none_or(|state| state == State::Up)
            })
            .map(|(machine, begun)| (machine.clone(), begun.wave))
            .collect();
        for (machine, wave) in over {
            self.upkeep_done(wave, machine);
        }
        self.machines_listed(moment);
    }

    /// Notes machines that went down, came back, or are not in the list any more.
    fn note_listed(&mut self, before: &BTreeMap<MachineId, Machine>) {
        let mut changes = Vec::new();
        for (id, machine) in &self.machines {
            let held = before.get(id).map(|held| held.state);
            let down = machine.state == State::Down;
            if down != (held == Some(State::Down)) {
                changes.push((id.clone(), format!("is listed as {:?}", machine.state)));
            }
        }
        for id in before.keys().filter(|id| !self.machines.contains_key(*id)) {
            changes.push((id.clone(), "is not listed any more".to_string()));
        }
        for (machine, text) in changes {
            self.note(machine, text);
        }
    }

    /// A machine whose upkeep is refused and that no list names is gone for good.
    fn note_gone(&mut self) {
        let mut gone = Vec::new();
        for (machine, (wave, lists)) in &mut self.upkeep.refused {
            *lists = if self.machines.contains_key(machine) { 0 } else { *lists + 1 };
            if *lists >= GONE_AFTER {
                gone.push((machine.clone(), *wave));
            }
        }
        for (machine, wave) in gone {
            if !self.is_changing(&machine) && !self.upkeep.ordered.contains_key(&machine) {
                self.upkeep.refused.remove(&machine);
                self.change(wave, &machine, Upkeep::Gone);
            }
        }
    }

    /// Takes in the answer to an order for upkeep.
    pub fn upkept(&mut self, moment: Moment, upkept: UpkeptMachine) {
        let UpkeptMachine { machine, wave, answer } = upkept;
        let Some(sending) = self.upkeep.ordered.get_mut(&machine) else { return };
        let first = !sending.unanswered;
        match answer {
            Answer::Done(()) => {
                self.upkeep.ordered.remove(&machine);
                self.change(wave, &machine, Upkeep::Begun);
                self.machine_emptied(&machine);
            }
            Answer::Refused(Refusal::Fence) => self.supersede(&machine),
            Answer::Refused(Refusal::Wave | Refusal::Invalid) => {
                self.upkeep.ordered.remove(&machine);
                self.change(wave, &machine, Upkeep::Gone);
            }
            Answer::Refused(Refusal::State) if first => {
                // It has certainly not begun; others may go before it.
                self.upkeep.ordered.remove(&machine);
                self.upkeep.later.insert(machine.clone(), moment.now + ORDER_AGAIN);
                self.upkeep.emptying.remove(&machine);
                self.upkeep.refused.entry(machine.clone()).or_insert((wave, 0));
                self.reopen(&machine);
                self.ask_for_list(moment);
                let state = self.machines.get(&machine).map(|machine| machine.state);
                self.note(machine.clone(), format!("its upkeep is refused, listed as {state:?}"));
                self.change(wave, &machine, Upkeep::Due);
            }
            Answer::Refused(_) => {}
            Answer::Gone | Answer::Unknown => sending.unanswered = true,
        }
    }

    /// Takes in the answer to an order to move.
    pub fn moved(&mut self, moment: Moment, moved: MovedMachine) {
        self.machine_moved(moment, moved);
    }

    /// Whether a machine is being emptied for its upkeep, or has it.
    pub(super) fn is_kept_up(&self, machine: &MachineId) -> bool {
        self.upkeep.emptying.contains_key(machine)
            || self.upkeep.ordered.contains_key(machine)
            || self.upkeep.begun.contains_key(machine)
            || self.upkeep.changing.contains_key(machine)
    }
}

/// Decisions.
impl Scheduler {
    pub(super) fn keep_up(&mut self, moment: Moment, ledger: &Ledger) {
        self.empty_machines(moment, ledger);
        self.order_upkeep(moment, ledger);
        self.watch_upkeep(moment);
    }

    fn empty_machines(&mut self, moment: Moment, ledger: &Ledger) {
        self.mark_due(ledger);
        for (id, wave) in ledger.waves() {
            if wave.is_completed() {
                continue;
            }
            self.upkeep.seen.entry(*id).or_insert(moment.now);
            let taken = self.upkeep.emptying.values().filter(|wave| *wave == id).count();
            let mut free = (wave.cap as usize).saturating_sub(taken);
            let due: Vec<MachineId> = wave
                .machines
                .iter()
                .filter(|(machine, upkeep)| {
                    **upkeep == Upkeep::Due
                        && !self.is_moving(machine)
                        && !self.upkeep.emptying.contains_key(*machine)
                        && self.upkeep.later.get(*machine).is_none_or(|at| moment.now >= *at)
                })
                .map(|(machine, _)| machine.clone())
                .collect();
            for machine in self.easiest_first(due) {
                if free == 0 {
                    break;
                }
                if self.may_empty(&machine) {
                    self.upkeep.emptying.insert(machine.clone(), *id);
                    self.close(&machine);
                    self.note(machine, format!("is emptied for wave {id}"));
                    free -= 1;
                }
            }
        }
        let emptying: Vec<(MachineId, WaveId)> =
            self.upkeep.emptying.iter().map(|(m, w)| (m.clone(), *w)).collect();
        for (machine, wave) in emptying {
            self.empty_machine(moment, ledger, &machine, wave);
        }
    }

    fn mark_due(&mut self, ledger: &Ledger) {
        let waves: Vec<&jobs::Wave> =
            ledger.waves().values().filter(|wave| !wave.is_completed()).collect();
        for worker in self.workers.values_mut() {
            let machine = worker.report.as_ref().map(|report| &report.machine);
            worker.due = machine.is_some_and(|machine| {
                waves.iter().any(|wave| wave.machines.get(machine) == Some(&Upkeep::Due))
            });
        }
    }

    /// Machines with the least work to lose come first.
    fn easiest_first(&self, mut due: Vec<MachineId>) -> Vec<MachineId> {
        due.sort_by_key(|machine| {
            let worker = self.worker_of(machine).and_then(|id| self.workers.get(&id));
            worker.map_or(0, |worker| worker.used.cpu_milli)
        });
        due
    }

    /// Not too much of a pool at one time.
    fn may_empty(&self, machine: &MachineId) -> bool {
        let Some(id) = self.worker_of(machine) else { return true };
        let Some(report) = self.workers.get(&id).and_then(|worker| worker.report.as_ref()) else {
            return true;
        };
        let in_pool = |worker: &&crate::Worker| {
            worker.report.as_ref().is_some_and(|other| other.pool == report.pool)
        };
        let all = self.workers.values().filter(in_pool).count();
        let closed = self.workers.values().filter(in_pool).filter(|w| w.closing).count();
        closed < ((all as f64 * POOL_SHARE) as usize).max(1)
    }

    /// The newest worker that has reported from a machine, while it lives.
    pub(super) fn worker_of(&self, machine: &MachineId) -> Option<WorkerId> {
        let id = self.by_machine.get(machine)?;
        let report = self.workers.get(id)?.report.as_ref()?;
        (report.machine == *machine).then(|| id.clone())
    }

    pub(super) fn close(&mut self, machine: &MachineId) {
        if let Some(id) = self.worker_of(machine)
            && let Some(worker) = self.workers.get_mut(&id)
        {
            worker.closing = true;
        }
    }

    pub(super) fn reopen(&mut self, machine: &MachineId) {
        if let Some(id) = self.worker_of(machine)
            && let Some(worker) = self.workers.get_mut(&id)
        {
            worker.closing = false;
        }
    }

    fn empty_machine(
        &mut self,
        moment: Moment,
        ledger: &Ledger,
        machine: &MachineId,
        wave_id: WaveId,
    ) {
        let Some(wave) = ledger.waves().get(&wave_id) else { return };
        if wave.machines.get(machine) != Some(&Upkeep::Due) {
            return;
        }
        let seen = self.upkeep.seen.get(&wave_id).copied().unwrap_or(moment.now);
        let hasty = moment.now > seen + wave.duration.mul_f64(HASTE);
        self.close(machine);
        self.move_lasting(moment, ledger, machine);
        let busy = match self.worker_of(machine) {
            Some(id) => self.workers[&id].runs.values().any(|run| run.lasting || !hasty),
            None => self.has_homeless(),
        };
        if !busy && !self.is_changing(machine) && self.down(wave) < wave.cap as usize {
            self.change(wave_id, machine, Upkeep::Ordered);
        }
    }

    /// Whether runs may be on a worker whose machine is not known yet.
    fn has_homeless(&self) -> bool {
        let homeless = |worker: &crate::Worker| {
            worker.report.is_none() && !worker.gone && !worker.runs.is_empty()
        };
        self.workers.values().any(homeless)
    }

    fn is_changing(&self, machine: &MachineId) -> bool {
        self.upkeep.changing.contains_key(machine)
    }

    /// Machines that are down for a wave, or about to be.
    fn down(&self, wave: &jobs::Wave) -> usize {
        let about = |(machine, upkeep): &(&MachineId, &Upkeep)| {
            **upkeep == Upkeep::Ordered && wave.machines.get(*machine) == Some(&Upkeep::Due)
        };
        wave.down() + self.upkeep.changing.iter().filter(about).count()
    }

    /// Stops lasting work on a machine as far as the budgets of its steps allow.
    pub(super) fn move_lasting(&mut self, moment: Moment, ledger: &Ledger, machine: &MachineId) {
        let Some(id) = self.worker_of(machine) else { return };
        let lasting: Vec<(UnitKey, RunNumber)> = self.workers[&id]
            .runs
            .iter()
            .filter(|(_, run)| run.lasting && !run.is_over())
            .map(|(key, _)| *key)
            .collect();
        for (unit, number) in lasting {
            let running = self.workers[&id]
                .runs
                .get(&(unit, number))
                .is_some_and(|run| run.state == RunState::Running);
            if running && self.may_interrupt(ledger, &unit) {
                self.stop(moment, ledger, &id, unit, number, StopReason::Leaving);
            }
        }
    }

    /// Whether a unit may be interrupted by an act of the system: not while as many
    /// others of its step are, or may be, away as its budget says.
    fn may_interrupt(&self, ledger: &Ledger, unit: &UnitKey) -> bool {
        let Some(job) = ledger.job(unit.job) else { return true };
        let step = &job.order.steps[usize::from(unit.step)];
        let Some(budget) = step.may_miss else { return true };
        let key = unit.step_key();
        let mut at_work = BTreeSet::new();
        for worker in self.workers.values() {
            for ((other, _), run) in worker.runs.range(key.range()) {
                let known = run.state == RunState::Running && run.progress.0 >= 100;
                if known && worker.verified && worker.asking.failures == 0 {
                    at_work.insert(other.index);
                }
            }
        }
        at_work.remove(&unit.index);
        let away = (step.count - 1).saturating_sub(at_work.len() as u32);
        away < budget
    }

    fn order_upkeep(&mut self, moment: Moment, ledger: &Ledger) {
        let mut due = Vec::new();
        for (machine, sending) in &mut self.upkeep.ordered {
            if sending.sent.is_none_or(|at| moment.now >= at + ORDER_AGAIN) {
                sending.sent = Some(moment.now);
                due.push((machine.clone(), sending.wave));
            }
        }
        let ordered: Vec<MachineId> = self.upkeep.ordered.keys().cloned().collect();
        for machine in ordered {
            self.close(&machine); // its worker may have become known since
        }
        for (machine, wave) in due {
            // What was placed on it since, or is lasting, must not be cut off.
            let lasting = match self.worker_of(&machine) {
                Some(id) => self.workers[&id].runs.values().any(|run| run.lasting),
                None => self.has_homeless(),
            };
            if lasting {
                self.move_lasting(moment, ledger, &machine);
                continue;
            }
            let order = UpkeepOrder { machine, wave, fence: self.fence };
            self.orders.push(Order::Upkeep(order));
        }
    }

    fn watch_upkeep(&mut self, moment: Moment) {
        let overdue = self
            .upkeep
            .begun
            .values()
            .any(|begun| moment.now >= begun.since + self.settings.upkeep_time + ORDER_AGAIN);
        if overdue {
            self.ask_for_list(moment);
        }
    }

    pub(super) fn ask_for_list(&mut self, moment: Moment) {
        if self.upkeep.listed.is_none_or(|at| moment.now >= at + LIST_INTERVAL) {
            self.upkeep.listed = Some(moment.now);
            self.orders.push(Order::List);
        }
    }

    /// The cloud has taken a machine: what its worker ran is over.
    pub(super) fn machine_emptied(&mut self, machine: &MachineId) {
        if let Some(id) = self.worker_of(machine) {
            self.void_all(&id, "the cloud has taken its machine");
            if let Some(worker) = self.workers.get_mut(&id) {
                worker.report = None;
                worker.verified = false;
                worker.gone = true;
            }
        }
    }

    fn upkeep_done(&mut self, wave: WaveId, machine: MachineId) {
        if !self.is_changing(&machine) {
            self.change(wave, &machine, Upkeep::Done);
        }
    }

    pub(super) fn change(&mut self, wave: WaveId, machine: &MachineId, upkeep: Upkeep) {
        self.note(machine.clone(), format!("wave {wave}: {upkeep:?}"));
        self.upkeep.changing.insert(machine.clone(), upkeep);
        let at = self.moment.wall;
        let worker = self.worker_of(machine).and_then(|id| self.workers.get(&id));
        let born = worker.map(|worker| worker.life.born);
        let change = UpkeepChange { wave, machine: machine.clone(), upkeep, born, at };
        self.changes.push(Command::Upkeep(change));
    }
}
