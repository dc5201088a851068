//! Work that stands still while its pool has room.

use super::checker::{Attempt, History, Kind, Outcome, Run, Violation};
use super::job::Unit;
use platform_standin::CAPACITY_MILLI;
use std::collections::BTreeMap;
use std::time::Duration;

/// Time from the end of faults and traffic until work has to run, `finish_s` of the platform.
pub const FINISH: Duration = Duration::from_secs(14);
/// Time for which work may stand still that has its turn, and room.
pub const MAX_STAND: Duration = Duration::from_secs(3);
/// Time in which a unit that lasts has to be placed again after a run.
const REPLACEMENT: Duration = Duration::from_secs(6);
/// Time before a stand of work that lasts which has to be calm too.
const CALM_BEFORE: Duration = Duration::from_secs(4);

type Span = (Duration, Duration);

/// A span in which a unit could run and did not.
#[derive(Clone, Debug)]
pub struct Stand {
    pub unit: String,
    pub from: Duration,
    pub to: Duration,
}

impl Stand {
    pub fn span(&self) -> Duration {
        self.to - self.from
    }
}

/// Returns the broken promises, and the longest stand after the last fault.
pub fn still(history: &History) -> (Vec<Violation>, Option<Stand>) {
    let mut judge = Judge::new(history);
    let mut violations = Vec::new();
    let mut longest: Option<Stand> = None;
    let mut attempts: BTreeMap<&str, Vec<&Attempt>> = BTreeMap::new();
    for attempt in &history.attempts {
        attempts.entry(&attempt.job).or_default().push(attempt);
    }
    for (job, units) in &history.jobs {
        let of_job = attempts.get(job.as_str()).map_or(&[][..], Vec::as_slice);
        let Some(open) = open_span(history, of_job) else { continue };
        let lasts = units.iter().any(|unit| unit.lasts);
        let stands =
            if lasts { judge.lasting_stands(units, open) } else { judge.stands(units, open) };
        for (stand, judged_from) in stands {
            let judged = stand.to.saturating_sub(stand.from.max(judged_from));
            if judged >= MAX_STAND {
                let text = format!(
                    "{} stands from {:.3?} to {:.3?}, judged from {judged_from:.3?}, runs {:?}",
                    stand.unit,
                    stand.from,
                    stand.to,
                    judge.runs.get(stand.unit.as_str()),
                );
                violations.push(Violation { promise: "still", text, host: None });
            }
            let from = stand.from.max(history.faults_end);
            let after = Stand { from, to: stand.to.max(from), ..stand };
            if longest.as_ref().is_none_or(|longest| longest.span() < after.span()) {
                longest = Some(after);
            }
        }
    }
    (violations, longest.filter(|stand| !stand.span().is_zero()))
}

/// Returns the time from the acceptance of a job to its cancelling or the end of the observation.
fn open_span(history: &History, attempts: &[&Attempt]) -> Option<Span> {
    let of_job = || attempts.iter().copied();
    let is_accepted =
        |a: &&Attempt| a.kind == Kind::Submit && matches!(a.outcome, Outcome::Answered(200, _));
    let accepted = of_job().filter(is_accepted).map(|attempt| attempt.ended).min()?;
    let cancelled = of_job().filter(|a| a.kind == Kind::Cancel).map(|a| a.sent).min();
    Some((accepted, cancelled.unwrap_or(history.observed_until).min(history.observed_until)))
}

struct Judge<'a> {
    history: &'a History,
    /// Runs of each unit, in the order of their starts.
    runs: BTreeMap<&'a str, Vec<&'a Run>>,
    /// By the resources of a unit and whether the pool has to be half empty, when it has room.
    rooms: BTreeMap<(u64, bool), Vec<Span>>,
}

impl<'a> Judge<'a> {
    fn new(history: &'a History) -> Judge<'a> {
        let mut runs: BTreeMap<&str, Vec<&Run>> = BTreeMap::new();
        for run in &history.runs {
            runs.entry(&run.unit).or_default().push(run);
        }
        runs.values_mut().for_each(|runs| runs.sort_by_key(|run| run.started));
        Judge { history, runs, rooms: BTreeMap::new() }
    }

    fn runs_of(&self, unit: &Unit) -> impl Iterator<Item = &'a Run> + use<'a, '_> {
        self.runs.get(unit.name.as_str()).into_iter().flatten().copied()
    }

    fn done_at(&self, unit: &Unit) -> Option<Duration> {
        let ends = self.runs_of(unit).filter_map(|run| run.end);
        ends.filter(|(_, how)| *how == "done").map(|(at, _)| at).min()
    }

    /// Returns when nothing of these units ran.
    fn gaps(&self, units: &[Unit], (from, to): Span) -> Vec<Span> {
        let end = |run: &Run| run.end.map_or(Duration::MAX, |(at, _)| at);
        let mut busy: Vec<Span> = units
            .iter()
            .flat_map(|unit| self.runs_of(unit))
            .map(|run| (run.started, end(run)))
            .collect();
        busy.sort();
        busy.push((to, to));
        let (mut gaps, mut idle_from) = (Vec::new(), from);
        for (start, end) in busy {
            if start.min(to) > idle_from {
                gaps.push((idle_from, start.min(to)));
            }
            idle_from = idle_from.max(end);
        }
        gaps
    }

    /// Returns the stands of a job, and from when on each is judged.
    fn stands(&mut self, units: &[Unit], open: Span) -> Vec<(Stand, Duration)> {
        let judged_from = self.history.faults_end.max(self.history.traffic_end) + FINISH;
        let mut stands = Vec::new();
        for gap in self.gaps(units, open) {
            let is_done = |unit: &Unit| self.done_at(unit).is_some_and(|at| at <= gap.0);
            let has_turn = |unit: &&Unit| {
                !is_done(unit) && units.iter().filter(|u| u.step < unit.step).all(is_done)
            };
            let Some(unit) = units.iter().find(has_turn) else { continue };
            let room = self.room(unit.cpu_milli, true);
            stands.extend(common(gap, &room).map(|span| (stand(unit, span), judged_from)));
        }
        stands
    }

    /// Returns the stands of each unit of a job that lasts, and from when on each is judged.
    fn lasting_stands(&mut self, units: &[Unit], open: Span) -> Vec<(Stand, Duration)> {
        let calm_from = self.history.faults_end.max(self.history.last_late) + CALM_BEFORE;
        let mut stands = Vec::new();
        for unit in units {
            let room = self.room(unit.cpu_milli, false);
            for gap in self.gaps(std::slice::from_ref(unit), open) {
                let judged_from = calm_from.max(gap.0 + REPLACEMENT);
                stands.extend(common(gap, &room).map(|span| (stand(unit, span), judged_from)));
            }
        }
        stands
    }

    /// Returns when the pool has room for two units with these resources.
    fn room(&mut self, cpu_milli: u64, is_half_empty: bool) -> Vec<Span> {
        let key = (cpu_milli, is_half_empty);
        if !self.rooms.contains_key(&key) {
            let room = rooms(self.history, cpu_milli, is_half_empty);
            self.rooms.insert(key, room);
        }
        self.rooms[&key].clone()
    }
}

fn stand(unit: &Unit, (from, to): Span) -> Stand {
    Stand { unit: unit.name.clone(), from, to }
}

fn common(gap: Span, room: &[Span]) -> impl Iterator<Item = Span> {
    let overlaps = room.iter().map(move |(from, to)| (gap.0.max(*from), gap.1.min(*to)));
    overlaps.filter(|(from, to)| from < to)
}

fn rooms(history: &History, cpu_milli: u64, is_half_empty: bool) -> Vec<Span> {
    let units = history.jobs.values().flatten();
    let sizes: BTreeMap<&str, u64> = units.map(|u| (u.name.as_str(), u.cpu_milli)).collect();
    let mut changes: Vec<(Duration, &str, u64, i64)> = Vec::new();
    for life in &history.lives {
        changes.push((life.from, &life.worker, CAPACITY_MILLI, 0));
        changes.extend(life.to.map(|to| (to, life.worker.as_str(), 0, 0)));
    }
    for run in &history.runs {
        let size = sizes.get(run.unit.as_str()).copied().unwrap_or(0) as i64;
        changes.push((run.started, &run.worker, u64::MAX, size));
        changes.extend(run.end.map(|(at, _)| (at, run.worker.as_str(), u64::MAX, -size)));
    }
    changes.sort();
    let mut workers: BTreeMap<&str, (u64, i64)> = BTreeMap::new();
    let (mut spans, mut since) = (Vec::new(), None);
    for (number, (at, worker, capacity, used)) in changes.iter().enumerate() {
        let entry = workers.entry(worker).or_default();
        entry.0 = if *capacity == u64::MAX { entry.0 } else { *capacity };
        entry.1 += used;
        if changes.get(number + 1).is_some_and(|next| next.0 == *at) {
            continue;
        }
        let up = || workers.values().filter(|(capacity, _)| *capacity > 0);
        let fits: u64 =
            up().map(|(capacity, used)| capacity.saturating_sub(*used as u64) / cpu_milli).sum();
        let capacity: u64 = up().map(|(capacity, _)| capacity).sum();
        let in_use: i64 = up().map(|(_, used)| used).sum();
        let has_room = fits >= 2 && (!is_half_empty || 2 * (in_use as u64) < capacity);
        match (has_room, since) {
            (true, None) => since = Some(*at),
            (false, Some(from)) => {
                spans.push((from, *at));
                since = None;
            }
            _ => {}
        }
    }
    spans.extend(since.map(|from| (from, Duration::MAX)));
    spans
}
