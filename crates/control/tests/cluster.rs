//! Random faults of three cores. Acknowledged jobs and configurations must not be lost,
//! and a read must never return a configuration older than the last acknowledged one.

mod world;

use async_std::channel::Receiver;
use jobs::definition::{Definition, Resources, Step};
use jobs::{Config, Incarnation, Pool, Queue};
use mesh::request::Location;
use mesh::{LeaderRequest, ProcessInfo, Reply};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use sched::{Fence, Report};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;
use world::{CORES, World};

/// Default number of schedules, which CI runs. `CLUSTER_SCHEDULES` overrides it, and
/// `CLUSTER_FROM` sets the first seed.
const SCHEDULES: u64 = 500;
/// The same for schedules of six cores.
const SCHEDULES_OF_SIX: u64 = 60;
const STEPS_PER_SCHEDULE: usize = 60;
/// Time after the start of a replacement by which the cluster has to survive the loss of
/// another instance.
const CATCH_UP_TIME: Duration = Duration::from_secs(4);
/// Time within which the remaining cores have to elect a leader and serve requests again.
const RECOVERY_TIME: Duration = Duration::from_secs(12);

fn config(version: u64) -> Config {
    let mut config = Config { version, ..Config::default() };
    let queue = Queue {
        host: "h".to_string(),
        prefix: "/q/".to_string(),
        pool: "p".to_string(),
        timeout: Duration::from_secs(3),
        ..Queue::default()
    };
    config.queues.insert("q".to_string(), queue);
    config.pools.insert("p".to_string(), Pool::default());
    config.document = version.to_string().into_bytes();
    config
}

fn location(id: u64) -> Location {
    Location { host: "h".to_string(), path: format!("/q/{id:016x}"), key: None }
}

fn submit(id: u64) -> LeaderRequest {
    let resources = Resources { cpu_milli: 100, ..Resources::default() };
    let steps = vec![Step { count: 1, resources, ..Step::default() }];
    LeaderRequest::Submit {
        location: location(id),
        definition: Box::new(Definition { steps, ..Definition::default() }),
    }
}

/// Requests without a reply yet, and what was acknowledged or refused.
#[derive(Default)]
struct History {
    jobs: Vec<(u64, Receiver<Reply>)>,
    configs: Vec<(u64, Receiver<Reply>)>,
    reads: Vec<(u64, Receiver<Reply>)>,
    acked_jobs: Vec<u64>,
    refused_jobs: Vec<u64>,
    acked_version: u64,
}

impl History {
    /// Records the replies that have arrived.
    fn collect_replies(&mut self) {
        self.jobs.retain(|(id, reply)| match reply.try_recv() {
            Ok(Reply::Done) => {
                self.acked_jobs.push(*id);
                false
            }
            Ok(Reply::NotTaken(_) | Reply::NoQueue) => {
                self.refused_jobs.push(*id);
                false
            }
            Ok(_) => false,
            Err(error) => error.is_empty(),
        });
        self.configs.retain(|(version, reply)| match reply.try_recv() {
            Ok(Reply::Done) => {
                self.acked_version = self.acked_version.max(*version);
                false
            }
            Ok(_) => false,
            Err(error) => error.is_empty(),
        });
        self.reads.retain(|(min_version, reply)| match reply.try_recv() {
            Ok(Reply::Config(document)) => {
                let version: u64 = String::from_utf8(document).unwrap().parse().unwrap();
                assert!(
                    version >= *min_version,
                    "read {version} after {min_version} was acknowledged"
                );
                false
            }
            Ok(_) => false,
            Err(error) => error.is_empty(),
        });
    }
}

/// Loss of data, of which only one may happen until all cores have caught up.
#[derive(Clone, Copy, PartialEq)]
enum Loss {
    Disk,
    Instance,
}

/// Injects a random fault or heals all. At most one disk or instance is lost until all
/// cores have caught up; any number of cores may crash, lose power, freeze or lose links.
fn inject_fault(world: &mut World, rng: &mut StdRng, lost: &mut Option<Loss>) {
    let cores = world.cores.len();
    let index = rng.random_range(0..cores);
    let leader = world.leader().unwrap_or(index);
    match rng.random_range(0..12) {
        0 => world.kill(leader),
        1 => {
            world.kill(index);
            world.disks[index].lose_power();
        }
        2 => {
            for index in 0..cores {
                world.kill(index);
                world.disks[index].lose_power();
            }
        }
        3 if lost.is_none() => {
            *lost = Some(Loss::Disk);
            world.kill(index);
            world.disks[index].wipe();
        }
        11 if lost.is_none() => {
            *lost = Some(Loss::Instance);
            world.replace(index);
        }
        4 => world.frozen[leader] = true,
        5 => world.frozen[index] = !world.frozen[index],
        6 => world.set_link(index, (index + 1) % cores, false),
        7 => {
            for other in (1..cores).filter(|other| *other <= 2 || other % 2 == 1) {
                world.set_link(leader, (leader + other) % cores, false);
            }
        }
        8 => world.disks[index].fill(true),
        9 => {
            for index in 0..cores {
                if world.cores[index].is_none() {
                    world.start(index, false);
                }
            }
        }
        _ => {
            world.heal();
            if *lost == Some(Loss::Instance) {
                world.run(CATCH_UP_TIME); // the lost instance is still a voter
            }
            *lost = None;
        }
    }
}

/// Runs one schedule of requests and faults and checks what the cluster holds at its end.
fn run_schedule(seed: u64, cores: usize) {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut world = World::with_cores(seed, cores);
    let mut history = History::default();
    world.run(Duration::from_secs(3));
    let reply = world.request(0, LeaderRequest::Configure(Box::new(config(1))));
    history.configs.push((1, reply));
    let mut lost = None;
    let (mut job, mut version, mut workers) = (1, 1, 0);
    for _ in 0..STEPS_PER_SCHEDULE {
        match rng.random_range(0..10) {
            0..=3 => {
                job += 1;
                let reply = world.request(rng.random_range(0..cores), submit(job));
                history.jobs.push((job, reply));
            }
            4..=5 => {
                version += rng.random_range(1..4);
                let request = LeaderRequest::Configure(Box::new(config(version)));
                let reply = world.request(rng.random_range(0..cores), request);
                history.configs.push((version, reply));
            }
            6..=7 => {
                let reply = world.request(rng.random_range(0..cores), LeaderRequest::Config);
                history.reads.push((history.acked_version, reply));
            }
            _ => inject_fault(&mut world, &mut rng, &mut lost),
        }
        workers += 1;
        world.report(rng.random_range(0..cores), report(workers));
        world.run(Duration::from_millis(rng.random_range(10..900)));
        history.collect_replies();
    }
    world.heal();
    history.collect_replies();
    let leader = world.leader().unwrap();
    world.report(leader, report(workers + 1));
    world.run(Duration::from_millis(100));
    check_fences(seed, &world);
    let reply = world.request(leader, LeaderRequest::Config);
    world.run(Duration::from_millis(100));
    match reply.try_recv() {
        Ok(Reply::Config(document)) => {
            let read: u64 = String::from_utf8(document).unwrap().parse().unwrap();
            assert!(
                read >= history.acked_version,
                "seed {seed}: {read} after {}",
                history.acked_version
            );
        }
        reply => assert_eq!(history.acked_version, 0, "seed {seed}: {reply:?}"),
    }
    let ledger = world.cores[leader].as_ref().unwrap().ledger();
    for id in &history.acked_jobs {
        assert!(
            ledger.job_number(&format!("{id:016x}")).is_some(),
            "seed {seed}: job {id} is lost"
        );
    }
    for id in &history.refused_jobs {
        let known = ledger.job_number(&format!("{id:016x}")).is_some();
        assert!(!known, "seed {seed}: job {id} was refused and is known");
    }
}

/// Report of a new worker, which the leader polls at once.
fn report(number: u64) -> Report {
    Report {
        incarnation: Incarnation::new(format!("w{number}"), 1),
        instance: format!("m{number}"),
        address: SocketAddr::from(([10, 1, 0, 1], 1 + number as u16)),
        pool: "p".to_string(),
        data_centre: "north".to_string(),
        labels: Vec::new(),
        capacity: Resources::default(),
        draining: false,
        remaining: None,
        number: 1,
    }
}

/// Checks that each fence is used by one incarnation of one core, and that no core sends
/// orders with a fence lower than one used before.
fn check_fences(seed: u64, world: &World) {
    let orders = world.orders();
    let mut holders: BTreeMap<Fence, ProcessInfo> = BTreeMap::new();
    let mut highest = 0;
    for (fence, sender) in orders {
        let holder = holders.entry(fence).or_insert_with(|| sender.clone());
        assert_eq!(*holder, sender, "seed {seed}: two cores use fence {fence}");
        assert!(fence >= highest, "seed {seed}: fence {fence} is used after {highest}");
        highest = highest.max(fence);
    }
    assert!(highest > 0, "seed {seed}: no order was sent");
}

#[test]
fn the_cluster_survives_the_next_loss_after_an_instance_was_replaced() {
    for seed in 0..60 {
        let mut world = World::new(seed);
        world.run(Duration::from_secs(3));
        let ack = world.request(0, LeaderRequest::Configure(Box::new(config(1))));
        world.run(Duration::from_secs(1));
        assert_eq!(ack.try_recv(), Ok(Reply::Done), "seed {seed}");
        let (replaced, lost) = (seed as usize % CORES, seed as usize / CORES % CORES);
        world.replace(replaced);
        world.run(Duration::from_secs(1));
        world.start(replaced, false);
        world.run(CATCH_UP_TIME);
        if seed >= 30 {
            // The leader changes once more before the loss.
            world.kill(world.leader().unwrap());
            world.run(Duration::from_secs(2));
            (0..CORES).for_each(|index| {
                if world.cores[index].is_none() {
                    world.start(index, false);
                }
            });
            world.run(CATCH_UP_TIME);
        }
        world.kill(lost);
        world.disks[lost].wipe();
        world.run(RECOVERY_TIME);
        let leader = world.leader();
        assert!(leader.is_some(), "seed {seed}: no leader after {replaced} and {lost}");
        let read = world.request(leader.unwrap(), LeaderRequest::Config);
        world.run(Duration::from_millis(100));
        assert_eq!(read.try_recv(), Ok(Reply::Config(b"1".to_vec())), "seed {seed}");
    }
}

#[test]
fn acknowledged_writes_survive_random_faults() {
    let number = |name: &str| std::env::var(name).ok().and_then(|text| text.parse().ok());
    let from = number("CLUSTER_FROM").unwrap_or(0);
    for seed in from..from + number("CLUSTER_SCHEDULES").unwrap_or(SCHEDULES) {
        run_schedule(seed, CORES);
    }
}

#[test]
fn acknowledged_writes_survive_random_faults_of_six_cores() {
    let number = |name: &str| std::env::var(name).ok().and_then(|text| text.parse().ok());
    let from = number("CLUSTER_FROM").unwrap_or(0);
    for seed in from..from + number("CLUSTER_SCHEDULES").unwrap_or(SCHEDULES_OF_SIX) {
        run_schedule(seed, 6);
    }
}

/// Returns the voters that the leader knows.
fn voter_count(world: &World) -> usize {
    let leader = world.cores[world.leader().unwrap()].as_ref().unwrap();
    leader.node().membership().voters.len()
}

#[test]
fn one_half_of_the_cores_goes_on_when_they_are_cut_in_two() {
    for (cores, seed) in [(6, 0), (6, 1), (8, 2), (8, 3), (8, 4), (8, 5)] {
        let mut world = World::with_cores(seed, cores);
        world.run(Duration::from_secs(5));
        let ack = world.request(0, LeaderRequest::Configure(Box::new(config(1))));
        world.run(Duration::from_secs(1));
        assert_eq!(ack.try_recv(), Ok(Reply::Done), "seed {seed}");
        assert_eq!(voter_count(&world), cores - 1, "seed {seed}");
        // Halves that have neighbours of the leader on its side, or none, by the seed.
        let leader = world.leader().unwrap();
        let side = |core: usize| {
            (core + cores - leader) % cores < cores / 2 || seed % 2 == 1 && core.is_multiple_of(2)
        };
        let mut sides: Vec<usize> = (0..cores).filter(|core| side(*core)).collect();
        sides.truncate(cores / 2);
        for a in 0..cores {
            for b in (0..cores).filter(|b| sides.contains(&a) != sides.contains(b)) {
                world.set_link(a, b, false);
            }
        }
        world.run(Duration::from_secs(4));
        let leaders: Vec<usize> = (0..cores)
            .filter(|core| world.cores[*core].as_ref().unwrap().is_active_leader())
            .collect();
        assert_eq!(leaders.len(), 1, "seed {seed}: one half has a leader");
        let ack = world.request(leaders[0], submit(1));
        world.run(Duration::from_millis(500));
        assert_eq!(ack.try_recv(), Ok(Reply::Done), "seed {seed}");
        world.heal();
        world.run(Duration::from_secs(5));
        let leader = world.leader().unwrap();
        let known =
            world.cores[leader].as_ref().unwrap().ledger().job_number(&format!("{:016x}", 1));
        assert!(known.is_some(), "seed {seed}: the job is kept");
        assert_eq!(voter_count(&world) % 2, 1, "seed {seed}");
    }
}

#[test]
fn the_learner_takes_the_place_of_a_voter_that_is_lost() {
    for seed in 0..6 {
        let mut world = World::with_cores(seed, 6);
        world.run(Duration::from_secs(5));
        let ack = world.request(0, LeaderRequest::Configure(Box::new(config(1))));
        world.run(Duration::from_secs(1));
        assert_eq!(ack.try_recv(), Ok(Reply::Done), "seed {seed}");
        // Two voters are lost, and two more once the learner has had time to take a place.
        let lost: Vec<usize> = (0..4).map(|step| (seed as usize + step) % 6).collect();
        for pair in lost.chunks(2) {
            for core in pair {
                world.kill(*core);
                world.disks[*core].wipe();
            }
            world.run(Duration::from_secs(8));
            assert!(world.leader().is_some(), "seed {seed}: {pair:?} of {lost:?}");
            for core in pair {
                world.start(*core, false);
            }
            world.run(CATCH_UP_TIME);
        }
        let leader = world.leader().unwrap();
        let read = world.request(leader, LeaderRequest::Config);
        world.run(Duration::from_millis(100));
        assert_eq!(read.try_recv(), Ok(Reply::Config(b"1".to_vec())), "seed {seed}");
        world.run(Duration::from_secs(5));
        assert_eq!(voter_count(&world), 5, "seed {seed}");
    }
}

#[test]
fn no_core_sends_the_orders_for_a_whole_large_fleet() {
    let mut world = World::new(1);
    world.heal();
    let leader = world.leader().unwrap();
    for number in 0..200 {
        world.report(leader, report(number));
    }
    world.run(Duration::from_secs(2));
    let mut sent: BTreeMap<String, usize> = BTreeMap::new();
    for (_, sender) in world.orders() {
        *sent.entry(sender.name).or_default() += 1;
    }
    let total: usize = sent.values().sum();
    assert!(total >= 200, "each worker is polled: {sent:?}");
    assert!(sent.values().all(|count| count * 3 <= total * 2), "{sent:?}");
}

#[test]
fn statuses_are_sent_again_while_nothing_changes() {
    let mut world = World::new(7);
    world.heal();
    world.run(Duration::from_secs(2));
    let before = world.statuses_sent(0);
    world.run(Duration::from_secs(12));
    let sent = world.statuses_sent(0) - before;
    assert!((2..=8).contains(&sent), "{sent} statuses of two cores in 12 s");
}

#[test]
fn a_core_with_an_empty_disk_is_sent_the_log_once() {
    const JOBS: u64 = 3000;
    let mut world = World::new(1);
    world.heal();
    let leader = world.leader().unwrap();
    let mut replies = vec![world.request(leader, LeaderRequest::Configure(Box::new(config(1))))];
    world.run(Duration::from_secs(1));
    for id in 0..JOBS {
        replies.push(world.request(leader, submit(id)));
    }
    world.run(Duration::from_secs(2));
    let wiped = (leader + 1) % CORES;
    world.kill(wiped);
    world.disks[wiped].wipe();
    world.run(Duration::from_secs(1));
    let before = world.entries_sent(wiped);
    world.start(wiped, false);
    for id in JOBS..JOBS + 200 {
        replies.push(world.request(leader, submit(id)));
        world.run(world::TICK);
    }
    world.run(Duration::from_secs(2));
    let last = world.cores[leader].as_ref().unwrap().node().last_index();
    let core = world.cores[wiped].as_ref().unwrap();
    assert_eq!(core.node().commit_index(), last, "it has caught up");
    let sent = world.entries_sent(wiped) - before;
    assert!(sent as u64 <= last * 3 / 2, "{sent} entries were sent of a log of {last}");
}
