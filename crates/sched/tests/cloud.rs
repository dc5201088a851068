//! Answers and lists of the cloud that tell of an earlier worker on an instance than the present one.

mod world;

use jobs::command::Command;
use sched::Settings;
use std::time::Duration;
use world::{STANDBY, TICK, World, step};

fn seconds(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}

/// Advances the simulation, and checks at each tick that no unit runs on two workers.
fn run_checked(world: &mut World, duration: Duration) {
    let end = world.now + duration;
    while world.now < end {
        world.run(TICK);
        let twice = world.running_twice();
        assert!(twice.is_empty(), "{twice:?} run twice at {:?}: {:?}", world.now, world.starts);
    }
}

/// Submits jobs of one unit that fills a worker for 3 s.
fn submit_jobs(world: &mut World, count: usize) {
    for number in 0..count {
        let id = format!("a{number}");
        world.run_times.insert(id.clone(), seconds(3.0));
        world.submit("q", &id, vec![step(1, 8000, 3000)]);
    }
}

fn runs_on(world: &World, id: &str) -> usize {
    world.workers[id].runs.len()
}

fn start_wave(world: &mut World, instance: &str) {
    let at = world.time().wall;
    let wave = jobs::Wave::new(1, [instance.to_string()].into(), seconds(30.0), 1, at);
    world.apply(Command::StartWave(wave));
}

#[test]
fn a_list_older_than_a_report_does_not_let_runs_of_the_moved_worker_start_elsewhere() {
    let mut world = World::new(2);
    world.add("w2", STANDBY, 1);
    world.run(seconds(7.0));
    let (asked_at, list) = (world.now, world.instances());
    submit_jobs(&mut world, 12);
    while runs_on(&world, "w2") == 0 {
        run_checked(&mut world, TICK);
    }
    world.scheduler.on_instance_list(world.time(), asked_at, list);
    run_checked(&mut world, seconds(30.0));
    let moved = world.moves.iter().filter(|(_, instance, pool)| instance == "m2" && pool == "p");
    assert_eq!(moved.count(), 1, "{:?}", world.moves);
    assert_eq!(world.starts.len(), 12, "each unit runs once");
}

#[test]
fn maintenance_that_was_done_under_the_former_leader_does_not_end_runs_of_the_next_worker() {
    for ticks in 0..60 {
        let mut world = World::new(3);
        world.uses_roster = true;
        world.loses_reports = true;
        world.end_leadership();
        let known = ["w1".to_string(), "w2".to_string()].into();
        world.begin_leadership(&known);
        world.maintenance_answer_delay = seconds(60.0);
        start_wave(&mut world, "m0");
        while world.maintenances_begun.is_empty() {
            run_checked(&mut world, TICK);
        }
        world.end_leadership();
        world.loses_reports = false;
        let down_for = Settings::default().maintenance_duration;
        run_checked(&mut world, down_for + seconds(0.2) + TICK * ticks);
        world.maintenance_answer_delay = seconds(2.0);
        world.begin_leadership(&known);
        submit_jobs(&mut world, 9);
        run_checked(&mut world, seconds(30.0));
        assert_eq!(world.starts.len(), 9, "each unit runs once, after {ticks} ticks");
        assert!(world.ledger.waves()[&1].is_completed(), "after {ticks} ticks");
    }
}

#[test]
fn an_answer_to_a_move_that_is_done_already_does_not_end_runs_of_the_worker_that_came_with_it() {
    let mut world = World::new(2);
    world.add("w2", STANDBY, 1);
    world.run(seconds(7.0));
    submit_jobs(&mut world, 12);
    while runs_on(&world, "w2") == 0 {
        run_checked(&mut world, TICK);
    }
    // The list is wrong, or of an earlier leader's order that has been carried out since.
    let mut list = world.instances();
    list.iter_mut().filter(|i| i.id == "m2").for_each(|i| i.pool = STANDBY.to_string());
    let asked_at = world.now + TICK;
    world.scheduler.on_instance_list(world.time(), asked_at, list);
    run_checked(&mut world, seconds(40.0));
    assert_eq!(world.starts.len(), 12, "each unit runs once");
    assert!(world.starts.iter().filter(|start| start.worker == "w2").count() > 1);
}

#[test]
fn an_answer_to_an_earlier_move_does_not_count_for_the_next_one() {
    let mut world = World::new(3);
    world.trouble.longest_cloud_call = seconds(2.0);
    let parked = |(_, e): &(Duration, sched::scheduler::Explanation)| {
        e.text.starts_with("moves to pool spare").then(|| e.subject.clone())
    };
    let instance = (0..1000).find_map(|_| {
        world.run(TICK);
        world.log.iter().find_map(parked)
    });
    let instance = instance.expect("an idle instance is parked");
    let before = world.log.len();
    let (sent_at, answer) = (seconds(90.0), sched::order::Answer::Done(()));
    let reply = sched::scheduler::MoveReply { instance, sent_at, answer };
    world.scheduler.on_move_reply(world.time(), reply);
    world.run(TICK);
    assert!(world.log[before..].is_empty(), "{:?}", &world.log[before..]);
}

/// Lets two waves name one instance, and the leader change after the given ticks of the first one's
/// maintenance, which is answered when the instance is back.
fn play_two_waves(ticks: u32, next_answer_delay: Duration) {
    let mut world = World::new(3);
    world.uses_roster = true;
    let at = world.time().wall;
    for id in [1, 2] {
        let instances = ["m0".to_string()].into();
        world.apply(Command::StartWave(jobs::Wave::new(id, instances, seconds(30.0), 1, at)));
    }
    world.maintenance_answer_delay = seconds(2.2);
    while world.maintenances_begun.is_empty() {
        run_checked(&mut world, TICK);
    }
    run_checked(&mut world, TICK * ticks);
    world.end_leadership();
    let known = ["w1".to_string(), "w2".to_string()].into();
    world.begin_leadership(&known);
    world.maintenance_answer_delay = next_answer_delay;
    run_checked(&mut world, seconds(60.0));
    for id in [1, 2] {
        assert!(world.ledger.waves()[&id].is_completed(), "wave {id} after {ticks} ticks");
    }
}

#[test]
fn an_answer_about_an_earlier_wave_does_not_end_the_order_of_the_next_one() {
    for ticks in 190..230 {
        play_two_waves(ticks, seconds(2.2));
    }
}

#[test]
fn the_next_wave_waits_until_the_begin_of_an_earlier_one_is_in_the_log() {
    for ticks in 190..230 {
        play_two_waves(ticks, Duration::ZERO);
    }
}

#[test]
fn a_late_report_of_a_worker_that_maintenance_ended_does_not_let_a_wave_exceed_its_limit() {
    let mut world = World::new(4);
    world.maintenance_overrun = seconds(4.0);
    let at = world.time().wall;
    let instances = ["m0".to_string(), "m1".to_string()].into();
    world.apply(Command::StartWave(jobs::Wave::new(1, instances, seconds(30.0), 1, at)));
    for _ in 0..1000 {
        if world.maintenances_begun.is_empty() {
            run_checked(&mut world, TICK);
        }
    }
    let instance = world.maintenances_begun[0].1.clone();
    run_checked(&mut world, seconds(1.2));
    // It was there between the decision on the maintenance and its begin.
    let id = instance.replace('m', "w");
    let mut report = world.workers[&id].report.clone();
    report.incarnation = jobs::Incarnation::new(format!("w{id}").as_str(), 2);
    world.scheduler.on_report(world.time(), &world.ledger, &report);
    run_checked(&mut world, seconds(3.0));
    assert!(world.workers[&id].is_down, "the instance is not back yet");
    assert_eq!(world.maintenances_begun.len(), 1, "{:?}", world.maintenances_begun);
}

#[test]
fn a_late_announcement_of_an_end_does_not_keep_the_next_incarnation_without_work() {
    let mut world = World::new(1);
    world.uses_roster = true;
    world.run(seconds(1.0));
    world.restart("w0", seconds(0.1));
    let is_new = |(_, e): &(Duration, sched::scheduler::Explanation)| {
        e.text.starts_with("new incarnation started")
    };
    world.loses_reports = true;
    for _ in 0..1000 {
        if !world.log.iter().any(is_new) {
            world.run(TICK);
        }
    }
    assert!(world.log.iter().any(is_new), "a poll shows it");
    world.scheduler.on_worker_left(&"w0".to_string());
    world.loses_reports = false;
    world.run(seconds(2.0));
    submit_jobs(&mut world, 1);
    run_checked(&mut world, seconds(20.0));
    assert_eq!(world.starts.len(), 1, "{:?}", world.starts);
}

#[test]
fn a_new_leaders_first_list_older_than_a_report_does_not_move_an_instance_that_has_runs() {
    let mut world = World::new(2);
    world.add("w2", STANDBY, 1);
    world.run(seconds(7.0));
    let list = world.instances();
    submit_jobs(&mut world, 12);
    for _ in 0..1000 {
        if runs_on(&world, "w2") == 0 {
            run_checked(&mut world, TICK);
        }
    }
    world.end_leadership();
    world.trouble.loses_lists = true;
    world.begin_leadership(&Default::default());
    let asked_at = world.now;
    run_checked(&mut world, seconds(1.9));
    world.trouble.loses_lists = false;
    let before = world.log.len();
    assert!(runs_on(&world, "w2") > 0);
    for number in 0..20 {
        world.submit("q", &format!("b{number}"), vec![step(1, 8000, 500)]);
    }
    world.scheduler.on_instance_list(world.time(), asked_at, list);
    run_checked(&mut world, seconds(1.0));
    let is_moved = |(_, e): &&(Duration, sched::scheduler::Explanation)| {
        e.subject == "m2" && e.text.starts_with("moves to pool")
    };
    let moved: Vec<_> = world.log[before..].iter().filter(is_moved).collect();
    assert!(moved.is_empty(), "{moved:?}");
}

#[test]
fn lists_without_a_worker_during_maintenance_do_not_release_units_that_it_may_start_late() {
    for ticks in 0..60 {
        let mut world = World::new(2);
        world.lists_only_workers_up = true;
        world.maintenance_overrun = seconds(6.0);
        world.workers.get_mut("w0").unwrap().omits_one_start_in = Some(1);
        let at = world.time().wall;
        let wave = jobs::Wave::new(1, ["m0".to_string()].into(), seconds(0.2), 1, at);
        world.start_delay = seconds(8.1) + TICK * ticks;
        submit_jobs(&mut world, 2);
        world.run_times.values_mut().for_each(|time| *time = seconds(6.0));
        run_checked(&mut world, seconds(0.1));
        world.apply(Command::StartWave(wave));
        run_checked(&mut world, seconds(30.0));
        assert!(!world.maintenances_begun.is_empty(), "after {ticks} ticks");
    }
}

#[test]
fn maintenance_waits_for_work_of_a_successor_whose_clock_is_set_back() {
    let mut world = World::new(3);
    world.wall_clock_error_ms = Some(0);
    world.restart("w0", seconds(0.1));
    run_checked(&mut world, seconds(2.0));
    world.wall_clock_error_ms = Some(-100_000);
    world.crash("w0");
    run_checked(&mut world, seconds(15.0));
    submit_jobs(&mut world, 6);
    run_checked(&mut world, seconds(0.5));
    assert!(runs_on(&world, "ww0") > 0);
    start_wave(&mut world, "m0");
    run_checked(&mut world, seconds(30.0));
    assert!(world.ledger.waves()[&1].is_completed());
    assert!(world.interrupted.is_empty(), "{:?}", world.interrupted);
}
