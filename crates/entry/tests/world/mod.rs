//! Simulation of the agreements of four entries over a fake clock, disks and connections.

pub mod checks;
pub mod disk;
pub mod operator;
pub mod point;

use checks::Checks;
use disk::{Disk, Handle};
use entry::agreement::{Agreement, Environment, Input, Setup, View, has_joined, may_route};
use fleet::command::{Join, Release};
use fleet::{Command, Fleet};
use point::{Fault, Injector, Plan, Step};
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

/// Log entries between two snapshots; few, so that each run takes several.
const COMPACT_ENTRIES: u64 = 6;
/// Time between two ticks of each agreement.
const TICK_MS: u64 = 50;
/// Time by which a step advances the clock.
const STEP_MS: u64 = 5;
/// Time without received data after which a connection ends, as in the process.
const IDLE_TIMEOUT_MS: u64 = 2000;
/// Time until a killed process restarts.
const DOWN_MS: u64 = 1000;
/// Duration of a network cut.
const CUT_MS: u64 = 8000;
/// Time for which a frozen process is paused.
const FREEZE_MS: u64 = 60_000;
/// Delay of frames by `Fault::Delay`.
const DELAY_MS: u64 = 1500;
/// Duration of the faults that delay, double or reorder frames, and of a disk failure.
const DISTURBANCE_MS: u64 = 3000;
/// Time between two rounds of proposals by one process.
const PROPOSAL_INTERVAL_MS: u64 = 300;

/// Name and data centre of each entry, and whether it has a disk.
pub const SITES: [(&str, &str, bool); 4] =
    [("a", "north", true), ("b", "south", true), ("c", "west", true), ("d", "north", false)];

pub struct FakeEnvironment {
    clock: Arc<AtomicU64>,
    injector: Arc<Injector>,
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
        self.injector.reach(Step::Send);
        if !self.injector.is_dead() {
            self.outbox.lock().unwrap().push((to.clone(), frame));
            self.injector.reach(Step::Sent);
        }
    }

    fn peers(&self) -> Vec<Identity> {
        self.peers.lock().unwrap().clone()
    }

    fn state_changed(&self) {
        self.injector.reach(Step::Applied);
    }

    fn record_applied(&self, _entry: &str, _index: Index) {}

    fn publish(&self, view: View) {
        *self.view.lock().unwrap() = Some(view);
    }

    fn count(&self, _name: &'static str) {}
}

/// A running entry process, reduced to its agreement.
pub struct Process {
    pub agreement: Agreement,
    pub identity: Identity,
    pub fleet: Arc<RwLock<Fleet>>,
    environment: Arc<FakeEnvironment>,
    /// When it last proposed commands, in milliseconds.
    proposed_at: u64,
}

impl Process {
    pub fn has_lease(&self) -> bool {
        self.agreement.node().has_lease(self.environment.now())
    }

    pub fn is_dead(&self) -> bool {
        self.environment.injector.is_dead()
    }

    pub fn routes(&self) -> bool {
        may_route(&self.fleet.read().unwrap(), &self.identity)
    }

    fn id(&self) -> Id {
        Id::new(self.identity.name.clone(), self.identity.incarnation)
    }
}

/// One entry: its disk, and the process if one runs. The disk outlives its processes.
pub struct Site {
    pub name: &'static str,
    pub data_centre: &'static str,
    durable: bool,
    disk: Arc<Mutex<Disk>>,
    pub process: Option<Process>,
    pub frozen_until: u64,
    restart_at: u64,
    /// Network fault in effect, and when it ends.
    network_fault: Option<(Fault, u64)>,
    /// When the process is restarted because its disk has failed.
    repair_at: Option<u64>,
    /// Inputs that arrived while the process was frozen, handled when it continues.
    waiting: Vec<Input>,
}

/// A frame on its way to a process.
struct FrameInFlight {
    due: u64,
    sequence: u64,
    from: Id,
    to: Id,
    frame: Frame,
}

/// All sites, the frames in flight between them, and the clock.
pub struct World {
    pub rng: StdRng,
    pub clock: Arc<AtomicU64>,
    pub sites: Vec<Site>,
    pub plan: Arc<Plan>,
    pub checks: Checks,
    frames_in_flight: Vec<FrameInFlight>,
    /// Open connections between pairs of sites, and when each last carried data.
    links: BTreeMap<(usize, usize), u64>,
    frames_sent: u64,
}

impl World {
    pub fn new(seed: u64) -> World {
        let site = |(name, data_centre, durable): (&'static str, &'static str, bool)| Site {
            name,
            data_centre,
            durable,
            disk: Arc::default(),
            process: None,
            frozen_until: 0,
            restart_at: 0,
            network_fault: None,
            repair_at: None,
            waiting: Vec::new(),
        };
        World {
            rng: StdRng::seed_from_u64(seed),
            clock: Arc::default(),
            sites: SITES.map(site).into_iter().collect(),
            plan: Arc::default(),
            checks: Checks::default(),
            frames_in_flight: Vec::new(),
            links: BTreeMap::new(),
            frames_sent: 0,
        }
    }

    pub fn now(&self) -> u64 {
        self.clock.load(Ordering::Acquire)
    }

    /// Advances the simulation by one step of time.
    pub fn step(&mut self) {
        let now = self.clock.fetch_add(STEP_MS, Ordering::AcqRel) + STEP_MS;
        for site in 0..self.sites.len() {
            if self.sites[site].process.is_none() && now >= self.sites[site].restart_at {
                self.start(site);
            }
        }
        self.update_links();
        self.deliver();
        if now.is_multiple_of(TICK_MS) {
            self.tick();
        }
        self.collect_sent();
        self.execute_faults();
        self.checks.check_all(now, &self.sites);
    }

    /// Steps until a condition holds; panics after `timeout_ms`.
    pub fn run_until(&mut self, what: &str, timeout_ms: u64, done: impl Fn(&World) -> bool) {
        let end = self.now() + timeout_ms;
        while !done(self) {
            assert!(self.now() < end, "timed out waiting until {what}:{}", self.describe());
            self.step();
        }
    }

    /// Describes the state of each process, for a failure message.
    fn describe(&self) -> String {
        let mut text = String::new();
        for (number, site) in self.sites.iter().enumerate() {
            let awake = self.is_awake(number);
            text += &format!("\n  {} awake {awake}, {:?}", site.name, site.network_fault);
            let Some(process) = &site.process else { continue };
            let node = process.agreement.node();
            let (role, term, commit) = (node.role(), node.term(), node.commit_index());
            let (last, voters) = (node.last_index(), node.membership().voters.clone());
            let applied = process.fleet.read().unwrap().applied();
            text += &format!(", {} {role:?} of term {term}, commit {commit}", process.id());
            text += &format!(", last {last}, applied {applied}, voters {voters:?}");
        }
        text
    }

    /// Returns the incarnation of each running process with a disk, by name.
    pub fn incarnations(&self) -> BTreeMap<&'static str, u64> {
        let durable = self.sites.iter().filter(|site| site.durable);
        durable
            .filter_map(|site| Some((site.name, site.process.as_ref()?.identity.incarnation)))
            .collect()
    }

    /// Returns the voters if a leader holds a lease and has committed its whole log.
    pub fn voters(&self) -> Vec<Id> {
        let mut processes = self.sites.iter().filter_map(|site| site.process.as_ref());
        let leader = processes.find(|process| process.has_lease());
        let committed = leader
            .map(|process| process.agreement.node())
            .filter(|node| node.commit_index() == node.last_index());
        committed.map_or(Vec::new(), |node| node.membership().voters.iter().cloned().collect())
    }

    pub fn is_awake(&self, site: usize) -> bool {
        self.sites[site].process.is_some() && self.now() >= self.sites[site].frozen_until
    }

    /// Ends a process; of the unsynced bytes, only the first `kept` stay on disk.
    pub fn kill(&mut self, site: usize, kept: usize) {
        let now = self.now();
        let site = &mut self.sites[site];
        site.process = None;
        site.waiting.clear();
        site.frozen_until = 0;
        site.restart_at = now + DOWN_MS;
        site.disk.lock().unwrap().flush_first(kept);
    }

    /// Replaces a disk by an empty one.
    pub fn lose_disk(&mut self, site: usize) {
        *self.sites[site].disk.lock().unwrap() = Disk::default();
        self.checks.on_disk_lost(self.sites[site].name);
    }

    /// Executes a fault on a process.
    pub fn inject(&mut self, site: usize, fault: Fault) {
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
                self.sites[site].network_fault = Some((fault, now + CUT_MS));
            }
            Fault::Delay | Fault::Double | Fault::Reorder => {
                self.sites[site].network_fault = Some((fault, now + DISTURBANCE_MS));
            }
            Fault::DiskFull | Fault::SyncFails => {
                self.sites[site].repair_at = Some(now + DISTURBANCE_MS);
            }
        }
    }

    fn start(&mut self, number: usize) {
        let seed = self.rng.random();
        let process_incarnation: u64 = self.rng.random();
        let site = &self.sites[number];
        let injector =
            Arc::new(Injector { site: number, plan: self.plan.clone(), dead: Default::default() });
        let (store, incarnation, state) = if site.durable {
            let handle = Handle { disk: site.disk.clone(), injector: injector.clone() };
            match Store::open(Box::new(handle)) {
                Ok((store, recovered)) => (Some(store), recovered.incarnation, recovered.state),
                Err(store::Error::Damaged { file, offset, reason }) => {
                    panic!("{}: {file} is damaged at {offset}: {reason}", site.name)
                }
                Err(_) => {
                    self.kill(number, 0); // a fault was injected while it started
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
            injector,
            outbox: Mutex::default(),
            peers: Mutex::default(),
            view: Mutex::default(),
        });
        let fleet: Arc<RwLock<Fleet>> = Arc::default();
        let founders = SITES.iter().filter(|site| site.2).map(|site| site.0.to_string()).collect();
        let data = state.snapshot.data.clone();
        let id = Id::new(site.name, incarnation);
        let now = environment.now();
        let node = Node::restore(id, site.durable, Default::default(), seed, state, now);
        let setup = Setup {
            environment: environment.clone(),
            identity: identity.clone(),
            founders,
            fleet: fleet.clone(),
            compact_entries: COMPACT_ENTRIES,
        };
        let agreement = Agreement::new(setup, node, store, &data);
        self.sites[number].process =
            Some(Process { agreement, identity, fleet, environment, proposed_at: 0 });
        self.checks.on_started(&self.sites[number]);
    }

    /// Opens and closes connections according to the faults in effect.
    fn update_links(&mut self) {
        for a in 0..self.sites.len() {
            for b in a + 1..self.sites.len() {
                let both_run = self.sites[a].process.is_some() && self.sites[b].process.is_some();
                let open = both_run && !self.is_cut(a) && !self.is_cut(b);
                let awake = self.is_awake(a) && self.is_awake(b);
                let now = self.now();
                match self.links.get(&(a, b)).copied() {
                    None if open && awake => self.link(a, b),
                    Some(_) if open && awake => {
                        self.links.insert((a, b), now);
                    }
                    Some(last_data) if !both_run || now >= last_data + IDLE_TIMEOUT_MS => {
                        self.unlink(a, b)
                    }
                    _ => {}
                }
            }
        }
    }

    fn is_cut(&self, site: usize) -> bool {
        let network_fault = self.sites[site].network_fault;
        matches!(network_fault, Some((Fault::CutBoth | Fault::CutIn | Fault::CutOut, _)))
    }

    fn link(&mut self, a: usize, b: usize) {
        let now = self.now();
        self.links.insert((a, b), now);
        for (from, to) in [(a, b), (b, a)] {
            let identity = self.sites[from].process.as_ref().unwrap().identity.clone();
            let process = self.sites[to].process.as_mut().unwrap();
            process.environment.peers.lock().unwrap().push(identity.clone());
            process.agreement.handle(Input::Up(identity));
        }
    }

    fn unlink(&mut self, a: usize, b: usize) {
        self.links.remove(&(a, b));
        for (lost, remaining) in [(a, b), (b, a)] {
            let name = self.sites[lost].name;
            let awake = self.is_awake(remaining);
            let site = &mut self.sites[remaining];
            let Some(process) = &mut site.process else { continue };
            let mut peers = process.environment.peers.lock().unwrap();
            let Some(at) = peers.iter().position(|peer| peer.name == name) else { continue };
            let peer = peers.remove(at);
            drop(peers);
            let down = Input::Down(Id::new(peer.name, peer.incarnation));
            if awake { process.agreement.handle(down) } else { site.waiting.push(down) }
        }
    }

    fn deliver(&mut self) {
        let now = self.now();
        let mut due: Vec<FrameInFlight> = Vec::new();
        let mut later = Vec::new();
        for frame in self.frames_in_flight.drain(..) {
            if frame.due <= now { due.push(frame) } else { later.push(frame) }
        }
        self.frames_in_flight = later;
        due.sort_by_key(|frame| (frame.due, frame.sequence));
        for frame in due {
            let to = self.sites.iter().position(|site| {
                site.process.as_ref().is_some_and(|process| process.id() == frame.to)
            });
            let Some(to) = to else { continue };
            if matches!(self.sites[to].network_fault, Some((Fault::CutBoth | Fault::CutIn, _))) {
                continue;
            }
            let awake = self.is_awake(to);
            let input = Input::Frame(frame.from, frame.frame);
            let site = &mut self.sites[to];
            if awake {
                site.process.as_mut().unwrap().agreement.handle(input);
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
            let process = site.process.as_mut().unwrap();
            for input in site.waiting.drain(..) {
                process.agreement.handle(input);
            }
            if now >= process.proposed_at + PROPOSAL_INTERVAL_MS {
                process.proposed_at = now;
                for command in background_proposals(process) {
                    let (reply, _) = async_std::channel::bounded(1);
                    process.agreement.handle(Input::Propose(command, reply));
                }
            }
            process.agreement.tick();
        }
    }

    /// Collects the frames that the processes have sent.
    fn collect_sent(&mut self) {
        let now = self.now();
        for number in 0..self.sites.len() {
            if !self.is_awake(number) {
                continue;
            }
            let process = self.sites[number].process.as_ref().unwrap();
            let from = process.id();
            let sent: Vec<(Id, Frame)> =
                process.environment.outbox.lock().unwrap().drain(..).collect();
            for (to, frame) in sent {
                self.checks.on_sent(&from, &to, &frame);
                self.transmit(number, now, from.clone(), to, frame);
            }
        }
    }

    /// Puts a frame in flight, as the faults in effect allow.
    fn transmit(&mut self, site: usize, now: u64, from: Id, to: Id, frame: Frame) {
        let fault = self.sites[site].network_fault.map(|(fault, _)| fault);
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
            self.frames_sent += 1;
            let due = now + delay + copy * 40;
            let (from, to, frame) = (from.clone(), to.clone(), frame.clone());
            self.frames_in_flight.push(FrameInFlight {
                due,
                sequence: self.frames_sent,
                from,
                to,
                frame,
            });
        }
    }

    /// Executes the faults that were triggered, and ends those whose time is over.
    fn execute_faults(&mut self) {
        let triggered: Vec<_> = self.plan.triggered.lock().unwrap().drain(..).collect();
        for (site, fault) in triggered {
            self.inject(site, fault);
        }
        let now = self.now();
        for number in 0..self.sites.len() {
            let site = &mut self.sites[number];
            if site.network_fault.is_some_and(|(_, end)| now >= end) {
                site.network_fault = None;
            }
            if site.repair_at.is_some_and(|at| now >= at) {
                site.repair_at = None;
                self.kill(number, 0);
            }
        }
    }
}

/// Returns what the background tasks of a process would propose now.
fn background_proposals(process: &Process) -> Vec<Command> {
    let fleet = process.fleet.read().unwrap();
    let name = &process.identity.name;
    let at = SystemTime::UNIX_EPOCH;
    let incarnation = process.identity.process_incarnation;
    if !has_joined(&fleet, &process.identity) {
        let data_centre = process.identity.data_centre.clone();
        let data_folder_id = process.identity.durable.then_some(process.identity.incarnation);
        let join = Join { entry: name.clone(), data_centre, incarnation, data_folder_id, at };
        return vec![Command::Join(join)];
    }
    let mut proposals = Vec::new();
    for (instance, placement) in fleet.placements() {
        let Some(pending_move) = &placement.pending_move else { continue };
        if fleet.missing_releases(instance).contains(name) {
            let (entry, instance, start_index) =
                (name.clone(), instance.clone(), pending_move.start_index);
            proposals.push(Command::Release(Release {
                entry,
                incarnation,
                instance,
                start_index,
                at,
            }));
        }
    }
    proposals
}
