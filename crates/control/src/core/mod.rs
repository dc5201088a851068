//! State machine of a core process: consensus node, disk, ledger and, on the leader,
//! the scheduler.
//!
//! Clock, network and disk are reached through traits only, so that a test can inject
//! a fault between any two effects.

mod effects;
mod leadership;
pub mod place;
mod requests;
mod voters;

use crate::load::{Action, Slowest};
use crate::relay::Relays;
use async_std::channel::Sender;
use jobs::{Decision, Ledger, WorkerId};
use log::info;
use mesh::frame::{RequestId, draw_first_id};
use mesh::{Frame, LeaderRequest, ProcessInfo, Reply, Status};
use quorum::{Id, Index, Node, Term};
use rand::SeedableRng;
use rand::rngs::StdRng;
use sched::instance::Instance;
use sched::order::{self, Answer, Order};
use sched::roster::{AnnouncedEnd, Freshness};
use sched::scheduler::{AdviseReply, MaintenanceReply, MoveReply, Time};
use sched::{Report, Roster, Scheduler};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, SystemTime};
use store::{Folder, Store};

/// Longest time for which a follower collects workers' reports before it forwards them
/// to the leader. A changed report is also broadcast at once.
const REPORT_BATCH_INTERVAL: Duration = Duration::from_millis(300);
/// Time after which a forwarded request without a reply from the leader is failed.
const FORWARD_TIMEOUT: Duration = Duration::from_millis(1500);
/// Time between a disk failure and the attempt to reopen the disk, and between attempts.
const REOPEN_INTERVAL: Duration = Duration::from_millis(500);
/// Shortest wait for an input, the resolution of timers.
const MIN_WAIT: Duration = Duration::from_millis(1);
/// Longest time between two statuses to the other processes. They learn of the addresses of the
/// core processes from it, and a process whose link was not noticed learns who leads.
const STATUS_INTERVAL: Duration = Duration::from_secs(5);
/// Time between two removals of expired reports and of forwarded requests that timed out.
const EXPIRY_INTERVAL: Duration = Duration::from_secs(1);
/// Difference between the terms of two elections. A leader's fences lie between the terms.
const TERM_STEP: Term = 1 << 16;

/// Clock, links and order dispatch of the process that runs the core.
pub trait Environment: Send + Sync {
    /// Monotonic time, which also advances while the instance is suspended.
    fn now(&self) -> Duration;
    /// Wall-clock time.
    fn wall(&self) -> SystemTime;
    /// Queues a frame for the named process. Returns whether a link accepted it.
    fn send(&self, to: &str, frame: Frame) -> bool;
    /// Queues a frame for one incarnation of a process. Returns whether a link to it accepted it.
    fn send_to(&self, to: &Id, frame: Frame) -> bool;
    /// Queues a frame for each of the named processes.
    fn send_all(&self, to: &[&str], frame: Frame) {
        for name in to {
            self.send(name, frame.clone());
        }
    }
    /// Processes with a link to this one.
    fn peers(&self) -> Vec<ProcessInfo>;
    /// Adds addresses of core processes to connect to.
    fn add_addresses(&self, addresses: BTreeSet<SocketAddr>);
    /// Sends an order to a worker or the cloud. The answer arrives as an [`Input`].
    fn dispatch(&self, order: Order);
    /// Publishes the changed status within this process.
    fn publish_status(&self, status: &Status);
}

/// Opens the data folder. Called again after a disk failure.
pub type OpenFolder = Box<dyn Fn() -> store::Result<Box<dyn Folder>> + Send>;

/// Destination of the reply to a request.
#[derive(Clone, Debug)]
pub enum ReplyTo {
    /// A task of this process.
    Local(Sender<Reply>),
    /// Another process.
    Remote {
        /// The process. A successor of its name is not sent the reply.
        to: Id,
        /// Number that the process gave the request.
        id: RequestId,
        /// Whether the process is a core that forwarded the request. Such a request isn't
        /// forwarded again.
        core: bool,
    },
}

/// Event or request for [`Core::input`].
#[derive(Debug)]
pub enum Input {
    /// A link to a process was established.
    LinkUp(ProcessInfo),
    /// The last link to a process was lost.
    LinkDown(ProcessInfo),
    /// A frame arrived from a process.
    Frame(ProcessInfo, Frame),
    /// A request of a client or an operator, with the destination of its reply.
    Request(LeaderRequest, ReplyTo),
    /// A worker sent its report to this process.
    Report(Report),
    /// A worker announced to this process that its incarnation is ending.
    WorkerLeft(WorkerId),
    /// A worker replied to an order, or the call failed.
    WorkerReply(order::Reply),
    /// A queue's policy answered, or the call failed.
    AdviseReply(AdviseReply),
    /// The cloud answered with its list of instances, or the call failed, and when the list was
    /// asked for.
    InstanceList(Duration, Answer<Vec<Instance>>),
    /// The cloud answered a move order, or the call failed.
    MoveReply(MoveReply),
    /// The cloud answered a maintenance order, or the call failed.
    MaintenanceReply(MaintenanceReply),
    /// Asks for the state as JSON text.
    Dump(Sender<String>),
    /// Asks for the decisions about a subject, or for all if it is empty.
    Explain(String, Sender<Vec<Decision>>),
    /// Explains where a job runs or would go now.
    ExplainPlace(place::Question, Sender<place::Result<sched::scheduler::Placing>>),
    /// The process is about to end: leadership goes to another voter.
    TransferLeadership,
    /// The process ends. Handled by the core's thread; the core itself ignores it.
    Stop,
}

/// Parameters of [`Core::open`].
pub struct Setup {
    /// Name and addresses of this process; the incarnation comes from the data folder.
    pub process_info: ProcessInfo,
    /// Control addresses of the voters that form a new cluster. The first one starts it.
    pub founders: BTreeSet<SocketAddr>,
    /// Whether this process may form a new cluster: the whole system starts for the first
    /// time.
    pub bootstrap: bool,
    /// How long the ledger keeps a job after its end.
    pub retention: Duration,
    /// Settings of the leader's scheduler.
    pub sched_settings: sched::Settings,
    /// Timeouts of the consensus protocol.
    pub timing: quorum::Timing,
    /// Clock, links and order dispatch.
    pub environment: Arc<dyn Environment>,
    /// Opens the data folder.
    pub open_folder: OpenFolder,
    /// Seed of the random election timeouts and of the ids of requests and orders; another one for
    /// each start of the process.
    pub seed: u64,
}

/// A request whose command was proposed to the log in this term.
struct PendingProposal {
    term: Term,
    reply: ReplyTo,
}

/// A request that was forwarded to the leader.
struct ForwardedRequest {
    leader: String,
    forwarded_at: Duration,
    reply: ReplyTo,
    is_write: bool,
}

/// State of one core process.
pub struct Core {
    process_info: ProcessInfo,
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
    /// Time of the disk failure or of the last attempt to reopen the disk.
    disk_failed_at: Option<Duration>,
    ledger: Ledger,
    /// Index of the last log entry that was applied to the ledger.
    applied_index: Index,
    leadership: Option<leadership::Leadership>,
    roster: Roster,
    /// Reports of workers that have not been forwarded to the leader.
    unsent_reports: Vec<Report>,
    /// When the first of `unsent_reports` arrived; `None` if there is none.
    unsent_since: Option<Duration>,
    /// Leader that has received all reports of the roster, and its term: a restarted leader has
    /// lost them, and leads in a later term.
    roster_sent_to: Option<(Id, Term)>,
    pending_proposals: BTreeMap<Index, PendingProposal>,
    /// The scheduler's commands that aren't proposed yet.
    proposal_queue: VecDeque<jobs::Command>,
    /// Orders that other processes send for this leader.
    relays: Relays,
    forwarded: BTreeMap<RequestId, ForwardedRequest>,
    next_request: RequestId,
    /// Processes with a link to this one, as of the last change of a link.
    peers: Vec<ProcessInfo>,
    /// Whether a link has changed since the peers were read.
    links_changed: bool,
    /// Latest status of each other process.
    statuses: BTreeMap<Id, Status>,
    /// Status that this process published last.
    status: Status,
    /// Voters without a link to this process, with the time since which it is missing.
    unlinked_since: BTreeMap<Id, Duration>,
    /// Since when this process has known no leader, though there are voters.
    leaderless_since: Option<Duration>,
    /// When that was last logged.
    leaderless_logged_at: Option<Duration>,
    last_expiry_at: Duration,
    /// When the status was last sent to all other processes.
    status_sent_at: Duration,
    /// Time spent in writes and syncs of the disk since it was last taken.
    disk_time: Duration,
    /// Longest single action since it was last taken.
    slowest: Slowest,
    /// The process is about to end.
    stopping: bool,
}

impl Core {
    /// Opens the data folder and restores the node and the ledger from it.
    pub fn open(setup: Setup) -> store::Result<Core> {
        let (store, recovered) = Store::open((setup.open_folder)()?)?;
        let mut process_info = setup.process_info;
        process_info.incarnation = recovered.incarnation;
        let snapshot = recovered.state.snapshot.data.clone();
        let base = recovered.state.snapshot.index;
        let mut node = Node::restore(
            process_info.id(),
            true,
            setup.timing.clone(),
            setup.seed,
            recovered.state,
            setup.environment.now(),
        );
        node.set_term_step(TERM_STEP);
        let mut rng = StdRng::seed_from_u64(setup.seed);
        let mut core = Core {
            process_info,
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
            disk_failed_at: None,
            ledger: Ledger::new(setup.retention),
            applied_index: 0,
            leadership: None,
            roster: Roster::default(),
            unsent_reports: Vec::new(),
            unsent_since: None,
            roster_sent_to: None,
            pending_proposals: BTreeMap::new(),
            proposal_queue: VecDeque::new(),
            relays: Relays::new(draw_first_id(&mut rng)),
            forwarded: BTreeMap::new(),
            next_request: draw_first_id(&mut rng),
            peers: Vec::new(),
            links_changed: true,
            statuses: BTreeMap::new(),
            status: Status::default(),
            unlinked_since: BTreeMap::new(),
            leaderless_since: None,
            leaderless_logged_at: None,
            last_expiry_at: Duration::ZERO,
            status_sent_at: Duration::ZERO,
            disk_time: Duration::ZERO,
            slowest: Slowest::default(),
            stopping: false,
        };
        core.restore_ledger(&snapshot, base);
        Ok(core)
    }

    /// Name, addresses and incarnation of this process.
    pub fn process_info(&self) -> &ProcessInfo {
        &self.process_info
    }

    /// Returns the ledger as of the last applied entry.
    pub fn ledger(&self) -> &Ledger {
        &self.ledger
    }

    /// Returns the consensus node.
    pub fn node(&self) -> &Node {
        &self.node
    }

    /// Whether this process leads the current term and runs the scheduler.
    pub fn is_active_leader(&self) -> bool {
        self.leadership.is_some()
    }

    /// Returns how long to wait for an input before the next call of [`Core::advance`]: until
    /// the scheduler's next decision if one was deferred, and at most `max_wait`.
    pub fn max_wait(&self, max_wait: Duration) -> Duration {
        let scheduler = self.leadership.as_ref().map(|leadership| &leadership.scheduler);
        match scheduler.and_then(Scheduler::deferred_decision) {
            Some(at) => at.saturating_sub(self.environment.now()).clamp(MIN_WAIT, max_wait),
            None => max_wait,
        }
    }

    /// Reads the linked processes again if a link has changed.
    fn update_peers(&mut self) {
        if std::mem::take(&mut self.links_changed) {
            self.peers = self.environment.peers();
        }
    }

    /// Returns the time spent in writes and syncs of the disk since the last call.
    pub fn take_disk_time(&mut self) -> Duration {
        std::mem::take(&mut self.disk_time)
    }

    /// Returns the longest single action since the last call.
    pub fn take_slowest(&mut self) -> Slowest {
        std::mem::take(&mut self.slowest)
    }

    /// Records that an action took the time since `started_at`.
    fn record_action(&mut self, action: Action, started_at: Duration) {
        self.slowest.record(action, self.environment.now().saturating_sub(started_at));
    }

    fn time(&self) -> Time {
        let wall = mesh::clock::unix_ms(self.environment.wall());
        Time { monotonic: self.environment.now(), wall }
    }

    /// Handles an input. Syncing, sending and applying follow in the next
    /// [`Core::advance`].
    pub fn input(&mut self, input: Input) {
        let time = self.time();
        match input {
            Input::LinkUp(peer) => self.on_link_up(&peer),
            Input::LinkDown(peer) => self.on_link_down(&peer),
            Input::Frame(from, frame) => self.on_frame(time, &from, frame),
            Input::Request(request, reply) => self.on_request(time, request, reply),
            Input::Report(report) => self.on_report(time, report, true),
            Input::WorkerLeft(worker) => self.on_worker_left(time, worker, true),
            Input::WorkerReply(_)
            | Input::AdviseReply(_)
            | Input::InstanceList(..)
            | Input::MoveReply(_)
            | Input::MaintenanceReply(_) => self.on_order_reply(time, input),
            Input::Dump(reply) => {
                let _ = reply.try_send(self.dump()); // the caller may have given up
            }
            Input::Explain(subject, reply) => {
                let _ = reply.try_send(self.ledger.explain(&subject)); // the caller may have given up
            }
            Input::ExplainPlace(question, reply) => {
                let _ = reply.try_send(self.explain_place(time, question)); // as above
            }
            Input::TransferLeadership => {
                self.stopping = true;
                self.node.transfer_leadership();
            }
            Input::Stop => {}
        }
        self.record_action(Action::Input, time.monotonic);
    }

    fn on_link_up(&mut self, peer: &ProcessInfo) {
        self.links_changed = true;
        self.environment.send(&peer.name, Frame::Status(self.status.clone()));
        if peer.durable {
            self.node.connect(peer.id());
            self.unlinked_since.remove(&peer.id());
        }
    }

    fn on_link_down(&mut self, lost: &ProcessInfo) {
        self.links_changed = true;
        if self.environment.peers().iter().any(|peer| peer.id() == lost.id()) {
            return; // a new link was established before this input was handled
        }
        self.node.disconnect(&lost.id());
        self.statuses.remove(&lost.id());
        if self.roster_sent_to.as_ref().is_some_and(|(leader, _)| *leader == lost.id()) {
            self.roster_sent_to = None;
        }
        self.fail_forwarded(|forwarded| forwarded.leader == lost.name);
        let time = self.time();
        self.fail_orders(time, &lost.name);
    }

    fn on_frame(&mut self, time: Time, from: &ProcessInfo, frame: Frame) {
        match frame {
            Frame::Quorum(message) => {
                if self.store.is_some() {
                    self.node.receive(time.monotonic, &from.id(), message);
                }
            }
            Frame::Status(status) => {
                self.environment.add_addresses(status.core_addresses.clone());
                if status.stopping {
                    self.relays.record_stopping(time.monotonic, &from.name);
                }
                self.statuses.insert(from.id(), status);
            }
            Frame::Request(id, request) => {
                let core = from.control_address.is_some();
                self.on_request(time, request, ReplyTo::Remote { to: from.id(), id, core });
            }
            Frame::Reply(id, reply) => {
                if let Some(forwarded) = self.forwarded.remove(&id) {
                    self.reply(forwarded.reply, reply);
                }
            }
            Frame::Reports(reports) => {
                for report in reports {
                    self.on_report(time, report, false);
                }
            }
            Frame::Left(worker) => self.on_worker_left(time, worker, false),
            Frame::OrderReplies(replies) => {
                for (id, reply) in replies {
                    if self.relays.complete(id) {
                        self.on_order_reply(time, Input::WorkerReply(reply));
                    }
                }
            }
            // Orders are sent out by the process, which needs no state of the core for it.
            Frame::Orders(_) | Frame::Hello(_) | Frame::Ping => {}
        }
    }

    /// Records a report and passes it on: to the scheduler if this process leads, else to
    /// the leader if the worker sent it here (`is_local`). One that only its start time makes look old
    /// is passed on too: the leader asks the worker.
    fn on_report(&mut self, time: Time, report: Report, is_local: bool) {
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
        if freshness == Freshness::Changed && is_local {
            self.broadcast_report(&report);
        }
        if let Some(leadership) = &mut self.leadership {
            let recorded = self.roster.get(&report.incarnation.worker);
            let report = match recorded.filter(|_| freshness != Freshness::Doubtful) {
                Some(received) => received.report.clone(),
                None => report,
            };
            leadership.scheduler.on_report(time, &self.ledger, &report);
        } else if is_local {
            self.unsent_reports.retain(|unsent| unsent.incarnation != report.incarnation);
            self.unsent_reports.push(report);
            self.unsent_since.get_or_insert(time.monotonic);
        }
    }

    /// Sends a changed report to the other core processes, so that any of them can
    /// become leader without waiting for the workers' next reports.
    fn broadcast_report(&self, report: &Report) {
        let peers = self.environment.peers();
        let cores: Vec<&str> = peers
            .iter()
            .filter(|peer| peer.control_address.is_some())
            .map(|peer| peer.name.as_str())
            .collect();
        self.environment.send_all(&cores, Frame::Reports(vec![report.clone()]));
    }

    fn on_worker_left(&mut self, time: Time, worker: WorkerId, is_local: bool) {
        let end = self.roster.record_announced_end(time.monotonic, &worker);
        let is_known = matches!(end, AnnouncedEnd::OfPresent(_));
        let is_late = end == AnnouncedEnd::OfEarlier;
        info!("worker.left worker={worker} known={is_known} late={is_late}");
        if is_late {
            return;
        }
        if let Some(leadership) = &mut self.leadership {
            leadership.scheduler.on_worker_left(&worker);
        } else if let Some(leader) = self.leader_name().filter(|_| is_local) {
            self.environment.send(&leader, Frame::Left(worker));
        }
    }

    /// Name of the leader if it is another process.
    fn leader_name(&self) -> Option<String> {
        let leader = self.node.leader()?;
        (*leader != self.process_info.id()).then(|| leader.name.clone())
    }

    /// Sends the reports collected since the last call to the leader.
    fn forward_reports(&mut self) {
        let Some(leader) = self.leader_name() else { return };
        self.unsent_since = None;
        let reports = std::mem::take(&mut self.unsent_reports);
        if !reports.is_empty() && !self.environment.send(&leader, Frame::Reports(reports)) {
            self.roster_sent_to = None;
        }
    }

    /// Sends a new leader all reports of the roster.
    fn send_roster_to_leader(&mut self) {
        let other = self.node.leader().filter(|leader| **leader != self.process_info.id());
        let leader = other.map(|leader| (leader.clone(), self.node.term()));
        if leader == self.roster_sent_to {
            return;
        }
        if let Some((leader, _)) = &leader {
            let reports: Vec<Report> =
                self.roster.workers().map(|received| received.report.clone()).collect();
            if !reports.is_empty() && !self.environment.send(&leader.name, Frame::Reports(reports))
            {
                return;
            }
        }
        self.roster_sent_to = leader;
    }

    /// Forwards collected reports, drops expired ones and fails forwarded requests that
    /// timed out.
    fn send_and_expire(&mut self, time: Time) {
        let is_due = |since: Duration| time.monotonic >= since + REPORT_BATCH_INTERVAL;
        if self.unsent_since.is_some_and(is_due) {
            self.forward_reports();
        }
        if time.monotonic < self.last_expiry_at + EXPIRY_INTERVAL {
            return;
        }
        self.last_expiry_at = time.monotonic;
        self.links_changed = true;
        self.roster.expire(time.monotonic);
        self.report_voters(time);
        self.fail_forwarded(|forwarded| time.monotonic > forwarded.forwarded_at + FORWARD_TIMEOUT);
    }

    fn dump(&self) -> String {
        let leadership = self.leadership.as_ref().map(|leadership| leadership.dump(&self.ledger));
        let jobs: BTreeMap<_, _> = self
            .ledger
            .jobs()
            .values()
            .map(|job| (job.id.clone(), (job.queue.clone(), job.state)))
            .collect();
        let value = serde_json::json!({
            "name": self.process_info.name,
            "incarnation": format!("{:016x}", self.process_info.incarnation),
            "term": self.node.term(),
            "role": self.node.role(),
            "leader": self.node.leader(),
            "voters": self.node.membership().voters,
            "last_index": self.node.last_index(),
            "applied": self.applied_index,
            "log_bytes": self.store.as_ref().map(Store::log_bytes),
            "config_version": self.ledger.config().map(|config| config.version),
            "jobs": jobs,
            "waves": self.ledger.waves(),
            "reign": leadership,
        });
        serde_json::to_string_pretty(&value).expect("serializing to memory cannot fail")
    }
}
