//! Reports of a worker that started again after its wall clock was set back.

mod world;

use control::Input;
use jobs::Incarnation;
use jobs::definition::Resources;
use sched::Report;
use sched::order::{Answer, Reply, RunLists};
use sched::scheduler::PollReply;
use std::time::Duration;
use world::{CORES, World};

const WORKER: &str = "w";

fn report(started_at: u64) -> Report {
    Report {
        incarnation: Incarnation::new(WORKER, started_at),
        instance: "m".to_string(),
        address: ([10, 1, 0, 1], 80).into(),
        pool: "p".to_string(),
        data_centre: "north".to_string(),
        labels: Vec::new(),
        capacity: Resources::default(),
        draining: false,
        remaining: None,
        number: 1,
    }
}

/// Answers the last poll of the worker as the incarnation that states a start.
fn answer_poll(world: &mut World, leader: usize, started_at: u64) {
    let sent_at = world.polled_at(leader)[WORKER];
    let answer =
        Answer::Done(RunLists { started_at: Some(started_at), clock_ms: 9, ..RunLists::default() });
    // Orders name the incarnation by the start that the leader knew first.
    let reply = PollReply { incarnation: report(5).incarnation, sent_at, answer };
    let core = world.cores[leader].as_mut().unwrap();
    core.input(Input::WorkerReply(Reply::Poll(reply)));
}

#[test]
fn a_core_that_does_not_lead_passes_on_a_report_with_an_earlier_start() {
    for reports_to_leader in [false, true] {
        let mut world = World::new(1);
        world.heal();
        let leader = world.leader().unwrap();
        let core = if reports_to_leader { leader } else { (leader + 1) % CORES };
        world.report(core, report(5));
        world.run(Duration::from_secs(1));
        answer_poll(&mut world, leader, 5);
        world.run(Duration::from_secs(1));
        let polled_at = world.polled_at(leader)[WORKER];
        world.report(core, report(1));
        world.run(Duration::from_secs(1));
        let asked_at = world.polled_at(leader)[WORKER];
        assert!(asked_at > polled_at, "to the leader itself: {reports_to_leader}");
    }
}
