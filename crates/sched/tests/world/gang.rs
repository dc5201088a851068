//! Gangs at the workers: members wait for each other, work together and end together.

use super::{TICK, World};
use jobs::RunNumber;
use jobs::command::EndReason;
use std::collections::BTreeMap;
use std::time::Duration;

/// Time after which a member whose gang is not complete ends.
const TIMEOUT: Duration = Duration::from_secs(5);

/// A run of all members of a gang.
#[derive(Clone, Debug)]
struct Gang {
    first_start: Duration,
    most_seen: usize,
    is_complete: bool,
}

/// Gangs of a world.
#[derive(Default)]
pub struct Gangs {
    /// Jobs whose steps are gangs, with the number of members.
    pub jobs: BTreeMap<String, usize>,
    runs: BTreeMap<(String, RunNumber), Gang>,
}

impl World {
    /// Returns the worker and the name of each member that is running, by step and run.
    fn gang_members(&self) -> BTreeMap<(String, RunNumber), Vec<(String, String)>> {
        let mut members = BTreeMap::<_, Vec<_>>::new();
        for (id, worker) in self.workers.iter().filter(|(_, worker)| !worker.is_down) {
            for (name, run) in worker.runs.keys() {
                let (step, _) = name.rsplit_once('.').unwrap();
                let (job, _) = step.split_once('.').unwrap();
                if self.gangs.jobs.contains_key(job) {
                    let members = members.entry((step.to_string(), *run)).or_default();
                    members.push((id.clone(), name.clone()));
                }
            }
        }
        members
    }

    /// Lets the members of gangs wait for each other, and ends them together.
    pub(super) fn run_gangs(&mut self) {
        if self.gangs.jobs.is_empty() {
            return;
        }
        for ((step, run), members) in self.gang_members() {
            let Some(reason) = self.run_gang(&step, run, &members) else { continue };
            for (id, name) in members {
                let worker = self.workers.get_mut(&id).unwrap();
                worker.runs.remove(&(name.clone(), run));
                worker.end(name, run, reason);
            }
        }
    }

    /// Returns how the run of a gang ends now, if it does.
    fn run_gang(
        &mut self,
        step: &str,
        run: RunNumber,
        members: &[(String, String)],
    ) -> Option<EndReason> {
        let now = self.now;
        let (job, _) = step.split_once('.').unwrap();
        let count = self.gangs.jobs[job];
        let run_time = self.run_times[job];
        let first = Gang { first_start: now, most_seen: 0, is_complete: false };
        let gang = self.gangs.runs.entry((step.to_string(), run)).or_insert(first);
        if members.len() < gang.most_seen {
            return Some(EndReason::Broken);
        }
        gang.most_seen = members.len();
        let was_complete = std::mem::replace(&mut gang.is_complete, members.len() >= count);
        let is_late = now >= gang.first_start + TIMEOUT;
        let mut is_done = was_complete;
        for (id, name) in members {
            let worker = self.workers.get_mut(id).unwrap();
            let started_at = worker.runs.get_mut(&(name.clone(), run)).unwrap();
            if !was_complete {
                *started_at = now; // the work begins when all are present
            }
            is_done &= now + TICK > *started_at + run_time && !worker.is_stuck;
        }
        let is_alone = members.len() < count && is_late;
        is_done.then_some(EndReason::Done).or(is_alone.then_some(EndReason::Alone))
    }
}
