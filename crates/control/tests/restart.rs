//! Replies that were meant for an earlier process arrive at its successor.

mod world;

use async_std::channel::bounded;
use control::Input;
use jobs::definition::Resources;
use jobs::{Config, Incarnation};
use mesh::request::Location;
use mesh::{Frame, LeaderRequest, Reply};
use sched::Report;
use sched::order::Answer;
use std::net::SocketAddr;
use std::time::Duration;
use world::{CORES, TICK, World};

const WORKERS: u64 = 200;
/// Longest time from an order without an answer to the next poll of its worker.
const RETRY_TIME: Duration = Duration::from_secs(8);

fn restart(world: &mut World, core: usize) {
    world.kill(core);
    world.run(TICK);
    world.start(core, false);
}

/// Restarts the leaders until this core leads.
fn make_leader(world: &mut World, core: usize) {
    for _ in 0..50 {
        match world.leader() {
            Some(leader) if leader == core => return,
            Some(leader) => restart(world, leader),
            None => {}
        }
        world.run(Duration::from_secs(2));
    }
    panic!("core {core} does not become leader");
}

fn report(worker: &str, number: u64) -> Report {
    Report {
        incarnation: Incarnation::new(worker, 1),
        instance: format!("m-{worker}"),
        address: SocketAddr::from(([10, 1, worker.as_bytes()[0], 1], number as u16)),
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
fn a_reply_to_an_earlier_process_does_not_answer_a_request_that_its_successor_forwards() {
    let mut world = World::new(1);
    world.heal();
    let leader = world.leader().unwrap();
    let follower = (leader + 1) % CORES;
    world.request(follower, LeaderRequest::Config);
    world.run(TICK);
    let earlier = world.forwarded(follower)[0];
    restart(&mut world, follower);
    world.run(Duration::from_secs(1));
    world.frozen[leader] = true;
    let location = Location { host: "h".to_string(), path: "/q/1".to_string(), key: None };
    let submit = LeaderRequest::Submit { location, definition: Box::default() };
    let reply = world.request(follower, submit);
    world.run(TICK);
    world.deliver(leader, follower, Frame::Reply(earlier, Reply::Done));
    world.run(TICK);
    assert_eq!(world.forwarded(follower).len(), 2, "the job was forwarded");
    assert!(reply.try_recv().is_err(), "the leader has not read the job");
}

#[test]
fn replies_to_an_earlier_leader_do_not_settle_orders_of_its_successor() {
    let mut world = World::new(1);
    world.heal();
    let leader = world.leader().unwrap();
    let configure = LeaderRequest::Configure(Box::new(Config { version: 1, ..Config::default() }));
    world.request(leader, configure);
    (0..WORKERS).for_each(|n| world.report(leader, report(&format!("w{n}"), n)));
    world.run(Duration::from_secs(1));
    let earlier = world.relayed(leader);
    assert!(!earlier.is_empty(), "orders are relayed");
    restart(&mut world, leader);
    make_leader(&mut world, leader);
    // Further workers, so that equal numbers belong to other workers.
    (0..WORKERS).for_each(|n| world.report(leader, report(&format!("a{n}"), n)));
    (0..WORKERS).for_each(|n| world.report(leader, report(&format!("w{n}"), n)));
    world.run(TICK * 2);
    for relayed in earlier {
        let Some(reply) = relayed.order.reply_with(Answer::Unknown) else { continue };
        world.deliver(relayed.to, leader, Frame::OrderReplies(vec![(relayed.id, reply)]));
    }
    let delivered_at = world.now();
    world.run(RETRY_TIME);
    let polled_at = world.polled_at(leader);
    let unsettled: Vec<_> = polled_at.iter().filter(|(_, at)| **at <= delivered_at).collect();
    assert!(unsettled.is_empty(), "{} workers are never polled again", unsettled.len());
}

/// Whether a core that leads knows a worker.
fn knows_worker(world: &mut World, core: usize, worker: &str) -> bool {
    let (sender, text) = bounded(1);
    world.cores[core].as_mut().unwrap().input(Input::Dump(sender));
    let state: serde_json::Value = serde_json::from_str(&text.try_recv().unwrap()).unwrap();
    !state["reign"]["workers"][worker].is_null()
}

#[test]
fn a_leader_that_restarts_and_leads_again_is_sent_the_reports_that_it_has_lost() {
    let mut leads_again = 0;
    for seed in 0..20 {
        let mut world = World::new(seed);
        world.heal();
        let leader = world.leader().unwrap();
        let (reporter, other) = ((leader + 1) % CORES, (leader + 2) % CORES);
        world.set_link(reporter, other, false);
        world.report(reporter, report("w", 1));
        world.run(Duration::from_secs(1));
        assert!(knows_worker(&mut world, leader, "w"), "seed {seed}");
        world.frozen[reporter] = true;
        restart(&mut world, leader);
        world.run(Duration::from_secs(4));
        world.frozen[reporter] = false;
        world.run(Duration::from_millis(500));
        if world.leader() == Some(leader) {
            leads_again += 1;
            assert!(knows_worker(&mut world, leader, "w"), "seed {seed}: the report is not sent");
        }
    }
    assert!(leads_again > 0, "no schedule in which the leader leads again");
}

#[test]
fn a_leader_that_is_cut_off_reads_nothing_old_after_its_last_voter_restarts() {
    let configure = |version: u64| {
        let document = version.to_string().into_bytes();
        LeaderRequest::Configure(Box::new(Config { version, document, ..Config::default() }))
    };
    for seed in 0..20 {
        let mut world = World::new(seed);
        world.heal();
        let leader = world.leader().unwrap();
        let (voter, other) = ((leader + 1) % CORES, (leader + 2) % CORES);
        world.request(leader, configure(1));
        world.run(Duration::from_secs(1));
        world.set_link(leader, other, false);
        world.run(Duration::from_secs(3));
        world.set_link(leader, voter, false);
        restart(&mut world, voter);
        let mut acknowledged = false;
        for _ in 0..300 {
            let written = world.request(other, configure(2));
            let read = world.request(leader, LeaderRequest::Config);
            world.run(TICK * 5);
            let read = read.try_recv();
            assert!(
                !acknowledged || read != Ok(Reply::Config(b"1".to_vec())),
                "seed {seed}: read 1 after 2 was acknowledged"
            );
            acknowledged |= written.try_recv() == Ok(Reply::Done);
        }
        assert!(acknowledged, "seed {seed}: the others elect a leader");
    }
}

#[test]
fn cores_that_were_all_killed_have_a_leader_before_an_election_timeout_is_over() {
    for seed in 0..20 {
        let mut world = World::new(seed);
        world.heal();
        (0..3).for_each(|index| world.kill(index));
        world.run(Duration::from_millis(100));
        (0..3).for_each(|index| world.start(index, false));
        world.run(Duration::from_millis(700));
        assert!(world.leader().is_some(), "seed {seed}");
    }
}

#[test]
fn a_restarted_core_waits_to_vote_while_another_core_is_not_linked() {
    let mut world = World::new(9);
    world.heal();
    let leader = world.leader().unwrap();
    let others: Vec<usize> = (0..3).filter(|index| *index != leader).collect();
    (0..3).for_each(|index| world.kill(index));
    world.run(Duration::from_millis(100));
    others.iter().for_each(|index| world.start(*index, false));
    world.run(Duration::from_millis(1100));
    assert_eq!(world.leader(), None, "the leader of before may have a lease");
    world.run(Duration::from_millis(3000));
    assert!(world.leader().is_some());
}
