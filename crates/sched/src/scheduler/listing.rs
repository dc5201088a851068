//! The cloud's lists of instances: when they are requested, and what follows from them.
//!
//! A list shows each instance as it was at some time after it was asked for. It says nothing about
//! an instance of which a report or an answer has told since.

use super::{Scheduler, Time};
use crate::instance::{Instance, State};
use crate::order::{ListInstances, Order};
use crate::worker::GONE_AFTER_LISTS;
use jobs::wave::Phase;
use jobs::{InstanceId, Ledger, WaveId, WorkerId};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Shortest interval between two requests for the instance list.
const LIST_INTERVAL: Duration = Duration::from_millis(1500);

impl Scheduler {
    /// Requests the instance list unless that was done a short time ago.
    pub(super) fn request_instance_list(&mut self, time: Time) {
        if self.maintenance.list_requested_at.is_none_or(|at| time.monotonic >= at + LIST_INTERVAL)
        {
            self.maintenance.list_requested_at = Some(time.monotonic);
            self.orders.push(Order::ListInstances(ListInstances { asked_at: time.monotonic }));
        }
    }

    /// Applies a list of the cloud's instances that was asked for at `asked_at`: explains what
    /// changed in it, and proposes the end of maintenance that is done and the phase `Gone` for
    /// instances that no longer exist. Ignored if a list that was asked for later is known, or if an
    /// earlier leadership asked.
    pub fn on_instance_list(&mut self, time: Time, asked_at: Duration, list: Vec<Instance>) {
        if asked_at < self.began_at {
            return;
        }
        let Some(former) = self.inventory.record_list(asked_at, list) else { return };
        self.explain_listing_changes(time, asked_at, &former);
        self.end_listed_workers(time, asked_at);
        self.record_listings(asked_at);
        self.propose_gone();
        self.end_listed_maintenance(time, asked_at);
        self.end_listed_moves(time);
    }

    /// Explains which instances went down, came back or left the list, and of which the list says
    /// nothing.
    fn explain_listing_changes(
        &mut self,
        time: Time,
        asked_at: Duration,
        former: &BTreeMap<InstanceId, Instance>,
    ) {
        let mut changes = Vec::new();
        for instance in self.inventory.instances() {
            let former_state = former.get(&instance.id).map(|listed| listed.state);
            let is_down = instance.state == State::Down;
            if is_down != (former_state == Some(State::Down)) {
                changes.push((instance.id.clone(), format!("is listed as {:?}", instance.state)));
            }
        }
        for id in former.keys().filter(|id| !self.inventory.contains(id)) {
            changes.push((id.clone(), "is not listed any more".to_string()));
        }
        let age_ms = time.monotonic.saturating_sub(asked_at).as_millis();
        for id in self.inventory.changed() {
            let text = format!("has changed since a list was asked for {age_ms} ms ago");
            changes.push((id.clone(), text));
        }
        for (instance, text) in changes {
            self.explain(instance, text);
        }
    }

    /// Handles that instances are down by a list: the workers that had reported from there when it was
    /// asked for, and have answered nothing since, have ended.
    fn end_listed_workers(&mut self, time: Time, asked_at: Duration) {
        let is_down = |instance: &&Instance| {
            matches!(instance.state, State::Moving | State::Upkeep)
                && !self.inventory.has_changed(&instance.id)
        };
        let down = self.inventory.instances().filter(is_down);
        let down: Vec<InstanceId> = down.map(|instance| instance.id.clone()).collect();
        for instance in down {
            let worker = self.worker_of(&instance).and_then(|id| self.workers.get(&id));
            let Some(worker) = worker else { continue };
            let is_heard = worker.polling.heard_at.is_some_and(|at| at > asked_at);
            if worker.reported_at.is_some_and(|at| at <= asked_at) && !is_heard {
                self.on_instance_down(time, &instance);
            }
        }
    }

    /// Counts for each worker the consecutive lists by which it can't start again under its id:
    /// its instance does not exist any more, or another worker is on it. A worker that has not
    /// reported to this leader may be on any instance that no worker is on. Records also which workers
    /// run nowhere by the list.
    fn record_listings(&mut self, asked_at: Duration) {
        let is_vacant =
            |instance: &Instance| instance.state != State::Up || instance.worker.is_none();
        let has_vacant = self.inventory.instances().any(is_vacant);
        let up = self.inventory.instances().filter(|instance| instance.state == State::Up);
        let on_instances: BTreeSet<&WorkerId> =
            up.filter_map(|instance| instance.worker.as_ref()).collect();
        for (id, worker) in &mut self.workers {
            let is_named = on_instances.contains(id);
            let instance = worker.instance.as_ref().map(|instance| self.inventory.get(instance));
            let can_return = match &instance {
                None => has_vacant || is_named,
                Some(instance) => instance.is_some_and(|instance| {
                    is_vacant(instance) || instance.worker.as_ref() == Some(id)
                }),
            };
            worker.lists_without = if can_return { 0 } else { worker.lists_without + 1 };
            worker.record_listing(asked_at, is_named, instance.flatten().is_some());
        }
    }

    /// Records of which workers, that answer nothing, the instance is switched off.
    pub(super) fn record_switched_off(&mut self, time: Time, ledger: &Ledger) {
        let Some(config) = ledger.config() else { return };
        let is_standby = |pool| config.pools.get(pool).is_some_and(|pool| pool.standby);
        for worker in self.workers.values_mut() {
            worker.is_switched_off = false;
            if worker.is_out_of_contact(time.monotonic) {
                let instance = worker.instance.as_ref().and_then(|id| self.inventory.get(id));
                worker.is_switched_off = instance.is_some_and(|instance| {
                    is_standby(&instance.pool) && !self.balance.moves_to_other(instance)
                });
            }
        }
    }

    /// Proposes the phase `Gone` for instances whose maintenance was refused and that were
    /// missing from several lists.
    fn propose_gone(&mut self) {
        let mut gone = Vec::new();
        for (instance, (wave, lists)) in &mut self.maintenance.missing_lists {
            *lists = if self.inventory.contains(instance) { 0 } else { *lists + 1 };
            if *lists >= GONE_AFTER_LISTS {
                gone.push((instance.clone(), *wave));
            }
        }
        for (instance, wave) in gone {
            if !self.has_proposed_phase(&instance)
                && !self.maintenance.ordered.contains_key(&instance)
            {
                self.maintenance.missing_lists.remove(&instance);
                self.propose_phase(wave, &instance, Phase::Gone);
            }
        }
    }

    /// Proposes that maintenance is done whose instance is up again, or gone, by a list that was
    /// asked for since it began.
    fn end_listed_maintenance(&mut self, time: Time, asked_at: Duration) {
        let is_up = |instance: &InstanceId| {
            let state = self.inventory.get(instance).map(|instance| instance.state);
            state.is_none_or(|state| state == State::Up)
        };
        let begun = self.maintenance.begun.iter().filter(|(instance, begun)| {
            asked_at >= begun.learned_at
                && time.monotonic >= begun.learned_at + self.settings.maintenance_duration
                && !self.inventory.has_changed(instance)
                && is_up(instance)
        });
        let finished: Vec<(InstanceId, WaveId)> =
            begun.map(|(instance, begun)| (instance.clone(), begun.wave)).collect();
        for (instance, wave) in finished {
            self.propose_done(wave, instance);
        }
    }
}
