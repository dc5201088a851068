//! A core process whose deciding thread is behind.

use async_std::channel::{Sender, bounded, unbounded};
use async_std::future::timeout;
use async_std::net::TcpListener;
use async_std::task::{self, block_on};
use control::Calls;
use control::process::{Handle, Options, Process};
use futures::future::{BoxFuture, pending};
use jobs::{Incarnation, WorkerId};
use mesh::clock::System;
use mesh::{Clock, Event, Frame, LeaderRequest, Net, ProcessInfo, Reply};
use sched::Order;
use sched::instance::Instance;
use sched::order::{
    Advise, Answer, Destination, Maintenance, Move, Pace, Poll, RunLists, Start, StartOutcome, Stop,
};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;
use store::Folder;

/// Time that a relayed order has left.
const TIME_LEFT: Duration = Duration::from_millis(700);

/// Calls that are never answered; passes on until when polls may leave.
struct NoCalls {
    polls: Sender<Duration>,
}

impl Calls for NoCalls {
    fn poll(&self, _: Destination, poll: Poll) -> BoxFuture<'static, Answer<RunLists>> {
        self.polls.try_send(poll.leave_by).unwrap();
        Box::pin(pending())
    }
    fn start(&self, _: Destination, _: Start) -> BoxFuture<'static, StartOutcome> {
        Box::pin(pending())
    }
    fn stop(&self, _: Destination, _: Stop) -> BoxFuture<'static, Answer<()>> {
        Box::pin(pending())
    }
    fn pace(&self, _: Destination, _: Pace) -> BoxFuture<'static, Answer<()>> {
        Box::pin(pending())
    }
    fn advise(&self, _: Advise) -> BoxFuture<'static, Answer<Vec<(WorkerId, String)>>> {
        Box::pin(pending())
    }
    fn list_instances(&self) -> BoxFuture<'static, Answer<Vec<Instance>>> {
        Box::pin(pending())
    }
    fn move_instance(&self, _: Move) -> BoxFuture<'static, Answer<()>> {
        Box::pin(pending())
    }
    fn maintain(&self, _: Maintenance) -> BoxFuture<'static, Answer<()>> {
        Box::pin(pending())
    }
}

/// An empty disk whose writes wait while the flag is set.
struct StalledDisk(Arc<AtomicBool>);

impl StalledDisk {
    fn wait(&self) -> store::Result<()> {
        while self.0.load(Ordering::Acquire) {
            std::thread::sleep(Duration::from_millis(1));
        }
        Ok(())
    }
}

impl Folder for StalledDisk {
    fn read(&self, _: &str) -> store::Result<Option<Vec<u8>>> {
        Ok(None)
    }
    fn append(&mut self, _: &str, _: &[u8]) -> store::Result<()> {
        self.wait()
    }
    fn sync(&mut self, _: &str) -> store::Result<()> {
        self.wait()
    }
    fn replace(&mut self, _: &str, _: &[u8]) -> store::Result<()> {
        self.wait()
    }
    fn truncate(&mut self, _: &str, _: u64) -> store::Result<()> {
        self.wait()
    }
}

fn process_info(name: &str, address: SocketAddr, is_core: bool) -> ProcessInfo {
    ProcessInfo {
        name: name.to_string(),
        incarnation: 1,
        durable: is_core,
        peer_address: address,
        control_address: is_core.then_some(address),
        data_centre: None,
        relays_orders: false,
    }
}

fn options(address: SocketAddr, disk: &Arc<AtomicBool>) -> Options {
    let disk = disk.clone();
    Options {
        process_info: process_info("core", address, true),
        seeds: BTreeSet::new(),
        founders: BTreeSet::from([address]),
        bootstrap: true,
        retention: Duration::from_secs(120),
        max_handshakes: mesh::net::MAX_HANDSHAKES,
        sched_settings: sched::Settings::default(),
        open_folder: Box::new(move || Ok(Box::new(StalledDisk(disk.clone())) as Box<dyn Folder>)),
        clock: Arc::new(System),
        calls: Arc::new(NoCalls { polls: unbounded().0 }),
    }
}

/// Links a process that passes on the replies that it gets.
fn client(to: SocketAddr, replies: Sender<Reply>) -> Arc<Net> {
    let handler = move |event| {
        if let Event::Frame(_, Frame::Reply(_, reply)) = event {
            let _ = replies.try_send(reply); // one is enough
        }
    };
    let own = process_info("client", "127.0.0.1:9".parse().unwrap(), false);
    let net = Net::new(own, Arc::new(System), Box::new(handler));
    net.add_addresses([to], true);
    net
}

/// Lets the disk stand still, and waits until the core waits for it.
async fn stall(handle: &Handle, stalled: &AtomicBool) {
    stalled.store(true, Ordering::Release);
    let (duration, instances) = (Duration::from_secs(1), BTreeSet::new());
    for id in 0.. {
        let instances = instances.clone();
        let request = LeaderRequest::StartWave { id, instances, duration, max_unavailable: 1 };
        if timeout(Duration::from_millis(300), handle.request(request)).await.is_err() {
            return;
        }
        task::sleep(Duration::from_millis(10)).await;
    }
}

/// Queues notices until the queue is full, at most a number of them.
async fn fill_queue(handle: &Handle, most: usize) {
    let mut left = 0;
    while left < most && handle.worker_left(format!("w{left}")) {
        left += 1;
        assert!(left < 1_000_000, "the queue has no bound");
        if left % 1000 == 0 {
            task::sleep(Duration::from_millis(1)).await;
        }
    }
}

#[test]
fn a_request_that_the_full_queue_has_no_room_for_is_refused_at_once() {
    block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let stalled = Arc::new(AtomicBool::new(false));
        let process = Process::start(options(address, &stalled), listener).unwrap();
        stall(&process.handle(), &stalled).await;
        let (sender, replies) = bounded(1);
        let client = client(address, sender);
        while client.peers().is_empty() {
            task::sleep(Duration::from_millis(5)).await;
        }
        fill_queue(&process.handle(), usize::MAX).await;
        assert!(client.send("core", &Frame::Request(1, LeaderRequest::Config)));
        let reply = timeout(Duration::from_secs(1), replies.recv()).await;
        assert!(matches!(reply, Ok(Ok(Reply::NotTaken(_)))), "{reply:?}");
        stalled.store(false, Ordering::Release);
        client.stop().await;
        process.stop().await;
    });
}

#[test]
fn requests_leave_room_in_the_queue_for_what_a_leader_needs() {
    block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let stalled = Arc::new(AtomicBool::new(false));
        let process = Process::start(options(address, &stalled), listener).unwrap();
        let handle = process.handle();
        stall(&handle, &stalled).await;
        fill_queue(&handle, 13_000).await; // of 16,384
        let reply = timeout(Duration::from_secs(1), handle.request(LeaderRequest::Config)).await;
        assert!(matches!(reply, Ok(Reply::NotTaken(_))), "{reply:?}");
        assert!(handle.worker_left("w".to_string()), "notices are still taken");
        stalled.store(false, Ordering::Release);
        process.stop().await;
    });
}

#[test]
fn an_order_of_another_core_may_leave_for_the_time_left_from_its_arrival() {
    block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let (sender, polls) = unbounded();
        let calls = Arc::new(NoCalls { polls: sender });
        let options = Options { calls, ..options(address, &Arc::default()) };
        let process = Process::start(options, listener).unwrap();
        let leader = client(address, bounded(1).0);
        while leader.peers().is_empty() {
            task::sleep(Duration::from_millis(5)).await;
        }
        let poll = Poll {
            fence: 1,
            acknowledged_through: 0,
            lease_end_ms: None,
            max_wait: Duration::ZERO,
            sent_at: Duration::ZERO,
            leave_by: TIME_LEFT,
        };
        let to = Destination { incarnation: Incarnation::new("w", 1), address };
        let sent_at = System.now();
        assert!(leader.send("core", &Frame::Orders(vec![(1, Order::Poll(to, poll))])));
        let leave_by = timeout(Duration::from_secs(5), polls.recv()).await.unwrap().unwrap();
        let arrival = sent_at..=System.now();
        assert!(arrival.contains(&(leave_by - TIME_LEFT)), "{leave_by:?} of {arrival:?}");
        leader.stop().await;
        process.stop().await;
    });
}
