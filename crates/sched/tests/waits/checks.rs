//! What must hold at each tick, and the trace of what did not.

use super::*;

/// Checks after each tick.
impl Soak {
    pub(super) fn check(&mut self) {
        let twice = self.world.running_twice();
        if let Some(name) = twice.first() {
            self.fail(name, format!("{name} runs twice"));
        }
        self.check_capacities();
        self.check_orders();
        self.update_units();
        self.check_waits();
    }

    pub(super) fn check_capacities(&mut self) {
        let mut overloaded: Vec<String> = Vec::new();
        let mut fitting: Vec<String> = Vec::new();
        for (id, worker) in self.world.workers.iter().filter(|(_, worker)| is_up(worker)) {
            let steps = worker.runs.keys().filter_map(|(name, _)| self.step_of(name));
            let used =
                steps.fold(Resources::default(), |sum, step| sum.plus(&step.reserved_resources()));
            let fits = worker.report.capacity.covers(&used);
            if fits && !self.disturbed.contains_key(id) {
                fitting.push(id.clone());
            } else if !fits && !self.shrunk.contains(id) {
                overloaded.push(id.clone());
            }
        }
        let recorded = self.world.overloads[self.seen_overloads..].iter();
        overloaded
            .extend(recorded.map(|(_, id)| id.clone()).filter(|id| !self.shrunk.contains(id)));
        self.seen_overloads = self.world.overloads.len();
        self.shrunk.retain(|id| !fitting.contains(id));
        if let Some(id) = overloaded.first() {
            self.fail(id, format!("{id} is over its capacity"));
        }
    }

    pub(super) fn is_calm(&self, duration: Duration) -> bool {
        let now = self.world.now;
        self.disturbed.is_empty() && now >= self.disturbed_until + duration
    }

    /// Checks the runs that orders have ended since the last tick.
    pub(super) fn check_orders(&mut self) {
        let mut ended = Vec::new();
        let lapses_count = self.is_calm(CALM + MAX_WAIT);
        for (id, worker) in &self.world.workers {
            let key = (id.clone(), worker.report.incarnation.started_at);
            let seen = self.seen_ends.entry(key).or_default();
            for end in worker.finished.iter().filter(|end| end.number > *seen) {
                let is_order = end.reason == EndReason::Stopped
                    || lapses_count && end.reason == EndReason::Lapsed;
                if is_order && !worker.report.draining {
                    ended.push(end.name.clone());
                }
            }
            *seen = (*seen).max(worker.end_count);
        }
        let interrupted = self.world.interrupted[self.seen_interruptions..].iter();
        ended.extend(interrupted.map(|(_, name)| name.clone()));
        self.seen_interruptions = self.world.interrupted.len();
        ended.iter().for_each(|name| self.check_order(name));
    }

    pub(super) fn check_order(&mut self, name: &str) {
        let now = self.world.now;
        let (job, index) = split(name);
        if !self.world.workers_running(name).is_empty() {
            return;
        }
        let Some(service) = self.services.get_mut(job) else { return };
        let was_at_work = service.units[index].is_at_work(now);
        service.units[index].is_ordered_away |= was_at_work;
        service.units[index].running_since = None;
        let others = service.units.iter().enumerate().filter(|(other, _)| *other != index);
        let away: Vec<usize> =
            others.filter(|(_, unit)| unit.is_away(now)).map(|(other, _)| other).collect();
        let most = service.step.max_unavailable;
        if was_at_work && most.is_some_and(|most| away.len() >= most as usize) {
            self.fail(name, format!("{name} is stopped while {away:?} are away, limit {most:?}"));
        }
    }

    pub(super) fn update_units(&mut self) {
        let now = self.world.now;
        let up = self.world.workers.values().filter(|worker| !worker.is_down);
        let running: BTreeSet<&String> =
            up.flat_map(|worker| worker.runs.keys().map(|(name, _)| name)).collect();
        for (id, service) in &mut self.services {
            for (index, unit) in service.units.iter_mut().enumerate() {
                if !running.contains(&format!("{id}.0.0.{index}")) {
                    unit.running_since = None;
                    continue;
                }
                unit.running_since.get_or_insert(now);
                unit.ran_at = Some(now);
                if unit.is_at_work(now) {
                    unit.at_work_at = now;
                    unit.is_ordered_away = false;
                }
            }
        }
    }

    pub(super) fn check_waits(&mut self) {
        let now = self.world.now;
        let is_calm = self.is_calm(CALM);
        let mut late = None;
        let ids: Vec<String> = self.services.keys().cloned().collect();
        for id in ids {
            let units = &self.services[&id].units;
            let is_overdue = is_calm && units.iter().any(|unit| unit.is_overdue(now));
            let has_room = is_overdue && self.has_room(&id);
            let service = self.services.get_mut(&id).unwrap();
            for (index, unit) in service.units.iter_mut().enumerate() {
                if !has_room || !unit.is_overdue(now) {
                    unit.room_since = None;
                    continue;
                }
                let since = *unit.room_since.get_or_insert(now);
                if now > since + MAX_WAIT {
                    late = Some((format!("{id}.0.0.{index}"), unit.clone()));
                }
            }
        }
        if let Some((name, unit)) = late {
            let last = unit.ran_at.map_or("never".to_string(), |at| format!("{:?} ago", now - at));
            let text = format!("{name} ran {last}, and has had room for {MAX_WAIT:?} in vain");
            self.fail(&name, text);
        }
    }

    /// Returns the events, the workers and the decisions before a failure.
    pub(super) fn trace(&self, failure: &Failure) -> Vec<String> {
        let mut lines: Vec<(Duration, String)> = self.events.clone();
        let is_full = std::env::var_os("WAITS_TRACE").is_some();
        let (job, _) = split(&failure.subject);
        let decisions = self.world.log.iter().filter(|(at, _)| self.world.now < *at + TRACED);
        let of_subject = decisions.filter(|(_, explanation)| {
            is_full || explanation.subject.starts_with(job) || explanation.text.contains(job)
        });
        lines.extend(of_subject.map(|(at, e)| (*at, format!("- {}: {}", e.subject, e.text))));
        lines.sort_by_key(|(at, _)| *at);
        let lines = lines.into_iter().map(|(at, line)| format!("{at:?} {line}"));
        lines.chain(self.describe_workers()).collect()
    }

    pub(super) fn describe_workers(&self) -> Vec<String> {
        let workers = self.world.workers.iter().filter(|(_, worker)| !worker.is_succeeded);
        let describe = |(id, worker): (&String, &Worker)| {
            let (room, report) = (self.room_of(worker, None), &worker.report);
            let runs: Vec<&String> = worker.runs.keys().map(|(name, _)| name).collect();
            format!(
                "{id} on {} in {}, {}, left {}m/{} MiB: {runs:?}",
                report.instance,
                report.pool,
                if worker.is_down { "down" } else { "up" },
                room.cpu_milli,
                room.memory_mb,
            )
        };
        workers.map(describe).collect()
    }
}
