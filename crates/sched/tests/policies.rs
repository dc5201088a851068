//! Queues whose policy allows only some workers, while versions of the configuration rename them.

mod world;

use jobs::command::{Command, Submit};
use jobs::{Definition, State};
use std::time::Duration;
use world::{World, step};

#[test]
fn units_of_a_renamed_queue_start_with_tickets_of_its_policy() {
    let mut world = World::new(4);
    world.allowed = vec!["w1".to_string(), "w3".to_string()];
    let mut config = world.ledger.config().unwrap().clone();
    let queue = config.queues.remove("r").unwrap();
    let submit = Submit {
        queue: "r".to_string(),
        place: Some(queue.place()),
        id: "a".to_string(),
        definition: Definition { steps: vec![step(4, 1000, 400)], ..Definition::default() },
        owner: None,
        at: world.time().wall,
    };
    world.run_times.insert("a".to_string(), Duration::from_millis(400));
    world.apply(Command::Submit(submit));
    config.version += 1;
    config.queues.insert("renamed".to_string(), queue);
    world.apply(Command::Configure(Box::new(config)));
    world.run(Duration::from_secs(4));
    assert!(world.starts.iter().all(|start| world.allowed.contains(&start.worker)));
    assert_eq!(world.state("renamed", "a"), State::Completed);
}
