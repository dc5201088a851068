//! Leaders that follow each other, and the processes that send their orders.

use super::{TERM_STEP, World};
use sched::fence::Fences;
use sched::order::{Answer, Reply};
use sched::scheduler::PollReply;
use sched::{Report, Roster, Scheduler, Settings};
use std::collections::BTreeSet;
use std::time::{Duration, Instant};

impl World {
    /// Ends the process that sends the leader's orders, with all polls that are open there.
    pub fn lose_relay(&mut self) {
        self.relay_is_gone = true;
        let open = self.workers.values_mut().filter_map(|worker| worker.poll.take());
        for (to, poll, _) in open.collect::<Vec<_>>() {
            let (incarnation, sent_at) = (to.incarnation, poll.sent_at);
            self.deliver(Reply::Poll(PollReply { incarnation, sent_at, answer: Answer::Lost }));
        }
    }

    /// Returns the fences of a leader whose term is higher by `step` than that of the present one.
    pub(super) fn begin_term(&mut self, step: u64) -> Fences {
        let preceding_term = self.term;
        self.term += step;
        Fences::between(preceding_term, self.term)
    }

    /// Replaces the leader. The new one has the reports of every second worker; the
    /// others report to it within [`REPORT_INTERVAL`].
    pub fn replace_leader(&mut self) {
        self.replace_leader_with_term_step(TERM_STEP);
    }

    /// Replaces the leader, like [`World::replace_leader`], by one whose term is higher by `step`; 1
    /// is that of a leader of an earlier version.
    pub fn replace_leader_with_term_step(&mut self, step: u64) {
        let fences = self.begin_term(step);
        let mut roster = Roster::default();
        for worker in self.workers.values().step_by(2) {
            roster.record(self.now, worker.report.clone());
        }
        let time = self.time();
        self.scheduler = Scheduler::new(Settings::default(), fences, time, &self.ledger, &roster);
        self.workers.values_mut().for_each(|worker| worker.poll = None);
    }

    /// Ends the leadership. Answers that are under way are lost; the orders themselves are not.
    pub fn end_leadership(&mut self) {
        self.has_leader = false;
        self.uncommitted.clear();
        self.overdue_replies.clear();
        self.forget_messages();
        self.workers.values_mut().for_each(|worker| worker.poll = None);
    }

    /// Begins the next leadership, with the last reports of some workers.
    pub fn begin_leadership(&mut self, known: &BTreeSet<String>) {
        let fences = self.begin_term(TERM_STEP);
        let reports: Vec<Report> = self.roster.workers().map(|r| r.report.clone()).collect();
        self.roster = Roster::default();
        for report in reports.into_iter().filter(|r| known.contains(&r.incarnation.worker)) {
            self.roster.record(self.now, report);
        }
        let time = self.time();
        let settings = Settings::default();
        self.scheduler = Scheduler::new(settings, fences, time, &self.ledger, &self.roster);
        self.has_leader = true;
    }

    /// Replaces the leader by one that expects units away from their data to take longer by a factor.
    pub fn set_far_factor(&mut self, far_factor: f64) {
        let fences = self.begin_term(TERM_STEP);
        let settings = Settings { far_factor, ..Settings::default() };
        let mut roster = Roster::default();
        for worker in self.workers.values() {
            roster.record(self.now, worker.report.clone());
        }
        let time = self.time();
        self.scheduler = Scheduler::new(settings, fences, time, &self.ledger, &roster);
        self.workers.values_mut().for_each(|worker| worker.poll = None);
        self.run(Duration::from_millis(200));
    }

    /// Replaces the leader by one to which all reports were passed on.
    pub fn replace_informed_leader(&mut self) {
        let fences = self.begin_term(TERM_STEP);
        let mut reports: Vec<Report> = self.workers.values().map(|w| w.report.clone()).collect();
        reports.sort_by_key(|report| report.incarnation.started_at);
        let mut roster = Roster::default();
        for report in reports {
            roster.record(self.now, report);
        }
        let time = self.time();
        let started_at = Instant::now();
        self.scheduler = Scheduler::new(Settings::default(), fences, time, &self.ledger, &roster);
        self.record_time("take over", started_at);
        self.workers.values_mut().for_each(|worker| worker.poll = None);
    }
}
