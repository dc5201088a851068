//! Links of processes that stop.

use async_std::future::timeout;
use async_std::net::TcpListener;
use async_std::task;
use mesh::clock::System;
use mesh::{Net, ProcessInfo};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

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
