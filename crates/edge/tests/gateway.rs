//! Requests on their way to a leader that is slow, that is replaced, or whose replies are lost.

use async_std::future::timeout;
use async_std::net::TcpListener;
use async_std::task::{self, block_on};
use edge::Gateway;
use mesh::clock::System;
use mesh::frame::RequestId;
use mesh::request::Location;
use mesh::{Event, Frame, LeaderRequest, Net, ProcessInfo, Reply, Status};
use quorum::Id;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, OnceLock};
use std::time::{Duration, Instant};

/// Time that the client of a request waits.
const DEADLINE: Duration = Duration::from_millis(3000);

/// What a core process does with the request that it receives as its n-th one, counted from 0.
type Script = Box<dyn Fn(usize) -> Answer + Send + Sync>;

enum Answer {
    Never,
    After(Duration, Reply),
}

/// A core process that states what it is told to, and answers by a script.
struct FakeCore {
    net: Arc<Net>,
    address: SocketAddr,
    requests: Arc<AtomicUsize>,
    edge: Arc<Mutex<Option<String>>>,
    listening: task::JoinHandle<()>,
}

fn process(name: &str, address: SocketAddr, is_core: bool) -> ProcessInfo {
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

fn status(term: u64, leader: &str, own: &str) -> Status {
    Status {
        term,
        leader: Some(Id::new(leader, 1)),
        is_leader: leader == own,
        configured: true,
        ..Status::default()
    }
}

impl FakeCore {
    async fn start(name: &str, status: Status, script: Script) -> FakeCore {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let own: Arc<OnceLock<Arc<Net>>> = Arc::default();
        let requests = Arc::new(AtomicUsize::new(0));
        let edge: Arc<Mutex<Option<String>>> = Arc::default();
        let (handler_net, counter, linked) = (own.clone(), requests.clone(), edge.clone());
        let handler = move |event| {
            let Some(net) = handler_net.get().cloned() else { return };
            match event {
                Event::LinkUp(peer) => {
                    net.send(&peer.name, &Frame::Status(status.clone()));
                    *linked.lock().unwrap() = Some(peer.name);
                }
                Event::Frame(from, Frame::Request(id, _)) => {
                    answer(net, from.name, id, script(counter.fetch_add(1, Ordering::AcqRel)));
                }
                _ => {}
            }
        };
        let net = Net::new(process(name, address, true), Arc::new(System), Box::new(handler));
        let _ = own.set(net.clone());
        let listening = task::spawn(net.clone().listen(listener));
        FakeCore { net, address, requests, edge, listening }
    }

    fn request_count(&self) -> usize {
        self.requests.load(Ordering::Acquire)
    }

    /// Tells the edge another status.
    fn tell(&self, status: Status) {
        let edge = self.edge.lock().unwrap().clone().expect("the edge is linked");
        assert!(self.net.send(&edge, &Frame::Status(status)));
    }

    async fn stop(self) {
        self.net.stop().await;
        self.listening.await;
    }
}

fn answer(net: Arc<Net>, to: String, id: RequestId, answer: Answer) {
    let Answer::After(delay, reply) = answer else { return };
    task::spawn(async move {
        task::sleep(delay).await;
        net.send(&to, &Frame::Reply(id, reply));
    });
}

fn never() -> Script {
    Box::new(|_| Answer::Never)
}

fn at_once(reply: Reply) -> Script {
    Box::new(move |_| Answer::After(Duration::ZERO, reply.clone()))
}

/// Starts a gateway that is linked to the cores and knows of a configuration.
async fn gateway(cores: &[&FakeCore]) -> Arc<Gateway> {
    let own = process("edge", "127.0.0.1:9".parse().unwrap(), false);
    let addresses: BTreeSet<SocketAddr> = cores.iter().map(|core| core.address).collect();
    let gateway = Gateway::start(own, Arc::new(System), addresses);
    let linked = async {
        while cores.iter().any(|core| core.edge.lock().unwrap().is_none()) || !gateway.is_ready() {
            task::sleep(Duration::from_millis(5)).await;
        }
    };
    timeout(Duration::from_secs(10), linked).await.expect("the gateway is linked to the cores");
    task::sleep(Duration::from_millis(50)).await; // for the statuses of the others
    gateway
}

fn question() -> LeaderRequest {
    let path = "/queue/0123456789abcdef".to_string();
    LeaderRequest::State(Location { host: "h".to_string(), path, key: None })
}

fn running() -> Reply {
    Reply::State(jobs::State::Running)
}

#[test]
fn a_reply_that_comes_late_is_passed_on() {
    block_on(async {
        let script = |count| match count {
            0 => Answer::After(Duration::from_millis(1800), running()),
            _ => Answer::Never,
        };
        let leader = FakeCore::start("a", status(2, "a", "a"), Box::new(script)).await;
        let gateway = gateway(&[&leader]).await;
        assert_eq!(gateway.request(question(), DEADLINE).await, running());
        gateway.stop().await;
        leader.stop().await;
    });
}

#[test]
fn a_request_without_a_reply_goes_to_the_next_leader_as_soon_as_it_is_known() {
    block_on(async {
        let old = FakeCore::start("a", status(2, "a", "a"), never()).await;
        let new = FakeCore::start("b", status(2, "a", "b"), at_once(running())).await;
        let gateway = gateway(&[&old, &new]).await;
        let started_at = Instant::now();
        let asking = task::spawn({
            let gateway = gateway.clone();
            async move { gateway.request(question(), DEADLINE).await }
        });
        task::sleep(Duration::from_millis(100)).await;
        new.tell(status(3, "b", "b"));
        assert_eq!(asking.await, running());
        assert!(started_at.elapsed() < Duration::from_millis(600), "{:?}", started_at.elapsed());
        gateway.stop().await;
        old.stop().await;
        new.stop().await;
    });
}

#[test]
fn a_request_whose_replies_do_not_arrive_is_sent_through_a_follower() {
    block_on(async {
        let leader = FakeCore::start("a", status(2, "a", "a"), never()).await;
        let follower = FakeCore::start("b", status(2, "a", "b"), at_once(running())).await;
        let gateway = gateway(&[&leader, &follower]).await;
        assert_eq!(gateway.request(question(), DEADLINE).await, running());
        assert_eq!(leader.request_count(), 1);
        gateway.stop().await;
        leader.stop().await;
        follower.stop().await;
    });
}

#[test]
fn a_request_that_one_follower_cannot_forward_is_sent_through_another() {
    block_on(async {
        let refusal = at_once(Reply::NotTaken("no link to the leader c".to_string()));
        let first = FakeCore::start("a", status(2, "c", "a"), refusal).await;
        let second = FakeCore::start("b", status(2, "c", "b"), at_once(running())).await;
        let gateway = gateway(&[&first, &second]).await;
        assert_eq!(gateway.request(question(), DEADLINE).await, running());
        gateway.stop().await;
        first.stop().await;
        second.stop().await;
    });
}

#[test]
fn requests_that_are_given_up_leave_nothing_behind() {
    block_on(async {
        let leader = FakeCore::start("a", status(2, "a", "a"), never()).await;
        let gateway = gateway(&[&leader]).await;
        let reply = gateway.request(question(), Duration::from_millis(400)).await;
        assert!(matches!(reply, Reply::NotTaken(_)), "{reply:?}");
        assert_eq!(gateway.pending_count(), 0);
        gateway.stop().await;
        leader.stop().await;
    });
}
