//! State machine of a core process.
//!
//! Takes inputs, time and a disk as interfaces, so that a test can put a fault
//! between any two of its effects.

mod effects;
mod leadership;
mod requests;
mod voters;

use async_std::channel::Sender;
use jobs::{Decision, Ledger, WorkerId};
use log::info;
use mesh::frame::RequestId;
use mesh::{Frame, LeaderRequest, ProcessInfo, Reply, Status};
use quorum::{Id, Index, Node, Term};
use sched::instance::Instance;
use sched::order::{Answer, Order};
use sched::roster::Freshness;
use sched::scheduler::{
    AdviseReply, MaintenanceReply, MoveReply, PaceReply, PollReply, StartReply, StopReply, Time,
};
use sched::{Report, Roster};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, SystemTime};
use store::{Folder, Store};

/// Time between two bundles of reports that carry no news.
const REPORT_INTERVAL: Duration = Duration::from_millis(300);
/// Time after which a request that was passed on counts as lost.
const FORWARD_TIMEOUT: Duration = Duration::from_millis(1500);
/// Pause before a disk that failed is opened again.
const REOPEN_AFTER: Duration = Duration::from_millis(500);
/// Time between two looks at reports that have grown old.
const FORGET_INTERVAL: Duration = Duration::from_secs(1);

/// What the core needs of the process around it.
pub trait Environment: Send + Sync {
    /// Monotonic time that also counts while suspended.
    fn now(&self) -> Duration;
    /// Time of day.
    fn wall(&self) -> SystemTime;
    /// Queues a frame for a process, if there is a link to it.
    fn send(&self, to: &str, frame: Frame) -> bool;
    /// Processes that are linked.
    fn peers(&self) -> Vec<ProcessInfo>;
    /// Addresses of core processes were learnt.
    fn add_addresses(&self, addresses: BTreeSet<SocketAddr>);
    /// Carries an order out; the answer comes back as an input.
    fn dispatch(&self, order: Order);
    /// Where this process stands has changed.
    fn publish_status(&self, status: &Status);
}

/// Opens the data folder; more than once when the disk fails.
pub type OpenFolder = Box<dyn Fn() -> store::Result<Box<dyn Folder>> + Send>;

/// Who waits for a reply.
#[derive(Clone, Debug)]
pub enum ReplyTo {
    /// A task of this process.
    Local(Sender<Reply>),
    /// Another process.
    Remote {
        /// Its name.
        name: String,
        /// Its number of the request.
        id: RequestId,
        /// Whether it is a core process, which has passed the request on.
        core: bool,
    },
}

/// Input of the core.
#[derive(Debug)]
pub enum Input {
    /// A link was made.
    Up(ProcessInfo),
    /// The last link to a process was lost.
    Down(ProcessInfo),
    /// A process sent a frame.
    Frame(ProcessInfo, Frame),
    /// Someone asks for something.
    Request(LeaderRequest, ReplyTo),
    /// A worker reported here.
    Report(Report),
    /// A worker said here that its life ends.
    WorkerLeft(WorkerId),
    /// A worker answered for its lists.
    PollReply(PollReply),
    /// A worker answered to a start.
    StartReply(StartReply),
    /// A worker answered to a stop.
    StopReply(StopReply),
    /// A worker answered to a change of a run's share.
    PaceReply(PaceReply),
    /// The policy of a queue answered.
    AdviseReply(AdviseReply),
    /// The cloud answered with its machines.
    InstanceList(Answer<Vec<Instance>>),
    /// The cloud answered to a move.
    MoveReply(MoveReply),
    /// The cloud answered to an upkeep.
    MaintenanceReply(MaintenanceReply),
    /// Someone wants to see the state.
    Dump(Sender<String>),
    /// Someone wants to see the decisions about a subject, or all.
    Explain(String, Sender<Vec<Decision>>),
    /// The process is about to end: hand leadership over.
    TransferLeadership,
    /// The process ends.
    Stop,
}

/// What a core starts with.
pub struct Setup {
    /// Who this process is.
    pub hello: ProcessInfo,
    /// Control addresses of the founding voters.
    pub founders: BTreeSet<SocketAddr>,
    /// Whether the whole system starts for the first time.
    pub bootstrap: bool,
    /// How long jobs are kept after their end.
    pub retention: Duration,
    /// Bounds of the scheduler.
    pub sched_settings: sched::Settings,
    /// Spans of the agreement.
    pub timing: quorum::Timing,
    /// The process around it.
    pub environment: Arc<dyn Environment>,
    /// Opens the data folder.
    pub open_folder: OpenFolder,
    /// Seed of random election times.
    pub seed: u64,
}

/// A request whose change is on its way into the log.
struct Waiter {
    term: Term,
    reply: ReplyTo,
}

/// A request that was passed on to the leader.
struct Forwarded {
    leader: String,
    since: Duration,
    reply: ReplyTo,
    changes: bool,
}

/// The core of one process.
pub struct Core {
    hello: ProcessInfo,
    founders: BTreeSet<SocketAddr>,
    bootstrap: bool,
    retention: Duration,
    sched_settings: sched::Settings,
    timing: quorum::Timing,
    environment: Arc<dyn Environment>,
    open_folder: OpenFolder,
    seed: u64,
    node: Node,
    store: Option<Store>,
    broken_since: Option<Duration>,
    ledger: Ledger,
    applied: Index,
    leadership: Option<leadership::Leadership>,
    roster: Roster,
    unsent: Vec<Report>,
    unsent_since: Option<Duration>,
    told: Option<String>,
    waiters: BTreeMap<Index, Waiter>,
    outbox: VecDeque<jobs::Command>,
    forwarded: BTreeMap<RequestId, Forwarded>,
    next_request: RequestId,
    statuses: BTreeMap<Id, Status>,
    status: Status,
    silent: BTreeMap<Id, Duration>,
    swept: Duration,
    leaving: bool,
}

impl Core {
    /// Reads the disk and takes over what it holds.
    pub fn open(setup: Setup) -> store::Result<Core> {
        let (store, recovered) = Store::open((setup.open_folder)()?)?;
        let mut hello = setup.hello;
        hello.incarnation = recovered.incarnation;
        let snapshot = recovered.state.snapshot.data.clone();
        let base = recovered.state.snapshot.index;
        let node =
            Node::restore(hello.id(), true, setup.timing.clone(), setup.seed, recovered.state);
        let mut core = Core {
            hello,
            founders: setup.founders,
            bootstrap: setup.bootstrap,
            retention: setup.retention,
            sched_settings: setup.sched_settings,
            timing: setup.timing,
            environment: setup.environment,
            open_folder: setup.open_folder,
            seed: setup.seed,
            node,
            store: Some(store),
            broken_since: None,
            ledger: Ledger::new(setup.retention),
            applied: 0,
            leadership: None,
            roster: Roster::default(),
            unsent: Vec::new(),
            unsent_since: None,
            told: None,
            waiters: BTreeMap::new(),
            outbox: VecDeque::new(),
            forwarded: BTreeMap::new(),
            next_request: 1,
            statuses: BTreeMap::new(),
            status: Status::default(),
            silent: BTreeMap::new(),
            swept: Duration::ZERO,
            leaving: false,
        };
        core.restore(&snapshot, base);
        Ok(core)
    }

    /// Who this process is, with the number of its data folder.
    pub fn hello(&self) -> &ProcessInfo {
        &self.hello
    }

    /// The ledger, for queries.
    pub fn ledger(&self) -> &Ledger {
        &self.ledger
    }

    /// The node, for queries.
    pub fn node(&self) -> &Node {
        &self.node
    }

    /// Whether this process leads and acts.
    pub fn is_active_leader(&self) -> bool {
        self.leadership.is_some()
    }

    fn time(&self) -> Time {
        let wall = mesh::clock::unix_ms(self.environment.wall());
        Time { monotonic: self.environment.now(), wall }
    }

    /// Takes in an input; its effects follow with the next [`Core::advance`].
    pub fn input(&mut self, input: Input) {
        let time = self.time();
        match input {
            Input::Up(hello) => self.up(&hello),
            Input::Down(hello) => self.down(&hello),
            Input::Frame(from, frame) => self.frame(time, &from, frame),
            Input::Request(request, reply) => self.request(time, request, reply),
            Input::Report(report) => self.reported(time, report, true),
            Input::WorkerLeft(worker) => self.worker_left(time, worker, true),
            Input::PollReply(_)
            | Input::StartReply(_)
            | Input::StopReply(_)
            | Input::PaceReply(_)
            | Input::AdviseReply(_)
            | Input::InstanceList(_)
            | Input::MoveReply(_)
            | Input::MaintenanceReply(_) => self.answered(time, input),
            Input::Dump(reply) => {
                let _ = reply.try_send(self.dump()); // who asked may have gone
            }
            Input::Explain(subject, reply) => {
                let _ = reply.try_send(self.ledger.explain(&subject)); // who asked may have gone
            }
            Input::TransferLeadership => {
                self.leaving = true;
                self.node.transfer_leadership();
            }
            Input::Stop => {}
        }
    }

    fn up(&mut self, hello: &ProcessInfo) {
        self.environment.send(&hello.name, Frame::Status(self.status.clone()));
        if hello.durable {
            self.node.connect(hello.id());
            self.silent.remove(&hello.id());
        }
    }

    fn down(&mut self, hello: &ProcessInfo) {
        if self.environment.peers().iter().any(|peer| peer.id() == hello.id()) {
            return; // a newer link was made before this was taken in
        }
        self.node.disconnect(&hello.id());
        self.statuses.remove(&hello.id());
        if self.told.as_ref() == Some(&hello.name) {
            self.told = None;
        }
        self.lose_forwarded(|forwarded| forwarded.leader == hello.name);
    }

    fn frame(&mut self, time: Time, from: &ProcessInfo, frame: Frame) {
        match frame {
            Frame::Quorum(message) => {
                if self.store.is_some() {
                    self.node.receive(time.monotonic, &from.id(), message);
                }
            }
            Frame::Status(status) => {
                self.environment.add_addresses(status.core_addresses.clone());
                self.statuses.insert(from.id(), status);
            }
            Frame::Request(id, request) => {
                let core = from.control_address.is_some();
                self.request(time, request, ReplyTo::Remote { name: from.name.clone(), id, core });
            }
            Frame::Reply(id, reply) => {
                if let Some(forwarded) = self.forwarded.remove(&id) {
                    self.reply(forwarded.reply, reply);
                }
            }
            Frame::Reports(reports) => {
                for report in reports {
                    self.reported(time, report, false);
                }
            }
            Frame::Left(worker) => self.worker_left(time, worker, false),
            Frame::Hello(_) | Frame::Ping => {}
        }
    }

    fn reported(&mut self, time: Time, report: Report, pass_on: bool) {
        let freshness = self.roster.record(time.monotonic, report.clone());
        if freshness == Freshness::Stale {
            return;
        }
        if freshness == Freshness::Changed {
            info!(
                "worker.report worker={} born={} machine={} pool={} address={} draining={} number={}",
                report.incarnation.worker,
                report.incarnation.started_at,
                report.instance,
                report.pool,
                report.address,
                report.draining,
                report.number
            );
        }
        if freshness == Freshness::Changed && pass_on {
            self.spread(&report);
        }
        if let Some(leadership) = &mut self.leadership {
            let report =
                self.roster.get(&report.incarnation.worker).map(|received| received.report.clone());
            if let Some(report) = report {
                leadership.scheduler.on_report(time, &self.ledger, &report);
            }
        } else if pass_on {
            self.unsent.retain(|held| held.incarnation != report.incarnation);
            self.unsent.push(report);
            self.unsent_since.get_or_insert(time.monotonic);
        }
    }

    /// Tells the other core processes news of a worker, so that each of them could
    /// lead without waiting for the next reports.
    fn spread(&self, report: &Report) {
        for peer in self.environment.peers().iter().filter(|peer| peer.control_address.is_some()) {
            self.environment.send(&peer.name, Frame::Reports(vec![report.clone()]));
        }
    }

    fn worker_left(&mut self, time: Time, worker: WorkerId, pass_on: bool) {
        let incarnation = self.roster.record_left(time.monotonic, &worker);
        info!("worker.left worker={worker} known={}", incarnation.is_some());
        if let Some(leadership) = &mut self.leadership {
            leadership.scheduler.on_worker_left(&worker);
        } else if let Some(leader) = self.leader_name().filter(|_| pass_on) {
            self.environment.send(&leader, Frame::Left(worker));
        }
    }

    fn leader_name(&self) -> Option<String> {
        let leader = self.node.leader()?;
        (*leader != self.hello.id()).then(|| leader.name.clone())
    }

    /// Sends reports that reached this process to the leader.
    fn pass_reports_on(&mut self) {
        let Some(leader) = self.leader_name() else { return };
        self.unsent_since = None;
        let reports = std::mem::take(&mut self.unsent);
        if !reports.is_empty() && !self.environment.send(&leader, Frame::Reports(reports)) {
            self.told = None;
        }
    }

    /// Tells a new leader everything that workers said here.
    fn tell_leader(&mut self) {
        let leader = self.leader_name();
        if leader == self.told {
            return;
        }
        if let Some(leader) = &leader {
            let reports: Vec<Report> =
                self.roster.workers().map(|received| received.report.clone()).collect();
            if !reports.is_empty() && !self.environment.send(leader, Frame::Reports(reports)) {
                return;
            }
        }
        self.told = leader;
    }

    fn sweep(&mut self, time: Time) {
        let waited = |since: Duration| time.monotonic >= since + REPORT_INTERVAL;
        if self.unsent_since.is_some_and(waited) {
            self.pass_reports_on();
        }
        if time.monotonic < self.swept + FORGET_INTERVAL {
            return;
        }
        self.swept = time.monotonic;
        self.roster.expire(time.monotonic);
        self.lose_forwarded(|forwarded| time.monotonic > forwarded.since + FORWARD_TIMEOUT);
    }

    fn dump(&self) -> String {
        let leadership = self.leadership.as_ref().map(|leadership| leadership.dump());
        let jobs: BTreeMap<_, _> = self
            .ledger
            .jobs()
            .values()
            .map(|job| (job.id.clone(), (job.queue.clone(), job.state)))
            .collect();
        let value = serde_json::json!({
            "name": self.hello.name,
            "incarnation": format!("{:016x}", self.hello.incarnation),
            "term": self.node.term(),
            "role": self.node.role(),
            "leader": self.node.leader(),
            "voters": self.node.membership().voters,
            "last_index": self.node.last_index(),
            "applied": self.applied,
            "log_bytes": self.store.as_ref().map(Store::log_bytes),
            "config_version": self.ledger.config().map(|config| config.version),
            "jobs": jobs,
            "waves": self.ledger.waves(),
            "reign": leadership,
        });
        serde_json::to_string_pretty(&value).expect("values serialise to memory")
    }
}
