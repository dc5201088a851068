//! Holds and waits whose end depends on an event that may never come.

mod world;

use jobs::command::{Command, MaintenanceChange};
use jobs::wave::Phase;
use jobs::{Step, Wave};
use sched::order::{Answer, Refusal, Reply};
use sched::scheduler::{PaceReply, StopReply};
use std::time::Duration;
use world::{STANDBY, TICK, World, long_running, step};

/// Time after which an order without an answer can no longer be carried out, with the retries.
const MAX_DOUBT: Duration = Duration::from_secs(18);

fn seconds(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}

/// Submits jobs of one unit that fills a worker for long.
fn fill(world: &mut World, prefix: &str, count: usize) {
    for number in 0..count {
        let id = format!("{prefix}{number}");
        world.run_times.insert(id.clone(), seconds(120.0));
        world.submit("q", &id, vec![step(1, 8000, 120_000)]);
    }
}

/// Returns a world with a unit that lasts on a worker, and its reply to a stop that it refuses as too old.
fn refused_stop() -> (World, Reply) {
    let mut world = World::new(3);
    world.submit("q", "a", vec![long_running(1, 1000)]);
    world.run(seconds(2.0));
    let unit = world.ledger.find_unit("a.0.0.0").unwrap();
    let worker = &world.workers[world.workers_running("a.0.0.0")[0]];
    let incarnation = worker.report.incarnation.clone();
    let answer = Answer::Refused(Refusal::Fence);
    let reply = Reply::Stop(StopReply { incarnation, unit, run: 1, answer });
    (world, reply)
}

#[test]
fn a_stop_of_an_earlier_leadership_that_is_refused_does_not_end_the_present_one() {
    let (mut world, reply) = refused_stop();
    world.replace_informed_leader();
    world.run(seconds(1.0));
    world.scheduler.on_worker_reply(world.time(), &world.ledger, reply);
    world.submit("q", "b", vec![step(1, 1000, 500)]);
    world.run(seconds(3.0));
    assert!(!world.scheduler.is_superseded());
    assert_eq!(world.starts_of("b.0.0.0").len(), 1);
}

#[test]
fn a_share_of_an_earlier_leadership_that_is_refused_does_not_end_the_present_one() {
    let (mut world, reply) = refused_stop();
    let Reply::Stop(StopReply { incarnation, unit, run, answer }) = reply else { unreachable!() };
    world.replace_informed_leader();
    world.run(seconds(1.0));
    let reply = PaceReply { incarnation, unit, run, percent: 50, answer };
    world.scheduler.on_pace_reply(reply);
    world.run(seconds(1.0));
    assert!(!world.scheduler.is_superseded());
}

#[test]
fn a_leader_whose_stop_is_refused_since_another_one_leads_sends_no_more_orders() {
    let (mut world, reply) = refused_stop();
    let Reply::Stop(stop) = &reply else { unreachable!() };
    world.workers.get_mut(&stop.incarnation.worker).unwrap().fence = 1_000_000;
    world.scheduler.on_worker_reply(world.time(), &world.ledger, reply);
    world.run(seconds(1.0));
    assert!(world.scheduler.is_superseded());
}

/// Lets the worker of a unit forget its run after a while, and returns when the unit starts again.
fn start_after_loss(id: &str, step: Step) -> Option<Duration> {
    let mut world = World::new(3);
    world.run_times.insert("b".to_string(), seconds(120.0));
    world.submit("q", id, vec![step]);
    world.run(seconds(3.0));
    let name = format!("{id}.0.0.0");
    let worker = world.workers_running(&name)[0].clone();
    world.workers.get_mut(&worker).unwrap().runs.clear();
    let lost_at = world.now;
    world.run(seconds(12.0));
    world.starts_of(&name).get(1).map(|start| start.at - lost_at)
}

#[test]
fn work_that_lasts_and_that_its_worker_does_not_list_any_more_starts_again() {
    let delay = start_after_loss("a", long_running(1, 1000));
    assert!(delay.is_some_and(|delay| delay <= seconds(6.0)), "{delay:?}");
}

#[test]
fn long_work_that_its_worker_does_not_list_any_more_starts_again() {
    let delay = start_after_loss("b", step(1, 1000, 120_000));
    assert!(delay.is_some_and(|delay| delay <= seconds(6.0)), "{delay:?}");
}

#[test]
fn an_instance_whose_move_is_lost_and_that_a_list_misses_gets_work() {
    let mut world = World::new(3);
    world.moves_to_lose = 1;
    let parked = |world: &World| {
        let is_parked = |text: &str| text.starts_with(&format!("moves to pool {STANDBY}"));
        let mut log = world.log.iter();
        log.find(|(_, e)| is_parked(&e.text)).map(|(_, e)| e.subject.clone())
    };
    while parked(&world).is_none() {
        world.run(TICK);
    }
    let instance = parked(&world).unwrap();
    world.run(seconds(0.1));
    let mut list = world.instances();
    list.retain(|listed| listed.id != instance);
    world.scheduler.on_instance_list(world.time(), world.now, list);
    fill(&mut world, "b", 3);
    world.run(MAX_DOUBT + seconds(10.0));
    assert_eq!(world.starts.len(), 3, "{:?}", world.starts);
}

#[test]
fn maintenance_that_is_refused_without_end_does_not_hold_up_its_wave() {
    let mut world = World::new(3);
    world.uses_roster = true;
    world.crash_downtime = seconds(600.0);
    let at = world.time().wall;
    let instances = ["m0".to_string(), "m1".to_string()].into();
    world.apply(Command::StartWave(Wave::new(1, instances, seconds(60.0), 1, at)));
    let instance = "m0".to_string();
    let change = MaintenanceChange {
        wave: 1,
        instance,
        phase: Phase::Ordered,
        worker_started_at: None,
        worker: None,
        at,
    };
    world.apply(Command::Maintenance(change));
    world.end_leadership();
    world.crash("w0");
    world.begin_leadership(&["w1".to_string(), "w2".to_string()].into());
    world.run(MAX_DOUBT + seconds(15.0));
    assert_eq!(world.ledger.waves()[&1].instances["m1"], Phase::Done);
}

#[test]
fn a_worker_that_reports_after_a_notice_of_its_end_gets_work() {
    let mut world = World::new(1);
    world.run(seconds(1.0));
    world.scheduler.on_worker_left(&"w0".to_string());
    world.run(seconds(25.0));
    world.submit("q", "a", vec![step(1, 1000, 500)]);
    world.run(seconds(3.0));
    assert_eq!(world.starts.len(), 1);
}

#[test]
fn a_unit_whose_worker_restarts_and_is_deleted_then_starts_elsewhere_soon() {
    let mut world = World::new(4);
    world.uses_roster = true;
    world.lists_only_workers_up = true;
    world.workers.values_mut().for_each(|worker| worker.omits_one_start_in = Some(1));
    world.start_delay = seconds(60.0);
    world.submit("q", "a", vec![long_running(1, 1000)]);
    world.run(seconds(0.1));
    let unit = world.ledger.find_unit("a.0.0.0").unwrap();
    let id = world.ledger.unit(&unit).unwrap().placements[0].incarnation.worker.clone();
    world.workers.values_mut().for_each(|worker| worker.omits_one_start_in = None);
    world.workers.get_mut(&id).unwrap().omits_one_stop_in = Some(1);
    world.restart(&id, seconds(0.1));
    world.run(seconds(0.6));
    world.delete(&id);
    let deleted_at = world.now;
    world.run(seconds(40.0));
    let starts = world.starts_of("a.0.0.0");
    let delay = starts.iter().find_map(|start| start.at.checked_sub(deleted_at));
    assert!(delay.is_some_and(|delay| delay <= seconds(9.0)), "{delay:?}: {starts:?}");
}
