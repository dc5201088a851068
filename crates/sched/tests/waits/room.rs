//! Room that workers have for units, by the world's own bookkeeping.

use super::*;

/// Bookkeeping of the test.
impl Soak {
    pub(super) fn instances_in_waves(&self) -> BTreeSet<String> {
        let now = self.world.time().wall;
        let open = self
            .world
            .ledger
            .waves()
            .values()
            .filter(|wave| now < wave.accepted_at + wave.duration.as_millis() as u64);
        let is_over = |phase: &Phase| matches!(phase, Phase::Done | Phase::Gone);
        open.flat_map(|wave| wave.instances.iter().filter(|(_, phase)| !is_over(phase)))
            .map(|(instance, _)| instance.clone())
            .collect()
    }

    pub(super) fn step_of(&self, name: &str) -> Option<&Step> {
        let (job, _) = split(name);
        let short = || self.stream.open.get(job).map(|(step, _)| step);
        self.services.get(job).map(|service| &service.step).or_else(short)
    }

    /// Returns what the work that lasts leaves of a worker, besides that of one job.
    pub(super) fn room_of(&self, worker: &Worker, besides: Option<&str>) -> Resources {
        let lasting = worker.runs.keys().map(|(name, _)| split(name).0);
        let lasting = lasting.filter(|job| Some(*job) != besides);
        let steps = lasting.filter_map(|job| self.services.get(job)).map(|service| &service.step);
        steps.fold(worker.report.capacity, |room, step| room.minus(&step.reserved_resources()))
    }

    /// Returns the workers that get new work, with what the work that lasts leaves of them.
    pub(super) fn rooms(&self) -> impl Iterator<Item = (&Worker, Resources)> {
        let in_waves = self.instances_in_waves();
        let workers = self.world.workers.iter().filter(move |(id, worker)| {
            let instance = &worker.report.instance;
            is_in_pool(worker)
                && !worker.report.draining
                && !worker.partitioned
                && !self.disturbed.contains_key(*id)
                && !in_waves.contains(instance)
                && !self.world.ledger.pending_moves().contains_key(instance)
        });
        workers.map(|(_, worker)| (worker, self.room_of(worker, None)))
    }

    pub(super) fn room_for_short_work(&self) -> Resources {
        self.rooms().fold(Resources::default(), |sum, (_, room)| sum.plus(&room))
    }

    /// Returns the time that the short jobs take, one after another, on workers with room for their
    /// units beside the work that lasts.
    pub(super) fn time_for_short_work(&self) -> Duration {
        let rooms: Vec<Resources> = self.rooms().map(|(_, room)| room).collect();
        let units_at_once = |need: &Resources| -> u64 {
            let fit = |room: &Resources| {
                let by_memory = room.memory_mb / need.memory_mb.max(1);
                (room.cpu_milli / need.cpu_milli.max(1)).min(by_memory)
            };
            rooms.iter().map(fit).sum()
        };
        let jobs = self.stream.open.values();
        let time_of = |(step, time): &(Step, Duration)| {
            time.mul_f64(f64::from(step.count) / units_at_once(&step.resources).max(1) as f64)
        };
        jobs.map(time_of).sum()
    }

    /// Returns whether some worker has room for a further unit of a job; for a gang, whether all
    /// workers have room for all of it.
    pub(super) fn has_room(&self, id: &str) -> bool {
        let step = &self.services[id].step;
        let need = step.reserved_resources();
        let units_on = |worker: &Worker| {
            let units = worker.runs.keys().filter(|(name, _)| split(name).0 == id).count();
            if step.gang { 0 } else { units as u32 }
        };
        let free_units = self.rooms().map(|(worker, _)| {
            let mut room = self.room_of(worker, step.gang.then_some(id));
            let mut units = units_on(worker);
            let mut count = 0;
            while room.covers(&need)
                && count < step.count
                && (step.anti_affinity == 0 || units < step.anti_affinity)
            {
                (room, units, count) = (room.minus(&need), units + 1, count + 1);
            }
            count
        });
        free_units.sum::<u32>() >= if step.gang { step.count } else { 1 }
    }
}
