//! Keys of client accounts at the leader: which calls are served while configurations change and
//! processes fail.

mod world;

use jobs::account::{Account, Accounts, Key};
use jobs::definition::{Definition, Step};
use jobs::{Config, Pool, Queue};
use mesh::request::Location;
use mesh::{LeaderRequest, Reply};
use std::time::Duration;
use world::{CORES, World};

const JOB: u64 = 1;

/// A configuration with a private queue `q`, a public queue `open`, and accounts with their keys.
fn config(version: u64, accounts: &[(&str, &str)]) -> Config {
    let mut config = Config { version, ..Config::default() };
    for (name, public) in [("q", false), ("open", true)] {
        let timeout = Duration::from_secs(3);
        let (host, prefix) = ("h".to_string(), format!("/{name}/"));
        let queue = Queue { host, prefix, pool: "p".into(), timeout, public, ..Queue::default() };
        config.queues.insert(name.to_string(), queue);
    }
    config.pools.insert("p".to_string(), Pool::default());
    let mut declared = Accounts::default();
    for (name, key) in accounts {
        declared.add(*name, Account::default(), [Key::new(*key)]).unwrap();
    }
    config.accounts = Some(declared);
    config
}

fn location(queue: &str, id: u64, key: Option<&str>) -> Location {
    let path = format!("/{queue}/{id:016x}");
    Location { host: "h".to_string(), path, key: key.map(Key::new) }
}

fn submit(queue: &str, id: u64, key: Option<&str>) -> LeaderRequest {
    let steps = vec![Step { count: 1, ..Step::default() }];
    let definition = Box::new(Definition { steps, ..Definition::default() });
    LeaderRequest::Submit { location: location(queue, id, key), definition }
}

fn state(queue: &str, id: u64, key: Option<&str>) -> LeaderRequest {
    LeaderRequest::State(location(queue, id, key))
}

/// Sends a request to a core and returns the reply that comes within half a second.
fn ask(world: &mut World, core: usize, request: LeaderRequest) -> Option<Reply> {
    let reply = world.request(core, request);
    world.run(Duration::from_millis(500));
    reply.try_recv().ok()
}

fn configure(world: &mut World, config: Config) {
    let leader = world.leader().unwrap();
    let reply = ask(world, leader, LeaderRequest::Configure(Box::new(config)));
    assert_eq!(reply, Some(Reply::Done));
}

fn world(accounts: &[(&str, &str)]) -> World {
    let mut world = World::new(1);
    world.run(Duration::from_secs(3));
    configure(&mut world, config(1, accounts));
    world
}

fn is_denied(reply: &Option<Reply>) -> bool {
    matches!(reply, Some(Reply::Unauthorized(_)))
}

#[test]
fn calls_need_a_key_of_the_account_that_owns_the_job() {
    let mut world = world(&[("a", "ka"), ("b", "kb")]);
    let leader = world.leader().unwrap();
    for key in [None, Some("kc")] {
        assert!(is_denied(&ask(&mut world, leader, submit("q", JOB, key))), "{key:?}");
    }
    assert_eq!(ask(&mut world, leader, submit("q", JOB, Some("ka"))), Some(Reply::Done));
    let cancel = |key| LeaderRequest::Cancel(location("q", JOB, key));
    assert_eq!(ask(&mut world, leader, state("q", JOB, Some("kb"))), Some(Reply::Missing));
    assert_eq!(ask(&mut world, leader, cancel(Some("kb"))), Some(Reply::Missing));
    assert!(is_denied(&ask(&mut world, leader, cancel(None))));
    let taken = ask(&mut world, leader, submit("q", JOB, Some("kb")));
    assert!(matches!(taken, Some(Reply::Invalid(_))), "{taken:?}");
    let own = ask(&mut world, leader, state("q", JOB, Some("ka")));
    assert!(matches!(own, Some(Reply::State(_))), "{own:?}");
    assert_eq!(ask(&mut world, leader, submit("open", 2, Some("kc"))), Some(Reply::Done));
    let pending = Location { path: "/q/".to_string(), ..location("q", 0, None) };
    let counted = ask(&mut world, leader, LeaderRequest::State(pending.clone()));
    assert!(matches!(counted, Some(Reply::Pending(_))), "the number concerns no job: {counted:?}");
    let wrong = Location { key: Some(Key::new("kc")), ..pending };
    assert!(is_denied(&ask(&mut world, leader, LeaderRequest::State(wrong))));
}

#[test]
fn a_key_is_rotated_without_a_refused_call() {
    let mut world = world(&[("a", "old")]);
    let leader = world.leader().unwrap();
    assert_eq!(ask(&mut world, leader, submit("q", JOB, Some("old"))), Some(Reply::Done));
    let mut both = config(2, &[]);
    let mut accounts = Accounts::default();
    accounts.add("a", Account::default(), ["old", "new"].map(Key::new)).unwrap();
    both.accounts = Some(accounts);
    configure(&mut world, both);
    for key in ["old", "new"] {
        let reply = ask(&mut world, leader, state("q", JOB, Some(key)));
        assert!(matches!(reply, Some(Reply::State(_))), "{key}: {reply:?}");
    }
    configure(&mut world, config(3, &[("a", "new")]));
    assert!(is_denied(&ask(&mut world, leader, state("q", JOB, Some("old")))));
    let reply = ask(&mut world, leader, state("q", JOB, Some("new")));
    assert!(matches!(reply, Some(Reply::State(_))), "the job outlives the key: {reply:?}");
}

#[test]
fn a_withdrawn_key_is_refused_after_restarts_and_changes_of_leader() {
    let mut world = world(&[("a", "ka"), ("b", "kb")]);
    let first = world.leader().unwrap();
    assert_eq!(ask(&mut world, first, submit("q", JOB, Some("ka"))), Some(Reply::Done));
    configure(&mut world, config(2, &[("b", "kb")]));
    // The older change arrives again, at any core.
    for core in 0..CORES {
        let old = LeaderRequest::Configure(Box::new(config(1, &[("a", "ka"), ("b", "kb")])));
        assert_eq!(ask(&mut world, core, old), Some(Reply::Done));
    }
    for round in 0..CORES {
        world.kill(round);
        world.disks[round].lose_power();
        world.run(Duration::from_secs(3));
        world.start(round, false);
        for core in 0..CORES {
            let reply = ask(&mut world, core, state("q", JOB, Some("ka")));
            let is_refused = is_denied(&reply) || matches!(reply, Some(Reply::NotTaken(_)) | None);
            assert!(is_refused, "core {core} after a restart of {round}: {reply:?}");
        }
        world.run(Duration::from_secs(3));
    }
    let leader = world.leader().unwrap();
    assert!(is_denied(&ask(&mut world, leader, submit("q", 9, Some("ka")))));
    assert_eq!(ask(&mut world, leader, submit("q", 9, Some("kb"))), Some(Reply::Done));
}

#[test]
fn a_leader_that_is_cut_off_does_not_accept_a_key_that_was_withdrawn_meanwhile() {
    let mut world = world(&[("a", "ka")]);
    let cut_off = world.leader().unwrap();
    for other in (0..CORES).filter(|other| *other != cut_off) {
        world.set_link(cut_off, other, false);
    }
    world.run(Duration::from_secs(4));
    let successor = (0..CORES).find(|core| {
        *core != cut_off && world.cores[*core].as_ref().is_some_and(|core| core.is_active_leader())
    });
    let change = LeaderRequest::Configure(Box::new(config(2, &[])));
    assert_eq!(ask(&mut world, successor.unwrap(), change), Some(Reply::Done));
    for request in [submit("q", JOB, Some("ka")), state("q", JOB, Some("ka"))] {
        let reply = ask(&mut world, cut_off, request);
        assert!(matches!(reply, Some(Reply::NotTaken(_)) | None), "{reply:?}");
    }
}
