//! Requests over links to a leader whose replies the test decides.

use async_std::channel::{Receiver, unbounded};
use async_std::future::timeout;
use async_std::net::TcpListener;
use async_std::task;
use edge::Gateway;
use mesh::clock::System;
use mesh::frame::RequestId;
use mesh::request::Location;
use mesh::{Event, Frame, LeaderRequest, Net, ProcessInfo, Reply, Status};
use quorum::Id;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Longest time that a test waits for an event.
const PATIENCE: Duration = Duration::from_secs(10);
/// Longest time that a client of the edge waits.
const CLIENT_TIMEOUT: Duration = Duration::from_millis(1000);

fn process(name: &str, incarnation: u64, address: SocketAddr) -> ProcessInfo {
    ProcessInfo {
        name: name.to_string(),
        incarnation,
        durable: false,
        peer_address: address,
        control_address: (name == "core").then_some(address),
        data_centre: None,
        relays_orders: false,
    }
}

/// Starts a core process that says that it leads and reports the ids of the requests it receives.
async fn start_leader() -> (Arc<Net>, SocketAddr, Receiver<RequestId>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let (requests, received) = unbounded();
    let handler = move |event| {
        if let Event::Frame(_, Frame::Request(id, _)) = event {
            requests.try_send(id).unwrap();
        }
    };
    let net = Net::new(process("core", 1, address), Arc::new(System), Box::new(handler));
    task::spawn(net.clone().listen(listener));
    (net, address, received)
}

/// Starts an edge process and waits until it knows the leader.
async fn start_edge(leader: &Net, address: SocketAddr, incarnation: u64) -> Arc<Gateway> {
    let info = process("edge", incarnation, "127.0.0.1:9".parse().unwrap());
    let gateway = Gateway::start(info, Arc::new(System), [address].into());
    let status = Status {
        term: 1,
        leader: Some(Id::new("core", 1)),
        is_leader: true,
        configured: true,
        ..Status::default()
    };
    let is_ready = async {
        while !gateway.is_ready() || leader.peers().iter().all(|p| p.incarnation != incarnation) {
            leader.send("edge", &Frame::Status(status.clone()));
            task::sleep(Duration::from_millis(10)).await;
        }
    };
    timeout(PATIENCE, is_ready).await.expect("the edge knows the leader");
    gateway
}

fn submit(gateway: &Arc<Gateway>, path: &str) -> task::JoinHandle<Reply> {
    let location = Location { path: path.to_string(), ..Location::default() };
    let request = LeaderRequest::Submit { location, definition: Box::default() };
    let gateway = gateway.clone();
    task::spawn(async move { gateway.request(request, CLIENT_TIMEOUT).await })
}

#[test]
fn a_reply_to_an_earlier_process_does_not_acknowledge_a_job_that_was_never_taken() {
    task::block_on(async {
        let (leader, address, requests) = start_leader().await;
        let edge = start_edge(&leader, address, 1).await;
        submit(&edge, "/earlier");
        let earlier = timeout(PATIENCE, requests.recv()).await.unwrap().unwrap();
        edge.stop().await;
        let edge = start_edge(&leader, address, 2).await;
        let reply = submit(&edge, "/later");
        timeout(PATIENCE, requests.recv()).await.unwrap().unwrap();
        leader.send("edge", &Frame::Reply(earlier, Reply::Done));
        let reply = timeout(PATIENCE, reply).await.unwrap();
        assert!(
            matches!(reply, Reply::Unknown(_)),
            "{reply:?}: the leader has answered only the earlier process"
        );
        edge.stop().await;
        leader.stop().await;
    });
}
