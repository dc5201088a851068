//! The fault matrix of the agreement: every fault at every step of a scenario
//! that founds a cluster, changes records, races and moves an instance.

mod world;

use fleet::Outcome;
use quorum::Id;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use record::{Key, Kind};
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::sync::atomic::Ordering;
use world::World;
use world::operator::{Ask, instance, pool, team, voter, withdraw};
use world::point::{Fault, Step};

/// Longest fault: a freeze.
const FAULT_MS: u64 = 60_000;
/// Bound for everything to be in force once the faults are over.
const SETTLE_MS: u64 = 30_000;

/// What one run showed.
struct Run {
    steps: Vec<Step>,
}

/// The operator's submissions, one after the other; two of them race.
fn script() -> Vec<Vec<Ask>> {
    vec![
        vec![Ask::new("pools", vec![pool("p"), pool("q"), instance("p", None)])],
        vec![Ask::new("team", vec![team("t", 1, None)])],
        vec![
            Ask::new("race-one", vec![team("t", 2, Some(1))]),
            Ask::new("race-two", vec![team("t", 3, Some(1))]),
        ],
        vec![Ask::new("move", vec![instance("q", Some(1))])],
        vec![Ask::new("withdraw", vec![withdraw(Kind::Team, "t", 2)])],
        vec![Ask::new("last", vec![team("u", 1, None)])],
    ]
}

/// Drives submissions until each has an outcome.
fn drive(world: &mut World, asks: &mut [Ask], probes: &mut [Ask], faults: usize) {
    let end = world.now() + FAULT_MS * faults as u64 + SETTLE_MS;
    while asks.iter().any(|ask| ask.outcome.is_none()) {
        assert!(world.now() < end, "no outcome of {}", asks[0].submission.id);
        for ask in asks.iter_mut().chain(probes.iter_mut()) {
            ask.drive(world);
        }
        world.step();
    }
}

fn elect(world: &mut World) {
    world.run_until("a leader is elected", 20_000, |world| {
        world.sites.iter().any(|site| site.life.as_ref().is_some_and(|life| life.has_lease()))
    });
}

/// Plays the scenario with faults at the numbered steps; panics when a check
/// fails.
fn play(seed: u64, faults: &[(usize, Fault)]) -> Run {
    let mut world = World::new(seed);
    *world.plan.faults.lock().unwrap() = faults.to_vec();
    elect(&mut world);
    world.plan.counting.store(true, Ordering::Release);
    let mut probes: Vec<Ask> = Vec::new();
    for mut round in script() {
        let probe = format!("probe-{}", probes.len());
        probes.push(Ask::once(&probe, vec![team(&probe, 1, None)]));
        drive(&mut world, &mut round, &mut probes, faults.len());
        let accepted = round.iter().filter(|ask| ask.is_accepted()).count();
        assert_eq!(accepted, 1, "of {}", round[0].submission.id);
    }
    world.plan.counting.store(false, Ordering::Release);
    settle(&mut world, faults.len());
    finish(&world, &probes);
    let steps = world.plan.steps.lock().unwrap().clone();
    Run { steps }
}

/// Waits until every process has everything in force and the move has ended.
fn settle(world: &mut World, faults: usize) {
    let longest = FAULT_MS * faults as u64 + SETTLE_MS;
    world.run_until("everything is in force", longest, |world| {
        let accepted = world.checks.accepted;
        world.sites.iter().enumerate().all(|(number, site)| {
            world.is_awake(number)
                && site.life.as_ref().is_some_and(|life| {
                    let fleet = life.fleet.read().unwrap();
                    let placement = fleet.placements().get("w");
                    fleet.applied() >= accepted
                        && fleet.members().len() == world.sites.len()
                        && placement.is_some_and(|w| w.pool == "q" && w.pending_move.is_none())
                        && life.routes()
                })
        })
    });
}

fn finish(world: &World, probes: &[Ask]) {
    for site in &world.sites {
        let life = site.life.as_ref().unwrap();
        let fleet = life.fleet.read().unwrap();
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

/// Runs many cases on several threads; reports the failed ones.
fn run_all(cases: Vec<(u64, Vec<(usize, Fault)>)>) {
    let next = std::sync::atomic::AtomicUsize::new(0);
    let failed = std::sync::Mutex::new(Vec::new());
    std::thread::scope(|scope| {
        for _ in 0..std::thread::available_parallelism().map_or(4, usize::from) {
            scope.spawn(|| {
                loop {
                    let number = next.fetch_add(1, Ordering::Relaxed);
                    let Some((seed, faults)) = cases.get(number) else { return };
                    if catch_unwind(AssertUnwindSafe(|| play(*seed, faults))).is_err() {
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
        let run = play(seed, &[]);
        for step in [Step::Write, Step::Sync, Step::Synced, Step::Send, Step::Sent, Step::Applied] {
            assert!(run.steps.contains(&step), "{step:?} is never passed");
        }
    }
}

#[test]
fn every_fault_at_every_step() {
    let steps = play(1, &[]).steps.len();
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
        // Two lost disks of three are a lost majority, which no rule can mend.
        let mut lost = 0;
        faults.retain(|(_, fault)| {
            lost += usize::from(*fault == Fault::KillLoseDisk);
            *fault != Fault::KillLoseDisk || lost == 1
        });
        cases.push((seed, faults));
    }
    run_all(cases);
}

/// Loses one disk after the other; each is replaced by an operator's record, and
/// the next is lost as soon as the repair is agreed on.
#[test]
fn a_second_disk_is_lost_right_after_the_repair() {
    for seed in 0..40 {
        let mut world = World::new(seed);
        elect(&mut world);
        drive(&mut world, &mut [Ask::new("first", vec![team("t", 1, None)])], &mut [], 0);
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
            let mut replace = [Ask::new(&id, vec![voter(name, new, 1)])];
            drive(&mut world, &mut replace, &mut [], 0);
            assert!(replace[0].is_accepted(), "{:?}", replace[0].outcome);
            world.run_until("the new disk votes", SETTLE_MS, |world| {
                world.voters().contains(&Id::new(name, new)) && world.voters().len() == 3
            });
            let id = format!("after-{round}");
            drive(&mut world, &mut [Ask::new(&id, vec![team(&id, 1, None)])], &mut [], 0);
        }
        world.run_until("all have everything", SETTLE_MS, |world| {
            world.sites.iter().all(|site| {
                let life = site.life.as_ref().unwrap();
                let fleet = life.fleet.read().unwrap();
                let has = |name: &str| fleet.record(&Key::new(Kind::Team, name)).is_some();
                ["t", "after-0", "after-1", "after-2"].into_iter().all(has)
            })
        });
    }
}

/// An isolated leader says nothing current, accepts nothing, and disturbs nobody
/// when it returns; the same when it was frozen for a minute.
#[test]
fn a_leader_cut_off_or_frozen_does_no_harm() {
    for (seed, fault) in (0..20).flat_map(|seed| [(seed, Fault::CutBoth), (seed, Fault::Freeze)]) {
        let mut world = World::new(seed);
        elect(&mut world);
        let leads = |world: &World| {
            let has_lease = |site: &world::Site| site.life.as_ref().is_some_and(|l| l.has_lease());
            world.sites.iter().position(has_lease)
        };
        let old = leads(&world).unwrap();
        world.strike(old, fault);
        world.run_until("another leads", 8_000, |world| leads(world).is_some_and(|s| s != old));
        let new = leads(&world).unwrap();
        let term = world.sites[new].life.as_ref().unwrap().agreement.node().term();
        drive(&mut world, &mut [Ask::new("new", vec![team("t", 1, None)])], &mut [], 0);
        world.run_until("it returns and follows", FAULT_MS + SETTLE_MS, |world| {
            let life = world.sites[old].life.as_ref().unwrap();
            world.is_awake(old)
                && life.fleet.read().unwrap().record(&Key::new(Kind::Team, "t")).is_some()
        });
        let now = world.sites[new].life.as_ref().unwrap().agreement.node();
        assert!(
            now.is_leader() && now.term() == term,
            "seed {seed}: {fault:?} unseated the new leader"
        );
    }
}

/// One case by hand: `CASE='466 183:DiskFull 129:KillTorn' cargo test one_case`.
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
    play(seed, &faults);
}
