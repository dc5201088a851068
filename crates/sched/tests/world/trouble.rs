//! Faults of messages and processes beyond those of single workers.

use super::{Gone, World};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use sched::Report;
use sched::instance::Instance;
use sched::order::{Order, Reply};
use std::time::Duration;

/// Time after which an order that has not arrived counts as held up.
const HELD_UP: Duration = Duration::from_millis(500);

/// An order under way.
struct UnderWay {
    sent_at: Duration,
    arrives_at: Duration,
    /// Term of the leader that sent it.
    term: u64,
    order: Order,
}

/// Faults that tests and schedules switch on; none by default.
pub struct Trouble {
    /// Orders that reach a lost relay are carried out late.
    pub relay_executes_late: bool,
    /// Longest time for which an order to a worker is under way; orders overtake each other.
    pub longest_way: Duration,
    /// Longest time for which an answer of a worker is under way.
    pub longest_way_back: Duration,
    /// The cloud does not answer requests for its list.
    pub loses_lists: bool,
    /// Time that the cloud takes to answer requests for its list.
    pub list_delay: Duration,
    /// Longest time that the cloud takes for a call.
    pub longest_cloud_call: Duration,
    /// Time that a stop takes; what it bars is barred at once.
    pub stop_time: Duration,
    /// Cores of workers that start, in thousandths; `None` for those of the worker before.
    pub next_cpu_milli: Option<u64>,
    /// The leader does nothing until then.
    frozen_until: Duration,
    /// The leader freezes for this long once it has decided and before it sends.
    freezes_next: Option<Duration>,
    /// Orders under way.
    under_way: Vec<UnderWay>,
    /// The order that is being carried out was held up.
    pub is_held_up: bool,
    /// Lists under way, each with the time of its arrival.
    lists: Vec<(Duration, (Duration, Vec<Instance>))>,
    /// Reports that a frozen leader has not read.
    unread: Vec<Report>,
    rng: StdRng,
}

impl Default for Trouble {
    fn default() -> Trouble {
        Trouble {
            relay_executes_late: false,
            longest_way: Duration::ZERO,
            longest_way_back: Duration::ZERO,
            loses_lists: false,
            list_delay: Duration::ZERO,
            longest_cloud_call: Duration::ZERO,
            stop_time: Duration::ZERO,
            next_cpu_milli: None,
            frozen_until: Duration::ZERO,
            freezes_next: None,
            under_way: Vec::new(),
            is_held_up: false,
            lists: Vec::new(),
            unread: Vec::new(),
            rng: StdRng::seed_from_u64(0),
        }
    }
}

impl Trouble {
    /// Draws how long a message is under way.
    pub(super) fn draw(&mut self, longest: Duration) -> Duration {
        if longest.is_zero() {
            return Duration::ZERO;
        }
        Duration::from_millis(self.rng.random_range(0..=longest.as_millis() as u64))
    }

    /// Sets the seed of the ways of messages.
    pub fn set_seed(&mut self, seed: u64) {
        self.rng = StdRng::seed_from_u64(seed);
    }
}

impl World {
    /// Freezes the leader for a time: now, or between its next decision and the orders that follow
    /// from it.
    pub fn freeze_leader(&mut self, duration: Duration, before_sending: bool) {
        match before_sending {
            true => self.trouble.freezes_next = Some(duration),
            false => self.trouble.frozen_until = self.now + duration,
        }
    }

    pub(super) fn is_frozen(&self) -> bool {
        self.now < self.trouble.frozen_until
    }

    /// Returns when the leader was last frozen.
    pub(super) fn thawed_at(&self) -> Duration {
        self.trouble.frozen_until
    }

    /// Forgets what only the former leader was to get.
    pub(super) fn forget_messages(&mut self) {
        self.trouble.lists.clear();
        self.trouble.unread.clear();
        self.trouble.frozen_until = Duration::ZERO;
        self.trouble.freezes_next = None;
    }

    /// Passes a reply on to the leader, or leaves it to a frozen one.
    pub(super) fn deliver(&mut self, reply: Reply) {
        if self.is_frozen() {
            self.overdue_replies.push((self.now, reply));
            return;
        }
        let time = self.time();
        self.scheduler.on_worker_reply(time, &self.ledger, reply);
    }

    /// Lets a reply of a worker begin its way back.
    pub(super) fn send_back(&mut self, reply: Reply) {
        let way = self.trouble.draw(self.trouble.longest_way_back);
        match way.is_zero() {
            true => self.deliver(reply),
            false => self.overdue_replies.push((self.now + way, reply)),
        }
    }

    /// Returns after which time an order that a lost relay was sent is carried out.
    pub(super) fn relay_delay(&mut self) -> Duration {
        match self.trouble.rng.random_bool(0.5) {
            true => Duration::ZERO,
            false => self.start_delay,
        }
    }

    /// Sends the orders of one decision.
    pub(super) fn send(&mut self, orders: Vec<Order>) {
        if let Some(duration) = self.trouble.freezes_next.take() {
            self.trouble.frozen_until = self.now + duration;
        }
        for order in orders {
            let is_for_worker = order.destination().is_some();
            let way = self.trouble.draw(self.trouble.longest_way);
            let (sent_at, term) = (self.now, self.term);
            let arrives_at = self.trouble.frozen_until.max(sent_at) + way;
            match arrives_at > sent_at && (is_for_worker || self.is_frozen()) {
                true => {
                    self.trouble.under_way.push(UnderWay { sent_at, arrives_at, term, order });
                }
                false => self.execute(order),
            }
        }
    }

    /// Carries out the orders that arrive now. Nobody waits for the answers to those of an earlier
    /// leader.
    pub(super) fn receive_orders(&mut self) {
        let now = self.now;
        let due = self.trouble.under_way.extract_if(.., |order| order.arrives_at <= now);
        for UnderWay { sent_at, term, order, .. } in due.collect::<Vec<_>>() {
            if term == self.term && self.has_leader {
                self.trouble.is_held_up = now > sent_at + HELD_UP;
                self.execute(order);
                self.trouble.is_held_up = false;
                continue;
            }
            match order {
                Order::Start(to, start) => self.delayed_starts.push((now, to, start)),
                Order::Stop(to, stop) => self.delayed_stops.push((now, to, stop)),
                Order::Poll(to, poll) => self.delayed_polls.push((now, to, poll)),
                Order::Move(order) => {
                    self.move_instance(&order);
                }
                Order::Maintain(order) => {
                    self.maintain(&order);
                }
                Order::ListInstances(_) | Order::Pace(..) | Order::Advise(_) => {}
            }
        }
    }

    /// Returns the instances as the cloud lists them now.
    pub fn instances(&self) -> Vec<Instance> {
        let present = self
            .workers
            .iter()
            .filter(|(_, worker)| !worker.is_succeeded && worker.gone != Some(Gone::Instance));
        let mut list: Vec<_> =
            present.map(|(id, worker)| worker.instance(self.returning.get(id))).collect();
        if self.lists_only_workers_up {
            let is_up = |id: &String| !self.workers[id].is_down;
            list.iter_mut().for_each(|instance| _ = instance.worker.take_if(|id| !is_up(id)));
        }
        list
    }

    /// Answers a request for the list of instances as it is now, after some time and maybe late.
    pub(super) fn list_instances(&mut self, asked_at: Duration, delay: Duration) {
        if self.trouble.loses_lists {
            return;
        }
        let list = self.instances();
        self.trouble.lists.push((self.now + self.trouble.list_delay + delay, (asked_at, list)));
        self.deliver_unread();
    }

    /// Passes on what has arrived and the leader has not read.
    pub(super) fn deliver_unread(&mut self) {
        if self.is_frozen() {
            return;
        }
        let (now, time) = (self.now, self.time());
        for report in std::mem::take(&mut self.trouble.unread) {
            self.scheduler.on_report(time, &self.ledger, &report);
        }
        let due: Vec<_> = self.trouble.lists.extract_if(.., |(at, _)| *at <= now).collect();
        for (_, (asked_at, list)) in due {
            self.scheduler.on_instance_list(time, asked_at, list);
        }
    }

    /// Passes a report on to the leader, or leaves it to a frozen one.
    pub(super) fn deliver_report(&mut self, report: &Report) {
        if self.is_frozen() {
            self.trouble.unread.push(report.clone());
            return;
        }
        let time = self.time();
        self.scheduler.on_report(time, &self.ledger, report);
    }

    /// Ends all trouble but what is under way.
    pub fn end_trouble(&mut self) {
        self.relay_is_gone = false;
        self.maintenance_answer_delay = Duration::ZERO;
        self.moves_to_delay = 0;
        self.trouble.frozen_until = Duration::ZERO;
        self.trouble.freezes_next = None;
        self.trouble.longest_way = Duration::ZERO;
        self.trouble.longest_way_back = Duration::ZERO;
        self.trouble.list_delay = Duration::ZERO;
        self.trouble.longest_cloud_call = Duration::ZERO;
        self.trouble.stop_time = Duration::ZERO;
        self.trouble.loses_lists = false;
        for worker in self.workers.values_mut() {
            (worker.fails_runs, worker.is_stuck) = (false, false);
        }
    }
}
