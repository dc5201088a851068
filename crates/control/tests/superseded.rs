//! A leader whose fence a worker refuses though no other core leads.

mod world;

use control::Input;
use jobs::Incarnation;
use jobs::definition::Resources;
use sched::Report;
use sched::order::{Answer, Refusal, Reply};
use sched::scheduler::PollReply;
use std::time::Duration;
use world::World;

const WORKER: &str = "w";

fn report() -> Report {
    Report {
        incarnation: Incarnation::new(WORKER, 5),
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

#[test]
fn a_refused_fence_does_not_end_all_orders_while_no_other_core_leads() {
    let mut world = World::new(1);
    world.heal();
    let leader = world.leader().unwrap();
    world.report(leader, report());
    world.run(Duration::from_secs(1));
    let sent_at = world.polled_at(leader)[WORKER];
    let answer = Answer::Refused(Refusal::Fence);
    let reply = PollReply { incarnation: report().incarnation, sent_at, answer };
    world.cores[leader].as_mut().unwrap().input(Input::WorkerReply(Reply::Poll(reply)));
    let refused_at = world.now();
    world.run(Duration::from_secs(8));
    let polled_at = (0..world::CORES).filter_map(|core| world.polled_at(core).remove(WORKER)).max();
    assert!(polled_at > Some(refused_at), "{polled_at:?}, refused at {refused_at:?}");
}
