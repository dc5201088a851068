//! Links between processes that stop, that read too slowly, or that were linked for long.

use async_std::future::timeout;
use async_std::net::{TcpListener, TcpStream};
use async_std::task;
use mesh::clock::System;
use mesh::{Clock, Event, Frame, Net, ProcessInfo, Reply, Status, queue};
use quorum::Id;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, SystemTime};
use tokio_tungstenite::tungstenite::Message;
use tokio_util::compat::FuturesAsyncReadCompatExt;

/// Longest time that a test waits for an event.
const PATIENCE: Duration = Duration::from_secs(10);

fn process(name: &str, address: SocketAddr) -> ProcessInfo {
    ProcessInfo {
        name: name.to_string(),
        incarnation: 1,
        durable: false,
        peer_address: address,
        control_address: None,
        data_centre: None,
        relays_orders: false,
    }
}

async fn listener() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    (listener, address)
}

fn net(name: &str, address: SocketAddr) -> Arc<Net> {
    Net::new(process(name, address), Arc::new(System), Box::new(|_| {}))
}

async fn wait_until(what: &str, is_reached: impl Fn() -> bool) {
    let reached = async {
        while !is_reached() {
            task::sleep(Duration::from_millis(5)).await;
        }
    };
    assert!(timeout(PATIENCE, reached).await.is_ok(), "{what}: not within {PATIENCE:?}");
}

/// The system's clock, ahead by a number of seconds.
#[derive(Default)]
struct Ahead(AtomicU64);

impl Clock for Ahead {
    fn now(&self) -> Duration {
        System.now() + Duration::from_secs(self.0.load(Ordering::Acquire))
    }

    fn wall(&self) -> SystemTime {
        SystemTime::now()
    }
}

#[test]
fn a_process_that_was_linked_for_long_is_dialled_again_when_the_link_is_lost() {
    task::block_on(async {
        let (_, own_address) = listener().await;
        let (peer_listener, peer_address) = listener().await;
        let clock = Arc::new(Ahead::default());
        let own = Net::new(process("own", own_address), clock.clone(), Box::new(|_| {}));
        let peer = net("peer", peer_address);
        let listening = task::spawn(peer.clone().listen(peer_listener));
        own.add_addresses([peer_address], false);
        wait_until("the link is up", || !own.peers().is_empty()).await;
        clock.0.store(3600, Ordering::Release);
        peer.stop().await;
        listening.await;
        wait_until("the link is lost", || own.peers().is_empty()).await;
        task::sleep(Duration::from_millis(600)).await;
        let peer = net("peer", peer_address);
        let peer_listener = TcpListener::bind(peer_address).await.unwrap();
        let listening = task::spawn(peer.clone().listen(peer_listener));
        wait_until("the link is up again", || !own.peers().is_empty()).await;
        own.stop().await;
        peer.stop().await;
        listening.await;
    });
}

#[test]
fn a_process_that_stops_takes_no_link_that_comes_up_late() {
    task::block_on(async {
        let (_, own_address) = listener().await;
        let (late_listener, late_address) = listener().await;
        let stopping = net("stopping", own_address);
        stopping.add_addresses([late_address], true);
        // The peer is frozen: the kernel takes the connection, and nothing answers on it.
        task::sleep(Duration::from_millis(200)).await;
        let stopped = task::spawn({
            let net = stopping.clone();
            async move { net.stop().await }
        });
        task::sleep(Duration::from_millis(100)).await;
        let late = net("late", late_address);
        let listening = task::spawn(late.clone().listen(late_listener));
        assert!(timeout(PATIENCE, stopped).await.is_ok(), "the process does not stop");
        assert!(stopping.peers().is_empty());
        late.stop().await;
        listening.await;
    });
}

#[test]
fn a_frame_for_an_incarnation_that_is_gone_is_not_sent_to_its_successor() {
    task::block_on(async {
        let (own_listener, own_address) = listener().await;
        let own = net("own", own_address);
        let listening = task::spawn(own.clone().listen(own_listener));
        let (received, frames) = async_std::channel::unbounded();
        let handler = move |event| {
            if let Event::Frame(_, frame) = event {
                received.try_send(frame).unwrap();
            }
        };
        let successor = process("peer", "127.0.0.1:9".parse().unwrap());
        let present = successor.id();
        let successor = Net::new(successor, Arc::new(System), Box::new(handler));
        successor.add_addresses([own_address], true);
        wait_until("the successor is linked", || !own.peers().is_empty()).await;
        let gone = Id::new("peer", present.incarnation + 1);
        assert!(!own.send_to(&gone, &Frame::Reply(1, Reply::Done)));
        assert!(own.send_to(&present, &Frame::Reply(2, Reply::Done)));
        let frame = timeout(PATIENCE, frames.recv()).await.unwrap().unwrap();
        assert_eq!(frame, Frame::Reply(2, Reply::Done));
        successor.stop().await;
        own.stop().await;
        listening.await;
    });
}

/// Links a peer that sends pings but reads nothing after its first frame.
async fn link_slow_peer(address: SocketAddr, name: &str) -> task::JoinHandle<()> {
    use futures::{SinkExt, StreamExt};
    let stream = TcpStream::connect(address).await.unwrap();
    let url = format!("ws://{address}/");
    let (mut socket, _) = tokio_tungstenite::client_async(url, stream.compat()).await.unwrap();
    let hello = Frame::Hello(process(name, "127.0.0.1:9".parse().unwrap()));
    socket.send(Message::Binary(hello.encode().into())).await.unwrap();
    socket.next().await.unwrap().unwrap();
    task::spawn(async move {
        while socket.send(Message::Binary(Frame::Ping.encode().into())).await.is_ok() {
            task::sleep(Duration::from_millis(50)).await;
        }
    })
}

/// A frame of about a megabyte.
fn large_frame() -> Frame {
    let data = vec![7; 1 << 20];
    let snapshot = quorum::Snapshot { index: 1, term: 1, data, ..quorum::Snapshot::default() };
    let install = quorum::message::InstallSnapshot { term: 1, snapshot, sent_at: Duration::ZERO };
    Frame::Quorum(quorum::Message::InstallSnapshot(install))
}

#[test]
fn a_link_whose_peer_reads_nothing_ends_before_it_takes_the_memory() {
    task::block_on(async {
        let (own_listener, own_address) = listener().await;
        let own = net("own", own_address);
        let listening = task::spawn(own.clone().listen(own_listener));
        let slow = link_slow_peer(own_address, "slow").await;
        wait_until("the link is up", || !own.peers().is_empty()).await;
        let frame = large_frame();
        let mut peak = 0;
        for _ in 0..64 {
            own.send("slow", &frame);
            peak = peak.max(own.queued_bytes());
            task::sleep(Duration::from_millis(1)).await;
        }
        assert!(peak <= queue::MAX_LINK_BYTES + (2 << 20), "{peak} bytes are queued");
        wait_until("the link has ended", || own.peers().is_empty()).await;
        wait_until("its queue is freed", || own.queued_bytes() == 0).await;
        own.stop().await;
        listening.await;
        slow.await;
    });
}

#[test]
fn many_slow_links_together_stay_within_one_bound() {
    task::block_on(async {
        let (own_listener, own_address) = listener().await;
        let own = net("own", own_address);
        let listening = task::spawn(own.clone().listen(own_listener));
        let names: Vec<String> = (0..12).map(|number| format!("slow-{number}")).collect();
        let mut slow = Vec::new();
        for name in &names {
            slow.push(link_slow_peer(own_address, name).await);
        }
        wait_until("all links are up", || own.peers().len() == names.len()).await;
        let receivers: Vec<&str> = names.iter().map(String::as_str).collect();
        let frame = large_frame();
        let mut peak = 0;
        for _ in 0..7 {
            own.send_all(&receivers, &frame);
            peak = peak.max(own.queued_bytes());
            task::sleep(Duration::from_millis(20)).await;
        }
        let bound = queue::MAX_TOTAL_BYTES + names.len() * (frame.encode().len() + 1024);
        assert!(peak <= bound, "{peak} bytes are queued on {} links", names.len());
        wait_until("queues shrink", || own.queued_bytes() <= queue::MAX_TOTAL_BYTES).await;
        assert!(!own.peers().is_empty(), "only the fullest links end");
        own.stop().await;
        listening.await;
        for peer in slow {
            peer.await;
        }
    });
}

#[test]
fn a_panic_of_the_event_handler_leaves_no_dead_link() {
    task::block_on(async {
        let (own_listener, own_address) = listener().await;
        let handler = |event| assert!(!matches!(event, Event::Frame(..)), "no frame is expected");
        let net = Net::new(process("own", own_address), Arc::new(System), Box::new(handler));
        let listening = task::spawn(net.clone().listen(own_listener));
        let (_, peer_address) = listener().await;
        let peer = self::net("peer", peer_address);
        peer.add_addresses([own_address], true);
        wait_until("the link is up", || peer.send("own", &Frame::Status(Status::default()))).await;
        wait_until("the link goes down", || net.peers().is_empty()).await;
        wait_until("the peer dials again", || !net.peers().is_empty()).await;
        peer.stop().await;
        wait_until("the link goes down", || net.peers().is_empty()).await;
        net.stop().await;
        listening.await;
    });
}

/// Returns the frames that a process reports and that were sent to it in a row, when it stands
/// still for some seconds: before it reads the first one, or while it handles that.
async fn frames_around_a_halt(seconds: u64, in_handler: bool) -> Vec<Frame> {
    let (own_listener, own_address) = listener().await;
    let clock = Arc::new(Ahead::default());
    let (reported, frames) = async_std::channel::unbounded();
    let handler = {
        let clock = clock.clone();
        move |event| {
            if let Event::Frame(_, frame) = event {
                if in_handler {
                    clock.0.store(seconds, Ordering::Release);
                }
                reported.try_send(frame).unwrap();
            }
        }
    };
    let own = Net::new(process("own", own_address), clock.clone(), Box::new(handler));
    let listening = task::spawn(own.clone().listen(own_listener));
    let peer = net("peer", "127.0.0.1:9".parse().unwrap());
    peer.add_addresses([own_address], true);
    wait_until("the link is up", || !peer.peers().is_empty() && !own.peers().is_empty()).await;
    if !in_handler {
        clock.0.store(seconds, Ordering::Release);
    }
    assert!(peer.send("own", &Frame::Reply(1, Reply::Done)));
    // After a halt the first frame ends the link, maybe before the second one is queued.
    let is_queued = peer.send("own", &Frame::Reply(2, Reply::Done));
    assert!(is_queued || seconds > 0);
    task::sleep(Duration::from_millis(100)).await;
    peer.stop().await;
    own.stop().await;
    listening.await;
    std::iter::from_fn(|| frames.try_recv().ok()).collect()
}

#[test]
fn frames_that_waited_while_the_process_stood_still_are_not_reported() {
    let [first, second] = [1, 2].map(|id| Frame::Reply(id, Reply::Done));
    task::block_on(async {
        assert_eq!(frames_around_a_halt(0, false).await, [first.clone(), second.clone()]);
        assert_eq!(frames_around_a_halt(2, false).await, []);
        assert_eq!(frames_around_a_halt(0, true).await, [first.clone(), second]);
        assert_eq!(frames_around_a_halt(2, true).await, [first]);
    });
}

/// Guards against strangers that take all places of handshakes, and keep them.
#[test]
fn strangers_do_not_keep_peers_out() {
    task::block_on(async {
        let (listener, address) = listener().await;
        let accepting = net("accepting", address);
        accepting.set_max_handshakes(4);
        let listening = task::spawn(accepting.clone().listen(listener));
        let mut strangers = Vec::new();
        for _ in 0..20 {
            strangers.push(TcpStream::connect(address).await.unwrap());
        }
        let (_other, own_address) = self::listener().await;
        let dialling = net("dialling", own_address);
        dialling.add_addresses([address], true);
        wait_until("the peer is linked", || accepting.peers().len() == 1).await;
        dialling.stop().await;
        accepting.stop().await;
        listening.await;
    });
}
