//! A few processes' agreements over fakes: a clock, disks, connections.

pub mod checks;
pub mod disk;
pub mod operator;
pub mod point;

use checks::Checks;
use disk::{Disk, Handle};
use entry::agreement::{Agreement, Environment, Input, Setup, View, has_joined, may_route};
use fleet::command::{Join, Release};
use fleet::{Command, Fleet};
use point::{Control, Fault, Plan, Step};
use quorum::{Id, Index, Node};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, RwLock};
use std::time::{Duration, SystemTime};
use store::Store;
use wire::Frame;
use wire::proof::Identity;

/// Few, so that a run passes several snapshots.
const COMPACT_ENTRIES: u64 = 6;
const TICK_MS: u64 = 50;
const STEP_MS: u64 = 5;
/// Silence after which a connection ends, as in the process.
const SILENCE_MS: u64 = 2000;
const DOWN_MS: u64 = 1000;
const CUT_MS: u64 = 8000;
const FREEZE_MS: u64 = 60_000;
const DELAY_MS: u64 = 1500;
const DISTURBED_MS: u64 = 3000;
/// Time between two proposals of one kind by one process.
const ASK_MS: u64 = 300;

/// Name, data centre and whether there is a disk.
pub const SITES: [(&str, &str, bool); 4] =
    [("a", "north", true), ("b", "south", true), ("c", "west", true), ("d", "north", false)];

pub struct FakeEnvironment {
    clock: Arc<AtomicU64>,
    control: Arc<Control>,
    outbox: Mutex<Vec<(Id, Frame)>>,
    peers: Mutex<Vec<Identity>>,
    view: Mutex<Option<View>>,
}

impl Environment for FakeEnvironment {
    fn now(&self) -> Duration {
        Duration::from_millis(self.clock.load(Ordering::Acquire))
    }

    fn wall(&self) -> SystemTime {
        SystemTime::UNIX_EPOCH + self.now()
    }

    fn send(&self, to: &Id, frame: Frame) {
        self.control.pass(Step::Send);
        if !self.control.is_dead() {
            self.outbox.lock().unwrap().push((to.clone(), frame));
            self.control.pass(Step::Sent);
        }
    }

    fn peers(&self) -> Vec<Identity> {
        self.peers.lock().unwrap().clone()
    }

    fn changed(&self) {
        self.control.pass(Step::Applied);
    }

    fn in_force(&self, _entry: &str, _index: Index) {}

    fn publish(&self, view: View) {
        *self.view.lock().unwrap() = Some(view);
    }

    fn count(&self, _name: &'static str) {}
}

/// One life of a process.
pub struct Life {
    pub agreement: Agreement,
    pub identity: Identity,
    pub fleet: Arc<RwLock<Fleet>>,
    environment: Arc<FakeEnvironment>,
    asked: u64,
}

impl Life {
    pub fn has_lease(&self) -> bool {
        self.agreement.node().has_lease(self.environment.now())
    }

    pub fn is_dead(&self) -> bool {
        self.environment.control.is_dead()
    }

    pub fn routes(&self) -> bool {
        may_route(&self.fleet.read().unwrap(), &self.identity)
    }

    fn id(&self) -> Id {
        Id::new(self.identity.name.clone(), self.identity.incarnation)
    }
}

/// One machine: its disk outlives its processes.
pub struct Site {
    pub name: &'static str,
    pub data_centre: &'static str,
    durable: bool,
    disk: Arc<Mutex<Disk>>,
    pub life: Option<Life>,
    pub frozen_until: u64,
    restart_at: u64,
    disturbed: Option<(Fault, u64)>,
    /// When an operator restarts the process because its disk has failed.
    repair_at: Option<u64>,
    waiting: Vec<Input>,
}

struct Flight {
    due: u64,
    order: u64,
    from: Id,
    to: Id,
    frame: Frame,
}

/// Processes, what is under way between them, and the time.
pub struct World {
    pub rng: StdRng,
    pub clock: Arc<AtomicU64>,
    pub sites: Vec<Site>,
    pub plan: Arc<Plan>,
    pub checks: Checks,
    flights: Vec<Flight>,
    links: BTreeMap<(usize, usize), u64>,
    sent: u64,
}

impl World {
    pub fn new(seed: u64) -> World {
        let site = |(name, data_centre, durable): (&'static str, &'static str, bool)| Site {
            name,
            data_centre,
            durable,
            disk: Arc::default(),
            life: None,
            frozen_until: 0,
            restart_at: 0,
            disturbed: None,
            repair_at: None,
            waiting: Vec::new(),
        };
        World {
            rng: StdRng::seed_from_u64(seed),
            clock: Arc::default(),
            sites: SITES.map(site).into_iter().collect(),
            plan: Arc::default(),
            checks: Checks::default(),
            flights: Vec::new(),
            links: BTreeMap::new(),
            sent: 0,
        }
    }

    pub fn now(&self) -> u64 {
        self.clock.load(Ordering::Acquire)
    }

    /// Lets time pass, one step.
    pub fn step(&mut self) {
        let now = self.clock.fetch_add(STEP_MS, Ordering::AcqRel) + STEP_MS;
        for site in 0..self.sites.len() {
            if self.sites[site].life.is_none() && now >= self.sites[site].restart_at {
                self.start(site);
            }
        }
        self.connect();
        self.deliver();
        if now.is_multiple_of(TICK_MS) {
            self.tick();
        }
        self.collect();
        self.carry_out();
        self.checks.observe(now, &self.sites);
    }

    pub fn run_until(&mut self, what: &str, longest_ms: u64, done: impl Fn(&World) -> bool) {
        let end = self.now() + longest_ms;
        while !done(self) {
            assert!(self.now() < end, "gave up waiting until {what}:{}", self.describe());
            self.step();
        }
    }

    /// What each process is at, for a failed check.
    fn describe(&self) -> String {
        let mut text = String::new();
        for (number, site) in self.sites.iter().enumerate() {
            let awake = self.is_awake(number);
            text += &format!("\n  {} awake {awake}, {:?}", site.name, site.disturbed);
            let Some(life) = &site.life else { continue };
            let node = life.agreement.node();
            let (role, term, commit) = (node.role(), node.term(), node.commit_index());
            let (last, voters) = (node.last_index(), node.membership().voters);
            let applied = life.fleet.read().unwrap().applied();
            text += &format!(", {} {role:?} of term {term}, commit {commit}", life.id());
            text += &format!(", last {last}, applied {applied}, voters {voters:?}");
        }
        text
    }

    /// Incarnations by name, as an operator reads them.
    pub fn incarnations(&self) -> BTreeMap<&'static str, u64> {
        let lives = self.sites.iter().filter(|site| site.durable);
        lives
            .filter_map(|site| Some((site.name, site.life.as_ref()?.identity.incarnation)))
            .collect()
    }

    /// Voters that the leader with a lease has agreed on.
    pub fn voters(&self) -> Vec<Id> {
        let mut lives = self.sites.iter().filter_map(|site| site.life.as_ref());
        let leader = lives.find(|life| life.has_lease());
        let settled = leader
            .map(|life| life.agreement.node())
            .filter(|node| node.commit_index() == node.last_index());
        settled.map_or(Vec::new(), |node| node.membership().voters.into_iter().collect())
    }

    pub fn is_awake(&self, site: usize) -> bool {
        self.sites[site].life.is_some() && self.now() >= self.sites[site].frozen_until
    }

    /// Ends a process; unsynced bytes are lost but for the first `kept`.
    pub fn kill(&mut self, site: usize, kept: usize) {
        let now = self.now();
        let site = &mut self.sites[site];
        site.life = None;
        site.waiting.clear();
        site.frozen_until = 0;
        site.restart_at = now + DOWN_MS;
        site.disk.lock().unwrap().crash(kept);
    }

    /// Replaces a disk by an empty one.
    pub fn lose_disk(&mut self, site: usize) {
        *self.sites[site].disk.lock().unwrap() = Disk::default();
        self.checks.forget(self.sites[site].name);
    }

    /// Lets a fault strike a process now.
    pub fn strike(&mut self, site: usize, fault: Fault) {
        let now = self.now();
        match fault {
            Fault::Kill => self.kill(site, 0),
            Fault::KillTorn => {
                let unsynced = self.sites[site].disk.lock().unwrap().unsynced();
                let kept = self.rng.random_range(0..=unsynced);
                self.kill(site, kept);
            }
            Fault::KillLoseDisk => {
                self.kill(site, 0);
                self.lose_disk(site);
            }
            Fault::Freeze => self.sites[site].frozen_until = now + FREEZE_MS,
            Fault::CutBoth | Fault::CutOut | Fault::CutIn => {
                self.sites[site].disturbed = Some((fault, now + CUT_MS));
            }
            Fault::Delay | Fault::Double | Fault::Reorder => {
                self.sites[site].disturbed = Some((fault, now + DISTURBED_MS));
            }
            Fault::DiskFull | Fault::SyncFails => {
                self.sites[site].repair_at = Some(now + DISTURBED_MS);
            }
        }
    }

    fn start(&mut self, number: usize) {
        let seed = self.rng.random();
        let process_incarnation: u64 = self.rng.random();
        let site = &self.sites[number];
        let control =
            Arc::new(Control { site: number, plan: self.plan.clone(), dead: Default::default() });
        let (store, incarnation, state) = if site.durable {
            let handle = Handle { disk: site.disk.clone(), control: control.clone() };
            match Store::open(Box::new(handle)) {
                Ok((store, recovered)) => (Some(store), recovered.incarnation, recovered.state),
                Err(store::Error::Damaged { file, offset, reason }) => {
                    panic!("{}: {file} is damaged at {offset}: {reason}", site.name)
                }
                Err(_) => {
                    self.kill(number, 0); // a fault struck while it started
                    return;
                }
            }
        } else {
            (None, process_incarnation, quorum::State::default())
        };
        let identity = Identity {
            cluster: "test".to_string(),
            name: site.name.to_string(),
            data_centre: site.data_centre.to_string(),
            incarnation,
            process_incarnation,
            durable: site.durable,
        };
        let environment = Arc::new(FakeEnvironment {
            clock: self.clock.clone(),
            control,
            outbox: Mutex::default(),
            peers: Mutex::default(),
            view: Mutex::default(),
        });
        let fleet: Arc<RwLock<Fleet>> = Arc::default();
        let founders = SITES.iter().filter(|site| site.2).map(|site| site.0.to_string()).collect();
        let data = state.snapshot.data.clone();
        let id = Id::new(site.name, incarnation);
        let mut node = Node::restore(id, site.durable, Default::default(), seed, state);
        node.tick(environment.now());
        let setup = Setup {
            environment: environment.clone(),
            identity: identity.clone(),
            founders,
            fleet: fleet.clone(),
            compact_entries: COMPACT_ENTRIES,
        };
        let agreement = Agreement::new(setup, node, store, &data);
        self.sites[number].life = Some(Life { agreement, identity, fleet, environment, asked: 0 });
        self.checks.restarted(&self.sites[number]);
    }

    /// Makes and ends connections.
    fn connect(&mut self) {
        for a in 0..self.sites.len() {
            for b in a + 1..self.sites.len() {
                let both = self.sites[a].life.is_some() && self.sites[b].life.is_some();
                let open = both && !self.is_cut(a) && !self.is_cut(b);
                let awake = self.is_awake(a) && self.is_awake(b);
                let now = self.now();
                match self.links.get(&(a, b)).copied() {
                    None if open && awake => self.link(a, b),
                    Some(_) if open && awake => {
                        self.links.insert((a, b), now);
                    }
                    Some(seen) if !both || now >= seen + SILENCE_MS => self.unlink(a, b),
                    _ => {}
                }
            }
        }
    }

    fn is_cut(&self, site: usize) -> bool {
        let disturbed = self.sites[site].disturbed;
        matches!(disturbed, Some((Fault::CutBoth | Fault::CutIn | Fault::CutOut, _)))
    }

    fn link(&mut self, a: usize, b: usize) {
        let now = self.now();
        self.links.insert((a, b), now);
        for (from, to) in [(a, b), (b, a)] {
            let identity = self.sites[from].life.as_ref().unwrap().identity.clone();
            let life = self.sites[to].life.as_mut().unwrap();
            life.environment.peers.lock().unwrap().push(identity.clone());
            life.agreement.input(Input::Up(identity));
        }
    }

    fn unlink(&mut self, a: usize, b: usize) {
        self.links.remove(&(a, b));
        for (gone, left) in [(a, b), (b, a)] {
            let name = self.sites[gone].name;
            let awake = self.is_awake(left);
            let site = &mut self.sites[left];
            let Some(life) = &mut site.life else { continue };
            let mut peers = life.environment.peers.lock().unwrap();
            let Some(at) = peers.iter().position(|peer| peer.name == name) else { continue };
            let peer = peers.remove(at);
            drop(peers);
            let down = Input::Down(Id::new(peer.name, peer.incarnation));
            if awake { life.agreement.input(down) } else { site.waiting.push(down) }
        }
    }

    fn deliver(&mut self) {
        let now = self.now();
        let mut due: Vec<Flight> = Vec::new();
        let mut later = Vec::new();
        for flight in self.flights.drain(..) {
            if flight.due <= now { due.push(flight) } else { later.push(flight) }
        }
        self.flights = later;
        due.sort_by_key(|flight| (flight.due, flight.order));
        for flight in due {
            let to = self
                .sites
                .iter()
                .position(|site| site.life.as_ref().is_some_and(|life| life.id() == flight.to));
            let Some(to) = to else { continue };
            if matches!(self.sites[to].disturbed, Some((Fault::CutBoth | Fault::CutIn, _))) {
                continue;
            }
            let awake = self.is_awake(to);
            let input = Input::Frame(flight.from, flight.frame);
            let site = &mut self.sites[to];
            if awake {
                site.life.as_mut().unwrap().agreement.input(input);
            } else {
                site.waiting.push(input);
            }
        }
    }

    fn tick(&mut self) {
        let now = self.now();
        for number in 0..self.sites.len() {
            if !self.is_awake(number) {
                continue;
            }
            let site = &mut self.sites[number];
            let life = site.life.as_mut().unwrap();
            for input in site.waiting.drain(..) {
                life.agreement.input(input);
            }
            if now >= life.asked + ASK_MS {
                life.asked = now;
                for command in wishes(life) {
                    let (reply, _) = async_std::channel::bounded(1);
                    life.agreement.input(Input::Propose(command, reply));
                }
            }
            life.agreement.tick();
        }
    }

    /// Puts what processes sent under way.
    fn collect(&mut self) {
        let now = self.now();
        for number in 0..self.sites.len() {
            if !self.is_awake(number) {
                continue;
            }
            let life = self.sites[number].life.as_ref().unwrap();
            let from = life.id();
            let sent: Vec<(Id, Frame)> =
                life.environment.outbox.lock().unwrap().drain(..).collect();
            for (to, frame) in sent {
                self.checks.sent(&from, &to, &frame);
                self.put_under_way(number, now, from.clone(), to, frame);
            }
        }
    }

    fn put_under_way(&mut self, site: usize, now: u64, from: Id, to: Id, frame: Frame) {
        let fault = self.sites[site].disturbed.map(|(fault, _)| fault);
        if matches!(fault, Some(Fault::CutBoth | Fault::CutOut)) {
            return;
        }
        let delay = match fault {
            Some(Fault::Delay) => DELAY_MS,
            Some(Fault::Reorder) => self.rng.random_range(0..200),
            _ => 1,
        };
        let copies = if fault == Some(Fault::Double) { 2 } else { 1 };
        for copy in 0..copies {
            self.sent += 1;
            let due = now + delay + copy * 40;
            let (from, to, frame) = (from.clone(), to.clone(), frame.clone());
            self.flights.push(Flight { due, order: self.sent, from, to, frame });
        }
    }

    /// Carries out the faults that struck, and ends those that are over.
    fn carry_out(&mut self) {
        let struck: Vec<_> = self.plan.struck.lock().unwrap().drain(..).collect();
        for (site, fault) in struck {
            self.strike(site, fault);
        }
        let now = self.now();
        for number in 0..self.sites.len() {
            let site = &mut self.sites[number];
            if site.disturbed.is_some_and(|(_, end)| now >= end) {
                site.disturbed = None;
            }
            if site.repair_at.is_some_and(|at| now >= at) {
                site.repair_at = None;
                self.kill(number, 0);
            }
        }
    }
}

/// What a process's background tasks would propose now.
fn wishes(life: &Life) -> Vec<Command> {
    let fleet = life.fleet.read().unwrap();
    let name = &life.identity.name;
    let at = SystemTime::UNIX_EPOCH;
    let incarnation = life.identity.process_incarnation;
    if !has_joined(&fleet, &life.identity) {
        let data_centre = life.identity.data_centre.clone();
        let data_folder_id = life.identity.durable.then_some(life.identity.incarnation);
        let join = Join { entry: name.clone(), data_centre, incarnation, data_folder_id, at };
        return vec![Command::Join(join)];
    }
    let mut wishes = Vec::new();
    for (instance, placement) in fleet.placements() {
        let Some(step) = &placement.pending_move else { continue };
        if fleet.missing_releases(instance).contains(name) {
            let (entry, instance, start_index) = (name.clone(), instance.clone(), step.start_index);
            wishes.push(Command::Release(Release {
                entry,
                incarnation,
                instance,
                start_index,
                at,
            }));
        }
    }
    wishes
}
