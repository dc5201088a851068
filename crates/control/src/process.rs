//! Runs a [`Core`] in a thread and connects it to the data folder, to the links to other
//! processes and to the calls to workers and the cloud.

use crate::calls::Calls;
use crate::core::place::{self, Question};
use crate::core::{Core, Environment, Input, OpenFolder, ReplyTo, Setup};
use crate::load::Meter;
use crate::reads::{self, Reads};
use crate::relay::CALL_TIMEOUT;
use async_std::channel::{Receiver, bounded};
use async_std::future::timeout;
use async_std::net::TcpListener;
use async_std::task::{self, JoinHandle};
use jobs::{Decision, WorkerId};
use log::{info, warn};
use mesh::frame::OrderId;
use mesh::{Clock, Event, Frame, LeaderRequest, Net, ProcessInfo, Status};
use quorum::Id;
use sched::Report;
use sched::order::{Answer, ListInstances, Order, Reply};
use sched::scheduler::{
    AdviseReply, MaintenanceReply, MoveReply, PaceReply, Placing, PollReply, StartReply, StopReply,
};
use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::{self, RecvTimeoutError, SyncSender, TrySendError, sync_channel};
use std::sync::{Arc, Mutex, OnceLock, PoisonError, RwLock};
use std::thread;
use std::time::{Duration, SystemTime};
use store::Store;

/// Result of starting a core process.
pub type Result<T> = std::result::Result<T, Error>;

/// Capacity of the queue of inputs to the core's thread. When it is full, requests are
/// refused, reports and link events are dropped, and answers to orders wait.
const INPUT_QUEUE_CAPACITY: usize = 16_384;
/// Number of inputs from which requests are refused. The rest of the queue is kept for links and
/// for consensus messages, without which a leader loses its lease.
const MAX_QUEUED_WITH_REQUESTS: usize = INPUT_QUEUE_CAPACITY / 4 * 3;
/// Longest wait for an input before the core is advanced without one.
const TICK_INTERVAL: Duration = Duration::from_millis(25);
/// Further inputs handled after the first one before their changes are synced together.
const MAX_BATCHED_INPUTS: usize = 1024;
/// Timing of the consensus protocol. The election timeout has to outlast a few slow syncs
/// of the disk, 30 times 6 ms each, and accounts for most of the time without
/// a leader. Followers use the commit index only to apply entries ahead of a change of
/// leader, so it need not be sent with each commit.
const TIMING: quorum::Timing = quorum::Timing {
    heartbeat_interval: Duration::from_millis(200),
    learner_heartbeat_interval: Duration::from_millis(500),
    election_timeout: Duration::from_millis(900),
    lease_duration: Duration::from_millis(750),
    commit_interval: Duration::from_millis(50),
};
/// Time for which replies to the leader's orders are collected for one frame.
const REPLY_BATCH_INTERVAL: Duration = Duration::from_millis(8);
/// Attempts to open the disk at the start. A disk that is full or hangs for some seconds
/// must not end the process.
const DISK_OPEN_ATTEMPTS: usize = 20;
/// Wait after a failed attempt to open the disk.
const DISK_OPEN_RETRY_INTERVAL: Duration = Duration::from_millis(500);
/// Longest wait for the reply to a request, which carries no deadline of its own.
pub const REQUEST_TIMEOUT: Duration = Duration::from_millis(1800);

/// Reason why a core process can't start.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// Listening on an address failed.
    #[error("{field}: cannot listen on {address}: {source}")]
    Listen {
        /// Path of the setting that holds the address.
        field: &'static str,
        /// The address of that setting.
        address: SocketAddr,
        /// Error of the operating system.
        source: io::Error,
    },
    /// Opening or reading the data folder failed.
    #[error("data_folder: {0}")]
    Store(#[from] store::Error),
    /// The operating system refused to create a thread.
    #[error("cannot start a thread: {0}")]
    Thread(io::Error),
}

/// Parameters of [`Process::start`].
pub struct Options {
    /// Name and addresses of the process; the incarnation comes from the data folder.
    pub process_info: ProcessInfo,
    /// Addresses of other processes that are known at the start.
    pub seeds: BTreeSet<SocketAddr>,
    /// Control addresses of the voters that form a new cluster. The first one starts it.
    pub founders: BTreeSet<SocketAddr>,
    /// Maximum number of accepted connections whose peers have not said who they are.
    pub max_handshakes: usize,
    /// Whether this process may form a new cluster: the whole system starts for the first
    /// time.
    pub bootstrap: bool,
    /// How long the ledger keeps a job after its end.
    pub retention: Duration,
    /// Settings of the leader's scheduler.
    pub sched_settings: sched::Settings,
    /// Opens the data folder.
    pub open_folder: OpenFolder,
    /// Monotonic and wall clock.
    pub clock: Arc<dyn Clock>,
    /// Sends orders to workers and the cloud.
    pub calls: Arc<dyn Calls>,
}

/// An input with the time at which it was queued.
struct Queued {
    at: Duration,
    input: Input,
}

/// Queue of inputs for the core's thread.
#[derive(Clone)]
struct Queue {
    inputs: SyncSender<Queued>,
    /// Number of inputs in the queue.
    length: Arc<AtomicUsize>,
    clock: Arc<dyn Clock>,
}

/// Why an input was not queued, and the input.
enum Refusal {
    /// The queue has no room for it.
    Full(Box<Input>),
    /// The core has ended.
    Ended(Box<Input>),
}

impl Queue {
    fn push(&self, input: Input) -> std::result::Result<(), Refusal> {
        let is_request = matches!(input, Input::Request(..) | Input::Frame(_, Frame::Request(..)));
        if is_request && self.length.load(Ordering::Acquire) >= MAX_QUEUED_WITH_REQUESTS {
            return Err(Refusal::Full(Box::new(input)));
        }
        self.length.fetch_add(1, Ordering::AcqRel);
        let queued = Queued { at: self.clock.now(), input };
        self.inputs.try_send(queued).map_err(|error| {
            self.length.fetch_sub(1, Ordering::AcqRel);
            match error {
                TrySendError::Full(queued) => Refusal::Full(Box::new(queued.input)),
                TrySendError::Disconnected(queued) => Refusal::Ended(Box::new(queued.input)),
            }
        })
    }
}

/// Sends requests and reports to the core's thread.
#[derive(Clone)]
pub struct Handle {
    queue: Queue,
    status: Arc<RwLock<Status>>,
    reads: Reads,
}

impl Handle {
    /// Sends a request and waits for the reply, at most [`REQUEST_TIMEOUT`].
    pub async fn request(&self, request: LeaderRequest) -> mesh::Reply {
        let is_write = request.is_write();
        let (sender, reply) = bounded(1);
        if !self.push(Input::Request(request, ReplyTo::Local(sender))) {
            return mesh::Reply::NotTaken("too much waits here already".to_string());
        }
        match timeout(REQUEST_TIMEOUT, reply.recv()).await {
            Ok(Ok(reply)) => reply,
            _ if is_write => mesh::Reply::Unknown("no reply in time".to_string()),
            _ => mesh::Reply::NotTaken("no reply in time".to_string()),
        }
    }

    /// Reads the configuration in force, for at most [`REQUEST_TIMEOUT`]. Reads that arrive while
    /// another one waits for the leader share the next request.
    pub async fn read_config(&self) -> reads::Answer {
        let read = self.reads.read(self.request(LeaderRequest::Config));
        timeout(REQUEST_TIMEOUT, read).await.unwrap_or_else(|_| {
            reads::Answer::Other(mesh::Reply::NotTaken("no reply in time".to_string()))
        })
    }

    /// Queues a worker's report. Returns false if the input queue is full or the core has
    /// ended.
    pub fn report(&self, report: Report) -> bool {
        self.push(Input::Report(report))
    }

    /// Queues the notice that a worker's current incarnation ends. Returns false if the
    /// input queue is full or the core has ended.
    pub fn worker_left(&self, worker: WorkerId) -> bool {
        self.push(Input::WorkerLeft(worker))
    }

    /// Returns the state of the core as JSON text, or none if it doesn't answer in time.
    pub async fn dump(&self) -> Option<String> {
        let (sender, text) = bounded(1);
        self.push(Input::Dump(sender));
        timeout(REQUEST_TIMEOUT, text.recv()).await.ok()?.ok()
    }

    /// Returns the decisions about a subject, or all for an empty one, as far as this
    /// process has applied them. None if the core doesn't answer in time.
    pub async fn explain(&self, subject: String) -> Option<Vec<Decision>> {
        let (sender, decisions) = bounded(1);
        self.push(Input::Explain(subject, sender));
        timeout(REQUEST_TIMEOUT, decisions.recv()).await.ok()?.ok()
    }

    /// Explains where a job runs or would go now. None if the core doesn't answer in time.
    pub async fn explain_place(&self, question: Question) -> Option<place::Result<Placing>> {
        let (sender, answer) = bounded(1);
        self.push(Input::ExplainPlace(question, sender));
        timeout(REQUEST_TIMEOUT, answer.recv()).await.ok()?.ok()
    }

    /// Returns the status that the core published last.
    pub fn status(&self) -> Status {
        self.status.read().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Queues an input unless the queue is full or the core has ended.
    fn push(&self, input: Input) -> bool {
        match self.queue.push(input) {
            Ok(()) => true,
            Err(Refusal::Full(_)) => {
                metrics::counter!("inputs_dropped_total").increment(1);
                false
            }
            Err(Refusal::Ended(_)) => false,
        }
    }
}

/// A running core process.
pub struct Process {
    handle: Handle,
    net: Arc<Net>,
    listener: JoinHandle<()>,
    core: thread::JoinHandle<()>,
    /// Closed when the core's thread ends.
    core_ended: Receiver<()>,
}

impl Process {
    /// Opens the data folder and starts the core's thread and the listener for links.
    pub fn start(options: Options, peers: TcpListener) -> Result<Process> {
        let (sender, inputs) = sync_channel(INPUT_QUEUE_CAPACITY);
        let length = Arc::new(AtomicUsize::new(0));
        let queue = Queue { inputs: sender, length: length.clone(), clock: options.clock.clone() };
        let status = Arc::new(RwLock::default());
        let handle =
            Handle { queue: queue.clone(), status: status.clone(), reads: Reads::default() };
        let environment = Arc::new(ProcessEnvironment {
            clock: options.clock.clone(),
            calls: options.calls,
            net: OnceLock::new(),
            queue: queue.clone(),
            status,
            known_addresses: Mutex::default(),
            replies: Mutex::default(),
        });
        wait_for_disk(&options.open_folder);
        let core = Core::open(Setup {
            process_info: options.process_info,
            founders: options.founders,
            bootstrap: options.bootstrap,
            retention: options.retention,
            sched_settings: options.sched_settings,
            timing: TIMING,
            environment: environment.clone(),
            open_folder: options.open_folder,
            seed: rand::random(),
        })?;
        info!("core.opened name={} jobs={}", core.process_info().name, core.ledger().jobs().len());
        let event_queue = queue.clone();
        let relay = Arc::downgrade(&environment);
        let net = Net::new(
            core.process_info().clone(),
            options.clock.clone(),
            Box::new(move |event| match event {
                Event::Frame(from, Frame::Orders(orders)) => {
                    if let Some(environment) = relay.upgrade() {
                        environment.relay_orders(&from.name, orders);
                    }
                }
                event => {
                    let refusal = queue_event(&event_queue, event);
                    if let (Some((to, frame)), Some(environment)) = (refusal, relay.upgrade()) {
                        environment.send(&to, frame);
                    }
                }
            }),
        );
        let _ = environment.net.set(net.clone()); // set once, here
        net.set_max_handshakes(options.max_handshakes);
        net.add_addresses(options.seeds, true);
        let listener = task::spawn(net.clone().listen(peers));
        let (end, core_ended) = bounded(1);
        let core = thread::Builder::new()
            .name("core".to_string())
            .spawn(move || {
                let _end = end; // dropped by a panic too
                run_core(core, &inputs, &length, options.clock.as_ref());
            })
            .map_err(Error::Thread)?;
        Ok(Process { handle, net, listener, core, core_ended })
    }

    /// Returns a handle that sends requests and reports to the core.
    pub fn handle(&self) -> Handle {
        self.handle.clone()
    }

    /// Waits for the end of the core's thread, which only a panic ends before [`Process::stop`].
    /// From then on all requests are refused.
    pub async fn wait_for_core_end(&self) {
        let _ = self.core_ended.recv().await; // nothing is sent
    }

    /// Adds addresses of other processes and keeps links to them.
    pub fn add_seeds(&self, seeds: BTreeSet<SocketAddr>) {
        self.net.add_addresses(seeds, true);
    }

    /// Transfers leadership to another voter if this process leads, so that no time passes
    /// without a leader.
    pub fn transfer_leadership(&self) {
        self.handle.push(Input::TransferLeadership);
    }

    /// Ends the core and waits for its thread and all tasks of the links.
    pub async fn stop(self) {
        self.handle.push(Input::Stop);
        let core = self.core;
        let _ = task::spawn_blocking(move || core.join()).await; // a panic has been printed already
        self.net.stop().await;
        self.listener.await;
    }
}

/// Waits a limited time for a disk that fails with I/O errors. The caller opens the disk
/// next and reports an error that remains.
fn wait_for_disk(open_folder: &OpenFolder) {
    for _ in 0..DISK_OPEN_ATTEMPTS {
        match open_folder().and_then(Store::open) {
            Err(reason @ store::Error::Io { .. }) => warn!("disk.closed reason={reason:?}"),
            Ok(_) | Err(_) => return,
        }
        thread::sleep(DISK_OPEN_RETRY_INTERVAL);
    }
}

/// Loop of the core's thread: handles inputs in batches and advances the core after each.
fn run_core(
    mut core: Core,
    inputs: &mpsc::Receiver<Queued>,
    length: &AtomicUsize,
    clock: &dyn Clock,
) {
    let mut meter = Meter::new(clock.now());
    loop {
        let first = match inputs.recv_timeout(core.max_wait(TICK_INTERVAL)) {
            Ok(queued) => Some(queued),
            Err(RecvTimeoutError::Timeout) => None,
            Err(RecvTimeoutError::Disconnected) => return,
        };
        let now = clock.now();
        for Queued { at, input } in
            first.into_iter().chain(inputs.try_iter().take(MAX_BATCHED_INPUTS))
        {
            length.fetch_sub(1, Ordering::AcqRel);
            if matches!(input, Input::Stop) {
                return;
            }
            meter.record_input(now.saturating_sub(at));
            core.input(input);
        }
        core.advance();
        let ended_at = clock.now();
        meter.record_round(ended_at.saturating_sub(now), core.take_disk_time());
        meter.record_slowest(core.take_slowest());
        if let Some(window) = meter.end_window(ended_at) {
            window.publish();
        }
    }
}

/// Queues an event of a link for the core's thread. Returns the refusal, and whom to send it, of a
/// request that the queue has no room for.
fn queue_event(queue: &Queue, event: Event) -> Option<(String, Frame)> {
    let input = match event {
        Event::LinkUp(peer) => Input::LinkUp(peer),
        Event::LinkDown(peer) => Input::LinkDown(peer),
        Event::Frame(from, frame) => Input::Frame(from, frame),
    };
    let (Refusal::Full(input) | Refusal::Ended(input)) = queue.push(input).err()?;
    metrics::counter!("inputs_dropped_total").increment(1);
    match *input {
        Input::Frame(from, Frame::Request(id, _)) => {
            let refusal = mesh::Reply::NotTaken("too much waits here already".to_string());
            Some((from.name, Frame::Reply(id, refusal)))
        }
        _ => {
            warn!("core.full: the input queue is full, a link event was dropped");
            None
        }
    }
}

/// Clock, links and order dispatch of a running process.
struct ProcessEnvironment {
    clock: Arc<dyn Clock>,
    calls: Arc<dyn Calls>,
    net: OnceLock<Arc<Net>>,
    queue: Queue,
    status: Arc<RwLock<Status>>,
    known_addresses: Mutex<BTreeSet<SocketAddr>>,
    /// Replies to relayed orders that are collected for one frame, by leader.
    replies: Mutex<BTreeMap<String, Vec<(OrderId, Reply)>>>,
}

impl Environment for ProcessEnvironment {
    fn now(&self) -> Duration {
        self.clock.now()
    }

    fn wall(&self) -> SystemTime {
        self.clock.wall()
    }

    fn send(&self, to: &str, frame: Frame) -> bool {
        self.net.get().is_some_and(|net| net.send(to, &frame))
    }

    fn send_to(&self, to: &Id, frame: Frame) -> bool {
        self.net.get().is_some_and(|net| net.send_to(to, &frame))
    }

    fn send_all(&self, to: &[&str], frame: Frame) {
        if let Some(net) = self.net.get() {
            net.send_all(to, &frame);
        }
    }

    fn peers(&self) -> Vec<ProcessInfo> {
        self.net.get().map(|net| net.peers()).unwrap_or_default()
    }

    fn add_addresses(&self, addresses: BTreeSet<SocketAddr>) {
        let mut known = self.known_addresses.lock().unwrap_or_else(PoisonError::into_inner);
        if !addresses.is_subset(&known) {
            known.extend(addresses.iter().copied());
        }
        drop(known);
        if let Some(net) = self.net.get() {
            net.add_addresses(addresses, false);
        }
    }

    fn dispatch(&self, order: Order) {
        let queue = self.queue.clone();
        let calls = self.calls.clone();
        task::spawn(async move {
            let input = execute(calls.as_ref(), order).await;
            queue_reply(&queue, input).await;
        });
    }

    fn publish_status(&self, status: &Status) {
        *self.status.write().unwrap_or_else(PoisonError::into_inner) = status.clone();
    }
}

impl ProcessEnvironment {
    /// Sends each order of a leader to its worker, and the replies to the leader.
    fn relay_orders(self: &Arc<ProcessEnvironment>, leader: &str, orders: Vec<(OrderId, Order)>) {
        let now = self.clock.now();
        for (id, mut order) in orders {
            order.count_time_left(now);
            let Some(unanswered) = order.reply_with(Answer::Unknown) else { continue };
            let (environment, leader) = (self.clone(), leader.to_string());
            task::spawn(async move {
                let calls = environment.calls.clone();
                let max_time = order.max_wait() + CALL_TIMEOUT;
                let reply = match timeout(max_time, execute(calls.as_ref(), order)).await {
                    Ok(Input::WorkerReply(reply)) => reply,
                    _ => unanswered,
                };
                environment.relay_reply(leader, id, reply).await;
            });
        }
    }

    /// Adds a reply to those for a leader. The first one sends them all a little later.
    async fn relay_reply(&self, leader: String, id: OrderId, reply: Reply) {
        let is_first = {
            let mut replies = self.replies.lock().unwrap_or_else(PoisonError::into_inner);
            let collected = replies.entry(leader.clone()).or_default();
            collected.push((id, reply));
            collected.len() == 1
        };
        if !is_first {
            return;
        }
        task::sleep(REPLY_BATCH_INTERVAL).await;
        let replies = {
            let mut replies = self.replies.lock().unwrap_or_else(PoisonError::into_inner);
            replies.remove(&leader).unwrap_or_default()
        };
        // Without a link the leader takes them as lost.
        self.send(&leader, Frame::OrderReplies(replies));
    }
}

/// Sends an order and turns its answer into an input of the core.
async fn execute(calls: &dyn Calls, order: Order) -> Input {
    match order {
        Order::Poll(to, poll) => {
            let (incarnation, sent_at) = (to.incarnation.clone(), poll.sent_at);
            let answer = calls.poll(to, poll).await;
            Input::WorkerReply(Reply::Poll(PollReply { incarnation, sent_at, answer }))
        }
        Order::Start(to, start) => {
            let (incarnation, unit, run) = (to.incarnation.clone(), start.unit, start.run);
            let outcome = calls.start(to, start).await;
            Input::WorkerReply(Reply::Start(StartReply::new(incarnation, unit, run, outcome)))
        }
        Order::Stop(to, stop) => {
            let (incarnation, unit, run) = (to.incarnation.clone(), stop.unit, stop.run);
            let answer = calls.stop(to, stop).await;
            Input::WorkerReply(Reply::Stop(StopReply { incarnation, unit, run, answer }))
        }
        Order::Pace(to, pace) => {
            let (incarnation, unit, run) = (to.incarnation.clone(), pace.unit, pace.run);
            let percent = pace.percent;
            let answer = calls.pace(to, pace).await;
            Input::WorkerReply(Reply::Pace(PaceReply { incarnation, unit, run, percent, answer }))
        }
        Order::Advise(advise) => {
            let (step, workers) = (advise.step, advise.workers.clone());
            let answer = calls.advise(advise).await;
            let outcome = match &answer {
                Answer::Done(_) => "answered",
                Answer::Refused(_) | Answer::Misdirected => "refused",
                Answer::Unknown | Answer::Lost => "unanswered",
            };
            metrics::counter!("policy_calls_total", "outcome" => outcome).increment(1);
            Input::AdviseReply(AdviseReply { step, workers, answer })
        }
        Order::ListInstances(ListInstances { asked_at }) => {
            Input::InstanceList(asked_at, calls.list_instances().await)
        }
        Order::Move(order) => {
            let (instance, sent_at) = (order.instance.clone(), order.sent_at);
            let answer = calls.move_instance(order).await;
            Input::MoveReply(MoveReply { instance, sent_at, answer })
        }
        Order::Maintain(order) => {
            let (instance, wave, sent_at) = (order.instance.clone(), order.wave, order.sent_at);
            let answer = calls.maintain(order).await;
            Input::MaintenanceReply(MaintenanceReply { instance, wave, sent_at, answer })
        }
    }
}

/// Queues the answer to an order, waiting while the queue is full: an answer must not be
/// lost.
async fn queue_reply(queue: &Queue, mut input: Input) {
    loop {
        match queue.push(input) {
            Ok(()) | Err(Refusal::Ended(_)) => return,
            Err(Refusal::Full(returned)) => input = *returned,
        }
        task::sleep(Duration::from_millis(5)).await;
    }
}
