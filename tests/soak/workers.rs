//! Stand-in workers that stop and start again, and carry out orders late.

use super::checker::{Life, Run};
use async_std::task::block_on;
use platform_standin::{Delay, Worker};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Time after which an unanswered order is carried out, in milliseconds.
const LATE_MS: std::ops::Range<u64> = 2000..12_000;

/// The workers that an instance has had; the last one is the one it has.
struct Slot {
    number: u64,
    workers: Vec<(String, Worker)>,
}

/// The workers of all instances.
pub struct Workers {
    slots: Vec<Slot>,
    control: Vec<SocketAddr>,
    /// Share of the orders that are late, in percent.
    late_percent: Arc<AtomicU32>,
    delay: Delay,
}

impl Workers {
    pub fn start(seed: u64, count: u64, control: Vec<SocketAddr>) -> Workers {
        let late_percent = Arc::new(AtomicU32::new(0));
        let share = late_percent.clone();
        let rng = Mutex::new(StdRng::seed_from_u64(!seed));
        let delay: Delay = Arc::new(move || {
            let percent = share.load(Ordering::Relaxed);
            let mut rng = rng.lock().unwrap();
            let is_late = percent > 0 && rng.random_range(0..100) < percent;
            is_late.then(|| Duration::from_millis(rng.random_range(LATE_MS)))
        });
        let slots = (0..count).map(|number| Slot { number, workers: Vec::new() }).collect();
        let mut workers = Workers { slots, control, late_percent, delay };
        (0..count).for_each(|number| workers.replace(number));
        workers
    }

    pub fn set_late_percent(&self, percent: u32) {
        self.late_percent.store(percent, Ordering::Relaxed);
    }

    /// Kills the worker of an instance.
    pub fn kill(&mut self, number: u64) {
        if let Some((_, worker)) = self.slots[number as usize].workers.last_mut() {
            block_on(worker.kill());
        }
    }

    /// Starts the worker of an instance again, unless it runs.
    pub fn start_again(&mut self, number: u64, same_address: bool) {
        let last = self.slots[number as usize].workers.last_mut();
        if let Some((_, worker)) = last.filter(|(_, worker)| !worker.is_up()) {
            block_on(worker.start_again(same_address)).unwrap();
        }
    }

    /// Starts a worker with another id on an instance, whose former one is gone for good.
    pub fn replace(&mut self, number: u64) {
        self.kill(number);
        let slot = &mut self.slots[number as usize];
        let id = match slot.workers.len() {
            0 => format!("w{number}"),
            count => format!("w{number}-{count}"),
        };
        let mut control = self.control.clone();
        control.rotate_left(slot.number as usize % self.control.len());
        let instance = format!("m-w{number}");
        let delay = Some(self.delay.clone());
        let worker = block_on(Worker::start_on(&instance, &id, "gate", control, delay)).unwrap();
        slot.workers.push((id, worker));
    }

    /// Returns the runs and the lives of all incarnations, and the orders that were carried out
    /// late.
    pub fn history(&self, start: Instant) -> (Vec<Run>, Vec<Life>, Vec<(Duration, String)>) {
        let (mut runs, mut lives, mut late) = (Vec::new(), Vec::new(), Vec::new());
        for (id, worker) in self.slots.iter().flat_map(|slot| &slot.workers) {
            for (number, life) in worker.lives().into_iter().enumerate() {
                let worker = format!("{id}/{number}");
                runs.extend(life.runs.into_iter().map(|((unit, number), record)| Run {
                    unit,
                    number,
                    worker: worker.clone(),
                    started: record.started_at.duration_since(start),
                    end: record.end.map(|(at, how)| (at.duration_since(start), how)),
                    acknowledged: record.acknowledged,
                    is_late: record.is_late,
                }));
                late.extend(
                    life.late
                        .into_iter()
                        .map(|(at, text)| (at.duration_since(start), format!("{worker} {text}"))),
                );
                lives.push(Life {
                    worker,
                    from: life.started_at.duration_since(start),
                    to: life.killed_at.map(|at| at.duration_since(start)),
                });
            }
        }
        (runs, lives, late)
    }

    pub fn stop(self) {
        for (_, worker) in self.slots.into_iter().flat_map(|slot| slot.workers) {
            block_on(worker.stop());
        }
    }
}
