//! A core process: the thread of its [`Core`], its links and its calls.

use crate::calls::Calls;
use crate::core::{Core, Environment, Input, OpenFolder, ReplyTo, Setup};
use async_std::channel::bounded;
use async_std::future::timeout;
use async_std::net::TcpListener;
use async_std::task::{self, JoinHandle};
use jobs::{Decision, WorkerId};
use log::{info, warn};
use mesh::{Clock, Event, Frame, LeaderRequest, Net, ProcessInfo, Reply, Status};
use sched::Report;
use sched::order::Order;
use sched::scheduler::{
    AdviseReply, MaintenanceReply, MoveReply, PaceReply, PollReply, StartReply, StopReply,
};
use std::collections::BTreeSet;
use std::io;
use std::net::SocketAddr;
use std::sync::mpsc::{Receiver, RecvTimeoutError, SyncSender, TrySendError, sync_channel};
use std::sync::{Arc, Mutex, OnceLock, PoisonError, RwLock};
use std::thread;
use std::time::{Duration, SystemTime};
use store::Store;

/// Result of starting a core process.
pub type Result<T> = std::result::Result<T, Error>;

/// Inputs that wait for the core's thread; beyond it, senders are told to wait.
const INPUT_QUEUE: usize = 16_384;
/// Longest wait of the thread between two looks at the clock.
const TICK: Duration = Duration::from_millis(25);
/// Inputs taken together before their changes are synced.
const BATCH_INPUTS: usize = 1024;
/// Spans of the agreement: an election has to outlast a few slow syncs of the disk
/// (30 times 6 ms each) and is most of the time without a leader.
const TIMING: quorum::Timing = quorum::Timing {
    heartbeat_interval: Duration::from_millis(200),
    learner_heartbeat_interval: Duration::from_millis(500),
    election_timeout: Duration::from_millis(900),
    lease_duration: Duration::from_millis(750),
};
/// Tries to open the disk at the start, and the pause after each: a disk that is
/// full or hangs for some seconds must not end the process.
const DISK_TRIES: usize = 20;
/// Pause after a try to open the disk.
const DISK_PAUSE: Duration = Duration::from_millis(500);
/// Longest wait for the reply to a request that names no deadline.
pub const REQUEST_TIMEOUT: Duration = Duration::from_millis(1800);

/// Why a core process can't start.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// An address can't be listened on.
    #[error("{field}: cannot listen on {address}: {source}")]
    Listen {
        /// Path of the setting.
        field: &'static str,
        /// The address.
        address: SocketAddr,
        /// The operating system's reason.
        source: io::Error,
    },
    /// The data folder can't be used.
    #[error("data_folder: {0}")]
    Store(#[from] store::Error),
    /// The operating system gives no thread.
    #[error("cannot start a thread: {0}")]
    Thread(io::Error),
}

/// What a core process starts with.
pub struct Options {
    /// Who it is; the number of its data folder is filled in.
    pub hello: ProcessInfo,
    /// Addresses of other processes to begin with.
    pub seeds: BTreeSet<SocketAddr>,
    /// Control addresses of the founding voters.
    pub founders: BTreeSet<SocketAddr>,
    /// Whether the whole system starts for the first time.
    pub bootstrap: bool,
    /// How long jobs are kept after their end.
    pub retention: Duration,
    /// Bounds of the scheduler.
    pub sched_settings: sched::Settings,
    /// Opens the data folder.
    pub open_folder: OpenFolder,
    /// Source of time.
    pub clock: Arc<dyn Clock>,
    /// Carries orders out.
    pub calls: Arc<dyn Calls>,
}

/// Passes requests and reports to the core.
#[derive(Clone)]
pub struct Handle {
    inputs: SyncSender<Input>,
    status: Arc<RwLock<Status>>,
}

impl Handle {
    /// Asks for something and waits for the reply.
    pub async fn request(&self, request: LeaderRequest) -> Reply {
        let changes = request.is_write();
        let (sender, reply) = bounded(1);
        if !self.push(Input::Request(request, ReplyTo::Local(sender))) {
            return Reply::NotTaken("too much waits here already".to_string());
        }
        match timeout(REQUEST_TIMEOUT, reply.recv()).await {
            Ok(Ok(reply)) => reply,
            _ if changes => Reply::Unknown("no reply in time".to_string()),
            _ => Reply::NotTaken("no reply in time".to_string()),
        }
    }

    /// Takes in a worker's report. Tells whether it was taken.
    pub fn report(&self, report: Report) -> bool {
        self.push(Input::Report(report))
    }

    /// Takes in that a worker's present life ends. Tells whether it was taken.
    pub fn worker_left(&self, worker: WorkerId) -> bool {
        self.push(Input::WorkerLeft(worker))
    }

    /// State of the core as text.
    pub async fn dump(&self) -> Option<String> {
        let (sender, text) = bounded(1);
        self.push(Input::Dump(sender));
        timeout(REQUEST_TIMEOUT, text.recv()).await.ok()?.ok()
    }

    /// Decisions about a subject, or all for an empty one, as far as this process
    /// knows them.
    pub async fn explain(&self, subject: String) -> Option<Vec<Decision>> {
        let (sender, decisions) = bounded(1);
        self.push(Input::Explain(subject, sender));
        timeout(REQUEST_TIMEOUT, decisions.recv()).await.ok()?.ok()
    }

    /// Where the core stands.
    pub fn status(&self) -> Status {
        self.status.read().unwrap_or_else(PoisonError::into_inner).clone()
    }

    fn push(&self, input: Input) -> bool {
        match self.inputs.try_send(input) {
            Ok(()) => true,
            Err(TrySendError::Full(_)) => {
                metrics::counter!("inputs_dropped_total").increment(1);
                false
            }
            Err(TrySendError::Disconnected(_)) => false,
        }
    }
}

/// A running core process.
pub struct Process {
    handle: Handle,
    net: Arc<Net>,
    listener: JoinHandle<()>,
    core: thread::JoinHandle<()>,
}

impl Process {
    /// Reads the disk and starts to take part.
    pub fn start(options: Options, peers: TcpListener) -> Result<Process> {
        let (inputs, queue) = sync_channel(INPUT_QUEUE);
        let status = Arc::new(RwLock::default());
        let handle = Handle { inputs: inputs.clone(), status: status.clone() };
        let surroundings = Arc::new(Surroundings {
            clock: options.clock.clone(),
            calls: options.calls,
            net: OnceLock::new(),
            inputs: inputs.clone(),
            status,
            learnt: Mutex::default(),
        });
        wait_for_disk(&options.open_folder);
        let core = Core::open(Setup {
            hello: options.hello,
            founders: options.founders,
            bootstrap: options.bootstrap,
            retention: options.retention,
            sched_settings: options.sched_settings,
            timing: TIMING,
            environment: surroundings.clone(),
            open_folder: options.open_folder,
            seed: rand::random(),
        })?;
        info!("core.opened name={} jobs={}", core.hello().name, core.ledger().jobs().len());
        let sink = inputs.clone();
        let net = Net::new(
            core.hello().clone(),
            options.clock,
            Box::new(move |event| pass_on(&sink, event)),
        );
        let _ = surroundings.net.set(net.clone()); // set once, here
        net.add_addresses(options.seeds, true);
        let listener = task::spawn(net.clone().listen(peers));
        let core = thread::Builder::new()
            .name("core".to_string())
            .spawn(move || run(core, &queue))
            .map_err(Error::Thread)?;
        Ok(Process { handle, net, listener, core })
    }

    /// Passes requests and reports to the core.
    pub fn handle(&self) -> Handle {
        self.handle.clone()
    }

    /// Learns new seeds.
    pub fn add_seeds(&self, seeds: BTreeSet<SocketAddr>) {
        self.net.add_addresses(seeds, true);
    }

    /// Hands a lead over, so that no time passes without a leader.
    pub fn transfer_leadership(&self) {
        self.handle.push(Input::TransferLeadership);
    }

    /// Ends the core and joins everything that was spawned.
    pub async fn stop(self) {
        self.handle.push(Input::Stop);
        let core = self.core;
        let _ = task::spawn_blocking(move || core.join()).await; // it has panicked loudly if so
        self.net.stop().await;
        self.listener.await;
    }
}

/// Waits some time for a disk that takes nothing; what it says then is reported by
/// the one who opens it next.
fn wait_for_disk(open_folder: &OpenFolder) {
    for _ in 0..DISK_TRIES {
        match open_folder().and_then(Store::open) {
            Err(reason @ store::Error::Io { .. }) => warn!("disk.closed reason={reason:?}"),
            Ok(_) | Err(_) => return,
        }
        thread::sleep(DISK_PAUSE);
    }
}

fn run(mut core: Core, inputs: &Receiver<Input>) {
    loop {
        match inputs.recv_timeout(TICK) {
            Ok(Input::Stop) | Err(RecvTimeoutError::Disconnected) => return,
            Ok(input) => core.input(input),
            Err(RecvTimeoutError::Timeout) => {}
        }
        for input in inputs.try_iter().take(BATCH_INPUTS) {
            if matches!(input, Input::Stop) {
                return;
            }
            core.input(input);
        }
        core.advance();
    }
}

fn pass_on(inputs: &SyncSender<Input>, event: Event) {
    let input = match event {
        Event::Up(hello) => Input::Up(hello),
        Event::Down(hello) => Input::Down(hello),
        Event::Frame(from, frame) => Input::Frame(from, frame),
    };
    if inputs.try_send(input).is_err() {
        metrics::counter!("inputs_dropped_total").increment(1);
        warn!("core.full: an event of a link is dropped");
    }
}

/// The process around the core.
struct Surroundings {
    clock: Arc<dyn Clock>,
    calls: Arc<dyn Calls>,
    net: OnceLock<Arc<Net>>,
    inputs: SyncSender<Input>,
    status: Arc<RwLock<Status>>,
    learnt: Mutex<BTreeSet<SocketAddr>>,
}

impl Environment for Surroundings {
    fn now(&self) -> Duration {
        self.clock.now()
    }

    fn wall(&self) -> SystemTime {
        self.clock.wall()
    }

    fn send(&self, to: &str, frame: Frame) -> bool {
        self.net.get().is_some_and(|net| net.send(to, frame))
    }

    fn peers(&self) -> Vec<ProcessInfo> {
        self.net.get().map(|net| net.peers()).unwrap_or_default()
    }

    fn add_addresses(&self, addresses: BTreeSet<SocketAddr>) {
        let mut learnt = self.learnt.lock().unwrap_or_else(PoisonError::into_inner);
        if !addresses.is_subset(&learnt) {
            learnt.extend(addresses.iter().copied());
        }
        drop(learnt);
        if let Some(net) = self.net.get() {
            net.add_addresses(addresses, false);
        }
    }

    fn dispatch(&self, order: Order) {
        let inputs = self.inputs.clone();
        let calls = self.calls.clone();
        task::spawn(async move {
            let input = carry_out(calls.as_ref(), order).await;
            push(&inputs, input).await;
        });
    }

    fn publish_status(&self, status: &Status) {
        *self.status.write().unwrap_or_else(PoisonError::into_inner) = status.clone();
    }
}

async fn carry_out(calls: &dyn Calls, order: Order) -> Input {
    match order {
        Order::Poll(to, poll) => {
            let (incarnation, sent_at) = (to.incarnation.clone(), poll.sent_at);
            let answer = calls.poll(to, poll).await;
            Input::PollReply(PollReply { incarnation, sent_at, answer })
        }
        Order::Start(to, start) => {
            let (incarnation, unit, run) = (to.incarnation.clone(), start.unit, start.run);
            let answer = calls.start(to, start).await;
            Input::StartReply(StartReply { incarnation, unit, run, answer })
        }
        Order::Stop(to, stop) => {
            let (incarnation, unit, run) = (to.incarnation.clone(), stop.unit, stop.run);
            let answer = calls.stop(to, stop).await;
            Input::StopReply(StopReply { incarnation, unit, run, answer })
        }
        Order::Pace(to, pace) => {
            let (incarnation, unit, run) = (to.incarnation.clone(), pace.unit, pace.run);
            let percent = pace.percent;
            let answer = calls.pace(to, pace).await;
            Input::PaceReply(PaceReply { incarnation, unit, run, percent, answer })
        }
        Order::Advise(advise) => {
            let (step, workers) = (advise.step, advise.workers.clone());
            let answer = calls.advise(advise).await;
            Input::AdviseReply(AdviseReply { step, workers, answer })
        }
        Order::ListInstances => Input::InstanceList(calls.list_instances().await),
        Order::Move(order) => {
            let instance = order.instance.clone();
            let answer = calls.move_instance(order).await;
            Input::MoveReply(MoveReply { instance, answer })
        }
        Order::Maintain(order) => {
            let (instance, wave) = (order.instance.clone(), order.wave);
            let answer = calls.maintain(order).await;
            Input::MaintenanceReply(MaintenanceReply { instance, wave, answer })
        }
    }
}

/// Waits for room: the answer of a worker must not be lost.
async fn push(inputs: &SyncSender<Input>, mut input: Input) {
    loop {
        match inputs.try_send(input) {
            Ok(()) | Err(TrySendError::Disconnected(_)) => return,
            Err(TrySendError::Full(back)) => input = back,
        }
        task::sleep(Duration::from_millis(5)).await;
    }
}
