//! How orders are carried out and answered, in time, late or never.

use super::{ORDER_TIMEOUT, RecordedStart, Worker, World};
use jobs::RunNumber;
use jobs::command::EndReason;
use sched::Settings;
use sched::order::{Answer, Destination, Order, Poll, Refusal, Reply, Start, StartOutcome};
use sched::scheduler::{PaceReply, PollReply, StartReply, StopReply};
use std::time::{Duration, Instant};

impl World {
    /// Lets a start that was under way since before the worker's last restart arrive there now.
    pub fn start_late(&mut self, id: &str, name: &str, run: RunNumber) {
        let unit = self.ledger.find_unit(name).unwrap();
        let report = self.workers[id].report.clone();
        let to = Destination { incarnation: report.incarnation, address: report.address };
        let (name, spec) = (name.to_string(), String::new());
        let lease_end_ms = Settings::default().max_lease.as_millis() as u64;
        let (checkpoint, ticket, fence) = (String::new(), None, self.workers[id].fence);
        let leave_by = Duration::MAX;
        let start =
            Start { unit, name, run, spec, lease_end_ms, fence, checkpoint, ticket, leave_by };
        self.start(&to, &start, true);
    }

    pub(super) fn carry_out_delayed_orders(&mut self) {
        let (now, time) = (self.now, self.time());
        let polls: Vec<_> = self.delayed_polls.extract_if(.., |(at, _, _)| *at <= now).collect();
        for (_, to, poll) in polls {
            let worker = self.workers.get_mut(&to.incarnation.worker);
            let obeys = |worker: &&mut Worker| !worker.is_down && poll.fence >= worker.fence;
            if worker.filter(obeys).is_some() {
                self.apply_poll(&to.incarnation.worker, &poll);
            }
        }
        let starts: Vec<_> = self.delayed_starts.extract_if(.., |(at, _, _)| *at <= now).collect();
        for (_, to, start) in starts {
            self.start(&to, &start, true);
        }
        let ends_at = now + self.trouble.stop_time;
        let stops: Vec<_> = self.delayed_stops.extract_if(.., |(at, _, _)| *at <= now).collect();
        for (_, to, stop) in stops {
            let worker = self.workers.get_mut(&to.incarnation.worker);
            let obeys = |w: &&mut Worker| !w.is_down && !w.partitioned && stop.fence >= w.fence;
            if let Some(worker) = worker.filter(obeys) {
                worker.stop(stop, ends_at);
                worker.end_stops(now);
            }
        }
        if self.is_frozen() {
            return;
        }
        let replies: Vec<_> = self.overdue_replies.extract_if(.., |(at, _)| *at <= now).collect();
        for (_, reply) in replies {
            self.scheduler.on_worker_reply(time, &self.ledger, reply);
        }
    }

    pub(super) fn execute(&mut self, order: Order) {
        match order {
            Order::Poll(to, poll) if self.relay_is_gone => {
                let (incarnation, sent_at) = (to.incarnation.clone(), poll.sent_at);
                if self.trouble.relay_executes_late {
                    let at = self.now + self.relay_delay();
                    self.delayed_polls.push((at, to, poll));
                }
                self.deliver(Reply::Poll(PollReply { incarnation, sent_at, answer: Answer::Lost }));
            }
            Order::Poll(to, poll) if self.omits_poll(&to) => {
                let (incarnation, sent_at) = (to.incarnation.clone(), poll.sent_at);
                let reply = PollReply { incarnation, sent_at, answer: Answer::Unknown };
                let due = self.now + poll.max_wait + ORDER_TIMEOUT;
                self.overdue_replies.push((due, Reply::Poll(reply)));
                self.delayed_polls.push((self.now + self.start_delay, to, poll));
            }
            Order::Poll(to, poll) => {
                let worker = self.workers.get_mut(&to.incarnation.worker);
                // Nobody waits for the answer to one that a later one has overtaken.
                let is_latest = |worker: &&mut Worker| {
                    worker.poll.as_ref().is_none_or(|(_, open, _)| open.sent_at <= poll.sent_at)
                };
                if let Some(worker) = worker.filter(is_latest) {
                    worker.poll = Some((to, poll, self.now));
                }
            }
            Order::Start(to, start) if self.omits_start(&to) => {
                let (incarnation, unit, run) = (to.incarnation.clone(), start.unit, start.run);
                let reply = StartReply::new(incarnation, unit, run, Answer::Unknown.into());
                self.overdue_replies.push((self.now + ORDER_TIMEOUT, Reply::Start(reply)));
                self.delayed_starts.push((self.now + self.start_delay, to, start));
            }
            Order::Start(to, start) if self.relay_is_gone && self.trouble.relay_executes_late => {
                let (incarnation, unit, run) = (to.incarnation.clone(), start.unit, start.run);
                let at = self.now + self.relay_delay();
                self.delayed_starts.push((at, to, start));
                let reply = StartReply::new(incarnation, unit, run, Answer::Lost.into());
                self.deliver(Reply::Start(reply));
            }
            Order::Start(to, start) => {
                let answer = match self.relay_is_gone {
                    true => Answer::Lost,
                    false => self.start(&to, &start, false),
                };
                let (unit, run) = (start.unit, start.run);
                let is_repeated = self.repeats_starts;
                if is_repeated {
                    self.delayed_starts.push((self.now + self.start_delay, to.clone(), start));
                }
                let worker = self.workers.get(&to.incarnation.worker);
                let clock_ms = worker.filter(|_| answer != Answer::Unknown);
                let clock_ms = clock_ms.map(|worker| worker.clock_ms(self.now));
                let outcome = StartOutcome { answer, clock_ms, is_unsent: false, is_repeated };
                let reply = StartReply::new(to.incarnation, unit, run, outcome);
                self.send_back(Reply::Start(reply));
            }
            Order::Stop(to, stop) if self.omits_stop(&to) => {
                let (incarnation, unit, run) = (to.incarnation.clone(), stop.unit, stop.run);
                let reply = StopReply { incarnation, unit, run, answer: Answer::Unknown };
                self.overdue_replies.push((self.now + ORDER_TIMEOUT, Reply::Stop(reply)));
                self.delayed_stops.push((self.now + self.start_delay, to, stop));
            }
            Order::Stop(to, stop) if self.relay_is_gone && self.trouble.relay_executes_late => {
                let (incarnation, unit, run) = (to.incarnation.clone(), stop.unit, stop.run);
                let at = self.now + self.relay_delay();
                self.delayed_stops.push((at, to, stop));
                let reply = StopReply { incarnation, unit, run, answer: Answer::Lost };
                self.deliver(Reply::Stop(reply));
            }
            Order::Stop(to, stop) => {
                let (incarnation, unit, run) = (to.incarnation.clone(), stop.unit, stop.run);
                self.observe_stop(&to.incarnation.worker, &stop);
                let (now, ends_at) = (self.now, self.now + self.trouble.stop_time);
                let answer = match self.workers.get_mut(&to.incarnation.worker) {
                    Some(worker) if !worker.is_down && !worker.partitioned => {
                        if !worker.ignores_stops {
                            worker.stop(stop, ends_at);
                            worker.end_stops(now);
                        }
                        if worker.loses_stop_answers { Answer::Unknown } else { Answer::Done(()) }
                    }
                    Some(worker) if worker.is_succeeded => Answer::Misdirected,
                    _ => Answer::Unknown,
                };
                let reply = StopReply { incarnation, unit, run, answer };
                self.send_back(Reply::Stop(reply));
            }
            Order::Maintain(_) | Order::Move(_) | Order::ListInstances(_) => self.call_cloud(order),
            Order::Pace(to, pace) => {
                if let Some(worker) = self.workers.get_mut(&to.incarnation.worker) {
                    worker.paces.insert((pace.name, pace.run), pace.percent);
                }
                let (incarnation, unit, run, percent) =
                    (to.incarnation, pace.unit, pace.run, pace.percent);
                let answer = Answer::Done(());
                self.scheduler.on_pace_reply(PaceReply { incarnation, unit, run, percent, answer });
            }
            Order::Advise(advise) => self.advise(advise),
        }
    }

    /// Counts a start order to a worker, and returns whether the worker leaves it unanswered.
    pub(super) fn omits_start(&mut self, to: &Destination) -> bool {
        let Some(worker) = self.workers.get_mut(&to.incarnation.worker) else { return false };
        worker.start_orders += 1;
        worker.omits_one_start_in.is_some_and(|share| worker.start_orders.is_multiple_of(share))
    }

    /// Counts a stop order to a worker, and returns whether the worker leaves it unanswered.
    pub(super) fn omits_stop(&mut self, to: &Destination) -> bool {
        let Some(worker) = self.workers.get_mut(&to.incarnation.worker) else { return false };
        worker.stop_orders += 1;
        worker.omits_one_stop_in.is_some_and(|share| worker.stop_orders.is_multiple_of(share))
    }

    /// Counts a poll of a worker, and returns whether the worker leaves it unanswered.
    pub(super) fn omits_poll(&mut self, to: &Destination) -> bool {
        let Some(worker) = self.workers.get_mut(&to.incarnation.worker) else { return false };
        worker.polls += 1;
        worker.omits_one_poll_in.is_some_and(|share| worker.polls.is_multiple_of(share))
    }

    pub(super) fn start(&mut self, to: &Destination, start: &Start, is_late: bool) -> Answer<()> {
        let Some(worker) = self.workers.get_mut(&to.incarnation.worker) else {
            return Answer::Unknown;
        };
        if worker.is_succeeded {
            return Answer::Misdirected;
        }
        if worker.is_down || worker.partitioned {
            return Answer::Unknown;
        }
        if start.fence < worker.fence {
            return Answer::Refused(Refusal::Fence);
        }
        if worker.stopped_runs.get(&start.name).is_some_and(|run| start.run <= *run) {
            return Answer::Refused(Refusal::Old);
        }
        if worker.clock_origin + Duration::from_millis(start.lease_end_ms) <= self.now {
            return Answer::Refused(Refusal::Late);
        }
        let restricted = self.ledger.jobs()[&start.unit.job].queue == "r";
        if restricted && start.ticket != Some(format!("for {}", to.incarnation.worker)) {
            return Answer::Refused(Refusal::Ticket);
        }
        if !worker.loses_start_answers || worker.executes_lost_starts {
            worker.extend_lease(self.now, start.lease_end_ms, Settings::default().max_lease);
            let key = (start.name.clone(), start.run);
            if let std::collections::btree_map::Entry::Vacant(slot) = worker.runs.entry(key) {
                slot.insert(self.now);
                let (name, run) = (start.name.clone(), start.run);
                self.starts.push(RecordedStart {
                    at: self.now,
                    name,
                    run,
                    worker: to.incarnation.worker.clone(),
                });
                let fails = worker.fails_runs;
                self.observe_start(&start.name, start.run, &to.incarnation.worker, is_late);
                let worker = self.workers.get_mut(&to.incarnation.worker).unwrap();
                if fails {
                    worker.runs.remove(&(start.name.clone(), start.run));
                    worker.end(start.name.clone(), start.run, EndReason::Failed);
                }
            }
        }
        let worker = &self.workers[&to.incarnation.worker];
        let answer = if worker.loses_start_answers { Answer::Unknown } else { Answer::Done(()) };
        let step =
            &self.ledger.jobs()[&start.unit.job].definition.steps[usize::from(start.unit.step)];
        if step.reserved_resources().cpu_milli > 0 {
            self.record_overload(&to.incarnation.worker);
        }
        answer
    }

    /// Lets a worker carry out a poll.
    fn apply_poll(&mut self, id: &str, poll: &Poll) {
        self.observe_acknowledgement(id, poll.acknowledged_through);
        let worker = self.workers.get_mut(id).unwrap();
        worker.apply_poll(self.now, poll, Settings::default().max_lease);
    }

    pub(super) fn answer_poll(&mut self, id: &str) {
        let now = self.now;
        let Some(worker) = self.workers.get_mut(id) else { return };
        if worker.polls_hang {
            return;
        }
        let Some((to, poll, since)) = worker.poll.clone() else { return };
        let silent = (worker.is_down || worker.partitioned) && !worker.is_succeeded;
        let due = now >= since + poll.max_wait;
        if silent && now < since + poll.max_wait + Duration::from_millis(700) {
            return;
        }
        if !worker.is_down && !silent && poll.fence >= worker.fence {
            self.apply_poll(id, &poll);
        }
        let worker = self.workers.get_mut(id).unwrap();
        if !silent && !due && worker.finished.is_empty() && !worker.is_succeeded {
            return;
        }
        worker.poll = None;
        let answer = if worker.is_succeeded {
            Answer::Misdirected
        } else if silent {
            Answer::Unknown
        } else if poll.fence < worker.fence {
            Answer::Refused(Refusal::Fence)
        } else {
            Answer::Done(worker.run_lists(now, &self.run_times))
        };
        let reply = PollReply { incarnation: to.incarnation, sent_at: poll.sent_at, answer };
        let started_at = Instant::now();
        self.send_back(Reply::Poll(reply));
        self.record_time("read a poll", started_at);
    }
}
