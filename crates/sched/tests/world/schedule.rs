//! Random schedules of faults of a few workers and their leaders.

use super::dimension::{Dimensions, Spells};
use super::still::Stall;
use super::{TICK, World, long_running, step};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::collections::BTreeMap;
use std::time::Duration;

/// Time between two steps of a schedule.
const STEP: Duration = Duration::from_millis(100);
/// Time with faults.
const FAULTY_TIME: Duration = Duration::from_secs(40);
/// Jobs that last: the units of each, and how many of them may be unavailable.
const LASTING_JOBS: [(&str, u32, Option<u32>); 3] =
    [("l0", 2, None), ("l1", 1, None), ("l2", 2, Some(1))];

/// What a schedule draws from, besides orders to start that are left unanswered and carried out 2 to
/// 12 s later, restarts under the same id, and workers that are cut off.
#[derive(Clone, Copy, Debug)]
pub struct Faults {
    /// Shortest time between two restarts of one worker.
    pub restart_gap: Duration,
    /// One poll in this many gets no answer and is carried out late.
    pub omits_one_poll_in: Option<u32>,
    /// One stop in this many gets no answer and is carried out late.
    pub omits_one_stop_in: Option<u32>,
    /// Starts are answered, and a first copy of them is carried out late.
    pub repeats_starts: bool,
    /// Probability of a change of leader in each step.
    pub leader_change: f64,
    /// Longest time without a leader between two.
    pub longest_interregnum: Duration,
    /// Largest error of the wall clock by which a restarted worker states its start.
    pub wall_clock_error: Duration,
    /// Whether work that lasts runs beside work that ends.
    pub has_lasting_work: bool,
    /// Whether each unit that does not run is to be accounted for.
    pub judges_accounts: bool,
    /// Whether it is judged how long units stand still.
    pub judges_stalls: bool,
    /// Further faults.
    pub dimensions: Dimensions,
}

impl Faults {
    /// Creates the faults of workers under one leader, with clocks that are right.
    pub fn new(restart_gap: Duration) -> Faults {
        Faults {
            restart_gap,
            omits_one_poll_in: None,
            omits_one_stop_in: None,
            repeats_starts: false,
            leader_change: 0.0,
            longest_interregnum: Duration::from_secs(2),
            wall_clock_error: Duration::ZERO,
            has_lasting_work: false,
            judges_accounts: false,
            judges_stalls: false,
            dimensions: Dimensions::default(),
        }
    }
}

/// A broken promise.
#[derive(Clone, Debug, PartialEq)]
pub struct Failure {
    pub seed: u64,
    /// Time of the simulation.
    pub at: Duration,
    pub text: String,
}

/// A random schedule of faults.
pub struct Schedule {
    pub world: World,
    seed: u64,
    pub(super) faults: Faults,
    pub(super) rng: StdRng,
    restarted_at: BTreeMap<String, Duration>,
    cut_until: BTreeMap<String, Duration>,
    /// When the next leader takes over, while there is none.
    pub(super) takeover_at: Option<Duration>,
    pub(super) job_count: u32,
    /// Spells of further faults.
    pub(super) spells: Spells,
    /// The next leader has heard of no worker.
    pub(super) is_cold: bool,
    /// Number of instances.
    pub(super) instances: u32,
    /// First unit that stood still, by what was promised.
    pub stalls: BTreeMap<Stall, Failure>,
    /// Faults so far.
    events: Vec<(Duration, String)>,
}

impl Schedule {
    pub fn new(seed: u64, faults: Faults) -> Schedule {
        let instances = faults.dimensions.instances();
        let mut world = World::new(instances as usize);
        world.uses_roster = true;
        world.audit.is_on = true;
        world.still.judges_accounts = faults.judges_accounts;
        world.still.judges_times = faults.judges_stalls;
        world.trouble.set_seed(seed);
        world.repeats_starts = faults.repeats_starts;
        for worker in world.workers.values_mut() {
            worker.omits_one_start_in = Some(3);
            worker.omits_one_poll_in = faults.omits_one_poll_in;
            worker.omits_one_stop_in = faults.omits_one_stop_in;
        }
        if faults.has_lasting_work {
            for (id, count, max_unavailable) in LASTING_JOBS {
                let step = jobs::Step { max_unavailable, ..long_running(count, 1000) };
                world.submit("q", id, vec![step]);
            }
        }
        let (restarted_at, cut_until) = Default::default();
        let rng = StdRng::seed_from_u64(seed);
        Schedule {
            world,
            seed,
            faults,
            rng,
            restarted_at,
            cut_until,
            takeover_at: None,
            job_count: 0,
            is_cold: false,
            instances,
            stalls: BTreeMap::new(),
            events: Vec::new(),
            spells: Spells::default(),
        }
    }

    pub(super) fn record(&mut self, text: String) {
        self.events.push((self.world.now, text));
    }

    pub(super) fn random_duration(&mut self, least_ms: u64, most_ms: u64) -> Duration {
        Duration::from_millis(self.rng.random_range(least_ms..most_ms))
    }

    /// Brings about the faults and jobs of one step.
    fn step(&mut self) {
        self.world.start_delay = self.random_duration(2000, 12_000);
        if self.rng.random_bool(0.06) && !self.is_idle() {
            self.submit();
        }
        let id = self.draw_worker();
        let now = self.world.now;
        if self.rng.random_bool(0.03) && !self.cut_until.contains_key(&id) {
            let cut_for = self.random_duration(300, 15_000);
            self.record(format!("{id} is cut off for {cut_for:?}"));
            self.cut_until.insert(id.clone(), now + cut_for);
            self.world.workers.get_mut(&id).unwrap().partitioned = true;
        }
        let gap = self.faults.restart_gap;
        let may_restart = self.restarted_at.get(&id).is_none_or(|at| now >= *at + gap)
            && !self.world.workers[&id].is_down;
        if may_restart && self.rng.random_bool(0.03) {
            let down_for = self.random_duration(10, 7000);
            self.restarted_at.insert(id.clone(), now);
            self.record(format!("{id} is down for {down_for:?}"));
            self.set_wall_clock_error();
            self.world.restart(&id, down_for);
        }
        let healed: Vec<_> = self.cut_until.extract_if(.., |_, until| now >= *until).collect();
        for (id, _) in healed {
            self.world.workers.get_mut(&id).unwrap().partitioned = false;
        }
        self.change_leader();
        self.step_dimensions();
    }

    pub(super) fn submit(&mut self) {
        let id = format!("a{}", self.job_count);
        self.job_count += 1;
        let run_time = self.random_duration(200, 12_000);
        self.world.run_times.insert(id.clone(), run_time);
        let (count, cpu) = (self.rng.random_range(1..4), self.rng.random_range(1..6) * 1000);
        let first = step(count, cpu, run_time.as_millis() as u64);
        let steps = self.shape(&id, first);
        self.world.submit("q", &id, steps);
    }

    /// Draws the error of the wall clock of the next worker that starts.
    pub(super) fn set_wall_clock_error(&mut self) {
        let most_ms = self.faults.wall_clock_error.as_millis() as i64;
        let error_ms = if most_ms > 0 { self.rng.random_range(-most_ms..=most_ms) } else { 0 };
        self.world.wall_clock_error_ms = Some(error_ms);
    }

    /// Ends the present leadership, or begins the next one when it is due.
    fn change_leader(&mut self) {
        match self.takeover_at {
            Some(at) if self.world.now >= at => self.take_over(),
            None if self.faults.leader_change > 0.0
                && self.rng.random_bool(self.faults.leader_change) =>
            {
                let longest_ms = self.faults.longest_interregnum.as_millis() as u64;
                let takeover_at = self.world.now + self.random_duration(0, longest_ms + 1);
                self.takeover_at = Some(takeover_at);
                self.record("the leadership ends".to_string());
                self.world.end_leadership();
            }
            _ => {}
        }
    }

    /// Begins the next leadership, with the last reports of all workers or of some of them.
    fn take_over(&mut self) {
        self.takeover_at = None;
        if std::mem::take(&mut self.is_cold) {
            self.record("the next leader knows of no worker".to_string());
            return self.world.begin_leadership(&Default::default());
        }
        let knows_all = self.rng.random_bool(0.5);
        let ids: Vec<String> = self.world.workers.keys().cloned().collect();
        let known = ids.into_iter().filter(|_| knows_all || self.rng.random_bool(0.5)).collect();
        self.record(format!("the next leader knows of {known:?}"));
        self.world.begin_leadership(&known);
    }

    /// Ends all faults but the late orders that are under way.
    fn heal(&mut self) {
        if self.takeover_at.is_some() {
            self.take_over();
        }
        self.end_drains();
        self.world.still.healed_at.get_or_insert(self.world.now);
        self.world.repeats_starts = false;
        self.world.end_trouble();
        for worker in self.world.workers.values_mut() {
            worker.partitioned = false;
            (worker.omits_one_start_in, worker.omits_one_poll_in) = (None, None);
            worker.omits_one_stop_in = None;
        }
    }

    /// Plays 40 s of faults and the given time without any, and checks at each tick that no unit
    /// runs twice and no worker is over its capacity, and in the end that all jobs are done and all
    /// work that lasts is running. If accounts are judged, also that each unit has one; how long units
    /// stand still is left to the caller.
    pub fn play(&mut self, healed_for: Duration) -> Result<(), Failure> {
        let healed_at = self.world.now + FAULTY_TIME;
        while self.world.now < healed_at + healed_for {
            if self.world.now < healed_at {
                self.step();
            } else {
                self.heal();
            }
            for _ in 0..STEP.as_millis() / TICK.as_millis() {
                self.world.run(TICK);
                self.record_stalls();
                let twice = self.world.running_twice();
                if !twice.is_empty() {
                    return self.fail(format!("{twice:?} run twice"));
                }
                if let Some(text) = self.broken_promise() {
                    return self.fail(text);
                }
                if !self.world.overloads.is_empty() {
                    return self.fail(format!("over capacity: {:?}", self.world.overloads));
                }
            }
        }
        let mut stalls = self.stalls.iter().filter(|(stall, _)| stall.is_of_structure());
        if let Some((_, failure)) = stalls.next() {
            return Err(failure.clone());
        }
        for job in 0..self.job_count {
            let id = format!("a{job}");
            let state = self.world.state("q", &id);
            if !self.may_be(&id, state) {
                return self.fail(format!("job {id} is {state:?}"));
            }
        }
        self.check_end(healed_at)?;
        if self.faults.has_lasting_work {
            for (id, count, _) in LASTING_JOBS {
                let unit = |index| format!("{id}.0.0.{index}");
                let is_away = |name: &String| self.world.workers_running(name).is_empty();
                if let Some(name) = (0..count).map(unit).find(is_away) {
                    return self.fail(format!("{name} does not run"));
                }
            }
        }
        Ok(())
    }

    /// Records the first unit that stands still against each promise. The schedule goes on, for what
    /// may be broken later.
    fn record_stalls(&mut self) {
        for (stall, text) in std::mem::take(&mut self.world.still.violations) {
            if !self.stalls.contains_key(&stall)
                && let Err(failure) = self.fail(text)
            {
                self.stalls.insert(stall, failure);
            }
        }
    }

    pub(super) fn fail(&self, text: String) -> Result<(), Failure> {
        let failure = Failure { seed: self.seed, at: self.world.now, text };
        let seconds = std::env::var("TRACE").ok().and_then(|value| value.parse().ok());
        if let Some(seconds) = seconds {
            let lines = self.world.trace(&self.events, Duration::from_secs(seconds));
            println!("{failure:?}\n{}", lines.join("\n"));
        }
        Err(failure)
    }
}
