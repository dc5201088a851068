//! Fault matrix of the agreement: injects every fault at every step of a scenario that
//! founds a cluster, changes records, submits two racing changes and moves an instance.

mod world;

use fleet::Outcome;
use quorum::Id;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use record::{Key, Kind};
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::sync::atomic::Ordering;
use world::World;
use world::operator::{Client, instance, pool, team, voter, withdraw};
use world::point::{Fault, Step};

/// Duration of the longest fault, a freeze.
const FAULT_MS: u64 = 60_000;
/// Longest time until every entry has applied everything once the faults are over.
const SETTLE_MS: u64 = 30_000;

/// Steps counted in one run.
struct Run {
    steps: Vec<Step>,
}

/// Returns the submissions of the scenario in rounds. Those of one round are sent
/// together; of the two that race, one must be accepted.
fn scenario_rounds() -> Vec<Vec<Client>> {
    vec![
        vec![Client::new("pools", vec![pool("p"), pool("q"), instance("p", None)])],
        vec![Client::new("team", vec![team("t", 1, None)])],
        vec![
            Client::new("race-one", vec![team("t", 2, Some(1))]),
            Client::new("race-two", vec![team("t", 3, Some(1))]),
        ],
        vec![Client::new("move", vec![instance("q", Some(1))])],
        vec![Client::new("withdraw", vec![withdraw(Kind::Team, "t", 2)])],
        vec![Client::new("last", vec![team("u", 1, None)])],
    ]
}

/// Steps the world until each submission has an outcome. Probes are sent too, but not
/// waited for.
fn submit_all(world: &mut World, clients: &mut [Client], probes: &mut [Client], faults: usize) {
    let end = world.now() + FAULT_MS * faults as u64 + SETTLE_MS;
    while clients.iter().any(|client| client.outcome.is_none()) {
        assert!(world.now() < end, "no outcome of {}", clients[0].submission.id);
        for client in clients.iter_mut().chain(probes.iter_mut()) {
            client.poll(world);
        }
        world.step();
    }
}

fn elect(world: &mut World) {
    world.run_until("a leader is elected", 20_000, |world| {
        world.sites.iter().any(|site| site.process.as_ref().is_some_and(|p| p.has_lease()))
    });
}

/// Runs the scenario with faults at the numbered steps; panics if a check fails.
fn run_scenario(seed: u64, faults: &[(usize, Fault)]) -> Run {
    let mut world = World::new(seed);
    *world.plan.faults.lock().unwrap() = faults.to_vec();
    elect(&mut world);
    world.plan.counting.store(true, Ordering::Release);
    let mut probes: Vec<Client> = Vec::new();
    for mut round in scenario_rounds() {
        let probe = format!("probe-{}", probes.len());
        probes.push(Client::once(&probe, vec![team(&probe, 1, None)]));
        submit_all(&mut world, &mut round, &mut probes, faults.len());
        let accepted = round.iter().filter(|client| client.is_accepted()).count();
        assert_eq!(accepted, 1, "of {}", round[0].submission.id);
    }
    world.plan.counting.store(false, Ordering::Release);
    settle(&mut world, faults.len());
    check_outcomes(&world, &probes);
    let steps = world.plan.steps.lock().unwrap().clone();
    Run { steps }
}

/// Waits until every process runs, has applied everything that was accepted and routes,
/// and the move has ended.
fn settle(world: &mut World, faults: usize) {
    let timeout_ms = FAULT_MS * faults as u64 + SETTLE_MS;
    world.run_until("everything is applied", timeout_ms, |world| {
        let accepted = world.checks.accepted;
        world.sites.iter().enumerate().all(|(number, site)| {
            world.is_awake(number)
                && site.process.as_ref().is_some_and(|process| {
                    let fleet = process.fleet.read().unwrap();
                    let placement = fleet.placements().get("w");
                    fleet.applied() >= accepted
                        && fleet.members().len() == world.sites.len()
                        && placement.is_some_and(|w| w.pool == "q" && w.pending_move.is_none())
                        && process.routes()
                })
        })
    });
}

/// Checks in every process that accepted changes exist and those not taken don't.
fn check_outcomes(world: &World, probes: &[Client]) {
    for site in &world.sites {
        let process = site.process.as_ref().unwrap();
        let fleet = process.fleet.read().unwrap();
        let withdrawn = fleet.record(&Key::new(Kind::Team, "t")).unwrap();
        assert!(withdrawn.withdrawn && withdrawn.revision == 3, "{}: {withdrawn:?}", site.name);
        assert!(fleet.record(&Key::new(Kind::Team, "u")).is_some(), "{}", site.name);
        for probe in probes {
            let key = Key::new(Kind::Team, probe.submission.id.clone());
            let exists = fleet.record(&key).is_some();
            if probe.not_taken > 0 {
                assert!(!exists, "{}: {key} was not taken and exists", site.name);
            }
            if matches!(probe.outcome, Some(Outcome::Accepted { .. })) {
                assert!(exists, "{}: {key} was accepted and does not exist", site.name);
            }
        }
    }
}

/// Runs many cases on several threads, prints each failed one and panics at the end.
fn run_all(cases: Vec<(u64, Vec<(usize, Fault)>)>) {
    let next = std::sync::atomic::AtomicUsize::new(0);
    let failed = std::sync::Mutex::new(Vec::new());
    std::thread::scope(|scope| {
        for _ in 0..std::thread::available_parallelism().map_or(4, usize::from) {
            scope.spawn(|| {
                loop {
                    let number = next.fetch_add(1, Ordering::Relaxed);
                    let Some((seed, faults)) = cases.get(number) else { return };
                    if catch_unwind(AssertUnwindSafe(|| run_scenario(*seed, faults))).is_err() {
                        println!("failed: seed {seed}, faults {faults:?}");
                        failed.lock().unwrap().push((*seed, faults.clone()));
                    }
                }
            });
        }
    });
    let failed = failed.into_inner().unwrap();
    println!("{} cases, {} failed", cases.len(), failed.len());
    let first = &failed[..failed.len().min(10)];
    assert!(failed.is_empty(), "{} of {} failed, first {first:?}", failed.len(), cases.len());
}

#[test]
fn the_scenario_passes_without_faults() {
    for seed in 0..4 {
        let run = run_scenario(seed, &[]);
        for step in [Step::Write, Step::Sync, Step::Synced, Step::Send, Step::Sent, Step::Applied] {
            assert!(run.steps.contains(&step), "{step:?} is never passed");
        }
    }
}

#[test]
fn every_fault_at_every_step() {
    let steps = run_scenario(1, &[]).steps.len();
    let mut cases = Vec::new();
    for fault in Fault::ALL {
        for step in 1..=steps {
            cases.push((1, vec![(step, fault)]));
        }
    }
    println!("{steps} steps, {} faults", Fault::ALL.len());
    run_all(cases);
}

#[test]
fn several_faults_at_random_steps() {
    let mut cases = Vec::new();
    for seed in 100..2100 {
        let mut rng = StdRng::seed_from_u64(seed);
        let count = rng.random_range(2..=5);
        let mut faults: Vec<(usize, Fault)> = (0..count)
            .map(|_| (rng.random_range(1..900), Fault::ALL[rng.random_range(0..Fault::ALL.len())]))
            .collect();
        // Two lost disks of three are a lost majority, which can't be recovered from.
        let mut lost = 0;
        faults.retain(|(_, fault)| {
            lost += usize::from(*fault == Fault::KillLoseDisk);
            *fault != Fault::KillLoseDisk || lost == 1
        });
        cases.push((seed, faults));
    }
    run_all(cases);
}

/// Loses one disk after the other. Each is replaced by a new voter record, and the next
/// is lost as soon as the new disk votes. No accepted record may be lost.
#[test]
fn a_second_disk_is_lost_right_after_the_repair() {
    for seed in 0..40 {
        let mut world = World::new(seed);
        elect(&mut world);
        submit_all(&mut world, &mut [Client::new("first", vec![team("t", 1, None)])], &mut [], 0);
        let mut order = [0, 1, 2];
        order.sort_by_key(|site| (site + seed as usize) % 3);
        for (round, site) in order.into_iter().enumerate() {
            let name = world.sites[site].name;
            let old = world.incarnations()[name];
            world.kill(site, 0);
            world.lose_disk(site);
            world.run_until("it is back", 5_000, |world| world.incarnations().len() == 3);
            let new = world.incarnations()[name];
            assert_ne!(old, new);
            let id = format!("replace-{round}");
            let mut replace = [Client::new(&id, vec![voter(name, new, 1)])];
            submit_all(&mut world, &mut replace, &mut [], 0);
            assert!(replace[0].is_accepted(), "{:?}", replace[0].outcome);
            world.run_until("the new disk votes", SETTLE_MS, |world| {
                world.voters().contains(&Id::new(name, new)) && world.voters().len() == 3
            });
            let id = format!("after-{round}");
            submit_all(&mut world, &mut [Client::new(&id, vec![team(&id, 1, None)])], &mut [], 0);
        }
        world.run_until("all have everything", SETTLE_MS, |world| {
            world.sites.iter().all(|site| {
                let process = site.process.as_ref().unwrap();
                let fleet = process.fleet.read().unwrap();
                let has = |name: &str| fleet.record(&Key::new(Kind::Team, name)).is_some();
                ["t", "after-0", "after-1", "after-2"].into_iter().all(has)
            })
        });
    }
}

/// A leader that was isolated, or frozen for a minute, must not force an election when
/// it returns. Each step also checks that no two processes that are awake hold a lease at once.
#[test]
fn a_leader_cut_off_or_frozen_does_no_harm() {
    for (seed, fault) in (0..20).flat_map(|seed| [(seed, Fault::CutBoth), (seed, Fault::Freeze)]) {
        let mut world = World::new(seed);
        elect(&mut world);
        let leader_site = |world: &World| {
            let has_lease =
                |site: &world::Site| site.process.as_ref().is_some_and(|p| p.has_lease());
            world.sites.iter().position(has_lease)
        };
        let old = leader_site(&world).unwrap();
        world.inject(old, fault);
        world.run_until("another leads", 8_000, |world| {
            leader_site(world).is_some_and(|site| site != old)
        });
        let new = leader_site(&world).unwrap();
        let term = world.sites[new].process.as_ref().unwrap().agreement.node().term();
        submit_all(&mut world, &mut [Client::new("new", vec![team("t", 1, None)])], &mut [], 0);
        world.run_until("it returns and follows", FAULT_MS + SETTLE_MS, |world| {
            let process = world.sites[old].process.as_ref().unwrap();
            world.is_awake(old)
                && process.fleet.read().unwrap().record(&Key::new(Kind::Team, "t")).is_some()
        });
        let now = world.sites[new].process.as_ref().unwrap().agreement.node();
        assert!(
            now.is_leader() && now.term() == term,
            "seed {seed}: the new leader lost its term after {fault:?}"
        );
    }
}

/// Runs one case: `CASE='466 183:DiskFull 129:KillTorn' cargo test one_case`.
#[test]
fn one_case() {
    let Ok(case) = std::env::var("CASE") else { return };
    let mut words = case.split(' ');
    let seed = words.next().unwrap().parse().unwrap();
    let fault = |word: &str| {
        let (step, name) = word.split_once(':').unwrap();
        let fault = Fault::ALL.into_iter().find(|fault| format!("{fault:?}") == name).unwrap();
        (step.parse().unwrap(), fault)
    };
    let faults: Vec<(usize, Fault)> = words.map(fault).collect();
    run_scenario(seed, &faults);
}
