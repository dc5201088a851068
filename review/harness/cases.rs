//! The cases. Each returns whether the rule held, or `None` if it could not run.

use crate::json::{Json, map, num, text};
use crate::record::{Event, What};
use crate::system::{CLIENT_PAUSE, CORES, Route, System, config, until, until_every};
use crate::worker::{Kind, Worker};
use std::collections::BTreeMap;
use std::thread::sleep;
use std::time::Duration;

const SERVICE: &str = "gatedesk";
const PREFIX: &str = "/kafi706/";
const WORKERS: usize = 3;
/// `finish_s` of the deployment.
const FINISH_S: u64 = 14;

fn seconds(count: u64) -> Duration {
    Duration::from_secs(count)
}

fn kind(index: usize) -> Kind {
    Kind {
        id: format!("i-{index}"),
        machine: format!("m-{index}"),
        service: SERVICE.to_string(),
        zone: ["callao-norte", "callao-sur", "ventanilla"][index % 3].to_string(),
        rack: format!("r{}-1", index % 3),
        cpu: 32_000,
        mem_mb: 131_072,
    }
}

fn workers(system: &System) -> Option<Vec<Worker>> {
    let start = |index| {
        let listener = system.bind_standin(index)?;
        Some(Worker::start(kind(index), listener, system.controls(), system.record.clone()))
    };
    (0..WORKERS).map(start).collect()
}

fn route(name: &str) -> Route<'_> {
    Route { name, prefix: PREFIX, service: SERVICE, max_attempts: 2 }
}

fn path(id: &str) -> String {
    format!("{PREFIX}{id}")
}

fn step(count: u64, cpu: u64, mem_mb: u64, est_runtime_ms: u64) -> BTreeMap<String, Json> {
    let fields =
        [("count", count), ("cpu", cpu), ("mem_mb", mem_mb), ("est_runtime_ms", est_runtime_ms)];
    fields.into_iter().map(|(name, value)| (name.to_string(), num(value))).collect()
}

fn lasting(mut step: BTreeMap<String, Json>) -> BTreeMap<String, Json> {
    step.insert("long_running".to_string(), Json::Bool(true));
    step
}

fn job(spec: &str, steps: Vec<BTreeMap<String, Json>>) -> Json {
    let steps = steps.into_iter().map(Json::Map).collect();
    map([("spec", text(spec)), ("steps", Json::List(steps))])
}

/// A client that asks for the state of a job until it is the given one.
fn becomes(system: &System, id: &str, state: &str, within: Duration) -> bool {
    let mut edge = 0;
    until_every(CLIENT_PAUSE, within, || {
        edge += 1;
        system.state(edge, &path(id)).as_deref() == Ok(state)
    })
}

/// A job with many steps comes, beside the same work in one step.
fn many_steps(system: &System, has_trouble: bool) -> Option<bool> {
    const STEPS: u64 = 400;
    let workers = workers(system)?;
    system.configure(&config(1, &[route("gate-slot")], &[SERVICE])).then_some(())?;
    let small = "00000000000000b0";
    let small_job = job("work_ms=600", vec![step(4, 1000, 512, 600)]);
    system.submit(&path(small), &small_job, seconds(20)).then_some(())?;
    becomes(system, small, "completed", seconds(15)).then_some(())?;
    let watch = "00000000000000b1";
    let watch_job = job("lasts", vec![lasting(step(2, 1000, 512, 700))]);
    system.submit(&path(watch), &watch_job, seconds(20)).then_some(())?;
    becomes(system, watch, "running", seconds(10)).then_some(())?;
    sleep(seconds(3));
    let large = "00000000000000b2";
    let plan = match has_trouble {
        true => (0..STEPS).map(|_| step(1, 10, 16, 500)).collect(),
        false => vec![step(STEPS, 10, 16, 500)],
    };
    let large_job = job("work_ms=500", plan);
    system.record.line(format!("the large job is {} bytes long", large_job.to_string().len()));
    let is_accepted = system.submit(&path(large), &large_job, seconds(10));
    system.record.line(format!("the large job is accepted: {is_accepted}"));
    // The traffic ends here. `finish_s` later, clients ask for their jobs.
    sleep(seconds(FINISH_S));
    let mut held = true;
    for id in [small, watch, large] {
        if id == large && !is_accepted {
            continue;
        }
        let mut edge = 0;
        let is_answered = until_every(CLIENT_PAUSE, seconds(12), || {
            edge += 1;
            system.state(edge, &path(id)).is_ok()
        });
        system.record.line(format!("job {id} is answered for within 12 s: {is_answered}"));
        held &= is_answered;
    }
    let at_work: usize = workers.iter().map(|worker| worker.units_at_work(watch)).sum();
    system.record.line(format!("at work of the 2 work units that last: {at_work}"));
    held &= at_work == 2;
    system.record.line(format!("processes that ended by themselves: {:?}", system.ended()));
    if !held {
        // For the record only: a restart of the whole core does not help.
        (0..CORES).for_each(|core| system.kill(core));
        (0..CORES).try_for_each(|core| system.run(core, false))?;
        let is_back = becomes(system, small, "completed", seconds(15));
        system.record.line(format!("answered within 15 s of a restart of all cores: {is_back}"));
    }
    Some(held)
}

/// TWICE: "a start after a run has ended `done`, if that end is taken note of then or later".
fn started_after_done(events: &[Event]) -> Vec<String> {
    let of = |event: &Event| (event.worker.clone(), event.task.clone(), event.run);
    let is_noted = |end: &Event| {
        events.iter().any(|event| matches!(event.what, What::Noted) && of(event) == of(end))
    };
    let mut found = Vec::new();
    let mut starts: BTreeMap<&str, Vec<&Event>> = BTreeMap::new();
    for event in events.iter().filter(|event| matches!(event.what, What::Start)) {
        starts.entry(&event.task).or_default().push(event);
    }
    for end in events.iter().filter(|event| matches!(event.what, What::End(_, "done"))) {
        let later = starts.get(end.task.as_str()).into_iter().flatten();
        let mut later = later.filter(|start| start.at_ms > end.at_ms && start.run != end.run);
        if let Some(start) = later.next().filter(|_| is_noted(end)) {
            found.push(format!(
                "{}: run {} ended done on {} at {} ms, run {} started on {} at {} ms",
                end.task, end.run, end.worker, end.at_ms, start.run, start.worker, start.at_ms
            ));
        }
    }
    found
}

/// More than 500 ends wait at a worker while the core changes its leader.
fn many_ends(system: &System, has_trouble: bool) -> Option<bool> {
    const UNITS: u64 = 700;
    const WORK_MS: u64 = 6000;
    let workers = workers(system)?;
    system.configure(&config(1, &[route("gate-slot")], &[SERVICE])).then_some(())?;
    let id = "00000000000000a1";
    let large = job(&format!("work_ms={WORK_MS}"), vec![step(UNITS, 10, 16, WORK_MS)]);
    system.submit(&path(id), &large, seconds(20)).then_some(())?;
    let is_near_end =
        || workers.iter().filter_map(|worker| worker.age_ms(id)).any(|age| age >= WORK_MS - 300);
    until(seconds(30), is_near_end).then_some(())?;
    let counts: Vec<usize> = workers.iter().map(|worker| worker.running().len()).collect();
    system.record.line(format!("at work on the workers: {counts:?}"));
    if has_trouble {
        let leader = system.leader()?;
        system.kill(leader);
        sleep(seconds(1));
        system.run(leader, false)?;
    }
    let completed = becomes(system, id, "completed", seconds(40));
    system.record.line(format!("the job is shown as completed: {completed}"));
    let twice = started_after_done(&system.record.events());
    for text in twice.iter().take(5) {
        system.record.line(format!("TWICE {text}"));
    }
    system
        .record
        .line(format!("{} work units started again after a noted end `done`", twice.len()));
    Some(twice.is_empty())
}

/// Work units that last fail twice each, on workers that run nothing else; then a short job comes.
fn lasting_failures(system: &System, has_trouble: bool) -> Option<bool> {
    const COUNT: u64 = 12;
    let workers = workers(system)?;
    system.configure(&config(1, &[route("reading-watch")], &[SERVICE])).then_some(())?;
    // The leader has to know all workers, so that it spreads the work units over the racks.
    sleep(seconds(4));
    let id = "00000000000000c1";
    let spec = if has_trouble { "lasts fail_ms=4000 each_ms=500 runs=2" } else { "lasts" };
    let watch = job(spec, vec![lasting(step(COUNT, 1000, 2048, 700))]);
    system.submit(&path(id), &watch, seconds(20)).then_some(())?;
    let at_work = || workers.iter().map(|worker| worker.units_at_work(id)).sum::<usize>();
    until(seconds(15), || at_work() == COUNT as usize).then_some(())?;
    // Units whose runs are started at once have failed for the last time after 20 s.
    sleep(seconds(45));
    let short = "00000000000000c2";
    let short_job = job("work_ms=600", vec![step(4, 1000, 512, 600)]);
    system.submit(&path(short), &short_job, seconds(10)).then_some(())?;
    let completed = becomes(system, short, "completed", seconds(20));
    system.record.line(format!("the short job is completed within 20 s: {completed}"));
    let state = system.state(0, &path(id));
    system.record.line(format!("the job that lasts is shown as {state:?}"));
    let running: Vec<_> = workers.iter().map(|worker| worker.running()).collect();
    for (index, runs) in running.iter().enumerate() {
        let used = runs.len() * 1000;
        system.record.line(format!("worker {index} uses {used} of 32000 cpu: {runs:?}"));
    }
    let events = system.record.events();
    let mut held = completed && state.as_deref() == Ok("running");
    for index in 0..COUNT {
        let task = format!("{id}.0.0.{index}");
        if running.iter().flatten().any(|(name, _)| *name == task) {
            continue;
        }
        let is_end = |event: &&Event| event.task == task && matches!(event.what, What::End(..));
        let ended = events.iter().rfind(is_end);
        let since_ms = ended.map_or(0, |event| system.record.now_ms() - event.at_ms);
        system.record.line(format!("LOST {task} has not run for {since_ms} ms beside free room"));
        // "for 3 s", and for work units that last "from 6 s after its last run".
        held &= since_ms < 9000;
    }
    Some(held)
}

/// All workers crash again and again, then run on. No run ends `failed`.
fn crashing_workers(system: &System, has_trouble: bool) -> Option<bool> {
    const COUNT: u64 = 3;
    const CRASHES: usize = 6;
    let workers = workers(system)?;
    system.configure(&config(1, &[route("reading-watch")], &[SERVICE])).then_some(())?;
    sleep(seconds(4));
    let id = "00000000000000f1";
    let watch = job("lasts", vec![lasting(step(COUNT, 1000, 2048, 700))]);
    system.submit(&path(id), &watch, seconds(20)).then_some(())?;
    let at_work = || workers.iter().map(|worker| worker.units_at_work(id)).sum::<usize>();
    until(seconds(15), || at_work() == COUNT as usize).then_some(())?;
    for _ in 0..if has_trouble { CRASHES } else { 0 } {
        sleep(seconds(2));
        workers.iter().for_each(Worker::crash);
        sleep(Duration::from_millis(700));
        workers.iter().for_each(Worker::begin_life);
    }
    sleep(seconds(15));
    let state = system.state(0, &path(id));
    let failed = system.record.events().iter().filter(is_failed).count();
    system.record.line(format!("the job is shown as {state:?}; {failed} runs ended failed"));
    system.record.line(format!("at work of the {COUNT} work units that last: {}", at_work()));
    Some(state.as_deref() == Ok("running") && at_work() == COUNT as usize)
}

fn is_failed(event: &&Event) -> bool {
    matches!(event.what, What::End(_, "failed"))
}

/// A worker restarts under its id, and a poll that acknowledges ends is carried out after that.
fn late_acknowledgement(system: &System, has_trouble: bool) -> Option<bool> {
    const UNITS: u64 = 8000;
    /// "carried out 2 to 12 s later"
    const DELAY: Duration = Duration::from_millis(2500);
    let listener = system.bind_standin(0)?;
    let worker = Worker::start(kind(0), listener, system.controls(), system.record.clone());
    system.configure(&config(1, &[route("gate-slot")], &[SERVICE])).then_some(())?;
    let id = "00000000000000e1";
    let large = job("work_ms=300 spread_ms=400", vec![step(UNITS, 100, 64, 500)]);
    system.submit(&path(id), &large, seconds(20)).then_some(())?;
    sleep(seconds(6));
    if has_trouble {
        worker.hold_back(2000, DELAY);
        until(seconds(15), || worker.is_held_back()).then_some(())?;
        sleep(Duration::from_millis(150));
        worker.crash();
        sleep(Duration::from_millis(700));
        worker.begin_life();
    }
    let completed = becomes(system, id, "completed", seconds(60));
    system.record.line(format!("the job is shown as completed: {completed}"));
    let twice = started_after_done(&system.record.events());
    for text in twice.iter().take(5) {
        system.record.line(format!("TWICE {text}"));
    }
    system
        .record
        .line(format!("{} work units started again after a noted end `done`", twice.len()));
    Some(twice.is_empty())
}

pub fn run(name: &str, system: &System, has_trouble: bool) -> Option<bool> {
    match name {
        "many-steps" => many_steps(system, has_trouble),
        "many-ends" => many_ends(system, has_trouble),
        "lasting-failures" => lasting_failures(system, has_trouble),
        "crashing-workers" => crashing_workers(system, has_trouble),
        "late-acknowledgement" => late_acknowledgement(system, has_trouble),
        _ => None,
    }
}
