//! Forwards requests to the leader, and retries with the next leader when the link to
//! it is lost or it does not reply. Requests wait while a new leader is elected.

use crate::attempts::{Attempts, Step};
use crate::leaders::Leaders;
use async_std::channel::{Receiver, Sender, unbounded};
use async_std::future::timeout;
use log::info;
use mesh::frame::{RequestId, draw_first_id};
use mesh::{Clock, Event, Frame, LeaderRequest, Net, ProcessInfo, Reply};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, OnceLock, PoisonError};
use std::time::Duration;

/// Part of a client's deadline that is reserved for the reply to reach the client.
const REPLY_MARGIN: Duration = Duration::from_millis(60);
/// Maximum number of attempts that wait for a reply; the request of each may hold a body.
const MAX_PENDING: usize = 2000;

/// What a request that waits is told.
enum Notice {
    /// The reply to an attempt arrived.
    Reply(RequestId, Reply),
    /// The link was lost on which an attempt was sent.
    Lost(RequestId),
    /// Another process leads, or this one is about to end.
    Changed,
}

/// An attempt that was sent and has no reply yet.
struct PendingAttempt {
    /// Name of the core process that it was sent to.
    peer: String,
    /// The request that waits for it.
    notices: Sender<Notice>,
}

struct State {
    leaders: Leaders,
    pending: BTreeMap<RequestId, PendingAttempt>,
    next_id: RequestId,
    /// The process is about to end: no request waits any more.
    gave_up: bool,
}

impl State {
    /// Lets every request that waits for a reply look at what happens next.
    fn wake_all(&self) {
        for pending in self.pending.values() {
            let _ = pending.notices.try_send(Notice::Changed); // unbounded
        }
    }
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
        let next_id = draw_first_id(&mut rand::rng());
        let pending = BTreeMap::new();
        let state = Mutex::new(State { leaders, pending, next_id, gave_up: false });
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
        state.wake_all();
    }

    /// Closes all links.
    pub async fn stop(&self) {
        if let Some(net) = self.net.get() {
            net.stop().await;
        }
    }

    /// Sends a request to the leader and returns its reply, or gives up after
    /// `max_wait`. A request without a reply is sent again, which is safe because the
    /// name of the job makes a repeated request harmless.
    pub async fn request(&self, request: LeaderRequest, max_wait: Duration) -> Reply {
        let deadline = self.clock.now() + max_wait.saturating_sub(REPLY_MARGIN);
        let mut asking = Asking::new(self, &request, deadline);
        loop {
            let now = self.clock.now();
            let step = {
                let state = self.state();
                match state.gave_up {
                    true => Step::GiveUp("the process stops"),
                    false => asking.attempts.next(now, &state.leaders),
                }
            };
            let until = match step {
                Step::GiveUp(reason) => return asking.give_up(reason),
                Step::Wait(until) => until,
                Step::Send(peer) => match asking.send(now, &peer) {
                    Ok(()) => continue,
                    Err(_) if asking.attempts.is_waiting() => {
                        asking.attempts.pause(now); // a reply may still come
                        continue;
                    }
                    Err(reason) => return asking.give_up(reason),
                },
            };
            if let Ok(Ok(notice)) = timeout(until - now, asking.notices.recv()).await
                && let Some(reply) = asking.handle(notice)
            {
                asking.log_retries();
                return reply;
            }
        }
    }

    fn handle_event(&self, event: Event) {
        let now = self.clock.now();
        match event {
            Event::LinkUp(_) => {}
            Event::LinkDown(peer) => {
                let mut state = self.state();
                state.leaders.record_link_lost(now, &peer.id());
                for (id, pending) in state.pending.iter().filter(|(_, p)| p.peer == peer.name) {
                    let _ = pending.notices.try_send(Notice::Lost(*id)); // unbounded
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
                    let _ = pending.notices.try_send(Notice::Reply(id, reply)); // unbounded
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
            state.wake_all();
        }
    }

    fn state(&self) -> std::sync::MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A request that is being sent, and the gateway's entries for its attempts.
struct Asking<'a> {
    gateway: &'a Gateway,
    request: &'a LeaderRequest,
    attempts: Attempts,
    sender: Sender<Notice>,
    notices: Receiver<Notice>,
}

impl<'a> Asking<'a> {
    fn new(gateway: &'a Gateway, request: &'a LeaderRequest, deadline: Duration) -> Asking<'a> {
        let (sender, notices) = unbounded();
        let attempts = Attempts::new(request.is_write(), deadline);
        Asking { gateway, request, attempts, sender, notices }
    }

    /// Sends the request to a process. Fails if too many requests wait here.
    fn send(&mut self, now: Duration, peer: &str) -> Result<(), &'static str> {
        let id = {
            let mut state = self.gateway.state();
            if state.pending.len() >= MAX_PENDING {
                return Err("too many requests wait here");
            }
            let id = state.next_id;
            state.next_id += 1;
            let notices = self.sender.clone();
            state.pending.insert(id, PendingAttempt { peer: peer.to_string(), notices });
            id
        };
        let frame = Frame::Request(id, self.request.clone());
        if self.gateway.net.get().is_some_and(|net| net.send(peer, &frame)) {
            self.attempts.record_sent(now, id, peer);
        } else {
            self.gateway.state().pending.remove(&id);
            self.attempts.record_unlinked(now, peer);
        }
        Ok(())
    }

    /// Handles a notice, and returns the reply if it settles the request.
    fn handle(&mut self, notice: Notice) -> Option<Reply> {
        let now = self.gateway.clock.now();
        match notice {
            Notice::Changed => None,
            Notice::Lost(id) => {
                self.gateway.state().pending.remove(&id);
                self.attempts.record_lost(id);
                None
            }
            Notice::Reply(id, reply) => {
                self.gateway.state().pending.remove(&id);
                self.attempts.record_reply(now, id, reply)
            }
        }
    }

    /// Returns the reply to a request that no leader replied to.
    fn give_up(&self, reason: &str) -> Reply {
        let summary = self.attempts.summary(self.gateway.clock.now());
        info!("request.unanswered path={} reason={reason:?} {summary}", self.path());
        metrics::counter!("requests_unanswered_total").increment(1);
        self.attempts.give_up(reason)
    }

    /// Logs a request that was answered, but not by its first attempt alone.
    fn log_retries(&self) {
        if self.attempts.count() > 1 {
            let summary = self.attempts.summary(self.gateway.clock.now());
            info!("request.retried path={} {summary}", self.path());
            metrics::counter!("requests_retried_total").increment(1);
        }
    }

    fn path(&self) -> &str {
        self.request.location().map_or("", |location| location.path.as_str())
    }
}

impl Drop for Asking<'_> {
    fn drop(&mut self) {
        let mut state = self.gateway.state();
        for id in self.attempts.waiting() {
            state.pending.remove(&id);
        }
    }
}
