//! What is acknowledged stays, and is read back as new as it was acknowledged,
//! through random faults of three cores.

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

/// Schedules in CI; by hand `CLUSTER_SCHEDULES` plays more, from seed
/// `CLUSTER_FROM` on.
const SCHEDULES: u64 = 500;
const STEPS: usize = 60;
/// Time after the start of a successor from which the loss of another machine must
/// be borne.
const CATCH_UP: Duration = Duration::from_secs(4);
/// Time in which the rest has to serve again.
const RECOVERY: Duration = Duration::from_secs(12);

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
    Location { host: "h".to_string(), path: format!("/q/{id:016x}") }
}

fn submit(id: u64) -> LeaderRequest {
    let resources = Resources { cpu_milli: 100, ..Resources::default() };
    let steps = vec![Step { count: 1, resources, ..Step::default() }];
    LeaderRequest::Submit {
        location: location(id),
        definition: Box::new(Definition { steps, ..Definition::default() }),
    }
}

/// What was asked and not answered yet, and what was acknowledged.
#[derive(Default)]
struct Log {
    jobs: Vec<(u64, Receiver<Reply>)>,
    configs: Vec<(u64, Receiver<Reply>)>,
    reads: Vec<(u64, Receiver<Reply>)>,
    acked_jobs: Vec<u64>,
    refused_jobs: Vec<u64>,
    acked_version: u64,
}

impl Log {
    fn collect(&mut self) {
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
        self.reads.retain(|(least, reply)| match reply.try_recv() {
            Ok(Reply::Config(document)) => {
                let version: u64 = String::from_utf8(document).unwrap().parse().unwrap();
                assert!(version >= *least, "read {version}, acknowledged was {least}");
                false
            }
            Ok(_) => false,
            Err(error) => error.is_empty(),
        });
    }
}

/// What can't be lost twice until all have caught up.
#[derive(Clone, Copy, PartialEq)]
enum Loss {
    Disk,
    Instance,
}

/// At most one disk or machine may be lost until all have caught up; any number of
/// cores may be killed, without power, frozen or cut off.
fn fault(world: &mut World, rng: &mut StdRng, lost: &mut Option<Loss>) {
    let index = rng.random_range(0..CORES);
    let leader = world.leader().unwrap_or(index);
    match rng.random_range(0..12) {
        0 => world.kill(leader),
        1 => {
            world.kill(index);
            world.disks[index].lose_power();
        }
        2 => {
            for index in 0..CORES {
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
        6 => world.set_link(index, (index + 1) % CORES, false),
        7 => {
            world.set_link(leader, (leader + 1) % CORES, false);
            world.set_link(leader, (leader + 2) % CORES, false);
        }
        8 => world.disks[index].fill(true),
        9 => {
            for index in 0..CORES {
                if world.cores[index].is_none() {
                    world.start(index, false);
                }
            }
        }
        _ => {
            world.heal();
            if *lost == Some(Loss::Instance) {
                world.run(CATCH_UP); // its predecessor still votes
            }
            *lost = None;
        }
    }
}

fn play(seed: u64) {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut world = World::new(seed);
    let mut log = Log::default();
    world.run(Duration::from_secs(3));
    let reply = world.request(0, LeaderRequest::Configure(Box::new(config(1))));
    log.configs.push((1, reply));
    let mut lost = None;
    let (mut job, mut version, mut workers) = (1, 1, 0);
    for _ in 0..STEPS {
        match rng.random_range(0..10) {
            0..=3 => {
                job += 1;
                let reply = world.request(rng.random_range(0..CORES), submit(job));
                log.jobs.push((job, reply));
            }
            4..=5 => {
                version += rng.random_range(1..4);
                let request = LeaderRequest::Configure(Box::new(config(version)));
                let reply = world.request(rng.random_range(0..CORES), request);
                log.configs.push((version, reply));
            }
            6..=7 => {
                let reply = world.request(rng.random_range(0..CORES), LeaderRequest::Config);
                log.reads.push((log.acked_version, reply));
            }
            _ => fault(&mut world, &mut rng, &mut lost),
        }
        workers += 1;
        world.report(rng.random_range(0..CORES), report(workers));
        world.run(Duration::from_millis(rng.random_range(10..900)));
        log.collect();
    }
    world.heal();
    log.collect();
    let leader = world.leader().unwrap();
    world.report(leader, report(workers + 1));
    world.run(Duration::from_millis(100));
    check_fences(seed, &world);
    let reply = world.request(leader, LeaderRequest::Config);
    world.run(Duration::from_millis(100));
    match reply.try_recv() {
        Ok(Reply::Config(document)) => {
            let read: u64 = String::from_utf8(document).unwrap().parse().unwrap();
            assert!(read >= log.acked_version, "seed {seed}: {read} after {}", log.acked_version);
        }
        reply => assert_eq!(log.acked_version, 0, "seed {seed}: {reply:?}"),
    }
    let ledger = world.cores[leader].as_ref().unwrap().ledger();
    for id in &log.acked_jobs {
        assert!(
            ledger.job_number(&format!("{id:016x}")).is_some(),
            "seed {seed}: job {id} is lost"
        );
    }
    for id in &log.refused_jobs {
        let known = ledger.job_number(&format!("{id:016x}")).is_some();
        assert!(!known, "seed {seed}: job {id} was refused and is known");
    }
}

/// A new worker, which the leader asks for its lists at once.
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

/// A fence belongs to one life of one core, and no leader sends anything more once
/// another has sent under a higher one.
fn check_fences(seed: u64, world: &World) {
    let orders = world.orders();
    let mut holders: BTreeMap<Fence, ProcessInfo> = BTreeMap::new();
    let mut highest = 0;
    for (fence, sender) in orders {
        let holder = holders.entry(fence).or_insert_with(|| sender.clone());
        assert_eq!(*holder, sender, "seed {seed}: two hold fence {fence}");
        assert!(fence >= highest, "seed {seed}: fence {fence} is used after {highest}");
        highest = highest.max(fence);
    }
    assert!(highest > 0, "seed {seed}: nothing was ordered");
}

#[test]
fn a_machine_that_took_anothers_place_leaves_room_for_the_next_loss() {
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
        world.run(CATCH_UP);
        if seed >= 30 {
            // The lead changes once more before the loss.
            world.kill(world.leader().unwrap());
            world.run(Duration::from_secs(2));
            (0..CORES).for_each(|index| {
                if world.cores[index].is_none() {
                    world.start(index, false);
                }
            });
            world.run(CATCH_UP);
        }
        world.kill(lost);
        world.disks[lost].wipe();
        world.run(RECOVERY);
        let leader = world.leader();
        assert!(leader.is_some(), "seed {seed}: no leader after {replaced} and {lost}");
        let read = world.request(leader.unwrap(), LeaderRequest::Config);
        world.run(Duration::from_millis(100));
        assert_eq!(read.try_recv(), Ok(Reply::Config(b"1".to_vec())), "seed {seed}");
    }
}

#[test]
fn what_is_acknowledged_stays_through_random_faults() {
    let number = |name: &str| std::env::var(name).ok().and_then(|text| text.parse().ok());
    let from = number("CLUSTER_FROM").unwrap_or(0);
    for seed in from..from + number("CLUSTER_SCHEDULES").unwrap_or(SCHEDULES) {
        play(seed);
    }
}
