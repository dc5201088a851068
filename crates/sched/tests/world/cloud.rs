//! The simulated cloud: moves and maintenance of instances.

use super::{STANDBY, Worker, World};
use sched::Settings;
use sched::order::{Answer, Maintenance, Move, Refusal};
use std::time::Duration;

impl World {
    /// Carries out maintenance in the cloud unless that was done before, and returns the answer
    /// and how long it takes.
    pub(super) fn maintain(&mut self, order: &Maintenance) -> (Answer<()>, Duration) {
        self.maintenances.push((self.now, order.instance.clone()));
        let Some(worker) = self.worker_on(&order.instance) else {
            return (Answer::Refused(Refusal::State), Duration::ZERO);
        };
        if self.returning.contains_key(&worker.report.incarnation.worker) {
            return (Answer::Refused(Refusal::State), Duration::ZERO);
        }
        if !self.maintained.insert((order.instance.clone(), order.wave)) {
            return (Answer::Done(()), Duration::ZERO);
        }
        self.maintenances_begun.push((self.now, order.instance.clone()));
        self.observe_maintenance(&order.instance, order.wave);
        let down_for = Settings::default().maintenance_duration + self.maintenance_overrun;
        self.take_down(&order.instance, None, down_for);
        (Answer::Done(()), self.maintenance_answer_delay)
    }

    pub(super) fn answer_maintenance(&mut self) {
        if self.is_frozen() {
            return;
        }
        let (now, time) = (self.now, self.time());
        let due: Vec<_> = self.overdue_maintenance.extract_if(.., |(at, _)| *at <= now).collect();
        for (_, reply) in due {
            self.scheduler.on_maintenance_reply(time, reply);
        }
    }

    /// Carries out a move in the cloud, unless the instance is already in that pool.
    pub(super) fn move_instance(&mut self, order: &Move) -> Answer<()> {
        let Some(worker) = self.worker_on(&order.instance).cloned() else {
            return Answer::Refused(Refusal::State);
        };
        let fence = self.fences.entry(order.instance.clone()).or_default();
        if order.fence < *fence {
            return Answer::Refused(Refusal::Fence);
        }
        *fence = order.fence;
        let pool = match self.returning.get(&worker.report.incarnation.worker) {
            Some((_, pool)) => pool,
            None => &worker.report.pool,
        };
        if *pool != order.pool {
            self.moves.push((self.now, order.instance.clone(), order.pool.clone()));
            self.take_down(
                &order.instance,
                Some(order.pool.clone()),
                Settings::default().move_duration,
            );
        }
        Answer::Done(())
    }

    /// Returns the worker on an instance, unless the worker has crashed.
    fn worker_on(&self, instance: &str) -> Option<&Worker> {
        let mut present = self.workers.values().filter(|worker| !worker.is_succeeded);
        let worker = present.find(|worker| worker.report.instance == instance)?;
        (!self.crashed.contains_key(&worker.report.incarnation.worker)).then_some(worker)
    }

    /// Takes an instance down in the cloud, which ends all runs on it.
    pub(super) fn take_down(&mut self, instance: &str, pool: Option<String>, duration: Duration) {
        self.observe_end_of_instance(instance);
        let returning = self.now + duration;
        for worker in self.workers.values_mut() {
            if worker.report.instance != instance || worker.is_succeeded {
                continue;
            }
            worker.is_down = true;
            let ended = std::mem::take(&mut worker.runs).into_keys();
            self.interrupted.extend(ended.map(|(name, _)| (self.now, name)));
            let pool = pool.clone().unwrap_or(worker.report.pool.clone());
            self.returning.insert(worker.report.incarnation.worker.clone(), (returning, pool));
        }
    }

    /// Brings instances back with a new incarnation of their workers; those in the
    /// standby pool stay off.
    pub(super) fn return_instances(&mut self) {
        let now = self.now;
        let returning: Vec<(String, String)> = self
            .returning
            .iter()
            .filter(|(_, (at, _))| now >= *at)
            .map(|(id, (_, pool))| (id.clone(), pool.clone()))
            .collect();
        for (id, pool) in returning {
            self.returning.remove(&id);
            if pool == STANDBY {
                self.workers.get_mut(&id).unwrap().report.pool = pool;
            } else {
                let started_at = self.next_start();
                self.add(&id, &pool, started_at);
            }
        }
    }
}
