//! Waits of units for places near their data or their group. See [`crate::locality`].

use super::{Scheduler, Time, Waiting};
use crate::locality::{self, MAX_WAIT, Offer, Rack};
use crate::place::{Candidate, Request};
use crate::rank::scaled;
use crate::worker::Run;
use jobs::definition::Resources;
use jobs::{Ledger, UnitKey};
use std::collections::BTreeMap;
use std::time::Duration;

/// Racks that units of one plan wait for, with what the units ranked before have taken.
pub(super) type Racks = BTreeMap<String, Rack>;

/// What the wait of a step's units depends on besides its rack.
#[derive(Clone, Copy, Debug)]
pub(super) struct Terms {
    run_time: Duration,
    waited: Duration,
    time_left: Duration,
    far_factor: f64,
}

impl Terms {
    /// Returns whether a unit waits for a sound worker rather than run on one that is slower by a
    /// factor, since it would be late there.
    pub(super) fn avoids_slow(&self, factor: f64) -> bool {
        self.waited < MAX_WAIT
            && self.run_time <= self.time_left
            && scaled(self.run_time, factor) > self.time_left
    }

    fn pays(&self, free_after: Option<Duration>) -> bool {
        let Terms { run_time, waited, time_left, far_factor } = *self;
        Offer { free_after, run_time, far_factor, waited, time_left }.pays()
    }
}

impl Scheduler {
    /// Returns what the wait of a step's units depends on; `None` for steps that never
    /// wait.
    pub(super) fn wait_terms(
        &self,
        time: Time,
        ledger: &Ledger,
        request: &Request<'_>,
        waiting: &Waiting,
    ) -> Option<Terms> {
        let step = request.step;
        if step.long_running || request.trial.is_some() {
            return None;
        }
        let job = ledger.job(request.key.job)?;
        let criteria = &waiting.criteria;
        let run_time = self.estimator.expected(&job.queue, step.estimate);
        let later = criteria.critical_path.saturating_sub(run_time);
        let must_end_by = (criteria.accepted_at + criteria.objective).saturating_sub(later);
        let waited = waiting.near_wait_since.map(|since| time.monotonic.saturating_sub(since));
        Some(Terms {
            run_time,
            waited: waited.unwrap_or_default(),
            time_left: must_end_by.saturating_sub(time.monotonic),
            far_factor: self.settings.far_factor,
        })
    }

    /// Returns whether a unit should wait for a place on the rack of its data rather than run
    /// elsewhere now.
    pub(super) fn waits_for_rack(
        &self,
        time: Time,
        ledger: &Ledger,
        request: &Request<'_>,
        terms: &Terms,
        candidates: &[&mut Candidate<'_>],
        racks: &mut Racks,
    ) -> bool {
        let Some(label) = &request.step.affinity else { return false };
        if !racks.contains_key(label) {
            let near = candidates.iter().filter(|candidate| candidate.has_rack_label(label));
            racks
                .insert(label.clone(), self.rack(time, ledger, near.map(|candidate| &**candidate)));
        }
        let Some(rack) = racks.get_mut(label) else { return false };
        let mut after = rack.clone();
        let pays = terms.pays(after.take(&request.step.reserved_resources()));
        if pays {
            *rack = after;
        }
        pays
    }

    /// Returns whether a group that fits on no rack now should wait for one.
    pub(super) fn group_waits(
        &self,
        time: Time,
        ledger: &Ledger,
        request: &Request<'_>,
        terms: &Terms,
        candidates: &[&mut Candidate<'_>],
    ) -> bool {
        let mut by_rack: BTreeMap<&String, Vec<&Candidate<'_>>> = BTreeMap::new();
        for candidate in candidates {
            if let Some(rack) = candidate.rack() {
                by_rack.entry(rack).or_default().push(candidate);
            }
        }
        let unit = request.step.reserved_resources();
        let count = request.step.count as usize;
        let fits_after = by_rack.into_values().filter_map(|near| {
            self.rack(time, ledger, near.into_iter()).group_fits_after(&unit, count)
        });
        terms.pays(fits_after.min())
    }

    /// Summarizes the workers of a rack, or others.
    pub(super) fn rack<'c, 'a: 'c>(
        &self,
        time: Time,
        ledger: &Ledger,
        workers: impl Iterator<Item = &'c Candidate<'a>>,
    ) -> Rack {
        let mut rack = Rack::default();
        for candidate in workers {
            let runs = candidate.worker.runs.iter();
            let ends =
                runs.filter_map(|((unit, _), run)| self.expected_end(time, ledger, unit, run));
            rack.add(candidate.free, ends.collect());
        }
        rack
    }

    /// Returns when a run is expected to end, from now, and what it frees then; `None` if it runs
    /// until its job is cancelled.
    pub(super) fn expected_end(
        &self,
        time: Time,
        ledger: &Ledger,
        unit: &UnitKey,
        run: &Run,
    ) -> Option<(Duration, Resources)> {
        if run.is_stopping_or_ending() {
            return Some((Duration::ZERO, run.resources));
        }
        let job = ledger.job(unit.job).filter(|_| !run.long_running)?;
        let step = job.definition.steps.get(usize::from(unit.step))?;
        let expected = self.estimator.expected(&job.queue, step.estimate);
        let elapsed = run.started_at.map_or(Duration::ZERO, |at| time.monotonic.saturating_sub(at));
        let (percent, seen_at) = run.progress;
        let remaining = match run.started_at {
            Some(started_at) if percent > 0 => {
                let left =
                    locality::remaining(seen_at.saturating_sub(started_at), percent, expected);
                left.saturating_sub(time.monotonic.saturating_sub(seen_at))
            }
            _ => locality::remaining(elapsed, 0, expected),
        };
        Some((remaining, run.resources))
    }
}
