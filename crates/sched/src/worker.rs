//! The leader's record of one worker: its runs, free resources, lease and health.

use crate::health::Health;
use crate::late::{LATE_ORDER_WINDOW, LateStart, Unplaced};
use crate::lease::Lease;
use crate::order::{Destination, RunLists};
use crate::roster::Report;
use crate::speed::{self, Speed};
use jobs::command::RunKey;
use jobs::crash::{RECENT, TRIAL_TIME};
use jobs::definition::Resources;
use jobs::{Incarnation, InstanceId, RunNumber, Step, UnitKey, UnixMs};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

/// Consecutive orders and polls without an answer, and time without any, after which a worker
/// counts as silent. Single answers are lost with a connection, or left out by a worker that
/// carries out all the same; orders that are sent together are given up together.
const SILENT_AFTER_UNANSWERED: u32 = 3;
const SILENT_AFTER: Duration = Duration::from_millis(500);
/// Time beyond the longest wait of a poll after which copies of a worker's runs may be started.
const MAX_ANSWER_DELAY: Duration = Duration::from_millis(400);
/// Most start times of ended incarnations that are kept for one worker.
const MAX_ENDED_STARTS: usize = 16;
/// Shortest time between two looks at the late starts of a worker.
const LATE_STARTS_INTERVAL: Duration = Duration::from_millis(100);
/// Consecutive lists without an instance after which it is considered deleted, or without a worker
/// on its instance after which it can't start again under its id. A list that changes while its
/// pages are read may miss an instance once.
pub(crate) const GONE_AFTER_LISTS: u32 = 2;

/// A run that is, or may be, on a worker.
#[derive(Clone, Debug, PartialEq)]
pub struct Run {
    /// Progress of the run from proposal to end.
    pub state: RunState,
    /// Start of the incarnation that the ledger places the run on. The run may be on a later
    /// one, if its start arrived after the worker had restarted.
    pub placed_on: UnixMs,
    /// Resources that it reserves on the worker.
    pub resources: Resources,
    /// Whether the run lasts until its job is cancelled.
    pub long_running: bool,
    /// Whether the run works only together with others, which may be on several racks.
    pub is_gang: bool,
    /// Whether its unit may run in copies.
    pub speculative: bool,
    /// Whether the run uses only otherwise idle processor time.
    pub best_effort: bool,
    /// Upper bound for its tail latency; `None` unless the run serves requests.
    pub tail_latency_target: Option<Duration>,
    /// Whether an earlier leader placed the run. Which of its starts got no answer is not known.
    pub is_inherited: bool,
    /// Expected run time on the worker; zero if it is not known.
    pub expected: Duration,
    /// When this leader placed the run, or inherited it from an earlier leader.
    pub placed_at: Duration,
    /// When the worker first listed it as running.
    pub started_at: Option<Duration>,
    /// When the worker last listed it as running.
    pub listed_at: Option<Duration>,
    /// Number of start orders that got no answer.
    pub unanswered_starts: u32,
    /// When the last start was sent, if one may be under way: the present incarnation is not known
    /// to have received it, or a copy of it got no answer. For an inherited run of which the log does
    /// not say that it is settled, when it was inherited.
    pub unconfirmed_since: Option<Duration>,
    /// Whether it was proposed to the log that no start of the run can be carried out any more.
    pub is_settled: bool,
    /// When the last start was sent, while it has no answer.
    pub start_sent_at: Option<Duration>,
    /// When the last start that got no answer was sent.
    pub unanswered_start_at: Option<Duration>,
    /// Last reported progress in percent, and when that value was first seen.
    pub progress: (u32, Duration),
    /// Processor share in percent of the last pace order; `None` if that order failed
    /// and has to be sent again.
    pub share_percent: Option<u32>,
    /// When the last pace order was sent.
    pub share_ordered_at: Duration,
    /// Last reported tail latency in milliseconds if the run serves requests, else its
    /// processor use in thousandths of a core.
    pub measurement: u64,
    /// Whether the worker has listed its end.
    pub has_ended: bool,
    /// Why the run is being stopped; `None` if it is not.
    pub stop_reason: Option<StopReason>,
    /// When its stop was last due again and was not sent, for the sake of other units of its step;
    /// `None` if it was sent since.
    pub stop_withheld_at: Option<Duration>,
    /// Why the run is discarded; `None` if it is not.
    pub absence: Option<Absence>,
    /// Whether the unit is suspected of crashing its workers, so that nothing else is started beside
    /// the run until it has gone on for [`jobs::crash::TRIAL_TIME`].
    pub is_trial: bool,
}

/// Why a run is being stopped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StopReason {
    /// The job is finished, or another copy of the unit is done.
    Unneeded,
    /// The start got no answer; a stop keeps the worker from carrying it out late.
    UnansweredStart,
    /// The worker is about to leave, or its instance goes into maintenance.
    Leaving,
    /// The run makes no progress.
    Stuck,
    /// Another member of its gang is not running.
    GangBroken,
    /// A worker that may have restarted may carry out an earlier start of the unit.
    EarlierStart,
    /// A unit that lasts needs its room.
    Displaced,
}

impl StopReason {
    /// Returns whether the worker is avoided for the unit from then on.
    pub fn shuns_worker(self) -> bool {
        matches!(self, StopReason::Stuck | StopReason::UnansweredStart)
    }

    /// Returns whether the unit had better wait than run at the worker again.
    pub fn bars_return(self) -> bool {
        self == StopReason::Stuck
    }
}

/// Why a run without a listed end counts as over.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Absence {
    /// Its start was never sent.
    Unsent,
    /// The worker refused its only start.
    Refused,
    /// The worker does not list it, and refuses a start of it from now on.
    Unlisted,
    /// The lease under which the worker kept it has expired.
    Lapsed,
    /// The incarnation that received its start has ended.
    Ended,
}

/// State of a run as the leader knows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunState {
    /// Placed by an earlier leader; this leader has not polled the worker yet.
    Inherited,
    /// Proposed to the log; not committed yet.
    Proposed,
    /// Committed to the log; the start has not been sent.
    Ready,
    /// The start was sent and has not been answered.
    Starting,
    /// The start got no answer; the worker may still carry it out.
    Unclear,
    /// The worker is running it.
    Running,
    /// A stop was sent, or is about to be sent.
    Stopping {
        /// When the stop was last sent; `None` before the first time.
        sent: Option<Duration>,
        /// When the worker confirmed that the run is stopped, or will never start.
        acknowledged: Option<Duration>,
    },
    /// Its end, or that it is discarded, is proposed to the log.
    Ending,
}

/// State of the long polls that read a worker's run lists.
#[derive(Clone, Debug, Default)]
pub struct Polling {
    /// When the open poll was sent; `None` if none is open.
    pub sent_at: Option<Duration>,
    /// When the open poll is replaced by one with a shorter wait; `None` if it is not.
    pub replace_at: Option<Duration>,
    /// Longest wait of the open or the last poll.
    pub max_wait: Duration,
    /// Number of the last end that the open poll acknowledges; 0 for none.
    pub acknowledging: u64,
    /// Number of the last end that an answered poll acknowledged; 0 for none.
    pub acknowledged_through: u64,
    /// Whether the open or the last poll extends the lease.
    pub grants_lease: bool,
    /// When the last poll that extends the lease and got no answer was sent.
    pub unanswered_grant_at: Option<Duration>,
    /// Earliest time of the next poll.
    pub next_at: Duration,
    /// When the last answer arrived.
    pub answered_at: Option<Duration>,
    /// When the last answer arrived that listed all ends.
    pub all_listed_at: Option<Duration>,
    /// Consecutive polls and starts without a usable answer.
    pub unanswered: u32,
    /// Consecutive polls without a usable answer.
    pub unanswered_polls: u32,
    /// When the first of the consecutive polls and starts without a usable answer failed.
    pub unanswered_since: Option<Duration>,
    /// When an order or poll was last answered.
    pub heard_at: Option<Duration>,
    /// Whether the present silence was explained in the process log.
    pub silence_explained: bool,
}

impl Polling {
    /// Returns whether the worker has answered nothing for so long that it gets no new work.
    pub fn is_silent(&self, now: Duration) -> bool {
        self.unanswered >= SILENT_AFTER_UNANSWERED
            && self.heard_at.is_none_or(|at| now >= at + SILENT_AFTER)
    }

    /// Counts the open poll as one without an answer, whose answer may still arrive and is ignored.
    pub fn abandon(&mut self) {
        let open = self.sent_at.take();
        if self.grants_lease && open.is_some() {
            self.unanswered_grant_at = open;
        }
        self.unanswered_polls = self.unanswered_polls.max(u32::from(open.is_some()));
        self.next_at = Duration::ZERO;
    }

    /// Counts the open poll as one without an answer if it is due to be replaced and its wait is longer
    /// than `longest_wait`.
    pub fn replace_long_poll(&mut self, now: Duration, longest_wait: Duration) {
        let is_due = self.replace_at.take_if(|at| now >= *at).is_some();
        if is_due && self.sent_at.is_some() && self.max_wait > longest_wait {
            self.abandon();
        }
    }

    /// Records which ends the worker still lists, and so which ones it has forgotten.
    pub fn record_listed_ends(&mut self, run_lists: &RunLists) {
        let first_listed = run_lists.finished.iter().map(|end| end.number).min();
        let acknowledged = self.acknowledged_through.max(self.acknowledging);
        self.acknowledged_through =
            first_listed.map_or(acknowledged, |first| acknowledged.min(first.saturating_sub(1)));
    }

    /// Records that an order or poll was answered.
    pub fn record_answer(&mut self, now: Duration) {
        self.heard_at = Some(now);
        self.unanswered_since = None;
        self.unanswered = 0;
        self.silence_explained = false;
    }
}

/// A worker as the leader knows it.
#[derive(Clone, Debug)]
pub struct Worker {
    /// Present incarnation. Its start time is later than those of its predecessors, also if the
    /// worker states an earlier one.
    pub incarnation: Incarnation,
    /// Start time that the present incarnation states. It may be earlier than that of its
    /// predecessor, since wall clocks are set back.
    pub stated_start: UnixMs,
    /// Start times that incarnations stated which are known to have ended, not all of them: a report
    /// of one that is missing only leads to a poll.
    pub ended_starts: BTreeSet<UnixMs>,
    /// Reports of other incarnations, by the start time that they state. The next answer to a poll
    /// shows which of them is the present one.
    pub claims: BTreeMap<UnixMs, Report>,
    /// Restarts under its id as far as the leader knows; rises while the worker is known.
    pub restarts: u64,
    /// The fence of orders to the present incarnation is higher than that of orders to the one before.
    pub has_own_fence: bool,
    /// Newest report; `None` if the incarnation is known only from its runs.
    pub report: Option<Report>,
    /// When the present incarnation first reported to this leader; `None` if it has not.
    pub reported_at: Option<Duration>,
    /// Instance from which an incarnation of it reported last to this leader; `None` if none has.
    pub instance: Option<InstanceId>,
    /// Address at which it accepts orders. Kept when a poll is answered by a new incarnation,
    /// which then has the address and has not reported yet.
    pub address: Option<SocketAddr>,
    /// Lease under which the worker may keep running its runs.
    pub lease: Lease,
    /// Whether it has answered a poll under this leader's fence.
    pub answered_under_fence: bool,
    /// State of the polls of its run lists.
    pub polling: Polling,
    /// Runs that are, or may be, on the worker.
    pub runs: BTreeMap<(UnitKey, RunNumber), Run>,
    /// Sum of the resources that the runs reserve.
    pub reserved: Resources,
    /// Runs, late starts or unplaced runs have come or gone since the usage of accounts was last
    /// summed up.
    pub usage_changed: bool,
    /// Starts of removed runs that may still reach a later incarnation.
    pub late_starts: BTreeMap<(UnitKey, RunNumber), LateStart>,
    /// Time before which none of the late starts is over.
    pub late_starts_end: Duration,
    /// Since when the worker may have started again without the leader's knowledge: a poll ended
    /// before its time, or the worker fell silent. `None` after an answer of the known incarnation.
    pub restart_suspected_at: Option<Duration>,
    /// Since when the worker, which has late starts, has owed an answer. `None` after an answer of the
    /// known incarnation.
    pub answer_owed_since: Option<Duration>,
    /// Another worker has answered at its address or reported from its instance since, so that it
    /// does not start again under its id there.
    pub is_replaced: bool,
    /// The other worker is not at its address, so that no order to it shows its end.
    pub is_succeeded_elsewhere: bool,
    /// Runs that are not placed on the worker, by unit name and run number.
    pub unplaced: BTreeMap<(String, RunNumber), Unplaced>,
    /// Its instance is switched off: it is in a standby pool and on its way to no other.
    pub is_switched_off: bool,
    /// Consecutive instance lists since its last answer by which the worker can't start again under its
    /// id.
    pub lists_without: u32,
    /// When the latest list that names it nowhere was asked for; `None` if the last one names it.
    pub unnamed_at: Option<Duration>,
    /// Latest time at which it ran nowhere, by the instance lists.
    pub vacant_at: Option<Duration>,
    /// Number of the last end that was proposed to the log; 0 for none.
    pub proposed_through: u64,
    /// How slow its recent runs were.
    pub speed: Speed,
    /// Whether it was slow by its last list of runs.
    pub is_slow: bool,
    /// How its runs end.
    pub health: Health,
    /// The worker gets no new work: its instance is wanted for maintenance or another
    /// pool.
    pub cordoned: bool,
    /// The worker has given notice that it is ending, and has not reported since.
    pub has_left: bool,
    /// The instance is in phase `Due` of a wave that is not completed.
    pub maintenance_due: bool,
    /// The incarnation is known to have ended.
    pub ended: bool,
}

impl Worker {
    /// Creates a worker that is known only by its incarnation.
    pub fn new(incarnation: Incarnation, lease: Lease) -> Worker {
        Worker {
            stated_start: incarnation.started_at,
            incarnation,
            ended_starts: BTreeSet::new(),
            claims: BTreeMap::new(),
            restarts: 0,
            has_own_fence: false,
            report: None,
            reported_at: None,
            instance: None,
            address: None,
            lease,
            answered_under_fence: false,
            polling: Polling::default(),
            runs: BTreeMap::new(),
            reserved: Resources::default(),
            usage_changed: true,
            late_starts: BTreeMap::new(),
            late_starts_end: Duration::ZERO,
            restart_suspected_at: None,
            answer_owed_since: None,
            is_replaced: false,
            is_succeeded_elsewhere: false,
            unplaced: BTreeMap::new(),
            is_switched_off: false,
            lists_without: 0,
            unnamed_at: None,
            vacant_at: None,
            proposed_through: 0,
            speed: Speed::default(),
            is_slow: false,
            health: Health::default(),
            cordoned: false,
            has_left: false,
            maintenance_due: false,
            ended: false,
        }
    }

    /// Returns whether a report of another incarnation has to be believed by its start time, since it
    /// comes from another address: no poll of the known one can decide.
    pub fn is_left_behind_by(&self, report: &Report) -> bool {
        let stated_start = report.incarnation.started_at;
        self.address.is_some_and(|address| address != report.address)
            && stated_start > self.stated_start
            && !self.ended_starts.contains(&stated_start)
    }

    /// Records the report of another incarnation than the known one, and returns whether that is
    /// news. An open poll no longer counts then, as it may have been answered before the report was
    /// sent.
    pub fn claim(&mut self, report: &Report) -> bool {
        let is_new = self.claims.insert(report.incarnation.started_at, report.clone()).is_none();
        self.address.get_or_insert(report.address);
        if is_new {
            self.polling.abandon();
        }
        is_new
    }

    /// Returns the start time of the incarnation that answered a poll. If the answer does not state
    /// it, the one that reports the latest start is taken for it.
    pub fn answered_start(&self, run_lists: &RunLists) -> UnixMs {
        let latest = self.claims.last_key_value().map_or(0, |(start, _)| *start);
        run_lists.started_at.unwrap_or(self.stated_start.max(latest))
    }

    /// Decides between the known incarnation and those that have reported, after the one that
    /// states `answered` has answered a poll. Returns its report if it is one of the others.
    pub fn settle_claims(&mut self, answered: UnixMs) -> Option<Report> {
        let mut claims = std::mem::take(&mut self.claims);
        let report = claims.remove(&answered);
        self.ended_starts.extend(claims.into_keys());
        self.ended_starts.remove(&answered);
        while self.ended_starts.len() > MAX_ENDED_STARTS {
            self.ended_starts.pop_first();
        }
        report
    }

    /// Begins a new incarnation, and returns the start time that the previous one stated.
    pub fn replace_incarnation(&mut self, stated_start: UnixMs) -> UnixMs {
        let former = std::mem::replace(&mut self.stated_start, stated_start);
        self.ended_starts.insert(former);
        self.ended_starts.remove(&stated_start);
        self.restarts += 1;
        self.incarnation.started_at =
            stated_start.max(self.incarnation.started_at.saturating_add(1));
        former
    }

    /// Returns the number of the last end that the next poll acknowledges, when the ends up to
    /// `committed_through` are in the log; 0 for none. Ends are numbered anew by each incarnation,
    /// so a poll acknowledges none that is acknowledged already, and none unless the poll before
    /// it was answered under this fence and no other incarnation has reported since.
    pub fn acknowledge(&mut self, committed_through: u64) -> u64 {
        let polling = &mut self.polling;
        let is_answered = self.answered_under_fence && polling.unanswered_polls == 0;
        let is_known = is_answered && self.claims.is_empty();
        let is_needed = committed_through > polling.acknowledged_through;
        polling.acknowledging = if is_known && is_needed { committed_through } else { 0 };
        polling.acknowledging
    }

    /// Returns when the last order that extends the lease and has no answer was sent; `None` if
    /// all were answered.
    pub fn last_unanswered_grant(&self) -> Option<Duration> {
        let open_poll = self.polling.sent_at.filter(|_| self.polling.grants_lease);
        let starts = self.runs.values().map(|run| run.start_sent_at.max(run.unconfirmed_since));
        let late_starts =
            self.late_starts.values().map(|start| start.until.checked_sub(LATE_ORDER_WINDOW));
        let polls = [open_poll, self.polling.unanswered_grant_at];
        starts.chain(late_starts).chain(polls).max().flatten()
    }

    /// Records that the present incarnation has certainly ended.
    pub fn end(&mut self) {
        self.report = None;
        self.reported_at = None;
        self.address = None;
        self.answered_under_fence = false;
        self.ended = true;
    }

    /// Returns where to send an order to the present incarnation; `None` while its address is not
    /// known.
    pub fn destination(&self) -> Option<Destination> {
        Some(Destination { incarnation: self.incarnation.clone(), address: self.address? })
    }

    /// Adds a run and reserves its resources.
    pub fn add(&mut self, unit: UnitKey, number: RunNumber, run: Run) {
        self.usage_changed = true;
        self.reserved = self.reserved.plus(&run.resources);
        if let Some(before) = self.runs.insert((unit, number), run) {
            self.reserved = self.reserved.minus(&before.resources);
        }
    }

    /// Removes a run and releases its resources.
    pub fn remove(&mut self, unit: UnitKey, number: RunNumber) -> Option<Run> {
        let run = self.runs.remove(&(unit, number))?;
        self.usage_changed = true;
        self.reserved = self.reserved.minus(&run.resources);
        Some(run)
    }

    /// Removes a run that is no longer placed on the worker, and remembers its start if that
    /// may still be carried out.
    pub fn release(&mut self, now: Duration, unit: UnitKey, number: RunNumber) -> Option<Run> {
        let run = self.remove(unit, number)?;
        self.record_late_start(now, unit, number, &run);
        Some(run)
    }

    /// Remembers the start of a run if it may still be carried out.
    pub fn record_late_start(
        &mut self,
        now: Duration,
        unit: UnitKey,
        number: RunNumber,
        run: &Run,
    ) {
        if let Some(start) = self.late_start(now, run) {
            self.add_late_start((unit, number), start);
        }
    }

    /// Returns the start of a run that may still be carried out after its release; `None` if none may.
    pub fn late_start(&self, now: Duration, run: &Run) -> Option<LateStart> {
        let until = run.late_until().filter(|until| now < *until)?;
        let is_unanswered = run.has_unanswered_start();
        if !is_unanswered && !run.is_inherited {
            return None;
        }
        let has_begun = run.started_at.is_some();
        let is_of_predecessor = run.placed_on != self.incarnation.started_at;
        let is_doubtful = self.ended || is_of_predecessor || is_unanswered && has_begun;
        let is_over = run.has_ended || run.absence == Some(Absence::Unlisted);
        let is_refused = match is_of_predecessor {
            true => !is_unanswered || self.has_own_fence,
            false => !is_unanswered || is_over,
        };
        Some(LateStart {
            resources: run.resources,
            until,
            holds_unit: is_doubtful,
            is_refused,
            may_return: !self.ended && !is_of_predecessor && !run.is_gang,
            long_running: run.long_running,
            speculative: run.speculative,
            uses_account: is_doubtful || !has_begun && !run.has_ended,
        })
    }

    /// Remembers a start that may still be carried out.
    pub fn add_late_start(&mut self, key: RunKey, start: LateStart) {
        if self.late_starts.is_empty() || start.until < self.late_starts_end {
            self.late_starts_end = start.until;
        }
        self.usage_changed = true;
        self.late_starts.insert(key, start);
    }

    /// Returns whether the worker may start again under its id and carry out orders that were
    /// sent to an earlier incarnation.
    pub fn can_return(&self) -> bool {
        !self.is_replaced && !self.is_switched_off && self.lists_without < GONE_AFTER_LISTS
    }

    /// Returns whether the worker owes an answer, or has not reported to this leader, and its instance is
    /// gone or has another worker since it last answered. Nothing runs here then, whatever the lease. One
    /// at its address answers for itself.
    pub fn is_gone(&self, now: Duration) -> bool {
        let is_listed_nowhere = self.instance.is_some() && self.lists_without >= GONE_AFTER_LISTS;
        self.is_out_of_contact(now) && (self.is_succeeded_elsewhere || is_listed_nowhere)
    }

    /// Returns whether an instance list that was asked for since the worker was last heard shows it
    /// nowhere, so that what had begun by then has ended, whatever the lease.
    pub fn is_vacated(&self, now: Duration) -> bool {
        let is_unheard_since = |at| self.polling.heard_at.is_none_or(|heard_at| heard_at < at);
        self.is_out_of_contact(now) && self.vacant_at.is_some_and(is_unheard_since)
    }

    /// Returns whether the worker owes an answer or has not reported to this leader.
    pub fn is_out_of_contact(&self, now: Duration) -> bool {
        self.address.is_none() || self.owes_answer(now)
    }

    /// Records whether a list that was asked for at `asked_at` names the worker, and whether it shows
    /// that the worker is not on its instance. A list that changes while its pages are read may miss an
    /// instance once.
    pub fn record_listing(&mut self, asked_at: Duration, is_named: bool, is_elsewhere: bool) {
        let former = self.unnamed_at.take();
        if is_named {
            return;
        }
        self.unnamed_at = Some(asked_at);
        let vacant_at = if is_elsewhere { Some(asked_at) } else { former };
        self.vacant_at = self.vacant_at.max(vacant_at);
    }

    /// Returns whether the instance lists show that no start which could be carried out until then goes
    /// on here.
    pub fn was_vacant_after(&self, until: Duration) -> bool {
        self.vacant_at.is_some_and(|at| at >= until)
    }

    /// Returns whether a start of the unit that is no longer placed here may still be carried out
    /// here, or may have been without the leader's knowledge.
    pub fn holds_unit(&self, unit: &UnitKey) -> bool {
        self.holding_run(unit).is_some()
    }

    /// Returns the run whose late start holds a unit; `None` if none does.
    pub fn holding_run(&self, unit: &UnitKey) -> Option<RunNumber> {
        let mut starts = self.late_starts.range((*unit, 0)..=(*unit, RunNumber::MAX));
        let holding = starts.find(|(_, start)| self.can_return() && self.is_holding(unit, start));
        holding.map(|((_, run), _)| *run)
    }

    /// Returns a run of the unit that is no longer placed here and whose start may still be carried out
    /// here; `None` if there is none.
    pub fn late_start_of(&self, unit: &UnitKey) -> Option<(RunNumber, &LateStart)> {
        let mut starts = self.late_starts.range((*unit, 0)..=(*unit, RunNumber::MAX));
        let ((_, run), start) = starts.next_back().filter(|_| self.can_return())?;
        Some((*run, start))
    }

    /// Returns when a silent worker no longer holds a unit: all leases have expired, one that a late
    /// start was given included. `None` if the worker does not hold it.
    pub fn hold_end(&self, unit: &UnitKey, max_lease: Duration) -> Option<Duration> {
        let start = self.late_starts.get(&(*unit, self.holding_run(unit)?))?;
        Lease::inherited(start.until, max_lease).expiry().max(self.lease.expiry())
    }

    /// Describes how the leader is in contact with the worker.
    pub fn describe_contact(&self, now: Duration) -> &'static str {
        match () {
            () if self.ended => "has ended",
            () if self.address.is_none() => "has not reported to this leader",
            () if self.polling.is_silent(now) => "is silent",
            () if self.may_have_restarted() => "may have restarted",
            () if !self.answered_under_fence => "has not answered this leader",
            () => "answers",
        }
    }

    /// Returns whether a late start holds any unit.
    pub fn holds_units(&self) -> bool {
        self.late_starts.iter().any(|((unit, _), start)| self.is_holding(unit, start))
    }

    /// Returns whether the unit of a late start is not placed. Work that lasts does not wait for a start
    /// that the present incarnation refuses, as 15 s would be longer than it may be away, unless that
    /// incarnation is about to be replaced by order.
    fn is_holding(&self, unit: &UnitKey, start: &LateStart) -> bool {
        let may_run_elsewhere = start.long_running && start.is_refused && !self.cordoned;
        let is_open = start.holds_unit && !may_run_elsewhere
            || self.may_have_restarted()
            || !self.answered_under_fence
            || self.lists_unplaced(unit);
        is_open && !start.speculative
    }

    /// Returns whether the worker lists a run of the unit that is not placed here, and so carried out a
    /// late start of it.
    fn lists_unplaced(&self, unit: &UnitKey) -> bool {
        self.unplaced.values().any(|run| run.is_listed && run.unit == Some(*unit))
    }

    /// Returns whether the unit may run here again though late starts of it hold it: the present
    /// incarnation refuses them, and no other can have carried one out.
    pub fn takes_back(&self, unit: &UnitKey) -> bool {
        let mut starts = self.late_starts.range((*unit, 0)..=(*unit, RunNumber::MAX));
        self.answered_under_fence
            && !self.may_have_restarted()
            && !self.lists_unplaced(unit)
            && starts.all(|(_, start)| start.is_refused && start.may_return)
    }

    /// Records that a unit does not run here again while other workers may.
    pub fn bar_return(&mut self, unit: &UnitKey) {
        let starts = self.late_starts.range_mut((*unit, 0)..=(*unit, RunNumber::MAX));
        starts.for_each(|(_, start)| start.may_return = false);
    }

    /// Records that the present incarnation lists the ends of runs, and so refuses starts of them.
    pub fn refuse_ended(&mut self, ended: &BTreeSet<RunKey>) {
        for (_, start) in self.late_starts.iter_mut().filter(|(key, _)| ended.contains(key)) {
            start.is_refused = true;
        }
    }

    /// Returns whether the worker may have started again without the leader's knowledge.
    pub fn may_have_restarted(&self) -> bool {
        let is_suspected = self.restart_suspected_at.is_some();
        is_suspected || self.answer_owed_since.is_some() || !self.claims.is_empty()
    }

    /// Returns whether the worker has late starts and has newly come to owe an answer.
    pub fn comes_to_owe_answer(&self, now: Duration) -> bool {
        !self.late_starts.is_empty()
            && !self.may_have_restarted()
            && self.can_return()
            && self.owes_answer(now)
    }

    /// Returns whether the worker has late starts and has newly fallen silent.
    pub fn falls_silent(&self, now: Duration) -> bool {
        !self.late_starts.is_empty()
            && self.restart_suspected_at.is_none()
            && self.can_return()
            && self.polling.is_silent(now)
    }

    /// Returns the units that a later incarnation may begin at `now`.
    pub fn units_that_may_begin(&self, now: Duration) -> Vec<UnitKey> {
        let starts = self.late_starts.iter();
        let starts = starts.filter(|(_, start)| {
            now < start.until && (!start.holds_unit || start.long_running && start.is_refused)
        });
        starts.map(|((unit, _), _)| *unit).collect()
    }

    /// Lets the late starts that the next incarnation may begin hold their units: a further one
    /// forgets their stops.
    pub fn hold_late_starts(&mut self) {
        (self.restart_suspected_at, self.answer_owed_since) = (None, None);
        for start in self.late_starts.values_mut() {
            start.holds_unit = true;
            start.is_refused = self.has_own_fence;
            start.may_return = false;
        }
    }

    /// Returns the units of late starts.
    pub fn late_units(&self) -> Vec<UnitKey> {
        self.late_starts.keys().map(|(unit, _)| *unit).collect()
    }

    /// Returns the longest wait of a poll at `now`, so that an answer comes as soon as a late start
    /// that holds its unit is over.
    pub fn max_wait_beside_late_starts(&self, now: Duration, max_wait: Duration) -> Duration {
        match self.holds_units() {
            true => max_wait.min(self.late_starts_end.saturating_sub(now)),
            false => max_wait,
        }
    }

    /// Removes the late starts that are over, and returns their runs. One is over when it can no
    /// longer be carried out; if it holds its unit, also a full list received since then shows no
    /// run of the unit, an instance list asked for since then shows the worker nowhere, or all leases
    /// have expired, one of `max_lease` that it was given included.
    pub fn remove_late_starts(&mut self, now: Duration, max_lease: Duration) -> Vec<RunKey> {
        if self.late_starts.is_empty() || now < self.late_starts_end {
            return Vec::new();
        }
        let is_listed = |unit| self.unplaced.values().any(|run| run.unit == Some(unit));
        let all_listed_at = self.polling.all_listed_at.unwrap_or_default();
        let is_over = |unit: UnitKey, start: &LateStart| {
            now >= start.until
                && (!self.is_holding(&unit, start)
                    || !self.can_return()
                    || all_listed_at >= start.until && !is_listed(unit)
                    || self.was_vacant_after(start.until)
                    || Lease::inherited(start.until, max_lease).is_expired(now)
                        && self.lease.is_expired(now))
        };
        let over: Vec<RunKey> = self
            .late_starts
            .iter()
            .filter(|((unit, _), start)| is_over(*unit, start))
            .map(|(key, _)| *key)
            .collect();
        self.usage_changed |= !over.is_empty();
        for key in &over {
            self.late_starts.remove(key);
        }
        let ends = self.late_starts.values().map(|start| start.until);
        self.late_starts_end = ends.min().unwrap_or_default().max(now + LATE_STARTS_INTERVAL);
        over
    }

    /// Records that the worker confirmed the stop of an unplaced run.
    pub fn acknowledge_unplaced(&mut self, now: Duration, unit: UnitKey, number: RunNumber) {
        for ((_, run), unplaced) in &mut self.unplaced {
            if *run == number && unplaced.unit == Some(unit) {
                unplaced.stop_acknowledged_at.get_or_insert(now);
            }
        }
    }

    /// Returns the resources that neither runs nor unplaced runs use; zero without a report, or
    /// if the resources of an unplaced run are not known.
    pub fn free_resources(&self) -> Resources {
        let capacity = self.report.as_ref().map(|report| report.capacity).unwrap_or_default();
        let mut free = capacity.minus(&self.reserved);
        for unplaced in self.unplaced.values() {
            free = match &unplaced.resources {
                Some(resources) => free.minus(resources),
                None => Resources::default(),
            };
        }
        free
    }

    /// Returns the factor by which the worker is slower than expected at present.
    pub fn speed_factor(&self, now: Duration) -> f64 {
        let is_short = |run: &Run| !run.long_running && !run.best_effort && !run.is_gang;
        let under_way = self.runs.iter().filter(|(_, run)| is_short(run));
        let ratios = under_way.filter_map(|((unit, _), run)| {
            let (percent, seen_at) = run.progress;
            let elapsed = seen_at.saturating_sub(run.started_at?);
            let ratio = speed::projected_ratio(elapsed, percent, run.expected)?;
            Some((unit.step_key(), ratio))
        });
        self.speed.factor(now, ratios)
    }

    /// Returns whether the worker has runs and owes an answer.
    pub fn is_unheard(&self, now: Duration) -> bool {
        !self.runs.is_empty() && self.owes_answer(now)
    }

    /// Returns whether the worker leaves a poll unanswered for longer than it may wait, or has answered
    /// nothing since one was given up.
    pub fn owes_answer(&self, now: Duration) -> bool {
        let polling = &self.polling;
        let is_overdue =
            polling.sent_at.is_some_and(|at| now >= at + polling.max_wait + MAX_ANSWER_DELAY);
        let has_given_up = polling.unanswered_since.is_some_and(|at| now >= at + MAX_ANSWER_DELAY);
        is_overdue || has_given_up
    }

    /// Judges anew whether the worker is slow.
    pub fn update_speed(&mut self, now: Duration) {
        self.is_slow = speed::is_slow(self.speed_factor(now));
    }

    /// Returns when the worker last answered a poll or, if later, the start of one of its runs.
    pub fn last_proof_of_life(&self) -> Duration {
        let begun = self.runs.values().filter_map(|run| run.started_at).max();
        self.polling.answered_at.max(begun).unwrap_or_default()
    }

    /// Returns whether a trial goes on here.
    pub fn has_trial(&self) -> bool {
        self.runs.values().any(|run| run.is_trial)
    }

    /// Returns whether a run is recent, or not known to have begun.
    pub fn has_recent_runs(&self) -> bool {
        let alive_at = self.last_proof_of_life();
        let is_recent = |run: &Run| run.survived_until(alive_at).is_none_or(|at| at < RECENT);
        self.runs.values().any(is_recent)
    }

    /// Returns whether all runs fit, those that are being stopped included. They do unless the
    /// capacity has shrunk.
    pub fn fits_its_runs(&self) -> bool {
        let capacity = self.report.as_ref().map(|report| report.capacity).unwrap_or_default();
        let unplaced = self.unplaced.values().filter_map(|run| run.resources.as_ref());
        let used = unplaced.fold(self.reserved, |used, resources| used.plus(resources));
        capacity.covers(&used)
    }

    /// Returns whether the worker gets no new work for the sake of its instance, or as it is ending.
    pub fn is_closed(&self) -> bool {
        self.cordoned || self.has_left
    }

    /// Returns whether a start may be sent to the worker, first or repeated.
    pub fn accepts_starts(&self) -> bool {
        let draining = self.report.as_ref().is_none_or(|report| report.draining);
        !draining && !self.is_closed() && !self.ended
    }

    /// Returns whether new work may be placed on the worker, if its health allows: it accepts starts
    /// and has answered a poll within `max_silence`.
    pub fn is_available(&self, now: Duration, max_silence: Duration) -> bool {
        let reachable = self.polling.answered_at.is_some_and(|at| now < at + max_silence);
        self.answered_under_fence && reachable && self.accepts_starts()
    }

    /// Ends a probation if a run that is listed at `now` shows that the worker works, and returns
    /// whether it does.
    pub fn shows_health(&mut self, now: Duration, key: &(UnitKey, RunNumber)) -> bool {
        let Some(run) = self.runs.get(key).filter(|_| !self.health.is_sound()) else {
            return false;
        };
        match run.started_at {
            _ if run.is_at_work() => self.health.record_at_work(run.placed_at),
            Some(began_at) if run.progress.0 > 0 => {
                self.health.record_going_on(now, run.placed_at, began_at)
            }
            _ => false,
        }
    }

    /// Returns whether a run that came after the last failure has yet to show whether the worker
    /// works, so that a worker on probation gets no further unit.
    pub fn has_probe(&self) -> bool {
        self.health.is_on_probation()
            && self.runs.values().any(|run| self.health.is_after_failure(run.placed_at))
    }

    /// Returns the number of runs of a step on the worker, also of those not placed there.
    pub fn count_runs(&self, step: &jobs::StepKey) -> u32 {
        let is_of_step =
            |unplaced: &&Unplaced| unplaced.unit.is_some_and(|unit| unit.step_key() == *step);
        let unplaced = self.unplaced.values().filter(is_of_step).count();
        (self.runs.range(step.range()).count() + unplaced) as u32
    }

    /// Returns whether best-effort runs share the worker with runs that serve requests.
    pub fn mixes_best_effort_and_serving(&self) -> bool {
        self.runs.values().any(|run| run.best_effort)
            && self.runs.values().any(|run| run.tail_latency_target.is_some())
    }

    /// Returns whether the next poll decides about a run whose stop is confirmed or
    /// whose start got no answer.
    pub fn next_poll_settles_run(&self) -> bool {
        let is_unsettled = |run: &Run| {
            matches!(run.state, RunState::Stopping { acknowledged: Some(_), .. })
                || matches!(run.state, RunState::Unclear)
        };
        let is_barred = |run: &Unplaced| run.stop_acknowledged_at.is_some() && !run.is_listed;
        self.runs.values().any(is_unsettled) || self.unplaced.values().any(is_barred)
    }
}

impl Run {
    /// Creates a run of a step with a processor share of 100 percent.
    pub fn new(state: RunState, step: &Step, placed_on: UnixMs, now: Duration) -> Run {
        Run {
            state,
            placed_on,
            resources: step.reserved_resources(),
            long_running: step.long_running,
            is_gang: step.gang,
            speculative: step.speculative,
            best_effort: step.best_effort,
            tail_latency_target: step.tail_latency_target,
            is_inherited: state == RunState::Inherited,
            expected: step.estimate,
            placed_at: now,
            started_at: None,
            listed_at: None,
            unanswered_starts: 0,
            unconfirmed_since: (state == RunState::Inherited).then_some(now),
            is_settled: false,
            start_sent_at: None,
            unanswered_start_at: None,
            progress: (0, now),
            share_percent: Some(100),
            share_ordered_at: now,
            measurement: 0,
            has_ended: false,
            stop_reason: None,
            stop_withheld_at: None,
            absence: None,
            is_trial: false,
        }
    }

    /// Returns whether a run that lasts has started up and does its work.
    pub fn is_at_work(&self) -> bool {
        self.long_running && self.progress.0 >= 100
    }

    /// Returns whether the worker, by its latest full list of `all_listed_at`, has not listed the run for
    /// `duration`, though it had begun.
    pub fn is_unlisted(&self, all_listed_at: Duration, duration: Duration) -> bool {
        let known_at = self.listed_at.max(self.started_at);
        known_at.is_some_and(|at| all_listed_at >= at + duration)
    }

    /// Ends the trial of a run that is listed at `now` if it has gone on for long enough, and
    /// returns whether it has.
    pub fn end_trial(&mut self, now: Duration) -> bool {
        let is_over = self.is_trial && self.started_at.is_some_and(|at| now >= at + TRIAL_TIME);
        self.is_trial &= !is_over;
        is_over
    }

    /// Returns the time after which no start of the run can be carried out any more; `None` if
    /// none is under way.
    pub fn late_until(&self) -> Option<Duration> {
        self.unconfirmed_since.map(|at| at + LATE_ORDER_WINDOW)
    }

    /// Returns how long the run is known to have gone on, if its worker last answered at
    /// `alive_at`; `None` if it is not known to have begun. Of an inherited run only its time under
    /// this leader is known, so that one counts as no longer recent.
    pub fn survived_until(&self, alive_at: Duration) -> Option<Duration> {
        if self.is_inherited {
            return Some(RECENT.max(alive_at.saturating_sub(self.started_at.unwrap_or(alive_at))));
        }
        Some(alive_at.saturating_sub(self.started_at?))
    }

    /// Returns whether one of this leader's starts of the run got no answer from any incarnation.
    pub fn has_unanswered_start(&self) -> bool {
        self.start_sent_at.or(self.unanswered_start_at).is_some()
    }

    /// Returns whether a start of the run may still be carried out, by the present incarnation
    /// of its worker or by a later one.
    pub fn may_start_late(&self, now: Duration) -> bool {
        self.late_until().is_some_and(|until| now < until)
    }

    /// Returns whether the run may be on an incarnation that the leader can't reach: one of its
    /// starts got no answer, or one that a successor may have given, and may have been carried out with a
    /// lease of `max_lease` until it could come no more.
    pub fn may_run_unseen(&self, now: Duration, max_lease: Duration) -> bool {
        let lapses_at = |until: Duration| Lease::inherited(until, max_lease).expiry();
        self.late_until().and_then(lapses_at).is_some_and(|at| now <= at)
    }

    /// Returns whether the run is over if its worker ran nowhere at a time: it was placed before, and no
    /// start of it could come any more.
    pub fn has_ended_by(&self, vacant_at: Duration) -> bool {
        self.placed_at <= vacant_at && self.late_until().is_none_or(|until| until <= vacant_at)
    }

    /// Records that the present incarnation is known to have received the start. No other is under
    /// way then, unless a copy of it got no answer.
    pub fn confirm(&mut self) {
        if self.unanswered_starts == 0 && !self.is_inherited {
            self.unconfirmed_since = None;
        }
    }

    /// Records that a run is settled, for the log, if it is; returns whether that is new.
    pub fn settle(&mut self, now: Duration) -> bool {
        let is_new = !self.is_settled
            && self.state == RunState::Running
            && self.start_sent_at.is_none()
            && !self.may_start_late(now);
        self.is_settled |= is_new;
        is_new
    }

    /// Returns whether the run may be stopped for work that lasts: it ends by itself, and no other run
    /// depends on it.
    pub fn may_be_displaced(&self) -> bool {
        !self.long_running && !self.is_gang && !self.is_trial && !self.is_stopping_or_ending()
    }

    /// Records that the run is proposed to be discarded.
    pub fn discard(&mut self, absence: Absence) {
        self.state = RunState::Ending;
        self.absence = Some(absence);
    }

    /// Returns whether a stop without an answer has to be sent again.
    pub fn is_stop_due(&self, now: Duration, retry_delay: Duration) -> bool {
        let RunState::Stopping { sent, .. } = self.state else { return false };
        sent.max(self.stop_withheld_at).is_none_or(|at| now >= at + retry_delay)
    }

    /// Returns whether a stop was sent, or is about to be, that the worker has not confirmed.
    pub fn is_stop_open(&self) -> bool {
        matches!(self.state, RunState::Stopping { acknowledged: None, .. })
    }

    /// Returns whether the run is placed and its worker is not known to have begun it.
    pub fn is_unbegun(&self) -> bool {
        matches!(
            self.state,
            RunState::Proposed | RunState::Ready | RunState::Starting | RunState::Unclear
        )
    }

    /// Returns whether the run is being stopped or has ended.
    pub fn is_stopping_or_ending(&self) -> bool {
        matches!(self.state, RunState::Stopping { .. } | RunState::Ending)
    }
}
