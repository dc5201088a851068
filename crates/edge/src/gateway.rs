//! Passing requests on to the leader, again to the next one when it is lost.

use crate::leaders::{Action, Leaders};
use async_std::channel::{Sender, bounded};
use async_std::future::timeout;
use async_std::task;
use log::info;
use mesh::frame::RequestId;
use mesh::{Clock, Event, Frame, LeaderRequest, Net, ProcessInfo, Reply};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, OnceLock, PoisonError};
use std::time::Duration;

/// Pause before another look for a leader.
const PAUSE: Duration = Duration::from_millis(25);
/// Time kept back from a client's deadline for the answer to reach it.
const RESERVE: Duration = Duration::from_millis(60);
/// Longest wait for one reply: a sync and a round trip take a tenth of it.
const REPLY_TIMEOUT: Duration = Duration::from_millis(1200);
/// Requests that wait here at one time; each may hold its body.
const MAX_WAITING: usize = 2000;

struct Waiting {
    peer: String,
    reply: Sender<Option<Reply>>,
}

struct State {
    leaders: Leaders,
    waiting: BTreeMap<RequestId, Waiting>,
    next: RequestId,
}

/// The way to the leader.
pub struct Gateway {
    clock: Arc<dyn Clock>,
    net: OnceLock<Arc<Net>>,
    state: Mutex<State>,
}

impl Gateway {
    /// Starts to look for a leader by the seeds.
    pub fn start(
        hello: ProcessInfo,
        clock: Arc<dyn Clock>,
        seeds: BTreeSet<SocketAddr>,
    ) -> Arc<Gateway> {
        let leaders = Leaders::new(clock.now());
        let state = Mutex::new(State { leaders, waiting: BTreeMap::new(), next: 1 });
        let gateway = Arc::new(Gateway { clock: clock.clone(), net: OnceLock::new(), state });
        let own = Arc::downgrade(&gateway);
        let sink = move |event| {
            if let Some(gateway) = own.upgrade() {
                gateway.take(event);
            }
        };
        let net = Net::new(hello, clock, Box::new(sink));
        let _ = gateway.net.set(net.clone()); // set once, here
        net.add_addresses(seeds, true);
        gateway
    }

    /// Learns new seeds.
    pub fn add_seeds(&self, seeds: BTreeSet<SocketAddr>) {
        if let Some(net) = self.net.get() {
            net.add_addresses(seeds, true);
        }
    }

    /// Whether clients should be sent here.
    pub fn is_ready(&self) -> bool {
        self.state().leaders.is_ready(self.clock.now())
    }

    /// Number of requests that wait for a reply.
    pub fn waiting(&self) -> usize {
        self.state().waiting.len()
    }

    /// Ends all links.
    pub async fn stop(&self) {
        if let Some(net) = self.net.get() {
            net.stop().await;
        }
    }

    /// Asks the leader. A job's name makes a second send of the same request
    /// harmless, so a request whose leader was lost goes to the next one.
    pub async fn request(&self, request: LeaderRequest, span: Duration) -> Reply {
        let deadline = self.clock.now() + span.saturating_sub(RESERVE);
        let mut sent = false;
        loop {
            let now = self.clock.now();
            if now >= deadline {
                return unanswered(sent && request.is_write(), "no reply before the deadline");
            }
            let action = self.state().leaders.action(now);
            match action {
                Action::Refuse => {
                    return unanswered(sent && request.is_write(), "no leader is known");
                }
                Action::Wait => task::sleep(PAUSE.min(deadline - now)).await,
                Action::Send(leader) => {
                    let left = (deadline - now).min(REPLY_TIMEOUT);
                    match self.send(&leader, &request, left).await {
                        Sent::Full => {
                            let reason = "too many requests wait here";
                            return unanswered(sent && request.is_write(), reason);
                        }
                        Sent::Replied(Reply::NotTaken(reason)) => {
                            info!("ask.again leader={leader} reason={reason:?}");
                            task::sleep(PAUSE).await;
                        }
                        Sent::Replied(Reply::Unknown(_)) => {
                            sent = true;
                            task::sleep(PAUSE).await;
                        }
                        Sent::Replied(reply) => return reply,
                        Sent::NoLink => task::sleep(PAUSE).await,
                        Sent::Lost => {
                            sent = true;
                            info!("ask.lost leader={leader}");
                        }
                    }
                }
            }
        }
    }

    async fn send(&self, leader: &str, request: &LeaderRequest, left: Duration) -> Sent {
        let (sender, reply) = bounded(1);
        let id = {
            let mut state = self.state();
            if state.waiting.len() >= MAX_WAITING {
                return Sent::Full;
            }
            let id = state.next;
            state.next += 1;
            let waiting = Waiting { peer: leader.to_string(), reply: sender };
            state.waiting.insert(id, waiting);
            id
        };
        let linked =
            self.net.get().is_some_and(|net| net.send(leader, Frame::Request(id, request.clone())));
        if !linked {
            self.state().waiting.remove(&id);
            return Sent::NoLink;
        }
        let got = timeout(left, reply.recv()).await;
        self.state().waiting.remove(&id);
        match got {
            Ok(Ok(Some(reply))) => Sent::Replied(reply),
            _ => Sent::Lost,
        }
    }

    fn take(&self, event: Event) {
        let now = self.clock.now();
        match event {
            Event::Up(_) => {}
            Event::Down(hello) => {
                let mut state = self.state();
                state.leaders.record_link_lost(now, &hello.id());
                for waiting in state.waiting.values().filter(|w| w.peer == hello.name) {
                    let _ = waiting.reply.try_send(None); // it may have had its reply
                }
            }
            Event::Frame(from, Frame::Status(status)) => {
                if let Some(net) = self.net.get() {
                    net.add_addresses(status.core_addresses.iter().copied(), false);
                }
                self.record_status(now, &from, status);
            }
            Event::Frame(_, Frame::Reply(id, reply)) => {
                if let Some(waiting) = self.state().waiting.get(&id) {
                    let _ = waiting.reply.try_send(Some(reply)); // it may have had its reply
                }
            }
            Event::Frame(..) => {}
        }
    }

    fn record_status(&self, now: Duration, from: &ProcessInfo, status: mesh::Status) {
        let mut state = self.state();
        let before = state.leaders.leader().cloned();
        state.leaders.record_status(now, from.id(), status);
        let after = state.leaders.leader().cloned();
        if before != after {
            let name = after.as_ref().map_or("none", |id| id.name.as_str());
            info!("leader.changed leader={name}");
        }
    }

    fn state(&self) -> std::sync::MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

enum Sent {
    Replied(Reply),
    NoLink,
    Lost,
    Full,
}

fn unanswered(maybe_taken: bool, reason: &str) -> Reply {
    if maybe_taken {
        Reply::Unknown(reason.to_string())
    } else {
        Reply::NotTaken(reason.to_string())
    }
}
