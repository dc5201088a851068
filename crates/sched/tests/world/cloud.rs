//! The simulated cloud: moves and maintenance of instances.

use super::{MOVE_DELAY, STANDBY, Worker, World};
use sched::Settings;
use sched::order::{Answer, Maintenance, Move, Order, Refusal};
use sched::scheduler::{MaintenanceReply, MoveReply};
use std::time::Duration;

/// Time after which the leader's process gives up on an answer of the cloud.
const CLOUD_TIMEOUT: Duration = Duration::from_secs(3);

/// Calls that the cloud has yet to carry out or to answer.
#[derive(Default)]
pub struct Cloud {
    /// Calls with the time when they are carried out, and how long the answer takes from then on.
    calls: Vec<(Duration, Duration, Order)>,
    /// Answers under way, with the time when they arrive.
    replies: Vec<(Duration, CloudReply)>,
}

enum CloudReply {
    Maintenance(MaintenanceReply),
    Move(MoveReply),
}

impl World {
    /// Sends a call to the cloud, which carries it out at some time before it answers.
    pub(super) fn call_cloud(&mut self, call: Order) {
        let takes = self.trouble.draw(self.trouble.longest_cloud_call);
        let waits = self.trouble.draw(takes);
        match waits.is_zero() {
            true => self.carry_out_call(call, takes, takes < CLOUD_TIMEOUT),
            false => self.cloud.calls.push((self.now + waits, takes - waits, call)),
        }
    }

    /// Lets the cloud carry out a call, and answer it after some time, or too late.
    fn carry_out_call(&mut self, call: Order, rest: Duration, is_in_time: bool) {
        let reply = match call {
            Order::ListInstances(_) if !is_in_time => return,
            Order::ListInstances(order) => return self.list_instances(order.asked_at, rest),
            Order::Maintain(order) => {
                let (answer, delay) = self.maintain(&order);
                let Maintenance { instance, wave, sent_at, .. } = order;
                let answer = if is_in_time { answer } else { Answer::Unknown };
                let reply = MaintenanceReply { instance, wave, sent_at, answer };
                (self.now + rest + delay, CloudReply::Maintenance(reply))
            }
            Order::Move(order) => {
                let answer = match self.moves_to_delay {
                    0 if self.moves_to_lose > 0 => {
                        self.moves_to_lose -= 1;
                        Answer::Unknown
                    }
                    0 => self.move_instance(&order),
                    _ => {
                        self.moves_to_delay -= 1;
                        self.delayed_moves.push((self.now + MOVE_DELAY, order.clone()));
                        Answer::Unknown
                    }
                };
                let Move { instance, sent_at, .. } = order;
                let answer = if is_in_time { answer } else { Answer::Unknown };
                (self.now + rest, CloudReply::Move(MoveReply { instance, sent_at, answer }))
            }
            _ => unreachable!("no call to the cloud"),
        };
        self.cloud.replies.push(reply);
        self.answer_calls();
    }

    /// Carries out the calls that are due, and passes on the answers that have arrived.
    pub(super) fn run_cloud(&mut self) {
        let now = self.now;
        let due: Vec<_> = self.cloud.calls.extract_if(.., |(at, _, _)| *at <= now).collect();
        for (_, rest, call) in due {
            let sent_at = match &call {
                Order::Maintain(order) => order.sent_at,
                Order::Move(order) => order.sent_at,
                _ => now,
            };
            self.carry_out_call(call, rest, now + rest < sent_at + CLOUD_TIMEOUT);
        }
        self.answer_calls();
    }

    fn answer_calls(&mut self) {
        if self.is_frozen() {
            return;
        }
        let (now, time) = (self.now, self.time());
        let due: Vec<_> = self.cloud.replies.extract_if(.., |(at, _)| *at <= now).collect();
        for (_, reply) in due {
            match reply {
                CloudReply::Maintenance(reply) => self.scheduler.on_maintenance_reply(time, reply),
                CloudReply::Move(reply) => self.scheduler.on_move_reply(time, reply),
            }
        }
    }

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
            return (Answer::Done(()), self.maintenance_answer_delay);
        }
        self.maintenances_begun.push((self.now, order.instance.clone()));
        self.observe_maintenance(&order.instance, order.wave);
        let down_for = Settings::default().maintenance_duration + self.maintenance_overrun;
        self.take_down(&order.instance, None, down_for);
        (Answer::Done(()), self.maintenance_answer_delay)
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
