//! Why units don't run that wait for no room: what holds them, and which runs have been placed and
//! have not begun.

use super::{Scheduler, Time};
use jobs::{Ledger, PoolName, RunNumber, UnitKey, WorkerId};
use std::collections::BTreeMap;
use std::time::Duration;

/// Time after which a unit is explained.
const EXPLAIN_AFTER: Duration = Duration::from_secs(2);
/// Time between two explanations of a pool.
const EXPLAIN_INTERVAL: Duration = Duration::from_secs(1);

/// Longest times of units that don't run though they wait for no room.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LongestStalls {
    /// Of units that wait for the end of a late start.
    pub held: Duration,
    /// Of units that are placed on a worker and are not known to have begun.
    pub unbegun: Duration,
}

/// What a unit that is not placed waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Wait {
    /// A place, from this time on.
    Place(Duration),
    /// The end of late starts, until this time at the latest; `None` if none holds the unit.
    Hold(Option<Duration>),
}

/// A unit that doesn't run, since when, and what a run of it waits for.
type Stall = (Duration, UnitKey, WorkerId, RunNumber);

/// The longest of the stalls of one pool, and how many there are.
type Longest = (Stall, usize);

impl Scheduler {
    /// Returns the longest times of units that don't run though they wait for no room.
    pub fn longest_stalls(&self, now: Duration) -> LongestStalls {
        let longest = |since: Option<Duration>| now.saturating_sub(since.unwrap_or(now));
        let unbegun = self.unbegun_runs().map(|(since, ..)| since).min();
        LongestStalls {
            held: longest(self.held_since.values().min().copied()),
            unbegun: longest(unbegun),
        }
    }

    /// Returns what a unit waits for; `None` if it is not among the waiting units.
    pub fn wait_of(&self, unit: &UnitKey) -> Option<Wait> {
        let mut steps = self.waiting.values().filter_map(|steps| steps.get(&unit.step_key()));
        let not_before = steps.find_map(|waiting| waiting.units.get(&unit.index))?;
        if *not_before < Duration::MAX {
            return Some(Wait::Place(*not_before));
        }
        let ids = self.placed_on.get(unit).into_iter().flatten();
        let holders = ids.filter_map(|id| self.workers.get(id));
        let ends = holders.filter_map(|worker| worker.hold_end(unit, self.settings.max_lease));
        Some(Wait::Hold(ends.max()))
    }

    /// Explains the unit of each pool that has been held longest, and the one that has been placed
    /// for longest and has not begun.
    pub(super) fn explain_stalls(&mut self, time: Time, ledger: &Ledger) {
        let now = time.monotonic;
        if now < self.stalls_explained_at + EXPLAIN_INTERVAL {
            return;
        }
        self.stalls_explained_at = now;
        let held = longest_by_pool(ledger, now, self.held_units());
        let unbegun = longest_by_pool(ledger, now, self.unbegun_runs());
        let held = held.iter().map(|(pool, longest)| self.describe_hold(now, pool, longest));
        let unbegun =
            unbegun.iter().map(|(pool, longest)| self.describe_unbegun(now, pool, longest));
        let explanations: Vec<(UnitKey, String)> = held.chain(unbegun).collect();
        for (unit, text) in explanations {
            self.explain(ledger.unit_name(&unit).unwrap_or_default(), text);
        }
    }

    /// Returns the units that wait for the end of a late start, each with the first run that holds it.
    fn held_units(&self) -> impl Iterator<Item = Stall> {
        self.held_since.iter().filter_map(|(unit, since)| {
            let ids = self.placed_on.get(unit)?;
            let holder = ids.iter().find_map(|id| {
                let run = self.workers.get(id)?.holding_run(unit)?;
                Some((id.clone(), run))
            });
            let (worker, run) = holder.or_else(|| Some((ids.first()?.clone(), 0)))?;
            Some((*since, *unit, worker, run))
        })
    }

    /// Returns the runs that are placed and not known to have begun, be it that they are being stopped.
    fn unbegun_runs(&self) -> impl Iterator<Item = Stall> {
        self.workers.iter().flat_map(|(id, worker)| {
            let unbegun = worker.runs.iter().filter(|(_, run)| run.started_at.is_none());
            unbegun.map(|((unit, run), state)| (state.placed_at, *unit, id.clone(), *run))
        })
    }

    fn describe_hold(
        &self,
        now: Duration,
        pool: &PoolName,
        longest: &Longest,
    ) -> (UnitKey, String) {
        let ((since, unit, id, run), count) = longest;
        let worker = self.workers.get(id);
        let state = worker.map_or("is not known", |worker| worker.describe_contact(now));
        let start = worker.and_then(|worker| worker.late_starts.get(&(*unit, *run)));
        let until = match start.map(|start| start.until.saturating_sub(now)) {
            Some(left) if !left.is_zero() => {
                format!("may be carried out for {} ms", left.as_millis())
            }
            Some(_) => "may have been carried out".to_string(),
            None => "is over".to_string(),
        };
        let text = format!(
            "held for {} ms: the start of run {run} on {id} {until}, and the worker {state}; units held \
             in pool {pool}: {count}",
            (now - *since).as_millis(),
        );
        (*unit, text)
    }

    fn describe_unbegun(
        &self,
        now: Duration,
        pool: &PoolName,
        longest: &Longest,
    ) -> (UnitKey, String) {
        let ((since, unit, id, run), count) = longest;
        let worker = self.workers.get(id);
        let state = worker.map_or("is not known", |worker| worker.describe_contact(now));
        let placed = worker.and_then(|worker| worker.runs.get(&(*unit, *run)));
        let text = format!(
            "placed for {} ms: run {run} on {id} is {:?} and has not begun, its lease {}, and the worker \
             {state}; such units in pool {pool}: {count}",
            (now - *since).as_millis(),
            placed.map(|run| run.state),
            match worker.is_some_and(|worker| worker.lease.is_expired(now)) {
                true => "has expired",
                false => "has not expired",
            },
        );
        (*unit, text)
    }
}

/// Returns the longest stall of each pool of those that are to be explained.
fn longest_by_pool(
    ledger: &Ledger,
    now: Duration,
    stalls: impl Iterator<Item = Stall>,
) -> BTreeMap<PoolName, Longest> {
    let mut longest: BTreeMap<PoolName, Longest> = BTreeMap::new();
    for stall in stalls.filter(|(since, ..)| now >= *since + EXPLAIN_AFTER) {
        let Some(job) = ledger.job(stall.1.job).filter(|job| !job.state.is_final()) else {
            continue;
        };
        match longest.get_mut(&job.pool) {
            Some((first, count)) => {
                *count += 1;
                if stall.0 < first.0 {
                    *first = stall;
                }
            }
            None => {
                longest.insert(job.pool.clone(), (stall, 1));
            }
        }
    }
    longest
}
