//! Work that lasts, of which only some units may be unavailable, when stops are not carried out at
//! once.

mod world;

use std::time::Duration;
use world::{World, long_running};

fn seconds(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}

fn worker_of(world: &World, name: &str) -> String {
    world.workers_running(name)[0].clone()
}

/// The stop was right when it was first sent, and is not when it is sent again.
#[test]
fn a_stop_without_an_answer_is_not_repeated_while_another_unit_is_away() {
    let mut world = World::new(3);
    world.audit.is_on = true;
    world.submit("q", "l", vec![long_running(2, 1000)]);
    world.run(seconds(3.0));
    let (cut_off, crashed) = (worker_of(&world, "l.0.0.0"), worker_of(&world, "l.0.0.1"));
    let instance = world.workers[&cut_off].report.instance.clone();
    world.workers.get_mut(&cut_off).unwrap().partitioned = true;
    let at = world.time().wall;
    let wave = jobs::Wave::new(1, [instance].into(), seconds(15.0), 1, at);
    world.apply(jobs::command::Command::StartWave(wave));
    world.run(seconds(0.3));
    world.restart(&crashed, seconds(4.0));
    world.run(seconds(3.5));
    world.workers.get_mut(&cut_off).unwrap().partitioned = false;
    world.run(seconds(0.4));
    assert_eq!(world.workers_running("l.0.0.1").len(), 0);
    assert_eq!(world.workers_running("l.0.0.0").len(), 1);
    world.run(seconds(30.0));
    assert_eq!(world.audit.violations, [""; 0]);
    assert!(world.ledger.waves()[&1].is_completed());
}
