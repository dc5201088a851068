//! Forwards requests to the leader, and retries with the next leader when the link to
//! it is lost or it does not reply. Requests wait while a new leader is elected.

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

/// Pause before a request looks for a leader or is sent again.
const RETRY_INTERVAL: Duration = Duration::from_millis(25);
/// Part of a client's deadline that is reserved for the reply to reach the client.
const REPLY_MARGIN: Duration = Duration::from_millis(60);
/// Timeout of one attempt; a disk sync and a round trip take about a tenth of it.
const REPLY_TIMEOUT: Duration = Duration::from_millis(1200);
/// Maximum number of requests that wait for a reply; each may hold a request body.
const MAX_PENDING: usize = 2000;

/// A request that was sent and has no reply yet.
struct PendingRequest {
    /// Name of the core process that it was sent to.
    peer: String,
    /// Receives the reply, or `None` when the link to the peer is lost.
    reply: Sender<Option<Reply>>,
}

struct State {
    leaders: Leaders,
    pending: BTreeMap<RequestId, PendingRequest>,
    next_id: RequestId,
    /// The process is about to end: no request waits any more.
    gave_up: bool,
}

/// Forwards requests to the leader.
pub struct Gateway {
    clock: Arc<dyn Clock>,
    net: OnceLock<Arc<Net>>,
    state: Mutex<State>,
}

impl Gateway {
    /// Creates a gateway that links to the seeds and to the core processes they name.
    pub fn start(
        process_info: ProcessInfo,
        clock: Arc<dyn Clock>,
        seeds: BTreeSet<SocketAddr>,
    ) -> Arc<Gateway> {
        let leaders = Leaders::new(clock.now());
        let pending = BTreeMap::new();
        let state = Mutex::new(State { leaders, pending, next_id: 1, gave_up: false });
        let gateway = Arc::new(Gateway { clock: clock.clone(), net: OnceLock::new(), state });
        let weak = Arc::downgrade(&gateway);
        let event_handler = move |event| {
            if let Some(gateway) = weak.upgrade() {
                gateway.handle_event(event);
            }
        };
        let net = Net::new(process_info, clock, Box::new(event_handler));
        let _ = gateway.net.set(net.clone()); // cannot fail: set only here
        net.add_addresses(seeds, true);
        gateway
    }

    /// Links to further seeds as well.
    pub fn add_seeds(&self, seeds: BTreeSet<SocketAddr>) {
        if let Some(net) = self.net.get() {
            net.add_addresses(seeds, true);
        }
    }

    /// Returns whether the load balancer should send clients to this process.
    pub fn is_ready(&self) -> bool {
        self.state().leaders.is_ready(self.clock.now())
    }

    /// Returns the number of requests that wait for a reply.
    pub fn pending_count(&self) -> usize {
        self.state().pending.len()
    }

    /// Ends the wait of all requests, so that they are answered before the process ends.
    pub fn give_up(&self) {
        let mut state = self.state();
        state.gave_up = true;
        for pending in state.pending.values() {
            let _ = pending.reply.try_send(None); // full if a reply has arrived
        }
    }

    /// Closes all links.
    pub async fn stop(&self) {
        if let Some(net) = self.net.get() {
            net.stop().await;
        }
    }

    /// Sends a request to the leader and returns its reply, or gives up after
    /// `max_wait`. A request whose leader was lost is sent to the next one, which is
    /// safe because the name of the job makes a repeated request harmless.
    pub async fn request(&self, request: LeaderRequest, max_wait: Duration) -> Reply {
        let deadline = self.clock.now() + max_wait.saturating_sub(REPLY_MARGIN);
        let mut may_have_executed = false;
        loop {
            let now = self.clock.now();
            if now >= deadline {
                return no_reply(
                    may_have_executed && request.is_write(),
                    "no reply before the deadline",
                );
            }
            let (action, gave_up) = {
                let state = self.state();
                (state.leaders.action(now), state.gave_up)
            };
            if gave_up {
                let reason = "the process stops";
                return no_reply(may_have_executed && request.is_write(), reason);
            }
            match action {
                Action::Refuse => {
                    return no_reply(may_have_executed && request.is_write(), "no leader is known");
                }
                Action::Wait => task::sleep(RETRY_INTERVAL.min(deadline - now)).await,
                Action::Send(leader) => {
                    let attempt_timeout = (deadline - now).min(REPLY_TIMEOUT);
                    match self.send(&leader, &request, attempt_timeout).await {
                        Attempt::Full => {
                            let reason = "too many requests wait here";
                            return no_reply(may_have_executed && request.is_write(), reason);
                        }
                        Attempt::Replied(Reply::NotTaken(reason)) => {
                            info!("ask.again leader={leader} reason={reason:?}");
                            task::sleep(RETRY_INTERVAL).await;
                        }
                        Attempt::Replied(Reply::Unknown(_)) => {
                            may_have_executed = true;
                            task::sleep(RETRY_INTERVAL).await;
                        }
                        Attempt::Replied(reply) => {
                            return settle(reply, may_have_executed && request.is_write());
                        }
                        Attempt::NoLink => task::sleep(RETRY_INTERVAL).await,
                        Attempt::Lost => {
                            may_have_executed = true;
                            info!("ask.lost leader={leader}");
                        }
                    }
                }
            }
        }
    }

    /// Sends the request to one leader and waits for its reply.
    async fn send(
        &self,
        leader: &str,
        request: &LeaderRequest,
        attempt_timeout: Duration,
    ) -> Attempt {
        let (sender, reply) = bounded(1);
        let id = {
            let mut state = self.state();
            if state.pending.len() >= MAX_PENDING {
                return Attempt::Full;
            }
            if state.gave_up {
                return Attempt::NoLink;
            }
            let id = state.next_id;
            state.next_id += 1;
            let pending = PendingRequest { peer: leader.to_string(), reply: sender };
            state.pending.insert(id, pending);
            id
        };
        let linked = self
            .net
            .get()
            .is_some_and(|net| net.send(leader, &Frame::Request(id, request.clone())));
        if !linked {
            self.state().pending.remove(&id);
            return Attempt::NoLink;
        }
        let received = timeout(attempt_timeout, reply.recv()).await;
        self.state().pending.remove(&id);
        match received {
            Ok(Ok(Some(reply))) => Attempt::Replied(reply),
            _ => Attempt::Lost,
        }
    }

    fn handle_event(&self, event: Event) {
        let now = self.clock.now();
        match event {
            Event::LinkUp(_) => {}
            Event::LinkDown(peer) => {
                let mut state = self.state();
                state.leaders.record_link_lost(now, &peer.id());
                for pending in state.pending.values().filter(|pending| pending.peer == peer.name) {
                    let _ = pending.reply.try_send(None); // full if a reply has arrived
                }
            }
            Event::Frame(from, Frame::Status(status)) => {
                if let Some(net) = self.net.get() {
                    net.add_addresses(status.core_addresses.iter().copied(), false);
                }
                self.record_status(now, &from, status);
            }
            Event::Frame(_, Frame::Reply(id, reply)) => {
                if let Some(pending) = self.state().pending.get(&id) {
                    let _ = pending.reply.try_send(Some(reply)); // full if a reply has arrived
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

/// Returns the leader's reply as the client may be told it. A refusal says that the request was not
/// carried out, which is not known if an earlier attempt of a write had no answer.
///
/// ```
/// use mesh::Reply;
/// let refusal = Reply::Unauthorized("key 0a1b2c3d is not known".to_string());
/// assert_eq!(edge::gateway::settle(refusal.clone(), false), refusal);
/// assert!(matches!(edge::gateway::settle(refusal, true), Reply::Unknown(_)));
/// assert_eq!(edge::gateway::settle(Reply::Done, true), Reply::Done);
/// ```
pub fn settle(reply: Reply, has_unanswered_attempt: bool) -> Reply {
    match reply {
        Reply::Overloaded { reason, .. } | Reply::Unauthorized(reason)
            if has_unanswered_attempt =>
        {
            Reply::Unknown(reason)
        }
        reply => reply,
    }
}

/// Outcome of sending a request to one leader.
enum Attempt {
    Replied(Reply),
    /// Not sent: there is no link to the leader, or the process is about to end.
    NoLink,
    /// Sent, but the link was lost or no reply arrived in time.
    Lost,
    /// Not sent: too many requests wait for a reply.
    Full,
}

/// Returns the reply for a request that no leader replied to.
fn no_reply(may_have_executed: bool, reason: &str) -> Reply {
    if may_have_executed {
        Reply::Unknown(reason.to_string())
    } else {
        Reply::NotTaken(reason.to_string())
    }
}
